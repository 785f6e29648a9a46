#!/usr/bin/env python3
"""Counts the requests that planned work leaves without an answer.

Runs instances of the forwarding interface as processes that get little
processor time, with targets, callers and a table service, all in this program.
The instances are stopped and started again and again, while signals and new
configurations come. Each request that was sent as a whole must get a complete
answer or a refusal.
"""
import argparse
import asyncio
import collections
import dataclasses
import http.client
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import threading
import time

from forwarding_stand_ins import HOST, Instance, Tables, start_store

INSTANCES = 2
TARGETS = 3
LOSS_SLACK_MS = 200
# Requests sent later than this after SIGTERM must not outlast the grace.
EARLY_S = 3.0
# From SIGTERM until the platform sends no new connections.
OUT_OF_ROTATION_S = 2.5
CALL_TIMEOUT_MS = 6000
STREAM_TIMEOUT_MS = 15000
# From SIGTERM until an instance must no longer say that it is ready.
UNREADY_S = 1.0
# How long a caller waits beyond the time that it states.
PATIENCE_S = 1.5
RECEIVE_BYTES = 65536
# Callers of each instance by behaviour.
KEPT_CALLERS = 22
LATE_CALLERS = 6
SLOW_BODY_CALLERS = 6
STREAM_CALLERS = 5
NEW_CONNECTION_CALLERS = 3
IDLE_TIMEOUTS_MS = (400, 1500, 5000)


def configuration(version, rng):
    def route(name, kind, **more):
        return {"name": name, "host": "h", "prefix": f"/{name}/",
                "route_kind": kind, "timeout_ms": CALL_TIMEOUT_MS,
                "target_latency_ms": 300, "priority": 1, "service": "s",
                "max_attempts": 3, "public": True, **more}
    return {
        "version": version,
        "routes": [
            route("quick", "idempotent"),
            route("once", "non_idempotent",
                  timeout_ms=rng.choice((CALL_TIMEOUT_MS, 8000))),
            route("stream", "streaming", resumable=True, gap_aim_ms=2000,
                  timeout_ms=rng.choice((STREAM_TIMEOUT_MS, 20000)))],
        "services": [{"name": "s", "health_path": "/healthz",
                      "max_conns": 400}],
        "limits": {"idle_timeout_ms": rng.choice(IDLE_TIMEOUTS_MS)}}


@dataclasses.dataclass
class Incarnation:
    """One start of an instance and its end."""
    instance: int
    round: int
    started_at: float
    term_at: float = None
    exited_at: float = None
    was_killed: bool = False
    was_ready_late: bool = False
    status: int = None


@dataclasses.dataclass
class Call:
    """One request that a caller has sent as a whole, and what came of it."""
    id: str
    kind: str
    incarnation: Incarnation
    sent_at: float
    deadline: float
    end: str = None
    ended_at: float = None
    received: bytes = b""
    status: int = None
    is_answered: bool = False
    # Times at which a target began and ended work on it.
    runs: list = dataclasses.field(default_factory=list)

    def age_ms(self):
        return (self.ended_at - self.sent_at) * 1000


class LagMeter:
    """How late this program itself runs."""
    PERIOD_S = 0.01

    def __init__(self):
        self.late = []

    async def run(self):
        while True:
            due = time.monotonic() + self.PERIOD_S
            await asyncio.sleep(self.PERIOD_S)
            now = time.monotonic()
            if now - due > self.PERIOD_S:
                self.late.append((due, now))

    def largest_ms(self):
        return 1000 * max((b - a for a, b in self.late), default=0)

    # Returns for how long this program did not run in this span.
    def lag_ms(self, begin, end):
        return 1000 * sum(b - a for a, b in self.late if a < end and b > begin)


