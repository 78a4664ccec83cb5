"""Clients that speak PostgreSQL's protocol: `Front` of proxy/wire.py.

Theory of operation. A client starts up, then sends simple queries. Each takes a place in its line; what is a request
goes to the core at once, so those behind do not wait for those before, but answers go out in the order of the line. At
most `limits.pipeline` places are open, then the client is read no more until half are gone.

A client's fault gets an error and reaches no node. A fault in a statement leaves the connection usable, up to `FAULTS`
of them; after a fault in the framing nothing more can be read, so the error is fatal and the connection is closed. A
client that is slow to start up, to ask for the first time or to finish a message is closed after `SLOW`: connections
are scarce. So are those that rest: idle ones go after `idle_timeout` seconds, and the one that has rested longest when
a new one comes and all places are taken.

Words to clients. Refused: 53300, and the field D tells after how many milliseconds to come back, if the module says so.
May have run and must not be repeated: 40003. The client's fault: 08P01, 42601, 22001, 22023, 42710, 0A000.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from banklift import interface as io
from banklift.interface import Need
from banklift.pg import frames
from banklift.pg.frames import ClientReader, FrameError
from banklift.pg.statement import TEXT_LIMIT, BadStatement, Statement, parse
from banklift.pg.wire import Query
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits
from banklift.proxy.wire import Ask, Failed, Final, Refused, Served

SLOW = 2.0  # seconds for a startup, for a first query, for the rest of a message
CROWD = 0.5  # of the places for clients: with more of them taken ...
CROWDED_IDLE_TIMEOUT = 0.3  # ... it is so many seconds only; who asked once and stays holds a place of others
LOOK = 0.1  # seconds between looks for the slow and the idle
UNASKED = 1.0  # seconds for which one that has not asked yet is not closed to make room
# seconds after the word that this router ends in which clients still come: then those that rest go ...
SOON = 0.4
LATE = 1.0  # ... one after another, and all of them are gone so many seconds before the end
FAULTS = 3  # bad statements of one client, with the last of which its connection is closed
LONGEST = 10  # times its class's deadline: longer than anybody waits
FUTURE = 1.0  # seconds that a commit may lie ahead of this router's clock
WELCOME = (
    frames.AUTHENTICATED
    + frames.parameter("server_version", "15.0 (banklift)")
    + frames.parameter("client_encoding", "UTF8")
    + frames.parameter("server_encoding", "UTF8")
    + frames.parameter("DateStyle", "ISO, MDY")
    + frames.parameter("integer_datetimes", "on")
    + frames.parameter("standard_conforming_strings", "on")
    + frames.READY
)
UNKNOWN = frames.error("40003", "failed: it may have run") + frames.READY


@dataclass(slots=True, eq=False)
class Place:
    """One command in a client's line."""

    answer: bytes | None = None
    request: int | None = None  # of the core
    id: bytes | None = None  # as the client named it


@dataclass(slots=True, eq=False)
class Client:
    id: int
    reader: ClientReader
    since: float  # when it came, when its last answer went out, or when the message that it is sending began
    line: deque[Place] = field(default_factory=deque)
    asked: bool = False
    faults: int = 0
    paused: bool = False
    full: bool = False
    closing: bool = False  # nothing more is read; closed once the line is empty
    broken: bool = False  # ... as what it sends can't be read on


