"""Kills the peer that relays a stream whose end is the end of its channel."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins as s  # noqa: E402

EVENTS = 100
EVENT_GAP_S = 0.1
STREAMS = 12
ENGINES = 4


class Engine(s.Target):
    """Notes which instance opened the connection of each stream."""

    case = None

    async def stream(self, request, events, fields, answer_fields, writer):
        self.case.carriers[request] = s.owner_of(writer, self.case.instances)
        await super().stream(request, events, fields, answer_fields, writer)


def complete_but_short(request, answer):
    wanted = [f"id: {n}\ndata: v1 {n}\n\n" for n in range(1, EVENTS + 1)]
    return answer.status == 200 and answer.is_complete and (
        answer.body.decode() != "".join(wanted))


async def play(case):
    record = case.record
    Engine.case = case
    case.carriers = {}
    case.proxies = {0: {}}
    engines = [Engine(f"e{i}", "llm", record, zone=f"z{i % 2 + 1}",
                      event_gap_s=EVENT_GAP_S) for i in range(ENGINES)]
    for it in engines:
        it.is_unframed = True
    await case.start(engines, s.manifest(
        3, [s.route("guia", "streaming", "llm", timeout_ms=25000, aim_ms=4500,
                    attempts=5, resumable=True, sticky=True, gap_aim_ms=700)],
        [s.service("llm", engine=True)]))
    await asyncio.sleep(3)
    cut = case.instances[0]
    if s.TROUBLE:
        record(f"{cut.name} is partitioned from all servers")
        for it in case.proxies[0].values():
            it.cut()
    await asyncio.sleep(1)
    requests = []
    for n in range(STREAMS):
        requests.append(asyncio.create_task(s.send(
            cut.port, f"r{n}", f"/guia/stream/{EVENTS}", method="POST",
            body=b"prompt %d" % n, deadline_ms=25000, record=record,
            fields={"X-Model": "m", "X-Token-Counts": "500,420",
                    "X-Prefix-Hash": f"aa:200,b{n}:300"})))
        await asyncio.sleep(0.05)
    def relays():
        return [it for it in case.carriers.values()
                if it in case.instances[1:]]

    for _ in range(60):
        await asyncio.sleep(0.1)
        if len(relays()) >= STREAMS:
            break
    await asyncio.sleep(1)
    carriers = relays()
    record(f"{len(carriers)} streams are relayed by peers")
    if s.TROUBLE:
        if not carriers:
            raise s.CannotRun("no stream was relayed by a peer")
        peer = max(set(carriers), key=carriers.count)
        record(f"SIGKILL of {peer.name}, which relays "
               f"{carriers.count(peer)} streams")
        peer.kill()
        await asyncio.sleep(1)
        peer.start()
    answers = await asyncio.gather(*requests)
    short = [it for it in zip(requests, answers)
             if complete_but_short(None, it[1])]
    whole = sum(it.is_complete and not complete_but_short(None, it)
                for it in answers)
    for n, it in enumerate(answers):
        if complete_but_short(None, it):
            events = it.body.count(b"id: ")
            record(f"r{n}: ended as complete after {events} of {EVENTS} events")
    record.summary(
        f"{whole} of {STREAMS} streams whole; {len(short)} ended as complete "
        "before their last event")
    if not s.TROUBLE and whole < STREAMS:
        raise s.CannotRun("streams failed without a disruption")
    return not short


s.main(FOLDER, play, instances=3, zones=("z1", "z1", "z2"))
