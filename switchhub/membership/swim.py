"""One balancer's knowledge of the others: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's refinements
(Dadgar, Phillips, Currey 2018): messages and the time in; messages, a deadline and changes out.

Owns: what this balancer believes of each member, its own incarnation, what it still has to tell. Must never:
do I/O, read a clock, or bury anybody because of its own lateness.

Each period one member, in a shuffled order, is asked (`Ping`). Who does not answer in time is asked once
more in few bytes, and through some others (`IndirectPing`). Who has not answered at the period's end is
suspected, which the others hear in passing (`news`, each so many times), and is buried after a time that
shrinks with each further witness, unless it says itself that it lives, in a higher incarnation. The dead are
remembered and called on, so that a split mends, and whole beliefs are exchanged on joining and now and then.

Times are seconds of a clock that only rises; incarnations are compared with nothing but each other. What is
heard may exceed what is known by `LEAP` at most, so the greatest number (`messages.MOST`) is out of reach.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import chain
from typing import NamedTuple

from switchhub.membership.messages import (
    Ack,
    FullState,
    IndirectPing,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    Source,
    State,
)
from switchhub.membership.random_source import RandomSource

HEALTH_MAX = 5  # how unwell a balancer may hold itself to be: its times are 1 + so many times as long
ROOM = 1000  # bytes of news in a datagram, by `_weight`
NEWS_MOST = 32  # news in a datagram
CORRECT = 12  # of these, such as correct what the asker told
MEMBERS_MOST = 4000  # names that are remembered, whatever is said
LEAP = 1 << 20  # by how much an incarnation may exceed the last one known
RELAYS_MOST = 256  # questions asked for others at a time
CALLS = 5  # of the dead and the seeds at a time, as long as nobody is known
CLAIMS = 5  # times that a name is claimed back from one life before that counts as living
YOUNG = 1000  # milliseconds of age below which two processes count as started together
ALIVE, SUSPECT, DEAD, LEFT = State.ALIVE, State.SUSPECT, State.DEAD, State.LEFT


@dataclass(frozen=True, slots=True)
class Options:
    """Seconds, and how many."""

    probe_interval: float = 0.25  # between two members asked
    probe_timeout: float = 0.1  # in which an answer is due before others are sent
    indirect_probes: int = 3  # others that are sent
    retransmit_mult: int = 4  # times log10 of the members that each news is told
    suspicion_mult: float = 4.0  # periods times log10 of the members that a suspicion lasts at least
    suspicion_max_mult: float = 2.0  # times as long, as long as there is one witness
    retention: float = 600.0  # the dead and the left
    reconnect_interval: float = 1.0  # between two calls on one of the dead, or on a seed
    full_state_interval: float = 10.0  # between two exchanges of all beliefs


class Send(NamedTuple):
    """A message to an address; a `FullState` goes over a connection."""

    address: str
    message: Message


class Change(NamedTuple):
    """What this balancer believes of a member has changed."""

    name: str
    before: State | None
    after: State
    incarnation: int
    why: str
    witnesses: tuple[str, ...]


@dataclass(slots=True)
class Member:
    """One of the others."""

    latest: MemberUpdate
    since: float
    why: str
    begun: float = 0.0  # of the suspicion
    dead_at: float = math.inf
    witnesses: tuple[str, ...] = ()
    hearsay: bool = False  # never known to live here, and so not passed on
    via: str = ""  # who reached it for us when we did not


@dataclass(slots=True)
class Probe:
    """The member that is asked in this period."""

    seq: int
    name: str
    retry_at: float
    indirect_probers: int | None = None  # how many were sent, once they were
    nacks: int = 0
    answered: bool = False


@dataclass(slots=True)
class Relay:
    """A question asked for somebody else."""

    address: str
    seq: int
    target: str
    nack_at: float


class Membership:
    """See the file's head."""

    def __init__(
        self,
        name: str,
        address: str,
        life: int,
        seeds: tuple[str, ...],
        options: Options,
        seed: int,
        now: float,
    ) -> None:
        self.name, self.address, self.life = name, address, life
        self.options = options
        self.incarnation = 0
        self.health = 0  # 0 is well
        self.has_left = False
        self.renamed_from = ""  # another process has our name
        self.members: dict[str, Member] = {}
        self._in: dict[State, dict[str, None]] = {state: {} for state in State}  # names by state
        self.out: list[Send] = []
        self.changes: list[Change] = []
        self.counts: dict[str, int] = {}
        self._seeds = tuple(each for each in seeds if each != address)
        self._random = RandomSource(seed)
        self._begun = now
        self._seq = 0
        self._ring: list[str] = []  # whom to ask in this round, the last first
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}
        self._challenges: dict[int, int] = {}  # questions to another process with our name, and its life
        self._claims: dict[int, int] = {}  # how often a life has claimed our name
        self._transmit_counts: dict[str, int] = {}  # what is still to be told, and how often it has been
        self._queue: list[dict[str, None]] = [{}]  # the same, by how often
        self._period_at = now + options.probe_interval * self._random.random()
        self._reconnect_at = now
        self._whole_at = now + options.full_state_interval * (0.5 + self._random.random())
        self._forget_at = now + options.retention / 10
        self._eager_at = now
        self._due = now  # what `deadline` said last
        self._announce_self()

    # What is believed.

    def names_in(self, *states: State) -> list[str]:
        """Names of those in one of these states."""
        return [name for state in states for name in self._in[state]]

    @property
    def count(self) -> int:
        """Members that count: this one, the living and the suspects."""
        return 1 + len(self._in[ALIVE]) + len(self._in[SUSPECT])

    @property
    def view(self) -> str:
        """`alone`: hears nobody. `doubtful`: somebody is suspected, this balancer was late or missed answers
        just now, its name is not its own, or half of those remembered are buried, so that it may be the one
        cut off. `sure`: else."""
        alive, suspect, dead = (len(self._in[state]) for state in (ALIVE, SUSPECT, DEAD))
        if not alive:
            return "alone"
        doubt = suspect or self.health or self.renamed_from or 2 * (alive + 1) <= alive + 1 + dead
        return "doubtful" if doubt else "sure"

    def deadline(self) -> float:
        """When `turn` is due at the latest."""
        due = min(self._period_at, self._reconnect_at, self._whole_at, self._forget_at)
        if self._probe is not None and not self._probe.answered:
            due = min(due, self._probe.retry_at)
        for relay in self._relays.values():
            due = min(due, relay.nack_at)
        for name in self._in[SUSPECT]:
            due = min(due, self.members[name].dead_at)
        self._due = due
        return due

    # Time.

    def turn(self, now: float) -> None:
        """Do what is due."""
        self._notice(now)
        if self.has_left:
            self._period_at = self._reconnect_at = self._whole_at = self._forget_at = math.inf
            return
        probe = self._probe
        if probe is not None and not probe.answered and now >= probe.retry_at:
            self._retry_probe(probe, now)
        for seq, relay in list(self._relays.items()):
            if now >= relay.nack_at:
                del self._relays[seq]
                self._send(relay.address, Nack(relay.seq, self._source(now)))
        for name in self.names_in(SUSPECT):
            if now >= self.members[name].dead_at:
                self._declare_dead(name, self.members[name], now)
        if now >= self._period_at:
            self._next_period(now)
        if now >= self._reconnect_at:
            self._reconnect(now)
        if now >= self._whole_at:
            self._whole_at = now + self.options.full_state_interval * (0.5 + self._random.random())
            if alive := self.names_in(ALIVE):
                self._exchange(self.members[self._random.choice(alive)].latest.address, True, now)
        if now >= self._forget_at:
            self._forget(now)
        self.deadline()

    def _notice(self, now: float) -> None:
        """Danger: one that slept would find every answer missing and every suspicion over. What it asked is
        void, and who is suspected gets the time back."""
        slept = now - self._due
        if slept <= self.options.probe_interval or self.has_left:
            return
        self._count("slept")
        self._due = now
        self._worse()
        self._probe = None
        self._relays.clear()
        self._period_at = now + self.options.probe_timeout
        for name in self._in[SUSPECT]:
            self.members[name].dead_at += slept

    def _next_period(self, now: float) -> None:
        probe, self._probe = self._probe, None
        if probe is not None and not probe.answered:
            self._unanswered(probe, now)
        self._period_at = now + self.options.probe_interval * (1 + self.health)
        name = self._next_name()
        if name is None:
            return
        member = self.members[name]
        self._seq += 1
        self._probe = Probe(self._seq, name, now + self.options.probe_timeout * (1 + self.health))
        self._count("asked")
        first = (name,) if member.latest.state is not ALIVE else ()
        self._send(member.latest.address, Ping(self._seq, self._source(now), name, self._pick(first)))

    def _next_name(self) -> str | None:
        for _ in range(2):
            while self._ring:
                name = self._ring.pop()
                if name in self.members and self.members[name].latest.state <= SUSPECT:
                    return name
            self._ring = self._random.shuffled(self.names_in(ALIVE, SUSPECT))
        return None

    def _retry_probe(self, probe: Probe, now: float) -> None:
        """In few bytes, for a path may pass only small datagrams; the first time through others as well."""
        probe.retry_at = now + self.options.probe_timeout * (1 + self.health)
        if probe.name not in self.members:
            return
        news = self.members[probe.name].latest
        if probe.indirect_probers is None:
            others = [name for name in self.names_in(ALIVE) if name != probe.name]
            asked = self._random.sample(others, self.options.indirect_probes)
            # Danger: where one alone sees both sides, by lot it is sent now and then only, and the living are
            # buried: 25 in a minute among seven.
            via = self.members[probe.name].via
            if via in others and via not in asked:
                asked = [*asked[1:], via]
            probe.indirect_probers = len(asked)
            for name in asked:
                question = IndirectPing(
                    probe.seq, self._source(now), probe.name, news.address, self._pick(())
                )
                self._send(self.members[name].latest.address, question)
            # Danger: a loop that is late by less than a period would judge in the same breath.
            rest = (self.options.probe_interval - self.options.probe_timeout) * (1 + self.health)
            self._period_at = max(self._period_at, now + rest)
        self._send(news.address, Ping(probe.seq, self._source(now), probe.name, (), True))

    def _unanswered(self, probe: Probe, now: float) -> None:
        """Danger: one whose own network or core is slow accuses everybody. Silence of all that were asked to
        help is counted against oneself; of some it is not, for where half have died at once some are dead."""
        member = self.members.get(probe.name)
        self._count("unanswered")
        if not probe.nacks:
            self._worse()
        if member is not None and member.latest.state <= SUSPECT:
            self._apply(_as(member.latest, SUSPECT, self.name), now, "did not answer")

    def _declare_dead(self, name: str, member: Member, now: float) -> None:
        member.dead_at = math.inf
        if member.latest.state is SUSPECT:
            self._count("buried")
            why = f"suspected for {now - member.begun:.1f} s, refuted by nobody"
            self._apply(_as(member.latest, DEAD, self.name), now, why)

    def _reconnect(self, now: float) -> None:
        """One of the dead, or a seed that is nobody's address: a split mends if somebody calls across."""
        self._reconnect_at = now + self.options.reconnect_interval * (0.75 + 0.5 * self._random.random())
        living = {self.members[name].latest.address for name in self.names_in(ALIVE, SUSPECT)}
        dead = {self.members[name].latest.address: name for name in self._in[DEAD]}
        calls = [*dead, *(each for each in self._seeds if each not in living and each not in dead)]
        if not calls:
            return
        # Danger: one that knows nobody and calls a single seed at a time may meet a dead one again and again.
        for address in self._random.sample(calls, 1 if living else CALLS):
            about = (dead[address],) if address in dead else ()
            self._send(address, Ping(0, self._source(now), "", self._pick(about, len(about))))

    def _exchange(self, address: str, wants: bool, now: float) -> None:
        known = [self._own_update(), *(each.latest for each in self.members.values() if not each.hearsay)]
        self._send(address, FullState(self._source(now), tuple(known[:4096]), wants))

    def _forget(self, now: float) -> None:
        self._forget_at = now + self.options.retention / 10
        for name, member in list(self.members.items()):
            if member.latest.state >= DEAD and now - member.since >= self.options.retention:
                del self.members[name]
                self._in[member.latest.state].pop(name)
                self._set_transmit_count(name, None)

    # Messages.

    def receive(self, now: float, message: Message) -> None:
        """Somebody says something."""
        self._notice(now)
        if self.has_left:
            return
        source = message.source
        if isinstance(message, FullState):
            self._hear_whole(message, now)
            return
        stale = self._hear_source(source, now, isinstance(message, Ack))
        for news in () if isinstance(message, Nack) else message.updates:
            self._apply(news, now, f"said by {source.name}")
            known = self.members.get(news.name)
            if known is not None and known.latest.supersedes(news):
                stale = (*stale, news.name)
        if isinstance(message, Ping):
            if message.target in ("", self.name):
                # Danger: under loss a refutation waits in a queue while the suspicion goes round; who
                # tells an old word hears the later one in the answer.
                told = self._pick(stale[:CORRECT], 0 if message.bare else NEWS_MOST)
                self._send(source.address, Ack(message.seq, self._source(now), told))
            else:
                self._count("misdirected")
        elif isinstance(message, IndirectPing):
            self._relay(message, now)
        elif isinstance(message, Ack):
            self._answered(message, now)
        elif self._probe is not None and message.seq == self._probe.seq:
            self._probe.nacks += 1

    def _hear_source(self, source: Source, now: float, answers: bool) -> tuple[str, ...]:
        """Who sends lives; the name of what we know better of it, to be told in reply."""
        if source.name == self.name:
            if source.life != self.life:
                self._about_name(source.as_update(), now)
                return (self.name,)
            return ()
        self._apply(source.as_update(), now, "answers" if answers else "speaks")
        member = self.members.get(source.name)
        known = None if member is None else member.latest
        if known is None or (known.state is ALIVE and known.life == source.life):
            return ()
        return (source.name,)

    def _hear_whole(self, message: FullState, now: float) -> None:
        source = message.source
        self._hear_source(source, now, False)
        for news in message.members:
            known = self.members.get(news.name)
            if news.state is DEAD and known is not None and known.latest.state <= SUSPECT:
                # Danger: after a split each side says that the other is dead: they get to refute it.
                news = _as(news, SUSPECT, source.name)
            self._apply(news, now, f"said by {source.name}")
        if message.wants:
            self._exchange(source.address, False, now)

    def _relay(self, message: IndirectPing, now: float) -> None:
        if len(self._relays) >= RELAYS_MOST:
            self._count("relays.refused")
            return
        self._seq += 1
        nack_at = now + self.options.probe_timeout
        self._relays[self._seq] = Relay(message.source.address, message.seq, message.target, nack_at)
        self._send(message.address, Ping(self._seq, self._source(now), message.target, (), True))

    def _answered(self, message: Ack, now: float) -> None:
        probe, source = self._probe, message.source
        if probe is not None and message.seq == probe.seq and source.name == probe.name:
            if not probe.answered:
                probe.answered = True
                self.health //= 2  # it is told soon that we are well again
                if message.via and (member := self.members.get(probe.name)) is not None:
                    member.via = message.via
            return
        relay = self._relays.get(message.seq)
        if relay is not None and relay.target == source.name:
            del self._relays[message.seq]
            self._send(relay.address, Ack(relay.seq, source, (), self.name))
        elif message.seq in self._challenges and source.life == self._challenges.pop(message.seq):
            if source.name == self.name:  # else it has given the name up already
                self._two_of_one_name(source.as_update(), source.age, now)

    def leave(self, now: float) -> None:
        """Say that we go; after that nothing is heard or said."""
        if self.has_left:
            return
        news = MemberUpdate(self.name, self.address, self.life, self.incarnation, LEFT, self.name)
        alive = self.names_in(ALIVE)
        for name in self._random.sample(alive, 3 + 2 * len(alive).bit_length()):
            self._send(self.members[name].latest.address, Ping(0, self._source(now), "-", (news,), True))
        self.has_left = True

    # What is said of members.

    def _apply(self, news: MemberUpdate, now: float, why: str) -> None:
        """One word; the later one stands, whoever brings it in whatever order."""
        if news.name == self.name:
            self._about_name(news, now)
            return
        member = self.members.get(news.name)
        if news.incarnation > (LEAP if member is None else member.latest.incarnation + LEAP):
            self._count("refused")  # forged, or a defect: nobody could refute it
            return
        if member is None:
            if len(self.members) >= MEMBERS_MOST:
                self._count("refused")
                return
            member = self.members[news.name] = Member(news, now, why, hearsay=news.state >= DEAD)
            self._ring.insert(self._random.randrange(len(self._ring) + 1), news.name)
            self._set(member, None, news, now, why)
        elif news.supersedes(member.latest):
            self._set(member, member.latest.state, news, now, why)
        elif news.state is SUSPECT and member.latest.state is SUSPECT:
            if news.incarnation == member.latest.incarnation:
                self._witness(member, news)

    def _set(self, member: Member, before: State | None, news: MemberUpdate, now: float, why: str) -> None:
        if before is not None:
            self._in[before].pop(news.name)
        self._in[news.state][news.name] = None
        member.latest, member.why = news, why
        member.dead_at, witnesses = math.inf, member.witnesses
        member.witnesses = ()
        if news.state is SUSPECT:
            witnesses = member.witnesses = (news.by,) if news.by else ()
            member.begun = now
            member.dead_at = now + self._suspicion_duration(member)
            self._count("suspected")
        elif news.state is DEAD and news.by not in witnesses:
            witnesses = (*witnesses, news.by)
        member.hearsay = member.hearsay and news.state >= DEAD
        if not member.hearsay:
            # Danger: the dead that are passed on by those who know them by hearsay are never forgotten.
            self._set_transmit_count(news.name, 0)
        if news.state is not before:
            member.since = now
            told = () if news.state is ALIVE else witnesses
            self.changes.append(Change(news.name, before, news.state, news.incarnation, why, told))
            if news.state is ALIVE and (len(self._in[ALIVE]) == 1 if before is None else before >= DEAD):
                self._whole_at = min(self._whole_at, now + self.options.probe_timeout * self._random.random())

    def _witness(self, member: Member, news: MemberUpdate) -> None:
        """One more who suspects it."""
        if news.by in member.witnesses or len(member.witnesses) > self._wanted():
            return
        member.witnesses = (*member.witnesses, news.by)
        member.dead_at = member.begun + self._suspicion_duration(member)
        member.latest = news  # so that the others hear this witness too
        self._set_transmit_count(news.name, 0)

    def _wanted(self) -> int:
        """Further witnesses with which a suspicion is as short as it may be."""
        return max(0, min(2, self.count - 3))

    def _suspicion_duration(self, member: Member) -> float:
        """Seconds that a suspicion lasts with the witnesses that it has."""
        least = (
            self.options.suspicion_mult
            * max(1.0, math.log10(max(1, self.count)))
            * self.options.probe_interval
        )
        most, wanted = least * self.options.suspicion_max_mult, self._wanted()
        if not wanted:
            return most
        part = math.log(max(1, len(member.witnesses))) / math.log(wanted + 1)
        return max(least, most - (most - least) * part)

    # What is said of ourselves.

    def _about_name(self, news: MemberUpdate, now: float) -> None:
        """Somebody speaks of the one that has our name."""
        if news.incarnation > self.incarnation + LEAP:
            # Danger: were this outbid, the others would refuse our own word from then on.
            self._count("refused")
            return
        other = news.life != self.life
        if news.incarnation < self.incarnation or (news.state is ALIVE and not other):
            if news.incarnation > self.incarnation:
                self._raise_incarnation(news.incarnation)
            return
        if news.state is ALIVE and news.address != self.address:
            # A former process of ours that the others remember, or one that lives (but not at our address).
            self._claims[news.life] = claims = self._claims.get(news.life, 0) + 1
            self._challenge(news, now)
            if claims >= CLAIMS:
                self._two_of_one_name(news, None, now)
                return
        elif news.state is not ALIVE:
            self._count("refuted")
            if not other:
                self._worse()
        self._raise_incarnation(news.incarnation)
        if news.state is not ALIVE and now >= self._eager_at:
            # At once: it may be the last moment, or we stand still again. Danger: each of these is answered,
            # and where the answer accuses us once more, three become nine.
            self._eager_at = now + self.options.probe_timeout
            for name in self._random.sample(self.names_in(ALIVE), self.options.indirect_probes):
                ping = Ping(0, self._source(now), name, (self._own_update(),), True)
                self._send(self.members[name].latest.address, ping)

    def _raise_incarnation(self, above: int) -> None:
        self.incarnation = above + 1
        self._announce_self()

    def _challenge(self, news: MemberUpdate, now: float) -> None:
        """A fresh question, so that an answer can't be an old one."""
        if len(self._challenges) < RELAYS_MOST:
            self._seq += 1
            self._challenges[self._seq] = news.life
            self._send(news.address, Ping(self._seq, self._source(now), self.name, (), True))

    def _two_of_one_name(self, news: MemberUpdate, age: int | None, now: float) -> None:
        """Another process lives under our name: the younger one goes on under a name of its own."""
        mine = int((now - self._begun) * 1000)
        together = age is None or abs(age - mine) < YOUNG
        yields = self.life < news.life if together or age is None else mine < age
        why = f"two processes have this name, the other one at {news.address}"
        self._count("conflicts")
        self.changes.append(Change(self.name, None, ALIVE, self.incarnation, why, ()))
        if not yields:
            self._claims.pop(news.life, None)
            self._raise_incarnation(max(self.incarnation, news.incarnation))
            return
        self.renamed_from, taken = self.name, self.name
        self._set_transmit_count(self.name, None)
        self.name = f"{taken[:55]}~{self.life:08x}"
        self._apply(_as(news, ALIVE, taken), now, "speaks")
        self._announce_self()

    # What is told.

    def _source(self, now: float) -> Source:
        age = max(0, int((now - self._begun) * 1000))
        return Source(self.name, self.address, self.life, self.incarnation, age)

    def _own_update(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.address, self.life, self.incarnation, ALIVE, self.name)

    def _announce_self(self) -> None:
        self._set_transmit_count(self.name, 0)

    def _set_transmit_count(self, name: str, times: int | None) -> None:
        """It has been told so often; None: it need not be told."""
        before = self._transmit_counts.pop(name, None)
        if before is not None:
            self._queue[before].pop(name)
        if times is not None:
            while len(self._queue) <= times:
                self._queue.append({})
            self._transmit_counts[name] = times
            self._queue[times][name] = None

    def _pick(self, first: tuple[str, ...], most: int = NEWS_MOST) -> tuple[MemberUpdate, ...]:
        """What goes along: these first, then what has been told least."""
        picked: dict[str, MemberUpdate] = {}
        room = ROOM
        limit = self.options.retransmit_mult * max(1, math.ceil(math.log10(self.count + 1)))
        queue = chain.from_iterable(self._queue) if most > len(first) else ()
        for name in chain(first, queue):
            if len(picked) >= max(most, len(first)):
                break
            known = self._own_update() if name == self.name else self.members[name].latest
            weight = len(name.encode()) + len(known.address) + len(known.by.encode()) + 24
            if weight > room:
                break
            room -= weight
            picked[name] = known
        for name in picked:
            if (told := self._transmit_counts.get(name)) is not None:
                self._set_transmit_count(name, told + 1 if told + 1 < limit else None)
        return tuple(picked.values())

    def _send(self, address: str, message: Message) -> None:
        self.out.append(Send(address, message))

    def _worse(self) -> None:
        self.health = min(HEALTH_MAX, self.health + 1)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _as(news: MemberUpdate, state: State, by: str) -> MemberUpdate:
    return MemberUpdate(news.name, news.address, news.life, news.incarnation, state, by)
