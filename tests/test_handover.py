"""A new version beside the running process: what passes between the two, and what clients see of it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchhub.decision.interface import LearnedServer, LearnedState
from switchhub.handover import messages
from switchhub.handover.channel import Channel
from switchhub.handover.sender import HandoverSender, socket_path
from tests.harness import (
    TIMEOUT_S,
    BalancerProcess,
    Client,
    FakeServer,
    assert_clean_exit,
    running_balancer,
    settings,
    start_balancer,
)

# The form.

WORDS = st.text(max_size=8)
FIGURES = st.floats(0, 1e12)
HELD = st.builds(
    messages.HeldConnection,
    id=st.text(min_size=1, max_size=8),
    class_name=WORDS,
    tenant=WORDS,
    key=st.none() | WORDS,
    group=st.none() | WORDS,
    hint=st.none() | FIGURES,
    server=WORDS,
    load=FIGURES,
)


@given(st.lists(HELD, max_size=200))
def test_connections_come_back_as_they_went(held: list[messages.HeldConnection]) -> None:
    back = []
    for message in messages.encode_held(held):
        assert len(message) < messages.MESSAGE_MAX
        kind, values = messages.decode_message(message)
        assert kind == "held"
        back += messages.decode_held(values)
    assert back == held


@given(
    HELD, st.binary(max_size=4096), st.binary(max_size=4096), st.lists(FIGURES, max_size=16), st.booleans()
)
def test_a_passed_connection_comes_back_as_it_went(
    held: messages.HeldConnection, up: bytes, down: bytes, asked: list[float], move: bool
) -> None:
    passed = messages.PassedConnection(held, up, down, tuple(asked), 5.0, 7.5, b"UP", move)
    message = messages.encode_passed(passed)
    kind, values = messages.decode_message(message)
    assert kind == "pass" and len(message) < messages.MESSAGE_MAX
    assert messages.decode_passed(values) == passed


def test_what_was_learnt_comes_back_as_it_went() -> None:
    servers = (
        LearnedServer("s1", 0.5, 2, 7.0, float("inf"), 0.0, ()),
        LearnedServer("s2", 0.1, 0, 0.0, 900.0, 5.0, ((1.0, 2.0), (3.0, 4.0))),
    )
    learnt = LearnedState(12.5, 30.0, 4.0, float("-inf"), servers)
    _, values = messages.decode_message(
        messages.encode_message("yours", learnt=messages.encode_learnt(learnt))
    )
    assert messages.decode_learnt(values["learnt"]) == learnt


@given(st.binary(max_size=200))
def test_whatever_comes_is_a_message_or_said_to_be_none(data: bytes) -> None:
    with contextlib.suppress(messages.MessageError):
        messages.decode_message(data)


@pytest.mark.parametrize(
    "values", [{}, {"connections": 3}, {"connections": [[1]]}, {"connections": [[""] * 8]}]
)
def test_connections_that_are_none_are_said_to_be_none(values: dict[str, Any]) -> None:
    with pytest.raises(messages.MessageError):
        messages.decode_held(values)
    with pytest.raises(messages.MessageError):
        messages.decode_passed(values)
    with pytest.raises(messages.MessageError):
        messages.decode_learnt(values)


def test_a_path_that_is_too_long_is_none() -> None:
    assert socket_path("", "n0") == ""
    assert socket_path("/tmp", "a/../b") == "/tmp/switchhub-a%2F..%2Fb.sock"
    assert socket_path("/tmp/" + "x" * 100, "n0") == ""


# The program.


async def beside(program: BalancerProcess, **environ: str) -> BalancerProcess:
    """A new process at the same clients' address."""
    config = {**json.loads(program.config_file.read_text()), "listen": f"127.0.0.1:{program.port}"}
    file = program.config_file.parent / "next.json"
    file.write_text(json.dumps(config))
    new = await start_balancer(file, environ=environ)
    new.config_file = program.config_file
    return new


@contextlib.asynccontextmanager
async def upgrade(program: BalancerProcess, **environ: str) -> AsyncIterator[BalancerProcess]:
    """A new process that is ready, ended with the block."""
    new = await beside(program, **environ)
    try:
        assert (await new.call("GET /healthcheck"))[0] == 200
        yield new
        await assert_clean_exit(new)
    finally:
        if new.process.returncode is None:
            new.process.kill()
            await new.process.wait()


