"""The variants of customers' sites, and the script that lays them, on a made-up site."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.harness import ROOT

SITE = """name = "made-up"   # its own
[load]
hints = "rough"
[[class]]
name = "one"
worth = 3
[[class]]
name = "two"
worth = 1
"""


def lay(path: Path, variant: str, site: str = SITE, beside: bool = True) -> tuple[int, str, str]:
    (path / "customer").mkdir()
    (path / "customer" / "site.toml").write_text(site)
    for name in ("real.json", "wire.json", "unlock.txt") if beside else ():
        (path / "customer" / name).write_text(name)
    (path / "quay.toml").write_text(variant)
    done = subprocess.run(
        [
            sys.executable,
            "deploy/sites/lay.py",
            path / "quay.toml",
            path / "customer" / "site.toml",
            path / "laid",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout, done.stderr


def test_a_site_is_laid_whole_with_the_changes_and_nothing_else_changed(tmp_path: Path) -> None:
    variant = """[change]
name = "quay"
"class.1.name" = "tide"
"load.hints" = "none"
[add]
"class.1.group" = "zone"
"""
    status, out, err = lay(tmp_path, variant)
    assert (status, err) == (0, "")
    file = Path(out.strip())
    expected = tomllib.loads(SITE)
    expected["name"], expected["load"]["hints"] = "quay", "none"
    expected["class"][1].update(name="tide", group="zone")
    assert tomllib.loads(file.read_text()) == expected
    beside = {each.name: each.read_text() for each in file.parent.iterdir() if each != file}
    assert beside == {name: name for name in ("real.json", "wire.json", "unlock.txt")}


@pytest.mark.parametrize(
    ("variant", "says"),
    [
        (
            '[change]\n"class.0.wroth" = 2\n',
            "[change] class.0.wroth: expected one that the customer's file has",
        ),
        ('[change]\n"class.7.name" = "x"\n', "[change] class.7.name: expected"),
        ('[change]\n"load.hints.more" = "x"\n', "[change] load.hints.more: expected"),
        ('[change]\n"no.such" = "x"\n', "[change] no.such: expected"),
        ('[add]\n"class.0.name" = "x"\n', "[add] class.0.name: expected a place that it has not"),
        ("[remove]\n", "remove: expected [change] or [add]"),
        ("name =", "quay.toml: expected a TOML file"),
    ],
)
def test_a_variant_that_does_not_fit_is_one_line_and_status_2(
    tmp_path: Path, variant: str, says: str
) -> None:
    status, out, err = lay(tmp_path, variant)
    assert (status, out) == (2, "")
    assert says in err and err.count("\n") == 1
    assert not (tmp_path / "laid").exists()


def test_a_customers_folder_that_lacks_a_file_is_one_line_and_status_2(tmp_path: Path) -> None:
    status, _, err = lay(tmp_path, "", beside=False)
    assert status == 2
    assert "expected real.json, wire.json, unlock.txt beside site.toml" in err and err.count("\n") == 1


@pytest.mark.parametrize(
    "file", sorted((ROOT / "deploy" / "sites").glob("*.toml")), ids=lambda file: file.stem
)
def test_each_variant_says_what_it_changes(file: Path) -> None:
    assert file.read_text().startswith("# Of ")
    assert set(tomllib.loads(file.read_text())) <= {"change", "add"}
