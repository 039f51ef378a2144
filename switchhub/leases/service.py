"""What one balancer does about leases: it votes, if it is a voter, and holds for whoever asks it to.

Owns: its voter, its asker, and who wants what for how long. Must never: do I/O or read a clock.

Somebody outside of the process wants a name by saying so again and again (`hold_external`): whoever falls
silent for `EXTERNAL_HOLD_TIMEOUT` seconds has its name released. Parts of the
balancer want a name until they say otherwise (`acquire`).
Of a counted name one slot is wanted at a time, and the next one when somebody else has that.

Danger: a command that has lost sight of its balancer must be over
before that balancer's lease is; so it is told how long its lease lasts, and counts from when it asked; and
silence releases nothing before that time is over.
"""

from __future__ import annotations

from switchhub.leases.config import LeaseConfig
from switchhub.leases.messages import (
    Message,
    OutgoingMessage,
    ProcessIdentity,
    ProposeReply,
    ReleaseReply,
    RenewReply,
    StatusReply,
    TransferNotice,
)
from switchhub.leases.proposer import Proposer
from switchhub.leases.voter import Voter
from switchhub.membership.random_source import RandomSource

EXTERNAL_HOLD_TIMEOUT = 2.0  # seconds
MAX_REPORTED_REMAINING_MS = 1800  # told to outside holders: less than EXTERNAL_HOLD_TIMEOUT by all drift
WANTED_MOST = 10_000  # names at a time
FOR_ASKERS = (StatusReply, ProposeReply, RenewReply, ReleaseReply, TransferNotice)


