"""The times of a stop: until when a process accepts clients, when it moves them and when it ends.

Does no I/O and reads no clock. All times are in seconds, on the caller's clock.
"""

from __future__ import annotations

from typing import NamedTuple

# Time from the start of a stop in which clients are still accepted and none is moved: new connections still
# arrive here, so a moved client would too.
ACCEPT_MIN_S = 0.45
DEADLINE_MAX_S = 3.0  # longest client deadline that a stop waits for
MARGIN_S = 0.3  # added to that deadline
# Clients are moved evenly over the part of a stop's duration between these fractions of it. Where balancers
# are restarted one after another, later moves find more of the others serving again.
MOVE_BEGIN_FRACTION = 0.5
MOVE_END_FRACTION = 0.92


class StopSchedule(NamedTuple):
    """The moments of one stop."""

    accepts_until: float
    moves_begin_at: float
    moves_end_at: float
    ends_at: float

    @classmethod
    def starting_at(cls, now: float, longest_deadline: float) -> StopSchedule:
        """Return the schedule of a stop that begins now, where no client waits longer than this deadline."""
        duration = min(longest_deadline, DEADLINE_MAX_S) + MARGIN_S
        return cls(
            accepts_until=now + ACCEPT_MIN_S,
            moves_begin_at=now + max(ACCEPT_MIN_S, duration * MOVE_BEGIN_FRACTION),
            moves_end_at=now + duration * MOVE_END_FRACTION,
            ends_at=now + duration,
        )
