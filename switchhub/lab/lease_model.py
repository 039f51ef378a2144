"""Leases of three voters and two candidates for the explorer: the real parts, and between them messages that
are lost, doubled, overtaken and later than any lease, voters that restart and forget, candidates that stand
still.

Owns: the model of what surrounds the parts, and true time. Must never: decide who holds. What each believes
is looked at in each step, by the clock of each: a holder that stood still is looked at when it wakes, before
it reads anything.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Hashable, Iterator

from switchhub.lab.explorer import successors_with_message_fault
from switchhub.leases.config import MAX_CLOCK_DRIFT, LeaseConfig
from switchhub.leases.messages import OutgoingMessage, ProcessIdentity
from switchhub.leases.proposer import Proposer
from switchhub.leases.voter import Voter

STEP = 0.0625  # seconds of true time
VOTERS = ("v0", "v1", "v2")
LEASE_CONFIG = LeaseConfig(VOTERS, length=1.0, max_length=1.0, margin=0.0625, transfer_reservation=0.25)
LATE = 20  # steps that a message may be late: longer than any lease
STANDS = 20  # steps that a candidate may stand still
CUT = 1.9  # lengths of a lease that a cut lasts: a candidate not heard, or split off with one voter
LAG = 14  # steps that what comes to a candidate takes, for two cuts' time
REFILE = 20  # steps between two moments at which a voter may be started with another file
FORGETS = (1, 6)  # steps that a voter is away before it is back and has forgotten
AFTER = 34  # steps after the last trouble that are followed
LEASE = "duty"
Flight = tuple[int, str, OutgoingMessage]
MakeVoter = Callable[..., Voter]
MakeProposer = Callable[..., Proposer]


class LeaseState:
    """One state."""

    def __init__(
        self,
        budget: dict[str, int],
        rates: dict[str, float],
        make_voter: MakeVoter,
        make_proposer: MakeProposer,
        config: LeaseConfig = LEASE_CONFIG,
        configs: dict[str, LeaseConfig] | None = None,
    ) -> None:
        """`files` says which file a part has that has not `terms`; a voter that has one begins by it."""
        self.steps = self.calm = 0
        self.config, self.cut = config, int(CUT * config.length / STEP)
        self.configs = configs or {}
        self.ends: dict[tuple[str, str], int] = {}  # troubles of a candidate's links, until which step
        self.budget, self.rates = dict(budget), rates
        self.make_voter = make_voter
        self.lives = 10
        self.wrong: str | None = None
        self.flights: list[Flight] = []
        names = sorted({*VOTERS, *(self.configs.keys() - {"a", "b"})})
        self.voters = {
            name: make_voter(
                ProcessIdentity(name, 1, name),
                self.file(name),
                self.clock(name),
                None if name in self.configs else 0,
            )
            for name in names
        }
        self.askers = {
            name: make_proposer(ProcessIdentity(name, 1, name), self.file(name), number, self.clock(name))
            for number, name in enumerate(("a", "b"))
        }
        for name, each in self.voters.items():
            each.is_voting = name not in self.configs
        for name, each_ in self.askers.items():
            each_.acquire(LEASE, self.clock(name))
        self.askers["b"].wanted[LEASE].next_attempt_at += 2 * STEP
        self.stands: dict[str, int] = {}  # candidates that stand still, until which step
        self.away: dict[str, int] = {}  # voters that are away, until which step
        self.token, self.holder = 0, ""  # of the last one that was seen to hold

    def clock(self, name: str) -> float:
        """Its own."""
        return self.steps * STEP * self.rates.get(name, 1.0)

    def file(self, name: str) -> LeaseConfig:
        """What its operator file says."""
        return self.configs.get(name, self.config)

    def refile(self, name: str, file: LeaseConfig) -> None:
        """It is started again with another file."""
        self.budget["refile"] -= 1
        self.configs = {**self.configs, name: file}
        self.away[name] = self.steps + 1

    def freeze(self) -> bytes:
        """To tell states apart, and to copy them."""
        return pickle.dumps(self)

    def key(self) -> Hashable:
        """Equal for equal states."""
        return hash(self.freeze())

    def violation(self) -> str | None:
        """What is wrong."""
        return self.wrong

    def step(self, wrong: dict[int, str]) -> None:
        """One step; what happens to the messages of these places."""
        self.steps += 1
        self.calm = 0 if wrong else self.calm + 1
        for name, until in list(self.away.items()):
            if self.steps >= until:  # it has forgotten all
                del self.away[name]
                self.lives += 1
                self.voters[name] = self.make_voter(
                    ProcessIdentity(name, self.lives, name), self.file(name), self.clock(name), None
                )
        before, self.flights = self.flights, []
        due: list[tuple[str, OutgoingMessage]] = []
        for at, (left, sender, send) in enumerate(before):
            what = wrong.get(at)
            if what in self.budget:
                self.budget[what] -= 1
            if self._cut(sender, send.address):
                continue
            if send.address in self.stands:
                self.flights.append((left, sender, send))  # it lies unread
            elif left > 0 or what == "late":
                self.flights.append((LATE if what == "late" else left - 1, sender, send))
            elif what != "lose":
                due.append((sender, send))
                if what in ("double", "echoed"):
                    self.flights.append((LATE, sender, send))
        for name, until in list(self.stands.items()):
            if self.steps >= until:
                del self.stands[name]  # it acts on what it believes before it reads
        self._look()
        for _, (address, message) in due:
            if address in self.away:
                continue
            part = self.voters.get(address) or self.askers[address]
            part.receive(self.clock(address), message)
        parts: dict[str, Voter | Proposer] = {**self.voters, **self.askers}
        for name, part_ in parts.items():
            if name in self.away or name in self.stands:
                continue
            part_.turn(self.clock(name))
            self.flights += [(self._lag(send.address), name, send) for send in part_.out]
            part_.out.clear()
        for asker in self.askers.values():
            asker.events.clear()
        for voter in self.voters.values():
            voter.log_lines.clear()
        self._look()

    def _cut(self, sender: str, to: str) -> bool:
        for (what, name), until in self.ends.items():
            if self.steps < until and what == "mute" and sender == name:
                return True
            if (
                self.steps < until
                and what == "split"
                and (sender in (name, "v0")) is not (to in (name, "v0"))
            ):
                return True
        return False

    def _lag(self, to: str) -> int:
        return LAG if self.steps < self.ends.get(("lag", to), 0) else 0

    def trouble(self, what: str, name: str) -> None:
        """Something befalls a candidate, or it is told to do something."""
        self.budget[what] -= 1
        asker, now = self.askers[name], self.clock(name)
        if what == "stand":
            self.stands[name] = self.steps + STANDS
        elif what in ("mute", "split", "lag"):
            self.ends[what, name] = self.steps + self.cut * (2 if what == "lag" else 1)
        else:
            heir = "b" if name == "a" else "a"
            asker.release(LEASE, now, *((heir, heir) if what == "pass" else ("", "")))
            asker.acquire(LEASE, now if what == "again" else now + 0.5)

    def _look(self) -> None:
        """No two hold at one moment; a token is above all before it. Who stands still does nothing."""
        holds = {
            name: token
            for name, asker in self.askers.items()
            if name not in self.stands and (token := asker.held_token(LEASE, self.clock(name))) is not None
        }
        if len(holds) > 1:
            self.wrong = f"both hold: {holds}"
        for name, token in holds.items():
            if token < self.token or (token == self.token and name != self.holder):
                self.wrong = f"{name} holds token {token} after {self.holder} held {self.token}"
            self.token, self.holder = token, name


class LeaseModel:
    """Every order of events within a budget: messages `lose`, `double`, `late`, an `echo` of all one says
    in a step; a voter `forget`s; a candidate `stand`s still, is not heard (`mute`), is cut off with one voter
    (`split`), hears late (`lag`), `release`s, does so and wants it `again` at once, or hands on (`pass`); a
    voter is started again with another of the `choices` of files (`refile`), each `REFILE` steps."""

    def __init__(
        self,
        budget: dict[str, int],
        window: tuple[int, int] = (0, 12),
        rates: dict[str, float] | None = None,
        make_voter: MakeVoter = Voter,
        make_proposer: MakeProposer = Proposer,
        config: LeaseConfig = LEASE_CONFIG,
        configs: dict[str, LeaseConfig] | None = None,
        restart_configs: tuple[LeaseConfig, ...] = (),
    ) -> None:
        """All that goes wrong begins in these steps. Without rates holders are as slow and voters as fast as
        `MAX_CLOCK_DRIFT` allows."""
        worst = {
            **dict.fromkeys(VOTERS, 1 + MAX_CLOCK_DRIFT),
            "a": 1 - MAX_CLOCK_DRIFT,
            "b": 1 - MAX_CLOCK_DRIFT,
        }
        self._budget, self._window, self._rates = budget, window, worst if rates is None else rates
        self._make_voter, self._make_proposer, self._config = make_voter, make_proposer, config
        self._configs, self._restart_configs = configs, restart_configs

    def initial_states(self) -> Iterator[tuple[str, LeaseState]]:
        """Nobody holds, both want it."""
        yield (
            "",
            LeaseState(
                self._budget, self._rates, self._make_voter, self._make_proposer, self._config, self._configs
            ),
        )

    def successors(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """One step, with at most one thing going wrong in it."""
        begins, ends = self._window
        opens = begins <= state.steps < ends
        follow = AFTER * self._config.length + max(
            [0, *(until - state.steps for until in state.ends.values())]
        )
        if state.steps >= ends and state.calm > follow:
            return
        frozen = state.freeze()

        def copy() -> LeaseState:
            other: LeaseState = pickle.loads(frozen)
            other.calm = 0
            return other

        if opens:
            for name in state.askers:
                for what in ("stand", "release", "again", "pass", "mute", "split", "lag"):
                    if state.budget.get(what) and name not in state.stands:
                        other = copy()
                        other.trouble(what, name)
                        other.step({})
                        yield f"{state.steps}: {name} {what}s", other
            for name in state.voters:
                for away in FORGETS if state.budget.get("forget") and name not in state.away else ():
                    other = copy()
                    other.budget["forget"] -= 1
                    other.away[name] = state.steps + away
                    other.step({})
                    yield f"{state.steps}: {name} forgets, back after {away}", other
                files = (
                    self._restart_configs if state.budget.get("refile") and state.steps % REFILE == 0 else ()
                )
                for at, file in enumerate(files):
                    if name not in state.away and file != state.file(name):
                        other = copy()
                        other.refile(name, file)
                        other.step({})
                        yield f"{state.steps}: {name} has file {at}", other
            for name in state.askers if state.budget.get("echo") else ():
                other = copy()
                other.budget["echo"] -= 1
                other.step({at: "echoed" for at, flight in enumerate(state.flights) if flight[1] == name})
                yield f"{state.steps}: an echo of all that {name} says", other
            kinds = [kind for kind in ("lose", "double", "late") if state.budget.get(kind)]
            yield from successors_with_message_fault(state, kinds, copy)
        other = copy()
        other.calm = state.calm
        other.step({})
        yield "", other
