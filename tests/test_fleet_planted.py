"""Planted bugs: each breaks one thing that the fleet's promises rest on, and each is caught, in virtual time."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from banklift.fleet import driver, holder, lease_table, register, state, voter
from banklift.fleet import lease as leases
from banklift.fleet.holder_table import Entry
from banklift.fleet.lease import LeaseClient
from banklift.fleet.lease_table import LeaseTable
from banklift.fleet.messages import LeaseGrant, LeaseRequest, Set, Show, Shown
from banklift.fleet.policies import PolicyCache
from banklift.fleet.register import Record, Rejoining
from banklift.rig.world import REFUSED, FleetWorld

Patch = pytest.MonkeyPatch


def up(seed: int, **rates: float) -> FleetWorld:
    fleet = FleetWorld(seed, 5, 3)
    for name, rate in rates.items():
        fleet.routers[name].rate = rate
    for name in fleet.names:
        fleet.start(name)
    fleet.run(3.0)
    return fleet


def cut(fleet: FleetWorld, name: str, *ways: str) -> None:
    for other in fleet.voters:
        for way in ways or ("there", "back"):
            fleet.relays[name, other].fault(way, "stall")


# ---- scenarios: what they complain of, nothing if all is well


def cut_off() -> list[str]:
    fleet = up(1)
    cut(fleet, "r4")
    result = fleet.change(b"second")
    return fleet.breaks + ([] if result == "in force" else [result])


def deaf() -> list[str]:
    """It asks, and no answer comes through."""
    fleet = up(2)
    cut(fleet, "r4", "back")
    result = fleet.change(b"second")
    return fleet.breaks + ([] if result == "in force" else [result])


def slow_link() -> list[str]:
    """Answers take a second and a half; then nothing comes through."""
    fleet = up(3)
    for other in fleet.voters:
        fleet.relays["r4", other].fault("back", "delay", 0.9)
    fleet.run(8.0)
    cut(fleet, "r4", "there")
    fleet.run(1.0)
    result = fleet.change(b"second")
    return fleet.breaks + ([] if result == "in force" else [result])


def clocks() -> list[str]:
    """The router's clock is slow and the voters' are fast, as far as is stated; it accepts, and is cut off then."""
    found = []
    for step in range(16):
        fleet = up(4, r0=1.005, r1=1.005, r2=1.005, r4=0.995)
        fleet.world.at(fleet.world.now() + 0.2 + 0.01 * step, lambda fleet=fleet: cut(fleet, "r4"))  # type: ignore[misc]
        fleet.change(b"second")
        found += fleet.breaks
    return found


def refuser() -> list[str]:
    fleet = up(5)
    fleet.routers["r4"].reasons = ("no",)
    result = fleet.change(b"second " + REFUSED)
    fleet.run(5.0)
    served = fleet.serving()
    return fleet.breaks + (
        [] if result == "aborted" and served == dict.fromkeys(fleet.names, 1) else [result]
    )


def late_refuser() -> list[str]:
    """A router comes up after all the others have accepted, and refuses; it may not serve until the change is over."""
    found = []
    for delay in (0.02, 0.05, 0.1, 0.15, 0.2, 0.3):
        fleet = up(6)
        fleet.kill("r4")
        fleet.run(6.0)
        fleet.routers["r4"].reasons = ("no",)
        fleet.world.at(fleet.world.now() + 0.2 + delay, lambda fleet=fleet: fleet.start("r4"))  # type: ignore[misc]
        fleet.change(b"second " + REFUSED)
        fleet.run(5.0)
        if fleet.newest == 2 and fleet.serving().get("r4"):
            found.append("it serves")
        found += fleet.breaks
    return found


def asked_again() -> list[str]:
    fleet = up(7)
    answers: list[Any] = []
    fleet.ask("r0", Show(), answers.append)
    fleet.run(0.5)
    shown = answers.pop()
    assert isinstance(shown, Shown) and shown.state is not None
    for voter_ in ("r0", "r1", "r2", "r1"):
        wanted = Set(f"{shown.state.version}-again", b"second", 10.0)
        fleet.ask(voter_, wanted, lambda one: answers.append(fleet.told(one)))
        fleet.run(4.0)
    return fleet.breaks + [one for one in answers if one != "in force"]


def rolled_back() -> list[str]:
    """One voter down, one set back to before the change, the third away: nobody may vote on that."""
    fleet = up(8)
    fleet.kill("r2")
    fleet.run(6.0)
    before = fleet.routers["r0"].disk.content
    result = fleet.change(b"second")
    fleet.kill("r0")
    fleet.kill("r1")
    fleet.routers["r0"].disk.content = before
    fleet.start("r0")
    fleet.start("r2")
    fleet.run(15.0)
    found = list(fleet.breaks) + ([] if result == "in force" else [result])
    fleet.start("r1")
    fleet.run(10.0)
    return found + fleet.breaks + ([] if fleet.serving() == dict.fromkeys(fleet.names, 2) else ["not served"])


def voter_restarts(times: int = 12) -> list[str]:
    """A voter is killed and started again in the middle of a change, while a router is deaf."""
    found = []
    for step in range(times):
        fleet = up(9)
        cut(fleet, "r4", "back")
        fleet.run(0.1)

        def again(fleet: FleetWorld = fleet) -> None:
            for name in ("r1", "r2"):
                fleet.kill(name)
                fleet.start(name)

        fleet.world.at(fleet.world.now() + 0.4 + 0.15 * step, again)
        fleet.change(b"second")
        fleet.run(6.0)
        found += fleet.breaks
    return found


def impatient() -> list[str]:
    """Its patience is over while it takes hold: it was agreed, so it goes on."""
    found = []
    for patience in (0.05, 0.1, 0.2, 0.4, 1.0, 2.0, 3.0, 3.2, 3.4, 3.6, 3.8, 4.0, 4.2, 4.4, 5.0, 5.5):
        fleet = up(10)
        cut(fleet, "r4")
        fleet.run(0.05)
        fleet.change(b"second", patience=patience)
        fleet.run(10.0)
        found += fleet.breaks
    return found


def split() -> list[str]:
    """Two voters on one side and one on the other; both sides have routers, and both want a change."""
    fleet = up(11)
    for one, other in (("r1", "r0"), ("r2", "r0"), ("r3", "r0"), ("r4", "r1"), ("r4", "r2")):
        for way in ("there", "back"):
            fleet.relays[one, other].fault(way, "drop")
    fleet.change(b"left", voter="r1", seconds=15.0)
    fleet.change(b"right", voter="r0", seconds=15.0)
    return fleet.breaks


SCENARIOS = (
    cut_off,
    deaf,
    slow_link,
    clocks,
    refuser,
    late_refuser,
    asked_again,
    rolled_back,
    voter_restarts,
    impatient,
    split,
)


# ---- bugs


def counted_from_receipt(patch: Patch) -> None:
    real = LeaseClient.granted

    def granted(self: LeaseClient, now: float, name: str, grant: LeaseGrant) -> list[holder.Action]:
        grantor = self.grantors[name]
        if grant.number in grantor.pending:
            grantor.pending[grant.number] = now
        return real(self, now, name, grant)

    patch.setattr(LeaseClient, "granted", granted)


def turned_before_the_last_lease_ends(patch: Patch) -> None:
    real = LeaseTable.tick

    def tick(self: LeaseTable, now: float) -> None:
        if self.closing and self.switch_at == math.inf:
            self.switch_at = now
        real(self, now)

    patch.setattr(LeaseTable, "tick", tick)


def votes_at_once_after_a_start(patch: Patch) -> None:
    def done(self: Rejoining) -> Record | None:
        return self.record

    patch.setattr(Rejoining, "done", done)


def retried_change_made_twice(patch: Patch) -> None:
    real = state.propose

    def propose(
        old: state.State, change: str, policy: bytes, by: str, patience: float, dry: bool = False
    ) -> state.State:
        if old.change is None:
            change = f"{old.version}-{change.partition('-')[2]}"
            old = msgspec.structs.replace(old, history=())
        return real(old, change, policy, by, patience, dry)

    patch.setattr(voter, "propose", propose)


def a_refusal_is_not_waited_for(patch: Patch) -> None:
    real = LeaseTable.survey

    def survey(self: LeaseTable, now: float) -> lease_table.Answers:
        return replace(real(self, now), sealed=True)

    patch.setattr(LeaseTable, "survey", survey)


def drift_left_out(patch: Patch) -> None:
    real_book, real_leases = LeaseTable.__init__, LeaseClient.__init__

    def table(self: LeaseTable, lease: float, drift: float) -> None:
        real_book(self, lease, 0.0)

    def leases_(self: LeaseClient, voters: tuple[str, ...], lease: float, drift: float, *more: Any) -> None:
        real_leases(self, voters, lease, 0.0, *more)

    patch.setattr(LeaseTable, "__init__", table)
    patch.setattr(LeaseClient, "__init__", leases_)


def old_leases_given_past_the_turn(patch: Patch) -> None:
    real = LeaseTable._grant

    def grant(self: LeaseTable, now: float, entry: Entry, request: LeaseRequest) -> LeaseGrant:
        given = real(self, now, entry, request)
        return msgspec.structs.replace(given, ttl=self.lease) if given.ttl else given

    patch.setattr(LeaseTable, "_grant", grant)


def what_the_router_still_counts_is_forgotten(patch: Patch) -> None:
    real = LeaseTable.request

    def request(
        self: LeaseTable, now: float, name: str, incarnation: int, asked: LeaseRequest
    ) -> LeaseGrant | None:
        if (entry := self.entries.get((name, incarnation))) is not None:
            entry.outstanding.clear()
        return real(self, now, name, incarnation, asked)

    patch.setattr(LeaseTable, "request", request)


def agreed_changes_taken_back(patch: Patch) -> None:
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
    for module in (register, leases, driver):
        patch.setattr(module, "majority", lambda voters: voters // 2)


def grants_at_once_after_a_start(patch: Patch) -> None:
    def restarted(self: LeaseTable, now: float, known: state.State | None) -> None:
        if known is not None:
            self.apply_state(now, known)

    patch.setattr(LeaseTable, "restarted", restarted)


def newcomers_get_leases_while_it_is_sealed(patch: Patch) -> None:
    real = LeaseTable.request

    def request(
        self: LeaseTable, now: float, name: str, incarnation: int, asked: LeaseRequest
    ) -> LeaseGrant | None:
        sealed, self.sealed = self.sealed, ""
        change = self.change
        if change is not None and (entry := self.entries.get((name, incarnation))) is not None:
            entry.change, entry.verdict = change.id, ()
        grant = real(self, now, name, incarnation, asked)
        self.sealed = sealed
        return grant

    patch.setattr(LeaseTable, "request", request)


def a_refused_policy_is_served(patch: Patch) -> None:
    def verdict(self: PolicyCache, known: str) -> tuple[str, ...]:
        return ()

    patch.setattr(PolicyCache, "verdict", verdict)


def a_lease_of_any_voter_is_enough(patch: Patch) -> None:
    real = LeaseClient.__init__

    def init(self: LeaseClient, *given: Any) -> None:
        real(self, *given)
        self.quorum = 1

    patch.setattr(LeaseClient, "__init__", init)


BUGS = (
    counted_from_receipt,
    turned_before_the_last_lease_ends,
    votes_at_once_after_a_start,
    retried_change_made_twice,
    a_refusal_is_not_waited_for,
    drift_left_out,
    old_leases_given_past_the_turn,
    what_the_router_still_counts_is_forgotten,
    agreed_changes_taken_back,
    half_is_a_majority,
    grants_at_once_after_a_start,
    newcomers_get_leases_while_it_is_sealed,
    a_refused_policy_is_served,
    a_lease_of_any_voter_is_enough,
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.__name__)
def test_nothing_to_complain_of(scenario: Callable[[], list[str]]) -> None:
    assert scenario() == []


@pytest.mark.parametrize("bug", BUGS, ids=lambda one: one.__name__)
def test_a_planted_bug_is_caught(bug: Callable[[Patch], None], monkeypatch: Patch) -> None:
    bug(monkeypatch)
    for scenario in SCENARIOS:
        try:
            if scenario():
                return
        except AssertionError:  # one of the program's own, or of the scenario's
            return
    raise AssertionError(f"{bug.__name__} was not caught")
