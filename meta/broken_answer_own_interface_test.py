#!/usr/bin/env python3
"""Checks that answers that targets break off or malform don't reach callers as
answers of the product's own interface.

One entry instance runs as a process, with a service and an engine in this
program.
"""
import argparse
import json
import random
import sys
import threading
import time

from broken_answer_stand_ins import (
    BAD_FIELD_LINES, BAD_STATUS_LINES, Server, call, new_id)
from cluster import Cluster, running_cluster

PORT = 24700
TARGETS = 8
MAXIMUM_TRIES, RETRY_PAUSE_S = 30, 0.1
CALLS = ("lookup", "close-batch")
UPLOADS = 12
LONG_BODY = b"u" * 4_190_000
WHOLE_BODY = b"a whole answer, in which no byte is missing\n" * 200
READ_SIZES = (0, 0, 100_000, 2_000_000)
SENT_SIZES = (0, 1, 2500, 5999)
MAXIMUM_PAUSE_S = 0.4
# When a target answers a long upload that it has not read. The calls that follow
# may go to any target.
ANSWER_DELAYS_S, SHORT_CALLS = (0, 0.5, 1.2), 2 * TARGETS
READ_ON_LIMIT_S, READ_TIME_S = 5, 0.2
GOOD_LINE = b"HTTP/1.1 200 OK\r\n"
GOOD_FIELDS = b"Content-Type: application/json\r\nContent-Length: 4\r\n"


