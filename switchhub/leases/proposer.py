"""The leases that one balancer wants and holds: proposing, renewing, releasing and transferring them.

`Proposer` keeps, for each lease that it wants, the state of the request, the token under which it is held,
and until when it is held by the balancer's own clock. It does no I/O and reads no clock: the caller passes
the time and the received messages in, and takes the messages in `out` and the `events`.

A lease is held until `sent + length - margin`, where `sent` is when the request was sent to which the last
voter needed for a majority replied. Whoever acts under a lease checks `held_token` before each effect. All
held leases are renewed in one message to each voter.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from switchhub.leases.config import MAX_TRACKED_LEASES, TOKEN_JUMP, LeaseConfig, hash_grant
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

REPLY_TIMEOUT = 0.3  # seconds within which the voters have to reply
RESEND_DELAY = 0.15  # seconds until a request is resent once: one lost message must not fail an attempt
RETRY_INTERVAL = 0.1  # seconds, shortest time between two attempts; unit of random delays and of backoff
MAX_RELEASE_ATTEMPTS = 30  # sends of one release to the voters that have not acknowledged it
MAX_KNOWN_TOKENS = 2 * MAX_TRACKED_LEASES  # leases whose highest token a proposer remembers individually
MAX_REPAIRS_PER_REPLY = 32  # leases that are proposed again to one voter after one of its renewal replies


class Event(NamedTuple):
    """A change of one lease."""

    lease: str
    kind: str  # held, raised, weak, lost, released, handed on; taken: somebody else holds it
    token: int
    reason: str


@dataclass(slots=True)
class Ballot:
    """The votes for one lease under one token."""

    token: int
    seq: int
    sent_at: float
    reply_deadline: float
    resend_at: float  # when the voters that have not replied are asked once more
    grant_hash: int
    accepted: dict[str, float] = field(default_factory=dict)  # by voter, when the confirmed request was sent
    rejected: set[str] = field(default_factory=set)  # voters
    valid_until: float = -math.inf  # until when a majority has confirmed it, less the margin


@dataclass(slots=True)
class WantedLease:
    """A lease that this balancer wants or holds."""

    lease: str
    next_attempt_at: float  # when the next attempt is due, or when the status replies are overdue
    status_seq: int = 0  # the number of the outstanding status request; 0 if there is none
    resend_at: float = math.inf  # when the status request is resent to the voters that have not replied
    replies: dict[str, StatusReply] = field(default_factory=dict)  # by voter, in this attempt
    pending: Ballot | None = None  # the proposal that awaits replies
    held: Ballot | None = None  # the ballot under which the lease is held
    first_token: int = 0  # the token with which the present hold began; it may have been raised since
    attempts: int = 0
    is_weak: bool = False  # held, but less than half of its length remains
    scheduled_at: float = math.inf  # when `turn` looks at this lease next

    @property
    def due(self) -> float:
        """When something has to be done for this lease."""
        due = math.inf if self.held is None else self.held.valid_until
        if self.pending is not None:
            return min(due, self.pending.reply_deadline, self.pending.resend_at)
        # The next attempt is left out while a proposal is pending: it may then be in the past, and the caller
        # would call `turn` in a loop without a pause.
        return due if self.held is not None else min(self.next_attempt_at, self.resend_at)

    @property
    def state(self) -> str:
        """The state shown to operators."""
        if self.held is not None:
            return "weak" if self.is_weak else "held"
        return "bidding" if self.pending is not None else "asking" if self.status_seq else "waiting"


@dataclass(slots=True)
class PendingRelease:
    """A token that is over and whose release some voters have not acknowledged yet."""

    lease: str
    token: int
    successor: str
    unacknowledged: set[str]  # voters
    resend_at: float
    attempts: int = 0
    seq: int = 0


class Proposer:
    """Requests, renews and releases leases for one balancer; see the module's docstring."""

    def __init__(self, identity: ProcessIdentity, config: LeaseConfig, seed: int, now: float) -> None:
        self.identity, self.config = identity, config
        self.out: list[OutgoingMessage] = []
        self.events: list[Event] = []
        self.wanted: dict[str, WantedLease] = {}
        # The highest token seen, by lease; the lease that was noted last is the last one.
        self.known_tokens: dict[str, int] = {}
        self._forgotten_token = 0  # the highest token of the leases that are not in `known_tokens` any more
        # Heap of `scheduled_at` and the lease's name, so that the cost of a message does not grow with the
        # number of leases. An entry is out of date if the lease is scheduled for another time.
        self._schedule: list[tuple[float, str]] = []
        self._random = RandomSource(seed)
        self._seq = 0
        self._pending_releases: list[PendingRelease] = []
        self._renew_at = math.inf
        self._renewals: dict[int, float] = {}  # by number, when each outstanding renewal was sent
        self._unrenewed: set[str] = set()  # voters that have not replied to the latest renewal
        self._resend_renewal_at = math.inf  # when it is resent to them

    # Requests of the balancer.

    def acquire(self, lease: str, now: float) -> None:
        """Start to acquire the lease, and keep it until `release`. Does nothing if it is wanted already."""
        if lease not in self.wanted:
            self.wanted[lease] = WantedLease(lease, now)
            self._schedule_turn(self.wanted[lease])

    def release(self, lease: str, now: float, successor: str = "", address: str = "") -> None:
        """Release the lease, or transfer it to the successor at `address`; it is not held from now on."""
        wanted = self.wanted.pop(lease, None)
        if wanted is None:
            return
        if wanted.pending is not None:
            self._release_token(lease, wanted.pending.token, "", now)
        if wanted.held is not None:
            reason = f"handed on to {successor}" if successor else "released"
            self.events.append(
                Event(lease, "handed on" if successor else "released", wanted.held.token, reason)
            )
            self._release_token(lease, wanted.held.token, successor, now)
            if address:
                self._seq += 1
                self._send(address, TransferNotice(self._seq, self.identity, lease, wanted.held.token))

    def held_token(self, lease: str, now: float) -> int | None:
        """Return the lease's token, or None if it is not held now.

        Call it before each effect and after each wait.
        """
        wanted = self.wanted.get(lease)
        if wanted is None or wanted.held is None or now >= wanted.held.valid_until:
            return None
        return wanted.held.token

    def remaining(self, lease: str, now: float) -> float:
        """Return the seconds for which the lease is still held; 0 if it is not held."""
        wanted = self.wanted.get(lease)
        return 0.0 if wanted is None or wanted.held is None else max(0.0, wanted.held.valid_until - now)

    def _record_confirmation(self, ballot: Ballot, voter: str, sent_at: float) -> None:
        """Count a voter's confirmation from when the request was sent.

        Counted from when the reply came, the lease would outlive the grants of the voters.
        """
        ballot.accepted[voter] = max(sent_at, ballot.accepted.get(voter, -math.inf))
        ballot.valid_until = self._valid_until(ballot)

    def _valid_until(self, ballot: Ballot) -> float:
        """Return when the last majority of confirmations ends, less the margin."""
        return self.config.latest_majority_time(ballot.accepted) + self.config.length - self.config.margin

    # Time.

    def deadline(self) -> float:
        """Return the latest time at which `turn` has to be called; infinity if nothing is due."""
        due = min(self._renew_at, self._resend_renewal_at, self._next_scheduled())
        for pending_release in self._pending_releases:
            due = min(due, pending_release.resend_at)
        return due

    def _next_scheduled(self) -> float:
        """Return when the first lease is due; those that are due later than before are scheduled anew."""
        while self._schedule:
            scheduled_at, lease = self._schedule[0]
            wanted = self.wanted.get(lease)
            if wanted is None or wanted.scheduled_at != scheduled_at:  # released, or scheduled for earlier
                heapq.heappop(self._schedule)
            elif wanted.due == scheduled_at:
                return scheduled_at
            else:
                heapq.heappop(self._schedule)
                wanted.scheduled_at = math.inf
                self._schedule_turn(wanted)
        return math.inf

    def _schedule_turn(self, wanted: WantedLease) -> None:
        """Have `turn` look at this lease when it is due.

        An entry for an earlier time stays; `_next_scheduled` replaces it once it comes first."""
        if (due := wanted.due) < wanted.scheduled_at:
            wanted.scheduled_at = due
            heapq.heappush(self._schedule, (due, wanted.lease))

    def _take_scheduled(self, now: float) -> list[WantedLease]:
        """Remove the leases that are due from the schedule, and return them."""
        taken = []
        while self._next_scheduled() <= now:
            _, lease = heapq.heappop(self._schedule)
            self.wanted[lease].scheduled_at = math.inf
            taken.append(self.wanted[lease])
        return taken

    def turn(self, now: float) -> None:
        """Do what is due: expire, propose, resend, renew and release leases."""
        for wanted in self._take_scheduled(now):
            if wanted.held is not None and now >= wanted.held.valid_until:
                self._lose(wanted, now)
            if wanted.pending is not None and now >= wanted.pending.reply_deadline:
                self._abandon_proposal(wanted, now)
            elif wanted.held is None and wanted.pending is None and now >= wanted.next_attempt_at:
                if wanted.status_seq:
                    self._schedule_retry(wanted, now, RETRY_INTERVAL)
                else:
                    self._request_status(wanted, now)
            self._resend(wanted, now)
            self._schedule_turn(wanted)
        if now >= self._renew_at:
            self._renew(now)
        if now >= self._resend_renewal_at:
            self._resend_renewal_at = math.inf
            self._send_renewals(self._unrenewed, now)
        for pending_release in self._pending_releases:
            if now >= pending_release.resend_at:
                self._send_release(pending_release, now)
        self._pending_releases = [
            pending_release
            for pending_release in self._pending_releases
            if pending_release.unacknowledged and pending_release.attempts < MAX_RELEASE_ATTEMPTS
        ]

    def _resend(self, wanted: WantedLease, now: float) -> None:
        """Resend the outstanding request, when due, to the voters that have not replied.

        When only a bare majority of the voters is up, every one of them has to reply in the same attempt:
        without resending, with seven voters and a fifth of all messages lost, one attempt in forty succeeds.
        """
        if wanted.pending is not None and now >= wanted.pending.resend_at:
            wanted.pending.resend_at = math.inf
            for voter in self.config.all_voters:
                if voter not in wanted.pending.accepted and voter not in wanted.pending.rejected:
                    self._send_proposal(voter, wanted.lease, wanted.pending)
        elif wanted.status_seq and now >= wanted.resend_at:
            wanted.resend_at = math.inf
            for voter in self.config.all_voters:
                if voter not in wanted.replies:
                    self._send_status_request(voter, wanted)

    def _lose(self, wanted: WantedLease, now: float) -> None:
        assert wanted.held is not None
        token, wanted.held, wanted.is_weak = wanted.held.token, None, False
        self.events.append(Event(wanted.lease, "lost", token, "not confirmed by a majority in time"))
        self._release_token(wanted.lease, token, "", now)
        if wanted.pending is None:
            self._schedule_retry(wanted, now, RETRY_INTERVAL)

    def _schedule_retry(self, wanted: WantedLease, now: float, delay: float) -> None:
        """Schedule the next attempt after `delay` seconds and a random time that grows with the attempts.

        Without the random part, proposers that wait equally long would collide in each attempt.
        """
        wanted.attempts += 1
        wanted.status_seq, wanted.resend_at, wanted.replies = 0, math.inf, {}
        wanted.next_attempt_at = (
            now + delay + self._random.random() * RETRY_INTERVAL * min(8, wanted.attempts)
        )

    def _request_status(self, wanted: WantedLease, now: float) -> None:
        self._seq += 1
        wanted.status_seq, wanted.next_attempt_at, wanted.replies = self._seq, now + REPLY_TIMEOUT, {}
        wanted.resend_at = now + RESEND_DELAY
        for voter in self.config.all_voters:
            self._send_status_request(voter, wanted)

    def _send_status_request(self, voter: str, wanted: WantedLease) -> None:
        known_token = self.known_tokens.get(wanted.lease, self._forgotten_token)
        self._send(voter, StatusRequest(wanted.status_seq, self.identity, wanted.lease, known_token))

    def _propose(self, wanted: WantedLease, now: float, token: int) -> None:
        self._seq += 1
        wanted.status_seq, wanted.resend_at, wanted.replies = 0, math.inf, {}
        wanted.pending = Ballot(
            token,
            self._seq,
            now,
            now + REPLY_TIMEOUT,
            now + RESEND_DELAY,
            hash_grant(wanted.lease, token),
        )
        self._note_token(wanted.lease, token)
        for voter in self.config.all_voters:
            self._send_proposal(voter, wanted.lease, wanted.pending)

    def _send_proposal(self, voter: str, lease: str, ballot: Ballot) -> None:
        length_ms = round(self.config.length * 1000)
        self._send(
            voter,
            ProposeRequest(ballot.seq, self.identity, lease, ballot.token, length_ms, self.config.electorate),
        )

    def _abandon_proposal(self, wanted: WantedLease, now: float) -> None:
        """Give up a proposal that did not get a majority.

        While the lease is held under a former token, the new token is not released: that would end the grants
        of voters that have moved to it and that the holder still counts.
        """
        assert wanted.pending is not None
        token, wanted.pending = wanted.pending.token, None
        if wanted.held is None:
            self._release_token(wanted.lease, token, "", now)
            self._schedule_retry(wanted, now, RETRY_INTERVAL)

    def _release_token(self, lease: str, token: int, successor: str, now: float) -> None:
        pending_release = PendingRelease(lease, token, successor, set(self.config.all_voters), now)
        self._pending_releases.append(pending_release)
        self._send_release(pending_release, now)

    def _send_release(self, pending_release: PendingRelease, now: float) -> None:
        self._seq += 1
        # Repeated until acknowledged: a voter that misses it would extend the grant with each renewal.
        pending_release.seq, pending_release.attempts, pending_release.resend_at = (
            self._seq,
            pending_release.attempts + 1,
            now + RETRY_INTERVAL * min(10, 1 + pending_release.attempts),
        )
        for voter in sorted(pending_release.unacknowledged):
            self._send(
                voter,
                ReleaseRequest(
                    pending_release.seq,
                    self.identity,
                    pending_release.lease,
                    pending_release.token,
                    pending_release.successor,
                ),
            )

    def _renew(self, now: float) -> None:
        """Renew all held leases with one message to each voter, and report those that are close to expiry."""
        held_leases = [wanted for wanted in self.wanted.values() if wanted.held is not None]
        self._renew_at = now + self.config.length / 4 if held_leases else math.inf
        for seq, sent_at in list(self._renewals.items()):
            if now - sent_at > self.config.length:
                del self._renewals[seq]
        if not held_leases:
            self._resend_renewal_at = math.inf
            return
        self._unrenewed, self._resend_renewal_at = set(self.config.all_voters), now + RESEND_DELAY
        self._send_renewals(self._unrenewed, now)
        for wanted in held_leases:
            remaining = self.remaining(wanted.lease, now)
            if wanted.held is not None and not wanted.is_weak and remaining < self.config.length / 2:
                wanted.is_weak = True
                self.events.append(
                    Event(wanted.lease, "weak", wanted.held.token, f"expires in {remaining:.2f} s")
                )

    def _send_renewals(self, voters: set[str], now: float) -> None:
        """Send a renewal under a number of its own: a voter ignores a number that it has processed."""
        self._seq += 1
        self._renewals[self._seq] = now
        for voter in sorted(voters):
            self._send(
                voter,
                RenewRequest(
                    self._seq, self.identity, round(self.config.length * 1000), self.config.electorate
                ),
            )

    # Messages.

    def receive(self, now: float, message: Message) -> None:
        """Process a voter's reply, or a holder's transfer notice."""
        voter = message.source.address
        if isinstance(message, TransferNotice):
            self._on_transfer_notice(message, now)
        elif voter not in self.config.all_voters:
            return
        elif isinstance(message, StatusReply):
            self._on_status_reply(message, voter, now)
        elif isinstance(message, ProposeReply):
            self._on_propose_reply(message, voter, now)
        elif isinstance(message, RenewReply):
            self._on_renew_reply(message, voter, now)
        elif isinstance(message, ReleaseReply):
            for pending_release in self._pending_releases:
                if pending_release.seq == message.seq:
                    pending_release.unacknowledged.discard(voter)
        if isinstance(message, TransferNotice | StatusReply | ProposeReply) and message.lease in self.wanted:
            self._schedule_turn(self.wanted[message.lease])

    def _note_token(self, lease: str, token: int) -> None:
        self.known_tokens[lease] = max(token, self.known_tokens.pop(lease, 0))
        if len(self.known_tokens) > MAX_KNOWN_TOKENS:
            self._forget_known_token()

    def _forget_known_token(self) -> None:
        """Stop keeping the token of the lease that was noted longest ago, unless it is wanted.

        The highest of such tokens is kept for all of them, so that the voters are told of no lower one."""
        oldest = next(iter(self.known_tokens))
        token = self.known_tokens.pop(oldest)
        if oldest in self.wanted:
            self.known_tokens[oldest] = token
        else:
            self._forgotten_token = max(token, self._forgotten_token)

    def _on_status_reply(self, message: StatusReply, voter: str, now: float) -> None:
        wanted = self.wanted.get(message.lease)
        self._note_token(message.lease, message.highest_token)
        if wanted is None or not wanted.status_seq or wanted.status_seq != message.seq:
            return
        wanted.replies[voter] = message
        replies = wanted.replies.values()
        if self.config.has_majority(
            {name for name, reply in wanted.replies.items() if reply.is_voting and not reply.holder}
        ):
            self._propose(wanted, now, max(reply.highest_token for reply in replies) + 1)
            return
        remaining = {
            name: reply.remaining_ms / 1000 for name, reply in wanted.replies.items() if reply.is_voting
        }
        free_or_unknown = {name for name in self.config.all_voters if not remaining.get(name)}
        if not self.config.has_majority(free_or_unknown) and self.config.has_majority(remaining):
            # The lease is held, whatever the other voters reply. Try again when enough grants may be over, or
            # earlier, as the holder may release it. This is concluded from a majority only: otherwise one
            # voter that keeps an outdated grant and replies first would delay every attempt.
            wanted.attempts = 0
            expiry = -self.config.latest_majority_time({name: -left for name, left in remaining.items()})
            self._schedule_retry(wanted, now, min(expiry, self.config.length / 4))
            self.events.append(
                Event(wanted.lease, "taken", 0, next(reply.holder for reply in replies if reply.holder))
            )

    def _on_propose_reply(self, message: ProposeReply, voter: str, now: float) -> None:
        wanted = self.wanted.get(message.lease)
        self._note_token(message.lease, message.highest_token)
        if wanted is None:
            return
        pending, held = wanted.pending, wanted.held
        if pending is not None and message.seq == pending.seq:
            if not message.granted:
                pending.rejected.add(voter)
                if not self.config.has_majority(set(self.config.all_voters) - pending.rejected):
                    self._abandon_proposal(wanted, now)
                return
            self._record_confirmation(pending, voter, pending.sent_at)
            if pending.valid_until > now:
                kind = "raised" if held is not None else "held"
                wanted.first_token = pending.token if held is None else wanted.first_token
                wanted.held, wanted.pending, wanted.attempts = pending, None, 0
                self.events.append(
                    Event(wanted.lease, kind, pending.token, f"{len(pending.accepted)} voters granted it")
                )
                self._renew_at = min(self._renew_at, now + self.config.length / 4)
        elif held is not None and message.seq == held.seq:
            if message.granted:
                self._record_confirmation(held, voter, held.sent_at)
            elif message.reason == "token spent" and pending is None:
                # A voter that has lost its state refuses our token as too low: propose a higher one to all.
                self._propose(wanted, now, self.known_tokens[wanted.lease] + 1)

    def _on_renew_reply(self, message: RenewReply, voter: str, now: float) -> None:
        sent_at = self._renewals.get(message.seq)
        if sent_at is None:
            return
        self._unrenewed.discard(voter)
        if not self._unrenewed:
            self._resend_renewal_at = math.inf
        unconfirmed = [(wanted, wanted.held) for wanted in self.wanted.values() if wanted.held is not None]
        confirmed = [(wanted, held) for wanted, held in unconfirmed if voter in held.accepted]
        digest = sum(held.grant_hash for _, held in confirmed) % 2**62
        if digest == message.digest and len(confirmed) == message.count:
            # Most leases are confirmed by the same voters at the same times: compute each end only once.
            ends: dict[tuple[tuple[str, float], ...], float] = {}
            for wanted, held in confirmed:
                if sent_at > held.accepted[voter]:
                    held.accepted[voter] = sent_at
                    key = tuple(held.accepted.items())
                    if key not in ends:
                        ends[key] = self._valid_until(held)
                    held.valid_until = ends[key]
                    if wanted.is_weak:
                        wanted.is_weak = held.valid_until - now < self.config.length / 2
            unconfirmed = [(wanted, held) for wanted, held in unconfirmed if voter not in held.accepted]
        for wanted, held in unconfirmed[:MAX_REPAIRS_PER_REPLY]:
            if wanted.pending is None:
                self._send_proposal(voter, wanted.lease, held)

    def _on_transfer_notice(self, message: TransferNotice, now: float) -> None:
        wanted = self.wanted.get(message.lease)
        if wanted is not None and wanted.held is None and wanted.pending is None:
            self._note_token(
                message.lease,
                min(message.token, self.known_tokens.get(message.lease, 0) + TOKEN_JUMP),
            )
            self._propose(wanted, now, self.known_tokens[message.lease] + 1)

    def _send(self, address: str, message: Message) -> None:
        self.out.append(OutgoingMessage(address, message))
