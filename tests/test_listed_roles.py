"""What the member list says of roles counts only until a member has told its own role.

Found by review/6: the list names for ever who was primary when the day began. When the present primary began to
drain, the router took that old name for the new primary, though the member itself had said that it is a replica, and
sent it reads without a look at its position.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from banklift import Entry, Listing, ListKind, Log, Probed, Report, State
from tests.platform_site import Site, SiteClient, value
from tests.test_balance import MEMBERS, Driver, actions_of_type, targets

LIST_KINDS = [ListKind.FULL, ListKind.CHANGES, ListKind.CACHED]


def tell_role(driver: Driver, member: str, is_primary: bool) -> None:
    """Let a member report its role; its position is that of the present."""
    driver.handle(Probed(member, True, 0.001, Report(position=driver.now, primary=is_primary)))


def driver_after_a_takeover() -> Driver:
    """A router whose list names p, and which knows from the members that r1 has become the primary in its place."""
    driver = Driver()
    driver.report_positions()
    driver.now += 1.0
    tell_role(driver, "p", False)
    driver.now += 0.001
    tell_role(driver, "r1", True)
    assert targets(driver.request("write")) == ["r1"]
    return driver


def list_with_draining(member: str) -> tuple[Entry, ...]:
    """The list of the day's begin, in which p is the primary, with the draining member in front of p."""
    draining = next(entry for entry in MEMBERS if entry.member == member)
    others = tuple(entry for entry in MEMBERS if entry.member != member)
    return (replace(draining, state=State.DRAINING), *others)


@pytest.mark.parametrize("kind", LIST_KINDS)
@pytest.mark.parametrize("class_name", ["fresh", "own"])
def test_a_replica_that_the_list_still_names_gets_no_read_when_the_primary_drains(
    kind: ListKind, class_name: str
) -> None:
    """Clients read a value older than their own write from a replica that was behind."""
    driver = driver_after_a_takeover()
    driver.now += 0.5
    actions = driver.handle(Listing(kind, list_with_draining("r1")))
    assert driver.balancer.groups[1].primary is None
    assert not [log for log in actions_of_type(Log, actions) if "learnt" in log.text]
    driver.now += 0.01
    fields = {"since_write": 0.1} if class_name == "own" else {}
    assert "p" not in targets(driver.request(class_name, **fields))


@pytest.mark.parametrize("kind", LIST_KINDS)
def test_a_member_that_never_told_its_role_is_not_primary_by_the_list_once_another_was(
    kind: ListKind,
) -> None:
    """The router has learnt of the takeover from the new primary alone; the old one never answered."""
    driver = Driver()
    driver.now += 1.0
    tell_role(driver, "r1", True)
    driver.handle(Listing(kind, list_with_draining("r1")))
    assert driver.balancer.groups[1].primary is None


def test_a_member_that_denied_its_listed_role_is_not_believed_again_after_it_was_replaced() -> None:
    """The record of the member goes with it when it leaves the list; what it told of the list stays known."""
    driver = Driver()
    driver.now += 1.0
    tell_role(driver, "p", False)
    assert driver.balancer.groups[1].primary is None
    driver.handle(Listing(ListKind.CHANGES, (replace(MEMBERS[0], state=State.GONE),)))
    driver.handle(Listing(ListKind.CHANGES, (MEMBERS[0],)))
    assert driver.balancer.groups[1].primary is None


def test_the_list_names_the_primary_until_a_member_has_told_its_role() -> None:
    """The claims of the list are all that a router has at its start, so they must not be dropped altogether."""
    driver = Driver(members=[replace(entry, primary=False) for entry in MEMBERS])
    assert driver.balancer.groups[1].primary is None
    driver.handle(Listing(ListKind.CHANGES, (MEMBERS[0],)))
    assert driver.balancer.groups[1].primary is driver.balancer.members["p"]


def test_a_session_reads_its_write_while_the_new_primary_drains_and_the_list_names_the_old_one() -> None:
    """The same on the wire, with a whole list as the answer to a change."""
    site = Site()
    old, new = site.members["p"], site.members["r1"]
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01"))) == b"\x01"
    old.primary, new.primary = False, True
    caller.query(site.write("k", "02"), 0.5)
    assert value(caller.query(site.write("k", "03"), 0.5)) == b"\x03"
    group = site.machine.balancer.groups[0]
    assert group.primary is site.machine.balancer.members["r1"]
    # the list has the draining member in front of the one that it names as primary
    site.catalogue.targets = dict(sorted(site.catalogue.targets.items(), reverse=True))
    site.catalogue.sends_whole_lists = True
    site.catalogue.update("r1", new.address, state="DRAINING")
    site.run(0.05)
    assert group.primary is None
    learnt = [fields["text"] for event, fields in site.notes if event == "module"]
    assert learnt.count("primary learnt: p") == 1  # at the start
