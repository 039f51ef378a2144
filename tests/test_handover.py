"""Handover from an old process of a balancer to a new one, as clients and servers see it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

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


async def start_beside(program: BalancerProcess, **environ: str) -> BalancerProcess:
    """Start a new process at the same clients' address."""
    config = {**json.loads(program.config_file.read_text()), "listen": f"127.0.0.1:{program.port}"}
    file = program.config_file.parent / "next.json"
    file.write_text(json.dumps(config))
    new = await start_balancer(file, environ=environ)
    new.config_file = program.config_file
    return new


@contextlib.asynccontextmanager
async def upgrade(program: BalancerProcess, **environ: str) -> AsyncIterator[BalancerProcess]:
    """A new process that is ready; it is checked and killed at the end of the block."""
    new = await start_beside(program, **environ)
    try:
        assert (await new.call("GET /healthcheck"))[0] == 200
        yield new
        await assert_clean_exit(new)
    finally:
        if new.process.returncode is None:
            new.process.kill()
            await new.process.wait()


async def stop_in_order(program: BalancerProcess) -> None:
    """Tell the process to stop and check that it ends by itself, without an error."""
    program.process.terminate()
    async with asyncio.timeout(TIMEOUT_S):
        assert await program.process.wait() == 0
    await assert_clean_exit(program)


def test_established_connections_continue_in_the_new_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            clients = [await old.connect() for _ in range(20)]
            clients[0].send(b"M ha")
            server.streams[1][1].write(b"hal")
            await asyncio.sleep(0.05)
            async with upgrade(old) as new:
                assert (await old.call("GET /healthcheck")) == (503, "giving way to a new version\n")
                assert (await old.call("PUT /healthcheck/ok"))[0] == 409
                began_at = asyncio.get_running_loop().time()
                await stop_in_order(old)
                assert asyncio.get_running_loop().time() - began_at < 1.0
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

    asyncio.run(scenario())


def test_new_process_counts_the_connections_of_the_old_one(tmp_path: Path) -> None:
    """Without the load sums from the handover, the new process would place the same load on both servers."""

    async def scenario() -> None:
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
                await stop_in_order(old)
                for client in clients[:10]:  # the sums fall as they end
                    client.writer.close()
                async with asyncio.timeout(TIMEOUT_S):
                    while (await new.metrics())["concurrent"] != 10:
                        await asyncio.sleep(0.02)
                before = len(servers[0].first_lines)
                for _ in range(8):
                    await new.connect(",h=100")
                assert len(servers[0].first_lines) >= before + 7

    asyncio.run(scenario())


def test_id_in_use_at_the_old_process_is_rejected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.client()
            client.send(b"OPEN 00aa key c=any,t=acme,d=2000\r\n")
            assert (await client.read_line()).startswith(b"UP ")
            async with upgrade(old):
                other = await old.client()
                other.send(b"OPEN 00aa key c=any,t=acme,d=2000\r\n")
                assert await other.read_line() == b"ERR\r\n"

    asyncio.run(scenario())


async def use_id_and_leave(balancer: BalancerProcess, server: FakeServer, connection_id: bytes) -> None:
    """Open a connection under this id and leave; return when the server has seen both."""
    client = await balancer.client()
    client.send(b"OPEN %s key c=any,t=acme,d=2000\r\n" % connection_id)
    assert (await client.read_line()).startswith(b"UP ")
    client.writer.close()
    async with asyncio.timeout(TIMEOUT_S):
        await server.streams[-1][1].wait_closed()


async def answer_to_id(balancer: BalancerProcess, connection_id: bytes) -> bytes:
    client = await balancer.client()
    client.send(b"OPEN %s key c=any,t=acme,d=2000\r\n" % connection_id)
    return await client.read_line()


def test_id_whose_client_has_left_the_old_process_is_rejected_by_the_new_one(tmp_path: Path) -> None:
    """The new process knew only of connections that still stood: such an id ran twice."""

    async def scenario() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            ids = [b"00cc%02d" % number for number in range(40)]
            for each in ids[:20]:
                await use_id_and_leave(old, server, each)
            async with upgrade(old) as new:
                assert [await answer_to_id(new, each) for each in ids[:20]] == [b"ERR\r\n"] * 20
                for each in ids[20:]:
                    await use_id_and_leave(new, server, each)
                    assert await answer_to_id(new, each) == b"ERR\r\n"
                new.killed = True
                new.process.kill()
                await old.wait_for_log("ready again")
                assert [await answer_to_id(old, each) for each in ids] == [b"ERR\r\n"] * 40
            assert len(server.first_lines) == len(ids)

    asyncio.run(scenario())


