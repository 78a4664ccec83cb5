"""Connections of Redis clients: reads commands and sends replies in the order of the commands.

Theory of operation:

- Every command of a connection has an entry in the connection's pipeline. Replies may become known in any order; they
  are sent only from the head of the pipeline. A connection whose pipeline is full is no longer read. After
  `COMMANDS_PER_TURN` commands a connection takes turns with the others.
- Commands of one connection to one group keep their order towards members as far as a client can observe it: a write
  waits for all commands before it, a session or fresh read for the writes before it, and any other read for neither.
  But no command overtakes one that still waits in the same group.
- Commands about the connection itself (HELLO, AUTH, MULTI and so on) are answered here; the others become requests of
  the core.
- Since replies leave in order, a late one delays those behind it. When the time of a command is over, every command
  ahead of it that has no reply yet is given up, so that its own reply leaves in time. Only `WAIT` may delay the
  commands behind it, since its client asked for that.
- When a client closes its sending side, requests that are under way are still answered. Commands that wait are refused
  at once, as the client may be gone.

Error replies of the router itself. The judge checks each of them against the members' logs:

- `-TRYAGAIN refused: nothing ran; retry_after_ms=N`: no member received the request, or every member that received it
  rejected it without running it;
- `-TRYAGAIN refused: it may have run and is safe to repeat; retry_after_ms=N`: a member received the request, its
  outcome is unknown, and repeating it is safe;
- `-UNCERTAIN failed: it may have run`: a member received the request, its outcome is unknown, and repeating it is not
  safe.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from banklift.decide.offsets import SessionMark
from banklift.interface import Effect, Need, RequestClass
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.memory import CONNECTION_BYTES, REQUEST_BYTES, Claim, Holding
from banklift.proxy.plan import Config
from banklift.proxy.wire import COMMANDS_PER_TURN, ClientRequest, Failed, Final, Refused, Served
from banklift.resp.commands import COMMANDS, Command, CommandKind, find_command
from banklift.resp.frames import ARG_BYTES, CommandReader, Error, ProtocolError, Simple, command, encode
from banklift.resp.proofs import RespProofs
from banklift.resp.routes import CrossGroupKeys, Routes, UnownedKey, strictest_class
from banklift.resp.wire import SingleCommand, Transaction

REDIS_VERSION = "7.2.0"  # of Redis, whose commands clients may expect
MAX_NAMED_SESSIONS = 10_000  # beyond this, the marks of the least recently used session are dropped
OK = Simple("OK")
NOT_READY = object()  # returned by a deferred reply that has to be asked for again
# Bytes of replies sent by one flush beyond which reading pauses until it is known whether the client takes them.
FLUSH_PAUSE_BYTES = 1024 * 1024
WAIT_POLL_SECONDS = 0.02  # between two polls of the replicas' offsets for WAIT
LARGE_COMMAND_BYTES = 4 * 1024  # a longer command can't take the last part of the memory
SHORT_REPLY_BYTES = 256  # a reply that takes no more memory than a refusal
# While memory is short, a command of which nothing has come for so long is discarded.
UNFINISHED_COMMAND_SECONDS = 2.0
UNFINISHED_CHECK_SECONDS = 0.5  # time between two looks for such commands
UNCERTAIN_ERROR = encode(Error("UNCERTAIN failed: it may have run"))


def encode_refusal(retry_after: float, may_have_run: bool) -> bytes:
    """Encodes the reply to a refused request that is safe to send again.

    `retry_after`: seconds. `may_have_run`: whether a member may have run it.
    """
    outcome = "it may have run and is safe to repeat" if may_have_run else "nothing ran"
    return encode(Error(f"TRYAGAIN refused: {outcome}; retry_after_ms={round(retry_after * 1000)}"))


@dataclass(slots=True, eq=False)
class PipelineEntry:
    """One command in a connection's pipeline, with its reply once that is known."""

    answer: bytes | None = None
    request: int | None = None  # the core's id of its request
    # computes the reply once all commands before it are answered; may return `NOT_READY`
    deferred: Callable[[], object] | None = None
    held_bytes: int = 0  # of its command or reply, as counted in the budget of memory
    queue: GroupQueue | None = None  # the queue in which its request counts as active
    request_class: RequestClass | None = None  # the class under which its request counts there


@dataclass(slots=True, eq=False)
class WaitingCommand:
    """A command that waits for earlier commands of its connection and group."""

    entry: PipelineEntry
    request_class: RequestClass
    exchange: SingleCommand | Transaction
    arrived: float  # router's clock, seconds
    size: int  # bytes of the command


@dataclass(slots=True, eq=False)
class GroupQueue:
    """The commands of one connection in one group: how many are active, and which wait for them, in order."""

    active_reads: int = 0
    active_writes: int = 0
    waiting: deque[WaitingCommand] = field(default_factory=deque)

    def release(self, request_class: RequestClass) -> None:
        """Counts a request of this class as ended."""
        if request_class.need is Need.WRITE:
            self.active_writes -= 1
        else:
            self.active_reads -= 1

    def admits(self, request_class: RequestClass) -> bool:
        """Whether a request of this class may start beside the active ones.

        A write starts alone. A session or fresh read waits for writes; a bounded read and one of need `any` don't.
        """
        if request_class.need is Need.WRITE:
            return not self.active_reads and not self.active_writes
        return not self.active_writes or request_class.need in (Need.BOUNDED, Need.ANY)


