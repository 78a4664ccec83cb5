"""PostgreSQL connections of clients: implements the protocol `Front` of proxy/wire.py.

A client sends a startup message, then simple queries. Each command is appended to the client's queue. A command that is
a request is submitted to the core at once, so requests of one client run concurrently; answers are sent in the order of
the commands. With `limits.pipeline` commands pending, no further one is begun until at most half of them are left.
After `COMMANDS_PER_TURN` commands a client takes turns with the other connections. While it awaits its turn it does not
count as idle.

A client whose commands are held back is read ahead, because its close can only be noticed once all input before it was
read, and no request may be begun for a client that has left. The budget of memory bounds what is read ahead; beyond
that the connection is not read, and a close behind more input than that goes unnoticed until the input is handled.

What clients make the router hold counts in the core's budget of memory (proxy/memory.py). While that is short, the
length of each command is looked at before the command is read:

- There is room for it: that is taken at once, for the whole command, and the command is read.
- There is none, and the client has commands open: it is read no further until some of them are answered.
- There is none, and the client has no command open: the command is discarded as it arrives, and refused.

An answer for which there is no room, as the client doesn't take the earlier ones or a command ahead is open, is
replaced by the answer that the request would have got without a result: a refusal where a repeat does no harm, else
SQLSTATE 40003.

Client faults are answered with an error and never reach a member:

- A bad statement leaves the connection usable, up to `MAX_BAD_STATEMENTS` of them; the last one closes the connection.
- After a framing fault nothing more can be read, so the error is FATAL and the connection is closed.

Connections are scarce, so slow and idle ones are closed:

- A client that doesn't finish its startup, its first query or any message within `READ_TIMEOUT_SECONDS` is closed.
- An idle client is closed after `idle_timeout` seconds, or `BUSY_IDLE_TIMEOUT_SECONDS` when many connections are in
  use.
- When a new client comes while all connections are in use, the client that has been idle longest is closed for it. If
  no client is idle, the new one is refused.

SQLSTATEs sent to clients:

| SQLSTATE | meaning |
| --- | --- |
| 53300 | refused; field D holds the milliseconds after which to retry, if the module gives a time |
| 40003 | the request may have run and must not be repeated; also for an id that came again (pg/request_ids.py) |
| 08P01, 42601, 22001, 22023, 42710, 0A000 | the client's fault |
| 57P05 | the client sent no query, or half a message, for `READ_TIMEOUT_SECONDS` |
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from banklift import interface as io
from banklift.interface import Effect, Need
from banklift.pg import frames
from banklift.pg.frames import ClientReader, FrameError
from banklift.pg.request_ids import Ending, IdState, RequestIds
from banklift.pg.statement import TEXT_LIMIT, BadStatement, Statement, parse
from banklift.pg.wire import Query
from banklift.proxy import events as ev
from banklift.proxy.log_limit import LineLimit
from banklift.proxy.machine import Machine
from banklift.proxy.memory import CONNECTION_BYTES, REQUEST_BYTES, Claim, Holding
from banklift.proxy.plan import Limits
from banklift.proxy.wire import COMMANDS_PER_TURN, ClientRequest, Failed, Final, Refused, Served

READ_TIMEOUT_SECONDS = 2.0  # time for a startup, for the first query and for the rest of a started message
# Share of the allowed clients from which on `BUSY_IDLE_TIMEOUT_SECONDS` replaces the usual idle timeout.
BUSY_CLIENTS_SHARE = 0.5
# A client that sent one query and stays connected takes a connection that others need.
BUSY_IDLE_TIMEOUT_SECONDS = 0.3
SWEEP_INTERVAL_SECONDS = 0.1  # time between checks for slow and idle clients
# A client that has started up but not sent a query is not closed to make room for another within this time.
FIRST_QUERY_GRACE_SECONDS = 1.0
# Clients still connect for this long after the shutdown notice; then idle connections are closed one by one.
DRAIN_CLOSE_DELAY_SECONDS = 0.4
# All idle connections are closed this long before the router ends.
DRAIN_CLOSE_LEAD_SECONDS = 1.0
LARGE_COMMAND_BYTES = 4 * 1024  # a longer command can't take the last part of the memory
MAX_BAD_STATEMENTS = 3  # the client's last bad statement closes its connection
MAX_DEADLINE_FACTOR = 10  # a longer `d` than this multiple of the deadline of its class is refused
MAX_COMMIT_AHEAD_SECONDS = 1.0  # how far the commit time in `after` may lie ahead of this router's clock
MAX_REPEAT_LINES = 5  # log lines per second about ids that came again
EXPIRY_INTERVAL_SECONDS = 1.0  # shortest time between two looks for ended ids whose time is over
STARTUP_ANSWER = (
    frames.AUTHENTICATION_OK
    + frames.parameter_status("server_version", "15.0 (banklift)")
    + frames.parameter_status("client_encoding", "UTF8")
    + frames.parameter_status("server_encoding", "UTF8")
    + frames.parameter_status("DateStyle", "ISO, MDY")
    + frames.parameter_status("integer_datetimes", "on")
    + frames.parameter_status("standard_conforming_strings", "on")
    + frames.READY_FOR_QUERY
)
SHORT_ANSWER_BYTES = 256  # an answer that takes no more memory than a refusal
OUTCOME_UNKNOWN = frames.error_response("40003", "failed: it may have run") + frames.READY_FOR_QUERY


@dataclass(slots=True, eq=False)
class PendingCommand:
    """One command in a client's queue. `answer` is None until it is known."""

    answer: bytes | None = None
    held_bytes: int = 0  # of a request's answer, as counted in the budget of memory
    request_id: int | None = None  # the core's id; None if the command is no request
    client_request_id: bytes = b""  # `id` in the statement's comment; empty if the command is no request


