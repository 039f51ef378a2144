"""The operator file: what an installation allows beyond the platform. TOML in; settings or all faults out.

Owns: its sections, keys, defaults and checks. Must never: be read by a balancer that was not given one, stop
at the first fault, or know what the settings are used for.
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
_KINDS = {
    "str": "a text",
    "int": "a whole number",
    "array": "a list",
    "object": "a table",
    "bool": "true or false",
}


class PeerSettings(Struct, frozen=True):
    """`[peers]`: the balancers know each other."""

    cluster: Annotated[str, Meta(min_length=1, max_length=64)]
    listen: str  # UDP and TCP, on a private network
    advertise: str = ""  # what the others are told; `listen` if empty
    seeds: list[str] = []  # others to call on at the start, any that are up
    period_ms: Milliseconds = 250  # between two members asked
    timeout_ms: Milliseconds = 100  # in which an answer is due before others are sent
    suspicion_ms: Milliseconds = 1000  # that a suspicion lasts at least, among up to ten
    call_ms: Milliseconds = 1000  # between two calls on one of the dead
    whole_s: Seconds = 10  # between two exchanges of all beliefs
    remember_s: Seconds = 600  # the dead

    @property
    def address(self) -> str:
        """What the others are told."""
        return self.advertise or self.listen


class LeaseSettings(Struct, frozen=True):
    """`[leases]`: duties that only one balancer may hold at a time."""

    voters: list[str]  # addresses of 1, 3, 5 or 7 balancers, as they advertise them; the same at all
    before: list[str] = []  # those of before, in each file while they are changed
    length_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000
    longest_ms: Annotated[int, Meta(ge=500, le=60_000)] = 3000  # that any balancer's file may have
    margin_ms: Annotated[int, Meta(ge=10, le=10_000)] = 150  # before its end at which a holder stops
    counted: dict[str, Annotated[int, Meta(ge=1, le=64)]] = {}  # names that so many may hold at a time
    folder: str = ""  # that survives: a voter's tokens rise even if all voters are started again at once


class OperatorSettings(Struct, frozen=True):
    """All sections; one that is not there is off."""

    peers: PeerSettings | None = None
    leases: LeaseSettings | None = None


class OperatorFileError(ConfigError):
    """A file that does not serve: a line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        """All of them."""
        super().__init__("\n".join(faults))
        self.faults = faults


def read_operator_file(path: Path) -> OperatorSettings:
    """The file, or `OperatorFileError` with all that is wrong with it."""
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
            kind, check = SECTIONS[name]
            found = _section(name, kind, value, faults)
            if found is not None:
                faults += check(found)
                sections[name] = found
    if "leases" in data and "peers" not in data:
        faults.append("leases: expected [peers] too, for voters and holders speak through them")
    if faults:
        raise OperatorFileError([f"{path}: {fault}" for fault in faults])
    return OperatorSettings(**sections)


def _section(name: str, kind: type[T], data: dict[str, Any], faults: list[str]) -> T | None:
    """One section, key by key, so that all faults are found."""
    before = len(faults)
    values: dict[str, Any] = {}
    fields = {each.name: each for each in msgspec.structs.fields(kind)}
    for key, value in data.items():
        if key not in fields:
            faults.append(f"{name}.{key}: expected one of {', '.join(fields)}")
            continue
        try:
            values[key] = msgspec.convert(value, fields[key].type)
        except msgspec.ValidationError as error:
            said = str(error).replace("Expected", "expected")
            for word, plain in _KINDS.items():
                said = said.replace(f"`{word}`", plain)
            faults.append(f"{name}.{key} = {value!r}: {said}")
    for key, each in fields.items():
        if each.required and key not in data:
            faults.append(f"{name}.{key}: expected, and not there")
    return kind(**values) if len(faults) == before else None


def _address(path: str, text: str, faults: list[str], any_host: bool = False) -> Address | None:
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


def _check_peers(told: PeerSettings) -> list[str]:
    faults: list[str] = []
    _address("peers.listen", told.listen, faults, any_host=bool(told.advertise))
    if told.advertise:
        _address("peers.advertise", told.advertise, faults)
    for number, seed in enumerate(told.seeds):
        _address(f"peers.seeds[{number}]", seed, faults)
    for seed, count in Counter(told.seeds).items():
        if count > 1:
            faults.append(f"peers.seeds: expected each once, {seed!r} stands there {count} times")
    if told.seeds and set(told.seeds) == {told.address}:
        faults.append(f"peers.seeds = {told.seeds!r}: expected another balancer than this one alone")
    if 2 * told.timeout_ms > told.period_ms:
        faults.append(
            f"peers.timeout_ms = {told.timeout_ms}: expected at most half of period_ms = {told.period_ms}"
        )
    if told.suspicion_ms < 2 * told.period_ms:
        faults.append(
            f"peers.suspicion_ms = {told.suspicion_ms}: expected twice period_ms = {told.period_ms} or more"
        )
    if told.remember_s * 1000 < 10 * told.suspicion_ms:
        faults.append(
            f"peers.remember_s = {told.remember_s}: expected 10 x suspicion_ms = {told.suspicion_ms} or more"
        )
    return faults


def _check_leases(told: LeaseSettings) -> list[str]:
    faults: list[str] = []
    for key, voters in (("voters", told.voters), ("before", told.before)):
        for number, voter in enumerate(voters):
            _address(f"leases.{key}[{number}]", voter, faults)
        if len(voters) not in (1, 3, 5, 7) and (voters or key == "voters"):
            faults.append(f"leases.{key}: expected 1, 3, 5 or 7 of them, there are {len(voters)}")
        for voter, count in Counter(voters).items():
            if count > 1:
                faults.append(f"leases.{key}: expected each once, {voter!r} stands there {count} times")
    gone = set(told.before) - set(told.voters)
    if told.before and set(told.before) == set(told.voters):
        faults.append("leases.before: expected other voters than leases.voters, or none")
    elif 2 * len(gone) > len(told.before):
        faults.append(
            f"leases.before: expected most of them among voters, {len(gone)} of {len(told.before)} are not"
        )
    for name in told.counted:
        if not 0 < len(name.encode()) <= 60 or "#" in name:
            faults.append(f"leases.counted: expected names of 1 to 60 bytes without '#', not {name!r}")
    if told.folder and not Path(told.folder).is_dir():
        faults.append(f"leases.folder = {told.folder!r}: expected a folder that is there")
    if told.longest_ms < told.length_ms:
        faults.append(f"leases.longest_ms = {told.longest_ms}: expected length_ms = {told.length_ms} or more")
    if told.margin_ms * 4 > told.length_ms:
        faults.append(f"leases.margin_ms = {told.margin_ms}: expected a quarter of length_ms at most")
    return faults


SECTIONS: dict[str, tuple[type[Any], Any]] = {
    "peers": (PeerSettings, _check_peers),
    "leases": (LeaseSettings, _check_leases),
}


def main(arguments: list[str]) -> int:
    """`check FILE`: 0, or 2 with every fault."""
    if len(arguments) != 1:
        print("usage: python -m switchhub check FILE", file=sys.stderr)
        return 2
    try:
        read_operator_file(Path(arguments[0]))
    except OperatorFileError as error:
        print(error, file=sys.stderr)
        return 2
    print(f"{arguments[0]}: serves")
    return 0
