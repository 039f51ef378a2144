"""The old process's side: offers the clients' address to a new process, tells it what is held, passes it on.

Owns: the Unix socket's listening end and its file, the channel to the new process, what that was told last.
Must never: accept for a new process that has gone, pass a connection on before this process was told to stop,
or take a file away that is not its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
from typing import TYPE_CHECKING
from urllib.parse import quote

from loguru import logger

from switchhub.handover import form
from switchhub.handover.channel import Channel, new_socket

if TYPE_CHECKING:
    from switchhub.net.listener import Listener

ANSWER_WITHIN = 2.0  # seconds in which the other side says what it is to say next
TAKE_WITHIN = 6.0  # seconds that a new process has from its first word until it takes over
PATH_MAX = 107  # bytes of a Unix socket's path
ROOM = 8  # descriptors set apart: the meeting place, the channel, what travels
AT_ONCE = 64  # connections that are parted with at a time


def path_of(folder: str, name: str) -> str:
    """Where the processes of this balancer meet; nothing where no path serves."""
    path = os.path.join(folder, f"switchhub-{quote(name, safe='')}.sock") if folder else ""
    return path if len(os.fsencode(path)) <= PATH_MAX else ""


class Giver:
    """What this process does for the one that comes after it."""

    def __init__(self, node: Listener, path: str) -> None:
        self._node, self._path = node, path
        self._heir: Channel | None = None  # a new process that has taken over
        self._told: dict[str, str] = {}  # the connections that it was told of, and where they are
        self._sock: socket.socket | None = None
        self._inode = 0

    @property
    def has_heir(self) -> bool:
        """Whether a new process serves the address."""
        return self._heir is not None

    async def run(self) -> None:
        """Offer, until cancelled."""
        node = self._node
        try:
            self._offer()
        except OSError as error:
            logger.warning("no hand-over: {}: {}", self._path, error)
            return
        try:
            assert self._sock is not None
            while True:
                sock, _ = await asyncio.get_running_loop().sock_accept(self._sock)
                channel = Channel(sock)
                try:
                    await self._attend(channel)
                except (form.FormError, OSError, TimeoutError) as error:
                    logger.warning("hand-over: {}: {}", type(error).__name__, error)
                except Exception:  # a defect of ours; the next new process is still to be heard
                    node.counters.add("errors")
                    logger.exception("the hand-over broke")
                finally:
                    channel.close()
                    await self._without_heir()
        finally:
            self.close()

    def _offer(self) -> None:
        """Listen at the path, in place of whatever process did; a file that is no socket stays."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self._path).st_mode):
                raise FileExistsError("expected a socket or nothing")
        own = f"{self._path}.{os.getpid()}"
        if len(os.fsencode(own)) > PATH_MAX:
            raise OSError("the path is too long")
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own)
        self._sock = new_socket()
        self._sock.bind(own)
        self._sock.listen(4)
        self._inode = os.stat(own).st_ino
        os.rename(own, self._path)

    async def _attend(self, channel: Channel) -> None:
        """One new process, from its first word until it or this one ends."""
        node = self._node
        if not channel.ours():
            raise form.FormError("a process of another user")
        async with asyncio.timeout(ANSWER_WITHIN):
            kind, values = await self._hear(channel)
        host, port = node.config.listen
        if (
            kind != "ask"
            or values.get("form") != form.FORM
            or values.get("listen")
            not in (
                [host, port],
                list(node.address()),
            )
        ):
            channel.send(form.write("no", why="another form or another address"))
            raise form.FormError(f"{kind} {values}")
        channel.send(form.write("listener"), node.listening_copy())
        async with asyncio.timeout(TAKE_WITHIN):
            kind, _ = await self._hear(channel)
        if kind != "take" or not node.lifecycle.yield_to():
            raise form.FormError(f"{kind} while {node.condition()}")
        self._heir, self._told = channel, {}
        await node.pause_accept()
        logger.info("giving way with {} sessions", len(node.sessions))
        node.counters.add("handovers")
        address, listing = node.discovery.whole()
        channel.send(form.write("known", discovery="{}:{}".format(*address), listing=listing))
        self.tell()
        channel.send(form.write("yours", learnt=form.write_learnt(node.facade.learnt())))
        await self._hear(channel)  # it says nothing more: this is its end
        raise form.FormError("a word out of turn")

    async def _hear(self, channel: Channel) -> tuple[str, dict[str, object]]:
        received = await channel.receive()
        if received is None:
            raise ConnectionResetError("the new process has gone")
        for sock in received[1]:
            sock.close()
        return form.read(received[0])

    async def _without_heir(self) -> None:
        """The new process has gone: this one serves again, unless it was told to stop."""
        if self._heir is None:
            return
        self._heir = None
        if self._node.lifecycle.take_back():
            logger.warning("the new process has gone, {} again", self._node.condition())
            self._offer_again()
        self._node.resume_accept()

    def _offer_again(self) -> None:
        """Danger: the new process had put its own socket at the path; dead, it turns the next one away."""
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:
                return
        try:
            if self._sock is not None:
                self._sock.close()
            self._offer()
        except OSError as error:
            logger.warning("no hand-over: {}: {}", self._path, error)

    def tell(self) -> None:
        """What has changed among the connections held since the last time."""
        if self._heir is None:
            return
        now = {held.id: held for each in self._node.sessions.values() if (held := each.held()) is not None}
        ended = [name for name, where in self._told.items() if name not in now or now[name].server != where]
        new = [held for name, held in now.items() if self._told.get(name) != held.server]
        try:
            if ended:
                self._heir.send(form.write("ended", ids=ended))
            for message in form.write_held(new):
                self._heir.send(message)
            self._heir.flush()
        except OSError as error:  # its end is seen where it is listened to
            logger.debug("hand-over: {}", error)
        self._told = {name: held.server for name, held in now.items()}

    def sent(self) -> bool:
        """Whether the new process's side has taken everything.

        Danger: what is passed on faster than it is taken waits here, and would be cut off at the end."""
        try:
            return self._heir is None or self._heir.flush()
        except OSError:
            return True

    async def pass_all_on(self) -> None:
        """Part with every connection that stands, a few at a time; what comes up later goes the same way."""
        standing = [each for each in self._node.sessions.values() if each.up]
        for at in range(0, len(standing), AT_ONCE):
            if self._heir is None:
                return
            await asyncio.gather(*(each.pass_on(self._send) for each in standing[at : at + AT_ONCE]))

    def _send(self, passed: form.Passed, client: socket.socket, server: socket.socket) -> bool:
        """Danger: a connection that the new process holds must not be told as ended here."""
        if self._heir is None:
            return False
        try:
            self._heir.send(form.write_passed(passed), client.dup(), server.dup())
        except OSError as error:
            logger.warning("hand-over: {}", error)
            return False
        self._told.pop(passed.held.id, None)
        return True

    def close(self) -> None:
        """Nobody is offered anything any more."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
            with contextlib.suppress(OSError):
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
