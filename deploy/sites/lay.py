"""Lays a whole site for the operators' bench: a customer's file with a variant's changes, its neighbours too.

    python deploy/sites/lay.py deploy/sites/harbour.toml CUSTOMER.toml laid

Owns: the folder it is told to fill. Must never: keep a word or a figure of a customer's file in the
repository; a variant holds places (`class.1.name`) and the project's own values. A place that the customer's
file lacks, or one that is to be added and is there, is one line and status 2.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import TOMLKitError

BESIDE = ("real.json", "wire.json", "unlock.txt")  # what a site's folder holds besides its file


class VariantError(ValueError):
    """A variant that does not fit the customer's file; its text is the line to print."""


def _read(path: Path) -> Any:
    try:
        return tomlkit.parse(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, TOMLKitError) as error:
        raise VariantError(f"{path}: expected a TOML file: {error}") from None


def _within(site: Any, place: str) -> tuple[Any, str | int]:
    """The table or list that holds this place, and its key there."""
    *parents, last = (int(part) if part.isdecimal() else part for part in place.split("."))
    for part in parents:
        site = site[part]
    return site, last


def apply(site: Any, variant: Any, named: str) -> None:
    """Make the variant's changes in the site's document."""
    for section in set(variant) - {"change", "add"}:
        raise VariantError(f"{named}: {section}: expected [change] or [add]")
    for section in ("change", "add"):
        for place, value in variant.get(section, {}).items():
            try:
                table, key = _within(site, place)
                there = key in table if isinstance(key, str) else 0 <= key < len(table)
            except (KeyError, IndexError, TypeError):
                table, key, there = None, "", False
            if table is None or there is (section == "add"):
                what = "a place that it has not" if section == "add" else "one that the customer's file has"
                raise VariantError(f"{named}: [{section}] {place}: expected {what}")
            table[key] = value


def lay(variant: Path, customer: Path, folder: Path) -> Path:
    """Write the site; where its file is."""
    site = _read(customer)
    apply(site, _read(variant), str(variant))
    missing = [name for name in BESIDE if not (customer.parent / name).is_file()]
    if missing:
        raise VariantError(f"{customer.parent}: expected {', '.join(missing)} beside {customer.name}")
    target = folder / variant.stem
    target.mkdir(parents=True, exist_ok=True)
    for name in BESIDE:
        shutil.copyfile(customer.parent / name, target / name)
    file = target / f"{variant.stem}.toml"
    file.write_text(tomlkit.dumps(site), encoding="utf-8")
    return file


def main(arguments: list[str]) -> int:
    """Status 0 and the site's file, or 2 and one line."""
    if len(arguments) != 3:
        print("usage: lay.py VARIANT.toml CUSTOMER.toml FOLDER", file=sys.stderr)
        return 2
    try:
        print(lay(*map(Path, arguments)))
    except (VariantError, OSError) as error:
        print(f"lay: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
