"""What the lab's processes of a live run share: plan, run clock, record file and control by the runner.

Each process writes one record file and measures by how much its own event loop runs late. All times come from
CLOCK_MONOTONIC, which all processes of a machine share, so that records of several processes can be merged.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from switchhub.lab.scenario import Scenario, parse_scenario
from switchhub.lab.timeline import Timeline, expand_troubles

LATENESS_CHECK_INTERVAL_S = 0.02
LATE_CHECK_MIN_S = 0.04  # a check later than this counts as late


class Plan:
    """The plan file that the runner writes for every process: scenario, seed and listening ports."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.scenario: Scenario = parse_scenario(data["scenario"])
        self.seed: int = data["seed"]
        self.timeline: Timeline = expand_troubles(self.scenario, self.seed)
        self.host: str = data["host"]
        self.servers: dict[str, list[int]] = data["servers"]  # per server, one port per zone of balancers
        self.discovery: list[int] = data["discovery"]  # one port per balancer
        self.balancers: list[int] = data["balancers"]  # one port per balancer


class LabProcess:
    """Base class of the lab's processes of a live run: servers, discovery and clients."""

    def __init__(self, plan: Plan, records: Path) -> None:
        """Open the record file at `records` for writing."""
        self.plan, self.scenario, self.timeline = plan, plan.scenario, plan.timeline
        self._start_monotonic_s = 0.0
        self.started = False
        self.start_unix_ms = 0.0
        self._record_file = records.open("w", encoding="utf-8")
        self._pending_records: list[str] = []
        self._lateness_checks = self._late_checks = 0
        self._max_lateness_s = 0.0

    def now(self) -> float:
        """Return the seconds since the start of the run, 0 before the start."""
        return time.monotonic() - self._start_monotonic_s if self.started else 0.0

    def record(self, event: str, *values: Any) -> None:
        """Record an event with the current time for the checker; it is written at the next `flush`."""
        self._pending_records.append(json.dumps([round(self.now(), 6), event, *values]))

    def schedule(self, at: float, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback(*args)` at `at` seconds of the run, or as soon as possible if that has passed."""
        asyncio.get_running_loop().call_later(max(0.0, at - self.now()), callback, *args)

    def flush(self) -> None:
        """Write the pending records to the record file."""
        if self._pending_records:
            self._record_file.write("\n".join(self._pending_records) + "\n")
            self._record_file.flush()
            self._pending_records.clear()

    def begin(self) -> None:
        """Schedule the work of this process; called once at the start of the run."""

    async def measure_lateness(self) -> None:
        """Measure for as long as the process runs how late its event loop is; flush large record batches."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LATENESS_CHECK_INTERVAL_S)
            lateness_s = time.monotonic() - before - LATENESS_CHECK_INTERVAL_S
            if self.started:
                self._lateness_checks += 1
                self._late_checks += lateness_s > LATE_CHECK_MIN_S
                self._max_lateness_s = max(self._max_lateness_s, lateness_s)
            if len(self._pending_records) > 500:
                self.flush()

    async def run_until_stdin_closes(self) -> None:
        """Wait for the line `start MONOTONIC UNIX_MS` on standard input, begin, then wait for its end.

        MONOTONIC is the start of the run on CLOCK_MONOTONIC in seconds. Without a start line, return at once.
        """
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        line = await reader.readline()
        command, *times = line.decode().split() or [""]
        if command == "start":
            self._start_monotonic_s, self.start_unix_ms = float(times[0]), float(times[1])
            await asyncio.sleep(self._start_monotonic_s - time.monotonic())
            self.started = True
            self.begin()
            await reader.read()

    def close(self) -> None:
        """Record the lateness of this process, then write and close the record file."""
        self.record("lateness", self._lateness_checks, self._late_checks, round(self._max_lateness_s, 4))
        self.flush()
        self._record_file.close()


def notify_runner(message: str) -> None:
    """Write a line to standard output, which the runner reads."""
    print(message, flush=True)


def run(create_process: Callable[[Plan, Path], LabProcess], serve: Callable[[Any], Awaitable[None]]) -> None:
    """Run a lab process with the command line arguments `PLAN RECORDS` until its standard input closes."""

    async def main() -> None:
        plan = Plan(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8")))
        process = create_process(plan, Path(sys.argv[2]))
        lateness_task = asyncio.create_task(process.measure_lateness())
        try:
            await serve(process)
            await process.run_until_stdin_closes()
        finally:
            lateness_task.cancel()
            process.close()

    uvloop.run(main())


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a TCP reset: a linger time of 0 makes the kernel send RST in place of FIN."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
