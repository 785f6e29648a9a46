#!/usr/bin/env python3
"""Counts the repeated sends of real instances at their targets.

Runs instances of the forwarding interface as processes, with targets that break
off every request and a table service, all in this program. Meanwhile instances
are killed, restarted and paused. In each window the targets may get `RATIO`
repeats for each request plus `SLACK`, from all instances together.
"""
import argparse
import http.client
import pathlib
import random
import signal
import socket
import sys
import tempfile
import threading
import time

from forwarding_stand_ins import HOST, Instance, Tables, start_store

INSTANCES = 8
TARGETS = 6
REQUESTS_PER_S = 12
RATIO = 0.8
SLACK = 150
WINDOW_S = 10.0
TIMEOUT_MS = 3000
MAX_TARGETS = 5
DEADLINE_SLACK_S = 0.5
RETRY_SETTINGS = f"""retries:
  window_s: {WINDOW_S:.0f}
  ratio: {RATIO}
  slack: {SLACK}
"""


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": "r", "host": "h", "prefix": "/a/",
            "route_kind": "idempotent", "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 300, "priority": 1, "service": "s",
            "max_attempts": MAX_TARGETS, "public": True}],
        "services": [{"name": "s", "health_path": "/healthz",
                      "max_conns": 100}],
        "limits": {}}


class Arrivals:
    """When each request reached which target, and how long it may take there."""

    def __init__(self):
        self.lock = threading.Lock()
        self.times = {}
        self.targets = {}
        self.deadlines = {}
        self.sent = []

    def add(self, request, target, timeout_s):
        now = time.monotonic()
        with self.lock:
            self.times.setdefault(request, []).append(now)
            self.targets.setdefault(request, set()).add(target)
            self.deadlines.setdefault(request, []).append(
                (now, now + timeout_s))

    # Counts the requests that reached more targets than their route allows.
    def count_over_max_targets(self):
        return sum(len(it) > MAX_TARGETS for it in self.targets.values())

    # Counts the sends that end later than the first send of their request.
    def count_prolonged(self):
        return sum(end > sends[0][1] + DEADLINE_SLACK_S
                   for sends in map(sorted, self.deadlines.values())
                   for _, end in sends[1:])

    # Returns the largest excess of repeats over the bound and its window's end.
    def worst_window(self):
        with self.lock:
            repeats = sorted(t for it in self.times.values()
                             for t in sorted(it)[1:])
            sent = sorted(self.sent)

        def count(times, begin, end):
            return sum(begin < t <= end for t in times)

        worst = (float("-inf"), 0, 0, 0)
        for end in repeats:
            requests = max(count(sent, end - WINDOW_S - shift, end - shift)
                           for shift in (0, WINDOW_S / 2, WINDOW_S))
            n = count(repeats, end - WINDOW_S, end)
            worst = max(worst, (n - RATIO * requests - SLACK, n, requests, end))
        return worst


class Target:
    """Reads requests, counts them and closes the connection."""

    def __init__(self, arrivals):
        self.arrivals = arrivals
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                part = connection.recv(4096)
                if not part:
                    return
                data += part
            fields = {name.lower(): value.strip() for name, _, value in (
                it.partition(":") for it in data.decode().split("\r\n"))}
            if "x-attempt-id" in fields:
                self.arrivals.add(fields["x-attempt-id"], self.address,
                                  int(fields["x-deadline-ms"]) / 1000)
        except OSError:
            pass  # The instance was killed.
        finally:
            connection.close()


class CallingInstance(Instance):
    def request(self, name, arrivals):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=4)
        with arrivals.lock:
            arrivals.sent.append(time.monotonic())
        try:
            connection.request("GET", "/a/x", headers={
                "Host": "h", "X-Attempt-Id": name,
                "X-Deadline-Ms": str(TIMEOUT_MS)})
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # Killed or paused instances do not answer.
        finally:
            connection.close()


# Sends requests to random instances until `end` is set.
def send_requests(instances, arrivals, rng, end):
    n = 0
    while not end.is_set():
        n += 1
        threading.Thread(target=rng.choice(instances).request,
                         args=(f"request{n}", arrivals), daemon=True).start()
        time.sleep(1 / REQUESTS_PER_S)


def restart_all(instances, rng):
    for it in instances:
        it.kill()
    for it in rng.sample(instances, len(instances)):
        it.start()
        time.sleep(0.04)


def disturb(instances, rng):
    time.sleep(8)
    restart_all(instances, rng)
    time.sleep(5)
    for half in (instances[::2], instances[1::2]):
        for it in half:
            it.signal(signal.SIGSTOP)
        time.sleep(3)
        for it in half:
            it.signal(signal.SIGCONT)
    restart_all(instances, rng)
    time.sleep(4)
    for it in rng.sample(instances, len(instances)):
        it.kill()
        time.sleep(0.2)
        it.start()
        time.sleep(0.3)
    restart_all(instances, rng)
    time.sleep(6)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=28600)
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    arrivals = Arrivals()
    targets = [Target(arrivals) for _ in range(TARGETS)]
    tables = Tables()
    tables.put("op", "config", configuration())
    for i, it in enumerate(targets):
        tables.put("servers", f"t{i}", {
            "service": "s", "address": it.address, "zone": f"d{i % 4}",
            "version": "v1", "slots": 8, "state": "ready", "seq": 1,
            "born": 1000})
    store = start_store(tables)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-budget-"))
    instances = [CallingInstance(i, arguments.port, folder, store,
                                 extra=RETRY_SETTINGS)
                 for i in range(INSTANCES)]
    end = threading.Event()
    try:
        for it in instances:
            it.start()
        time.sleep(4)
        sender = threading.Thread(target=send_requests, daemon=True,
                                  args=(instances, arrivals, rng, end))
        sender.start()
        disturb(instances, rng)
    finally:
        end.set()
        for it in instances:
            it.signal(signal.SIGCONT)
            it.kill()
    excess, repeats, requests, _ = arrivals.worst_window()
    over_max = arrivals.count_over_max_targets()
    prolonged = arrivals.count_prolonged()
    holds = excess <= 0 and repeats > 0 and over_max == 0 and prolonged == 0
    print(f"{'ok' if holds else 'FAILED'}: {repeats} repeats for {requests} "
          f"requests in {WINDOW_S:.0f} s, allowed "
          f"{RATIO * requests + SLACK:.0f}; {over_max} requests at more than "
          f"{MAX_TARGETS} targets, {prolonged} sends prolonged; seed {arguments.seed}, logs in "
          f"{folder}")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
