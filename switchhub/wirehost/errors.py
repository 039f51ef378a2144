"""Errors of the wire."""

from __future__ import annotations


class WireError(ValueError):
    """A message that cannot be taken; names the line, the message and the field."""

    def __init__(self, message: str, field: str, problem: str) -> None:
        super().__init__(f"{message}: {field}: {problem}")
        self.message = message
        self.field = field
        self.problem = problem
        self.line = 0

    def __str__(self) -> str:
        """Where it is and what is wrong, in one line."""
        return f"line {self.line}: message {self.message}: field {self.field}: {self.problem}"
