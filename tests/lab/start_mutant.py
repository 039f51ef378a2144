"""Run as `python -m tests.lab.start_mutant`: starts the balancer with one of its classes or functions
replaced by a faulty one, to test that the lab's checks find the fault.

The environment variable `LAB_MUTANT` is `MODULE:NAME=MODULE:NAME`: what is replaced, and by what.
"""

from __future__ import annotations

import importlib
import os
import runpy
import sys


def main() -> None:
    """Replace the original in each module of the balancer that has imported it, then run the balancer."""
    target, _, replacement = os.environ["LAB_MUTANT"].partition("=")
    target_module, _, name = target.partition(":")
    mutant_module, _, mutant_name = replacement.partition(":")
    mutant = getattr(importlib.import_module(mutant_module), mutant_name)
    original = getattr(importlib.import_module(target_module), name)
    for module in list(sys.modules.values()):
        if getattr(module, name, None) is original and module.__name__.startswith("switchhub"):
            setattr(module, name, mutant)
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
