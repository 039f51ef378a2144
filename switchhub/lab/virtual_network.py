"""Pure parts in virtual time: their messages through a network that loses, delays and cuts.

Owns: the heap of what is under way. Must never: decide anything for a part. The same seed gives the same
events, byte for byte.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from switchhub.membership.messages import FullState
from switchhub.peers.codec import MAX_DATAGRAM_BYTES, pack

LATENCY = 0.0005  # seconds one way at the median
CONNECT = 3  # ways that a connection costs


class Node(Protocol):
    """Messages and the time in; messages and a deadline out."""

    out: list[Any]

    def turn(self, now: float) -> None:
        """Do what is due."""
        ...

    def receive(self, now: float, message: Any) -> None:
        """Somebody says something."""
        ...

    def deadline(self) -> float:
        """When `turn` is due."""
        ...


NodeT = TypeVar("NodeT", bound=Node)


class VirtualNetwork(Generic[NodeT]):
    """Parts by their keys; the address of each is `a-KEY`."""

    def __init__(self, rng: Random, loss: float = 0.0, stall_max_s: float = 1.0) -> None:
        self.now = 0.0
        self.rng, self.loss, self.stall_max_s = rng, loss, stall_max_s
        self.datagrams_sent = self.datagram_bytes = self.full_state_bytes = 0
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.down: set[str] = set()
        self.clock_rates: dict[str, float] = {}  # how fast a clock runs
        self.nodes: dict[str, NodeT] = {}
        self._paused_until: dict[str, float] = {}  # until when one stands still
        self._heap: list[tuple[float, int, str, str, Any]] = []
        self._order = 0
        self._wakeups: dict[str, float] = {}

    def local_time(self, key: str) -> float:
        """The time by its clock."""
        return self.now * self.clock_rates.get(key, 1.0)

    def _schedule(self, delay: float, to: str, sender: str, message: Any) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay, self._order, to, sender, message))

    def _node_changed(self, key: str) -> None:
        """A part has heard something or done what was due."""

    def _process_output(self, key: str) -> None:
        """What a part has to say, and when it is to be woken."""
        part = self.nodes[key]
        out = part.out[:]
        part.out.clear()
        for address, message in out:
            to = address.removeprefix("a-")
            size = len(pack("lab", message))
            if isinstance(message, FullState):
                self.full_state_bytes += size
                ways = CONNECT
            else:
                assert size <= MAX_DATAGRAM_BYTES, (size, message)
                self.datagrams_sent += 1
                self.datagram_bytes += size
                ways = 1
                if self.rng.random() < self.loss:
                    continue
            if self.is_cut(key, to) or (ways > 1 and self.is_cut(to, key)) or to in self.down:
                continue
            self._schedule(ways * LATENCY * self.rng.lognormvariate(0.0, 0.5), to, key, message)
        self._node_changed(key)
        due = part.deadline() / self.clock_rates.get(key, 1.0)
        if self._wakeups.get(key) != due:
            self._wakeups[key] = due
            if due < float("inf"):
                self._schedule(max(0.0, due - self.now) + 1e-6, key, "", None)

    def run_until(self, until: float) -> None:
        """Let it pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, order, to, sender, message = heapq.heappop(self._heap)
            if sender == "!slow":
                stands = self.rng.random() * self.stall_max_s
                self._paused_until[to] = self.now + stands
                self._schedule(stands + self.rng.random() * 3, to, sender, None)
                continue
            if to in self.down or to not in self.nodes:
                continue
            if (free := self._paused_until.get(to, 0.0)) > self.now:  # it reads when it goes on, in order
                heapq.heappush(self._heap, (free, order, to, sender, message))
                continue
            part = self.nodes[to]
            if message is None:
                if self._wakeups.get(to, -1.0) > self.now:
                    continue
                part.turn(self.local_time(to))
            else:
                part.receive(self.local_time(to), message)
            self._process_output(to)
        self.now = until

    def kill(self, *keys: str) -> None:
        """They are gone."""
        self.down.update(keys)

    def pause(self, key: str, seconds: float) -> None:
        """It stands still, and reads then what came."""
        self._paused_until[key] = self.now + seconds
