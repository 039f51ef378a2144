"""Line-based access to one non-blocking socket, the budget of open sockets, and a connection's first line.

A `LineSocket` owns its socket, which only `close` releases, and one buffer of fixed size. It never grows the
buffer, returns no unfinished line as whole and changes no byte that passes through. `SocketBudget` counts all
open sockets and knows which of them no request needs, so that idle clients cannot take sockets from requests.
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

LINE_MAX_BYTES = 4096
# Descriptors that are not connections: the log, the event loop, discovery, the listening socket.
RESERVED_DESCRIPTORS = 32
SERVER_SOCKETS_FRACTION = 0.9  # part of the sockets that requests and their servers may use
# Part of the sockets that may be idle; beyond it those that have been idle for longest are closed.
IDLE_SOCKETS_FRACTION = 0.125
IDLE_GRACE_S = 0.25  # how long a socket may always stay idle
SCARCE_IDLE_GRACE_S = 0.02  # the same while sockets are scarce
SPARE_SOCKETS = 4  # sockets are scarce when fewer than these are left
_DISCARD_BUFFER = memoryview(bytearray(65536))  # shared target for bytes that are read and discarded
# Names of the values that are kept of a first line. A line may have a thousand others, and objects for all of
# them would take twenty times the memory of the line itself.
FIELDS_READ = frozenset(("again", "at", "c", "d", "g", "h", "r", "t"))
_TOKEN = re.compile(r"[0-9A-Za-z._/-]{1,64}")  # a connection id or a key
_LINGER_RESET = struct.pack("ii", 1, 0)
_LF = 10
_TCP_INFO = struct.Struct("8x44xI12xI28xI")  # linux/tcp.h: last_data_recv, rtt and total_retrans of tcp_info
STOP_READING_ITERATIONS = 2  # of the event loop, in which a task that was given something runs
HANDSHAKE_RETRY_MS = 1000.0  # after this time the kernel repeats a TCP handshake for the first time


class LineError(ValueError):
    """A line that cannot be accepted: too long or malformed."""


class SocketBudget:
    """Counts open sockets and keeps enough of them for requests.

    Idle sockets are those that no request needs: clients that have not sent anything yet, and connections
    that wait only for the other side to close. Each waits within a time-out; releasing an idle socket makes
    that time-out expire early.

    `open` is the number of open sockets."""

    def __init__(self, allowed: int) -> None:
        self._total = self._allowed = allowed - RESERVED_DESCRIPTORS
        self.open = 0
        # In both: since when, and the time-out of the wait; the socket that has been idle for longest first.
        self._silent_clients: dict[LineSocket, tuple[float, asyncio.Timeout]] = {}
        self._ending_connections: dict[LineSocket, tuple[float, asyncio.Timeout]] = {}

    @property
    def idle_count(self) -> int:
        """The number of sockets that no request needs."""
        return len(self._silent_clients) + len(self._ending_connections)

    def open_to_server(self) -> LineSocket:
        """Return a new socket for a server; raise `OSError` if the remaining ones are kept for clients."""
        self.release_idle()
        if self.open - self.idle_count >= self._allowed * SERVER_SOCKETS_FRACTION or self.exhausted:
            raise OSError(errno.EMFILE, "the remaining sockets are kept for clients")
        return LineSocket(socket.socket(socket.AF_INET, socket.SOCK_STREAM), self)

    def add_client(self, sock: socket.socket) -> LineSocket:
        """Wrap an accepted client socket."""
        return LineSocket(sock, self)

    def from_predecessor(self, sock: socket.socket, unread: bytes) -> LineSocket:
        """Wrap a socket handed over by a predecessor process, with the bytes that it read and did not use."""
        line_socket = LineSocket(sock, self)
        line_socket.restore_unread(unread)
        return line_socket

    def set_used_elsewhere(self, used_elsewhere: int) -> None:
        """Set how many sockets another process of this balancer uses: the limit is shared by both."""
        self._allowed = self._total - used_elsewhere

    def register_idle(self, line_socket: LineSocket, timeout: asyncio.Timeout, ending: bool) -> None:
        """Mark a socket as idle while it waits for its other side within this time-out."""
        (self._ending_connections if ending else self._silent_clients)[line_socket] = (
            asyncio.get_running_loop().time(),
            timeout,
        )

    def unregister_idle(self, line_socket: LineSocket) -> None:
        """Mark a socket as no longer idle."""
        self._silent_clients.pop(line_socket, None)
        self._ending_connections.pop(line_socket, None)

    def release_idle(self) -> int:
        """Release idle sockets that exceed the budget; return how many.

        They are closed in the event loop's next iteration."""
        released = 0
        loop = asyncio.get_running_loop()
        now = loop.time()
        while (line_socket := self._next_to_release(now, self.open - released)) is not None:
            _, timeout = (
                self._silent_clients if line_socket in self._silent_clients else self._ending_connections
            ).pop(line_socket)
            if not timeout.expired():
                # Otherwise its task could read bytes before the time-out cancels it, and these would be lost.
                loop.remove_reader(line_socket.sock)
                timeout.reschedule(now)
                released += 1
        return released

    def _next_to_release(self, now: float, open_count: int) -> LineSocket | None:
        """Return the socket to release next: the client silent for longest, then the longest ending one."""
        scarce = open_count > self._allowed - SPARE_SOCKETS
        if not scarce and self.idle_count <= self._allowed * IDLE_SOCKETS_FRACTION:
            return None
        least_grace_s = SCARCE_IDLE_GRACE_S if scarce else IDLE_GRACE_S
        for idle, grace_s in (
            (self._silent_clients, IDLE_GRACE_S),
            (self._ending_connections, least_grace_s),
            (self._silent_clients, least_grace_s),
        ):
            for line_socket, (since, _) in idle.items():
                if now - since >= grace_s:
                    return line_socket
                break
        return None

    @property
    def exhausted(self) -> bool:
        """Whether no further client can be accepted."""
        return self.open >= self._allowed + RESERVED_DESCRIPTORS // 2


