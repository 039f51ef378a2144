"""One client connection, from its first line to its end.

Owns the client's socket, the server socket of the current attempt and the tasks that read both; `run` always
releases all of them. Servers and answers are chosen by the decision module. A session answers every request
exactly once, sends nothing to a server that has begun to drain, and changes no byte after `UP`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, cast

from loguru import logger

from switchhub.admission.controller import AdmissionDecision
from switchhub.decision.facade import Adopted, Delay, Ended, Left, Load, Send, Up
from switchhub.decision.interface import Request, Result
from switchhub.net.health import LoadLineClassifier
from switchhub.net.line_socket import FirstLine, LineError, LineSocket, parse_first_line, stop_reading
from switchhub.net.request import ANSWER_MARGIN_MS, FAILED, final_answer, read_request

if TYPE_CHECKING:
    from switchhub.handover.messages import HeldConnection, PassedConnection
    from switchhub.net.listener import Listener

# An attempt that succeeds less than this before the deadline is too late. The time at which the first line
# arrived is only known in steps of 4 ms, the kernel's clock tick.
UP_MARGIN_MS = 10.0
FIRST_LINE_TIMEOUT_S = 2.0  # time from the connection's start in which the first line must be complete
PINGS_MAX = 8  # `PING` lines that may precede the first line
CLOSE_TIMEOUT_S = 1.0  # time that the other side of an ended connection has to close too
# Time without an answer to a line after which a connection counts as silent. A silent connection must be
# moved within 7 s of its last answer. Up to 2 s may pass from that answer until the client sends its next
# line, the first that gets no answer; 1 s is margin.
SILENCE_TIMEOUT_MS = 7000.0 - 2000.0 - 1000.0
SILENT_SERVER_TIMEOUT_MS = 250.0  # the same while the server is silent on all its connections
CLIENT_IDLE_TIMEOUT_MS = 60_000.0  # time without a line after which a client counts as vanished
# Time in which a connection that was open before this process started must be established again.
ADOPTION_TIMEOUT_S = 38.0
ADOPTION_RETRY_S = 0.5  # pause between two attempts to do so
LOGGED_BYTES_MAX = 100  # bytes of a malformed line that are logged
# How long a handover waits for pending writes; after that the client is moved instead.
HANDOVER_WRITE_TIMEOUT_S = 0.8
UNANSWERED_LINES_KEPT = 16  # unanswered lines whose times are kept
LAST_KEYWORD_RESULTS = {b"BYE": Result.OK, b"MOVE": Result.CANCELLED}  # by keyword of the server's last line
ERR = b"ERR\r\n"  # the answer to anything that is not a valid request
MOVE = b"MOVE\r\n"
PING = b"PING\r\n"  # asks whether new clients may connect here
PONG = b"PONG\r\n"  # answer: they may
AWAY = b"AWAY\r\n"  # answer: they may not


class EndReason(Enum):
    """Why a connection ended; the values are names of counters."""

    CLIENT = "client"
    CLIENT_RESET = "client_reset"
    SERVER = "server"
    SERVER_RESET = "server_reset"
    SILENT = "silent"
    MOVED = "moved"
    STOPPED = "stopped"
    PASSED_ON = "passed_on"
    EARLY = "early"


SERVER_FAULT_RESULTS = {  # all other reasons are no fault of the server
    EndReason.SERVER_RESET: Result.RESET,
    EndReason.SILENT: Result.TIMEOUT,
}


class Session:
    """One client's request and its connection. Times are Unix time in milliseconds."""

    def __init__(self, listener: Listener, client: LineSocket) -> None:
        self._listener = listener
        self._counters = listener.counters
        self._clock: Callable[[], float] = listener.clock
        self.client = client
        self.server: LineSocket | None = None
        self.id = self._class_name = ""
        self._tenant = ""
        self.request: Request | None = None
        self.current_server = ""  # the server of the current attempt
        self.established = False
        self.established_at = 0.0
        self._client_active_at = self._clock()  # when the client last sent something
        # When the last byte of the first line arrived, and when the client stops waiting for an answer.
        self._arrived_at = self._deadline = 0.0
        # When the lines were sent that wait for an answer.
        self._unanswered_times: deque[float] = deque(maxlen=UNANSWERED_LINES_KEPT)
        self._sending_to_client = self._move_requested = False
        self._handing_over = False  # the tasks stop reading: the connection goes to a successor process
        self._client_reader: asyncio.Task[None] | None = None
        self._server_reader: asyncio.Task[None] | None = None
        self._established_future: asyncio.Future[None] = listener.loop.create_future()
        self._end_reason: asyncio.Future[EndReason] = listener.loop.create_future()
        self._load_lines = LoadLineClassifier(0.0)
        self._last_keyword = b""

    async def run(self) -> None:
        """Serve this client to the end of its connection and release all sockets."""
        reset = False
        try:
            if await self._serve_request():
                reset = await self._relay()
        except LineError as error:
            logger.debug(
                "malformed request, answering ERR: {}: {}",
                error,
                self.client.unread()[:LOGGED_BYTES_MAX].tobytes(),
            )
            self._counters.add("answers.malformed")
            self.client.try_send(ERR)
        except TimeoutError:
            self._counters.add("clients.silent")
            if len(self.client.unread()):
                self.client.try_send(ERR)
            reset = True
        except OSError as error:
            logger.debug("connection to the client lost: {}", error)
            self._counters.add("clients.lost")
            reset = True
        except Exception:
            logger.exception("session failed")
            self._counters.add("errors")
            if self.id and not self._established_future.done():
                self._answer("failed", FAILED)
        finally:
            self._release_sockets(reset)

    async def _serve_request(self) -> bool:
        """Read the client's request and answer it; return whether the connection is established.

        Nothing of the first line is held once this returns, which may be long before the connection ends.
        Raises `LineError` if the request is malformed, `TimeoutError` if it does not come in time."""
        line = await self._read_first_line()
        if line is None:
            return False
        first_line, request = self._take_request(line)
        del line
        # `at` names the server of a connection that was open before this process started.
        adopting = "at" in first_line.values
        if not adopting:
            request = await self._await_admission(request)
        self._client_reader = asyncio.create_task(self._relay_from_client())
        set_up = self._adopt if adopting else self._set_up
        established = await set_up(first_line, request)
        if established:
            self._counters.count_answer(self._class_name, "served")
        return established

    def _take_request(self, line: memoryview) -> tuple[FirstLine, Request]:
        """Parse the first line, which is owed an answer from here on.

        Raises `LineError` if it is malformed or its id is taken."""
        age, round_trip = self.client.receive_timing()
        self._arrived_at = self._clock() - age
        first_line = parse_first_line(line)
        request = read_request(first_line, self._listener.config)
        self._deadline = self._arrived_at + request.budget + ANSWER_MARGIN_MS - round_trip
        if len(self.client.unread()) > len(line):
            raise LineError("client sent more before its answer")
        if not self._listener.ids.reserve(request.id):
            raise LineError("connection id is in use or was used recently")
        self.client.consume(len(line))
        self.id, self.request = request.id, request
        self._class_name, self._tenant = first_line.values["c"], first_line.values.get("t", "")
        self._load_lines = LoadLineClassifier(request.hint or 0.0)
        self._listener.sessions[request.id] = self
        self._counters.add("requests.taken")
        logger.debug("{} taken: key {} {}", first_line.id, first_line.key, first_line.values)
        return first_line, request

    def _release_sockets(self, reset: bool) -> None:
        if self._client_reader is not None:
            self._client_reader.cancel()
        if self.id:
            del self._listener.sessions[self.id]
            self._listener.ids.release(self.id)
        if self.server is not None:
            self._listener.close_socket(self.server, reset)
            self.server = None
        self._listener.close_socket(self.client, reset)

    # Handover from one process of this balancer to its successor.

    def handover_record(self) -> HeldConnection | None:
        """Return what a successor process counts of this connection; None until a server is chosen."""
        from switchhub.handover.messages import HeldConnection

        request = self.request
        if request is None or not self.current_server:
            return None
        load = self._load_lines.load or 0.0
        return HeldConnection(
            self.id,
            self._class_name,
            self._tenant,
            request.key,
            request.group,
            request.hint,
            self.current_server,
            load,
        )

    async def hand_over(self, send: Callable[[PassedConnection, socket.socket, socket.socket], bool]) -> None:
        """Stop reading and send both sockets to the successor process.

        A connection whose pending write is not accepted by its other side cannot be handed over: its client
        is moved instead. `send` returns whether the successor takes the connection."""
        from switchhub.handover.messages import PassedConnection

        if (
            not self.established
            or self._handing_over
            or self._end_reason.done()
            or self._client_reader is None
            or self._server_reader is None
        ):
            return
        self._handing_over = True
        client, server = self.client, cast(LineSocket, self.server)
        readers = self._client_reader, self._server_reader
        for reader, can_be_cancelled in zip(readers, await stop_reading(client, server), strict=True):
            if can_be_cancelled:
                reader.cancel()
        await asyncio.wait(readers, timeout=HANDOVER_WRITE_TIMEOUT_S)
        held = self.handover_record()
        if self._end_reason.done() or held is None:
            return
        if not all(reader.done() for reader in readers):
            return self.move(at_once=True)
        passed = PassedConnection(
            held,
            client.unread().tobytes(),
            server.unread().tobytes(),
            tuple(self._unanswered_times),
            self._client_active_at,
            self._load_lines.expected_load,
            self._last_keyword,
            self._move_requested,
        )
        if not send(passed, client.sock, server.sock):
            return self.move(at_once=True)
        self._end(EndReason.PASSED_ON)  # first: from here on the client must not be told to move
        client.close()
        server.close()

    @classmethod
    def from_predecessor(
        cls,
        listener: Listener,
        passed: PassedConnection,
        client: LineSocket,
        server: LineSocket,
        request: Request,
    ) -> Session:
        """Create the session of a connection that a predecessor process has handed over."""
        session = cls(listener, client)
        session.server, session.request = server, request
        held = passed.held
        session.id, session._class_name, session._tenant, session.current_server = (
            held.id,
            held.class_name,
            held.tenant,
            held.server,
        )
        session._client_active_at, session._last_keyword, session._move_requested = (
            passed.heard,
            passed.last,
            passed.move,
        )
        session._unanswered_times.extend(passed.asked)
        session._load_lines = LoadLineClassifier(passed.usual)
        session._load_lines.load = held.load
        return session

    async def run_resumed(self) -> None:
        """Serve a connection that was handed over, to its end."""
        reset = False
        try:
            self._client_reader = asyncio.create_task(self._relay_from_client())
            reset = await self._relay()
        except Exception:
            logger.exception("session failed")
            self._counters.add("errors")
        finally:
            self._release_sockets(reset)

    async def _read_first_line(self) -> memoryview | None:
        """Return the first line of the connection, after answering `PING`s; None if the client left before.

        Raises `TimeoutError` if it does not arrive in time or the socket is released for other clients, and
        `LineError` if it is malformed."""
        try:
            return await self._await_first_line()
        except TimeoutError:
            # This process may be late: the client's request may have arrived in time and not been read yet. A
            # request must be answered once its last byte has arrived, so it is served all the same.
            self.client.read_available()
            line = self.client.next_line()
            if line is None or line.tobytes() == PING:
                raise
            self._counters.add("clients.heard_late")
            self._client_active_at = self._clock()
            return line

    async def _await_first_line(self) -> memoryview | None:
        pings = 0
        async with self.client.idle_timeout(FIRST_LINE_TIMEOUT_S, ending=False):
            while True:
                line = self.client.next_line()
                if line is None:
                    if not await self.client.read_more():
                        break
                elif line.tobytes() == PING and pings < PINGS_MAX:
                    pings += 1
                    self.client.consume(len(line))
                    self._counters.add("pings")
                    await self.client.send(PONG if self._listener.lifecycle.accepts_new_clients else AWAY)
                else:
                    self._client_active_at = self._clock()
                    return line
        if len(self.client.unread()):
            raise LineError("connection ended within a line")
        return None

    # Set-up.

    async def _await_admission(self, request: Request) -> Request:
        """Wait until the set-up may start if this process has more set-ups to do than it can start at once;
        return the request with its remaining budget.

        Raises `ConnectionResetError` if the client left meanwhile, `LineError` if it sent more."""
        admission, now = self._listener.admission, self._clock()
        wait = self._deadline - self._arrived_at
        decision = admission.decide(now, now - self._arrived_at, wait)
        if decision is AdmissionDecision.WAIT:
            if not await self._listener.wait_for_setup_turn(admission.latest_start(self._arrived_at, wait)):
                decision = AdmissionDecision.REFUSE
            if self.client.peer_closed():
                raise ConnectionResetError("client left while it waited for its set-up")
            if self.client.has_unread():  # also true of a client that sent more and left
                raise LineError("client sent more before its answer")
            now = self._clock()
        late = decision is AdmissionDecision.REFUSE
        if late:
            self._counters.add("requests.late")
        return request._replace(budget=self._deadline - ANSWER_MARGIN_MS - now, late=late)

    async def _set_up(self, first_line: FirstLine, request: Request) -> bool:
        """Attempt the servers that the decision module picks; return whether the connection is established.

        If not, the request has been answered or its client has left."""
        facade, health, setup_started = self._listener.facade, self._listener.health, self._clock()
        while True:
            pick = facade.pick(self._clock(), request)
            if not isinstance(pick, Send):
                return self._answer(*final_answer(pick))
            started = self._clock()
            attempt = asyncio.create_task(self._attempt(first_line, pick, started))
            await asyncio.wait((attempt, self._end_reason), return_when=asyncio.FIRST_COMPLETED)
            if not attempt.done():
                attempt.cancel()
                await asyncio.wait((attempt,))
            result = Result.CANCELLED if attempt.cancelled() else attempt.result()
            if self._is_abandoned():
                facade.report(self._clock(), Left(request.id))
                self._report_closed(started, Result.CANCELLED if result is Result.OK else result)
                return self._answer_abandoned()
            now = self._clock()
            elapsed = now - started
            logger.debug("{} at {}: {} in {:.0f} ms", self.id, pick.server, result.value, elapsed)
            self._counters.add(f"attempts.{result.value}")
            if result is Result.OK and now <= self._deadline - UP_MARGIN_MS:
                self._listener.admission.record_setup(now - setup_started)
                health.record_answer(pick.server, now)
                facade.report(now, Up(request.id, elapsed))
                return True
            if result is Result.OK:  # too late: the client has given up and gets no server
                self._counters.add("attempts.late")
                result = Result.CANCELLED
            if self.server is not None:
                self.server.close()
                self.server = None
            facade.report(self._clock(), Ended(request.id, elapsed, result, False))

    def _is_abandoned(self) -> bool:
        """Whether the client no longer waits for an answer, or sent more, or this balancer is stopping.

        This is the only check before an attempt may begin or become the established connection. It looks at
        the socket itself: the client may leave in the same iteration of the event loop in which an attempt
        ends, before its reader task has run."""
        if self.client.peer_closed():
            self._end(EndReason.CLIENT)
        elif self.client.has_arrived():  # it may have left as well, behind what it sent
            self._end(EndReason.EARLY)
        return self._end_reason.done()

    def _answer_abandoned(self) -> bool:
        """Finish a request that ended before it was established; answer it unless its client has left."""
        reason = self._end_reason.result()
        if reason is EndReason.STOPPED:
            return self._answer("failed", FAILED)
        if reason is EndReason.EARLY:
            return self._answer("early", ERR)
        self._counters.add("clients.left")
        return False

    def _answer(self, outcome: str, line: bytes) -> bool:
        self._counters.count_answer(self._class_name, outcome)
        if not self.client.try_send(line):
            self._counters.add("answers.undelivered")
        return False

    async def _attempt(self, first_line: FirstLine, pick: Send, started: float) -> Result:
        """Attempt one server; `OK` if its `UP` line is in the server socket's buffer, still unread."""
        loop = asyncio.get_running_loop()
        address = self._listener.discovery.address(pick.server)
        if address is None:
            return Result.NOT_SENT
        latest_end = loop.time() + pick.timeout / 1000
        try:
            server = self.server = self._listener.sockets.open_to_server()
        except OSError as error:  # out of descriptors: no fault of the server
            logger.debug("no socket for an attempt, not sent: {}", error)
            self._counters.add("attempts.no_socket")
            return Result.NOT_SENT
        self._counters.add("attempts")
        self.current_server = pick.server
        try:
            async with asyncio.timeout_at(
                min(latest_end, loop.time() + self._listener.config.dial_timeout / 1000)
            ):
                await loop.sock_connect(server.sock, address)
        except TimeoutError:
            if not server.is_connected():
                return Result.UNREACHABLE
            self._counters.add("attempts.own_delay")  # it is connected: this process noticed late
        except OSError:
            return Result.UNREACHABLE
        overdue = loop.time() >= latest_end or self._clock() - started >= pick.send_within
        if overdue or not self._listener.discovery.is_ready(pick.server) or self._is_abandoned():
            return Result.NOT_SENT
        try:
            async with asyncio.timeout_at(latest_end):
                await self._send_first_line(server, first_line, latest_end)
        except TimeoutError:  # the last byte may have been written just before the time-out
            return Result.TIMEOUT
        except OSError:
            return Result.UNREACHABLE
        self._counters.add("dispatches")
        return await self._read_server_answer(server, latest_end)

    async def _send_first_line(self, server: LineSocket, first_line: FirstLine, latest_end: float) -> None:
        """Send the client's first line; its `d`, if it has one, becomes the time until `latest_end`."""
        remaining_ms = max(1, int((latest_end - asyncio.get_running_loop().time()) * 1000))
        wait = str(remaining_ms).encode() if first_line.text_after_wait else b""
        await server.send_parts([first_line.text_before_wait, wait, first_line.text_after_wait])

    async def _read_server_answer(self, server: LineSocket, latest_end: float) -> Result:
        """Read the server's answer to the first line."""
        try:
            async with asyncio.timeout_at(latest_end):
                while (line := server.next_line()) is None:
                    if not await server.read_more():
                        return Result.RESET
        except TimeoutError:
            server.read_available()  # an answer that came in time may be unread if this process was late
            if (late_line := server.next_line()) is None:
                return Result.TIMEOUT
            self._counters.add("attempts.own_delay")
            line = late_line
        except OSError:
            return Result.RESET
        except LineError:
            return Result.ERROR
        if line[-2:].tobytes() != b"\r\n":
            return Result.ERROR
        if line[:3].tobytes() == b"UP ":
            return Result.OK
        first_word = line.tobytes().split()[:1]
        if first_word == [b"BUSY"]:  # proves that the request never ran, unless more data follows
            return Result.FULL if len(line) == len(server.unread()) else Result.ERROR
        if first_word == [b"MOVE"]:
            return Result.CANCELLED
        return Result.ERROR

    async def _adopt(self, first_line: FirstLine, request: Request) -> bool:
        """Establish a connection again that was open before this process started, at its own server.

        Returns whether it is established; if not, the request has been answered."""
        server = first_line.values["at"]
        loop = asyncio.get_running_loop()
        latest_end = loop.time() + ADOPTION_TIMEOUT_S
        started = self._clock()
        self._counters.add("requests.adopted")
        self.current_server = server
        self._listener.facade.report(started, Adopted(request, server))
        while not self._end_reason.done():
            attempt = asyncio.create_task(self._adopt_once(first_line, server, latest_end))
            await asyncio.wait((attempt, self._end_reason), return_when=asyncio.FIRST_COMPLETED)
            if not attempt.done():  # the client has left, or this balancer stops
                attempt.cancel()
                await asyncio.wait((attempt,))
                break
            result = attempt.result()
            if result is Result.OK:
                self._listener.health.record_answer(server, self._clock())
                return True
            if self.server is not None:
                self.server.close()
                self.server = None
            if result not in (Result.UNREACHABLE, Result.FULL) or loop.time() + ADOPTION_RETRY_S > latest_end:
                break
            await asyncio.sleep(ADOPTION_RETRY_S)
        self._report_closed(started, Result.CANCELLED)
        return self._answer("failed", FAILED)

    async def _adopt_once(self, first_line: FirstLine, server: str, latest_end: float) -> Result:
        loop = asyncio.get_running_loop()
        address = self._listener.discovery.address(server)
        if address is None:
            return Result.NOT_SENT
        try:
            line_socket = self.server = self._listener.sockets.open_to_server()
            async with asyncio.timeout_at(latest_end):
                await loop.sock_connect(line_socket.sock, address)
            if self._is_abandoned():
                return Result.NOT_SENT
            await self._send_first_line(line_socket, first_line, latest_end)
        except (OSError, TimeoutError):
            return Result.UNREACHABLE
        self._counters.add("dispatches")
        return await self._read_server_answer(line_socket, latest_end)

    # The established connection.

    async def _relay(self) -> bool:
        """Relay lines until one side ends; return whether that was a connection reset."""
        self.established, self.established_at = True, self._clock()
        self._established_future.set_result(None)
        self._server_reader = asyncio.create_task(self._relay_from_server())
        if self._move_requested:
            self.move()
        try:
            reason = await self._end_reason
        finally:
            self._server_reader.cancel()
            self.established = False
            self._report_closed(self.established_at, self._closing_result())
        self._counters.add(f"ends.{reason.value}")
        logger.debug(
            "{} at {}: connection ended by {} (last word from server {})",
            self.id,
            self.current_server,
            reason.value,
            self._last_keyword,
        )
        return reason in (EndReason.CLIENT_RESET, EndReason.SERVER_RESET)

    def _closing_result(self) -> Result:
        if not self._end_reason.done() or self._end_reason.cancelled():
            return Result.CANCELLED
        reason = self._end_reason.result()
        if reason is EndReason.SERVER:
            return LAST_KEYWORD_RESULTS.get(self._last_keyword, Result.RESET)
        return SERVER_FAULT_RESULTS.get(reason, Result.CANCELLED)

    def _report_closed(self, started: float, result: Result) -> None:
        now = self._clock()
        self._listener.facade.report(now, Ended(self.id, now - started, result, True))

    def _end(self, reason: EndReason) -> None:
        if not self._end_reason.done():
            self._end_reason.set_result(reason)

    def _end_after_defect(self, reason: EndReason) -> None:
        """End the connection after a programming error, so that it does not hang; the error is logged."""
        logger.exception("session failed")
        self._counters.add("errors")
        self._end(reason)

    async def _relay_from_client(self) -> None:
        """Relay from client to server.

        Before `UP` it only notices that the client left or sent more without waiting for its answer."""
        client = self.client
        try:
            while True:
                if self._handing_over:
                    return
                if not await client.read_more():
                    break
                if not self._established_future.done():
                    return self._end(EndReason.EARLY)
                self._client_active_at = self._clock()
                lines = client.whole_lines()
                if len(lines):
                    self._unanswered_times.append(self._client_active_at)
                    await self._to_server(lines)
                    client.consume(len(lines))
            if len(client.unread()) and self.established:
                await self._to_server(client.unread())
            self._end(EndReason.CLIENT)
        except LineError:
            self._end(EndReason.CLIENT)
        except OSError:
            self._end(EndReason.CLIENT_RESET)
        except Exception:
            self._end_after_defect(EndReason.CLIENT)

    async def _to_server(self, data: memoryview) -> None:
        if self.server is None:
            return
        try:
            self._counters.add("lines.up", data.tobytes().count(b"\n"))
            logger.trace("{} at {}: client says {}", self.id, self.current_server, data.tobytes())
            await self.server.send(data)
        except OSError:  # `_relay_from_server` learns how the connection ended and reports it first
            await asyncio.sleep(CLOSE_TIMEOUT_S)
            self._end(EndReason.SERVER_RESET)

    async def _relay_from_server(self) -> None:
        """Relay whole lines from server to client, so that `MOVE` can be sent between any two writes."""
        server = self.server
        assert server is not None
        try:
            while True:
                lines = server.whole_lines()
                if len(lines):
                    self._observe_lines(lines)
                    await self._to_client(lines)
                    server.consume(len(lines))
                if self._handing_over:
                    return
                if not await server.read_more():
                    if len(server.unread()):
                        await self._to_client(server.unread())
                    return self._end(EndReason.SERVER)
        except LineError:
            logger.warning("{}: line from server is too long, closing the connection", self.id)
            self._end(EndReason.SERVER_RESET)
        except OSError:
            self._end(EndReason.SERVER_RESET)
        except Exception:
            self._end_after_defect(EndReason.SERVER)

    async def _to_client(self, data: memoryview) -> None:
        self._sending_to_client = True
        try:
            await self.client.send(data)
        except OSError:
            return self._end(EndReason.CLIENT_RESET)
        finally:
            self._sending_to_client = False
        if self._move_requested:
            self.move()

    def _observe_lines(self, lines: memoryview) -> None:
        """Read loads and message delays from lines that pass to the client."""
        now = self._clock()
        for line in lines.tobytes().split(b"\r\n"):
            word, _, rest = line.partition(b" ")
            if not word:
                continue
            self._counters.add("lines.down")
            self._last_keyword = word
            if word != b"M":
                logger.trace("{} at {}: says {}", self.id, self.current_server, line)
            if word == b"LOAD":
                with contextlib.suppress(ValueError):
                    load = float(rest)
                    if 0 <= load < 1e15:
                        self._observe_load(now, load)
            elif word not in (b"UP", b"BYE", b"MOVE") and self._unanswered_times:
                delay = now - self._unanswered_times.popleft()
                self._listener.health.record_answer(self.current_server, now)
                logger.trace("{} at {}: {:.1f} ms {}", self.id, self.current_server, delay, line)
                if not self._listener.health.reports_delay(self.current_server, now):
                    self._listener.facade.report(now, Delay(self.id, delay))

    def _observe_load(self, now: float, value: float) -> None:
        """Handle a `LOAD` line, which holds either the connection's load or its server's delay."""
        health, facade, previous_load = self._listener.health, self._listener.facade, self._load_lines.load
        config = self._listener.config
        if not config.servers_report_load:
            is_delay = config.servers_report_delay
        else:
            delay_due = health.starts_delay_series(
                self.current_server, now, value, self._load_lines.expected_load
            ) or health.is_delay_due(self.current_server, now)
            max_delay = health.max_delay(self.current_server, now)
            is_delay = config.servers_report_delay and self._load_lines.is_delay(
                value, now, delay_due, max_delay
            )
        if is_delay:
            self._counters.add("delays.told")
            health.record_delay(self.current_server, now, value)
            facade.report(now, Delay(self.id, value))
        elif not config.servers_report_delay:
            self._load_lines.load = value
        if self._load_lines.load != previous_load:
            facade.report(now, Load(self.id, self._load_lines.load))

    def move(self, at_once: bool = False) -> None:
        """Tell the client to reconnect, between two lines, and end both sides.

        With `at_once`, a pending write is not waited for: a client that never reads would keep its connection
        past the end of any drain."""
        if not self.established or self._end_reason.done():
            return
        if at_once and self._sending_to_client:
            return self._end(EndReason.MOVED)
        if self._sending_to_client:
            self._move_requested = True
        else:
            self.client.try_send(MOVE)
            self._end(EndReason.MOVED)

    def end_for_stop(self) -> None:
        """End this session because the balancer stops: its client is moved, or its open request answered
        `FAILED`."""
        if self.established:
            self.move(at_once=True)
        self._end(EndReason.STOPPED)

    def longest_wait(self, now: float) -> float:
        """Return how long the oldest unanswered line has waited, in milliseconds; 0 if there is none.

        While the client does not read, this is 0 too: the server may have answered."""
        return (
            now - self._unanswered_times[0]
            if self.established and self._unanswered_times and not self._sending_to_client
            else 0.0
        )

    def check_silence(self, now: float, server_silent: bool) -> None:
        """End the connection if either side has been silent for too long; called several times a second."""
        if not self.established or self._end_reason.done():
            return
        if self.longest_wait(now) > (SILENT_SERVER_TIMEOUT_MS if server_silent else SILENCE_TIMEOUT_MS):
            self.client.try_send(MOVE)
            self._end(EndReason.SILENT)
        elif now - self._client_active_at > CLIENT_IDLE_TIMEOUT_MS:
            self._end(EndReason.CLIENT)
