"""Another checkout's decisions behind this one's facade, for comparisons in virtual time.

Owns: the other checkout's modules, loaded beside ours under their own objects. Must never: leave them in
`sys.modules`, where ours stand, or let their types meet ours: each value is translated by its type's name.
"""

from __future__ import annotations

import importlib
import sys
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import lru_cache
from pathlib import Path
from types import ModuleType
from typing import Any

from switchhub.decision import facade as ours
from switchhub.decision import interface
from switchhub.decision.facade import Observation, PendingActions, Pick
from switchhub.decision.interface import Request, Settings
from switchhub.lab.baselines import Decider
from switchhub.lab.model import Maker, Run


@lru_cache(maxsize=8)
def load(checkout: Path) -> tuple[ModuleType, ModuleType]:
    """The other checkout's facade and interface."""
    kept = {name: sys.modules.pop(name) for name in list(sys.modules) if name.split(".")[0] == "switchhub"}
    sys.path.insert(0, str(checkout))
    try:
        facade = importlib.import_module("switchhub.decision.facade")
        types = importlib.import_module("switchhub.decision.interface")
        found = Path(facade.__file__ or "").resolve()
        if checkout not in found.parents:
            raise ImportError(f"{found} is not of {checkout}")
        return facade, types
    finally:
        sys.path.remove(str(checkout))
        for name in [name for name in sys.modules if name.split(".")[0] == "switchhub"]:
            del sys.modules[name]
        sys.modules.update(kept)


class Earlier:
    """Speaks as our facade does, and decides as the other one."""

    def __init__(self, checkout: Path, settings: Settings, seed: int, now: float) -> None:
        self._facade, self._types = load(checkout)
        self._inner = self._facade.Facade(self._theirs(settings), seed, now)

    def pick(self, now: float, request: Request) -> Pick:
        """Where a request goes, or its final answer."""
        found = self._inner.pick(now, self._theirs(request))
        kind = getattr(ours, type(found).__name__)
        pick: Pick = kind(*found)
        return pick

    def report(self, now: float, news: Observation) -> None:
        """Tell what was seen."""
        self._inner.report(now, self._theirs(news))

    def tick(self, now: float) -> PendingActions:
        """What is to be done."""
        return PendingActions(*self._inner.tick(now))

    def _theirs(self, value: Any) -> Any:
        if isinstance(value, Enum):
            return getattr(self._types, type(value).__name__)[value.name]
        if is_dataclass(value) and not isinstance(value, type):
            kind = getattr(self._types, type(value).__name__)
            known = {each.name for each in fields(kind)}
            told = {each.name: self._theirs(getattr(value, each.name)) for each in fields(value)}
            return kind(**{name: each for name, each in told.items() if name in known})
        if isinstance(value, tuple):
            if hasattr(value, "_fields"):
                home = self._types if hasattr(interface, type(value).__name__) else self._facade
                kind = getattr(home, type(value).__name__)
                told = {
                    name: self._theirs(each)
                    for name, each in zip(value._fields, value, strict=True)
                    if name in kind._fields
                }
                return kind(**told)
            return tuple(self._theirs(each) for each in value)
        return value


def maker(checkout: Path) -> Maker:
    """How its deciders are made."""

    def make(settings: Settings, seed: int, now: float, _run: Run, _index: int) -> Decider:
        return Earlier(checkout, settings, seed, now)

    return make
