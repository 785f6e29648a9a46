#!/usr/bin/env python3
"""Partitions real instances from targets and compares first attempts.

Runs instances of the forwarding interface as processes, with targets, proxies
in front of them and table services, all in this program. For CUT_S some
instances are cut off from targets, while callers, peers and the table service
reach them. CONTACT_S after the cut began, the cut instances must serve first
attempts at least two thirds as often as the others.
"""
import argparse
import asyncio
import collections
import dataclasses
import enum
import json
import pathlib
import random
import statistics
import sys
import tempfile
import time

from partitioned_stand_ins import (
    HOST, Arrivals, Cut, Instance, Proxy, TableService, Target, answer_body,
    body_of, encode, format_event, format_head, read_head)

INSTANCES = 4
DOMAINS = ("d0", "d1")
TARGETS = 6
ENGINES = 6
SLOTS = 12
REQUESTS_PER_S = 15
LATENCY_MS = 150
STREAM_LATENCY_MS = 600
PLAIN_DEADLINE_MS = 2500
STREAM_DEADLINE_MS = 12000
EVENT_COUNTS = (20, 30)
# Callers abandon a stream after such a pause: eight times its gap objective.
STREAM_GAP_MS = 400
STREAM_PATIENCE_S = 8 * STREAM_GAP_MS / 1000
CONNECT_S = 1
KEPT_SHARE = 0.6

START_S = 3
BEFORE_S = 3
CUT_S = 6
AFTER_S = 3
CONTACT_S = 3
HEALED_S = 2
# Answers to later requests may begin after the cut within their objective.
JUDGED_END_S = BEFORE_S + CUT_S - STREAM_LATENCY_MS / 1000
DRAIN_S = 1

SERVED_RATIO = 2 / 3
FAILURES = 10
FAILURE_SHARE = 1 / 50
PROMISES = (408, 421, 429, 503)
BLOCKING_LOG_LINES = ("blocked=true", "reason=condemned", "prompt_part_blocked")


class Kind(enum.Enum):
    IDEMPOTENT = "idempotent"
    RUN_ONCE = "run_once"
    STREAM = "stream"


KIND_WEIGHTS = {Kind.IDEMPOTENT: 5, Kind.RUN_ONCE: 3, Kind.STREAM: 2}


