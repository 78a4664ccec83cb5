"""Planted bugs: each one breaks a rule that the fleet's guarantees depend on, and a scenario has to catch it.

All runs are in virtual time. Without a bug no scenario may report anything.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from banklift.fleet import driver, holder, lease_table, register, state, voter
from banklift.fleet import lease as leases
from banklift.fleet.holder_table import HolderEntry
from banklift.fleet.lease import LeaseClient
from banklift.fleet.lease_table import LeaseTable
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Set, Show, Shown
from banklift.fleet.policies import PolicyCache
from banklift.fleet.register import Record, Rejoining
from banklift.rig.world import REFUSAL_MARKER, FleetWorld

Patch = pytest.MonkeyPatch


def started_fleet(seed: int, **rates: float) -> FleetWorld:
    """Five routers, three of them voters, after three seconds. `rates`: clock rates by router, where not 1."""
    fleet = FleetWorld(seed, 5, 3)
    for name, rate in rates.items():
        fleet.routers[name].rate = rate
    for name in fleet.names:
        fleet.start(name)
    fleet.run(3.0)
    return fleet


def cut_links(fleet: FleetWorld, name: str, *ways: str) -> None:
    """Stall the links between a router and the voters, one way or both."""
    for other in fleet.voters:
        for way in ways or ("there", "back"):
            fleet.relays[name, other].fault(way, "stall")


# ---- scenarios: each returns what went wrong; empty if nothing did


def router_cut_off() -> list[str]:
    """A router is cut off from all voters before a change, which has to come in force without it."""
    fleet = started_fleet(1)
    cut_links(fleet, "r4")
    result = fleet.change(b"second")
    return fleet.violations + ([] if result == "in force" else [result])


def router_without_answers() -> list[str]:
    """A router sends requests, and no answer reaches it."""
    fleet = started_fleet(2)
    cut_links(fleet, "r4", "back")
    result = fleet.change(b"second")
    return fleet.violations + ([] if result == "in force" else [result])


def slow_link_that_breaks() -> list[str]:
    """The voters' answers reach a router 0.9 s late; then its requests stop arriving."""
    fleet = started_fleet(3)
    for other in fleet.voters:
        fleet.relays["r4", other].fault("back", "delay", 0.9)
    fleet.run(8.0)
    cut_links(fleet, "r4", "there")
    fleet.run(1.0)
    result = fleet.change(b"second")
    return fleet.violations + ([] if result == "in force" else [result])


def clocks_that_drift_apart() -> list[str]:
    """A router's clock is slow and the voters' are fast, by the allowed drift; it is cut off after it has accepted."""
    found = []
    for step in range(16):
        fleet = started_fleet(4, r0=1.005, r1=1.005, r2=1.005, r4=0.995)
        fleet.world.at(fleet.world.now() + 0.2 + 0.01 * step, lambda fleet=fleet: cut_links(fleet, "r4"))  # type: ignore[misc]
        fleet.change(b"second")
        found += fleet.violations
    return found


def router_that_refuses() -> list[str]:
    """A router refuses the policy: the change is aborted, and all routers go on with the first epoch."""
    fleet = started_fleet(5)
    fleet.routers["r4"].refusal_reasons = ("no",)
    result = fleet.change(b"second " + REFUSAL_MARKER)
    fleet.run(5.0)
    served = fleet.serving()
    return fleet.violations + (
        [] if result == "aborted" and served == dict.fromkeys(fleet.names, 1) else [result]
    )


def router_that_refuses_late() -> list[str]:
    """A router starts after all the others have accepted, and refuses: it may not serve until the change is over."""
    found = []
    for delay in (0.02, 0.05, 0.1, 0.15, 0.2, 0.3):
        fleet = started_fleet(6)
        fleet.kill("r4")
        fleet.run(6.0)
        fleet.routers["r4"].refusal_reasons = ("no",)
        fleet.world.at(fleet.world.now() + 0.2 + delay, lambda fleet=fleet: fleet.start("r4"))  # type: ignore[misc]
        fleet.change(b"second " + REFUSAL_MARKER)
        fleet.run(5.0)
        if fleet.newest_epoch == 2 and fleet.serving().get("r4"):
            found.append("it serves")
        found += fleet.violations
    return found


def change_proposed_again() -> list[str]:
    """A change is proposed again to other voters after its end: each answers "in force", and it is made once."""
    fleet = started_fleet(7)
    answers: list[Any] = []
    fleet.send_request("r0", Show(), answers.append)
    fleet.run(0.5)
    shown = answers.pop()
    assert isinstance(shown, Shown) and shown.state is not None
    for voter_name in ("r0", "r1", "r2", "r1"):
        wanted = Set(f"{shown.state.version}-again", b"second", 10.0)
        fleet.send_request(voter_name, wanted, lambda answer: answers.append(fleet.record_answer(answer)))
        fleet.run(4.0)
    return fleet.violations + [answer for answer in answers if answer != "in force"]


