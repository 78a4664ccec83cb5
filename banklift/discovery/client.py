"""Watches a catalogue over HTTP, without I/O: events in, actions out.

Theory of operation. One call is out at a time, on one connection that is kept. Asked to watch, the client asks for
what is newer than the version it has (a long poll of `LONG_POLL`), and asks again as soon as that was answered, as a
watch goes on only then. Asked for the whole list, it asks for that next. A call fails when its connection breaks or
does not come up, when it gets any status but 200, when its answer can't be read, or when nothing has come
`CALL_TIMEOUT` after its wait: the connection is closed, and the failure is told once. Whether and when to ask again is
not decided here, but for two cases:

- A watch that was silent until the end of its wait is broken, whatever the catalogue is like: it is opened anew at once
  on a new connection, each time, as what it missed counts as told soon after its wait.
- Where lists are pushed (`backoff`), nobody else asks: the watch is opened anew after each failure, with waits that
  double, up to a part of the time in which a change must be heeded.

An answer with an older version than the one known comes from a catalogue that began anew, or from another one: its
changes say nothing without their base, so the whole list is asked for. An address that is told again is called anew:
whoever tells it may do so because the call there is stuck.

The caller tells `connected`, `data`, `lost` and `tick`, and carries out `actions` in order; `due` is when it wants
`tick`. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from random import Random

import h11
import msgspec

from banklift.discovery.catalogue import BadList, read, roster
from banklift.interface import ListKind
from banklift.proxy.events import Roster

LONG_POLL = 4.0  # seconds that a watch's call may wait; how soon a silent catalogue is noticed depends on it
CALL_TIMEOUT = 1.5  # seconds after that until a call has failed
LIMIT = 8 * 1024 * 1024  # bytes of one list


class Connect(msgspec.Struct, frozen=True):
    address: str


class Send(msgspec.Struct, frozen=True):
    data: bytes


class Close(msgspec.Struct, frozen=True):
    pass


class Tell(msgspec.Struct, frozen=True):
    """For the machine. `roster`: None where a failure is its own business. `reason`: of a failure."""

    roster: Roster | None
    reason: str = ""


Action = Connect | Send | Close | Tell


class Backoff:
    """Waits that double from `first` to `most` seconds, with seeded jitter."""

    def __init__(self, first: float, most: float, random: Random) -> None:
        self.first, self.most, self.random = first, most, random
        self.failures = 0

    def next(self) -> float:
        wait = min(self.most, self.first * 2.0 ** min(self.failures, 32))
        self.failures += 1
        return wait * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        self.failures = 0


class Client:
    """`address`: host:port. `path`: of the list. `version`: of the list that is known; None if none is. `backoff`:
    where lists are pushed, when to open the watch anew; None where somebody else decides on that."""

    def __init__(
        self,
        address: str,
        path: str = "/catalog/members",
        version: int | None = None,
        backoff: Backoff | None = None,
    ) -> None:
        self.address = address
        self.path = path
        self.version = version
        self.backoff = backoff
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
        """The catalogue is at that address from now on; what was asked is asked there anew, and a watch that failed as
        well."""
        self.address = address
        self._drop()
        if self.backoff is not None:
            self.backoff.reset()
        self.watching = self.wanted
        if self.watching or self.fetching:
            self._call(now)

    def connected(self, now: float) -> None:
        self.up = True
        if self.calling:
            self._request(now)

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
        if now < self.due:
            return
        if not self.calling:  # it is time to try again
            self._call(now)
        elif self.up and self.watching and not self.fetching:
            self._drop()
            self.actions.append(Tell(None, "the watch was silent, and is opened anew"))
            self._call(now)
        else:
            self._fail(
                now, "no answer of the catalogue in time" if self.up else "no connection to the catalogue"
            )

    def _closed(self, now: float, reason: str) -> None:
        if self.calling:
            self._fail(now, reason)
        else:
            self._drop()

    def _call(self, now: float) -> None:
        self.calling = True
        self.due = now + CALL_TIMEOUT
        if not self.open:
            self.open = True
            self.http = h11.Connection(h11.CLIENT)
            self.actions.append(Connect(self.address))
        elif self.up:
            self._request(now)

    def _request(self, now: float) -> None:
        self.due = now + CALL_TIMEOUT + (0.0 if self.fetching else LONG_POLL)
        self.status = 0
        self.body = bytearray()
        news = not self.fetching and self.version is not None
        self.whole = not news
        query = f"?after={self.version}&wait_ms={int(LONG_POLL * 1000)}" if news else ""
        request = h11.Request(
            method="GET",
            target=self.path + query,
            headers=[("Host", self.address), ("Accept", "application/json")],
        )
        self.actions.append(Send(self.http.send(request) + self.http.send(h11.EndOfMessage())))

    def _answered(self, now: float) -> None:
        if self.status != 200:
            return self._fail(now, f"the catalogue answered {self.status}")
        try:
            catalogue = read(self.body)
        except BadList as error:
            return self._fail(now, str(error))
        if self.whole and not catalogue.all:
            return self._fail(now, "the catalogue answered with changes where the whole list was asked for")
        stray = not catalogue.all and self.version is not None and catalogue.rev < self.version
        self.body = bytearray()
        self.version = None if stray else catalogue.rev
        self.fetching = stray or (self.fetching and not self.whole)
        if self.backoff is not None:
            self.backoff.reset()
        self.calling, self.due = False, math.inf
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self._drop()
        if self.watching or self.fetching:  # at once: the watch goes on only then
            self._call(now)
        if not stray:
            self.actions.append(Tell(roster(catalogue)))

    def _fail(self, now: float, reason: str) -> None:
        self._drop()
        if self.backoff is not None:
            self.due = now + self.backoff.next()
            self.actions.append(Tell(None, reason))
            return
        self.watching = self.fetching = False
        self.actions.append(Tell(Roster((), ListKind.FAILED), reason))

    def _drop(self) -> None:
        if self.open:
            self.actions.append(Close())
        self.open = self.up = self.calling = False
        self.due = math.inf
        self.body = bytearray()
