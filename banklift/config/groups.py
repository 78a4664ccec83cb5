"""Checks of groups and their members, in the operator's file and in rosters. Does no I/O.

Every problem names its place in the file.
"""

from __future__ import annotations

from banklift.config.address import split_address
from banklift.proxy.plan import Group, Member
from banklift.resp.slots import SLOT_COUNT

MEMBER_STATES = ("ready", "draining", "gone")


def check_groups(groups: list[Group]) -> list[str]:
    """Every problem of these groups as `place: reason`."""
    checks = GroupChecks()
    for index, group in enumerate(groups):
        checks.group(f"$.groups[{index}]", group)
    return checks.problems


class GroupChecks:
    """Checks groups one after another, and that no two share a name, address, slot or prefix."""

    def __init__(self) -> None:
        self.problems: list[str] = []  # found so far, as `place: reason`
        self.group_names: set[str] = set()
        self.member_names: set[str] = set()
        self.address_owners: dict[str, str] = {}  # the member of each address
        self.slot_owners: dict[int, str] = {}  # the group of each slot
        self.prefix_owners: dict[str, str] = {}  # the group of each key prefix

    def group(self, where: str, group: Group) -> None:
        """Checks one more group. `where`: its place in the file."""
        if not group.members:
            self.problems.append(f"{where}.members: a group needs at least one member")
        if group.name in self.group_names:
            self.problems.append(f"{where}.name: {group.name!r} occurs twice")
        self.group_names.add(group.name)
        self._slots(where, group)
        self._prefixes(where, group)
        if sum(member.primary for member in group.members) > 1:
            self.problems.append(f"{where}.members: more than one member is marked primary")
        for index, member in enumerate(group.members):
            self._member(f"{where}.members[{index}]", member)

    def _slots(self, where: str, group: Group) -> None:
        """Checks whether the slots are in range and belong to no other group."""
        for first, last in group.slots:
            if not 0 <= first <= last < SLOT_COUNT:
                self.problems.append(
                    f"{where}.slots: {first}-{last} is not a range within 0-{SLOT_COUNT - 1}"
                )
                continue
            for slot in range(first, last + 1):
                if slot in self.slot_owners:
                    self.problems.append(
                        f"{where}.slots: slot {slot} already belongs to group {self.slot_owners[slot]!r}"
                    )
                    break
                self.slot_owners[slot] = group.name

    def _prefixes(self, where: str, group: Group) -> None:
        """Checks whether the prefixes belong to no other group."""
        for prefix in group.prefixes:
            if prefix in self.prefix_owners:
                self.problems.append(
                    f"{where}.prefixes: prefix {prefix!r} already belongs to group {self.prefix_owners[prefix]!r}"
                )
            self.prefix_owners[prefix] = group.name

    def _member(self, where: str, member: Member) -> None:
        """Checks whether a member's state and address are valid, and its name and address are its own."""
        if member.state not in MEMBER_STATES:
            self.problems.append(f"{where}.state: {member.state!r} is not one of {', '.join(MEMBER_STATES)}")
        if member.name in self.member_names:
            self.problems.append(f"{where}.name: {member.name!r} occurs twice")
        self.member_names.add(member.name)
        try:
            _, port = split_address(member.address)
        except ValueError as error:
            self.problems.append(f"{where}.address: {error}")
            return
        # port 0 lets each stand-in choose a port, so several may have it
        if port and member.address in self.address_owners:
            self.problems.append(
                f"{where}.address: {member.address} is already the address of member "
                f"{self.address_owners[member.address]!r}"
            )
        self.address_owners[member.address] = member.name
