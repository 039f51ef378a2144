"""Types of the decision module: settings, events in, actions out.

Times are milliseconds, loads are microseconds of work a second on a standard core. Nothing here belongs to
one protocol: an adapter turns its own messages into these events, and carries out the actions in the order
given.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Repeat(Enum):
    """What happens if a request is run a second time."""

    SAFE = "safe"  # no further effect
    KEYED = "keyed"  # servers that know the request's key drop the repeat
    UNSAFE = "unsafe"  # a second effect


class KeyScope(Enum):
    """Which servers know the key of a keyed request, and so drop its repeats."""

    ALL = "all"
    ZONE = "zone"  # those in the zone of the server that ran it first
    CELL = "cell"  # those in the cell of the server that ran it first


class ServerState(Enum):
    """The state of a server according to the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt, an open connection or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class ServerListKind(Enum):
    """How a server list relates to the list that the balancer has."""

    CHANGES = "changes"  # names only servers that have changed
    WHOLE = "whole"  # replaces the list; servers that are not named are gone
    REMEMBERED = "remembered"  # replaces the list too, but comes from before the start and not from discovery
    LEAVING = "leaving"  # the servers that leave according to a rejected answer, whose call counts as failed


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    repeat: Repeat
    scope: KeyScope
    window: float
    """How long servers know the key of a keyed request, counted from its first run."""
    setup_aim: float
    """How long a set-up may take to count as well served."""
    deadline: float
    """How long clients wait for the final answer."""
    worth: float
    """What a unit of work is worth, compared with other classes."""
    message_aim: float
    """How long a message may take at its server to count as well served."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, and the number of open connections that all balancers may hold for it."""

    name: str
    share: float
    connections: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer, which are fixed from its start on."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    fleet_size: int
    """How many balancers there are."""
    zone: int
    max_attempts: int
    """How many attempts a request may have."""
    probes_allowed: bool
    retry_after_max: float
    """The longest wait that a refusal may tell a client; 0 if refusals tell none."""
    groups_share_work: bool
    """Whether connections of one group cost less at one server than at several."""
    must_watch_server_list: bool
    """Whether the server list has to be requested from discovery; otherwise it arrives by itself."""
    watch_retry_within: float
    """After this time without a call or a watch a balancer counts as knowing what discovery knows."""
    cold_time: float
    """How long a server is cold after its start."""
    cold_share: float
    """The fraction of its capacity that a server has at its start; it grows evenly to 1 in `cold_time`."""
    cold_budget_multiple: float
    """The load that may be sent to a cold server in a window, as a multiple of its share of what a warm
    server holds, spread evenly over `cold_time`."""
    cold_budget_window: float
    """The length of that window."""
    over_share_worth: float
    """Factor on the worth of work for tenants that are over their share."""
    probe_price: float
    """The price of a probe."""
    move_price: float
    """The price of moving a connection."""
    cross_zone_price: float
    """The price of serving a connection from another zone."""


class Server(NamedTuple):
    """An entry of the server list."""

    id: str
    zone: int
    kind: int
    """The kind of hardware, as a number."""
    cell: int
    state: ServerState
    weight: float
    started_at: float
    """When the server started, on the clock of the events; 0 if it started long ago."""


class Request(NamedTuple):
    """A client's request for a connection."""

    id: str
    class_index: int
    budget: float
    """How long the client still waits for the final answer."""
    tenant: int = 0
    """Index of the tenant."""
    hint: float | None = None
    """The load that the client expects of the connection."""
    key: str | None = None
    """Idempotency key of a keyed request."""
    group: str | None = None
    returning: bool = False
    """Whether the client had a connection before, and was moved or cut off."""
    late: bool = False
    """Whether this process is too busy to set the connection up before the client stops waiting."""


# Events in.


class RequestArrived(NamedTuple):
    """A new request, to which this balancer must give exactly one final answer."""

    request: Request


class ConnectionAdopted(NamedTuple):
    """A connection that was open before this balancer started."""

    request: Request
    server: str


class ConnectionUp(NamedTuple):
    """An attempt's connection is established after `elapsed`; its time-out no longer applies."""

    request: str
    attempt: int
    server: str
    elapsed: float


