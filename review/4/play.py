"""A server leaves while the store is down; its answers say that it leaves."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins as s  # noqa: E402

TARGETS = 3
# Longest outage of the store in the sheets' days (platform_down, reset).
OUTAGE_S = 8
DRAIN_S = s.BOUNDS["drain_ms"] / 1000
# An entry lapses after three status report intervals of silence.
LAPSE_S = 3 * s.HEARTBEAT_S
# A leaving server serves for drain_ms after that and a little longer.
LINGER_S = 0.5


async def play(case):
    record = case.record
    targets = [s.Target(f"t{i}", "app", record, zone=f"z{i % 2 + 1}",
                        work_s=0.2) for i in range(TARGETS)]
    await case.start(targets, s.manifest(
        3, [s.route("enrol", "non_idempotent", "app")], [s.service("app")]))
    await asyncio.sleep(3)
    leaving = targets[0]
    if s.TROUBLE:
        await case.store.set_down(True)
        record("the store is down")
    down_at = time.monotonic()
    await asyncio.sleep(0.3)
    leaving.says_leaving = True
    case.targets.remove(leaving)
    record(f"{leaving.name} is leaving: it reports no more, all its answers "
           "say Server-Leaving: 1")
    sent_at, told_at, answers, calls = {}, {}, {}, []

    async def call(instance, n):
        request = f"enrol-{instance.index}-{n}"
        sent_at[request] = time.monotonic()
        answer = await s.send(instance.port, request, "/enrol/x", method="POST",
                              body=b"entry", deadline_ms=2500, record=record)
        answers[request] = answer
        if "server-leaving" in answer.fields:
            told_at.setdefault(instance.index, answer.ended_at)

    async def leave():
        await asyncio.sleep(LAPSE_S if s.TROUBLE else 0)
        case.store.write("servers", leaving.name, None)
        record(f"the entry of {leaving.name} is removed")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await leaving.leave_process()
        record(f"{leaving.name} exits with {leaving.running} requests open")

    leave_task = asyncio.create_task(leave())
    n = 0
    while time.monotonic() < down_at + OUTAGE_S - 1:
        n += 1
        calls += [asyncio.create_task(call(it, n)) for it in case.instances]
        await asyncio.sleep(0.05)
    await asyncio.gather(leave_task, *calls)
    if s.TROUBLE:
        await case.store.set_down(False)
        record("the store is back")
    late = []
    for at, request in leaving.arrivals:
        index = int(request.split("-")[1])
        if index in told_at and sent_at[request] > told_at[index] + DRAIN_S:
            late.append(request)
    lost = [it for it in late if answers[it].status != 200]
    for index, at in told_at.items():
        record(f"{case.instances[index].name} passed on Server-Leaving first "
               f"at {at - record.began_at:.3f}")
    record(f"reached {leaving.name} too late: {late}")
    record(f"of these without an answer of the server: {lost}")
    record.summary(
        f"{len(late)} requests, sent more than drain_ms after their machine "
        f"had passed on Server-Leaving, reached {leaving.name}; {len(lost)} of "
        f"these were lost with it; {len(sent_at)} sent in all")
    if s.TROUBLE and not told_at:
        raise s.CannotRun("no answer of the leaving server was passed on")
    return not late


s.main(FOLDER, play, instances=2)
