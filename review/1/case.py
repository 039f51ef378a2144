"""Upgrades of a balancer while clients drop: see `claim.txt`."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    Balancer,
    Client,
    Discovery,
    Record,
    Server,
    configuration,
    free_port,
    new_id,
    now,
    run_case,
    troubled,
)

CLIENTS = 400
SERVERS = 9
DROP_SHARE = 0.5  # of the clients: the page has 10 to 59%
DROP_S = 0.3  # within which they drop; SIGTERM comes after a third of it
COME_AGAIN_S = (0.68, 2.8)  # after which each comes again
LAST_ROUND_AT_S = 95.0
PAUSE_S = 2.2  # after an upgrade, until most of the clients are back


class Fleet:
    """The clients: each connects again after its connection was moved or broke."""

    def __init__(self, address: tuple[str, int], record: Record, servers: list[Server]) -> None:
        """Prepare the fleet."""
        self.address, self.record, self.servers = address, record, servers
        self.clients: list[Client] = []
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        for _ in range(CLIENTS):
            self.tasks.append(asyncio.create_task(self._one()))

    async def _one(self) -> None:
        await asyncio.sleep(random.uniform(0, 2.0))
        while not self.stopping:
            client = Client(self.address, self.record, new_id(), "c=feed,t=valley,d=1200,h=1000")
            self.clients.append(client)
            await client.run()
            await asyncio.sleep(random.uniform(*COME_AGAIN_S))

    def drop(self, share: float, seconds: float) -> None:
        """Have a share of the clients drop within a time; each comes again later."""
        chosen = [each for each in self.clients if each.up_line and not each.outcome]
        chosen = random.sample(chosen, round(share * len(chosen)))
        self.record(f"{len(chosen)} clients drop within {seconds} s")
        for each in chosen:
            asyncio.get_running_loop().call_later(random.uniform(0, seconds), each.drop)

    def standing(self) -> int:
        """Return how many connections are up."""
        return sum(bool(client.up_line) and not client.outcome for client in self.clients)

    def broken(self) -> list[Client]:
        """Return the connections that were cut without `MOVE` although their server had not ended them."""
        ended = set().union(*(server.ended for server in self.servers))
        return [each for each in self.clients if each.outcome == "cut" and each.name not in ended]


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    servers = [Server(f"s{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record)
    await discovery.start()
    listen = free_port()

    def balancer(number: int) -> Balancer:
        return Balancer(f"p{number}", folder, configuration(listen, discovery, free_port()), record)

    old = balancer(0)
    running = [old]
    fleet = Fleet(("127.0.0.1", listen), record, servers)
    started, number, crashed = now(), 0, 0
    try:
        await old.start()
        await old.wait_ready()
        fleet.start()
        while fleet.standing() < 0.97 * CLIENTS:
            await asyncio.sleep(0.05)
            if now() - started > 30:
                return 2
        while now() - started < LAST_ROUND_AT_S and not fleet.broken() and not crashed:
            number += 1
            new = balancer(number)
            running.append(new)
            await new.start()
            await new.wait_ready()
            record(f"round {number}: {fleet.standing()} connections")
            if troubled():
                fleet.drop(DROP_SHARE, DROP_S)
            await asyncio.sleep(DROP_S / 3)
            old.signal(signal.SIGTERM)
            status = await old.wait(3.7)
            if status is None:
                record("the old process still runs at SIGKILL")
                old.signal(signal.SIGKILL)
                status = await old.wait(2.0)
            if status != 0:
                crashed += 1
            await asyncio.sleep(0.3)
            record(f"round {number}: {fleet.standing()} connections, {len(fleet.broken())} broken")
            old = new
            await asyncio.sleep(PAUSE_S)
        broken = fleet.broken()
        record(
            f"result: {number} upgrades, {crashed} processes ended in error, {len(broken)} connections cut"
        )
        print(f"{number} upgrades, {crashed} old processes ended in error, {len(broken)} connections cut off")
        return 1 if broken or crashed else 0
    finally:
        fleet.stopping = True
        for task in fleet.tasks:
            task.cancel()
        for each in running:
            await each.kill()


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
