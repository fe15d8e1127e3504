"""DRAIN: a backend gets new statements more than DrainMs after its `draining` was acknowledged,
because the open connections to the store went silent while no watch was open."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import TROUBLE, Deployment, find_free_ports, play  # noqa: E402

DRAIN_S = 7.0  # Bounds.DrainMs


async def case():
    deployment = Deployment(HERE)
    record = deployment.record
    try:
        if not await deployment.start():
            return 2
        gateways = deployment.fleet.gateways
        item = lambda: f"{random.randrange(2000):x}"
        deployment.request(gateways[0], "batchlog", lambda: f"WRITE {item()} x", 0.05)
        readers = [deployment.request(gateway, "recipes", lambda: f"READ {item()}", 0.02)
                   for gateway in gateways for _ in range(2)]
        await asyncio.sleep(18)
        # Planned work: a new backend starts first, then the old one reports `draining`.
        leaving = deployment.group.backends["i-0000000003"]
        await deployment.group.add("i-0000000004", leaving.zone, find_free_ports(1)[0], "replica")
        record.add("i-0000000004: listed as ready")
        await asyncio.sleep(0.1)
        leaving.state = "draining"
        acked_at = await leaving.publish()
        record.add(f"{leaving.name}: draining, acknowledged", acked_at)
        await asyncio.sleep(0.6)
        if TROUBLE:
            deployment.store.http.silence()
            record.add("store: the open connections go silent, new ones work")
        await asyncio.sleep(12)
        late = [run for run in leaving.runs if run[0] > acked_at + DRAIN_S]
        late_sent = {answer[0] for reader in readers for answer in reader.answers}
        late = [run for run in late if run[1] in late_sent]
        served = sum(answer[4].startswith("COMPLETE") for reader in readers
                     for answer in reader.answers)
        last = max((run[0] - acked_at for run in leaving.runs), default=0)
        verdict = (f"{len(late)} statements reached {leaving.name} later than {DRAIN_S} s after its"
                   f" draining was acknowledged; the last one after {last:.2f} s;"
                   f" {served} reads served")
        record.add("verdict: " + verdict)
        print(verdict)
        return 2 if served < 100 else 1 if late else 0
    finally:
        await deployment.end()


play(case)
