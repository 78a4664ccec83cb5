"""The catalogue's lists, read into what the machine knows.

Source of the form: the platform's page on its protocol. A list is taken whole or not at all.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from banklift.interface import ListKind, State
from banklift.proxy.events import Listed, Roster

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class BadList(Exception):
    """A list that can't be read; the text names place and fault."""


class Target(msgspec.Struct, frozen=True):
    uid: Annotated[str, Meta(min_length=1, max_length=256)]
    endpoint: Annotated[str, Meta(pattern=r"^[0-9A-Za-z.\[\]:-]+:[0-9]{1,5}$")]
    pod_group: Annotated[int, Meta(ge=0)]
    state: str
    boot_ms: Annotated[float, Meta(ge=0)] = 0.0
    access: str | None = None


class Catalogue(msgspec.Struct, frozen=True):
    rev: Annotated[int, Meta(ge=0)]
    all: bool
    targets: list[Target]


_DECODER = msgspec.json.Decoder(Catalogue)


def read(data: bytes | bytearray) -> Catalogue:
    """Errors: `BadList`."""
    try:
        catalogue = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadList(f"the list of members: {error}") from None
    check(catalogue)
    return catalogue


def convert(value: object) -> Catalogue:
    """The same from a list that was decoded already. Errors: `BadList`."""
    try:
        catalogue = msgspec.convert(value, Catalogue)
    except msgspec.ValidationError as error:
        raise BadList(f"the list of members: {error}") from None
    check(catalogue)
    return catalogue


def check(catalogue: Catalogue) -> None:
    seen: set[str] = set()
    for target in catalogue.targets:
        if target.state not in STATES:
            raise BadList(f"the list of members: {target.uid} has the unknown state {target.state!r}")
        if target.uid in seen:
            raise BadList(f"the list of members: {target.uid} stands there twice")
        seen.add(target.uid)


def roster(catalogue: Catalogue, kind: ListKind | None = None) -> Roster:
    """`kind`: where that isn't told by the list itself."""
    return Roster(
        tuple(
            Listed(
                target.uid,
                target.pod_group,
                target.endpoint,
                STATES[target.state],
                target.access == "writer",
                target.boot_ms / 1000 if target.boot_ms else None,
            )
            for target in catalogue.targets
        ),
        kind or (ListKind.FULL if catalogue.all else ListKind.CHANGES),
    )
