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
from banklift.resp.routes import CrossGroupKeys, Routes, UnownedKey, strictest_class
from banklift.resp.wire import Single, Transaction

REDIS_VERSION = "7.2.0"  # of the protocol's commands that clients may expect
MAX_NAMED_SESSIONS = 10_000  # named sessions whose marks are kept
OK = Simple("OK")
NOT_READY = object()  # what a late answer may say: ask again
FLUSH_PAUSE_BYTES = (
    1024 * 1024
)  # bytes of answers let go at once after which nothing is begun in the same moment
WAIT_POLL_SECONDS = 0.02  # seconds between looks at what replicas have, for WAIT


UNCERTAIN_ERROR = encode(Error("UNCERTAIN failed: it may have run"))


def encode_refusal(wait: float, touched: bool) -> bytes:
    """The answer to a refused request. `wait`: seconds; `touched`: a member may have run it."""
    outcome = "it may have run and is safe to repeat" if touched else "nothing ran"
    return encode(Error(f"TRYAGAIN refused: {outcome}; retry_after_ms={round(wait * 1000)}"))


@dataclass(slots=True, eq=False)
class Place:
    """One command in the line."""

    answer: bytes | None = None
    request: int | None = None
    deferred: Callable[[], object] | None = None  # makes the answer once all before it are answered
    queue: GroupQueue | None = None  # what its request counts at ...
    request_class: RequestClass | None = None  # ... and as


@dataclass(slots=True, eq=False)
class WaitingCommand:
    """A command that waits for those before it."""

    place: Place
    request_class: RequestClass
    exchange: Single | Transaction
    arrived: float


@dataclass(slots=True, eq=False)
class GroupQueue:
    """What one connection has under way in one group."""

    active_reads: int = 0
    active_writes: int = 0
    waiting: deque[WaitingCommand] = field(default_factory=deque)

    def release(self, request_class: RequestClass) -> None:
        if request_class.need is Need.WRITE:
            self.active_writes -= 1
        else:
            self.active_reads -= 1

    def admits(self, request_class: RequestClass) -> bool:
        if request_class.need is Need.WRITE:
            return not self.active_reads and not self.active_writes
        return not self.active_writes or request_class.need in (Need.BOUNDED, Need.ANY)


@dataclass(slots=True, eq=False)
class Client:
    id: int
    reader: CommandReader
    line: deque[Place] = field(default_factory=deque)
    proto: int = 2
    user: str | None = None
    name: str = ""
    transaction: list[tuple[Command, list[bytes], RequestClass, int]] | None = None  # of a MULTI
    transaction_failed: bool = False  # a command of the MULTI was refused
    marks: dict[int, Seen] = field(default_factory=dict)
    queues: dict[int, GroupQueue] = field(default_factory=dict)  # by group
    sent_token: bool = False  # it shows its marks itself when it changes router
    paused: bool = False
    output_full: bool = False  # it does not read its answers
    closing: bool = False  # nothing more is read; closed once the line is empty
    latest_deadline: float = -math.inf  # when the time is over of whatever in the line has the most