class Targets:
    """Answers quick and slow calls, and streams."""

    def __init__(self, rng):
        self.rng = rng
        self.runs = collections.defaultdict(list)
        self.addresses = []

    async def start(self):
        for _ in range(TARGETS):
            server = await asyncio.start_server(self.serve, HOST, 0,
                                                backlog=256)
            self.addresses.append(
                "%s:%d" % server.sockets[0].getsockname())

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = parse_fields(head)
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(head.split()[1], fields, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # The instance has closed the connection.
        finally:
            writer.close()

    async def answer(self, path, fields, reader, writer):
        run = [time.monotonic(), None]
        request = fields.get("x-attempt-id", "")
        self.runs[request].append(run)
        try:
            if path.startswith("/stream/"):
                await self.stream(path, fields, request, writer)
                return
            await self.work(path, reader)
            body = f"answer to {request}".encode()
            writer.write((
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\n"
                f"X-Server-Seal: s\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body)
            await writer.drain()
        finally:
            run[1] = time.monotonic()

    # Works as many milliseconds as the path says, while the sender stays.
    async def work(self, path, reader):
        left = int(path.rsplit("/", 1)[-1]) / 1000 if "-" not in path else 0
        while left > 0 and not reader.at_eof():
            step = min(left, 0.05)
            await asyncio.sleep(step)
            left -= step
        if reader.at_eof():
            raise ConnectionResetError

    # Sends as many events as the path says.
    async def stream(self, path, fields, request, writer):
        writer.write((
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\n"
            "X-Server-Seal: s\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(fields.get("last-event-id", 0)) + 1
        for i in range(first, int(path.rsplit("/", 1)[-1]) + 1):
            text = f"id: {i}\ndata: token {i}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(0.05, 0.15))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def parse_fields(head):
    return {name.lower(): value.strip() for name, _, value in (
        it.partition(":") for it in head.split("\r\n")[1:]) if name}


class Connection:
    """A caller's connection. Sees its end at once while it reads."""

    def __init__(self, sock, incarnation):
        self.sock = sock
        self.incarnation = incarnation
        self.data = b""
        self.end = None

    # Returns what can be read: nothing at the connection's end; None if the
    # other end is silent.
    def peek(self):
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    # Receives more bytes; returns False at the end or at the deadline.
    async def receive(self, deadline):
        try:
            async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + deadline -
                    time.monotonic()):
                data = await asyncio.get_running_loop().sock_recv(
                    self.sock, RECEIVE_BYTES)
        except TimeoutError:
            self.end = "silent"
            return False
        except OSError as it:
            self.end = type(it).__name__
            return False
        self.data += data
        self.end = None if data else "closed"
        return bool(data)

    async def receive_until(self, mark, deadline):
        while mark not in self.data:
            if not await self.receive(deadline):
                return None
        before, _, self.data = self.data.partition(mark)
        return before + mark

    async def receive_bytes(self, n, deadline):
        while len(self.data) < n:
            if not await self.receive(deadline):
                return None
        data, self.data = self.data[:n], self.data[n:]
        return data

    def close(self):
        self.sock.close()


class Caller:
    """Sends requests to one instance, one after another."""

    def __init__(self, test, server, kind, seed):
        self.test = test
        self.server = server
        self.kind = kind
        self.rng = random.Random(seed)
        self.connection = None
        self.n = 0
        self.name = seed.replace(" ", "-")

    async def run(self):
        while not self.test.is_over:
            if self.connection is None and not await self.connect():
                await asyncio.sleep(self.rng.uniform(0.02, 0.08))
                continue
            await asyncio.sleep(self.pause_s())
            seen = self.connection.peek()
            if seen is not None:
                self.test.n_extra += bool(seen)
                self.disconnect()
                continue
            try:
                is_kept = await self.call()
            except OSError:
                is_kept = False  # The request was not sent as a whole.
            if not is_kept or self.kind == "new":
                self.disconnect()

    def pause_s(self):
        if self.kind == "late":
            return self.rng.uniform(0, 2.0)
        if self.kind == "new":
            return self.rng.uniform(0, 0.05)
        return 0 if self.rng.random() < 0.2 else self.rng.uniform(0, 0.3)

    async def connect(self):
        incarnation = self.server.incarnation
        if incarnation is None or not self.server.takes_connections(self.rng):
            return False
        sock = socket.socket()
        sock.setblocking(False)
        try:
            async with asyncio.timeout(1):
                await asyncio.get_running_loop().sock_connect(
                    sock, (HOST, self.server.port))
        except (OSError, TimeoutError):
            sock.close()
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connection = Connection(sock, incarnation)
        return True

    def disconnect(self):
        self.connection.close()
        self.connection = None

    def make_request(self):
        self.n += 1
        name = f"{self.name}-{self.n}"
        body = b"x" * self.rng.randint(1, 600)
        timeout_ms = CALL_TIMEOUT_MS
        if self.kind == "stream":
            path = f"/stream/{self.rng.randint(8, 40)}"
            timeout_ms = STREAM_TIMEOUT_MS
        elif self.rng.random() < 0.1:
            path = f"/once/{self.rng.randint(500, 2000)}"
        else:
            path = (f"/{self.rng.choice(('quick', 'once'))}/"
                    f"{self.rng.randint(10, 60)}")
        head = (f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {name}\r\n"
                f"X-Deadline-Ms: {timeout_ms}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        return name, path, head, body, timeout_ms / 1000

    # Sends the request. Returns False if the connection ended, or the answer
    # came, before its last byte.
    async def send(self, head, body):
        if self.kind != "slow_body":
            await self.connection.send(head + body)
            return True
        await self.connection.send(head + body[:-1])
        await asyncio.sleep(self.rng.uniform(0, 0.4))
        if self.connection.peek() is not None:
            return False
        await self.connection.send(body[-1:])
        return True

    # Returns whether the connection can be used again.
    async def call(self):
        name, path, head, body, timeout_s = self.make_request()
        if not await self.send(head, body):
            return False
        now = time.monotonic()
        call = Call(name, self.kind, self.connection.incarnation, now,
                    now + timeout_s)
        self.test.calls.append(call)
        deadline = call.deadline + PATIENCE_S
        is_kept = await self.read_answer(call, path, deadline)
        call.ended_at = time.monotonic()
        call.end = self.connection.end
        call.is_answered = is_kept is not None
        if self.connection.data:
            call.received += self.connection.data
            self.test.wrong.append(call)
            is_kept = False
        return bool(is_kept)

    # Returns whether the connection stays open; None without whole answer.
    async def read_answer(self, call, path, deadline):
        connection = self.connection
        head = await connection.receive_until(b"\r\n\r\n", deadline)
        if head is None:
            return None
        call.received = head
        call.status = int(head.split()[1])
        fields = parse_fields(head.decode())
        if "chunked" in fields.get("transfer-encoding", ""):
            if not await self.read_stream(call, path, deadline):
                return None
        else:
            body = await connection.receive_bytes(
                int(fields["content-length"]), deadline)
            if body is None:
                return None
            call.received += body
            if call.status == 200 and body != f"answer to {call.id}".encode():
                self.test.wrong.append(call)
        return fields.get("connection", "") != "close"

    async def read_stream(self, call, path, deadline):
        events = b""
        while True:
            size = await self.connection.receive_until(b"\r\n", deadline)
            n = None if size is None else int(size, 16)
            chunk = None if n is None else await self.connection.receive_bytes(
                n + 2, deadline)
            if chunk is None:
                call.received += events[-40:]
                return False
            if n == 0:
                break
            events += chunk[:-2]
        ids = [int(it) for it in re.findall(rb"^id: (\d+)$", events, re.M)]
        if ids != list(range(1, int(path.rsplit("/", 1)[-1]) + 1)):
            self.test.wrong.append(call)
        return True


class Server(Instance):
    """An instance that is stopped and started, with little processor time."""

    def __init__(self, test, index, folder, store, arguments):
        super().__init__(index, arguments.port, folder, store, arguments.grace)
        self.test = test
        self.index = index
        self.grace = arguments.grace
        self.on_s, self.off_s = arguments.duty
        self.rng = random.Random(f"{arguments.seed} server {index}")
        self.incarnation = None
        self.is_throttled = False
        self.ran_s = 0
        self.stood_s = 0

    # The platform sends few new connections to a process that is not ready;
    # in every other round it sends all of them until the process has ended.
    def takes_connections(self, rng):
        it = self.incarnation
        return (it is not None and
                (it.term_at is None or it.round % 2 == 0 or
                 time.monotonic() < it.term_at + OUT_OF_ROTATION_S or
                 rng.random() < 0.005))

    def is_ready(self):
        connection = http.client.HTTPConnection(HOST, self.port + 1, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until_ready(self):
        deadline = time.monotonic() + 10
        while not self.is_ready() and time.monotonic() < deadline:
            time.sleep(0.05)

    # Gives the process its share of the time while it runs.
    def throttle(self):
        process = self.process
        while process.poll() is None:
            if self.off_s <= 0 or not self.is_throttled:
                time.sleep(0.005)
                continue
            stopped_at = time.monotonic()
            self.signal(signal.SIGSTOP)
            time.sleep(self.off_s)
            continued_at = time.monotonic()
            self.signal(signal.SIGCONT)
            time.sleep(self.on_s)
            self.stood_s += continued_at - stopped_at
            self.ran_s += time.monotonic() - continued_at

    def reload(self):
        self.write_settings(
            f"log_level: {self.rng.choice(('info', 'debug'))}\n")
        self.signal(signal.SIGHUP)

    def check_ready(self):
        it = self.incarnation
        if (time.monotonic() > it.term_at + UNREADY_S and self.is_ready()):
            it.was_ready_late = True

    # Does planned work at random moments of the next `span_s` seconds, and
    # returns at its end or with the process.
    def disturb(self, span_s, actions):
        end = time.monotonic() + span_s
        due = sorted((end - self.rng.uniform(0, span_s), i)
                     for i in range(len(actions)))
        for at, i in due:
            if self.wait_for_exit(at):
                return
            actions[i]()
        self.wait_for_exit(end)

    # Returns whether the process ended before `deadline`.
    def wait_for_exit(self, deadline):
        while self.process.poll() is None:
            left = deadline - time.monotonic()
            if left <= 0:
                return False
            time.sleep(min(left, 0.005))
        return True

    def run_round(self, n):
        self.is_throttled = False
        self.start()
        it = Incarnation(self.index, n, time.monotonic())
        throttle = threading.Thread(target=self.throttle, daemon=True)
        throttle.start()
        self.wait_until_ready()
        self.is_throttled = True
        self.test.incarnations.append(it)
        self.incarnation = it
        configure = self.test.configure
        self.disturb(self.rng.uniform(1.5, 2.5),
                     [self.reload, self.reload, configure, configure])
        it.term_at = time.monotonic()
        self.signal(signal.SIGTERM)
        self.disturb(self.grace, [
            self.reload, self.reload, configure, configure, configure,
            lambda: self.signal(signal.SIGTERM),
            *[lambda: threading.Thread(target=self.check_ready).start()] * 3])
        if not self.wait_for_exit(it.term_at + self.grace):
            it.was_killed = True
            self.kill()
        it.exited_at = time.monotonic()
        it.status = self.process.returncode
        self.incarnation = None
        throttle.join()

    def run(self, rounds):
        # Stops overlap, but not from the same moment on.
        time.sleep(self.index * 1.3)
        for n in range(rounds):
            self.run_round(n)


class Test:
    def __init__(self, arguments):
        self.arguments = arguments
        self.calls = []
        self.wrong = []
        self.n_extra = 0
        self.incarnations = []
        self.is_over = False
        self.lock = threading.Lock()
        self.rng = random.Random(f"{arguments.seed} configuration")
        self.tables = Tables()
        self.version = 0
        self.targets = Targets(random.Random(f"{arguments.seed} targets"))
        self.lag = LagMeter()
        self.servers = []

    def configure(self):
        with self.lock:
            self.version += 1
            self.tables.put("op", "config",
                            configuration(self.version, self.rng))

    async def run(self):
        await self.targets.start()
        self.configure()
        for i, it in enumerate(self.targets.addresses):
            self.tables.put("servers", f"t{i}", {
                "service": "s", "address": it, "zone": f"d{i}",
                "version": "v1", "slots": 64, "state": "ready", "seq": 1,
                "born": 1000})
        store = start_store(self.tables)
        folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-stop-"))
        self.servers = [Server(self, i, folder, store, self.arguments)
                        for i in range(INSTANCES)]
        lag = asyncio.create_task(self.lag.run())
        callers = [asyncio.create_task(it.run()) for it in self.make_callers()]
        try:
            await asyncio.gather(*(
                asyncio.to_thread(it.run, self.arguments.rounds)
                for it in self.servers))
        finally:
            self.is_over = True
            for it in self.servers:
                if it.process is not None and it.process.poll() is None:
                    it.kill()
        await asyncio.wait(callers, timeout=1)
        lag.cancel()
        for it in callers:
            it.cancel()
            if it.done() and not it.cancelled() and it.exception():
                raise it.exception()
        return folder

    def make_callers(self):
        for server in self.servers:
            for kind, n in (("kept", KEPT_CALLERS), ("late", LATE_CALLERS),
                            ("slow_body", SLOW_BODY_CALLERS),
                            ("stream", STREAM_CALLERS),
                            ("new", NEW_CONNECTION_CALLERS)):
                for i in range(n):
                    yield Caller(self, server, kind,
                                 f"{self.arguments.seed} {server.index} "
                                 f"{kind} {i}")

    # Returns why a call breaks the rule, or None.
    def violation(self, call):
        if call.is_answered or call.ended_at is None:
            return None
        if call.end == "silent":
            return "silent"
        runs = self.targets.runs.get(call.id, [])
        if runs:
            if call.ended_at >= call.deadline or self.is_excused(call, runs):
                return None
            return "passed_on"
        lag_ms = self.lag.lag_ms(call.sent_at, call.ended_at)
        return "unanswered" if call.age_ms() - lag_ms > LOSS_SLACK_MS else None

    # True when a target was at work in the last sixth of the grace on a
    # request that was sent early enough.
    def is_excused(self, call, runs):
        term_at = call.incarnation.term_at
        if term_at is None or call.sent_at > term_at + EARLY_S:
            return False
        last_sixth = term_at + self.arguments.grace * 5 / 6
        return any(end is None or end > last_sixth for _, end in runs)


class Logs:
    """What the instances logged of each request."""

    def __init__(self, servers):
        self.lines = collections.defaultdict(list)
        for it in servers:
            for line in it.log.read_text(errors="replace").splitlines():
                fields = dict(field.split("=", 1) for field in line.split()
                              if "=" in field)
                if "request" in fields:
                    self.lines[it.index, fields["request"]].append(
                        fields["event"] + ":" + fields.get(
                            "status", fields.get("outcome", "")))

    def of(self, call):
        return ",".join(self.lines[call.incarnation.instance, call.id]) or "-"


def describe(test, logs, kind, call):
    it = call.incarnation

    def ms(at, since):
        return ("-" if at is None or since is None
                else f"{(at - since) * 1000:.0f}")

    runs = ";".join(f"{ms(a, call.sent_at)}..{ms(b, call.sent_at)}"
                    for a, b in test.targets.runs.get(call.id, [])) or "-"
    return (f"violation={kind} request={call.id} instance={it.instance} "
            f"round={it.round} age_ms={call.age_ms():.0f} "
            f"lag_ms={test.lag.lag_ms(call.sent_at, call.ended_at):.0f} "
            f"sent_after_term_ms={ms(call.sent_at, it.term_at)} "
            f"ended_after_term_ms={ms(call.ended_at, it.term_at)} "
            f"exit_after_end_ms={ms(it.exited_at, call.ended_at)} "
            f"end={call.end} runs_ms={runs} log={logs.of(call)} "
            f"received={call.received[-60:]!r}")


def report(test, folder):
    logs = Logs(test.servers)
    counts = collections.Counter(extra_bytes=test.n_extra)
    for call in test.calls:
        kind = test.violation(call)
        if kind:
            counts[kind] += 1
            print(describe(test, logs, kind, call))
    for call in test.wrong:
        counts["wrong"] += 1
        print(describe(test, logs, "wrong", call))
    for it in test.incarnations:
        if it.was_killed:
            counts["killed"] += 1
        elif it.status != 0:
            counts["failed"] += 1
        counts["ready_late"] += it.was_ready_late
        took = (it.exited_at - it.term_at) * 1000
        print(f"stop instance={it.instance} round={it.round} "
              f"took_ms={took:.0f} status={it.status}")
    answers = collections.Counter(
        it.status for it in test.calls if it.is_answered)
    lost = sum(not it.is_answered and it.ended_at is not None
               for it in test.calls)
    ages = sorted(it.age_ms() for it in test.calls
                  if it.is_answered and it.kind == "kept")
    counts = +counts
    ran_s = sum(it.ran_s for it in test.servers)
    stood_s = sum(it.stood_s for it in test.servers)
    holds = not counts and answers[200] > 0 and answers[503] > 0
    print(f"{'ok' if holds else 'FAILED'}: violations {dict(counts)}; "
          f"{len(test.calls)} requests, answers {dict(answers)}, without "
          f"{lost}; median age {ages[len(ages) // 2]:.0f} ms, largest lag "
          f"{test.lag.largest_ms():.0f} ms; "
          f"seed {test.arguments.seed}, ran {ran_s:.1f} s of "
          f"{ran_s + stood_s:.1f} s, grace {test.arguments.grace} s, logs in "
          f"{folder}")
    return 0 if holds else 1


def parse_duty(text):
    on_ms, _, period_ms = text.partition("/")
    return int(on_ms) / 1000, (int(period_ms) - int(on_ms)) / 1000


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--grace", type=int, default=5)
    parser.add_argument("--duty", type=parse_duty, default="12/100",
                        help="milliseconds of processor time in each period")
    parser.add_argument("--port", type=int, default=28700)
    arguments = parser.parse_args()
    sys.setswitchinterval(0.0005)
    test = Test(arguments)
    return report(test, asyncio.run(test.run()))


if __name__ == "__main__":
    sys.exit(main())
