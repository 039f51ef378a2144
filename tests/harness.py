"""Fake servers and a fake discovery service, and the real balancer process between them, all on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from switchhub.lab.balancer_settings import configuration
from switchhub.lab.live.lab_process import reset_transport
from switchhub.lab.scenario import parse_scenario

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 10.0  # seconds in which anything that a test waits for must come
CONNECTION_IDS = iter(range(1, 1_000_000))


DEPLOYMENT = parse_scenario(
    {
        "name": "rig",
        "shows": "a deployment for the program's tests",
        "zones": ["north", "south"],
        "balancers": {"count": 1, "dial_ms": 150.0},
        "cold": {"seconds": 8.8},
        "servers": [
            {"name": "big", "count": 1, "kind": "big"},
            {"name": "small", "count": 1, "kind": "small"},
        ],
        "classes": [
            {"name": name, "repeat": repeat, "deadline_ms": 2000.0, "message_aim_ms": 50.0}
            for name, repeat in (("any", "safe"), ("pay", "unsafe"))
        ],
        "tenants": [{"name": "acme", "connections": 100.0}],
    }
)


def settings(**changes: Any) -> dict[str, Any]:
    """Return a deployment's nested settings, with `changes` at the top level. Servers report their delay."""
    defaults = configuration(DEPLOYMENT, 0)
    defaults["FamilyInfo"]["TellsDelay"] = True
    return {**defaults, **changes}


class FakeServer:
    """A server that answers each first line as `mode` says and, after `UP`, echoes each line.

    `mode` is `up`, `silent`, `reset`, or else the line to answer before it closes the connection."""

    def __init__(self, name: str, mode: str = "up") -> None:
        self.name, self.mode = name, mode
        self.first_lines: list[bytes] = []
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.echoes = True
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=4096)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for _, writer in self.streams:
            writer.close()

    def reset_all(self) -> None:
        for _, writer in self.streams:
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            line = await reader.readline()
            if not line:
                return writer.close()
            self.first_lines.append(line)
            self.streams.append((reader, writer))
            if self.mode == "reset":
                return reset(writer)
            if self.mode == "silent":
                await reader.read()
                return
            if self.mode != "up":
                writer.write(self.mode.encode() + b"\r\n")
                return writer.close()
            writer.write(b"UP %s-%d\r\n" % (self.name.encode(), len(self.first_lines)))
            while line := await reader.readline():
                if self.echoes:
                    writer.write(line)
            writer.close()


