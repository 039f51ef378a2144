"""Discovery: watches the list of servers, tells the module, and knows where each server listens.

Owns: the one connection to discovery and the table of addresses and states. Must never: drop a server's
address while connections may need it, wait between an answer and the next watch, or decide when to call again
after a failure: the module asks for that.

Versions are one discovery's own. The first call after a move to another address asks for the whole list; at
the start the list as known, and its version, came with the configuration, so the first call is the watch.
Danger: discovery is one queue for all balancers. After most of them were killed, a whole list and then a
watch from each is twice the work, and a call that its caller gives up is still worked through in its turn.

Danger: a watch that has fallen silent looks like one with no news, and what it misses counts as told 6 s
later. So a call waits for a short time only, goes on at once when that is over, and one whose answer does not
come then is opened anew at once. Going on with a watch takes no place in the queue; a new one does.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from random import Random
from typing import Any

import httptools
from loguru import logger

from switchhub.decision.facade import Facade, ServerList, ServerListLost
from switchhub.decision.interface import ServerListKind, ServerState
from switchhub.net.config import (
    Address,
    Config,
    Entry,
    Listing,
    ListingError,
    checked,
    leaving_in,
    parse_listing,
)
from switchhub.net.counters import Counters

FIRST_WAIT_MS = 250  # how long a new watch may wait for news: whether it is heard at all is to be known soon
WAIT_MS = 2000  # the same for one that goes on, by lot between half of it and all
ANSWER_WITHIN = 2.2  # seconds past the wait that a new call may spend in discovery's queue
GOES_ON_WITHIN = 0.5  # the same for a watch that goes on, which has its place: then it has fallen silent
CONNECT_WITHIN = 1.0
ENDS_WITHIN = 0.7  # seconds from the first byte of a list to its last
ANSWER_MAX = 2 << 20  # bytes of an answer: ten thousand servers


class DiscoveryError(Exception):
    """A call failed."""


class _Answer:
    """Collects one HTTP answer; once it has begun it has a short time to end."""

    def __init__(self, limit: asyncio.Timeout) -> None:
        self._limit = limit
        self.body = bytearray()
        self.done = False

    def on_body(self, body: bytes) -> None:
        if not self.body:
            ends = asyncio.get_running_loop().time() + ENDS_WITHIN
            self._limit.reschedule(min(ends, self._limit.when() or ends))
        self.body += body
        if len(self.body) > ANSWER_MAX:
            raise DiscoveryError("answer too long")

    def on_message_complete(self) -> None:
        self.done = True


class Discovery:
    """The watch and the table."""

    def __init__(
        self, config: Config, facade: Facade, counters: Counters, clock: Callable[[], float]
    ) -> None:
        self._config, self._facade, self._counters, self._clock = config, facade, counters, clock
        self._at = config.discovery
        self._asked = asyncio.Event()
        self._asked.set()  # Danger: the module asks for no pushed lists, but only a watch brings them
        self._watch: asyncio.Task[None] | None = None
        self._moved = False
        self._sock: socket.socket | None = None
        self._version: int | None = config.known.version  # none yet of a discovery that was moved to
        self._heard = False  # the last call was answered: the next one goes on with its watch
        self._lot = Random(config.seed)  # keeps the watches of all balancers from expiring in step
        self._addresses: dict[str, Address] = {}
        self._ready: set[str] = set()
        self._listed: dict[str, Entry] = {}
        self._apply(config.known, ServerListKind.REMEMBERED)

    def address(self, server: str) -> Address | None:
        """Where a server listens, also one that drains or is gone."""
        return self._addresses.get(server)

    def ready(self, server: str) -> bool:
        """Whether something new may be sent there."""
        return server in self._ready

    def snapshot(self) -> tuple[Address, dict[str, Any]]:
        """Where it watches, and the list as it stands, in discovery's own form."""
        zones = {index: name for name, index in self._config.zones.items()}
        kinds = {index: name for name, index in self._config.kinds.items()}
        servers = [
            {
                "id": server.id,
                "addr": "{}:{}".format(*address),
                "zone": zones.get(server.zone, ""),
                "kind": kinds.get(server.kind, ""),
                "cell": server.cell,
                "state": "Ready" if server.state is ServerState.READY else "Terminating",
                "weight": server.weight,
                "started_ms": server.started_at,
            }
            for server, address in self._listed.values()
        ]
        return self._at, {"version": self._version or 0, "full": True, "servers": servers}

    @property
    def version(self) -> int:
        """Of the list as it stands; 0: of none."""
        return self._version or 0

    def load_predecessor_listing(self, address: Address, listing: Listing) -> bool:
        """Begin with the list of a former process, if that watched the same discovery."""
        if address != self._at:
            return False
        self._version = listing.version or None
        self._ready.clear()
        self._apply(listing, ServerListKind.REMEMBERED)
        return True

    def ask(self) -> None:
        """The module wants a watch."""
        self._asked.set()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now: drop the call that is out and ask there, at once and for everything."""
        self._at, self._version, self._moved = address, None, True
        if self._watch is not None:
            self._watch.cancel()
        self._facade.discovery_changed(self._clock())
        self._asked.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            while True:
                await self._asked.wait()
                self._asked.clear()
                self._moved = False
                self._watch = asyncio.create_task(self._follow())
                await asyncio.wait((self._watch,))
                self._close()
                error = None if self._watch.cancelled() else self._watch.exception()
                if self._moved:
                    continue
                self._asked.clear()  # whatever discovery says or fails to say must not end the balancer
                logger.warning("discovery: {}: {}", type(error).__name__, error)
                self._counters.add("discovery.failed")
                if isinstance(error, ListingError):
                    self._refuse(error)
                self._facade.report(self._clock(), ServerListLost())
        finally:
            if self._watch is not None:
                self._watch.cancel()
            self._close()

    async def _follow(self) -> None:
        """Call after call, until one fails. One that falls silent is made anew at once, for discovery itself
        gives a call up before that; of two in a row the module says when to call again."""
        self._heard = silent = False
        while True:
            try:
                listing = await self._call()
            except TimeoutError:
                if silent:
                    raise
                logger.warning("discovery: silent, called anew")
                self._counters.add("discovery.silent")
                self._close()
                self._heard, silent = False, True
                continue
            silent = False
            self._heard = True
            self._version = listing.version
            self._apply(listing, ServerListKind.WHOLE if listing.full else ServerListKind.CHANGES)

    def _apply(self, listing: Listing, kind: ServerListKind) -> None:
        if kind is ServerListKind.WHOLE:
            self._ready.clear()
        if kind in (ServerListKind.WHOLE, ServerListKind.REMEMBERED):
            self._listed.clear()
        for entry in listing.entries:
            server, address = entry
            self._addresses[server.id] = address
            if server.state is ServerState.GONE:
                self._listed.pop(server.id, None)
            else:
                self._listed[server.id] = entry
            if server.state is ServerState.READY:
                self._ready.add(server.id)
            else:
                self._ready.discard(server.id)
            if kind is not ServerListKind.REMEMBERED:
                logger.info(
                    "server {} {} at {}:{} born {:.0f}",
                    server.id,
                    server.state.value,
                    *address,
                    server.started_at,
                )
        self._counters.add("discovery.answers")
        self._facade.report(self._clock(), ServerList(kind, tuple(entry.server for entry in listing.entries)))

    def _refuse(self, error: ListingError) -> None:
        """The last good list stays, less who leaves by the refused one; next, everything is asked for."""
        self._counters.add("discovery.refused")
        self._version = None
        known = tuple(each for each in error.leaving if each.server.id in self._addresses)
        self._apply(Listing(0, False, known), ServerListKind.LEAVING)

    async def _call(self) -> Listing:
        """One call; how long it took and how it ended is what tells a herd."""
        self._counters.add("discovery.calls")
        begun, version, end = self._clock(), self._version, "failed"
        try:
            listing = await self._ask()
            end = f"whole {listing.version}" if listing.full else f"changes {listing.version}"
            return listing
        finally:
            logger.debug("discovery: call from {} {} after {:.0f} ms", version, end, self._clock() - begun)

    async def _ask(self) -> Listing:
        if self._sock is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sock.setblocking(False)
            async with asyncio.timeout(CONNECT_WITHIN):
                await asyncio.get_running_loop().sock_connect(self._sock, self._at)
        wait_ms, within = self._patience()
        host, port = self._at
        query = "" if self._version is None else f"?index={self._version}&wait={wait_ms}"
        request = f"GET /api/targets{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        limit = asyncio.timeout(wait_ms / 1000 + within)
        answer = _Answer(limit)
        try:
            async with limit:
                await asyncio.get_running_loop().sock_sendall(self._sock, request.encode())
                status, keep = await self._read(self._sock, answer)
        except (TimeoutError, OSError, DiscoveryError, httptools.HttpParserError) as error:
            if not answer.body:
                raise  # Danger: what broke off, or never ends, may have told of a drain before that
            raise self._unread(f"broke off: {type(error).__name__}: {error}", answer.body) from None
        if not keep:
            self._close()
        if status != 200:
            raise DiscoveryError(f"status {status}")
        try:
            data: Any = json.loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise self._unread(f"not JSON: {error}", answer.body) from None
        return checked(parse_listing(data, self._config.zones, self._config.kinds), self._version)

    def _unread(self, reason: str, body: bytearray) -> ListingError:
        """An answer that can't be read as a whole."""
        return ListingError(reason, leaving_in(body, self._config.zones, self._config.kinds))

    def _patience(self) -> tuple[int, float]:
        """Milliseconds that the next call may wait for news, and seconds past that for its answer."""
        if self._version is None:  # the whole list comes at once or not at all
            return 0, ANSWER_WITHIN
        if not self._heard:
            return FIRST_WAIT_MS, ANSWER_WITHIN
        return round(WAIT_MS * self._lot.uniform(0.5, 1.0)), GOES_ON_WITHIN

    async def _read(self, sock: socket.socket, answer: _Answer) -> tuple[int, bool]:
        """Read an answer to its end: its status, and whether the connection may be used again."""
        parser = httptools.HttpResponseParser(answer)
        buffer = memoryview(bytearray(16384))
        while not answer.done:
            count = await asyncio.get_running_loop().sock_recv_into(sock, buffer)
            if not count:
                raise DiscoveryError("the connection ended")
            parser.feed_data(buffer[:count])
        return parser.get_status_code(), parser.should_keep_alive()

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