def test_id_in_use_at_a_stalled_new_process_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is stopped, not dead: its attempt may still run at a server and be answered later.

    A second attempt could run the request twice, or answer it twice."""
    monkeypatch.setenv("SWITCHHUB_LOG", "DEBUG")

    async def scenario() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _), upgrade(old) as new:
            for number in range(100):  # the old process may accept for a moment after the new one is ready
                held, client = f"00bb{number:02}", await new.client()
                client.send(b"OPEN %s key c=pay,t=acme,d=2000\r\n" % held.encode())
                assert (await client.read_line()).startswith(b"UP ")
                if "taken" not in await old.wait_for_log(f" {held} "):
                    break
            await old.wait_for_log(f"connection {held} is held by the new process")
            new.process.send_signal(signal.SIGSTOP)
            await old.wait_for_log("the new process is silent")
            other = await old.client()
            other.send(b"OPEN %s key c=pay,t=acme,d=2000\r\n" % held.encode())
            assert await other.read_line() == b"ERR\r\n"
            await old.connect()
            new.process.send_signal(signal.SIGCONT)
            await old.wait_for_log("the new process holds the right to accept from now on")
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            assert len([line for line in server.first_lines if held.encode() in line]) == 1

    asyncio.run(scenario())


def test_request_in_setup_stays_with_the_old_process_and_is_passed_on_later(tmp_path: Path) -> None:
    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_client_that_does_not_read_is_moved_and_the_others_continue(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (old, _):
            client_not_reading, client = await old.connect(), await old.connect()
            client_not_reading.reader._transport.pause_reading()  # type: ignore[attr-defined]
            for _ in range(4000):
                server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            async with upgrade(old) as new:
                await stop_in_order(old)
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"
                assert (await new.metrics())["concurrent"] == 1

    asyncio.run(scenario())


def test_new_process_that_receives_slowly_loses_no_connection(tmp_path: Path) -> None:
    """More is passed on than the channel's buffer holds: the old process waits for the new one."""

    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_old_process_serves_again_when_the_new_one_dies(tmp_path: Path) -> None:
    """The new process dies before the old one was told to stop: the old one still has its connections."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            path = socket_path(str(tmp_path), "n0")
            before = os.stat(path).st_ino
            new = await start_beside(old)
            await old.wait_for_log("handing over to a new process")
            async with asyncio.timeout(TIMEOUT_S):
                while os.stat(path).st_ino == before:  # until the new process listens at the path too
                    await asyncio.sleep(0.01)
            new.process.kill()
            await new.process.wait()
            await old.wait_for_log("ready again")
            assert (await old.call("GET /healthcheck"))[0] == 200
            kept = [await old.connect() for _ in range(3)]
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            async with upgrade(old) as third:
                await stop_in_order(old)
                client.send(b"M 2\r\n")
                assert await client.read_line() == b"M 2\r\n"
                assert (await third.metrics())["concurrent"] == 1 + len(kept)

    asyncio.run(scenario())


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
def test_invalid_messages_on_the_handover_socket_change_nothing(tmp_path: Path, words: list[bytes]) -> None:
    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as intruder:
                intruder.connect(socket_path(str(tmp_path), "n0"))
                for word in words:
                    intruder.send(word.replace(b'"PORT"', str(old.port).encode()))
                await old.wait_for_log("handover aborted: ")
            async with asyncio.timeout(TIMEOUT_S):
                while (await old.call("GET /healthcheck"))[0] != 200:
                    await asyncio.sleep(0.01)
            await old.connect()
            async with upgrade(old):
                await stop_in_order(old)
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"

    asyncio.run(scenario())


def test_connections_of_a_killed_old_process_leave_no_load(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = FakeServer("a"), FakeServer("b")
        async with running_balancer(tmp_path, *servers, management=True) as (old, _):
            clients = [await old.connect(",h=100") for _ in range(6)]
            async with upgrade(old) as new:
                old.killed = True
                old.process.kill()
                await old.process.wait()
                await new.wait_for_log("the old process has ended; 6 of its connections ended with it")
                for client in clients:
                    with contextlib.suppress(ConnectionError):
                        await client.read_to_end()
                kept = [await new.connect(",h=100") for _ in range(4)]
                assert (await new.metrics())["concurrent"] == len(kept)
                assert {len(server.first_lines) for server in servers} == {3 + 2}

    asyncio.run(scenario())


def listen_as_other_version(path: str) -> socket.socket:
    """A listening socket like that of a process with another protocol version."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.bind(path)
    sock.listen(4)
    return sock


