"""Stand-ins of the platform's store, of workers and of clients for the scripts of the second review.

They speak what PROTOCOL.md describes, on loopback addresses and the real clock, and start the daemon with the command of
the deploy file. Everything runs in one asyncio loop; the daemons are separate processes.
"""
import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DISTURBED = os.environ.get("TROUBLE", "1") != "0"
REASONS = {200: "OK", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def line(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_ports(count, host="127.0.0.1"):
    """Returns ports that are free for TCP and UDP now, below those that the system gives to clients."""
    held, ports = [], []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
        except OSError:
            tcp.close()
            udp.close()
            continue
        held += [tcp, udp]
        ports.append(port)
    for each in held:
        each.close()
    return ports


async def read_head(reader):
    """Reads a message head; returns its first line and its headers with lower-case names, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    head = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (head + "\r\n").encode("latin-1") + body


def response(status, headers=(), body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                   [*headers, ("Content-Length", len(body))], body)


async def exchange(host, port, data, limit_s):
    """Sends one message on a new connection; returns (status, headers, body), or None without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's store: a log of topics. `mode` is up, busy (503) or silent, `delay_s` its time for an answer."""

    def __init__(self):
        self.topics = {}
        self.mode = "up"
        self.changed = asyncio.Condition()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def topic(self, name):
        return self.topics.setdefault(name, {"first": 0, "records": [], "newest": {}})

    async def append(self, name, record):
        topic = self.topic(name)
        if name.startswith("keyed."):
            key = record[1:1 + record[0]]
            value = record[1 + record[0]:]
            offset = topic["first"] + len(topic["records"])
            if value:
                topic["newest"][key] = (value, offset)
            else:
                topic["newest"].pop(key, None)
        topic["records"].append(record)
        async with self.changed:
            self.changed.notify_all()

    async def publish(self, config):
        """Writes a configuration as the operator does; its return is the acknowledgement."""
        key = b"config"
        await self.append("keyed.op", bytes([len(key)]) + key + json.dumps(config).encode())

    def end(self, topic):
        return topic["first"] + len(topic["records"])

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                self.calls += 1
                await asyncio.sleep(0.004)
                if self.mode == "silent":
                    await asyncio.sleep(60)
                    return
                writer.write(response(503) if self.mode == "busy" else await self.answer(head[0], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, first, body):
        method, target, _ = first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = self.topic(query.get("topic", ""))
        if method == "POST" and url.path == "/log-append":
            if "at" in query and int(query["at"]) != self.end(topic):
                return response(412, (), json.dumps({"endOffset": self.end(topic)}).encode())
            offset = self.end(topic)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                await self.append(query["topic"], body[4:4 + length])
                body = body[4 + length:]
            return response(200, (), json.dumps({"offset": offset, "endOffset": self.end(topic)}).encode())
        if url.path == "/log-newest":
            items = [{"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(topic["newest"].items())]
            document = {"items": items, "hasMore": False, "endOffset": self.end(topic)}
            return response(200, [("Content-Type", "application/json")], json.dumps(document).encode())
        if url.path == "/log-read":
            start = int(query["from"])
            until = now() + int(query.get("waitMs", "0")) / 1000
            while self.end(topic) <= start and now() < until:
                try:
                    async with asyncio.timeout(until - now()), self.changed:
                        await self.changed.wait()
                except TimeoutError:
                    break
            if start < topic["first"]:
                return response(410, (), json.dumps({"firstOffset": topic["first"]}).encode())
            records = topic["records"][start - topic["first"]:]
            data = struct.pack(">QQ", self.end(topic), topic["first"])
            data += b"".join(struct.pack(">I", len(each)) + each for each in records)
            return response(200, [("Content-Type", "application/octet-stream")], data)
        return response(404)


class Worker:
    """A worker beside a node. The path of a request tells how long its run lasts (`/…/run-300`, in ms)."""

    def __init__(self, record, name, service, port, control, slots=6):
        self.record, self.name, self.service, self.port, self.control = record, name, service, port, control
        self.slots = slots
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = {}  # by request id: list of start times
        self.ended = {}  # by request id: list of end times
        self.running = 0
        self.address = f"127.0.0.1:{port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)
        self.beats = asyncio.create_task(self.beat_loop())

    async def beat(self):
        self.sequence += 1
        body = json.dumps({
            "address": self.address, "born": self.born,
            "information": {"service": self.service, "version": "v1", "zone": "z1", "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0}}).encode()
        data = message(f"POST /instances/{self.id}/heartbeat HTTP/1.1",
                       [("Host", "node"), ("Content-Type", "application/json"), ("Content-Length", len(body))], body)
        got = await exchange("127.0.0.1", self.control, data, 1.0)
        return got is not None and 200 <= got[0] < 300

    async def beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(0.5)

    def run_ms(self, path):
        last = path.split("?")[0].rsplit("/", 1)[-1]
        return int(last.split("-")[1]) if last.startswith("run-") else 20

    def body_of(self, path):
        return f"{self.name} answers {path}".encode()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.handle(head, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, head, body, reader, writer):
        first, headers = head
        method, path, _ = first.split(" ")
        load = ("Server-Load", f"{self.running},0,{self.slots}")
        request = headers.get("request-attempt-id", "")
        if path == "/health":
            writer.write(response(200, [("Instance-Id", self.id), load]))
        elif headers.get("expected-instance", self.id) != self.id:
            writer.write(response(421, [("Instance-Id", self.id), ("Request-Attempt-Id", request)]))
        else:
            await self.run(method, path, headers, request, body, writer, load)
        await writer.drain()
        return True

    async def run(self, method, path, headers, request, body, writer, load):
        self.runs.setdefault(request, []).append(now())
        self.record.line(f"worker {self.name} runs {request} {method} {path}")
        self.running += 1
        try:
            await asyncio.sleep(self.run_ms(path) / 1000)
        finally:
            self.running -= 1
        self.ended.setdefault(request, []).append(now())
        self.record.line(f"worker {self.name} ends {request}")
        answer = self.body_of(path)
        writer.write(response(200, [("Request-Attempt-Id", request), ("Server-Signature", f"sig.{request}"), load],
                              answer))


class Node:
    def __init__(self, mesh, name, service, zone):
        self.mesh, self.name, self.service, self.zone = mesh, name, service, zone
        ports = free_ports(6)
        self.inbound, self.outbound, self.ready, self.control, self.worker_port, self.gossip = ports
        self.process = None

    def settings(self):
        return f"""[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ipAddress = "127.0.0.1"
zone = "{self.zone}"
region = "region"
countsTowardTolerance = false
firstStart = true
applicationAddress = "127.0.0.1:{self.worker_port}"
service = "{self.service}"
[self.limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = 260
fileDescriptors = 4100
linkBandwidthMbps = {self.mesh.link_mbps}
diskMb = 0
[network]
internalPortRange = [{self.gossip},{self.gossip}]
seeds = []
[network.listenAddresses]
inbound = "127.0.0.1:{self.inbound}"
outbound = "127.0.0.1:{self.outbound}"
ready = "127.0.0.1:{self.ready}"
control = "127.0.0.1:{self.control}"
[network.zones]
{self.zone} = "region"
[platform]
discovery = "local"
entry = "local"
heartbeatIntervalMs = 1500
[platform.platform]
address = "127.0.0.1:{self.mesh.store.port}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","platform"]
[terms.faultTolerance]
machines = 2
zones = 1
regions = 0
[terms.bounds]
seedLagS = 3
addressReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 64
recoveryS = 15
{self.mesh.bounds}"""

    async def start(self):
        path = os.path.join(self.mesh.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["node"]["run"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(os.path.join(self.mesh.folder, self.name + ".log"), "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=kept | {"PISTACHIOQUAY_NODE_FILE": path}, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.mesh.record.line(f"node {self.name} started, process {self.process.pid}")

    async def is_ready(self):
        got = await exchange("127.0.0.1", self.ready, message("GET /readiness HTTP/1.1", [("Host", "node")]), 1.0)
        return got is not None and got[0] == 200

    def signal(self, number):
        self.mesh.record.line(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.returncode is None


class Mesh:
    """Starts a store, nodes and workers, and ends all processes when the block is left."""

    worker_class = Worker
    bounds = ""  # further lines of the settings below `terms.bounds`

    def __init__(self, record, plan, routes, link_mbps=1000.0):
        self.record, self.plan, self.routes, self.link_mbps = record, plan, routes, link_mbps
        self.store = Store()
        self.nodes, self.workers = {}, {}

    async def start(self):
        self.folder_owner = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.folder_owner.name
        await self.store.start()
        await self.store.publish(config(1, self.routes))
        for name, service, zone in self.plan:
            node = self.nodes[name] = Node(self, name, service, zone)
            self.workers[name] = self.worker_class(self.record, "w-" + name, service, node.worker_port, node.control)
        for node in self.nodes.values():
            await node.start()
        for worker in self.workers.values():
            await worker.start()

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for node in self.nodes.values():
            if node.is_running():
                for number in (signal.SIGCONT, signal.SIGKILL):
                    node.process.send_signal(number)
                await node.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            os.system(f"mkdir -p {keep} && cp {self.folder}/* {keep}/")
        self.folder_owner.cleanup()

    async def wait_serving(self, requests, limit_s=15):
        """Waits until each (node, host, path) answers 200 three times in a row, so that all nodes know each other."""
        until = now() + limit_s
        for node, host, path in requests:
            good = 0
            while good < 3:
                got = await self.get(node, host, path)
                good = good + 1 if got and got[0] == 200 else 0
                if now() > until:
                    ended = [name for name, each in self.nodes.items() if not each.is_running()]
                    raise Unfit(f"{path} is not served through {node}; ended: {ended}; last answer: {got}")
                await asyncio.sleep(0.1)

    async def get(self, node, host, path, method="GET", body=b"", deadline_ms=2000, extra=()):
        """Sends a request on a new connection to a node; returns (status, headers, body), or None without an answer."""
        request_id = new_id()
        self.record.line(f"client at {node} sends {request_id} {method} {path}, {len(body)} bytes")
        got = await exchange("127.0.0.1", self.nodes[node].outbound,
                             request(host, path, request_id, method, body, deadline_ms, extra), deadline_ms / 1000 + 1)
        self.record.line(f"client at {node} gets {got[0] if got else 'no answer'} for {request_id}")
        return got


class Unfit(Exception):
    """The case could not run."""


def new_id():
    return uuid.uuid4().hex[:16]


def request(host, path, request_id, method="GET", body=b"", deadline_ms=2000, extra=()):
    headers = [("Host", host), ("Request-Attempt-Id", request_id), ("Deadline-Milliseconds", deadline_ms), *extra]
    if body or method != "GET":
        headers.append(("Content-Length", len(body)))
    return message(f"{method} {path} HTTP/1.1", headers, body)


def config(version, routes, limits=None, tenants=None):
    """routes: dicts with host, prefix, service, and optionally kind, timeout, attempts, priority, anonymous."""
    by_host = {}
    for each in routes:
        by_host.setdefault(each["host"], []).append({
            "name": "r-" + each["prefix"].strip("/").replace("/", "-"), "kind": each.get("kind", "safe"),
            "targetLatencyMs": each.get("target", 400), "priority": each.get("priority", 1),
            **({"allowAnonymous": True} if each.get("anonymous") else {}),
            "match": {"pathPrefix": each["prefix"]},
            "action": {"service": each["service"], "timeoutMs": each.get("timeout", 2000),
                       "maxAttempts": each.get("attempts", 2)}})
    services = sorted({each["service"] for each in routes})
    document = {
        "version": version,
        "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                             "idleTimeoutMs": 15000},
        "listeners": [{"host": host, "rules": rules} for host, rules in by_host.items()],
        "clusters": [{"name": name, "healthCheckPath": "/health", "connectionLimit": 130, "protocol": "h1",
                      "tls": False} for name in services]}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def main(case, folder, limit_s=115):
    """Runs a case: an async function of a record that returns whether the rule was kept. Exits with 0, 1 or 2."""
    async def bounded():
        record = Record(folder)
        record.line("with the disruption" if DISTURBED else "without the disruption")
        for number in (signal.SIGTERM, signal.SIGINT):  # ends what was started before this process ends
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit_s):
                kept = await case(record)
        except (Exception, asyncio.CancelledError) as failure:  # whatever went wrong in the case itself is no answer about the rule
            record.line(f"could not run: {failure!r}")
            return 2
        record.line("the rule held" if kept else "THE RULE WAS BROKEN")
        return 0 if kept else 1
    sys.exit(asyncio.run(bounded()))
