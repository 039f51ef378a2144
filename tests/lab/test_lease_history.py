"""Checker of lease histories: valid and invalid histories written by hand."""

from __future__ import annotations

import pytest

from switchhub.lab.lease_history import HistoryEntry, find_violations


def parse_history(text: str) -> list[HistoryEntry]:
    """Parse entries such as `a held 3; a effect 3 LEASE`, one per second; the default lease is `d`."""
    entries = []
    for at, line in enumerate(text.split("; ")):
        by, kind, token, *rest = line.split()
        entries.append(HistoryEntry(float(at), kind, rest[0] if rest else "d", int(token), by))
    return entries


@pytest.mark.parametrize(
    "text",
    [
        "a held 1; a effect 1; a lost 1; b held 2; b effect 2; b renewed 2; b effect 2; b lost 2; a held 7",
        "a effect 1; a effect 1; b effect 2; c effect 9",
        "a held 1; a held 4; a effect 4; a lost 4; b held 5",  # raised without a gap
        "a held 1; b held 1 other; a effect 1; b effect 1 other",
        "a lost 1; a held 2; a lost 2; a lost 2",
    ],
)
def test_valid_history_has_no_violation(text: str) -> None:
    assert find_violations(parse_history(text)) == []


@pytest.mark.parametrize(
    ("text", "expected_violation"),
    [
        ("a held 1; b held 2", "d: b holds at 1.000, and so does a"),
        ("a held 3; a lost 3; b held 2", "b holds under token 2 after token 3"),
        ("a held 3; a lost 3; a held 3", "a holds under token 3 after token 3"),
        ("a held 1; a lost 1; a effect 1", "effect by a under token 1 at 2.000, which it does not hold"),
        ("a held 1; a lost 1; a renewed 1", "renewed by a"),
        ("a held 1; b effect 1", "token 1 was a's and b's"),
        ("a effect 2; b effect 3; a effect 2; b effect 3", "1 effects under a stale token"),
        ("a effect 2; b effect 2", "token 2 was a's and b's"),
    ],
)
def test_invalid_history_is_reported(text: str, expected_violation: str) -> None:
    assert any(expected_violation in each for each in find_violations(parse_history(text))), find_violations(
        parse_history(text)
    )


def test_counted_lease_has_at_most_its_number_of_holders() -> None:
    valid = "a held 1 r#0; b held 1 r#1; a lost 1 r#0; c held 2 r#0; c effect 2 r#0"
    assert find_violations(parse_history(valid), 2) == []
    assert find_violations(parse_history(valid), 1) == []  # each slot is a lease of its own
    assert "r: 3 holders at 2.000, 2 allowed" in find_violations(
        parse_history("a held 1 r#0; b held 1 r#1; c held 1 r#2"), 2
    )
    assert "r: one process holds two slots at 1.000" in find_violations(
        parse_history("a held 1 r#0; a held 1 r#1"), 2
    )
