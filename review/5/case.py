"""A request crashes each worker that begins to run it, and comes again."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
import standins  # noqa: E402

CONTACT_S = 3.0
DOWN_S = 2.0  # a crashed worker is back after this time
COMES_AGAIN = 14  # times that the client sends the request again
GAP_S = 2.0
TARGET = "/desk/poison"


class CrashingWorker(standins.Worker):
    """Crashes when it begins to run the request, and starts again under a new id."""

    boots = 0

    async def answer(self, method, target, headers, body):
        if target != TARGET or not self.mesh.trouble:
            return await super().answer(method, target, headers, body)
        request_id = standins.lower_keys(headers).get("request-attempt-id", "")
        self.record.add("crash", worker=self.id, id=request_id)
        self.mesh.crashes.append((request_id, time.monotonic()))
        asyncio.get_running_loop().create_task(self.crash())
        return None

    async def crash(self):
        await self.stop()
        await asyncio.sleep(DOWN_S)
        await start_worker(self.mesh, self.node)


async def start_worker(mesh, node):
    CrashingWorker.boots += 1
    worker = CrashingWorker(mesh.record, node, f"i-{CrashingWorker.boots}-{node.name}")
    worker.mesh = mesh
    node.workers.append(worker)
    await worker.start()


async def sign_off(mesh, node, tasks):
    """Requests of other clients, which the same workers run."""
    while True:
        tasks.append(asyncio.create_task(mesh.send(node, "POST", "/sign/rig?run=300", deadline_ms=2500)))
        await asyncio.sleep(0.1)


async def case(mesh, trouble):
    mesh.trouble = trouble
    mesh.crashes = []
    entry = mesh.nodes[0]
    await mesh.start([("/desk/", "venue-desk", "safe", 400, 1500, 2),
                      ("/sign/", "venue-desk", "unsafe", 400, 2500, 2)])
    for node in mesh.nodes:
        await start_worker(mesh, node)
    await mesh.wait_served(entry, "/desk/first")
    signed = []
    load = asyncio.create_task(sign_off(mesh, entry, signed))
    answers = []
    for _ in range(COMES_AGAIN):
        answers.append((await mesh.send(entry, "GET", TARGET, deadline_ms=2000)).status)
        await asyncio.sleep(GAP_S)
    load.cancel()
    others = await asyncio.gather(*signed)
    late = set()  # ids of client attempts
    if len(mesh.crashes) > 3:
        third = mesh.crashes[2][1]
        late = {request_id for request_id, at in mesh.crashes[3:] if at - third > CONTACT_S}
    mesh.record.add("summary", answers=answers, crashes=len(mesh.crashes), retries_after_the_third=len(late),
                    sign_offs=len(others), sign_offs_cut_by_a_crash=sum(other.status == 502 for other in others))
    return len(late) > 3


ZONE = "dakar-plateau"
standins.main(HERE, [("signoff-ledger", ZONE)] + [("venue-desk", ZONE)] * 4, case)