class SocketReader(Protocol):
    """An object whose task reads from a socket or accepts connections from it."""

    sock: socket.socket
    awaiting_input: bool  # the task is waiting and nothing has arrived


async def stop_reading(*readers: SocketReader) -> list[bool]:
    """Stop reading from these open sockets; return for each whether its task can be cancelled safely.

    A task that is cancelled after the loop has read for it, but before it has run, loses what was read. A
    task that was given something runs within the next iterations of the loop and then no longer waits.
    Meanwhile what it was given, such as a reset, may end the connection and close all of these sockets, so
    reading stops at all of them before the first iteration."""
    loop = asyncio.get_running_loop()
    for reader in readers:
        loop.remove_reader(reader.sock)
    for _ in range(STOP_READING_ITERATIONS):
        await asyncio.sleep(0)
    return [reader.awaiting_input for reader in readers]


class LineSocket:
    """A non-blocking socket with a buffer of fixed size for reading lines.

    Views returned by `first_line`, `whole_lines` and `unread` are valid until the next read."""

    __slots__ = ("_buffer", "_end", "_sockets", "_start", "_view", "awaiting_input", "closed", "sock")

    def __init__(self, sock: socket.socket, sockets: SocketBudget) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._sockets = sockets
        sockets.open += 1
        self.closed = False
        self.awaiting_input = False  # `read_more` is waiting and nothing has arrived
        self._buffer = bytearray(LINE_MAX_BYTES)
        self._view = memoryview(self._buffer)
        self._start = self._end = 0

    async def read_more(self) -> int:
        """Wait for more bytes; return their number, 0 at the end of the stream.

        Raises `LineError` if one line fills the buffer."""
        if self._start == self._end:
            self._start = self._end = 0
        elif self._end == LINE_MAX_BYTES:
            if not self._start:
                raise LineError("line too long")
            self._buffer[: self._end - self._start] = self._buffer[self._start : self._end]
            self._start, self._end = 0, self._end - self._start
        self.awaiting_input = True
        try:
            count = await asyncio.get_running_loop().sock_recv_into(self.sock, self._view[self._end :])
        finally:
            self.awaiting_input = False
        self._end += count
        return count

    def read_available(self) -> int:
        """Read what has arrived, without waiting.

        Returns 0 if nothing has arrived or the stream has ended; `read_more` tells these apart."""
        try:
            count = self.sock.recv_into(self._view[self._end :]) if self._end < LINE_MAX_BYTES else 0
        except OSError:
            return 0
        self._end += count
        return count

    def peer_closed(self) -> bool:
        """Whether the other side has closed the connection and nothing is left to read in the kernel."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_arrived(self) -> bool:
        """Whether bytes wait in the kernel; they are left there."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_unread(self) -> bool:
        """Whether unread bytes are here or in the kernel; the end of the stream does not count."""
        return bool(len(self.unread()) or self.read_available())

    def is_connected(self) -> bool:
        """Whether the kernel has established the connection."""
        try:
            self.sock.getpeername()
        except OSError:
            return False
        return True

    def receive_timing(self) -> tuple[float, float]:
        """Return how long ago the last byte arrived and how long it was under way at most, in milliseconds.

        Both are 0 if the kernel does not report them. The first is in steps of the kernel's clock and is
        meant for the time when the first line is read. The second is the handshake's round trip. Where the
        backlog was full, the kernel dropped the client's first bytes and they arrived later; that shows as a
        long round trip or a repeated handshake."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
            age, round_trip, retransmits = _TCP_INFO.unpack(info)
        except (OSError, struct.error):
            return 0.0, 0.0
        return float(age), HANDSHAKE_RETRY_MS if retransmits else round_trip / 1000

    def next_line(self) -> memoryview | None:
        """Return the first whole line with its line end, or None if it has not ended yet."""
        newline = self._buffer.find(_LF, self._start, self._end)
        return None if newline < 0 else self._view[self._start : newline + 1]

    def whole_lines(self) -> memoryview:
        """Return all whole lines with their line ends; empty if there is none."""
        return self._view[self._start : self._buffer.rfind(_LF, self._start, self._end) + 1 or self._start]

    def unread(self) -> memoryview:
        """Return all unread bytes, including an unfinished line."""
        return self._view[self._start : self._end]

    def restore_unread(self, unread: bytes) -> None:
        """Put bytes that another process has read in front; raise `LineError` if they exceed the buffer."""
        if len(unread) > LINE_MAX_BYTES:
            raise LineError("line too long")
        self._buffer[: len(unread)] = unread
        self._start, self._end = 0, len(unread)

    def consume(self, count: int) -> None:
        """Mark bytes as used, from the start of what is unread."""
        self._start += count

    async def send(self, data: memoryview | bytes) -> None:
        """Write all of the data, waiting as long as it takes."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def send_parts(self, parts: list[memoryview | bytes]) -> None:
        """Write the parts with one system call; wait for what the socket did not take at once."""
        try:
            sent = self.sock.sendmsg(parts)
        except BlockingIOError:
            sent = 0
        for part in parts:
            if sent < len(part):
                await self.send(part[sent:])
            sent = max(0, sent - len(part))

    def try_send(self, data: bytes) -> bool:
        """Write a short line without waiting; return whether the socket took all of it."""
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self, reset: bool = False) -> None:
        """Close the socket; with `reset`, the other side sees a connection reset."""
        if self.closed:
            return
        self.closed = True
        self._sockets.unregister_idle(self)
        self._sockets.open -= 1
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.sock.close()

    @contextlib.asynccontextmanager
    async def idle_timeout(self, timeout_s: float, ending: bool) -> AsyncIterator[None]:
        """Mark the socket as idle while the block waits.

        Raises `TimeoutError` after this time, or sooner if sockets run short."""
        async with asyncio.timeout(timeout_s) as timeout:
            self._sockets.register_idle(self, timeout, ending)
            try:
                yield
            finally:
                self._sockets.unregister_idle(self)

    async def close_gracefully(self, timeout_s: float) -> None:
        """Close in order: read and discard until the other side closes, so that what was written arrives."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with self.idle_timeout(timeout_s, ending=True):
                while await asyncio.get_running_loop().sock_recv_into(self.sock, _DISCARD_BUFFER):
                    pass
        except (OSError, TimeoutError):
            pass
        finally:
            self.close()


class FirstLine(NamedTuple):
    """A connection's first line, parsed."""

    id: str
    key: str
    values: dict[str, str]
    """The values that this program reads (`FIELDS_READ`)."""
    text_before_wait: bytes
    text_after_wait: bytes
    """The line's bytes before and after the value of `d`; without `d`, the first holds the whole line."""


def parse_first_line(line: memoryview) -> FirstLine:
    """Parse `OPEN ID KEY name=value,...`; raise `LineError` if the line has another form."""
    raw = line.tobytes()
    if not raw.endswith(b"\r\n"):
        raise LineError("line does not end with CRLF")
    try:
        parts = raw[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise LineError("line is not ASCII") from None
    if (
        len(parts) != 4
        or parts[0] != "OPEN"
        or not (_TOKEN.fullmatch(parts[1]) and _TOKEN.fullmatch(parts[2]))
    ):
        raise LineError("line is not of the form OPEN ID KEY VALUES")
    values: dict[str, str] = {}
    names: set[str] = set()
    offset = len(raw) - 2 - len(parts[3])
    wait_span = (len(raw), len(raw))
    for part in parts[3].split(","):
        name, separator, value = part.partition("=")
        if not name or not separator or name in names or not part.isprintable():
            raise LineError(f"invalid or repeated name=value pair: {part[:40]!r}")
        names.add(name)
        if name in FIELDS_READ:
            values[name] = value
        if name == "d":
            wait_span = (offset + 2, offset + len(part))
        offset += len(part) + 1
    return FirstLine(parts[1], parts[2], values, raw[: wait_span[0]], raw[wait_span[1] :])
