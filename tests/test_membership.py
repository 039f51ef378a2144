"""Membership in virtual time: real `Membership` objects under crashes, pauses, partitions, forgery."""

from __future__ import annotations

from dataclasses import replace

import pytest

from switchhub.lab.membership_simulation import (
    MembershipSimulation,
    measure_death_detection,
    measure_steady_state,
)
from switchhub.membership.messages import MAX_INCARNATION, MemberUpdate, Ping, Source, State
from switchhub.membership.swim import MAX_INCARNATION_LEAP, Membership, Options

DEAD, ALIVE = State.DEAD, State.ALIVE


def seconds_until(world: MembershipSimulation, condition: object, limit: float) -> float:
    """Run the world until the condition holds; returns the seconds of virtual time that took."""
    started = world.now
    while not condition():  # type: ignore[operator]
        assert world.now < started + limit, {
            key: ({name: m.latest.state.name for name, m in each.members.items()}, each.view)
            for key, each in world.nodes.items()
        }
        world.run_until(world.now + 0.05)
    return world.now - started


def declared_dead(world: MembershipSimulation, *excluded: str) -> set[str]:
    """Names of the members that any member has declared dead, without the excluded ones."""
    return {seen.change.name for seen in world.recorded_changes if seen.change.after is DEAD} - set(excluded)


def all_sure(world: MembershipSimulation) -> bool:
    """Whether all running members agree on who is alive, and have the view `sure`."""
    return world.views_agree() and all(each.view == "sure" for each in world.running_members())


@pytest.mark.parametrize("seed", range(5))
def test_three_of_seven_crash_at_once_and_the_others_detect_it(seed: int) -> None:
    world = MembershipSimulation(7, seed)
    world.run_until(3.0)
    world.kill("n1", "n3", "n5")
    assert seconds_until(world, world.views_agree, 3.0) > 0.5
    assert not declared_dead(world, "n1", "n3", "n5")
    seconds_until(world, lambda: all_sure(world), 2.0)


def test_half_of_forty_crash_at_once() -> None:
    world = MembershipSimulation(40, 1)
    world.run_until(2.0)
    world.kill(*world.names[:20])
    seconds_until(world, world.views_agree, 6.0)
    assert not declared_dead(world, *world.names[:20])
    assert {each.view for each in world.running_members()} == {"doubtful"}


@pytest.mark.parametrize("seed", range(3))
def test_member_paused_for_ten_seconds_declares_nobody_dead_and_rejoins(seed: int) -> None:
    """On resuming it finds all acknowledgements overdue, while the others have declared it dead."""
    world = MembershipSimulation(7, seed)
    world.run_until(3.0)
    world.pause("n2", 10.0)
    world.run_until(12.9)
    assert declared_dead(world) == {"n2"}
    world.run_until(13.01)
    seconds_until(world, world.views_agree, 3.0)
    assert declared_dead(world) == {"n2"} and not [
        s for s in world.recorded_changes if s.by == "n2" and s.change.after is DEAD
    ]
    seconds_until(world, lambda: all_sure(world), 3.0)


@pytest.mark.parametrize("seed", range(5))
def test_members_rejoin_after_a_partition(seed: int) -> None:
    world = MembershipSimulation(7, seed)
    world.run_until(3.0)
    minority = {"n0", "n1", "n2"}
    world.is_cut = lambda src, dst: (src in minority) is not (dst in minority)
    world.run_until(13.0)
    assert all(world.nodes[name].view == "doubtful" for name in minority)
    assert all(each.view == "sure" for name, each in world.nodes.items() if name not in minority)
    world.is_cut = lambda src, dst: False
    seconds_until(world, lambda: all_sure(world), 5.0)


def test_partition_longer_than_the_retention_heals_through_the_seeds() -> None:
    world = MembershipSimulation(7, 1, options=replace(Options(), retention=20.0))
    world.run_until(2.0)
    world.is_cut = lambda src, dst: (src in "n0n1n2") is not (dst in "n0n1n2")
    world.run_until(60.0)
    assert {len(each.members) for each in world.running_members()} == {2, 3}
    world.is_cut = lambda src, dst: False
    seconds_until(world, lambda: all_sure(world), 8.0)


