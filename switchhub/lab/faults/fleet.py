"""Runs several balancers that know each other, with faults at them and between them: `lab faults`.

A run has one record, with all times on one clock. It must not help a process beyond what the plan asks for,
and must check nothing but the record.

A plan is TOML: `balancers`, `steps`, and the settings that `[peers]` of the operator file has beyond its
defaults. All balancers are started and know each other before the first step, unless `start = false`. A step
is one line. A and B are names with commas between them, `*` for all, `-A` for all others, and `@LEASE` for
the balancer that last sent an effect under this lease (see `effects.py`):

    kill A, stop A, wake A, term A   send SIGKILL, SIGSTOP, SIGCONT, SIGTERM
    start A [RATE[,SECONDS,JUMP]]    start again; with arguments under a wrong clock (see `clock.py`)
    twin A                           start another process under the same name, at an address of its own
    told A TEXT SECONDS              wait until the log of each of A contains the text (`_` for a space)
    upgrade A                        start a new process; once it serves, send SIGTERM to the old one
    take A, give A                   bind the address for peers of A, which must have ended; release it
    choke A, free A                  take all further descriptors from A; give them back
    slow A                           pin A to one core, shared with a process that never rests
    garbage A                        send random bytes to the address for peers, past the links
    storm A N                        start N clients at once
    cut A B, oneway A B              drop all traffic, both ways, or from A to B
    loss A B FRACTION, double A B FRACTION, corrupt A B FRACTION
                                     drop, duplicate or corrupt this fraction of the datagrams, both ways
    delay A B MS [JITTER_MS], narrow A B BYTES, hold A B
                                     delay all traffic; drop larger datagrams; keep connections open but
                                     silent; each of them both ways
    heal                             remove all faults from all links
    say A B STATE SECONDS            wait until each of A reports each of B in this state
    view A VIEW SECONDS              wait until each of A reports this view
    agree SECONDS                    wait until all running balancers have the view `sure`, and report just
                                     those that run as alive
    duty A LEASE                     run `lease hold` for LEASE at each of A, started again whenever it ends;
                                     it sends an effect every 20 ms as long as it holds the lease
    halt A, go A                     stop the `lease hold` processes at A and their commands; continue them
    stall-upgrade A                  as upgrade, with the old process stopped until the new one serves
    refile A B [C]                   write B as voters and C as former voters into the operator file of each
                                     of A, and upgrade it
    acts LEASE SECONDS               wait for a new effect under the lease
    passes LEASE SECONDS             wait for an effect under a higher token than any so far
    busy LEASE N SECONDS             wait until N act at the same time, each under a slot of its own
    hand-on LEASE SECONDS            ask the holder to transfer the lease, and wait as `passes` does
    none A COUNTER                   wait until this counter stays the same at each of A for half a second
    MS                               wait so many milliseconds
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

CLIENT_INTERVAL_S = 0.02  # time between the starts of two clients, each at the next balancer in turn
INITIAL_AGREEMENT_TIMEOUT_S = 10.0  # time in which all balancers must know each other at the start
FAULT_EFFECT_S = 15.0  # a declaration of death within this time after a fault is excused by it
POLL_INTERVAL_S = 0.05  # time between two requests for what a process reports
NAME_LIST_COUNTS = {  # number of name lists that a step has, by verb
    **dict.fromkeys(("heal", "agree", "acts", "passes", "busy", "hand-on"), 0),
    **dict.fromkeys(("stop", "wake", "kill", "term", "start", "choke", "free", "slow", "upgrade"), 1),
    **dict.fromkeys(("halt", "go", "stall-upgrade"), 1),
    **dict.fromkeys(("garbage", "storm", "view", "none", "take", "give", "duty", "twin", "told"), 1),
    **dict.fromkeys(("cut", "oneway", "loss", "double", "corrupt", "delay", "narrow", "hold"), 2),
    **dict.fromkeys(("say", "refile"), 2),
}
MIN_ARGUMENT_COUNTS = {  # smallest number of arguments after the name lists, by verb
    **dict.fromkeys(("storm", "loss", "double", "corrupt", "delay", "narrow", "agree", "none", "duty"), 1),
    **dict.fromkeys(("say", "view", "acts", "passes", "hand-on", "told"), 2),
    "busy": 3,
}
HARMLESS_VERBS = (  # they wait, undo a fault or start a lease client; all other verbs inject a fault
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
)


@dataclass(frozen=True, slots=True)
class Plan:
    """A parsed plan, as the module's docstring describes it; the fields are keys of the file."""

    balancers: int
    steps: tuple[str, ...]
    peers: dict[str, int] = field(default_factory=dict)
    start: bool = True
    name: str = ""
    voters: int = 0  # number of voters, the first balancers; 0: no leases
    launch: str = "switchhub"  # module to start as a balancer
    counted: dict[str, int] = field(default_factory=dict)  # slots of counted leases, by name

    def to_toml(self) -> str:
        """Return the plan as the text of a plan file."""
        head = {"name": self.name, "balancers": self.balancers, "start": self.start, "voters": self.voters}
        head["launch"] = self.launch
        lines = [f"{key} = {json.dumps(value)}" for key, value in head.items()]
        lines += ["steps = [", *(f"    {json.dumps(step)}," for step in self.steps), "]", "", "[peers]"]
        lines += [f"{key} = {value}" for key, value in self.peers.items()]
        lines += ["", "[counted]", *(f"{key} = {value}" for key, value in self.counted.items())]
        return "\n".join(lines) + "\n"


