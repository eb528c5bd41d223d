"""Stand-ins for the scripts of this review: the platform's store, servers and
clients, and a small mesh of the project's own nodes on loopback addresses.

Only the standard library is used. Each stand-in does what the users' pages
say; a case adds its disruption through the hooks of Server.
"""

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
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5

RULE_HELD = 0
RULE_BROKEN = 1
COULD_NOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with its time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, who, what):
        with self._lock:
            self._file.write("%8.3f  %-12s %s\n" % (self.now(), who, what))
            self._file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def listen_on(ip, port, backlog=128):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((ip, port))
    listener.listen(backlog)
    return listener


class Message:
    """A request or an answer: first line, fields and body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return None

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def path(self):
        return self.first.split(" ")[1]


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def _line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def _bytes(self, count):
        while len(self.buffer) < count:
            self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def message(self):
        """The next message. Raises EOFError if the connection ends first."""
        first = self._line()
        fields = []
        while True:
            line = self._line()
            if not line:
                break
            name, value = line.split(":", 1)
            fields.append((name, value.strip()))
        result = Message(first, fields, b"")
        if (result.field("Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int(self._line().split(";")[0], 16)
                if size == 0:
                    while self._line():
                        pass
                    return result
                result.body += self._bytes(size)
                self._line()
        result.body = self._bytes(int(result.field("Content-Length") or 0))
        return result


def render(first, fields, body=b""):
    lines = [first] + ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store, for readers: kv-key, kv-range and kv-watch."""

    def __init__(self, ip):
        self.ip, self.port = ip, free_port(ip)
        self._items = {}
        self._events = []
        self._revision = 1
        self._changed = threading.Condition()
        self._listener = listen_on(self.ip, self.port)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def put(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("created", self._revision)
            item = {"key": key, "value": text, "revision": self._revision,
                    "created": created, "lease_id": 0}
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key):
        with self._changed:
            if self._items.pop(key, None) is None:
                return
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision,
                                 "removed": True})
            self._changed.notify_all()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                request = reader.message()
                status, answer = self._answer(request.path)
                body = json.dumps(answer).encode()
                sock.sendall(render("HTTP/1.1 %d Status" % status,
                                    [("Content-Type", "application/json")], body))
        except (EOFError, OSError):
            sock.close()

    def _answer(self, path):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/fescuewood/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if parts.path == "/fescuewood/kv-watch":
            return 200, self._watch(query.get("prefix", ""), int(query["after"]),
                                    int(query["wait_ms"]) / 1000)
        with self._changed:
            item = self._items.get(query.get("key", ""))
            return (200, dict(item, at=self._revision)) if item else (404, {})

    def _range(self, prefix, after):
        with self._changed:
            items = [item for key, item in sorted(self._items.items())
                     if key.startswith(prefix) and key > after]
            return {"items": items, "has_more": False, "at": self._revision}

    def _watch(self, prefix, after, wait_s):
        def news():
            return [event for event in self._events
                    if event["revision"] > after and event["key"].startswith(prefix)]
        with self._changed:
            self._changed.wait_for(news, wait_s)
            return {"events": news(), "at": self._revision}


