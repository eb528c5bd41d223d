"""A server comes back under a new id and writes a late second copy of the 421
answer that it gave to a request for its old id."""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standins"))
from meshlib import TROUBLE, CannotRun, Client, route, run_case  # noqa: E402

HOST = "till.example"
OTHER_SERVERS = 7  # One server in eight crashes and garbles.
CONSUMERS = 5
FIRST_S = 2.0
DOWN_S = 0.6
FIRST_HEARTBEAT_S = 0.5  # From the server's start to its entry in the store.
NEXT_PAYMENT_S = 0.2
BUDGET_MS = 5000
COPY_WITHIN_S = 5.0
PROMISES = (408, 421, 429, 503)


def consume(record, node, number, until, statuses):
    client = Client(record, node, "consumer-%d" % number)
    while time.monotonic() < until:
        request_id, status, _ = client.call("POST", HOST, "/pay/%d" % number, BUDGET_MS,
                                            body=b"amount=5")
        statuses[request_id] = status
        time.sleep(0.02)


def play(mesh, record):
    till, _ = mesh.add("till", "till", "zone-a")
    entry_node = None
    for number in range(OTHER_SERVERS):
        front, node = mesh.add("front-%d" % number, "front", mesh.zones[number % 3])
        front.start()
        entry_node = entry_node or node
    copies, misdirected, answers = [], {}, []

    def on_answered(conn, request, answer):
        answers.append(time.monotonic())
        if b" 421 " in answer[:20]:
            misdirected[conn] = answer

    def before_answer(conn, request):
        """The copy comes where the next answer to a request is due."""
        copy = misdirected.pop(conn, None) if request.path != "/health" else None
        if TROUBLE and copy and not copies:
            copies.append(time.monotonic())
            record.add("till", "writes its 421 answer once more, as the next answer is due")
            conn.sendall(copy)
    till.after_answer, till.before_answer = on_answered, before_answer

    def work(_request):
        time.sleep(0.05)
        return 200, b"paid"
    till.work = work
    till.start()
    mesh.configure([route("pay", HOST, "/pay/", "till", "non_idempotent", BUDGET_MS / 1000,
                          attempts=3, public=True)])
    for node in mesh.nodes:
        node.start()
    mesh.wait_ready()
    time.sleep(3)
    statuses = {}
    until = time.monotonic() + FIRST_S
    threads = [threading.Thread(target=consume, args=(record, entry_node, number, until, statuses))
               for number in range(CONSUMERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if len(till.runs) < 50:
        raise CannotRun("only %d payments have run" % len(till.runs))
    if TROUBLE:
        till.crash()
        time.sleep(DOWN_S)
        till.start(register_after_s=FIRST_HEARTBEAT_S)
        time.sleep(NEXT_PAYMENT_S)
    consume(record, entry_node, CONSUMERS, time.monotonic() + 7, statuses)
    time.sleep(1)
    if TROUBLE and not copies:
        raise CannotRun("no 421 answer was followed by a request on its connection")
    broken = False
    for one, status in statuses.items():
        runs = till.runs.count(one)
        if runs > 1:
            record.add("check", "TWICE: %s has run %d times" % (one, runs))
            broken = True
        if runs and status in PROMISES:
            record.add("check", "REFUSED: %s has run and was answered %d" % (one, status))
            broken = True
    near = [at for at in answers if copies and copies[0] - COPY_WITHIN_S <= at <= copies[0]]
    record.add("check", "%d copies; %d answers of the server in the %d s before" % (
        len(copies), len(near), COPY_WITHIN_S))
    return not broken


run_case(__file__, play)
