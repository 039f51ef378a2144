"""`lab run --engine live`: runs a scenario with real processes on loopback and checks what they recorded.

The runner starts the lab's processes and the balancers, kills, restarts and reloads balancers as the
scenario says, and stops everything at the end. It removes all processes and its temporary directory (plan,
configurations and records) however the run ends. A run for which this machine was too slow is not checked
but reported as unfit.
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

ROOT = Path(__file__).parent.parent.parent.parent  # of the checkout that this module belongs to
TIME_SLACK_S = 0.05  # added to the checker's time limits, since sockets and processes add delay
# The largest run that fits one machine.
BALANCERS_MAX = 12
SERVERS_MAX = 60
LINES_PER_S_MAX = 4000
SPARE_DESCRIPTORS = 200  # file descriptors of each process for everything but connections
START_TIMEOUT_S = 20.0  # for servers and discovery to listen
CLIENTS_READY_TIMEOUT_S = 60.0  # for the clients to set up the connections that are open at the start
EXIT_TIMEOUT_S = 10.0  # for a lab process to exit after its standard input was closed
BALANCER_STOP_TIMEOUT_S = 4.5  # for a balancer to exit after SIGTERM
START_DELAY_S = 0.3  # from the start command to the start of the run: time to read the command
LATE_CHECK_FRACTION_MAX = 0.01  # of its lateness checks at which a lab process may be late
LATENESS_MAX_S = 0.4  # by which a lab process may be late at a single check


class UnfitError(Exception):
    """This machine cannot run the scenario, or was too slow during the run for its result to count."""


def descriptor_limit() -> int:
    """Raise the soft limit on file descriptors to the hard limit if allowed, and return the soft limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def unfit_reason(scenario: Scenario) -> str | None:
    """Return why this machine cannot run the scenario, or `None` if it can."""
    servers, lines_per_s = (
        len(scenario.server_names()),
        scenario.standing_connections / scenario.clients.message_every_s,
    )
    needed_descriptors = 2 * scenario.standing_connections + SPARE_DESCRIPTORS
    if scenario.balancers.count > BALANCERS_MAX:
        return f"{scenario.balancers.count} balancers, at most {BALANCERS_MAX} are supported"
    if servers > SERVERS_MAX:
        return f"{servers} servers, at most {SERVERS_MAX} are supported"
    if lines_per_s > LINES_PER_S_MAX:
        return f"{lines_per_s:.0f} lines per second, at most {LINES_PER_S_MAX} are supported"
    if needed_descriptors > descriptor_limit():
        return f"{needed_descriptors} file descriptors needed per process, the limit is {descriptor_limit()}"
    if 2 * scenario.standing_connections / scenario.balancers.count > 0.9 * scenario.balancers.sockets:
        return f"balancers.sockets: {scenario.balancers.sockets} are too few for the initial connections"
    return None


