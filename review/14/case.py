"""An entry instance is killed while streams lack only their end. Their requesters
have got the last event, and take the streams up again at the other instance."""
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

REQUESTERS = 16
# Streams that begin after the others have been taken up.
LATER_REQUESTERS = 4
SERVERS = 4
DEADLINE_MS = 25_000
EVENTS, EVENT_GAP_S = 60, 0.05
# A sound server may fall silent for a second or so and go on.
SILENCE_S = 1
KILL_AFTER_S = 0.4
RETRY_PAUSE_S = 0.2
# The retry budget of a new process grows with the first retry_window_s.
WARM_UP_S = 11
# LOST: "12 or more streams", "under half of the share of new streams that begin".
ENOUGH = 12
SHARE = 0.5


def script(rig):
    def serve(server, connection, head):
        connection.read_exactly(head.length())
        name = head.fields["x-attempt-id"]
        first = int(head.fields.get("last-event-id", 0)) + 1
        rig.record.write(f"{server.name} runs {name} from event {first}")
        connection.send(answer_head(
            server, head, extra=b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"))
        for n in range(first, EVENTS + 1):
            time.sleep(EVENT_GAP_S)
            connection.send(chunk(b"id: %d\ndata: x\n\n" % n))
        if first <= EVENTS:
            time.sleep(SILENCE_S)
        connection.send(b"0\r\n\r\n")
        rig.record.write(f"{server.name} has answered {name} whole")
        return True
    return serve


class Requester:
    def __init__(self, rig, index):
        self.rig, self.index = rig, index
        self.first_name = new_id()
        self.fields = stream_fields()
        self.n_events = 0
        self.began = self.has_ended = self.went_on = False
        self.is_taken_up = False
        self.at_end = threading.Event()

    # One attempt at `entry`. Returns whether the stream has ended.
    def attempt(self, entry, name, extra=""):
        connection = None
        data = bytearray()

        def on_data(part):
            data.extend(part)
            self.n_events += part.count(b"\n\n")
            self.began = True
            if self.n_events == EVENTS:
                self.at_end.set()

        try:
            connection = Connection(socket.create_connection(
                (HOST, entry.front), DEADLINE_MS / 1000))
            connection.send(request_head(
                "POST", "/stream/1", name, DEADLINE_MS, 2,
                self.fields + extra) + b"%02d" % self.index)
            head = connection.read_head()
            status = head.status()
            if status != 200:
                body = connection.read_exactly(head.length())
                self.write(f"{name} is answered {status} {body!r}")
                return False
            read_chunks(connection, on_data)
            self.write(f"{name} is answered 200, has ended after event "
                       f"{self.n_events}")
            return True
        except (Closed, OSError) as error:
            self.write(f"{name} broke off after event {self.n_events} "
                       f"({error!r})")
            return False
        finally:
            if connection is not None:
                connection.close()

    def write(self, text):
        self.rig.record.write(f"requester {self.index}: {text}")

    def run(self):
        first, second = self.rig.entries
        self.has_ended = self.attempt(first, self.first_name)
        if self.has_ended:
            return
        time.sleep(RETRY_PAUSE_S)
        self.is_taken_up = self.n_events == EVENTS
        self.write(f"takes {self.first_name} up after event {self.n_events}")
        self.went_on = self.attempt(
            second, new_id(), f"Last-Event-Id: {self.n_events}\r\n"
            f"Resumes: {self.first_name}\r\n")

    def run_later(self):
        self.attempt(self.rig.entries[1], self.first_name)


def run_all(targets):
    threads = [threading.Thread(target=it) for it in targets]
    for it in threads:
        it.start()
    return threads


def test(rig):
    serve = script(rig)
    for i in range(SERVERS):
        Server(rig.store, f"i-{i}", "llm", "v1", serve,
               zone=f"zone-{'abc'[i % 3]}")
    rig.store.put("op", "config", manifest(
        [stream_route("stream", "llm")], [engine_service("llm")]))
    rig.start()
    time.sleep(WARM_UP_S)
    requesters = [Requester(rig, i) for i in range(REQUESTERS)]
    threads = run_all([it.run for it in requesters])
    for it in requesters:
        if not it.at_end.wait(DEADLINE_MS / 1000):
            raise RuntimeError("a stream has not got its last event")
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        rig.record.write("the first instance is killed")
        rig.entries[0].stop()
    for it in threads:
        it.join()
    later = [Requester(rig, REQUESTERS + i) for i in range(LATER_REQUESTERS)]
    for it in run_all([it.run_later for it in later]):
        it.join()
    new = requesters + later
    n_begun = sum(it.began for it in new)
    taken_up = [it for it in requesters if it.is_taken_up]
    n_went_on = sum(it.went_on for it in taken_up)
    rig.record.write(f"{n_begun} of {len(new)} new streams began")
    rig.record.write(f"{n_went_on} of {len(taken_up)} streams that were taken up "
                     "went on")
    if TROUBLE and len(taken_up) < ENOUGH:
        raise RuntimeError("too few streams were taken up")
    return not taken_up or (n_went_on / len(taken_up) >=
                            SHARE * n_begun / len(new))


run(FOLDER, 2, test)
