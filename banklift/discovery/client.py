"""A client of the catalogue: it watches the list of members over HTTP, without I/O.

Theory of operation. The client makes one HTTP call at a time, on one connection that it keeps. To watch, it asks for
changes after the version that it has, as a long poll of `LONG_POLL_SECONDS`, and calls again as soon as it has the
answer, since the catalogue reports changes only to a pending call. To fetch, it asks for the whole list next.

A call fails if its connection breaks or is not established, if its status is not 200, if its answer can't be parsed, or
if the answer is incomplete `CALL_TIMEOUT_SECONDS` after the end of its long poll. The connection is closed and the
failure is reported once. Whether and when to call again is decided by the user of this class, with two exceptions:

- A watch without an answer by then is broken, whatever the state of the catalogue. It is opened again at once on a new
  connection, every time: the router counts as informed of a change soon after the long poll's end, so a pause would
  add to the time in which it misses changes.
- With `backoff` (the catalogue pushes lists and nobody requests them), the watch is opened again after each failure,
  with exponential back-off up to a part of the time in which a change has to be applied.

An answer with an older version than the known one comes from a catalogue that was restarted, or from another one. Its
changes have no known base, so the whole list is fetched. `use_address` starts a new call even if the address is the
same: it may be called because the current call hangs.

The caller reports events with `connected`, `data`, `lost` and `tick`, and carries out `actions` in order; `due` is
when it has to call `tick`. Times are seconds on the caller's clock.
"""

from __future__ import annotations

import math
from random import Random

import h11
import msgspec

from banklift.discovery.catalogue import CatalogueError, parse, to_roster
from banklift.interface import ListKind
from banklift.proxy.events import Roster

LONG_POLL_SECONDS = 4.0  # seconds of a watch's long poll; a silent catalogue is noticed only after its end
CALL_TIMEOUT_SECONDS = 1.5  # seconds for connecting, and for an answer beyond the long poll
MAX_LIST_BYTES = 8 * 1024 * 1024


class Connect(msgspec.Struct, frozen=True):
    """Open a connection to `address`, host:port; `connected` or `lost` reports the result."""

    address: str


class Send(msgspec.Struct, frozen=True):
    """Send bytes on the connection."""

    data: bytes


class Close(msgspec.Struct, frozen=True):
    """Close the connection; nothing more is to be reported of it."""


class CallResult(msgspec.Struct, frozen=True):
    """The result of a call: a list for the machine, or a failure."""

    roster: Roster | None  # None: a failure that this client handles itself
    reason: str = ""  # of a failure, for the log


Action = Connect | Send | Close | CallResult


