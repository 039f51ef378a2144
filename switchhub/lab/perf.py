"""`lab perf`: measures what the balancer itself costs, compared with direct connections to the same servers.

Each figure stands beside its ratio to the direct path, or to another checkout, of the same run; figures of
different runs are not compared.

Placements are timed in a process of their own, so that two checkouts never share modules. For the figures on
sockets, one process runs the fake servers and this one the clients. The balancer is the real program, pinned
to one core if the machine has at least four.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from switchhub.lab.live.runner import ROOT, Runner, free_ports
from switchhub.lab.scenario import Scenario, parse_scenario

Address = tuple[str, int]
SERVER_COUNTS = (10, 100, 1000, 5000)  # at which a placement is timed
REPEATS = 5  # measurements of each rate, of which the median counts


def measure_placement(checkout: Path, servers: int, quick: bool) -> float:
    """Microseconds that a checkout's decision module takes to place, establish and end one connection.

    The median of the repetitions that `placement.py` makes, with this many servers. Raises CalledProcessError
    if it fails."""
    rounds = max(20, (4000 if quick else 20_000) // servers)
    script = Path(__file__).with_name("placement.py")
    command = [sys.executable, str(script), str(checkout), str(servers), str(rounds)]
    out = subprocess.run(command, capture_output=True, text=True, check=True)
    return round(float(out.stdout), 2)


def _scenario(standing_connections: int) -> Scenario:
    """Eight servers without delay or cost, and a balancer with three sockets for each connection."""
    return parse_scenario(
        {
            "name": "perf",
            "shows": "sound servers that cost nothing, for lab perf",
            "seconds": 3600.0,
            "balancers": {"count": 1, "sockets": max(8192, 3 * standing_connections)},
            "network": {"within_ms": 0.0, "between_ms": 0.0},
            "clients": {"load": 0.0, "standing": 0.0},
            "servers": [{"name": "s", "count": 8, "cores": 64, "message_ms": 0.0, "setup_work_ms": 0.0}],
            "classes": [{"name": "c", "load": 1.0, "deadline_ms": 20_000.0}],
        }
    )


class BalancerUnderTest:
    """Fake servers, discovery and one real balancer; the clients are the caller's."""

    def __init__(
        self, checkout: Path, standing_connections: int, folder: Path, with_management: bool = False
    ) -> None:
        self.runner = runner = Runner(_scenario(standing_connections), 1, checkout, folder)
        self.management = (runner.host, free_ports(runner.host, 1)[0])
        if with_management:
            runner.balancer_environment["BALANCER_MANAGEMENT"] = "{}:{}".format(*self.management)

    async def start(self) -> float:
        """Start every process; return the seconds from the balancer's start to its first `PONG`."""
        runner = self.runner
        (runner.folder / "plan.json").write_text(json.dumps(runner.plan), encoding="utf-8")
        for name in ("servers", "discovery"):
            await runner.start_lab_process(name)
            await runner.wait_until_ready(name, 20.0)
        started_at = time.perf_counter()
        await runner.start_balancer(0)
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) >= 4:
            os.sched_setaffinity(runner.balancers[0].pid, cores[-1:])
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(runner.host, runner.plan["balancers"][0])
                writer.write(b"PING\r\n")
                if await reader.readline() == b"PONG\r\n":
                    writer.close()
                    return time.perf_counter() - started_at
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Stop every process."""
        await self.runner.stop_all()

    @property
    def balancer_addresses(self) -> list[Address]:
        """The balancer's client address, the only one of the list."""
        return [(self.runner.host, self.runner.plan["balancers"][0])]

    @property
    def server_addresses(self) -> list[Address]:
        """The servers' own addresses, for connections that bypass the balancer."""
        return [(self.runner.host, each[0]) for each in self.runner.plan["servers"].values()]

    def resident_bytes(self) -> int:
        """Resident memory of the balancer's process."""
        pid = self.runner.balancers[0].pid
        return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )


