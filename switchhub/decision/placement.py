"""Every decision of a balancer. Its types, events and actions: `switchhub/decision/interface.py`.

Each server has a sum: the load hints of the connections that this balancer placed there, or was told open at
its start, and that still stand. A new connection goes where sum + its own hint is smallest.

One path: lawful servers -> exceptions narrow the candidates -> the least sum decides. An exception that would
leave nobody is passed over; a rule never is. Times are milliseconds, loads microseconds of work a second.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Any

from switchhub.decision.interface import (
    Action, Attempt, AttemptEnded, ClientLeft, ConnectionAdopted, ConnectionUp, DelayReported,
    DiscoveryChanged, DrainEnded, DrainStarted, Event, Fail, KeyScope, LearnedServer, LearnedState,
    LoadReported, Move, Note, ProbeAnswered, Refuse, Repeat, Request, RequestArrived, Result, Server,
    ServerListChanged, ServerListFailed, ServerListKind, ServerState, SetTimer, Settings, TimerFired,
    WatchServerList,
)

HINT_MEMORY = 1 / 64  # weight of the newest hint in the mean that stands in for a missing one
NEVER_RAN = frozenset({Result.FULL, Result.UNREACHABLE, Result.NOT_SENT})  # proof that an attempt did not run
SICK = frozenset({Result.ERROR, Result.TIMEOUT, Result.UNREACHABLE, Result.RESET})  # full is not sick
BACKOFF, BACKOFF_STEPS, DOUBT = 62.5, 6, 2  # a wait that failed set-ups double; how many at most, at least
TIMEOUT_SPREADS, SETUP_MEMORY = 4.0, 1 / 16  # mean deviations that a set-up may take over the mean
HINT_NOISE = 2.0  # a sum's noise, as a multiple of the root of the summed squares of its loads
GROUP_LOADS = 16.0  # what a group adds to a server that holds none of it, in mean hints
GATHER = 4.0  # a group starts at the common server if that holds so many mean hints over the least at most
MARKS, SPREAD = 2**64 - 1, 0x9E3779B97F4A7C15  # marks are of 64 bits; an odd factor orders them anew
OWN_PART = 2.0  # connections of a group held here, on average, over which a balancer starts it where it likes
STRAIN = 1 / 3  # part of the shortest message aim that tells strain
LIMIT_HOLD, LIMIT_GROWTH, REFILL = 1500.0, 0.02, 0.1  # a limit stands so long, then grows so much a second
LIMIT_CUT, STALL = 0.2, 1000.0  # part of the limit that news of missed aims takes; a delay takes all of it
ROSTER_TIMER, ASK_AGAIN, ASK_MOST = 1, 1500.0, 4000.0  # the only timer: ask again, so late at first, at most
ASK_WORK = 250.0  # what a call takes discovery, at worst
QUEUED, TRIES = 900.0, 3  # a call that fails after so long was in a queue that all fill; borne so often
MOVE_PACE = 0.07  # part of its connections that a balancer moves in a second at most
MOVE_SPEND, THIN_PACE = 0.0015, 0.3  # what thin ones may spend on moves in a second; part they move at most
OVER_SHARE_PART = 0.9  # part of a limit that is open to tenants over their share


def _mark(text: str) -> int:
    """The same number at every balancer; it tells nothing but which text it is of."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class _Node:
    """What this balancer knows of one server."""

    __slots__ = ("aside_until", "fails", "groups", "held", "id", "limit", "limit_at", "luck", "mark",
                 "part", "pending", "sent", "server", "total")

    def __init__(self, server: Server, luck: float) -> None:
        self.id, self.server = server.id, server
        self.mark = _mark(server.id)
        self.luck = luck  # by lot in [0, 1): rounds what this balancer may hold here to whole connections
        self.held: dict[str, _Conn] = {}
        self.total = 0  # the design's sum
        self.groups: Counter[str] = Counter()  # connections of each group held here
        self.pending = 0  # set-ups under way
        self.part = 0.0  # after a drain: of its load, what is ours though we do not hold it
        self.fails, self.aside_until = 0, 0.0  # failed set-ups less later good ones; aside till then
        self.limit, self.limit_at = math.inf, 0.0  # what the sum may rise to, as strain told last then
        self.sent: deque[tuple[float, float]] = deque()  # while cold: when what was sent here


