"""Processes of one balancer beside each other, stopped, woken and killed while clients come all along.

Owns: every process it starts, one record on one clock, the folder they meet in. Must never: help a process,
judge by anything but what clients and servers saw, or end a process it did not start.

A plan is one line of steps with `;` between them:

    start a          a process at the common address; `start a@send:take` stops itself there (`launch.py`)
    ready a          wait until it listens
    stopped a        wait until it stands still
    gone a           wait until it has ended
    said a TEXT      wait until its log has it
    runs a           it must run now
    crowd 3000       so many clients at once, who are counted and not judged: this process is late as well
    stop a, wake a, kill a, term a              SIGSTOP, SIGCONT, SIGKILL, SIGTERM
    choke a, free a  no further descriptor for it; as many as before
    slow a           it shares one core with a process that never rests, to the end of the play
    300              milliseconds pass
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

EVERY = 0.02  # seconds between two clients
AFTER = 1.0  # seconds after a step that are put down to it
SETTLE, LOOK = 6.0, 0.3  # seconds after the last step in which one process is to be left with the right
MAX_UNANSWERED_PER_STOP = (
    3  # clients that one process may have accepted and not answered when it is stopped or killed
)
VERBS = (*SIGNALS, "start", "ready", "stopped", "gone", "said", "runs", "crowd", "choke", "free", "slow")


@dataclass(slots=True)
class Record(BaseRecord):
    """What was done and seen, in seconds from the first client."""

    crowd: list[ClientResult] = field(default_factory=list)
    nobody: list[tuple[float, float]] = field(default_factory=list)  # no process ran
    ready: list[str] = field(default_factory=list)  # which processes said at the end that they serve

    def violations(self) -> list[str]:
        """What was wrong."""
        out, lost = self.common_violations(), 0
        struck = sum(step.split()[0] in ("stop", "kill", "stopped") for _, step in self.done)
        for client in self.came:
            excused = any(
                begin - CLIENT_TIMEOUT_S < client.at < end + TIMING_SLACK_S for begin, end in self.nobody
            )
            if not client.answer or client.answered - client.at > CLIENT_TIMEOUT_S + TIMING_SLACK_S:
                lost += not excused
        if lost > MAX_UNANSWERED_PER_STOP * struck:
            out.append(
                f"{lost} of {len(self.came)} clients without an answer in time, {struck} stops or deaths"
            )
        if len(self.ready) > 1 or (not self.ready and not self.nobody):
            out.append(f"settled on {self.ready}")
        return out

    def max_over_budget(self, cold: ColdStart) -> float:
        """The most set-ups that the cold server, the first, ever got above its budget of the time before
        (rule 4), measured by the most that its warm peers held in that time: what a process that wakes had
        held ends all at once."""
        worst = -math.inf
        mine = [at for at, name, _ in self.opened if name == "s0"]
        peers = [(at, self.closed.get(id_, math.inf)) for at, name, id_ in self.opened if name != "s0"]
        for now in mine:
            moments = [now - cold.fall_s * part / 10 for part in range(10)]
            held = max(sum(begin <= at < end for begin, end in peers) for at in moments)
            share = cold.share + (1 - cold.share) * min(1.0, now / cold.seconds)
            budget = cold.fall_multiple * share * held / 2 * cold.fall_s / cold.seconds
            worst = max(worst, sum(now - cold.fall_s < at <= now for at in mine) - budget)
        return worst

    def longest_wait_by_step(self) -> dict[str, float]:
        """For each step the time without an acceptor, in ms: what the client waited that waited longest, of
        those that came within `AFTER` of it and before the next. A client that nobody answered is not in it:
        a process had accepted it."""
        out: dict[str, float] = {}
        steps = [(at, step) for at, step in self.done if not step.startswith("pass")]
        for number, (at, step) in enumerate(steps):
            end = min([at + AFTER, *(later for later, _ in steps[number + 1 : number + 2])])
            waits = [c.answered - c.at for c in self.came if c.answer and at - EVERY <= c.at < end]
            if waits:
                out[step] = max(out.get(step, 0.0), round(1000 * max(waits), 1))
        return out

    def statistics(self) -> dict[str, Any]:
        """Counts, and what clients waited."""
        waits = sorted(c.answered - c.at for c in self.came if c.answer)
        logs = [line for log in self.logs.values() for line in log]
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
            "taken_back": sum("is silent for" in line for line in logs),
            "given_back": sum("gives back" in line for line in logs),
            "without_ms": self.longest_wait_by_step(),
        }


class UpgradeRun(ProcessHarness):
    """One play."""

    def __init__(self, plan: str, folder: Path, cold: bool = False, every: float = EVERY) -> None:
        """With `cold`, the first server has just started."""
        self.record = Record(plan)
        super().__init__(self.record)
        self.steps = [_step(each.strip()) for each in plan.split(";") if each.strip()]
        self._folder, self._every, self._cold = folder, every, cold
        self._host = f"{self._net}.1"

    async def run(self) -> Record:
        """The whole plan."""
        self._address = free_ports(self._host, 1)[0]
        try:
            discovery, listing = await self._stand_ins(["s0", "s1", "s2"], "s0" if self._cold else "")
            where = f"{self._host}:{self._address}"
            write_balancer_config(self._folder / "config.json", "n0", 1, where, discovery, listing)
            clients: asyncio.Task[None] | None = None
            for words in self.steps:
                try:
                    await self._do(words)
                except TimeoutError:
                    self.record.stuck = " ".join(words)
                    break
                if clients is None and words[0] == "ready":
                    clients = self._start(self._clients(self._every, self._where))
            await self._settled()
            self._going = False
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=CLIENT_TIMEOUT_S + CLIENT_HOLD_S + CLIENT_TIMEOUT_S)
        finally:
            await self._end()
        return self.record

    def _where(self, number: int) -> tuple[str, str, int]:
        return "", self._host, self._address

    # Processes.

    async def _do(self, words: list[str]) -> None:
        verb, *rest = words
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
                client = 1_000_000 + len(self.record.crowd) + number
                self._start(self._client(client, self.record.crowd, self._host, self._address))
        elif verb in ("choke", "free"):
            self._limit(name, verb == "choke")
        elif verb == "slow":
            await self._slow(self._processes[name].pid)
        elif verb == "runs":
            if self._state(name) in "TZ":
                raise TimeoutError
        elif verb == "gone":
            await self._until(lambda: self._processes[name].returncode is not None)
        elif verb == "stopped":
            await self._until(lambda: self._state(name) in "TZ")
        else:
            text = "listens on" if verb == "ready" else " ".join(rest[1:])
            await self._until(lambda: any(text in line for line in self.record.logs[name]))
        self.record.done.append((round(self.now(), 3), " ".join(words)))
        self._mark()

    def _mark(self) -> None:
        """Whether any process runs."""
        runs = any(self._state(name) not in "TZX" for name in self._processes)
        marks = self.record.nobody
        if not runs:
            if not marks or marks[-1][1] != math.inf:
                marks.append((self.now(), math.inf))
        elif marks and marks[-1][1] == math.inf:
            marks[-1] = (marks[-1][0], self.now() + 0.7)  # it starts or wakes, and looks around

    async def _settled(self) -> None:
        """Until one process alone says that it serves, twice in a row."""
        before: list[str] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE):
                while len(self.record.ready) != 1 or before != self.record.ready:
                    before, self.record.ready = self.record.ready, []
                    await asyncio.sleep(LOOK)
                    await self._ask_all()

    async def _ask_all(self) -> None:
        """Which say that they serve."""
        for name, process in self._processes.items():
            if process.returncode is not None or self._state(name) in "TZ":
                continue
            answer = await self._ask(name, "/healthcheck")
            if answer is not None and answer[0] == 200:
                self.record.ready.append(name)


def _step(text: str) -> list[str]:
    words = text.split()
    if len(words) == 1 and words[0].isdigit():
        return ["pass", words[0]]
    if len(words) < 2 or words[0] not in VERBS:
        raise PlanError(f"no step: {text!r}")
    return words


async def run_plan(plan: str, cold: bool = False, every: float = EVERY) -> Record:
    """One plan in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        return await UpgradeRun(plan, folder, cold, every).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_plans(plans: list[str], at_once: int) -> list[Record]:
    """Several plans, so many at a time; in their order."""

    async def all_() -> list[Record]:
        room = asyncio.Semaphore(at_once)

        async def one(plan: str) -> Record:
            async with room:
                return await run_plan(plan)

        return list(await asyncio.gather(*(one(plan) for plan in plans)))

    return asyncio.run(all_())


