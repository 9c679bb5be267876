"""Stand-ins of the users' platform for the review cases: store, runners and clients, as PROTOCOL.md describes them.

Everything runs on loopback addresses and the real clock. Only the entry VMs (kingcuplinkd) are processes of their own.
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMON = ROOT / "target/src/kingcuplink/kingcuplinkd"
KEY = "key-1"
PORTS = random.Random(os.getpid() * 1000003 + time.time_ns())
TAKEN = set()

# Figures of the settings file and the bounds that the users' pages give for the small sites.
RECORD_BYTES = 262144
CALL_BYTES = 2097152
MAX_HOLD_MS = 6000
STOP_GRACE_MS = 400
GANG_TIMEOUT_MS = 3000
HEARTBEAT_S = 1.5
GRACE_S = 6.0
STATUS_S = 120


def end_with_parent():
    """Lets the kernel kill a started process if this one dies."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be set up; the result says nothing about the rule."""


def now_ms():
    return int(time.monotonic() * 1000)


def loopback_host():
    """Returns a loopback address of this process's own, so that cases may run side by side."""
    host = "127.%d.%d.1" % (1 + os.getpid() % 200, 1 + os.getpid() // 200 % 200)
    with socket.socket() as probe:
        try:
            probe.bind((host, 0))
            return host
        except OSError:
            return "127.0.0.1"


HOST = loopback_host()


def free_address():
    """Returns a free address below the range of ports that outgoing connections get."""
    while True:
        port = PORTS.randrange(10000, 30000)
        if port in TAKEN:
            continue
        TAKEN.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return "%s:%d" % (HOST, port)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def say(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.started, text)
        self.file.write(line + "\n")
        self.file.flush()

    def conclude(self, text):
        self.say(text)
        print(text)


class HttpServer:
    """Minimal HTTP/1.1 server with persistent connections."""

    def __init__(self, address, handle):
        self.address = address
        self.handle = handle
        self.server = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 24)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.handle(method, target, headers, body)
                if not isinstance(answer, bytes):
                    answer = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(answer)) + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def add(self, key, value):
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self, record):
        self.record = record
        self.address = free_address()
        self.topics = {}
        self.refused = 0
        self.writes = 0
        # Tells of a write (the list of its keys) after how many seconds it is done, without an answer; or nothing.
        self.lose = None
        self.http = HttpServer(self.address, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).add(key.encode(), None if value is None else json.dumps(value).encode())

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        terms = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        topic = self.topic(terms.get("topic", ""))
        if path == "/-/log-append":
            self.writes += 1
            delay = self.lose(body) if self.lose is not None else None
            if delay is not None:
                await asyncio.sleep(delay)
                self.record.say("store: a write is done %.1f s after it came, without an answer: %d"
                                % (delay, self.append(topic, terms, body)[0]))
                await asyncio.sleep(3600)
            return self.append(topic, terms, body)
        if path == "/-/log-read":
            return await self.read(topic, terms)
        if path == "/-/log-newest":
            return self.newest(topic, terms)
        return 404, {}

    def append(self, topic, terms, body):
        if terms["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4:position + 4 + length]
            position += 4 + length
            if length > RECORD_BYTES:
                self.refused += 1
                if self.refused in (1, 10, 100, 1000):
                    self.record.say("store: refused an append with a record of %d bytes, over record_bytes = %d (%d such)"
                                    % (length, RECORD_BYTES, self.refused))
                return 400, {"reason": "record_bytes"}
            key_length = content[0]
            records.append((content[1:1 + key_length], content[1 + key_length:] or None))
        if len(body) > CALL_BYTES:
            self.record.say("store: refused an append of %d bytes, over call_bytes" % len(body))
            return 400, {"reason": "call_bytes"}
        if "producer" in terms:
            epoch, seq = int(terms["epoch"]), int(terms["seq_no"])
            known = topic.producers.setdefault(terms["producer"], {"epoch": -1, "seq": 0, "recent": []})
            if epoch < known["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch == known["epoch"]:
                for number, answer in known["recent"]:
                    if number == seq:
                        return 200, answer
                if seq != known["seq"] + 1:
                    return 409, {"reason": "seq", "seq_no": known["seq"] + 1}
            else:
                known.update(epoch=epoch, recent=[])
            known["seq"] = seq
        offset = len(topic.records)
        for key, value in records:
            topic.add(key, value)
        answer = {"offset": offset, "end_offset": len(topic.records)}
        if "producer" in terms:
            known["recent"] = (known["recent"] + [(seq, answer)])[-5:]
        return 200, answer

    async def read(self, topic, terms):
        start = int(terms["from"])
        until = time.monotonic() + int(terms.get("wait_ms", 0)) / 1000
        while start >= len(topic.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(topic.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        most = int(terms.get("max_kb", 1024)) * 1024
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key + (value or b"")
            size += 4 + len(content)
            if size > most:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def newest(self, topic, terms):
        keys = sorted(key for key in topic.newest if key > terms.get("after", "").encode())
        items = []
        size = 0
        for key in keys:
            value, offset = topic.newest[key]
            size += len(value)
            if len(items) >= 500 or (items and size > 1 << 20):
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end_offset": len(topic.records)}


class Runner:
    """A runner: starts what it is told to, under a lease. A task's `spec` is a JSON object that scripts its run:
    run_ms, fail_runs (numbers of the runs that end `failed`, by step), checkpoint_bytes."""

    def __init__(self, site, name, cpu=64000, mem_mb=262144, labels=(), zone="zone-a", service="work"):
        self.site, self.name, self.cpu, self.mem_mb = site, name, cpu, mem_mb
        self.labels, self.zone, self.service = list(labels), zone, service
        self.address = free_address()
        self.http = HttpServer(self.address, self.handle)
        self.born = int(time.time() * 1000)
        self.clock_start = now_ms() - 1000
        self.token = 0
        self.lease_until = 0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.next_end = 1
        self.seq_no = 0
        self.changed = asyncio.Event()

    def clock(self):
        return now_ms() - self.clock_start

    def register(self):
        self.seq_no += 1
        self.site.store.put("keyed.servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 64,
            "state": "ready", "cold_left_ms": 0, "seq_no": self.seq_no, "born": self.born, "machine": "m-" + self.name,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0}, "labels": self.labels})

    async def run(self):
        await self.http.start()
        last = 0.0
        while True:
            if time.monotonic() - last >= HEARTBEAT_S:
                self.register()
                last = time.monotonic()
            self.advance()
            await asyncio.sleep(0.01)

    def used_cpu(self):
        return sum(self.site.size_of(task) for task in self.runs)

    def advance(self):
        now = now_ms()
        for task in list(self.runs):
            run = self.runs[task]
            if self.clock() > self.lease_until:
                self.end(task, "lapsed")
                continue
            if now - run["at"] >= run["run_ms"]:
                self.end(task, run["how"])

    def end(self, task, how):
        run = self.runs.pop(task)
        saved = run["saved"](now_ms() - run["at"])
        self.closed[task] = max(self.closed.get(task, 0), run["run_id"])
        self.ended.append([self.next_end, task, run["run_id"], how, saved])
        self.next_end += 1
        self.site.on_end(self, task, run["run_id"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, body):
        if "expires_ms" in body:
            self.lease_until = max(self.lease_until, min(int(body["expires_ms"]), self.clock() + MAX_HOLD_MS))

    def lists(self):
        now = now_ms()
        running = [[task, run["run_id"], run["saved"](now - run["at"]),
                    min(100, (now - run["at"]) * 100 // max(1, run["run_ms"])), 0] for task, run in self.runs.items()]
        return {"clock_ms": self.clock(), "born": self.born, "running": running, "ended_runs": self.ended[:500]}

    async def handle(self, method, target, headers, body):
        if headers.get("x-target-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        body = json.loads(body)
        self.advance()
        if int(body.get("fencing_token", 0)) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = int(body.get("fencing_token", 0))
        if target == "/-/hold":
            self.extend(body)
            cursor = int(body.get("ack_cursor", 0))
            for end in self.ended:
                if end[0] <= cursor:
                    self.site.on_acknowledged(self, end)
            self.ended = [end for end in self.ended if end[0] > cursor]
            until = time.monotonic() + min(2000, int(body.get("wait_ms", 0))) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            return 200, self.lists()
        if target == "/-/run-start":
            return self.start(body)
        if target == "/-/run-stop":
            task, number = body["task"], int(body["run_id"])
            if task in self.runs and self.runs[task]["run_id"] == number:
                self.end(task, "stopped")
            self.closed[task] = max(self.closed.get(task, 0), number)
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def start(self, body):
        task, number = body["task"], int(body["run_id"])
        if task in self.runs and self.runs[task]["run_id"] == number:
            return 200, {"clock_ms": self.clock()}
        if self.closed.get(task, 0) >= number:
            self.extend(body)
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if int(body["expires_ms"]) <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body)
        step = task.split(".")[2]
        script = json.loads(body["spec"])
        script = script.get(step, script)
        fails = number in script.get("fail_runs", [])
        width = script.get("checkpoint_bytes", 0)
        every = script.get("checkpoint_ms", 500)

        def saved(elapsed):
            return ("%s@%d:" % (task, elapsed // every)).ljust(width, "s") if width and elapsed >= every else ""

        self.runs[task] = {"run_id": number, "at": now_ms(), "how": "failed" if fails else "done", "saved": saved,
                           "run_ms": script.get("fail_ms", 300) if fails else script["run_ms"]}
        self.site.on_start(self, task, number)
        return 200, {"clock_ms": self.clock()}


class Entry:
    """One entry VM, started with the command and the variables of deploy/system.toml."""

    link_mbps = "1000.0"

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.callers, self.ready, self.metrics, self.peer = (free_address() for _ in range(4))
        self.process = None
        self.output = None

    async def start(self):
        variables = {"NAME": self.name, "FAILURE_DOMAIN": self.zone, "CALLERS_ADDRESS": self.callers,
                     "READINESS_ADDRESS": self.ready, "METRICS_ADDRESS": self.metrics, "PEER_ADDRESS": self.peer,
                     "LOG_ADDRESS": self.site.store.address, "ADVISER_ADDRESS": self.site.adviser_address,
                     "LEASE_LIMIT_MS": str(MAX_HOLD_MS), "PROCESSOR_SHARE": "0.25", "LINK_MBPS": self.link_mbps,
                     "STATUS_TIME_S": str(STATUS_S)}
        environment = {"KINGCUPLINK_" + name: value for name, value in variables.items()}
        environment.update({name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ})
        self.output = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(DAEMON), "--platform=store", cwd=str(ROOT), env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.output, stderr=self.output, preexec_fn=end_with_parent)
        self.site.record.say("entry VM %s started, pid %d" % (self.name, self.process.pid))

    async def is_ready(self):
        try:
            status, _ = await call(self.ready, "GET", "/-/ready", timeout=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def stop_gracefully(self):
        """SIGTERM, and SIGKILL after grace_s, as the platform does."""
        self.process.send_signal(signal.SIGTERM)
        self.site.record.say("entry VM %s: SIGTERM" % self.name)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.site.record.say("entry VM %s ended with %s" % (self.name, self.process.returncode))

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(address, method, path, headers=(), body=b"", timeout=3.0):
    """Sends one request on a connection of its own; returns status and body."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        try:
            lines = ["%s %s HTTP/1.1" % (method, path), "Connection: close", "Content-Length: %d" % len(body)]
            lines += ["%s: %s" % header for header in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in head[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            return int(head[0].split()[1]), await reader.readexactly(length)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout)


class Site:
    """The platform, the runners and the entry VMs of one small deployment."""

    def __init__(self, folder, routes, entries=3, runners=(), trouble=True):
        self.folder = tempfile.mkdtemp(prefix="kingcuplink-review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.adviser_address = free_address()
        self.trouble = trouble
        self.routes = {route["name"]: route for route in routes}
        self.version = 0
        self.runners = [Runner(self, **options) for options in runners]
        zones = ["zone-a", "zone-b", "zone-c"]
        self.entries = [Entry(self, "entry-%d" % (number + 1), zones[number % 3]) for number in range(entries)]
        self.starts, self.ends, self.sizes = [], [], {}
        self.tasks = []

    # Observations of the runners.
    def size_of(self, task):
        job, _, step, _ = task.split(".")
        return self.sizes.get((job, int(step)), 0)

    def on_start(self, runner, task, number):
        self.starts.append((time.monotonic(), runner.name, task, number))
        self.record.say("runner %s: started %s run %d" % (runner.name, task, number))

    def on_end(self, runner, task, number, how):
        self.ends.append((time.monotonic(), runner.name, task, number, how))
        self.record.say("runner %s: %s run %d ended %s" % (runner.name, task, number, how))

    def on_acknowledged(self, runner, end):
        self.record.say("runner %s: end of %s run %d taken note of" % (runner.name, end[1], end[2]))

    def is_running(self, job):
        return any(task.split(".")[0] == job for runner in self.runners for task in runner.runs)

    def used_share(self):
        return sum(runner.used_cpu() for runner in self.runners) / sum(runner.cpu for runner in self.runners)

    def free_cpu(self):
        return {runner.name: runner.cpu - runner.used_cpu() for runner in self.runners}

    # The operator.
    def configure(self):
        self.version += 1
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": list(self.routes.values()),
            "services": [{"name": "work", "admission_check": False}], "limits": {},
            "tenants": [{"name": "team", "api_keys": [KEY], "weight": 50,
                         "max_count": {"cpu": 0, "mem_mb": 0, "gpus": 0}}]})
        self.record.say("operator: configuration %d acknowledged, routes %s" % (self.version, sorted(self.routes)))

    async def start(self):
        if not DAEMON.exists():
            raise CannotRun("no kingcuplinkd in target/: run the build command of deploy/system.toml")
        await self.store.http.start()
        self.configure()
        for runner in self.runners:
            self.tasks.append(asyncio.ensure_future(runner.run()))
        for entry in self.entries:
            await entry.start()
        await self.until(self.all_ready, 20, "the entry VMs become ready")
        await asyncio.sleep(3.0)

    async def all_ready(self):
        return all([await entry.is_ready() for entry in self.entries])

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("timed out: " + what)

    async def stop(self):
        for entry in self.entries:
            await entry.kill()
        for task in self.tasks:
            task.cancel()
        self.record.say("all processes ended")
        if os.environ.get("KEEP_LOGS", "0") == "0":
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients.
    def headers(self, route):
        return [("Host", route["host"]), ("Authorization", "Token " + KEY), ("Content-Type", "application/json"),
                ("X-Deadline-Ms", "3000")]

    async def request(self, method, route_name, job, body=b"", attempts=20):
        """Sends a request, with the same ID again at another node after no answer, 502, 503, 504 or 429."""
        route = self.routes[route_name]
        for attempt in range(attempts):
            entry = self.entries[attempt % len(self.entries)]
            try:
                status, answer = await call(entry.callers, method, route["path_prefix"] + job, self.headers(route), body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
                status, answer = 0, type(failure).__name__.encode()
            self.record.say("client: %s %s%s at %s -> %s %s" % (
                method, route["path_prefix"], job, entry.name, status or "no answer", answer.decode("latin-1").strip()[:80]))
            if status not in (0, 429, 502, 503, 504):
                return status, json.loads(answer or b"{}")
            await asyncio.sleep(0.3)
        return 0, {}

    async def submit(self, route_name, job, steps, script):
        for number, step in enumerate(steps):
            self.sizes[(job, number)] = step.get("cpu", 0)
        body = json.dumps({"spec": json.dumps(script), "steps": steps}).encode()
        status, _ = await self.request("POST", route_name, job, body)
        if status != 200:
            raise CannotRun("job %s was not accepted: %s" % (job, status))

    async def state(self, route_name, job):
        status, answer = await self.request("GET", route_name, job)
        return answer.get("state", "") if status == 200 else str(status)


def route(name, priority=1, stretch=4.0, max_attempts=4, target_ms=3000):
    return {"name": name, "host": "app.example", "path_prefix": "/%s/" % name, "service": "work", "priority": priority,
            "max_attempts": max_attempts, "stretch": stretch, "target_latency_ms": target_ms, "public": False}


def main(folder, play):
    """Runs a case: play(site_factory, trouble) returns the text of a broken rule, or nothing."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        sites = []

        def make(**options):
            sites.append(Site(folder, trouble=trouble, **options))
            return sites[-1]

        try:
            broken = await asyncio.wait_for(play(make, trouble), 115)
            if broken:
                sites[-1].record.conclude("RULE BROKEN: " + broken)
                return 1
            sites[-1].record.conclude("the rule held")
            return 0
        except (CannotRun, asyncio.TimeoutError) as failure:
            text = "the case could not run: %s" % (failure or "out of time")
            if sites:
                sites[-1].record.conclude(text)
            else:
                print(text)
            return 2
        finally:
            for site in sites:
                await site.stop()

    sys.exit(asyncio.run(run()))
