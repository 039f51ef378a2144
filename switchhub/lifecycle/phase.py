"""What this process is now: starting, ready, draining, stopping or giving way to a new version.

Owns: that one fact. Must never: do I/O, read a clock, or be kept a second time somewhere else: `PING`, the
health check, the listener and the stop ask here.

    starting -> ready <-> draining           by `begin`, `drain`, `restore`
    any of these -> giving way -> stopping   by `supersede`, `stop`; nothing leads back from stopping

Giving way is taken back by `reinstate` when the new process turns out to be gone before this one was told to
stop. A process that gave way says yes to `PING`, for the clients' address is the new process's by then and a
no would close it; its own health check says no, and `ok` can't bring it back.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    """What a process is."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUPERSEDED = "giving way to a new version"
    STOPPING = "stopping"


class Lifecycle:
    """The state machine."""

    def __init__(self) -> None:
        self.observers: list[Callable[[Phase], None]] = []  # told of each change; they may not wait
        self._phase = Phase.STARTING
        self._begun = self._drained = self._yielded = False

    @property
    def phase(self) -> Phase:
        """What it is."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        if phase is not self._phase:
            self._phase = phase
            for follower in self.observers:
                follower(phase)

    @property
    def healthy(self) -> bool:
        """Whether this process is ready to serve."""
        return self.phase is Phase.READY

    @property
    def accepts_new_clients(self) -> bool:
        """Whether the address may be sent new clients. One that stops goes on taking them for a moment, as
        fronts do not ask it any more; a no is for drains."""
        return self._yielded or (self._begun and not self._drained)

    @property
    def stopping(self) -> bool:
        """Whether nothing leads back."""
        return self.phase is Phase.STOPPING

    def begin(self) -> None:
        """It serves from now on, unless it was told to drain before."""
        self._begun = True
        if self.phase is Phase.STARTING:
            self.phase = Phase.READY

    def drain(self) -> bool:
        """Told to drain; whether that is new."""
        if self._drained or self.phase is Phase.STOPPING:
            return False
        self._drained = True
        if self.phase is not Phase.SUPERSEDED:
            self.phase = Phase.DRAINING
        return True

    def restore(self) -> bool:
        """Told to go back to work; whether it can: not while it stops or another process serves."""
        if self.phase in (Phase.SUPERSEDED, Phase.STOPPING):
            return False
        self._drained = False
        self.phase = Phase.READY if self._begun else Phase.STARTING
        return True

    def supersede(self) -> bool:
        """A new process serves the address now; whether that can be."""
        if self.phase in (Phase.SUPERSEDED, Phase.STOPPING):
            return False
        self.phase, self._yielded = Phase.SUPERSEDED, True
        return True

    def reinstate(self) -> bool:
        """The new process has gone; whether this one is what it was before."""
        self._yielded = False
        if self.phase is Phase.STOPPING:
            return False
        self.phase = Phase.DRAINING if self._drained else Phase.READY
        return True

    def stop(self) -> None:
        """It ends."""
        self.phase = Phase.STOPPING
