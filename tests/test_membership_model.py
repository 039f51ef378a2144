"""Membership: every order of events of three and four, and mutants that the explorer must find."""

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
def test_a_living_one_is_never_buried_and_views_converge(
    count: int, budget: dict[str, int], window: int
) -> None:
    found = explore(MembershipModel(count, budget, window=window), 60_000, 400)
    assert found.violation is None, found
    assert found.complete and found.states > 300


class NeverRefutes(Membership):
    def _raise_incarnation(self, above: int) -> None:
        pass


class AsksOnce(Membership):
    """No helpers, no second question, and no time to refute."""

    def _retry_probe(self, probe: Probe, now: float) -> None:
        probe.retry_at, probe.indirect_probers = 1e9, 0

    def _suspicion_duration(self, member: Member) -> float:
        return 0.1


class NeverBuries(Membership):
    def _declare_dead(self, name: str, member: Member, now: float) -> None:
        member.dead_at = now + 1.0


class NeverCalls(Membership):
    def _reconnect(self, now: float) -> None:
        self._reconnect_at = now + 1.0


class Forgetful(Membership):
    """Starts each life, and each claim, from nothing."""

    def _raise_incarnation(self, above: int) -> None:
        self.incarnation = 0
        self._announce_self()


@pytest.mark.parametrize(
    ("mutant", "budget", "says"),
    [
        (NeverRefutes, {"crash": 1, "back": 1}, "alive, and"),
        (AsksOnce, {"lose": 1}, "which lives"),
        (NeverBuries, {"crash": 1}, "alive, and"),
        (NeverCalls, {"crash": 1, "back": 1}, "alive, and"),
        (Forgetful, {"crash": 1, "back": 1}, "alive, and"),
    ],
)
def test_each_guard_is_needed(mutant: type[Membership], budget: dict[str, int], says: str) -> None:
    found = explore(MembershipModel(3, budget, mutant), 60_000, 400)
    assert found.violation is not None and says in found.violation, found


def _believed(order: tuple[MemberUpdate, ...]) -> tuple[int, State]:
    member = Membership("n0", "a-n0", 1, (), Options(), 1, 0.0)
    for news in order:
        member._apply(news, 0.0, "")
    known = member.members["x"].latest
    return known.incarnation, known.state


WORDS = [
    MemberUpdate("x", "a-x", 7, incarnation, state, "w")
    for incarnation, state in (
        (0, State.ALIVE),
        (0, State.DEAD),
        (1, State.SUSPECT),
        (1, State.ALIVE),
        (2, State.LEFT),
    )
]


def test_what_all_have_heard_all_believe_in_whatever_order_it_came() -> None:
    assert {_believed(order) for order in permutations(WORDS)} == {(2, State.LEFT)}
    assert {_believed(order) for order in permutations(WORDS[:4])} == {(1, State.SUSPECT)}


def test_without_an_order_among_words_the_last_one_stands(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemberUpdate, "supersedes", lambda self, other: self != other)
    assert len({_believed(order) for order in permutations(WORDS)}) > 1
