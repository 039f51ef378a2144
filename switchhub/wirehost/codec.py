"""The wire's text: lines to events and actions to lines, with no state but the numbered lists."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from switchhub.decision import interface as api
from switchhub.wirehost.errors import WireError
from switchhub.wirehost.settings import parse_pairs, read_settings

END_OF_BATCH = "over_to_you"
END_OF_REPLY = "ok"
_HINT_VALID = 1
_RETURNING = 16
_LISTS = 16
_LARGEST_TOKEN = 2**63
_STATES = {"live": api.ServerState.READY, "quiescing": api.ServerState.DRAINING, "dead": api.ServerState.GONE}
_KINDS = {"D": api.ServerListKind.CHANGES, "F": api.ServerListKind.WHOLE, "C": api.ServerListKind.REMEMBERED}
_RESULTS = {
    "pass": api.Result.OK,
    "fault": api.Result.ERROR,
    "no_room": api.Result.FULL,
    "too_slow": api.Result.TIMEOUT,
    "no_route": api.Result.UNREACHABLE,
    "cut": api.Result.RESET,
    "undone": api.Result.CANCELLED,
    "stale_send": api.Result.NOT_SENT,
}


class Boot(NamedTuple):
    """An instance starts."""

    seed: int
    settings: api.Settings


class Halt(NamedTuple):
    """An instance is dead."""


Message = tuple[str, Boot | Halt | api.Event]


def _number(name: str, field: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise WireError(name, field, f"not a number: {text!r}")
    return value


def _whole(name: str, field: str, text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        value = -1
    if not 0 <= value <= _LARGEST_TOKEN:
        raise WireError(name, field, f"not a whole number: {text!r}")
    return value


def _optional_whole(name: str, field: str, text: str) -> int:
    return 0 if text == "-" else _whole(name, field, text)


def _text(text: str) -> str | None:
    return None if text == "-" else text


def _result(name: str, text: str) -> api.Result:
    try:
        return _RESULTS[text]
    except KeyError:
        raise WireError(name, "Status", f"unknown outcome {text!r}") from None


def _bool(name: str, field: str, text: str) -> bool:
    if text not in ("0", "1"):
        raise WireError(name, field, f"not a bool: {text!r}")
    return text == "1"


def _report(name: str, text: str) -> dict[str, float]:
    report: dict[str, float] = {}
    if text not in ("-", ""):
        for part in text.split(","):
            key, _, value = part.partition(":")
            report[key] = _number(name, "Report", value)
    return report


def _decode_boot(p: list[str]) -> Boot:
    return Boot(_whole("boot", "Entropy", p[2]), read_settings(parse_pairs(p[3:])))


def _decode_halt(_p: list[str]) -> Halt:
    return Halt()


def _decode_request(p: list[str]) -> api.RequestArrived:
    flags = _optional_whole("demand", "Opts", p[9])
    hint = _number("demand", "Effort", p[6]) * 1000.0 if p[6] != "-" and flags & _HINT_VALID else None
    return api.RequestArrived(
        api.Request(
            p[2],
            _whole("demand", "Class", p[3]),
            _number("demand", "Budget", p[4]),
            _optional_whole("demand", "UserGroup", p[5]),
            hint,
            _text(p[7]),
            _text(p[8]),
            bool(flags & _RETURNING),
        )
    )


def _decode_adopted(p: list[str]) -> api.ConnectionAdopted:
    flags = _optional_whole("adopted", "Opts", p[9])
    hint = _number("adopted", "Effort", p[7]) * 1000.0 if p[7] != "-" and flags & _HINT_VALID else None
    budget = 0.0 if p[6] == "-" else _number("adopted", "Budget", p[6])
    request = api.Request(
        p[2],
        _whole("adopted", "Class", p[3]),
        budget,
        _optional_whole("adopted", "UserGroup", p[4]),
        hint,
        _text(p[5]),
        _text(p[8]),
        bool(flags & _RETURNING),
    )
    return api.ConnectionAdopted(request, p[10])


def _decode_up(p: list[str]) -> api.ConnectionUp:
    name = "under_way"
    return api.ConnectionUp(p[2], _whole(name, "Copy", p[3]), p[5], _number(name, "Spent", p[4]))


def _decode_note(p: list[str]) -> api.LoadReported | api.DelayReported | None:
    attempt, level = _whole("note", "Copy", p[3]), _number("note", "Level", p[6])
    what = _whole("note", "What", p[5])
    if what == 1:
        return api.LoadReported(p[2], attempt, p[4], level)
    if what == 2:
        return api.DelayReported(p[2], attempt, p[4], level)
    return None  # a kind of news that is not known here is passed over


def _decode_outcome(p: list[str]) -> api.AttemptEnded:
    name = "answer"
    _report(name, p[8])
    return api.AttemptEnded(
        p[2],
        _whole(name, "Copy", p[3]),
        p[4],
        _bool(name, "Final", p[5]),
        _number(name, "Spent", p[6]),
        _result(name, p[7]),
    )


def _decode_dropped(p: list[str]) -> api.ClientLeft:
    return api.ClientLeft(p[2])


def _decode_timer(p: list[str]) -> api.TimerFired:
    return api.TimerFired(_whole("deadline_hit", "KeyBack", p[2]))


def _decode_pong(p: list[str]) -> api.ProbeAnswered:
    _number("pong", "Spent", p[2])
    return api.ProbeAnswered(p[3], _result("pong", p[4]), _report("pong", p[5]))


def _decode_whisper(_p: list[str]) -> None:
    return None  # balancers share nothing: a peer's message decides nothing


_FIELDS = {
    "boot": ("I", "Entropy"),
    "halt": ("I",),
    "demand": ("I", "Ticket", "Class", "Budget", "UserGroup", "Effort", "Subject", "Group", "Opts"),
    "adopted": (
        "I",
        "Ticket",
        "Class",
        "UserGroup",
        "Subject",
        "Budget",
        "Effort",
        "Group",
        "Opts",
        "Server",
    ),
    "under_way": ("I", "Ticket", "Copy", "Spent", "Server"),
    "note": ("I", "Ticket", "Copy", "Server", "What", "Level"),
    "answer": ("I", "Ticket", "Copy", "Server", "Final", "Spent", "Status", "Report"),
    "dropped": ("I", "Ticket"),
    "deadline_hit": ("I", "KeyBack"),
    "pong": ("I", "Spent", "Server", "Status", "Report"),
    "whisper": ("I", "From", "Body"),
    "endpoints": ("I", "Scope", "Serial", "Table"),
    "catalog": ("Table", "Elements"),
    "server": ("Server", "RegionPart", "Kind", "Pod", "Mode", "Units", "Born"),
    "frame": ("Clock",),
}
_DECODERS: dict[str, Callable[[list[str]], Boot | Halt | api.Event | None]] = {
    "boot": _decode_boot,
    "halt": _decode_halt,
    "demand": _decode_request,
    "adopted": _decode_adopted,
    "under_way": _decode_up,
    "note": _decode_note,
    "answer": _decode_outcome,
    "dropped": _decode_dropped,
    "deadline_hit": _decode_timer,
    "pong": _decode_pong,
    "whisper": _decode_whisper,
}


def _check_length(p: list[str]) -> None:
    fields = _FIELDS[p[0]]
    if len(p) <= len(fields):
        raise WireError(p[0], fields[len(p) - 1], "field is missing")


class Decoder:
    """Reads one process's input; keeps the numbered lists, which belong to no instance."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[api.Server, ...]] = {}
        self._filling = -1
        self._expected = 0
        self._entries: list[api.Server] = []

    def frame(self, line: str) -> float:
        """The clock of a batch, from its first line."""
        p = line.split("\t")
        if p[0] != "frame":
            raise WireError(p[0] or "(empty)", "name", "a batch must start with frame")
        _check_length(p)
        return _number("frame", "Clock", p[1])

    def decode(self, line: str) -> Message | None:
        """One line inside a batch; `None` where it asks nothing of an instance."""
        p = line.split("\t")
        name = p[0]
        if self._expected:
            self._entry(p)
            return None
        decoder = _DECODERS.get(name)
        if decoder is not None:
            _check_length(p)
            event = decoder(p)
            return None if event is None else (p[1], event)
        if name == "endpoints":
            return p[1] if len(p) > 1 else "", self._roster(p)
        if name == "catalog":
            self._catalog(p)
            return None
        raise WireError(name or "(empty)", "name", "unknown message")

    def end(self) -> None:
        """Called at the end of a batch: no list may be half told."""
        if self._expected:
            raise WireError("catalog", "Elements", f"{self._expected} entries are missing")

    def _catalog(self, p: list[str]) -> None:
        _check_length(p)
        number = _whole("catalog", "Table", p[1])
        if number >= _LISTS:
            raise WireError("catalog", "Table", f"list number out of range: {number}")
        self._filling, self._entries = number, []
        self._expected = _whole("catalog", "Elements", p[2])
        if not self._expected:
            self._lists[number] = ()

    def _entry(self, p: list[str]) -> None:
        if p[0] != "server":
            raise WireError(p[0] or "(empty)", "name", f"{self._expected} list entries are still to come")
        _check_length(p)
        try:
            state = _STATES[p[5]]
        except KeyError:
            raise WireError("server", "Mode", f"unknown state {p[5]!r}") from None
        self._entries.append(
            api.Server(
                p[1],
                _whole("server", "RegionPart", p[2]),
                _whole("server", "Kind", p[3]),
                _whole("server", "Pod", p[4]),
                state,
                _number("server", "Units", p[6]) if p[6] != "-" else 1.0,
                _number("server", "Born", p[7]) if p[7] != "-" else 0.0,
            )
        )
        self._expected -= 1
        if not self._expected:
            self._lists[self._filling] = tuple(self._entries)

    def _roster(self, p: list[str]) -> api.ServerListChanged | api.ServerListFailed:
        _check_length(p)
        if p[2] == "X":
            return api.ServerListFailed()
        kind = _KINDS.get(p[2])
        if kind is None:
            raise WireError("endpoints", "Scope", f"unknown kind {p[2]!r}")
        number = _whole("endpoints", "Table", p[4])
        if number not in self._lists:
            raise WireError("endpoints", "Table", f"unknown catalog number {number}")
        return api.ServerListChanged(kind, self._lists[number])


