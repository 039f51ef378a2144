"""A Unix socket between two processes of one balancer, which carries whole messages with sockets attached.

Owns: that socket, the messages that are not sent yet and the sockets attached to them. Must never: block, or
keep a socket open that has been sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
from collections import deque

from switchhub.handover.messages import MAX_MESSAGE_BYTES

MAX_SOCKETS_PER_MESSAGE = 2  # a client's socket and its server's
_PEER_CREDENTIALS = struct.Struct("3i")  # Linux `struct ucred`: process id, user id, group id
_TOO_MANY_IN_FLIGHT = (errno.ETOOMANYREFS, errno.ENOBUFS)  # the kernel holds too many unreceived sockets


def new_unix_socket() -> socket.socket:
    """Return a non-blocking Unix socket that keeps message boundaries, as both processes use it."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


class Channel:
    """One end of the connection between two processes of one balancer."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._unsent: deque[tuple[bytes, list[socket.socket]]] = deque()
        self._reset_reported = False  # the kernel has reported that the peer closed with messages unread

    @classmethod
    def connect_to(cls, path: str) -> Channel:
        """Connect to the process that listens at this path.

        Raises `OSError` if none does, or if the platform has no such sockets."""
        sock = new_unix_socket()
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    def is_same_user(self) -> bool:
        """Return whether the peer is a process of the same user."""
        return self._peer_credentials()[1] == os.getuid()

    def peer_pid(self) -> int:
        """Return the peer's process id; before the peer has accepted, that of the listening process.

        It is 0 if the peer's process is not visible from this one (another PID namespace)."""
        return self._peer_credentials()[0]

    def _peer_credentials(self) -> tuple[int, int, int]:
        raw = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        pid, user, group = _PEER_CREDENTIALS.unpack(raw)
        return pid, user, group

    def has_unread(self) -> bool:
        """Return whether a message, or the end of the connection, waits to be received."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def duplicate_socket(self) -> socket.socket:
        """Return a duplicate of the socket, for a thread that sends whole messages beside this channel."""
        return self._sock.dup()

    @property
    def waiting(self) -> int:
        """How many messages wait until the peer makes room."""
        return len(self._unsent)

    def send(self, message: bytes, *sockets: socket.socket) -> None:
        """Send the message now, or in a later `flush` once there is room.

        The channel owns the attached sockets from here on and closes them."""
        self._unsent.append((message, list(sockets)))
        self.flush()

    def flush(self) -> bool:
        """Send the messages that wait; return whether none is left.

        Raises `OSError` once the peer has closed the connection."""
        while self._unsent:
            message, sockets = self._unsent[0]
            try:
                if sockets:
                    socket.send_fds(self._sock, [message], [attached.fileno() for attached in sockets])
                else:
                    self._sock.send(message)
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in _TOO_MANY_IN_FLIGHT:
                    return False
                raise
            self._unsent.popleft()
            for attached in sockets:
                attached.close()
        return True

    async def receive(self) -> tuple[bytes, list[socket.socket]] | None:
        """Return the next message and its sockets, which are non-blocking; none at the end of the connection.

        If the peer closes with messages of this side unread, the kernel reports a reset, once and ahead of
        what the peer has sent before; that is returned all the same. A truncated message counts as the end.

        The sockets must be set non-blocking here: Python takes a received socket for a blocking one, and its
        `dup` writes that into the file status flags, which are common to all processes that share the socket.
        All of them would then block in `accept` until the next client connects."""
        while True:
            try:
                data, descriptors, flags, _ = socket.recv_fds(
                    self._sock, MAX_MESSAGE_BYTES, MAX_SOCKETS_PER_MESSAGE
                )
            except BlockingIOError:
                await self._wait_readable()
                continue
            except ConnectionResetError:
                if self._reset_reported:
                    return None
                self._reset_reported = True
                continue
            except OSError:
                return None
            sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            for received in sockets:
                received.setblocking(False)
            if not data or flags & socket.MSG_TRUNC:
                for received in sockets:
                    received.close()
                return None
            return data, sockets

    async def _wait_readable(self) -> None:
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        loop.add_reader(self._sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self._sock)

    def close(self) -> None:
        """Close the socket, and those attached to messages that were not sent."""
        for _, sockets in self._unsent:
            for attached in sockets:
                attached.close()
        self._unsent.clear()
        with contextlib.suppress(OSError):
            self._sock.close()
