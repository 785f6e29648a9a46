"""Long requests that may run once only, and a server that rejects them before
they are in, keeps the channel and reads on (UNASKED)."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_2 as rig  # noqa: E402

# Within max_body_bytes, 4,194,304.
LONG_BYTES = 4_190_000
REJECTED_AFTER_S = 1.5
READS_ON_AFTER_S = 0.3
LONG_REQUESTS = 3
SHORT_BYTES = 200


class Ledger(rig.Server):
    """Has no room for long requests. With trouble it says so before they are
    in; without, once they are in."""

    def __init__(self, its_id, the_rig, bodies):
        super().__init__(its_id)
        self.rig = the_rig
        self.bodies = bodies
        self.foreign = []

    def run(self, method, path, request, fields, channel):
        size = int(fields.get("content-length", 0))
        is_long = size > 100_000
        early = is_long and rig.TROUBLE
        self.rig.record.write(f"{self.id} gets {request}, {size} bytes")
        body = b"" if early else channel.exactly(size)
        if is_long:
            time.sleep(REJECTED_AFTER_S)
            channel.sock.sendall(rig.answer_head(503, {
                "X-Attempt-Id": request, "X-Not-Executed": "1",
                "Content-Length": 0}))
            self.rig.record.write(f"{self.id} rejects {request}")
        else:
            channel.sock.sendall(rig.answer_head(200, {
                "X-Attempt-Id": request, "X-Server-Seal": "s",
                "Content-Length": 2}) + b"ok")
            self.rig.record.write(f"{self.id} has run {request}")
        if early:
            time.sleep(READS_ON_AFTER_S)
            try:
                body = channel.exactly(size)
            except (rig.Closed, OSError):
                # A channel that ends is no other request's bytes.
                body = channel.buffer
        expected = self.bodies[request][:len(body)]
        if body != expected:
            at = next(i for i in range(len(body)) if body[i] != expected[i])
            self.foreign.append((request, at, body[at:at + 60]))
            self.rig.record.write(
                f"{self.id} gets other bytes where the body of {request} is "
                f"due, from byte {at}: {body[at:at + 60]!r}")
        return True


def send(the_rig, entry, bodies, n, label):
    request = rig.new_id()
    body = bodies[request] = rig.pattern(request, n)
    channel = rig.connect(entry.front)
    the_rig.record.write(f"{label} {request} sent, {n} bytes")
    try:
        channel.sock.sendall(rig.request_head(
            "POST", "/close/1", request,
            [f"Content-Length: {n}", "X-Deadline-Ms: 9000"]) + body)
        status = rig.read_answer(channel)[0]
    except (rig.Closed, OSError) as error:
        status = f"none ({error!r})"
    the_rig.record.write(f"{label} {request} answered: {status}")
    channel.sock.close()


def play(the_rig):
    bodies = {}
    servers = [Ledger(f"i-{i}", the_rig, bodies) for i in range(3)]
    the_rig.store.put("op", "config", rig.manifest(1, [
        rig.route("close", "non_idempotent", "ledger", timeout_ms=9000,
                  target_latency_ms=3000)], [rig.service("ledger")]))
    for i, it in enumerate(servers):
        the_rig.store.put("servers", it.id, rig.server_row(
            "ledger", it.address, f"zone-{'abcd'[i]}", slots=6))
    entry = the_rig.start_entries(2)[0]
    the_rig.wait_until_ready()
    time.sleep(1)
    stop = threading.Event()

    def send_short():
        while not stop.is_set():
            send(the_rig, entry, bodies, SHORT_BYTES, "short")
            time.sleep(0.1)

    shorts = [threading.Thread(target=send_short, daemon=True)
              for _ in range(2)]
    for it in shorts:
        it.start()
    for _ in range(LONG_REQUESTS):
        send(the_rig, entry, bodies, LONG_BYTES, "long")
    stop.set()
    for it in shorts:
        it.join(12)
    time.sleep(1)
    foreign = [it for server in servers for it in server.foreign]
    return (f"{len(foreign)} times a server got other bytes where the rest of "
            f"a long body was due" if foreign else None)


rig.run(FOLDER, play)
