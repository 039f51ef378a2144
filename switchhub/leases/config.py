"""What holders and voters have in common: lengths, margins, and who votes.

Owns: these numbers and why they are safe. Must never: read a clock.

Safety rests on this alone: clocks that count on while a machine sleeps (CLOCK_BOOTTIME) run at most
`MAX_CLOCK_DRIFT` fast or slow. A holder counts `length` from when it *sent* its request, on its own clock: at
most `length / (1 - drift)` of true time. A voter keeps a grant from when it *got* the request for
`length x (1 + drift) / (1 - drift)` on its own clock: at least `length / (1 - drift)` of true time. So each
voter that a holder counts on keeps its word longer than the holder acts, whatever was late, lost, doubled or
overtaken on the way.

Voters are changed by way of a file that names both sets (`before`): with it a holder needs a majority of
each (joint consensus: Ongaro, Ousterhout, *In Search of an Understandable Consensus Algorithm*, 2014,
section 6). A voter gives its word to whoever needs a majority of at least the sets in its own file.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

MAX_CLOCK_DRIFT = 0.05  # part by which any clock may be fast or slow
TOKEN_JUMP = 1 << 20  # by how much tokens are raised where some voters have forgotten theirs for good
NAMES_MOST = 10_000  # names that a voter keeps apart


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """From the operator file; the same at all balancers."""

    voters: tuple[str, ...]  # addresses
    length: float = 3.0  # seconds of a lease
    max_length: float = 3.0  # seconds, of any balancer's lease
    margin: float = 0.15  # seconds before its end at which a holder stops acting
    transfer_reservation: float = 1.0  # seconds for which a name that is handed on is for its heir alone
    previous_voters: tuple[str, ...] = ()  # the voters of before, while they are changed
    slot_counts: tuple[tuple[str, int], ...] = ()  # names with several slots, `NAME#0` and on

    @property
    def sets(self) -> tuple[tuple[str, ...], ...]:
        """Of each of these a majority is needed."""
        return _sets(self.voters, self.previous_voters)

    @property
    def every(self) -> tuple[str, ...]:
        """All that have a vote."""
        return tuple(dict.fromkeys((*self.voters, *self.previous_voters)))

    @property
    def electorate(self) -> tuple[int, int]:
        """Who votes, as a number for each set, 0 where there is one: votes of different ones never add up."""
        return number(self.voters), number(self.previous_voters)

    def most(self, name: str) -> int:
        """How many may hold a counted name; 0 for any other."""
        return dict(self.slot_counts).get(name, 0)

    def stands(self, lease: str) -> bool:
        """Whether there is such a lease: of a counted name there are its slots alone."""
        name, sign, slot = lease.partition("#")
        most = self.most(name)
        return slot in map(str, range(most)) if most else not sign

    def won(self, names: Collection[str]) -> bool:
        """Whether these are a majority of each set."""
        return all(sum(name in names for name in each) > len(each) // 2 for each in self.sets)

    def confirmed(self, sent: Mapping[str, float]) -> float:
        """The latest time to which a majority of each set has confirmed what was sent."""
        end = math.inf
        for each in self.sets:
            need = len(each) // 2
            times = [sent[name] for name in each if name in sent]
            if len(times) <= need:
                return -math.inf
            times.sort()
            end = min(end, times[-need - 1])
        return end

    def serves(self, electorate: tuple[int, int]) -> bool:
        """Whether whoever has this one needs a majority of at least all sets that stand here."""
        return {each for each in self.electorate if each} <= set(electorate)

    def kin(self, electorate: tuple[int, int]) -> bool:
        """Whether it has a set in common with this one."""
        return bool({each for each in self.electorate if each} & set(electorate))


@lru_cache(64)
def _sets(voters: tuple[str, ...], before: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    return (voters, before) if before else (voters,)


@lru_cache(64)
def number(voters: tuple[str, ...]) -> int:
    """A set as a number; 0 for none."""
    text = "\n".join(sorted(voters)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest()) | 1 if voters else 0


def kept(length: float) -> float:
    """Seconds on a voter's clock for which it keeps its word."""
    return length * (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)


def mark(lease: str, token: int) -> int:
    """One grant as a number; the sum of them tells two sets apart."""
    return int.from_bytes(hashlib.blake2b(f"{lease}\n{token}".encode(), digest_size=8).digest())
