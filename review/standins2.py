"""Stand-ins for the cases from 6 on: servers, discovery, clients, and balancers started as the platform does.

Everything runs in one event loop on loopback addresses and the real clock. A case is a coroutine that gets a
`Rig`; it returns the breaks of its rule, as lines. `run_case` gives the exit status: 1 if the rule was
broken, 0 if it held, 2 if the case could not run.
"""

# ruff: noqa: D107
from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0  # a case that has not ended by then could not run


class CannotRun(Exception):  # noqa: N818
    """The case could not be played, which says nothing about the rule."""


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that nobody uses, below those that connections get for themselves."""
    for _ in range(1000):
        port = random.randrange(12_000, 32_000)
        if port not in _used_ports:
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                _used_ports.add(port)
                return port
    raise CannotRun("no free port")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.close()


class Record:
    """The file `record.txt`: what was sent, answered and run, each line with its time in the play."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the play."""
        return time.monotonic() - self._start

    def add(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Server:
    """A server: answers `UP`, then each line with the same line.

    Once it drains it sends its clients away with `MOVE`, and answers `BUSY` to what is new, as a server that
    leaves does.
    """

    def __init__(self, rig: Rig, name: str, zone: str = "north") -> None:
        self.rig, self.name, self.zone = rig, name, zone
        self.address = ""
        self.draining = False
        self.opens: list[tuple[float, str]] = []  # time and id of each first line
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=4096)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def drain(self) -> None:
        """Begin to drain."""
        self.draining = True
        self.rig.record.add(f"server {self.name} drains, sends {len(self._open)} clients away")
        for writer in list(self._open):
            writer.write(b"MOVE\r\n")
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return writer.close()
            name = line.split()[1].decode()
            answer = "BUSY" if self.draining else f"UP {self.name}-{len(self.opens)}"
            self.opens.append((self.rig.record.add(f"server {self.name} got OPEN {name}: {answer}"), name))
            writer.write(answer.encode() + b"\r\n")
            if self.draining:
                return writer.close()
            self._open.add(writer)
            try:
                while (line := await reader.readline()).endswith(b"\n"):
                    writer.write(line)
            finally:
                self._open.discard(writer)
        writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()


