"""What holders and voters say to each other.

Owns: the messages' shapes. Must never: do I/O. All are arrays, as those of membership, and take further
fields at their end.

| message | from, to | says |
| --- | --- | --- |
| `StatusRequest` | asker, voters | is this name free, and which tokens do you know? changes nothing |
| `StatusReply` | voter, asker | who holds it and for how long, the highest token |
| `ProposeRequest` | asker, voters | give me this name under this token |
| `ProposeReply` | voter, asker | yes, or no and why |
| `RenewRequest` | holder, voters | all that I hold, once more |
| `RenewReply` | voter, holder | which that is, as one number |
| `ReleaseRequest` | holder, voters | this token is over; the name is kept for a successor, if one is named |
| `TransferNotice` | holder, successor | it is yours to bid for, above this token |
| `RecoveryRequest`, `RecoveryReply` | voter, voters | which tokens do you know? by one that has forgotten |
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from switchhub.membership.messages import HostPort, UInt32

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Token = Annotated[int, Meta(ge=0, lt=2**62)]
LengthMs = Annotated[int, Meta(ge=1, le=600_000)]  # milliseconds
ShortText = Annotated[str, Meta(max_length=64)]
Electorate = tuple[UInt32, UInt32]  # `config.LeaseConfig.electorate`


class ProcessIdentity(Struct, frozen=True, array_like=True):
    """One life of one balancer: a process that was started again holds nothing of what it held."""

    name: Name
    life: UInt32
    address: HostPort


class StatusRequest(Struct, frozen=True, array_like=True, tag=16):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    known: Token  # the highest token that the asker knows of


class StatusReply(Struct, frozen=True, array_like=True, tag=17):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    is_voting: bool  # whether this voter votes yet
    holder: ShortText
    left_ms: Annotated[int, Meta(ge=0, lt=2**32)]
    top: Token


class ProposeRequest(Struct, frozen=True, array_like=True, tag=18):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    length_ms: LengthMs
    electorate: Electorate


class ProposeReply(Struct, frozen=True, array_like=True, tag=19):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    yes: bool
    top: Token
    why: ShortText


class RenewRequest(Struct, frozen=True, array_like=True, tag=20):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    length_ms: LengthMs
    electorate: Electorate


class RenewReply(Struct, frozen=True, array_like=True, tag=21):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    count: UInt32
    digest: Annotated[int, Meta(ge=0, lt=2**62)]


class ReleaseRequest(Struct, frozen=True, array_like=True, tag=22):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token
    heir: ShortText  # a balancer's name


class ReleaseReply(Struct, frozen=True, array_like=True, tag=23):
    """Heard."""

    seq: UInt32
    source: ProcessIdentity


class TransferNotice(Struct, frozen=True, array_like=True, tag=24):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    lease: Name
    token: Token


class RecoveryRequest(Struct, frozen=True, array_like=True, tag=25):
    """See above."""

    seq: UInt32
    source: ProcessIdentity


class RecoveryReply(Struct, frozen=True, array_like=True, tag=26):
    """See above."""

    seq: UInt32
    source: ProcessIdentity
    top: Token
    remembers: bool
    electorate: Electorate


class OutgoingMessage(NamedTuple):
    """A message to an address."""

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
