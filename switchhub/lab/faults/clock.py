"""The program under a clock that is wrong: `python -m switchhub.lab.faults.clock ...`.

Owns: wrappers around Python's clocks, in this process only. Must never: change what the program does with
them. `LAB_CLOCK` is `RATE` or `RATE,SECONDS,JUMP`: all clocks run at this rate, and so long after the start
the wall clock jumps by so many seconds.
"""

from __future__ import annotations

import os
import runpy
import time


def main() -> None:
    """Wrap, then start."""
    rate, after, jump = ([float(each) for each in os.environ["LAB_CLOCK"].split(",")] + [0.0, 0.0])[:3]
    monotonic, wall = time.monotonic, time.time
    zero, began = monotonic(), wall()

    def monotonic_here() -> float:
        return zero + (monotonic() - zero) * rate

    def wall_here() -> float:
        gone = (monotonic() - zero) * rate
        return began + gone + (jump if gone > after else 0.0)

    gettime, boot = time.clock_gettime, time.CLOCK_BOOTTIME
    booted = gettime(boot)

    def gettime_here(which: int) -> float:
        now = gettime(which)
        return booted + (now - booted) * rate if which == boot else now

    time.monotonic, time.time, time.clock_gettime = monotonic_here, wall_here, gettime_here
    runpy.run_module("switchhub", run_name="__main__", alter_sys=True)


main()
