"""The store returns from a copy; then a server leaves and a manifest comes."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import stand_ins as s  # noqa: E402

TARGETS = 4
COPY_AGE_S = 8
AWAY_S = 1
DRAIN_S = s.BOUNDS["drain_ms"] / 1000
CONFIG_S = s.BOUNDS["config_apply_ms"] / 1000
CONTACT_S = s.BOUNDS["contact_ms"] / 1000
KEYS = {"old": "key-of-tenant-a", "kept": "key-of-tenant-b"}


def make_manifest(version, names, keys):
    return s.manifest(
        version, [s.route(it, "non_idempotent", "app", public=False)
                  for it in names], [s.service("app")],
        [{"name": f"tenant-{it}", "api_keys": [KEYS[it]]} for it in keys])


class Callers:
    """Sends calls to each instance all the time."""

    def __init__(self, case):
        self.case = case
        self.sent = []
        self.n = 0

    async def call(self, instance, route, key):
        self.n += 1
        request = f"{route}-{key}-{instance.index}-{self.n}"
        answer = await s.send(
            instance.port, request, f"/{route}/x", method="POST", body=b"entry",
            fields={"Authorization": f"Bearer {KEYS[key]}"},
            deadline_ms=2500, record=self.case.record)
        self.sent.append((answer.sent_at, request, route, key, answer.status))

    async def run(self, until):
        calls = []
        while time.monotonic() < until:
            for it in self.case.instances:
                for route, key in (("first", "kept"), ("first", "old"),
                                   ("second", "kept")):
                    calls.append(asyncio.create_task(
                        self.call(it, route, key)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*calls)


async def play(case):
    record = case.record
    targets = [s.Target(f"t{i}", "app", record, zone=f"z{i % 2 + 1}")
               for i in range(TARGETS)]
    await case.start(targets, make_manifest(3, ["first"], ["old", "kept"]))
    await asyncio.sleep(COPY_AGE_S + 3)
    store = case.store
    if s.TROUBLE:
        record(f"store is away at version {store.ver}")
        await store.set_down(True)
        await asyncio.sleep(AWAY_S)
        store.restore(COPY_AGE_S + AWAY_S)
        copy_ver = store.ver
        # What the operator and the servers wrote is written again.
        store.write("op", "config", make_manifest(3, ["first"],
                                                  ["old", "kept"]))
        for it in targets:
            store.write("servers", it.name, it.row())
        await store.set_down(False)
        record(f"store is back, era {store.era}, copy of version {copy_ver}, "
               f"now at {store.ver}")
    back_at = time.monotonic()
    callers = Callers(case)
    load = asyncio.create_task(callers.run(back_at + 11))
    # Acknowledgements bind only while the store is stable.
    await asyncio.sleep(CONTACT_S + 0.05)
    store.write("op", "config", make_manifest(5, ["first", "second"],
                                              ["kept"]))
    config_ack = time.monotonic()
    record(f"ack of manifest 5: adds route second, takes away the key of "
           f"tenant-old; store at {store.ver}")
    leaving = targets[0]
    leaving.state = "draining"
    leaving.says_leaving = True
    store.write("servers", leaving.name, leaving.row())
    drain_ack = time.monotonic()
    record(f"ack of {leaving.name} draining; store at {store.ver}")
    await load
    # Machines are in touch CONTACT_S after the store is back.
    config_due, drain_due = config_ack + CONFIG_S, drain_ack + DRAIN_S
    ran = {request for it in targets for _, request in it.arrivals}
    revoked = [it for it in callers.sent if it[0] > config_due
               and it[3] == "old" and it[1] in ran]
    missing = [it for it in callers.sent if it[0] > config_due
               and it[2] == "second" and it[4] == 404]
    sent_at = {it[1]: it[0] for it in callers.sent}
    late = [request for at, request in leaving.arrivals
            if at > drain_due and sent_at[request] > drain_due]
    for name, found in (("ran with a revoked key", [it[1] for it in revoked]),
                        ("404 on the new route", [it[1] for it in missing]),
                        ("sent to the leaving server", late)):
        record(f"{name}: {found}")
    last = max([it[0] for it in revoked + missing], default=config_due)
    record.summary(
        f"after the bound: {len(revoked)} requests ran with a revoked key, "
        f"{len(missing)} got 404 on the new route, {len(late)} reached the "
        f"leaving server; the last {last - config_ack:.2f} s after the ack")
    served = sum(it[4] == 200 for it in callers.sent)
    if served < 50:
        raise s.CannotRun(f"only {served} calls were served")
    return not (revoked or missing or late)


s.main(FOLDER, play, instances=2)