@pytest.mark.parametrize("there", ["nothing", "stale", "foreign", "other form", "no number", "long"])
def test_address_is_shared_when_no_handover_is_possible(tmp_path: Path, there: str) -> None:
    """Without a common `$TMPDIR`, or with something else at the path, the kernel distributes new clients
    to both processes, and the old process moves its own when it is told to stop."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            folder = tmp_path / ("x" * 120 if there == "long" else "other")
            folder.mkdir()
            path = socket_path(str(folder), "n0")
            other = None
            if there == "stale":
                listen_as_other_version(path).close()
            elif there == "foreign":
                Path(path).write_text("mine")
            elif there in ("other form", "no number"):
                other = listen_as_other_version(path)
                other.setblocking(False)

                async def answer_ask(sock: socket.socket) -> None:
                    loop = asyncio.get_running_loop()
                    accepted, _ = await loop.sock_accept(sock)
                    # Read first: the peer of a socket closed unread gets a reset in place of the answer.
                    await loop.sock_recv(accepted, 4096)
                    if there == "no number":  # an invalid answer must not end the process that starts
                        listener_message = messages.encode_message("listener", generation=-1)
                        socket.send_fds(accepted, [listener_message], [other.fileno()])
                    else:
                        accepted.send(messages.encode_message("no", why="another form"))
                    accepted.close()

                answering = asyncio.create_task(answer_ask(other))
            async with upgrade(old, TMPDIR=str(folder)) as new:
                if other is not None:
                    await new.wait_for_log(
                        "MessageError: unexpected answer: no"
                        if there == "other form"
                        else "MessageError: expected a non-negative integer, got -1"
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
                    await answering
            if other is not None:
                other.close()

    asyncio.run(scenario())


def test_regular_file_is_kept_and_stale_socket_is_replaced(tmp_path: Path) -> None:
    path = tmp_path / "meet"
    path.write_text("mine")
    sender = HandoverSender(None, str(path))  # type: ignore[arg-type]
    with pytest.raises(OSError, match="expected a socket"):
        sender._listen_at_path()
    assert path.read_text() == "mine"
    path.unlink()
    listen_as_other_version(str(path)).close()
    sender._listen_at_path()
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.connect(str(path))
    HandoverSender(None, str(path))._listen_at_path()  # type: ignore[arg-type]
    sender.close()
    assert path.exists()  # it is the second sender's by now


class SteadyClients:
    """Clients that connect, send lines and leave all the time, with counts of what became of them.

    The first half of their ids is 1 or more, since it is 0 in the ids of the rig's clients: an id that
    another connection has open is answered `ERR`, and would count as refused here."""

    def __init__(self, port: int) -> None:
        self.port, self.active = port, True
        self.counts = dict.fromkeys(("up", "door", "refused", "lost", "moved", "lines", "twice"), 0)

    async def run_client(self, number: int) -> None:
        counts, at = self.counts, 0
        while self.active:
            at += 1
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"OPEN %08x%08x key c=any,t=acme,d=2000\r\n" % (number + 1, at))
                async with asyncio.timeout(TIMEOUT_S):
                    answer = await reader.readline()
            except (ConnectionError, TimeoutError):
                counts["door"] += 1
                continue
            if not answer.startswith(b"UP "):
                counts["door" if not answer else "refused"] += 1
                continue
            counts["up"] += 1
            for line in range(12):
                text = b"M %d %d\r\n" % (at, line)
                writer.write(text[:3])
                await asyncio.sleep(0.002)
                writer.write(text[3:])
                async with asyncio.timeout(TIMEOUT_S):
                    echo = await reader.readline()
                if echo != text:
                    counts["moved" if echo == b"MOVE\r\n" else "twice" if echo[:3] == b"UP " else "lost"] += 1
                    break
                counts["lines"] += 1
                await asyncio.sleep(0.01)
            writer.close()


def test_ten_upgrades_in_a_row_under_steady_connects(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = [FakeServer(name) for name in "abc"]
        # The fake servers run in this process, which is blocked while it forks the next balancer. With the
        # message aim of 50 ms that counts as overload, and clients would be moved and refused for it.
        deployment = settings()
        deployment["FamilyInfo"]["MessageAim"] = [TIMEOUT_S * 1000.0] * 2
        async with running_balancer(
            tmp_path, *servers, deployment_settings=deployment, management=True, sockets=4096
        ) as (first, _):
            steady = SteadyClients(first.port)
            clients = [asyncio.create_task(steady.run_client(number)) for number in range(20)]
            established: list[Client] = [await first.connect() for _ in range(20)]
            async with contextlib.AsyncExitStack() as stack:
                present = first
                for _ in range(10):
                    new = await stack.enter_async_context(upgrade(present))
                    await stop_in_order(present)
                    present = new
                for client in established:
                    client.send(b"M 1\r\n")
                    assert await client.read_line() == b"M 1\r\n"
                steady.active = False
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

    asyncio.run(scenario())


def test_second_upgrade_while_the_first_process_is_still_stopping(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = FakeServer("a", "silent")
        async with running_balancer(tmp_path, server, management=True) as (first, _):
            waiting = await first.open()
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
                    assert await waiting.read_line() == b"UP a-1\r\n"
                    async with asyncio.timeout(TIMEOUT_S):
                        assert await first.process.wait() == 0
                        assert await second.process.wait() == 0
                    client.send(b"M 1\r\n")
                    assert await client.read_line() == b"M 1\r\n"
                    assert (await third.metrics())["concurrent"] >= 1

    asyncio.run(scenario())


def test_process_that_took_over_keeps_serving_while_the_next_one_asks(tmp_path: Path) -> None:
    """All processes that share a socket share its status flags. If one of them set the listening socket to
    blocking, this process would be blocked from the next client until the one after that."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (first, _):
            client = await first.connect()
            async with upgrade(first) as second:
                await stop_in_order(first)
                asking = Channel.connect_to(socket_path(str(tmp_path), "n0"))
                asking.send(
                    messages.encode_message(
                        "ask", form=messages.PROTOCOL_VERSION, listen=["127.0.0.1", second.port]
                    )
                )
                received = await asking.receive()
                assert received is not None and len(received[1]) == 1
                await second.connect()
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"
                received[1][0].close()
                asking.close()

    asyncio.run(scenario())


