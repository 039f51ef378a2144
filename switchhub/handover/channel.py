"""A Unix socket between two processes of one balancer: whole messages, and sockets beside them.

Owns: that socket, messages that it has not taken yet and the sockets that travel with them. Must never:
block, or keep a socket open that has been sent.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
from collections import deque

from switchhub.handover.messages import MESSAGE_MAX

SOCKETS_MAX = 2
_CREDENTIALS = struct.Struct("3i")  # linux: pid, uid, gid of the other side
_FULL = (errno.ETOOMANYREFS, errno.ENOBUFS)


def new_socket() -> socket.socket:
    """A socket of the kind that both sides speak."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


class Channel:
    """One side of the way."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._waiting: deque[tuple[bytes, list[socket.socket]]] = deque()

    @classmethod
    def to(cls, path: str) -> Channel:
        """The way to whoever listens there; `OSError` if nobody does, or the platform has no such sockets."""
        sock = new_socket()
        try:
            sock.connect(path)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    def ours(self) -> bool:
        """Whether the other side is a process of the same user."""
        return self._peer()[1] == os.getuid()

    def pid(self) -> int:
        """The other side's process, or the one that listens there while nobody has answered; 0: not ours to
        see."""
        return self._peer()[0]

    def _peer(self) -> tuple[int, int, int]:
        raw = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        pid, user, group = _CREDENTIALS.unpack(raw)
        return pid, user, group

    def unread(self) -> bool:
        """Whether something lies here that was not received, be it the end."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def copy(self) -> socket.socket:
        """Another hold on it, for a thread that sends whole messages beside this one."""
        return self._sock.dup()

    def send(self, message: bytes, *sockets: socket.socket) -> None:
        """Send it now, or when `flush` finds room. The sockets are the channel's from here on."""
        self._waiting.append((message, list(sockets)))
        self.flush()

    def flush(self) -> bool:
        """Send what waits; whether nothing does any more. `OSError` once the other side has gone."""
        while self._waiting:
            message, sockets = self._waiting[0]
            try:
                if sockets:
                    socket.send_fds(self._sock, [message], [each.fileno() for each in sockets])
                else:
                    self._sock.send(message)
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in _FULL:  # too many sockets on their way
                    return False
                raise
            self._waiting.popleft()
            for each in sockets:
                each.close()
        return True

    async def receive(self) -> tuple[bytes, list[socket.socket]] | None:
        """The next message, or nothing at the end. Sockets that came with it do not wait.

        Danger: Python takes a received socket for one that waits, and `dup` writes that into the flags which
        every process with this socket shares: they would all stand still in `accept` until a client comes."""
        while True:
            try:
                data, numbers, flags, _ = socket.recv_fds(self._sock, MESSAGE_MAX, SOCKETS_MAX)
            except BlockingIOError:
                await self._readable()
                continue
            except OSError:
                return None
            sockets = [socket.socket(fileno=number) for number in numbers]
            for each in sockets:
                each.setblocking(False)
            if not data or flags & socket.MSG_TRUNC:
                for each in sockets:
                    each.close()
                return None
            return data, sockets

    async def _readable(self) -> None:
        loop = asyncio.get_running_loop()
        ready = asyncio.Event()
        loop.add_reader(self._sock, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_reader(self._sock)

    def close(self) -> None:
        """Give it back, with whatever was not sent."""
        for _, sockets in self._waiting:
            for each in sockets:
                each.close()
        self._waiting.clear()
        with contextlib.suppress(OSError):
            self._sock.close()
