"""Messages between balancers as bytes: MessagePack by msgspec, in an envelope with version and cluster.

Owns: the envelope and what is refused. Must never: read more of a message than version and cluster before
both fit, or let anything but `RejectedMessageError` come of any bytes.

| version | what |
| --- | --- |
| 1 | membership: `Ping`, `IndirectPing`, `Ack`, `Nack`, `FullState` |
| 1 | leases: all of `leases/messages.py`; a process that has none counts them as `garbage` |

A further field at an array's end keeps the version; anything else raises it. Other versions are ignored.
"""

from __future__ import annotations

from msgspec import DecodeError, Raw, Struct, ValidationError, msgpack

from switchhub.leases import messages as leases
from switchhub.membership import messages as membership

VERSION = 1
Message = membership.Message | leases.Message
MAX_DATAGRAM_BYTES = 1200  # bytes: what passes unbroken on any path
MAX_FULL_STATE_BYTES = 1 << 20  # bytes of a whole belief


class RejectedMessageError(ValueError):
    """Bytes that are no message for us; `kind` is what they are counted as."""

    def __init__(self, kind: str) -> None:
        super().__init__(kind)
        self.kind = kind


class _Envelope(Struct, frozen=True, array_like=True):
    version: int
    cluster: str
    body: Raw


_write = msgpack.Encoder().encode
_envelope: msgpack.Decoder[_Envelope] = msgpack.Decoder(_Envelope)
_message: msgpack.Decoder[Message] = msgpack.Decoder(Message)


def pack(cluster: str, message: Message) -> bytes:
    """The bytes."""
    return _write(_Envelope(VERSION, cluster, Raw(_write(message))))


def unpack(cluster: str, data: bytes | bytearray | memoryview) -> Message:
    """The message, or `RejectedMessageError`."""
    try:
        envelope = _envelope.decode(data)
        if envelope.cluster != cluster:
            raise RejectedMessageError("other_cluster")
        if envelope.version != VERSION:
            raise RejectedMessageError("other_version")
        return _message.decode(envelope.body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError):
        raise RejectedMessageError("garbage") from None
