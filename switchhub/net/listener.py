"""Accepts clients, keeps the sessions, carries out the module's chores, reloads, and stops in order.

Owns: the listening socket, every session's task, the sockets that are being ended. Must never: decide
anything; leave a connection in the backlog; end a standing connection at a stop without telling its client to
move.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import math
import os
import socket
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from loguru import logger

from switchhub.admission.controller import AdmissionController
from switchhub.decision.facade import Facade, Send
from switchhub.lifecycle.move_pacer import MovePacer
from switchhub.lifecycle.phase import Lifecycle, Phase
from switchhub.net.config import Address, Config, ConfigError, read_config
from switchhub.net.counters import Counters
from switchhub.net.discovery import Discovery
from switchhub.net.health import ServerHealth
from switchhub.net.line_socket import LineError, LineSocket, SocketBudget, parked, parse_head
from switchhub.net.session import ANSWER_MARGIN_MS, FINISH_WITHIN, Session, final_answer, read_request

if TYPE_CHECKING:
    from switchhub.handover.link import ProcessLink
    from switchhub.handover.receiver import HandoverReceiver
    from switchhub.handover.sender import HandoverSender
    from switchhub.management.server import ManagementServer

BACKLOG = 4096
AT_ONCE, AT_NEED = 64, 256  # connections taken in before those that stand have their turn; while it is behind
TURN = 0.002  # seconds after which one that may not accept yet looks again
TICK = 0.02  # seconds between two looks at the module's chores
CHECK = 0.1  # seconds between two looks at silent connections
NO_DESCRIPTORS = 0.02  # seconds to wait when a connection can't be accepted
CHOKED = 0.1  # seconds that one such failure counts
LINGER = 0.45  # seconds after a stop's start in which new connections still come: the moved would come back
STOP_DEADLINE_MAX_S, STOP_MARGIN_S = (
    3.0,
    0.3,
)  # seconds: the longest deadline that a stop is given, and a bit more
STOP_MOVE_BEGIN_FRACTION, STOP_MOVE_END_FRACTION = (
    0.5,
    0.92,
)  # parts of the time given between which everybody is moved, evenly
IDS_KEPT = 2048  # ids of ended connections that are remembered
FIXED = ("name", "listen", "management", "sockets", "settings")  # what a reload leaves as it was at the start
DRAIN_FROM, DRAIN_TO, DRAIN_MAX = 0.1, 3.5, 3.7  # seconds from a drain's call: moves begin, end, are forced
LAST_ANSWERS = 0.1  # seconds in which what is still open is answered at the very end


class ConnectionIds:
    """The ids of connections that are open or were lately: each is good for one."""

    def __init__(self) -> None:
        self._open: set[str] = set()
        self._ended: dict[str, None] = {}  # the oldest first

    def reserve(self, name: str) -> bool:
        """Whether it is free; from now on it is not."""
        if name in self._open or name in self._ended:
            return False
        self._open.add(name)
        return True

    def release(self, name: str) -> None:
        """Its connection has ended; it is remembered for a while."""
        self._open.discard(name)
        self._ended[name] = None
        if len(self._ended) > IDS_KEPT:
            del self._ended[next(iter(self._ended))]


class Listener:
    """One balancer."""

    def __init__(self, config: Config, handover_receiver: HandoverReceiver | None = None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.counters = Counters()
        self._zero = time.time() * 1000 - time.monotonic() * 1000
        self.facade = Facade(config.settings, config.seed, self.clock())
        self.discovery = Discovery(config, self.facade, self.counters, self.clock)
        self.health = ServerHealth()
        self.lifecycle = Lifecycle()
        self._pace: MovePacer | None = None  # of those that are given away now
        self._forced = math.inf  # when nobody is waited for any more
        self._management: ManagementServer | None = None
        self._handover_receiver = handover_receiver
        self._handover_sender: HandoverSender | None = None
        self.pages: dict[str, Callable[[str, str], tuple[int, str]]] = {}  # further ones, for staff
        self.links: list[ProcessLink] = []  # the pairs with other processes of this balancer
        room = 0
        if config.management is not None:  # not imported where it is not wanted
            from switchhub.handover import sender
            from switchhub.management import server

            room = server.RESERVED_DESCRIPTORS + sender.RESERVED_DESCRIPTORS
            self._management = server.ManagementServer(self, config.management)
            path = sender.socket_path(os.environ.get("TMPDIR", ""), config.name)
            self._handover_sender = sender.HandoverSender(self, path) if path else None
        self.sockets = SocketBudget(config.sockets - room)
        self.sessions: dict[str, Session] = {}
        self.ids = ConnectionIds()
        self.gate = AdmissionController()
        self._turns: deque[asyncio.Future[bool]] = deque()  # requests that wait for their turn, in order
        self._latest: list[tuple[float, int, asyncio.Future[bool]]] = []  # the same, by when they must start
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        shared = None if handover_receiver is None else handover_receiver.listening_socket
        self.sock = self._bound() if shared is None else shared
        self.serving = False  # it listens, and its loops run
        self.waits = False  # for a client to accept
        self._choked = -math.inf  # when one could not be accepted last
        self._accept_task: asyncio.Task[None] | None = None
        self._closed = False  # the clients' address is not this process's any more
        self._accepting = asyncio.Event()
        self._accepting.set()

    def _bound(self) -> socket.socket:
        """The clients' address. Where staff upgrade, another process may have it too: an old one that can't
        hand it over, or a new one."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.config.management is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        try:
            sock.bind(self.config.listen)
        except (OSError, OverflowError) as error:
            host, port = self.config.listen
            raise ConfigError(f"listen={host}:{port}: expected an address that is free: {error}") from None
        return sock

    def address(self) -> Address:
        """Where clients connect."""
        host, port = self.sock.getsockname()
        return host, port

    def clock(self) -> float:
        """Unix time in milliseconds that never runs backward."""
        return time.monotonic() * 1000 + self._zero

    def stop(self) -> None:
        """Begin to stop."""
        self.lifecycle.stop()
        self._stopping.set()

    # What the operators' staff ask (`management.endpoints`).

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""
        return self.lifecycle.healthy

    def phase_name(self) -> str:
        """What it is, in a word or two."""
        return self.lifecycle.phase.value

    def metrics(self) -> str:
        """The figures, in the operators' form."""
        from switchhub.management.metrics import format_metrics  # imported with the calls

        counters, targets = self.counters, self.facade.server_counts(self.clock())
        dispatches = counters.get("dispatches")
        return format_metrics(self.config.classes, counters.answers, dispatches, len(self.sessions), *targets)

    def drain(self) -> None:
        """Turn new clients away and move those that stand; a second call changes nothing."""
        if self.lifecycle.drain():
            now = self.loop.time()
            self._pace, self._forced = MovePacer(now + DRAIN_FROM, now + DRAIN_TO), now + DRAIN_MAX
            self.counters.add("drains")
            self.facade.drain_started(self.clock())
            logger.info("draining with {} sessions", len(self.sessions))

    def restore(self) -> bool:
        """Back to work, and no further moves; whether that can be."""
        if not self.lifecycle.restore():
            return False
        if self._pace is not None:
            self._pace, self._forced = None, math.inf
            self.facade.drain_ended(self.clock())
            logger.info("back to work with {} sessions", len(self.sessions))
        return True

    def reload(self) -> None:
        """Read the configuration again; one that does not serve changes nothing. No connection notices."""
        try:
            told = read_config(os.environ)
        except ConfigError as error:
            logger.warning("reload: the old configuration stays: {}", error)
            self.counters.add("reloads.failed")
            return
        fixed = [name for name in FIXED if getattr(told, name) != getattr(self.config, name)]
        if fixed:
            logger.warning("reload: these change at a restart only: {}", ", ".join(fixed))
        self.config = self.config._replace(discovery=told.discovery)
        self.discovery.move(told.discovery)
        self.counters.add("reloads")
        logger.info("reload: discovery at {}:{}", *told.discovery)

    async def run(self) -> None:
        """Serve until stopped."""
        if self._handover_receiver is not None:
            await self._handover_receiver.take_over(self)
        self._chores()
        self.sock.listen(BACKLOG)
        if self._handover_receiver is not None and self._handover_receiver.listening_socket is None:
            from switchhub.handover.socket_recovery import direct_new_connections

            direct_new_connections(self.sock)
        logger.info("{} listens on {}:{}", self.config.name, *self.address())
        duties = [self._take_in_all(), self._keep_house(), self.discovery.run()]
        if self._management is not None:
            duties.append(self._management.run())
        aside = [
            each
            for each in (
                self._handover_receiver and self._handover_receiver.run(),
                self._handover_sender and self._handover_sender.run(),
            )
            if each
        ]
        self.lifecycle.begin()
        self.serving = True
        loops = [asyncio.create_task(each) for each in duties]
        others = [asyncio.create_task(each) for each in aside]  # these may end by themselves
        stopping = asyncio.create_task(self._stopping.wait())
        try:
            done, _ = await asyncio.wait((*loops, stopping), return_when=asyncio.FIRST_COMPLETED)
            for task in done - {stopping}:  # none of these ends by itself
                task.result()
            await self._stop()
        finally:
            self.sock.close()
            for task in (*loops, *others, stopping):
                task.cancel()
            await asyncio.wait((*loops, *others, stopping))
            logger.info("counters {}", self.counters.summary())

    async def _take_in_all(self) -> None:
        """Accept, but while a new process does."""
        while True:
            await self._accepting.wait()
            self._accept_task = asyncio.create_task(self._accept())
            try:
                await asyncio.wait((self._accept_task,))
            finally:
                self._accept_task.cancel()
            if not self._accept_task.cancelled():
                self._accept_task.result()

    async def pause_accept(self) -> None:
        """Accept nobody any more; whom the loop has accepted is taken in."""
        self._accepting.clear()
        if await parked(self) and self._accept_task is not None:
            self._accept_task.cancel()

    # The pairs with other processes of this balancer (`handover.link`).

    def add_link(self, link: ProcessLink) -> None:
        """Another process of this balancer, that is older or newer."""
        self.links.append(link)

    def remove_link(self, link: ProcessLink) -> None:
        """It has gone."""
        if link in self.links:
            self.links.remove(link)
            self.apply_handover_state()

    @property
    def accepts(self) -> bool:
        """Whether the right to accept is this process's, as far as each pair goes."""
        return all(each.accepts for each in self.links)

    @property
    def out_of_descriptors(self) -> bool:
        """Whether nobody can be accepted here, for want of descriptors."""
        return self.sockets.out or time.monotonic() - self._choked < CHOKED

    @property
    def holds_accept_right(self) -> bool:
        """Whether it is this process's, and not only until another has said that it accepts."""
        return all(each.holds_right for each in self.links)

    def apply_handover_state(self) -> None:
        """What this process is and whether it accepts, as the pairs have it: here and nowhere else."""
        yielded = any(each.yielded for each in self.links)
        if yielded and self.lifecycle.phase in (Phase.READY, Phase.DRAINING):
            self.lifecycle.supersede()
        elif not yielded and self.lifecycle.phase is Phase.SUPERSEDED:
            self.lifecycle.reinstate()
            logger.warning("no new process serves, {} again", self.phase_name())
        if self._closed or self.accepts is self._accepting.is_set():
            return
        if self.accepts:
            self._accepting.set()
        else:
            self._accepting.clear()
            self._start(self.pause_accept())

    def update_socket_budget(self) -> None:
        """The limit on descriptors is one for all processes of a balancer."""
        self.sockets.share(2 * sum(each.remote_connections for each in self.links))

    def accept_queue_id(self) -> int:
        """Which accept queue this process has: the same number in each process that shares it."""
        return os.fstat(self.sock.fileno()).st_ino

    async def _readable(self) -> None:
        """Wait until a client may be there."""
        ready = asyncio.Event()
        self.loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            if self.sock.fileno() >= 0:
                self.loop.remove_reader(self.sock)

    async def _next_client(self) -> socket.socket:
        """The next one, beside another process: after a look at whether this one still may."""
        await self._readable()
        while not all(each.may_accept() for each in self.links):
            await asyncio.sleep(TURN)
        return self.sock.accept()[0]

    async def _accept(self) -> None:
        while self._accepting.is_set():
            try:
                self.waits = True
                if self.links:
                    sock = await self._next_client()
                else:
                    sock, _ = await self.loop.sock_accept(self.sock)
                self.waits = False
                for _ in range((AT_NEED if self.gate.waiting else AT_ONCE) - 1):
                    self._take_in(sock)
                    if self.sockets.out:
                        break
                    sock, _ = self.sock.accept()
                else:
                    self._take_in(sock)
            except BlockingIOError:  # the backlog is empty
                pass
            except OSError as error:  # EMFILE, or gone again
                logger.warning("accept: {}", error)
                self.counters.add("accept.failed")
                self._choked = time.monotonic()
                self.sockets.relieve()
                await asyncio.sleep(NO_DESCRIPTORS)
                continue
            given_up = self.sockets.relieve()
            if given_up:
                self.counters.add("clients.given_up", given_up)
            while self.sockets.out:  # the backlog holds the rest until something closes
                self.counters.add("accept.waits")
                self.sockets.relieve()
                await asyncio.sleep(NO_DESCRIPTORS)

    def _take_in(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        wire = self.sockets.of_client(sock)
        if not self._refused_at_once(wire):
            self._start(Session(self, wire).run())

    def _refused_at_once(self, wire: LineSocket) -> bool:
        """Refuse, without a session, a request that is here whole and can't be in time.

        Danger: a session costs several times a refusal, and makes those late that could be served. Whatever
        else is the matter with a request, its session finds."""
        if not wire.read_available() or (line := wire.line()) is None or len(line) != len(wire.rest()):
            return False
        now = self.clock()
        age, trip = wire.receive_timing()
        if self.gate.can_start_now(now, age):
            return False
        try:
            head = parse_head(line)
            request = read_request(head, self.config)
        except LineError:
            return False
        wait = request.budget + ANSWER_MARGIN_MS - trip
        if "at" in head.values or not self.gate.would_be_late(age, wait) or not self.ids.reserve(request.id):
            return False
        self.counters.add("requests.taken")
        self.counters.add("requests.late")
        pick = self.facade.pick(now, request._replace(late=True))
        assert not isinstance(pick, Send)
        name, answer = final_answer(pick)
        self.counters.count_answer(head.values["c"], name)
        if not wire.say(answer):
            self.counters.add("answers.undelivered")
        self.ids.release(request.id)
        wire.close()
        return True

    async def turn(self, latest: float) -> bool:
        """Wait until it is this request's turn to be set up; whether it came by then."""
        if not self._turns:
            self._start(self._give_turns())
        turn: asyncio.Future[bool] = self.loop.create_future()
        self._turns.append(turn)
        self._count += 1
        heapq.heappush(self._latest, (latest, self._count, turn))
        self.gate.waiting += 1
        try:
            return await turn
        finally:
            self.gate.waiting -= 1

    async def _give_turns(self) -> None:
        """In order, a few in each turn of the loop; whose time is over is told so at once, out of order."""
        while self._turns:
            await asyncio.sleep(0)  # what is under way goes first
            now = self.clock()
            while self._latest and self._latest[0][0] < now:
                turn = heapq.heappop(self._latest)[2]
                if not turn.done():
                    turn.set_result(False)
            left = self.gate.next_batch(now)
            while self._turns and (left or self._turns[0].done()):
                turn = self._turns.popleft()
                if not turn.done():
                    turn.set_result(True)
                    left -= 1
        self._latest.clear()
        self.gate.queue_emptied()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters.add("errors")
            logger.opt(exception=task.exception()).error("a session broke")

    def resume_session(self, session: Session) -> None:
        """Serve a connection that a former process has passed on."""
        self.sessions[session.id] = session
        self.counters.add("sessions.taken_over")
        self._start(session.go_on())

    async def _empty_queue(self) -> None:
        """Take in whom the kernel has accepted and close the clients' address.

        Danger: what lies unaccepted when it closes is reset. And where a new process shares it without a
        hand-over, the kernel goes on giving this one half of the new clients."""
        if self._closed:
            return
        self._closed = True
        await self.pause_accept()
        with contextlib.suppress(OSError):
            while True:
                self._take_in(self.sock.accept()[0])
        self.sock.close()

    def duplicate_listening_socket(self) -> socket.socket:
        """The clients' address, for a new process."""
        return self.sock.dup()

    def give_back(self, wire: LineSocket, reset: bool) -> None:
        """End a socket: at once with a reset, or in order."""
        if reset:
            wire.close(reset=True)
        elif not wire.closed:
            self._start(wire.finish(FINISH_WITHIN))

    async def _keep_house(self) -> None:
        checked = self.loop.time()
        while True:
            await asyncio.sleep(TICK)
            try:
                self._chores()
                self._give_away()
                if self.loop.time() - checked >= CHECK:
                    checked = self.loop.time()
                    self._check(self.clock())
            except Exception:  # a defect of ours; the connections that stand are worth more
                self.counters.add("errors")
                logger.exception("housekeeping broke")

    def _check(self, now: float) -> None:
        """End what a silent server or a vanished client has left behind."""
        waiting: dict[str, list[float]] = {}
        for session in self.sessions.values():
            waits = session.waits(now)
            if waits:
                waiting.setdefault(session.current_server, []).append(waits)
        silent = {
            server
            for server, waits in waiting.items()
            if self.health.is_silent(server, len(waits), max(waits), now)
        }
        for session in list(self.sessions.values()):
            session.check(now, session.current_server in silent)

    def _chores(self) -> None:
        chores = self.facade.tick(self.clock())
        for text in chores.notes:
            logger.info("module: {}", text)
        for request in chores.moves:
            session = self.sessions.get(request)
            if session is not None:
                self.counters.add("moves.asked")
                session.move()
            else:
                any(each.move(request) for each in self.links)
        if chores.watch:
            self.discovery.ask()

    def _give_away(self) -> None:
        """Move those whose turn it is, while this process drains or stops."""
        if self._pace is None:
            return
        now = self.loop.time()
        standing = [session for session in self.sessions.values() if session.established]
        for session in standing[: self._pace.due(now, len(standing))]:
            session.move(at_once=now >= self._forced)

    async def _stop(self) -> None:
        """Go on answering while connections still come, move everybody, wait for what is owed."""
        logger.info("stopping with {} sessions", len(self.sessions))
        longest = max((each.deadline for each in self.config.settings.classes), default=0.0) / 1000
        given_time = min(longest, STOP_DEADLINE_MAX_S) + STOP_MARGIN_S
        starts = self.loop.time()
        ends = starts + given_time
        linger = max(
            LINGER, given_time * STOP_MOVE_BEGIN_FRACTION
        )  # the later, the more of the others are back
        # Danger: alone at its address it accepts as long as it has somebody; who finds it closed is lost.
        lingers = starts + LINGER if self._handover_sender is None else math.inf
        handover_sender, sent, given, asked = self._handover_sender, True, False, time.monotonic()
        if self._pace is None:  # one that drains goes on as it does
            self._pace = MovePacer(starts + linger, starts + given_time * STOP_MOVE_END_FRACTION)
        while (now := self.loop.time()) < ends and (
            self.sessions or self._tasks or not sent or not (given or self._closed or now >= lingers)
        ):
            if handover_sender is not None:
                await handover_sender.pass_on_all()
                sent = handover_sender.all_sent()
            successors = handover_sender.links if handover_sender is not None else []
            given = any(
                each.can_receive_connections and each.shares_queue and each.heartbeat_since(asked)
                for each in successors
            )
            if (
                handover_sender is not None
                and now >= starts + LINGER
                and not any(each.shares_queue for each in successors)
            ):
                await self._empty_queue()
            await asyncio.sleep(TICK)
        if not given:
            await self._empty_queue()
        for _, _, turn in self._latest:
            if not turn.done():
                turn.set_result(False)
        last = self.loop.time() + LAST_ANSWERS
        while self._tasks and self.loop.time() < last:
            for session in list(self.sessions.values()):  # also who was in the queue and is read only now
                session.give_up()
            await asyncio.wait(self._tasks, timeout=TICK, return_when=asyncio.FIRST_COMPLETED)
        logger.info("stopped with {} sessions", len(self.sessions))
