"""Processes of one balancer beside each other, stopped, woken and killed while clients come all along.

Owns: every process it starts, one record on one clock, the folder they meet in. Must never: help a process,
judge by anything but what clients and servers saw, or end a process it did not start.

A plan is one line of steps with `;` between them:

    start a          a process at the common address; `start a@send:take` stops itself there (`launch.py`)
    ready a          wait until it listens
    stopped a        wait until it stands still
    gone a           wait until it has ended
    said a TEXT      wait until its log has it
    runs a           it must run now
    crowd 3000       so many clients at once, who are counted and not judged: this process is late as well
    stop a, wake a, kill a, term a              SIGSTOP, SIGCONT, SIGKILL, SIGTERM
    choke a, free a  no further descriptor for it; as many as before
    slow a           it shares one core with a process that never rests, to the end of the play
    300              milliseconds pass
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

from switchhub.lab import told
from switchhub.lab.live.runner import ROOT, ports
from switchhub.lab.scenario import Cold, parse

EVERY, WAIT = 0.02, 1.5  # seconds between two clients, and that each waits
LIMIT = 12.0  # seconds that a step may wait for its condition
AFTER = 1.0  # seconds after a step that are put down to it
SETTLE, LOOK = 6.0, 0.3  # seconds after the last step in which one process is to be left with the right
HOLDS = 0.4  # seconds that a client stays before it speaks and leaves
SLACK = 0.1  # seconds: this machine's own lateness
CHOKED = 8  # descriptors: fewer than a process opens before its first client
AT_HAND = 3  # clients that one process may have accepted and not answered when it is stopped or killed
STAGES = count()
SIGNALS = {"stop": signal.SIGSTOP, "wake": signal.SIGCONT, "kill": signal.SIGKILL, "term": signal.SIGTERM}
VERBS = (*SIGNALS, "start", "ready", "stopped", "gone", "said", "runs", "crowd", "choke", "free", "slow")


class PlanError(ValueError):
    """A plan that is none."""


@dataclass(slots=True)
class Came:
    """One client."""

    at: float
    answer: str = ""
    answered: float = 0.0
    spoke: bool = False  # its line came back, or it was moved


@dataclass(slots=True)
class Record:
    """What was done and seen, in seconds from the first client."""

    plan: str
    done: list[tuple[float, str]] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    crowd: list[Came] = field(default_factory=list)
    opened: list[tuple[float, str, str]] = field(default_factory=list)  # when, which server, which id
    closed: dict[str, float] = field(default_factory=dict)  # of these ids, when
    nobody: list[tuple[float, float]] = field(default_factory=list)  # no process ran
    stuck: str = ""  # a step whose condition did not come
    ready: list[str] = field(default_factory=list)  # which processes said at the end that they serve
    ended: dict[str, int] = field(default_factory=dict)
    logs: dict[str, list[str]] = field(default_factory=dict)

    def faults(self) -> list[str]:
        """What was wrong."""
        out, lost = [f"nothing came of: {self.stuck}"] if self.stuck else [], 0
        struck = sum(step.split()[0] in ("stop", "kill", "stopped") for _, step in self.done)
        for client in self.came:
            excused = any(begin - WAIT < client.at < end + SLACK for begin, end in self.nobody)
            if not client.answer or client.answered - client.at > WAIT + SLACK:
                lost += not excused
        if lost > AT_HAND * struck:
            out.append(
                f"{lost} of {len(self.came)} clients without an answer in time, {struck} stops or deaths"
            )
        unsafe = [name for _, _, name in self.opened if int(name, 16) % 2]  # a safe one may be tried again
        if len(unsafe) != len(set(unsafe)):
            out.append("a server saw an unsafe id twice")
        if len(self.ready) > 1 or (not self.ready and not self.nobody):
            out.append(f"settled on {self.ready}")
        out += [f"{name} ended with {code}" for name, code in self.ended.items() if code not in (0, -9)]
        out += [f"{name}: traceback" for name, log in self.logs.items() if any("Traceback" in x for x in log)]
        return out

    def over_budget(self, cold: Cold) -> float:
        """The most set-ups that the cold server, the first, ever got above its budget of the time before
        (rule 4), measured by the most that its warm peers held in that time: what a process that wakes had
        held ends all at once."""
        worst = -math.inf
        mine = [at for at, name, _ in self.opened if name == "s0"]
        peers = [(at, self.closed.get(id_, math.inf)) for at, name, id_ in self.opened if name != "s0"]
        for now in mine:
            moments = [now - cold.fall_s * part / 10 for part in range(10)]
            held = max(sum(begin <= at < end for begin, end in peers) for at in moments)
            share = cold.share + (1 - cold.share) * min(1.0, now / cold.seconds)
            budget = cold.fall_multiple * share * held / 2 * cold.fall_s / cold.seconds
            worst = max(worst, sum(now - cold.fall_s < at <= now for at in mine) - budget)
        return worst

    def without(self) -> dict[str, float]:
        """For each step the time without an acceptor, in ms: what the client waited that waited longest, of
        those that came within `AFTER` of it and before the next. A client that nobody answered is not in it:
        a process had accepted it."""
        out: dict[str, float] = {}
        steps = [(at, step) for at, step in self.done if not step.startswith("pass")]
        for number, (at, step) in enumerate(steps):
            end = min([at + AFTER, *(later for later, _ in steps[number + 1 : number + 2])])
            waits = [c.answered - c.at for c in self.came if c.answer and at - EVERY <= c.at < end]
            if waits:
                out[step] = max(out.get(step, 0.0), round(1000 * max(waits), 1))
        return out

    def figures(self) -> dict[str, Any]:
        """Counts, and what clients waited."""
        waits = sorted(c.answered - c.at for c in self.came if c.answer)
        logs = [line for log in self.logs.values() for line in log]
        return {
            "clients": len(self.came),
            "up": sum(c.answer == "UP" for c in self.came),
            "crowd_up": sum(c.answer == "UP" for c in self.crowd),
            "lost": sum(not c.answer or c.answered - c.at > WAIT + SLACK for c in self.came),
            "broken": sum(c.answer == "UP" and not c.spoke for c in self.came),
            "wait_p50_ms": round(1000 * waits[len(waits) // 2], 1) if waits else None,
            "wait_most_ms": round(1000 * waits[-1], 1) if waits else None,
            "taken_back": sum("is silent for" in line for line in logs),
            "given_back": sum("gives back" in line for line in logs),
            "without_ms": self.without(),
        }


class Stage:
    """One play."""

    def __init__(self, plan: str, folder: Path, cold: bool = False, every: float = EVERY) -> None:
        """With `cold`, the first server has just started."""
        self.record = Record(plan)
        self.steps = [_step(each.strip()) for each in plan.split(";") if each.strip()]
        self._folder, self._every, self._cold = folder, every, cold
        self._zero = time.monotonic()
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._hogs: list[asyncio.subprocess.Process] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._names = [f"s{number}" for number in range(3)]
        stage = next(STAGES)  # a loopback address of its own: no other play takes its ports
        self._host = f"127.{16 + os.getpid() % 200}.{stage // 250 % 250}.{stage % 250 + 1}"
        self._going = True

    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._zero

    async def play(self) -> Record:
        """The whole plan."""
        listening: list[asyncio.Server] = []
        found = ports(self._host, 1)[0]
        try:
            addresses = {}
            for name in self._names:
                listening.append(await asyncio.start_server(self._server(name), "127.0.0.1", 0, backlog=4096))
                addresses[name] = _address(listening[-1])
            listing = _listing(addresses, "s0" if self._cold else "")
            listening.append(await asyncio.start_server(_discovery(listing), "127.0.0.1", 0))
            self._address = found
            _configure(self._folder, f"{self._host}:{found}", _address(listening[-1]), listing)
            clients: asyncio.Task[None] | None = None
            for words in self.steps:
                try:
                    await self._do(words)
                except TimeoutError:
                    self.record.stuck = " ".join(words)
                    break
                if clients is None and words[0] == "ready":
                    clients = self._start(self._clients())
            await self._settled()
            self._going = False
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=WAIT + HOLDS + WAIT)
        finally:
            await self._end(listening)
        return self.record

    def _start(self, work: Any) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Processes.

    async def _do(self, words: list[str]) -> None:
        verb, *rest = words
        if verb == "pass":
            await asyncio.sleep(float(rest[0]) / 1000)
            return
        name = rest[0].partition("@")[0]
        if verb == "start":
            await self._start_process(name, rest[0].partition("@")[2])
        elif verb in SIGNALS:
            process = self._processes[name]
            if process.returncode is None:
                process.send_signal(SIGNALS[verb])
            if verb == "stop":
                await self._until(lambda: self._state(name) in "TZ")
        elif verb == "crowd":
            for number in range(int(rest[0])):
                self._start(self._client(1_000_000 + len(self.record.crowd) + number, self.record.crowd))
        elif verb in ("choke", "free"):
            self._limit(name, verb == "choke")
        elif verb == "slow":
            await self._slow(self._processes[name].pid)
        elif verb == "runs":
            if self._state(name) in "TZ":
                raise TimeoutError
        elif verb == "gone":
            await self._until(lambda: self._processes[name].returncode is not None)
        elif verb == "stopped":
            await self._until(lambda: self._state(name) in "TZ")
        else:
            text = "listens on" if verb == "ready" else " ".join(rest[1:])
            await self._until(lambda: any(text in line for line in self.record.logs[name]))
        self.record.done.append((round(self.now(), 3), " ".join(words)))
        self._mark()

    async def _slow(self, pid: int) -> None:
        core = min(os.sched_getaffinity(0))
        rests_never = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        self._hogs.append(rests_never)
        threads = [int(each) for each in os.listdir(f"/proc/{pid}/task")]
        for each in (*threads, rests_never.pid):
            os.sched_setaffinity(each, [core])

    def _limit(self, name: str, choke: bool) -> None:
        pid = self._processes[name].pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (CHOKED if choke else hard, hard))

    def _state(self, name: str) -> str:
        """One letter of proc(5)."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self._processes[name].pid}/stat").read_text(encoding="ascii")
            return text.rpartition(")")[2].split()[0]
        return "Z"

    def _mark(self) -> None:
        """Whether any process runs."""
        runs = any(self._state(name) not in "TZX" for name in self._processes)
        marks = self.record.nobody
        if not runs:
            if not marks or marks[-1][1] != math.inf:
                marks.append((self.now(), math.inf))
        elif marks and marks[-1][1] == math.inf:
            marks[-1] = (marks[-1][0], self.now() + 0.7)  # it starts or wakes, and looks around

    async def _until(self, condition: Any) -> None:
        async with asyncio.timeout(LIMIT):
            while not condition():
                await asyncio.sleep(0.005)

    async def _start_process(self, name: str, stop_at: str) -> None:
        module = "switchhub.lab.faults.launch" if stop_at else "switchhub"
        environ = {
            **os.environ,
            "BALANCER_CONFIG": str(self._folder / "config.json"),
            "BALANCER_MANAGEMENT": "127.0.0.1:0",
            "TMPDIR": str(self._folder),
            "LAB_STOP_AT": stop_at,
        }
        process = self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        self.record.logs[name] = []
        self._start(self._read(name, process))

    async def _read(self, name: str, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.record.logs[name].append(f"{self.now():8.3f} {line.decode(errors='replace').rstrip()}")
        self.record.ended[name] = await process.wait()
        self._mark()

    async def _settled(self) -> None:
        """Until one process alone says that it serves, twice in a row."""
        before: list[str] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE):
                while len(self.record.ready) != 1 or before != self.record.ready:
                    before, self.record.ready = self.record.ready, []
                    await asyncio.sleep(LOOK)
                    await self._ask_all()

    async def _ask_all(self) -> None:
        """Which say that they serve."""
        for name, process in self._processes.items():
            if process.returncode is not None or self._state(name) in "TZ":
                continue
            called = [line for line in self.record.logs[name] if "management on" in line]
            with contextlib.suppress(OSError, TimeoutError, IndexError):
                async with asyncio.timeout(1.0):
                    port = int(called[0].rsplit(":", 1)[1])
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /healthcheck HTTP/1.1\r\n\r\n")
                    if (await reader.read()).split()[1] == b"200":
                        self.record.ready.append(name)
                    writer.close()

    async def _end(self, listening: list[asyncio.Server]) -> None:
        self._going = False
        for process in (*self._processes.values(), *self._hogs):
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in listening:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    # Servers and clients.

    def _server(self, name: str) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.CancelledError):
                if line := await reader.readline():
                    id_ = line.split()[1].decode()
                    self.record.opened.append((round(self.now(), 4), name, id_))
                    writer.write(f"UP {name}-{len(self.record.opened)}\r\n".encode())
                    while line := await reader.readline():
                        writer.write(line)
                    self.record.closed[id_] = self.now()
            writer.close()

        return serve

    async def _clients(self) -> None:
        begun = self.now()
        for number in count(1):
            if not self._going:
                return
            self._start(self._client(number, self.record.came))
            await asyncio.sleep(max(0.0, begun + number * self._every - self.now()))

    async def _client(self, number: int, among: list[Came]) -> None:
        came = Came(self.now())
        among.append(came)
        writer = None
        with contextlib.suppress(ConnectionError, TimeoutError):
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self._host, self._address), WAIT + SLACK
            )
            kind = "pay" if number % 2 else "any"
            writer.write(f"OPEN {number:016x} key c={kind},t=acme,d={WAIT * 1000:.0f},h=100\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), WAIT + 2 * SLACK)
            came.answer, came.answered = line.decode().split(" ")[0].strip(), self.now()
            if came.answer == "UP":
                await asyncio.sleep(HOLDS)
                writer.write(b"M 1\r\n")
                back = await asyncio.wait_for(reader.readline(), WAIT)
                came.spoke = back in (b"M 1\r\n", b"MOVE\r\n")
        if writer is not None:
            writer.close()


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


def _step(text: str) -> list[str]:
    words = text.split()
    if len(words) == 1 and words[0].isdigit():
        return ["pass", words[0]]
    if len(words) < 2 or words[0] not in VERBS:
        raise PlanError(f"no step: {text!r}")
    return words


def _listing(addresses: dict[str, str], cold: str) -> dict[str, Any]:
    common = {"zone": "z", "kind": "k", "cell": 0, "state": "Ready", "weight": 1.0}
    born = {name: int(time.time() * 1000) if name == cold else 0 for name in addresses}
    servers = [
        {"id": name, "addr": address, "started_ms": born[name], **common}
        for name, address in addresses.items()
    ]
    return {"version": 1, "full": True, "servers": servers}


def _discovery(listing: dict[str, Any]) -> Any:
    body = json.dumps(listing).encode()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                if b"index=1" in head:
                    await asyncio.sleep(1.0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()

    return serve


def _configure(folder: Path, listen: str, discovery: str, listing: dict[str, Any]) -> None:
    scenario = parse(
        {
            "name": "upgrades",
            "shows": "one balancer and its processes",
            "zones": ["z"],
            "balancers": {"count": 1, "dial_ms": 150.0},
            "servers": [{"name": "s", "count": 1, "kind": "k"}],
            "classes": [
                {"name": name, "repeat": repeat, "deadline_ms": 2000.0, "message_aim_ms": 50.0}
                for name, repeat in (("any", "safe"), ("pay", "unsafe"))
            ],
            "tenants": [{"name": "acme", "connections": 1000.0}],
        }
    )
    config = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 16384},
        "known": listing,
        "settings": told.nested(scenario, 0),
    }
    (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")


async def play(plan: str, cold: bool = False, every: float = EVERY) -> Record:
    """One plan in a folder of its own."""
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        return await Stage(plan, folder, cold, every).play()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def play_all(plans: list[str], at_once: int) -> list[Record]:
    """Several plans, so many at a time; in their order."""

    async def all_() -> list[Record]:
        room = asyncio.Semaphore(at_once)

        async def one(plan: str) -> Record:
            async with room:
                return await play(plan)

        return list(await asyncio.gather(*(one(plan) for plan in plans)))

    return asyncio.run(all_())


def drawn(seed: int) -> str:
    """A plan: an upgrade, sometimes a second one, with stops, wakes and deaths in it, the last one sound."""
    rng = Random(f"upgrades/{seed}")
    steps = ["start a", "ready a", str(rng.randint(50, 400))]
    alive, stopped, told_to_end = ["a"], set[str](), set[str]()
    for _ in range(rng.randint(2, 7)):
        running = [each for each in alive if each not in stopped]
        choice = rng.random()
        newest = max(alive)
        if (choice < 0.35 and newest < "d") or newest == "a":
            name = chr(ord(newest) + 1)
            steps += [f"start {name}", f"ready {name}"]
            alive.append(name)
        elif choice < 0.6 and running:
            name = rng.choice(running)
            steps.append(f"stop {name}")
            stopped.add(name)
        elif choice < 0.8 and stopped:
            name = rng.choice(sorted(stopped))
            steps.append(f"wake {name}")
            stopped.discard(name)
        elif choice < 0.9 and len(alive) > 1:
            name = rng.choice(alive)
            steps.append(f"kill {name}")
            alive.remove(name)
            stopped.discard(name)
        elif len(alive) > 1:
            name = rng.choice(alive[:-1])
            if name not in told_to_end:
                steps.append(f"term {name}")
                told_to_end.add(name)
        steps.append(str(rng.choice((20, 60, 150, 320, 500, 900, 1500))))
    steps += [f"wake {name}" for name in sorted(stopped)]
    return "; ".join(steps)


def shrunk(plan: str, tries: int = 3) -> str:
    """Less of a plan that still goes wrong in one of so many plays: steps are left out one by one."""
    steps = plan.split("; ")
    at = len(steps) - 1
    while at >= 2:  # the first process stays
        less = [*steps[:at], *steps[at + 1 :]]
        with contextlib.suppress(KeyError):  # it names a process that is not there any more
            if any(record.faults() for record in play_all(["; ".join(less)] * tries, tries)):
                steps = less
        at -= 1
    return "; ".join(steps)


def run(plans: list[str], at_once: int, shrink: bool) -> list[dict[str, Any]]:
    """Play them; a line for each that went wrong, and what all of them came to."""
    for plan in plans:
        Stage(plan, Path("."))
    found = []
    for record in play_all(plans, at_once):
        faults = record.faults()
        found.append({"plan": record.plan, "faults": faults, **record.figures(), "done": record.done})
        if faults:
            found[-1]["logs"] = record.logs
            print(f"{record.plan}\n    {'; '.join(faults)}", flush=True)
            if shrink:
                found[-1]["shrunk"] = shrunk(record.plan)
                print(f"    shrunk: {found[-1]['shrunk']}", flush=True)
    total = {name: sum(each[name] for each in found) for name in ("clients", "up", "lost", "broken")}
    back = sum(each["taken_back"] for each in found)
    most = max((each["wait_most_ms"] or 0.0 for each in found), default=0.0)
    wrong = sum(bool(each["faults"]) for each in found)
    print(
        f"{len(found)} plans, {wrong} wrong; {total}; taken back {back} times; the longest wait {most:.0f} ms"
    )
    return found
