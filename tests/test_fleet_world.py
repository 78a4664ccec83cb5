"""A fleet in virtual time: changes of policy while members are killed or cut off, and clocks and disks go wrong.

`fleet.violations` lists the invariants that were broken; they are described in rig/world_judge.py.
"""

from __future__ import annotations

import pytest

from banklift.rig.seeds import play, sum_cases
from banklift.rig.world import REFUSAL_MARKER, FleetWorld


def settled_fleet(seed: int, routers: int = 5, voters: int = 3) -> FleetWorld:
    """A fleet without aggregators whose routers all serve epoch 1."""
    fleet = FleetWorld(seed, routers, voters)
    for name in fleet.names:
        fleet.start(name)
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    return fleet


def test_a_change_takes_hold_on_all_routers() -> None:
    fleet = settled_fleet(1)
    begin = fleet.world.now()
    assert fleet.change(b"second") == "in force"
    assert fleet.world.now() - begin < 3.0
    fleet.run(0.5)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.violations == [] and fleet.case_counts["never mixed: adopted while another served"] > 0


def test_a_change_is_aborted_if_one_router_refuses() -> None:
    fleet = settled_fleet(2)
    fleet.routers["r4"].refusal_reasons = ("$.classes: not in this build",)
    assert fleet.change(b"second " + REFUSAL_MARKER) == "aborted"
    fleet.run(5.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.change(b"third") == "in force"
    assert fleet.violations == []


def test_a_router_that_was_down_during_a_change_serves_the_new_policy() -> None:
    fleet = settled_fleet(3)
    fleet.kill("r4")
    assert fleet.change(b"second") == "in force"
    fleet.start("r4")
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.violations == []


@pytest.mark.parametrize("way", [None, "there", "back"])
def test_a_router_that_is_cut_off_stops_by_itself(way: str | None) -> None:
    fleet = settled_fleet(4)
    for voter in fleet.voters:
        for each in ("there", "back") if way is None else (way,):
            fleet.relays["r4", voter].fault(each, "stall")
    assert fleet.change(b"second") == "in force"
    assert "r4" not in fleet.serving()
    for voter in fleet.voters:
        fleet.relays["r4", voter].heal()
    fleet.run(10.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.violations == []


def test_a_change_does_not_take_hold_without_a_majority_of_voters() -> None:
    fleet = settled_fleet(5)
    fleet.kill("r0")
    fleet.kill("r1")
    assert fleet.change(b"second", voter="r2", seconds=15.0) == "unknown"
    fleet.start("r0")
    fleet.run(20.0)
    assert fleet.violations == []


def test_all_voters_restart_at_once() -> None:
    fleet = settled_fleet(6)
    assert fleet.change(b"second") == "in force"
    for name in fleet.voters:
        fleet.kill(name)
    fleet.run(0.5)
    for name in fleet.voters:
        fleet.start(name)
    fleet.run(6.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 2)
    assert fleet.change(b"third") == "in force"
    assert fleet.violations == []


@pytest.mark.parametrize("state", ["gone", "yesterday"])
def test_a_voter_with_a_lost_or_old_disk_reads_the_state_from_others_before_it_votes(state: str) -> None:
    fleet = settled_fleet(7)
    for number in range(3):
        assert fleet.change(b"policy %d" % number) == "in force"
    fleet.kill("r0")
    disk = fleet.routers["r0"].disk
    disk.content = None if state == "gone" else disk.history[2]
    fleet.start("r0")
    fleet.run(2.0)
    assert fleet.change(b"last", voter="r0") == "in force"
    fleet.run(1.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 5)
    assert fleet.violations == []


def test_a_restarted_voter_does_not_vote_while_another_one_is_down() -> None:
    """The disk of the restarted voter may have been rolled back, and one other voter is too few to rule this out."""
    fleet = settled_fleet(8)
    fleet.kill("r0")
    fleet.kill("r1")
    fleet.start("r1")
    fleet.run(15.0)
    assert fleet.serving() == {}
    fleet.start("r0")
    fleet.run(10.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1)
    assert fleet.violations == []


def test_a_voter_whose_disk_fails_while_it_rejoins_votes_once_the_disk_works() -> None:
    fleet = settled_fleet(10)
    fleet.kill("r2")
    disk = fleet.routers["r2"].disk
    disk.content, disk.fault = b"torn", "EIO"
    fleet.start("r2")
    fleet.run(1.0)
    assert not fleet.is_voting("r2")
    disk.fault = ""
    fleet.run(10.0)
    assert fleet.is_voting("r2")
    assert fleet.violations == []


def test_a_second_router_of_the_same_name_has_to_end() -> None:
    """A restarted router does not count as a second one."""
    fleet = settled_fleet(9)
    second = fleet.add_router("r4 twice", name="r4")
    fleet.start("r4 twice")
    fleet.run(3.0)
    assert "is here already" in second.name_conflict_reason
    assert fleet.serving()["r4"] == 1
    fleet.kill("r4")
    fleet.start("r4")
    fleet.run(3.0)
    assert fleet.serving() == dict.fromkeys(fleet.names, 1) and not fleet.routers["r4"].name_conflict_reason


@pytest.mark.parametrize("way", [None, "there", "back"])
@pytest.mark.parametrize("member", ["r4", "a0"])
def test_late_messages_of_a_dead_process_do_not_end_its_successor(member: str, way: str | None) -> None:
    """A member restarts while its links are stalled, so messages of the dead process arrive with those of the new one.

    The links stall for `stalled_before` seconds before the restart and for `stalled_after` seconds after it.
    """
    for stalled_before in (0.3, 0.8, 1.5, 2.5):
        for stalled_after in (0.05, 0.3, 1.0):
            fleet = FleetWorld(1, 6, 3, aggregators=1 if member == "a0" else 0)
            for key in fleet.members:
                fleet.start(key)
            fleet.run(6.0)
            fleet.stall_links(member, direction=way)
            fleet.run(stalled_before)
            fleet.kill(member)
            fleet.start(member)
            fleet.run(stalled_after)
            fleet.heal()
            fleet.run(6.0)
            assert fleet.members[member].name_conflict_reason == "", (stalled_before, stalled_after)
            assert fleet.serving() == dict.fromkeys(fleet.names, 1), (stalled_before, stalled_after)


@pytest.mark.parametrize("pause", [0.0, 0.05, 0.1, 0.2, 0.4])
@pytest.mark.parametrize("member", ["r4", "a0"])
def test_a_member_that_restarts_repeatedly_does_not_count_as_a_second_one(member: str, pause: float) -> None:
    for stalled in (False, True):
        fleet = FleetWorld(1, 6, 3, aggregators=1 if member == "a0" else 0)
        for key in fleet.members:
            fleet.start(key)
        fleet.run(6.0)
        if stalled:
            fleet.stall_links(member)
        for _ in range(3):
            fleet.run(pause)
            fleet.kill(member)
            fleet.start(member)
        fleet.run(0.2)
        fleet.heal()
        fleet.run(8.0)
        assert fleet.members[member].name_conflict_reason == "", stalled
        assert fleet.serving() == dict.fromkeys(fleet.names, 1), stalled


@pytest.mark.parametrize("way", ["there", "back"])
@pytest.mark.parametrize("aggregators", [0, 1])
def test_a_router_stops_at_once_when_it_gives_up_a_longer_lease_for_one_that_has_ended(
    aggregators: int, way: str
) -> None:
    """While leases are short, a router on a slow link gets a lease that has ended when it arrives. With it the router
    gives up the longer lease that it held, so it has to stop serving at once."""
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
        assert fleet.violations == [], step


@pytest.mark.parametrize("seeds", [range(start, start + 10) for start in range(0, 40, 10)])
def test_random_faults_of_all_kinds(seeds: range) -> None:
    """To run more seeds: `python -m banklift.rig.seeds --direct --from 0 --count 200`."""
    reports = [play(seed, aggregated=False) for seed in seeds]
    assert {report.seed: report.failures for report in reports if report.failures} == {}
    cases = sum_cases(reports)
    for case in (
        "told in force",
        "never mixed: adopted while another served",
        "contained: leases extended",
        "everywhere or nowhere: served when a change was agreed on",
    ):
        assert cases[case] > 10, cases
