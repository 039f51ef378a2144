"""What passes between an old and a new process, as text and back.

Owns: the form and its number. Must never: do I/O, or trust what it reads: the other side may be any version.

    new -> old   ask (form, listen), take (which queue, generation), got (a connection that was passed)
    old -> new   listener (generation), or no (why); known (discovery, list), held (connections), yours (what
                 was learnt); then, as things change, pass (one connection)
                 join (form, listen, queue, born) comes first from an old one that has lost its newer process
    both         held, ended (ids), sent (to cold servers), as things change; right, beat (`accept_right.py`)

One that speaks the form without the right says no generation and no queue; then it is as it was without.

Sockets travel beside a message: the listening one with `listener`, a client's and its server's with `pass`.
Names stand for classes, tenants, zones and kinds: an index means something to one process only.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from switchhub.decision.interface import LearnedServer, LearnedState, Request

PROTOCOL_VERSION = 1
CHUNK = 64  # connections in one message
MESSAGE_MAX = 1 << 17  # bytes


class MessageError(ValueError):
    """A message that is none, or of an unknown form."""


class HeldConnection(NamedTuple):
    """A connection that the old process holds: being set up or standing."""

    id: str
    class_name: str
    tenant: str
    key: str | None
    group: str | None
    hint: float | None
    server: str
    load: float


class PassedConnection(NamedTuple):
    """A standing connection on its way: what the new process needs to go on with it."""

    held: HeldConnection
    from_client: bytes
    from_server: bytes  # read and not passed on yet: half a line
    asked: tuple[float, ...]  # when lines went that wait for an answer
    heard: float  # when its client last sent something
    usual: float
    last: bytes
    move: bool  # it is to be moved as soon as that can be


def encode_message(kind: str, **values: Any) -> bytes:
    """A message."""
    return json.dumps({"is": kind, **values}, separators=(",", ":")).encode()


def decode_message(data: bytes) -> tuple[str, dict[str, Any]]:
    """A message's kind and its values."""
    try:
        values = json.loads(data)
        kind = values.pop("is")
    except (ValueError, AttributeError, KeyError, TypeError) as error:
        raise MessageError(f"no message: {type(error).__name__}: {error}") from None
    if not isinstance(kind, str):
        raise MessageError("no message: its kind is no word")
    return kind, values


def non_negative_int(value: Any) -> int:
    """A whole number that is not negative."""
    if not isinstance(value, int) or value < 0:
        raise MessageError(f"no number: {value!r}")
    return value


def encode_held(connections: Iterable[HeldConnection]) -> list[bytes]:
    """As many messages as it takes."""
    rows = [list(each) for each in connections]
    return [encode_message("held", connections=rows[at : at + CHUNK]) for at in range(0, len(rows), CHUNK)]


def decode_held(values: Mapping[str, Any]) -> list[HeldConnection]:
    """The connections of such a message."""
    try:
        return [_held(row) for row in values["connections"]]
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(f"held: {type(error).__name__}: {error}") from None


def _held(row: Any) -> HeldConnection:
    one = HeldConnection(*row)
    words = (one.id, one.class_name, one.tenant, one.server)
    if not all(isinstance(each, str) for each in words) or not one.id:
        raise ValueError("not a connection")
    hint = None if one.hint is None else float(one.hint)
    return one._replace(hint=hint, load=float(one.load))


def decode_sent(values: Mapping[str, Any]) -> list[tuple[str, float, float]]:
    """What was sent to cold servers: which, when, how much."""
    try:
        told = [(str(server), float(at), float(push)) for server, at, push in values["servers"]]
        if not all(math.isfinite(at) and math.isfinite(push) for _, at, push in told):
            raise ValueError("not finite")
        return told
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(f"sent: {type(error).__name__}: {error}") from None


def encode_passed(one: PassedConnection) -> bytes:
    """One connection on its way."""
    values = one._asdict()
    for name in ("from_client", "from_server", "last"):
        values[name] = base64.b64encode(values[name]).decode()
    return encode_message("pass", **{**values, "held": list(one.held)})


def decode_passed(values: Mapping[str, Any]) -> PassedConnection:
    """The same, read."""
    try:
        return PassedConnection(
            held=_held(values["held"]),
            from_client=base64.b64decode(values["from_client"], validate=True),
            from_server=base64.b64decode(values["from_server"], validate=True),
            asked=tuple(float(each) for each in values["asked"]),
            heard=float(values["heard"]),
            usual=float(values["usual"]),
            last=base64.b64decode(values["last"], validate=True),
            move=bool(values["move"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MessageError(f"pass: {type(error).__name__}: {error}") from None


def encode_learnt(learnt: LearnedState) -> list[Any]:
    """What the module has learnt."""
    return [*learnt[:-1], [[*each[:-1], list(each.sent)] for each in learnt.servers]]


def decode_learnt(row: Any) -> LearnedState:
    """The same, read."""
    try:
        hint, time, spread, strain_at, servers = row
        known = tuple(_server_learnt(each) for each in servers)
        return LearnedState(float(hint), float(time), float(spread), float(strain_at), known)
    except (TypeError, ValueError) as error:
        raise MessageError(f"learnt: {type(error).__name__}: {error}") from None


def _server_learnt(row: Any) -> LearnedServer:
    name, luck, fails, aside_until, limit, limit_at, sent = row
    return LearnedServer(
        str(name),
        float(luck),
        int(fails),
        float(aside_until),
        float(limit),
        float(limit_at),
        tuple((float(at), float(push)) for at, push in sent),
    )


def request_of(held: HeldConnection, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Request:
    """The request as the module counts it. A class or tenant that this process does not know is its first."""
    index, tenant = classes.get(held.class_name, 0), tenants.get(held.tenant, 0)
    return Request(held.id, index, 0.0, tenant, held.load or held.hint, held.key, held.group)
