"""Measures each server from the lines that are relayed: how long it has been silent, and its message delay.

Keeps, for each server, when it last answered and when it last reported its delay. It measures only; what
follows from a measurement is decided elsewhere.

There are two sources of delay. The time until a line is answered counts as the delay, unless the server
reports its delay itself. Some servers do so in the form of a load: once a second, on one connection of each
balancer, `LOAD X` holds the milliseconds that a message takes at present, while that is long, and once more
when it no longer is. `LoadLineClassifier` tells loads from delays. A delay grows as work piles up, so between
two reports it cannot grow by much more than the time between them; a value that grows faster is a load.
"""

from __future__ import annotations

from collections import deque

# A server counts as silent once the time for which it has answered nothing although lines wait reaches the
# second value, and that time multiplied by the number of waiting lines reaches the first.
SILENCE_TOTAL_MS = 3000.0
SILENCE_MIN_MS = 1000.0
REPORT_INTERVAL_MS = 1000.0  # time between two delay reports of a server
REPORT_TOLERANCE_MS = 40.0  # deviation from that interval that still counts as on time
NEVER = 1e15  # milliseconds before the epoch, as the time of an event that has not happened
MAX_MISSED_REPORTS = 3  # report intervals without a report after which no further report is expected
REPORTING_WINDOW_MS = 1500.0  # time after a delay report in which answered lines are not used as delays
# Most that a delay grows between two reports: work piles up at up to one and a half times real time.
MAX_DELAY_GROWTH_MS = 1.5 * REPORT_INTERVAL_MS
# Stricter limits for the first two reports of a server if they came on different connections: the deviation
# from the report interval, and the largest value as a fraction of the connection's expected load.
CROSS_CONNECTION_TOLERANCE_MS = 20.0
CROSS_CONNECTION_LOAD_FRACTION = 0.5
SMALL_LOAD_FRACTION = 0.2  # part of a connection's expected load below which a value may be a delay
TINY_LOAD_FRACTION = 0.02  # part below which a value is hardly ever a load


class _LoadLine:
    __slots__ = ("is_delay", "load_before", "received_at", "streak", "value")

    def __init__(self, received_at: float, value: float, load_before: float) -> None:
        self.received_at, self.value, self.load_before = received_at, value, load_before
        self.is_delay = False
        self.streak = 0  # preceding lines that came one report interval apart


class LoadLineClassifier:
    """Classifies one connection's `LOAD` lines as loads or delays.

    A line may turn out to have been a delay only when the next one comes; `load` is then corrected."""

    __slots__ = ("_expected_load", "_recent", "load")

    def __init__(self, expected_load: float) -> None:
        self.load = self._expected_load = expected_load
        self._recent: deque[_LoadLine] = deque(maxlen=4)

    @property
    def expected_load(self) -> float:
        """The connection's expected load: its hint, or else the first load that was reported."""
        return self._expected_load

    def is_delay(
        self, value: float, now: float, delay_due: bool, max_delay: float = MAX_DELAY_GROWTH_MS
    ) -> bool:
        """Whether this value is a delay rather than a load; updates `load`, the connection's last known load.

        `delay_due`: the server has reported its delay before and its next report is due now. `max_delay`: the
        longest delay in milliseconds that the server can have reached.

        A value up to `max_delay` is a delay if a report is due, or if it is far too small for a load. Other
        values are delays if they come one report interval after another value. As that may be chance, the
        two must also be equal, or both far below the expected load, or this must be the third in a row."""
        line = _LoadLine(now, value, self.load)
        is_small = value <= min(max_delay, SMALL_LOAD_FRACTION * self._expected_load)
        line.is_delay = value <= max_delay and (
            delay_due or value <= TINY_LOAD_FRACTION * self._expected_load
        )
        for earlier in self._recent:
            if abs(now - earlier.received_at - REPORT_INTERVAL_MS) <= REPORT_TOLERANCE_MS:
                line.streak = max(line.streak, earlier.streak + 1)
                both_are_small = is_small and earlier.value <= SMALL_LOAD_FRACTION * self._expected_load
                if earlier.is_delay or earlier.value == value or both_are_small or line.streak >= 2:
                    line.is_delay = True
                    if not earlier.is_delay:
                        earlier.is_delay = True
                        if self.load == earlier.value:
                            self.load = earlier.load_before
        self._recent.append(line)
        if not line.is_delay:
            self.load = value
            self._expected_load = self._expected_load or value  # without a hint: the first load reported
        return line.is_delay


