"""Another checkout's decision module, loaded beside ours: from before the renames, and from after them."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from switchhub.decision import facade as our_facade
from switchhub.decision.facade import (
    Adopted,
    Delay,
    Ended,
    Facade,
    Failed,
    Observation,
    PendingActions,
    Refused,
    Send,
    ServerList,
    ServerListLost,
    Up,
)
from switchhub.decision.interface import (
    KeyScope,
    Repeat,
    Request,
    Result,
    ServerListKind,
    ServerState,
    Settings,
    Tenant,
)
from switchhub.lab import earlier, former_names, placement
from switchhub.lab.earlier import OtherCheckout
from tests.balancer_driver import make_class, make_server, make_settings

ROOT = Path(__file__).parents[2]
FORMER_INTERFACE = '''
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Repeat(Enum):
    SAFE = "safe"
    KEYED = "keyed"


class Scope(Enum):
    ALL = "all"
    ZONE = "zone"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"


class Result(Enum):
    OK = "ok"


class RosterKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    repeat: Repeat
    scope: Scope
    window: float
    aim: float
    deadline: float
    worth: float
    message_aim: float


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float
    connections: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Without `crossing_price`, as if that had been added later."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    fleet_size: int
    zone: int
    max_attempts: int
    probes_allowed: bool
    retry_after_max: float
    groups_share_work: bool
    must_ask_roster: bool
    ask_within: float
    cold_time: float
    cold_share: float
    fall_multiple: float
    fall_time: float
    over_share_worth: float
    probe_price: float
    move_price: float


class Server(NamedTuple):
    id: str
    zone: int
    kind: int
    cell: int
    state: State
    weight: float
    born: float


class Request(NamedTuple):
    """Without `late`, as if that had been added later."""

    id: str
    class_index: int
    budget: float
    tenant: int = 0
    hint: float | None = None
    key: str | None = None
    group: str | None = None
    returning: bool = False
'''
FORMER_FACADE = '''
import math
from typing import NamedTuple

from switchhub.decision.interface import Request, Result, RosterKind, Server


class Send(NamedTuple):
    server: str
    timeout: float
    within: float = math.inf


class Refused(NamedTuple):
    retry_after: float


class Failed(NamedTuple):
    pass


class Adopted(NamedTuple):
    request: Request
    server: str


class Up(NamedTuple):
    request: str
    elapsed: float


class Ended(NamedTuple):
    request: str
    elapsed: float
    result: Result
    over: bool


class Delay(NamedTuple):
    request: str
    delay: float


class Roster(NamedTuple):
    kind: RosterKind
    servers: tuple[Server, ...]


class RosterLost(NamedTuple):
    pass


class Chores(NamedTuple):
    moves: list[str]
    watch: bool
    notes: list[str]


class Facade:
    """Records what it is given."""

    def __init__(self, settings, seed, now):
        self.settings, self.seed = settings, seed
        self.given = []
        self.picks = {"sent": Send("a", 300.0, 40.0), "refused": Refused(600.0), "failed": Failed()}

    def pick(self, now, request):
        self.given.append(request)
        return self.picks.get(request.id, self.picks["sent"])

    def report(self, now, news):
        self.given.append(news)

    def tick(self, now):
        return Chores(["r1"], True, ["a note"])
'''


@pytest.fixture
def former_checkout(tmp_path: Path) -> Path:
    """A checkout from before the renames."""
    package = tmp_path / "switchhub" / "decision"
    package.mkdir(parents=True)
    for directory in (package.parent, package):
        (directory / "__init__.py").write_text("", encoding="utf-8")
    (package / "interface.py").write_text(FORMER_INTERFACE, encoding="utf-8")
    (package / "facade.py").write_text(FORMER_FACADE, encoding="utf-8")
    return tmp_path


def settings_for_test() -> Settings:
    classes = (make_class(Repeat.KEYED, KeyScope.ZONE, window=500.0),)
    return make_settings(classes, (Tenant("t", 0.5, 10.0),), retry_after_max=600.0)


def test_former_settings_have_former_names_and_the_same_values(former_checkout: Path) -> None:
    ours = settings_for_test()
    other = OtherCheckout(former_checkout, ours, 7, 0.0)
    facade, interface = earlier.load(former_checkout)
    theirs = other._inner.settings
    assert isinstance(other._inner, facade.Facade) and other._inner.seed == 7
    assert isinstance(theirs, interface.Settings)
    assert theirs.must_ask_roster is ours.must_watch_server_list
    assert theirs.ask_within == ours.watch_retry_within
    assert theirs.fall_multiple == ours.cold_budget_multiple
    assert theirs.fall_time == ours.cold_budget_window
    assert theirs.move_price == ours.move_price
    assert theirs.tenants == (interface.Tenant("t", 0.5, 10.0),)
    ours_class = ours.classes[0]
    assert theirs.classes == (
        interface.RequestClass(
            "c",
            interface.Repeat.KEYED,
            interface.Scope.ZONE,
            500.0,
            ours_class.setup_aim,
            ours_class.deadline,
            ours_class.worth,
            ours_class.message_aim,
        ),
    )


def test_observations_are_translated_to_former_types(former_checkout: Path) -> None:
    other = OtherCheckout(former_checkout, settings_for_test(), 1, 0.0)
    facade, interface = earlier.load(former_checkout)
    server = make_server("a", zone=2, state=ServerState.DRAINING, started_at=9.0)
    request = Request("r", 0, 900.0, 0, 1000.0, "key", "group", True, late=True)
    former_server = interface.Server("a", 2, 0, 0, interface.State.DRAINING, 1.0, 9.0)
    former_request = interface.Request("r", 0, 900.0, 0, 1000.0, "key", "group", True)
    pairs: list[tuple[Observation, object]] = [
        (
            ServerList(ServerListKind.CHANGES, (server,)),
            facade.Roster(interface.RosterKind.CHANGES, (former_server,)),
        ),
        (ServerListLost(), facade.RosterLost()),
        (Adopted(request, "a"), facade.Adopted(former_request, "a")),
        (Up("r", 5.0), facade.Up("r", 5.0)),
        (Delay("r", 80.0), facade.Delay("r", 80.0)),
        (Ended("r", 6.0, Result.OK, True), facade.Ended("r", 6.0, interface.Result.OK, True)),
    ]
    for observation, _ in pairs:
        other.report(1.0, observation)
    expected = [former for _, former in pairs]
    assert other._inner.given == expected
    assert [type(each) for each in other._inner.given] == [type(each) for each in expected]


def test_picks_and_pending_actions_are_translated_to_our_types(former_checkout: Path) -> None:
    other = OtherCheckout(former_checkout, settings_for_test(), 1, 0.0)
    picks = [other.pick(1.0, Request(name, 0, 900.0)) for name in ("sent", "refused", "failed")]
    assert picks == [Send("a", 300.0, 40.0), Refused(600.0), Failed()]
    assert [type(each) for each in picks] == [Send, Refused, Failed]
    pending = other.tick(2.0)
    assert pending == PendingActions(["r1"], True, ["a note"])
    assert type(pending) is PendingActions


def test_a_checkout_from_after_the_renames_decides_as_this_one() -> None:
    settings = settings_for_test()
    deciders = (OtherCheckout(ROOT, settings, 3, 0.0), Facade(settings, 3, 0.0))
    assert earlier.load(ROOT)[0] is not our_facade
    names = [f"s{number}" for number in range(5)]
    found: list[list[object]] = []
    for decider in deciders:
        decisions: list[object] = []
        decider.report(0.0, ServerList(ServerListKind.WHOLE, tuple(make_server(name) for name in names)))
        for number in range(20):
            request = Request(f"r{number}", 0, 900.0, 0, 100.0 * number)
            decisions.append(decider.pick(float(number), request))
            decider.report(float(number), Up(request.id, 5.0))
        decider.report(30.0, Ended("r3", 5.0, Result.OK, True))
        decider.report(
            40.0, ServerList(ServerListKind.CHANGES, (make_server("s1", state=ServerState.DRAINING),))
        )
        decider.report(50.0, ServerListLost())
        decisions.append(decider.tick(50.0))
        found.append(decisions)
    assert found[0] == found[1]
    assert [type(each) for each in found[0]] == [type(each) for each in found[1]]
    assert isinstance(found[0][0], Send)


def test_our_modules_stay_in_place(former_checkout: Path) -> None:
    OtherCheckout(former_checkout, settings_for_test(), 1, 0.0)
    assert sys.modules["switchhub.decision.facade"] is our_facade
    assert str(former_checkout) not in sys.path


def test_a_directory_without_a_decision_module_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ImportError):
        earlier.load(tmp_path)
    assert sys.modules["switchhub.decision.facade"] is our_facade


def test_each_former_name_belongs_to_a_current_type_or_field() -> None:
    """A further rename that forgets the table would make the former names useless without any error."""
    _, interface = earlier.load(ROOT)
    for name in {*former_names.FORMER_TYPES, *former_names.FORMER_FIELDS}:
        assert hasattr(our_facade, name) or hasattr(interface, name), name
    for name, fields in former_names.FORMER_FIELDS.items():
        kind = getattr(interface if hasattr(interface, name) else our_facade, name)
        assert set(fields) <= set(kind.__annotations__), name


@pytest.mark.live
@pytest.mark.parametrize("former", [True, False])
def test_a_placement_is_timed_in_checkouts_of_both_kinds(former: bool, former_checkout: Path) -> None:
    checkout = former_checkout if former else ROOT
    script = Path(placement.__file__)
    command = [sys.executable, str(script), str(checkout), "3", "5"]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert float(done.stdout) > 0
