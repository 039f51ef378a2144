"""The command `python -m switchhub lab`, with the verbs check, run, table, compare, engines, hunt, plot,
perf, storm, upgrades and faults.

Exit status: 0; 1 if a rule was broken, a balancer crashed or a client was not answered as it must be; 2 for
wrong arguments or an invalid file; 130 after an interrupt. Every file that is named is read and checked
before anything starts.
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
# Scenarios with more standing connections are left out unless they are named.
DEFAULT_STANDING_CONNECTIONS_MAX = 20_000


def parse_numbers(text: str) -> list[int]:
    """Parse `7`, `1..20` or `1,4,9` to a list of up to 10,000 numbers; raises ArgumentTypeError."""
    try:
        if ".." in text:
            first, last = (int(each) for each in text.split(".."))
            numbers = list(range(first, last + 1))
        else:
            numbers = [int(each) for each in text.split(",")]
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a list of numbers; expected a form like 7, 1..20 or 1,4,9"
        ) from None
    if not numbers or min(numbers) < 0 or len(numbers) > 10_000:
        raise argparse.ArgumentTypeError(f"{text!r}: expected 1 to 10,000 numbers, none of them negative")
    return numbers


def parse_policies(text: str) -> list[str]:
    """Parse names of policies with commas between; raises ArgumentTypeError for an unknown one."""
    names = text.split(",")
    for name in names:
        if name not in POLICIES:
            raise argparse.ArgumentTypeError(
                f"unknown policy {name!r}; expected one of {', '.join(POLICIES)}"
            )
    return names


def parse_output_file(text: str) -> Path:
    """The path of a file to write. Raises ArgumentTypeError if its folder does not exist, so that a wrong
    path is found before a run and not after it."""
    path = Path(text)
    if path.is_dir() or not path.absolute().parent.is_dir():
        raise argparse.ArgumentTypeError(
            f"{text!r} can't be written: it is a folder, or its folder does not exist"
        )
    return path


def parse_picture_file(text: str) -> Path:
    """The path of a picture to write, .svg or .png; raises ArgumentTypeError."""
    if Path(text).suffix not in (".svg", ".png"):
        raise argparse.ArgumentTypeError(f"{text!r} must end in .svg or .png")
    return parse_output_file(text)


def parse_checkout(text: str) -> Path:
    """The folder of another checkout of this project; raises ArgumentTypeError if it is none."""
    path = Path(text).resolve()
    if not (path / "switchhub" / "decision" / "facade.py").is_file():
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a checkout: it has no switchhub/decision/facade.py"
        )
    return path


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m switchhub lab",
        description="Run a fleet of balancers through injected faults and check that no rule is broken.",
    )
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")

    def add_verb(name: str, help_: str, example: str) -> argparse.ArgumentParser:
        return verbs.add_parser(
            name,
            help=help_,
            description=help_,
            epilog=f"Example: python -m switchhub lab {example}",
        )

    command = add_verb(
        "check", "check scenario files; print a line for each error found", "check lab/scenarios/*.toml"
    )
    command.add_argument("files", nargs="+", type=Path)

    command = add_verb(
        "run", "run one scenario", "run lab/scenarios/hang.toml --seed 3 --json out.json --plot out.svg"
    )
    command.add_argument("file", type=Path)
    command.add_argument(
        "--engine",
        choices=("model", "live"),
        default="model",
        help="model: simulation in virtual time; live: real processes",
    )
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--policy", choices=POLICIES, default="design")
    command.add_argument(
        "--against", type=parse_checkout, metavar="DIR", help="run another checkout's balancer instead"
    )
    command.add_argument("--json", type=parse_output_file, metavar="FILE", help="write the result to FILE")
    command.add_argument(
        "--plot", type=parse_picture_file, metavar="FILE", help="draw the result to FILE, .svg or .png"
    )
    command.add_argument("--keep-on", action="store_true", help="continue the run after a broken rule")

    command = add_verb(
        "table",
        "table of scenarios by policies, in virtual time",
        "table --seeds 1..10 --policies design,oracle",
    )
    command.add_argument(
        "files", nargs="*", type=Path, help="scenario files; default: those of lab/scenarios but the largest"
    )
    command.add_argument("--seeds", type=parse_numbers, default=[1, 2, 3])
    command.add_argument("--policies", type=parse_policies, default=list(POLICIES))
    command.add_argument("--workers", type=int, default=0, help="number of processes; 0: one for each core")
    command.add_argument("--json", type=parse_output_file, metavar="FILE")

    command = add_verb(
        "compare",
        "compare two policies or checkouts, seed by seed",
        "compare design plain --scenario hang.toml",
    )
    command.add_argument("a", help="a policy, or the folder of a checkout")
    command.add_argument("b", help="a policy, or the folder of a checkout")
    command.add_argument("--scenario", type=Path, required=True)
    command.add_argument("--seeds", type=parse_numbers, default=list(range(1, 11)))
    command.add_argument("--workers", type=int, default=0)
    command.add_argument("--json", type=parse_output_file, metavar="FILE")

    command = add_verb(
        "engines",
        "run the same scenarios in the simulation and with real processes, and compare",
        "engines --seed 1",
    )
    command.add_argument(
        "files",
        nargs="*",
        type=Path,
        help="scenario files; default: those of lab/scenarios that fit this machine",
    )
    command.add_argument("--seed", type=int, default=1)

    command = add_verb("plot", "draw the result of a run", "plot out.json out.svg")
    command.add_argument("result", type=Path)
    command.add_argument("picture", type=parse_picture_file)

    command = add_verb(
        "hunt",
        "generate random scenarios, find the worst and shrink them",
        "hunt --draws 40 --seed 1 --out found",
    )
    command.add_argument("--draws", type=int, default=20)
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--out", type=Path, default=Path("found"))
    command.add_argument("--workers", type=int, default=0)

    command = add_verb(
        "storm", "connect many clients to one real balancer", "storm --clients 1000,3000 --wait-ms 1200"
    )
    command.add_argument(
        "--clients",
        type=parse_numbers,
        default=[1000, 3000],
        help="number of clients that connect at once, one storm for each",
    )
    command.add_argument(
        "--rate", type=float, default=0.0, help="instead: connections a second, for --seconds"
    )
    command.add_argument("--seconds", type=float, default=10.0)
    command.add_argument("--wait-ms", type=int, default=1200)
    command.add_argument(
        "--silent", type=int, help="also poll the management address, with this many idle connections to it"
    )
    command.add_argument(
        "--against", type=parse_checkout, metavar="DIR", help="run another checkout's balancer instead"
    )
    command.add_argument("--json", type=parse_output_file, metavar="FILE")

    command = add_verb(
        "upgrades",
        "run processes of one balancer side by side through upgrades, pauses and kills",
        'upgrades "start a; ready a; 300; start b; ready b; stop b; 900"',
    )
    command.add_argument(
        "plans", nargs="*", metavar="PLAN", help="steps, as switchhub/lab/faults/upgrades.py describes them"
    )
    command.add_argument(
        "--seeds", type=parse_numbers, default=[], help="also run a plan generated from each of these seeds"
    )
    command.add_argument("--at-once", type=int, default=4, help="how many plans run side by side")
    command.add_argument(
        "--shrink", action="store_true", help="reduce each failing plan to a smaller one that still fails"
    )
    command.add_argument("--json", type=parse_output_file, metavar="FILE")

    command = add_verb(
        "faults",
        "run several balancers that form a membership, with faults in and between them",
        "faults run lab/faults/split.toml",
    )
    command.add_argument("what", choices=("run", "hunt", "replay", "shrink"))
    command.add_argument(
        "files", nargs="*", type=Path, metavar="FILE", help="plan files; with replay: record files"
    )
    command.add_argument(
        "--seeds", type=parse_numbers, default=[], help="with hunt: generate a plan from each of these seeds"
    )
    command.add_argument(
        "--balancers", type=int, default=5, help="with hunt: number of balancers, from 3 to 40"
    )
    command.add_argument(
        "--duties", action="store_true", help="with hunt: a lease is held throughout the plan"
    )
    command.add_argument("--at-once", type=int, default=2, help="how many plans run side by side")
    command.add_argument(
        "--shrink",
        action="store_true",
        help="with hunt: reduce each failing plan to a smaller one that still fails",
    )
    command.add_argument("--json", type=parse_output_file, metavar="FILE")

    command = add_verb("perf", "measure what the balancer itself costs", "perf --json perf.json")
    command.add_argument(
        "--against", type=parse_checkout, metavar="DIR", help="measure another checkout too, in the same run"
    )
    command.add_argument("--quick", action="store_true", help="fewer and shorter measurements")
    command.add_argument("--json", type=parse_output_file, metavar="FILE")
    return parser


def read_scenarios(files: list[Path]) -> list[Scenario]:
    """The scenarios of all files; raises one ScenarioError with the errors of every file."""
    valid_scenarios: list[Scenario] = []
    problems: list[str] = []
    for path in files:
        try:
            valid_scenarios.append(scenarios.read_scenario(path))
        except ScenarioError as error:
            problems += error.problems
    if problems:
        raise ScenarioError(problems)
    return valid_scenarios


def default_scenarios() -> list[Scenario]:
    """The scenarios of `SCENARIO_DIRECTORY` but the largest."""
    return [
        each
        for each in read_scenarios(sorted(SCENARIO_DIRECTORY.glob("*.toml")))
        if each.standing_connections <= DEFAULT_STANDING_CONNECTIONS_MAX
    ]


def write_json(path: Path | None, data: Any) -> None:
    """Write data as JSON; nothing if `path` is None."""
    if path is not None:
        path.write_text(dump_json(data), encoding="utf-8")


def print_result(result: dict[str, Any]) -> int:
    """Print a run's figures and its first broken rule; return the exit status."""
    print(
        f"{result['scenario']} seed {result['seed']} {result['engine']} {result['policy']}: "
        f"service {result['service']:.4f}"
    )
    for each in result["troubles"]:
        print(f"  trouble {each['name']} ({each['kind']}) at {each['at_s']} s: {each['meets']} affected")
    for name, each in result["by_class"].items():
        answers = ", ".join(f"{outcome} {count}" for outcome, count in each["answers"].items())
        print(
            f"  {name}: {each['good']} of {each['wanted']} messages answered in time; "
            f"answers to requests: {answers or 'none'}"
        )
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
        print(f"  and {len(result['broken']) - 1} more violations")
    return 1 if result["broken"] or result.get("crashed") else 0


