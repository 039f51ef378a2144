"""The right to accept: every order of events among two and three processes, and mutants that must fail."""

from __future__ import annotations

import pytest

from switchhub.handover import accept_right
from switchhub.handover.accept_right import Heartbeat, PeerMonitor, RightClaim, RightState
from switchhub.lab.accept_right_model import AcceptRightModel
from switchhub.lab.explorer import explore


@pytest.mark.parametrize(
    ("count", "budget", "most", "whole"),
    [
        (2, {"stop": 1, "wake": 1}, 100_000, True),
        (2, {"stop": 1, "wake": 1, "kill": 1, "late": 2}, 5_000, False),
        (2, {"stop": 2, "wake": 2}, 10_000, False),
        (3, {"stop": 1, "wake": 1, "kill": 1}, 6_000, False),
    ],
)
def test_never_without_acceptor_for_long_and_the_newest_process_accepts_in_the_end(
    count: int, budget: dict[str, int], most: int, whole: bool
) -> None:
    found = explore(AcceptRightModel(count, budget), most, 400)
    assert found.violation is None, found
    assert found.complete is whole


class NeverStalledMonitor(PeerMonitor):
    def is_stalled(self, now: float) -> bool:
        return False


class NeverSuspectsPeer(RightState):
    def __init__(self, now: float, is_newer: bool) -> None:
        super().__init__(now, is_newer)
        self.monitor = NeverStalledMonitor(now)


class ActsBeforeReading(RightState):
    """Acts on the time before it has read what arrived while it was stalled."""

    def tick(self, now: float, unread: bool) -> RightClaim | None:
        return super().tick(now, False)


class AcceptsBeforeReading(RightState):
    """Accepts before it has read what arrived while it was stalled."""

    @property
    def accepts(self) -> bool:
        return self.holds_right or not self._peer_accepts


class NeverGivesBack(RightState):
    """Never gives the right back."""

    def tick(self, now: float, unread: bool) -> RightClaim | None:
        return None if self.holds_right and self.monitor.tick(now) >= 0 else super().tick(now, unread)


class NewerNeverWatchesOlder(RightState):
    """The newer process does not watch the older one."""

    def tick(self, now: float, unread: bool) -> RightClaim | None:
        if self.is_newer:
            self.monitor.tick(now)
            return None
        return super().tick(now, unread)


@pytest.mark.parametrize(
    ("mutant", "budget", "says"),
    [
        (NeverSuspectsPeer, {"stop": 1}, "nobody accepts"),
        (ActsBeforeReading, {"stop": 1, "wake": 1}, "but it was not"),
        (AcceptsBeforeReading, {"stop": 1, "wake": 1}, "a generation that is over"),
        (NeverGivesBack, {"stop": 1, "wake": 1}, "settled on"),
        (NewerNeverWatchesOlder, {"stop": 2, "wake": 1}, "nobody accepts"),
    ],
)
def test_each_guard_is_needed(mutant: type[RightState], budget: dict[str, int], says: str) -> None:
    found = explore(AcceptRightModel(2, budget, mutant), 60_000, 400)
    assert found.violation is not None and says in found.violation, found


def test_regain_delay_doubles_with_each_stall() -> None:
    side, now = RightState(0.0, False), 0.0
    delays: list[float] = []
    side.receive_claim(now, RightClaim(1, True))
    for _ in range(6):
        while side.newer_holds:
            now += 0.05
            side.tick(now, False)
        given_away_at = now
        while not side.newer_holds:
            now += 0.05
            side.receive_heartbeat(now, Heartbeat(side.generation, True, 0.0, False))
            side.tick(now, False)
        delays.append(round(now - given_away_at, 1))
    assert delays == pytest.approx([0.55, 1.05, 2.05, 4.05, 8.05, 8.05], abs=0.06)


def test_stalled_main_loop_has_a_longer_timeout_while_heartbeats_arrive() -> None:
    side = RightState(0.0, False)
    side.receive_claim(0.0, RightClaim(1, True))
    side.receive_heartbeat(0.01, Heartbeat(1, True, 0.0, False))
    for step in range(1, 40):
        now = step * 0.05
        side.receive_heartbeat(now, Heartbeat(1, True, now, False))
        if side.tick(now, False) is not None:
            assert now == pytest.approx(accept_right.LOOP_STALL_TIMEOUT_S)
            return
    raise AssertionError("the right was never claimed")


def test_process_shutting_down_loses_the_right_at_once_and_for_good() -> None:
    side = RightState(0.0, False)
    side.receive_claim(0.0, RightClaim(1, True))
    side.receive_heartbeat(0.05, Heartbeat(1, True, 0.0, True))
    assert side.tick(0.06, False) == RightClaim(60, False) and side.accepts
    for step in range(2, 100):
        side.receive_heartbeat(step * 0.05, Heartbeat(60, False, 0.0, True))
        assert side.tick(step * 0.05, False) is None


def test_claim_of_a_lower_generation_is_void_and_the_newer_process_wins_a_tie() -> None:
    older, newer = RightState(0.0, False), RightState(0.0, True)
    newer.take_over(1.0, 0)
    older.receive_claim(1.0, RightClaim(2000, False))
    older.receive_claim(1.0, RightClaim(1000, True))
    assert older.holds_right and older.generation == 2000
    older.receive_claim(1.0, RightClaim(2000, True))
    assert not older.holds_right
    newer.receive_claim(1.0, RightClaim(1000, False))
    assert newer.holds_right


def test_heartbeats_of_a_holder_that_does_not_accept_do_not_count() -> None:
    """The holder wakes and is stopped again: its thread sends a heartbeat before its main loop runs."""
    side = RightState(0.0, False)
    side.receive_claim(0.0, RightClaim(1, True))
    side.receive_heartbeat(0.0, Heartbeat(1, True, 0.0, False))
    side.receive_heartbeat(0.25, Heartbeat(1, False, 0.0, False))
    assert side.tick(0.31, False) is not None or side.tick(0.32, False) is not None
