"""Stand-ins for servers, discovery and clients, and the start of the program, for the cases of the review.

They speak the lines of the protocol page over loopback. Where the page is silent they behave like a sound
server, client or platform. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LINGER_RESET = struct.pack("ii", 1, 0)


def now() -> float:
    """Return the seconds of the monotonic clock."""
    return time.monotonic()


def troubled() -> bool:
    """Whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Open the file anew."""
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._started = now()

    def __call__(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{now() - self._started:9.4f} {text}\n")
        self._file.flush()


def reset_writer(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class Server:
    """A server: answers `OPEN` with `UP RECEIPT` and each later line with the same line.

    `opened` holds, by connection id, when its first line arrived; `ended` the ids that this server ended.
    """

    def __init__(self, name: str, record: Record, zone: str = "north", kind: str = "big") -> None:
        """Prepare the server; `start` opens its address."""
        self.name, self.record, self.zone, self.kind = name, record, zone, kind
        self.address = ""
        self.opened: dict[str, float] = {}
        self.lines: list[tuple[str, str]] = []  # each `OPEN` line: connection id, whole line
        self.ended: set[str] = set()
        self.open_now: dict[str, asyncio.StreamWriter] = {}
        self.started_ms = 0
        self.alive = False
        self._listener: asyncio.Server | None = None
        self._all: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; after `die` at the same address, as a server that has just started."""
        host, port = "127.0.0.1", 0
        if self.address:
            port = int(self.address.rsplit(":", 1)[1])
            self.started_ms = round(time.time() * 1000)
        self._listener = await asyncio.start_server(self._serve, host, port, backlog=1024)
        self.address = f"{host}:{self._listener.sockets[0].getsockname()[1]}"
        self.alive = True

    def die(self) -> None:
        """Die as a process does: all connections are reset, new ones are refused."""
        self.alive = False
        if self._listener is not None:
            self._listener.close()
        self.ended.update(self.open_now)
        for writer in list(self._all):
            reset_writer(writer)
        self.open_now.clear()
        self._all.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        name = ""
        self._all.add(writer)
        try:
            line = await reader.readline()
            if not line.startswith(b"OPEN "):
                return
            name = line.split(b" ")[1].decode()
            self.opened[name] = now()
            self.lines.append((name, line.decode().strip()))
            self.record(f"server {self.name} got {line.decode().strip()}")
            await self.answer(name, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._all.discard(writer)
            self.open_now.pop(name, None)
            writer.close()

    async def answer(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection after its first line."""
        self.open_now[name] = writer
        writer.write(f"UP {self.name}-{name}\r\n".encode())
        while line := await reader.readline():
            writer.write(line)

    def entry(self, state: str = "Ready") -> dict[str, Any]:
        """Return the server's entry of the list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": self.kind,
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Discovery:
    """Discovery: the whole list, and watches that end with the entries that changed."""

    def __init__(self, servers: list[Server], record: Record) -> None:
        """Prepare the list: all servers are ready."""
        self.record = record
        self.entries = {server.name: (1, server) for server in servers}  # version of the last change
        self.states = {server.name: "Ready" for server in servers}
        self.version = 1
        self.address = ""
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def change(self, server: Server, state: str) -> None:
        """Change one server's state and wake the watches."""
        async with self._changed:
            self.version += 1
            self.states[server.name] = state
            self.entries[server.name] = (self.version, server)
            self.record(f"discovery: {server.name} {state}, version {self.version}")
            self._changed.notify_all()

    def listing(self, index: int = -1) -> dict[str, Any]:
        """Return the whole list, or the entries changed since a version."""
        rows = [
            server.entry(self.states[server.name])
            for version, server in self.entries.values()
            if version > index and (index >= 0 or self.states[server.name] != "Gone")
        ]
        return {"version": self.version, "full": index < 0, "servers": rows}

    async def send(self, writer: asyncio.StreamWriter, body: bytes, lines: int) -> None:
        """Write one answer, which holds so many entries."""
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()

    def close(self) -> None:
        """Take no call from now on, and end the open connections."""
        if self._listener is not None:
            self._listener.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                index = int(query.get("index", ["-1"])[0])
                wait = int(query.get("wait", ["0"])[0]) / 1000
                async with self._changed:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            while self.version <= index:
                                await self._changed.wait()
                    listing = self.listing(index)
                await self.send(writer, json.dumps(listing).encode(), len(listing["servers"]))
        writer.close()


class Client:
    """A client connection: `OPEN`, then a line every two seconds until the connection ends.

    `outcome` is empty while it runs, then one of: served (it ended itself), refused, failed, unanswered,
    moved, bye, cut.
    """

    interval = 2.0

    def __init__(self, address: tuple[str, int], record: Record, name: str, values: str) -> None:
        """Prepare the connection; `values` is the list that ends the `OPEN` line."""
        self.address, self.record, self.name, self.values = address, record, name, values
        self.outcome = ""
        self.up_line = ""
        self.up = asyncio.Event()
        self.done = asyncio.Event()
        self.sent_at = self.ended_at = 0.0
        self.lines_sent = self.lines_back = 0
        self.writer: asyncio.StreamWriter | None = None

    def _end(self, outcome: str) -> None:
        self.outcome, self.ended_at = outcome, now()
        self.record(f"client {self.name} {outcome} {self.up_line}")
        self.up.set()
        self.done.set()

    async def run(self) -> None:
        """Run the connection to its end."""
        try:
            reader, self.writer = await asyncio.open_connection(*self.address)
        except OSError as error:
            return self._end(f"not connected ({error.strerror})")
        pinger = None
        try:
            self.sent_at = now()
            self.writer.write(f"OPEN {self.name} key {self.values}\r\n".encode())
            line = await reader.readline()
            if not line:
                return self._end("unanswered")
            if line.startswith(b"BUSY"):
                return self._end("refused")
            if not line.startswith(b"UP "):
                return self._end("failed")
            self.up_line = line.decode().strip()
            self.record(f"client {self.name} {self.up_line}")
            self.up.set()
            pinger = asyncio.create_task(self._send_lines(self.writer))
            last = b""
            while line := await reader.readline():
                last = line
                if line.startswith(b"M "):
                    self.lines_back += 1
            if not self.outcome:
                ends = {b"MOVE\r\n": "moved", b"BYE\r\n": "bye"}
                self._end(ends.get(last, "cut"))
        except ConnectionError:
            if not self.outcome:
                self._end("cut" if self.up_line else "unanswered")
        finally:
            if pinger is not None:
                pinger.cancel()
            self.writer.close()

    def drop(self) -> None:
        """Drop the connection as a process that dies does: with a reset."""
        if self.writer is not None and not self.outcome:
            self._end("dropped")
            reset_writer(self.writer)

    async def _send_lines(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(random.uniform(0, self.interval))
        while True:
            self.lines_sent += 1
            writer.write(f"M {self.lines_sent}\r\n".encode())
            await asyncio.sleep(self.interval)


class Balancer:
    """One process of the program, started with the deploy file's command."""

    def __init__(self, label: str, folder: Path, config: dict[str, Any], record: Record) -> None:
        """Prepare the process; `config` is written to a file in the folder."""
        self.label, self.folder, self.config, self.record = label, folder, config, record
        self.log: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self.management = str(config.get("management", ""))
        self.environ: dict[str, str] = {}  # further variables of the process
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and wait until it listens; raises `TimeoutError` if it does not."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / f"{self.config['name']}-{self.label}.json"
        path.write_text(json.dumps(self.config))
        temporary = self.folder / f"tmp-{self.config['name']}"
        temporary.mkdir(exist_ok=True)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        environ |= {
            "BALANCER_NAME": self.config["name"],
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            **self.environ,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        self._reading = asyncio.create_task(self._read())
        await self.wait_for_log("listens on", 20.0)
        self.record(f"balancer {self.label} listens, process {self.process.pid}")

    async def _read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log.append(text)
            self.record(f"balancer {self.label} log: {text}")

    async def wait_for_log(self, text: str, seconds: float) -> None:
        """Wait until the log contains the text."""
        assert self.process is not None
        async with asyncio.timeout(seconds):
            while not any(text in line for line in self.log):
                if self.process.returncode is not None:
                    raise TimeoutError(f"balancer {self.label} ended: {self.log[-5:]}")
                await asyncio.sleep(0.002)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record(f"balancer {self.label}: {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the end of the process; return its exit status, None if it still runs."""
        assert self.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.process.wait()
        if self.process.returncode is not None:
            self.record(f"balancer {self.label} ended with status {self.process.returncode}")
        return self.process.returncode

    async def kill(self) -> None:
        """End the process at once if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self._reading is not None:
            await self._reading

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """Make a call to the management address; return status and body, 0 if there is no answer."""
        host, _, port = self.management.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
                writer.close()
                return int(head.split()[1]), body
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, ""

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until the health check says yes."""
        async with asyncio.timeout(seconds):
            while (await self.call("GET", "/healthcheck"))[0] != 200:
                await asyncio.sleep(0.02)


async def ping(address: tuple[str, int]) -> str:
    """Ask the clients' address whether new clients may come; return the answer, empty if there is none."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"PING\r\n")
            line = await reader.readline()
            writer.close()
            return line.decode().strip()
    except (OSError, TimeoutError):
        return ""


def run_case(script: str, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Play a case in a temporary folder; return its exit status, 2 if it could not run or was told to end."""
    record = Record(Path(script).resolve().parent)

    async def run() -> int:
        task = asyncio.ensure_future(play(record, Path(folder)))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await task
        except (OSError, TimeoutError, asyncio.CancelledError) as error:
            record(f"can't run: {type(error).__name__}: {error}")
            print(f"the case could not run: {type(error).__name__}: {error}")
            return 2

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run())


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` replace parts at the top level."""
    defaults: dict[str, Any] = {
        "Allowed": {
            "DialTimeout": 150.0,
            "MaxAttempts": 4,
            "MaxRetryAfter": 2000.0,
            "Probes": False,
            "RetryAfter": False,
        },
        "Az": 0,
        "Classes": [
            {
                "Name": "feed",
                "Repeat": "repeatable",
                "KeyScope": "all",
                "KeyTtl": 5000.0,
                "Deadline": 1200.0,
                "GoalTime": 300.0,
                "Worth": 5.0,
            },
            {
                "Name": "order",
                "Repeat": "once",
                "KeyScope": "all",
                "KeyTtl": 5000.0,
                "Deadline": 2000.0,
                "GoalTime": 500.0,
                "Worth": 5.0,
            },
        ],
        "Customers": [{"Name": "valley", "Share": 1.0, "QuotaPerS": 10.0}],
        "Discovery": "ask",
        "FamilyInfo": {"Groups": False, "MessageAim": [50.0, 50.0], "TellsLoad": True, "TellsDelay": True},
        "FleetSize": 3,
        "Localities": ["north", "south"],
        "Rules": {
            "AnswerSlack": 8.0,
            "AskWithin": 10000.0,
            "Cold": 8800.0,
            "ColdFrom": 0.3,
            "DrainGrace": 2000.0,
            "Fall": 2000.0,
            "FallMultiple": 2.5,
        },
        "Shapes": ["big", "small"],
    }
    return {**defaults, **changes}


def configuration(listen: int, discovery: Discovery, management: int = 0, **changes: Any) -> dict[str, Any]:
    """Return a balancer's configuration."""
    config: dict[str, Any] = {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": discovery.address,
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 2048},
        "known": discovery.listing(),
        "settings": settings(),
    }
    if management:
        config["management"] = f"127.0.0.1:{management}"
    return {**config, **changes}


def new_id() -> str:
    """Return a connection id that was not used before."""
    return f"{random.getrandbits(64):016x}"
