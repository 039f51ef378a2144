"""The staff's calls at the real program: the drain, the figures, and what is off without them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path

from switchhub.management.server import MAX_CONNECTIONS
from tests.harness import ROOT, TIMEOUT_S, BalancerProcess, Client, FakeServer, running_balancer

MANAGEMENT = "switchhub.management"


async def ping(program: BalancerProcess) -> bytes:
    client = await program.client()
    client.send(b"PING\r\n")
    told = await client.read_line()
    client.writer.close()
    return told


def test_a_drain_says_no_moves_everybody_evenly_and_ok_takes_it_back(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (program, _):
            assert await ping(program) == b"PONG\r\n"
            assert await program.call("GET /healthcheck") == (200, "ready\n")
            clients = [await program.connect() for _ in range(30)]
            begun = time.monotonic()
            assert (await program.call("PUT /healthcheck/fail"))[0] == 200
            assert (await program.call("GET /healthcheck"))[0] == 503
            assert await ping(program) not in (b"PONG\r\n", b"")
            late = await program.connect()  # what still comes is placed
            told = []

            async def heard(client: Client) -> None:
                assert await client.read_to_end() == b"MOVE\r\n"
                told.append(time.monotonic() - begun)

            first = asyncio.gather(*(heard(client) for client in (*clients, late)))
            await asyncio.sleep(1.5)
            assert (await program.call("PUT /healthcheck/fail"))[0] == 200  # changes nothing
            await first
            assert max(told) < 4.0
            assert max(told) - min(told) > 1.5  # not all at once
            assert await program.call("PUT /healthcheck/ok") == (200, "ready\n")
            assert await ping(program) == b"PONG\r\n"
            again = await program.connect()
            again.send(b"M 1\r\n")
            assert await again.read_line() == b"M 1\r\n"

    asyncio.run(play())


def test_ok_stops_the_moves_that_are_left(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (program, _):
            clients = [await program.connect() for _ in range(40)]
            await program.call("PUT /healthcheck/fail")
            await clients[0].read_to_end()
            await program.call("PUT /healthcheck/ok")
            before = (await program.metrics())["concurrent"]
            assert before > 20
            await asyncio.sleep(0.5)
            assert (await program.metrics())["concurrent"] == before

    asyncio.run(play())


def test_a_client_that_never_reads_does_not_outlive_a_drain(tmp_path: Path) -> None:
    """Without the force at the end its `MOVE` waits for ever behind the lines that it does not read."""

    async def play() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (program, _):
            client = await program.connect()
            client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            for _ in range(4000):
                server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            begun = time.monotonic()
            await program.call("PUT /healthcheck/fail")
            async with asyncio.timeout(4.0):
                while (await program.metrics())["concurrent"]:
                    await asyncio.sleep(0.1)
            assert time.monotonic() - begun < 4.0

    asyncio.run(play())


def test_a_stop_in_a_drain_ends_it_and_ok_is_refused_meanwhile(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (program, _):
            client = await program.connect()
            await program.call("PUT /healthcheck/fail")
            program.process.terminate()
            await program.wait_for_log("stopping with")
            status, text = await program.call("PUT /healthcheck/ok")
            assert status == 409 and "stopping" in text
            assert (await program.call("GET /healthcheck"))[0] == 503
            assert await client.read_to_end() == b"MOVE\r\n"
            async with asyncio.timeout(TIMEOUT_S):
                assert await program.process.wait() == 0

    asyncio.run(play())


def test_a_reload_in_a_drain_leaves_it(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (program, discovery):
            await program.call("PUT /healthcheck/fail")
            moved = {**json.loads(program.config_with_discovery(discovery)), "management": "127.0.0.1:9"}
            await program.reload(json.dumps(moved))
            assert any("change at a restart only: management" in line for line in program.log)
            assert (await program.call("GET /healthcheck"))[0] == 503
            assert (await program.call("PUT /healthcheck/ok"))[0] == 200

    asyncio.run(play())


def test_figures_are_what_scripted_peers_saw(tmp_path: Path) -> None:
    """Random histories of requests, failures, drains and leaving clients."""

    async def play() -> None:
        rng = random.Random(5)
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (program, _):
            heard = {"UP": 0, "BUSY": 0, "FAILED": 0}
            standing: list[Client] = []
            for step in range(60):
                server.mode = rng.choice(["up"] * 6 + ["ERR", "BUSY", "reset"])
                client = await program.open(kind="pay")
                word = (await client.read_line()).split()[0].decode()
                heard[word] += 1
                if word == "UP":
                    standing.append(client)
                if rng.random() < 0.3 and standing:
                    standing.pop(rng.randrange(len(standing))).writer.close()
                if step == 30:
                    await program.call("PUT /healthcheck/fail")
                    await asyncio.sleep(0.05)
                    await program.call("PUT /healthcheck/ok")
            async with asyncio.timeout(TIMEOUT_S):
                while (figures := await program.metrics())["concurrent"] != len(standing):
                    await asyncio.sleep(0.02)
            seen = {name: figures[f"replies.pay.{name}"] for name in ("success", "overload", "error")}
            assert seen == {"success": heard["UP"], "overload": heard["BUSY"], "error": heard["FAILED"]}
            assert heard["UP"] and heard["BUSY"] + heard["FAILED"]
            assert figures["dispatches"] == len(server.first_lines)
            assert figures["replies.any.success"] == 0
            assert figures["targets"] == 1
            program.process.send_signal(10)  # SIGUSR1
            line = await program.wait_for_log("counters ")
            assert f"answers.served={heard['UP']} " in line
            for each in standing:
                each.writer.close()

    asyncio.run(play())


def test_a_drained_server_is_a_disabled_target(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), management=True) as (
            program,
            discovery,
        ):
            figures = await program.metrics()
            assert (figures["targets"], figures["targets_disabled"]) == (2, 0)
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")
            figures = await program.metrics()
            assert (figures["targets"], figures["targets_disabled"]) == (2, 1)

    asyncio.run(play())


def test_without_a_management_address_nothing_of_it_is_imported_or_open(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (program, _):
            await program.connect()
            maps = Path(f"/proc/{program.process.pid}/net/tcp").read_text()
            inodes = {os.readlink(each) for each in Path(f"/proc/{program.process.pid}/fd").iterdir()}
            listening = [line.split()[9] for line in maps.splitlines()[1:] if line.split()[3] == "0A"]
            assert sum(f"socket:[{inode}]" in inodes for inode in listening) == 1

    asyncio.run(play())
    script = (
        "import sys, switchhub.__main__, switchhub.net.listener;"
        f"print([name for name in sys.modules if name.startswith({MANAGEMENT!r})])"
    )
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout == "[]\n", done.stderr


def test_what_is_being_set_up_when_a_drain_begins_comes_up_and_is_moved(tmp_path: Path) -> None:
    async def play() -> None:
        server = FakeServer("a", "silent")
        async with running_balancer(tmp_path, server, management=True) as (program, _):
            client = await program.open()
            async with asyncio.timeout(TIMEOUT_S):
                while not server.first_lines:
                    await asyncio.sleep(0.01)
            await program.call("PUT /healthcheck/fail")
            begun = time.monotonic()
            server.streams[0][1].write(b"UP a-1\r\n")
            assert await client.read_line() == b"UP a-1\r\n"
            assert await client.read_to_end() == b"MOVE\r\n"
            assert time.monotonic() - begun < 4.0

    asyncio.run(play())


def test_calls_are_answered_with_every_descriptor_in_use(tmp_path: Path) -> None:
    """Clients hold all that they may, and callers that say nothing come on top. Without descriptors set apart
    the caller waits until some of them go."""

    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True, sockets=160) as (program, _):
            port = int((await program.wait_for_log("management on")).rsplit(":", 1)[1])
            clients = [await program.client() for _ in range(200)]
            for number, client in enumerate(clients):
                client.send(b"OPEN %08x key c=any,t=acme,d=2000\r\n" % number)
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CONNECTIONS)]
            await asyncio.sleep(0.3)
            for _ in range(5):
                begun = time.monotonic()
                assert (await program.call("GET /healthcheck"))[0] == 200
                assert (await program.metrics())["concurrent"] >= 10
                assert time.monotonic() - begun < 1.0
            for client in clients:
                client.writer.close()
            for _, writer in silent:
                writer.close()

    asyncio.run(play())
