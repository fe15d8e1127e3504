"""STALE: a replica that lags is promoted, although a live replica holds all acknowledged commits,
because that one answers the survey's new connection with CONNLIMIT."""
import asyncio
import bisect
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import TROUBLE, Backend, Deployment, now, play  # noqa: E402

# As on nilehorn-pool: 8 machines, 23 connections, 3 slots, 30 ms a read, 1 s a promote.
GATEWAYS, MAX_CONNECTIONS, SLOTS, WORK_S, PROMOTE_S = 8, 23, 3, 0.03, 1.0
STALENESS_S = 1.5  # MaxStalenessMs of the route
DEAF_S = 6.5       # for_s of replica_lag, how = "deaf crash"; its primary crashes halfway


def find_stale_reads(deployment, requesters, keeper):
    """Reads at a backend whose log lacks a commit that was acknowledged more than the staleness
    before the read was sent, and that is not rolled back: `keeper` still holds it."""
    sent = {answer[0]: answer for requester in requesters for answer in requester.answers}
    kept = set(keeper.log)
    acked = sorted((answer[3], deployment.group.commits[number]) for number, answer in sent.items()
                   if answer[1].startswith("WRITE") and answer[4].startswith("COMPLETE")
                   and deployment.group.commits[number] in kept)
    times = [at for at, _ in acked]
    stale = []
    for backend in deployment.group.backends.values():
        held = set(backend.log)
        for at, number, text, last in backend.runs:
            read = sent.get(number)
            if not read or read[4] != f"COMPLETE {number}.{backend.name}" or \
                    not read[1].startswith("READ"):
                continue  # A write, or it was refused here and ran elsewhere.
            before = bisect.bisect_left(times, read[2] - STALENESS_S)
            missed = before and acked[before - 1][1]
            if missed and missed not in held and (last is None or last[0] > missed[0]
                                                  or last < missed):
                stale.append((at, backend.name, number, read[2], last, missed))
    return stale, sum(entry not in set(deployment.group.get_primary().log) for _, entry in acked)


async def case():
    Backend.SLOTS, Backend.WORK_S = SLOTS, WORK_S
    deployment = Deployment(HERE, GATEWAYS, MAX_CONNECTIONS)
    deployment.group.promote_s = PROMOTE_S
    record = deployment.record
    try:
        if not await deployment.start():
            return 2
        gateways = deployment.fleet.gateways
        item = lambda: f"{random.randrange(2000):x}"
        requesters = [deployment.request(gateway, "batchlog", lambda: f"WRITE {item()} x", 0.3)
                      for gateway in gateways]
        requesters += [deployment.request(gateway, "recipes", lambda: f"READ {item()}", 0.1)
                       for gateway in gateways for _ in range(4)]
        await asyncio.sleep(10)
        primary, lagging, full = deployment.group.backends.values()
        if TROUBLE:
            lagging.is_deaf = True
            record.add(f"{lagging.name}: receives nothing from now on")
        await asyncio.sleep(DEAF_S / 2)
        if TROUBLE:
            primary.crash()
        await asyncio.sleep(1.3)
        if TROUBLE:
            full.is_deaf = True
            record.add(f"{full.name}: receives nothing from now on, log at {full.position()}")
        await asyncio.sleep(DEAF_S / 2 - 1.3)
        lagging.is_deaf = False  # It is primary by now, or it catches up.
        await asyncio.sleep(DEAF_S / 2 + 0.8)
        stale, lost = find_stale_reads(deployment, requesters, full)
        served = sum(answer[4].startswith("COMPLETE") for requester in requesters
                     for answer in requester.answers)
        for at, backend, number, sent_at, last, missed in stale:
            record.add(f"STALE: {number}, sent at {sent_at:.4f}, ran at {backend} with the log at"
                       f" {last}, without the acknowledged commit {missed}", at)
        verdict = (f"{len(stale)} stale reads; {lost} acknowledged commits are not in the log of"
                   f" the primary; {full.name} refused {len(full.refused)} connections;"
                   f" {served} statements served; promoted:"
                   f" {[name for _, name, _ in deployment.group.promotions]}")
        record.add("verdict: " + verdict)
        print(verdict)
        return 2 if served < 100 else 1 if stale else 0
    finally:
        await deployment.end()


play(case)
