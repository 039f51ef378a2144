"""Overload of the balancer process: the admission controller alone, and the real program with more clients
than it can set up."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from switchhub.admission.controller import (
    PROMPT_AGE_MS,
    SETUP_MARGIN_MS,
    SETUP_TIME_FACTOR,
    SETUPS_PER_TURN,
    TURN_MS,
    AdmissionController,
    AdmissionDecision,
)
from switchhub.decision.facade import Facade, Refused, ServerList
from switchhub.decision.interface import Request, ServerListKind
from switchhub.net.line_socket import IDLE_SOCKETS_FRACTION, RESERVED_DESCRIPTORS, LineSocket, SocketBudget
from tests.balancer_driver import make_server, make_settings
from tests.harness import TIMEOUT_S, FakeServer, running_balancer


def test_requests_start_at_once_up_to_the_limit_of_a_turn() -> None:
    controller = AdmissionController()
    decisions = [controller.decide(100.0, 0.0, 1200.0) for _ in range(SETUPS_PER_TURN + 1)]
    assert decisions == [AdmissionDecision.START] * SETUPS_PER_TURN + [AdmissionDecision.WAIT]
    assert controller.decide(100.0 + TURN_MS + 0.1, 0.0, 1200.0) is AdmissionDecision.START
    assert controller.decide(200.0, PROMPT_AGE_MS, 1200.0) is AdmissionDecision.WAIT, (
        "a request that was read late is queued behind those that wait"
    )


def test_a_request_that_would_be_late_is_refused_early() -> None:
    controller = AdmissionController()
    controller.waiting = 100
    required_wait = (
        101 * controller.setup_cost + SETUP_TIME_FACTOR * controller.setup_duration + SETUP_MARGIN_MS
    )
    assert controller.decide(0.0, 0.0, required_wait) is AdmissionDecision.WAIT
    assert controller.decide(0.0, 1.0, required_wait) is AdmissionDecision.REFUSE
    assert controller.decide(0.0, 0.0, 60_000.0) is AdmissionDecision.WAIT, "its client waits long enough"
    assert controller.decide(0.0, 0.0, 50.0) is AdmissionDecision.REFUSE


def test_setup_cost_is_learnt_within_a_few_turns_and_ignores_idle_time() -> None:
    controller = AdmissionController()
    controller.waiting = 1000
    now = 0.0
    for _ in range(60):
        now += 4.0 * SETUPS_PER_TURN
        assert controller.next_batch(now) == SETUPS_PER_TURN
    assert 3.9 < controller.setup_cost < 4.1
    controller.queue_emptied()
    controller.next_batch(now + 60_000.0)
    assert 3.9 < controller.setup_cost < 4.1, "no request was queued meanwhile"
    controller.record_setup(10_000.0)
    assert controller.setup_duration < 10.0, "a slow server says nothing about this process"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 50), st.floats(0, 100), st.floats(20, 60_000)), max_size=60))
def test_no_request_is_queued_that_can_not_be_in_time(requests: list[tuple[float, float, float]]) -> None:
    controller, now = AdmissionController(), 0.0
    for pause, age, client_wait in requests:
        now += pause
        decision = controller.decide(now, age, client_wait)
        if decision is AdmissionDecision.WAIT:
            assert (
                controller.latest_start(now - age, client_wait)
                >= now + controller.waiting * controller.setup_cost
            )
            controller.waiting += 1


def test_the_decision_module_refuses_a_late_request_without_an_attempt() -> None:
    facade = Facade(make_settings(), 1, 1000.0)
    facade.report(1000.0, ServerList(ServerListKind.WHOLE, (make_server("a"),)))
    assert facade.pick(1000.0, Request("r", 0, 900.0, late=True)) == Refused(0.0)
    assert facade._balancer.sums() == {"a": 0}


def test_the_age_of_unread_bytes_is_the_kernels() -> None:
    listening = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listening.getsockname())
    client.send(b"OPEN")
    time.sleep(0.1)  # the connection waits in the backlog
    sock, _ = listening.accept()
    line_socket = LineSocket(sock, SocketBudget(100))
    age, round_trip = line_socket.receive_timing()
    assert 95.0 <= age < 5000.0 and 0.0 < round_trip < 50.0
    assert line_socket.read_available() == 4
    client.send(b" ")
    while not line_socket.read_available():
        pass
    assert line_socket.receive_timing()[0] < 90.0, "the age is the last byte's"
    line_socket.close()
    assert line_socket.receive_timing() == (0.0, 0.0)
    client.close()
    listening.close()


def test_a_process_that_was_stopped_serves_only_clients_that_still_wait(tmp_path: Path) -> None:
    """The process is stopped for longer than some clients wait: it sets up no connection for those."""

    async def run() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server) as (program, _):
            program.process.send_signal(signal.SIGSTOP)
            impatient = [await program.open(wait=300) for _ in range(40)]
            patient = [await program.open(wait=20_000) for _ in range(20)]
            await asyncio.sleep(0.8)  # longer than the impatient clients wait
            program.process.send_signal(signal.SIGCONT)
            answers = [await client.read_line() for client in impatient]
            assert not any(line.startswith(b"UP") for line in answers)
            served = [await client.read_line() for client in patient]
            assert all(line.startswith(b"UP") for line in served)
            assert len(server.first_lines) == 20, "no attempt for clients that had given up"

    asyncio.run(run())


def test_a_burst_is_answered_in_time_and_later_requests_are_served(tmp_path: Path) -> None:
    async def run() -> None:
        # All clients connect before the first one speaks. Of so many sockets an eighth, which are more than
        # there are clients, may be idle at a time.
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), sockets=8192) as (program, _):
            clients = await asyncio.gather(*(program.open(wait=1000) for _ in range(600)))
            assert 8192 * IDLE_SOCKETS_FRACTION - RESERVED_DESCRIPTORS > 600
            started_at = asyncio.get_running_loop().time()
            answers = await asyncio.gather(*(client.read_line() for client in clients))
            assert asyncio.get_running_loop().time() - started_at < 5.0
            kinds = {line.split(b" ")[0].strip() for line in answers}
            assert kinds <= {b"UP", b"BUSY"}
            assert sum(line.startswith(b"UP") for line in answers) > 20
            for client in clients:
                client.writer.close()
            await asyncio.sleep(0)
            served_in_a_row = 0
            # A server that was late itself is ejected for a short time.
            async with asyncio.timeout(TIMEOUT_S):
                while served_in_a_row < 20:
                    line = await (await program.open()).read_line()
                    served_in_a_row = served_in_a_row + 1 if line.startswith(b"UP") else 0

    asyncio.run(run())


def test_a_stop_in_a_burst_answers_every_client(tmp_path: Path) -> None:
    """Requests are still queued when the stop begins; each client is still answered, or moved."""

    async def run() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), sockets=4096) as (program, _):
            clients = await asyncio.gather(*(program.open(wait=20_000) for _ in range(500)))
            program.process.send_signal(signal.SIGTERM)
            received = await asyncio.gather(*(client.read_to_end() for client in clients))
            client_lines = [data.split(b"\r\n") for data in received]
            assert all(lines[0].split(b" ")[0] in (b"UP", b"BUSY", b"FAILED") for lines in client_lines)
            assert all(lines[1] == b"MOVE" for lines in client_lines if lines[0].startswith(b"UP"))
            assert await program.stop() == 0

    asyncio.run(run())


def test_a_client_that_leaves_while_queued_causes_no_attempt(tmp_path: Path) -> None:
    async def run() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, sockets=4096) as (program, _):
            program.process.send_signal(signal.SIGSTOP)
            clients = [await program.open(wait=20_000) for _ in range(100)]
            for client in clients:
                client.writer.close()
            await asyncio.gather(*(client.writer.wait_closed() for client in clients))
            program.process.send_signal(signal.SIGCONT)
            assert (await (await program.open()).read_line()).startswith(b"UP")
            assert len(server.first_lines) <= 1 + SETUPS_PER_TURN, "at most one turn of set-ups"

    asyncio.run(run())
