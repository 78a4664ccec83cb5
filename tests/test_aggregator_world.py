"""Lease aggregators in virtual time: killed, stopped, cut off and doubled, while changes take hold."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from banklift.fleet.state import Stage
from banklift.rig.relay import BACK, THERE
from banklift.rig.seeds import play, total
from banklift.rig.world import REFUSED, FleetWorld

LEASE = 4.0  # seconds
SETTLED = 6.0  # seconds after which voters know all leases
QUICK = 3.0  # seconds within which a change takes hold when everything is up
SWITCH = 0.05  # seconds that a switch costs a router
EXPIRY = LEASE * 1.03  # seconds after which what a dead member held has ended on all clocks
WAYS = [None, THERE, BACK]
SEEDS_IN_CI = 24


def up(seed: int, routers: int = 8, aggregators: int = 2, **more: Any) -> FleetWorld:
    fleet = FleetWorld(seed, routers, 3, LEASE, aggregators=aggregators, **more)
    for key in fleet.members:
        fleet.start(key)
    fleet.run(SETTLED)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    return fleet


def leaves(fleet: FleetWorld) -> list[str]:
    """Routers that lease from aggregators."""
    return [key for key, one in fleet.routers.items() if one.aggregators]


def checking(fleet: FleetWorld) -> Callable[[], bool]:
    return lambda: fleet.stage() == Stage.CHECKING


def closing(fleet: FleetWorld) -> Callable[[], bool]:
    """A change is agreed on, and leases on the old epoch run out."""
    return lambda: fleet.stage() == Stage.AGREED


def switched(fleet: FleetWorld, epoch: int = 2) -> Callable[[], bool]:
    return lambda: fleet.newest == epoch


def well(fleet: FleetWorld, epoch: int, seconds: float = 10.0) -> None:
    """All serve that epoch again, nothing was broken, and the next change is quick."""
    all_serve = dict.fromkeys(fleet.names, epoch)
    fleet.run_until(lambda: fleet.serving() == all_serve, seconds)
    assert fleet.serving() == all_serve
    fleet.run(SETTLED)
    begin = fleet.world.now()
    assert fleet.change(b"the next one") == "in force"
    assert fleet.world.now() - begin < QUICK
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, epoch + 1)
    assert fleet.breaks == []


# ---- all well


def test_a_change_takes_hold_through_aggregators() -> None:
    fleet = up(1)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < QUICK
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.breaks == []
    for case in (
        "never mixed: adopted while another served",
        "contained: sub-leases granted",
        "contained: leases extended",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert fleet.cases[case] > 0, (case, fleet.cases)


def test_the_switch_costs_routers_behind_aggregators_no_more_than_others() -> None:
    """A tenth of a lease times the drift, and the ways there and back."""
    for seed in range(5):
        fleet = up(60 + seed)
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        fleet.run(1.0)
        lapses = fleet.lapses(begin)
        assert {(lapse.before, lapse.after) for lapse in lapses} <= {(1, 2)}
        assert max((lapse.length for lapse in lapses), default=0.0) < SWITCH, lapses


def test_voters_know_aggregators_and_these_know_their_routers() -> None:
    fleet = up(2)
    shown = fleet.show("r0")
    assert shown is not None
    assert {holder.name for holder in shown.holders} == {*fleet.voters, *fleet.aggregators}
    counts = {holder.name: holder.summary for holder in shown.holders}
    seen: set[str] = set()
    for key in fleet.aggregators:
        own = fleet.show(key)
        assert own is not None and (own.voter, own.standing) == (key, "aggregator")
        names = {holder.name for holder in own.holders if holder.left > 0}
        summary = counts[key]
        assert names == set(fleet.clients_of(key)) and summary is not None and summary.routers == len(names)
        seen |= names
    assert seen == set(leaves(fleet))


def test_direct_routers_beside_aggregators() -> None:
    fleet = up(3, routers=9, direct=2)
    assert leaves(fleet) == ["r5", "r6", "r7", "r8"]
    assert fleet.change(b"second") == "in force"
    fleet.routers["r3"].reasons = ("direct: no",)
    assert fleet.change(b"third " + REFUSED) == "aborted"
    well(fleet, 2)


def test_a_refusal_passes_its_reason_up_to_the_operator() -> None:
    fleet = up(4)
    fleet.routers["r7"].reasons = ("$.classes: not in this build",)
    assert fleet.change(b"second " + REFUSED) == "aborted"
    (outcome,) = fleet.outcomes.values()
    assert outcome.reasons == ("r7: $.classes: not in this build",)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    well(fleet, 1)


def test_a_dry_run_asks_every_router_and_changes_nothing() -> None:
    fleet = up(5)
    assert fleet.change(b"second", dry=True) == "fine"
    fleet.routers["r6"].reasons = ("no",)
    assert fleet.change(b"third " + REFUSED, dry=True) == "refused"
    assert list(fleet.outcomes.values())[-1].reasons == ("r6: no",)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.lapses() == []
    well(fleet, 1)


def test_an_aggregator_of_a_voters_name() -> None:
    """A voter's machine may run an aggregator as well, under the same name; both may be lost at once."""
    fleet = FleetWorld(6, 7, 3, LEASE, aggregators=1)
    fleet.add_aggregator("a-r0", name="r0")
    for key in leaves(fleet):
        fleet.join_zone(key, 0)
    for key in fleet.members:
        fleet.start(key)
    fleet.run(SETTLED)
    assert fleet.clients_of("r0") and fleet.clients_of("a0")
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.change(b"second") == "in force"
    fleet.kill("r0")
    fleet.kill("a-r0")
    assert fleet.change(b"third") == "in force"
    fleet.start("r0")
    fleet.start("a-r0")
    well(fleet, 3)


