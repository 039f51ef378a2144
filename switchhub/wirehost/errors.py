"""The error for input that violates the simulator's line protocol or its settings."""

from __future__ import annotations


class WireError(ValueError):
    """A message or setting that is missing, malformed or unknown.

    `line` is the number of the input line, counted from 1; 0 until it is known, and for settings that were
    not read from the line protocol.
    """

    def __init__(self, message_name: str, field: str, problem: str) -> None:
        super().__init__(f"{message_name}: {field}: {problem}")
        self.message_name = message_name
        self.field = field
        self.problem = problem
        self.line = 0

    def __str__(self) -> str:
        """Return the line, the message, the field and the problem as one line of text."""
        return f"line {self.line}: message {self.message_name}: field {self.field}: {self.problem}"
