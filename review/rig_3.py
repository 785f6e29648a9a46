"""Rig of the cases 11 to 15: starts entry instances with the command of the deploy
file, and stand-ins of the platform's store, servers and requesters that follow
PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses.
"""
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
HOST_NAME = "h.example"
START_S = 30


def free_ports(n):
    socks = [socket.socket() for _ in range(n)]
    for it in socks:
        it.bind((HOST, 0))
    ports = [it.getsockname()[1] for it in socks]
    for it in socks:
        it.close()
    return ports


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began_at = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
            self.file.flush()


# ---- The platform's store.

class Store:
    """The rows calls of the store (PROTOCOL.md, the platform's metadata
    store)."""

    MAXIMUM_ROWS, MAXIMUM_TEXT = 500, 200

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 1
        self.rows = {}
        self.listener = listen()
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=accept, args=(self.listener, self.serve),
                         daemon=True).start()

    def put(self, table, key, value):
        self.put_all([(table, "", key, base64.b64encode(
            json.dumps(value).encode()).decode())])

    def remove(self, table, key):
        self.put_all([(table, "", key, None)])

    def put_all(self, rows):
        with self.changed:
            self.version += 1
            for table, part, key, value in rows:
                self.rows[table, part, key] = (self.version, value)
            self.changed.notify_all()

    def select(self, table, after=0):
        return [{"table": table, "part": part, "key": key, "ver": ver,
                 **({"tombstone": True} if value is None else
                    {"value": value})}
                for (its, part, key), (ver, value) in sorted(self.rows.items())
                if its == table and ver > after]

    def serve(self, sock):
        connection = Connection(sock)
        while True:
            head = connection.read_head()
            body = connection.read_exactly(head.length())
            url = urllib.parse.urlparse(head.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            time.sleep(0.004)
            status, answer = self.answer(head.method, url.path, query, body)
            text = json.dumps(answer).encode()
            connection.send(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Store-Era: 1\r\nContent-Length: {len(text)}\r\n\r\n"
                .encode() + text)

    def answer(self, method, path, query, body):
        now_ms = int(time.monotonic() * 1000)
        if method == "POST" and path == "/rows-tx":
            return self.transact(json.loads(body), now_ms)
        if path == "/rows-get":
            with self.changed:
                rows = [it for it in self.select(query.get("table", ""))
                        if "value" in it and it["part"] == query.get("part", "")
                        and it["key"] >= query.get("from", "")
                        and ("to" not in query or it["key"] < query["to"])]
                n = min(int(query.get("limit", self.MAXIMUM_ROWS)),
                        self.MAXIMUM_ROWS)
                return 200, {"rows": rows[:n], "has_more": len(rows) > n,
                             "ver": self.version, "now_ms": now_ms}
        if path == "/rows-feed":
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            with self.changed:
                while True:
                    rows = self.select(query.get("table", ""),
                                       int(query.get("after_rev", 0)))
                    left = deadline - time.monotonic()
                    if rows or left <= 0:
                        return 200, {"rows": rows, "ver": self.version,
                                     "now_ms": now_ms}
                    self.changed.wait(left)
        return 404, {}

    def transact(self, call, now_ms):
        entries = call["expected_rev"] + call["put"] + call["remove"]
        if len(entries) > 100 or any(
                len(it[name].encode()) > self.MAXIMUM_TEXT
                for it in entries for name in ("table", "part", "key")):
            return 400, {}
        if any(it["table"] in ("op", "servers")
               for it in call["put"] + call["remove"]):
            return 403, {}
        with self.changed:
            for it in call["expected_rev"]:
                ver, value = self.rows.get(
                    (it["table"], it["part"], it["key"]), (0, None))
                if (0 if value is None else ver) != it["ver"]:
                    return 412, {"rows": [], "ver": self.version,
                                 "now_ms": now_ms}
            self.put_all(
                [(it["table"], it["part"], it["key"], it["value"])
                 for it in call["put"]] +
                [(it["table"], it["part"], it["key"], None)
                 for it in call["remove"]])
            return 200, {"ver": self.version, "now_ms": now_ms}


# ---- Connections.

class Closed(Exception):
    """The other end has closed the connection."""


class Head:
    def __init__(self, text):
        first, *lines = text.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.first = first.split(" ", 2)
        self.method, self.path = self.first[0], self.first[1]
        self.fields = {}
        for it in lines:
            name, _, value = it.partition(":")
            self.fields[name.lower()] = value.strip()

    def length(self):
        return int(self.fields.get("content-length", 0))

    def status(self):
        return int(self.first[1])


class Connection:
    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def send(self, data):
        self.sock.sendall(data)

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed
        self.buf += data

    def read_until(self, delimiter):
        while delimiter not in self.buf:
            self.fill()
        n = self.buf.index(delimiter) + len(delimiter)
        taken, self.buf = self.buf[:n], self.buf[n:]
        return taken

    def read_head(self):
        return Head(self.read_until(b"\r\n\r\n"))

    def read_exactly(self, n):
        while len(self.buf) < n:
            self.fill()
        taken, self.buf = self.buf[:n], self.buf[n:]
        return taken

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass

    def reset(self):
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                 struct.pack("ii", 1, 0))
        except OSError:
            pass
        self.close()


