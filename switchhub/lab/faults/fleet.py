"""Several balancers that know each other, with faults of and between them: `lab faults`.

Owns: one play and its record, on one clock. Must never: help a process, or judge by anything but the record.

A plan is TOML: `balancers`, `steps`, and what `[peers]` of the operator file is to have beyond its defaults.
All balancers are started and know each other before the first step, unless `start = false`. A step is one
line; A and B are names with commas between them, `*` all, `-A` all others, `@NAME` who acted last for NAME:

    kill A, stop A, wake A, term A   SIGKILL, SIGSTOP, SIGCONT, SIGTERM
    start A [RATE[,SECONDS,JUMP]]    again, or under a wrong clock (`clock.py`)
    twin A                           another process under the same name, at an address of its own
    told A WORD SECONDS              the log of each of A has this word within so long (`_` for a space)
    upgrade A                        a new process beside the old one, which is told to end once that serves
    take A, give A                   its peers' address is another's; and is free again
    choke A, free A                  no further descriptor; as many as before
    slow A                           a core shared with one that never rests
    garbage A                        bytes of all kinds at its peers' address, past the links
    storm A N                        so many clients at once
    cut A B, oneway A B              nothing passes, both ways, or from A to B
    loss A B PART, double A B PART, corrupt A B PART     of the datagrams, both ways
    delay A B MS [JITTER_MS], narrow A B BYTES, hold A B  both ways; `hold`: connections stay open and silent
    heal                             every link is well
    say A B STATE SECONDS            each of A says within so long that each of B is in this state
    view A VIEW SECONDS              each of A has this view within so long
    agree SECONDS                    all that run are sure, and hold just those that run to be alive
    duty A NAME                      a holder of NAME at each of A, started again whenever it ends, which acts
                                     each 20 ms as long as it holds
    halt A, go A                     the holders at A and their commands stand still; and go on
    stall-upgrade A                  as upgrade; the old one stands still from when the new one starts until
                                     that serves
    acts NAME SECONDS                somebody acts, from now on, within so long
    passes NAME SECONDS              somebody acts under a higher token than now, within so long
    busy NAME N SECONDS              N act, each in a slot of its own, within so long
    hand-on NAME SECONDS             who holds it is told to hand it on; the same is waited for
    none A COUNTER                   this counter of each of A does not move any more (for half a second)
    MS                               milliseconds pass
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab import history
from switchhub.lab.faults.link_proxy import LinkProxy
from switchhub.lab.faults.process_harness import (
    CLIENT_TIMEOUT_S,
    SIGNALS,
    TIMING_SLACK_S,
    BaseRecord,
    PlanError,
    ProcessHarness,
    write_balancer_config,
)
from switchhub.lab.live.runner import ROOT, free_ports

EVERY = 0.02  # seconds between two clients, each to the next balancer
MEET = 10.0  # seconds in which all are to know each other at the start
AFTER = 15.0  # seconds after a trouble in which a burial is put down to it
LOOK = 0.05  # seconds between two looks at what a process says
NAMES = {  # how many lists of names a step has
    **dict.fromkeys(("heal", "agree", "acts", "passes", "busy", "hand-on"), 0),
    **dict.fromkeys(("stop", "wake", "kill", "term", "start", "choke", "free", "slow", "upgrade"), 1),
    **dict.fromkeys(("halt", "go", "stall-upgrade"), 1),
    **dict.fromkeys(("garbage", "storm", "view", "none", "take", "give", "duty", "twin", "told"), 1),
    **dict.fromkeys(("cut", "oneway", "loss", "double", "corrupt", "delay", "narrow", "hold"), 2),
    **dict.fromkeys(("say", "refile"), 2),
}
FIGURES = {  # and how many figures or words at least
    **dict.fromkeys(("storm", "loss", "double", "corrupt", "delay", "narrow", "agree", "none", "duty"), 1),
    **dict.fromkeys(("say", "view", "acts", "passes", "hand-on", "told"), 2),
    "busy": 3,
}
WAITS = (
    "heal",
    "agree",
    "view",
    "none",
    "say",
    "free",
    "give",
    "acts",
    "passes",
    "busy",
    "hand-on",
    "duty",
    "told",
)  # all others are troubles


@dataclass(frozen=True, slots=True)
class Plan:
    """See the file's head."""

    balancers: int
    steps: tuple[str, ...]
    peers: dict[str, int] = field(default_factory=dict)
    start: bool = True
    name: str = ""
    voters: int = 0  # the first so many; none: no leases
    launch: str = "switchhub"  # the module that is started
    counted: dict[str, int] = field(default_factory=dict)  # names that so many may hold

    def to_toml(self) -> str:
        """As a file."""
        head = {"name": self.name, "balancers": self.balancers, "start": self.start, "voters": self.voters}
        head["launch"] = self.launch
        lines = [f"{key} = {json.dumps(value)}" for key, value in head.items()]
        lines += ["steps = [", *(f"    {json.dumps(step)}," for step in self.steps), "]", "", "[peers]"]
        lines += [f"{key} = {value}" for key, value in self.peers.items()]
        lines += ["", "[counted]", *(f"{key} = {value}" for key, value in self.counted.items())]
        return "\n".join(lines) + "\n"


