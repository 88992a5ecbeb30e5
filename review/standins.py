"""Stand-ins of the platform for the scripts of this review: store, workers, clients, and the start of nodes.

Everything runs on loopback addresses and the real clock. A node is the program that deploy/system.toml names, with a
settings file like that of a small site. The stand-ins do only what PROTOCOL.md describes; what a case disturbs is in
the case itself.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "shop.example"
GRACE_S = 6
DRAIN_MS = 2000


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


def lower_keys(headers):
    return {name.lower(): value for name, value in headers}


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return lines[0], headers


async def read_body(reader, headers):
    fields = lower_keys(headers)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


def free_ports(count):
    held = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


class Store:
    """The platform's store: a log with keyed topics."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.port = free_ports(1)[0]

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def append(self, topic, record):
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        self.append(topic, bytes([len(key)]) + key.encode() + value)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                status, kind, answer = await self.answer(method, target, body)
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n\r\n".encode()
                    + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        topic = fields.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if path == "/log-append":
            first = len(log)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self.append(topic, body[4:4 + size])
                body = body[4 + size:]
            return 200, "application/json", json.dumps({"offset": first, "endOffset": len(log)}).encode()
        if path == "/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                size = record[0]
                newest[record[1:1 + size].decode()] = (record[1 + size:], offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(newest.items()) if value]
            answer = {"items": items, "hasMore": False, "endOffset": len(log)}
            return 200, "application/json", json.dumps(answer).encode()
        if path == "/log-read":
            start = int(fields["from"])
            until = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
            while len(log) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            data = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                data += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", data
        return 404, "text/plain", b""