class RespFront:
    def __init__(self, config: Config, core: Machine) -> None:
        self.config = config
        self.core = core
        assert isinstance(core.proofs, RespProofs)
        self._tracks = core.proofs.tracks
        self.routes = Routes(config)
        self.clients: dict[int, Client] = {}
        self.places: dict[int, tuple[Client, Place]] = {}  # by request
        self.named_sessions: OrderedDict[tuple[str, str], dict[int, Seen]] = OrderedDict()
        self.marks_evicted = False  # marks of a named session were dropped, so an unknown one may have some
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
            self._read_commands(state)

    def eof(self, client: int) -> None:
        state = self.clients.get(client)
        if state is None:
            return
        state.closing = True
        gone = encode(Error("TRYAGAIN refused: nothing ran; the client closed its side"))
        for queue in state.queues.values():
            for waiting in queue.waiting:
                if waiting.place.answer is None:
                    waiting.place.answer = gone
            queue.waiting.clear()
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
        state.queues.clear()
        for place in state.line:
            if place.request is not None and place.answer is None:
                self.places.pop(place.request, None)
                self.core.abandon(place.request)

    def full(self, client: int, is_full: bool) -> None:
        state = self.clients.get(client)
        if state is not None:
            state.output_full = is_full
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
                    self._merge_mark(self._session_marks(state), ask.group, seen)
            case Refused(wait, touched):
                place.answer = encode_refusal(wait, touched)
            case Failed():
                place.answer = UNCERTAIN_ERROR
        if place.queue is not None:
            place.queue.release(ask.kind)
            self._start_waiting(state, ask.group, place.queue)
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
        place.answer = untouched if not touched else encode_refusal(0.0, True) if repeats else UNCERTAIN_ERROR
        if place.queue is not None and place.request_class is not None:
            place.queue.release(place.request_class)

    def _overdue(self, state: Client, place: Place) -> None:
        """The time of a command is over, and something in front of it has more: that is given up with it."""
        if state.id not in self.clients or place not in state.line:
            return
        for other in list(state.line):  # giving up one may end others, and let more be read
            if other.answer is None and other.deferred is None:
                self._give_up(other, encode_refusal(0.0, False))
            if other is place:
                break
        for group, queue in list(state.queues.items()):
            self._start_waiting(state, group, queue)
        self._flush(state)

    def _read_commands(self, state: Client) -> None:
        limit = self.config.limits.pipeline
        try:
            while not state.closing:
                if len(state.line) >= limit or state.output_full:
                    self._pause(state)
                    break
                args = state.reader.next()
                if args is None:
                    break
                place = Place()
                state.line.append(place)
                self._dispatch(state, place, args)
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
            if front.answer is None and front.deferred is not None:
                value = front.deferred()
                front.answer = None if value is NOT_READY else encode(value, state.proto)
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
        elif sum(map(len, out)) > FLUSH_PAUSE_BYTES:  # whether the client reads it is known a moment later
            self._pause(state)
            self.core.at(self.core.now, lambda: self._flush(state))
        elif state.paused and not state.output_full and len(line) <= self.config.limits.pipeline // 2:
            state.paused = False
            self.core.actions.append(ev.ResumeClient(state.id))
            self._read_commands(state)

    # ---- commands

    def _dispatch(self, state: Client, place: Place, args: list[bytes]) -> None:
        name = args[0].upper()
        known = lookup(name)
        if self.passwords and state.user is None and name not in (b"AUTH", b"HELLO", b"QUIT", b"RESET"):
            return self._reply(state, place, Error("NOAUTH Authentication required."))
        if known is None:
            shown = args[0][:128].decode("utf-8", "replace")
            rest = " ".join(f"'{arg[:128].decode('utf-8', 'replace')}'" for arg in args[1:4])
            state.transaction_failed = True
            return self._reply(
                state, place, Error(f"ERR unknown command '{shown}', with args beginning with: {rest}")
            )
        if len(args) < known.min_args:
            state.transaction_failed = True
            return self._reply(
                state, place, Error(f"ERR wrong number of arguments for '{known.name.lower()}' command")
            )
        if known.kind is Kind.DEDICATED:
            state.transaction_failed = True
            return self._reply(
                state,
                place,
                Error(f"ERR {known.name} needs a connection of its own, which this router doesn't give"),
            )
        if known.kind is Kind.LOCAL:
            if state.transaction is not None and name not in (
                b"EXEC",
                b"DISCARD",
                b"MULTI",
                b"QUIT",
                b"RESET",
            ):
                state.transaction_failed = True
                return self._reply(
                    state, place, Error(f"ERR {known.name} can't stand in a MULTI of this router")
                )
            return self._answer_locally(state, place, name, args)
        try:
            keys = known.keys(args)
            if not keys:
                raise ValueError("no key")
            group = self.routes.group(keys)
        except ValueError as error:
            state.transaction_failed = True
            return self._reply(state, place, Error(f"ERR {known.name}: keys can't be told: {error}"))
        except CrossGroupKeys:
            state.transaction_failed = True
            return self._reply(state, place, Error("CROSSSLOT Keys in request belong to different groups"))
        except UnownedKey as error:
            state.transaction_failed = True
            key = error.args[0][:64].decode("utf-8", "replace")
            return self._reply(state, place, Error(f"CLUSTERDOWN no group owns the key '{key}'"))
        writes = known.kind is Kind.WRITE
        request_class = self.routes.request_class(name, keys, writes, state.user or "default")
        if state.transaction is not None:
            if any(other != group for _, _, _, other in state.transaction):
                state.transaction_failed = True
                return self._reply(
                    state, place, Error("CROSSSLOT Keys of one MULTI belong to different groups")
                )
            state.transaction.append((known, args, request_class, group))
            return self._reply(state, place, Simple("QUEUED"))
        self._submit(
            state,
            place,
            request_class,
            group,
            Single(state.proto, state.reader.raw or command(*args), writes),
        )

    def _submit(
        self,
        state: Client,
        place: Place,
        request_class: RequestClass,
        group: int,
        exchange: Single | Transaction,
    ) -> None:
        queue = state.queues.get(group)
        if queue is None:
            queue = state.queues[group] = GroupQueue()
        now = self.core.now if self.core.arrived is None else self.core.arrived
        end = now + self.core.patience(request_class)
        if state.line[0] is place:
            state.latest_deadline = end
        elif end < state.latest_deadline:  # its time is over before that of something in front of it
            self.core.at(end, lambda: self._overdue(state, place))
        else:
            state.latest_deadline = end
        waiting = WaitingCommand(place, request_class, exchange, now)
        self._drop_answered(queue)
        if not queue.waiting and queue.admits(request_class):
            return self._start_request(state, queue, waiting, group)
        queue.waiting.append(waiting)  # what it waits for ends in time, or is given up with it

    def _drop_answered(self, queue: GroupQueue) -> None:
        """What was given up while it waited is passed over, and not kept for long."""
        while queue.waiting and queue.waiting[0].place.answer is not None:
            queue.waiting.popleft()
        if len(queue.waiting) > 2 * self.config.limits.pipeline:
            queue.waiting = deque(waiting for waiting in queue.waiting if waiting.place.answer is None)

    def _start_waiting(self, state: Client, group: int, queue: GroupQueue) -> None:
        """Something ended: what waited may go."""
        self._drop_answered(queue)
        while queue.waiting and queue.admits(queue.waiting[0].request_class):
            self._start_request(state, queue, queue.waiting.popleft(), group)
            self._drop_answered(queue)

    def _start_request(self, state: Client, queue: GroupQueue, waiting: WaitingCommand, group: int) -> None:
        place, request_class = waiting.place, waiting.request_class
        place.queue, place.request_class = queue, request_class
        if request_class.need is Need.WRITE:
            queue.active_writes += 1
        else:
            queue.active_reads += 1
        ask = Ask(
            state.id, request_class, group, waiting.exchange, tenant=state.user, arrived=waiting.arrived
        )
        if request_class.need is Need.SESSION:
            marks = self._session_marks(state)
            ask.seen = marks.get(group)
            roams = self.config.sessions == "roaming" and not state.sent_token
            ask.current = roams or (self.marks_evicted and bool(state.name) and not marks)
        # the id is known only once the core took it, and the core may be done by then
        core_id = self.core.ids + 1
        place.request = core_id
        self.places[core_id] = state, place
        taken = self.core.submit(ask)
        assert taken == core_id

    def _merge_mark(self, marks: dict[int, Seen], group: int, seen: Seen) -> None:
        known = marks.get(group)
        marks[group] = seen if known is None else self._tracks[group].join(known, seen, self.core.now)

    def _session_marks(self, state: Client) -> dict[int, Seen]:
        """The session's marks: the connection's own, or those of the name it gave itself."""
        if not state.name:
            return state.marks
        key = (state.user or "", state.name)
        marks = self.named_sessions.get(key)
        if marks is None:
            marks = self.named_sessions[key] = state.marks
            if len(self.named_sessions) > MAX_NAMED_SESSIONS:
                self.marks_evicted = bool(self.named_sessions.popitem(last=False)[1]) or self.marks_evicted
        self.named_sessions.move_to_end(key)
        return marks

    def _reply(self, state: Client, place: Place, value: object) -> None:
        place.answer = encode(value, state.proto)

    def _answer_locally(self, state: Client, place: Place, name: bytes, args: list[bytes]) -> None:
        match name:
            case b"PING":
                if len(args) > 2:
                    return self._reply(
                        state, place, Error("ERR wrong number of arguments for 'ping' command")
                    )
                self._reply(state, place, args[1] if len(args) > 1 else Simple("PONG"))
            case b"ECHO":
                self._reply(state, place, args[1])
            case b"QUIT":
                self._reply(state, place, OK)
                state.closing = True
            case b"SELECT":
                self._reply(state, place, OK if args[1] == b"0" else Error("ERR DB index is out of range"))
            case b"AUTH":
                user = args[1].decode("utf-8", "replace") if len(args) > 2 else "default"
                self._reply(state, place, self._login(state, user, args[-1]) or OK)
            case b"HELLO":
                self._hello(state, place, args)
            case b"RESET":
                state.transaction, state.transaction_failed, state.proto, state.name, state.marks = (
                    None,
                    False,
                    2,
                    "",
                    {},
                )
                state.user, state.sent_token = None, False
                self._reply(state, place, Simple("RESET"))
            case b"CLIENT":
                self._client_command(state, place, args)
            case b"COMMAND":
                self._command_command(state, place, args)
            case b"INFO":
                place.answer = encode(self._info_text(args[1:]), state.proto)
            case b"ROLE":
                self._reply(state, place, ["master", 0, []])
            case b"WAIT":
                self._wait_for_replicas(state, place, args)
            case b"MULTI":
                if state.transaction is not None:
                    return self._reply(state, place, Error("ERR MULTI calls can not be nested"))
                state.transaction, state.transaction_failed = [], False
                self._reply(state, place, OK)
            case b"DISCARD":
                was, state.transaction = state.transaction, None
                self._reply(state, place, OK if was is not None else Error("ERR DISCARD without MULTI"))
            case b"EXEC":
                self._exec(state, place)
            case b"BANKLIFT.TOKEN":
                place.deferred = lambda: self._token_text(state)
            case b"BANKLIFT.SEEN":
                self._restore_marks(state, place, args[1])

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
                return self._reply(state, place, Error("NOPROTO unsupported protocol version"))
            proto, rest = int(rest[0]), rest[1:]
        name = None
        while rest:
            option = rest[0].upper()
            if option == b"AUTH" and len(rest) >= 3:
                if (error := self._login(state, rest[1].decode("utf-8", "replace"), rest[2])) is not None:
                    return self._reply(state, place, error)
                rest = rest[3:]
            elif option == b"SETNAME" and len(rest) >= 2:
                name, rest = rest[1], rest[2:]
            else:
                return self._reply(state, place, Error("ERR Syntax error in HELLO"))
        if self.passwords and state.user is None:
            return self._reply(
                state,
                place,
                Error(
                    "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                    "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select "
                    "the RESP protocol version at the same time"
                ),
            )
        if name is not None and (error := self._set_client_name(state, name)) is not None:
            return self._reply(state, place, error)
        state.proto = proto
        self._reply(
            state,
            place,
            {
                "server": "banklift",
                "version": REDIS_VERSION,
                "proto": proto,
                "id": state.id,
                "mode": "standalone",
                "role": "master",
                "modules": [],
            },
        )

    def _set_client_name(self, state: Client, name: bytes) -> Error | None:
        if any(byte < 33 or byte > 126 for byte in name):
            return Error("ERR Client names cannot contain spaces, newlines or special characters.")
        before = self._session_marks(state)
        state.name = name.decode()
        own = self._session_marks(state)
        if own is not before:  # what the connection has seen until now, the named session has seen
            for group, seen in before.items():
                self._merge_mark(own, group, seen)
        return None

    def _client_command(self, state: Client, place: Place, args: list[bytes]) -> None:
        sub = args[1].upper()
        if sub == b"ID":
            self._reply(state, place, state.id)
        elif sub == b"GETNAME":
            self._reply(state, place, state.name or None)
        elif sub == b"SETNAME" and len(args) == 3:
            self._reply(state, place, self._set_client_name(state, args[2]) or OK)
        elif sub in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            self._reply(state, place, OK)
        elif sub == b"INFO":
            self._reply(
                state,
                place,
                f"id={state.id} name={state.name} resp={state.proto} user={state.user or 'default'}\n",
            )
        else:
            self._reply(
                state, place, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'")
            )

    def _command_command(self, state: Client, place: Place, args: list[bytes]) -> None:
        sub = args[1].upper() if len(args) > 1 else b"INFO"
        carried = {name: known for name, known in COMMANDS.items() if known.kind is not Kind.DEDICATED}
        if sub == b"COUNT":
            return self._reply(state, place, len(carried))
        if sub == b"LIST":
            return self._reply(state, place, [name.lower() for name in carried])
        if sub == b"GETKEYS" and len(args) > 2:
            known = lookup(args[2])
            try:
                keys = known.keys(args[2:]) if known is not None else []
            except (ValueError, IndexError):
                keys = []
            return self._reply(state, place, keys or Error("ERR The command has no key arguments"))
        if sub == b"DOCS":
            names = [name.upper() for name in args[2:]] or list(carried)
            return self._reply(
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
            return self._reply(
                state, place, [_command_info(carried[name]) if name in carried else None for name in names]
            )
        self._reply(
            state, place, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'")
        )

    def _info_text(self, sections: list[bytes]) -> str:
        wanted = {section.lower() for section in sections} or {b"default"}
        parts = {
            b"server": f"# Server\r\nredis_version:{REDIS_VERSION}\r\nredis_mode:standalone\r\n"
            f"banklift_router:{self.config.name}\r\n",
            b"clients": f"# Clients\r\nconnected_clients:{len(self.clients)}\r\n",
            b"replication": "# Replication\r\nrole:master\r\nconnected_slaves:0\r\n",
        }
        every = wanted & {b"default", b"all", b"everything"}
        return "\r\n".join(text for name, text in parts.items() if every or name in wanted)

    def _exec(self, state: Client, place: Place) -> None:
        units, state.transaction = state.transaction, None
        if units is None:
            return self._reply(state, place, Error("ERR EXEC without MULTI"))
        if state.transaction_failed:
            state.transaction_failed = False
            return self._reply(
                state, place, Error("EXECABORT Transaction discarded because of previous errors.")
            )
        if not units:
            return self._reply(state, place, [])
        request_class = strictest_class(
            [
                self.routes.request_class(
                    known.name.encode(), known.keys(args), known.kind is Kind.WRITE, state.user or "default"
                )
                for known, args, _, _ in units
            ]
        )
        writes = request_class.need is Need.WRITE
        data = tuple(command(*args) for _, args, _, _ in units)
        self._submit(state, place, request_class, units[0][3], Transaction(state.proto, data, writes))

    # ---- marks of sessions

    def _token_text(self, state: Client) -> str:
        """Where the session's writes stand: `group=history:offset`, or `group=?` where that is not known."""
        return (
            ",".join(
                f"{self.group_names[group]}=" + (f"{seen.replid}:{seen.offset}" if seen.replid else "?")
                for group, mark in sorted(self._session_marks(state).items(), key=lambda pair: pair[0])
                for seen in mark.parts()
            )
            or "-"
        )

    def _restore_marks(self, state: Client, place: Place, token: bytes) -> None:
        marks: dict[int, Seen] = {}
        try:
            for part in token.decode().split(",") if token != b"-" else []:
                name, _, mark = part.partition("=")
                replid, _, offset = mark.partition(":")
                group = self.group_names.index(name)
                seen = Seen(self.core.now) if mark == "?" else Seen(self.core.now, replid, int(offset))
                self._merge_mark(marks, group, seen)
        except ValueError:
            return self._reply(state, place, Error("ERR not a token of BANKLIFT.TOKEN"))
        state.sent_token = True
        for group, shown in marks.items():
            met = [
                self._tracks[group].meet(seen.replid, self.core.now) for seen in shown.parts() if seen.replid
            ]
            if any(met):
                self.core.refresh(group)  # somebody leads a history that is news here
        own = self._session_marks(state)
        for group, seen in marks.items():
            self._merge_mark(own, group, seen)
        self._reply(state, place, OK)

    def _wait_for_replicas(self, state: Client, place: Place, args: list[bytes]) -> None:
        """How many replicas have the session's writes: once that many do, or the time is over (0: no end)."""
        try:
            wanted, end = int(args[1]), int(args[2]) / 1000
        except ValueError:
            return self._reply(state, place, Error("ERR value is not an integer or out of range"))
        if end < 0:
            return self._reply(state, place, Error("ERR timeout is negative"))
        end = self.core.now + end if end else math.inf

        def count_or_poll() -> object:
            counts = []
            for group, seen in self._session_marks(state).items():
                track = self._tracks[group]
                counts.append(sum(name != track.owner and track.holds(name, seen) for name in track.places))
            count = min(counts, default=0)
            if count >= wanted or self.core.now >= end or not counts:
                return count
            for group in self._session_marks(state):
                self.core.refresh(group)
            self.core.at(min(end, self.core.now + WAIT_POLL_SECONDS), lambda: self._flush(state))
            return NOT_READY

        place.deferred = count_or_poll


def _command_info(known: Command) -> list[object]:
    """A command in the form of `COMMAND INFO`."""
    flags = [
        Simple("write" if known.kind is Kind.WRITE else "readonly" if known.kind is Kind.READ else "fast")
    ]
    if known.key_count_index:
        flags.append(Simple("movablekeys"))
    return [
        known.name.lower(),
        -known.min_args,
        flags,
        known.first_key,
        known.last_key if known.first_key else 0,
        known.key_step if known.first_key else 0,
        [],
        [],
        [],
        [],
    ]
