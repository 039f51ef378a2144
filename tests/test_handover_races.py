"""Connections that end while they are handed over, each forced at the step itself.

The old process runs here with its real handover code; the test reads the other end of its channel. A client
or a server resets its connection a given number of loop iterations before or after the handover begins."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest
import uvloop

from switchhub.handover import messages
from switchhub.handover.channel import Channel
from switchhub.handover.link import MAX_UNCONFIRMED, ProcessLink
from switchhub.handover.messages import HeldConnection
from switchhub.handover.sender import HandoverSender
from switchhub.net import session as session_module
from switchhub.net.session import Session
from tests.harness import CONNECTION_IDS, TIMEOUT_S
from tests.scripted_balancer import BalancerFixture, reset, run_script

# Iterations by which a reset precedes (-) or follows the start of a handover. A session ends three iterations
# after its reset has been read, and a handover stops reading for two.
RESET_OFFSETS = range(-4, 5)


class EstablishedConnection(NamedTuple):
    """A connection of the balancer, with the sockets that its client and its server hold."""

    session: Session
    task: asyncio.Task[None]
    client: socket.socket
    server: socket.socket

    def server_is_writable(self) -> bool:
        return bool(select.select([], [self.server], [], 0)[1])

    def close(self) -> None:
        self.client.close()
        self.server.close()


class Handover:
    """The link of this old process to a new one, which the test plays."""

    def __init__(self, fixture: BalancerFixture) -> None:
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.old, self.successor = Channel(near), Channel(far)
        self.link = ProcessLink(
            fixture.listener, self.old, is_newer=False, supports_accept_right=False, shares_queue=True
        )
        fixture.listener.add_link(self.link)
        self.sender = HandoverSender(fixture.listener, "")
        self.ended = False  # the old process has closed the channel

    async def received_ids(self) -> list[str]:
        """Return the ids of the connections that the new process has received with both sockets.

        If the old process has closed the channel, this reads to its end."""
        ids = []
        while self.ended or self.successor.has_unread():
            received = await self.successor.receive()
            if received is None:
                break
            assert len(received[1]) == 2
            _, values = messages.decode_message(received[0])
            ids.append(messages.decode_passed(values).held.id)
            for sock in received[1]:
                sock.close()
        return ids

    def end(self) -> None:
        """Close the channel as the end of the old process does."""
        self.old.close()
        self.ended = True

    def close(self) -> None:
        self.old.close()
        self.successor.close()


def tcp_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection: only such a connection can be reset."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        far, _ = listening.accept()
    far.setblocking(False)
    return near, far


async def establish(fixture: BalancerFixture) -> EstablishedConnection:
    """Return a new connection that has been answered `UP`."""
    near, client = tcp_pair()
    client.send(b"OPEN %016x key c=any,t=acme,d=2000\r\n" % next(CONNECTION_IDS))
    session = Session(fixture.listener, fixture.listener.sockets.add_client(near))
    task = asyncio.create_task(session.run())
    _, _, server = await fixture.first_attempt()
    server.send(b"UP r-1\r\n")
    async with asyncio.timeout(TIMEOUT_S):
        assert await asyncio.get_running_loop().sock_recv(client, 100) == b"UP r-1\r\n"
    return EstablishedConnection(session, task, client, server)


@contextlib.contextmanager
def following_old_process(
    fixture: BalancerFixture,
) -> Iterator[tuple[socket.socket, ProcessLink, asyncio.Task[None]]]:
    """Let this process follow an old one, which the test plays: its socket, the link and the link's task."""
    old, new = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    link = ProcessLink(
        fixture.listener, Channel(new), is_newer=True, supports_accept_right=False, shares_queue=True
    )
    following = asyncio.create_task(link.follow())
    with old:
        yield old, link, following


async def write_blocks(connection: EstablishedConnection) -> bool:
    """Let the server write more; return whether neither it nor the balancer can any more."""
    try:
        connection.server.send(b"x" * 2000 + b"\r\n")
    except BlockingIOError:
        await asyncio.sleep(0.01)
        return connection.session._sending_to_client and not connection.server_is_writable()
    await asyncio.sleep(0)
    return False


