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
        "arrives_at",
        "balancer_index",
        "class_index",
        "connection_id",
        "failed_tries",
        "good_messages",
        "group",
        "hint",
        "index",
        "is_up",
        "leaves_at",
        "lines_sent",
        "load",
        "message_phase",
        "next_message_at",
        "retried",
        "returning",
        "tenant",
        "wanted_messages",
    )

    def __init__(self, index: int, arrives_at: float, leaves_at: float, class_index: int) -> None:
        self.index, self.arrives_at, self.leaves_at, self.class_index = (
            index,
            arrives_at,
            leaves_at,
            class_index,
        )
        self.tenant = 0
        self.group: str | None = None
        self.load = 0.0
        self.hint: float | None = None
        self.message_phase = 0.0
        self.next_message_at = 0.0  # when its next message is due
        self.failed_tries = 0  # failed ones since it last stood
        self.connection_id = ""  # the id of its present connection
        self.balancer_index = -1
        self.is_up = self.returning = self.retried = False
        self.lines_sent = 0  # lines on the present connection
        self.wanted_messages = self.good_messages = 0

    @property
    def flow_key(self) -> str:
        """The flow's key: one client, one key."""
        return f"{self.index:016x}"


def _draw_properties(scenario: Scenario, rng: Random, client: Client) -> None:
    client_class = scenario.classes[client.class_index]
    load_spread = client_class.load_spread
    client.load = client_class.load * math.exp(rng.gauss(0.0, load_spread) - load_spread * load_spread / 2)
    hint_factor = math.exp(rng.gauss(0.0, client_class.hint_error) - client_class.hint_error**2 / 2)
    if rng.random() < client_class.hinted:
        client.hint = round(client.load * hint_factor)
    if len(scenario.tenants) > 1:
        client.tenant = rng.choices(range(len(scenario.tenants)), [each.share for each in scenario.tenants])[
            0
        ]
    if scenario.clients.groups:
        client.group = f"{rng.randrange(scenario.clients.groups):016x}"
    client.message_phase = rng.random() * scenario.clients.message_every_s


def arrival_rates(scenario: Scenario) -> list[float]:
    """Arrivals a second of each class."""
    total_share = sum(each.share for each in scenario.classes)
    offered_work = scenario.clients.load * scenario.capacity
    return [offered_work * each.share / total_share / each.load / each.life_s for each in scenario.classes]


def initial_clients(scenario: Scenario, seed: int) -> list[Client]:
    """Those whose connections are open when the run starts; lives have no memory."""
    rng = Random(f"{seed}/standing")
    clients: list[Client] = []
    for class_index, rate in enumerate(arrival_rates(scenario)):
        mean_life_s = scenario.classes[class_index].life_s
        for _ in range(round(rate * mean_life_s * scenario.clients.standing)):
            client = Client(len(clients), 0.0, rng.expovariate(1 / mean_life_s), class_index)
            _draw_properties(scenario, rng, client)
            clients.append(client)
    return clients


def arriving_clients(scenario: Scenario, timeline: Timeline, seed: int, first_index: int) -> Iterator[Client]:
    """Those that come during the run, in order; a Poisson process for each class, thinned where surges
    end."""
    rng = Random(f"{seed}/arrivals")
    peak_factor = 1.0
    for each in timeline.with_effects("surge"):
        peak_factor *= max(1.0, each.value)
    class_rates = arrival_rates(scenario)
    peak_rate = sum(class_rates) * peak_factor
    now, index = 0.0, first_index
    if peak_rate <= 0:
        return
    while True:
        now += rng.expovariate(peak_rate)
        if now >= scenario.seconds:
            return
        class_index = rng.choices(range(len(class_rates)), class_rates)[0]
        client = Client(
            index, now, now + rng.expovariate(1 / scenario.classes[class_index].life_s), class_index
        )
        _draw_properties(scenario, rng, client)
        if rng.random() * peak_factor < timeline.arrival_factor(now):
            index += 1
            yield client


class RetryPolicy:
    """What clients do after a refusal, a failure, a move or a break; drawn from one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._behaviour, self._classes = scenario.clients, scenario.classes
        self._rng = Random(f"{seed}/patience")

    def delay_after_answer(self, client: Client, failed: bool, retry_after_ms: float = 0.0) -> float | None:
        """Seconds until it tries again after a refusal or failure; none: it gives up."""
        client.failed_tries += 1
        client.retried = True
        if client.failed_tries > self._behaviour.retries:
            return None
        if failed and self._classes[client.class_index].repeat == "unsafe":
            return None
        wait_ms = min(
            self._behaviour.retry_ms * 2.0 ** (client.failed_tries - 1), self._behaviour.retry_max_ms
        )
        return max(wait_ms * self._rng.uniform(0.5, 1.5), retry_after_ms) / 1000

    def delay_after_disconnect(self, client: Client) -> float:
        """Seconds until a moved or cut-off client comes again."""
        client.failed_tries, client.returning, client.retried = 0, True, False
        return self._behaviour.return_ms * self._rng.uniform(0.5, 1.5) / 1000


class Dispatcher:
    """Deals connections out among the balancers of a zone, in turn; others only where the zone has none."""

    def __init__(self, scenario: Scenario) -> None:
        self._zones = len(scenario.zones)
        self._is_available = [True] * scenario.balancers.count
        self._last_balancer = 0
        self._zone_turn = 0

    def remove(self, balancer: int) -> None:
        """It is dealt nothing from now on."""
        self._is_available[balancer] = False

    def restore(self, balancer: int) -> None:
        """It answers again."""
        self._is_available[balancer] = True

    def next_balancer(self) -> int:
        """The balancer of the next connection; -1 where there is none."""
        count = len(self._is_available)
        for _ in range(count):
            self._last_balancer = (self._last_balancer + 1) % count
            if self._is_available[self._last_balancer]:
                return self._last_balancer
        return -1
