"""Injected bugs of lease aggregators: each breaks one rule of their safety, and a scenario in virtual time finds it.

Every scenario passes with the code as it is. Each bug names the scenarios that have to find it, and each of them is
run with the bug.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import pytest

from banklift.fleet import holder, parent_lease
from banklift.fleet.aggregator import Aggregator
from banklift.fleet.holder import LeaseHolder
from banklift.fleet.holder_table import HolderEntry, HolderTable
from banklift.fleet.lease import LeaseClient
from banklift.fleet.messages import LeaseGrant, LeaseRequest
from banklift.fleet.parent_lease import ParentLease, Window
from banklift.fleet.state import Stage
from banklift.fleet.sub_lease_table import SubLease, SubLeaseTable, Terms
from banklift.rig.world import REFUSAL_MARKER, FleetWorld

Patch = pytest.MonkeyPatch
LEASE = 4.0  # seconds
SETTLE_TIME = 6.0  # seconds after a start until voters know all leases


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet: three of the routers are voters, all others lease from aggregators."""

    routers: int
    aggregators: int


ONE_AGGREGATOR = Size(routers=5, aggregators=1)  # r3 and r4 lease from a0
TWO_AGGREGATORS = Size(routers=7, aggregators=2)  # four routers lease from these, each with a standby


def settled_fleet(
    seed: int, size: Size, rates: dict[str, float] | None = None, down: tuple[str, ...] = ()
) -> FleetWorld:
    """A fleet that has run for `SETTLE_TIME`. `rates`: of the members' clocks; `down`: members that are not started."""
    fleet = FleetWorld(seed, size.routers, 3, LEASE, aggregators=size.aggregators)
    for key, rate in (rates or {}).items():
        fleet.members[key].rate = rate
    for key in fleet.members:
        if key not in down:
            fleet.start(key)
    fleet.run(SETTLE_TIME)
    return fleet


def violations(fleet: FleetWorld, result: str, expected: str = "in force") -> list[str]:
    """The invariants that were broken, and the result of the change if it is not the expected one."""
    return fleet.violations + ([] if result == expected else [f"the change was {result}"])


def at_stage(fleet: FleetWorld, stage: Stage, act: Callable[[], None]) -> None:
    """Call `act` once when the change under way has reached the stage."""
    fleet.when(lambda: fleet.stage() == stage, act)


# ---- scenarios: each returns the violations that it found, none if the code is right


def change_with_all_members_up() -> list[str]:
    """A change takes hold on all members."""
    fleet = settled_fleet(12, TWO_AGGREGATORS)
    found = violations(fleet, fleet.change(b"second"))
    fleet.run(1.0)
    return found + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not all serve"])


def router_restarts_after_switch() -> list[str]:
    """A router that restarts after a change serves the new policy."""
    fleet = settled_fleet(14, TWO_AGGREGATORS)
    found = violations(fleet, fleet.change(b"second"))
    fleet.kill("r6")
    fleet.start("r6")
    fleet.run(1.0)
    return (
        found
        + fleet.violations
        + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not all serve"])
    )


def aggregator_cut_off_from_voters() -> list[str]:
    """The only aggregator gets no answers from the voters, while its routers go on requesting sub-leases."""
    fleet = settled_fleet(1, ONE_AGGREGATOR)
    fleet.stall_links("a0", fleet.voters, "back")
    return violations(fleet, fleet.change(b"second"))


def aggregator_cut_off_during_closing() -> list[str]:
    """The only aggregator is cut off from the voters, in one direction, once the change is agreed."""
    found = []
    for way in ("there", "back"):
        fleet = settled_fleet(2, ONE_AGGREGATOR)
        at_stage(fleet, Stage.AGREED, lambda fleet=fleet, way=way: fleet.stall_links("a0", fleet.voters, way))  # type: ignore[misc]
        found += violations(fleet, fleet.change(b"second"))
    return found


def router_cut_off_during_closing() -> list[str]:
    """A router is cut off once the change is agreed. Its sub-lease is longer than the leases that voters grant then."""
    fleet = settled_fleet(3, ONE_AGGREGATOR)
    at_stage(fleet, Stage.AGREED, lambda: fleet.stall_links("r4", ("a0",)))
    return violations(fleet, fleet.change(b"second"))


def router_cut_off_before_switch() -> list[str]:
    """A router is cut off after it was told when the next epoch begins."""
    found = []
    for delay in (0.1, 0.2, 0.3, 0.4):
        fleet = settled_fleet(4, ONE_AGGREGATOR)

        def cut_off_later(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.stall_links("r4", ("a0",)))

        at_stage(fleet, Stage.AGREED, cut_off_later)
        found += violations(fleet, fleet.change(b"second"))
    return found