@dataclass(slots=True, eq=False)
class ClientConnection:
    """The state of one client connection."""

    id: int
    reader: CommandReader
    pipeline: deque[PipelineEntry] = field(
        default_factory=deque
    )  # the pipeline: commands not yet answered, oldest first
    proto: int = 2  # version of RESP
    user: str | None = None  # None until the client has logged in
    name: str = ""  # set by the client; connections of one user and name share a session
    # command, arguments, class and group of each command queued by MULTI; None outside a transaction
    transaction: list[tuple[Command, list[bytes], RequestClass, int]] | None = None
    transaction_bytes: int = 0  # what the commands queued by MULTI take
    input_bytes: int = 0  # what has come and is not handled, as counted in the budget of memory
    transaction_failed: bool = False  # a command of the transaction was refused, so EXEC aborts
    marks: dict[int, SessionMark] = field(default_factory=dict)  # by group: what the session has seen
    queues: dict[int, GroupQueue] = field(default_factory=dict)  # by group
    sent_token: bool = False  # the client hands over its marks (BANKLIFT.SEEN) when it changes router
    paused: bool = False  # the connection is not being read
    awaits_room: bool = False  # there is no memory for more until commands of the pipeline are answered
    awaits_turn: bool = False  # buffered commands are run after other connections have had their turn
    output_full: bool = False  # the client does not read its replies
    closing: bool = False  # nothing more is read; the connection is closed once the pipeline is empty
    # the latest deadline of a request in the pipeline, in seconds of the router's clock
    latest_deadline: float = -math.inf


