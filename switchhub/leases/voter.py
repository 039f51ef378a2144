"""One voter: to whom it has given its word, for how long, and which tokens are spent. No disk needed.

Owns: its grants and the highest tokens it knows. Must never: do I/O, read a clock, give one name to two at
a time, or give a token that is not above all it knows of that name.

A majority of such voters is a lease (the scheme of PaxosLease, Trencseni, Gazso, Reinhardt 2012, with the
read-only `Ask` in place of its prepare phase, so that asking disturbs nobody).

Who was started again has forgotten its grants: it is silent until any of them is over, and only then asks
the others for the tokens that they know. Danger: learnt before that, a vote of the life before may still be
on its way, and complete a majority whose token nobody has told.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchhub.leases.config import NAMES_MOST, TOKEN_JUMP, LeaseConfig, kept, mark
from switchhub.leases.messages import (
    Message,
    OutgoingMessage,
    ProcessIdentity,
    ProposeReply,
    ProposeRequest,
    RecoveryReply,
    RecoveryRequest,
    ReleaseReply,
    ReleaseRequest,
    RenewReply,
    RenewRequest,
    StatusReply,
    StatusRequest,
)

RESERVE = 1 << 16  # tokens that are written down ahead
AGAIN = 0.3  # seconds between two rounds of asking the other voters


@dataclass(slots=True)
class Grant:
    """This voter's word."""

    name: str
    life: int
    token: int
    until: float
    mark: int
    heir: str = ""  # the token is over; the name is kept for this balancer alone


