#!/usr/bin/env python3
"""Changes a large configuration often while instances have narrow links.

Runs instances of the forwarding interface as processes, with a target and a
table service in this program. Each instance reads the table service over a link
of its own that takes about a second for one configuration. Each version adds a
route. It must be served by all instances within the bound, also by one that
could not reach the table service for a while.
"""
import argparse
import collections
import pathlib
import random
import sys
import tempfile
import threading
import time

from forwarding_stand_ins import Instance, Tables, encode, start_store
from silent_store_test import Target, call

INSTANCES = 8
# Bounds that the platform states: from the acknowledgement of a change until it
# is in force, and from the end of a disturbance until bounds hold again.
CONFIGURATION_S = 3.0
CONTACT_S = 4.0
ROUTES = 1700
# Half of a link of 10 Mbit/s; streams use the rest.
LINK_BYTES_PER_S = 5e6 / 8
CHUNK_BYTES = 16 << 10
# The operator's next change follows the acknowledgement of the last one.
CHANGE_PERIOD_S = 0.77
CHANGES = 12
CUT_S = 8.0
SETTLE_S = 4.0
PROBE_PERIOD_S = 0.02


def route(name):
    return {"name": name, "host": "h", "prefix": f"/{name}/",
            "route_kind": "idempotent", "timeout_ms": 2000,
            "target_latency_ms": 300, "gap_aim_ms": 700, "priority": 1,
            "service": "s", "max_attempts": 2, "public": True}


class Configurations:
    """The versions of one large configuration."""

    def __init__(self, rng):
        self.rng = rng
        self.routes = [self.unused_route() for _ in range(ROUTES)]
        self.version = 0

    def unused_route(self):
        return route(f"unused{self.rng.randrange(1 << 48):012x}")

    # Returns the next version, which has one more route than the last.
    def next(self):
        self.version += 1
        self.routes.append(route(f"r{self.version}"))
        return {"version": self.version, "routes": self.routes,
                "services": [{"name": "s", "health_path": "/healthz",
                              "max_conns": 400}],
                "limits": {"idle_timeout_ms": 5000}}


class HistoryTables(Tables):
    """Tables that tell each change of a row, also those that a later one has
    replaced."""

    def __init__(self):
        super().__init__()
        self.history = []

    def put_encoded(self, table, key, value):
        with self.changed:
            super().put_encoded(table, key, value)
            self.history.append((self.version, table, key, value))

    def read(self, table, version=0):
        if version == 0:
            return super().read(table)
        with self.changed:
            return self.version, [
                {"table": table, "part": "", "key": key, "ver": ver,
                 **({"tombstone": True} if value is None else
                    {"value": value})}
                for ver, its_table, key, value in self.history
                if its_table == table and ver > version]


class Link:
    """The way of one instance to the table service."""

    def __init__(self, tables):
        self.tables = tables
        self.is_cut = False
        self.sending = threading.Lock()
        self.free_at = 0.0
        self.bytes = 0
        self.address = start_store(tables, self)

    # Writes `body` to `file` at the speed of the link. Delays of this program
    # don't make the link slower.
    def send(self, file, body):
        with self.sending:
            self.free_at = max(self.free_at, time.monotonic())
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start:start + CHUNK_BYTES]
            with self.sending:
                if self.is_cut:
                    raise ConnectionAbortedError
                file.write(chunk)
                self.free_at += len(chunk) / LINK_BYTES_PER_S
                time.sleep(max(0, self.free_at - time.monotonic()))
                self.bytes += len(chunk)


class Prober(threading.Thread):
    """Notes when an instance first serves the route of each version."""

    def __init__(self, instance):
        super().__init__(daemon=True)
        self.instance = instance
        self.served_at = {}
        self.next = 1
        self.is_over = False
        self.start()

    def run(self):
        tries = 0
        while not self.is_over:
            tries += 1
            if call(self.instance, self.next,
                    f"{self.instance.port}-{tries}") == 200:
                self.served_at[self.next] = time.monotonic()
                self.next += 1
            else:
                time.sleep(PROBE_PERIOD_S)


class Test:
    def __init__(self, arguments):
        self.rng = random.Random(arguments.seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-large-"))
        self.tables = HistoryTables()
        self.configurations = Configurations(self.rng)
        self.acknowledged_at = {}
        self.change()
        target = Target("t", "d0")
        self.tables.put("servers", "t", target.row())
        self.links = [Link(self.tables) for _ in range(INSTANCES)]
        extra = (f"direct_group: {arguments.direct_group}\n"
                 f"catalog_bound_ms: {1000 * CONFIGURATION_S:.0f}\n")
        self.instances = [
            Instance(i, arguments.port, self.folder, it.address, extra=extra)
            for i, it in enumerate(self.links)]
        # Until then, no bound holds at an instance.
        self.excused_until = [0.0] * INSTANCES
        self.counts = collections.Counter()

    def change(self):
        self.tables.put_encoded("op", "config",
                                encode(self.configurations.next()))
        self.acknowledged_at[self.configurations.version] = time.monotonic()

    def change_often(self, n):
        for _ in range(n):
            time.sleep(CHANGE_PERIOD_S)
            self.change()

    def cut(self, i):
        self.links[i].is_cut = True
        self.change_often(round(CUT_S / CHANGE_PERIOD_S))
        self.links[i].is_cut = False
        self.excused_until[i] = time.monotonic() + CONTACT_S

    def run(self):
        for it in self.instances:
            it.start()
        self.probers = [Prober(it) for it in self.instances]
        while any(it.next == 1 for it in self.probers):
            time.sleep(0.05)
        time.sleep(SETTLE_S)
        first_judged = self.configurations.version + 1
        self.change_often(CHANGES)
        time.sleep(SETTLE_S + CONFIGURATION_S)
        self.cut(self.rng.randrange(INSTANCES))
        # The bound holds again while changes go on.
        self.change_often(round(CONTACT_S / CHANGE_PERIOD_S))
        time.sleep(SETTLE_S + CONFIGURATION_S)
        self.judge(first_judged)

    def judge(self, first_judged):
        for it in self.probers:
            it.is_over = True
        now = time.monotonic()
        for i, prober in enumerate(self.probers):
            worst = -CONFIGURATION_S
            for version, at in self.acknowledged_at.items():
                if version < first_judged:
                    continue
                due = max(at + CONFIGURATION_S, self.excused_until[i])
                late = prober.served_at.get(version, now) - due
                worst = max(worst, late)
                self.counts["late"] += late > 0
            print(f"instance {i}: {1000 * worst:+.0f} ms after the bound at "
                  f"worst, {self.links[i].bytes >> 10} KB read", flush=True)

    def end(self):
        for it in self.instances:
            if it.process:
                it.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=29500)
    parser.add_argument("--direct-group", type=int, default=16)
    arguments = parser.parse_args()
    test = Test(arguments)
    try:
        test.run()
    finally:
        test.end()
    counts = +test.counts
    print(f"{'FAILED' if counts else 'ok'}: violations {dict(counts)} of "
          f"{test.configurations.version} versions at {INSTANCES} instances; "
          f"seed {arguments.seed}, logs in {test.folder}")
    return 1 if counts else 0


if __name__ == "__main__":
    sys.exit(main())
