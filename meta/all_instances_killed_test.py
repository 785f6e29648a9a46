#!/usr/bin/env python3
"""Kills all instances around releases of the software of a service.

A version joins while all instances are down, and while they run.

Runs instances of the forwarding interface as processes, with engines and a
table service in this program. Callers whose streams break off take them up
again at any instance. No stream may consist of events of two versions. While
engines of both versions serve, nine of ten interrupted streams must go on; after
all engines have been replaced, none can.
"""
import argparse
import http.client
import http.server
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

from forwarding_stand_ins import HOST, Instance, Tables, start_store

INSTANCES = 4
ENGINES = 3
STREAMS = 15
EVENTS = 100
EVENT_GAP_S = 0.06
# Covers the time in which instances of a new system wait for each other.
START_S = 6
BEFORE_RELEASE_S = 1
# A record is stored within 0.2 s, and the targets are read 0.3 s after a change.
BEFORE_KILL_S = 1.5
DOWN_S = 0.3
DEADLINE_S = 20
CONTINUED_SHARE = 0.9


class EngineHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.server.has_ended:
            self.close_connection = True
            return
        body = json.dumps({
            "stage": "colocated", "busy": False, "seq": 1, "handles": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1000000,
            "born": 1000}).encode()
        self.send_response(200)
        self.send_header("X-Instance-Id", self.server.name)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(200)
        self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
        self.send_header("X-Server-Seal", "s")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        try:
            for n in range(first, self.server.n_events + 1):
                time.sleep(self.server.event_gap_s)
                if self.server.has_ended:
                    self.close_connection = True
                    return
                event = f"id: {n}\ndata: {self.server.version}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True  # The instance was killed.

    def log_message(self, *_):
        pass


