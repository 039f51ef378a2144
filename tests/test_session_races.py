"""What may come between two steps of a session, each forced at the step itself: no time decides here.

The real listener, module and sockets in this process; servers and clients are bare sockets that the test acts
with between two turns of the loop, so what it does at once is seen by one look of the loop at its sockets."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from switchhub.admission.controller import AdmissionDecision
from switchhub.net.config import read_config
from switchhub.net.listener import Listener
from switchhub.net.session import Session
from tests.harness import IDS, TIMEOUT_S, settings


class Scripted:
    """A server that does nothing but what the test does with its sockets."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self._coming: asyncio.Task[tuple[socket.socket, bytes]] | None = None

    def entry(self) -> dict[str, Any]:
        host, port = self.sock.getsockname()
        return {"id": self.name, "addr": f"{host}:{port}", "state": "Ready", "started_ms": 0}

    def coming(self) -> asyncio.Task[tuple[socket.socket, bytes]]:
        """The next connection and its first line, or what came of it before its end."""
        if self._coming is None:
            self._coming = asyncio.create_task(self._next())
        return self._coming

    async def next(self) -> tuple[socket.socket, bytes]:
        """The same, once it is there."""
        found = await self.coming()
        self._coming = None
        return found

    async def _next(self) -> tuple[socket.socket, bytes]:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_S):
            sock, _ = await loop.sock_accept(self.sock)
            line = b""
            while not line.endswith(b"\n") and (more := await loop.sock_recv(sock, 4096)):
                line += more
        return sock, line

    def untouched(self) -> bool:
        """Whether nobody has connected."""
        if self._coming is not None and self._coming.done():
            return False
        try:
            self.sock.accept()[0].close()
        except BlockingIOError:
            return True
        return False


class Play:
    """One balancer with two servers, `first` the one that the module chose."""

    def __init__(self, path: Path, told: dict[str, Any] | None = None) -> None:
        self.servers = {name: Scripted(name) for name in ("a", "b")}
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
                "servers": [each.entry() for each in self.servers.values()],
            },
            "settings": told or settings(),
        }
        file.write_text(json.dumps(config))
        self.node = Listener(read_config({"BALANCER_CONFIG": str(file)}))
        self.client: socket.socket
        self.task: asyncio.Task[None]
        self.session: Session

    async def open(self, kind: str = "any", before: Callable[[], None] = lambda: None) -> None:
        """A client's request, given to a session of its own."""
        here, self.client = socket.socketpair()
        self.client.setblocking(False)
        self.client.send(b"OPEN %016x key c=%s,t=acme,d=2000\r\n" % (next(IDS), kind.encode()))
        self.session = Session(self.node, self.node.sockets.of_client(here))
        before()
        self.task = asyncio.create_task(self.session.run())

    async def attempted(self) -> tuple[Scripted, Scripted, socket.socket]:
        """The server that has the request, the other one, and the connection."""
        servers = list(self.servers.values())
        await asyncio.wait([each.coming() for each in servers], return_when=asyncio.FIRST_COMPLETED)
        first, other = sorted(servers, key=lambda each: not each.coming().done())
        sock, line = await first.next()
        assert line.startswith(b"OPEN ")
        return first, other, sock

    async def ended(self) -> bytes:
        """What the client has heard when its session is over."""
        async with asyncio.timeout(TIMEOUT_S):
            await self.task
        try:
            return self.client.recv(4096)
        except OSError:
            return b""

    def close(self) -> None:
        self.node.sock.close()
        for each in self.servers.values():
            each.sock.close()
        assert self.node.counters.get("errors") == 0


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def played(path: Path, script: Callable[[Play], Awaitable[None]], told: dict[str, Any] | None = None) -> None:
    async def run() -> None:
        play = Play(path, told)
        try:
            await script(play)
        finally:
            play.close()

    asyncio.run(run())


LEAVES: dict[str, Callable[[Play], None]] = {
    "closes": lambda play: play.client.close(),
    "resets": lambda play: reset(play.client),
    "half-closes": lambda play: play.client.shutdown(socket.SHUT_WR),
    "is given up by a stop": lambda play: play.session.give_up(),
}


@pytest.mark.parametrize("client_first", [True, False])
@pytest.mark.parametrize("leaves", LEAVES)
def test_no_further_attempt_begins_when_one_ends_in_the_turn_in_which_its_client(
    tmp_path: Path, leaves: str, client_first: bool
) -> None:
    async def script(play: Play) -> None:
        await play.open()
        _, other, sock = await play.attempted()
        if client_first:
            LEAVES[leaves](play)
        reset(sock)
        if not client_first:
            LEAVES[leaves](play)
        assert await play.ended() == (b"FAILED\r\n" if leaves.startswith("is") else b"")
        assert other.untouched()
        assert not play.node.sessions and sum(play.node.facade._balancer.sums().values()) == 0

    played(tmp_path, script)