class Backoff:
    """Exponential back-off from `first` up to `most` seconds, with jitter from `random`."""

    def __init__(self, first: float, most: float, random: Random) -> None:
        self.first, self.most, self.random = first, most, random
        self.failures = 0

    def next(self) -> float:
        """Count a failure; return the seconds to wait before the next try."""
        wait = min(self.most, self.first * 2.0 ** min(self.failures, 32))
        self.failures += 1
        return wait * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start over after a success."""
        self.failures = 0


class CatalogueClient:
    """Watches and fetches the list of members.

    `address` is the catalogue's host:port, `path` the list's path there, and `version` the version of the list that is
    known already, or None. With `backoff`, the client itself opens a failed watch again; without, `request_list` has to
    be called again.
    """

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
        self.due = math.inf  # when `tick` is needed
        self.watching = False  # a watch goes on, or is to begin
        self.fetching = False  # the whole list is to be fetched
        self.whole_requested = False  # the current call asks for the whole list
        self.watch_requested = False  # `request_list` has requested a watch at some time
        self.in_call = False  # a call is pending, or waits for its connection
        self.is_open = False  # a connection is established or being established
        self.is_connected = False  # the connection is established
        self.status = 0  # of the current answer
        self.body = bytearray()  # of the current answer
        self.http = h11.Connection(h11.CLIENT)

    def request_list(self, now: float, watch: bool) -> None:
        """Watch the list from now on, or fetch the whole list once."""
        if watch:
            self.watching = self.watch_requested = True
        else:
            self.fetching = True
        if not self.in_call:
            self._start_call(now)

    def use_address(self, now: float, address: str) -> None:
        """Use the catalogue at `address` from now on: repeat the current call there, and open a failed watch again."""
        self.address = address
        self._close_connection()
        if self.backoff is not None:
            self.backoff.reset()
        self.watching = self.watch_requested
        if self.watching or self.fetching:
            self._start_call(now)

    def connected(self, now: float) -> None:
        """The connection is established."""
        self.is_connected = True
        if self.in_call:
            self._send_request(now)

    def data(self, now: float, data: bytes) -> None:
        """Bytes have arrived; `data` is empty at the end of the stream."""
        try:
            self.http.receive_data(data)
            while self.is_open:
                event = self.http.next_event()
                if isinstance(event, h11.Response):
                    self.status = event.status_code
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MAX_LIST_BYTES:
                        self._fail_call(now, "the list of members is too long")
                elif isinstance(event, h11.EndOfMessage):
                    self._response_complete(now)
                elif isinstance(event, h11.ConnectionClosed):
                    self._connection_lost(now, "the catalogue closed the connection")
                else:
                    return
        except h11.RemoteProtocolError as error:
            self._connection_lost(now, str(error))

    def lost(self, now: float, reason: str) -> None:
        """The connection could not be established, or broke."""
        if self.is_open:
            self._connection_lost(now, reason)

    def tick(self, now: float) -> None:
        """The time `due` may have come: start a call again, or end one that timed out."""
        if now < self.due:
            return
        if not self.in_call:  # the back-off is over
            self._start_call(now)
        elif self.is_connected and self.watching and not self.fetching:
            self._close_connection()
            self.actions.append(CallResult(None, "the watch was silent; opening it again"))
            self._start_call(now)
        else:
            self._fail_call(
                now,
                "the catalogue did not answer in time"
                if self.is_connected
                else "no connection to the catalogue",
            )

    def _connection_lost(self, now: float, reason: str) -> None:
        """Handle the end of the connection, which fails a pending call."""
        if self.in_call:
            self._fail_call(now, reason)
        else:
            self._close_connection()

    def _start_call(self, now: float) -> None:
        """Start a call, on a new connection if there is none."""
        self.in_call = True
        self.due = now + CALL_TIMEOUT_SECONDS
        if not self.is_open:
            self.is_open = True
            self.http = h11.Connection(h11.CLIENT)
            self.actions.append(Connect(self.address))
        elif self.is_connected:
            self._send_request(now)

    def _send_request(self, now: float) -> None:
        """Send the HTTP request of the current call: for the whole list, or for the changes since `version`."""
        self.due = now + CALL_TIMEOUT_SECONDS + (0.0 if self.fetching else LONG_POLL_SECONDS)
        self.status = 0
        self.body = bytearray()
        changes_only = not self.fetching and self.version is not None
        self.whole_requested = not changes_only
        query = f"?after={self.version}&wait_ms={int(LONG_POLL_SECONDS * 1000)}" if changes_only else ""
        request = h11.Request(
            method="GET",
            target=self.path + query,
            headers=[("Host", self.address), ("Accept", "application/json")],
        )
        self.actions.append(Send(self.http.send(request) + self.http.send(h11.EndOfMessage())))

    def _response_complete(self, now: float) -> None:
        """Handle a complete HTTP response: report its list and start the next call."""
        if self.status != 200:
            return self._fail_call(now, f"the catalogue answered {self.status}")
        try:
            catalogue = parse(self.body)
        except CatalogueError as error:
            return self._fail_call(now, str(error))
        if self.whole_requested and not catalogue.all:
            return self._fail_call(
                now, "the catalogue answered with changes where the whole list was asked for"
            )
        is_older = not catalogue.all and self.version is not None and catalogue.rev < self.version
        self.body = bytearray()
        self.version = None if is_older else catalogue.rev
        self.fetching = is_older or (self.fetching and not self.whole_requested)
        if self.backoff is not None:
            self.backoff.reset()
        self.in_call, self.due = False, math.inf
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self._close_connection()
        if self.watching or self.fetching:  # at once, as the catalogue reports changes only to a pending call
            self._start_call(now)
        if not is_older:
            self.actions.append(CallResult(to_roster(catalogue)))

    def _fail_call(self, now: float, reason: str) -> None:
        """End a failed call and report it; with `backoff`, schedule the next one."""
        self._close_connection()
        if self.backoff is not None:
            self.due = now + self.backoff.next()
            self.actions.append(CallResult(None, reason))
            return
        self.watching = self.fetching = False
        self.actions.append(CallResult(Roster((), ListKind.FAILED), reason))

    def _close_connection(self) -> None:
        """Close the connection, and forget the call on it."""
        if self.is_open:
            self.actions.append(Close())
        self.is_open = self.is_connected = self.in_call = False
        self.due = math.inf
        self.body = bytearray()
