"""Lease aggregators in virtual time: killed, suspended, cut off and started twice, at rest and during changes.

A lapse is a time in which a running router has no lease. `fleet.violations` lists the invariants that were broken; they
are described in rig/world_judge.py.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from banklift.fleet.state import Stage
from banklift.rig.relay import FROM_TARGET, TO_TARGET
from banklift.rig.seeds import play, sum_cases
from banklift.rig.world import REFUSAL_MARKER, FleetWorld

LEASE = 4.0  # seconds
SETTLE_TIME = 6.0  # seconds after a start until voters know all leases
CHANGE_TIME = 3.0  # seconds within which a change takes hold when all members are up
SWITCH_LAPSE = 0.05  # seconds: longest lapse of a router in the switch to another epoch
EXPIRY = LEASE * 1.03  # seconds after which the leases of a dead member have ended on all clocks
WAYS = [None, TO_TARGET, FROM_TARGET]
SEEDS_IN_CI = 24


def settled_fleet(seed: int, routers: int = 8, aggregators: int = 2, **more: Any) -> FleetWorld:
    """A fleet with three voters whose routers all serve epoch 1."""
    fleet = FleetWorld(seed, routers, 3, LEASE, aggregators=aggregators, **more)
    for key in fleet.members:
        fleet.start(key)
    fleet.run(SETTLE_TIME)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    return fleet


def aggregated_routers(fleet: FleetWorld) -> list[str]:
    """The routers that lease from aggregators."""
    return [key for key, router in fleet.routers.items() if router.aggregators]


def checking(fleet: FleetWorld) -> Callable[[], bool]:
    """Returns a function that tells whether a change is being checked."""
    return lambda: fleet.stage() == Stage.CHECKING


def closing(fleet: FleetWorld) -> Callable[[], bool]:
    """Returns a function that tells whether a change is agreed, and the leases on the old epoch are about to end."""
    return lambda: fleet.stage() == Stage.AGREED


def switched(fleet: FleetWorld, epoch: int = 2) -> Callable[[], bool]:
    """Returns a function that tells whether a router has adopted the epoch, the newest one."""
    return lambda: fleet.newest_epoch == epoch


def assert_healthy(fleet: FleetWorld, epoch: int, seconds: float = 10.0) -> None:
    """Assert that within `seconds` all routers serve the epoch, that the next change takes no longer than
    `CHANGE_TIME`, and that no invariant was broken."""
    all_serve = dict.fromkeys(fleet.names, epoch)
    fleet.run_until(lambda: fleet.serving() == all_serve, seconds)
    assert fleet.serving() == all_serve
    fleet.run(SETTLE_TIME)
    begin = fleet.world.now()
    assert fleet.change(b"the next one") == "in force"
    assert fleet.world.now() - begin < CHANGE_TIME
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, epoch + 1)
    assert fleet.violations == []


# ---- all members are up


def test_a_change_takes_hold_through_aggregators() -> None:
    fleet = settled_fleet(1)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < CHANGE_TIME
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.violations == []
    for case in (
        "never mixed: adopted while another served",
        "contained: sub-leases granted",
        "contained: leases extended",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert fleet.case_counts[case] > 0, (case, fleet.case_counts)


def test_lapses_in_a_switch_are_short_for_all_routers() -> None:
    """A lapse lasts a tenth of a lease times the drift, and the time of a message and its answer."""
    for seed in range(5):
        fleet = settled_fleet(60 + seed)
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        fleet.run(1.0)
        lapses = fleet.lease_gaps(begin)
        assert {(lapse.epoch_before, lapse.epoch_after) for lapse in lapses} <= {(1, 2)}
        assert max((lapse.duration for lapse in lapses), default=0.0) < SWITCH_LAPSE, lapses


def test_voters_show_aggregators_and_aggregators_show_their_routers() -> None:
    fleet = settled_fleet(2)
    shown = fleet.show("r0")
    assert shown is not None
    assert {holder.name for holder in shown.holders} == {*fleet.voters, *fleet.aggregators}
    counts = {holder.name: holder.summary for holder in shown.holders}
    shown_routers: set[str] = set()
    for key in fleet.aggregators:
        own = fleet.show(key)
        assert own is not None and (own.voter, own.standing) == (key, "aggregator")
        names = {holder.name for holder in own.holders if holder.left > 0}
        summary = counts[key]
        assert names == set(fleet.routers_of(key)) and summary is not None and summary.routers == len(names)
        shown_routers |= names
    assert shown_routers == set(aggregated_routers(fleet))


def test_routers_may_lease_from_voters_beside_aggregators() -> None:
    fleet = settled_fleet(3, routers=9, direct=2)
    assert aggregated_routers(fleet) == ["r5", "r6", "r7", "r8"]
    assert fleet.change(b"second") == "in force"
    fleet.routers["r3"].refusal_reasons = ("direct: no",)
    assert fleet.change(b"third " + REFUSAL_MARKER) == "aborted"
    assert_healthy(fleet, 2)


def test_the_operator_gets_the_reason_of_a_refusal() -> None:
    fleet = settled_fleet(4)
    fleet.routers["r7"].refusal_reasons = ("$.classes: not in this build",)
    assert fleet.change(b"second " + REFUSAL_MARKER) == "aborted"
    (outcome,) = fleet.outcomes.values()
    assert outcome.reasons == ("r7: $.classes: not in this build",)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert_healthy(fleet, 1)


def test_a_dry_run_checks_on_every_router_and_changes_nothing() -> None:
    fleet = settled_fleet(5)
    assert fleet.change(b"second", dry=True) == "fine"
    fleet.routers["r6"].refusal_reasons = ("no",)
    assert fleet.change(b"third " + REFUSAL_MARKER, dry=True) == "refused"
    assert list(fleet.outcomes.values())[-1].reasons == ("r6: no",)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.lease_gaps() == []
    assert_healthy(fleet, 1)


def test_an_aggregator_may_have_the_name_of_a_voter() -> None:
    """A voter's machine may run an aggregator as well, under the same name. Both may be lost at once."""
    fleet = FleetWorld(6, 7, 3, LEASE, aggregators=1)
    fleet.add_aggregator("a-r0", name="r0")
    for key in aggregated_routers(fleet):
        fleet.join_zone(key, 0)
    for key in fleet.members:
        fleet.start(key)
    fleet.run(SETTLE_TIME)
    assert fleet.routers_of("r0") and fleet.routers_of("a0")
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.change(b"second") == "in force"
    fleet.kill("r0")
    fleet.kill("a-r0")
    assert fleet.change(b"third") == "in force"
    fleet.start("r0")
    fleet.start("a-r0")
    assert_healthy(fleet, 3)


