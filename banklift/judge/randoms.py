"""Days at random: any order to the stand at any time, from one seed, with what each day writes and reads as well.

Every order of `day.ORDERS` has its chance. What an order breaks is mended later in the day, so that a day does not end
with all members gone, and one that nobody would survive (every member of a group killed at once) may still come: the
rules hold on such days too.
"""

from __future__ import annotations

from random import Random

import msgspec

from banklift.judge.day import Day, Trouble, load_day
from banklift.proxy.plan import Config

SECONDS = 6.0
SIZES = (3, 8)  # routers
SPELLS: dict[
    str, tuple[float, float]
] = {  # orders that a later one of the same name takes back: values, from and to
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
RESTS = {
    "lag": 1.0,
    "slow": 1.0,
    "slow_for": 1.0,
    "tail": 1.0,
    "understate": 1.0,
    "cap": 10_000.0,
    "leavers": 0.2,
}
PAIRS = {
    "kill": "restart",
    "drain": "undrain",
    "hang": "thaw",
    "split": "heal",
    "kill_router": "start_router",
}


def random_day(seed: int) -> tuple[Day, Config, int]:
    """A day, its configuration and how many routers play it."""
    random = Random(seed)
    day, config = load_day("short")
    members = [member.name for group in config.groups for member in group.members]
    places = [
        *members,
        *(f"primary:{group.name}" for group in config.groups),
        *(f"replica:{group.name}:{n}" for group in config.groups for n in (0, 1)),
    ]
    routers = random.randint(*SIZES)
    troubles: list[Trouble] = []
    absent = (random.choice(members[1:3]),) if random.random() < 0.2 else ()
    troubles += [Trouble(at=random.uniform(1, 3), do="join", member=name) for name in absent]
    for _ in range(random.randint(1, 8)):
        begin = random.uniform(0.3, SECONDS - 1.5)
        end = begin + random.uniform(0.1, 2.5)
        do = random.choice([*SPELLS, *PAIRS, "hang", "kill", "lag", "withhold", "stall_router"])
        member, router = random.choice(places), random.randrange(routers)
        if do == "stall_router":
            troubles.append(Trouble(at=begin, do=do, router=router, value=random.uniform(0.1, 1.5)))
        elif do == "kill_router":
            troubles += [
                Trouble(at=begin, do=do, router=router),
                Trouble(at=end, do=PAIRS[do], router=router),
            ]
        elif do in SPELLS:
            value = random.uniform(*SPELLS[do])
            troubles += [
                Trouble(at=begin, do=do, member=member, router=router, value=value),
                Trouble(at=end, do=do, member=member, router=router, value=RESTS.get(do, 0.0)),
            ]
        else:
            if do in ("hang", "kill") and random.random() < 0.4:  # what it runs last, no replica gets
                troubles += [
                    Trouble(at=begin - random.uniform(0.0, 0.3), do="withhold", member=member, value=1.0),
                    Trouble(at=end, do="withhold", member=member),
                ]
            troubles += [
                Trouble(at=begin, do=do, member=member, value=random.random(), probes=random.random() < 0.6),
                Trouble(at=end, do=PAIRS[do], member=member),
            ]
    day = msgspec.structs.replace(
        day,
        title=f"random day {seed}",
        seconds=SECONDS,
        rate=random.choice((100.0, 250.0, 600.0)),
        sessions=random.choice((10, 60, 300)),
        roam=random.choice((0.0, 0.5, 1.0)),
        helped=random.random() < 0.5,
        named=random.random() < 0.3,
        batches=random.choice((0.0, 0.1, 0.5)),
        leavers=random.choice((0.0, 0.2)),
        work=random.choice((0.0005, 0.002, 0.008)),
        absent=absent,
        troubles=sorted(troubles, key=lambda trouble: trouble.at),
    )
    return day, config, routers
