"""Harness of fault runs with real balancer processes: processes, fake services, clients, a record.

The harness owns every process that it starts, with its log and exit code, and records what servers and
clients observed, on one clock. It must not end a process that it did not start, nor help a process beyond
what a plan asks for: a process that recovers only with help would pass.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any

from switchhub.lab import balancer_settings
from switchhub.lab.live.runner import ROOT
from switchhub.lab.scenario import parse_scenario

STEP_TIMEOUT_S = 12.0  # longest that a step waits for its condition
CLIENT_HOLD_S = 0.4  # time that a client keeps its connection before it sends its line and leaves
CLIENT_TIMEOUT_S = 1.5  # longest that a client waits for its answer
TIMING_SLACK_S = 0.1  # tolerance for late timers of the lab itself
CHOKED_DESCRIPTOR_LIMIT = 8  # fewer than a process has open before its first client
_harness_numbers = count()  # one for each harness of this process
SIGNALS = {"stop": signal.SIGSTOP, "wake": signal.SIGCONT, "kill": signal.SIGKILL, "term": signal.SIGTERM}


class PlanError(ValueError):
    """The text of a plan is malformed."""


@dataclass(slots=True)
class ClientResult:
    """What one client observed, with times in seconds since the start of the run."""

    at: float  # when it connected
    answer: str = ""  # first word of the balancer's answer, such as `UP`; empty: none came
    answered: float = 0.0  # when the answer came
    spoke: bool = False  # its line was echoed, or it was told to move
    to: str = ""  # name of the balancer, where there are several


@dataclass(slots=True)
class BaseRecord:
    """What a run did and observed, with times in seconds since its start; the fields are keys of `--json`."""

    plan: str
    done: list[tuple[float, str]] = field(default_factory=list)  # steps, with the time of each
    came: list[ClientResult] = field(default_factory=list)  # the regular clients
    opened: list[tuple[float, str, str]] = field(default_factory=list)  # (time, server, request id)
    closed: dict[str, float] = field(default_factory=dict)  # time of the connection's end, by request id
    stuck: str = ""  # the step whose condition was not met in time; empty: none
    ended: dict[str, int] = field(default_factory=dict)  # exit code, by process name
    logs: dict[str, list[str]] = field(default_factory=dict)  # log lines with their times, by process name

    def common_violations(self) -> list[str]:
        """Return a line for each violation of what must hold whatever faults were injected."""
        out = [f"step's condition was not met in time: {self.stuck}"] if self.stuck else []
        # Odd ids are of the class `pay`, which must not be repeated; a request of `any` may be tried again.
        unsafe_ids = [id_ for _, _, id_ in self.opened if int(id_, 16) % 2]
        if len(unsafe_ids) != len(set(unsafe_ids)):
            out.append("servers received a request more than once that is unsafe to repeat")
        out += [
            f"process {name} ended with exit code {code}"
            for name, code in self.ended.items()
            if code not in (0, -9)
        ]
        out += [
            f"process {name}: traceback in its log"
            for name, log in self.logs.items()
            if any("Traceback" in line for line in log)
        ]
        return out


class ProcessHarness:
    """Real processes of the balancer, with the fake servers, discovery and clients around them."""

    def __init__(self, record: BaseRecord) -> None:
        self.base_record = record
        self._started = time.monotonic()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._busy_loops: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._fake_services: list[asyncio.Server] = []
        self._running = True
        number = next(_harness_numbers)  # loopback addresses of its own: no other run takes its ports
        self._network_prefix = f"127.{16 + os.getpid() % 200}.{number % 125 * 2}"

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start_process(self, name: str, module: str, *arguments: str, **environ: str) -> None:
        """Start a Python module as a process of this name, with additional environment variables."""
        process = self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            env={**os.environ, "BALANCER_MANAGEMENT": "127.0.0.1:0", **environ},
            stderr=asyncio.subprocess.PIPE,
        )
        self.base_record.logs.setdefault(name, [])
        self.base_record.ended.pop(name, None)
        self._start_task(self._record_until_exit(name, process))

    async def _record_until_exit(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Record the process's log lines and, in the end, its exit code."""
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.base_record.logs[name].append(f"{self.now():8.3f} {line.decode(errors='replace').rstrip()}")
        self.base_record.ended[name] = await process.wait()
        self._on_process_change()

    def _on_process_change(self) -> None:
        """Called after a step was done or a process ended; subclasses may override it."""

    async def _signal(self, verb: str, name: str) -> None:
        """Send the verb's signal, and after `stop` wait until the process is stopped."""
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(SIGNALS[verb])
        if verb == "stop":
            await self._wait_until(lambda: self._process_state(name) in "TZ")

    def _process_state(self, name: str) -> str:
        """Return the state letter of proc(5), such as `T` for stopped; `Z` if the process does not exist."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self._processes[name].pid}/stat").read_text(encoding="ascii")
            return text.rpartition(")")[2].split()[0]
        return "Z"

    async def _wait_until(self, condition: Callable[[], bool], timeout_s: float = STEP_TIMEOUT_S) -> None:
        """Poll the condition until it holds.

        Raises:
            TimeoutError: it did not hold in time.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.005)

    async def _share_core_with_busy_loop(self, pid: int) -> None:
        """Pin all threads of the process to one core, together with a process that never rests."""
        core = min(os.sched_getaffinity(0))
        busy_loop = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        self._busy_loops.append(busy_loop)
        thread_ids = [int(each) for each in os.listdir(f"/proc/{pid}/task")]
        for thread_id in (*thread_ids, busy_loop.pid):
            os.sched_setaffinity(thread_id, [core])

    def _limit_descriptors(self, name: str, choke: bool) -> None:
        """Set the process's limit of descriptors below what it has open, or back to the hard limit."""
        pid = self._processes[name].pid
        with contextlib.suppress(ProcessLookupError):  # it has ended; the record has its exit code
            _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (CHOKED_DESCRIPTOR_LIMIT if choke else hard, hard))

    async def _get_management(self, name: str, path: str) -> tuple[int, bytes] | None:
        """Send a GET request to the management address; return status and body, or None without an answer."""
        address_lines = [line for line in self.base_record.logs.get(name, ()) if "management on" in line]
        with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
            async with asyncio.timeout(1.0):
                port = int(address_lines[-1].rsplit(":", 1)[1])
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\n\r\n".encode())
                    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                    return int(head.split()[1]), body
                finally:
                    writer.close()
        return None

    async def _shut_down(self) -> None:
        """Kill all processes that were started, close the fake services and cancel all tasks."""
        self._running = False
        for process in (*self._processes.values(), *self._busy_loops):
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._fake_services:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _start_fake_services(self, names: list[str], cold: str = "") -> tuple[str, dict[str, Any]]:
        """Start fake servers and a fake discovery service; return its address and its server list.

        The server named by `cold` is listed as started just now.
        """
        addresses = {}
        for name in names:
            self._fake_services.append(
                await asyncio.start_server(self._echo_server(name), "127.0.0.1", 0, backlog=4096)
            )
            addresses[name] = _address(self._fake_services[-1])
        server_list = _server_list(addresses, cold)
        self._fake_services.append(await asyncio.start_server(_fake_discovery(server_list), "127.0.0.1", 0))
        return _address(self._fake_services[-1]), server_list

    def _echo_server(self, name: str) -> Any:
        """Return a connection handler that answers `UP`, then echoes lines, and records each connection."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                if line := await reader.readline():
                    id_ = line.split()[1].decode()
                    self.base_record.opened.append((round(self.now(), 4), name, id_))
                    writer.write(f"UP {name}-{len(self.base_record.opened)}\r\n".encode())
                    while line := await reader.readline():
                        writer.write(line)
                    self.base_record.closed[id_] = self.now()
            writer.close()

        return serve

    async def _run_clients(self, interval_s: float, target: Callable[[int], tuple[str, str, int]]) -> None:
        """Start a client every `interval_s`, until the run ends.

        `target` returns balancer name, host and port for the client of this number.
        """
        started = self.now()
        for number in count(1):
            if not self._running:
                return
            name, host, port = target(number)
            self._start_task(self._run_client(number, self.base_record.came, host, port, name))
            await asyncio.sleep(max(0.0, started + number * interval_s - self.now()))

    async def _run_client(
        self, number: int, results: list[ClientResult], host: str, port: int, to: str = ""
    ) -> None:
        """Open a connection, hold it, send one line and leave; append what it observed to `results`."""
        result = ClientResult(self.now(), to=to)
        results.append(result)
        writer = None
        with contextlib.suppress(ConnectionError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port), CLIENT_TIMEOUT_S + TIMING_SLACK_S
            )
            class_ = "pay" if number % 2 else "any"
            writer.write(
                f"OPEN {number:016x} key c={class_},t=acme,d={CLIENT_TIMEOUT_S * 1000:.0f},h=100\r\n".encode()
            )
            line = await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_S + 2 * TIMING_SLACK_S)
            result.answer, result.answered = line.decode().split(" ")[0].strip(), self.now()
            if result.answer == "UP":
                await asyncio.sleep(CLIENT_HOLD_S)
                writer.write(b"M 1\r\n")
                reply = await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_S)
                result.spoke = reply in (b"M 1\r\n", b"MOVE\r\n")
        if writer is not None:
            writer.close()


def _address(server: asyncio.Server) -> str:
    """Return `HOST:PORT` of a listening server."""
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


def _server_list(addresses: dict[str, str], cold: str) -> dict[str, Any]:
    """Return discovery's answer that lists all servers as ready."""
    common = {"zone": "z", "kind": "k", "cell": 0, "state": "Ready", "weight": 1.0}
    started_ms = {name: int(time.time() * 1000) if name == cold else 0 for name in addresses}
    servers = [
        {"id": name, "addr": address, "started_ms": started_ms[name], **common}
        for name, address in addresses.items()
    ]
    return {"version": 1, "full": True, "servers": servers}


def _fake_discovery(server_list: dict[str, Any]) -> Any:
    """Return a connection handler that answers each request with the server list.

    A request for changes after version 1 is answered after 1 s, as a long poll that found none.
    """
    body = json.dumps(server_list).encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if b"index=1" in head:
                    await asyncio.sleep(1.0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    return serve


def write_balancer_config(
    path: Path, name: str, count: int, listen: str, discovery: str, server_list: dict[str, Any]
) -> None:
    """Write the configuration file of one of `count` balancers."""
    scenario = parse_scenario(
        {
            "name": "faults",
            "shows": "processes that fail",
            "zones": ["z"],
            "balancers": {"count": count, "dial_ms": 150.0},
            "servers": [{"name": "s", "count": 1, "kind": "k"}],
            "classes": [
                {"name": class_, "repeat": repeat, "deadline_ms": 2000.0, "message_aim_ms": 50.0}
                for class_, repeat in (("any", "safe"), ("pay", "unsafe"))
            ],
            "tenants": [{"name": "acme", "connections": 1000.0}],
        }
    )
    config = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 16384},
        "known": server_list,
        "settings": balancer_settings.configuration(scenario, 0),
    }
    path.write_text(json.dumps(config), encoding="utf-8")
