"""Checker for recorded lease histories: who held which lease when, under which token, and what it did.

The checker knows neither how leases are granted nor which faults were injected.

A history is a list of entries on one clock. `held` and `lost` bound an interval in which a holder believes
that it holds the lease; `renewed` lies within such an interval; an `effect` is an action under the lease that
a receiver has seen. A history may consist of effects alone, as receivers record it; then intervals are not
checked.

| invariant | reason |
| --- | --- |
| a token belongs to one holder | otherwise fencing can't tell holders apart |
| a later interval of a lease has a higher token | receivers can then refuse effects of earlier holders |
| intervals of a lease do not overlap; of a counted lease, at most `max_holders` do | mutual exclusion |
| an effect or renewal lies within an interval of its holder and token | holders check before they act |
| no effect follows one with a higher token | receivers refuse it; two holders acted at once |

For a lease, linearizability (Herlihy, Wing: *Linearizability: A Correctness Condition for Concurrent
Objects*, 1990) amounts to these rules: intervals that do not overlap are already in a sequential order.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class HistoryEntry(NamedTuple):
    """One event of a lease."""

    at: float  # seconds
    kind: str  # held, renewed, lost, effect
    lease: str
    token: int
    by: str  # the holder, or the process whose effect was seen


def stale_effects(history: Iterable[HistoryEntry], lease: str) -> list[HistoryEntry]:
    """Return the effects of a lease that receivers refuse because they have seen a higher token."""
    stale, highest_token = [], 0
    for each in history:
        if each.lease == lease and each.kind == "effect":
            if each.token < highest_token:
                stale.append(each)
            highest_token = max(highest_token, each.token)
    return stale


def find_violations(history: Iterable[HistoryEntry], max_holders: int = 1) -> list[str]:
    """Return the violations of the invariants, sorted and without repetitions.

    With `max_holders` above 1 the leases are counted ones: each slot `NAME#SLOT` is a lease, and at most
    `max_holders` slots of a name may be held at a time.
    """
    entries = sorted(history, key=lambda each: each.at)
    violations: list[str] = []
    owners: dict[tuple[str, int], str] = {}
    current_holders: dict[str, dict[str, int]] = {}  # lease -> holder -> token
    highest_tokens: dict[str, int] = {}  # lease -> highest token of an interval
    for at, kind, lease, token, by in entries:
        if owners.setdefault((lease, token), by) != by:
            violations.append(f"{lease}: token {token} was {owners[lease, token]}'s and {by}'s")
        if lease not in current_holders and kind == "effect":
            continue  # no interval of this lease is recorded so far
        holders = current_holders.setdefault(lease, {})
        if kind == "held":
            if holders.keys() - {by}:
                violations.append(
                    f"{lease}: {by} holds at {at:.3f}, and so does {min(holders.keys() - {by})}"
                )
            if token <= highest_tokens.get(lease, 0) and holders.get(by) != token:
                violations.append(
                    f"{lease}: {by} holds under token {token} after token {highest_tokens[lease]}"
                )
            highest_tokens[lease] = max(highest_tokens.get(lease, 0), token)
            holders[by] = token
            if max_holders > 1:
                violations += _check_counted_lease(current_holders, lease, max_holders, at)
        elif kind == "lost":
            holders.pop(by, None)
        elif holders.get(by) != token:
            violations.append(
                f"{lease}: {kind} by {by} under token {token} at {at:.3f}, which it does not hold"
            )
    for lease in sorted({each.lease for each in entries}):
        if stale := stale_effects(entries, lease):
            violations.append(
                f"{lease}: {len(stale)} effects under a stale token, the first {tuple(stale[0])}"
            )
    return sorted(set(violations))


def _check_counted_lease(
    current_holders: dict[str, dict[str, int]], lease: str, max_holders: int, at: float
) -> list[str]:
    name = lease.partition("#")[0]
    holders = [by for each, held in current_holders.items() if each.partition("#")[0] == name for by in held]
    violations = (
        [f"{name}: {len(holders)} holders at {at:.3f}, {max_holders} allowed"]
        if len(holders) > max_holders
        else []
    )
    if len(set(holders)) < len(holders):
        violations.append(f"{name}: one process holds two slots at {at:.3f}")
    return violations