# ---- an aggregator is killed or suspended


@pytest.mark.parametrize("seed", range(6))
def test_the_death_of_an_aggregator_causes_no_lapse(seed: int) -> None:
    fleet = settled_fleet(10 + seed)
    for key in fleet.aggregators:
        fleet.run(0.37 * seed)
        begin = fleet.world.now()
        fleet.kill(key)
        fleet.run(3 * LEASE)
        assert fleet.lease_gaps(begin) == []
        fleet.start(key)
        fleet.run(2 * LEASE)
        assert fleet.lease_gaps(begin) == []
    assert fleet.violations == []


@pytest.mark.parametrize("delay", [0.0, 0.003, 0.01, 0.03])
@pytest.mark.parametrize("moment", [checking, closing])
def test_an_aggregator_is_killed_during_a_change(
    moment: Callable[[FleetWorld], Callable[[], bool]], delay: float
) -> None:
    """It is killed while the change is being checked, or after it was agreed; there is a standby."""
    fleet = settled_fleet(20)
    has_come = moment(fleet)

    def kill_later() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.kill("a0"))

    fleet.when(has_come, kill_later)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + CHANGE_TIME
    assert fleet.aggregators["a0"].host is None
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    lapses = fleet.lease_gaps(begin)  # only those of the switch
    assert {(lapse.epoch_before, lapse.epoch_after) for lapse in lapses} <= {(1, 2)}
    assert max((lapse.duration for lapse in lapses), default=0.0) < SWITCH_LAPSE
    fleet.start("a0")
    assert_healthy(fleet, 2)


