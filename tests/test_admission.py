"""The process's own overload: the gate alone, and the real program with more clients than it can set up."""

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
from switchhub.net.line_socket import LineSocket, SocketBudget
from tests.balancer_driver import make_server, make_settings
from tests.harness import TIMEOUT_S, FakeServer, running_balancer


def test_calm_requests_start_at_once_and_a_turn_holds_so_many() -> None:
    gate = AdmissionController()
    verdicts = [gate.decide(100.0, 0.0, 1200.0) for _ in range(SETUPS_PER_TURN + 1)]
    assert verdicts == [AdmissionDecision.START] * SETUPS_PER_TURN + [AdmissionDecision.WAIT]
    assert gate.decide(100.0 + TURN_MS + 0.1, 0.0, 1200.0) is AdmissionDecision.START
    assert gate.decide(200.0, PROMPT_AGE_MS, 1200.0) is AdmissionDecision.WAIT, (
        "what was read late comes after what waits"
    )


def test_what_would_come_up_too_late_is_refused_while_that_is_in_time() -> None:
    gate = AdmissionController()
    gate.waiting = 100
    need = 101 * gate.setup_cost + SETUP_TIME_FACTOR * gate.setup_duration + SETUP_MARGIN_MS
    assert gate.decide(0.0, 0.0, need) is AdmissionDecision.WAIT
    assert gate.decide(0.0, 1.0, need) is AdmissionDecision.REFUSE
    assert gate.decide(0.0, 0.0, 60_000.0) is AdmissionDecision.WAIT, "a patient client waits on"
    assert gate.decide(0.0, 0.0, 50.0) is AdmissionDecision.REFUSE


def test_the_pace_is_learnt_in_a_few_turns_and_no_pause_counts() -> None:
    gate = AdmissionController()
    gate.waiting = 1000
    now = 0.0
    for _ in range(60):
        now += 4.0 * SETUPS_PER_TURN
        assert gate.next_batch(now) == SETUPS_PER_TURN
    assert 3.9 < gate.setup_cost < 4.1
    gate.queue_emptied()
    gate.next_batch(now + 60_000.0)
    assert 3.9 < gate.setup_cost < 4.1, "nobody waited meanwhile"
    gate.record_setup(10_000.0)
    assert gate.setup_duration < 10.0, "a slow server says nothing of this process"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 50), st.floats(0, 100), st.floats(20, 60_000)), max_size=60))
def test_nobody_is_let_in_who_can_not_be_in_time(drawn: list[tuple[float, float, float]]) -> None:
    gate, now = AdmissionController(), 0.0
    for pause, age, wait in drawn:
        now += pause
        verdict = gate.decide(now, age, wait)
        if verdict is AdmissionDecision.WAIT:
            assert gate.latest_start(now - age, wait) >= now + gate.waiting * gate.setup_cost
            gate.waiting += 1


def test_the_module_refuses_what_is_late_and_sends_it_nowhere() -> None:
    facade = Facade(make_settings(), 1, 1000.0)
    facade.report(1000.0, ServerList(ServerListKind.WHOLE, (make_server("a"),)))
    assert facade.pick(1000.0, Request("r", 0, 900.0, late=True)) == Refused(0.0)
    assert facade._balancer.sums() == {"a": 0}


def test_the_age_of_what_lies_unread_is_the_kernels() -> None:
    listening = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listening.getsockname())
    client.send(b"OPEN")
    time.sleep(0.1)  # in the backlog
    sock, _ = listening.accept()
    wire = LineSocket(sock, SocketBudget(100))
    age, trip = wire.receive_timing()
    assert 95.0 <= age < 5000.0 and 0.0 < trip < 50.0
    assert wire.read_available() == 4
    client.send(b" ")
    while not wire.read_available():
        pass
    assert wire.receive_timing()[0] < 90.0, "the last byte's"
    wire.close()
    assert wire.receive_timing() == (0.0, 0.0)
    client.close()
    listening.close()


def test_a_process_that_stood_still_answers_in_time_or_not_at_all(tmp_path: Path) -> None:
    """Stopped for longer than its clients wait, it serves none of those that have given up meanwhile."""

    async def run() -> None:
        one = FakeServer("a")
        async with running_balancer(tmp_path, one) as (program, _):
            program.process.send_signal(signal.SIGSTOP)
            gone = [await program.open(wait=300) for _ in range(40)]
            patient = [await program.open(wait=20_000) for _ in range(20)]
            await asyncio.sleep(0.8)  # the time that they wait, by the clock
            program.process.send_signal(signal.SIGCONT)
            heard = [await each.read_line() for each in gone]
            assert not any(line.startswith(b"UP") for line in heard)
            served = [await each.read_line() for each in patient]
            assert all(line.startswith(b"UP") for line in served)
            assert len(one.first_lines) == 20, "no server for those that had given up"

    asyncio.run(run())


def test_a_burst_is_answered_in_time_and_leaves_nothing_behind(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), sockets=4096) as (program, _):
            clients = await asyncio.gather(*(program.open(wait=1000) for _ in range(600)))
            begin = asyncio.get_running_loop().time()
            heard = await asyncio.gather(*(each.read_line() for each in clients))
            assert asyncio.get_running_loop().time() - begin < 5.0
            kinds = {line.split(b" ")[0].strip() for line in heard}
            assert kinds <= {b"UP", b"BUSY"}
            assert sum(line.startswith(b"UP") for line in heard) > 20
            for client in clients:
                client.writer.close()
            await asyncio.sleep(0)
            in_a_row = 0
            async with asyncio.timeout(TIMEOUT_S):  # a server that was late itself is set aside for a moment
                while in_a_row < 20:
                    line = await (await program.open()).read_line()
                    in_a_row = in_a_row + 1 if line.startswith(b"UP") else 0

    asyncio.run(run())


def test_a_stop_in_a_burst_answers_everybody(tmp_path: Path) -> None:
    """Patient clients wait for their turn when the stop begins; each is still answered or moved."""

    async def run() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), sockets=4096) as (program, _):
            clients = await asyncio.gather(*(program.open(wait=20_000) for _ in range(500)))
            program.process.send_signal(signal.SIGTERM)
            heard = await asyncio.gather(*(each.read_to_end() for each in clients))
            lines = [each.split(b"\r\n") for each in heard]
            assert all(each[0].split(b" ")[0] in (b"UP", b"BUSY", b"FAILED") for each in lines)
            assert all(each[1] == b"MOVE" for each in lines if each[0].startswith(b"UP"))
            assert await program.stop() == 0

    asyncio.run(run())


def test_who_leaves_while_waiting_takes_no_server(tmp_path: Path) -> None:
    async def run() -> None:
        one = FakeServer("a")
        async with running_balancer(tmp_path, one, sockets=4096) as (program, _):
            program.process.send_signal(signal.SIGSTOP)
            clients = [await program.open(wait=20_000) for _ in range(100)]
            for client in clients:
                client.writer.close()
            await asyncio.gather(*(each.writer.wait_closed() for each in clients))
            program.process.send_signal(signal.SIGCONT)
            assert (await (await program.open()).read_line()).startswith(b"UP")
            assert len(one.first_lines) <= 1 + SETUPS_PER_TURN, "no more than one turn's"

    asyncio.run(run())
