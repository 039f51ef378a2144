"""What one balancer does about leases: it votes, if it is a voter, and holds for whoever asks it to.

Owns: its voter, its asker, and who wants what for how long. Must never: do I/O or read a clock.

Somebody outside of the process wants a name by saying so again and again (`keep`): whoever falls silent for
`KEEPS` seconds has its name released. Parts of the balancer want a name until they say otherwise (`want`).
Of a counted name one slot is wanted at a time, and the next one when somebody else has that.

Danger: a command that has lost sight of its balancer must be over
before that balancer's lease is; so it is told how long its lease lasts, and counts from when it asked; and
silence releases nothing before that time is over.
"""

from __future__ import annotations

from switchhub.leases.asker import Asker
from switchhub.leases.messages import Answer, Dropped, Message, Pass, Renewed, Send, Told, Who
from switchhub.leases.rules import Terms
from switchhub.leases.voter import Voter
from switchhub.membership.random_source import RandomSource

KEEPS = 2.0  # seconds
TOLD = 1800  # milliseconds at most that somebody outside is told to have left: less than KEEPS by all drift
WANTED_MOST = 10_000  # names at a time
FOR_ASKERS = (Told, Answer, Renewed, Dropped, Pass)


class Leases:
    """See the file's head."""

    def __init__(
        self,
        me: Who,
        terms: Terms,
        seed: int,
        now: float,
        floor: int | None = None,
        files: bool = False,
        same: bool = True,
    ) -> None:
        self.me, self.terms = me, terms
        self.asker = Asker(me, terms, seed, now)
        self.voter = None
        if me.address in terms.every:
            self.voter = Voter(me, terms, now, floor, files, same)
        self.out: list[Send] = []
        self.said: list[str] = []  # for the log
        self._keeps: dict[str, float] = {}  # until when names are wanted from outside
        self._slots: dict[str, int] = {}  # of counted names that are wanted
        self._lot = RandomSource(seed)
        self._ending: dict[str, tuple[str, str]] = {}  # kept names to be let go, and their heirs

    def keep(self, lease: str, now: float) -> None:
        """Somebody outside wants it, for a while."""
        if lease in self._ending:
            return
        if lease in self._keeps or len(self._keeps) < WANTED_MOST:
            self._keeps[lease] = now + KEEPS
            self.want(lease, now)

    def want(self, name: str, now: float) -> None:
        """A part of this balancer wants it, until it is released."""
        if (most := self.terms.most(name)) and name not in self._slots:
            self._slots[name] = self._lot.randrange(most)
        self.asker.want(self.lease(name), now)
        self._gather(now)

    def lease(self, name: str) -> str:
        """What is wanted of this name: itself, or a slot of it."""
        return f"{name}#{self._slots[name]}" if name in self._slots else name

    def held(self, name: str, now: float) -> int | None:
        """Its token, that its hold began with, if it is held at this moment."""
        lease = self.lease(name)
        return None if self.asker.held(lease, now) is None else self.asker.wants[lease].first

    def _next_slot(self, name: str, now: float, slot: int | None = None) -> None:
        """Another one is wanted instead. Danger: what is held or bid for is not let go for it."""
        before = self.asker.wants.get(self.lease(name))
        if before is None or before.hold is not None or before.bid is not None:
            return
        at, most = before.at, self.terms.most(name)
        self.asker.release(self.lease(name), now)
        self._slots[name] = (self._slots[name] + 1) % most if slot is None else slot
        self.asker.want(self.lease(name), now if slot is not None else now + (at - now) / most)

    def end(self, lease: str, now: float, heir: str = "", address: str = "") -> bool:
        """Staff want it let go, or handed on; whether it was wanted here.

        Danger: a command outside acts on until it hears so. It is told with its next call, and lets go
        itself; nobody else may hold before."""
        if lease not in self._keeps:
            return self.release(lease, now, heir, address)
        self._ending[lease] = heir, address
        return True

    def ends(self, lease: str) -> bool:
        """Whether whoever acts for it has to stop."""
        return lease in self._ending

    def let_go(self, lease: str, now: float) -> bool:
        """Nobody outside acts for it any more."""
        return self.release(lease, now, *self._ending.pop(lease, ("", "")))

    def release(self, name: str, now: float, heir: str = "", address: str = "") -> bool:
        """Let it go, or hand it on; whether it was wanted here."""
        lease = self.lease(name)
        wanted = lease in self.asker.wants
        self._keeps.pop(name, None)
        self._slots.pop(name, None)
        self.asker.release(lease, now, heir, address)
        self._gather(now)
        return wanted

    def leave(self, now: float) -> None:
        """The balancer goes: what it holds for parts of itself is free at once.

        Danger: what it holds for a command outside is not, for that acts on until nobody answers it;
        the voters' word for it runs out later than that."""
        for lease in list(self.asker.wants):
            if (name := lease.partition("#")[0]) not in self._keeps:
                self.release(name, now)

    def deadline(self) -> float:
        """When `turn` is due."""
        due = min([self.asker.deadline(), *self._keeps.values()])
        return due if self.voter is None else min(due, self.voter.deadline())

    def turn(self, now: float) -> None:
        """Do what is due."""
        for lease, until in list(self._keeps.items()):
            if now >= until:
                self.said.append(f"{lease}: nobody asks for it any more")
                self.let_go(lease, now)
        self.asker.turn(now)
        if self.voter is not None:
            self.voter.turn(now)
        self._gather(now)

    def receive(self, now: float, message: Message) -> None:
        """Somebody says something."""
        if isinstance(message, FOR_ASKERS):
            if isinstance(message, Pass):
                name, _, slot = message.lease.partition("#")
                if name in self._slots and self.terms.stands(message.lease):
                    self._next_slot(name, now, int(slot))
            self.asker.receive(now, message)
        elif self.voter is not None:
            self.voter.receive(now, message)
        self._gather(now)

    def _gather(self, now: float) -> None:
        events, self.asker.events = self.asker.events, []
        for event in events:
            name = event.lease.partition("#")[0]
            if event.what == "taken":
                if name in self._slots and self.lease(name) == event.lease:
                    self._next_slot(name, now)
                continue
            self.said.append(f"{event.lease} {event.what} (token {event.token}): {event.why}")
        self.out += self.asker.out
        self.asker.out.clear()
        if self.voter is not None:
            self.said += self.voter.news
            self.out += self.voter.out
            self.voter.news.clear()
            self.voter.out.clear()

    def row(self, name: str, now: float) -> dict[str, object]:
        """What is known of one that is wanted here, or was."""
        lease = self.lease(name)
        rows = [row for row in self.rows(now) if row["name"] == lease]
        return rows[0] if rows else _row(lease, "", 0, 0, False, "unknown")

    def rows(self, now: float) -> list[dict[str, object]]:
        """What is known of each name: what this balancer wants, and what it has voted for. The token of what
        it holds is the one that the hold began with: it changes only if somebody else may have held since."""
        out: dict[str, dict[str, object]] = {}
        if self.voter is not None:
            for lease, grant in self.voter.grants.items():
                if now < grant.until:
                    left = round((grant.until - now) * 1000)
                    out[lease] = _row(lease, grant.heir or grant.name, grant.token, left, False, "voted for")
        for lease, want in self.asker.wants.items():
            held = self.asker.held(lease, now) is not None
            left = round(self.asker.left(lease, now) * 1000)
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