class Server:
    """An application server with its entry in the store.

    A case overrides the hooks: work(request) runs a request and returns status
    and body, health() returns the status of the health answer, and
    before_answer(conn, request) may write on the connection first.
    """

    def __init__(self, record, store, name, service, zone, ip, slots=6):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone = service, zone
        self.ip, self.port = ip, free_port(ip)
        self.slots = slots
        self.runs = []  # Ids of the requests that have run, in order.
        self.id = None
        self.work = lambda request: (200, b"ok")
        self.health = lambda: 200
        self.before_answer = lambda conn, request: None
        self.after_answer = lambda conn, request, answer: None
        self._lock = threading.Lock()
        self._connections = set()
        self._listener = None

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def start(self, register_after_s=0.0):
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._listener = listen_on(self.ip, self.port)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()
        threading.Thread(target=self._beat, args=(self.id, register_after_s),
                         daemon=True).start()
        self.record.add(self.name, "starts as %s on %s" % (self.id, self.address))

    def crash(self, lapse_s=3 * HEARTBEAT_S):
        """Ends without a word; the entry lapses after three silent heartbeats."""
        old_id, self.id = self.id, None
        self.record.add(self.name, "crashes as %s" % old_id)
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections, self._connections = self._connections, set()
        for sock in connections:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                b"\x01\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass
        threading.Timer(lapse_s, self.store.remove, ["servers/" + old_id]).start()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready",
                "warmup_left_s": 0, "sequence": self.sequence, "born": self.born}

    def _beat(self, own_id, delay_s):
        time.sleep(delay_s)
        while self.id == own_id:
            self.sequence += 1
            self.store.put("servers/" + own_id, self.entry())
            time.sleep(HEARTBEAT_S)

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        own_id = self.id
        try:
            while True:
                request = reader.message()
                answer = self._answer(sock, request, own_id)
                sock.sendall(answer)
                self.after_answer(sock, request, answer)
        except (EOFError, OSError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            sock.close()

    def _answer(self, sock, request, own_id):
        request_id = request.field("Request-Id")
        if request.path == "/health":
            self.before_answer(sock, request)
            status = self.health()
            self.record.add(self.name, "health check answered %d" % status)
            return render("HTTP/1.1 %d Health" % status, [("Instance-Id", own_id)])
        expected = request.field("Target-Instance")
        if expected and expected != own_id:
            self.before_answer(sock, request)
            self.record.add(self.name, "%s is for %s: answers 421" % (request_id, expected))
            return render("HTTP/1.1 421 Misdirected Request",
                          [("Request-Id", request_id), ("Instance-Id", own_id)])
        self.before_answer(sock, request)
        with self._lock:
            self.runs.append(request_id)
        self.record.add(self.name, "runs %s (%s %s)" % (request_id, request.method, request.path))
        status, body = self.work(request)
        self.record.add(self.name, "answers %s with %d" % (request_id, status))
        return render("HTTP/1.1 %d Status" % status,
                      [("Request-Id", request_id),
                       ("Response-Signature", "sig-%s" % request_id)], body)


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, mesh, server):
        self.mesh, self.server = mesh, server
        self.ip = server.ip
        self.outbound = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.operators = free_port(self.ip)
        self.process = None

    def start(self):
        path = os.path.join(self.mesh.folder, "settings-%s.ini" % self.ip)
        with open(path, "w", encoding="utf-8") as out:
            out.write(self._settings())
        log = open(os.path.join(self.mesh.folder, "node-%s.log" % self.ip), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/fescuewood"), "run", "--settings", path],
            stdout=log, stderr=log, cwd=ROOT)
        self.mesh.record.add("node " + self.server.name, "starts as process %d" % self.process.pid)

    def _settings(self):
        values = {
            "ip": self.ip, "zone": self.server.zone, "service": self.server.service,
            "app_address": self.server.address,
            "listen_addresses.outbound": "%s:%d" % (self.ip, self.outbound),
            "listen_addresses.inbound": "%s:%d" % (self.ip, self.mesh.peer_port),
            "listen_addresses.ready": "%s:%d" % (self.ip, self.ready_port),
            "provider.address": self.mesh.store.address,
            "bounds.config_apply_s": "2", "bounds.revoke_s": "5",
            "bounds.quota_window_s": "5", "bounds.quota_overage": "0.25",
            "bounds.quota_slack": "20",
        }
        with open(os.path.join(ROOT, "deploy/settings.ini"), encoding="utf-8") as template:
            text = template.read()
        zones = ",".join("%s:region" % zone for zone in self.mesh.zones)
        text = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", zones, text)
        for name, value in values.items():
            text = text.replace("{{%s}}" % name, value)
        if "{{" in text:
            raise CannotRun("the settings template has an unknown placeholder")
        return text.replace("%s:7000" % self.ip, "%s:%d" % (self.ip, self.operators))

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port), 1) as sock:
                sock.sendall(b"GET /fescuewood/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return Reader(sock).message().status == 200
        except (OSError, EOFError):
            return False

    def signal(self, number):
        self.mesh.record.add("node " + self.server.name, "gets %s" % number.name)
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Mesh:
    """A store, servers with their nodes, and a configuration."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="fescuewood-review-")
        self.base = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.store = Store(self.base + ".1")
        self.peer_port = free_port(self.base + ".1")
        self.servers, self.nodes = [], []
        self.version = 0

    def add(self, name, service, zone, slots=6):
        ip = "%s.%d" % (self.base, 10 + len(self.servers))
        server = Server(self.record, self.store, name, service, zone, ip, slots)
        node = Node(self, server)
        self.servers.append(server)
        self.nodes.append(node)
        return server, node

    def configure(self, routes, tenants=()):
        self.version += 7
        names = sorted({server.service for server in self.servers})
        services = [{"name": name, "health_path": "/health", "max_connections": 120,
                     "protocol": "h1", "tls": False, "slow_start_s": 3.0,
                     "warmup_per_s": 6.1} for name in names]
        self.store.put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15},
            "tenants": list(tenants), "base_version": self.version - 7})

    def wait_ready(self, limit_s=40):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            waiting = [node.server.name for node in self.nodes if not node.is_ready()]
            if not waiting:
                return
            time.sleep(0.1)
        raise CannotRun("not ready after %d s: %s" % (limit_s, ", ".join(waiting)))

    def end(self):
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, kind, timeout_s, attempts=2, public=False):
    return {"name": name, "host": host, "prefix": prefix, "service": service,
            "kind": kind, "timeout_s": timeout_s, "target_latency_s": timeout_s / 4,
            "priority": 1, "max_attempts": attempts, "public": public}


def new_request_id():
    return "%016x" % random.getrandbits(64)


class Client:
    """A consumer's connection to the outbound address of its own machine."""

    def __init__(self, record, node, name="client"):
        self.record, self.node, self.name = record, node, name
        self.sock = None

    def connect(self):
        self.sock = socket.create_connection((self.node.ip, self.node.outbound), 1)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def call(self, method, host, path, deadline_ms, body=b"", request_id=None,
             key=None):
        """Sends a request and returns (id, status, answer); status None: no
        answer within the deadline and half a second, 0: connection closed."""
        request_id = request_id or new_request_id()
        fields = [("Host", host), ("Request-Id", request_id),
                  ("Deadline-Ms", str(deadline_ms))]
        if key:
            fields.append(("Authorization", "Token " + key))
        if self.sock is None:
            self.connect()
        self.sock.settimeout(deadline_ms / 1000 + 0.5)
        self.record.add(self.name, "sends %s (%s %s, %d ms)" % (request_id, method, path, deadline_ms))
        try:
            self.sock.sendall(render("%s %s HTTP/1.1" % (method, path), fields, body))
            answer = self.reader.message()
        except socket.timeout:
            self.close()
            self.record.add(self.name, "%s: no answer" % request_id)
            return request_id, None, None
        except (EOFError, OSError) as error:
            self.close()
            self.record.add(self.name, "%s: connection closed (%s)" % (request_id, type(error).__name__))
            return request_id, 0, None
        self.record.add(self.name, "%s: %d %s" % (request_id, answer.status, answer.body[:120]))
        if (answer.field("Connection") or "").lower() == "close":
            self.close()
        return request_id, answer.status, answer

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = None


def run_case(case_file, play):
    """Plays a case: play(mesh, record) returns whether the rule held."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt"))
    record.add("case", "with the disruption" if TROUBLE else "without the disruption")
    mesh = None

    def interrupted(_number, _frame):
        raise CannotRun("interrupted")
    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    try:
        if not os.access(os.path.join(ROOT, "target/fescuewood"), os.X_OK):
            raise CannotRun("target/fescuewood is not built")
        mesh = Mesh(record)
        held = play(mesh, record)
        record.add("case", "the rule held" if held else "the rule was broken")
        code = RULE_HELD if held else RULE_BROKEN
    except CannotRun as error:
        record.add("case", "could not run: %s" % error)
        code = COULD_NOT_RUN
    except Exception as error:  # A fault of the script says nothing of the rule.
        record.add("case", "could not run: %r" % error)
        import traceback
        traceback.print_exc()
        code = COULD_NOT_RUN
    finally:
        if mesh:
            mesh.end()
    sys.stdout.flush()
    os._exit(code)
