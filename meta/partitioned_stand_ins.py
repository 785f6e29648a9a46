"""Stand-ins around instances whose links to targets can be cut.

Each instance has its own table service, which lists the targets under the
addresses of the instance's own proxies. Cutting these proxies partitions the
instance from the targets; callers, peers and the table service still reach it.
All stand-ins of a cluster run in one event loop.
"""
import asyncio
import collections
import contextlib
import dataclasses
import enum
import json
import os
import socket
import struct
import subprocess
import time
import urllib.parse

from forwarding_stand_ins import BUILD, HOST, encode

BACKLOG = 256
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Head:
    """First line and header of a request or an answer; names in lower case."""
    first: list
    fields: dict

    def text(self, name):
        return self.fields.get(name, "")

    def number(self, name):
        return int(self.fields.get(name, 0))


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode().rstrip("\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    return Head(first.split(" ", 2),
                {name.lower(): value.strip() for name, _, value in fields})


def format_head(first, fields):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def format_answer(status, body, fields=None):
    return format_head(f"HTTP/1.1 {status} X", {
        **(fields or {}), "Content-Length": len(body)}) + body


def format_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """Serves the requests of each connection in turn."""

    def __init__(self):
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, 0, backlog=BACKLOG)
        return self.port

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                body = await reader.readexactly(head.number("content-length"))
                await self.answer(head, body, writer)
                await writer.drain()
        writer.close()


