"""SIGHUP: the configuration is read again while the program serves."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.rig import Discovery, Server, running, settings


def test_the_watch_moves_to_the_new_discovery_and_connections_stand(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [Server("a"), Server("b")]
        async with running(tmp_path, *servers) as (program, old):
            async with asyncio.timeout(10):
                while not old.asked:
                    await asyncio.sleep(0.01)
            old.version = 900  # the new one's versions are its own, and lower
            standing = [await program.up() for _ in range(6)]
            for number in range(3):  # more than once, while clients come
                other = Discovery(servers)
                await other.start()
                other.states["a"] = "Ready" if number < 2 else "Terminating"
                calls = old.calls
                await program.reload(program.moved(other))
                client = await program.up()
                client.send(b"M 1\r\n")
                assert await client.line() == b"M 1\r\n"
                await program.logged(f"discovery at {other.address}")
                async with asyncio.timeout(10):
                    while len(other.asked) < 2:
                        await asyncio.sleep(0.01)
                assert other.asked[0] == ""  # everything, at once
                assert other.asked[1].startswith("index=1&")  # and from there on a watch
                assert old.calls == calls
                old = other
            await program.logged("server a draining")
            for client in standing:
                if client.receipt.startswith(b"UP a-"):
                    assert await client.end() == b"MOVE\r\n"
                    continue
                client.send(b"M 2\r\n")
                assert await client.line() == b"M 2\r\n"
            assert program.process.returncode is None

    asyncio.run(play())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"name": "n0"}'])
def test_a_file_that_does_not_serve_changes_nothing(tmp_path: Path, text: str) -> None:
    async def play() -> None:
        server = Server("a")
        async with running(tmp_path, server, Server("b")) as (program, discovery):
            standing = await program.up()
            await program.reload(text)
            await program.logged("reload: the old configuration stays")
            standing.send(b"M 1\r\n")
            assert await standing.line() == b"M 1\r\n"
            await discovery.change("b", "Terminating")
            await program.logged("server b draining")
            await program.up()

    asyncio.run(play())


def test_a_missing_file_changes_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path, Server("a")) as (program, _):
            program.file.unlink()
            program.process.send_signal(signal.SIGHUP)
            await program.logged("reload: the old configuration stays")
            await program.up()

    asyncio.run(play())


def test_a_new_discovery_that_is_not_there_yet_is_asked_again(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [Server("a"), Server("b")]
        async with running(tmp_path, *servers) as (program, _):
            later = Discovery(servers)
            later.fails = 2
            await later.start()
            later.states["b"] = "Terminating"
            await program.reload(program.moved(later))
            await program.logged("discovery: DiscoveryError: status 503")
            await program.logged("server b draining")
            await program.up()

    asyncio.run(play())


def test_sighup_beside_sigterm_still_stops_in_order(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path, Server("a")) as (program, _):
            client = await program.up()
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await client.end() == b"MOVE\r\n"
            assert await program.stop() == 0

    asyncio.run(play())


def test_a_new_discovery_that_says_nothing_is_asked_again_soon(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [Server("a"), Server("b")]
        async with running(tmp_path, *servers) as (program, _):
            later = Discovery(servers)
            later.mute = 1
            await later.start()
            later.states["b"] = "Terminating"
            await program.reload(program.moved(later))
            async with asyncio.timeout(4):  # from when on what it has to tell counts as told
                await program.logged("server b draining")

    asyncio.run(play())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_list_is_watched_from_the_start_also_where_it_is_pushed(tmp_path: Path, mode: str) -> None:
    """Found on a variant of a site: pushed lists never reached a balancer that had not to ask for them."""

    async def play() -> None:
        told = settings(Discovery=mode)
        async with running(tmp_path, Server("a"), Server("b"), told=told, fails=1) as (program, discovery):
            await discovery.change("b", "Terminating")
            await program.logged("server b draining")

    asyncio.run(play())


def test_idle_clients_that_fill_the_descriptors_keep_none_from_discovery(tmp_path: Path) -> None:
    """While discovery is down they take all there are; at its return, and after SIGHUP, it has its own."""
    sockets = 96

    async def play() -> None:
        servers = [Server("a"), Server("b"), Server("c")]
        async with running(tmp_path, *servers, sockets=sockets, fails=2) as (program, discovery):
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
            await program.logged("server b draining")
            other = Discovery(servers)
            await other.start()
            other.states.update(b="Terminating", c="Terminating")
            await program.reload(program.moved(other))
            await program.logged("server c draining")
            assert (await program.up()).receipt.startswith(b"UP a-")
            filling = False
            for each in crowd:
                each.cancel()
            await asyncio.wait(crowd)
            await other.close()

    asyncio.run(play())
