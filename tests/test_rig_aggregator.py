"""Lease aggregators as real processes with faults between them, judged from what clients got and members ran.

A fault belongs to a stage of a change: it is set when a voter is seen there, and has hit it when it is seen there after
that too. Routers that are stopped meanwhile keep a change at its stage for as long as their leases; should a
machine be too busy for that, the change is made once more.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import anyio

from banklift.fleet.state import Stage
from banklift.rig.judge import Verdict
from banklift.rig.processes import Rig
from tests import rig_play
from tests.rig_play import Act

LEASE = 4.0  # seconds
ATTEMPTS = 6  # to hit a stage of a change
VOTERS = ["r0", "r1", "r2"]
LEAVES = ["r3", "r4", "r5"]  # lease from aggregators
ROUTERS = VOTERS + LEAVES
BYSTANDERS = ("r4", "r5")
AGGREGATORS = ["a0", "a1"]
CHECKED = "policy checked"  # in a router's log, once for each change


def play(folder: Path, act: Act) -> Verdict:
    """Start the fleet of these tests, let clients ask all routers, act, and judge what was seen."""
    return rig_play.play(folder, ROUTERS, len(VOTERS), act, LEASE, AGGREGATORS)


@dataclass(slots=True)
class Fault:
    """One that is set in the middle of a change."""

    set: bool = False
    hit: bool = False  # the change was at that stage still when it had been set


class Changes:
    """Changes of policy, one after another, each of the other parity than the last one."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.parity = rig, 0

    async def make(self, *serving: str) -> None:
        """One that takes hold; wait until these routers serve under it."""
        await self._set()
        await self.rig.serves(*serving, parity=self.parity)

    async def _set(self) -> None:
        answer = await self.rig.set(1 - self.parity, by="r2")
        assert answer["result"] == "in force", answer
        self.parity = 1 - self.parity

    async def during(self, stage: Stage, act: Act, mend: Act) -> None:
        """Act while a change is at that stage, until it was hit. All routers serve under the change without the mend,
        which follows, and with it."""
        for _ in range(ATTEMPTS):
            fault = Fault()
            async with anyio.create_task_group() as both:
                both.start_soon(self._fault, stage, act, fault)
                await self._set()
                if not fault.set:
                    both.cancel_scope.cancel()  # the stage has passed unseen
            await self.rig.serves(*ROUTERS, parity=self.parity)
            if fault.set:
                await mend(self.rig)
                await self.rig.serves(*ROUTERS, parity=self.parity)
            if fault.hit:
                return
        raise AssertionError(f"no change was hit while it was {stage}")

    async def _fault(self, stage: Stage, act: Act, fault: Fault) -> None:
        """Two routers are stopped for the change to stay at the stage: one that has not been asked, and for the later
        stage one that has accepted and holds a long lease."""
        rig, (first, second) = self.rig, BYSTANDERS
        checks = rig.log(second).count(CHECKED)
        stopped = [first]
        rig.stop(first)
        try:
            change = await rig.until_stage(Stage.CHECKING, "r2")
            if stage is Stage.AGREED:
                await rig.until(lambda: rig.log(second).count(CHECKED) > checks)
                rig.stop(second)
                stopped = [second]
                rig.go_on(first)
                change = await rig.until_stage(stage, "r2")
            fault.set = True
            await act(rig)
            fault.hit = await self._stands(change, stage)
        finally:
            for name in stopped:
                rig.go_on(name)

    async def _stands(self, change: str, stage: Stage) -> bool:
        shown = await self.rig.show("r2")
        now = shown.state.change if shown is not None and shown.state is not None else None
        return now is not None and now.id == change and now.stage is stage


def checked(verdict: Verdict, changes: int) -> None:
    assert verdict.breaks == []
    assert verdict.cases["changes in force"] >= changes
    for case in (
        "never mixed: sent once the first was served under the new policy",
        "in force: sent once it was told",
    ):
        assert verdict.cases[case] > 20, verdict.cases


