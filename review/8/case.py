"""FAILBACK when a machine restarts while a zone is taken back: see claim.txt."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import Deployment, run  # noqa: E402

COLD_PER_S = 6.0
SLOW_START_S = 2.0
OVERSHOOT = 1.5  # slow_start_overshoot
SLACK = 5  # slow_start_slack
EVACUATION_S = 8.0
PER_S = 100  # New flows a second of each zone's clients, at two machines.


async def case(trouble, started):
    deployment = Deployment(os.path.join(HERE, "record.txt"), {"a": 2, "b": 2},
                            cold_per_s=COLD_PER_S, slow_start_s=SLOW_START_S)
    started(deployment)
    record, store = deployment.record, deployment.store
    await deployment.start()
    hosts = [deployment.host(number, zone) for number, zone in
             ((1, "a"), (2, "a"), (3, "b"), (4, "b"), (5, "b"))]
    for host in hosts:
        await host.start(cold=False)
    await deployment.all_ready()
    outcomes = []
    route = ("127.77.4.1", 443)
    near = [each for each in deployment.balancers if each.zone == "a"]
    far = [each for each in deployment.balancers if each.zone == "b"]
    traffic = [asyncio.create_task(deployment.traffic(PER_S, route, outcomes, machines=near)),
               asyncio.create_task(deployment.traffic(PER_S, route, outcomes, machines=far))]
    await asyncio.sleep(5)

    record.say("zone a is evacuated")
    store.put("evacuations", "a", {})
    rolled = near[0]
    await asyncio.sleep(EVACUATION_S - 1.6)
    if trouble:
        rolled.signal(signal.SIGTERM)
    await asyncio.sleep(1.6)
    store.delete("evacuations", "a")
    returned = record.now()
    for host in hosts[:2]:
        host.cold_until = time.monotonic() + SLOW_START_S
        host.collapse_above = COLD_PER_S * OVERSHOOT + SLACK
    record.say(f"zone a is taken back, its hosts are cold, acknowledged at {returned:.3f}")
    if trouble:
        await asyncio.to_thread(rolled.process.wait, 6)
        record.say(f"{rolled.name} ended with status {rolled.process.returncode}")
        await asyncio.sleep(max(0.1, returned + 0.1 - record.now()))
        rolled.first_start = False
        rolled.start()
    await asyncio.sleep(SLOW_START_S + 3)
    for task in traffic:
        task.cancel()
    await asyncio.gather(*traffic, return_exceptions=True)

    limit = COLD_PER_S * OVERSHOOT + SLACK
    most = 0
    for host in hosts[:2]:
        opens = sorted({open_[2]: open_ for open_ in reversed(host.opens)}.values())
        cold = [open_ for open_ in opens if returned <= open_[0] < returned + SLOW_START_S]
        for first in cold:
            window = [open_ for open_ in cold if first[0] <= open_[0] < first[0] + 1.0]
            if len(window) > most:
                most = len(window)
                by_machine = {each.name: sum(1 for open_ in window if open_[1] == each.address)
                              for each in deployment.balancers}
                worst = (host.id, first[0] - returned, by_machine)
    if most:
        record.say(f"most requests of one second at a cold host: {most} (limit {limit}) at "
                   f"{worst[0]} from {worst[1]:.2f} s after the ack, by machine {worst[2]}")
    lost = [each for each in outcomes
            if each["result"] != "answered" and returned <= each["sent"] < returned + SLOW_START_S]
    record.say(f"requests of the cold time that were not answered within their time limit: {len(lost)}")
    record.say("FAILBACK was broken" if most > limit else "FAILBACK held")
    return most > limit


run(case)
