"""`lab run --engine live`: starts every process of a run, plays the deaths of balancers, ends all, judges.

Owns: the processes, the folder with plan, configurations and records. Must never: leave a process or a folder
behind, however the run ends, or judge a run that this machine was too slow for.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from loguru import logger

from switchhub.lab import balancer_settings
from switchhub.lab.checker import Checker
from switchhub.lab.fake_server import server_specs
from switchhub.lab.run_statistics import RunStatistics, result_data
from switchhub.lab.scenario import Scenario
from switchhub.lab.timeline import Interval, count_targets, expand_troubles

ROOT = Path(__file__).parent.parent.parent.parent
SLACK = 0.05  # seconds by which each limit is longer on sockets
BALANCERS_MAX, SERVERS_MAX, LINES_MAX = (
    12,
    60,
    4000,
)  # what fits one machine: processes, servers, lines a second
SPARE = 200  # descriptors of each process for everything but connections
STARTED_WITHIN, STANDING_WITHIN, ENDED_WITHIN = 20.0, 60.0, 10.0
STOPPED_WITHIN = 4.5  # seconds after SIGTERM in which a balancer must have ended
LEAD = 0.3  # seconds between the word to start and the start
LATE_PART, LATE_MOST = (
    0.01,
    0.4,
)  # of its looks that a stand-in may be late at; seconds that it may be behind once


class UnfitError(Exception):
    """This machine can't play the scenario, or could not keep up with it."""