def listen(port=0):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen(256)
    return sock


def accept(listener, serve):
    def run(sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            serve(sock)
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()

    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=run, args=(sock,), daemon=True).start()


# ---- Servers.

class Server:
    """A server of a service. `script(server, connection, head, body)` answers a
    request and returns whether the channel stays open."""

    def __init__(self, store, name, service, version, script, zone="zone-a",
                 slots=64, is_engine=True, port=0, entry_after_s=0):
        self.store, self.name, self.service = store, name, service
        self.version, self.script, self.zone = version, script, zone
        self.slots, self.is_engine = slots, is_engine
        self.born = int(time.time() * 1000)
        self.state, self.seq, self.is_listed = "ready", 0, True
        self.connections = set()
        self.has_ended = False
        self.lock = threading.Lock()
        self.listener = listen(port)
        self.port = self.listener.getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        threading.Thread(target=accept, args=(self.listener, self.serve),
                         daemon=True).start()
        threading.Thread(target=self.beat, args=(entry_after_s,),
                         daemon=True).start()

    def beat(self, entry_after_s):
        time.sleep(entry_after_s)
        while self.is_listed:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def write_entry(self):
        with self.lock:
            if not self.is_listed:
                return
            self.seq += 1
            self.store.put("servers", self.name, {
                "service": self.service, "address": self.address,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "stage": "colocated", "models": [
                    {"name": "m", "version": 1, "adapters": []}],
                "seq": self.seq, "born": self.born})

    def drain(self):
        self.state = "draining"
        self.write_entry()

    # Ends the process: the entry goes, and all channels are closed.
    def exit(self):
        with self.lock:
            self.is_listed = False
            self.store.remove("servers", self.name)
        self.close()

    # Ends the process. It sends nothing, so that the entry stays.
    def crash(self):
        with self.lock:
            self.is_listed = False
        self.close()

    def close(self):
        self.has_ended = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for it in list(self.connections):
            it.reset()

    def leaving(self):
        return b"Server-Leaving: 1\r\n" if self.state == "draining" else b""

    def serve(self, sock):
        connection = Connection(sock)
        self.connections.add(connection)
        try:
            while not self.has_ended:
                head = connection.read_head()
                if head.path == "/report" and self.is_engine:
                    self.answer_plain(connection, {
                        "stage": "colocated", "models": [
                            {"name": "m", "version": 1, "adapters": []}],
                        "busy": False, "seq": self.seq, "waiting": 0,
                        "running": 0, "kv_used": 0, "kv_total": 1000000,
                        "handles": 0, "born": self.born})
                    continue
                if head.path == "/healthz":
                    self.answer_plain(connection, {})
                    continue
                if "x-attempt-id" not in head.fields:
                    connection.send(b"HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\n"
                                    b"Content-Length: 0\r\n\r\n")
                    continue
                if head.fields.get("x-expect-instance", self.name) != self.name:
                    connection.read_exactly(head.length())
                    connection.send(
                        b"HTTP/1.1 421 X\r\nX-Not-Executed: 1\r\n"
                        b"X-Attempt-Id: " +
                        head.fields["x-attempt-id"].encode() +
                        b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                if not self.script(self, connection, head):
                    return
        finally:
            self.connections.discard(connection)

    def answer_plain(self, connection, value):
        text = json.dumps(value).encode()
        connection.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"X-Instance-Id: " + self.name.encode() + b"\r\n" + self.leaving() +
            b"X-Server-Load: 0,0,%d\r\nContent-Length: %d\r\n\r\n" %
            (self.slots, len(text)) + text)


# Head of an answer to the request with `head`.
def answer_head(server, head, status=200, extra=b""):
    return (b"HTTP/1.1 %d OK\r\nX-Attempt-Id: " % status +
            head.fields["x-attempt-id"].encode() +
            b"\r\nX-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
            server.leaving() + extra)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def manifest(routes, services, **limits):
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       **limits},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


def stream_route(name, service, timeout_ms=25000, resumable=True):
    return {"name": name, "host": HOST_NAME, "prefix": f"/{name}/",
            "route_kind": "streaming", "timeout_ms": timeout_ms,
            "target_latency_ms": 4500, "priority": 1, "service": service,
            "max_attempts": 5, "public": False, "sticky": True,
            "resumable": resumable, "gap_aim_ms": 700}


