"""Stand-ins for the platform of a site, and a small fleet of entry VMs, for the scripts of this review.

Everything runs on loopback addresses and the real clock in one event loop: the platform's store, the adviser, the
runners and the clients. The entry VMs are the project's own processes, started with the command and the variables of
deploy/system.toml. The stand-ins follow PROTOCOL.md; where it is silent they behave like a sound store or runner.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import signal
import socket
import string
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


USED_PORTS = set()


def free_ports(count):
    """Returns free ports of the loopback address, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as item:
            try:
                item.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


def random_id(length=16):
    return ''.join(random.choice('0123456789abcdef') for _ in range(length))


def random_word(length=8):
    return ''.join(random.choice(string.ascii_lowercase) for _ in range(length))


class Record:
    """What was sent, answered and run, in the order in which the stand-ins saw it."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        self.file.write('%9.3f  %s\n' % (self.now(), ' '.join(str(word) for word in words)))
        self.file.flush()


# HTTP, as far as the interfaces need it.

REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected',
           429: 'Too Many Requests', 503: 'Service Unavailable', 400: 'Bad Request', 403: 'Forbidden'}


async def read_message(reader):
    """Reads one request or response; returns its first line, its headers and its body, or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b''
    length = int(headers.get('content-length', '0'))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


class HttpServer:
    """Serves HTTP on one loopback address; `serve(method, path, query, headers, body)` returns status and body."""

    def __init__(self, port, serve):
        self.port = port
        self.serve = serve
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.session, '127.0.0.1', self.port, reuse_address=True)

    async def session(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(' ', 2)
                path, _, query = target.partition('?')
                answer = await self.serve(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                if answer is None:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(b'HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (
                    status, REASONS.get(status, 'Status').encode(), len(content)) + content)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends as a process that crashes does: the port closes, and open connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            linger = struct.pack('ii', 1, 0)
            raw = writer.get_extra_info('socket')
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


# The platform's store.


class Topic:
    def __init__(self):
        self.records = []
        self.times = []
        self.newest = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.producers = {}


class Store:
    """The store: a log with keyed topics. Every answer takes `answer_ms`, each append `append_ms` in addition."""

    def __init__(self, record, port):
        self.record = record
        self.topics = {}
        self.server = HttpServer(port, self.serve)
        self.address = '127.0.0.1:%d' % port
        self.answer_ms = 4.0
        self.append_ms = 1.0
        # Seconds for which the log keeps records; the newest record of each key is kept for good.
        self.keep_s = 300.0
        # Called with the calls of the entry VMs before they are executed; a test may delay them.
        self.before_append = None

    async def start(self):
        await self.server.start()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic_name, key, value):
        """Appends a record of the platform itself; a value of None drops the key."""
        self.add(self.topic(topic_name), key.encode(), b'' if value is None else value)

    @staticmethod
    def add(topic, key, value):
        topic.records.append((key, value))
        topic.times.append(time.monotonic())
        topic.newest.pop(key, None)
        if value:
            topic.newest[key] = (value, len(topic.records) - 1)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def serve(self, method, path, query, headers, body):
        if path == '/-/log-append':
            return await self.append(query, body)
        await asyncio.sleep(self.answer_ms / 1000.0)
        if path == '/-/log-read':
            return await self.read(query)
        if path == '/-/log-newest':
            return self.read_newest(query)
        return 404, {}

    async def append(self, query, body):
        if query['topic'] in ('keyed.op', 'keyed.servers'):
            return 403, {}
        topic = self.topic(query['topic'])
        records = []
        while body:
            length = struct.unpack('>I', body[:4])[0]
            content, body = body[4:4 + length], body[4 + length:]
            records.append((content[1:1 + content[0]], content[1 + content[0]:]))
        if self.before_append is not None:
            await self.before_append(records)
        async with topic.lock:
            await asyncio.sleep(self.append_ms / 1000.0)
            status, answer = self.execute(topic, query, records)
        await asyncio.sleep(self.answer_ms / 1000.0)
        return status, answer

    def execute(self, topic, query, records):
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            return 412, {'end_offset': end}
        producer = None
        if 'producer' in query:
            epoch, number = int(query['epoch']), int(query['seq_no'])
            producer = topic.producers.setdefault(query['producer'], {'epoch': -1, 'next': None, 'answers': {}})
            if epoch < producer['epoch']:
                return 409, {'reason': 'fenced'}
            if epoch > producer['epoch']:
                producer.update(epoch=epoch, next=None, answers={})
            if number in producer['answers']:
                return 200, producer['answers'][number]
            if producer['next'] is not None and number != producer['next']:
                return 409, {'reason': 'seq', 'seq_no': producer['next']}
        for key, value in records:
            self.add(topic, key, value)
        answer = {'offset': end, 'end_offset': len(topic.records)}
        if producer is not None and records:
            producer['next'] = number + 1
            producer['answers'][number] = answer
            for old in sorted(producer['answers'])[:-5]:
                del producer['answers'][old]
        return 200, answer

    async def read(self, query):
        topic = self.topic(query['topic'])
        start = int(query['from'])
        first = bisect.bisect_left(topic.times, time.monotonic() - self.keep_s)
        if start < first:
            return 410, {'first_offset': first}
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000.0
        while len(topic.records) <= start and time.monotonic() < until:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        limit = int(query.get('max_kb', '1024')) * 1024
        body = struct.pack('>QQ', len(topic.records), first)
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key + value
            if len(body) + 4 + len(content) > limit + 16:
                break
            body += struct.pack('>I', len(content)) + content
        return 200, body

    def read_newest(self, query):
        topic = self.topic(query['topic'])
        after = query.get('after', '').encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [{'key': key.decode('utf-8', 'replace'), 'value': base64.b64encode(topic.newest[key][0]).decode(),
                  'offset': topic.newest[key][1]} for key in keys[:500]]
        return 200, {'items': items, 'has_more': len(keys) > 500, 'end_offset': len(topic.records)}