# ---- an aggregator is gone


@pytest.mark.parametrize("seed", range(6))
def test_its_death_costs_its_routers_no_lapse(seed: int) -> None:
    fleet = up(10 + seed)
    for key in fleet.aggregators:
        fleet.run(0.37 * seed)
        begin = fleet.world.now()
        fleet.kill(key)
        fleet.run(3 * LEASE)
        assert fleet.lapses(begin) == []
        fleet.start(key)
        fleet.run(2 * LEASE)
        assert fleet.lapses(begin) == []
    assert fleet.breaks == []


@pytest.mark.parametrize("delay", [0.0, 0.003, 0.01, 0.03])
@pytest.mark.parametrize("moment", [checking, closing])
def test_killed_in_a_change(moment: Callable[[FleetWorld], Callable[[], bool]], delay: float) -> None:
    """While the change is checked, and while leases run out."""
    fleet = up(20)
    seen = moment(fleet)

    def later() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.kill("a0"))

    fleet.when(seen, later)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + QUICK
    assert fleet.aggregators["a0"].host is None
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    lapses = fleet.lapses(begin)  # no more than those of any switch
    assert {(lapse.before, lapse.after) for lapse in lapses} <= {(1, 2)}
    assert max((lapse.length for lapse in lapses), default=0.0) < SWITCH
    fleet.start("a0")
    well(fleet, 2)


def test_killed_and_started_in_a_change() -> None:
    """A new incarnation knows nothing; what the old one held has to run out."""
    for step in range(10):
        fleet = up(21)

        def again(fleet: FleetWorld = fleet) -> None:
            fleet.kill("a0")
            fleet.start("a0")

        fleet.world.at(fleet.world.now() + 0.2 + 0.06 * step, again)
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        assert fleet.world.now() - begin < EXPIRY + QUICK
        well(fleet, 2)


@pytest.mark.parametrize("timers_first", [False, True])
@pytest.mark.parametrize("aggregators", [1, 2])
def test_stopped_across_the_switch_and_gone_on(aggregators: int, timers_first: bool) -> None:
    fleet = up(22, aggregators=aggregators)
    fleet.when(closing(fleet), lambda: fleet.pause("a0"))
    assert fleet.change(b"second") == "in force"
    assert fleet.newest == 2 and fleet.aggregators["a0"].paused
    if aggregators == 1:  # its routers have nowhere to go
        fleet.run(EXPIRY)
        assert set(fleet.serving()) == set(fleet.voters)
    fleet.resume("a0", timers_first)
    well(fleet, 2)


@pytest.mark.parametrize("timers_first", [False, True])
def test_stopped_while_a_change_is_checked_and_gone_on(timers_first: bool) -> None:
    for seconds in (0.3, 1.5, 3.0, 5.0):
        fleet = up(23, aggregators=1)

        def stop(fleet: FleetWorld = fleet, seconds: float = seconds) -> None:
            fleet.pause("a0")
            fleet.world.at(fleet.world.now() + seconds, lambda: fleet.resume("a0", timers_first))

        fleet.when(checking(fleet), stop)
        assert fleet.change(b"second") == "in force"
        well(fleet, 2)