def test_an_answer_of_the_old_discovery_that_lies_unread_at_a_move_is_not_heard(tmp_path: Path) -> None:
    """Danger: its version and its list would be taken for the new one's."""

    async def script(play: Play) -> None:
        loop = asyncio.get_running_loop()
        old, new = Scripted("old"), Scripted("new")
        discovery = play.node.discovery
        discovery.move(old.sock.getsockname())
        running = asyncio.create_task(discovery.run())
        async with asyncio.timeout(TIMEOUT_S):
            sock, _ = await loop.sock_accept(old.sock)
            await loop.sock_recv(sock, 4096)
        gone = {**play.servers["b"].entry(), "state": "Terminating"}
        body = json.dumps({"version": 9, "full": True, "servers": [play.servers["a"].entry(), gone]}).encode()
        sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        discovery.move(new.sock.getsockname())
        async with asyncio.timeout(TIMEOUT_S):
            asks, _ = await loop.sock_accept(new.sock)
            assert (await loop.sock_recv(asks, 4096)).startswith(b"GET /api/targets HTTP/1.1\r\n")
        assert discovery.version == 0 and discovery.ready("b")
        running.cancel()
        await asyncio.wait((running,))
        for each in (sock, asks, old.sock, new.sock):
            each.close()

    played(tmp_path, script)


