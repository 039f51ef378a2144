"""The link between two processes of one balancer: which of them accepts, and the connections of each.

Owns: the channel, this process's state of the right to accept, the heartbeat thread, the peer's connections
that are counted here, and the record of which of this process's connections were reported to the peer. Must
never: end this process, or serve a connection that the peer may still serve.

An attempt of a stalled peer may still be running at a server, and the peer may wake. So this process only
counts the peer's connections: their ids stay in use, and none of their requests is tried again here. After
`ABANDON_TIMEOUT_S` without a heartbeat their clients are taken to have left, and they no longer count in the
load sums; a peer that wakes later reports everything anew.
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

TICK_INTERVAL_S = 0.02  # between two checks of the right to accept and of this process's connections
SENT_REPORT_INTERVAL_S = 0.1  # between two reports of what was sent to cold servers
MAX_WAITING_REPORTS = 4096  # messages that wait for a stalled peer, beyond which no further ids are sent
MAX_UNCONFIRMED = 32  # connections passed on and not confirmed; if the new process stalls, these hang


class ProcessLink:
    """This process's end of the link to an older or a newer process of the same balancer."""

    def __init__(
        self,
        listener: Listener,
        channel: Channel,
        is_newer: bool,
        supports_accept_right: bool,
        shares_queue: bool,
    ) -> None:
        """`is_newer`: whether this process is the newer one; `supports_accept_right`: whether the peer's
        version knows claims and heartbeats; `shares_queue`: whether both accept from the same queue."""
        self._listener, self._channel = listener, channel
        self.is_newer, self.shares_queue = is_newer, shares_queue
        self.peer_pid = channel.peer_pid()
        self.right_state = RightState(time.monotonic(), is_newer) if supports_accept_right else None
        self.state_received = asyncio.Event()  # the older process has sent all of `send_state`
        self._peer_connections: dict[str, messages.HeldConnection] = {}  # counted here, served by the peer
        self._to_move: set[str] = set()  # those of them that the decision module wants moved
        self._reported: dict[str, str] = {}  # this process's connections reported to the peer: id to server
        # Attempts at cold servers that both processes know of: server, Unix time in milliseconds, load.
        self._known_sent: set[tuple[str, float, float]] = set()
        self._sent_reported_at = 0.0
        self.lost_connections = 0  # connections of the peer that ended with it
        self._unconfirmed = 0  # connections passed on that the peer has not confirmed
        self._confirmed = asyncio.Event()
        # When the main loop ran last, and when it last ran with descriptors left to accept clients.
        self._last_tick = self._last_ready_to_accept = time.monotonic()
        self._heartbeat = Heartbeat(0, False, 0.0, False)  # set by the main loop, sent by the thread
        self._closed = threading.Event()

    # The right to accept.

    @property
    def accepts(self) -> bool:
        """Whether this process accepts clients, as far as this peer is concerned."""
        if not self.shares_queue:
            return True
        return self.is_newer if self.right_state is None else self.right_state.accepts

    @property
    def holds_right(self) -> bool:
        """Whether this process holds the right to accept."""
        return self.is_newer if self.right_state is None else self.right_state.holds_right

    @property
    def yielded(self) -> bool:
        """Whether the peer is the newer process and holds the right to accept."""
        return not self.is_newer and (self.right_state is None or not self.right_state.holds_right)

    @property
    def can_receive_connections(self) -> bool:
        """Whether this process's established connections can be passed on to the peer."""
        return self.yielded and (self.right_state is None or not self.right_state.accepts)

    def heartbeat_since(self, at: float) -> bool:
        """Return whether a heartbeat has arrived since this monotonic time; true if the peer sends none.

        A process that shuts down asks this with the time of the shutdown: it must not leave the clients to a
        peer that stopped just before and whose earlier heartbeats say nothing about the present.
        """
        return self.right_state is None or self.right_state.monitor.last_heartbeat > at

    def may_accept(self) -> bool:
        """Return whether this process may accept the next client; asked before each one."""
        return (
            self.accepts
            if self.right_state is None
            else self.right_state.may_accept(time.monotonic()) or not self.shares_queue
        )

    def take_over(self, known_generation: int) -> None:
        """Claim the right to accept from the older peer, whose generation is 0 if unknown."""
        assert self.is_newer
        if self.right_state is None:
            return self.send(messages.encode_message("take"))
        claim = self.right_state.take_over(time.monotonic(), known_generation)
        self.send(
            messages.encode_message(
                "take", queue=self._listener.accept_queue_id(), generation=claim.generation
            )
        )

    def yield_right(self, generation: int) -> None:
        """Apply the newer peer's claim to the right to accept."""
        if self.right_state is not None:
            self.right_state.receive_claim(time.monotonic(), RightClaim(generation, True))

    def _tick(self) -> None:
        """Update the right to accept, and give up the connections of a peer that is silent for too long."""
        assert self.right_state is not None
        listener, right_state, now = self._listener, self.right_state, time.monotonic()
        if now - self._last_tick > ABANDON_TIMEOUT_S / 2:
            self._reported.clear()  # the peer may have given up this process's connections: report them again
        self._last_tick = now
        # A process without descriptors accepts nobody, like one whose main loop is stalled.
        if not listener.out_of_descriptors:
            self._last_ready_to_accept = now
        right_state.shutting_down = listener.lifecycle.stopping
        held_right = right_state.holds_right
        if (claim := right_state.tick(now, self._channel.has_unread())) is not None:
            self.send(messages.encode_message("right", **claim._asdict()))
        if right_state.holds_right is not held_right:
            self._log_right_change(now, claimed_here=True)
        self._heartbeat = right_state.heartbeat(listener.serving, 0.0)
        if self._peer_connections and right_state.monitor.silence_s(now) >= ABANDON_TIMEOUT_S:
            logger.warning(
                "no heartbeat from the {} process for too long: its {} connections no longer count here",
                self._peer_age,
                len(self._peer_connections),
            )
            self._listener.counters.add("handover.lost", len(self._peer_connections))
            self.stop_counting(list(self._peer_connections))

    @property
    def _peer_age(self) -> str:
        return "old" if self.is_newer else "new"

    def _log_right_change(self, now: float, claimed_here: bool) -> None:
        assert self.right_state is not None
        right_state, monitor = self.right_state, self.right_state.monitor
        if right_state.holds_right and not (claimed_here and monitor.is_stalled(now)):
            # The peer gives the right back, or is shutting down.
            logger.info(
                "the {} process gives back the right to accept; accepting clients, generation {}",
                self._peer_age,
                right_state.generation,
            )
        elif right_state.holds_right:
            loop_stalled_ms, silence_ms = monitor.loop_stalled_s * 1000, monitor.silence_s(now) * 1000
            self._listener.counters.add("handover.taken_back")
            logger.warning(
                "the {} process is silent for {:.0f} ms (its main loop stalled for {:.0f} ms): "
                "accepting clients, generation {}",
                *(self._peer_age, silence_ms, loop_stalled_ms, right_state.generation),
            )
        else:
            logger.info(
                "the {} process holds the right to accept from now on, generation {}",
                self._peer_age,
                right_state.generation,
            )

    def _send_heartbeats(self, sock: socket.socket) -> None:
        """Run the heartbeat thread.

        It is a thread of its own, because a main loop that is late under load does not mean that the process
        has stopped."""
        try:
            while not self._closed.wait(HEARTBEAT_INTERVAL_S):
                heartbeat = self._heartbeat._replace(
                    stood=max(0.0, time.monotonic() - self._last_ready_to_accept - 2 * TICK_INTERVAL_S)
                )
                with contextlib.suppress(BlockingIOError):  # the peer has not read earlier ones
                    sock.send(messages.encode_message("beat", **heartbeat._asdict()))
        except OSError:
            pass  # the main loop notices that the peer has ended when it next receives
        finally:
            sock.close()

    # Messages.

    def send(self, message: bytes, *sockets: socket.socket) -> None:
        """Send the message now or once there is room; `follow` notices when the peer has ended."""
        try:
            self._channel.send(message, *sockets)
        except OSError as error:
            logger.debug("can't send to the other process: {}", error)

    async def follow(self) -> None:
        """Handle the peer's messages until it has ended, which raises `ConnectionResetError`.

        If a message is malformed or of an unknown kind, this raises `MessageError` in the older process; the
        newer one logs it and goes on."""
        self._listener.add_link(self)
        self._listener.ids.observers.append(self._report_used)
        if self.is_newer:  # the older process sends them with its state
            self._send_used_ids()
        tick_task = asyncio.create_task(self._run_ticks())
        try:
            if self.right_state is not None:
                # Duplicated here, since the channel may be closed before the thread has begun.
                threading.Thread(
                    target=self._send_heartbeats, args=(self._channel.duplicate_socket(),), daemon=True
                ).start()
            while (received := await self._channel.receive()) is not None:
                try:
                    self._handle(*received)
                except messages.MessageError as error:
                    if not self.is_newer:
                        raise
                    logger.warning("ignoring a message of the old process: {}", error)
                except Exception:  # the messages that follow concern other connections
                    self._listener.counters.add("errors")
                    logger.exception("can't handle a message of the other process")
            raise ConnectionResetError(f"the {self._peer_age} process closed the channel")
        finally:
            tick_task.cancel()
            self.close()

    def close(self) -> None:
        """Close the channel and give up the peer's connections."""
        self._closed.set()
        if self._report_used in self._listener.ids.observers:
            self._listener.ids.observers.remove(self._report_used)
        self._channel.close()
        self.lost_connections = len(self._peer_connections)
        self.stop_counting(list(self._peer_connections))
        self._listener.remove_link(self)

    async def _run_ticks(self) -> None:
        while True:
            try:
                if self.right_state is not None:
                    self._tick()
                if self.right_state is not None or not self.is_newer:
                    self.report_connections()
                self._listener.apply_handover_state()
            except Exception:  # a defect here must not stop the right to accept
                self._listener.counters.add("errors")
                logger.exception("can't update the link to the other process")
            await asyncio.sleep(TICK_INTERVAL_S)

    def _handle(self, data: bytes, sockets: list[socket.socket]) -> None:
        """Handle one message of the peer, and close those of its sockets that no session serves."""
        try:
            kind, values = messages.decode_message(data)
            if self.right_state is not None and self._handle_right(self.right_state, kind, values):
                pass
            elif kind == "held":
                for held in messages.decode_held(values):
                    self._count_connection(held)
            elif kind == "ended":
                ids = messages.decode_ended(values)
                self.stop_counting(ids)
                self._listener.ids.remember(ids)
            elif kind == "sent":
                self._merge_sent(messages.decode_sent(values))
            elif kind == "got":
                self._unconfirmed -= 1
                self._confirmed.set()
            elif not self.is_newer:
                raise messages.MessageError("unexpected kind of message from the new process")
            elif kind == "known":
                self._inherit_server_list(values)
            elif kind == "yours" and self._listener.serving:
                # This process serves already, so its own learned state is newer and is kept. The load sent to
                # cold servers is exchanged in `sent` messages.
                self.state_received.set()
            elif kind == "yours":
                self._listener.facade.restore_learned_state(
                    self._listener.clock(), messages.decode_learned_state(values.get("learnt"))
                )
                self.state_received.set()
            elif kind == "pass" and len(sockets) == 2:
                if self.right_state is not None:
                    self.send(messages.encode_message("got"))
                self._continue_connection(messages.decode_passed(values), sockets.pop(0), sockets.pop(0))
        finally:
            if self.right_state is not None and not self._channel.has_unread():
                self.right_state.mark_all_read()
            self._listener.update_socket_budget()
            for sock in sockets:
                sock.close()

    def _handle_right(self, right_state: RightState, kind: str, values: dict[str, Any]) -> bool:
        """Handle a claim or a heartbeat; return whether the message was one."""
        now, held_right = time.monotonic(), right_state.holds_right
        try:
            if kind == "right":
                right_state.receive_claim(now, RightClaim(int(values["generation"]), bool(values["newer"])))
            elif kind == "beat":
                fields = int(values["generation"]), bool(values["accepts"]), float(values["stood"])
                right_state.receive_heartbeat(now, Heartbeat(*fields, bool(values["leaves"])))
            else:
                return False
        except messages.MALFORMED as error:
            raise messages.MessageError(
                f"malformed {kind} message: {type(error).__name__}: {error}"
            ) from None
        if right_state.holds_right is not held_right:
            self._log_right_change(now, claimed_here=False)
        self._heartbeat = right_state.heartbeat(self._listener.serving, 0.0)
        return True

    def _inherit_server_list(self, values: dict[str, Any]) -> None:
        """Use the old process's discovery address and server list.

        Does nothing if this process serves already and its own list is at least as new."""
        listener = self._listener
        try:
            listing = parse_listing(values["listing"], listener.config.zones, listener.config.kinds)
            if listener.serving and listing.version <= listener.discovery.version:
                return
            listener.discovery.load_predecessor_listing(parse_address(values["discovery"]), listing)
        except (AttributeError, ConfigError, KeyError, TypeError) as error:
            raise messages.MessageError(f"malformed known message: {type(error).__name__}: {error}") from None

    # The peer's connections.

    def _count_connection(self, held: messages.HeldConnection) -> None:
        """Count a connection of the peer here.

        Its id must stay in use, so that no second request with it is answered. And it must count at its
        server: for the load sum, for the moves when that server drains, and for a cold server's budget."""
        listener = self._listener
        if held.id in listener.sessions or self._peer_connections.get(held.id) == held:
            return
        if held.id in self._peer_connections:
            self.stop_counting([held.id])
        listener.ids.occupy(held.id)
        logger.debug("connection {} is held by the {} process, at {}", held.id, self._peer_age, held.server)
        request = messages.request_from(held, listener.config.classes, listener.config.tenants)
        listener.facade.report(listener.clock(), Adopted(request, held.server))
        self._peer_connections[held.id] = held

    def stop_counting(self, connection_ids: list[str]) -> None:
        """Stop counting these connections of the peer; their ids are remembered as used."""
        for connection_id in connection_ids:
            if self._peer_connections.pop(connection_id, None) is not None:
                self._to_move.discard(connection_id)
                self._listener.ids.release(connection_id)
                self._listener.facade.report(
                    self._listener.clock(), Ended(connection_id, 0.0, Result.CANCELLED, True)
                )

    @property
    def remote_connections(self) -> int:
        """How many connections the peer holds."""
        return len(self._peer_connections)

    def _continue_connection(
        self, passed: messages.PassedConnection, client: socket.socket, server: socket.socket
    ) -> None:
        """Serve a connection that the peer has passed on with its two sockets."""
        listener, held = self._listener, passed.held
        if self._peer_connections.get(held.id) != held:
            self.stop_counting([held.id])
            self._count_connection(held)
        self._peer_connections.pop(held.id, None)
        if held.id in self._to_move:
            self._to_move.discard(held.id)
            passed = passed._replace(move=True)
        request = messages.request_from(held, listener.config.classes, listener.config.tenants)
        try:
            line_sockets = (
                listener.sockets.from_predecessor(client, passed.from_client),
                listener.sockets.from_predecessor(server, passed.from_server),
            )
        except LineError as error:
            raise messages.MessageError(f"malformed pass message: {error}") from None
        listener.resume_session(Session.from_predecessor(listener, passed, *line_sockets, request))

    def move(self, connection_id: str) -> bool:
        """Have a connection of the older peer moved as soon as it is passed on; return whether it is one."""
        if not self.is_newer or connection_id not in self._peer_connections:
            return False
        self._to_move.add(connection_id)
        return True

    # This process's connections.

    def send_state(self) -> None:
        """Send the newer peer this process's server list, connections and learned state, in this order."""
        listener = self._listener
        address, listing = listener.discovery.snapshot()
        self.send(messages.encode_message("known", discovery="{}:{}".format(*address), listing=listing))
        self._send_used_ids()
        self.report_connections()
        self.send(
            messages.encode_message(
                "yours", learnt=messages.encode_learned_state(listener.facade.learned_state())
            )
        )

    def _send_used_ids(self) -> None:
        for message in messages.encode_ended(self._listener.ids.all()):
            self.send(message)

    def _report_used(self, connection_id: str) -> None:
        """Send the peer an id before its request goes anywhere: the client may leave and come to the peer.

        Left out while the peer stalls for so long that the messages pile up."""
        if self._channel.waiting < MAX_WAITING_REPORTS:
            self.send(messages.encode_message("ended", ids=[connection_id]))

    def report_connections(self) -> None:
        """Send the peer what has changed among this process's connections since the last report."""
        sessions, reported = self._listener.sessions, self._reported
        # The server of each connection; empty until one is chosen.
        current_servers = {
            connection_id: session.current_server for connection_id, session in sessions.items()
        }
        ended_ids = [
            connection_id
            for connection_id, server_name in reported.items()
            if current_servers.get(connection_id) != server_name
        ]
        placed_ids = [
            connection_id
            for connection_id, server_name in current_servers.items()
            if server_name and reported.get(connection_id) != server_name
        ]
        newly_placed = [
            held
            for connection_id in placed_ids
            if (held := sessions[connection_id].handover_record()) is not None
        ]
        for message in messages.encode_ended(ended_ids):
            self.send(message)
        self._report_sent(time.monotonic())
        for message in messages.encode_held(newly_placed):
            self.send(message)
        for connection_id in ended_ids:
            del reported[connection_id]
        reported.update((held.id, held.server) for held in newly_placed)
        with contextlib.suppress(OSError):  # the receiving side notices that the peer has ended
            self._channel.flush()

    def _report_sent(self, now: float) -> None:
        """Send the peer what this process has sent to cold servers.

        Otherwise the peer would spend the same budget of a cold server again, and both would overload it."""
        if self.right_state is None or now - self._sent_reported_at < SENT_REPORT_INTERVAL_S:
            return
        self._sent_reported_at = now
        sent_here = {
            (server_state.server, *sent)
            for server_state in self._listener.facade.learned_state().servers
            for sent in server_state.sent
        }
        new = [entry for entry in sorted(sent_here - self._known_sent) if math.isfinite(entry[2])]
        self._known_sent = sent_here
        if new:
            self.send(messages.encode_message("sent", servers=new))

    def _merge_sent(self, reported: list[tuple[str, float, float]]) -> None:
        learned_state = self._listener.facade.learned_state()
        sent_by_server: dict[str, set[tuple[float, float]]] = {}
        for server_name, sent_at, sent_load in reported:
            sent_by_server.setdefault(server_name, set()).add((sent_at, sent_load))
        servers = tuple(
            server_state._replace(
                sent=tuple(sorted(sent_by_server[server_state.server].union(server_state.sent)))
            )
            if server_state.server in sent_by_server
            else server_state
            for server_state in learned_state.servers
        )
        self._known_sent.update(reported)
        self._listener.facade.restore_learned_state(
            self._listener.clock(), learned_state._replace(servers=servers)
        )

    def all_sent(self) -> bool:
        """Send what still waits; return whether the peer has been sent everything, or has ended.

        Connections that are passed on faster than the peer receives them wait in the channel, and would be
        cut off if this process ended before."""
        try:
            return self._channel.flush()
        except OSError:
            return True

    async def wait_for_room(self) -> bool:
        """Wait up to a heartbeat interval until more connections may be passed on; return whether they may.

        A connection on its way to a process that stalls is served by nobody until that process wakes."""
        if self.right_state is None:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                while self._unconfirmed >= MAX_UNCONFIRMED:
                    self._confirmed.clear()
                    await self._confirmed.wait()
        return self._unconfirmed < MAX_UNCONFIRMED

    def pass_on(
        self, passed: messages.PassedConnection, client: socket.socket, server: socket.socket
    ) -> bool:
        """Send the peer an established connection with its sockets; return whether that was possible.

        The connection is removed from those that were reported to the peer: otherwise it would be reported as
        ended to the peer that now serves it."""
        if not self.can_receive_connections:
            return False
        try:
            self._channel.send(messages.encode_passed(passed), client.dup(), server.dup())
        except OSError as error:
            logger.warning("can't pass a connection on to the new process: {}", error)
            return False
        self._unconfirmed += 1
        self._reported.pop(passed.held.id, None)
        return True
