"""Encoding of messages between balancers: MessagePack, in an envelope with version and cluster name.

The body is decoded only if version and cluster match. Whatever the bytes are, decoding either returns a
message or raises `RejectedMessageError`.

| version | messages |
| --- | --- |
| 1 | membership: `Ping`, `IndirectPing`, `Ack`, `Nack`, `FullState` |
| 1 | leases: all of `leases/messages.py`; a process without leases counts them as `garbage` |

A new field at the end of an array keeps the version; any other change raises it. Messages of other versions
are ignored.
"""

from __future__ import annotations

from msgspec import DecodeError, Raw, Struct, ValidationError, msgpack

from switchhub.leases import messages as leases
from switchhub.membership import messages as membership

VERSION = 1
Message = membership.Message | leases.Message
MAX_DATAGRAM_BYTES = 1200  # passes any path without fragmentation
MAX_FULL_STATE_BYTES = 1 << 20


class RejectedMessageError(ValueError):
    """The bytes are not a message for this balancer; `kind` is the counter to raise."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


class _Envelope(Struct, frozen=True, array_like=True):
    version: int
    cluster: str
    body: Raw


_encode = msgpack.Encoder().encode
_envelope_decoder: msgpack.Decoder[_Envelope] = msgpack.Decoder(_Envelope)
_message_decoder: msgpack.Decoder[Message] = msgpack.Decoder(Message)


def pack(cluster: str, message: Message) -> bytes:
    """Encode a message for a cluster."""
    return _encode(_Envelope(VERSION, cluster, Raw(_encode(message))))


def unpack(cluster: str, data: bytes | bytearray | memoryview) -> Message:
    """Decode a message of this cluster; raises `RejectedMessageError` for anything else."""
    try:
        envelope = _envelope_decoder.decode(data)
        if envelope.cluster != cluster:
            raise RejectedMessageError("other_cluster")
        if envelope.version != VERSION:
            raise RejectedMessageError("other_version")
        return _message_decoder.decode(envelope.body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError):
        raise RejectedMessageError("garbage") from None
