"""Faults injected into real processes: kills at named points, faulty disks and clocks. Invariants are checked on what
clients and members saw."""

from __future__ import annotations

from pathlib import Path

import pytest

from banklift.fleet.state import Stage
from banklift.rig.process_faults import DiskMode, KillPoint, ProcessFaults
from banklift.rig.processes import Rig
from tests.rig_play import play

VOTERS = ["r0", "r1", "r2"]
ROUTERS = [*VOTERS, "r3"]
CLOCK_JUMP = 15.0  # seconds: longer than any lease
# changes until a voter is killed at its point: on a busy machine one write may hold two steps, and skip the point
ATTEMPTS = 6
# events in a voter's log
VOTES = "votes"
DISK_FAILED = "disk in trouble"
DISK_WRITTEN_AGAIN = "disk written again"


async def start_voting(rig: Rig, name: str, faults: ProcessFaults) -> None:
    """Start a voter, and wait until it votes and serves."""
    votes = rig.log(name).count(VOTES)
    await rig.start(name, faults=faults)
    await rig.wait_until(lambda: rig.log(name).count(VOTES) > votes)
    await rig.wait_until_serving(name)


async def kill_in_a_change(rig: Rig, name: str, kill_point: KillPoint, stage: Stage, variant: int) -> int:
    """Make changes until a voter was killed at that point; all have to come into force. The variant of the last one."""
    await rig.kill(name)
    await start_voting(rig, name, ProcessFaults(kill=kill_point, stage=stage))
    process = rig.processes[name]
    for _ in range(ATTEMPTS):
        variant = 1 - variant
        answer = await rig.set_policy(variant)
        assert answer.result == "in force", (kill_point, stage, answer)
        await rig.wait_until_serving(*(other for other in ROUTERS if other != name), variant=variant)
        if process.returncode is not None:
            break
    await rig.wait_until_killed(name)
    return variant


@pytest.mark.parametrize("victim", ["r0", "r1"], ids=["driver", "other-voter"])
def test_voter_killed_between_two_steps_of_a_change(tmp_path: Path, victim: str) -> None:
    """A voter is killed before, during and after a write of its state. The first voter drives the changes, as operators
    ask it first; when it is killed, the operator's tool gets the outcome from another voter, by the same id."""
    kills = [
        (KillPoint.PROMISE_WRITTEN, Stage.CHECKING),
        (KillPoint.ACCEPTANCE_NOT_WRITTEN, Stage.AGREED),
        (KillPoint.ACCEPTANCE_HALF_WRITTEN, Stage.CHECKING),
        (KillPoint.ACCEPTANCE_WRITTEN, Stage.AGREED),
    ]

    async def scenario(rig: Rig) -> None:
        variant = 0
        for kill_point, stage in kills:
            variant = await kill_in_a_change(rig, victim, kill_point, stage, variant)
            await rig.start(victim)
            await rig.wait_until_serving(*ROUTERS, variant=variant)

    verdict = play(tmp_path, ROUTERS, len(VOTERS), scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] >= len(kills)


@pytest.mark.parametrize("disk", [DiskMode.EIO, DiskMode.FULL, DiskMode.HANGS])
def test_changes_wait_while_two_of_three_voters_can_not_write(tmp_path: Path, disk: DiskMode) -> None:
    """With one faulty disk the other two voters are a majority, and a change comes into force. With two faulty disks
    its outcome is unknown and routers serve on, until one of the disks works again."""

    async def scenario(rig: Rig) -> None:
        for name in ("r1", "r2"):
            await rig.kill(name)
            await start_voting(rig, name, ProcessFaults())
        rig.set_faults("r1", ProcessFaults(disk=disk))
        answer = await rig.set_policy(1)
        assert answer.result == "in force", answer
        await rig.wait_until_serving(*ROUTERS, variant=1)

        rig.set_faults("r2", ProcessFaults(disk=disk))
        change = f"{await version(rig)}-{disk}"
        unknown = await rig.set_policy(0, "--wait", "5", "--id", change)
        assert (unknown.result, unknown.code) == ("unknown", 3), unknown
        await rig.wait_until_serving(*ROUTERS, variant=1)  # the pending change ends no lease

        rig.set_faults("r1", ProcessFaults())
        again = await rig.set_policy(0, "--wait", "5", "--id", change)
        assert again.result == "in force", again
        await rig.wait_until_serving(*ROUTERS, variant=0)
        if disk is not DiskMode.HANGS:  # a sync that hangs reports no error
            assert DISK_FAILED in rig.log("r1") and DISK_WRITTEN_AGAIN in rig.log("r1")

    verdict = play(tmp_path, ROUTERS, len(VOTERS), scenario)
    assert verdict.violations == []


