"""The new process's side: takes over the clients' address, counts what the old process holds, goes on with
what that passes on.

Owns: the channel to the old process, the connections counted here that still are the old one's. Must never:
end because of anything that the other side says or leaves out: without it, it is a process that starts.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

from loguru import logger

from switchhub.decision.facade import Adopted, Ended
from switchhub.decision.interface import Result
from switchhub.handover import form
from switchhub.handover.channel import Channel
from switchhub.net.config import ConfigError, parse_address, parse_listing
from switchhub.net.lines import LineError
from switchhub.net.session import Session

if TYPE_CHECKING:
    from switchhub.net.listener import Listener

ANSWER_WITHIN = 2.0  # seconds in which an old process answers; else it is taken as none


class Taker:
    """What this process takes over from the one before it."""

    def __init__(self, channel: Channel, sock: socket.socket) -> None:
        self._channel = channel
        self.sock = sock
        self._theirs: dict[str, form.Held] = {}  # counted here, still served there
        self._to_move: set[str] = set()  # of these: the module wants them moved

    @classmethod
    async def find(cls, path: str, listen: tuple[str, int]) -> Taker | None:
        """The old process and its listening socket, if one is there and speaks this form."""
        try:
            channel = Channel.to(path)
        except OSError as error:
            logger.debug("no process to take over from: {}", error)
            return None
        try:
            if not channel.ours():
                raise form.FormError("a process of another user")
            channel.send(form.write("ask", form=form.FORM, listen=list(listen)))
            async with asyncio.timeout(ANSWER_WITHIN):
                received = await channel.receive()
            if received is None:
                raise form.FormError("no answer")
            (kind, values), sockets = form.read(received[0]), received[1]
            if kind != "listener" or len(sockets) != 1:
                raise form.FormError(f"{kind} {values}")
        except (form.FormError, OSError, TimeoutError) as error:
            logger.warning("no hand-over: {}: {}", type(error).__name__, error)
            channel.close()
            return None
        return cls(channel, sockets[0])

    async def take(self, node: Listener) -> None:
        """Take over: the old process accepts nobody from here on, and this one knows what it knew."""
        try:
            self._channel.send(form.write("take"))
            async with asyncio.timeout(ANSWER_WITHIN):
                while await self._next(node) != "yours":
                    pass
        except (form.FormError, OSError, TimeoutError) as error:
            logger.warning("hand-over: {}: {}", type(error).__name__, error)
        logger.info("taken over with {} sessions of the old process", len(self._theirs))

    async def run(self, node: Listener) -> None:
        """Follow the old process to its end."""
        try:
            while True:
                try:
                    await self._next(node)
                except form.FormError as error:
                    logger.warning("hand-over: {}", error)
                except (KeyError, TypeError, ValueError, OSError) as error:
                    if isinstance(error, ConnectionResetError):
                        raise
                    node.counters.add("errors")
                    logger.exception("the hand-over broke")
        except ConnectionResetError:
            logger.info("the old process has ended; {} of its sessions went with it", len(self._theirs))
        finally:
            self._channel.close()
            self._end(node, list(self._theirs))

    async def _next(self, node: Listener) -> str:
        received = await self._channel.receive()
        if received is None:
            raise ConnectionResetError("the old process has gone")
        data, sockets = received
        try:
            kind, values = form.read(data)
            if kind == "known":
                self._know(node, values)
            elif kind == "yours":
                node.facade.learn(node.clock(), form.read_learnt(values.get("learnt")))
            elif kind == "held":
                for held in form.read_held(values):
                    self._count(node, held)
            elif kind == "ended":
                self._end(node, [str(each) for each in values.get("ids", ())])
            elif kind == "pass" and len(sockets) == 2:
                self._go_on(node, form.read_passed(values), sockets.pop(0), sockets.pop(0))
            return kind
        finally:
            node.sockets.share(2 * len(self._theirs))
            for sock in sockets:
                sock.close()

    def _know(self, node: Listener, values: dict[str, Any]) -> None:
        try:
            listing = parse_listing(values["listing"], node.config.zones, node.config.kinds)
            node.discovery.inherit(parse_address(values["discovery"]), listing)
        except (AttributeError, ConfigError, KeyError, TypeError) as error:
            raise form.FormError(f"known: {type(error).__name__}: {error}") from None

    def _count(self, node: Listener, held: form.Held) -> None:
        """Danger: rule 1 wants its id taken, rules 3 and 4 and the sums want it counted where it is."""
        if held.id in node.sessions:
            return
        if held.id in self._theirs:
            self._end(node, [held.id])
        self._theirs[held.id] = held
        node.ids.take(held.id)
        request = form.request_of(held, node.config.classes, node.config.tenants)
        node.facade.report(node.clock(), Adopted(request, held.server))

    def _end(self, node: Listener, names: list[str]) -> None:
        for name in names:
            if self._theirs.pop(name, None) is not None:
                self._to_move.discard(name)
                node.ids.end(name)
                node.facade.report(node.clock(), Ended(name, 0.0, Result.CANCELLED, True))

    def _go_on(
        self, node: Listener, passed: form.Passed, client: socket.socket, server: socket.socket
    ) -> None:
        held = passed.held
        if self._theirs.get(held.id) != held:
            self._end(node, [held.id])
            self._count(node, held)
        del self._theirs[held.id]
        if held.id in self._to_move:
            self._to_move.discard(held.id)
            passed = passed._replace(move=True)
        request = form.request_of(held, node.config.classes, node.config.tenants)
        try:
            wires = (
                node.sockets.passed_on(client, passed.from_client),
                node.sockets.passed_on(server, passed.from_server),
            )
        except LineError as error:
            raise form.FormError(f"pass: {error}") from None
        node.go_on(Session.passed(node, passed, *wires, request))

    def move(self, name: str) -> bool:
        """The module wants a connection moved; whether it is one of the old process, then as soon as it is
        here."""
        if name not in self._theirs:
            return False
        self._to_move.add(name)
        return True
