"""Decides which of two processes of one balancer may accept clients: the older one, or the newer one that
took over from it. One of them holds the right to accept; each keeps its own view of it, a `RightState`.

Owns: one process's view of the right: its generation, who holds it, whether the peer is alive. Must never: do
I/O, read a clock, or depend on when a message arrives: the channel keeps the order and loses nothing while
both processes live.

The newer process holds the right as long as its heartbeats arrive. A holder that sends none for
`STALL_TIMEOUT_S` loses the right to the peer, which raises the generation and announces its claim. Only the
older process gives the right back, after a delay. A claim of a lower generation is void; of two claims of the
same generation that of the newer process stands.

    RightClaim   the generation, and whether the newer process holds the right; sent by whichever process
                 raises the generation
    Heartbeat    the generation known to the sender, whether it accepts in that generation, how long its main
                 loop has been stalled, whether it is shutting down; sent by both, all the time

Both processes may accept for a moment: they share one accept queue, and the kernel gives each client to one
of them. There must not be a longer time in which neither does, so the process that gives the right away goes
on accepting until the peer's heartbeat says that the peer accepts.

Times are seconds of a monotonic clock that both processes share (CLOCK_MONOTONIC of one machine). A
generation is at least that clock's milliseconds, so that a generation claimed without asking the peer is
higher than all earlier ones; no decision compares a generation with the time.
"""

from __future__ import annotations

from typing import NamedTuple

HEARTBEAT_INTERVAL_S = 0.05
STALL_TIMEOUT_S = 0.3  # time without a heartbeat after which a process counts as stalled
# The same for a main loop that is stalled or lacks descriptors while heartbeats still arrive.
LOOP_STALL_TIMEOUT_S = 1.0
MAX_TICK_GAP_S = 0.1  # after a longer gap between its own ticks, a process reads all messages before it acts
# How long the heartbeats of a process that stalled must be steady before it regains the right; doubled for
# each further stall, up to the maximum.
REGAIN_DELAY_S = 0.5
MAX_REGAIN_DELAY_S = 8.0
ABANDON_TIMEOUT_S = 10.0  # silence after which the peer's connections no longer count here


class RightClaim(NamedTuple):
    """Announces who holds the right to accept from this generation on. Sent under these field names."""

    generation: int
    newer: bool  # whether the newer process holds it


class Heartbeat(NamedTuple):
    """Sent every `HEARTBEAT_INTERVAL_S` while a process runs, under these field names."""

    generation: int
    accepts: bool
    stood: float  # seconds for which the main loop has been stalled or without free descriptors
    leaves: bool  # whether the sender is shutting down


