"""The messages that pass between an old and a new process of a balancer."""

from __future__ import annotations

import contextlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from switchhub.decision.interface import LearnedServer, LearnedState
from switchhub.handover import messages
from switchhub.handover.sender import socket_path

SHORT_TEXTS = st.text(max_size=8)
NUMBERS = st.floats(0, 1e12)
HELD = st.builds(
    messages.HeldConnection,
    id=st.text(min_size=1, max_size=8),
    class_name=SHORT_TEXTS,
    tenant=SHORT_TEXTS,
    key=st.none() | SHORT_TEXTS,
    group=st.none() | SHORT_TEXTS,
    hint=st.none() | NUMBERS,
    server=SHORT_TEXTS,
    load=NUMBERS,
)


@given(st.lists(HELD, max_size=200))
def test_held_connections_survive_encoding(held: list[messages.HeldConnection]) -> None:
    decoded = []
    for message in messages.encode_held(held):
        assert len(message) < messages.MAX_MESSAGE_BYTES
        kind, values = messages.decode_message(message)
        assert kind == "held"
        decoded += messages.decode_held(values)
    assert decoded == held


@given(
    HELD, st.binary(max_size=4096), st.binary(max_size=4096), st.lists(NUMBERS, max_size=16), st.booleans()
)
def test_passed_connection_survives_encoding(
    held: messages.HeldConnection, up: bytes, down: bytes, asked_at: list[float], move: bool
) -> None:
    passed = messages.PassedConnection(held, up, down, tuple(asked_at), 5.0, 7.5, b"UP", move)
    message = messages.encode_passed(passed)
    kind, values = messages.decode_message(message)
    assert kind == "pass" and len(message) < messages.MAX_MESSAGE_BYTES
    assert messages.decode_passed(values) == passed


def test_learned_state_survives_encoding() -> None:
    servers = (
        LearnedServer("s1", 0.5, 2, 7.0, float("inf"), 0.0, ()),
        LearnedServer("s2", 0.1, 0, 0.0, 900.0, 5.0, ((1.0, 2.0), (3.0, 4.0))),
    )
    learned_state = LearnedState(12.5, 30.0, 4.0, float("-inf"), servers)
    _, values = messages.decode_message(
        messages.encode_message("yours", learnt=messages.encode_learned_state(learned_state))
    )
    assert messages.decode_learned_state(values["learnt"]) == learned_state


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_raise_message_error(data: bytes) -> None:
    with contextlib.suppress(messages.MessageError):
        messages.decode_message(data)


@pytest.mark.parametrize(
    "values", [{}, {"connections": 3}, {"connections": [[1]]}, {"connections": [[""] * 8]}]
)
def test_malformed_values_raise_message_error(values: dict[str, Any]) -> None:
    with pytest.raises(messages.MessageError):
        messages.decode_held(values)
    with pytest.raises(messages.MessageError):
        messages.decode_passed(values)
    with pytest.raises(messages.MessageError):
        messages.decode_learned_state(values)


def test_socket_path_is_empty_without_a_folder_or_when_too_long() -> None:
    assert socket_path("", "n0") == ""
    assert socket_path("/tmp", "a/../b") == "/tmp/switchhub-a%2F..%2Fb.sock"
    assert socket_path("/tmp/" + "x" * 100, "n0") == ""
