"""A balancer inside the test's process, between clients and servers that are bare sockets.

The real listener, decision module and sockets run. Clients and servers do only what the test does with their
sockets. It acts between two iterations of the event loop, so the loop sees several of its acts at once."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from switchhub.net.config import read_config
from switchhub.net.listener import Listener
from switchhub.net.session import Session
from tests.harness import CONNECTION_IDS, TIMEOUT_S, settings


class ScriptedServer:
    """A server whose sockets do only what the test does with them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self._next_connection: asyncio.Task[tuple[socket.socket, bytes]] | None = None

    def listing_entry(self) -> dict[str, Any]:
        host, port = self.sock.getsockname()
        return {"id": self.name, "addr": f"{host}:{port}", "state": "Ready", "started_ms": 0}

    def next_connection(self) -> asyncio.Task[tuple[socket.socket, bytes]]:
        """Return the task that accepts the next connection and reads its first line, or what came of it."""
        if self._next_connection is None:
            self._next_connection = asyncio.create_task(self._accept())
        return self._next_connection

    async def accept_next(self) -> tuple[socket.socket, bytes]:
        """Wait for the next connection; return its socket and first line."""
        found = await self.next_connection()
        self._next_connection = None
        return found

    async def _accept(self) -> tuple[socket.socket, bytes]:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_S):
            sock, _ = await loop.sock_accept(self.sock)
            line = b""
            while not line.endswith(b"\n") and (more := await loop.sock_recv(sock, 4096)):
                line += more
        return sock, line

    def has_no_connection(self) -> bool:
        """Whether no client has connected."""
        if self._next_connection is not None and self._next_connection.done():
            return False
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return True
        return False


class BalancerFixture:
    """One balancer with two servers, and one client with its session."""

    def __init__(self, path: Path, deployment_settings: dict[str, Any] | None = None) -> None:
        self.servers = {name: ScriptedServer(name) for name in ("a", "b")}
        file = path / "config.json"
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "limits": {"sockets": 200},
            "known": {
                "version": 1,
                "full": True,
                "servers": [each.listing_entry() for each in self.servers.values()],
            },
            "settings": deployment_settings or settings(),
        }
        file.write_text(json.dumps(config))
        self.listener = Listener(read_config({"BALANCER_CONFIG": str(file)}))
        self.client: socket.socket
        self.task: asyncio.Task[None]
        self.session: Session
        self.expected_errors = 0  # unexpected errors that the test provokes

    async def open_request(self, kind: str = "any", before: Callable[[], None] = lambda: None) -> None:
        """Send a client's request and start a session for it; call `before` between the two."""
        here, self.client = socket.socketpair()
        self.client.setblocking(False)
        self.client.send(b"OPEN %016x key c=%s,t=acme,d=2000\r\n" % (next(CONNECTION_IDS), kind.encode()))
        self.session = Session(self.listener, self.listener.sockets.add_client(here))
        before()
        self.task = asyncio.create_task(self.session.run())

    async def first_attempt(self) -> tuple[ScriptedServer, ScriptedServer, socket.socket]:
        """Return the server that has the request, the other one, and the connection."""
        servers = list(self.servers.values())
        await asyncio.wait([each.next_connection() for each in servers], return_when=asyncio.FIRST_COMPLETED)
        first, other = sorted(servers, key=lambda each: not each.next_connection().done())
        sock, line = await first.accept_next()
        assert line.startswith(b"OPEN ")
        return first, other, sock

    async def client_output(self) -> bytes:
        """Wait for the session to end; return what the client received."""
        async with asyncio.timeout(TIMEOUT_S):
            await self.task
        try:
            return self.client.recv(4096)
        except OSError:
            return b""

    def close(self) -> None:
        self.listener.sock.close()
        for each in self.servers.values():
            each.sock.close()
        assert self.listener.counters.get("errors") == self.expected_errors


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def run_script(
    path: Path,
    script: Callable[[BalancerFixture], Awaitable[None]],
    deployment_settings: dict[str, Any] | None = None,
    loop_factory: Callable[[], asyncio.AbstractEventLoop] = asyncio.new_event_loop,
) -> None:
    """Run the script with a balancer whose files are in this directory, on an event loop of this kind."""

    async def run() -> None:
        fixture = BalancerFixture(path, deployment_settings)
        try:
            await script(fixture)
        finally:
            fixture.close()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
