"""What passes between balancers, and what goes wrong with it: every datagram and every connection.

Owns: an address for each balancer that the others know instead of its own, and how each link is, one way.
Must never: pass a byte where a link is cut, or let a balancer learn another's own address.

A balancer sends from its own address, which nobody else is told; so whoever arrives at the address that
stands for B from the address of A is on the link from A to B.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

PIECE = 65536
SILENT = 30.0  # seconds that a connection on a cut link stays open and silent


@dataclass(frozen=True, slots=True)
class Link:
    """How one way from one balancer to another is."""

    cut: bool = False
    loss: float = 0.0  # part of the datagrams
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # seconds, at most, beside the delay: what overtakes is reordered
    double: float = 0.0  # part of the datagrams that come twice, the second after the jitter
    corrupt: float = 0.0  # part of the datagrams, and of the connections' pieces, with a byte changed
    narrow: int = 0  # bytes that a datagram may have
    hold: bool = False  # connections stay open and nothing passes; datagrams do


class LinkProxy:
    """All links."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(f"between/{seed}")
        self._links: dict[tuple[str, str], Link] = {}
        self._names: dict[str, str] = {}  # balancers' own hosts
        self._places: dict[str, tuple[str, int]] = {}  # their own addresses
        self._udp: dict[str, socket.socket] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.forwarded_bytes: Counter[tuple[str, str]] = Counter()  # bytes
        self.dropped_bytes: Counter[tuple[str, str]] = Counter()  # bytes

    async def add(self, name: str, own: tuple[str, int], stands: tuple[str, int]) -> None:
        """A balancer at its own address, and the one that stands for it."""
        loop = asyncio.get_running_loop()
        self._names[own[0]] = name
        self._places[name] = own
        sock = self._udp[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(stands)
        loop.add_reader(sock, self._datagrams, name, sock)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._connection(name, reader, writer)

        self._servers.append(await asyncio.start_server(serve, *stands))

    def close(self) -> None:
        """The end of it all."""
        loop = asyncio.get_running_loop()
        for sock in self._udp.values():
            loop.remove_reader(sock)
            sock.close()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def link(self, sender: str, to: str) -> Link:
        """How it is."""
        return self._links.get((sender, to), Link())

    def change(self, senders: list[str], to: list[str], **how: object) -> None:
        """From each of these to each of those, one way."""
        for sender in senders:
            for each in to:
                if sender != each:
                    self._links[sender, each] = replace(self.link(sender, each), **how)  # type: ignore[arg-type]

    def heal(self) -> None:
        """All is well."""
        self._links.clear()

    def _spoilt(self, data: bytes, link: Link) -> bytes:
        if self._rng.random() >= link.corrupt or not data:
            return data
        at = self._rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ (1 << self._rng.randrange(8))]) + data[at + 1 :]

    def _datagrams(self, to: str, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, (host, _) = sock.recvfrom(PIECE)
            except OSError:
                return
            sender = self._names.get(host, "?")
            link = self.link(sender, to)
            narrow = link.narrow and len(data) > link.narrow
            if sender == "?" or link.cut or narrow or self._rng.random() < link.loss:
                self.dropped_bytes[sender, to] += len(data)
                continue
            again = self._rng.random() < link.double
            for _ in range(2 if again else 1):
                wait = link.delay + self._rng.random() * link.jitter
                spoilt = self._spoilt(data, link)
                if wait > 0:
                    loop.call_later(wait, self._pass, sender, to, sock, spoilt)
                else:
                    self._pass(sender, to, sock, spoilt)

    def _pass(self, sender: str, to: str, sock: socket.socket, data: bytes) -> None:
        if self.link(sender, to).cut:  # what was under way when it was cut
            self.dropped_bytes[sender, to] += len(data)
            return
        with contextlib.suppress(OSError):
            sock.sendto(data, self._places[to])
            self.forwarded_bytes[sender, to] += len(data)

    async def _connection(self, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        sender = self._names.get(writer.get_extra_info("peername")[0], "?")
        onward: asyncio.StreamWriter | None = None
        with contextlib.suppress(OSError, asyncio.CancelledError, TimeoutError):
            async with asyncio.timeout(SILENT):
                if sender == "?" or self._stuck(sender, to) or self._stuck(to, sender):
                    await asyncio.sleep(SILENT)  # no answer, as a lost hand-shake has none
                back, onward = await asyncio.open_connection(*self._places[to])
                await asyncio.gather(
                    self._pump(sender, to, reader, onward), self._pump(to, sender, back, writer)
                )
        for each in (writer, onward):
            if each is not None:
                each.close()

    def _stuck(self, sender: str, to: str) -> bool:
        link = self.link(sender, to)
        return link.cut or link.hold

    async def _pump(
        self, sender: str, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(PIECE):
            link = self.link(sender, to)
            if link.delay:
                await asyncio.sleep(link.delay)
            while self._stuck(sender, to):
                await asyncio.sleep(0.02)
            writer.write(self._spoilt(data, link))
            await writer.drain()
            self.forwarded_bytes[sender, to] += len(data)
        while self._stuck(sender, to):
            await asyncio.sleep(0.02)
        writer.write_eof()