async def loop_iterations(count: int) -> None:
    """Let the event loop turn so many times."""
    for _ in range(count):
        await asyncio.sleep(0)


RESETS = {"client": ["client"], "server": ["server"], "both": ["client", "server"]}  # by parameter


def reset_sides(connection: EstablishedConnection, sides: list[str]) -> None:
    """Reset the connection from these sides."""
    for side in sides:
        reset(connection.client if side == "client" else connection.server)


LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("side", RESETS)
@pytest.mark.parametrize("offset", RESET_OFFSETS)
def test_connection_that_is_reset_during_a_handover_does_not_end_the_handover(
    tmp_path: Path, offset: int, side: str, loop: str
) -> None:
    """An upgrade while clients dropped ended the old process and cut off all that it had not passed on."""

    async def script(fixture: BalancerFixture) -> None:
        handover = Handover(fixture)
        connections = [await establish(fixture) for _ in range(3)]
        dropped, others = connections[1], [connections[0], connections[2]]
        if offset < 0:
            reset_sides(dropped, RESETS[side])
            await loop_iterations(-offset)
        passing = asyncio.create_task(handover.sender.pass_on_all())
        if offset >= 0:
            await loop_iterations(offset)
            reset_sides(dropped, RESETS[side])
        async with asyncio.timeout(TIMEOUT_S):
            await passing
            received = await handover.received_ids()
            assert {each.session.id for each in others} <= set(received)
            assert len(received) == len(set(received))
            await asyncio.wait([each.task for each in connections])
        assert not fixture.listener.sessions and fixture.listener.sockets.open == 0
        handover.close()
        for each in connections:
            each.close()

    run_script(tmp_path, script, loop_factory=LOOPS[loop])


@pytest.mark.parametrize("ends", ["moved", "stopped", "silent"])
def test_connection_that_this_process_ends_during_its_handover_is_not_passed_on(
    tmp_path: Path, ends: str
) -> None:
    """A client that was told to move would otherwise be served by the new process too."""

    async def script(fixture: BalancerFixture) -> None:
        handover = Handover(fixture)
        ended, other = await establish(fixture), await establish(fixture)
        passing = asyncio.create_task(handover.sender.pass_on_all())
        await loop_iterations(2)
        if ends == "moved":
            ended.session.move()
        elif ends == "stopped":
            ended.session.end_for_stop()
        else:
            ended.client.send(b"M 1\r\n")
            ended.session._unanswered_times.append(0.0)
            ended.session.check_silence(fixture.listener.clock(), True)
        async with asyncio.timeout(TIMEOUT_S):
            await passing
            assert await handover.received_ids() == [other.session.id]
            assert await asyncio.get_running_loop().sock_recv(ended.client, 100) == b"MOVE\r\n"
        handover.close()
        for each in (ended, other):
            each.close()
        await asyncio.wait((ended.task, other.task))

    run_script(tmp_path, script)


@pytest.mark.parametrize("unread", ["nothing", "a message", "a message, after a look"])
def test_connections_in_the_channel_of_an_old_process_that_has_ended_are_received(
    tmp_path: Path, unread: str
) -> None:
    """An old process that ended with a message of the new one unread cut off what it had passed on last."""

    async def script(fixture: BalancerFixture) -> None:
        handover = Handover(fixture)
        connections = [await establish(fixture) for _ in range(3)]
        await handover.sender.pass_on_all()
        if unread != "nothing":
            handover.successor.send(messages.encode_message("got"))
        handover.end()
        if unread.endswith("look"):
            assert handover.successor.has_unread()
        async with asyncio.timeout(TIMEOUT_S):
            assert sorted(await handover.received_ids()) == sorted(each.session.id for each in connections)
            await asyncio.wait([each.task for each in connections])
        handover.close()
        for each in connections:
            each.close()

    run_script(tmp_path, script)


