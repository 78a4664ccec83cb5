"""Parses the catalogue's lists of members and converts them to rosters.

The format is the platform's catalogue protocol. A list with any invalid entry is rejected as a whole.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from banklift.interface import ListKind, State
from banklift.proxy.events import ListedMember, Roster

STATES_BY_NAME = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class CatalogueError(Exception):
    """A list of members that is invalid; the text names the place and the fault."""


class Target(msgspec.Struct, frozen=True):
    """One member in the catalogue's format."""

    uid: Annotated[str, Meta(min_length=1, max_length=256)]
    endpoint: Annotated[str, Meta(pattern=r"^[0-9A-Za-z.\[\]:-]+:[0-9]{1,5}$")]
    pod_group: Annotated[int, Meta(ge=0)]
    state: str
    boot_ms: Annotated[float, Meta(ge=0)] = 0.0  # start time in Unix milliseconds; 0: not known
    access: str | None = None  # "writer" for a primary


class Catalogue(msgspec.Struct, frozen=True):
    """An answer of the catalogue."""

    rev: Annotated[int, Meta(ge=0)]  # version of the list
    all: bool  # the list is whole; if false, it has changes only
    targets: list[Target]


_DECODER = msgspec.json.Decoder(Catalogue)


def parse(data: bytes | bytearray) -> Catalogue:
    """Parse an answer of the catalogue (JSON). Raises `CatalogueError` if it is invalid."""
    try:
        catalogue = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CatalogueError(f"the list of members: {error}") from None
    check_targets(catalogue)
    return catalogue


def from_json(value: object) -> Catalogue:
    """Check a list that was decoded from JSON already. Raises `CatalogueError` if it is invalid."""
    try:
        catalogue = msgspec.convert(value, Catalogue)
    except msgspec.ValidationError as error:
        raise CatalogueError(f"the list of members: {error}") from None
    check_targets(catalogue)
    return catalogue


def check_targets(catalogue: Catalogue) -> None:
    """Check what the types can't express. Raises `CatalogueError` for an unknown state or a repeated member."""
    seen: set[str] = set()
    for target in catalogue.targets:
        if target.state not in STATES_BY_NAME:
            raise CatalogueError(f"the list of members: {target.uid} has the unknown state {target.state!r}")
        if target.uid in seen:
            raise CatalogueError(f"the list of members: {target.uid} is listed twice")
        seen.add(target.uid)


def to_roster(catalogue: Catalogue, kind: ListKind | None = None) -> Roster:
    """Convert a list to a `Roster`. `kind` replaces what the list says of itself."""
    return Roster(
        tuple(
            ListedMember(
                target.uid,
                target.pod_group,
                target.endpoint,
                STATES_BY_NAME[target.state],
                target.access == "writer",
                target.boot_ms / 1000 if target.boot_ms else None,
            )
            for target in catalogue.targets
        ),
        kind or (ListKind.FULL if catalogue.all else ListKind.CHANGES),
    )