# Runners.


class Run:
    def __init__(self, task, number, work_s):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.timer = None
        self.is_stopping = False


class Runner:
    """One runner. `work_of(task)` tells how long a task works, in seconds."""

    def __init__(self, fleet, name, zone, labels, cpu, stop_s=0.05):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.labels = labels
        self.cpu = cpu
        self.stop_s = stop_s
        self.port = free_ports(1)[0]
        self.life = 0
        self.server = None
        self.beat = None
        self.is_up = False

    def log(self, *words):
        self.fleet.record.write('runner', self.name, 'life', self.life, *words)

    async def start(self):
        self.life += 1
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.closed_runs = {}
        self.lease = {}
        self.ends_changed = asyncio.Event()
        self.server = HttpServer(self.port, self.serve)
        await self.server.start()
        self.log('is up with labels', ','.join(self.labels))
        self.sequence = 0
        self.beat = asyncio.ensure_future(self.register_often())

    async def crash(self):
        self.is_up = False
        self.beat.cancel()
        if 'timer' in self.lease:
            self.lease['timer'].cancel()
        for run in self.running.values():
            run.timer.cancel()
            self.fleet.ended(self, run, 'crash')
        self.running = {}
        await self.server.stop()
        self.log('crashes')

    def register(self):
        self.sequence += 1
        entry = {'service': self.fleet.service, 'address': '127.0.0.1:%d' % self.port, 'zone': self.zone,
                 'version': 'v1', 'slots': 8, 'state': 'ready', 'cold_left_ms': 0,
                 'capacity': {'cpu': self.cpu, 'mem_mb': 262144, 'gpus': 0}, 'labels': self.labels,
                 'clock_ms': self.clock(), 'seq_no': self.sequence, 'born': self.born}
        self.fleet.store.put('keyed.servers', self.name, json.dumps(entry).encode())

    async def register_often(self):
        while True:
            self.register()
            await asyncio.sleep(self.fleet.heartbeat_ms / 1000.0)

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def said(self, **fields):
        return {'clock_ms': self.clock(), 'born': self.born, **fields}

    async def serve(self, method, path, query, headers, body):
        if headers.get('x-target-instance', self.name) != self.name:
            return 421, self.said()
        order = json.loads(body)
        token = order.get('fencing_token', 0)
        if token < self.token:
            return 409, self.said(reason='fence')
        self.token = token
        if path == '/-/run-start':
            return self.begin(order)
        if path == '/-/run-stop':
            return self.end_by_order(order)
        if path == '/-/hold':
            return await self.hold(order)
        return 404, self.said()

    def extend(self, expires):
        """Extends the lease of everything that runs here."""
        expires = min(expires, self.clock() + self.fleet.max_hold_ms)
        self.lease['until'] = max(self.lease.get('until', 0), expires)
        if 'timer' in self.lease:
            self.lease['timer'].cancel()
        delay = (self.lease['until'] - self.clock()) / 1000.0
        self.lease['timer'] = asyncio.get_running_loop().call_later(max(0.0, delay), self.lapse)

    def lapse(self):
        if self.clock() >= self.lease['until']:
            for run in list(self.running.values()):
                self.finish(run, 'lapsed')

    def begin(self, order):
        task, number = order['task'], order['run_id']
        if order['expires_ms'] <= self.clock():
            return 409, self.said(reason='late')
        self.extend(order['expires_ms'])
        known = self.running.get(task)
        if known is not None and known.number == number:
            return 200, self.said()
        if number <= self.closed_runs.get(task, 0):
            return 409, self.said(reason='old')
        if self.fleet.adviser is not None and not self.fleet.adviser.is_valid(self, order):
            return 409, self.said(reason='ticket')
        run = Run(task, number, self.fleet.work_of(task))
        self.running[task] = run
        run.timer = asyncio.get_running_loop().call_later(run.work_s, self.finish, run, self.fleet.how_ends)
        self.log('starts', task, 'run', number)
        self.fleet.began(self, run)
        return 200, self.said()

    def finish(self, run, how):
        if self.running.get(run.task) is not run or (run.is_stopping and how == self.fleet.how_ends):
            return
        del self.running[run.task]
        run.timer.cancel()
        self.closed_runs[run.task] = max(self.closed_runs.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, ''])
        self.next_end += 1
        self.log('ends', run.task, 'run', run.number, how)
        self.fleet.ended(self, run, how)
        self.ends_changed.set()
        self.ends_changed = asyncio.Event()

    def end_by_order(self, order):
        task, number = order['task'], order['run_id']
        run = self.running.get(task)
        if run is not None and run.number == number:
            if not run.is_stopping:
                run.is_stopping = True
                self.log('is told to stop', task, 'run', number)
                asyncio.get_running_loop().call_later(self.stop_s, self.finish, run, 'stopped')
        else:
            self.closed_runs[task] = max(self.closed_runs.get(task, 0), number)
        return 200, self.said()

    async def hold(self, order):
        for row in self.ended:
            if row[0] <= order.get('ack_cursor', 0):
                self.log('forgets the end', *row[:4])
                self.fleet.noted.append((self.fleet.record.now(), row[1], row[2], row[3]))
        self.ended = [row for row in self.ended if row[0] > order.get('ack_cursor', 0)]
        if 'expires_ms' in order:
            self.extend(order['expires_ms'])
        if not self.ended and order.get('wait_ms', 0) > 0:
            try:
                await asyncio.wait_for(self.ends_changed.wait(), order['wait_ms'] / 1000.0)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, '', 50, 0] for run in self.running.values()]
        return 200, self.said(running=running, ended_runs=self.ended[:500])


