"""The events that `Machine.handle` takes and the actions that it returns.

Times are seconds on the router's clock, durations seconds. `client` and `link` are ids of connections from clients and
to members: numbers that are never used again, chosen by the caller for clients and by the machine for links.

The caller owns the clock, the network and the source of randomness: either real sockets (banklift/net) or an emulator
in virtual time (banklift/emulator). After each event it calls `Machine.handle` with `Wake` at the time `Machine.wake`,
or as soon after it as it can.
"""

from __future__ import annotations

import msgspec

from banklift.interface import ListKind, Settings, State
from banklift.proxy.plan import Limits


class ClientOpened(msgspec.Struct, frozen=True, gc=False):
    """A client has connected."""

    client: int


class ClientData(msgspec.Struct, frozen=True, gc=False):
    """Bytes have arrived from a client."""

    client: int
    data: bytes
    sent_at_earliest: float | None = None  # the earliest time at which they may have been sent; None: now


class ClientTurn(msgspec.Struct, frozen=True, gc=False):
    """The turn that `DeferClient` asked for."""

    client: int
    sent_at_earliest: float  # as in `DeferClient`


class ClientHalfClosed(msgspec.Struct, frozen=True, gc=False):
    """A client that is paused has shut its sending side; bytes that it sent before may be unread."""

    client: int


class ClientEof(msgspec.Struct, frozen=True, gc=False):
    """A client has shut its sending side, and all that it sent was reported. It may still read answers."""

    client: int


class ClientLost(msgspec.Struct, frozen=True, gc=False):
    """A client's connection is gone, in both directions."""

    client: int


class ClientBacklogged(msgspec.Struct, frozen=True, gc=False):
    """Unsent answers to a client pile up, as it does not read them."""

    client: int


class ClientDrained(msgspec.Struct, frozen=True, gc=False):
    """The unsent answers to a client have gone down again after `ClientBacklogged`."""

    client: int


class LinkUp(msgspec.Struct, frozen=True, gc=False):
    """The connection of a link is established."""

    link: int


class LinkData(msgspec.Struct, frozen=True, gc=False):
    """Bytes have arrived from a member."""

    link: int
    data: bytes


class LinkLost(msgspec.Struct, frozen=True, gc=False):
    """A link could not be opened, or was closed or broken by the other end."""

    link: int
    reason: str  # for the log


class LinkUnclean(msgspec.Struct, frozen=True, gc=False):
    """Nothing was sent of a `SendToLink` with `only_if_quiet`, as bytes of the member are unread."""

    link: int


class Drain(msgspec.Struct, frozen=True, gc=False):
    """The router begins to drain: everything pending or still to come gets its final answer by the time `end`."""

    end: float


class Stop(msgspec.Struct, frozen=True, gc=False):
    """The router stops: pending requests are answered, and each connection is closed once nothing is pending on it."""


class Wake(msgspec.Struct, frozen=True, gc=False):
    """The time `Machine.wake` has come."""


class ApplyConfig(msgspec.Struct, frozen=True):
    """Apply a new configuration to requests from now on; pending requests keep theirs."""

    settings: Settings
    limits: Limits
    plan: object  # the front's part of the configuration, see `Front.adopt`


class AcceptUntil(msgspec.Struct, frozen=True):
    """Requests are accepted until `time`, the end of a lease. Later ones are refused at once."""

    time: float
    retry_after: float  # retry-after of refused requests, in seconds


class ListedMember(msgspec.Struct, frozen=True):
    """One member in a roster."""

    name: str
    group: int
    address: str  # host:port
    state: State = State.READY
    primary: bool = False
    started: float | None = None  # when it started; None: long ago


class Roster(msgspec.Struct, frozen=True):
    """The list of members, whole or as `kind` says. A list of changes names removed members with the state `GONE`."""

    members: tuple[ListedMember, ...] = ()
    kind: ListKind = ListKind.FULL


Event = (
    ClientOpened
    | ClientData
    | ClientTurn
    | ClientHalfClosed
    | ClientEof
    | ClientLost
    | ClientBacklogged
    | ClientDrained
    | LinkUp
    | LinkData
    | LinkLost
    | LinkUnclean
    | Drain
    | Stop
    | Wake
    | ApplyConfig
    | AcceptUntil
    | Roster
)


class SendToClient(msgspec.Struct, frozen=True, gc=False):
    """Send bytes to a client."""

    client: int
    data: bytes


class CloseClient(msgspec.Struct, frozen=True, gc=False):
    """Close a client's connection once everything written to it was sent."""

    client: int
    discard_input: bool = False  # what it still sends can't be a request, and may be read and dropped


class PauseClient(msgspec.Struct, frozen=True, gc=False):
    """Stop reading from a client until `ResumeClient`."""

    client: int


class ResumeClient(msgspec.Struct, frozen=True, gc=False):
    """Read from a paused client again."""

    client: int


class DeferClient(msgspec.Struct, frozen=True, gc=False):
    """Report `ClientTurn` soon, in turns with other connections: more commands of a client are buffered."""

    client: int
    sent_at_earliest: float  # the earliest time at which these commands may have been sent


class OpenLink(msgspec.Struct, frozen=True, gc=False):
    """Connect a new link; `LinkUp` or `LinkLost` follows."""

    link: int
    address: str  # host:port of the member


class SendToLink(msgspec.Struct, frozen=True, gc=False):
    """Send bytes on a link."""

    link: int
    data: bytes
    # Nothing is sent if bytes of the member are unread when it would be; a `LinkUnclean` event follows then.
    only_if_quiet: bool = False


class CloseLink(msgspec.Struct, frozen=True, gc=False):
    """Close a link at once, and report no more events of it."""

    link: int


class RequestRoster(msgspec.Struct, frozen=True, gc=False):
    """Request the list of members; `Roster` follows."""

    watch: bool  # for its changes from now on; if false, for the whole list once


class LogEvent(msgspec.Struct, frozen=True):
    """Write a line to the log."""

    event: str
    fields: dict[str, object]


Action = (
    SendToClient
    | CloseClient
    | PauseClient
    | ResumeClient
    | DeferClient
    | OpenLink
    | SendToLink
    | CloseLink
    | RequestRoster
    | LogEvent
)