def disk_rolled_back() -> list[str]:
    """One voter is down, one was rolled back to before the change, and the third stops: no voter may vote on that."""
    fleet = started_fleet(8)
    fleet.kill("r2")
    fleet.run(6.0)
    old_content = fleet.routers["r0"].disk.content
    result = fleet.change(b"second")
    fleet.kill("r0")
    fleet.kill("r1")
    fleet.routers["r0"].disk.content = old_content
    fleet.start("r0")
    fleet.start("r2")
    fleet.run(15.0)
    found = list(fleet.violations) + ([] if result == "in force" else [result])
    fleet.start("r1")
    fleet.run(10.0)
    return (
        found
        + fleet.violations
        + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not served"])
    )


def voters_that_restart(times: int = 12) -> list[str]:
    """Two voters are killed and restarted in the middle of a change, while no answer reaches a router."""
    found = []
    for step in range(times):
        fleet = started_fleet(9)
        cut_links(fleet, "r4", "back")
        fleet.run(0.1)

        def restart_voters(fleet: FleetWorld = fleet) -> None:
            for name in ("r1", "r2"):
                fleet.kill(name)
                fleet.start(name)

        fleet.world.at(fleet.world.now() + 0.4 + 0.15 * step, restart_voters)
        fleet.change(b"second")
        fleet.run(6.0)
        found += fleet.violations
    return found


def patience_that_ends_early() -> list[str]:
    """The patience ends while the change is being put in force: it was agreed, so it goes on."""
    found = []
    for patience in (0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 3.0, 3.2, 3.4, 3.6, 3.8, 4.0, 4.2, 4.4, 5.0, 5.5):
        fleet = started_fleet(10)
        cut_links(fleet, "r4")
        fleet.run(0.05)
        fleet.change(b"second", patience=patience)
        fleet.run(10.0)
        found += fleet.violations
    return found


def voters_split() -> list[str]:
    """Two voters on one side and one on the other; both sides have routers, and both propose a change."""
    fleet = started_fleet(11)
    for name, other in (("r1", "r0"), ("r2", "r0"), ("r3", "r0"), ("r4", "r1"), ("r4", "r2")):
        for way in ("there", "back"):
            fleet.relays[name, other].fault(way, "drop")
    fleet.change(b"left", voter="r1", seconds=15.0)
    fleet.change(b"right", voter="r0", seconds=15.0)
    return fleet.violations


SCENARIOS = (
    router_cut_off,
    router_without_answers,
    slow_link_that_breaks,
    clocks_that_drift_apart,
    router_that_refuses,
    router_that_refuses_late,
    change_proposed_again,
    disk_rolled_back,
    voters_that_restart,
    patience_that_ends_early,
    voters_split,
)


# ---- bugs: each patches one rule away


def lease_counted_from_receipt(patch: Patch) -> None:
    """A holder counts a lease from when the grant arrived, rather than from when it was asked for."""
    real = LeaseClient.granted

    def granted(self: LeaseClient, now: float, name: str, grant: LeaseGrant) -> list[holder.Action]:
        grantor = self.grantors[name]
        if grant.number in grantor.pending_requests:
            grantor.pending_requests[grant.number] = now
        return real(self, now, name, grant)

    patch.setattr(LeaseClient, "granted", granted)


def switch_before_the_last_lease_ends(patch: Patch) -> None:
    """A voter switches to the new epoch while leases on the old one are outstanding."""
    real = LeaseTable.tick

    def tick(self: LeaseTable, now: float) -> None:
        if self.closing and self.switch_at == math.inf:
            self.switch_at = now
        real(self, now)

    patch.setattr(LeaseTable, "tick", tick)


def vote_at_once_after_a_start(patch: Patch) -> None:
    """A voter votes after a start without asking the others what it may have promised."""

    def recovered_record(self: Rejoining) -> Record | None:
        return self.record

    patch.setattr(Rejoining, "recovered_record", recovered_record)


def repeated_change_made_twice(patch: Patch) -> None:
    """A change that is proposed again is made again."""
    real = state.propose

    def propose(
        old: state.State, change: str, policy: bytes, by: str, patience: float, dry: bool = False
    ) -> state.State:
        if old.change is None:
            change = f"{old.version}-{change.partition('-')[2]}"
            old = msgspec.structs.replace(old, history=())
        return real(old, change, policy, by, patience, dry)

    patch.setattr(voter, "propose", propose)


def agree_before_all_have_accepted(patch: Patch) -> None:
    """A voter reports that all holders have accepted when some have not."""
    real = LeaseTable.survey

    def survey(self: LeaseTable, now: float) -> lease_table.SurveyResult:
        return replace(real(self, now), sealed=True)

    patch.setattr(LeaseTable, "survey", survey)


def drift_left_out(patch: Patch) -> None:
    """Leases are counted as if all clocks ran at one rate."""
    real_table, real_leases = LeaseTable.__init__, LeaseClient.__init__

    def table(self: LeaseTable, lease: float, drift: float) -> None:
        real_table(self, lease, 0.0)

    def client(self: LeaseClient, voters: tuple[str, ...], lease: float, drift: float, *more: Any) -> None:
        real_leases(self, voters, lease, 0.0, *more)

    patch.setattr(LeaseTable, "__init__", table)
    patch.setattr(LeaseClient, "__init__", client)


