"""A node is started again after it acknowledged that its worker leaves; a report of that worker arrives late."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standins  # noqa: E402

LATE_S = 2.5  # how late the last report of the worker arrives
DOWN_S = 0.5  # from the kill of the node to its start
CONTACT_S = 3.0  # contactMs: a machine that was started is in touch after this time
SERVES_ON_S = 7.0  # how long the worker serves after its leave was acknowledged


async def send_requests(mesh, node, tasks):
    while True:
        tasks.append(asyncio.create_task(mesh.send(node, "POST", "/sign/rig?run=150", deadline_ms=2500)))
        await asyncio.sleep(0.05)


async def case(mesh, trouble):
    entry, ledger, other = mesh.nodes
    await mesh.start([("/sign/", "signoff-ledger", "unsafe", 400, 2500, 2)])
    for node in mesh.nodes:
        worker = standins.Worker(mesh.record, node, "i-" + node.name)
        node.workers.append(worker)
        await worker.start()
    await mesh.wait_served(entry, "/sign/first", "POST")
    tasks = []
    load = asyncio.create_task(send_requests(mesh, entry, tasks))
    await asyncio.sleep(2.0)
    worker = ledger.workers[0]
    worker.beats.cancel()
    report = worker.beat_body()
    sent = time.monotonic()
    mesh.record.add("report-sent", worker=worker.id, state=worker.state, sequence=worker.sequence)
    acknowledged = await worker.leave()
    left = time.monotonic()
    mesh.record.add("leave", worker=worker.id, acknowledged=acknowledged)
    if acknowledged != 200:
        raise standins.CannotRun("the leave was not acknowledged")
    if trouble:
        await asyncio.sleep(0.5)
        ledger.signal(signal.SIGKILL)
        ledger.process.wait()
        await asyncio.sleep(DOWN_S)
        ledger.start()
    in_touch_from = max(standins.DRAIN_MS / 1000, time.monotonic() + CONTACT_S - left if trouble else 0)
    await asyncio.sleep(sent + LATE_S - time.monotonic())
    mesh.record.add("report-arrives", worker=worker.id, late_s=round(time.monotonic() - sent, 3),
                    acknowledged=await worker.post("heartbeat", report))
    await asyncio.sleep(left + SERVES_ON_S - time.monotonic())
    await worker.stop()
    mesh.record.add("worker-exits", worker=worker.id)
    await asyncio.sleep(0.5)
    load.cancel()
    answers = await asyncio.gather(*tasks)
    # Counted are only requests that the restarted machine has sent on while in touch again.
    late = {request_id: at - left for request_id, at in worker.runs if at - left > in_touch_from}
    lost = [answer for answer in answers if answer.request_id in late and answer.status != 200]
    mesh.record.add("summary", requests=len(answers), served=sum(answer.status == 200 for answer in answers),
                    counted_from_s=round(in_touch_from, 3), later_than_drain_timeout=len(late), last_s=round(max(late.values(), default=0), 3),
                    of_these_ended_without_the_worker_s_answer=len(lost))
    return len(late) > 0


ZONE = "dakar-plateau"
standins.main(HERE, [("venue-desk", ZONE), ("signoff-ledger", ZONE), ("signoff-ledger", ZONE)], case)
