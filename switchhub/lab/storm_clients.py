"""Run as `python -m switchhub.lab.storm_clients`: many clients at one balancer, as fast as one process
connects.

Owns: its sockets. Must never: judge; it writes down when each client's last byte went and what came when.

Arguments: HOST PORT SOURCE COUNT WAIT_MS START RATE FIRST. Connections begin at START (CLOCK_MONOTONIC),
all at once if RATE is 0, else as a Poisson process of that rate, each ended once it is answered. Prints a
JSON list of [sent, answered or null, word, whether its bytes had to be sent again].
"""

from __future__ import annotations

import contextlib
import errno
import json
import selectors
import socket
import struct
import sys
import time
from random import Random

IP_BIND_ADDRESS_NO_PORT = 24
LISTENS = 1.5  # seconds past its wait that a client still listens, to hear what comes too late
BATCH = 50  # connects between two looks at what has come
TCP_INFO = struct.Struct("100xI")  # linux/tcp.h: total_retrans of tcp_info
LINGER = struct.pack("ii", 1, 0)


class Client:
    """One connection."""

    __slots__ = ("answered", "dropped", "name", "sent", "sock", "word")

    def __init__(self, sock: socket.socket, name: str) -> None:
        self.sock, self.name = sock, name
        self.sent = self.answered = 0.0
        self.word = ""
        self.dropped = False

    def close(self) -> None:
        """End it with a reset; whether its bytes had to be sent again is asked before."""
        if self.sock.fileno() >= 0:
            self.dropped = _dropped(self)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            self.sock.close()


def _read(client: Client, watch: selectors.BaseSelector, stays: bool) -> None:
    try:
        data = client.sock.recv(256)
    except BlockingIOError:
        return
    except OSError:
        client.word = client.word or "reset"
        watch.unregister(client.sock)
        return
    if data and not client.word:
        client.answered, client.word = time.monotonic(), data.split()[0].decode(errors="replace")
        if not stays:
            watch.unregister(client.sock)
            client.close()
    elif not data:
        client.word = client.word or "ended"
        watch.unregister(client.sock)


def _dropped(client: Client) -> bool:
    """Whether the other machine's accept queue was full: what this client sent had to be sent again."""
    try:
        info = client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        return bool(TCP_INFO.unpack(info)[0])
    except (OSError, struct.error):
        return False


def main() -> None:
    """Play them all."""
    host, port, source, count, wait, start, rate, first = sys.argv[1:]
    total, patience, every = int(count), float(wait) / 1000, float(rate)
    rng = Random(first)
    clients: list[Client] = []
    watch = selectors.DefaultSelector()
    time.sleep(max(0.0, float(start) - time.monotonic()))
    due, pending = float(start), 0
    last = time.monotonic()
    while len(clients) < total or pending or time.monotonic() < last + patience + LISTENS:
        now = time.monotonic()
        for _ in range(BATCH):
            if len(clients) >= total or due > now:
                break
            due += rng.expovariate(every) if every else 0.0
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
            client = Client(sock, f"{int(first) + len(clients):016x}")
            clients.append(client)
            code = sock.connect_ex((host, int(port)))
            if code not in (0, errno.EINPROGRESS):
                client.word = "unconnected"
                continue
            pending += 1
            watch.register(sock, selectors.EVENT_WRITE, client)
        for key, events in watch.select(0 if len(clients) < total else 0.01):
            client = key.data
            if events & selectors.EVENT_WRITE:
                pending -= 1
                line = f"OPEN {client.name} {client.name} c=c,t=one,d={wait},h=1000\r\n".encode()
                try:
                    client.sock.send(line)
                except OSError:
                    client.word = "unconnected"
                    watch.unregister(client.sock)
                    continue
                client.sent = last = time.monotonic()
                watch.modify(client.sock, selectors.EVENT_READ, client)
            else:
                _read(client, watch, not every)
        if pending and now > last + 10 and len(clients) == total:
            break  # what the accept queue has turned away
    found = []
    for client in clients:
        word = client.word or ("unconnected" if not client.sent else "nothing")
        client.close()
        found.append([client.sent, client.answered or None, word, client.dropped])
    print(json.dumps(found))


if __name__ == "__main__":
    main()
