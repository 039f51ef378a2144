"""What passing lines tell of each server: how long it has been silent, and how long messages take there.

Owns: per server, when it answered last and when it told of its delay last. Must never: decide what follows;
it measures.

Two measures of delay. The answer to a line counts as it is, unless the server tells its delay itself. Some
do, in the very form of a load: once a second, on one connection of each balancer, `LOAD X` holds the
milliseconds that a message takes now, while that is long and once more when it no longer is. `LoadLines`
tells the two apart. A delay grows with what piles up, so from one telling to the next it can't grow by much
more than the time between them; a small figure over that is a load.
"""

from __future__ import annotations

from collections import deque

SILENT_SUM, SILENT_LEAST = 3000.0, 1000.0  # milliseconds, over all lines that wait, and of the silence itself
EVERY, OFF = 1000.0, 40.0  # milliseconds between two delays that a server tells, give or take
NEVER = 1e15
MISSED = 3  # tellings after the last that was read, up to which another is waited for
TELLS = 1500.0  # milliseconds after a told delay in which answered lines say nothing new
GROWTH = 1.5 * EVERY  # by how much a delay grows at most between two tellings: half as much again piles up
CLOSE, HALF = 20.0, 0.5  # the same for two on different connections, and the part of their usual loads
SMALL = 0.2  # part of a connection's usual load under which a told one is suspicious
TINY = 0.02  # and under which it hardly ever is one


class _Line:
    __slots__ = ("at", "before", "delay", "run", "value")

    def __init__(self, at: float, value: float, before: float) -> None:
        self.at, self.value, self.before = at, value, before
        self.delay = False
        self.run = 0  # lines before it, each a second after another


class LoadLines:
    """One connection's `LOAD` lines. A line may turn out to have been a delay when the next one comes."""

    __slots__ = ("_recent", "_usual", "load")

    def __init__(self, usual: float) -> None:
        self.load = self._usual = usual
        self._recent: deque[_Line] = deque(maxlen=4)

    @property
    def usual(self) -> float:
        """The connection's load as it was guessed."""
        return self._usual

    def is_delay(self, value: float, now: float, due: bool, most: float = GROWTH) -> bool:
        """Whether this is a delay; `load` is the connection's load as now known. `due`: its server, which has
        told before, tells now; `most`: how long a delay may have become there.

        One that is due and not too long is a delay, and so is one far too small for a load. Else one comes a
        second after another; that alone may be chance, so the two must also be equal, or both far under the
        usual load, or the third in a row."""
        line = _Line(now, value, self.load)
        small = value <= min(most, SMALL * self._usual)
        line.delay = value <= most and (due or value <= TINY * self._usual)
        for earlier in self._recent:
            if abs(now - earlier.at - EVERY) <= OFF:
                line.run = max(line.run, earlier.run + 1)
                both_small = small and earlier.value <= SMALL * self._usual
                if earlier.delay or earlier.value == value or both_small or line.run >= 2:
                    line.delay = True
                    if not earlier.delay:
                        earlier.delay = True
                        if self.load == earlier.value:
                            self.load = earlier.before
        self._recent.append(line)
        if not line.delay:
            self.load = value
            self._usual = self._usual or value  # without a hint, the first load told
        return line.delay


class _Seen:
    __slots__ = ("answered", "delay", "silent", "small", "told")

    def __init__(self, now: float) -> None:
        self.answered, self.silent = now, False
        self.small: deque[float] = deque(maxlen=8)  # when it sent lines lately that may be delays
        self.told, self.delay = -NEVER, 0.0


class ServerHealth:
    """The measurements of one balancer. Times are milliseconds."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def record_answer(self, server: str, now: float) -> None:
        """The server has answered something; loads that it tells are no answers."""
        seen = self._get(server, now)
        seen.answered, seen.silent = now, False

    def is_silent(self, server: str, waiting: int, longest: float, now: float) -> bool:
        """Whether a server says nothing: so many lines wait for it, one of them for so long."""
        seen = self._get(server, now - longest)
        if not seen.silent:
            silence = min(longest, now - seen.answered)
            seen.silent = silence >= max(SILENT_LEAST, SILENT_SUM / max(1, waiting))
        return seen.silent

    def begins(self, server: str, now: float, value: float, usual: float) -> bool:
        """Whether a row of tellings has begun there: two that may be delays, a second apart, on whichever
        connections. The first of them is missed."""
        if value > min(GROWTH, HALF * usual):
            return False
        small = self._get(server, now).small
        begins = any(abs(now - at - EVERY) <= CLOSE for at in small)
        small.append(now)
        return begins

    def told(self, server: str, now: float, delay: float) -> None:
        """The server has told its delay."""
        seen = self._get(server, now)
        seen.told, seen.delay = now, delay

    def most(self, server: str, now: float) -> float:
        """How long a delay the server may tell now, by what it told last."""
        seen = self._get(server, now)
        tellings = round((now - seen.told) / EVERY)
        return seen.delay + GROWTH * max(1, tellings) if tellings <= MISSED else GROWTH

    def due(self, server: str, now: float) -> bool:
        """Whether a telling of the server is due now, the next or one after some that were missed."""
        since = now - self._get(server, now).told
        tellings = round(since / EVERY)
        return 1 <= tellings <= MISSED and abs(since - tellings * EVERY) <= OFF

    def tells(self, server: str, now: float) -> bool:
        """Whether the server tells its delay itself at present."""
        return now - self._get(server, now).told < TELLS

    def _get(self, server: str, now: float) -> _Seen:
        seen = self._seen.get(server)
        if seen is None:
            seen = self._seen[server] = _Seen(now)
        return seen