class _ServerRecord:
    __slots__ = ("answered_at", "delay_reported_at", "last_delay", "silent", "small_values_at")

    def __init__(self, now: float) -> None:
        self.answered_at, self.silent = now, False
        self.small_values_at: deque[float] = deque(maxlen=8)  # arrival of recent values that may be delays
        self.delay_reported_at, self.last_delay = -NEVER, 0.0


class ServerHealth:
    """The measurements of one balancer for all servers. Times are in milliseconds."""

    def __init__(self) -> None:
        self._servers: dict[str, _ServerRecord] = {}

    def record_answer(self, server: str, now: float) -> None:
        """Record that the server answered something; load reports do not count as answers."""
        record = self._record(server, now)
        record.answered_at, record.silent = now, False

    def is_silent(self, server: str, waiting_lines: int, longest_wait: float, now: float) -> bool:
        """Whether the server is silent; `longest_wait` is how long the oldest unanswered line has waited."""
        record = self._record(server, now - longest_wait)
        if not record.silent:
            silence = min(longest_wait, now - record.answered_at)
            record.silent = silence >= max(SILENCE_MIN_MS, SILENCE_TOTAL_MS / max(1, waiting_lines))
        return record.silent

    def starts_delay_series(self, server: str, now: float, value: float, expected_load: float) -> bool:
        """Whether this value starts a series of delay reports.

        It does if an earlier value that may also be a delay came one report interval before, on any of the
        server's connections. That earlier value has already been counted as a load."""
        if value > min(MAX_DELAY_GROWTH_MS, CROSS_CONNECTION_LOAD_FRACTION * expected_load):
            return False
        small_values_at = self._record(server, now).small_values_at
        starts_series = any(
            abs(now - at - REPORT_INTERVAL_MS) <= CROSS_CONNECTION_TOLERANCE_MS for at in small_values_at
        )
        small_values_at.append(now)
        return starts_series

    def record_delay(self, server: str, now: float, delay: float) -> None:
        """Record a delay that the server reported itself."""
        record = self._record(server, now)
        record.delay_reported_at, record.last_delay = now, delay

    def max_delay(self, server: str, now: float) -> float:
        """Return the longest delay that the server can have reached since its last report."""
        record = self._record(server, now)
        intervals = round((now - record.delay_reported_at) / REPORT_INTERVAL_MS)
        return (
            record.last_delay + MAX_DELAY_GROWTH_MS * max(1, intervals)
            if intervals <= MAX_MISSED_REPORTS
            else MAX_DELAY_GROWTH_MS
        )

    def is_delay_due(self, server: str, now: float) -> bool:
        """Whether a delay report is due now: the next one, or a later one after some that were missed."""
        elapsed = now - self._record(server, now).delay_reported_at
        intervals = round(elapsed / REPORT_INTERVAL_MS)
        return (
            1 <= intervals <= MAX_MISSED_REPORTS
            and abs(elapsed - intervals * REPORT_INTERVAL_MS) <= REPORT_TOLERANCE_MS
        )

    def reports_delay(self, server: str, now: float) -> bool:
        """Whether the server reports its delay itself at present."""
        return now - self._record(server, now).delay_reported_at < REPORTING_WINDOW_MS

    def _record(self, server: str, now: float) -> _ServerRecord:
        record = self._servers.get(server)
        if record is None:
            record = self._servers[server] = _ServerRecord(now)
        return record