def test_an_aggregator_restarts_during_a_change() -> None:
    """The new incarnation knows no sub-leases, so the change waits until the lease of the old one has ended."""
    for step in range(10):
        fleet = settled_fleet(21)

        def restart(fleet: FleetWorld = fleet) -> None:
            fleet.kill("a0")
            fleet.start("a0")

        fleet.world.at(fleet.world.now() + 0.2 + 0.06 * step, restart)
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        assert fleet.world.now() - begin < EXPIRY + CHANGE_TIME
        assert_healthy(fleet, 2)


@pytest.mark.parametrize("timers_first", [False, True])
@pytest.mark.parametrize("aggregators", [1, 2])
def test_an_aggregator_is_suspended_across_a_switch(aggregators: int, timers_first: bool) -> None:
    fleet = settled_fleet(22, aggregators=aggregators)
    fleet.when(closing(fleet), lambda: fleet.pause("a0"))
    assert fleet.change(b"second") == "in force"
    assert fleet.newest_epoch == 2 and fleet.aggregators["a0"].paused
    if aggregators == 1:  # its routers have no standby
        fleet.run(EXPIRY)
        assert set(fleet.serving()) == set(fleet.voters)
    fleet.resume("a0", timers_first)
    assert_healthy(fleet, 2)


@pytest.mark.parametrize("timers_first", [False, True])
def test_an_aggregator_is_suspended_while_a_change_is_checked(timers_first: bool) -> None:
    for seconds in (0.3, 1.5, 3.0, 5.0):
        fleet = settled_fleet(23, aggregators=1)

        def suspend(fleet: FleetWorld = fleet, seconds: float = seconds) -> None:
            fleet.pause("a0")
            fleet.world.at(fleet.world.now() + seconds, lambda: fleet.resume("a0", timers_first))

        fleet.when(checking(fleet), suspend)
        assert fleet.change(b"second") == "in force"
        assert_healthy(fleet, 2)


