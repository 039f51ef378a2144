"""`python -m switchhub lab ...`: check, run, table, compare, engines, hunt, plot, perf, storm,
upgrades, faults.

Owns: the arguments, what is printed and the exit status: 0, 1 when a rule is broken, 2 for wrong use or a
file that does not serve. Must never: start anything before every file named is checked whole.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loguru import logger

from switchhub.lab import scenario as scenarios
from switchhub.lab.baselines import POLICIES
from switchhub.lab.run_statistics import dump_json
from switchhub.lab.runs import Job, run_job_with_progress, run_jobs
from switchhub.lab.scenario import Scenario, ScenarioError

SCENARIO_DIRECTORY = Path(__file__).parent.parent.parent / "lab" / "scenarios"
LARGE = 20_000  # standing connections beyond which a scenario is left out of tables unless it is named


def seeds(text: str) -> list[int]:
    """`7`, `1..20` or `1,4,9`."""
    try:
        if ".." in text:
            first, last = (int(each) for each in text.split(".."))
            found = list(range(first, last + 1))
        else:
            found = [int(each) for each in text.split(",")]
    except ValueError:
        raise argparse.ArgumentTypeError(f"not seeds: {text!r}; 7, 1..20 or 1,4,9 are") from None
    if not found or min(found) < 0 or len(found) > 10_000:
        raise argparse.ArgumentTypeError(f"not seeds: {text!r}: from 1 to 10,000 of them, none under 0")
    return found


def policies(text: str) -> list[str]:
    """Names with commas between."""
    names = text.split(",")
    for name in names:
        if name not in POLICIES:
            raise argparse.ArgumentTypeError(f"no policy {name!r}; there are {', '.join(POLICIES)}")
    return names


def new_file(text: str) -> Path:
    """A file that can be written once a run is over."""
    path = Path(text)
    if path.is_dir() or not path.absolute().parent.is_dir():
        raise argparse.ArgumentTypeError(f"{text!r} can't be written: no such folder")
    return path


def picture(text: str) -> Path:
    """A picture's file."""
    if Path(text).suffix not in (".svg", ".png"):
        raise argparse.ArgumentTypeError(f"{text!r} must end in .svg or .png")
    return new_file(text)


