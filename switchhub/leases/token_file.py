"""A voter's highest token in a file that survives it.

Owns: one file in the operator's folder. Must never: say that a token is written down before the disk has it.
"""

from __future__ import annotations

import os
from pathlib import Path

from loguru import logger


class TokenFile:
    """The file of one balancer."""

    def __init__(self, folder: Path, name: str, electorate: tuple[int, int]) -> None:
        self._electorate = electorate
        self._path = folder / f"tokens-{name.encode().hex()}"

    def read(self) -> tuple[int, bool] | None:
        """No token above this was ever voted for, and whether the electorate was this one; None if nothing is
        known."""
        try:
            top, *electorate = map(int, self._path.read_text(encoding="ascii").split())
            return top, tuple(electorate) == self._electorate
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            logger.error("leases: {}: {}; tokens are learnt from the other voters", self._path, error)
            return None

    def write(self, top: int, before: float) -> float:
        """Write it down; up to which token that is done now."""
        new = self._path.with_suffix(".new")
        try:
            with open(new, "w", encoding="ascii") as file:
                file.write(f"{top} {self._electorate[0]} {self._electorate[1]}")
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self._path)
            folder = os.open(self._path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            logger.error(
                "leases: {} can't be written, no votes above token {}: {}", self._path, before, error
            )
            return before
        return top