class Voter:
    """See the file's head."""

    def __init__(
        self,
        me: ProcessIdentity,
        terms: LeaseConfig,
        now: float,
        floor: int | None = None,
        files: bool = False,
        same: bool = True,
    ) -> None:
        """`floor` is no less than any token ever voted for, where a file says so; else that is learnt, and so
        it is where the electorate was not the `same`. With `files` no token is voted for above `bound`,
        which is written down before."""
        self.me, self.terms = me, terms
        self.out: list[OutgoingMessage] = []
        self.is_voting = False
        self.floor = floor or 0  # of names that are not in `tops`
        self.tops: dict[str, int] = {}  # the highest token voted for, by name
        self.grants: dict[str, Grant] = {}
        self.log_lines: list[str] = []  # for the log
        self.token_limit: float = -1 if files else math.inf
        self._knows = floor is not None and same
        self._learnt: dict[str, RecoveryReply] = {}  # by voter
        self._why = ""  # it does not vote, as it was said last
        self._learn_at = now + kept(terms.max_length)  # until then it is silent
        self._seq = 0
        self._rounds: dict[tuple[str, int], int] = {}  # the last round of each holder

    @property
    def top(self) -> int:
        """The highest token that this voter knows."""
        return max(self.floor, max(self.tops.values(), default=0))

    def next_token_limit(self) -> int | None:
        """Up to which token has to be written down, if more than is: then `bound` is to be set to it.

        Danger: written before the tokens of the others are known, it would be taken for these next time."""
        if not self.is_voting or self.top + RESERVE // 2 <= self.token_limit:
            return None
        return self.top + RESERVE

    def deadline(self) -> float:
        """When `turn` is due."""
        return math.inf if self.is_voting else self._learn_at

    def turn(self, now: float) -> None:
        """Do what is due: one that has forgotten asks."""
        if self.is_voting or now < self._learn_at:
            return
        others = [voter for voter in self.terms.every if voter != self.me.address]
        if self._knows or not others:
            self._begin("tokens from its file" if self._knows else "the only voter, nobody remembers a token")
            return
        self._learn_at = now + AGAIN
        self._seq += 1
        for voter in others:
            self.out.append(OutgoingMessage(voter, RecoveryRequest(self._seq, self.me)))

    def _begin(self, why: str) -> None:
        self.is_voting = True
        self.log_lines.append(f"votes from now on, above token {self.floor}: {why}")

    def receive(self, now: float, message: Message) -> None:
        """Somebody says something."""
        source = message.source
        if isinstance(message, StatusRequest):
            self._ask(message, now)
        elif isinstance(message, ProposeRequest):
            why = self._bid(message, now)
            top = self.tops.get(message.lease, self.floor)
            answer = ProposeReply(message.seq, self.me, message.lease, message.token, not why, top, why)
            self._say(source, answer)
        elif isinstance(message, RenewRequest):
            self._renew(message, now)
        elif isinstance(message, ReleaseRequest):
            self._drop(message, now)
            self._say(source, ReleaseReply(message.seq, self.me))
        elif isinstance(message, RecoveryRequest):
            # Danger: one that waits still tells, for it may have learnt what nobody else remembers.
            self._say(
                source, RecoveryReply(message.seq, self.me, self.top, self.is_voting, self.terms.electorate)
            )
        elif isinstance(message, RecoveryReply):
            self._hear_learnt(message)

    def _hear_learnt(self, message: RecoveryReply) -> None:
        if self.is_voting or message.seq != self._seq or message.source.address not in self.terms.every:
            return
        self._learnt[message.source.address] = message
        told, others = self._learnt, [each for each in self.terms.every if each != self.me.address]
        strange = sorted(name for name, each in told.items() if not self.terms.kin(each.electorate))
        if strange:
            # Danger: voters of two sets, each a majority of its own, would give one name to two.
            self._waits(f"{strange[0]} votes with others: name them as `before`, here and everywhere")
            return
        all_told = len(told) == len(others)
        if not all_told and any(each.electorate != self.terms.electorate for each in told.values()):
            # Danger: of those not heard a majority may still vote as before the change.
            if self._seq > 1:  # the others' answers are on their way
                self._waits("voters are being changed, and not all of them have been heard")
            return
        # A majority that gave a token has this voter and one fewer of the others: of any majority of the
        # others that remember one was among them.
        remember = {name: each for name, each in told.items() if each.remembers}
        if self.terms.won(remember):
            self.floor = max([self.floor, *(each.top for each in remember.values())])
            self._begin("learnt from a majority of the others")
        elif all_told:
            highest = max([self.floor, *(each.top for each in told.values())])
            self.floor = highest + TOKEN_JUMP if highest else 0
            self._begin(f"{len(others) - len(remember)} other voters remember none either")

    def _waits(self, why: str) -> None:
        if why != self._why:
            self._why = why
            self.log_lines.append(f"does not vote: {why}")

    def _ask(self, message: StatusRequest, now: float) -> None:
        if message.known > self.top:  # a hint: it may only raise
            self.floor = max(self.floor, min(message.known, self.top + TOKEN_JUMP))
        grant = self._live(message.lease, now)
        mine = grant is not None and (grant.heir == message.source.name or self._same(grant, message.source))
        holder = "" if grant is None or mine else grant.heir or grant.name
        left = 0 if grant is None or mine else max(0, round((grant.until - now) * 1000)) + 1
        top = self.tops.get(message.lease, self.floor)
        self._say(
            message.source,
            StatusReply(message.seq, self.me, message.lease, self.is_voting, holder, left, top),
        )

    def _same(self, grant: Grant, who: ProcessIdentity) -> bool:
        return not grant.heir and grant.name == who.name and grant.life == who.life

    def _live(self, lease: str, now: float) -> Grant | None:
        grant = self.grants.get(lease)
        if grant is not None and now >= grant.until:
            del self.grants[lease]
            return None
        return grant

    def _bid(self, message: ProposeRequest, now: float) -> str:
        """Why not, or nothing."""
        if not self.is_voting:
            return "does not vote yet"
        if not self.terms.serves(message.electorate):
            return "another electorate"
        if message.length_ms > self.terms.max_length * 1000:
            return "longer than a lease may be"
        if not self.terms.stands(message.lease):
            return "no such lease"
        lease, who = message.lease, message.source
        grant, top = self._live(lease, now), self.tops.get(lease, self.floor)
        if grant is not None and not self._same(grant, who) and grant.heir != who.name:
            return f"held by {grant.heir or grant.name}"
        again = grant is not None and self._same(grant, who) and grant.token == message.token
        if not again and message.token <= top:
            return "token spent"
        if message.token > self.token_limit:
            return "token not written down yet"
        if len(self.tops) >= NAMES_MOST and lease not in self.tops:
            self._prune(now)
            if len(self.tops) >= NAMES_MOST:
                return "too many names"
        self.tops[lease] = max(top, message.token)
        until = now + kept(message.length_ms / 1000)
        if again and grant is not None:
            grant.until = max(grant.until, until)
        else:
            self.grants[lease] = Grant(who.name, who.life, message.token, until, mark(lease, message.token))
        return ""

    def _prune(self, now: float) -> None:
        """Names that nobody holds are kept together: above the highest token of any of them."""
        for lease in list(self.tops):
            if self._live(lease, now) is None:
                self.floor = max(self.floor, self.tops.pop(lease))

    def _renew(self, message: RenewRequest, now: float) -> None:
        who = message.source
        if not self.is_voting and not self.terms.kin(message.electorate):
            # Danger: somebody holds by a majority of others that this voter has just been taken from.
            self._learn_at = max(self._learn_at, now + kept(self.terms.max_length))
            self._waits(f"{who.name} holds by other voters: name them as `before`, here and everywhere")
        if not self.terms.serves(message.electorate) or message.length_ms > self.terms.max_length * 1000:
            return
        key = who.name, who.life
        if message.seq <= self._rounds.get(key, -1):
            return
        count, digest = 0, 0
        until = now + kept(message.length_ms / 1000)
        for lease, grant in list(self.grants.items()):
            if self._same(grant, who) and self._live(lease, now) is not None:
                grant.until = max(grant.until, until)
                count += 1
                digest = (digest + grant.mark) % 2**62
        if count:
            self._rounds[key] = message.seq
        else:
            self._rounds.pop(key, None)
        self._say(who, RenewReply(message.seq, self.me, count, digest))

    def _drop(self, message: ReleaseRequest, now: float) -> None:
        """Danger: without the token in it a word of long ago would end a grant of today."""
        grant = self.grants.get(message.lease)
        if grant is None or not self._same(grant, message.source) or grant.token != message.token:
            return
        if message.heir:
            grant.heir = message.heir
            grant.until = min(grant.until, now + self.terms.transfer_reservation)
        else:
            del self.grants[message.lease]

    def _say(self, to: ProcessIdentity, message: Message) -> None:
        self.out.append(OutgoingMessage(to.address, message))
