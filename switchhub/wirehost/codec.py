"""Codec of the simulator's line protocol: decodes input lines to events, encodes actions to output lines.

A line is a message: its name and its fields, separated by tabs. Input comes in batches: a `frame` with the
clock, messages, `over_to_you`. The reply to a batch is one line for each action, then `ok`. `-` stands for an
absent value. All times are milliseconds. `Decoder` keeps the numbered server lists; the rest has no state.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from switchhub.decision import interface as api
from switchhub.wirehost.errors import WireError
from switchhub.wirehost.settings import parse_pairs, read_settings

END_OF_BATCH = "over_to_you"
END_OF_REPLY = "ok"
_HINT_VALID_FLAG = 1  # bit of the field Opts: the field Effort holds a valid hint
_RETURNING_FLAG = 16  # bit of the field Opts: the client had a connection before
_MAX_LISTS = 16  # numbered server lists, counted from 0
_MAX_INTEGER = 2**63  # largest integer in any field; timer tokens may be this large
_SERVER_STATES = {
    "live": api.ServerState.READY,
    "quiescing": api.ServerState.DRAINING,
    "dead": api.ServerState.GONE,
}
_SERVER_LIST_KINDS = {
    "D": api.ServerListKind.CHANGES,
    "F": api.ServerListKind.WHOLE,
    "C": api.ServerListKind.REMEMBERED,
}
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
    """Starts a balancer instance, in place of any former one of this name."""

    seed: int
    settings: api.Settings


class Halt(NamedTuple):
    """Ends a balancer instance, which takes no further action."""


InstanceEvent = tuple[str, Boot | Halt | api.Event]  # the instance's name, and what happens to it


def _parse_number(message_name: str, field: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise WireError(message_name, field, f"expected a finite number, got {text!r}")
    return value


def _parse_integer(message_name: str, field: str, text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        value = -1
    if not 0 <= value <= _MAX_INTEGER:
        raise WireError(message_name, field, f"expected an integer from 0 to 2**63, got {text!r}")
    return value


def _parse_optional_integer(message_name: str, field: str, text: str) -> int:
    """Parse an integer; an absent one counts as 0."""
    return 0 if text == "-" else _parse_integer(message_name, field, text)


def _parse_optional_text(text: str) -> str | None:
    return None if text == "-" else text


def _parse_result(message_name: str, text: str) -> api.Result:
    try:
        return _RESULTS[text]
    except KeyError:
        raise WireError(message_name, "Status", f"unknown result {text!r}") from None


def _parse_bool(message_name: str, field: str, text: str) -> bool:
    if text not in ("0", "1"):
        raise WireError(message_name, field, f"expected 0 or 1, got {text!r}")
    return text == "1"


def _parse_report(message_name: str, text: str) -> dict[str, float]:
    """Parse `key:value` pairs separated by commas; `-` and an empty text stand for none."""
    report: dict[str, float] = {}
    if text not in ("-", ""):
        for part in text.split(","):
            key, _, value = part.partition(":")
            report[key] = _parse_number(message_name, "Report", value)
    return report


def _decode_boot(fields: list[str]) -> Boot:
    return Boot(_parse_integer("boot", "Entropy", fields[2]), read_settings(parse_pairs(fields[3:])))


def _decode_halt(_fields: list[str]) -> Halt:
    return Halt()


def _decode_demand(fields: list[str]) -> api.RequestArrived:
    # Effort is in milliseconds of work a second; loads in the decision module are in microseconds.
    flags = _parse_optional_integer("demand", "Opts", fields[9])
    hint = (
        _parse_number("demand", "Effort", fields[6]) * 1000.0
        if fields[6] != "-" and flags & _HINT_VALID_FLAG
        else None
    )
    return api.RequestArrived(
        api.Request(
            fields[2],
            _parse_integer("demand", "Class", fields[3]),
            _parse_number("demand", "Budget", fields[4]),
            _parse_optional_integer("demand", "UserGroup", fields[5]),
            hint,
            _parse_optional_text(fields[7]),
            _parse_optional_text(fields[8]),
            bool(flags & _RETURNING_FLAG),
        )
    )


def _decode_adopted(fields: list[str]) -> api.ConnectionAdopted:
    # Effort is in milliseconds of work a second; loads in the decision module are in microseconds.
    flags = _parse_optional_integer("adopted", "Opts", fields[9])
    hint = (
        _parse_number("adopted", "Effort", fields[7]) * 1000.0
        if fields[7] != "-" and flags & _HINT_VALID_FLAG
        else None
    )
    budget = 0.0 if fields[6] == "-" else _parse_number("adopted", "Budget", fields[6])
    request = api.Request(
        fields[2],
        _parse_integer("adopted", "Class", fields[3]),
        budget,
        _parse_optional_integer("adopted", "UserGroup", fields[4]),
        hint,
        _parse_optional_text(fields[5]),
        _parse_optional_text(fields[8]),
        bool(flags & _RETURNING_FLAG),
    )
    return api.ConnectionAdopted(request, fields[10])


def _decode_under_way(fields: list[str]) -> api.ConnectionUp:
    message_name = "under_way"
    return api.ConnectionUp(
        fields[2],
        _parse_integer(message_name, "Copy", fields[3]),
        fields[5],
        _parse_number(message_name, "Spent", fields[4]),
    )


def _decode_note(fields: list[str]) -> api.LoadReported | api.DelayReported | None:
    attempt, level = _parse_integer("note", "Copy", fields[3]), _parse_number("note", "Level", fields[6])
    report_kind = _parse_integer("note", "What", fields[5])
    if report_kind == 1:  # the level is a load in microseconds of work a second
        return api.LoadReported(fields[2], attempt, fields[4], level)
    if report_kind == 2:  # the level is the delay of a message in milliseconds
        return api.DelayReported(fields[2], attempt, fields[4], level)
    return None  # other kinds of reports are ignored


def _decode_answer(fields: list[str]) -> api.AttemptEnded:
    message_name = "answer"
    _parse_report(message_name, fields[8])  # checked only: the decision module does not use it
    return api.AttemptEnded(
        fields[2],
        _parse_integer(message_name, "Copy", fields[3]),
        fields[4],
        _parse_bool(message_name, "Final", fields[5]),
        _parse_number(message_name, "Spent", fields[6]),
        _parse_result(message_name, fields[7]),
    )


def _decode_dropped(fields: list[str]) -> api.ClientLeft:
    return api.ClientLeft(fields[2])


def _decode_deadline_hit(fields: list[str]) -> api.TimerFired:
    return api.TimerFired(_parse_integer("deadline_hit", "KeyBack", fields[2]))


def _decode_pong(fields: list[str]) -> api.ProbeAnswered:
    _parse_number("pong", "Spent", fields[2])  # checked only: the decision module does not use it
    return api.ProbeAnswered(fields[3], _parse_result("pong", fields[4]), _parse_report("pong", fields[5]))


def _decode_whisper(_fields: list[str]) -> None:
    return None  # balancers share no state, so messages between them are ignored


# Names of the fields that follow the name of each message.
_FIELD_NAMES = {
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
_EVENT_DECODERS: dict[str, Callable[[list[str]], Boot | Halt | api.Event | None]] = {
    "boot": _decode_boot,
    "halt": _decode_halt,
    "demand": _decode_demand,
    "adopted": _decode_adopted,
    "under_way": _decode_under_way,
    "note": _decode_note,
    "answer": _decode_answer,
    "dropped": _decode_dropped,
    "deadline_hit": _decode_deadline_hit,
    "pong": _decode_pong,
    "whisper": _decode_whisper,
}


def _check_length(fields: list[str]) -> None:
    field_names = _FIELD_NAMES[fields[0]]
    if len(fields) <= len(field_names):
        raise WireError(fields[0], field_names[len(fields) - 1], "field is missing")


class Decoder:
    """Decodes the input of one process.

    It keeps the numbered server lists that `catalog` messages define and `endpoints` messages refer to. They
    are shared by all instances, and stay from batch to batch until they are defined anew.
    """

    def __init__(self) -> None:
        self._lists: dict[int, tuple[api.Server, ...]] = {}
        self._list_number = -1  # of the list whose entries arrive at present; -1 before the first
        self._entries_missing = 0  # entries of that list that have not arrived
        self._entries: list[api.Server] = []  # entries of that list that have arrived

    def decode_frame(self, line: str) -> float:
        """Return the clock of a batch in milliseconds, from the batch's first line.

        Raises `WireError` if the line is not a valid `frame`.
        """
        fields = line.split("\t")
        if fields[0] != "frame":
            raise WireError(fields[0] or "(empty)", "name", "a batch must start with frame")
        _check_length(fields)
        return _parse_number("frame", "Clock", fields[1])

    def decode(self, line: str) -> InstanceEvent | None:
        """Decode one line inside a batch; return `None` if it holds no event for an instance.

        Raises `WireError` if the line is malformed or unexpected.
        """
        fields = line.split("\t")
        message_name = fields[0]
        if self._entries_missing:
            self._add_entry(fields)
            return None
        decode_event = _EVENT_DECODERS.get(message_name)
        if decode_event is not None:
            _check_length(fields)
            event = decode_event(fields)
            return None if event is None else (fields[1], event)
        if message_name == "endpoints":
            return fields[1] if len(fields) > 1 else "", self._decode_endpoints(fields)
        if message_name == "catalog":
            self._start_list(fields)
            return None
        raise WireError(message_name or "(empty)", "name", "unknown message")

    def check_batch_end(self) -> None:
        """Raise `WireError` if the batch ends before all entries of a server list have arrived."""
        if self._entries_missing:
            raise WireError("catalog", "Elements", f"{self._entries_missing} entries are missing")

    def _start_list(self, fields: list[str]) -> None:
        _check_length(fields)
        list_number = _parse_integer("catalog", "Table", fields[1])
        if list_number >= _MAX_LISTS:
            raise WireError("catalog", "Table", f"list number out of range: {list_number}")
        self._list_number, self._entries = list_number, []
        self._entries_missing = _parse_integer("catalog", "Elements", fields[2])
        if not self._entries_missing:
            self._lists[list_number] = ()

    def _add_entry(self, fields: list[str]) -> None:
        if fields[0] != "server":
            raise WireError(
                fields[0] or "(empty)",
                "name",
                f"expected {self._entries_missing} more server messages of the list",
            )
        _check_length(fields)
        try:
            state = _SERVER_STATES[fields[5]]
        except KeyError:
            raise WireError("server", "Mode", f"unknown state {fields[5]!r}") from None
        self._entries.append(
            api.Server(
                fields[1],
                _parse_integer("server", "RegionPart", fields[2]),
                _parse_integer("server", "Kind", fields[3]),
                _parse_integer("server", "Pod", fields[4]),
                state,
                _parse_number("server", "Units", fields[6]) if fields[6] != "-" else 1.0,
                _parse_number("server", "Born", fields[7]) if fields[7] != "-" else 0.0,
            )
        )
        self._entries_missing -= 1
        if not self._entries_missing:
            self._lists[self._list_number] = tuple(self._entries)

    def _decode_endpoints(self, fields: list[str]) -> api.ServerListChanged | api.ServerListFailed:
        _check_length(fields)
        if fields[2] == "X":
            return api.ServerListFailed()
        list_kind = _SERVER_LIST_KINDS.get(fields[2])
        if list_kind is None:
            raise WireError("endpoints", "Scope", f"unknown list kind {fields[2]!r}; expected D, F, C or X")
        list_number = _parse_integer("endpoints", "Table", fields[4])
        if list_number not in self._lists:
            raise WireError("endpoints", "Table", f"unknown catalog number {list_number}")
        return api.ServerListChanged(list_kind, self._lists[list_number])


def _join_lines(text: str) -> str:
    return " ".join(text.split())


_ENCODERS: dict[type[Any], Callable[[str, Any], str]] = {
    api.Attempt: lambda name, action: (
        f"attempt\t{name}\t{action.request}\t{action.server}\t{action.timeout:.3f}"
    ),
    api.Refuse: lambda name, action: f"not_now\t{name}\t{action.request}\t{action.retry_after:.3f}",
    api.Fail: lambda name, action: f"fail\t{name}\t{action.request}",
    api.Move: lambda name, action: f"bounce\t{name}\t{action.request}",
    api.SetTimer: lambda name, action: f"set_alarm\t{name}\t{action.token}\t{action.delay:.3f}",
    api.WatchServerList: lambda name, action: f"watch\t{name}\t1",
    api.Probe: lambda name, action: f"ask_load\t{name}\t{action.server}",
    api.Note: lambda name, action: f"record\t{name}\t{_join_lines(action.text)}",
}


def encode(instance: str, action: api.Action) -> str:
    """Return the output line for an action of the named instance."""
    return _ENCODERS[type(action)](instance, action)


def encode_error(instance: str, error: BaseException) -> str:
    """Return the output line which reports that an instance's decision code raised an exception."""
    return f"internal_error\t{instance}\t{_join_lines(f'{type(error).__name__}: {error}')}"
