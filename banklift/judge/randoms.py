"""Random days: any orders at any time, over the requests of the day "short", all drawn from one seed.

Each order of `day.ORDERS` may be drawn, and each fault is ended later in the day, so that a day does not end with all
members gone. A day may still kill every member of a group at once: the rules hold on such days too.
"""

from __future__ import annotations

from random import Random

import msgspec

from banklift.judge.day import Day, FaultOrder, load_day
from banklift.proxy.plan import Config

DURATION_SECONDS = 6.0
ROUTER_COUNT_RANGE = (3, 8)  # least and most routers
# orders that a later order of the same name ends: least and greatest value
VALUE_RANGES: dict[str, tuple[float, float]] = {
    "lag": (100, 10_000),
    "slow": (3, 100),
    "slow_for": (5, 300),
    "cut": (0.05, 0.7),
    "handshake": (0.05, 0.4),
    "tail": (20, 200),
    "understate": (0.0, 0.5),
    "cap": (1, 6),
    "withhold": (1, 1),
    "delay": (0.01, 1.5),
    "leavers": (0.3, 0.9),
    "roster_delay": (0.5, 3.0),
}
# values by which those orders are ended; 0 for the others
RESET_VALUES = {
    "lag": 1.0,
    "slow": 1.0,
    "slow_for": 1.0,
    "tail": 1.0,
    "understate": 1.0,
    "cap": 10_000.0,
    "leavers": 0.2,
}
# orders that another order ends
ENDING_ORDERS = {
    "kill": "restart",
    "drain": "undrain",
    "hang": "thaw",
    "split": "heal",
    "kill_router": "start_router",
}


def random_day(seed: int) -> tuple[Day, Config, int]:
    """The day of a seed, its configuration and the number of routers."""
    random = Random(seed)
    day, config = load_day("short")
    member_names = [member.name for group in config.groups for member in group.members]
    targets = [
        *member_names,
        *(f"primary:{group.name}" for group in config.groups),
        *(f"replica:{group.name}:{index}" for group in config.groups for index in (0, 1)),
    ]
    routers = random.randint(*ROUTER_COUNT_RANGE)
    orders: list[FaultOrder] = []
    absent = (random.choice(member_names[1:3]),) if random.random() < 0.2 else ()
    orders += [FaultOrder(at=random.uniform(1, 3), do="join", member=name) for name in absent]
    for _ in range(random.randint(1, 8)):
        begin = random.uniform(0.3, DURATION_SECONDS - 1.5)
        end = begin + random.uniform(0.1, 2.5)
        do = random.choice([*VALUE_RANGES, *ENDING_ORDERS, "hang", "kill", "lag", "withhold", "stall_router"])
        member, router = random.choice(targets), random.randrange(routers)
        if do == "stall_router":
            orders.append(FaultOrder(at=begin, do=do, router=router, value=random.uniform(0.1, 1.5)))
        elif do == "kill_router":
            orders += [
                FaultOrder(at=begin, do=do, router=router),
                FaultOrder(at=end, do=ENDING_ORDERS[do], router=router),
            ]
        elif do in VALUE_RANGES:
            value = random.uniform(*VALUE_RANGES[do])
            orders += [
                FaultOrder(at=begin, do=do, member=member, router=router, value=value),
                FaultOrder(at=end, do=do, member=member, router=router, value=RESET_VALUES.get(do, 0.0)),
            ]
        else:
            if (
                do in ("hang", "kill") and random.random() < 0.4
            ):  # no replica gets the last writes before the fault
                orders += [
                    FaultOrder(at=begin - random.uniform(0.0, 0.3), do="withhold", member=member, value=1.0),
                    FaultOrder(at=end, do="withhold", member=member),
                ]
            orders += [
                FaultOrder(
                    at=begin, do=do, member=member, value=random.random(), probes=random.random() < 0.6
                ),
                FaultOrder(at=end, do=ENDING_ORDERS[do], member=member),
            ]
    day = msgspec.structs.replace(
        day,
        title=f"random day {seed}",
        seconds=DURATION_SECONDS,
        rate=random.choice((100.0, 250.0, 600.0)),
        sessions=random.choice((10, 60, 300)),
        roam=random.choice((0.0, 0.5, 1.0)),
        helped=random.random() < 0.5,
        named=random.random() < 0.3,
        batches=random.choice((0.0, 0.1, 0.5)),
        leavers=random.choice((0.0, 0.2)),
        work=random.choice((0.0005, 0.002, 0.008)),
        absent=absent,
        troubles=sorted(orders, key=lambda order: order.at),
    )
    return day, config, routers