async def gone(program: BalancerProcess) -> None:
    """Told to stop, it ends by itself and in order."""
    program.process.terminate()
    async with asyncio.timeout(TIMEOUT_S):
        assert await program.process.wait() == 0
    await assert_clean_exit(program)


def test_standing_connections_go_on_in_the_new_process(tmp_path: Path) -> None:
    async def play() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            clients = [await old.connect() for _ in range(20)]
            clients[0].send(b"M ha")
            server.streams[1][1].write(b"hal")
            await asyncio.sleep(0.05)
            async with upgrade(old) as new:
                assert (await old.call("GET /healthcheck")) == (503, "giving way to a new version\n")
                assert (await old.call("PUT /healthcheck/ok"))[0] == 409
                begun = asyncio.get_running_loop().time()
                await gone(old)
                assert asyncio.get_running_loop().time() - begun < 1.0
                clients[0].send(b"lf\r\n")
                server.streams[1][1].write(b"f\r\n")
                assert await clients[0].read_line() == b"M half\r\n"
                assert await clients[1].read_line() == b"half\r\n"
                for client in clients:
                    client.send(b"M 1\r\n")
                    assert await client.read_line() == b"M 1\r\n"
                assert (await new.metrics())["concurrent"] == 20
                clients[2].writer.close()
                server.streams[3][1].close()
                assert await clients[3].read_to_end() == b""
                async with asyncio.timeout(TIMEOUT_S):
                    await server.streams[2][1].wait_closed()
                assert len(server.first_lines) == 20
                again = await new.connect()
                again.send(b"M 2\r\n")
                assert await again.read_line() == b"M 2\r\n"

    asyncio.run(play())


def test_the_new_process_counts_what_the_old_one_holds(tmp_path: Path) -> None:
    """Without the hand-over's sums, the new process fills both servers alike."""

    async def play() -> None:
        servers = FakeServer("a"), FakeServer("b")
        async with running_balancer(tmp_path, *servers, management=True) as (old, discovery):
            await discovery.change("b", "Terminating")
            await old.wait_for_log("server b draining")
            clients = [await old.connect(",h=100") for _ in range(10)]
            await discovery.change("b", "Ready")
            await old.wait_for_log("server b ready")
            async with upgrade(old) as new:
                for count in range(1, 11):
                    clients.append(await new.connect(",h=100"))
                    assert len(servers[1].first_lines) == count
                await gone(old)
                for client in clients[:10]:  # the sums fall as they end
                    client.writer.close()
                async with asyncio.timeout(TIMEOUT_S):
                    while (await new.metrics())["concurrent"] != 10:
                        await asyncio.sleep(0.02)
                before = len(servers[0].first_lines)
                for _ in range(8):
                    await new.connect(",h=100")
                assert len(servers[0].first_lines) >= before + 7

    asyncio.run(play())