def test_all_aggregators_of_a_zone_are_killed() -> None:
    """The routers of the zone stop by themselves, and the change takes hold without them. They serve the new policy
    once an aggregator of the zone is up again."""
    fleet = settled_fleet(24, routers=9, aggregators=4, zones=2)
    zone = [key for key, aggregator in fleet.aggregators.items() if aggregator.zone == 0]
    routers = {key for key in aggregated_routers(fleet) if fleet.routers[key].aggregators[0] in zone}
    assert len(zone) == 2 and len(routers) == 3

    def kill_zone() -> None:
        for key in zone:
            fleet.kill(key)

    fleet.when(checking(fleet), kill_zone)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + CHANGE_TIME
    assert fleet.serving() == {key: 2 for key in fleet.names if key not in routers}
    fleet.run(3 * LEASE)
    assert fleet.serving() == {key: 2 for key in fleet.names if key not in routers}
    fleet.start(zone[0])
    fleet.run_until(lambda: fleet.serving() == dict.fromkeys(fleet.names, 2), 2 * LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.start(zone[1])
    assert_healthy(fleet, 2)


def test_a_second_aggregator_of_the_same_name_has_to_end() -> None:
    """This holds also where routers use its address. A restarted aggregator does not count as a second one."""
    fleet = settled_fleet(25)
    second = fleet.add_aggregator("a0 twice", name="a0")
    fleet.start("a0 twice")
    misdirected = fleet.routers_of("a0")
    assert misdirected
    for key in misdirected:
        relay = fleet.relays[key, "a0"]
        relay.target = lambda: fleet.ports["a0 twice"]
        relay.close_connections()
    fleet.run(3.0)
    assert "is here already" in second.name_conflict_reason
    assert fleet.change(b"second") == "in force"
    for key in misdirected:
        fleet.relays[key, "a0"].target = lambda: fleet.ports["a0"]
    fleet.kill("a0")
    fleet.start("a0")
    fleet.run(SETTLE_TIME)
    assert not fleet.aggregators["a0"].name_conflict_reason
    assert_healthy(fleet, 2)


# ---- links


@pytest.mark.parametrize("way", WAYS)
def test_an_aggregator_is_cut_off_from_voters_and_has_a_standby(way: str | None) -> None:
    """Its routers lease from the standby, and a change waits only until the leases of the one cut off have ended."""
    fleet = settled_fleet(30)
    fleet.stall_links("a0", direction=way, others=fleet.voters)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + CHANGE_TIME
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.heal()
    assert_healthy(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
def test_the_only_aggregator_is_cut_off_from_voters(way: str | None) -> None:
    """Its routers stop by the end of its own lease, whatever it sends them."""
    fleet = settled_fleet(31, aggregators=1)
    fleet.stall_links("a0", direction=way, others=fleet.voters)
    begin = fleet.world.now()
    fleet.run(EXPIRY)
    assert set(fleet.serving()) == set(fleet.voters)
    assert {lapse.router for lapse in fleet.lease_gaps(begin)} == set(aggregated_routers(fleet))
    assert fleet.change(b"second") == "in force"
    assert set(fleet.serving()) == set(fleet.voters)
    fleet.heal()
    assert_healthy(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("moment", [checking, closing])
def test_an_aggregator_is_cut_off_from_voters_during_a_change(
    moment: Callable[[FleetWorld], Callable[[], bool]], way: str | None
) -> None:
    for aggregators in (1, 2):
        fleet = settled_fleet(32, aggregators=aggregators)
        fleet.when(
            moment(fleet),
            lambda fleet=fleet: fleet.stall_links("a0", direction=way, others=fleet.voters),  # type: ignore[misc]
        )
        assert fleet.change(b"second") == "in force"
        fleet.heal()
        assert_healthy(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
def test_an_aggregator_is_cut_off_from_its_routers(way: str | None) -> None:
    """The routers lease from the standby without a lapse, and a change waits only for the outstanding sub-leases."""
    fleet = settled_fleet(33)
    begin = fleet.world.now()
    fleet.stall_links("a0", direction=way, others=tuple(aggregated_routers(fleet)))
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + CHANGE_TIME
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert [lapse for lapse in fleet.lease_gaps(begin) if lapse.epoch_before == lapse.epoch_after] == []
    fleet.heal()
    assert_healthy(fleet, 2)


def test_a_stalled_link_from_a_router_to_its_aggregator_causes_no_lapse() -> None:
    fleet = settled_fleet(34)
    begin = fleet.world.now()
    router = fleet.routers_of("a0")[0]
    fleet.stall_links(router, others=("a0",))
    fleet.run(3 * LEASE)
    assert fleet.lease_gaps(begin) == []
    fleet.heal()
    assert_healthy(fleet, 1)


def test_a_stalled_link_from_an_aggregator_to_a_voter_causes_no_lapse() -> None:
    fleet = settled_fleet(35)
    begin = fleet.world.now()
    fleet.stall_links("a0", others=("r1",))
    fleet.run(3 * LEASE)
    assert fleet.lease_gaps(begin) == []
    fleet.heal()
    assert_healthy(fleet, 1)


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.005, 0.02])
@pytest.mark.parametrize("moment", [checking, closing])
def test_a_router_moves_to_its_standby_during_a_change(
    moment: Callable[[FleetWorld], Callable[[], bool]], delay: float
) -> None:
    fleet = settled_fleet(36)
    router = fleet.routers_of("a0")[0]

    def move() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.stall_links(router, others=("a0",)))

    fleet.when(moment(fleet), move)
    assert fleet.change(b"second") == "in force"
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.heal()
    assert_healthy(fleet, 2)


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.005, 0.02, 0.1])
def test_a_refusing_router_moves_to_its_standby_during_the_check(delay: float) -> None:
    """Its refusal is not lost: the change is aborted, so the router never serves an old policy beside the new one."""
    fleet = settled_fleet(37)
    router = fleet.routers_of("a0")[0]
    fleet.routers[router].refusal_reasons = ("no",)

    def move() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.stall_links(router, others=("a0",)))

    fleet.when(checking(fleet), move)
    assert fleet.change(b"second " + REFUSAL_MARKER) == "aborted"
    assert f"{router}: no" in list(fleet.outcomes.values())[-1].reasons
    fleet.heal()
    assert_healthy(fleet, 1)


