"""Real processes on loopback: a sound run is never accused, a mutant is caught, nothing is left behind."""

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


def left_behind(folder: Path) -> list[str]:
    """Processes that work in this folder."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                told = (entry / "cmdline").read_bytes() + (entry / "environ").read_bytes()
                state = (entry / "stat").read_text().rpartition(")")[2].split()[0]
            except OSError:
                continue
            if str(folder).encode() in told and state != "Z":
                found.append(told.decode(errors="replace")[:200])
    return found


def test_a_sound_run_through_troubles_is_never_accused(tmp_path: Path, monkeypatch: Any) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    for _ in range(3):  # a run that this machine was too slow for says so and is not judged
        found = runner.run_live(small_scenario("calm", troubles=TROUBLES), 1)
        if "unfit" not in found:
            break
    assert "unfit" not in found
    assert found["broken"] == [] and not found["crashed"]
    assert found["service"] > 0.6
    assert found["counts"]["clients.dropped"] and found["counts"]["clients.broken"]
    assert not left_behind(tmp_path) and not list(tmp_path.iterdir())


# What is changed in the relay of a copy of the program, and what the judge calls it.
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


@pytest.mark.parametrize(("sound", "mutant", "called"), LIVE_MUTANTS, ids=lambda each: str(each)[:14])
def test_a_mutant_of_the_real_program_is_caught(sound: str, mutant: str, called: str, tmp_path: Path) -> None:
    shutil.copytree(ROOT / "switchhub", tmp_path / "switchhub", ignore=shutil.ignore_patterns("__pycache__"))
    session = tmp_path / "switchhub" / "net" / "session.py"
    text = session.read_text()
    assert text.count(sound) == 1
    session.write_text(text.replace(sound, mutant))
    found = runner.run_live(
        small_scenario("calm", seconds=4.5), 1, tmp_path, ignore_lateness=True
    )  # time plays no part in these
    assert called in {each["name"] for each in found["broken"]}
    assert found["broken"][0]["story"]


def test_what_does_not_fit_is_refused_before_anything_starts(tmp_path: Path, capsys: Any) -> None:
    file = tmp_path / "wide.toml"
    file.write_text(scenario_to_toml(scenario_data(balancers={"count": 200})))
    begin = time.monotonic()
    assert main(["run", str(file), "--engine", "live"]) == 2
    assert time.monotonic() - begin < 2.0
    assert runner.unfit_reason(small_scenario("calm", balancers={"count": 1, "sockets": 64})) is not None
    assert main(["run", str(file), "--engine", "live", "--policy", "plain"]) == 2


def test_an_interrupt_ends_every_process(tmp_path: Path) -> None:
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    command = [sys.executable, "-m", "switchhub", "lab", "run", "lab/scenarios/calm.toml", "--engine", "live"]
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        env=env,
        stderr=subprocess.PIPE,
        # Danger: what a shell starts in the background has SIGINT ignored, and so have its children.
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    try:
        until = time.monotonic() + 20
        while len(left_behind(tmp_path)) < 7 and time.monotonic() < until:  # itself, three parts, balancers
            time.sleep(0.05)
        process.send_signal(signal.SIGINT)
        assert process.wait(timeout=20) == 130
    finally:
        process.kill()
        process.communicate()
    until = time.monotonic() + 5
    while left_behind(tmp_path) and time.monotonic() < until:
        time.sleep(0.05)
    assert not left_behind(tmp_path)
    assert not list(tmp_path.glob("switchhub-lab-*"))


def test_the_ports_of_two_runs_are_their_own() -> None:
    host = runner.loopback_address()
    assert host.startswith("127.") and host != "127.0.0.1"
    assert len(set(runner.free_ports(host, 50))) == 50


def test_a_balancer_that_ends_by_itself_is_a_crash(tmp_path: Path) -> None:
    package = tmp_path / "switchhub"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "__main__.py").write_text("import sys; sys.exit(3)\n")

    async def started() -> runner.Runner:
        one = runner.Runner(small_scenario("calm"), 1, tmp_path, tmp_path)
        await one.start_balancer(0)
        await one.balancers[0].wait()
        await asyncio.sleep(0.05)
        await one.stop_all()
        return one

    assert "status 3" in asyncio.run(started()).crashed[0]
