"""The lease service of one balancer: it votes, if it is a voter, and holds leases on request.

`LeaseService` owns the balancer's voter and proposer, and records who wants which lease until when. It does
no I/O and reads no clock.

Commands outside of the process hold a lease by calling `hold_external` again and again; after
`EXTERNAL_HOLD_TIMEOUT` seconds without a call the lease is released. Parts of the balancer call `acquire` and
hold the lease until `release`. A name with several slots is held by holding one of its slots: one slot is
requested at a time, and the next one when another balancer holds that.

A command that can't reach its balancer must have ended before the balancer's lease does. So each reply to a
command says how long the lease lasts, the command counts from when it sent the request, and a lease is not
released for lack of calls before that time is over.
"""

from __future__ import annotations

import math

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

EXTERNAL_HOLD_TIMEOUT = 2.0  # seconds without a call after which an external hold is released
MAX_REPORTED_REMAINING_MS = 1800  # reported to commands; below EXTERNAL_HOLD_TIMEOUT at any allowed drift
MAX_EXTERNAL_HOLDS = 10_000  # leases held for commands at a time
PROPOSER_MESSAGES = (StatusReply, ProposeReply, RenewReply, ReleaseReply, TransferNotice)


class LeaseService:
    """Votes on leases and holds them for one balancer; see the module's docstring."""

    def __init__(
        self,
        identity: ProcessIdentity,
        config: LeaseConfig,
        seed: int,
        now: float,
        token_floor: int | None = None,
        persists_tokens: bool = False,
        same_electorate: bool = True,
    ) -> None:
        self.identity, self.config = identity, config
        self.proposer = Proposer(identity, config, seed, now)
        self.voter = None
        if identity.address in config.all_voters:
            self.voter = Voter(identity, config, now, token_floor, persists_tokens, same_electorate)
        self.out: list[OutgoingMessage] = []
        self.log_lines: list[str] = []
        # By name, when a hold ends unless renewed; the first to end is the first one.
        self._external_expiry: dict[str, float] = {}
        self._slots: dict[str, int] = {}  # by name with slots, the slot that is wanted
        self._random = RandomSource(seed)
        self._requested_releases: dict[str, tuple[str, str]] = {}  # by lease: successor, its address

    def hold_external(self, lease: str, now: float) -> None:
        """Acquire the lease for a command, or keep it for another `EXTERNAL_HOLD_TIMEOUT` seconds.

        Does nothing if the lease's release was requested, or if `MAX_EXTERNAL_HOLDS` others are held.
        """
        if lease in self._requested_releases:
            return
        if lease in self._external_expiry or len(self._external_expiry) < MAX_EXTERNAL_HOLDS:
            self._external_expiry.pop(lease, None)
            self._external_expiry[lease] = now + EXTERNAL_HOLD_TIMEOUT
            self.acquire(lease, now)

    def acquire(self, name: str, now: float) -> None:
        """Start to acquire the name, or one of its slots, and keep it until `release`."""
        if (slot_count := self.config.slot_count(name)) and name not in self._slots:
            self._slots[name] = self._random.randrange(slot_count)
        self.proposer.acquire(self.lease_for(name), now)
        self._collect_output(now)

    def lease_for(self, name: str) -> str:
        """Return the lease that is wanted for this name: the name itself, or one of its slots."""
        return f"{name}#{self._slots[name]}" if name in self._slots else name

    def held_token(self, name: str, now: float) -> int | None:
        """Return the token with which the present hold began, or None if the name is not held now."""
        lease = self.lease_for(name)
        return (
            None if self.proposer.held_token(lease, now) is None else self.proposer.wanted[lease].first_token
        )

    def _change_slot(self, name: str, now: float, slot: int | None = None) -> None:
        """Want another slot: the given one, or the next. A slot that is held or proposed for is kept.

        The wait until the next attempt is divided by the number of slots, so that all of them are tried in
        the time of one wait.
        """
        previous = self.proposer.wanted.get(self.lease_for(name))
        if previous is None or previous.held is not None or previous.pending is not None:
            return
        next_attempt_at, slot_count = previous.next_attempt_at, self.config.slot_count(name)
        self.proposer.release(self.lease_for(name), now)
        self._slots[name] = (self._slots[name] + 1) % slot_count if slot is None else slot
        self.proposer.acquire(
            self.lease_for(name), now if slot is not None else now + (next_attempt_at - now) / slot_count
        )

    def request_release(self, lease: str, now: float, successor: str = "", address: str = "") -> bool:
        """Release or transfer a lease on an operator's request; return whether it was wanted here.

        A lease of an external command stays held until the command learns of this in the reply to its next
        call, stops and calls `release_external`: it acts until then, so nobody else may hold the lease.
        """
        if lease not in self._external_expiry:
            return self.release(lease, now, successor, address)
        self._requested_releases[lease] = successor, address
        return True

    def release_requested(self, lease: str) -> bool:
        """Return whether the command that holds this lease has to stop."""
        return lease in self._requested_releases

    def release_external(self, lease: str, now: float) -> bool:
        """Release a lease for which no command acts any more, or transfer it as `request_release` said."""
        return self.release(lease, now, *self._requested_releases.pop(lease, ("", "")))

    def release(self, name: str, now: float, successor: str = "", address: str = "") -> bool:
        """Release the name, or transfer it to a successor; return whether it was wanted here."""
        lease = self.lease_for(name)
        was_wanted = lease in self.proposer.wanted
        self._external_expiry.pop(name, None)
        self._slots.pop(name, None)
        self.proposer.release(lease, now, successor, address)
        self._collect_output(now)
        return was_wanted

    def release_internal(self, now: float) -> None:
        """Release all leases held for parts of this balancer, because the process stops.

        Leases of external commands are not released: a command acts until its calls get no reply. The voters
        keep those grants until after that.
        """
        for lease in list(self.proposer.wanted):
            if (name := lease.partition("#")[0]) not in self._external_expiry:
                self.release(name, now)

    def deadline(self) -> float:
        """Return the latest time at which `turn` has to be called; infinity if nothing is due."""
        due = min(self.proposer.deadline(), next(iter(self._external_expiry.values()), math.inf))
        return due if self.voter is None else min(due, self.voter.deadline())

    def turn(self, now: float) -> None:
        """Do what is due, including the release of external holds that were not renewed."""
        while self._external_expiry and now >= next(iter(self._external_expiry.values())):
            lease = next(iter(self._external_expiry))
            self.log_lines.append(f"{lease}: no call from its command in time, releasing it")
            self.release_external(lease, now)
        self.proposer.turn(now)
        if self.voter is not None:
            self.voter.turn(now)
        self._collect_output(now)

    def receive(self, now: float, message: Message) -> None:
        """Pass a message to the proposer or to the voter."""
        if isinstance(message, PROPOSER_MESSAGES):
            if isinstance(message, TransferNotice):
                name, _, slot = message.lease.partition("#")
                if name in self._slots and self.config.is_valid_lease(message.lease):
                    self._change_slot(name, now, int(slot))
            self.proposer.receive(now, message)
        elif self.voter is not None:
            self.voter.receive(now, message)
        self._collect_output(now)

    def _collect_output(self, now: float) -> None:
        events, self.proposer.events = self.proposer.events, []
        for event in events:
            name = event.lease.partition("#")[0]
            if event.kind == "taken":
                if name in self._slots and self.lease_for(name) == event.lease:
                    self._change_slot(name, now)
                continue
            self.log_lines.append(f"{event.lease} {event.kind} (token {event.token}): {event.reason}")
        self.out += self.proposer.out
        self.proposer.out.clear()
        if self.voter is not None:
            self.log_lines += self.voter.log_lines
            self.out += self.voter.out
            self.voter.log_lines.clear()
            self.voter.out.clear()

    def lease_status(self, name: str, now: float) -> dict[str, object]:
        """Return the status of one name, as in `lease_statuses`; the state is `unknown` if there is none."""
        lease = self.lease_for(name)
        return self._status(lease, now) or _status_row(lease, "", 0, 0, False, "unknown")

    def lease_statuses(self, now: float) -> list[dict[str, object]]:
        """Return the status of each lease that this balancer wants or has voted for, sorted by name.

        For a lease that this balancer holds, `token` is the one with which the hold began: it changes only if
        somebody else may have held the lease in between.
        """
        voted_for = set() if self.voter is None else set(self.voter.grants)
        statuses = (self._status(lease, now) for lease in sorted(voted_for | set(self.proposer.wanted)))
        return [status for status in statuses if status is not None]

    def _status(self, lease: str, now: float) -> dict[str, object] | None:
        """Return the status of one lease; None if it is neither wanted nor voted for here."""
        wanted = self.proposer.wanted.get(lease)
        if wanted is not None and self.proposer.held_token(lease, now) is not None:
            remaining_ms = round(self.proposer.remaining(lease, now) * 1000)
            return _status_row(
                lease, self.identity.name, wanted.first_token, remaining_ms, True, wanted.state
            )
        state = "voted for" if wanted is None else wanted.state
        grant = None if self.voter is None else self.voter.grants.get(lease)
        if grant is not None and now < grant.valid_until:
            remaining_ms = round((grant.valid_until - now) * 1000)
            return _status_row(
                lease, grant.successor or grant.holder, grant.token, remaining_ms, False, state
            )
        return None if wanted is None else _status_row(lease, "", 0, 0, False, state)


def _status_row(
    lease: str, holder: str, token: int, remaining_ms: int, is_mine: bool, state: str
) -> dict[str, object]:
    return {
        "name": lease,
        "holder": holder,
        "token": token,
        "remaining_ms": remaining_ms,
        "mine": is_mine,
        "state": state,
    }
