"""SIGTERM of a machine whose consumers send requests ahead."""

import os
import signal
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from meshlib import (TROUBLE, CannotRun, Client, Reader, new_request_id, render,  # noqa: E402
                     route, run_case)

HOST = "queue.example"
CONNECTIONS = 4
BUDGET_MS = 2400
SLOW_S, FAST_S = 1.5, 0.1
# After the SIGTERM, in seconds. One machine in the zone: its consumers go on.
SLOW_AT, FAST_AT, LAST_AT = 2.0, 2.4, 2.55


def send(record, sock, name, path):
    request_id = new_request_id()
    record.add(name, "sends %s (GET %s)" % (request_id, path))
    sock.sendall(render("GET %s HTTP/1.1" % path,
                        [("Host", HOST), ("Request-Id", request_id),
                         ("Deadline-Ms", str(BUDGET_MS))]))
    return request_id


def consumer(record, node, number, start, outcome):
    """Sends three requests ahead of their answers on one kept connection."""
    name = "consumer-%d" % number
    with socket.create_connection((node.ip, node.outbound), 1) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(6)
        reader = Reader(sock)
        send(record, sock, name, "/queue/fast")
        reader.message()
        sent = []
        for at, path in ((SLOW_AT, "/queue/slow"), (FAST_AT, "/queue/fast"), (LAST_AT, "/queue/fast")):
            time.sleep(max(0, start + at - time.monotonic()))
            sent.append(send(record, sock, name, path))
        answered = []
        try:
            while len(answered) < len(sent):
                answer = reader.message()
                answered.append(answer.field("Request-Id"))
                record.add(name, "%s: %d, Connection: %s" % (
                    answered[-1], answer.status, answer.field("Connection")))
        except (EOFError, OSError) as error:
            record.add(name, "connection ends (%s) with %d of %d answers" % (
                type(error).__name__, len(answered), len(sent)))
    outcome.append((sent, len(answered)))


def play(mesh, record):
    for zone in mesh.zones:
        server, _ = mesh.add("queue-" + zone, "queue", zone)

        def work(request):
            time.sleep(SLOW_S if request.path.endswith("slow") else FAST_S)
            return 200, b"queue"
        server.work = work
        server.start()
    mesh.configure([route("queue", HOST, "/queue/", "queue", "idempotent", BUDGET_MS / 1000, public=True)])
    for node in mesh.nodes:
        node.start()
    mesh.wait_ready()
    time.sleep(4)
    node = mesh.nodes[0]
    if Client(record, node).call("GET", HOST, "/queue/fast", BUDGET_MS)[1] != 200:
        raise CannotRun("the mesh does not serve")
    outcome, threads = [], []
    start = time.monotonic() + 0.5
    for number in range(CONNECTIONS):
        thread = threading.Thread(target=consumer, args=(record, node, number, start, outcome))
        thread.start()
        threads.append(thread)
    time.sleep(max(0, start - time.monotonic()))
    if TROUBLE:
        node.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    runs = [one for server in mesh.servers for one in server.runs]
    lost = [one for sent, answers in outcome for one in sent[answers:] if one in runs]
    for one in lost:
        record.add("check", "LOST: %s was passed on and ran, but its connection ended without its answer" % one)
    return not lost


run_case(__file__, play)
