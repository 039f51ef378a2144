"""What holders and voters have in common: lengths, margins, and who votes.

Owns: these numbers and why they are safe. Must never: read a clock.

Safety rests on this alone: clocks that count on while a machine sleeps (CLOCK_BOOTTIME) run at most `DRIFT`
fast or slow. A holder counts `length` from when it *sent* its request, on its own clock: at most
`length / (1 - DRIFT)` of true time. A voter keeps a grant from when it *got* the request for
`length x (1 + DRIFT) / (1 - DRIFT)` on its own clock: at least `length / (1 - DRIFT)` of true time. So each
voter that a holder counts on keeps its word longer than the holder acts, whatever was late, lost, doubled or
overtaken on the way.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

DRIFT = 0.05  # part by which any clock may be fast or slow
JUMP = 1 << 20  # by how much tokens are raised where some voters have forgotten theirs for good
NAMES_MOST = 10_000  # names that a voter keeps apart


@dataclass(frozen=True, slots=True)
class Terms:
    """From the operator file; the same at all balancers."""

    voters: tuple[str, ...]  # addresses
    length: float = 3.0  # seconds of a lease
    longest: float = 3.0  # seconds that any balancer's lease may have: what a voter waits that has forgotten
    margin: float = 0.15  # seconds before its end at which a holder stops acting
    reserve: float = 1.0  # seconds for which a name that is handed on is for its heir alone

    @property
    def majority(self) -> int:
        """Voters that make one."""
        return len(self.voters) // 2 + 1

    @property
    def electorate(self) -> int:
        """Who votes, as one number: votes of different electorates are never added up."""
        text = "\n".join(sorted(self.voters)).encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())


def kept(length: float) -> float:
    """Seconds on a voter's clock for which it keeps its word."""
    return length * (1 + DRIFT) / (1 - DRIFT)


def mark(lease: str, token: int) -> int:
    """One grant as a number; the sum of them tells two sets apart."""
    return int.from_bytes(hashlib.blake2b(f"{lease}\n{token}".encode(), digest_size=8).digest())