def loopback_address() -> str:
    """Return a loopback address derived from the process id.

    Each run has an address of its own, so that no other run and no outgoing connection takes its ports.
    """
    pid = os.getpid()
    return f"127.{64 + pid // 62_500 % 128}.{pid // 250 % 250}.{pid % 250 + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct free ports of `host`.

    All stay bound until the last is found, then all are released for the caller's processes to listen on.
    """
    bound_sockets: list[socket.socket] = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, 0))
            bound_sockets.append(sock)
        return [sock.getsockname()[1] for sock in bound_sockets]
    finally:
        for sock in bound_sockets:
            sock.close()


class Runner:
    """The processes of one live run."""

    def __init__(self, scenario: Scenario, seed: int, other_checkout: Path | None, folder: Path) -> None:
        """Choose the ports and build the plan; balancers are started from `other_checkout` if it is given.

        `folder` receives the plan, the configurations, the logs and the records.
        """
        self.scenario, self.seed, self.folder = scenario, seed, folder
        self.checkout = other_checkout or ROOT
        self.timeline = expand_troubles(scenario, seed)
        self.specs = server_specs(scenario)
        zones, count = len(scenario.zones), scenario.balancers.count
        self.host = loopback_address()
        ports = iter(free_ports(self.host, len(self.specs) * zones + 2 * count))
        self.plan: dict[str, Any] = {
            "scenario": scenario.model_dump(),
            "seed": seed,
            "host": self.host,
            "servers": {each.name: [next(ports) for _ in range(zones)] for each in self.specs},
            "discovery": [next(ports) for _ in range(count)],
            "balancers": [next(ports) for _ in range(count)],
        }
        self.lab_processes: dict[str, asyncio.subprocess.Process] = {}
        self.balancers: dict[int, asyncio.subprocess.Process] = {}
        self.balancer_exits: list[tuple[float, str, bool]] = []  # time in the run, name, whether planned
        self.notes: list[str] = []
        self.crashes: list[str] = []
        self._start_monotonic_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        self._stopped_pids: set[int] = set()  # balancer processes that the runner ends itself
        self.balancer_environment: dict[str, str] = {}  # added to the environment of balancers

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start_monotonic_s

    def records_path(self, name: str) -> Path:
        """Return the path of the record file of a lab process."""
        return self.folder / f"{name}.records"

    async def start_lab_process(self, name: str) -> None:
        """Start one of the lab's processes: `servers`, `discovery` or `clients`."""
        plan = self.folder / "plan.json"
        self.lab_processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"switchhub.lab.live.{name}",
            str(plan),
            str(self.records_path(name)),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )

    async def wait_until_ready(self, name: str, timeout_s: float) -> None:
        """Wait until a lab process reports ready.

        Raises `RuntimeError` if it exits or writes another line, `TimeoutError` after `timeout_s`.
        """
        stdout = self.lab_processes[name].stdout
        assert stdout is not None
        async with asyncio.timeout(timeout_s):
            line = await stdout.readline()
        if line != b"ready\n":
            raise RuntimeError(f"lab process {name} did not start: expected 'ready', got {line!r}")

    def _write_configuration(self, index: int) -> Path:
        scenario = self.scenario
        zone = balancer_settings.balancer_zone(scenario, index)
        path = self.folder / f"b{index}.json"
        server_entries = [
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
            for each in self.specs
        ]
        configuration = {
            "name": f"b{index}",
            "listen": f"{self.host}:{self.plan['balancers'][index]}",
            "discovery": f"{self.host}:{self.plan['discovery'][index]}",
            "seed": f"{(self.seed * 1000 + index) * 2654435761 % 2**64:016x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": scenario.balancers.sockets},
            "known": {"version": 1, "full": True, "servers": server_entries},
            "settings": balancer_settings.configuration(scenario, index),
        }
        path.write_text(json.dumps(configuration), encoding="utf-8")
        return path

    async def start_balancer(self, index: int) -> None:
        """Start a balancer with its configuration; its output is appended to its log file."""
        configuration_path = self._write_configuration(index)
        max_descriptors = min(self.scenario.balancers.sockets, descriptor_limit())
        with (self.folder / f"b{index}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "switchhub",
                cwd=self.checkout,
                env={**os.environ, **self.balancer_environment, "BALANCER_CONFIG": str(configuration_path)},
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
                ),
            )
        self.balancers[index] = process
        self._start_task(self._watch_for_crash(index, process))

    def _start_task(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch_for_crash(self, index: int, process: asyncio.subprocess.Process) -> None:
        """Record a crash if the balancer exits without having been stopped by the runner."""
        status = await process.wait()
        if not self._stopping and process.pid not in self._stopped_pids:
            self.balancer_exits.append((self.now(), f"b{index}", False))
            self.crashes.append(f"b{index} ended by itself with status {status} at {self.now():.2f} s")

    async def _apply_trouble(self, interval: Interval) -> None:
        index = int(interval.target[1:])
        await asyncio.sleep(max(0.0, interval.start - self.now()))
        process = self.balancers[index]
        if process.returncode is not None:
            return
        if interval.effect == "balancer-reload":
            process.send_signal(signal.SIGHUP)
            return
        self._stopped_pids.add(process.pid)
        if interval.effect == "balancer-die":
            self.balancer_exits.append((self.now(), f"b{index}", False))
            process.kill()
            await process.wait()
            await asyncio.sleep(max(0.0, interval.end - self.now()))
        else:
            process.terminate()
            try:
                async with asyncio.timeout(BALANCER_STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                self.notes.append(
                    f"b{index} had not ended {BALANCER_STOP_TIMEOUT_S} s after SIGTERM and was killed"
                )
                process.kill()
                await process.wait()
            self.balancer_exits.append((self.now(), f"b{index}", True))
            await asyncio.sleep(interval.end - interval.start)
        if not self._stopping and self.now() < self.scenario.seconds:
            await self.start_balancer(index)

    async def run(self) -> None:
        """Start all processes, run the scenario, and stop all processes.

        Raises `RuntimeError` if a lab process does not start or exits with an error, and `TimeoutError` if
        one is not ready or has not exited in time.
        """
        (self.folder / "plan.json").write_text(json.dumps(self.plan), encoding="utf-8")
        try:
            for name in ("servers", "discovery"):
                await self.start_lab_process(name)
            for name in ("servers", "discovery"):
                await self.wait_until_ready(name, START_TIMEOUT_S)
            for index in range(self.scenario.balancers.count):
                await self.start_balancer(index)
            await self.start_lab_process("clients")
            await self.wait_until_ready("clients", CLIENTS_READY_TIMEOUT_S)
            self._start_monotonic_s = time.monotonic() + START_DELAY_S
            command = f"start {self._start_monotonic_s!r} {(time.time() + START_DELAY_S) * 1000!r}\n".encode()
            for process in self.lab_processes.values():
                assert process.stdin is not None
                process.stdin.write(command)
            for interval in self.timeline.with_effects("balancer-die", "balancer-restart", "balancer-reload"):
                self._start_task(self._apply_trouble(interval))
            await asyncio.sleep(START_DELAY_S + self.scenario.seconds)
            self._stopping = True
            for name in ("clients", "servers", "discovery"):
                process = self.lab_processes[name]
                assert process.stdin is not None
                process.stdin.close()
                async with asyncio.timeout(EXIT_TIMEOUT_S):
                    if await process.wait():
                        raise RuntimeError(f"lab process {name} exited with status {process.returncode}")
        finally:
            await self.stop_all()

    async def stop_all(self) -> None:
        """Kill every process that still runs, and wait until all have exited."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        processes = (*self.lab_processes.values(), *self.balancers.values())
        for process in processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in processes:
            await process.wait()

    def read_records(self) -> Iterator[list[Any]]:
        """Return the records of all lab processes and the exits of balancers, in the order of time."""
        records: list[list[Any]] = []
        for name in self.lab_processes:
            for line in self.records_path(name).read_text(encoding="utf-8").splitlines():
                records.append(json.loads(line))
        records += [[at, "died", name, planned] for at, name, planned in self.balancer_exits]
        records.sort(key=lambda record: record[0])
        return iter(records)


def check_records(runner: Runner, ignore_lateness: bool = False) -> tuple[Checker, RunStatistics]:
    """Pass the records of a finished run to a checker and to the statistics, and return both.

    Raises `UnfitError` if a lab process ran so late that the run says nothing about the balancers, unless
    `ignore_lateness` is set.
    """
    scenario = runner.scenario
    zones = {each.name: each.zone for each in runner.specs}
    cells = {each.name: each.cell for each in runner.specs}
    checker, statistics = Checker(scenario, zones, cells, TIME_SLACK_S), RunStatistics(scenario)
    end = scenario.seconds
    for at, event, *values in runner.read_records():
        if event == "lateness":
            checks, late_checks, max_lateness_s = values
            if not ignore_lateness and (
                max_lateness_s > LATENESS_MAX_S or late_checks > LATE_CHECK_FRACTION_MAX * checks
            ):
                raise UnfitError(
                    f"a lab process was late at {late_checks} of {checks} checks, by up to {max_lateness_s} s"
                )
            continue
        if at > end:
            continue
        if event == "opened":
            checker.opened(at, *values)
        elif event == "adopted":
            checker.adopted(*values)
        elif event == "answered":
            name, line, duration_s, class_index = values
            checker.answered(at, name, line)
            keyword = line.partition(" ")[0]
            statistics.count_answer(
                at, class_index, {"UP": "served", "BUSY": "refused"}.get(keyword, "failed")
            )
            if keyword == "UP":
                statistics.setup_times.add(duration_s)
        elif event == "got":
            checker.server_received_line(at, *values)
        elif event == "back":
            name, number, duration_s, class_index, sent_at = values
            checker.client_received_answer(at, name, number)
            if duration_s >= 0:
                statistics.message_times.add(duration_s)
                if duration_s * 1000 <= scenario.classes[class_index].message_aim_ms:
                    statistics.good_messages[class_index][statistics.step_index(sent_at)] += 1
        elif event == "wanted":
            statistics.wanted_messages[values[0]][statistics.step_index(at)] += 1
        elif event == "event":
            statistics.count_event(at, values[0])
        elif event == "died":
            checker.balancer_died(at, *values)
        elif event == "started":
            checker.server_started(at, values[0], values[1])
        elif event == "fell":
            statistics.count_event(at, "servers.fallen")
            checker.cold_server_fell(at, *values)
        elif event == "told":
            checker.balancer_notified(at, *values)
        else:
            getattr(checker, event)(at, *values)
    checker.finish(end)
    return checker, statistics


def run_live(
    scenario: Scenario, seed: int, other_checkout: Path | None = None, ignore_lateness: bool = False
) -> dict[str, Any]:
    """Run a scenario live and return its result data; the key `unfit` says why a run does not count.

    A live run always goes on to its end; violations are listed in the order in which they happened. The run's
    directory is deleted unless SWITCHHUB_LAB_KEEP is set."""
    reason = unfit_reason(scenario)
    statistics, violations, notes = RunStatistics(scenario), [], []
    folder = Path(tempfile.mkdtemp(prefix="switchhub-lab-"))
    try:
        if reason is not None:
            raise UnfitError(f"does not fit this machine: {reason}")
        runner = Runner(scenario, seed, other_checkout, folder)
        asyncio.run(runner.run())
        checker, statistics = check_records(runner, ignore_lateness)
        violations, notes = checker.violations, runner.notes + runner.crashes
        if checker.crashes_without_notice:
            notes.append(
                f"{checker.crashes_without_notice} cold servers crashed before balancers knew of their start"
            )
    except UnfitError as error:
        reason = str(error)
        logger.error("live run of scenario {} is unfit and does not count: {}", scenario.name, reason)
    finally:
        if os.environ.get("SWITCHHUB_LAB_KEEP"):
            logger.info("run directory kept: {}", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    policy = "design" if other_checkout is None else "against"
    target_counts = count_targets(scenario, expand_troubles(scenario, seed))
    data = result_data(scenario, seed, "live", policy, statistics, violations, target_counts)
    data["notes"] = notes
    data["crashed"] = bool(reason is None and any("ended by itself" in each for each in notes))
    if reason is not None:
        data["unfit"] = reason
    return data