def checkout(text: str) -> Path:
    """Another checkout of this project."""
    path = Path(text).resolve()
    if not (path / "switchhub" / "decision" / "facade.py").is_file():
        raise argparse.ArgumentTypeError(f"{text!r} holds no switchhub/decision/facade.py")
    return path


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m switchhub lab", description="Play a fleet of balancers through troubles and judge it."
    )
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")

    def verb(name: str, help_: str, example: str) -> argparse.ArgumentParser:
        return verbs.add_parser(
            name,
            help=help_,
            description=help_,
            epilog=f"Example: python -m switchhub lab {example}",
        )

    one = verb("check", "check scenario files whole; every fault is a line", "check lab/scenarios/*.toml")
    one.add_argument("files", nargs="+", type=Path)

    one = verb(
        "run", "play one scenario", "run lab/scenarios/hang.toml --seed 3 --json out.json --plot out.svg"
    )
    one.add_argument("file", type=Path)
    one.add_argument(
        "--engine", choices=("model", "live"), default="model", help="virtual time, or real processes"
    )
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--policy", choices=POLICIES, default="design")
    one.add_argument(
        "--against", type=checkout, metavar="DIR", help="play another checkout's balancer instead"
    )
    one.add_argument("--json", type=new_file, metavar="FILE", help="write the result there")
    one.add_argument("--plot", type=picture, metavar="FILE", help="draw it there, .svg or .png")
    one.add_argument("--keep-on", action="store_true", help="go on after a broken rule")

    one = verb(
        "table", "scenarios by policies, in virtual time", "table --seeds 1..10 --policies design,oracle"
    )
    one.add_argument("files", nargs="*", type=Path, help="scenario files; the whole shelf if none")
    one.add_argument("--seeds", type=seeds, default=[1, 2, 3])
    one.add_argument("--policies", type=policies, default=list(POLICIES))
    one.add_argument("--workers", type=int, default=0, help="processes; as many as there are cores if 0")
    one.add_argument("--json", type=new_file, metavar="FILE")

    one = verb(
        "compare", "two policies or checkouts, seed by seed", "compare design plain --scenario hang.toml"
    )
    one.add_argument("a", help="a policy, or a checkout's folder")
    one.add_argument("b", help="a policy, or a checkout's folder")
    one.add_argument("--scenario", type=Path, required=True)
    one.add_argument("--seeds", type=seeds, default=list(range(1, 11)))
    one.add_argument("--workers", type=int, default=0)
    one.add_argument("--json", type=new_file, metavar="FILE")

    one = verb("engines", "the same scenarios on both engines, side by side", "engines --seed 1")
    one.add_argument(
        "files", nargs="*", type=Path, help="scenario files; those of the shelf that fit if none"
    )
    one.add_argument("--seed", type=int, default=1)

    one = verb("plot", "draw a result", "plot out.json out.svg")
    one.add_argument("result", type=Path)
    one.add_argument("picture", type=picture)

    one = verb("hunt", "draw scenarios, find the worst, shrink it", "hunt --draws 40 --seed 1 --out found")
    one.add_argument("--draws", type=int, default=20)
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--out", type=Path, default=Path("found"))
    one.add_argument("--workers", type=int, default=0)

    one = verb("storm", "many clients at one real balancer", "storm --clients 1000,3000 --wait-ms 1200")
    one.add_argument("--clients", type=seeds, default=[1000, 3000], help="how many at once, one storm each")
    one.add_argument("--rate", type=float, default=0.0, help="so many a second instead, for --seconds")
    one.add_argument("--seconds", type=float, default=10.0)
    one.add_argument("--wait-ms", type=int, default=1200)
    one.add_argument("--silent", type=int, help="call for the figures too, beside so many silent callers")
    one.add_argument("--against", type=checkout, metavar="DIR", help="another checkout's balancer")
    one.add_argument("--json", type=new_file, metavar="FILE")

    one = verb(
        "upgrades",
        "processes of one balancer stopped, woken and killed beside each other",
        'upgrades "start a; ready a; 300; start b; ready b; stop b; 900"',
    )
    one.add_argument("plans", nargs="*", metavar="PLAN", help="as `lab/faults/upgrades.py` describes them")
    one.add_argument("--seeds", type=seeds, default=[], help="draw a plan from each of these")
    one.add_argument("--at-once", type=int, default=4, help="plays side by side")
    one.add_argument("--shrink", action="store_true", help="look for less of a plan that still goes wrong")
    one.add_argument("--json", type=new_file, metavar="FILE")

    one = verb(
        "faults",
        "several balancers that know each other, with faults of and between them: run, hunt, replay, shrink",
        "faults run lab/faults/split.toml",
    )
    one.add_argument("what", choices=("run", "hunt", "replay", "shrink"))
    one.add_argument("files", nargs="*", type=Path, metavar="FILE", help="plans; with replay, records")
    one.add_argument("--seeds", type=seeds, default=[], help="with hunt: draw a plan from each of these")
    one.add_argument("--balancers", type=int, default=5, help="with hunt: how many, from 3 to 40")
    one.add_argument("--duties", action="store_true", help="with hunt: a duty is held by lease all along")
    one.add_argument("--at-once", type=int, default=2, help="plays side by side")
    one.add_argument("--shrink", action="store_true", help="with hunt: make what goes wrong small")
    one.add_argument("--json", type=new_file, metavar="FILE")

    one = verb("perf", "what the balancer itself costs", "perf --json perf.json")
    one.add_argument(
        "--against", type=checkout, metavar="DIR", help="beside another checkout, in the same run"
    )
    one.add_argument("--quick", action="store_true", help="shorter, for a first look")
    one.add_argument("--json", type=new_file, metavar="FILE")
    return parser


