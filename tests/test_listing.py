"""Incomplete or wrong discovery responses: the last valid list stays and the list is requested again."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from switchhub.decision.interface import ServerState
from switchhub.net.config import Listing, ListingError, ServerEntry, parse_listing, validated_listing
from tests.balancer_driver import make_server
from tests.harness import FakeServer, running_balancer

ListingData = dict[str, Any]


def http(body: bytes, length: int = -1) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    return head % (len(body) if length < 0 else length) + body


def empty_list(listing: ListingData) -> bytes:
    return http(json.dumps({**listing, "version": 9, "servers": []}).encode())


def older_version(listing: ListingData) -> bytes:
    return http(json.dumps({**listing, "version": 0}).encode())


def unknown_state(listing: ListingData) -> bytes:
    odd = {**listing["servers"][0], "state": "Odd"}
    return http(json.dumps({**listing, "version": 9, "servers": [odd]}).encode())


def duplicate_entry(listing: ListingData) -> bytes:
    return http(
        json.dumps({**listing, "version": 9, "servers": listing["servers"] + listing["servers"][:1]}).encode()
    )


def truncated_body(listing: ListingData) -> bytes:
    body = json.dumps({**listing, "version": 9}).encode()
    return http(body[: len(body) // 2], len(body))


def invalid_json(listing: ListingData) -> bytes:
    return http(json.dumps(listing).encode()[:-1])


def not_http(_listing: ListingData) -> bytes:
    return b"nothing that HTTP knows\r\n\r\n"


def connection_reset(_listing: ListingData) -> bytes:
    return b""  # a reset


@pytest.mark.parametrize(
    ("response", "log_text"),
    [
        (empty_list, "empty full server list"),
        (older_version, "server list version 0 is older than the current version 1"),
        (unknown_state, "malformed server list: KeyError: 'Odd'"),
        (duplicate_entry, "duplicate entries for server a"),
        (truncated_body, "connection closed before the end of the response"),
        (invalid_json, "invalid JSON"),
        (not_http, "discovery: Http"),
        (connection_reset, "discovery: ConnectionResetError"),
    ],
)
def test_an_invalid_response_leaves_the_last_valid_list_in_force(
    tmp_path: Path, response: Callable[[ListingData], bytes], log_text: str
) -> None:
    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            discovery.canned_responses.append(response(discovery.listing()))
            await discovery.change("a", "Ready")  # answers the watch that is already waiting
            await program.wait_for_log(log_text)
            for _ in range(4):
                await program.connect()
            assert servers[0].first_lines and servers[1].first_lines, "both servers are in use"
            await discovery.change("b", "Terminating")
            await program.wait_for_log("server b draining")  # received by a later call
            assert sum("discovery: " in line and "call" not in line for line in program.log) == 1
            assert await program.stop() == 0
            assert "discovery.failed=1" in program.log[-1].split()

    asyncio.run(run())


def test_a_rejected_list_still_reports_leaving_servers_and_is_requested_again(tmp_path: Path) -> None:
    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            listing = discovery.listing()
            draining = {**listing["servers"][1], "state": "Terminating"}
            body = json.dumps(
                {**listing, "version": 9, "servers": [listing["servers"][0]] * 2 + [draining]}
            ).encode()
            discovery.canned_responses.append(http(body))
            await discovery.change("a", "Ready")
            await program.wait_for_log("duplicate entries for server a")
            await program.wait_for_log("server b draining")
            async with asyncio.timeout(10):
                while "" not in discovery.queries:  # the full list is requested, after a pause
                    assert (await program.connect()).up_line.startswith(b"UP a-")
                    await asyncio.sleep(0.05)
            assert await program.stop() == 0
            assert "discovery.refused=1" in program.log[-1].split()

    asyncio.run(run())


@pytest.mark.parametrize("shape", ["truncated", "endless", "corrupt", "deep"])
def test_a_drain_in_the_readable_part_of_a_response_takes_effect_at_once(tmp_path: Path, shape: str) -> None:
    """A response that broke off, never ends or is not JSON has reported the drain all the same."""

    async def run() -> None:
        servers = [FakeServer("a"), FakeServer("b"), FakeServer("c")]
        async with running_balancer(tmp_path, *servers) as (program, discovery):
            discovery.states["b"] = "Terminating"
            body = json.dumps({**discovery.listing(), "version": 9}, indent=4).encode()
            half = body[: body.rindex(b'"id"')]
            discovery.canned_responses.append(
                {
                    "truncated": http(half, len(body)),
                    "endless": http(half, 10 * len(body)),
                    "corrupt": http(half + b"\x00\xff"),
                    "deep": http(half + b"[" * 100_000),
                }[shape]
            )
            discovery.keep_open = shape == "endless"
            await discovery.change("a", "Ready")
            async with asyncio.timeout(10):
                while discovery.canned_responses:
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(1.7):  # its body has begun, so it has less time than a queued call
                await program.wait_for_log("server b draining")
            assert "" not in discovery.queries, "taken from the part, before the next full list"
            async with asyncio.timeout(10):
                while "" not in discovery.queries:  # the full list is requested in time
                    await asyncio.sleep(0.01)
            while (await program.connect()).up_line.startswith(b"UP a-"):
                pass  # the other servers of the last valid list stay
            assert servers[1].first_lines == []

    asyncio.run(run())


def test_an_unreadable_entry_does_not_hide_other_entries() -> None:
    servers = [
        {"id": "a", "addr": "127.0.0.1:1", "state": "Odd"},
        {"id": "b", "addr": "127.0.0.1:1", "state": "Terminating"},
    ]
    with pytest.raises(ListingError, match="KeyError: 'Odd'") as caught:
        parse_listing({"version": 3, "full": True, "servers": servers}, {}, {})
    assert [each.server.id for each in caught.value.leaving] == ["b"]


def entry(name: str, state: ServerState = ServerState.READY) -> ServerEntry:
    return ServerEntry(make_server(name, state=state), ("127.0.0.1", 1))


@pytest.mark.parametrize(
    ("listing", "version"),
    [
        (Listing(7, False, (entry("a", ServerState.DRAINING), entry("b"))), 8),
        (Listing(9, True, (entry("a"), entry("b"), entry("a", ServerState.DRAINING))), 8),
    ],
)
def test_a_rejected_list_still_names_leaving_servers(listing: Listing, version: int | None) -> None:
    """Rule 3 requires it: a reported drain counts, whatever else is wrong with the list."""
    with pytest.raises(ListingError) as caught:
        validated_listing(listing, version)
    assert [each.server.id for each in caught.value.leaving] == ["a"]


def test_plausible_full_lists_and_changes_are_accepted() -> None:
    for listing, version in (
        (Listing(3, True, (entry("a"),)), None),
        (Listing(3, True, (entry("a", ServerState.DRAINING),)), 2),
        (Listing(3, False, ()), 3),
        (Listing(4, False, (entry("a", ServerState.GONE),)), 3),
    ):
        assert validated_listing(listing, version) is listing
