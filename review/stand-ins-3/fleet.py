"""A small deployment of ibisvalve on loopback addresses, for the scripts of
this review: starts the programs of the deploy file as separate processes with
settings rendered from its templates, and plays workers, consumers and the
operator as the users' pages describe them. Standard library only."""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join("target", "bin", "ibisvalve-platform")
HEARTBEAT_S = 1.5
DRAIN_S = 2
GRACE_S = 6
CONFIG_S = 2
TIME_LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write("%8.3f %s\n" % (self.now(), text))
        self._file.flush()

    def close(self):
        self._file.close()


# Templates of settings, as DEPLOY.md describes them.


def _value(scopes, name):
    if name == ".":
        return scopes[-1].get(".")
    if name == "@":
        return scopes[-1].get("@")
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        if value is not None:
            return value
    return None


def render(template, fields, scopes=None):
    scopes = scopes or [fields]
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def expand(match):
        kind, name, body = match.groups()
        value = _value(scopes, name)
        if kind == "^":
            return "" if value else render(body, fields, scopes)
        if isinstance(value, dict):
            items = list(value.items())
        elif isinstance(value, list):
            items = list(enumerate(value))
        else:
            return render(body, fields, scopes) if value else ""
        text = ""
        for place, (key, item) in enumerate(items):
            part = body.replace("{{,}}", "" if place == len(items) - 1 else ",")
            text += render(part, fields, scopes + [{"@": key, ".": item}])
        return text

    def fill(match):
        name, _, form = match.group(1).partition("|")
        value = _value(scopes, name)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.@|]+)\}\}", fill, section.sub(expand, template))


class Machine:
    """One machine with one process of the system."""

    def __init__(self, fleet, name, role, ip, zone, service=""):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.service = service
        self.process = None
        self.bootstrap = True
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)

    def address(self, what):
        return (self.ip, self.fleet.ports[what])

    def text(self, what):
        return "%s:%d" % self.address(what)

    def fields(self):
        base = self.fleet.ports["range"]
        return {
            "nodeName": self.name,
            "role": self.role,
            "ip": self.ip,
            "zone": self.zone,
            "region": "viti-levu",
            "bootstrap": self.bootstrap,
            "dataDir": os.path.join(self.folder, "data"),
            "appAddress": self.text("app"),
            "service": self.service,
            "limits": {"linkMbps": 1000.0, "memoryMb": 260},
            "portRange": [base, base + 15],
            "seeds": [k.text("control") for k in self.fleet.keepers[:3]],
            "listen": {w: self.text(w) for w in ("inbound", "outbound", "ready", "control")},
            "zones": {zone: "viti-levu" for zone in self.fleet.zones},
            "faultTolerance": {"machines": self.fleet.tolerated, "zones": 0, "regions": 0},
            "bounds": {"graceS": GRACE_S, "drainS": DRAIN_S, "budgetRatio": 0.2},
        }

    def start(self):
        settings = os.path.join(self.folder, "settings")
        with open(os.path.join(ROOT, "platform", self.role + ".yaml"), encoding="utf-8") as file:
            text = render(file.read(), self.fields())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = [PROGRAM]
        if self.role == "node":
            command += ["--ready", self.text("ready")]
        command += ["--control", self.text("control")]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["IBISVALVE_NODE_FILE"] = settings
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.bootstrap = False
        self.fleet.record.write("start %s (%s)" % (self.name, self.role))

    def signal(self, number):
        self.fleet.record.write("signal %s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def ended(self, limit):
        end = time.monotonic() + limit
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return not self.running()

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """Keepers and nodes, each on a loopback address of its own."""

    def __init__(self, record, keepers=3, zones=("suva", "nadi", "lautoka"), tolerated=1):
        self.record = record
        self.zones = list(zones)
        self.tolerated = tolerated
        self.folder = tempfile.mkdtemp(prefix="ibisvalve-review-")
        self.net = "127.%d.%d" % (random.randint(16, 250), random.randint(1, 250))
        self._next = 1
        self.ports = self._find_ports()
        self.keepers = []
        self.nodes = []
        for number in range(keepers):
            zone = self.zones[number % len(self.zones)]
            self.keepers.append(Machine(self, "core-%s-%d" % (zone, number + 1), "keeper",
                                        self._address(), zone))

    def _address(self):
        address = "%s.%d" % (self.net, self._next)
        self._next += 1
        return address

    def _find_ports(self):
        for _ in range(50):
            base = random.randint(20000, 31000)
            numbers = list(range(base, base + 24))
            try:
                for number in numbers:
                    for host in range(1, 12):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (self.net, host), number))
            except OSError:
                continue
            return {"range": base, "app": base + 16, "inbound": base + 17, "outbound": base + 18,
                    "ready": base + 19, "control": base + 20}
        raise CannotRun("no free ports")

    def add_node(self, service, zone=None):
        zone = zone or self.zones[len(self.nodes) % len(self.zones)]
        node = Machine(self, "sidecar-%s-%d" % (zone, len(self.nodes) + 1), "node",
                       self._address(), zone, service)
        self.nodes.append(node)
        return node

    def start(self):
        for machine in self.keepers + self.nodes:
            machine.start()

    def close(self):
        for machine in self.keepers + self.nodes:
            with contextlib.suppress(Exception):
                machine.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def ended_by_itself(self):
        """Names of machines whose process ended without being told to."""
        return [m.name for m in self.keepers + self.nodes
                if m.process is not None and m.process.poll() is not None]


