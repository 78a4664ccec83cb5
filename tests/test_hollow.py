"""Hollow fleets start, put changes of policy in force everywhere, and survive kills of routers and aggregators.

A hollow router leases as a real one does but serves no traffic; many of them run in one process. All waits are for
reports of the processes, so no test depends on the speed of the machine.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from banklift.fleet.state import Result
from banklift.rig.capacity_results import Victim
from banklift.rig.capacity_trials import kill_aggregators, measure_idle_fleet, run_changes
from banklift.rig.hollow_fleet import FleetShape, HollowFleet, hollow_fleet

CHANGE_TIMEOUT = 60.0  # seconds, enough on a busy machine
DIRECT = FleetShape(routers=20, voters=3, lease=4.0, per_process=10)
TIERED = FleetShape(routers=20, voters=3, aggregators=2, lease=4.0, sub_lease=2.6, per_process=10)


@asynccontextmanager
async def started_fleet(shape: FleetShape, folder: Path) -> AsyncIterator[HollowFleet]:
    """A fleet all of whose members serve."""
    async with hollow_fleet(shape, folder) as fleet:
        await fleet.start()
        yield fleet


async def change_once(fleet: HollowFleet) -> None:
    """Change the policy and check that all live members serve it, under the next epoch."""
    previous_epoch = fleet.epoch
    change = await fleet.change(CHANGE_TIMEOUT)
    assert change.result == Result.IN_FORCE
    assert fleet.epoch == previous_epoch + 1 and fleet.all_serve(fleet.epoch)
    assert 0 < change.confirmed_seconds <= change.everywhere_seconds < math.inf


def test_change_is_in_force_where_routers_lease_from_voters(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(DIRECT, tmp_path) as fleet:
            await change_once(fleet)
            figures = await fleet.figures()
            assert set(figures) == {"voter0", "voter1", "voter2", "routers0", "routers1"}
            for usage in figures.values():
                assert usage.cpu > 0 and usage.sent > 0 and usage.received > 0 and usage.memory > 0

    anyio.run(scenario)


def test_change_is_in_force_where_routers_lease_from_aggregators(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(TIERED, tmp_path) as fleet:
            assert all(len(choice) == 2 for choice in fleet.choices.values())
            await change_once(fleet)
            figures = await fleet.figures()
            assert figures["aggregator0"].received > 0 and figures["aggregator1"].received > 0

    anyio.run(scenario)


def test_change_is_in_force_after_a_router_or_an_aggregator_is_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(TIERED, tmp_path) as fleet:
            await fleet.kill_routers(["router3"])
            await change_once(fleet)
            await fleet.start_routers(["router3"])
            await fleet.kill_process("aggregator0")
            await change_once(fleet)
            await fleet.start_process("aggregator0")
            await change_once(fleet)

    anyio.run(scenario)


def test_change_is_in_force_after_routers_leave(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(TIERED, tmp_path) as fleet:
            await fleet.leave_routers(["router1", "router2"])
            await change_once(fleet)

    anyio.run(scenario)


def test_routers_that_leave_and_start_at_once_serve_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(TIERED, tmp_path) as fleet:
            await fleet.leave_routers(["router1", "router2"])
            await fleet.start_routers(["router1", "router2"])
            await change_once(fleet)

    anyio.run(scenario)


def test_all_processes_end_with_the_fleet(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(DIRECT, tmp_path) as fleet:
            processes = [host.process for host in fleet.hosts.values()]
        assert all(process is not None and process.returncode is not None for process in processes)

    anyio.run(scenario)


def test_trials_report_the_fleet_its_usage_and_the_changes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with started_fleet(TIERED, tmp_path) as fleet:
            idle = await measure_idle_fleet(fleet, 0.5, 1.0)
            assert (idle.routers, idle.voters, idle.aggregators) == (20, 3, 2)
            assert idle.router.processes == 2 and idle.router.members == 20
            assert idle.aggregator is not None and idle.aggregator.messages > 0
            series = await run_changes(fleet, Victim.FIVE_ROUTERS, 2, 0.0, seed=1)
            assert series.kill == "five routers" and len(series.times) + series.failed == 2
            assert all(
                confirmed <= everywhere
                for confirmed, everywhere in zip(series.told, series.times, strict=True)
            )
            kills = await kill_aggregators(fleet, 1, seed=1)
            assert kills.trials == 1 and 0 < kills.moved <= 20

    anyio.run(scenario)
