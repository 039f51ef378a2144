"""Marks the tests that start processes as `live`; these run alone, while all others run in parallel.

Every test runs in one of the two groups; none is skipped here.
"""

from __future__ import annotations

import pytest

LIVE_TEST_FILES = frozenset(
    (
        "admission",
        "config",
        "drain",
        "fleet",
        "handover",
        "hostile_clients",
        "discovery_retry",
        "live",
        "listing",
        "management",
        "model",
        "placement_module",
        "peers",
        "program",
        "reload",
        "upgrades",
        "wire",
    )
)  # file names without the prefix `test_`


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem.removeprefix("test_") in LIVE_TEST_FILES:
            item.add_marker(pytest.mark.live)
