"""Retries of discovery calls: many balancers share one queue, in which calls that were given up stay."""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from switchhub.decision.discovery_retry import FULL_QUEUE_AFTER_MS
from switchhub.decision.facade import Observation, ServerListLost
from switchhub.decision.interface import (
    DiscoveryChanged,
    ServerListChanged,
    ServerListFailed,
    ServerListKind,
    ServerState,
    SetTimer,
    TimerFired,
    WatchServerList,
)
from switchhub.decision.placement import Balancer
from tests.balancer_driver import BalancerDriver, make_server, make_settings
from tests.harness import TIMEOUT_S, FakeServer, running_balancer
from tests.scripted_balancer import BalancerFixture, ScriptedServer, run_script

# Rule 3 holds a balancer to what discovery knows from this time on, counted from when discovery answers again
# or from the end of the balancer's watch.
KNOWN_AFTER_MS = 6000.0
CALL_WORK_MS = 125.0  # how long discovery works on a call
CALL_TIMEOUT_MS = 2000.0  # how long a caller waits
QUEUE_LENGTH_MAX = 24  # calls that may wait in discovery's queue


def simulate_discovery_queue(
    starts: list[float], until: float, queue_length_max: float = QUEUE_LENGTH_MAX
) -> tuple[list[float], int]:
    """When balancers that start to call at these times were served, and how many calls failed.

    Calls wait in one queue. A call that has waited too long fails, but still takes its turn in the queue. All
    times are in milliseconds.
    """
    balancers = [Balancer(make_settings(fleet_size=len(starts)), seed) for seed in range(len(starts))]
    served: list[float] = []
    failed, idle_at, waiting, sequence = 0, 0.0, 0, iter(range(10**9))
    events: list[tuple[float, int, str, int]] = [
        (at, next(sequence), "call", number) for number, at in enumerate(starts)
    ]
    heapq.heapify(events)
    while events:
        now, _, kind, number = heapq.heappop(events)
        if now > until:
            break
        if kind == "done":
            waiting -= 1
        elif kind == "call" and waiting < queue_length_max:
            waiting += 1
            idle_at = max(idle_at, now) + CALL_WORK_MS
            heapq.heappush(events, (idle_at, next(sequence), "done", number))
            timed_out = idle_at - now > CALL_TIMEOUT_MS
            heapq.heappush(
                events,
                (
                    now + CALL_TIMEOUT_MS if timed_out else idle_at,
                    next(sequence),
                    "fail" if timed_out else "list",
                    number,
                ),
            )
        elif kind == "list":
            served.append(now)
            balancers[number].handle(now, ServerListChanged(ServerListKind.WHOLE, (make_server("a"),)))
        else:
            failed += 1
            for action in balancers[number].handle(now, ServerListFailed()):
                if isinstance(action, SetTimer):
                    fires_at = now + action.delay
                    heapq.heappush(events, (fires_at, next(sequence), "call", number))
                    assert any(
                        isinstance(each, WatchServerList)
                        for each in balancers[number].handle(fires_at, TimerFired(action.token))
                    )
    return served, failed


def start_times_of_fleets() -> Iterator[list[float]]:
    """The times at which the balancers of each fleet start to call, within one second."""
    rng = Random(7)
    for count in (3, 10, 28, 40, 80):
        yield [rng.uniform(0.0, 1000.0) for _ in range(count)]


def test_calls_of_many_balancers_are_spread_out_until_all_are_served() -> None:
    """Calls repeated every 2 s would keep the queue full of calls that were given up, and none be served."""
    for starts in start_times_of_fleets():
        served, failed = simulate_discovery_queue(starts, 60_000.0)
        assert len(served) == len(starts)
        work = CALL_WORK_MS * len(starts)
        assert max(served) < 1000.0 + CALL_TIMEOUT_MS + 4 * work
        assert failed < 4 * len(starts)


