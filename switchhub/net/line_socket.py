"""One socket and the bytes read from it that nobody has taken yet; the head of a connection.

Owns: a socket (given back by `close`, and nowhere else) and one buffer of fixed size; the count of all open
sockets, and which of them no request needs. Must never: grow a buffer, take a line that has not ended, change
a byte of what passes through, or let those who say nothing hold what requests need.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import re
import socket
import struct
from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

LINE_MAX = 4096
RESERVED_DESCRIPTORS = (
    32  # descriptors that are no connections: the log, the event loop, discovery, the listener
)
FOR_SERVERS = 0.9  # part of the sockets that requests and their servers may hold
FOR_LOOSE = (
    0.125  # part of the sockets over which those no request needs are given up, the longest silent first
)
PATIENCE, PATIENCE_AT_NEED = 0.25, 0.02  # seconds that each of them is given, and when sockets run out
SPARE = 4  # sockets short of all at which they have run out
_SINK = memoryview(bytearray(65536))  # what nobody wants to read goes here, whoever sent it
_WORD = re.compile(r"[0-9A-Za-z._/-]{1,64}")  # an id, a key
_LINGER_NONE = struct.pack("ii", 1, 0)
_LF = 10
_TCP_INFO = struct.Struct("8x44xI12xI28xI")  # linux/tcp.h: last_data_recv, rtt and total_retrans of tcp_info
REPEATED = 1000.0  # milliseconds after which a hand-shake is repeated for the first time


class LineError(ValueError):
    """A line that can't be taken: too long, or not of the form it should have."""


class SocketBudget:
    """Counts the sockets that are open, and keeps what is allowed for requests.

    Loose sockets are those that no request needs: clients that have said nothing yet, and connections that
    have ended but for the other side's end. Each waits in a time-out; giving it up brings that forward."""

    def __init__(self, allowed: int) -> None:
        self._total = self._allowed = allowed - RESERVED_DESCRIPTORS
        self.open = 0
        self._silent: dict[LineSocket, tuple[float, asyncio.Timeout]] = {}  # the longest silent first
        self._ending: dict[LineSocket, tuple[float, asyncio.Timeout]] = {}

    @property
    def loose(self) -> int:
        """How many sockets no request needs."""
        return len(self._silent) + len(self._ending)

    def to_server(self) -> LineSocket:
        """A new socket for a server; `OSError` where only those for clients are left."""
        self.relieve()
        if self.open - self.loose >= self._allowed * FOR_SERVERS or self.out:
            raise OSError(errno.EMFILE, "sockets are kept for clients")
        return LineSocket(socket.socket(socket.AF_INET, socket.SOCK_STREAM), self)

    def of_client(self, sock: socket.socket) -> LineSocket:
        """An accepted socket."""
        return LineSocket(sock, self)

    def from_predecessor(self, sock: socket.socket, unread: bytes) -> LineSocket:
        """A socket of a former process, and what was read there and not taken."""
        wire = LineSocket(sock, self)
        wire.put_back(unread)
        return wire

    def share(self, elsewhere: int) -> None:
        """So many sockets are another process's: the limit is one for both."""
        self._allowed = self._total - elsewhere

    def loosen(self, wire: LineSocket, wait: asyncio.Timeout, ending: bool) -> None:
        """No request needs this one; it waits for its other side in this time-out."""
        (self._ending if ending else self._silent)[wire] = asyncio.get_running_loop().time(), wait

    def settle(self, wire: LineSocket) -> None:
        """It waits no more."""
        self._silent.pop(wire, None)
        self._ending.pop(wire, None)

    def relieve(self) -> int:
        """Give up loose sockets that are too many; how many. They close in the loop's next round."""
        given_up = 0
        loop = asyncio.get_running_loop()
        now = loop.time()
        while (wire := self._too_many(now, self.open - given_up)) is not None:
            _, wait = (self._silent if wire in self._silent else self._ending).pop(wire)
            if not wait.expired():
                # Danger: read from now on, and then cancelled, it would lose what was read.
                loop.remove_reader(wire.sock)
                wait.reschedule(now)
                given_up += 1
        return given_up

    def _too_many(self, now: float, left: int) -> LineSocket | None:
        """Which to give up next: the longest silent, then the longest ending."""
        out = left > self._allowed - SPARE
        if not out and self.loose <= self._allowed * FOR_LOOSE:
            return None
        least = PATIENCE_AT_NEED if out else PATIENCE
        for waiting, patience in ((self._silent, PATIENCE), (self._ending, least), (self._silent, least)):
            for wire, (since, _) in waiting.items():
                if now - since >= patience:
                    return wire
                break
        return None

    @property
    def out(self) -> bool:
        """Whether another client can't be taken in."""
        return self.open >= self._allowed + RESERVED_DESCRIPTORS // 2


class Waiting(Protocol):
    """Something whose task reads a socket, or accepts from it."""

    sock: socket.socket
    waits: bool  # the task does now, and nothing has come


async def parked(reader: Waiting) -> bool:
    """Read nothing more from this socket; whether its task still waits, and so may be cancelled.

    Danger: a task cancelled after the loop read for it, but before it ran, loses what was read. One that was
    given something runs in the next rounds of the loop and waits no longer."""
    asyncio.get_running_loop().remove_reader(reader.sock)
    for _ in range(2):
        await asyncio.sleep(0)
    return reader.waits


