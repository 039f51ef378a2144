"""The operator file: a TOML file with the optional features that an installation enables.

The module defines the sections, keys, defaults and checks of the file, and reports all faults of a file at
once. It does not know what the settings are used for, and a balancer started without an operator file does
not import it.
"""

from __future__ import annotations

import ipaddress
import sys
import tomllib
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

from switchhub.net.config import Address, ConfigError, parse_address

Milliseconds = Annotated[int, Meta(ge=10, le=60_000)]
Seconds = Annotated[int, Meta(ge=1, le=86_400)]
T = TypeVar("T", bound=Struct)
_TYPE_NAMES = {
    "str": "a text",
    "int": "a whole number",
    "array": "a list",
    "object": "a table",
    "bool": "true or false",
}


class PeerSettings(Struct, frozen=True):
    """Section `[peers]`: balancers form a cluster. The field names are the keys of the file."""

    cluster: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str  # HOST:PORT for UDP and TCP, on a private network
    advertise: str = ""  # address that other balancers use; `listen` if empty
    seeds: list[str] = []  # balancers to contact at the start; not all need to be running
    period_ms: Milliseconds = 250  # between probes of two members
    timeout_ms: Milliseconds = 100  # for an acknowledgement, before indirect pings are sent
    suspicion_ms: Milliseconds = 1000  # shortest suspicion with up to ten members
    call_ms: Milliseconds = 1000  # between two pings to a dead member or a seed
    whole_s: Seconds = 10  # between two exchanges of the full member list
    remember_s: Seconds = 600  # how long dead members are remembered

    @property
    def address(self) -> str:
        """The address that other balancers use."""
        return self.advertise or self.listen


class LeaseSettings(Struct, frozen=True):
    """Section `[leases]`: tasks that only one balancer may perform at a time. Field names are keys."""

    voters: list[str]  # advertised addresses of 1, 3, 5 or 7 balancers; the same in all files
    before: list[str] = []  # previous voters, in each file while the voters are changed
    length_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000
    longest_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000  # greatest length_ms in any balancer's file
    margin_ms: Annotated[int, Meta(ge=10, le=10_000)] = 150  # a holder stops this long before the end
    counted: dict[str, Annotated[int, Meta(ge=1, le=64)]] = {}  # lease names, and how many may hold each
    folder: str = ""  # on persistent storage: keeps tokens rising even if all voters restart at once


class OperatorSettings(Struct, frozen=True):
    """All sections of the file; a feature whose section is missing is off."""

    peers: PeerSettings | None = None
    leases: LeaseSettings | None = None


class OperatorFileError(ConfigError):
    """The operator file is not valid; the message has one line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        """Store the faults as text and as a list."""
        super().__init__("\n".join(faults))
        self.faults = faults


def read_operator_file(path: Path) -> OperatorSettings:
    """Read and check an operator file; raises `OperatorFileError` with all its faults."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorFileError([f"{path}: {error}"]) from None
    faults: list[str] = []
    sections: dict[str, Any] = {}
    for name, value in data.items():
        if name not in SECTIONS:
            faults.append(f"{name}: expected one of {', '.join(SECTIONS)}")
        elif not isinstance(value, dict):
            faults.append(f"{name}: expected a table, [{name}]")
        else:
            section_type, check = SECTIONS[name]
            settings = _convert_section(name, section_type, value, faults)
            if settings is not None:
                faults += check(settings)
                sections[name] = settings
    if "leases" in data and "peers" not in data:
        faults.append("leases: expected [peers] too, because leases use its connections")
    if faults:
        raise OperatorFileError([f"{path}: {fault}" for fault in faults])
    return OperatorSettings(**sections)


def _convert_section(name: str, section_type: type[T], data: dict[str, Any], faults: list[str]) -> T | None:
    """Convert one section key by key, so that all its faults are reported; returns None if there are any."""
    faults_before = len(faults)
    values: dict[str, Any] = {}
    fields = {each.name: each for each in msgspec.structs.fields(section_type)}
    for key, value in data.items():
        if key not in fields:
            faults.append(f"{name}.{key}: expected one of {', '.join(fields)}")
            continue
        try:
            values[key] = msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            reason = str(error).replace("Expected", "expected")
            for type_name, plain_name in _TYPE_NAMES.items():
                reason = reason.replace(f"`{type_name}`", plain_name)
            faults.append(f"{name}.{key} = {value!r}: {reason}")
    for key, each in fields.items():
        if each.required and key not in data:
            faults.append(f"{name}.{key}: missing, but required")
    return section_type(**values) if len(faults) == faults_before else None


