"""`lab storm`: many clients at once, or at a rate, at one real balancer between sound servers; who is
answered when.

Owns: the storm's processes. Must never: count what the machine's own accept queue turned away as the
balancer's.
"""

from __future__ import annotations

import asyncio
import io
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from switchhub.lab.live.runner import ROOT
from switchhub.lab.perf import Names, Stand, setups
from switchhub.lab.stats_poller import StatsPoller

WORKERS = 4
SETTLE = 0.5  # seconds between the calm rate and the storm
BINS = ("served", "refused", "late_up", "late", "reset", "unanswered", "dropped", "unconnected")


def sort_out(found: list[list[Any]], wait: float) -> dict[str, Any]:
    """Clients by what became of them; `wait` in seconds from a client's last byte."""
    counts = dict.fromkeys((*BINS, "dropped_up"), 0)
    times = HdrHistogram(1, 60_000_000, 3)
    for sent, answered, word, dropped in found:
        in_time = answered is not None and answered - sent <= wait
        if word == "unconnected":
            counts["unconnected"] += 1
        elif dropped and not in_time:  # the machine's accept queue was full, and its bytes came late
            counts["dropped"] += 1
            counts["dropped_up"] += word == "UP"
        elif answered is None:
            counts["reset" if word in ("reset", "ended") else "unanswered"] += 1
        elif answered - sent > wait:
            counts["late_up" if word == "UP" else "late"] += 1
        else:
            counts["served" if word == "UP" else "refused"] += 1
            if word == "UP":
                times.record_value(max(1, int((answered - sent) * 1e6)))
    taken = len(found) - counts["unconnected"] - counts["dropped"]
    good = counts["served"] + counts["refused"]
    return {
        "clients": len(found),
        **counts,
        "in_time": round(good / taken, 5) if taken else 1.0,
        "served_p50_ms": times.get_value_at_percentile(50) / 1000,
        "served_p99_ms": times.get_value_at_percentile(99) / 1000,
    }


async def _play(
    checkout: Path, clients: int, wait_ms: int, rate: float, folder: Path, silent: int | None
) -> dict[str, Any]:
    stand, names = Stand(checkout, 5000, folder, silent is not None), Names()
    callers = StatsPoller(stand.management, silent or 0) if silent is not None else None
    workers: list[asyncio.subprocess.Process] = []
    try:
        await stand.start()
        if callers is not None:
            callers.start()
        calm = await setups(stand.through, names, 20, 1.0)
        await asyncio.sleep(SETTLE)
        (host, port) = stand.through[0]
        start = time.monotonic() + 0.5
        for number in range(WORKERS):
            count = clients // WORKERS + (number < clients % WORKERS)
            told = (host, port, f"127.0.{1 + number}.1", count, wait_ms, start, rate / WORKERS)
            workers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "switchhub.lab.storm_clients",
                    *(str(each) for each in told),
                    str((number + 1) * 10_000_000),
                    cwd=ROOT,
                    stdout=asyncio.subprocess.PIPE,
                )
            )
        found: list[list[Any]] = []
        for out, _ in await asyncio.gather(*(each.communicate() for each in workers)):
            found += json.loads(out)
        await asyncio.sleep(SETTLE)
        after = await setups(stand.through, names, 20, 1.0)
        sent = [each[0] for each in found if each[0]]
        sorted_out = sort_out(found, wait_ms / 1000)
        span = max(max(sent) - min(sent), wait_ms / 1000)
        calls = callers.stop() if callers is not None else {}
        return {
            **sorted_out,
            **calls,
            "served_per_s": round(sorted_out["served"] / span),
            "calm_rate": round(calm),
            "rate_after": round(after),
        }
    finally:
        for each in workers:
            if each.returncode is None:
                each.kill()
        await stand.stop()


def run(
    sizes: list[int],
    wait_ms: int,
    rate: float,
    seconds: float,
    against: Path | None,
    silent: int | None = None,
) -> list[dict[str, Any]]:
    """One row for each storm; with a rate, one for so many seconds of it. `silent`: with calls of the staff
    beside so many callers that say nothing."""
    rows = []
    for size in [round(rate * seconds)] if rate else sizes:
        with tempfile.TemporaryDirectory(prefix="switchhub-lab-") as folder:
            rows.append(asyncio.run(_play(against or ROOT, size, wait_ms, rate, Path(folder), silent)))
    return rows


def table(rows: list[dict[str, Any]]) -> str:
    """As a table."""
    out = Table(box=None, pad_edge=False)
    for name in rows[0]:
        out.add_column(name, justify="right")
    for row in rows:
        out.add_row(*(f"{each:g}" for each in row.values()))
    text = io.StringIO()
    Console(file=text, width=200, no_color=True).print(out)
    return text.getvalue().rstrip()
