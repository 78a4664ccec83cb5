"""Lease aggregators as real processes with injected faults; the invariants are checked on what clients and members saw.

A fault is injected while a change is at a given stage: once a voter reports that stage. It counts only if the voter
still reports the stage afterwards. Paused routers keep the change at its stage for as long as their leases last; on a
machine that is too busy for that, another change is made.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import anyio

from banklift.fleet.state import Stage
from banklift.rig.judge import Verdict
from banklift.rig.processes import Rig
from tests import rig_play
from tests.rig_play import Scenario

LEASE = 4.0  # seconds
ATTEMPTS = 6  # changes until a fault is injected at the wanted stage
VOTERS = ["r0", "r1", "r2"]
AGGREGATED = ["r3", "r4", "r5"]  # lease from aggregators
ROUTERS = VOTERS + AGGREGATED
PAUSED = ("r4", "r5")  # routers that are paused to hold a change at a stage
AGGREGATORS = ["a0", "a1"]
POLICY_CHECKED = "policy checked"  # logged by a router once for each change


def play(folder: Path, scenario: Scenario) -> Verdict:
    """Run a scenario on the fleet of these tests."""
    return rig_play.play(folder, ROUTERS, len(VOTERS), scenario, LEASE, AGGREGATORS)


@dataclass(slots=True)
class Injection:
    """What became of a fault that is to be injected in the middle of a change."""

    injected: bool = False
    hit_stage: bool = False  # the change was still at the wanted stage afterwards


class Changes:
    """Makes changes of policy one after another, from one variant to the other."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.variant = rig, 0

    async def make(self, *serving: str) -> None:
        """Make a change, and wait until these routers serve under it."""
        await self._set()
        await self.rig.wait_until_serving(*serving, variant=self.variant)

    async def _set(self) -> None:
        answer = await self.rig.set_policy(1 - self.variant, by="r2")
        assert answer.result == "in force", answer
        self.variant = 1 - self.variant

    async def inject_during(self, stage: Stage, inject: Scenario, repair: Scenario) -> None:
        """Make changes until a fault was injected while one was at that stage. After each, all routers have to serve
        under the change, both before the fault is repaired and afterwards."""
        for _ in range(ATTEMPTS):
            injection = Injection()
            async with anyio.create_task_group() as both:
                both.start_soon(self._inject, stage, inject, injection)
                await self._set()
                if not injection.injected:
                    both.cancel_scope.cancel()  # the stage passed before it was seen
            await self.rig.wait_until_serving(*ROUTERS, variant=self.variant)
            if injection.injected:
                await repair(self.rig)
                await self.rig.wait_until_serving(*ROUTERS, variant=self.variant)
            if injection.hit_stage:
                return
        raise AssertionError(f"no fault was injected while a change was {stage}")

    async def _inject(self, stage: Stage, inject: Scenario, injection: Injection) -> None:
        """Hold the change at the stage by pausing a router, and inject the fault.

        CHECKING lasts while a router that was paused before the change does not answer. AGREED lasts while the lease
        of a router runs that was paused after it had accepted the change.
        """
        rig, (first, second) = self.rig, PAUSED
        checks = rig.log(second).count(POLICY_CHECKED)
        paused = [first]
        rig.pause(first)
        try:
            change = await rig.wait_for_stage(Stage.CHECKING, "r2")
            if stage is Stage.AGREED:
                await rig.wait_until(lambda: rig.log(second).count(POLICY_CHECKED) > checks)
                rig.pause(second)
                paused = [second]
                rig.resume(first)
                change = await rig.wait_for_stage(stage, "r2")
            injection.injected = True
            await inject(rig)
            injection.hit_stage = await self._is_at_stage(change, stage)
        finally:
            for name in paused:
                rig.resume(name)

    async def _is_at_stage(self, change: str, stage: Stage) -> bool:
        shown = await self.rig.show("r2")
        current = shown.state.change if shown is not None and shown.state is not None else None
        return current is not None and current.id == change and current.stage is stage


def assert_sound(verdict: Verdict, changes: int) -> None:
    """No invariant was violated, at least so many changes are in force, and the invariants were exercised."""
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] >= changes
    for case in (
        "never mixed: requests sent after the first was served under the new policy",
        "in force everywhere: requests sent after the change was reported as in force",
    ):
        assert verdict.case_counts[case] > 20, verdict.case_counts