class Worker:
    """A sound worker beside a node. `run` may replace how a request is run; it returns (status, headers, body).

    `run` may also return None, after which the connection is reset without an answer.
    """

    def __init__(self, record, node, worker_id, slots=6, run=None):
        self.record = record
        self.node = node
        self.id = worker_id
        self.slots = slots
        self.run = run or self.plain_run
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (request id, monotonic time of the start)
        self.beats = None
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, beats=True):
        self.server = await asyncio.start_server(self.serve, self.node.ip, self.node.port["worker"], limit=1 << 20)
        if beats:
            self.beats = asyncio.create_task(self.beat_loop())

    async def stop(self):
        """Ends the worker like a crash: all its connections are reset."""
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def beat_body(self):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.node.ip}:{self.node.port['worker']}",
            "born": self.born,
            "information": {"service": self.node.service, "version": "v1", "zone": self.node.zone,
                            "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingMs": 0},
        }).encode()

    async def post(self, action, body):
        """Sends a report to the node's control address; returns the status, or None without an answer in a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.node.ip, self.node.port["control"])
                writer.write(f"POST /instances/{self.id}/{action} HTTP/1.1\r\nHost: {self.node.ip}\r\n"
                             f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                writer.close()
                return int(line.split(" ")[1])
        except (OSError, TypeError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def beat(self):
        return await self.post("heartbeat", self.beat_body())

    async def leave(self):
        return await self.post("leave", json.dumps({"born": self.born}).encode())

    async def beat_loop(self):
        while await self.beat() != 200:
            await asyncio.sleep(0.05)
        while True:
            await asyncio.sleep(1.5)
            await self.beat()

    async def plain_run(self, method, target, headers, body):
        fields = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&") if part)
        await asyncio.sleep(float(fields.get("run", "20")) / 1000)
        return 200, [], f"{self.id} {target} {len(body)}".encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                answer = await self.unless_closed(reader, self.answer(method, target, headers, body))
                if answer is None:
                    writer.transport.abort()
                    return
                status, extra, content = answer
                text = "".join(f"{name}: {value}\r\n" for name, value in extra)
                writer.write(f"HTTP/1.1 {status} -\r\n{text}Content-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    @staticmethod
    async def unless_closed(reader, run):
        """Drops the request when its connection closes."""
        task = asyncio.create_task(run)
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof() and not task.done():
                task.cancel()
        return None if task.cancelled() else task.result()

    async def answer(self, method, target, headers, body):
        fields = lower_keys(headers)
        load = ("Server-Load", f"{self.running},0,{self.slots},100")
        if target == "/health":
            return (200 if self.state == "ready" else 503), [("Instance-Id", self.id), load], b""
        request_id = fields.get("request-attempt-id", "")
        echo = ("Request-Attempt-Id", request_id)
        if fields.get("expected-instance", self.id) != self.id:
            self.record.add("other-worker", worker=self.id, id=request_id)
            return 421, [echo, ("Instance-Id", self.id)], b""
        if self.running >= self.slots:
            return 503, [echo, ("Not-Executed", "1"), load], b""
        self.running += 1
        self.runs.append((request_id, time.monotonic()))
        self.record.add("run", worker=self.id, id=request_id, path=target.partition("?")[0], bytes=len(body))
        try:
            ran = await self.run(method, target, headers, body)
        finally:
            self.running -= 1
        if ran is None:
            self.record.add("answer-lost", worker=self.id, id=request_id)
            return None
        status, extra, content = ran
        return status, [echo, ("Server-Signature", "stand-in." + self.id), load] + extra, content


class Node:
    """One process of the system, beside one worker."""

    def __init__(self, mesh, index, service, zone, memory_mb=260):
        self.mesh = mesh
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.0.{mesh.subnet}.{index}"
        self.service = service
        self.zone = zone
        self.memory_mb = memory_mb
        self.port = mesh.ports
        self.process = None
        self.workers = []
        self.settings = os.path.join(mesh.folder, self.name + ".toml")
        self.log = os.path.join(mesh.folder, self.name + ".log")
        with open(self.settings, "w") as file:
            file.write(self.settings_text())

    def settings_text(self):
        p = self.port
        return f"""[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ipAddress = "{self.ip}"
zone = "{self.zone}"
region = "dakar"
countsTowardTolerance = false
firstStart = true
applicationAddress = "{self.ip}:{p['worker']}"
service = "{self.service}"
[self.limits]
cpuShare = 0.2
cpuCores = 1
memoryMb = {self.memory_mb}
fileDescriptors = 4100
linkBandwidthMbps = 1000.0
diskMb = 0
[network]
internalPortRange = [{p['internal']},{p['internal']}]
seeds = []
[network.listenAddresses]
inbound = "{self.ip}:{p['inbound']}"
outbound = "{self.ip}:{p['outbound']}"
ready = "{self.ip}:{p['ready']}"
control = "{self.ip}:{p['control']}"
[network.zones]
dakar-plateau = "dakar"
dakar-almadies = "dakar"
dakar-rufisque = "dakar"
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
drainTimeoutMs = {DRAIN_MS}
gracePeriodS = {GRACE_S}
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtraRetries = 64
recoveryS = 15
"""

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PISTACHIOQUAY_NODE_FILE"] = self.settings
        try:
            with open(self.log, "ab") as log:
                self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        except OSError as failure:
            raise CannotRun(f"the program of the deploy file does not start: {failure}") from failure
        self.mesh.record.add("node-started", node=self.name, service=self.service)

    def signal(self, number):
        self.mesh.record.add("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await exchange(self.ip, self.port["ready"], "GET", "/readiness", {}, b"", 1.0)
            return answer.status == 200
        except OSError:
            return False

    def log_lines(self, *words):
        with open(self.log, errors="replace") as file:
            return [line.strip() for line in file if all(word in line for word in words)]


class Answer:
    """What a client saw: status is None if the connection ended without a whole answer."""

    def __init__(self, status, headers, body, end):
        self.status = status
        self.headers = headers
        self.body = body
        self.end = end
        self.request_id = ""


async def exchange(ip, port, method, target, headers, body, timeout, connection=None):
    """Sends one request and reads its answer. `connection` is a kept one: (reader, writer)."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = connection or await asyncio.open_connection(ip, port, limit=1 << 20)
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n{lines}{length}\r\n".encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(None, {}, b"", "closed without an answer")
            line, got = head
            content = await read_body(reader, got)
            if connection is None:
                writer.close()
            return Answer(int(line.split(" ")[1]), lower_keys(got), content, "whole")
    except asyncio.TimeoutError:
        return Answer(None, {}, b"", "no answer in time")
    except asyncio.IncompleteReadError:
        return Answer(None, {}, b"", "ended early")
    except ConnectionError as failure:
        return Answer(None, {}, b"", "reset: " + type(failure).__name__)


class Mesh:
    """Nodes of a small deployment, with a store."""

    def __init__(self, folder, record, plan):
        self.folder = folder
        self.record = record
        self.subnet = 10 + os.getpid() % 200
        names = ("inbound", "outbound", "ready", "control", "worker", "internal")
        self.ports = dict(zip(names, free_ports(len(names))))
        self.store = Store(record)
        self.nodes = [Node(self, number + 1, service, zone) for number, (service, zone) in enumerate(plan)]
        self.last_id = 0

    async def start(self, routes, version=7):
        await self.store.start()
        self.publish(version, routes)
        for node in self.nodes:
            node.start()
        await self.wait_ready()

    def publish(self, version, routes):
        rules = [{"name": "r" + prefix.strip("/"), "kind": kind, "targetLatencyMs": target, "priority": 1,
                  "match": {"pathPrefix": prefix},
                  "action": {"service": service, "timeoutMs": timeout, "maxAttempts": attempts}}
                 for prefix, service, kind, target, timeout, attempts in routes]
        clusters = [{"name": name, "healthCheckPath": "/health", "connectionLimit": 130, "protocol": "h1",
                     "tls": False} for name in sorted({route[1] for route in routes})]
        config = {"version": version,
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                             "idleTimeoutMs": 15000},
                  "listeners": [{"host": HOST, "rules": rules}], "clusters": clusters}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def wait_ready(self):
        until = time.monotonic() + 10
        while time.monotonic() < until:
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("the nodes are not ready after 10 s")

    async def wait_served(self, node, target, method="GET"):
        """Waits until requests on a route are answered with success."""
        until = time.monotonic() + 10
        while time.monotonic() < until:
            answer = await self.send(node, method, target, deadline_ms=4000)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{target} is not served after 10 s")

    def next_id(self):
        self.last_id += 1
        return f"{os.getpid():08x}{self.last_id:08x}"

    async def send(self, node, method, target, body=b"", deadline_ms=2500, connection=None, request_id=None):
        request_id = request_id or self.next_id()
        headers = {"Request-Attempt-Id": request_id, "Deadline-Milliseconds": deadline_ms}
        self.record.add("sent", node=node.name, id=request_id, method=method, target=target, bytes=len(body))
        answer = await exchange(node.ip, node.port["outbound"], method, target, headers, body, deadline_ms / 1000,
                                connection)
        answer.request_id = request_id
        self.record.add("answered", node=node.name, id=request_id, status=answer.status, end=repr(answer.end),
                        bytes=len(answer.body))
        return answer

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
            if node.process:
                node.process.wait()
        for node in self.nodes:
            for worker in node.workers:
                await worker.stop()


def main(folder, plan, case):
    """Runs `case(mesh, trouble)`, which returns whether the rule was broken; exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def guarded():
        with tempfile.TemporaryDirectory() as scratch:
            mesh = Mesh(scratch, record, plan)
            try:
                async with asyncio.timeout(110):
                    return await case(mesh, trouble)
            finally:
                await mesh.stop()
                if os.environ.get("KEEP_LOGS"):
                    for node in mesh.nodes:
                        shutil.copy(node.log, os.environ["KEEP_LOGS"])

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the processes that were started, too
    try:
        broken = asyncio.run(guarded())
    except Exception as failure:  # a mistake of the case must not look like a broken rule
        record.add("cannot-run", why=repr(failure))
        print("the case could not run:", repr(failure))
        sys.exit(2)
    record.add("result", trouble=trouble, broken=broken)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
