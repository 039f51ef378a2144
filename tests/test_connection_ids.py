"""Which connection ids are unavailable, here and at the other process of a balancer."""

from __future__ import annotations

from switchhub.net.connection_ids import USED_IDS_KEPT, ConnectionIds


def test_an_id_is_reserved_once_and_stays_unavailable_for_a_while() -> None:
    ids = ConnectionIds()
    assert ids.reserve("a") and not ids.reserve("a")
    ids.release("a")
    assert not ids.reserve("a")
    ids.remember(f"other{number}" for number in range(USED_IDS_KEPT - 1))
    assert not ids.reserve("a")
    ids.remember(("last",))
    assert ids.reserve("a"), "memory is bounded"


def test_an_id_in_use_stays_unavailable_however_many_others_are_used() -> None:
    ids = ConnectionIds()
    ids.remember(("held",))
    ids.occupy("held")
    ids.remember(f"other{number}" for number in range(2 * USED_IDS_KEPT))
    assert not ids.reserve("held")
    assert len(ids.all()) == USED_IDS_KEPT + 1


def test_observers_learn_of_each_id_once_before_its_request_goes_anywhere() -> None:
    ids, seen = ConnectionIds(), list[str]()
    ids.observers.append(seen.append)
    ids.remember(("from elsewhere",))
    assert ids.reserve("a") and not ids.reserve("a") and not ids.reserve("from elsewhere")
    assert seen == ["a"]


def test_an_id_that_was_known_before_its_connection_ended_counts_from_that_end() -> None:
    """The other process reports an id as used when it reserves it, and its connection ends much later."""
    ids = ConnectionIds()
    ids.remember(("held",))
    ids.occupy("held")
    ids.remember(f"other{number}" for number in range(USED_IDS_KEPT - 1))
    ids.release("held")
    ids.remember(("later",))
    assert not ids.reserve("held")
