"""Proxies every datagram and connection between balancers, and injects network faults per link.

Each balancer gets an advertised address, owned by the proxy, that the other balancers know instead of its
own. A link is one direction from one balancer to another. A balancer sends from its own host, which no other
balancer knows, so traffic from A's host to B's advertised address belongs to the link from A to B.

The proxy must not forward a byte over a link that is cut, and must not reveal a balancer's own address to
another balancer: traffic to that address would bypass the injected faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from dataclasses import dataclass, replace
from random import Random

READ_SIZE_BYTES = 65536  # largest datagram, and largest chunk of a connection, read at once
CONNECTION_LIFETIME_S = 30.0  # proxied connections are closed after this; on blocked links silent until then


@dataclass(frozen=True, slots=True)
class Link:
    """Condition of one link, that is, of one direction between two balancers."""

    cut: bool = False  # nothing passes
    loss: float = 0.0  # fraction of the datagrams dropped
    delay: float = 0.0  # seconds
    jitter: float = 0.0  # largest random extra delay, in seconds; it reorders datagrams
    double: float = 0.0  # fraction of the datagrams sent twice, each copy with its own jitter
    corrupt: float = 0.0  # fraction of the datagrams, and of the chunks of connections, with one bit flipped
    narrow: int = 0  # largest datagram that passes, in bytes; 0 means no limit
    hold: bool = False  # connections stay open but carry nothing; datagrams still pass


class LinkProxy:
    """The links between all balancers of a run."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(f"between/{seed}")
        self._links: dict[tuple[str, str], Link] = {}  # by sender and receiver; absent: a link without faults
        self._names: dict[str, str] = {}  # balancer name by its own host
        self._own_addresses: dict[str, tuple[str, int]] = {}  # by balancer name
        self._udp: dict[str, socket.socket] = {}  # sockets at the advertised addresses, by balancer name
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.forwarded_bytes: Counter[tuple[str, str]] = Counter()  # by sender and receiver
        self.dropped_bytes: Counter[tuple[str, str]] = Counter()  # of datagrams, by sender and receiver

    async def add(self, name: str, own_address: tuple[str, int], advertised_address: tuple[str, int]) -> None:
        """Listen at the advertised address of a balancer, and forward from there to its own address."""
        loop = asyncio.get_running_loop()
        self._names[own_address[0]] = name
        self._own_addresses[name] = own_address
        sock = self._udp[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(advertised_address)
        loop.add_reader(sock, self._on_datagrams_readable, name, sock)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._proxy_connection(name, reader, writer)

        self._servers.append(await asyncio.start_server(serve, *advertised_address))

    def close(self) -> None:
        """Close all sockets and cancel all proxied connections."""
        loop = asyncio.get_running_loop()
        for sock in self._udp.values():
            loop.remove_reader(sock)
            sock.close()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def link(self, sender: str, receiver: str) -> Link:
        """Return the condition of the link from `sender` to `receiver`."""
        return self._links.get((sender, receiver), Link())

    def update_links(self, senders: list[str], receivers: list[str], **changes: object) -> None:
        """Set fields of `Link` on the links from each sender to each receiver, in this direction only."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self._links[sender, receiver] = replace(self.link(sender, receiver), **changes)  # type: ignore[arg-type]

    def reset_links(self) -> None:
        """Remove all faults from all links."""
        self._links.clear()

    def _corrupt_at_random(self, data: bytes, link: Link) -> bytes:
        """Flip one random bit with the link's probability; otherwise return `data` as it is."""
        if self._rng.random() >= link.corrupt or not data:
            return data
        at = self._rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ (1 << self._rng.randrange(8))]) + data[at + 1 :]

    def _on_datagrams_readable(self, receiver: str, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, (host, _) = sock.recvfrom(READ_SIZE_BYTES)
            except OSError:
                return
            sender = self._names.get(host, "?")
            link = self.link(sender, receiver)
            too_large = link.narrow and len(data) > link.narrow
            if sender == "?" or link.cut or too_large or self._rng.random() < link.loss:
                self.dropped_bytes[sender, receiver] += len(data)
                continue
            duplicated = self._rng.random() < link.double
            for _ in range(2 if duplicated else 1):
                total_delay = link.delay + self._rng.random() * link.jitter
                payload = self._corrupt_at_random(data, link)
                if total_delay > 0:
                    loop.call_later(total_delay, self._forward_datagram, sender, receiver, sock, payload)
                else:
                    self._forward_datagram(sender, receiver, sock, payload)

    def _forward_datagram(self, sender: str, receiver: str, sock: socket.socket, data: bytes) -> None:
        if self.link(sender, receiver).cut:  # cut while this datagram was delayed
            self.dropped_bytes[sender, receiver] += len(data)
            return
        with contextlib.suppress(OSError):
            sock.sendto(data, self._own_addresses[receiver])
            self.forwarded_bytes[sender, receiver] += len(data)

    async def _proxy_connection(
        self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        sender = self._names.get(writer.get_extra_info("peername")[0], "?")
        onward: asyncio.StreamWriter | None = None
        with contextlib.suppress(OSError, asyncio.CancelledError, TimeoutError):
            async with asyncio.timeout(CONNECTION_LIFETIME_S):
                if sender == "?" or self._is_blocked(sender, receiver) or self._is_blocked(receiver, sender):
                    await asyncio.sleep(CONNECTION_LIFETIME_S)  # no reply, as after a lost TCP handshake
                back, onward = await asyncio.open_connection(*self._own_addresses[receiver])
                await asyncio.gather(
                    self._copy_stream(sender, receiver, reader, onward),
                    self._copy_stream(receiver, sender, back, writer),
                )
        for each in (writer, onward):
            if each is not None:
                each.close()

    def _is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether connections carry nothing on this link."""
        link = self.link(sender, receiver)
        return link.cut or link.hold

    async def _copy_stream(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction of a connection until its end, pausing while the link is blocked."""
        while data := await reader.read(READ_SIZE_BYTES):
            link = self.link(sender, receiver)
            if link.delay:
                await asyncio.sleep(link.delay)
            while self._is_blocked(sender, receiver):
                await asyncio.sleep(0.02)
            writer.write(self._corrupt_at_random(data, link))
            await writer.drain()
            self.forwarded_bytes[sender, receiver] += len(data)
        while self._is_blocked(sender, receiver):
            await asyncio.sleep(0.02)
        writer.write_eof()
