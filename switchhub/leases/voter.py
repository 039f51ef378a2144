"""A voter: it grants each lease to one process at a time and keeps the highest token of each lease.

`Voter` does no I/O and reads no clock. It never grants one lease to two processes at a time, and never votes
for a new token that is not above all tokens that it knows for that lease. It needs no disk.

A lease is held by a majority of such voters (the scheme of PaxosLease: Trencseni, Gazso, Reinhardt, 2012).
The read-only `StatusRequest` replaces the prepare phase, so that requests for a held lease do not disturb its
holder.

A voter that was restarted has lost its grants. It does not vote until all grants that it may have given are
over, and only then asks the other voters for their highest tokens. If it asked earlier, a vote of its former
process could still be on its way and complete a majority for a token that none of the replies contains.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from switchhub.leases.config import MAX_TRACKED_LEASES, TOKEN_JUMP, LeaseConfig, grant_duration, hash_grant
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

TOKEN_BLOCK_SIZE = 1 << 16  # tokens by which the stored limit is ahead, so that few votes wait for the disk
RECOVERY_INTERVAL = 0.3  # seconds between two recovery requests


@dataclass(slots=True)
class Grant:
    """One lease granted by this voter to one process."""

    holder: str
    instance_id: int
    token: int
    valid_until: float
    grant_hash: int
    successor: str = ""  # if set, the token is over and the lease is reserved for this balancer


class Voter:
    """Votes on proposals and renewals; see the module's docstring."""

    def __init__(
        self,
        identity: ProcessIdentity,
        config: LeaseConfig,
        now: float,
        token_floor: int | None = None,
        persists_tokens: bool = False,
        same_electorate: bool = True,
    ) -> None:
        """Create a voter that does not vote yet.

        `token_floor` comes from the token file: no token above it was ever voted for. Without it, or if it
        was stored under another electorate (`same_electorate` is false), the voter asks the other voters.
        With `persists_tokens` it votes for no token above `token_limit`, which the caller stores before
        setting it.
        """
        self.identity, self.config = identity, config
        self.out: list[OutgoingMessage] = []
        self.is_voting = False
        self.token_floor = token_floor or 0  # the highest token of leases that are not in `highest_tokens`
        self.highest_tokens: dict[str, int] = {}  # the highest token voted for, by lease
        self.grants: dict[str, Grant] = {}
        self.log_lines: list[str] = []
        self.token_limit: float = -1 if persists_tokens else math.inf
        self._has_stored_tokens = token_floor is not None and same_electorate
        self._recovery_replies: dict[str, RecoveryReply] = {}  # by voter
        self._logged_reason = ""  # the last logged reason for not voting
        self._recover_at = now + grant_duration(config.max_length)  # does not vote before
        self._seq = 0
        self._renewal_seqs: dict[tuple[str, int], int] = {}  # the last renewal processed, by holder process

    @property
    def highest_token(self) -> int:
        """The highest token that this voter knows of any lease."""
        return max(self.token_floor, max(self.highest_tokens.values(), default=0))

    def next_token_limit(self) -> int | None:
        """Return the token limit to store, or None if the stored one suffices.

        The caller sets `token_limit` to it once it is stored. Nothing is stored before the voter votes: a
        limit stored before the other voters' tokens are known would be taken for a complete one after a
        restart.
        """
        if not self.is_voting or self.highest_token + TOKEN_BLOCK_SIZE // 2 <= self.token_limit:
            return None
        return self.highest_token + TOKEN_BLOCK_SIZE

    def deadline(self) -> float:
        """Return the latest time at which `turn` has to be called; infinity if nothing is due."""
        return math.inf if self.is_voting else self._recover_at

    def turn(self, now: float) -> None:
        """Do what is due: start to vote, or ask the other voters for their tokens."""
        if self.is_voting or now < self._recover_at:
            return
        others = [voter for voter in self.config.all_voters if voter != self.identity.address]
        if self._has_stored_tokens or not others:
            self._start_voting(
                "tokens read from its file"
                if self._has_stored_tokens
                else "the only voter, no other to ask for tokens"
            )
            return
        self._recover_at = now + RECOVERY_INTERVAL
        self._seq += 1
        for voter in others:
            self.out.append(OutgoingMessage(voter, RecoveryRequest(self._seq, self.identity)))

    def _start_voting(self, reason: str) -> None:
        self.is_voting = True
        self.log_lines.append(f"voting from now on, above token {self.token_floor}: {reason}")

    def receive(self, now: float, message: Message) -> None:
        """Process a request from a proposer or holder, or a message from another voter."""
        source = message.source
        if isinstance(message, StatusRequest):
            self._on_status_request(message, now)
        elif isinstance(message, ProposeRequest):
            reason = self._vote(message, now)
            highest_token = self.highest_tokens.get(message.lease, self.token_floor)
            reply = ProposeReply(
                message.seq, self.identity, message.lease, message.token, not reason, highest_token, reason
            )
            self._send(source, reply)
        elif isinstance(message, RenewRequest):
            self._on_renew_request(message, now)
        elif isinstance(message, ReleaseRequest):
            self._on_release_request(message, now)
            self._send(source, ReleaseReply(message.seq, self.identity))
        elif isinstance(message, RecoveryRequest):
            # Replies even while it does not vote: it may have learnt a token that no other voter remembers.
            self._send(
                source,
                RecoveryReply(
                    message.seq, self.identity, self.highest_token, self.is_voting, self.config.electorate
                ),
            )
        elif isinstance(message, RecoveryReply):
            self._on_recovery_reply(message)

    def _on_recovery_reply(self, message: RecoveryReply) -> None:
        if self.is_voting or message.seq != self._seq or message.source.address not in self.config.all_voters:
            return
        self._recovery_replies[message.source.address] = message
        replies, others = (
            self._recovery_replies,
            [voter for voter in self.config.all_voters if voter != self.identity.address],
        )
        foreign = sorted(
            name for name, reply in replies.items() if not self.config.shares_voter_set(reply.electorate)
        )
        if foreign:
            # Voters of two sets that have nothing in common would each form their own majority and could
            # grant one lease to two holders.
            self._log_not_voting(
                f"{foreign[0]} votes with others: name the former voters as `before` in all balancers' files"
            )
            return
        all_replied = len(replies) == len(others)
        if not all_replied and any(reply.electorate != self.config.electorate for reply in replies.values()):
            # A majority of the voters that have not replied may still vote under the electorate from before
            # the change.
            if self._seq > 1:  # after the first round only: its replies may still be on their way
                self._log_not_voting("the voters are being changed, and not all of them have replied")
            return
        # A majority that voted for a token includes at least half of the other voters. A majority of all
        # voters that does not count this one is more than half of the others, so one of them voted for that
        # token.
        with_tokens = {name: reply for name, reply in replies.items() if reply.is_voting}
        if self.config.has_majority(with_tokens):
            self.token_floor = max(
                [self.token_floor, *(reply.highest_token for reply in with_tokens.values())]
            )
            self._start_voting("tokens learnt from a majority of the voters")
        elif all_replied:
            highest_token = max([self.token_floor, *(reply.highest_token for reply in replies.values())])
            self.token_floor = highest_token + TOKEN_JUMP if highest_token else 0
            self._start_voting(f"{len(others) - len(with_tokens)} other voters have lost their tokens too")

    def _log_not_voting(self, reason: str) -> None:
        if reason != self._logged_reason:
            self._logged_reason = reason
            self.log_lines.append(f"not voting: {reason}")

    def _on_status_request(self, message: StatusRequest, now: float) -> None:
        # The proposer's token is not verified, so it may raise the floor only, and by `TOKEN_JUMP` at most.
        if message.known_token > self.highest_token:
            self.token_floor = max(
                self.token_floor, min(message.known_token, self.highest_token + TOKEN_JUMP)
            )
        grant = self._current_grant(message.lease, now)
        is_own = grant is not None and (
            grant.successor == message.source.name or self._is_holder(grant, message.source)
        )
        holder = "" if grant is None or is_own else grant.successor or grant.holder
        remaining_ms = 0 if grant is None or is_own else max(0, round((grant.valid_until - now) * 1000)) + 1
        highest_token = self.highest_tokens.get(message.lease, self.token_floor)
        self._send(
            message.source,
            StatusReply(
                message.seq,
                self.identity,
                message.lease,
                self.is_voting,
                holder,
                remaining_ms,
                highest_token,
            ),
        )

    def _is_holder(self, grant: Grant, process: ProcessIdentity) -> bool:
        return (
            not grant.successor and grant.holder == process.name and grant.instance_id == process.instance_id
        )

    def _current_grant(self, lease: str, now: float) -> Grant | None:
        grant = self.grants.get(lease)
        if grant is not None and now >= grant.valid_until:
            del self.grants[lease]
            return None
        return grant

    def _vote(self, message: ProposeRequest, now: float) -> str:
        """Grant the lease and return an empty string, or return why it is refused."""
        if not self.is_voting:
            return "does not vote yet"
        if not self.config.is_covered_by(message.electorate):
            return "another electorate"
        if message.length_ms > self.config.max_length * 1000:
            return "longer than a lease may be"
        if not self.config.is_valid_lease(message.lease):
            return "no such lease"
        lease, process = message.lease, message.source
        grant, highest_token = (
            self._current_grant(lease, now),
            self.highest_tokens.get(lease, self.token_floor),
        )
        if grant is not None and not self._is_holder(grant, process) and grant.successor != process.name:
            return f"held by {grant.successor or grant.holder}"
        is_repeat = grant is not None and self._is_holder(grant, process) and grant.token == message.token
        if not is_repeat and message.token <= highest_token:
            return "token spent"
        if message.token > self.token_limit:
            return "token not written down yet"
        if len(self.highest_tokens) >= MAX_TRACKED_LEASES and lease not in self.highest_tokens:
            self._forget_unheld_leases(now)
            if len(self.highest_tokens) >= MAX_TRACKED_LEASES:
                return "too many names"
        self.highest_tokens[lease] = max(highest_token, message.token)
        valid_until = now + grant_duration(message.length_ms / 1000)
        if is_repeat and grant is not None:
            grant.valid_until = max(grant.valid_until, valid_until)
        else:
            self.grants[lease] = Grant(
                process.name,
                process.instance_id,
                message.token,
                valid_until,
                hash_grant(lease, message.token),
            )
        return ""

    def _forget_unheld_leases(self, now: float) -> None:
        """Drop the stored tokens of leases without a grant, and raise the floor to the highest of them."""
        for lease in list(self.highest_tokens):
            if self._current_grant(lease, now) is None:
                self.token_floor = max(self.token_floor, self.highest_tokens.pop(lease))

    def _on_renew_request(self, message: RenewRequest, now: float) -> None:
        process = message.source
        if not self.is_voting and not self.config.shares_voter_set(message.electorate):
            # Somebody holds leases by a majority of other voters, from which this one was just removed: wait
            # until such leases are over.
            self._recover_at = max(self._recover_at, now + grant_duration(self.config.max_length))
            self._log_not_voting(
                f"{process.name} holds leases by other voters: name them as `before` in all balancers' files"
            )
        if (
            not self.config.is_covered_by(message.electorate)
            or message.length_ms > self.config.max_length * 1000
        ):
            return
        key = process.name, process.instance_id
        if message.seq <= self._renewal_seqs.get(key, -1):
            return
        count, digest = 0, 0
        valid_until = now + grant_duration(message.length_ms / 1000)
        for lease, grant in list(self.grants.items()):
            if self._is_holder(grant, process) and self._current_grant(lease, now) is not None:
                grant.valid_until = max(grant.valid_until, valid_until)
                count += 1
                digest = (digest + grant.grant_hash) % 2**62
        if count:
            self._renewal_seqs[key] = message.seq
        else:
            self._renewal_seqs.pop(key, None)
        self._send(process, RenewReply(message.seq, self.identity, count, digest))

    def _on_release_request(self, message: ReleaseRequest, now: float) -> None:
        """End the grant, or reserve the lease for the successor.

        The token has to match: otherwise a delayed release of an earlier hold would end the present grant.
        """
        grant = self.grants.get(message.lease)
        if grant is None or not self._is_holder(grant, message.source) or grant.token != message.token:
            return
        if message.successor:
            grant.successor = message.successor
            grant.valid_until = min(grant.valid_until, now + self.config.transfer_reservation)
        else:
            del self.grants[message.lease]

    def _send(self, destination: ProcessIdentity, message: Message) -> None:
        self.out.append(OutgoingMessage(destination.address, message))
