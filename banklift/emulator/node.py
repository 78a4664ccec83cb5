"""An emulated Redis-like member: data, a replication log, replication by PSYNC and faults, without I/O.

`RespMember` is a state machine. Its owner (`MemberHost` in shell.py) passes in events (a connection opened, bytes
arrived, a timer is due) with the current time in seconds, and carries out the actions that each call returns.

Commands. The commands of one connection run in order; all connections together share `cores`. A command that reads or
writes data occupies a core for some time (its work: seconds at full speed). ROLE, INFO and the other control commands
are answered from memory and occupy no core, but wait for the commands before them on the same connection.

Replication. The log is the replication stream itself: each write is appended as a command in RESP, and the replication
offset counts the bytes of the log. A replica connects to its primary and sends `PSYNC` with its replication ID and its
offset. The primary answers with the missing part of the log if the backlog still holds it, else with a copy of all
data, and streams its log from then on. The replica applies the stream on one thread and reports what it has applied
with `REPLCONF ACK`. A promoted replica starts a new history: it draws a new replication ID and keeps the old one,
with the offset at which the two histories part.

Faults are set from outside, in `Faults`: a hang, in which requests get no answer but may still be executed; slowness
for all clients or for some source addresses; a limit of connections; requests whose connection is closed; slow
replication; reports that understate the load.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.emulator.store import SCRIPT_COMMANDS, Store
from banklift.resp.commands import CommandKind, find_command
from banklift.resp.frames import CommandReader, Error, ProtocolError, Scanner, Simple, command, encode

BACKLOG_BYTES = 1024 * 1024  # the part of the log that is kept for partial resynchronisation
ACK_INTERVAL_SECONDS = 0.1  # between two acknowledgements of a replica
RECONNECT_DELAY_SECONDS = 0.1  # from the loss of the connection to the primary to the next attempt
MAX_REQUEST_BYTES = 256 * 1024 * 1024  # one command of a client
MAX_STREAM_COMMAND_BYTES = 1 << 30  # one command or transaction of the replication stream
MIN_WORK_FACTOR = 0.7  # a command's work varies at random between these factors
MAX_WORK_FACTOR = 1.3
CUT_EXECUTE_PROBABILITY = (
    0.5  # that a command is executed although its connection is closed (`Faults.cut_share`)
)
NO_REPLICATION_ID = "0" * 40
UPSTREAM_ID = 0  # number of a replica's connection to its primary; accepted connections have higher numbers
OK = Simple("OK")
READONLY = Error("READONLY You can't write against a read only replica.")
MULTI = command("MULTI")
EXEC = command("EXEC")


@dataclass(slots=True)
class Faults:
    """The faults of a member. They may be set at any time and hold from then on.

    `RespMember.end_hang` ends `hang`, and `RespMember.release_withheld_log` ends `withhold_log`. A factor multiplies
    the usual value; a share is a probability from 0 to 1.
    """

    hang: bool = (
        False  # requests get no answer, except ROLE and INFO, and the stream of the primary is not applied
    )
    hang_role_queries: bool = False  # ROLE and INFO get no answer either during a hang
    hang_execute_share: float = 0.5  # share of the unanswered requests that are executed all the same
    work_factor: float = 1.0  # factor on the work of each command
    work_factor_by_source: dict[str, float] = field(
        default_factory=dict
    )  # as `work_factor`, by source address
    tail_work_factor: float = 1.0  # factor on the work of the commands drawn by `tail_share`
    tail_share: float = 0.0  # share of the commands that `tail_work_factor` slows down
    cut_share: float = 0.0  # share of the commands whose connection is closed instead of an answer
    apply_work_factor: float = 1.0  # factor on the work of applying a replicated write
    max_connections: int = 10_000  # connections accepted at the same time
    reported_load_factor: float = 1.0  # factor on the load that INFO reports
    setup_delay_seconds: float = 0.0  # seconds before the first command of a new connection runs
    withhold_log: bool = False  # the log is kept back from all replicas until `release_withheld_log`
    log_delay_seconds: float = 0.0  # seconds added before the log is sent to replicas


@dataclass(slots=True, eq=False)
class Connection:
    """An accepted connection, of a client or of a replica."""

    id: int
    source: str  # IP address of the other end
    reader: CommandReader
    opened_at: float
    queue: deque[list[bytes]] = field(default_factory=deque)  # commands that have not started
    busy: bool = False  # its next command waits for a core or runs on one
    protocol: int = 2  # RESP version
    transaction: list[list[bytes]] | None = None  # commands queued since MULTI; None: outside a transaction
    transaction_failed: bool = False  # a command was refused since MULTI, so EXEC will abort
    incoming_transaction: list[bytes] | None = None  # arguments received since MULTI, to be recorded at EXEC
    is_replica: bool = False  # gets the replication stream
    acked_offset: int = -1  # last REPLCONF ACK; -1: none yet
    listening_port: int = 0  # of the replica, from its REPLCONF listening-port
    name: str = ""
    ready_at: float = 0.0  # when its first command may run
    closed: bool = False
    log_due_at: float = 0.0  # when the last delayed part of the log goes out to this replica
    is_stuck: bool = False  # a command on it was left without an answer by a hang
    withheld: bytearray = field(default_factory=bytearray)  # part of the log kept back from this replica


@dataclass(frozen=True, slots=True)
class MemberAction:
    """What the member wants done, or what it did, for the record of a tap.

    To be carried out by the owner, on connection `connection_id`:
      send       send `data`
      close      close the connection; `data`: full (too many connections), or empty
      connect    connect to the primary at the address in `data`

    To be recorded only (a close is recorded too, with `data` "other end" if that end closed the connection):
      command    a command arrived (`args`), or a whole transaction, with the arguments of all its commands
      ran        a write was executed; `log` holds the commands that replicas apply
      answer     a command was answered with `data`; `refused`: it was refused and nothing was executed
      says       the member told its role (`args`: primary or replica)
      line       the log is now a history of its own, which continues the history `parent_history` from `offset` on;
                 `parent_offset_received`: the offset up to which the member had been sent the parent history

    `history` and `offset` hold the replication ID and the offset of the member's log at that moment. `source` is the
    address of the other end.
    """

    kind: str
    connection_id: int
    data: bytes = b""
    args: tuple[bytes, ...] = ()
    source: str = ""
    history: str = ""
    offset: int = 0
    log: tuple[tuple[bytes, ...], ...] = ()
    refused: bool = False
    parent_history: str = ""
    parent_offset_received: int = 0


class RespMember:
    """The state of one emulated member: a primary, until `follow` makes it a replica.

    `cores`: commands that run at the same time. `command_seconds`: work of one command. `apply_seconds`: work of
    applying one replicated write or transaction. `numbered_keys`: keys carry numbers of requests (see `Store`). All
    random draws come from `seed`.

    Times are seconds on the owner's clock.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        cores: int = 4,
        command_seconds: float = 0.001,
        apply_seconds: float = 0.0001,
        numbered_keys: bool = False,
    ) -> None:
        self.name = name
        self.random = Random(seed)
        self.cores = cores
        self.command_seconds = command_seconds
        self.apply_seconds = apply_seconds
        self.faults = Faults()
        self.store = Store(numbered_keys)
        self.replid = self._new_replication_id()
        self.replid2 = NO_REPLICATION_ID  # the history that `replid` continues, as after a promotion
        # Number of the first byte of the log that is not part of `replid2`; -1: there is no `replid2`.
        self.second_replid_offset = -1
        self.offset = 0  # bytes of the log
        self.backlog = bytearray()  # the end of the log, up to `offset`
        self.primary: str | None = None  # address of the primary; None: this member is a primary
        self.link_up = False  # a replica that gets the stream of its primary
        self.refuses_writes = False  # a primary that refuses writes during a hand-over
        self.connections: dict[int, Connection] = {}
        self.running = 0  # commands that occupy a core
        self.waiting_for_core: deque[Connection] = deque()
        self.now = 0.0
        self.timers: list[tuple[float, int, Callable[[], None]]] = []  # heap: time, number, callback
        self.timers_created = 0  # numbers the timers, so that those of one time run in order
        self.actions: list[MemberAction] = []
        self.stream_scanner: Scanner | None = None  # None: no connection to the primary
        self.handshake_stage = ""  # ping, port, psync, copy, and then stream
        self.handshake_buffer = bytearray()  # bytes of the primary that precede its stream
        self.full_resync = ("", 0)  # replication ID and offset of the full copy under way
        # Commands and whole transactions of the stream that are not applied yet.
        self.unapplied_stream: deque[bytes] = deque()
        self.partial_transaction: list[bytes] = []  # commands of the stream since a MULTI without its EXEC
        self.applying = False
        self.apply_held = 0  # long reads during which nothing is applied
        self.restarted_at: float | None = None  # None: it has been up from the beginning
        self.cold_share = 1.0
        self.warm_up_seconds = 0.0
        self.pushed: deque[tuple[float, float]] = deque()
        self.incarnation = 0  # counts kills; a timer of an earlier incarnation does nothing

    @property
    def data(self) -> dict[bytes, object]:
        """The values by key, including those whose expiry has passed and that nothing has deleted yet."""
        return self.store.data

    def _new_replication_id(self) -> str:
        return f"{self.random.getrandbits(160):040x}"

    # ---- events; each returns the actions that follow from it

    def connection_opened(self, now: float, number: int, source: str) -> list[MemberAction]:
        """Accept connection `number` from the address `source`, or close it if there are too many."""
        self._begin(now)
        if len(self.connections) >= self.faults.max_connections:
            self.actions += [
                MemberAction("send", number, b"-ERR max number of clients reached\r\n"),
                MemberAction("close", number, b"full"),
            ]
            return self.actions
        self.connections[number] = Connection(
            number,
            source,
            CommandReader(MAX_REQUEST_BYTES),
            now,
            ready_at=now + self.faults.setup_delay_seconds,
        )
        return self.actions

    def data_received(self, now: float, number: int, data: bytes) -> list[MemberAction]:
        """Handle bytes from connection `number`, or from the primary (`UPSTREAM_ID`).

        A connection whose bytes are not RESP gets an error and is closed.
        """
        self._begin(now)
        if number == UPSTREAM_ID:
            self._upstream_received(data)
            return self.actions
        connection = self.connections.get(number)
        if connection is None:
            return self.actions
        connection.reader.feed(data)
        try:
            while (args := connection.reader.next()) is not None:
                connection.queue.append(args)
                self._record_command(connection, args)
        except ProtocolError as error:
            self._send(connection, encode(Error(f"ERR Protocol error: {error}")))
            self._close(connection)
            return self.actions
        if connection.ready_at > now:
            self._schedule(connection.ready_at, lambda: self._run_queue(connection))
        else:
            self._run_queue(connection)
        return self.actions

    def _record_command(self, connection: Connection, args: list[bytes]) -> None:
        """Record the arrival of a command; that of a transaction is recorded once its EXEC has arrived."""
        name = args[0].upper()
        if name == b"MULTI":
            connection.incoming_transaction = []
            return
        if connection.incoming_transaction is not None:
            if name != b"EXEC":
                connection.incoming_transaction += args
                return
            args, connection.incoming_transaction = connection.incoming_transaction, None
        self.actions.append(
            MemberAction("command", connection.id, args=tuple(args), source=connection.source)
        )

    def connection_lost(self, now: float, number: int) -> list[MemberAction]:
        """The other end closed connection `number`. A command that occupies a core is still executed."""
        self._begin(now)
        if number == UPSTREAM_ID:
            self._upstream_lost()
        elif (connection := self.connections.pop(number, None)) is not None:
            connection.closed = True
            connection.queue.clear()
        return self.actions

    def upstream_connected(self, now: float) -> list[MemberAction]:
        """The connection to the primary is up: start the replication handshake."""
        self._begin(now)
        self.stream_scanner = Scanner(MAX_STREAM_COMMAND_BYTES)
        self.handshake_stage = "ping"
        self.handshake_buffer.clear()
        self.actions.append(MemberAction("send", UPSTREAM_ID, command("PING")))
        return self.actions

    def run_timers(self, now: float) -> list[MemberAction]:
        """Run all timers that are due."""
        self._begin(now)
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        return self.actions

    @property
    def next_timer_at(self) -> float:
        """When `run_timers` has to be called next; infinite if there is no timer."""
        return self.timers[0][0] if self.timers else float("inf")

    # ---- orders of the owner

    def follow(self, now: float, address: str) -> list[MemberAction]:
        """Become a replica of the primary at `address`."""
        self._begin(now)
        if self.primary != address:
            self.primary = address
            self._connect_upstream()
        return self.actions

    def promote(self, now: float) -> list[MemberAction]:
        """Become a primary with a new history that continues the old one. A primary ignores the order."""
        self._begin(now)
        if self.primary is None:
            return self.actions
        received = self.offset + sum(map(len, self.unapplied_stream))
        while self.unapplied_stream:  # the received part of the log is kept, so it is applied first
            self._apply_one()
        self.primary = None
        self.link_up = False
        self.stream_scanner = None
        self.partial_transaction.clear()
        self.actions.append(MemberAction("close", UPSTREAM_ID))
        self.replid2 = self.replid
        self.second_replid_offset = self.offset + 1
        self._start_history(received)
        self._disconnect_replicas()
        return self.actions

    def _disconnect_replicas(self) -> None:
        """Close the connections of replicas after a change of the replication ID.

        They connect again, and the answer to their PSYNC tells them the new ID.
        """
        for connection in [connection for connection in self.connections.values() if connection.is_replica]:
            self._close(connection)

    def _start_history(self, received: int) -> None:
        """Draw a new replication ID. `received`: the offset up to which the old history had been received."""
        parent = self.replid
        self.replid = self._new_replication_id()
        self.actions.append(
            MemberAction(
                "line",
                UPSTREAM_ID,
                history=self.replid,
                offset=self.offset,
                parent_history=parent,
                parent_offset_received=received,
            )
        )

    def killed(self, now: float) -> None:
        """The process died. Data and log stay on disk; connections, timers and unapplied stream are gone."""
        self._begin(now)
        self.incarnation += 1
        self.connections.clear()
        self.waiting_for_core.clear()
        self.unapplied_stream.clear()
        self.partial_transaction.clear()
        self.timers.clear()
        self.running = 0
        self.applying = False
        self.link_up = False
        self.stream_scanner = None
        self.apply_held = 0

    def restarted(
        self, now: float, cold_share: float, warm_up_seconds: float, keeps_history: bool
    ) -> list[MemberAction]:
        """Start again after `killed`, at `cold_share` of the full capacity, which rises to 1 over `warm_up_seconds`.

        `keeps_history`: the member still knows its replication ID; else it starts a new history with the same data.
        """
        self._begin(now)
        self.restarted_at = now
        self.cold_share = cold_share
        self.warm_up_seconds = warm_up_seconds
        if not keeps_history:
            self.replid2 = NO_REPLICATION_ID
            self.second_replid_offset = -1
            self._start_history(self.offset)
            self.backlog.clear()
        if self.primary is not None:
            self._connect_upstream()
        return self.actions

    # ---- commands

    def _begin(self, now: float) -> None:
        """Set the time and an empty list of actions for the call that begins."""
        self.now = now
        self.actions = []

    def _schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` at `when`, unless the member is killed before."""
        self.timers_created += 1
        incarnation = self.incarnation
        heapq.heappush(
            self.timers,
            (when, self.timers_created, lambda: callback() if self.incarnation == incarnation else None),
        )

    def _send(self, connection: Connection, data: bytes) -> None:
        if not connection.closed:
            self.actions.append(MemberAction("send", connection.id, data))

    def _close(self, connection: Connection) -> None:
        connection.closed = True
        connection.queue.clear()
        self.connections.pop(connection.id, None)
        self.actions.append(MemberAction("close", connection.id))

    def capacity(self) -> float:
        """The share of its full speed at which the member runs now; below 1 while it warms up after a restart."""
        if self.restarted_at is None or self.warm_up_seconds <= 0:
            return 1.0
        uptime = self.now - self.restarted_at
        return min(1.0, self.cold_share + (1 - self.cold_share) * uptime / self.warm_up_seconds)

    def _run_queue(self, connection: Connection) -> None:
        """Start the commands at the front of a connection's queue, up to one that needs a core."""
        while connection.queue and not connection.busy and not connection.closed:
            if connection.is_stuck and not self.faults.hang:
                # An answer now would be taken for that of the command that got none, so there is no more answer.
                connection.queue.clear()
                return
            if connection.ready_at > self.now:
                return
            name = connection.queue[0][0].upper()
            asks_role = name in (b"ROLE", b"INFO")
            if self.faults.hang and (connection.is_stuck or not asks_role or self.faults.hang_role_queries):
                # Answers keep the order of their commands, so nothing behind this one is answered either.
                connection.is_stuck = True
                self._handle_without_answer(connection, connection.queue.popleft())
                continue
            known = find_command(name)
            needs_core = known is not None and known.kind in (CommandKind.READ, CommandKind.WRITE)
            if connection.transaction is not None and needs_core:
                assert known is not None
                connection.transaction.append(connection.queue.popleft())
                refused = known.kind is CommandKind.WRITE and (
                    self.primary is not None or self.refuses_writes
                )
                connection.transaction_failed = connection.transaction_failed or refused
                self._send(connection, encode(READONLY if refused else Simple("QUEUED")))
                continue
            if not needs_core and not (name == b"EXEC" and connection.transaction is not None):
                self._send(
                    connection, self._run_control_command(connection, name, connection.queue.popleft())
                )
                continue
            connection.busy = True
            self.waiting_for_core.append(connection)
        self._occupy_cores()

    def _handle_without_answer(self, connection: Connection, args: list[bytes]) -> None:
        """Take a command during a hang: execute it or not, at random, and send no answer."""
        name = args[0].upper()
        if name == b"MULTI":
            connection.transaction = []
        elif connection.transaction is not None and name != b"EXEC":
            connection.transaction.append(args)
        elif (
            (known := find_command(name)) is not None
            and (known.kind in (CommandKind.READ, CommandKind.WRITE) or connection.transaction is not None)
            and self.random.random() < self.faults.hang_execute_share
        ):
            self._execute(connection, args)

    def _occupy_cores(self) -> None:
        """Start waiting commands on the free cores."""
        while self.waiting_for_core and self.running < self.cores:
            connection = self.waiting_for_core.popleft()
            if connection.closed or not connection.queue:
                connection.busy = False
                continue
            args = connection.queue.popleft()
            self.running += 1
            factor = (
                self.faults.work_factor
                * self.faults.work_factor_by_source.get(connection.source, 1.0)
                / self.capacity()
            )
            if self.faults.tail_share and self.random.random() < self.faults.tail_share:
                factor *= self.faults.tail_work_factor
            seconds = self.command_seconds * factor * self.random.uniform(MIN_WORK_FACTOR, MAX_WORK_FACTOR)
            self._schedule(
                self.now + seconds,
                lambda connection=connection, args=args: self._work_finished(connection, args),  # type: ignore[misc]
            )

    def _work_finished(self, connection: Connection, args: list[bytes]) -> None:
        """The work of a command is done: free its core, execute and answer it as far as the faults allow."""
        self.running -= 1
        connection.busy = False
        if self.faults.hang:
            connection.is_stuck = True
            if self.random.random() < self.faults.hang_execute_share:
                self._execute(connection, args)
        elif self.faults.cut_share and self.random.random() < self.faults.cut_share:
            if self.random.random() < CUT_EXECUTE_PROBABILITY:
                self._execute(connection, args)
            if not connection.closed:
                self._close(connection)
        else:
            answer, record = self._execute(connection, args)
            self._send(connection, answer)
            if not connection.closed:
                self.actions.append(dataclasses.replace(record, kind="answer", data=answer))
        self._occupy_cores()
        self._run_queue(connection)

    def _execute(self, connection: Connection, args: list[bytes]) -> tuple[bytes, MemberAction]:
        """Execute one command, or at EXEC a transaction. Returns the encoded answer, and the action that records it."""
        commands = [args]
        failed_before = False
        if args[0].upper() == b"EXEC":
            commands = connection.transaction or []
            failed_before = connection.transaction_failed
            connection.transaction = None
            connection.transaction_failed = False
        all_args = tuple(word for each in commands for word in each)
        writes = any(
            known is not None and known.kind is CommandKind.WRITE
            for known in (find_command(each[0]) for each in commands)
        )
        refused = writes and (self.primary is not None or self.refuses_writes)
        answer, log = b"", list[list[bytes]]()
        if args[0].upper() == b"EXEC" and (failed_before or refused):
            answer = encode(
                Error(
                    "EXECABORT Transaction discarded because of previous errors."
                    if failed_before
                    else "EXECABORT Transaction contains write commands but instance is now a read-only "
                    "replica. EXEC aborted."
                )
            )
            refused = True
        elif refused:
            # The error of a write inside a script names the script, as Redis does it.
            is_script = args[0].upper() in SCRIPT_COMMANDS
            answer = encode(
                Error(f"{READONLY} script: stand-in, on @user_script:1.") if is_script else READONLY
            )
        else:
            answers = [
                encode(self.store.execute(each, self.now, log), connection.protocol) for each in commands
            ]
            answer = (
                answers[0] if args[0].upper() != b"EXEC" else b"*%d\r\n" % len(answers) + b"".join(answers)
            )
            if log:
                raw = b"".join(command(*logged) for logged in log)
                self._append_to_log(raw if len(log) == 1 else MULTI + raw + EXEC)
        record = MemberAction(
            "ran",
            connection.id,
            args=all_args,
            source=connection.source,
            history=self.replid,
            offset=self.offset,
            log=tuple(tuple(logged) for logged in log),
            refused=refused,
        )
        if writes and not refused:
            self.actions.append(record)
        return answer, record

    def _run_control_command(self, connection: Connection, name: bytes, args: list[bytes]) -> bytes:
        """Run a command that occupies no core: of the connection, of a transaction, or of replication.

        Returns the encoded answer; it is empty for REPLCONF ACK, which has none.
        """
        protocol = connection.protocol
        match name:
            case b"ROLE" | b"INFO":
                self.actions.append(
                    MemberAction(
                        "says",
                        connection.id,
                        args=(b"replica" if self.primary else b"primary",),
                        source=connection.source,
                        history=self.replid,
                        offset=self.offset,
                    )
                )
                return encode(self._role_answer() if name == b"ROLE" else self._info_text(), protocol)
            case b"PING":
                return encode(args[1] if len(args) > 1 else Simple("PONG"), protocol)
            case b"HELLO":
                connection.protocol = int(args[1]) if len(args) > 1 else 2
                return encode(
                    {"server": "stand-in", "proto": connection.protocol, "role": "master"},
                    connection.protocol,
                )
            case b"AUTH" | b"SELECT" | b"CLIENT":
                return encode(OK, protocol)
            case b"MULTI":
                connection.transaction = []
                connection.transaction_failed = False
                return encode(OK, protocol)
            case b"DISCARD":
                connection.transaction = None
                return encode(OK, protocol)
            case b"EXEC":
                return encode(Error("ERR EXEC without MULTI"), protocol)
            case b"REPLCONF":
                if args[1].upper() == b"ACK":
                    connection.acked_offset = int(args[2])
                    return b""
                if args[1].upper() == b"LISTENING-PORT":
                    connection.listening_port = int(args[2])
                return encode(OK, protocol)
            case b"PSYNC":
                return self._answer_psync(connection, args)
        return encode(Error(f"ERR unknown command '{args[0].decode('latin-1')}'"), protocol)

    def _role_answer(self) -> list[object]:
        """The answer to ROLE, in the form that Redis documents."""
        if self.primary is None:
            return [
                "master",
                self.offset,
                [
                    ["127.0.0.1", str(connection.listening_port), str(max(0, connection.acked_offset))]
                    for connection in self.connections.values()
                    if connection.is_replica
                ],
            ]
        host, _, port = self.primary.rpartition(":")
        state = "connected" if self.link_up else "connect" if self.stream_scanner is None else "sync"
        return ["slave", host, int(port), state, self.offset if self.link_up or self.offset else -1]

    def _info_text(self) -> str:
        """The answer to INFO: the fields of Redis's section Replication, and the commands that wait or run."""
        in_flight = sum(len(connection.queue) + connection.busy for connection in self.connections.values())
        lines = ["# Replication", f"role:{'master' if self.primary is None else 'slave'}"]
        if self.primary is not None:
            host, _, port = self.primary.rpartition(":")
            lines += [
                f"master_host:{host}",
                f"master_port:{port}",
                f"master_link_status:{'up' if self.link_up else 'down'}",
                f"slave_repl_offset:{self.offset}",
            ]
        lines += [
            f"connected_slaves:{sum(connection.is_replica for connection in self.connections.values())}",
            f"master_replid:{self.replid}",
            f"master_replid2:{self.replid2}",
            f"master_repl_offset:{self.offset}",
            f"second_repl_offset:{self.second_replid_offset}",
            f"commands_in_flight:{int(in_flight * self.faults.reported_load_factor)}",
        ]
        return "\r\n".join(lines) + "\r\n"

    # ---- replication

    def _append_to_log(self, raw: bytes) -> None:
        """Append encoded commands to the log and send them to the replicas."""
        self.offset += len(raw)
        self.backlog += raw
        if len(self.backlog) > 2 * BACKLOG_BYTES:
            del self.backlog[:-BACKLOG_BYTES]
        for connection in self.connections.values():
            if connection.is_replica and self.faults.withhold_log:
                connection.withheld += raw
            elif connection.is_replica:
                self._send_log(connection, raw)

    def _send_log(self, connection: Connection, raw: bytes) -> None:
        """Send a part of the log to a replica, after `Faults.log_delay_seconds` and after all parts delayed before."""
        connection.log_due_at = max(connection.log_due_at, self.now + self.faults.log_delay_seconds)
        if connection.log_due_at > self.now:
            self._schedule(connection.log_due_at, lambda: self._send(connection, raw))
        else:
            self._send(connection, raw)

    def release_withheld_log(self, now: float) -> list[MemberAction]:
        """End `Faults.withhold_log`: send the replicas the part of the log that was kept back from them."""
        self._begin(now)
        self.faults.withhold_log = False
        for connection in self.connections.values():
            if connection.withheld:
                self._send_log(connection, bytes(connection.withheld))
                connection.withheld.clear()
        return self.actions

    def _answer_psync(self, connection: Connection, args: list[bytes]) -> bytes:
        """Make a connection one of a replica. Returns the answer to its PSYNC, with the missing log or a full copy."""
        replid = args[1].decode("latin-1")
        first_missing = int(args[2])  # offset of the first byte that the replica lacks
        missing = self.offset + 1 - first_missing
        has_history = replid == self.replid or (
            replid == self.replid2 and first_missing <= self.second_replid_offset
        )
        connection.is_replica = True
        if has_history and 0 <= missing <= len(self.backlog):
            part = bytes(self.backlog[len(self.backlog) - missing :]) if missing else b""
            return b"+CONTINUE %b\r\n" % self.replid.encode() + part
        copy = self.store.dump()
        return b"+FULLRESYNC %b %d\r\n$%d\r\n%b" % (self.replid.encode(), self.offset, len(copy), copy)

    def _connect_upstream(self) -> None:
        """Close the connection to the primary, if there is one, and open a new one."""
        self.link_up = False
        self.stream_scanner = None
        self.unapplied_stream.clear()
        self.partial_transaction.clear()
        self.actions.append(MemberAction("close", UPSTREAM_ID))
        if self.primary is not None:
            self.actions.append(MemberAction("connect", UPSTREAM_ID, self.primary.encode()))

    def _upstream_lost(self) -> None:
        """The connection to the primary broke: connect again after a delay."""
        self.link_up = False
        self.stream_scanner = None
        self.unapplied_stream.clear()  # the next PSYNC asks again for what was received and not applied
        self.partial_transaction.clear()
        if self.primary is not None:
            address = self.primary
            self._schedule(self.now + RECONNECT_DELAY_SECONDS, lambda: self._retry_upstream(address))

    def _retry_upstream(self, address: str) -> None:
        if self.primary == address and self.stream_scanner is None:
            self.actions.append(MemberAction("connect", UPSTREAM_ID, address.encode()))

    def _upstream_received(self, data: bytes) -> None:
        """Handle bytes of the primary: the lines of the handshake, a full copy if there is one, then the stream."""
        if self.stream_scanner is None:
            return
        if self.handshake_stage == "stream":
            for frame in self.stream_scanner.feed(data):
                self._queue_stream_command(frame)
            self._apply_next()
            return
        self.handshake_buffer += data
        while self.handshake_stage not in ("copy", "stream"):
            end = self.handshake_buffer.find(b"\r\n")
            if end < 0:
                return
            line = bytes(self.handshake_buffer[:end])
            del self.handshake_buffer[: end + 2]
            if not self._continue_handshake(line):
                return
        if self.handshake_stage == "copy" and not self._load_full_copy():
            return
        rest = bytes(self.handshake_buffer)
        self.handshake_buffer.clear()
        if rest:
            self._upstream_received(rest)

    def _queue_stream_command(self, frame: bytes) -> None:
        """Queue one encoded command of the stream; a transaction is queued as one, once its EXEC has arrived."""
        if self.partial_transaction or frame == MULTI:
            self.partial_transaction.append(frame)
            if frame != EXEC:
                return
            frame = b"".join(self.partial_transaction)
            self.partial_transaction.clear()
        self.unapplied_stream.append(frame)

    def _continue_handshake(self, line: bytes) -> bool:
        """Handle one answer of the primary and send the next command. Returns false if the handshake failed."""
        if self.handshake_stage == "ping":
            self.handshake_stage = "port"
            self.actions.append(MemberAction("send", UPSTREAM_ID, command("REPLCONF", "listening-port", "0")))
        elif self.handshake_stage == "port":
            self.handshake_stage = "psync"
            self.actions.append(
                MemberAction("send", UPSTREAM_ID, command("PSYNC", self.replid, self.offset + 1))
            )
        else:
            words = line[1:].split()
            if words[:1] == [b"CONTINUE"]:
                if len(words) > 1 and words[1].decode() != self.replid:
                    self.replid2 = self.replid
                    self.second_replid_offset = self.offset + 1
                    self.replid = words[1].decode()
                    self._disconnect_replicas()
                self._start_streaming()
            elif words[:1] == [b"FULLRESYNC"]:
                self.handshake_stage = "copy"
                self.full_resync = (words[1].decode(), int(words[2]))
            else:
                self._connect_upstream()
                return False
        return True

    def _load_full_copy(self) -> bool:
        """Load the full copy: a RESP bulk string without the final CRLF. Returns false while it is incomplete."""
        end = self.handshake_buffer.find(b"\r\n")
        if end < 0:
            return False
        size = int(self.handshake_buffer[1:end])
        if len(self.handshake_buffer) < end + 2 + size:
            return False
        self.store.load(bytes(self.handshake_buffer[end + 2 : end + 2 + size]))
        del self.handshake_buffer[: end + 2 + size]
        self.replid, self.offset = self.full_resync
        self.replid2 = NO_REPLICATION_ID
        self.second_replid_offset = -1
        self.backlog.clear()
        self._disconnect_replicas()
        self._start_streaming()
        return True

    def _start_streaming(self) -> None:
        """The handshake is over: what follows from the primary is the stream."""
        self.handshake_stage = "stream"
        self.link_up = True
        self._send_ack()

    def _send_ack(self) -> None:
        """Report the applied offset to the primary, now and at intervals while this connection lasts."""
        if self.link_up:
            self.actions.append(MemberAction("send", UPSTREAM_ID, command("REPLCONF", "ACK", self.offset)))
            self._schedule(self.now + ACK_INTERVAL_SECONDS, self._ack_callback(self.stream_scanner))

    def _ack_callback(self, scanner: Scanner | None) -> Callable[[], None]:
        """A timer callback that does nothing once the connection that `scanner` belongs to is gone."""
        return lambda: self._send_ack() if self.stream_scanner is scanner else None

    def _apply_next(self) -> None:
        """Apply the queued stream, one command or transaction after the other."""
        while self.unapplied_stream and not self.applying and not self.apply_held and not self.faults.hang:
            seconds = self.apply_seconds * self.faults.apply_work_factor
            if seconds > 0:
                self.applying = True
                self._schedule(self.now + seconds, self._apply_finished)
                return
            self._apply_one()

    def _apply_finished(self) -> None:
        """The work of applying is done: change the data, and go on with the next command of the stream."""
        self.applying = False
        if self.unapplied_stream:
            self._apply_one()
        self._apply_next()

    def _apply_one(self) -> None:
        """Apply the oldest queued command or transaction of the stream and append it to the own log."""
        raw = self.unapplied_stream.popleft()
        reader = CommandReader(MAX_STREAM_COMMAND_BYTES)
        reader.feed(raw)
        while (args := reader.next()) is not None:
            if args[0].upper() not in (b"PING", b"MULTI", b"EXEC"):
                self.store.apply(args, self.now)
        self._append_to_log(raw)

    def end_hang(self, now: float) -> list[MemberAction]:
        """End a hang. Requests taken during it stay unanswered, and their connections silent; the others go on."""
        self._begin(now)
        self.faults.hang = False
        self._apply_next()
        for connection in list(self.connections.values()):
            self._run_queue(connection)
        return self.actions
