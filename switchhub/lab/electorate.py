"""Leases in virtual time: how long a duty is without a holder after a fault, and what leases cost.

Owns: the world of voters and candidates, and the history of who held what when. Must never: decide anything
for them.

    python -m switchhub.lab.electorate --seeds 1..10    # the tables of docs/leases.md
"""

from __future__ import annotations

import argparse
import time
from random import Random
from statistics import median

from switchhub.lab.history import Entry, faults
from switchhub.lab.virtual_network import VirtualNetwork
from switchhub.leases.config import MAX_CLOCK_DRIFT, LeaseConfig
from switchhub.leases.messages import ProcessIdentity
from switchhub.leases.service import LeaseService

LOOK = 0.005  # seconds between two looks at who holds
DUTY = "d"
SETTLES = 6.0  # seconds before anything is done
LIMIT = 60.0  # seconds after which nobody is waited for any more


class Electorate(VirtualNetwork[LeaseService]):
    """So many voters, two candidates beside them; each clock is fast or slow by `MAX_CLOCK_DRIFT`."""

    def __init__(
        self, voters: int, seed: int, length: float = 3.0, loss: float = 0.0, names: int = 1
    ) -> None:
        super().__init__(Random(f"electorate/{seed}"), loss)
        self.voters = [f"v{number}" for number in range(voters)]
        self.names = [DUTY, *(f"x{number}" for number in range(names - 1))]
        addresses = tuple(f"a-{name}" for name in self.voters)
        self.terms = LeaseConfig(addresses, length, length, min(0.15, length / 8))
        self.history: list[Entry] = []
        self.holder, self._token = "", 0
        for key in (*self.voters, "c0", "c1"):
            self.clock_rates[key] = self.rng.choice((1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT))
            who = ProcessIdentity(key, self.rng.getrandbits(32), f"a-{key}")
            self.nodes[key] = LeaseService(who, self.terms, self.rng.getrandbits(64), self.local_time(key), 0)
            if key.startswith("c"):
                for name in self.names:
                    self.nodes[key].acquire(name, self.local_time(key))
            self._process_output(key)

    def _holds(self, key: str) -> int | None:
        still = key not in self.down and self._paused_until.get(key, 0.0) <= self.now
        return self.nodes[key].proposer.held_token(DUTY, self.local_time(key)) if still else None

    def look(self) -> None:
        """Who acts now; one that is dead or stands still does not."""
        for key in ("c0", "c1"):
            token = self._holds(key)
            before = self._token if self.holder == key else None
            if before is not None and token != before:
                self.history.append(Entry(self.now, "lost", DUTY, before, key))
                self.holder = ""
            if token is not None and token != before:
                self.history.append(Entry(self.now, "held", DUTY, token, key))
                self.holder, self._token = key, token

    def until_held(self, limit: float, by: str = "") -> float:
        """Seconds until somebody holds, or that one."""
        begun = self.now
        while self.now < begun + limit:
            self.look()
            if self.holder and by in ("", self.holder):
                return self.now - begun
            self.run_until(self.now + LOOK)
        return limit


def gap(voters: int, seed: int, what: str, length: float, loss: float) -> float:
    """Seconds without a holder after its holder died, stood still or was cut off with a minority."""
    world = Electorate(voters, seed, length, loss)
    world.run_until(SETTLES + 2 * length + world.rng.random())
    world.until_held(LIMIT)
    holder = world.holder
    other = "c1" if holder == "c0" else "c0"
    if what == "death":
        world.kill(holder)
    elif what == "stall":
        world.pause(holder, 10 * length)
    else:
        minority = {holder, *world.voters[: voters // 2]}
        world.is_cut = lambda a, b: (a in minority) is not (b in minority)
    begun = world.now
    world.until_held(LIMIT, other)
    wrong = faults(world.history)
    assert not wrong, wrong
    last = max(
        (each.at for each in world.history if each.kind == "lost" and each.by == holder), default=begun
    )
    return world.now - min(max(last, begun), world.now)


def messages(voters: int, seed: int, names: int, seconds: float = 30.0) -> tuple[float, float, float]:
    """Messages and bytes a second of a steady holder, and the processor's part of a second it takes."""
    world = Electorate(voters, seed, names=names)
    world.kill("c1")
    world.run_until(SETTLES + 10)
    held = [
        name for name in world.names if world.nodes["c0"].proposer.held_token(name, world.local_time("c0"))
    ]
    assert len(held) == names, len(held)
    sent, size, used = world.datagrams_sent, world.datagram_bytes, time.process_time()
    world.run_until(world.now + seconds)
    part = (time.process_time() - used) / seconds
    return (world.datagrams_sent - sent) / seconds, (world.datagram_bytes - size) / seconds, part


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1..10")
    first, _, last = parser.parse_args().seeds.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    print("| lease | voters | lost | death | stall | cut | least possible |\n|" + " --- |" * 7)
    for length in (1.0, 3.0, 10.0):
        for voters in (3, 5, 7):
            for loss in (0.0, 0.05, 0.2):
                cells = []
                for what in ("death", "stall", "cut"):
                    times = sorted(gap(voters, seed, what, length, loss) for seed in seeds)
                    cells.append(f"{median(times):.2f}, {times[-1]:.2f}")
                least = length * 0.75 * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
                print(
                    f"| {length:g} s | {voters} | {loss:.0%} | {' | '.join(cells)} | {least:.2f} |",
                    flush=True,
                )
    print("\n| names | messages/s | bytes/s | part of a core, holder and 3 voters |\n|" + " --- |" * 4)
    for names in (1, 100, 1000):
        sent, size, part = messages(3, seeds[0], names)
        print(f"| {names:,} | {sent:.1f} | {size:,.0f} | {part:.2%} |")


if __name__ == "__main__":
    main()
