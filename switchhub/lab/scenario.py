"""Scenarios: TOML files decoded into typed structures and checked whole before anything starts.

Owns: the form of a scenario and every check on it. Must never: start anything, or guess at what a file means;
each fault is one line with the path of the key.

Times end in `_s` (seconds) or `_ms` (milliseconds). Loads are microseconds of work a second on a standard
core, as in `switchhub.decision.interface`; a standard core does 1,000,000 of them.
"""

from __future__ import annotations

import fnmatch
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

SERVERS_MAX, BALANCERS_MAX, STANDING_CONNECTIONS_MAX = 20_000, 2_000, 2_000_000
CORE_WORK_PER_S = 1_000_000.0  # microseconds of work that a standard core does in a second

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,39}$")]
Fraction = Annotated[float, Field(ge=0.0, le=1.0, allow_inf_nan=False)]
Seconds = Annotated[float, Field(ge=0.0, le=86_400.0, allow_inf_nan=False)]
PositiveSeconds = Annotated[float, Field(gt=0.0, le=86_400.0, allow_inf_nan=False)]
Milliseconds = Annotated[float, Field(ge=0.0, le=600_000.0, allow_inf_nan=False)]
Multiplier = Annotated[float, Field(ge=0.0, le=1000.0, allow_inf_nan=False)]

SERVER_TROUBLES = ("die", "hang", "slow", "errors", "full", "noisy", "drain", "rolling")
DISCOVERY_TROUBLES = ("roster-out", "roster-silent", "roster-stale", "roster-lying")
BALANCER_TROUBLES = ("balancer-die", "balancer-restart", "balancer-reload")
OTHER_TROUBLES = ("zone-cut", "surge", "drop")


class ScenarioError(ValueError):
    """A scenario that does not serve; `faults` has a line for each reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class _ScenarioModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerGroup(_ScenarioModel):
    """Servers of one make, spread over the zones in turn unless one is named."""

    name: Name
    count: int = Field(ge=1, le=SERVERS_MAX)
    zone: Name | None = None
    kind: Name = "std"
    cells: int = Field(default=1, ge=1, le=1000)
    cores: float = Field(default=1.0, gt=0, le=1024, allow_inf_nan=False)
    speed: float = Field(default=1.0, gt=0, le=100, allow_inf_nan=False)
    message_ms: Milliseconds = 2.0
    """What a message takes on an idle server."""
    setup_work_ms: Milliseconds = 2.0
    """Work that a set-up costs."""
    connections: int = Field(default=100_000, ge=1)
    """How many it holds; beyond that it answers `BUSY`."""


class ColdStart(_ScenarioModel):
    """A server that has just started: its part of speed grows from `share` to 1, and it may fall over."""

    seconds: PositiveSeconds = 8.0
    share: float = Field(default=0.3, gt=0, le=1, allow_inf_nan=False)
    fall_multiple: float = Field(default=2.5, gt=0, le=100, allow_inf_nan=False)
    fall_s: PositiveSeconds = 2.0


class DiscoverySpec(_ScenarioModel):
    """When discovery learns of what happens, and how it tells."""

    delay_s: Seconds = 0.3
    notice_s: Seconds = 2.0
    """From a server's death until discovery knows."""
    whole: bool = False
    """Tells whole lists only, never changes."""
    calls_per_s: float = Field(default=10_000.0, gt=0, le=1e6, allow_inf_nan=False)
    ask_within_s: PositiveSeconds = 10.0


class ConnectionClass(_ScenarioModel):
    """A class of connections. Loads are drawn from a lognormal with this mean and spread, lives are
    exponential."""

    name: Name
    share: float = Field(default=1.0, gt=0, le=1e6, allow_inf_nan=False)
    """Its part of the offered work, relative to the other classes."""
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: Milliseconds = 5000.0
    deadline_ms: Annotated[float, Field(ge=20.0, le=60_000.0, allow_inf_nan=False)] = 1500.0
    setup_aim_ms: Annotated[float, Field(gt=0.0, le=60_000.0)] = 300.0
    message_aim_ms: Annotated[float, Field(gt=0.0, le=60_000.0)] = 60.0
    worth: float = Field(default=1.0, ge=0, le=1e6, allow_inf_nan=False)
    load: float = Field(default=4000.0, gt=0, le=CORE_WORK_PER_S * 64, allow_inf_nan=False)
    load_spread: float = Field(default=0.5, ge=0, le=3, allow_inf_nan=False)
    hint_error: float = Field(default=0.3, ge=0, le=3, allow_inf_nan=False)
    """Spread of the lognormal factor between the load and its hint."""
    hinted: Fraction = 1.0
    """The part of connections that carry a hint."""
    life_s: PositiveSeconds = 20.0


