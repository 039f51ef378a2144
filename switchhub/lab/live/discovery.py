"""Discovery of a live run: one port for each balancer, HTTP/1.1 with watches, and its own troubles.

Owns: the list, its versions and the calls that wait. Must never: write to a balancer without a record of it.
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
from switchhub.lab.live.lab_process import LabProcess, Plan, run, say
from switchhub.lab.timeline import DiscoveryUpdate, IntervalChange, discovery_updates

WAIT_MAX = 60.0


class Caller(asyncio.Protocol):
    """One connection of a balancer."""

    def __init__(self, host: Discovery, balancer: int) -> None:
        self.host, self.balancer = host, balancer
        self._transport: Any = None
        self._url = b""
        self._parser = httptools.HttpRequestParser(self)
        self._waits: asyncio.TimerHandle | None = None
        self._index: int | None = None

    def connection_made(self, transport: Any) -> None:
        """It is accepted."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Its call, if one waits, is over."""
        self._done()
        self.host.record("asks", f"b{self.balancer}", False)

    def data_received(self, data: bytes) -> None:
        """Part of a call."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_url(self, url: bytes) -> None:
        """The parser's word."""
        self._url += url

    def on_message_complete(self) -> None:
        """A call is whole; it is worked through in its turn."""
        query = parse_qs(urlsplit(self._url.decode()).query)
        self._url = b""
        self._index = int(query["index"][0]) if "index" in query else None
        wait = min(float(query.get("wait", ["0"])[0]) / 1000, WAIT_MAX)
        asyncio.get_running_loop().call_later(self.host.turn(), self._take, wait)

    def _take(self, wait: float) -> None:
        if self._transport.is_closing():
            return
        self.host.record("asks", f"b{self.balancer}", True)
        if self.host.troubled("roster-out"):
            return self.fail()
        if self.host.troubled("roster-silent"):
            return
        if self._index is not None and self._index >= self.host.version and wait:
            self.host.waiting.add(self)
            self._waits = asyncio.get_running_loop().call_later(wait, self.answer)
        else:
            self.answer()

    def _done(self) -> None:
        self.host.waiting.discard(self)
        if self._waits is not None:
            self._waits.cancel()
            self._waits = None

    def fail(self) -> None:
        """503."""
        self._done()
        self.host.record("asks", f"b{self.balancer}", False)
        self._transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")

    def mute(self) -> None:
        """Leave it without an answer."""
        self._done()

    def answer(self) -> None:
        """What is new to it, or the whole list."""
        self._done()
        host = self.host
        whole = self._index is None or host.scenario.discovery.whole
        changed = [each.name for each in host.places if whole or host.changed[each.name] > (self._index or 0)]
        body = json.dumps(
            {
                "version": host.version,
                "full": whole,
                "servers": [host.entry(name, self.balancer) for name in changed],
            }
        ).encode()
        for name in changed:
            state, born = host.known[name]
            host.record("told", f"b{self.balancer}", name, state, born)
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Discovery(LabProcess):
    """One service for all balancers."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.places: list[ServerSpec] = server_specs(self.scenario)
        self._by_name = {each.name: each for each in self.places}
        self.known = {each.name: ("Ready", 0.0) for each in self.places}
        self.changed = {each.name: 1 for each in self.places}
        self.version = 1
        self.waiting: set[Caller] = set()
        self._late: list[DiscoveryUpdate] = []
        self._active: dict[str, int] = {}
        self._next = 0.0
        self._listening: list[asyncio.Server] = []

    def troubled(self, effect: str) -> bool:
        """Whether it has this trouble now."""
        return self._active.get(effect, 0) > 0

    def turn(self) -> float:
        """Seconds until another call can be worked through."""
        now = asyncio.get_running_loop().time()
        self._next = max(self._next + 1 / self.scenario.discovery.calls_per_s, now)
        return self._next - now

    def entry(self, name: str, balancer: int) -> dict[str, Any]:
        """A server as this balancer is told of it."""
        place = self._by_name[name]
        state, born = self.known[name]
        port = self.plan.servers[name][balancer_settings.balancer_zone(self.scenario, balancer)]
        return {
            "id": name,
            "addr": f"{self.plan.host}:{port}",
            "zone": self.scenario.zones[place.zone],
            "kind": place.group.kind,
            "cell": place.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": round(self.epoch + born * 1000) if born else 0,
        }

    async def serve(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        for index, port in enumerate(self.plan.discovery):
            self._listening.append(
                await loop.create_server(
                    partial(Caller, self, index), self.plan.host, port, reuse_address=True
                )
            )
        say("ready")

    def begin(self) -> None:
        """What it comes to know, and its troubles."""
        for each in discovery_updates(self.scenario, self.timeline):
            self.at(each.at, self._learns, each)
        for change in self.timeline.changes:
            if change.interval.effect.startswith("roster-"):
                self.at(change.at, self._change, change)

    def _learns(self, each: DiscoveryUpdate) -> None:
        if self.troubled("roster-stale"):
            self._late.append(each)
            return
        self.version += 1
        self.record("knows", each.server, each.state)
        self.known[each.server] = (each.state, each.started_at)
        self.changed[each.server] = self.version
        for caller in list(self.waiting):
            caller.answer()

    def _change(self, change: IntervalChange) -> None:
        effect = change.interval.effect
        self._active[effect] = self._active.get(effect, 0) + (1 if change.begins else -1)
        if change.begins and effect in ("roster-out", "roster-silent"):
            for caller in list(self.waiting):
                if effect == "roster-out":
                    caller.fail()
                else:
                    caller.mute()
        elif effect == "roster-stale" and not self.troubled(effect):
            late, self._late = self._late, []
            for each in late:
                self._learns(each)


if __name__ == "__main__":
    run(Discovery, Discovery.serve)