class PgFront:
    def __init__(self, core: Machine, settings: io.Settings, limits: Limits, idle_timeout: float) -> None:
        self.core = core
        self.limits = limits
        self.idle_timeout = idle_timeout
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}
        self.tokens = settings.client_tokens
        self.clients: dict[int, Client] = {}
        self.idle: OrderedDict[int, Client] = OrderedDict()  # with nothing open, the longest idle first
        self.places: dict[int, tuple[Client, Place]] = {}  # by request
        self.ids: set[bytes] = set()  # of requests that are open
        self.leaving = False
        self.looking = False
        self.hand_back = math.inf  # from when connections that rest are handed back, as this router ends

    # ---- events of the core

    def opened(self, client: int) -> None:
        if len(self.clients) >= self.limits.clients:
            # one that has asked comes again by itself; what one that has only started up may be writing just now would
            # be lost; those that say nothing at all go first-come, and keep nobody out
            rested = next(
                (
                    state
                    for state in self.idle.values()
                    if state.asked
                    or not (state.reader.started or len(state.reader))
                    or state.since + UNASKED <= self.core.now
                ),
                None,
            )
            if rested is not None:
                self._close(rested)
            else:
                self.core.actions.append(
                    ev.ToClient(client, frames.error("53300", "too many connections", severity="FATAL"))
                )
                self.core.actions.append(ev.CloseClient(client))
                return
        state = Client(client, ClientReader(TEXT_LIMIT), self.core.now)
        self.clients[client] = self.idle[client] = state
        if not self.looking:
            self.looking = True
            self.core.at(self.core.now + LOOK, self._look)

    def data(self, client: int, data: bytes) -> None:
        state = self.clients.get(client)
        if state is not None and not state.closing:
            if not len(state.reader) and not state.line:
                state.since = self.core.now
            state.reader.feed(data)
            self._read(state)

    def eof(self, client: int) -> None:
        state = self.clients.get(client)
        if state is not None:  # who ends its sending has gone away
            self._close(state)

    def half_closed(self, client: int) -> None:
        self.eof(client)  # also where what it sent before is unread: nothing of that has begun

    def lost(self, client: int) -> None:
        state = self.clients.pop(client, None)
        if state is not None:
            self._forget(state)

    def full(self, client: int, is_full: bool) -> None:
        state = self.clients.get(client)
        if state is not None:
            state.full = is_full
            if is_full:
                self._pause(state)
            else:
                self._flush(state)

    def done(self, ask: Ask, final: Final) -> None:
        found = self.places.pop(ask.ids[0], None) if ask.ids else None
        if found is None:
            return
        state, place = found
        if place.id is not None:
            self.ids.discard(place.id)
        match final:
            case Served(answer):
                place.answer = answer + frames.READY
            case Refused(wait):
                place.answer = refusal(wait)
            case Failed():
                place.answer = UNKNOWN
        self._flush(state)

    def adopt(self, plan: object) -> None:
        raise AssertionError("the platform has no policies")

    def drain(self) -> None:
        """This router ends at `core.end`: connections that rest go one after another, so that their clients don't
        come to the others all at once, nor ask here when there is no time left to answer."""
        self.hand_back = self.core.now + SOON

    def leave(self) -> None:
        """Connections go as soon as nothing is open on them."""
        self.leaving = True
        for state in list(self.idle.values()):
            self._close(state)

    # ---- the line

    def _read(self, state: Client) -> None:
        try:
            while not state.closing:
                if len(state.line) >= self.limits.pipeline:
                    self._write(state)  # what is answered makes room at once
                if len(state.line) >= self.limits.pipeline or state.full:
                    self._pause(state)
                    break
                found = state.reader.next()
                if found is None:
                    break
                self._message(state, *found)
        except FrameError as fault:
            self._fatal(state, "08P01", str(fault))
        self._flush(state)

    def _pause(self, state: Client) -> None:
        if not state.paused:
            state.paused = True
            self.core.actions.append(ev.PauseClient(state.id))

    def _fatal(self, state: Client, code: str, text: str) -> None:
        state.line.append(Place(frames.error(code, text, severity="FATAL")))
        state.closing = state.broken = True
        self._pause(state)  # whatever else it sends is not even looked at

    def _write(self, state: Client) -> None:
        """Send the answers that are due."""
        line, out = state.line, []
        while line and (answer := line[0].answer) is not None:
            out.append(answer)
            line.popleft()
        if out:
            self.core.actions.append(ev.ToClient(state.id, out[0] if len(out) == 1 else b"".join(out)))
            state.since = self.core.now
        if line:
            self.idle.pop(state.id, None)
        elif out:
            self.idle[state.id] = state
            self.idle.move_to_end(state.id)

    def _flush(self, state: Client) -> None:
        """Send the answers that are due; then close it, or read on, if it is time."""
        if state.id not in self.clients:
            return
        self._write(state)
        if state.closing:
            if not state.line:
                self._close(state)
            return
        if (
            (self.leaving or (state.asked and self.core.now >= self.core.end - LATE))
            and not state.line
            and not len(state.reader)
        ):
            self._close(state)
        elif state.paused and not state.full and len(state.line) <= self.limits.pipeline // 2:
            state.paused = False
            self.core.actions.append(ev.ResumeClient(state.id))
            self._read(state)

    def _close(self, state: Client) -> None:
        if self.clients.pop(state.id, None) is not None:
            self._forget(state)
            self.core.actions.append(ev.CloseClient(state.id, state.broken))

    def _forget(self, state: Client) -> None:
        state.closing = True
        self.idle.pop(state.id, None)
        for place in state.line:
            if place.request is not None and self.places.pop(place.request, None) is not None:
                if place.id is not None:
                    self.ids.discard(place.id)
                self.core.abandon(place.request)
        state.line.clear()

    def _look(self) -> None:
        """Close those that are slow, and those that have rested for long."""
        now = self.core.now
        timeout = (
            self.idle_timeout if len(self.clients) < CROWD * self.limits.clients else CROWDED_IDLE_TIMEOUT
        )
        if self.core.end < math.inf:
            timeout = math.inf
        if now >= self.hand_back:
            resting = [state for state in self.idle.values() if state.asked and not len(state.reader)]
            part = LOOK / max(LOOK, self.core.end - LATE - now)
            for state in resting[: math.ceil(part * len(resting))]:  # the longest idle first
                self._close(state)
        for state in list(self.idle.values()):
            rested = now - state.since
            if len(state.reader) or not state.asked:
                if rested >= SLOW:
                    if state.reader.started:
                        self.core.actions.append(
                            ev.ToClient(
                                state.id,
                                frames.error(
                                    "57P05",
                                    "nothing asked, or half a message, for too long",
                                    severity="FATAL",
                                ),
                            )
                        )
                    self._close(state)
            elif rested >= timeout:
                self._close(state)
        self.looking = bool(self.clients)
        if self.looking:
            self.core.at(now + LOOK, self._look)

    # ---- messages

    def _message(self, state: Client, kind: bytes, body: bytes) -> None:
        if kind == b"Q":
            self._query(state, body)
        elif kind == b"":
            self._startup(state, body)
        elif kind == b"X":
            self._close(state)
        else:
            self._fatal(state, "0A000", "simple queries only")

    def _startup(self, state: Client, body: bytes) -> None:
        version = int.from_bytes(body[:4], "big")
        if version in (frames.SSL_REQUEST, frames.GSSENC_REQUEST):
            state.line.append(Place(b"N"))
        elif version == frames.CANCEL_REQUEST:
            self._close(state)
        elif version >> 16 != 3:
            self._fatal(state, "0A000", f"unsupported frontend protocol {version >> 16}.{version & 0xFFFF}")
        elif body[-1:] != b"\0" or b"user\0" not in body:
            self._fatal(state, "08P01", "a startup packet that can't be read")
        else:
            state.reader.started = True
            state.line.append(Place(WELCOME))

    def _query(self, state: Client, body: bytes) -> None:
        state.asked = True
        if body[-1:] != b"\0" or body.find(b"\0") != len(body) - 1:
            return self._fatal(state, "08P01", "a query that is not one text")
        text = body[:-1]
        if not text.strip(b" \t\r\n;"):
            state.line.append(Place(frames.EMPTY + frames.READY))
            return
        try:
            statement = parse(text)
            kind = self._check(statement)
        except BadStatement as fault:
            state.faults += 1
            if state.faults >= FAULTS:
                return self._fatal(state, fault.code, str(fault))
            state.line.append(Place(frames.error(fault.code, str(fault)) + frames.READY))
            return
        core = self.core
        if statement.group not in core.balancer.groups:  # the list may come late; nothing has run
            state.line.append(Place(refusal(core.balancer.settings.max_retry_after)))
            return
        place = Place(id=statement.id)
        state.line.append(place)
        self.idle.pop(state.id, None)
        self.ids.add(statement.id)
        arrived = core.now if core.arrived is None else core.arrived
        since = None if statement.after is None else core.now - statement.after / 1000
        session = (
            None
            if self.tokens or kind.need not in (Need.SESSION, Need.WRITE)
            else int.from_bytes(statement.key)
        )
        ask = Ask(
            state.id,
            kind,
            statement.group,
            Query(statement),
            tenant=statement.tenant,
            arrived=arrived,
            deadline=arrived + statement.patience / 1000 - self.limits.margin,
            since=since,
            session=session,
            again=statement.again,
            label=statement.id,
        )
        # the id is known only once the core took it, and the core may be done by then
        place.request = core.ids + 1
        self.places[place.request] = state, place
        taken = core.submit(ask)
        assert taken == place.request

    def _check(self, statement: Statement) -> io.RequestClass:
        """The class of a statement that this router knows to be sound. Errors: `BadStatement`."""
        kind = self.kinds.get(statement.kind)
        if kind is None:
            raise BadStatement("22023", f"unknown class {statement.kind!r}")
        if statement.writes is not (kind.need is Need.WRITE):
            raise BadStatement(
                "22023", f"class {kind.name!r} does not {'write' if statement.writes else 'read'}"
            )
        if self.tenants and statement.tenant not in self.tenants:
            fault = (
                "the comment lacks t" if statement.tenant is None else f"unknown tenant {statement.tenant!r}"
            )
            raise BadStatement("22023", fault)
        if statement.patience > LONGEST * kind.deadline * 1000:
            raise BadStatement("22023", f"d={statement.patience} is longer than anybody waits")
        if statement.after is not None and statement.after / 1000 > self.core.now + FUTURE:
            raise BadStatement("22023", f"after={statement.after} is ahead of the clock")
        if statement.id in self.ids:
            raise BadStatement("42710", "the id of a request that is open")
        return kind


def refusal(wait: float) -> bytes:
    """`wait`: seconds after which the client may come back; 0: not told."""
    return (
        frames.error(
            "53300",
            "refused: nothing ran, or a repeat does no harm",
            str(math.ceil(wait * 1000)) if wait > 0 else "",
        )
        + frames.READY
    )