def random_plan(seed: int) -> str:
    """A plan: an upgrade, sometimes a second one, with stops, wakes and deaths in it, the last one sound."""
    rng = Random(f"upgrades/{seed}")
    steps = ["start a", "ready a", str(rng.randint(50, 400))]
    alive, stopped, told_to_end = ["a"], set[str](), set[str]()
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
            if name not in told_to_end:
                steps.append(f"term {name}")
                told_to_end.add(name)
        steps.append(str(rng.choice((20, 60, 150, 320, 500, 900, 1500))))
    steps += [f"wake {name}" for name in sorted(stopped)]
    return "; ".join(steps)


def shrink_plan(plan: str, tries: int = 3) -> str:
    """Less of a plan that still goes wrong in one of so many plays: steps are left out one by one."""

    def fails(steps: list[str]) -> bool:
        try:
            return any(record.violations() for record in run_plans(["; ".join(steps)] * tries, tries))
        except KeyError:  # it names a process that is not there any more
            return False

    return "; ".join(shrink_steps(plan.split("; "), fails, keep=2))  # the first process stays


def run_and_report(plans: list[str], at_once: int, shrink: bool) -> list[dict[str, Any]]:
    """Play them; a line for each that went wrong, and what all of them came to."""
    for plan in plans:
        UpgradeRun(plan, Path("."))
    found = []
    for record in run_plans(plans, at_once):
        faults = record.violations()
        found.append({"plan": record.plan, "faults": faults, **record.statistics(), "done": record.done})
        if faults:
            found[-1]["logs"] = record.logs
            print(f"{record.plan}\n    {'; '.join(faults)}", flush=True)
            if shrink:
                found[-1]["shrunk"] = shrink_plan(record.plan)
                print(f"    shrunk: {found[-1]['shrunk']}", flush=True)
    total = {name: sum(each[name] for each in found) for name in ("clients", "up", "lost", "broken")}
    back = sum(each["taken_back"] for each in found)
    most = max((each["wait_most_ms"] or 0.0 for each in found), default=0.0)
    wrong = sum(bool(each["faults"]) for each in found)
    print(
        f"{len(found)} plans, {wrong} wrong; {total}; taken back {back} times; the longest wait {most:.0f} ms"
    )
    return found
