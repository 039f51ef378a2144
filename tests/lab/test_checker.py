"""The judge trusts nobody: each mutant is caught by name, the sound balancer is never accused."""

from __future__ import annotations

import pytest

from switchhub.lab.checker import VIOLATION_RULES, Checker
from switchhub.lab.model import SimulatedBalancer, Simulation, decider_factory
from tests.lab.mutants import MUTANTS
from tests.lab.small_scenarios import SMALL_SCENARIOS, small_scenario


@pytest.mark.parametrize(
    ("mutant", "name", "called"), MUTANTS, ids=lambda each: getattr(each, "__name__", each)
)
def test_each_mutant_is_caught_by_name(mutant: type[SimulatedBalancer], name: str, violation: str) -> None:
    violations = (
        Simulation(small_scenario(name), 1, decider_factory("design"), balancer_type=mutant).run().violations
    )
    assert [each.name for each in violations[:1]] == [violation]
    assert violations[0].rule == VIOLATION_RULES[violation]
    assert violations[0].history, "both sides' story of the request"


@pytest.mark.parametrize("name", SMALL_SCENARIOS)
@pytest.mark.parametrize("seed", [1, 2])
def test_the_sound_balancer_is_never_accused(name: str, seed: int) -> None:
    outcome = Simulation(small_scenario(name), seed, decider_factory("design")).run()
    assert not outcome.violations
    assert sum(each["served"] for each in outcome.statistics.answer_counts) > 10


def test_every_break_is_caught_in_some_mutant() -> None:
    assert {violation for _, _, violation in MUTANTS} == set(VIOLATION_RULES)


def new_checker(slack: float = 0.05) -> Checker:
    scenario = small_scenario("errors")
    names = scenario.server_names()
    return Checker(scenario, dict.fromkeys(names, 0), dict.fromkeys(names, 0), slack)


def test_an_answer_in_the_tick_of_the_deadline_is_in_time_and_one_past_the_slack_is_not() -> None:
    late = ["answered late"]
    for after, expected in ((0.0, []), (0.05, []), (0.0501, late), (2.5, ["never answered", *late])):
        checker = new_checker()
        checker.opened(1.0, "r", "b0", 0, 1.5)
        checker.answered(2.5 + after, "r", "FAILED")
        assert [each.name for each in checker.finish(9.0)] == expected


def test_a_balancer_that_dies_owes_nothing_and_its_clients_retry_is_a_new_request() -> None:
    checker = new_checker()
    checker.opened(1.0, "r", "b0", 0, 1.5)
    checker.took(1.1, "s-0", "r")
    checker.balancer_died(1.2, "b0")
    checker.ended(1.2, "r")
    checker.opened(1.3, "q", "b1", 0, 1.5)
    checker.took(1.4, "s-1", "q")
    checker.said(1.4, "s-1", "q", "UP x")
    checker.answered(1.5, "q", "UP x")
    assert checker.finish(9.0) == []


def test_an_attempt_that_is_given_up_within_the_slack_is_not_a_second_at_once() -> None:
    for ended, expected in ((1.34, []), (1.36, ["two attempts at once"]), (None, ["two attempts at once"])):
        checker = Checker(small_scenario("calm"), {}, {}, 0.05)
        checker.opened(1.0, "r", "b0", 0, 1.5)
        checker.took(1.1, "s-0", "r")
        checker.took(1.3, "s-1", "r")
        if ended is not None:
            checker.dropped(ended, "s-0", "r", False)
        checker.said(1.4, "s-1", "r", "UP x")
        checker.answered(1.4, "r", "UP x")
        assert [each.name for each in checker.finish(9.0)] == expected


def test_a_cold_server_that_falls_counts_against_those_that_knew() -> None:
    scenario = small_scenario("cold")
    for notified, expected in (((), []), (("b0", "b1", "b2"), ["cold server pushed over"]), (("b0",), [])):
        checker = Checker(scenario, {}, {}, 0.0)
        checker.server_started(5.0, "s-0")
        for name in notified:
            checker.balancer_notified(5.2, name, "s-0", "Ready", 5.0)
        setups = []
        for number in range(9):
            name = f"r{number}"
            checker.opened(5.5, name, f"b{number % 3}", 0, 1.5)
            setups.append((5.5, name, 35.0 if number % 3 else 20.0))
        checker.cold_server_fell(5.6, "s-0", setups, 255.0)
        assert [each.name for each in checker.violations] == expected
        assert checker.crashes_without_notice == (not expected)