def test_a_crowd_at_a_queue_that_refuses_nobody_is_served_in_the_end() -> None:
    """Held calls alone look like an outage; with short waits for good, the queue would stay full for good."""
    rng = Random(7)
    starts = [rng.uniform(0.0, 1000.0) for _ in range(60)]
    served, _ = simulate_discovery_queue(starts, FULL_QUEUE_AFTER_MS + 300_000.0, math.inf)
    assert len(served) == len(starts)


def test_a_single_failed_call_is_repeated_soon() -> None:
    for seed in range(20):
        (timer,) = [
            each
            for each in Balancer(make_settings(), seed).handle(0.0, ServerListFailed())
            if isinstance(each, SetTimer)
        ]
        assert 250.0 <= timer.delay <= 1500.0


def test_the_wait_grows_while_answers_are_rejected() -> None:
    """A rejected answer still names leaving servers; if it counted as a success, the wait would start anew.

    The balancer counts as knowing the content of the answer 6 s later (`KNOWN_AFTER_MS`), so these waits have
    a lower limit than waits after calls that timed out in discovery's queue.
    """
    driver = BalancerDriver()
    driver.update_server_list(make_server("a"), make_server("b"))
    waits: list[float] = []
    for _ in range(8):
        driver.update_server_list(make_server("b", state=ServerState.DRAINING), kind=ServerListKind.LEAVING)
        driver.feed(ServerListFailed())
        waits.append(driver.timers[-1][0] - driver.now)
        driver.advance(waits[-1])
    assert max(waits[2:]) > 3000.0
    assert max(waits) <= KNOWN_AFTER_MS - CALL_TIMEOUT_MS
    assert driver.open_connection() == "a", (
        "b is draining and gets nothing new (rule 3); a, which the answer does not name, stays listed"
    )


def listed_after_return(outage: float, held: float, refused: bool, seed: int) -> float:
    """How long after discovery's return a balancer of a large fleet has the list.

    During the outage each call fails after `held` ms; afterwards each is answered after `CALL_TIMEOUT_MS`,
    which is the time that a full queue takes. `outage` and the result are in milliseconds too.
    """
    balancer = Balancer(make_settings(fleet_size=200), seed)
    balancer.start(0.0)
    balancer.handle(0.0, ServerListChanged(ServerListKind.WHOLE, (make_server("a"),)))
    now = Random(seed).uniform(0.0, CALL_TIMEOUT_MS)  # the watch breaks off when the outage begins
    while now < outage:
        now += held
        actions = balancer.handle(now, ServerListFailed(refused))
        (timer,) = [each for each in actions if isinstance(each, SetTimer)]
        now += timer.delay
        balancer.handle(now, TimerFired(timer.token))
    return now + CALL_TIMEOUT_MS - outage


@pytest.mark.parametrize("refused", [True, False])
@pytest.mark.parametrize("held", [0.0, 50.0, 1000.0, CALL_TIMEOUT_MS])
def test_after_an_outage_the_list_arrives_before_the_balancer_counts_as_knowing_it(
    held: float, refused: bool
) -> None:
    """The wait must not grow through an outage: 6 s after its end the balancer counts as knowing discovery's
    list. Waits that grew while calls were held kept a large fleet from it for up to 13 s.

    A call that is pending when discovery returns delays the next one by up to `held`.
    """
    for outage in (3000.0, 5000.0, 8000.0, 10_000.0, 20_000.0, 30_000.0, 100_000.0):
        times = [listed_after_return(outage, held, refused, seed) for seed in range(40)]
        assert max(times) <= KNOWN_AFTER_MS + held


def test_calls_that_do_not_reach_discovery_are_no_sign_of_a_full_queue() -> None:
    """Otherwise a discovery that dies, and then starts slowly, would be called again only 18 s later."""
    driver = BalancerDriver(make_settings(fleet_size=200))
    for _ in range(4):
        driver.feed(ServerListFailed(refused=False))
        driver.advance(driver.timers[-1][0] - driver.now)
    assert max(waits_after_held_calls(driver, 9)) <= KNOWN_AFTER_MS - CALL_TIMEOUT_MS


