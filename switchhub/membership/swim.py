"""Failure detection and member list of one balancer: SWIM (Das, Gupta, Motivala 2002) with the refinements
of Lifeguard (Dadgar, Phillips, Currey 2018).

The module does no I/O and reads no clock. Callers pass in received messages and the current time, and collect
messages to send (`out`), changes of members' states (`changes`) and the time of the next call (`deadline`).

In each period one member, taken from a shuffled list, is probed with a `Ping`. If it does not acknowledge in
time it is pinged again with a small datagram, and a few other members are asked to ping it (`IndirectPing`).
If no acknowledgement has arrived by the end of the period the member becomes suspect. The suspicion is
attached to outgoing messages as a `MemberUpdate`, a limited number of times. The suspect is declared dead
after a time-out that shrinks with each further member that reports the suspicion, unless the suspect itself
refutes it with a higher incarnation. Dead members are remembered and pinged now and then, so that the two
sides of a network partition find each other again, and full member lists are exchanged on joining and
periodically.

A balancer that was itself paused or slow must not declare other members dead because of its own delay.

Times are seconds of a monotonic clock. Incarnations are only ever compared with each other. A received
incarnation may exceed the known one by at most `MAX_INCARNATION_LEAP`, so nobody can push a member to
`messages.MAX_INCARNATION`, which could not be refuted.
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

MAX_HEALTH_PENALTY = 5  # probe times are multiplied by 1 + penalty
MAX_UPDATE_BYTES = 1000  # bytes of updates in one datagram, as estimated by `_take_updates`
MAX_UPDATES = 32  # updates in one datagram
MAX_CORRECTIONS = 12  # updates in an `Ack` that correct outdated information in the `Ping`
MAX_MEMBERS = 4000  # members remembered; bounds memory whatever names are received
MAX_INCARNATION_LEAP = 1 << 20  # accepted excess of a received incarnation over the last known one
MAX_RELAYS = 256  # indirect pings, and name challenges, in progress at a time
MAX_CONTACTS_WHEN_ALONE = 5  # dead members and seeds pinged at a time while no live member is known
MAX_NAME_CLAIMS = 5  # claims of our name by one process after which it counts as running
SAME_AGE_MS = 1000  # milliseconds; processes whose ages differ by less count as started together
ALIVE, SUSPECT, DEAD, LEFT = State.ALIVE, State.SUSPECT, State.DEAD, State.LEFT


@dataclass(frozen=True, slots=True)
class Options:
    """Intervals and time-outs in seconds, factors and counts of the protocol."""

    probe_interval: float = 0.25  # seconds between probes of two members
    probe_timeout: float = 0.1  # seconds to wait for an `Ack` before indirect pings are sent
    indirect_probes: int = 3  # members asked to ping indirectly
    retransmit_mult: int = 4  # transmissions of an update, times log10 of the number of members
    suspicion_mult: float = 4.0  # shortest suspicion, in probe intervals times log10 of the number of members
    suspicion_max_mult: float = 2.0  # longest suspicion (one reporter) as a multiple of the shortest
    retention: float = 600.0  # seconds for which dead members and members that left are remembered
    reconnect_interval: float = 1.0  # seconds between two pings to a dead member or a seed
    full_state_interval: float = 10.0  # seconds between two exchanges of the full member list


class OutgoingMessage(NamedTuple):
    """A message and its destination; a `FullState` is sent over TCP, all others over UDP."""

    address: str
    message: Message


class Change(NamedTuple):
    """A change of a member's state as seen by this balancer."""

    name: str
    before: State | None
    after: State
    incarnation: int
    why: str  # cause, as shown at `/members` and in the log
    reporters: tuple[str, ...]


@dataclass(slots=True)
class Member:
    """What this balancer knows of another member."""

    latest: MemberUpdate
    since: float
    why: str
    suspected_at: float = 0.0
    dead_at: float = math.inf  # when the suspicion ends with the member declared dead
    reporters: tuple[str, ...] = ()  # members that reported the current suspicion
    never_seen_alive: bool = False  # only ever reported dead or left; such members are not gossiped
    via: str = ""  # member that relayed the last `Ack` when direct pings failed


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    seq: int
    name: str
    retry_at: float
    indirect_probers: int | None = None  # members asked to ping indirectly; None until then
    nacks: int = 0
    answered: bool = False


