"""The choice of the aggregators that a router leases from: rendezvous hashing among those of its zone.

This module does no I/O. Each router ranks the candidates by a hash of its own name and theirs, and takes the first
one as its preferred aggregator. When an aggregator is added or removed, only the routers that prefer it move, and
these spread evenly over the others. The standby is the next one in rank that runs on another machine, so the loss of
one machine leaves a router with an aggregator. (Thaler and Ravishankar, 1998, for rendezvous hashing.)
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Candidate:
    """An aggregator of the router's zone, and the machine on which it runs."""

    name: str
    machine: str


def rank(router: str, candidate: str) -> bytes:
    """The rank of an aggregator for a router; compared as bytes, the largest is preferred."""
    return hashlib.blake2b(f"{router}\0{candidate}".encode(), digest_size=HASH_BYTES).digest()


def choose_aggregators(router: str, candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """The names of the router's preferred aggregator and of its standby, in this order.

    There is no standby if all candidates run on one machine; without candidates the result is empty.
    """
    ranked = sorted(
        candidates, key=lambda candidate: (rank(router, candidate.name), candidate.name), reverse=True
    )
    if not ranked:
        return ()
    preferred = ranked[0]
    standby = next(
        (candidate.name for candidate in ranked[1:] if candidate.machine != preferred.machine), None
    )
    return (preferred.name,) if standby is None else (preferred.name, standby)