def aggregator_restarts_while_its_router_is_cut_off() -> list[str]:
    """The new incarnation does not know of the router, which holds a sub-lease of the old one."""
    fleet = settled_fleet(5, ONE_AGGREGATOR)
    fleet.stall_links("r4", ("a0",))
    fleet.run(0.1)
    fleet.kill("a0")
    fleet.start("a0")
    return violations(fleet, fleet.change(b"second"))


def aggregator_on_slow_links() -> list[str]:
    """Answers to the aggregator and its routers are delayed; then nothing that it sends reaches the voters."""
    fleet = settled_fleet(6, ONE_AGGREGATOR)
    for relay in fleet.links("a0"):
        relay.fault("back", "delay", 0.4)
    fleet.run(2 * LEASE)
    fleet.stall_links("a0", fleet.voters, "there")
    fleet.run(0.5)
    return violations(fleet, fleet.change(b"second"))


def router_on_slow_link() -> list[str]:
    """While leases are short a router gets one that has ended when it arrives, in place of a longer one."""
    found = []
    for step in range(10):
        fleet = settled_fleet(15, ONE_AGGREGATOR)
        for relay in fleet.links("r4", ("a0",)):
            relay.fault("there", "delay", 0.3 + 0.02 * step)
        fleet.run(LEASE)
        found += violations(fleet, fleet.change(b"second"))
    return found


def clocks_at_drift_bound() -> list[str]:
    """The clocks of the voters are fast, that of the aggregator is slow, and those of its routers are fast or slow, as
    far apart as `drift` allows."""
    found = []
    for step in range(8):
        rates = {"r0": 1.005, "r1": 1.005, "r2": 1.005, "a0": 0.995, "r3": 0.995, "r4": 1.005}
        fleet = settled_fleet(7, ONE_AGGREGATOR, rates)

        def cut_off(fleet: FleetWorld = fleet) -> None:
            fleet.stall_links("r3")
            fleet.stall_links("a0", fleet.voters)

        fleet.world.at(fleet.world.now() + 0.2 + 0.02 * step, cut_off)
        found += violations(fleet, fleet.change(b"second"))
    return found


def router_refuses() -> list[str]:
    """A router refuses the policy: the change is aborted, and the old policy stays in force."""
    fleet = settled_fleet(8, TWO_AGGREGATORS)
    fleet.routers["r6"].refusal_reasons = ("no",)
    found = violations(fleet, fleet.change(b"second " + REFUSAL_MARKER), "aborted")
    return found + ([] if fleet.serving() == dict.fromkeys(fleet.names, 1) else ["not all serve"])


def router_refuses_after_restart() -> list[str]:
    """A router accepts and restarts; its next incarnation, of another build, refuses. Meanwhile the change waits for
    another router, which is cut off."""
    fleet = settled_fleet(9, ONE_AGGREGATOR)

    def restart() -> None:
        fleet.kill("r4")
        fleet.routers["r4"].refusal_reasons = ("no",)
        fleet.start("r4")

    fleet.stall_links("r3")
    at_stage(fleet, Stage.CHECKING, lambda: fleet.world.at(fleet.world.now() + 0.2, restart))
    return violations(fleet, fleet.change(b"second " + REFUSAL_MARKER), "aborted")


def refusal_after_restart_is_lost() -> list[str]:
    """As in `router_refuses_after_restart`, but soon after its restart nothing that the router sends arrives any more.
    It must not get a sub-lease without a verdict of its own."""
    found = []
    for step in range(16):
        fleet = settled_fleet(13, ONE_AGGREGATOR)

        def restart(fleet: FleetWorld = fleet, delay: float = 0.002 * step) -> None:
            fleet.kill("r4")
            fleet.routers["r4"].refusal_reasons = ("no",)
            fleet.start("r4")
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.stall_links("r4", ("a0",), "there"))

        def restart_later(fleet: FleetWorld = fleet, restart: Callable[[], None] = restart) -> None:
            fleet.world.at(fleet.world.now() + 0.2, restart)

        fleet.stall_links("r3")
        at_stage(fleet, Stage.CHECKING, restart_later)
        fleet.change(b"second " + REFUSAL_MARKER)
        found += fleet.violations
    return found


def refusing_router_comes_to_restarted_aggregator() -> list[str]:
    """An aggregator accepts, as none of its routers refuses, and restarts; a router that refuses comes to the new
    incarnation. Meanwhile the change waits for a router of another aggregator, which is cut off."""
    fleet = settled_fleet(10, TWO_AGGREGATORS, down=("r6",))
    fleet.routers["r6"].refusal_reasons = ("no",)
    preferred, standby = fleet.routers["r6"].aggregators
    cut_off_router = fleet.routers_of(standby)[0]

    def restart() -> None:
        fleet.kill(preferred)
        fleet.start(preferred)
        fleet.start("r6")

    fleet.stall_links(cut_off_router)
    at_stage(fleet, Stage.CHECKING, lambda: fleet.world.at(fleet.world.now() + 0.2, restart))
    fleet.change(b"second " + REFUSAL_MARKER)
    return fleet.violations


