#!/usr/bin/env python3
"""Checks that answers that targets break off or malform don't reach callers as
answers of the forwarding interface.

One instance runs as a process, with targets and a table service in this
program.
"""
import argparse
import pathlib
import random
import signal
import sys
import tempfile
import time

from broken_answer_stand_ins import (
    BAD_FIELD_LINES, BAD_STATUS_LINES, Server, call, new_id)
from forwarding_stand_ins import HOST, Instance, Tables, start_store

TARGETS = 3
START_S = 1.5
DEADLINE_MS = 4000
MAXIMUM_TRIES, RETRY_PAUSE_S = 30, 0.1
MAXIMUM_BODY_BYTES = 4 << 20
LONG_BODY = b"u" * 4_190_000
WHOLE_BODY = b"a whole answer, in which no byte is missing\n" * 100_000
ROUTES = {"once": "non_idempotent", "idem": "idempotent",
          "stream": "streaming", "resumable": "streaming"}
STREAMS = ("stream", "resumable")
UPLOADS = 24
# Bytes of the long body that the target reads before it answers.
READ_SIZES = (0, 0, 100_000, 2_000_000)
# Bytes of WHOLE_BODY that it sends. Those of PART_SIZES don't fit into the
# memory of a small instance beside the long body.
SENT_SIZES = (0, 1, 2500, 5999)
PART_SIZES = (2_500_000, 3_000_000)
MEMORY_MB, SMALL_MEMORY_MB = 256, 64
MAXIMUM_PAUSE_S = 0.4
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
ONE_EVENT, NEXT_EVENT = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
# Parts of answers; %s stands for the id of the request.
GOOD_LINE = b"HTTP/1.1 200 OK\r\n"
SEALED = b"X-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
GOOD_REST = SEALED + b"Content-Length: 4\r\n\r\ngood"
GOOD_STREAM = (SEALED + STREAM_TYPE + b"Content-Length: 15\r\n\r\n" +
               ONE_EVENT)
INTERIM_LINES = b"HTTP/1.1 103 X\r\nX-B: b\r\n"
# Without the empty line that ends it. The body looks like folded lines.
CHUNKS_BODY = b"a\n b\r\n\tc"
GOOD_CHUNKS = (GOOD_LINE + SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
               b"8\r\n" + CHUNKS_BODY + b"\r\n0\r\nX-B: b\r\n")


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": name, "host": "h", "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 1000, "priority": 1, "service": "s",
            "max_attempts": 2, "public": True,
            **({"resumable": name == "resumable", "gap_aim_ms": 1000}
               if kind == "streaming" else {})}
            for name, kind in ROUTES.items()],
        "services": [{"name": "s", "health_path": "/healthz",
                      "max_conns": 400}],
        "limits": {"idle_timeout_ms": 30000,
                   "max_body_bytes": MAXIMUM_BODY_BYTES}}


def row(address, domain):
    return {"service": "s", "address": address, "zone": domain,
            "version": "v1", "slots": 64, "state": "ready", "seq": 1,
            "born": 1000}


