"""Stand-ins of the platform for the cases 11 to 15: store, workers, adviser, proxy, clients and entry VMs.

They follow the users' page on what is spoken. All addresses are loopback addresses; the clock is the real one.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "src", "kingcuplink", "kingcuplinkd")
HOST = "127.0.0.1"
BEGUN = time.monotonic()
# Blocks of ports of this script, each held by a socket on its first port, so that scripts side by side share none.
BLOCK = 100
HELD = []
UNUSED = []
# Not the seeded generator of a case.
PORTS = random.SystemRandom()


def seconds():
    return time.monotonic() - BEGUN


def take_block():
    while True:
        first = PORTS.randrange(10_000, 32_000, BLOCK)
        guard = socket.socket()
        try:
            guard.bind((HOST, first))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        HELD.append(guard)
        UNUSED.extend(range(first + 1, first + BLOCK))
        return


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        if not UNUSED:
            take_block()
        port = UNUSED.pop()
        with socket.socket() as item:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                item.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case, and to standard output."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        line = f"{seconds():8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Drop(Exception):
    """The connection is closed without an answer."""


class HttpServer:
    """Serves HTTP/1.1 on a loopback port; the handler gets method, target, headers and body."""

    def __init__(self, port, handler):
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.handler(method, target, headers, body)
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}\r\n\r\n"
                    .encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def parse_query(target):
    terms = {}
    if "?" in target:
        for part in target.split("?", 1)[1].split("&"):
            name, _, value = part.partition("=")
            raw = value.encode()
            result = bytearray()
            pos = 0
            while pos < len(raw):
                if raw[pos:pos + 1] == b"%":
                    result.append(int(raw[pos + 1:pos + 3], 16))
                    pos += 3
                else:
                    result.append(raw[pos])
                    pos += 1
            terms[name] = result.decode("latin-1")
    return terms


class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.producers = {}

    def end(self):
        return self.first + len(self.records)


class Store:
    """The platform's store: keyed topics, producers with epochs, history for keep_s."""

    PAGE = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, port, keep_s):
        self.keep_s = keep_s
        self.topics = {}
        self.changed = asyncio.Condition()
        self.http = HttpServer(port, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def expire(self, topic):
        oldest = time.monotonic() - self.keep_s
        count = 0
        while count < len(topic.records) and topic.records[count][0] < oldest:
            count += 1
        if count:
            del topic.records[:count]
            topic.first += count

    @staticmethod
    def split(content):
        length = content[0]
        return content[1:1 + length].decode("latin-1"), content[1 + length:]

    async def add(self, name, contents):
        topic = self.topic(name)
        offset = topic.end()
        for content in contents:
            key, value = self.split(content)
            if value:
                topic.newest[key] = (value, topic.end())
            else:
                topic.newest.pop(key, None)
            topic.records.append((time.monotonic(), content))
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, name, key, value):
        """Writes a record of the operator or of a worker."""
        text = key.encode()
        await self.add(name, [bytes([len(text)]) + text + (b"" if value is None else json.dumps(value).encode())])

    async def handle(self, method, target, headers, body):
        terms = parse_query(target)
        path = target.split("?", 1)[0]
        topic = self.topic(terms.get("topic", ""))
        self.expire(topic)
        if path == "/-/log-append":
            return await self.append(terms, topic, body)
        if path == "/-/log-read":
            return await self.read(terms, topic)
        if path == "/-/log-newest":
            return self.newest(terms, topic)
        return 404, {}

    async def append(self, terms, topic, body):
        contents = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            contents.append(body[4:4 + length])
            body = body[4 + length:]
        if "producer" in terms:
            epoch, number = int(terms["epoch"]), int(terms["seq_no"])
            known = topic.producers.setdefault(terms["producer"], {"epoch": -1, "number": 0, "recent": []})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > known["epoch"]:
                known.update(epoch=epoch, number=number, recent=[])
            else:
                for earlier, answer in known["recent"]:
                    if earlier == number:
                        return 200, answer
                if number != known["number"] + 1:
                    return 409, {"reason": "seq", "seq_no": known["number"] + 1}
                known["number"] = number
        offset = await self.add(terms["topic"], contents)
        answer = {"offset": offset, "end_offset": topic.end()}
        if "producer" in terms:
            known["recent"] = (known["recent"] + [(number, answer)])[-5:]
        return 200, answer

    async def read(self, terms, topic):
        start = int(terms["from"])
        until = time.monotonic() + min(30_000, int(terms.get("wait_ms") or 0)) / 1000
        while start >= topic.end() and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        self.expire(topic)
        if start < topic.first:
            return 410, {"first_offset": topic.first}
        most = int(terms.get("max_kb") or 1024) * 1024
        answer = struct.pack(">QQ", topic.end(), topic.first)
        used = 0
        for _, content in topic.records[start - topic.first:]:
            used += 4 + len(content)
            if used > most:
                break
            answer += struct.pack(">I", len(content)) + content
        return 200, answer

    def newest(self, terms, topic):
        after = terms.get("after", "")
        items, used, more = [], 0, False
        for key in sorted(topic.newest):
            if after and key <= after:
                continue
            value, offset = topic.newest[key]
            if len(items) == self.PAGE or used > self.PAGE_BYTES:
                more = True
                break
            used += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": more, "end_offset": topic.end()}