def descriptors() -> int:
    """How many this process may have; the soft limit is raised to the hard one first."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def unfit_reason(scenario: Scenario) -> str | None:
    """Why the scenario does not fit this machine; none if it does."""
    servers, lines = (
        len(scenario.server_names()),
        scenario.standing_connections / scenario.clients.message_every_s,
    )
    needed = 2 * scenario.standing_connections + SPARE
    if scenario.balancers.count > BALANCERS_MAX:
        return f"{scenario.balancers.count} balancers, {BALANCERS_MAX} at most"
    if servers > SERVERS_MAX:
        return f"{servers} servers, {SERVERS_MAX} at most"
    if lines > LINES_MAX:
        return f"{lines:.0f} lines a second, {LINES_MAX} at most"
    if needed > descriptors():
        return f"{needed} descriptors for a process, {descriptors()} here"
    if 2 * scenario.standing_connections / scenario.balancers.count > 0.9 * scenario.balancers.sockets:
        return f"balancers.sockets: {scenario.balancers.sockets} are too few for the standing connections"
    return None


def loopback_address() -> str:
    """A loopback address of this process's own: no other run, and no outgoing connection, takes its ports."""
    pid = os.getpid()
    return f"127.{64 + pid // 62_500 % 128}.{pid // 250 % 250}.{pid % 250 + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """Free ports; all are held until the last is found, then given back for the stand-ins to take."""
    found: list[socket.socket] = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, 0))
            found.append(sock)
        return [sock.getsockname()[1] for sock in found]
    finally:
        for sock in found:
            sock.close()


class Runner:
    """One live run."""

    def __init__(self, scenario: Scenario, seed: int, against: Path | None, folder: Path) -> None:
        self.scenario, self.seed, self.folder = scenario, seed, folder
        self.checkout = against or ROOT
        self.timeline = expand_troubles(scenario, seed)
        self.places = server_specs(scenario)
        zones, count = len(scenario.zones), scenario.balancers.count
        self.host = loopback_address()
        free = iter(free_ports(self.host, len(self.places) * zones + 2 * count))
        self.plan: dict[str, Any] = {
            "scenario": scenario.model_dump(),
            "seed": seed,
            "host": self.host,
            "servers": {each.name: [next(free) for _ in range(zones)] for each in self.places},
            "discovery": [next(free) for _ in range(count)],
            "balancers": [next(free) for _ in range(count)],
        }
        self.parts: dict[str, asyncio.subprocess.Process] = {}
        self.balancers: dict[int, asyncio.subprocess.Process] = {}
        self.died: list[tuple[float, str, bool]] = []
        self.notes: list[str] = []
        self.crashed: list[str] = []
        self._zero = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._ending = False
        self._meant: set[int] = set()  # processes that we end ourselves
        self.balancer_environment: dict[str, str] = {}  # what balancers are told besides

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._zero

    def records(self, part: str) -> Path:
        """Where a part writes what it saw."""
        return self.folder / f"{part}.records"

    async def start_lab_process(self, name: str) -> None:
        """Start one of the lab's processes."""
        plan = self.folder / "plan.json"
        self.parts[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"switchhub.lab.live.{name}",
            str(plan),
            str(self.records(name)),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )

    async def wait_until_ready(self, name: str, within: float) -> None:
        """Wait for its word; `RuntimeError` if it has another."""
        out = self.parts[name].stdout
        assert out is not None
        async with asyncio.timeout(within):
            line = await out.readline()
        if line != b"ready\n":
            raise RuntimeError(f"the {name} of the lab did not start")

    def _configure(self, index: int) -> Path:
        scenario = self.scenario
        zone = balancer_settings.balancer_zone(scenario, index)
        path = self.folder / f"b{index}.json"
        listing = [
            {
                "id": each.name,
                "addr": f"{self.host}:{self.plan['servers'][each.name][zone]}",
                "zone": scenario.zones[each.zone],
                "kind": each.group.kind,
                "cell": each.cell,
                "state": "Ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for each in self.places
        ]
        config = {
            "name": f"b{index}",
            "listen": f"{self.host}:{self.plan['balancers'][index]}",
            "discovery": f"{self.host}:{self.plan['discovery'][index]}",
            "seed": f"{(self.seed * 1000 + index) * 2654435761 % 2**64:016x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": scenario.balancers.sockets},
            "known": {"version": 1, "full": True, "servers": listing},
            "settings": balancer_settings.configuration(scenario, index),
        }
        path.write_text(json.dumps(config), encoding="utf-8")
        return path

    async def start_balancer(self, index: int) -> None:
        """Start a balancer."""
        config = self._configure(index)
        sockets = min(self.scenario.balancers.sockets, descriptors())
        with (self.folder / f"b{index}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "switchhub",
                cwd=self.checkout,
                env={**os.environ, **self.balancer_environment, "BALANCER_CONFIG": str(config)},
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.balancers[index] = process
        self._task(self._watch(index, process))

    def _task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, index: int, process: asyncio.subprocess.Process) -> None:
        """A balancer that ends by itself has crashed."""
        status = await process.wait()
        if not self._ending and process.pid not in self._meant:
            self.died.append((self.now(), f"b{index}", False))
            self.crashed.append(f"b{index} ended by itself with status {status} at {self.now():.2f} s")

    async def _trouble(self, each: Interval) -> None:
        index = int(each.target[1:])
        await asyncio.sleep(max(0.0, each.start - self.now()))
        process = self.balancers[index]
        if process.returncode is not None:
            return
        if each.effect == "balancer-reload":
            process.send_signal(signal.SIGHUP)
            return
        self._meant.add(process.pid)
        if each.effect == "balancer-die":
            self.died.append((self.now(), f"b{index}", False))
            process.kill()
            await process.wait()
            await asyncio.sleep(max(0.0, each.end - self.now()))
        else:
            process.terminate()
            try:
                async with asyncio.timeout(STOPPED_WITHIN):
                    await process.wait()
            except TimeoutError:
                self.notes.append(f"b{index} had not ended {STOPPED_WITHIN} s after SIGTERM")
                process.kill()
                await process.wait()
            self.died.append((self.now(), f"b{index}", True))
            await asyncio.sleep(each.end - each.start)
        if not self._ending and self.now() < self.scenario.seconds:
            await self.start_balancer(index)

    async def play(self) -> None:
        """From the first process to the last."""
        (self.folder / "plan.json").write_text(json.dumps(self.plan), encoding="utf-8")
        try:
            for name in ("servers", "discovery"):
                await self.start_lab_process(name)
            for name in ("servers", "discovery"):
                await self.wait_until_ready(name, STARTED_WITHIN)
            for index in range(self.scenario.balancers.count):
                await self.start_balancer(index)
            await self.start_lab_process("clients")
            await self.wait_until_ready("clients", STANDING_WITHIN)
            self._zero = time.monotonic() + LEAD
            word = f"start {self._zero!r} {(time.time() + LEAD) * 1000!r}\n".encode()
            for part in self.parts.values():
                assert part.stdin is not None
                part.stdin.write(word)
            for each in self.timeline.with_effects("balancer-die", "balancer-restart", "balancer-reload"):
                self._task(self._trouble(each))
            await asyncio.sleep(LEAD + self.scenario.seconds)
            self._ending = True
            for name in ("clients", "servers", "discovery"):
                part = self.parts[name]
                assert part.stdin is not None
                part.stdin.close()
                async with asyncio.timeout(ENDED_WITHIN):
                    if await part.wait():
                        raise RuntimeError(f"the {name} of the lab ended with status {part.returncode}")
        finally:
            await self.stop_all()

    async def stop_all(self) -> None:
        """End every process, whatever it does."""
        self._ending = True
        for task in self._tasks:
            task.cancel()
        processes = (*self.parts.values(), *self.balancers.values())
        for process in processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in processes:
            await process.wait()

    # What the parts wrote down.

    def seen(self) -> Iterator[list[Any]]:
        """All records in the order of time."""
        records: list[list[Any]] = []
        for name in self.parts:
            for line in self.records(name).read_text(encoding="utf-8").splitlines():
                records.append(json.loads(line))
        records += [[at, "died", name, planned] for at, name, planned in self.died]
        records.sort(key=lambda each: each[0])
        return iter(records)