class RespFront:
    """The clients' side of a router that speaks RESP: `Front` of proxy/wire.py."""

    def __init__(self, config: Config, core: Machine) -> None:
        """`config`: the operator's file. `core`: the machine that runs this front; its proofs must be `RespProofs`."""
        self.config = config
        self.core = core
        assert isinstance(core.proofs, RespProofs)
        self._histories = core.proofs.histories
        self.routes = Routes(config)
        self.clients: dict[int, ClientConnection] = {}
        self.entries_by_request: dict[
            int, tuple[ClientConnection, PipelineEntry]
        ] = {}  # by the core's id of the request
        # marks by group of each named session, by user and name, least recently used first
        self.named_sessions: OrderedDict[tuple[str, str], dict[int, SessionMark]] = OrderedDict()
        # once marks of a named session were dropped, a named session without marks may have had some
        self.marks_evicted = False
        # by user; if there are none, no login is needed
        self.passwords = {user.name: user.password for user in config.users}
        self.group_names = [group.name for group in config.groups]
        self.leaving = False
        # clients with an incomplete command, and when the last bytes of it came; the longest ago first
        self.unfinished: OrderedDict[int, float] = OrderedDict()
        self.unfinished_check_scheduled = False

    # ---- events of the core

    def opened(self, client: int) -> None:
        """A client connected; it is turned away if `limits.clients` connections are open, or there is no memory."""
        memory = self.core.memory
        if len(self.clients) >= self.config.limits.clients or not memory.has_room(CONNECTION_BYTES):
            self.core.actions.append(ev.SendToClient(client, b"-ERR max number of clients reached\r\n"))
            self.core.actions.append(ev.CloseClient(client))
            return
        memory.take(Holding.CONNECTIONS, CONNECTION_BYTES)
        self.clients[client] = ClientConnection(client, CommandReader(self.config.limits.frame))

    def data(self, client: int, data: bytes) -> None:
        """Bytes of a client arrived: runs the commands that are complete."""
        state = self.clients.get(client)
        if state is not None and not state.closing:
            state.reader.feed(data)
            self.unfinished.pop(client, None)  # it goes to the end, as something has come
            if state.awaits_turn:
                self._count_input(state)
            else:
                self._read_commands(state)

    def take_turn(self, client: int) -> None:
        """Runs more of the connection's buffered commands."""
        state = self.clients.get(client)
        if state is None:
            return
        self._read_commands(state)
        if self.leaving and not state.awaits_turn:
            self._close_when_answered(state)

    def eof(self, client: int) -> None:
        """The client closed its sending side: refuses what waits, and closes once the rest is answered."""
        state = self.clients.get(client)
        if state is None:
            return
        state.closing = True
        refused = encode(Error("TRYAGAIN refused: nothing ran; the client closed its side"))
        for queue in state.queues.values():
            for waiting in queue.waiting:
                if waiting.entry.answer is None:
                    waiting.entry.answer = refused
            queue.waiting.clear()
        for entry in list(state.pipeline):
            if (
                entry.request is not None
                and entry.answer is None
                and not self.core.has_running_attempt(entry.request)
            ):
                self._give_up(entry, refused)
        self._flush(state)

    def half_closed(self, client: int) -> None:
        """Does nothing: commands that are unread still get their replies, and `eof` follows once they are read."""
        return

    def lost(self, client: int) -> None:
        """The connection is gone: abandons its requests."""
        state = self.clients.pop(client, None)
        if state is None:
            return
        self._forget(state)
        state.queues.clear()
        for entry in state.pipeline:
            self._hold(entry, 0)
            if entry.request is not None and entry.answer is None:
                self.entries_by_request.pop(entry.request, None)
                self.core.abandon(entry.request)

    def set_output_full(self, client: int, is_full: bool) -> None:
        """The client has stopped reading its replies, or reads them again: pauses or resumes its commands."""
        state = self.clients.get(client)
        if state is not None:
            state.output_full = is_full
            if is_full:
                self._pause(state)
            else:
                self._flush(state)

    def done(self, request: ClientRequest, final: Final) -> None:
        """The core has finished a request: stores the reply and starts what waited for it."""
        found = self.entries_by_request.pop(request.ids[0], None) if request.ids else None
        if found is None:
            return
        state, entry = found
        match final:
            case Served(answer, seen):
                entry.answer = self._reply_within_room(state, entry, request, answer)
                if seen is not None:
                    self._merge_mark(self._session_marks(state), request.group, seen)
            case Refused(retry_after, may_have_run):
                entry.answer = encode_refusal(retry_after, may_have_run)
            case Failed():
                entry.answer = UNCERTAIN_ERROR
        self._hold(entry, len(entry.answer))
        if entry.queue is not None:
            entry.queue.release(request.request_class)
            self._start_waiting(state, request.group, entry.queue)
        self._flush(state)

    def settled(self, request: ClientRequest, may_have_run: bool) -> None:
        """Does nothing: commands have no ids that could come again."""
        return

    def adopt(self, plan: object) -> None:
        """Classifies commands by another file from now on.

        Commands that were read before keep their class, except those of a MULTI, whose class is set at EXEC. A client
        whose user was removed or has another password is disconnected once its commands are answered.
        """
        assert isinstance(plan, Config)
        self.config = plan
        self.routes = Routes(plan)
        old_passwords = self.passwords
        self.passwords = {user.name: user.password for user in plan.users}
        for state in list(self.clients.values()):
            if state.user is not None and self.passwords.get(state.user) != old_passwords.get(state.user):
                self._close_when_answered(state)

    def drain(self) -> None:
        """Does nothing: commands are taken until `leave`, and the core ends them in time."""
        return

    def leave(self) -> None:
        """Closes every connection once its commands are answered, also those that await their turn."""
        self.leaving = True
        for state in list(self.clients.values()):
            if not state.awaits_turn:
                self._close_when_answered(state)

    # ---- the pipeline

    def _give_up(self, entry: PipelineEntry, untouched: bytes) -> None:
        """Answers a command now, by what is known of its outcome. `untouched`: the reply if no member received it."""
        if entry.request is None:
            entry.answer = untouched
            return
        may_have_run = self.core.may_have_run(entry.request)
        repeatable = self.core.safe_to_repeat(entry.request)
        self.core.abandon(entry.request)
        self.entries_by_request.pop(entry.request, None)
        entry.answer = (
            untouched if not may_have_run else encode_refusal(0.0, True) if repeatable else UNCERTAIN_ERROR
        )
        if entry.queue is not None and entry.request_class is not None:
            entry.queue.release(entry.request_class)

    def _expire(self, state: ClientConnection, entry: PipelineEntry) -> None:
        """The time of a command is over, but a command ahead of it has a later deadline.

        Gives up everything without a reply up to and including this command, so that its reply leaves in time.
        """
        if state.id not in self.clients or entry not in state.pipeline:
            return
        for other in list(state.pipeline):  # copied, as giving up one may end others and let more be read
            if other.answer is None and other.deferred is None:
                self._give_up(other, encode_refusal(0.0, False))
            if other is entry:
                break
        for group, queue in list(state.queues.items()):
            self._start_waiting(state, group, queue)
        self._flush(state)

    def _read_commands(self, state: ClientConnection) -> None:
        """Runs the complete commands of one turn, until the pipeline is full; then sends the replies that are ready.

        `awaits_turn` keeps its value meanwhile, so that replies which are known at once don't begin another turn.
        """
        limit = self.config.limits.pipeline
        commands_left, awaits_turn = COMMANDS_PER_TURN, False
        state.awaits_room = False
        try:
            while not state.closing:
                if len(state.pipeline) >= limit or state.output_full:
                    self._pause(state)
                    break
                if self.core.memory.is_short and self._must_await_room(state):
                    state.awaits_room = True
                    self._pause(state)
                    break
                if not commands_left and len(state.reader):
                    awaits_turn = True
                    break
                args = state.reader.next()
                if args is None:
                    break
                commands_left -= 1
                entry = PipelineEntry()
                state.pipeline.append(entry)
                self._count_input(state)  # as a request counts what it holds itself
                if args:
                    self._dispatch(state, entry, args)
                else:
                    self._refuse_discarded(state, entry)
        except ProtocolError as error:
            state.pipeline.append(PipelineEntry(encode(Error(f"ERR Protocol error: {error}"))))
            state.closing = True
        state.awaits_turn = awaits_turn
        if not state.pipeline and not self._has_room_for_more(state):
            state.reader.discard()
        self._count_input(state)
        if awaits_turn:
            self._pause(state)
            self.core.defer(state.id)
        self._flush(state)

    def _close_when_answered(self, state: ClientConnection) -> None:
        """Runs nothing more of a connection, and closes it once its commands are answered."""
        state.closing = True
        self._flush(state)

    def _pause(self, state: ClientConnection) -> None:
        """Stops reading the connection until `_flush` resumes it."""
        if not state.paused:
            state.paused = True
            self.core.actions.append(ev.PauseClient(state.id))

    def _send_replies(self, state: ClientConnection) -> int:
        """Sends the replies at the head of the pipeline; returns how many bytes they have."""
        line = state.pipeline
        out = []
        while line:
            head = line[0]
            if head.answer is None and head.deferred is not None:
                value = head.deferred()
                head.answer = None if value is NOT_READY else encode(value, state.proto)
            if head.answer is None:
                break
            out.append(head.answer)
            self._hold(line.popleft(), 0)
        if out and state.id in self.clients:
            state.awaits_room = False
            self.core.actions.append(ev.SendToClient(state.id, out[0] if len(out) == 1 else b"".join(out)))
        return sum(map(len, out))

    def _flush(self, state: ClientConnection) -> None:
        """Sends the replies at the head of the pipeline, then closes, pauses or resumes the connection as needed."""
        line = state.pipeline
        sent_bytes = self._send_replies(state)
        if state.id not in self.clients:
            return
        if state.closing and not line:
            del self.clients[state.id]
            self._forget(state)
            self.core.actions.append(ev.CloseClient(state.id))
        elif sent_bytes > FLUSH_PAUSE_BYTES:  # the core's next turn knows whether the client is slow
            self._pause(state)
            self.core.call_at(self.core.now, lambda: self._flush(state))
        elif (
            state.paused
            and not state.awaits_turn
            and not state.awaits_room
            and not state.output_full
            and len(line) <= self.config.limits.pipeline // 2
        ):
            state.paused = False
            self.core.actions.append(ev.ResumeClient(state.id))
            self._read_commands(state)

    # ---- the budget of memory

    def _count_input(self, state: ClientConnection) -> None:
        """Counts what has come from a client and was not handled, and the commands that it has queued by MULTI."""
        if state.transaction is None:
            state.transaction_bytes = 0
        size = 0 if state.closing else state.reader.held_bytes + state.transaction_bytes
        if size != state.input_bytes:
            self.core.memory.take(Holding.CLIENT_INPUT, size - state.input_bytes)
            state.input_bytes = size
        if state.closing or not state.reader.is_incomplete:
            self.unfinished.pop(state.id, None)
        elif state.id not in self.unfinished:
            self.unfinished[state.id] = self.core.now
            self._schedule_unfinished_check()

    def _hold(self, entry: PipelineEntry, size: int) -> None:
        """Counts what a command that waits, or its reply, takes from now on."""
        if size != entry.held_bytes:
            self.core.memory.take(Holding.ANSWERS, size - entry.held_bytes)
            entry.held_bytes = size

    def _forget(self, state: ClientConnection) -> None:
        """Gives back what a connection that ends has taken, but for the entries of its pipeline."""
        state.closing = True
        state.transaction = None
        self._count_input(state)
        self.core.memory.give_back(Holding.CONNECTIONS, CONNECTION_BYTES)

    def _has_room_for_more(self, state: ClientConnection) -> bool:
        """Whether more of the client's commands may be read: always while memory is not short.

        Clients without open commands, and small commands, may take more of it than others.
        """
        memory = self.core.memory
        if not memory.is_short:
            return True
        is_large = state.reader.held_bytes > LARGE_COMMAND_BYTES
        claim = Claim.FURTHER if state.pipeline else Claim.LARGE if is_large else Claim.ANY
        return memory.has_room(REQUEST_BYTES, claim)

    def _must_await_room(self, state: ClientConnection) -> bool:
        """Whether the next command has to wait until open ones of its client are answered."""
        self._send_replies(state)  # what is answered needs no room any more
        return bool(state.pipeline) and not self._has_room_for_more(state)

    def _refuse_discarded(self, state: ClientConnection, entry: PipelineEntry) -> None:
        """Answers a command that was discarded for want of memory; a transaction that it stood in is aborted."""
        state.transaction_failed = True
        entry.answer = encode_refusal(self.core.balancer.settings.max_retry_after, False)

    def _reply_within_room(
        self, state: ClientConnection, entry: PipelineEntry, request: ClientRequest, answer: bytes
    ) -> bytes:
        """The reply to a command that was served: its answer, or a word on its outcome if there is no room for that."""
        memory = self.core.memory
        if not memory.is_short or len(answer) <= SHORT_REPLY_BYTES:
            return answer
        is_late = state.output_full or state.pipeline[0] is not entry
        if memory.has_room(len(answer), Claim.FURTHER if is_late else Claim.ANY):
            return answer
        is_safe = request.request_class.effect is Effect.SAFE
        retry_after = self.core.balancer.settings.max_retry_after
        return encode_refusal(retry_after, True) if is_safe else UNCERTAIN_ERROR

    def _schedule_unfinished_check(self) -> None:
        """Sets the timer for the next look at incomplete commands, unless it is set."""
        if not self.unfinished_check_scheduled:
            self.unfinished_check_scheduled = True
            self.core.call_at(self.core.now + UNFINISHED_CHECK_SECONDS, self._discard_unfinished)

    def _discard_unfinished(self) -> None:
        """While memory is short, discards incomplete commands of which nothing has come for too long."""
        self.unfinished_check_scheduled = False
        oldest = self.core.now - UNFINISHED_COMMAND_SECONDS
        while (
            self.unfinished and self.core.memory.is_short and next(iter(self.unfinished.values())) <= oldest
        ):
            client, _ = self.unfinished.popitem(last=False)
            state = self.clients[client]
            state.reader.discard()
            self._count_input(state)
        if self.unfinished:
            self._schedule_unfinished_check()

    # ---- commands

    def _dispatch(self, state: ClientConnection, entry: PipelineEntry, args: list[bytes]) -> None:
        """Answers a command, queues it in a transaction, or submits it to the core."""
        name = args[0].upper()
        spec = find_command(name)
        if self.passwords and state.user is None and name not in (b"AUTH", b"HELLO", b"QUIT", b"RESET"):
            return self._reply(state, entry, Error("NOAUTH Authentication required."))
        if spec is None:
            shown_name = args[0][:128].decode("utf-8", "replace")
            shown_args = " ".join(f"'{arg[:128].decode('utf-8', 'replace')}'" for arg in args[1:4])
            state.transaction_failed = True
            return self._reply(
                state,
                entry,
                Error(f"ERR unknown command '{shown_name}', with args beginning with: {shown_args}"),
            )
        if len(args) < spec.min_args:
            state.transaction_failed = True
            return self._reply(
                state, entry, Error(f"ERR wrong number of arguments for '{spec.name.lower()}' command")
            )
        if spec.kind is CommandKind.DEDICATED:
            state.transaction_failed = True
            return self._reply(
                state,
                entry,
                Error(f"ERR {spec.name} needs a connection of its own, which this router doesn't give"),
            )
        if spec.kind is CommandKind.LOCAL:
            if state.transaction is not None and name not in (
                b"EXEC",
                b"DISCARD",
                b"MULTI",
                b"QUIT",
                b"RESET",
            ):
                state.transaction_failed = True
                return self._reply(
                    state, entry, Error(f"ERR {spec.name} can't stand in a MULTI of this router")
                )
            return self._answer_locally(state, entry, name, args)
        try:
            keys = spec.keys(args)
            if not keys:
                raise ValueError("no key")
            group = self.routes.group(keys)
        except ValueError as error:
            state.transaction_failed = True
            return self._reply(state, entry, Error(f"ERR {spec.name}: keys can't be told: {error}"))
        except CrossGroupKeys:
            state.transaction_failed = True
            return self._reply(state, entry, Error("CROSSSLOT Keys in request belong to different groups"))
        except UnownedKey as error:
            state.transaction_failed = True
            key = error.args[0][:64].decode("utf-8", "replace")
            return self._reply(state, entry, Error(f"CLUSTERDOWN no group owns the key '{key}'"))
        writes = spec.kind is CommandKind.WRITE
        request_class = self.routes.request_class(name, keys, writes, state.user or "default")
        if state.transaction is not None:
            if any(other_group != group for _, _, _, other_group in state.transaction):
                state.transaction_failed = True
                return self._reply(
                    state, entry, Error("CROSSSLOT Keys of one MULTI belong to different groups")
                )
            state.transaction.append((spec, args, request_class, group))
            state.transaction_bytes += sum(map(len, args)) + ARG_BYTES * len(args)
            return self._reply(state, entry, Simple("QUEUED"))
        self._submit(
            state,
            entry,
            request_class,
            group,
            SingleCommand(state.proto, state.reader.raw or command(*args), writes),
        )

    def _submit(
        self,
        state: ClientConnection,
        entry: PipelineEntry,
        request_class: RequestClass,
        group: int,
        exchange: SingleCommand | Transaction,
    ) -> None:
        """Submits a request to the core, or queues it behind the commands it has to wait for."""
        queue = state.queues.get(group)
        if queue is None:
            queue = state.queues[group] = GroupQueue()
        arrived = self.core.now if self.core.input_sent_at is None else self.core.input_sent_at
        deadline = arrived + self.core.answer_time_limit(request_class)
        if state.pipeline[0] is entry:
            state.latest_deadline = deadline
        elif deadline < state.latest_deadline:  # before that of a command ahead of it
            self.core.call_at(deadline, lambda: self._expire(state, entry))
        else:
            state.latest_deadline = deadline
        waiting = WaitingCommand(entry, request_class, exchange, arrived, exchange.size)
        self._drop_answered(queue)
        if not queue.waiting and queue.admits(request_class):
            return self._start_request(state, queue, waiting, group)
        self._hold(entry, waiting.size)
        # its wait is bounded: each command ahead of it ends in time, or `_expire` gives it up
        queue.waiting.append(waiting)

    def _drop_answered(self, queue: GroupQueue) -> None:
        """Drops commands that were given up while they waited, so that the queue starts with one that still waits.

        Those behind the head are dropped once the queue is longer than two full pipelines, to bound its memory.
        """
        while queue.waiting and queue.waiting[0].entry.answer is not None:
            queue.waiting.popleft()
        if len(queue.waiting) > 2 * self.config.limits.pipeline:
            queue.waiting = deque(waiting for waiting in queue.waiting if waiting.entry.answer is None)

    def _start_waiting(self, state: ClientConnection, group: int, queue: GroupQueue) -> None:
        """Starts the waiting commands that may go, after an active one has ended."""
        self._drop_answered(queue)
        while queue.waiting and queue.admits(queue.waiting[0].request_class):
            self._start_request(state, queue, queue.waiting.popleft(), group)
            self._drop_answered(queue)

    def _start_request(
        self, state: ClientConnection, queue: GroupQueue, waiting: WaitingCommand, group: int
    ) -> None:
        """Counts a command as active and hands its request to the core."""
        entry = waiting.entry
        request_class = waiting.request_class
        entry.queue = queue
        entry.request_class = request_class
        if request_class.need is Need.WRITE:
            queue.active_writes += 1
        else:
            queue.active_reads += 1
        self._hold(entry, 0)  # the core counts it from here on
        request = ClientRequest(
            state.id,
            request_class,
            group,
            waiting.exchange,
            tenant=state.user,
            arrived=waiting.arrived,
            size=waiting.size,
        )
        if request_class.need is Need.SESSION:
            marks = self._session_marks(state)
            request.must_reflect = marks.get(group)
            may_have_written_elsewhere = self.config.sessions == "roaming" and not state.sent_token
            # without known marks, the read must see every commit before its arrival
            request.must_see_all = may_have_written_elsewhere or (
                self.marks_evicted and bool(state.name) and not marks
            )
        # `submit` may call `done` before it returns the id, so the entry is registered under the next id first
        request_id = self.core.last_request_id + 1
        entry.request = request_id
        self.entries_by_request[request_id] = state, entry
        submitted_id = self.core.submit(request)
        assert submitted_id == request_id

    def _merge_mark(self, marks: dict[int, SessionMark], group: int, seen: SessionMark) -> None:
        """Adds what was seen in a group to the marks."""
        current = marks.get(group)
        marks[group] = (
            seen if current is None else self._histories[group].merge_marks(current, seen, self.core.now)
        )

    def _session_marks(self, state: ClientConnection) -> dict[int, SessionMark]:
        """The session's marks by group: the connection's own, or those shared under the name that the client set."""
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

    def _reply(self, state: ClientConnection, entry: PipelineEntry, value: object) -> None:
        """Sets the reply of a command that the router answers itself."""
        entry.answer = encode(value, state.proto)

    def _answer_locally(
        self, state: ClientConnection, entry: PipelineEntry, name: bytes, args: list[bytes]
    ) -> None:
        """Runs a command that concerns the connection or the router only."""
        match name:
            case b"PING":
                if len(args) > 2:
                    return self._reply(
                        state, entry, Error("ERR wrong number of arguments for 'ping' command")
                    )
                self._reply(state, entry, args[1] if len(args) > 1 else Simple("PONG"))
            case b"ECHO":
                self._reply(state, entry, args[1])
            case b"QUIT":
                self._reply(state, entry, OK)
                state.closing = True
            case b"SELECT":
                self._reply(state, entry, OK if args[1] == b"0" else Error("ERR DB index is out of range"))
            case b"AUTH":
                user = args[1].decode("utf-8", "replace") if len(args) > 2 else "default"
                self._reply(state, entry, self._login(state, user, args[-1]) or OK)
            case b"HELLO":
                self._hello(state, entry, args)
            case b"RESET":
                state.transaction = None
                state.transaction_failed = False
                state.proto = 2
                state.name = ""
                state.marks = {}
                state.user = None
                state.sent_token = False
                self._reply(state, entry, Simple("RESET"))
            case b"CLIENT":
                self._client_command(state, entry, args)
            case b"COMMAND":
                self._command_command(state, entry, args)
            case b"INFO":
                entry.answer = encode(self._info_text(args[1:]), state.proto)
            case b"ROLE":
                self._reply(state, entry, ["master", 0, []])
            case b"WAIT":
                self._wait_for_replicas(state, entry, args)
            case b"MULTI":
                if state.transaction is not None:
                    return self._reply(state, entry, Error("ERR MULTI calls can not be nested"))
                state.transaction = []
                state.transaction_failed = False
                self._reply(state, entry, OK)
            case b"DISCARD":
                transaction = state.transaction
                state.transaction = None
                self._reply(
                    state, entry, OK if transaction is not None else Error("ERR DISCARD without MULTI")
                )
            case b"EXEC":
                self._exec(state, entry)
            case b"BANKLIFT.TOKEN":
                entry.deferred = lambda: self._token_text(state)
            case b"BANKLIFT.SEEN":
                self._restore_marks(state, entry, args[1])

    def _login(self, state: ClientConnection, user: str, password: bytes) -> Error | None:
        """Logs a client in; returns the error if user and password don't match."""
        if not self.passwords:
            return Error(
                "ERR AUTH <password> called without any password configured for the default user. "
                "Are you sure your configuration is correct?"
            )
        if self.passwords.get(user, "").encode() != password or user not in self.passwords:
            return Error("WRONGPASS invalid username-password pair or user is disabled.")
        state.user = user
        return None

    def _hello(self, state: ClientConnection, entry: PipelineEntry, args: list[bytes]) -> None:
        """HELLO: sets the protocol version, and logs in and names the client if asked to."""
        proto = state.proto
        rest = args[1:]
        if rest:
            if rest[0] not in (b"2", b"3"):
                return self._reply(state, entry, Error("NOPROTO unsupported protocol version"))
            proto = int(rest[0])
            rest = rest[1:]
        name = None
        while rest:
            option = rest[0].upper()
            if option == b"AUTH" and len(rest) >= 3:
                if (error := self._login(state, rest[1].decode("utf-8", "replace"), rest[2])) is not None:
                    return self._reply(state, entry, error)
                rest = rest[3:]
            elif option == b"SETNAME" and len(rest) >= 2:
                name = rest[1]
                rest = rest[2:]
            else:
                return self._reply(state, entry, Error("ERR Syntax error in HELLO"))
        if self.passwords and state.user is None:
            return self._reply(
                state,
                entry,
                Error(
                    "NOAUTH HELLO must be called with the client already authenticated, otherwise the "
                    "HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select "
                    "the RESP protocol version at the same time"
                ),
            )
        if name is not None and (error := self._set_client_name(state, name)) is not None:
            return self._reply(state, entry, error)
        state.proto = proto
        self._reply(
            state,
            entry,
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

    def _set_client_name(self, state: ClientConnection, name: bytes) -> Error | None:
        """Makes the connection part of the user's session of that name; returns the error if the name is invalid."""
        if any(byte < 33 or byte > 126 for byte in name):
            return Error("ERR Client names cannot contain spaces, newlines or special characters.")
        old_marks = self._session_marks(state)
        state.name = name.decode()
        new_marks = self._session_marks(state)
        if new_marks is not old_marks:  # the named session has seen what this connection saw before
            for group, seen in old_marks.items():
                self._merge_mark(new_marks, group, seen)
        return None

    def _client_command(self, state: ClientConnection, entry: PipelineEntry, args: list[bytes]) -> None:
        """CLIENT and its subcommands."""
        subcommand = args[1].upper()
        if subcommand == b"ID":
            self._reply(state, entry, state.id)
        elif subcommand == b"GETNAME":
            self._reply(state, entry, state.name or None)
        elif subcommand == b"SETNAME" and len(args) == 3:
            self._reply(state, entry, self._set_client_name(state, args[2]) or OK)
        elif subcommand in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            self._reply(state, entry, OK)
        elif subcommand == b"INFO":
            self._reply(
                state,
                entry,
                f"id={state.id} name={state.name} resp={state.proto} user={state.user or 'default'}\n",
            )
        else:
            self._reply(
                state, entry, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'")
            )

    def _command_command(self, state: ClientConnection, entry: PipelineEntry, args: list[bytes]) -> None:
        """COMMAND and its subcommands: describes the commands that the router supports."""
        subcommand = args[1].upper() if len(args) > 1 else b"INFO"
        supported = {name: spec for name, spec in COMMANDS.items() if spec.kind is not CommandKind.DEDICATED}
        if subcommand == b"COUNT":
            return self._reply(state, entry, len(supported))
        if subcommand == b"LIST":
            return self._reply(state, entry, [name.lower() for name in supported])
        if subcommand == b"GETKEYS" and len(args) > 2:
            spec = find_command(args[2])
            try:
                keys = spec.keys(args[2:]) if spec is not None else []
            except (ValueError, IndexError):
                keys = []
            return self._reply(state, entry, keys or Error("ERR The command has no key arguments"))
        if subcommand == b"DOCS":
            names = [name.upper() for name in args[2:]] or list(supported)
            return self._reply(
                state,
                entry,
                {
                    name.lower().decode(): {"summary": "carried by banklift"}
                    for name in names
                    if name in supported
                },
            )
        if subcommand == b"INFO":
            names = [name.upper() for name in args[2:]] or list(supported)
            return self._reply(
                state,
                entry,
                [_command_info(supported[name]) if name in supported else None for name in names],
            )
        self._reply(
            state, entry, Error(f"ERR unknown subcommand '{args[1][:128].decode('utf-8', 'replace')}'")
        )

    def _info_text(self, sections: list[bytes]) -> str:
        """The text of INFO, with the wanted sections or all."""
        wanted = {section.lower() for section in sections} or {b"default"}
        parts = {
            b"server": f"# Server\r\nredis_version:{REDIS_VERSION}\r\nredis_mode:standalone\r\n"
            f"banklift_router:{self.config.name}\r\n",
            b"clients": f"# Clients\r\nconnected_clients:{len(self.clients)}\r\n",
            b"replication": "# Replication\r\nrole:master\r\nconnected_slaves:0\r\n",
        }
        wants_all = wanted & {b"default", b"all", b"everything"}
        return "\r\n".join(text for name, text in parts.items() if wants_all or name in wanted)

    def _exec(self, state: ClientConnection, entry: PipelineEntry) -> None:
        """EXEC: submits the queued commands as one request, of the strictest class among theirs."""
        queued = state.transaction
        state.transaction = None
        if queued is None:
            return self._reply(state, entry, Error("ERR EXEC without MULTI"))
        if state.transaction_failed:
            state.transaction_failed = False
            return self._reply(
                state, entry, Error("EXECABORT Transaction discarded because of previous errors.")
            )
        if not queued:
            return self._reply(state, entry, [])
        request_class = strictest_class(
            [
                self.routes.request_class(
                    spec.name.encode(),
                    spec.keys(args),
                    spec.kind is CommandKind.WRITE,
                    state.user or "default",
                )
                for spec, args, _, _ in queued
            ]
        )
        writes = request_class.need is Need.WRITE
        commands = tuple(command(*args) for _, args, _, _ in queued)
        self._submit(state, entry, request_class, queued[0][3], Transaction(state.proto, commands, writes))

    # ---- marks of sessions

    def _token_text(self, state: ClientConnection) -> str:
        """The reply to BANKLIFT.TOKEN: the session's marks as text, joined by commas.

        A mark is `group=history:offset`, or `group=?` if its history isn't known. Without marks the text is `-`.
        """
        return (
            ",".join(
                f"{self.group_names[group]}=" + (f"{seen.replid}:{seen.offset}" if seen.replid else "?")
                for group, mark in sorted(self._session_marks(state).items(), key=lambda pair: pair[0])
                for seen in mark.parts()
            )
            or "-"
        )

    def _restore_marks(self, state: ClientConnection, entry: PipelineEntry, token: bytes) -> None:
        """BANKLIFT.SEEN: adds the marks of a token, which another router gave, to the session's."""
        marks: dict[int, SessionMark] = {}
        try:
            for part in token.decode().split(",") if token != b"-" else []:
                name, _, position = part.partition("=")
                replid, _, offset = position.partition(":")
                group = self.group_names.index(name)
                seen = (
                    SessionMark(self.core.now)
                    if position == "?"
                    else SessionMark(self.core.now, replid, int(offset))
                )
                self._merge_mark(marks, group, seen)
        except ValueError:
            return self._reply(state, entry, Error("ERR not a token of BANKLIFT.TOKEN"))
        state.sent_token = True
        for group, mark in marks.items():
            unknown_histories = [
                self._histories[group].note_history(seen.replid, self.core.now)
                for seen in mark.parts()
                if seen.replid
            ]
            if any(unknown_histories):
                # a primary that this router has not heard of may have begun a new history
                self.core.probe_group(group)
        session_marks = self._session_marks(state)
        for group, seen in marks.items():
            self._merge_mark(session_marks, group, seen)
        self._reply(state, entry, OK)

    def _wait_for_replicas(self, state: ClientConnection, entry: PipelineEntry, args: list[bytes]) -> None:
        """WAIT: replies with how many replicas have the session's writes.

        The reply comes once the wanted number has them or the timeout is over. The timeout is in milliseconds; 0 means
        none.
        """
        try:
            wanted = int(args[1])
            timeout = int(args[2]) / 1000
        except ValueError:
            return self._reply(state, entry, Error("ERR value is not an integer or out of range"))
        if timeout < 0:
            return self._reply(state, entry, Error("ERR timeout is negative"))
        deadline = self.core.now + timeout if timeout else math.inf

        def count_or_poll() -> object:
            """The count that WAIT replies with, or `NOT_READY` after arranging another poll."""
            counts = []
            for group, seen in self._session_marks(state).items():
                history = self._histories[group]
                counts.append(
                    sum(
                        name != history.primary_member and history.member_covers(name, seen)
                        for name in history.last_answers
                    )
                )
            count = min(counts, default=0)
            if count >= wanted or self.core.now >= deadline or not counts:
                return count
            for group in self._session_marks(state):
                self.core.probe_group(group)
            self.core.call_at(min(deadline, self.core.now + WAIT_POLL_SECONDS), lambda: self._flush(state))
            return NOT_READY

        entry.deferred = count_or_poll


def _command_info(spec: Command) -> list[object]:
    """A command in the form in which COMMAND INFO describes it."""
    flags = [
        Simple(
            "write"
            if spec.kind is CommandKind.WRITE
            else "readonly"
            if spec.kind is CommandKind.READ
            else "fast"
        )
    ]
    if spec.key_count_index:
        flags.append(Simple("movablekeys"))
    return [
        spec.name.lower(),
        -spec.min_args,
        flags,
        spec.first_key,
        spec.last_key if spec.first_key else 0,
        spec.key_step if spec.first_key else 0,
        [],
        [],
        [],
        [],
    ]
