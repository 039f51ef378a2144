"""What happens to whom and when: a scenario's troubles as plain intervals, the same for both engines.

Owns: the meaning of each trouble. Must never: depend on what a balancer does, or on the order of two
troubles; an interval of one trouble does not end another's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from switchhub.lab.scenario import Scenario, Trouble, matching_names, possible_targets

FOREVER = 1e9


class Interval(NamedTuple):
    """One effect on one target, from `start` to `end` in seconds. Troubles without length last to the end."""

    start: float
    end: float
    effect: str
    target: str
    value: float
    trouble: str


class IntervalChange(NamedTuple):
    """An interval begins or ends."""

    at: float
    begins: bool
    interval: Interval


class DiscoveryUpdate(NamedTuple):
    """What discovery knows of a server from a moment on."""

    at: float
    server: str
    state: str
    started_at: float


@dataclass(slots=True)
class Timeline:
    """All intervals of a run."""

    intervals: list[Interval]
    seconds: float
    changes: list[IntervalChange] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Sort what begins and ends."""
        self.changes = sorted(
            [IntervalChange(each.start, True, each) for each in self.intervals]
            + [IntervalChange(each.end, False, each) for each in self.intervals if each.end < FOREVER],
            key=lambda change: (change.at, change.begins, change.interval),
        )

    def with_effects(self, *effects: str) -> list[Interval]:
        """The intervals of these effects, by their starts."""
        return sorted(each for each in self.intervals if each.effect in effects)

    def is_active(self, effect: str, target: str, at: float) -> bool:
        """Whether the effect meets the target then."""
        return any(
            each.start <= at < each.end
            for each in self.intervals
            if each.effect == effect and each.target == target
        )

    def arrival_factor(self, at: float) -> float:
        """By how much arrivals are multiplied then."""
        factor = 1.0
        for each in self.intervals:
            if each.effect == "surge" and each.start <= at < each.end:
                factor *= each.value
        return factor


def _choose_targets(scenario: Scenario, trouble: Trouble, rng: Random) -> list[str]:
    names = matching_names(possible_targets(scenario, trouble), trouble.meets)
    count = round(trouble.part * len(names))
    chosen = set(rng.sample(names, count))
    return [name for name in names if name in chosen]


def _expand_trouble(scenario: Scenario, trouble: Trouble, rng: Random) -> list[Interval]:
    start = trouble.at_s
    end = start + trouble.seconds if trouble.seconds else FOREVER
    name, kind = trouble.name, trouble.kind
    if kind.startswith("roster-") or kind in ("surge", "drop"):
        value = trouble.part if kind == "drop" else trouble.value
        return [Interval(start, start if kind == "drop" else end, kind, "", value, name)]
    target_names = _choose_targets(scenario, trouble, rng)
    intervals: list[Interval] = []
    for index, each in enumerate(target_names):
        starts_at = start + index * trouble.stride_s
        if kind in ("rolling", "drain"):
            stops_at = starts_at + trouble.drain_s
            returns_at = stops_at + trouble.down_s if kind == "rolling" else end
            intervals.append(Interval(starts_at, stops_at, "drain", each, 0.0, name))
            intervals.append(Interval(stops_at, max(returns_at, stops_at), "die", each, 1.0, name))
        elif kind == "balancer-restart":
            intervals.append(
                Interval(starts_at, starts_at + trouble.down_s, "balancer-restart", each, 0.0, name)
            )
        elif kind == "balancer-reload":
            intervals.append(Interval(starts_at, starts_at, kind, each, 0.0, name))
        else:
            intervals.append(Interval(start, end, kind, each, trouble.value, name))
    return intervals


def expand_troubles(scenario: Scenario, seed: int) -> Timeline:
    """All intervals of a scenario; whom a part of the targets is, the seed decides."""
    intervals: list[Interval] = []
    for trouble in scenario.troubles:
        intervals += _expand_trouble(scenario, trouble, Random(f"{seed}/trouble/{trouble.name}"))
    return Timeline(intervals, scenario.seconds)


def downtimes(timeline: Timeline, server: str) -> list[tuple[float, float]]:
    """When the server does not run, overlapping troubles merged: it is back when the last of them has
    ended."""
    spans: list[tuple[float, float]] = []
    for each in timeline.with_effects("die"):
        if each.target != server:
            continue
        if spans and each.start <= spans[-1][1]:
            spans[-1] = (spans[-1][0], max(spans[-1][1], each.end))
        else:
            spans.append((each.start, each.end))
    return spans


def discovery_updates(scenario: Scenario, timeline: Timeline) -> list[DiscoveryUpdate]:
    """What discovery comes to know, in order. A lying roster names the dead as ready."""
    delay_s, notice_s = scenario.discovery.delay_s, scenario.discovery.notice_s
    updates: list[DiscoveryUpdate] = []
    for server in scenario.server_names():
        spans = downtimes(timeline, server)
        for each in timeline.with_effects("drain"):
            if each.target == server:
                updates.append(DiscoveryUpdate(each.start + delay_s, server, "Terminating", 0.0))
        for start, end in spans:
            was_draining = any(
                each.end == start for each in timeline.with_effects("drain") if each.target == server
            )
            known_at = start + (delay_s if was_draining else notice_s)
            hides_death = any(
                each.start <= known_at < each.end for each in timeline.with_effects("roster-lying")
            )
            if known_at < end + delay_s and not hides_death:
                updates.append(DiscoveryUpdate(known_at, server, "Gone", 0.0))
            if end < FOREVER:
                updates.append(DiscoveryUpdate(end + delay_s, server, "Ready", end))
    return sorted(updates)


def count_targets(scenario: Scenario, timeline: Timeline) -> dict[str, int]:
    """How many targets each trouble meets, for the results; 0 is allowed and said."""
    counts = {each.name: 0 for each in scenario.troubles}
    for each in scenario.troubles:
        target_names = {interval.target for interval in timeline.intervals if interval.trouble == each.name}
        counts[each.name] = len(target_names)
    return counts


__all__ = [
    "FOREVER",
    "DiscoveryUpdate",
    "Interval",
    "IntervalChange",
    "Timeline",
    "downtimes",
    "expand_troubles",
]
