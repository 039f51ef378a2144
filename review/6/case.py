"""A balancer is drained by the staff and told to end while the drain still moves its clients."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import TROUBLE, CannotRun, Rig, request_class, run_case, settings

DEADLINE_S = 1.2
KILL_AFTER_S = DEADLINE_S + 0.7  # SIGKILL comes no sooner than that after SIGTERM
STOP_AFTER_DRAIN_S = 1.0
CLIENTS = 60


async def play(rig: Rig) -> list[str]:
    """Play the case; return each connection that was cut off without `MOVE`."""
    await rig.add_servers(4)
    classes = [request_class("job-stream", DEADLINE_S * 1000)]
    balancer = await rig.add_balancer("n1", 11, settings(classes, 3, "ask"), management=True)
    await balancer.wait_ready()
    clients = []
    for _ in range(CLIENTS):
        clients.append(rig.client(balancer, "c=job-stream,t=all,h=20000", int(DEADLINE_S * 1000), 60))
        await asyncio.sleep(0.02)
    await asyncio.sleep(3)
    if not all(client.answer.startswith("UP ") and not client.end for client in clients):
        raise CannotRun("not all clients are up before the drain")

    if await balancer.call("PUT", "/healthcheck/fail") != 200:
        raise CannotRun("the drain was refused")
    # Without the trouble the drain has its 4 s before the balancer is told to end.
    await asyncio.sleep(STOP_AFTER_DRAIN_S if TROUBLE else 4.5)
    balancer.signal(signal.SIGTERM)
    assert balancer.process is not None
    try:
        await asyncio.wait_for(balancer.process.wait(), KILL_AFTER_S)
        rig.record.add("n1 has ended by itself")
    except TimeoutError:
        balancer.signal(signal.SIGKILL)
    await asyncio.sleep(1.0)
    rig.record.add(f"servers still run: {[server.name for server in rig.servers]}, none was touched")
    return [
        f"client {client.id}: cut off at {client.ended_at:.3f} by {client.end}, without MOVE"
        for client in clients
        if not client.moved
    ]


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).parent), play))
