"""What a run came to: worth well served, answers, times, loads; counted as it goes, written as JSON at the
end.

Owns: the counts of one run and their form (versioned). Must never: hold a figure of the wall clock for a
run in virtual time, or depend on the order of hashes; the same run gives the same bytes.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from switchhub.lab.checker import Violation
from switchhub.lab.scenario import Scenario

RESULT_VERSION = 1
SERIES_STEP_S = 0.5  # seconds of one step of the series
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LONGEST_DURATION_US = 120_000_000  # microseconds: the longest time that a histogram tells apart


class DurationHistogram:
    """Durations in microseconds, as an HDR histogram of three digits."""

    def __init__(self) -> None:
        self._counts: Counter[int] = Counter()

    def add(self, seconds: float) -> None:
        """One duration, to 10 microseconds."""
        self._counts[int(seconds * 1e5)] += 1

    def histogram(self) -> HdrHistogram:
        """All of them."""
        histogram = HdrHistogram(1, LONGEST_DURATION_US, 3)
        for value, count in sorted(self._counts.items()):
            histogram.record_value(min(max(value * 10, 1), LONGEST_DURATION_US), count)
        return histogram

    def percentiles(self) -> dict[str, float]:
        """Percentiles in milliseconds."""
        histogram = self.histogram()
        if not histogram.total_count:
            return {"count": 0}
        figures: dict[str, float] = {"count": histogram.total_count}
        for percentile in PERCENTILES:
            figures[f"p{percentile:g}_ms"] = round(histogram.get_value_at_percentile(percentile) / 1000, 3)
        return figures


class RunStatistics:
    """Counts of one run."""

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
        """The step of the series that a moment belongs to."""
        return min(max(int(at / SERIES_STEP_S), 0), self._last_step)

    def count_answer(self, at: float, class_index: int, outcome: str) -> None:
        """A client has its final answer."""
        self.answer_counts[class_index][outcome] += 1
        self.step_events[self.step_index(at)][
            f"answer.{self._scenario.classes[class_index].name}.{outcome}"
        ] += 1

    def count_event(self, at: float, name: str) -> None:
        """Something that is counted, over time and in all."""
        self.event_counts[name] += 1
        self.step_events[self.step_index(at)][name] += 1

    def service(self, start_s: float = 0.0, end_s: float = 1e9) -> float:
        """Worth of the messages well served over the worth of those that clients wanted to send; 1 if none
        were."""
        first_step, last_step = self.step_index(start_s), self.step_index(end_s)
        wanted = good = 0.0
        for class_index, worth in enumerate(self._worths):
            wanted += worth * sum(self.wanted_messages[class_index][first_step : last_step + 1])
            good += worth * sum(self.good_messages[class_index][first_step : last_step + 1])
        return good / wanted if wanted else 1.0

    def service_series(self) -> list[float | None]:
        """Service in each step; none where nothing was wanted."""
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
    """The run as plain data."""
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
    """JSON whose bytes depend on nothing but the data."""
    return json.dumps(data, sort_keys=True, indent=1) + "\n"
