"""What must hold of the module as a text and as a whole."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
BRAIN = ROOT / "switchhub" / "decision" / "placement.py"
SCRIPT = """
import random
from switchhub.decision.interface import *
from tests.balancer_driver import BalancerDriver, make_server, make_settings
tenants = (Tenant("x", .5, 9.0), Tenant("y", .5, 9.0))
world = BalancerDriver(make_settings(groups_share_work=True, tenants=tenants), 7)
servers = (make_server(f"s{n}", n % 3, started_at=0.0 if n % 4 else 900.0) for n in range(12))
world.update_server_list(*servers)
rng = random.Random(3)
for step in range(600):
    world.advance(rng.uniform(0, 40))
    request = world.send_request(rng.uniform(1, 9000), tenant=step % 2, group=f"g{step % 5}")
    if world.attempts.get(request) is None or not world.last_of(Attempt):
        continue
    draw = rng.random()
    if draw < .7:
        world.establish(request, rng.uniform(5, 90))
        if draw < .02:
            world.report_delay(request, world.server_of(request), rng.uniform(1, 300))
    else:
        world.end_attempt(request, rng.choice(list(Result)), False)
print(world.actions)
"""


def run(hash_seed: str) -> str:
    env = dict(os.environ, PYTHONHASHSEED=hash_seed, PYTHONPATH=str(ROOT))
    done = subprocess.run([sys.executable, "-c", SCRIPT], cwd=ROOT, env=env, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_same_events_and_seed_same_actions_whatever_the_hash_seed() -> None:
    first = run("1")
    assert first.count("Attempt(") > 100
    assert run("2") == first == run("12345")


def test_module_is_short_enough_to_be_read_at_night() -> None:
    lines = [line for line in BRAIN.read_text().splitlines() if line.strip()]
    assert len(lines) <= 520
    assert max(len(line) for line in lines) <= 110


def test_module_names_its_interface_and_stays_pure() -> None:
    text = BRAIN.read_text()
    assert "switchhub/decision/interface.py" in text.split('"""')[1]
    for word in ("import time", "import os", "open(", "print(", "datetime", "socket", "hash("):
        assert word not in text
