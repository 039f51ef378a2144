"""Calls of the staff and the figures they read, without sockets; what a caller can send, with them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchhub.management import server
from switchhub.management.endpoints import ENDPOINTS, handle_request
from switchhub.management.metrics import format_metrics
from switchhub.management.server import (
    ACCEPT_BATCH,
    ACCEPT_INTERVAL_S,
    HEAD_MAX_BYTES,
    MAX_CONNECTIONS,
    ManagementServer,
    RequestReader,
)
from switchhub.net.config import ConfigError
from switchhub.net.counters import Counters
from tests.harness import TIMEOUT_S


class Node:
    """A balancer as the calls see it."""

    def __init__(self) -> None:
        self.drains, self.draining, self.stopping = 0, False, False
        self.pages: dict[str, Callable[[str, str], tuple[int, str]]] = {}

    def healthy(self) -> bool:
        return not self.draining

    def phase_name(self) -> str:
        return "draining" if self.draining else "ready"

    def metrics(self) -> str:
        return "balancer.concurrent:0|g\n"

    def drain(self) -> None:
        self.drains += 1
        self.draining = True

    def restore(self) -> bool:
        self.draining = self.draining and self.stopping
        return not self.stopping


def test_the_four_calls() -> None:
    node = Node()
    assert handle_request(node, "GET", "/healthcheck") == (200, "ready\n", "")
    assert handle_request(node, "PUT", "/healthcheck/fail").status == 200
    assert handle_request(node, "GET", "/healthcheck").status == 503
    assert handle_request(node, "PUT", "/healthcheck/ok").status == 200
    assert handle_request(node, "GET", "/healthcheck").status == 200
    assert handle_request(node, "GET", "/stats?of=all").text == "balancer.concurrent:0|g\n"


def test_what_can_not_be_carried_out_is_told() -> None:
    node = Node()
    node.stopping = True
    told = handle_request(node, "PUT", "/healthcheck/ok")
    assert told.status == 409 and told.text.count("\n") == 1
    assert handle_request(node, "GET", "/nowhere").status == 404
    assert handle_request(node, "PUT", "/stats") == (405, "this path takes GET\n", "GET")
    assert handle_request(node, "GET", "/healthcheck/fail").allow == "PUT"
    assert node.drains == 0


def test_reading_calls_change_nothing() -> None:
    node = Node()
    for path, calls in ENDPOINTS.items():
        for method in ("GET", "HEAD", "POST", "DELETE"):
            if method not in calls or method == "GET":
                handle_request(node, method, path)
    assert node.drains == 0 and not node.draining


def fed(data: bytes, size: int = 4096) -> tuple[int, str] | None:
    caller = RequestReader(Node())
    for at in range(0, len(data), size):
        told = caller.feed(data[at : at + size])
        if told is not None:
            return told.status, told.text
    return None


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 5\r\n\r\n", 200),
        (b"PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", 200),
        (b"PUT /healthcheck/ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz", 200),
        (b"GET /healthcheck HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", 200),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"POST /stats HTTP/1.1\r\n\r\n", 405),
        (b"OPEN 1 2 c=any\r\n", 400),
        (b"\x16\x03\x01\x00\xff\x00\r\n\r\n", 400),
        (b"GET /healthcheck HTTP/1.1\r\nX: " + b"x" * 2 * HEAD_MAX_BYTES, 431),
        (b"GET /" + b"x" * 2 * HEAD_MAX_BYTES, 431),
    ],
)
def test_each_call_whole_or_in_pieces_gets_its_one_answer(data: bytes, status: int) -> None:
    for size in (1, 7, 4096):
        told = fed(data, size)
        assert told is not None and told[0] == status


@given(st.binary(max_size=300))
def test_whatever_a_caller_sends_is_answered_or_waited_for(data: bytes) -> None:
    told = fed(data, 5)
    assert told is None or 200 <= told[0] < 500


def test_half_a_call_gets_no_answer_yet() -> None:
    assert fed(b"GET /healthcheck HTTP/1.1\r\nHost") is None


async def call(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_S):
        told = await reader.read()
    writer.close()
    return told


HEALTH = b"GET /healthcheck HTTP/1.1\r\n\r\n"


def port_of(management: ManagementServer) -> int:
    port: int = management._sock.getsockname()[1]
    return port


def test_callers_that_say_nothing_hold_up_nobody_and_are_bounded() -> None:
    async def play() -> None:
        management = ManagementServer(Node(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5 * MAX_CONNECTIONS)]
        for _, writer in silent[::2]:
            writer.write(b"GET /health")
        begun = time.monotonic()
        told = await asyncio.gather(*(call(port, HEALTH) for _ in range(20)))
        assert time.monotonic() - begun < 1.0
        assert all(each.startswith(b"HTTP/1.1 200 OK\r\n") for each in told)
        assert len(management._callers) <= MAX_CONNECTIONS
        async with asyncio.timeout(TIMEOUT_S):
            assert await silent[0][0].read() == b""  # the longest silent has been given up
        for _, writer in silent:
            writer.close()
        running.cancel()

    asyncio.run(play())


def test_callers_that_come_again_at_once_do_not_eat_the_core() -> None:
    """Without the pause each of them is taken in and given up as fast as the loop can."""

    async def play() -> None:
        management = ManagementServer(Node(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        taken, take_in = 0, management._take_in

        def counted(sock: socket.socket) -> None:
            nonlocal taken
            taken += 1
            take_in(sock)

        management._take_in = counted  # type: ignore[method-assign]
        begun = time.monotonic()
        callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(300)]
        while taken < 200:
            await asyncio.sleep(0.005)
        assert taken <= ACCEPT_BATCH * ((time.monotonic() - begun) / ACCEPT_INTERVAL_S + 1)
        for _, writer in callers:
            writer.close()
        running.cancel()

    asyncio.run(play())


def test_half_a_call_is_given_up_in_time_and_an_answer_survives_a_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "REQUEST_TIMEOUT_S", 0.1)

    async def play() -> None:
        management = ManagementServer(Node(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        assert await call(port, b"GET /health") == b""
        body = b"x" * 60_000
        told = await call(port, b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + body)
        assert told.startswith(b"HTTP/1.1 200 OK\r\n") and told.endswith(b"\r\n\r\nready\n")
        running.cancel()

    asyncio.run(play())


def test_an_address_that_can_not_be_had_is_one_line() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        with pytest.raises(ConfigError, match=r"management=127\.0\.0\.1:.*expected"):
            ManagementServer(Node(), taken.getsockname())


def test_figures_are_shown_from_the_start_and_add_up() -> None:
    assert format_metrics(["chat", "pay"], {}, 0, 0, 3, 1).splitlines() == [
        "balancer.replies.chat.success:0|c",
        "balancer.replies.chat.overload:0|c",
        "balancer.replies.chat.error:0|c",
        "balancer.replies.pay.success:0|c",
        "balancer.replies.pay.overload:0|c",
        "balancer.replies.pay.error:0|c",
        "balancer.dispatches:0|c",
        "balancer.concurrent:0|g",
        "balancer.targets:3|g",
        "balancer.targets_disabled:1|g",
    ]


@given(st.lists(st.tuples(st.sampled_from("ab"), st.sampled_from(["served", "refused", "failed", "early"]))))
def test_success_overload_and_error_add_up_to_what_was_answered(ended: list[tuple[str, str]]) -> None:
    counters = Counters()
    for name, how in ended:
        counters.count_answer(name, how)
    lines = format_metrics("ab", counters.answers, 0, 0, 0, 0).splitlines()
    figures = {line.split(":")[0]: int(line.split(":")[1].split("|")[0]) for line in lines}
    for name in "ab":
        shown = sum(figures[f"balancer.replies.{name}.{each}"] for each in ("success", "overload", "error"))
        assert shown == sum(each == name for each, _ in ended)
    for how in ("served", "refused", "failed", "early"):
        assert counters.get(f"answers.{how}") == sum(each == how for _, each in ended)
