"""Watches a catalogue over HTTP, without I/O: events in, actions out.

Theory of operation. One call is out at a time, on one connection that is kept. Asked to watch, the client asks for
what is newer than the version it has, waits for as long as `WAIT`, and asks again as soon as that was answered, as a
watch goes on only then. Asked for the whole list, it asks for that next. A call fails when its connection breaks, when
it gets any status but 200, when its answer can't be read, or when nothing has come `GRACE` after its wait: the
connection is closed, and the failure is told once. Whether and when to ask again is not decided here.

The caller tells `connected`, `data`, `lost` and `tick`, and carries out `actions` in order; `due` is when it wants
`tick`. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math

import h11
import msgspec

from banklift.discovery.catalogue import BadList, read, roster
from banklift.interface import ListKind
from banklift.proxy.events import Roster

WAIT = 4.0  # seconds that a watch's call may wait; how soon a silent catalogue is noticed depends on it
GRACE = 1.5  # seconds after that until a call has failed
LIMIT = 8 * 1024 * 1024  # bytes of one list


class Connect(msgspec.Struct, frozen=True):
    address: str


class Send(msgspec.Struct, frozen=True):
    data: bytes


class Close(msgspec.Struct, frozen=True):
    pass


class Tell(msgspec.Struct, frozen=True):
    """For the machine. `reason`: of a failure."""

    roster: Roster
    reason: str = ""


Action = Connect | Send | Close | Tell


class Client:
    """`address`: host:port. `path`: of the list. `version`: of the list that is known; None if none is."""

    def __init__(self, address: str, path: str = "/catalog/members", version: int | None = None) -> None:
        self.address = address
        self.path = path
        self.version = version
        self.actions: list[Action] = []
        self.due = math.inf
        self.watching = False
        self.fetching = False
        self.whole = False  # the call that is out asks for the whole list
        self.wanted = False  # a watch was asked for, ever
        self.calling = False  # a call is out, or waits for its connection
        self.open = False  # there is a connection, or one is on its way
        self.up = False
        self.status = 0
        self.body = bytearray()
        self.http = h11.Connection(h11.CLIENT)

    def ask(self, now: float, watch: bool) -> None:
        """Watch from now on, or ask for the whole list once."""
        if watch:
            self.watching = self.wanted = True
        else:
            self.fetching = True
        if not self.calling:
            self._call(now)

    def move(self, now: float, address: str) -> None:
        """The catalogue is elsewhere from now on; what was asked is asked there, and a watch that failed as well."""
        if address == self.address:
            return
        self.address = address
        self._drop()
        self.watching = self.wanted
        if self.watching or self.fetching:
            self._call(now)

    def connected(self, now: float) -> None:
        self.up = True
        if self.calling:
            self._request()

    def data(self, now: float, data: bytes) -> None:
        """`data` is empty at the end of the stream."""
        try:
            self.http.receive_data(data)
            while self.open:
                event = self.http.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > LIMIT:
                        self._fail(now, "the list of members is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._answered(now)
                elif isinstance(event, h11.ConnectionClosed):
                    self._closed(now, "the catalogue closed the connection")
                else:
                    return
        except h11.RemoteProtocolError as error:
            self._closed(now, str(error))

    def lost(self, now: float, reason: str) -> None:
        if self.open:
            self._closed(now, reason)

    def tick(self, now: float) -> None:
        if now >= self.due:
            self._fail(now, "no answer of the catalogue in time")

    def _closed(self, now: float, reason: str) -> None:
        if self.calling:
            self._fail(now, reason)
        else:
            self._drop()

    def _call(self, now: float) -> None:
        self.calling = True
        self.due = now + GRACE + (0.0 if self.fetching else WAIT)
        if not self.open:
            self.open = True
            self.http = h11.Connection(h11.CLIENT)
            self.actions.append(Connect(self.address))
        elif self.up:
            self._request()

    def _request(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.whole = self.fetching
        news = not self.fetching and self.version is not None
        query = f"?after={self.version}&wait_ms={int(WAIT * 1000)}" if news else ""
        request = h11.Request(method="GET", target=self.path + query,
                              headers=[("Host", self.address), ("Accept", "application/json")])
        self.actions.append(Send(self.http.send(request) + self.http.send(h11.EndOfMessage())))

    def _answered(self, now: float) -> None:
        if self.status != 200:
            return self._fail(now, f"the catalogue answered {self.status}")
        try:
            catalogue = read(self.body)
        except BadList as error:
            return self._fail(now, str(error))
        self.body = bytearray()
        self.version = catalogue.rev
        self.fetching = self.fetching and not self.whole
        self.calling, self.due = False, math.inf
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self._drop()
        if self.watching or self.fetching:  # at once: the watch goes on only then
            self._call(now)
        self.actions.append(Tell(roster(catalogue)))

    def _fail(self, now: float, reason: str) -> None:
        self._drop()
        self.watching = self.fetching = False
        self.actions.append(Tell(Roster((), ListKind.FAILED), reason))

    def _drop(self) -> None:
        if self.open:
            self.actions.append(Close())
        self.open = self.up = self.calling = False
        self.due = math.inf
        self.body = bytearray()
