"""Live runs with real processes: correct balancers pass, mutants are caught, no process is left behind."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from switchhub.lab.cli import main
from switchhub.lab.hunt import scenario_to_toml
from switchhub.lab.live import runner
from tests.lab.small_scenarios import scenario_data, small_scenario, trouble_data

ROOT = Path(__file__).parent.parent.parent
TROUBLES = [
    trouble_data("hang", 1.0, seconds=3.0, meets=["s-0"]),
    trouble_data("balancer-die", 1.5, seconds=1.0, meets=["b0"]),
    trouble_data("die", 2.0, seconds=2.0, meets=["s-1"]),
    trouble_data("roster-out", 2.5, seconds=1.0),
    trouble_data("drop", 4.0, part=0.3),
    trouble_data("balancer-reload", 4.5, meets=["b1"]),
]


def processes_using(folder: Path) -> list[str]:
    """Return the processes other than this one whose command line or environment names the folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                start_data = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
                state = (entry / "stat").read_text().rpartition(")")[2].split()[0]
            except OSError:
                continue
            if str(folder).encode() in start_data and state != "Z":
                found.append(start_data.decode(errors="replace")[:200])
    return found


def test_correct_balancers_pass_a_run_with_troubles(tmp_path: Path, monkeypatch: Any) -> None:
    """A checker or a lab process with a fault of its own would report violations of correct balancers."""
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    for _ in range(3):  # a run for which this machine was too slow is reported as unfit and not checked
        result = runner.run_live(small_scenario("calm", troubles=TROUBLES), 1)
        if "unfit" not in result:
            break
    assert "unfit" not in result
    assert result["broken"] == [] and not result["crashed"]
    assert result["service"] > 0.6
    assert result["counts"]["clients.dropped"] and result["counts"]["clients.broken"]
    assert not processes_using(tmp_path) and not list(tmp_path.iterdir())


# Each mutant: a line of the session's code, its replacement, and the violation that the checker must report.
LIVE_MUTANTS = [
    (
        "await self._to_server(lines)\n",
        "b'M 3' in lines.tobytes() or await self._to_server(lines)\n",
        "line lost",
    ),
    (
        "await self._to_client(lines)\n",
        "await self._to_client(lines); b'UP ' in lines.tobytes() and self.client.try_send(b'FAILED\\r\\n')\n",
        "answered twice",
    ),
]


@pytest.mark.parametrize(("original", "mutant", "violation"), LIVE_MUTANTS, ids=lambda each: str(each)[:14])
def test_mutant_of_the_real_balancer_is_caught(
    original: str, mutant: str, violation: str, tmp_path: Path
) -> None:
    shutil.copytree(ROOT / "switchhub", tmp_path / "switchhub", ignore=shutil.ignore_patterns("__pycache__"))
    session = tmp_path / "switchhub" / "net" / "session.py"
    text = session.read_text()
    assert text.count(original) == 1
    session.write_text(text.replace(original, mutant))
    # These violations do not depend on timing, so a slow machine does not matter.
    result = runner.run_live(small_scenario("calm", seconds=4.5), 1, tmp_path, ignore_lateness=True)
    assert violation in {each["name"] for each in result["broken"]}
    assert result["broken"][0]["story"]


def test_unfit_scenario_is_refused_before_a_process_starts(tmp_path: Path, capsys: Any) -> None:
    file = tmp_path / "wide.toml"
    file.write_text(scenario_to_toml(scenario_data(balancers={"count": 200})))
    begin = time.monotonic()
    assert main(["run", str(file), "--engine", "live"]) == 2
    assert time.monotonic() - begin < 2.0
    assert runner.unfit_reason(small_scenario("calm", balancers={"count": 1, "sockets": 64})) is not None
    assert main(["run", str(file), "--engine", "live", "--policy", "plain"]) == 2


def test_interrupt_stops_every_process(tmp_path: Path) -> None:
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    command = [sys.executable, "-m", "switchhub", "lab", "run", "lab/scenarios/calm.toml", "--engine", "live"]
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env=env,
        stderr=subprocess.PIPE,
        # A shell starts background jobs with SIGINT ignored, and children inherit that: without this line
        # the signal below would have no effect when the tests run in the background.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        until = time.monotonic() + 20
        # The runner itself, three lab processes and the balancers.
        while len(processes_using(tmp_path)) < 7 and time.monotonic() < until:
            time.sleep(0.05)
        process.send_signal(signal.SIGINT)
        assert process.wait(timeout=20) == 130
    finally:
        process.kill()
        process.communicate()
    until = time.monotonic() + 5
    while processes_using(tmp_path) and time.monotonic() < until:
        time.sleep(0.05)
    assert not processes_using(tmp_path)
    assert not list(tmp_path.glob("switchhub-lab-*"))


def test_run_has_its_own_loopback_address_and_distinct_ports() -> None:
    host = runner.loopback_address()
    assert host.startswith("127.") and host != "127.0.0.1"
    assert len(set(runner.free_ports(host, 50))) == 50


def test_balancer_that_exits_by_itself_is_reported_as_a_crash(tmp_path: Path) -> None:
    package = tmp_path / "switchhub"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "__main__.py").write_text("import sys; sys.exit(3)\n")

    async def run_one_balancer() -> runner.Runner:
        live_run = runner.Runner(small_scenario("calm"), 1, tmp_path, tmp_path)
        await live_run.start_balancer(0)
        await live_run.balancers[0].wait()
        await asyncio.sleep(0.05)
        await live_run.stop_all()
        return live_run

    assert "status 3" in asyncio.run(run_one_balancer()).crashes[0]
