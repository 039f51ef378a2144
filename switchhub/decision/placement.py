"""All decisions of one balancer: placement, load limits, ejection and moves.

Its settings, events and actions are defined in `switchhub/decision/interface.py`; when to call discovery
again is decided in `switchhub/decision/discovery_retry.py`. It does no I/O and reads no clock. Times are
milliseconds, loads are microseconds of work a second on a standard core.

For each server the balancer keeps a sum: the load hints of the connections that it placed there, or that
were already open when it started, until they end. A new connection goes to the server where the sum plus
the connection's own hint is least.

A placement has three steps. The rules leave the permitted servers: 1, each request gets one final answer;
2, no request takes effect twice; 3, a draining server gets nothing new; 4, a cold server is filled slowly.
Filters then narrow the candidates, each guarding against one known failure. Of those that remain, the least
sum decides. A filter that would leave no candidate is skipped; a rule is never skipped.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Any

from switchhub.decision.discovery_retry import DiscoveryRetry
from switchhub.decision.interface import (
    Action,
    Attempt,
    AttemptEnded,
    ClientLeft,
    ConnectionAdopted,
    ConnectionUp,
    DelayReported,
    DiscoveryChanged,
    DrainEnded,
    DrainStarted,
    Event,
    Fail,
    KeyScope,
    LearnedServer,
    LearnedState,
    LoadReported,
    Move,
    Note,
    ProbeAnswered,
    Refuse,
    Repeat,
    Request,
    RequestArrived,
    Result,
    Server,
    ServerListChanged,
    ServerListFailed,
    ServerListKind,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
    WatchServerList,
)

MEAN_HINT_GAIN = 1 / 64  # weight of the newest hint in the moving average that replaces a missing hint
NEVER_RAN = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})  # the attempt surely did not run
UNHEALTHY_RESULTS = frozenset({Result.ERROR, Result.TIMEOUT, Result.UNREACHABLE, Result.RESET})
EJECTION_BASE_MS = 62.5  # doubled for each counted failure
FAILURES_MAX = 6  # failures counted at most, which bounds the ejection time
EJECTION_FAILURES = 2  # failures from which on a server is ejected
TIMEOUT_DEVIATIONS = 4.0  # mean deviations above the mean set-up time that an attempt may take
SETUP_TIME_GAIN = 1 / 16  # weight of the newest set-up in the moving averages of set-up times
# How far a sum may exceed the least one and still count as equal to it, as a multiple of the least sum's
# statistical error, which is the square root of its summed squared loads.
SUM_NOISE_FACTOR = 2.0
GROUP_COST_HINTS = 16.0  # load that a group adds to a server without any of its connections, in mean hints
GROUP_START_SLACK_HINTS = 4.0  # how far the common start of a group may exceed the least sum, in mean hints
HASH_MASK = 2**64 - 1  # hashes have 64 bits
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # odd, so that multiplying permutes the hashes
# Mean connections of a group at each of its servers above which this balancer's own sums choose where a group
# starts, instead of the common start.
LOCAL_GROUP_START_CONNECTIONS = 2.0
OVERLOAD_DELAY_FRACTION = 1 / 3  # of the shortest message aim: a delay from which on a server is overloaded
LIMIT_HOLD_MS = 1500.0  # how long a limit stays constant after the last overload signal
LIMIT_GROWTH_PER_S = 0.02  # fraction of itself by which a limit then grows
LIMIT_REFILL_PER_S = 0.1  # fraction of the servers' mean sum by which a nearly empty server's limit grows
LIMIT_CUT_FRACTION = 0.2  # of the limit, taken off by a delay that misses the message aim
STALL_DELAY_MS = 1000.0  # a delay from which on a server counts as stalled: its limit becomes 0
RETRY_TIMER_TOKEN = 1  # the only timer: call discovery again
MOVE_RATE_PER_S = 0.07  # fraction of its connections that a balancer moves at most
# A sparse balancer has at most one connection per server. It moves the first fraction of its connections,
# divided by the price of a move, but never more than the second.
SPARSE_MOVE_BUDGET_PER_S = 0.0015
SPARSE_MOVE_RATE_MAX_PER_S = 0.3
OVER_SHARE_LIMIT_FRACTION = 0.9  # of a limit, open to tenants that are over their share


def _hash64(text: str) -> int:
    """A 64-bit hash of the text that is the same at every balancer."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class _ServerRecord:
    """What this balancer knows of one server."""

    __slots__ = (
        "cold_sends",
        "connections",
        "ejected_until",
        "failures",
        "groups",
        "id",
        "id_hash",
        "limit",
        "limit_set_at",
        "load_sum",
        "pending_attempts",
        "rounding_offset",
        "server",
        "share_before_drain",
    )

    def __init__(self, server: Server, rounding_offset: float) -> None:
        self.id, self.server = server.id, server
        self.id_hash = _hash64(server.id)
        # Random in [0, 1): the part of a connection by which this balancer may exceed its share here, so that
        # the shares of all balancers, rounded to whole connections, add up to about the intended load.
        self.rounding_offset = rounding_offset
        self.connections: dict[str, _Connection] = {}  # by request id, attempts under way included
        self.load_sum = 0  # loads of these connections
        self.groups: Counter[str] = Counter()  # how many of these connections each group has
        self.pending_attempts = 0
        # This balancer's share of the server's load when its last drain began, until the sum has reached it
        # again; 0 if there was none. It bounds limits from below.
        self.share_before_drain = 0.0
        self.failures = 0  # failed set-ups less the successful ones after them
        self.ejected_until = 0.0
        # What the load sum may rise to, and when an overload signal last set it; see `_current_limit`.
        self.limit, self.limit_set_at = math.inf, 0.0
        self.cold_sends: deque[tuple[float, float]] = deque()  # while cold: time and load of each attempt


