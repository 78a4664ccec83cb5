"""What the router's machine is told and what it asks for. Times are seconds on the router's clock.

Ids of clients and links are numbers that the caller (clients) or the machine (links) gives and never uses again. The
caller may be a shell on sockets or an emulator in virtual time; it owns the clock, the network and the randomness.
After every event it looks at `Machine.wake` and calls `Machine.handle` with `Wake` at that time or later.
"""

from __future__ import annotations

import msgspec

from banklift.interface import ListKind, Settings, State
from banklift.proxy.plan import Limits


class ClientOpened(msgspec.Struct, frozen=True, gc=False):
    client: int


class ClientData(msgspec.Struct, frozen=True, gc=False):
    client: int
    data: bytes
    since: float | None = None  # it may have been sent as long ago as this; None: just now


class ClientHalfClosed(msgspec.Struct, frozen=True, gc=False):
    """It sends no more, while it is paused; what it sent before may be unread."""

    client: int


class ClientEof(msgspec.Struct, frozen=True, gc=False):
    """It sends no more, and may still read."""

    client: int


class ClientLost(msgspec.Struct, frozen=True, gc=False):
    client: int


class ClientFull(msgspec.Struct, frozen=True, gc=False):
    """It does not read its answers."""

    client: int


class ClientFree(msgspec.Struct, frozen=True, gc=False):
    """It has read them."""

    client: int


class LinkUp(msgspec.Struct, frozen=True, gc=False):
    link: int


class LinkData(msgspec.Struct, frozen=True, gc=False):
    link: int
    data: bytes


class LinkLost(msgspec.Struct, frozen=True, gc=False):
    """It could not be opened, or broke."""

    link: int
    reason: str


class Drain(msgspec.Struct, frozen=True, gc=False):
    """This router ends soon: whatever comes from now on is answered by `end`."""

    end: float


class Leave(msgspec.Struct, frozen=True, gc=False):
    """This router ends: what is open is answered, and connections go as soon as nothing is open on them."""


class Wake(msgspec.Struct, frozen=True, gc=False):
    pass


class Adopt(msgspec.Struct, frozen=True):
    """Take requests under these settings and limits from now on; what is open keeps what it was taken under. `plan`:
    what the front of this protocol has for it."""

    settings: Settings
    limits: Limits
    plan: object


class Until(msgspec.Struct, frozen=True):
    """Requests may be taken up to that time; later ones are refused at once, to come back after so many seconds."""

    time: float
    back: float


class Listed(msgspec.Struct, frozen=True):
    """One member as a roster tells it."""

    name: str
    group: int
    address: str
    state: State = State.READY
    primary: bool = False
    started: float | None = None  # on the router's clock


class Roster(msgspec.Struct, frozen=True):
    """Every member there is now; or what `kind` says. Of changes, members that are gone are named as such."""

    members: tuple[Listed, ...] = ()
    kind: ListKind = ListKind.FULL


Event = (
    ClientOpened
    | ClientData
    | ClientHalfClosed
    | ClientEof
    | ClientLost
    | ClientFull
    | ClientFree
    | LinkUp
    | LinkData
    | LinkLost
    | Drain
    | Leave
    | Wake
    | Adopt
    | Until
    | Roster
)


class ToClient(msgspec.Struct, frozen=True, gc=False):
    client: int
    data: bytes


class CloseClient(msgspec.Struct, frozen=True, gc=False):
    """Close it once what was written has gone out. `away`: what it still sends asks for nothing."""

    client: int
    away: bool = False


class PauseClient(msgspec.Struct, frozen=True, gc=False):
    """Read it no more until `ResumeClient`."""

    client: int


class ResumeClient(msgspec.Struct, frozen=True, gc=False):
    client: int


class OpenLink(msgspec.Struct, frozen=True, gc=False):
    link: int
    address: str


class ToLink(msgspec.Struct, frozen=True, gc=False):
    link: int
    data: bytes


class CloseLink(msgspec.Struct, frozen=True, gc=False):
    """Close it at once; nothing of it is to be told any more."""

    link: int


class AskRoster(msgspec.Struct, frozen=True, gc=False):
    """Ask for the list of members: for its changes from now on, or once for the whole."""

    watch: bool


class Note(msgspec.Struct, frozen=True):
    """A line for the log."""

    event: str
    fields: dict[str, object]


Action = (
    ToClient | CloseClient | PauseClient | ResumeClient | OpenLink | ToLink | CloseLink | AskRoster | Note
)