def test_aggregator_killed_in_the_middle_of_changes(tmp_path: Path) -> None:
    """A router's refusal reaches the operator. The aggregator is killed while a change is checked, and while leases run
    out. A router that ends by SIGTERM gives its lease back, and changes go on without it."""

    async def scenario(rig: Rig) -> None:
        changes = Changes(rig)
        victim = rig.preferred_aggregator("r3")
        await changes.make(*ROUTERS)

        await rig.kill("r5")
        await rig.start("r5", descriptors=256)
        await rig.wait_until_serving("r5")
        refused = await rig.set_policy(1 - changes.variant, by="r2", limits={"clients": 5000})
        assert (refused.result, refused.code) == ("aborted", 1), refused
        assert refused.reasons and all(
            reason.startswith("r5: $.limits.clients: 5000 clients") for reason in refused.reasons
        ), refused
        await rig.wait_until_serving(*ROUTERS, variant=changes.variant)

        async def kill(rig: Rig) -> None:
            await rig.kill(victim)

        async def start(rig: Rig) -> None:
            await rig.start(victim)

        await changes.inject_during(Stage.CHECKING, kill, start)
        await changes.inject_during(Stage.AGREED, kill, start)

        assert await rig.terminate("r4") == 0
        await changes.make("r0", "r1", "r2", "r3", "r5")
        await rig.start("r4")
        await rig.wait_until_serving(*ROUTERS, variant=changes.variant)

    verdict = play(tmp_path, scenario)
    assert_sound(verdict, 4)
    assert verdict.case_counts["changes not in force"] == 1
    assert verdict.case_counts["nowhere: requests sent during or after a change that is not in force"] > 20, (
        verdict.case_counts
    )


def test_aggregator_paused_and_partitioned_in_the_middle_of_changes(tmp_path: Path) -> None:
    """The aggregator is paused across the switch to the new policy, and resumed. Its links to the voters are stalled in
    one direction, then in the other, while its routers still reach it. A router moves to its standby aggregator while a
    change is checked, and while leases run out."""

    async def scenario(rig: Rig) -> None:
        changes = Changes(rig)
        aggregator = rig.preferred_aggregator("r3")

        async def pause(rig: Rig) -> None:
            rig.pause(aggregator)

        async def resume(rig: Rig) -> None:
            rig.resume(aggregator)

        await changes.inject_during(Stage.AGREED, pause, resume)

        async def heal(rig: Rig) -> None:
            rig.heal()

        for direction in ("there", "back"):

            async def partition(rig: Rig, direction: str = direction) -> None:
                rig.inject_link_fault(aggregator, direction, others=VOTERS)

            await changes.inject_during(Stage.CHECKING, partition, heal)

        async def move_to_standby(rig: Rig) -> None:
            rig.inject_link_fault("r3", others=[aggregator])

        await changes.inject_during(Stage.CHECKING, move_to_standby, heal)
        await changes.inject_during(Stage.AGREED, move_to_standby, heal)

    assert_sound(play(tmp_path, scenario), 5)


def test_routers_refuse_requests_without_a_lease(tmp_path: Path) -> None:
    """All aggregators hear nothing from the voters, while their routers still reach them: these routers refuse requests
    once their leases have run out, and a change comes into force without them. Then a majority of the voters is paused:
    all routers refuse requests until it is resumed."""

    async def scenario(rig: Rig) -> None:
        changes = Changes(rig)
        for name in AGGREGATORS:
            rig.inject_link_fault(name, "back", others=VOTERS)
        await changes.make(*VOTERS)
        await wait_until_refusing(rig, *AGGREGATED)
        rig.heal()
        await rig.wait_until_serving(*ROUTERS, variant=changes.variant)

        for name in ("r0", "r1"):
            rig.pause(name)
        await wait_until_refusing(rig, "r2", *AGGREGATED)
        for name in ("r0", "r1"):
            rig.resume(name)
        await rig.wait_until_serving(*ROUTERS, variant=changes.variant)
        await changes.make(*ROUTERS)

    assert_sound(play(tmp_path, scenario), 2)


async def wait_until_refusing(rig: Rig, *names: str) -> None:
    """Wait until each router has refused a request that was sent after this call."""
    begin = rig.env.now()

    def all_refused() -> bool:
        routers = {
            entry.key: entry.router
            for entry in rig.trace.entries
            if entry.kind == "sent" and entry.time >= begin
        }
        refusals = [entry for entry in rig.trace.entries if entry.kind == "got" and entry.answer == "refused"]
        return set(names) <= {routers[entry.key] for entry in refusals if entry.key in routers}

    await rig.wait_until(all_refused)
