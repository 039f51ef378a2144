"""What one call, message or turn of the lease service costs when a caller uses ever new names."""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any

import pytest

from switchhub.leases import proposer as proposer_module
from switchhub.leases.config import LeaseConfig
from switchhub.leases.messages import ProcessIdentity
from switchhub.leases.service import EXTERNAL_HOLD_TIMEOUT, LeaseService

IDENTITY = ProcessIdentity("n1", 1, "v0")
STEP = 0.01  # seconds


def lines_run(work: Callable[[], object]) -> int:
    """Return how many lines of Python this work runs."""
    count = 0

    def trace(_frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def deliver(service: LeaseService, now: float) -> None:
    """Deliver the messages of a service that is its own only voter, until there are none."""
    while service.out:
        sent, service.out = service.out, []
        for each in sent:
            service.receive(now, each.message)


def service_with_holds(count: int) -> tuple[LeaseService, float]:
    """Return a service that holds so many leases for commands, and the time."""
    service = LeaseService(IDENTITY, LeaseConfig(("v0",)), 1, 0.0)
    now = 10.0
    service.turn(now)
    for number in range(count):
        service.hold_external(f"lease{number}", now)
    service.turn(now)
    deliver(service, now)
    service.deadline()  # schedules each lease at its next time, once for all that has happened
    assert service.held_token(f"lease{count - 1}", now) == 1
    return service, now


def hold_a_new_name(service: LeaseService, now: float) -> None:
    """Do all that a new name leads to until it is held."""
    service.hold_external("new", now)
    service.lease_status("new", now)
    service.turn(now)
    while service.out:
        sent, service.out = service.out, []
        for each in sent:
            service.receive(now, each.message)
            service.deadline()
    assert service.held_token("new", now) == 1


def test_the_cost_of_a_new_name_does_not_grow_with_the_names_that_are_held() -> None:
    """Each call and each message looked at all names: a caller with ever new names delayed all clients."""
    costs = []
    for count in (20, 2000):
        service, now = service_with_holds(count)
        costs.append(lines_run(lambda service=service, now=now: hold_a_new_name(service, now + STEP)))  # type: ignore[misc]
    assert costs[1] <= 2 * costs[0]


def test_status_of_one_lease_equals_its_row_among_all() -> None:
    service, now = service_with_holds(5)
    service.acquire("asked for", now)
    rows = service.lease_statuses(now)
    assert [row["name"] for row in rows] == sorted([*(f"lease{n}" for n in range(5)), "asked for"])
    assert [service.lease_status(str(row["name"]), now) for row in rows] == rows
    assert service.lease_status("another", now)["state"] == "unknown"


def test_holds_that_are_not_renewed_end_each_at_its_time() -> None:
    service, now = service_with_holds(3)
    service.hold_external("lease0", now + 1.0)
    service.turn(now + EXTERNAL_HOLD_TIMEOUT)
    assert [service.held_token(f"lease{n}", now + 2.0) for n in range(3)] == [1, None, None]
    assert service.deadline() <= now + 1.0 + EXTERNAL_HOLD_TIMEOUT


def test_tokens_of_ever_new_names_do_not_use_memory_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is forgotten must not lower the token that voters are told of: some may have lost theirs."""
    monkeypatch.setattr(proposer_module, "MAX_KNOWN_TOKENS", 10)
    service, now = service_with_holds(1)
    for number in range(100):
        service.hold_external(f"name{number}", now)
        service.turn(now)
        deliver(service, now)
        service.release_external(f"name{number}", now)
        deliver(service, now)
    known = service.proposer.known_tokens
    assert len(known) <= 11
    assert known["lease0"] == 1
    service.proposer.acquire("name0", now)
    service.proposer.turn(now)
    (status_request,) = [each.message for each in service.proposer.out]
    assert status_request.known_token >= 1  # type: ignore[union-attr]