class Tenant(_ScenarioModel):
    """A customer; `share` is its part of the arrivals, `connections` what all balancers may hold for it."""

    name: Name
    share: float = Field(default=1.0, gt=0, le=1e6, allow_inf_nan=False)
    connections: float | None = Field(default=None, gt=0)


class Clients(_ScenarioModel):
    """Open-loop arrivals, and what a client does when it is refused, fails, is moved or cut off."""

    load: Multiplier = 0.7
    """Offered work as a part of what all sound servers do."""
    message_every_s: Annotated[float, Field(ge=0.05, le=3600.0)] = 1.0
    retries: int = Field(default=6, ge=0, le=1000)
    retry_ms: Milliseconds = 500.0
    """The first wait; it doubles with each further one."""
    retry_max_ms: Milliseconds = 8000.0
    return_ms: Milliseconds = 300.0
    """Until a moved or cut-off client comes again."""
    standing: Fraction = 1.0
    """The part of the connections of a steady state that are open at the start."""
    groups: int = Field(default=0, ge=0, le=1_000_000)
    marks_retries: bool = True


class Network(_ScenarioModel):
    """Delays between and within zones, one way."""

    within_ms: Milliseconds = 0.2
    between_ms: Milliseconds = 2.0


class Balancers(_ScenarioModel):
    """The fleet, spread over the zones in turn."""

    count: int = Field(default=3, ge=1, le=BALANCERS_MAX)
    dial_ms: Annotated[float, Field(gt=0, le=60_000)] = 200.0
    attempts: int = Field(default=4, ge=1, le=100)
    front_notice_s: Seconds = 2.0
    """Until the front knows that a balancer has died."""
    retry_after_ms: Milliseconds = 0.0
    """The longest wait that a refusal names; 0: it names none."""
    sockets: int = Field(default=8192, ge=64, le=1_000_000)


class Trouble(_ScenarioModel):
    """One trouble: its name and kind, when it starts, how long it lasts, and whom it meets."""

    name: Name
    kind: Literal[
        "die",
        "hang",
        "slow",
        "errors",
        "full",
        "noisy",
        "drain",
        "rolling",
        "roster-out",
        "roster-silent",
        "roster-stale",
        "roster-lying",
        "balancer-die",
        "balancer-restart",
        "balancer-reload",
        "zone-cut",
        "surge",
        "drop",
    ]
    at_s: Seconds
    seconds: Seconds = 0.0
    meets: tuple[str, ...] = ("*",)
    """Patterns on the names of servers, balancers or zones."""
    part: Fraction = 1.0
    """The part of those that match, drawn by the scenario's seed; of clients for `drop`."""
    value: Multiplier = 1.0
    """slow: times slower. errors: part of set-ups. noisy: cores taken. surge: times the arrivals."""
    drain_s: Seconds = 3.0
    """drain and rolling: how long a server finishes what it has."""
    stride_s: Seconds = 0.0
    """rolling, balancer-restart: from one to the next."""
    down_s: Seconds = 1.0
    """rolling, balancer-restart: until it is back."""


