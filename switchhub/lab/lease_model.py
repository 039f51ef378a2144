"""Model of one lease with three voters and two candidates for the explorer.

Voters and candidates run the real `Voter` and `Proposer` code. The model supplies true time and what
surrounds them: messages that are lost, duplicated, reordered or delayed beyond the end of any lease, voters
that restart without their state, and candidates that are paused. It never decides who holds the lease.

What each candidate believes is checked in every step by its own clock. A holder that was paused is checked
when it resumes, before it reads any message, since it acts on its old belief until then.
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
LATE_STEPS = 20  # steps that a late or duplicate message waits: longer than any lease
PAUSE_STEPS = 20  # steps that a candidate is paused
CUT_LEASE_LENGTHS = 1.9  # duration of a `mute` or a `split`, in lease lengths; a `lag` lasts twice as long
LAG_STEPS = 14  # steps that a message to a lagging candidate takes
RECONFIGURE_INTERVAL_STEPS = 20  # steps between two points at which a voter may restart with another config
VOTER_DOWN_STEPS = (1, 6)  # steps that a voter is down before it is back without its state
FOLLOW_UP_STEPS = 34  # steps explored after the last fault, per second of lease length
LEASE = "duty"
InFlight = tuple[int, str, OutgoingMessage]  # steps left before delivery, sender, message
MakeVoter = Callable[..., Voter]
MakeProposer = Callable[..., Proposer]


class LeaseState:
    """One state: the voters, both candidates, the messages in flight and the remaining fault budget."""

    def __init__(
        self,
        budget: dict[str, int],
        rates: dict[str, float],
        make_voter: MakeVoter,
        make_proposer: MakeProposer,
        config: LeaseConfig = LEASE_CONFIG,
        configs: dict[str, LeaseConfig] | None = None,
    ) -> None:
        """Start all voters and both candidates.

        Args:
            budget: how often each kind of fault may still happen.
            rates: clock rate of each process, as a multiple of true time.
            make_voter: constructor of `Voter` or of a mutant.
            make_proposer: constructor of `Proposer` or of a mutant.
            config: the configuration of each process that is not in `configs`.
            configs: other configurations by process; such a voter starts without knowing its former tokens,
                and does not vote until it has recovered them.
        """
        self.steps = self.quiet_steps = 0
        self.config, self.cut_steps = config, int(CUT_LEASE_LENGTHS * config.length / STEP)
        self.configs = configs or {}
        self.link_faults: dict[tuple[str, str], int] = {}  # (kind, candidate) -> step at which it ends
        self.budget, self.rates = dict(budget), rates
        self.make_voter = make_voter
        self.voters_started = 10
        self.found_violation: str | None = None
        self.in_flight: list[InFlight] = []
        names = sorted({*VOTERS, *(self.configs.keys() - {"a", "b"})})
        self.voters = {
            name: make_voter(
                ProcessIdentity(name, 1, name),
                self.config_of(name),
                self.clock(name),
                None if name in self.configs else 0,
            )
            for name in names
        }
        self.proposers = {
            name: make_proposer(
                ProcessIdentity(name, 1, name), self.config_of(name), number, self.clock(name)
            )
            for number, name in enumerate(("a", "b"))
        }
        for name, each in self.voters.items():
            each.is_voting = name not in self.configs
        for name, each_proposer in self.proposers.items():
            each_proposer.acquire(LEASE, self.clock(name))
        self.proposers["b"].wanted[LEASE].next_attempt_at += 2 * STEP
        self.paused: dict[str, int] = {}  # candidate -> step at which it resumes
        self.restarting: dict[str, int] = {}  # voter that is down -> step at which it is back
        self.last_token, self.last_holder = 0, ""  # of the last candidate that was seen to hold

    def clock(self, name: str) -> float:
        """Return the time by the clock of this process, in seconds."""
        return self.steps * STEP * self.rates.get(name, 1.0)

    def config_of(self, name: str) -> LeaseConfig:
        """Return the configuration of this process."""
        return self.configs.get(name, self.config)

    def reconfigure(self, name: str, config: LeaseConfig) -> None:
        """Restart a voter with another configuration and without its state."""
        self.budget["refile"] -= 1
        self.configs = {**self.configs, name: config}
        self.restarting[name] = self.steps + 1

    def freeze(self) -> bytes:
        """Return the state as bytes, by which states are compared and copied."""
        return pickle.dumps(self)

    def key(self) -> Hashable:
        """Return a hash that is equal for equal states."""
        return hash(self.freeze())

    def violation(self) -> str | None:
        """Return the invariant that this state violates, or None."""
        return self.found_violation

    def step(self, message_faults: dict[int, str]) -> None:
        """Advance by one step; `message_faults` maps places in `in_flight` to the fault of that message."""
        self.steps += 1
        self.quiet_steps = 0 if message_faults else self.quiet_steps + 1
        for name, until in list(self.restarting.items()):
            if self.steps >= until:
                del self.restarting[name]
                self.voters_started += 1
                self.voters[name] = self.make_voter(
                    ProcessIdentity(name, self.voters_started, name),
                    self.config_of(name),
                    self.clock(name),
                    None,
                )
        previously_in_flight, self.in_flight = self.in_flight, []
        due: list[tuple[str, OutgoingMessage]] = []
        for index, (steps_left, sender, send) in enumerate(previously_in_flight):
            fault = message_faults.get(index)
            if fault in self.budget:
                self.budget[fault] -= 1
            if self._is_cut(sender, send.address):
                continue
            if send.address in self.paused:
                self.in_flight.append((steps_left, sender, send))  # stays unread
            elif steps_left > 0 or fault == "late":
                self.in_flight.append((LATE_STEPS if fault == "late" else steps_left - 1, sender, send))
            elif fault != "lose":
                due.append((sender, send))
                if fault in ("double", "echoed"):
                    self.in_flight.append((LATE_STEPS, sender, send))
        for name, until in list(self.paused.items()):
            if self.steps >= until:
                del self.paused[name]  # checked below before it reads, as it acts on its old belief
        self._check_holders()
        for _, (address, message) in due:
            if address in self.restarting:
                continue
            process = self.voters.get(address) or self.proposers[address]
            process.receive(self.clock(address), message)
        processes: dict[str, Voter | Proposer] = {**self.voters, **self.proposers}
        for name, running_process in processes.items():
            if name in self.restarting or name in self.paused:
                continue
            running_process.turn(self.clock(name))
            self.in_flight += [
                (self._transit_steps(send.address), name, send) for send in running_process.out
            ]
            running_process.out.clear()
        for proposer in self.proposers.values():
            proposer.events.clear()
        for voter in self.voters.values():
            voter.log_lines.clear()
        self._check_holders()

    def _is_cut(self, sender: str, to: str) -> bool:
        for (kind, name), until in self.link_faults.items():
            if self.steps < until and kind == "mute" and sender == name:
                return True
            if (
                self.steps < until
                and kind == "split"
                and (sender in (name, "v0")) is not (to in (name, "v0"))
            ):
                return True
        return False

    def _transit_steps(self, to: str) -> int:
        return LAG_STEPS if self.steps < self.link_faults.get(("lag", to), 0) else 0

    def apply_candidate_event(self, kind: str, name: str) -> None:
        """Strike a candidate with a fault, or have it release or transfer the lease."""
        self.budget[kind] -= 1
        proposer, now = self.proposers[name], self.clock(name)
        if kind == "stand":
            self.paused[name] = self.steps + PAUSE_STEPS
        elif kind in ("mute", "split", "lag"):
            self.link_faults[kind, name] = self.steps + self.cut_steps * (2 if kind == "lag" else 1)
        else:
            successor = "b" if name == "a" else "a"
            proposer.release(LEASE, now, *((successor, successor) if kind == "pass" else ("", "")))
            proposer.acquire(LEASE, now if kind == "again" else now + 0.5)

    def _check_holders(self) -> None:
        """Check that at most one candidate holds the lease and that tokens only rise from holder to holder.

        A paused candidate does not act, so that it does not count as a holder.
        """
        held_tokens = {
            name: token
            for name, proposer in self.proposers.items()
            if name not in self.paused and (token := proposer.held_token(LEASE, self.clock(name))) is not None
        }
        if len(held_tokens) > 1:
            self.found_violation = f"both hold the lease: tokens {held_tokens}"
        for name, token in held_tokens.items():
            if token < self.last_token or (token == self.last_token and name != self.last_holder):
                self.found_violation = (
                    f"{name} holds token {token} after {self.last_holder} held token {self.last_token}"
                )
            self.last_token, self.last_holder = token, name


class LeaseModel:
    """Every order of events within a budget.

    Faults of messages: `lose`, `double` (delivered twice, the second time late), `late`, and `echo` (all
    messages of one candidate that are due in a step are duplicated). Faults of a voter: `forget` (restarts
    without its state) and `refile` (restarts with another of `restart_configs`, every
    `RECONFIGURE_INTERVAL_STEPS` steps). Faults and actions of a candidate: `stand` (paused), `mute` (its
    messages are lost), `split` (cut off together with one voter), `lag` (messages to it are slow), `release`,
    `again` (releases the lease and requests it at once), `pass` (transfers it to the other candidate).
    """

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
        """Begin all faults in the steps from `window[0]` until before `window[1]`.

        Without `rates`, candidates' clocks are as slow and voters' clocks as fast as `MAX_CLOCK_DRIFT`
        allows. This is the worst case: holders believe in a lease longest and voters expire it soonest.
        """
        worst_case_rates = {
            **dict.fromkeys(VOTERS, 1 + MAX_CLOCK_DRIFT),
            "a": 1 - MAX_CLOCK_DRIFT,
            "b": 1 - MAX_CLOCK_DRIFT,
        }
        self._budget, self._window, self._rates = budget, window, worst_case_rates if rates is None else rates
        self._make_voter, self._make_proposer, self._config = make_voter, make_proposer, config
        self._configs, self._restart_configs = configs, restart_configs

    def initial_states(self) -> Iterator[tuple[str, LeaseState]]:
        """Yield the one initial state: nobody holds the lease and both candidates want it."""
        yield (
            "",
            LeaseState(
                self._budget, self._rates, self._make_voter, self._make_proposer, self._config, self._configs
            ),
        )

    def successors(self, state: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Yield the states after one step with at most one fault or action in it."""
        window_start, window_end = self._window
        in_window = window_start <= state.steps < window_end
        follow_up_steps = FOLLOW_UP_STEPS * self._config.length + max(
            [0, *(until - state.steps for until in state.link_faults.values())]
        )
        if state.steps >= window_end and state.quiet_steps > follow_up_steps:
            return
        frozen = state.freeze()

        def copy() -> LeaseState:
            other: LeaseState = pickle.loads(frozen)
            other.quiet_steps = 0
            return other

        if in_window:
            for name in state.proposers:
                for kind in ("stand", "release", "again", "pass", "mute", "split", "lag"):
                    if state.budget.get(kind) and name not in state.paused:
                        other = copy()
                        other.apply_candidate_event(kind, name)
                        other.step({})
                        yield f"{state.steps}: candidate {name}: {kind}", other
            for name in state.voters:
                for down_steps in (
                    VOTER_DOWN_STEPS if state.budget.get("forget") and name not in state.restarting else ()
                ):
                    other = copy()
                    other.budget["forget"] -= 1
                    other.restarting[name] = state.steps + down_steps
                    other.step({})
                    yield (
                        f"{state.steps}: voter {name} loses its state, back after {down_steps} steps",
                        other,
                    )
                configs = (
                    self._restart_configs
                    if state.budget.get("refile") and state.steps % RECONFIGURE_INTERVAL_STEPS == 0
                    else ()
                )
                for index, config in enumerate(configs):
                    if name not in state.restarting and config != state.config_of(name):
                        other = copy()
                        other.reconfigure(name, config)
                        other.step({})
                        yield f"{state.steps}: voter {name} restarts with config {index}", other
            for name in state.proposers if state.budget.get("echo") else ():
                other = copy()
                other.budget["echo"] -= 1
                other.step(
                    {index: "echoed" for index, message in enumerate(state.in_flight) if message[1] == name}
                )
                yield f"{state.steps}: all due messages of {name} are duplicated", other
            faults = [fault for fault in ("lose", "double", "late") if state.budget.get(fault)]
            yield from successors_with_message_fault(state, faults, copy)
        other = copy()
        other.quiet_steps = state.quiet_steps
        other.step({})
        yield "", other