def read_all(files: list[Path]) -> list[Scenario]:
    """All files, or one `ScenarioError` with the faults of every one."""
    found: list[Scenario] = []
    faults: list[str] = []
    for path in files:
        try:
            found.append(scenarios.read_scenario(path))
        except ScenarioError as error:
            faults += error.problems
    if faults:
        raise ScenarioError(faults)
    return found


def shelf() -> list[Scenario]:
    """The project's own scenarios that a table can hold."""
    return [
        each
        for each in read_all(sorted(SCENARIO_DIRECTORY.glob("*.toml")))
        if each.standing_connections <= LARGE
    ]


def write(path: Path | None, data: Any) -> None:
    """As JSON, if a file is named."""
    if path is not None:
        path.write_text(dump_json(data), encoding="utf-8")


def show_result(result: dict[str, Any]) -> int:
    """A run's figures on the terminal, and what broke; the exit status."""
    print(
        f"{result['scenario']} seed {result['seed']} {result['engine']} {result['policy']}: "
        f"service {result['service']:.4f}"
    )
    for each in result["troubles"]:
        print(f"  trouble {each['name']} ({each['kind']}) at {each['at_s']} s meets {each['meets']}")
    for name, each in result["by_class"].items():
        told = ", ".join(f"{word} {count}" for word, count in each["answers"].items())
        print(f"  {name}: {each['good']} of {each['wanted']} messages well served; answers: {told or 'none'}")
    for name in ("setup", "message"):
        print(f"  {name}: " + ", ".join(f"{key} {value}" for key, value in result[name].items()))
    if result["counts"]:
        print("  " + ", ".join(f"{key} {value}" for key, value in result["counts"].items()))
    for note in result.get("notes", ()):
        print(f"  {note}")
    for each in result["broken"][:1]:
        print(f"RULE {each['rule']} BROKEN at {each['at']} s: {each['name']}: {each['text']}")
        for line in each["story"]:
            print(f"    {line}")
    if len(result["broken"]) > 1:
        print(f"  and {len(result['broken']) - 1} more")
    return 1 if result["broken"] or result.get("crashed") else 0


def _check(told: argparse.Namespace) -> int:
    for each in read_all(told.files):
        print(
            f"{each.name}: {len(each.server_names())} servers, "
            f"{each.standing_connections} standing connections, serves"
        )
    return 0


def _run(told: argparse.Namespace) -> int:
    scenario = read_all([told.file])[0]
    if told.engine == "live":
        if told.policy != "design":
            print("lab: live runs play the real program: --policy design, or --against DIR", file=sys.stderr)
            return 2
        from switchhub.lab.live import runner

        result = runner.run_live(scenario, told.seed, told.against)
    else:
        result = run_job_with_progress(
            Job(scenario, told.seed, told.policy, told.against, told.keep_on or None)
        )
    write(told.json, result)
    if told.plot:
        _draw(result, told.plot)
    return 2 if result.get("unfit") else show_result(result)


def _table(told: argparse.Namespace) -> int:
    from switchhub.lab import report

    found = read_all(told.files) if told.files else shelf()
    jobs = [Job(each, seed, policy) for each in found for policy in told.policies for seed in told.seeds]
    rows = report.summarize(run_jobs(jobs, told.workers))
    write(told.json, rows)
    print(report.format_table(rows, told.policies))
    return 1 if any(row["policy"] == "design" and row["broken"] for row in rows) else 0


def _compare(told: argparse.Namespace) -> int:
    from switchhub.lab import report

    scenario = read_all([told.scenario])[0]
    sides = []
    for name in (told.a, told.b):
        against = None if name in POLICIES else checkout(name)
        policy = name if against is None else "design"
        sides.append([Job(scenario, seed, policy, against) for seed in told.seeds])
    results = run_jobs(sides[0] + sides[1], told.workers)
    half = len(told.seeds)
    found = report.compare_runs(told.a, told.b, results[:half], results[half:])
    write(told.json, found)
    print(report.format_comparison(found))
    return 0