def test_all_start_at_once_while_the_only_seed_is_down() -> None:
    world = MembershipSimulation(7, 1, joined=False)
    for each in world.nodes.values():
        each._seeds = ("a-late",)
    world.run_until(5.0)
    assert {each.view for each in world.running_members()} == {"alone"}
    world.start("late", seeds=())
    seconds_until(world, world.views_agree, 3.0)


def test_five_hundred_members_join_within_a_second() -> None:
    world = MembershipSimulation(3, 1)
    for number in range(500):
        world.run_until(1.0 + number / 500)
        world.start(f"m{number}")
    seconds_until(world, world.views_agree, 20.0)
    assert not declared_dead(world)


def test_rolling_restart() -> None:
    world = MembershipSimulation(7, 1)
    world.run_until(2.0)
    for name in world.names:
        world.kill(name)
        world.run_until(world.now + 0.3)
        world.start(name)
        seconds_until(world, world.views_agree, 3.0)
    assert not declared_dead(world)
    assert all(each.incarnation >= 1 for each in world.nodes.values())


def test_member_restarted_at_another_address_keeps_its_name() -> None:
    world = MembershipSimulation(5, 1)
    world.run_until(2.0)
    world.kill("n4")
    world.run_until(6.0)
    assert declared_dead(world) == {"n4"}
    restarted = world.start("n4", address="a-elsewhere")
    seconds_until(world, world.views_agree, 3.0)
    assert restarted.name == "n4" and restarted.incarnation >= 1
    assert {
        each.members["n4"].latest.address for each in world.running_members() if each is not restarted
    } == {"a-elsewhere"}
    assert not [seen for seen in world.recorded_changes if "two processes" in seen.change.why]


@pytest.mark.parametrize("seed", range(3))
def test_two_running_processes_of_one_name_are_renamed_and_stay_stable(seed: int) -> None:
    world = MembershipSimulation(5, seed)
    world.run_until(5.0)
    second = world.start("n2", address="a-other")
    seconds_until(world, world.views_agree, 5.0)
    first = world.nodes["n2"]
    assert first.name == "n2" and second.name == f"n2~{second.instance_id:08x}"
    assert [seen.by for seen in world.recorded_changes if "two processes" in seen.change.why]
    world.run_until(world.now + 2.0)
    world.recorded_changes.clear()
    world.run_until(world.now + 30.0)
    assert not world.recorded_changes
    assert second.view == "doubtful"


def test_two_processes_of_one_name_that_meet_after_a_partition_are_renamed() -> None:
    world = MembershipSimulation(4, 2)
    world.is_cut = lambda src, dst: ({src, dst} & {"other"}) != set() and "n3" not in (src, dst)
    world.run_until(3.0)
    world.start("n0", address="a-other", seeds=("n3",))
    world.run_until(10.0)
    world.is_cut = lambda src, dst: False
    seconds_until(world, world.views_agree, 8.0)
    assert len({each.name for each in world.running_members()}) == 5


def test_leaving_is_not_a_failure_and_the_member_can_return() -> None:
    world = MembershipSimulation(6, 1)
    world.run_until(2.0)
    world.nodes["n5"].leave(world.now)
    world._process_output("n5")
    seconds_until(world, world.views_agree, 1.0)
    world.run_until(world.now + 5.0)
    states = {each.members["n5"].latest.state for each in world.running_members()}
    assert states == {State.LEFT} and not declared_dead(world) and all_sure(world)
    world.start("n5")
    seconds_until(world, lambda: all_sure(world), 3.0)


def test_one_way_loss_between_two_members_is_bridged_by_indirect_pings() -> None:
    """Messages from n0 to n1 are lost, those from n1 to n0 arrive; nobody may be declared dead."""
    world = MembershipSimulation(5, 1)
    world.is_cut = lambda src, dst: (src, dst) == ("n0", "n1")
    world.run_until(30.0)
    assert not declared_dead(world)


