"""Clusters of five and more real balancer processes, under faults of processes, networks and clocks."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest

from switchhub.lab.faults.fleet import Plan, Record, parse_plan, run_plans
from switchhub.lab.faults.process_harness import PlanError

MEMBERSHIP_PLANS: dict[str, tuple[int, *tuple[str, ...]]] = {
    "three of seven are killed": (7, "kill n0,n2,n4", "say n1,n3,n5,n6 n0,n2,n4 dead 4", "agree 4"),
    "one is stopped for ten seconds": (
        5, "stop n1", "say -n1 n1 dead 4", "6500", "wake n1", "agree 3",
    ),
    "three are partitioned from four": (
        7, "cut n0,n1,n2 n3,n4,n5,n6", "say n0,n1,n2 n3,n4,n5,n6 dead 6", "view n0,n1,n2 doubtful 2",
        "view n3,n4,n5,n6 sure 3", "heal", "agree 5",
    ),
    "one is partitioned from all": (
        5, "cut n4 *", "view n4 alone 6", "none n4 datagrams_in", "heal", "agree 5",
    ),
    "messages from A to B are lost": (5, "oneway n0 n1", "3000", "say * * alive 2", "heal", "agree 3"),
    "all messages from one are lost": (5, "oneway n0 *", "say -n0 n0 dead 6", "heal", "agree 5"),
    "20 percent of all datagrams are lost": (5, "loss * * 0.2", "5000", "heal", "agree 4"),
    "delayed, reordered, duplicated and corrupted datagrams": (
        5, "delay * * 10 40", "double * * 0.3", "corrupt * * 0.02", "4000", "heal", "agree 4",
    ),
    "only small datagrams pass, and connections hang": (
        5, "narrow * * 150", "hold * *", "3000", "say * * alive 1", "heal", "agree 3",
    ),
    "three groups connected by one member each": (
        9, "cut n1,n2 n3,n4,n5,n6,n7,n8", "cut n4,n5 n0,n6,n7,n8", "cut n7,n8 n0,n3", "5000", "heal",
        "agree 6",
    ),
    "one member bridges a partition": (
        7, "cut n0,n1,n2 n3,n4,n5", "5000", "say * * alive 4", "heal", "agree 4",
    ),
    "two processes with one name": (
        5, "twin n2", "told n2-twin two_processes 6", "say -n2 n2 alive 3", "3000", "say -n2 n2 alive 1",
    ),
    "an upgrade is one member": (5, "upgrade n1", "agree 3", "upgrade n1,n2", "agree 3", "say * * alive 1"),
    "the peers' address is in use for a while": (
        5, "kill n1", "take n1", "start n1", "say -n1 n1 dead 4", "give n1", "agree 4",
    ),
    "a terminated one has left": (5, "term n3", "say -n3 n3 left 2", "agree 2", "start n3", "agree 4"),
    "rolling kill and restart": (
        5, "kill n0", "start n0", "agree 4", "kill n1", "start n1", "agree 4", "kill n2", "start n2",
        "agree 4",
    ),
    "one runs out of file descriptors, one is on a slow CPU": (
        5, "choke n1", "slow n2", "3000", "say n0,n3,n4 n0,n2,n3,n4 alive 3", "free n1", "agree 5",
    ),
    "one without file descriptors meets a restarted one": (
        5, "kill n3", "say -n3 n3 dead 4", "choke n1", "start n3", "say n0 n3 alive 4", "2500", "free n1",
        "agree 8",
    ),
    "random bytes": (5, "garbage n0,n1", "agree 3", "1000", "say * * alive 1"),
    "clocks that drift, and one that jumps by an hour": (
        5, "kill n1,n2,n3", "start n1 1.05", "start n2 0.95", "start n3 1.0,4,3600", "agree 6", "4000",
        "say * * alive 1", "agree 2",
    ),
    "many clients at one balancer": (5, "storm n0 1500", "3000", "agree 6"),
}  # fmt: skip
ALL_VOTE = "told n0,n1,n2 voting_from_now_on 8"  # two of the three voters suffice for `acts`
LEASE_PLANS: dict[str, tuple[str, ...]] = {
    "killed, then stopped": (
        "acts d 8", ALL_VOTE, "500", "kill @d", "passes d 4.5", "500", "stop @d", "passes d 4.5", "500",
    ),
    "handed on, then the holder is partitioned and returns": (
        "acts d 8", ALL_VOTE, "hand-on d 2", "500", "cut @d *", "passes d 4.5", "1000", "heal", "acts d 1",
        "agree 6",
    ),
    "the holder can't send, then can't receive": (
        "acts d 8", ALL_VOTE, "oneway @d *", "passes d 4.5", "heal", "agree 8", "oneway * @d",
        "passes d 4.5", "500",
    ),
    "the holder is in a minority with one voter": (
        "acts d 8", ALL_VOTE, "cut n0,@d -n0,@d", "passes d 4.5", "1500", "heal", "agree 6",
    ),
    "two voters restart, each within a lease": (
        "acts d 8", "kill n1", "start n1", "500", "acts d 1", "4500", "kill n2", "start n2", "4500",
        "acts d 1",
    ),
    "all voters killed at once, back one by one": (
        "acts d 8", "kill n0,n1,n2", "4000", "start n0", "300", "start n1", "300", "start n2",
        "acts d 10",
    ),
    "an upgrade of the holder": ("acts d 8", "upgrade @d", "passes d 4.5", "agree 5"),
    "many clients at the holder": ("acts d 8", "storm @d 1500", "3000", "acts d 1"),
    "delayed, duplicated and lost datagrams": (
        "acts d 8", "loss * * 0.2", "double * * 0.3", "delay * * 5 60", "6000", "heal", "acts d 4.5",
    ),
}  # fmt: skip
BOTH_VOTER_SETS = "n0,n1,n3 n0,n1,n2"  # new and previous voters
NEW_VOTERS = "n0,n1,n3"
VOTER_CHANGE = [
    *(
        part
        for name in ("n4", "n3", "n0", "n1", "n2")
        for part in (f"refile {name} {BOTH_VOTER_SETS}", "acts d 6", "3500")
    ),
    *(
        part
        for name in ("n3", "n0", "n1", "n4")
        for part in (f"refile {name} {NEW_VOTERS}", "acts d 6", "3500")
    ),
]
LEASE_PLANS["a voter is replaced, one operator file after another"] = (
    "acts d 8", *VOTER_CHANGE, "term n2", "acts d 5", "kill n1", "acts d 5", "agree 6",
)  # fmt: skip
START = ("duty n0,n3,n4 d", "acts d 8")
COMBINED_FAULTS = [
    Plan(5, steps, name=name, voters=3)
    for name, steps in {
        "stopped between check and effect, resumed while another one holds": (
            *START, "halt @d", "passes d 7", "go *", "1500", "acts d 4",
        ),
        "two voters restart while the third is partitioned": (
            *START, ALL_VOTE, "cut n2 *", "kill n0,n1", "start n0,n1", "acts d 12", "heal", "agree 8",
            "acts d 2",
        ),
        "voters are changed during a partition": (
            *START, "cut n2 *", *(f"refile {name} {BOTH_VOTER_SETS}" for name in ("n4", "n3", "n0", "n1")),
            "4000", "heal", f"refile n2 {BOTH_VOTER_SETS}", "agree 8", "acts d 10",
        ),
        "clocks of voters slow and of a holder fast by the bound, one jumps by an hour": (
            "kill n0,n1,n2,n3", "start n0 0.95", "start n1 0.95", "start n2 0.95", "start n3 1.05,6,3600",
            "agree 8", "duty n3,n4 d", "acts d 8", "6000", "cut @d *", "passes d 5", "heal", "agree 8",
            "acts d 2",
        ),
        "the old process is paused in the middle of an upgrade": (
            *START, "stall-upgrade @d", "passes d 8", "agree 12", "acts d 2",
        ),
        "a voter restarts twice within the lease, under load": (
            *START, ALL_VOTE, "kill n1", "start n1", "800", "kill n1", "start n1", "800", "storm n1 1000",
            "acts d 1", "4500", "acts d 1",
        ),
    }.items()
] + [
    Plan(
        9, ("duty n0,n5,n6,n8 d", "acts d 8", "cut n0,n1,n5,n8 -n0,n1,n5,n8", "cut n2,n3,n6 n4,n7", "6000",
            "heal", "acts d 8", "agree 8"), name="five voters partitioned into three groups", voters=5,
    ),
    Plan(
        5, ("duty n1,n3,n4 d", "acts d 8", "kill n0", "4000", "start n0", "passes d 10", "cut @d *",
            "passes d 6", "heal", "agree 6"), name="the only voter is killed", voters=1,
    ),
]  # fmt: skip
PLANS_AT_ONCE = 3
SEEDS_DOWN_AT_START = Plan(
    5, ("start n2,n3,n4", "2500", "view n2,n3,n4 alone 3", "start n0", "agree 5"), start=False
)


def details(record: Record) -> object:
    """What an assertion shows about a failed run."""
    return record.plan, record.violations(), record.statistics(), record.logs


@pytest.mark.parametrize("at", range(0, len(MEMBERSHIP_PLANS), PLANS_AT_ONCE))
def test_members_agree_under_faults(at: int) -> None:
    plans = [
        Plan(count, tuple(steps))
        for count, *steps in list(MEMBERSHIP_PLANS.values())[at : at + PLANS_AT_ONCE]
    ]
    for record in run_plans(plans, PLANS_AT_ONCE):
        assert not record.violations(), details(record)


ALL_LEASE_PLANS = [
    Plan(5, (START[0], *steps), name=name, voters=3) for name, steps in LEASE_PLANS.items()
] + COMBINED_FAULTS


@pytest.mark.parametrize("at", range(0, len(ALL_LEASE_PLANS), PLANS_AT_ONCE))
def test_lease_has_one_holder_and_is_taken_over_soon(at: int) -> None:
    """Checked by the effects: each token is used by one holder, and never after a higher token was used.

    Only the plan that halts a holder between check and effect may produce effects that are refused by token.
    """
    for record in run_plans(ALL_LEASE_PLANS[at : at + PLANS_AT_ONCE], PLANS_AT_ONCE):
        assert not record.violations() and len(record.effects) > 50, details(record)
        assert bool(record.refused) is ("halt @d" in record.plan), details(record)


CORE, VOTER = "switchhub.membership.swim:Membership", "switchhub.leases.voter:Voter"


@pytest.mark.parametrize(
    ("mutant", "plan"),
    [
        (
            f"{CORE}=tests.test_membership_model:NeverRefutes",
            Plan(5, ("kill n1", "say -n1 n1 dead 4", "start n1", "agree 4")),
        ),
        (f"{CORE}=tests.test_membership_model:NeverDeclaresDead", Plan(5, ("kill n1", "say -n1 n1 dead 4"))),
        (
            f"{CORE}=tests.test_membership_model:NeverReconnects",
            Plan(5, ("cut n0,n1 n2,n3,n4", "say n0,n1 n2,n3,n4 dead 6", "heal", "agree 6")),
        ),
        (
            f"{CORE}=tests.test_membership_model:ProbesOnceWithoutSuspicionTime",
            Plan(5, ("oneway n0 n1", "3000", "heal", "agree 4")),
        ),
        (
            f"{VOTER}=tests.test_leases:NoWait",
            Plan(
                5,
                ("duty n0,n3,n4 d", "acts d 8", "cut @d n1,n2", "kill n1,n2", "start n1,n2", "5000"),
                voters=3,
            ),
        ),
    ],
)
def test_live_plans_detect_broken_variants(mutant: str, plan: Plan, monkeypatch: pytest.MonkeyPatch) -> None:
    """A plan passes with the real program and fails with one class replaced by a broken variant."""
    monkeypatch.setenv("LAB_MUTANT", mutant)
    intact, broken = run_plans([plan, replace(plan, launch="tests.lab.start_mutant")], 2)
    assert not intact.violations(), details(intact)
    assert not any("traceback" in each for each in broken.violations()), details(broken)
    assert broken.violations() or (broken.death_declarations() and not intact.death_declarations()), details(
        broken
    )


def test_lease_with_two_slots_never_has_three_holders() -> None:
    """A slot whose holder is killed, stopped or partitioned is soon taken over."""
    steps = (
        "duty * r", "busy r 2 10", "kill @r", "500", "busy r 2 6", "stop @r", "1500", "busy r 2 6",
        "cut @r *", "1500", "busy r 2 6", "heal", "1000", "busy r 2 6",
    )  # fmt: skip
    (record,) = run_plans([Plan(6, steps, voters=3, counted={"r": 2})], 1)
    assert not record.violations() and len(record.effects) > 50, details(record)
    assert {lease for _, lease, _, _ in record.effects} == {"r#0", "r#1"}


def test_terminated_fault_run_leaves_no_process_behind(tmp_path: Path) -> None:
    """SIGTERM to the lab must end its balancers too: 30 of them once outlived a search for failing plans."""
    path = tmp_path / "plan.toml"
    path.write_text(Plan(3, ("60000",), name="long").to_toml(), encoding="utf-8")
    command = [sys.executable, "-m", "switchhub", "lab", "faults", "run", str(path)]
    lab = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    children = Path(f"/proc/{lab.pid}/task/{lab.pid}/children")
    found: list[str] = []
    deadline = time.monotonic() + 30.0
    while len(found) < 3 and time.monotonic() < deadline:
        found = children.read_text().split()
        time.sleep(0.05)
    lab.send_signal(signal.SIGTERM)
    lab.wait(30.0)
    assert len(found) >= 3
    while any(Path(f"/proc/{pid}").exists() for pid in found) and time.monotonic() < deadline + 10.0:
        time.sleep(0.05)
    assert not [pid for pid in found if Path(f"/proc/{pid}").exists()]


def test_balancers_serve_while_seeds_are_down_and_join_later() -> None:
    (record,) = run_plans([SEEDS_DOWN_AT_START], 1)
    assert not record.violations(), details(record)


def test_full_partition_passes_no_bytes() -> None:
    """Members learn addresses by gossip.

    An address other than that of the rig's proxy would let bytes bypass the partition.
    """
    plan = Plan(5, ("cut * *", "none * datagrams_in", "2000", "view * alone 6"))
    (record,) = run_plans([plan], 1)
    assert not record.violations(), details(record)
    last_counts = {name: status["counts"] for _, name, status in record.said}
    for name, counts in last_counts.items():
        passed = sum(size for link, size in record.passed.items() if link.endswith(f">{name}"))
        assert 0 < counts["bytes_in"] <= passed, (name, counts, record.passed)


def test_record_reports_deaths_without_a_cause() -> None:
    """The checker itself: a death in the log is a violation unless a fault was injected before it."""
    record = Record("", balancers=3, effects=[(1.0, "d", 1, "n0"), (1.1, "d", 2, "n1"), (1.2, "d", 1, "n0")])
    assert record.violations() == [
        "d: 1 effects under a stale token, the first (1.2, 'effect', 'd', 1, 'n0')"
    ]
    record.effects[-1] = (1.2, "d", 2, "n0")
    assert record.violations() == ["d: token 2 was n1's and n0's"]
    line = "   5.000 05:00 INFO peers: n1 alive -> dead (incarnation 0): suspected for 1.0 s"
    record = Record("", balancers=3, logs={"n0": [line]}, done=[(1.0, "agree 3")])
    assert record.violations() == [
        "n0 declared n1 dead at 5.00 s, although no fault had been injected at either"
    ]
    record.done.append((2.0, "stop n1"))
    assert not record.violations()
    record.done[:] = [(2.0, "cut n1 n2"), (2.5, "heal")]
    record.logs["n0"] = [line.replace("5.000", "30.000")]
    assert record.violations()


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("balancers = 99\nsteps = []", "balancers = 99"),
        ("balancers = 3\nsteps = ['fly n0']", "steps[0] = 'fly n0'"),
        ("balancers = 3\nsteps = ['kill n7']", "n7"),
        ("balancers = 3\nsteps = ['loss n0 n1']", "1 arguments"),
        ("balancers = 3\nsteps = [1]", "a list of texts"),
        ("balancers = 3\nstep = []", "step: expected"),
        ("balancers = ", "plan: "),
    ],
)
def test_invalid_plans_are_rejected_in_one_line(text: str, expected_error: str) -> None:
    with pytest.raises(PlanError, match=r".+") as found:
        parse_plan(text)
    assert expected_error in str(found.value) and "\n" not in str(found.value)


def test_plan_survives_writing_and_reading() -> None:
    plan = Plan(5, ("kill n0", "say -n0 n0 dead 3"), {"period_ms": 300}, False, "x")
    assert parse_plan(plan.to_toml()) == plan


def test_without_operator_file_none_of_its_modules_are_imported() -> None:
    code = (
        "import sys, switchhub.__main__ as m; assert m.create_peer_node(None) is None; "
        "import json; print(json.dumps([n for n in sys.modules if 'switchhub' in n or n == 'msgspec']))"
    )
    environ = {key: value for key, value in os.environ.items() if key != "SWITCHHUB_OPERATOR"}
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, env=environ, check=True, timeout=60
    )
    names = json.loads(out.stdout)
    assert "switchhub.net.listener" in names
    assert not [n for n in names if n == "msgspec" or ".peers" in n or ".membership" in n or "operator" in n]