def _draw(result: dict[str, Any], picture: Path) -> None:
    from switchhub.lab import plots

    plots.draw(result, picture)


def _plot(told: argparse.Namespace) -> int:
    try:
        result = json.loads(told.result.read_text(encoding="utf-8"))
        _draw(result, told.picture)
    except (OSError, ValueError, KeyError) as error:
        print(f"lab: {told.result}: not a result of lab run: {error}", file=sys.stderr)
        return 2
    return 0


def _engines(told: argparse.Namespace) -> int:
    from switchhub.lab import report
    from switchhub.lab.live import runner

    found = (
        read_all(told.files)
        if told.files
        else [each for each in shelf() if runner.unfit_reason(each) is None]
    )
    return report.engines(found, told.seed)


def _hunt(told: argparse.Namespace) -> int:
    from switchhub.lab import hunt

    return hunt.run(told.draws, told.seed, told.out, told.workers)


def _storm(told: argparse.Namespace) -> int:
    from switchhub.lab import storm

    rows = storm.run(told.clients, told.wait_ms, told.rate, told.seconds, told.against, told.silent)
    write(told.json, rows)
    print(storm.table(rows))
    return 1 if any(row["late_up"] or row["reset"] or row["unanswered"] for row in rows) else 0


def _perf(told: argparse.Namespace) -> int:
    from switchhub.lab import perf

    found = perf.run(told.against, told.quick)
    write(told.json, found)
    print(perf.table(found))
    return 0


def _upgrades(told: argparse.Namespace) -> int:
    from switchhub.lab.faults import upgrades
    from switchhub.lab.faults.process_harness import PlanError

    try:
        found = upgrades.run_and_report(
            [*told.plans, *map(upgrades.random_plan, told.seeds)], told.at_once, told.shrink
        )
    except PlanError as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    write(told.json, found)
    return 1 if any(each["faults"] for each in found) else 0


def _faults(told: argparse.Namespace) -> int:
    from switchhub.lab.faults import fleet, hunt
    from switchhub.lab.faults.process_harness import PlanError

    if not 3 <= told.balancers <= 40:
        raise argparse.ArgumentTypeError(f"--balancers {told.balancers}: expected 3 to 40")
    if told.what == "hunt" and not told.seeds:
        raise argparse.ArgumentTypeError("hunt: expected --seeds")
    try:
        if told.what == "replay":
            plans = [plan for path in told.files for plan in hunt.read_recorded_plans(path)]
        else:
            plans = [fleet.parse_plan(path.read_text(encoding="utf-8"), str(path)) for path in told.files]
            plans += [hunt.random_plan(seed, told.balancers, told.duties) for seed in told.seeds]
    except (PlanError, OSError, UnicodeDecodeError) as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    if not plans:
        raise argparse.ArgumentTypeError(f"{told.what}: expected a file")
    if told.what == "shrink":
        for plan in plans:
            print(hunt.shrink_plan(plan).to_toml())
        return 0
    found = hunt.run_and_report(plans, told.at_once, told.shrink)
    write(told.json, found)
    return 1 if any(each["faults"] for each in found) else 0


VERBS: dict[str, Callable[[argparse.Namespace], int]] = {
    "check": _check,
    "run": _run,
    "table": _table,
    "compare": _compare,
    "engines": _engines,
    "plot": _plot,
    "hunt": _hunt,
    "perf": _perf,
    "storm": _storm,
    "upgrades": _upgrades,
    "faults": _faults,
}


def main(arguments: list[str]) -> int:
    """The exit status."""
    told = _parser().parse_args(arguments)
    # Danger: ended by a signal that nobody hears, a play would leave its processes behind.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return VERBS[told.verb](told)
    except ScenarioError as error:
        for fault in error.problems:
            print(f"lab: {fault}", file=sys.stderr)
        return 2
    except argparse.ArgumentTypeError as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        logger.warning("interrupted")
        return 130
