"""Which of two processes of one balancer may accept: an older one, and a newer one that took over from it.

Owns: one side's knowledge of the right: its generation, who holds it, whether the other is heard. Must never:
do I/O, read a clock, or rest on when a message comes: the channel keeps order and loses nothing while both
live.

The newer one holds the right while it is heard. Whoever is silent for `SILENT` loses it to the other, who
raises the generation and says so; the older one alone gives it back, after a rest. A word of a lower
generation is void; of two claims to one generation the newer process's stands.

    the right    generation, whether the newer one holds it        whoever raises it -> the other
    a beat       the generation known, whether its sender accepts in it, how long its main loop has stood
                 still, whether it is about to end                  both, all along

Both may accept for a moment: it is one queue, and the kernel gives each client to one of them. Nobody may for
long: so the one that gave the right away accepts until the other says that it does.

Times are seconds of a clock that only rises and that both processes share (CLOCK_MONOTONIC of one machine).
Generations are at least its milliseconds, so that one taken without asking is higher than those before; no
decision compares them with the time.
"""

from __future__ import annotations

from typing import NamedTuple

BEAT = 0.05  # seconds between two beats
SILENT = 0.3  # seconds without a beat after which a process is taken for stalled
STUCK = 1.0  # seconds that the main loop of a process that beats may stand still, or that it may be full
LATE = 0.1  # seconds between two looks of one's own beyond which what came is read before anything else
REST, REST_MAX = 0.5, 8.0  # seconds that one who stalled is heard before it holds again, doubled each time
LOST = 10.0  # seconds of silence after which what a process holds counts for nothing: nobody waits for it


class Right(NamedTuple):
    """Who holds it from now on."""

    generation: int
    newer: bool


class Beat(NamedTuple):
    """Sign of life."""

    generation: int
    accepts: bool
    stood: float  # seconds that the main loop has stood still, or has been without descriptors
    leaves: bool  # told to end


class Watch:
    """Whether the other process is heard."""

    def __init__(self, now: float) -> None:
        self._turned = self.heard = now
        self.stood = 0.0

    def turn(self, now: float) -> float:
        """We look; the seconds since the last time."""
        gap, self._turned = now - self._turned, now
        return gap

    def hear(self, now: float, stood: float) -> None:
        """It beats."""
        self.heard, self.stood = now, stood

    def silent(self, now: float) -> float:
        """Seconds since it was heard."""
        return now - self.heard

    def stalled(self, now: float) -> bool:
        """Whether it is taken for stalled."""
        return self.silent(now) >= SILENT or self.stood >= STUCK


class Side:
    """One process's side of a pair."""

    def __init__(self, now: float, newer: bool) -> None:
        self.newer = newer  # whether we are the newer one
        self.generation = 0
        self.newer_holds = False
        self.watch = Watch(now)
        self.stalls = 0  # of the other, while it held the right
        self.leaves = False  # we are told to end
        self._seen = False  # the other accepts in this generation
        self._steady = now  # since when the other is heard
        self._blind = False  # we stood still and have not read what came meanwhile
        self._other_leaves = False

    @property
    def holds(self) -> bool:
        """Whether the right is ours."""
        return self.newer_holds is self.newer

    @property
    def accepts(self) -> bool:
        """Whether we accept, as far as this pair goes."""
        return not self._blind and (self.holds or not self._seen)

    def beat(self, ready: bool, stood: float) -> Beat:
        """What we say of ourselves. Who gave the right on to one who is newer still says that it accepts."""
        return Beat(self.generation, ready and self.accepts, stood, self.leaves)

    def take(self, now: float, above: int) -> Right:
        """The newer one takes over, knowing the older one's generation if it could be asked."""
        self.generation = above
        return self._raise(now, True)

    def hear_right(self, now: float, told: Right) -> None:
        """The other says who holds it.

        Danger: one who was stopped hears old words after new deeds; a lower generation is void."""
        tie = told.generation == self.generation and told.newer and not self.newer_holds
        if told.generation > self.generation or tie:
            self.generation, self.newer_holds, self._seen = told.generation, told.newer, False

    def hear_beat(self, now: float, beat: Beat) -> None:
        """The other lives.

        Danger: one who wakes and is stopped again beats in between, and has accepted nobody."""
        if self.watch.stalled(now):
            self._steady = now
        if beat.accepts or not self._seen:
            self.watch.hear(now, beat.stood)
        self._other_leaves = beat.leaves
        if beat.accepts and beat.generation == self.generation and not self.holds:
            self._seen = True

    def read_all(self) -> None:
        """Nothing lies unread."""
        self._blind = False

    def turn(self, now: float, unread: bool) -> Right | None:
        """Look at the time, with or without words of the other still unread; what is to be said, if anything
        changes.

        Danger: one who wakes and judges before he has read condemns a process that spoke all the while."""
        if self.watch.turn(now) > LATE:
            self._blind = True
        if not unread:
            self.read_all()
        if self._blind:
            return None
        stalled = self.watch.stalled(now)
        if stalled:
            self._steady = now
        if not self.holds:
            gone = stalled or (self._other_leaves and not self.newer)
            if not gone:
                return None
            self.stalls += stalled
            return self._raise(now, self.newer)
        if self.newer or stalled or self._other_leaves or not self.generation:
            return None
        rest = 0.0 if self.leaves else min(REST_MAX, REST * 2 ** max(0, self.stalls - 1))
        return self._raise(now, True) if now - self._steady >= rest else None

    def may_accept(self, now: float) -> bool:
        """Before each client: whether we looked lately, and may.

        Danger: a holder that wakes accepts before it has heard that the right has passed on."""
        if now - self.watch._turned > LATE:
            self._blind = True
        return self.accepts

    def _raise(self, now: float, newer: bool) -> Right:
        self.generation = max(self.generation + 1, int(now * 1000))
        self.newer_holds, self._seen, self._steady = newer, False, now
        return Right(self.generation, newer)
