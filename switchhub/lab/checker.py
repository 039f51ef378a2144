"""The judge: whether the four rules were kept, from what clients, servers and discovery wrote down.

Owns: the story of each connection, from both sides. Must never: take a balancer's word for anything, or let a
break pass for want of a reason. Times are seconds; both engines tell in the order of time.

What each break is called stands in `BREAKS`. A connection's story is dropped once it has ended and nothing
can be said of it any more.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from switchhub.lab.scenario import Scenario

VIOLATION_RULES = {
    "answered twice": 1,
    "never answered": 1,
    "answered late": 1,
    "forged answer": 1,
    "cut off": 1,
    "line lost": 1,
    "line duplicated": 1,
    "unsafe repeated": 2,
    "keyed repeated outside its group or window": 2,
    "two attempts at once": 2,
    "refused though it may have run": 2,
    "sent to a draining server": 3,
    "cold server pushed over": 4,
}
KEPT = 40  # entries of a story
LATEST = 2.0  # seconds past its deadline in which an answer that is owed is still called late, not missing


class Violation(NamedTuple):
    """One break of a rule."""

    name: str
    rule: int
    at: float
    request: str
    text: str
    history: tuple[str, ...]

    def lines(self) -> list[str]:
        """For the terminal: what broke, then both sides' story in order."""
        head = f"rule {self.rule} broken at {self.at:.4f} s: {self.name}: {self.text}"
        return [head, *(f"    {each}" for each in self.history)]


class _Attempt:
    __slots__ = ("ended", "receipt", "server", "took", "verdict")

    def __init__(self, server: str, took: float) -> None:
        self.server, self.took = server, took
        self.verdict = ""
        self.receipt = ""
        self.ended: float | None = None


class _Story:
    __slots__ = (
        "adopted",
        "answer",
        "attempts",
        "back",
        "balancer",
        "closed",
        "deadline",
        "got",
        "kind",
        "left",
        "log",
        "opened",
    )

    def __init__(self, balancer: str, kind: int, opened: float, deadline: float) -> None:
        self.balancer, self.kind, self.opened, self.deadline = balancer, kind, opened, deadline
        self.answer = ""
        self.attempts: list[_Attempt] = []
        self.got = self.back = 0  # the last line that the server got, and that came back
        self.left = self.closed = self.adopted = False
        self.log: deque[str] = deque(maxlen=KEPT)


