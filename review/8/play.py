"""Streams that may run once only, and a sound server that falls silent for a
second and goes on (LOST)."""
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_2 as rig  # noqa: E402

SILENCE_S = 1.0
CALLERS = 12
EVENTS = 100
EVENT_GAP_S = 0.04
# After the streams have begun.
SILENT_AFTER_S = 1.2


class Engine(rig.Server):
    def run(self, method, path, request, fields, channel):
        channel.exactly(int(fields.get("content-length", 0)))
        print(f"{self.id} runs {request}", flush=True)
        self.running += 1
        try:
            self.stream(int(path.rpartition("/")[2]), request, channel)
            print(f"{self.id} has run {request} to its end", flush=True)
        except OSError as error:
            print(f"{self.id} can't go on with {request}, its channel has been"
                  f" closed: {error!r}", flush=True)
            raise
        finally:
            self.running -= 1
        return True

    def stream(self, n_events, request, channel):
        channel.sock.sendall(rig.answer_head(200, {
            "X-Attempt-Id": request, "X-Server-Seal": "s",
            "Content-Type": "text/event-stream", "X-Weight-Versions": "1",
            "Transfer-Encoding": "chunked"}))
        for n in range(1, n_events + 1):
            time.sleep(EVENT_GAP_S)
            event = f"id: {n}\ndata: {request} {n}\n\n".encode()
            channel.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        channel.sock.sendall(b"0\r\n\r\n")


def serve(its_id):
    print(Engine(its_id).address, flush=True)
    threading.Event().wait()


class Caller(threading.Thread):
    def __init__(self, the_rig, entry):
        super().__init__(daemon=True)
        self.rig = the_rig
        self.channel = rig.connect(entry.front)
        self.go = threading.Event()
        self.is_cut = False

    def send(self, n_events):
        request = rig.new_id()
        self.rig.record.write(f"{request} sent, {n_events} events")
        began_at = time.monotonic()
        self.channel.sock.sendall(rig.request_head(
            "POST", f"/notes/{n_events}", request,
            ["Content-Length: 2", "X-Deadline-Ms: 25000", "X-Model: m",
             "X-Token-Counts: 100,700", "X-Prefix-Hash: 5c1e07a2:100"])
            + b"{}")
        try:
            status, _, body, is_whole = rig.read_answer(self.channel)
        except (rig.Closed, OSError):
            status, body, is_whole = 0, b"", False
        n = body.count(b"\n\n")
        after_s = time.monotonic() - began_at
        self.rig.record.write(
            f"{request} ended after {after_s:.2f} s: status {status}, {n} of "
            f"{n_events} events, {'whole' if is_whole else 'CUT'}")
        return is_whole

    def run(self):
        if not self.send(3):
            return
        self.go.wait()
        self.is_cut = not self.send(EVENTS)


def play(the_rig):
    servers = []
    for i in range(2):
        process = the_rig.start_process(
            [sys.executable, __file__, "serve", f"i-{i}"])
        address = process.stdout.readline().strip()
        servers.append(process)
        threading.Thread(target=lambda it=process: [
            the_rig.record.write(line.strip()) for line in it.stdout],
            daemon=True).start()
        the_rig.store.put("servers", f"i-{i}", rig.server_row(
            "llm", address, f"zone-{'ab'[i]}"))
    the_rig.store.put("op", "config", rig.manifest(1, [
        rig.route("notes", "streaming", "llm", gap_aim_ms=700, sticky=True)],
        [rig.service("llm", rig.ENGINE)]))
    entry = the_rig.start_entries(2)[0]
    the_rig.wait_until_ready()
    time.sleep(1)
    callers = [Caller(the_rig, entry) for _ in range(CALLERS)]
    for it in callers:
        it.start()
    time.sleep(1)
    the_rig.record.write(f"SIGHUP to {entry.name}")
    entry.process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    for it in callers:
        it.go.set()
    time.sleep(SILENT_AFTER_S)
    if rig.TROUBLE:
        the_rig.record.write(f"i-0 falls silent for {SILENCE_S} s")
        servers[0].send_signal(signal.SIGSTOP)
        time.sleep(SILENCE_S)
        servers[0].send_signal(signal.SIGCONT)
        the_rig.record.write("i-0 goes on")
    for it in callers:
        it.join(20)
    n_cut = sum(it.is_cut for it in callers)
    return (f"{n_cut} of {CALLERS} streams on kept channels ended without a "
            "whole answer while their servers lived" if n_cut > 3 else None)


if sys.argv[1:2] == ["serve"]:
    serve(sys.argv[2])
else:
    rig.run(FOLDER, play)
