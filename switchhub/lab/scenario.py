"""Scenarios: TOML files parsed into typed models and validated completely before a run starts.

Field names are the keys of the files. Each problem of a file is reported as one line with the path of the
key; nothing is guessed.

Names of times end in `_s` (seconds) or `_ms` (milliseconds). Loads are microseconds of work per second on a
standard core, as in `switchhub.decision.interface`; a standard core does 1,000,000 of them.
"""

from __future__ import annotations

import fnmatch
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

SERVERS_MAX = 20_000
BALANCERS_MAX = 2_000
STANDING_CONNECTIONS_MAX = 2_000_000
CORE_WORK_PER_S = 1_000_000.0  # microseconds of work

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
    """An invalid scenario; `problems` has a line for each reason."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class _ScenarioModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ServerGroup(_ScenarioModel):
    """Servers of the same type; they are spread over the zones in turn unless `zone` is given."""

    name: Name
    count: int = Field(ge=1, le=SERVERS_MAX)
    zone: Name | None = None
    kind: Name = "std"
    cells: int = Field(default=1, ge=1, le=1000)
    cores: float = Field(default=1.0, gt=0, le=1024, allow_inf_nan=False)
    speed: float = Field(default=1.0, gt=0, le=100, allow_inf_nan=False)
    message_ms: Milliseconds = 2.0
    """Time that a message takes on an idle server."""
    setup_work_ms: Milliseconds = 2.0
    """Work for setting a connection up."""
    connections: int = Field(default=100_000, ge=1)
    """Connections that a server accepts; it answers further ones with `BUSY`."""


class ColdStart(_ScenarioModel):
    """Slow start: a cold server's speed grows from `share` to 1 of full speed in `seconds`.

    It crashes if the loads set up on it within `fall_s` exceed `fall_multiple` times its capacity at that
    time, scaled by `fall_s` over `seconds`.
    """

    seconds: PositiveSeconds = 8.0
    share: float = Field(default=0.3, gt=0, le=1, allow_inf_nan=False)
    fall_multiple: float = Field(default=2.5, gt=0, le=100, allow_inf_nan=False)
    fall_s: PositiveSeconds = 2.0


class DiscoverySpec(_ScenarioModel):
    """When discovery learns of changes, and how it notifies balancers."""

    delay_s: Seconds = 0.3
    notice_s: Seconds = 2.0
    """From a server's unplanned death until discovery learns of it."""
    whole: bool = False
    """Sends whole server lists only, never changes."""
    calls_per_s: float = Field(default=10_000.0, gt=0, le=1e6, allow_inf_nan=False)
    ask_within_s: PositiveSeconds = 10.0


class ConnectionClass(_ScenarioModel):
    """A class of connections.

    Loads have a lognormal distribution with this mean and spread, lifetimes an exponential one.
    """

    name: Name
    share: float = Field(default=1.0, gt=0, le=1e6, allow_inf_nan=False)
    """Its weight in the offered work, relative to the other classes."""
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
    """Spread of the lognormal factor between a load and its hint."""
    hinted: Fraction = 1.0
    """The fraction of connections with a hint."""
    life_s: PositiveSeconds = 20.0


class Tenant(_ScenarioModel):
    """A customer; `share` is its weight in the arrivals, `connections` its quota over all balancers."""

    name: Name
    share: float = Field(default=1.0, gt=0, le=1e6, allow_inf_nan=False)
    connections: float | None = Field(default=None, gt=0)


class Clients(_ScenarioModel):
    """Open-loop arrivals, and when clients retry after a refusal, failure, move or broken connection."""

    load: Multiplier = 0.7
    """Offered work as a fraction of the capacity of all servers at full speed."""
    message_every_s: Annotated[float, Field(ge=0.05, le=3600.0)] = 1.0
    retries: int = Field(default=6, ge=0, le=1000)
    retry_ms: Milliseconds = 500.0
    """The wait before the first retry; it doubles with each further one."""
    retry_max_ms: Milliseconds = 8000.0
    return_ms: Milliseconds = 300.0
    """Time until a moved or cut-off client reconnects."""
    standing: Fraction = 1.0
    """The fraction of the steady state's connections that are open at the start."""
    groups: int = Field(default=0, ge=0, le=1_000_000)
    marks_retries: bool = True


class Network(_ScenarioModel):
    """One-way delays within and between zones."""

    within_ms: Milliseconds = 0.2
    between_ms: Milliseconds = 2.0


class Balancers(_ScenarioModel):
    """The balancers, spread over the zones in turn."""

    count: int = Field(default=3, ge=1, le=BALANCERS_MAX)
    dial_ms: Annotated[float, Field(gt=0, le=60_000)] = 200.0
    attempts: int = Field(default=4, ge=1, le=100)
    front_notice_s: Seconds = 2.0
    """Time until no new connections are sent to a balancer that has died."""
    retry_after_ms: Milliseconds = 0.0
    """The longest wait that a refusal proposes; 0 if refusals propose none."""
    sockets: int = Field(default=8192, ge=64, le=1_000_000)


