"""Messages between proposers, lease holders and voters.

Each message is encoded as an array, like those of membership: fields go by position, and new fields are added
at the end. Nothing here does I/O.

| message | from, to | meaning |
| --- | --- | --- |
| `StatusRequest` | proposer, voters | is this lease free, and which token is the highest? changes no state |
| `StatusReply` | voter, proposer | the holder, the remaining time and the highest token |
| `ProposeRequest` | proposer, voters | grant me this lease under this token |
| `ProposeReply` | voter, proposer | granted, or refused with a reason |
| `RenewRequest` | holder, voters | renew all leases that I hold |
| `RenewReply` | voter, holder | the renewed leases, as their count and a digest |
| `ReleaseRequest` | holder, voters | this token is over; keep the lease for the successor, if any |
| `ReleaseReply` | voter, holder | acknowledges a release |
| `TransferNotice` | holder, successor | you may propose for this lease, above this token |
| `RecoveryRequest` | voter, voters | which token is the highest? sent by a voter that has lost its state |
| `RecoveryReply` | voter, voter | the highest token and the electorate |
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from switchhub.membership.messages import HostPort, UInt32

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Token = Annotated[int, Meta(ge=0, lt=2**62)]
LengthMs = Annotated[int, Meta(ge=1, le=600_000)]
ShortText = Annotated[str, Meta(max_length=64)]
Electorate = tuple[UInt32, UInt32]  # see `config.LeaseConfig.electorate`


class ProcessIdentity(Struct, frozen=True, array_like=True):
    """One process of a balancer. A process that was restarted holds none of its predecessor's leases."""

    name: Name  # the balancer's
    instance_id: UInt32  # drawn at random by each process at its start
    address: HostPort


class StatusRequest(Struct, frozen=True, array_like=True, tag=16):
    """Asks a voter whether a lease is free; changes no state."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    known_token: Token  # the highest token that the proposer knows of


class StatusReply(Struct, frozen=True, array_like=True, tag=17):
    """A voter's view of a lease."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    is_voting: bool  # whether this voter votes yet
    holder: ShortText  # empty if the lease is free for the proposer
    remaining_ms: Annotated[int, Meta(ge=0, lt=2**32)]
    highest_token: Token


class ProposeRequest(Struct, frozen=True, array_like=True, tag=18):
    """Asks a voter to grant a lease under a token."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    length_ms: LengthMs
    electorate: Electorate


class ProposeReply(Struct, frozen=True, array_like=True, tag=19):
    """A voter's vote on a proposal."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    granted: bool
    highest_token: Token
    reason: ShortText  # why it was refused; empty if it was granted


class RenewRequest(Struct, frozen=True, array_like=True, tag=20):
    """Asks a voter to renew all leases that it has granted to the sender."""

    seq: UInt32
    source: ProcessIdentity
    length_ms: LengthMs
    electorate: Electorate


class RenewReply(Struct, frozen=True, array_like=True, tag=21):
    """Tells a holder which of its leases a voter has renewed."""

    seq: UInt32
    source: ProcessIdentity
    count: UInt32
    digest: Annotated[int, Meta(ge=0, lt=2**62)]  # sum of `config.hash_grant` over the renewed, modulo 2^62


class ReleaseRequest(Struct, frozen=True, array_like=True, tag=22):
    """Tells a voter that the sender no longer uses a token."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    successor: ShortText  # the name of the balancer for which the lease is reserved; empty if none


class ReleaseReply(Struct, frozen=True, array_like=True, tag=23):
    """Acknowledges a release."""

    seq: UInt32
    source: ProcessIdentity


class TransferNotice(Struct, frozen=True, array_like=True, tag=24):
    """Tells the successor that it may propose for a lease above the holder's former token."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token


class RecoveryRequest(Struct, frozen=True, array_like=True, tag=25):
    """Asks another voter for its highest token; sent by a voter that has lost its state."""

    seq: UInt32
    source: ProcessIdentity


class RecoveryReply(Struct, frozen=True, array_like=True, tag=26):
    """A voter's highest token and electorate."""

    seq: UInt32
    source: ProcessIdentity
    highest_token: Token
    is_voting: bool  # whether it votes, so that it knows every token it has voted for
    electorate: Electorate


class OutgoingMessage(NamedTuple):
    """A message and the address to send it to."""

    address: str
    message: Message


Message = (
    StatusRequest
    | StatusReply
    | ProposeRequest
    | ProposeReply
    | RenewRequest
    | RenewReply
    | ReleaseRequest
    | ReleaseReply
    | TransferNotice
    | RecoveryRequest
    | RecoveryReply
)