@dataclass(slots=True)
class Relay:
    """A ping sent on behalf of another member."""

    address: str
    seq: int
    target: str
    nack_at: float


class Membership:
    """State machine of one member; see the module's description."""

    def __init__(
        self,
        name: str,
        address: str,
        instance_id: int,
        seeds: tuple[str, ...],
        options: Options,
        seed: int,
        now: float,
    ) -> None:
        self.name, self.address, self.instance_id = name, address, instance_id
        self.options = options
        self.incarnation = 0
        self.health_penalty = 0  # Lifeguard's local health score; 0 is healthy
        self.has_left = False
        self.renamed_from = ""  # our configured name, if another process keeps it
        self.members: dict[str, Member] = {}
        self._names_by_state: dict[State, dict[str, None]] = {state: {} for state in State}
        self.out: list[OutgoingMessage] = []
        self.changes: list[Change] = []
        self.counts: dict[str, int] = {}
        self._seeds = tuple(each for each in seeds if each != address)
        self._random = RandomSource(seed)
        self._started_at = now
        self._seq = 0
        self._probe_order: list[str] = []  # members left to probe in this round, last first
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}
        self._challenges: dict[int, int] = {}  # sequence number to instance id
        self._claim_counts: dict[int, int] = {}  # claims of our name by instance id
        self._transmit_counts: dict[str, int] = {}  # transmissions so far of pending updates
        self._names_by_transmit_count: list[dict[str, None]] = [{}]  # index: transmissions so far
        self._next_period_at = now + options.probe_interval * self._random.random()
        self._reconnect_at = now
        self._full_state_at = now + options.full_state_interval * (0.5 + self._random.random())
        self._purge_at = now + options.retention / 10
        self._next_refutation_at = now
        self._expected_turn_at = now  # last result of `deadline`
        self._announce_self()

    # Queries.

    def names_in(self, *states: State) -> list[str]:
        """Return the names of the members in any of these states."""
        return [name for state in states for name in self._names_by_state[state]]

    @property
    def active_count(self) -> int:
        """Number of members that are alive or suspect, including this one."""
        return 1 + len(self._names_by_state[ALIVE]) + len(self._names_by_state[SUSPECT])

    @property
    def view(self) -> str:
        """Confidence in the member list.

        `alone`: no live member is known. `doubtful`: a member is suspect, this balancer was recently late or
        missed acknowledgements, it runs under a changed name, or at least half of the known members are dead,
        so that this balancer may be the one that is partitioned. `sure`: none of these.
        """
        alive, suspect, dead = (len(self._names_by_state[state]) for state in (ALIVE, SUSPECT, DEAD))
        if not alive:
            return "alone"
        doubtful = suspect or self.health_penalty or self.renamed_from or 2 * (alive + 1) <= alive + 1 + dead
        return "doubtful" if doubtful else "sure"

    def deadline(self) -> float:
        """Return the time at which `turn` must be called next."""
        due = min(self._next_period_at, self._reconnect_at, self._full_state_at, self._purge_at)
        if self._probe is not None and not self._probe.answered:
            due = min(due, self._probe.retry_at)
        for relay in self._relays.values():
            due = min(due, relay.nack_at)
        for name in self._names_by_state[SUSPECT]:
            due = min(due, self.members[name].dead_at)
        self._expected_turn_at = due
        return due

    # Timers.

    def turn(self, now: float) -> None:
        """Run every timer that has expired at `now`."""
        self._detect_pause(now)
        if self.has_left:
            self._next_period_at = self._reconnect_at = self._full_state_at = self._purge_at = math.inf
            return
        probe = self._probe
        if probe is not None and not probe.answered and now >= probe.retry_at:
            self._retry_probe(probe, now)
        for seq, relay in list(self._relays.items()):
            if now >= relay.nack_at:
                del self._relays[seq]
                self._send(relay.address, Nack(relay.seq, self._own_source(now)))
        for name in self.names_in(SUSPECT):
            if now >= self.members[name].dead_at:
                self._declare_dead(name, self.members[name], now)
        if now >= self._next_period_at:
            self._start_period(now)
        if now >= self._reconnect_at:
            self._reconnect(now)
        if now >= self._full_state_at:
            self._full_state_at = now + self.options.full_state_interval * (0.5 + self._random.random())
            if alive := self.names_in(ALIVE):
                self._send_full_state(self.members[self._random.choice(alive)].latest.address, True, now)
        if now >= self._purge_at:
            self._purge_expired(now)
        self.deadline()

    def _detect_pause(self, now: float) -> None:
        """Detect that this process was paused, and discard time-outs that expired meanwhile.

        Without this a process that resumes would find every acknowledgement missing and every suspicion
        expired, and declare live members dead. Outstanding probes are dropped, and suspicions are extended by
        the length of the pause.
        """
        pause = now - self._expected_turn_at
        if pause <= self.options.probe_interval or self.has_left:
            return
        self._increment("slept")
        self._expected_turn_at = now
        self._raise_health_penalty()
        self._probe = None
        self._relays.clear()
        self._next_period_at = now + self.options.probe_timeout
        for name in self._names_by_state[SUSPECT]:
            self.members[name].dead_at += pause

    def _start_period(self, now: float) -> None:
        """Evaluate the probe of the last period and probe the next member."""
        probe, self._probe = self._probe, None
        if probe is not None and not probe.answered:
            self._probe_failed(probe, now)
        self._next_period_at = now + self.options.probe_interval * (1 + self.health_penalty)
        name = self._next_to_probe()
        if name is None:
            return
        member = self.members[name]
        self._seq += 1
        self._probe = Probe(self._seq, name, now + self.options.probe_timeout * (1 + self.health_penalty))
        self._increment("asked")
        # The probe of a suspect carries its suspicion first, so that it can refute it.
        first = (name,) if member.latest.state is not ALIVE else ()
        self._send(
            member.latest.address, Ping(self._seq, self._own_source(now), name, self._take_updates(first))
        )

    def _next_to_probe(self) -> str | None:
        """Return the next member of the shuffled round; None if no member is alive or suspect."""
        for _ in range(2):
            while self._probe_order:
                name = self._probe_order.pop()
                if name in self.members and self.members[name].latest.state <= SUSPECT:
                    return name
            self._probe_order = self._random.shuffled(self.names_in(ALIVE, SUSPECT))
        return None

    def _retry_probe(self, probe: Probe, now: float) -> None:
        """Ping again with a small datagram, and on the first retry through other members as well.

        The datagram carries no updates because a path may drop large datagrams.
        """
        probe.retry_at = now + self.options.probe_timeout * (1 + self.health_penalty)
        if probe.name not in self.members:
            return
        update = self.members[probe.name].latest
        if probe.indirect_probers is None:
            candidates = [name for name in self.names_in(ALIVE) if name != probe.name]
            probers = self._random.sample(candidates, self.options.indirect_probes)
            # The member that relayed the last `Ack` is always among the indirect probers. Where a single
            # member bridges two sides of a partition a random choice picks it only now and then, and live
            # members are declared dead: 25 a minute among seven members.
            via = self.members[probe.name].via
            if via in candidates and via not in probers:
                probers = [*probers[1:], via]
            probe.indirect_probers = len(probers)
            for name in probers:
                request = IndirectPing(
                    probe.seq, self._own_source(now), probe.name, update.address, self._take_updates(())
                )
                self._send(self.members[name].latest.address, request)
            # An event loop that is late by less than a period finds this retry and the end of the period due
            # in the same call, and would suspect the member before indirect pings can be answered.
            remaining = (self.options.probe_interval - self.options.probe_timeout) * (1 + self.health_penalty)
            self._next_period_at = max(self._next_period_at, now + remaining)
        self._send(update.address, Ping(probe.seq, self._own_source(now), probe.name, (), True))

    def _probe_failed(self, probe: Probe, now: float) -> None:
        """Suspect a member that did not acknowledge, and raise the own health penalty if nobody answered.

        A balancer whose own network or CPU is slow would otherwise suspect every member. If not even a `Nack`
        came from the indirect probers the fault is probably here. Silence of only some of them is not counted
        against this balancer, because when half of the members die at once some probers are dead too.
        """
        member = self.members.get(probe.name)
        self._increment("unanswered")
        if not probe.nacks:
            self._raise_health_penalty()
        if member is not None and member.latest.state <= SUSPECT:
            self._apply(_with_state(member.latest, SUSPECT, self.name), now, "did not answer")

    def _declare_dead(self, name: str, member: Member, now: float) -> None:
        """Declare a member dead whose suspicion has expired without refutation."""
        member.dead_at = math.inf
        if member.latest.state is SUSPECT:
            self._increment("buried")
            why = f"suspected for {now - member.suspected_at:.1f} s, refuted by nobody"
            self._apply(_with_state(member.latest, DEAD, self.name), now, why)

    def _reconnect(self, now: float) -> None:
        """Ping a dead member, or a seed that is no live member's address, to heal a network partition.

        After a partition each side holds the other for dead; such a ping is the first contact between them.
        """
        self._reconnect_at = now + self.options.reconnect_interval * (0.75 + 0.5 * self._random.random())
        living = {self.members[name].latest.address for name in self.names_in(ALIVE, SUSPECT)}
        dead = {self.members[name].latest.address: name for name in self._names_by_state[DEAD]}
        contacts = [*dead, *(each for each in self._seeds if each not in living and each not in dead)]
        if not contacts:
            return
        # A balancer that knows no live member pings several: a single random pick can hit a dead seed again
        # and again.
        for address in self._random.sample(contacts, 1 if living else MAX_CONTACTS_WHEN_ALONE):
            first = (dead[address],) if address in dead else ()
            self._send(address, Ping(0, self._own_source(now), "", self._take_updates(first, len(first))))

    def _send_full_state(self, address: str, wants_reply: bool, now: float) -> None:
        """Send all known members; `wants_reply` requests the receiver's list in return."""
        updates = [
            self._own_update(),
            *(each.latest for each in self.members.values() if not each.never_seen_alive),
        ]
        self._send(address, FullState(self._own_source(now), tuple(updates[:4096]), wants_reply))

    def _purge_expired(self, now: float) -> None:
        """Forget members that have been dead or gone for longer than `Options.retention`."""
        self._purge_at = now + self.options.retention / 10
        for name, member in list(self.members.items()):
            if member.latest.state >= DEAD and now - member.since >= self.options.retention:
                del self.members[name]
                self._names_by_state[member.latest.state].pop(name)
                self._set_transmit_count(name, None)

    # Messages.

    def receive(self, now: float, message: Message) -> None:
        """Handle one received message."""
        self._detect_pause(now)
        if self.has_left:
            return
        source = message.source
        if isinstance(message, FullState):
            self._receive_full_state(message, now)
            return
        stale = self._observe_source(source, now, isinstance(message, Ack))
        for update in () if isinstance(message, Nack) else message.updates:
            self._apply(update, now, f"said by {source.name}")
            known = self.members.get(update.name)
            if known is not None and known.latest.supersedes(update):
                stale = (*stale, update.name)
        if isinstance(message, Ping):
            if message.target in ("", self.name):
                # The `Ack` corrects outdated updates of the `Ping` at once. Under packet loss a refutation
                # would otherwise wait in the send queue while the suspicion keeps spreading.
                updates = self._take_updates(stale[:MAX_CORRECTIONS], 0 if message.compact else MAX_UPDATES)
                self._send(source.address, Ack(message.seq, self._own_source(now), updates))
            else:
                self._increment("misdirected")
        elif isinstance(message, IndirectPing):
            self._relay_ping(message, now)
        elif isinstance(message, Ack):
            self._receive_ack(message, now)
        elif self._probe is not None and message.seq == self._probe.seq:
            self._probe.nacks += 1

    def _observe_source(self, source: Source, now: float, is_ack: bool) -> tuple[str, ...]:
        """Record that the sender is alive.

        Returns the sender's name if it is known here with a state that supersedes that, so that the reply
        corrects it; otherwise an empty tuple.
        """
        if source.name == self.name:
            if source.instance_id != self.instance_id:
                self._apply_about_self(source.as_update(), now)
                return (self.name,)
            return ()
        self._apply(source.as_update(), now, "answers" if is_ack else "speaks")
        member = self.members.get(source.name)
        known = None if member is None else member.latest
        if known is None or (known.state is ALIVE and known.instance_id == source.instance_id):
            return ()
        return (source.name,)

    def _receive_full_state(self, message: FullState, now: float) -> None:
        """Merge another member's list, and send our own in return if requested."""
        source = message.source
        self._observe_source(source, now, False)
        for update in message.members:
            known = self.members.get(update.name)
            if update.state is DEAD and known is not None and known.latest.state <= SUSPECT:
                # After a partition each side reports the other as dead. Taken as a suspicion, the report
                # can still be refuted.
                update = _with_state(update, SUSPECT, source.name)
            self._apply(update, now, f"said by {source.name}")
        if message.wants_reply:
            self._send_full_state(source.address, False, now)

    def _relay_ping(self, message: IndirectPing, now: float) -> None:
        """Ping a member on behalf of another one; a `Nack` follows if it does not acknowledge in time."""
        if len(self._relays) >= MAX_RELAYS:
            self._increment("relays.refused")
            return
        self._seq += 1
        nack_at = now + self.options.probe_timeout
        self._relays[self._seq] = Relay(message.source.address, message.seq, message.target, nack_at)
        self._send(message.address, Ping(self._seq, self._own_source(now), message.target, (), True))

    def _receive_ack(self, message: Ack, now: float) -> None:
        """Match an acknowledgement with our probe, a relayed ping or a name challenge."""
        probe, source = self._probe, message.source
        if probe is not None and message.seq == probe.seq and source.name == probe.name:
            if not probe.answered:
                probe.answered = True
                self.health_penalty //= 2  # halved: probe times return to normal quickly after recovery
                if message.via and (member := self.members.get(probe.name)) is not None:
                    member.via = message.via
            return
        relay = self._relays.get(message.seq)
        if relay is not None and relay.target == source.name:
            del self._relays[message.seq]
            self._send(relay.address, Ack(relay.seq, source, (), self.name))
        elif message.seq in self._challenges and source.instance_id == self._challenges.pop(message.seq):
            if source.name == self.name:  # otherwise it has already given up the name
                self._resolve_name_conflict(source.as_update(), source.age, now)

    def leave(self, now: float) -> None:
        """Announce to some live members that this one leaves; afterwards messages and timers are ignored.

        The pings name a target that no member has ("-"), so nobody acknowledges them.
        """
        if self.has_left:
            return
        update = MemberUpdate(self.name, self.address, self.instance_id, self.incarnation, LEFT, self.name)
        alive = self.names_in(ALIVE)
        for name in self._random.sample(alive, 3 + 2 * len(alive).bit_length()):
            self._send(
                self.members[name].latest.address, Ping(0, self._own_source(now), "-", (update,), True)
            )
        self.has_left = True

    # Updates about other members.

    def _apply(self, update: MemberUpdate, now: float, why: str) -> None:
        """Apply one update. The superseding one wins, whoever reports it and in whatever order."""
        if update.name == self.name:
            self._apply_about_self(update, now)
            return
        member = self.members.get(update.name)
        if update.incarnation > (
            MAX_INCARNATION_LEAP if member is None else member.latest.incarnation + MAX_INCARNATION_LEAP
        ):
            self._increment("refused")  # forged or faulty; accepted, it could not be refuted
            return
        if member is None:
            if len(self.members) >= MAX_MEMBERS:
                self._increment("refused")
                return
            member = self.members[update.name] = Member(
                update, now, why, never_seen_alive=update.state >= DEAD
            )
            self._probe_order.insert(self._random.randrange(len(self._probe_order) + 1), update.name)
            self._update_member(member, None, update, now, why)
        elif update.supersedes(member.latest):
            self._update_member(member, member.latest.state, update, now, why)
        elif update.state is SUSPECT and member.latest.state is SUSPECT:
            if update.incarnation == member.latest.incarnation:
                self._add_reporter(member, update)

    def _update_member(
        self, member: Member, before: State | None, update: MemberUpdate, now: float, why: str
    ) -> None:
        """Store an update that supersedes what was known, and record a change of state."""
        if before is not None:
            self._names_by_state[before].pop(update.name)
        self._names_by_state[update.state][update.name] = None
        member.latest, member.why = update, why
        member.dead_at, reporters = math.inf, member.reporters
        member.reporters = ()
        if update.state is SUSPECT:
            reporters = member.reporters = (update.reported_by,) if update.reported_by else ()
            member.suspected_at = now
            member.dead_at = now + self._suspicion_duration(member)
            self._increment("suspected")
        elif update.state is DEAD and update.reported_by not in reporters:
            reporters = (*reporters, update.reported_by)
        member.never_seen_alive = member.never_seen_alive and update.state >= DEAD
        if not member.never_seen_alive:
            # Dead members known only from reports are not gossiped: members would keep re-teaching each other
            # about them, and they would never be forgotten.
            self._set_transmit_count(update.name, 0)
        if update.state is not before:
            member.since = now
            change_reporters = () if update.state is ALIVE else reporters
            self.changes.append(
                Change(update.name, before, update.state, update.incarnation, why, change_reporters)
            )
            # The first live member, or one that returned from the dead: exchange full lists soon.
            if update.state is ALIVE and (
                len(self._names_by_state[ALIVE]) == 1 if before is None else before >= DEAD
            ):
                self._full_state_at = min(
                    self._full_state_at, now + self.options.probe_timeout * self._random.random()
                )

    def _add_reporter(self, member: Member, update: MemberUpdate) -> None:
        """Count a further member that reports the current suspicion, which shortens it."""
        if update.reported_by in member.reporters or len(member.reporters) > self._reporters_wanted():
            return
        member.reporters = (*member.reporters, update.reported_by)
        member.dead_at = member.suspected_at + self._suspicion_duration(member)
        member.latest = update  # gossip this reporter too
        self._set_transmit_count(update.name, 0)

    def _reporters_wanted(self) -> int:
        """Number of further reporters that make a suspicion as short as possible."""
        return max(0, min(2, self.active_count - 3))

    def _suspicion_duration(self, member: Member) -> float:
        """Return how many seconds the suspicion lasts with its present reporters."""
        shortest = (
            self.options.suspicion_mult
            * max(1.0, math.log10(max(1, self.active_count)))
            * self.options.probe_interval
        )
        longest, wanted = shortest * self.options.suspicion_max_mult, self._reporters_wanted()
        if not wanted:
            return longest
        fraction = math.log(max(1, len(member.reporters))) / math.log(wanted + 1)
        return max(shortest, longest - (longest - shortest) * fraction)

    # Updates about this member.

    def _apply_about_self(self, update: MemberUpdate, now: float) -> None:
        """Handle an update about a member with our name: refute suspicions and detect a second process."""
        if update.incarnation > self.incarnation + MAX_INCARNATION_LEAP:
            # If our incarnation were raised above this one, the others would reject our updates from then on.
            self._increment("refused")
            return
        other_process = update.instance_id != self.instance_id
        if update.incarnation < self.incarnation or (update.state is ALIVE and not other_process):
            if update.incarnation > self.incarnation:
                self._raise_incarnation(update.incarnation)
            return
        if update.state is ALIVE and update.address != self.address:
            # Either an earlier process of this balancer that others remember, or one that runs right now at
            # another address.
            self._claim_counts[update.instance_id] = claims = (
                self._claim_counts.get(update.instance_id, 0) + 1
            )
            self._challenge(update, now)
            if claims >= MAX_NAME_CLAIMS:
                self._resolve_name_conflict(update, None, now)
                return
        elif update.state is not ALIVE:
            self._increment("refuted")
            if not other_process:
                self._raise_health_penalty()
        self._raise_incarnation(update.incarnation)
        if update.state is not ALIVE and now >= self._next_refutation_at:
            # Refute at once: the suspicion may be about to expire, or this process may be paused again. The
            # rate is limited because each of these pings is answered, and if the answers repeat the suspicion
            # three refutations would trigger nine.
            self._next_refutation_at = now + self.options.probe_timeout
            for name in self._random.sample(self.names_in(ALIVE), self.options.indirect_probes):
                ping = Ping(0, self._own_source(now), name, (self._own_update(),), True)
                self._send(self.members[name].latest.address, ping)

    def _raise_incarnation(self, superseded: int) -> None:
        """Supersede updates about this member up to this incarnation."""
        self.incarnation = superseded + 1
        self._announce_self()

    def _challenge(self, update: MemberUpdate, now: float) -> None:
        """Ping another process with our name; the new sequence number rules out an old answer."""
        if len(self._challenges) < MAX_RELAYS:
            self._seq += 1
            self._challenges[self._seq] = update.instance_id
            self._send(update.address, Ping(self._seq, self._own_source(now), self.name, (), True))

    def _resolve_name_conflict(self, update: MemberUpdate, age: int | None, now: float) -> None:
        """Resolve that another running process has our name: the younger one continues under a new name.

        With ages that are unknown or about equal, the process with the smaller instance id counts as younger.
        """
        own_age = int((now - self._started_at) * 1000)
        same_age = age is None or abs(age - own_age) < SAME_AGE_MS
        must_rename = self.instance_id < update.instance_id if same_age or age is None else own_age < age
        why = f"two processes have this name, the other one at {update.address}"
        self._increment("conflicts")
        self.changes.append(Change(self.name, None, ALIVE, self.incarnation, why, ()))
        if not must_rename:
            self._claim_counts.pop(update.instance_id, None)
            self._raise_incarnation(max(self.incarnation, update.incarnation))
            return
        self.renamed_from, shared_name = self.name, self.name
        self._set_transmit_count(self.name, None)
        self.name = f"{shared_name[:55]}~{self.instance_id:08x}"
        self._apply(_with_state(update, ALIVE, shared_name), now, "speaks")
        self._announce_self()

    # Outgoing messages.

    def _own_source(self, now: float) -> Source:
        age = max(0, int((now - self._started_at) * 1000))
        return Source(self.name, self.address, self.instance_id, self.incarnation, age)

    def _own_update(self) -> MemberUpdate:
        return MemberUpdate(self.name, self.address, self.instance_id, self.incarnation, ALIVE, self.name)

    def _announce_self(self) -> None:
        self._set_transmit_count(self.name, 0)

    def _set_transmit_count(self, name: str, count: int | None) -> None:
        """Queue the update about a member as sent this often; None takes it off the queue."""
        before = self._transmit_counts.pop(name, None)
        if before is not None:
            self._names_by_transmit_count[before].pop(name)
        if count is not None:
            while len(self._names_by_transmit_count) <= count:
                self._names_by_transmit_count.append({})
            self._transmit_counts[name] = count
            self._names_by_transmit_count[count][name] = None

    def _take_updates(self, first: tuple[str, ...], most: int = MAX_UPDATES) -> tuple[MemberUpdate, ...]:
        """Take updates to attach to a message: about these names first, then those sent least often."""
        picked: dict[str, MemberUpdate] = {}
        bytes_left = MAX_UPDATE_BYTES
        max_sent = self.options.retransmit_mult * max(1, math.ceil(math.log10(self.active_count + 1)))
        queue = chain.from_iterable(self._names_by_transmit_count) if most > len(first) else ()
        for name in chain(first, queue):
            if len(picked) >= max(most, len(first)):
                break
            known = self._own_update() if name == self.name else self.members[name].latest
            size = len(name.encode()) + len(known.address) + len(known.reported_by.encode()) + 24
            if size > bytes_left:
                break
            bytes_left -= size
            picked[name] = known
        for name in picked:
            if (sent := self._transmit_counts.get(name)) is not None:
                self._set_transmit_count(name, sent + 1 if sent + 1 < max_sent else None)
        return tuple(picked.values())

    def _send(self, address: str, message: Message) -> None:
        self.out.append(OutgoingMessage(address, message))

    def _raise_health_penalty(self) -> None:
        self.health_penalty = min(MAX_HEALTH_PENALTY, self.health_penalty + 1)

    def _increment(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _with_state(update: MemberUpdate, state: State, reported_by: str) -> MemberUpdate:
    """Return the same update with another state and reporter."""
    return MemberUpdate(
        update.name, update.address, update.instance_id, update.incarnation, state, reported_by
    )