def judge(runner: Runner, ignore_lateness: bool = False) -> tuple[Checker, RunStatistics]:
    """Feed the judge and the tally; `UnfitError` if a stand-in was too late for the run to mean anything."""
    scenario = runner.scenario
    zones = {each.name: each.zone for each in runner.places}
    cells = {each.name: each.cell for each in runner.places}
    seen, tally = Checker(scenario, zones, cells, SLACK), RunStatistics(scenario)
    end = scenario.seconds
    for at, what, *rest in runner.seen():
        if what == "lateness":
            looks, late, worst = rest
            if not ignore_lateness and (worst > LATE_MOST or late > LATE_PART * looks):
                raise UnfitError(f"a stand-in was late at {late} of {looks} looks, {worst} s at most")
            continue
        if at > end:
            continue
        if what == "opened":
            seen.opened(at, *rest)
        elif what == "adopted":
            seen.adopted(*rest)
        elif what == "answered":
            name, line, took, kind = rest
            seen.answered(at, name, line)
            word = line.partition(" ")[0]
            tally.count_answer(at, kind, {"UP": "served", "BUSY": "refused"}.get(word, "failed"))
            if word == "UP":
                tally.setup_times.add(took)
        elif what == "got":
            seen.server_received_line(at, *rest)
        elif what == "back":
            name, number, took, kind, sent = rest
            seen.client_received_answer(at, name, number)
            if took >= 0:
                tally.message_times.add(took)
                if took * 1000 <= scenario.classes[kind].message_aim_ms:
                    tally.good_messages[kind][tally.step_index(sent)] += 1
        elif what == "wanted":
            tally.wanted_messages[rest[0]][tally.step_index(at)] += 1
        elif what == "event":
            tally.count_event(at, rest[0])
        elif what == "died":
            seen.balancer_died(at, *rest)
        elif what == "started":
            seen.server_started(at, rest[0], rest[1])
        elif what == "fell":
            tally.count_event(at, "servers.fallen")
            seen.cold_server_fell(at, *rest)
        elif what == "told":
            seen.balancer_notified(at, *rest)
        else:
            getattr(seen, what)(at, *rest)
    seen.finish(end)
    return seen, tally


def run_live(
    scenario: Scenario, seed: int, against: Path | None = None, ignore_lateness: bool = False
) -> dict[str, Any]:
    """The result of one live run; `unfit` in it says that it does not count, and why.

    A live run goes on to its end; what broke first is told first."""
    why = unfit_reason(scenario)
    tally, broken, notes = RunStatistics(scenario), [], []
    folder = Path(tempfile.mkdtemp(prefix="switchhub-lab-"))
    try:
        if why is not None:
            raise UnfitError(f"does not fit this machine: {why}")
        runner = Runner(scenario, seed, against, folder)
        asyncio.run(runner.play())
        seen, tally = judge(runner, ignore_lateness)
        broken, notes = seen.violations, runner.notes + runner.crashed
        if seen.crashes_without_notice:
            notes.append(
                f"{seen.crashes_without_notice} cold servers fell by those that were not told of their start"
            )
    except UnfitError as error:
        why = str(error)
        logger.error("unfit: {}", why)
    finally:
        if os.environ.get("SWITCHHUB_LAB_KEEP"):
            logger.info("kept: {}", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    policy = "design" if against is None else "against"
    met = count_targets(scenario, expand_troubles(scenario, seed))
    found = result_data(scenario, seed, "live", policy, tally, broken, met)
    found["notes"] = notes
    found["crashed"] = bool(why is None and any("ended by itself" in each for each in notes))
    if why is not None:
        found["unfit"] = why
    return found
