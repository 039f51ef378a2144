"""Management of a real balancer process: drains, metrics, and nothing of it without a management address."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from switchhub.management.server import MAX_CONNECTIONS
from tests.harness import ROOT, TIMEOUT_S, BalancerProcess, Client, FakeServer, running_balancer, settings

MANAGEMENT_PACKAGE = "switchhub.management"


async def ping(balancer: BalancerProcess) -> bytes:
    client = await balancer.client()
    client.send(b"PING\r\n")
    answer = await client.read_line()
    client.writer.close()
    return answer


def test_a_drain_rejects_pings_and_spreads_moves_until_ok_cancels_it(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (balancer, _):
            assert await ping(balancer) == b"PONG\r\n"
            assert await balancer.call("GET /healthcheck") == (200, "ready\n")
            clients = [await balancer.connect() for _ in range(30)]
            started_at = time.monotonic()
            assert (await balancer.call("PUT /healthcheck/fail"))[0] == 200
            assert (await balancer.call("GET /healthcheck"))[0] == 503
            assert await ping(balancer) not in (b"PONG\r\n", b"")
            late = await balancer.connect()  # clients that still arrive are served
            move_times = []

            async def record_move(client: Client) -> None:
                assert await client.read_to_end() == b"MOVE\r\n"
                move_times.append(time.monotonic() - started_at)

            moves = asyncio.gather(*(record_move(client) for client in (*clients, late)))
            await asyncio.sleep(1.5)
            # A repeated request changes nothing.
            assert (await balancer.call("PUT /healthcheck/fail"))[0] == 200
            await moves
            assert max(move_times) < 4.0
            assert max(move_times) - min(move_times) > 1.5  # not all at once
            assert await balancer.call("PUT /healthcheck/ok") == (200, "ready\n")
            assert await ping(balancer) == b"PONG\r\n"
            client = await balancer.connect()
            client.send(b"M 1\r\n")
            assert await client.read_line() == b"M 1\r\n"

    asyncio.run(run_test())


def test_ok_stops_the_remaining_moves(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (balancer, _):
            clients = [await balancer.connect() for _ in range(40)]
            await balancer.call("PUT /healthcheck/fail")
            await clients[0].read_to_end()
            await balancer.call("PUT /healthcheck/ok")
            before = (await balancer.metrics())["concurrent"]
            assert before > 20
            await asyncio.sleep(0.5)
            assert (await balancer.metrics())["concurrent"] == before

    asyncio.run(run_test())


def test_a_client_that_never_reads_does_not_outlive_a_drain(tmp_path: Path) -> None:
    """Connections left at the end of a drain are closed. Without that, this client's `MOVE` would wait
    forever behind the lines that it does not read."""

    async def run_test() -> None:
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (balancer, _):
            client = await balancer.connect()
            client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            for _ in range(4000):
                server.streams[0][1].write(b"x" * 2000 + b"\r\n")
            started_at = time.monotonic()
            await balancer.call("PUT /healthcheck/fail")
            async with asyncio.timeout(4.0):
                while (await balancer.metrics())["concurrent"]:
                    await asyncio.sleep(0.1)
            assert time.monotonic() - started_at < 4.0

    asyncio.run(run_test())


def test_a_stop_during_a_drain_takes_effect_and_ok_is_refused(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (balancer, _):
            client = await balancer.connect()
            await balancer.call("PUT /healthcheck/fail")
            balancer.process.terminate()
            await balancer.wait_for_log("stopping with")
            status, text = await balancer.call("PUT /healthcheck/ok")
            assert status == 409 and "stopping" in text
            assert (await balancer.call("GET /healthcheck"))[0] == 503
            assert await client.read_to_end() == b"MOVE\r\n"
            async with asyncio.timeout(TIMEOUT_S):
                assert await balancer.process.wait() == 0

    asyncio.run(run_test())


def settings_with_deadline(deadline_ms: float) -> dict[str, Any]:
    """Return the settings of the tests' deployment with this deadline for every class."""
    classes = [{**each, "Deadline": deadline_ms} for each in settings()["Classes"]]
    return settings(Classes=classes)


def test_a_stop_soon_after_a_drain_moves_every_client_before_the_process_ends(tmp_path: Path) -> None:
    """A stop that lasts for less time than the drain's moves cut off those that were not yet due."""

    async def run_test() -> None:
        deadline_s = 1.2
        deployment_settings = settings_with_deadline(deadline_s * 1000)
        async with running_balancer(
            tmp_path, FakeServer("a"), deployment_settings=deployment_settings, management=True
        ) as (balancer, _):
            clients = [await balancer.connect() for _ in range(40)]
            ends = [asyncio.create_task(client.read_to_end()) for client in clients]
            await balancer.call("PUT /healthcheck/fail")
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            balancer.process.terminate()
            async with asyncio.timeout(deadline_s + 0.7):  # then the process may be killed
                await balancer.process.wait()
            assert await asyncio.gather(*ends) == [b"MOVE\r\n"] * len(clients)

    asyncio.run(run_test())


def test_a_reload_during_a_drain_does_not_end_it(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True) as (balancer, discovery):
            await balancer.call("PUT /healthcheck/fail")
            changed_config = {
                **json.loads(balancer.config_with_discovery(discovery)),
                "management": "127.0.0.1:9",
            }
            await balancer.reload(json.dumps(changed_config))
            assert any("change at a restart only: management" in line for line in balancer.log)
            assert (await balancer.call("GET /healthcheck"))[0] == 503
            assert (await balancer.call("PUT /healthcheck/ok"))[0] == 200

    asyncio.run(run_test())