class Scenario(_ScenarioModel):
    """All of one scenario."""

    name: Name
    shows: str = Field(min_length=10, max_length=400)
    seconds: Annotated[float, Field(gt=0, le=3600, allow_inf_nan=False)] = 30.0
    zones: tuple[Name, ...] = Field(default=("a",), min_length=1, max_length=50)
    grace_ms: Milliseconds = 2000.0
    balancers: Balancers = Balancers()
    servers: tuple[ServerGroup, ...] = Field(min_length=1)
    cold: ColdStart = ColdStart()
    discovery: DiscoverySpec = DiscoverySpec()
    classes: tuple[ConnectionClass, ...] = Field(min_length=1, max_length=200)
    tenants: tuple[Tenant, ...] = (Tenant(name="one"),)
    clients: Clients = Clients()
    network: Network = Network()
    troubles: tuple[Trouble, ...] = ()

    @model_validator(mode="after")
    def _check_consistency(self) -> Scenario:
        problems = list(_find_inconsistencies(self))
        if problems:
            raise ScenarioError(problems)
        return self

    @property
    def capacity(self) -> float:
        """What all sound servers do together, microseconds of work a second."""
        return sum(each.count * each.cores * each.speed * CORE_WORK_PER_S for each in self.servers)

    @property
    def standing_connections(self) -> int:
        """Connections that a steady state holds."""
        total_share = sum(each.share for each in self.classes)
        offered_work = self.clients.load * self.capacity
        return round(sum(offered_work * each.share / total_share / each.load for each in self.classes))

    def server_names(self) -> list[str]:
        """Every server, in order."""
        return [f"{each.name}-{index}" for each in self.servers for index in range(each.count)]

    def balancer_names(self) -> list[str]:
        """Every balancer, in order."""
        return [f"b{index}" for index in range(self.balancers.count)]


def possible_targets(scenario: Scenario, trouble: Trouble) -> list[str]:
    """The names among which a trouble finds whom it meets; none for those that meet everybody alike."""
    if trouble.kind in SERVER_TROUBLES:
        return scenario.server_names()
    if trouble.kind in BALANCER_TROUBLES:
        return scenario.balancer_names()
    return list(scenario.zones) if trouble.kind == "zone-cut" else []


def matching_names(names: list[str], patterns: tuple[str, ...]) -> list[str]:
    """Those of the names that fit one of the patterns."""
    return [name for name in names if any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)]


def _find_inconsistencies(scenario: Scenario) -> list[str]:
    problems: list[str] = []
    for path in ("servers", "classes", "tenants", "troubles"):
        names = [each.name for each in getattr(scenario, path)]
        for index, name in enumerate(names):
            if name in names[:index]:
                problems.append(f"{path}.{index}.name: {name!r} is taken")
    if len(set(scenario.zones)) < len(scenario.zones):
        problems.append("zones: a zone is named twice")
    for index, group in enumerate(scenario.servers):
        if group.zone is not None and group.zone not in scenario.zones:
            problems.append(f"servers.{index}.zone: no zone {group.zone!r} in zones")
    if sum(each.count for each in scenario.servers) > SERVERS_MAX:
        problems.append(f"servers: more than {SERVERS_MAX} in all")
    if scenario.standing_connections > STANDING_CONNECTIONS_MAX:
        problems.append(
            f"clients.load: {scenario.standing_connections} standing connections, "
            f"{STANDING_CONNECTIONS_MAX} at most"
        )
    for index, each in enumerate(scenario.troubles):
        key = f"troubles.{index}"
        if each.at_s > scenario.seconds:
            problems.append(f"{key}.at_s: {each.at_s} is after the scenario's end at {scenario.seconds}")
        names = possible_targets(scenario, each)
        for pattern in each.meets if names else ():
            if not matching_names(names, (pattern,)):
                problems.append(f"{key}.meets: {pattern!r} fits none of {names[0]} to {names[-1]}")
        if each.kind == "errors" and each.value > 1:
            problems.append(f"{key}.value: a part of set-ups, 0 to 1, not {each.value}")
        if each.kind == "slow" and each.value <= 0:
            problems.append(f"{key}.value: times slower, more than 0")
    return problems


def _key_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(each) for each in location) or "(file)"


def parse_scenario(data: dict[str, Any]) -> Scenario:
    """A scenario of plain data; `ScenarioError` with every fault found."""
    try:
        return Scenario.model_validate(data)
    except ValidationError as error:
        problems = []
        for each in error.errors(include_url=False):
            cause = each.get("ctx", {}).get("error")
            if isinstance(cause, ScenarioError):
                problems += cause.problems
            else:
                problems.append(f"{_key_path(each['loc'])}: {each['msg']}, not {_shorten(each['input'])}")
        raise ScenarioError(problems) from None


def _shorten(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def read_scenario(path: Path) -> Scenario:
    """A scenario's file; `ScenarioError` with every fault found, the file's name before each."""
    try:
        return parse_scenario(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError([f"{path}: {error}"]) from None
    except ScenarioError as error:
        raise ScenarioError([f"{path}: {problem}" for problem in error.problems]) from None
