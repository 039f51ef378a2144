"""Balancers that violate one rule each; the checker must report each violation by name.

To add one, write a subclass and add it to `MUTANTS`.
"""

from __future__ import annotations

from collections.abc import Iterable

from switchhub.decision.interface import Server, ServerListKind, ServerState
from switchhub.lab.model import SimulatedBalancer, SimulatedConnection


class AnswersTwice(SimulatedBalancer):
    """Sends each final answer twice."""

    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, line)
        super().send_answer(connection, line)


class AnswersNever(SimulatedBalancer):
    """Does not answer every 50th client."""

    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        if connection.client.index % 50:
            super().send_answer(connection, line)


class AnswersLate(SimulatedBalancer):
    """Answers every 50th client past its deadline."""

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
    """Sends receipts that no server issued."""

    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, "UP made-up" if line.startswith("UP") else line)


class PassesOverDrains(SimulatedBalancer):
    """Ignores that servers drain or are gone."""

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
    """Treats each server as warm."""

    def apply_server_list(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        super().apply_server_list(kind, tuple(each._replace(started_at=0.0) for each in servers))


class RepeatsWhatMayHaveRun(SimulatedBalancer):
    """Repeats a request at the next server after an error, without asking the decider."""

    def repeat_on_next_server(self, connection: SimulatedConnection) -> None:
        names = sorted(self.ready_servers)
        self.start_attempt(connection, names[(names.index(connection.server) + 1) % len(names)], 0.5)

    def place_connection(self, connection: SimulatedConnection) -> None:
        if connection.attempt and connection.server in self.ready_servers:
            return self.repeat_on_next_server(connection)
        super().place_connection(connection)


class TriesTwoAtOnce(SimulatedBalancer):
    """Sends each first line to two servers."""

    def write_first_line(self, connection: SimulatedConnection, attempt: int, timeout: float) -> None:
        names = sorted(self.ready_servers)
        other = SimulatedConnection(connection.id, connection.client, connection.request)
        other.server, other.attempt = names[0] if connection.server != names[0] else names[1], attempt
        self.simulation.schedule(
            self.simulation.now, self.simulation.deliver_first_line, self, other, attempt
        )
        super().write_first_line(connection, attempt, timeout)


class RefusesForFailures(SimulatedBalancer):
    """Answers `BUSY` instead of `FAILED`."""

    def send_answer(self, connection: SimulatedConnection, line: str) -> None:
        super().send_answer(connection, "BUSY" if line == "FAILED" else line)


class LosesLines(SimulatedBalancer):
    """Does not pass on the third line of a client."""

    def lines_to_server(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        return () if number == 3 else (number,)


class RepeatsLines(SimulatedBalancer):
    """Passes the answer to the third line on twice."""

    def lines_to_client(self, connection: SimulatedConnection, number: int) -> Iterable[int]:
        return (number, number) if number == 3 else (number,)


class CutsOff(SimulatedBalancer):
    """Resets connections instead of moving their clients."""

    def move_client(self, name: str, result: object = None) -> None:
        connection = self.connections.get(name)
        if connection is not None and connection.is_up:
            self.simulation._deliver_reset(self, connection)


# (mutant, scenario of `small_scenarios.py`, expected violation)
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
