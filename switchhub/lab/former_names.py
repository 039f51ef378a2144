"""Former names of the decision module's types and fields, for checkouts from before they were renamed.

The one place where former names are listed. It imports nothing of the project: `placement.py` loads it as a
plain file, so that only the measured checkout's modules are imported there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any

FORMER_TYPES: Mapping[str, str] = {
    # switchhub.decision.interface
    "KeyScope": "Scope",
    "ServerState": "State",
    "ServerListKind": "RosterKind",
    # switchhub.decision.facade
    "ServerList": "Roster",
    "ServerListLost": "RosterLost",
    "PendingActions": "Chores",
}
"""Current name of a type: its former name."""

FORMER_FIELDS: Mapping[str, Mapping[str, str]] = {
    "RequestClass": {"setup_aim": "aim"},
    "Settings": {
        "must_watch_server_list": "must_ask_roster",
        "watch_retry_within": "ask_within",
        "cold_budget_multiple": "fall_multiple",
        "cold_budget_window": "fall_time",
        "cross_zone_price": "crossing_price",
    },
    "Server": {"started_at": "born"},
    "Ended": {"closed": "over"},
}
"""Current name of a type: the current names of its renamed fields, each with its former name."""

_CURRENT_TYPES: Mapping[str, str] = {former: current for current, former in FORMER_TYPES.items()}


def find_type(module: Any, name: str) -> Any:
    """The type that another checkout's module has under its current or its former name.

    Raises AttributeError if the module has neither.
    """
    return getattr(module, name if hasattr(module, name) else FORMER_TYPES.get(name, name))


def current_type_name(name: str) -> str:
    """The current name of a type that another checkout may still call by its former name."""
    return _CURRENT_TYPES.get(name, name)


def rename_fields(kind: Any, type_name: str, values: Mapping[str, Any]) -> dict[str, Any]:
    """The values by the field names of another checkout's type `kind`; fields that it lacks are left out.

    `type_name` is the type's current name, and `values` has the current names of its fields.
    """
    known = {each.name for each in fields(kind)} if is_dataclass(kind) else set(kind._fields)
    former = FORMER_FIELDS.get(type_name, {})
    renamed = {name if name in known else former.get(name, name): value for name, value in values.items()}
    return {name: value for name, value in renamed.items() if name in known}
