#!/usr/bin/env python3
"""Checks that answers that may run only once outlast the silence of their
target, and end in time when the target is gone.

One instance runs as a process, with targets and a table service in this
program. A silent target answers nothing, probes included, and keeps its
connections.
"""
import argparse
import concurrent.futures
import pathlib
import signal
import sys
import tempfile
import threading
import time

from broken_answer_stand_ins import Server, call, new_id
from forwarding_stand_ins import HOST, Group

TARGETS = 2
START_S = 1.5
MAXIMUM_TRIES, RETRY_PAUSE_S = 50, 0.2
DEADLINE_MS = 15_000
LATENCY_OBJECTIVE_MS, EVENT_GAP_OBJECTIVE_MS = 1000, 700
# After such a pause callers leave a stream.
TOLERATED_PAUSE_S = max(2, 4 * LATENCY_OBJECTIVE_MS / 1000,
                        8 * EVENT_GAP_OBJECTIVE_MS / 1000)
ROUTES = {"once": "non_idempotent", "idem": "idempotent",
          "stream": "streaming"}
MEMORY_MB, SMALL_MEMORY_MB = 256, 64
REQUESTS = 8
EVENTS, SILENT_AT_EVENT, EVENT_PAUSE_S = 20, 8, 0.04
LONG_ANSWER = b"a" * 6_000_000
SILENCES_S = (1.0, 1.7)
# Where the target of a stream falls silent.
STREAM_PLACES = ("before_head", "after_head", "between_events", "within_event")
# The table service drops the row of a target that is gone.
ROW_REMOVED_AFTER_S = 1.0


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": name, "host": "h", "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": DEADLINE_MS,
            "target_latency_ms": LATENCY_OBJECTIVE_MS, "priority": 1,
            "service": "s", "max_attempts": 2, "public": True,
            **({"gap_aim_ms": EVENT_GAP_OBJECTIVE_MS}
               if kind == "streaming" else {})}
            for name, kind in ROUTES.items()],
        "services": [{"name": "s", "health_path": "/healthz",
                      "max_conns": 400}],
        "limits": {"idle_timeout_ms": 30000}}


def row(address, domain):
    return {"service": "s", "address": address, "zone": domain,
            "version": "v1", "slots": 64, "state": "ready", "seq": 1,
            "born": 1000}


def event(n):
    return b"id: %d\ndata: %d\n\n" % (n, n)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Target:
    def __init__(self, test, name):
        self.test = test
        self.name = name
        self.silent_until = 0
        self.address = Server(self.serve).address

    def fall_silent(self):
        with self.test.lock:
            if self.silent_until:
                return
            self.silent_until = time.monotonic() + self.test.silence_s
        self.test.on_silent(self)

    def outlast_silence(self):
        time.sleep(max(0, self.silent_until - time.monotonic()))

    def serve(self, connection, head):
        self.outlast_silence()
        name = head.fields.get("x-attempt-id", "")
        if not name:
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        self.test.count_arrival(name)
        self.pause_at("before_head")
        is_stream = head.first[1].startswith("/stream/")
        connection.send(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + name.encode() +
            b"\r\nX-Server-Seal: s\r\n" +
            (b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
             if is_stream else b"Content-Length: %d" % len(LONG_ANSWER)) +
            b"\r\n\r\n")
        self.pause_at("after_head")
        if is_stream:
            self.stream(connection)
        else:
            half = len(LONG_ANSWER) // 2
            connection.send(LONG_ANSWER[:half])
            self.pause_at("within_body")
            connection.send(LONG_ANSWER[half:])
        return True

    # All that runs at the silent target waits, the other target goes on.
    def pause_at(self, place):
        if place == self.test.place and self.test.silences(self):
            self.fall_silent()
        self.outlast_silence()

    def stream(self, connection):
        for n in range(1, EVENTS + 1):
            time.sleep(EVENT_PAUSE_S)
            data = chunk(event(n))
            half = len(data) // 2
            if n == SILENT_AT_EVENT:
                self.pause_at("between_events")
            connection.send(data[:half])
            if n == SILENT_AT_EVENT:
                self.pause_at("within_event")
            connection.send(data[half:])
        connection.send(chunk(b""))


