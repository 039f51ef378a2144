"""Simulation of leases in virtual time: time without a holder after a fault, and cost in messages and CPU.

Voters and candidates run the real `LeaseService` code. The simulation records who held the lease when and
makes no decision for them.

    python -m switchhub.lab.electorate --seeds 1..10    # the tables of docs/leases.md
"""

from __future__ import annotations

import argparse
import time
from random import Random
from statistics import median

from switchhub.lab.lease_history import HistoryEntry, find_violations
from switchhub.lab.virtual_network import VirtualNetwork
from switchhub.leases.config import MAX_CLOCK_DRIFT, LeaseConfig
from switchhub.leases.messages import ProcessIdentity
from switchhub.leases.service import LeaseService

OBSERVATION_INTERVAL_S = 0.005  # between two checks of who holds the lease
LEASE_NAME = "d"
SETTLE_TIME_S = 6.0  # before the first measurement or fault
MAX_WAIT_S = 60.0  # longest wait for a holder


class LeaseSimulation(VirtualNetwork[LeaseService]):
    """Voters and two further candidates `c0` and `c1`; each clock is fast or slow by `MAX_CLOCK_DRIFT`."""

    def __init__(
        self, voters: int, seed: int, length: float = 3.0, loss: float = 0.0, lease_count: int = 1
    ) -> None:
        super().__init__(Random(f"electorate/{seed}"), loss)
        self.voters = [f"v{number}" for number in range(voters)]
        self.lease_names = [LEASE_NAME, *(f"x{number}" for number in range(lease_count - 1))]
        addresses = tuple(f"a-{name}" for name in self.voters)
        self.config = LeaseConfig(addresses, length, length, min(0.15, length / 8))
        self.history: list[HistoryEntry] = []
        self.holder, self._holder_token = "", 0
        for key in (*self.voters, "c0", "c1"):
            self.clock_rates[key] = self.rng.choice((1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT))
            identity = ProcessIdentity(key, self.rng.getrandbits(32), f"a-{key}")
            self.nodes[key] = LeaseService(
                identity, self.config, self.rng.getrandbits(64), self.local_time(key), 0
            )
            if key.startswith("c"):
                for name in self.lease_names:
                    self.nodes[key].acquire(name, self.local_time(key))
            self._process_output(key)

    def _held_token(self, key: str) -> int | None:
        is_running = key not in self.down and self._paused_until.get(key, 0.0) <= self.now
        return self.nodes[key].proposer.held_token(LEASE_NAME, self.local_time(key)) if is_running else None

    def record_holder_changes(self) -> None:
        """Append to the history who began or ceased to hold; a dead or paused candidate is no holder."""
        for key in ("c0", "c1"):
            token = self._held_token(key)
            previous_token = self._holder_token if self.holder == key else None
            if previous_token is not None and token != previous_token:
                self.history.append(HistoryEntry(self.now, "lost", LEASE_NAME, previous_token, key))
                self.holder = ""
            if token is not None and token != previous_token:
                self.history.append(HistoryEntry(self.now, "held", LEASE_NAME, token, key))
                self.holder, self._holder_token = key, token

    def run_until_held(self, limit: float, by: str = "") -> float:
        """Run until a candidate holds the lease, or until `by` does if given.

        Returns the seconds until then, or `limit` if that comes first.
        """
        started_at = self.now
        while self.now < started_at + limit:
            self.record_holder_changes()
            if self.holder and by in ("", self.holder):
                return self.now - started_at
            self.run_until(self.now + OBSERVATION_INTERVAL_S)
        return limit


def measure_holder_gap(voters: int, seed: int, fault: str, length: float, loss: float) -> float:
    """Return the seconds without a holder after a fault of the holder.

    `fault` is `death`, `stall` (paused for ten lease lengths) or `cut` (partitioned with a minority of the
    voters).
    """
    simulation = LeaseSimulation(voters, seed, length, loss)
    simulation.run_until(SETTLE_TIME_S + 2 * length + simulation.rng.random())
    simulation.run_until_held(MAX_WAIT_S)
    holder = simulation.holder
    other = "c1" if holder == "c0" else "c0"
    if fault == "death":
        simulation.kill(holder)
    elif fault == "stall":
        simulation.pause(holder, 10 * length)
    else:
        minority = {holder, *simulation.voters[: voters // 2]}
        simulation.is_cut = lambda a, b: (a in minority) is not (b in minority)
    started_at = simulation.now
    simulation.run_until_held(MAX_WAIT_S, other)
    violations = find_violations(simulation.history)
    assert not violations, violations
    lost_at = max(
        (each.at for each in simulation.history if each.kind == "lost" and each.by == holder),
        default=started_at,
    )
    return simulation.now - min(max(lost_at, started_at), simulation.now)


def measure_message_cost(
    voters: int, seed: int, lease_count: int, seconds: float = 30.0
) -> tuple[float, float, float]:
    """Measure a steady state with one holder.

    Returns messages per second, bytes per second and the fraction of one core used by the whole simulation.
    """
    simulation = LeaseSimulation(voters, seed, lease_count=lease_count)
    simulation.kill("c1")
    simulation.run_until(SETTLE_TIME_S + 10)
    held = [
        name
        for name in simulation.lease_names
        if simulation.nodes["c0"].proposer.held_token(name, simulation.local_time("c0"))
    ]
    assert len(held) == lease_count, len(held)
    sent, size, cpu_start = simulation.datagrams_sent, simulation.datagram_bytes, time.process_time()
    simulation.run_until(simulation.now + seconds)
    cpu_fraction = (time.process_time() - cpu_start) / seconds
    return (
        (simulation.datagrams_sent - sent) / seconds,
        (simulation.datagram_bytes - size) / seconds,
        cpu_fraction,
    )


def main() -> None:
    """Measure and print both tables."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", default="1..10")
    first, _, last = parser.parse_args().seeds.partition("..")
    seeds = range(int(first), int(last or first) + 1)
    print("| lease | voters | lost | death | stall | cut | least possible |\n|" + " --- |" * 7)
    for length in (1.0, 3.0, 10.0):
        for voters in (3, 5, 7):
            for loss in (0.0, 0.05, 0.2):
                cells = []
                for fault in ("death", "stall", "cut"):
                    gaps = sorted(measure_holder_gap(voters, seed, fault, length, loss) for seed in seeds)
                    cells.append(f"{median(gaps):.2f}, {gaps[-1]:.2f}")
                least_possible = length * 0.75 * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
                print(
                    f"| {length:g} s | {voters} | {loss:.0%} | {' | '.join(cells)} | {least_possible:.2f} |",
                    flush=True,
                )
    print("\n| names | messages/s | bytes/s | part of a core, holder and 3 voters |\n|" + " --- |" * 4)
    for lease_count in (1, 100, 1000):
        sent, size, cpu_fraction = measure_message_cost(3, seeds[0], lease_count)
        print(f"| {lease_count:,} | {sent:.1f} | {size:,.0f} | {cpu_fraction:.2%} |")


if __name__ == "__main__":
    main()