def parse_plan(text: str, where: str = "plan") -> Plan:
    """A plan, or `PlanError` with one line."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PlanError(f"{where}: {error}") from None
    keys = ("name", "balancers", "steps", "peers", "start", "voters", "launch", "counted")
    if unknown := sorted(set(data) - set(keys)):
        raise PlanError(f"{where}: {unknown[0]}: expected one of {', '.join(keys)}")
    balancers, steps = data.get("balancers"), data.get("steps")
    if not isinstance(balancers, int) or not 2 <= balancers <= 40:
        raise PlanError(f"{where}: balancers = {balancers!r}: expected 2 to 40")
    if not isinstance(steps, list) or not all(isinstance(step, str) for step in steps):
        raise PlanError(f"{where}: steps: expected a list of texts")
    voters = data.get("voters", 0)
    if voters not in (0, 1, 3, 5, 7) or voters > balancers:
        raise PlanError(f"{where}: voters = {voters!r}: expected 0, 1, 3, 5 or 7, and balancers for them")
    start, name = data.get("start", True), data.get("name", "")
    launch = data.get("launch", "switchhub")
    counted = data.get("counted", {})
    plan = Plan(balancers, tuple(steps), data.get("peers", {}), start, name, voters, launch, counted)
    for number, step in enumerate(steps):
        try:
            parse_step(step, balancers)
        except (PlanError, ValueError) as error:
            raise PlanError(f"{where}: steps[{number}] = {step!r}: {error}") from None
    return plan


def parse_step(step: str, count: int) -> tuple[str, list[list[str]], list[str]]:
    """The verb, the names, the rest."""
    verb, *rest = step.split()
    if verb.isdigit() and not rest:
        return "pass", [], [verb]
    if verb not in NAMES:
        raise PlanError(f"expected one of {', '.join(NAMES)}, or milliseconds")
    named, figures = rest[: NAMES[verb]], rest[NAMES[verb] :]
    if len(named) < NAMES[verb] or len(figures) < FIGURES.get(verb, 0):
        raise PlanError(f"expected {NAMES[verb]} lists of names and {FIGURES.get(verb, 0)} figures")
    return verb, [_names(each, count) for each in named], figures


def _names(text: str, count: int) -> list[str]:
    every = [f"n{number}" for number in range(count)]
    if text == "*":
        return every
    told = ["n0" if each.startswith("@") else each for each in text.removeprefix("-").split(",")]
    if unknown := [name for name in told if name.removesuffix("-twin") not in every]:
        raise PlanError(f"{unknown[0]!r}: expected names from n0 to n{count - 1}")
    return [name for name in every if name not in told] if text.startswith("-") else told


@dataclass(slots=True)
class Record(BaseRecord):
    """What was done and seen."""

    balancers: int = 0
    took: dict[str, float] = field(default_factory=dict)  # seconds that a condition took
    said: list[tuple[float, str, dict[str, Any]]] = field(
        default_factory=list
    )  # what each said of the others
    passed: dict[str, int] = field(default_factory=dict)  # bytes on each link
    effects: list[tuple[float, str, int, str]] = field(default_factory=list)  # when, lease, token, by whom
    refused: int = 0  # effects of a halted command under a spent token

    def was_disturbed(self, name: str, begin: float, end: float) -> bool:
        """Whether something was done to it, or to a link of it, in that time."""
        for at, step in self.done:
            verb, named, _ = parse_step(step, self.balancers)
            touches = verb not in WAITS and name in {each for names in named for each in names}
            if touches and at <= end and (at >= begin or self._lasts(verb, name, at, begin)):
                return True
        return False

    def _lasts(self, verb: str, name: str, at: float, until: float) -> bool:
        """Whether a trouble that began then lasted at least until then."""
        ends = {"stop": ("wake", "kill"), "kill": ("start",), "term": ("start",), "choke": ("free",)}
        if verb in ("start", "wake", "storm", "garbage"):
            return False
        if verb == "slow":
            return True
        for later, step in self.done:
            if at < later < until:
                other, named, _ = parse_step(step, self.balancers)
                if other == "heal" and verb not in ends:
                    return False
                if other in ends.get(verb, ()) and name in named[0]:
                    return False
        return True

    def death_declarations(self) -> list[tuple[float, str, str]]:
        """When, by whom, whom: as the processes' logs have it."""
        out = []
        for by, log in self.logs.items():
            for line in log:
                if " -> dead" in line:
                    at, name = float(line.split()[0]), line.split("peers: ")[1].split()[0]
                    out.append((at, by, name))
        return sorted(out)

    def lease_violations(self) -> list[str]:
        """Two that acted at a time, or under one token. What a halted command does when it goes on, before it
        is ended, is refused by its token, and counted apart."""
        entries = [history.Entry(at, "effect", lease, token, by) for at, lease, token, by in self.effects]
        late = {
            each for lease in {entry.lease for entry in entries} for each in history.spent(entries, lease)
        }
        woken = {
            name for _, step in self.done if step.startswith("halt") for name in step.split()[1].split(",")
        }
        self.refused = sum(each.by in woken for each in late)
        return history.faults(each for each in entries if not (each in late and each.by in woken))

    def violations(self) -> list[str]:
        """What was wrong."""
        out = self.common_violations() + self.lease_violations()
        for at, by, name in self.death_declarations():
            if not any(self.was_disturbed(each, at - AFTER, at) for each in (by, name)):
                out.append(f"{by} buried {name} at {at:.2f}, and nothing had been done to either")
        lost = [
            client
            for client in self.came
            if not (client.answer and client.answered - client.at <= CLIENT_TIMEOUT_S + TIMING_SLACK_S)
            and not self.was_disturbed(
                client.to, client.at - CLIENT_TIMEOUT_S, client.at + CLIENT_TIMEOUT_S + TIMING_SLACK_S
            )
        ]
        if lost:
            out.append(f"{len(lost)} of {len(self.came)} clients of balancers left alone got no answer")
        return out

    def statistics(self) -> dict[str, Any]:
        """Counts."""
        return {
            "clients": len(self.came),
            "up": sum(client.answer == "UP" for client in self.came),
            "buried": len({(by, name) for _, by, name in self.death_declarations()}),
            "bytes": sum(self.passed.values()),
            "effects": len(self.effects),
            "refused": self.refused,
            "took": self.took,
        }


