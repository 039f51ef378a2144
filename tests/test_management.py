"""Management requests and metrics without sockets; connections to the management address with them."""

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


class FakeBalancer:
    """A balancer as the endpoints see it."""

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


def test_the_four_endpoints() -> None:
    balancer = FakeBalancer()
    assert handle_request(balancer, "GET", "/healthcheck") == (200, "ready\n", "")
    assert handle_request(balancer, "PUT", "/healthcheck/fail").status == 200
    assert handle_request(balancer, "GET", "/healthcheck").status == 503
    assert handle_request(balancer, "PUT", "/healthcheck/ok").status == 200
    assert handle_request(balancer, "GET", "/healthcheck").status == 200
    assert handle_request(balancer, "GET", "/stats?of=all").text == "balancer.concurrent:0|g\n"


def test_requests_that_can_not_be_carried_out_get_an_error_status() -> None:
    balancer = FakeBalancer()
    balancer.stopping = True
    response = handle_request(balancer, "PUT", "/healthcheck/ok")
    assert response.status == 409 and response.text.count("\n") == 1
    assert handle_request(balancer, "GET", "/nowhere").status == 404
    assert handle_request(balancer, "PUT", "/stats") == (405, "this path takes GET\n", "GET")
    assert handle_request(balancer, "GET", "/healthcheck/fail").allow == "PUT"
    assert balancer.drains == 0


def test_only_put_requests_change_anything() -> None:
    balancer = FakeBalancer()
    for path, handlers in ENDPOINTS.items():
        for method in ("GET", "HEAD", "POST", "DELETE"):
            if method not in handlers or method == "GET":
                handle_request(balancer, method, path)
    assert balancer.drains == 0 and not balancer.draining


def feed_in_chunks(data: bytes, size: int = 4096) -> tuple[int, str] | None:
    """The response to this data, read `size` bytes at a time."""
    request_reader = RequestReader(FakeBalancer())
    for offset in range(0, len(data), size):
        response = request_reader.feed(data[offset : offset + size])
        if response is not None:
            return response.status, response.text
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
def test_each_request_whole_or_in_chunks_gets_one_response(data: bytes, status: int) -> None:
    for size in (1, 7, 4096):
        response = feed_in_chunks(data, size)
        assert response is not None and response[0] == status


@given(st.binary(max_size=300))
def test_any_bytes_get_a_response_or_are_waited_for(data: bytes) -> None:
    response = feed_in_chunks(data, 5)
    assert response is None or 200 <= response[0] < 500


def test_an_incomplete_request_gets_no_response_yet() -> None:
    assert feed_in_chunks(b"GET /healthcheck HTTP/1.1\r\nHost") is None


async def send_request(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return response


HEALTH_REQUEST = b"GET /healthcheck HTTP/1.1\r\n\r\n"


def port_of(management: ManagementServer) -> int:
    port: int = management._sock.getsockname()[1]
    return port


def test_idle_connections_delay_no_request_and_are_limited() -> None:
    async def run_test() -> None:
        management = ManagementServer(FakeBalancer(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5 * MAX_CONNECTIONS)]
        for _, writer in silent[::2]:
            writer.write(b"GET /health")
        started_at = time.monotonic()
        responses = await asyncio.gather(*(send_request(port, HEALTH_REQUEST) for _ in range(20)))
        assert time.monotonic() - started_at < 1.0
        assert all(each.startswith(b"HTTP/1.1 200 OK\r\n") for each in responses)
        assert len(management._connections) <= MAX_CONNECTIONS
        async with asyncio.timeout(TIMEOUT_S):
            assert await silent[0][0].read() == b""  # the oldest idle connection has been closed
        for _, writer in silent:
            writer.close()
        running.cancel()

    asyncio.run(run_test())


def test_callers_that_reconnect_at_once_do_not_keep_the_cpu_busy() -> None:
    """Without the accept pause each connection is accepted and closed as fast as the event loop can."""

    async def run_test() -> None:
        management = ManagementServer(FakeBalancer(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        accepted, add_connection = 0, management._add_connection

        def count_and_add(sock: socket.socket) -> None:
            nonlocal accepted
            accepted += 1
            add_connection(sock)

        management._add_connection = count_and_add  # type: ignore[method-assign]
        started_at = time.monotonic()
        connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(300)]
        while accepted < 200:
            await asyncio.sleep(0.005)
        assert accepted <= ACCEPT_BATCH * ((time.monotonic() - started_at) / ACCEPT_INTERVAL_S + 1)
        for _, writer in connections:
            writer.close()
        running.cancel()

    asyncio.run(run_test())


def test_an_incomplete_request_times_out_and_a_response_survives_a_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "REQUEST_TIMEOUT_S", 0.1)

    async def run_test() -> None:
        management = ManagementServer(FakeBalancer(), ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        port = port_of(management)
        assert await send_request(port, b"GET /health") == b""
        body = b"x" * 60_000
        response = await send_request(
            port, b"PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + body
        )
        assert response.startswith(b"HTTP/1.1 200 OK\r\n") and response.endswith(b"\r\n\r\nready\n")
        running.cancel()

    asyncio.run(run_test())


def test_error_in_one_request_leaves_the_server_running() -> None:
    """Such an error ended the accept loop, which ended the balancer and all its connections."""

    async def scenario() -> None:
        def failing_page(method: str, query: str) -> tuple[int, str]:
            raise RuntimeError("a programming error")

        balancer = FakeBalancer()
        balancer.pages["/failing"] = failing_page
        management = ManagementServer(balancer, ("127.0.0.1", 0))
        running = asyncio.create_task(management.run())
        whole = b"GET /failing HTTP/1.1\r\n\r\n"
        for _ in range(2):
            assert (await send_request(port_of(management), whole)).startswith(b"HTTP/1.1 500 ")
        reader, writer = await asyncio.open_connection("127.0.0.1", port_of(management))
        writer.write(whole[:10])
        assert (await send_request(port_of(management), b"GET /stats HTTP/1.1\r\n\r\n")).startswith(
            b"HTTP/1.1 200 "
        )
        writer.write(whole[10:])
        async with asyncio.timeout(TIMEOUT_S):
            assert (await reader.read()).startswith(b"HTTP/1.1 500 ")
        writer.close()
        assert not running.done()
        running.cancel()
        await asyncio.wait((running,))

    asyncio.run(scenario())


def test_an_address_in_use_is_reported_in_one_line() -> None:
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        with pytest.raises(ConfigError, match=r"management=127\.0\.0\.1:.*expected"):
            ManagementServer(FakeBalancer(), occupied.getsockname())


def test_all_metrics_are_listed_from_the_start() -> None:
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
def test_success_overload_and_error_add_up_to_the_answers(endings: list[tuple[str, str]]) -> None:
    counters = Counters()
    for name, ended in endings:
        counters.count_answer(name, ended)
    lines = format_metrics("ab", counters.answers, 0, 0, 0, 0).splitlines()
    values = {line.split(":")[0]: int(line.split(":")[1].split("|")[0]) for line in lines}
    for name in "ab":
        total = sum(values[f"balancer.replies.{name}.{each}"] for each in ("success", "overload", "error"))
        assert total == sum(each == name for each, _ in endings)
    for ended in ("served", "refused", "failed", "early"):
        assert counters.get(f"answers.{ended}") == sum(each == ended for _, each in endings)