class Adviser:
    """The adviser: every runner may run every step. Its tickets hold for one life of a runner."""

    def __init__(self, fleet, port):
        self.fleet = fleet
        self.server = HttpServer(port, self.serve)
        self.address = '127.0.0.1:%d' % port

    def ticket(self, step, runner):
        return '%s-%s-%d' % (step, runner.name, runner.life)

    async def serve(self, method, path, query, headers, body):
        order = json.loads(body)
        await asyncio.sleep((self.fleet.decide_ms + self.fleet.period_ms * len(order['workers'])) / 1000.0)
        good = [[name, self.ticket(order['step'], self.fleet.runners[name])] for name in order['workers']
                if name in self.fleet.runners]
        return 200, {'good': good, 'valid_ms': self.fleet.valid_ms}

    def is_valid(self, runner, order):
        step = order['task'].rsplit('.', 1)[0]
        return order.get('ticket') == self.ticket(step, runner)


# Entry VMs.


class Vm:
    """One entry VM: a process of the project, started as deploy/system.toml says."""

    def __init__(self, fleet, name, zone, cpu_share):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.cpu_share = cpu_share
        self.front, self.ready, self.internal, self.metrics = free_ports(4)
        self.process = None
        self.lines = []
        self.reader = None

    def values(self):
        host = '127.0.0.1:%d'
        return {'node': self.name, 'zone': self.zone, 'listen.front': host % self.front,
                'listen.ready': host % self.ready, 'internal_ports.0': str(self.internal), 'ip': '127.0.0.1',
                'platform.address': self.fleet.store.address,
                'advice': self.fleet.adviser.address if self.fleet.adviser else '',
                'bounds.max_hold_ms': str(self.fleet.max_hold_ms), 'limits.cpu_share': str(self.cpu_share),
                'limits.link_mbps': str(self.fleet.link_mbps), 'bounds.status_s': str(self.fleet.status_s)}

    async def start(self):
        with open(os.path.join(ROOT, 'deploy', 'system.toml'), 'rb') as file:
            role = tomllib.load(file)['roles']['entry']
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        for name, text in role['env'].items():
            for field, value in self.values().items():
                text = text.replace('{{%s}}' % field, value)
            environment[name] = text
        # All VMs share one loopback address here, so that each needs a metrics port of its own.
        environment['KINGCUPLINK_METRICS_ADDRESS'] = '127.0.0.1:%d' % self.metrics
        words = role['run'].split(' ')
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, words[0]), *words[1:], cwd=ROOT, env=environment, limit=1 << 22,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL)
        self.reader = asyncio.ensure_future(self.follow(self.process))
        self.fleet.record.write('vm', self.name, 'starts')

    async def follow(self, process):
        while True:
            line = await process.stdout.readline()
            if not line:
                return
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            self.lines.append(entry)
            self.fleet.said(self, entry)

    def send_signal(self, number):
        self.fleet.record.write('vm', self.name, 'gets', signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        answer = await call(self.ready, 'GET', '/-/ready')
        return answer is not None and answer[0] == 200


async def call(port, method, path, headers=None, body=None, timeout=4.0):
    """Makes one call on a new connection; returns status and body, or None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            content = b'' if body is None else json.dumps(body).encode()
            lines = ['%s %s HTTP/1.1' % (method, path), 'Content-Type: application/json',
                     'Content-Length: %d' % len(content)]
            lines += ['%s: %s' % item for item in {'Host': '127.0.0.1', **(headers or {})}.items()]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + content)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    line, _, content = message
    try:
        return int(line.split(' ')[1]), json.loads(content) if content else None
    except ValueError:
        return int(line.split(' ')[1]), None


class Fleet:
    """A small deployment; the settings are those of the site whose name the claim gives."""

    heartbeat_ms = 1500
    max_hold_ms = 6000
    link_mbps = 1000.0
    decide_ms = 12.0
    period_ms = 0.17
    valid_ms = 1500
    status_s = 120

    def __init__(self, folder, has_adviser=True):
        self.record = Record(os.path.join(folder, 'record.txt'))
        store_port, adviser_port = free_ports(2)
        self.store = Store(self.record, store_port)
        self.adviser = Adviser(self, adviser_port) if has_adviser else None
        self.runners = {}
        self.vms = {}
        self.service = random_word()
        self.host = random_word() + '.example'
        self.prefix = '/' + random_word() + '/'
        self.key = random_word(20)
        self.version = 0
        self.max_count = {'cpu': 0, 'mem_mb': 0, 'gpus': 0}
        self.work = {}
        self.default_work_s = 1.0
        # How a run ends that is not stopped.
        self.how_ends = 'done'
        # Seen by the stand-ins: (time, runner, task, run) of starts, and (time, runner, task, run, how) of ends.
        self.starts = []
        self.ends = []
        # Ends that were taken note of: (time, task, run, how).
        self.noted = []
        self.on_start = None
        self.leader = None
        # Events of the VMs' logs that are copied to the record; they are not judged.
        self.noted_events = ()

    def configure(self):
        self.version += random.randint(1, 9)
        route = {'name': 'r-queue', 'host': self.host, 'path_prefix': self.prefix, 'kind': 'unsafe',
                 'timeout_ms': 3000, 'target_latency_ms': 1000, 'priority': 1, 'service': self.service,
                 'max_attempts': 4, 'stretch': 2.2, 'public': False}
        if self.adviser is not None:
            route['advice'] = {'decide_ms': self.decide_ms, 'period_ms': self.period_ms, 'valid_ms': self.valid_ms}
        service = {'name': self.service, 'health_path': '/health', 'max_conns': 64, 'protocol': 'h1', 'tls': False,
                   'cold_start_s': 0.0, 'cold_per_s': 0.0, 'admission_check': False, 'standby': False}
        limits = {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                  'idle_timeout_ms': 15000}
        tenant = {'name': 'tenant', 'api_keys': [self.key], 'priority': 1, 'weight': 26, 'max_count': self.max_count}
        self.store.put('keyed.op', 'config', json.dumps({
            'version': self.version, 'routes': [route], 'services': [service], 'limits': limits,
            'tenants': [tenant]}).encode())

    def add_runner(self, name, zone, labels, cpu, stop_s=0.05):
        self.runners[name] = Runner(self, name, zone, labels, cpu, stop_s)
        return self.runners[name]

    def add_vm(self, name, zone, cpu_share=0.25):
        self.vms[name] = Vm(self, name, zone, cpu_share)
        return self.vms[name]

    async def start(self):
        await self.store.start()
        if self.adviser is not None:
            await self.adviser.server.start()
        self.configure()
        for runner in self.runners.values():
            await runner.start()
        for vm in self.vms.values():
            await vm.start()
        await self.wait_for(self.all_ready, 20.0, 'the entry VMs to be ready')
        await self.wait_for(self.has_leader, 10.0, 'a leader')
        await asyncio.sleep(1.5)

    async def all_ready(self):
        for vm in self.vms.values():
            if not await vm.is_ready():
                return False
        return True

    async def has_leader(self):
        return self.leader is not None

    async def wait_for(self, condition, limit_s, what):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun('waited in vain for ' + what)

    def said(self, vm, entry):
        """Notes which VM leads, as the processes' logs say; it is used to choose where a disruption strikes."""
        event = entry.get('event')
        if event == 'leadership_begun':
            self.leader = vm.name
            self.record.write('vm', vm.name, 'leads, term', entry.get('term'))
        elif event in self.noted_events:
            self.record.write('vm', vm.name, 'logs', json.dumps(entry))

    def work_of(self, task):
        return self.work.get(task.split('.')[0], self.default_work_s)

    def began(self, runner, run):
        self.starts.append((self.record.now(), runner, run.task, run.number))
        if self.on_start is not None:
            self.on_start(runner, run)

    def ended(self, runner, run, how):
        self.ends.append((self.record.now(), runner, run.task, run.number, how))

    def running(self):
        """Returns all runs at this moment: pairs of runner and run."""
        return [(runner, run) for runner in self.runners.values() for run in getattr(runner, 'running', {}).values()]

    async def ask(self, vm, method, job, body=None, timeout=4.0):
        """Makes one client's call for a job."""
        headers = {'Host': self.host, 'Authorization': 'Token ' + self.key, 'X-Deadline-Ms': '3000'}
        self.record.write('client', method, job, 'to', vm.name)
        answer = await call(vm.front, method, self.prefix + job, headers, body, timeout)
        self.record.write('client', method, job, 'at', vm.name, 'is answered', answer)
        return answer

    async def end(self):
        await asyncio.gather(*(vm.end() for vm in self.vms.values()))


class CannotRun(Exception):
    pass


def run_case(folder, case):
    """Runs `case(folder)`, which returns what broke the rule as a list of lines, and exits as a script shall."""
    fleets = []

    async def body():
        task = asyncio.ensure_future(case(folder, fleets))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 115.0)
        finally:
            for fleet in fleets:
                await fleet.end()

    try:
        broken = asyncio.run(body())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print('the case could not run:', repr(error))
        sys.exit(2)
    for line in broken:
        print('broken:', line)
        fleets[0].record.write('BROKEN', line)
    if not broken:
        print('the rule held')
        fleets[0].record.write('the rule held')
    sys.exit(1 if broken else 0)