class PeerMonitor:
    """Detects from its heartbeats whether the peer has stalled."""

    def __init__(self, now: float) -> None:
        self._last_tick = self.last_heartbeat = now
        self.loop_stalled_s = 0.0

    def tick(self, now: float) -> float:
        """Note that this process runs; return the seconds since the previous tick."""
        gap, self._last_tick = now - self._last_tick, now
        return gap

    def record_heartbeat(self, now: float, loop_stalled_s: float) -> None:
        """Note a heartbeat, and for how many seconds the peer's main loop has been stalled."""
        self.last_heartbeat, self.loop_stalled_s = now, loop_stalled_s

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last heartbeat."""
        return now - self.last_heartbeat

    def is_stalled(self, now: float) -> bool:
        """Return whether the peer counts as stalled."""
        return self.silence_s(now) >= STALL_TIMEOUT_S or self.loop_stalled_s >= LOOP_STALL_TIMEOUT_S


class RightState:
    """One process's state of the right to accept that it shares with one other process."""

    def __init__(self, now: float, is_newer: bool) -> None:
        self.is_newer = is_newer  # whether this process is the newer of the two
        self.generation = 0
        self.newer_holds = False
        self.monitor = PeerMonitor(now)
        self.peer_stalls = 0  # how often the peer stalled while it held the right
        self.shutting_down = False  # whether this process is shutting down
        self._peer_accepts = False  # the peer has announced that it accepts in this generation
        self._peer_steady_since = now  # since when the peer's heartbeats arrive without a stall
        self._must_read_first = False  # this process was stalled and has not read what arrived meanwhile
        self._peer_shutting_down = False

    @property
    def holds_right(self) -> bool:
        """Whether this process holds the right."""
        return self.newer_holds is self.is_newer

    @property
    def accepts(self) -> bool:
        """Whether this process accepts clients, as far as this peer is concerned."""
        return not self._must_read_first and (self.holds_right or not self._peer_accepts)

    def heartbeat(self, serving: bool, loop_stalled_s: float) -> Heartbeat:
        """Return this process's heartbeat.

        A process that has given the right to a newer one still announces that it accepts, while it does."""
        return Heartbeat(self.generation, serving and self.accepts, loop_stalled_s, self.shutting_down)

    def take_over(self, now: float, known_generation: int) -> RightClaim:
        """Claim the right for this process, the newer one; return the claim to send.

        `known_generation` is the older process's generation, or 0 if it could not be asked."""
        self.generation = known_generation
        return self._claim(now, True)

    def receive_claim(self, now: float, claim: RightClaim) -> None:
        """Apply a claim of the peer.

        A claim of a lower generation is void: a process that was stopped reads old claims after newer ones
        were made."""
        newer_wins = claim.generation == self.generation and claim.newer and not self.newer_holds
        if claim.generation > self.generation or newer_wins:
            self.generation, self.newer_holds, self._peer_accepts = claim.generation, claim.newer, False

    def receive_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        """Note a heartbeat of the peer.

        Once the peer has accepted in this generation, only heartbeats that say that it accepts reset the
        stall timeout: a process that wakes and is stopped again may send heartbeats in between without
        accepting any client."""
        if self.monitor.is_stalled(now):
            self._peer_steady_since = now
        if heartbeat.accepts or not self._peer_accepts:
            self.monitor.record_heartbeat(now, heartbeat.stood)
        self._peer_shutting_down = heartbeat.leaves
        if heartbeat.accepts and heartbeat.generation == self.generation and not self.holds_right:
            self._peer_accepts = True

    def mark_all_read(self) -> None:
        """Note that no message of the peer is left unread."""
        self._must_read_first = False

    def tick(self, now: float, unread: bool) -> RightClaim | None:
        """Act on the time that has passed; return the claim to send if this process gives or takes the right.

        `unread` says whether messages of the peer are still unread. After a stall of its own this process
        reads them first: otherwise a peer that sent heartbeats throughout would count as stalled."""
        if self.monitor.tick(now) > MAX_TICK_GAP_S:
            self._must_read_first = True
        if not unread:
            self.mark_all_read()
        if self._must_read_first:
            return None
        stalled = self.monitor.is_stalled(now)
        if stalled:
            self._peer_steady_since = now
        if not self.holds_right:
            holder_lost = stalled or (self._peer_shutting_down and not self.is_newer)
            if not holder_lost:
                return None
            self.peer_stalls += stalled
            return self._claim(now, self.is_newer)
        if self.is_newer or stalled or self._peer_shutting_down or not self.generation:
            return None
        regain_delay_s = (
            0.0
            if self.shutting_down
            else min(MAX_REGAIN_DELAY_S, REGAIN_DELAY_S * 2 ** max(0, self.peer_stalls - 1))
        )
        return self._claim(now, True) if now - self._peer_steady_since >= regain_delay_s else None

    def may_accept(self, now: float) -> bool:
        """Return whether this process may accept the next client; asked before each one.

        A holder that wakes from a stall must read first: the right may have passed to the peer meanwhile."""
        if now - self.monitor._last_tick > MAX_TICK_GAP_S:
            self._must_read_first = True
        return self.accepts

    def _claim(self, now: float, newer_holds: bool) -> RightClaim:
        self.generation = max(self.generation + 1, int(now * 1000))
        self.newer_holds, self._peer_accepts, self._peer_steady_since = newer_holds, False, now
        return RightClaim(self.generation, newer_holds)
