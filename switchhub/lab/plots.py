"""Draws a run's result: service, answers and reconnections, and each server's load over time, with the
scenario's troubles marked. The picture shows only what the result's JSON holds.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib as mpl

mpl.use("Agg")
mpl.rcParams["svg.hashsalt"] = (
    "switchhub"  # a fixed salt gives the same ids, and so the same bytes, each time
)

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

LINE_PER_SERVER_MAX = 40  # with more servers, percentiles over the servers are drawn in place of a line each


def _shade_troubles(axes: Any, result: dict[str, Any], end_s: float) -> None:
    """Shade the time of each trouble; one without a duration gets 0.2 s, so that it can be seen."""
    for number, trouble in enumerate(result["troubles"]):
        start = trouble["at_s"]
        until = start + trouble["seconds"] if trouble["seconds"] else min(start + 0.2, end_s)
        axes.axvspan(
            start, until, alpha=0.12, color=f"C{number % 10}", label=f"{trouble['name']} ({trouble['kind']})"
        )


def draw(result: dict[str, Any], picture: Path) -> None:
    """Write a result's picture; the file's extension (.svg, .png) selects the format.

    Raises KeyError if `result` is not a run's result, and OSError if the file can't be written."""
    series = result["series"]
    step_s = series["step_s"]
    service = [float("nan") if each is None else each for each in series["service"]]
    times = np.arange(len(service)) * step_s
    end_s = float(times[-1])
    figure, (top, middle, bottom) = plt.subplots(3, 1, figsize=(11, 9), sharex=True, constrained_layout=True)
    title = f"{result['scenario']}, seed {result['seed']}, {result['engine']}, {result['policy']}"
    top.set_title(f"{title}: service {result['service']:.3f}")
    top.step(times, service, where="post", color="black")
    top.set_ylim(-0.02, 1.05)
    top.set_ylabel("service (share of worth)")
    _shade_troubles(top, result, end_s)
    top.legend(loc="lower right", fontsize=8)
    names = sorted(
        {name for counts in series["events"] for name in counts if name.startswith(("answer.", "opens."))}
    )
    for name in names:
        per_second = [counts.get(name, 0) / step_s for counts in series["events"]]
        middle.step(times, per_second, where="post", label=name)
    middle.set_ylabel("events per second")
    if names:
        middle.legend(loc="upper right", fontsize=8)
    loads = list(series["loads"].values())
    length = min((len(each) for each in loads), default=0)
    if length:
        load_table = np.array([each[:length] for each in loads])
        load_times = (np.arange(length) + 1) * step_s
        if len(loads) <= LINE_PER_SERVER_MAX:
            bottom.plot(load_times, load_table.T, linewidth=0.8)
        else:
            low, median, high = np.percentile(load_table, [5, 50, 95], axis=0)
            bottom.fill_between(
                load_times, low, high, alpha=0.3, label="5th to 95th percentile of the servers"
            )
            bottom.plot(load_times, median, label="median")
            bottom.legend(loc="upper right", fontsize=8)
        bottom.set_ylim(0, min(4.0, float(np.max(load_table)) * 1.1 + 0.1))
    bottom.axhline(1.0, color="grey", linewidth=0.5)
    bottom.set_ylabel("server load / capacity")
    bottom.set_xlabel("seconds")
    metadata = {"Date": None} if picture.suffix == ".svg" else None
    figure.savefig(picture, metadata=metadata)
    plt.close(figure)
