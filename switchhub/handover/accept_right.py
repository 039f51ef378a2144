"""Which of two processes of one balancer may accept: an older one, and a newer one that took over from it.

Owns: one side's knowledge of the right: its generation, who holds it, whether the other is heard. Must never:
do I/O, read a clock, or rest on when a message comes: the channel keeps order and loses nothing while both
live.

The newer one holds the right while it is heard. Whoever is silent for `STALL_TIMEOUT_S` loses it to the
other, who raises the generation and says so; the older one alone gives it back, after a rest. A word of a
lower generation is void; of two claims to one generation the newer process's stands.

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

HEARTBEAT_INTERVAL_S = 0.05  # seconds between two beats
# seconds without a beat after which a process is taken for stalled
STALL_TIMEOUT_S = 0.3
# seconds that the main loop of a process that beats may stand still, or that it may be full
LOOP_STALL_TIMEOUT_S = 1.0
# seconds between two looks of one's own beyond which what came is read before anything else
MAX_TICK_GAP_S = 0.1
REST, REST_MAX = 0.5, 8.0  # seconds that one who stalled is heard before it holds again, doubled each time
# seconds of silence after which what a process holds counts for nothing: nobody waits for it
ABANDON_TIMEOUT_S = 10.0


class RightClaim(NamedTuple):
    """Who holds it from now on."""

    generation: int
    newer: bool


class Heartbeat(NamedTuple):
    """Sign of life."""

    generation: int
    accepts: bool
    stood: float  # seconds that the main loop has stood still, or has been without descriptors
    leaves: bool  # told to end


class PeerMonitor:
    """Whether the other process is heard."""

    def __init__(self, now: float) -> None:
        self._last_tick = self.last_heartbeat = now
        self.loop_stalled_s = 0.0

    def tick(self, now: float) -> float:
        """We look; the seconds since the last time."""
        gap, self._last_tick = now - self._last_tick, now
        return gap

    def hear(self, now: float, stood: float) -> None:
        """It beats."""
        self.last_heartbeat, self.loop_stalled_s = now, stood

    def silent(self, now: float) -> float:
        """Seconds since it was heard."""
        return now - self.last_heartbeat

    def stalled(self, now: float) -> bool:
        """Whether it is taken for stalled."""
        return self.silent(now) >= STALL_TIMEOUT_S or self.loop_stalled_s >= LOOP_STALL_TIMEOUT_S


class RightState:
    """One process's side of a pair."""

    def __init__(self, now: float, is_newer: bool) -> None:
        self.is_newer = is_newer  # whether we are the newer one
        self.generation = 0
        self.newer_holds = False
        self.monitor = PeerMonitor(now)
        self.peer_stalls = 0  # of the other, while it held the right
        self.shutting_down = False  # we are told to end
        self._peer_accepts = False  # the other accepts in this generation
        self._peer_steady_since = now  # since when the other is heard
        self._must_read_first = False  # we stood still and have not read what came meanwhile
        self._other_leaves = False

    @property
    def holds_right(self) -> bool:
        """Whether the right is ours."""
        return self.newer_holds is self.is_newer

    @property
    def accepts(self) -> bool:
        """Whether we accept, as far as this pair goes."""
        return not self._must_read_first and (self.holds_right or not self._peer_accepts)

    def heartbeat(self, ready: bool, stood: float) -> Heartbeat:
        """What we say of ourselves. Who gave the right on to one who is newer still says that it accepts."""
        return Heartbeat(self.generation, ready and self.accepts, stood, self.shutting_down)

    def take_over(self, now: float, above: int) -> RightClaim:
        """The newer one takes over, knowing the older one's generation if it could be asked."""
        self.generation = above
        return self._raise(now, True)

    def receive_claim(self, now: float, told: RightClaim) -> None:
        """The other says who holds it.

        Danger: one who was stopped hears old words after new deeds; a lower generation is void."""
        tie = told.generation == self.generation and told.newer and not self.newer_holds
        if told.generation > self.generation or tie:
            self.generation, self.newer_holds, self._peer_accepts = told.generation, told.newer, False

    def receive_heartbeat(self, now: float, beat: Heartbeat) -> None:
        """The other lives.

        Danger: one who wakes and is stopped again beats in between, and has accepted nobody."""
        if self.monitor.stalled(now):
            self._peer_steady_since = now
        if beat.accepts or not self._peer_accepts:
            self.monitor.hear(now, beat.stood)
        self._other_leaves = beat.leaves
        if beat.accepts and beat.generation == self.generation and not self.holds_right:
            self._peer_accepts = True

    def mark_all_read(self) -> None:
        """Nothing lies unread."""
        self._must_read_first = False

    def tick(self, now: float, unread: bool) -> RightClaim | None:
        """Look at the time, with or without words of the other still unread; what is to be said, if anything
        changes.

        Danger: one who wakes and judges before he has read condemns a process that spoke all the while."""
        if self.monitor.tick(now) > MAX_TICK_GAP_S:
            self._must_read_first = True
        if not unread:
            self.mark_all_read()
        if self._must_read_first:
            return None
        stalled = self.monitor.stalled(now)
        if stalled:
            self._peer_steady_since = now
        if not self.holds_right:
            gone = stalled or (self._other_leaves and not self.is_newer)
            if not gone:
                return None
            self.peer_stalls += stalled
            return self._raise(now, self.is_newer)
        if self.is_newer or stalled or self._other_leaves or not self.generation:
            return None
        rest = 0.0 if self.shutting_down else min(REST_MAX, REST * 2 ** max(0, self.peer_stalls - 1))
        return self._raise(now, True) if now - self._peer_steady_since >= rest else None

    def may_accept(self, now: float) -> bool:
        """Before each client: whether we looked lately, and may.

        Danger: a holder that wakes accepts before it has heard that the right has passed on."""
        if now - self.monitor._last_tick > MAX_TICK_GAP_S:
            self._must_read_first = True
        return self.accepts

    def _raise(self, now: float, newer: bool) -> RightClaim:
        self.generation = max(self.generation + 1, int(now * 1000))
        self.newer_holds, self._peer_accepts, self._peer_steady_since = newer, False, now
        return RightClaim(self.generation, newer)
