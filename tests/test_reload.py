"""SIGHUP: the configuration is reloaded while the program serves."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.harness import FakeDiscovery, FakeServer, running_balancer, settings


def test_the_watch_switches_to_the_new_discovery_and_connections_stay(tmp_path: Path) -> None:
    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, old):
            async with asyncio.timeout(10):
                while not old.queries:
                    await asyncio.sleep(0.01)
            old.version = 900  # higher than the versions of the new services
            established = [await program.connect() for _ in range(6)]
            for number in range(3):  # repeatedly, while clients connect
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
                assert other.queries[0] == ""  # the full list, at once
                assert other.queries[1].startswith("index=1&")  # then a watch from its version
                assert old.calls == calls
                old = other
            await program.wait_for_log("server a draining")
            for client in established:
                if client.up_line.startswith(b"UP a-"):
                    assert await client.read_to_end() == b"MOVE\r\n"
                    continue
                client.send(b"M 2\r\n")
                assert await client.read_line() == b"M 2\r\n"
            assert program.process.returncode is None

    asyncio.run(run())


@pytest.mark.parametrize("text", ["", "{", "[]", '{"name": "n0"}'])
def test_an_unusable_file_changes_nothing(tmp_path: Path, text: str) -> None:
    async def run() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, FakeServer("b")) as (program, discovery):
            established = await program.connect()
            await program.reload(text)
            await program.wait_for_log("reload: the old configuration stays")
            established.send(b"M 1\r\n")
            assert await established.read_line() == b"M 1\r\n"
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")
            await program.connect()

    asyncio.run(run())


def test_a_missing_file_changes_nothing(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (program, _):
            program.config_file.unlink()
            program.process.send_signal(signal.SIGHUP)
            await program.wait_for_log("reload: the old configuration stays")
            await program.connect()

    asyncio.run(run())


def test_a_new_discovery_that_fails_at_first_is_called_again(tmp_path: Path) -> None:
    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, _):
            new = FakeDiscovery(servers)
            new.failures_left = 2
            await new.start()
            new.states["b"] = "Terminating"
            await program.reload(program.config_with_discovery(new))
            await program.wait_for_log("discovery: DiscoveryError: status 503")
            await program.wait_for_log("server b draining")
            await program.connect()

    asyncio.run(run())


def test_sighup_right_after_sigterm_does_not_disturb_the_stop(tmp_path: Path) -> None:
    async def run() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (program, _):
            client = await program.connect()
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await client.read_to_end() == b"MOVE\r\n"
            assert await program.stop() == 0

    asyncio.run(run())


def test_a_new_discovery_that_does_not_answer_is_called_again_soon(tmp_path: Path) -> None:
    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, _):
            new = FakeDiscovery(servers)
            new.unanswered_calls = 1
            await new.start()
            new.states["b"] = "Terminating"
            await program.reload(program.config_with_discovery(new))
            async with asyncio.timeout(4):  # then the balancer counts as knowing the list
                await program.wait_for_log("server b draining")

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["ask", "push"])
def test_the_list_is_watched_from_the_start_even_if_it_is_pushed(tmp_path: Path, mode: str) -> None:
    """With pushed lists the decision module requests no watch; the balancer must watch all the same."""

    async def run() -> None:
        deployment_settings = settings(Discovery=mode)
        async with running_balancer(
            tmp_path,
            FakeServer("a"),
            FakeServer("b"),
            deployment_settings=deployment_settings,
            discovery_failures=1,
        ) as (program, discovery):
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")

    asyncio.run(run())


def test_idle_clients_that_use_up_descriptors_do_not_block_discovery(tmp_path: Path) -> None:
    """Idle clients take all descriptors while discovery fails; the balancer must still reach discovery when
    it answers again, and at a new address after SIGHUP."""
    sockets = 96

    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b"), FakeServer("c")]
        async with running_balancer(tmp_path, *servers, sockets=sockets, discovery_failures=2) as (
            program,
            discovery,
        ):
            filling = True

            async def idle() -> None:
                while filling:  # a client whose connection is closed connects again
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
                        await reader.read()
                        writer.close()
                    except OSError:
                        await asyncio.sleep(0.01)

            idle_clients = [asyncio.create_task(idle()) for _ in range(2 * sockets)]
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
            for each in idle_clients:
                each.cancel()
            await asyncio.wait(idle_clients)
            await other.close()

    asyncio.run(run())