class FleetRun(ProcessHarness):
    """One play."""

    def __init__(self, plan: Plan, folder: Path, seed: int = 0) -> None:
        self.plan = plan
        self.record = Record(plan.to_toml(), balancers=plan.balancers)
        super().__init__(self.record)
        self.names = [f"n{number}" for number in range(plan.balancers)]
        self._folder = folder
        self._between = LinkProxy(seed)
        self._serving: list[str] = []
        self._taken: dict[str, socket.socket] = {}
        self._holders: list[asyncio.subprocess.Process] = []
        self._duties: dict[str, list[str]] = {}  # who was told to hold what
        self._at: dict[str, list[asyncio.subprocess.Process]] = {}  # their holders
        self._voters: dict[str, tuple[list[str], list[str]]] = {}  # whose file names others than the plan
        self._effects = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._effects.setblocking(False)
        rig = f"{self._net.rsplit('.', 1)[0]}.{int(self._net.rsplit('.', 1)[1]) + 1}"
        self._own = {name: f"{self._net}.{number + 1}" for number, name in enumerate(self.names)}
        self._stands = {name: f"{rig}.{number + 1}" for number, name in enumerate(self.names)}

    async def run(self) -> Record:
        """The whole plan."""
        self._clients_port, self._peers_port = free_ports(self._own["n0"], 2)
        try:
            self._effects.bind(("127.0.0.1", 0))
            asyncio.get_running_loop().add_reader(self._effects, self._acted)
            discovery, listing = await self._stand_ins(["s0", "s1", "s2"])
            self._discovery, self._listing = discovery, listing
            for name in self.names:
                own, stands = (self._own[name], self._peers_port), (self._stands[name], self._peers_port)
                await self._between.add(name, own, stands)
                self._configure(name, name)
            steps = list(self.plan.steps)
            if self.plan.start:
                steps = ["start *", f"agree {MEET:.0f}", *steps]
            coming = False
            for step in steps:
                try:
                    await self._do(step)
                    if self._serving and not coming:
                        coming = True
                        self._start(self._clients(EVERY, self._where))
                except TimeoutError:
                    self.record.stuck = step
                    await self._look(*self.names)
                    break
            self._going = False
            await asyncio.sleep(CLIENT_TIMEOUT_S)
            self.record.passed = {f"{a}>{b}": size for (a, b), size in self._between.forwarded_bytes.items()}
        finally:
            self._between.close()
            for holder in self._holders:
                if holder.returncode is None:
                    holder.kill()
                    await holder.wait()
            asyncio.get_running_loop().remove_reader(self._effects)
            self._effects.close()
            for sock in self._taken.values():
                sock.close()
            await self._end()
        return self.record

    def _path(self, name: str, kind: str = "json") -> Path:
        return self._folder / f"{name}.{kind}"

    def _operator(self, name: str) -> str:
        seeds = [f"{self._stands[each]}:{self._peers_port}" for each in self.names[:2]]
        told = {
            "cluster": "lab",
            "listen": f"{self._own[name]}:{self._peers_port}",
            "advertise": f"{self._stands[name]}:{self._peers_port}",
            "seeds": seeds,
            **self.plan.peers,
        }
        lines = ["[peers]", *(f"{key} = {json.dumps(value)}" for key, value in told.items())]
        if self.plan.voters:
            first: tuple[list[str], list[str]] = self.names[: self.plan.voters], []
            voters, before = (
                [f"{self._stands[each]}:{self._peers_port}" for each in told]
                for told in self._voters.get(name, first)
            )
            lines += [
                "[leases]",
                f"voters = {json.dumps(voters)}",
                f"before = {json.dumps(before)}",
                f"folder = {json.dumps(str(self._folder))}",
                "[leases.counted]",
                *(f"{key} = {value}" for key, value in self.plan.counted.items()),
            ]
        return "\n".join(lines) + "\n"

    def _where(self, number: int) -> tuple[str, str, int]:
        """The next balancer that serves."""
        name = self._serving[number % len(self._serving)] if self._serving else self.names[0]
        return name, self._own[name], self._clients_port

    async def _do(self, step: str) -> None:
        step = re.sub("@([^ ,]+)", lambda found: self._actor(found[1]), step)
        verb, named, rest = parse_step(step, self.plan.balancers)
        self.record.done.append((round(self.now(), 3), step))
        begun = self.now()
        if verb == "pass":
            await asyncio.sleep(float(rest[0]) / 1000)
        elif verb in SIGNALS:
            for name in named[0]:
                await self._signal(verb, name)
                if verb in ("kill", "term") and name in self._serving:
                    self._serving.remove(name)
            if verb in ("kill", "term"):
                await self._until(
                    lambda: all(self._processes[name].returncode is not None for name in named[0])
                )
        elif verb == "start":
            await self._start_all(named[0], rest[0] if rest else "")
        elif verb == "duty":
            for name in named[0]:
                await self._hold(name, rest[0])
        elif verb in ("acts", "passes", "busy", "hand-on"):
            await self._wait_for_effect(verb, rest[0], float(rest[-1]), int(rest[1]) if rest[2:] else 1)
            self.record.took[step] = round(self.now() - begun, 3)
        elif verb == "twin":
            for name in named[0]:
                await self._twin(name)
        elif verb in ("upgrade", "stall-upgrade"):
            for name in named[0]:
                await self._upgrade(name, verb != "upgrade")
        elif verb in ("halt", "go"):
            for name in named[0]:
                self._halt(name, verb == "halt")
        elif verb == "refile":
            for name in named[0]:
                self._voters[name] = named[1], _names(rest[0], self.plan.balancers) if rest else []
                self._configure(name, name)
                await self._upgrade(name)
        elif verb == "take":
            for name in named[0]:
                self._taken[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self._taken[name].bind((self._own[name], self._peers_port))
        elif verb == "give":
            for name in named[0]:
                self._taken.pop(name).close()
        elif verb in ("choke", "free"):
            for name in named[0]:
                self._limit(name, verb == "choke")
        elif verb == "slow":
            for name in named[0]:
                await self._slow(self._processes[name].pid)
        elif verb == "garbage":
            for name in named[0]:
                await self._garbage(name)
        elif verb == "storm":
            for name in named[0]:
                for number in range(int(rest[0])):
                    client = self._client(1_000_000 + number, [], self._own[name], self._clients_port, name)
                    self._start(client)
        elif verb == "heal":
            self._between.heal()
        elif verb in ("say", "view", "agree", "none", "told"):
            await self._wait_for(verb, named, rest)
            self.record.took[step] = round(self.now() - begun, 2)
        else:
            self._change(verb, named, [float(each) for each in rest])

    def _change(self, verb: str, named: list[list[str]], rest: list[float]) -> None:
        how: dict[str, Any] = {"cut": True} if verb in ("cut", "oneway") else {}
        if verb in ("loss", "double", "corrupt"):
            how = {verb: rest[0]}
        elif verb == "delay":
            how = {"delay": rest[0] / 1000, "jitter": (rest[1] if len(rest) > 1 else 0.0) / 1000}
        elif verb == "narrow":
            how = {"narrow": int(rest[0])}
        elif verb == "hold":
            how = {"hold": True}
        self._between.change(named[0], named[1], **how)
        if verb != "oneway":
            self._between.change(named[1], named[0], **how)

    async def _start_all(self, names: list[str], clock: str) -> None:
        for name in names:
            before = len(self.record.logs.get(name, ()))
            module = "switchhub.lab.faults.clock" if clock else self.plan.launch
            environ = {"LAB_CLOCK": clock} if clock else {}
            await self._start_process(
                name,
                module,
                "--operator",
                str(self._path(name, "toml")),
                BALANCER_CONFIG=str(self._path(name)),
                TMPDIR=str(self._folder),
                **environ,
            )
            self._start(self._serves(name, before))

    async def _serves(self, name: str, before: int) -> None:
        await self._until(lambda: any("listens on" in line for line in self.record.logs[name][before:]), 60.0)
        self._serving.append(name)

    def _configure(self, name: str, called: str) -> None:
        listen = f"{self._own[name]}:{self._clients_port}"
        count = self.plan.balancers
        write_balancer_config(self._path(name), called, count, listen, self._discovery, self._listing)
        self._path(name, "toml").write_text(self._operator(name), encoding="utf-8")

    async def _twin(self, name: str) -> None:
        twin, number = f"{name}-twin", len(self._own) + 1
        self._own[twin] = f"{self._net}.{number}"
        self._stands[twin] = f"{self._stands[name].rsplit('.', 1)[0]}.{number}"
        own, stands = (self._own[twin], self._peers_port), (self._stands[twin], self._peers_port)
        await self._between.add(twin, own, stands)
        self._configure(twin, name)
        await self._start_all([twin], "")

    async def _upgrade(self, name: str, stalls: bool = False) -> None:
        """As staff do it. Afterwards the name means the new process."""
        old = self._processes[name]
        before = len(self.record.logs[name])
        if stalls:
            old.send_signal(signal.SIGSTOP)
        await self._start_all([name], "")
        await self._until(lambda: any("listens on" in line for line in self.record.logs[name][before:]))
        if stalls:
            old.send_signal(signal.SIGCONT)
        old.send_signal(signal.SIGTERM)
        await self._until(lambda: old.returncode is not None)
        self.record.ended.pop(name, None)  # the old one's

    async def _garbage(self, name: str) -> None:
        """What a broken or strange sender may send, past the links: it must change nothing but counters."""
        rng = Random(f"garbage/{name}")
        place = (self._own[name], self._peers_port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(400):
                size = rng.choice((0, 1, 2, 40, 200, 1200, 60000))
                sock.sendto(rng.randbytes(size), place)
                if number % 20 == 0:
                    await asyncio.sleep(0.01)
        for size in (0, 10, 3_000_000):
            try:
                _, writer = await asyncio.open_connection(*place)
                writer.write(rng.randbytes(size))
                await asyncio.wait_for(writer.drain(), 1.0)
                writer.close()
            except (OSError, TimeoutError):
                pass

    # Duties.

    def _acted(self) -> None:
        while True:
            try:
                lease, token, by = self._effects.recv(200).decode().split()
            except OSError:
                return
            self.record.effects.append((round(self.now(), 4), lease, int(token), by))

    def _actor(self, lease: str) -> str:
        acts = (by for _, name, _, by in reversed(self.record.effects) if name.partition("#")[0] == lease)
        return next(acts, self.names[0])

    def _called(self, name: str) -> str:
        """Its management address."""
        called = [line for line in self.record.logs[name] if "management on" in line]
        return called[-1].rsplit(" ", 1)[1]

    async def _lease(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        via = self._called(name)
        verb, lease, *rest = arguments
        holder = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "switchhub", "lease", verb, lease, "--via", via, *rest, cwd=ROOT
        )
        self._holders.append(holder)
        return holder

    def _halt(self, name: str, halt: bool) -> None:
        """Stop, or wake, `lease hold` and what it runs. The command wakes first: it acts before its end."""
        for holder in self._at.get(name, []):
            children = Path(f"/proc/{holder.pid}/task/{holder.pid}/children").read_text().split()
            for pid in (holder.pid, *map(int, children)) if halt else (*map(int, children), holder.pid):
                os.kill(pid, signal.SIGSTOP if halt else signal.SIGCONT)
                if not halt:
                    time.sleep(2 * EVERY)

    async def _hold(self, name: str, lease: str) -> None:
        host, port = self._effects.getsockname()
        acts = (sys.executable, "-m", "switchhub.lab.faults.effects", f"{host}:{port}", name)
        await self._until(lambda: name in self._serving)
        self._duties.setdefault(lease, []).append(name)
        self._start(self._again_and_again(name, "hold", lease, "--wait", "30", "--", *acts))

    async def _again_and_again(self, name: str, *arguments: str) -> None:
        """A holder that has ended is started again, as an installation's supervisor does."""
        while self._going:
            holder = await self._lease(name, *arguments)
            self._at.setdefault(name, []).append(holder)
            await holder.wait()
            self._at[name].remove(holder)
            self._holders.remove(holder)
            await asyncio.sleep(LOOK)

    async def _wait_for_effect(self, verb: str, lease: str, limit: float, wanted: int) -> None:
        effects, begun = self.record.effects, len(self.record.effects)
        top = max((token for _, name, token, _ in effects if name == lease), default=0)
        if verb == "hand-on":
            holder = self._actor(lease)
            heir = next(name for name in self._duties[lease] if name != holder)
            await self._lease(holder, "hand-on", lease, heir)

        def acted() -> bool:
            if verb == "busy":
                since = max((at for at, *_ in effects), default=0.0) - LOOK
                late = [each for each in effects[begun:] if each[0] >= since]
                return len({(name, by) for _, name, _, by in late if name.startswith(f"{lease}#")}) == wanted
            mine = [token for _, name, token, _ in effects[begun:] if name == lease]
            return any(verb == "acts" or token > top for token in mine)

        await self._until(acted, limit)

    # What is waited for.

    async def _look(self, *names: str) -> dict[str, dict[str, Any]]:
        """What each of these says."""

        async def one(name: str) -> None:
            if name not in self._processes or self._state(name) in "TZX":
                return
            answer = await self._ask(name, "/members")
            if answer is not None and answer[0] == 200:
                said = found[name] = json.loads(answer[1])
                self.record.said.append((round(self.now(), 3), name, said))

        found: dict[str, dict[str, Any]] = {}
        await asyncio.gather(*map(one, names))
        return found

    def _holds(self, verb: str, named: list[list[str]], word: str, said: dict[str, dict[str, Any]]) -> bool:
        """Whether what was waited for is so, by what they say."""
        if verb == "view":
            return all(name in said and said[name]["view"] == word for name in named[0])
        states = {name: _states(told) for name, told in said.items()}
        if verb == "say":
            return all(
                name in said and all(states[name].get(each) == word for each in named[1] if each != name)
                for name in named[0]
            )
        runs = {name for name in self._processes if self._state(name) not in "TZX"}
        return (
            bool(runs)
            and set(said) == runs
            and all(
                {each for each, state in states[name].items() if state == "alive"} == runs
                and said[name]["view"] == "sure"
                for name in runs
            )
        )

    async def _wait_for(self, verb: str, named: list[list[str]], rest: list[str]) -> None:
        if verb == "none":
            await self._still(named[0], rest[0])
            return
        if verb == "told":
            word, logs = rest[0].replace("_", " "), self.record.logs
            told = [logs[name] for name in named[0]]
            await self._until(lambda: all(any(word in line for line in log) for log in told), float(rest[1]))
            return
        async with asyncio.timeout(float(rest[-1])):
            while not self._holds(
                verb, named, rest[0], await self._look(*(named[0] if named else self.names))
            ):
                await asyncio.sleep(LOOK)

    async def _still(self, names: list[str], counter: str) -> None:
        async with asyncio.timeout(10.0):
            before: dict[str, int] = {}
            while True:
                now = {
                    name: each["counts"].get(counter, 0) for name, each in (await self._look(*names)).items()
                }
                if now == before and len(now) == len(names):
                    return
                before = now
                await asyncio.sleep(0.5)


def _states(said: dict[str, Any]) -> dict[str, str]:
    return {each["name"]: each["state"] for each in said["members"]}


async def run_plan(plan: Plan, seed: int = 0) -> Record:
    """One plan in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        return await FleetRun(plan, folder, seed).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_plans(plans: list[Plan], at_once: int, seed: int = 0) -> list[Record]:
    """Several plans, so many at a time; in their order."""

    async def all_() -> list[Record]:
        room = asyncio.Semaphore(at_once)

        async def one(plan: Plan) -> Record:
            async with room:
                return await run_plan(plan, seed)

        return list(await asyncio.gather(*(one(plan) for plan in plans)))

    return asyncio.run(all_())
