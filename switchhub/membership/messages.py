"""What balancers say to each other of who is there: the forms, bounded field by field.

Owns: the messages' shapes and the order of what is said of one member. Must never: do I/O, or hold what
somebody believes.

All are arrays: fields are added at the end only, and who does not know a field skips it. Of two sayings of
one member the greater one stands, first by incarnation, then by state; so what all have heard, all believe,
in whatever order it came.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_INCARNATION = 2**62  # the greatest incarnation that is read
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HostPort = Annotated[str, Meta(min_length=3, max_length=64)]  # HOST:PORT
UInt32 = Annotated[int, Meta(ge=0, lt=2**32)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]


class State(IntEnum):
    """What is said of a member; of one incarnation the greater state stands."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(Struct, frozen=True, array_like=True):
    """What is said of one member."""

    name: Name
    address: HostPort
    life: UInt32  # drawn by each process at its start: tells two processes with one name apart
    incarnation: Incarnation  # raised by the member alone
    state: State
    by: Annotated[str, Meta(max_length=64)]  # who says so first: a suspicion's witness

    def supersedes(self, other: MemberUpdate) -> bool:
        """Whether this is the later word."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class Source(Struct, frozen=True, array_like=True):
    """Who sends."""

    name: Name
    address: HostPort
    life: UInt32
    incarnation: Incarnation
    age: Annotated[int, Meta(ge=0, lt=2**53)]  # milliseconds since its start, by its own clock

    def as_update(self) -> MemberUpdate:
        """It lives, by its own word."""
        return MemberUpdate(self.name, self.address, self.life, self.incarnation, State.ALIVE, self.name)


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Is the one of this name there? An empty name means anybody."""

    seq: UInt32
    source: Source
    target: Annotated[str, Meta(max_length=64)]
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]
    bare: bool = False  # answer in few bytes: larger datagrams may not get through


class IndirectPing(Struct, frozen=True, array_like=True, tag=2):
    """Ask that one for me."""

    seq: UInt32
    source: Source
    target: Name
    address: HostPort
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]


class Ack(Struct, frozen=True, array_like=True, tag=3):
    """Yes; `source` is the one that was asked, whoever passes it on."""

    seq: UInt32
    source: Source
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]
    via: Annotated[str, Meta(max_length=64)] = ""  # who passes it on; a process of before does not say


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """I am here and asked, and have heard nothing yet."""

    seq: UInt32
    source: Source


class FullState(Struct, frozen=True, array_like=True, tag=5):
    """All that I believe, over a connection; `wants` the same in return."""

    source: Source
    members: Annotated[tuple[MemberUpdate, ...], Meta(max_length=4096)]
    wants: bool


Message = Ping | IndirectPing | Ack | Nack | FullState