class _Connection:
    """A request while it is placed, while an attempt is under way, and while its connection is open."""

    __slots__ = (
        "attempts",
        "client_left",
        "deadline",
        "established",
        "group",
        "load",
        "may_have_run",
        "moving",
        "record",
        "request",
        "request_class",
        "tried_servers",
    )

    def __init__(self, request: Request, settings: Settings, load: int, deadline: float) -> None:
        self.request, self.load, self.deadline = request, load, deadline
        self.request_class = settings.classes[request.class_index]
        self.group = request.group if settings.groups_share_work else None
        self.attempts = 0
        self.tried_servers: set[str] = set()
        self.record: _ServerRecord | None = None  # of the server of the attempt or of the open connection
        self.established = self.moving = self.client_left = False  # moving: its client was asked to move
        self.may_have_run: tuple[Server, float] | None = None  # server and time of the first such attempt


class Balancer:
    """Turns events into actions. The same settings, seed and events always give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Prepare for `start`; the seed determines every random choice."""
        self._settings = settings
        self._random = Random(seed)
        # As `_ServerRecord.rounding_offset`, for this balancer's share of all new servers together.
        self._new_servers_offset = Random(f"new servers {seed}").random()
        self._now = 0.0
        self._actions: list[Action] = []
        self._records: dict[str, _ServerRecord] = {}
        self._ready_records: list[_ServerRecord] = []  # servers that may get new connections
        self._new_records: list[_ServerRecord] = []  # of the ready: those listed with a start time
        self._cold_records: list[_ServerRecord] = []  # of the new: those that may still be cold
        self._connections: dict[str, _Connection] = {}
        self._tenant_connections = [0] * len(settings.tenants)  # of each tenant, by its index
        quota = sum(tenant.connections for tenant in settings.tenants)
        self._total_quota = quota if math.isfinite(quota) else 0.0
        self._mean_hint = 0.0
        self._setup_time = self._setup_deviation = 0.0  # of successful set-ups: mean, and mean deviation
        self._shortest_message_aim = min((each.message_aim for each in settings.classes), default=0.0)
        self._discovery_retry = DiscoveryRetry(settings.fleet_size, settings.watch_retry_within, self._random)
        self._overload_at = -math.inf  # when a server last signalled overload
        self._sparse_move_rate = SPARSE_MOVE_BUDGET_PER_S / max(
            settings.move_price, SPARSE_MOVE_BUDGET_PER_S / SPARSE_MOVE_RATE_MAX_PER_S
        )
        # How many moves are allowed, and when that was last counted.
        self._move_credit, self._move_credit_at = math.inf, 0.0
        self._filters = (
            self._keep_healthy,
            self._keep_untried,
            self._keep_within_limit,
            self._keep_group_start,
            self._keep_known,
            self._keep_new,
            self._keep_own_zone,
        )
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RequestArrived: self._on_request,
            ConnectionAdopted: self._on_connection_adopted,
            ConnectionUp: self._on_connection_up,
            AttemptEnded: self._on_attempt_ended,
            ClientLeft: self._on_client_left,
            LoadReported: self._on_load_reported,
            DelayReported: self._on_delay_reported,
            ServerListChanged: self._on_server_list_changed,
            ServerListFailed: self._on_server_list_failed,
            DiscoveryChanged: self._on_discovery_changed,
            TimerFired: self._on_timer,
            LearnedState: self._on_learned_state,
            DrainStarted: self._on_drain_started,
            DrainEnded: self._on_drain_ended,
            # No probes are sent: reported delays carry the same information without extra requests.
            ProbeAnswered: lambda _event: None,
        }

    def start(self, now: float) -> list[Action]:
        """The first actions, before any event."""
        self._now = now
        self._discovery_retry.record_call(now)
        return [WatchServerList()] if self._settings.must_watch_server_list else []

    def handle(self, now: float, event: Event) -> list[Action]:
        """The actions that an event leads to. Events of one moment are passed one by one, in their order."""
        self._now, self._actions = now, []
        self._handlers[type(event)](event)
        return self._actions

    def sums(self) -> dict[str, int]:
        """The load sum of each known server by its id, for tests and inspection."""
        return {record.id: record.load_sum for record in self._records.values()}

    def server_counts(self, now: float) -> tuple[int, int]:
        """How many servers are listed, and how many of them are draining or ejected at present."""
        listed = [record for record in self._records.values() if record.server.state is not ServerState.GONE]
        return len(listed), sum(
            record.server.state is not ServerState.READY
            or (record.failures >= EJECTION_FAILURES and record.ejected_until > now)
            for record in listed
        )

    def learned_state(self) -> LearnedState:
        """What this balancer has learned from its traffic, for the process that succeeds this one."""
        return LearnedState(
            self._mean_hint,
            self._setup_time,
            self._setup_deviation,
            self._overload_at,
            tuple(
                LearnedServer(
                    record.id,
                    record.rounding_offset,
                    record.failures,
                    record.ejected_until,
                    record.limit,
                    record.limit_set_at,
                    tuple(record.cold_sends),
                )
                for record in self._records.values()
            ),
        )

    def _on_learned_state(self, event: LearnedState) -> None:
        """Take over what the predecessor learned about servers that are listed.

        Without it this process would fill servers that are over their limits like all others, and a cold
        server would get the budget of both processes.
        """
        self._mean_hint, self._setup_time, self._setup_deviation, self._overload_at, servers = event
        for each in servers:
            if (record := self._records.get(each.server)) is not None:
                (
                    record.rounding_offset,
                    record.failures,
                    record.ejected_until,
                    record.limit,
                    record.limit_set_at,
                ) = each[1:6]
                record.cold_sends = deque(each.sent)

    def _on_drain_started(self, _event: DrainStarted) -> None:
        """Keep this balancer's share of each server's load, which the drain is about to give away.

        The share is raised to what this balancer would hold while one of the other balancers drains.
        """
        others = max(1, self._settings.fleet_size - 1)
        for record in self._records.values():
            record.share_before_drain = record.load_sum * (others + 1) / others

    def _on_drain_ended(self, _event: DrainEnded) -> None:
        """Forget all limits.

        Sums fall in a drain on purpose. A limit set from such a sum would refuse the clients that another
        balancer moves away when it drains.
        """
        for record in self._records.values():
            record.limit, record.limit_set_at = math.inf, 0.0

    # Requests and their connections.

    def _on_request(self, event: RequestArrived) -> None:
        request = event.request
        connection = _Connection(request, self._settings, self._load_of(request), self._now + request.budget)
        self._connections[request.id] = connection
        # A late request cannot be set up before its client gives up, so an overloaded process must not waste
        # work on it.
        if request.late:
            self._refuse_or_fail(connection)
        else:
            self._place(connection)

    def _on_connection_adopted(self, event: ConnectionAdopted) -> None:
        record = self._records.get(event.server)
        if record is None:  # the server is not listed: count the connection, place nothing there
            record = self._records[event.server] = _ServerRecord(
                Server(event.server, -1, 0, -1, ServerState.GONE, 1.0, 0.0), self._random.random()
            )
        connection = _Connection(event.request, self._settings, self._load_of(event.request), math.inf)
        connection.attempts, connection.established = 1, True
        self._connections[event.request.id] = connection
        self._add_to_server(connection, record)

    def _load_of(self, request: Request) -> int:
        """The hint, or the moving average of recent hints and reported loads if there is none; at least 1.

        Where clients send no hints, loads of 0 would never use up a cold server's budget.
        """
        if request.hint is None:
            return max(round(self._mean_hint), 1)
        self._update_mean_hint(request.hint)
        return round(request.hint)

    def _update_mean_hint(self, load: float) -> None:
        self._mean_hint += (MEAN_HINT_GAIN if self._mean_hint else 1.0) * (load - self._mean_hint)

    def _add_to_server(self, connection: _Connection, record: _ServerRecord) -> None:
        """Count an attempt, or an open connection, in the server's sum."""
        connection.record = record
        record.connections[connection.request.id] = connection
        record.load_sum += connection.load
        if record.load_sum >= record.share_before_drain:
            record.share_before_drain = 0.0
        if connection.group is not None:
            record.groups[connection.group] += 1
        if self._tenant_connections:
            self._tenant_connections[connection.request.tenant] += 1

    def _remove_from_server(self, connection: _Connection, record: _ServerRecord) -> None:
        """Stop counting a connection that has ended, or whose set-up has failed, in the server's sum."""
        connection.record = None
        del record.connections[connection.request.id]
        record.load_sum -= connection.load
        if connection.group is not None:
            record.groups[connection.group] -= 1
            if not record.groups[connection.group]:
                del record.groups[connection.group]
        if self._tenant_connections:
            self._tenant_connections[connection.request.tenant] -= 1

    def _find_current_attempt(self, request: str, attempt: int) -> _Connection | None:
        """The connection whose current attempt this is; None for a former attempt or an unknown request."""
        connection = self._connections.get(request)
        return (
            connection
            if connection is not None and connection.record is not None and attempt == connection.attempts - 1
            else None
        )

    def _on_connection_up(self, event: ConnectionUp) -> None:
        connection = self._find_current_attempt(event.request, event.attempt)
        if connection is None or connection.record is None or connection.established:
            return
        connection.established = True
        gain = SETUP_TIME_GAIN if self._setup_time else 1.0
        self._setup_deviation += gain * (abs(event.elapsed - self._setup_time) - self._setup_deviation)
        self._setup_time += gain * (event.elapsed - self._setup_time)
        record = connection.record
        record.pending_attempts -= 1
        if record.server.state is ServerState.DRAINING:
            self._actions.append(Move(event.request))
        if record.failures:
            record.failures, record.ejected_until = record.failures - 1, self._now
            if record.failures == EJECTION_FAILURES - 1:
                self._actions.append(Note(f"server {record.id} serves again"))

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        connection = self._find_current_attempt(event.request, event.attempt)
        if connection is None or connection.record is None:
            return
        record, result = connection.record, event.result
        self._remove_from_server(connection, record)
        record.pending_attempts -= not connection.established
        broke_off = connection.established and result is Result.RESET
        # A full server is healthy, and so is an overloaded one that resets connections because work piles up:
        # both get no more than they hold now. Any other reset of an open connection says nothing about the
        # server's health, because networks break connections too.
        if result is Result.FULL or (broke_off and self._is_overloaded(record)):
            self._set_limit(record, 1.0)
        elif result in UNHEALTHY_RESULTS and not broke_off:
            self._count_failure(record, result)
        if event.closed or connection.client_left or connection.established:
            del self._connections[event.request]
            return
        if connection.may_have_run is None and result not in NEVER_RAN:
            connection.may_have_run = (record.server, self._now - event.elapsed)
        self._place(connection)

    def _on_client_left(self, event: ClientLeft) -> None:
        if (connection := self._connections.get(event.request)) is not None:
            connection.client_left = True

    # Placement.

    def _place(self, connection: _Connection) -> None:
        """Start the request's next attempt, or give its final answer."""
        candidates = self._permitted_servers(connection)
        if not candidates or self._must_shed(connection, candidates):
            self._refuse_or_fail(connection)
            return
        for keep in self._filters:
            candidates = keep(connection, candidates) or candidates
        record = self._least_loaded(connection, candidates)
        connection.attempts += 1
        connection.tried_servers.add(record.id)
        record.pending_attempts += 1
        self._add_to_server(connection, record)
        if self._cold_age(record) is not None:
            record.cold_sends.append((self._now, self._cold_budget_load(connection)))
        self._actions.append(
            Attempt(
                connection.request.id,
                record.id,
                self._timeout(connection),
                self._repeat_window_left(connection),
            )
        )

    def _permitted_servers(self, connection: _Connection) -> list[_ServerRecord]:
        """The servers to which the rules permit an attempt now."""
        if connection.attempts >= self._settings.max_attempts or self._now >= connection.deadline:
            return []
        # Rule 3.
        records = self._ready_records
        # Rule 2.
        if connection.may_have_run is not None and connection.request_class.repeat is not Repeat.SAFE:
            first_server, _ = connection.may_have_run
            if connection.request_class.repeat is Repeat.UNSAFE or self._repeat_window_left(connection) <= 0:
                return []
            if connection.request_class.scope is KeyScope.ZONE:
                records = [record for record in records if record.server.zone == first_server.zone]
            elif connection.request_class.scope is KeyScope.CELL:
                records = [record for record in records if record.server.cell == first_server.cell]
        # Rule 4.
        if self._cold_records:
            self._cold_records = [
                record for record in self._cold_records if self._cold_age(record) is not None
            ]
            warm_sums = self._mean_warm_sums()
            excluded = {
                record
                for record in self._cold_records
                if not self._fits_cold_budget(record, connection, warm_sums)
            }
            records = [record for record in records if record not in excluded]
        return records

    def _repeat_window_left(self, connection: _Connection) -> float:
        """Rule 2: how much longer a keyed request that may have run may be sent; infinite for all others.

        It is passed on with each attempt, because an attempt that begins within the window could be sent
        after it if its connection comes up late.
        """
        if connection.may_have_run is None or connection.request_class.repeat is not Repeat.KEYED:
            return math.inf
        return connection.request_class.window - (self._now - connection.may_have_run[1])

    def _least_loaded(self, connection: _Connection, records: list[_ServerRecord]) -> _ServerRecord:
        """The server with the least sum, the new connection included; ties are broken at random."""
        sums = self._sums_with(connection, records)
        least = min(sums)
        ties = [record for record, total in zip(records, sums, strict=True) if total == least]
        return ties[0] if len(ties) == 1 else self._random.choice(ties)

    def _sums_with(self, connection: _Connection, records: list[_ServerRecord]) -> list[int]:
        """The sums of these servers, each with the new connection included.

        Each server that has connections of a group bears the group's shared work once. Hints do not include
        it, so it is added for servers that have none of the group yet.
        """
        load, group = connection.load, connection.group
        if group is None:
            return [record.load_sum + load for record in records]
        load_without_group = load + round(GROUP_COST_HINTS * self._mean_hint)
        return [
            record.load_sum + (load if group in record.groups else load_without_group) for record in records
        ]

    def _timeout(self, connection: _Connection) -> float:
        """How long the attempt may take: the usual set-up time, and for the last attempt all that is left.

        Otherwise one silent server would use up the client's whole wait and leave no time for another one.
        """
        left = connection.deadline - self._now
        usual = self._setup_time + TIMEOUT_DEVIATIONS * self._setup_deviation
        if not usual or connection.attempts >= self._settings.max_attempts:
            return left
        return min(left, max(usual, left / (self._settings.max_attempts + 1)))

    def _refuse_or_fail(self, connection: _Connection) -> None:
        """Give the final answer: a refusal where trying again is harmless, else a failure."""
        del self._connections[connection.request.id]
        wait = self._settings.retry_after_max
        self._actions.append(
            Refuse(connection.request.id, wait)
            if self._retry_is_harmless(connection)
            else Fail(connection.request.id)
        )

    def _retry_is_harmless(self, connection: _Connection) -> bool:
        """Rule 2: whether the client may be told that it can try again without a second effect."""
        request_class = connection.request_class
        return (
            connection.may_have_run is None
            or request_class.repeat is Repeat.SAFE
            or (
                request_class.repeat is Repeat.KEYED
                and request_class.scope is KeyScope.ALL
                and self._repeat_window_left(connection) > 0
            )
        )

    # Filters, in the order in which they apply. Each returns the candidates that remain; if none does, the
    # filter is skipped.

    def _keep_healthy(self, _connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """Drop ejected servers; one whose ejection is over gets one attempt at a time.

        An unhealthy server fails quickly or has no open connections, so its sum is least and it would attract
        every request.
        """
        return [
            record
            for record in records
            if record.failures < EJECTION_FAILURES
            or (record.ejected_until <= self._now and not record.pending_attempts)
        ]

    def _keep_untried(self, connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """Drop servers that this request has tried.

        A failed set-up lowers the server's sum, so the next attempt would go back to it.
        """
        return (
            [record for record in records if record.id not in connection.tried_servers]
            if connection.tried_servers
            else records
        )

    def _keep_within_limit(
        self, connection: _Connection, records: list[_ServerRecord]
    ) -> list[_ServerRecord]:
        """Drop servers that have reached their limit.

        Sums do not reflect a server's speed: a slow or crowded one would get its full share past its
        capacity.
        """
        return [
            record
            for record in records
            if record.limit == math.inf or self._has_room(record, connection, 1.0)
        ]

    def _keep_group_start(self, connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """Keep the one server at which all balancers start a group, unless it holds too much already.

        Balancers share no state, so a group would otherwise start at as many servers as there are
        balancers. The server comes first in the group's own order of servers, which is the same at all
        balancers. The filter does not apply to a group that has connections at a candidate, nor at a
        balancer that holds several connections of each group and can choose by its own sums.
        """
        if (
            connection.group is None
            or any(connection.group in record.groups for record in records)
            or (
                len(self._connections)
                > LOCAL_GROUP_START_CONNECTIONS
                * (1 + sum([len(record.groups) for record in self._ready_records]))
            )
        ):
            return records
        group_hash = _hash64(connection.group)
        start = max(records, key=lambda record: (record.id_hash ^ group_hash) * HASH_MULTIPLIER & HASH_MASK)
        most = min(record.load_sum for record in records) + GROUP_START_SLACK_HINTS * self._mean_hint
        return [start] if start.load_sum <= most else records

    def _keep_known(self, _connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """While overload is reported, keep servers with an open connection from here, with a limit, or new.

        With fewer connections than servers, an empty sum only says that this balancer does not know the
        server.
        """
        if self._now - self._overload_at >= LIMIT_HOLD_MS or len(self._connections) > len(
            self._ready_records
        ):
            return records
        return [
            record
            for record in records
            if len(record.connections) > record.pending_attempts
            or record.limit != math.inf
            or record.server.started_at
        ]

    def _keep_new(self, connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """Keep new servers while all of them together hold less than their share of this balancer's load.

        Most sums of a balancer with few connections are 0, both at old servers that took over the load of
        those that were replaced and at new ones that carry little. Comparing the new servers as a whole
        with all servers works even for a handful of connections. The share is rounded to whole connections
        at random: rounded up by many balancers with few connections each, it would give a single cold server
        twenty times its share.
        """
        if not self._new_records or len(self._new_records) == len(self._ready_records):
            return records
        new_load = sum([record.load_sum for record in self._new_records])
        cold_deficit = sum([1.0 - self._capacity_share(record) for record in self._cold_records])
        total_load = sum([record.load_sum for record in self._ready_records]) + connection.load
        share = (
            total_load * (len(self._new_records) - cold_deficit) / (len(self._ready_records) - cold_deficit)
        )
        if new_load + connection.load > share + self._new_servers_offset * connection.load:
            return records
        return [record for record in records if record.server.started_at]

    def _keep_own_zone(self, connection: _Connection, records: list[_ServerRecord]) -> list[_ServerRecord]:
        """Of the servers whose sums are equal to the least one within their noise, keep those of this zone.

        Crossing zones has a price for each message, and a difference within the noise is no reason to pay
        it.
        """
        sums = self._sums_with(connection, records)
        least = min(sums)
        connections = records[sums.index(least)].connections.values()
        highest = least + SUM_NOISE_FACTOR * math.sqrt(sum(each.load * each.load for each in connections))
        close = [record for record, total in zip(records, sums, strict=True) if total <= highest]
        return [record for record in close if record.server.zone == self._settings.zone]

    # Overload and limits.

    def _must_shed(self, connection: _Connection, records: list[_ServerRecord]) -> bool:
        """Whether to refuse the request because the servers are overloaded; never where a retry could harm.

        Past the fleet's capacity each further connection slows down all others. A balancer knows only the
        servers where it has connections, or had some before a drain. If all n of these are overloaded, the
        others probably are too, so the request is refused with probability n / (n + 1).
        """
        fraction = OVER_SHARE_LIMIT_FRACTION if self._is_tenant_over_share(connection) else 1.0
        if not self._retry_is_harmless(connection):
            return False
        healthy = self._keep_healthy(connection, records)
        if not any(self._has_room(record, connection, fraction) for record in healthy):
            return True
        known = [
            record
            for record in healthy
            if len(record.connections) > record.pending_attempts or record.share_before_drain
        ]
        return all(self._is_overloaded(record) for record in known) and self._random.random() < len(known) / (
            len(known) + 1
        )

    def _is_overloaded(self, record: _ServerRecord) -> bool:
        """Whether the server signalled overload recently and has not reported a short delay since."""
        return self._now - record.limit_set_at < LIMIT_HOLD_MS and record.limit != math.inf

    def _has_room(self, record: _ServerRecord, connection: _Connection, fraction: float) -> bool:
        """Whether the connection fits under this fraction of the server's limit, rounded at random.

        Without the rounding, many balancers that hold a connection or two each would all take nothing more.
        """
        return (
            self._sums_with(connection, [record])[0]
            <= self._current_limit(record) * fraction + record.rounding_offset * connection.load
        )

    def _is_tenant_over_share(self, connection: _Connection) -> bool:
        """Whether the tenant's part of the connections here exceeds its part of the sum of all quotas.

        The comparison does not depend on how many of the fleet's connections this balancer has.
        """
        if not self._total_quota:
            return False
        tenant = connection.request.tenant
        quota_share = self._settings.tenants[tenant].connections / self._total_quota
        return self._tenant_connections[tenant] > quota_share * sum(self._tenant_connections)

    def _on_delay_reported(self, event: DelayReported) -> None:
        """Make what this balancer holds at an overloaded server its limit there.

        Without a limit a crowded server would keep getting its full share.
        """
        if (record := self._records.get(event.server)) is None:
            return
        if event.delay < OVERLOAD_DELAY_FRACTION * self._shortest_message_aim:
            record.limit_set_at = self._now - LIMIT_HOLD_MS  # the limit may rise from now on
        elif event.delay < self._shortest_message_aim:
            self._set_limit(record, 1.0)
        else:
            self._set_limit(record, 0.0 if event.delay >= STALL_DELAY_MS else 1 - LIMIT_CUT_FRACTION)
            self._move_excess(record)

    def _set_limit(self, record: _ServerRecord, fraction: float) -> None:
        """Limit the server's sum to this fraction of what it is, or of the present limit if that is less."""
        record.share_before_drain *= fraction
        record.limit, record.limit_set_at = (
            max(min(self._current_limit(record), record.load_sum) * fraction, record.share_before_drain),
            self._now,
        )
        self._overload_at = self._now

    def _current_limit(self, record: _ServerRecord) -> float:
        """What the server's sum may rise to: constant for a time after an overload signal, then growing.

        Overload passes, so a limit must not last.

        It grows by a fraction of itself, or faster where a server is nearly empty compared with the others,
        and by one mean hint a second in the fleet as a whole, as all balancers raise their limits together.
        """
        hint, seconds = self._mean_hint, (self._now - record.limit_set_at - LIMIT_HOLD_MS) / 1000
        refill = LIMIT_REFILL_PER_S * (
            hint * (len(self._connections) - len(record.connections)) / len(self._records) - 2 * record.limit
        )
        rate = max(LIMIT_GROWTH_PER_S * record.limit, refill) + hint / self._settings.fleet_size
        return record.limit if seconds <= 0 else record.limit + seconds * rate

    def _move_excess(self, record: _ServerRecord) -> None:
        """Move connections off a server that is over its limit, at a bounded rate, least worth first.

        An overloaded server would otherwise stay so for as long as its connections last. A sparse balancer,
        one with a connection per server at most, has too few for `MOVE_RATE_PER_S` of them to help; its
        rate follows from the price of a move. Moves off a stalled server are not counted while at most half
        of the servers are overloaded, because a connection there gets nothing done; sparse balancers count
        them, as they know too little of the other servers.
        """
        connection_count = len(self._connections)
        rate = max(
            MOVE_RATE_PER_S * connection_count,
            self._sparse_move_rate * min(connection_count, len(self._ready_records)),
        )
        overloaded = sum([self._is_overloaded(each) for each in self._ready_records])
        price = (
            0.0
            if not record.limit and 2 * overloaded <= len(self._ready_records) < len(self._connections)
            else 1.0
        )
        self._move_credit = min(
            self._move_credit + rate * (self._now - self._move_credit_at) / 1000, max(rate, 1.0)
        )
        self._move_credit_at = self._now
        excess = (
            record.load_sum
            - record.limit
            - sum(connection.load for connection in record.connections.values() if connection.moving)
        )
        for connection in sorted(record.connections.values(), key=self._worth_of):
            if (
                connection.established
                and not connection.moving
                and excess > record.rounding_offset * connection.load
                and self._move_credit >= price
            ):
                self._move_credit -= price
                connection.moving = True
                excess -= connection.load
                self._actions.append(Move(connection.request.id))

    def _worth_of(self, connection: _Connection) -> float:
        """What a unit of the connection's work is worth."""
        return connection.request_class.worth * (
            self._settings.over_share_worth if self._is_tenant_over_share(connection) else 1.0
        )

    def _count_failure(self, record: _ServerRecord, result: Result) -> None:
        """Count a failed attempt or connection; from `EJECTION_FAILURES` on, eject the server.

        The ejection has exponential backoff with jitter. A set-up that breaks off counts as one failure,
        since networks break set-ups at healthy servers too; any other failure ejects the server at once.
        """
        weight = 1 if result in (Result.UNREACHABLE, Result.RESET) else EJECTION_FAILURES
        if record.failures < EJECTION_FAILURES <= record.failures + weight:
            self._actions.append(Note(f"server {record.id} set aside: {result.value}"))
        record.failures = min(record.failures + weight, FAILURES_MAX)
        record.ejected_until = self._now + EJECTION_BASE_MS * 2**record.failures * self._random.uniform(
            0.5, 1.0
        )

    # Rule 4: servers that have just started.

    def _cold_age(self, record: _ServerRecord) -> float | None:
        """Time since the server's start while it may be cold; None for a warm server."""
        age = self._now - record.server.started_at
        return max(age, 0.0) if record.server.started_at and age < self._settings.cold_time else None

    def _mean_warm_sums(self) -> dict[int | None, float]:
        """The mean sum of warm servers of each kind, and of all kinds under None; without any, empty.

        It is this balancer's share of what a cold server of that kind will carry. The kinds are kept apart
        because of two kinds one may be twice as fast, and its mean sum would overload a slow server.
        """
        sums: dict[int | None, list[int]] = {}
        for record in self._ready_records:
            if self._cold_age(record) is None:
                sums.setdefault(record.server.kind, []).append(record.load_sum)
        if sums:
            sums[None] = [total for totals in sums.values() for total in totals]
        return {kind: sum(totals) / len(totals) for kind, totals in sums.items()}

    def _fits_cold_budget(
        self, record: _ServerRecord, connection: _Connection, warm_sums: dict[int | None, float]
    ) -> bool:
        """Whether an attempt fits a cold server's share of a warm sum and its budget for this window.

        All balancers see the cold server's empty sum and would overload it together, though each places
        little. The budget uses all that the server can do already: a fleet of mostly new servers would
        otherwise leave the load to the few warm ones.
        """
        settings, sent, load = self._settings, record.cold_sends, self._cold_budget_load(connection)
        warm_sum = warm_sums.get(record.server.kind, warm_sums.get(None, self._mean_hint))
        share = self._capacity_share(record)
        if record.load_sum + connection.load > warm_sum * share + record.rounding_offset * connection.load:
            return False
        while sent and sent[0][0] <= self._now - settings.cold_budget_window:
            sent.popleft()
        budget = (
            settings.cold_budget_multiple
            * share
            * warm_sum
            * settings.cold_budget_window
            / settings.cold_time
        )
        return sum([each for _, each in sent]) + load <= budget + record.rounding_offset * load

    def _capacity_share(self, record: _ServerRecord) -> float:
        """The least fraction of its full capacity that a server has now."""
        age, cold = self._cold_age(record), self._settings.cold_share
        return 1.0 if age is None else cold + (1 - cold) * age / self._settings.cold_time

    def _cold_budget_load(self, connection: _Connection) -> float:
        """What a set-up counts for in a cold server's budget: its load, but no less than the mean hint.

        Small hints are often wrong, and otherwise only small hints would fit into the budget.
        """
        return max(connection.load, self._mean_hint)

    # The server list, and loads as reported.

    def _on_timer(self, _event: TimerFired) -> None:
        self._discovery_retry.record_call(self._now)
        self._actions.append(WatchServerList())

    def _on_server_list_changed(self, event: ServerListChanged) -> None:
        self._discovery_retry.record_call(self._now)
        if event.kind not in (ServerListKind.REMEMBERED, ServerListKind.LEAVING):
            self._discovery_retry.record_answer()
        if event.kind not in (ServerListKind.CHANGES, ServerListKind.LEAVING):
            named = {server.id for server in event.servers}
            for record in self._records.values():
                if record.id not in named:
                    record.server = record.server._replace(state=ServerState.GONE)
        for server in event.servers:
            existing = self._records.get(server.id)
            if existing is None:
                self._records[server.id] = _ServerRecord(server, self._random.random())
            else:
                existing.server = server
        self._records = {
            record.id: record
            for record in self._records.values()
            if record.server.state is not ServerState.GONE or record.connections
        }
        self._ready_records = [
            record for record in self._records.values() if record.server.state is ServerState.READY
        ]
        self._new_records = [record for record in self._ready_records if record.server.started_at]
        self._cold_records = [record for record in self._new_records if self._cold_age(record) is not None]
        leaving = [
            connection
            for record in self._records.values()
            if record.server.state is ServerState.DRAINING
            for connection in record.connections.values()
            if connection.established and not connection.moving
        ]
        # When the server stops, it cuts off all connections that are still open, at once.
        for connection in leaving:
            connection.moving = True
            self._actions.append(Move(connection.request.id))

    def _on_discovery_changed(self, _event: DiscoveryChanged) -> None:
        self._discovery_retry.record_new_address(self._now)

    def _on_server_list_failed(self, event: ServerListFailed) -> None:
        """Set the timer for the next call to discovery."""
        if self._discovery_retry.record_failure(self._now, event.refused):
            self._actions.append(Note("roster lost, asking again"))
        self._actions.append(SetTimer(RETRY_TIMER_TOKEN, self._discovery_retry.next_wait()))

    def _on_load_reported(self, event: LoadReported) -> None:
        """Count the connection with its present load in place of its hint, which is only a rough average."""
        connection = self._find_current_attempt(event.request, event.attempt)
        if connection is not None and connection.record is not None:
            load = round(event.load)
            if connection.request.hint is None:
                self._update_mean_hint(event.load)
            connection.record.load_sum += load - connection.load
            connection.load = load