class FakeDiscovery:
    """A discovery service that returns full lists and supports watches.

    The next `failures_left` calls are answered with status 503, the next `unanswered_calls` not at all."""

    def __init__(self, servers: list[FakeServer]) -> None:
        self.states = {server.name: "Ready" for server in servers}
        self.started = {server.name: 0 for server in servers}
        self.version, self.failures_left, self.calls = 1, 0, 0
        self.unanswered_calls = 0
        self.address = ""
        self._servers = servers
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        # Raw responses to the next calls; an empty one resets the connection.
        self.canned_responses: list[bytes] = []
        self.keep_open = False  # keep the connection open after a canned response
        self.last_sent_version = 0  # version of the list that was sent last
        self.queries: list[str] = []  # the query of each call

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=4096)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def listing(self) -> dict[str, Any]:
        return {
            "version": self.version,
            "full": True,
            "servers": [
                {
                    "id": server.name,
                    "addr": server.address,
                    "zone": "north",
                    "kind": "big",
                    "cell": 0,
                    "state": self.states[server.name],
                    "weight": 1.0,
                    "started_ms": self.started[server.name],
                }
                for server in self._servers
            ],
        }

    async def change(self, name: str, state: str) -> None:
        async with self._changed:
            self.states[name] = state
            self.version += 1
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                self.queries.append(urlsplit(head.split(b" ")[1].decode()).query)
                query = parse_qs(self.queries[-1])
                if self.unanswered_calls:
                    self.unanswered_calls -= 1
                    continue
                if self.canned_responses:
                    body = self.canned_responses.pop(0)
                    if not body:
                        return reset(writer)
                    writer.write(body)
                    await writer.drain()
                    if self.keep_open:
                        continue
                    return writer.close()
                if self.failures_left:
                    self.failures_left -= 1
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                index, wait = int(query.get("index", ["-1"])[0]), int(query.get("wait", ["0"])[0]) / 1000
                async with self._changed:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            while self.version <= index:
                                await self._changed.wait()
                body = json.dumps(self.listing()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                self.last_sent_version = self.version


class Client:
    """One client connection to the balancer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.up_line = b""  # the `UP` line that it received

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_line(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.readline()

    async def read_to_end(self) -> bytes:
        """Return all that still arrives; raises if the connection is reset."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


class BalancerProcess:
    """The real balancer in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, file: Path) -> None:
        self.process, self.port, self.config_file = process, port, file
        self.log: list[str] = []
        self.killed = False  # set by a test that kills it on purpose
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def open(self, values: str = "", kind: str = "any", wait: int = 2000) -> Client:
        client = await self.client()
        client.send(
            b"OPEN %016x key c=%s,t=acme,d=%d%s\r\n"
            % (next(CONNECTION_IDS), kind.encode(), wait, values.encode())
        )
        return client

    async def connect(self, values: str = "") -> Client:
        client = await self.open(values)
        client.up_line = await client.read_line()
        assert client.up_line.startswith(b"UP ")
        return client

    async def wait_for_log(self, text: str) -> str:
        """Wait until the log contains this text; return the first such line."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for line in self.log:
                    if text in line:
                        return line
                await asyncio.sleep(0.01)

    async def call(self, request: str) -> tuple[int, str]:
        """Send a management request, such as `GET /stats`; return its status and body."""
        port = int((await self.wait_for_log("management on")).rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{request} HTTP/1.1\r\n\r\n".encode())
        async with asyncio.timeout(TIMEOUT_S):
            head, _, text = (await reader.read()).decode().partition("\r\n\r\n")
        writer.close()
        return int(head.split()[1]), text

    async def metrics(self) -> dict[str, int]:
        """Return the current metrics."""
        status, text = await self.call("GET /stats")
        assert status == 200
        lines = (line.removeprefix("balancer.").partition("|")[0] for line in text.splitlines())
        return {name: int(value) for name, _, value in (line.partition(":") for line in lines)}

    async def reload(self, text: str) -> None:
        """Replace the configuration file, send SIGHUP and wait until the file has been read."""
        self.config_file.write_text(text)
        before = sum("reload: " in line for line in self.log)
        self.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(TIMEOUT_S):
            while sum("reload: " in line for line in self.log) == before:
                await asyncio.sleep(0.01)

    def config_with_discovery(self, discovery: FakeDiscovery) -> str:
        """Return the configuration with another discovery address."""
        return json.dumps({**json.loads(self.config_file.read_text()), "discovery": discovery.address})

    async def stop(self) -> int:
        # A process that is already stopping gets no second signal, which might meet it at its very end.
        already_stopping = any("stopping with" in line for line in self.log)
        if self.process.returncode is None and not already_stopping:
            self.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            await self.process.wait()
            await self._reading
        assert self.process.returncode is not None
        return self.process.returncode


async def start_balancer(
    file: Path,
    sockets: int = 1024,
    environ: dict[str, str] | None = None,
    command: tuple[str, ...] = ("-m", "switchhub"),
) -> BalancerProcess:
    """Start the program with this configuration file; return once it listens."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *command,
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(file), "TMPDIR": str(file.parent), **(environ or {})},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
    )
    assert process.stderr is not None
    early_log: list[str] = []
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while b"listens on" not in (line := await process.stderr.readline()):
                assert line, f"the program ended: {early_log}"
                early_log.append(line.decode())
    except BaseException:
        if process.returncode is None:
            process.kill()
        raise
    program = BalancerProcess(process, int(line.rsplit(b":", 1)[1]), file)
    program.log[:0] = early_log
    return program


async def assert_clean_exit(program: BalancerProcess) -> None:
    """Assert that the process has ended with status 0 or still runs, and has logged no traceback."""
    assert program.process.returncode in (None, 0) or program.killed, program.log
    assert not any("Traceback" in line for line in program.log), program.log


@contextlib.asynccontextmanager
async def running_balancer(
    directory: Path,
    *servers: FakeServer,
    deployment_settings: dict[str, Any] | None = None,
    sockets: int = 1024,
    discovery_failures: int = 0,
    management: bool = False,
    command: tuple[str, ...] = ("-m", "switchhub"),
) -> AsyncIterator[tuple[BalancerProcess, FakeDiscovery]]:
    """Start servers, discovery and the program; stop them at the end of the block."""
    discovery = FakeDiscovery(list(servers))
    fakes: list[FakeServer | FakeDiscovery] = [*servers, discovery]
    for fake in fakes:
        await fake.start()
    initial_listing = discovery.listing()
    discovery.failures_left = discovery_failures
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": sockets},
        "known": initial_listing,
        "settings": deployment_settings or settings(),
    }
    if management:
        config["management"] = "127.0.0.1:0"
    file = directory / "config.json"
    file.write_text(json.dumps(config))
    program = await start_balancer(file, sockets, command=command)
    try:
        yield program, discovery
        await assert_clean_exit(program)
    finally:
        if program.process.returncode is None:
            program.process.kill()
            await program.process.wait()
        for fake in fakes:
            await fake.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    reset_transport(writer.transport)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()