class LoadReported(NamedTuple):
    """The present load of a connection."""

    request: str
    attempt: int
    server: str
    load: float


class DelayReported(NamedTuple):
    """How long a message takes at a server at present."""

    request: str
    attempt: int
    server: str
    delay: float


class AttemptEnded(NamedTuple):
    """The end of an attempt or of its open connection, after `elapsed`.

    `closed`: the request is over with it, and no further attempt may follow.
    """

    request: str
    attempt: int
    server: str
    closed: bool
    elapsed: float
    result: Result


class ClientLeft(NamedTuple):
    """The client has gone, so no answer is due; an attempt that is under way is still going to end."""

    request: str


class ServerListChanged(NamedTuple):
    """The server list, or changes to it."""

    kind: ServerListKind
    servers: tuple[Server, ...]


class ServerListFailed(NamedTuple):
    """A call for the server list failed, or the watch broke off; the list as known stays valid.

    `refused`: discovery answered that it does not serve the call, or the reason is not known."""

    refused: bool = True


class DiscoveryChanged(NamedTuple):
    """Discovery has another address, which is called at once; the list as known stays valid until then."""


class TimerFired(NamedTuple):
    """A timer that the balancer has set is due."""

    token: int


class ProbeAnswered(NamedTuple):
    """The result of a probe."""

    server: str
    result: Result
    report: Mapping[str, float]


class DrainStarted(NamedTuple):
    """A drain of this balancer has started: its connections are going to be moved away."""


class DrainEnded(NamedTuple):
    """The drain is over: the balancer takes its share of connections again."""


class LearnedServer(NamedTuple):
    """What a balancer has learned about one server from its traffic."""

    server: str
    rounding_offset: float
    """Random in [0, 1): rounds the balancer's share of the server to whole connections."""
    failures: int
    """Failed set-ups less the successful ones after them."""
    ejected_until: float
    limit: float
    """What the sum of loads was limited to at `limit_at`; infinite without a limit."""
    limit_at: float
    """When an overload signal last set the limit."""
    sent: tuple[tuple[float, float], ...]
    """Time and load of each attempt that was sent while the server was cold."""


class LearnedState(NamedTuple):
    """What the predecessor of this process learned from its traffic; it applies to listed servers only."""

    mean_hint: float
    setup_time: float
    """Mean time of successful set-ups."""
    setup_deviation: float
    """Their mean deviation from it."""
    overload_at: float
    """When a server last signalled overload; minus infinity if none did."""
    servers: tuple[LearnedServer, ...]


Event = (
    RequestArrived
    | ConnectionAdopted
    | ConnectionUp
    | LoadReported
    | DelayReported
    | AttemptEnded
    | ClientLeft
    | ServerListChanged
    | DiscoveryChanged
    | ServerListFailed
    | TimerFired
    | ProbeAnswered
    | LearnedState
    | DrainStarted
    | DrainEnded
)


# Actions out.


class Attempt(NamedTuple):
    """Set the request up at a server; the attempts of a request count from 0.

    A request whose connection is ready only after `send_within` must not be sent.
    """

    request: str
    server: str
    timeout: float
    """How long the set-up may take; 0 for as long as the client waits."""
    send_within: float = math.inf


class Refuse(NamedTuple):
    """Final answer: refused, and trying again after `retry_after` is harmless."""

    request: str
    retry_after: float


class Fail(NamedTuple):
    """Final answer: failed, and trying again may have a second effect."""

    request: str


class Move(NamedTuple):
    """Tell the client of an open connection to reconnect, then close it."""

    request: str


class SetTimer(NamedTuple):
    """Send a `TimerFired` with this token after `delay`."""

    token: int
    delay: float


class WatchServerList(NamedTuple):
    """Request the server list and its changes from discovery."""


class Probe(NamedTuple):
    """Request a server's load report."""

    server: str


class Note(NamedTuple):
    """One line for the operator's log."""

    text: str


Action = Attempt | Refuse | Fail | Move | SetTimer | WatchServerList | Probe | Note
"""Everything that the decision module may ask its adapter to do."""
