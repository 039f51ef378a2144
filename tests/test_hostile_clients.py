"""Clients that stop half way or send very many fields: what they cost, and what others notice."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from switchhub.net.line_socket import LINE_MAX_BYTES
from tests.harness import CONNECTION_IDS, BalancerProcess, FakeServer, running_balancer

SOCKETS = 1024  # descriptors of the balancer
CLIENTS = 400  # with a connection to a server each, close to the limit on sockets
BURST = 20  # clients that connect at a time


def first_line(fields: int = 0, wait_ms: int = 2000) -> bytes:
    """Return a first line with so many fields that no balancer knows."""
    line = b"OPEN %016x key c=any,t=acme,d=%d" % (next(CONNECTION_IDS), wait_ms)
    line += b"".join(b",x%d=" % number for number in range(fields)) + b"\r\n"
    assert len(line) <= LINE_MAX_BYTES
    return line


def resident_bytes(balancer: BalancerProcess) -> int:
    """Return the resident memory of the process."""
    status = Path(f"/proc/{balancer.process.pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(line.split()[1]) * 1024


async def bytes_per_client(directory: Path, fields: int, server_mode: str) -> float:
    """Return the memory that each of `CLIENTS` clients with such first lines costs once its server has it."""
    server = FakeServer("a", server_mode)
    directory.mkdir()
    async with running_balancer(directory, server, sockets=SOCKETS) as (balancer, _):
        clients = [await balancer.open()]  # what the first request loads is not counted
        async with asyncio.timeout(10):
            while not server.first_lines:
                await asyncio.sleep(0.01)
            before = resident_bytes(balancer)
            while len(clients) <= CLIENTS:
                client = await balancer.client()
                client.send(first_line(fields, wait_ms=60_000))
                clients.append(client)
                while len(clients) - len(server.first_lines) > BURST:
                    await asyncio.sleep(0.01)
            while len(server.first_lines) < len(clients):
                await asyncio.sleep(0.01)
        for client in clients:
            if server_mode == "up":
                assert (await client.read_line()).startswith(b"UP ")
        growth = resident_bytes(balancer) - before
        for client in clients:
            client.writer.close()
        return growth / CLIENTS


@pytest.mark.parametrize("server_mode", ["up", "silent"])
def test_a_first_line_of_many_fields_costs_little_more_than_itself(tmp_path: Path, server_mode: str) -> None:
    """An object for each field, held until the connection ended, took 77 KB a client."""

    async def run_test() -> None:
        plain = await bytes_per_client(tmp_path / "plain", 0, server_mode)
        many = await bytes_per_client(tmp_path / "many", 580, server_mode)
        assert many <= plain + 4 * LINE_MAX_BYTES

    asyncio.run(run_test())


def test_clients_that_stop_half_way_at_the_socket_limit_cost_a_buffer_each_and_delay_nobody(
    tmp_path: Path,
) -> None:
    async def run_test() -> None:
        async with running_balancer(tmp_path, FakeServer("a"), sockets=SOCKETS) as (balancer, _):
            await balancer.connect()
            before = resident_bytes(balancer)
            half_lines = []
            for _ in range(SOCKETS):
                client = await balancer.client()
                client.send(first_line(580)[:-2])
                half_lines.append(client)
            for _ in range(50):
                asked_at = time.monotonic()
                assert (await balancer.connect()).up_line
                assert time.monotonic() - asked_at < 1.0
            assert resident_bytes(balancer) - before <= SOCKETS * 2 * LINE_MAX_BYTES
            for client in half_lines:
                client.writer.close()

    asyncio.run(run_test())
