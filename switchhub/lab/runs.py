"""Runs simulations in virtual time on all cores, in a pool of worker processes that ends with the call.

Results come in the order of the jobs, and depend neither on the number of workers nor on which of them ran a
job.
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
    """One simulation run."""

    scenario: Scenario
    seed: int
    policy: str = "design"  # one of `baselines.POLICIES`; "design" is this project's own balancer
    other_checkout: Path | None = None  # its balancer takes the place of the policy
    # Whether the run goes on after a broken rule. None: it does with every policy but "design".
    continue_after_violation: bool | None = None


def run_job(job: Job, on_progress: Callable[[float], None] | None = None) -> dict[str, Any]:
    """Run one job; return its result as plain data.

    `on_progress` is called with the virtual time, in seconds, as it passes."""
    if job.other_checkout is not None:
        from switchhub.lab.earlier import maker

        make_decider = maker(job.other_checkout)
    else:
        make_decider = model.decider_factory(job.policy)
    continue_after_violation = (
        job.policy != "design" if job.continue_after_violation is None else job.continue_after_violation
    )
    outcome = model.Simulation(
        job.scenario, job.seed, make_decider, keep_on=continue_after_violation, on_progress=on_progress
    ).run()
    policy_name = job.policy if job.other_checkout is None else "against"
    return result_data(
        job.scenario,
        job.seed,
        "model",
        policy_name,
        outcome.statistics,
        outcome.violations,
        outcome.target_counts,
    )


def run_job_with_progress(job: Job) -> dict[str, Any]:
    """Run one job, with a progress bar on standard error if that is a terminal."""
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty(), transient=True) as progress:
        task = progress.add_task(job.scenario.name, total=job.scenario.seconds)
        return run_job(job, lambda now: progress.update(task, completed=now))


def _ignore_interrupts() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process terminates its workers


def run_jobs(jobs: list[Job], workers: int = 0) -> list[dict[str, Any]]:
    """Run all jobs; return their results in the order of the jobs.

    `workers` is the number of processes; 0: one for each core. With more than one, a progress bar is shown on
    standard error if that is a terminal. An interrupt terminates the workers before it is raised again."""
    workers = min(workers or os.cpu_count() or 1, max(1, len(jobs)))
    if workers == 1:
        return [run_job(job) for job in jobs]
    results: list[dict[str, Any]] = []
    console = Console(stderr=True)
    with (
        ProcessPoolExecutor(workers, initializer=_ignore_interrupts) as pool,
        Progress(console=console, disable=not sys.stderr.isatty()) as progress,
    ):
        task = progress.add_task("running", total=len(jobs))
        try:
            for each in pool.map(run_job, jobs):
                results.append(each)
                progress.advance(task)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            for process in list((pool._processes or {}).values()):
                process.terminate()
            raise
    return results
