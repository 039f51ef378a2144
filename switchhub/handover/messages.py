"""Encodes and decodes the messages between an old and a new process of one balancer, as JSON objects.

Owns: the message format and its version. Must never: do I/O, or trust what it decodes: the peer may run any
version of the program.

The key `is` names the kind of a message:

    new -> old   ask       starts a handover: format version (form), clients' address (listen)
                 take      takes over: the accept queue that it listens on (queue), generation of its claim
                 got       confirms one connection that was passed on
    old -> new   listener  answers `ask`: the generation known, with the listening socket attached
                 no        turns `ask` down: reason (why); a new process turns `join` down with it
                 known     discovery address and server list
                 held      connections that the sender holds
                 yours     learned state of the decision module
                 pass      passes one connection on, with the client's and the server's socket attached
                 join      sent first, instead of `ask`, by an old process that has lost its new one: form,
                           listen, queue, start time of the sender (born)
    both         held      connections that the sender holds now
                 ended     ids of connections that the sender no longer holds, or of which it may hold one
                           later: they are used up for the receiver
                 sent      load that was sent to cold servers
                 right     a claim to the right to accept (`accept_right.py`)
                 beat      a heartbeat (`accept_right.py`)

A process of a version without the right to accept sends no generation and no queue. Toward it, this process
sends neither claims nor heartbeats, and the newer process alone accepts.

Classes, tenants, zones and kinds go by name, since an index is valid within one process only.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from switchhub.decision.interface import LearnedServer, LearnedState, Request

PROTOCOL_VERSION = 1  # field `form`; processes of different versions do not join
CONNECTIONS_PER_MESSAGE = 64  # connections in one `held` message
IDS_PER_MESSAGE = 512  # ids in one `ended` message
MAX_MESSAGE_BYTES = 1 << 17  # of one message as received
MALFORMED = (KeyError, TypeError, ValueError, OverflowError)  # what decoding a malformed message raises


class MessageError(ValueError):
    """A message is malformed, unexpected or of an unsupported version."""


class HeldConnection(NamedTuple):
    """A connection that the sending process holds, established or being set up.

    The fields travel as a JSON array, in this order."""

    id: str
    class_name: str
    tenant: str
    key: str | None
    group: str | None
    hint: float | None
    server: str
    load: float


class PassedConnection(NamedTuple):
    """The state of an established connection that is passed on to the new process.

    The fields travel under these names. Times are Unix times in milliseconds."""

    held: HeldConnection
    from_client: bytes  # read from the client, not forwarded yet
    from_server: bytes  # read from the server, not forwarded yet: an incomplete line
    asked: tuple[float, ...]  # when the client's lines that still wait for an answer were sent
    heard: float  # when the client last sent something
    usual: float  # the usual load of this connection
    last: bytes  # the first word of the last line that the server sent
    move: bool  # whether the client is to be moved as soon as possible


def encode_message(kind: str, **values: Any) -> bytes:
    """Return a message of this kind with these values."""
    return json.dumps({"is": kind, **values}, separators=(",", ":")).encode()


def decode_message(data: bytes) -> tuple[str, dict[str, Any]]:
    """Return a message's kind and values; raise `MessageError` if it has none."""
    try:
        values = json.loads(data)
        kind = values.pop("is")
    except (ValueError, AttributeError, KeyError, TypeError) as error:
        raise MessageError(f"malformed message: {type(error).__name__}: {error}") from None
    if not isinstance(kind, str):
        raise MessageError("malformed message: its kind is not a string")
    return kind, values


def non_negative_int(value: Any) -> int:
    """Return the value if it is an integer of at least 0; raise `MessageError` otherwise."""
    if not isinstance(value, int) or value < 0:
        raise MessageError(f"expected a non-negative integer, got {value!r}")
    return value


def encode_held(connections: Iterable[HeldConnection]) -> list[bytes]:
    """Return as many `held` messages as these connections need."""
    rows = [list(connection) for connection in connections]
    return [
        encode_message("held", connections=rows[start : start + CONNECTIONS_PER_MESSAGE])
        for start in range(0, len(rows), CONNECTIONS_PER_MESSAGE)
    ]


def encode_ended(ids: Sequence[str]) -> list[bytes]:
    """Return as many `ended` messages as these ids need."""
    return [
        encode_message("ended", ids=ids[start : start + IDS_PER_MESSAGE])
        for start in range(0, len(ids), IDS_PER_MESSAGE)
    ]


