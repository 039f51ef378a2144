"""Turns the wire's settings into the decision module's."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import TypeVar

from switchhub.decision.interface import KeyScope, Repeat, RequestClass, Settings, Tenant
from switchhub.wirehost.errors import WireError

_REPEATS = {"repeatable": Repeat.SAFE, "by_key": Repeat.KEYED, "once": Repeat.UNSAFE}
_SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}
_DISCOVERY = {"ask": True, "push": False}
_BOOLS = {"true": True, "false": False, "1": True, "0": False}
_NONE: tuple[float, ...] = ()
_T = TypeVar("_T")


def parse_pairs(parts: list[str]) -> dict[str, str]:
    """Split `path=value` fields; unknown paths are kept and passed over later."""
    pairs: dict[str, str] = {}
    for part in parts:
        path, sep, value = part.partition("=")
        if not sep:
            raise WireError("boot", "Config", f"not a path=value pair: {part!r}")
        pairs[path] = value
    return pairs


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _count(text: str) -> int:
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


class _Reader:
    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def need(self, path: str, convert: Callable[[str], _T]) -> _T:
        """A setting that must be there: the rules or the design stand on it."""
        if path not in self._pairs:
            raise WireError("boot", path, "setting is missing")
        return self._convert(path, convert)

    def get(self, path: str, convert: Callable[[str], _T], default: _T) -> _T:
        """A setting that only refines decisions."""
        return self._convert(path, convert) if path in self._pairs else default

    def _convert(self, path: str, convert: Callable[[str], _T]) -> _T:
        try:
            return convert(self._pairs[path])
        except (ValueError, KeyError):
            raise WireError("boot", path, f"bad value {self._pairs[path]!r}") from None


def _numbers(text: str) -> tuple[float, ...]:
    return tuple(_number(part) for part in text.split(",")) if text not in ("", "-") else ()


def _request_class(read: _Reader, index: int, message_aims: tuple[float, ...]) -> RequestClass:
    path = f"Classes.{index}."
    repeat = read.need(path + "Repeat", _REPEATS.__getitem__)
    if repeat is Repeat.KEYED:
        scope = read.need(path + "KeyScope", _SCOPES.__getitem__)
        window = read.need(path + "KeyTtl", _number)
    else:
        scope, window = KeyScope.ALL, 0.0
    aim = read.need(path + "GoalTime", _number)
    return RequestClass(
        name=read.get(path + "Name", str, str(index)),
        repeat=repeat,
        scope=scope,
        window=window,
        setup_aim=aim,
        deadline=read.need(path + "Deadline", _number),
        worth=read.get(path + "Worth", _number, 1.0),
        message_aim=message_aims[index] if index < len(message_aims) else aim,
    )


def read_settings(pairs: Mapping[str, str]) -> Settings:
    """The decision module's settings; a missing one that the rules need is an error."""
    read = _Reader(pairs)
    aims = read.get("FamilyInfo.MessageAim", _numbers, _NONE)
    quotas = read.get("FamilyInfo.TenantQuotaConnections", _numbers, _NONE)
    must_ask = read.need("Discovery", _DISCOVERY.__getitem__)
    fleet_size = read.need("FleetSize", _count)
    if fleet_size < 1:
        raise WireError("boot", "FleetSize", "must be at least 1")
    wait = read.get("Allowed.MaxRetryAfter", _number, 0.0)
    return Settings(
        classes=tuple(_request_class(read, i, aims) for i in range(read.need("Classes.count", _count))),
        tenants=tuple(
            Tenant(
                name=read.get(f"Customers.{i}.Name", str, str(i)),
                share=read.get(f"Customers.{i}.Share", _number, 0.0),
                connections=quotas[i] if i < len(quotas) else math.inf,
            )
            for i in range(read.get("Customers.count", _count, 0))
        ),
        fleet_size=fleet_size,
        zone=read.get("Az", _count, 0),
        max_attempts=read.need("Allowed.MaxAttempts", _count),
        probes_allowed=read.get("Allowed.Probes", _BOOLS.__getitem__, False),
        retry_after_max=wait if read.get("Allowed.RetryAfter", _BOOLS.__getitem__, False) else 0.0,
        groups_share_work=read.get("FamilyInfo.Groups", _BOOLS.__getitem__, False),
        must_watch_server_list=must_ask,
        watch_retry_within=read.need("Rules.AskWithin", _number) if must_ask else 0.0,
        cold_time=read.need("Rules.Cold", _number),
        cold_share=read.need("Rules.ColdFrom", _number),
        cold_budget_multiple=read.need("Rules.FallMultiple", _number),
        cold_budget_window=read.need("Rules.Fall", _number),
        over_share_worth=read.get("OverShareWorth", _number, 1.0),
        probe_price=read.get("Prices.Probe", _number, 0.0),
        move_price=read.get("Prices.Moves", _number, 0.0),
        cross_zone_price=read.get("Prices.CrossZone", _number, 0.0),
    )
