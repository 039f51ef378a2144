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

MEDIAN_LATENCY_S = 0.0005  # seconds one way at the median
CONNECTION_TRIPS = 3  # ways that a connection costs


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
        self._event_count = 0
        self._wakeups: dict[str, float] = {}

    def local_time(self, key: str) -> float:
        """The time by its clock."""
        return self.now * self.clock_rates.get(key, 1.0)

    def _schedule(self, delay: float, recipient: str, sender: str, message: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._heap, (self.now + delay, self._event_count, recipient, sender, message))

    def _node_changed(self, key: str) -> None:
        """A part has heard something or done what was due."""

    def _process_output(self, key: str) -> None:
        """What a part has to say, and when it is to be woken."""
        node = self.nodes[key]
        out = node.out[:]
        node.out.clear()
        for address, message in out:
            recipient = address.removeprefix("a-")
            size = len(pack("lab", message))
            if isinstance(message, FullState):
                self.full_state_bytes += size
                trips = CONNECTION_TRIPS
            else:
                assert size <= MAX_DATAGRAM_BYTES, (size, message)
                self.datagrams_sent += 1
                self.datagram_bytes += size
                trips = 1
                if self.rng.random() < self.loss:
                    continue
            if (
                self.is_cut(key, recipient)
                or (trips > 1 and self.is_cut(recipient, key))
                or recipient in self.down
            ):
                continue
            self._schedule(
                trips * MEDIAN_LATENCY_S * self.rng.lognormvariate(0.0, 0.5), recipient, key, message
            )
        self._node_changed(key)
        wake_at = node.deadline() / self.clock_rates.get(key, 1.0)
        if self._wakeups.get(key) != wake_at:
            self._wakeups[key] = wake_at
            if wake_at < float("inf"):
                self._schedule(max(0.0, wake_at - self.now) + 1e-6, key, "", None)

    def run_until(self, until: float) -> None:
        """Let it pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, order, recipient, sender, message = heapq.heappop(self._heap)
            if sender == "!slow":
                pause_s = self.rng.random() * self.stall_max_s
                self._paused_until[recipient] = self.now + pause_s
                self._schedule(pause_s + self.rng.random() * 3, recipient, sender, None)
                continue
            if recipient in self.down or recipient not in self.nodes:
                continue
            if (
                resumes_at := self._paused_until.get(recipient, 0.0)
            ) > self.now:  # it reads when it goes on, in order
                heapq.heappush(self._heap, (resumes_at, order, recipient, sender, message))
                continue
            node = self.nodes[recipient]
            if message is None:
                if self._wakeups.get(recipient, -1.0) > self.now:
                    continue
                node.turn(self.local_time(recipient))
            else:
                node.receive(self.local_time(recipient), message)
            self._process_output(recipient)
        self.now = until

    def kill(self, *keys: str) -> None:
        """They are gone."""
        self.down.update(keys)

    def pause(self, key: str, seconds: float) -> None:
        """It stands still, and reads then what came."""
        self._paused_until[key] = self.now + seconds