class Checker:
    """Told of everything, in order; `broken` holds what broke."""

    def __init__(
        self, scenario: Scenario, zones: dict[str, int], cells: dict[str, int], slack: float
    ) -> None:
        self._classes = scenario.classes
        self._zones, self._cells, self._slack = zones, cells, slack
        self._grace = scenario.grace_ms / 1000
        self._stories: dict[str, _Story] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._overdue: deque[tuple[float, str]] = deque()
        self._receipts: set[str] = set()
        self._out: dict[tuple[str, str], float] = {}  # (balancer, server): told to drain or gone, since when
        self._died: dict[str, list[float]] = {}
        self._watch: list[tuple[float, str, _Attempt]] = []  # attempts that must have ended by then
        self._fleet = scenario.balancer_names()
        self._ask_within = scenario.discovery.ask_within_s
        self._unasked: dict[str, float] = {}  # balancers that neither watch nor ask: since when
        self._known_out: dict[
            str, float
        ] = {}  # servers that discovery knows to drain or to be gone, since when
        self._born: dict[tuple[str, str], float] = {}  # (balancer, server): when it last started, as told
        self._started: dict[str, float] = {}
        self.crashes_without_notice = (
            0  # servers that fell before those who sent there were told of their start
        )
        self.violations: list[Violation] = []
        self.request_count = 0

    # Whoever tells.

    def opened(self, at: float, request: str, balancer: str, kind: int, wait: float) -> None:
        """A client has written its first line's last byte."""
        self._due(at)
        story = self._stories[request] = _Story(balancer, kind, at, at + wait)
        story.log.append(f"{at:9.4f} client opens at {balancer}, waits {wait * 1000:.0f} ms")
        heapq.heappush(self._deadlines, (at + wait + self._slack, request))
        self.request_count += 1

    def adopted(self, request: str, balancer: str, kind: int, server: str) -> None:
        """A connection stood before the run."""
        story = self._stories[request] = _Story(balancer, kind, 0.0, 0.0)
        story.adopted = True
        story.answer = "UP"
        story.attempts.append(_Attempt(server, 0.0))
        story.attempts[0].verdict = "UP"
        story.log.append(f"{0.0:9.4f} stood at {server} through {balancer}")

    def answered(self, at: float, request: str, line: str) -> None:
        """A client has got a line that is an answer."""
        self._due(at)
        story = self._stories.get(request)
        if story is None:
            return
        story.log.append(f"{at:9.4f} client hears {line}")
        if story.answer:
            return self._break("answered twice", at, request, f"{line!r} after {story.answer!r}")
        story.answer = line
        if at > story.deadline + self._slack:
            late = (at - story.deadline) * 1000
            self._break("answered late", at, request, f"{line!r} {late:.0f} ms after the deadline")
        word, _, rest = line.partition(" ")
        if word == "UP" and rest not in self._receipts:
            self._break("forged answer", at, request, f"no server gave {rest!r}")
        if word == "BUSY" and not self._harmless(story):
            self._break("refused though it may have run", at, request, f"class {self._name(story)}")

    def left(self, at: float, request: str) -> None:
        """A client has ended its connection of its own accord."""
        story = self._stories.get(request)
        if story is not None:
            story.left = True
            story.log.append(f"{at:9.4f} client leaves")
            self._forget(request, story)

    def moved(self, at: float, request: str) -> None:
        """A client was told to move."""
        story = self._stories.get(request)
        if story is not None:
            story.log.append(f"{at:9.4f} client is moved")
            story.left = True
            self._forget(request, story)

    def ended(self, at: float, request: str) -> None:
        """A client's connection has ended, or broke, without its doing."""
        self._due(at)
        story = self._stories.get(request)
        if story is None or story.left:
            return
        story.log.append(f"{at:9.4f} client's connection ends")
        if not story.answer:
            if not self._was_down(story, at):
                self._break("never answered", at, request, "the connection ended without an answer")
        elif story.answer.startswith("UP") and not self._was_down(story, at):
            last = story.attempts[-1] if story.attempts else None
            if last is not None and last.verdict == "UP":
                self._break("cut off", at, request, f"{last.server} had not ended it, and no MOVE came")
        story.left = True
        self._forget(request, story)

    def took(self, at: float, server: str, request: str) -> None:
        """A server has the last byte of a first line."""
        self._due(at)
        story = self._stories.get(request)
        if story is None:
            return
        attempt = _Attempt(server, at)
        story.log.append(f"{at:9.4f} {server} takes attempt {len(story.attempts)}")
        told = self._told_since(story.balancer, server)
        if told is not None and at > told + self._grace + self._slack and not story.adopted:
            self._break("sent to a draining server", at, request, f"{server}, told {at - told:.3f} s before")
        self._check_repeat(at, request, story, server)
        for earlier in story.attempts:
            if earlier.ended is None and earlier.verdict not in ("BUSY", "ERR"):
                if self._slack:
                    self._watch.append((at + self._slack, request, earlier))
                else:
                    self._break("two attempts at once", at, request, f"{earlier.server} and {server}")
        story.attempts.append(attempt)

    def said(self, at: float, server: str, request: str, line: str) -> None:
        """A server has answered a first line."""
        word, _, receipt = line.partition(" ")
        if word == "UP":
            self._receipts.add(receipt)
        story, attempt = self._attempt(server, request)
        if story is not None and attempt is not None:
            attempt.verdict, attempt.receipt = word, receipt
            story.log.append(f"{at:9.4f} {server} says {line}")

    def dropped(self, at: float, server: str, request: str, by_server: bool) -> None:
        """The connection between balancer and server has ended, by whom."""
        story, attempt = self._attempt(server, request)
        if story is not None and attempt is not None:
            attempt.ended = at
            if by_server and attempt.verdict == "UP":
                attempt.verdict = "server ended"
            story.log.append(f"{at:9.4f} {server} {'ends it' if by_server else 'sees its end'}")
            if story.left:
                self._forget(request, story)

    def server_received_line(self, at: float, request: str, number: int) -> None:
        """A server has a client's line; they are numbered from 1."""
        story = self._stories.get(request)
        if story is not None:
            if number != story.got + 1:
                self._line(at, request, "server", number, story.got)
            story.got = number

    def client_received_answer(self, at: float, request: str, number: int) -> None:
        """A client has the answer to its line."""
        story = self._stories.get(request)
        if story is not None:
            if number != story.back + 1:
                self._line(at, request, "client", number, story.back)
            story.back = number

    def balancer_notified(self, at: float, balancer: str, server: str, state: str, born: float) -> None:
        """Discovery has written to a balancer what it knows of a server; `born`: 0 for long ago."""
        if state == "Ready":
            self._out.pop((balancer, server), None)
        else:
            self._out.setdefault((balancer, server), at)
        self._born[balancer, server] = born

    def asks(self, at: float, balancer: str, begins: bool) -> None:
        """A call or a watch of a balancer has come to discovery, or has ended (`begins` is false)."""
        if begins:
            self._unasked.pop(balancer, None)
        else:
            self._unasked.setdefault(balancer, at)

    def knows(self, at: float, server: str, state: str) -> None:
        """Discovery has come to know this of a server, whoever hears of it."""
        if state == "Ready":
            self._known_out.pop(server, None)
        else:
            self._known_out.setdefault(server, at)

    def server_started(self, at: float, server: str, born: float | None = None) -> None:
        """A server's process is there, cold; `born`: its start as discovery tells it."""
        self._started[server] = at if born is None else born

    def balancer_died(self, at: float, balancer: str, planned: bool = False) -> None:
        """A balancer's process has ended. Nothing that it held is excused if it was `planned`."""
        if not planned:
            self._died.setdefault(balancer, []).append(at)
        self._unasked.pop(balancer, None)
        for key in [each for each in self._out if each[0] == balancer]:
            del self._out[key]
        for key in [each for each in self._born if each[0] == balancer]:
            del self._born[key]

    def cold_server_fell(
        self, at: float, server: str, pushes: list[tuple[float, str, float]], most: float
    ) -> None:
        """A cold server was given more than the `most` that it bears.

        As with drains, what counts is what balancers were told: of n balancers, the k that were told of its
        start are to keep to k/n of `most`. One that falls by what the others sent is counted in `untold`."""
        started = self._started.get(server, -1.0)
        knew = {name for name in self._fleet if abs(self._born.get((name, server), 0.0) - started) < 0.001}
        by_them = 0.0
        for _at, request, load in pushes:
            story = self._stories.get(request)
            if story is None or story.balancer in knew:
                by_them += load
        if knew and by_them > most * len(knew) / len(self._fleet):
            text = f"{server}: {by_them:.0f} of {most:.0f} by {len(knew)} of {len(self._fleet)} that knew"
            self._break("cold server pushed over", at, pushes[-1][1], text)
        else:
            self.crashes_without_notice += 1

    def finish(self, at: float) -> list[Violation]:
        """The run is over; what is still owed by now is missing."""
        self._due(at)
        for each in self._overdue:
            self._never(*each)
        return self.violations

    def opened_at(self, request: str) -> float | None:
        """When a client has opened this connection, while its story is kept."""
        story = self._stories.get(request)
        return None if story is None else story.opened

    # What follows from it.

    def _told_since(self, balancer: str, server: str) -> float | None:
        """Since when the balancer counts as told that the server drains or is gone: written to it, or known
        to discovery while it has not asked for longer than it may."""
        told = self._out.get((balancer, server))
        unasked, known = self._unasked.get(balancer), self._known_out.get(server)
        if unasked is None or known is None:
            return told
        implied = max(known, unasked + self._ask_within)
        return implied if told is None else min(told, implied)

    def _attempt(self, server: str, request: str) -> tuple[_Story | None, _Attempt | None]:
        story = self._stories.get(request)
        if story is None:
            return None, None
        for attempt in reversed(story.attempts):
            if attempt.server == server and attempt.ended is None:
                return story, attempt
        return story, None

    def _check_repeat(self, at: float, request: str, story: _Story, server: str) -> None:
        kind = self._classes[story.kind]
        ran = [each for each in story.attempts if each.verdict != "BUSY"]
        if not ran or kind.repeat == "safe":
            return
        if kind.repeat == "unsafe":
            return self._break("unsafe repeated", at, request, f"{ran[0].server}, then {server}")
        first = ran[0]
        table = {"zone": self._zones, "cell": self._cells}.get(kind.scope)
        apart = table is not None and table[first.server] != table[server]
        if apart or at - first.took > kind.window_ms / 1000 + self._slack:
            self._break(
                "keyed repeated outside its group or window", at, request, f"{first.server}, then {server}"
            )

    def _harmless(self, story: _Story) -> bool:
        kind = self._classes[story.kind]
        if kind.repeat == "safe" or (kind.repeat == "keyed" and kind.scope == "all"):
            return True
        return all(each.verdict == "BUSY" for each in story.attempts)

    def _name(self, story: _Story) -> str:
        return self._classes[story.kind].name

    def _line(self, at: float, request: str, side: str, number: int, last: int) -> None:
        name = "line lost" if number > last else "line duplicated"
        self._break(name, at, request, f"the {side} got line {number} after {last}")

    def _was_down(self, story: _Story, at: float) -> bool:
        return any(story.opened <= died <= at + self._slack for died in self._died.get(story.balancer, ()))

    def _due(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            at, request = heapq.heappop(self._deadlines)
            story = self._stories.get(request)
            if story is not None and not (story.answer or story.left or self._was_down(story, at)):
                self._overdue.append((at + LATEST, request))
        while self._overdue and self._overdue[0][0] < now:
            self._never(*self._overdue.popleft())
        while self._watch and self._watch[0][0] < now:
            at, request, attempt = self._watch.pop(0)
            if attempt.ended is None or attempt.ended > at:
                self._break("two attempts at once", at, request, f"{attempt.server} was still out")

    def _never(self, at: float, request: str) -> None:
        """It was overdue, and whether it is late or missing is known now."""
        story = self._stories.get(request)
        if story is not None and not (story.answer or self._was_down(story, at)):
            self._break("never answered", at, request, "nothing by its deadline")

    def _break(self, name: str, at: float, request: str, text: str) -> None:
        story = self._stories.get(request)
        log = tuple(story.log) if story is not None else ()
        self.violations.append(Violation(name, VIOLATION_RULES[name], at, request, text, log))

    def _forget(self, request: str, story: _Story) -> None:
        """Once both sides have ended, nothing can break any more."""
        if story.left and all(each.ended is not None for each in story.attempts):
            for each in story.attempts:
                self._receipts.discard(each.receipt)
            del self._stories[request]