def test_an_id_that_the_old_process_holds_is_taken(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.client()
            client.send(b"OPEN 00aa key c=any,t=acme,d=2000\r\n")
            assert (await client.read_line()).startswith(b"UP ")
            async with upgrade(old):
                other = await old.client()
                other.send(b"OPEN 00aa key c=any,t=acme,d=2000\r\n")
                assert await other.read_line() == b"ERR\r\n"

    asyncio.run(play())


def test_an_id_that_a_stalled_new_process_holds_is_taken(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is stopped, not dead: its attempt may still be out, and it may answer once it wakes (rules 1, 2)."""
    monkeypatch.setenv("SWITCHHUB_LOG", "DEBUG")

    async def play() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _), upgrade(old) as new:
            for number in range(100):  # the old one may accept for a moment after the new one is ready
                held, client = f"00bb{number:02}", await new.client()
                client.send(b"OPEN %s key c=pay,t=acme,d=2000\r\n" % held.encode())
                assert (await client.read_line()).startswith(b"UP ")
                if "taken" not in await old.wait_for_log(f" {held} "):
                    break
            await old.wait_for_log(f"{held} is the new process's")
            new.process.send_signal(signal.SIGSTOP)
            await old.wait_for_log("the new process is silent")
            other = await old.client()
            other.send(b"OPEN %s key c=pay,t=acme,d=2000\r\n" % held.encode())
            assert await other.read_line() == b"ERR\r\n"
            await old.connect()
            new.process.send_signal(signal.SIGCONT)
            await old.wait_for_log("the new process accepts from now on")
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            assert len([line for line in server.first_lines if held.encode() in line]) == 1

    asyncio.run(play())


def test_what_is_being_set_up_stays_with_the_old_process_and_follows(tmp_path: Path) -> None:
    async def play() -> None:
        server = FakeServer("a", "silent")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            client = await old.open(kind="pay")
            async with asyncio.timeout(TIMEOUT_S):
                while not server.first_lines:
                    await asyncio.sleep(0.01)
            async with upgrade(old) as new:
                old.process.terminate()
                await old.wait_for_log("stopping with")
                server.streams[0][1].write(b"UP a-1\r\n")
                assert await client.read_line() == b"UP a-1\r\n"
                async with asyncio.timeout(TIMEOUT_S):
                    assert await old.process.wait() == 0
                    while (await new.metrics())["concurrent"] != 1:
                        await asyncio.sleep(0.02)
                server.streams[0][1].write(b"hello\r\n")
                assert await client.read_line() == b"hello\r\n"
                assert len(server.first_lines) == 1

    asyncio.run(play())


def test_who_does_not_take_what_is_written_is_moved_and_the_rest_goes_on(tmp_path: Path) -> None:
    async def play() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            deaf, client = await old.connect(), await old.connect()
            deaf.reader._transport.pause_reading()  # type: ignore[attr-defined]
            for _ in range(4000):
                server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            async with upgrade(old) as new:
                await gone(old)
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"
                assert (await new.metrics())["concurrent"] == 1

    asyncio.run(play())


def test_a_new_process_that_is_slow_to_take_loses_nobody(tmp_path: Path) -> None:
    """More is passed on than the channel holds: the old process waits until it is taken."""

    async def play() -> None:
        servers = [FakeServer(name) for name in "ab"]
        async with running_balancer(tmp_path, *servers, management=True, sockets=4096) as (old, _):
            clients = [await old.connect() for _ in range(500)]
            async with upgrade(old) as new:
                new.process.send_signal(signal.SIGSTOP)
                old.process.terminate()
                await old.wait_for_log("stopping with")
                await asyncio.sleep(0.5)
                assert old.process.returncode is None
                new.process.send_signal(signal.SIGCONT)
                async with asyncio.timeout(TIMEOUT_S):
                    assert await old.process.wait() == 0
                    while (await new.metrics())["concurrent"] != len(clients):
                        await asyncio.sleep(0.02)
                for client in clients:
                    client.send(b"M 1\r\n")
                for client in clients:
                    assert await client.read_line() == b"M 1\r\n"

    asyncio.run(play())


def test_a_new_process_that_dies_gives_the_address_back(tmp_path: Path) -> None:
    """Before the old one was told to stop; it serves on, its connections never left it."""

    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            path = socket_path(str(tmp_path), "n0")
            before = os.stat(path).st_ino
            new = await beside(old)
            await old.wait_for_log("giving way")
            async with asyncio.timeout(TIMEOUT_S):
                while os.stat(path).st_ino == before:  # until the new one has taken the meeting place too
                    await asyncio.sleep(0.01)
            new.process.kill()
            await new.process.wait()
            await old.wait_for_log("ready again")
            assert (await old.call("GET /healthcheck"))[0] == 200
            kept = [await old.connect() for _ in range(3)]
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            async with upgrade(old) as third:
                await gone(old)
                client.send(b"M 2\r\n")
                assert await client.read_line() == b"M 2\r\n"
                assert (await third.metrics())["concurrent"] == 1 + len(kept)

    asyncio.run(play())


@pytest.mark.parametrize(
    "words",
    [
        [b"\xff"],
        [b"{}"],
        [messages.encode_message("take")],
        [messages.encode_message("ask", form=7, listen=["127.0.0.1", 1])],
        [messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=None)],
        [messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", "PORT"]), b"[]"],
        [
            messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", "PORT"]),
            messages.encode_message("take"),
            b"more",
        ],
        [
            messages.encode_message(
                "join", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", "PORT"], born="x"
            ),
            b"more",
        ],
        *(
            [
                messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", "PORT"]),
                messages.encode_message("take", **take),
                word,
            ]
            for take, word in (
                ({"queue": 7, "generation": -1}, b""),
                ({"queue": 7, "generation": 5}, messages.encode_message("right", generation=1e400, newer=1)),
                ({"queue": 7, "generation": 5}, messages.encode_message("beat", generation=None)),
                ({"queue": 7, "generation": 5}, messages.encode_message("sent", servers=[["a", "b"]])),
                (
                    {"queue": 7, "generation": 5},
                    messages.encode_message("sent", servers=[["a", 1.0, float("nan")]]),
                ),
                ({"queue": 7, "generation": 5}, messages.encode_message("yours")),
            )
        ),
    ],
)
def test_a_stranger_at_the_meeting_place_changes_nothing(tmp_path: Path, words: list[bytes]) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as stranger:
                stranger.connect(socket_path(str(tmp_path), "n0"))
                for word in words:
                    stranger.send(word.replace(b'"PORT"', str(old.port).encode()))
                await old.wait_for_log("hand-over: ")
            async with asyncio.timeout(TIMEOUT_S):
                while (await old.call("GET /healthcheck"))[0] != 200:
                    await asyncio.sleep(0.01)
            await old.connect()
            async with upgrade(old):
                await gone(old)
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"

    asyncio.run(play())


def test_an_old_process_killed_while_it_holds_connections_leaves_no_sums(tmp_path: Path) -> None:
    async def play() -> None:
        servers = FakeServer("a"), FakeServer("b")
        async with running_balancer(tmp_path, *servers, management=True) as (old, _):
            clients = [await old.connect(",h=100") for _ in range(6)]
            async with upgrade(old) as new:
                old.killed = True
                old.process.kill()
                await old.process.wait()
                await new.wait_for_log("the old process has ended; 6 of its sessions went with it")
                for client in clients:
                    with contextlib.suppress(ConnectionError):
                        await client.read_to_end()
                kept = [await new.connect(",h=100") for _ in range(4)]
                assert (await new.metrics())["concurrent"] == len(kept)
                assert {len(server.first_lines) for server in servers} == {3 + 2}

    asyncio.run(play())


def old_form(path: str) -> socket.socket:
    """A process that speaks another form."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.bind(path)
    sock.listen(4)
    return sock


@pytest.mark.parametrize("there", ["nothing", "stale", "foreign", "other form", "no number", "long"])
def test_without_a_hand_over_the_address_is_shared(tmp_path: Path, there: str) -> None:
    """No `$TMPDIR` in common, or something else at the path: the kernel deals out new clients to both, and
    the old process moves those that it holds."""

    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            folder = tmp_path / ("x" * 120 if there == "long" else "other")
            folder.mkdir()
            path = socket_path(str(folder), "n0")
            other = None
            if there == "stale":
                old_form(path).close()
            elif there == "foreign":
                Path(path).write_text("mine")
            elif there in ("other form", "no number"):
                other = old_form(path)
                other.setblocking(False)

                async def answer(sock: socket.socket) -> None:
                    loop = asyncio.get_running_loop()
                    theirs, _ = await loop.sock_accept(sock)
                    await loop.sock_recv(theirs, 4096)  # closed unread, the other hears a reset and no answer
                    if there == "no number":  # danger: what it says must not end the one that starts
                        told = messages.encode_message("listener", generation=-1)
                        socket.send_fds(theirs, [told], [other.fileno()])
                    else:
                        theirs.send(messages.encode_message("no", why="another form"))
                    theirs.close()

                told = asyncio.create_task(answer(other))
            async with upgrade(old, TMPDIR=str(folder)) as new:
                if other is not None:
                    await new.wait_for_log(
                        "MessageError: no" if there == "other form" else "MessageError: no number: -1"
                    )
                kept = [await new.connect() for _ in range(6)]
                old.process.terminate()
                assert await client.read_to_end() == b"MOVE\r\n"
                async with asyncio.timeout(TIMEOUT_S):
                    assert await old.process.wait() == 0
                kept += [await new.connect() for _ in range(6)]
                if there == "foreign":
                    assert Path(path).read_text() == "mine"
                if other is not None:
                    await told
            if other is not None:
                other.close()

    asyncio.run(play())


def test_a_file_that_is_no_socket_stays_and_a_stale_one_is_replaced(tmp_path: Path) -> None:
    path = tmp_path / "meet"
    path.write_text("mine")
    sender = HandoverSender(None, str(path))  # type: ignore[arg-type]
    with pytest.raises(OSError, match="expected a socket"):
        sender._offer()
    assert path.read_text() == "mine"
    path.unlink()
    old_form(str(path)).close()
    sender._offer()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(str(path))
    HandoverSender(None, str(path))._offer()  # type: ignore[arg-type]
    sender.close()
    assert path.exists()  # by now another's


class Steady:
    """Clients that come and go and speak all the time; what became of them.

    Their ids have a first half of their own, 1 and up: the rig's are 0 there. An id that another connection
    has open is told `ERR`, rightly, and would count as refused here."""

    def __init__(self, port: int) -> None:
        self.port, self.going = port, True
        self.counts = dict.fromkeys(("up", "door", "refused", "lost", "moved", "lines", "twice"), 0)

    async def one(self, number: int) -> None:
        counts, at = self.counts, 0
        while self.going:
            at += 1
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"OPEN %08x%08x key c=any,t=acme,d=2000\r\n" % (number + 1, at))
                async with asyncio.timeout(TIMEOUT_S):
                    told = await reader.readline()
            except (ConnectionError, TimeoutError):
                counts["door"] += 1
                continue
            if not told.startswith(b"UP "):
                counts["door" if not told else "refused"] += 1
                continue
            counts["up"] += 1
            for line in range(12):
                text = b"M %d %d\r\n" % (at, line)
                writer.write(text[:3])
                await asyncio.sleep(0.002)
                writer.write(text[3:])
                async with asyncio.timeout(TIMEOUT_S):
                    back = await reader.readline()
                if back != text:
                    counts["moved" if back == b"MOVE\r\n" else "twice" if back[:3] == b"UP " else "lost"] += 1
                    break
                counts["lines"] += 1
                await asyncio.sleep(0.01)
            writer.close()


def test_ten_upgrades_in_a_row_under_steady_connects(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [FakeServer(name) for name in "abc"]
        # The stand-in servers live in this process, which stands still while it forks the next balancer: with
        # an aim of 50 ms that is strain, for which clients are moved and refused, rightly, whoever upgrades.
        told = settings()
        told["FamilyInfo"]["MessageAim"] = [TIMEOUT_S * 1000.0] * 2
        async with running_balancer(
            tmp_path, *servers, deployment_settings=told, management=True, sockets=4096
        ) as (first, _):
            steady = Steady(first.port)
            clients = [asyncio.create_task(steady.one(number)) for number in range(20)]
            standing: list[Client] = [await first.connect() for _ in range(20)]
            async with contextlib.AsyncExitStack() as stack:
                present = first
                for _ in range(10):
                    new = await stack.enter_async_context(upgrade(present))
                    await gone(present)
                    present = new
                for client in standing:
                    client.send(b"M 1\r\n")
                    assert await client.read_line() == b"M 1\r\n"
                steady.going = False
                await asyncio.gather(*clients)
                counts = steady.counts
                assert counts["up"] > 100 and counts["lines"] > 1000
                assert {name: counts[name] for name in ("door", "refused", "lost", "moved", "twice")} == {
                    "door": 0,
                    "refused": 0,
                    "lost": 0,
                    "moved": 0,
                    "twice": 0,
                }
                assert not [each for each in os.listdir(tmp_path) if ".sock." in each]

    asyncio.run(play())


def test_a_second_upgrade_while_the_first_process_still_leaves(tmp_path: Path) -> None:
    async def play() -> None:
        server = FakeServer("a", "silent")
        async with running_balancer(tmp_path, server, management=True) as (first, _):
            waits = await first.open()
            async with asyncio.timeout(TIMEOUT_S):
                while not server.first_lines:
                    await asyncio.sleep(0.01)
            server.mode = "up"
            client = await first.connect()
            async with upgrade(first) as second:
                first.process.terminate()
                await first.wait_for_log("stopping with")
                async with upgrade(second) as third:
                    second.process.terminate()
                    await second.wait_for_log("stopping with")
                    server.streams[0][1].write(b"UP a-1\r\n")
                    assert await waits.read_line() == b"UP a-1\r\n"
                    async with asyncio.timeout(TIMEOUT_S):
                        assert await first.process.wait() == 0
                        assert await second.process.wait() == 0
                    client.send(b"M 1\r\n")
                    assert await client.read_line() == b"M 1\r\n"
                    assert (await third.metrics())["concurrent"] >= 1

    asyncio.run(play())


def test_a_process_that_took_over_goes_on_while_the_next_one_asks(tmp_path: Path) -> None:
    """Danger: a descriptor's flags are one for all processes that share it. Where one of them makes the
    listening socket wait, this one stands still from the next client until the one after that."""

    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (first, _):
            client = await first.connect()
            async with upgrade(first) as second:
                await gone(first)
                asks = Channel.to(socket_path(str(tmp_path), "n0"))
                asks.send(
                    messages.encode_message(
                        "ask", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", second.port]
                    )
                )
                received = await asks.receive()
                assert received is not None and len(received[1]) == 1
                await second.connect()
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"
                received[1][0].close()
                asks.close()

    asyncio.run(play())


def test_a_socket_that_travels_does_not_wait_on_either_side(tmp_path: Path) -> None:
    async def play() -> None:
        ways = [Channel(each) for each in socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)]
        listening = socket.socket()
        listening.setblocking(False)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        ways[0].send(b"x", listening.dup())
        received = await ways[1].receive()
        assert received is not None
        taken = received[1][0]
        again = taken.dup()  # as it goes to the process after that
        for each in listening, taken, again:
            with pytest.raises(BlockingIOError):
                each.accept()
            each.close()
        for way in ways:
            way.close()

    asyncio.run(play())


def test_a_drain_of_the_old_process_moves_what_it_holds(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            async with upgrade(old) as new:
                assert (await old.call("PUT /healthcheck/fail"))[0] == 200
                assert await client.read_to_end() == b"MOVE\r\n"
                assert (await new.call("GET /healthcheck"))[0] == 200
                await new.connect()
                await gone(old)

    asyncio.run(play())


def test_a_drain_of_the_new_process_is_its_own(tmp_path: Path) -> None:
    """It holds what was passed on, so it moves that; the old one is done."""

    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            async with upgrade(old) as new:
                await gone(old)
                assert (await new.call("PUT /healthcheck/fail"))[0] == 200
                assert await client.read_to_end() == b"MOVE\r\n"
                assert (await new.call("PUT /healthcheck/ok"))[0] == 200
                await new.connect()

    asyncio.run(play())


def test_a_new_process_beside_one_that_stops_already_starts_as_any(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            old.process.terminate()
            await old.wait_for_log("stopping with")
            async with upgrade(old) as new:
                assert await client.read_to_end() == b"MOVE\r\n"
                async with asyncio.timeout(TIMEOUT_S):
                    assert await old.process.wait() == 0
                kept = [await new.connect() for _ in range(3)]
                assert (await new.metrics())["concurrent"] == len(kept)

    asyncio.run(play())


def test_the_list_of_the_old_process_is_the_new_ones(tmp_path: Path) -> None:
    """What discovery has told holds for both: the new process starts from there and not from its file."""

    async def play() -> None:
        servers = FakeServer("a"), FakeServer("b")
        async with running_balancer(tmp_path, *servers, management=True) as (old, discovery):
            await discovery.change("b", "Terminating")
            await old.wait_for_log("server b draining")
            calls = discovery.calls
            async with upgrade(old) as new:
                assert (await new.metrics())["targets_disabled"] == 1
                for _ in range(4):
                    await new.connect()
                assert not servers[1].first_lines
                await asyncio.sleep(0.1)
                assert discovery.queries[calls:] and discovery.queries[-1].startswith(
                    f"index={discovery.version}&"
                )
                await gone(old)

    asyncio.run(play())


# Where the platform refuses it.

REFUSED = """
import os, runpy, socket, sys

def refuse(*_args, **_named):
    raise OSError(38, "refused here")

class Socket(socket.socket):
    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if family == socket.AF_UNIX and fileno is None:
            print("asked for a Unix socket", file=sys.stderr)
            refuse()
        super().__init__(family, type, proto, fileno)

socket.socket = Socket
os.fork = os.posix_spawn = refuse
sys.argv = ["switchhub"]
runpy.run_module("switchhub", run_name="__main__", alter_sys=True)
"""


@pytest.mark.parametrize("management", [False, True])
def test_it_serves_where_there_is_no_fork_and_no_unix_socket(tmp_path: Path, management: bool) -> None:
    """And where no management address is given, it asks for none."""

    async def play() -> None:
        command = ("-c", REFUSED)
        async with running_balancer(tmp_path, FakeServer("a"), management=management, command=command) as (
            program,
            _,
        ):
            client = await program.connect()
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            if management:
                assert (await program.call("GET /healthcheck"))[0] == 200
                await program.wait_for_log("no hand-over")
            assert any("Unix socket" in line for line in program.log) is management
            program.process.terminate()
            assert await client.read_to_end() == b"MOVE\r\n"
            async with asyncio.timeout(TIMEOUT_S):
                assert await program.process.wait() == 0
        assert not [each for each in os.listdir(tmp_path) if "sock" in each]

    asyncio.run(play())
