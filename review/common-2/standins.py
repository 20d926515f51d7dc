"""Stand-ins for the cases of the second review: the platform's store, model
replicas, plain replicas, clients, and the platform's starting and stopping of
processes. They follow the users' pages (PROTOCOL.md, DEPLOY.md). Only the
standard library of Python is used, and only loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STAMP = "X-Server-Stamp"
HEARTBEAT_S = 1.2
HISTORY_S = 20


def trouble():
    """Whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_net():
    """Returns the beginning of loopback addresses that this run uses."""
    return "127.%d.%d." % (random.randint(2, 250), random.randint(1, 250))


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.out = open(self.path, "w")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.out.write("%8.3f %s\n" % (self.now(), text))
        self.out.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


# --- HTTP


class Request:
    def __init__(self, method, target, headers, body, reader):
        self.method = method
        self.target = target
        self.headers = headers  # list of (name, value)
        self.body = body
        self.reader = reader
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Reads a head; returns its first line and headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = []
    while True:
        row = await reader.readline()
        if not row:
            return None
        row = row.rstrip(b"\r\n")
        if not row:
            break
        name, _, value = row.decode("latin1").partition(":")
        headers.append((name.strip(), value.strip()))
    return line.decode("latin1").rstrip("\r\n"), headers


def find(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, headers):
    if (find(headers, "Transfer-Encoding") or "").lower() == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    length = int(find(headers, "Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


class Server:
    """An HTTP/1.1 server. `handler(request, writer)` returns (status, headers,
    body), WRITTEN if it has written the response itself, or None to close the
    connection."""

    def __init__(self, host, handler, port=0):
        self.host, self.handler, self.port = host, handler, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=2**26)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, reader)
                answer = await self.handler(request, writer)
                if answer is None:
                    break
                if answer is WRITTEN:
                    continue
                status, headers, body = answer
                writer.write(response_bytes(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# What a handler returns that has written the whole response itself.
WRITTEN = object()

REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 422: "Unprocessable Entity",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response_bytes(status, headers, body):
    head = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    head += "".join("%s: %s\r\n" % pair for pair in headers)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """Sends one request on a new connection, as the pages say that clients do
    for batch jobs. Returns (status, headers, body), or None without a complete
    answer."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**26)
        try:
            head = "%s %s HTTP/1.1\r\n" % (method, target)
            head += "".join("%s: %s\r\n" % pair for pair in headers)
            if body or method != "GET":
                head += "Content-Length: %d\r\n" % len(body)
            writer.write((head + "\r\n").encode() + body)
            await writer.drain()
            got = await read_head(reader)
            if got is None:
                return None
            return int(got[0].split(" ")[1]), got[1], await read_body(reader, got[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# --- The platform's store


class Store:
    """The platform's key-value store of PROTOCOL.md. Each machine has its own
    address of it, so that the store can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []  # (revision, event, time)
        self.forgotten = 0  # up to this revision
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.servers = {}
        self.turned_away = {}  # machine -> 503 | "silent"
        self.watches = {}  # prefix -> machines that wait
        self.expiry = None

    async def open_for(self, machine, host):
        async def handle(request, writer):
            return await self.handle(machine, request)

        self.servers[machine] = await Server(host, handle).start()
        if self.expiry is None:
            self.expiry = asyncio.create_task(self.expire())
        return self.servers[machine].address

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            old = sum(1 for _, _, at in self.history if now - at > HISTORY_S)
            if old:
                self.forgotten = self.history[old - 1][0]
                del self.history[:old]
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, item in self.items.items() if item["Lease"] == lease]
        await self.write([], gone)

    async def write(self, puts, removals):
        """Writes (key, value, lease) and removes keys, as one revision."""
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, {}).get("Created", self.revision)
            item = {"Key": key, "Value": value, "Revision": self.revision,
                    "Created": created, "Lease": lease}
            self.items[key] = item
            self.history.append((self.revision, item, time.monotonic()))
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"Key": key, "Revision": self.revision, "Removed": True}
                self.history.append((self.revision, event, time.monotonic()))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        """A write of the operator, a trainer or a replica."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.write([(key, text, 0)], [])

    async def remove(self, key):
        return await self.write([], [key])

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["Value"])

    async def handle(self, machine, request):
        away = self.turned_away.get(machine)
        if away == "silent":
            await asyncio.sleep(3600)
        if away == 503:
            return 503, [], b"{}"
        status, body = await self.answer(machine, request)
        return status, [("Content-Type", "application/json")], json.dumps(body).encode()

    async def answer(self, machine, request):
        path, query = request.path, request.query
        if path == "/briarspread/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, dict(item, StoreRevision=self.revision)
        if path == "/briarspread/kv-range":
            return self.range(query)
        if path == "/briarspread/kv-watch":
            return await self.watch(machine, query)
        if path == "/briarspread/kv-txn":
            return await self.transact(json.loads(request.body))
        if path == "/briarspread/kv-lease":
            ttl = max(1000, int(json.loads(request.body)["TtlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/briarspread/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            ttl = self.leases[number][1]
            self.leases[number] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        await self.end_lease(number)
        return 200, {}

    def range(self, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["Value"])
            if page and (len(page) >= 500 or size > 1_000_000):
                break
            page.append(self.items[key])
        return 200, {"Items": page, "MorePages": len(page) < len(keys),
                     "StoreRevision": self.revision}

    async def watch(self, machine, query):
        prefix, after = query.get("Prefix", ""), int(query["After"])
        until = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        waiting = self.watches.setdefault(prefix, [])
        waiting.append(machine)
        try:
            while True:
                if after < self.forgotten:
                    return 410, {}
                events = [e for r, e, _ in self.history
                          if r > after and e["Key"].startswith(prefix)]
                left = until - time.monotonic()
                if machine in self.turned_away:
                    # "no response" while this machine is turned away; 503 at the
                    # end of the wait, as for any other call.
                    if left <= 0:
                        return 503, {}
                    await asyncio.sleep(min(left, 0.05))
                    continue
                if events or left <= 0:
                    return 200, {"events": events, "StoreRevision": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        finally:
            waiting.remove(machine)

    async def transact(self, body):
        for put in body.get("Put", []):
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if len(base64.b64decode(put["Value"])) > 1048576:
                return 400, {}
            if put.get("Lease", 0) and put["Lease"] not in self.leases:
                return 404, {}
        rows = body.get("Expected", [])
        current = [self.items.get(r["Key"]) or {"Key": r["Key"], "Revision": 0}
                   for r in rows]
        if any(c["Revision"] != r["Revision"] for c, r in zip(current, rows)):
            return 412, {"Items": current}
        puts = [(p["Key"], p["Value"], p.get("Lease", 0)) for p in body.get("Put", [])]
        return 200, {"Revision": await self.write(puts, body.get("Remove", []))}

    def stop(self):
        for server in self.servers.values():
            server.stop()


# --- Replicas


class Replica:
    """A plain replica or a model replica that registers itself in the store."""

    def __init__(self, store, record, host, zone, service, name, models=(),
                 slots=12, event_s=0.02, events=20):
        self.store, self.record = store, record
        self.id, self.zone, self.service = name, zone, service
        self.slots, self.event_s, self.events = slots, event_s, events
        self.models = {model: 1 for model in models}
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = Server(host, self.handle)
        self.answer_item = lambda item, run: 200
        self.runs = {}  # attempt id -> times that it has run
        self.seen = []  # (time, attempt id, target, body, headers)
        self.running = 0
        self.busy = False
        self.beat = None

    async def start(self):
        await self.server.start()
        await self.register()
        self.beat = asyncio.create_task(self.keep_registered())
        return self

    async def keep_registered(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.state != "gone":
                await self.register()

    async def register(self):
        self.sequence += 1
        entry = {"Service": self.service, "Address": self.server.address,
                 "Zone": self.zone, "Version": "v1", "Slots": self.slots,
                 "State": self.state, "ColdRemainingMs": 0,
                 "Sequence": self.sequence, "born": self.born}
        if self.models:
            entry["Stage"] = "both"
            entry["Models"] = self.loaded()
        await self.store.put("servers/" + self.id, entry)

    def loaded(self):
        return [{"Name": name, "Version": version, "Adapters": []}
                for name, version in self.models.items()]

    def basics(self, attempt):
        load = "%d,0,%d" % (self.running, self.slots)
        return [("X-Attempt-Id", attempt or ""), ("X-Instance-Id", self.id),
                ("X-Instance-Load", load)]

    async def handle(self, request, writer):
        expected = request.header("X-Expect-Instance")
        attempt = request.header("X-Attempt-Id")
        if expected not in (None, self.id):
            return 421, self.basics(attempt), b""
        if request.path == "/briarspread/report":
            body = {"Stage": "both", "Models": self.loaded(), "Busy": self.busy,
                    "Sequence": self.orders(), "Queued": 0, "Active": self.running,
                    "KvUsed": 0, "KvTotal": 35617, "Handles": 0}
            return 200, [("Content-Type", "application/json")], json.dumps(body).encode()
        if request.path == "/briarspread/order":
            return await self.order(json.loads(request.body))
        if request.path == "/healthz":
            return 200, self.basics(attempt), b""
        if attempt is None:
            return 400, self.basics(attempt) + [("X-Not-Executed", "1")], b""
        self.seen.append((self.record.now(), attempt, request.target, request.body,
                          request.headers))
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        if not self.models:
            await asyncio.sleep(0.02)
            self.record.add("%s runs %s" % (self.id, attempt))
            stamp = "%s.%s.%d" % (self.id, attempt, self.runs[attempt])
            return 200, self.basics(attempt) + [(STAMP, stamp)], b"answer of " + attempt.encode()
        return await self.generate(request, attempt, writer)

    def orders(self):
        return getattr(self, "order_count", 0)

    async def order(self, body):
        if self.busy:
            return 409, [], b"{}"
        if "Expected" in body and body["Expected"] != self.orders():
            return 409, [], b"{}"
        model, version = body["Model"], body["Version"]
        self.record.add("%s order %s" % (self.id, json.dumps(body)))
        if self.models.get(model, 0) >= version:
            return 200, [], b"{}"
        self.order_count = self.orders() + 1
        self.busy = True

        async def load():
            await asyncio.sleep(0.9)
            self.models[model] = version
            self.busy = False
            await self.register()

        asyncio.create_task(load())
        return 202, [], b"{}"

    async def generate(self, request, attempt, writer):
        """Streams the events of an item; resumes after `Last-Event-Id`."""
        run = self.runs[attempt]
        status = self.answer_item(attempt, run)
        self.record.add("%s runs item %s run=%d after=%s answers=%d" % (
            self.id, attempt, run, request.header("Last-Event-Id", "-"), status))
        stamp = (STAMP, "%s.%s.%d" % (self.id, attempt, run))
        if status != 200:
            return status, self.basics(attempt) + [stamp], b"failed"
        model = request.header("X-Model")
        version = self.models.get(model, 1)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\nX-Weight-Versions: %d\r\n" % version
        head += "".join("%s: %s\r\n" % pair for pair in self.basics(attempt) + [stamp])
        writer.write((head + "\r\n").encode())
        self.running += 1
        try:
            first = int(request.header("Last-Event-Id", "0")) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                text = ""
                if self.models.get(model, 1) != version:
                    version = self.models[model]
                    text = "x-weight-versions: %d\n" % version
                text += "id: %d\ndata: %s\n\n" % (number, event_text(attempt, number))
                if request.reader.at_eof():
                    # The caller has closed the connection: the run is dropped.
                    return None
                writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return WRITTEN

    def stop(self):
        self.state = "gone"
        if self.beat is not None:
            self.beat.cancel()
        self.server.stop()


def event_text(item, number):
    return "%s-%d" % (item, number)


def whole_text(item, events):
    return "\n".join(event_text(item, n) for n in range(1, events + 1))


# --- The platform: processes of the system


class Machine:
    """An edge machine: its settings file and its process."""

    def __init__(self, platform, name, ip, zone, seeds, memory_mb):
        self.platform, self.name, self.ip, self.zone = platform, name, ip, zone
        self.memory_mb = memory_mb
        self.seeds = seeds
        self.process = None
        self.kept_log = os.path.join(platform.folder, name + ".log")
        self.frontend = "%s:%d" % (ip, free_port(ip))
        self.ready = "%s:%d" % (ip, free_port(ip))
        self.control = "%s:%d" % (ip, platform.control_port)
        self.starts = 0
        self.ends_by_itself = 0

    async def settings(self):
        platform = self.platform
        if self.name not in platform.store.servers:
            await platform.store.open_for(self.name, platform.net + "250")
        rows = {
            "NodeName": self.name, "Role": "edge", "MachineClass": "edge",
            "Serves": "edge,control", "Ip": self.ip, "Zone": self.zone,
            "Region": platform.zones[self.zone],
            "Listen.Frontend": self.frontend, "Listen.Ready": self.ready,
            "Listen.ControlPlane": self.control, "PortRange": "7380,7395",
            "SeedNodes": ",".join(self.seeds()), "Bootstrap": "true",
            "ToleranceCounted": "false", "Limits.CpuFraction": "0.25",
            "Limits.CpuCores": "1", "Limits.MemoryMb": str(self.memory_mb),
            "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "0", "Discovery": "platform", "Entry": "vip",
            "HeartbeatMs": "1200",
            "Contracts": "base,drain,config,cost,recover,samples,stream,engine,batch,platform",
            "FaultTolerance.Machines": "1", "FaultTolerance.Zones": "0",
            "FaultTolerance.Regions": "0", "Bounds.SeedLagS": "3",
            "Bounds.ReuseAfterS": "2", "Bounds.StableMs": "4000",
            "Bounds.AckMs": "5000", "Bounds.CatchUpS": "4.6",
            "Bounds.DrainMs": "2500", "Bounds.GraceS": "8",
            "Bounds.LossSlackMs": "200", "Bounds.ConfigApplyMs": "2500",
            "Bounds.RevertSlackMs": "250", "Bounds.OuterBoundMs": "6000",
            "Bounds.RecoverS": "12", "Bounds.PassMs": "300",
            "Bounds.RetryAfterS": "0", "Bounds.FinishS": "10",
            "Bounds.StatusS": "120", "Bounds.CancelMs": "3000",
            "Bounds.SettleMs": "1000", "Bounds.QuotaOvershoot": "0.1",
            "Bounds.FencingEnforced": "false", "Bounds.LeaseMs": "3000",
            "Bounds.ThawMs": "300",
            "Platform.Address": platform.store.servers[self.name].address,
            "Platform.form": "kv", "Platform.WritesPerS": "400",
            "Platform.ReadsPerS": "2000", "Platform.HistoryS": "20",
            "Platform.ValueBytes": "1048576", "Platform.TtlMinMs": "1000",
        }
        for zone, region in platform.zones.items():
            rows["Zones." + zone] = region
        return "".join("%s=%s\n" % row for row in rows.items())

    async def start(self):
        path = os.path.join(self.platform.folder, self.name + ".conf")
        with open(path, "w") as out:
            out.write(await self.settings())
        env = {"BRIARSPREAD_SETTINGS": path, "PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"), "LANG": "C"}
        log = open(self.kept_log, "ab")
        self.process = subprocess.Popen(
            self.platform.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.starts += 1
        self.platform.record.add("start %s" % self.name)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.platform.record.add("signal %s to %s" % (
                signal.Signals(number).name, self.name))

    async def stop_and_start(self, down_s=0.5):
        """SIGTERM, SIGKILL after GraceS, and a start after a short delay."""
        self.send(signal.SIGTERM)
        until = time.monotonic() + 8
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.kill()
        await asyncio.sleep(down_s)
        await self.start()

    def kill(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.send(signal.SIGKILL)
        self.process.wait()

    def memory(self, field="VmRSS"):
        """Returns the process's memory in MB."""
        try:
            with open("/proc/%d/status" % self.process.pid) as status:
                for line in status:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def enforce_memory(self):
        """Does as the platform: kills the process once it uses more than
        MemoryMb, and starts it again."""
        while True:
            await asyncio.sleep(0.02)
            used = self.memory()
            if used > self.memory_mb:
                self.ends_by_itself += 1
                self.platform.record.say("%s uses %.0f MB of %d and is killed, time %d" % (
                    self.name, used, self.memory_mb, self.ends_by_itself))
                self.kill()
                await asyncio.sleep(1.0)
                await self.start()

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/briarspread/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200


