"""The older process's side: the meeting place where a newer one finds this one, and what is passed on to it.

Owns: the Unix socket's listening end and its file, the pairs with newer processes. Must never: pass a
connection on before this process was told to stop, or take a file away that is not its own.

Danger: a process that has lost its newer one, or was replaced while it stood still, would accept beside the
present one for ever. It looks who stands at the meeting place, and joins whoever is newer there.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
import time
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from loguru import logger

from switchhub.handover import messages
from switchhub.handover.channel import Channel, new_socket
from switchhub.handover.link import AT_ONCE, ProcessLink

if TYPE_CHECKING:
    from switchhub.net.listener import Listener

ANSWER_WITHIN = 2.0  # seconds in which the other side says what it is to say next
TAKE_WITHIN = 6.0  # seconds that a new process has from its first word until it takes over
SEEK = 0.25  # seconds between two looks at the meeting place by a process that accepts
PATH_MAX = 107  # bytes of a Unix socket's path
RESERVED_DESCRIPTORS = 12  # descriptors set apart: the meeting place, channels, what travels


def socket_path(folder: str, name: str) -> str:
    """Where the processes of this balancer meet; nothing where no path serves."""
    path = os.path.join(folder, f"switchhub-{quote(name, safe='')}.sock") if folder else ""
    return path if len(os.fsencode(path)) <= PATH_MAX else ""


class HandoverSender:
    """What this process does for the ones that come after it."""

    def __init__(self, node: Listener, path: str) -> None:
        self._node, self._path = node, path
        self._born = time.monotonic()  # comparable among the processes of one machine
        self._sock: socket.socket | None = None
        self._inode = 0
        self._gone = asyncio.Event()  # a newer process has: look at once, the next one may be about to start
        self._accepting: asyncio.Task[None] | None = None
        self._attending: set[asyncio.Task[None]] = set()

    @property
    def links(self) -> list[ProcessLink]:
        """The pairs with newer processes that have taken over, the newest last."""
        return [each for each in self._node.links if not each.is_newer]

    @property
    def successor(self) -> ProcessLink | None:
        """The newer process that serves the address."""
        return next((each for each in reversed(self.links) if each.yielded), None)

    async def run(self) -> None:
        """Offer, until cancelled."""
        try:
            self._offer()
        except OSError as error:
            logger.warning("no hand-over: {}: {}", self._path, error)
            return
        seeking = asyncio.create_task(self._seek())
        try:
            while True:  # anew whenever it is offered anew
                self._accepting = asyncio.create_task(self._accept())
                await asyncio.wait((self._accepting,))
        finally:
            for task in (seeking, self._accepting, *self._attending):
                if task is not None:
                    task.cancel()
            self.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self._sock is not None:
            try:
                sock, _ = await loop.sock_accept(self._sock)
            except (OSError, ValueError) as error:
                logger.warning("no hand-over for now: {}: {}", self._path, error)
                await asyncio.sleep(SEEK)  # no descriptor: to try at once again would take the whole core
            else:
                self._start(self._attend(Channel(sock)))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._attending.add(task)
        task.add_done_callback(self._attending.discard)

    def _offer(self) -> None:
        """Listen at the path, in place of whatever process did; a file that is no socket stays.

        Danger: another process had put its own socket at the path; dead or stalled, it turns the next new one
        away. So this is done again whenever this one accepts and does not stand there."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self._path).st_mode):
                raise FileExistsError("expected a socket or nothing")
        own = f"{self._path}.{os.getpid()}"
        if len(os.fsencode(own)) > PATH_MAX:
            raise OSError("the path is too long")
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own)
        sock = new_socket()
        try:
            sock.bind(own)
            sock.listen(4)
            inode = os.stat(own).st_ino
            os.rename(own, self._path)
        except OSError:
            sock.close()
            raise
        before, self._sock, self._inode = self._sock, sock, inode
        if self._accepting is not None:
            self._accepting.cancel()
        if before is not None:
            before.close()

    def _here(self) -> bool:
        try:
            return os.stat(self._path).st_ino == self._inode
        except OSError:
            return False

    async def _seek(self) -> None:
        """While this process accepts, it stands at the meeting place, or joins the newer one that does."""
        node = self._node
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SEEK):
                    await self._gone.wait()
            self._gone.clear()
            if not node.serving or not node.holds_accept_right or node.lifecycle.stopping or self._here():
                continue  # who has just given way still accepts, and must not take the newer one's place
            try:
                channel = self._other()
                if channel is None or not await self._join(channel):
                    self._offer()
            except OSError as error:
                logger.warning("no hand-over for now: {}: {}", self._path, error)

    def _other(self) -> Channel | None:
        """The way to a process at the meeting place that we have no pair with."""
        try:
            channel = Channel.to(self._path)
        except OSError:
            return None
        if channel.pid() in {each.pid for each in self._node.links if each.pid} or not channel.ours():
            channel.close()
            return None
        return channel

    async def _join(self, channel: Channel) -> bool:
        """Be the older one to whoever stands there; not if it is older, or silent."""
        try:
            listen = list(self._node.address())
            queue = self._node.accept_queue_id()
            channel.send(
                messages.encode_message(
                    "join", form=messages.PROTOCOL_VERSION, listen=listen, queue=queue, born=self._born
                )
            )
            async with asyncio.timeout(ANSWER_WITHIN):
                kind, values = await self._hear(channel)
            if kind == "take":
                self._start(self._follow(channel, values))
                return True
        except (messages.MessageError, OSError, TimeoutError) as error:
            logger.debug("the one at the meeting place: {}: {}", type(error).__name__, error)
        channel.close()
        return False

    async def _attend(self, channel: Channel) -> None:
        """One other process, from its first word until it or this one ends."""
        node = self._node
        try:
            if not channel.ours():
                raise messages.MessageError("a process of another user")
            async with asyncio.timeout(ANSWER_WITHIN):
                kind, values = await self._hear(channel)
            host, port = node.config.listen
            meant = values.get("listen") in ([host, port], list(node.address()))
            if kind == "join" and meant and values.get("form") == messages.PROTOCOL_VERSION:
                return await self._joined(channel, values)
            if kind != "ask" or values.get("form") != messages.PROTOCOL_VERSION or not meant:
                channel.send(messages.encode_message("no", why="another form or another address"))
                raise messages.MessageError(f"{kind} {values}")
            told = messages.encode_message("listener", generation=self._generation())
            channel.send(told, node.duplicate_listening_socket())
            async with asyncio.timeout(TAKE_WITHIN):
                kind, values = await self._hear(channel)
            if kind != "take":
                raise messages.MessageError(kind)
        except (messages.MessageError, OSError, TimeoutError) as error:
            logger.warning("hand-over: {}: {}", type(error).__name__, error)
            return channel.close()
        await self._follow(channel, values)

    async def _joined(self, channel: Channel, values: dict[str, Any]) -> None:
        """An older process has found us; it knows no more than we do."""
        born = values.get("born")
        if not isinstance(born, float):
            raise messages.MessageError(f"join: {born!r}")
        if born >= self._born:
            channel.send(messages.encode_message("no", why="it is newer"))
            return channel.close()
        common = values.get("queue") == self._node.accept_queue_id()
        link = ProcessLink(self._node, channel, is_newer=True, beats=True, shares_queue=common)
        link.known.set()
        logger.info("joined by an older process")
        link.take_over(self._generation())
        with contextlib.suppress(ConnectionResetError):
            await link.follow()

    def _generation(self) -> int:
        return max((each.side.generation for each in self._node.links if each.side is not None), default=0)

    async def _follow(self, channel: Channel, values: dict[str, Any]) -> None:
        """The new process takes over, until it or this one ends."""
        node = self._node
        try:
            if not node.lifecycle.supersede():
                raise messages.MessageError(f"take while {node.phase_name()}")
            queue = values.get("queue")  # an older form has no queue of its own, and does not beat
            common = queue is None or queue == node.accept_queue_id()
            link = ProcessLink(node, channel, is_newer=False, beats=queue is not None, shares_queue=common)
            link.give_way(messages.non_negative_int(values.get("generation", 0)))
            logger.info("giving way with {} sessions", len(node.sessions))
            node.counters.add("handovers")
            link.introduce()
            await link.follow()
        except (messages.MessageError, OSError) as error:
            logger.warning("hand-over: {}: {}", type(error).__name__, error)
        except Exception:  # a defect of ours; the next new process is still to be heard
            node.counters.add("errors")
            logger.exception("the hand-over broke")
        finally:
            channel.close()
            node.apply_handover_state()
            self._gone.set()

    async def _hear(self, channel: Channel) -> tuple[str, dict[str, Any]]:
        received = await channel.receive()
        if received is None:
            raise ConnectionResetError("the new process has gone")
        for sock in received[1]:
            sock.close()
        return messages.decode_message(received[0])

    def all_sent(self) -> bool:
        """Whether the new processes have taken everything that was passed on."""
        flushed = [each.all_sent() for each in self.links]
        return all(flushed)

    async def pass_on_all(self) -> None:
        """Part with every connection that stands, a few at a time; what comes up later goes the same way."""
        standing = [each for each in self._node.sessions.values() if each.established]
        for at in range(0, len(standing), AT_ONCE):
            successor = self.successor
            if successor is None or not successor.can_receive_connections or not await successor.room():
                return
            await asyncio.gather(*(each.hand_over(successor.pass_on) for each in standing[at : at + AT_ONCE]))

    def close(self) -> None:
        """Nobody is offered anything any more."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
            if self._here():
                with contextlib.suppress(OSError):
                    os.unlink(self._path)
