"""Checks that balancers keep the four rules, from what clients, servers and discovery observe.

The checker keeps the history of each connection, as seen from both sides. It uses no report of a balancer,
and it reports a violation even if no cause for it is known. Times are in seconds; both engines report events
in the order of time.

`VIOLATION_RULES` lists the kinds of violation. A connection's history is dropped once both sides have ended
it, because nothing can violate a rule after that.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import NamedTuple

from switchhub.lab.scenario import Scenario

# Name of a violation: the number of the rule that it violates.
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
HISTORY_MAX_ENTRIES = 40  # of one connection; older entries are dropped
LATE_ANSWER_GRACE_S = 2.0  # an answer this long past its deadline counts as late, afterwards as missing


class Violation(NamedTuple):
    """One violation of a rule: when, by which request, and the history of that request."""

    name: str
    rule: int
    at: float
    request: str
    text: str
    history: tuple[str, ...]

    def lines(self) -> list[str]:
        """Lines for the terminal: the violation, then the history of both sides in order."""
        head = f"rule {self.rule} broken at {self.at:.4f} s: {self.name}: {self.text}"
        return [head, *(f"    {each}" for each in self.history)]


class _Attempt:
    """An attempt to set a connection up at a server, or the connection that came of it."""

    __slots__ = ("ended_at", "receipt", "received_at", "server", "verdict")

    def __init__(self, server: str, received_at: float) -> None:
        self.server, self.received_at = server, received_at
        self.verdict = ""
        self.receipt = ""
        self.ended_at: float | None = None


class _RequestHistory:
    """What both sides observed of one request and its connection."""

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
        self.last_line_number = self.last_answer_number = 0  # received by the server; by the client
        self.has_left = self.closed = self.adopted = False
        self.entries: deque[str] = deque(maxlen=HISTORY_MAX_ENTRIES)


class Checker:
    """Receives all events in the order of time, and collects `violations`.

    `zones` and `cells` give each server's zone and cell. `slack_s` is added to deadlines, because observed
    times are not exact on real sockets; it is 0 in virtual time.

    A live run's record files name their events after the methods `opened`, `adopted`, `answered`, `left`,
    `moved`, `ended`, `took`, `said`, `dropped`, `asks` and `knows`, so these names must not change.
    """

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
        # (balancer, server): since when the balancer has been notified that the server drains or is gone
        self._withdrawn_at: dict[tuple[str, str], float] = {}
        self._death_times: dict[str, list[float]] = {}
        self._expected_ends: list[tuple[float, str, _Attempt]] = []  # (latest end, request, attempt)
        self._balancer_names = scenario.balancer_names()
        self._watch_retry_s = scenario.discovery.ask_within_s
        self._unwatched_since: dict[str, float] = {}  # balancer: since when it has no watch
        # server: since when discovery knows that it drains or is gone
        self._known_withdrawn_at: dict[str, float] = {}
        # (balancer, server): the server's latest start, as published to the balancer
        self._notified_starts: dict[tuple[str, str], float] = {}
        self._actual_starts: dict[str, float] = {}
        # servers that crashed cold before the balancers that sent to them were notified of their start
        self.crashes_without_notice = 0
        self.violations: list[Violation] = []
        self.request_count = 0

    # Events

    def opened(self, at: float, request: str, balancer: str, class_index: int, wait_s: float) -> None:
        """A client has sent its first line completely, and waits `wait_s` for the answer."""
        self._process_due(at)
        history = self._histories[request] = _RequestHistory(balancer, class_index, at, at + wait_s)
        history.entries.append(f"{at:9.4f} client opens at {balancer}, waits {wait_s * 1000:.0f} ms")
        heapq.heappush(self._deadlines, (at + wait_s + self._slack_s, request))
        self.request_count += 1

    def adopted(self, request: str, balancer: str, class_index: int, server: str) -> None:
        """A connection was established before the run."""
        history = self._histories[request] = _RequestHistory(balancer, class_index, 0.0, 0.0)
        history.adopted = True
        history.answer = "UP"
        history.attempts.append(_Attempt(server, 0.0))
        history.attempts[0].verdict = "UP"
        history.entries.append(f"{0.0:9.4f} stood at {server} through {balancer}")

    def answered(self, at: float, request: str, line: str) -> None:
        """A client has received a final answer."""
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
        """A client has closed its connection on its own initiative."""
        history = self._histories.get(request)
        if history is not None:
            history.has_left = True
            history.entries.append(f"{at:9.4f} client leaves")
            self._drop_if_done(request, history)

    def moved(self, at: float, request: str) -> None:
        """A client has received `MOVE`."""
        history = self._histories.get(request)
        if history is not None:
            history.entries.append(f"{at:9.4f} client is moved")
            history.has_left = True
            self._drop_if_done(request, history)

    def ended(self, at: float, request: str) -> None:
        """A client's connection was closed or reset by the other side."""
        self._process_due(at)
        history = self._histories.get(request)
        if history is None or history.has_left:
            return
        history.entries.append(f"{at:9.4f} client's connection ends")
        if not history.answer:
            if not self._was_down(history, at):
                self._report("never answered", at, request, "the connection ended without an answer")
        elif history.answer.startswith("UP") and not self._was_down(history, at):
            last_attempt = history.attempts[-1] if history.attempts else None
            if last_attempt is not None and last_attempt.verdict == "UP":
                self._report(
                    "cut off", at, request, f"{last_attempt.server} had not ended it, and no MOVE came"
                )
        history.has_left = True
        self._drop_if_done(request, history)

    def took(self, at: float, server: str, request: str) -> None:
        """A server has received a first line completely."""
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
        for earlier_attempt in history.attempts:
            if earlier_attempt.ended_at is None and earlier_attempt.verdict not in ("BUSY", "ERR"):
                if self._slack_s:
                    self._expected_ends.append((at + self._slack_s, request, earlier_attempt))
                else:
                    self._report(
                        "two attempts at once", at, request, f"{earlier_attempt.server} and {server}"
                    )
        history.attempts.append(attempt)

    def said(self, at: float, server: str, request: str, line: str) -> None:
        """A server has replied to a first line."""
        first_word, _, receipt = line.partition(" ")
        if first_word == "UP":
            self._receipts.add(receipt)
        history, attempt = self._find_attempt(server, request)
        if history is not None and attempt is not None:
            attempt.verdict, attempt.receipt = first_word, receipt
            history.entries.append(f"{at:9.4f} {server} says {line}")

    def dropped(self, at: float, server: str, request: str, by_server: bool) -> None:
        """The connection between balancer and server has ended, closed by the server or by the balancer."""
        history, attempt = self._find_attempt(server, request)
        if history is not None and attempt is not None:
            attempt.ended_at = at
            if by_server and attempt.verdict == "UP":
                attempt.verdict = "server ended"
            history.entries.append(f"{at:9.4f} {server} {'ends it' if by_server else 'sees its end'}")
            if history.has_left:
                self._drop_if_done(request, history)

    def server_received_line(self, at: float, request: str, number: int) -> None:
        """A server has received a client's line; lines are numbered from 1."""
        history = self._histories.get(request)
        if history is not None:
            if number != history.last_line_number + 1:
                self._report_line(at, request, "server", number, history.last_line_number)
            history.last_line_number = number

    def client_received_answer(self, at: float, request: str, number: int) -> None:
        """A client has received the answer to a line."""
        history = self._histories.get(request)
        if history is not None:
            if number != history.last_answer_number + 1:
                self._report_line(at, request, "client", number, history.last_answer_number)
            history.last_answer_number = number

    def balancer_notified(self, at: float, balancer: str, server: str, state: str, started_at: float) -> None:
        """Discovery has sent a server's state to a balancer; `started_at` is 0 if from before the run."""
        if state == "Ready":
            self._withdrawn_at.pop((balancer, server), None)
        else:
            self._withdrawn_at.setdefault((balancer, server), at)
        self._notified_starts[balancer, server] = started_at

    def asks(self, at: float, balancer: str, begins: bool) -> None:
        """A balancer's call to discovery or its watch has begun, or has ended (`begins` is false)."""
        if begins:
            self._unwatched_since.pop(balancer, None)
        else:
            self._unwatched_since.setdefault(balancer, at)

    def knows(self, at: float, server: str, state: str) -> None:
        """Discovery has learned a server's state, whether or not it notifies anyone."""
        if state == "Ready":
            self._known_withdrawn_at.pop(server, None)
        else:
            self._known_withdrawn_at.setdefault(server, at)

    def server_started(self, at: float, server: str, started_at: float | None = None) -> None:
        """A server has started and is cold; `started_at` is the start that discovery publishes."""
        self._actual_starts[server] = at if started_at is None else started_at

    def balancer_died(self, at: float, balancer: str, planned: bool = False) -> None:
        """A balancer's process has ended; a `planned` end does not excuse what its connections miss."""
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
        """A cold server crashed because its set-ups exceeded its budget.

        As with drains, only what balancers were notified of counts: of n balancers, the k that were notified
        of the server's start must keep to k/n of the budget. If they did, the crash was caused by the others
        and is counted in `crashes_without_notice`.

        `setups` are rows of a time, a connection and its load.
        """
        started_at = self._actual_starts.get(server, -1.0)
        notified = {
            name
            for name in self._balancer_names
            if abs(self._notified_starts.get((name, server), 0.0) - started_at) < 0.001
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
        """End the check: answers still due at `at` count as missing. Returns the violations."""
        self._process_due(at)
        for each in self._overdue:
            self._report_unanswered(*each)
        return self.violations

    def opened_at(self, request: str) -> float | None:
        """When a client opened the connection; none if its history has been dropped."""
        history = self._histories.get(request)
        return None if history is None else history.opened_at

    # Rules

    def _notified_since(self, balancer: str, server: str) -> float | None:
        """Since when the balancer counts as notified that the server drains or is gone; none if it does not.

        It counts as notified once discovery has sent it the state, and also once discovery knows the state
        while the balancer has gone without a watch for longer than it may.
        """
        notified_at = self._withdrawn_at.get((balancer, server))
        unwatched_since, known_since = (
            self._unwatched_since.get(balancer),
            self._known_withdrawn_at.get(server),
        )
        if unwatched_since is None or known_since is None:
            return notified_at
        implied = max(known_since, unwatched_since + self._watch_retry_s)
        return implied if notified_at is None else min(notified_at, implied)

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
        first_attempt = may_have_run[0]
        group_by_server = {"zone": self._zones, "cell": self._cells}.get(request_class.scope)
        is_outside = (
            group_by_server is not None and group_by_server[first_attempt.server] != group_by_server[server]
        )
        if is_outside or at - first_attempt.received_at > request_class.window_ms / 1000 + self._slack_s:
            self._report(
                "keyed repeated outside its group or window",
                at,
                request,
                f"{first_attempt.server}, then {server}",
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
            history.opened_at <= died_at <= at + self._slack_s
            for died_at in self._death_times.get(history.balancer, ())
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
        """Report an overdue answer as missing, unless it came late or its balancer died."""
        history = self._histories.get(request)
        if history is not None and not (history.answer or self._was_down(history, at)):
            self._report("never answered", at, request, "nothing by its deadline")

    def _report(self, name: str, at: float, request: str, text: str) -> None:
        history = self._histories.get(request)
        entries = tuple(history.entries) if history is not None else ()
        self.violations.append(Violation(name, VIOLATION_RULES[name], at, request, text, entries))

    def _drop_if_done(self, request: str, history: _RequestHistory) -> None:
        """Drop the history once both sides have ended the connection."""
        if history.has_left and all(each.ended_at is not None for each in history.attempts):
            for each in history.attempts:
                self._receipts.discard(each.receipt)
            del self._histories[request]
