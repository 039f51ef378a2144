"""Lease configuration shared by holders and voters: durations, safety margins and the voter sets.

Nothing here reads a clock. The safety of leases rests on one assumption: every balancer uses a clock that
keeps running while the machine is suspended (CLOCK_BOOTTIME) and that runs at most `MAX_CLOCK_DRIFT` fast or
slow. With `drift` for that bound:

- A holder counts `length` seconds on its own clock from when it *sent* its request, so it acts for at most
  `length / (1 - drift)` seconds of true time.
- A voter keeps a grant for `length x (1 + drift) / (1 - drift)` seconds on its own clock from when it
  *received* the request, which is at least `length / (1 - drift)` seconds of true time.

So each voter that a holder counts keeps its grant longer than the holder acts, even if messages are delayed,
lost, duplicated or reordered.

To change the voters, operators deploy a configuration that names both sets (`previous_voters`). A holder then
needs a majority of each set (joint consensus: Ongaro, Ousterhout, *In Search of an Understandable Consensus
Algorithm*, 2014, section 6). A voter votes only for holders that need a majority of at least the voter sets
in the voter's own configuration.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

MAX_CLOCK_DRIFT = 0.05  # fraction by which any clock may run fast or slow
TOKEN_JUMP = 1 << 20  # tokens skipped when some voters have lost theirs, to get above any forgotten token
MAX_TRACKED_LEASES = 10_000  # lease names whose highest token a voter stores individually


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Lease settings from the operator file. They must be the same at all balancers."""

    voters: tuple[str, ...]  # addresses
    length: float = 3.0  # seconds, duration of a lease
    max_length: float = 3.0  # seconds, longest lease of any balancer; a restarted voter waits it out
    margin: float = 0.15  # seconds before the end of the lease at which the holder stops acting
    transfer_reservation: float = 1.0  # seconds for which a transferred lease is reserved for the successor
    previous_voters: tuple[str, ...] = ()  # the former voter set, while the voters are being changed
    slot_counts: tuple[tuple[str, int], ...] = ()  # number of slots by name; each slot `NAME#0`... is a lease

    @property
    def voter_sets(self) -> tuple[tuple[str, ...], ...]:
        """The voter sets; a majority of each of them is needed."""
        return _voter_sets(self.voters, self.previous_voters)

    @property
    def all_voters(self) -> tuple[str, ...]:
        """The addresses of the voters of all sets, each once."""
        return tuple(dict.fromkeys((*self.voters, *self.previous_voters)))

    @property
    def electorate(self) -> tuple[int, int]:
        """The identifiers of the current and the previous voter set; 0 where there is none.

        Votes given under different electorates are never added up.
        """
        return voter_set_id(self.voters), voter_set_id(self.previous_voters)

    def slot_count(self, name: str) -> int:
        """Return how many balancers may hold slots of this name; 0 for a name without slots."""
        return dict(self.slot_counts).get(name, 0)

    def is_valid_lease(self, lease: str) -> bool:
        """Return whether such a lease can exist: a name with slots exists only as its slots."""
        name, separator, slot = lease.partition("#")
        slot_count = self.slot_count(name)
        return slot in map(str, range(slot_count)) if slot_count else not separator

    def has_majority(self, names: Collection[str]) -> bool:
        """Return whether these voters are a majority of each voter set."""
        return all(
            sum(name in names for name in voter_set) > len(voter_set) // 2 for voter_set in self.voter_sets
        )

    def latest_majority_time(self, times_by_voter: Mapping[str, float]) -> float:
        """Return the latest time that a majority of each voter set has reached; -inf if there is none.

        `times_by_voter` is, for each voter that confirmed, the time up to which it has confirmed.
        """
        latest = math.inf
        for voter_set in self.voter_sets:
            half = len(voter_set) // 2
            times = [times_by_voter[name] for name in voter_set if name in times_by_voter]
            if len(times) <= half:
                return -math.inf
            times.sort()
            latest = min(latest, times[-half - 1])
        return latest

    def is_covered_by(self, electorate: tuple[int, int]) -> bool:
        """Return whether a holder with this electorate needs a majority of each voter set configured here."""
        return {set_id for set_id in self.electorate if set_id} <= set(electorate)

    def shares_voter_set(self, electorate: tuple[int, int]) -> bool:
        """Return whether this electorate has a voter set in common with the configured one."""
        return bool({set_id for set_id in self.electorate if set_id} & set(electorate))


@lru_cache(64)
def _voter_sets(voters: tuple[str, ...], previous_voters: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    return (voters, previous_voters) if previous_voters else (voters,)


@lru_cache(64)
def voter_set_id(voters: tuple[str, ...]) -> int:
    """Return an identifier of a voter set that does not depend on its order; 0 for an empty set."""
    text = "\n".join(sorted(voters)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest()) | 1 if voters else 0


def grant_duration(length: float) -> float:
    """Return the seconds on a voter's clock for which it keeps the grant of a lease of `length` seconds."""
    return length * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


def hash_grant(lease: str, token: int) -> int:
    """Return the 64-bit hash of a grant; sets of grants are compared by the sums of their hashes."""
    return int.from_bytes(hashlib.blake2b(f"{lease}\n{token}".encode(), digest_size=8).digest())
