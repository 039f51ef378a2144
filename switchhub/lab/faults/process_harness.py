"""What every play with real processes of the program has: processes, servers, discovery, clients, one clock.

Owns: every process it starts, its log and its end; the stand-ins; what servers and clients saw. Must never:
help a process, or end one that it did not start.
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

LIMIT = 12.0  # seconds that a step may wait for its condition
CLIENT_HOLD_S = 0.4  # seconds that a client stays before it speaks and leaves
CLIENT_TIMEOUT_S = 1.5  # seconds that a client waits for its answer
TIMING_SLACK_S = 0.1  # seconds: this machine's own lateness
CHOKED = 8  # descriptors: fewer than a process opens before its first client
STAGES = count()
SIGNALS = {"stop": signal.SIGSTOP, "wake": signal.SIGCONT, "kill": signal.SIGKILL, "term": signal.SIGTERM}


class PlanError(ValueError):
    """A plan that is none."""


@dataclass(slots=True)
class ClientResult:
    """One client."""

    at: float
    answer: str = ""
    answered: float = 0.0
    spoke: bool = False  # its line came back, or it was moved
    to: str = ""  # which balancer, where there are several


@dataclass(slots=True)
class BaseRecord:
    """What was done and seen, in seconds from the beginning."""

    plan: str
    done: list[tuple[float, str]] = field(default_factory=list)
    came: list[ClientResult] = field(default_factory=list)
    opened: list[tuple[float, str, str]] = field(default_factory=list)  # when, which server, which id
    closed: dict[str, float] = field(default_factory=dict)  # of these ids, when
    stuck: str = ""  # a step whose condition did not come
    ended: dict[str, int] = field(default_factory=dict)
    logs: dict[str, list[str]] = field(default_factory=dict)

    def common_violations(self) -> list[str]:
        """What may never be, whatever was done."""
        out = [f"nothing came of: {self.stuck}"] if self.stuck else []
        unsafe = [name for _, _, name in self.opened if int(name, 16) % 2]  # a safe one may be tried again
        if len(unsafe) != len(set(unsafe)):
            out.append("a server saw an unsafe id twice")
        out += [f"{name} ended with {code}" for name, code in self.ended.items() if code not in (0, -9)]
        out += [f"{name}: traceback" for name, log in self.logs.items() if any("Traceback" in x for x in log)]
        return out


class ProcessHarness:
    """The processes and what stands around them."""

    def __init__(self, seen: BaseRecord) -> None:
        self.base_record = seen
        self._zero = time.monotonic()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._hogs: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening: list[asyncio.Server] = []
        self._going = True
        number = next(STAGES)  # loopback addresses of its own: no other play takes its ports
        self._net = f"127.{16 + os.getpid() % 200}.{number % 125 * 2}"

    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._zero

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Processes.

    async def _start_process(self, name: str, module: str, *arguments: str, **environ: str) -> None:
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
        self._start(self._read(name, process))

    async def _read(self, name: str, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.base_record.logs[name].append(f"{self.now():8.3f} {line.decode(errors='replace').rstrip()}")
        self.base_record.ended[name] = await process.wait()
        self._mark()

    def _mark(self) -> None:
        """Something has been done to a process, or one has ended."""

    async def _signal(self, verb: str, name: str) -> None:
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(SIGNALS[verb])
        if verb == "stop":
            await self._until(lambda: self._state(name) in "TZ")

    def _state(self, name: str) -> str:
        """One letter of proc(5)."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self._processes[name].pid}/stat").read_text(encoding="ascii")
            return text.rpartition(")")[2].split()[0]
        return "Z"

    async def _until(self, condition: Callable[[], bool], limit: float = LIMIT) -> None:
        async with asyncio.timeout(limit):
            while not condition():
                await asyncio.sleep(0.005)

    async def _slow(self, pid: int) -> None:
        core = min(os.sched_getaffinity(0))
        rests_never = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        self._hogs.append(rests_never)
        threads = [int(each) for each in os.listdir(f"/proc/{pid}/task")]
        for each in (*threads, rests_never.pid):
            os.sched_setaffinity(each, [core])

    def _limit(self, name: str, choke: bool) -> None:
        pid = self._processes[name].pid
        with contextlib.suppress(ProcessLookupError):  # it has ended, which the record tells
            _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (CHOKED if choke else hard, hard))

    async def _ask(self, name: str, path: str) -> tuple[int, bytes] | None:
        """A call at its management address: status and body."""
        called = [line for line in self.base_record.logs.get(name, ()) if "management on" in line]
        with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
            async with asyncio.timeout(1.0):
                port = int(called[-1].rsplit(":", 1)[1])
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write(f"GET {path} HTTP/1.1\r\n\r\n".encode())
                    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                    return int(head.split()[1]), body
                finally:
                    writer.close()
        return None

    async def _end(self) -> None:
        self._going = False
        for process in (*self._processes.values(), *self._hogs):
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self._listening:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    # Servers and clients.

    async def _stand_ins(self, names: list[str], cold: str = "") -> tuple[str, dict[str, Any]]:
        """Servers and a discovery that knows them: its address and its list."""
        addresses = {}
        for name in names:
            self._listening.append(
                await asyncio.start_server(self._server(name), "127.0.0.1", 0, backlog=4096)
            )
            addresses[name] = _address(self._listening[-1])
        listing = _listing(addresses, cold)
        self._listening.append(await asyncio.start_server(_discovery(listing), "127.0.0.1", 0))
        return _address(self._listening[-1]), listing

    def _server(self, name: str) -> Any:
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

    async def _clients(self, every: float, where: Callable[[int], tuple[str, str, int]]) -> None:
        """One each so many seconds, to the balancer's name and address that `where` says."""
        begun = self.now()
        for number in count(1):
            if not self._going:
                return
            name, host, port = where(number)
            self._start(self._client(number, self.base_record.came, host, port, name))
            await asyncio.sleep(max(0.0, begun + number * every - self.now()))

    async def _client(
        self, number: int, among: list[ClientResult], host: str, port: int, to: str = ""
    ) -> None:
        came = ClientResult(self.now(), to=to)
        among.append(came)
        writer = None
        with contextlib.suppress(ConnectionError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port), CLIENT_TIMEOUT_S + TIMING_SLACK_S
            )
            kind = "pay" if number % 2 else "any"
            writer.write(
                f"OPEN {number:016x} key c={kind},t=acme,d={CLIENT_TIMEOUT_S * 1000:.0f},h=100\r\n".encode()
            )
            line = await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_S + 2 * TIMING_SLACK_S)
            came.answer, came.answered = line.decode().split(" ")[0].strip(), self.now()
            if came.answer == "UP":
                await asyncio.sleep(CLIENT_HOLD_S)
                writer.write(b"M 1\r\n")
                back = await asyncio.wait_for(reader.readline(), CLIENT_TIMEOUT_S)
                came.spoke = back in (b"M 1\r\n", b"MOVE\r\n")
        if writer is not None:
            writer.close()


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


