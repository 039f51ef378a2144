"""Polls a balancer's management address for its figures while a test load runs on its client port.

The poller can hold idle connections to the management address meanwhile: clients that connect and never
complete a request, as a stuck or hostile caller would. It runs in threads of its own: in the event loop of
the lab's clients or servers, their scheduling delay would be measured as the balancer's response time.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

from hdrh.histogram import HdrHistogram

POLL_INTERVAL_S = 0.05  # from the response to one request until the next request
RESPONSE_DUE_S = 1.0  # a response that takes longer counts as late
SOCKET_TIMEOUT_S = 5.0  # for connecting and for each read; after that the request counts as wrong
STATS_REQUEST = b"GET /stats HTTP/1.1\r\nHost: balancer\r\n\r\n"


class StatsPoller:
    """Requests `/stats` over and over, with a number of idle connections to the same address beside it."""

    def __init__(self, address: tuple[str, int], idle_connections: int) -> None:
        self._address, self._idle_connections = address, idle_connections
        self._response_times = HdrHistogram(1, 60_000_000, 3)  # microseconds, three significant digits
        self._requests = self._wrong = self._late = 0
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._poll, daemon=True)]
        if idle_connections:
            self._threads.append(threading.Thread(target=self._hold_idle_connections, daemon=True))

    def start(self) -> None:
        """Start the threads that poll and that hold the idle connections."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> dict[str, Any]:
        """Stop the threads; return how many requests were sent, late or wrong, and the response times."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * SOCKET_TIMEOUT_S)
        return {
            "calls": self._requests,
            "calls_late": self._late,
            "calls_wrong": self._wrong,
            "call_p50_ms": self._response_times.get_value_at_percentile(50) / 1000,
            "call_p99_ms": self._response_times.get_value_at_percentile(99) / 1000,
            "call_worst_ms": self._response_times.get_max_value() / 1000,
        }

    def _poll(self) -> None:
        """Request the figures one by one until stopped. An incomplete response counts as wrong."""
        while not self._stopped.wait(POLL_INTERVAL_S):
            self._requests += 1
            sent_at = time.perf_counter()
            try:
                with socket.create_connection(self._address, SOCKET_TIMEOUT_S) as sock:
                    sock.sendall(STATS_REQUEST)
                    response = b""
                    while chunk := sock.recv(65536):
                        response += chunk
            except OSError:
                response = b""
            response_time = time.perf_counter() - sent_at
            self._response_times.record_value(max(1, int(response_time * 1e6)))
            self._late += response_time > RESPONSE_DUE_S
            self._wrong += not (response.startswith(b"HTTP/1.1 200 ") and response.endswith(b"|g\n"))

    def _hold_idle_connections(self) -> None:
        """Keep the idle connections open until stopped, and replace each one that the balancer closes.

        Every second connection has sent the beginning of a request, the others nothing."""
        connections: list[socket.socket] = []
        opened = 0
        while not self._stopped.wait(POLL_INTERVAL_S / 5):
            for sock in list(connections):
                with contextlib.suppress(BlockingIOError):
                    try:
                        closed = not sock.recv(1)
                    except ConnectionError:
                        closed = True
                    if closed:
                        sock.close()
                        connections.remove(sock)
            with contextlib.suppress(OSError):
                while len(connections) < self._idle_connections:
                    sock = socket.create_connection(self._address, SOCKET_TIMEOUT_S)
                    sock.setblocking(False)
                    connections.append(sock)
                    opened += 1
                    if opened % 2:
                        sock.send(STATS_REQUEST[: opened % 20 + 1])
        for sock in connections:
            sock.close()
