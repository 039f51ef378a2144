"""Which tests start processes: they have the machine to themselves, all others run side by side.

Owns: that list. Must never: skip a test.
"""

from __future__ import annotations

import pytest

LIVE = frozenset(
    (
        "admission",
        "config",
        "drain",
        "fleet",
        "handover",
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
)  # names of files, less `test_`


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.path.stem.removeprefix("test_") in LIVE:
            item.add_marker(pytest.mark.live)