class Platform:
    """The machines of a small deployment, its store and its operator."""

    def __init__(self, record, zones, memory_mb=260):
        self.record, self.zones, self.memory_mb = record, zones, memory_mb
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.control_port = free_port("127.0.0.1")
        self.store = Store(record)
        self.machines = {}
        self.replicas = []
        self.version = 0
        with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
            text = deploy.read()
        role = text[text.index("[roles.edge]"):]
        self.command = re.search(r'run = "([^"]*)"', role).group(1).split(" ")

    def seeds(self):
        return [m.control for m in list(self.machines.values())[:3]]

    def add_machine(self, name, zone, memory_mb=None):
        ip = self.net + str(len(self.machines) + 1)
        self.machines[name] = Machine(self, name, ip, zone, self.seeds,
                                      memory_mb or self.memory_mb)
        return self.machines[name]

    async def add_replica(self, **named):
        host = self.net + str(100 + len(self.replicas))
        replica = Replica(self.store, self.record, host, **named)
        self.replicas.append(replica)
        return await replica.start()

    async def configure(self, routes, services):
        self.version += random.randint(1, 5)
        config = {"Version": self.version, "Routes": routes, "Services": services,
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
        await self.store.put("op/config", config)
        self.record.add("operator's configuration %d is acknowledged" % self.version)

    async def start_all(self):
        for machine in self.machines.values():
            await machine.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            ready = [await m.is_ready() for m in self.machines.values()]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the machines are not ready in 15 s")

    def silent_address(self, number):
        """Returns an address where nobody answers: a listener whose queue is
        full, so that further connections hang."""
        listener = socket.socket()
        listener.bind((self.net + str(200 + number), self.control_port))
        listener.listen(0)
        self.held = getattr(self, "held", []) + [listener]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self.held.append(filler)
        return "%s%d:%d" % (self.net, 200 + number, self.control_port)

    def stop(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


# --- Trainers


def service(name, models=()):
    entry = {"Name": name, "HealthPath": "/healthz", "MaxConns": 150,
             "Protocol": "h1", "Tls": False}
    if models:
        entry["Engine"] = {"Slots": 12, "KvCapacity": 35617, "KvTokenBytes": 18432,
                           "LinkMbps": 2200000.0,
                           "Models": [{"Name": m} for m in models]}
    return entry


def rollout_route(name, host, prefix, to, attempts=3, single=False):
    route = {"Name": name, "Host": host, "Prefix": prefix, "Type": "rollout",
             "TimeoutMs": 10000, "LatencyGoalMs": 400, "Priority": 1, "Service": to,
             "MaxAttempts": attempts, "DueMs": 7500, "ItemTtlS": 40}
    if single:
        route["SingleVersion"] = True
    return route


def owner_of(platform, lot):
    """Returns the machine whose name the system's record of a job holds. Only
    used to aim a disruption, never to judge."""
    record = platform.store.value("job-records/" + lot) or b""
    return next((m for m in platform.machines.values()
                 if m.name.encode() in record), None)


def job_id():
    return "%016x" % random.getrandbits(64)


def make_job(model, prefix, groups, size, step=0, min_version=1, body=b"prompt"):
    items = []
    for group in range(groups):
        name = job_id()
        for _ in range(size):
            items.append({
                "Id": job_id(), "Path": prefix + job_id()[:4],
                "Headers": {"X-Model": model, "X-Token-Count": "271,40",
                            "X-Prompt-Prefix": "%s:255,%s:16" % (name[:6], job_id()[:6])},
                "Body": base64.b64encode(body).decode(), "Tokens": 311, "Group": name})
    return {"Step": step, "Model": model, "MinVersion": min_version,
            "TargetGroups": max(1, int(groups * 0.9)), "Items": items}


async def submit(address, host, prefix, job, lot, timeout=6.0):
    headers = [("Host", host), ("X-Attempt-Id", lot),
               ("Content-Type", "application/json")]
    return await call(address, "POST", prefix + lot[:6], headers,
                      json.dumps(job).encode(), timeout)


async def read_lot(address, host, lot, after, wait_ms=1000):
    headers = [("Host", host), ("X-Wait-Ms", str(wait_ms))]
    answer = await call(address, "GET", "/briarspread/lots/%s?After=%d" % (lot, after),
                        headers, timeout=wait_ms / 1000 + 1.5)
    if answer is None or answer[0] != 200:
        return answer[0] if answer else None
    return json.loads(answer[2])


async def read_all(address, host, lot, total, until, record=None):
    """Reads results until all are there or the time is over."""
    results = []
    while len(results) < total and time.monotonic() < until:
        page = await read_lot(address() if callable(address) else address, host, lot,
                              len(results))
        if isinstance(page, dict):
            for result in page["Results"]:
                if record is not None:
                    record.add("lot %s position %d item %s %s" % (
                        lot, len(results), result["Id"], result["State"]))
                results.append(result)
        else:
            await asyncio.sleep(0.3)
    return results


def main(folder, play):
    """Runs a case: `play(record)` returns whether the rule held. Ends the
    process without waiting for what the stand-ins still do."""
    record = Record(os.path.abspath(folder))

    async def run():
        status = 2
        try:
            if not os.path.exists(os.path.join(ROOT, "target/bin/briarspread-edge")):
                raise CannotRun("target/bin/briarspread-edge is not built")
            held = await asyncio.wait_for(play(record), 110)
            record.say("the rule %s" % ("held" if held else "was broken"))
            status = 0 if held else 1
        except (CannotRun, asyncio.TimeoutError) as error:
            record.say("the case could not run: %r" % (error,))
        except Exception as error:  # A fault of the case itself.
            record.say("the case failed: %r" % (error,))
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run())
