"""Runs the balancer with wrong clocks: `python -m switchhub.lab.faults.clock ...`.

Wraps Python's clock functions in this process and nothing else. The environment variable `LAB_CLOCK` is
`RATE` or `RATE,SECONDS,JUMP`: all clocks run at RATE times the true speed, and once SECONDS have passed on
them since the start, the wall clock (`time.time`) is JUMP seconds ahead.
"""

from __future__ import annotations

import os
import runpy
import time


def main() -> None:
    """Replace the clock functions, then run the balancer."""
    rate, jump_after_s, jump_s = ([float(each) for each in os.environ["LAB_CLOCK"].split(",")] + [0.0, 0.0])[
        :3
    ]
    monotonic, wall = time.monotonic, time.time
    monotonic_start, wall_start = monotonic(), wall()

    def skewed_monotonic() -> float:
        return monotonic_start + (monotonic() - monotonic_start) * rate

    def skewed_wall() -> float:
        elapsed = (monotonic() - monotonic_start) * rate
        return wall_start + elapsed + (jump_s if elapsed > jump_after_s else 0.0)

    gettime, boot_clock = time.clock_gettime, time.CLOCK_BOOTTIME
    boot_time_start = gettime(boot_clock)

    def skewed_gettime(clock_id: int) -> float:
        now = gettime(clock_id)
        return boot_time_start + (now - boot_time_start) * rate if clock_id == boot_clock else now

    time.monotonic, time.time, time.clock_gettime = skewed_monotonic, skewed_wall, skewed_gettime
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
