"""The newer process's side: finds the older one, gets the clients' address from it, or from where it lies.

Owns: the way to the older process until the pair stands. Must never: end because of anything that the other
side says or leaves out: without it, it is a process that starts.

Danger: an older process that was stopped answers nobody, and clients wait in its queue. Its listening socket
is copied from it then (`socket_recovery.py`), or the address is bound again and the kernel's choice led here.
"""

from __future__ import annotations

import asyncio
import math
import socket
import time
from typing import TYPE_CHECKING

from loguru import logger

from switchhub.handover import messages
from switchhub.handover.accept_right import STALL_TIMEOUT_S
from switchhub.handover.channel import Channel
from switchhub.handover.link import TURN, ProcessLink

if TYPE_CHECKING:
    from switchhub.net.listener import Listener

ANSWER_WITHIN = (
    2.0  # seconds in which an old process that can't be passed over answers; else it is taken as none
)


class HandoverReceiver:
    """What this process takes over from the one before it."""

    def __init__(
        self, channel: Channel, sock: socket.socket | None, beats: bool, generation: int, asked: bool
    ) -> None:
        self._channel, self._beats, self._generation, self._asked = channel, beats, generation, asked
        # the clients' address; none: it is to be bound, and the other has its own
        self.listening_socket = sock

    @classmethod
    async def find(cls, path: str, listen: tuple[str, int]) -> HandoverReceiver | None:
        """The old process and its listening socket, if one is there and speaks this form."""
        try:
            channel = Channel.to(path)
        except OSError as error:
            logger.debug("no process to take over from: {}", error)
            return None
        try:
            if not channel.ours():
                raise messages.MessageError("a process of another user")
            channel.send(messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=list(listen)))
            hearing = asyncio.create_task(channel.receive())
            await asyncio.wait((hearing,), timeout=STALL_TIMEOUT_S)
            if not hearing.done():
                from switchhub.handover import (
                    socket_recovery,  # an old process that answers costs nobody its imports
                )

                if (sock := socket_recovery.copy_listening_socket(channel.pid(), listen)) is not None:
                    hearing.cancel()
                    logger.warning("the old process is silent: its clients' address is taken from it")
                    return cls(channel, sock, True, 0, False)
                await asyncio.wait((hearing,), timeout=ANSWER_WITHIN - STALL_TIMEOUT_S)
            if not hearing.done():
                hearing.cancel()
                logger.warning("the old process is silent: its address is bound beside it")
                return cls(channel, None, True, 0, False)
            received = hearing.result()
            if received is None:
                raise messages.MessageError("no answer")
            (kind, values), sockets = messages.decode_message(received[0]), received[1]
            if kind != "listener" or len(sockets) != 1:
                raise messages.MessageError(f"{kind} {values}")
            beats, generation = "generation" in values, messages.non_negative_int(values.get("generation", 0))
        except (messages.MessageError, OSError) as error:
            logger.warning("no hand-over: {}: {}", type(error).__name__, error)
            channel.close()
            return None
        return cls(channel, sockets[0], beats, generation, True)

    async def take_over(self, node: Listener) -> None:
        """Take over. Where the old process can be asked, wait until this one knows what it knew."""
        link = ProcessLink(
            node,
            self._channel,
            is_newer=True,
            beats=self._beats,
            shares_queue=self.listening_socket is not None,
        )
        link.take_over(self._generation)
        following = self._following = asyncio.create_task(self._follow(link))
        if not self._asked:
            self._take_nothing_for_granted(node)
        until = time.monotonic() + (ANSWER_WITHIN if self._asked else 0.0)
        while not (link.known.is_set() or following.done()) and (now := time.monotonic()) < until:
            if link.side is not None and link.side.monitor.stalled(now):
                logger.warning("the old process is silent: taken over without what it knows")
                self._take_nothing_for_granted(node)
                break
            await asyncio.sleep(TURN)
        logger.info("taken over with {} sessions of the old process", link.remote_connections)

    def _take_nothing_for_granted(self, node: Listener) -> None:
        """Danger: what the old process sent to a cold server is unknown, and both together push it over: all
        of its budget counts as spent now."""
        learnt, now = node.facade.learned_state(), node.clock()
        servers = tuple(each._replace(sent=((now, math.inf),)) for each in learnt.servers)
        node.facade.restore_learned_state(now, learnt._replace(servers=servers))

    async def _follow(self, link: ProcessLink) -> None:
        try:
            await link.follow()
        except ConnectionResetError:
            logger.info("the old process has ended; {} of its sessions went with it", link.lost)

    async def run(self) -> None:
        """Follow the old process to its end."""
        try:
            await self._following
        finally:
            self._following.cancel()