def test_a_whole_zone_of_them_is_gone() -> None:
    """Its routers stop by themselves, the change goes on without them, and they come back under the new policy."""
    fleet = up(24, routers=9, aggregators=4, zones=2)
    zone = [key for key, one in fleet.aggregators.items() if one.zone == 0]
    routers = {key for key in leaves(fleet) if fleet.routers[key].aggregators[0] in zone}
    assert len(zone) == 2 and len(routers) == 3

    def gone() -> None:
        for key in zone:
            fleet.kill(key)

    fleet.when(checking(fleet), gone)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + QUICK
    assert fleet.serving() == {key: 2 for key in fleet.names if key not in routers}
    fleet.run(3 * LEASE)
    assert fleet.serving() == {key: 2 for key in fleet.names if key not in routers}
    fleet.start(zone[0])
    fleet.run_until(lambda: fleet.serving() == dict.fromkeys(fleet.names, 2), 2 * LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.start(zone[1])
    well(fleet, 2)


def test_two_of_one_name() -> None:
    """The second one is turned away, also where routers have its address; a restart is no double."""
    fleet = up(25)
    twin = fleet.add_aggregator("a0 twice", name="a0")
    fleet.start("a0 twice")
    strays = fleet.clients_of("a0")
    assert strays
    for key in strays:
        relay = fleet.relays[key, "a0"]
        relay.target = lambda: fleet.ports["a0 twice"]
        relay.end()
    fleet.run(3.0)
    assert "is here already" in twin.ousted
    assert fleet.change(b"second") == "in force"
    for key in strays:
        fleet.relays[key, "a0"].target = lambda: fleet.ports["a0"]
    fleet.kill("a0")
    fleet.start("a0")
    fleet.run(SETTLED)
    assert not fleet.aggregators["a0"].ousted
    well(fleet, 2)


# ---- links


@pytest.mark.parametrize("way", WAYS)
def test_cut_off_from_voters_but_not_from_its_routers(way: str | None) -> None:
    """They lease from the standby, and the change waits no longer than for the lost leases."""
    fleet = up(30)
    fleet.cut_off("a0", way=way, others=fleet.voters)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + QUICK
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.heal()
    well(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
def test_the_only_one_is_cut_off_from_voters(way: str | None) -> None:
    """Its routers stop by the end of its own lease, whatever it tells them."""
    fleet = up(31, aggregators=1)
    fleet.cut_off("a0", way=way, others=fleet.voters)
    begin = fleet.world.now()
    fleet.run(EXPIRY)
    assert set(fleet.serving()) == set(fleet.voters)
    assert {lapse.router for lapse in fleet.lapses(begin)} == set(leaves(fleet))
    assert fleet.change(b"second") == "in force"
    assert set(fleet.serving()) == set(fleet.voters)
    fleet.heal()
    well(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("moment", [checking, closing])
def test_cut_off_from_voters_in_a_change(
    moment: Callable[[FleetWorld], Callable[[], bool]], way: str | None
) -> None:
    for aggregators in (1, 2):
        fleet = up(32, aggregators=aggregators)
        fleet.when(moment(fleet), lambda fleet=fleet: fleet.cut_off("a0", way=way, others=fleet.voters))  # type: ignore[misc]
        assert fleet.change(b"second") == "in force"
        fleet.heal()
        well(fleet, 2)


@pytest.mark.parametrize("way", WAYS)
def test_cut_off_from_its_routers_alone(way: str | None) -> None:
    """They lease from the standby without a lapse; the change waits for no more than the sub-leases that were out."""
    fleet = up(33)
    begin = fleet.world.now()
    fleet.cut_off("a0", way=way, others=tuple(leaves(fleet)))
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < EXPIRY + QUICK
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert [lapse for lapse in fleet.lapses(begin) if lapse.before == lapse.after] == []
    fleet.heal()
    well(fleet, 2)


def test_a_stalled_link_to_its_aggregator_costs_no_lapse() -> None:
    fleet = up(34)
    begin = fleet.world.now()
    router = fleet.clients_of("a0")[0]
    fleet.cut_off(router, others=("a0",))
    fleet.run(3 * LEASE)
    assert fleet.lapses(begin) == []
    fleet.heal()
    well(fleet, 1)


def test_a_stalled_link_to_a_voter_costs_no_lapse() -> None:
    fleet = up(35)
    begin = fleet.world.now()
    fleet.cut_off("a0", others=("r1",))
    fleet.run(3 * LEASE)
    assert fleet.lapses(begin) == []
    fleet.heal()
    well(fleet, 1)


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.005, 0.02])
@pytest.mark.parametrize("moment", [checking, closing])
def test_a_router_moves_between_two_aggregators_in_a_change(
    moment: Callable[[FleetWorld], Callable[[], bool]], delay: float
) -> None:
    fleet = up(36)
    router = fleet.clients_of("a0")[0]

    def move() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.cut_off(router, others=("a0",)))

    fleet.when(moment(fleet), move)
    assert fleet.change(b"second") == "in force"
    fleet.run(LEASE)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    fleet.heal()
    well(fleet, 2)


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.005, 0.02, 0.1])
def test_a_router_that_refuses_moves_while_it_is_asked(delay: float) -> None:
    """Its refusal is not lost on the way: it never serves on beside a policy that it refuses."""
    fleet = up(37)
    router = fleet.clients_of("a0")[0]
    fleet.routers[router].reasons = ("no",)

    def move() -> None:
        fleet.world.at(fleet.world.now() + delay, lambda: fleet.cut_off(router, others=("a0",)))

    fleet.when(checking(fleet), move)
    assert fleet.change(b"second " + REFUSED) == "aborted"
    assert f"{router}: no" in list(fleet.outcomes.values())[-1].reasons
    fleet.heal()
    well(fleet, 1)