def _check_address(path: str, text: str, faults: list[str], any_host: bool = False) -> Address | None:
    """Parse the address of a setting; adds a fault and returns None if it is not usable."""
    try:
        host, port = parse_address(text)
        if not ipaddress.IPv4Address(host).is_unspecified or any_host:
            if port:
                return host, port
            faults.append(f"{path} = {text!r}: expected a port other than 0")
            return None
    except (ConfigError, ValueError):
        pass
    faults.append(f"{path} = {text!r}: expected an address, as 10.0.0.5:7946")
    return None


def _check_peers(peers: PeerSettings) -> list[str]:
    """Return the faults of `[peers]` that concern several keys, or values beyond their type."""
    faults: list[str] = []
    _check_address("peers.listen", peers.listen, faults, any_host=bool(peers.advertise))
    if peers.advertise:
        _check_address("peers.advertise", peers.advertise, faults)
    for index, seed in enumerate(peers.seeds):
        _check_address(f"peers.seeds[{index}]", seed, faults)
    for seed, count in Counter(peers.seeds).items():
        if count > 1:
            faults.append(f"peers.seeds: expected each once, {seed!r} appears {count} times")
    if peers.seeds and set(peers.seeds) == {peers.address}:
        faults.append(f"peers.seeds = {peers.seeds!r}: expected at least one balancer other than this one")
    if 2 * peers.timeout_ms > peers.period_ms:
        faults.append(
            f"peers.timeout_ms = {peers.timeout_ms}: expected at most half of period_ms = {peers.period_ms}"
        )
    if peers.suspicion_ms < 2 * peers.period_ms:
        faults.append(
            f"peers.suspicion_ms = {peers.suspicion_ms}: expected twice period_ms = {peers.period_ms} or more"
        )
    if peers.remember_s * 1000 < 10 * peers.suspicion_ms:
        faults.append(
            f"peers.remember_s = {peers.remember_s}: expected 10x suspicion_ms = {peers.suspicion_ms} or more"
        )
    return faults


def _check_leases(leases: LeaseSettings) -> list[str]:
    """Return the faults of `[leases]` that concern several keys, or values beyond their type."""
    faults: list[str] = []
    for key, voters in (("voters", leases.voters), ("before", leases.before)):
        for index, voter in enumerate(voters):
            _check_address(f"leases.{key}[{index}]", voter, faults)
        if len(voters) not in (1, 3, 5, 7) and (voters or key == "voters"):
            faults.append(f"leases.{key}: expected 1, 3, 5 or 7 of them, got {len(voters)}")
        for voter, count in Counter(voters).items():
            if count > 1:
                faults.append(f"leases.{key}: expected each once, {voter!r} appears {count} times")
    removed = set(leases.before) - set(leases.voters)
    if leases.before and set(leases.before) == set(leases.voters):
        faults.append("leases.before: expected other voters than leases.voters, or none")
    elif 2 * len(removed) > len(leases.before):
        faults.append(
            f"leases.before: expected most of them in voters, {len(removed)} of {len(leases.before)} are not"
        )
    for name in leases.counted:
        if not 0 < len(name.encode()) <= 60 or "#" in name:
            faults.append(f"leases.counted: expected names of 1 to 60 bytes without '#', not {name!r}")
    if leases.folder and not Path(leases.folder).is_dir():
        faults.append(f"leases.folder = {leases.folder!r}: expected an existing folder")
    if leases.longest_ms < leases.length_ms:
        faults.append(
            f"leases.longest_ms = {leases.longest_ms}: expected length_ms = {leases.length_ms} or more"
        )
    if leases.margin_ms * 4 > leases.length_ms:
        faults.append(f"leases.margin_ms = {leases.margin_ms}: expected a quarter of length_ms at most")
    return faults


SECTIONS: dict[str, tuple[type[Any], Any]] = {
    "peers": (PeerSettings, _check_peers),
    "leases": (LeaseSettings, _check_leases),
}


def main(arguments: list[str]) -> int:
    """Run `check FILE`: print all faults of an operator file; returns 0 if there are none, else 2."""
    if len(arguments) != 1:
        print("usage: python -m switchhub check FILE", file=sys.stderr)
        return 2
    try:
        read_operator_file(Path(arguments[0]))
    except OperatorFileError as error:
        print(error, file=sys.stderr)
        return 2
    print(f"{arguments[0]}: valid")
    return 0
