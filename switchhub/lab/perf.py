"""`lab perf`: what the balancer itself costs, beside the same stand-ins with no balancer between.

Owns: the measurements, each with its ratio to the direct path of the same run, or to another checkout. Must
never: compare figures of two runs.

Placements are timed in a process of their own, so that two checkouts never share modules. On sockets one
process plays servers, one plays clients, and the balancer is the real program, pinned to one core where the
machine has enough of them.
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
SIZES = (10, 100, 1000, 5000)
REPEATS = 5


def placement(checkout: Path, servers: int, quick: bool) -> float:
    """Microseconds of pick, up and end at so many servers; the median of five."""
    rounds = max(20, (4000 if quick else 20_000) // servers)
    script = Path(__file__).with_name("placement.py")
    command = [sys.executable, str(script), str(checkout), str(servers), str(rounds)]
    out = subprocess.run(command, capture_output=True, text=True, check=True)
    return round(float(out.stdout), 2)


def _scenario(standing: int) -> Scenario:
    return parse_scenario(
        {
            "name": "perf",
            "shows": "sound servers that cost nothing, for lab perf",
            "seconds": 3600.0,
            "balancers": {"count": 1, "sockets": max(8192, 3 * standing)},
            "network": {"within_ms": 0.0, "between_ms": 0.0},
            "clients": {"load": 0.0, "standing": 0.0},
            "servers": [{"name": "s", "count": 8, "cores": 64, "message_ms": 0.0, "setup_work_ms": 0.0}],
            "classes": [{"name": "c", "load": 1.0, "deadline_ms": 20_000.0}],
        }
    )


class Stand:
    """Servers, discovery and one real balancer, without the lab's clients."""

    def __init__(self, checkout: Path, standing: int, folder: Path, managed: bool = False) -> None:
        self.runner = runner = Runner(_scenario(standing), 1, checkout, folder)
        self.management = (runner.host, free_ports(runner.host, 1)[0])
        if managed:
            runner.balancer_environment["BALANCER_MANAGEMENT"] = "{}:{}".format(*self.management)

    async def start(self) -> float:
        """Seconds that the balancer took from its start to its first `PONG`."""
        runner = self.runner
        (runner.folder / "plan.json").write_text(json.dumps(runner.plan), encoding="utf-8")
        for name in ("servers", "discovery"):
            await runner.start_lab_process(name)
            await runner.wait_until_ready(name, 20.0)
        begin = time.perf_counter()
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
                    return time.perf_counter() - begin
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """End every process."""
        await self.runner.stop_all()

    @property
    def through(self) -> list[Address]:
        """The balancer's address."""
        return [(self.runner.host, self.runner.plan["balancers"][0])]

    @property
    def direct(self) -> list[Address]:
        """The servers' own addresses."""
        return [(self.runner.host, each[0]) for each in self.runner.plan["servers"].values()]

    def memory(self) -> int:
        """Bytes that the balancer holds."""
        pid = self.runner.balancers[0].pid
        return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * os.sysconf(
            "SC_PAGE_SIZE"
        )