def refusing_router_starts_late() -> list[str]:
    """A router that refuses starts after its aggregator has accepted, just before or after the change is decided."""
    found = []
    for delay in (0.0, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1):
        fleet = settled_fleet(11, TWO_AGGREGATORS, down=("r6",))
        fleet.routers["r6"].refusal_reasons = ("no",)

        def start_later(fleet: FleetWorld = fleet, delay: float = delay) -> None:
            fleet.world.at(fleet.world.now() + delay, lambda: fleet.start("r6"))

        at_stage(fleet, Stage.CHECKING, start_later)
        result = fleet.change(b"second " + REFUSAL_MARKER)
        fleet.run(SETTLE_TIME)
        found += fleet.violations
        if result == "in force" and "r6" in fleet.serving():
            found.append("r6 serves a policy that it refuses, or an old one")
    return found


SCENARIOS = (
    change_with_all_members_up,
    router_restarts_after_switch,
    aggregator_cut_off_from_voters,
    aggregator_cut_off_during_closing,
    router_cut_off_during_closing,
    router_cut_off_before_switch,
    aggregator_restarts_while_its_router_is_cut_off,
    aggregator_on_slow_links,
    router_on_slow_link,
    clocks_at_drift_bound,
    router_refuses,
    router_refuses_after_restart,
    refusal_after_restart_is_lost,
    refusing_router_comes_to_restarted_aggregator,
    refusing_router_starts_late,
)


# ---- bugs: each function replaces one method by a faulty one


def sub_lease_exceeds_window(patch: Patch) -> None:
    """A sub-lease always has full length, however soon the aggregator's own lease ends."""

    def longest_sub_lease(self: SubLeaseTable, now: float, terms: Terms) -> SubLease:
        current, coming = terms.current, terms.coming
        begin = max(0.0, coming.begin - now) if coming is not None else 0.0
        return SubLease(
            current.epoch if current is not None else 0,
            self.lease if current is not None else 0.0,
            coming.epoch if coming is not None else 0,
            begin,
            self.lease + begin if coming is not None else 0.0,
        )

    patch.setattr(SubLeaseTable, "_longest_sub_lease", longest_sub_lease)


def verdict_taken_from_older_incarnation(patch: Patch) -> None:
    """The verdict of a holder's older incarnation counts for the new one."""
    real_record_request = HolderTable.record_request

    def record_request(self: HolderTable, now: float, entry: HolderEntry, request: LeaseRequest) -> None:
        for older in self.entries.values():
            if (
                older.name == entry.name
                and older.change_id == self.change_id != ""
                and entry.change_id != older.change_id
            ):
                entry.change_id, entry.verdict = older.change_id, older.verdict
        real_record_request(self, now, entry, request)

    patch.setattr(HolderTable, "record_request", record_request)


def seal_forgotten(patch: Patch) -> None:
    """Routers that have not accepted a sealed change get sub-leases."""
    real_seal = SubLeaseTable.seal

    def seal(self: SubLeaseTable, now: float) -> bool:
        sealed = real_seal(self, now)
        self.sealed_change = ""
        return sealed

    patch.setattr(SubLeaseTable, "seal", seal)


def old_epoch_granted_after_switch(patch: Patch) -> None:
    """After a switch the aggregator goes on to grant the old epoch."""
    real_current_window = ParentLease.current_window

    def current_window(self: ParentLease, now: float) -> Window | None:
        window = real_current_window(self, now)
        if window is None or window.epoch == 1:
            return window
        return replace(window, epoch=window.epoch - 1)

    def forget_old_epochs(self: ParentLease) -> None:
        return

    patch.setattr(ParentLease, "current_window", current_window)
    patch.setattr(ParentLease, "_forget_old_epochs", forget_old_epochs)


def older_grants_dropped_too_early(patch: Patch) -> None:
    """Older grants are dropped while sub-leases that end after the newest windows are outstanding."""

    def drop_older_grants(self: Aggregator, now: float) -> None:
        self.parent.drop_older_grants()

    patch.setattr(Aggregator, "_drop_older_grants", drop_older_grants)


def grant_counted_from_receipt(patch: Patch) -> None:
    """A grant counts from the arrival of the answer in place of the sending of the request."""
    real_record_answer = LeaseHolder._record_answer

    def record_answer(self: LeaseHolder, now: float, name: str, sent_at: float, grant: LeaseGrant) -> None:
        real_record_answer(self, now, name, now, grant)

    patch.setattr(LeaseHolder, "_record_answer", record_answer)