class Trouble(_ScenarioModel):
    """One injected fault: its kind, start, duration and targets.

    With `seconds` 0 it lasts to the end of the run.
    """

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
    """Patterns for the names of the targets: servers, balancers or zones."""
    part: Fraction = 1.0
    """The fraction of the matching targets, drawn with the run's seed; for `drop`, of the clients."""
    value: Multiplier = 1.0
    """slow, surge: factor of slowness or of arrivals. errors: fraction of set-ups. noisy: cores taken."""
    drain_s: Seconds = 3.0
    """drain, rolling: how long a server drains before it stops."""
    stride_s: Seconds = 0.0
    """rolling, balancer-restart, balancer-reload, drain: time from one target to the next."""
    down_s: Seconds = 1.0
    """rolling, balancer-restart: time until the target is back."""


class Scenario(_ScenarioModel):
    """A complete scenario; `shows` says in a sentence what it demonstrates."""

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
        """The capacity of all servers at full speed, in microseconds of work per second."""
        return sum(each.count * each.cores * each.speed * CORE_WORK_PER_S for each in self.servers)

    @property
    def standing_connections(self) -> int:
        """The number of connections in the steady state."""
        total_share = sum(each.share for each in self.classes)
        offered_work = self.clients.load * self.capacity
        return round(sum(offered_work * each.share / total_share / each.load for each in self.classes))

    def server_names(self) -> list[str]:
        """The names of all servers, in order."""
        return [f"{each.name}-{index}" for each in self.servers for index in range(each.count)]

    def balancer_names(self) -> list[str]:
        """The names of all balancers, in order."""
        return [f"b{index}" for index in range(self.balancers.count)]


def possible_targets(scenario: Scenario, trouble: Trouble) -> list[str]:
    """The names among which a trouble chooses its targets; none if the trouble has no targets."""
    if trouble.kind in SERVER_TROUBLES:
        return scenario.server_names()
    if trouble.kind in BALANCER_TROUBLES:
        return scenario.balancer_names()
    return list(scenario.zones) if trouble.kind == "zone-cut" else []


def matching_names(names: list[str], patterns: tuple[str, ...]) -> list[str]:
    """The names that match one of the patterns."""
    return [name for name in names if any(fnmatch.fnmatchcase(name, pattern) for pattern in patterns)]


def _find_inconsistencies(scenario: Scenario) -> list[str]:
    problems: list[str] = []
    for path in ("servers", "classes", "tenants", "troubles"):
        names = [each.name for each in getattr(scenario, path)]
        for index, name in enumerate(names):
            if name in names[:index]:
                problems.append(f"{path}.{index}.name: {name!r} is already used")
    if len(set(scenario.zones)) < len(scenario.zones):
        problems.append("zones: duplicate zone name")
    for index, group in enumerate(scenario.servers):
        if group.zone is not None and group.zone not in scenario.zones:
            problems.append(f"servers.{index}.zone: no zone {group.zone!r} in zones")
    if sum(each.count for each in scenario.servers) > SERVERS_MAX:
        problems.append(f"servers: more than {SERVERS_MAX} servers in total")
    if scenario.standing_connections > STANDING_CONNECTIONS_MAX:
        problems.append(
            f"clients.load: {scenario.standing_connections} connections in the steady state, "
            f"{STANDING_CONNECTIONS_MAX} allowed"
        )
    for index, each in enumerate(scenario.troubles):
        key = f"troubles.{index}"
        if each.at_s > scenario.seconds:
            problems.append(f"{key}.at_s: {each.at_s} is after the scenario's end at {scenario.seconds}")
        names = possible_targets(scenario, each)
        for pattern in each.meets if names else ():
            if not matching_names(names, (pattern,)):
                problems.append(
                    f"{key}.meets: {pattern!r} matches none of the names {names[0]} to {names[-1]}"
                )
        if each.kind == "errors" and each.value > 1:
            problems.append(f"{key}.value: must be a fraction of set-ups from 0 to 1, not {each.value}")
        if each.kind == "slow" and each.value <= 0:
            problems.append(f"{key}.value: must be a factor greater than 0")
    return problems


def _key_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(each) for each in location) or "(file)"


def parse_scenario(data: dict[str, Any]) -> Scenario:
    """A scenario from plain data. Raises ScenarioError with all problems found."""
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
    """A scenario from a file. Raises ScenarioError with all problems found, each after the file's path."""
    try:
        return parse_scenario(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError([f"{path}: {error}"]) from None
    except ScenarioError as error:
        raise ScenarioError([f"{path}: {problem}" for problem in error.problems]) from None