def decode_ended(values: Mapping[str, Any]) -> list[str]:
    """Return the ids of an `ended` message; raise `MessageError` if it is malformed."""
    ids = values.get("ids")
    if not isinstance(ids, list) or not all(isinstance(each, str) for each in ids):
        raise MessageError("malformed ended message: expected a list of strings")
    return ids


def decode_held(values: Mapping[str, Any]) -> list[HeldConnection]:
    """Return the connections of a `held` message; raise `MessageError` if one is malformed."""
    try:
        return [_decode_held_row(row) for row in values["connections"]]
    except MALFORMED as error:
        raise MessageError(f"malformed held message: {type(error).__name__}: {error}") from None


def _decode_held_row(row: Any) -> HeldConnection:
    connection = HeldConnection(*row)
    strings = (connection.id, connection.class_name, connection.tenant, connection.server)
    if not all(isinstance(string, str) for string in strings) or not connection.id:
        raise ValueError("expected strings as id, class, tenant and server, and an id that is not empty")
    hint, load = None if connection.hint is None else float(connection.hint), float(connection.load)
    if not (math.isfinite(hint or 0.0) and math.isfinite(load)):
        raise ValueError("expected finite numbers as hint and load")
    return connection._replace(hint=hint, load=load)


def decode_sent(values: Mapping[str, Any]) -> list[tuple[str, float, float]]:
    """Return what was sent to cold servers: server, Unix time in milliseconds, load.

    Raises `MessageError` if the message is malformed or a number in it is not finite."""
    try:
        sent = [
            (str(server), float(sent_at), float(sent_load))
            for server, sent_at, sent_load in values["servers"]
        ]
        if not all(math.isfinite(sent_at) and math.isfinite(sent_load) for _, sent_at, sent_load in sent):
            raise ValueError("expected finite numbers")
        return sent
    except MALFORMED as error:
        raise MessageError(f"malformed sent message: {type(error).__name__}: {error}") from None


def encode_passed(connection: PassedConnection) -> bytes:
    """Return the `pass` message of a connection."""
    values = connection._asdict()
    for name in ("from_client", "from_server", "last"):
        values[name] = base64.b64encode(values[name]).decode()
    return encode_message("pass", **{**values, "held": list(connection.held)})


def decode_passed(values: Mapping[str, Any]) -> PassedConnection:
    """Return the connection of a `pass` message; raise `MessageError` if it is malformed."""
    try:
        return PassedConnection(
            held=_decode_held_row(values["held"]),
            from_client=base64.b64decode(values["from_client"], validate=True),
            from_server=base64.b64decode(values["from_server"], validate=True),
            asked=tuple(float(sent_at) for sent_at in values["asked"]),
            heard=float(values["heard"]),
            usual=float(values["usual"]),
            last=base64.b64decode(values["last"], validate=True),
            move=bool(values["move"]),
        )
    except MALFORMED as error:
        raise MessageError(f"malformed pass message: {type(error).__name__}: {error}") from None


def encode_learned_state(learned_state: LearnedState) -> list[Any]:
    """Return the decision module's learned state as a JSON array."""
    return [
        *learned_state[:-1],
        [[*server_state[:-1], list(server_state.sent)] for server_state in learned_state.servers],
    ]


def decode_learned_state(row: Any) -> LearnedState:
    """Return the learned state in such an array; raise `MessageError` if it is malformed."""
    try:
        mean_hint, setup_time, setup_deviation, overload_at, servers = row
        known = tuple(_decode_server_row(server_row) for server_row in servers)
        return LearnedState(
            float(mean_hint), float(setup_time), float(setup_deviation), float(overload_at), known
        )
    except MALFORMED as error:
        raise MessageError(f"malformed learned state: {type(error).__name__}: {error}") from None


def _decode_server_row(row: Any) -> LearnedServer:
    name, rounding_offset, failures, ejected_until, limit, limit_at, sent = row
    return LearnedServer(
        str(name),
        float(rounding_offset),
        int(failures),
        float(ejected_until),
        float(limit),
        float(limit_at),
        tuple((float(sent_at), float(sent_load)) for sent_at, sent_load in sent),
    )


def request_from(held: HeldConnection, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Request:
    """Return the request that the decision module counts for a connection of the other process.

    A class or tenant that this process does not know counts as its first one."""
    class_index, tenant_index = classes.get(held.class_name, 0), tenants.get(held.tenant, 0)
    return Request(held.id, class_index, 0.0, tenant_index, held.load or held.hint, held.key, held.group)
