"""What the balancer is told at its start: environment, JSON file, settings, the list as last known.

Owns: the reading of these, once. Must never: change afterwards, or guess what the rules need; a file that
does not serve ends the program with one plain line.
"""

from __future__ import annotations

import contextlib
import json
import math
import re
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from switchhub.decision.interface import Server, ServerState, Settings
from switchhub.wirehost.errors import WireError
from switchhub.wirehost.settings import read_settings

_STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
_OBJECT = re.compile(rb"\{[^{}]*\}")  # an entry, wherever it stands; it has no objects inside
UNREADABLE = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)  # odd JSON, at worst
Address = tuple[str, int]


class ConfigError(ValueError):
    """The balancer can't start with what it was told."""


class Entry(NamedTuple):
    """A server of discovery's list: what the module knows of it, and where it listens."""

    server: Server
    address: Address


class Listing(NamedTuple):
    """An answer of discovery."""

    version: int
    full: bool
    entries: tuple[Entry, ...]


class Config(NamedTuple):
    """All that this balancer was told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    dial_timeout: float
    tells_load: bool
    tells_delay: bool
    known: Listing
    management: Address | None = None  # where the operators' staff call; nothing is opened without it


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested JSON as the wire's path=value pairs."""
    pairs: dict[str, str] = {}
    if isinstance(value, dict):
        for key, each in value.items():
            pairs.update(flatten(each, f"{path}.{key}" if path else key))
    elif isinstance(value, list) and any(isinstance(each, dict) for each in value):
        pairs[f"{path}.count"] = str(len(value))
        for index, each in enumerate(value):
            pairs.update(flatten(each, f"{path}.{index}"))
    elif isinstance(value, list):
        pairs[path] = ",".join(_plain(each) for each in value)
        if not value:
            pairs[f"{path}.count"] = "0"
    else:
        pairs[path] = _plain(value)
    return pairs


def _plain(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


def parse_address(text: str) -> Address:
    """HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


class ListingError(ConfigError):
    """A list that can't be whole or true; `leaving` are the servers that it says drain or are gone."""

    def __init__(self, reason: str, leaving: tuple[Entry, ...] = ()) -> None:
        super().__init__(reason)
        self.leaving = leaving


def _leaving(entries: Iterable[Entry]) -> tuple[Entry, ...]:
    """Those that drain or are gone."""
    return tuple(each for each in entries if each.server.state is not ServerState.READY)


def parse_listing(data: Any, zones: Mapping[str, int], kinds: Mapping[str, int]) -> Listing:
    """Discovery's JSON; `ListingError` where it can't be one, with what its other entries say of leaving."""
    entries: list[Entry] = []
    reason = ""
    try:
        for each in data["servers"]:
            try:
                entries.append(_entry(each, zones, kinds))
            except UNREADABLE as error:
                reason = reason or f"{type(error).__name__}: {error}"
        if not reason:
            return Listing(int(data["version"]), bool(data["full"]), tuple(entries))
    except UNREADABLE as error:
        reason = f"{type(error).__name__}: {error}"
    raise ListingError(f"not a list of servers: {reason}", _leaving(entries))


def leaving_in(
    body: bytes | bytearray, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> tuple[Entry, ...]:
    """Who drains or is gone by those entries that can be read of an answer that can't be read as a whole."""
    entries: list[Entry] = []
    for each in _OBJECT.finditer(body):
        with contextlib.suppress(*UNREADABLE):
            entries.append(_entry(json.loads(each[0]), zones, kinds))
    return _leaving(entries)


def checked(listing: Listing, version: int | None) -> Listing:
    """The answer to a call from this version, or `ListingError`.

    Danger: discovery in a herd answers with what it has. A whole list of nobody would end all service, an
    older version would bring back servers that have gone, and of two entries for one server either may be
    true. Rule 3 holds all the same: whoever is said to drain or to be gone is sent nothing new."""
    if listing.full and not listing.entries:
        raise ListingError("a whole list of nobody")
    if version is not None and listing.version < version:
        raise ListingError(f"version {listing.version} after {version}", _leaving(listing.entries))
    twice = [name for name, count in Counter(each.server.id for each in listing.entries).items() if count > 1]
    if twice:
        raise ListingError(f"two entries for server {twice[0]}", _leaving(listing.entries))
    return listing


def _entry(each: Any, zones: Mapping[str, int], kinds: Mapping[str, int]) -> Entry:
    born = float(each.get("started_ms") or 0)
    weight = float(each.get("weight", 1.0))
    if not (math.isfinite(born) and math.isfinite(weight)):
        raise ValueError("not a number")
    server = Server(
        str(each["id"]),
        zones.get(str(each.get("zone", "")), -1),
        kinds.get(str(each.get("kind", "")), -1),
        int(each.get("cell", -1)),
        _STATES[each["state"]],
        weight,
        born,
    )
    return Entry(server, parse_address(each["addr"]))


def _names(settings: Any, key: str) -> dict[str, int]:
    return {
        str(each["Name"]) if isinstance(each, dict) else str(each): index
        for index, each in enumerate(settings.get(key) or ())
    }


def _management(environ: Mapping[str, str], data: Any, listen: Address) -> Address | None:
    """The variable wins: it is this start's alone, while an old and a new process may share the file."""
    variable = environ.get("BALANCER_MANAGEMENT", "")
    value = variable or data.get("management")
    if value is None:
        return None
    where = "BALANCER_MANAGEMENT" if variable else "management"
    try:
        address = parse_address(value)
    except (ConfigError, AttributeError):
        raise ConfigError(f"{where}={value!r}: expected HOST:PORT") from None
    if address == listen and address[1]:
        raise ConfigError(f"{where}={value!r}: expected another address than listen")
    return address


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the file that the environment names."""
    path = environ.get("BALANCER_CONFIG", "")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
        told = data["settings"]
        pairs = flatten(told)
        zones, kinds = _names(told, "Localities"), _names(told, "Shapes")
        return Config(
            name=str(data["name"]),
            listen=(listen := parse_address(data["listen"])),
            discovery=parse_address(data["discovery"]),
            seed=int(str(data["seed"]), 16),
            sockets=int(data["limits"]["sockets"]),
            settings=read_settings(pairs),
            classes=_names(told, "Classes"),
            tenants=_names(told, "Customers"),
            zones=zones,
            kinds=kinds,
            dial_timeout=float(pairs["Allowed.DialTimeout"]),
            tells_load=pairs.get("FamilyInfo.TellsLoad", "true") == "true",
            tells_delay=pairs.get("FamilyInfo.TellsDelay", "true") == "true",
            known=parse_listing(data["known"], zones, kinds),
            management=_management(environ, data, listen),
        )
    except (AttributeError, OSError, WireError, KeyError, TypeError, ValueError) as error:
        kind = "" if isinstance(error, ConfigError) else f"{type(error).__name__}: "
        raise ConfigError(f"BALANCER_CONFIG={path!r}: {kind}{error}") from None
