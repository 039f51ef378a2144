"""Exhaustive exploration of memberships of three and four members.

The explorer runs every order of events within a budget of faults. Each safeguard is then removed in a
subclass, and the explorer has to find the violation that it prevents.
"""

from __future__ import annotations

from itertools import permutations

import pytest

from switchhub.lab.explorer import explore
from switchhub.lab.membership_model import MembershipModel
from switchhub.membership.messages import MemberUpdate, State
from switchhub.membership.swim import Member, Membership, Options, Probe


@pytest.mark.parametrize(
    ("count", "budget", "window"),
    [
        (3, {"lose": 1}, 40),
        (4, {"lose": 1}, 12),
        (3, {"lose": 2}, 5),
        (3, {"late": 1}, 20),
        (3, {"double": 1, "defer": 1}, 4),
        (3, {"crash": 1, "back": 1}, 12),
        (3, {"crash": 1, "back": 1, "lose": 1}, 1),
        (4, {"crash": 1, "back": 1}, 4),
    ],
)
def test_running_member_is_never_declared_dead_and_views_converge(
    count: int, budget: dict[str, int], window: int
) -> None:
    result = explore(MembershipModel(count, budget, window=window), 60_000, 400)
    assert result.violation is None, result
    assert result.complete and result.states > 300


class NeverRefutes(Membership):
    def _raise_incarnation(self, above: int) -> None:
        pass


class ProbesOnceWithoutSuspicionTime(Membership):
    """No indirect probers, no second probe, and hardly any time to refute a suspicion."""

    def _retry_probe(self, probe: Probe, now: float) -> None:
        probe.retry_at, probe.indirect_probers = 1e9, 0

    def _suspicion_duration(self, member: Member) -> float:
        return 0.1


class NeverDeclaresDead(Membership):
    def _declare_dead(self, name: str, member: Member, now: float) -> None:
        member.dead_at = now + 1.0


class NeverReconnects(Membership):
    def _reconnect(self, now: float) -> None:
        self._reconnect_at = now + 1.0


class ResetsIncarnation(Membership):
    """Sets its incarnation to 0 where it should raise it above a claim about its former process."""

    def _raise_incarnation(self, above: int) -> None:
        self.incarnation = 0
        self._announce_self()


@pytest.mark.parametrize(
    ("mutant", "budget", "expected_violation"),
    [
        (NeverRefutes, {"crash": 1, "back": 1}, "to be alive, but"),
        (ProbesOnceWithoutSuspicionTime, {"lose": 1}, "dead, which is running"),
        (NeverDeclaresDead, {"crash": 1}, "to be alive, but"),
        (NeverReconnects, {"crash": 1, "back": 1}, "to be alive, but"),
        (ResetsIncarnation, {"crash": 1, "back": 1}, "to be alive, but"),
    ],
)
def test_explorer_finds_violation_without_safeguard(
    mutant: type[Membership], budget: dict[str, int], expected_violation: str
) -> None:
    result = explore(MembershipModel(3, budget, mutant), 60_000, 400)
    assert result.violation is not None and expected_violation in result.violation, result


def _state_after(updates: tuple[MemberUpdate, ...]) -> tuple[int, State]:
    member = Membership("n0", "a-n0", 1, (), Options(), 1, 0.0)
    for update in updates:
        member._apply(update, 0.0, "")
    known = member.members["x"].latest
    return known.incarnation, known.state


UPDATES = [
    MemberUpdate("x", "a-x", 7, incarnation, state, "w")
    for incarnation, state in (
        (0, State.ALIVE),
        (0, State.DEAD),
        (1, State.SUSPECT),
        (1, State.ALIVE),
        (2, State.LEFT),
    )
]


def test_same_updates_in_any_order_give_same_state() -> None:
    assert {_state_after(updates) for updates in permutations(UPDATES)} == {(2, State.LEFT)}
    assert {_state_after(updates) for updates in permutations(UPDATES[:4])} == {(1, State.SUSPECT)}


def test_without_precedence_among_updates_the_last_one_wins(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemberUpdate, "supersedes", lambda self, other: self != other)
    assert len({_state_after(updates) for updates in permutations(UPDATES)}) > 1
