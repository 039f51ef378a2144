"""Run as `python -m switchhub.lab.storm_clients`: opens many client connections to one balancer as fast as
one process can, and prints what each client observed. `lab storm` evaluates it.

Arguments: HOST PORT SOURCE COUNT WAIT_MS START RATE FIRST

    HOST, PORT    the balancer's address
    SOURCE        the local address to connect from
    COUNT         how many connections to open
    WAIT_MS       how long a client waits for an answer; sent as the deadline of its request
    START         when to begin, in seconds on CLOCK_MONOTONIC
    RATE          0: all connections at once, each kept open once it is answered; otherwise connections a
                  second as a Poisson process, each closed once it is answered
    FIRST         number of the first connection, from which ids are made; also the seed of the process

Prints a JSON list with `[sent, answered, outcome, retransmitted]` for each client. Both times are in seconds
on CLOCK_MONOTONIC; `sent` is 0 if the first line was not sent, `answered` is null without an answer.
`outcome` is the first word of the answer, or `unconnected`, `reset`, `ended` or `nothing`. `retransmitted`
tells whether the kernel sent any of the client's segments again.
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
LATE_ANSWER_WINDOW_S = 1.5  # seconds past its wait that a client still reads, so that late answers are seen
CONNECT_BATCH = 50  # connections opened between two polls of the selector
TCP_INFO = struct.Struct("100xI")  # linux/tcp.h: the field total_retrans of tcp_info
LINGER_ZERO = struct.pack("ii", 1, 0)  # l_onoff, l_linger: closing sends a reset


class Client:
    """One connection to the balancer and what was observed on it. Times are in seconds, 0 if it has not
    happened."""

    __slots__ = ("answered_at", "name", "outcome", "retransmitted", "sent_at", "sock")

    def __init__(self, sock: socket.socket, name: str) -> None:
        self.sock, self.name = sock, name
        self.sent_at = self.answered_at = 0.0
        self.outcome = ""
        self.retransmitted = False

    def close(self) -> None:
        """Close the socket with a reset; the retransmissions are read before, while the socket has them."""
        if self.sock.fileno() >= 0:
            self.retransmitted = _was_retransmitted(self)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            self.sock.close()


def _read(client: Client, selector: selectors.BaseSelector, stays_open: bool) -> None:
    """Read from a client's socket; only the first answer counts. An ended connection is unregistered."""
    try:
        data = client.sock.recv(256)
    except BlockingIOError:
        return
    except OSError:
        client.outcome = client.outcome or "reset"
        selector.unregister(client.sock)
        return
    if data and not client.outcome:
        client.answered_at, client.outcome = time.monotonic(), data.split()[0].decode(errors="replace")
        if not stays_open:
            selector.unregister(client.sock)
            client.close()
    elif not data:
        client.outcome = client.outcome or "ended"
        selector.unregister(client.sock)


def _was_retransmitted(client: Client) -> bool:
    """Whether any segment of this client was retransmitted: on loopback, the balancer's accept queue was
    full."""
    try:
        info = client.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        return bool(TCP_INFO.unpack(info)[0])
    except (OSError, struct.error):
        return False


def main() -> None:
    """Open all connections, wait for their answers, and print what each client observed."""
    host, port, source, count, wait_ms, start, rate_text, first = sys.argv[1:]
    total, wait_s, rate = int(count), float(wait_ms) / 1000, float(rate_text)
    rng = Random(first)
    clients: list[Client] = []
    selector = selectors.DefaultSelector()
    time.sleep(max(0.0, float(start) - time.monotonic()))
    next_connect_at, connecting = float(start), 0
    last_sent_at = time.monotonic()
    while (
        len(clients) < total or connecting or time.monotonic() < last_sent_at + wait_s + LATE_ANSWER_WINDOW_S
    ):
        now = time.monotonic()
        for _ in range(CONNECT_BATCH):
            if len(clients) >= total or next_connect_at > now:
                break
            next_connect_at += rng.expovariate(rate) if rate else 0.0
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
            client = Client(sock, f"{int(first) + len(clients):016x}")
            clients.append(client)
            code = sock.connect_ex((host, int(port)))
            if code not in (0, errno.EINPROGRESS):
                client.outcome = "unconnected"
                continue
            connecting += 1
            selector.register(sock, selectors.EVENT_WRITE, client)
        for key, events in selector.select(0 if len(clients) < total else 0.01):
            client = key.data
            if events & selectors.EVENT_WRITE:
                connecting -= 1
                line = f"OPEN {client.name} {client.name} c=c,t=one,d={wait_ms},h=1000\r\n".encode()
                try:
                    client.sock.send(line)
                except OSError:
                    client.outcome = "unconnected"
                    selector.unregister(client.sock)
                    continue
                client.sent_at = last_sent_at = time.monotonic()
                selector.modify(client.sock, selectors.EVENT_READ, client)
            else:
                _read(client, selector, not rate)
        if connecting and now > last_sent_at + 10 and len(clients) == total:
            break  # no connection was established for 10 s: the kernel's accept queue dropped the rest
    results = []
    for client in clients:
        outcome = client.outcome or ("unconnected" if not client.sent_at else "nothing")
        client.close()
        results.append([client.sent_at, client.answered_at or None, outcome, client.retransmitted])
    print(json.dumps(results))


if __name__ == "__main__":
    main()
