"""Planted bugs of lease aggregators: each breaks one thing that containment rests on, and is caught in virtual time.

Every scenario passes without a bug (`test_nothing_to_complain_of`); for each bug the scenarios are named that have to
catch it, and each of these does.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import pytest

from banklift.fleet import holder, parent_lease
from banklift.fleet.aggregator import Aggregator
from banklift.fleet.holder import LeaseHolder
from banklift.fleet.holder_table import Entry, HolderTable
from banklift.fleet.lease import LeaseClient
from banklift.fleet.messages import LeaseGrant, LeaseRequest
from banklift.fleet.parent_lease import ParentLease, Window
from banklift.fleet.state import Stage
from banklift.fleet.sub_lease_table import SubLease, SubLeaseTable, Terms
from banklift.rig.world import REFUSED, FleetWorld

Patch = pytest.MonkeyPatch
LEASE = 4.0  # seconds
SETTLED = 6.0  # seconds after which voters know all leases


@dataclass(frozen=True, slots=True)
class Size:
    """Of a fleet: three of the routers are voters, all others lease from aggregators."""

    routers: int
    aggregators: int


ALONE = Size(routers=5, aggregators=1)  # r3 and r4 lease from a0
PAIR = Size(routers=7, aggregators=2)  # four routers, and a standby for each


def up(
    seed: int, size: Size, rates: dict[str, float] | None = None, down: tuple[str, ...] = ()
) -> FleetWorld:
    """A fleet that has settled. `rates`: of clocks; `down`: members that are not started."""
    fleet = FleetWorld(seed, size.routers, 3, LEASE, aggregators=size.aggregators)
    for key, rate in (rates or {}).items():
        fleet.members[key].rate = rate
    for key in fleet.members:
        if key not in down:
            fleet.start(key)
    fleet.run(SETTLED)
    return fleet


def complaints(fleet: FleetWorld, result: str, wanted: str = "in force") -> list[str]:
    return fleet.breaks + ([] if result == wanted else [f"the change was {result}"])


def at_stage(fleet: FleetWorld, stage: Stage, act: Callable[[], None]) -> None:
    fleet.when(lambda: fleet.stage() == stage, act)


# ---- scenarios: what they complain of, nothing if all is well


def a_change() -> list[str]:
    fleet = up(12, PAIR)
    found = complaints(fleet, fleet.change(b"second"))
    fleet.run(1.0)
    return found + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not all serve"])


def a_router_restarts_after_the_switch() -> list[str]:
    fleet = up(14, PAIR)
    found = complaints(fleet, fleet.change(b"second"))
    fleet.kill("r6")
    fleet.start("r6")
    fleet.run(1.0)
    return (
        found + fleet.breaks + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not all serve"])
    )


def cut_off_from_voters() -> list[str]:
    """The only aggregator hears nothing from the voters, and its routers go on asking it."""
    fleet = up(1, ALONE)
    fleet.cut_off("a0", fleet.voters, "back")
    return complaints(fleet, fleet.change(b"second"))


def cut_off_from_voters_while_leases_run_out() -> list[str]:
    found = []
    for way in ("there", "back"):
        fleet = up(2, ALONE)
        at_stage(fleet, Stage.AGREED, lambda fleet=fleet, way=way: fleet.cut_off("a0", fleet.voters, way))  # type: ignore[misc]
        found += complaints(fleet, fleet.change(b"second"))
    return found


def a_router_is_cut_off_while_leases_run_out() -> list[str]:
    """It holds a sub-lease that is longer than what the voters grant by then."""
    fleet = up(3, ALONE)
    at_stage(fleet, Stage.AGREED, lambda: fleet.cut_off("r4", ("a0",)))
    return complaints(fleet, fleet.change(b"second"))


def a_router_is_cut_off_before_the_switch() -> list[str]:
    """It has been told when the next epoch begins, and hears nothing more."""
    found = []
    for delay in (0.1, 0.2, 0.3, 0.4):
        fleet = up(4, ALONE)

        def later(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.cut_off("r4", ("a0",)))

        at_stage(fleet, Stage.AGREED, later)
        found += complaints(fleet, fleet.change(b"second"))
    return found


def killed_and_started_beside_a_stray() -> list[str]:
    """The new incarnation knows nothing of a router that the old one gave a sub-lease, and that hears nobody."""
    fleet = up(5, ALONE)
    fleet.cut_off("r4", ("a0",))
    fleet.run(0.1)
    fleet.kill("a0")
    fleet.start("a0")
    return complaints(fleet, fleet.change(b"second"))


def slow_links() -> list[str]:
    """Answers take a while, first to routers and then to the aggregator; then nothing comes through."""
    fleet = up(6, ALONE)
    for relay in fleet.links("a0"):
        relay.fault("back", "delay", 0.4)
    fleet.run(2 * LEASE)
    fleet.cut_off("a0", fleet.voters, "there")
    fleet.run(0.5)
    return complaints(fleet, fleet.change(b"second"))


def a_router_on_a_slow_link() -> list[str]:
    """While leases run out it gets one that is over on its arrival, in place of a longer one."""
    found = []
    for step in range(10):
        fleet = up(15, ALONE)
        for relay in fleet.links("r4", ("a0",)):
            relay.fault("there", "delay", 0.3 + 0.02 * step)
        fleet.run(LEASE)
        found += complaints(fleet, fleet.change(b"second"))
    return found


def clocks() -> list[str]:
    """Clocks of voters are fast, of the aggregator slow, and of its routers fast or slow, as far as is stated."""
    found = []
    for step in range(8):
        rates = {"r0": 1.005, "r1": 1.005, "r2": 1.005, "a0": 0.995, "r3": 0.995, "r4": 1.005}
        fleet = up(7, ALONE, rates)

        def cut(fleet: FleetWorld = fleet) -> None:
            fleet.cut_off("r3")
            fleet.cut_off("a0", fleet.voters)

        fleet.world.at(fleet.world.now() + 0.2 + 0.02 * step, cut)
        found += complaints(fleet, fleet.change(b"second"))
    return found


def a_router_refuses() -> list[str]:
    fleet = up(8, PAIR)
    fleet.routers["r6"].reasons = ("no",)
    found = complaints(fleet, fleet.change(b"second " + REFUSED), "aborted")
    return found + ([] if fleet.serving() == dict.fromkeys(fleet.names, 1) else ["not all serve"])


def a_router_restarts_and_refuses() -> list[str]:
    """It has accepted; its next incarnation, of another build, refuses. The change waits for somebody else."""
    fleet = up(9, ALONE)

    def restart() -> None:
        fleet.kill("r4")
        fleet.routers["r4"].reasons = ("no",)
        fleet.start("r4")

    fleet.cut_off("r3")
    at_stage(fleet, Stage.CHECKING, lambda: fleet.world.at(fleet.world.now() + 0.2, restart))
    return complaints(fleet, fleet.change(b"second " + REFUSED), "aborted")


def a_router_restarts_and_its_refusal_is_lost() -> list[str]:
    """As before, and nothing comes through from it soon after: it has no sub-lease that it was not asked for."""
    found = []
    for step in range(16):
        fleet = up(13, ALONE)

        def restart(fleet: FleetWorld = fleet, delay: float = 0.002 * step) -> None:
            fleet.kill("r4")
            fleet.routers["r4"].reasons = ("no",)
            fleet.start("r4")
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.cut_off("r4", ("a0",), "there"))

        def later(fleet: FleetWorld = fleet, restart: Callable[[], None] = restart) -> None:
            fleet.world.at(fleet.world.now() + 0.2, restart)

        fleet.cut_off("r3")
        at_stage(fleet, Stage.CHECKING, later)
        fleet.change(b"second " + REFUSED)
        found += fleet.breaks
    return found


def an_aggregator_restarts_beside_a_router_that_refuses() -> list[str]:
    """Its old incarnation has accepted, for no router of it refused; a router that refuses comes to the new one. The
    change waits for a router of another aggregator."""
    fleet = up(10, PAIR, down=("r6",))
    fleet.routers["r6"].reasons = ("no",)
    preferred, standby = fleet.routers["r6"].aggregators
    waited_for = fleet.clients_of(standby)[0]

    def restart() -> None:
        fleet.kill(preferred)
        fleet.start(preferred)
        fleet.start("r6")

    fleet.cut_off(waited_for)
    at_stage(fleet, Stage.CHECKING, lambda: fleet.world.at(fleet.world.now() + 0.2, restart))
    fleet.change(b"second " + REFUSED)
    return fleet.breaks


def a_router_that_refuses_comes_late() -> list[str]:
    """Its aggregator has told that all accept; the change is still being decided, or has just been."""
    found = []
    for delay in (0.0, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1):
        fleet = up(11, PAIR, down=("r6",))
        fleet.routers["r6"].reasons = ("no",)

        def later(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.start("r6"))

        at_stage(fleet, Stage.CHECKING, later)
        result = fleet.change(b"second " + REFUSED)
        fleet.run(SETTLED)
        found += fleet.breaks
        if result == "in force" and "r6" in fleet.serving():
            found.append("r6 serves a policy that it refuses, or an old one")
    return found


SCENARIOS = (
    a_change,
    a_router_restarts_after_the_switch,
    cut_off_from_voters,
    cut_off_from_voters_while_leases_run_out,
    a_router_is_cut_off_while_leases_run_out,
    a_router_is_cut_off_before_the_switch,
    killed_and_started_beside_a_stray,
    slow_links,
    a_router_on_a_slow_link,
    clocks,
    a_router_refuses,
    a_router_restarts_and_refuses,
    a_router_restarts_and_its_refusal_is_lost,
    an_aggregator_restarts_beside_a_router_that_refuses,
    a_router_that_refuses_comes_late,
)


# ---- bugs


def a_sub_lease_longer_than_its_parents(patch: Patch) -> None:
    def contained(self: SubLeaseTable, now: float, terms: Terms) -> SubLease:
        current, coming = terms.current, terms.coming
        begin = max(0.0, coming.begin - now) if coming is not None else 0.0
        return SubLease(
            current.epoch if current is not None else 0,
            self.lease if current is not None else 0.0,
            coming.epoch if coming is not None else 0,
            begin,
            self.lease + begin if coming is not None else 0.0,
        )

    patch.setattr(SubLeaseTable, "_longest_sub_lease", contained)


def a_verdict_believed_from_an_older_incarnation(patch: Patch) -> None:
    real = HolderTable.record_request

    def heard(self: HolderTable, now: float, entry: Entry, request: LeaseRequest) -> None:
        for older in self.entries.values():
            if (
                older.name == entry.name
                and older.change == self.change_id != ""
                and entry.change != older.change
            ):
                entry.change, entry.verdict = older.change, older.verdict
        real(self, now, entry, request)

    patch.setattr(HolderTable, "record_request", heard)


def a_seal_forgotten(patch: Patch) -> None:
    real = SubLeaseTable.seal

    def seal(self: SubLeaseTable, now: float) -> bool:
        sealed = real(self, now)
        self.sealed = ""
        return sealed

    patch.setattr(SubLeaseTable, "seal", seal)


def a_grant_on_the_old_epoch_after_the_switch(patch: Patch) -> None:
    real = ParentLease.current_window

    def current(self: ParentLease, now: float) -> Window | None:
        window = real(self, now)
        if window is None or window.epoch == 1:
            return window
        return replace(window, epoch=window.epoch - 1)

    def forget(self: ParentLease) -> None:
        return

    patch.setattr(ParentLease, "current_window", current)
    patch.setattr(ParentLease, "_forget_old_epochs", forget)


def older_grants_given_up_while_longer_sub_leases_are_out(patch: Patch) -> None:
    def give_up(self: Aggregator, now: float) -> None:
        self.parent.drop_older_grants()

    patch.setattr(Aggregator, "_drop_older_grants", give_up)


def counted_from_receipt(patch: Patch) -> None:
    real = LeaseHolder._record_answer

    def count(self: LeaseHolder, now: float, name: str, sent: float, grant: LeaseGrant) -> None:
        real(self, now, name, now, grant)

    patch.setattr(LeaseHolder, "_record_answer", count)


def an_end_that_comes_sooner_is_not_told(patch: Patch) -> None:
    def stop(self: LeaseClient, now: float, refused: bool, told: list[holder.Action]) -> None:
        return

    patch.setattr(LeaseClient, "_stop_serving", stop)


def drift_left_out(patch: Patch) -> None:
    real_table, real_holder = SubLeaseTable.__init__, LeaseHolder.__init__

    def table(self: SubLeaseTable, lease: float, drift: float) -> None:
        real_table(self, lease, 0.0)

    def holder_(
        self: LeaseHolder, grantors: tuple[str, ...], lease: float, drift: float, random: Random
    ) -> None:
        real_holder(self, grantors, lease, 0.0, random)

    patch.setattr(SubLeaseTable, "__init__", table)
    patch.setattr(LeaseHolder, "__init__", holder_)


def a_lease_of_an_older_incarnation_is_forgotten(patch: Patch) -> None:
    real = HolderTable.record_request

    def heard(self: HolderTable, now: float, entry: Entry, request: LeaseRequest) -> None:
        for key, older in list(self.entries.items()):
            if older.name == entry.name and older is not entry:
                del self.entries[key]
                for index in (self.lease_ends, self.unanswered, self.refusing):
                    index.discard(key)
        real(self, now, entry, request)

    patch.setattr(HolderTable, "record_request", heard)


def the_next_epoch_begins_at_once(patch: Patch) -> None:
    real = SubLeaseTable._longest_sub_lease

    def contained(self: SubLeaseTable, now: float, terms: Terms) -> SubLease:
        given = real(self, now, terms)
        return replace(given, epoch=0, ttl=0.0, begin=0.0) if given.next_epoch else given

    patch.setattr(SubLeaseTable, "_longest_sub_lease", contained)


def accepted_before_all_have_answered(patch: Patch) -> None:
    def accepted(self: SubLeaseTable, now: float) -> bool:
        return True

    patch.setattr(SubLeaseTable, "accepted_by_all", accepted)


def one_voter_is_enough_for_an_aggregator(patch: Patch) -> None:
    patch.setattr(parent_lease, "majority", lambda voters: 1)


@dataclass(frozen=True, slots=True)
class Planted:
    """A bug, and the scenarios that catch it."""

    plant: Callable[[Patch], None]
    caught_by: tuple[Callable[[], list[str]], ...]


BUGS = (
    Planted(
        a_sub_lease_longer_than_its_parents, (cut_off_from_voters, cut_off_from_voters_while_leases_run_out)
    ),
    Planted(a_verdict_believed_from_an_older_incarnation, (a_router_restarts_and_its_refusal_is_lost,)),
    Planted(a_seal_forgotten, (a_router_that_refuses_comes_late,)),
    Planted(a_grant_on_the_old_epoch_after_the_switch, (a_router_restarts_after_the_switch,)),
    Planted(
        older_grants_given_up_while_longer_sub_leases_are_out, (a_router_is_cut_off_while_leases_run_out,)
    ),
    Planted(counted_from_receipt, (slow_links,)),
    Planted(an_end_that_comes_sooner_is_not_told, (a_router_on_a_slow_link,)),
    Planted(drift_left_out, (clocks,)),
    Planted(a_lease_of_an_older_incarnation_is_forgotten, (killed_and_started_beside_a_stray,)),
    Planted(the_next_epoch_begins_at_once, (a_router_is_cut_off_before_the_switch,)),
    Planted(accepted_before_all_have_answered, (a_router_refuses,)),
    Planted(one_voter_is_enough_for_an_aggregator, (cut_off_from_voters,)),
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.__name__)
def test_nothing_to_complain_of(scenario: Callable[[], list[str]]) -> None:
    assert scenario() == []


def found_by(scenario: Callable[[], list[str]]) -> list[str]:
    try:
        return scenario()
    except AssertionError as error:  # one of the program's own
        return [f"assertion: {error}"]


@pytest.mark.parametrize("planted", BUGS, ids=lambda one: one.plant.__name__)
def test_a_planted_bug_is_caught(planted: Planted, monkeypatch: Patch) -> None:
    planted.plant(monkeypatch)
    for scenario in planted.caught_by:
        assert found_by(scenario), f"{scenario.__name__} finds nothing"