def test_aggregators_are_killed_in_the_middle_of_changes(tmp_path: Path) -> None:
    """A refusal reaches the operator; one is killed while a change is checked, and one while leases run out; a router
    that ends by SIGTERM gives its lease back."""

    async def act(rig: Rig) -> None:
        changes = Changes(rig)
        victim = rig.preferred("r3")
        await changes.make(*ROUTERS)

        await rig.kill("r5")
        await rig.start("r5", descriptors=256)
        await rig.serves("r5")
        refused = await rig.set(1 - changes.parity, by="r2", limits={"clients": 5000})
        assert (refused["result"], refused["code"]) == ("aborted", 1), refused
        assert refused["reasons"] and all(
            reason.startswith("r5: $.limits.clients: 5000 clients") for reason in refused["reasons"]
        ), refused
        await rig.serves(*ROUTERS, parity=changes.parity)

        async def kill(rig: Rig) -> None:
            await rig.kill(victim)

        async def start(rig: Rig) -> None:
            await rig.start(victim)

        await changes.during(Stage.CHECKING, kill, start)
        await changes.during(Stage.AGREED, kill, start)

        assert await rig.leave("r4") == 0
        await changes.make("r0", "r1", "r2", "r3", "r5")
        await rig.start("r4")
        await rig.serves(*ROUTERS, parity=changes.parity)

    verdict = play(tmp_path, act)
    checked(verdict, 4)
    assert verdict.cases["changes not in force"] == 1
    assert verdict.cases["nowhere: sent during or after a change that did not take hold"] > 20, verdict.cases


def test_aggregators_are_stopped_and_cut_off_in_the_middle_of_changes(tmp_path: Path) -> None:
    """One is stopped across the switch and goes on; one is cut off from the voters but not from its routers, one way
    only, each way; a router moves to its standby while a change is checked, and while leases run out."""

    async def act(rig: Rig) -> None:
        changes = Changes(rig)
        aggregator = rig.preferred("r3")

        async def stop(rig: Rig) -> None:
            rig.stop(aggregator)

        async def go_on(rig: Rig) -> None:
            rig.go_on(aggregator)

        await changes.during(Stage.AGREED, stop, go_on)

        async def heal(rig: Rig) -> None:
            rig.heal()

        for way in ("there", "back"):

            async def cut_off(rig: Rig, way: str = way) -> None:
                rig.cut_off(aggregator, way, others=VOTERS)

            await changes.during(Stage.CHECKING, cut_off, heal)

        async def move(rig: Rig) -> None:
            rig.cut_off("r3", others=[aggregator])

        await changes.during(Stage.CHECKING, move, heal)
        await changes.during(Stage.AGREED, move, heal)

    checked(play(tmp_path, act), 5)


def test_routers_stop_without_their_aggregators_and_without_the_voters(tmp_path: Path) -> None:
    """All aggregators are cut off from the voters, but not from the routers: these stop by themselves while a change
    takes hold without them. The voters' majority is stopped: all routers stop, and go on with it."""

    async def act(rig: Rig) -> None:
        changes = Changes(rig)
        for name in AGGREGATORS:
            rig.cut_off(name, "back", others=VOTERS)
        await changes.make(*VOTERS)
        await refused(rig, *LEAVES)
        rig.heal()
        await rig.serves(*ROUTERS, parity=changes.parity)

        for name in ("r0", "r1"):
            rig.stop(name)
        await refused(rig, "r2", *LEAVES)
        for name in ("r0", "r1"):
            rig.go_on(name)
        await rig.serves(*ROUTERS, parity=changes.parity)
        await changes.make(*ROUTERS)

    checked(play(tmp_path, act), 2)


async def refused(rig: Rig, *names: str) -> None:
    """Wait until each has refused a request that was sent from now on."""
    begin = rig.env.now()

    def shown() -> bool:
        sent = {
            entry.key: entry.router for entry in rig.trace.entries if entry.k == "sent" and entry.t >= begin
        }
        answered = [entry for entry in rig.trace.entries if entry.k == "got" and entry.answer == "refused"]
        return set(names) <= {sent[entry.key] for entry in answered if entry.key in sent}

    await rig.until(shown)
