"""The servers of a live run, all in one process: each `StandIn` listens on one port per zone of balancers.

Servers send balancers only lines of the protocol. While the network between two zones is cut, servers do not
answer across it: the bytes that arrive are buffered and handled once the cut ends.
"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

from switchhub.lab.fake_server import FakeServer, SetupReply, server_specs
from switchhub.lab.live.lab_process import LabProcess, Plan, notify_runner, reset_transport, run
from switchhub.lab.population import arriving_clients, initial_clients
from switchhub.lab.timeline import IntervalChange

LISTEN_BACKLOG = 4096  # connections that may wait to be accepted


class BalancerConnection(asyncio.Protocol):
    """One connection from a balancer to a server."""

    def __init__(self, process: ServersProcess, server: FakeServer, zone: int) -> None:
        """`zone` is the index of the balancer's zone."""
        self.process, self.server, self.zone = process, server, zone
        self.transport: asyncio.Transport | None = None
        self.id = ""  # the connection id of the first line; empty until that has arrived
        self.adopted = self.up = False
        self._buffer = b""
        self._last_answer_at = 0.0  # when the latest answer is due; answers keep the order of their lines
        self._round_trip_s = 2 * process.one_way_delay(zone, server.spec.zone)

    def connection_made(self, transport: Any) -> None:
        """Register the accepted connection."""
        self.transport = transport
        self.process.connections[self.server.name].add(self)

    def data_received(self, data: bytes) -> None:
        """Buffer the bytes, and handle complete lines unless the server hangs or the network is cut."""
        self._buffer += data
        self.handle_lines()

    def handle_lines(self) -> None:
        """Handle the complete lines in the buffer.

        Stops while the network is cut, and while the server hangs; a hanging server still reads first lines.
        """
        while not (self.server.hanging and self.id) and self.process.can_reach(
            self.zone, self.server.spec.zone
        ):
            line, separator, rest = self._buffer.partition(b"\r\n")
            if not separator:
                return
            self._buffer = rest
            if self.id:
                self._handle_message(line.decode())
            else:
                self._handle_first_line(line.decode())

    def _handle_first_line(self, line: str) -> None:
        keyword, connection_id, flow_key, *options = line.split(" ")
        fields = dict(each.split("=", 1) for each in options[0].split(",")) if options else {}
        self.id = connection_id
        process, server, now = self.process, self.server, self.process.now()
        load = process.loads_by_flow_key.get(flow_key, 0.0)
        if keyword != "OPEN":
            return self._send_line("SYNTAX")
        if fields.get("at") == server.name and not process.started:
            self.adopted = self.up = True
            server.add_connection(connection_id, load)
            return self._send_line(f"UP {server.name}.{connection_id}")
        reply, setup_s = server.receive_first_line(now, connection_id, load)
        process.record("took", server.name, connection_id)
        if reply is SetupReply.UP:
            if server.crashes_from_setup(now, connection_id, load):
                process.crash_cold_server(server)
            else:
                asyncio.get_running_loop().call_later(setup_s + self._round_trip_s, self._establish)
        elif reply is not SetupReply.SILENT:
            process.record("said", server.name, connection_id, reply.value)
            self._send_line(reply.value)
            self.close_connection(True)

    def _establish(self) -> None:
        if self.transport is None or self.server.dead or self.server.hanging:
            return
        self.up = True
        receipt = f"UP {self.server.name}.{self.id}"
        self.process.record("said", self.server.name, self.id, receipt)
        self._send_line(receipt)

    def _handle_message(self, line: str) -> None:
        process, now = self.process, self.process.now()
        keyword, _, number = line.partition(" ")
        if keyword != "M" or not number.isdigit():
            return self._send_line("ERR")
        process.record("got", self.id, int(number))
        self._last_answer_at = max(
            self._last_answer_at, now + self._round_trip_s + self.server.message_delay(now)
        )
        if self._last_answer_at - now < 0.001:
            self._send_line(line)
        else:
            asyncio.get_running_loop().call_later(self._last_answer_at - now, self._answer_message, line)

    def _answer_message(self, line: str) -> None:
        if self.server.hanging or not self.process.can_reach(self.zone, self.server.spec.zone):
            # Try again until the server answers and the network carries the answer.
            self.process.schedule(self.process.now() + 0.1, self._answer_message, line)
        else:
            self._send_line(line)

    def _send_line(self, line: str) -> None:
        if self.transport is not None:
            self.transport.write(line.encode() + b"\r\n")

    def eof_received(self) -> bool:
        """Close the server's side too when the balancer has closed its side."""
        return False

    def close_connection(self, by_server: bool) -> None:
        """Remove the connection from the server and close it; `by_server`: whether the server ends it."""
        transport, self.transport = self.transport, None
        if transport is None:
            return
        self.process.connections[self.server.name].discard(self)
        if self.id:
            self.process.record("dropped", self.server.name, self.id, by_server)
            self.server.remove_connection(self.process.now(), self.id)
        transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server unless the server has closed it already."""
        self.close_connection(False)


class ServersProcess(LabProcess):
    """All servers of the scenario."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.specs = server_specs(self.scenario)
        self.servers = {each.name: FakeServer(self.scenario, each, plan.seed) for each in self.specs}
        self.connections: dict[str, set[BalancerConnection]] = {name: set() for name in self.servers}
        self._listeners: dict[str, list[asyncio.Server]] = {}
        self._cut_zones: list[str] = []
        clients_at_start = initial_clients(self.scenario, plan.seed)
        self.loads_by_flow_key = {each.flow_key: each.load for each in clients_at_start}
        for each in arriving_clients(self.scenario, self.timeline, plan.seed, len(clients_at_start)):
            self.loads_by_flow_key[each.flow_key] = each.load

    def one_way_delay(self, zone: int, other: int) -> float:
        """Return the network delay between two zones in seconds, one way."""
        network = self.scenario.network
        return (network.within_ms if zone == other else network.between_ms) / 1000

    def can_reach(self, zone: int, other: int) -> bool:
        """Return whether the network carries data between two zones; a cut zone reaches only itself."""
        names = self.scenario.zones
        return zone == other or not (names[zone] in self._cut_zones or names[other] in self._cut_zones)

    async def listen(self, name: str) -> None:
        """Accept connections to a server, on one port per zone of balancers."""
        loop = asyncio.get_running_loop()
        server = self.servers[name]
        self._listeners[name] = [
            await loop.create_server(
                partial(BalancerConnection, self, server, zone),
                self.plan.host,
                port,
                backlog=LISTEN_BACKLOG,
                reuse_address=True,
            )
            for zone, port in enumerate(self.plan.servers[name])
        ]

    async def serve(self) -> None:
        """Listen on the ports of all servers, then report ready; troubles begin with the run."""
        for name in self.servers:
            await self.listen(name)
        notify_runner("ready")

    def begin(self) -> None:
        """Schedule the changes of the timeline."""
        for change in self.timeline.changes:
            self.schedule(change.at, self._apply_change, change)

    def _apply_change(self, change: IntervalChange) -> None:
        interval, now = change.interval, self.now()
        if interval.effect == "zone-cut":
            if change.begins:
                self._cut_zones.append(interval.target)
            else:
                self._cut_zones.remove(interval.target)
                for name in self.servers:
                    self._resume_connections(name)
        elif interval.target in self.servers:
            server = self.servers[interval.target]
            was_hanging = server.hanging
            if server.apply_change(now, change.begins, interval):
                if server.dead:
                    self._stop_server(interval.target)
                else:
                    self.record("started", interval.target, interval.end)
                    task = asyncio.get_running_loop().create_task(self.listen(interval.target))
                    task.add_done_callback(lambda done: done.result())
            elif was_hanging and not server.hanging:
                self._resume_connections(interval.target)

    def _resume_connections(self, name: str) -> None:
        for connection in list(self.connections[name]):
            connection.handle_lines()

    def _stop_server(self, name: str) -> None:
        for listener in self._listeners.pop(name, ()):
            listener.close()
        for connection in list(self.connections[name]):
            transport = connection.transport
            connection.close_connection(True)
            if transport is not None:
                reset_transport(transport)

    def crash_cold_server(self, server: FakeServer) -> None:
        """Record and stop a cold server that was given more set-up work than it can take."""
        self.record("fell", server.name, list(server.recent_setups), server.cold_setup_budget(self.now()))
        self._stop_server(server.name)


if __name__ == "__main__":
    run(ServersProcess, ServersProcess.serve)
