"""Creates a site for the operators' benchmark from a customer's site file and a variant's changes.

    python deploy/sites/lay.py deploy/sites/harbour.toml CUSTOMER.toml FOLDER

This writes FOLDER/harbour/ with harbour.toml, the changed site file, and copies of the other files of the
customer's site.

Customers' files must not get into the repository, not even in part: a variant holds only paths into such a
file (`class.1.name`) and values of the project's own. The script prints one line and exits with status 2 if a
path to change is not in the customer's file, or a path to add already is.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import TOMLKitError

COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")  # beside the site file in the folder of a site


class VariantError(ValueError):
    """A file that can't be read, or a variant that does not fit the customer's site; its text is one line."""


def _read_toml(path: Path) -> Any:
    try:
        return tomlkit.parse(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, TOMLKitError) as error:
        raise VariantError(f"{path}: expected a TOML file: {error}") from None


def _find_container(document: Any, path: str) -> tuple[Any, str | int]:
    """Return the table or list that holds this path, and the last key of the path."""
    *parents, last = (int(part) if part.isdecimal() else part for part in path.split("."))
    for part in parents:
        document = document[part]
    return document, last


def apply_variant(site: Any, variant: Any, variant_name: str) -> None:
    """Make the variant's changes in the site's document.

    Raises `VariantError`, which starts with `variant_name`, for an unknown section and for a path that must
    be in the document and is not, or the reverse.
    """
    for section in set(variant) - {"change", "add"}:
        raise VariantError(f"{variant_name}: {section}: expected [change] or [add]")
    for section in ("change", "add"):
        for path, value in variant.get(section, {}).items():
            try:
                container, key = _find_container(site, path)
                exists = key in container if isinstance(key, str) else 0 <= key < len(container)
            except (KeyError, IndexError, TypeError):
                container, key, exists = None, "", False
            if container is None or exists is (section == "add"):
                expected = (
                    "a path that the customer's file does not have"
                    if section == "add"
                    else "a path that the customer's file has"
                )
                raise VariantError(f"{variant_name}: [{section}] {path}: expected {expected}")
            container[key] = value


def create_site(variant: Path, customer: Path, folder: Path) -> Path:
    """Write the site of this variant of the customer's file below the folder; return its site file.

    Raises `VariantError` if the variant does not fit or files are missing beside the customer's file, and
    `OSError` if the site can't be written.
    """
    site = _read_toml(customer)
    apply_variant(site, _read_toml(variant), str(variant))
    missing = [name for name in COMPANION_FILES if not (customer.parent / name).is_file()]
    if missing:
        raise VariantError(f"{customer.parent}: expected {', '.join(missing)} beside {customer.name}")
    target = folder / variant.stem
    target.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        shutil.copyfile(customer.parent / name, target / name)
    site_file = target / f"{variant.stem}.toml"
    site_file.write_text(tomlkit.dumps(site), encoding="utf-8")
    return site_file


def main(arguments: list[str]) -> int:
    """Print the path of the new site file and return 0, or print an error line and return 2."""
    if len(arguments) != 3:
        print("usage: lay.py VARIANT.toml CUSTOMER.toml FOLDER", file=sys.stderr)
        return 2
    try:
        print(create_site(*map(Path, arguments)))
    except (VariantError, OSError) as error:
        print(f"lay: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
