"""The configuration of a fleet that all its members have to agree on, as one member sees it. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Plan:
    """One member's view of its fleet.

    `name`: of this member. `lease`: seconds that a voter grants. `drift`: how far two clocks may differ in rate, as a
    fraction. `aggregators`: those that this router leases from, the preferred one first; empty if it leases from the
    voters. `sub_lease`: seconds that an aggregator grants; zero in a fleet without aggregators.
    """

    fleet: str
    name: str
    voters: tuple[str, ...]
    lease: float
    drift: float
    aggregators: tuple[str, ...] = ()
    sub_lease: float = 0.0
