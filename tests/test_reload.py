"""SIGHUP: the configuration is read again while the program serves."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.harness import FakeDiscovery, FakeServer, running_balancer, settings


def test_the_watch_moves_to_the_new_discovery_and_connections_stand(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, old):
            async with asyncio.timeout(10):
                while not old.queries:
                    await asyncio.sleep(0.01)
            old.version = 900  # the new one's versions are its own, and lower
            standing = [await program.connect() for _ in range(6)]
            for number in range(3):  # more than once, while clients come
                other = FakeDiscovery(servers)
                await other.start()
                other.states["a"] = "Ready" if number < 2 else "Terminating"
                calls = old.calls
                await program.reload(program.config_with_discovery(other))
                client = await program.connect()
                client.send(b"M 1\r\n")
                assert await client.read_line() == b"M 1\r\n"
                await program.wait_for_log(f"discovery at {other.address}")
                async with asyncio.timeout(10):
                    while len(other.queries) < 2:
                        await asyncio.sleep(0.01)
                assert other.queries[0] == ""  # everything, at once
                assert other.queries[1].startswith("index=1&")  # and from there on a watch
                assert old.calls == calls
                old = other
            await program.wait_for_log("server a draining")
            for client in standing:
                if client.up_line.startswith(b"UP a-"):
                    assert await client.read_to_end() == b"MOVE\r\n"
                    continue
                client.send(b"M 2\r\n")
                assert await client.read_line() == b"M 2\r\n"
            assert program.process.returncode is None

    asyncio.run(play())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"name": "n0"}'])
def test_a_file_that_does_not_serve_changes_nothing(tmp_path: Path, text: str) -> None:
    async def play() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, FakeServer("b")) as (program, discovery):
            standing = await program.connect()
            await program.reload(text)
            await program.wait_for_log("reload: the old configuration stays")
            standing.send(b"M 1\r\n")
            assert await standing.read_line() == b"M 1\r\n"
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")
            await program.connect()

    asyncio.run(play())


def test_a_missing_file_changes_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (program, _):
            program.config_file.unlink()
            program.process.send_signal(signal.SIGHUP)
            await program.wait_for_log("reload: the old configuration stays")
            await program.connect()

    asyncio.run(play())


def test_a_new_discovery_that_is_not_there_yet_is_asked_again(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, _):
            later = FakeDiscovery(servers)
            later.fails = 2
            await later.start()
            later.states["b"] = "Terminating"
            await program.reload(program.config_with_discovery(later))
            await program.wait_for_log("discovery: DiscoveryError: status 503")
            await program.wait_for_log("server b draining")
            await program.connect()

    asyncio.run(play())


def test_sighup_beside_sigterm_still_stops_in_order(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (program, _):
            client = await program.connect()
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await client.read_to_end() == b"MOVE\r\n"
            assert await program.stop() == 0

    asyncio.run(play())


def test_a_new_discovery_that_says_nothing_is_asked_again_soon(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, _):
            later = FakeDiscovery(servers)
            later.unanswered_calls = 1
            await later.start()
            later.states["b"] = "Terminating"
            await program.reload(program.config_with_discovery(later))
            async with asyncio.timeout(4):  # from when on what it has to tell counts as told
                await program.wait_for_log("server b draining")

    asyncio.run(play())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_list_is_watched_from_the_start_also_where_it_is_pushed(tmp_path: Path, mode: str) -> None:
    """Found on a variant of a site: pushed lists never reached a balancer that had not to ask for them."""

    async def play() -> None:
        told = settings(Discovery=mode)
        async with running_balancer(
            tmp_path, FakeServer("a"), FakeServer("b"), deployment_settings=told, discovery_failures=1
        ) as (program, discovery):
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")

    asyncio.run(play())


def test_idle_clients_that_fill_the_descriptors_keep_none_from_discovery(tmp_path: Path) -> None:
    """While discovery is down they take all there are; at its return, and after SIGHUP, it has its own."""
    sockets = 96

    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b"), FakeServer("c")]
        async with running_balancer(tmp_path, *servers, sockets=sockets, discovery_failures=2) as (
            program,
            discovery,
        ):
            filling = True

            async def idle() -> None:
                while filling:  # who is given up comes again
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
                        await reader.read()
                        writer.close()
                    except OSError:
                        await asyncio.sleep(0.01)

            crowd = [asyncio.create_task(idle()) for _ in range(2 * sockets)]
            descriptors = Path(f"/proc/{program.process.pid}/fd")
            async with asyncio.timeout(10):
                while len(list(descriptors.iterdir())) < 0.8 * sockets:
                    await asyncio.sleep(0.01)
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")
            other = FakeDiscovery(servers)
            await other.start()
            other.states.update(b="Terminating", c="Terminating")
            await program.reload(program.config_with_discovery(other))
            await program.wait_for_log("server c draining")
            assert (await program.connect()).up_line.startswith(b"UP a-")
            filling = False
            for each in crowd:
                each.cancel()
            await asyncio.wait(crowd)
            await other.close()

    asyncio.run(play())
