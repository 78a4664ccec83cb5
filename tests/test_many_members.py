"""A fleet of 1,100 members in 60 groups, through the configuration, discovery and traffic."""

from __future__ import annotations

import json
from typing import cast

from banklift.adapter import parse_settings
from banklift.discovery import catalogue as lists
from banklift.emulator.platform import Catalogue, PgMember
from banklift.emulator.world import World
from banklift.net.service import Service
from banklift.net.service_config import StartConfig, parse
from banklift.net.sockets import SocketEnv
from tests.platform_site import SETTINGS, Site, SiteClient, value

MEMBERS, GROUPS, SOCKETS = 1100, 60, 512


class Fleet(Site):
    """One router in front of all members; `known` says whether its configuration lists them."""

    def __init__(self, known: bool) -> None:
        self.world = World(1)
        self.ids = 0
        self.notes = []
        self.catalogue = Catalogue(self.world, "10.9.0.1:8500").start()
        self.members = {}
        for index in range(MEMBERS):
            name = f"s-{index:08x}"
            primary = index < GROUPS
            member = PgMember(self.world, f"10.0.{index // 250}.{index % 250 + 1}:6432", primary).start()
            self.members[name] = member
            self.catalogue.update(name, member.address, index % GROUPS, writes=primary)
        listing = self.catalogue.snapshot()
        environment = {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": "10.1.0.1:6432",
            "ROUTER_DISCOVERY": "10.9.0.1:8500",
        }
        config = {
            "settings": {**SETTINGS, "balancers": 230},
            "limits": {"sockets": SOCKETS},
            "seed": "5",
            "known": json.loads(json.dumps(listing)) if known else None,
        }
        self.start: StartConfig = parse(
            {key: setting for key, setting in config.items() if setting is not None}, environment
        )
        assert self.start.settings == parse_settings({**SETTINGS, "balancers": 230})
        self.service = Service(cast(SocketEnv, self.world), self.start, {}, self.note)
        self.machine, self.host = self.service.machine, self.service.host
        self.catalogue_client, self.discovery = self.service.catalogue_client, self.service.discovery
        self.run(0.05)


def check_that_all_groups_are_served(fleet: Fleet) -> None:
    """Send a write to every group, and reads that have to reach hundreds of members."""
    caller = SiteClient(fleet)
    for group in range(GROUPS):
        assert value(caller.query(fleet.write(f"k{group}", cluster=group), 0.1))
    for round_number in range(10):
        for group in range(GROUPS):
            assert value(caller.query(fleet.read("any", f"k{group}-{round_number}", cluster=group), 0.1))
    assert sum(bool(member.statements) for member in fleet.members.values()) > 400
    assert len(fleet.machine.links) <= fleet.machine.limits.all_links < 300


def test_all_members_are_in_the_configuration() -> None:
    fleet = Fleet(known=True)
    assert len(fleet.machine.members) == len(fleet.machine.balancer.members) == MEMBERS
    check_that_all_groups_are_served(fleet)


def test_all_members_come_by_discovery_and_change_at_once() -> None:
    fleet = Fleet(known=False)
    assert len(fleet.machine.members) == MEMBERS
    for name, member in list(fleet.members.items())[GROUPS:]:
        fleet.catalogue.update(name, member.address, int(name[2:], 16) % GROUPS, state="DRAINING")
    fleet.run(1.0)
    draining = [member for member in fleet.machine.members.values() if member.state.name == "DRAINING"]
    assert len(draining) == MEMBERS - GROUPS
    for name, member in list(fleet.members.items())[GROUPS:]:
        fleet.catalogue.update(name, member.address, int(name[2:], 16) % GROUPS)
    fleet.run(1.0)
    check_that_all_groups_are_served(fleet)
    assert (
        lists.parse(json.dumps(fleet.catalogue.snapshot()).encode()).targets[-1].uid == f"s-{MEMBERS - 1:08x}"
    )


def test_the_longest_idle_link_is_closed_to_make_room() -> None:
    fleet = Fleet(known=True)
    caller = SiteClient(fleet)
    max_links = fleet.machine.limits.all_links
    for round_number in range(12):
        for group in range(GROUPS):
            assert value(caller.query(fleet.read("any", f"k{round_number}", cluster=group)))
    assert len(fleet.machine.links) == max_links
    idle_since = [link.idle_since for link in fleet.machine.idle_links.values()]
    assert idle_since == sorted(idle_since)
    linked_before = {link.member.name for link in fleet.machine.links.values()}
    longest_idle = next(iter(fleet.machine.idle_links.values())).member.name
    unlinked = next(name for name in fleet.members if name not in linked_before)
    fleet.machine.call_at(fleet.world.now(), lambda: fleet.machine.probe(fleet.machine.members[unlinked]))
    fleet.host.timer.reschedule()
    fleet.run(0.05)
    linked = {link.member.name for link in fleet.machine.links.values()}
    assert unlinked in linked and longest_idle not in linked and len(fleet.machine.links) == max_links
