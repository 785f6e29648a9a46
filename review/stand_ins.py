"""Stand-ins for the scripts of this review: store, servers, clients, proxies.

They speak PROTOCOL.md and run in one event loop. The instances are processes
that are started with the command of deploy/system.toml and with settings
rendered from the template that it names.
"""
import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the sites siamtide-yield and basahan-fleet.
BOUNDS = {"drain_ms": 2000, "config_apply_ms": 2000, "contact_ms": 3000,
          "grace_s": 8, "retry_window_s": 10, "retry_budget_ratio": 0.8,
          "retry_slack": 150}
HEARTBEAT_S = 1.2
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes record.txt: one line for each event, with its time."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began_at = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()

    def summary(self, text):
        self(text)
        print(text, flush=True)


def free_ports(count):
    """Returns ports that are free now, below the ephemeral range."""
    ports = []
    candidate = 20000 + (os.getpid() * 37) % 9000
    while len(ports) < count:
        candidate = 20000 + (candidate - 20000 + 1) % 12000
        with socket.socket() as it:
            try:
                it.bind((HOST, candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the fields (names in lower case)."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).strip().split(b";")[0], 16)
        if size == 0:
            await reader.readline()
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def format_head(first, fields):
    return (first + "\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()) +
        "\r\n").encode("latin-1")


def format_answer(status, body=b"", fields=None):
    return format_head(f"HTTP/1.1 {status} X", {
        **(fields or {}), "Content-Length": len(body)}) + body


def format_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def sockets_of(pid):
    """Returns the inodes of the sockets of a process."""
    inodes = set()
    with contextlib.suppress(OSError):
        for it in os.listdir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                link = os.readlink(f"/proc/{pid}/fd/{it}")
                if link.startswith("socket:["):
                    inodes.add(link[8:-1])
    return inodes


def owner_of(writer, instances):
    """Returns the instance that opened a connection, or None."""
    near = writer.get_extra_info("sockname")
    far = writer.get_extra_info("peername")
    if not near or not far:
        return None
    for _ in range(3):
        with open("/proc/net/tcp") as table:
            lines = [it.split() for it in table][1:]
        inode = next((it[9] for it in lines
                      if it[1].endswith(f":{far[1]:04X}")
                      and it[2].endswith(f":{near[1]:04X}")), None)
        for it in instances:
            if it.process and inode in sockets_of(it.process.pid):
                return it
    return None


class HttpServer:
    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, HOST, port, backlog=512, limit=1 << 20)
        return self.port

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def admits(self, writer):
        return True

    async def serve(self, reader, writer):
        if not self.admits(writer):
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.answer(first, fields, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's metadata store: rows with versions of one counter."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.ver = 100
        self.era = 1
        self.rows = {}
        self.changed = asyncio.Event()
        self.began_at = time.monotonic()
        self.is_down = False
        # Snapshots (time, ver, rows) for a return from a copy.
        self.copies = []

    def write(self, table, key, value):
        """Writes a row (None removes it). The return is the ack."""
        self.ver += 1
        encoded = None if value is None else base64.b64encode(
            json.dumps(value).encode()).decode()
        self.rows[table, "", key] = (self.ver, encoded)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self):
        self.copies.append((time.monotonic(), self.ver, dict(self.rows)))

    def restore(self, age_s):
        """Returns from the newest copy that is at least age_s old."""
        limit = time.monotonic() - age_s
        _, self.ver, rows = [it for it in self.copies if it[0] <= limit][-1]
        self.rows = dict(rows)
        self.era += 1
        self.wake()

    async def set_down(self, is_down):
        self.is_down = is_down
        self.wake()
        if is_down:
            for it in list(self.writers):
                reset(it)

    def admits(self, writer):
        return not self.is_down

    def select(self, table, part, after=0):
        found = []
        for (its_table, its_part, key), (ver, value) in sorted(
                self.rows.items()):
            if (its_table, its_part) == (table, part) and ver > after:
                row = {"table": table, "part": part, "key": key, "ver": ver}
                row.update({"tombstone": True} if value is None
                           else {"value": value})
                found.append(row)
        return found

    async def answer(self, first, fields, body, writer):
        url = urllib.parse.urlparse(first.split(" ")[1])
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        table, part = query.get("table", ""), query.get("part", "")
        status, reply = 200, {}
        await asyncio.sleep(0.004)
        if url.path == "/rows-get":
            rows = [it for it in self.select(table, part) if "value" in it
                    and it["key"] >= query.get("from", "")
                    and ("to" not in query or it["key"] < query["to"])]
            reply = {"rows": rows, "has_more": False, "ver": self.ver}
        elif url.path == "/rows-feed":
            status, reply = await self.feed(
                table, int(query.get("after_rev", 0)),
                int(query.get("wait_ms", 0)) / 1000)
        elif url.path == "/rows-tx":
            status, reply = self.transact(json.loads(body))
        else:
            status = 404
        if self.is_down:
            raise EOFError
        reply["now_ms"] = int(1000 * (time.monotonic() - self.began_at))
        writer.write(format_answer(
            status, json.dumps(reply).encode(),
            {"Content-Type": "application/json", "Store-Era": self.era}))

    async def feed(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        era = self.era
        while True:
            # A version that this store does not have.
            if after > self.ver or era != self.era:
                return 410, {}
            rows = sorted((it for (its_table, part, key) in [(table, "", "")]
                           for it in self.select(table, part, after)),
                          key=lambda it: it["ver"])
            left = deadline - time.monotonic()
            if rows or left <= 0 or self.is_down:
                return 200, {"rows": rows, "ver": self.ver}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def transact(self, call):
        for it in call.get("expected_rev", []):
            key = (it["table"], it.get("part", ""), it["key"])
            ver, value = self.rows.get(key, (0, None))
            if (ver if value is not None else 0) != it["ver"]:
                return 412, {"rows": [], "ver": self.ver}
        if call.get("put") or call.get("remove"):
            self.ver += 1
        for it in call.get("put", []):
            self.rows[it["table"], it.get("part", ""), it["key"]] = (
                self.ver, it["value"])
        for it in call.get("remove", []):
            key = (it["table"], it.get("part", ""), it["key"])
            if key in self.rows:
                self.rows[key] = (self.ver, None)
        self.wake()
        return 200, {"ver": self.ver}


class Proxy:
    """Forwards the connections of one instance to one server; can be cut."""

    def __init__(self, target):
        self.target, self.server, self.writers = target, None, set()

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, HOST, 0, backlog=512)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def cut(self):
        """Open connections are reset, new ones are refused."""
        self.server.close()
        for it in list(self.writers):
            reset(it)

    async def serve(self, reader, writer):
        far = None
        try:
            far_reader, far = await asyncio.open_connection(
                HOST, self.target.port)
            self.writers |= {writer, far}
            await asyncio.gather(self.copy(reader, far),
                                 self.copy(far_reader, writer))
        except OSError:
            reset(writer)
        finally:
            for it in (writer, far):
                if it:
                    self.writers.discard(it)
                    it.close()

    @staticmethod
    async def copy(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class StoreView(HttpServer):
    """The store as one instance sees it: servers stand behind its proxies."""

    def __init__(self, store, proxies):
        super().__init__()
        self.store, self.proxies = store, proxies

    async def answer(self, first, fields, body, writer):
        reader, far = await asyncio.open_connection(HOST, self.store.port)
        try:
            method, path, _ = first.split(" ")
            far.write(format_head(first, {
                "Host": "store", "Content-Length": len(body)}) + body)
            status, fields = await read_head(reader)
            data = json.loads(await read_body(reader, fields))
        finally:
            far.close()
        for row in data.get("rows", []):
            proxy = self.proxies.get(row["key"])
            if row.get("table") == "servers" and proxy and "value" in row:
                value = json.loads(base64.b64decode(row["value"]))
                value["address"] = proxy.address
                row["value"] = base64.b64encode(
                    json.dumps(value).encode()).decode()
        writer.write(format_answer(
            status.split(" ")[1], json.dumps(data).encode(),
            {"Content-Type": "application/json",
             "Store-Era": self.store.era}))


class Target(HttpServer):
    """A server: answers calls after `work_s`, streams events of a run."""

    def __init__(self, name, service, record, zone="z1", slots=64,
                 version="v1", work_s=0.03, event_gap_s=0.05):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.version = slots, version
        self.work_s, self.event_gap_s = work_s, event_gap_s
        self.record = record
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        # Adds `Server-Leaving: 1` to all answers.
        self.says_leaving = False
        # Streams and calls have neither a length nor chunks.
        self.is_unframed = False
        # All requests that reached this server, with their arrival.
        self.arrivals = []
        self.is_gone = False

    def row(self):
        self.seq += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "seq": self.seq, "born": self.born}

    def admits(self, writer):
        return not self.is_gone

    async def leave_process(self):
        """The process exits: open connections are closed."""
        self.is_gone = True
        self.server.close()
        for it in list(self.writers):
            reset(it)

    def common_fields(self):
        fields = {"X-Server-Load": f"{self.running},0,{self.slots}"}
        if self.says_leaving:
            fields["Server-Leaving"] = "1"
        return fields

    async def answer(self, first, fields, body, writer):
        method, path, _ = first.split(" ")
        request = fields.get("x-attempt-id", "")
        if path == "/report":
            report = {"stage": "colocated", "busy": False, "seq": 1,
                      "models": [{"name": "m", "version": 1, "adapters": []}],
                      "waiting": 0, "running": self.running, "kv_used": 0,
                      "kv_total": 55000, "handles": 0, "born": self.born}
            writer.write(format_answer(200, json.dumps(report).encode(), {
                **self.common_fields(), "Content-Type": "application/json"}))
        elif path == "/healthz":
            writer.write(format_answer(200, b"", {
                **self.common_fields(), "X-Instance-Id": self.name}))
        elif fields.get("x-expect-instance", self.name) != self.name:
            self.record(f"server {self.name} 421 {request}")
            writer.write(format_answer(421, b"", {
                **self.common_fields(), "X-Attempt-Id": request,
                "X-Instance-Id": self.name, "X-Not-Executed": "1"}))
        else:
            self.arrivals.append((time.monotonic(), request))
            self.record(f"server {self.name} runs {request} {method} {path} "
                        f"{len(body)} B, tenant {fields.get('x-tenant')}, "
                        f"after event {fields.get('last-event-id', 0)}")
            self.running += 1
            try:
                await self.run(request, method, path, fields, body, writer)
            finally:
                self.running -= 1

    async def run(self, request, method, path, fields, body, writer):
        answer_fields = {**self.common_fields(), "X-Attempt-Id": request,
                         "X-Server-Seal": f"seal-{request}"}
        match = re.search(r"/stream/(\d+)$", path)
        if match:
            await self.stream(request, int(match[1]), fields, answer_fields,
                              writer)
            return
        await asyncio.sleep(self.work_s)
        answer_fields.update({k: v for k, v in self.common_fields().items()})
        writer.write(format_answer(200, f"answer {request}\n".encode(),
                                   answer_fields))

    async def stream(self, request, events, fields, answer_fields, writer):
        framing = {"Connection": "close"} if self.is_unframed else {
            "Transfer-Encoding": "chunked"}
        writer.write(format_head("HTTP/1.1 200 X", {
            **answer_fields, "Content-Type": "text/event-stream",
            "X-Weight-Versions": 1, **framing}))
        for n in range(int(fields.get("last-event-id", 0)) + 1, events + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {n}\ndata: {self.version} {n}\n\n".encode()
            writer.write(event if self.is_unframed else format_chunk(event))
            await writer.drain()
        if self.is_unframed:
            await writer.drain()
            raise EOFError
        writer.write(b"0\r\n\r\n")


def route(name, kind, service, timeout_ms=3000, aim_ms=300, attempts=1,
          public=True, **more):
    return {"name": name, "host": "h.example", "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": aim_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "public": public, **more}


def service(name, engine=False, max_conns=370):
    value = {"name": name, "health_path": "/healthz", "max_conns": max_conns,
             "protocol": "h1", "tls": False}
    if engine:
        value["engine"] = {
            "slots": 64, "kv_capacity": 55000, "kv_token_bytes": 18432,
            "link_mbps": 550000.0, "moves": False, "backups": False,
            "stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
            "handle_s": 4.0, "models": [{"name": "m"}]}
    return value


def manifest(version, routes, services, tenants=None):
    value = {"version": version, "routes": routes, "services": services,
             "limits": LIMITS}
    if tenants is not None:
        value["tenants"] = tenants
    return value


class Answer:
    def __init__(self):
        self.status, self.fields, self.body = 0, {}, b""
        # The answer ended as its framing says.
        self.is_complete = False
        self.sent_at = self.ended_at = 0.0
        self.error = ""

    def __str__(self):
        end = "complete" if self.is_complete else f"not complete {self.error}"
        return f"{self.status}, {len(self.body)} B, {end}"


async def read_answer(reader, answer, on_bytes=None):
    """Reads an answer that has a length or chunks."""
    first, answer.fields = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if "chunked" in answer.fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).strip(), 16)
            if size == 0:
                await reader.readexactly(2)
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if on_bytes:
                on_bytes(answer)
    else:
        answer.body = await reader.readexactly(
            int(answer.fields.get("content-length", 0)))
    answer.is_complete = True


