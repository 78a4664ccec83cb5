"""Faults within real processes: kills at named steps, disks and clocks that go wrong; judged from outside."""

from __future__ import annotations

from pathlib import Path

import pytest

from banklift.fleet.state import Stage
from banklift.rig.process_faults import Disk, ProcessFaults, Step
from banklift.rig.processes import Rig
from tests.rig_play import play

VOTERS = ["r0", "r1", "r2"]
ROUTERS = [*VOTERS, "r3"]
JUMP = 15.0  # seconds: longer than any lease
ATTEMPTS = 6  # changes until one has the step; a write may hold two of them where the machine is busy
VOTES, FAILED, WRITTEN_AGAIN = "votes", "disk in trouble", "disk written again"  # in a voter's log


async def starts_to_vote(rig: Rig, name: str, faults: ProcessFaults) -> None:
    votes = rig.log(name).count(VOTES)
    await rig.start(name, faults=faults)
    await rig.until(lambda: rig.log(name).count(VOTES) > votes)
    await rig.serves(name)


async def killed_in_a_change(rig: Rig, name: str, step: Step, stage: Stage, parity: int) -> int:
    """Make changes until a voter was killed at that step; all of them take hold. The parity after the last one."""
    await rig.kill(name)
    await starts_to_vote(rig, name, ProcessFaults(kill=step, stage=stage))
    process = rig.processes[name]
    for _ in range(ATTEMPTS):
        parity = 1 - parity
        answer = await rig.set(parity)
        assert answer["result"] == "in force", (step, stage, answer)
        await rig.serves(*(other for other in ROUTERS if other != name), parity=parity)
        if process.returncode is not None:
            break
    await rig.died(name)
    return parity


@pytest.mark.parametrize("victim", ["r0", "r1"], ids=["driver", "other-voter"])
def test_a_voter_that_is_killed_between_two_steps_of_a_change(tmp_path: Path, victim: str) -> None:
    """The first voter drives, as operators ask it first: its tool has the outcome from another one, by the same id."""
    steps = [
        (Step.PROMISE_WRITTEN, Stage.CHECKING),
        (Step.ACCEPTANCE_NOT_WRITTEN, Stage.AGREED),
        (Step.ACCEPTANCE_HALF_WRITTEN, Stage.CHECKING),
        (Step.ACCEPTANCE_WRITTEN, Stage.AGREED),
    ]

    async def act(rig: Rig) -> None:
        parity = 0
        for step, stage in steps:
            parity = await killed_in_a_change(rig, victim, step, stage, parity)
            await rig.start(victim)
            await rig.serves(*ROUTERS, parity=parity)

    verdict = play(tmp_path, ROUTERS, len(VOTERS), act)
    assert verdict.breaks == []
    assert verdict.cases["changes in force"] >= len(steps)


@pytest.mark.parametrize("disk", [Disk.EIO, Disk.FULL, Disk.HANGS])
def test_changes_wait_while_two_of_three_voters_can_not_write(tmp_path: Path, disk: Disk) -> None:
    """With one such disk the others decide; with two nobody does, and once one of them writes again, it goes on."""

    async def act(rig: Rig) -> None:
        for name in ("r1", "r2"):
            await rig.kill(name)
            await starts_to_vote(rig, name, ProcessFaults())
        rig.fail("r1", ProcessFaults(disk=disk))
        assert (await rig.set(1))["result"] == "in force"
        await rig.serves(*ROUTERS, parity=1)

        rig.fail("r2", ProcessFaults(disk=disk))
        change = f"{await version(rig)}-{disk}"
        unknown = await rig.set(0, "--wait", "5", "--id", change)
        assert (unknown["result"], unknown["code"]) == ("unknown", 3), unknown
        await rig.serves(*ROUTERS, parity=1)  # none is fenced by it

        rig.fail("r1", ProcessFaults())
        again = await rig.set(0, "--wait", "5", "--id", change)
        assert again["result"] == "in force", again
        await rig.serves(*ROUTERS, parity=0)
        if disk is not Disk.HANGS:  # that one only returns late
            assert FAILED in rig.log("r1") and WRITTEN_AGAIN in rig.log("r1")

    verdict = play(tmp_path, ROUTERS, len(VOTERS), act)
    assert verdict.breaks == []


async def version(rig: Rig) -> int:
    state = (await rig.fleet("r0"))["state"]
    return int(state["version"])


def test_a_voter_whose_disk_kept_nothing_of_what_it_said(tmp_path: Path) -> None:
    """Its syncs lie through two changes, then it is killed: it asks the others what it has promised before it votes."""

    async def act(rig: Rig) -> None:
        await rig.kill("r1")
        await starts_to_vote(rig, "r1", ProcessFaults())
        kept = {path.name: path.read_bytes() for path in rig.state("r1").iterdir()}
        rig.fail("r1", ProcessFaults(disk=Disk.LIES))
        for parity in (1, 0, 1):
            assert (await rig.set(parity))["result"] == "in force"
            await rig.serves(*ROUTERS, parity=parity)
        assert {path.name: path.read_bytes() for path in rig.state("r1").iterdir()} == kept
        await rig.kill("r1")
        await rig.kill("r2")  # the voters that are up are now one that knows and one that lost it
        await rig.start("r2")
        await rig.start("r1")
        await rig.serves(*ROUTERS, parity=1)
        assert (await rig.set(0))["result"] == "in force"
        await rig.serves(*ROUTERS, parity=0)

    assert play(tmp_path, ROUTERS, len(VOTERS), act).breaks == []


def test_clocks_with_rates_of_their_own_and_jumps(tmp_path: Path) -> None:
    """Rates within the stated drift; clocks that jump past the end of all leases, as of a machine that was suspended;
    a wall clock that goes back over a restart."""
    rates = {"r0": 1.004, "r1": 0.996, "r2": 1.0, "r3": 0.996}

    async def act(rig: Rig) -> None:
        for name, rate in rates.items():
            await rig.kill(name)
            await rig.start(name, faults=ProcessFaults(clock_rate=rate, clock_jump=JUMP))
            await rig.serves(*ROUTERS)
        parity = 0
        for name in ("", "r1", "r3", "r0"):
            parity = 1 - parity
            if name:
                rig.jump(name)
            assert (await rig.set(parity))["result"] == "in force"
            await rig.serves(*ROUTERS, parity=parity)
        for name in ("r3", "r1"):
            await rig.kill(name)
            await rig.start(name, faults=ProcessFaults(wall_offset=-3600.0))
            await rig.serves(*ROUTERS, parity=parity)
        assert (await rig.set(1 - parity))["result"] == "in force"
        await rig.serves(*ROUTERS, parity=1 - parity)

    verdict = play(tmp_path, ROUTERS, len(VOTERS), act)
    assert verdict.breaks == []
    assert verdict.cases["changes in force"] == 5