def parse_plan(text: str, where: str = "plan") -> Plan:
    """Parse a plan file; `where` names it in errors.

    Raises:
        PlanError: the plan is malformed; the message has one line.
    """
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
        raise PlanError(
            f"{where}: voters = {voters!r}: expected 0, 1, 3, 5 or 7, and at least as many balancers"
        )
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
    """Return the verb, its lists of names and its other arguments; a wait has the verb `pass`.

    Raises:
        PlanError: the verb or a name is unknown, or too few arguments follow.
    """
    verb, *rest = step.split()
    if verb.isdigit() and not rest:
        return "pass", [], [verb]
    if verb not in NAME_LIST_COUNTS:
        raise PlanError(f"expected one of {', '.join(NAME_LIST_COUNTS)}, or milliseconds")
    name_lists, arguments = rest[: NAME_LIST_COUNTS[verb]], rest[NAME_LIST_COUNTS[verb] :]
    if len(name_lists) < NAME_LIST_COUNTS[verb] or len(arguments) < MIN_ARGUMENT_COUNTS.get(verb, 0):
        raise PlanError(
            f"expected {NAME_LIST_COUNTS[verb]} lists of names "
            f"and at least {MIN_ARGUMENT_COUNTS.get(verb, 0)} arguments"
        )
    return verb, [_parse_names(each, count) for each in name_lists], arguments


def _parse_names(text: str, count: int) -> list[str]:
    """Return the names in a list such as `n0,n2`, `*` or `-n1`; `@LEASE` is checked as if it were `n0`."""
    every = [f"n{number}" for number in range(count)]
    if text == "*":
        return every
    listed = ["n0" if each.startswith("@") else each for each in text.removeprefix("-").split(",")]
    if unknown := [name for name in listed if name.removesuffix("-twin") not in every]:
        raise PlanError(f"{unknown[0]!r}: expected names from n0 to n{count - 1}")
    return [name for name in every if name not in listed] if text.startswith("-") else listed


