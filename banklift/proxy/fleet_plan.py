"""The `fleet` table of the operator's file, as types. Times are seconds.

What one table can't say by its types is checked in banklift/config/fleet.py.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from banklift.proxy.schema import Name, Strict

MIN_LEASE = 0.5  # seconds; a shorter one leaves no time for a second request before it ends
MIN_SUB_LEASE = 0.3  # seconds; somewhat less than what `SUB_LEASE_PART` makes of the shortest lease
MAX_LEASE = 3600.0  # seconds
SUB_LEASE_PART = 2 / 3  # of a lease: what is left of an aggregator's own when it is renewed as usual
Lease = Annotated[float, Meta(ge=MIN_LEASE, le=MAX_LEASE)]
SubLease = Annotated[float, Meta(ge=MIN_SUB_LEASE, le=MAX_LEASE)]
Drift = Annotated[float, Meta(ge=0, le=0.2)]
Voters = Annotated[dict[Name, str], Meta(min_length=1)]


class Aggregator(Strict, kw_only=True, frozen=True):
    """One lease aggregator: it leases from the voters, and the routers of its zone lease from it."""

    address: str  # host:port where it listens
    zone: Name
    machine: Name | None = None  # where it runs; null: a machine of its own


class Fleet(Strict, kw_only=True, frozen=True):
    """Routers that know one another. All but `folder`, `listen` and `zone` are the same in every router's file."""

    name: Name
    voters: Voters  # routers that agree, and where they listen for the others
    lease: Lease = 10.0  # how long a router serves on without the voters
    drift: Drift = 0.01  # how far clocks may differ in rate, as a part
    folder: str | None = None  # of a voter's state; beside this file
    listen: str | None = None  # where a voter or aggregator listens, if not at its address in the table
    aggregators: dict[Name, Aggregator] = msgspec.field(default_factory=dict)  # by name; may be none
    zone: Name | None = None  # of this router, which leases from the aggregators there
    sub_lease: SubLease | None = None  # what an aggregator grants a router; null: two thirds of `lease`

    @property
    def granted_sub_lease(self) -> float:
        """Seconds that an aggregator grants: `sub_lease`, or its default; zero without aggregators."""
        if not self.aggregators:
            return 0.0
        return SUB_LEASE_PART * self.lease if self.sub_lease is None else self.sub_lease

    def zones(self) -> dict[str, list[str]]:
        """The names of the aggregators of each zone, in the order of the file."""
        found: dict[str, list[str]] = {}
        for name, aggregator in self.aggregators.items():
            found.setdefault(aggregator.zone, []).append(name)
        return found
