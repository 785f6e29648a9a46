#!/usr/bin/env python3
"""Tests that a stopping entry instance answers the requests that it has read.

All threads of an instance read bodies that are half sent, and one more whole
request waits for a thread, when the instance gets SIGTERM. Each request that
is whole within the drain time must be answered, and connections without a
request must not delay the end.
"""
import json
import socket
import sys
import time

from cluster import Cluster

THREADS = 4
DRAIN_S = 3
# After the drain time, and for the end of the process.
HANDOVER_S, END_S = 3, 5
# An instance with idle connections only must end before this.
IDLE_STOP_S = 4


# Returns the head and the body of a generation request.
def generation_request(number):
    body = json.dumps({"model": "default", "prompt": "p", "max_tokens": 5})
    return (f"POST /v1/completions HTTP/1.1\r\nHost: e\r\n"
            f"Authorization: Bearer w0-key\r\nIdempotency-Key: stop-{number}\r\n"
            f"Daisypond-Attempt: 1\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode(), body.encode()


def connect(address):
    host, port = address.split(":")
    return socket.create_connection((host, int(port)), timeout=20)


# Returns all bytes until the end of the connection, or the error as text.
def read_answer(connection):
    answer = b""
    try:
        while part := connection.recv(4096):
            answer += part
    except OSError as error:
        return answer.decode() + repr(error)
    return answer.decode()


# True for a whole answer that was served or refused and closes the connection.
def is_answered(answer):
    head, _, body = answer.partition("\r\n\r\n")
    length = [int(it.split(":")[1]) for it in head.split("\r\n")
              if it.lower().startswith("content-length:")]
    return (head.startswith("HTTP/1.1 ") and "Connection: close" in head
            and bool(body) and (not length or length == [len(body)]))


def check(description, holds):
    print(f"{'ok' if holds else 'FAILED'}: {description}", flush=True)
    return holds


def test_requests_read_while_stopping_are_answered(cluster):
    entry = cluster.entries[0]
    requests = [generation_request(i) for i in range(THREADS + 1)]
    connections = [connect(cluster.entry(0)) for _ in range(THREADS)]
    for it, (head, body) in zip(connections, requests):
        it.sendall(head + body[:5])
    time.sleep(0.3)
    waiting = connect(cluster.entry(0))
    waiting.sendall(b"".join(requests[THREADS]))
    time.sleep(0.3)
    entry.signal(15)
    # Callers finish one after the other, the last some seconds later.
    for it, (_, body), pause_s in zip(connections, requests, (0.2, 0, 0, 1.5)):
        time.sleep(pause_s)
        try:
            it.sendall(body[5:])
        except OSError as error:
            print(f"cannot send the rest: {error!r}")
    passed = True
    for i, it in enumerate([*connections, waiting]):
        answer = read_answer(it)
        first = answer.split("\r\n")[0]
        passed &= check(f"request {i} of {THREADS + 1} is answered: "
                        f"'{first}'", is_answered(answer))
    status = entry.child.wait(DRAIN_S + HANDOVER_S + END_S)
    return passed & check(f"the stop cuts nothing: status {status}",
                          status == 0)


def test_idle_connections_do_not_delay_the_stop(cluster):
    entry = cluster.entries[1]
    idle = [connect(cluster.entry(1)) for _ in range(THREADS - 1)]
    time.sleep(0.3)
    began_at = time.monotonic()
    status = entry.stop(DRAIN_S + HANDOVER_S + END_S)
    seconds = time.monotonic() - began_at
    for it in idle:
        it.close()
    return check(f"an instance with {len(idle)} idle connections ends in "
                 f"{seconds:.1f} s with status {status}",
                 status == 0 and seconds < IDLE_STOP_S)


# A request that is never whole is waited for, and its loss is not hidden.
def test_cut_request_fails_the_stop(cluster):
    entry = cluster.entries[2]
    stalled = connect(cluster.entry(2))
    head, body = generation_request(0)
    stalled.sendall(head + body[:5])
    time.sleep(0.3)
    began_at = time.monotonic()
    status = entry.stop(DRAIN_S + HANDOVER_S + END_S)
    seconds = time.monotonic() - began_at
    stalled.close()
    return check(f"a request cut after {seconds:.1f} s gives status {status}",
                 status == 1 and seconds >= DRAIN_S)


def main():
    cluster = Cluster(27800, entries=3, engines=1, services=0,
                      threads=THREADS,
                      entry_lines=f"drain_bound_ms: {DRAIN_S * 1000}\n")
    try:
        cluster.start(cluster.write_intents())
        passed = test_requests_read_while_stopping_are_answered(cluster)
        passed &= test_idle_connections_do_not_delay_the_stop(cluster)
        passed &= test_cut_request_fails_the_stop(cluster)
    finally:
        cluster.tear_down()
    print("entry_stop passed" if passed else "entry_stop FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