@pytest.mark.parametrize(
    ("response", "refused"), [(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", True), (b"", False)]
)
def test_a_failed_call_is_reported_with_whether_discovery_refused_it(
    tmp_path: Path, response: bytes, refused: bool
) -> None:
    async def script(fixture: BalancerFixture) -> None:
        loop, scripted = asyncio.get_running_loop(), ScriptedServer("discovery")
        reported: asyncio.Future[Observation] = loop.create_future()
        discovery = fixture.listener.discovery
        discovery.change_address(scripted.sock.getsockname())

        def report(now: float, observation: Observation) -> None:
            reported.set_result(observation)

        fixture.listener.facade.report = report  # type: ignore[method-assign]
        running = asyncio.create_task(discovery.run())
        async with asyncio.timeout(TIMEOUT_S):
            sock, _ = await loop.sock_accept(scripted.sock)
            await loop.sock_recv(sock, 4096)
            sock.send(response)
            sock.close()
            assert await reported == ServerListLost(refused)
        running.cancel()
        await asyncio.wait((running,))
        scripted.sock.close()

    run_script(tmp_path, script)


def test_a_silent_watch_is_reopened_before_what_it_misses_counts_as_known(tmp_path: Path) -> None:
    """If a silent watch is given up too late, the balancer uses servers that it must know to be leaving.

    That happens with a time-out of 12.2 s and a wait of up to 3 s before the next call.
    """

    async def scenario() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            async with asyncio.timeout(10):
                while len(discovery.queries) < 2:  # the watch has been opened
                    await asyncio.sleep(0.01)
                discovery.unanswered_calls = 1
                while discovery.unanswered_calls:
                    await asyncio.sleep(0.01)
            # The call that is subtracted may take its whole time-out in a full queue.
            async with asyncio.timeout((KNOWN_AFTER_MS - CALL_TIMEOUT_MS) / 1000):
                await discovery.change("b", "Terminating")
                await program.wait_for_log("server b draining")
            assert any("discovery: silent, called anew" in line for line in program.log)

    asyncio.run(scenario())


def waits_after_held_calls(driver: BalancerDriver, times: int) -> list[float]:
    """The waits after so many calls that timed out in the queue."""
    waits: list[float] = []
    for _ in range(times):
        driver.now += CALL_TIMEOUT_MS
        driver.feed(ServerListFailed())
        waits.append(driver.timers[-1][0] - driver.now)
        driver.advance(waits[-1])
    return waits


def waits_after_a_full_queue(driver: BalancerDriver, times: int) -> list[float]:
    """The waits after one call that the full queue refused, and then so many that timed out in it."""
    driver.feed(ServerListFailed())
    driver.advance(driver.timers[-1][0] - driver.now)
    return waits_after_held_calls(driver, times)


def test_failures_of_one_discovery_do_not_delay_calls_to_the_next() -> None:
    """Otherwise, if the first call to a new discovery address fails, the next comes over 15 s later."""
    driver = BalancerDriver(make_settings(fleet_size=100))
    assert max(waits_after_a_full_queue(driver, 7)) > 10_000.0, "many balancers share one queue"
    driver.feed(DiscoveryChanged())
    driver.now += 20.0
    driver.feed(ServerListFailed())
    assert driver.timers[-1][0] - driver.now <= 1500.0


def test_few_balancers_wait_no_longer_than_their_calls_can_fill_a_queue() -> None:
    """Six calls take discovery about a second, so waits of six balancers must not double up to 16 s."""
    driver = BalancerDriver(make_settings(fleet_size=6))
    assert max(waits_after_a_full_queue(driver, 9)) <= KNOWN_AFTER_MS - CALL_TIMEOUT_MS


def test_the_first_call_is_a_watch_from_the_known_version(tmp_path: Path) -> None:
    """A whole list and then a watch from every restarted balancer would be twice the calls."""

    async def scenario() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            await program.connect()
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")
            assert discovery.queries[0].startswith("index=1&wait=")
            assert not any(query == "" for query in discovery.queries)

    asyncio.run(scenario())
