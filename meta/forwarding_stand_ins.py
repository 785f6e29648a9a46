"""Processes of the forwarding interface, and the table service that they read.

Shared by the tests that run `daisypond-entry` as processes.
"""
import base64
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ.get(
    "DAISYPOND_BUILD", pathlib.Path(__file__).resolve().parent.parent / "build"))
HOST = "127.0.0.1"


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Tables:
    """The rows of the table service. Thread-safe."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 1
        self.rows = {}

    def put(self, table, key, value):
        self.put_encoded(table, key, encode(value))

    # `value` is in Base64, or None to remove the row.
    def put_encoded(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, value)
            self.changed.notify_all()

    # Returns the rows of a table that are newer than `version`.
    def read(self, table, version=0):
        with self.changed:
            return self.version, [
                {"table": table, "part": "", "key": key, "ver": ver,
                 **({"tombstone": True} if value is None else
                    {"value": value})}
                for (its_table, key), (ver, value) in sorted(self.rows.items())
                if its_table == table and ver > version]

    # Waits up to `wait_s` for rows that are newer than `version`.
    def wait(self, table, version, wait_s):
        deadline = time.monotonic() + wait_s
        with self.changed:
            while True:
                newest, rows = self.read(table, version)
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return newest, rows
                self.changed.wait(left)


class FastLink:
    """A way to the table service that costs no time."""

    is_cut = False

    def send(self, file, body):
        file.write(body)


def make_store_handler(tables, link):
    class StoreHandler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            if link.is_cut:
                self.close_connection = True
                return
            url = urllib.parse.urlparse(self.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            table = query.get("table", "")
            if url.path == "/rows-get":
                version, rows = tables.read(table)
                rows = [it for it in rows if "value" in it
                        and it["key"] >= query.get("from", "")
                        and ("to" not in query or it["key"] < query["to"])]
            else:
                version, rows = tables.wait(
                    table, int(query.get("after_rev", 0)),
                    int(query.get("wait_ms", 0)) / 1000)
            self.answer({"rows": rows, "ver": version, "now_ms": 1,
                         "has_more": False})

        def do_POST(self):
            body = json.loads(
                self.rfile.read(int(self.headers["Content-Length"])))
            for it in body["put"]:
                tables.put_encoded(it["table"], it["key"], it["value"])
            for it in body["remove"]:
                tables.put_encoded(it["table"], it["key"], None)
            self.answer({"ver": tables.version, "now_ms": 1})

        def answer(self, value):
            body = json.dumps(value).encode()
            try:
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                link.send(self.wfile, body)
            except OSError:
                # The instance was killed, or its link is cut.
                self.close_connection = True

        def log_message(self, *_):
            pass

    return StoreHandler


class Store(http.server.ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


# Starts a table service with these rows, reached through `link`, and returns its
# address.
def start_store(tables, link=FastLink()):
    store = Store((HOST, 0), make_store_handler(tables, link))
    threading.Thread(target=store.serve_forever, daemon=True).start()
    return "%s:%d" % store.server_address


class Instance:
    """One process of the forwarding interface. `extra` ends its settings;
    `build` is the folder of its program."""

    def __init__(self, index, port, folder, store, grace_s=8, extra="",
                 build=BUILD):
        self.build = build
        self.port = port + index * 4
        seeds = ", ".join(f'"{HOST}:{port + i * 4 + 3}"' for i in range(3))
        self.settings = folder / f"{index}.yaml"
        self.log = folder / f"{index}.log"
        self.text = f"""interface: forward
instance: i{index}
failure_domain: d{index % 4}
listen: {HOST}:{self.port}
ready_listen: {HOST}:{self.port + 1}
metrics_listen: {HOST}:{self.port + 2}
peer_listen: {HOST}:{self.port + 3}
seed_peers: [{seeds}]
store: {store}
stop_grace_s: {grace_s}
"""
        self.write_settings(extra)
        self.process = None

    def write_settings(self, extra):
        self.settings.write_text(self.text + extra)

    def start(self):
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [self.build / "daisypond-entry", "--config", self.settings],
                stdout=log, stderr=subprocess.STDOUT)

    # Number of requests that have gone through a peer so far.
    def count_tunnelled_sends(self):
        return self.log.read_text().count(" via=i")

    def kill(self):
        self.process.kill()
        self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)


class Group:
    """The instance that callers use, with or without a peer that connects it to
    the targets. `rows` has the row of each target by its id. With a peer, the
    instance itself finds no target at its address.
    """

    def __init__(self, port, folder, configuration, rows, extra,
                 is_tunnelled=False, peer_build=BUILD):
        self.is_tunnelled = is_tunnelled
        self.tables, self.instances = [], []
        if is_tunnelled:
            # Refuses connections as long as it exists.
            self.refusing = socket.socket()
            self.refusing.bind((HOST, 0))
            address = "%s:%d" % self.refusing.getsockname()
            self.add(port, folder, configuration, {
                name: row | {"address": address}
                for name, row in rows.items()}, extra, BUILD)
            self.add(port, folder, configuration, rows, extra, peer_build)
        else:
            self.add(port, folder, configuration, rows, extra, BUILD)

    def add(self, port, folder, configuration, rows, extra, build):
        index = len(self.instances)
        tables = Tables()
        tables.put("op", "config", configuration)
        for name, row in rows.items():
            tables.put("servers", name, row)
        self.tables.append(tables)
        self.instances.append(Instance(
            index, port, folder, start_store(tables), build=build,
            extra=f"tunnel_listen: {HOST}:{port + 8 + index}\n" + extra))

    def remove_target(self, name):
        for it in self.tables:
            it.put_encoded("servers", name, None)

    def start(self):
        for it in self.instances:
            it.start()

    def kill(self):
        for it in self.instances:
            it.kill()

    # False if the peer should have been used and was not.
    def has_gone_as_told(self):
        return not self.is_tunnelled or (
            self.instances[0].count_tunnelled_sends() > 0)
