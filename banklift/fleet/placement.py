"""Which aggregators a router leases from: rendezvous hashing among those of its zone. Pure.

Each router ranks the candidates by a hash of both names and takes the first as its preferred aggregator. One
that is added or removed moves only the routers that prefer it, and those spread evenly over the rest. The
standby is the next one in rank that runs on another machine (Thaler and Ravishankar, 1998, for the hashing).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class Candidate:
    """An aggregator of the router's zone; `machine`: where it runs."""

    name: str
    machine: str


def rank(router: str, candidate: str) -> bytes:
    """How much this router prefers the candidate; compared as bytes, the largest wins."""
    return hashlib.blake2b(f"{router}\0{candidate}".encode(), digest_size=HASH_BYTES).digest()


def choose(router: str, candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """The preferred aggregator and, if another machine has one, its standby; empty without candidates."""
    ranked = sorted(candidates, key=lambda one: (rank(router, one.name), one.name), reverse=True)
    if not ranked:
        return ()
    preferred = ranked[0]
    standby = next((one.name for one in ranked[1:] if one.machine != preferred.machine), None)
    return (preferred.name,) if standby is None else (preferred.name, standby)
