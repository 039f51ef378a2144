"""The checker of histories: right ones and wrong ones by hand."""

from __future__ import annotations

import pytest

from switchhub.lab.lease_history import HistoryEntry, find_violations


def told(text: str) -> list[HistoryEntry]:
    """`a held 3; a effect 3`: one each second."""
    out = []
    for at, line in enumerate(text.split("; ")):
        by, kind, token, *rest = line.split()
        out.append(HistoryEntry(float(at), kind, rest[0] if rest else "d", int(token), by))
    return out


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
def test_a_right_history_has_no_fault(text: str) -> None:
    assert find_violations(told(text)) == []


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("a held 1; b held 2", "d: b holds at 1.000, and so does a"),
        ("a held 3; a lost 3; b held 2", "b holds under token 2 after token 3"),
        ("a held 3; a lost 3; a held 3", "a holds under token 3 after token 3"),
        ("a held 1; a lost 1; a effect 1", "effect by a under token 1 at 2.000, which it does not hold"),
        ("a held 1; a lost 1; a renewed 1", "renewed by a"),
        ("a held 1; b effect 1", "token 1 was a's and b's"),
        ("a effect 2; b effect 3; a effect 2; b effect 3", "1 effects under a spent token"),
        ("a effect 2; b effect 2", "token 2 was a's and b's"),
    ],
)
def test_a_wrong_history_is_told(text: str, says: str) -> None:
    assert any(says in each for each in find_violations(told(text))), find_violations(told(text))


def test_a_counted_name_has_so_many_holders_and_no_more() -> None:
    right = "a held 1 r#0; b held 1 r#1; a lost 1 r#0; c held 2 r#0; c effect 2 r#0"
    assert find_violations(told(right), 2) == []
    assert find_violations(told(right), 1) == []  # each slot is a lease of its own
    assert "r: 3 hold at 2.000, 2 may" in find_violations(told("a held 1 r#0; b held 1 r#1; c held 1 r#2"), 2)
    assert "r: one holds twice at 1.000" in find_violations(told("a held 1 r#0; a held 1 r#1"), 2)
