"""Checks of groups and their members: in the operator's file, and in a roster. Pure; each reason with its place."""

from __future__ import annotations

from banklift.config.address import split_address
from banklift.proxy.plan import Group, Member
from banklift.resp.slots import SLOT_COUNT

STATES = ("ready", "draining", "gone")


def check_groups(groups: list[Group]) -> list[str]:
    """Every reason against these groups."""
    checks = GroupChecks()
    for place, group in enumerate(groups):
        checks.group(f"$.groups[{place}]", group)
    return checks.problems


class GroupChecks:
    """What was seen so far, as names, addresses, slots and prefixes belong to one group or member each."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.names: set[str] = set()  # of groups
        self.members: set[str] = set()
        self.addresses: dict[str, str] = {}  # and the member that has it
        self.slots: dict[int, str] = {}  # and the group that owns it
        self.prefixes: dict[str, str] = {}

    def group(self, where: str, group: Group) -> None:
        """Check one more group."""
        if not group.members:
            self.problems.append(f"{where}.members: a group needs a member")
        if group.name in self.names:
            self.problems.append(f"{where}.name: {group.name!r} occurs twice")
        self.names.add(group.name)
        self._slots(where, group)
        self._prefixes(where, group)
        if sum(member.primary for member in group.members) > 1:
            self.problems.append(f"{where}.members: more than one is marked primary")
        for place, member in enumerate(group.members):
            self._member(f"{where}.members[{place}]", member)

    def _slots(self, where: str, group: Group) -> None:
        for first, last in group.slots:
            if not 0 <= first <= last < SLOT_COUNT:
                self.problems.append(f"{where}.slots: {first}-{last} is no range within 0-{SLOT_COUNT - 1}")
                continue
            for slot in range(first, last + 1):
                if slot in self.slots:
                    self.problems.append(f"{where}.slots: {slot} belongs to {self.slots[slot]!r} too")
                    break
                self.slots[slot] = group.name

    def _prefixes(self, where: str, group: Group) -> None:
        for prefix in group.prefixes:
            if prefix in self.prefixes:
                self.problems.append(f"{where}.prefixes: {prefix!r} belongs to {self.prefixes[prefix]!r} too")
            self.prefixes[prefix] = group.name

    def _member(self, where: str, member: Member) -> None:
        if member.state not in STATES:
            self.problems.append(f"{where}.state: {member.state!r} is none of {', '.join(STATES)}")
        if member.name in self.members:
            self.problems.append(f"{where}.name: {member.name!r} occurs twice")
        self.members.add(member.name)
        try:
            _, port = split_address(member.address)
        except ValueError as error:
            self.problems.append(f"{where}.address: {error}")
            return
        if port and member.address in self.addresses:
            self.problems.append(
                f"{where}.address: {member.address} is {self.addresses[member.address]!r} too"
            )
        self.addresses[member.address] = member.name
