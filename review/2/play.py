"""Streams are taken up again after a power loss; a release has begun since."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins as s  # noqa: E402

EVENTS = 120
STREAMS = 16
ENGINES = 4
DOWN_S = 1
# From the start of the processes until the new server is there, and until the
# callers come back.
RELEASE_AFTER_S, BACK_AFTER_S = 1.5, 4


class Caller:
    """One stream, begun on one attempt and taken up again on another."""

    def __init__(self, case, n):
        self.case, self.n = case, n
        self.events = 0
        self.task = None

    def on_bytes(self, answer):
        self.events = self.first + answer.body.count(b"\n\n")

    async def attempt(self, name, instance, resumes=None):
        self.first = self.events
        fields = {"X-Model": "m", "X-Token-Counts": "500,840",
                  "X-Prefix-Hash": f"aa:200,b{self.n}:300"}
        if resumes:
            fields |= {"Last-Event-Id": self.events, "Resumes": resumes}
        return await s.send(
            instance.port, name, f"/guia/stream/{EVENTS}", method="POST",
            body=b"prompt %d" % self.n, deadline_ms=25000, fields=fields,
            record=self.case.record, on_bytes=self.on_bytes)


async def play(case):
    record = case.record
    engines = [s.Target(f"e{i}", "llm", record, zone=f"z{i % 2 + 1}")
               for i in range(ENGINES)]
    await case.start(engines, s.manifest(
        3, [s.route("guia", "streaming", "llm", timeout_ms=25000, aim_ms=4500,
                    attempts=5, resumable=True, sticky=True, gap_aim_ms=700)],
        [s.service("llm", engine=True)]))
    await asyncio.sleep(8)

    def instance(n):
        return case.instances[n % len(case.instances)]

    callers = [Caller(case, n) for n in range(STREAMS)]
    for it in callers:
        it.task = asyncio.create_task(it.attempt(f"first-{it.n}",
                                                 instance(it.n)))
    await asyncio.sleep(1.5)
    if s.TROUBLE:
        record("all instances are killed")
        for it in case.instances:
            it.kill()
        await asyncio.sleep(DOWN_S)
        for it in case.instances:
            it.start()
        record("all instances start again")
    else:
        for it in callers:
            it.task.cancel()
    await asyncio.gather(*(it.task for it in callers), return_exceptions=True)
    await asyncio.sleep(RELEASE_AFTER_S)
    new = s.Target("e-new", "llm", record, version="v2")
    await new.listen()
    case.targets.append(new)
    case.store.write("servers", new.name, new.row())
    record("a server of version v2 joins; all servers of v1 stay")
    await asyncio.sleep(BACK_AFTER_S - RELEASE_AFTER_S)
    back = [it for it in callers if it.events > 0]
    if len(back) < 12:
        raise s.CannotRun(f"only {len(back)} streams had begun")
    fresh = [Caller(case, STREAMS + n) for n in range(STREAMS)]
    before = {it.n: it.events for it in back}
    answers = await asyncio.gather(
        *(it.attempt(f"second-{it.n}", instance(it.n + 1), f"first-{it.n}")
          for it in back),
        *(it.attempt(f"new-{it.n}", instance(it.n)) for it in fresh))
    went_on = sum(it.events > before[it.n] for it in back)
    begun = sum(it.events > 0 for it in fresh)
    statuses = sorted({it.status for it in answers[:len(back)]})
    record.summary(
        f"{went_on} of {len(back)} streams that callers took up again went on "
        f"(answers {statuses}); {begun} of {len(fresh)} new streams began; "
        f"{ENGINES} servers of the version that began them were there")
    return went_on / len(back) >= begun / len(fresh) / 2


s.main(FOLDER, play, instances=2)
