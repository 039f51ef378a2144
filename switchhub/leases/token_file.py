"""Stores a voter's highest token in a file, so that it survives a restart of the voter.

There is one file for each balancer, in the directory that the operator configured.
"""

from __future__ import annotations

import os
from pathlib import Path

from loguru import logger


class TokenFile:
    """The token file of one balancer."""

    def __init__(self, directory: Path, name: str, electorate: tuple[int, int]) -> None:
        self._electorate = electorate
        self._path = directory / f"tokens-{name.encode().hex()}"

    def read(self) -> tuple[int, bool] | None:
        """Return the stored token limit and whether it was stored under the current electorate.

        This voter has never voted for a token above the limit. Returns None if there is no file, or if it
        can't be read (which is logged).
        """
        try:
            token_limit, *electorate = map(int, self._path.read_text(encoding="ascii").split())
            return token_limit, tuple(electorate) == self._electorate
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            logger.error(
                "leases: can't read {}: {}; asking the other voters for their tokens", self._path, error
            )
            return None

    def write(self, token_limit: int, previous_limit: float) -> float:
        """Store the token limit and return the limit that is now durable.

        That is `token_limit` only after the data has reached the disk, and `previous_limit` if writing failed
        (which is logged).
        """
        new_path = self._path.with_suffix(".new")
        try:
            with open(new_path, "w", encoding="ascii") as file:
                file.write(f"{token_limit} {self._electorate[0]} {self._electorate[1]}")
                file.flush()
                os.fsync(file.fileno())
            os.replace(new_path, self._path)
            directory = os.open(self._path.parent, os.O_RDONLY)
            try:
                os.fsync(directory)
            finally:
                os.close(directory)
        except OSError as error:
            logger.error(
                "leases: can't write {}; not voting for tokens above {}: {}",
                self._path,
                previous_limit,
                error,
            )
            return previous_limit
        return token_limit
