"""Trials on a hollow fleet that runs: the fleet without changes, changes with and without faults, and the failure of
aggregators.

Each trial returns a struct of capacity_results.py. Errors of all trials: `TimeoutError` and `HollowFleetFailed` of the
fleet, and `Unreachable` if no voter answers an operator.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable, Mapping
from random import Random

import anyio

from banklift.rig.capacity_results import AggregatorKills, ChangeSeries, IdleFleet, ResourceUsage, Victim
from banklift.rig.hollow_fleet import ChangeTimes, HollowFleet
from banklift.rig.hollow_messages import Figures, Kind

SETTLE_LEASES = 1.3  # leases until voters know all that are outstanding and renewals are spread out
CHANGE_TIMEOUT = 25.0  # seconds after which a change counts as failed
MAX_FAULT_LEAD, MAX_FAULT_DELAY = 1.0, 1.5  # seconds by which a fault may precede or follow a proposal
ROUTERS_KILLED = 5  # at once, by a fault of several routers
AGGREGATOR_DOWN_SUB_LEASES = 1.5  # sub-leases until a killed aggregator starts; its own have ended by then
AGGREGATOR_BACK_LEASES = 0.5  # leases from its start to the report


async def measure_idle_fleet(fleet: HollowFleet, seconds: float, start: float) -> IdleFleet:
    """Measure a fleet for so many seconds without changes or faults. `start`: seconds that its start took."""
    shape = fleet.shape
    await anyio.sleep(SETTLE_LEASES * shape.lease)
    before = await fleet.figures()
    await anyio.sleep(seconds)
    after = await fleet.figures()
    usage = usage_by_kind(fleet, before, after)
    return IdleFleet(
        shape.routers,
        shape.voters,
        shape.aggregators,
        shape.lease,
        shape.sub_lease,
        seconds,
        usage[Kind.ROUTERS],
        usage[Kind.VOTER],
        usage.get(Kind.AGGREGATOR),
        sum(_cpu(name, before, after) for name in after) / seconds,
        start,
        sum(after[name].lapses - before[name].lapses for name in after),
    )


def usage_by_kind(
    fleet: HollowFleet, before: Mapping[str, Figures], after: Mapping[str, Figures]
) -> dict[Kind, ResourceUsage]:
    """What the processes of each kind used between two reports; these are by the name of the process. A process that
    was started in between, again or for the first time, is left out."""
    return {
        kind: _usage(fleet, kind, before, after)
        for kind in Kind
        if any(host.name in after for host in fleet.hosts_of(kind))
    }


def _usage(
    fleet: HollowFleet, kind: Kind, before: Mapping[str, Figures], after: Mapping[str, Figures]
) -> ResourceUsage:
    hosts = [host for host in fleet.hosts_of(kind) if host.name in after]
    members = sum(len(host.spec.names) for host in hosts)
    cores, sent, received, messages, memory = [], 0.0, 0.0, 0.0, 0.0
    for host in hosts:
        new, old = after[host.name], before.get(host.name)
        if old is None or new.cpu < old.cpu:  # the process was started between the two reports
            continue
        seconds = new.time - old.time
        cores.append((new.cpu - old.cpu) / seconds)
        sent += (new.sent - old.sent) / seconds
        received += (new.received - old.received) / seconds
        messages += (new.messages - old.messages) / seconds
        memory += new.memory - (new.memory_empty if kind is Kind.ROUTERS else 0)
    counted_members = members * len(cores) / len(hosts) if cores else math.inf
    return ResourceUsage(
        len(hosts),
        members,
        sum(cores) / counted_members,
        max(cores, default=0.0),
        memory / counted_members,
        sent / counted_members,
        received / counted_members,
        messages / counted_members,
    )


async def run_changes(
    fleet: HollowFleet, victim: Victim, count: int, rate: float, seed: int, seconds: float = math.inf
) -> ChangeSeries:
    """Change the policy up to `count` times, each with the fault that `victim` names.

    `rate`: changes that begin a second, at the most; 0: each begins as soon as the one before has ended. None begins
    later than `seconds` after the first. `seed` is of the faults' times and victims. After a change that is not in
    force everywhere in time, the next one waits until the fleet serves one policy again.
    """
    random, shape = Random(seed), fleet.shape
    before, begin = await fleet.figures(), time.monotonic()
    finished: list[ChangeTimes] = []
    for number in range(count):
        if time.monotonic() - begin >= seconds:
            break
        if rate:
            await anyio.sleep(max(0.0, begin + number / rate - time.monotonic()))
        finished.append(await _change_with_fault(fleet, victim, random))
        if finished[-1].everywhere_seconds == math.inf:
            await _recover(fleet)
    elapsed = time.monotonic() - begin
    after = await fleet.figures()
    usage = usage_by_kind(fleet, before, after)
    lapsed = sum(
        max(0.0, figures.lapsed - (before[name].lapsed if name in before else 0.0))
        for name, figures in after.items()
    )
    in_force = [times for times in finished if times.everywhere_seconds < math.inf]
    return ChangeSeries(
        shape.routers,
        shape.voters,
        shape.aggregators,
        shape.lease,
        shape.sub_lease,
        str(victim),
        rate,
        shape.policy_bytes,
        tuple(round(times.everywhere_seconds, 3) for times in in_force),
        tuple(round(times.confirmed_seconds, 3) for times in in_force),
        len(finished) - len(in_force),
        elapsed,
        usage[Kind.ROUTERS],
        usage[Kind.VOTER],
        usage.get(Kind.AGGREGATOR),
        sum(_cpu(name, before, after) for name in after) / elapsed,
        max(figures.longest for figures in after.values()),
        lapsed / max(1, len(finished)) / (shape.routers + shape.voters),
    )


def _cpu(name: str, before: Mapping[str, Figures], after: Mapping[str, Figures]) -> float:
    """Processor seconds of a process between two reports; since its start if it was started in between."""
    used = after[name].cpu
    earlier = before[name].cpu if name in before else 0.0
    return used - earlier if used >= earlier else used


async def _change_with_fault(fleet: HollowFleet, victim: Victim, random: Random) -> ChangeTimes:
    """One change with one fault at a random time around its proposal; the victim runs again afterwards."""
    if victim is Victim.NONE:
        return await fleet.change(CHANGE_TIMEOUT)
    kill, restore = _fault(fleet, victim, random)
    # seconds after the proposal; negative: before it
    fault_time = random.uniform(-MAX_FAULT_LEAD, MAX_FAULT_DELAY)
    results: list[ChangeTimes] = []

    async def change() -> None:
        await anyio.sleep(max(0.0, -fault_time))
        results.append(await fleet.change(CHANGE_TIMEOUT))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change)
        await anyio.sleep(max(0.0, fault_time))
        await kill()
    await restore()
    return results[0]


def _fault(
    fleet: HollowFleet, victim: Victim, random: Random
) -> tuple[Callable[[], Awaitable[None]], Callable[[], Awaitable[None]]]:
    """The calls that end a random victim of this kind and start it again."""
    if victim is Victim.AGGREGATOR:
        name = random.choice(list(fleet.aggregators))
        return lambda: fleet.kill_process(name), lambda: fleet.start_process(name)
    names = random.sample(fleet.routers, 1 if victim is Victim.ROUTER else ROUTERS_KILLED)
    if victim is Victim.FIVE_ROUTERS_BY_SIGTERM:
        return lambda: fleet.leave_routers(names), lambda: fleet.start_routers(names)
    return lambda: fleet.kill_routers(names), lambda: fleet.start_routers(names)


async def _recover(fleet: HollowFleet) -> None:
    """Wait until the fleet serves one policy again after a change that was not in force everywhere in time. Gives
    up after `CHANGE_TIMEOUT`."""
    newest = max(epoch for host in fleet.serving_hosts() for epoch in host.serving)
    with anyio.move_on_after(CHANGE_TIMEOUT):
        await fleet.wait_until(lambda: fleet.all_serve(newest), CHANGE_TIMEOUT)
        fleet.epoch = newest


async def kill_aggregators(fleet: HollowFleet, trials: int, seed: int) -> AggregatorKills:
    """Kill so many aggregators, one after the other, while no change is under way, and count lapses of routers' leases.

    Each one starts again before the next is killed. `seed` is of their choice.
    """
    random, shape = Random(seed), fleet.shape
    lapses, longest, moved = 0, 0.0, 0
    for name in random.sample(list(fleet.aggregators), trials):
        before = await fleet.figures()
        moved += len(fleet.routers_preferring(name))
        await fleet.kill_process(name)
        await anyio.sleep(AGGREGATOR_DOWN_SUB_LEASES * shape.sub_lease)
        await fleet.start_process(name)
        await anyio.sleep(AGGREGATOR_BACK_LEASES * shape.lease)
        after = await fleet.figures()
        lapses += sum(after[other].lapses - before[other].lapses for other in after if other != name)
        longest = max(longest, max(figures.longest for figures in after.values()))
    return AggregatorKills(shape.routers, shape.aggregators, trials, moved, lapses, longest)
