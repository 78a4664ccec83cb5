"""A stand-in member: a small RESP node with data, a log and replication, as a machine without I/O.

Theory of operation. Commands of one connection run in order; those of several share `cores`. A command takes work
(seconds at speed 1); role questions take none, as they are answered from memory, but keep their place in their
connection. The log is the replication stream itself: each write is appended as a command, and the offset counts its
bytes. A replica connects to its primary, asks `PSYNC` with its history and offset, gets the part it lacks from the
backlog or a whole copy, and from then on the stream, which it applies on one thread; it tells by `REPLCONF ACK` what
it has applied. A promoted replica begins a new history and names the old one and its fork.

Faults are set from outside (`Faults`): a hang that takes requests and answers none, running them or not; slowness, for
all or towards some sources; a cap on connections; a share of requests cut off; slow applying; reports that understate.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.emulator.store import SCRIPTS, Store
from banklift.resp.commands import Kind, lookup
from banklift.resp.frames import CommandReader, Error, ProtocolError, Scanner, Simple, command, encode

BACKLOG = 1024 * 1024  # bytes of the log kept for partial resyncs
ACK_EVERY = 0.1  # seconds between a replica's acknowledgements
OK = Simple("OK")
READONLY = Error("READONLY You can't write against a read only replica.")
MULTI, EXEC = command("MULTI"), command("EXEC")


@dataclass(slots=True)
class Faults:
    """What is wrong with a node now."""

    hang: bool = False  # takes requests and answers none
    hang_probes: bool = False  # nor questions for its role
    hang_runs: float = 0.5  # share of the swallowed requests that run all the same
    slow: float = 1.0  # times its usual work
    slow_for: dict[str, float] = field(default_factory=dict)  # by source address, times the usual work
    tail: float = 1.0  # times the usual work, for some requests ...
    tail_share: float = 0.0  # ... by chance
    cut: float = 0.0  # share of requests cut off: the connection closes, run or not
    apply: float = 1.0  # times the usual work of applying
    cap: int = 10_000  # connections accepted
    understate: float = 1.0  # part of its load that it reports
    handshake: float = 0.0  # seconds before a new connection is served
    withhold: bool = False  # what it writes reaches no replica
    delay: float = 0.0  # seconds that what it writes takes more to its replicas


@dataclass(slots=True, eq=False)
class Conn:
    id: int
    source: str
    reader: CommandReader
    opened: float
    queue: deque[list[bytes]] = field(default_factory=deque)
    busy: bool = False
    proto: int = 2
    units: list[list[bytes]] | None = None
    spoilt: bool = False
    got: list[bytes] | None = None  # the arguments of a unit that is coming in
    follower: bool = False  # a replica that gets the stream
    acked: int = -1
    port: int = 0
    name: str = ""
    ready: float = 0.0
    closed: bool = False
    due: float = 0.0  # of the log, when the last part goes out to this replica
    stuck: bool = False  # a command on it was swallowed
    held: bytearray = field(default_factory=bytearray)  # of the log, withheld from this replica


@dataclass(frozen=True, slots=True)
class Act:
    """What the node wants done: `send`, `close` or `connect` (data: the address); or what a tap may record:
    `command` (one, or a whole unit), `ran` (a write went through: `log` tells what replicas apply), `answer` (data;
    `turned` if nothing ran), `says` (it told its role) and `line` (from now on its log is a line of its own, which
    goes on from `parent` at `offset`; `received`: what it had been sent of that one). `line` and `offset`: where in
    which log the node then stands."""

    what: str
    conn: int
    data: bytes = b""
    args: tuple[bytes, ...] = ()
    source: str = ""
    line: str = ""
    offset: int = 0
    log: tuple[tuple[bytes, ...], ...] = ()
    turned: bool = False
    parent: str = ""
    received: int = 0


UPSTREAM = 0  # number of a replica's connection to its primary


class Node:
    """`work`: seconds that a command takes on one core; `apply`: seconds that applying one write takes."""

    def __init__(
        self,
        name: str,
        seed: int,
        cores: int = 4,
        work: float = 0.001,
        apply: float = 0.0001,
        numbered: bool = False,
    ) -> None:
        self.name = name
        self.random = Random(seed)
        self.cores = cores
        self.work, self.apply_work = work, apply
        self.faults = Faults()
        self.store = Store(numbered)
        self.replid = self._new_id()
        self.replid2 = "0" * 40
        self.second = -1
        self.offset = 0
        self.backlog = bytearray()  # the log up to `offset`
        self.primary: str | None = None  # address followed; None: it is a primary
        self.linked = False
        self.readonly = False  # a primary that hands over takes no writes
        self.conns: dict[int, Conn] = {}
        self.running = 0
        self.waiting: deque[Conn] = deque()
        self.now = 0.0
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = 0
        self.actions: list[Act] = []
        self.upstream: Scanner | None = None
        self.stage = ""  # of the replication handshake
        self.coming = bytearray()  # what the primary sent before its stream
        self.resync = ("", 0)  # history and offset of the copy on its way
        self.inbox: deque[bytes] = (
            deque()
        )  # of the stream, received and not applied: commands, or whole units
        self.unit: list[bytes] = []  # a unit of the stream that is not whole yet
        self.applying = False
        self.apply_held = 0  # long reads during which nothing is applied
        self.cold_since: float | None = None
        self.cold_share, self.cold_time = 1.0, 0.0
        self.pushed: deque[tuple[float, float]] = deque()
        self.epoch = 0  # of its life: what was begun before a kill does not go on

    @property
    def data(self) -> dict[bytes, object]:
        return self.store.data

    def _new_id(self) -> str:
        return f"{self.random.getrandbits(160):040x}"

    # ---- events; each returns what is to be done

    def opened(self, now: float, conn: int, source: str) -> list[Act]:
        self._begin(now)
        if len(self.conns) >= self.faults.cap:
            self.actions += [
                Act("send", conn, b"-ERR max number of clients reached\r\n"),
                Act("close", conn, b"full"),
            ]
            return self.actions
        self.conns[conn] = Conn(
            conn, source, CommandReader(256 * 1024 * 1024), now, ready=now + self.faults.handshake
        )
        return self.actions

    def received(self, now: float, conn: int, data: bytes) -> list[Act]:
        self._begin(now)
        if conn == UPSTREAM:
            self._stream(data)
            return self.actions
        state = self.conns.get(conn)
        if state is None:
            return self.actions
        state.reader.feed(data)
        try:
            while (args := state.reader.next()) is not None:
                state.queue.append(args)
                self._got(state, args)
        except ProtocolError as error:
            self._send(state, encode(Error(f"ERR Protocol error: {error}")))
            self._close(state)
            return self.actions
        if state.ready > now:
            self._at(state.ready, lambda: self._next(state))
        else:
            self._next(state)
        return self.actions

    def _got(self, conn: Conn, args: list[bytes]) -> None:
        """For the tap: a command, or a unit once its EXEC is here."""
        name = args[0].upper()
        if name == b"MULTI":
            conn.got = []
            return
        if conn.got is not None:
            if name != b"EXEC":
                conn.got += args
                return
            args, conn.got = conn.got, None
        self.actions.append(Act("command", conn.id, args=tuple(args), source=conn.source))

    def lost(self, now: float, conn: int) -> list[Act]:
        """A connection is gone. What runs on it runs on."""
        self._begin(now)
        if conn == UPSTREAM:
            self._upstream_lost()
        elif (state := self.conns.pop(conn, None)) is not None:
            state.closed = True
            state.queue.clear()
        return self.actions

    def upstream_up(self, now: float) -> list[Act]:
        self._begin(now)
        self.upstream, self.stage = Scanner(1 << 30), "ping"
        self.coming.clear()
        self.actions.append(Act("send", UPSTREAM, command("PING")))
        return self.actions

    def wake_up(self, now: float) -> list[Act]:
        self._begin(now)
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        return self.actions

    @property
    def wake(self) -> float:
        return self.timers[0][0] if self.timers else float("inf")

    # ---- orders of whoever runs it

    def follow(self, now: float, address: str) -> list[Act]:
        """Be a replica of `address`."""
        self._begin(now)
        if self.primary != address:
            self.primary = address
            self._reconnect()
        return self.actions

    def promote(self, now: float) -> list[Act]:
        """Be the primary, with a new history that goes on from the old one."""
        self._begin(now)
        if self.primary is None:
            return self.actions
        received = self.offset + sum(map(len, self.inbox))
        while self.inbox:  # what it was sent is part of the log that it takes over
            self._apply_one()
        self.primary, self.linked, self.upstream = None, False, None
        self.unit.clear()
        self.actions.append(Act("close", UPSTREAM))
        self.replid2, self.second = self.replid, self.offset + 1
        self._branch(received)
        self._part()
        return self.actions

    def _part(self) -> None:
        """The history is another one: who follows has to ask again, and learns of it."""
        for conn in [conn for conn in self.conns.values() if conn.follower]:
            self._close(conn)

    def _branch(self, received: int) -> None:
        """From here on its log is a line of its own. `received`: how far it had been sent the old one."""
        old, self.replid = self.replid, self._new_id()
        self.actions.append(
            Act("line", UPSTREAM, line=self.replid, offset=self.offset, parent=old, received=received)
        )

    def killed(self, now: float) -> None:
        """The process died: data and log stay on disk, connections and work do not."""
        self._begin(now)
        self.epoch += 1
        self.conns.clear()
        self.waiting.clear()
        self.inbox.clear()
        self.unit.clear()
        self.timers.clear()
        self.running, self.applying, self.linked, self.upstream = 0, False, False, None
        self.apply_held = 0

    def restarted(self, now: float, share: float, time: float, keeps: bool) -> list[Act]:
        """Start again, cold: at `share` of its capacity, warm after `time` seconds. `keeps`: it still knows its
        history; else it begins another one with the same data."""
        self._begin(now)
        self.cold_since, self.cold_share, self.cold_time = now, share, time
        if not keeps:
            self.replid2, self.second = "0" * 40, -1
            self._branch(self.offset)
            self.backlog.clear()
        if self.primary is not None:
            self._reconnect()
        return self.actions

    # ---- commands

    def _begin(self, now: float) -> None:
        self.now, self.actions = now, []

    def _at(self, when: float, callback: Callable[[], None]) -> None:
        self.numbers += 1
        epoch = self.epoch
        heapq.heappush(self.timers, (when, self.numbers, lambda: callback() if self.epoch == epoch else None))

    def _send(self, conn: Conn, data: bytes) -> None:
        if not conn.closed:
            self.actions.append(Act("send", conn.id, data))

    def _close(self, conn: Conn) -> None:
        conn.closed = True
        conn.queue.clear()
        self.conns.pop(conn.id, None)
        self.actions.append(Act("close", conn.id))

    def capacity(self) -> float:
        """The part of its full speed that it has now."""
        if self.cold_since is None or self.cold_time <= 0:
            return 1.0
        age = self.now - self.cold_since
        return min(1.0, self.cold_share + (1 - self.cold_share) * age / self.cold_time)

    def _next(self, conn: Conn) -> None:
        """Run what is at the front of a connection."""
        while conn.queue and not conn.busy and not conn.closed:
            if conn.stuck and not self.faults.hang:
                conn.queue.clear()
                return
            if conn.ready > self.now:
                return
            name = conn.queue[0][0].upper()
            asks = name in (b"ROLE", b"INFO")
            if self.faults.hang and (conn.stuck or not asks or self.faults.hang_probes):
                conn.stuck = True  # answers keep their order: what comes behind is not answered either
                self._swallow(conn, conn.queue.popleft())
                continue
            known = lookup(name)
            works = known is not None and known.kind in (Kind.READ, Kind.WRITE)
            if conn.units is not None and works:
                assert known is not None
                conn.units.append(conn.queue.popleft())
                refused = known.kind is Kind.WRITE and (self.primary is not None or self.readonly)
                conn.spoilt = conn.spoilt or refused
                self._send(conn, encode(READONLY if refused else Simple("QUEUED")))
                continue
            if not works and not (name == b"EXEC" and conn.units is not None):
                self._send(conn, self._special(conn, name, conn.queue.popleft()))
                continue
            conn.busy = True
            self.waiting.append(conn)
        self._start()

    def _swallow(self, conn: Conn, args: list[bytes]) -> None:
        """Of a hung node: no answer; what was asked runs or doesn't."""
        name = args[0].upper()
        if name == b"MULTI":
            conn.units = []
        elif conn.units is not None and name != b"EXEC":
            conn.units.append(args)
        elif (
            (known := lookup(name)) is not None
            and (known.kind in (Kind.READ, Kind.WRITE) or conn.units is not None)
            and self.random.random() < self.faults.hang_runs
        ):
            self._run(conn, args)

    def _start(self) -> None:
        while self.waiting and self.running < self.cores:
            conn = self.waiting.popleft()
            if conn.closed or not conn.queue:
                conn.busy = False
                continue
            args = conn.queue.popleft()
            self.running += 1
            factor = self.faults.slow * self.faults.slow_for.get(conn.source, 1.0) / self.capacity()
            if self.faults.tail_share and self.random.random() < self.faults.tail_share:
                factor *= self.faults.tail
            work = self.work * factor * self.random.uniform(0.7, 1.3)
            self._at(self.now + work, lambda conn=conn, args=args: self._finished(conn, args))  # type: ignore[misc]

    def _finished(self, conn: Conn, args: list[bytes]) -> None:
        self.running -= 1
        conn.busy = False
        if self.faults.hang:
            conn.stuck = True
            if self.random.random() < self.faults.hang_runs:
                self._run(conn, args)
        elif self.faults.cut and self.random.random() < self.faults.cut:
            if self.random.random() < 0.5:
                self._run(conn, args)
            if not conn.closed:
                self._close(conn)
        else:
            answer, told = self._run(conn, args)
            self._send(conn, answer)
            if not conn.closed:
                self.actions.append(dataclasses.replace(told, what="answer", data=answer))
        self._start()
        self._next(conn)

    def _run(self, conn: Conn, args: list[bytes]) -> tuple[bytes, Act]:
        """Execute one command, or a unit on EXEC; returns its answer and what a tap may record of it."""
        units, spoilt = [args], False
        if args[0].upper() == b"EXEC":
            units, spoilt, conn.units, conn.spoilt = conn.units or [], conn.spoilt, None, False
        flat = tuple(word for unit in units for word in unit)
        writes = any(
            known is not None and known.kind is Kind.WRITE for known in (lookup(unit[0]) for unit in units)
        )
        refused = writes and (self.primary is not None or self.readonly)
        answer, log = b"", list[list[bytes]]()
        if args[0].upper() == b"EXEC" and (spoilt or refused):
            answer = encode(
                Error(
                    "EXECABORT Transaction discarded because of previous errors."
                    if spoilt
                    else "EXECABORT Transaction contains write commands but instance is now a read-only "
                    "replica. EXEC aborted."
                )
            )
            refused = True
        elif refused:
            script = args[0].upper() in SCRIPTS  # the error comes out of its middle, and says so
            answer = encode(Error(f"{READONLY} script: stand-in, on @user_script:1.") if script else READONLY)
        else:
            answers = [encode(self.store.perform(unit, self.now, log), conn.proto) for unit in units]
            answer = (
                answers[0] if args[0].upper() != b"EXEC" else b"*%d\r\n" % len(answers) + b"".join(answers)
            )
            if log:
                raw = b"".join(command(*effect) for effect in log)
                self._log(raw if len(log) == 1 else MULTI + raw + EXEC)
        ran = Act(
            "ran",
            conn.id,
            args=flat,
            source=conn.source,
            line=self.replid,
            offset=self.offset,
            log=tuple(tuple(effect) for effect in log),
            turned=refused,
        )
        if writes and not refused:
            self.actions.append(ran)
        return answer, ran

    def _special(self, conn: Conn, name: bytes, args: list[bytes]) -> bytes:
        proto = conn.proto
        match name:
            case b"ROLE" | b"INFO":
                self.actions.append(
                    Act(
                        "says",
                        conn.id,
                        args=(b"replica" if self.primary else b"primary",),
                        source=conn.source,
                        line=self.replid,
                        offset=self.offset,
                    )
                )
                return encode(self._role() if name == b"ROLE" else self._info(), proto)
            case b"PING":
                return encode(args[1] if len(args) > 1 else Simple("PONG"), proto)
            case b"HELLO":
                conn.proto = int(args[1]) if len(args) > 1 else 2
                return encode({"server": "stand-in", "proto": conn.proto, "role": "master"}, conn.proto)
            case b"AUTH" | b"SELECT" | b"CLIENT":
                return encode(OK, proto)
            case b"MULTI":
                conn.units, conn.spoilt = [], False
                return encode(OK, proto)
            case b"DISCARD":
                conn.units = None
                return encode(OK, proto)
            case b"EXEC":
                return encode(Error("ERR EXEC without MULTI"), proto)
            case b"REPLCONF":
                if args[1].upper() == b"ACK":
                    conn.acked = int(args[2])
                    return b""
                if args[1].upper() == b"LISTENING-PORT":
                    conn.port = int(args[2])
                return encode(OK, proto)
            case b"PSYNC":
                return self._psync(conn, args)
        return encode(Error(f"ERR unknown command '{args[0].decode('latin-1')}'"), proto)

    def _role(self) -> list[object]:
        if self.primary is None:
            return [
                "master",
                self.offset,
                [
                    ["127.0.0.1", str(conn.port), str(max(0, conn.acked))]
                    for conn in self.conns.values()
                    if conn.follower
                ],
            ]
        host, _, port = self.primary.rpartition(":")
        state = "connected" if self.linked else "connect" if self.upstream is None else "sync"
        return ["slave", host, int(port), state, self.offset if self.linked or self.offset else -1]

    def _info(self) -> str:
        held = sum(len(conn.queue) + conn.busy for conn in self.conns.values())
        lines = ["# Replication", f"role:{'master' if self.primary is None else 'slave'}"]
        if self.primary is not None:
            host, _, port = self.primary.rpartition(":")
            lines += [
                f"master_host:{host}",
                f"master_port:{port}",
                f"master_link_status:{'up' if self.linked else 'down'}",
                f"slave_repl_offset:{self.offset}",
            ]
        lines += [
            f"connected_slaves:{sum(conn.follower for conn in self.conns.values())}",
            f"master_replid:{self.replid}",
            f"master_replid2:{self.replid2}",
            f"master_repl_offset:{self.offset}",
            f"second_repl_offset:{self.second}",
            f"commands_in_flight:{int(held * self.faults.understate)}",
        ]
        return "\r\n".join(lines) + "\r\n"

    # ---- replication

    def _log(self, raw: bytes) -> None:
        """What was written goes into the log and to whoever follows."""
        self.offset += len(raw)
        self.backlog += raw
        if len(self.backlog) > 2 * BACKLOG:
            del self.backlog[:-BACKLOG]
        for conn in self.conns.values():
            if conn.follower and self.faults.withhold:
                conn.held += raw
            elif conn.follower:
                self._ship(conn, raw)

    def _ship(self, conn: Conn, raw: bytes) -> None:
        """The log goes out in order, whatever delays it."""
        conn.due = max(conn.due, self.now + self.faults.delay)
        if conn.due > self.now:
            self._at(conn.due, lambda: self._send(conn, raw))
        else:
            self._send(conn, raw)

    def ship(self, now: float) -> list[Act]:
        """Replicas get what was withheld from them."""
        self._begin(now)
        self.faults.withhold = False
        for conn in self.conns.values():
            if conn.held:
                self._ship(conn, bytes(conn.held))
                conn.held.clear()
        return self.actions

    def _psync(self, conn: Conn, args: list[bytes]) -> bytes:
        replid, asked = args[1].decode("latin-1"), int(args[2])  # the first byte it lacks
        lacks = self.offset + 1 - asked
        shared = replid == self.replid or (replid == self.replid2 and asked <= self.second)
        conn.follower = True
        if shared and 0 <= lacks <= len(self.backlog):
            part = bytes(self.backlog[len(self.backlog) - lacks :]) if lacks else b""
            return b"+CONTINUE %b\r\n" % self.replid.encode() + part
        copy = self.store.dump()
        return b"+FULLRESYNC %b %d\r\n$%d\r\n%b" % (self.replid.encode(), self.offset, len(copy), copy)

    def _reconnect(self) -> None:
        self.linked, self.upstream = False, None
        self.inbox.clear()
        self.unit.clear()
        self.actions.append(Act("close", UPSTREAM))
        if self.primary is not None:
            self.actions.append(Act("connect", UPSTREAM, self.primary.encode()))

    def _upstream_lost(self) -> None:
        self.linked, self.upstream = False, None
        self.inbox.clear()  # what was not applied is asked for again
        self.unit.clear()
        if self.primary is not None:
            address = self.primary
            self._at(self.now + 0.1, lambda: self._retry(address))

    def _retry(self, address: str) -> None:
        if self.primary == address and self.upstream is None:
            self.actions.append(Act("connect", UPSTREAM, address.encode()))

    def _stream(self, data: bytes) -> None:
        """What the primary sends: lines of the handshake, then a copy or nothing, then the stream."""
        if self.upstream is None:
            return
        if self.stage == "stream":
            for frame in self.upstream.feed(data):
                self._frame(frame)
            self._apply_next()
            return
        self.coming += data
        while self.stage not in ("copy", "stream"):
            end = self.coming.find(b"\r\n")
            if end < 0:
                return
            line = bytes(self.coming[:end])
            del self.coming[: end + 2]
            if not self._handshake(line):
                return
        if self.stage == "copy" and not self._copy():
            return
        rest = bytes(self.coming)
        self.coming.clear()
        if rest:
            self._stream(rest)

    def _frame(self, frame: bytes) -> None:
        """One command of the stream; a unit is applied and counted as one."""
        if self.unit or frame == MULTI:
            self.unit.append(frame)
            if frame != EXEC:
                return
            frame = b"".join(self.unit)
            self.unit.clear()
        self.inbox.append(frame)

    def _handshake(self, line: bytes) -> bool:
        """One answer of the primary; false if it did not go on."""
        if self.stage == "ping":
            self.stage = "port"
            self.actions.append(Act("send", UPSTREAM, command("REPLCONF", "listening-port", "0")))
        elif self.stage == "port":
            self.stage = "psync"
            self.actions.append(Act("send", UPSTREAM, command("PSYNC", self.replid, self.offset + 1)))
        else:
            words = line[1:].split()
            if words[:1] == [b"CONTINUE"]:
                if len(words) > 1 and words[1].decode() != self.replid:
                    self.replid2, self.second = self.replid, self.offset + 1
                    self.replid = words[1].decode()
                    self._part()
                self._following()
            elif words[:1] == [b"FULLRESYNC"]:
                self.stage, self.resync = "copy", (words[1].decode(), int(words[2]))
            else:
                self._reconnect()
                return False
        return True

    def _copy(self) -> bool:
        """A whole copy, as a bulk without its end; false until it is here."""
        end = self.coming.find(b"\r\n")
        if end < 0:
            return False
        size = int(self.coming[1:end])
        if len(self.coming) < end + 2 + size:
            return False
        self.store.load(bytes(self.coming[end + 2 : end + 2 + size]))
        del self.coming[: end + 2 + size]
        self.replid, self.offset = self.resync
        self.replid2, self.second = "0" * 40, -1
        self.backlog.clear()
        self._part()
        self._following()
        return True

    def _following(self) -> None:
        self.stage, self.linked = "stream", True
        self._ack()

    def _ack(self) -> None:
        if self.linked:
            self.actions.append(Act("send", UPSTREAM, command("REPLCONF", "ACK", self.offset)))
            self._at(self.now + ACK_EVERY, self._ack_if(self.upstream))

    def _ack_if(self, upstream: Scanner | None) -> Callable[[], None]:
        return lambda: self._ack() if self.upstream is upstream else None

    def _apply_next(self) -> None:
        """One thread applies the log, one write after the other."""
        while self.inbox and not self.applying and not self.apply_held and not self.faults.hang:
            work = self.apply_work * self.faults.apply
            if work > 0:
                self.applying = True
                self._at(self.now + work, self._applied)
                return
            self._apply_one()

    def _applied(self) -> None:
        self.applying = False
        if self.inbox:
            self._apply_one()
        self._apply_next()

    def _apply_one(self) -> None:
        raw = self.inbox.popleft()
        reader = CommandReader(1 << 30)
        reader.feed(raw)
        while (args := reader.next()) is not None:
            if args[0].upper() not in (b"PING", b"MULTI", b"EXEC"):
                self.store.apply(args, self.now)
        self._log(raw)

    def thaw(self, now: float) -> list[Act]:
        """A hang ends: what was swallowed stays swallowed and its connections stay silent, the rest goes on."""
        self._begin(now)
        self.faults.hang = False
        self._apply_next()
        for conn in list(self.conns.values()):
            self._next(conn)
        return self.actions
