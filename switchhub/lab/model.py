"""The model engine: simulates a whole fleet in virtual time, with the real `Facade` deciding placements.

There are no sockets, no sleeping and no wall clock; events are taken from a heap in the order of their times.
A simulated balancer receives only what a real one would. The checker and the statistics are fed with what
clients, servers and discovery see, never with a balancer's own view. Times are in seconds, except towards the
facade, which takes milliseconds.

`SimulatedBalancer` does what `net.session` and `net.listener` do in the real program: it requests placements,
makes attempts, relays lines, detects silent servers, moves clients and stops. The mutants of the tests are
subclasses of it.
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
from switchhub.lifecycle.stop_schedule import StopSchedule
from switchhub.net.health import ServerHealth
from switchhub.net.request import ANSWER_MARGIN_MS
from switchhub.net.session import SILENCE_TIMEOUT_MS, SILENT_SERVER_TIMEOUT_MS

EPOCH_MS = 1_000_000.0  # the facade's clock when a run starts
TICK_INTERVAL_S = 0.02  # between two calls of the decider's `tick`
SILENCE_CHECK_INTERVAL_S = 0.1
MESSAGE_SLOT_S = 0.05  # messages that are due within one slot are sent together
IMMEDIATE_ANSWER_MAX_S = 0.05  # an answer that is due within this time is delivered at once
WATCHED_DELAY_MIN_S = 0.2  # a line whose answer takes at least this long is checked for silence
KILL_MARGIN_S = 0.7  # a stopping balancer is killed this long after its time limit
STOP_DISPATCH_DELAY_S = 0.3  # new connections still reach a stopping balancer for this long
REFUSED_CALL_S = 0.005  # until a call to a discovery service that is down fails
CALL_TIMEOUT_S = 1.5  # until a call that a silent discovery service does not answer fails
WATCH_TIMEOUT_S = 11.5  # until a watch on a discovery service that has become silent fails
SERVER_STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
SEED_RANGE = 1 << 62

# Takes the settings, a seed, the time in milliseconds, the simulation and the balancer's index.
DeciderFactory = Callable[[Settings, int, float, "Simulation", int], Decider]


class SimulatedConnection:
    """A client's connection through a balancer, from its request until both sides have closed it."""

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

    def __init__(self, connection_id: str, client: Client, request: Request) -> None:
        self.id, self.client, self.request = connection_id, client, request
        self.server = ""
        self.attempt = 0  # number of the current attempt; events of earlier attempts are ignored
        # `answer_due_at` is when the latest answer is due; a later one never overtakes it.
        self.attempt_started_at = self.established_at = self.answer_due_at = 0.0
        self.is_up = self.closed = False
        self.unanswered_lines: deque[tuple[int, float]] = deque()  # (number, time sent)