class Engine(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def __init__(self, name, version, domain, n_events=EVENTS,
                 event_gap_s=EVENT_GAP_S):
        super().__init__((HOST, 0), EngineHandler)
        self.n_events = n_events
        self.event_gap_s = event_gap_s
        self.has_ended = False
        self.name = name
        self.version = version
        self.domain = domain
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def row(self):
        return {"service": "s", "address": "%s:%d" % self.server_address,
                "zone": self.domain, "version": self.version, "slots": 64,
                "state": "ready", "seq": 1, "born": 1000}

    # Breaks off all streams.
    def end(self):
        self.has_ended = True
        self.shutdown()
        self.server_close()

    def handle_error(self, *_):
        pass  # Connections of killed instances.


class Stream(threading.Thread):
    """A caller that takes its stream up again when it breaks off."""

    deadline_s = DEADLINE_S
    # Ends an attempt when the stream has so many events.
    n_wanted = None

    def __init__(self, name, instances, rng):
        super().__init__(daemon=True)
        self.name = name
        self.instances = instances
        self.rng = rng
        self.versions = []
        self.is_interrupted = False
        self.begun_at = time.monotonic()
        self.start()

    def run(self):
        first, tries = "", 0
        while time.monotonic() < self.begun_at + self.deadline_s:
            tries += 1
            attempt = f"{self.name}-{tries}"
            had_events = bool(self.versions)
            self.receive(attempt, first)
            first = first or (attempt if self.versions else "")
            if len(self.versions) >= EVENTS:
                return
            self.is_interrupted |= had_events or bool(self.versions)
            time.sleep(0.3)

    def receive(self, attempt, first):
        left_ms = int(
            (self.begun_at + self.deadline_s - time.monotonic()) * 1000)
        headers = {
            "Host": "h", "X-Attempt-Id": attempt, "X-Model": "m",
            "X-Token-Counts": "100,100", "X-Deadline-Ms": str(left_ms),
            "X-Prefix-Hash": f"aa:50,{abs(hash(self.name)):x}:50"}
        if first:
            headers.update({"Resumes": first,
                            "Last-Event-Id": str(len(self.versions))})
        connection = http.client.HTTPConnection(
            HOST, self.rng.choice(self.instances).port, timeout=3)
        try:
            connection.request("POST", "/s/x", b"body", headers)
            answer = connection.getresponse()
            while answer.status == 200:
                line = answer.readline()
                if not line:
                    break
                if line.startswith(b"data: "):
                    self.versions.append(line[6:].decode().strip())
                    if len(self.versions) == self.n_wanted:
                        break
        except (OSError, http.client.HTTPException):
            pass  # The instance was killed.
        finally:
            connection.close()

    @property
    def is_joined(self):
        return len(set(self.versions)) > 1


def configuration():
    return {
        "version": 1,
        "routes": [{
            "name": "s", "host": "h", "prefix": "/s/",
            "route_kind": "streaming", "resumable": True, "sticky": True,
            "timeout_ms": DEADLINE_S * 1000, "target_latency_ms": 2000,
            "gap_aim_ms": 700, "priority": 1, "service": "s",
            "max_attempts": 5, "public": True}],
        "services": [{"name": "s", "health_path": "/healthz",
                      "max_conns": 1000}],
        "limits": {}}


class Cluster:
    def __init__(self, folder, port, rng):
        self.rng = rng
        self.tables = Tables()
        self.tables.put("op", "config", configuration())
        self.engines = {}
        store = start_store(self.tables)
        self.instances = [Instance(i, port, folder, store,
                                   extra="first_start: true\n")
                          for i in range(INSTANCES)]

    def add_engines(self, version):
        for i in range(ENGINES):
            name = f"{version}-{i}"
            self.engines[name] = Engine(name, version, f"d{i % INSTANCES}")
            self.tables.put("servers", name, self.engines[name].row())

    def remove_engines(self, version):
        for name in [it for it in self.engines if it.startswith(version)]:
            del self.engines[name]
            self.tables.put_encoded("servers", name, None)

    def begin_streams(self, phase):
        return [Stream(f"{phase}-{i}", self.instances, self.rng)
                for i in range(STREAMS)]

    def restart_all(self, while_down=lambda: None):
        for it in self.instances:
            it.process.kill()
        for it in self.instances:
            it.process.wait()
        while_down()
        time.sleep(DOWN_S)
        for it in self.instances:
            it.write_settings("")
            it.start()


def wait_for(streams):
    for it in streams:
        it.join()


def play(cluster):
    cluster.add_engines("v0")
    for it in cluster.instances:
        it.start()
    time.sleep(START_S)
    # No instance that runs has seen the service with v0 only.
    streams = cluster.begin_streams("before-outage")
    time.sleep(BEFORE_KILL_S)
    cluster.restart_all(while_down=lambda: cluster.add_engines("v1"))
    wait_for(streams)
    cluster.remove_engines("v0")
    time.sleep(BEFORE_RELEASE_S)
    streams += cluster.begin_streams("before-release")
    time.sleep(BEFORE_RELEASE_S)
    cluster.add_engines("v2")
    time.sleep(BEFORE_KILL_S / 2)
    streams += cluster.begin_streams("in-release")
    time.sleep(BEFORE_KILL_S)
    cluster.restart_all()
    wait_for(streams)
    replaced = cluster.begin_streams("before-replacement")
    time.sleep(BEFORE_KILL_S)
    cluster.remove_engines("v1")
    cluster.remove_engines("v2")
    cluster.add_engines("v3")
    cluster.restart_all()
    wait_for(replaced)
    return streams, replaced


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=29100)
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-killed-"))
    cluster = Cluster(folder, arguments.port, random.Random(arguments.seed))
    try:
        streams, replaced = play(cluster)
    finally:
        for it in cluster.instances:
            if it.process:
                it.kill()
    interrupted = [it for it in streams if it.is_interrupted and it.versions]
    whole = [it for it in interrupted if len(it.versions) == EVENTS]
    joined = [it.name for it in streams + replaced if it.is_joined]
    holds = (not joined and interrupted
             and len(whole) >= CONTINUED_SHARE * len(interrupted))
    print(f"{'ok' if holds else 'FAILED'}: {len(whole)} of {len(interrupted)} "
          f"interrupted streams went on, {len(joined)} of "
          f"{len(streams) + len(replaced)} joined two versions {joined}; "
          f"seed {arguments.seed}, logs in {folder}")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
