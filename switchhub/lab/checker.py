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
HISTORY_MAX_ENTRIES = 40  # entries of a story
LATE_ANSWER_GRACE_S = (
    2.0  # seconds past its deadline in which an answer that is owed is still called late, not missing
)


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
    __slots__ = ("ended_at", "receipt", "received_at", "server", "verdict")

    def __init__(self, server: str, received_at: float) -> None:
        self.server, self.received_at = server, received_at
        self.verdict = ""
        self.receipt = ""
        self.ended_at: float | None = None


class _RequestHistory:
    __slots__ = (
        "adopted",
        "answer",
        "attempts",
        "balancer",
        "class_index",
        "closed",
        "deadline",
        "entries",
        "has_left",
        "last_answer_number",
        "last_line_number",
        "opened_at",
    )

    def __init__(self, balancer: str, class_index: int, opened_at: float, deadline: float) -> None:
        self.balancer, self.class_index, self.opened_at, self.deadline = (
            balancer,
            class_index,
            opened_at,
            deadline,
        )
        self.answer = ""
        self.attempts: list[_Attempt] = []
        self.last_line_number = self.last_answer_number = (
            0  # the last line that the server got, and that came back
        )
        self.has_left = self.closed = self.adopted = False
        self.entries: deque[str] = deque(maxlen=HISTORY_MAX_ENTRIES)


