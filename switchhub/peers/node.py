"""This balancer among the others: one UDP socket, connections for whole beliefs, and a thread of its own.

Owns: both sockets at the peers' address, the thread, the clock that the cores are given (CLOCK_BOOTTIME: it
counts on while the machine sleeps, for a lease that is over must be over when it wakes).
Must never: decide who is there (`membership.swim` does), take what does not decode for more than a number, or
keep the balancer from serving: an address that is taken is asked for again, and said.

Danger: in a storm of clients the main loop stands still for longer than an answer may take, so this runs in a
thread. What other threads want, they read under the lock, which is held for one message or one look.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import uvloop
from loguru import logger

from switchhub.leases.config import LeaseConfig
from switchhub.leases.messages import ProcessIdentity
from switchhub.leases.service import MAX_REPORTED_REMAINING_MS, LeaseService
from switchhub.leases.token_file import TokenFile
from switchhub.lifecycle.phase import Phase
from switchhub.membership.messages import Ack, FullState, IndirectPing, Nack, Ping, State
from switchhub.membership.swim import Change, Membership, Options
from switchhub.net.config import ConfigError, parse_address
from switchhub.operator_file import LeaseSettings, PeerSettings
from switchhub.peers.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_FULL_STATE_BYTES,
    Message,
    RejectedMessageError,
    pack,
    unpack,
)
from switchhub.peers.lease_handle import LeaseHandle

AT_ONCE = 64  # datagrams read before anything else has its turn
LISTENERS, TALKERS = 32, 16  # connections taken in and made at a time
WITHIN = 2.0  # seconds for one connection
AGAIN = 0.1  # seconds until an address that is taken is asked for again
NAME_MOST = 48  # bytes of a name
MEMBERSHIP = (Ping, IndirectPing, Ack, Nack, FullState)
ROUND = 0.5  # seconds that the thread may take to end


def clock() -> float:
    """Seconds, by the cores' clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerNode:
    """The thread, and what it owns."""

    def __init__(self, told: PeerSettings, name: str, leases: LeaseSettings | None = None) -> None:
        if not 0 < len(name.encode()) <= NAME_MOST or "~" in name:
            raise ConfigError(
                f"name={name!r}: expected 1 to {NAME_MOST} bytes without '~' where there are peers"
            )
        self._told, self._name = told, name
        self._listen = parse_address(told.listen)
        period = told.period_ms / 1000
        self._options = Options(
            probe_interval=period,
            probe_timeout=told.timeout_ms / 1000,
            suspicion_mult=told.suspicion_ms / told.period_ms,
            reconnect_interval=told.call_ms / 1000,
            full_state_interval=float(told.whole_s),
            retention=float(told.remember_s),
        )
        self._terms, self._tokens = None, None
        if leases is not None:
            self._terms = LeaseConfig(
                tuple(leases.voters),
                leases.length_ms / 1000,
                leases.longest_ms / 1000,
                leases.margin_ms / 1000,
                previous_voters=tuple(leases.before),
                slot_counts=tuple(leases.counted.items()),
            )
            if leases.folder:
                self._tokens = TokenFile(Path(leases.folder), name, self._terms.electorate)
        self._leases: LeaseService | None = None
        self._holds: dict[str, LeaseHandle] = {}  # by parts of this balancer
        self.counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._core: Membership | None = None
        self._wanted = False
        self._udp: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._talks = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._since = 0.0
        self._loop = uvloop.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self._thread.start()

    # From the main thread.

    def on_phase_change(self, phase: Phase) -> None:
        """The process has become this: one that serves is a member; one that gave way is not, and says
        nothing, for its successor is the same member."""
        if phase in (Phase.READY, Phase.DRAINING):
            self._loop.call_soon_threadsafe(self._want, True)
        elif phase is Phase.SUPERSEDED:
            self._loop.call_soon_threadsafe(self._want, False)

    def close(self) -> None:
        """The process ends: the others hear that it leaves, unless it gave way. Again: nothing."""
        with contextlib.suppress(RuntimeError):  # it has ended
            self._loop.call_soon_threadsafe(self._leave)
        self._thread.join(ROUND)

    def hold(self, name: str) -> LeaseHandle:
        """Want this name for a part of the balancer, until it is released; from that part's event loop."""
        hold = LeaseHandle(name, partial(self._token, name), partial(self._end, name))
        with self._lock:
            if name in self._holds:
                raise ValueError(f"{name!r} is wanted by a part of this balancer already")
            self._holds[name] = hold
        self._loop.call_soon_threadsafe(self._turn)
        return hold

    def _token(self, name: str) -> int | None:
        with self._lock:
            return None if self._leases is None else self._leases.held_token(name, clock())

    def _end(self, name: str, heir: str = "") -> bool:
        """A part of the balancer lets it go; whether that could be: not to somebody who is not there."""
        with self._lock:
            core, leases = self._core, self._leases
            member = None if core is None else core.members.get(heir)
            if heir and (member is None or member.latest.state is not State.ALIVE):
                return False
            if (hold := self._holds.pop(name, None)) is not None:
                hold.tell(None)
            address = member.latest.address if member is not None else ""
            released = leases is not None and leases.release(name, clock(), heir, address)
            self._loop.call_soon_threadsafe(self._turn)
            return released

    def pages(self) -> dict[str, Callable[[str, str], tuple[int, str]]]:
        """What staff may read and say at the management address."""
        pages: dict[str, Callable[[str, str], tuple[int, str]]] = {"/members": self._page_members}
        if self._terms is not None:
            pages["/leases"] = self._page_leases
            for verb in ("hold", "let-go", "release", "hand-on"):
                pages[f"/leases/{verb}"] = partial(self._page_lease, verb)
        return pages

    def _page_members(self, method: str, query: str) -> tuple[int, str]:
        if method != "GET":
            return 405, "this path takes GET\n"
        with self._lock:
            return 200, json.dumps(self._rows(), indent=1) + "\n"

    def _page_leases(self, method: str, query: str) -> tuple[int, str]:
        if method != "GET":
            return 405, "this path takes GET\n"
        with self._lock:
            rows = [] if self._leases is None else self._leases.lease_statuses(clock())
            return 200, json.dumps(rows, indent=1) + "\n"

    def _page_lease(self, verb: str, method: str, query: str) -> tuple[int, str]:
        """`NAME`, or `NAME&HEIR`: want it for a while, let it go, hand it on."""
        if method != "PUT":
            return 405, "this path takes PUT\n"
        name, _, heir = (unquote(part) for part in query.partition("&"))
        if not 0 < len(name.encode()) <= 60 or "#" in name:
            return 400, "expected a name of 1 to 60 bytes without '#' behind the ?\n"
        with self._lock:
            leases, core, now = self._leases, self._core, clock()
            if leases is None or core is None:
                return 503, "not among the others yet\n"
            if verb == "hold":
                leases.hold_external(name, now)
            elif verb == "let-go":
                leases.release_external(name, now)
            else:
                member = core.members.get(heir)
                if verb == "hand-on" and (member is None or member.latest.state is not State.ALIVE):
                    return 409, f"{heir!r} is nobody who is alive\n"
                address = member.latest.address if member is not None else ""
                if not leases.request_release(name, now, heir, address):
                    return 409, f"{name!r} is not wanted here\n"
            self._loop.call_soon_threadsafe(self._turn)
            # Danger: who hears nothing more from us acts for so long; we release the name no sooner.
            row = {**leases.lease_status(name, now), "ends": leases.release_requested(name)}
            row = {**row, "remaining_ms": min(int(str(row["remaining_ms"])), MAX_REPORTED_REMAINING_MS)}
            return 200, json.dumps(row) + "\n"

    def _rows(self) -> dict[str, object]:
        core, now = self._core, clock()
        if core is None:
            return {
                "name": self._name,
                "incarnation": 0,
                "view": "alone",
                "members": [],
                "counts": dict(self.counts),
            }
        rows = [_row(core.name, State.ALIVE, core.incarnation, now - self._since, "this one")]
        for name, each in sorted(core.members.items()):
            rows.append(_row(name, each.latest.state, each.latest.incarnation, now - each.since, each.why))
        return {
            "name": core.name,
            "incarnation": core.incarnation,
            "view": core.view,
            "members": rows,
            "counts": {**core.counts, **self.counts},
        }

    # The thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            left = list(self._tasks)
            self._shut()
            self._loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
            self._loop.close()

    def _want(self, wanted: bool) -> None:
        if wanted is self._wanted:
            return
        self._wanted = wanted
        if wanted:
            self._start(self._serve())
            return
        with self._lock:
            if self._leases is not None:  # its successor may hold them at once
                self._leases.release_internal(clock())
                self._flush()
        self._shut()

    def _leave(self) -> None:
        with self._lock:
            if self._core is not None and self._udp is not None:
                if self._leases is not None:
                    self._leases.release_internal(clock())
                self._core.leave(clock())
                self._flush()
        self._loop.stop()

    def _shut(self) -> None:
        """Not a member any more, as far as this process goes."""
        for task in self._tasks:
            task.cancel()
        if self._udp is not None:
            self._loop.remove_reader(self._udp)
            self._udp.close()
            self._udp = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        with self._lock:
            self._core = self._leases = None
            for hold in self._holds.values():
                hold.tell(None)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self) -> None:
        """Have the address, as soon as it is to be had, and be a member."""
        said = False
        while True:
            try:
                udp, tcp = self._bound()
                break
            except OSError as error:
                if not said:
                    logger.warning("peers: {} can't be had yet: {}", self._told.listen, error)
                said = True
                self.counts["address_taken"] += 1
                await asyncio.sleep(AGAIN)
        now = clock()
        with self._lock:
            self._since = now
            life, seed = int.from_bytes(os.urandom(4)), int.from_bytes(os.urandom(8))
            seeds = tuple(self._told.seeds)
            self._core = Membership(self._name, self._told.address, life, seeds, self._options, seed, now)
            if self._terms is not None:
                me, files = ProcessIdentity(self._name, life, self._told.address), self._tokens is not None
                known = None if self._tokens is None else self._tokens.read()
                floor, same = known or (None, True)
                self._leases = LeaseService(me, self._terms, seed, now, floor, files, same)
        self._udp = udp
        logger.info("peers: {} of {} at {}", self._name, self._told.cluster, self._told.listen)
        self._loop.add_reader(udp, self._readable)
        self._turn()
        with tcp:
            while True:
                try:
                    sock, _ = await self._loop.sock_accept(tcp)
                except OSError:
                    await asyncio.sleep(AGAIN)
                    continue
                if len(self._tasks) > LISTENERS + TALKERS:
                    self.counts["connections_refused"] += 1
                    sock.close()
                else:
                    self._start(self._hear(sock))

    def _bound(self) -> tuple[socket.socket, socket.socket]:
        with contextlib.ExitStack() as opened:
            udp = opened.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            tcp = opened.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for sock in (udp, tcp):
                sock.setblocking(False)
                sock.bind(self._listen)
            tcp.listen(LISTENERS)
            opened.pop_all()  # both are to be had: they stay open
        return udp, tcp

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            if self._udp is None:
                return
            try:
                data = self._udp.recv(65536)
            except OSError:  # nothing more, or the path told of an error
                return
            self.counts["datagrams_in"] += 1
            self.counts["bytes_in"] += len(data)
            self._heard(data, whole=False)

    def _heard(self, data: bytes, whole: bool) -> None:
        """Some bytes; whatever they are, at most a counter changes unless they are a message."""
        try:
            message = unpack(self._told.cluster, data)
            if isinstance(message, FullState) is not whole:
                raise RejectedMessageError("garbage")
        except RejectedMessageError as error:
            self.counts[error.kind] += 1
            return
        with self._lock:
            if isinstance(message, MEMBERSHIP):
                if self._core is not None:
                    self._core.receive(clock(), message)
            elif self._leases is not None:
                self._leases.receive(clock(), message)
            else:
                self.counts["garbage"] += 1
            self._flush()

    def _turn(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        with self._lock:
            if self._core is not None:
                self._core.turn(clock())
                if self._leases is not None:
                    for name in self._holds:
                        self._leases.acquire(name, clock())
                    self._leases.turn(clock())
                self._flush()

    def _flush(self) -> None:
        """Send what the core has to say, write down what has changed, and wake when it is due."""
        core, leases = self._core, self._leases
        if core is None:
            return
        out, core.out = core.out, []
        for address, message in out:
            if isinstance(message, FullState):
                self._talk(address, message)
            else:
                self._send(address, message)
        for change in core.changes:
            _log(change)
        core.changes.clear()
        due = core.deadline()
        if leases is not None:
            voter = leases.voter
            if (
                self._tokens is not None
                and voter is not None
                and (top := voter.next_token_limit()) is not None
            ):
                voter.token_limit = self._tokens.write(top, voter.token_limit)
            said, leases.out = leases.out, []
            for to, word in said:
                self._send(to, word)
            for line in leases.log_lines:
                logger.info("leases: {}", line)
            leases.log_lines.clear()
            for name, hold in self._holds.items():
                hold.tell(leases.held_token(name, clock()))
            due = min(due, leases.deadline())
        if due == float("inf") or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._loop.call_later(max(0.0, due - clock()), self._turn)

    def _send(self, address: str, message: Message) -> None:
        data = pack(self._told.cluster, message)
        if len(data) > MAX_DATAGRAM_BYTES or self._udp is None:
            self.counts["too_long"] += 1
            return
        try:
            self._udp.sendto(data, parse_address(address))
            self.counts["datagrams_out"] += 1
            self.counts["bytes_out"] += len(data)
        except (
            OSError,
            ConfigError,
            OverflowError,
        ):  # no way there, a full buffer, no address: as if it were lost
            self.counts["not_sent"] += 1

    def _talk(self, address: str, message: FullState) -> None:
        if self._talks >= TALKERS:
            self.counts["connections_refused"] += 1
            return
        self._talks += 1
        self._start(self._say(address, pack(self._told.cluster, message)))

    async def _say(self, address: str, data: bytes) -> None:
        """A connection from our own address, one message, and its end."""
        try:  # Danger: without descriptors there is no socket either, and each such call would hold a place
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.setblocking(False)
                sock.bind((self._listen[0], 0))
                async with asyncio.timeout(WITHIN):
                    await self._loop.sock_connect(sock, parse_address(address))
                    await self._loop.sock_sendall(sock, data)
                    sock.shutdown(socket.SHUT_WR)
                    await self._loop.sock_recv(sock, 1)  # its end: it has read all
            self.counts["wholes_out"] += 1
            self.counts["bytes_out"] += len(data)
        except (OSError, TimeoutError, ConfigError, OverflowError):
            self.counts["not_said"] += 1
        finally:
            self._talks -= 1

    async def _hear(self, sock: socket.socket) -> None:
        """One message to the end of its connection; nothing that is too long or too slow."""
        data = bytearray()
        try:
            sock.setblocking(False)
            async with asyncio.timeout(WITHIN):
                while piece := await self._loop.sock_recv(sock, 65536):
                    data += piece
                    if len(data) > MAX_FULL_STATE_BYTES:
                        break
                else:
                    self.counts["wholes_in"] += 1
                    self.counts["bytes_in"] += len(data)
                    self._heard(bytes(data), whole=True)
                    return
            self.counts["too_long"] += 1
        except (OSError, TimeoutError):
            self.counts["not_heard"] += 1
        finally:
            with contextlib.suppress(OSError):
                sock.close()


def _row(name: str, state: State, incarnation: int, seconds: float, why: str) -> dict[str, object]:
    return {
        "name": name,
        "state": state.name.lower(),
        "incarnation": incarnation,
        "since_ms": round(seconds * 1000),
        "why": why,
    }


def _log(change: Change) -> None:
    before = "unknown" if change.before is None else change.before.name.lower()
    witnesses = f"; witnesses {', '.join(change.witnesses)}" if change.witnesses else ""
    say = logger.error if "two processes" in change.why else logger.info
    say(
        "peers: {} {} -> {} (incarnation {}): {}{}",
        change.name,
        before,
        change.after.name.lower(),
        change.incarnation,
        change.why,
        witnesses,
    )
