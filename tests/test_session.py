"""A session's own judgement of silence, without a network."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest

from switchhub.net.counters import Counters
from switchhub.net.line_socket import PATIENCE_AT_NEED, LineSocket, SocketBudget
from switchhub.net.listener import CHECK
from switchhub.net.session import SILENCE_TIMEOUT_MS, SILENT_SERVER_TIMEOUT_MS, VANISHED_AFTER, Session


class Played:
    """A standing session whose one line went out at 1000."""

    def __init__(self) -> None:
        here, self.client = socket.socketpair()
        node: Any = SimpleNamespace(
            counters=Counters(),
            clock=lambda: 1000.0,
            sockets=SocketBudget(100),
            loop=asyncio.get_running_loop(),
        )
        self.session = Session(cast(Any, node), LineSocket(here, node.sockets))
        self.session.established = True
        self.session._asked.append(1000.0)

    def heard(self) -> bytes:
        self.client.setblocking(False)
        try:
            return self.client.recv(100)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        self.session.client.close()
        self.client.close()


def play(at: float, server_silent: bool = False, sending: bool = False, asked: bool = True) -> bytes:
    """What the client hears when the session looks at this time; only who is told is given up."""

    async def run() -> bytes:
        played = Played()
        played.session._sending = sending
        if not asked:
            played.session._asked.clear()
        played.session.check(at, server_silent)
        heard = played.heard()
        assert played.session._done.done() is bool(heard)
        played.close()
        return heard

    return asyncio.run(run())


def test_a_line_that_waits_long_moves_the_client() -> None:
    assert play(1000.0 + SILENCE_TIMEOUT_MS - 1) == b""
    assert play(1000.0 + SILENCE_TIMEOUT_MS + 1) == b"MOVE\r\n"


def test_one_that_brings_nothing_back_is_moved_within_seven_seconds_of_its_last_answer() -> None:
    """Found on roll+brink: the seven seconds run from the last answer, and the line that shows the silence
    comes up to two seconds after it. Housekeeping looks every tenth of a second, and may be late once."""
    last_answer = 1000.0 - 2000.0
    assert play(last_answer + 7000.0 - 2 * 1000.0 * CHECK) == b"MOVE\r\n"


def test_sooner_when_the_server_is_silent_to_all() -> None:
    assert play(1000.0 + SILENT_SERVER_TIMEOUT_MS - 1, server_silent=True) == b""
    assert play(1000.0 + SILENT_SERVER_TIMEOUT_MS + 1, server_silent=True) == b"MOVE\r\n"
    assert play(1000.0 + SILENCE_TIMEOUT_MS + 1, server_silent=True, asked=False) == b""


def test_a_client_that_takes_nothing_is_not_the_servers_silence() -> None:
    assert play(1000.0 + SILENCE_TIMEOUT_MS + 1, sending=True) == b""


def test_a_vanished_client_is_given_up() -> None:
    async def run() -> None:
        played = Played()
        played.session._asked.clear()
        played.session.check(1000.0 + VANISHED_AFTER - 1, False)
        assert not played.session._done.done()
        played.session.check(1000.0 + VANISHED_AFTER + 1, False)
        assert played.session._done.done()
        played.close()

    asyncio.run(run())


def test_who_is_given_up_as_silent_but_has_spoken_unread_is_heard() -> None:
    """Found under load: given up after 20 ms, with a whole request unread in the kernel, and reset."""

    async def run() -> None:
        spoke, silent = Played(), Played()
        told = [asyncio.create_task(each.session._first_line()) for each in (spoke, silent)]
        await asyncio.sleep(0)
        sockets = spoke.session.client._sockets
        sockets.share(68)  # nothing is left: whoever is silent is given up
        silent.session.client._sockets.share(68)
        await asyncio.sleep(PATIENCE_AT_NEED * 1.5)
        spoke.client.send(b"OPEN 1 2 c=any\r\n")
        assert sockets.relieve() == silent.session.client._sockets.relieve() == 1
        line = await told[0]
        assert line is not None
        assert line.tobytes() == b"OPEN 1 2 c=any\r\n"
        with pytest.raises(TimeoutError):
            await told[1]
        for each in (spoke, silent):
            each.close()

    asyncio.run(run())
