"""The clients of a live run and the dispatcher that assigns them to balancers, all in one process.

The dispatcher sees a balancer only from outside: its scheduled stops and its answers to `PING`. What
balancers send to clients is recorded as it arrived.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab.fake_server import server_specs
from switchhub.lab.live.lab_process import LabProcess, Plan, notify_runner, reset_transport, run
from switchhub.lab.model import IMMEDIATE_ANSWER_MAX_S, STOP_DISPATCH_DELAY_S
from switchhub.lab.population import Client, Dispatcher, RetryPolicy, arriving_clients, initial_clients
from switchhub.lab.timeline import FOREVER, Interval

PING_INTERVAL_S = 0.1
READY_TIMEOUT_S = 20.0  # for all balancers to answer `PING` with `PONG`
INITIAL_SETUP_TIMEOUT_S = 30.0  # for each batch of connections that are open when the run starts
LISTEN_AFTER_GIVING_UP_S = 2.0  # a client that has given up still reads, so that late answers are recorded
INITIAL_SETUP_BATCH = 100  # connections per batch that are set up before the run starts


class ClientConnection(asyncio.Protocol):
    """One connection from a client to a balancer."""

    def __init__(self, process: ClientsProcess, client: Client, name: str, server: str = "") -> None:
        """`server` is set for a connection that is open when the run starts: the server that holds it."""
        self.process, self.client, self.name, self.server = process, client, name, server
        self.transport: Any = None
        self.opened_at = 0.0
        self.answer = ""  # the first line from the balancer
        self.closed = False  # moved, lost, or closed by the client
        self.send_times: dict[int, float] = {}  # of unanswered messages, by message number
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Send the first line."""
        self.transport = transport
        client, scenario = self.client, self.process.scenario
        connection_class = scenario.classes[client.class_index]
        fields = [
            f"c={connection_class.name}",
            f"t={scenario.tenants[client.tenant].name}",
            f"d={connection_class.deadline_ms:.0f}",
        ]
        if client.hint is not None:
            fields.append(f"h={client.hint:.0f}")
        if client.group is not None:
            fields.append(f"g={client.group}")
        if client.returning:
            fields.append("again=1")
        if client.retried and scenario.clients.marks_retries:
            fields.append("r=1")
        if self.server:
            fields.append(f"at={self.server}")
            self.process.record(
                "adopted", self.name, f"b{client.balancer_index}", client.class_index, self.server
            )
        else:
            self.opened_at = self.process.now()
            self.process.record(
                "opened",
                self.name,
                f"b{client.balancer_index}",
                client.class_index,
                connection_class.deadline_ms / 1000,
            )
        transport.write(f"OPEN {self.name} {client.flow_key} {','.join(fields)}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Handle the complete lines from the balancer."""
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._handle_line(line.decode(errors="replace"))

    def _handle_line(self, line: str) -> None:
        process, keyword = self.process, line.partition(" ")[0]
        if not self.answer or keyword in ("UP", "BUSY", "FAILED"):
            if not self.server:
                process.record(
                    "answered",
                    self.name,
                    line,
                    round(process.now() - self.opened_at, 6),
                    self.client.class_index,
                )
            if not self.answer:
                self.answer = line
                process.handle_answer(self, line)
        elif keyword == "MOVE":
            self.closed = True
            process.record("moved", self.name)
            process.handle_disconnect(self, "clients.moved")
        elif keyword == "M":
            number = int(line.split(" ")[1])
            sent_at = self.send_times.pop(number, None)
            round_trip_s = process.now() - sent_at if sent_at is not None else -1.0
            process.record(
                "back",
                self.name,
                number,
                round(round_trip_s, 6),
                self.client.class_index,
                round(sent_at or 0.0, 6),
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection unless it was moved or closed by the client."""
        if not self.closed:
            self.closed = True
            self.process.record("ended", self.name)
            self.process.handle_disconnect(self, "clients.broken")

    def close_connection(self, abruptly: bool = False) -> None:
        """Close the connection from the client's side, with a TCP reset if `abruptly`."""
        if not self.closed and self.transport is not None:
            self.closed = True
            self.process.record("left", self.name)
            if abruptly:
                reset_transport(self.transport)
            else:
                self.transport.close()


class PingConnection(asyncio.Protocol):
    """A connection that sends one `PING` to a balancer."""

    def __init__(self) -> None:
        self.got_pong = asyncio.get_running_loop().create_future()  # whether the answer was `PONG`

    def connection_made(self, transport: Any) -> None:
        """Send `PING`."""
        transport.write(b"PING\r\n")

    def data_received(self, data: bytes) -> None:
        """Set the result: whether the answer is `PONG`."""
        if not self.got_pong.done():
            self.got_pong.set_result(data == b"PONG\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        """Set the result to false if no answer came."""
        if not self.got_pong.done():
            self.got_pong.set_result(False)


class ClientsProcess(LabProcess):
    """All clients of the scenario."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.dispatcher, self._retry_policy = Dispatcher(self.scenario), RetryPolicy(self.scenario, plan.seed)
        self._message_interval_s = self.scenario.clients.message_every_s
        self._connections: dict[int, ClientConnection] = {}  # by client index
        self._connection_count = 0  # connections opened so far; gives each its name
        self._tasks: set[asyncio.Task[None]] = set()
        self._initial_clients = initial_clients(self.scenario, plan.seed)
        self._initial_clients_answered = 0

    def start_task(self, work: Any) -> None:
        """Run a coroutine as a background task; a reference is held until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self) -> None:
        """Wait for all balancers, set up the connections that are open at the start, then report ready.

        `TimeoutError` is raised if a balancer or a batch of connections is not ready in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for index in range(self.scenario.balancers.count):
                await self._wait_for_pong(index)
        names = [each.name for each in server_specs(self.scenario)]
        for number, client in enumerate(self._initial_clients):
            client.balancer_index = client.index % self.scenario.balancers.count
            self.start_task(self._connect(client, names[number % len(names)]))
            if number % INITIAL_SETUP_BATCH == 0:
                await self._wait_for_initial_clients(number - INITIAL_SETUP_BATCH)
        await self._wait_for_initial_clients(len(self._initial_clients))
        notify_runner("ready")

    async def _wait_for_initial_clients(self, count: int) -> None:
        async with asyncio.timeout(INITIAL_SETUP_TIMEOUT_S):
            while self._initial_clients_answered < count:
                await asyncio.sleep(0.01)

    async def _wait_for_pong(self, balancer: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(1.0):
                    transport, ping = await loop.create_connection(
                        PingConnection, self.plan.host, self.plan.balancers[balancer]
                    )
                    is_pong = await ping.got_pong
                    transport.close()
                    if is_pong:
                        return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(PING_INTERVAL_S)

    def begin(self) -> None:
        """Schedule the arrivals, the messages, and the troubles of clients and dispatcher."""
        for client in self._initial_clients:
            self._schedule_session(client)
        self._schedule_next_arrival(
            arriving_clients(self.scenario, self.timeline, self.plan.seed, len(self._initial_clients))
        )
        for interval in self.timeline.with_effects("drop"):
            self.schedule(interval.start, self._drop_connections, interval.value)
        for interval in self.timeline.with_effects("balancer-die", "balancer-restart"):
            notice_s = (
                STOP_DISPATCH_DELAY_S
                if interval.effect == "balancer-restart"
                else self.scenario.balancers.front_notice_s
            )
            self.schedule(interval.start + notice_s, self._remove_balancer, interval)

    def _remove_balancer(self, interval: Interval) -> None:
        balancer = int(interval.target[1:])
        self.dispatcher.remove(balancer)
        if interval.end < FOREVER:
            self.start_task(self._restore_balancer(balancer, interval))

    async def _restore_balancer(self, balancer: int, interval: Interval) -> None:
        if interval.effect == "balancer-restart":
            await asyncio.sleep(OLD_BALANCER_STOPPED_AFTER_S)  # until then the old process answers `PING`
        else:
            await asyncio.sleep(max(0.0, interval.end - self.now()))
        await self._wait_for_pong(balancer)
        self.dispatcher.restore(balancer)

    def _schedule_next_arrival(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.schedule(client.arrives_at, self._handle_arrival, client, clients)

    def _handle_arrival(self, client: Client, clients: Iterator[Client]) -> None:
        self._schedule_session(client)
        self._open_connection(client)
        self._schedule_next_arrival(clients)

    def _schedule_session(self, client: Client) -> None:
        client.next_message_at = client.arrives_at + client.message_phase
        self.schedule(client.next_message_at, self._send_message, client)
        self.schedule(client.leaves_at, self._end_session, client)

    def _send_message(self, client: Client) -> None:
        if client.leaves_at <= self.now() or self.now() >= self.scenario.seconds:
            return
        self.record("wanted", client.class_index)
        client.next_message_at += self._message_interval_s
        self.schedule(client.next_message_at, self._send_message, client)
        connection = self._connections.get(client.index)
        if client.is_up and connection is not None and not connection.closed:
            client.lines_sent += 1
            connection.send_times[client.lines_sent] = self.now()
            connection.transport.write(f"M {client.lines_sent}\r\n".encode())

    def _open_connection(self, client: Client) -> None:
        if self.now() >= min(client.leaves_at, self.scenario.seconds):
            return
        client.balancer_index = self.dispatcher.next_balancer()
        if client.balancer_index < 0:
            self.record("event", "clients.no_balancer")
            self.schedule(
                self.now() + self._retry_policy.delay_after_disconnect(client), self._open_connection, client
            )
            return
        event = "opens.again" if client.returning else "opens.retry" if client.failed_tries else "opens"
        self.record("event", event)
        self.start_task(self._connect(client))

    async def _connect(self, client: Client, server: str = "") -> None:
        self._connection_count += 1
        client.is_up, client.lines_sent = False, 0
        connection = ClientConnection(self, client, f"{self._connection_count:016x}", server)
        self._connections[client.index] = connection
        deadline_s = self.scenario.classes[client.class_index].deadline_ms / 1000
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, self.plan.host, self.plan.balancers[client.balancer_index]
                )
        except (OSError, TimeoutError):
            connection.closed = True
            self.record("event", "clients.no_balancer")
            self.schedule(
                self.now() + self._retry_policy.delay_after_disconnect(client), self._open_connection, client
            )
            return
        if not server:
            self.schedule(self.now() + deadline_s + IMMEDIATE_ANSWER_MAX_S, self._give_up, client, connection)

    def _give_up(self, client: Client, connection: ClientConnection) -> None:
        if connection.answer or connection.closed or self._connections.get(client.index) is not connection:
            return
        self.record("event", "clients.gave_up")
        self._connections.pop(client.index, None)
        self._schedule_reconnect(client, self._retry_policy.delay_after_answer(client, True))
        self.schedule(self.now() + LISTEN_AFTER_GIVING_UP_S, connection.close_connection)

    def handle_answer(self, connection: ClientConnection, line: str) -> None:
        """Handle the first line from the balancer: keep an established connection, else close and retry."""
        client = connection.client
        if connection.server:
            self._initial_clients_answered += 1
        if self._connections.get(client.index) is not connection:
            return connection.close_connection()
        keyword, _, argument = line.partition(" ")
        if keyword == "UP":
            client.is_up, client.failed_tries, client.returning, client.retried = True, 0, False, False
            if self.now() >= client.leaves_at:
                self._end_session(client)
            return
        connection.close_connection()
        retry_after_ms = float(argument) if argument.replace(".", "").isdigit() else 0.0
        self._schedule_reconnect(
            client, self._retry_policy.delay_after_answer(client, keyword != "BUSY", retry_after_ms)
        )

    def handle_disconnect(self, connection: ClientConnection, event: str) -> None:
        """Record `event` and reconnect after a connection was moved or was not ended by the client."""
        if connection.transport is not None:
            connection.transport.close()
        client = connection.client
        if self._connections.get(client.index) is connection:
            self.record("event", event)
            self._schedule_reconnect(client, self._retry_policy.delay_after_disconnect(client))

    def _schedule_reconnect(self, client: Client, delay_s: float | None) -> None:
        """Open a new connection after `delay_s`; without a delay the client has no retries left."""
        self._connections.pop(client.index, None)
        client.is_up = False
        if delay_s is None:
            self.record("event", "clients.out_of_patience")
        else:
            self.schedule(self.now() + delay_s, self._open_connection, client)

    def _end_session(self, client: Client) -> None:
        connection = self._connections.get(client.index)
        if client.is_up and connection is not None and self.now() >= client.leaves_at - 0.001:
            client.is_up = False
            del self._connections[client.index]
            connection.close_connection()

    def _drop_connections(self, share: float) -> None:
        rng = Random(f"{self.plan.seed}/drop")
        for client_index in sorted(self._connections):
            connection = self._connections[client_index]
            if connection.client.is_up and rng.random() < share:
                connection.close_connection(abruptly=True)
                self.record("event", "clients.dropped")
                self._schedule_reconnect(
                    connection.client, self._retry_policy.delay_after_disconnect(connection.client)
                )


OLD_BALANCER_STOPPED_AFTER_S = 4.5  # after SIGTERM; by then the old process has ended or been killed


if __name__ == "__main__":
    run(ClientsProcess, ClientsProcess.serve)