def old_leases_granted_past_the_switch(patch: Patch) -> None:
    """A voter grants full leases on the old epoch past its switch to the new one."""
    real = LeaseTable._grant

    def grant(self: LeaseTable, now: float, entry: HolderEntry, request: LeaseRequest) -> LeaseGrant:
        given = real(self, now, entry, request)
        return msgspec.structs.replace(given, ttl=self.lease) if given.ttl else given

    patch.setattr(LeaseTable, "_grant", grant)


def outstanding_grants_forgotten(patch: Patch) -> None:
    """A voter forgets grants that the holder still counts."""
    real = LeaseTable.request

    def request(
        self: LeaseTable, now: float, name: str, incarnation: int, asked: LeaseRequest
    ) -> LeaseGrant | None:
        if (entry := self.entries.get((name, incarnation))) is not None:
            entry.outstanding.clear()
        return real(self, now, name, incarnation, asked)

    patch.setattr(LeaseTable, "request", request)


def agreed_change_aborted(patch: Patch) -> None:
    """A change that was agreed is aborted when its patience is over."""
    real = state.abort

    def abort(old: state.State, change: str, reasons: tuple[str, ...]) -> state.State:
        if old.change is not None and old.change.stage is state.Stage.AGREED:
            old = msgspec.structs.replace(
                old, change=msgspec.structs.replace(old.change, stage=state.Stage.CHECKING)
            )
        return real(old, change, reasons)

    def decide(self: voter.Voter, drive: driver.Drive) -> None:
        change = self.lease_table.change
        if change is not None and not drive.step_in_flight and self.now >= drive.started_at + change.patience:
            self._commit_step(drive, lambda old: abort(old, change.id, ("late",)))
        else:
            real_decide(self, drive)

    real_decide = voter.Voter._decide
    patch.setattr(voter.Voter, "_decide", decide)


def half_is_a_majority(patch: Patch) -> None:
    """Half of the voters, rounded down, count as a majority."""
    for module in (register, leases, driver):
        patch.setattr(module, "majority", lambda voters: voters // 2)


def grant_at_once_after_a_start(patch: Patch) -> None:
    """A voter grants leases on the new epoch right after a start, while old leases may be outstanding."""

    def restarted(self: LeaseTable, now: float, known: state.State | None) -> None:
        if known is not None:
            self.apply_state(now, known)

    patch.setattr(LeaseTable, "restarted", restarted)


def newcomers_get_leases_while_sealed(patch: Patch) -> None:
    """A sealed voter grants leases to holders that have not accepted the change."""
    real = LeaseTable.request

    def request(
        self: LeaseTable, now: float, name: str, incarnation: int, asked: LeaseRequest
    ) -> LeaseGrant | None:
        sealed, self.sealed_change = self.sealed_change, ""
        change = self.change
        if change is not None and (entry := self.entries.get((name, incarnation))) is not None:
            entry.change_id, entry.verdict = change.id, ()
        grant = real(self, now, name, incarnation, asked)
        self.sealed_change = sealed
        return grant

    patch.setattr(LeaseTable, "request", request)


def refused_policy_is_served(patch: Patch) -> None:
    """A router accepts every policy, whatever its check says."""

    def verdict(self: PolicyCache, known: str) -> tuple[str, ...]:
        return ()

    patch.setattr(PolicyCache, "verdict", verdict)


def lease_of_one_voter_is_enough(patch: Patch) -> None:
    """A router serves with the lease of a single voter."""
    real = LeaseClient.__init__

    def init(self: LeaseClient, *given: Any) -> None:
        real(self, *given)
        self.quorum = 1

    patch.setattr(LeaseClient, "__init__", init)


BUGS = (
    lease_counted_from_receipt,
    switch_before_the_last_lease_ends,
    vote_at_once_after_a_start,
    repeated_change_made_twice,
    agree_before_all_have_accepted,
    drift_left_out,
    old_leases_granted_past_the_switch,
    outstanding_grants_forgotten,
    agreed_change_aborted,
    half_is_a_majority,
    grant_at_once_after_a_start,
    newcomers_get_leases_while_sealed,
    refused_policy_is_served,
    lease_of_one_voter_is_enough,
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda function: function.__name__)
def test_a_scenario_without_a_bug_reports_nothing(scenario: Callable[[], list[str]]) -> None:
    assert scenario() == []


@pytest.mark.parametrize("bug", BUGS, ids=lambda function: function.__name__)
def test_a_planted_bug_is_caught(bug: Callable[[Patch], None], monkeypatch: Patch) -> None:
    bug(monkeypatch)
    for scenario in SCENARIOS:
        try:
            if scenario():
                return
        except AssertionError:  # raised by the program or by the scenario
            return
    raise AssertionError(f"{bug.__name__} was not caught")
