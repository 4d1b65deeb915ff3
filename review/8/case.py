"""CONFIG after a cut while the configuration is large: see claim.txt."""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from deployment import STORE_ADDRESS, Deployment, free_port, run  # noqa: E402
from slowlink import SlowLink  # noqa: E402

LINK_MBPS = 10.0  # The weakest machines of cv-bogota-grown.
VALUE_BYTES = 1048576
CONFIGURATION_BYTES = 1_040_000
CUT_S = 2.0  # Shorter than what the entries of silent hosts take to lapse.
CONFIG_APPLY_S = 5.0
STABLE_WINDOW_S = 5.0


def grow(deployment):
    """Adds routes that see no traffic until the configuration has the size."""
    number = 0
    while True:
        text = json.dumps(deployment.configuration(), separators=(",", ":"))
        missing = CONFIGURATION_BYTES - len(text)
        if missing < 200:
            return len(text)
        for _ in range(max(1, missing // 220)):
            number += 1
            deployment.routes.append((f"r-idle{number:05}", f"127.78.{number // 250}.{number % 250 + 1}",
                                      8443, "safe", "dispatch"))


async def case(trouble, started):
    deployment = Deployment(os.path.join(HERE, "record.txt"), {"a": 2})
    started(deployment)
    record, store = deployment.record, deployment.store
    size = grow(deployment)
    record.say(f"configuration: {len(deployment.routes)} routes, {size} bytes of {VALUE_BYTES}")
    links = []
    for index, balancer in enumerate(deployment.balancers):
        address = f"127.77.0.{10 + index}"
        link = SlowLink(record, address, free_port([address]), (STORE_ADDRESS, store.port), LINK_MBPS)
        await link.start()
        links.append(link)
        balancer.store = f"{address}:{link.port}"
        balancer.link_mbps = LINK_MBPS
    await deployment.start()
    old, new = deployment.host(1, "a", "dispatch"), deployment.host(2, "a", "gallery")
    await old.start(cold=False)
    await new.start(cold=False)
    await deployment.all_ready(20)
    outcomes = []
    route = ("127.77.4.2", 443)
    traffic = asyncio.create_task(deployment.traffic(40, route, outcomes, method="GET"))
    await asyncio.sleep(6)

    # With and without the cut, the change comes 20 ms after a watch of the configuration has begun.
    arrived = asyncio.Event()
    store.on_watch = lambda kind: arrived.set() if kind == "config" else None
    await arrived.wait()
    store.on_watch = None
    await asyncio.sleep(0.02)
    if trouble:
        for link in links:
            link.cut()
    name, host, port, kind, _ = deployment.routes[1]
    deployment.routes[1] = (name, host, port, kind, "gallery")
    deployment.configure()
    acked = record.now()
    record.say(f"version {deployment.version} moves {host} to another service, acknowledged at {acked:.3f}")
    await asyncio.sleep(CUT_S)
    if trouble:
        for link in links:
            link.heal()
    healed = record.now()
    await asyncio.sleep(STABLE_WINDOW_S + 12)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)

    judged_from = max(acked + CONFIG_APPLY_S, healed + STABLE_WINDOW_S)
    sent = {each["id"]: each["sent"] for each in outcomes}
    late = [run_ for run_ in old.runs if sent.get(run_[1], 0) > judged_from]
    right = [run_ for run_ in new.runs if sent.get(run_[1], 0) > judged_from]
    record.say(f"requests sent from {judged_from:.1f} s on, with all machines in touch: {len(late)} run "
               f"by the old service, {len(right)} by the new one; the last by the old one was sent "
               f"{max((sent[run_[1]] for run_ in late), default=acked) - acked:.1f} s after the ack")
    for balancer in deployment.balancers:
        for line in deployment.log_lines(balancer, "source_|configuration_in|view_stale")[-12:]:
            record.file.write(f"log of {balancer.name}: {line[16:28]} {line[line.find('event='):]}\n")
    record.say("CONFIG was broken" if late else "CONFIG held")
    return bool(late)


run(case)
