"""The servers of a live run, in one process: `StandIn` behind real sockets, one port for each zone of
balancers.

Owns: their listening sockets and every connection to them. Must never: tell a balancer anything but the
protocol's words, or answer while the network between is cut; what comes meanwhile is kept and goes on
afterwards.
"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

from switchhub.lab.fake_server import FakeServer, SetupReply, server_specs
from switchhub.lab.live.lab_process import LabProcess, Plan, reset_transport, run, say
from switchhub.lab.population import arriving_clients, initial_clients
from switchhub.lab.timeline import IntervalChange

BACKLOG = 4096


class Link(asyncio.Protocol):
    """One connection from a balancer."""

    def __init__(self, host: Servers, server: FakeServer, zone: int) -> None:
        self.host, self.server, self.zone = host, server, zone
        self.transport: asyncio.Transport | None = None
        self.id = ""
        self.adopted = self.up = False
        self._buffer = b""
        self._last = 0.0  # when the latest answer is due; they keep their order
        self._way = 2 * host.way(zone, server.spec.zone)

    def connection_made(self, transport: Any) -> None:
        """It is accepted."""
        self.transport = transport
        self.host.links[self.server.name].add(self)

    def data_received(self, data: bytes) -> None:
        """Bytes; while nothing can pass they only pile up."""
        self._buffer += data
        self.go_on()

    def go_on(self) -> None:
        """Take the lines that are whole."""
        while not (self.server.hanging and self.id) and self.host.reaches(self.zone, self.server.spec.zone):
            line, sep, rest = self._buffer.partition(b"\r\n")
            if not sep:
                return
            self._buffer = rest
            if self.id:
                self._message(line.decode())
            else:
                self._open(line.decode())

    def _open(self, line: str) -> None:
        word, name, key, *rest = line.split(" ")
        values = dict(each.split("=", 1) for each in rest[0].split(",")) if rest else {}
        self.id = name
        host, server, now = self.host, self.server, self.host.now()
        load = host.loads.get(key, 0.0)
        if word != "OPEN":
            return self._say("SYNTAX")
        if values.get("at") == server.name and not host.started:
            self.adopted = self.up = True
            server.add_connection(name, load)
            return self._say(f"UP {server.name}.{name}")
        verdict, wait = server.receive_first_line(now, name, load)
        host.record("took", server.name, name)
        if verdict is SetupReply.UP:
            if server.crashes_from_setup(now, name, load):
                host.fell(server)
            else:
                asyncio.get_running_loop().call_later(wait + self._way, self._stands)
        elif verdict is not SetupReply.SILENT:
            host.record("said", server.name, name, verdict.value)
            self._say(verdict.value)
            self.end(True)

    def _stands(self) -> None:
        if self.transport is None or self.server.dead or self.server.hanging:
            return
        self.up = True
        receipt = f"UP {self.server.name}.{self.id}"
        self.host.record("said", self.server.name, self.id, receipt)
        self._say(receipt)

    def _message(self, line: str) -> None:
        host, now = self.host, self.host.now()
        word, _, number = line.partition(" ")
        if word != "M" or not number.isdigit():
            return self._say("ERR")
        host.record("got", self.id, int(number))
        self._last = max(self._last, now + self._way + self.server.message_delay(now))
        if self._last - now < 0.001:
            self._say(line)
        else:
            asyncio.get_running_loop().call_later(self._last - now, self._answer, line)

    def _answer(self, line: str) -> None:
        if self.server.hanging or not self.host.reaches(self.zone, self.server.spec.zone):
            self.host.at(self.host.now() + 0.1, self._answer, line)  # it goes on when the server does
        else:
            self._say(line)

    def _say(self, line: str) -> None:
        if self.transport is not None:
            self.transport.write(line.encode() + b"\r\n")

    def eof_received(self) -> bool:
        """The balancer has ended its side; so does the server."""
        return False

    def end(self, by_server: bool) -> None:
        """Give the connection back."""
        transport, self.transport = self.transport, None
        if transport is None:
            return
        self.host.links[self.server.name].discard(self)
        if self.id:
            self.host.record("dropped", self.server.name, self.id, by_server)
            self.server.remove_connection(self.host.now(), self.id)
        transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The other side has ended it."""
        self.end(False)


class Servers(LabProcess):
    """All servers of the scenario."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.places = server_specs(self.scenario)
        self.servers = {each.name: FakeServer(self.scenario, each, plan.seed) for each in self.places}
        self.links: dict[str, set[Link]] = {name: set() for name in self.servers}
        self._listening: dict[str, list[asyncio.Server]] = {}
        self._cut: list[str] = []
        first = initial_clients(self.scenario, plan.seed)
        self.loads = {each.flow_key: each.load for each in first}
        for each in arriving_clients(self.scenario, self.timeline, plan.seed, len(first)):
            self.loads[each.flow_key] = each.load

    def way(self, zone: int, other: int) -> float:
        """Seconds one way."""
        network = self.scenario.network
        return (network.within_ms if zone == other else network.between_ms) / 1000

    def reaches(self, zone: int, other: int) -> bool:
        """Whether the network carries anything between two zones."""
        names = self.scenario.zones
        return zone == other or not (names[zone] in self._cut or names[other] in self._cut)

    async def listen(self, name: str) -> None:
        """Take connections."""
        loop = asyncio.get_running_loop()
        server = self.servers[name]
        self._listening[name] = [
            await loop.create_server(
                partial(Link, self, server, zone), self.plan.host, port, backlog=BACKLOG, reuse_address=True
            )
            for zone, port in enumerate(self.plan.servers[name])
        ]

    async def serve(self) -> None:
        """Listen at once, troubles from the start on."""
        for name in self.servers:
            await self.listen(name)
        say("ready")

    def begin(self) -> None:
        """The timeline."""
        for change in self.timeline.changes:
            self.at(change.at, self._change, change)

    def _change(self, change: IntervalChange) -> None:
        each, now = change.interval, self.now()
        if each.effect == "zone-cut":
            if change.begins:
                self._cut.append(each.target)
            else:
                self._cut.remove(each.target)
                for name in self.servers:
                    self._go_on(name)
        elif each.target in self.servers:
            server = self.servers[each.target]
            hung = server.hanging
            if server.apply_change(now, change.begins, each):
                if server.dead:
                    self._die(each.target)
                else:
                    self.record("started", each.target, each.end)
                    task = asyncio.get_running_loop().create_task(self.listen(each.target))
                    task.add_done_callback(lambda done: done.result())
            elif hung and not server.hanging:
                self._go_on(each.target)

    def _go_on(self, name: str) -> None:
        for link in list(self.links[name]):
            link.go_on()

    def _die(self, name: str) -> None:
        for listening in self._listening.pop(name, ()):
            listening.close()
        for link in list(self.links[name]):
            transport = link.transport
            link.end(True)
            if transport is not None:
                reset_transport(transport)

    def fell(self, server: FakeServer) -> None:
        """A cold server was given too much."""
        self.record("fell", server.name, list(server.recent_setups), server.cold_setup_budget(self.now()))
        self._die(server.name)


if __name__ == "__main__":
    run(Servers, Servers.serve)
