"""Reading and writing lines, and parsing first lines, without a network."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from switchhub.net.line_socket import (
    FIELDS_READ,
    LINE_MAX_BYTES,
    LineError,
    LineSocket,
    SocketBudget,
    parse_first_line,
)

TOKENS = st.text(alphabet="abcdefghijklmnopqrstuvwxyz0123456789-./", min_size=1, max_size=12)
NAMES = st.one_of(TOKENS, st.sampled_from(sorted(FIELDS_READ)))


@settings(derandomize=True, max_examples=200)
@given(TOKENS, TOKENS, st.dictionaries(NAMES, TOKENS, max_size=6), st.integers(0, 99999), st.integers(0, 6))
def test_only_the_value_of_d_is_replaced_and_the_values_that_are_read_are_kept(
    name: str, key: str, values: dict[str, str], wait: int, position: int
) -> None:
    values.pop("d", None)
    pairs = [f"{item}={value}" for item, value in values.items()]
    pairs.insert(min(position, len(pairs)), f"d={wait}")
    line = f"OPEN {name} {key} {','.join(pairs)}\r\n".encode()
    first_line = parse_first_line(memoryview(line))
    kept = {item: value for item, value in values.items() if item in FIELDS_READ}
    assert (first_line.id, first_line.key, first_line.values) == (name, key, {**kept, "d": str(wait)})
    assert first_line.text_before_wait + str(wait).encode() + first_line.text_after_wait == line
    assert first_line.text_before_wait.endswith(b"d=")


@pytest.mark.parametrize("name", ["c", "unknown"])
def test_a_repeated_name_is_a_line_error_whether_its_value_is_read_or_not(name: str) -> None:
    with pytest.raises(LineError, match="repeated"):
        parse_first_line(memoryview(f"OPEN 1 2 {name}=1,d=5,{name}=2\r\n".encode()))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60))
def test_any_bytes_are_a_first_line_or_a_line_error(line: bytes) -> None:
    for candidate in (line, line + b"\r\n", b"OPEN 1 2 " + line + b"\r\n"):
        try:
            first_line = parse_first_line(memoryview(candidate))
        except LineError:
            continue
        assert first_line.id


def test_without_d_the_line_is_not_split() -> None:
    line = b"OPEN 1 2 c=any,dd=5\r\n"
    first_line = parse_first_line(memoryview(line))
    assert (first_line.text_before_wait, first_line.text_after_wait) == (line, b"")


async def connected_pair() -> tuple[LineSocket, socket.socket]:
    here, there = socket.socketpair()
    return LineSocket(here, SocketBudget(100)), there


def test_lines_arrive_in_pieces_and_several_at_once() -> None:
    async def run() -> None:
        line_socket, other = await connected_pair()
        other.send(b"one\r\ntwo\r\nth")
        await line_socket.read_more()
        line = line_socket.next_line()
        assert line is not None
        assert line.tobytes() == b"one\r\n"
        assert line_socket.whole_lines().tobytes() == b"one\r\ntwo\r\n"
        line_socket.consume(10)
        assert line_socket.next_line() is None
        assert line_socket.whole_lines().tobytes() == b""
        assert line_socket.unread().tobytes() == b"th"
        other.send(b"ree\r\n")
        await line_socket.read_more()
        assert line_socket.whole_lines().tobytes() == b"three\r\n"
        line_socket.close()
        other.close()

    asyncio.run(run())


def test_a_line_may_fill_the_buffer_but_not_exceed_it() -> None:
    async def run() -> None:
        line_socket, other = await connected_pair()
        other.send(b"12\r\n" + b"x" * (LINE_MAX_BYTES - 2) + b"\r\n")
        while not line_socket.whole_lines():
            await line_socket.read_more()
        line_socket.consume(4)
        while not line_socket.whole_lines():
            await line_socket.read_more()
        assert len(line_socket.whole_lines()) == LINE_MAX_BYTES
        line_socket.consume(LINE_MAX_BYTES)
        other.send(b"y" * (LINE_MAX_BYTES + 1))
        with pytest.raises(LineError):
            while True:
                await line_socket.read_more()
        line_socket.close()
        other.close()

    asyncio.run(run())


def test_parts_arrive_in_order_when_the_socket_buffer_is_full() -> None:
    async def run() -> None:
        line_socket, other = await connected_pair()
        other.setblocking(False)
        parts: list[memoryview | bytes] = [b"a" * 300_000, b"b" * 300_000, b"", b"c" * 300_000]
        sending = asyncio.create_task(line_socket.send_parts(parts))
        got = bytearray()
        while len(got) < 900_000:
            got += await asyncio.get_running_loop().sock_recv(other, 65536)
        await sending
        assert got == b"".join(parts)
        line_socket.close()
        other.close()

    asyncio.run(run())


def test_open_sockets_are_counted_and_some_are_kept_for_clients() -> None:
    async def run() -> None:
        sockets = SocketBudget(42)  # 32 reserved descriptors, so ten sockets, nine of them for requests
        line_sockets = [sockets.open_to_server() for _ in range(9)]
        with pytest.raises(OSError, match="kept for clients"):
            sockets.open_to_server()
        here, there = socket.socketpair()
        client = sockets.add_client(here)
        assert sockets.open == 10
        for line_socket in (*line_sockets, client):
            line_socket.close()
            line_socket.close()
        assert sockets.open == 0
        there.close()

    asyncio.run(run())
