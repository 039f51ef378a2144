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
from switchhub.lab import balancer_settings
from switchhub.lab.baselines import BASELINES, Decider, Oracle
from switchhub.lab.checker import Checker, Violation
from switchhub.lab.fake_server import FakeServer, SetupReply, server_specs
from switchhub.lab.population import Client, Dispatcher, RetryPolicy, arriving_clients, initial_clients
from switchhub.lab.run_statistics import SERIES_STEP_S, RunStatistics
from switchhub.lab.scenario import Scenario
from switchhub.lab.timeline import (
    Interval,
    IntervalChange,
    Timeline,
    count_targets,
    discovery_updates,
    expand_troubles,
)
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
IMMEDIATE_ANSWER_MAX_S = 0.05  # seconds within which an answer is played at once instead of at its time
LONG = 0.2  # seconds from which a line that waits is looked at for silence
KILL_SPARE = 0.7  # seconds past the longest deadline at which a stopping balancer is killed
STOP_DISPATCH_DELAY_S = 0.3  # seconds in which new connections still reach a balancer that stops
ASK_FAILS, ASK_SILENT, WATCH_SILENT = 0.005, 1.5, 11.5  # seconds until a call to discovery counts as failed
STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
SEEDS = 1 << 62

DeciderFactory = Callable[[Settings, int, float, "Simulation", int], Decider]


class SimulatedConnection:
    """One connection of a client through a balancer."""

    __slots__ = (
        "answer_due_at",
        "attempt",
        "attempt_started_at",
        "client",
        "closed",
        "established_at",
        "id",
        "is_up",
        "request",
        "server",
        "unanswered_lines",
    )

    def __init__(self, name: str, client: Client, request: Request) -> None:
        self.id, self.client, self.request = name, client, request
        self.server = ""
        self.attempt = 0  # counts up; events of an older one are passed over
        self.attempt_started_at = self.established_at = self.answer_due_at = (
            0.0  # `last`: when the answer before is due; they keep order
        )
        self.is_up = self.closed = False
        self.unanswered_lines: deque[tuple[int, float]] = deque()  # lines without an answer


