"""A pair of processes of one balancer: the right to accept between them, what each knows of the other's.

Owns: the channel, this side of the right, the thread that beats, the connections of the other process that
are counted here, what it was told of ours. Must never: end this process, or go on with a connection that the
other may still serve.

Danger: what a stalled process holds may still be out at a server, and it may wake. So it is only ever
counted: its ids stay taken, none of its requests is tried here. After `LOST` its clients have gone, and it
counts for nothing in the sums; when it wakes, it tells of everything anew.
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
from switchhub.handover import form
from switchhub.handover.channel import Channel
from switchhub.handover.right import BEAT, LOST, Beat, Right, Side
from switchhub.net.config import ConfigError, parse_address, parse_listing
from switchhub.net.lines import LineError
from switchhub.net.session import Session

if TYPE_CHECKING:
    import socket

    from switchhub.net.listener import Listener

TURN = 0.02  # seconds between two looks at the right, and at what has changed here
SENT_EVERY = 0.1  # seconds between two words on what was sent to cold servers
AT_ONCE = 32  # connections passed on that the other has not confirmed: so many are stuck if it stalls


class Link:
    """One side of a pair."""

    def __init__(self, node: Listener, channel: Channel, newer: bool, beats: bool, common: bool) -> None:
        """`beats`: the other side's form knows the right; `common`: the accept queue is one for both."""
        self._node, self._channel = node, channel
        self.newer, self.common = newer, common
        self.pid = channel.pid()
        self.side = Side(time.monotonic(), newer) if beats else None
        self.known = asyncio.Event()  # the older one has said what it knows and holds
        self._theirs: dict[str, form.Held] = {}  # counted here, served there
        self._to_move: set[str] = set()  # of these: the module wants them moved
        self._told: dict[str, str] = {}  # ours that it was told of, and where they are
        self._sent: set[tuple[str, float, float]] = set()  # what both know to have been sent to cold servers
        self._sent_at = 0.0
        self.lost = 0  # connections of the other that went with it
        self._out = 0  # passed on and not confirmed
        self._confirmed = asyncio.Event()
        self._looked = self._turned = time.monotonic()  # when the loop turned last; the same, and not full
        self._beat = Beat(0, False, 0.0, False)  # written here, read by the thread
        self._over = threading.Event()

    # The right.

    @property
    def accepts(self) -> bool:
        """Whether this process accepts, as far as this pair goes."""
        if not self.common:
            return True
        return self.newer if self.side is None else self.side.accepts

    @property
    def holds(self) -> bool:
        """Whether the right is ours."""
        return self.newer if self.side is None else self.side.holds

    @property
    def gave_way(self) -> bool:
        """Whether the other, newer one holds the right."""
        return not self.newer and (self.side is None or not self.side.holds)

    @property
    def serves(self) -> bool:
        """Whether the newer one can be given what stands here."""
        return self.gave_way and (self.side is None or not self.side.accepts)

    def heard_since(self, at: float) -> bool:
        """Whether the other has beaten since then, by the monotonic clock; one that can't beat has.

        Danger: one told to end leaves for good, and what serves may have stopped a moment ago."""
        return self.side is None or self.side.watch.heard > at

    def may_accept(self) -> bool:
        """Asked before each client."""
        return (
            self.accepts if self.side is None else self.side.may_accept(time.monotonic()) or not self.common
        )

    def take(self, above: int) -> None:
        """Take over from the older one."""
        assert self.newer
        if self.side is None:
            return self.send(form.write("take"))
        word = self.side.take(time.monotonic(), above)
        self.send(form.write("take", queue=self._node.queue(), generation=word.generation))

    def give_way(self, generation: int) -> None:
        """The newer one has taken over."""
        if self.side is not None:
            self.side.hear_right(time.monotonic(), Right(generation, True))

    def _turn(self) -> None:
        """A look at the time."""
        assert self.side is not None
        node, side, now = self._node, self.side, time.monotonic()
        if now - self._looked > LOST / 2:
            self._told.clear()  # the other may have given us up
        self._looked = now
        if not node.full:  # one without descriptors accepts nobody, as one that stands still
            self._turned = now
        side.leaves = node.lifecycle.leaving
        held = side.holds
        if (word := side.turn(now, self._channel.unread())) is not None:
            self.send(form.write("right", **word._asdict()))
        if side.holds is not held:
            self._say_change(now, taken=True)
        self._beat = side.beat(node.serving, 0.0)
        if self._theirs and side.watch.silent(now) >= LOST:
            logger.warning("the {} process is silent: {} sessions lost", self._other, len(self._theirs))
            self._node.counters.add("handover.lost", len(self._theirs))
            self.end(list(self._theirs))

    @property
    def _other(self) -> str:
        return "old" if self.newer else "new"

    def _say_change(self, now: float, taken: bool) -> None:
        assert self.side is not None
        side, watch = self.side, self.side.watch
        if side.holds and not (taken and watch.stalled(now)):  # it gives it back, or is told to end
            logger.info("the {} process gives back: accepting, generation {}", self._other, side.generation)
        elif side.holds:
            stood, silent = watch.stood * 1000, watch.silent(now) * 1000
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
            while not self._over.wait(BEAT):
                beat = self._beat._replace(stood=max(0.0, time.monotonic() - self._turned - 2 * TURN))
                with contextlib.suppress(BlockingIOError):  # full of what the other has not read
                    sock.send(form.write("beat", **beat._asdict()))
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
        self._node.join(self)
        watching = asyncio.create_task(self._look_on())
        try:
            if self.side is not None:
                # Danger: the channel may be closed before the thread has begun: its hold on it is taken here.
                threading.Thread(target=self._beat_on, args=(self._channel.copy(),), daemon=True).start()
            while True:
                try:
                    await self._next()
                except form.FormError as error:
                    if not self.newer:
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
        self._node.part(self)

    async def _look_on(self) -> None:
        while True:
            try:
                if self.side is not None:
                    self._turn()
                if self.side is not None or not self.newer:
                    self.tell()
                self._node.settle()
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
            kind, values = form.read(data)
            if self.side is not None and self._hear_right(self.side, kind, values):
                pass
            elif kind == "held":
                for held in form.read_held(values):
                    self._count(held)
            elif kind == "ended":
                self.end([str(each) for each in values.get("ids", ())])
            elif kind == "sent":
                self._merge_sent(form.read_sent(values))
            elif kind == "got":
                self._out -= 1
                self._confirmed.set()
            elif not self.newer:
                raise form.FormError("a word out of turn")
            elif kind == "known":
                self._know(values)
            elif kind == "yours" and self._node.serving:
                self.known.set()  # late: what was learnt here is newer, with what both sent to cold servers
            elif kind == "yours":
                self._node.facade.learn(self._node.clock(), form.read_learnt(values.get("learnt")))
                self.known.set()
            elif kind == "pass" and len(sockets) == 2:
                if self.side is not None:
                    self.send(form.write("got"))
                self._go_on(form.read_passed(values), sockets.pop(0), sockets.pop(0))
        finally:
            if self.side is not None and not self._channel.unread():
                self.side.read_all()
            self._node.share_sockets()
            for sock in sockets:
                sock.close()

    def _hear_right(self, side: Side, kind: str, values: dict[str, Any]) -> bool:
        now, held = time.monotonic(), side.holds
        try:
            if kind == "right":
                side.hear_right(now, Right(int(values["generation"]), bool(values["newer"])))
            elif kind == "beat":
                told = int(values["generation"]), bool(values["accepts"]), float(values["stood"])
                side.hear_beat(now, Beat(*told, bool(values["leaves"])))
            else:
                return False
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise form.FormError(f"{kind}: {type(error).__name__}: {error}") from None
        if side.holds is not held:
            self._say_change(now, taken=False)
        self._beat = side.beat(self._node.serving, 0.0)
        return True

    def _know(self, values: dict[str, Any]) -> None:
        node = self._node
        try:
            listing = parse_listing(values["listing"], node.config.zones, node.config.kinds)
            if node.serving and listing.version <= node.discovery.version:
                return
            node.discovery.inherit(parse_address(values["discovery"]), listing)
        except (AttributeError, ConfigError, KeyError, TypeError) as error:
            raise form.FormError(f"known: {type(error).__name__}: {error}") from None

    # What the other holds.

    def _count(self, held: form.Held) -> None:
        """Danger: rule 1 wants its id taken, rules 3 and 4 and the sums want it counted where it is."""
        node = self._node
        if held.id in node.sessions or self._theirs.get(held.id) == held:
            return
        if held.id in self._theirs:
            self.end([held.id])
        self._theirs[held.id] = held
        node.ids.take(held.id)
        logger.debug("{} is the {} process's, at {}", held.id, self._other, held.server)
        request = form.request_of(held, node.config.classes, node.config.tenants)
        node.facade.report(node.clock(), Adopted(request, held.server))

    def end(self, names: list[str]) -> None:
        """Some of these count no more; their ids are remembered as others'."""
        for name in names:
            if self._theirs.pop(name, None) is not None:
                self._to_move.discard(name)
                self._node.ids.end(name)
                self._node.facade.report(self._node.clock(), Ended(name, 0.0, Result.CANCELLED, True))

    @property
    def elsewhere(self) -> int:
        """How many connections the other holds."""
        return len(self._theirs)

    def _go_on(self, passed: form.Passed, client: socket.socket, server: socket.socket) -> None:
        node, held = self._node, passed.held
        if self._theirs.get(held.id) != held:
            self.end([held.id])
            self._count(held)
        self._theirs.pop(held.id, None)
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
        if not self.newer or name not in self._theirs:
            return False
        self._to_move.add(name)
        return True

    # What we hold.

    def introduce(self) -> None:
        """Say what this process knows and holds, to one that takes over."""
        node = self._node
        address, listing = node.discovery.whole()
        self.send(form.write("known", discovery="{}:{}".format(*address), listing=listing))
        self.tell()
        self.send(form.write("yours", learnt=form.write_learnt(node.facade.learnt())))

    def tell(self) -> None:
        """What has changed among the connections held since the last time."""
        sessions, told = self._node.sessions, self._told
        places = {name: each.place for name, each in sessions.items()}  # none before a server is chosen
        ended = [name for name, where in told.items() if places.get(name) != where]
        moved = [name for name, where in places.items() if where and told.get(name) != where]
        new = [held for name in moved if (held := sessions[name].held()) is not None]
        if ended:
            self.send(form.write("ended", ids=ended))
        self._tell_sent(time.monotonic())
        for message in form.write_held(new):
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
        mine = {(each.server, *sent) for each in self._node.facade.learnt().servers for sent in each.sent}
        new = [each for each in sorted(mine - self._sent) if math.isfinite(each[2])]
        self._sent = mine
        if new:
            self.send(form.write("sent", servers=new))

    def _merge_sent(self, told: list[tuple[str, float, float]]) -> None:
        learnt = self._node.facade.learnt()
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
        self._node.facade.learn(self._node.clock(), learnt._replace(servers=servers))

    def sent(self) -> bool:
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
            async with asyncio.timeout(BEAT):
                while self._out >= AT_ONCE:
                    self._confirmed.clear()
                    await self._confirmed.wait()
        return self._out < AT_ONCE

    def pass_on(self, passed: form.Passed, client: socket.socket, server: socket.socket) -> bool:
        """Danger: a connection that the new process holds must not be told as ended here."""
        if not self.serves:
            return False
        try:
            self._channel.send(form.write_passed(passed), client.dup(), server.dup())
        except OSError as error:
            logger.warning("hand-over: {}", error)
            return False
        self._out += 1
        self._told.pop(passed.held.id, None)
        return True