def _check(options: argparse.Namespace) -> int:
    for each in read_scenarios(options.files):
        print(
            f"{each.name}: valid; {len(each.server_names())} servers, "
            f"{each.standing_connections} standing connections"
        )
    return 0


def _run(options: argparse.Namespace) -> int:
    scenario = read_scenarios([options.file])[0]
    if options.engine == "live":
        if options.policy != "design":
            print(
                "lab: a live run starts the real balancer: use --policy design, or --against DIR",
                file=sys.stderr,
            )
            return 2
        from switchhub.lab.live import runner

        result = runner.run_live(scenario, options.seed, options.against)
    else:
        result = run_job_with_progress(
            Job(scenario, options.seed, options.policy, options.against, options.keep_on or None)
        )
    write_json(options.json, result)
    if options.plot:
        _draw(result, options.plot)
    return 2 if result.get("unfit") else print_result(result)


def _table(options: argparse.Namespace) -> int:
    from switchhub.lab import report

    selected = read_scenarios(options.files) if options.files else default_scenarios()
    jobs = [
        Job(each, seed, policy) for each in selected for policy in options.policies for seed in options.seeds
    ]
    rows = report.summarize(run_jobs(jobs, options.workers))
    write_json(options.json, rows)
    print(report.format_table(rows, options.policies))
    return 1 if any(row["policy"] == "design" and row["broken"] for row in rows) else 0


