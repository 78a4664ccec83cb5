"""A fleet in virtual time: changes through kills, cuts, clocks and disks that go wrong, one seed after another."""

from __future__ import annotations

import pytest

from banklift.rig.seeds import play, total
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


def test_a_voter_whose_disk_fails_while_it_rejoins_votes_once_it_is_mended() -> None:
    fleet = up(10)
    fleet.kill("r2")
    disk = fleet.routers["r2"].disk
    disk.content, disk.fault = b"torn", "EIO"
    fleet.start("r2")
    fleet.run(1.0)
    assert not fleet.votes("r2")
    disk.fault = ""
    fleet.run(10.0)
    assert fleet.votes("r2")
    assert fleet.breaks == []


def test_two_of_one_name() -> None:
    fleet = up(9)
    double = fleet.add_router("r4 twice", name="r4")
    fleet.start("r4 twice")
    fleet.run(3.0)
    assert "is here already" in double.ousted
    assert fleet.serving()["r4"] == 1
    fleet.kill("r4")  # a restart is no double
    fleet.start("r4")
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1) and not fleet.routers["r4"].ousted


@pytest.mark.parametrize("way", [None, "there", "back"])
@pytest.mark.parametrize("member", ["r4", "a0"])
def test_late_words_of_a_dead_process_oust_no_restart(member: str, way: str | None) -> None:
    """It is killed and started while its links are stalled; what the dead process had sent comes with the new one's."""
    for before in (0.3, 0.8, 1.5, 2.5):
        for after in (0.05, 0.3, 1.0):
            fleet = FleetWorld(1, 6, 3, aggregators=1 if member == "a0" else 0)
            for key in fleet.members:
                fleet.start(key)
            fleet.run(6.0)
            fleet.cut_off(member, way=way)
            fleet.run(before)
            fleet.kill(member)
            fleet.start(member)
            fleet.run(after)
            fleet.heal()
            fleet.run(6.0)
            assert fleet.members[member].ousted == "", (before, after)
            assert fleet.serving() == dict.fromkeys(fleet.names, 1), (before, after)


@pytest.mark.parametrize("pause", [0.0, 0.05, 0.1, 0.2, 0.4])
@pytest.mark.parametrize("member", ["r4", "a0"])
def test_one_that_restarts_again_and_again_is_no_double(member: str, pause: float) -> None:
    for stalled in (False, True):
        fleet = FleetWorld(1, 6, 3, aggregators=1 if member == "a0" else 0)
        for key in fleet.members:
            fleet.start(key)
        fleet.run(6.0)
        if stalled:
            fleet.cut_off(member)
        for _ in range(3):
            fleet.run(pause)
            fleet.kill(member)
            fleet.start(member)
        fleet.run(0.2)
        fleet.heal()
        fleet.run(8.0)
        assert fleet.members[member].ousted == "", stalled
        assert fleet.serving() == dict.fromkeys(fleet.names, 1), stalled


@pytest.mark.parametrize("way", ["there", "back"])
@pytest.mark.parametrize("aggregators", [0, 1])
def test_a_short_lease_that_has_ended_when_it_comes_ends_the_longer_one(aggregators: int, way: str) -> None:
    """While leases run out, a router on a slow link gets a lease that is over on its arrival, and gives up the longer
    one that it had: it has to stop at once."""
    for step in range(16):
        fleet = FleetWorld(1, 5, 3, aggregators=aggregators)
        for key in fleet.members:
            fleet.start(key)
        fleet.run(6.0)
        for relay in fleet.links("r4"):
            relay.fault(way, "delay", 0.05 * (step + 1))
        fleet.run(4.0)
        assert fleet.change(b"second") == "in force"
        fleet.run(3.0)
        assert fleet.breaks == [], step


@pytest.mark.parametrize("seeds", [range(place, place + 10) for place in range(0, 40, 10)])
def test_faults_of_all_kinds_together(seeds: range) -> None:
    """More seeds: `python -m banklift.rig.seeds --direct --from 0 --count 200`."""
    reports = [play(seed, aggregated=False) for seed in seeds]
    assert {report.seed: report.faults for report in reports if report.faults} == {}
    cases = total(reports)
    for case in (
        "told in force",
        "never mixed: adopted while another served",
        "contained: leases extended",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert cases[case] > 10, cases
