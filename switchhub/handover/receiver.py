"""The newer process's side of a handover: finds the older process and takes over the clients' address.

Owns: the channel to the older process until the `ProcessLink` uses it. Must never: end because of anything
that the older process sends or leaves out: without a handover this process starts as any other.

An older process that was stopped does not answer, while clients wait in its accept queue. Then its listening
socket is copied from it, or the address is bound again and the kernel directs new connections here
(`socket_recovery.py`).
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
from switchhub.handover.link import TICK_INTERVAL_S, ProcessLink

if TYPE_CHECKING:
    from switchhub.net.listener import Listener

# How long an old process whose listening socket can't be copied may take to answer before this process binds
# the address itself; also how long to wait for what the old process knows.
ANSWER_TIMEOUT_S = 2.0  # time in which the old process must answer, and then send its state


class HandoverReceiver:
    """A handover from the older process of this balancer to this one."""

    def __init__(
        self,
        channel: Channel,
        listening_socket: socket.socket | None,
        supports_accept_right: bool,
        generation: int,
        answered: bool,
    ) -> None:
        """`supports_accept_right`: whether the older process's version knows claims and heartbeats;
        `generation`: the one that it knows; `answered`: whether it answered at all."""
        self._channel, self._supports_accept_right, self._generation, self._answered = (
            channel,
            supports_accept_right,
            generation,
            answered,
        )
        # At the clients' address. None: this process has to bind the address beside the older one's socket.
        self.listening_socket = listening_socket

    @classmethod
    async def find(cls, path: str, listen: tuple[str, int]) -> HandoverReceiver | None:
        """Return the handover from the process that listens at this Unix socket path.

        Returns nothing if there is none, or if it runs an incompatible version or another address. A process
        that does not answer counts as stalled, and is taken over from as well."""
        try:
            channel = Channel.connect_to(path)
        except OSError as error:
            logger.debug("no process to take over from: {}", error)
            return None
        try:
            if not channel.is_same_user():
                raise messages.MessageError("the old process belongs to another user")
            channel.send(messages.encode_message("ask", form=messages.PROTOCOL_VERSION, listen=list(listen)))
            reply = asyncio.create_task(channel.receive())
            await asyncio.wait((reply,), timeout=STALL_TIMEOUT_S)
            if not reply.done():
                # Imported only here, so that a normal start does not pay for it.
                from switchhub.handover import socket_recovery

                if (sock := socket_recovery.copy_listening_socket(channel.peer_pid(), listen)) is not None:
                    reply.cancel()
                    logger.warning(
                        "the old process did not answer; taking over with a copy of its listening socket"
                    )
                    return cls(channel, sock, True, 0, False)
                await asyncio.wait((reply,), timeout=ANSWER_TIMEOUT_S - STALL_TIMEOUT_S)
            if not reply.done():
                reply.cancel()
                logger.warning(
                    "the old process did not answer and its listening socket can't be copied; "
                    "binding the clients' address a second time"
                )
                return cls(channel, None, True, 0, False)
            received = reply.result()
            if received is None:
                raise messages.MessageError("the old process closed the channel without an answer")
            (kind, values), sockets = messages.decode_message(received[0]), received[1]
            if kind != "listener" or len(sockets) != 1:
                raise messages.MessageError(f"unexpected answer: {kind} {values}")
            supports_accept_right, generation = (
                "generation" in values,
                messages.non_negative_int(values.get("generation", 0)),
            )
        except (messages.MessageError, OSError) as error:
            logger.warning("no handover, starting without it: {}: {}", type(error).__name__, error)
            channel.close()
            return None
        return cls(channel, sockets[0], supports_accept_right, generation, True)

    async def take_over(self, listener: Listener) -> None:
        """Claim the right to accept, and wait for what the older process knows if it answered at all."""
        link = ProcessLink(
            listener,
            self._channel,
            is_newer=True,
            supports_accept_right=self._supports_accept_right,
            shares_queue=self.listening_socket is not None,
        )
        link.take_over(self._generation)
        following = self._following = asyncio.create_task(self._follow(link))
        if not self._answered:
            self._assume_cold_budgets_spent(listener)
        deadline = time.monotonic() + (ANSWER_TIMEOUT_S if self._answered else 0.0)
        while not (link.state_received.is_set() or following.done()) and (now := time.monotonic()) < deadline:
            if link.right_state is not None and link.right_state.monitor.is_stalled(now):
                logger.warning("the old process stalled; taking over without its learned state")
                self._assume_cold_budgets_spent(listener)
                break
            await asyncio.sleep(TICK_INTERVAL_S)
        logger.info("handover received; the old process still holds {} connections", link.remote_connections)

    def _assume_cold_budgets_spent(self, listener: Listener) -> None:
        """Count every cold server's budget as spent now.

        It is unknown what the older process has sent to a cold server; both processes together would overload
        it otherwise."""
        learned_state, now = listener.facade.learned_state(), listener.clock()
        servers = tuple(
            server_state._replace(sent=((now, math.inf),)) for server_state in learned_state.servers
        )
        listener.facade.restore_learned_state(now, learned_state._replace(servers=servers))

    async def _follow(self, link: ProcessLink) -> None:
        try:
            await link.follow()
        except ConnectionResetError:
            logger.info(
                "the old process has ended; {} of its connections ended with it", link.lost_connections
            )

    async def run(self) -> None:
        """Follow the older process until it ends."""
        try:
            await self._following
        finally:
            self._following.cancel()
