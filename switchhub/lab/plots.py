"""A result drawn: service, answers and reconnections, and the load of each server over time, troubles marked.

Owns: the picture. Must never: show what the result does not hold.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
mpl.rcParams["svg.hashsalt"] = "switchhub"

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

SHOWN = 40  # servers that get a line of their own; beyond that, bands


def _troubles(axes: Any, result: dict[str, Any], end: float) -> None:
    for number, each in enumerate(result["troubles"]):
        start = each["at_s"]
        until = start + each["seconds"] if each["seconds"] else min(start + 0.2, end)
        axes.axvspan(
            start, until, alpha=0.12, color=f"C{number % 10}", label=f"{each['name']} ({each['kind']})"
        )


def draw(result: dict[str, Any], picture: Path) -> None:
    """Write the picture; its form follows the file's ending (.svg, .png)."""
    series = result["series"]
    step = series["step_s"]
    service = [float("nan") if each is None else each for each in series["service"]]
    times = np.arange(len(service)) * step
    end = float(times[-1])
    figure, (top, middle, bottom) = plt.subplots(3, 1, figsize=(11, 9), sharex=True, constrained_layout=True)
    title = f"{result['scenario']}, seed {result['seed']}, {result['engine']}, {result['policy']}"
    top.set_title(f"{title}: service {result['service']:.3f}")
    top.step(times, service, where="post", color="black")
    top.set_ylim(-0.02, 1.05)
    top.set_ylabel("worth well served")
    _troubles(top, result, end)
    top.legend(loc="lower right", fontsize=8)
    names = sorted(
        {name for each in series["events"] for name in each if name.startswith(("answer.", "opens."))}
    )
    for name in names:
        counts = [each.get(name, 0) / step for each in series["events"]]
        middle.step(times, counts, where="post", label=name)
    middle.set_ylabel("a second")
    if names:
        middle.legend(loc="upper right", fontsize=8)
    loads = list(series["loads"].values())
    length = min((len(each) for each in loads), default=0)
    if length:
        table = np.array([each[:length] for each in loads])
        at = (np.arange(length) + 1) * step
        if len(loads) <= SHOWN:
            bottom.plot(at, table.T, linewidth=0.8)
        else:
            low, middle_, high = np.percentile(table, [5, 50, 95], axis=0)
            bottom.fill_between(at, low, high, alpha=0.3, label="5% to 95% of the servers")
            bottom.plot(at, middle_, label="median")
            bottom.legend(loc="upper right", fontsize=8)
        bottom.set_ylim(0, min(4.0, float(np.max(table)) * 1.1 + 0.1))
    bottom.axhline(1.0, color="grey", linewidth=0.5)
    bottom.set_ylabel("load over what it does")
    bottom.set_xlabel("seconds")
    metadata = {"Date": None} if picture.suffix == ".svg" else None
    figure.savefig(picture, metadata=metadata)
    plt.close(figure)
