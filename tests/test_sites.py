"""The variants of customers' sites, and the script that creates sites from them, on a made-up site."""

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


def run_script(
    path: Path, variant: str, site: str = SITE, with_companions: bool = True
) -> tuple[int, str, str]:
    """Create a site in `path` by the script; return its exit status, output and errors."""
    (path / "customer").mkdir()
    (path / "customer" / "site.toml").write_text(site)
    for name in ("real.json", "wire.json", "unlock.txt") if with_companions else ():
        (path / "customer" / name).write_text(name)
    (path / "quay.toml").write_text(variant)
    completed = subprocess.run(
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
    return completed.returncode, completed.stdout, completed.stderr


def test_created_site_has_all_files_and_only_the_variants_changes(tmp_path: Path) -> None:
    variant = """[change]
name = "quay"
"class.1.name" = "tide"
"load.hints" = "none"
[add]
"class.1.group" = "zone"
"""
    status, out, err = run_script(tmp_path, variant)
    assert (status, err) == (0, "")
    site_file = Path(out.strip())
    expected = tomllib.loads(SITE)
    expected["name"], expected["load"]["hints"] = "quay", "none"
    expected["class"][1].update(name="tide", group="zone")
    assert tomllib.loads(site_file.read_text()) == expected
    companions = {each.name: each.read_text() for each in site_file.parent.iterdir() if each != site_file}
    assert companions == {name: name for name in ("real.json", "wire.json", "unlock.txt")}


@pytest.mark.parametrize(
    ("variant", "expected_error"),
    [
        (
            '[change]\n"class.0.wroth" = 2\n',
            "[change] class.0.wroth: expected a path that the customer's file has",
        ),
        ('[change]\n"class.7.name" = "x"\n', "[change] class.7.name: expected"),
        ('[change]\n"load.hints.more" = "x"\n', "[change] load.hints.more: expected"),
        ('[change]\n"no.such" = "x"\n', "[change] no.such: expected"),
        (
            '[add]\n"class.0.name" = "x"\n',
            "[add] class.0.name: expected a path that the customer's file does not have",
        ),
        ("[remove]\n", "remove: expected [change] or [add]"),
        ("name =", "quay.toml: expected a TOML file"),
    ],
)
def test_variant_that_does_not_fit_gives_one_error_line_and_status_2(
    tmp_path: Path, variant: str, expected_error: str
) -> None:
    status, out, err = run_script(tmp_path, variant)
    assert (status, out) == (2, "")
    assert expected_error in err and err.count("\n") == 1
    assert not (tmp_path / "laid").exists()


def test_missing_files_beside_customer_file_give_one_error_line_and_status_2(tmp_path: Path) -> None:
    status, _, err = run_script(tmp_path, "", with_companions=False)
    assert status == 2
    assert "expected real.json, wire.json, unlock.txt beside site.toml" in err and err.count("\n") == 1


@pytest.mark.parametrize(
    "variant_file", sorted((ROOT / "deploy" / "sites").glob("*.toml")), ids=lambda path: path.stem
)
def test_each_variant_names_its_customer_site_and_has_only_known_sections(variant_file: Path) -> None:
    assert variant_file.read_text().startswith("# Variant of ")
    assert set(tomllib.loads(variant_file.read_text())) <= {"change", "add"}
