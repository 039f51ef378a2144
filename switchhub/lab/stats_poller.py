"""Staff that call a balancer's management address while something else goes on, and callers that say nothing.

Owns: their sockets and one thread. Must never: share an event loop with clients or servers of the lab, whose
own lateness would count as the balancer's.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

from hdrh.histogram import HdrHistogram

EVERY = 0.05  # seconds from one call's answer to the next call
DUE = 1.0  # seconds in which an answer is due
GIVEN_UP = 5.0
CALL = b"GET /stats HTTP/1.1\r\nHost: balancer\r\n\r\n"


class StatsPoller:
    """Calls for the figures, one after the other, beside so many silent callers that always come back."""

    def __init__(self, at: tuple[str, int], silent: int) -> None:
        self._at, self._silent = at, silent
        self._times = HdrHistogram(1, 60_000_000, 3)
        self._calls = self._wrong = self._late = 0
        self._over = threading.Event()
        self._threads = [threading.Thread(target=self._call, daemon=True)]
        if silent:
            self._threads.append(threading.Thread(target=self._stay, daemon=True))

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> dict[str, Any]:
        """End; how long the answers took."""
        self._over.set()
        for thread in self._threads:
            thread.join(2 * GIVEN_UP)
        return {
            "calls": self._calls,
            "calls_late": self._late,
            "calls_wrong": self._wrong,
            "call_p50_ms": self._times.get_value_at_percentile(50) / 1000,
            "call_p99_ms": self._times.get_value_at_percentile(99) / 1000,
            "call_worst_ms": self._times.get_max_value() / 1000,
        }

    def _call(self) -> None:
        while not self._over.wait(EVERY):
            self._calls += 1
            begun = time.perf_counter()
            try:
                with socket.create_connection(self._at, GIVEN_UP) as sock:
                    sock.sendall(CALL)
                    told = b""
                    while piece := sock.recv(65536):
                        told += piece
            except OSError:
                told = b""
            took = time.perf_counter() - begun
            self._times.record_value(max(1, int(took * 1e6)))
            self._late += took > DUE
            self._wrong += not (told.startswith(b"HTTP/1.1 200 ") and told.endswith(b"|g\n"))

    def _stay(self) -> None:
        """Connect, send half a call or nothing, stay; whoever is given up comes again."""
        held: list[socket.socket] = []
        number = 0
        while not self._over.wait(EVERY / 5):
            for sock in list(held):
                with contextlib.suppress(BlockingIOError):
                    try:
                        gone = not sock.recv(1)
                    except ConnectionError:
                        gone = True
                    if gone:
                        sock.close()
                        held.remove(sock)
            with contextlib.suppress(OSError):
                while len(held) < self._silent:
                    sock = socket.create_connection(self._at, GIVEN_UP)
                    sock.setblocking(False)
                    held.append(sock)
                    number += 1
                    if number % 2:
                        sock.send(CALL[: number % 20 + 1])
        for sock in held:
            sock.close()