def _one_line(text: str) -> str:
    return " ".join(text.split())


_ENCODERS: dict[type[Any], Callable[[str, Any], str]] = {
    api.Attempt: lambda i, a: f"attempt\t{i}\t{a.request}\t{a.server}\t{a.timeout:.3f}",
    api.Refuse: lambda i, a: f"not_now\t{i}\t{a.request}\t{a.retry_after:.3f}",
    api.Fail: lambda i, a: f"fail\t{i}\t{a.request}",
    api.Move: lambda i, a: f"bounce\t{i}\t{a.request}",
    api.SetTimer: lambda i, a: f"set_alarm\t{i}\t{a.token}\t{a.delay:.3f}",
    api.WatchServerList: lambda i, a: f"watch\t{i}\t1",
    api.Probe: lambda i, a: f"ask_load\t{i}\t{a.server}",
    api.Note: lambda i, a: f"record\t{i}\t{_one_line(a.text)}",
}


def encode(instance: str, action: api.Action) -> str:
    """One action as a line."""
    return _ENCODERS[type(action)](instance, action)


def encode_error(instance: str, error: BaseException) -> str:
    """The line that declares an instance's decision code broken."""
    return f"internal_error\t{instance}\t{_one_line(f'{type(error).__name__}: {error}')}"
