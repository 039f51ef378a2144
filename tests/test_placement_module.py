"""The placement module as a whole: it is deterministic, short, and does no input or output."""

from __future__ import annotations

import ast
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "switchhub" / "decision" / "placement.py"
SCRIPT = """
import random
from switchhub.decision.interface import *
from tests.balancer_driver import BalancerDriver, make_server, make_settings
tenants = (Tenant("x", .5, 9.0), Tenant("y", .5, 9.0))
driver = BalancerDriver(make_settings(groups_share_work=True, tenants=tenants), 7)
servers = (make_server(f"s{n}", n % 3, started_at=0.0 if n % 4 else 900.0) for n in range(12))
driver.update_server_list(*servers)
rng = random.Random(3)
for step in range(600):
    driver.advance(rng.uniform(0, 40))
    request = driver.send_request(rng.uniform(1, 9000), tenant=step % 2, group=f"g{step % 5}")
    if driver.attempts.get(request) is None or not driver.last_of(Attempt):
        continue
    draw = rng.random()
    if draw < .7:
        driver.establish(request, rng.uniform(5, 90))
        if draw < .02:
            driver.report_delay(request, driver.server_of(request), rng.uniform(1, 300))
    else:
        driver.end_attempt(request, rng.choice(list(Result)), False)
print(driver.actions)
"""


def run(hash_seed: str) -> str:
    """The actions of the scripted run in a process of its own."""
    env = dict(os.environ, PYTHONHASHSEED=hash_seed, PYTHONPATH=str(ROOT))
    done = subprocess.run([sys.executable, "-c", SCRIPT], cwd=ROOT, env=env, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_same_events_and_seed_give_the_same_actions_whatever_the_hash_seed() -> None:
    first = run("1")
    assert first.count("Attempt(") > 100
    assert run("2") == first == run("12345")


def test_module_has_no_more_statements_and_no_longer_lines_than_allowed() -> None:
    text = MODULE.read_text()
    assert max(len(line) for line in text.splitlines()) <= 110
    statements = [node for node in ast.walk(ast.parse(text)) if isinstance(node, ast.stmt)]
    docstrings = [
        node for node in statements if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    ]
    assert len(statements) - len(docstrings) <= 427


def test_module_names_its_interface_and_does_no_input_or_output() -> None:
    text = MODULE.read_text()
    assert "switchhub/decision/interface.py" in text.split('"""')[1]
    for word in ("import time", "import os", "open(", "print(", "datetime", "socket", "hash("):
        assert word not in text
