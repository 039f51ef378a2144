"""`lab storm`: many clients connect at once, or at a given rate, to one real balancer with healthy servers
behind it. Counts how each client was answered, and when.

A client whose connection the kernel's accept queue dropped, so that its segments had to be sent again, is
counted apart: that delay is the machine's, not the balancer's.
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
from switchhub.lab.perf import BalancerUnderTest, ConnectionIds, measure_setup_rate
from switchhub.lab.stats_poller import StatsPoller

WORKERS = 4  # client processes
PAUSE_S = 0.5  # between the storm and each of the two rate measurements around it
OUTCOMES = ("served", "refused", "late_up", "late", "reset", "unanswered", "dropped", "unconnected")


def count_outcomes(results: list[list[Any]], wait_s: float) -> dict[str, Any]:
    """Count clients by outcome. `results` are the lists that `storm_clients` prints; an answer is in time if
    it came within `wait_s` of the client's request."""
    counts = dict.fromkeys((*OUTCOMES, "dropped_up"), 0)
    served_times = HdrHistogram(1, 60_000_000, 3)  # microseconds, three significant digits
    for sent_at, answered_at, outcome, retransmitted in results:
        in_time = answered_at is not None and answered_at - sent_at <= wait_s
        if outcome == "unconnected":
            counts["unconnected"] += 1
        elif retransmitted and not in_time:  # the kernel's accept queue was full, so the request came late
            counts["dropped"] += 1
            counts["dropped_up"] += outcome == "UP"
        elif answered_at is None:
            counts["reset" if outcome in ("reset", "ended") else "unanswered"] += 1
        elif answered_at - sent_at > wait_s:
            counts["late_up" if outcome == "UP" else "late"] += 1
        else:
            counts["served" if outcome == "UP" else "refused"] += 1
            if outcome == "UP":
                served_times.record_value(max(1, int((answered_at - sent_at) * 1e6)))
    accepted = len(results) - counts["unconnected"] - counts["dropped"]
    answered_in_time = counts["served"] + counts["refused"]
    return {
        "clients": len(results),
        **counts,
        "in_time": round(answered_in_time / accepted, 5) if accepted else 1.0,
        "served_p50_ms": served_times.get_value_at_percentile(50) / 1000,
        "served_p99_ms": served_times.get_value_at_percentile(99) / 1000,
    }


async def _run_storm(
    checkout: Path, clients: int, wait_ms: int, rate: float, folder: Path, idle_connections: int | None
) -> dict[str, Any]:
    """Run one storm; return its row. The set-up rate is measured before and after it, with 20 clients."""
    balancer, ids = (
        BalancerUnderTest(checkout, 5000, folder, idle_connections is not None),
        ConnectionIds(),
    )
    poller = StatsPoller(balancer.management, idle_connections or 0) if idle_connections is not None else None
    workers: list[asyncio.subprocess.Process] = []
    try:
        await balancer.start()
        if poller is not None:
            poller.start()
        rate_before = await measure_setup_rate(balancer.balancer_addresses, ids, 20, 1.0)
        await asyncio.sleep(PAUSE_S)
        (host, port) = balancer.balancer_addresses[0]
        start = time.monotonic() + 0.5
        for number in range(WORKERS):
            count = clients // WORKERS + (number < clients % WORKERS)
            arguments = (host, port, f"127.0.{1 + number}.1", count, wait_ms, start, rate / WORKERS)
            workers.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "switchhub.lab.storm_clients",
                    *(str(each) for each in arguments),
                    str((number + 1) * 10_000_000),
                    cwd=ROOT,
                    stdout=asyncio.subprocess.PIPE,
                )
            )
        results: list[list[Any]] = []
        for out, _ in await asyncio.gather(*(each.communicate() for each in workers)):
            results += json.loads(out)
        await asyncio.sleep(PAUSE_S)
        rate_after = await measure_setup_rate(balancer.balancer_addresses, ids, 20, 1.0)
        sent_times = [each[0] for each in results if each[0]]
        outcomes = count_outcomes(results, wait_ms / 1000)
        duration_s = max(max(sent_times) - min(sent_times), wait_ms / 1000)
        poll_figures = poller.stop() if poller is not None else {}
        return {
            **outcomes,
            **poll_figures,
            "served_per_s": round(outcomes["served"] / duration_s),
            "calm_rate": round(rate_before),
            "rate_after": round(rate_after),
        }
    finally:
        for each in workers:
            if each.returncode is None:
                each.kill()
        await balancer.stop()


def run(
    sizes: list[int],
    wait_ms: int,
    rate: float,
    seconds: float,
    against: Path | None,
    idle_connections: int | None = None,
) -> list[dict[str, Any]]:
    """Run one storm for each of `sizes`, or one of `rate` connections a second for `seconds` if `rate` is not
    0; return a row for each.

    `against` is the checkout whose balancer runs, this one if None. Unless `idle_connections` is None, the
    balancer's management address is polled meanwhile, with that many idle connections to it."""
    rows = []
    for size in [round(rate * seconds)] if rate else sizes:
        with tempfile.TemporaryDirectory(prefix="switchhub-lab-") as folder:
            rows.append(
                asyncio.run(_run_storm(against or ROOT, size, wait_ms, rate, Path(folder), idle_connections))
            )
    return rows


def format_rows(rows: list[dict[str, Any]]) -> str:
    """The storms' rows as a text table, a column for each figure."""
    out = Table(box=None, pad_edge=False)
    for name in rows[0]:
        out.add_column(name, justify="right")
    for row in rows:
        out.add_row(*(f"{each:g}" for each in row.values()))
    text = io.StringIO()
    Console(file=text, width=200, no_color=True).print(out)
    return text.getvalue().rstrip()