class Checker:
    """Told of everything, in order; `broken` holds what broke."""

    def __init__(
        self, scenario: Scenario, zones: dict[str, int], cells: dict[str, int], slack_s: float
    ) -> None:
        self._classes = scenario.classes
        self._zones, self._cells, self._slack_s = zones, cells, slack_s
        self._grace_s = scenario.grace_ms / 1000
        self._histories: dict[str, _RequestHistory] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._overdue: deque[tuple[float, str]] = deque()
        self._receipts: set[str] = set()
        self._withdrawn_at: dict[
            tuple[str, str], float
        ] = {}  # (balancer, server): told to drain or gone, since when
        self._death_times: dict[str, list[float]] = {}
        self._expected_ends: list[tuple[float, str, _Attempt]] = []  # attempts that must have ended by then
        self._balancer_names = scenario.balancer_names()
        self._watch_retry_s = scenario.discovery.ask_within_s
        self._unwatched_since: dict[str, float] = {}  # balancers that neither watch nor ask: since when
        self._known_withdrawn_at: dict[
            str, float
        ] = {}  # servers that discovery knows to drain or to be gone, since when
        self._notified_starts: dict[
            tuple[str, str], float
        ] = {}  # (balancer, server): when it last started, as told
        self._actual_starts: dict[str, float] = {}
        self.crashes_without_notice = (
            0  # servers that fell before those who sent there were told of their start
        )
        self.violations: list[Violation] = []
        self.request_count = 0

    # Whoever tells.

    def opened(self, at: float, request: str, balancer: str, class_index: int, wait_s: float) -> None:
        """A client has written its first line's last byte."""
        self._process_due(at)
        history = self._histories[request] = _RequestHistory(balancer, class_index, at, at + wait_s)
        history.entries.append(f"{at:9.4f} client opens at {balancer}, waits {wait_s * 1000:.0f} ms")
        heapq.heappush(self._deadlines, (at + wait_s + self._slack_s, request))
        self.request_count += 1

    def adopted(self, request: str, balancer: str, class_index: int, server: str) -> None:
        """A connection stood before the run."""
        history = self._histories[request] = _RequestHistory(balancer, class_index, 0.0, 0.0)
        history.adopted = True
        history.answer = "UP"
        history.attempts.append(_Attempt(server, 0.0))
        history.attempts[0].verdict = "UP"
        history.entries.append(f"{0.0:9.4f} stood at {server} through {balancer}")

    def answered(self, at: float, request: str, line: str) -> None:
        """A client has got a line that is an answer."""
        self._process_due(at)
        history = self._histories.get(request)
        if history is None:
            return
        history.entries.append(f"{at:9.4f} client hears {line}")
        if history.answer:
            return self._report("answered twice", at, request, f"{line!r} after {history.answer!r}")
        history.answer = line
        if at > history.deadline + self._slack_s:
            late_ms = (at - history.deadline) * 1000
            self._report("answered late", at, request, f"{line!r} {late_ms:.0f} ms after the deadline")
        first_word, _, argument = line.partition(" ")
        if first_word == "UP" and argument not in self._receipts:
            self._report("forged answer", at, request, f"no server gave {argument!r}")
        if first_word == "BUSY" and not self._refusal_is_safe(history):
            self._report("refused though it may have run", at, request, f"class {self._class_name(history)}")

    def left(self, at: float, request: str) -> None:
        """A client has ended its connection of its own accord."""
        history = self._histories.get(request)
        if history is not None:
            history.has_left = True
            history.entries.append(f"{at:9.4f} client leaves")
            self._drop_if_done(request, history)

    def moved(self, at: float, request: str) -> None:
        """A client was told to move."""
        history = self._histories.get(request)
        if history is not None:
            history.entries.append(f"{at:9.4f} client is moved")
            history.has_left = True
            self._drop_if_done(request, history)

    def ended(self, at: float, request: str) -> None:
        """A client's connection has ended, or broke, without its doing."""
        self._process_due(at)
        history = self._histories.get(request)
        if history is None or history.has_left:
            return
        history.entries.append(f"{at:9.4f} client's connection ends")
        if not history.answer:
            if not self._was_down(history, at):
                self._report("never answered", at, request, "the connection ended without an answer")
        elif history.answer.startswith("UP") and not self._was_down(history, at):
            last = history.attempts[-1] if history.attempts else None
            if last is not None and last.verdict == "UP":
                self._report("cut off", at, request, f"{last.server} had not ended it, and no MOVE came")
        history.has_left = True
        self._drop_if_done(request, history)

    def took(self, at: float, server: str, request: str) -> None:
        """A server has the last byte of a first line."""
        self._process_due(at)
        history = self._histories.get(request)
        if history is None:
            return
        attempt = _Attempt(server, at)
        history.entries.append(f"{at:9.4f} {server} takes attempt {len(history.attempts)}")
        notified_at = self._notified_since(history.balancer, server)
        if (
            notified_at is not None
            and at > notified_at + self._grace_s + self._slack_s
            and not history.adopted
        ):
            self._report(
                "sent to a draining server", at, request, f"{server}, told {at - notified_at:.3f} s before"
            )
        self._check_repeat(at, request, history, server)
        for earlier in history.attempts:
            if earlier.ended_at is None and earlier.verdict not in ("BUSY", "ERR"):
                if self._slack_s:
                    self._expected_ends.append((at + self._slack_s, request, earlier))
                else:
                    self._report("two attempts at once", at, request, f"{earlier.server} and {server}")
        history.attempts.append(attempt)

    def said(self, at: float, server: str, request: str, line: str) -> None:
        """A server has answered a first line."""
        first_word, _, receipt = line.partition(" ")
        if first_word == "UP":
            self._receipts.add(receipt)
        history, attempt = self._find_attempt(server, request)
        if history is not None and attempt is not None:
            attempt.verdict, attempt.receipt = first_word, receipt
            history.entries.append(f"{at:9.4f} {server} says {line}")

    def dropped(self, at: float, server: str, request: str, by_server: bool) -> None:
        """The connection between balancer and server has ended, by whom."""
        history, attempt = self._find_attempt(server, request)
        if history is not None and attempt is not None:
            attempt.ended_at = at
            if by_server and attempt.verdict == "UP":
                attempt.verdict = "server ended"
            history.entries.append(f"{at:9.4f} {server} {'ends it' if by_server else 'sees its end'}")
            if history.has_left:
                self._drop_if_done(request, history)

    def server_received_line(self, at: float, request: str, number: int) -> None:
        """A server has a client's line; they are numbered from 1."""
        history = self._histories.get(request)
        if history is not None:
            if number != history.last_line_number + 1:
                self._report_line(at, request, "server", number, history.last_line_number)
            history.last_line_number = number

    def client_received_answer(self, at: float, request: str, number: int) -> None:
        """A client has the answer to its line."""
        history = self._histories.get(request)
        if history is not None:
            if number != history.last_answer_number + 1:
                self._report_line(at, request, "client", number, history.last_answer_number)
            history.last_answer_number = number

    def balancer_notified(self, at: float, balancer: str, server: str, state: str, started_at: float) -> None:
        """Discovery has written to a balancer what it knows of a server; `born`: 0 for long ago."""
        if state == "Ready":
            self._withdrawn_at.pop((balancer, server), None)
        else:
            self._withdrawn_at.setdefault((balancer, server), at)
        self._notified_starts[balancer, server] = started_at

    def asks(self, at: float, balancer: str, begins: bool) -> None:
        """A call or a watch of a balancer has come to discovery, or has ended (`begins` is false)."""
        if begins:
            self._unwatched_since.pop(balancer, None)
        else:
            self._unwatched_since.setdefault(balancer, at)

    def knows(self, at: float, server: str, state: str) -> None:
        """Discovery has come to know this of a server, whoever hears of it."""
        if state == "Ready":
            self._known_withdrawn_at.pop(server, None)
        else:
            self._known_withdrawn_at.setdefault(server, at)

    def server_started(self, at: float, server: str, started_at: float | None = None) -> None:
        """A server's process is there, cold; `born`: its start as discovery tells it."""
        self._actual_starts[server] = at if started_at is None else started_at

    def balancer_died(self, at: float, balancer: str, planned: bool = False) -> None:
        """A balancer's process has ended. Nothing that it held is excused if it was `planned`."""
        if not planned:
            self._death_times.setdefault(balancer, []).append(at)
        self._unwatched_since.pop(balancer, None)
        for key in [each for each in self._withdrawn_at if each[0] == balancer]:
            del self._withdrawn_at[key]
        for key in [each for each in self._notified_starts if each[0] == balancer]:
            del self._notified_starts[key]

    def cold_server_fell(
        self, at: float, server: str, setups: list[tuple[float, str, float]], budget: float
    ) -> None:
        """A cold server was given more than the `most` that it bears.

        As with drains, what counts is what balancers were told: of n balancers, the k that were told of its
        start are to keep to k/n of `most`. One that falls by what the others sent is counted in `untold`."""
        started = self._actual_starts.get(server, -1.0)
        notified = {
            name
            for name in self._balancer_names
            if abs(self._notified_starts.get((name, server), 0.0) - started) < 0.001
        }
        notified_load = 0.0
        for _at, request, load in setups:
            history = self._histories.get(request)
            if history is None or history.balancer in notified:
                notified_load += load
        if notified and notified_load > budget * len(notified) / len(self._balancer_names):
            text = (
                f"{server}: {notified_load:.0f} of {budget:.0f} "
                f"by {len(notified)} of {len(self._balancer_names)} that knew"
            )
            self._report("cold server pushed over", at, setups[-1][1], text)
        else:
            self.crashes_without_notice += 1

    def finish(self, at: float) -> list[Violation]:
        """The run is over; what is still owed by now is missing."""
        self._process_due(at)
        for each in self._overdue:
            self._report_unanswered(*each)
        return self.violations

    def opened_at(self, request: str) -> float | None:
        """When a client has opened this connection, while its story is kept."""
        history = self._histories.get(request)
        return None if history is None else history.opened_at

    # What follows from it.

    def _notified_since(self, balancer: str, server: str) -> float | None:
        """Since when the balancer counts as told that the server drains or is gone: written to it, or known
        to discovery while it has not asked for longer than it may."""
        told = self._withdrawn_at.get((balancer, server))
        unasked, known = self._unwatched_since.get(balancer), self._known_withdrawn_at.get(server)
        if unasked is None or known is None:
            return told
        implied = max(known, unasked + self._watch_retry_s)
        return implied if told is None else min(told, implied)

    def _find_attempt(self, server: str, request: str) -> tuple[_RequestHistory | None, _Attempt | None]:
        history = self._histories.get(request)
        if history is None:
            return None, None
        for attempt in reversed(history.attempts):
            if attempt.server == server and attempt.ended_at is None:
                return history, attempt
        return history, None

    def _check_repeat(self, at: float, request: str, history: _RequestHistory, server: str) -> None:
        request_class = self._classes[history.class_index]
        may_have_run = [each for each in history.attempts if each.verdict != "BUSY"]
        if not may_have_run or request_class.repeat == "safe":
            return
        if request_class.repeat == "unsafe":
            return self._report("unsafe repeated", at, request, f"{may_have_run[0].server}, then {server}")
        first = may_have_run[0]
        group_by_server = {"zone": self._zones, "cell": self._cells}.get(request_class.scope)
        is_outside = group_by_server is not None and group_by_server[first.server] != group_by_server[server]
        if is_outside or at - first.received_at > request_class.window_ms / 1000 + self._slack_s:
            self._report(
                "keyed repeated outside its group or window", at, request, f"{first.server}, then {server}"
            )

    def _refusal_is_safe(self, history: _RequestHistory) -> bool:
        request_class = self._classes[history.class_index]
        if request_class.repeat == "safe" or (
            request_class.repeat == "keyed" and request_class.scope == "all"
        ):
            return True
        return all(each.verdict == "BUSY" for each in history.attempts)

    def _class_name(self, history: _RequestHistory) -> str:
        return self._classes[history.class_index].name

    def _report_line(self, at: float, request: str, side: str, number: int, previous: int) -> None:
        name = "line lost" if number > previous else "line duplicated"
        self._report(name, at, request, f"the {side} got line {number} after {previous}")

    def _was_down(self, history: _RequestHistory, at: float) -> bool:
        return any(
            history.opened_at <= died <= at + self._slack_s
            for died in self._death_times.get(history.balancer, ())
        )

    def _process_due(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            at, request = heapq.heappop(self._deadlines)
            history = self._histories.get(request)
            if history is not None and not (
                history.answer or history.has_left or self._was_down(history, at)
            ):
                self._overdue.append((at + LATE_ANSWER_GRACE_S, request))
        while self._overdue and self._overdue[0][0] < now:
            self._report_unanswered(*self._overdue.popleft())
        while self._expected_ends and self._expected_ends[0][0] < now:
            at, request, attempt = self._expected_ends.pop(0)
            if attempt.ended_at is None or attempt.ended_at > at:
                self._report("two attempts at once", at, request, f"{attempt.server} was still out")

    def _report_unanswered(self, at: float, request: str) -> None:
        """It was overdue, and whether it is late or missing is known now."""
        history = self._histories.get(request)
        if history is not None and not (history.answer or self._was_down(history, at)):
            self._report("never answered", at, request, "nothing by its deadline")

    def _report(self, name: str, at: float, request: str, text: str) -> None:
        history = self._histories.get(request)
        entries = tuple(history.entries) if history is not None else ()
        self.violations.append(Violation(name, VIOLATION_RULES[name], at, request, text, entries))

    def _drop_if_done(self, request: str, history: _RequestHistory) -> None:
        """Once both sides have ended, nothing can break any more."""
        if history.has_left and all(each.ended_at is not None for each in history.attempts):
            for each in history.attempts:
                self._receipts.discard(each.receipt)
            del self._histories[request]