class MessageClient(asyncio.Protocol):
    """One client: opens a connection, then sends each message once the one before is answered.

    It sends no further message once `sends_messages` is False, and none at all if it is False from the start.
    Round trips are recorded in `round_trips`, in microseconds."""

    def __init__(self, name: str, sends_messages: bool, round_trips: HdrHistogram | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.established = self.loop.create_future()  # whether the set-up succeeded
        self.answered_messages = 0
        self._name, self.sends_messages, self._round_trips = name, sends_messages, round_trips
        self._sent_at = 0.0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Send the request line."""
        self.transport = transport
        transport.write(f"OPEN {self._name} {self._name} c=c,t=one,d=20000,h=1\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Handle the answer to the request, and after that to each message."""
        if not self.established.done():
            self.established.set_result(data.startswith(b"UP "))
            if self.sends_messages:
                self._send_message()
            return
        if data.endswith(b"\r\n"):
            self.answered_messages += 1
            if self._round_trips is not None:
                self._round_trips.record_value(max(1, int((time.perf_counter() - self._sent_at) * 1e6)))
            if self.sends_messages:
                self._send_message()

    def _send_message(self) -> None:
        self._sent_at = time.perf_counter()
        self.transport.write(b"M 1\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        """A connection that ends before its answer was not set up."""
        if not self.established.done():
            self.established.set_result(False)


class ConnectionIds:
    """Hands out connection ids, each one once."""

    def __init__(self) -> None:
        self._last = 0

    def next_id(self) -> str:
        """An id that has not been handed out before."""
        self._last += 1
        return f"{self._last:016x}"


async def measure_message_rate(
    addresses: list[Address], ids: ConnectionIds, clients: int, seconds: float
) -> tuple[float, HdrHistogram]:
    """Messages a second, and round trips in microseconds, of clients that each wait for every answer.

    Raises RuntimeError if a connection can't be set up."""
    loop = asyncio.get_running_loop()
    round_trips = HdrHistogram(1, 60_000_000, 3)
    message_clients: list[MessageClient] = []
    for number in range(clients):
        _, client = await loop.create_connection(
            lambda: MessageClient(ids.next_id(), True, round_trips), *addresses[number % len(addresses)]
        )
        message_clients.append(client)
    if not all(await asyncio.gather(*(each.established for each in message_clients))):
        raise RuntimeError(
            "lab perf: a connection was refused or failed, so the message rate is not measured"
        )
    await asyncio.sleep(0.2)
    before, started_at = sum(each.answered_messages for each in message_clients), time.perf_counter()
    round_trips.reset()
    await asyncio.sleep(seconds)
    rate = (sum(each.answered_messages for each in message_clients) - before) / (
        time.perf_counter() - started_at
    )
    for each in message_clients:
        each.sends_messages = False
        each.transport.close()
    return rate, round_trips


async def measure_setup_rate(
    addresses: list[Address], ids: ConnectionIds, concurrency: int, seconds: float
) -> float:
    """Connections set up and closed a second, by this many clients at a time; failed set-ups don't count."""
    loop = asyncio.get_running_loop()
    completed = 0
    until = time.perf_counter() + seconds

    async def set_up_and_close(number: int) -> None:
        nonlocal completed
        while time.perf_counter() < until:
            _, client = await loop.create_connection(
                lambda: MessageClient(ids.next_id(), False, None),
                *addresses[(number + completed) % len(addresses)],
            )
            established = await client.established  # before `+=`: other tasks add to `completed` meanwhile
            completed += bool(established)
            client.transport.close()

    started_at = time.perf_counter()
    await asyncio.gather(*(set_up_and_close(number) for number in range(concurrency)))
    return completed / (time.perf_counter() - started_at)


async def measure_memory_per_connection(balancer: BalancerUnderTest, ids: ConnectionIds, count: int) -> float:
    """Bytes of the balancer's resident memory for each idle connection, measured with `count` of them."""
    loop = asyncio.get_running_loop()
    before = balancer.resident_bytes()
    message_clients = []
    for number in range(count):
        _, client = await loop.create_connection(
            lambda: MessageClient(ids.next_id(), False, None), *balancer.balancer_addresses[0]
        )
        message_clients.append(client)
        if number % 100 == 99:
            await asyncio.gather(*(each.established for each in message_clients[-100:]))
    await asyncio.gather(*(each.established for each in message_clients))
    after = balancer.resident_bytes()
    for each in message_clients:
        each.transport.close()
    return (after - before) / count


async def measure_on_sockets(checkout: Path, quick: bool, folder: Path) -> dict[str, Any]:
    """One checkout's figures on sockets.

    Direct connections and those through its balancer take turns, so that both meet the same state of the
    machine."""
    count, seconds, repeats = (500, 0.5, 1) if quick else (3000, 1.5, REPEATS)
    balancer, ids = BalancerUnderTest(checkout, count, folder), ConnectionIds()
    try:
        figures: dict[str, Any] = {"start_s": round(await balancer.start(), 3)}
        figures["idle_mb"] = round(balancer.resident_bytes() / 1e6, 1)
        rates: dict[str, list[float]] = {}
        direct_times, through_times = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        for _ in range(repeats):
            for name, addresses, times in (
                ("direct", balancer.server_addresses, direct_times),
                ("through", balancer.balancer_addresses, through_times),
            ):
                rate, round_trips = await measure_message_rate(addresses, ids, 20, seconds)
                rates.setdefault(f"lines_{name}", []).append(rate)
                times.add(round_trips)
                rates.setdefault(f"setups_{name}", []).append(
                    await measure_setup_rate(addresses, ids, 20, seconds)
                )
        figures.update({name: round(median(each)) for name, each in rates.items()})
        figures["lines_ratio"] = round(figures["lines_through"] / figures["lines_direct"], 3)
        figures["setups_ratio"] = round(figures["setups_through"] / figures["setups_direct"], 3)
        for each in (50.0, 99.0, 99.9):
            added = through_times.get_value_at_percentile(each) - direct_times.get_value_at_percentile(each)
            figures[f"added_p{each:g}_us"] = added
        figures["bytes_per_connection"] = round(await measure_memory_per_connection(balancer, ids, count))
        return figures
    finally:
        await balancer.stop()


def run(against: Path | None = None, quick: bool = False) -> dict[str, Any]:
    """All figures of this checkout under "this", and of another one, measured in turn, under "against"."""
    checkouts = {"this": ROOT, **({"against": against} if against is not None else {})}
    figures: dict[str, Any] = {name: {} for name in checkouts}
    for servers in SERVER_COUNTS[:2] if quick else SERVER_COUNTS:
        for name, checkout in checkouts.items():
            figures[name][f"placement_{servers}_us"] = measure_placement(checkout, servers, quick)
    for name, checkout in checkouts.items():
        with tempfile.TemporaryDirectory(prefix="switchhub-lab-") as folder:
            figures[name].update(asyncio.run(measure_on_sockets(checkout, quick, Path(folder))))
    return figures


def format_figures(figures: dict[str, Any]) -> str:
    """The figures as a text table; with another checkout, also the ratio of this one's to its."""
    out = Table(box=None, pad_edge=False)
    out.add_column("figure")
    for name in figures:
        out.add_column(name, justify="right")
    if "against" in figures:
        out.add_column("this / against", justify="right")
    for key, value in figures["this"].items():
        cells = [f"{figures[name][key]:g}" for name in figures]
        if "against" in figures:
            other = figures["against"][key]
            cells.append(f"{value / other:.2f}" if other else "")
        out.add_row(key, *cells)
    text = io.StringIO()
    Console(file=text, width=100, no_color=True).print(out)
    return text.getvalue().rstrip()
