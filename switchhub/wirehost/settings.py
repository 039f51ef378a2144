"""Reads the decision module's settings from configuration paths and their values, as text.

The simulator sends the pairs in its `boot` message; the balancer process flattens its configuration file to
the same paths. All times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import TypeVar

from switchhub.decision.interface import KeyScope, Repeat, RequestClass, Settings, Tenant
from switchhub.wirehost.errors import WireError

_REPEATS = {"repeatable": Repeat.SAFE, "by_key": Repeat.KEYED, "once": Repeat.UNSAFE}
_KEY_SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
_MUST_WATCH_SERVER_LIST = {"ask": True, "push": False}
_BOOLEANS = {"true": True, "false": False, "1": True, "0": False}
_NO_NUMBERS: tuple[float, ...] = ()
_T = TypeVar("_T")


def parse_pairs(parts: list[str]) -> dict[str, str]:
    """Split `path=value` fields into values by path.

    Unknown paths are kept; `read_settings` ignores them. Raises `WireError` for a field without `=`.
    """
    pairs: dict[str, str] = {}
    for part in parts:
        path, separator, value = part.partition("=")
        if not separator:
            raise WireError("boot", "Config", f"not a path=value pair: {part!r}")
        pairs[path] = value
    return pairs


def _parse_number(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def _parse_count(text: str) -> int:
    count = int(text)
    if count < 0:
        raise ValueError(text)
    return count


class _SettingsReader:
    """Converts single settings; a value that can't be converted is a `WireError` that names its path."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def required(self, path: str, convert: Callable[[str], _T]) -> _T:
        """Return a setting that correct decisions depend on; raises `WireError` if it is missing."""
        if path not in self._pairs:
            raise WireError("boot", path, "setting is missing")
        return self._convert(path, convert)

    def optional(self, path: str, convert: Callable[[str], _T], default: _T) -> _T:
        """Return a setting that only refines decisions, or the default if it is missing."""
        return self._convert(path, convert) if path in self._pairs else default

    def _convert(self, path: str, convert: Callable[[str], _T]) -> _T:
        try:
            return convert(self._pairs[path])
        except (ValueError, KeyError):
            raise WireError("boot", path, f"invalid value {self._pairs[path]!r}") from None


def _parse_numbers(text: str) -> tuple[float, ...]:
    return tuple(_parse_number(item) for item in text.split(",")) if text not in ("", "-") else ()


def _read_request_class(reader: _SettingsReader, index: int, message_aims: tuple[float, ...]) -> RequestClass:
    prefix = f"Classes.{index}."
    repeat = reader.required(prefix + "Repeat", _REPEATS.__getitem__)
    if repeat is Repeat.KEYED:
        key_scope = reader.required(prefix + "KeyScope", _KEY_SCOPES.__getitem__)
        key_window = reader.required(prefix + "KeyTtl", _parse_number)
    else:
        key_scope, key_window = KeyScope.ALL, 0.0
    setup_aim = reader.required(prefix + "GoalTime", _parse_number)
    return RequestClass(
        name=reader.optional(prefix + "Name", str, str(index)),
        repeat=repeat,
        scope=key_scope,
        window=key_window,
        setup_aim=setup_aim,
        deadline=reader.required(prefix + "Deadline", _parse_number),
        worth=reader.optional(prefix + "Worth", _parse_number, 1.0),
        message_aim=message_aims[index] if index < len(message_aims) else setup_aim,
    )


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """Return the decision module's settings from values by path; unknown paths are ignored.

    Raises `WireError`, which names the path, if a required setting is missing or a value is invalid.
    """
    reader = _SettingsReader(pairs)
    message_aims = reader.optional("FamilyInfo.MessageAim", _parse_numbers, _NO_NUMBERS)
    connection_quotas = reader.optional("FamilyInfo.TenantQuotaConnections", _parse_numbers, _NO_NUMBERS)
    must_watch = reader.required("Discovery", _MUST_WATCH_SERVER_LIST.__getitem__)
    fleet_size = reader.required("FleetSize", _parse_count)
    if fleet_size < 1:
        raise WireError("boot", "FleetSize", "must be at least 1")
    retry_after_max = reader.optional("Allowed.MaxRetryAfter", _parse_number, 0.0)
    return Settings(
        classes=tuple(
            _read_request_class(reader, i, message_aims)
            for i in range(reader.required("Classes.count", _parse_count))
        ),
        tenants=tuple(
            Tenant(
                name=reader.optional(f"Customers.{i}.Name", str, str(i)),
                share=reader.optional(f"Customers.{i}.Share", _parse_number, 0.0),
                connections=connection_quotas[i] if i < len(connection_quotas) else math.inf,
            )
            for i in range(reader.optional("Customers.count", _parse_count, 0))
        ),
        fleet_size=fleet_size,
        zone=reader.optional("Az", _parse_count, 0),
        max_attempts=reader.required("Allowed.MaxAttempts", _parse_count),
        probes_allowed=reader.optional("Allowed.Probes", _BOOLEANS.__getitem__, False),
        retry_after_max=retry_after_max
        if reader.optional("Allowed.RetryAfter", _BOOLEANS.__getitem__, False)
        else 0.0,
        groups_share_work=reader.optional("FamilyInfo.Groups", _BOOLEANS.__getitem__, False),
        must_watch_server_list=must_watch,
        watch_retry_within=reader.required("Rules.AskWithin", _parse_number) if must_watch else 0.0,
        cold_time=reader.required("Rules.Cold", _parse_number),
        cold_share=reader.required("Rules.ColdFrom", _parse_number),
        cold_budget_multiple=reader.required("Rules.FallMultiple", _parse_number),
        cold_budget_window=reader.required("Rules.Fall", _parse_number),
        over_share_worth=reader.optional("OverShareWorth", _parse_number, 1.0),
        probe_price=reader.optional("Prices.Probe", _parse_number, 0.0),
        move_price=reader.optional("Prices.Moves", _parse_number, 0.0),
        cross_zone_price=reader.optional("Prices.CrossZone", _parse_number, 0.0),
    )
