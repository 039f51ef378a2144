"""What every process of a live run has in common: the plan, the run's clock, the records, the word to start.

Owns: the plan's form, one records file per process, the measure of the process's own lateness. Must never:
write a record with another clock than CLOCK_MONOTONIC, which all processes of a machine share.
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

LOOK = 0.02  # seconds between two looks at one's own lateness
LATE = 0.04  # seconds behind at which such a look counts as late


class Plan:
    """What the runner tells each process: the scenario, the seed, who listens where."""

    def __init__(self, data: dict[str, Any]) -> None:
        self.scenario: Scenario = parse_scenario(data["scenario"])
        self.seed: int = data["seed"]
        self.timeline: Timeline = expand_troubles(self.scenario, self.seed)
        self.host: str = data["host"]
        self.servers: dict[str, list[int]] = data["servers"]  # a port for each zone that balancers come from
        self.discovery: list[int] = data["discovery"]  # one for each balancer
        self.balancers: list[int] = data["balancers"]


class LabProcess:
    """One process of a live run."""

    def __init__(self, plan: Plan, records: Path) -> None:
        self.plan, self.scenario, self.timeline = plan, plan.scenario, plan.timeline
        self._zero = 0.0
        self.started = False
        self.epoch = 0.0  # Unix milliseconds at the start
        self._file = records.open("w", encoding="utf-8")
        self._lines: list[str] = []
        self._looks = self._behind = 0
        self._worst = 0.0

    def now(self) -> float:
        """Seconds since the start; 0 before."""
        return time.monotonic() - self._zero if self.started else 0.0

    def record(self, what: str, *told: Any) -> None:
        """One line for the judge, with the time of now."""
        self._lines.append(json.dumps([round(self.now(), 6), what, *told]))

    def at(self, when: float, call: Callable[..., Any], *told: Any) -> None:
        """Have it done at a moment of the run."""
        asyncio.get_running_loop().call_later(max(0.0, when - self.now()), call, *told)

    def flush(self) -> None:
        """Write what is recorded."""
        if self._lines:
            self._file.write("\n".join(self._lines) + "\n")
            self._file.flush()
            self._lines.clear()

    def begin(self) -> None:
        """The run starts now."""

    async def look(self) -> None:
        """How late this process is, all along."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK)
            late = time.monotonic() - before - LOOK
            if self.started:
                self._looks += 1
                self._behind += late > LATE
                self._worst = max(self._worst, late)
            if len(self._lines) > 500:
                self.flush()

    async def words(self) -> None:
        """Wait for `start MONOTONIC UNIX_MS`, then for the end of standard input."""
        reader = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        line = await reader.readline()
        word, *figures = line.decode().split() or [""]
        if word == "start":
            self._zero, self.epoch = float(figures[0]), float(figures[1])
            await asyncio.sleep(self._zero - time.monotonic())
            self.started = True
            self.begin()
            await reader.read()

    def close(self) -> None:
        """The last records, and how late this process was."""
        self.record("lateness", self._looks, self._behind, round(self._worst, 4))
        self.flush()
        self._file.close()


def say(word: str) -> None:
    """Tell the runner."""
    print(word, flush=True)


def run(make: Callable[[Plan, Path], LabProcess], serve: Callable[[Any], Awaitable[None]]) -> None:
    """The process: `PLAN RECORDS` are its arguments; it ends with its standard input."""

    async def main() -> None:
        plan = Plan(json.loads(Path(sys.argv[1]).read_text(encoding="utf-8")))
        part = make(plan, Path(sys.argv[2]))
        looking = asyncio.create_task(part.look())
        try:
            await serve(part)
            await part.words()
        finally:
            looking.cancel()
            part.close()

    uvloop.run(main())


def reset_transport(transport: asyncio.WriteTransport) -> None:
    """End a connection with a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()
