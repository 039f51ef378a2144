"""Encoding of messages between balancers, the operator file, and lease handles of components."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import cast

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchhub.lab.live.runner import free_ports
from switchhub.leases import messages as leases
from switchhub.lifecycle.phase import Phase
from switchhub.membership.messages import (
    Ack,
    FullState,
    IndirectPing,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    Source,
    State,
)
from switchhub.membership.swim import MAX_UPDATES, Membership, Options
from switchhub.operator_file import LeaseSettings, OperatorFileError, PeerSettings, read_operator_file
from switchhub.peers.codec import (
    MAX_DATAGRAM_BYTES,
    MAX_FULL_STATE_BYTES,
    VERSION,
    RejectedMessageError,
    pack,
    unpack,
)
from switchhub.peers.lease_handle import LeaseHandle
from switchhub.peers.node import MAX_INCOMING_BYTES, PeerNode

ROOT = Path(__file__).parent.parent
names = st.text(min_size=1, max_size=16)
addresses = st.just("10.0.0.5:7946")
counts = st.integers(0, 2**32 - 1)
sources = st.builds(Source, names, addresses, counts, st.integers(0, 2**62), st.integers(0, 2**53 - 1))
updates = st.builds(
    MemberUpdate, names, addresses, counts, st.integers(0, 2**62), st.sampled_from(State), st.text(max_size=8)
)
update_lists = st.lists(updates, max_size=4).map(tuple)
messages = st.one_of(
    st.builds(Ping, counts, sources, st.text(max_size=8), update_lists, st.booleans()),
    st.builds(IndirectPing, counts, sources, names, addresses, update_lists),
    st.builds(Ack, counts, sources, update_lists),
    st.builds(Nack, counts, sources),
    st.builds(FullState, sources, update_lists, st.booleans()),
)


@given(messages)
def test_messages_survive_encoding_and_decoding(message: Message) -> None:
    assert unpack("river", pack("river", message)) == message


@given(messages, st.data())
def test_any_bytes_are_decoded_or_rejected(message: Message, data: st.DataObject) -> None:
    """Random bytes, a message cut short, one with a byte changed: rejected, or decoded to a
    valid message."""
    valid = pack("river", message)
    at = data.draw(st.integers(0, len(valid) - 1))
    corrupted = valid[:at] + bytes([data.draw(st.integers(0, 255))]) + valid[at + 1 :]
    for each in (data.draw(st.binary(max_size=200)), valid[:at], corrupted, valid + b"\0"):
        member = Membership("n0", "10.0.0.1:1", 1, (), Options(), 1, 0.0)
        try:
            decoded = unpack("river", each)
        except RejectedMessageError as error:
            assert error.kind in ("garbage", "other_cluster", "other_version")
            continue
        assert not isinstance(decoded, leases.Message)
        member.receive(0.0, decoded)
        member.turn(1.0)
        assert all(len(pack("river", send.message)) < 2 * MAX_DATAGRAM_BYTES for send in member.out)


def test_other_clusters_and_versions_are_rejected_and_unknown_fields_ignored() -> None:
    source = Source("n1", "10.0.0.1:1", 7, 0, 0)
    ping = Ping(1, source, "", ())
    with pytest.raises(RejectedMessageError, match="other_cluster"):
        unpack("lake", pack("river", ping))
    body = msgspec.msgpack.decode(pack("river", ping))
    body[0] = VERSION + 1
    with pytest.raises(RejectedMessageError, match="other_version"):
        unpack("river", msgspec.msgpack.encode(body))
    body[0] = VERSION
    body.append("a later field")
    body[2].append({"and": "another"})
    assert unpack("river", msgspec.msgpack.encode(body)) == ping
    with pytest.raises(RejectedMessageError, match="garbage"):
        unpack("river", b"\x91" * 100_000)


def test_datagram_full_of_updates_with_longest_names_fits() -> None:
    member = Membership("n" * 48, "255.255.255.255:65535", 2**32 - 1, (), Options(), 1, 0.0)
    for number in range(2 * MAX_UPDATES):
        name = f"{number:064d}"
        member._apply(
            MemberUpdate(name, "255.255.255.255:65535", 2**32 - 1, 2**20, State.ALIVE, name), 0.0, ""
        )
    while member.deadline() < 3.0:
        member.turn(member.deadline())
    sizes = [
        len(pack("c" * 64, send.message)) for send in member.out if not isinstance(send.message, FullState)
    ]
    assert len(sizes) > 20 and max(sizes) <= MAX_DATAGRAM_BYTES


def test_all_faults_of_an_operator_file_are_reported_at_once(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(
        '[peers]\ncluster = ""\nlisten = "10.0.0.5"\nseeds = ["a"]\nperiod_ms = 2\nperod = 3\n[what]\n',
        encoding="utf-8",
    )
    with pytest.raises(OperatorFileError) as found:
        read_operator_file(path)
    assert [line.split(": ")[1].split(" ")[0] for line in found.value.faults] == [
        "peers.cluster",
        "peers.period_ms",
        "peers.perod",
        "what",
    ]
    path.write_text(
        '[peers]\ncluster = "r"\nlisten = "10.0.0.5:77777"\nadvertise = "0.0.0.0:99"\ntimeout_ms = 200\n'
        'seeds = ["10.0.0.5:1", "10.0.0.5:1", "x:y"]\nsuspicion_ms = 300\nremember_s = 1\n',
        encoding="utf-8",
    )
    run = subprocess.run(
        [sys.executable, "-m", "switchhub", "check", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert run.returncode == 2
    assert [line.split(": ")[1].split(" ")[0] for line in run.stderr.splitlines()] == [
        "peers.listen",
        "peers.advertise",
        "peers.seeds[2]",
        "peers.seeds",
        "peers.timeout_ms",
        "peers.suspicion_ms",
        "peers.remember_s",
    ]


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("a = [", "Invalid value"),
        (
            '[peers]\ncluster = "r"\nlisten = "1.2.3.4:5"\nseeds = ["1.2.3.4:5"]\n',
            "at least one balancer other than this one",
        ),
        ('[peers]\ncluster = "r"\nlisten = "1.2.3.4:0"\n', "a port other than 0"),
        ("peers = 3\n", "expected a table"),
        ('[leases]\nvoters = ["1.2.3.4:5", "1.2.3.4:6"]\n', r"1, 3, 5 or 7 of them, got 2"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\n', r"expected \[peers\] too"),
        ('[leases]\nvoters = ["a", "b", "b"]\nlength_ms = 500\n', r"'b' appears 2 times"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\nbefore = ["1.2.3.4:5"]\n', "other voters than leases.voters"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\nbefore = ["1.2.3.4:6"]\n', "1 of 1 are not"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\nbefore = ["1.2.3.4:5", "1.2.3.4:6"]\n', "before: expected 1, 3"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\n[leases.counted]\nr = 0\n', "counted = .*expected .*1"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\n[leases.counted]\n"r#" = 2\n', "without '#', not 'r#'"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\nlongest_ms = 2000\n', "length_ms = 3000 or more"),
        ('[leases]\nvoters = ["1.2.3.4:5"]\nmargin_ms = 900\n', "a quarter of length_ms"),
    ],
)
def test_invalid_operator_files_are_rejected(tmp_path: Path, text: str, expected_error: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(OperatorFileError, match=expected_error):
        read_operator_file(path)


def test_example_file_is_valid() -> None:
    settings = read_operator_file(ROOT / "deploy" / "operator.example.toml")
    assert settings.peers is not None and settings.peers.address == "10.0.0.5:7946"


def test_component_acquires_a_lease_and_hands_it_on() -> None:
    """Two nodes on loopback, one the only voter: a lease is acquired, handed on, and lost with the voter."""

    async def scenario() -> None:
        (port,) = free_ports("127.0.0.1", 1)
        addresses = [f"127.0.0.{number}:{port}" for number in (1, 2)]
        lease_settings = LeaseSettings(voters=addresses[:1], length_ms=500, longest_ms=500, margin_ms=50)
        nodes = [
            PeerNode(PeerSettings(cluster="x", listen=address, seeds=addresses), f"n{number}", lease_settings)
            for number, address in enumerate(addresses)
        ]
        try:
            for node in nodes:
                node.on_phase_change(Phase.READY)
            handles = [node.request_lease("d") for node in nodes]
            async with asyncio.timeout(20.0):
                waiters = [asyncio.create_task(handle.acquired()) for handle in handles]
                done, _ = await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
                assert len(done) == 1
                at = waiters.index(done.pop())
                first, second = handles[at], handles[1 - at]
                assert first.is_held() and not second.is_held()
                token = cast(int, first.token)
                while not first.release(f"n{1 - at}"):  # fails until the nodes know each other
                    await asyncio.sleep(0.01)
                assert not first.is_held() and first.token is None
                await first.lost()
                assert await waiters[1 - at] > token
                nodes[0].close()
                await second.lost()
                assert not second.is_held()
        finally:
            for node in nodes:
                node.close()

    asyncio.run(scenario())


def test_waiter_returns_when_a_lease_is_renewed_under_the_same_token() -> None:
    """The lease expires by the clock for a moment and is then renewed by a late answer.

    The token has not changed, so the component gets no notification; `acquired` has to notice by itself.
    """

    async def scenario() -> None:
        now: list[int | None] = [7]
        handle = LeaseHandle("d", lambda: now[0], lambda successor: True)
        handle.notify(7)
        await asyncio.sleep(0)
        now[0] = None
        waiter = asyncio.create_task(handle.acquired())
        await asyncio.sleep(0)
        assert not waiter.done()
        now[0] = 7
        handle.notify(7)
        assert await asyncio.wait_for(waiter, 5.0) == 7

    asyncio.run(scenario())


def test_unfinished_messages_of_all_connections_together_are_bounded() -> None:
    """Each of 48 connections that stopped half way through 1 MB held that much until its time-out."""

    async def scenario() -> None:
        (port,) = free_ports("127.0.0.1", 1)
        node = PeerNode(PeerSettings(cluster="x", listen=f"127.0.0.1:{port}", seeds=[]), "n0")
        writers: list[asyncio.StreamWriter] = []
        try:
            node.on_phase_change(Phase.READY)
            async with asyncio.timeout(10.0):
                while not node.counts["too_long"]:
                    try:
                        _, writer = await asyncio.open_connection("127.0.0.1", port)
                    except OSError:  # it does not listen yet
                        await asyncio.sleep(0.01)
                        continue
                    writer.write(b"x" * (MAX_FULL_STATE_BYTES - 1))
                    writers.append(writer)
                    assert len(writers) <= 2 * MAX_INCOMING_BYTES // MAX_FULL_STATE_BYTES
                    await asyncio.sleep(0.05)
                for writer in writers:
                    writer.close()
                while node._incoming_bytes:
                    await asyncio.sleep(0.01)
        finally:
            node.close()

    asyncio.run(scenario())
