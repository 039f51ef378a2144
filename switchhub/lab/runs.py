"""Many runs in virtual time over the cores, each in a process of its own; results in the order of the jobs.

Owns: the pool of processes, ended with the call. Must never: let the number of workers, or which of them
played a job, show in a result.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import Progress

from switchhub.lab import model
from switchhub.lab.run_statistics import result_data
from switchhub.lab.scenario import Scenario


@dataclass(frozen=True, slots=True)
class Job:
    """One run in virtual time."""

    scenario: Scenario
    seed: int
    policy: str = "design"
    other_checkout: Path | None = None
    keep_on: bool | None = None


def run_job(job: Job, passed: Callable[[float], None] | None = None) -> dict[str, Any]:
    """The result of one job. A broken rule ends a run of the design, other policies go on.

    `passed` is told of the virtual time, in seconds, as it goes."""
    if job.other_checkout is not None:
        from switchhub.lab.earlier import maker

        make = maker(job.other_checkout)
    else:
        make = model.decider_factory(job.policy)
    keep_on = job.policy != "design" if job.keep_on is None else job.keep_on
    played = model.Simulation(job.scenario, job.seed, make, keep_on=keep_on, on_progress=passed).run()
    name = job.policy if job.other_checkout is None else "against"
    return result_data(
        job.scenario, job.seed, "model", name, played.statistics, played.violations, played.target_counts
    )


def run_job_with_progress(job: Job) -> dict[str, Any]:
    """The same, with progress on a terminal's standard error."""
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty(), transient=True) as progress:
        shown = progress.add_task(job.scenario.name, total=job.scenario.seconds)
        return run_job(job, lambda now: progress.update(shown, completed=now))


def _ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends its workers


def run_jobs(jobs: list[Job], workers: int = 0) -> list[dict[str, Any]]:
    """All results, in the order of the jobs; progress on a terminal's standard error."""
    workers = min(workers or os.cpu_count() or 1, max(1, len(jobs)))
    if workers == 1:
        return [run_job(job) for job in jobs]
    out: list[dict[str, Any]] = []
    console = Console(stderr=True)
    with (
        ProcessPoolExecutor(workers, initializer=_ignore_interrupts) as pool,
        Progress(console=console, disable=not sys.stderr.isatty()) as progress,
    ):
        shown = progress.add_task("playing", total=len(jobs))
        try:
            for each in pool.map(run_job, jobs):
                out.append(each)
                progress.advance(shown)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list((pool._processes or {}).values()):
                process.terminate()
            raise
    return out