@pytest.mark.parametrize("load", ["1e999", "9" * 400, "null", '"x"'], ids=["inf", "huge", "null", "text"])
def test_malformed_message_of_the_old_process_does_not_end_the_link(tmp_path: Path, load: str) -> None:
    """A number out of range ended the link, and cut off all connections that were still in its channel."""

    async def script(fixture: BalancerFixture) -> None:
        with following_old_process(fixture) as (old, link, following):
            for name, its_load in (("first", load), ("second", "1.0")):
                row = f'["{name}","any","acme","key",null,null,"a",{its_load}]'
                old.send(f'{{"is":"held","connections":[{row}]}}'.encode())
            async with asyncio.timeout(TIMEOUT_S):
                while "second" not in link._peer_connections:
                    assert not following.done()
                    await asyncio.sleep(0)
            assert link.remote_connections == 1

    run_script(tmp_path, script)


def test_unexpected_error_in_one_message_does_not_end_the_link(tmp_path: Path) -> None:
    """Such an error ended the link, and cut off all connections that were still in its channel."""

    async def script(fixture: BalancerFixture) -> None:
        report = fixture.listener.facade.report

        def failing_report(now: float, event: object) -> None:
            fixture.listener.facade.report = report  # type: ignore[method-assign]
            raise ArithmeticError("a programming error")

        with following_old_process(fixture) as (old, link, following):
            fixture.listener.facade.report = failing_report  # type: ignore[assignment]
            for name in ("first", "second"):
                old.send(
                    messages.encode_held([HeldConnection(name, "any", "acme", None, None, None, "a", 1.0)])[0]
                )
            async with asyncio.timeout(TIMEOUT_S):
                while "second" not in link._peer_connections:
                    assert not following.done()
                    await asyncio.sleep(0)
        fixture.expected_errors = 1

    run_script(tmp_path, script)


def test_client_that_does_not_read_holds_up_no_other_handover(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A few such clients held up the stop: most others were moved instead, and it ended past its time."""
    monkeypatch.setattr(session_module, "HANDOVER_WRITE_TIMEOUT_S", 2 * TIMEOUT_S)

    async def script(fixture: BalancerFixture) -> None:
        handover = Handover(fixture)
        connections = [await establish(fixture) for _ in range(MAX_UNCONFIRMED + 8)]
        stuck, *others = connections
        async with asyncio.timeout(TIMEOUT_S):
            while not await write_blocks(stuck):
                pass
            passing = asyncio.create_task(handover.sender.pass_on_all())
            received: list[str] = []
            while len(received) < len(others):
                received += await handover.received_ids()
                await asyncio.sleep(0)
            assert sorted(received) == sorted(each.session.id for each in others)
            assert not passing.done()
            reset(stuck.client)
            await passing
            await asyncio.wait([each.task for each in connections])
        handover.close()
        for each in connections:
            each.close()

    run_script(tmp_path, script)


def test_unexpected_error_in_one_handover_moves_that_client_and_passes_the_others_on(tmp_path: Path) -> None:
    """Such an error left the batch, ended the process and cut off every connection not yet passed on."""

    async def script(fixture: BalancerFixture) -> None:
        handover = Handover(fixture)
        connections = [await establish(fixture) for _ in range(3)]
        failing, others = connections[1], [connections[0], connections[2]]

        def failing_record() -> None:
            raise RuntimeError("a programming error")

        failing.session.handover_record = failing_record  # type: ignore[method-assign]
        async with asyncio.timeout(TIMEOUT_S):
            await handover.sender.pass_on_all()
            assert sorted(await handover.received_ids()) == sorted(each.session.id for each in others)
            assert await asyncio.get_running_loop().sock_recv(failing.client, 100) == b"MOVE\r\n"
        for each in connections:
            each.close()
        await asyncio.wait([each.task for each in connections])
        handover.close()
        fixture.expected_errors = 1

    run_script(tmp_path, script)
