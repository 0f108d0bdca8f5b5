"""Stand-ins for workers and consumers, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import random
import secrets
import socket
import time


async def read_head(reader):
    """Reads a head: (first line, headers with lower-case names)."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            body += chunk
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Worker:
    """One worker beside a node. `serve(worker, request)` is a coroutine that
    returns (status, body) or writes the response itself and returns None."""

    def __init__(self, record, side, slots, serve, name=None):
        self.record, self.side, self.slots, self.serve = record, side, slots, serve
        self.id = name or f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []  # (request id, method, path)
        self.timed_runs = []  # the same, with the time of the record
        self._server = self._beat = None
        self._writers = set()

    async def start(self):
        port = self.side.fleet.ports["app"]
        self._server = await asyncio.start_server(self._connection, self.side.ip,
                                                  port, limit=1 << 20)
        self._beat = asyncio.create_task(self._heartbeats())

    async def stop(self):
        if self._beat:
            self._beat.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def crash(self):
        """The process ends: its sockets are closed and it says nothing."""
        self.stop_heartbeats()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _heartbeats(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(1.5)

    def next_heartbeat(self):
        self.sequence += 1
        return {"address": self.side.address("app"), "born": self.born,
                "info": {"service": self.side.service, "version": "v1",
                         "zone": self.side.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "coldLeftS": 0}}

    async def heartbeat(self):
        status, _ = await self.call("PUT", self.next_heartbeat())
        return status

    def stop_heartbeats(self):
        self._beat.cancel()

    async def call(self, method, body):
        """Calls the control address of the machine: (status, body)."""
        port = self.side.fleet.ports["control"]
        text = json.dumps(body).encode()
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.side.ip, port), 1)
            writer.write((f"{method} /api/instances/{self.id} HTTP/1.1\r\n"
                          f"Host: {self.side.address('control')}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
            line, headers = await asyncio.wait_for(read_head(reader), 1)
            answer = await asyncio.wait_for(read_body(reader, headers), 1)
            writer.close()
            return int(line.split()[1]), answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""

    async def say(self, state):
        """Changes the state and tells it at once, until it is acknowledged."""
        self.state = state
        while await self.heartbeat() // 100 != 2:
            await asyncio.sleep(0.1)
        self.record.write("worker-says", worker=self.id, state=state)

    def head(self, status, headers, length=None, extra=()):
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {headers['request-id']}",
                 f"Server-Load: {self.running},0,{self.slots}"]
        if length is not None:
            lines.append(f"Content-Length: {length}")
        lines += extra
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def stamp(self, body):
        digest = hashlib.sha256(body).hexdigest()[:8]
        return f"Response-Stamp: {self.id[2:]}.{len(body)}.{digest}"

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                body = await read_body(reader, headers)
                if path == "/health":
                    text = (f"HTTP/1.1 {200 if self.state == 'ready' else 503} X\r\n"
                            f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n"
                            f"Server-Load: {self.running},0,{self.slots}\r\n\r\n")
                    writer.write(text.encode())
                    await writer.drain()
                    continue
                refused = 0
                if headers.get("expect-instance", self.id) != self.id:
                    refused = 421
                elif self.running >= self.slots:
                    refused = 503
                if refused:
                    writer.write(self.head(refused, headers, 0, ["Not-Executed: 1"]))
                    await writer.drain()
                    continue
                self.running += 1
                self.runs.append((headers["request-id"], method, path))
                self.timed_runs.append((*self.runs[-1], self.record.now()))
                self.record.write("run", worker=self.id,
                                  request=headers["request-id"], method=method,
                                  path=path, deadline=headers.get("deadline-ms"))
                try:
                    result = await self.serve(self, method, path, headers, body,
                                              writer)
                finally:
                    self.running -= 1
                if result is not None:
                    status, answer = result
                    writer.write(self.head(status, headers, len(answer),
                                           [self.stamp(answer)]) + answer)
                    await writer.drain()
                self.record.write("run-end", worker=self.id,
                                  request=headers["request-id"])
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Answer:
    """What a consumer has got for one request."""

    def __init__(self, request):
        self.request = request
        self.sent = None      # seconds since the start of the record
        self.ended = None
        self.status = 0       # 0: no head came
        self.length = None    # declared
        self.got = 0          # bytes of the body
        self.complete = False
        self.stamp = None
        self.digest = hashlib.sha256()

    def describe(self):
        return {"request": self.request, "status": self.status,
                "declared": self.length, "got": self.got,
                "complete": int(self.complete),
                "took": f"{(self.ended or 0) - (self.sent or 0):.3f}"}


def request_id():
    return f"{random.getrandbits(64):016x}"


def request_text(method, path, host, request, deadline_ms, body=b"",
                 caller="anyone"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"Request-Id: {request}", f"Deadline-Ms: {deadline_ms}"]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    """A consumer's connection to the outbound address of its machine. With
    `link_bytes_per_s` it reads like a consumer behind a link of that speed, with
    the segment size and the small windows of such a link."""

    def __init__(self, record, side, link_bytes_per_s=None):
        self.record, self.side = record, side
        self.rate = link_bytes_per_s
        self.reader = self.writer = None
        self.closed_by_node = False

    async def open(self):
        one = socket.socket()
        one.setblocking(False)
        if self.rate:
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 10)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(one, (self.side.ip,
                                      self.side.fleet.ports["outbound"]))
        self.reader, self.writer = await asyncio.open_connection(
            sock=one, limit=(8 << 10) if self.rate else (1 << 20))

    def send(self, method, path, host, deadline_ms, body=b""):
        answer = Answer(request_id())
        answer.sent = self.record.now()
        self.record.write("send", to=self.side.name, request=answer.request,
                          method=method, path=path, bytes=len(body))
        self.writer.write(request_text(method, path, host, answer.request,
                                       deadline_ms, body))
        return answer

    async def receive(self, answer):
        """Reads the answer to its end, or until the connection ends."""
        try:
            line, headers = await read_head(self.reader)
            answer.status = int(line.split()[1])
            answer.stamp = headers.get("response-stamp")
            answer.keeps = headers.get("connection", "").lower() != "close"
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size_line = await self.reader.readline()
                    if not size_line.endswith(b"\n"):
                        raise EOFError
                    size = int(size_line.split(b";")[0], 16)
                    await self._read_bytes(answer, size)
                    await self.reader.readexactly(2)
                    if size == 0:
                        break
            else:
                answer.length = int(headers.get("content-length", "0"))
                await self._read_bytes(answer, answer.length)
            answer.complete = True
        except (OSError, EOFError, asyncio.IncompleteReadError):
            self.closed_by_node = True
        answer.ended = self.record.now()
        self.record.write("answer", **answer.describe())
        return answer

    async def _read_bytes(self, answer, count):
        while count > 0:
            piece = await self.reader.read(min(count, 4 << 10))
            if not piece:
                raise EOFError
            answer.got += len(piece)
            answer.digest.update(piece)
            count -= len(piece)
            if self.rate:
                await asyncio.sleep(len(piece) / self.rate)

    def close(self):
        if self.writer:
            self.writer.close()
