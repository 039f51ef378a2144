"""One client's connection, from its first line to its end.

Owns: the client's socket, the server's socket of the present attempt, and the tasks that read them; `run`
gives all of them back, whatever happens. Must never: choose a server or an answer (the module does), answer
twice, leave a request unanswered, send to a server that has begun to drain, or change a byte after `UP`.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, cast

from loguru import logger

from switchhub.admission.controller import AdmissionDecision
from switchhub.decision.facade import Adopted, Delay, Ended, Left, Load, Pick, Refused, Send, Up
from switchhub.decision.interface import Request, Result
from switchhub.net.config import Config
from switchhub.net.health import LoadLines
from switchhub.net.line_socket import Head, LineError, LineSocket, parked, parse_head

if TYPE_CHECKING:
    from switchhub.handover.messages import HeldConnection, PassedConnection
    from switchhub.net.listener import Listener

ANSWER_MARGIN_MS = (
    25.0  # milliseconds before the client's deadline at which its answer is ready at the latest
)
LAST = (
    10.0  # milliseconds before it from which `UP` would come too late: the kernel counts ages in steps of 4
)
HEAD_WITHIN = 2.0  # seconds from its connecting in which a client's first line must be whole
PINGS_MAX = 8  # that may come before it
FINISH_WITHIN = 1.0  # seconds that an ended connection's other side has to end too
# Milliseconds without an answer to a line after which a connection counts as silent. Danger: it has 7 s from
# its last answer, and the next line, the first to miss one, comes up to 2 s after that; 1 s is to spare.
SILENCE_TIMEOUT_MS = 7000.0 - 2000.0 - 1000.0
SILENT_SERVER_TIMEOUT_MS = 250.0  # the same, while its server is silent to all
VANISHED_AFTER = 60_000.0  # milliseconds without a line after which a client counts as vanished
ADOPT_WITHIN, ADOPT_RETRY = 38.0, 0.5  # seconds for a connection of before the start to stand again
WAIT_MAX, HINT_MAX = 1e7, 1e12  # a `d` or an `h` that no client can mean
SHOWN = 100  # bytes of a malformed line that the log shows
PART_WITHIN = 0.8  # seconds that what is being written has before a connection is moved, not passed on
MESSAGES_KEPT = 16  # unanswered lines whose times are kept
PARTING = {b"BYE": Result.OK, b"MOVE": Result.CANCELLED}  # a server's last words
_FIGURE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
_FLAGS = {"0": False, "1": True}
FAILED = b"FAILED\r\n"
ERR = b"ERR\r\n"  # to what is no request
MOVE = b"MOVE\r\n"
PING, PONG, AWAY = b"PING\r\n", b"PONG\r\n", b"AWAY\r\n"  # whether new clients may be sent here


class End(Enum):
    """How a standing connection ended."""

    CLIENT = "client"
    CLIENT_RESET = "client_reset"
    SERVER = "server"
    SERVER_RESET = "server_reset"
    SILENT = "silent"
    MOVED = "moved"
    STOPPED = "stopped"
    PASSED_ON = "passed_on"
    EARLY = "early"


def _figure(text: str, most: float) -> float:
    """A plain decimal figure; `float` alone would also take `1_0`, ` 1`, `1e3`, `-1` and `nan`."""
    if not _FIGURE.fullmatch(text) or float(text) > most:
        raise ValueError(f"not a figure: {text[:20]!r}")
    return float(text)


def read_request(head: Head, config: Config) -> Request:
    """The request of a first line; `LineError` where it names what the settings do not."""
    values = head.values
    try:
        tenant = config.tenants[values["t"]] if config.tenants else 0
        index = config.classes[values["c"]]
        wait = _figure(values["d"], WAIT_MAX)
        hint = _figure(values["h"], HINT_MAX) if "h" in values else None
        again, _ = _FLAGS[values.get("again", "0")], _FLAGS[values.get("r", "0")]
    except (KeyError, ValueError) as error:
        raise LineError(f"{type(error).__name__}: {error}") from None
    return Request(head.id, index, wait - ANSWER_MARGIN_MS, tenant, hint, head.key, values.get("g"), again)


def final_answer(pick: Pick) -> tuple[str, bytes]:
    """A pick that is no server: what it is counted as, and the line."""
    if not isinstance(pick, Refused):
        return "failed", FAILED
    wait = f" {pick.retry_after:.0f}" if pick.retry_after else ""
    return "refused", f"BUSY{wait}\r\n".encode()


ENDED = {End.SERVER_RESET: Result.RESET, End.SILENT: Result.TIMEOUT}  # others are no fault of the server


class Session:
    """One client."""

    def __init__(self, listener: Listener, client: LineSocket) -> None:
        self._node = listener
        self._counters = listener.counters
        self._clock: Callable[[], float] = listener.clock
        self.client = client
        self.server: LineSocket | None = None
        self.id = self._class = ""
        self._tenant = ""
        self.request: Request | None = None
        self.current_server = ""  # the server of the present attempt
        self.established = False
        self.up_at = 0.0
        self._heard = self._clock()  # when the client last sent something
        self._arrived = self._deadline = 0.0  # when its first line's last byte came, when it gives up
        self._asked: deque[float] = deque(maxlen=MESSAGES_KEPT)  # when lines went that wait for an answer
        self._sending = self._move_asked = False
        self._parting = False  # its tasks stop reading: it is passed on to a new process
        self._reader: asyncio.Task[None] | None = None
        self._down: asyncio.Task[None] | None = None
        self._stands: asyncio.Future[None] = listener.loop.create_future()
        self._done: asyncio.Future[End] = listener.loop.create_future()
        self._loads = LoadLines(0.0)
        self._last = b""

    async def run(self) -> None:
        """Serve this client to its end; everything is given back here."""
        reset = False
        try:
            line = await self._first_line()
            if line is None:
                return
            age, trip = self.client.receive_timing()
            self._arrived = self._clock() - age
            head = parse_head(line)
            request = read_request(head, self._node.config)
            self._deadline = self._arrived + request.budget + ANSWER_MARGIN_MS - trip
            if len(self.client.rest()) > len(line):
                raise LineError("a client waits for its answer")
            if not self._node.ids.reserve(request.id):
                raise LineError("this id is taken")
            self.client.take(len(line))
            self.id, self._class, self._tenant = request.id, head.values["c"], head.values.get("t", "")
            self.request = request
            self._loads = LoadLines(request.hint or 0.0)
            self._node.sessions[request.id] = self
            self._counters.add("requests.taken")
            logger.debug("{} taken: key {} {}", head.id, head.key, head.values)
            if "at" not in head.values:
                request = await self._admitted(request)
            self._reader = asyncio.create_task(self._from_client())
            setting_up = self._adopt if "at" in head.values else self._set_up
            if await setting_up(head, request):
                self._counters.count_answer(self._class, "served")
                reset = await self._relay()
        except LineError as error:
            logger.debug("malformed: {}: {}", error, self.client.rest()[:SHOWN].tobytes())
            self._counters.add("answers.malformed")
            self.client.say(ERR)
        except TimeoutError:
            self._counters.add("clients.silent")
            if len(self.client.rest()):
                self.client.say(ERR)
            reset = True
        except OSError as error:
            logger.debug("client lost: {}", error)
            self._counters.add("clients.lost")
            reset = True
        except Exception:
            logger.exception("a session broke")
            self._counters.add("errors")
            if self.id and not self._stands.done():
                self._answer("failed", FAILED)
        finally:
            self._give_back(reset)

    def _give_back(self, reset: bool) -> None:
        if self._reader is not None:
            self._reader.cancel()
        if self.id:
            del self._node.sessions[self.id]
            self._node.ids.release(self.id)
        if self.server is not None:
            self._node.give_back(self.server, reset)
            self.server = None
        self._node.give_back(self.client, reset)

    # From one process of this balancer to the next.

    def handover_record(self) -> HeldConnection | None:
        """What a new process counts of it; nothing before a server is chosen."""
        from switchhub.handover.messages import HeldConnection

        request = self.request
        if request is None or not self.current_server:
            return None
        load = self._loads.load or 0.0
        return HeldConnection(
            self.id,
            self._class,
            self._tenant,
            request.key,
            request.group,
            request.hint,
            self.current_server,
            load,
        )

    async def hand_over(self, send: Callable[[PassedConnection, socket.socket, socket.socket], bool]) -> None:
        """Stop reading and send both sides to the new process. What is being written to a side that does not
        take it can't be parted with: its client is moved."""
        from switchhub.handover.messages import PassedConnection

        if (
            not self.established
            or self._parting
            or self._done.done()
            or self._reader is None
            or self._down is None
        ):
            return
        self._parting = True
        client, server = self.client, cast(LineSocket, self.server)
        for wire, task in ((client, self._reader), (server, self._down)):
            if await parked(wire):
                task.cancel()
        await asyncio.wait((self._reader, self._down), timeout=PART_WITHIN)
        held = self.handover_record()
        if self._done.done() or held is None:
            return
        if not (self._reader.done() and self._down.done()):
            return self.move(at_once=True)
        passed = PassedConnection(
            held,
            client.rest().tobytes(),
            server.rest().tobytes(),
            tuple(self._asked),
            self._heard,
            self._loads.usual,
            self._last,
            self._move_asked,
        )
        if not send(passed, client.sock, server.sock):
            return self.move(at_once=True)
        client.close()
        server.close()
        self._finish(End.PASSED_ON)

    @classmethod
    def from_predecessor(
        cls,
        listener: Listener,
        passed: PassedConnection,
        client: LineSocket,
        server: LineSocket,
        request: Request,
    ) -> Session:
        """A connection that a former process of this balancer held."""
        session = cls(listener, client)
        session.server, session.request = server, request
        held = passed.held
        session.id, session._class, session._tenant, session.current_server = (
            held.id,
            held.class_name,
            held.tenant,
            held.server,
        )
        session._heard, session._last, session._move_asked = passed.heard, passed.last, passed.move
        session._asked.extend(passed.asked)
        session._loads = LoadLines(passed.usual)
        session._loads.load = held.load
        return session

    async def go_on(self) -> None:
        """Serve a connection that was passed on, to its end."""
        reset = False
        try:
            self._reader = asyncio.create_task(self._from_client())
            reset = await self._relay()
        except Exception:
            logger.exception("a session broke")
            self._counters.add("errors")
        finally:
            self._give_back(reset)

    async def _first_line(self) -> memoryview | None:
        """The line that begins the connection; `PING`s before it are answered. Nothing if none came.

        `TimeoutError` if it does not come in time, or the client is given up for others."""
        try:
            return await self._next_first_line()
        except TimeoutError:
            # Danger: where this process is late, who is given up as silent has spoken, unread; a request
            # counts as taken from its last byte on.
            self.client.read_available()
            line = self.client.line()
            if line is None or line.tobytes() == PING:
                raise
            self._counters.add("clients.heard_late")
            self._heard = self._clock()
            return line

    async def _next_first_line(self) -> memoryview | None:
        pings = 0
        async with self.client.loose(HEAD_WITHIN, ending=False):
            while True:
                line = self.client.line()
                if line is None:
                    if not await self.client.fill():
                        break
                elif line.tobytes() == PING and pings < PINGS_MAX:
                    pings += 1
                    self.client.take(len(line))
                    self._counters.add("pings")
                    await self.client.send(PONG if self._node.lifecycle.accepts_new_clients else AWAY)
                else:
                    self._heard = self._clock()
                    return line
        if len(self.client.rest()):
            raise LineError("half a line")
        return None

    # Setting up.

    async def _admitted(self, request: Request) -> Request:
        """Wait for its turn, if this process is behind; the request with what is left of its time."""
        gate, now = self._node.gate, self._clock()
        wait = self._deadline - self._arrived
        verdict = gate.decide(now, now - self._arrived, wait)
        if verdict is AdmissionDecision.WAIT:
            if not await self._node.turn(gate.latest_start(self._arrived, wait)):
                verdict = AdmissionDecision.REFUSE
            if self.client.gone():
                raise ConnectionResetError("the client has left while it waited for its turn")
            if self.client.spoke():  # also one that spoke and left
                raise LineError("a client waits for its answer")
            now = self._clock()
        late = verdict is AdmissionDecision.REFUSE
        if late:
            self._counters.add("requests.late")
        return request._replace(budget=self._deadline - ANSWER_MARGIN_MS - now, late=late)

    async def _set_up(self, head: Head, request: Request) -> bool:
        """Try as the module says until the connection stands or the request is answered."""
        facade, health, begun = self._node.facade, self._node.health, self._clock()
        while True:
            pick = facade.pick(self._clock(), request)
            if not isinstance(pick, Send):
                return self._answer(*final_answer(pick))
            started = self._clock()
            attempt = asyncio.create_task(self._attempt(head, pick, started))
            await asyncio.wait((attempt, self._done), return_when=asyncio.FIRST_COMPLETED)
            if not attempt.done():
                attempt.cancel()
                await asyncio.wait((attempt,))
            result = Result.CANCELLED if attempt.cancelled() else attempt.result()
            if self._given_up():
                facade.report(self._clock(), Left(request.id))
                self._over(started, Result.CANCELLED if result is Result.OK else result)
                return self._unserved()
            now = self._clock()
            elapsed = now - started
            logger.debug("{} at {}: {} in {:.0f} ms", self.id, pick.server, result.value, elapsed)
            self._counters.add(f"attempts.{result.value}")
            if result is Result.OK and now <= self._deadline - LAST:
                self._node.gate.record_setup(now - begun)
                health.record_answer(pick.server, now)
                facade.report(now, Up(request.id, elapsed))
                return True
            if result is Result.OK:  # its client has given up: it gets no server
                self._counters.add("attempts.late")
                result = Result.CANCELLED
            if self.server is not None:
                self.server.close()
                self.server = None
            facade.report(self._clock(), Ended(request.id, elapsed, result, False))

    def _given_up(self) -> bool:
        """Whether nobody waits for an answer any more, or this balancer stops: the one place that says if an
        attempt may begin, or come to stand.

        Danger: the client leaves in the very turn of the loop in which an attempt ends or comes up, and its
        reader has not run yet."""
        if self.client.gone():
            self._finish(End.CLIENT)
        return self._done.done()

    def _unserved(self) -> bool:
        """The end of a request that was given up before it stood: its client's doing, or this balancer's."""
        end = self._done.result()
        if end is End.STOPPED:
            return self._answer("failed", FAILED)
        if end is End.EARLY:
            return self._answer("early", ERR)
        self._counters.add("clients.left")
        return False

    def _answer(self, kind: str, line: bytes) -> bool:
        self._counters.count_answer(self._class, kind)
        if not self.client.say(line):
            self._counters.add("answers.undelivered")
        return False

    async def _attempt(self, head: Head, pick: Send, started: float) -> Result:
        """One attempt at one server; `OK` when its `UP` lies unread in the server's buffer."""
        loop = asyncio.get_running_loop()
        address = self._node.discovery.address(pick.server)
        if address is None:
            return Result.NOT_SENT
        ends = loop.time() + pick.timeout / 1000
        try:
            server = self.server = self._node.sockets.to_server()
        except OSError as error:  # out of descriptors: this says nothing of the server
            logger.debug("no socket for an attempt: {}", error)
            self._counters.add("attempts.no_socket")
            return Result.NOT_SENT
        self._counters.add("attempts")
        self.current_server = pick.server
        try:
            async with asyncio.timeout_at(min(ends, loop.time() + self._node.config.dial_timeout / 1000)):
                await loop.sock_connect(server.sock, address)
        except TimeoutError:
            if not server.connected():
                return Result.UNREACHABLE
            self._counters.add("attempts.own_delay")  # it stands: this process was late to see it
        except OSError:
            return Result.UNREACHABLE
        overdue = loop.time() >= ends or self._clock() - started >= pick.send_within
        if overdue or not self._node.discovery.ready(pick.server) or self._given_up():
            return Result.NOT_SENT
        left = max(1, int((ends - loop.time()) * 1000))
        try:
            async with asyncio.timeout_at(ends):
                await server.send_parts([head.before, str(left).encode() if head.after else b"", head.after])
        except TimeoutError:  # Danger: it may end the wait for the last byte just after that was written
            return Result.TIMEOUT
        except OSError:
            return Result.UNREACHABLE
        self._counters.add("dispatches")
        return await self._verdict(server, ends)

    async def _verdict(self, server: LineSocket, ends: float) -> Result:
        """What the server says to the first line."""
        try:
            async with asyncio.timeout_at(ends):
                while (line := server.line()) is None:
                    if not await server.fill():
                        return Result.RESET
        except TimeoutError:
            server.read_available()  # what came in time may lie unread, if this process was late
            if (late := server.line()) is None:
                return Result.TIMEOUT
            self._counters.add("attempts.own_delay")
            line = late
        except OSError:
            return Result.RESET
        except LineError:
            return Result.ERROR
        if line[-2:].tobytes() != b"\r\n":
            return Result.ERROR
        if line[:3].tobytes() == b"UP ":
            return Result.OK
        word = line.tobytes().split()[:1]
        if word == [b"BUSY"]:  # Danger: with more behind it, it is no proof that nothing has run
            return Result.FULL if len(line) == len(server.rest()) else Result.ERROR
        if word == [b"MOVE"]:
            return Result.CANCELLED
        return Result.ERROR

    async def _adopt(self, head: Head, request: Request) -> bool:
        """Take up again, at its own server, a connection that stood before the start."""
        server = head.values["at"]
        loop = asyncio.get_running_loop()
        ends = loop.time() + ADOPT_WITHIN
        started = self._clock()
        self._counters.add("requests.adopted")
        self.current_server = server
        self._node.facade.report(started, Adopted(request, server))
        while not self._done.done():
            attempt = asyncio.create_task(self._adopt_once(head, server, ends))
            await asyncio.wait((attempt, self._done), return_when=asyncio.FIRST_COMPLETED)
            if not attempt.done():  # the client has left, or this balancer stops
                attempt.cancel()
                await asyncio.wait((attempt,))
                break
            result = attempt.result()
            if result is Result.OK:
                self._node.health.record_answer(server, self._clock())
                return True
            if self.server is not None:
                self.server.close()
                self.server = None
            if result not in (Result.UNREACHABLE, Result.FULL) or loop.time() + ADOPT_RETRY > ends:
                break
            await asyncio.sleep(ADOPT_RETRY)
        self._over(started, Result.CANCELLED)
        return self._answer("failed", FAILED)

    async def _adopt_once(self, head: Head, server: str, ends: float) -> Result:
        loop = asyncio.get_running_loop()
        address = self._node.discovery.address(server)
        if address is None:
            return Result.NOT_SENT
        try:
            wire = self.server = self._node.sockets.to_server()
            async with asyncio.timeout_at(ends):
                await loop.sock_connect(wire.sock, address)
            left = max(1, int((ends - loop.time()) * 1000))
            await wire.send_parts([head.before, str(left).encode() if head.after else b"", head.after])
        except (OSError, TimeoutError):
            return Result.UNREACHABLE
        self._counters.add("dispatches")
        return await self._verdict(wire, ends)

    # The standing connection.

    async def _relay(self) -> bool:
        """Pass lines on until one side ends; whether that was a reset."""
        self.established, self.up_at = True, self._clock()
        self._stands.set_result(None)
        self._down = asyncio.create_task(self._from_server())
        if self._move_asked:
            self.move()
        try:
            end = await self._done
        finally:
            self._down.cancel()
            self.established = False
            self._over(self.up_at, self._result())
        self._counters.add(f"ends.{end.value}")
        logger.debug("{} at {}: ended by {} ({})", self.id, self.current_server, end.value, self._last)
        return end in (End.CLIENT_RESET, End.SERVER_RESET)

    def _result(self) -> Result:
        if not self._done.done() or self._done.cancelled():
            return Result.CANCELLED
        end = self._done.result()
        if end is End.SERVER:
            return PARTING.get(self._last, Result.RESET)
        return ENDED.get(end, Result.CANCELLED)

    def _over(self, started: float, result: Result) -> None:
        now = self._clock()
        self._node.facade.report(now, Ended(self.id, now - started, result, True))

    def _finish(self, end: End) -> None:
        if not self._done.done():
            self._done.set_result(end)

    def _broken(self, end: End) -> None:
        """A defect of ours: the log has it, and the connection ends instead of hanging."""
        logger.exception("a session broke")
        self._counters.add("errors")
        self._finish(end)

    async def _from_client(self) -> None:
        """Client to server. Before `UP` it only notices that the client has left, or does not wait."""
        client = self.client
        try:
            while True:
                if self._parting:
                    return
                if not await client.fill():
                    break
                if not self._stands.done():
                    return self._finish(End.EARLY)
                self._heard = self._clock()
                lines = client.lines()
                if len(lines):
                    self._asked.append(self._heard)
                    await self._to_server(lines)
                    client.take(len(lines))
            if len(client.rest()) and self.established:
                await self._to_server(client.rest())
            self._finish(End.CLIENT)
        except LineError:
            self._finish(End.CLIENT)
        except OSError:
            self._finish(End.CLIENT_RESET)
        except Exception:
            self._broken(End.CLIENT)

    async def _to_server(self, data: memoryview) -> None:
        if self.server is None:
            return
        try:
            self._counters.add("lines.up", data.tobytes().count(b"\n"))
            logger.trace("{} at {}: client says {}", self.id, self.current_server, data.tobytes())
            await self.server.send(data)
        except OSError:  # the reader of that side learns how it ended
            await asyncio.sleep(FINISH_WITHIN)
            self._finish(End.SERVER_RESET)

    async def _from_server(self) -> None:
        """Server to client, whole lines only, so that `MOVE` may go between any two writes."""
        server = self.server
        assert server is not None
        try:
            while True:
                lines = server.lines()
                if len(lines):
                    self._read_news(lines)
                    await self._to_client(lines)
                    server.take(len(lines))
                if self._parting:
                    return
                if not await server.fill():
                    if len(server.rest()):
                        await self._to_client(server.rest())
                    return self._finish(End.SERVER)
        except LineError:
            logger.warning("{}: a server's line is too long", self.id)
            self._finish(End.SERVER_RESET)
        except OSError:
            self._finish(End.SERVER_RESET)
        except Exception:
            self._broken(End.SERVER)

    async def _to_client(self, data: memoryview) -> None:
        self._sending = True
        try:
            await self.client.send(data)
        except OSError:
            return self._finish(End.CLIENT_RESET)
        finally:
            self._sending = False
        if self._move_asked:
            self.move()

    def _read_news(self, lines: memoryview) -> None:
        """What the passing lines tell: loads, and how long a message takes."""
        now = self._clock()
        for line in lines.tobytes().split(b"\r\n"):
            word, _, rest = line.partition(b" ")
            if not word:
                continue
            self._counters.add("lines.down")
            self._last = word
            if word != b"M":
                logger.trace("{} at {}: says {}", self.id, self.current_server, line)
            if word == b"LOAD":
                with contextlib.suppress(ValueError):
                    load = float(rest)
                    if 0 <= load < 1e15:
                        self._read_load(now, load)
            elif word not in (b"UP", b"BYE", b"MOVE") and self._asked:
                delay = now - self._asked.popleft()
                self._node.health.record_answer(self.current_server, now)
                logger.trace("{} at {}: {:.1f} ms {}", self.id, self.current_server, delay, line)
                if not self._node.health.tells(self.current_server, now):
                    self._node.facade.report(now, Delay(self.id, delay))

    def _read_load(self, now: float, value: float) -> None:
        """A `LOAD` line: the connection's load, or its server's delay."""
        health, facade, known = self._node.health, self._node.facade, self._loads.load
        config = self._node.config
        if not config.tells_load:
            delay = config.tells_delay
        else:
            due = health.begins(self.current_server, now, value, self._loads.usual) or health.due(
                self.current_server, now
            )
            most = health.most(self.current_server, now)
            delay = config.tells_delay and self._loads.is_delay(value, now, due, most)
        if delay:
            self._counters.add("delays.told")
            health.told(self.current_server, now, value)
            facade.report(now, Delay(self.id, value))
        elif not config.tells_delay:
            self._loads.load = value
        if self._loads.load != known:
            facade.report(now, Load(self.id, self._loads.load))

    def move(self, at_once: bool = False) -> None:
        """Tell the client to come again, between two lines, and end both sides.

        Danger: a client that never reads would hold its connection past any drain; `at_once` waits not."""
        if not self.established or self._done.done():
            return
        if at_once and self._sending:
            return self._finish(End.MOVED)
        if self._sending:
            self._move_asked = True
        else:
            self.client.say(MOVE)
            self._finish(End.MOVED)

    def give_up(self) -> None:
        """The balancer ends now: what is not answered yet gets its answer."""
        self._finish(End.STOPPED)

    def waits(self, now: float) -> float:
        """For how long a line has waited for its answer; a client that takes nothing is no silent server."""
        return now - self._asked[0] if self.established and self._asked and not self._sending else 0.0

    def check(self, now: float, server_silent: bool) -> None:
        """Called a few times a second: is either side silent?"""
        if not self.established or self._done.done():
            return
        if self.waits(now) > (SILENT_SERVER_TIMEOUT_MS if server_silent else SILENCE_TIMEOUT_MS):
            self.client.say(MOVE)
            self._finish(End.SILENT)
        elif now - self._heard > VANISHED_AFTER:
            self._finish(End.CLIENT)
