"""Lists are asked for; calls fail for 20 s, and a server drains at the moment of the return."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import (
    TROUBLE,
    Balancer,
    CannotRun,
    Rig,
    late_sends,
    request_class,
    run_case,
    settings,
)

OUTAGE_S = 20.0
CALL_TIMEOUT_S = 1.0  # a call that waits longer than that fails
GRACE_S = 2.0
COUNTS_AS_TOLD_S = 6.0  # after discovery had the change and could be reached, at the latest
FLEET = 200  # balancers; they share nothing, so only some of them are played
BALANCERS = 24
WATCHED_S = 22.0


async def traffic(rig: Rig, balancers: list[Balancer]) -> None:
    """New clients at each balancer, three a second; each stays for 6 s."""
    while True:
        for balancer in balancers:
            rig.client(balancer, "c=forecast-feed,t=all,h=20000", 2000, 6.0)
            await asyncio.sleep(0.33 / len(balancers))


async def play(rig: Rig) -> list[str]:
    """Play the case; return each send to the draining server that came too late."""
    servers = await rig.add_servers(4)
    classes = [request_class("forecast-feed", 2000)]
    balancers = [
        await rig.add_balancer(f"n{number}", 800 + number, settings(classes, FLEET, "ask"))
        for number in range(BALANCERS)
    ]
    for balancer in balancers:
        await balancer.wait_ready()
    rig.spawn(traffic(rig, balancers))
    await asyncio.sleep(8)
    leaving = servers[0]
    if TROUBLE:
        await rig.discovery.go_down(fail_after=CALL_TIMEOUT_S)
    await asyncio.sleep(OUTAGE_S)
    back_at = rig.discovery.come_back()
    leaving.drain()
    known_at = await rig.discovery.change(leaving.name, "Terminating")
    await asyncio.sleep(WATCHED_S)
    if sum(client.answer.startswith("UP ") for client in rig.clients.values()) < len(rig.clients) * 0.8:
        raise CannotRun("clients were not served")
    latest = max(back_at, known_at) + COUNTS_AS_TOLD_S
    told = rig.discovery.told
    return late_sends(rig, leaving, lambda name: min(latest, told.get(name, {}).get("s-01", latest)), GRACE_S)


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