def _listing(addresses: dict[str, str], cold: str) -> dict[str, Any]:
    common = {"zone": "z", "kind": "k", "cell": 0, "state": "Ready", "weight": 1.0}
    born = {name: int(time.time() * 1000) if name == cold else 0 for name in addresses}
    servers = [
        {"id": name, "addr": address, "started_ms": born[name], **common}
        for name, address in addresses.items()
    ]
    return {"version": 1, "full": True, "servers": servers}


def _discovery(listing: dict[str, Any]) -> Any:
    body = json.dumps(listing).encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if b"index=1" in head:
                    await asyncio.sleep(1.0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    return serve


def write_balancer_config(
    path: Path, name: str, count: int, listen: str, discovery: str, listing: dict[str, Any]
) -> None:
    """The configuration of one of so many balancers."""
    scenario = parse_scenario(
        {
            "name": "faults",
            "shows": "processes that fail",
            "zones": ["z"],
            "balancers": {"count": count, "dial_ms": 150.0},
            "servers": [{"name": "s", "count": 1, "kind": "k"}],
            "classes": [
                {"name": kind, "repeat": repeat, "deadline_ms": 2000.0, "message_aim_ms": 50.0}
                for kind, repeat in (("any", "safe"), ("pay", "unsafe"))
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
        "known": listing,
        "settings": balancer_settings.configuration(scenario, 0),
    }
    path.write_text(json.dumps(config), encoding="utf-8")
