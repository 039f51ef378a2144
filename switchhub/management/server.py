"""The sockets behind the management address.

Owns: the listening socket there and every caller's. Must never: decide anything (`endpoints` does), wait on a
client, a server or discovery, or let one caller stand in another's way.

One call to a connection. A call is answered as soon as its head is whole, in the turn of the loop that read
it; what follows the head is read and forgotten for a moment, so that the answer is not lost to a reset.

Danger: callers that say nothing hold a descriptor each. They get so long, and at most so many are held; over
that the one that has been silent longest goes. Clients and servers can't use up these descriptors: they are
set apart at the start (`RESERVED_DESCRIPTORS`). And callers that come again as soon as they are given up
would eat the core: so many are taken in at once, then the others have their turn; a full backlog is still
done in under a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from http import HTTPStatus

import httptools
from loguru import logger

from switchhub.management.endpoints import ManagedBalancer, Response, handle_request
from switchhub.net.config import Address, ConfigError

MAX_CONNECTIONS = 48  # that are held at a time
ACCEPT_BATCH, ACCEPT_INTERVAL_S = (
    32,
    0.01,
)  # callers taken in within so many seconds at most: a silent one has 15 ms at least
RESERVED_DESCRIPTORS = (
    MAX_CONNECTIONS + 8
)  # descriptors set apart: the callers, the listening socket, one being accepted
BACKLOG = 512
REQUEST_TIMEOUT_S = 6.0  # seconds in which a call must be whole
READ_ON = 0.5  # seconds in which what follows the answered head is read and forgotten
HEAD_MAX_BYTES, BODY_MAX = 8192, 65536  # bytes
PIECE = 4096
NO_DESCRIPTORS = 0.02  # seconds to wait when a caller can't be accepted
_SINK = memoryview(bytearray(PIECE))  # what nobody wants to read; what is wanted has a buffer of its own


class _Head:
    """Collects one call's head."""

    def __init__(self) -> None:
        self.target = b""
        self.whole = False

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_headers_complete(self) -> None:
        self.whole = True


class RequestReader:
    """One call, fed with bytes until there is an answer."""

    def __init__(self, node: ManagedBalancer) -> None:
        self._node = node
        self._head = _Head()
        self._parser = httptools.HttpRequestParser(self._head)
        self._read = 0

    def feed(self, data: bytes) -> Response | None:
        """The answer, once the head is whole or can't be one."""
        self._read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # answered as any other call; the caller may not change the protocol
        except httptools.HttpParserError as error:
            if not self._head.whole:
                return Response(400, f"not a call: {error}\n")
        if self._head.whole:
            return handle_request(self._node, *self._line())
        return Response(431, "the call's head is too long\n") if self._read > HEAD_MAX_BYTES else None

    def _line(self) -> tuple[str, str]:
        return self._parser.get_method().decode("latin-1"), self._head.target.decode("latin-1")


def write(told: Response) -> bytes:
    """The answer on the wire."""
    body = told.text.encode()
    allow = f"Allow: {told.allow}\r\n" if told.allow else ""
    return (
        f"HTTP/1.1 {told.status} {HTTPStatus(told.status).phrase}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n{allow}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body


def bound(address: Address) -> socket.socket:
    """The management address, or `ConfigError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except (OSError, OverflowError) as error:
        sock.close()
        text = f"management={address[0]}:{address[1]}: expected an address that can be listened on: {error}"
        raise ConfigError(text) from None
    return sock


class ManagementServer:
    """The calls of one balancer."""

    def __init__(self, node: ManagedBalancer, address: Address) -> None:
        self._node = node
        self._sock = bound(address)
        self._callers: dict[asyncio.Task[None], None] = {}  # the longest silent first
        self._since, self._taken = 0.0, 0  # callers taken in since then

    async def run(self) -> None:
        """Answer until cancelled."""
        logger.info("management on {}:{}", *self._sock.getsockname())
        loop = asyncio.get_running_loop()
        try:
            while True:
                try:
                    sock, _ = await loop.sock_accept(self._sock)
                    while True:
                        self._take_in(sock)
                        if (wait := self._pause(loop.time())) > 0:
                            await asyncio.sleep(wait)
                        sock, _ = self._sock.accept()
                except BlockingIOError:
                    pass
                except OSError as error:
                    logger.warning("management: {}", error)
                    await asyncio.sleep(NO_DESCRIPTORS)
        finally:
            for task in self._callers:
                task.cancel()
            self._sock.close()

    def _pause(self, now: float) -> float:
        """Another was taken in; for how long nobody else is."""
        if now - self._since >= ACCEPT_INTERVAL_S:
            self._since, self._taken = now, 0
        self._taken += 1
        return self._since + ACCEPT_INTERVAL_S - now if self._taken >= ACCEPT_BATCH else 0.0

    def _take_in(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        caller = RequestReader(self._node)
        told = None
        try:  # most calls are here whole; they cost no wait
            if not (data := sock.recv(PIECE)):
                return sock.close()
            if (told := caller.feed(data)) is not None:
                self._say(sock, told)
        except BlockingIOError:
            pass
        except OSError:
            return sock.close()
        while len(self._callers) >= MAX_CONNECTIONS:
            oldest = next(iter(self._callers))
            del self._callers[oldest]
            oldest.cancel()
        task = asyncio.create_task(self._attend(sock, caller, told is None))
        self._callers[task] = None
        task.add_done_callback(lambda task: self._callers.pop(task, None))

    async def _attend(self, sock: socket.socket, caller: RequestReader, waits: bool) -> None:
        """Wait for the rest of a call, answer it, end the connection in order."""
        loop = asyncio.get_running_loop()
        piece = memoryview(bytearray(PIECE)) if waits else _SINK
        try:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    while waits:
                        count = await loop.sock_recv_into(sock, piece)
                        if not count:
                            return
                        told = caller.feed(piece[:count].tobytes())
                        if told is not None:
                            self._say(sock, told)
                            waits = False
                left = BODY_MAX
                async with asyncio.timeout(READ_ON):
                    while left > 0 and (count := await loop.sock_recv_into(sock, _SINK)):
                        left -= count
        finally:
            sock.close()

    def _say(self, sock: socket.socket, told: Response) -> None:
        """An answer is far smaller than a socket's buffer: what does not fit has no reader."""
        with contextlib.suppress(OSError):
            sock.send(write(told))
            sock.shutdown(socket.SHUT_WR)