class Talker(asyncio.Protocol):
    """One client: opens, then sends a line each time the last was answered, until told to stop."""

    def __init__(self, name: str, talks: bool, times: HdrHistogram | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.up = self.loop.create_future()
        self.lines = 0
        self._name, self.talks, self._times = name, talks, times
        self._sent = 0.0
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """The first line."""
        self.transport = transport
        transport.write(f"OPEN {self._name} {self._name} c=c,t=one,d=20000,h=1\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """`UP`, or the answer to a line."""
        if not self.up.done():
            self.up.set_result(data.startswith(b"UP "))
            if self.talks:
                self._say()
            return
        if data.endswith(b"\r\n"):
            self.lines += 1
            if self._times is not None:
                self._times.record_value(max(1, int((time.perf_counter() - self._sent) * 1e6)))
            if self.talks:
                self._say()

    def _say(self) -> None:
        self._sent = time.perf_counter()
        self.transport.write(b"M 1\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        if not self.up.done():
            self.up.set_result(False)


class Names:
    """Ids that no connection had before."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> str:
        """Another one."""
        self._last += 1
        return f"{self._last:016x}"


async def lines(
    ports: list[Address], names: Names, clients: int, seconds: float
) -> tuple[float, HdrHistogram]:
    """Lines a second and round trips of so many clients that each wait for their answer."""
    loop = asyncio.get_running_loop()
    times = HdrHistogram(1, 60_000_000, 3)
    talkers: list[Talker] = []
    for number in range(clients):
        _, talker = await loop.create_connection(
            lambda: Talker(names.next(), True, times), *ports[number % len(ports)]
        )
        talkers.append(talker)
    if not all(await asyncio.gather(*(each.up for each in talkers))):
        raise RuntimeError("a set-up failed in lab perf")
    await asyncio.sleep(0.2)
    before, begin = sum(each.lines for each in talkers), time.perf_counter()
    times.reset()
    await asyncio.sleep(seconds)
    rate = (sum(each.lines for each in talkers) - before) / (time.perf_counter() - begin)
    for each in talkers:
        each.talks = False
        each.transport.close()
    return rate, times


async def setups(ports: list[Address], names: Names, at_once: int, seconds: float) -> float:
    """Connections set up and ended a second, so many at a time."""
    loop = asyncio.get_running_loop()
    done = 0
    until = time.perf_counter() + seconds

    async def one(number: int) -> None:
        nonlocal done
        while time.perf_counter() < until:
            _, talker = await loop.create_connection(
                lambda: Talker(names.next(), False, None), *ports[(number + done) % len(ports)]
            )
            served = await talker.up  # first, for others count meanwhile
            done += bool(served)
            talker.transport.close()

    begin = time.perf_counter()
    await asyncio.gather(*(one(number) for number in range(at_once)))
    return done / (time.perf_counter() - begin)


async def held(stand: Stand, names: Names, count: int) -> float:
    """Bytes for each standing idle connection."""
    loop = asyncio.get_running_loop()
    before = stand.memory()
    talkers = []
    for number in range(count):
        _, talker = await loop.create_connection(lambda: Talker(names.next(), False, None), *stand.through[0])
        talkers.append(talker)
        if number % 100 == 99:
            await asyncio.gather(*(each.up for each in talkers[-100:]))
    await asyncio.gather(*(each.up for each in talkers))
    after = stand.memory()
    for each in talkers:
        each.transport.close()
    return (after - before) / count


async def sockets(checkout: Path, quick: bool, folder: Path) -> dict[str, Any]:
    """Figures of one checkout on sockets, direct and through it in turn."""
    count, seconds, repeats = (500, 0.5, 1) if quick else (3000, 1.5, REPEATS)
    stand, names = Stand(checkout, count, folder), Names()
    try:
        found: dict[str, Any] = {"start_s": round(await stand.start(), 3)}
        found["idle_mb"] = round(stand.memory() / 1e6, 1)
        rows: dict[str, list[float]] = {}
        direct_times, through_times = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
        for _ in range(repeats):
            for name, ports, times in (
                ("direct", stand.direct, direct_times),
                ("through", stand.through, through_times),
            ):
                rate, seen = await lines(ports, names, 20, seconds)
                rows.setdefault(f"lines_{name}", []).append(rate)
                times.add(seen)
                rows.setdefault(f"setups_{name}", []).append(await setups(ports, names, 20, seconds))
        found.update({name: round(median(each)) for name, each in rows.items()})
        found["lines_ratio"] = round(found["lines_through"] / found["lines_direct"], 3)
        found["setups_ratio"] = round(found["setups_through"] / found["setups_direct"], 3)
        for each in (50.0, 99.0, 99.9):
            added = through_times.get_value_at_percentile(each) - direct_times.get_value_at_percentile(each)
            found[f"added_p{each:g}_us"] = added
        found["bytes_per_connection"] = round(await held(stand, names, count))
        return found
    finally:
        await stand.stop()


def run(against: Path | None = None, quick: bool = False) -> dict[str, Any]:
    """All figures of this checkout, and of another one in turn."""
    sides = {"this": ROOT, **({"against": against} if against is not None else {})}
    found: dict[str, Any] = {name: {} for name in sides}
    for size in SIZES[:2] if quick else SIZES:
        for name, checkout in sides.items():
            found[name][f"placement_{size}_us"] = placement(checkout, size, quick)
    for name, checkout in sides.items():
        with tempfile.TemporaryDirectory(prefix="switchhub-lab-") as folder:
            found[name].update(asyncio.run(sockets(checkout, quick, Path(folder))))
    return found


def table(found: dict[str, Any]) -> str:
    """As a table; with another checkout, the ratio of this one to it."""
    out = Table(box=None, pad_edge=False)
    out.add_column("figure")
    for name in found:
        out.add_column(name, justify="right")
    if "against" in found:
        out.add_column("this / against", justify="right")
    for key, value in found["this"].items():
        cells = [f"{found[name][key]:g}" for name in found]
        if "against" in found:
            other = found["against"][key]
            cells.append(f"{value / other:.2f}" if other else "")
        out.add_row(key, *cells)
    text = io.StringIO()
    Console(file=text, width=100, no_color=True).print(out)
    return text.getvalue().rstrip()
