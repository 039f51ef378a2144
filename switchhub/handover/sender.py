"""The older process's side of a handover: listens for newer processes and passes connections on to them.

Owns: the listening Unix socket and its file, the links to newer processes. Must never: pass a connection on
before this process has begun to stop, or remove a file that is not its own.

All processes of a balancer use the same Unix socket path, and the newest one listens there. A process that
accepts checks who listens at the path, and joins that process if it is newer. Without this, a process whose
newer one has ended, or that was replaced while it was stopped, would accept clients beside the present one
for ever.
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
from switchhub.handover.channel import Channel, new_unix_socket
from switchhub.handover.link import MAX_UNCONFIRMED, ProcessLink

if TYPE_CHECKING:
    from switchhub.net.listener import Listener
    from switchhub.net.session import Session

ANSWER_TIMEOUT_S = 2.0  # for the peer's first message, and for its answer to `join`
TAKE_OVER_TIMEOUT_S = 6.0  # from the answer to a new process's `ask` until its `take`
PATH_CHECK_INTERVAL_S = 0.25  # between two checks of who listens at the path, while this process accepts
MAX_PATH_BYTES = 107  # of a Unix socket's path
RESERVED_DESCRIPTORS = 12  # for the listening Unix socket, the channels and sockets on their way


def socket_path(folder: str, name: str) -> str:
    """Return the Unix socket path of this balancer; empty without a folder, or if the path is too long."""
    path = os.path.join(folder, f"switchhub-{quote(name, safe='')}.sock") if folder else ""
    return path if len(os.fsencode(path)) <= MAX_PATH_BYTES else ""


class HandoverSender:
    """Hands over to the newer processes of this balancer."""

    def __init__(self, listener: Listener, path: str) -> None:
        self._listener, self._path = listener, path
        self._started_at = time.monotonic()  # comparable among the processes of one machine
        self._sock: socket.socket | None = None  # listens at the path
        self._inode = 0  # of this process's socket file
        # A newer process has ended: check the path at once, before the next one starts.
        self._peer_ended = asyncio.Event()
        self._accept_task: asyncio.Task[None] | None = None
        self._peer_tasks: set[asyncio.Task[None]] = set()

    @property
    def links(self) -> list[ProcessLink]:
        """The links to newer processes that have taken over, the newest last."""
        return [link for link in self._listener.links if not link.is_newer]

    @property
    def successor(self) -> ProcessLink | None:
        """The link to the newest process that holds the right to accept, if any."""
        return next((link for link in reversed(self.links) if link.yielded), None)

    async def run(self) -> None:
        """Listen for newer processes until cancelled; without a socket, handovers are disabled."""
        try:
            self._listen_at_path()
        except OSError as error:
            logger.warning("handover disabled: can't listen at {}: {}", self._path, error)
            return
        path_watch = asyncio.create_task(self._watch_path())
        try:
            while True:  # `_listen_at_path` cancels the task when it replaces the socket
                self._accept_task = asyncio.create_task(self._accept())
                await asyncio.wait((self._accept_task,))
        finally:
            for task in (path_watch, self._accept_task, *self._peer_tasks):
                if task is not None:
                    task.cancel()
            self.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self._sock is not None:
            try:
                sock, _ = await loop.sock_accept(self._sock)
            except (OSError, ValueError) as error:
                logger.warning("can't accept a handover at {}, trying again: {}", self._path, error)
                await asyncio.sleep(PATH_CHECK_INTERVAL_S)  # out of descriptors: no busy loop meanwhile
            else:
                self._start_task(self._serve_peer(Channel(sock)))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._peer_tasks.add(task)
        task.add_done_callback(self._peer_tasks.discard)

    def _listen_at_path(self) -> None:
        """Listen at the path in place of whichever process did; raise `OSError` if a file there is no socket.

        Called again whenever this process accepts clients and does not listen there: another process has put
        its own socket at the path, and once that process is dead or stalled, the next new one could not reach
        this one."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.lstat(self._path).st_mode):
                raise FileExistsError("expected a socket or no file")
        own_path = f"{self._path}.{os.getpid()}"
        if len(os.fsencode(own_path)) > MAX_PATH_BYTES:
            raise OSError("the path is too long for a Unix socket")
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own_path)
        sock = new_unix_socket()
        try:
            sock.bind(own_path)
            sock.listen(4)
            inode = os.stat(own_path).st_ino
            os.rename(own_path, self._path)
        except OSError:
            sock.close()
            raise
        previous, self._sock, self._inode = self._sock, sock, inode
        if self._accept_task is not None:
            self._accept_task.cancel()
        if previous is not None:
            previous.close()

    def _owns_path(self) -> bool:
        try:
            return os.stat(self._path).st_ino == self._inode
        except OSError:
            return False

    async def _watch_path(self) -> None:
        """While this process accepts clients, listen at the path or join the newer process that does."""
        listener = self._listener
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATH_CHECK_INTERVAL_S):
                    await self._peer_ended.wait()
            self._peer_ended.clear()
            if (
                not listener.serving
                or not listener.holds_accept_right
                or listener.lifecycle.stopping
                or self._owns_path()
            ):
                continue  # a process that has just given way still accepts, but the path is its successor's
            try:
                channel = self._connect_unlinked()
                if channel is None or not await self._join(channel):
                    self._listen_at_path()
            except OSError as error:
                logger.warning("can't listen for handovers at {}, trying again: {}", self._path, error)

    def _connect_unlinked(self) -> Channel | None:
        """Connect to the process that listens at the path, unless there is none or it has a link already."""
        try:
            channel = Channel.connect_to(self._path)
        except OSError:
            return None
        if (
            channel.peer_pid() in {link.peer_pid for link in self._listener.links if link.peer_pid}
            or not channel.is_same_user()
        ):
            channel.close()
            return None
        return channel

    async def _join(self, channel: Channel) -> bool:
        """Let the process that listens at the path take over from this one; return whether it does.

        It does not if it is the older one or does not answer."""
        try:
            listen = list(self._listener.address())
            queue = self._listener.accept_queue_id()
            channel.send(
                messages.encode_message(
                    "join",
                    form=messages.PROTOCOL_VERSION,
                    listen=listen,
                    queue=queue,
                    born=self._started_at,
                )
            )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                kind, values = await self._receive(channel)
            if kind == "take":
                self._start_task(self._follow(channel, values))
                return True
        except (messages.MessageError, OSError, TimeoutError) as error:
            logger.debug("can't join the process at the handover socket: {}: {}", type(error).__name__, error)
        channel.close()
        return False

    async def _serve_peer(self, channel: Channel) -> None:
        """Serve another process that has connected, until it or this one ends."""
        listener = self._listener
        try:
            if not channel.is_same_user():
                raise messages.MessageError("the other process belongs to another user")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                kind, values = await self._receive(channel)
            host, port = listener.config.listen
            same_address = values.get("listen") in ([host, port], list(listener.address()))
            if kind == "join" and same_address and values.get("form") == messages.PROTOCOL_VERSION:
                return await self._take_over_from_older(channel, values)
            if kind != "ask" or values.get("form") != messages.PROTOCOL_VERSION or not same_address:
                channel.send(messages.encode_message("no", why="another form or another address"))
                raise messages.MessageError(f"unexpected message, version or address: {kind} {values}")
            answer = messages.encode_message("listener", generation=self._highest_generation())
            channel.send(answer, listener.duplicate_listening_socket())
            async with asyncio.timeout(TAKE_OVER_TIMEOUT_S):
                kind, values = await self._receive(channel)
            if kind != "take":
                raise messages.MessageError(kind)
        except (messages.MessageError, OSError, TimeoutError) as error:
            logger.warning("handover aborted: {}: {}", type(error).__name__, error)
            return channel.close()
        await self._follow(channel, values)

    async def _take_over_from_older(self, channel: Channel, values: dict[str, Any]) -> None:
        """Take over from an older process that sent `join`; it knows nothing that this one does not."""
        peer_started_at = values.get("born")
        if not isinstance(peer_started_at, float):
            raise messages.MessageError(f"join: expected a start time, got {peer_started_at!r}")
        if peer_started_at >= self._started_at:
            channel.send(messages.encode_message("no", why="it is newer"))
            return channel.close()
        shares_queue = values.get("queue") == self._listener.accept_queue_id()
        link = ProcessLink(
            self._listener, channel, is_newer=True, supports_accept_right=True, shares_queue=shares_queue
        )
        link.state_received.set()
        logger.info("joined by an older process; taking over from it")
        link.take_over(self._highest_generation())
        with contextlib.suppress(ConnectionResetError):
            await link.follow()

    def _highest_generation(self) -> int:
        return max(
            (link.right_state.generation for link in self._listener.links if link.right_state is not None),
            default=0,
        )

    async def _follow(self, channel: Channel, values: dict[str, Any]) -> None:
        """Hand over to the newer process that sent `take`, and follow it until it or this one ends."""
        listener = self._listener
        try:
            if not listener.lifecycle.supersede():
                raise messages.MessageError(f"can't hand over while {listener.phase_name()}")
            queue = values.get("queue")  # versions without the right to accept send none
            shares_queue = queue is None or queue == listener.accept_queue_id()
            link = ProcessLink(
                listener,
                channel,
                is_newer=False,
                supports_accept_right=queue is not None,
                shares_queue=shares_queue,
            )
            link.yield_right(messages.non_negative_int(values.get("generation", 0)))
            logger.info("handing over to a new process, with {} sessions", len(listener.sessions))
            listener.counters.add("handovers")
            link.send_state()
            await link.follow()
        except (messages.MessageError, OSError) as error:
            logger.warning("handover aborted: {}: {}", type(error).__name__, error)
        except Exception:  # a defect here must not keep the next new process from taking over
            listener.counters.add("errors")
            logger.exception("handover aborted by an unexpected error")
        finally:
            channel.close()
            listener.apply_handover_state()
            self._peer_ended.set()

    async def _receive(self, channel: Channel) -> tuple[str, dict[str, Any]]:
        received = await channel.receive()
        if received is None:
            raise ConnectionResetError("the other process closed the channel")
        for sock in received[1]:
            sock.close()
        return messages.decode_message(received[0])

    def all_sent(self) -> bool:
        """Send what still waits; return whether the newer processes have been sent everything."""
        sent = [link.all_sent() for link in self.links]
        return all(sent)

    async def pass_on_all(self) -> None:
        """Pass every established connection on to the newest process, at most `MAX_UNCONFIRMED` at a time.

        Called again until this process ends, for connections that were set up since. One whose client does
        not read takes a while; the others do not wait for it."""
        sessions_to_pass = [session for session in self._listener.sessions.values() if session.established]
        under_way: set[asyncio.Task[None]] = set()
        for session in sessions_to_pass:
            if len(under_way) >= MAX_UNCONFIRMED:
                _, under_way = await asyncio.wait(under_way, return_when=asyncio.FIRST_COMPLETED)
            successor = self.successor
            if (
                successor is None
                or not successor.can_receive_connections
                or not await successor.wait_for_room()
            ):
                break
            under_way.add(asyncio.create_task(self._pass_on(session, successor)))
        if under_way:
            await asyncio.wait(under_way)

    async def _pass_on(self, session: Session, successor: ProcessLink) -> None:
        """Pass one connection on; after an unexpected error its client is moved, and the others go on."""
        try:
            await session.hand_over(successor.pass_on)
        except Exception:
            self._listener.counters.add("errors")
            logger.exception("can't pass connection {} on, moving its client", session.id)
            session.move(at_once=True)

    def close(self) -> None:
        """Close the listening Unix socket, and remove its file unless another process listens there."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
            if self._owns_path():
                with contextlib.suppress(OSError):
                    os.unlink(self._path)
