"""Reads the balancer's configuration: environment, JSON file, settings and the initial server list.

The file is read in full at the start and again on each reload; a `Config` never changes afterwards. A
configuration that cannot be used ends the program with a one-line error; missing values that the rules need
are never guessed.
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

_SERVER_STATES = {"Ready": ServerState.READY, "Terminating": ServerState.DRAINING, "Gone": ServerState.GONE}
_FLAT_OBJECT = re.compile(rb"\{[^{}]*\}")  # a server entry anywhere in the text: entries contain no objects
PARSE_ERRORS = (  # what parsing malformed JSON may raise
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
Address = tuple[str, int]


class ConfigError(ValueError):
    """A configuration or a server list that cannot be used; the text is one line."""


class ServerEntry(NamedTuple):
    """A server of discovery's list: what the decision module knows of it, and its listening address."""

    server: Server
    address: Address


class Listing(NamedTuple):
    """A server list as discovery returned it: complete if `full`, else only the entries that changed."""

    version: int
    full: bool
    entries: tuple[ServerEntry, ...]


class Config(NamedTuple):
    """The balancer's configuration.

    `name` is the balancer's name. `seed` determines the random choices of the decision module. `classes`,
    `tenants`, `zones` and `kinds` map names to indexes in the settings. `dial_timeout` is in milliseconds,
    `sockets` is the limit on open descriptors. `initial_listing` is the server list from the file, used until
    discovery has answered."""

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
    servers_report_load: bool
    servers_report_delay: bool
    initial_listing: Listing
    management: Address | None = None  # where operators call; without it no management socket is opened


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Convert nested JSON settings to the path=value pairs of the decision module's wire format."""
    pairs: dict[str, str] = {}
    if isinstance(value, dict):
        for key, item in value.items():
            pairs.update(flatten(item, f"{path}.{key}" if path else key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        pairs[f"{path}.count"] = str(len(value))
        for index, item in enumerate(value):
            pairs.update(flatten(item, f"{path}.{index}"))
    elif isinstance(value, list):
        pairs[path] = ",".join(_setting_text(item) for item in value)
        if not value:
            pairs[f"{path}.count"] = "0"
    else:
        pairs[path] = _setting_text(value)
    return pairs


def _setting_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


def parse_address(text: str) -> Address:
    """Parse HOST:PORT; raise `ConfigError` if it has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"invalid address {text!r}: expected HOST:PORT")
    return host, int(port)


class ListingError(ConfigError):
    """A server list that is malformed or contradictory; `leaving` holds its draining and gone servers."""

    def __init__(self, reason: str, leaving: tuple[ServerEntry, ...] = ()) -> None:
        super().__init__(reason)
        self.leaving = leaving


def _leaving_entries(entries: Iterable[ServerEntry]) -> tuple[ServerEntry, ...]:
    """Return the entries of servers that are draining or gone."""
    return tuple(entry for entry in entries if entry.server.state is not ServerState.READY)


def parse_listing(data: Any, zones: Mapping[str, int], kinds: Mapping[str, int]) -> Listing:
    """Parse discovery's JSON.

    Raises `ListingError` if any part of it is malformed; the error carries the leaving servers among the
    entries that could be parsed."""
    entries: list[ServerEntry] = []
    reason = ""
    try:
        for row in data["servers"]:
            try:
                entries.append(_parse_entry(row, zones, kinds))
            except PARSE_ERRORS as error:
                reason = reason or f"{type(error).__name__}: {error}"
        if not reason:
            return Listing(int(data["version"]), bool(data["full"]), tuple(entries))
    except PARSE_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
    raise ListingError(f"malformed server list: {reason}", _leaving_entries(entries))


def readable_leaving_entries(
    body: bytes | bytearray, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> tuple[ServerEntry, ...]:
    """Return the draining and gone servers among the readable entries of a body that is not valid JSON."""
    entries: list[ServerEntry] = []
    for text in _FLAT_OBJECT.finditer(body):
        with contextlib.suppress(*PARSE_ERRORS):
            entries.append(_parse_entry(json.loads(text[0]), zones, kinds))
    return _leaving_entries(entries)


def validated_listing(listing: Listing, version: int | None) -> Listing:
    """Return the listing if it is plausible; raise `ListingError` otherwise.

    `version` is the version of the list that the balancer already has; None if it has none.

    An overloaded discovery service may return incomplete or stale data. An empty full list would end all
    service, an older version would bring back servers that are gone, and of two entries for one server either
    may be right. Rule 3 applies to a rejected list too: a server that it reports as draining or gone gets
    nothing new."""
    if listing.full and not listing.entries:
        raise ListingError("empty full server list")
    if version is not None and listing.version < version:
        raise ListingError(
            f"server list version {listing.version} is older than the current version {version}",
            _leaving_entries(listing.entries),
        )
    duplicates = [
        name for name, count in Counter(entry.server.id for entry in listing.entries).items() if count > 1
    ]
    if duplicates:
        raise ListingError(f"duplicate entries for server {duplicates[0]}", _leaving_entries(listing.entries))
    return listing


def _parse_entry(row: Any, zones: Mapping[str, int], kinds: Mapping[str, int]) -> ServerEntry:
    started_at = float(row.get("started_ms") or 0)
    weight = float(row.get("weight", 1.0))
    if not (math.isfinite(started_at) and math.isfinite(weight)):
        raise ValueError("started_ms and weight must be finite")
    server = Server(
        str(row["id"]),
        zones.get(str(row.get("zone", "")), -1),
        kinds.get(str(row.get("kind", "")), -1),
        int(row.get("cell", -1)),
        _SERVER_STATES[row["state"]],
        weight,
        started_at,
    )
    return ServerEntry(server, parse_address(row["addr"]))


def _name_indexes(settings: Any, key: str) -> dict[str, int]:
    return {
        str(item["Name"]) if isinstance(item, dict) else str(item): index
        for index, item in enumerate(settings.get(key) or ())
    }


def _management_address(environ: Mapping[str, str], data: Any, listen: Address) -> Address | None:
    """Return the management address, if any. The environment variable takes precedence over the file: it
    applies to this process alone, while an old and a new process may share the file."""
    variable = environ.get("BALANCER_MANAGEMENT", "")
    value = variable or data.get("management")
    if value is None:
        return None
    source = "BALANCER_MANAGEMENT" if variable else "management"
    try:
        address = parse_address(value)
    except (ConfigError, AttributeError):
        raise ConfigError(f"{source}={value!r}: expected HOST:PORT") from None
    if address == listen and address[1]:
        raise ConfigError(f"{source}={value!r}: expected an address other than listen")
    return address


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the file named by BALANCER_CONFIG; raise `ConfigError` if it cannot be read or is invalid."""
    path = environ.get("BALANCER_CONFIG", "")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
        raw_settings = data["settings"]
        pairs = flatten(raw_settings)
        zones, kinds = _name_indexes(raw_settings, "Localities"), _name_indexes(raw_settings, "Shapes")
        return Config(
            name=str(data["name"]),
            listen=(listen := parse_address(data["listen"])),
            discovery=parse_address(data["discovery"]),
            seed=int(str(data["seed"]), 16),
            sockets=int(data["limits"]["sockets"]),
            settings=read_settings(pairs),
            classes=_name_indexes(raw_settings, "Classes"),
            tenants=_name_indexes(raw_settings, "Customers"),
            zones=zones,
            kinds=kinds,
            dial_timeout=float(pairs["Allowed.DialTimeout"]),
            servers_report_load=pairs.get("FamilyInfo.TellsLoad", "true") == "true",
            servers_report_delay=pairs.get("FamilyInfo.TellsDelay", "true") == "true",
            initial_listing=parse_listing(data["known"], zones, kinds),
            management=_management_address(environ, data, listen),
        )
    except (AttributeError, OSError, WireError, KeyError, TypeError, ValueError) as error:
        kind = "" if isinstance(error, ConfigError) else f"{type(error).__name__}: "
        raise ConfigError(f"BALANCER_CONFIG={path!r}: {kind}{error}") from None
