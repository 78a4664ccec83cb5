"""A RESP client's connection: commands in, answers out in the client's order.

Theory of operation. Each command takes a place in the connection's line; its answer fills the place, whenever it comes,
and answers leave from the front of the line only. Commands of one connection and group keep their order towards members
as far as it can be seen: a write waits for all before it, a session's or a fresh read for the writes before it. What
the connection itself means (HELLO, AUTH, MULTI ...) is answered here at once; the rest becomes a request of the core. A
line that grows too long is no longer read. As answers leave in order, one that is late holds up those behind it: when
the time of a command is over, everything in front of it that has no answer is given up, so its answer is out in time
too; only a `WAIT` may hold up what is behind it, as its client asked for that. A client that closes its side gets what
is under way; what still waits is refused at once, as it may be gone.

The router's own words, each held against the members' logs by the judge:

- `-TRYAGAIN refused: nothing ran; retry_after_ms=N`: no member got it, or each that did said that nothing ran;
- `-TRYAGAIN refused: it may have run and is safe to repeat; retry_after_ms=N`: a member got it and did not say;
- `-UNCERTAIN failed: it may have run`: the same of what is not safe to repeat.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from banklift.decide.offsets import Seen
from banklift.interface import Need, RequestClass
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config
from banklift.proxy.wire import Ask, Failed, Final, Refused, Served
from banklift.resp.commands import COMMANDS, Command, Kind, lookup
from banklift.resp.frames import CommandReader, Error, ProtocolError, Simple, command, encode
from banklift.resp.proofs import RespProofs
from banklift.resp.routes import CrossGroup, Routes, Unowned, strongest
from banklift.resp.wire import Single, Unit

VERSION = "7.2.0"  # of the protocol's commands that clients may expect
SESSIONS = 10_000  # named sessions whose marks are kept
OK = Simple("OK")
NOT_YET = object()  # what a late answer may say: ask again
LUMP = 1024 * 1024  # bytes of answers let go at once after which nothing is begun in the same moment
WAIT_LOOK = 0.02  # seconds between looks at what replicas have, for WAIT


UNCERTAIN = encode(Error("UNCERTAIN failed: it may have run"))


def refusal(wait: float, touched: bool) -> bytes:
    """The answer to a refused request. `wait`: seconds; `touched`: a member may have run it."""
    words = "it may have run and is safe to repeat" if touched else "nothing ran"
    return encode(Error(f"TRYAGAIN refused: {words}; retry_after_ms={round(wait * 1000)}"))


@dataclass(slots=True, eq=False)
class Place:
    """One command in the line."""

    answer: bytes | None = None
    request: int | None = None
    late: Callable[[], object] | None = None  # makes the answer once all before it are answered
    gate: Gate | None = None  # what its request counts at ...
    kind: RequestClass | None = None  # ... and as


@dataclass(slots=True, eq=False)
class Waiting:
    """A command that waits for those before it."""

    place: Place
    kind: RequestClass
    exchange: Single | Unit
    arrived: float


@dataclass(slots=True, eq=False)
class Gate:
    """What one connection has under way in one group."""

    reads: int = 0
    writes: int = 0
    waiting: deque[Waiting] = field(default_factory=deque)

    def ended(self, kind: RequestClass) -> None:
        if kind.need is Need.WRITE:
            self.writes -= 1
        else:
            self.reads -= 1

    def lets(self, kind: RequestClass) -> bool:
        if kind.need is Need.WRITE:
            return not self.reads and not self.writes
        return not self.writes or kind.need in (Need.BOUNDED, Need.ANY)


@dataclass(slots=True, eq=False)
class Client:
    id: int
    reader: CommandReader
    line: deque[Place] = field(default_factory=deque)
    proto: int = 2
    user: str | None = None
    name: str = ""
    units: list[tuple[Command, list[bytes], RequestClass, int]] | None = None  # of a MULTI
    spoilt: bool = False  # a command of the MULTI was refused
    seen: dict[int, Seen] = field(default_factory=dict)
    gates: dict[int, Gate] = field(default_factory=dict)  # by group
    shown: bool = False  # it shows its marks itself when it changes router
    paused: bool = False
    full: bool = False  # it does not read its answers
    closing: bool = False  # nothing more is read; closed once the line is empty
    latest: float = -math.inf  # when the time is over of whatever in the line has the most


class RespFront:
    def __init__(self, config: Config, core: Machine) -> None:
        self.config = config
        self.core = core
        assert isinstance(core.proofs, RespProofs)
        self._tracks = core.proofs.tracks
        self.routes = Routes(config)
        self.clients: dict[int, Client] = {}
        self.places: dict[int, tuple[Client, Place]] = {}  # by request
        self.sessions: OrderedDict[tuple[str, str], dict[int, Seen]] = OrderedDict()
        self.dropped = False  # marks of a named session were dropped, so an unknown one may have some
        self.passwords = {user.name: user.password for user in config.users}
        self.group_names = [group.name for group in config.groups]

    # ---- events of the core

    def opened(self, client: int) -> None:
        if len(self.clients) >= self.config.limits.clients:
            self.core.actions.append(ev.ToClient(client, b"-ERR max number of clients reached\r\n"))
            self.core.actions.append(ev.CloseClient(client))
            return
        self.clients[client] = Client(client, CommandReader(self.config.limits.frame))

    def data(self, client: int, data: bytes) -> None:
        state = self.clients.get(client)
        if state is not None and not state.closing:
            state.reader.feed(data)
            self._read(state)

    def eof(self, client: int) -> None:
        state = self.clients.get(client)
        if state is None:
            return
        state.closing = True
        gone = encode(Error("TRYAGAIN refused: nothing ran; the client closed its side"))
        for gate in state.gates.values():
            for waiting in gate.waiting:
                if waiting.place.answer is None:
                    waiting.place.answer = gone
            gate.waiting.clear()
        for place in list(state.line):
            if place.request is not None and place.answer is None and not self.core.under_way(place.request):
                self._give_up(place, gone)
        self._flush(state)

    def half_closed(self, client: int) -> None:
        return  # it may read on, and what it sent before is owed its answers; `eof` comes once that was read

    def lost(self, client: int) -> None:
        state = self.clients.pop(client, None)
        if state is None:
            return
        state.closing = True
        state.gates.clear()
        for place in state.line:
            if place.request is not None and place.answer is None:
                self.places.pop(place.request, None)
                self.core.abandon(place.request)

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
        match final:
            case Served(answer, seen):
                place.answer = answer
                if seen is not None:
                    self._mark(self._marks(state), ask.group, seen)
            case Refused(wait, touched):
                place.answer = refusal(wait, touched)
            case Failed():
                place.answer = UNCERTAIN
        if place.gate is not None:
            place.gate.ended(ask.kind)
            self._let(state, ask.group, place.gate)
        self._flush(state)

    def adopt(self, plan: object) -> None:
        """What was read before keeps its class, but for a MULTI, which is taken when its EXEC comes. Who is a user no
        more, or has another password now, is sent away once what is open is answered."""
        assert isinstance(plan, Config)
        self.config = plan
        self.routes = Routes(plan)
        before, self.passwords = self.passwords, {user.name: user.password for user in plan.users}
        for state in list(self.clients.values()):
            if state.user is not None and self.passwords.get(state.user) != before.get(state.user):
                state.closing = True
                self._flush(state)

    def drain(self) -> None:
        return

    def leave(self) -> None:
        for state in list(self.clients.values()):
            state.closing = True
            self._flush(state)

    # ---- the line

    def _give_up(self, place: Place, untouched: bytes) -> None:
        """Answer a command at once, by what is known of it. `untouched`: the words if no member got it."""
        if place.request is None:
            place.answer = untouched
            return
        touched, repeats = self.core.touched(place.request), self.core.repeats(place.request)
        self.core.abandon(place.request)
        self.places.pop(place.request, None)
        place.answer = untouched if not touched else refusal(0.0, True) if repeats else UNCERTAIN
        if place.gate is not None and place.kind is not None:
            place.gate.ended(place.kind)

    def _overdue(self, state: Client, place: Place) -> None:
        """The time of a command is over, and something in front of it has more: that is given up with it."""
        if state.id not in self.clients or place not in state.line:
            return
        for other in list(state.line):  # giving up one may end others, and let more be read
            if other.answer is None and other.late is None:
                self._give_up(other, refusal(0.0, False))
            if other is place:
                break
        for group, gate in list(state.gates.items()):
            self._let(state, group, gate)
        self._flush(state)

    def _read(self, state: Client) -> None:
        limit = self.config.limits.pipeline
        try:
            while not state.closing:
                if len(state.line) >= limit or state.full:
                    self._pause(state)
                    break
                args = state.reader.next()
                if args is None:
                    break
                place = Place()
                state.line.append(place)
                self._command(state, place, args)
        except ProtocolError as error:
            state.line.append(Place(encode(Error(f"ERR Protocol error: {error}"))))
            state.closing = True
        self._flush(state)

    def _pause(self, state: Client) -> None:
        if not state.paused:
            state.paused = True
            self.core.actions.append(ev.PauseClient(state.id))

    def _flush(self, state: Client) -> None:
        line, out = state.line, []
        while line:
            front = line[0]
            if front.answer is None and front.late is not None:
                value = front.late()
                front.answer = None if value is NOT_YET else encode(value, state.proto)
            if front.answer is None:
                break
            out.append(front.answer)
            line.popleft()
        if state.id not in self.clients:
            return
        if out:
            self.core.actions.append(ev.ToClient(state.id, out[0] if len(out) == 1 else b"".join(out)))
        if state.closing and not line:
            del self.clients[state.id]
            self.core.actions.append(ev.CloseClient(state.id))
        elif sum(map(len, out)) > LUMP:  # whether the client reads it is known a moment later
            self._pause(state)
            self.core.at(self.core.now, lambda: self._flush(state))
        elif state.paused and not state.full and len(line) <= self.config.limits.pipeline // 2:
            state.paused = False
            self.core.actions.append(ev.ResumeClient(state.id))
            self._read(state)

    # ---- commands

    def _command(self, state: Client, place: Place, args: list[bytes]) -> None:
        name = args[0].upper()
        known = lookup(name)
        if self.passwords and state.user is None and name not in (b"AUTH", b"HELLO", b"QUIT", b"RESET"):
            return self._say(state, place, Error("NOAUTH Authentication required."))
        if known is None:
            shown = args[0][:128].decode("utf-8", "replace")
            rest = " ".join(f"'{arg[:128].decode('utf-8', 'replace')}'" for arg in args[1:4])
            state.spoilt = True
            return self._say(
                state, place, Error(f"ERR unknown command '{shown}', with args beginning with: {rest}")
            )
        if len(args) < known.arity:
            state.spoilt = True
            return self._say(
                state, place, Error(f"ERR wrong number of arguments for '{known.name.lower()}' command")
            )
        if known.kind is Kind.ALONE:
            state.spoilt = True
            return self._say(
                state,
                place,
                Error(f"ERR {known.name} needs a connection of its own, which this router doesn't give"),
            )
        if known.kind is Kind.LOCAL:
            if state.units is not None and name not in (b"EXEC", b"DISCARD", b"MULTI", b"QUIT", b"RESET"):
                state.spoilt = True
                return self._say(
                    state, place, Error(f"ERR {known.name} can't stand in a MULTI of this router")
                )
            return self._local(state, place, name, args)
        try:
            keys = known.keys(args)
            if not keys:
                raise ValueError("no key")
            group = self.routes.group(keys)
        except ValueError as error:
            state.spoilt = True
            return self._say(state, place, Error(f"ERR {known.name}: keys can't be told: {error}"))
        except CrossGroup:
            state.spoilt = True
            return self._say(state, place, Error("CROSSSLOT Keys in request belong to different groups"))
        except Unowned as error:
            state.spoilt = True
            key = error.args[0][:64].decode("utf-8", "replace")
            return self._say(state, place, Error(f"CLUSTERDOWN no group owns the key '{key}'"))
        writes = known.kind is Kind.WRITE
        kind = self.routes.kind(name, keys, writes, state.user or "default")
        if state.units is not None:
            if any(other != group for _, _, _, other in state.units):
                state.spoilt = True
                return self._say(
                    state, place, Error("CROSSSLOT Keys of one MULTI belong to different groups")
                )
            state.units.append((known, args, kind, group))
            return self._say(state, place, Simple("QUEUED"))
        self._submit(
            state, place, kind, group, Single(state.proto, state.reader.raw or command(*args), writes)
        )

    def _submit(
        self, state: Client, place: Place, kind: RequestClass, group: int, exchange: Single | Unit
    ) -> None:
        gate = state.gates.get(group)
        if gate is None:
            gate = state.gates[group] = Gate()
        now = self.core.now if self.core.arrived is None else self.core.arrived
        end = now + self.core.patience(kind)
        if state.line[0] is place:
            state.latest = end
        elif end < state.latest:  # its time is over before that of something in front of it
            self.core.at(end, lambda: self._overdue(state, place))
        else:
            state.latest = end
        waiting = Waiting(place, kind, exchange, now)
        self._skip(gate)
        if not gate.waiting and gate.lets(kind):
            return self._request(state, gate, waiting, group)
        gate.waiting.append(waiting)  # what it waits for ends in time, or is given up with it

    def _skip(self, gate: Gate) -> None:
        """What was given up while it waited is passed over, and not kept for long."""
        while gate.waiting and gate.waiting[0].place.answer is not None:
            gate.waiting.popleft()
        if len(gate.waiting) > 2 * self.config.limits.pipeline:
            gate.waiting = deque(waiting for waiting in gate.waiting if waiting.place.answer is None)

    def _let(self, state: Client, group: int, gate: Gate) -> None:
        """Something ended: what waited may go."""
        self._skip(gate)
        while gate.waiting and gate.lets(gate.waiting[0].kind):
            self._request(state, gate, gate.waiting.popleft(), group)
            self._skip(gate)

    def _request(self, state: Client, gate: Gate, waiting: Waiting, group: int) -> None:
        place, kind = waiting.place, waiting.kind
        place.gate, place.kind = gate, kind
        if kind.need is Need.WRITE:
            gate.writes += 1
        else:
            gate.reads += 1
        ask = Ask(state.id, kind, group, waiting.exchange, tenant=state.user, arrived=waiting.arrived)
        if kind.need is Need.SESSION:
            marks = self._marks(state)
            ask.seen = marks.get(group)
            roams = self.config.sessions == "roaming" and not state.shown
            ask.current = roams or (self.dropped and bool(state.name) and not marks)
        # the id is known only once the core took it, and the core may be done by then
        core_id = self.core.ids + 1
        place.request = core_id
        self.places[core_id] = state, place
        taken = self.core.submit(ask)
        assert taken == core_id

    def _mark(self, marks: dict[int, Seen], group: int, seen: Seen) -> None:
        known = marks.get(group)
        marks[group] = seen if known is None else self._tracks[group].join(known, seen, self.core.now)

    def _marks(self, state: Client) -> dict[int, Seen]:
        """The session's marks: the connection's own, or those of the name it gave itself."""
        if not state.name:
            return state.seen
        key = (state.user or "", state.name)
        marks = self.sessions.get(key)
        if marks is None:
            marks = self.sessions[key] = state.seen
            if len(self.sessions) > SESSIONS:
                self.dropped = bool(self.sessions.popitem(last=False)[1]) or self.dropped
        self.sessions.move_to_end(key)
        return marks

    def _say(self, state: Client, place: Place, value: object) -> None:
        place.answer = encode(value, state.proto)

    def _local(self, state: Client, place: Place, name: bytes, args: list[bytes]) -> None:
        match name:
            case b"PING":
                if len(args) > 2:
                    return self._say(state, place, Error("ERR wrong number of arguments for 'ping' command"))
                self._say(state, place, args[1] if len(args) > 1 else Simple("PONG"))
            case b"ECHO":
                self._say(state, place, args[1])
            case b"QUIT":
                self._say(state, place, OK)
                state.closing = True
            case b"SELECT":
                self._say(state, place, OK if args[1] == b"0" else Error("ERR DB index is out of range"))
            case b"AUTH":
                user = args[1].decode("utf-8", "replace") if len(args) > 2 else "default"
                self._say(state, place, self._login(state, user, args[-1]) or OK)
            case b"HELLO":
                self._hello(state, place, args)
            case b"RESET":
                state.units, state.spoilt, state.proto, state.name, state.seen = None, False, 2, "", {}
                state.user, state.shown = None, False
                self._say(state, place, Simple("RESET"))
            case b"CLIENT":
                self._client(state, place, args)
            case b"COMMAND":
                self._commands(state, place, args)
            case b"INFO":
                place.answer = encode(self._info(args[1:]), state.proto)
            case b"ROLE":
                self._say(state, place, ["master", 0, []])
            case b"WAIT":
                self._wait(state, place, args)
            case b"MULTI":
                if state.units is not None:
                    return self._say(state, place, Error("ERR MULTI calls can not be nested"))
                state.units, state.spoilt = [], False
                self._say(state, place, OK)
            case b"DISCARD":
                was, state.units = state.units, None
                self._say(state, place, OK if was is not None else Error("ERR DISCARD without MULTI"))
            case b"EXEC":
                self._exec(state, place)
            case b"BANKLIFT.TOKEN":
                place.late = lambda: self._token(state)
            case b"BANKLIFT.SEEN":
                self._seen(state, place, args[1])

    def _login(self, state: Client, user: str, password: bytes) -> Error | None:
        if not self.passwords:
            return Error(
                "ERR AUTH <password> called without any password configured for the default user. "
                "Are you sure your configuration is correct?"
            )
        if self.passwords.get(user, "").encode() != password or user not in self.passwords:
            return Error("WRONGPASS invalid username-password pair or user is disabled.")
        state.user = user
        return None

    def _hello(self, state: Client, place: Place, args: list[bytes]) -> None:
        proto, rest = state.proto, args[1:]
        if rest:
            if rest[0] not in (b"2", b"3"):
                return self._say(state, place, Error("NOPROTO unsupported protocol version"))
            proto, rest = int(rest[0]), rest[1:]
        name = None
        while rest:
            option = rest[0].upper()
            if option == b"AUTH" and len(rest) >= 3:
                if (error := self._login(state, rest[1].decode("utf-8", "replace"), rest[2])) is not None:
                    return self._say(state, place, error)
                rest = rest[3:]
            elif option == b"SETNAME" and len(rest) >= 2:
                name, rest = rest[1], rest[2:]
            else:
                return self._say(state, place, Error("ERR Syntax error in HELLO"))
        if self.passwords and state.user is None:
            return self._say(
                state,
                place,
                Error(
                    "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                    "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select "
                    "the RESP protocol version at the same time"
                ),
            )
        if name is not None and (error := self._rename(state, name)) is not None:
            return self._say(state, place, error)
        state.proto = proto
        self._say(
            state,
            place,
            {
                "server": "banklift",
                "version": VERSION,
                "proto": proto,
                "id": state.id,
                "mode": "standalone",
                "role": "master",
                "modules": [],
            },
        )

    def _rename(self, state: Client, name: bytes) -> Error | None:
        if any(byte < 33 or byte > 126 for byte in name):
            return Error("ERR Client names cannot contain spaces, newlines or special characters.")
        before = self._marks(state)
        state.name = name.decode()
        own = self._marks(state)
        if own is not before:  # what the connection has seen until now, the named session has seen
            for group, seen in before.items():
                self._mark(own, group, seen)
        return None

    def _client(self, state: Client, place: Place, args: list[bytes]) -> None:
        sub = args[1].upper()
        if sub == b"ID":
            self._say(state, place, state.id)
        elif sub == b"GETNAME":
            self._say(state, place, state.name or None)
        elif sub == b"SETNAME" and len(args) == 3:
            self._say(state, place, self._rename(state, args[2]) or OK)
        elif sub in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            self._say(state, place, OK)
        elif sub == b"INFO":
            self._say(
                state,
                place,
                f"id={state.id} name={state.name} resp={state.proto} user={state.user or 'default'}\n",
            )
        else:
            self._say(
                state, place, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'")
            )

    def _commands(self, state: Client, place: Place, args: list[bytes]) -> None:
        sub = args[1].upper() if len(args) > 1 else b"INFO"
        carried = {name: known for name, known in COMMANDS.items() if known.kind is not Kind.ALONE}
        if sub == b"COUNT":
            return self._say(state, place, len(carried))
        if sub == b"LIST":
            return self._say(state, place, [name.lower() for name in carried])
        if sub == b"GETKEYS" and len(args) > 2:
            known = lookup(args[2])
            try:
                keys = known.keys(args[2:]) if known is not None else []
            except (ValueError, IndexError):
                keys = []
            return self._say(state, place, keys or Error("ERR The command has no key arguments"))
        if sub == b"DOCS":
            names = [name.upper() for name in args[2:]] or list(carried)
            return self._say(
                state,
                place,
                {
                    name.lower().decode(): {"summary": "carried by banklift"}
                    for name in names
                    if name in carried
                },
            )
        if sub == b"INFO":
            names = [name.upper() for name in args[2:]] or list(carried)
            return self._say(
                state, place, [_describe(carried[name]) if name in carried else None for name in names]
            )
        self._say(state, place, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'"))

    def _info(self, sections: list[bytes]) -> str:
        wanted = {section.lower() for section in sections} or {b"default"}
        parts = {
            b"server": f"# Server\r\nredis_version:{VERSION}\r\nredis_mode:standalone\r\n"
            f"banklift_router:{self.config.name}\r\n",
            b"clients": f"# Clients\r\nconnected_clients:{len(self.clients)}\r\n",
            b"replication": "# Replication\r\nrole:master\r\nconnected_slaves:0\r\n",
        }
        every = wanted & {b"default", b"all", b"everything"}
        return "\r\n".join(text for name, text in parts.items() if every or name in wanted)

    def _exec(self, state: Client, place: Place) -> None:
        units, state.units = state.units, None
        if units is None:
            return self._say(state, place, Error("ERR EXEC without MULTI"))
        if state.spoilt:
            state.spoilt = False
            return self._say(
                state, place, Error("EXECABORT Transaction discarded because of previous errors.")
            )
        if not units:
            return self._say(state, place, [])
        kind = strongest(
            [
                self.routes.kind(
                    known.name.encode(), known.keys(args), known.kind is Kind.WRITE, state.user or "default"
                )
                for known, args, _, _ in units
            ]
        )
        writes = kind.need is Need.WRITE
        data = tuple(command(*args) for _, args, _, _ in units)
        self._submit(state, place, kind, units[0][3], Unit(state.proto, data, writes))

    # ---- marks of sessions

    def _token(self, state: Client) -> str:
        """Where the session's writes stand: `group=history:offset`, or `group=?` where that is not known."""
        return (
            ",".join(
                f"{self.group_names[group]}=" + (f"{seen.replid}:{seen.offset}" if seen.replid else "?")
                for group, mark in sorted(self._marks(state).items(), key=lambda pair: pair[0])
                for seen in mark.parts()
            )
            or "-"
        )

    def _seen(self, state: Client, place: Place, token: bytes) -> None:
        marks: dict[int, Seen] = {}
        try:
            for part in token.decode().split(",") if token != b"-" else []:
                name, _, mark = part.partition("=")
                replid, _, offset = mark.partition(":")
                group = self.group_names.index(name)
                seen = Seen(self.core.now) if mark == "?" else Seen(self.core.now, replid, int(offset))
                self._mark(marks, group, seen)
        except ValueError:
            return self._say(state, place, Error("ERR not a token of BANKLIFT.TOKEN"))
        state.shown = True
        for group, shown in marks.items():
            met = [
                self._tracks[group].meet(seen.replid, self.core.now) for seen in shown.parts() if seen.replid
            ]
            if any(met):
                self.core.refresh(group)  # somebody leads a history that is news here
        own = self._marks(state)
        for group, seen in marks.items():
            self._mark(own, group, seen)
        self._say(state, place, OK)

    def _wait(self, state: Client, place: Place, args: list[bytes]) -> None:
        """How many replicas have the session's writes: once that many do, or the time is over (0: no end)."""
        try:
            wanted, end = int(args[1]), int(args[2]) / 1000
        except ValueError:
            return self._say(state, place, Error("ERR value is not an integer or out of range"))
        if end < 0:
            return self._say(state, place, Error("ERR timeout is negative"))
        end = self.core.now + end if end else math.inf

        def look() -> object:
            counts = []
            for group, seen in self._marks(state).items():
                track = self._tracks[group]
                counts.append(sum(name != track.owner and track.holds(name, seen) for name in track.places))
            count = min(counts, default=0)
            if count >= wanted or self.core.now >= end or not counts:
                return count
            for group in self._marks(state):
                self.core.refresh(group)
            self.core.at(min(end, self.core.now + WAIT_LOOK), lambda: self._flush(state))
            return NOT_YET

        place.late = look


def _describe(known: Command) -> list[object]:
    """A command in the form of `COMMAND INFO`."""
    flags = [
        Simple("write" if known.kind is Kind.WRITE else "readonly" if known.kind is Kind.READ else "fast")
    ]
    if known.counted:
        flags.append(Simple("movablekeys"))
    return [
        known.name.lower(),
        -known.arity,
        flags,
        known.first,
        known.last if known.first else 0,
        known.step if known.first else 0,
        [],
        [],
        [],
        [],
    ]