def test_a_move_of_discovery_is_told_to_the_module(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        told: list[float] = []

        def moved(now: float) -> None:
            told.append(now)

        play.node.facade.discovery_changed = moved  # type: ignore[method-assign]
        play.node.discovery.move(("127.0.0.1", 2))
        assert len(told) == 1

    played(tmp_path, script)


@pytest.mark.parametrize("answer", [b"UP r-1\r\n", b"BUSY\r\n"])
def test_a_client_that_speaks_in_the_turn_in_which_its_answer_comes_is_told_err(
    tmp_path: Path, answer: bytes
) -> None:
    """Danger: its connection came to stand, ended at once, and it was told nothing at all."""

    async def script(play: Play) -> None:
        await play.open()
        _, other, sock = await play.attempted()
        play.client.send(b"too soon\r\n")
        sock.send(answer)
        assert await play.ended() == b"ERR\r\n"
        assert other.untouched()

    played(tmp_path, script)


def test_a_stop_in_the_turn_in_which_the_connection_comes_up_answers_failed(tmp_path: Path) -> None:
    """Danger: a connection that stands and is cut off without MOVE is lost."""

    async def script(play: Play) -> None:
        await play.open()
        _, _, sock = await play.attempted()
        play.session.give_up()
        sock.send(b"UP r-1\r\n")
        assert await play.ended() == b"FAILED\r\n"

    played(tmp_path, script)


@pytest.mark.parametrize("said", [b"", b"more\r\n"])
def test_who_left_while_it_waited_for_its_turn_is_sent_nowhere(tmp_path: Path, said: bytes) -> None:
    """Also one that spoke and left: its end lies behind what it said."""

    async def script(play: Play) -> None:
        async def turn(latest: float) -> bool:
            if said:
                play.client.send(said)
            play.client.shutdown(socket.SHUT_WR)
            return True

        play.node.gate.decide = lambda now, age, wait: AdmissionDecision.WAIT  # type: ignore[method-assign]
        play.node.turn = turn  # type: ignore[method-assign]
        await play.open()
        assert await play.ended() == (b"ERR\r\n" if said else b"")
        assert all(each.untouched() for each in play.servers.values())

    played(tmp_path, script)


def at_connect(play: Play, act: Callable[[], None]) -> Callable[[], None]:
    """Do this once, when the first attempt has its socket and before it connects."""

    def before() -> None:
        to_server = play.node.sockets.to_server

        def once() -> Any:
            play.node.sockets.to_server = to_server  # type: ignore[method-assign]
            act()
            return to_server()

        play.node.sockets.to_server = once  # type: ignore[method-assign]

    return before


def test_nothing_is_written_for_a_client_that_left_while_the_connection_came_up(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        await play.open(before=at_connect(play, lambda: play.client.close()))
        await play.ended()
        for each in play.servers.values():
            try:
                sock, _ = each.sock.accept()
            except BlockingIOError:
                continue
            sock.setblocking(False)
            async with asyncio.timeout(TIMEOUT_S):
                assert await asyncio.get_running_loop().sock_recv(sock, 100) == b""
            sock.close()

    played(tmp_path, script)


def test_a_drain_told_while_the_connection_comes_up_sends_nothing_there(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        picked: list[str] = []
        pick = play.node.facade.pick

        def seen(now: float, request: Any) -> Any:
            picked.append((found := pick(now, request)).server)  # type: ignore[union-attr]
            return found

        play.node.facade.pick = seen  # type: ignore[method-assign]
        await play.open(before=at_connect(play, lambda: play.node.discovery._ready.discard(picked[0])))
        async with asyncio.timeout(TIMEOUT_S):
            while len(picked) < 2:
                await asyncio.sleep(0)
        drained, other = (play.servers[name] for name in picked)
        assert (await drained.next())[1] == b""
        sock, line = await other.next()
        assert line.startswith(b"OPEN ")
        sock.send(b"UP r-1\r\n")
        async with asyncio.timeout(TIMEOUT_S):
            assert await asyncio.get_running_loop().sock_recv(play.client, 100) == b"UP r-1\r\n"
        sock.close()
        await play.ended()

    played(tmp_path, script)


@pytest.mark.parametrize("kind", ["any", "pay"])
def test_a_time_out_while_the_first_line_is_written_proves_nothing(tmp_path: Path, kind: str) -> None:
    """Danger: the wait for the last byte may be ended just after that byte went; unsafe, it may have run."""

    async def script(play: Play) -> None:
        from switchhub.net.line_socket import LineSocket

        whole = LineSocket.send_parts

        async def late(self: LineSocket, parts: Any) -> None:
            await whole(self, parts)
            raise TimeoutError

        LineSocket.send_parts = late  # type: ignore[method-assign]
        try:
            await play.open(kind)
            _, other, sock = await play.attempted()
            if kind == "pay":
                assert await play.ended() == b"FAILED\r\n"
                assert other.untouched()
            else:
                assert (await other.next())[1].startswith(b"OPEN ")
                play.client.close()
                await play.ended()
            sock.close()
        finally:
            LineSocket.send_parts = whole  # type: ignore[method-assign]

    played(tmp_path, script)


@pytest.mark.parametrize(
    "answer",
    [
        b"BUSY\r\nUP r-1\r\n",
        b"BUSY\r\nBU",
        b"BUSY\n",
        b"BUS\r\n",
        b"UP\r\n",
        b"\r\n",
        b"ERR\r\n",
        b"x" * 4097,
    ],
)
def test_an_answer_that_proves_nothing_is_no_proof_that_nothing_ran(tmp_path: Path, answer: bytes) -> None:
    """An unsafe request may go on only if it is proven that it never ran."""

    async def script(play: Play) -> None:
        await play.open("pay")
        _, other, sock = await play.attempted()
        sock.send(answer)
        assert await play.ended() == b"FAILED\r\n"
        assert other.untouched()
        sock.close()

    played(tmp_path, script)


def test_a_plain_busy_is_proof_and_the_request_goes_on(tmp_path: Path) -> None:
    async def script(play: Play) -> None:
        await play.open("pay")
        _, other, sock = await play.attempted()
        sock.send(b"BUSY\r\n")
        again, line = await other.next()
        assert line.startswith(b"OPEN ")
        again.send(b"BYE\r\n")
        sock.close()
        assert await play.ended() == b"FAILED\r\n"

    played(tmp_path, script)


@pytest.mark.parametrize("ends", ["closes", "resets", "half a line"])
def test_an_end_after_the_last_byte_may_have_run(tmp_path: Path, ends: str) -> None:
    async def script(play: Play) -> None:
        await play.open("pay")
        _, other, sock = await play.attempted()
        if ends == "half a line":
            sock.send(b"UP r-")
        (reset if ends == "resets" else socket.socket.close)(sock)
        assert await play.ended() == b"FAILED\r\n"
        assert other.untouched()

    played(tmp_path, script)


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_request_is_not_repeated_past_its_window_by_a_connection_that_came_up_late(
    tmp_path: Path, late: bool
) -> None:
    """Danger: the repeat begins in its window, and is sent when the window is over."""
    window = 500.0
    told = settings()
    told["Classes"][1].update(Repeat="by_key", KeyScope="all", KeyTtl=window)

    async def script(play: Play) -> None:
        clock, passed = play.node.clock, [0.0]
        play.node.clock = lambda: clock() + passed[0]  # type: ignore[method-assign]
        await play.open("pay")
        _, other, sock = await play.attempted()

        def later() -> None:
            passed[0] = window + 1.0

        if late:
            at_connect(play, later)()
        reset(sock)
        if late:
            assert await play.ended() == b"FAILED\r\n"
            assert (await other.next())[1] == b""
        else:
            again, line = await other.next()
            assert line.startswith(b"OPEN ")
            again.close()
            await play.ended()

    played(tmp_path, script, told)


def test_who_is_in_the_queue_when_a_stop_closes_the_address_is_answered(tmp_path: Path) -> None:
    """Danger: a connection that the kernel has accepted counts as taken; closed unread, it is reset."""

    async def script(play: Play) -> None:
        running = asyncio.create_task(play.node.run())
        async with asyncio.timeout(TIMEOUT_S):
            while not play.node.serving:
                await asyncio.sleep(0)
            await play.node.pause_accept()
            reader, writer = await asyncio.open_connection(*play.node.address())
            writer.write(b"OPEN %016x key c=any,t=acme,d=2000\r\n" % next(IDS))
            play.node.stop()
            assert await reader.readline() == b"FAILED\r\n"
            await running
            writer.close()

    played(tmp_path, script)
