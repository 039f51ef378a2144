"""Heads and lines, without a network."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from switchhub.net.line_socket import LINE_MAX, LineError, LineSocket, SocketBudget, parse_head

WORD = st.text(alphabet="abcdefghijklmnopqrstuvwxyz0123456789-./", min_size=1, max_size=12)


@settings(derandomize=True, max_examples=200)
@given(WORD, WORD, st.dictionaries(WORD, WORD, max_size=6), st.integers(0, 99999), st.integers(0, 6))
def test_only_d_is_rewritten(name: str, key: str, values: dict[str, str], wait: int, place: int) -> None:
    values.pop("d", None)
    pairs = [f"{each}={value}" for each, value in values.items()]
    pairs.insert(min(place, len(pairs)), f"d={wait}")
    line = f"OPEN {name} {key} {','.join(pairs)}\r\n".encode()
    head = parse_head(memoryview(line))
    assert (head.id, head.key, head.values) == (name, key, {**values, "d": str(wait)})
    assert head.before + str(wait).encode() + head.after == line
    assert head.before.endswith(b"d=")


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60))
def test_any_bytes_are_a_head_or_an_error(line: bytes) -> None:
    for candidate in (line, line + b"\r\n", b"OPEN 1 2 " + line + b"\r\n"):
        try:
            head = parse_head(memoryview(candidate))
        except LineError:
            continue
        assert head.id


def test_without_d_nothing_is_rewritten() -> None:
    line = b"OPEN 1 2 c=any,dd=5\r\n"
    head = parse_head(memoryview(line))
    assert (head.before, head.after) == (line, b"")


async def pair() -> tuple[LineSocket, socket.socket]:
    here, there = socket.socketpair()
    return LineSocket(here, SocketBudget(100)), there


def test_lines_in_pieces_and_several_at_once() -> None:
    async def play() -> None:
        wire, other = await pair()
        other.send(b"one\r\ntwo\r\nth")
        await wire.fill()
        line = wire.line()
        assert line is not None
        assert line.tobytes() == b"one\r\n"
        assert wire.lines().tobytes() == b"one\r\ntwo\r\n"
        wire.take(10)
        assert wire.line() is None
        assert wire.lines().tobytes() == b""
        assert wire.rest().tobytes() == b"th"
        other.send(b"ree\r\n")
        await wire.fill()
        assert wire.lines().tobytes() == b"three\r\n"
        wire.close()
        other.close()

    asyncio.run(play())


def test_a_line_may_fill_the_buffer_but_not_more() -> None:
    async def play() -> None:
        wire, other = await pair()
        other.send(b"12\r\n" + b"x" * (LINE_MAX - 2) + b"\r\n")
        while not wire.lines():
            await wire.fill()
        wire.take(4)
        while not wire.lines():
            await wire.fill()
        assert len(wire.lines()) == LINE_MAX
        wire.take(LINE_MAX)
        other.send(b"y" * (LINE_MAX + 1))
        with pytest.raises(LineError):
            while True:
                await wire.fill()
        wire.close()
        other.close()

    asyncio.run(play())


def test_parts_arrive_as_one_also_when_the_socket_is_full() -> None:
    async def play() -> None:
        wire, other = await pair()
        other.setblocking(False)
        parts: list[memoryview | bytes] = [b"a" * 300_000, b"b" * 300_000, b"", b"c" * 300_000]
        sending = asyncio.create_task(wire.send_parts(parts))
        got = bytearray()
        while len(got) < 900_000:
            got += await asyncio.get_running_loop().sock_recv(other, 65536)
        await sending
        assert got == b"".join(parts)
        wire.close()
        other.close()

    asyncio.run(play())


def test_sockets_are_counted_and_some_kept_for_clients() -> None:
    async def play() -> None:
        sockets = SocketBudget(42)  # ten besides those for files, nine of them for requests
        wires = [sockets.to_server() for _ in range(9)]
        with pytest.raises(OSError, match="kept for clients"):
            sockets.to_server()
        here, there = socket.socketpair()
        client = sockets.of_client(here)
        assert sockets.open == 10
        for wire in (*wires, client):
            wire.close()
            wire.close()
        assert sockets.open == 0
        there.close()

    asyncio.run(play())
