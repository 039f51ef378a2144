"""What holders and voters say to each other.

Owns: the messages' shapes. Must never: do I/O. All are arrays, as those of membership, and take further
fields at their end.

| message | from, to | says |
| --- | --- | --- |
| `Ask` | asker, voters | is this name free, and which tokens do you know? changes nothing |
| `Told` | voter, asker | who holds it and for how long, the highest token |
| `Bid` | asker, voters | give me this name under this token |
| `Answer` | voter, asker | yes, or no and why |
| `Renew` | holder, voters | all that I hold, once more |
| `Renewed` | voter, holder | which that is, as one number |
| `Drop` | holder, voters | this token is over; the name is for that one alone for a moment, if one is named |
| `Pass` | holder, successor | it is yours to bid for, above this token |
| `Learn`, `Learnt` | voter, voters | which tokens do you know? by one that has forgotten |
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from switchhub.membership.messages import HostPort, UInt32

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Token = Annotated[int, Meta(ge=0, lt=2**62)]
Length = Annotated[int, Meta(ge=1, le=600_000)]  # milliseconds
Word = Annotated[str, Meta(max_length=64)]
Electorate = tuple[UInt32, UInt32]  # `rules.Terms.electorate`


class Who(Struct, frozen=True, array_like=True):
    """One life of one balancer: a process that was started again holds nothing of what it held."""

    name: Name
    life: UInt32
    address: HostPort


class Ask(Struct, frozen=True, array_like=True, tag=16):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    known: Token  # the highest token that the asker knows of


class Told(Struct, frozen=True, array_like=True, tag=17):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    votes: bool  # whether this voter votes yet
    holder: Word
    left_ms: Annotated[int, Meta(ge=0, lt=2**32)]
    top: Token


class Bid(Struct, frozen=True, array_like=True, tag=18):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    token: Token
    length_ms: Length
    electorate: Electorate


class Answer(Struct, frozen=True, array_like=True, tag=19):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    token: Token
    yes: bool
    top: Token
    why: Word


class Renew(Struct, frozen=True, array_like=True, tag=20):
    """See above."""

    seq: UInt32
    source: Who
    length_ms: Length
    electorate: Electorate


class Renewed(Struct, frozen=True, array_like=True, tag=21):
    """See above."""

    seq: UInt32
    source: Who
    count: UInt32
    digest: Annotated[int, Meta(ge=0, lt=2**62)]


class Drop(Struct, frozen=True, array_like=True, tag=22):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    token: Token
    heir: Word  # a balancer's name


class Dropped(Struct, frozen=True, array_like=True, tag=23):
    """Heard."""

    seq: UInt32
    source: Who


class Pass(Struct, frozen=True, array_like=True, tag=24):
    """See above."""

    seq: UInt32
    source: Who
    lease: Name
    token: Token


class Learn(Struct, frozen=True, array_like=True, tag=25):
    """See above."""

    seq: UInt32
    source: Who


class Learnt(Struct, frozen=True, array_like=True, tag=26):
    """See above."""

    seq: UInt32
    source: Who
    top: Token
    remembers: bool
    electorate: Electorate


class Send(NamedTuple):
    """A message to an address."""

    address: str
    message: Message


Message = Ask | Told | Bid | Answer | Renew | Renewed | Drop | Dropped | Pass | Learn | Learnt
