"""Runs upgrades of one balancer while its processes are stopped, woken and killed: `lab upgrades`.

Old and new processes of one balancer share an address while clients connect all along. A run owns every
process that it starts, its folder and one record on one clock. It must not end a process that it did not
start, help a process, or check anything but what clients and servers observed and the record holds.

A plan is one line of steps with `;` between them:

    start a          start process a at the common address; `start a@send:take` makes it stop itself at that
                     message of the handover (see `launch.py`)
    ready a          wait until it listens
    stopped a        wait until it is stopped
    gone a           wait until it has ended
    said a TEXT      wait until its log contains this text
    runs a           check that it is running and not stopped now
    crowd 3000       start so many clients at once; they are counted but not checked, since the lab itself
                     is late under them
    stop a, wake a, kill a, term a              send SIGSTOP, SIGCONT, SIGKILL, SIGTERM
    choke a, free a  take all further descriptors from it; give them back
    slow a           pin it to one core, shared with a process that never rests, until the end of the run
    300              wait so many milliseconds
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import shutil
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab.faults.hunt import shrink_steps
from switchhub.lab.faults.process_harness import (
    CLIENT_HOLD_S,
    CLIENT_TIMEOUT_S,
    SIGNALS,
    TIMING_SLACK_S,
    BaseRecord,
    ClientResult,
    PlanError,
    ProcessHarness,
    write_balancer_config,
)
from switchhub.lab.live.runner import free_ports
from switchhub.lab.scenario import ColdStart

CLIENT_INTERVAL_S = 0.02  # time between the starts of two clients
STEP_EFFECT_S = 1.0  # clients that connect within this time after a step count as affected by it
SETTLE_TIMEOUT_S = 6.0  # time after the last step in which one process must become the only one that serves
SETTLE_POLL_INTERVAL_S = 0.3
# A process that is stopped or killed may have accepted so many clients that it has not answered.
MAX_UNANSWERED_PER_STOP = 3
VERBS = (*SIGNALS, "start", "ready", "stopped", "gone", "said", "runs", "crowd", "choke", "free", "slow")


@dataclass(slots=True)
class Record(BaseRecord):
    """The record of an upgrade run; the fields beyond those of `BaseRecord` are of upgrades alone."""

    crowd: list[ClientResult] = field(default_factory=list)  # clients of the `crowd` steps
    nobody: list[tuple[float, float]] = field(default_factory=list)  # (begin, end) while no process ran
    ready: list[str] = field(default_factory=list)  # processes that report at the end that they serve

    def violations(self) -> list[str]:
        """Return a line for each violation: lost clients, and not exactly one serving process in the end.

        Clients that connected while no process ran are excused, and so are `MAX_UNANSWERED_PER_STOP` clients
        for each process that was stopped or killed.
        """
        out, lost = self.common_violations(), 0
        stops = sum(step.split()[0] in ("stop", "kill", "stopped") for _, step in self.done)
        for client in self.came:
            excused = any(
                begin - CLIENT_TIMEOUT_S < client.at < end + TIMING_SLACK_S for begin, end in self.nobody
            )
            if not client.answer or client.answered - client.at > CLIENT_TIMEOUT_S + TIMING_SLACK_S:
                lost += not excused
        if lost > MAX_UNANSWERED_PER_STOP * stops:
            out.append(
                f"{lost} of {len(self.came)} clients got no answer in time; "
                f"{stops} processes were stopped or killed"
            )
        if len(self.ready) > 1 or (not self.ready and not self.nobody):
            out.append(f"expected exactly one process to serve in the end, got {self.ready}")
        return out

    def max_over_budget(self, cold: ColdStart) -> float:
        """Return how far the cold server s0 exceeded its budget of new connections, at the worst moment.

        The budget of the last `fall_s` seconds (rule 4 of placement) follows from the connections of its two
        warm peers. The most that they had within that time counts, not what they have at its end: the
        connections of a stopped process all end at once when it wakes.
        """
        worst = -math.inf
        cold_opened = [at for at, name, _ in self.opened if name == "s0"]
        warm_intervals = [
            (at, self.closed.get(id_, math.inf)) for at, name, id_ in self.opened if name != "s0"
        ]
        for now in cold_opened:
            moments = [now - cold.fall_s * part / 10 for part in range(10)]
            warm_connections = max(sum(begin <= at < end for begin, end in warm_intervals) for at in moments)
            share = cold.share + (1 - cold.share) * min(1.0, now / cold.seconds)
            budget = cold.fall_multiple * share * warm_connections / 2 * cold.fall_s / cold.seconds
            worst = max(worst, sum(now - cold.fall_s < at <= now for at in cold_opened) - budget)
        return worst

    def longest_wait_by_step(self) -> dict[str, float]:
        """Return for each step the longest wait of a client in ms: the time in which no process accepted.

        Counts clients that connected within `STEP_EFFECT_S` after the step and before the next one. Clients
        that got no answer are left out: a process had accepted them.
        """
        out: dict[str, float] = {}
        steps = [(at, step) for at, step in self.done if not step.startswith("pass")]
        for number, (at, step) in enumerate(steps):
            end = min([at + STEP_EFFECT_S, *(later for later, _ in steps[number + 1 : number + 2])])
            waits = [
                c.answered - c.at for c in self.came if c.answer and at - CLIENT_INTERVAL_S <= c.at < end
            ]
            if waits:
                out[step] = max(out.get(step, 0.0), round(1000 * max(waits), 1))
        return out

    def statistics(self) -> dict[str, Any]:
        """Return the run's statistics, as `--json` has them."""
        waits = sorted(c.answered - c.at for c in self.came if c.answer)
        log_lines = [line for log in self.logs.values() for line in log]
        return {
            "clients": len(self.came),
            "up": sum(c.answer == "UP" for c in self.came),
            "crowd_up": sum(c.answer == "UP" for c in self.crowd),
            "lost": sum(
                not c.answer or c.answered - c.at > CLIENT_TIMEOUT_S + TIMING_SLACK_S for c in self.came
            ),
            "broken": sum(c.answer == "UP" and not c.spoke for c in self.came),
            "wait_p50_ms": round(1000 * waits[len(waits) // 2], 1) if waits else None,
            "wait_most_ms": round(1000 * waits[-1], 1) if waits else None,
            "taken_back": sum("is silent for" in line for line in log_lines),
            "given_back": sum("gives back" in line for line in log_lines),
            "without_ms": self.longest_wait_by_step(),
        }


class UpgradeRun(ProcessHarness):
    """One run of an upgrade plan."""

    def __init__(self, plan: str, folder: Path, cold: bool = False, every: float = CLIENT_INTERVAL_S) -> None:
        """Parse the plan.

        With `cold`, the first server is listed as started just now. `every` is the time between clients in
        seconds.

        Raises:
            PlanError: a step is malformed.
        """
        self.record = Record(plan)
        super().__init__(self.record)
        self.steps = [_parse_step(each.strip()) for each in plan.split(";") if each.strip()]
        self._folder, self._client_interval_s, self._cold = folder, every, cold
        self._host = f"{self._network_prefix}.1"

    async def run(self) -> Record:
        """Run all steps, wait until the processes have settled, and return the record."""
        self._port = free_ports(self._host, 1)[0]
        try:
            discovery, server_list = await self._start_fake_services(
                ["s0", "s1", "s2"], "s0" if self._cold else ""
            )
            listen_address = f"{self._host}:{self._port}"
            write_balancer_config(
                self._folder / "config.json", "n0", 1, listen_address, discovery, server_list
            )
            clients: asyncio.Task[None] | None = None
            for step in self.steps:
                try:
                    await self._run_step(step)
                except TimeoutError:
                    self.record.stuck = " ".join(step)
                    break
                if clients is None and step[0] == "ready":
                    clients = self._start_task(
                        self._run_clients(self._client_interval_s, self._client_target)
                    )
            await self._wait_until_settled()
            self._running = False
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=CLIENT_TIMEOUT_S + CLIENT_HOLD_S + CLIENT_TIMEOUT_S)
        finally:
            await self._shut_down()
        return self.record

    def _client_target(self, number: int) -> tuple[str, str, int]:
        return "", self._host, self._port

    async def _run_step(self, step: list[str]) -> None:
        verb, *rest = step
        if verb == "pass":
            await asyncio.sleep(float(rest[0]) / 1000)
            return
        name = rest[0].partition("@")[0]
        if verb == "start":
            stop_at = rest[0].partition("@")[2]
            module = "switchhub.lab.faults.launch" if stop_at else "switchhub"
            folder = str(self._folder)
            config = str(self._folder / "config.json")
            await self._start_process(
                name, module, BALANCER_CONFIG=config, TMPDIR=folder, LAB_STOP_AT=stop_at
            )
        elif verb in SIGNALS:
            await self._signal(verb, name)
        elif verb == "crowd":
            for number in range(int(rest[0])):
                client_number = 1_000_000 + len(self.record.crowd) + number
                self._start_task(self._run_client(client_number, self.record.crowd, self._host, self._port))
        elif verb in ("choke", "free"):
            self._limit_descriptors(name, verb == "choke")
        elif verb == "slow":
            await self._share_core_with_busy_loop(self._processes[name].pid)
        elif verb == "runs":
            if self._process_state(name) in "TZ":
                raise TimeoutError
        elif verb == "gone":
            await self._wait_until(lambda: self._processes[name].returncode is not None)
        elif verb == "stopped":
            await self._wait_until(lambda: self._process_state(name) in "TZ")
        else:
            text = "listens on" if verb == "ready" else " ".join(rest[1:])
            await self._wait_until(lambda: any(text in line for line in self.record.logs[name]))
        self.record.done.append((round(self.now(), 3), " ".join(step)))
        self._on_process_change()

    def _on_process_change(self) -> None:
        """Begin or end an interval in which no process runs."""
        any_runs = any(self._process_state(name) not in "TZX" for name in self._processes)
        intervals = self.record.nobody
        if not any_runs:
            if not intervals or intervals[-1][1] != math.inf:
                intervals.append((self.now(), math.inf))
        elif intervals and intervals[-1][1] == math.inf:
            # 0.7 s for the process to start or wake, and to find out what it has to do.
            intervals[-1] = (intervals[-1][0], self.now() + 0.7)

    async def _wait_until_settled(self) -> None:
        """Wait until the same process reports twice in a row that it alone serves, or until the time-out."""
        previous: list[str] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while len(self.record.ready) != 1 or previous != self.record.ready:
                    previous, self.record.ready = self.record.ready, []
                    await asyncio.sleep(SETTLE_POLL_INTERVAL_S)
                    await self._find_ready()

    async def _find_ready(self) -> None:
        """Append to the record the processes that report that they serve."""
        for name, process in self._processes.items():
            if process.returncode is not None or self._process_state(name) in "TZ":
                continue
            reply = await self._get_management(name, "/healthcheck")
            if reply is not None and reply[0] == 200:
                self.record.ready.append(name)


def _parse_step(text: str) -> list[str]:
    """Return the verb and its arguments; a wait in milliseconds has the verb `pass`."""
    words = text.split()
    if len(words) == 1 and words[0].isdigit():
        return ["pass", words[0]]
    if len(words) < 2 or words[0] not in VERBS:
        raise PlanError(f"malformed step {text!r}: expected milliseconds, or a verb and a process")
    return words


async def run_plan(plan: str, cold: bool = False, every: float = CLIENT_INTERVAL_S) -> Record:
    """Run a plan in a temporary folder; `every` is the time between clients in seconds."""
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        return await UpgradeRun(plan, folder, cold, every).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_plans(plans: list[str], at_once: int) -> list[Record]:
    """Run several plans, at most `at_once` at a time; the records are in the order of the plans."""

    async def run_all() -> list[Record]:
        slots = asyncio.Semaphore(at_once)

        async def run_one(plan: str) -> Record:
            async with slots:
                return await run_plan(plan)

        return list(await asyncio.gather(*(run_one(plan) for plan in plans)))

    return asyncio.run(run_all())


def random_plan(seed: int) -> str:
    """Return a plan drawn from the seed: one or more upgrades with processes stopped, woken and killed.

    All stopped processes are woken in the end, so that the last process can serve.
    """
    rng = Random(f"upgrades/{seed}")
    steps = ["start a", "ready a", str(rng.randint(50, 400))]
    alive, stopped, terminated = ["a"], set[str](), set[str]()
    for _ in range(rng.randint(2, 7)):
        running = [each for each in alive if each not in stopped]
        choice = rng.random()
        newest = max(alive)
        if (choice < 0.35 and newest < "d") or newest == "a":
            name = chr(ord(newest) + 1)
            steps += [f"start {name}", f"ready {name}"]
            alive.append(name)
        elif choice < 0.6 and running:
            name = rng.choice(running)
            steps.append(f"stop {name}")
            stopped.add(name)
        elif choice < 0.8 and stopped:
            name = rng.choice(sorted(stopped))
            steps.append(f"wake {name}")
            stopped.discard(name)
        elif choice < 0.9 and len(alive) > 1:
            name = rng.choice(alive)
            steps.append(f"kill {name}")
            alive.remove(name)
            stopped.discard(name)
        elif len(alive) > 1:
            name = rng.choice(alive[:-1])
            if name not in terminated:
                steps.append(f"term {name}")
                terminated.add(name)
        steps.append(str(rng.choice((20, 60, 150, 320, 500, 900, 1500))))
    steps += [f"wake {name}" for name in sorted(stopped)]
    return "; ".join(steps)


def shrink_plan(plan: str, tries: int = 3) -> str:
    """Return the plan without the steps that are not needed to violate a check in one of `tries` runs."""

    def fails(steps: list[str]) -> bool:
        try:
            return any(record.violations() for record in run_plans(["; ".join(steps)] * tries, tries))
        except KeyError:  # a remaining step names a process whose start was removed
            return False

    return "; ".join(shrink_steps(plan.split("; "), fails, keep=2))  # keep the start of the first process


def run_and_report(plans: list[str], at_once: int, shrink: bool) -> list[dict[str, Any]]:
    """Run the plans, print each with violations and a summary, and return the results for `--json`.

    Raises:
        PlanError: a step is malformed; no plan has been run then.
    """
    for plan in plans:
        UpgradeRun(plan, Path("."))
    results = []
    for record in run_plans(plans, at_once):
        violations = record.violations()
        results.append(
            {"plan": record.plan, "faults": violations, **record.statistics(), "done": record.done}
        )
        if violations:
            results[-1]["logs"] = record.logs
            print(f"{record.plan}\n    {'; '.join(violations)}", flush=True)
            if shrink:
                results[-1]["shrunk"] = shrink_plan(record.plan)
                print(f"    shrunk: {results[-1]['shrunk']}", flush=True)
    total = {name: sum(each[name] for each in results) for name in ("clients", "up", "lost", "broken")}
    takebacks = sum(each["taken_back"] for each in results)
    longest_wait_ms = max((each["wait_most_ms"] or 0.0 for each in results), default=0.0)
    failed = sum(bool(each["faults"]) for each in results)
    print(
        f"{len(results)} plans, {failed} with violations; {total}; "
        f"accepting was taken back {takebacks} times; longest wait {longest_wait_ms:.0f} ms"
    )
    return results
