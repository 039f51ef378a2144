"""Messages of the membership protocol, with bounds on every field, and the order of updates about a member.

Messages are encoded as arrays: new fields are added only at the end, and a receiver ignores fields that it
does not know. Of two updates about a member the greater one wins, compared first by incarnation, then by
state. All members that have received the same updates therefore agree, in whatever order they arrived.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct

MAX_INCARNATION = 2**62  # greatest incarnation accepted when decoding
Name = Annotated[str, Meta(min_length=1, max_length=64)]
HostPort = Annotated[str, Meta(min_length=3, max_length=64)]  # HOST:PORT
UInt32 = Annotated[int, Meta(ge=0, lt=2**32)]
Incarnation = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]


class State(IntEnum):
    """State of a member; within one incarnation the greater value supersedes the smaller."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(Struct, frozen=True, array_like=True):
    """The state of one member, as one member reports it."""

    name: Name
    address: HostPort
    instance_id: UInt32  # random number of a process, drawn at its start; tells processes of one name apart
    incarnation: Incarnation  # raised only by the member itself
    state: State
    reported_by: Annotated[str, Meta(max_length=64)]  # member that reported the state first

    def supersedes(self, other: MemberUpdate) -> bool:
        """Whether this update replaces the other one."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


class Source(Struct, frozen=True, array_like=True):
    """The sender of a message."""

    name: Name
    address: HostPort
    instance_id: UInt32
    incarnation: Incarnation
    age: Annotated[int, Meta(ge=0, lt=2**53)]  # milliseconds since the process started, by its own clock

    def as_update(self) -> MemberUpdate:
        """Return the update that the sender is alive, as reported by itself."""
        return MemberUpdate(
            self.name, self.address, self.instance_id, self.incarnation, State.ALIVE, self.name
        )


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Request for an `Ack` from the member `target`; an empty target means whichever member receives it."""

    seq: UInt32
    source: Source
    target: Annotated[str, Meta(max_length=64)]
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]
    compact: bool = False  # asks for an `Ack` with few updates, since large datagrams may be dropped


class IndirectPing(Struct, frozen=True, array_like=True, tag=2):
    """Request to ping `target` at `address` on the sender's behalf."""

    seq: UInt32
    source: Source
    target: Name
    address: HostPort
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]


class Ack(Struct, frozen=True, array_like=True, tag=3):
    """Acknowledgement of a ping; `source` is the member that was pinged, even if another one relays it."""

    seq: UInt32
    source: Source
    updates: Annotated[tuple[MemberUpdate, ...], Meta(max_length=64)]
    via: Annotated[str, Meta(max_length=64)] = ""  # member that relays it; older versions omit this field


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Reply to an `IndirectPing`: the sender has pinged the target and has not received an `Ack` in time."""

    seq: UInt32
    source: Source


class FullState(Struct, frozen=True, array_like=True, tag=5):
    """All members known to the sender, sent over TCP; `wants_reply` requests the receiver's list."""

    source: Source
    members: Annotated[tuple[MemberUpdate, ...], Meta(max_length=4096)]
    wants_reply: bool


Message = Ping | IndirectPing | Ack | Nack | FullState
