"""Another checkout's decision module behind this one's facade types, to compare both in virtual time.

Owns: the other checkout's modules, which are loaded beside ours and never stay in `sys.modules`. Values are
translated in both directions by the names of their types, fields and enum members, because both checkouts
define types of their own; names from before a rename are listed in `former_names.py`.
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

from switchhub.decision import facade as our_facade
from switchhub.decision import interface as our_interface
from switchhub.decision.facade import Observation, PendingActions, Pick
from switchhub.decision.interface import Request, Settings
from switchhub.lab.baselines import Decider
from switchhub.lab.former_names import current_type_name, find_type, rename_fields
from switchhub.lab.model import DeciderFactory, Simulation


@lru_cache(maxsize=8)
def load(checkout: Path) -> tuple[ModuleType, ModuleType]:
    """The other checkout's facade and interface modules.

    Raises ImportError if the checkout has no decision module, or if one from elsewhere was imported.
    """
    kept = {name: sys.modules.pop(name) for name in list(sys.modules) if name.split(".")[0] == "switchhub"}
    sys.path.insert(0, str(checkout))
    try:
        facade = importlib.import_module("switchhub.decision.facade")
        interface = importlib.import_module("switchhub.decision.interface")
        found = Path(facade.__file__ or "").resolve()
        if checkout not in found.parents:
            raise ImportError(f"imported {found}, which is not in the checkout {checkout}")
        return facade, interface
    finally:
        sys.path.remove(str(checkout))
        for name in [name for name in sys.modules if name.split(".")[0] == "switchhub"]:
            del sys.modules[name]
        sys.modules.update(kept)


class OtherCheckout:
    """Has this checkout's facade interface, and decides with the other checkout's facade."""

    def __init__(self, checkout: Path, settings: Settings, seed: int, now: float) -> None:
        self._facade, self._interface = load(checkout)
        self._inner = self._facade.Facade(self._translate(settings), seed, now)

    def pick(self, now: float, request: Request) -> Pick:
        """The server for a request's next attempt, or the request's final answer."""
        found = self._inner.pick(now, self._translate(request))
        kind = getattr(our_facade, current_type_name(type(found).__name__))
        pick: Pick = kind(*found)
        return pick

    def report(self, now: float, observation: Observation) -> None:
        """Pass on what the network observed."""
        self._inner.report(now, self._translate(observation))

    def tick(self, now: float) -> PendingActions:
        """Let due timers fire; the actions that have become pending since the last call."""
        return PendingActions(*self._inner.tick(now))

    def _translate(self, value: Any) -> Any:
        """The same value in the other checkout's types; fields that those lack are left out."""
        if isinstance(value, Enum):
            return find_type(self._interface, type(value).__name__)[value.name]
        if is_dataclass(value) and not isinstance(value, type):
            values = {each.name: getattr(value, each.name) for each in fields(value)}
            return self._build(self._interface, type(value).__name__, values)
        if isinstance(value, tuple):
            if hasattr(value, "_fields"):
                name = type(value).__name__
                home = self._interface if hasattr(our_interface, name) else self._facade
                return self._build(home, name, dict(zip(value._fields, value, strict=True)))
            return tuple(self._translate(each) for each in value)
        return value

    def _build(self, home: ModuleType, name: str, values: dict[str, Any]) -> Any:
        """An instance of the type that `home` has under this name, current or former."""
        kind = find_type(home, name)
        known = rename_fields(kind, name, values)
        return kind(**{field: self._translate(each) for field, each in known.items()})


def maker(checkout: Path) -> DeciderFactory:
    """A function that makes deciders with the checkout's decision module."""

    def make(settings: Settings, seed: int, now: float, _run: Simulation, _index: int) -> Decider:
        return OtherCheckout(checkout, settings, seed, now)

    return make