class SimulatedBalancer:
    """One balancer process, without its sockets."""

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
        self._dial_timeout_s = simulation.scenario.balancers.dial_ms / 1000
        self._silence_checked_at = 0.0

    # Requests

    def accept_request(self, client: Client, connection_id: str, wait_s: float) -> None:
        """Handle a client's first line; the client waits `wait_s` for the answer."""
        budget = wait_s * 1000 - ANSWER_MARGIN_MS
        request = Request(
            connection_id,
            client.class_index,
            budget,
            client.tenant,
            client.hint,
            client.flow_key,
            client.group,
            client.returning,
        )
        connection = self.connections[connection_id] = SimulatedConnection(connection_id, client, request)
        self.place_connection(connection)

    def place_connection(self, connection: SimulatedConnection) -> None:
        """Ask the decider for a server and start an attempt there, or send the final answer."""
        simulation = self.simulation
        pick = self.decider.pick(simulation.now_ms, connection.request)
        if not isinstance(pick, Send):
            line = "FAILED"
            if isinstance(pick, Refused):
                line = f"BUSY {pick.retry_after:.0f}" if pick.retry_after else "BUSY"
            self.drop_connection(connection)
            return self.send_answer(connection, line)
        self.start_attempt(connection, pick.server, pick.timeout / 1000)

    def start_attempt(self, connection: SimulatedConnection, server: str, timeout_s: float) -> None:
        """Connect to the server, then write the first line; the attempt times out after `timeout_s`."""
        simulation = self.simulation
        connection.attempt += 1
        connection.attempt_started_at, connection.server = simulation.now, server
        one_way = simulation.one_way_delay(self.zone, server)
        attempt = connection.attempt
        if not simulation.can_reach(self.index, server):
            simulation.schedule(
                simulation.now + min(self._dial_timeout_s, timeout_s),
                self.attempt_failed,
                connection,
                attempt,
                Result.UNREACHABLE,
            )
        elif simulation.servers[server].dead:
            simulation.schedule(
                simulation.now + 2 * one_way, self.attempt_failed, connection, attempt, Result.UNREACHABLE
            )
        else:
            simulation.schedule(
                simulation.now + 2 * one_way, self.write_first_line, connection, attempt, timeout_s
            )

    def write_first_line(self, connection: SimulatedConnection, attempt: int, timeout_s: float) -> None:
        """Write the first line after connecting, unless the server is no longer listed as ready."""
        simulation = self.simulation
        if connection.attempt != attempt or connection.closed:
            return
        if connection.server not in self.ready_servers and not self.ignores_server_list():
            return self.attempt_failed(connection, attempt, Result.NOT_SENT)
        simulation.schedule(
            simulation.now + simulation.one_way_delay(self.zone, connection.server),
            simulation.deliver_first_line,
            self,
            connection,
            attempt,
        )
        simulation.schedule(
            connection.attempt_started_at + timeout_s, self.attempt_expired, connection, attempt
        )

    def ignores_server_list(self) -> bool:
        """Whether to send to servers that are not listed as ready; for mutants to override."""
        return False

    def attempt_expired(self, connection: SimulatedConnection, attempt: int) -> None:
        """Fail the attempt if the server has not replied within its timeout."""
        if connection.attempt == attempt and not connection.is_up and not connection.closed:
            self.simulation.close_at_server(connection.server, connection, False)
            self.attempt_failed(connection, attempt, Result.TIMEOUT)

    def attempt_failed(self, connection: SimulatedConnection, attempt: int, result: Result) -> None:
        """Report an attempt that ended without a connection, and place the request again."""
        if connection.attempt != attempt or connection.closed or connection.is_up or not self.alive:
            return
        connection.attempt += 1
        self.simulation.statistics.count_event(self.simulation.now, f"attempt.{result.value}")
        self.decider.report(
            self.simulation.now_ms,
            Ended(connection.id, (self.simulation.now - connection.attempt_started_at) * 1000, result, False),
        )
        self.place_connection(connection)

    def establish(self, connection: SimulatedConnection, attempt: int, receipt: str) -> None:
        """Handle the server's `UP`: the connection is established."""
        if connection.attempt != attempt or connection.closed or not self.alive:
            return
        simulation = self.simulation
        connection.is_up, connection.established_at = True, simulation.now
        self.health.record_answer(connection.server, simulation.now_ms)
        self.decider.report(
            simulation.now_ms, Up(connection.id, (simulation.now - connection.attempt_started_at) * 1000)
        )
        self.send_answer(connection, f"UP {receipt}")

    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        """Send the final answer to the client."""
        simulation = self.simulation
        simulation.schedule(
            simulation.now + simulation.zone_delay, simulation.deliver_answer, self, connection, line
        )

    def drop_connection(self, connection: SimulatedConnection) -> None:
        """Close a connection and drop all state of it."""
        connection.closed = True
        self.connections.pop(connection.id, None)
        self.awaiting_answers.pop(connection.id, None)

    # Established connections

    def lines_to_server(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        """The line numbers to pass on to the server for one line of the client."""
        return (number,)

    def lines_to_client(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        """The line numbers to pass back to the client for one answer of the server."""
        return (number,)

    def record_delay(self, connection: SimulatedConnection, delay_s: float) -> None:
        """Report that the server has answered a line after `delay_s` seconds."""
        now = self.simulation.now_ms
        self.health.record_answer(connection.server, now)
        self.decider.report(now, Delay(connection.id, delay_s * 1000))

    def close(self, connection: SimulatedConnection, result: Result) -> None:
        """Close an established connection, or a set-up that no client waits for any longer."""
        if connection.closed:
            return
        since = connection.established_at if connection.is_up else connection.attempt_started_at
        self.drop_connection(connection)
        self.decider.report(
            self.simulation.now_ms, Ended(connection.id, (self.simulation.now - since) * 1000, result, True)
        )

    def move_client(self, connection_id: str, result: Result = Result.CANCELLED) -> None:
        """Send a client `MOVE`, so that it reconnects, and close both sides."""
        connection = self.connections.get(connection_id)
        if connection is None or not connection.is_up:
            return
        self.close(connection, result)
        self.simulation.close_at_server(connection.server, connection, False)
        self.simulation.deliver_move(connection)

    # The process

    def tick(self) -> None:
        """Carry out the decider's pending actions, and check for silent servers when that is due."""
        simulation = self.simulation
        actions = self.decider.tick(simulation.now_ms)
        for connection_id in actions.moves:
            simulation.statistics.count_event(simulation.now, "moves.asked")
            self.move_client(connection_id)
        if actions.watch:
            simulation.request_watch(self)
        if self.awaiting_answers and simulation.now - self._silence_checked_at >= SILENCE_CHECK_INTERVAL_S:
            self._silence_checked_at = simulation.now
            self.check_silence()

    def check_silence(self) -> None:
        """Move clients whose lines have waited too long, by the same rule as the real program."""
        now = self.simulation.now_ms
        waits_by_server: dict[str, list[float]] = {}
        for connection in list(self.awaiting_answers.values()):
            if connection.unanswered_lines:
                waits_by_server.setdefault(connection.server, []).append(
                    now - EPOCH_MS - connection.unanswered_lines[0][1] * 1000
                )
            else:
                del self.awaiting_answers[connection.id]
        silent_servers = {
            name
            for name, each in waits_by_server.items()
            if self.health.is_silent(name, len(each), max(each), now)
        }
        for connection in list(self.awaiting_answers.values()):
            wait = now - EPOCH_MS - connection.unanswered_lines[0][1] * 1000
            if wait > (
                SILENT_SERVER_TIMEOUT_MS if connection.server in silent_servers else SILENCE_TIMEOUT_MS
            ):
                self.simulation.statistics.count_event(self.simulation.now, "ends.silent")
                self.move_client(connection.id, Result.TIMEOUT)

    def apply_server_list(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        """Apply a server list or its changes, and pass it on to the decider."""
        if kind is ServerListKind.WHOLE:
            self.ready_servers.clear()
        for each in servers:
            if each.state is ServerState.READY:
                self.ready_servers.add(each.id)
            else:
                self.ready_servers.discard(each.id)
        self.decider.report(self.simulation.now_ms, ServerList(kind, servers))

    def stop(self) -> None:
        """Do what SIGTERM causes: keep serving, then move all clients evenly over time, then exit."""
        simulation = self.simulation
        self.stopping = True
        longest_deadline = max(each.deadline_ms for each in simulation.scenario.classes) / 1000
        schedule = StopSchedule.starting_at(simulation.now, longest_deadline)
        start = schedule.moves_begin_at
        steps = int((schedule.moves_end_at - start) / TICK_INTERVAL_S)
        for step in range(int((schedule.ends_at - start) / TICK_INTERVAL_S) + 1):
            simulation.schedule(start + step * TICK_INTERVAL_S, self.move_share, max(0, steps - step))
        simulation.schedule(simulation.now + STOP_DISPATCH_DELAY_S, simulation.dispatcher.remove, self.index)
        simulation.schedule(schedule.ends_at + KILL_MARGIN_S, simulation.kill_balancer, self)

    def move_share(self, steps_left: int) -> None:
        """Move an even share of the established connections; all of them if no steps are left."""
        if not self.alive:
            return
        established_ids = [connection_id for connection_id, each in self.connections.items() if each.is_up]
        for connection_id in established_ids[: len(established_ids) // (steps_left + 1)]:
            self.move_client(connection_id)


class Outcome(NamedTuple):
    """The outcome of a run; `target_counts` says how many targets each trouble had."""

    statistics: RunStatistics
    violations: list[Violation]
    target_counts: dict[str, int]


class Simulation:
    """One run of a scenario with a seed and a policy."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_decider: DeciderFactory,
        balancer_type: type[SimulatedBalancer] = SimulatedBalancer,
        keep_on: bool = False,
        on_progress: Callable[[float], None] | None = None,
    ) -> None:
        self.scenario, self.seed, self.make_decider, self._balancer_type = (
            scenario,
            seed,
            make_decider,
            balancer_type,
        )
        self._on_progress = on_progress  # called with the virtual time, in seconds
        self._keep_on = keep_on  # whether to continue after a violation
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._event_count = self._connection_count = 0
        self.timeline: Timeline = expand_troubles(scenario, seed)
        self.server_specs = server_specs(scenario)
        self.servers = {each.name: FakeServer(scenario, each, seed) for each in self.server_specs}
        self.settings = [
            balancer_settings.decision_settings(scenario, index) for index in range(scenario.balancers.count)
        ]
        zones = {each.name: each.zone for each in self.server_specs}
        self._server_zones = zones
        self.checker = Checker(scenario, zones, {each.name: each.cell for each in self.server_specs}, 0.0)
        self.statistics = RunStatistics(scenario)
        self.statistics.server_loads = {each.name: [] for each in self.server_specs}
        self.dispatcher, self.retry_policy = Dispatcher(scenario), RetryPolicy(scenario, seed)
        self.zone_delay = scenario.network.within_ms / 1000
        self._far_delay = scenario.network.between_ms / 1000
        self._zone_cuts: list[Interval] = []
        self._connections_at: dict[str, dict[str, tuple[SimulatedBalancer, SimulatedConnection]]] = {
            name: {} for name in self.servers
        }
        self._message_goals_s = [each.message_aim_ms / 1000 for each in scenario.classes]
        self._message_interval_s = scenario.clients.message_every_s
        self._message_slots: dict[int, list[Client]] = {}
        self._seeds = Random(f"{seed}/balancers")
        self._known_servers: dict[str, Server] = {
            each.name: Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0)
            for each in self.server_specs
        }
        self._unreported: list[Server] = []  # not published yet because of `roster-stale`
        self._discovery_troubles: dict[str, int] = {}  # effect: number of active troubles
        self._next_call_at = 0.0
        self.reserved_loads = dict.fromkeys(self.servers, 0.0)  # shared by the oracles of all balancers
        self.balancers = [
            balancer_type(self, index, self._seeds.randrange(SEED_RANGE))
            for index in range(scenario.balancers.count)
        ]

    @property
    def now_ms(self) -> float:
        """The time on the facade's clock, in milliseconds."""
        return EPOCH_MS + self.now * 1000

    def schedule(self, at: float, call: Callable[..., Any], *arguments: Any) -> None:
        """Call a function at a time; calls for the same time run in the order of scheduling."""
        self._event_count += 1
        heapq.heappush(self._heap, (at, self._event_count, call, arguments))

    def one_way_delay(self, zone: int, server: str) -> float:
        """The network delay from a zone to a server, in seconds."""
        return self.zone_delay if self._server_zones[server] == zone else self._far_delay

    def can_reach(self, balancer_index: int, server: str) -> bool:
        """Whether no zone cut separates the balancer from the server now."""
        if not self._zone_cuts:
            return True
        balancer_zone, server_zone = balancer_index % len(self.scenario.zones), self._server_zones[server]
        if balancer_zone == server_zone:
            return True
        zones = self.scenario.zones
        return not any(each.target in (zones[balancer_zone], zones[server_zone]) for each in self._zone_cuts)

    def run(self) -> Outcome:
        """Run to the end of the scenario, or to the first violation unless `keep_on` is set."""
        end = self.scenario.seconds
        self._schedule_start()
        heap = self._heap
        violations = self.checker.violations
        while heap and heap[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(heap)
            call(*arguments)
            if violations and not self._keep_on:
                break
        self.now = min(self.now, end)
        self.checker.finish(end if not violations else self.now)
        return Outcome(self.statistics, violations, count_targets(self.scenario, self.timeline))

    def _schedule_start(self) -> None:
        listing = tuple(self._known_servers.values())
        for balancer in self.balancers:
            balancer.apply_server_list(ServerListKind.REMEMBERED, listing)
        open_clients = initial_clients(self.scenario, self.seed)
        for number, client in enumerate(open_clients):
            self._adopt_client(client, self.server_specs[number % len(self.server_specs)].name)
        for change in self.timeline.changes:
            self.schedule(change.at, self._apply_change, change)
        for each in discovery_updates(self.scenario, self.timeline):
            known_server = self._known_servers[each.server]._replace(
                state=SERVER_STATES[each.state],
                started_at=EPOCH_MS + each.started_at * 1000 if each.started_at else 0.0,
            )
            self.schedule(each.at, self._discovery_learns, known_server)
        self._schedule_next_arrival(
            arriving_clients(self.scenario, self.timeline, self.seed, len(open_clients))
        )
        self.schedule(0.0, self._tick)
        self.schedule(MESSAGE_SLOT_S, self._send_due_messages, 1)
        self.schedule(SERIES_STEP_S, self._sample)

    # Clients

    def _adopt_client(self, client: Client, server: str) -> None:
        balancer = self.balancers[client.index % len(self.balancers)]
        connection_id = self._new_connection_id()
        request = Request(
            connection_id,
            client.class_index,
            0.0,
            client.tenant,
            client.hint,
            client.flow_key,
            client.group,
            False,
        )
        connection = balancer.connections[connection_id] = SimulatedConnection(connection_id, client, request)
        connection.server, connection.is_up = server, True
        client.connection_id, client.balancer_index, client.is_up = connection_id, balancer.index, True
        self.servers[server].add_connection(connection_id, client.load)
        self._connections_at[server][connection_id] = (balancer, connection)
        self.checker.adopted(connection_id, balancer.name, client.class_index, server)
        balancer.decider.report(self.now_ms, Adopted(request, server))
        self._schedule_messages(client)
        self.schedule(client.leaves_at, self._client_leaves, client)

    def _schedule_next_arrival(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.schedule(client.arrives_at, self._client_arrives, client, clients)

    def _client_arrives(self, client: Client, clients: Iterator[Client]) -> None:
        self._schedule_messages(client)
        self.schedule(client.leaves_at, self._client_leaves, client)
        self._open_connection(client)
        self._schedule_next_arrival(clients)

    def _schedule_messages(self, client: Client) -> None:
        client.next_message_at = client.arrives_at + client.message_phase
        self._message_slots.setdefault(int(client.next_message_at / MESSAGE_SLOT_S) + 1, []).append(client)

    def _new_connection_id(self) -> str:
        self._connection_count += 1
        return f"{self._connection_count:016x}"

    def _open_connection(self, client: Client) -> None:
        if self.now >= client.leaves_at:
            return
        index = self.dispatcher.next_balancer()
        if index < 0 or not self.balancers[index].alive:
            self.statistics.count_event(self.now, "clients.no_balancer")
            self.schedule(
                self.now + self.retry_policy.delay_after_disconnect(client), self._open_connection, client
            )
            return
        balancer, connection_id = self.balancers[index], self._new_connection_id()
        client.connection_id, client.balancer_index, client.is_up, client.lines_sent = (
            connection_id,
            index,
            False,
            0,
        )
        wait_s = self.scenario.classes[client.class_index].deadline_ms / 1000
        self.checker.opened(self.now, connection_id, balancer.name, client.class_index, wait_s)
        self.statistics.count_event(
            self.now, "opens.again" if client.returning else "opens.retry" if client.failed_tries else "opens"
        )
        self.schedule(
            self.now + self.zone_delay, self._deliver_request, balancer, client, connection_id, wait_s
        )
        self.schedule(
            self.now + wait_s + IMMEDIATE_ANSWER_MAX_S, self._client_timed_out, client, connection_id
        )

    def _deliver_request(
        self, balancer: SimulatedBalancer, client: Client, connection_id: str, wait_s: float
    ) -> None:
        if balancer.alive:
            balancer.accept_request(client, connection_id, wait_s)
        else:
            self._connection_broke(client, connection_id)

    def _client_timed_out(self, client: Client, connection_id: str) -> None:
        if client.connection_id == connection_id and not client.is_up:
            self.statistics.count_event(self.now, "clients.gave_up")
            self._retry_later(client, self.retry_policy.delay_after_answer(client, True))

    def deliver_answer(self, balancer: SimulatedBalancer, connection: SimulatedConnection, line: str) -> None:
        """Handle a final answer that reaches a client."""
        client = connection.client
        if client.connection_id != connection.id:  # the client has given up, but still receives the line
            return self.checker.answered(self.now, connection.id, line)
        opened_at = self._opened_at(client)
        self.checker.answered(self.now, connection.id, line)
        first_word, _, argument = line.partition(" ")
        self.statistics.count_answer(
            self.now, client.class_index, {"UP": "served", "BUSY": "refused"}.get(first_word, "failed")
        )
        if first_word == "UP":
            client.is_up, client.failed_tries, client.returning = True, 0, False
            self.statistics.setup_times.add(self.now - opened_at)
            if self.now >= client.leaves_at:
                self._client_leaves(client)
            return
        self.checker.left(self.now, connection.id)
        self._retry_later(
            client, self.retry_policy.delay_after_answer(client, first_word != "BUSY", float(argument or 0))
        )

    def _opened_at(self, client: Client) -> float:
        opened_at = self.checker.opened_at(client.connection_id)
        return self.now if opened_at is None else opened_at

    def _retry_later(self, client: Client, wait_s: float | None) -> None:
        client.connection_id, client.is_up = "", False
        if wait_s is None:
            self.statistics.count_event(self.now, "clients.out_of_patience")
        else:
            self.schedule(self.now + wait_s, self._open_connection, client)

    def _connection_broke(self, client: Client, connection_id: str) -> None:
        if client.connection_id == connection_id:
            self.checker.ended(self.now, connection_id)
            self.statistics.count_event(self.now, "clients.broken")
            self._retry_later(client, self.retry_policy.delay_after_disconnect(client))

    def deliver_move(self, connection: SimulatedConnection) -> None:
        """Handle a `MOVE` that reaches a client."""
        client = connection.client
        if client.connection_id == connection.id:
            self.checker.moved(self.now, connection.id)
            self.statistics.count_event(self.now, "clients.moved")
            self._retry_later(client, self.retry_policy.delay_after_disconnect(client))

    def _client_leaves(self, client: Client) -> None:
        if not client.is_up or self.now < client.leaves_at:
            return
        balancer = self.balancers[client.balancer_index]
        connection = balancer.connections.get(client.connection_id)
        self.checker.left(self.now, client.connection_id)
        client.is_up, client.connection_id = False, ""
        if connection is not None:
            balancer.close(connection, Result.CANCELLED)
            self.close_at_server(connection.server, connection, False)

    # Messages

    def _send_due_messages(self, slot: int) -> None:
        self.schedule((slot + 1) * MESSAGE_SLOT_S, self._send_due_messages, slot + 1)
        step = self.statistics.step_index(self.now)
        message_slots, wanted = self._message_slots, self.statistics.wanted_messages
        for client in message_slots.pop(slot, ()):
            if client.leaves_at <= self.now:
                continue
            wanted[client.class_index][step] += 1
            client.wanted_messages += 1
            client.next_message_at += self._message_interval_s
            next_slot = max(int(client.next_message_at / MESSAGE_SLOT_S) + 1, slot + 1)
            message_slots.setdefault(next_slot, []).append(client)
            if client.is_up:
                balancer = self.balancers[client.balancer_index]
                connection = balancer.connections.get(client.connection_id)
                if connection is not None and connection.is_up:
                    client.lines_sent += 1
                    for number in balancer.lines_to_server(connection, client.lines_sent):
                        self._send_line(balancer, connection, number)

    def _send_line(self, balancer: SimulatedBalancer, connection: SimulatedConnection, number: int) -> None:
        """Send a client's line to the server and schedule its answer."""
        server = self.servers[connection.server]
        connection.unanswered_lines.append((number, self.now))
        if server.hanging or (self._zone_cuts and not self.can_reach(balancer.index, connection.server)):
            balancer.awaiting_answers[connection.id] = connection
            return
        self.checker.server_received_line(self.now, connection.id, number)
        delay_s = 2 * (
            self.one_way_delay(balancer.zone, connection.server) + self.zone_delay
        ) + server.message_delay(self.now)
        if delay_s <= IMMEDIATE_ANSWER_MAX_S and connection.answer_due_at <= self.now:
            self._deliver_line_answer(balancer, connection, number, delay_s)
            return
        connection.answer_due_at = max(connection.answer_due_at, self.now + delay_s)
        delay_s = connection.answer_due_at - self.now
        if delay_s >= WATCHED_DELAY_MIN_S:
            balancer.awaiting_answers[connection.id] = connection
        self.schedule(
            connection.answer_due_at, self._deliver_line_answer, balancer, connection, number, delay_s
        )

    def _deliver_line_answer(
        self, balancer: SimulatedBalancer, connection: SimulatedConnection, number: int, delay_s: float
    ) -> None:
        if connection.closed or not balancer.alive:
            return
        server = self.servers[connection.server]
        if server.hanging or (self._zone_cuts and not self.can_reach(balancer.index, connection.server)):
            return
        sent_at = connection.unanswered_lines.popleft()[1] if connection.unanswered_lines else self.now
        balancer.record_delay(connection, delay_s)
        client = connection.client
        for each in balancer.lines_to_client(connection, number):
            self.checker.client_received_answer(self.now, connection.id, each)
        self.statistics.message_times.add(delay_s)
        if delay_s <= self._message_goals_s[client.class_index]:
            client.good_messages += 1
            self.statistics.good_messages[client.class_index][self.statistics.step_index(sent_at)] += 1

    def _resume_answers(self, server_name: str) -> None:
        """Answer, late, the lines that wait at a server that hung or was cut off until now."""
        for balancer, connection in list(self._connections_at[server_name].values()):
            if (
                not connection.is_up
                or connection.closed
                or not self.can_reach(balancer.index, server_name)
                or self.servers[server_name].hanging
            ):
                continue
            unanswered = list(connection.unanswered_lines)
            connection.unanswered_lines.clear()
            for number, sent_at in unanswered:
                self.checker.server_received_line(self.now, connection.id, number)
                delay_s = self.now - sent_at + self.servers[server_name].message_delay(self.now)
                connection.unanswered_lines.append((number, sent_at))
                self._deliver_line_answer(balancer, connection, number, delay_s)

    # Servers

    def deliver_first_line(
        self, balancer: SimulatedBalancer, connection: SimulatedConnection, attempt: int
    ) -> None:
        """Handle a first line that reaches a server."""
        if connection.attempt != attempt or connection.closed or not balancer.alive:
            return
        server_name, now = connection.server, self.now
        server, one_way = self.servers[server_name], self.one_way_delay(balancer.zone, server_name)
        if not self.can_reach(balancer.index, server_name):
            return
        reply, delay_s = server.receive_first_line(now, connection.id, connection.client.load)
        if reply is SetupReply.DOWN:
            self.schedule(now + one_way, balancer.attempt_failed, connection, attempt, Result.RESET)
            return
        self.checker.took(now, server_name, connection.id)
        if reply is SetupReply.SILENT:
            self._connections_at[server_name][connection.id] = (balancer, connection)
        elif reply is SetupReply.UP:
            self._connections_at[server_name][connection.id] = (balancer, connection)
            if server.crashes_from_setup(now, connection.id, connection.client.load):
                self.statistics.count_event(now, "servers.fallen")
                self.checker.cold_server_fell(
                    now, server_name, list(server.recent_setups), server.cold_setup_budget(now)
                )
                self._reset_connections(server_name)
                return
            self.schedule(now + delay_s, self._deliver_up, balancer, connection, attempt)
        else:
            self.checker.said(now, server_name, connection.id, reply.value)
            self.checker.dropped(now, server_name, connection.id, True)
            result = Result.FULL if reply is SetupReply.BUSY else Result.ERROR
            self.schedule(now + one_way, balancer.attempt_failed, connection, attempt, result)

    def _deliver_up(self, balancer: SimulatedBalancer, connection: SimulatedConnection, attempt: int) -> None:
        server = self.servers[connection.server]
        if connection.attempt != attempt or connection.closed or server.dead or server.hanging:
            return
        receipt = f"{connection.server}.{connection.id}"
        self.checker.said(self.now, connection.server, connection.id, f"UP {receipt}")
        if self.can_reach(balancer.index, connection.server):
            self.schedule(
                self.now + self.one_way_delay(balancer.zone, connection.server),
                balancer.establish,
                connection,
                attempt,
                receipt,
            )

    def close_at_server(self, server_name: str, connection: SimulatedConnection, by_server: bool) -> None:
        """Close the connection between balancer and server on the server's side."""
        if self._connections_at[server_name].pop(connection.id, None) is not None:
            self.servers[server_name].remove_connection(self.now, connection.id)
            self.checker.dropped(self.now, server_name, connection.id, by_server)

    def _reset_connections(self, server_name: str) -> None:
        """Reset each connection to a server that has died."""
        reset = list(self._connections_at[server_name].values())
        self._connections_at[server_name].clear()
        for balancer, connection in reset:
            self.checker.dropped(self.now, server_name, connection.id, True)
            one_way = self.one_way_delay(balancer.zone, server_name)
            if connection.is_up:
                self.schedule(self.now + one_way, self._deliver_reset, balancer, connection)
            else:
                self.schedule(
                    self.now + one_way, balancer.attempt_failed, connection, connection.attempt, Result.RESET
                )

    def _deliver_reset(self, balancer: SimulatedBalancer, connection: SimulatedConnection) -> None:
        if not connection.closed and balancer.alive:
            balancer.close(connection, Result.RESET)
            self._connection_broke(connection.client, connection.id)

    # Troubles

    def _apply_change(self, change: IntervalChange) -> None:
        interval, begins = change.interval, change.begins
        if interval.target in self.servers:
            server = self.servers[interval.target]
            was_hanging = server.hanging
            died_or_restarted = server.apply_change(self.now, begins, interval)
            if died_or_restarted and server.dead:
                self._reset_connections(interval.target)
            elif died_or_restarted:
                self.checker.server_started(self.now, interval.target)
            elif was_hanging and not server.hanging and not server.dead:
                self._resume_answers(interval.target)
        elif interval.effect == "zone-cut":
            if begins:
                self._zone_cuts.append(interval)
            else:
                self._zone_cuts.remove(interval)
                for name in self.servers:
                    self._resume_answers(name)
        elif interval.effect.startswith("roster-"):
            self._discovery_troubles[interval.effect] = self._discovery_troubles.get(interval.effect, 0) + (
                1 if begins else -1
            )
            self._apply_discovery_change(interval.effect, begins)
        elif interval.effect == "drop" and begins:
            self._drop_clients(interval.value)
        elif interval.effect.startswith("balancer-"):
            self._apply_balancer_change(self.balancers[int(interval.target[1:])], interval, begins)

    def _drop_clients(self, fraction: float) -> None:
        rng = Random(f"{self.seed}/drop/{self.now}")
        for balancer in self.balancers:
            for connection in [each for each in balancer.connections.values() if each.is_up]:
                client = connection.client
                if client.connection_id == connection.id and client.is_up and rng.random() < fraction:
                    self.checker.left(self.now, connection.id)
                    balancer.close(connection, Result.CANCELLED)
                    self.close_at_server(connection.server, connection, False)
                    self.statistics.count_event(self.now, "clients.dropped")
                    self._retry_later(client, self.retry_policy.delay_after_disconnect(client))

    def _apply_balancer_change(self, balancer: SimulatedBalancer, interval: Interval, begins: bool) -> None:
        if interval.effect == "balancer-reload":
            if balancer.alive:
                self.request_watch(balancer)
        elif not begins:
            self._start_balancer(balancer.index)
        elif not balancer.alive or balancer.stopping:
            return
        elif interval.effect == "balancer-restart":
            balancer.stop()
        else:
            self.kill_balancer(balancer)

    def kill_balancer(self, balancer: SimulatedBalancer) -> None:
        """End a balancer's process: each of its connections is reset."""
        if not balancer.alive:
            return
        balancer.alive = False
        if balancer.stopping:
            self.dispatcher.remove(balancer.index)
        else:
            self.schedule(
                self.now + self.scenario.balancers.front_notice_s, self._dispatcher_notices_death, balancer
            )
        self.checker.balancer_died(self.now, balancer.name, balancer.stopping)
        for connection in list(balancer.connections.values()):
            connection.closed = True
            self.close_at_server(connection.server, connection, False) if connection.server else None
            self._connection_broke(connection.client, connection.id)
        balancer.connections.clear()
        if balancer.stopping:  # start it again after its down time
            restarts = [
                each
                for each in self.timeline.with_effects("balancer-restart")
                if each.target == balancer.name
            ]
            down_s = max((each.end - each.start for each in restarts if each.start <= self.now), default=0.0)
            self.schedule(self.now + down_s, self._start_balancer, balancer.index)

    def _dispatcher_notices_death(self, balancer: SimulatedBalancer) -> None:
        if self.balancers[balancer.index] is balancer:
            self.dispatcher.remove(balancer.index)

    def _start_balancer(self, index: int) -> None:
        if self.balancers[index].alive or self.timeline.is_active("balancer-die", f"b{index}", self.now):
            return
        balancer = self.balancers[index] = self._balancer_type(self, index, self._seeds.randrange(SEED_RANGE))
        remembered = tuple(
            Server(each.name, each.zone, 0, each.cell, ServerState.READY, 1.0, 0.0)
            for each in self.server_specs
        )
        balancer.apply_server_list(ServerListKind.REMEMBERED, remembered)
        self.dispatcher.restore(index)

    # Discovery

    def _discovery_learns(self, known_server: Server) -> None:
        self._known_servers[known_server.id] = known_server
        if self._discovery_troubles.get("roster-stale"):
            self._unreported.append(known_server)
            return
        self._record_known_state(known_server)
        self._notify_watchers((known_server,))

    def _record_known_state(self, known_server: Server) -> None:
        self.checker.knows(
            self.now,
            known_server.id,
            "Ready" if known_server.state is ServerState.READY else known_server.state.value,
        )

    def _notify_watchers(self, servers: tuple[Server, ...]) -> None:
        for balancer in self.balancers:
            if balancer.alive and balancer.watching:
                if self.scenario.discovery.whole:
                    self.schedule(
                        self.now + self.zone_delay,
                        self._deliver_server_list,
                        balancer,
                        ServerListKind.WHOLE,
                        self._listing(),
                    )
                else:
                    self.schedule(
                        self.now + self.zone_delay,
                        self._deliver_server_list,
                        balancer,
                        ServerListKind.CHANGES,
                        servers,
                    )

    def _listing(self) -> tuple[Server, ...]:
        unreported_ids = {each.id for each in self._unreported}
        if unreported_ids:  # publish the state from before
            return tuple(
                each._replace(state=ServerState.READY, started_at=0.0) if each.id in unreported_ids else each
                for each in self._known_servers.values()
            )
        return tuple(self._known_servers.values())

    def _deliver_server_list(
        self, balancer: SimulatedBalancer, kind: ServerListKind, servers: tuple[Server, ...]
    ) -> None:
        if not balancer.alive:
            return
        for each in servers:
            state = "Ready" if each.state is ServerState.READY else each.state.value
            started_at_s = (each.started_at - EPOCH_MS) / 1000 if each.started_at else 0.0
            self.checker.balancer_notified(self.now, balancer.name, each.id, state, started_at_s)
        balancer.apply_server_list(kind, servers)

    def request_watch(self, balancer: SimulatedBalancer) -> None:
        """Handle a balancer's call to discovery, which answers calls one after the other."""
        self.checker.asks(self.now, balancer.name, True)
        self._next_call_at = max(self._next_call_at, self.now) + 1 / self.scenario.discovery.calls_per_s
        balancer.watching = False
        self.schedule(self._next_call_at + self.zone_delay, self._answer_call, balancer)

    def _answer_call(self, balancer: SimulatedBalancer) -> None:
        if not balancer.alive:
            return
        if self._discovery_troubles.get("roster-out"):
            self.schedule(self.now + REFUSED_CALL_S, self._watch_lost, balancer)
        elif self._discovery_troubles.get("roster-silent"):
            self.schedule(self.now + CALL_TIMEOUT_S, self._watch_lost, balancer)
        else:
            balancer.watching = True
            self._deliver_server_list(balancer, ServerListKind.WHOLE, self._listing())

    def _watch_lost(self, balancer: SimulatedBalancer) -> None:
        if balancer.alive:
            balancer.watching = False
            self.checker.asks(self.now, balancer.name, False)
            balancer.decider.report(self.now_ms, ServerListLost())

    def _apply_discovery_change(self, effect: str, begins: bool) -> None:
        if effect in ("roster-out", "roster-silent") and begins:
            for balancer in self.balancers:
                if balancer.watching:
                    balancer.watching = False
                    delay_s = REFUSED_CALL_S if effect == "roster-out" else WATCH_TIMEOUT_S
                    self.schedule(self.now + delay_s, self._watch_lost, balancer)
        elif effect == "roster-stale" and not self._discovery_troubles.get(effect):
            unreported, self._unreported = self._unreported, []
            for each in unreported:
                self._record_known_state(each)
            if unreported:
                self._notify_watchers(tuple(unreported))

    # Periodic events

    def _tick(self) -> None:
        for balancer in self.balancers:
            if balancer.alive:
                balancer.tick()
        self.schedule(self.now + TICK_INTERVAL_S, self._tick)

    def _sample(self) -> None:
        for name, server in self.servers.items():
            server.advance(self.now)
            self.statistics.server_loads[name].append(0.0 if server.dead else server.utilisation(self.now))
        if self._on_progress is not None:
            self._on_progress(self.now)
        self.schedule(self.now + SERIES_STEP_S, self._sample)


def decider_factory(policy: str) -> DeciderFactory:
    """The function that creates deciders of a policy. Raises KeyError for an unknown policy."""
    if policy == "oracle":
        return lambda settings, seed, now, simulation, index: Oracle(settings, seed, now, simulation, index)
    create = BASELINES[policy]
    return lambda settings, seed, now, _simulation, _index: create(settings, seed, now)


def run_simulation(
    scenario: Scenario, seed: int, policy: str = "design", keep_on: bool | None = None
) -> Outcome:
    """Run a scenario in virtual time.

    A violation ends the run for the policy `design`, but not for others; `keep_on` overrides this.
    """
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