def earlier_end_not_announced(patch: Patch) -> None:
    """A router does not stop when its lease ends before the end that was announced last."""

    def stop_serving(self: LeaseClient, now: float, has_lease: bool, decided: list[holder.Action]) -> None:
        return

    patch.setattr(LeaseClient, "_stop_serving", stop_serving)


def drift_ignored(patch: Patch) -> None:
    """Neither aggregators nor holders allow for the drift of clocks."""
    real_table_init = SubLeaseTable.__init__
    real_holder_init = LeaseHolder.__init__

    def table_init(self: SubLeaseTable, lease: float, drift: float) -> None:
        real_table_init(self, lease, 0.0)

    def holder_init(
        self: LeaseHolder, grantors: tuple[str, ...], lease: float, drift: float, random: Random
    ) -> None:
        real_holder_init(self, grantors, lease, 0.0, random)

    patch.setattr(SubLeaseTable, "__init__", table_init)
    patch.setattr(LeaseHolder, "__init__", holder_init)


def lease_of_older_incarnation_forgotten(patch: Patch) -> None:
    """A grantor forgets the leases of a holder's older incarnations."""
    real_record_request = HolderTable.record_request

    def record_request(self: HolderTable, now: float, entry: HolderEntry, request: LeaseRequest) -> None:
        for key, older in list(self.entries.items()):
            if older.name == entry.name and older is not entry:
                del self.entries[key]
                for index in (self.lease_ends, self.unanswered, self.refusing):
                    index.discard(key)
        real_record_request(self, now, entry, request)

    patch.setattr(HolderTable, "record_request", record_request)


def next_epoch_begins_at_once(patch: Patch) -> None:
    """A sub-lease on the next epoch begins at once, not when the window for that epoch does."""
    real_longest_sub_lease = SubLeaseTable._longest_sub_lease

    def longest_sub_lease(self: SubLeaseTable, now: float, terms: Terms) -> SubLease:
        sub_lease = real_longest_sub_lease(self, now, terms)
        return replace(sub_lease, epoch=0, ttl=0.0, begin=0.0) if sub_lease.next_epoch else sub_lease

    patch.setattr(SubLeaseTable, "_longest_sub_lease", longest_sub_lease)


def accepted_before_all_answered(patch: Patch) -> None:
    """An aggregator accepts a change before its routers have answered."""

    def accepted_by_all(self: SubLeaseTable, now: float) -> bool:
        return True

    patch.setattr(SubLeaseTable, "accepted_by_all", accepted_by_all)


def one_voter_is_a_majority(patch: Patch) -> None:
    """An aggregator needs the lease of one voter only."""
    patch.setattr(parent_lease, "majority", lambda voters: 1)


@dataclass(frozen=True, slots=True)
class InjectedBug:
    """A bug, and the scenarios that have to find it."""

    inject: Callable[[Patch], None]
    found_by: tuple[Callable[[], list[str]], ...]


BUGS = (
    InjectedBug(
        sub_lease_exceeds_window, (aggregator_cut_off_from_voters, aggregator_cut_off_during_closing)
    ),
    InjectedBug(verdict_taken_from_older_incarnation, (refusal_after_restart_is_lost,)),
    InjectedBug(seal_forgotten, (refusing_router_starts_late,)),
    InjectedBug(old_epoch_granted_after_switch, (router_restarts_after_switch,)),
    InjectedBug(older_grants_dropped_too_early, (router_cut_off_during_closing,)),
    InjectedBug(grant_counted_from_receipt, (aggregator_on_slow_links,)),
    InjectedBug(earlier_end_not_announced, (router_on_slow_link,)),
    InjectedBug(drift_ignored, (clocks_at_drift_bound,)),
    InjectedBug(lease_of_older_incarnation_forgotten, (aggregator_restarts_while_its_router_is_cut_off,)),
    InjectedBug(next_epoch_begins_at_once, (router_cut_off_before_switch,)),
    InjectedBug(accepted_before_all_answered, (router_refuses,)),
    InjectedBug(one_voter_is_a_majority, (aggregator_cut_off_from_voters,)),
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_a_scenario_finds_no_violation_without_a_bug(scenario: Callable[[], list[str]]) -> None:
    assert scenario() == []


def violations_or_assertion(scenario: Callable[[], list[str]]) -> list[str]:
    """The violations that a scenario finds, or the assertion of the program that fails during it."""
    try:
        return scenario()
    except AssertionError as error:
        return [f"assertion: {error}"]


@pytest.mark.parametrize("bug", BUGS, ids=lambda bug: bug.inject.__name__)
def test_an_injected_bug_is_found(bug: InjectedBug, monkeypatch: Patch) -> None:
    bug.inject(monkeypatch)
    for scenario in bug.found_by:
        assert violations_or_assertion(scenario), f"{scenario.__name__} finds nothing"
