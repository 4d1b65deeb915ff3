"""DRAIN after the store's return from a copy: see claim.txt."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import DRAIN_MS, STABLE_WINDOW_MS, Deployment, run  # noqa: E402

AWAY_S = 0.2
LINGER_S = 4.0  # After drain_ms; "a little longer (at times many seconds)".


async def case(trouble, started):
    deployment = Deployment(os.path.join(HERE, "record.txt"), {"a": 2})
    started(deployment)
    record, store = deployment.record, deployment.store
    first, second = deployment.balancers  # The second one reads its view from the first.
    await deployment.start()
    for number in range(11, 23):
        await deployment.host(number).start(cold=False)
    await deployment.host(9, zone="c").start(cold=False)
    await deployment.all_ready()
    outcomes = []
    route = ("127.77.4.1", 443)
    traffic = asyncio.create_task(deployment.traffic(160, route, outcomes))
    await asyncio.sleep(5)

    # Planned work: another zone is emptied, hosts are added, the configuration changes often.
    store.put("evacuations", "c", {})
    await asyncio.sleep(1.6)
    image = store.snapshot()
    await asyncio.sleep(1.5)
    leaving = [deployment.host(4), deployment.host(5)]
    for host in leaving:
        await host.start()  # Its entry changes with its next heartbeat, 1.2 s later.
    await asyncio.sleep(0.3)
    deployment.configure()
    await asyncio.sleep(0.04)
    if trouble:
        second.signal(signal.SIGSTOP)
    await asyncio.sleep(0.05)
    await deployment.host(3).start()
    for _ in range(13):
        await asyncio.sleep(0.06)
        deployment.configure()
    await asyncio.sleep(0.12)
    if trouble:
        await store.go_away()
        await asyncio.sleep(AWAY_S)
        await store.return_from(image)
        store.put("config", "main", deployment.configuration())
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(0.4)  # The first machine reads the store again.
    if trouble:
        second.signal(signal.SIGCONT)
    calm_since = record.now()
    record.say("all is calm from here on")
    await asyncio.sleep(STABLE_WINDOW_MS / 1000 + 3.0)

    acks = {}
    for host in leaving:
        acks[host] = host.drain()
        record.say(f"{host.id} reports draining, acknowledged at {acks[host]:.3f} with revision "
                   f"{store.objects['servers', host.id]['meta']['revision']}")
    await asyncio.sleep(DRAIN_MS / 1000 + LINGER_S)
    ended = record.now()
    for host in acks:
        await host.stop()
    await asyncio.sleep(3)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)

    late = []
    for host, acked in acks.items():
        ran = {run_[2] for run_ in host.runs}
        found = [open_ for open_ in host.opens
                 if open_[0] > acked + DRAIN_MS / 1000 and open_[2] in ran]
        by_machine = {each.name: sum(1 for open_ in found if open_[1] == each.address)
                      for each in deployment.balancers}
        record.say(f"opened at {host.id}: {len(host.opens)}, later than drain_ms after the ack and run: "
                   f"{len(found)} {by_machine}")
        late += found
    lost = [each for each in outcomes
            if each["result"] != "answered" and each["sent"] > calm_since + STABLE_WINDOW_MS / 1000]
    running = [each for each in lost if each["result"] == "no_answer" and each["sent"] <= ended]
    record.say(f"requests: {len(outcomes)}, not answered since all machines are in touch: "
               f"{len(lost)}, of them running when the hosts ended: {len(running)}")
    for line in deployment.log_lines(second, f"upstream={leaving[0].id}|store_restored|source_|view_stale|dependency"):
        if "event=flow" not in line and "event=request" not in line:
            record.file.write(f"log of {second.name}: {line[16:28]} {line[line.find('event='):]}\n")
    record.say("DRAIN was broken" if late else "DRAIN held")
    return bool(late)


run(case)
