"""A worker leaves while the store is away, all nodes are killed at once, and the worker's last report comes late.

The worker is one of those that send `leave` first and serve on. TROUBLE=0 keeps the store up and kills nobody.
"""
import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from stand_ins_2 import DISTURBED, Mesh, Unfit, exchange, main, message, now  # noqa: E402

CONTACT_S = 3  # `contactMs`
DRAIN_S = 2  # `drainTimeoutMs`
RESTART_S = 0.5
OUTAGE_S = 2.0  # of the store
LATE_S = 2.5  # after the leave: the report that was sent before it
SERVES_ON_S = 8  # after the acknowledgement
HOST = "jepu9.example"
ROUTES = [{"host": HOST, "prefix": "/lepu270/", "service": "venue-desk", "timeout": 1000},
          {"host": HOST, "prefix": "/xapu221/", "service": "venue-desk", "kind": "unsafe", "timeout": 1200}]
PLAN = [("n1", "venue-desk", "z1"), ("n2", "venue-desk", "z2"), ("n3", "signoff-ledger", "z1"),
        ("n4", "signoff-ledger", "z2")]


async def post(node, path, body):
    data = message(f"POST {path} HTTP/1.1", [("Host", "node"), ("Content-Type", "application/json"),
                                             ("Content-Length", len(body))], body)
    got = await exchange("127.0.0.1", node.control, data, 1.0)
    return got is not None and 200 <= got[0] < 300


def last_report(worker):
    """A report of the state `ready`, as the worker has sent it just before its leave."""
    worker.sequence += 1
    return json.dumps({
        "address": worker.address, "born": worker.born,
        "information": {"service": worker.service, "version": "v1", "zone": "z1", "slots": worker.slots},
        "status": {"state": "ready", "sequence": worker.sequence, "coldRemainingMs": 0}}).encode()


async def send_requests(mesh, until):
    """A client of another machine: one request after the other, half of them sign-offs."""
    number = 0
    while now() < until:
        number += 1
        if number % 2:
            await mesh.get("n3", HOST, "/lepu270/run-20", deadline_ms=1000)
        else:
            await mesh.get("n3", HOST, "/xapu221/run-20", "POST", b"rig 9 is safe", deadline_ms=1200)
        await asyncio.sleep(0.02)


async def kill_all(mesh):
    for node in mesh.nodes.values():
        node.signal(signal.SIGKILL)
    for node in mesh.nodes.values():
        await node.process.wait()
    await asyncio.sleep(RESTART_S)
    for node in mesh.nodes.values():
        await node.start()


async def case(record):
    async with Mesh(record, PLAN, ROUTES) as mesh:
        await mesh.wait_serving([(name, HOST, "/lepu270/run-5") for name in mesh.nodes])
        await asyncio.sleep(CONTACT_S)
        node, worker = mesh.nodes["n1"], mesh.workers["n1"]
        if DISTURBED:
            record.line("the store is silent")
            mesh.store.mode = "silent"
            await asyncio.sleep(0.3)
        worker.beats.cancel()
        report = last_report(worker)
        for _ in range(8):
            acknowledged = await post(node, f"/instances/{worker.id}/leave",
                                      json.dumps({"born": worker.born}).encode())
            if acknowledged:
                break
        if not acknowledged:
            raise Unfit("the leave was not acknowledged")
        left_at = now()
        record.line(f"the leave of {worker.id} is acknowledged")
        in_touch_at = left_at
        if DISTURBED:
            await kill_all(mesh)
            in_touch_at = now() + CONTACT_S
            await asyncio.sleep(max(0, left_at + OUTAGE_S - now()))
            mesh.store.mode = "up"
            in_touch_at = max(in_touch_at, now() + CONTACT_S)
            record.line("the store is up")
        clients = [asyncio.create_task(send_requests(mesh, left_at + SERVES_ON_S)) for _ in range(4)]
        await asyncio.sleep(max(0, left_at + LATE_S - now()))
        accepted = await post(node, f"/instances/{worker.id}/heartbeat", report)
        record.line(f"the report sent before the leave arrives, acknowledged: {accepted}")
        await asyncio.gather(*clients)
        counted_from = max(in_touch_at, left_at + DRAIN_S)
        late = [(request_id, start) for request_id, starts in worker.runs.items() for start in starts
                if start > counted_from]
        for request_id, start in late:
            record.line(f"{request_id} ran at the worker {start - left_at:.1f} s after the acknowledgement")
        served = sum(1 for starts in mesh.workers["n2"].runs.values() for start in starts if start > counted_from)
    record.line(f"requests to the worker that has left, all machines in touch: {len(late)}; to the other one: {served}")
    if not served:
        raise Unfit("no request was served")
    return not late


main(case, HERE)