# ---- voters fail


def test_routers_stop_without_a_majority_of_voters_and_serve_again_with_one() -> None:
    fleet = settled_fleet(40)
    for key in ("r0", "r1"):
        fleet.stall_links(key)
    fleet.run(EXPIRY)
    assert fleet.serving() == {}
    assert fleet.change(b"second", voter="r2", seconds=3.0) == "unknown"
    fleet.heal()
    fleet.run(SETTLE_TIME)
    epoch = fleet.newest_epoch
    assert_healthy(fleet, epoch)


def test_all_voters_restart_at_once() -> None:
    fleet = settled_fleet(41)
    assert fleet.change(b"second") == "in force"
    for key in fleet.voters:
        fleet.kill(key)
    fleet.run(0.5)
    for key in fleet.voters:
        fleet.start(key)
    fleet.run(SETTLE_TIME)
    assert_healthy(fleet, 2)


def test_a_majority_of_voters_is_cut_off_during_a_change() -> None:
    for moment in (checking, closing):
        fleet = settled_fleet(42)

        def cut_off(fleet: FleetWorld = fleet) -> None:
            for key in ("r0", "r1"):
                fleet.stall_links(key)

        fleet.when(moment(fleet), cut_off)
        fleet.world.at(fleet.world.now() + 3 * LEASE, fleet.heal)
        assert fleet.change(b"second") in ("in force", "aborted")
        fleet.run(SETTLE_TIME)
        assert_healthy(fleet, fleet.newest_epoch)


# ---- routers start and leave


def change_time_after(seed: int, act: Callable[[FleetWorld, str], None]) -> float:
    """Seconds that a change takes after `act` was done to r7, which leases from an aggregator."""
    fleet = settled_fleet(seed)
    act(fleet, "r7")
    fleet.run(0.01)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    seconds = fleet.world.now() - begin
    fleet.start("r7")
    assert_healthy(fleet, 2)
    return seconds


@pytest.mark.parametrize("seed", [50, 51, 52])
def test_a_change_does_not_wait_for_a_router_that_has_left(seed: int) -> None:
    assert change_time_after(seed, FleetWorld.leave) < CHANGE_TIME - 1.0
    assert change_time_after(seed, FleetWorld.kill) > LEASE / 4  # it waits for one that was killed


def test_a_router_leaves_during_a_change() -> None:
    for moment in (checking, closing):
        fleet = settled_fleet(53)
        fleet.when(moment(fleet), lambda fleet=fleet: fleet.leave("r7"))  # type: ignore[misc]
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        assert fleet.world.now() - begin < CHANGE_TIME
        fleet.start("r7")
        assert_healthy(fleet, 2)


def test_a_refusing_router_that_starts_during_a_change_serves_no_refused_policy() -> None:
    for delay in (0.0, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4):
        fleet = settled_fleet(54)
        fleet.kill("r7")
        fleet.run(SETTLE_TIME)
        fleet.routers["r7"].refusal_reasons = ("no",)

        def start(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.start("r7"))

        fleet.when(checking(fleet), start)
        result = fleet.change(b"second " + REFUSAL_MARKER)
        fleet.run(SETTLE_TIME)
        assert fleet.serving().get("r7") == (None if result == "in force" else 1)
        assert fleet.violations == []


# ---- all faults together


@pytest.mark.parametrize("seeds", [range(start, start + 6) for start in range(0, SEEDS_IN_CI, 6)])
def test_random_faults_of_all_kinds(seeds: range) -> None:
    """To run more seeds: `python -m banklift.rig.seeds --from 0 --count 200`."""
    reports = [play(seed, aggregated=True) for seed in seeds]
    assert {report.seed: report.failures for report in reports if report.failures} == {}
    cases = sum_cases(reports)
    for case in (
        "told in force",
        "never mixed: adopted while another served",
        "contained: sub-leases granted",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert cases[case] > 10, cases