@dataclass(slots=True, eq=False)
class Client:
    """The state of one client's connection."""

    id: int
    reader: ClientReader
    waiting_since: float  # when it connected, was last answered, or began the message that it is sending
    queue: deque[PendingCommand] = field(default_factory=deque)
    has_queried: bool = False
    bad_statements: int = 0
    # what has come and was not handled, or has room already, as counted in the budget of memory
    input_bytes: int = 0
    reserved_bytes: int = 0  # length of an incomplete command that has its room already
    is_held_back: bool = False  # no further command is begun for now; input is read ahead
    paused: bool = False  # the connection is not read, as it is held back and there is no room, or is closing
    # there is no memory for the next command until one of the open ones is answered
    awaits_room: bool = False
    awaits_turn: bool = False  # buffered commands are handled after other connections have had their turn
    send_buffer_full: bool = False  # the client doesn't read its answers; no new command is begun
    closing: bool = False  # nothing more is read; the connection is closed once the queue is empty
    discards_input: bool = False  # after a fatal protocol fault: whatever else it sends is ignored


class PgFront:
    """Serves all PostgreSQL clients of one router.

    `core` takes the requests and calls the methods under "events of the core"; proxy/wire.py describes them.
    `settings` has the classes and tenants that statements may name, `limits` the highest number of clients and of one
    client's pending commands. `idle_timeout` is in seconds.
    """

    def __init__(self, core: Machine, settings: io.Settings, limits: Limits, idle_timeout: float) -> None:
        self.core = core
        self.limits = limits
        self.idle_timeout = idle_timeout
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}
        self.client_tokens = settings.client_tokens
        self.clients: dict[int, Client] = {}
        # clients without pending commands, longest idle first
        self.idle_clients: OrderedDict[int, Client] = OrderedDict()
        self.pending: dict[int, tuple[Client, PendingCommand]] = {}  # by the core's request id
        self.request_ids = RequestIds(core.memory, self.clients.__contains__)
        self.repeat_lines = LineLimit(MAX_REPEAT_LINES)
        self.expiry_scheduled = False  # a timer for `_expire_ids` is set
        self.leaving = False
        self.sweep_scheduled = False
        self.drain_close_from = math.inf  # time; from then on idle connections are closed one by one

    # ---- events of the core

    def opened(self, client_id: int) -> None:
        """A client connected. At the limit an idle client is closed for it, or the new client gets SQLSTATE 53300."""
        if len(self.clients) >= self.limits.clients and (evicted := self._find_evictable()) is not None:
            self._close(evicted)
        if len(self.clients) >= self.limits.clients or not self.core.memory.has_room(CONNECTION_BYTES):
            answer = frames.error_response("53300", "too many connections", severity="FATAL")
            self.core.actions.append(ev.SendToClient(client_id, answer))
            self.core.actions.append(ev.CloseClient(client_id))
            return
        client = Client(client_id, ClientReader(TEXT_LIMIT), self.core.now)
        self.core.memory.take(Holding.CONNECTIONS, CONNECTION_BYTES)
        self.clients[client_id] = self.idle_clients[client_id] = client
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.core.call_at(self.core.now + SWEEP_INTERVAL_SECONDS, self._sweep)

    def _find_evictable(self) -> Client | None:
        """The client that has been idle longest, of those that may be closed to make room for another.

        A client that has sent a query connects again by itself. A client that has only started up may be writing its
        first query, which would be lost, so it stays for `FIRST_QUERY_GRACE_SECONDS`. Clients that sent no byte are
        closed at once: they must not keep others out.
        """
        for client in self.idle_clients.values():
            if (
                client.has_queried
                or not (client.reader.started or len(client.reader))
                or client.waiting_since + FIRST_QUERY_GRACE_SECONDS <= self.core.now
            ):
                return client
        return None

    def data(self, client_id: int, data: bytes) -> None:
        """Bytes came from a client; they are ignored once its connection is closing."""
        client = self.clients.get(client_id)
        if client is not None and not client.closing:
            if client.reader.is_between_messages and not client.queue:
                client.waiting_since = self.core.now
            client.reader.feed(data)
            if client.is_held_back:
                self._count_input(client)
                self._read_ahead(client)
            else:
                self._read_commands(client)

    def take_turn(self, client_id: int) -> None:
        """Handle more of the client's buffered commands."""
        client = self.clients.get(client_id)
        if client is not None:
            self._read_commands(client)

    def eof(self, client_id: int) -> None:
        """A client that ends its sending is taken as gone: it is closed and its requests are abandoned."""
        client = self.clients.get(client_id)
        if client is not None:
            self._close(client)

    def half_closed(self, client_id: int) -> None:
        """As `eof`. Earlier messages may be unread because the client is paused, but none of them has been begun."""
        self.eof(client_id)

    def lost(self, client_id: int) -> None:
        """A client's connection broke: its requests are abandoned."""
        client = self.clients.pop(client_id, None)
        if client is not None:
            self._abandon_commands(client)

    def set_output_full(self, client_id: int, is_full: bool) -> None:
        """The buffer of answers to a client became full, or free again: no new command is begun in between."""
        client = self.clients.get(client_id)
        if client is not None:
            client.send_buffer_full = is_full
            if is_full:
                self._hold_back(client)
            else:
                self._flush(client)

    def done(self, request: ClientRequest, final: Final) -> None:
        """A request ended. Its answer is sent once all earlier commands of its client are answered."""
        found = self.pending.pop(request.ids[0], None) if request.ids else None
        if found is None:
            return
        client, command = found
        match final:
            case Served(answer) if self._has_room_for_answer(client, command, len(answer)):
                command.answer = answer + frames.READY_FOR_QUERY
            case Served():
                is_safe = request.request_class.effect is Effect.SAFE
                command.answer = (
                    refusal(self.core.balancer.settings.max_retry_after) if is_safe else OUTCOME_UNKNOWN
                )
            case Refused(retry_after):
                command.answer = refusal(retry_after)
            case Failed():
                command.answer = OUTCOME_UNKNOWN
        if command.answer is OUTCOME_UNKNOWN:
            self._end_id(request, Ending.MAY_HAVE_RUN)
        else:  # a refused client is told that a repeat does no harm
            self._end_id(request, Ending.SERVED if isinstance(final, Served) else Ending.NOTHING_RAN)
        command.held_bytes = len(command.answer)
        self.core.memory.take(Holding.ANSWERS, command.held_bytes)
        self._flush(client)

    def settled(self, request: ClientRequest, may_have_run: bool) -> None:
        """The last attempt of a request has ended whose client is gone: its id is spent, or may be used again."""
        self._end_id(request, Ending.MAY_HAVE_RUN if may_have_run else Ending.NOTHING_RAN)

    def adopt(self, plan: object) -> None:
        """Never called: on this platform the plan never changes. Errors: `AssertionError`."""
        raise AssertionError("the platform has no policies")

    def drain(self) -> None:
        """This router ends at `core.drain_deadline` (seconds): close idle connections one after another until then.

        Their clients then don't all connect to the other routers at once, and don't send a query here when there is no
        time left to answer it.
        """
        self.drain_close_from = self.core.now + DRAIN_CLOSE_DELAY_SECONDS

    def leave(self) -> None:
        """Close idle connections now, and each other connection as soon as it has no pending command."""
        self.leaving = True
        for client in list(self.idle_clients.values()):
            self._close(client)

    # ---- the queue of pending commands

    def _read_commands(self, client: Client) -> None:
        """Handle the buffered messages of one turn, up to the limit of pending commands, then send the due answers.

        `awaits_turn` keeps its value meanwhile, so that answers which are known at once don't begin another turn.
        """
        commands_left, awaits_turn = COMMANDS_PER_TURN, False
        client.awaits_room = client.is_held_back = False
        try:
            while not client.closing:
                if len(client.queue) >= self.limits.pipeline:
                    self._send_answers(client)  # may free places in the queue
                if len(client.queue) >= self.limits.pipeline or client.send_buffer_full:
                    client.is_held_back = True
                    break
                if not commands_left and len(client.reader):
                    awaits_turn = True
                    break
                if self.core.memory.is_short and not self._make_room_for_next(client):
                    client.awaits_room = client.is_held_back = True
                    break
                message = client.reader.next()
                if message is None:
                    break
                commands_left -= 1
                client.reserved_bytes = 0
                self._count_input(client)  # as the request counts what it holds itself
                self._handle_message(client, *message)
        except FrameError as error:
            self._fail_connection(client, "08P01", str(error))
        client.awaits_turn = awaits_turn
        client.reader.compact()
        self._count_input(client)
        if awaits_turn:
            client.is_held_back = True
            self.core.defer(client.id)
        if client.is_held_back:
            self._read_ahead(client)
        elif not client.closing:
            self._resume(client)
        self._flush(client)

    def _make_room_for_next(self, client: Client) -> bool:
        """Decide on the command that begins in the client's buffer. False: it has to wait.

        True: it may be read on, as there is room for it, or as it is discarded.
        """
        size = client.reader.next_size
        if not size or client.reserved_bytes:
            return True
        self._send_answers(client)  # may free places in the queue
        claim = Claim.FURTHER if client.queue else Claim.LARGE if size > LARGE_COMMAND_BYTES else Claim.ANY
        # a part of it counts as input already
        if self.core.memory.has_room(max(0, size - client.input_bytes) + REQUEST_BYTES, claim):
            client.reserved_bytes = size
        elif client.queue:
            return False
        else:
            client.reader.discard_next()
        self._count_input(client)
        return True

    def _count_input(self, client: Client) -> None:
        """Count what has come from the client and was not handled, and the room that its next command has."""
        reader = client.reader
        size = 0 if client.closing else max(len(reader), client.reserved_bytes)
        if size != client.input_bytes:
            self.core.memory.take(Holding.CLIENT_INPUT, size - client.input_bytes)
            client.input_bytes = size

    def _has_room_for_answer(self, client: Client, command: PendingCommand, size: int) -> bool:
        """Whether an answer of `size` bytes may be held until the client has taken it."""
        memory = self.core.memory
        if not memory.is_short or size <= SHORT_ANSWER_BYTES:
            return True
        is_late = client.send_buffer_full or client.queue[0] is not command
        return memory.has_room(size, Claim.FURTHER if is_late else Claim.ANY)

    def _hold_back(self, client: Client) -> None:
        """Begin no further command of the client until `_flush` finds that it may go on."""
        client.is_held_back = True
        self._read_ahead(client)

    def _read_ahead(self, client: Client) -> None:
        """Read the connection of a client that is held back as far as there is room, to notice its close.

        One that does not read its answers is not read either: nothing is begun for it before it has read them.
        """
        if not client.send_buffer_full and len(client.reader) < self.core.memory.read_ahead_bytes:
            self._resume(client)
        else:
            self._pause(client)

    def _pause(self, client: Client) -> None:
        """Stop reading the client's connection."""
        if not client.paused:
            client.paused = True
            self.core.actions.append(ev.PauseClient(client.id))

    def _resume(self, client: Client) -> None:
        """Read the client's connection again."""
        if client.paused:
            client.paused = False
            self.core.actions.append(ev.ResumeClient(client.id))

    def _fail_connection(self, client: Client, code: str, text: str) -> None:
        """Queue a FATAL error with this SQLSTATE, after which the connection is closed and no input is parsed."""
        client.queue.append(PendingCommand(frames.error_response(code, text, severity="FATAL")))
        client.closing = client.discards_input = True
        client.reader.clear()
        self._pause(client)

    def _send_answers(self, client: Client) -> None:
        """Send the answers at the front of the queue, and update `idle_clients`."""
        queue, answers = client.queue, []
        while queue and (answer := queue[0].answer) is not None:
            answers.append(answer)
            self.core.memory.give_back(Holding.ANSWERS, queue.popleft().held_bytes)
        if answers:
            client.awaits_room = False
            self.core.actions.append(
                ev.SendToClient(client.id, answers[0] if len(answers) == 1 else b"".join(answers))
            )
            client.waiting_since = self.core.now
        if queue or client.awaits_turn:
            self.idle_clients.pop(client.id, None)
        elif answers or client.id not in self.idle_clients:
            self.idle_clients[client.id] = client
            self.idle_clients.move_to_end(client.id)

    def _flush(self, client: Client) -> None:
        """Send the answers that are due; then close the connection, or read on if enough commands are answered."""
        if client.id not in self.clients:
            return
        self._send_answers(client)
        if client.closing:
            if not client.queue:
                self._close(client)
            return
        if (
            (
                self.leaving
                or (
                    client.has_queried
                    and self.core.now >= self.core.drain_deadline - DRAIN_CLOSE_LEAD_SECONDS
                )
            )
            and not client.queue
            and client.reader.is_between_messages
        ):
            self._close(client)
        elif (
            client.is_held_back
            and not client.awaits_turn
            and not client.awaits_room
            and not client.send_buffer_full
            and len(client.queue) <= self.limits.pipeline // 2
        ):
            self._read_commands(client)

    def _close(self, client: Client) -> None:
        """Abandon the client's requests and close its connection, unless it is gone already."""
        if self.clients.pop(client.id, None) is not None:
            self._abandon_commands(client)
            self.core.actions.append(ev.CloseClient(client.id, client.discards_input))

    def _abandon_commands(self, client: Client) -> None:
        """Remove every trace of a client that is gone, and abandon its requests in the core."""
        client.closing = True
        self._count_input(client)
        self.core.memory.give_back(Holding.CONNECTIONS, CONNECTION_BYTES)
        self.idle_clients.pop(client.id, None)
        for command in client.queue:
            self.core.memory.give_back(Holding.ANSWERS, command.held_bytes)
            if command.request_id is not None and self.pending.pop(command.request_id, None) is not None:
                self.request_ids.leave(command.client_request_id)
                self.core.abandon(command.request_id)
        client.queue.clear()

    def _sweep(self) -> None:
        """Close slow clients and clients that have been idle for too long; repeated while there are clients."""
        now = self.core.now
        timeout = (
            self.idle_timeout
            if len(self.clients) < BUSY_CLIENTS_SHARE * self.limits.clients
            else BUSY_IDLE_TIMEOUT_SECONDS
        )
        if self.core.drain_deadline < math.inf:
            timeout = math.inf  # on shutdown idle connections are closed from `drain_close_from` on instead
        if now >= self.drain_close_from:
            idle = [
                client
                for client in self.idle_clients.values()
                if client.has_queried and client.reader.is_between_messages
            ]
            # Spread the closing over the sweeps that remain; clients that have been idle longest come first.
            share = SWEEP_INTERVAL_SECONDS / max(
                SWEEP_INTERVAL_SECONDS, self.core.drain_deadline - DRAIN_CLOSE_LEAD_SECONDS - now
            )
            for client in idle[: math.ceil(share * len(idle))]:
                self._close(client)
        for client in list(self.idle_clients.values()):
            waited = now - client.waiting_since
            if not client.reader.is_between_messages or not client.has_queried:
                if waited >= READ_TIMEOUT_SECONDS:
                    if client.reader.started:
                        self.core.actions.append(
                            ev.SendToClient(
                                client.id,
                                frames.error_response(
                                    "57P05",
                                    "nothing asked, or half a message, for too long",
                                    severity="FATAL",
                                ),
                            )
                        )
                    self._close(client)
            elif waited >= timeout:
                self._close(client)
        self.sweep_scheduled = bool(self.clients)
        if self.sweep_scheduled:
            self.core.call_at(now + SWEEP_INTERVAL_SECONDS, self._sweep)

    # ---- ids of requests

    def _end_id(self, request: ClientRequest, ending: Ending) -> None:
        """A request has ended; its id is kept from running again if it may have run."""
        self.request_ids.end(request.label, ending, request.client, self.core.now)
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        """Set the timer that forgets ended ids, if there are any and it is not set."""
        next_expiry = self.request_ids.next_expiry
        if next_expiry is not None and not self.expiry_scheduled:
            self.expiry_scheduled = True
            self.core.call_at(max(next_expiry, self.core.now + EXPIRY_INTERVAL_SECONDS), self._expire_ids)

    def _expire_ids(self) -> None:
        """Forget the ended ids whose time is over, and log how many spent ones were forgotten before that."""
        self.expiry_scheduled = False
        self.request_ids.expire(self.core.now)
        if forgotten := self.request_ids.take_forgotten_early():
            self.core.log("request ids forgotten early", count=forgotten)
        self._schedule_expiry()

    def _answer_to_repeat(self, request_id: bytes) -> bytes | None:
        """The answer to a request whose id was used before and must not run again; None if it may run."""
        state = self.request_ids.state(request_id)
        if state is IdState.UNKNOWN:
            return None
        if self.repeat_lines.allows(self.core.now):
            self.core.log("request id again", id=request_id.decode("latin-1"), state=state.name.lower())
        if state is IdState.LEFT_SAFE:
            return refusal(self.core.balancer.settings.max_retry_after)
        return OUTCOME_UNKNOWN

    # ---- messages

    def _handle_message(self, client: Client, message_type: bytes, body: bytes) -> None:
        if message_type == b"Q":
            self._handle_query(client, body)
        elif message_type == b"":
            self._handle_startup(client, body)
        elif message_type == b"X":
            self._close(client)
        elif message_type == frames.DISCARDED and body == b"Q":
            client.has_queried = True
            client.queue.append(PendingCommand(refusal(self.core.balancer.settings.max_retry_after)))
        else:
            self._fail_connection(client, "0A000", "simple queries only")

    def _handle_startup(self, client: Client, body: bytes) -> None:
        """Answer a startup message, refuse encryption, or close the connection of a cancel request."""
        version = int.from_bytes(body[:4], "big")
        if version in (frames.SSL_REQUEST, frames.GSSENC_REQUEST):
            client.queue.append(PendingCommand(b"N"))
        elif version == frames.CANCEL_REQUEST:
            self._close(client)
        elif version >> 16 != 3:
            self._fail_connection(
                client, "0A000", f"unsupported frontend protocol {version >> 16}.{version & 0xFFFF}"
            )
        elif body[-1:] != b"\0" or b"user\0" not in body:
            self._fail_connection(client, "08P01", "a startup packet that can't be read")
        else:
            client.reader.started = True
            client.queue.append(PendingCommand(STARTUP_ANSWER))

    def _handle_query(self, client: Client, body: bytes) -> None:
        """Queue a query, and submit it to the core if it is a good statement for a known group."""
        client.has_queried = True
        if body[-1:] != b"\0" or body.find(b"\0") != len(body) - 1:
            return self._fail_connection(client, "08P01", "a query that is not one text")
        text = body[:-1]
        if not text.strip(b" \t\r\n;"):
            client.queue.append(PendingCommand(frames.EMPTY_QUERY_RESPONSE + frames.READY_FOR_QUERY))
            return
        try:
            statement = parse(text)
            request_class = self._validated_class(statement)
        except BadStatement as error:
            client.bad_statements += 1
            if client.bad_statements >= MAX_BAD_STATEMENTS:
                return self._fail_connection(client, error.code, str(error))
            client.queue.append(
                PendingCommand(frames.error_response(error.code, str(error)) + frames.READY_FOR_QUERY)
            )
            return
        core = self.core
        if (
            statement.group not in core.balancer.groups
        ):  # the roster may name it later, so the client may retry
            client.queue.append(PendingCommand(refusal(core.balancer.settings.max_retry_after)))
            return
        if (repeat_answer := self._answer_to_repeat(statement.id)) is not None:
            client.queue.append(PendingCommand(repeat_answer))
            return
        command = PendingCommand(client_request_id=statement.id)
        client.queue.append(command)
        self.idle_clients.pop(client.id, None)
        self.request_ids.begin(statement.id, request_class.effect)
        arrived = core.now if core.input_sent_at is None else core.input_sent_at
        seconds_since_write = None if statement.after_ms is None else core.now - statement.after_ms / 1000
        # Without client tokens, the statements of one key form a session.
        session = (
            None
            if self.client_tokens or request_class.need not in (Need.SESSION, Need.WRITE)
            else int.from_bytes(statement.key)
        )
        request = ClientRequest(
            client.id,
            request_class,
            statement.group,
            Query(statement),
            tenant=statement.tenant,
            arrived=arrived,
            deadline=arrived + statement.client_timeout_ms / 1000 - self.limits.margin,
            seconds_since_write=seconds_since_write,
            session=session,
            is_retry=statement.is_retry,
            label=statement.id,
            size=len(text),
        )
        # `submit` returns the id, but may call `done` before that: the next id is needed in advance.
        command.request_id = core.last_request_id + 1
        self.pending[command.request_id] = client, command
        submitted_id = core.submit(request)
        assert submitted_id == command.request_id

    def _validated_class(self, statement: Statement) -> io.RequestClass:
        """Check a statement against the settings, the clock and the pending requests, and return its class.

        Errors: `BadStatement`.
        """
        request_class = self.classes.get(statement.class_name)
        if request_class is None:
            raise BadStatement("22023", f"unknown class {statement.class_name!r}")
        if statement.writes is not (request_class.need is Need.WRITE):
            raise BadStatement(
                "22023", f"class {request_class.name!r} does not {'write' if statement.writes else 'read'}"
            )
        if self.tenants and statement.tenant not in self.tenants:
            reason = (
                "the comment lacks t" if statement.tenant is None else f"unknown tenant {statement.tenant!r}"
            )
            raise BadStatement("22023", reason)
        if statement.client_timeout_ms > MAX_DEADLINE_FACTOR * request_class.deadline * 1000:
            raise BadStatement("22023", f"d={statement.client_timeout_ms} is longer than anybody waits")
        if (
            statement.after_ms is not None
            and statement.after_ms / 1000 > self.core.now + MAX_COMMIT_AHEAD_SECONDS
        ):
            raise BadStatement("22023", f"after={statement.after_ms} is ahead of the clock")
        if self.request_ids.state(statement.id) is IdState.OPEN:
            raise BadStatement("42710", "the id of a request that is open")
        return request_class


def refusal(retry_after: float) -> bytes:
    """The answer to a refused request. `retry_after`: seconds until the client may retry; 0 leaves the time out."""
    return (
        frames.error_response(
            "53300",
            "refused: nothing ran, or a repeat does no harm",
            str(math.ceil(retry_after * 1000)) if retry_after > 0 else "",
        )
        + frames.READY_FOR_QUERY
    )