def _compare(options: argparse.Namespace) -> int:
    from switchhub.lab import report

    scenario = read_scenarios([options.scenario])[0]
    sides = []
    for name in (options.a, options.b):
        against = None if name in POLICIES else parse_checkout(name)
        policy = name if against is None else "design"
        sides.append([Job(scenario, seed, policy, against) for seed in options.seeds])
    results = run_jobs(sides[0] + sides[1], options.workers)
    half = len(options.seeds)
    comparison = report.compare_runs(options.a, options.b, results[:half], results[half:])
    write_json(options.json, comparison)
    print(report.format_comparison(comparison))
    return 0


def _draw(result: dict[str, Any], picture: Path) -> None:
    from switchhub.lab import plots

    plots.draw(result, picture)


def _plot(options: argparse.Namespace) -> int:
    try:
        result = json.loads(options.result.read_text(encoding="utf-8"))
        _draw(result, options.picture)
    except (OSError, ValueError, KeyError) as error:
        print(f"lab: {options.result}: not a result file of lab run: {error}", file=sys.stderr)
        return 2
    return 0


def _engines(options: argparse.Namespace) -> int:
    from switchhub.lab import report
    from switchhub.lab.live import runner

    selected = (
        read_scenarios(options.files)
        if options.files
        else [each for each in default_scenarios() if runner.unfit_reason(each) is None]
    )
    return report.compare_engines(selected, options.seed)


