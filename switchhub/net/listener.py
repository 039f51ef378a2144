"""One balancer process: accepts clients, keeps their sessions, reloads the configuration and stops in order.

Owns the listening socket, the task of every session and the sockets that are being closed. It carries out
what the decision module and the lifecycle decide, and decides nothing itself. No connection is left in the
backlog when the listening socket closes, and no established connection ends at a stop without its client
being told to move.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import socket
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from loguru import logger

from switchhub.admission.controller import AdmissionController
from switchhub.decision.facade import Facade, Send
from switchhub.lifecycle.move_pacer import MovePacer
from switchhub.lifecycle.phase import Lifecycle, Phase
from switchhub.lifecycle.stop_schedule import StopSchedule
from switchhub.net.config import Address, Config, ConfigError, read_config
from switchhub.net.connection_ids import ConnectionIds
from switchhub.net.counters import Counters
from switchhub.net.discovery import Discovery
from switchhub.net.health import ServerHealth
from switchhub.net.line_socket import LineError, LineSocket, SocketBudget, parse_first_line, stop_reading
from switchhub.net.request import ANSWER_MARGIN_MS, FAILED, final_answer, read_request
from switchhub.net.session import CLOSE_TIMEOUT_S, Session
from switchhub.net.setup_queue import SetupQueue

if TYPE_CHECKING:
    from switchhub.handover.link import ProcessLink
    from switchhub.handover.receiver import HandoverReceiver
    from switchhub.handover.sender import HandoverSender
    from switchhub.management.server import ManagementServer

BACKLOG = 4096  # connections that the kernel queues until they are accepted
ACCEPT_BATCH = 64  # connections accepted before established ones are served again
OVERLOADED_ACCEPT_BATCH = 256  # the same while requests wait for admission
ACCEPT_RECHECK_S = 0.002  # interval at which a process that may not accept yet checks again
HOUSEKEEPING_INTERVAL_S = 0.02  # interval at which the decision module's pending actions are carried out
SILENCE_CHECK_INTERVAL_S = 0.1  # interval at which silent connections are looked for
ACCEPT_FAILURE_PAUSE_S = 0.02  # pause after a connection could not be accepted
OUT_OF_DESCRIPTORS_S = 0.1  # how long after such a failure the process counts as out of descriptors
RESTART_ONLY_FIELDS = (  # fields of the configuration that a reload does not change
    "name",
    "listen",
    "management",
    "sockets",
    "settings",
)
# Times since the start of a drain. Clients are moved evenly between the first two; from the third on, without
# waiting for writes that a client does not read.
DRAIN_MOVES_BEGIN_S = 0.1
DRAIN_MOVES_END_S = 3.5
DRAIN_MOVES_FORCED_S = 3.7
FINAL_ANSWERS_S = 0.1  # time at the end of a stop in which requests that are still open are answered


class Listener:
    """One balancer process.

    `serving` is true once it listens and its tasks run. `awaiting_input` is true while its accept task waits
    for a client."""

    def __init__(self, config: Config, handover_receiver: HandoverReceiver | None = None) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.counters = Counters()
        self._unix_offset_ms = time.time() * 1000 - time.monotonic() * 1000
        self.facade = Facade(config.settings, config.seed, self.clock())
        self.discovery = Discovery(config, self.facade, self.counters, self.clock)
        self.health = ServerHealth()
        self.lifecycle = Lifecycle()
        self._move_pacer: MovePacer | None = None  # set while this process drains or stops
        self._moves_forced_at = math.inf  # loop time after which moves do not wait for pending writes
        self._management: ManagementServer | None = None
        self._handover_receiver = handover_receiver
        self._handover_sender: HandoverSender | None = None
        self.pages: dict[str, Callable[[str, str], tuple[int, str]]] = {}  # further management paths
        self.links: list[ProcessLink] = []  # links to other processes of this balancer
        reserved_descriptors = 0
        if config.management is not None:  # without a management address its modules are not imported
            from switchhub.handover import sender
            from switchhub.management import server

            reserved_descriptors = server.RESERVED_DESCRIPTORS + sender.RESERVED_DESCRIPTORS
            self._management = server.ManagementServer(self, config.management)
            path = sender.socket_path(os.environ.get("TMPDIR", ""), config.name)
            self._handover_sender = sender.HandoverSender(self, path) if path else None
        self.sockets = SocketBudget(config.sockets - reserved_descriptors)
        self.sessions: dict[str, Session] = {}
        self.ids = ConnectionIds()
        self.admission = AdmissionController()
        self._setup_queue = SetupQueue(self.admission, self.clock)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        inherited_socket = None if handover_receiver is None else handover_receiver.listening_socket
        self.sock = self._bind() if inherited_socket is None else inherited_socket
        self.serving = False
        self.awaiting_input = False
        self._accept_failed_at = -math.inf  # time of the last failure to accept, by the monotonic clock
        self._accept_task: asyncio.Task[None] | None = None
        self._address_released = False  # this process has closed its listening socket
        self._accepting = asyncio.Event()
        self._accepting.set()

    def _bind(self) -> socket.socket:
        """Bind the clients' address; raise `ConfigError` if it is not available.

        With management, another process of this balancer may have bound it too: an older one that cannot hand
        it over, or a newer one."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.config.management is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        try:
            sock.bind(self.config.listen)
        except (OSError, OverflowError) as error:
            host, port = self.config.listen
            raise ConfigError(f"listen={host}:{port}: expected an available address: {error}") from None
        return sock

    def address(self) -> Address:
        """Return the address that clients connect to."""
        host, port = self.sock.getsockname()
        return host, port

    def clock(self) -> float:
        """Return Unix time in milliseconds; it never runs backward."""
        return time.monotonic() * 1000 + self._unix_offset_ms

    def stop(self) -> None:
        """Begin to stop; `run` returns when the stop is complete."""
        self.lifecycle.stop()
        self._stopping.set()

    # Requests of operators (`management.endpoints`).

    def healthy(self) -> bool:
        """Whether this process is ready to serve."""
        return self.lifecycle.healthy

    def phase_name(self) -> str:
        """Return the phase of this process in a few words."""
        return self.lifecycle.phase.value

    def metrics(self) -> str:
        """Return the metrics in the text form of `/stats`."""
        from switchhub.management.metrics import format_metrics  # imported only where management is used

        counters, targets = self.counters, self.facade.server_counts(self.clock())
        dispatches = counters.get("dispatches")
        return format_metrics(self.config.classes, counters.answers, dispatches, len(self.sessions), *targets)

    def drain(self) -> None:
        """Make this process report itself unhealthy, so that new clients go elsewhere, and move its clients.

        A second call does nothing."""
        if self.lifecycle.drain():
            now = self.loop.time()
            self._move_pacer, self._moves_forced_at = (
                MovePacer(now + DRAIN_MOVES_BEGIN_S, now + DRAIN_MOVES_END_S),
                now + DRAIN_MOVES_FORCED_S,
            )
            self.counters.add("drains")
            self.facade.drain_started(self.clock())
            logger.info("draining with {} sessions", len(self.sessions))

    def restore(self) -> bool:
        """End a drain and its moves; return False if the phase does not allow it."""
        if not self.lifecycle.restore():
            return False
        if self._move_pacer is not None:
            self._move_pacer, self._moves_forced_at = None, math.inf
            self.facade.drain_ended(self.clock())
            logger.info("drain ended, serving again with {} sessions", len(self.sessions))
        return True

    def reload(self) -> None:
        """Read the configuration again and switch to its discovery address.

        An unusable configuration changes nothing. Connections are not affected."""
        try:
            new_config = read_config(os.environ)
        except ConfigError as error:
            logger.warning("reload: the old configuration stays: {}", error)
            self.counters.add("reloads.failed")
            return
        ignored_fields = [
            name for name in RESTART_ONLY_FIELDS if getattr(new_config, name) != getattr(self.config, name)
        ]
        if ignored_fields:
            logger.warning("reload: these change at a restart only: {}", ", ".join(ignored_fields))
        self.config = self.config._replace(discovery=new_config.discovery)
        self.discovery.change_address(new_config.discovery)
        self.counters.add("reloads")
        logger.info("reload: discovery at {}:{}", *new_config.discovery)

    async def run(self) -> None:
        """Serve until `stop` is called and the stop is complete."""
        if self._handover_receiver is not None:
            await self._handover_receiver.take_over(self)
        self._run_pending_actions()
        self.sock.listen(BACKLOG)
        if self._handover_receiver is not None and self._handover_receiver.listening_socket is None:
            from switchhub.handover.socket_recovery import direct_new_connections

            direct_new_connections(self.sock)
        logger.info("{} listens on {}:{}", self.config.name, *self.address())
        services = [self._run_accepting(), self._run_housekeeping(), self.discovery.run()]
        if self._management is not None:
            services.append(self._management.run())
        handover_work = [
            work
            for work in (
                self._handover_receiver and self._handover_receiver.run(),
                self._handover_sender and self._handover_sender.run(),
            )
            if work
        ]
        self.lifecycle.begin()
        self.serving = True
        service_tasks = [asyncio.create_task(work) for work in services]
        # Unlike the services, these may end before the stop.
        handover_tasks = [asyncio.create_task(work) for work in handover_work]
        stopping = asyncio.create_task(self._stopping.wait())
        try:
            done, _ = await asyncio.wait((*service_tasks, stopping), return_when=asyncio.FIRST_COMPLETED)
            for task in done - {stopping}:  # a service that ended has failed
                task.result()
            await self._finish_sessions()
        finally:
            self.sock.close()
            for task in (*service_tasks, *handover_tasks, stopping):
                task.cancel()
            await asyncio.wait((*service_tasks, *handover_tasks, stopping))
            logger.info("counters {}", self.counters.summary())

    async def _run_accepting(self) -> None:
        """Run the accept task whenever this process may accept."""
        while True:
            await self._accepting.wait()
            self._accept_task = asyncio.create_task(self._accept())
            try:
                await asyncio.wait((self._accept_task,))
            finally:
                self._accept_task.cancel()
            if not self._accept_task.cancelled():
                self._accept_task.result()

    async def pause_accepting(self) -> None:
        """Stop accepting; connections that the event loop has already accepted still get a session."""
        self._accepting.clear()
        if self.sock.fileno() < 0:  # closed at the end of a stop
            return
        (can_be_cancelled,) = await stop_reading(self)
        if can_be_cancelled and self._accept_task is not None:
            self._accept_task.cancel()

    # Links to other processes of this balancer (`handover.link`).

    def add_link(self, link: ProcessLink) -> None:
        """Add the link to an older or newer process of this balancer."""
        self.links.append(link)

    def remove_link(self, link: ProcessLink) -> None:
        """Remove the link to a process that has ended."""
        if link in self.links:
            self.links.remove(link)
            self.apply_handover_state()

    @property
    def accepts(self) -> bool:
        """Whether all links allow this process to accept."""
        return all(each.accepts for each in self.links)

    @property
    def out_of_descriptors(self) -> bool:
        """Whether no client can be accepted for lack of descriptors."""
        return self.sockets.exhausted or time.monotonic() - self._accept_failed_at < OUT_OF_DESCRIPTORS_S

    @property
    def holds_accept_right(self) -> bool:
        """Whether this process holds the accept right on all links.

        One that has passed the right on may still accept until the other confirms that it does."""
        return all(each.holds_right for each in self.links)

    def apply_handover_state(self) -> None:
        """Set the phase, and start or stop accepting, from the state of the links.

        For a handover, this is the only place that does so."""
        yielded = any(each.yielded for each in self.links)
        if yielded and self.lifecycle.phase in (Phase.READY, Phase.DRAINING):
            self.lifecycle.supersede()
        elif not yielded and self.lifecycle.phase is Phase.SUPERSEDED:
            self.lifecycle.reinstate()
            logger.warning(
                "no successor process serves any more; this process is {} again", self.phase_name()
            )
        if self._address_released or self.accepts is self._accepting.is_set():
            return
        if self.accepts:
            self._accepting.set()
        else:
            self._accepting.clear()
            self._start_task(self.pause_accepting())

    def update_socket_budget(self) -> None:
        """Adjust the socket budget: all processes of a balancer share one limit on descriptors.

        A connection uses two sockets."""
        self.sockets.set_used_elsewhere(2 * sum(each.remote_connections for each in self.links))

    def accept_queue_id(self) -> int:
        """Return the inode of the listening socket: the same in each process that shares the accept queue."""
        return os.fstat(self.sock.fileno()).st_ino

    async def _wait_until_readable(self) -> None:
        """Wait until a client may be in the accept queue."""
        ready = asyncio.Event()
        self.loop.add_reader(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            if self.sock.fileno() >= 0:
                self.loop.remove_reader(self.sock)

    async def _accept_beside_linked(self) -> socket.socket:
        """Accept the next client while another process may accept too, after checking the accept right."""
        await self._wait_until_readable()
        while not all(each.may_accept() for each in self.links):
            await asyncio.sleep(ACCEPT_RECHECK_S)
        return self.sock.accept()[0]

    async def _accept(self) -> None:
        while self._accepting.is_set():
            try:
                self.awaiting_input = True
                if self.links:
                    sock = await self._accept_beside_linked()
                else:
                    sock, _ = await self.loop.sock_accept(self.sock)
                self.awaiting_input = False
                for _ in range((OVERLOADED_ACCEPT_BATCH if self.admission.waiting else ACCEPT_BATCH) - 1):
                    self._start_session(sock)
                    if self.sockets.exhausted:
                        break
                    sock, _ = self.sock.accept()
                else:
                    self._start_session(sock)
            except BlockingIOError:  # the backlog is empty
                pass
            except OSError as error:  # out of descriptors, or the client has left
                logger.warning("accept failed, retrying shortly: {}", error)
                self.counters.add("accept.failed")
                self._accept_failed_at = time.monotonic()
                self.sockets.release_idle()
                await asyncio.sleep(ACCEPT_FAILURE_PAUSE_S)
                continue
            released = self.sockets.release_idle()
            if released:
                self.counters.add("clients.given_up", released)
            while self.sockets.exhausted:  # further clients stay in the backlog until a socket closes
                self.counters.add("accept.waits")
                self.sockets.release_idle()
                await asyncio.sleep(ACCEPT_FAILURE_PAUSE_S)

    def _start_session(self, sock: socket.socket) -> None:
        self.counters.add("accepted")
        client = self.sockets.add_client(sock)
        try:
            refused = self._refuse_without_session(client)
        except Exception:  # one client's error must not end the accept task, and with it the process
            self.counters.add("errors")
            logger.exception("can't refuse a request, answering FAILED")
            client.try_send(FAILED)
            return self.close_socket(client, reset=False)
        if not refused:
            self._start_task(Session(self, client).run())

    def _refuse_without_session(self, client: LineSocket) -> bool:
        """Refuse a request without a session if it has arrived in full and cannot be set up in time.

        Returns whether the request was refused. A session costs several times as much as a refusal and would
        delay requests that can still be served. A malformed request, an id in use and an adoption (`at`) are
        left to a session."""
        if (
            not client.read_available()
            or (line := client.next_line()) is None
            or len(line) != len(client.unread())
        ):
            return False
        now = self.clock()
        age, round_trip = client.receive_timing()
        if self.admission.can_start_now(now, age):
            return False
        try:
            first_line = parse_first_line(line)
            request = read_request(first_line, self.config)
        except LineError:
            return False
        wait = request.budget + ANSWER_MARGIN_MS - round_trip
        if (
            "at" in first_line.values
            or not self.admission.would_be_late(age, wait)
            or not self.ids.reserve(request.id)
        ):
            return False
        self.counters.add("requests.taken")
        self.counters.add("requests.late")
        try:
            pick = self.facade.pick(now, request._replace(late=True))
        finally:
            self.ids.release(request.id)
        assert not isinstance(pick, Send)
        outcome, answer = final_answer(pick)
        self.counters.count_answer(first_line.values["c"], outcome)
        if not client.try_send(answer):
            self.counters.add("answers.undelivered")
        client.close()
        return True

    async def wait_for_setup_turn(self, latest_start: float) -> bool:
        """Wait for this request's turn to be set up; return False if `latest_start` passed before that.

        `latest_start` is Unix time in milliseconds."""
        if self._setup_queue.empty:
            self._start_task(self._setup_queue.run())
        return await self._setup_queue.wait(latest_start)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters.add("errors")
            logger.opt(exception=task.exception()).error("session task failed")

    def resume_session(self, session: Session) -> None:
        """Serve a connection that a predecessor process has handed over."""
        self.sessions[session.id] = session
        self.counters.add("sessions.taken_over")
        self._start_task(session.run_resumed())

    async def _accept_backlog_and_close(self) -> None:
        """Accept all clients in the backlog and close the listening socket.

        Clients left in the backlog when the address closes are reset. And where a new process shares the
        address without a handover, the kernel would go on giving half of the new clients to this one."""
        if self._address_released:
            return
        self._address_released = True
        await self.pause_accepting()
        with contextlib.suppress(OSError):
            while True:
                self._start_session(self.sock.accept()[0])
        self.sock.close()

    def duplicate_listening_socket(self) -> socket.socket:
        """Return a duplicate of the listening socket for a successor process."""
        return self.sock.dup()

    def close_socket(self, line_socket: LineSocket, reset: bool) -> None:
        """Close a socket: at once with a reset, or gracefully in a task of its own."""
        if reset:
            line_socket.close(reset=True)
        elif not line_socket.closed:
            self._start_task(line_socket.close_gracefully(CLOSE_TIMEOUT_S))

    async def _run_housekeeping(self) -> None:
        last_check = self.loop.time()
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            try:
                self._run_pending_actions()
                self._move_due_sessions()
                if self.loop.time() - last_check >= SILENCE_CHECK_INTERVAL_S:
                    last_check = self.loop.time()
                    self._check_silence(self.clock())
            except Exception:  # a programming error here must not end the established connections
                self.counters.add("errors")
                logger.exception("housekeeping failed")

    def _check_silence(self, now: float) -> None:
        """End connections whose server is silent or whose client has vanished."""
        waits_by_server: dict[str, list[float]] = {}
        for session in self.sessions.values():
            line_wait = session.longest_wait(now)
            if line_wait:
                waits_by_server.setdefault(session.current_server, []).append(line_wait)
        silent_servers = {
            server
            for server, line_waits in waits_by_server.items()
            if self.health.is_silent(server, len(line_waits), max(line_waits), now)
        }
        for session in list(self.sessions.values()):
            session.check_silence(now, session.current_server in silent_servers)

    def _run_pending_actions(self) -> None:
        actions = self.facade.tick(self.clock())
        for note in actions.notes:
            logger.info("decision module: {}", note)
        for request in actions.moves:
            session = self.sessions.get(request)
            if session is not None:
                self.counters.add("moves.asked")
                session.move()
            else:
                any(each.move(request) for each in self.links)
        if actions.watch:
            self.discovery.request_watch()

    def _move_due_sessions(self) -> None:
        """Move the connections that are due, while this process drains or stops."""
        if self._move_pacer is None:
            return
        now = self.loop.time()
        established_sessions = [session for session in self.sessions.values() if session.established]
        for session in established_sessions[: self._move_pacer.due(now, len(established_sessions))]:
            session.move(at_once=now >= self._moves_forced_at)

    async def _finish_sessions(self) -> None:
        """Stop in order: accept while clients still come, move all connections, wait for pending answers."""
        logger.info("stopping with {} sessions", len(self.sessions))
        longest_deadline = max((each.deadline for each in self.config.settings.classes), default=0.0) / 1000
        schedule = StopSchedule.starting_at(self.loop.time(), longest_deadline)
        if self._move_pacer is None:
            self._move_pacer = MovePacer(schedule.moves_begin_at, schedule.moves_end_at)
        else:  # a drain goes on moving at once, but must end before this process does
            self._move_pacer.end_by(schedule.moves_end_at)
        if not await self._wait_for_sessions(schedule, time.monotonic()):
            await self._accept_backlog_and_close()
        self._setup_queue.refuse_all()
        await self._end_remaining_sessions()
        logger.info("stopped with {} sessions", len(self.sessions))

    async def _wait_for_sessions(self, schedule: StopSchedule, stop_time: float) -> bool:
        """Pass connections on, and wait until all have ended or the stop is over.

        `stop_time` is when the stop began, by the monotonic clock. Returns whether a successor process has
        confirmed since then that it accepts from the queue that both share."""
        sender = self._handover_sender
        # Without a handover sender this process is alone at its address and accepts for as long as it has
        # connections: a client that finds the address closed is lost.
        accept_end = schedule.accepts_until if sender is None else math.inf
        all_sent, successor_confirmed = True, False
        while (now := self.loop.time()) < schedule.ends_at and (
            self.sessions
            or self._tasks
            or not all_sent
            or not (successor_confirmed or self._address_released or now >= accept_end)
        ):
            if sender is not None:
                await sender.pass_on_all()
                all_sent = sender.all_sent()
                successor_confirmed = any(
                    each.can_receive_connections and each.shares_queue and each.heartbeat_since(stop_time)
                    for each in sender.links
                )
                queue_is_shared = any(each.shares_queue for each in sender.links)
                if now >= schedule.accepts_until and not queue_is_shared:
                    await self._accept_backlog_and_close()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        return successor_confirmed

    async def _end_remaining_sessions(self) -> None:
        """Answer the requests that are still open, also those that are read only now."""
        answer_deadline = self.loop.time() + FINAL_ANSWERS_S
        while self._tasks and self.loop.time() < answer_deadline:
            for session in list(self.sessions.values()):
                session.end_for_stop()
            await asyncio.wait(
                self._tasks, timeout=HOUSEKEEPING_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
