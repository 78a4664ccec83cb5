"""A fleet in virtual time: changes through kills, cuts, clocks and disks that go wrong, one seed after another."""

from __future__ import annotations

from random import Random

import pytest

from banklift.fleet.messages import Set, Show, Shown
from banklift.rig.relay import FAULTS
from banklift.rig.world import REFUSED, FleetWorld


def up(seed: int, routers: int = 5, voters: int = 3) -> FleetWorld:
    fleet = FleetWorld(seed, routers, voters)
    for name in fleet.names:
        fleet.start(name)
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    return fleet


def test_a_change_takes_hold_on_all() -> None:
    fleet = up(1)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < 3.0
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.breaks == [] and fleet.cases["never mixed: adopted while another served"] > 0


def test_one_that_refuses_stops_it_everywhere() -> None:
    fleet = up(2)
    fleet.routers["r4"].reasons = ("$.classes: not in this build",)
    assert fleet.change(b"second " + REFUSED) == "aborted"
    fleet.run(5.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.change(b"third") == "in force"
    assert fleet.breaks == []


def test_one_that_is_down_comes_back_under_the_new_one() -> None:
    fleet = up(3)
    fleet.kill("r4")
    assert fleet.change(b"second") == "in force"
    fleet.start("r4")
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.breaks == []


@pytest.mark.parametrize("way", [None, "there", "back"])
def test_one_that_is_cut_off_stops_by_itself(way: str | None) -> None:
    fleet = up(4)
    for voter in fleet.voters:
        for each in ("there", "back") if way is None else (way,):
            fleet.relays["r4", voter].fault(each, "stall")
    assert fleet.change(b"second") == "in force"
    assert "r4" not in fleet.serving()
    for voter in fleet.voters:
        fleet.relays["r4", voter].heal()
    fleet.run(10.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.breaks == []


def test_a_minority_of_voters_changes_nothing() -> None:
    fleet = up(5)
    fleet.kill("r0")
    fleet.kill("r1")
    assert fleet.change(b"second", voter="r2", seconds=15.0) == "unknown"
    fleet.start("r0")
    fleet.run(20.0)
    assert fleet.breaks == []


def test_all_voters_killed_and_started_again() -> None:
    fleet = up(6)
    assert fleet.change(b"second") == "in force"
    for name in fleet.voters:
        fleet.kill(name)
    fleet.run(0.5)
    for name in fleet.voters:
        fleet.start(name)
    fleet.run(6.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.change(b"third") == "in force"
    assert fleet.breaks == []


@pytest.mark.parametrize("state", ["gone", "yesterday"])
def test_a_voter_whose_disk_lost_its_state_learns_it_before_it_votes(state: str) -> None:
    fleet = up(7)
    for number in range(3):
        assert fleet.change(b"policy %d" % number) == "in force"
    fleet.kill("r0")
    disk = fleet.routers["r0"].disk
    disk.content = None if state == "gone" else disk.older[2]
    fleet.start("r0")
    fleet.run(2.0)
    assert fleet.change(b"last", voter="r0") == "in force"
    fleet.run(1.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 5)
    assert fleet.breaks == []


def test_with_one_voter_gone_another_that_starts_does_not_vote() -> None:
    """Its disk may be yesterday's, and nobody could tell."""
    fleet = up(8)
    fleet.kill("r0")
    fleet.kill("r1")
    fleet.start("r1")
    fleet.run(15.0)
    assert fleet.serving() == {}
    fleet.start("r0")
    fleet.run(10.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.breaks == []


def test_two_of_one_name() -> None:
    fleet = up(9)
    double = FleetWorld.__new__(FleetWorld)
    double.__dict__.update(fleet.__dict__)
    double.routers = {
        **fleet.routers,
        "r4": type(fleet.routers["r4"])("r4", 1.0, type(fleet.routers["r4"].disk)()),
    }
    double.start("r4")
    fleet.run(3.0)
    assert "is here already" in double.routers["r4"].ousted
    assert fleet.serving()["r4"] == 1
    fleet.kill("r4")  # a restart is no double
    fleet.start("r4")
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1) and not fleet.routers["r4"].ousted


def schedule(seed: int, seconds: float = 40.0) -> FleetWorld:
    """Faults of all kinds together, and changes meanwhile."""
    random = Random(seed)
    voters = random.choice((3, 3, 5))
    fleet = FleetWorld(seed, random.randrange(voters + 1, 9), voters)
    for name in fleet.names:
        fleet.world.at(fleet.world.now() + random.uniform(0.0, 1.0), lambda name=name: fleet.start(name))  # type: ignore[misc]
    fleet.run(4.0)
    end, number = fleet.world.now() + seconds, 0
    suspects: set[str] = set()  # voters whose disk was touched and that have not voted since
    while fleet.world.now() < end:
        what = random.random()
        name = random.choice(fleet.names)
        router, now = fleet.routers[name], fleet.world.now()
        suspects = {one for one in suspects if not fleet.votes(one)}
        if what < 0.25:
            number += 1
            fleet.ask(
                random.choice(fleet.voters),
                Show(),
                lambda answer, n=number: _set(fleet, random, answer, n),  # type: ignore[misc]
            )
        elif what < 0.45:
            if router.host is not None:
                fleet.kill(name)
                if (
                    name in fleet.voters
                    and len(suspects - {name}) < (voters - 1) // 2
                    and random.random() < 0.5
                ):
                    suspects.add(name)
                    disk = router.disk
                    kind = random.randrange(3)
                    disk.content = (
                        None
                        if kind == 0
                        else b"torn"
                        if kind == 1
                        else random.choice([*disk.older, disk.content])
                    )
                    fleet.case(f"disk {('wiped', 'torn', 'rolled back')[kind]}")
                fleet.case("kills")
                fleet.world.at(
                    now + random.uniform(0.05, 6.0),
                    lambda name=name: fleet.start(name) if fleet.routers[name].host is None else None,  # type: ignore[misc]
                )
        elif what < 0.55 and name in fleet.voters:
            router.disk.fault = random.choice(["", "", "EIO", "full"])
        else:
            relay = random.choice(list(fleet.relays.values()))
            fault, way = random.choice(FAULTS), random.choice(("there", "back"))
            relay.fault(way, fault, {"delay": 0.3, "throttle": 2000.0}.get(fault, 1.0))
            fleet.world.at(
                now + random.uniform(0.1, 8.0),
                lambda relay=relay, fault=fault, way=way: relay.fault(way, fault, 0),  # type: ignore[misc]
            )
        fleet.run(random.uniform(0.0, 1.0))
    for relay in fleet.relays.values():
        relay.heal()
    for name, router in fleet.routers.items():
        router.disk.fault = ""
        if router.host is None:
            fleet.start(name)
    fleet.run(30.0)
    return fleet


def _set(fleet: FleetWorld, random: Random, answer: object, number: int) -> None:
    if isinstance(answer, Shown) and answer.state is not None:
        wanted = Set(f"{answer.state.version}-n{number}", b"policy %d" % number, random.uniform(2.0, 12.0))
        for _ in range(random.choice((1, 1, 2))):  # two operators' tools, or one that asks again
            fleet.ask(random.choice(fleet.voters), wanted, fleet.told)


@pytest.mark.parametrize("seeds", [range(place, place + 10) for place in range(0, 40, 10)])
def test_faults_of_all_kinds_together(seeds: range) -> None:
    cases: dict[str, int] = {}
    for seed in seeds:
        fleet = schedule(seed)
        assert fleet.breaks == [], (seed, fleet.breaks)
        assert set(fleet.serving()) == set(fleet.names), (seed, fleet.serving())  # all is well again
        assert fleet.change(b"at last") == "in force", seed
        fleet.run(1.0)
        assert len(set(fleet.serving().values())) == 1 and set(fleet.serving()) == set(fleet.names), seed
        for name, count in fleet.cases.items():
            cases[name] = cases.get(name, 0) + count
    assert cases["told in force"] > 10 and cases["never mixed: adopted while another served"] > 10, cases
