"""A small mesh on loopback addresses: nodes of the deployed program, and
stand-ins of the platform's store, of the servers and of their clients.

The stand-ins run in this process (asyncio) and follow PROTOCOL.md. Every node
is a process of its own, started by the line `run` of deploy/system.toml with
settings like those of the template.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "fescuewood")
BOUNDS = {"config_apply_s": 2, "revoke_s": 5, "quota_window_s": 5,
          "quota_overage": 0.25, "quota_slack": 20}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


class Store:
    """The platform's metadata store: kv-key, kv-range and kv-watch."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        self.refuse = lambda peer: False
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(raw).decode(),
                "revision": self.revision, "created": created, "lease_id": 0}
        self.items[key] = item
        self.events.append(item)
        self.wake()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        path, _, query = target.partition("?")
        given = dict(part.partition("=")[::2] for part in query.split("&") if part)
        prefix = given.get("prefix", "")
        if path == "/fescuewood/kv-range":
            after = given.get("after", "")
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return 200, {"items": found[:500], "has_more": len(found) > 500,
                         "at": self.revision}
        if path == "/fescuewood/kv-watch":
            after = int(given.get("after", 0))
            end = time.monotonic() + int(given.get("wait_ms", 0)) / 1000
            while True:
                found = [e for e in self.events
                         if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


async def read_message(reader):
    """Reads one HTTP message; returns (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) != b"\r\n":
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0].decode("latin-1"), fields, body


class Server:
    """An upstream beside a node."""

    def __init__(self, mesh, index, service, slots=6):
        self.mesh = mesh
        self.index = index
        self.service = service
        self.slots = slots
        self.ident = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.work_s = 0.02
        self.runs = []
        self.handle = None  # async (server, method, target, fields, body, writer)
        self.listener = None
        self.writers = set()

    async def start(self, ip, port):
        self.ip, self.port = ip, port
        self.listener = await asyncio.start_server(self.serve, ip, port)

    def entry(self, state="ready", cold=0):
        return {"service": self.service, "address": "%s:%d" % (self.ip, self.port),
                "zone": self.mesh.zone_of(self.index), "version": "v1",
                "slots": self.slots, "state": state, "warmup_left_s": cold,
                "sequence": self.sequence, "born": self.born}

    def register(self, state="ready", cold=0):
        self.sequence += 1
        self.mesh.store.put("servers/" + self.ident, self.entry(state, cold))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                if target == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n"
                                  "Content-Length: 2\r\n\r\nok" % self.ident).encode())
                    continue
                wanted = fields.get("target-instance", self.ident)
                if wanted != self.ident:
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                                  "Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                  % (self.ident, fields.get("request-id", ""))).encode())
                    continue
                run = {"at": self.mesh.record.now(), "id": fields.get("request-id"),
                       "method": method, "target": target, "fields": fields,
                       "body": body, "server": self}
                self.runs.append(run)
                self.mesh.record.note("server %d (%s) runs %s %s id=%s tenant=%s from=%s"
                                      % (self.index, self.service, method, target, run["id"],
                                         fields.get("tenant-id"), fields.get("caller-service")))
                if self.handle:
                    if await self.handle(self, run, reader, writer) == "close":
                        return
                    continue
                await asyncio.sleep(self.work_s)
                writer.write(self.answer(run))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def body_for(run):
        return ("%s %s %s" % (run["id"], run["method"], run["target"])).encode()

    def answer(self, run, status=200, body=None, extra=""):
        body = self.body_for(run) if body is None else body
        return ("HTTP/1.1 %d OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n%s"
                "Content-Length: %d\r\n\r\n"
                % (status, run["id"], run["id"], extra, len(body))).encode() + body


class Node:
    def __init__(self, mesh, index, service):
        self.mesh = mesh
        self.index = index
        self.service = service
        self.ip = mesh.ip(index)
        self.process = None

    def settings(self):
        mesh = self.mesh
        return """[node]
name = {ip}
domain = {zone}
service = {service}
slot = 0
address = {ip}

[callers]
listen = {ip}:{outbound}
max_connections = 2000
max_header_bytes = 65536
max_body_bytes = 16777216
read_timeout_ms = 60000
leave_notice_ms = 2200
drain_timeout_ms = 5200

[peers]
listen = {ip}:{inbound}
secret = fescuewood-on-the-platform

[target]
address = {ip}:{app}
max_connections = 60

[calls]
admission = slots
routing = near-first
region_cost_ms = 120
domain_ramp_ms = 3000
max_attempts = 4
crash_limit = 3
retry_reserve = 2

[platform]
source = store://{store}
watch_wait_ms = 900
timeout_ms = 800
regions = {regions}

[bounds]
change_apply_s = 2
key_withdrawal_s = 5
rate_window_s = 5
rate_overage = 0.25
rate_slack = 20

[operators]
listen = {ip}:{operators}
ready = {ip}:{ready}

[log]
level = info
""".format(ip=self.ip, zone=mesh.zone_of(self.index), service=self.service,
           outbound=mesh.port + 1, inbound=mesh.port + 2, app=mesh.port + 3,
           operators=mesh.port + 4, ready=mesh.port + 5, store=mesh.store.address,
           regions=",".join("zone-%d:home" % z for z in range(mesh.zones)))

    async def start(self):
        path = os.path.join(self.mesh.folder, "node-%d.ini" % self.index)
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.mesh.folder, "node-%d.log" % self.index), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "run", "--settings", path, stdout=log, stderr=log, cwd=ROOT)
        self.mesh.record.note("node %d started" % self.index)

    async def end(self, sig=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(sig)
            await self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.mesh.port + 5)
            writer.write(b"GET /fescuewood/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in first + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Mesh:
    """Stand-ins and nodes: services[i] is the service of machine i."""

    def __init__(self, record, services, zones=3, net="127.77"):
        self.record = record
        self.zones = zones
        self.net = "%s.%d" % (net, os.getpid() % 250 + 1)
        self.folder = tempfile.mkdtemp(prefix="mesh-")
        self.store = Store(record)
        self.port = 20000 + os.getpid() % 1000 * 10
        self.servers = [Server(self, i, s) for i, s in enumerate(services)]
        self.nodes = [Node(self, i, s) for i, s in enumerate(services)]
        self.version = 3
        self.routes = []
        self.tenants = []
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15}

    def ip(self, index):
        return "%s.%d" % (self.net, 10 + index)

    def zone_of(self, index):
        return "zone-%d" % (index % self.zones)

    def route(self, name, service, kind="idempotent", **more):
        route = {"name": name, "host": "shop.example", "prefix": "/%s/" % name,
                 "kind": kind, "timeout_s": 2.0, "target_latency_s": 0.5,
                 "priority": 1, "service": service, "max_attempts": 2, "public": False}
        route.update(more)
        self.routes.append(route)

    def configure(self):
        self.version += 2
        services = sorted({s.service for s in self.servers})
        self.store.put("op/config", {
            "version": self.version, "routes": self.routes,
            "services": [{"name": s, "health_path": "/health", "max_connections": 120,
                          "protocol": "h1", "tls": False, "slow_start_s": 3.0,
                          "warmup_per_s": 6.1} for s in services],
            "limits": self.limits, "tenants": self.tenants,
            "base_version": self.version - 2})
        self.record.note("configuration %d acknowledged" % self.version)

    async def start(self, limit_s=20):
        await self.store.start(self.net + ".250")
        for server in self.servers:
            await server.start(self.ip(server.index), self.port + 3)
            server.register()
        self.configure()
        for node in self.nodes:
            await node.start()
        end = time.monotonic() + limit_s
        while not all([await node.ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise CannotRun("the nodes do not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def stop(self):
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            if server.listener:
                server.listener.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def request(self, route, key, method="GET", deadline_ms=2000, body=b"", tail="1",
                extra="", ident=None):
        ident = ident or "%016x" % random.getrandbits(64)
        text = ("%s /%s/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\n"
                "Deadline-Ms: %d\r\n" % (method, route, tail, ident, deadline_ms))
        if key:
            text += "Authorization: Token %s\r\n" % key
        if body or method != "GET":
            text += "Content-Length: %d\r\n" % len(body)
        return ident, (text + extra + "\r\n").encode() + body

    async def ask(self, index, *args, timeout=5, **more):
        """Sends one request on a new connection; returns (id, status, body)."""
        ident, data = self.request(*args, **more)
        self.record.note("client sends %s to node %d" % (ident, index))
        status, body = None, b""
        try:
            reader, writer = await asyncio.open_connection(self.ip(index), self.port + 1)
            writer.write(data)
            first, _, body = await asyncio.wait_for(read_message(reader), timeout)
            status = int(first.split(" ")[1])
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            body = repr(error).encode()
        self.record.note("client gets %s for %s" % (status, ident))
        return ident, status, body
