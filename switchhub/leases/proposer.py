"""What one balancer wants to hold and holds: asking, bidding, renewing, letting go, handing on.

Owns: for each name that it wants, how far it is, under which token it holds, and until when by its own clock.
Must never: do I/O, read a clock, say that it holds a name for longer than the word of a majority, or ask a
voter twice for what one message can say of all names.

A name is held until `sent + length - margin`, `sent` being when the request was sent that the majority's last
confirming voter had; whoever acts looks at the time before (`held`).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from switchhub.leases.config import TOKEN_JUMP, LeaseConfig, mark
from switchhub.leases.messages import (
    Message,
    OutgoingMessage,
    ProcessIdentity,
    ProposeReply,
    ProposeRequest,
    ReleaseReply,
    ReleaseRequest,
    RenewReply,
    RenewRequest,
    StatusReply,
    StatusRequest,
    TransferNotice,
)
from switchhub.membership.random_source import RandomSource

WITHIN = 0.3  # seconds in which the voters' answers are due
ONCE_MORE = 0.15  # seconds after which who has not answered is told once more: one loss costs no whole try
AGAIN = 0.1  # seconds between two tries at least, for lots and for what is repeated
TRIES = 30  # times at most that a word which frees a name is said
FIXES = 32  # names that are told to one voter once more in one go


class Event(NamedTuple):
    """Something has become of a name."""

    lease: str
    what: str  # held, raised, weak, lost, released, handed on; taken: somebody else holds it
    token: int
    why: str


@dataclass(slots=True)
class Votes:
    """What the voters have said to one token."""

    token: int
    seq: int
    sent: float
    due: float  # when answers are overdue
    again: float  # when who has not answered is told once more
    mark: int
    yes: dict[str, float] = field(default_factory=dict)  # by voter, when what it confirmed was sent
    no: set[str] = field(default_factory=set)
    until: float = -math.inf  # to which a majority has confirmed it


@dataclass(slots=True)
class Want:
    """One name."""

    lease: str
    next_attempt_at: float  # when it is asked for, or when answers are overdue
    asking: int = 0  # the number of the question that is out
    again: float = math.inf  # when who has not answered it is asked once more
    told: dict[str, StatusReply] = field(default_factory=dict)  # by voter, in this try
    bid: Votes | None = None  # what is out
    hold: Votes | None = None  # what is held
    first: int = 0  # the token under which it came to be held: raised ones are this hold's too
    tries: int = 0
    weak: bool = False

    @property
    def state(self) -> str:
        """For people."""
        if self.hold is not None:
            return "weak" if self.weak else "held"
        return "bidding" if self.bid is not None else "asking" if self.asking else "waiting"


@dataclass(slots=True)
class Gone:
    """A token that is over, until the voters have heard so."""

    lease: str
    token: int
    heir: str
    left: set[str]  # voters
    at: float
    tries: int = 0
    seq: int = 0


class Proposer:
    """See the file's head."""

    def __init__(self, me: ProcessIdentity, terms: LeaseConfig, seed: int, now: float) -> None:
        self.me, self.terms = me, terms
        self.out: list[OutgoingMessage] = []
        self.events: list[Event] = []
        self.wanted: dict[str, Want] = {}
        self.known: dict[str, int] = {}  # the highest token heard of, by name
        self._lot = RandomSource(seed)
        self._seq = 0
        self._gone: list[Gone] = []
        self._renew_at = math.inf
        self._renews: dict[int, float] = {}  # rounds that are out, and when they were sent
        self._unheard: set[str] = set()  # voters that have not answered the last one
        self._renew_again = math.inf  # when these are told once more

    # What is asked of it.

    def acquire(self, lease: str, now: float) -> None:
        """Hold it, as soon as that can be, for as long as that can be."""
        if lease not in self.wanted:
            self.wanted[lease] = Want(lease, now)

    def release(self, lease: str, now: float, heir: str = "", address: str = "") -> None:
        """Let it go: to an heir, or to whoever asks. It is not held from this moment on."""
        want = self.wanted.pop(lease, None)
        if want is None:
            return
        if want.bid is not None:
            self._free(lease, want.bid.token, "", now)
        if want.hold is not None:
            what = f"handed on to {heir}" if heir else "released"
            self.events.append(Event(lease, "handed on" if heir else "released", want.hold.token, what))
            self._free(lease, want.hold.token, heir, now)
            if address:
                self._seq += 1
                self._say(address, TransferNotice(self._seq, self.me, lease, want.hold.token))

    def held_token(self, lease: str, now: float) -> int | None:
        """Its token, if it is held at this moment; to be asked before each effect and after each wait."""
        want = self.wanted.get(lease)
        if want is None or want.hold is None or now >= want.hold.until:
            return None
        return want.hold.token

    def left(self, lease: str, now: float) -> float:
        """Seconds for which it is held still."""
        want = self.wanted.get(lease)
        return 0.0 if want is None or want.hold is None else max(0.0, want.hold.until - now)

    def _confirm(self, votes: Votes, voter: str, sent: float) -> None:
        """Danger: counted from when the answer came, a lease would outlive the word it stands on."""
        votes.yes[voter] = max(sent, votes.yes.get(voter, -math.inf))
        votes.until = self._end(votes)

    def _end(self, votes: Votes) -> float:
        """Of the majority's words the last one ends first."""
        return self.terms.confirmed(votes.yes) + self.terms.length - self.terms.margin

    # Time.

    def deadline(self) -> float:
        """When `turn` is due at the latest."""
        due = min(self._renew_at, self._renew_again)
        for want in self.wanted.values():
            if want.bid is not None:
                due = min(due, want.bid.due, want.bid.again)
            if want.hold is not None:
                due = min(due, want.hold.until)
            elif want.bid is None:
                # Danger: named while a bid is out it lies in the past, and whoever waits for it spins.
                due = min(due, want.next_attempt_at, want.again)
        for gone in self._gone:
            due = min(due, gone.at)
        return due

    def turn(self, now: float) -> None:
        """Do what is due."""
        for want in list(self.wanted.values()):
            if want.hold is not None and now >= want.hold.until:
                self._lose(want, now)
            if want.bid is not None and now >= want.bid.due:
                self._give_up(want, now)
            elif want.hold is None and want.bid is None and now >= want.next_attempt_at:
                if want.asking:
                    self._later(want, now, AGAIN)
                else:
                    self._ask(want, now)
            self._once_more(want, now)
        if now >= self._renew_at:
            self._renew(now)
        if now >= self._renew_again:
            self._renew_again = math.inf
            self._say_renew(self._unheard, now)
        for gone in self._gone:
            if now >= gone.at:
                self._say_gone(gone, now)
        self._gone = [gone for gone in self._gone if gone.left and gone.tries < TRIES]

    def _once_more(self, want: Want, now: float) -> None:
        """Danger: where just a majority is left, each voter's word is needed in each try, and of seven voters
        with a fifth of all messages lost one try in forty succeeds."""
        if want.bid is not None and now >= want.bid.again:
            want.bid.again = math.inf
            for voter in self.terms.every:
                if voter not in want.bid.yes and voter not in want.bid.no:
                    self._say_bid(voter, want.lease, want.bid)
        elif want.asking and now >= want.again:
            want.again = math.inf
            for voter in self.terms.every:
                if voter not in want.told:
                    self._say_ask(voter, want)

    def _lose(self, want: Want, now: float) -> None:
        assert want.hold is not None
        token, want.hold, want.weak = want.hold.token, None, False
        self.events.append(Event(want.lease, "lost", token, "no majority has confirmed it in time"))
        self._free(want.lease, token, "", now)
        if want.bid is None:
            self._later(want, now, AGAIN)

    def _later(self, want: Want, now: float, wait: float) -> None:
        """Try again after that, and a lot: candidates that wait alike meet again and again."""
        want.tries += 1
        want.asking, want.again, want.told = 0, math.inf, {}
        want.next_attempt_at = now + wait + self._lot.random() * AGAIN * min(8, want.tries)

    def _ask(self, want: Want, now: float) -> None:
        self._seq += 1
        want.asking, want.next_attempt_at, want.told = self._seq, now + WITHIN, {}
        want.again = now + ONCE_MORE
        for voter in self.terms.every:
            self._say_ask(voter, want)

    def _say_ask(self, voter: str, want: Want) -> None:
        self._say(voter, StatusRequest(want.asking, self.me, want.lease, self.known.get(want.lease, 0)))

    def _bid(self, want: Want, now: float, token: int) -> None:
        self._seq += 1
        want.asking, want.again, want.told = 0, math.inf, {}
        want.bid = Votes(token, self._seq, now, now + WITHIN, now + ONCE_MORE, mark(want.lease, token))
        self._know(want.lease, token)
        for voter in self.terms.every:
            self._say_bid(voter, want.lease, want.bid)

    def _say_bid(self, voter: str, lease: str, votes: Votes) -> None:
        length = round(self.terms.length * 1000)
        self._say(
            voter, ProposeRequest(votes.seq, self.me, lease, votes.token, length, self.terms.electorate)
        )

    def _give_up(self, want: Want, now: float) -> None:
        """No majority. Danger: while a former token is held, its voters must not be freed of the new one."""
        assert want.bid is not None
        token, want.bid = want.bid.token, None
        if want.hold is None:
            self._free(want.lease, token, "", now)
            self._later(want, now, AGAIN)

    def _free(self, lease: str, token: int, heir: str, now: float) -> None:
        gone = Gone(lease, token, heir, set(self.terms.every), now)
        self._gone.append(gone)
        self._say_gone(gone, now)

    def _say_gone(self, gone: Gone, now: float) -> None:
        self._seq += 1
        # Danger: a voter that does not hear it keeps the name for us with each renewal.
        gone.seq, gone.tries, gone.at = self._seq, gone.tries + 1, now + AGAIN * min(10, 1 + gone.tries)
        for voter in sorted(gone.left):
            self._say(voter, ReleaseRequest(gone.seq, self.me, gone.lease, gone.token, gone.heir))

    def _renew(self, now: float) -> None:
        """All that is held, in one message for each voter."""
        holds = [want for want in self.wanted.values() if want.hold is not None]
        self._renew_at = now + self.terms.length / 4 if holds else math.inf
        for seq, sent in list(self._renews.items()):
            if now - sent > self.terms.length:
                del self._renews[seq]
        if not holds:
            self._renew_again = math.inf
            return
        self._unheard, self._renew_again = set(self.terms.every), now + ONCE_MORE
        self._say_renew(self._unheard, now)
        for want in holds:
            left = self.left(want.lease, now)
            if want.hold is not None and not want.weak and left < self.terms.length / 2:
                want.weak = True
                self.events.append(Event(want.lease, "weak", want.hold.token, f"ends in {left:.2f} s"))

    def _say_renew(self, voters: set[str], now: float) -> None:
        """Each is a round of its own: a voter passes over one that it has heard."""
        self._seq += 1
        self._renews[self._seq] = now
        for voter in sorted(voters):
            self._say(
                voter,
                RenewRequest(self._seq, self.me, round(self.terms.length * 1000), self.terms.electorate),
            )

    # Messages.

    def receive(self, now: float, message: Message) -> None:
        """A voter answers, or a holder hands on."""
        voter = message.source.address
        if isinstance(message, TransferNotice):
            self._hear_pass(message, now)
        elif voter not in self.terms.every:
            return
        elif isinstance(message, StatusReply):
            self._hear_told(message, voter, now)
        elif isinstance(message, ProposeReply):
            self._hear_answer(message, voter, now)
        elif isinstance(message, RenewReply):
            self._hear_renewed(message, voter, now)
        elif isinstance(message, ReleaseReply):
            for gone in self._gone:
                if gone.seq == message.seq:
                    gone.left.discard(voter)

    def _know(self, lease: str, token: int) -> None:
        self.known[lease] = max(token, self.known.get(lease, 0))

    def _hear_told(self, message: StatusReply, voter: str, now: float) -> None:
        want = self.wanted.get(message.lease)
        self._know(message.lease, message.top)
        if want is None or not want.asking or want.asking != message.seq:
            return
        want.told[voter] = message
        told = want.told.values()
        if self.terms.won({name for name, each in want.told.items() if each.is_voting and not each.holder}):
            self._bid(want, now, max(each.top for each in told) + 1)
            return
        left = {name: each.left_ms / 1000 for name, each in want.told.items() if each.is_voting}
        rest = {name for name in self.terms.every if not left.get(name)}
        if not self.terms.won(rest) and self.terms.won(left):
            # Held, whatever the others say: ask when it may be over, and sooner, for it may be let go.
            # Danger: concluded from fewer, one voter that keeps an old word and is heard first puts all off.
            want.tries = 0
            over = -self.terms.confirmed({name: -each for name, each in left.items()})
            self._later(want, now, min(over, self.terms.length / 4))
            self.events.append(
                Event(want.lease, "taken", 0, next(each.holder for each in told if each.holder))
            )

    def _hear_answer(self, message: ProposeReply, voter: str, now: float) -> None:
        want = self.wanted.get(message.lease)
        self._know(message.lease, message.top)
        if want is None:
            return
        bid, hold = want.bid, want.hold
        if bid is not None and message.seq == bid.seq:
            if not message.yes:
                bid.no.add(voter)
                if not self.terms.won(set(self.terms.every) - bid.no):
                    self._give_up(want, now)
                return
            self._confirm(bid, voter, bid.sent)
            if bid.until > now:
                what = "raised" if hold is not None else "held"
                want.first = bid.token if hold is None else want.first
                want.hold, want.bid, want.tries = bid, None, 0
                self.events.append(Event(want.lease, what, bid.token, f"{len(bid.yes)} voters"))
                self._renew_at = min(self._renew_at, now + self.terms.length / 4)
        elif hold is not None and message.seq == hold.seq:
            if message.yes:
                self._confirm(hold, voter, hold.sent)
            elif message.why == "token spent" and bid is None:
                # A voter that has forgotten calls our token spent: on under a higher one, at all of them.
                self._bid(want, now, self.known[want.lease] + 1)

    def _hear_renewed(self, message: RenewReply, voter: str, now: float) -> None:
        sent = self._renews.get(message.seq)
        if sent is None:
            return
        self._unheard.discard(voter)
        if not self._unheard:
            self._renew_again = math.inf
        mine = [(want, want.hold) for want in self.wanted.values() if want.hold is not None]
        there = [(want, hold) for want, hold in mine if voter in hold.yes]
        digest = sum(hold.mark for _, hold in there) % 2**62
        if digest == message.digest and len(there) == message.count:
            ends: dict[tuple[tuple[str, float], ...], float] = {}  # most names are confirmed alike
            for want, hold in there:
                if sent > hold.yes[voter]:
                    hold.yes[voter] = sent
                    key = tuple(hold.yes.items())
                    if key not in ends:
                        ends[key] = self._end(hold)
                    hold.until = ends[key]
                    if want.weak:
                        want.weak = hold.until - now < self.terms.length / 2
            mine = [(want, hold) for want, hold in mine if voter not in hold.yes]
        for want, hold in mine[:FIXES]:
            if want.bid is None:
                self._say_bid(voter, want.lease, hold)

    def _hear_pass(self, message: TransferNotice, now: float) -> None:
        want = self.wanted.get(message.lease)
        if want is not None and want.hold is None and want.bid is None:
            self._know(message.lease, min(message.token, self.known.get(message.lease, 0) + TOKEN_JUMP))
            self._bid(want, now, self.known[message.lease] + 1)

    def _say(self, voter: str, message: Message) -> None:
        self.out.append(OutgoingMessage(voter, message))
