"""How a session detects a silent server and a vanished client, without a network."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace
from typing import Any, cast

import pytest

from switchhub.net.counters import Counters
from switchhub.net.line_socket import SCARCE_IDLE_GRACE_S, LineSocket, SocketBudget
from switchhub.net.listener import SILENCE_CHECK_INTERVAL_S
from switchhub.net.session import (
    CLIENT_IDLE_TIMEOUT_MS,
    SILENCE_TIMEOUT_MS,
    SILENT_SERVER_TIMEOUT_MS,
    Session,
)


class EstablishedSession:
    """An established session whose only line was sent at 1000 ms and is unanswered."""

    def __init__(self) -> None:
        here, self.client = socket.socketpair()
        listener: Any = SimpleNamespace(
            counters=Counters(),
            clock=lambda: 1000.0,
            sockets=SocketBudget(100),
            loop=asyncio.get_running_loop(),
        )
        self.session = Session(cast(Any, listener), LineSocket(here, listener.sockets))
        self.session.established = True
        self.session._unanswered_times.append(1000.0)

    def received(self) -> bytes:
        self.client.setblocking(False)
        try:
            return self.client.recv(100)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        self.session.client.close()
        self.client.close()


def check_at(
    now: float, server_silent: bool = False, sending: bool = False, awaiting_answer: bool = True
) -> bytes:
    """Check for silence at this time; return what the client received, checking that the session ended only
    if it received something."""

    async def run() -> bytes:
        fixture = EstablishedSession()
        fixture.session._sending_to_client = sending
        if not awaiting_answer:
            fixture.session._unanswered_times.clear()
        fixture.session.check_silence(now, server_silent)
        received = fixture.received()
        assert fixture.session._end_reason.done() is bool(received)
        fixture.close()
        return received

    return asyncio.run(run())


def test_client_is_moved_when_a_line_stays_unanswered() -> None:
    assert check_at(1000.0 + SILENCE_TIMEOUT_MS - 1) == b""
    assert check_at(1000.0 + SILENCE_TIMEOUT_MS + 1) == b"MOVE\r\n"


def test_client_is_moved_within_seven_seconds_of_the_last_answer() -> None:
    """The seven seconds run from the last answer, but the first unanswered line comes up to two seconds after
    it. Silence is checked every tenth of a second, and a check may be late once."""
    last_answer = 1000.0 - 2000.0
    assert check_at(last_answer + 7000.0 - 2 * 1000.0 * SILENCE_CHECK_INTERVAL_S) == b"MOVE\r\n"


def test_client_is_moved_sooner_when_the_server_is_silent_on_all_connections() -> None:
    assert check_at(1000.0 + SILENT_SERVER_TIMEOUT_MS - 1, server_silent=True) == b""
    assert check_at(1000.0 + SILENT_SERVER_TIMEOUT_MS + 1, server_silent=True) == b"MOVE\r\n"
    assert check_at(1000.0 + SILENCE_TIMEOUT_MS + 1, server_silent=True, awaiting_answer=False) == b""


def test_client_that_does_not_read_is_not_a_silent_server() -> None:
    assert check_at(1000.0 + SILENCE_TIMEOUT_MS + 1, sending=True) == b""


def test_connection_of_a_vanished_client_ends() -> None:
    async def run() -> None:
        fixture = EstablishedSession()
        fixture.session._unanswered_times.clear()
        fixture.session.check_silence(1000.0 + CLIENT_IDLE_TIMEOUT_MS - 1, False)
        assert not fixture.session._end_reason.done()
        fixture.session.check_silence(1000.0 + CLIENT_IDLE_TIMEOUT_MS + 1, False)
        assert fixture.session._end_reason.done()
        fixture.close()

    asyncio.run(run())


def test_connection_still_established_at_the_end_of_a_stop_is_moved() -> None:
    """One that came up after the last moves of a stop was cut off without `MOVE`."""

    async def run() -> None:
        fixture = EstablishedSession()
        fixture.session.end_for_stop()
        assert fixture.received() == b"MOVE\r\n"
        assert fixture.session._end_reason.done()
        fixture.close()

    asyncio.run(run())


def test_request_unread_when_its_idle_client_is_released_is_still_read() -> None:
    """A client released as idle after 20 ms had its whole request unread in the kernel, and was reset."""

    async def run() -> None:
        late_sender, silent = EstablishedSession(), EstablishedSession()
        first_lines = [asyncio.create_task(each.session._read_first_line()) for each in (late_sender, silent)]
        await asyncio.sleep(0)
        sockets = late_sender.session.client._sockets
        sockets.set_used_elsewhere(68)  # no socket is left, so idle clients are released
        silent.session.client._sockets.set_used_elsewhere(68)
        await asyncio.sleep(SCARCE_IDLE_GRACE_S * 1.5)
        late_sender.client.send(b"OPEN 1 2 c=any\r\n")
        assert sockets.release_idle() == silent.session.client._sockets.release_idle() == 1
        line = await first_lines[0]
        assert line is not None
        assert line.tobytes() == b"OPEN 1 2 c=any\r\n"
        with pytest.raises(TimeoutError):
            await first_lines[1]
        for each in (late_sender, silent):
            each.close()

    asyncio.run(run())