class SimulatedBalancer:
    """One balancer as its process would be."""

    def __init__(self, simulation: Simulation, index: int, seed: int) -> None:
        self.simulation, self.index, self.name = simulation, index, f"b{index}"
        self.zone = balancer_settings.balancer_zone(simulation.scenario, index)
        self.decider = simulation.make_decider(
            simulation.settings[index], seed, simulation.now_ms, simulation, index
        )
        self.connections: dict[str, SimulatedConnection] = {}
        self.ready_servers: set[str] = set()
        self.health = ServerHealth()
        self.awaiting_answers: dict[str, SimulatedConnection] = {}
        self.watching = False
        self.alive, self.stopping = True, False
        self._dial = simulation.scenario.balancers.dial_ms / 1000
        self._checked = 0.0

    # A request.

    def accept_request(self, client: Client, name: str, wait_s: float) -> None:
        """A first line has come."""
        budget = wait_s * 1000 - ANSWER_MARGIN_MS
        request = Request(
            name,
            client.class_index,
            budget,
            client.tenant,
            client.hint,
            client.flow_key,
            client.group,
            client.returning,
        )
        conn = self.connections[name] = SimulatedConnection(name, client, request)
        self.place_connection(conn)

    def place_connection(self, conn: SimulatedConnection) -> None:
        """Ask where it goes, and send it there or answer it."""
        run = self.simulation
        pick = self.decider.pick(run.now_ms, conn.request)
        if not isinstance(pick, Send):
            line = "FAILED"
            if isinstance(pick, Refused):
                line = f"BUSY {pick.retry_after:.0f}" if pick.retry_after else "BUSY"
            self.remove_connection(conn)
            return self.send_answer(conn, line)
        self.start_attempt(conn, pick.server, pick.timeout / 1000)

    def start_attempt(self, conn: SimulatedConnection, server: str, timeout: float) -> None:
        """Connect, then write the line."""
        run = self.simulation
        conn.attempt += 1
        conn.attempt_started_at, conn.server = run.now, server
        way = run.one_way_delay(self.zone, server)
        token = conn.attempt
        if not run.can_reach(self.index, server):
            run.schedule(
                run.now + min(self._dial, timeout), self.attempt_failed, conn, token, Result.UNREACHABLE
            )
        elif run.servers[server].dead:
            run.schedule(run.now + 2 * way, self.attempt_failed, conn, token, Result.UNREACHABLE)
        else:
            run.schedule(run.now + 2 * way, self.write_first_line, conn, token, timeout)

    def write_first_line(self, conn: SimulatedConnection, token: int, timeout: float) -> None:
        """It is connected: write the first line, if the server is still to be sent to."""
        run = self.simulation
        if conn.attempt != token or conn.closed:
            return
        if conn.server not in self.ready_servers and not self.ignores_server_list():
            return self.attempt_failed(conn, token, Result.NOT_SENT)
        run.schedule(
            run.now + run.one_way_delay(self.zone, conn.server), run.deliver_first_line, self, conn, token
        )
        run.schedule(conn.attempt_started_at + timeout, self.attempt_expired, conn, token)

    def ignores_server_list(self) -> bool:
        """Whether it looks away from what discovery says; only a mutant does."""
        return False

    def attempt_expired(self, conn: SimulatedConnection, token: int) -> None:
        """The wait for a verdict is over."""
        if conn.attempt == token and not conn.is_up and not conn.closed:
            self.simulation.close_at_server(conn.server, conn, False)
            self.attempt_failed(conn, token, Result.TIMEOUT)

    def attempt_failed(self, conn: SimulatedConnection, token: int, result: Result) -> None:
        """An attempt has ended without a connection."""
        if conn.attempt != token or conn.closed or conn.is_up or not self.alive:
            return
        conn.attempt += 1
        self.simulation.statistics.count_event(self.simulation.now, f"attempt.{result.value}")
        self.decider.report(
            self.simulation.now_ms,
            Ended(conn.id, (self.simulation.now - conn.attempt_started_at) * 1000, result, False),
        )
        self.place_connection(conn)

    def establish(self, conn: SimulatedConnection, token: int, receipt: str) -> None:
        """`UP` has come from the server."""
        if conn.attempt != token or conn.closed or not self.alive:
            return
        run = self.simulation
        conn.is_up, conn.established_at = True, run.now
        self.health.record_answer(conn.server, run.now_ms)
        self.decider.report(run.now_ms, Up(conn.id, (run.now - conn.attempt_started_at) * 1000))
        self.send_answer(conn, f"UP {receipt}")

    def send_answer(self, conn: SimulatedConnection, line: str) -> None:
        """Write the final answer to the client."""
        run = self.simulation
        run.schedule(run.now + run.zone_delay, run.deliver_answer, self, conn, line)

    def remove_connection(self, conn: SimulatedConnection) -> None:
        """Nothing of it is left here."""
        conn.closed = True
        self.connections.pop(conn.id, None)
        self.awaiting_answers.pop(conn.id, None)

    # What stands.

    def lines_to_server(self, conn: SimulatedConnection, number: int) -> Iterable[int]:
        """The client's lines that go on for this one."""
        return (number,)

    def lines_to_client(self, conn: SimulatedConnection, number: int) -> Iterable[int]:
        """The answers that go back for this one."""
        return (number,)

    def record_delay(self, conn: SimulatedConnection, delay: float) -> None:
        """A line has been answered after so many seconds."""
        ms = self.simulation.now_ms
        self.health.record_answer(conn.server, ms)
        self.decider.report(ms, Delay(conn.id, delay * 1000))

    def close(self, conn: SimulatedConnection, result: Result) -> None:
        """A standing connection, or a set-up that nobody waits for, has ended."""
        if conn.closed:
            return
        since = conn.established_at if conn.is_up else conn.attempt_started_at
        self.remove_connection(conn)
        self.decider.report(
            self.simulation.now_ms, Ended(conn.id, (self.simulation.now - since) * 1000, result, True)
        )

    def move_client(self, name: str, result: Result = Result.CANCELLED) -> None:
        """Tell a client to come again; both sides end."""
        conn = self.connections.get(name)
        if conn is None or not conn.is_up:
            return
        self.close(conn, result)
        self.simulation.close_at_server(conn.server, conn, False)
        self.simulation.deliver_move(conn)

    # The process.

    def tick(self) -> None:
        """The module's chores, and a look at silent connections."""
        run = self.simulation
        chores = self.decider.tick(run.now_ms)
        for name in chores.moves:
            run.statistics.count_event(run.now, "moves.asked")
            self.move_client(name)
        if chores.watch:
            run.request_watch(self)
        if self.awaiting_answers and run.now - self._checked >= CHECK:
            self._checked = run.now
            self.check_silence()

    def check_silence(self) -> None:
        """Move the clients of silent servers, by the real program's rule."""
        now = self.simulation.now_ms
        waits: dict[str, list[float]] = {}
        for conn in list(self.awaiting_answers.values()):
            if conn.unanswered_lines:
                waits.setdefault(conn.server, []).append(now - EPOCH - conn.unanswered_lines[0][1] * 1000)
            else:
                del self.awaiting_answers[conn.id]
        silent = {
            name for name, each in waits.items() if self.health.is_silent(name, len(each), max(each), now)
        }
        for conn in list(self.awaiting_answers.values()):
            wait = now - EPOCH - conn.unanswered_lines[0][1] * 1000
            if wait > (SILENT_SERVER_TIMEOUT_MS if conn.server in silent else SILENCE_TIMEOUT_MS):
                self.simulation.statistics.count_event(self.simulation.now, "ends.silent")
                self.move_client(conn.id, Result.TIMEOUT)

    def apply_server_list(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        """Discovery's answer has come."""
        if kind is ServerListKind.WHOLE:
            self.ready_servers.clear()
        for each in servers:
            if each.state is ServerState.READY:
                self.ready_servers.add(each.id)
            else:
                self.ready_servers.discard(each.id)
        self.decider.report(self.simulation.now_ms, ServerList(kind, servers))

    def stop(self) -> None:
        """SIGTERM: serve on, then move everybody evenly."""
        run = self.simulation
        self.stopping = True
        longest = max(each.deadline_ms for each in run.scenario.classes) / 1000
        given = min(longest, STOP_DEADLINE_MAX_S) + STOP_MARGIN_S
        start, end = run.now + given * STOP_MOVE_BEGIN_FRACTION, run.now + given * STOP_MOVE_END_FRACTION
        steps = int((end - start) / TICK)
        for step in range(int(given * (1 - STOP_MOVE_BEGIN_FRACTION) / TICK) + 1):
            run.schedule(start + step * TICK, self.move_share, max(0, steps - step))
        run.schedule(run.now + STOP_DISPATCH_DELAY_S, run.dispatcher.remove, self.index)
        run.schedule(run.now + given + KILL_SPARE, run.kill_balancer, self)

    def move_share(self, left: int) -> None:
        """Move an even part of what stands."""
        if not self.alive:
            return
        standing = [name for name, each in self.connections.items() if each.is_up]
        for name in standing[: len(standing) // (left + 1)]:
            self.move_client(name)


class Outcome(NamedTuple):
    """What a run came to."""

    statistics: RunStatistics
    violations: list[Violation]
    target_counts: dict[str, int]


class Simulation:
    """One scenario, one seed, one policy."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_decider: DeciderFactory,
        balancer_type: type[SimulatedBalancer] = SimulatedBalancer,
        keep_on: bool = False,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        self.scenario, self.seed, self.make_decider, self._shell = scenario, seed, make_decider, balancer_type
        self._passed = on_progress  # told of the virtual time, for whoever watches
        self._keep_on = keep_on  # after a broken rule
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = self._names = 0
        self.timeline: Timeline = expand_troubles(scenario, seed)
        self.server_specs = server_specs(scenario)
        self.servers = {each.name: FakeServer(scenario, each, seed) for each in self.server_specs}
        self.settings = [
            balancer_settings.decision_settings(scenario, index) for index in range(scenario.balancers.count)
        ]
        zones = {each.name: each.zone for each in self.server_specs}
        self._zones = zones
        self.checker = Checker(scenario, zones, {each.name: each.cell for each in self.server_specs}, 0.0)
        self.statistics = RunStatistics(scenario)
        self.statistics.server_loads = {each.name: [] for each in self.server_specs}
        self.dispatcher, self.retry_policy = Dispatcher(scenario), RetryPolicy(scenario, seed)
        self.zone_delay = scenario.network.within_ms / 1000
        self._far = scenario.network.between_ms / 1000
        self._cut: list[Interval] = []
        self._on: dict[str, dict[str, tuple[SimulatedBalancer, SimulatedConnection]]] = {
            name: {} for name in self.servers
        }
        self._aims = [each.message_aim_ms / 1000 for each in scenario.classes]
        self._every = scenario.clients.message_every_s
        self._slots: dict[int, list[Client]] = {}
        self._seeds = Random(f"{seed}/balancers")
        self._known: dict[str, Server] = {
            each.name: Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0)
            for each in self.server_specs
        }
        self._late: list[Server] = []  # what a stale roster has not told yet
        self._roster: dict[str, int] = {}  # troubles of discovery that are active, by effect
        self._next_call = 0.0
        self.reserved_loads = dict.fromkeys(self.servers, 0.0)  # for oracles, which share what they know
        self.balancers = [
            balancer_type(self, index, self._seeds.randrange(SEEDS))
            for index in range(scenario.balancers.count)
        ]

    @property
    def now_ms(self) -> float:
        """The facade's clock."""
        return EPOCH + self.now * 1000

    def schedule(self, when: float, call: Callable[..., Any], *told_of: Any) -> None:
        """Have it done then; what is due at one moment is done in the order it was asked for."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, call, told_of))

    def one_way_delay(self, zone: int, server: str) -> float:
        """Seconds one way between a zone and a server."""
        return self.zone_delay if self._zones[server] == zone else self._far

    def can_reach(self, balancer: int, server: str) -> bool:
        """Whether the network carries anything between them now."""
        if not self._cut:
            return True
        mine, its = balancer % len(self.scenario.zones), self._zones[server]
        if mine == its:
            return True
        names = self.scenario.zones
        return not any(each.target in (names[mine], names[its]) for each in self._cut)

    def run(self) -> Outcome:
        """All of it."""
        end = self.scenario.seconds
        self._begin()
        heap = self._heap
        broken = self.checker.violations
        while heap and heap[0][0] <= end:
            self.now, _, call, told_of = heapq.heappop(heap)
            call(*told_of)
            if broken and not self._keep_on:
                break
        self.now = min(self.now, end)
        self.checker.finish(end if not broken else self.now)
        return Outcome(self.statistics, broken, count_targets(self.scenario, self.timeline))

    def _begin(self) -> None:
        listing = tuple(self._known.values())
        for shell in self.balancers:
            shell.apply_server_list(ServerListKind.REMEMBERED, listing)
        first = initial_clients(self.scenario, self.seed)
        for number, client in enumerate(first):
            self._adopt(client, self.server_specs[number % len(self.server_specs)].name)
        for change in self.timeline.changes:
            self.schedule(change.at, self._change, change)
        for each in discovery_updates(self.scenario, self.timeline):
            known = self._known[each.server]._replace(
                state=STATES[each.state],
                started_at=EPOCH + each.started_at * 1000 if each.started_at else 0.0,
            )
            self.schedule(each.at, self._learns, known)
        self._come(arriving_clients(self.scenario, self.timeline, self.seed, len(first)))
        self.schedule(0.0, self._tick)
        self.schedule(SLOT, self._send_due, 1)
        self.schedule(SERIES_STEP_S, self._sample)

    # Clients.

    def _adopt(self, client: Client, server: str) -> None:
        shell = self.balancers[client.index % len(self.balancers)]
        name = self._name()
        request = Request(
            name, client.class_index, 0.0, client.tenant, client.hint, client.flow_key, client.group, False
        )
        conn = shell.connections[name] = SimulatedConnection(name, client, request)
        conn.server, conn.is_up = server, True
        client.connection_id, client.balancer, client.is_up = name, shell.index, True
        self.servers[server].add_connection(name, client.load)
        self._on[server][name] = (shell, conn)
        self.checker.adopted(name, shell.name, client.class_index, server)
        shell.decider.report(self.now_ms, Adopted(request, server))
        self._wants(client)
        self.schedule(client.leaves_at, self._leaves, client)

    def _come(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.schedule(client.arrives_at, self._comes, client, clients)

    def _comes(self, client: Client, clients: Iterator[Client]) -> None:
        self._wants(client)
        self.schedule(client.leaves_at, self._leaves, client)
        self._open(client)
        self._come(clients)

    def _wants(self, client: Client) -> None:
        client.next_message_at = client.arrives_at + client.message_phase
        self._slots.setdefault(int(client.next_message_at / SLOT) + 1, []).append(client)

    def _name(self) -> str:
        self._names += 1
        return f"{self._names:016x}"

    def _open(self, client: Client) -> None:
        if self.now >= client.leaves_at:
            return
        index = self.dispatcher.next_balancer()
        if index < 0 or not self.balancers[index].alive:
            self.statistics.count_event(self.now, "clients.no_balancer")
            self.schedule(self.now + self.retry_policy.delay_after_disconnect(client), self._open, client)
            return
        shell, name = self.balancers[index], self._name()
        client.connection_id, client.balancer, client.is_up, client.lines_sent = name, index, False, 0
        wait = self.scenario.classes[client.class_index].deadline_ms / 1000
        self.checker.opened(self.now, name, shell.name, client.class_index, wait)
        self.statistics.count_event(
            self.now, "opens.again" if client.returning else "opens.retry" if client.failed_tries else "opens"
        )
        self.schedule(self.now + self.zone_delay, self._reach_balancer, shell, client, name, wait)
        self.schedule(self.now + wait + IMMEDIATE_ANSWER_MAX_S, self._gives_up, client, name)

    def _reach_balancer(self, shell: SimulatedBalancer, client: Client, name: str, wait: float) -> None:
        if shell.alive:
            shell.accept_request(client, name, wait)
        else:
            self._broke(client, name)

    def _gives_up(self, client: Client, name: str) -> None:
        if client.connection_id == name and not client.is_up:
            self.statistics.count_event(self.now, "clients.gave_up")
            self._again(client, self.retry_policy.delay_after_answer(client, True))

    def deliver_answer(self, shell: SimulatedBalancer, conn: SimulatedConnection, line: str) -> None:
        """A final answer has come to a client."""
        client = conn.client
        if client.connection_id != conn.id:  # it has given up, but still hears
            return self.checker.answered(self.now, conn.id, line)
        opened = self._opened(client)
        self.checker.answered(self.now, conn.id, line)
        word, _, rest = line.partition(" ")
        self.statistics.count_answer(
            self.now, client.class_index, {"UP": "served", "BUSY": "refused"}.get(word, "failed")
        )
        if word == "UP":
            client.is_up, client.failed_tries, client.returning = True, 0, False
            self.statistics.setup_times.add(self.now - opened)
            if self.now >= client.leaves_at:
                self._leaves(client)
            return
        self.checker.left(self.now, conn.id)
        self._again(client, self.retry_policy.delay_after_answer(client, word != "BUSY", float(rest or 0)))

    def _opened(self, client: Client) -> float:
        story = self.checker.opened_at(client.connection_id)
        return self.now if story is None else story

    def _again(self, client: Client, wait: float | None) -> None:
        client.connection_id, client.is_up = "", False
        if wait is None:
            self.statistics.count_event(self.now, "clients.out_of_patience")
        else:
            self.schedule(self.now + wait, self._open, client)

    def _broke(self, client: Client, name: str) -> None:
        if client.connection_id == name:
            self.checker.ended(self.now, name)
            self.statistics.count_event(self.now, "clients.broken")
            self._again(client, self.retry_policy.delay_after_disconnect(client))

    def deliver_move(self, conn: SimulatedConnection) -> None:
        """A client is told `MOVE`."""
        client = conn.client
        if client.connection_id == conn.id:
            self.checker.moved(self.now, conn.id)
            self.statistics.count_event(self.now, "clients.moved")
            self._again(client, self.retry_policy.delay_after_disconnect(client))

    def _leaves(self, client: Client) -> None:
        if not client.is_up or self.now < client.leaves_at:
            return
        shell = self.balancers[client.balancer]
        conn = shell.connections.get(client.connection_id)
        self.checker.left(self.now, client.connection_id)
        client.is_up, client.connection_id = False, ""
        if conn is not None:
            shell.close(conn, Result.CANCELLED)
            self.close_at_server(conn.server, conn, False)

    # Messages.

    def _send_due(self, slot: int) -> None:
        self.schedule((slot + 1) * SLOT, self._send_due, slot + 1)
        step = self.statistics.step_index(self.now)
        slots, wanted = self._slots, self.statistics.wanted_messages
        for client in slots.pop(slot, ()):
            if client.leaves_at <= self.now:
                continue
            wanted[client.class_index][step] += 1
            client.wanted_messages += 1
            client.next_message_at += self._every
            following = max(int(client.next_message_at / SLOT) + 1, slot + 1)
            slots.setdefault(following, []).append(client)
            if client.is_up:
                shell = self.balancers[client.balancer]
                conn = shell.connections.get(client.connection_id)
                if conn is not None and conn.is_up:
                    client.lines_sent += 1
                    for number in shell.lines_to_server(conn, client.lines_sent):
                        self._line(shell, conn, number)

    def _line(self, shell: SimulatedBalancer, conn: SimulatedConnection, number: int) -> None:
        """A line is on its way to the server."""
        server = self.servers[conn.server]
        conn.unanswered_lines.append((number, self.now))
        if server.hanging or (self._cut and not self.can_reach(shell.index, conn.server)):
            shell.awaiting_answers[conn.id] = conn
            return
        self.checker.server_received_line(self.now, conn.id, number)
        delay = 2 * (self.one_way_delay(shell.zone, conn.server) + self.zone_delay) + server.message_delay(
            self.now
        )
        if delay <= IMMEDIATE_ANSWER_MAX_S and conn.answer_due_at <= self.now:
            self._answers(shell, conn, number, delay)
            return
        conn.answer_due_at = max(conn.answer_due_at, self.now + delay)
        delay = conn.answer_due_at - self.now
        if delay >= LONG:
            shell.awaiting_answers[conn.id] = conn
        self.schedule(conn.answer_due_at, self._answers, shell, conn, number, delay)

    def _answers(
        self, shell: SimulatedBalancer, conn: SimulatedConnection, number: int, delay: float
    ) -> None:
        if conn.closed or not shell.alive:
            return
        server = self.servers[conn.server]
        if server.hanging or (self._cut and not self.can_reach(shell.index, conn.server)):
            return
        sent = conn.unanswered_lines.popleft()[1] if conn.unanswered_lines else self.now
        shell.record_delay(conn, delay)
        client = conn.client
        for each in shell.lines_to_client(conn, number):
            self.checker.client_received_answer(self.now, conn.id, each)
        self.statistics.message_times.add(delay)
        if delay <= self._aims[client.class_index]:
            client.good_messages += 1
            self.statistics.good_messages[client.class_index][self.statistics.step_index(sent)] += 1

    def _resume(self, server: str) -> None:
        """A server that hung, or was cut off, goes on: what waits there is answered, late."""
        for shell, conn in list(self._on[server].values()):
            if (
                not conn.is_up
                or conn.closed
                or not self.can_reach(shell.index, server)
                or self.servers[server].hanging
            ):
                continue
            waiting = list(conn.unanswered_lines)
            conn.unanswered_lines.clear()
            for number, sent in waiting:
                self.checker.server_received_line(self.now, conn.id, number)
                delay = self.now - sent + self.servers[server].message_delay(self.now)
                conn.unanswered_lines.append((number, sent))
                self._answers(shell, conn, number, delay)

    # Servers.

    def deliver_first_line(self, shell: SimulatedBalancer, conn: SimulatedConnection, token: int) -> None:
        """A first line has come to a server."""
        if conn.attempt != token or conn.closed or not shell.alive:
            return
        name, now = conn.server, self.now
        server, way = self.servers[name], self.one_way_delay(shell.zone, name)
        if not self.can_reach(shell.index, name):
            return
        verdict, wait = server.receive_first_line(now, conn.id, conn.client.load)
        if verdict is SetupReply.DOWN:
            self.schedule(now + way, shell.attempt_failed, conn, token, Result.RESET)
            return
        self.checker.took(now, name, conn.id)
        if verdict is SetupReply.SILENT:
            self._on[name][conn.id] = (shell, conn)
        elif verdict is SetupReply.UP:
            self._on[name][conn.id] = (shell, conn)
            if server.crashes_from_setup(now, conn.id, conn.client.load):
                self.statistics.count_event(now, "servers.fallen")
                self.checker.cold_server_fell(
                    now, name, list(server.recent_setups), server.cold_setup_budget(now)
                )
                self._break_all(name)
                return
            self.schedule(now + wait, self._says, shell, conn, token)
        else:
            self.checker.said(now, name, conn.id, verdict.value)
            self.checker.dropped(now, name, conn.id, True)
            result = Result.FULL if verdict is SetupReply.BUSY else Result.ERROR
            self.schedule(now + way, shell.attempt_failed, conn, token, result)

    def _says(self, shell: SimulatedBalancer, conn: SimulatedConnection, token: int) -> None:
        server = self.servers[conn.server]
        if conn.attempt != token or conn.closed or server.dead or server.hanging:
            return
        receipt = f"{conn.server}.{conn.id}"
        self.checker.said(self.now, conn.server, conn.id, f"UP {receipt}")
        if self.can_reach(shell.index, conn.server):
            self.schedule(
                self.now + self.one_way_delay(shell.zone, conn.server), shell.establish, conn, token, receipt
            )

    def close_at_server(self, name: str, conn: SimulatedConnection, by_server: bool) -> None:
        """The connection between balancer and server has ended."""
        if self._on[name].pop(conn.id, None) is not None:
            self.servers[name].remove_connection(self.now, conn.id)
            self.checker.dropped(self.now, name, conn.id, by_server)

    def _break_all(self, name: str) -> None:
        """A server has died: each connection there is reset."""
        on = list(self._on[name].values())
        self._on[name].clear()
        for shell, conn in on:
            self.checker.dropped(self.now, name, conn.id, True)
            way = self.one_way_delay(shell.zone, name)
            if conn.is_up:
                self.schedule(self.now + way, self._deliver_reset, shell, conn)
            else:
                self.schedule(self.now + way, shell.attempt_failed, conn, conn.attempt, Result.RESET)

    def _deliver_reset(self, shell: SimulatedBalancer, conn: SimulatedConnection) -> None:
        if not conn.closed and shell.alive:
            shell.close(conn, Result.RESET)
            self._broke(conn.client, conn.id)

    # Troubles.

    def _change(self, change: IntervalChange) -> None:
        each, begins = change.interval, change.begins
        if each.target in self.servers:
            server = self.servers[each.target]
            hung = server.hanging
            changed = server.apply_change(self.now, begins, each)
            if changed and server.dead:
                self._break_all(each.target)
            elif changed:
                self.checker.server_started(self.now, each.target)
            elif hung and not server.hanging and not server.dead:
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
            self._balancer_change(self.balancers[int(each.target[1:])], each, begins)

    def _drop_clients(self, part: float) -> None:
        rng = Random(f"{self.seed}/drop/{self.now}")
        for shell in self.balancers:
            for conn in [each for each in shell.connections.values() if each.is_up]:
                client = conn.client
                if client.connection_id == conn.id and client.is_up and rng.random() < part:
                    self.checker.left(self.now, conn.id)
                    shell.close(conn, Result.CANCELLED)
                    self.close_at_server(conn.server, conn, False)
                    self.statistics.count_event(self.now, "clients.dropped")
                    self._again(client, self.retry_policy.delay_after_disconnect(client))

    def _balancer_change(self, shell: SimulatedBalancer, each: Interval, begins: bool) -> None:
        if each.effect == "balancer-reload":
            if shell.alive:
                self.request_watch(shell)
        elif not begins:
            self._start(shell.index)
        elif not shell.alive or shell.stopping:
            return
        elif each.effect == "balancer-restart":
            shell.stop()
        else:
            self.kill_balancer(shell)

    def kill_balancer(self, shell: SimulatedBalancer) -> None:
        """A balancer's process ends: each of its connections is reset."""
        if not shell.alive:
            return
        shell.alive = False
        if shell.stopping:
            self.dispatcher.remove(shell.index)
        else:
            self.schedule(self.now + self.scenario.balancers.front_notice_s, self._noticed, shell)
        self.checker.balancer_died(self.now, shell.name, shell.stopping)
        for conn in list(shell.connections.values()):
            conn.closed = True
            self.close_at_server(conn.server, conn, False) if conn.server else None
            self._broke(conn.client, conn.id)
        shell.connections.clear()
        if shell.stopping:  # it is started again once its time down is over
            down = [
                each for each in self.timeline.with_effects("balancer-restart") if each.target == shell.name
            ]
            last = max((each.end - each.start for each in down if each.start <= self.now), default=0.0)
            self.schedule(self.now + last, self._start, shell.index)

    def _noticed(self, shell: SimulatedBalancer) -> None:
        if self.balancers[shell.index] is shell:
            self.dispatcher.remove(shell.index)

    def _start(self, index: int) -> None:
        if self.balancers[index].alive or self.timeline.is_active("balancer-die", f"b{index}", self.now):
            return
        shell = self.balancers[index] = self._shell(self, index, self._seeds.randrange(SEEDS))
        first = tuple(
            Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0)
            for each in self.server_specs
        )
        shell.apply_server_list(ServerListKind.REMEMBERED, first)
        self.dispatcher.restore(index)

    # Discovery.

    def _learns(self, known: Server) -> None:
        self._known[known.id] = known
        if self._roster.get("roster-stale"):
            self._late.append(known)
            return
        self._knows(known)
        self._tell((known,))

    def _knows(self, known: Server) -> None:
        self.checker.knows(
            self.now, known.id, "Ready" if known.state is ServerState.READY else known.state.value
        )

    def _tell(self, servers: tuple[Server, ...]) -> None:
        for shell in self.balancers:
            if shell.alive and shell.watching:
                if self.scenario.discovery.whole:
                    self.schedule(
                        self.now + self.zone_delay, self._told, shell, ServerListKind.WHOLE, self._listing()
                    )
                else:
                    self.schedule(
                        self.now + self.zone_delay, self._told, shell, ServerListKind.CHANGES, servers
                    )

    def _listing(self) -> tuple[Server, ...]:
        late = {each.id for each in self._late}
        if late:  # stale: what it knew before
            return tuple(
                each._replace(state=ServerState.READY, started_at=0.0) if each.id in late else each
                for each in self._known.values()
            )
        return tuple(self._known.values())

    def _told(self, shell: SimulatedBalancer, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        if not shell.alive:
            return
        for each in servers:
            state = "Ready" if each.state is ServerState.READY else each.state.value
            born = (each.started_at - EPOCH) / 1000 if each.started_at else 0.0
            self.checker.balancer_notified(self.now, shell.name, each.id, state, born)
        shell.apply_server_list(kind, servers)

    def request_watch(self, shell: SimulatedBalancer) -> None:
        """A balancer calls discovery; calls are worked through in turn."""
        self.checker.asks(self.now, shell.name, True)
        self._next_call = max(self._next_call, self.now) + 1 / self.scenario.discovery.calls_per_s
        shell.watching = False
        self.schedule(self._next_call + self.zone_delay, self._call, shell)

    def _call(self, shell: SimulatedBalancer) -> None:
        if not shell.alive:
            return
        if self._roster.get("roster-out"):
            self.schedule(self.now + ASK_FAILS, self._lost, shell)
        elif self._roster.get("roster-silent"):
            self.schedule(self.now + ASK_SILENT, self._lost, shell)
        else:
            shell.watching = True
            self._told(shell, ServerListKind.WHOLE, self._listing())

    def _lost(self, shell: SimulatedBalancer) -> None:
        if shell.alive:
            shell.watching = False
            self.checker.asks(self.now, shell.name, False)
            shell.decider.report(self.now_ms, ServerListLost())

    def _roster_change(self, effect: str, begins: bool) -> None:
        if effect in ("roster-out", "roster-silent") and begins:
            for shell in self.balancers:
                if shell.watching:
                    shell.watching = False
                    wait = ASK_FAILS if effect == "roster-out" else WATCH_SILENT
                    self.schedule(self.now + wait, self._lost, shell)
        elif effect == "roster-stale" and not self._roster.get(effect):
            late, self._late = self._late, []
            for each in late:
                self._knows(each)
            if late:
                self._tell(tuple(late))

    # Time.

    def _tick(self) -> None:
        for shell in self.balancers:
            if shell.alive:
                shell.tick()
        self.schedule(self.now + TICK, self._tick)

    def _sample(self) -> None:
        for name, server in self.servers.items():
            server.advance(self.now)
            self.statistics.server_loads[name].append(0.0 if server.dead else server.utilisation(self.now))
        if self._passed is not None:
            self._passed(self.now)
        self.schedule(self.now + SERIES_STEP_S, self._sample)


def decider_factory(policy: str) -> DeciderFactory:
    """How a policy's deciders are made; `KeyError` where there is none of that name."""
    if policy == "oracle":
        return lambda settings, seed, now, run, index: Oracle(settings, seed, now, run, index)
    make = BASELINES[policy]
    return lambda settings, seed, now, _run, _index: make(settings, seed, now)


def run_simulation(
    scenario: Scenario, seed: int, policy: str = "design", keep_on: bool | None = None
) -> Outcome:
    """One run in virtual time. A broken rule ends it, unless it is a baseline that breaks it."""
    return Simulation(
        scenario, seed, decider_factory(policy), keep_on=policy != "design" if keep_on is None else keep_on
    ).run()


__all__ = [
    "DeciderFactory",
    "Outcome",
    "SimulatedBalancer",
    "SimulatedConnection",
    "Simulation",
    "decider_factory",
    "run_simulation",
]