# ---- voters


def test_the_voters_majority_is_gone_and_comes_back() -> None:
    fleet = up(40)
    for key in ("r0", "r1"):
        fleet.cut_off(key)
    fleet.run(EXPIRY)
    assert fleet.serving() == {}
    assert fleet.change(b"second", voter="r2", seconds=3.0) == "unknown"
    fleet.heal()
    fleet.run(SETTLED)
    epoch = fleet.newest
    well(fleet, epoch)


def test_all_voters_killed_and_started_again() -> None:
    fleet = up(41)
    assert fleet.change(b"second") == "in force"
    for key in fleet.voters:
        fleet.kill(key)
    fleet.run(0.5)
    for key in fleet.voters:
        fleet.start(key)
    fleet.run(SETTLED)
    well(fleet, 2)


def test_the_voters_majority_goes_in_a_change() -> None:
    for moment in (checking, closing):
        fleet = up(42)

        def cut(fleet: FleetWorld = fleet) -> None:
            for key in ("r0", "r1"):
                fleet.cut_off(key)

        fleet.when(moment(fleet), cut)
        fleet.world.at(fleet.world.now() + 3 * LEASE, fleet.heal)
        assert fleet.change(b"second") in ("in force", "aborted")
        fleet.run(SETTLED)
        well(fleet, fleet.newest)


# ---- routers come and go


def change_after(seed: int, act: Callable[[FleetWorld, str], None]) -> float:
    """Seconds that a change takes after this was done to a router that leases from an aggregator."""
    fleet = up(seed)
    act(fleet, "r7")
    fleet.run(0.01)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    taken = fleet.world.now() - begin
    fleet.start("r7")
    well(fleet, 2)
    return taken


@pytest.mark.parametrize("seed", [50, 51, 52])
def test_a_router_that_leaves_delays_no_change(seed: int) -> None:
    assert change_after(seed, FleetWorld.leave) < QUICK - 1.0
    assert change_after(seed, FleetWorld.kill) > LEASE / 4  # what it saves


def test_a_router_leaves_in_a_change() -> None:
    for moment in (checking, closing):
        fleet = up(53)
        fleet.when(moment(fleet), lambda fleet=fleet: fleet.leave("r7"))  # type: ignore[misc]
        begin = fleet.world.now()
        assert fleet.change(b"second") == "in force"
        assert fleet.world.now() - begin < QUICK
        fleet.start("r7")
        well(fleet, 2)


def test_a_router_that_starts_in_a_change_serves_no_policy_that_it_refuses() -> None:
    for delay in (0.0, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4):
        fleet = up(54)
        fleet.kill("r7")
        fleet.run(SETTLED)
        fleet.routers["r7"].reasons = ("no",)

        def start(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.start("r7"))

        fleet.when(checking(fleet), start)
        result = fleet.change(b"second " + REFUSED)
        fleet.run(SETTLED)
        assert fleet.serving().get("r7") == (None if result == "in force" else 1)
        assert fleet.breaks == []


# ---- everything at once


@pytest.mark.parametrize("seeds", [range(place, place + 6) for place in range(0, SEEDS_IN_CI, 6)])
def test_faults_of_all_kinds_together(seeds: range) -> None:
    """More seeds: `python -m banklift.rig.seeds --from 0 --count 200`."""
    reports = [play(seed, aggregated=True) for seed in seeds]
    assert {report.seed: report.faults for report in reports if report.faults} == {}
    cases = total(reports)
    for case in (
        "told in force",
        "never mixed: adopted while another served",
        "contained: sub-leases granted",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert cases[case] > 10, cases
