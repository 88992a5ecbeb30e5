"""A new version of the configuration lifts the last allowance of a tenant; then nobody sends a request.

The case measures how much of the processor each node takes while there is nothing to do. TROUBLE=0 publishes a version that
changes another allowance instead.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from stand_ins_2 import DISTURBED, Mesh, Unfit, config, main, now  # noqa: E402

CPU_SHARE = 0.2  # `cpuShare` of the settings: the processor time that the machine has in a second
APPLY_S = 2.5  # `configApplyMs`
SPAN_S = 5
SPANS = 3
HOST = "ledger.example"
ROUTES = [{"host": HOST, "prefix": "/bid/", "service": "bidbook", "target": 1000}]
PLAN = [("n1", "bidbook", "z1"), ("n2", "bidbook", "z2"), ("n3", "bidbook", "z1"), ("n4", "bidbook", "z2")]
Mesh.bounds = ("strictRevocation = true\nrevokeMs = 5000\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20\n")


def tenants(rate):
    """Two tenants; the first one has an allowance unless the rate is 0, which means no limit."""
    limited = {"name": "trader", "apiKeys": ["key-1"], "priority": 1}
    if rate:
        limited |= {"ratePerS": rate, "burst": rate}
    return [limited, {"name": "desk", "apiKeys": ["key-2"], "priority": 1}]


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(mesh, record, what):
    """Returns the share of a core that each node has used in a span without requests."""
    before, start = {name: processor_seconds(node.process.pid) for name, node in mesh.nodes.items()}, now()
    await asyncio.sleep(SPAN_S)
    shares = {name: round((processor_seconds(node.process.pid) - before[name]) / (now() - start), 3)
              for name, node in mesh.nodes.items()}
    record.line(f"{what}, no requests for {SPAN_S} s: share of a core {shares}")
    return shares


async def ask(mesh, record, count):
    for number in range(count):
        node = f"n{number % 4 + 1}"
        got = await mesh.get(node, HOST, "/bid/run-5", extra=[("Authorization", "Token key-1")])
        record.line(f"request of trader at {node}: {got[0] if got else 'no answer'}")


async def case(record):
    async with Mesh(record, PLAN, ROUTES) as mesh:
        await mesh.store.publish(config(2, ROUTES, tenants=tenants(20)))
        await asyncio.sleep(APPLY_S)
        await ask(mesh, record, 12)
        usual = await measure(mesh, record, "with an allowance of 20 a second")
        if max(usual.values()) > CPU_SHARE:
            raise Unfit("the nodes are busy before the change")
        await mesh.store.publish(config(3, ROUTES, tenants=tenants(0 if DISTURBED else 30)))
        record.line("version 3: no allowance is left" if DISTURBED else "version 3: an allowance of 30 a second")
        await asyncio.sleep(APPLY_S)
        spans = [await measure(mesh, record, "after version 3") for _ in range(SPANS)]
        await ask(mesh, record, 8)
    # A node that takes more than the machine has, in each span, without any work, leaves no processor for anything else.
    busy = [name for name in PLAN_NAMES if all(span[name] > CPU_SHARE for span in spans)]
    record.line(f"nodes that use up the processor with nothing to do: {busy}")
    return not busy


PLAN_NAMES = [name for name, _, _ in PLAN]
main(case, HERE)