def test_metrics_agree_with_what_clients_and_servers_saw(tmp_path: Path) -> None:
    """A random history of requests, failed set-ups, a drain and clients that leave."""

    async def run_test() -> None:
        rng = random.Random(5)
        server = FakeServer("a")
        async with running_balancer(tmp_path, server, management=True) as (balancer, _):
            answers = {"UP": 0, "BUSY": 0, "FAILED": 0}
            connected: list[Client] = []
            for step in range(60):
                server.mode = rng.choice(["up"] * 6 + ["ERR", "BUSY", "reset"])
                client = await balancer.open(kind="pay")
                answer = (await client.read_line()).split()[0].decode()
                answers[answer] += 1
                if answer == "UP":
                    connected.append(client)
                if rng.random() < 0.3 and connected:
                    connected.pop(rng.randrange(len(connected))).writer.close()
                if step == 30:
                    await balancer.call("PUT /healthcheck/fail")
                    await asyncio.sleep(0.05)
                    await balancer.call("PUT /healthcheck/ok")
            async with asyncio.timeout(TIMEOUT_S):
                while (metrics := await balancer.metrics())["concurrent"] != len(connected):
                    await asyncio.sleep(0.02)
            outcomes = {name: metrics[f"replies.pay.{name}"] for name in ("success", "overload", "error")}
            assert outcomes == {
                "success": answers["UP"],
                "overload": answers["BUSY"],
                "error": answers["FAILED"],
            }
            assert answers["UP"] and answers["BUSY"] + answers["FAILED"]
            assert metrics["dispatches"] == len(server.first_lines)
            assert metrics["replies.any.success"] == 0
            assert metrics["targets"] == 1
            balancer.process.send_signal(10)  # SIGUSR1
            line = await balancer.wait_for_log("counters ")
            assert f"answers.served={answers['UP']} " in line
            for client in connected:
                client.writer.close()

    asyncio.run(run_test())


def test_a_drained_server_is_a_disabled_target(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), FakeServer("b"), management=True) as (
            balancer,
            discovery,
        ):
            metrics = await balancer.metrics()
            assert (metrics["targets"], metrics["targets_disabled"]) == (2, 0)
            await discovery.change("b", "Terminating")
            await balancer.wait_for_log("server b draining")
            metrics = await balancer.metrics()
            assert (metrics["targets"], metrics["targets_disabled"]) == (2, 1)

    asyncio.run(run_test())


def test_without_a_management_address_its_modules_are_not_imported_nor_sockets_opened(tmp_path: Path) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a")) as (balancer, _):
            await balancer.connect()
            tcp_table = Path(f"/proc/{balancer.process.pid}/net/tcp").read_text()
            links = {os.readlink(each) for each in Path(f"/proc/{balancer.process.pid}/fd").iterdir()}
            # Inodes of sockets in state 0A, listening.
            listening = [line.split()[9] for line in tcp_table.splitlines()[1:] if line.split()[3] == "0A"]
            assert sum(f"socket:[{inode}]" in links for inode in listening) == 1

    asyncio.run(run_test())
    script = (
        "import sys, switchhub.__main__, switchhub.net.listener;"
        f"print([name for name in sys.modules if name.startswith({MANAGEMENT_PACKAGE!r})])"
    )
    result = subprocess.run([sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout == "[]\n", result.stderr


def test_a_set_up_under_way_when_a_drain_begins_is_completed_and_then_moved(tmp_path: Path) -> None:
    async def run_test() -> None:
        server = FakeServer("a", "silent")
        async with running_balancer(tmp_path, server, management=True) as (balancer, _):
            client = await balancer.open()
            async with asyncio.timeout(TIMEOUT_S):
                while not server.first_lines:
                    await asyncio.sleep(0.01)
            await balancer.call("PUT /healthcheck/fail")
            started_at = time.monotonic()
            server.streams[0][1].write(b"UP a-1\r\n")
            assert await client.read_line() == b"UP a-1\r\n"
            assert await client.read_to_end() == b"MOVE\r\n"
            assert time.monotonic() - started_at < 4.0

    asyncio.run(run_test())


def test_management_requests_are_answered_with_every_other_descriptor_in_use(tmp_path: Path) -> None:
    """Clients use all descriptors that they may, and idle management connections come on top. Without
    reserved descriptors a management request would wait until some of the clients leave."""

    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), management=True, sockets=160) as (balancer, _):
            port = int((await balancer.wait_for_log("management on")).rsplit(":", 1)[1])
            clients = [await balancer.client() for _ in range(200)]
            for number, client in enumerate(clients):
                client.send(b"OPEN %08x key c=any,t=acme,d=2000\r\n" % number)
            silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CONNECTIONS)]
            await asyncio.sleep(0.3)
            for _ in range(5):
                started_at = time.monotonic()
                assert (await balancer.call("GET /healthcheck"))[0] == 200
                assert (await balancer.metrics())["concurrent"] >= 10
                assert time.monotonic() - started_at < 1.0
            for client in clients:
                client.writer.close()
            for _, writer in silent:
                writer.close()

    asyncio.run(run_test())