class Discovery:
    """Discovery: one service, with an address of its own for each balancer.

    While `down`, watches end with a reset, and a call fails with 503 after `fail_after` seconds. `pace`, if
    set, is how each answer is written: so many bytes at a time, so many seconds apart. A call that is
    out when it comes back is answered.
    """

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.version = 1
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}  # by server: version of the change, entry
        self.down = False
        self.fail_after = 0.0
        self.pace: tuple[int, float] | None = None
        self.told: dict[str, dict[str, float]] = {}  # by balancer and server: when its drain was written
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    def add_server(self, server: Server) -> None:
        """List a server as ready, long since started."""
        entry = {
            "id": server.name,
            "addr": server.address,
            "zone": server.zone,
            "kind": "std",
            "cell": 0,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
        }
        self.entries[server.name] = self.version, entry

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {
            "version": self.version,
            "full": True,
            "servers": [entry for _, entry in self.entries.values()],
        }

    async def listen_for(self, balancer: str) -> str:
        """Open an address for this balancer and return it."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._writers.add(writer)
            try:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._serve(balancer, reader, writer)
            finally:
                self._writers.discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=1024)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def change(self, name: str, state: str) -> float:
        """Change a server's state; return when."""
        async with self._changed:
            self.version += 1
            entry = {**self.entries[name][1], "state": state}
            self.entries[name] = self.version, entry
            self._changed.notify_all()
        return self.rig.record.add(f"discovery: {name} is {state}, version {self.version}")

    async def go_down(self, fail_after: float) -> None:
        """Go down: watches end, calls fail after this time."""
        self.down, self.fail_after = True, fail_after
        self.rig.record.add(f"discovery goes down, calls fail after {fail_after} s")
        for writer in list(self._writers):
            reset(writer)
        async with self._changed:
            self._changed.notify_all()

    def come_back(self) -> float:
        """Answer calls again; return when."""
        self.down = False
        return self.rig.record.add("discovery is back")

    async def _serve(self, balancer: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
            self.rig.record.add(f"discovery: call of {balancer} {query}{' while down' if self.down else ''}")
            if self.down and await self._stays_down(self.fail_after):
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                self.rig.record.add(f"discovery: 503 to {balancer}")
                continue
            index = int(query["index"][0]) if "index" in query else None
            wait = min(60.0, int(query.get("wait", ["0"])[0]) / 1000)
            if index is not None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait), self._changed:
                        while self.version <= index and not self.down:
                            await self._changed.wait()
                if self.down:
                    return
                listing = {
                    "version": self.version,
                    "full": False,
                    "servers": [entry for at, entry in self.entries.values() if at > index],
                }
            else:
                listing = self.listing()
            await self._write(balancer, reader, writer, listing)

    async def _stays_down(self, seconds: float) -> bool:
        """Wait for so long; return False as soon as discovery is back: it then answers this call too."""
        end_at = time.monotonic() + seconds
        while self.down:
            left = end_at - time.monotonic()
            if left <= 0:
                return True
            await asyncio.sleep(min(left, 0.02))
        return False

    async def _write(
        self,
        balancer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listing: dict[str, Any],
    ) -> None:
        body = json.dumps(listing).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        data += body
        leaving = [entry["id"] for entry in listing["servers"] if entry["state"] != "Ready"]
        try:
            if self.pace is None:
                writer.write(data)
            else:
                size, pause = self.pace
                for start in range(0, len(data), size):
                    if start:
                        await asyncio.sleep(pause)
                    if reader.at_eof() or writer.is_closing():
                        raise ConnectionResetError(f"{start} of {len(data)} bytes were written")
                    writer.write(data[start : start + size])
                    await writer.drain()
        except OSError as error:
            self.rig.record.add(f"discovery: {balancer} ended its call within the answer: {error}")
            raise
        if listing["servers"]:
            at = self.rig.record.add(f"discovery: told {balancer} version {self.version}, leaving {leaving}")
            for name in leaving:
                self.told.setdefault(balancer, {}).setdefault(name, at)

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()