class TableService(Server):
    """Holds rows that never change."""

    def __init__(self, tables):
        super().__init__()
        self.tables = tables

    async def answer(self, head, body, writer):
        url = urllib.parse.urlparse(head.first[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        rows = []
        if url.path == "/rows-get":
            rows = [{"table": query["table"], "part": "", "key": key,
                     "value": value, "ver": 1}
                    for key, value in self.tables.get(
                        query["table"], {}).items()]
        elif url.path == "/rows-feed":
            await asyncio.sleep(int(query.get("wait_ms", 0)) / 1000)
        writer.write(format_answer(200, json.dumps(
            {"rows": rows, "ver": 1, "now_ms": 1, "has_more": False}).encode(),
            {"Content-Type": "application/json"}))


@dataclasses.dataclass
class Arrival:
    at: float
    request: str
    target: str
    # Index of the instance whose proxy the request came through.
    via: int
    is_run: bool


class Arrivals:
    """All requests of callers that reached targets."""

    def __init__(self):
        self.all = []
        # Proxied connections: their two ports to the instance's index.
        self.instance_of_ports = {}
        self.altered = []

    def by_request(self):
        found = collections.defaultdict(list)
        for it in self.all:
            found[it.request].append(it)
        return found


def body_of(request):
    return f"body of {request}".encode()


def answer_body(request, path):
    return f"answer to {request} at {path}\n".encode()


def format_event(request, n):
    return f"id: {n}\ndata: {request} {n}\n\n".encode()


class Target(Server):
    """Answers plain requests, and streams with the last path part as length.

    Closes some connections after an answer.
    """

    WORK_S = 0.03
    EVENT_GAP_S = 0.1
    CLOSE_SHARE = 0.1

    def __init__(self, name, service, domain, slots, arrivals, rng):
        super().__init__()
        self.name = name
        self.service = service
        self.domain = domain
        self.slots = slots
        self.arrivals = arrivals
        self.rng = rng
        self.running = 0

    def row(self, port):
        return {"service": self.service, "address": f"{HOST}:{port}",
                "zone": self.domain, "version": "v1", "slots": self.slots,
                "state": "ready", "seq": 1, "born": 1000}

    async def answer(self, head, body, writer):
        request, path = head.text("x-attempt-id"), head.first[1]
        if path == "/report":
            self.write_report(writer)
        elif not request:
            writer.write(format_answer(200, b"", {"X-Instance-Id": self.name}))
        elif head.text("x-expect-instance") not in ("", self.name):
            self.add_arrival(request, writer, False)
            writer.write(format_answer(421, b"", {
                "X-Attempt-Id": request, "X-Not-Executed": "1"}))
        else:
            self.add_arrival(request, writer, True)
            if head.first[0] == "POST" and body != body_of(request):
                self.arrivals.altered.append(request)
            self.running += 1
            try:
                await self.run(head, request, path, writer)
            finally:
                self.running -= 1

    def add_arrival(self, request, writer, is_run):
        ports = (writer.get_extra_info("peername")[1], self.port)
        self.arrivals.all.append(Arrival(
            time.monotonic(), request, self.name,
            self.arrivals.instance_of_ports[ports], is_run))

    async def run(self, head, request, path, writer):
        fields = {"X-Attempt-Id": request, "X-Server-Seal": "s",
                  "X-Server-Load": f"{self.running},0,{self.slots}"}
        is_last = self.rng.random() < self.CLOSE_SHARE
        if is_last:
            fields["Connection"] = "close"
        if path.startswith("/s/"):
            await self.stream(head, request, path, fields, writer)
        else:
            await asyncio.sleep(self.WORK_S)
            writer.write(format_answer(200, answer_body(request, path), fields))
        if is_last:
            await writer.drain()
            raise EOFError

    async def stream(self, head, request, path, fields, writer):
        writer.write(format_head("HTTP/1.1 200 X", {
            **fields, "Content-Type": "text/event-stream",
            "X-Weight-Versions": 1, "Transfer-Encoding": "chunked"}))
        for n in range(head.number("last-event-id") + 1,
                       int(path.rpartition("/")[2]) + 1):
            await asyncio.sleep(self.EVENT_GAP_S)
            writer.write(format_chunk(format_event(request, n)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def write_report(self, writer):
        writer.write(format_answer(200, json.dumps({
            "stage": "colocated", "busy": False, "seq": 1, "handles": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "waiting": 0, "running": self.running, "kv_used": self.running,
            "kv_total": 1000000, "born": 1000}).encode(),
            {"Content-Type": "application/json"}))


class Cut(enum.Enum):
    # Bytes and new connections get no answer.
    HANG = "hang"
    # Open and new connections are reset.
    RESET = "reset"
    # Open connections work, new ones are refused.
    HALF_OPEN = "half_open"


class Proxy:
    """Forwards the connections of one instance to one target."""

    FILLERS = 2

    def __init__(self, port, target, index, arrivals):
        self.port = port
        self.target = target
        self.index = index
        self.arrivals = arrivals
        self.loop = asyncio.get_running_loop()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind((HOST, port))
        self.cut_as = None
        self.is_open = asyncio.Event()
        self.tasks = set()
        self.fillers = []
        self.accept_connections()

    def accept_connections(self):
        self.listener.listen(BACKLOG)
        self.loop.add_reader(self.listener, self.accept)
        self.is_open.set()

    def cut(self, how):
        self.cut_as = how
        if how is Cut.RESET:
            for it in self.tasks:
                it.cancel()
            return
        self.loop.remove_reader(self.listener)
        if how is Cut.HALF_OPEN:
            # A bound socket that does not listen refuses connections.
            self.listener.shutdown(socket.SHUT_RDWR)
            return
        self.is_open.clear()
        # A listener with a full backlog does not answer connection requests.
        self.listener.listen(0)
        for _ in range(self.FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def heal(self):
        for it in self.fillers:
            it.close()
        self.fillers = []
        self.cut_as = None
        self.accept_connections()

    def close(self):
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for it in self.fillers:
            it.close()
        for it in self.tasks:
            it.cancel()

    def accept(self):
        try:
            connection, _ = self.listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        if self.cut_as is Cut.RESET:
            reset(connection)
            return
        task = asyncio.create_task(self.forward(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def forward(self, near):
        far = socket.socket()
        far.setblocking(False)
        copies = []
        try:
            await self.loop.sock_connect(far, (HOST, self.target.port))
            # Registered before the first byte is sent.
            ports = (far.getsockname()[1], self.target.port)
            self.arrivals.instance_of_ports[ports] = self.index
            copies = [asyncio.create_task(self.copy(near, far)),
                      asyncio.create_task(self.copy(far, near))]
            await asyncio.gather(*copies)
            near.close()
            far.close()
        except (OSError, asyncio.CancelledError):
            for it in copies:
                it.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            reset(near)
            reset(far)

    async def copy(self, source, sink):
        while True:
            try:
                data = await self.loop.sock_recv(source, READ_BYTES)
            finally:
                # Bytes, ends and resets wait for the end of the cut.
                await self.is_open.wait()
            # A reset discards the bytes that the cut held up.
            error = source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                raise OSError(error, os.strerror(error))
            if not data:
                sink.shutdown(socket.SHUT_WR)
                return
            await self.loop.sock_sendall(sink, data)


def reset(connection):
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              RESET_ON_CLOSE)
    connection.close()


class Instance:
    """A process of the forwarding interface. `popen` goes to subprocess.Popen.
    """

    # Ports for callers, readiness, metrics, peers and tunnels.
    PORTS = 5

    def __init__(self, index, domain, first_port, seeds, store, folder,
                 has_tunnel, **popen):
        self.index = index
        self.domain = domain
        self.port = first_port
        self.log = folder / f"{index}.log"
        self.settings = folder / f"{index}.yaml"
        seeds = ", ".join(f'"{HOST}:{it}"' for it in seeds)
        tunnel = f"tunnel_listen: {HOST}:{first_port + 4}\n"
        self.settings.write_text(f"""interface: forward
instance: i{index}
failure_domain: {domain}
listen: {HOST}:{first_port}
ready_listen: {HOST}:{first_port + 1}
metrics_listen: {HOST}:{first_port + 2}
peer_listen: {HOST}:{first_port + 3}
{tunnel if has_tunnel else ''}seed_peers: [{seeds}]
store: {HOST}:{store}
stop_grace_s: 8
retries:
  window_s: 10
  ratio: 0.8
  slack: 150
""")
        with open(self.log, "w") as log:
            self.process = subprocess.Popen(
                [BUILD / "daisypond-entry", "--config", self.settings],
                stdout=log, stderr=subprocess.STDOUT, **popen)

    def is_running(self):
        return self.process.poll() is None

    def kill(self):
        self.process.kill()
        self.process.wait()