class Outcome(enum.Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    WRONG = "wrong"


class Phase(enum.Enum):
    BEFORE = "before"
    CUT = "cut"
    JUDGED = "judged"
    ENDING = "ending"
    HEALING = "healing"
    HEALED = "healed"


def phase_at(elapsed_s):
    ends = ((BEFORE_S, Phase.BEFORE), (BEFORE_S + CONTACT_S, Phase.CUT),
            (JUDGED_END_S, Phase.JUDGED), (BEFORE_S + CUT_S, Phase.ENDING),
            (BEFORE_S + CUT_S + HEALED_S, Phase.HEALING))
    return next((it for end, it in ends if elapsed_s < end), Phase.HEALED)


@dataclasses.dataclass
class Request:
    id: str
    kind: Kind
    instance: int
    phase: Phase
    keeps_connection: bool
    events: int
    outcome: Outcome = Outcome.FAILED
    status: int = 0
    # Seconds from the start of the run to the answer.
    answered_s: float = float("inf")
    took_s: float = 0
    detail: str = "no answer"

    @property
    def is_served(self):
        return self.outcome is Outcome.SERVED

    @property
    def is_served_in_cut(self):
        return self.is_served and self.answered_s < BEFORE_S + CUT_S

    @property
    def path(self):
        return {Kind.IDEMPOTENT: f"/a/{self.id}",
                Kind.RUN_ONCE: f"/b/{self.id}",
                Kind.STREAM: f"/s/{self.id}/{self.events}"}[self.kind]

    @property
    def deadline_ms(self):
        return (STREAM_DEADLINE_MS if self.kind is Kind.STREAM
                else PLAIN_DEADLINE_MS)

    def head(self):
        fields = {"Host": "h", "X-Attempt-Id": self.id,
                  "X-Deadline-Ms": self.deadline_ms}
        if not self.keeps_connection:
            fields["Connection"] = "close"
        if self.kind is Kind.IDEMPOTENT:
            return format_head(f"GET {self.path} HTTP/1.1", fields)
        if self.kind is Kind.STREAM:
            fields |= {"X-Model": "m", "X-Token-Counts": f"200,{self.events}",
                       "X-Prefix-Hash": f"aa:150,{self.id}:50"}
        body = body_of(self.id)
        return format_head(f"POST {self.path} HTTP/1.1", {
            **fields, "Content-Length": len(body)}) + body


def route(name, prefix, kind, service, **fields):
    return {"name": name, "host": "h", "prefix": prefix, "route_kind": kind,
            "timeout_ms": PLAIN_DEADLINE_MS, "target_latency_ms": LATENCY_MS,
            "priority": 1, "service": service, "max_attempts": 5,
            "public": True, **fields}


def configuration():
    return {
        "version": 1,
        "routes": [
            route("a", "/a/", "idempotent", "plain"),
            route("b", "/b/", "non_idempotent", "plain"),
            route("s", "/s/", "streaming", "engine", resumable=True,
                  timeout_ms=STREAM_DEADLINE_MS, gap_aim_ms=STREAM_GAP_MS,
                  target_latency_ms=STREAM_LATENCY_MS, sticky=True)],
        "services": [
            {"name": "plain", "health_path": "/healthz", "max_conns": 200},
            {"name": "engine", "health_path": "/healthz", "max_conns": 200,
             "engine": {"slots": SLOTS, "kv_capacity": 1000000, "stride": 1,
                        "backups": False, "moves": False, "handle_s": 5}}],
        "limits": {"idle_timeout_ms": 30000}}


class BadAnswer(Exception):
    pass


def reason_of(body):
    try:
        return json.loads(body)["error"]["reason"]
    except (ValueError, KeyError, TypeError):
        return repr(body)


class Callers:
    """Sends each request once and reads its answer."""

    def __init__(self, ports):
        self.ports = ports
        self.began = time.monotonic()
        self.idle = collections.defaultdict(list)

    async def send(self, request):
        began = time.monotonic()
        try:
            await asyncio.wait_for(self.exchange(request),
                                   request.deadline_ms / 1000)
        except BadAnswer as error:
            request.outcome, request.detail = Outcome.WRONG, str(error)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            request.detail = type(error).__name__
        request.took_s = time.monotonic() - began

    async def connect(self, request):
        idle = self.idle[request.instance]
        while request.keeps_connection and idle:
            reader, writer = idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.wait_for(asyncio.open_connection(
            HOST, self.ports[request.instance]), CONNECT_S)

    async def exchange(self, request):
        reader, writer = await self.connect(request)
        is_reusable = False
        try:
            writer.write(request.head())
            head = await read_head(reader)
            request.answered_s = time.monotonic() - self.began
            request.status = int(head.first[1])
            if request.status == 200:
                await self.read_success(request, head, reader)
                request.outcome = Outcome.SERVED
            else:
                request.outcome = (Outcome.REFUSED if request.status in PROMISES
                                   else Outcome.FAILED)
                body = await reader.readexactly(head.number("content-length"))
                request.detail = f"{request.status} {reason_of(body)}"
            is_reusable = (request.keeps_connection and
                           head.text("connection").lower() != "close")
        finally:
            if is_reusable:
                self.idle[request.instance].append((reader, writer))
            else:
                writer.close()

    async def read_success(self, request, head, reader):
        if (head.text("x-attempt-id") != request.id or
                head.text("x-server-seal") != "s"):
            raise BadAnswer(f"answer of {head.text('x-attempt-id')}")
        if request.kind is Kind.STREAM:
            await self.read_stream(request, reader)
            return
        body = await reader.readexactly(head.number("content-length"))
        if body != answer_body(request.id, request.path):
            raise BadAnswer(f"body {body!r}")

    # Fails unless all events arrive, in order, before the end of the answer.
    async def read_stream(self, request, reader):
        expected = b"".join(format_event(request.id, n + 1)
                            for n in range(request.events))
        received = b""
        while True:
            line = await asyncio.wait_for(reader.readline(), STREAM_PATIENCE_S)
            if not line.endswith(b"\r\n"):
                raise EOFError
            size = int(line, 16)
            data = (await reader.readexactly(size + 2))[:-2]
            received += data
            if not expected.startswith(received):
                raise BadAnswer(f"event after {received[:-len(data)][-40:]!r}: "
                                f"{data!r}")
            if size == 0:
                break
        if received != expected:
            raise BadAnswer(f"end after {received[-40:]!r}")

    def close(self):
        for idle in self.idle.values():
            for _, writer in idle:
                writer.close()


class Cluster:
    """Instances with a table service and proxies each, and their targets."""

    # Ports of one cluster: instances, then proxies.
    PORTS = INSTANCES * (Instance.PORTS + TARGETS + ENGINES)

    def __init__(self, first_port, folder, has_tunnels, rng):
        self.first_port = first_port
        self.folder = folder
        self.has_tunnels = has_tunnels
        self.arrivals = Arrivals()
        self.targets = [
            Target(f"{service[0]}{i}", service, DOMAINS[i % 2], SLOTS,
                   self.arrivals, rng)
            for service, n in (("plain", TARGETS), ("engine", ENGINES))
            for i in range(n)]
        self.proxies = []
        self.instances = []

    async def start(self):
        for it in self.targets:
            await it.listen()
        ports = [self.first_port + i * Instance.PORTS for i in range(INSTANCES)]
        proxy_port = self.first_port + INSTANCES * Instance.PORTS
        for i, port in enumerate(ports):
            proxies = [Proxy(proxy_port + n, it, i, self.arrivals)
                       for n, it in enumerate(self.targets)]
            proxy_port += len(proxies)
            self.proxies += proxies
            store = TableService({
                "op": {"config": encode(configuration())},
                "servers": {it.target.name: encode(it.target.row(it.port))
                            for it in proxies}})
            self.instances.append(Instance(
                i, DOMAINS[i // 2], port, [it + 3 for it in ports[:3]],
                await store.listen(), self.folder, self.has_tunnels))

    def stop(self):
        for it in self.instances:
            it.kill()
        for it in self.proxies:
            it.close()


@dataclasses.dataclass
class Plan:
    variant: str
    how: Cut
    instances: set
    targets: set

    def proxies(self, cluster):
        return [it for it in cluster.proxies if it.index in self.instances and
                it.target.name in self.targets]


# Instances 0 and 1 are in one domain, 2 and 3 in the other.
def choose_instances(number, rng):
    domain = rng.randrange(2) * 2
    return [{rng.randrange(INSTANCES)},
            {rng.randrange(2), 2 + rng.randrange(2)},
            {domain, domain + 1}][number % 3]


def make_plan(variant, seed, cluster, rng):
    names = [it.name for it in cluster.targets]
    how = (rng.choice(list(Cut)) if variant == "partial" else Cut(variant))
    if variant == "partial":
        names = (rng.sample(names[:TARGETS], TARGETS // 2) +
                 rng.sample(names[TARGETS:], ENGINES // 2))
    return Plan(variant, how,
                choose_instances(seed + VARIANTS.index(variant), rng),
                set(names))


class Run:
    """One variant: a cluster under load that is cut and healed."""

    def __init__(self, plan, cluster, rng):
        self.plan = plan
        self.cluster = cluster
        self.rng = rng
        self.requests = []
        self.began = 0
        self.slowest_wakeup_s = 0
        self.ended = []

    async def play(self):
        cluster = self.cluster
        try:
            await cluster.start()
            await asyncio.sleep(START_S)
            callers = Callers([it.port for it in cluster.instances])
            self.began = callers.began
            watch = asyncio.create_task(self.watch_delay())
            await asyncio.gather(self.disturb(), *(
                self.call(i, callers) for i in range(INSTANCES)))
            await asyncio.sleep(DRAIN_S)
            self.ended = [it.index for it in cluster.instances
                          if not it.is_running()]
            watch.cancel()
            callers.close()
        finally:
            cluster.stop()

    async def disturb(self):
        proxies = self.plan.proxies(self.cluster)
        await self.sleep_until(BEFORE_S)
        for it in proxies:
            it.cut(self.plan.how)
        await self.sleep_until(BEFORE_S + CUT_S)
        for it in proxies:
            it.heal()

    async def sleep_until(self, elapsed_s):
        await asyncio.sleep(
            max(0, self.began + elapsed_s - time.monotonic()))

    async def call(self, instance, callers):
        rng = random.Random(self.rng.random())
        at, n, sent = 0, 0, []
        while (at := at + rng.expovariate(REQUESTS_PER_S)) < (
                BEFORE_S + CUT_S + AFTER_S):
            await self.sleep_until(at)
            n += 1
            request = Request(
                f"{instance}x{n:04x}",
                rng.choices(*zip(*KIND_WEIGHTS.items()))[0], instance,
                phase_at(at), rng.random() < KEPT_SHARE,
                rng.randint(*EVENT_COUNTS))
            self.requests.append(request)
            sent.append(asyncio.create_task(callers.send(request)))
        await asyncio.gather(*sent)

    async def watch_delay(self):
        period_s = 0.05
        while True:
            before = time.monotonic()
            await asyncio.sleep(period_s)
            self.slowest_wakeup_s = max(
                self.slowest_wakeup_s,
                time.monotonic() - before - period_s)


class Report:
    """Figures of a run and the rules that it broke."""

    def __init__(self, run):
        self.run = run
        self.cut = run.plan.instances
        self.arrivals = run.cluster.arrivals.by_request()
        self.instance_of = {it.id: it.instance for it in run.requests}
        self.violations = []

    def is_indirect(self, arrival):
        return arrival.via != self.instance_of.get(arrival.request)

    def check(self):
        self.check_recovery()
        self.check_others()
        self.check_answers()
        self.check_runs()
        self.check_way()
        self.check_logs()
        return self.violations

    def select(self, phase, is_cut, kind=None):
        return [it for it in self.run.requests
                if it.phase is phase and (it.instance in self.cut) == is_cut
                and kind in (None, it.kind)]

    def check_recovery(self):
        cut = self.select(Phase.JUDGED, True)
        others = self.select(Phase.JUDGED, False)
        served = sum(it.is_served_in_cut for it in cut)
        served_others = sum(it.is_served_in_cut for it in others)
        failures = len(cut) - served
        allowed = FAILURES + FAILURE_SHARE * (len(cut) + len(others))
        if (served / len(cut) < SERVED_RATIO * served_others / len(others) and
                failures > allowed):
            self.violations.append(
                f"cut instances served {served} of {len(cut)} first attempts, "
                f"the others {served_others} of {len(others)}; "
                f"{failures} failed, {allowed:.1f} allowed")

    def check_others(self):
        sent = [it for it in self.run.requests if it.instance not in self.cut]
        failures = sum(not it.is_served for it in sent)
        if failures > FAILURES + FAILURE_SHARE * len(sent):
            self.violations.append(
                f"{failures} of {len(sent)} first attempts failed at the "
                f"instances that were not cut")

    def check_answers(self):
        for it in self.run.requests:
            if it.outcome is Outcome.WRONG:
                self.violations.append(f"wrong answer to {it.id}: {it.detail}")
            is_in_bound = it.instance not in self.cut or it.phase not in (
                Phase.BEFORE, Phase.CUT)
            if (it.kind is Kind.STREAM and it.status == 200 and is_in_bound and
                    not it.is_served):
                self.violations.append(
                    f"stream {it.id} sent {it.phase.value} broke off: "
                    f"{it.detail}")
        for it in self.run.cluster.arrivals.altered:
            self.violations.append(f"{it} arrived altered")

    def check_runs(self):
        for it in self.run.requests:
            runs = sum(a.is_run for a in self.arrivals[it.id])
            if it.kind is Kind.RUN_ONCE and runs > 1:
                self.violations.append(f"{it.id} ran {runs} times")
            if it.outcome is Outcome.REFUSED and runs:
                self.violations.append(
                    f"{it.kind.value} {it.id} sent {it.phase.value} ran "
                    f"{runs} times and was refused: {it.detail}")

    def check_way(self):
        began_at = self.run.began + BEFORE_S
        healed_at = began_at + CUT_S + HEALED_S
        arrivals = self.run.cluster.arrivals.all
        unknown = {it.request for it in arrivals} - self.instance_of.keys()
        if unknown:
            self.violations.append(f"unknown requests arrived: {unknown}")
        for time_name, selected in (
                ("before the cut", [it for it in arrivals if it.at < began_at]),
                ("after healing", [it for it in arrivals
                                   if it.at >= healed_at])):
            indirect = sum(map(self.is_indirect, selected))
            if indirect:
                self.violations.append(
                    f"{indirect} of {len(selected)} arrivals {time_name} came "
                    f"through peers")
        silent = self.cut - {it.via for it in arrivals if it.at >= healed_at}
        if silent:
            self.violations.append(
                f"nothing arrived from {sorted(silent)} after healing")

    def check_logs(self):
        if self.run.ended:
            self.violations.append(
                f"instances {self.run.ended} ended by themselves")
        for it in self.run.cluster.instances:
            lines = [line for line in it.log.read_text().splitlines()
                     if any(word in line for word in BLOCKING_LOG_LINES)]
            if lines:
                self.violations.append(
                    f"i{it.index} blocked innocent requests, {len(lines)} "
                    f"lines such as: {lines[0]}")

    def print(self):
        plan, run = self.run.plan, self.run
        print(f"{plan.variant}: {plan.how.value}, instances "
              f"{sorted(plan.instances)} cut from {len(plan.targets)} of "
              f"{len(run.cluster.targets)} targets; served/sent")
        for phase in Phase:
            for is_cut in (True, False):
                counts = (f"{it.value} {self.count(phase, is_cut, it)}"
                          for it in Kind)
                print(f"  {phase.value:8} {'cut' if is_cut else 'others':6}",
                      *counts, self.failures(phase, is_cut), sep="  ")
        indirect = sum(map(self.is_indirect, run.cluster.arrivals.all))
        print("  judged, answered before the cut ended: cut "
              f"{self.count_judged(True)}, others {self.count_judged(False)}")
        print(f"  {len(run.cluster.arrivals.all)} arrivals, {indirect} through "
              f"peers; stand-ins woke up {run.slowest_wakeup_s * 1000:.0f} ms "
              f"late at most")
        for it in self.violations:
            print(f"  VIOLATION {it}")

    def count(self, phase, is_cut, kind):
        sent = self.select(phase, is_cut, kind)
        return f"{sum(it.is_served for it in sent)}/{len(sent)}"

    def count_judged(self, is_cut):
        sent = self.select(Phase.JUDGED, is_cut)
        served = [it for it in sent if it.is_served_in_cut]
        plain_ms = [it.took_s * 1000 for it in served
                    if it.kind is not Kind.STREAM]
        median = f"{statistics.median(plain_ms):.0f}" if plain_ms else "-"
        return f"{len(served)}/{len(sent)} (plain: median {median} ms)"

    def failures(self, phase, is_cut):
        failed = collections.Counter(
            it.detail for it in self.select(phase, is_cut) if not it.is_served)
        return ", ".join(f"{n} x {it}" for it, n in failed.most_common())


VARIANTS = ("hang", "reset", "half_open", "partial")


async def play_all(arguments, folder):
    variants = VARIANTS if arguments.variant == "all" else (arguments.variant,)

    async def play(number, variant):
        rng = random.Random(f"{arguments.seed} {variant}")
        # The next cluster starts while the streams of this one end.
        await asyncio.sleep(number * (BEFORE_S + CUT_S + AFTER_S))
        (folder / variant).mkdir()
        cluster = Cluster(arguments.port + number * Cluster.PORTS,
                          folder / variant, arguments.tunnels,
                          random.Random(rng.random()))
        plan = make_plan(variant, arguments.seed, cluster, rng)
        run = Run(plan, cluster, rng)
        await run.play()
        return Report(run)

    return await asyncio.gather(*(
        play(n, it) for n, it in enumerate(variants)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--variant", choices=("all",) + VARIANTS, default="all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=29100)
    parser.add_argument("--tunnels", default=True,
                        action=argparse.BooleanOptionalAction,
                        help="give each instance a listener for tunnels")
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="daisypond-partitioned-"))
    violations = 0
    for it in asyncio.run(play_all(arguments, folder)):
        violations += len(it.check())
        it.print()
    print(f"{'FAILED' if violations else 'ok'}: {violations} violations; "
          f"seed {arguments.seed}, logs in {folder}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