def test_member_that_receives_but_can_not_send_is_declared_dead_by_the_others() -> None:
    """n0 receives everything but reaches nobody.

    Its suspicions must not unsettle the others for long, and n0 itself must know that its view is unreliable.
    """
    world = MembershipSimulation(5, 1)
    world.run_until(2.0)
    world.is_cut = lambda src, dst: src == "n0"
    world.run_until(12.0)
    assert {each.view for name, each in world.nodes.items() if name != "n0"} == {"sure"}
    assert world.nodes["n0"].view in ("alone", "doubtful")
    world.is_cut = lambda src, dst: False
    seconds_until(world, lambda: all_sure(world), 5.0)


def test_three_groups_connected_by_one_member_each() -> None:
    """Only one member of each group can reach the other groups."""
    group = {f"n{number}": number // 3 for number in range(9)}
    world = MembershipSimulation(9, 1)
    bridges = {"n0", "n3", "n6"}
    world.is_cut = lambda src, dst: group[src] != group[dst] and not (src in bridges and dst in bridges)
    world.run_until(30.0)
    world.is_cut = lambda src, dst: False
    seconds_until(world, lambda: all_sure(world), 5.0)


def test_single_member_bridges_a_partition() -> None:
    world = MembershipSimulation(7, 1)
    side = {name: int(name[1]) < 3 for name in world.names}
    world.is_cut = lambda src, dst: side[src] is not side[dst] and "n6" not in (src, dst)
    world.run_until(20.0)
    assert {each.view for each in world.nodes.values()} <= {"sure", "doubtful"}
    world.recorded_changes.clear()
    world.is_cut = lambda src, dst: False
    seconds_until(world, lambda: all_sure(world), 5.0)
    assert not declared_dead(world)


def test_false_deaths_are_absent_at_20_percent_loss_and_rare_at_30_percent() -> None:
    assert measure_steady_state(10, 1, 120.0, loss=0.2)["buried"] == 0.0
    assert measure_steady_state(20, 1, 120.0, loss=0.3)["buried"] <= 120.0


def test_link_that_drops_large_datagrams_causes_no_false_death() -> None:
    """Updates then spread by exchanges of the full member list only."""
    world = MembershipSimulation(6, 1)
    original_process_output = world._process_output

    def drop_large_datagrams(key: str) -> None:
        member = world.nodes[key]
        member.out = [
            each for each in member.out if not getattr(each.message, "updates", ()) or each.address != "a-n1"
        ]
        original_process_output(key)

    world._process_output = drop_large_datagrams  # type: ignore[method-assign]
    world.run_until(30.0)
    assert not declared_dead(world)


def test_forged_incarnations_beyond_the_leap_limit_are_rejected() -> None:
    world = MembershipSimulation(4, 1)
    world.run_until(2.0)
    for number in (MAX_INCARNATION, MAX_INCARNATION_LEAP + 1):
        for target in ("n0", "n1", "n2"):
            forged = MemberUpdate("n1", "a-n1", 7, number, State.DEAD, "n3")
            stranger = Source("x", "a-x", 1, 0, 0)
            world.nodes[target].receive(world.now, Ping(0, stranger, "", (forged,)))
            world._process_output(target)
    world.run_until(3.0)
    assert all(each.members["n1"].latest.state is ALIVE for name, each in world.nodes.items() if name != "n1")
    assert world.nodes["n0"].counts["refused"] == 2
    # Within the limit the member refutes it with a higher incarnation.
    forged = MemberUpdate("n1", "a-n1", 7, MAX_INCARNATION_LEAP, State.SUSPECT, "n3")
    world.nodes["n0"].receive(world.now, Ping(0, Source("x", "a-x", 1, 0, 0), "", (forged,)))
    world._process_output("n0")
    world.run_until(6.0)
    assert world.nodes["n0"].members["n1"].latest.incarnation > MAX_INCARNATION_LEAP
    assert world.nodes["n0"].members["n1"].latest.state is ALIVE


def test_number_of_remembered_members_is_bounded() -> None:
    world = MembershipSimulation(3, 1)
    member = world.nodes["n0"]
    for number in range(6000):
        member.receive(world.now, Ping(0, Source(f"x{number}", f"a-x{number}", 1, 0, 0), "", ()))
        member.out.clear()
    assert len(member.members) == 4000 and member.counts["refused"] == 2002
    assert len(member._probe_order) <= 4000


def test_late_event_loop_waits_for_indirect_pings_before_it_suspects() -> None:
    """An event loop late by less than a period finds the retry and the end of the period due at once.

    Without extra time the member would be suspected before indirect pings are answered.
    """
    world = MembershipSimulation(5, 3)
    world.run_until(2.0)
    member = world.nodes["n0"]
    for _ in range(20):
        due = member.deadline()
        world.run_until(due - 1e-4)
        world.pause("n0", 0.2)
        world.run_until(world.now + 0.5)
    assert not [
        seen for seen in world.recorded_changes if seen.by == "n0" and seen.change.after is State.SUSPECT
    ]


def test_clocks_that_drift_by_five_percent() -> None:
    world = MembershipSimulation(6, 1)
    world.run_until(1.0)
    world = MembershipSimulation(6, 1, joined=False)
    for number, name in enumerate(world.names):
        world.clock_rates[name] = 0.95 + 0.02 * number
        world.start(name)
    seconds_until(world, world.views_agree, 5.0)
    world.run_until(30.0)
    assert not declared_dead(world)


class NeverRefutes(Membership):
    def _raise_incarnation(self, above: int) -> None:
        pass


class NeverReconnects(Membership):
    def _reconnect(self, now: float) -> None:
        self._reconnect_at = now + 1.0


class NoTimeToRefute(Membership):
    def _suspicion_duration(self, member: object) -> float:
        return 0.0


class IgnoresPauses(Membership):
    def _detect_pause(self, now: float) -> None:
        self._expected_turn_at = now


def test_broken_variants_fail() -> None:
    """Each variant lacks one safeguard, and the faults of the tests above must reveal it."""
    world = MembershipSimulation(10, 1, make_member=NeverRefutes, loss=0.3)
    world.run_until(60.0)
    assert declared_dead(world)
    world = MembershipSimulation(7, 1, make_member=NeverReconnects)
    world.run_until(2.0)
    world.is_cut = lambda src, dst: (src in "n0n1n2") is not (dst in "n0n1n2")
    world.run_until(12.0)
    world.is_cut = lambda src, dst: False
    world.run_until(20.0)
    assert not world.views_agree()
    assert measure_steady_state(10, 1, 60.0, make_member=NoTimeToRefute, loss=0.3)["buried"] > 0
    world = MembershipSimulation(7, 1, make_member=IgnoresPauses)
    world.run_until(3.0)
    # It suspects a member, is paused, and on resuming declares it dead before it reads the refutation.
    member = world.nodes["n2"]
    known = member.members["n4"].latest
    member._apply(
        MemberUpdate(known.name, known.address, known.instance_id, known.incarnation, State.SUSPECT, "n2"),
        3.0,
        "",
    )
    world.pause("n2", 5.0)
    member.turn(8.0)
    assert member.members["n4"].latest.state is DEAD


def test_same_seed_gives_same_record() -> None:
    def record() -> list[object]:
        world = MembershipSimulation(12, 7, loss=0.2, slow_fraction=0.2)
        world.run_until(20.0)
        return [world.recorded_changes, world.datagrams_sent, world.datagram_bytes]

    assert record() == record()


def test_crash_is_known_to_all_in_time() -> None:
    for count, limit in ((10, 3.0), (100, 4.5)):
        assert max(measure_death_detection(count, seed)["all"] for seed in range(3)) < limit


@pytest.mark.parametrize("seed", range(3))
def test_member_that_bridges_a_partition_is_kept_as_indirect_prober(seed: int) -> None:
    """With random indirect probers alone, some member was suspected 95% of the time, and 25 a minute were
    declared dead. The member that relayed the last `Ack` must stay among the indirect probers.
    """
    world = MembershipSimulation(7, seed)
    sides = {"n0", "n1", "n2"}, {"n3", "n4", "n5"}
    world.run_until(5.0)
    world.is_cut = lambda src, dst: any(src in one and dst in other for one, other in (sides, sides[::-1]))
    world.run_until(10.0)
    checks = agreed = 0
    while world.now < 40.0:
        world.run_until(world.now + 0.05)
        checks, agreed = checks + 1, agreed + world.views_agree()
    assert agreed > 0.85 * checks
    assert len([each for each in world.recorded_changes if each.change.after is State.DEAD]) <= 2
