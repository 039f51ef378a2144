"""A network in virtual time that delivers, delays, loses and cuts the messages of I/O-free nodes.

The nodes are the real membership and lease implementations; the network only carries their messages and
wakes them at their deadlines. The same seed gives the same events, byte for byte.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from switchhub.membership.messages import FullState
from switchhub.peers.codec import MAX_DATAGRAM_BYTES, pack

MEDIAN_LATENCY_S = 0.0005  # one way
CONNECTION_TRIPS = 3  # one-way latencies until a full state sent over a connection has arrived


class Node(Protocol):
    """A state machine without I/O: takes messages and the time, and yields messages and a deadline.

    `out` holds pairs of a recipient's address and a message; the network empties it.
    """

    out: list[Any]

    def turn(self, now: float) -> None:
        """Do what is due at `now`, in seconds of the node's clock."""
        ...

    def receive(self, now: float, message: Any) -> None:
        """Handle a message from another node."""
        ...

    def deadline(self) -> float:
        """When `turn` is due next, on the node's clock; infinite if never."""
        ...


NodeT = TypeVar("NodeT", bound=Node)


class VirtualNetwork(Generic[NodeT]):
    """The nodes by their keys, and the messages between them; a node's address is `a-KEY`.

    `loss` is the fraction of datagrams lost, `stall_max_s` the longest pause of nodes that pause repeatedly.
    Subclasses start such pauses with an event from the sender `!slow`.
    """

    def __init__(self, rng: Random, loss: float = 0.0, stall_max_s: float = 1.0) -> None:
        self.now = 0.0
        self.rng, self.loss, self.stall_max_s = rng, loss, stall_max_s
        self.datagrams_sent = self.datagram_bytes = self.full_state_bytes = 0
        self.is_cut: Callable[[str, str], bool] = lambda a, b: False
        self.down: set[str] = set()
        self.clock_rates: dict[str, float] = {}  # clock seconds per second of virtual time; 1 if missing
        self.nodes: dict[str, NodeT] = {}
        self._paused_until: dict[str, float] = {}  # when a paused node continues
        self._heap: list[tuple[float, int, str, str, Any]] = []
        self._event_count = 0
        self._wakeups: dict[str, float] = {}

    def local_time(self, key: str) -> float:
        """The time on the node's clock, in seconds."""
        return self.now * self.clock_rates.get(key, 1.0)

    def _schedule(self, delay: float, recipient: str, sender: str, message: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._heap, (self.now + delay, self._event_count, recipient, sender, message))

    def _node_changed(self, key: str) -> None:
        """Called after a node has handled a message or a deadline; for subclasses."""

    def _process_output(self, key: str) -> None:
        """Send the messages in a node's `out`, and schedule its next deadline."""
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
        """Deliver all events up to a time, in seconds."""
        while self._heap and self._heap[0][0] <= until:
            self.now, order, recipient, sender, message = heapq.heappop(self._heap)
            if sender == "!slow":
                pause_s = self.rng.random() * self.stall_max_s
                self._paused_until[recipient] = self.now + pause_s
                self._schedule(pause_s + self.rng.random() * 3, recipient, sender, None)
                continue
            if recipient in self.down or recipient not in self.nodes:
                continue
            if (resumes_at := self._paused_until.get(recipient, 0.0)) > self.now:
                # delivered, in order, once the pause is over
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
        """Stop nodes for good; messages to them are dropped."""
        self.down.update(keys)

    def pause(self, key: str, seconds: float) -> None:
        """Pause a node; it handles the messages received meanwhile afterwards."""
        self._paused_until[key] = self.now + seconds
