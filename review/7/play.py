"""A server that answers before it has read a long body, with an answer that
has no length, and a reset of its channels in the middle of that (MIXED)."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig_2 as rig  # noqa: E402

# Within max_body_bytes, 4,194,304.
LONG_BYTES = 4_190_000
ANSWER_BYTES = 6_000
FIRST_PART_BYTES = 2_500
# From the first part of the answer until the server reads on and ends it.
READS_ON_AFTER_S = 0.6
RESET_AFTER_S = 0.3
REQUESTS = 5


class Ledger(rig.Server):
    def __init__(self, its_id, the_rig):
        super().__init__(its_id)
        self.rig = the_rig
        self.proxy = rig.Proxy(self)

    def reset_channels(self):
        time.sleep(RESET_AFTER_S)
        n = self.proxy.reset()
        self.rig.record.write(f"{n} channels to {self.id} are reset")

    def run(self, method, path, request, fields, channel):
        size = int(fields.get("content-length", 0))
        self.rig.record.write(f"{self.id} runs {request}, body of {size} bytes")
        body = rig.pattern(request, ANSWER_BYTES)
        channel.sock.sendall(rig.answer_head(200, {
            "X-Attempt-Id": request, "X-Server-Seal": "s",
            "Connection": "close"}) + body[:FIRST_PART_BYTES])
        if rig.TROUBLE:
            threading.Thread(target=self.reset_channels, daemon=True).start()
        time.sleep(READS_ON_AFTER_S)
        channel.exactly(size)
        channel.sock.sendall(body[FIRST_PART_BYTES:])
        self.rig.record.write(f"{self.id} has sent its whole answer to "
                              f"{request}, {ANSWER_BYTES} bytes")
        return False


def send(the_rig, entry):
    request = rig.new_id()
    channel = rig.connect(entry.front)
    the_rig.record.write(f"{request} sent, {LONG_BYTES} bytes")
    try:
        channel.sock.sendall(rig.request_head(
            "POST", "/close/1", request,
            [f"Content-Length: {LONG_BYTES}", "X-Deadline-Ms: 9000"])
            + rig.pattern(request, LONG_BYTES))
        status, _, body, is_whole = rig.read_answer(channel)
    except (rig.Closed, OSError):
        status, body, is_whole = 0, b"", False
    expected = rig.pattern(request, ANSWER_BYTES)
    is_mixed = is_whole and status == 200 and body != expected
    the_rig.record.write(
        f"{request} answered: status {status}, {len(body)} bytes, "
        f"{'complete as HTTP says' if is_whole else 'cut'}"
        f"{', NOT THE WHOLE BODY OF THE SERVER' if is_mixed else ''}")
    channel.sock.close()
    return is_mixed


def play(the_rig):
    servers = [Ledger(f"i-{i}", the_rig) for i in range(3)]
    the_rig.store.put("op", "config", rig.manifest(1, [
        rig.route("close", "non_idempotent", "ledger", timeout_ms=9000,
                  target_latency_ms=3000)], [rig.service("ledger")]))
    for i, it in enumerate(servers):
        the_rig.store.put("servers", it.id, rig.server_row(
            "ledger", it.proxy.address, f"zone-{'abcd'[i]}", slots=6))
    entry = the_rig.start_entries(2)[0]
    the_rig.wait_until_ready()
    time.sleep(1)
    n_mixed = 0
    for _ in range(REQUESTS):
        n_mixed += send(the_rig, entry)
        time.sleep(0.5)
    return (f"{n_mixed} of {REQUESTS} answers were complete successes without "
            "the server's whole body" if n_mixed else None)


rig.run(FOLDER, play)
