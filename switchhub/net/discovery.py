"""Discovery client: watches the server list, reports it to the decision module, and keeps server addresses.

Owns the one connection to the discovery service and the table of addresses and states. A server's address is
kept for as long as connections may need it, so it is never removed. The next watch starts as soon as the
last one was answered; after a failure the decision module decides when to call again.

Versions belong to one discovery service. The first call after a change of its address requests the full list;
at the start the initial list and its version come with the configuration, so the first call is already a
watch. Discovery serves all balancers from one queue: after most of them were killed, a full list followed by
a watch from each would be twice the work, and a call that its caller has abandoned is still processed in its
turn.

A watch whose connection has died looks like one without updates, and an update that it misses counts as
delivered 6 s later. Calls therefore wait for a short time only and are repeated at once; a call that is not
answered in time is opened anew at once. Continuing a watch takes no place in discovery's queue, while a new
watch does.
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
    Listing,
    ListingError,
    ServerEntry,
    parse_listing,
    readable_leaving_entries,
    validated_listing,
)
from switchhub.net.counters import Counters

# How long a new watch waits for updates: short, to learn soon whether the watch works at all.
FIRST_WATCH_WAIT_MS = 250
WATCH_WAIT_MAX_MS = 2000  # the same for a continued watch: a random time from half of it to all of it
NEW_CALL_GRACE_S = 2.2  # on top of the wait: time that a new call may spend in discovery's queue
# On top of the wait for a continued watch, which does not queue: past this the connection counts as dead.
CONTINUED_WATCH_GRACE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
BODY_TIMEOUT_S = 0.7  # from the first byte of a response body to its last
RESPONSE_MAX_BYTES = 2 << 20  # room for ten thousand servers


class DiscoveryError(Exception):
    """A call to discovery failed.

    `refused`: discovery answered with another status than 200."""

    def __init__(self, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class _ResponseReader:
    """Collects one HTTP response; once its body has begun, it must end within `BODY_TIMEOUT_S`."""

    def __init__(self, timeout: asyncio.Timeout) -> None:
        self._timeout = timeout
        self.body = bytearray()
        self.done = False

    def on_body(self, body: bytes) -> None:
        if not self.body:
            latest_end = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
            self._timeout.reschedule(min(latest_end, self._timeout.when() or latest_end))
        self.body += body
        if len(self.body) > RESPONSE_MAX_BYTES:
            raise DiscoveryError("response longer than 2 MiB")

    def on_message_complete(self) -> None:
        self.done = True


class Discovery:
    """The watch of the server list, and the table of server addresses and states."""

    def __init__(
        self, config: Config, facade: Facade, counters: Counters, clock: Callable[[], float]
    ) -> None:
        self._config, self._facade, self._counters, self._clock = config, facade, counters, clock
        self._discovery_address = config.discovery
        self._watch_requested = asyncio.Event()
        # Set at the start: the decision module does not request lists that are pushed, but only a watch
        # receives them.
        self._watch_requested.set()
        self._watch_task: asyncio.Task[None] | None = None
        self._address_changed = False
        self._sock: socket.socket | None = None
        # None after a change of the discovery address, until the first answer.
        self._version: int | None = config.initial_listing.version
        self._last_call_answered = False  # if so, the next call continues the same watch
        self._random = Random(config.seed)  # keeps the watches of all balancers from expiring in step
        self._addresses: dict[str, Address] = {}
        self._ready_servers: set[str] = set()
        self._listed_entries: dict[str, ServerEntry] = {}
        self._apply_listing(config.initial_listing, ServerListKind.REMEMBERED)

    def address(self, server: str) -> Address | None:
        """Return a server's listening address, also if it is draining or gone; None if it is unknown."""
        return self._addresses.get(server)

    def is_ready(self, server: str) -> bool:
        """Whether new requests may be sent to this server."""
        return server in self._ready_servers

    def snapshot(self) -> tuple[Address, dict[str, Any]]:
        """Return discovery's address and the current list in discovery's JSON form."""
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
            for server, address in self._listed_entries.values()
        ]
        return self._discovery_address, {"version": self._version or 0, "full": True, "servers": servers}

    @property
    def version(self) -> int:
        """The version of the current list; 0 if there is none."""
        return self._version or 0

    def load_predecessor_listing(self, address: Address, listing: Listing) -> bool:
        """Start from the list of a predecessor process; False if it watched another discovery service."""
        if address != self._discovery_address:
            return False
        self._version = listing.version or None
        self._ready_servers.clear()
        self._apply_listing(listing, ServerListKind.REMEMBERED)
        return True

    def request_watch(self) -> None:
        """Start a watch, as requested by the decision module."""
        self._watch_requested.set()

    def change_address(self, address: Address) -> None:
        """Switch to another discovery service: cancel the current call and request the full list at once."""
        self._discovery_address, self._version, self._address_changed = address, None, True
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._facade.discovery_changed(self._clock())
        self._watch_requested.set()

    async def run(self) -> None:
        """Watch the server list until cancelled. No answer or failure of discovery ends the balancer."""
        try:
            while True:
                await self._watch_requested.wait()
                self._watch_requested.clear()
                self._address_changed = False
                self._watch_task = asyncio.create_task(self._watch_until_failure())
                await asyncio.wait((self._watch_task,))
                self._close()
                error = None if self._watch_task.cancelled() else self._watch_task.exception()
                if self._address_changed:
                    continue
                self._watch_requested.clear()
                logger.warning("discovery: {}: {}", type(error).__name__, error)
                self._counters.add("discovery.failed")
                if isinstance(error, ListingError):
                    self._apply_rejected(error)
                refused = isinstance(error, DiscoveryError) and error.refused
                self._facade.report(self._clock(), ServerListLost(refused))
        finally:
            if self._watch_task is not None:
                self._watch_task.cancel()
            self._close()

    async def _watch_until_failure(self) -> None:
        """Call until a call fails.

        A call that times out is repeated at once on a new connection, since discovery itself drops a call
        sooner than that. After two time-outs in a row the decision module says when to call again."""
        self._last_call_answered = previous_timed_out = False
        while True:
            try:
                listing = await self._logged_call()
            except TimeoutError:
                if previous_timed_out:
                    raise
                logger.warning("discovery: silent, called anew")
                self._counters.add("discovery.silent")
                self._close()
                self._last_call_answered, previous_timed_out = False, True
                continue
            previous_timed_out = False
            self._last_call_answered = True
            self._version = listing.version
            self._apply_listing(listing, ServerListKind.WHOLE if listing.full else ServerListKind.CHANGES)

    def _apply_listing(self, listing: Listing, kind: ServerListKind) -> None:
        if kind is ServerListKind.WHOLE:
            self._ready_servers.clear()
        if kind in (ServerListKind.WHOLE, ServerListKind.REMEMBERED):
            self._listed_entries.clear()
        for entry in listing.entries:
            server, address = entry
            self._addresses[server.id] = address
            if server.state is ServerState.GONE:
                self._listed_entries.pop(server.id, None)
            else:
                self._listed_entries[server.id] = entry
            if server.state is ServerState.READY:
                self._ready_servers.add(server.id)
            else:
                self._ready_servers.discard(server.id)
            if kind is not ServerListKind.REMEMBERED:
                logger.info(
                    "server {} {} at {}:{} started {:.0f}",
                    server.id,
                    server.state.value,
                    *address,
                    server.started_at,
                )
        self._counters.add("discovery.answers")
        self._facade.report(self._clock(), ServerList(kind, tuple(entry.server for entry in listing.entries)))

    def _apply_rejected(self, error: ListingError) -> None:
        """Keep the last valid list, except servers that the rejected one reports as leaving; then request
        the full list."""
        self._counters.add("discovery.refused")
        self._version = None
        known_leaving = tuple(entry for entry in error.leaving if entry.server.id in self._addresses)
        self._apply_listing(Listing(0, False, known_leaving), ServerListKind.LEAVING)

    async def _logged_call(self) -> Listing:
        """Make one call and log how long it took and how it ended, which shows an overloaded discovery."""
        self._counters.add("discovery.calls")
        started, version, outcome = self._clock(), self._version, "failed"
        try:
            listing = await self._fetch_listing()
            outcome = f"full {listing.version}" if listing.full else f"changes {listing.version}"
            return listing
        finally:
            logger.debug(
                "discovery: call from version {} {} after {:.0f} ms",
                version,
                outcome,
                self._clock() - started,
            )

    async def _fetch_listing(self) -> Listing:
        if self._sock is None:
            self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sock.setblocking(False)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(self._sock, self._discovery_address)
        wait_ms, grace_s = self._call_timing()
        host, port = self._discovery_address
        query = "" if self._version is None else f"?index={self._version}&wait={wait_ms}"
        request = f"GET /api/targets{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        timeout = asyncio.timeout(wait_ms / 1000 + grace_s)
        response = _ResponseReader(timeout)
        try:
            async with timeout:
                await asyncio.get_running_loop().sock_sendall(self._sock, request.encode())
                status, keep_alive = await self._read_response(self._sock, response)
        except (TimeoutError, OSError, DiscoveryError, httptools.HttpParserError) as error:
            if not response.body:
                raise  # without a body, no drain has been reported
            # A body that broke off or never ended may have reported a drain before that.
            raise self._unreadable_response(
                f"response broke off: {type(error).__name__}: {error}", response.body
            ) from None
        if not keep_alive:
            self._close()
        if status != 200:
            raise DiscoveryError(f"status {status}", refused=True)
        try:
            data: Any = json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise self._unreadable_response(f"invalid JSON: {error}", response.body) from None
        return validated_listing(parse_listing(data, self._config.zones, self._config.kinds), self._version)

    def _unreadable_response(self, reason: str, body: bytearray) -> ListingError:
        """Return the error for a body that cannot be parsed as a whole, with the leaving servers in it."""
        return ListingError(reason, readable_leaving_entries(body, self._config.zones, self._config.kinds))

    def _call_timing(self) -> tuple[int, float]:
        """Return how long the next call waits for updates (ms) and the time past that for its answer (s)."""
        if self._version is None:  # the full list comes without a wait
            return 0, NEW_CALL_GRACE_S
        if not self._last_call_answered:
            return FIRST_WATCH_WAIT_MS, NEW_CALL_GRACE_S
        return round(WATCH_WAIT_MAX_MS * self._random.uniform(0.5, 1.0)), CONTINUED_WATCH_GRACE_S

    async def _read_response(self, sock: socket.socket, response: _ResponseReader) -> tuple[int, bool]:
        """Read a response to its end; return its status and whether the connection can be reused."""
        parser = httptools.HttpResponseParser(response)
        buffer = memoryview(bytearray(16384))
        while not response.done:
            count = await asyncio.get_running_loop().sock_recv_into(sock, buffer)
            if not count:
                raise DiscoveryError("connection closed before the end of the response")
            parser.feed_data(buffer[:count])
        return parser.get_status_code(), parser.should_keep_alive()

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
