"""The adapter for the simulator's line protocol, driven with input text as the simulator drives it."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path

import pytest

from switchhub.decision.placement import Balancer
from switchhub.wirehost.host import serve

ROOT = Path(__file__).parent.parent
SETTINGS = [
    "Allowed.MaxAttempts=4",
    "Allowed.Probes=false",
    "Allowed.RetryAfter=true",
    "Allowed.MaxRetryAfter=600.0",
    "Az=0",
    "Classes.count=1",
    "Classes.0.Deadline=1200.0",
    "Classes.0.GoalTime=300.0",
    "Classes.0.Repeat=repeatable",
    "Classes.0.Name=any",
    "Classes.0.Stream=true",
    "Classes.0.Worth=1.0",
    "Discovery=ask",
    "FleetSize=4",
    "FamilyInfo.MessageAim=60.0",
    "Rules.AskWithin=10000.0",
    "Rules.Cold=8000.0",
    "Rules.ColdFrom=0.3",
    "Rules.DrainGrace=500.0",
    "Rules.Fall=3000.0",
    "Rules.FallMultiple=3.0",
    "Unheard.Of=yes",
]
BOOT = "\t".join(["boot", "balancer-0", "5", *SETTINGS])
SERVER_LIST = "catalog\t0\t1\nserver\tserver_a\t0\t0\t0\tlive\t1\t-\nendpoints\tbalancer-0\tC\t1\t0"
DEMAND = "demand\tbalancer-0\tt/1\t0\t1200.0\t0\t12.0\t-\t-\t1"


def batch(*lines: str, now: float = 1000.0) -> str:
    """Return the lines as one batch at the time `now` in milliseconds."""
    return "\n".join([f"frame\t{now}", *lines, "over_to_you", ""])


def run(*batches: str) -> tuple[int, list[str], str]:
    """Serve the batches; return the exit status, the output lines and the text on the error stream."""
    output, error_output = io.StringIO(), io.StringIO()
    status = serve(io.StringIO("".join(batches)), output, error_output)
    return status, output.getvalue().splitlines(), error_output.getvalue()


def test_empty_input_and_empty_batch_are_valid() -> None:
    assert run() == (0, [], "")
    assert run(batch()) == (0, ["ok"], "")


def test_connection_from_request_to_close() -> None:
    status, lines, errors = run(
        batch(BOOT, SERVER_LIST),
        batch(DEMAND),
        batch("under_way\tbalancer-0\tt/1\t0\t20.0\tserver_a"),
        batch("note\tbalancer-0\tt/1\t0\tserver_a\t1\t9000.0", "note\tbalancer-0\tt/1\t0\tserver_a\t7\t1"),
        batch("answer\tbalancer-0\tt/1\t0\tserver_a\t1\t900.0\tpass\trps:1.5,x0:0.2", now=2000.0),
        batch("answer\tbalancer-0\tt/1\t0\tserver_a\t1\t900.0\tpass\t-", "dropped\tbalancer-0\tt/1"),
    )
    assert (status, errors) == (0, "")
    assert (
        lines == ["watch\tbalancer-0\t1", "ok", "attempt\tbalancer-0\tt/1\tserver_a\t1200.000"] + ["ok"] * 5
    )


@pytest.mark.parametrize(
    ("outcome", "expected_action"),
    [
        (outcome, "attempt")
        for outcome in ("fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send")
    ],
)
def test_each_failed_attempt_is_followed_by_another(outcome: str, expected_action: str) -> None:
    servers = SERVER_LIST.replace("catalog\t0\t1", "catalog\t0\t2\nserver\tserver_b\t0\t0\t0\tlive\t1.5\t-")
    first_server = run(batch(BOOT, servers), batch(DEMAND))[1][2].split("\t")[3]
    _, lines, errors = run(
        batch(BOOT, servers),
        batch(DEMAND),
        batch(f"answer\tbalancer-0\tt/1\t0\t{first_server}\t0\t5.0\t{outcome}\t-"),
    )
    assert errors == ""
    assert any(line.startswith(expected_action) for line in lines[4:])


def test_request_may_lack_hint_tenant_key_and_group_and_invalid_hint_is_ignored() -> None:
    without_optional_fields = "demand\tbalancer-0\tt/2\t0\t1200.0\t-\t-\t-\t-\t0"
    with_invalid_hint = "demand\tbalancer-0\tt/3\t0\t1200.0\t-\t99.0\t-\t-\t16"
    status, lines, _ = run(batch(BOOT, SERVER_LIST), batch(without_optional_fields, with_invalid_hint))
    assert status == 0
    assert [line.split("\t")[2] for line in lines if line.startswith("attempt")] == ["t/2", "t/3"]


def test_adopted_connections_are_moved_off_a_slow_server() -> None:
    adopted = "adopted\tbalancer-0\tt/9\t0\t0\t-\t0\t12.0\t-\t1\tserver_a"
    delay_reports = [f"note\tbalancer-0\tt/9\t0\tserver_a\t2\t{delay}" for delay in (900.0,)]
    many_adopted = [adopted] + [adopted.replace("t/9", f"t/x{n}") for n in range(20)]
    _, lines, errors = run(batch(BOOT, SERVER_LIST), batch(*many_adopted), batch(*delay_reports))
    assert errors == ""
    assert any(line.startswith("bounce\tbalancer-0\t") for line in lines)


def test_halt_and_boot_in_one_batch_discard_former_state() -> None:
    status, lines, _ = run(
        batch(BOOT, SERVER_LIST),
        batch(DEMAND),
        batch(
            "halt\tbalancer-0",
            BOOT,
            "catalog\t0\t0",
            "endpoints\tbalancer-0\tC\t1\t0",
            DEMAND.replace("/1", "/2"),
        ),
    )
    assert status == 0
    assert lines[-3:] == ["watch\tbalancer-0\t1", "not_now\tbalancer-0\tt/2\t600.000", "ok"]


def test_list_number_can_be_reused_within_a_batch_and_instances_share_no_state() -> None:
    second_boot = BOOT.replace("balancer-0", "balancer-1")
    second_list = SERVER_LIST.replace("server_a", "server_b").replace("balancer-0", "balancer-1")
    status, lines, _ = run(
        batch(BOOT, SERVER_LIST, second_boot, second_list),
        batch(DEMAND, DEMAND.replace("balancer-0", "balancer-1")),
    )
    assert status == 0
    assert [line.split("\t")[1:4] for line in lines if line.startswith("attempt")] == [
        ["balancer-0", "t/1", "server_a"],
        ["balancer-1", "t/1", "server_b"],
    ]


def test_due_timer_requests_the_server_list_again_and_unknown_token_is_ignored() -> None:
    _, lines, _ = run(batch(BOOT, SERVER_LIST), batch("endpoints\tbalancer-0\tX\t0\t0"))
    set_timer = next(line for line in lines if line.startswith("set_alarm"))
    token = set_timer.split("\t")[2]
    _, lines, _ = run(
        batch(BOOT, SERVER_LIST),
        batch("endpoints\tbalancer-0\tX\t0\t0"),
        batch(f"deadline_hit\tbalancer-0\t{token}", "deadline_hit\tbalancer-0\t424242"),
    )
    assert lines[-2:] == ["watch\tbalancer-0\t1", "ok"]


def test_probe_answer_and_peer_message_are_accepted() -> None:
    lines = ["pong\tbalancer-0\t3.0\tserver_a\tpass\tx0:0.5", "whisper\tbalancer-0\t2\taGkgNw=="]
    assert run(batch(BOOT, SERVER_LIST), batch(*lines))[0] == 0


@pytest.mark.parametrize(
    ("line", "expected_error"),
    [
        ("gibberish\tbalancer-0", "message gibberish: field name"),
        ("dropped\tbalancer-0", "message dropped: field Ticket: field is missing"),
        ("dropped\tbalancer-7\tt/1", "field I: unknown instance"),
        ("under_way\tbalancer-0\tt/1\tx\t20.0\tserver_a", "message under_way: field Copy"),
        ("under_way\tbalancer-0\tt/1\t0\tnan\tserver_a", "message under_way: field Spent"),
        ("answer\tbalancer-0\tt/1\t0\tserver_a\t1\t9.0\tgreat\t-", "message answer: field Status"),
        ("answer\tbalancer-0\tt/1\t0\tserver_a\tyes\t9.0\tpass\t-", "message answer: field Final"),
        ("answer\tbalancer-0\tt/1\t0\tserver_a\t1\t9.0\tpass\tx0:much", "message answer: field Report"),
        ("endpoints\tbalancer-0\tF\t1\t9", "message endpoints: field Table: unknown catalog number 9"),
        ("endpoints\tbalancer-0\tQ\t1\t0", "message endpoints: field Scope"),
        ("demand\tbalancer-0\tt/1\t5\t1200.0\t0\t12.0\t-\t-\t1", "message demand: field Class"),
        ("demand\tbalancer-0\tt/1\t0\tsoon\t0\t12.0\t-\t-\t1", "message demand: field Budget"),
        ("catalog\t16\t0", "message catalog: field Table"),
        (
            "catalog\t0\t2\nserver\tserver_a\t0\t0\t0\tlive\t1\t-",
            "message catalog: field Elements: 1 entries are missing",
        ),
        ("catalog\t0\t1\nserver\tserver_a\t0\t0\t0\tasleep\t1\t-", "message server: field Mode"),
    ],
)
def test_malformed_batch_gets_no_reply_one_error_line_and_status_2(line: str, expected_error: str) -> None:
    status, lines, errors = run(batch(BOOT, SERVER_LIST), batch(line))
    assert status == 2
    assert lines == ["watch\tbalancer-0\t1", "ok"]
    assert expected_error in errors
    assert errors.startswith("switchhub: line ")
    assert errors.count("\n") == 1


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    status, lines, errors = run("frame\t0\n")
    assert (status, lines) == (2, [])
    assert "line 1: message frame: field over_to_you" in errors


@pytest.mark.parametrize(
    "path", ["FleetSize", "Rules.Cold", "Classes.0.Repeat", "Allowed.MaxAttempts", "Discovery"]
)
def test_error_names_missing_setting(path: str) -> None:
    boot = "\t".join(part for part in BOOT.split("\t") if not part.startswith(path + "="))
    status, lines, errors = run(batch(boot))
    assert (status, lines) == (2, [])
    assert f"field {path}: setting is missing" in errors


def test_exception_in_decision_module_is_reported_once_and_instance_then_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_error(*_: object) -> None:
        raise RuntimeError("two\nlines")

    monkeypatch.setattr(Balancer, "_place", raise_error)
    status, lines, errors = run(batch(BOOT, SERVER_LIST), batch(DEMAND), batch(DEMAND.replace("/1", "/2")))
    assert status == 0
    assert lines[2:] == ["internal_error\tbalancer-0\tRuntimeError: two lines", "ok", "ok"]
    assert "Traceback" in errors


def test_command_serves_standard_input_and_output() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "switchhub.wirehost"],
        input=batch(),
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, "ok\n", "")
    completed = subprocess.run(
        [sys.executable, "-m", "switchhub.wirehost"],
        input="nonsense\n",
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert (completed.returncode, completed.stdout) == (2, "")
    assert (
        completed.stderr == "switchhub: line 1: message nonsense: field name: a batch must start with frame\n"
    )
