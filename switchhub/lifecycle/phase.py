"""The phase of this process: starting, ready, draining, superseded by a new process, or stopping.

Responsible for this one fact, which is kept nowhere else: `PING`, the health check, the listener and the stop
all read it here. Does no I/O and reads no clock.

    starting -> ready <-> draining            by `begin`, `drain`, `restore`
    any of these -> superseded -> stopping    by `supersede`, `stop`; no phase follows stopping

`reinstate` undoes `supersede` when the new process turns out to be gone before this one was told to stop. A
superseded process answers `PING` with yes: the clients' address belongs to the new process by then, and a no
would take the address out of service. Its own health check says no, and a management call to
`/healthcheck/ok` does not change that.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Phase(Enum):
    """Phase of a process; the value is its name in health checks and in the log."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    SUPERSEDED = "giving way to a new version"
    STOPPING = "stopping"


class Lifecycle:
    """State machine of a process's phase."""

    def __init__(self) -> None:
        self.observers: list[Callable[[Phase], None]] = []  # called on each change of phase; must not block
        self._phase = Phase.STARTING
        self._started = self._drain_requested = self._superseded = False

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        if phase is not self._phase:
            self._phase = phase
            for observer in self.observers:
                observer(phase)

    @property
    def healthy(self) -> bool:
        """Whether this process is ready to serve."""
        return self.phase is Phase.READY

    @property
    def accepts_new_clients(self) -> bool:
        """Whether `PING` is answered with yes: new clients may be sent to the address.

        A stopping process still says yes unless a drain was requested: the load balancers in front no
        longer ask it, and it goes on accepting clients for a short time. Only a drain makes the answer no.
        """
        return self._superseded or (self._started and not self._drain_requested)

    @property
    def stopping(self) -> bool:
        """Whether this process is stopping, which is final."""
        return self.phase is Phase.STOPPING

    def begin(self) -> None:
        """Record that the process serves from now on; it becomes ready unless a drain was requested."""
        self._started = True
        if self.phase is Phase.STARTING:
            self.phase = Phase.READY

    def drain(self) -> bool:
        """Request a drain. Return False if one was requested already or the process is stopping."""
        if self._drain_requested or self.phase is Phase.STOPPING:
            return False
        self._drain_requested = True
        if self.phase is not Phase.SUPERSEDED:
            self.phase = Phase.DRAINING
        return True

    def restore(self) -> bool:
        """Cancel a drain, if there is one. Return False if the process is superseded or stopping."""
        if self.phase in (Phase.SUPERSEDED, Phase.STOPPING):
            return False
        self._drain_requested = False
        self.phase = Phase.READY if self._started else Phase.STARTING
        return True

    def supersede(self) -> bool:
        """Record that a new process serves the address. Return False if superseded already or stopping."""
        if self.phase in (Phase.SUPERSEDED, Phase.STOPPING):
            return False
        self.phase, self._superseded = Phase.SUPERSEDED, True
        return True

    def reinstate(self) -> bool:
        """Record that the new process is gone, and go back to draining or ready.

        Return False if the process is stopping.
        """
        self._superseded = False
        if self.phase is Phase.STOPPING:
            return False
        self.phase = Phase.DRAINING if self._drain_requested else Phase.READY
        return True

    def stop(self) -> None:
        """Record that the process is stopping."""
        self.phase = Phase.STOPPING