class LeaseService:
    """See the file's head."""

    def __init__(
        self,
        me: ProcessIdentity,
        terms: LeaseConfig,
        seed: int,
        now: float,
        floor: int | None = None,
        files: bool = False,
        same: bool = True,
    ) -> None:
        self.me, self.terms = me, terms
        self.proposer = Proposer(me, terms, seed, now)
        self.voter = None
        if me.address in terms.every:
            self.voter = Voter(me, terms, now, floor, files, same)
        self.out: list[OutgoingMessage] = []
        self.log_lines: list[str] = []  # for the log
        self._keeps: dict[str, float] = {}  # until when names are wanted from outside
        self._slots: dict[str, int] = {}  # of counted names that are wanted
        self._lot = RandomSource(seed)
        self._ending: dict[str, tuple[str, str]] = {}  # kept names to be let go, and their heirs

    def hold_external(self, lease: str, now: float) -> None:
        """Somebody outside wants it, for a while."""
        if lease in self._ending:
            return
        if lease in self._keeps or len(self._keeps) < WANTED_MOST:
            self._keeps[lease] = now + EXTERNAL_HOLD_TIMEOUT
            self.acquire(lease, now)

    def acquire(self, name: str, now: float) -> None:
        """A part of this balancer wants it, until it is released."""
        if (most := self.terms.most(name)) and name not in self._slots:
            self._slots[name] = self._lot.randrange(most)
        self.proposer.acquire(self.lease_for(name), now)
        self._gather(now)

    def lease_for(self, name: str) -> str:
        """What is wanted of this name: itself, or a slot of it."""
        return f"{name}#{self._slots[name]}" if name in self._slots else name

    def held_token(self, name: str, now: float) -> int | None:
        """Its token, that its hold began with, if it is held at this moment."""
        lease = self.lease_for(name)
        return None if self.proposer.held_token(lease, now) is None else self.proposer.wanted[lease].first

    def _next_slot(self, name: str, now: float, slot: int | None = None) -> None:
        """Another one is wanted instead. Danger: what is held or bid for is not let go for it."""
        before = self.proposer.wanted.get(self.lease_for(name))
        if before is None or before.hold is not None or before.bid is not None:
            return
        at, most = before.next_attempt_at, self.terms.most(name)
        self.proposer.release(self.lease_for(name), now)
        self._slots[name] = (self._slots[name] + 1) % most if slot is None else slot
        self.proposer.acquire(self.lease_for(name), now if slot is not None else now + (at - now) / most)

    def request_release(self, lease: str, now: float, heir: str = "", address: str = "") -> bool:
        """Staff want it let go, or handed on; whether it was wanted here.

        Danger: a command outside acts on until it hears so. It is told with its next call, and lets go
        itself; nobody else may hold before."""
        if lease not in self._keeps:
            return self.release(lease, now, heir, address)
        self._ending[lease] = heir, address
        return True

    def release_requested(self, lease: str) -> bool:
        """Whether whoever acts for it has to stop."""
        return lease in self._ending

    def release_external(self, lease: str, now: float) -> bool:
        """Nobody outside acts for it any more."""
        return self.release(lease, now, *self._ending.pop(lease, ("", "")))

    def release(self, name: str, now: float, heir: str = "", address: str = "") -> bool:
        """Let it go, or hand it on; whether it was wanted here."""
        lease = self.lease_for(name)
        wanted = lease in self.proposer.wanted
        self._keeps.pop(name, None)
        self._slots.pop(name, None)
        self.proposer.release(lease, now, heir, address)
        self._gather(now)
        return wanted

    def release_internal(self, now: float) -> None:
        """The balancer goes: what it holds for parts of itself is free at once.

        Danger: what it holds for a command outside is not, for that acts on until nobody answers it;
        the voters' word for it runs out later than that."""
        for lease in list(self.proposer.wanted):
            if (name := lease.partition("#")[0]) not in self._keeps:
                self.release(name, now)

    def deadline(self) -> float:
        """When `turn` is due."""
        due = min([self.proposer.deadline(), *self._keeps.values()])
        return due if self.voter is None else min(due, self.voter.deadline())

    def turn(self, now: float) -> None:
        """Do what is due."""
        for lease, until in list(self._keeps.items()):
            if now >= until:
                self.log_lines.append(f"{lease}: nobody asks for it any more")
                self.release_external(lease, now)
        self.proposer.turn(now)
        if self.voter is not None:
            self.voter.turn(now)
        self._gather(now)

    def receive(self, now: float, message: Message) -> None:
        """Somebody says something."""
        if isinstance(message, FOR_ASKERS):
            if isinstance(message, TransferNotice):
                name, _, slot = message.lease.partition("#")
                if name in self._slots and self.terms.stands(message.lease):
                    self._next_slot(name, now, int(slot))
            self.proposer.receive(now, message)
        elif self.voter is not None:
            self.voter.receive(now, message)
        self._gather(now)

    def _gather(self, now: float) -> None:
        events, self.proposer.events = self.proposer.events, []
        for event in events:
            name = event.lease.partition("#")[0]
            if event.what == "taken":
                if name in self._slots and self.lease_for(name) == event.lease:
                    self._next_slot(name, now)
                continue
            self.log_lines.append(f"{event.lease} {event.what} (token {event.token}): {event.why}")
        self.out += self.proposer.out
        self.proposer.out.clear()
        if self.voter is not None:
            self.log_lines += self.voter.log_lines
            self.out += self.voter.out
            self.voter.log_lines.clear()
            self.voter.out.clear()

    def lease_status(self, name: str, now: float) -> dict[str, object]:
        """What is known of one that is wanted here, or was."""
        lease = self.lease_for(name)
        rows = [row for row in self.lease_statuses(now) if row["name"] == lease]
        return rows[0] if rows else _row(lease, "", 0, 0, False, "unknown")

    def lease_statuses(self, now: float) -> list[dict[str, object]]:
        """What is known of each name: what this balancer wants, and what it has voted for. The token of what
        it holds is the one that the hold began with: it changes only if somebody else may have held since."""
        out: dict[str, dict[str, object]] = {}
        if self.voter is not None:
            for lease, grant in self.voter.grants.items():
                if now < grant.until:
                    left = round((grant.until - now) * 1000)
                    out[lease] = _row(lease, grant.heir or grant.name, grant.token, left, False, "voted for")
        for lease, want in self.proposer.wanted.items():
            held = self.proposer.held_token(lease, now) is not None
            left = round(self.proposer.left(lease, now) * 1000)
            if held:
                out[lease] = _row(lease, self.me.name, want.first, left, True, want.state)
            else:
                known = out.get(lease, {"holder": "", "token": 0, "remaining_ms": 0})
                out[lease] = {**known, "name": lease, "mine": False, "state": want.state}
        return [out[lease] for lease in sorted(out)]


def _row(lease: str, holder: str, token: int, left: int, mine: bool, state: str) -> dict[str, object]:
    return {
        "name": lease,
        "holder": holder,
        "token": token,
        "remaining_ms": left,
        "mine": mine,
        "state": state,
    }