def test_passed_socket_is_non_blocking_on_both_sides(tmp_path: Path) -> None:
    async def scenario() -> None:
        channels = [Channel(each) for each in socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)]
        listening = socket.socket()
        listening.setblocking(False)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        channels[0].send(b"x", listening.dup())
        received = await channels[1].receive()
        assert received is not None
        received_socket = received[1][0]
        duplicate = received_socket.dup()  # as it is sent to the process after that
        for each in listening, received_socket, duplicate:
            with pytest.raises(BlockingIOError):
                each.accept()
            each.close()
        for channel in channels:
            channel.close()

    asyncio.run(scenario())


def test_drain_of_the_old_process_moves_its_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            async with upgrade(old) as new:
                assert (await old.call("PUT /healthcheck/fail"))[0] == 200
                assert await client.read_to_end() == b"MOVE\r\n"
                assert (await new.call("GET /healthcheck"))[0] == 200
                await new.connect()
                await stop_in_order(old)

    asyncio.run(scenario())


def test_drain_of_the_new_process_moves_the_connections_passed_on(tmp_path: Path) -> None:
    """The new process holds the connections that were passed on, and moves them; the old one has ended."""

    async def scenario() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (old, _):
            client = await old.connect()
            async with upgrade(old) as new:
                await stop_in_order(old)
                assert (await new.call("PUT /healthcheck/fail"))[0] == 200
                assert await client.read_to_end() == b"MOVE\r\n"
                assert (await new.call("PUT /healthcheck/ok"))[0] == 200
                await new.connect()

    asyncio.run(scenario())


def test_new_process_beside_a_stopping_one_starts_without_handover(tmp_path: Path) -> None:
    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_new_process_inherits_the_server_list(tmp_path: Path) -> None:
    """The new process starts from the old one's server list, not from the list in its configuration."""

    async def scenario() -> None:
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
                await stop_in_order(old)

    asyncio.run(scenario())


# On platforms without fork and Unix sockets.

WITHOUT_FORK_AND_UNIX_SOCKETS = """
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
def test_program_serves_without_fork_and_unix_sockets(tmp_path: Path, management: bool) -> None:
    """Without a management address, the program does not even create a Unix socket."""

    async def scenario() -> None:
        command = ("-c", WITHOUT_FORK_AND_UNIX_SOCKETS)
        async with running_balancer(tmp_path, FakeServer("a"), management=management, command=command) as (
            program,
            _,
        ):
            client = await program.connect()
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"
            if management:
                assert (await program.call("GET /healthcheck"))[0] == 200
                await program.wait_for_log("handover disabled")
            assert any("Unix socket" in line for line in program.log) is management
            program.process.terminate()
            assert await client.read_to_end() == b"MOVE\r\n"
            async with asyncio.timeout(TIMEOUT_S):
                assert await program.process.wait() == 0
        assert not [each for each in os.listdir(tmp_path) if "sock" in each]

    asyncio.run(scenario())