@dataclass(slots=True)
class Record(BaseRecord):
    """The record of a run of a plan; the fields beyond those of `BaseRecord` are of fleets alone."""

    balancers: int = 0
    took: dict[str, float] = field(default_factory=dict)  # seconds until a step's condition was met, by step
    # (time, balancer, its reply to `/members`)
    said: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)
    passed: dict[str, int] = field(default_factory=dict)  # bytes forwarded, by link as `SENDER>RECEIVER`
    effects: list[tuple[float, str, int, str]] = field(default_factory=list)  # (time, lease, token, sender)
    refused: int = 0  # effects of a halted command under a token that a receiver refuses

    def was_disturbed(self, name: str, begin: float, end: float) -> bool:
        """Return whether a fault at the balancer, or at a link of it, was in effect between the two times."""
        for at, step in self.done:
            verb, name_lists, _ = parse_step(step, self.balancers)
            concerns = verb not in HARMLESS_VERBS and name in {each for names in name_lists for each in names}
            if concerns and at <= end and (at >= begin or self._fault_lasts(verb, name, at, begin)):
                return True
        return False

    def _fault_lasts(self, verb: str, name: str, at: float, until: float) -> bool:
        """Return whether the fault that the verb injected `at` this time was still in effect at `until`."""
        undone_by = {"stop": ("wake", "kill"), "kill": ("start",), "term": ("start",), "choke": ("free",)}
        if verb in ("start", "wake", "storm", "garbage"):
            return False
        if verb == "slow":
            return True
        for later, step in self.done:
            if at < later < until:
                other, name_lists, _ = parse_step(step, self.balancers)
                if other == "heal" and verb not in undone_by:
                    return False
                if other in undone_by.get(verb, ()) and name in name_lists[0]:
                    return False
        return True

    def death_declarations(self) -> list[tuple[float, str, str]]:
        """Return (time, declaring balancer, declared balancer), sorted, from the processes' logs."""
        out = []
        for by, log in self.logs.items():
            for line in log:
                if " -> dead" in line:
                    at, name = float(line.split()[0]), line.split("peers: ")[1].split()[0]
                    out.append((at, by, name))
        return sorted(out)

    def lease_violations(self) -> list[str]:
        """Return a line for each violation by effects: two senders at the same time, or under one token.

        When a halted command continues, a receiver refuses its effects by their token until it is ended;
        these are no violation and are counted in `refused`.
        """
        entries = [history.Entry(at, "effect", lease, token, by) for at, lease, token, by in self.effects]
        late_effects = {
            each for lease in {entry.lease for entry in entries} for each in history.spent(entries, lease)
        }
        continued = {
            name for _, step in self.done if step.startswith("halt") for name in step.split()[1].split(",")
        }
        self.refused = sum(each.by in continued for each in late_effects)
        return history.faults(each for each in entries if not (each in late_effects and each.by in continued))

    def violations(self) -> list[str]:
        """Return a line for each violation.

        Beyond those that all runs share: a balancer declared another dead although no fault concerned either,
        and clients of a balancer that no fault concerned got no answer in time.
        """
        out = self.common_violations() + self.lease_violations()
        for at, by, name in self.death_declarations():
            if not any(self.was_disturbed(each, at - FAULT_EFFECT_S, at) for each in (by, name)):
                out.append(
                    f"{by} declared {name} dead at {at:.2f} s, although no fault had been injected at either"
                )
        lost = [
            client
            for client in self.came
            if not (client.answer and client.answered - client.at <= CLIENT_TIMEOUT_S + TIMING_SLACK_S)
            and not self.was_disturbed(
                client.to, client.at - CLIENT_TIMEOUT_S, client.at + CLIENT_TIMEOUT_S + TIMING_SLACK_S
            )
        ]
        if lost:
            out.append(
                f"{len(lost)} of {len(self.came)} clients got no answer in time "
                "although no fault had been injected at their balancers"
            )
        return out

    def statistics(self) -> dict[str, Any]:
        """Return the run's statistics, as `--json` has them."""
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
    """One run of a plan with several balancers."""

    def __init__(self, plan: Plan, folder: Path, seed: int = 0) -> None:
        self.plan = plan
        self.record = Record(plan.to_toml(), balancers=plan.balancers)
        super().__init__(self.record)
        self.names = [f"n{number}" for number in range(plan.balancers)]
        self._folder = folder
        self._link_proxy = LinkProxy(seed)
        self._serving: list[str] = []
        self._taken_sockets: dict[str, socket.socket] = {}
        self._lease_commands: list[asyncio.subprocess.Process] = []
        self._candidates: dict[str, list[str]] = {}  # balancers that run `lease hold`, by lease
        # `lease hold` processes, by balancer
        self._commands_at: dict[str, list[asyncio.subprocess.Process]] = {}
        # (voters, former voters) by balancer, where its operator file differs from the plan
        self._voter_overrides: dict[str, tuple[list[str], list[str]]] = {}
        self._effect_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._effect_socket.setblocking(False)
        proxy_prefix = (
            f"{self._network_prefix.rsplit('.', 1)[0]}.{int(self._network_prefix.rsplit('.', 1)[1]) + 1}"
        )
        self._own_hosts = {
            name: f"{self._network_prefix}.{number + 1}" for number, name in enumerate(self.names)
        }
        self._advertised_hosts = {
            name: f"{proxy_prefix}.{number + 1}" for number, name in enumerate(self.names)
        }

    async def run(self) -> Record:
        """Run all steps, wait for the last clients, and return the record."""
        self._clients_port, self._peers_port = free_ports(self._own_hosts["n0"], 2)
        try:
            self._effect_socket.bind(("127.0.0.1", 0))
            asyncio.get_running_loop().add_reader(self._effect_socket, self._on_effects_readable)
            discovery, server_list = await self._start_fake_services(["s0", "s1", "s2"])
            self._discovery, self._server_list = discovery, server_list
            for name in self.names:
                own_address, advertised_address = (
                    (self._own_hosts[name], self._peers_port),
                    (self._advertised_hosts[name], self._peers_port),
                )
                await self._link_proxy.add(name, own_address, advertised_address)
                self._write_configuration(name, name)
            steps = list(self.plan.steps)
            if self.plan.start:
                steps = ["start *", f"agree {INITIAL_AGREEMENT_TIMEOUT_S:.0f}", *steps]
            clients_started = False
            for step in steps:
                try:
                    await self._run_step(step)
                    if self._serving and not clients_started:
                        clients_started = True
                        self._start_task(self._run_clients(CLIENT_INTERVAL_S, self._client_target))
                except TimeoutError:
                    self.record.stuck = step
                    await self._request_members(*self.names)
                    break
            self._running = False
            await asyncio.sleep(CLIENT_TIMEOUT_S)
            self.record.passed = {
                f"{a}>{b}": size for (a, b), size in self._link_proxy.forwarded_bytes.items()
            }
        finally:
            self._link_proxy.close()
            for command in self._lease_commands:
                if command.returncode is None:
                    command.kill()
                    await command.wait()
            asyncio.get_running_loop().remove_reader(self._effect_socket)
            self._effect_socket.close()
            for sock in self._taken_sockets.values():
                sock.close()
            await self._shut_down()
        return self.record

    def _path(self, name: str, kind: str = "json") -> Path:
        return self._folder / f"{name}.{kind}"

    def _operator_file(self, name: str) -> str:
        """Return the text of a balancer's operator file."""
        seeds = [f"{self._advertised_hosts[each]}:{self._peers_port}" for each in self.names[:2]]
        peer_settings = {
            "cluster": "lab",
            "listen": f"{self._own_hosts[name]}:{self._peers_port}",
            "advertise": f"{self._advertised_hosts[name]}:{self._peers_port}",
            "seeds": seeds,
            **self.plan.peers,
        }
        lines = ["[peers]", *(f"{key} = {json.dumps(value)}" for key, value in peer_settings.items())]
        if self.plan.voters:
            default: tuple[list[str], list[str]] = self.names[: self.plan.voters], []
            voters, former_voters = (
                [f"{self._advertised_hosts[each]}:{self._peers_port}" for each in voter_names]
                for voter_names in self._voter_overrides.get(name, default)
            )
            lines += [
                "[leases]",
                f"voters = {json.dumps(voters)}",
                f"before = {json.dumps(former_voters)}",
                f"folder = {json.dumps(str(self._folder))}",
                "[leases.counted]",
                *(f"{key} = {value}" for key, value in self.plan.counted.items()),
            ]
        return "\n".join(lines) + "\n"

    def _client_target(self, number: int) -> tuple[str, str, int]:
        """Return the name and address of the next balancer that serves."""
        name = self._serving[number % len(self._serving)] if self._serving else self.names[0]
        return name, self._own_hosts[name], self._clients_port

    async def _run_step(self, step: str) -> None:
        """Run one step; raises `TimeoutError` if its condition is not met in time."""
        step = re.sub("@([^ ,]+)", lambda match: self._last_sender(match[1]), step)
        verb, name_lists, arguments = parse_step(step, self.plan.balancers)
        self.record.done.append((round(self.now(), 3), step))
        started = self.now()
        if verb == "pass":
            await asyncio.sleep(float(arguments[0]) / 1000)
        elif verb in SIGNALS:
            for name in name_lists[0]:
                await self._signal(verb, name)
                if verb in ("kill", "term") and name in self._serving:
                    self._serving.remove(name)
            if verb in ("kill", "term"):
                await self._wait_until(
                    lambda: all(self._processes[name].returncode is not None for name in name_lists[0])
                )
        elif verb == "start":
            await self._start_all(name_lists[0], arguments[0] if arguments else "")
        elif verb == "duty":
            for name in name_lists[0]:
                await self._start_lease_holder(name, arguments[0])
        elif verb in ("acts", "passes", "busy", "hand-on"):
            await self._wait_for_effects(
                verb, arguments[0], float(arguments[-1]), int(arguments[1]) if arguments[2:] else 1
            )
            self.record.took[step] = round(self.now() - started, 3)
        elif verb == "twin":
            for name in name_lists[0]:
                await self._start_twin(name)
        elif verb in ("upgrade", "stall-upgrade"):
            for name in name_lists[0]:
                await self._upgrade(name, verb != "upgrade")
        elif verb in ("halt", "go"):
            for name in name_lists[0]:
                self._stop_or_continue_holders(name, verb == "halt")
        elif verb == "refile":
            for name in name_lists[0]:
                self._voter_overrides[name] = (
                    name_lists[1],
                    _parse_names(arguments[0], self.plan.balancers) if arguments else [],
                )
                self._write_configuration(name, name)
                await self._upgrade(name)
        elif verb == "take":
            for name in name_lists[0]:
                self._taken_sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self._taken_sockets[name].bind((self._own_hosts[name], self._peers_port))
        elif verb == "give":
            for name in name_lists[0]:
                self._taken_sockets.pop(name).close()
        elif verb in ("choke", "free"):
            for name in name_lists[0]:
                self._limit_descriptors(name, verb == "choke")
        elif verb == "slow":
            for name in name_lists[0]:
                await self._share_core_with_busy_loop(self._processes[name].pid)
        elif verb == "garbage":
            for name in name_lists[0]:
                await self._send_garbage(name)
        elif verb == "storm":
            for name in name_lists[0]:
                for number in range(int(arguments[0])):
                    client = self._run_client(
                        1_000_000 + number, [], self._own_hosts[name], self._clients_port, name
                    )
                    self._start_task(client)
        elif verb == "heal":
            self._link_proxy.reset_links()
        elif verb in ("say", "view", "agree", "none", "told"):
            await self._wait_for_report(verb, name_lists, arguments)
            self.record.took[step] = round(self.now() - started, 2)
        else:
            self._change_links(verb, name_lists, [float(each) for each in arguments])

    def _change_links(self, verb: str, name_lists: list[list[str]], arguments: list[float]) -> None:
        changes: dict[str, Any] = {"cut": True} if verb in ("cut", "oneway") else {}
        if verb in ("loss", "double", "corrupt"):
            changes = {verb: arguments[0]}
        elif verb == "delay":
            changes = {
                "delay": arguments[0] / 1000,
                "jitter": (arguments[1] if len(arguments) > 1 else 0.0) / 1000,
            }
        elif verb == "narrow":
            changes = {"narrow": int(arguments[0])}
        elif verb == "hold":
            changes = {"hold": True}
        self._link_proxy.update_links(name_lists[0], name_lists[1], **changes)
        if verb != "oneway":
            self._link_proxy.update_links(name_lists[1], name_lists[0], **changes)

    async def _start_all(self, names: list[str], clock: str) -> None:
        """Start a process for each name; `clock` is a value for `LAB_CLOCK`, empty for the true clock."""
        for name in names:
            log_start = len(self.record.logs.get(name, ()))
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
            self._start_task(self._add_when_serving(name, log_start))

    async def _add_when_serving(self, name: str, log_start: int) -> None:
        """Send clients to the balancer once its log says, after `log_start` lines, that it listens."""
        await self._wait_until(
            lambda: any("listens on" in line for line in self.record.logs[name][log_start:]), 60.0
        )
        self._serving.append(name)

    def _write_configuration(self, name: str, configured_name: str) -> None:
        """Write the configuration and operator file of a process, which calls itself `configured_name`."""
        listen = f"{self._own_hosts[name]}:{self._clients_port}"
        count = self.plan.balancers
        write_balancer_config(
            self._path(name), configured_name, count, listen, self._discovery, self._server_list
        )
        self._path(name, "toml").write_text(self._operator_file(name), encoding="utf-8")

    async def _start_twin(self, name: str) -> None:
        """Start a second process under the balancer's name; the plan knows it as `NAME-twin`."""
        twin, number = f"{name}-twin", len(self._own_hosts) + 1
        self._own_hosts[twin] = f"{self._network_prefix}.{number}"
        self._advertised_hosts[twin] = f"{self._advertised_hosts[name].rsplit('.', 1)[0]}.{number}"
        own_address, advertised_address = (
            (self._own_hosts[twin], self._peers_port),
            (self._advertised_hosts[twin], self._peers_port),
        )
        await self._link_proxy.add(twin, own_address, advertised_address)
        self._write_configuration(twin, name)
        await self._start_all([twin], "")

    async def _upgrade(self, name: str, stalls: bool = False) -> None:
        """Start the new process, then tell the old one to end, as an operator does.

        Afterwards the name means the new process. With `stalls`, the old one is stopped meanwhile.
        """
        old = self._processes[name]
        log_start = len(self.record.logs[name])
        if stalls:
            old.send_signal(signal.SIGSTOP)
        await self._start_all([name], "")
        await self._wait_until(
            lambda: any("listens on" in line for line in self.record.logs[name][log_start:])
        )
        if stalls:
            old.send_signal(signal.SIGCONT)
        old.send_signal(signal.SIGTERM)
        await self._wait_until(lambda: old.returncode is not None)
        self.record.ended.pop(name, None)  # exit code of the old process

    async def _send_garbage(self, name: str) -> None:
        """Send random bytes past the links, as a broken or foreign sender may; only counters may change."""
        rng = Random(f"garbage/{name}")
        address = (self._own_hosts[name], self._peers_port)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(400):
                size = rng.choice((0, 1, 2, 40, 200, 1200, 60000))
                sock.sendto(rng.randbytes(size), address)
                if number % 20 == 0:
                    await asyncio.sleep(0.01)
        for size in (0, 10, 3_000_000):
            try:
                _, writer = await asyncio.open_connection(*address)
                writer.write(rng.randbytes(size))
                await asyncio.wait_for(writer.drain(), 1.0)
                writer.close()
            except (OSError, TimeoutError):
                pass

    def _on_effects_readable(self) -> None:
        """Record all effects that have been received."""
        while True:
            try:
                lease, token, sender = self._effect_socket.recv(200).decode().split()
            except OSError:
                return
            self.record.effects.append((round(self.now(), 4), lease, int(token), sender))

    def _last_sender(self, lease: str) -> str:
        """Return the last sender of an effect under the lease or a slot of it, else the first balancer."""
        senders = (by for _, name, _, by in reversed(self.record.effects) if name.partition("#")[0] == lease)
        return next(senders, self.names[0])

    def _management_address(self, name: str) -> str:
        """Return the balancer's management address, from its log."""
        address_lines = [line for line in self.record.logs[name] if "management on" in line]
        return address_lines[-1].rsplit(" ", 1)[1]

    async def _start_lease_command(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        """Start `switchhub lease VERB LEASE ...` against the balancer's management address."""
        via = self._management_address(name)
        verb, lease, *rest = arguments
        command = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "switchhub", "lease", verb, lease, "--via", via, *rest, cwd=ROOT
        )
        self._lease_commands.append(command)
        return command

    def _stop_or_continue_holders(self, name: str, halt: bool) -> None:
        """Stop or continue the `lease hold` processes at a balancer and the commands that they run.

        The commands continue first, so that they send effects before `lease hold` can end them.
        """
        for command in self._commands_at.get(name, []):
            children = Path(f"/proc/{command.pid}/task/{command.pid}/children").read_text().split()
            for pid in (command.pid, *map(int, children)) if halt else (*map(int, children), command.pid):
                os.kill(pid, signal.SIGSTOP if halt else signal.SIGCONT)
                if not halt:  # time to send effects; their interval is as long as that of clients
                    time.sleep(2 * CLIENT_INTERVAL_S)

    async def _start_lease_holder(self, name: str, lease: str) -> None:
        """Keep `lease hold` running at the balancer, with `effects.py` as its command."""
        host, port = self._effect_socket.getsockname()
        effect_command = (sys.executable, "-m", "switchhub.lab.faults.effects", f"{host}:{port}", name)
        await self._wait_until(lambda: name in self._serving)
        self._candidates.setdefault(lease, []).append(name)
        self._start_task(
            self._supervise_lease_command(name, "hold", lease, "--wait", "30", "--", *effect_command)
        )

    async def _supervise_lease_command(self, name: str, *arguments: str) -> None:
        """Run a lease command, and again whenever it ends, as the supervisor of an installation does."""
        while self._running:
            command = await self._start_lease_command(name, *arguments)
            self._commands_at.setdefault(name, []).append(command)
            await command.wait()
            self._commands_at[name].remove(command)
            self._lease_commands.remove(command)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_effects(self, verb: str, lease: str, timeout_s: float, wanted: int) -> None:
        """Wait for what the verb `acts`, `passes`, `busy` or `hand-on` names, by effects from now on."""
        effects, first_new = self.record.effects, len(self.record.effects)
        top_token = max((token for _, name, token, _ in effects if name == lease), default=0)
        if verb == "hand-on":
            holder = self._last_sender(lease)
            successor = next(name for name in self._candidates[lease] if name != holder)
            await self._start_lease_command(holder, "hand-on", lease, successor)

        def condition_met() -> bool:
            if verb == "busy":
                since = max((at for at, *_ in effects), default=0.0) - POLL_INTERVAL_S
                recent = [each for each in effects[first_new:] if each[0] >= since]
                return (
                    len({(name, by) for _, name, _, by in recent if name.startswith(f"{lease}#")}) == wanted
                )
            tokens = [token for _, name, token, _ in effects[first_new:] if name == lease]
            return any(verb == "acts" or token > top_token for token in tokens)

        await self._wait_until(condition_met, timeout_s)

    async def _request_members(self, *names: str) -> dict[str, dict[str, Any]]:
        """Return the replies to `/members` of those of the balancers that run and answer, and record them."""

        async def request(name: str) -> None:
            if name not in self._processes or self._process_state(name) in "TZX":
                return
            reply = await self._get_management(name, "/members")
            if reply is not None and reply[0] == 200:
                members = replies[name] = json.loads(reply[1])
                self.record.said.append((round(self.now(), 3), name, members))

        replies: dict[str, dict[str, Any]] = {}
        await asyncio.gather(*map(request, names))
        return replies

    def _is_reported(
        self, verb: str, name_lists: list[list[str]], value: str, replies: dict[str, dict[str, Any]]
    ) -> bool:
        """Return whether the replies to `/members` meet the condition of `view`, `say` or `agree`."""
        if verb == "view":
            return all(name in replies and replies[name]["view"] == value for name in name_lists[0])
        states = {name: _states(reply) for name, reply in replies.items()}
        if verb == "say":
            return all(
                name in replies
                and all(states[name].get(each) == value for each in name_lists[1] if each != name)
                for name in name_lists[0]
            )
        running = {name for name in self._processes if self._process_state(name) not in "TZX"}
        return (
            bool(running)
            and set(replies) == running
            and all(
                {each for each, state in states[name].items() if state == "alive"} == running
                and replies[name]["view"] == "sure"
                for name in running
            )
        )

    async def _wait_for_report(self, verb: str, name_lists: list[list[str]], arguments: list[str]) -> None:
        """Wait for what the verb `say`, `view`, `agree`, `none` or `told` names."""
        if verb == "none":
            await self._wait_until_constant(name_lists[0], arguments[0])
            return
        if verb == "told":
            text, logs = arguments[0].replace("_", " "), self.record.logs
            wanted_logs = [logs[name] for name in name_lists[0]]
            await self._wait_until(
                lambda: all(any(text in line for line in log) for log in wanted_logs), float(arguments[1])
            )
            return
        async with asyncio.timeout(float(arguments[-1])):
            while not self._is_reported(
                verb,
                name_lists,
                arguments[0],
                await self._request_members(*(name_lists[0] if name_lists else self.names)),
            ):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_until_constant(self, names: list[str], counter: str) -> None:
        """Wait until the counter has the same values at two looks half a second apart, for at most 10 s."""
        async with asyncio.timeout(10.0):
            previous: dict[str, int] = {}
            while True:
                current = {
                    name: each["counts"].get(counter, 0)
                    for name, each in (await self._request_members(*names)).items()
                }
                if current == previous and len(current) == len(names):
                    return
                previous = current
                await asyncio.sleep(0.5)


def _states(reply: dict[str, Any]) -> dict[str, str]:
    """Return the state by member of a reply to `/members`."""
    return {each["name"]: each["state"] for each in reply["members"]}


async def run_plan(plan: Plan, seed: int = 0) -> Record:
    """Run a plan in a temporary folder; the seed is of the random faults of the links."""
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        return await FleetRun(plan, folder, seed).run()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run_plans(plans: list[Plan], at_once: int, seed: int = 0) -> list[Record]:
    """Run several plans, at most `at_once` at a time; the records are in the order of the plans."""

    async def run_all() -> list[Record]:
        slots = asyncio.Semaphore(at_once)

        async def run_one(plan: Plan) -> Record:
            async with slots:
                return await run_plan(plan, seed)

        return list(await asyncio.gather(*(run_one(plan) for plan in plans)))

    return asyncio.run(run_all())
