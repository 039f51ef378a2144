"""HTTP server on the management address.

Responsible for the listening socket and the accepted connections. Decides nothing about a request
(`endpoints` does), waits for no client, server or discovery, and lets no connection delay another.

Each connection carries one request. The response is sent as soon as the request's head is complete, in the
same turn of the event loop; bytes after the head are then read and discarded for a short time, because
closing a socket with unread bytes resets the connection and the response could be lost.

Idle connections each hold a file descriptor. They are closed after `REQUEST_TIMEOUT_S`, and at most
`MAX_CONNECTIONS` are open: when a further one is accepted, the oldest is closed. Clients and servers cannot
use up these descriptors, which are reserved at the start (`RESERVED_DESCRIPTORS`). Callers that reconnect as
soon as they are closed would keep the CPU busy, so only `ACCEPT_BATCH` connections are accepted per
`ACCEPT_INTERVAL_S`; a full backlog is still accepted in under a second.
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

MAX_CONNECTIONS = 48  # connections open at a time
# Connections accepted per interval. At this rate it takes 15 ms to replace `MAX_CONNECTIONS`, so even an idle
# connection stays open that long.
ACCEPT_BATCH = 32
ACCEPT_INTERVAL_S = 0.01  # interval in which one batch is accepted
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 8  # the connections, the listening socket, one being accepted
LISTEN_BACKLOG = 512  # connections
REQUEST_TIMEOUT_S = 6.0  # time within which a request's head must be complete
DISCARD_TIMEOUT_S = 0.5  # how long bytes after an answered head are read and discarded
HEAD_MAX_BYTES = 8192  # bytes received after which a head that is not complete counts as too long
DISCARD_MAX_BYTES = 65536  # bytes after an answered head that are read and discarded
READ_SIZE_BYTES = 4096
ACCEPT_RETRY_S = 0.02  # pause after accept failed, for example for lack of descriptors
_DISCARD_BUFFER = memoryview(bytearray(READ_SIZE_BYTES))  # shared: its content is never read


class _RequestHead:
    """Parser callbacks that collect one request's target and whether its head is complete."""

    def __init__(self) -> None:
        self.target = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_headers_complete(self) -> None:
        self.complete = True


class RequestReader:
    """Parses one request from the bytes received, until there is a response."""

    def __init__(self, balancer: ManagedBalancer) -> None:
        self._balancer = balancer
        self._head = _RequestHead()
        self._parser = httptools.HttpRequestParser(self._head)
        self._bytes_read = 0

    def feed(self, data: bytes) -> Response | None:
        """Return the response once the head is complete, malformed or too long; until then None."""
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # answered like any other request, without a change of protocol
        except httptools.HttpParserError as error:
            if not self._head.complete:
                return Response(400, f"not a call: {error}\n")
        if self._head.complete:
            return self._respond()
        return Response(431, "the call's head is too long\n") if self._bytes_read > HEAD_MAX_BYTES else None

    def _respond(self) -> Response:
        """Return the response to the complete head; 500 after an unexpected error."""
        method, target = self._parser.get_method().decode("latin-1"), self._head.target.decode("latin-1")
        try:
            return handle_request(self._balancer, method, target)
        except Exception:
            logger.exception("management: {} {} failed", method, target)
            return Response(500, "internal error, see the log\n")


def encode_response(response: Response) -> bytes:
    """Return the response as HTTP/1.1 bytes."""
    body = response.text.encode()
    allow = f"Allow: {response.allow}\r\n" if response.allow else ""
    return (
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"
        f"Content-Type: text/plain; charset=utf-8\r\n{allow}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body


def open_listening_socket(address: Address) -> socket.socket:
    """Return a socket listening on the management address; raises `ConfigError` if that fails."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except (OSError, OverflowError) as error:
        sock.close()
        text = f"management={address[0]}:{address[1]}: expected an address that can be listened on: {error}"
        raise ConfigError(text) from None
    return sock


class ManagementServer:
    """Accepts the management connections of one balancer and answers their requests."""

    def __init__(self, balancer: ManagedBalancer, address: Address) -> None:
        self._balancer = balancer
        self._sock = open_listening_socket(address)
        self._connections: dict[asyncio.Task[None], None] = {}  # one task for each, oldest first
        # Start of the current accept interval, on the loop's clock, and connections accepted in it.
        self._interval_started_at, self._accepted_in_interval = 0.0, 0

    async def run(self) -> None:
        """Accept connections and answer their requests until cancelled."""
        logger.info("management on {}:{}", *self._sock.getsockname())
        loop = asyncio.get_running_loop()
        try:
            while True:
                try:
                    sock, _ = await loop.sock_accept(self._sock)
                    while True:
                        self._add_connection(sock)
                        if (pause_s := self._accept_pause(loop.time())) > 0:
                            await asyncio.sleep(pause_s)
                        sock, _ = self._sock.accept()
                except BlockingIOError:
                    pass
                except OSError as error:
                    logger.warning("management: accepting a connection failed, trying again: {}", error)
                    await asyncio.sleep(ACCEPT_RETRY_S)
        finally:
            for task in self._connections:
                task.cancel()
            self._sock.close()

    def _accept_pause(self, now: float) -> float:
        """Count an accepted connection; return how many seconds to wait before accepting the next."""
        if now - self._interval_started_at >= ACCEPT_INTERVAL_S:
            self._interval_started_at, self._accepted_in_interval = now, 0
        self._accepted_in_interval += 1
        return (
            self._interval_started_at + ACCEPT_INTERVAL_S - now
            if self._accepted_in_interval >= ACCEPT_BATCH
            else 0.0
        )

    def _add_connection(self, sock: socket.socket) -> None:
        """Start to serve an accepted connection, closing the oldest ones if too many are open."""
        sock.setblocking(False)
        reader = RequestReader(self._balancer)
        response = None
        try:  # most requests have already arrived completely and are answered without waiting
            if not (data := sock.recv(READ_SIZE_BYTES)):
                return sock.close()
            if (response := reader.feed(data)) is not None:
                self._send_response(sock, response)
        except BlockingIOError:
            pass
        except OSError:
            return sock.close()
        while len(self._connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self._connections))
            del self._connections[oldest]
            oldest.cancel()
        task = asyncio.create_task(self._serve_connection(sock, reader, response is None))
        self._connections[task] = None
        task.add_done_callback(lambda task: self._connections.pop(task, None))

    async def _serve_connection(self, sock: socket.socket, reader: RequestReader, incomplete: bool) -> None:
        """Read the rest of an incomplete request and answer it, then close the connection without a
        reset."""
        loop = asyncio.get_running_loop()
        buffer = memoryview(bytearray(READ_SIZE_BYTES)) if incomplete else _DISCARD_BUFFER
        try:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    while incomplete:
                        count = await loop.sock_recv_into(sock, buffer)
                        if not count:
                            return
                        response = reader.feed(buffer[:count].tobytes())
                        if response is not None:
                            self._send_response(sock, response)
                            incomplete = False
                remaining_bytes = DISCARD_MAX_BYTES
                async with asyncio.timeout(DISCARD_TIMEOUT_S):
                    while remaining_bytes > 0 and (count := await loop.sock_recv_into(sock, _DISCARD_BUFFER)):
                        remaining_bytes -= count
        finally:
            sock.close()

    def _send_response(self, sock: socket.socket, response: Response) -> None:
        """Send without waiting: a response is far smaller than a socket's send buffer, so if it does not
        fit, the caller is not reading."""
        with contextlib.suppress(OSError):
            sock.send(encode_response(response))
            sock.shutdown(socket.SHUT_WR)