def request(path, body=b"", key=None):
    return (f"POST {path} HTTP/1.1\r\nHost: e\r\n"
            f"Authorization: Bearer w0-key\r\n"
            f"Idempotency-Key: {key or new_id()}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def sse(name, **data):
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()


class Test:
    def __init__(self, cluster):
        self.cluster = cluster
        self.script = self.answer_well
        self.arrivals = 0
        # Idempotency key of the last call.
        self.key = None
        self.failures = []

    def targets(self):
        kinds = {"s": "kind: service, service: records",
                 "e": "models: [\"m:1\"]"}
        return "targets:\n" + "".join(
            f"  {kind}{i}: {{address: {Server(self.serve).address}, "
            f"failure_domain: north, {fields}, capacity: 64}}\n"
            for kind, fields in kinds.items() for i in range(TARGETS))

    def serve(self, connection, head):
        if head.first[1] == "/load":
            body = b'{"running":0,"queued":0,"leaving":false,"process":"p"}'
            connection.send(GOOD_LINE + b"Content-Length: %d\r\n\r\n" %
                            len(body) + body)
            return True
        self.arrivals += 1
        return self.script(connection, head)

    @staticmethod
    def answer_well(connection, head):
        connection.read_exactly(head.length())
        connection.send(GOOD_LINE + GOOD_FIELDS + b"\r\ngood")
        return True

    def fail(self, text):
        self.failures.append(text)
        print(f"VIOLATION {text}", flush=True)

    # Sends requests until one reaches a target: targets that have failed may get
    # none for a moment.
    def call_target(self, script, path, body=b""):
        self.script = script
        arrivals = self.arrivals
        for _ in range(MAXIMUM_TRIES):
            self.key = new_id()
            got = call(self.cluster.entry(0), request(path, body, self.key))
            if self.arrivals > arrivals:
                return got
            time.sleep(RETRY_PAUSE_S)
        raise RuntimeError(f"no request has reached a target: {got}")

    # A target answers a long upload without a length and resets the connection
    # during the upload. The caller must not get the part as a complete answer.
    def check_uploads(self, rng):
        for i in range(UPLOADS):
            n_read, n_sent = rng.choice(READ_SIZES), rng.choice(SENT_SIZES)
            pause_s = rng.choice((0, rng.uniform(0, MAXIMUM_PAUSE_S)))

            def answer(connection, _):
                connection.read_exactly(n_read)
                connection.send(GOOD_LINE + b"\r\n" + WHOLE_BODY[:n_sent])
                time.sleep(pause_s)
                connection.reset()
                return False

            path = f"/v1/services/records/{CALLS[i % 2]}"
            got = self.call_target(answer, path, LONG_BODY)
            if got.is_complete and got.status < 300:
                self.fail(f"{CALLS[i % 2]}: {len(got.body)} bytes came as a "
                          f"complete {got.status}; the target had read "
                          f"{n_read} bytes, sent {n_sent} and reset after "
                          f"{pause_s:.2f} s")
            if CALLS[i % 2] == "close-batch":
                self.check_claim(path)

    # A call that must not be repeated has got a broken answer. When it comes
    # again it must not run again, and the part must not come from its claim.
    def check_claim(self, path):
        self.script = self.answer_well
        arrivals = self.arrivals
        got = call(self.cluster.entry(0), request(path, LONG_BODY, self.key))
        if self.arrivals != arrivals:
            self.fail("a call that must not be repeated ran again")
        if got.is_complete and got.status < 300:
            self.fail(f"{len(got.body)} bytes of a broken answer came from its "
                      f"claim as a complete {got.status}")

    # A target answers a long upload before it has read it, keeps the connection
    # and reads on. It must not get another call as the rest of the body.
    def check_early_answers(self):
        for delay_s in ANSWER_DELAYS_S:
            for name in CALLS:
                reads_on = threading.Event()

                def answer(connection, head):
                    if head.length() < len(LONG_BODY):
                        return self.answer_well(connection, head)
                    time.sleep(delay_s)
                    connection.send(GOOD_LINE + GOOD_FIELDS + b"\r\ngood")
                    reads_on.wait(READ_ON_LIMIT_S)
                    while len(connection.received) < len(LONG_BODY):
                        received = connection.received
                        if received.strip(b"u"):
                            self.fail(f"{name}: other bytes in place of the "
                                      f"body: {received.strip(b'u')[:60]}")
                            return False
                        connection.receive()
                    connection.take(len(LONG_BODY))
                    return True

                self.call_target(answer, f"/v1/services/records/{name}",
                                 LONG_BODY)
                for _ in range(SHORT_CALLS):
                    self.call_target(answer, "/v1/services/records/lookup")
                reads_on.set()
                time.sleep(READ_TIME_S)

    # The caller must get an error of the instance.
    def check_bad_answer(self, what, name, text):
        def answer(connection, head):
            connection.read_exactly(head.length())
            connection.send(text)
            return False
        got = self.call_target(answer, f"/v1/services/records/{name}")
        if not got.is_complete or not 500 <= got.status < 600:
            self.fail(f"{name}: {what} came as {got}")

    # Sends a generation of one token under `head`.
    def generate(self, head):
        def answer(connection, request_head):
            order = json.loads(connection.read_exactly(request_head.length()))
            events = sse("started", first_index=0) + sse(
                "token", request_id=order["request_id"],
                attempt=order["attempt"], index=0, text="a") + sse(
                    "finished", tokens=1, finish_reason="stop")
            connection.send(head + b"Content-Type: text/event-stream\r\n"
                            b"Content-Length: %d\r\n\r\n" % len(events) +
                            events)
            return False
        body = json.dumps({"model": "default", "prompt": "p",
                           "max_tokens": 1, "kind": "short"}).encode()
        return self.call_target(answer, "/v1/completions", body)

    def check_bad_generation(self, what, head):
        got = self.generate(head)
        if 200 <= got.status < 300 and got.is_complete:
            self.fail(f"generation: {what} came as {got}")

    def check_lines(self):
        rest = GOOD_FIELDS + b"\r\ngood"
        for what, first in BAD_STATUS_LINES.items():
            for name in CALLS:
                self.check_bad_answer(what, name, first + b"\r\n" + rest)
            self.check_bad_generation(what, first + b"\r\n")
        for what, line in BAD_FIELD_LINES.items():
            line += b"\r\n"
            for name in CALLS:
                self.check_bad_answer(
                    what, name, GOOD_LINE + b"X-B: b\r\n" + line + rest)
            self.check_bad_answer(
                f"{what}, interim head", "lookup",
                b"HTTP/1.1 103 X\r\nX-B: b\r\n" + line + b"\r\n" + GOOD_LINE +
                rest)
            self.check_bad_answer(
                f"{what}, trailer", "lookup",
                GOOD_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
                b"4\r\ngood\r\n0\r\nX-B: b\r\n" + line + b"\r\n")
            self.check_bad_generation(what, GOOD_LINE + b"X-B: b\r\n" + line)

    def check_good_answers(self):
        for name in CALLS:
            got = self.call_target(self.answer_well,
                                   f"/v1/services/records/{name}")
            if got.status != 200 or got.body != b"good":
                self.fail(f"{name}: a sound answer came as {got}")
        got = self.generate(GOOD_LINE + b"X-B: b\r\n")
        if got.status != 200 or not got.is_complete:
            self.fail(f"a sound generation came as {got}")

    def run(self, case, rng):
        self.check_good_answers()
        if case == "lines":
            self.check_lines()
        elif case == "early":
            self.check_early_answers()
        else:
            self.check_uploads(rng)
        self.check_good_answers()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", required=True, choices=("lines", "uploads", "early"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=PORT)
    arguments = parser.parse_args()
    cluster = Cluster(arguments.port, entries=1, engines=0, services=0,
                      entry_lines="maximum_body_bytes: 8388608\n")
    test = Test(cluster)
    intents = cluster.write_intents(
        extra_files={"20-targets.yaml": test.targets()})
    with running_cluster(cluster, intents):
        test.run(arguments.case, random.Random(arguments.seed))
    print(f"{len(test.failures)} violations")
    return 1 if test.failures else 0


sys.exit(main())
