"""A client's request: read from the values of its first line, and answered where no server is found.

Does no I/O. Values are checked here and nowhere else; raises `LineError` for any that is missing or invalid.
"""

from __future__ import annotations

import re

from switchhub.decision.facade import Pick, Refused
from switchhub.decision.interface import Request
from switchhub.net.config import Config
from switchhub.net.line_socket import FirstLine, LineError

ANSWER_MARGIN_MS = 25.0  # the answer must be ready this long before the client's deadline
WAIT_MAX_MS = 1e7  # largest valid `d`, the time for which the client waits for an answer
HINT_MAX = 1e12  # largest valid `h`, the expected load, in microseconds of work per second
FAILED = b"FAILED\r\n"
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
_FLAGS = {"0": False, "1": True}


def _parse_decimal(text: str, maximum: float) -> float:
    """Parse a plain decimal number; `float` alone would also accept `1_0`, ` 1`, `1e3`, `-1` and `nan`."""
    if not _DECIMAL.fullmatch(text) or float(text) > maximum:
        raise ValueError(f"not a decimal number in range: {text[:20]!r}")
    return float(text)


def read_request(first_line: FirstLine, config: Config) -> Request:
    """Return the request of a first line; raise `LineError` if a value is missing, invalid or unknown."""
    values = first_line.values
    try:
        tenant = config.tenants[values["t"]] if config.tenants else 0
        class_index = config.classes[values["c"]]
        wait_ms = _parse_decimal(values["d"], WAIT_MAX_MS)
        hint = _parse_decimal(values["h"], HINT_MAX) if "h" in values else None
        # `r` is validated only: it does not affect the decision.
        returning, _ = _FLAGS[values.get("again", "0")], _FLAGS[values.get("r", "0")]
    except (KeyError, ValueError) as error:
        raise LineError(f"{type(error).__name__}: {error}") from None
    return Request(
        first_line.id,
        class_index,
        wait_ms - ANSWER_MARGIN_MS,
        tenant,
        hint,
        first_line.key,
        values.get("g"),
        returning,
    )


def final_answer(pick: Pick) -> tuple[str, bytes]:
    """Return the outcome to count and the line to send for a pick that is not a server."""
    if not isinstance(pick, Refused):
        return "failed", FAILED
    wait = f" {pick.retry_after:.0f}" if pick.retry_after else ""
    return "refused", f"BUSY{wait}\r\n".encode()
