#!/usr/bin/env python3
"""Callers come back to streams that began more than a minute before.

Runs instances of the forwarding interface as processes, with engines and a
table service in this program. The route lets streams take two minutes. No stream
may consist of events of two versions, and a stream whose version is served must
go on.
"""
import argparse
import pathlib
import random
import sys
import tempfile
import threading
import time

from all_instances_killed_test import (
    BEFORE_KILL_S, CONTINUED_SHARE, ENGINES, START_S, Engine, Stream,
    configuration)
from forwarding_stand_ins import Instance, Tables, start_store

STREAMS = 12
TIMEOUT_S = 120
# When callers come back, after the beginning of their streams.
RETURN_S = 75
EVENTS, EVENT_GAP_S = 1000, 0.25
# Events of the new run after which a caller has seen that its stream goes on.
ENOUGH_EVENTS = 3
DRAIN_S = 2
PORTS_PER_CASE = 8


class LongStream(Stream):
    """Gets events until it breaks off, and is taken up once."""

    deadline_s = TIMEOUT_S

    def run(self):
        self.receive(self.name, "")
        n_before = len(self.versions)
        self.has_begun = n_before > 0
        time.sleep(max(0, self.begun_at + RETURN_S - time.monotonic()))
        self.n_wanted = n_before + ENOUGH_EVENTS
        self.receive(f"{self.name}-again", self.name)
        self.went_on = len(self.versions) > n_before


class Case(threading.Thread):
    """Two instances whose streams break off."""

    def __init__(self, name, port, folder, rng):
        super().__init__()
        self.name = name
        self.rng = rng
        self.tables = Tables()
        settings = configuration()
        settings["routes"][0]["timeout_ms"] = TIMEOUT_S * 1000
        self.tables.put("op", "config", settings)
        store = start_store(self.tables)
        folder = folder / name
        folder.mkdir()
        self.instances = [
            Instance(i, port, folder, store, extra="first_start: true\n")
            for i in range(2)]
        self.engines = {}

    def add_engines(self, version):
        for i in range(ENGINES):
            name = f"{version}-{i}"
            self.engines[name] = Engine(name, version, f"d{i}", EVENTS,
                                        EVENT_GAP_S)
            self.tables.put("servers", name, self.engines[name].row())

    def remove_engines(self, version):
        for name in [it for it in self.engines if it.startswith(version)]:
            self.engines.pop(name).end()
            self.tables.put_encoded("servers", name, None)

    def begin_streams(self, instances):
        return [LongStream(f"{self.name}-{i}", instances, self.rng)
                for i in range(STREAMS)]

    def run(self):
        self.add_engines("v1")
        for it in self.instances:
            it.start()
        time.sleep(START_S)
        try:
            getattr(self, self.name)()
        finally:
            for it in self.instances:
                it.kill()

    # All engines are replaced by ones of another version.
    def replaced_version(self):
        streams = self.begin_streams(self.instances)
        time.sleep(BEFORE_KILL_S)
        self.add_engines("v2")
        time.sleep(DRAIN_S)
        self.remove_engines("v1")
        self.finish(streams, can_go_on=False)

    # One version serves; an instance dies shortly before the callers return.
    def lost_instance(self):
        first, second = self.instances
        streams = self.begin_streams([first])
        time.sleep(RETURN_S - 1)
        for it in streams:
            it.instances = [second]
        first.kill()
        self.finish(streams, can_go_on=True)

    # Two versions serve; all instances die shortly before the callers return.
    def lost_instances(self):
        self.add_engines("v2")
        time.sleep(BEFORE_KILL_S)
        streams = self.begin_streams(self.instances)
        time.sleep(RETURN_S - 4)
        for it in self.instances:
            it.kill()
        for it in self.instances:
            it.write_settings("")
            it.start()
        self.finish(streams, can_go_on=True)

    def finish(self, streams, can_go_on):
        for it in streams:
            it.join()
        n_begun = sum(it.has_begun for it in streams)
        n_joined = sum(it.is_joined for it in streams)
        n_went_on = sum(it.went_on for it in streams)
        self.holds = (n_begun == STREAMS and n_joined == 0 and (
            not can_go_on or n_went_on >= CONTINUED_SHARE * n_begun))
        self.result = (f"{n_begun} of {STREAMS} streams began, {n_went_on} went "
                       f"on, {n_joined} joined two versions")


CASES = ("replaced_version", "lost_instance", "lost_instances")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=29300)
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-long-"))
    cases = [Case(name, arguments.port + i * PORTS_PER_CASE, folder,
                  random.Random(arguments.seed + i))
             for i, name in enumerate(CASES)]
    for it in cases:
        it.start()
    for it in cases:
        it.join()
    for it in cases:
        print(f"{'ok' if it.holds else 'FAILED'}: {it.name}: {it.result}")
    print(f"seed {arguments.seed}, logs in {folder}")
    return 0 if all(it.holds for it in cases) else 1


if __name__ == "__main__":
    sys.exit(main())
