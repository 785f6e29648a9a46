"""Streams that may take two minutes begin at software version v1. A release
replaces the servers by ones of v2, and the streams break off. Their requesters
take them up again once, a minute after they began."""
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_3 import (  # noqa: E402
    Closed, Connection, HOST, TROUBLE, Server, answer_head, chunk,
    engine_service, manifest, new_id, read_chunks, request_head, run,
    stream_fields, stream_route)

REQUESTERS = 6
SERVERS = 3
# The route's timeout and the requesters' deadline.
TIMEOUT_MS = 120_000
EVENTS, EVENT_GAP_S = 400, 0.25
RELEASE_AFTER_S = 1
JOIN_S = 1
# drain_ms, and a little longer.
DRAIN_S = 2 + 1
RETRY_AFTER_S = 62
# Events of the new run that are awaited before the requester has seen enough.
ENOUGH_EVENTS = 3
# ORDER: "more than two streams".
ALLOWED = 2


def script(rig):
    def serve(server, connection, head):
        connection.read_exactly(head.length())
        first = int(head.fields.get("last-event-id", 0)) + 1
        rig.record.write(
            f"{server.name} ({server.version}) runs "
            f"{head.fields['x-attempt-id']} from event {first}, resumes "
            f"{head.fields.get('resumes', 'nothing')}")
        connection.send(answer_head(
            server, head, extra=b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"))
        for n in range(first, EVENTS + 1):
            time.sleep(EVENT_GAP_S)
            connection.send(chunk(
                f"id: {n}\ndata: {server.version}\n\n".encode()))
        connection.send(b"0\r\n\r\n")
        return True
    return serve


class Requester:
    def __init__(self, rig, index):
        self.rig, self.index = rig, index
        self.events = []
        self.first_name = new_id()
        self.connection = None
        self.fields = stream_fields()

    def write(self, text):
        self.rig.record.write(f"requester {self.index}: {text}")

    # Reads events until the channel is closed, or until `n_wanted` more.
    def attempt(self, name, n_wanted=None):
        entry = self.rig.entries[self.index % len(self.rig.entries)]
        extra = self.fields
        if self.events:
            extra += (f"Last-Event-Id: {len(self.events)}\r\n"
                      f"Resumes: {self.first_name}\r\n")
        left_ms = TIMEOUT_MS - int((time.monotonic() - self.began_at) * 1000)
        sock = socket.create_connection((HOST, entry.front), 10)
        self.connection = Connection(sock)
        self.write(f"sends {name} after event {len(self.events)}")
        n_before = len(self.events)
        buf = b""

        class Enough(Exception):
            pass

        def on_data(data):
            nonlocal buf
            buf += data
            while b"\n\n" in buf:
                event, buf = buf.split(b"\n\n", 1)
                lines = dict(it.split(": ", 1)
                             for it in event.decode().split("\n"))
                self.events.append((int(lines["id"]), lines["data"]))
            if n_wanted and len(self.events) - n_before >= n_wanted:
                raise Enough

        try:
            self.connection.send(request_head(
                "POST", "/stream/1", name, left_ms, 2, extra) + b"{}")
            head = self.connection.read_head()
            self.write(f"{name} is answered {head.status()}")
            if head.status() == 200:
                read_chunks(self.connection, on_data)
                self.write(f"{name} has ended")
        except Enough:
            self.write(f"{name} goes on, last event {self.events[-1]}")
        except (Closed, OSError) as error:
            self.write(f"{name} broke off after event {len(self.events)} "
                       f"({error!r})")
        self.connection.close()

    def run(self):
        self.began_at = time.monotonic()
        self.attempt(self.first_name)
        time.sleep(max(0, self.began_at + RETRY_AFTER_S - time.monotonic()))
        self.attempt(new_id(), ENOUGH_EVENTS)
        self.versions = sorted({version for _, version in self.events})
        self.write(f"has events of {self.versions}")


def test(rig):
    serve = script(rig)
    old = [Server(rig.store, f"i-a{i}", "llm", "v1", serve,
                  zone=f"zone-{'abc'[i]}") for i in range(SERVERS)]
    rig.store.put("op", "config", manifest(
        [stream_route("stream", "llm", TIMEOUT_MS)], [engine_service("llm")]))
    rig.start()
    time.sleep(1)
    requesters = [Requester(rig, i) for i in range(REQUESTERS)]
    threads = [threading.Thread(target=it.run) for it in requesters]
    for it in threads:
        it.start()
    time.sleep(RELEASE_AFTER_S)
    if TROUBLE:
        rig.record.write("release: servers of v2 start")
        for i in range(SERVERS):
            Server(rig.store, f"i-b{i}", "llm", "v2", serve,
                   zone=f"zone-{'abc'[i]}")
        time.sleep(JOIN_S)
        rig.record.write("release: servers of v1 drain")
        for it in old:
            it.drain()
        time.sleep(DRAIN_S)
        rig.record.write("release: servers of v1 exit")
        for it in old:
            it.exit()
    else:
        time.sleep(JOIN_S + DRAIN_S)
        rig.record.write("the requesters' channels are closed")
        for it in requesters:
            it.connection.sock.shutdown(socket.SHUT_RDWR)
    for it in threads:
        it.join()
    n_mixed = sum(len(it.versions) > 1 for it in requesters)
    n_begun = sum(len(it.events) > 0 for it in requesters)
    rig.record.write(f"{n_mixed} of {n_begun} streams hold events of two "
                     "software versions")
    if n_begun < REQUESTERS:
        raise RuntimeError("not all streams began")
    return n_mixed <= ALLOWED


run(FOLDER, 2, test)