def call_route(name, service, kind, timeout_ms=20000):
    return {"name": name, "host": HOST_NAME, "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "priority": 2, "service": service,
            "max_attempts": 2 if kind == "idempotent" else 1, "public": False}


def engine_service(name, **changes):
    return {"name": name, "health_path": "/healthz", "max_conns": 370,
            "protocol": "h1", "tls": False, "engine": {
                "slots": 64, "kv_capacity": 55000, "kv_token_bytes": 18432,
                "link_mbps": 550000.0, "moves": False, "backups": False,
                "stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                "handle_s": 4.0, "models": [{"name": "m"}], **changes}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 110,
            "protocol": "h1", "tls": False}


# ---- The system.

class Entry:
    """An entry instance: the command and the settings of the deploy file."""

    def __init__(self, index, store, folder, ports, seeds, grace_s=8,
                 zone="zone-a"):
        self.front, self.ready, self.control, self.metrics, self.tunnel = ports
        self.address = f"{HOST}:{self.front}"
        self.log = folder / f"entry-{index}.log"
        self.settings = folder / f"settings-{index}.yaml"
        # platform/settings.yaml, filled in.
        self.settings.write_text(f"""interface: forward
instance: "front-{index}"
failure_domain: "{zone}"
region: "region"
listen: "{HOST}:{self.front}"
ready_listen: "{HOST}:{self.ready}"
metrics_listen: "{HOST}:{self.metrics}"
peer_listen: "{HOST}:{self.control}"
tunnel_listen: "{HOST}:{self.tunnel}"
seed_peers: {json.dumps(seeds)}
store: "{store}"
stop_grace_s: {grace_s}
catalog_bound_ms: 2000
first_start: false
retries:
  window_s: 10
  ratio: 0.8
  slack: 150
""")
        self.process = None

    def start(self):
        program = ROOT / "target" / "daisypond-entry"
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"),
               "DAISYPOND_NODE_FILE": str(self.settings),
               "DAISYPOND_MEMORY_MB": "260", "DAISYPOND_MAX_FDS": "4100"}
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [program, "--config-variable", "DAISYPOND_NODE_FILE"],
                cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT)

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.ready), 1) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(1024)
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Rig:
    def __init__(self, folder, n_entries=1):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        ports = free_ports(5 * n_entries)
        seeds = [f"{HOST}:{ports[5 * i + 2]}" for i in range(min(n_entries, 3))]
        self.entries = [
            Entry(i, self.store.address, self.folder, ports[5 * i:5 * i + 5],
                  seeds, zone=f"zone-{'abc'[i % 3]}") for i in range(n_entries)]

    # Starts all instances, or these.
    def start(self, entries=None):
        entries = entries or self.entries
        for it in entries:
            it.start()
        deadline = time.monotonic() + START_S
        while not all(it.is_ready() for it in entries):
            if time.monotonic() > deadline:
                raise RuntimeError("the entry instances were not ready in time")
            time.sleep(0.1)

    def stop(self):
        for it in self.entries:
            it.stop()


def run(folder, n_entries, test):
    """Runs `test(rig)`, which returns whether the rule held."""
    def on_signal(*_):
        raise RuntimeError("ended by a signal")

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    rig = Rig(folder, n_entries)
    code = CANNOT_RUN
    try:
        held = test(rig)
        code = HELD if held else BROKEN
        rig.record.write("the rule held" if held else "the rule was broken")
    except Exception as error:  # pylint: disable=broad-except
        rig.record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        rig.stop()
        # KEEP_LOGS keeps the logs and settings of the instances.
        if os.environ.get("KEEP_LOGS"):
            print(rig.folder, flush=True)
        else:
            shutil.rmtree(rig.folder, ignore_errors=True)
    os._exit(code)


# ---- Requesters.

def new_id():
    return os.urandom(8).hex()


def request_head(method, path, name, deadline_ms, n_body=0, extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Authorization: Bearer {KEY}\r\n"
            + (f"Content-Length: {n_body}\r\n" if method == "POST" else "")
            + extra + "\r\n").encode()


STREAM_FIELDS = ("X-Model: m\r\nX-Token-Counts: 1460,980\r\n"
                 "X-Prefix-Hash: {part}:800,{name}:660\r\n")


def stream_fields(part="5c1e07a2"):
    return STREAM_FIELDS.format(part=part, name=new_id()[:8])


# Reads chunks. Calls `on_data` with the bytes of each.
def read_chunks(connection, on_data):
    while True:
        n = int(connection.read_until(b"\r\n").strip(), 16)
        data = connection.read_exactly(n + 2)[:-2]
        if n == 0:
            return
        on_data(data)
