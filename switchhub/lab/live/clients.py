"""The clients of a live run and the front that deals them out, in one process.

Owns: every client's connection and the front's view of the balancers. Must never: help a balancer; what it
says is recorded as it came.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab.fake_server import server_specs
from switchhub.lab.live.lab_process import LabProcess, Plan, reset_transport, run, say
from switchhub.lab.model import IMMEDIATE_ANSWER_MAX_S, STOP_DISPATCH_DELAY_S
from switchhub.lab.population import Client, Dispatcher, RetryPolicy, arriving_clients, initial_clients
from switchhub.lab.timeline import FOREVER, Interval

PING_EVERY, READY_WITHIN, STAND_WITHIN = 0.1, 20.0, 30.0
LISTENS = 2.0  # seconds that a client that has given up still listens
AT_ONCE = 100  # connections of before the start that are set up at a time


class Link(asyncio.Protocol):
    """One connection to a balancer."""

    def __init__(self, host: Clients, client: Client, name: str, server: str = "") -> None:
        self.host, self.client, self.name, self.server = host, client, name, server
        self.transport: Any = None
        self.opened = 0.0
        self.answer = ""
        self.over = False  # moved, or left by the client
        self.sent: dict[int, float] = {}
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Write the first line."""
        self.transport = transport
        client, spec = self.client, self.host.scenario
        kind = spec.classes[client.class_index]
        values = [f"c={kind.name}", f"t={spec.tenants[client.tenant].name}", f"d={kind.deadline_ms:.0f}"]
        if client.hint is not None:
            values.append(f"h={client.hint:.0f}")
        if client.group is not None:
            values.append(f"g={client.group}")
        if client.returning:
            values.append("again=1")
        if client.retried and spec.clients.marks_retries:
            values.append("r=1")
        if self.server:
            values.append(f"at={self.server}")
            self.host.record("adopted", self.name, f"b{client.balancer}", client.class_index, self.server)
        else:
            self.opened = self.host.now()
            self.host.record(
                "opened", self.name, f"b{client.balancer}", client.class_index, kind.deadline_ms / 1000
            )
        transport.write(f"OPEN {self.name} {client.flow_key} {','.join(values)}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Lines from the balancer."""
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._line(line.decode(errors="replace"))

    def _line(self, line: str) -> None:
        host, word = self.host, line.partition(" ")[0]
        if not self.answer or word in ("UP", "BUSY", "FAILED"):
            if not self.server:
                host.record(
                    "answered", self.name, line, round(host.now() - self.opened, 6), self.client.class_index
                )
            if not self.answer:
                self.answer = line
                host.answered(self, line)
        elif word == "MOVE":
            self.over = True
            host.record("moved", self.name)
            host.broke(self, "clients.moved")
        elif word == "M":
            number = int(line.split(" ")[1])
            sent = self.sent.pop(number, None)
            took = host.now() - sent if sent is not None else -1.0
            host.record(
                "back", self.name, number, round(took, 6), self.client.class_index, round(sent or 0.0, 6)
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        if not self.over:
            self.over = True
            self.host.record("ended", self.name)
            self.host.broke(self, "clients.broken")

    def leave(self, abruptly: bool = False) -> None:
        """End it, as clients do."""
        if not self.over and self.transport is not None:
            self.over = True
            self.host.record("left", self.name)
            if abruptly:
                reset_transport(self.transport)
            else:
                self.transport.close()


class Pinger(asyncio.Protocol):
    """The front's question to a balancer that was gone."""

    def __init__(self) -> None:
        self.answered = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        """Ask."""
        transport.write(b"PING\r\n")

    def data_received(self, data: bytes) -> None:
        """`PONG`, one hopes."""
        if not self.answered.done():
            self.answered.set_result(data == b"PONG\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        """No answer."""
        if not self.answered.done():
            self.answered.set_result(False)


class Clients(LabProcess):
    """All clients of the scenario."""

    def __init__(self, plan: Plan, records: Path) -> None:
        super().__init__(plan, records)
        self.front, self._patience = Dispatcher(self.scenario), RetryPolicy(self.scenario, plan.seed)
        self._every = self.scenario.clients.message_every_s
        self._links: dict[int, Link] = {}  # by client
        self._names = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._first = initial_clients(self.scenario, plan.seed)
        self._stood = 0

    def task(self, work: Any) -> None:
        """Have it done beside; a defect in it ends the process."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self) -> None:
        """Wait for all balancers, set up what stood before, then say so."""
        async with asyncio.timeout(READY_WITHIN):
            for index in range(self.scenario.balancers.count):
                await self._answers(index)
        names = [each.name for each in server_specs(self.scenario)]
        for number, client in enumerate(self._first):
            client.balancer = client.index % self.scenario.balancers.count
            self.task(self._connect(client, names[number % len(names)]))
            if number % AT_ONCE == 0:
                await self._settled(number - AT_ONCE)
        await self._settled(len(self._first))
        say("ready")

    async def _settled(self, count: int) -> None:
        async with asyncio.timeout(STAND_WITHIN):
            while self._stood < count:
                await asyncio.sleep(0.01)

    async def _answers(self, index: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout(1.0):
                    transport, pinger = await loop.create_connection(
                        Pinger, self.plan.host, self.plan.balancers[index]
                    )
                    good = await pinger.answered
                    transport.close()
                    if good:
                        return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(PING_EVERY)

    def begin(self) -> None:
        """Arrivals, messages, and what troubles clients and fronts."""
        for client in self._first:
            self._wants(client)
        self._come(arriving_clients(self.scenario, self.timeline, self.plan.seed, len(self._first)))
        for each in self.timeline.with_effects("drop"):
            self.at(each.start, self._drop, each.value)
        for each in self.timeline.with_effects("balancer-die", "balancer-restart"):
            notice = (
                STOP_DISPATCH_DELAY_S
                if each.effect == "balancer-restart"
                else self.scenario.balancers.front_notice_s
            )
            self.at(each.start + notice, self._out, each)

    def _out(self, each: Interval) -> None:
        index = int(each.target[1:])
        self.front.remove(index)
        if each.end < FOREVER:
            self.task(self._back(index, each))

    async def _back(self, index: int, each: Interval) -> None:
        if each.effect == "balancer-restart":
            await asyncio.sleep(STOPPED_AFTER)  # the old process still answers
        else:
            await asyncio.sleep(max(0.0, each.end - self.now()))
        await self._answers(index)
        self.front.restore(index)

    def _come(self, clients: Iterator[Client]) -> None:
        client = next(clients, None)
        if client is not None:
            self.at(client.arrives_at, self._comes, client, clients)

    def _comes(self, client: Client, clients: Iterator[Client]) -> None:
        self._wants(client)
        self._open(client)
        self._come(clients)

    def _wants(self, client: Client) -> None:
        client.next_message_at = client.arrives_at + client.message_phase
        self.at(client.next_message_at, self._message, client)
        self.at(client.leaves_at, self._leave, client)

    def _message(self, client: Client) -> None:
        if client.leaves_at <= self.now() or self.now() >= self.scenario.seconds:
            return
        self.record("wanted", client.class_index)
        client.next_message_at += self._every
        self.at(client.next_message_at, self._message, client)
        link = self._links.get(client.index)
        if client.is_up and link is not None and not link.over:
            client.lines_sent += 1
            link.sent[client.lines_sent] = self.now()
            link.transport.write(f"M {client.lines_sent}\r\n".encode())

    def _open(self, client: Client) -> None:
        if self.now() >= min(client.leaves_at, self.scenario.seconds):
            return
        client.balancer = self.front.next_balancer()
        if client.balancer < 0:
            self.record("event", "clients.no_balancer")
            self.at(self.now() + self._patience.delay_after_disconnect(client), self._open, client)
            return
        again = "opens.again" if client.returning else "opens.retry" if client.failed_tries else "opens"
        self.record("event", again)
        self.task(self._connect(client))

    async def _connect(self, client: Client, server: str = "") -> None:
        self._names += 1
        client.is_up, client.lines_sent = False, 0
        link = Link(self, client, f"{self._names:016x}", server)
        self._links[client.index] = link
        wait = self.scenario.classes[client.class_index].deadline_ms / 1000
        try:
            async with asyncio.timeout(wait):
                await asyncio.get_running_loop().create_connection(
                    lambda: link, self.plan.host, self.plan.balancers[client.balancer]
                )
        except (OSError, TimeoutError):
            link.over = True
            self.record("event", "clients.no_balancer")
            self.at(self.now() + self._patience.delay_after_disconnect(client), self._open, client)
            return
        if not server:
            self.at(self.now() + wait + IMMEDIATE_ANSWER_MAX_S, self._gives_up, client, link)

    def _gives_up(self, client: Client, link: Link) -> None:
        if link.answer or link.over or self._links.get(client.index) is not link:
            return
        self.record("event", "clients.gave_up")
        self._links.pop(client.index, None)
        self._again(client, self._patience.delay_after_answer(client, True))
        self.at(self.now() + LISTENS, link.leave)

    def answered(self, link: Link, line: str) -> None:
        """A final answer."""
        client = link.client
        if link.server:
            self._stood += 1
        if self._links.get(client.index) is not link:
            return link.leave()
        word, _, rest = line.partition(" ")
        if word == "UP":
            client.is_up, client.failed_tries, client.returning, client.retried = True, 0, False, False
            if self.now() >= client.leaves_at:
                self._leave(client)
            return
        link.leave()
        after = float(rest) if rest.replace(".", "").isdigit() else 0.0
        self._again(client, self._patience.delay_after_answer(client, word != "BUSY", after))

    def broke(self, link: Link, how: str) -> None:
        """Moved, or ended without the client's doing."""
        if link.transport is not None:
            link.transport.close()
        client = link.client
        if self._links.get(client.index) is link:
            self.record("event", how)
            self._again(client, self._patience.delay_after_disconnect(client))

    def _again(self, client: Client, wait: float | None) -> None:
        self._links.pop(client.index, None)
        client.is_up = False
        if wait is None:
            self.record("event", "clients.out_of_patience")
        else:
            self.at(self.now() + wait, self._open, client)

    def _leave(self, client: Client) -> None:
        link = self._links.get(client.index)
        if client.is_up and link is not None and self.now() >= client.leaves_at - 0.001:
            client.is_up = False
            del self._links[client.index]
            link.leave()

    def _drop(self, part: float) -> None:
        rng = Random(f"{self.plan.seed}/drop")
        for client_index in sorted(self._links):
            link = self._links[client_index]
            if link.client.is_up and rng.random() < part:
                link.leave(abruptly=True)
                self.record("event", "clients.dropped")
                self._again(link.client, self._patience.delay_after_disconnect(link.client))


STOPPED_AFTER = 4.5  # seconds after SIGTERM at which the old process is gone for sure


if __name__ == "__main__":
    run(Clients, Clients.serve)
