"""Runs membership and leases of one balancer: a UDP socket, TCP connections and a thread of its own.

The node owns both sockets at the address from `[peers]`, the thread, and the clock passed to the protocol
classes. Which members are alive is decided in `membership.swim`, which leases are held in `leases.service`.

The clock is CLOCK_BOOTTIME, which also counts while the machine is suspended: a lease that has expired must
be expired when the machine resumes.

The node runs in its own thread because the main event loop, flooded with new clients, can be blocked for
longer than the time in which an acknowledgement is due. Other threads read its state under a lock that is
held for one message or one query.

Input that can't be decoded only raises a counter. A peers' address that is in use does not keep the balancer
from serving clients: the node logs it and retries.
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

MAX_DATAGRAMS_PER_READ = 64  # datagrams read before the event loop runs anything else
MAX_INCOMING_CONNECTIONS = 32
MAX_OUTGOING_CONNECTIONS = 16
MAX_INCOMING_BYTES = 4 * MAX_FULL_STATE_BYTES  # unfinished messages of all incoming connections together
CONNECTION_TIMEOUT = 2.0  # seconds for one connection, from opening to closing
BIND_RETRY_DELAY = 0.1  # seconds until an address that is in use is tried again
MAX_NAME_BYTES = 48  # bytes of a balancer's name
MEMBERSHIP_MESSAGES = (Ping, IndirectPing, Ack, Nack, FullState)
THREAD_JOIN_TIMEOUT = 0.5  # seconds that `close` waits for the thread


def clock() -> float:
    """Return the time in seconds that membership and leases are given."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PeerNode:
    """This balancer as a member of its cluster, running in a thread of its own.

    Raises `ConfigError` if the balancer's name can't be used among members.
    """

    def __init__(self, settings: PeerSettings, name: str, leases: LeaseSettings | None = None) -> None:
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES or "~" in name:
            raise ConfigError(
                f"name={name!r}: expected 1 to {MAX_NAME_BYTES} bytes without '~', as [peers] is set"
            )
        self._settings, self._name = settings, name
        self._listen = parse_address(settings.listen)
        period = settings.period_ms / 1000
        self._options = Options(
            probe_interval=period,
            probe_timeout=settings.timeout_ms / 1000,
            suspicion_mult=settings.suspicion_ms / settings.period_ms,
            reconnect_interval=settings.call_ms / 1000,
            full_state_interval=float(settings.whole_s),
            retention=float(settings.remember_s),
        )
        self._lease_config, self._token_file = None, None
        if leases is not None:
            self._lease_config = LeaseConfig(
                tuple(leases.voters),
                leases.length_ms / 1000,
                leases.longest_ms / 1000,
                leases.margin_ms / 1000,
                previous_voters=tuple(leases.before),
                slot_counts=tuple(leases.counted.items()),
            )
            if leases.folder:
                self._token_file = TokenFile(Path(leases.folder), name, self._lease_config.electorate)
        self._leases: LeaseService | None = None
        self._lease_handles: dict[str, LeaseHandle] = {}  # leases requested by components of this balancer
        self.counts: Counter[str] = Counter()
        self._lock = threading.Lock()
        self._membership: Membership | None = None
        self._is_active = False
        self._udp: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._open_sends = 0
        self._incoming_bytes = 0  # of messages that are not complete yet
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._turn_requested = False  # by a management call, and not run yet; lock
        self._joined_at = 0.0
        self._loop = uvloop.new_event_loop()
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self._thread.start()

    # Called from other threads.

    def on_phase_change(self, phase: Phase) -> None:
        """Join the cluster when the process serves clients, and go silent when an upgrade supersedes it.

        A superseded process does not announce that it leaves: its successor is the same member.
        """
        if phase in (Phase.READY, Phase.DRAINING):
            self._loop.call_soon_threadsafe(self._set_active, True)
        elif phase is Phase.SUPERSEDED:
            self._loop.call_soon_threadsafe(self._set_active, False)

    def close(self) -> None:
        """Announce that this member leaves, unless the process was superseded, and stop the thread.

        Further calls have no effect.
        """
        with contextlib.suppress(RuntimeError):  # the loop is already closed
            self._loop.call_soon_threadsafe(self._leave_and_stop)
        self._thread.join(THREAD_JOIN_TIMEOUT)

    def request_lease(self, name: str) -> LeaseHandle:
        """Request a lease for a component of the balancer until it is released.

        Must be called from the component's event loop. Raises `ValueError` if the lease is already requested.
        """
        handle = LeaseHandle(name, partial(self._held_token, name), partial(self._release_lease, name))
        with self._lock:
            if name in self._lease_handles:
                raise ValueError(f"{name!r} is already requested by another component of this balancer")
            self._lease_handles[name] = handle
        self._loop.call_soon_threadsafe(self._run_timers)
        return handle

    def _held_token(self, name: str) -> int | None:
        with self._lock:
            return None if self._leases is None else self._leases.held_token(name, clock())

    def _release_lease(self, name: str, successor: str = "") -> bool:
        """Release a component's lease, to the named successor if one is given.

        Returns False if the successor is not a live member, in which case the lease is kept, or if there was
        no lease to release.
        """
        with self._lock:
            membership, leases = self._membership, self._leases
            member = None if membership is None else membership.members.get(successor)
            if successor and (member is None or member.latest.state is not State.ALIVE):
                return False
            if (handle := self._lease_handles.pop(name, None)) is not None:
                handle.notify(None)
            address = member.latest.address if member is not None else ""
            released = leases is not None and leases.release(name, clock(), successor, address)
            self._loop.call_soon_threadsafe(self._run_timers)
            return released

    def pages(self) -> dict[str, Callable[[str, str], tuple[int, str]]]:
        """Return the handlers of the management paths for members and leases, by path."""
        pages: dict[str, Callable[[str, str], tuple[int, str]]] = {"/members": self._page_members}
        if self._lease_config is not None:
            pages["/leases"] = self._page_leases
            for verb in ("hold", "let-go", "release", "hand-on"):
                pages[f"/leases/{verb}"] = partial(self._page_lease, verb)
        return pages

    def _page_members(self, method: str, query: str) -> tuple[int, str]:
        if method != "GET":
            return 405, "this path takes GET\n"
        with self._lock:
            return 200, json.dumps(self._members_status(), indent=1) + "\n"

    def _page_leases(self, method: str, query: str) -> tuple[int, str]:
        if method != "GET":
            return 405, "this path takes GET\n"
        with self._lock:
            rows = [] if self._leases is None else self._leases.lease_statuses(clock())
            return 200, json.dumps(rows, indent=1) + "\n"

    def _page_lease(self, verb: str, method: str, query: str) -> tuple[int, str]:
        """Hold a lease for a while, release it or hand it on; the query is `NAME` or `NAME&SUCCESSOR`."""
        if method != "PUT":
            return 405, "this path takes PUT\n"
        name, _, successor = (unquote(part) for part in query.partition("&"))
        if not 0 < len(name.encode()) <= 60 or "#" in name:
            return 400, "expected a lease name of 1 to 60 bytes without '#' after the '?'\n"
        with self._lock:
            leases, membership, now = self._leases, self._membership, clock()
            if leases is None or membership is None:
                return 503, "this balancer has not joined its cluster yet; try again later\n"
            if verb == "hold":
                leases.hold_external(name, now)
            elif verb == "let-go":
                leases.release_external(name, now)
            else:
                member = membership.members.get(successor)
                if verb == "hand-on" and (member is None or member.latest.state is not State.ALIVE):
                    return 409, f"{successor!r} is not the name of a live member\n"
                address = member.latest.address if member is not None else ""
                if not leases.request_release(name, now, successor, address):
                    return 409, f"{name!r} is not requested through this balancer\n"
            self._request_turn()
            # A command that gets no further answer acts for this long, so the lease is not released sooner.
            row = {**leases.lease_status(name, now), "ends": leases.release_requested(name)}
            row = {**row, "remaining_ms": min(int(str(row["remaining_ms"])), MAX_REPORTED_REMAINING_MS)}
            return 200, json.dumps(row) + "\n"

    def _request_turn(self) -> None:
        """Have the node's thread do what is due; many calls in a row lead to one turn.

        The lock must be held."""
        if not self._turn_requested:
            self._turn_requested = True
            self._loop.call_soon_threadsafe(self._run_requested_turn)

    def _run_requested_turn(self) -> None:
        with self._lock:
            self._turn_requested = False
        self._run_timers()

    def _members_status(self) -> dict[str, object]:
        """Return the content of `/members`."""
        membership, now = self._membership, clock()
        if membership is None:
            return {
                "name": self._name,
                "incarnation": 0,
                "view": "alone",
                "members": [],
                "counts": dict(self.counts),
            }
        rows = [
            _member_row(
                membership.name, State.ALIVE, membership.incarnation, now - self._joined_at, "this one"
            )
        ]
        for name, each in sorted(membership.members.items()):
            rows.append(
                _member_row(name, each.latest.state, each.latest.incarnation, now - each.since, each.why)
            )
        return {
            "name": membership.name,
            "incarnation": membership.incarnation,
            "view": membership.view,
            "members": rows,
            "counts": {**membership.counts, **self.counts},
        }

    # Called in the node's thread.

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            unfinished = list(self._tasks)
            self._deactivate()
            self._loop.run_until_complete(asyncio.gather(*unfinished, return_exceptions=True))
            self._loop.close()

    def _set_active(self, active: bool) -> None:
        """Join the cluster, or stop being a member of it without announcing so."""
        if active is self._is_active:
            return
        self._is_active = active
        if active:
            self._start_task(self._serve())
            return
        with self._lock:
            if self._leases is not None:  # so that the new process can acquire them at once
                self._leases.release_internal(clock())
                self._flush()
        self._deactivate()

    def _leave_and_stop(self) -> None:
        with self._lock:
            if self._membership is not None and self._udp is not None:
                if self._leases is not None:
                    self._leases.release_internal(clock())
                self._membership.leave(clock())
                self._flush()
        self._loop.stop()

    def _deactivate(self) -> None:
        """Stop all activity and close the sockets; the other members are not informed."""
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
            self._membership = self._leases = None
            for handle in self._lease_handles.values():
                handle.notify(None)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self) -> None:
        """Bind the peers' address, retrying while it is in use, then take part until cancelled."""
        warned = False
        while True:
            try:
                udp, tcp = self._bind_sockets()
                break
            except OSError as error:
                if not warned:
                    logger.warning(
                        "peers: can't bind {}, retrying until it is free: {}", self._settings.listen, error
                    )
                warned = True
                self.counts["address_taken"] += 1
                await asyncio.sleep(BIND_RETRY_DELAY)
        now = clock()
        with self._lock:
            self._joined_at = now
            instance_id, seed = int.from_bytes(os.urandom(4)), int.from_bytes(os.urandom(8))
            seeds = tuple(self._settings.seeds)
            self._membership = Membership(
                self._name, self._settings.address, instance_id, seeds, self._options, seed, now
            )
            if self._lease_config is not None:
                identity, has_token_file = (
                    ProcessIdentity(self._name, instance_id, self._settings.address),
                    self._token_file is not None,
                )
                stored = None if self._token_file is None else self._token_file.read()
                token_floor, same_electorate = stored or (None, True)
                self._leases = LeaseService(
                    identity, self._lease_config, seed, now, token_floor, has_token_file, same_electorate
                )
        self._udp = udp
        logger.info(
            "peers: {} joins cluster {}, listening at {}",
            self._name,
            self._settings.cluster,
            self._settings.listen,
        )
        self._loop.add_reader(udp, self._read_datagrams)
        self._run_timers()
        with tcp:
            while True:
                try:
                    sock, _ = await self._loop.sock_accept(tcp)
                except OSError:
                    await asyncio.sleep(BIND_RETRY_DELAY)
                    continue
                if len(self._tasks) > MAX_INCOMING_CONNECTIONS + MAX_OUTGOING_CONNECTIONS:
                    self.counts["connections_refused"] += 1
                    sock.close()
                else:
                    self._start_task(self._receive_connection(sock))

    def _bind_sockets(self) -> tuple[socket.socket, socket.socket]:
        with contextlib.ExitStack() as opened:
            udp = opened.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            tcp = opened.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            for sock in (udp, tcp):
                sock.setblocking(False)
                sock.bind(self._listen)
            tcp.listen(MAX_INCOMING_CONNECTIONS)
            opened.pop_all()  # both sockets are bound; keep them open
        return udp, tcp

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._udp is None:
                return
            try:
                data = self._udp.recv(65536)
            except OSError:  # nothing left to read, or an ICMP error was reported
                return
            self.counts["datagrams_in"] += 1
            self.counts["bytes_in"] += len(data)
            self._handle_message(data, over_tcp=False)

    def _handle_message(self, data: bytes, over_tcp: bool) -> None:
        """Decode and process one message; input that is not one only raises a counter."""
        try:
            message = unpack(self._settings.cluster, data)
            if isinstance(message, FullState) is not over_tcp:
                raise RejectedMessageError("garbage")
        except RejectedMessageError as error:
            self.counts[error.kind] += 1
            return
        with self._lock:
            if isinstance(message, MEMBERSHIP_MESSAGES):
                if self._membership is not None:
                    self._membership.receive(clock(), message)
            elif self._leases is not None:
                self._leases.receive(clock(), message)
            else:
                self.counts["garbage"] += 1
            self._flush()

    def _run_timers(self) -> None:
        """Run the expired timers of membership and leases, and send what results."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        with self._lock:
            if self._membership is not None:
                self._membership.turn(clock())
                if self._leases is not None:
                    for name in self._lease_handles:
                        self._leases.acquire(name, clock())
                    self._leases.turn(clock())
                self._flush()

    def _flush(self) -> None:
        """Send queued messages, log changes, notify lease handles and set the timer; the lock must be held.

        A voter's token limit is written to its file before any message that depends on it is sent.
        """
        membership, leases = self._membership, self._leases
        if membership is None:
            return
        out, membership.out = membership.out, []
        for address, message in out:
            if isinstance(message, FullState):
                self._send_over_tcp(address, message)
            else:
                self._send(address, message)
        for change in membership.changes:
            _log(change)
        membership.changes.clear()
        due = membership.deadline()
        if leases is not None:
            voter = leases.voter
            if (
                self._token_file is not None
                and voter is not None
                and (top := voter.next_token_limit()) is not None
            ):
                voter.token_limit = self._token_file.write(top, voter.token_limit)
            lease_messages, leases.out = leases.out, []
            for destination, lease_message in lease_messages:
                self._send(destination, lease_message)
            for line in leases.log_lines:
                logger.info("leases: {}", line)
            leases.log_lines.clear()
            for name, handle in self._lease_handles.items():
                handle.notify(leases.held_token(name, clock()))
            due = min(due, leases.deadline())
        if due == float("inf") or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._loop.call_later(max(0.0, due - clock()), self._run_timers)

    def _send(self, address: str, message: Message) -> None:
        data = pack(self._settings.cluster, message)
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
        ):  # no route, a full buffer or an invalid address: treated as a lost datagram
            self.counts["not_sent"] += 1

    def _send_over_tcp(self, address: str, message: FullState) -> None:
        if self._open_sends >= MAX_OUTGOING_CONNECTIONS:
            self.counts["connections_refused"] += 1
            return
        self._open_sends += 1
        self._start_task(self._connect_and_send(address, pack(self._settings.cluster, message)))

    async def _connect_and_send(self, address: str, data: bytes) -> None:
        """Open a connection from our own address, send one message, and wait until the receiver closes."""
        # Creating the socket is inside the `try`: it fails when file descriptors run out, and the slot
        # counted in `_open_sends` would never be freed.
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
                sock.setblocking(False)
                sock.bind((self._listen[0], 0))
                async with asyncio.timeout(CONNECTION_TIMEOUT):
                    await self._loop.sock_connect(sock, parse_address(address))
                    await self._loop.sock_sendall(sock, data)
                    sock.shutdown(socket.SHUT_WR)
                    await self._loop.sock_recv(
                        sock, 1
                    )  # returns at the receiver's close, after it has read everything
            self.counts["wholes_out"] += 1
            self.counts["bytes_out"] += len(data)
        except (OSError, TimeoutError, ConfigError, OverflowError):
            self.counts["not_said"] += 1
        finally:
            self._open_sends -= 1

    async def _receive_connection(self, sock: socket.socket) -> None:
        """Read one message until the sender closes; drop it if it is too long or too slow."""
        data = bytearray()
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECTION_TIMEOUT):
                while chunk := await self._loop.sock_recv(sock, 65536):
                    data += chunk
                    self._incoming_bytes += len(chunk)
                    if len(data) > MAX_FULL_STATE_BYTES or self._incoming_bytes > MAX_INCOMING_BYTES:
                        break
                else:
                    self.counts["wholes_in"] += 1
                    self.counts["bytes_in"] += len(data)
                    self._handle_message(bytes(data), over_tcp=True)
                    return
            self.counts["too_long"] += 1
        except (OSError, TimeoutError):
            self.counts["not_heard"] += 1
        finally:
            self._incoming_bytes -= len(data)
            with contextlib.suppress(OSError):
                sock.close()


def _member_row(name: str, state: State, incarnation: int, seconds: float, why: str) -> dict[str, object]:
    return {
        "name": name,
        "state": state.name.lower(),
        "incarnation": incarnation,
        "since_ms": round(seconds * 1000),
        "why": why,
    }


def _log(change: Change) -> None:
    before = "unknown" if change.before is None else change.before.name.lower()
    reporters = f"; reported by {', '.join(change.reporters)}" if change.reporters else ""
    log = logger.error if "two processes" in change.why else logger.info
    log(
        "peers: {} {} -> {} (incarnation {}): {}{}",
        change.name,
        before,
        change.after.name.lower(),
        change.incarnation,
        change.why,
        reporters,
    )