class Balancer:
    """One balancer: the process that the deploy file's `run` starts."""

    def __init__(self, rig: Rig, name: str, config: Path, log: Path) -> None:
        self.rig, self.name, self.config, self.log = rig, name, config, log
        data = json.loads(config.read_text())
        self.port = int(data["listen"].rsplit(":", 1)[1])
        self.management = int(data["management"].rsplit(":", 1)[1]) if "management" in data else 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, environ: dict[str, str] | None = None) -> None:
        """Start the process; its environment is what the platform gives it."""
        data = json.loads(self.config.read_text())
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **{key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")},
                    "BALANCER_NAME": self.name,
                    "BALANCER_LISTEN": data["listen"],
                    "BALANCER_DISCOVERY": data["discovery"],
                    "BALANCER_CONFIG": str(self.config),
                    "TMPDIR": str(self.config.parent),
                    **(environ or {}),
                },
            )
        self.rig.processes.append(self.process)

    async def wait_ready(self) -> None:
        """Wait until `PING` is answered with `PONG`, as the front does."""
        for _ in range(300):
            assert self.process is not None
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended at its start:\n{self.log.read_text()}")
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if line == b"PONG\r\n":
                    self.rig.record.add(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready:\n{self.log.read_text()}")

    def signal(self, number: signal.Signals) -> float:
        """Send the process a signal; return when."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        return self.rig.record.add(f"{number.name} to {self.name}")

    async def call(self, method: str, path: str) -> int:
        """Make a call of the staff; return its status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: staff\r\n\r\n".encode())
        status = int((await asyncio.wait_for(reader.read(), 5)).split()[1])
        writer.close()
        self.rig.record.add(f"{method} {path} to {self.name}: {status}")
        return status


class Client:
    """One client connection: its first line, its answer, and then a line every 2 s until it ends."""

    def __init__(self, rig: Rig, balancer: Balancer, values: str, wait_ms: int) -> None:
        self.rig, self.balancer, self.wait_ms = rig, balancer, wait_ms
        rig.client_count += 1
        self.id = f"{rig.client_count:016x}"
        self.values = values
        self.answer = ""  # the first line that came; "" if none did
        self.answered_at = self.sent_at = 0.0
        self.moved = False
        self.end = ""  # how the connection ended: client, end, reset
        self.ended_at = 0.0
        self.unanswered = 0
        rig.clients[self.id] = self

    async def run(self, life_s: float) -> None:
        """Open the connection, wait for the answer, then stay for so long at most."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.balancer.port)
        except OSError as error:
            self.end = "refused"
            self.rig.record.add(f"client {self.id}: {self.balancer.name} can't be reached: {error}")
            return
        try:
            line = f"OPEN {self.id} key{self.id} {self.values},d={self.wait_ms}\r\n"
            writer.write(line.encode())
            self.sent_at = self.rig.record.add(f"client {self.id} to {self.balancer.name}: {line.strip()}")
            async with asyncio.timeout(self.wait_ms / 1000 + 5):
                self.answer = (await reader.readline()).decode().strip()
            self.answered_at = self.rig.record.add(f"client {self.id} heard {self.answer!r}")
            if self.answer.startswith("UP "):
                await self._stay(reader, writer, life_s)
            else:
                self.end = "answered"
        except TimeoutError:
            self.end = "no answer"
            self.rig.record.add(f"client {self.id}: no answer")
        except OSError:
            self.end = "reset"
        finally:
            self.ended_at = self.rig.record.add(
                f"client {self.id} ended: {self.end}{', moved' if self.moved else ''}"
            )
            writer.close()

    async def _stay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, life_s: float) -> None:
        end_at = time.monotonic() + life_s
        speak_at = time.monotonic() + 2.0 * (int(self.id, 16) % 20 + 1) / 20
        while True:
            now = time.monotonic()
            if now >= end_at:
                self.end = "client"
                return
            if now >= speak_at:
                speak_at += 2.0
                self.unanswered += 1
                writer.write(b"M hello\r\n")
            try:
                async with asyncio.timeout(max(0.0, min(end_at, speak_at) - now)):
                    line = await reader.readline()
            except TimeoutError:
                continue
            if line == b"MOVE\r\n":
                self.moved = True
            elif not line.endswith(b"\n"):
                self.end = "end"
                return
            elif line.startswith(b"M "):
                self.unanswered -= 1


def settings(
    classes: list[dict[str, Any]],
    fleet: int,
    discovery: str,
    ask_within_ms: float = 6000.0,
    grace_ms: float = 2000.0,
    max_attempts: int = 4,
) -> dict[str, Any]:
    """The settings of a small deployment, in the configuration's form."""
    return {
        "Allowed": {
            "DialTimeout": 150.0,
            "MaxAttempts": max_attempts,
            "MaxRetryAfter": 2000.0,
            "Probes": False,
            "RetryAfter": False,
        },
        "Az": 0,
        "Classes": classes,
        "Customers": [{"Name": "all", "Share": 1.0}],
        "Discovery": discovery,
        "FamilyInfo": {
            "Groups": False,
            "MessageAim": [60.0 for _ in classes],
            "TellsDelay": False,
            "TellsLoad": True,
        },
        "FleetSize": fleet,
        "Localities": ["north"],
        "Rules": {
            "AnswerSlack": 50.0,
            "AskWithin": ask_within_ms,
            "Cold": 8800.0,
            "ColdFrom": 0.3,
            "DrainGrace": grace_ms,
            "Fall": 2000.0,
            "FallMultiple": 2.5,
        },
        "Shapes": ["std"],
    }


def request_class(name: str, deadline_ms: float, repeat: str = "repeatable", **more: Any) -> dict[str, Any]:
    """One class of requests."""
    return {
        "Name": name,
        "Repeat": repeat,
        "Deadline": deadline_ms,
        "GoalTime": deadline_ms / 4,
        "Worth": 1.0,
        **more,
    }


class Rig:
    """All that one play consists of."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.processes: list[asyncio.subprocess.Process] = []
        self.clients: dict[str, Client] = {}
        self.client_count = 0
        self.servers: list[Server] = []
        self.discovery = Discovery(self)
        self.tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run something beside the play, to its end at most."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_servers(self, count: int) -> list[Server]:
        """Start servers and list them."""
        for _ in range(count):
            server = Server(self, f"s-{len(self.servers) + 1:02d}")
            await server.start()
            self.servers.append(server)
            self.discovery.add_server(server)
        return self.servers

    async def add_balancer(
        self,
        name: str,
        seed: int,
        settings: dict[str, Any],
        management: bool = False,
        environ: dict[str, str] | None = None,
    ) -> Balancer:
        """Configure and start a balancer; it is ready later."""
        folder = self.folder / name
        folder.mkdir()
        config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": await self.discovery.listen_for(name),
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(),
            "settings": settings,
        }
        if management:
            config["management"] = f"127.0.0.1:{free_port()}"
        (folder / "config.json").write_text(json.dumps(config))
        balancer = Balancer(self, name, folder / "config.json", folder / "log.txt")
        await balancer.start(environ)
        return balancer

    def client(self, balancer: Balancer, values: str, wait_ms: int, life_s: float) -> Client:
        """Start a client."""
        client = Client(self, balancer, values, wait_ms)
        self.spawn(client.run(life_s))
        return client

    async def end(self) -> None:
        """End all processes that the play started, by their ids, and all its tasks."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), 5)
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.discovery.close()
        await asyncio.gather(*tasks, return_exceptions=True)


def late_sends(rig: Rig, server: Server, told_by: Callable[[str], float], grace_s: float) -> list[str]:
    """The sends to a draining server that broke the rule on drains, as lines.

    `told_by` gives for each balancer when it counts as told. A send counts when its first bytes reached the
    server; 50 ms are the protocol's, another 100 ms cover this rig's own lateness.
    """
    breaks = []
    for at, name in server.opens:
        client = rig.clients.get(name)
        if client is None:
            continue
        told = told_by(client.balancer.name)
        if at > told + grace_s + 0.05 + 0.1:
            breaks.append(
                f"{client.balancer.name} sent {name} to {server.name} at {at:.3f}, "
                f"{at - told:.3f} s after it counted as told of the drain"
            )
    return breaks


def run_case(folder: str, play: Callable[[Rig], Awaitable[list[str]]]) -> int:
    """Play a case and return its exit status."""
    record = Record(Path(folder) / "record.txt")

    async def whole() -> list[str]:
        with tempfile.TemporaryDirectory() as temporary:
            rig = Rig(Path(temporary), record)
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    return await play(rig)
            finally:
                await rig.end()

    try:
        breaks = asyncio.run(whole())
    except Exception as error:
        text = f"could not run: {type(error).__name__}: {error}"
        record.add(text)
        print(text, file=sys.stderr)
        return 2
    finally:
        sys.stdout.flush()
    for line in breaks:
        record.add(f"BREAK {line}")
    verdict = f"{'broken' if breaks else 'held'} (TROUBLE={int(TROUBLE)}), breaks: {len(breaks)}"
    record.add(verdict)
    record.close()
    print("\n".join([*breaks[:5], verdict]))
    return 1 if breaks else 0
