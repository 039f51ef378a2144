"""The program with one of its pure parts replaced: `python -m tests.lab.start_mutant`, for the rig.

`LAB_MUTANT` is `MODULE:NAME=MODULE:CLASS`: what to replace, and by what.
"""

from __future__ import annotations

import importlib
import os
import runpy
import sys


def main() -> None:
    what, _, by = os.environ["LAB_MUTANT"].partition("=")
    module, _, name = what.partition(":")
    source, _, kind = by.partition(":")
    mutant = getattr(importlib.import_module(source), kind)
    original = getattr(importlib.import_module(module), name)
    for each in list(sys.modules.values()):  # whoever has imported it already too
        if getattr(each, name, None) is original and each.__name__.startswith("switchhub"):
            setattr(each, name, mutant)
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
