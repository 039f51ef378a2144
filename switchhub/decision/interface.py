"""The decision module's types: settings, events in, actions out.

Times are milliseconds, loads are microseconds of work a second on a standard core.
Nothing here belongs to one protocol: an adapter turns its own messages into these
events and carries out the actions in the order given.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Repeat(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """What the roster says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class ServerListKind(Enum):
    """How a roster event relates to the list already held."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    LEAVING = (
        "leaving"  # changes out of an answer that is refused otherwise; it counts as failed all the same
    )


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    repeat: Repeat
    scope: KeyScope
    window: float
    setup_aim: float
    deadline: float
    worth: float
    message_aim: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the open connections that all balancers may hold for it."""

    name: str
    share: float
    connections: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    fleet_size: int
    zone: int
    max_attempts: int
    probes_allowed: bool
    retry_after_max: float
    """Longest wait that clients are given with a refusal; 0 where they are given none."""
    groups_share_work: bool
    must_watch_server_list: bool
    watch_retry_within: float
    cold_time: float
    cold_share: float
    cold_budget_multiple: float
    cold_budget_window: float
    over_share_worth: float
    probe_price: float
    move_price: float
    cross_zone_price: float


class Server(NamedTuple):
    """A roster entry."""

    id: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float
    started_at: float


class Request(NamedTuple):
    """A client's request for a connection."""

    id: str
    class_index: int
    budget: float
    tenant: int = 0
    hint: float | None = None
    key: str | None = None
    group: str | None = None
    returning: bool = False
    late: bool = False
    """This process can't set it up before the client's time is over."""


# Events in.


class RequestArrived(NamedTuple):
    """A request is now ours; it is owed one final answer."""

    request: Request


class ConnectionAdopted(NamedTuple):
    """A connection that stood before this balancer's start."""

    request: Request
    server: str


class ConnectionUp(NamedTuple):
    """An attempt's connection stands; no time-out binds it any more."""

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
    """How long a message takes at a server now."""

    request: str
    attempt: int
    server: str
    delay: float


class AttemptEnded(NamedTuple):
    """The one end of an attempt; `closed` when the request is over with it."""

    request: str
    attempt: int
    server: str
    closed: bool
    elapsed: float
    result: Result


class ClientLeft(NamedTuple):
    """The request is over and nothing is owed; attempts that are out still end."""

    request: str


class ServerListChanged(NamedTuple):
    """The roster, or changes to it."""

    kind: ServerListKind
    servers: tuple[Server, ...]


class ServerListFailed(NamedTuple):
    """A roster call failed, or the subscription is lost; the held list stands."""


class DiscoveryChanged(NamedTuple):
    """The roster is asked for elsewhere from now on, and is at once; the held list stands until then."""


class TimerFired(NamedTuple):
    """A timer that the balancer has set is due."""

    token: int


class ProbeAnswered(NamedTuple):
    """What a probe found."""

    server: str
    result: Result
    report: Mapping[str, float]


class DrainStarted(NamedTuple):
    """This balancer gives away what it holds, on purpose."""


class DrainEnded(NamedTuple):
    """It takes its part again."""


class LearnedServer(NamedTuple):
    """What is known of one server by experience; `sent`: while it is cold, when what was sent there."""

    server: str
    rounding_offset: float
    failures: int
    ejected_until: float
    limit: float
    limit_at: float
    sent: tuple[tuple[float, float], ...]


class LearnedState(NamedTuple):
    """What a former process of this balancer knew by experience; it holds for servers that are listed."""

    mean_hint: float
    setup_time: float
    setup_deviation: float
    overload_at: float
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
    """Set the request up at a server; attempts count from 0. Time-out 0: as long as the client waits.
    What is not sent `within` so many milliseconds, for its connection came up late, is not to be sent."""

    request: str
    server: str
    timeout: float
    send_within: float = math.inf


class Refuse(NamedTuple):
    """Final answer: turned away, trying again is harmless."""

    request: str
    retry_after: float


class Fail(NamedTuple):
    """Final answer: failed, nothing promised."""

    request: str


class Move(NamedTuple):
    """Close an open connection politely; its client comes again."""

    request: str


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` with this token."""

    token: int
    delay: float


class WatchServerList(NamedTuple):
    """Ask for the roster's changes from now on."""


class Probe(NamedTuple):
    """Ask a server for its load report."""

    server: str


class Note(NamedTuple):
    """One line for whoever is on call."""

    text: str


Action = Attempt | Refuse | Fail | Move | SetTimer | WatchServerList | Probe | Note