class Worker:
    """A worker without an admission check. The text of a job's spec says how its tasks run, as JSON:
    ms (how long a task works), first_ms (the same for tasks of the first step) how
    (how it ends) and spread (by how much of its length a run is shorter or longer)."""

    def __init__(self, name, port, store, record, zone, service, capacity, max_hold_ms=10_000):
        self.name, self.port, self.store, self.record = name, port, store, record
        self.zone, self.service, self.capacity = zone, service, capacity
        self.max_hold_ms = max_hold_ms
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.acknowledged = 0
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.starts = []
        self.ends = []
        self.needs_ticket = False
        self.stop_ms = 50
        self.kind = "a"
        self.is_gone = self.is_down = False
        self.listed = {}
        self.http = HttpServer(port, self.handle)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000)

    async def run(self):
        await self.http.start()
        beat = 0.0
        while not self.is_gone:
            if self.is_down:
                await asyncio.sleep(0.01)
                continue
            if time.monotonic() >= beat:
                beat = time.monotonic() + 1.5
                self.sequence += 1
                await self.register()
            self.advance()
            await asyncio.sleep(0.01)

    async def crash(self, down_s, kind):
        """Ends without a word, and starts again under its id as a runner of another kind."""
        self.record.write(f"worker {self.name}: crashes with {len(self.runs)} runs")
        self.is_down = True
        self.http.server.close()
        for writer in list(self.http.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = self.lease_until = self.last_end = self.acknowledged = self.sequence = 0
        self.runs, self.highest, self.ended = {}, {}, []
        self.kind = kind
        self.http = HttpServer(self.port, self.handle)
        await self.http.start()
        self.is_down = False
        self.record.write(f"worker {self.name}: is up again, kind {self.kind}, born {self.born}")
        await self.register()

    async def register(self):
        await self.store.put("keyed.servers", self.name, {
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold_left_ms": 0, "capacity": self.capacity, "labels": [self.kind, "r1"],
            "clock_ms": self.clock(), "seq_no": self.sequence, "born": self.born})

    async def leave(self, after_s):
        """Says that it leaves, goes on for a while, and ends; answers that it has given are delivered."""
        self.state = "draining"
        self.sequence += 1
        await self.register()
        self.record.write(f"worker {self.name}: draining")
        await asyncio.sleep(after_s)
        self.advance()
        self.is_gone = True
        self.record.write(f"worker {self.name}: leaves with {len(self.runs)} runs")
        self.runs.clear()
        await self.store.put("keyed.servers", self.name, None)
        self.http.server.close()
        for writer in list(self.http.writers):
            writer.close()

    def advance(self):
        now = self.clock()
        for key in list(self.runs):
            run = self.runs[key]
            if now >= run["stop_at"]:
                self.end(key, "stopped")
            elif now > self.lease_until:
                self.end(key, "lapsed")
            elif now >= run["until"]:
                self.end(key, run["how"])

    def end(self, key, how):
        task, number = key
        del self.runs[key]
        self.last_end += 1
        self.ended.append([self.last_end, task, number, how, ""])
        self.ends.append({"at": seconds(), "task": task, "run": number, "how": how, "end": self.last_end})
        self.record.write(f"worker {self.name}: run {number} of {task} ends: {how} (end {self.last_end})")
        self.changed.set()

    def accepts(self, ticket, task):
        parts = ticket.split("|")
        return (len(parts) == 3 and parts[0] == task.rsplit(".", 1)[0] and parts[1] == str(self.born) and
                time.monotonic() * 1000 < int(parts[2]))

    def extend(self, expires):
        self.lease_until = max(self.lease_until, min(expires, self.clock() + self.max_hold_ms))

    async def handle(self, method, target, headers, body):
        if self.is_gone or self.is_down:
            raise Drop()
        self.advance()
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {}
        value = json.loads(body or b"{}")
        token = int(value.get("fencing_token", 0))
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if target == "/-/run-start":
            return self.start(value)
        if target == "/-/run-stop":
            key = (value["task"], value["run_id"])
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.runs:
                self.runs[key]["stop_at"] = min(self.runs[key]["stop_at"], self.clock() + self.stop_ms)
            self.record.write(f"worker {self.name}: stop of run {key[1]} of {key[0]}")
            return 200, {"clock_ms": self.clock()}
        if target == "/-/hold":
            return await self.hold(value)
        return 404, {}

    def start(self, value):
        key = (value["task"], value["run_id"])
        if key in self.runs:
            return 200, {"clock_ms": self.clock()}
        if key[1] <= self.highest.get(key[0], 0):
            self.extend(value["expires_ms"])
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if value["expires_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        if self.needs_ticket and not self.accepts(value.get("ticket", ""), key[0]):
            return 409, {"clock_ms": self.clock(), "reason": "ticket"}
        self.extend(value["expires_ms"])
        self.highest[key[0]] = key[1]
        try:
            spec = json.loads(value["spec"])
        except ValueError:
            spec = {}
        now = self.clock()
        length = spec.get("first_ms", spec.get("ms", 1000)) if key[0].split(".")[2] == "0" else spec.get("ms", 1000)
        if "spread" in spec:
            length = int(length * random.uniform(1 - spec["spread"], 1 + spec["spread"]))
        self.runs[key] = {"until": now + length, "how": spec.get("how", "done"), "stop_at": 1 << 60,
                          "begun": now}
        self.starts.append({"at": seconds(), "task": key[0], "run": key[1], "token": value["fencing_token"],
                            "worker": self.name, "kind": self.kind})
        self.record.write(f"worker {self.name}: run {key[1]} of {key[0]} starts, token {value['fencing_token']}")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, value):
        if "expires_ms" in value:
            self.extend(value["expires_ms"])
        cursor = int(value.get("ack_cursor", 0))
        if cursor > self.acknowledged:
            self.record.write(f"worker {self.name}: ends up to {cursor} are acknowledged")
            self.acknowledged = cursor
        self.ended = [row for row in self.ended if row[0] > cursor]
        until = time.monotonic() + min(2000, int(value.get("wait_ms", 0))) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if self.is_gone:
            raise Drop()
        for row in self.ended[:500]:
            self.listed.setdefault((row[1], row[2]), seconds())
        now = self.clock()
        running = [[task, number, "", 100, 0] for task, number in self.runs]
        return 200, {"clock_ms": now, "born": self.born, "running": running, "ended_runs": self.ended[:500]}


class Adviser:
    """Knows which workers a step may use: all of them. A ticket names step and boot and is valid for valid_ms.

    Each entry VM has a port of its own, so that the calls of one machine are handled one at a time, in turn.
    """

    def __init__(self, workers, decide_ms, period_ms, valid_ms):
        self.workers = {worker.name: worker for worker in workers}
        self.decide_ms, self.period_ms, self.valid_ms = decide_ms, period_ms, valid_ms
        self.calls = 0

    def server(self, port):
        turn = asyncio.Lock()
        waiting = 0

        async def handle(_method, _target, _headers, body):
            nonlocal waiting
            if waiting >= 32:
                return 429, {}
            value = json.loads(body)
            self.calls += 1
            waiting += 1
            async with turn:
                await asyncio.sleep((self.decide_ms + self.period_ms * len(value["workers"])) / 1000)
            waiting -= 1
            until = int(time.monotonic() * 1000 + self.valid_ms)
            good = [[name, f"{value['step']}|{self.workers[name].born}|{until}"]
                    for name in value["workers"] if name in self.workers]
            return 200, {"good": good, "valid_ms": self.valid_ms}

        return HttpServer(port, handle)


class Proxy:
    """A TCP proxy; while it is cut, nothing passes in either direction and nothing is answered or reset."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self.serve, HOST, self.port)

    def cut(self):
        self.open.clear()

    def heal(self):
        # What was held up by the cut is lost with its connections.
        for writer in list(self.writers):
            writer.transport.abort()
        self.open.set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.open.wait()
            to_reader, to_writer = await asyncio.open_connection(HOST, self.target)
            self.writers.add(to_writer)
            await asyncio.gather(self.pump(reader, to_writer), self.pump(to_reader, writer))
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if not self.open.is_set():
                    await self.open.wait()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Entry:
    """A process of the project, started with the command and the variables of the deploy file."""

    def __init__(self, name, zone, store_port, record, folder, share="0.25", status_s="120", adviser=None):
        ports = free_ports(3)
        self.name, self.zone, self.record = name, zone, record
        self.adviser = adviser
        self.callers = ports[0]
        self.ready = ports[1]
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.process = None
        self.variables = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "KINGCUPLINK_NAME": name,
            "KINGCUPLINK_FAILURE_DOMAIN": zone, "KINGCUPLINK_CALLERS_ADDRESS": f"{HOST}:{self.callers}",
            "KINGCUPLINK_READINESS_ADDRESS": f"{HOST}:{self.ready}",
            "KINGCUPLINK_PEER_ADDRESS": f"{HOST}:{ports[2]}",
            "KINGCUPLINK_LOG_ADDRESS": f"{HOST}:{store_port}", "KINGCUPLINK_LEASE_LIMIT_MS": "10000",
            "KINGCUPLINK_PROCESSOR_SHARE": share, "KINGCUPLINK_LINK_MBPS": "1000",
            "KINGCUPLINK_STATUS_TIME_S": status_s}
        if adviser:
            self.variables["KINGCUPLINK_ADVISER_ADDRESS"] = f"{HOST}:{adviser.port}"

    async def start(self):
        if self.adviser and self.adviser.server is None:
            await self.adviser.start()
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "--platform=store", cwd=ROOT, env=self.variables, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)
        self.record.write(f"entry VM {self.name} is started")

    def signal(self, number):
        self.record.write(f"entry VM {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def gone(self):
        await self.process.wait()
        self.record.write(f"entry VM {self.name} has ended with {self.process.returncode}")

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(port, method, target, body=None, key="key", host="site.example", timeout=3.0):
    """Sends one request; returns status and body, or (None, reason) without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Token {key}\r\n"
                          f"X-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode() + data)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            text = await reader.read()
            return status, text.decode("utf-8", "replace")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, str(error) or type(error).__name__


class Site:
    """Store, workers and entry VMs of a small deployment."""

    def __init__(self, folder, workers=3, keep_s=20, capacity=None, routes=None, tenants=None, advice=None):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="kingcuplink-review-")
        self.record = Record(folder)
        self.store = Store(free_ports(1)[0], keep_s)
        self.capacity = capacity or {"cpu": 64_000, "mem_mb": 262_144, "gpus": 0}
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.workers = [
            Worker(f"i-{pos:04d}", port, self.store, self.record, self.zones[pos % 3], "work", self.capacity)
            for pos, port in enumerate(free_ports(workers))]
        self.entries = []
        self.tasks = []
        self.version = 0
        self.adviser = None
        if advice:
            self.adviser = Adviser(self.workers, *advice)
            for worker in self.workers:
                worker.needs_ticket = True
        more = {"advice": dict(zip(("decide_ms", "period_ms", "valid_ms"), advice))} if advice else {}
        self.routes = routes or [self.route("batch", 1, **more)]
        self.tenants = tenants or [{"name": "team", "api_keys": ["key"], "priority": 1, "weight": 50,
                                    "max_count": {"cpu": 0, "mem_mb": 0, "gpus": 0}}]

    @staticmethod
    def route(name, priority, **more):
        return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "kind": "unsafe", "timeout_ms": 3000,
                "target_latency_ms": 1000, "priority": priority, "service": "work", "max_attempts": 4, "stretch": 4.0,
                "public": False, **more}

    async def configure(self):
        self.version += 3
        await self.store.put("keyed.op", "config", {
            "version": self.version, "routes": self.routes, "tenants": self.tenants,
            "services": [{"name": "work", "health_path": "/health", "admission_check": False}],
            "limits": {"max_body_bytes": 262_144}})

    async def start(self):
        await self.store.http.start()
        await self.configure()
        for worker in self.workers:
            self.tasks.append(asyncio.create_task(worker.run()))

    def entry(self, name, zone, store_port=None, **more):
        adviser = self.adviser.server(free_ports(1)[0]) if self.adviser else None
        item = Entry(name, zone, store_port or self.store.http.port, self.record, self.temporary, adviser=adviser,
                     **more)
        self.entries.append(item)
        return item

    async def until_ready(self, entry, limit=20.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            status, _ = await call(entry.ready, "GET", "/-/ready", timeout=1.0)
            if status == 200:
                self.record.write(f"entry VM {entry.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"entry VM {entry.name} is not ready within {limit} s")

    async def ask(self, entry, method, target, body=None, **more):
        status, text = await call(entry.callers, method, target, body, **more)
        sent = f" {json.dumps(body)}" if body is not None else ""
        self.record.write(f"client: {method} {target}{sent} at {entry.name} -> {status} {text.strip()}")
        return status, text

    def starts(self, job):
        return [row for worker in self.workers for row in worker.starts if row["task"].startswith(job + ".")]

    def ends(self, job):
        return [dict(row, worker=worker.name, noted=row["end"] <= worker.acknowledged)
                for worker in self.workers for row in worker.ends if row["task"].startswith(job + ".")]

    async def close(self):
        for entry in self.entries:
            await entry.kill()
        for task in self.tasks:
            task.cancel()


def main(folder, scenario, limit=118.0, **more):
    """Runs a scenario; exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run."""

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        site = Site(folder, **more)
        try:
            await site.start()
            return await asyncio.wait_for(scenario(site, os.environ.get("TROUBLE", "1") != "0"), limit)
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            site.record.write(f"the case could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await site.close()

    loop = asyncio.new_event_loop()
    task = loop.create_task(play())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    status = loop.run_until_complete(task)
    sys.stdout.flush()
    os._exit(status)
