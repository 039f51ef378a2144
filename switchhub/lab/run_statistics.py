"""Statistics of a run: messages served in time, answers, durations and loads, written as JSON at the end.

The form of the JSON has a version. It holds no wall-clock times of runs in virtual time and does not depend
on hash order, so that the same run gives the same bytes.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from switchhub.lab.checker import Violation
from switchhub.lab.scenario import Scenario

RESULT_VERSION = 1
SERIES_STEP_S = 0.5
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LONGEST_DURATION_US = 120_000_000  # longer durations are counted as this one


class DurationHistogram:
    """Durations in steps of 10 microseconds, exported as an HDR histogram of three digits."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """Add a duration."""
        self._counts[int(seconds * 1e5)] += 1

    def histogram(self) -> HdrHistogram:
        """The HDR histogram of all durations, in microseconds."""
        histogram = HdrHistogram(1, LONGEST_DURATION_US, 3)
        for value, count in sorted(self._counts.items()):
            histogram.record_value(min(max(value * 10, 1), LONGEST_DURATION_US), count)
        return histogram

    def percentiles(self) -> dict[str, float]:
        """The count and, if there are any, the percentiles in milliseconds."""
        histogram = self.histogram()
        if not histogram.total_count:
            return {"count": 0}
        figures: dict[str, float] = {"count": histogram.total_count}
        for percentile in PERCENTILES:
            figures[f"p{percentile:g}_ms"] = round(histogram.get_value_at_percentile(percentile) / 1000, 3)
        return figures


class RunStatistics:
    """The counts of one run, in all and for each step of the series."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        steps = int(scenario.seconds / SERIES_STEP_S) + 1
        self._worths = [each.worth for each in scenario.classes]
        self.wanted_messages = [[0] * steps for _ in scenario.classes]
        self.good_messages = [[0] * steps for _ in scenario.classes]
        self.answer_counts = [Counter[str]() for _ in scenario.classes]
        self.step_events: list[Counter[str]] = [Counter() for _ in range(steps)]
        self.server_loads: dict[str, list[float]] = {}
        self.setup_times, self.message_times = DurationHistogram(), DurationHistogram()
        self.event_counts: Counter[str] = Counter()
        self._last_step = steps - 1

    def step_index(self, at: float) -> int:
        """The index of the series step at a time in seconds; times after the end belong to the last step."""
        return min(max(int(at / SERIES_STEP_S), 0), self._last_step)

    def count_answer(self, at: float, class_index: int, outcome: str) -> None:
        """Count a final answer to a client of the class."""
        self.answer_counts[class_index][outcome] += 1
        self.step_events[self.step_index(at)][
            f"answer.{self._scenario.classes[class_index].name}.{outcome}"
        ] += 1

    def count_event(self, at: float, name: str) -> None:
        """Count an event by its name."""
        self.event_counts[name] += 1
        self.step_events[self.step_index(at)][name] += 1

    def service(self, start_s: float = 0.0, end_s: float = 1e9) -> float:
        """Worth of the messages answered in time over the worth of all that clients wanted to send.

        Covers the steps from `start_s` to `end_s`; 1 if clients wanted to send none.
        """
        first_step, last_step = self.step_index(start_s), self.step_index(end_s)
        wanted = good = 0.0
        for class_index, worth in enumerate(self._worths):
            wanted += worth * sum(self.wanted_messages[class_index][first_step : last_step + 1])
            good += worth * sum(self.good_messages[class_index][first_step : last_step + 1])
        return good / wanted if wanted else 1.0

    def service_series(self) -> list[float | None]:
        """The service in each step; none where clients wanted to send nothing."""
        series: list[float | None] = []
        for step in range(self._last_step + 1):
            wanted = sum(
                worth * self.wanted_messages[class_index][step]
                for class_index, worth in enumerate(self._worths)
            )
            good = sum(
                worth * self.good_messages[class_index][step]
                for class_index, worth in enumerate(self._worths)
            )
            series.append(round(good / wanted, 6) if wanted else None)
        return series


def result_data(
    scenario: Scenario,
    seed: int,
    engine: str,
    policy: str,
    statistics: RunStatistics,
    violations: list[Violation],
    target_counts: dict[str, int],
) -> dict[str, Any]:
    """The run's result as JSON-compatible data; `target_counts` has the number of targets by trouble."""
    return {
        "version": RESULT_VERSION,
        "scenario": scenario.name,
        "seed": seed,
        "engine": engine,
        "policy": policy,
        "service": round(statistics.service(), 6),
        "by_class": {
            each.name: {
                "wanted": sum(statistics.wanted_messages[class_index]),
                "good": sum(statistics.good_messages[class_index]),
                "answers": dict(sorted(statistics.answer_counts[class_index].items())),
            }
            for class_index, each in enumerate(scenario.classes)
        },
        "setup": statistics.setup_times.percentiles(),
        "message": statistics.message_times.percentiles(),
        "counts": dict(sorted(statistics.event_counts.items())),
        "troubles": [
            {
                **each.model_dump(include={"name", "kind", "at_s", "seconds"}),
                "meets": target_counts.get(each.name, 0),
            }
            for each in scenario.troubles
        ],
        "series": {
            "step_s": SERIES_STEP_S,
            "service": statistics.service_series(),
            "events": [dict(sorted(each.items())) for each in statistics.step_events],
            "loads": {
                name: [round(each, 4) for each in loads]
                for name, loads in sorted(statistics.server_loads.items())
            },
        },
        "broken": [
            {
                "name": each.name,
                "rule": each.rule,
                "at": round(each.at, 6),
                "text": each.text,
                "story": each.history,
            }
            for each in violations
        ],
    }


def dump_json(data: Any) -> str:
    """JSON text that depends on nothing but the data."""
    return json.dumps(data, sort_keys=True, indent=1) + "\n"
