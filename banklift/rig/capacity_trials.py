"""What is tried on a hollow fleet that is up: rest, changes with and without deaths, the death of an aggregator."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable, Mapping
from random import Random

import anyio

from banklift.rig.capacity_results import Changes, Death, Rest, Share, Victim
from banklift.rig.hollow_fleet import ChangeTimes, HollowFleet
from banklift.rig.hollow_messages import Figures, Kind

SETTLE_LEASES = 1.3  # leases after the start in which voters learn of all that are out, and renewals spread
CHANGE_TIME = 25.0  # seconds after which a change counts as failed
EARLY, LATE = 1.0, 1.5  # seconds before and after the operator's word in which something is killed
SEVERAL = 5  # routers


async def rest(fleet: HollowFleet, seconds: float, start: float) -> Rest:
    """Watch a fleet in which nothing happens. `start`: seconds that its start took."""
    shape = fleet.shape
    await anyio.sleep(SETTLE_LEASES * shape.lease)
    before = await fleet.figures()
    await anyio.sleep(seconds)
    after = await fleet.figures()
    shares = shares_of(fleet, before, after)
    return Rest(
        shape.routers,
        shape.voters,
        shape.aggregators,
        shape.lease,
        shape.sub_lease,
        seconds,
        shares[Kind.ROUTERS],
        shares[Kind.VOTER],
        shares.get(Kind.AGGREGATOR),
        sum(_cpu(name, before, after) for name in after) / seconds,
        start,
        sum(after[name].lapses - before[name].lapses for name in after),
    )


def shares_of(
    fleet: HollowFleet, before: Mapping[str, Figures], after: Mapping[str, Figures]
) -> dict[Kind, Share]:
    """What the processes of each kind used between two reports; those started in between count from their start."""
    return {
        kind: _share(fleet, kind, before, after)
        for kind in Kind
        if any(host.name in after for host in fleet.hosts_of(kind))
    }


def _share(
    fleet: HollowFleet, kind: Kind, before: Mapping[str, Figures], after: Mapping[str, Figures]
) -> Share:
    hosts = [host for host in fleet.hosts_of(kind) if host.name in after]
    members = sum(len(host.spec.names) for host in hosts)
    cores, sent, received, messages, memory = [], 0.0, 0.0, 0.0, 0.0
    for host in hosts:
        new, old = after[host.name], before.get(host.name)
        if old is None or new.cpu < old.cpu:  # another process than the one that reported before
            continue
        seconds = new.time - old.time
        cores.append((new.cpu - old.cpu) / seconds)
        sent += (new.sent - old.sent) / seconds
        received += (new.received - old.received) / seconds
        messages += (new.messages - old.messages) / seconds
        memory += new.memory - (new.memory_empty if kind is Kind.ROUTERS else 0)
    part = members * len(cores) / len(hosts) if cores else math.inf
    return Share(
        len(hosts),
        members,
        sum(cores) / part,
        max(cores, default=0.0),
        memory / part,
        sent / part,
        received / part,
        messages / part,
    )


async def changes(
    fleet: HollowFleet, victim: Victim, count: int, rate: float, seed: int, seconds: float = math.inf
) -> Changes:
    """Changes one after the other, or at `rate` a second; up to `count` of them, begun within `seconds`."""
    random, shape = Random(seed), fleet.shape
    before, begin = await fleet.figures(), time.monotonic()
    done: list[ChangeTimes] = []
    for number in range(count):
        if time.monotonic() - begin >= seconds:
            break
        if rate:
            await anyio.sleep(max(0.0, begin + number / rate - time.monotonic()))
        done.append(await _change(fleet, victim, random))
        if done[-1].everywhere_seconds == math.inf:
            await _recover(fleet)
    spent = time.monotonic() - begin
    after = await fleet.figures()
    shares = shares_of(fleet, before, after)
    lapsed = sum(
        max(0.0, one.lapsed - (before[name].lapsed if name in before else 0.0)) for name, one in after.items()
    )
    good = [one for one in done if one.everywhere_seconds < math.inf]
    return Changes(
        shape.routers,
        shape.voters,
        shape.aggregators,
        shape.lease,
        shape.sub_lease,
        str(victim),
        rate,
        shape.policy_bytes,
        tuple(round(one.everywhere_seconds, 3) for one in good),
        tuple(round(one.confirmed_seconds, 3) for one in good),
        len(done) - len(good),
        spent,
        shares[Kind.ROUTERS],
        shares[Kind.VOTER],
        shares.get(Kind.AGGREGATOR),
        sum(_cpu(name, before, after) for name in after) / spent,
        max(one.longest for one in after.values()),
        lapsed / max(1, len(done)) / (shape.routers + shape.voters),
    )


def _cpu(name: str, before: Mapping[str, Figures], after: Mapping[str, Figures]) -> float:
    """Processor seconds between two reports; of a process that was started again, those since its start."""
    used = after[name].cpu
    earlier = before[name].cpu if name in before else 0.0
    return used - earlier if used >= earlier else used


async def _change(fleet: HollowFleet, victim: Victim, random: Random) -> ChangeTimes:
    """One change with one death at a drawn moment around it; what died is up again afterwards."""
    if victim is Victim.NOBODY:
        return await fleet.change(CHANGE_TIME)
    kill, restore = _fault(fleet, victim, random)
    moment = random.uniform(-EARLY, LATE)
    found: list[ChangeTimes] = []

    async def change() -> None:
        await anyio.sleep(max(0.0, -moment))
        found.append(await fleet.change(CHANGE_TIME))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change)
        await anyio.sleep(max(0.0, moment))
        await kill()
    await restore()
    return found[0]


def _fault(
    fleet: HollowFleet, victim: Victim, random: Random
) -> tuple[Callable[[], Awaitable[None]], Callable[[], Awaitable[None]]]:
    """How it is killed, and started again."""
    if victim is Victim.AGGREGATOR:
        name = random.choice(list(fleet.aggregators))
        return lambda: fleet.kill_process(name), lambda: fleet.start_process(name)
    names = random.sample(fleet.routers, 1 if victim is Victim.ROUTER else SEVERAL)
    if victim is Victim.LEAVING:
        return lambda: fleet.leave_routers(names), lambda: fleet.start_routers(names)
    return lambda: fleet.kill_routers(names), lambda: fleet.start_routers(names)


async def _recover(fleet: HollowFleet) -> None:
    """After a change that did not come into force in time: wait until the fleet serves one policy again."""
    newest = max(epoch for host in fleet.serving_hosts() for epoch in host.serving)
    with anyio.move_on_after(CHANGE_TIME):
        await fleet.wait_until(lambda: fleet.all_serve(newest), CHANGE_TIME)
        fleet.epoch = newest


async def death(fleet: HollowFleet, trials: int, seed: int) -> Death:
    """Kill aggregators of a fleet at rest, one after the other, and count routers that were without a lease."""
    random, shape = Random(seed), fleet.shape
    lapses, longest, moved = 0, 0.0, 0
    for name in random.sample(list(fleet.aggregators), trials):
        before = await fleet.figures()
        moved += len(fleet.routers_preferring(name))
        await fleet.kill_process(name)
        await anyio.sleep(1.5 * shape.sub_lease)  # by then what it granted has ended
        await fleet.start_process(name)
        await anyio.sleep(0.5 * shape.lease)
        after = await fleet.figures()
        lapses += sum(after[one].lapses - before[one].lapses for one in after if one != name)
        longest = max(longest, max(one.longest for one in after.values()))
    return Death(shape.routers, shape.aggregators, trials, moved, lapses, longest)