class LineSocket:
    """A non-blocking socket that speaks lines."""

    __slots__ = ("_buffer", "_end", "_sockets", "_start", "_view", "closed", "sock", "waits")

    def __init__(self, sock: socket.socket, sockets: SocketBudget) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._sockets = sockets
        sockets.open += 1
        self.closed = False
        self.waits = False  # `fill` does, and nothing has come
        self._buffer = bytearray(LINE_MAX)
        self._view = memoryview(self._buffer)
        self._start = self._end = 0

    async def fill(self) -> int:
        """Read more; how many bytes came, 0 at the end. `LineError` if one line fills the buffer."""
        if self._start == self._end:
            self._start = self._end = 0
        elif self._end == LINE_MAX:
            if not self._start:
                raise LineError("line too long")
            self._buffer[: self._end - self._start] = self._buffer[self._start : self._end]
            self._start, self._end = 0, self._end - self._start
        self.waits = True
        try:
            count = await asyncio.get_running_loop().sock_recv_into(self.sock, self._view[self._end :])
        finally:
            self.waits = False
        self._end += count
        return count

    def read_available(self) -> int:
        """What has come already, without waiting; 0 if nothing has, or the end, which `fill` tells apart."""
        try:
            count = self.sock.recv_into(self._view[self._end :]) if self._end < LINE_MAX else 0
        except OSError:
            return 0
        self._end += count
        return count

    def gone(self) -> bool:
        """Whether the other side has ended it, with nothing left to read."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def spoke(self) -> bool:
        """Whether something lies unread, here or in the kernel; an end does not count."""
        return bool(len(self.rest()) or self.read_available())

    def connected(self) -> bool:
        """Whether the other side has accepted, as the kernel knows it."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def receive_timing(self) -> tuple[float, float]:
        """Milliseconds since its last byte came, in the kernel's steps, and that it was under way before that
        at most; 0 where the kernel does not tell. To be asked with the first line.

        The second is the hand-shake's round trip. Where the backlog was full the kernel dropped the client's
        first bytes, they came again later, and that shows as a long round trip or a hand-shake repeated."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
            age, trip, repeated = _TCP_INFO.unpack(info)
        except (OSError, struct.error):
            return 0.0, 0.0
        return float(age), REPEATED if repeated else trip / 1000

    def line(self) -> memoryview | None:
        """The first whole line, its end with it, or nothing yet."""
        at = self._buffer.find(_LF, self._start, self._end)
        return None if at < 0 else self._view[self._start : at + 1]

    def lines(self) -> memoryview:
        """All whole lines, perhaps none."""
        return self._view[self._start : self._buffer.rfind(_LF, self._start, self._end) + 1 or self._start]

    def rest(self) -> memoryview:
        """All that is unread, also half a line."""
        return self._view[self._start : self._end]

    def put_back(self, unread: bytes) -> None:
        """What was read elsewhere comes first."""
        if len(unread) > LINE_MAX:
            raise LineError("line too long")
        self._buffer[: len(unread)] = unread
        self._start, self._end = 0, len(unread)

    def take(self, count: int) -> None:
        """So many bytes are done with."""
        self._start += count

    async def send(self, data: memoryview | bytes) -> None:
        """Write all of it."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def send_parts(self, parts: list[memoryview | bytes]) -> None:
        """Write the parts as one, gathered; what the socket did not take at once follows."""
        try:
            sent = self.sock.sendmsg(parts)
        except BlockingIOError:
            sent = 0
        for part in parts:
            if sent < len(part):
                await self.send(part[sent:])
            sent = max(0, sent - len(part))

    def say(self, data: bytes) -> bool:
        """Write a short line at once; whether the socket took it all."""
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self, reset: bool = False) -> None:
        """Give the socket back; with `reset`, the other side sees a reset."""
        if self.closed:
            return
        self.closed = True
        self._sockets.settle(self)
        self._sockets.open -= 1
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
        self.sock.close()

    @contextlib.asynccontextmanager
    async def loose(self, within: float, ending: bool) -> AsyncIterator[None]:
        """A wait with no request behind it; `TimeoutError` after that time, or when sockets run short."""
        async with asyncio.timeout(within) as wait:
            self._sockets.loosen(self, wait, ending)
            try:
                yield
            finally:
                self._sockets.settle(self)

    async def finish(self, within: float) -> None:
        """End in order: what was written arrives, for the unread is read before the socket is given back."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with self.loose(within, ending=True):
                while await asyncio.get_running_loop().sock_recv_into(self.sock, _SINK):
                    pass
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()


class Head(NamedTuple):
    """The first line of a connection, parsed where it lies."""

    id: str
    key: str
    values: dict[str, str]
    before: bytes
    after: bytes
    """The line's text before and after the figure of `d`; without `d`, `before` is all of it."""


def parse_head(line: memoryview) -> Head:
    """`OPEN ID KEY name=value,...`; `LineError` where it is none."""
    raw = line.tobytes()
    if not raw.endswith(b"\r\n"):
        raise LineError("a line must end with CRLF")
    try:
        parts = raw[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise LineError("not ASCII") from None
    if len(parts) != 4 or parts[0] != "OPEN" or not (_WORD.fullmatch(parts[1]) and _WORD.fullmatch(parts[2])):
        raise LineError("not OPEN ID KEY VALUES")
    values: dict[str, str] = {}
    at = len(raw) - 2 - len(parts[3])
    cut = (len(raw), len(raw))
    for part in parts[3].split(","):
        name, sep, value = part.partition("=")
        if not name or not sep or name in values or not part.isprintable():
            raise LineError(f"not name=value: {part[:40]!r}")
        values[name] = value
        if name == "d":
            cut = (at + 2, at + len(part))
        at += len(part) + 1
    return Head(parts[1], parts[2], values, raw[: cut[0]], raw[cut[1] :])
