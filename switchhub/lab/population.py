"""The clients of a scenario: who comes when, wants what, and what each does when it does not get it.

Owns: arrivals drawn from the seed, the same for both engines and every balancer, and each client's own
patience. Must never: look at a balancer or a server; the front knows only who has answered lately.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from random import Random

from switchhub.lab.scenario import Scenario
from switchhub.lab.timeline import Timeline


class Client:
    """One client's session: it wants a connection from `at` to `until`, and a message each so often."""

    __slots__ = (
        "again",
        "at",
        "balancer",
        "conn",
        "good",
        "group",
        "hint",
        "index",
        "kind",
        "load",
        "next_at",
        "phase",
        "retried",
        "sent",
        "tenant",
        "tries",
        "until",
        "up",
        "wanted",
    )

    def __init__(self, index: int, at: float, until: float, kind: int) -> None:
        self.index, self.at, self.until, self.kind = index, at, until, kind
        self.tenant = 0
        self.group: str | None = None
        self.load = 0.0
        self.hint: float | None = None
        self.phase = 0.0
        self.next_at = 0.0  # when its next message is due
        self.tries = 0  # failed ones since it last stood
        self.conn = ""  # the id of its present connection
        self.balancer = -1
        self.up = self.again = self.retried = False
        self.sent = 0  # lines on the present connection
        self.wanted = self.good = 0

    @property
    def key(self) -> str:
        """The flow's key: one client, one key."""
        return f"{self.index:016x}"


def _draw(scenario: Scenario, rng: Random, client: Client) -> None:
    kind = scenario.classes[client.kind]
    spread = kind.load_spread
    client.load = kind.load * math.exp(rng.gauss(0.0, spread) - spread * spread / 2)
    error = math.exp(rng.gauss(0.0, kind.hint_error) - kind.hint_error**2 / 2)
    if rng.random() < kind.hinted:
        client.hint = round(client.load * error)
    if len(scenario.tenants) > 1:
        client.tenant = rng.choices(range(len(scenario.tenants)), [each.share for each in scenario.tenants])[
            0
        ]
    if scenario.clients.groups:
        client.group = f"{rng.randrange(scenario.clients.groups):016x}"
    client.phase = rng.random() * scenario.clients.message_every_s


def rates(scenario: Scenario) -> list[float]:
    """Arrivals a second of each class."""
    total = sum(each.share for each in scenario.classes)
    work = scenario.clients.load * scenario.capacity
    return [work * each.share / total / each.load / each.life_s for each in scenario.classes]


def standing(scenario: Scenario, seed: int) -> list[Client]:
    """Those whose connections are open when the run starts; lives have no memory."""
    rng = Random(f"{seed}/standing")
    out: list[Client] = []
    for kind, rate in enumerate(rates(scenario)):
        life = scenario.classes[kind].life_s
        for _ in range(round(rate * life * scenario.clients.standing)):
            client = Client(len(out), 0.0, rng.expovariate(1 / life), kind)
            _draw(scenario, rng, client)
            out.append(client)
    return out


def arrivals(scenario: Scenario, timeline: Timeline, seed: int, first: int) -> Iterator[Client]:
    """Those that come during the run, in order; a Poisson process for each class, thinned where surges
    end."""
    rng = Random(f"{seed}/arrivals")
    peak = 1.0
    for each in timeline.of("surge"):
        peak *= max(1.0, each.value)
    each_rate = rates(scenario)
    total = sum(each_rate) * peak
    now, index = 0.0, first
    if total <= 0:
        return
    while True:
        now += rng.expovariate(total)
        if now >= scenario.seconds:
            return
        kind = rng.choices(range(len(each_rate)), each_rate)[0]
        client = Client(index, now, now + rng.expovariate(1 / scenario.classes[kind].life_s), kind)
        _draw(scenario, rng, client)
        if rng.random() * peak < timeline.surge(now):
            index += 1
            yield client


class Patience:
    """What clients do after a refusal, a failure, a move or a break; drawn from one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._spec, self._classes = scenario.clients, scenario.classes
        self._rng = Random(f"{seed}/patience")

    def after_answer(self, client: Client, failed: bool, after_ms: float = 0.0) -> float | None:
        """Seconds until it tries again after a refusal or failure; none: it gives up."""
        client.tries += 1
        client.retried = True
        if client.tries > self._spec.retries:
            return None
        if failed and self._classes[client.kind].repeat == "unsafe":
            return None
        wait = min(self._spec.retry_ms * 2.0 ** (client.tries - 1), self._spec.retry_max_ms)
        return max(wait * self._rng.uniform(0.5, 1.5), after_ms) / 1000

    def after_break(self, client: Client) -> float:
        """Seconds until a moved or cut-off client comes again."""
        client.tries, client.again, client.retried = 0, True, False
        return self._spec.return_ms * self._rng.uniform(0.5, 1.5) / 1000


class Front:
    """Deals connections out among the balancers of a zone, in turn; others only where the zone has none."""

    def __init__(self, scenario: Scenario) -> None:
        self._zones = len(scenario.zones)
        self._in = [True] * scenario.balancers.count
        self._turn = 0
        self._zone_turn = 0

    def out(self, balancer: int) -> None:
        """It is dealt nothing from now on."""
        self._in[balancer] = False

    def back(self, balancer: int) -> None:
        """It answers again."""
        self._in[balancer] = True

    def deal(self) -> int:
        """The balancer of the next connection; -1 where there is none."""
        count = len(self._in)
        for _ in range(count):
            self._turn = (self._turn + 1) % count
            if self._in[self._turn]:
                return self._turn
        return -1