# HTTP, as much as consumers, workers and the operator need.


async def read_head(reader):
    """Returns the first line and the headers (lower-case names), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def head_text(first, headers):
    return (first + "\r\n" + "".join("%s: %s\r\n" % h for h in headers) + "\r\n").encode("latin-1")


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Connection:
    """A consumer's or the operator's connection."""

    def __init__(self):
        self.reader = None
        self.writer = None

    async def open(self, address, source=None, limit=1.0):
        local = (source, 0) if source else None
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*address, local_addr=local), limit)
        return self

    def send(self, method, path, headers, body=b""):
        headers = list(headers)
        if body or method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(body))))
        self.writer.write(head_text("%s %s HTTP/1.1" % (method, path), headers) + body)

    async def answer(self, method="GET"):
        first, headers = await read_head(self.reader)
        status = int(first.split()[1])
        body = b"" if method == "HEAD" or status in (204, 304) else await read_body(
            self.reader, headers, True)
        return Answer(status, headers, body)

    def close(self):
        if self.writer is not None:
            with contextlib.suppress(Exception):
                self.writer.close()


async def call(address, method, path, headers=(), body=b"", limit=5.0):
    """One request on a connection of its own."""
    connection = Connection()

    async def play():
        await connection.open(address)
        host = [] if any(n == "Host" for n, _ in headers) else [("Host", "%s:%d" % address)]
        connection.send(method, path, host + list(headers), body)
        return await connection.answer(method)

    try:
        return await asyncio.wait_for(play(), limit)
    finally:
        connection.close()


_ids = random.Random()


def new_id():
    return "%016x" % _ids.getrandbits(64)


class Worker:
    """A worker: answers requests of its service and sends heartbeats to the
    control address of its own machine. `work` may be replaced by a coroutine
    function (worker, method, path, headers, body, writer) that answers."""

    def __init__(self, machine, identity=None, slots=16, work_s=0.02, born_ms=None):
        self.machine = machine
        self.record = machine.fleet.record
        self.identity = identity or "i-" + new_id()[:8]
        self.slots = slots
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.state = "ready"
        self.sequence = 0
        self.server = None
        self.runs = []  # (time, request id)
        self.running = 0
        self.tells_load = True
        self.work = None
        self._beats = None
        self._writers = set()
        self.acks = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.machine.address("app"),
                                                 limit=1 << 26, backlog=512)
        self.record.write("worker %s of %s starts at %s (born %d)" % (
            self.identity, self.machine.service, self.machine.name, self.born_ms))
        self._beats = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            with contextlib.suppress(Exception):
                await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def next_beat(self):
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {"address": self.machine.text("app"), "born": self.born_ms,
                "info": {"service": self.machine.service, "version": "v1",
                         "zone": self.machine.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "coldLeftS": 0}}

    async def heartbeat(self, body=None):
        return await self._say("PUT", body or self.next_beat())

    async def _say(self, method, body):
        answer = await call(self.machine.address("control"), method,
                            "/api/instances/" + self.identity,
                            [("Content-Type", "application/json")], json.dumps(body).encode(), 1.0)
        return answer.status

    async def deregister(self, limit=5.0):
        """Says that it is gone until that is acknowledged, and no more after it.
        Returns the time of the ack."""
        self._beats.cancel()
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with contextlib.suppress(Exception):
                status = await self._say("DELETE", {"born": self.born_ms})
                if 200 <= status < 300:
                    self.record.write("worker %s: DELETE acknowledged (%d)" % (
                        self.identity, status))
                    return self.record.now()
            await asyncio.sleep(0.1)
        return None

    async def leave(self, limit=5.0):
        """Says `draining` until it is acknowledged. Returns the time of the ack."""
        self.state = "draining"
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with contextlib.suppress(Exception):
                status = await self.heartbeat()
                if 200 <= status < 300:
                    self.record.write("worker %s: draining acknowledged (%d)" % (
                        self.identity, status))
                    return self.record.now()
            await asyncio.sleep(0.1)
        return None

    async def stop(self, crash=False):
        """Ends the process of the worker."""
        if self._beats:
            self._beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self._writers):
            with contextlib.suppress(Exception):
                writer.transport.abort()
        self.record.write("worker %s %s" % (self.identity, "crashes" if crash else "ends"))

    def load(self):
        """The header with which the workers of some services tell their load."""
        if not self.tells_load:
            return []
        return [("Server-Load", "%d,0,%d" % (self.running, self.slots))]

    def headers(self, headers):
        return [("Request-Id", headers.get("request-id", "")),
                ("Response-Stamp", "3e1b.%s.%s" % (self.identity, headers.get("request-id", "")))
                ] + self.load()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError,
                                 asyncio.CancelledError, asyncio.LimitOverrunError):
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                if path == "/health" and "request-id" not in headers:
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    writer.write(head_text("HTTP/1.1 " + status, [
                        ("Instance-Id", self.identity)] + self.load() + [
                            ("Content-Length", "0")]))
                    continue
                body = await read_body(reader, headers)
                expected = headers.get("expect-instance")
                if expected and expected != self.identity:
                    writer.write(head_text("HTTP/1.1 421 Misdirected Request", [
                        ("Request-Id", headers.get("request-id", "")), ("Not-Executed", "1"),
                        ("Content-Length", "0")]))
                    continue
                self.runs.append((self.record.now(), headers.get("request-id", "")))
                self.record.write("run %s %s %s at worker %s" % (
                    headers.get("request-id", ""), method, path, self.identity))
                self.running += 1
                try:
                    if self.work is not None:
                        await self.work(self, method, path, headers, body, writer)
                    else:
                        await asyncio.sleep(self.work_s)
                        text = b"answer to " + headers.get("request-id", "").encode()
                        writer.write(head_text("HTTP/1.1 200 OK", self.headers(headers) + [
                            ("Content-Length", str(len(text)))]) + text)
                    await writer.drain()
                finally:
                    self.running -= 1
        self._writers.discard(writer)
        writer.close()


def route(name, host, prefix, service, kind="idempotent", timeout_s=3, attempts=2, **more):
    spec = {"host": host, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s,
            "targetLatencyS": timeout_s / 2, "priority": 1, "maxAttempts": attempts}
    if isinstance(service, str):
        spec["service"] = service
    else:
        spec["weightedBackends"] = service
    spec.update(more)
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def service(name, **more):
    return {"type": "services", "metadata": {"name": name},
            "spec": dict({"healthPath": "/health", "maxConnections": 260, "protocol": "h1",
                          "tls": False}, **more)}


LIMITS = {"type": "limits", "metadata": {},
          "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                   "idleTimeoutS": 15}}


class Operator:
    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 0

    async def put(self, resources, limit=10.0):
        body = {"version": "%08x" % (self.version + 1), "baseVersion": "%08x" % self.version,
                "resources": resources}
        return await self.order("PUT", body, limit)

    async def patch(self, upsert=(), remove=None, limit=10.0):
        body = {"version": "%08x" % (self.version + 1), "baseVersion": "%08x" % self.version,
                "upsert": {"resources": list(upsert)}, "remove": remove or {}}
        return await self.order("PATCH", body, limit)

    async def order(self, method, body, limit):
        """Sends an order to one keeper after the other until it is answered."""
        end = time.monotonic() + limit
        turn = 0
        data = json.dumps(body).encode()
        while time.monotonic() < end:
            keeper = self.fleet.keepers[turn % len(self.fleet.keepers)]
            turn += 1
            try:
                answer = await call(keeper.address("control"), method, "/api/config",
                                    [("Content-Type", "application/json")], data, 2.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                await asyncio.sleep(0.1)
                continue
            if answer.status < 500 and answer.status not in (408, 429):
                self.fleet.record.write("operator: %s version %s: %d" % (
                    method, body["version"], answer.status))
                if answer.status == 200:
                    self.version += 1
                return answer
            await asyncio.sleep(0.1)
        raise CannotRun("an order was not answered")


async def all_ready(fleet, limit=15.0):
    end = time.monotonic() + limit
    for node in fleet.nodes:
        while True:
            with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                if (await call(node.address("ready"), "GET", "/api/ready", limit=1)).status == 200:
                    break
            if time.monotonic() > end:
                raise CannotRun("%s is not ready" % node.name)
            await asyncio.sleep(0.1)


async def first_answer(fleet, node, host, path, limit=10.0):
    """Waits until a request through `node` is answered with 200."""
    end = time.monotonic() + limit
    status = None
    while time.monotonic() < end:
        with contextlib.suppress(OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = (await call(node.address("outbound"), "GET", path,
                                 [("Host", host), ("Request-Id", new_id()),
                                  ("Deadline-Ms", "1000")])).status
            if status == 200:
                return
        await asyncio.sleep(0.1)
    raise CannotRun("no request is answered with 200 through %s: %s" % (node.name, status))


async def _play(case, record, trouble):
    """Plays the case; a signal or the time limit only cancels it, so that its
    processes and folder are gone in the end."""
    task = asyncio.ensure_future(case(record, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, TIME_LIMIT_S)


def main(case):
    """Runs `case(record, trouble)`, which returns True if the rule was broken.
    Exits with 1 then, with 0 if it held, and with 2 if it could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_play(case, record, trouble))
    except (Exception, asyncio.CancelledError) as error:  # any other fault is the script's
        record.write("could not run: %r" % error)
        print("could not run: %r" % error, file=sys.stderr)
        sys.exit(2)
    record.write("rule broken" if broken else "rule held")
    print("rule broken" if broken else "rule held")
    record.close()
    sys.exit(1 if broken else 0)