def request(method, route, name, body=b""):
    return (f"{method} /{route}/{name} HTTP/1.1\r\nHost: h\r\n"
            f"X-Attempt-Id: {name}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


# Head of a success of a target, with the lines `fields`.
def sealed_head(name, fields):
    return (GOOD_LINE + SEALED).replace(b"%s", name) + fields + b"\r\n"


class Test:
    def __init__(self, port, memory_mb):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-broken-"))
        # Answers the requests; set by each check.
        self.script = None
        self.arrivals = 0
        # Answers that have begun at the caller and were cut off.
        self.parts = 0
        self.failures = []
        tables = Tables()
        tables.put("op", "config", configuration())
        for i in range(TARGETS):
            server = Server(self.serve)
            tables.put("servers", f"t{i}", row(server.address, f"d{i}"))
        self.instance = Instance(
            0, port, self.folder, start_store(tables),
            extra=f"memory_mb: {memory_mb}\nretries:\n  window_s: 10\n"
                  "  ratio: 0.8\n  slack: 150\n")
        self.address = f"{HOST}:{port}"

    def serve(self, connection, head):
        name = head.fields.get("x-attempt-id", "")
        if not name:
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrivals += 1
        return self.script(connection, head, name.encode())

    def fail(self, text):
        self.failures.append(text)
        print(f"VIOLATION {text}", flush=True)

    # Sends requests until one reaches a target: targets that have failed may get
    # none for a moment.
    def call_target(self, script, method, route, body=b""):
        self.script = script
        arrivals = self.arrivals
        for _ in range(MAXIMUM_TRIES):
            got = call(self.address, request(method, route, new_id(), body))
            if self.arrivals > arrivals:
                return got
            time.sleep(RETRY_PAUSE_S)
        raise RuntimeError(f"no request has reached a target: {got}")

    # A target answers a long upload without a length and resets the connection
    # during the upload. The caller must not get the part as a complete answer.
    def check_uploads(self, route, sizes, rng):
        for _ in range(UPLOADS):
            n_read, n_sent = rng.choice(READ_SIZES), rng.choice(sizes)
            pause_s = rng.choice((0, rng.uniform(0, MAXIMUM_PAUSE_S)))
            self.check_upload(route, n_read, n_sent, lambda pause_s=pause_s:
                              time.sleep(pause_s), f"reset after {pause_s:.2f} s")

    # The same while the instance is stopped: it finds the part and the reset at
    # once, before its first read.
    def check_uploads_before_first_read(self, route, sizes):
        for n_read in sorted(set(READ_SIZES)):
            for n_sent in sizes:
                self.check_upload(route, n_read, n_sent, lambda: None,
                                  "reset before the first read",
                                  is_instance_stopped=True)

    # `pause()` comes between the part of the answer and the reset.
    def check_upload(self, route, n_read, n_sent, pause, what,
                     is_instance_stopped=False):
        part = ONE_EVENT if route in STREAMS else WHOLE_BODY[:n_sent]

        def answer(connection, head, name):
            if head.fields.get("last-event-id") == "1":
                connection.read_exactly(head.length())
                connection.send(sealed_head(name, STREAM_TYPE + b"Content-"
                                            b"Length: 15\r\n") + NEXT_EVENT)
                return True
            connection.read_exactly(n_read)
            if is_instance_stopped:
                self.instance.signal(signal.SIGSTOP)
            connection.send(sealed_head(
                name, STREAM_TYPE if route in STREAMS else b"") + part)
            pause()
            connection.reset()
            if is_instance_stopped:
                self.instance.signal(signal.SIGCONT)
            return False

        got = self.call_target(answer, "POST", route, LONG_BODY)
        self.parts += got.status == 200 and not got.is_complete
        is_resumed = (route == "resumable" and
                      got.body == ONE_EVENT + NEXT_EVENT)
        if got.is_complete and got.status < 300 and not is_resumed:
            self.fail(f"{route}: {len(got.body)} bytes came as a complete "
                      f"{got.status}; the target had read {n_read} bytes, "
                      f"sent {len(part)}, {what}")

    # The caller must get an error of the instance, or a stream that is cut off.
    def check_bad_answer(self, what, method, route, text):
        def answer(connection, head, name):
            connection.read_exactly(head.length())
            connection.send(text.replace(b"%s", name))
            time.sleep(0.05)
            return False
        got = self.call_target(answer, method, route)
        is_own_error = (got.status == 502 and
                        "x-server-seal" not in got.fields)
        is_cut = route in STREAMS and not got.is_complete
        if not is_own_error and not is_cut:
            self.fail(f"{method} {route}: {what} came as {got}")

    def check_status_lines(self):
        for what, first in BAD_STATUS_LINES.items():
            first += b"\r\n"
            for method, route in (("GET", "once"), ("POST", "idem")):
                self.check_bad_answer(what, method, route, first + GOOD_REST)
            self.check_bad_answer(what, "POST", "stream", first + GOOD_STREAM)

    def check_field_lines(self):
        for what, line in BAD_FIELD_LINES.items():
            line += b"\r\n"
            sealed = GOOD_LINE + b"X-Server-Seal: s\r\n" + line
            for method, route, text in (
                    ("POST", "once", GOOD_LINE + line + GOOD_REST),
                    ("POST", "once", sealed + GOOD_REST),
                    ("GET", "idem", sealed + GOOD_REST),
                    ("HEAD", "idem", sealed + GOOD_REST),
                    ("POST", "stream", sealed + GOOD_STREAM)):
                self.check_bad_answer(what, method, route, text)
            self.check_bad_answer(
                f"{what}, interim head", "POST", "once",
                INTERIM_LINES + line + b"\r\n" + GOOD_LINE + GOOD_REST)
            self.check_bad_answer(f"{what}, trailer", "POST", "once",
                                  GOOD_CHUNKS + line + b"\r\n")

    # Answers in the forms of the bad ones.
    def check_good_answers(self):
        for route in ("once", "idem"):
            for text, body in (
                    (GOOD_LINE + GOOD_REST, b"good"),
                    (GOOD_CHUNKS + b"\r\n", CHUNKS_BODY),
                    (INTERIM_LINES + b"\r\n" + GOOD_LINE + GOOD_REST,
                     b"good")):
                self.check_good_answer(route, text, body)
        self.check_good_answer("stream", GOOD_LINE + GOOD_STREAM, ONE_EVENT)

    def check_good_answer(self, route, text, body):
        def answer(connection, head, name):
            connection.read_exactly(head.length())
            connection.send(text.replace(b"%s", name))
            return True
        got = self.call_target(answer, "POST", route, b"b")
        if got.status != 200 or not got.is_complete or got.body != body:
            self.fail(f"{route}: a sound answer came as {got}")

    def run(self, case, rng):
        self.instance.start()
        try:
            time.sleep(START_S)
            self.check_good_answers()
            if case == "status_lines":
                self.check_status_lines()
            elif case == "field_lines":
                self.check_field_lines()
            elif case == "parts":
                self.check_uploads("once", PART_SIZES, rng)
                if not self.parts:
                    self.fail("no answer was passed on in parts")
            else:
                self.check_uploads(case, SENT_SIZES, rng)
                self.check_uploads_before_first_read(case, SENT_SIZES)
            self.check_good_answers()
        finally:
            self.instance.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", required=True,
                        choices=("status_lines", "field_lines", "parts",
                                 *ROUTES),
                        help="malformed lines, or long uploads: with answers "
                             "that are passed on in parts, or on a route")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=24600)
    arguments = parser.parse_args()
    memory_mb = SMALL_MEMORY_MB if arguments.case == "parts" else MEMORY_MB
    test = Test(arguments.port, memory_mb)
    test.run(arguments.case, random.Random(arguments.seed))
    print(f"{len(test.failures)} violations; logs in {test.folder}")
    return 1 if test.failures else 0


sys.exit(main())
