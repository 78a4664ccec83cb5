"""Hollow fleets: real control processes and many routers to a process come up, change and survive deaths.

Nothing here depends on how fast the machine is: all waits are for what the processes tell.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from banklift.fleet.state import Result
from banklift.rig.capacity_results import Victim
from banklift.rig.capacity_trials import changes, death, rest
from banklift.rig.hollow_fleet import HollowFleet, Shape, hollow_fleet

PATIENCE = 60.0  # seconds that a change may take here, on a machine however busy
DIRECT = Shape(routers=20, voters=3, lease=4.0, per_process=10)
TIERED = Shape(routers=20, voters=3, aggregators=2, lease=4.0, sub_lease=2.6, per_process=10)


@asynccontextmanager
async def started(shape: Shape, folder: Path) -> AsyncIterator[HollowFleet]:
    async with hollow_fleet(shape, folder) as fleet:
        await fleet.start()
        yield fleet


async def change_once(fleet: HollowFleet) -> None:
    """One change takes hold everywhere."""
    before = fleet.epoch
    done = await fleet.change(PATIENCE)
    assert done.result == Result.IN_FORCE
    assert fleet.epoch == before + 1 and fleet.all_serve(fleet.epoch)
    assert 0 < done.confirmed_seconds <= done.everywhere_seconds < math.inf


def test_a_change_with_routers_that_lease_from_voters(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(DIRECT, tmp_path) as fleet:
            await change_once(fleet)
            figures = await fleet.figures()
            assert set(figures) == {"voter0", "voter1", "voter2", "routers0", "routers1"}
            for told in figures.values():
                assert told.cpu > 0 and told.sent > 0 and told.received > 0 and told.memory > 0

    anyio.run(play)


def test_a_change_with_routers_that_lease_from_aggregators(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(TIERED, tmp_path) as fleet:
            assert all(len(choice) == 2 for choice in fleet.choices.values())
            await change_once(fleet)
            figures = await fleet.figures()
            assert figures["aggregator0"].received > 0 and figures["aggregator1"].received > 0

    anyio.run(play)


def test_changes_take_hold_after_a_router_and_an_aggregator_were_killed(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(TIERED, tmp_path) as fleet:
            await fleet.kill_routers(["router3"])
            await change_once(fleet)
            await fleet.start_routers(["router3"])
            await fleet.kill_process("aggregator0")
            await change_once(fleet)
            await fleet.start_process("aggregator0")
            await change_once(fleet)

    anyio.run(play)


def test_a_router_that_leaves_holds_nothing_back(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(TIERED, tmp_path) as fleet:
            await fleet.leave_routers(["router1", "router2"])
            await change_once(fleet)

    anyio.run(play)


def test_a_router_that_leaves_and_starts_at_once_serves(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(TIERED, tmp_path) as fleet:
            await fleet.leave_routers(["router1", "router2"])
            await fleet.start_routers(["router1", "router2"])
            await change_once(fleet)

    anyio.run(play)


def test_processes_end_with_the_fleet(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(DIRECT, tmp_path) as fleet:
            processes = [host.process for host in fleet.hosts.values()]
        assert all(process is not None and process.returncode is not None for process in processes)

    anyio.run(play)


def test_trials_tell_what_was_tried_and_used(tmp_path: Path) -> None:
    async def play() -> None:
        async with started(TIERED, tmp_path) as fleet:
            watched = await rest(fleet, 0.5, 1.0)
            assert (watched.routers, watched.voters, watched.aggregators) == (20, 3, 2)
            assert watched.router.processes == 2 and watched.router.members == 20
            assert watched.aggregator is not None and watched.aggregator.messages > 0
            tried = await changes(fleet, Victim.ROUTERS, 2, 0.0, seed=1)
            assert tried.kill == "five routers" and len(tried.times) + tried.failed == 2
            assert all(told <= time for told, time in zip(tried.told, tried.times, strict=True))
            died = await death(fleet, 1, seed=1)
            assert died.trials == 1 and 0 < died.moved <= 20

    anyio.run(play)
