"""What discovery says is not always whole or true: the last good list stays, and it is asked again."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from switchhub.decision.interface import ServerState
from switchhub.net.config import Entry, Listing, ListingError, checked, parse_listing
from tests.balancer_driver import make_server
from tests.harness import FakeServer, running_balancer

Told = dict[str, Any]


def http(body: bytes, length: int = -1) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    return head % (len(body) if length < 0 else length) + body


def nobody(told: Told) -> bytes:
    return http(json.dumps({**told, "version": 9, "servers": []}).encode())


def goes_back(told: Told) -> bytes:
    return http(json.dumps({**told, "version": 0}).encode())


def unknown_state(told: Told) -> bytes:
    odd = {**told["servers"][0], "state": "Odd"}
    return http(json.dumps({**told, "version": 9, "servers": [odd]}).encode())


def twice(told: Told) -> bytes:
    return http(json.dumps({**told, "version": 9, "servers": told["servers"] + told["servers"][:1]}).encode())


def cut_short(told: Told) -> bytes:
    body = json.dumps({**told, "version": 9}).encode()
    return http(body[: len(body) // 2], len(body))


def no_json(told: Told) -> bytes:
    return http(json.dumps(told).encode()[:-1])


def no_http(_told: Told) -> bytes:
    return b"nothing that HTTP knows\r\n\r\n"


def broken_off(_told: Told) -> bytes:
    return b""  # a reset


@pytest.mark.parametrize(
    ("answer", "says"),
    [
        (nobody, "a whole list of nobody"),
        (goes_back, "version 0 after 1"),
        (unknown_state, "not a list of servers: KeyError: 'Odd'"),
        (twice, "two entries for server a"),
        (cut_short, "the connection ended"),
        (no_json, "not JSON"),
        (no_http, "discovery: Http"),
        (broken_off, "discovery: ConnectionResetError"),
    ],
)
def test_a_bad_answer_leaves_the_last_good_list_in_force(
    tmp_path: Path, answer: Callable[[Told], bytes], says: str
) -> None:
    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            discovery.bodies.append(answer(discovery.listing()))
            await discovery.change("a", "Ready")  # a watch that is out already ends with a good answer
            await program.wait_for_log(says)
            for _ in range(4):
                await program.connect()
            assert servers[0].first_lines and servers[1].first_lines, "both are in use"
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")  # asked again, and heard
            assert sum("discovery: " in line and "call" not in line for line in program.log) == 1
            assert await program.stop() == 0
            assert "discovery.failed=1" in program.log[-1].split()

    asyncio.run(play())


def test_a_refused_answer_is_heard_on_who_leaves_and_asked_again(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            told = discovery.listing()
            gone = {**told["servers"][1], "state": "Terminating"}
            body = json.dumps({**told, "version": 9, "servers": [told["servers"][0]] * 2 + [gone]}).encode()
            discovery.bodies.append(http(body))
            await discovery.change("a", "Ready")
            await program.wait_for_log("two entries for server a")
            await program.wait_for_log("server b draining")
            async with asyncio.timeout(10):
                while "" not in discovery.queries:  # everything is asked for, after a wait
                    assert (await program.connect()).up_line.startswith(b"UP a-")
                    await asyncio.sleep(0.05)
            assert await program.stop() == 0
            assert "discovery.refused=1" in program.log[-1].split()

    asyncio.run(play())


@pytest.mark.parametrize("shape", ["cut", "endless", "spoilt", "deep"])
def test_who_leaves_by_a_part_that_can_be_read_is_left_at_once(tmp_path: Path, shape: str) -> None:
    """Danger: what broke off, never ends or is no JSON has told of the drain all the same."""

    async def play() -> None:
        servers = [FakeServer("a"), FakeServer("b"), FakeServer("c")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            discovery.states["b"] = "Terminating"
            body = json.dumps({**discovery.listing(), "version": 9}, indent=4).encode()
            half = body[: body.rindex(b'"id"')]
            discovery.bodies.append(
                {
                    "cut": http(half, len(body)),
                    "endless": http(half, 10 * len(body)),
                    "spoilt": http(half + b"\x00\xff"),
                    "deep": http(half + b"[" * 100_000),
                }[shape]
            )
            discovery.keeps = shape == "endless"
            await discovery.change("a", "Ready")
            async with asyncio.timeout(10):
                while discovery.bodies:
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(1.7):  # it was begun, so its end is not waited for as a queue's is
                await program.wait_for_log("server b draining")
            assert "" not in discovery.queries, "heard from the part"
            async with asyncio.timeout(10):
                while "" not in discovery.queries:  # everything is asked for, in time
                    await asyncio.sleep(0.01)
            while (await program.connect()).up_line.startswith(b"UP a-"):
                pass  # the others of the last good list stay
            assert servers[1].first_lines == []

    asyncio.run(play())


def test_an_entry_that_can_not_be_read_hides_no_other() -> None:
    servers = [
        {"id": "a", "addr": "127.0.0.1:1", "state": "Odd"},
        {"id": "b", "addr": "127.0.0.1:1", "state": "Terminating"},
    ]
    with pytest.raises(ListingError, match="KeyError: 'Odd'") as caught:
        parse_listing({"version": 3, "full": True, "servers": servers}, {}, {})
    assert [each.server.id for each in caught.value.leaving] == ["b"]


def entry(name: str, state: ServerState = ServerState.READY) -> Entry:
    return Entry(make_server(name, state=state), ("127.0.0.1", 1))


@pytest.mark.parametrize(
    ("listing", "version"),
    [
        (Listing(7, False, (entry("a", ServerState.DRAINING), entry("b"))), 8),
        (Listing(9, True, (entry("a"), entry("b"), entry("a", ServerState.DRAINING))), 8),
    ],
)
def test_a_refused_answer_still_names_who_leaves(listing: Listing, version: int | None) -> None:
    """Danger: rule 3 asks for what was written to us, whatever else is wrong with it."""
    with pytest.raises(ListingError) as caught:
        checked(listing, version)
    assert [each.server.id for each in caught.value.leaving] == ["a"]


def test_whole_lists_and_changes_that_can_be_true_are_taken() -> None:
    for listing, version in (
        (Listing(3, True, (entry("a"),)), None),
        (Listing(3, True, (entry("a", ServerState.DRAINING),)), 2),
        (Listing(3, False, ()), 3),
        (Listing(4, False, (entry("a", ServerState.GONE),)), 3),
    ):
        assert checked(listing, version) is listing
