"""`lab model`: a whole fleet in virtual time on the real `Facade`, without sockets, sleep or a wall clock.

Owns: the heap of events and the state of one run. Must never: tell a balancer what a real one would not
learn, or let a balancer's view decide what the judge and the tally hear. Seconds inside, milliseconds
towards the facade.

`Shell` stands where `net.session` and `net.listener` stand in the real program: it picks, attempts, relays,
notices silence, moves, stops. The tests' mutants are subclasses of it.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Any, NamedTuple

from switchhub.decision.facade import Adopted, Delay, Ended, Refused, Send, ServerList, ServerListLost, Up
from switchhub.decision.interface import Request, Result, Server, ServerListKind, ServerState, Settings
from switchhub.lab import told
from switchhub.lab.baselines import BASELINES, Decider, Oracle
from switchhub.lab.judge import Broken, Judge
from switchhub.lab.population import Client, Front, Patience, arrivals, standing
from switchhub.lab.scenario import Scenario
from switchhub.lab.stand_in import StandIn, Verdict, places
from switchhub.lab.tally import BIN, Tally
from switchhub.lab.timeline import Change, Interval, Timeline, expand, heard, names_met
from switchhub.net.health import ServerHealth
from switchhub.net.listener import (
    STOP_DEADLINE_MAX_S,
    STOP_MARGIN_S,
    STOP_MOVE_BEGIN_FRACTION,
    STOP_MOVE_END_FRACTION,
)
from switchhub.net.session import ANSWER_MARGIN_MS, SILENCE_TIMEOUT_MS, SILENT_SERVER_TIMEOUT_MS

EPOCH = 1_000_000.0  # milliseconds on the facade's clock when a run starts
TICK, CHECK, SLOT = (
    0.02,
    0.1,
    0.05,
)  # seconds between looks at chores, at silence, and of messages sent together
PROMPT = 0.05  # seconds within which an answer is played at once instead of at its time
LONG = 0.2  # seconds from which a line that waits is looked at for silence
KILL_SPARE = 0.7  # seconds past the longest deadline at which a stopping balancer is killed
FRONT_OUT = 0.3  # seconds in which new connections still reach a balancer that stops
ASK_FAILS, ASK_SILENT, WATCH_SILENT = 0.005, 1.5, 11.5  # seconds until a call to discovery counts as failed
STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
SEEDS = 1 << 62

Maker = Callable[[Settings, int, float, "Run", int], Decider]


class Conn:
    """One connection of a client through a balancer."""

    __slots__ = (
        "asked",
        "attempt",
        "client",
        "id",
        "last",
        "over",
        "request",
        "server",
        "started",
        "up",
        "up_at",
    )

    def __init__(self, name: str, client: Client, request: Request) -> None:
        self.id, self.client, self.request = name, client, request
        self.server = ""
        self.attempt = 0  # counts up; events of an older one are passed over
        self.started = self.up_at = self.last = 0.0  # `last`: when the answer before is due; they keep order
        self.up = self.over = False
        self.asked: deque[tuple[int, float]] = deque()  # lines without an answer


class Shell:
    """One balancer as its process would be."""

    def __init__(self, run: Run, index: int, seed: int) -> None:
        self.run, self.index, self.name = run, index, f"b{index}"
        self.zone = told.zone_of(run.scenario, index)
        self.facade = run.make(run.settings[index], seed, run.ms, run, index)
        self.conns: dict[str, Conn] = {}
        self.ready: set[str] = set()
        self.health = ServerHealth()
        self.waiting: dict[str, Conn] = {}
        self.watching = False
        self.alive, self.stopping = True, False
        self._dial = run.scenario.balancers.dial_ms / 1000
        self._checked = 0.0

    # A request.

    def take(self, client: Client, name: str, wait: float) -> None:
        """A first line has come."""
        budget = wait * 1000 - ANSWER_MARGIN_MS
        request = Request(
            name, client.kind, budget, client.tenant, client.hint, client.key, client.group, client.again
        )
        conn = self.conns[name] = Conn(name, client, request)
        self.place(conn)

    def place(self, conn: Conn) -> None:
        """Ask where it goes, and send it there or answer it."""
        run = self.run
        pick = self.facade.pick(run.ms, conn.request)
        if not isinstance(pick, Send):
            line = "FAILED"
            if isinstance(pick, Refused):
                line = f"BUSY {pick.retry_after:.0f}" if pick.retry_after else "BUSY"
            self.forget(conn)
            return self.answer(conn, line)
        self.attempt(conn, pick.server, pick.timeout / 1000)

    def attempt(self, conn: Conn, server: str, timeout: float) -> None:
        """Connect, then write the line."""
        run = self.run
        conn.attempt += 1
        conn.started, conn.server = run.now, server
        way = run.way(self.zone, server)
        token = conn.attempt
        if not run.reaches(self.index, server):
            run.at(run.now + min(self._dial, timeout), self.fails, conn, token, Result.UNREACHABLE)
        elif run.servers[server].dead:
            run.at(run.now + 2 * way, self.fails, conn, token, Result.UNREACHABLE)
        else:
            run.at(run.now + 2 * way, self.write, conn, token, timeout)

    def write(self, conn: Conn, token: int, timeout: float) -> None:
        """It is connected: write the first line, if the server is still to be sent to."""
        run = self.run
        if conn.attempt != token or conn.over:
            return
        if conn.server not in self.ready and not self.sends_anywhere():
            return self.fails(conn, token, Result.NOT_SENT)
        run.at(run.now + run.way(self.zone, conn.server), run.arrives, self, conn, token)
        run.at(conn.started + timeout, self.expires, conn, token)

    def sends_anywhere(self) -> bool:
        """Whether it looks away from what discovery says; only a mutant does."""
        return False

    def expires(self, conn: Conn, token: int) -> None:
        """The wait for a verdict is over."""
        if conn.attempt == token and not conn.up and not conn.over:
            self.run.drop(conn.server, conn, False)
            self.fails(conn, token, Result.TIMEOUT)

    def fails(self, conn: Conn, token: int, result: Result) -> None:
        """An attempt has ended without a connection."""
        if conn.attempt != token or conn.over or conn.up or not self.alive:
            return
        conn.attempt += 1
        self.run.tally.event(self.run.now, f"attempt.{result.value}")
        self.facade.report(self.run.ms, Ended(conn.id, (self.run.now - conn.started) * 1000, result, False))
        self.place(conn)

    def stands(self, conn: Conn, token: int, receipt: str) -> None:
        """`UP` has come from the server."""
        if conn.attempt != token or conn.over or not self.alive:
            return
        run = self.run
        conn.up, conn.up_at = True, run.now
        self.health.record_answer(conn.server, run.ms)
        self.facade.report(run.ms, Up(conn.id, (run.now - conn.started) * 1000))
        self.answer(conn, f"UP {receipt}")

    def answer(self, conn: Conn, line: str) -> None:
        """Write the final answer to the client."""
        run = self.run
        run.at(run.now + run.near, run.hears, self, conn, line)

    def forget(self, conn: Conn) -> None:
        """Nothing of it is left here."""
        conn.over = True
        self.conns.pop(conn.id, None)
        self.waiting.pop(conn.id, None)

    # What stands.

    def up_line(self, conn: Conn, number: int) -> Iterable[int]:
        """The client's lines that go on for this one."""
        return (number,)

    def down_line(self, conn: Conn, number: int) -> Iterable[int]:
        """The answers that go back for this one."""
        return (number,)

    def measured(self, conn: Conn, delay: float) -> None:
        """A line has been answered after so many seconds."""
        ms = self.run.ms
        self.health.record_answer(conn.server, ms)
        self.facade.report(ms, Delay(conn.id, delay * 1000))

    def over(self, conn: Conn, result: Result) -> None:
        """A standing connection, or a set-up that nobody waits for, has ended."""
        if conn.over:
            return
        since = conn.up_at if conn.up else conn.started
        self.forget(conn)
        self.facade.report(self.run.ms, Ended(conn.id, (self.run.now - since) * 1000, result, True))

    def move(self, name: str, result: Result = Result.CANCELLED) -> None:
        """Tell a client to come again; both sides end."""
        conn = self.conns.get(name)
        if conn is None or not conn.up:
            return
        self.over(conn, result)
        self.run.drop(conn.server, conn, False)
        self.run.moves(conn)

    # The process.

    def tick(self) -> None:
        """The module's chores, and a look at silent connections."""
        run = self.run
        chores = self.facade.tick(run.ms)
        for name in chores.moves:
            run.tally.event(run.now, "moves.asked")
            self.move(name)
        if chores.watch:
            run.asked(self)
        if self.waiting and run.now - self._checked >= CHECK:
            self._checked = run.now
            self.check()

    def check(self) -> None:
        """Move the clients of silent servers, by the real program's rule."""
        now = self.run.ms
        waits: dict[str, list[float]] = {}
        for conn in list(self.waiting.values()):
            if conn.asked:
                waits.setdefault(conn.server, []).append(now - EPOCH - conn.asked[0][1] * 1000)
            else:
                del self.waiting[conn.id]
        silent = {
            name for name, each in waits.items() if self.health.is_silent(name, len(each), max(each), now)
        }
        for conn in list(self.waiting.values()):
            wait = now - EPOCH - conn.asked[0][1] * 1000
            if wait > (SILENT_SERVER_TIMEOUT_MS if conn.server in silent else SILENCE_TIMEOUT_MS):
                self.run.tally.event(self.run.now, "ends.silent")
                self.move(conn.id, Result.TIMEOUT)

    def lists(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        """Discovery's answer has come."""
        if kind is ServerListKind.WHOLE:
            self.ready.clear()
        for each in servers:
            if each.state is ServerState.READY:
                self.ready.add(each.id)
            else:
                self.ready.discard(each.id)
        self.facade.report(self.run.ms, ServerList(kind, servers))

    def stop(self) -> None:
        """SIGTERM: serve on, then move everybody evenly."""
        run = self.run
        self.stopping = True
        longest = max(each.deadline_ms for each in run.scenario.classes) / 1000
        given = min(longest, STOP_DEADLINE_MAX_S) + STOP_MARGIN_S
        start, end = run.now + given * STOP_MOVE_BEGIN_FRACTION, run.now + given * STOP_MOVE_END_FRACTION
        steps = int((end - start) / TICK)
        for step in range(int(given * (1 - STOP_MOVE_BEGIN_FRACTION) / TICK) + 1):
            run.at(start + step * TICK, self.empty, max(0, steps - step))
        run.at(run.now + FRONT_OUT, run.front.out, self.index)
        run.at(run.now + given + KILL_SPARE, run.kill, self)

    def empty(self, left: int) -> None:
        """Move an even part of what stands."""
        if not self.alive:
            return
        standing = [name for name, each in self.conns.items() if each.up]
        for name in standing[: len(standing) // (left + 1)]:
            self.move(name)


class Outcome(NamedTuple):
    """What a run came to."""

    tally: Tally
    broken: list[Broken]
    met: dict[str, int]


class Run:
    """One scenario, one seed, one policy."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make: Maker,
        shell: type[Shell] = Shell,
        keep_on: bool = False,
        passed: Callable[[float], None] | None = None,
    ) -> None:
        self.scenario, self.seed, self.make, self._shell = scenario, seed, make, shell
        self._passed = passed  # told of the virtual time, for whoever watches
        self._keep_on = keep_on  # after a broken rule
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = self._names = 0
        self.timeline: Timeline = expand(scenario, seed)
        self.places = places(scenario)
        self.servers = {each.name: StandIn(scenario, each, seed) for each in self.places}
        self.settings = [told.settings(scenario, index) for index in range(scenario.balancers.count)]
        zones = {each.name: each.zone for each in self.places}
        self._zones = zones
        self.judge = Judge(scenario, zones, {each.name: each.cell for each in self.places}, 0.0)
        self.tally = Tally(scenario)
        self.tally.loads = {each.name: [] for each in self.places}
        self.front, self.patience = Front(scenario), Patience(scenario, seed)
        self.near = scenario.network.within_ms / 1000
        self._far = scenario.network.between_ms / 1000
        self._cut: list[Interval] = []
        self._on: dict[str, dict[str, tuple[Shell, Conn]]] = {name: {} for name in self.servers}
        self._aims = [each.message_aim_ms / 1000 for each in scenario.classes]
        self._every = scenario.clients.message_every_s
        self._slots: dict[int, list[Client]] = {}
        self._seeds = Random(f"{seed}/balancers")
        self._known: dict[str, Server] = {
            each.name: Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0)
            for each in self.places
        }
        self._late: list[Server] = []  # what a stale roster has not told yet
        self._roster: dict[str, int] = {}  # troubles of discovery that are active, by effect
        self._next_call = 0.0
        self.reserved = dict.fromkeys(self.servers, 0.0)  # for oracles, which share what they know
        self.shells = [
            shell(self, index, self._seeds.randrange(SEEDS)) for index in range(scenario.balancers.count)
        ]

    @property
    def ms(self) -> float:
        """The facade's clock."""
        return EPOCH + self.now * 1000

    def at(self, when: float, call: Callable[..., Any], *told_of: Any) -> None:
        """Have it done then; what is due at one moment is done in the order it was asked for."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, call, told_of))

    def way(self, zone: int, server: str) -> float:
        """Seconds one way between a zone and a server."""
        return self.near if self._zones[server] == zone else self._far

    def reaches(self, balancer: int, server: str) -> bool:
        """Whether the network carries anything between them now."""
        if not self._cut:
            return True
        mine, its = balancer % len(self.scenario.zones), self._zones[server]
        if mine == its:
            return True
        names = self.scenario.zones
        return not any(each.target in (names[mine], names[its]) for each in self._cut)

    def play(self) -> Outcome:
        """All of it."""
        end = self.scenario.seconds
        self._begin()
        heap = self._heap
        broken = self.judge.broken
        while heap and heap[0][0] <= end:
            self.now, _, call, told_of = heapq.heappop(heap)
            call(*told_of)
            if broken and not self._keep_on:
                break
        self.now = min(self.now, end)
        self.judge.finish(end if not broken else self.now)
        return Outcome(self.tally, broken, names_met(self.scenario, self.timeline))

    def _begin(self) -> None:
        listing = tuple(self._known.values())
        for shell in self.shells:
            shell.lists(ServerListKind.REMEMBERED, listing)
        first = standing(self.scenario, self.seed)
        for number, client in enumerate(first):
            self._adopt(client, self.places[number % len(self.places)].name)
        for change in self.timeline.changes:
            self.at(change.at, self._change, change)
        for each in heard(self.scenario, self.timeline):
            known = self._known[each.server]._replace(
                state=STATES[each.state], started_at=EPOCH + each.born * 1000 if each.born else 0.0
            )
            self.at(each.at, self._learns, known)
        self._come(arrivals(self.scenario, self.timeline, self.seed, len(first)))
        self.at(0.0, self._tick)
        self.at(SLOT, self._send_due, 1)
        self.at(BIN, self._sample)

    # Clients.

    def _adopt(self, client: Client, server: str) -> None:
        shell = self.shells[client.index % len(self.shells)]
        name = self._name()
        request = Request(name, client.kind, 0.0, client.tenant, client.hint, client.key, client.group, False)
        conn = shell.conns[name] = Conn(name, client, request)
        conn.server, conn.up = server, True
        client.conn, client.balancer, client.up = name, shell.index, True
        self.servers[server].hold(name, client.load)
        self._on[server][name] = (shell, conn)
        self.judge.adopted(name, shell.name, client.kind, server)
        shell.facade.report(self.ms, Adopted(request, server))
        self._wants(client)
        self.at(client.until, self._leaves, client)

    def _come(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.at(client.at, self._comes, client, clients)

    def _comes(self, client: Client, clients: Iterator[Client]) -> None:
        self._wants(client)
        self.at(client.until, self._leaves, client)
        self._open(client)
        self._come(clients)

    def _wants(self, client: Client) -> None:
        client.next_at = client.at + client.phase
        self._slots.setdefault(int(client.next_at / SLOT) + 1, []).append(client)

    def _name(self) -> str:
        self._names += 1
        return f"{self._names:016x}"

    def _open(self, client: Client) -> None:
        if self.now >= client.until:
            return
        index = self.front.deal()
        if index < 0 or not self.shells[index].alive:
            self.tally.event(self.now, "clients.no_balancer")
            self.at(self.now + self.patience.after_break(client), self._open, client)
            return
        shell, name = self.shells[index], self._name()
        client.conn, client.balancer, client.up, client.sent = name, index, False, 0
        wait = self.scenario.classes[client.kind].deadline_ms / 1000
        self.judge.opened(self.now, name, shell.name, client.kind, wait)
        self.tally.event(
            self.now, "opens.again" if client.again else "opens.retry" if client.tries else "opens"
        )
        self.at(self.now + self.near, self._reach_balancer, shell, client, name, wait)
        self.at(self.now + wait + PROMPT, self._gives_up, client, name)

    def _reach_balancer(self, shell: Shell, client: Client, name: str, wait: float) -> None:
        if shell.alive:
            shell.take(client, name, wait)
        else:
            self._broke(client, name)

    def _gives_up(self, client: Client, name: str) -> None:
        if client.conn == name and not client.up:
            self.tally.event(self.now, "clients.gave_up")
            self._again(client, self.patience.after_answer(client, True))

    def hears(self, shell: Shell, conn: Conn, line: str) -> None:
        """A final answer has come to a client."""
        client = conn.client
        if client.conn != conn.id:  # it has given up, but still hears
            return self.judge.answered(self.now, conn.id, line)
        opened = self._opened(client)
        self.judge.answered(self.now, conn.id, line)
        word, _, rest = line.partition(" ")
        self.tally.answer(self.now, client.kind, {"UP": "served", "BUSY": "refused"}.get(word, "failed"))
        if word == "UP":
            client.up, client.tries, client.again = True, 0, False
            self.tally.setups.add(self.now - opened)
            if self.now >= client.until:
                self._leaves(client)
            return
        self.judge.left(self.now, conn.id)
        self._again(client, self.patience.after_answer(client, word != "BUSY", float(rest or 0)))

    def _opened(self, client: Client) -> float:
        story = self.judge.opened_at(client.conn)
        return self.now if story is None else story

    def _again(self, client: Client, wait: float | None) -> None:
        client.conn, client.up = "", False
        if wait is None:
            self.tally.event(self.now, "clients.out_of_patience")
        else:
            self.at(self.now + wait, self._open, client)

    def _broke(self, client: Client, name: str) -> None:
        if client.conn == name:
            self.judge.ended(self.now, name)
            self.tally.event(self.now, "clients.broken")
            self._again(client, self.patience.after_break(client))

    def moves(self, conn: Conn) -> None:
        """A client is told `MOVE`."""
        client = conn.client
        if client.conn == conn.id:
            self.judge.moved(self.now, conn.id)
            self.tally.event(self.now, "clients.moved")
            self._again(client, self.patience.after_break(client))

    def _leaves(self, client: Client) -> None:
        if not client.up or self.now < client.until:
            return
        shell = self.shells[client.balancer]
        conn = shell.conns.get(client.conn)
        self.judge.left(self.now, client.conn)
        client.up, client.conn = False, ""
        if conn is not None:
            shell.over(conn, Result.CANCELLED)
            self.drop(conn.server, conn, False)

    # Messages.

    def _send_due(self, slot: int) -> None:
        self.at((slot + 1) * SLOT, self._send_due, slot + 1)
        step = self.tally.step(self.now)
        slots, wanted = self._slots, self.tally.wanted
        for client in slots.pop(slot, ()):
            if client.until <= self.now:
                continue
            wanted[client.kind][step] += 1
            client.wanted += 1
            client.next_at += self._every
            following = max(int(client.next_at / SLOT) + 1, slot + 1)
            slots.setdefault(following, []).append(client)
            if client.up:
                shell = self.shells[client.balancer]
                conn = shell.conns.get(client.conn)
                if conn is not None and conn.up:
                    client.sent += 1
                    for number in shell.up_line(conn, client.sent):
                        self._line(shell, conn, number)

    def _line(self, shell: Shell, conn: Conn, number: int) -> None:
        """A line is on its way to the server."""
        server = self.servers[conn.server]
        conn.asked.append((number, self.now))
        if server.hangs or (self._cut and not self.reaches(shell.index, conn.server)):
            shell.waiting[conn.id] = conn
            return
        self.judge.line_got(self.now, conn.id, number)
        delay = 2 * (self.way(shell.zone, conn.server) + self.near) + server.delay(self.now)
        if delay <= PROMPT and conn.last <= self.now:
            self._answers(shell, conn, number, delay)
            return
        conn.last = max(conn.last, self.now + delay)
        delay = conn.last - self.now
        if delay >= LONG:
            shell.waiting[conn.id] = conn
        self.at(conn.last, self._answers, shell, conn, number, delay)

    def _answers(self, shell: Shell, conn: Conn, number: int, delay: float) -> None:
        if conn.over or not shell.alive:
            return
        server = self.servers[conn.server]
        if server.hangs or (self._cut and not self.reaches(shell.index, conn.server)):
            return
        sent = conn.asked.popleft()[1] if conn.asked else self.now
        shell.measured(conn, delay)
        client = conn.client
        for each in shell.down_line(conn, number):
            self.judge.line_back(self.now, conn.id, each)
        self.tally.messages.add(delay)
        if delay <= self._aims[client.kind]:
            client.good += 1
            self.tally.good[client.kind][self.tally.step(sent)] += 1

    def _resume(self, server: str) -> None:
        """A server that hung, or was cut off, goes on: what waits there is answered, late."""
        for shell, conn in list(self._on[server].values()):
            if (
                not conn.up
                or conn.over
                or not self.reaches(shell.index, server)
                or self.servers[server].hangs
            ):
                continue
            waiting = list(conn.asked)
            conn.asked.clear()
            for number, sent in waiting:
                self.judge.line_got(self.now, conn.id, number)
                delay = self.now - sent + self.servers[server].delay(self.now)
                conn.asked.append((number, sent))
                self._answers(shell, conn, number, delay)

    # Servers.

    def arrives(self, shell: Shell, conn: Conn, token: int) -> None:
        """A first line has come to a server."""
        if conn.attempt != token or conn.over or not shell.alive:
            return
        name, now = conn.server, self.now
        server, way = self.servers[name], self.way(shell.zone, name)
        if not self.reaches(shell.index, name):
            return
        verdict, wait = server.offer(now, conn.id, conn.client.load)
        if verdict is Verdict.DOWN:
            self.at(now + way, shell.fails, conn, token, Result.RESET)
            return
        self.judge.took(now, name, conn.id)
        if verdict is Verdict.SILENT:
            self._on[name][conn.id] = (shell, conn)
        elif verdict is Verdict.UP:
            self._on[name][conn.id] = (shell, conn)
            if server.pushed_over(now, conn.id, conn.client.load):
                self.tally.event(now, "servers.fallen")
                self.judge.fell(now, name, list(server.pushed), server.most(now))
                self._break_all(name)
                return
            self.at(now + wait, self._says, shell, conn, token)
        else:
            self.judge.said(now, name, conn.id, verdict.value)
            self.judge.dropped(now, name, conn.id, True)
            result = Result.FULL if verdict is Verdict.BUSY else Result.ERROR
            self.at(now + way, shell.fails, conn, token, result)

    def _says(self, shell: Shell, conn: Conn, token: int) -> None:
        server = self.servers[conn.server]
        if conn.attempt != token or conn.over or server.dead or server.hangs:
            return
        receipt = f"{conn.server}.{conn.id}"
        self.judge.said(self.now, conn.server, conn.id, f"UP {receipt}")
        if self.reaches(shell.index, conn.server):
            self.at(self.now + self.way(shell.zone, conn.server), shell.stands, conn, token, receipt)

    def drop(self, name: str, conn: Conn, by_server: bool) -> None:
        """The connection between balancer and server has ended."""
        if self._on[name].pop(conn.id, None) is not None:
            self.servers[name].end(self.now, conn.id)
            self.judge.dropped(self.now, name, conn.id, by_server)

    def _break_all(self, name: str) -> None:
        """A server has died: each connection there is reset."""
        on = list(self._on[name].values())
        self._on[name].clear()
        for shell, conn in on:
            self.judge.dropped(self.now, name, conn.id, True)
            way = self.way(shell.zone, name)
            if conn.up:
                self.at(self.now + way, self._reset, shell, conn)
            else:
                self.at(self.now + way, shell.fails, conn, conn.attempt, Result.RESET)

    def _reset(self, shell: Shell, conn: Conn) -> None:
        if not conn.over and shell.alive:
            shell.over(conn, Result.RESET)
            self._broke(conn.client, conn.id)

    # Troubles.

    def _change(self, change: Change) -> None:
        each, begins = change.interval, change.begins
        if each.target in self.servers:
            server = self.servers[each.target]
            hung = server.hangs
            changed = server.change(self.now, begins, each)
            if changed and server.dead:
                self._break_all(each.target)
            elif changed:
                self.judge.server_started(self.now, each.target)
            elif hung and not server.hangs and not server.dead:
                self._resume(each.target)
        elif each.effect == "zone-cut":
            if begins:
                self._cut.append(each)
            else:
                self._cut.remove(each)
                for name in self.servers:
                    self._resume(name)
        elif each.effect.startswith("roster-"):
            self._roster[each.effect] = self._roster.get(each.effect, 0) + (1 if begins else -1)
            self._roster_change(each.effect, begins)
        elif each.effect == "drop" and begins:
            self._drop_clients(each.value)
        elif each.effect.startswith("balancer-"):
            self._balancer_change(self.shells[int(each.target[1:])], each, begins)

    def _drop_clients(self, part: float) -> None:
        rng = Random(f"{self.seed}/drop/{self.now}")
        for shell in self.shells:
            for conn in [each for each in shell.conns.values() if each.up]:
                client = conn.client
                if client.conn == conn.id and client.up and rng.random() < part:
                    self.judge.left(self.now, conn.id)
                    shell.over(conn, Result.CANCELLED)
                    self.drop(conn.server, conn, False)
                    self.tally.event(self.now, "clients.dropped")
                    self._again(client, self.patience.after_break(client))

    def _balancer_change(self, shell: Shell, each: Interval, begins: bool) -> None:
        if each.effect == "balancer-reload":
            if shell.alive:
                self.asked(shell)
        elif not begins:
            self._start(shell.index)
        elif not shell.alive or shell.stopping:
            return
        elif each.effect == "balancer-restart":
            shell.stop()
        else:
            self.kill(shell)

    def kill(self, shell: Shell) -> None:
        """A balancer's process ends: each of its connections is reset."""
        if not shell.alive:
            return
        shell.alive = False
        if shell.stopping:
            self.front.out(shell.index)
        else:
            self.at(self.now + self.scenario.balancers.front_notice_s, self._noticed, shell)
        self.judge.died(self.now, shell.name, shell.stopping)
        for conn in list(shell.conns.values()):
            conn.over = True
            self.drop(conn.server, conn, False) if conn.server else None
            self._broke(conn.client, conn.id)
        shell.conns.clear()
        if shell.stopping:  # it is started again once its time down is over
            down = [each for each in self.timeline.of("balancer-restart") if each.target == shell.name]
            last = max((each.end - each.start for each in down if each.start <= self.now), default=0.0)
            self.at(self.now + last, self._start, shell.index)

    def _noticed(self, shell: Shell) -> None:
        if self.shells[shell.index] is shell:
            self.front.out(shell.index)

    def _start(self, index: int) -> None:
        if self.shells[index].alive or self.timeline.active("balancer-die", f"b{index}", self.now):
            return
        shell = self.shells[index] = self._shell(self, index, self._seeds.randrange(SEEDS))
        first = tuple(
            Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0) for each in self.places
        )
        shell.lists(ServerListKind.REMEMBERED, first)
        self.front.back(index)

    # Discovery.

    def _learns(self, known: Server) -> None:
        self._known[known.id] = known
        if self._roster.get("roster-stale"):
            self._late.append(known)
            return
        self._knows(known)
        self._tell((known,))

    def _knows(self, known: Server) -> None:
        self.judge.knows(
            self.now, known.id, "Ready" if known.state is ServerState.READY else known.state.value
        )

    def _tell(self, servers: tuple[Server, ...]) -> None:
        for shell in self.shells:
            if shell.alive and shell.watching:
                if self.scenario.discovery.whole:
                    self.at(self.now + self.near, self._told, shell, ServerListKind.WHOLE, self._listing())
                else:
                    self.at(self.now + self.near, self._told, shell, ServerListKind.CHANGES, servers)

    def _listing(self) -> tuple[Server, ...]:
        late = {each.id for each in self._late}
        if late:  # stale: what it knew before
            return tuple(
                each._replace(state=ServerState.READY, started_at=0.0) if each.id in late else each
                for each in self._known.values()
            )
        return tuple(self._known.values())

    def _told(self, shell: Shell, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        if not shell.alive:
            return
        for each in servers:
            state = "Ready" if each.state is ServerState.READY else each.state.value
            born = (each.started_at - EPOCH) / 1000 if each.started_at else 0.0
            self.judge.told(self.now, shell.name, each.id, state, born)
        shell.lists(kind, servers)

    def asked(self, shell: Shell) -> None:
        """A balancer calls discovery; calls are worked through in turn."""
        self.judge.asks(self.now, shell.name, True)
        self._next_call = max(self._next_call, self.now) + 1 / self.scenario.discovery.calls_per_s
        shell.watching = False
        self.at(self._next_call + self.near, self._call, shell)

    def _call(self, shell: Shell) -> None:
        if not shell.alive:
            return
        if self._roster.get("roster-out"):
            self.at(self.now + ASK_FAILS, self._lost, shell)
        elif self._roster.get("roster-silent"):
            self.at(self.now + ASK_SILENT, self._lost, shell)
        else:
            shell.watching = True
            self._told(shell, ServerListKind.WHOLE, self._listing())

    def _lost(self, shell: Shell) -> None:
        if shell.alive:
            shell.watching = False
            self.judge.asks(self.now, shell.name, False)
            shell.facade.report(self.ms, ServerListLost())

    def _roster_change(self, effect: str, begins: bool) -> None:
        if effect in ("roster-out", "roster-silent") and begins:
            for shell in self.shells:
                if shell.watching:
                    shell.watching = False
                    wait = ASK_FAILS if effect == "roster-out" else WATCH_SILENT
                    self.at(self.now + wait, self._lost, shell)
        elif effect == "roster-stale" and not self._roster.get(effect):
            late, self._late = self._late, []
            for each in late:
                self._knows(each)
            if late:
                self._tell(tuple(late))

    # Time.

    def _tick(self) -> None:
        for shell in self.shells:
            if shell.alive:
                shell.tick()
        self.at(self.now + TICK, self._tick)

    def _sample(self) -> None:
        for name, server in self.servers.items():
            server.advance(self.now)
            self.tally.loads[name].append(0.0 if server.dead else server.utilisation(self.now))
        if self._passed is not None:
            self._passed(self.now)
        self.at(self.now + BIN, self._sample)


def maker(policy: str) -> Maker:
    """How a policy's deciders are made; `KeyError` where there is none of that name."""
    if policy == "oracle":
        return lambda settings, seed, now, run, index: Oracle(settings, seed, now, run, index)
    make = BASELINES[policy]
    return lambda settings, seed, now, _run, _index: make(settings, seed, now)


def play(scenario: Scenario, seed: int, policy: str = "design", keep_on: bool | None = None) -> Outcome:
    """One run in virtual time. A broken rule ends it, unless it is a baseline that breaks it."""
    return Run(
        scenario, seed, maker(policy), keep_on=policy != "design" if keep_on is None else keep_on
    ).play()


__all__ = ["Conn", "Maker", "Outcome", "Run", "Shell", "maker", "play"]
