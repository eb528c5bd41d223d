"""Chunked requests while one tenant sends eight times its usual."""

import os
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from meshlib import (TROUBLE, CannotRun, Client, Reader, new_request_id, route,  # noqa: E402
                     run_case)

HOST = "till.example"
WORK_S = 0.21
TIMEOUT_S = 2.5
HALF_SECOND = 0.5
USUAL_PERIOD_S = 1.0
HOT_FACTOR = 8
HOT_S = 9.0
CHUNKED_REQUESTS = 12
CHUNKED_PERIOD_S = 0.4
CHUNK_DELAY_S = 0.03


def hot_tenant(record, node, until):
    """One request each period, whether or not the earlier ones are answered."""
    period = USUAL_PERIOD_S / (HOT_FACTOR if TROUBLE else 1)
    number = 0
    while time.monotonic() < until:
        number += 1
        client = Client(record, node, "tenant-a %d" % number)
        threading.Thread(target=client.call, daemon=True,
                         args=("POST", HOST, "/pay/%d" % number, 2500),
                         kwargs={"body": b"p" * 300, "key": "key-a"}).start()
        time.sleep(period)


def send_chunked(record, node, number, results):
    """A request of another tenant, whose body comes in chunks just after its
    head, as many HTTP clients write it."""
    request_id = new_request_id()
    name = "tenant-b %d" % number
    head = ("POST /book/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
            "Deadline-Ms: 5000\r\nAuthorization: Token key-b\r\n"
            "Transfer-Encoding: chunked\r\n\r\n" % (number, HOST, request_id))
    with socket.create_connection((node.ip, node.outbound), 1) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sent_at = time.monotonic()
        record.add(name, "sends the head of %s" % request_id)
        sock.sendall(head.encode())
        time.sleep(CHUNK_DELAY_S)
        sock.sendall(b"12c\r\n" + b"b" * 300 + b"\r\n0\r\n\r\n")
        record.add(name, "has sent %s" % request_id)
        sock.settimeout(TIMEOUT_S + HALF_SECOND + 0.1)
        try:
            answer = Reader(sock).message()
            took = time.monotonic() - sent_at
            record.add(name, "%s: %d after %.3f s" % (request_id, answer.status, took))
        except (OSError, EOFError):
            took = None
            record.add(name, "%s: no answer %.1f s after the timeout" % (request_id, HALF_SECOND))
    results.append(took)


def play(mesh, record):
    for zone in mesh.zones:
        server, _ = mesh.add("till-" + zone, "till", zone)

        def work(_request):
            time.sleep(WORK_S)
            return 200, b"paid"
        server.work = work
        server.start()
    mesh.configure(
        [route("pay", HOST, "/pay/", "till", "non_idempotent", TIMEOUT_S),
         route("book", HOST, "/book/", "till", "non_idempotent", TIMEOUT_S)],
        [{"name": "tenant-a", "api_keys": ["key-a"], "priority": 1},
         {"name": "tenant-b", "api_keys": ["key-b"], "priority": 1}])
    for node in mesh.nodes:
        node.start()
    mesh.wait_ready()
    time.sleep(4)
    node = mesh.nodes[0]
    status = Client(record, node).call("POST", HOST, "/pay/0", 2500, key="key-a")[1]
    if status != 200:
        raise CannotRun("the mesh does not serve: %s" % status)
    threading.Thread(target=hot_tenant, daemon=True,
                     args=(record, node, time.monotonic() + HOT_S)).start()
    time.sleep(0.5)
    results, threads = [], []
    for number in range(CHUNKED_REQUESTS):
        thread = threading.Thread(target=send_chunked, args=(record, node, number, results))
        thread.start()
        threads.append(thread)
        time.sleep(CHUNKED_PERIOD_S)
    for thread in threads:
        thread.join()
    late = [took for took in results if took is None or took > TIMEOUT_S]
    unanswered = [took for took in results if took is None or took > TIMEOUT_S + HALF_SECOND]
    record.add("check", "%d requests in chunks, %d unanswered at their timeout, %d of them "
               "half a second later" % (len(results), len(late), len(unanswered)))
    return not (len(unanswered) >= 8 and len(unanswered) > len(late) / 2)


run_case(__file__, play)
