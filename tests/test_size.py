"""What has to mean the same at one balancer and at two hundred that share nothing."""

from __future__ import annotations

from switchhub.decision.interface import Move, Refuse
from tests.world import World, make_settings, server

FLEET = 200


def fleet(*names: str) -> list[World]:
    """Balancers of one fleet, each with a seed of its own."""
    worlds = [World(make_settings(fleet_size=FLEET, zone=9), seed=seed) for seed in range(FLEET)]
    for world in worlds:
        world.roster(*(server(name) for name in names))
    return worlds


def test_many_balancers_with_one_connection_each_move_a_fifth_together() -> None:
    moved = 0
    for world in fleet("a", "b"):
        request = world.adopt("a")
        world.strain(request, "a", 500.0)
        moved += len(world.did(Move))
    assert 0.1 * FLEET < moved < 0.3 * FLEET


def test_thin_limits_let_the_same_part_in_as_thick_ones() -> None:
    """A server at its limit takes no more from anyone, and its part once calm has given some back."""
    let_in = 0
    for world in fleet("a"):
        request = world.adopt("a")
        world.strain(request, "a", 30.0)
        world.ask()
        assert world.did(Refuse)
        world.strain(request, "a", 0.0)
        world.wait(10_000.0)
        world.ask()
        let_in += not world.did(Refuse)
    assert 0.1 * FLEET < let_in < 0.4 * FLEET
