"""The `fleet` table of the operator's file, as types. Times are seconds.

Rules that types can't express are checked in banklift/config/fleet.py.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from banklift.proxy.schema import Name, Strict

MIN_LEASE_SECONDS = 0.5  # a shorter lease leaves no time to repeat a renewal before it ends
MIN_SUB_LEASE_SECONDS = 0.3  # seconds; just below `SUB_LEASE_PART` of the shortest lease
MAX_LEASE_SECONDS = 3600.0  # seconds
SUB_LEASE_PART = 2 / 3  # of a lease: the part of an aggregator's own lease that is left at a regular renewal
Lease = Annotated[float, Meta(ge=MIN_LEASE_SECONDS, le=MAX_LEASE_SECONDS)]
SubLease = Annotated[float, Meta(ge=MIN_SUB_LEASE_SECONDS, le=MAX_LEASE_SECONDS)]
Drift = Annotated[float, Meta(ge=0, le=0.2)]
Voters = Annotated[dict[Name, str], Meta(min_length=1)]


class Aggregator(Strict, kw_only=True, frozen=True):
    """A lease aggregator: it holds a lease from the voters and grants sub-leases to the routers of its zone."""

    address: str  # host:port where it listens
    zone: Name
    machine: Name | None = None  # the machine it runs on; null: one of its own


class Fleet(Strict, kw_only=True, frozen=True):
    """A fleet of routers under one policy.

    All fields but `folder`, `listen` and `zone` are the same in every router's file.
    """

    name: Name
    voters: Voters  # routers that vote, by name; host:port where they listen for the fleet
    lease: Lease = 10.0  # how long a router may serve without contact to the voters
    drift: Drift = 0.01  # bound on the relative difference of clock rates
    folder: str | None = None  # for a voter's state; relative to this file
    listen: str | None = None  # where a voter or aggregator listens, if not at its address in the table
    aggregators: dict[Name, Aggregator] = msgspec.field(default_factory=dict)  # by name
    zone: Name | None = None  # of this router, which gets its leases from the aggregators there
    sub_lease: SubLease | None = None  # of the leases that aggregators grant; null: two thirds of `lease`

    @property
    def granted_sub_lease(self) -> float:
        """Seconds of a lease that an aggregator grants: `sub_lease` or its default; 0 without aggregators."""
        if not self.aggregators:
            return 0.0
        return SUB_LEASE_PART * self.lease if self.sub_lease is None else self.sub_lease

    def zones(self) -> dict[str, list[str]]:
        """The aggregators' names by zone, in the order of the file."""
        names_by_zone: dict[str, list[str]] = {}
        for name, aggregator in self.aggregators.items():
            names_by_zone.setdefault(aggregator.zone, []).append(name)
        return names_by_zone