class Test:
    def __init__(self, port, memory_mb, is_tunnelled):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-silent-"))
        self.arrivals = {}
        self.lock = threading.Lock()
        self.failures = []
        # Answers that were passed on in parts.
        self.parts = 0
        self.place, self.silence_s, self.silent_target = "", 0, None
        self.on_silent = lambda target: None
        self.targets = [Target(self, f"t{i}") for i in range(TARGETS)]
        self.group = Group(
            port, self.folder, configuration(),
            {it.name: row(it.address, it.name) for it in self.targets},
            f"memory_mb: {memory_mb}\nretries:\n  window_s: 10\n"
            "  ratio: 0.8\n  slack: 150\n", is_tunnelled)
        self.address = f"{HOST}:{port}"

    def fail(self, text):
        with self.lock:
            self.failures.append(text)
        print(f"VIOLATION {text}", flush=True)

    def count_arrival(self, name):
        with self.lock:
            self.arrivals[name] = self.arrivals.get(name, 0) + 1

    def send(self, route):
        name = new_id()
        head = (f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {name}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\n{{}}")
        began_at = time.monotonic()
        got = call(self.address, head.encode(), DEADLINE_MS / 1000 + 2)
        return name, got, time.monotonic() - began_at

    def send_all(self, route):
        with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
            return list(pool.map(self.send, [route] * REQUESTS))

    # The first target that gets to `place` of an answer falls silent.
    def silence(self, place, silence_s):
        self.place, self.silence_s = place, silence_s
        self.silent_target = None
        for it in self.targets:
            it.silent_until = 0

    def silences(self, target):
        with self.lock:
            self.silent_target = self.silent_target or target
            return target is self.silent_target

    # A silent target goes on; its answers must reach the callers whole.
    def check_silence(self, place, silence_s, route):
        self.silence(place, silence_s)
        for it in self.group.instances:
            it.signal(signal.SIGHUP)
        whole = (b"".join(event(n) for n in range(1, EVENTS + 1))
                 if route == "stream" else LONG_ANSWER)
        n_cut = 0
        for name, got, _ in self.send_all(route):
            n_cut += (got.status != 200 or not got.is_complete or
                      got.body != whole)
            # An answer with a length is passed on in chunks if it is in parts.
            self.parts += route != "stream" and "content-length" not in got.fields
            if route != "idem" and self.arrivals.get(name) != 1:
                self.fail(f"{route} {name}: ran {self.arrivals.get(name)} times")
        if n_cut:
            self.fail(f"{n_cut} of {REQUESTS} answers of route {route} were cut "
                      f"or failed, {silence_s} s of silence {place}")

    # A target is silent for good and leaves the table service; its callers must
    # be told before they leave by themselves.
    def check_gone_target(self):
        self.silence("between_events", DEADLINE_MS / 1000)
        self.on_silent = lambda target: threading.Timer(
            ROW_REMOVED_AFTER_S,
            lambda: self.group.remove_target(target.name)).start()
        n_cut = 0
        for name, got, took_s in self.send_all("stream"):
            n_cut += not got.is_complete
            if took_s >= SILENT_AT_EVENT * EVENT_PAUSE_S + TOLERATED_PAUSE_S:
                self.fail(f"{name} ended after {took_s:.1f} s, its target was "
                          "gone")
        if not n_cut:
            self.fail("no stream was cut")

    # Sends streams until one is answered, with no target silent.
    def wait_for_targets(self):
        for _ in range(MAXIMUM_TRIES):
            if self.send("stream")[1].status == 200:
                return
            time.sleep(RETRY_PAUSE_S)
        raise RuntimeError("no request is answered")

    def check_silences(self, place, route):
        for silence_s in SILENCES_S:
            self.check_silence(place, silence_s, route)
            # Targets that were silent are avoided for a while.
            time.sleep(1)

    # The answers that are passed on in parts can't be replaced once they have
    # begun, whatever the route.
    def check_parts(self):
        for route in ("once", "idem"):
            self.parts = 0
            self.check_silences("within_body", route)
            if not self.parts:
                self.fail(f"{route}: no answer was passed on in parts")

    def run(self, case):
        self.group.start()
        try:
            time.sleep(START_S)
            self.wait_for_targets()
            if case == "parts":
                self.check_parts()
            else:
                for place in STREAM_PLACES:
                    self.check_silences(place, "stream")
                self.check_silences("within_body", "once")
                self.check_gone_target()
            if not self.group.has_gone_as_told():
                self.fail("no request went through the peer")
        finally:
            self.group.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", required=True, choices=("whole", "parts"),
                        help="answers that are passed on as a whole or in parts")
    parser.add_argument("--tunnel", action="store_true",
                        help="reach the targets through a peer")
    parser.add_argument("--port", type=int, default=24800)
    arguments = parser.parse_args()
    test = Test(arguments.port,
                SMALL_MEMORY_MB if arguments.case == "parts" else MEMORY_MB,
                arguments.tunnel)
    test.run(arguments.case)
    print(f"{len(test.failures)} violations; logs in {test.folder}")
    return 1 if test.failures else 0


sys.exit(main())
