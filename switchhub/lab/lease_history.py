"""The history of leases, checked as of one object: who held what when, under which token, and what it did.

Owns: what a right history is. Must never: know how leases are granted, or which faults were played.

A history is a list of entries on one clock. `held` and `lost` bound an interval in which one holder believes
that it holds; `renewed` stands within one; an `effect` is what a receiver saw. A history of effects alone,
as receivers have it, is one too: then nothing is said of intervals.

| right | because |
| --- | --- |
| a token is one holder's | else fencing can't tell them apart |
| a later interval of a name has a higher token | so receivers of the later one's effects refuse the earlier |
| no two intervals of a name overlap, or no more than `most` of a counted name | that is the promise |
| an effect, a renewal lies within an interval of its holder and token | whoever acts looks before |
| no effect under a token lower than one seen | a receiver refuses it; it counts as two that acted at a time |

For leases as an object linearizability (Herlihy, Wing: *Linearizability: A Correctness Condition
for Concurrent Objects*, 1990) comes to this: intervals that do not overlap are their own order.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class HistoryEntry(NamedTuple):
    """One event, at a time in seconds."""

    at: float
    kind: str  # held, renewed, lost, effect
    lease: str
    token: int
    by: str


def stale_effects(history: Iterable[HistoryEntry], lease: str) -> list[HistoryEntry]:
    """Effects that a receiver refuses, for it has seen a higher token."""
    out, top = [], 0
    for each in history:
        if each.lease == lease and each.kind == "effect":
            if each.token < top:
                out.append(each)
            top = max(top, each.token)
    return out


def find_violations(history: Iterable[HistoryEntry], most: int = 1) -> list[str]:
    """What is wrong with it. With `most` above 1 names are counted ones, `NAME#SLOT` each slot a lease."""
    entries = sorted(history, key=lambda each: each.at)
    out: list[str] = []
    owners: dict[tuple[str, int], str] = {}
    opened: dict[str, dict[str, int]] = {}  # by lease, who holds it, under which token
    tops: dict[str, int] = {}  # of intervals
    for at, kind, lease, token, by in entries:
        if owners.setdefault((lease, token), by) != by:
            out.append(f"{lease}: token {token} was {owners[lease, token]}'s and {by}'s")
        if lease not in opened and kind == "effect":
            continue  # nothing is told of this name's intervals
        holders = opened.setdefault(lease, {})
        if kind == "held":
            if holders.keys() - {by}:
                out.append(f"{lease}: {by} holds at {at:.3f}, and so does {min(holders.keys() - {by})}")
            if token <= tops.get(lease, 0) and holders.get(by) != token:
                out.append(f"{lease}: {by} holds under token {token} after token {tops[lease]}")
            tops[lease] = max(tops.get(lease, 0), token)
            holders[by] = token
            if most > 1:
                out += _counted(opened, lease, most, at)
        elif kind == "lost":
            holders.pop(by, None)
        elif holders.get(by) != token:
            out.append(f"{lease}: {kind} by {by} under token {token} at {at:.3f}, which it does not hold")
    for lease in sorted({each.lease for each in entries}):
        if late := stale_effects(entries, lease):
            out.append(f"{lease}: {len(late)} effects under a spent token, the first {tuple(late[0])}")
    return sorted(set(out))


def _counted(opened: dict[str, dict[str, int]], lease: str, most: int, at: float) -> list[str]:
    name = lease.partition("#")[0]
    holders = [by for each, held in opened.items() if each.partition("#")[0] == name for by in held]
    out = [f"{name}: {len(holders)} hold at {at:.3f}, {most} may"] if len(holders) > most else []
    if len(set(holders)) < len(holders):
        out.append(f"{name}: one holds twice at {at:.3f}")
    return out