async def version(rig: Rig) -> int:
    """The version of the fleet's state."""
    return (await rig.show_fleet("r0")).state.version


def test_voter_whose_disk_lost_all_writes(tmp_path: Path) -> None:
    """A voter's disk reports writes as done and stores nothing, through four changes; then the voter is killed and
    started again. It must learn from the other voters what it promised before it votes."""

    async def scenario(rig: Rig) -> None:
        await rig.kill("r1")
        await start_voting(rig, "r1", ProcessFaults())
        rig.set_faults("r1", ProcessFaults(disk=DiskMode.LIES))
        # A write may be under way that began before the fault. Without r2 the change needs r1's vote, which r1 gives
        # once it takes the vote for written, after any earlier write.
        await rig.kill("r2")
        answer = await rig.set_policy(1)
        assert answer.result == "in force", answer
        stored = rig.state_files("r1")
        await rig.start("r2")
        await rig.wait_until_serving(*ROUTERS, variant=1)
        for variant in (0, 1, 0):
            assert (await rig.set_policy(variant)).result == "in force"
            await rig.wait_until_serving(*ROUTERS, variant=variant)
        assert rig.state_files("r1") == stored
        assert DISK_FAILED not in rig.log("r1")  # no write was reported as failed
        await rig.kill("r1")
        await rig.kill("r2")  # so that of the voters that know the last changes only r0 stays up
        await rig.start("r2")
        await rig.start("r1")
        await rig.wait_until_serving(*ROUTERS, variant=0)
        answer = await rig.set_policy(1)
        assert answer.result == "in force", answer
        await rig.wait_until_serving(*ROUTERS, variant=1)

    assert play(tmp_path, ROUTERS, len(VOTERS), scenario).violations == []


def test_clocks_that_drift_and_jump(tmp_path: Path) -> None:
    """Clocks run at different rates within the stated drift. A clock jumps past the end of all leases, as after a
    suspend. A wall clock goes back by an hour over a restart."""
    rates = {"r0": 1.004, "r1": 0.996, "r2": 1.0, "r3": 0.996}

    async def scenario(rig: Rig) -> None:
        for name, rate in rates.items():
            await rig.kill(name)
            await rig.start(name, faults=ProcessFaults(clock_rate=rate, clock_jump=CLOCK_JUMP))
            await rig.wait_until_serving(*ROUTERS)
        variant = 0
        for name in ("", "r1", "r3", "r0"):
            variant = 1 - variant
            if name:
                rig.jump_clock(name)
            assert (await rig.set_policy(variant)).result == "in force"
            await rig.wait_until_serving(*ROUTERS, variant=variant)
        for name in ("r3", "r1"):
            await rig.kill(name)
            await rig.start(name, faults=ProcessFaults(wall_offset=-3600.0))
            await rig.wait_until_serving(*ROUTERS, variant=variant)
        assert (await rig.set_policy(1 - variant)).result == "in force"
        await rig.wait_until_serving(*ROUTERS, variant=1 - variant)

    verdict = play(tmp_path, ROUTERS, len(VOTERS), scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == 5
