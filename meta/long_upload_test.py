#!/usr/bin/env python3
"""Checks that long requests reach targets whole, whatever the targets do while
the body is on its way, and that nothing else comes in their place.

One instance runs as a process, with targets and a table service in this
program.
"""
import argparse
import concurrent.futures
import pathlib
import random
import sys
import tempfile
import threading
import time

from broken_answer_stand_ins import Server, call, new_id
from forwarding_stand_ins import BUILD, HOST, Group

TARGETS = 3
START_S = 1.5
MAXIMUM_TRIES, RETRY_PAUSE_S = 50, 0.2
DEADLINE_MS = 15_000
LATENCY_OBJECTIVE_MS = 4500
MAXIMUM_BODY_BYTES = 4 << 20
LONG_BYTES, SHORT_BYTES = 4_190_000, 200
ROUTES = {"once": "non_idempotent", "idem": "idempotent",
          "stream": "streaming", "resumable": "streaming"}
STREAMS = ("stream", "resumable")
SLOW_ROUTES = ["once", "stream", "resumable"]
EVENT = b"id: 1\ndata: a\n\n"
# When a target answers a long request that it has not read, and when it reads
# on.
ANSWER_DELAYS_S = (0, 0.5, 1.5)
READ_PAUSE_S, LONG_PAUSE_S = 0.3, 4
# Fits into the buffers of the system, but not into those of a target.
WRITTEN_BYTES = 1_000_000
SHORT_CALLERS, SHORT_PAUSE_S = 2, 0.05
# A short request takes less, unless it waits for another one.
LONGEST_SHORT_S = 1
# A target that reads slowly takes a piece of the body in each period.
PIECE_BYTES, PERIOD_S = 60_000, 0.1
# More than fits into the buffers of the system.
SLOW_REQUESTS = 2


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": name, "host": "h", "prefix": f"/{name}/",
            "route_kind": kind, "timeout_ms": DEADLINE_MS,
            "target_latency_ms": LATENCY_OBJECTIVE_MS, "priority": 1,
            "service": "s", "max_attempts": 2, "public": True,
            **({"resumable": name == "resumable", "gap_aim_ms": 700}
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


class Test:
    def __init__(self, port, is_tunnelled, peer_build):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-upload-"))
        # By the id of the request.
        self.bodies = {}
        self.scripts = {}
        self.arrivals = {}
        self.lock = threading.Lock()
        self.failures = []
        rows = {f"t{i}": row(Server(self.serve).address, f"d{i}")
                for i in range(TARGETS)}
        self.group = Group(
            port, self.folder, configuration(), rows,
            "memory_mb: 256\nretries:\n  window_s: 10\n"
            "  ratio: 0.8\n  slack: 150\n", is_tunnelled, peer_build)
        self.address = f"{HOST}:{port}"

    def fail(self, text):
        with self.lock:
            self.failures.append(text)
        print(f"VIOLATION {text}", flush=True)

    # ---- Targets.

    def serve(self, connection, head):
        name = head.fields.get("x-attempt-id", "")
        if not name:
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        with self.lock:
            self.arrivals[name] = self.arrivals.get(name, 0) + 1
        return self.scripts[name](connection, head, name)

    def answer(self, connection, head, name, rejects=False):
        is_stream = head.first[1].split("/")[1] in STREAMS
        first = b"503 X" if rejects else b"200 OK"
        kind = (b"X-Not-Executed: 1\r\n" if rejects
                else b"X-Server-Seal: s\r\n")
        body = b"" if rejects else EVENT if is_stream else b"ok"
        if is_stream:
            kind += b"Content-Type: text/event-stream\r\n"
        connection.send(
            b"HTTP/1.1 " + first + b"\r\nX-Attempt-Id: " + name.encode() +
            b"\r\n" + kind + b"Content-Length: %d\r\n\r\n" % len(body) + body)

    # Reads on where the body of `name` is due. What arrives must be the body, or
    # the end of the connection. Returns whether the body has arrived.
    def read_body(self, connection, n_bytes, name):
        body = self.bodies[name]
        while len(connection.received) < n_bytes:
            connection.receive()
            received = connection.received[:n_bytes]
            if not body.startswith(received):
                at = next(i for i, it in enumerate(received) if it != body[i])
                self.fail(f"{name}: other bytes from byte {at} of the body: "
                          f"{received[at:at + 60]}")
                return False
        connection.take(n_bytes)
        return True

    # Answers before it has read the body, keeps the connection and reads on
    # after `pause_s`.
    def answer_early(self, delay_s, rejects, pause_s=READ_PAUSE_S):
        def script(connection, head, name):
            time.sleep(delay_s)
            self.answer(connection, head, name, rejects)
            time.sleep(pause_s)
            return self.read_body(connection, head.length(), name)
        return script

    def read_at_once(self, connection, head, name):
        connection.read_exactly(head.length())
        self.answer(connection, head, name)
        return True

    def read_slowly(self, connection, head, name):
        received = b""
        while len(received) < head.length():
            time.sleep(PERIOD_S)
            received += connection.read_exactly(
                min(PIECE_BYTES, head.length() - len(received)))
        if received != self.bodies[name]:
            self.fail(f"{name}: the body has arrived changed")
        self.answer(connection, head, name)
        return True

    # Stops reading for good, the first time.
    def read_half(self, connection, head, name):
        if self.arrivals[name] > 1:
            return self.read_at_once(connection, head, name)
        connection.read_exactly(head.length() // 2)
        time.sleep(DEADLINE_MS / 1000)
        return False

    # ---- Callers.

    def send(self, route, n_bytes, script):
        name = new_id()
        self.scripts[name] = script
        body = random.Random(name).randbytes(n_bytes)
        self.bodies[name] = body
        head = (f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {name}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {n_bytes}\r\n"
                "\r\n").encode()
        return name, call(self.address, head + body,
                          timeout_s=DEADLINE_MS / 1000 + 2)

    # Sends short requests until `stop` is set. They may use any connection that
    # is kept.
    def send_short_requests(self, stop):
        while not stop.is_set():
            began_at = time.monotonic()
            name, got = self.send("once", SHORT_BYTES, self.read_at_once)
            took_s = time.monotonic() - began_at
            if got.status != 200 or took_s >= LONGEST_SHORT_S:
                self.fail(f"short request {name}: {got.status} after "
                          f"{took_s:.1f} s")
            time.sleep(SHORT_PAUSE_S)

    # A target that answers a long request early and reads on must not get
    # another request as the rest of the body.
    def check_foreign_bytes(self, route):
        for delay_s in ANSWER_DELAYS_S:
            for rejects in (True, False):
                self.send(route, LONG_BYTES,
                          self.answer_early(delay_s, rejects))
        time.sleep(READ_PAUSE_S * 2)

    # A target that has answered a long request reads on only after a while. No
    # other request must wait behind the body, though all of it is written.
    def check_queued_requests(self, route):
        for delay_s in ANSWER_DELAYS_S:
            for rejects in (True, False):
                self.send(route, WRITTEN_BYTES,
                          self.answer_early(delay_s, rejects, LONG_PAUSE_S))

    # Runs `check` on all routes beside short requests.
    def run_beside_short_requests(self, check):
        stop = threading.Event()
        callers = [threading.Thread(target=self.send_short_requests,
                                    args=(stop,), daemon=True)
                   for _ in range(SHORT_CALLERS)]
        for it in callers:
            it.start()
        run_all(check, ROUTES)
        stop.set()
        for it in callers:
            it.join()

    # A target that reads the body without a pause must get all of it, once, and
    # the caller its answer.
    def check_slow_target(self, route):
        name, got = self.send(route, LONG_BYTES, self.read_slowly)
        if got.status != 200 or not got.is_complete or not got.body:
            self.fail(f"{route} {name}: {got.status} while its body was read "
                      "slowly")
        if self.arrivals.get(name) != 1:
            self.fail(f"{route} {name}: sent {self.arrivals.get(name)} times")

    # A target that has stopped reading is silent; the call goes elsewhere.
    def check_stalled_target(self, route):
        name, got = self.send(route, LONG_BYTES, self.read_half)
        if got.status != 200 or self.arrivals.get(name) != 2:
            self.fail(f"{route} {name}: {got.status} after "
                      f"{self.arrivals.get(name)} sends, its target stalled")

    # Sends short requests until one is answered.
    def wait_for_targets(self):
        for _ in range(MAXIMUM_TRIES):
            if self.send("once", SHORT_BYTES, self.read_at_once)[1].status == 200:
                return
            time.sleep(RETRY_PAUSE_S)
        raise RuntimeError("no request is answered")

    def run(self, case):
        self.group.start()
        try:
            time.sleep(START_S)
            self.wait_for_targets()
            if case == "foreign_bytes":
                self.run_beside_short_requests(self.check_foreign_bytes)
            elif case == "queued_behind_body":
                self.run_beside_short_requests(self.check_queued_requests)
            elif case == "cut_body":
                run_all(self.check_slow_target, SLOW_ROUTES * SLOW_REQUESTS)
            else:
                run_all(lambda check: check("idem"),
                        [self.check_slow_target] * SLOW_REQUESTS +
                        [self.check_stalled_target])
            if not self.group.has_gone_as_told():
                self.fail("no request went through the peer")
        finally:
            self.group.kill()


def run_all(check, arguments):
    with concurrent.futures.ThreadPoolExecutor(len(arguments)) as pool:
        list(pool.map(check, arguments))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", required=True,
                        choices=("foreign_bytes", "queued_behind_body",
                                 "cut_body", "given_up"),
                        help="early answers, of targets that read on soon or "
                             "late; targets that read slowly, also for calls "
                             "that may be given up")
    parser.add_argument("--tunnel", action="store_true",
                        help="reach the targets through a peer")
    parser.add_argument("--peer-build", type=pathlib.Path, default=BUILD,
                        help="build folder of the peer's program")
    parser.add_argument("--port", type=int, default=24700)
    arguments = parser.parse_args()
    test = Test(arguments.port, arguments.tunnel, arguments.peer_build)
    test.run(arguments.case)
    print(f"{len(test.failures)} violations; logs in {test.folder}")
    return 1 if test.failures else 0


sys.exit(main())
