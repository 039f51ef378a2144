"""The discovery service of a live run: one port per balancer, HTTP/1.1 with watches (long polls).

It keeps the server list with its versions and the watches that wait for a change, and plays the troubles of
discovery. Every server state that is written to a balancer is recorded.
"""

from __future__ import annotations

import asyncio
import json
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools

from switchhub.lab import balancer_settings
from switchhub.lab.fake_server import ServerSpec, server_specs
from switchhub.lab.live.lab_process import LabProcess, Plan, notify_runner, run
from switchhub.lab.timeline import DiscoveryUpdate, IntervalChange, discovery_updates

WATCH_WAIT_MAX_S = 60.0


class BalancerConnection(asyncio.Protocol):
    """One connection from a balancer; it carries one request at a time."""

    def __init__(self, process: DiscoveryProcess, balancer: int) -> None:
        self.process, self.balancer = process, balancer
        self._transport: Any = None
        self._url = b""
        self._parser = httptools.HttpRequestParser(self)
        self._wait_timer: asyncio.TimerHandle | None = None
        self._known_version: int | None = None  # the list version that the request names, if any

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the accepted connection."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, if one waits."""
        self._stop_waiting()
        self.process.record("asks", f"b{self.balancer}", False)

    def data_received(self, data: bytes) -> None:
        """Parse request bytes; close the connection on malformed HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_url(self, url: bytes) -> None:
        """Parser callback: append a part of the request URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Parser callback: schedule the complete request for when the service has capacity for it."""
        query = parse_qs(urlsplit(self._url.decode()).query)
        self._url = b""
        self._known_version = int(query["index"][0]) if "index" in query else None
        wait_s = min(float(query.get("wait", ["0"])[0]) / 1000, WATCH_WAIT_MAX_S)
        asyncio.get_running_loop().call_later(self.process.queue_request(), self._handle_request, wait_s)

    def _handle_request(self, wait_s: float) -> None:
        if self._transport.is_closing():
            return
        self.process.record("asks", f"b{self.balancer}", True)
        if self.process.has_trouble("roster-out"):
            return self.fail()
        if self.process.has_trouble("roster-silent"):
            return
        if self._known_version is not None and self._known_version >= self.process.version and wait_s:
            self.process.waiting.add(self)
            self._wait_timer = asyncio.get_running_loop().call_later(wait_s, self.answer)
        else:
            self.answer()

    def _stop_waiting(self) -> None:
        self.process.waiting.discard(self)
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def fail(self) -> None:
        """Answer the request with status 503."""
        self._stop_waiting()
        self.process.record("asks", f"b{self.balancer}", False)
        self._transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    def drop_request(self) -> None:
        """Leave the request without an answer and the connection open."""
        self._stop_waiting()

    def answer(self) -> None:
        """Answer with the servers that changed since the version of the request, or with the full list."""
        self._stop_waiting()
        process = self.process
        full = self._known_version is None or process.scenario.discovery.whole
        names = [
            each.name
            for each in process.specs
            if full or process.changed_in_version[each.name] > (self._known_version or 0)
        ]
        body = json.dumps(
            {
                "version": process.version,
                "full": full,
                "servers": [process.server_entry(name, self.balancer) for name in names],
            }
        ).encode()
        for name in names:
            state, started_at = process.server_states[name]
            process.record("told", f"b{self.balancer}", name, state, started_at)
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class DiscoveryProcess(LabProcess):
    """The discovery service of all balancers."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.specs: list[ServerSpec] = server_specs(self.scenario)
        self._specs_by_name = {each.name: each for each in self.specs}
        # State of each server and the second of the run at which it started; 0: before the run.
        self.server_states = {each.name: ("Ready", 0.0) for each in self.specs}
        self.changed_in_version = {each.name: 1 for each in self.specs}
        self.version = 1
        self.waiting: set[BalancerConnection] = set()
        self._delayed_updates: list[DiscoveryUpdate] = []  # received while the list is stale
        self._active_troubles: dict[str, int] = {}  # number of active intervals by effect
        self._next_request_at = 0.0  # event loop time
        self._listeners: list[asyncio.Server] = []

    def has_trouble(self, effect: str) -> bool:
        """Return whether a trouble with this effect is active."""
        return self._active_troubles.get(effect, 0) > 0

    def queue_request(self) -> float:
        """Queue a request at the service's rate limit; return the seconds until it is handled."""
        now = asyncio.get_running_loop().time()
        self._next_request_at = max(self._next_request_at + 1 / self.scenario.discovery.calls_per_s, now)
        return self._next_request_at - now

    def server_entry(self, name: str, balancer: int) -> dict[str, Any]:
        """Return the list entry of a server for a balancer; its port depends on the balancer's zone."""
        spec = self._specs_by_name[name]
        state, started_at = self.server_states[name]
        port = self.plan.servers[name][balancer_settings.balancer_zone(self.scenario, balancer)]
        return {
            "id": name,
            "addr": f"{self.plan.host}:{port}",
            "zone": self.scenario.zones[spec.zone],
            "kind": spec.group.kind,
            "cell": spec.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": round(self.start_unix_ms + started_at * 1000) if started_at else 0,
        }

    async def serve(self) -> None:
        """Listen on the port of each balancer, then report ready."""
        loop = asyncio.get_running_loop()
        for index, port in enumerate(self.plan.discovery):
            self._listeners.append(
                await loop.create_server(
                    partial(BalancerConnection, self, index), self.plan.host, port, reuse_address=True
                )
            )
        notify_runner("ready")

    def begin(self) -> None:
        """Schedule the updates of server states and the troubles of discovery."""
        for update in discovery_updates(self.scenario, self.timeline):
            self.schedule(update.at, self._apply_update, update)
        for change in self.timeline.changes:
            if change.interval.effect.startswith("roster-"):
                self.schedule(change.at, self._apply_change, change)

    def _apply_update(self, update: DiscoveryUpdate) -> None:
        if self.has_trouble("roster-stale"):
            self._delayed_updates.append(update)
            return
        self.version += 1
        self.record("knows", update.server, update.state)
        self.server_states[update.server] = (update.state, update.started_at)
        self.changed_in_version[update.server] = self.version
        for connection in list(self.waiting):
            connection.answer()

    def _apply_change(self, change: IntervalChange) -> None:
        effect = change.interval.effect
        self._active_troubles[effect] = self._active_troubles.get(effect, 0) + (1 if change.begins else -1)
        if change.begins and effect in ("roster-out", "roster-silent"):
            for connection in list(self.waiting):
                if effect == "roster-out":
                    connection.fail()
                else:
                    connection.drop_request()
        elif effect == "roster-stale" and not self.has_trouble(effect):
            delayed_updates, self._delayed_updates = self._delayed_updates, []
            for update in delayed_updates:
                self._apply_update(update)


if __name__ == "__main__":
    run(DiscoveryProcess, DiscoveryProcess.serve)
