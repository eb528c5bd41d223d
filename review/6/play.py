"""LOST: one SIGTERM cuts a request long before the end of a grace of 10 s."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

from meshkit import CannotRun, Mesh, Record, read_message

KEY = "6wsjnbanfqasnmgkcuyj"
FRONT = 0
GRACE_S = 10.0
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_S = 1.8  # After the SIGTERM: before consumers see a second missed check.
WORK_S = 3.8
TIMEOUT_S = 4.0
BUDGET_MS = 8000


async def work(server, run, reader, writer):
    """Works, and drops the request if its connection closes."""
    closed = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait([closed], timeout=WORK_S)
    if done:
        run["dropped"] = server.mesh.record.now()
        server.mesh.record.note("server %d drops %s: its connection has closed"
                                % (server.index, run["id"]))
        return "close"
    closed.cancel()
    server.mesh.record.note("server %d answers %s with 200" % (server.index, run["id"]))
    writer.write(server.answer(run))
    await writer.drain()
    return "close"


async def end_with_grace(node, record):
    """Stops a node as the platform does: SIGTERM, and SIGKILL after the grace."""
    record.note("SIGTERM to node %d" % node.index)
    start = record.now()
    node.process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(node.process.wait(), GRACE_S)
        record.note("node %d ends by itself, %.3f s after SIGTERM, with code %s"
                    % (node.index, record.now() - start, node.process.returncode))
    except asyncio.TimeoutError:
        record.note("SIGKILL to node %d" % node.index)
        await node.end()


async def play(record, trouble):
    mesh = Mesh(record, ["queue", "ledger", "ledger", "queue", "ledger", "till"])
    mesh.route("history", "ledger", timeout_s=TIMEOUT_S, max_attempts=2)
    mesh.tenants = [{"name": "t1", "api_keys": [KEY], "priority": 1,
                     "rate_per_s": 0, "burst": 0}]
    for server in mesh.servers:
        server.handle = work
    stopping = None
    try:
        await mesh.start(40)
        reader, writer = await asyncio.open_connection(mesh.ip(FRONT), mesh.port + 1)
        term = record.now()
        if trouble:
            stopping = asyncio.ensure_future(end_with_grace(mesh.nodes[FRONT], record))
        await asyncio.sleep(SENT_S)
        ident, data = mesh.request("history", KEY, deadline_ms=BUDGET_MS)
        sent = record.now()
        record.note("client sends %s to node %d on a kept connection" % (ident, FRONT))
        writer.write(data)
        status, body = None, b""
        try:
            first, _, body = await asyncio.wait_for(read_message(reader), 10)
            status = int(first.split(" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            body = repr(error).encode()
        answered = record.now()
        record.note("client gets %s for %s, %.3f s after it was sent: %s"
                    % (status, ident, answered - sent, body[:90].decode("latin-1")))
        if stopping:
            await stopping
        runs = [run for server in mesh.servers for run in server.runs
                if run["id"] == ident]
        if not runs:
            record.note("the request did not run: status %s" % status)
            return False
        run = runs[-1]
        end = run["at"] + WORK_S
        record.note("answered %.3f s after SIGTERM; the server, at work since %.3f s, would "
                    "have answered at %.3f s; the last sixth of the grace begins at %.3f s"
                    % (answered - term, run["at"] - term, end - term, LAST_SIXTH_S))
        excused = (end - term >= LAST_SIXTH_S or end - sent >= TIMEOUT_S or
                   answered - sent >= TIMEOUT_S)
        return status != 200 and not excused
    finally:
        if stopping:
            stopping.cancel()
        await mesh.stop()


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        broken = asyncio.run(play(record, os.environ.get("TROUBLE") != "0"))
    except (CannotRun, OSError) as error:
        record.note("could not run: %s" % error)
        return 2
    record.note("LOST is broken" if broken else "LOST held")
    return 1 if broken else 0


sys.exit(main())
