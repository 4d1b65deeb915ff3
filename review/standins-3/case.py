"""Runs one case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
import asyncio
import os
import pathlib
import random
import sys
import traceback

from fleet import Fleet, PROGRAM, ip_number, now

ROUTE_ADDRESS = "127.0.9.1"
FEED, BOOKING = 443, 8080
LIMIT_S = 115


def trouble():
    return os.environ.get("TROUBLE", "1")


def routes():
    return [("feed", ROUTE_ADDRESS, FEED, "dispatch", "safe"),
            ("booking", ROUTE_ADDRESS, BOOKING, "dispatch", "unsafe")]


async def traffic(fleet, per_second, flows, feed_share=0.5, requests=20, pause_s=0.3, deadline_s=3.0):
    """Clients of all zones open flows: feeds carry many requests, bookings one each."""
    while True:
        client = random.choice(fleet.clients)
        if random.random() < feed_share:
            flow = client.open((ip_number(ROUTE_ADDRESS), FEED), requests, pause_s, deadline_s=deadline_s)
        else:
            flow = client.open((ip_number(ROUTE_ADDRESS), BOOKING), 1, size=900, deadline_s=deadline_s)
        flows.append(flow)
        await asyncio.sleep(random.expovariate(per_second))


def run(scenario, folder, program=None):
    """scenario(fleet) returns a text for the record and whether the rule held."""
    if not pathlib.Path(program or PROGRAM).exists():
        print("target/bulrushgap is missing: build the deploy file first")
        sys.exit(2)
    fleet = Fleet(program)
    code = 2

    async def play():
        nonlocal code
        try:
            text, held = await asyncio.wait_for(scenario(fleet), LIMIT_S)
            fleet.record.add(text)
            if any(rule in ("UNASKED", "MIXED") for rule, _ in fleet.broken):
                held = False
            fleet.record.add("RULE HELD" if held else "RULE BROKEN")
            print(text)
            print("the rule held" if held else "the rule was broken")
            code = 0 if held else 1
        except Exception:  # the case could not run
            traceback.print_exc()
            fleet.record.add("the case could not run: " + traceback.format_exc().splitlines()[-1])
        finally:
            await fleet.stop()
            fleet.record.write(pathlib.Path(folder) / "record.txt")
            fleet.cleanup()
            sys.stdout.flush()
            sys.stderr.flush()
            os._exit(code)

    asyncio.run(play())


async def deploy(fleet, balancers, hosts, zones=("pattani", "yala"), clients=3, slow_start_s=2.0, cold_per_s=10.0,
                 settle_s=5.0, **host_options):
    for zone in zones:
        for i in range(balancers):
            fleet.add_balancer(f"frontend-{zone}-{i + 1}", zone)
    for n, zone in enumerate(zones):
        for i in range(hosts):
            fleet.add_host(f"i-{0x7f3a0000 + 16 * n + i:08x}", "dispatch", zone, **host_options)
    fleet.configure(routes(), {"dispatch": (slow_start_s, cold_per_s)})
    for zone in zones:
        for i in range(clients):
            await fleet.add_client(f"client-{zone}-{i + 1}", zone)
    await fleet.start(settle_s)


def wrong_resets(fleet, since=0.0):
    """Resets by the system of open flows that their host holds, and whose route no configuration has dropped
    since they were opened; not of flows that are idle or old."""
    found = []
    for at, flow, by_system, host, held in fleet.resets:
        if at < since or not by_system or not held or flow.opened_at is None or at - flow.opened_at > 60:
            continue
        if any(flow.route not in addresses for when, addresses in fleet.configurations
               if flow.started <= when <= at):
            continue
        found.append((at, flow, host))
    return found
