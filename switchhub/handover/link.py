"""A pair of processes of one balancer: the right to accept between them, what each knows of the other's.

Owns: the channel, this side of the right, the thread that beats, the connections of the other process that
are counted here, what it was told of ours. Must never: end this process, or go on with a connection that the
other may still serve.

Danger: what a stalled process holds may still be out at a server, and it may wake. So it is only ever
counted: its ids stay taken, none of its requests is tried here. After `ABANDON_TIMEOUT_S` its clients have
gone, and it counts for nothing in the sums; when it wakes, it tells of everything anew.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import threading
import time
from typing import TYPE_CHECKING, Any

from loguru import logger

from switchhub.decision.facade import Adopted, Ended
from switchhub.decision.interface import Result
from switchhub.handover import messages
from switchhub.handover.accept_right import (
    ABANDON_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    Heartbeat,
    RightClaim,
    RightState,
)
from switchhub.handover.channel import Channel
from switchhub.net.config import ConfigError, parse_address, parse_listing
from switchhub.net.line_socket import LineError
from switchhub.net.session import Session

if TYPE_CHECKING:
    import socket

    from switchhub.net.listener import Listener

TURN = 0.02  # seconds between two looks at the right, and at what has changed here
SENT_EVERY = 0.1  # seconds between two words on what was sent to cold servers
AT_ONCE = 32  # connections passed on that the other has not confirmed: so many are stuck if it stalls


class ProcessLink:
    """One side of a pair."""

    def __init__(
        self, node: Listener, channel: Channel, is_newer: bool, beats: bool, shares_queue: bool
    ) -> None:
        """`beats`: the other side's form knows the right; `shares_queue`: one accept queue for both."""
        self._node, self._channel = node, channel
        self.is_newer, self.shares_queue = is_newer, shares_queue
        self.pid = channel.pid()
        self.side = RightState(time.monotonic(), is_newer) if beats else None
        self.known = asyncio.Event()  # the older one has said what it knows and holds
        self._theirs: dict[str, messages.HeldConnection] = {}  # counted here, served there
        self._to_move: set[str] = set()  # of these: the module wants them moved
        self._told: dict[str, str] = {}  # ours that it was told of, and where they are
        self._sent: set[tuple[str, float, float]] = set()  # what both know to have been sent to cold servers
        self._sent_at = 0.0
        self.lost = 0  # connections of the other that went with it
        self._out = 0  # passed on and not confirmed
        self._confirmed = asyncio.Event()
        self._looked = self._turned = time.monotonic()  # when the loop turned last; the same, and not full
        self._beat = Heartbeat(0, False, 0.0, False)  # written here, read by the thread
        self._over = threading.Event()

    # The right.

    @property
    def accepts(self) -> bool:
        """Whether this process accepts, as far as this pair goes."""
        if not self.shares_queue:
            return True
        return self.is_newer if self.side is None else self.side.accepts

    @property
    def holds_right(self) -> bool:
        """Whether the right is ours."""
        return self.is_newer if self.side is None else self.side.holds_right

    @property
    def yielded(self) -> bool:
        """Whether the other, newer one holds the right."""
        return not self.is_newer and (self.side is None or not self.side.holds_right)

    @property
    def can_receive_connections(self) -> bool:
        """Whether the newer one can be given what stands here."""
        return self.yielded and (self.side is None or not self.side.accepts)

    def heartbeat_since(self, at: float) -> bool:
        """Whether the other has beaten since then, by the monotonic clock; one that can't beat has.

        Danger: one told to end leaves for good, and what serves may have stopped a moment ago."""
        return self.side is None or self.side.monitor.last_heartbeat > at

    def may_accept(self) -> bool:
        """Asked before each client."""
        return (
            self.accepts
            if self.side is None
            else self.side.may_accept(time.monotonic()) or not self.shares_queue
        )

    def take_over(self, above: int) -> None:
        """Take over from the older one."""
        assert self.is_newer
        if self.side is None:
            return self.send(messages.encode_message("take"))
        word = self.side.take_over(time.monotonic(), above)
        self.send(
            messages.encode_message("take", queue=self._node.accept_queue_id(), generation=word.generation)
        )

    def give_way(self, generation: int) -> None:
        """The newer one has taken over."""
        if self.side is not None:
            self.side.receive_claim(time.monotonic(), RightClaim(generation, True))

    def _turn(self) -> None:
        """A look at the time."""
        assert self.side is not None
        node, side, now = self._node, self.side, time.monotonic()
        if now - self._looked > ABANDON_TIMEOUT_S / 2:
            self._told.clear()  # the other may have given us up
        self._looked = now
        if not node.out_of_descriptors:  # one without descriptors accepts nobody, as one that stands still
            self._turned = now
        side.shutting_down = node.lifecycle.stopping
        held = side.holds_right
        if (word := side.tick(now, self._channel.unread())) is not None:
            self.send(messages.encode_message("right", **word._asdict()))
        if side.holds_right is not held:
            self._say_change(now, taken=True)
        self._beat = side.heartbeat(node.serving, 0.0)
        if self._theirs and side.monitor.silent(now) >= ABANDON_TIMEOUT_S:
            logger.warning("the {} process is silent: {} sessions lost", self._other, len(self._theirs))
            self._node.counters.add("handover.lost", len(self._theirs))
            self.end(list(self._theirs))

    @property
    def _other(self) -> str:
        return "old" if self.is_newer else "new"

    def _say_change(self, now: float, taken: bool) -> None:
        assert self.side is not None
        side, monitor = self.side, self.side.monitor
        if side.holds_right and not (taken and monitor.stalled(now)):  # it gives it back, or is told to end
            logger.info("the {} process gives back: accepting, generation {}", self._other, side.generation)
        elif side.holds_right:
            stood, silent = monitor.loop_stalled_s * 1000, monitor.silent(now) * 1000
            self._node.counters.add("handover.taken_back")
            logger.warning(
                "the {} process is silent for {:.0f} ms (its loop stood {:.0f} ms): accepting, generation {}",
                *(self._other, silent, stood, side.generation),
            )
        else:
            logger.info("the {} process accepts from now on, generation {}", self._other, side.generation)

    def _beat_on(self, sock: socket.socket) -> None:
        """The thread: a loop that is late in a storm is no process that has stopped."""
        try:
            while not self._over.wait(HEARTBEAT_INTERVAL_S):
                beat = self._beat._replace(stood=max(0.0, time.monotonic() - self._turned - 2 * TURN))
                with contextlib.suppress(BlockingIOError):  # full of what the other has not read
                    sock.send(messages.encode_message("beat", **beat._asdict()))
        except OSError:
            pass  # the end is seen where it is read
        finally:
            sock.close()

    # What passes.

    def send(self, message: bytes, *sockets: socket.socket) -> None:
        """Now or when there is room; the end is seen where it is read."""
        try:
            self._channel.send(message, *sockets)
        except OSError as error:
            logger.debug("hand-over: {}", error)

    async def follow(self) -> None:
        """Until the other has gone: `ConnectionResetError`. An older one takes no word that it does not
        know."""
        self._node.add_link(self)
        watching = asyncio.create_task(self._look_on())
        try:
            if self.side is not None:
                # Danger: the channel may be closed before the thread has begun: its hold on it is taken here.
                threading.Thread(target=self._beat_on, args=(self._channel.copy(),), daemon=True).start()
            while True:
                try:
                    await self._next()
                except messages.MessageError as error:
                    if not self.is_newer:
                        raise
                    logger.warning("hand-over: {}", error)
                except (KeyError, TypeError, ValueError, OSError) as error:
                    if isinstance(error, ConnectionResetError):
                        raise
                    self._node.counters.add("errors")
                    logger.exception("the hand-over broke")
        finally:
            watching.cancel()
            self.close()

    def close(self) -> None:
        """The pair is over."""
        self._over.set()
        self._channel.close()
        self.lost = len(self._theirs)
        self.end(list(self._theirs))
        self._node.remove_link(self)

    async def _look_on(self) -> None:
        while True:
            try:
                if self.side is not None:
                    self._turn()
                if self.side is not None or not self.is_newer:
                    self.tell()
                self._node.apply_handover_state()
            except Exception:  # a defect of ours; the right is worth more
                self._node.counters.add("errors")
                logger.exception("the hand-over broke")
            await asyncio.sleep(TURN)

    async def _next(self) -> None:
        received = await self._channel.receive()
        if received is None:
            raise ConnectionResetError(f"the {self._other} process has gone")
        data, sockets = received
        try:
            kind, values = messages.decode_message(data)
            if self.side is not None and self._hear_right(self.side, kind, values):
                pass
            elif kind == "held":
                for held in messages.decode_held(values):
                    self._count(held)
            elif kind == "ended":
                self.end([str(each) for each in values.get("ids", ())])
            elif kind == "sent":
                self._merge_sent(messages.decode_sent(values))
            elif kind == "got":
                self._out -= 1
                self._confirmed.set()
            elif not self.is_newer:
                raise messages.MessageError("a word out of turn")
            elif kind == "known":
                self._know(values)
            elif kind == "yours" and self._node.serving:
                self.known.set()  # late: what was learnt here is newer, with what both sent to cold servers
            elif kind == "yours":
                self._node.facade.restore_learned_state(
                    self._node.clock(), messages.decode_learnt(values.get("learnt"))
                )
                self.known.set()
            elif kind == "pass" and len(sockets) == 2:
                if self.side is not None:
                    self.send(messages.encode_message("got"))
                self._go_on(messages.decode_passed(values), sockets.pop(0), sockets.pop(0))
        finally:
            if self.side is not None and not self._channel.unread():
                self.side.mark_all_read()
            self._node.update_socket_budget()
            for sock in sockets:
                sock.close()

    def _hear_right(self, side: RightState, kind: str, values: dict[str, Any]) -> bool:
        now, held = time.monotonic(), side.holds_right
        try:
            if kind == "right":
                side.receive_claim(now, RightClaim(int(values["generation"]), bool(values["newer"])))
            elif kind == "beat":
                told = int(values["generation"]), bool(values["accepts"]), float(values["stood"])
                side.receive_heartbeat(now, Heartbeat(*told, bool(values["leaves"])))
            else:
                return False
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise messages.MessageError(f"{kind}: {type(error).__name__}: {error}") from None
        if side.holds_right is not held:
            self._say_change(now, taken=False)
        self._beat = side.heartbeat(self._node.serving, 0.0)
        return True

    def _know(self, values: dict[str, Any]) -> None:
        node = self._node
        try:
            listing = parse_listing(values["listing"], node.config.zones, node.config.kinds)
            if node.serving and listing.version <= node.discovery.version:
                return
            node.discovery.load_predecessor_listing(parse_address(values["discovery"]), listing)
        except (AttributeError, ConfigError, KeyError, TypeError) as error:
            raise messages.MessageError(f"known: {type(error).__name__}: {error}") from None

    # What the other holds.

    def _count(self, held: messages.HeldConnection) -> None:
        """Danger: rule 1 wants its id taken, rules 3 and 4 and the sums want it counted where it is."""
        node = self._node
        if held.id in node.sessions or self._theirs.get(held.id) == held:
            return
        if held.id in self._theirs:
            self.end([held.id])
        self._theirs[held.id] = held
        node.ids.reserve(held.id)
        logger.debug("{} is the {} process's, at {}", held.id, self._other, held.server)
        request = messages.request_of(held, node.config.classes, node.config.tenants)
        node.facade.report(node.clock(), Adopted(request, held.server))

    def end(self, names: list[str]) -> None:
        """Some of these count no more; their ids are remembered as others'."""
        for name in names:
            if self._theirs.pop(name, None) is not None:
                self._to_move.discard(name)
                self._node.ids.release(name)
                self._node.facade.report(self._node.clock(), Ended(name, 0.0, Result.CANCELLED, True))

    @property
    def remote_connections(self) -> int:
        """How many connections the other holds."""
        return len(self._theirs)

    def _go_on(self, passed: messages.PassedConnection, client: socket.socket, server: socket.socket) -> None:
        node, held = self._node, passed.held
        if self._theirs.get(held.id) != held:
            self.end([held.id])
            self._count(held)
        self._theirs.pop(held.id, None)
        if held.id in self._to_move:
            self._to_move.discard(held.id)
            passed = passed._replace(move=True)
        request = messages.request_of(held, node.config.classes, node.config.tenants)
        try:
            wires = (
                node.sockets.from_predecessor(client, passed.from_client),
                node.sockets.from_predecessor(server, passed.from_server),
            )
        except LineError as error:
            raise messages.MessageError(f"pass: {error}") from None
        node.resume_session(Session.from_predecessor(node, passed, *wires, request))

    def move(self, name: str) -> bool:
        """The module wants a connection moved; whether it is one of the old process, then as soon as it is
        here."""
        if not self.is_newer or name not in self._theirs:
            return False
        self._to_move.add(name)
        return True

    # What we hold.

    def introduce(self) -> None:
        """Say what this process knows and holds, to one that takes over."""
        node = self._node
        address, listing = node.discovery.snapshot()
        self.send(messages.encode_message("known", discovery="{}:{}".format(*address), listing=listing))
        self.tell()
        self.send(
            messages.encode_message("yours", learnt=messages.encode_learnt(node.facade.learned_state()))
        )

    def tell(self) -> None:
        """What has changed among the connections held since the last time."""
        sessions, told = self._node.sessions, self._told
        places = {
            name: each.current_server for name, each in sessions.items()
        }  # none before a server is chosen
        ended = [name for name, where in told.items() if places.get(name) != where]
        moved = [name for name, where in places.items() if where and told.get(name) != where]
        new = [held for name in moved if (held := sessions[name].handover_record()) is not None]
        if ended:
            self.send(messages.encode_message("ended", ids=ended))
        self._tell_sent(time.monotonic())
        for message in messages.encode_held(new):
            self.send(message)
        for name in ended:
            del told[name]
        told.update((held.id, held.server) for held in new)
        with contextlib.suppress(OSError):  # its end is seen where it is listened to
            self._channel.flush()

    def _tell_sent(self, now: float) -> None:
        """Danger: what the other does not know of, it sends to a cold server once more (rule 4)."""
        if self.side is None or now - self._sent_at < SENT_EVERY:
            return
        self._sent_at = now
        mine = {
            (each.server, *sent) for each in self._node.facade.learned_state().servers for sent in each.sent
        }
        new = [each for each in sorted(mine - self._sent) if math.isfinite(each[2])]
        self._sent = mine
        if new:
            self.send(messages.encode_message("sent", servers=new))

    def _merge_sent(self, told: list[tuple[str, float, float]]) -> None:
        learnt = self._node.facade.learned_state()
        news: dict[str, set[tuple[float, float]]] = {}
        for server, at, push in told:
            news.setdefault(server, set()).add((at, push))
        servers = tuple(
            each._replace(sent=tuple(sorted(news[each.server].union(each.sent))))
            if each.server in news
            else each
            for each in learnt.servers
        )
        self._sent.update(told)
        self._node.facade.restore_learned_state(self._node.clock(), learnt._replace(servers=servers))

    def all_sent(self) -> bool:
        """Whether the other has taken everything.

        Danger: what is passed on faster than it is taken waits here, and would be cut off at the end."""
        try:
            return self._channel.flush()
        except OSError:
            return True

    async def room(self) -> bool:
        """Wait until more may be passed on; whether it may.

        Danger: a connection on its way to a process that stalls is nobody's until that wakes."""
        if self.side is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                while self._out >= AT_ONCE:
                    self._confirmed.clear()
                    await self._confirmed.wait()
        return self._out < AT_ONCE

    def pass_on(
        self, passed: messages.PassedConnection, client: socket.socket, server: socket.socket
    ) -> bool:
        """Danger: a connection that the new process holds must not be told as ended here."""
        if not self.can_receive_connections:
            return False
        try:
            self._channel.send(messages.encode_passed(passed), client.dup(), server.dup())
        except OSError as error:
            logger.warning("hand-over: {}", error)
            return False
        self._out += 1
        self._told.pop(passed.held.id, None)
        return True
