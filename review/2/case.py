"""STALE: a VM that restarts is taken off the member list by the late write of its predecessor and
goes on using the primary while it is replaced."""
import asyncio
import bisect
import itertools
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import TROUBLE, Deployment, play  # noqa: E402

# A lost write is done 1 to 6 s later (platform_lost, how = "late"): here as soon as the next
# process of that machine has registered and read the list.
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0
READ_S = 0.06  # A read of the list takes 10 ms here.


def find_stale_reads(deployment, requesters):
    """Reads on the `primary` route at a backend whose log lacks a commit that was acknowledged
    before the read was sent, unless a promotion rolled the commit back."""
    sent = {answer[0]: answer for requester in requesters for answer in requester.answers}
    acked = [(answer[3], deployment.group.commits[number]) for number, answer in sent.items()
             if answer[1].startswith("WRITE") and answer[4].startswith("COMPLETE")]
    for _, _, kept in deployment.group.promotions:
        start = max((entry[0] for entry in kept), default=0)
        acked = [(at, entry) for at, entry in acked if entry[0] > start or entry in kept]
    acked.sort()
    times = [at for at, _ in acked]
    newest = list(itertools.accumulate((entry for _, entry in acked), max))
    stale = []
    for backend in deployment.group.backends.values():
        for at, number, text, last in backend.runs:
            read = sent.get(number)
            if not read or read[4] != f"COMPLETE {number}.{backend.name}" or \
                    not read[1].startswith("READ"):
                continue  # A write, or it was refused here and ran elsewhere.
            before = bisect.bisect_left(times, read[2])
            if before and (last is None or newest[before - 1] > last):
                stale.append((at, backend.name, number, read[2], last, newest[before - 1]))
    return stale


async def case():
    deployment = Deployment(HERE)
    record = deployment.record
    try:
        if not await deployment.start():
            return 2
        first, second, third = deployment.fleet.gateways
        item = lambda: f"{random.randrange(2000):x}"
        writers = [deployment.request(gateway, "batchlog", lambda: f"WRITE {item()} x", 0.01)
                   for gateway in (first, second) for _ in range(2)]
        await asyncio.sleep(18)
        # Planned work: one gateway is restarted.
        removed, registered, done = asyncio.Event(), asyncio.Event(), asyncio.Event()
        key = f"vm/{third.name}"

        async def wait_for_registration():
            await asyncio.sleep(MIN_LATE_S)
            try:
                await asyncio.wait_for(registered.wait(), MAX_LATE_S - MIN_LATE_S - READ_S)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(READ_S)
            done.set()

        def make_late(call):
            if key in [row["Key"] for row in call.get("Puts", [])]:
                registered.set()
            if key in [row["Key"] for row in call.get("Remove", [])]:
                removed.set()
                return wait_for_registration() if TROUBLE else None
            return None

        deployment.store.late = make_late
        third.process.send_signal(signal.SIGTERM)
        record.add(f"{third.name}: SIGTERM")
        await asyncio.wait_for(removed.wait(), 8)
        await third.process.wait()
        record.add(f"{third.name}: exited")
        await asyncio.sleep(0.2)
        await third.start()
        readers = [deployment.request(third, "batchlog", lambda: f"READ {item()}", 0.005)
                   for _ in range(4)]
        await asyncio.wait_for(registered.wait(), 8)
        await (done.wait() if TROUBLE else asyncio.sleep(READ_S))
        # Planned work: the primary is replaced.
        await asyncio.sleep(0.02)
        leaving = deployment.group.backends["i-0000000001"]
        leaving.state = "draining"
        record.add(f"{leaving.name}: draining, acknowledged", await leaving.publish())
        await asyncio.sleep(8)
        stale = find_stale_reads(deployment, writers + readers)
        served = sum(answer[4].startswith("COMPLETE") for requester in writers + readers
                     for answer in requester.answers)
        for at, backend, number, sent_at, last, missed in stale:
            record.add(f"STALE: {number}, sent at {sent_at:.4f}, ran at {backend} with the log at"
                       f" {last}, without the acknowledged commit {missed}", at)
        verdict = f"{len(stale)} stale reads; {served} statements served;" \
                  f" {len(deployment.group.promotions)} promotions"
        record.add("verdict: " + verdict)
        print(verdict)
        return 2 if served < 100 or not deployment.group.promotions else 1 if stale else 0
    finally:
        await deployment.end()


play(case)
