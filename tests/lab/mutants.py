"""Balancers that break one rule each; the judge must call each by name. To add one: a subclass and a line
below."""

from __future__ import annotations

from collections.abc import Iterable

from switchhub.decision.interface import Server, ServerListKind, ServerState
from switchhub.lab.model import Conn, Shell


class AnswersTwice(Shell):
    def answer(self, conn: Conn, line: str) -> None:
        super().answer(conn, line)
        super().answer(conn, line)


class AnswersNever(Shell):
    def answer(self, conn: Conn, line: str) -> None:
        if conn.client.index % 50:
            super().answer(conn, line)


class AnswersLate(Shell):
    def answer(self, conn: Conn, line: str) -> None:
        late = 1.52 if conn.client.index % 50 == 0 else 0.0
        self.run.at(self.run.now + self.run.near + late, self.run.hears, self, conn, line)


class Forges(Shell):
    def answer(self, conn: Conn, line: str) -> None:
        super().answer(conn, "UP made-up" if line.startswith("UP") else line)


class PassesOverDrains(Shell):
    """Its module and its connections are never told that a server leaves."""

    def lists(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        if kind is ServerListKind.WHOLE:
            kind = ServerListKind.CHANGES
        super().lists(kind, tuple(each for each in servers if each.state is ServerState.READY))


class StopsAsking(Shell):
    """Does not call discovery again once a call has failed."""

    def tick(self) -> None:
        if not self.watching and self.run.now > 1.0:
            self.facade.tick(self.run.ms)
            return
        super().tick()


class ForgetsBirths(Shell):
    """Takes each server for a warm one."""

    def lists(self, kind: ServerListKind, servers: tuple[Server, ...]) -> None:
        super().lists(kind, tuple(each._replace(started_at=0.0) for each in servers))


class RepeatsWhatMayHaveRun(Shell):
    """After an error it tries the next server by itself."""

    def says_after(self, conn: Conn) -> None:
        names = sorted(self.ready)
        self.attempt(conn, names[(names.index(conn.server) + 1) % len(names)], 0.5)

    def place(self, conn: Conn) -> None:
        if conn.attempt and conn.server in self.ready:
            return self.says_after(conn)
        super().place(conn)


class TriesTwoAtOnce(Shell):
    def write(self, conn: Conn, token: int, timeout: float) -> None:
        names = sorted(self.ready)
        other = Conn(conn.id, conn.client, conn.request)
        other.server, other.attempt = names[0] if conn.server != names[0] else names[1], token
        self.run.at(self.run.now, self.run.arrives, self, other, token)
        super().write(conn, token, timeout)


class RefusesForFailures(Shell):
    def answer(self, conn: Conn, line: str) -> None:
        super().answer(conn, "BUSY" if line == "FAILED" else line)


class LosesLines(Shell):
    def up_line(self, conn: Conn, number: int) -> Iterable[int]:
        return () if number == 3 else (number,)


class RepeatsLines(Shell):
    def down_line(self, conn: Conn, number: int) -> Iterable[int]:
        return (number, number) if number == 3 else (number,)


class CutsOff(Shell):
    """Ends connections without a word instead of moving them."""

    def move(self, name: str, result: object = None) -> None:
        conn = self.conns.get(name)
        if conn is not None and conn.up:
            self.run._reset(self, conn)


# Which mutant must be caught in which scenario of `small.py`, and what the break is called.
MUTANTS: list[tuple[type[Shell], str, str]] = [
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