def _hunt(options: argparse.Namespace) -> int:
    from switchhub.lab import hunt

    return hunt.run(options.draws, options.seed, options.out, options.workers)


def _storm(options: argparse.Namespace) -> int:
    from switchhub.lab import storm

    rows = storm.run(
        options.clients, options.wait_ms, options.rate, options.seconds, options.against, options.silent
    )
    write_json(options.json, rows)
    print(storm.format_rows(rows))
    return 1 if any(row["late_up"] or row["reset"] or row["unanswered"] for row in rows) else 0


def _perf(options: argparse.Namespace) -> int:
    from switchhub.lab import perf

    figures = perf.run(options.against, options.quick)
    write_json(options.json, figures)
    print(perf.format_figures(figures))
    return 0


def _upgrades(options: argparse.Namespace) -> int:
    from switchhub.lab.faults import upgrades
    from switchhub.lab.faults.process_harness import PlanError

    try:
        records = upgrades.run_and_report(
            [*options.plans, *map(upgrades.random_plan, options.seeds)], options.at_once, options.shrink
        )
    except PlanError as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    write_json(options.json, records)
    return 1 if any(each["faults"] for each in records) else 0


def _faults(options: argparse.Namespace) -> int:
    from switchhub.lab.faults import fleet, hunt
    from switchhub.lab.faults.process_harness import PlanError

    if not 3 <= options.balancers <= 40:
        raise argparse.ArgumentTypeError(f"--balancers {options.balancers}: expected 3 to 40")
    if options.what == "hunt" and not options.seeds:
        raise argparse.ArgumentTypeError("hunt: expected --seeds, to generate plans from")
    try:
        if options.what == "replay":
            plans = [plan for path in options.files for plan in hunt.read_recorded_plans(path)]
        else:
            plans = [fleet.parse_plan(path.read_text(encoding="utf-8"), str(path)) for path in options.files]
            plans += [hunt.random_plan(seed, options.balancers, options.duties) for seed in options.seeds]
    except (PlanError, OSError, UnicodeDecodeError) as error:
        raise argparse.ArgumentTypeError(str(error)) from None
    if not plans:
        raise argparse.ArgumentTypeError(f"{options.what}: expected at least one FILE")
    if options.what == "shrink":
        for plan in plans:
            print(hunt.shrink_plan(plan).to_toml())
        return 0
    records = hunt.run_and_report(plans, options.at_once, options.shrink)
    write_json(options.json, records)
    return 1 if any(each["faults"] for each in records) else 0


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
    """Run the command with these arguments; return the exit status."""
    options = _parser().parse_args(arguments)
    # Without a handler, SIGTERM would end this process at once and leave the processes of a run behind. As
    # KeyboardInterrupt it lets each run stop them.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        return VERBS[options.verb](options)
    except ScenarioError as error:
        for problem in error.problems:
            print(f"lab: {problem}", file=sys.stderr)
        return 2
    except argparse.ArgumentTypeError as error:
        print(f"lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        logger.warning("interrupted by a signal")
        return 130