class _Conn:
    """A request that is held: being placed, out on an attempt, or standing as a connection."""

    __slots__ = ("attempts", "deadline", "group", "kind", "left", "load", "moving", "node", "ran", "request",
                 "tried", "up")

    def __init__(self, request: Request, settings: Settings, load: int, deadline: float) -> None:
        self.request, self.load, self.deadline = request, load, deadline
        self.kind = settings.classes[request.class_index]
        self.group = request.group if settings.groups_share_work else None
        self.attempts = 0
        self.tried: set[str] = set()
        self.node: _Node | None = None  # where an attempt is out or the connection stands
        self.up = self.moving = self.left = False  # stands; asked to move; client has left
        self.ran: tuple[Server, float] | None = None  # first attempt that may have run: where, when sent


class Balancer:
    """Events in, actions out. Same settings, seed and events: same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._rng = Random(seed)
        self._lot = Random(f"new servers {seed}").random()  # rounds our part of them to whole connections
        self._now = 0.0
        self._out: list[Action] = []
        self._nodes: dict[str, _Node] = {}
        self._ready: list[_Node] = []  # those that may be sent to, of these the new, and of these the cold
        self._new: list[_Node] = []
        self._cold: list[_Node] = []
        self._conns: dict[str, _Conn] = {}
        self._standing = [0] * len(settings.tenants)  # connections of each tenant
        quota = sum(tenant.connections for tenant in settings.tenants)
        self._quota = quota if math.isfinite(quota) else 0.0
        self._mean_hint = 0.0
        self._setup_time = self._setup_spread = 0.0  # of set-ups that worked: mean, and mean deviation
        self._least_aim = min((each.message_aim for each in settings.classes), default=0.0)
        self._watching, self._asks_failed, self._queued = False, 0, False
        self._asked_at = 0.0  # when the roster was asked for last, or told something
        self._strain_at = -math.inf  # when a server told of strain last
        self._thin_pace = MOVE_SPEND / max(settings.move_price, MOVE_SPEND / THIN_PACE)
        self._move_credit, self._move_at = math.inf, 0.0  # moves that may go, as counted then
        self._exceptions = (
            self._healthy, self._untried, self._within, self._gathered, self._known, self._renewed,
            self._near)
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            RequestArrived: self._on_request, ConnectionAdopted: self._on_adopted, ConnectionUp: self._on_up,
            AttemptEnded: self._on_outcome, ClientLeft: self._on_left, LoadReported: self._on_load,
            DelayReported: self._on_delay, ServerListChanged: self._on_roster,
            ServerListFailed: self._on_roster_failed,
            DiscoveryChanged: self._on_roster_moved, TimerFired: self._on_timer,
            LearnedState: self._on_learnt, DrainStarted: self._on_drained, DrainEnded: self._on_restored,
            ProbeAnswered: lambda _event: None,  # none is sent: told delays say the same, for nothing
        }

    def start(self, now: float) -> list[Action]:
        """The first actions, before any event."""
        self._now = self._asked_at = now
        return [WatchServerList()] if self._settings.must_watch_server_list else []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event; events of one moment come one by one, in their order."""
        self._now, self._out = now, []
        self._handlers[type(event)](event)
        return self._out

    def sums(self) -> dict[str, int]:
        """The design's sum of each known server, for tests and for whoever looks in."""
        return {node.id: node.total for node in self._nodes.values()}

    def server_counts(self, now: float) -> tuple[int, int]:
        """How many servers are listed, and how many of them get nothing new: they drain or are set aside."""
        listed = [node for node in self._nodes.values() if node.server.state is not ServerState.GONE]
        return len(listed), sum(node.server.state is not ServerState.READY
                                or (node.fails >= DOUBT and node.aside_until > now) for node in listed)

    def learned_state(self) -> LearnedState:
        """What a new process of this balancer goes on with."""
        return LearnedState(self._mean_hint, self._setup_time, self._setup_spread, self._strain_at, tuple(
            LearnedServer(node.id, node.luck, node.fails, node.aside_until, node.limit, node.limit_at,
                         tuple(node.sent)) for node in self._nodes.values()))

    def _on_learnt(self, event: LearnedState) -> None:
        """Danger: knowing no limits it fills slow servers as others; cold ones get what both send."""
        self._mean_hint, self._setup_time, self._setup_spread, self._strain_at, servers = event
        for each in servers:
            if (node := self._nodes.get(each.server)) is not None:
                node.luck, node.fails, node.aside_until, node.limit, node.limit_at = each[1:6]
                node.sent = deque(each.sent)

    def _on_drained(self, _event: DrainStarted) -> None:
        """Our part of each server, as it is now and as it is when another balancer drains in its turn."""
        others = max(1, self._settings.fleet_size - 1)
        for node in self._nodes.values():
            node.part = node.total * (others + 1) / others

    def _on_restored(self, _event: DrainEnded) -> None:
        """Danger: what is held falls in a drain, on purpose; as a limit it refuses whom others move."""
        for node in self._nodes.values():
            node.limit, node.limit_at = math.inf, 0.0

    # Requests and the connections that they become.

    def _on_request(self, event: RequestArrived) -> None:
        request = event.request
        conn = _Conn(request, self._settings, self._load_of(request), self._now + request.budget)
        self._conns[request.id] = conn
        if request.late:  # Danger: an overloaded process works on for clients that give up meanwhile
            self._give_up(conn)
        else:
            self._place(conn)

    def _on_adopted(self, event: ConnectionAdopted) -> None:
        node = self._nodes.get(event.server)
        if node is None:  # it stands somewhere that our list does not name: count it, send nothing there
            node = self._nodes[event.server] = _Node(
                Server(event.server, -1, 0, -1, ServerState.GONE, 1.0, 0.0), self._rng.random())
        conn = _Conn(event.request, self._settings, self._load_of(event.request), math.inf)
        conn.attempts, conn.up = 1, True
        self._conns[event.request.id] = conn
        self._hold(conn, node)

    def _load_of(self, request: Request) -> int:
        """The hint, or for a missing one the mean lately seen of hints, or of the loads told in their place.
        Danger: where clients send none, sums of nothing never use up a cold server's budget."""
        if request.hint is None:
            return max(round(self._mean_hint), 1)
        self._learn_hint(request.hint)
        return round(request.hint)

    def _learn_hint(self, load: float) -> None:
        self._mean_hint += (HINT_MEMORY if self._mean_hint else 1.0) * (load - self._mean_hint)

    def _hold(self, conn: _Conn, node: _Node) -> None:
        conn.node = node
        node.held[conn.request.id] = conn
        node.total += conn.load
        if node.total >= node.part:
            node.part = 0.0
        if conn.group is not None:
            node.groups[conn.group] += 1
        if self._standing:
            self._standing[conn.request.tenant] += 1

    def _release(self, conn: _Conn, node: _Node) -> None:
        """The connection has ended, or its set-up has failed: the sum falls at once."""
        conn.node = None
        del node.held[conn.request.id]
        node.total -= conn.load
        if conn.group is not None:
            node.groups[conn.group] -= 1
            if not node.groups[conn.group]:
                del node.groups[conn.group]
        if self._standing:
            self._standing[conn.request.tenant] -= 1

    def _live(self, request: str, attempt: int) -> _Conn | None:
        """The held request whose present attempt this is; news of any other is passed over."""
        conn = self._conns.get(request)
        return conn if conn is not None and conn.node is not None and attempt == conn.attempts - 1 else None

    def _on_up(self, event: ConnectionUp) -> None:
        conn = self._live(event.request, event.attempt)
        if conn is None or conn.node is None or conn.up:
            return
        conn.up = True
        gain = SETUP_MEMORY if self._setup_time else 1.0
        self._setup_spread += gain * (abs(event.elapsed - self._setup_time) - self._setup_spread)
        self._setup_time += gain * (event.elapsed - self._setup_time)
        node = conn.node
        node.pending -= 1
        if node.server.state is ServerState.DRAINING:
            self._out.append(Move(event.request))
        if node.fails:
            node.fails, node.aside_until = node.fails - 1, self._now
            if node.fails == DOUBT - 1:
                self._out.append(Note(f"server {node.id} serves again"))

    def _on_outcome(self, event: AttemptEnded) -> None:
        conn = self._live(event.request, event.attempt)
        if conn is None or conn.node is None:
            return
        node, result = conn.node, event.result
        self._release(conn, node)
        node.pending -= not conn.up
        broke_off = conn.up and result is Result.RESET
        if result is Result.FULL or (broke_off and self._fresh(node)):
            self._strained(node, 1.0)  # not sick: it takes no more than it holds, or drops what piles up
        elif result in SICK and not broke_off:  # a connection that breaks off alone says nothing
            self._set_aside(node, result)
        if event.closed or conn.left or conn.up:
            del self._conns[event.request]
            return
        if conn.ran is None and result not in NEVER_RAN:
            conn.ran = (node.server, self._now - event.elapsed)
        self._place(conn)

    def _on_left(self, event: ClientLeft) -> None:
        if (conn := self._conns.get(event.request)) is not None:
            conn.left = True

    # The one path of a decision.

    def _place(self, conn: _Conn) -> None:
        candidates = self._lawful(conn)
        if not candidates or self._overloaded(conn, candidates):
            self._give_up(conn)
            return
        for exception in self._exceptions:
            candidates = exception(conn, candidates) or candidates
        node = self._least(conn, candidates)
        conn.attempts += 1
        conn.tried.add(node.id)
        node.pending += 1
        self._hold(conn, node)
        if self._cold_age(node) is not None:
            node.sent.append((self._now, self._push(conn)))
        self._out.append(Attempt(conn.request.id, node.id, self._timeout(conn), self._window(conn)))

    def _lawful(self, conn: _Conn) -> list[_Node]:
        """The servers to which the four rules allow an attempt now."""
        if conn.attempts >= self._settings.max_attempts or self._now >= conn.deadline:
            return []
        nodes = self._ready  # rule 3
        if conn.ran is not None and conn.kind.repeat is not Repeat.SAFE:  # rule 2
            where, _ = conn.ran
            if conn.kind.repeat is Repeat.UNSAFE or self._window(conn) <= 0:
                return []
            if conn.kind.scope is KeyScope.ZONE:
                nodes = [node for node in nodes if node.server.zone == where.zone]
            elif conn.kind.scope is KeyScope.CELL:
                nodes = [node for node in nodes if node.server.cell == where.cell]
        if self._cold:  # rule 4
            self._cold = [node for node in self._cold if self._cold_age(node) is not None]
            peers = self._warm_peers()
            barred = {node for node in self._cold if not self._fits_cold(node, conn, peers)}
            nodes = [node for node in nodes if node not in barred]
        return nodes

    def _window(self, conn: _Conn) -> float:
        """Rule 2: how long a keyed request that may have run may be repeated. Danger: an attempt begun in its
        window whose connection comes up late is sent past it."""
        if conn.ran is None or conn.kind.repeat is not Repeat.KEYED:
            return math.inf
        return conn.kind.window - (self._now - conn.ran[1])

    def _least(self, conn: _Conn, nodes: list[_Node]) -> _Node:
        """The design: the least sum with the new connection in it. Ties by lot."""
        sums = self._sums(conn, nodes)
        least = min(sums)
        ties = [node for node, total in zip(nodes, sums, strict=True) if total == least]
        return ties[0] if len(ties) == 1 else self._rng.choice(ties)

    def _sums(self, conn: _Conn, nodes: list[_Node]) -> list[int]:
        """The sums with the new connection in them.

        Groups. Danger: each server that holds any of a group pays for it once, and hints do not say so."""
        load, group = conn.load, conn.group
        if group is None:
            return [node.total + load for node in nodes]
        absent = load + round(GROUP_LOADS * self._mean_hint)
        return [node.total + (load if group in node.groups else absent) for node in nodes]

    def _timeout(self, conn: _Conn) -> float:
        """Danger: a silent server eats the client's whole wait. Leave time for another one."""
        left = conn.deadline - self._now
        learnt = self._setup_time + TIMEOUT_SPREADS * self._setup_spread
        if not learnt or conn.attempts >= self._settings.max_attempts:
            return left
        return min(left, max(learnt, left / (self._settings.max_attempts + 1)))

    def _give_up(self, conn: _Conn) -> None:
        """The final answer, at once: a refusal where trying again is harmless, else a failure."""
        del self._conns[conn.request.id]
        wait = self._settings.retry_after_max
        self._out.append(Refuse(conn.request.id, wait) if self._harmless(conn) else Fail(conn.request.id))

    def _harmless(self, conn: _Conn) -> bool:
        """Rule 2: whether the client may be told that trying again is harmless."""
        kind = conn.kind
        return conn.ran is None or kind.repeat is Repeat.SAFE or (
            kind.repeat is Repeat.KEYED and kind.scope is KeyScope.ALL and self._window(conn) > 0)

    # The exceptions, in their order. Each returns the candidates that remain; nobody left: it is passed over.

    def _healthy(self, _conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: a sick server answers fast or holds nothing, so its sum is least and it draws everybody."""
        return [node for node in nodes
                if node.fails < DOUBT or (node.aside_until <= self._now and not node.pending)]

    def _untried(self, conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: a failed set-up lowers that server's sum, and the next attempt goes back to it."""
        return [node for node in nodes if node.id not in conn.tried] if conn.tried else nodes

    def _within(self, conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: sums know no speed; a slow or crowded server keeps its full share past its capacity."""
        return [node for node in nodes if node.limit == math.inf or self._room(node, conn, 1.0)]

    def _gathered(self, conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: balancers share nothing; a group starts at as many servers as there are balancers."""
        if conn.group is None or any(conn.group in node.groups for node in nodes) or (
                len(self._conns) > OWN_PART * (1 + sum([len(node.groups) for node in self._ready]))):
            return nodes
        mark = _mark(conn.group)  # the first in an order that is the group's own, and all balancers' alike
        start = max(nodes, key=lambda node: (node.mark ^ mark) * SPREAD & MARKS)
        most = min(node.total for node in nodes) + GATHER * self._mean_hint
        return [start] if start.total <= most else nodes

    def _known(self, _conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: with fewer connections than servers an empty sum says only that a server is not known.

        While strain is told: where a connection of ours stands, that told us something, or that are new."""
        if self._now - self._strain_at >= LIMIT_HOLD or len(self._conns) > len(self._ready):
            return nodes
        return [node for node in nodes
                if len(node.held) > node.pending or node.limit != math.inf or node.server.started_at]

    def _renewed(self, conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: most sums of a thin balancer are nothing, at old servers that carry what left with others
        and at new ones that carry little. Compared as two wholes, even a handful of connections tells. And
        rounded up to a connection by each balancer, the part of one cold server is that of twenty."""
        if not self._new or len(self._new) == len(self._ready):
            return nodes
        held = sum([node.total for node in self._new])
        missing = sum([1.0 - self._power(node) for node in self._cold])
        whole = sum([node.total for node in self._ready]) + conn.load
        part = whole * (len(self._new) - missing) / (len(self._ready) - missing)
        if held + conn.load > part + self._lot * conn.load:
            return nodes
        return [node for node in nodes if node.server.started_at]

    def _near(self, conn: _Conn, nodes: list[_Node]) -> list[_Node]:
        """Danger: crossing costs on each message, and sums closer than their own noise tell nothing apart."""
        sums = self._sums(conn, nodes)
        least = min(sums)
        held = nodes[sums.index(least)].held.values()
        limit = least + HINT_NOISE * math.sqrt(sum(each.load * each.load for each in held))
        close = [node for node, total in zip(nodes, sums, strict=True) if total <= limit]
        return [node for node in close if node.server.zone == self._settings.zone]

    # Overload and strain.

    def _overloaded(self, conn: _Conn, nodes: list[_Node]) -> bool:
        """Danger: past the fleet's capacity each further connection spoils the others. Refuse if harmless."""
        part = OVER_SHARE_PART if self._over_share(conn) else 1.0
        if not self._harmless(conn):
            return False
        healthy = self._healthy(conn, nodes)
        if not any(self._room(node, conn, part) for node in healthy):
            return True
        known = [node for node in healthy if len(node.held) > node.pending or node.part]
        return all(self._fresh(node) for node in known) and self._rng.random() < len(known) / (len(known) + 1)

    def _fresh(self, node: _Node) -> bool:
        """Whether the server has told of strain, and not of calm since."""
        return self._now - node.limit_at < LIMIT_HOLD and node.limit != math.inf

    def _room(self, node: _Node, conn: _Conn, part: float) -> bool:
        """Danger: many balancers hold a connection or two here, and each rounds its part down to nothing."""
        return self._sums(conn, [node])[0] <= self._limit(node) * part + node.luck * conn.load

    def _over_share(self, conn: _Conn) -> bool:
        """Whether its tenant holds more of its quota than all tenants do of theirs, whatever our part."""
        if not self._quota:
            return False
        tenant = conn.request.tenant
        part = self._settings.tenants[tenant].connections / self._quota
        return self._standing[tenant] > part * sum(self._standing)

    def _on_delay(self, event: DelayReported) -> None:
        """Danger: a crowded server keeps its share. What it holds when it tells of strain is its limit."""
        if (node := self._nodes.get(event.server)) is None:
            return
        if event.delay < STRAIN * self._least_aim:
            node.limit_at = self._now - LIMIT_HOLD  # calm again: the limit may rise from now on
        elif event.delay < self._least_aim:
            self._strained(node, 1.0)
        else:
            self._strained(node, 0.0 if event.delay >= STALL else 1 - LIMIT_CUT)
            self._relieve(node)

    def _strained(self, node: _Node, part: float) -> None:
        node.part *= part
        node.limit, node.limit_at = max(min(self._limit(node), node.total) * part, node.part), self._now
        self._strain_at = self._now

    def _limit(self, node: _Node) -> float:
        """What the sum may rise to: held while strain is fresh, then growing, for strain passes."""
        hint, calm = self._mean_hint, (self._now - node.limit_at - LIMIT_HOLD) / 1000
        refill = REFILL * (hint * (len(self._conns) - len(node.held)) / len(self._nodes) - 2 * node.limit)
        rate = max(LIMIT_GROWTH * node.limit, refill) + hint / self._settings.fleet_size  # all raise it
        return node.limit if calm <= 0 else node.limit + calm * rate

    def _relieve(self, node: _Node) -> None:
        """Danger: a strained server stays so while its connections last. Move off what is over its limit.
        With one a server or less, that part of them is too few to help: the price of moves sets the pace."""
        held = len(self._conns)  # thin: one a server at most
        rate = max(MOVE_PACE * held, self._thin_pace * min(held, len(self._ready)))
        strained = sum([self._fresh(each) for each in self._ready])  # a stalled one holds them for nothing
        price = 0.0 if not node.limit and 2 * strained <= len(self._ready) < len(self._conns) else 1.0
        self._move_credit = min(self._move_credit + rate * (self._now - self._move_at) / 1000, max(rate, 1.0))
        self._move_at = self._now
        excess = node.total - node.limit - sum(conn.load for conn in node.held.values() if conn.moving)
        for conn in sorted(node.held.values(), key=self._value):
            if conn.up and not conn.moving and excess > node.luck * conn.load and self._move_credit >= price:
                self._move_credit -= price
                conn.moving = True
                excess -= conn.load
                self._out.append(Move(conn.request.id))

    def _value(self, conn: _Conn) -> float:
        """What a unit of its work is worth."""
        return conn.kind.worth * (self._settings.over_share_worth if self._over_share(conn) else 1.0)

    def _set_aside(self, node: _Node, result: Result) -> None:
        """A failed set-up: stay away for a while that grows with each further one.

        Danger: networks also break set-ups at sound servers. One that breaks off alone says nothing."""
        doubt = 1 if result in (Result.UNREACHABLE, Result.RESET) else DOUBT
        if node.fails < DOUBT <= node.fails + doubt:
            self._out.append(Note(f"server {node.id} set aside: {result.value}"))
        node.fails = min(node.fails + doubt, BACKOFF_STEPS)
        node.aside_until = self._now + BACKOFF * 2 ** node.fails * self._rng.uniform(0.5, 1.0)

    # Rule 4: a server that has just started.

    def _cold_age(self, node: _Node) -> float | None:
        """Time since the start of a server that may still be cold."""
        age = self._now - node.server.started_at
        return max(age, 0.0) if node.server.started_at and age < self._settings.cold_time else None

    def _warm_peers(self) -> dict[int | None, float]:
        """What a warm peer of each kind, and of any, carries on average: our part of what a cold one will do.

        Danger: of two kinds one is twice as fast, and what the fast carry pushes a slow one over."""
        sums: dict[int | None, list[int]] = {}
        for node in self._ready:
            if self._cold_age(node) is None:
                sums.setdefault(node.server.kind, []).append(node.total)
        if sums:
            sums[None] = [total for kind in sums.values() for total in kind]
        return {kind: sum(totals) / len(totals) for kind, totals in sums.items()}

    def _fits_cold(self, node: _Node, conn: _Conn, peers: dict[int | None, float]) -> bool:
        """Danger: all balancers see its empty sum and push it over together, each of them in the right. And
        used for less than it can do, it leaves a fleet of which most is new to the few that are warm."""
        settings, sent, push = self._settings, node.sent, self._push(conn)
        peer = peers.get(node.server.kind, peers.get(None, self._mean_hint))
        share = self._power(node)
        if node.total + conn.load > peer * share + node.luck * conn.load:
            return False
        while sent and sent[0][0] <= self._now - settings.cold_budget_window:
            sent.popleft()
        budget = (
            settings.cold_budget_multiple * share * peer * settings.cold_budget_window / settings.cold_time)
        return sum([each for _, each in sent]) + push <= budget + node.luck * push

    def _power(self, node: _Node) -> float:
        """The least part of its power that a server has now."""
        age, cold = self._cold_age(node), self._settings.cold_share
        return 1.0 if age is None else cold + (1 - cold) * age / self._settings.cold_time

    def _push(self, conn: _Conn) -> float:
        """What a set-up counts for in the cold budget: small hints often err, and only they would fit."""
        return max(conn.load, self._mean_hint)

    # The roster and notes.

    def _on_timer(self, _event: TimerFired) -> None:
        self._asked_at = self._now
        self._out.append(WatchServerList())

    def _on_roster(self, event: ServerListChanged) -> None:
        self._asked_at = self._now
        if event.kind not in (ServerListKind.REMEMBERED, ServerListKind.LEAVING):
            self._watching, self._asks_failed, self._queued = True, 0, False
        if event.kind not in (ServerListKind.CHANGES, ServerListKind.LEAVING):
            named = {server.id for server in event.servers}
            for node in self._nodes.values():
                if node.id not in named:
                    node.server = node.server._replace(state=ServerState.GONE)
        for server in event.servers:
            known = self._nodes.get(server.id)
            if known is None:
                self._nodes[server.id] = _Node(server, self._rng.random())
            else:
                known.server = server
        self._nodes = {node.id: node for node in self._nodes.values()
                       if node.server.state is not ServerState.GONE or node.held}
        self._ready = [node for node in self._nodes.values() if node.server.state is ServerState.READY]
        self._new = [node for node in self._ready if node.server.started_at]
        self._cold = [node for node in self._new if self._cold_age(node) is not None]
        leaving = [conn for node in self._nodes.values() if node.server.state is ServerState.DRAINING
                   for conn in node.held.values() if conn.up and not conn.moving]
        for conn in leaving:  # Danger: what still stands on a server when it goes is cut off, all at once
            conn.moving = True
            self._out.append(Move(conn.request.id))

    def _on_roster_moved(self, _event: DiscoveryChanged) -> None:
        """Danger: failures of one queue put off the calls to another, past what it counts as having told."""
        self._watching, self._asks_failed, self._queued, self._asked_at = False, 0, False, self._now

    def _on_roster_failed(self, _event: ServerListFailed) -> None:
        """Danger: discovery is one queue for all; calls given up still fill it, and repeated at once none is
        served again. Nor while most of that queue is made of calls given up: after a failure that took long
        the next call waits that out, and from the fourth on each doubles the wait, by lot. But what it knows
        counts as told 6 s after it can be reached: a wait of 4 s and a call fit, a held one not."""
        self._queued |= not self._watching and self._now - self._asked_at >= QUEUED
        self._asks_failed += 1
        if self._watching or self._asks_failed == 1:
            self._out.append(Note("roster lost, asking again"))
        self._watching = False
        failed = min(self._asks_failed, 9)
        if self._queued and failed > TRIES:  # no longer than all would take, one after another
            most = min(3 * self._settings.watch_retry_within, ASK_WORK * self._settings.fleet_size)
            wait = min(ASK_MOST * 2 ** (failed - 2), max(ASK_MOST, most))
        else:
            wait = ASK_MOST if self._queued else min(ASK_AGAIN * 2 ** (failed - 1), ASK_MOST)
        self._out.append(SetTimer(ROSTER_TIMER, wait * self._rng.uniform(0.3, 1.0)))

    def _on_load(self, event: LoadReported) -> None:
        """Danger: a hint is rough and usual; where the present load is told, that counts in its place."""
        conn = self._live(event.request, event.attempt)
        if conn is not None and conn.node is not None:
            load = round(event.load)
            if conn.request.hint is None:
                self._learn_hint(event.load)
            conn.node.total += load - conn.load
            conn.load = load
