"""Balancers that break one rule each; the judge must call each by name. To add one: a subclass and a line
below."""

from __future__ import annotations

from collections.abc import Iterable

from switchhub.decision.interface import Server, ServerListKind, ServerState
from switchhub.lab.model import SimulatedBalancer, SimulatedConnection


class AnswersTwice(SimulatedBalancer):
    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, line)
        super().send_answer(connection, line)


class AnswersNever(SimulatedBalancer):
    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        if connection.client.index % 50:
            super().send_answer(connection, line)


class AnswersLate(SimulatedBalancer):
    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        extra_delay_s = 1.52 if connection.client.index % 50 == 0 else 0.0
        self.simulation.schedule(
            self.simulation.now + self.simulation.zone_delay + extra_delay_s,
            self.simulation.deliver_answer,
            self,
            connection,
            line,
        )


class Forges(SimulatedBalancer):
    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, "UP made-up" if line.startswith("UP") else line)


class PassesOverDrains(SimulatedBalancer):
    """Its module and its connections are never told that a server leaves."""

    def apply_server_list(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        if kind is ServerListKind.WHOLE:
            kind = ServerListKind.CHANGES
        super().apply_server_list(kind, tuple(each for each in servers if each.state is ServerState.READY))


class StopsAsking(SimulatedBalancer):
    """Does not call discovery again once a call has failed."""

    def tick(self) -> None:
        if not self.watching and self.simulation.now > 1.0:
            self.decider.tick(self.simulation.now_ms)
            return
        super().tick()


class ForgetsBirths(SimulatedBalancer):
    """Takes each server for a warm one."""

    def apply_server_list(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        super().apply_server_list(kind, tuple(each._replace(started_at=0.0) for each in servers))


class RepeatsWhatMayHaveRun(SimulatedBalancer):
    """After an error it tries the next server by itself."""

    def repeat_on_next_server(self, connection: SimulatedConnection) -> None:
        names = sorted(self.ready_servers)
        self.start_attempt(connection, names[(names.index(connection.server) + 1) % len(names)], 0.5)

    def place_connection(self, connection: SimulatedConnection) -> None:
        if connection.attempt and connection.server in self.ready_servers:
            return self.repeat_on_next_server(connection)
        super().place_connection(connection)


class TriesTwoAtOnce(SimulatedBalancer):
    def write_first_line(self, connection: SimulatedConnection, attempt: int, timeout: float) -> None:
        names = sorted(self.ready_servers)
        other = SimulatedConnection(connection.id, connection.client, connection.request)
        other.server, other.attempt = names[0] if connection.server != names[0] else names[1], attempt
        self.simulation.schedule(
            self.simulation.now, self.simulation.deliver_first_line, self, other, attempt
        )
        super().write_first_line(connection, attempt, timeout)


class RefusesForFailures(SimulatedBalancer):
    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, "BUSY" if line == "FAILED" else line)


class LosesLines(SimulatedBalancer):
    def lines_to_server(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        return () if number == 3 else (number,)


class RepeatsLines(SimulatedBalancer):
    def lines_to_client(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        return (number, number) if number == 3 else (number,)


class CutsOff(SimulatedBalancer):
    """Ends connections without a word instead of moving them."""

    def move_client(self, name: str, result: object = None) -> None:
        connection = self.connections.get(name)
        if connection is not None and connection.is_up:
            self.simulation._deliver_reset(self, connection)


# Which mutant must be caught in which scenario of `small.py`, and what the break is called.
MUTANTS: list[tuple[type[SimulatedBalancer], str, str]] = [
    (AnswersTwice, "calm", "answered twice"),
    (AnswersNever, "calm", "never answered"),
    (AnswersLate, "calm", "answered late"),
    (Forges, "calm", "forged answer"),
    (PassesOverDrains, "drain", "sent to a draining server"),
    (StopsAsking, "unasked", "sent to a draining server"),
    (ForgetsBirths, "cold", "cold server pushed over"),
    (RepeatsWhatMayHaveRun, "errors", "unsafe repeated"),
    (RepeatsWhatMayHaveRun, "keyed", "keyed repeated outside its group or window"),
    (TriesTwoAtOnce, "calm", "two attempts at once"),
    (RefusesForFailures, "errors", "refused though it may have run"),
    (LosesLines, "calm", "line lost"),
    (RepeatsLines, "calm", "line duplicated"),
    (CutsOff, "drain", "cut off"),
]