async def send(port, request, path, method="GET", body=b"", fields=None,
               deadline_ms=3000, record=None, on_bytes=None, connection=None):
    """Sends one request on a new connection (or `connection`)."""
    answer = Answer()
    writer = None
    try:
        if connection:
            reader, writer = connection
        else:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, port), 1)
        head = {"Host": "h.example", "X-Attempt-Id": request,
                "X-Deadline-Ms": deadline_ms, **(fields or {})}
        if body or method == "POST":
            head["Content-Length"] = len(body)
        answer.sent_at = time.monotonic()
        writer.write(format_head(f"{method} {path} HTTP/1.1", head) + body)
        await asyncio.wait_for(read_answer(reader, answer, on_bytes),
                               deadline_ms / 1000 + 1)
    except (OSError, EOFError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        answer.ended_at = time.monotonic()
        if writer and not connection:
            writer.close()
    if record:
        record(f"client {request} {method} {path}: {answer}, took "
               f"{1000 * (answer.ended_at - answer.sent_at):.0f} ms")
    return answer


def render(template, values):
    """Fills in {{a.b}} and {{a|json}} of the settings template."""
    def fill(match):
        name, _, form = match[1].partition("|")
        value = values
        for part in name.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        if form == "json":
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else (
            str(value).lower() if isinstance(value, bool) else str(value))
    return re.sub(r"\{\{([^{}]+)\}\}", fill, template)


class Instance:
    """One process, started as the deploy file says."""

    def __init__(self, index, ports, all_ports, store, folder, zone="z1"):
        self.index, self.zone = index, zone
        self.name = f"front-{zone}-{index}"
        self.port, self.ready_port = ports[0], ports[1]
        self.role = dict(re.findall(
            r'^(run|template) = "([^"]*)"$',
            (ROOT / "deploy/system.toml").read_text(), re.MULTILINE))
        values = {
            "node": self.name, "zone": zone, "region": "r1", "ip": HOST,
            "listen": {"front": f"{HOST}:{ports[0]}",
                       "ready": f"{HOST}:{ports[1]}",
                       "control": f"{HOST}:{ports[2]}"},
            "port_range": [ports[3], ports[4]],
            "seeds": [f"{HOST}:{it[2]}" for it in all_ports[:3]],
            "platform": {"address": store}, "bounds": BOUNDS,
            "bootstrap": False}
        text = render((ROOT / self.role["template"]).read_text(), values)
        self.settings = folder / f"{self.name}.settings"
        self.settings.write_text(text)
        self.log = folder / f"{self.name}.log"
        self.process = None

    def start(self):
        command = self.role["run"].split()
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["DAISYPOND_NODE_FILE"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [str(ROOT / command[0]), *command[1:]], cwd=ROOT,
                stdout=log, stderr=subprocess.STDOUT, env=environment)

    async def is_ready(self):
        answer = await send(self.ready_port, "", "/readyz", deadline_ms=500)
        return answer.status == 200

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Case:
    """Starts the store, servers and instances; ends them all."""

    def __init__(self, folder, instances=2, zones=("z1", "z2")):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.targets = []
        self.n_instances, self.zones = instances, zones
        self.instances = []
        self.tasks = []
        # By instance index: proxies between it and the servers, by server.
        self.proxies = {}

    async def start(self, targets, first_manifest):
        if not (ROOT / "target/daisypond-entry").exists():
            raise CannotRun("target/daisypond-entry has not been built")
        await self.store.listen()
        self.targets = targets
        for it in targets:
            await it.listen()
            self.store.write("servers", it.name, it.row())
        self.store.write("op", "config", first_manifest)
        self.tasks.append(asyncio.create_task(self.beat()))
        ports = free_ports(5 * self.n_instances)
        groups = [ports[i:i + 5] for i in range(0, len(ports), 5)]
        for i, it in enumerate(groups):
            store = self.store
            if i in self.proxies:
                for target in targets:
                    self.proxies[i][target.name] = Proxy(target)
                    await self.proxies[i][target.name].listen()
                store = StoreView(self.store, self.proxies[i])
                await store.listen()
            self.instances.append(Instance(
                i, it, groups, store.address, self.folder,
                self.zones[i % len(self.zones)]))
        for it in self.instances:
            it.start()
        for it in self.instances:
            for _ in range(200):
                if await it.is_ready():
                    break
                await asyncio.sleep(0.05)
            else:
                raise CannotRun(f"{it.name} is not ready")

    async def beat(self):
        """Writes the status reports of the servers and takes copies."""
        while True:
            for it in self.targets:
                await asyncio.sleep(HEARTBEAT_S / len(self.targets))
                if not self.store.is_down and not it.is_gone:
                    self.store.write("servers", it.name, it.row())
                    self.store.take_copy()

    async def end(self):
        for it in self.tasks:
            it.cancel()
        for it in self.instances:
            it.kill()
        for it in self.instances:
            with contextlib.suppress(OSError):
                shutil.copy(it.log, pathlib.Path(self.record.file.name).parent
                            / f"log-{it.index}.txt") if os.environ.get(
                                "KEEP_LOGS") else None
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, **options):
    """Runs `play(case)`, which returns whether the rule held."""
    async def run():
        case = Case(folder, **options)
        try:
            return await asyncio.wait_for(play(case), 110)
        finally:
            await case.end()

    try:
        holds = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"cannot run: {error!r}", flush=True)
        sys.exit(2)
    print("held" if holds else "broken", flush=True)
    sys.exit(0 if holds else 1)
