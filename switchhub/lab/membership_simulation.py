"""Simulation of a membership in virtual time.

The members run the real `Membership` code; their messages pass through a virtual network that loses and
delays them and can be partitioned. The simulation records each change in each member's view and makes no
decision for a member. The same seed gives the same record, byte for byte.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from switchhub.lab.virtual_network import VirtualNetwork
from switchhub.membership.messages import State
from switchhub.membership.swim import Change, Membership, Options

MakeMember = Callable[..., Membership]


class RecordedChange(NamedTuple):
    """A change in the view of one member."""

    at: float  # seconds of virtual time
    by: str  # the member whose view changed
    change: Change


class MembershipSimulation(VirtualNetwork[Membership]):
    """A membership of `count` members.

    `loss` is the fraction of datagrams that are lost, `slow_fraction` the fraction of members that are paused
    for up to `stall_max_s` seconds again and again. With `joined`, all members know each other at the start.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        options: Options | None = None,
        make_member: MakeMember = Membership,
        loss: float = 0.0,
        slow_fraction: float = 0.0,
        stall_max_s: float = 1.0,
        joined: bool = True,
    ) -> None:
        super().__init__(Random(f"members/{seed}"), loss, stall_max_s)
        self.options = options or Options()
        self.recorded_changes: list[RecordedChange] = []
        self._make_member, self._processes_started = make_member, 0
        self.names = [f"n{number}" for number in range(count)]
        for name in self.names:
            self.start(name)
        if joined:
            self._introduce()
        slow_members = self.names[: round(slow_fraction * count)]
        for name in slow_members:
            self._schedule(self.rng.random() * 3, name, "!slow", None)

    def start(self, name: str, address: str = "", seeds: tuple[str, ...] = ("n0", "n1")) -> Membership:
        """Start a process of this name and return it; its address is `a-NAME` unless another is given."""
        self._processes_started += 1
        process_id = self.rng.getrandbits(32)
        member_address = address or f"a-{name}"
        member = self._make_member(
            name,
            member_address,
            process_id,
            tuple(f"a-{each}" for each in seeds),
            self.options,
            self.rng.getrandbits(64),
            self.local_time(name),
        )
        key = member_address.removeprefix("a-")
        self.nodes[key] = member
        self.down.discard(key)
        self._process_output(key)
        return member

    def _introduce(self) -> None:
        """Make all members known to each other, so that joining is not part of what is measured."""
        for each in self.nodes.values():
            for other in self.nodes.values():
                if other is not each:
                    each._apply(other._own_update(), self.now, "known at the start")
            for name in list(each._transmit_counts):
                each._set_transmit_count(name, None)
            each.changes.clear()

    def _node_changed(self, key: str) -> None:
        for change in self.nodes[key].changes:
            self.recorded_changes.append(RecordedChange(self.now, key, change))
        self.nodes[key].changes.clear()

    def running_members(self) -> list[Membership]:
        """Return the members whose process runs and that have not left."""
        return [each for key, each in self.nodes.items() if key not in self.down and not each.has_left]

    def views_agree(self) -> bool:
        """Return whether each running member believes exactly the running members to be alive."""
        names = {each.name for each in self.running_members()}
        return all({each.name, *each.names_in(State.ALIVE)} == names for each in self.running_members())


def measure_death_detection(
    count: int, seed: int, make_member: MakeMember = Membership, **network_options: Any
) -> dict[str, float]:
    """Kill one of `count` members and measure when the others learn of it.

    Returns the seconds until the first member (`first`) and until every member (`all`) declared it dead, at
    most 60 s. `network_options` are passed to `MembershipSimulation`.
    """
    simulation = MembershipSimulation(count, seed, make_member=make_member, **network_options)
    simulation.run_until(2.0)
    killed = simulation.names[-1]
    simulation.kill(killed)
    killed_at, limit = simulation.now, 60.0
    detection_delays: dict[str, float] = {}
    while len(detection_delays) < count - 1 and simulation.now < killed_at + limit:
        simulation.run_until(simulation.now + 0.25)
        for each in simulation.recorded_changes:
            if each.change.name == killed and each.change.after is State.DEAD and each.at >= killed_at:
                detection_delays.setdefault(each.by, each.at - killed_at)
    delays = sorted(detection_delays.values())
    all_detected = len(delays) == count - 1
    return {"first": delays[0] if delays else limit, "all": delays[-1] if all_detected else limit}


def measure_steady_state(
    count: int,
    seed: int,
    seconds: float = 120.0,
    make_member: MakeMember = Membership,
    **network_options: Any,
) -> dict[str, float]:
    """Run `count` members without any death and measure false suspicions and traffic.

    Returns false suspicions (`accused`) and false death declarations (`buried`) per hour in the whole
    membership, and per member and second the datagrams, their bytes and the bytes of full states
    (`whole_bytes`).
    """
    simulation = MembershipSimulation(count, seed, make_member=make_member, **network_options)
    simulation.run_until(5.0)
    simulation.recorded_changes.clear()
    simulation.datagrams_sent = simulation.datagram_bytes = simulation.full_state_bytes = 0
    simulation.run_until(5.0 + seconds)
    suspected = {
        (each.change.name, each.change.incarnation)
        for each in simulation.recorded_changes
        if each.change.after is State.SUSPECT
    }
    declared_dead = {
        (each.change.name, each.change.incarnation)
        for each in simulation.recorded_changes
        if each.change.after is State.DEAD
    }
    windows_per_hour = 3600 / seconds
    return {
        "accused": len(suspected) * windows_per_hour,
        "buried": len(declared_dead) * windows_per_hour,
        "datagrams": simulation.datagrams_sent / seconds / count,
        "bytes": simulation.datagram_bytes / seconds / count,
        "whole_bytes": simulation.full_state_bytes / seconds / count,
    }
