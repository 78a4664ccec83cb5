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

import heapq
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.resp.commands import Kind, lookup
from banklift.resp.frames import CommandReader, Error, ProtocolError, Scanner, Simple, command, encode

BACKLOG = 1024 * 1024  # bytes of the log kept for partial resyncs
ACK_EVERY = 0.1  # seconds between a replica's acknowledgements
OK = Simple("OK")


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
    follower: bool = False  # a replica that gets the stream
    acked: int = -1
    port: int = 0
    name: str = ""
    ready: float = 0.0
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Act:
    """What the node wants done: `send`, `close` or `connect` (data: the address); or what a tap may record:
    `command`, `ran`, `answer`."""

    what: str
    conn: int
    data: bytes = b""
    args: tuple[bytes, ...] = ()
    source: str = ""


UPSTREAM = 0  # number of a replica's connection to its primary


class Node:
    """`work`: seconds that a command takes on one core; `apply`: seconds that applying one write takes."""

    def __init__(self, name: str, seed: int, cores: int = 4, work: float = 0.001, apply: float = 0.0001) -> None:
        self.name = name
        self.random = Random(seed)
        self.cores = cores
        self.work, self.apply_work = work, apply
        self.faults = Faults()
        self.data: dict[bytes, object] = {}
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
        self.inbox: deque[bytes] = deque()  # stream frames received, not applied
        self.applying = False
        self.apply_held = 0  # long reads during which nothing is applied
        self.cold_since: float | None = None
        self.cold_share, self.cold_time = 1.0, 0.0
        self.pushed: deque[tuple[float, float]] = deque()
        self.epoch = 0  # of its life: what was begun before a kill does not go on

    def _new_id(self) -> str:
        return f"{self.random.getrandbits(160):040x}"

    # ---- events; each returns what is to be done

    def opened(self, now: float, conn: int, source: str) -> list[Act]:
        self._begin(now)
        if len(self.conns) >= self.faults.cap:
            self.actions += [Act("send", conn, b"-ERR max number of clients reached\r\n"),
                             Act("close", conn, b"full")]
            return self.actions
        self.conns[conn] = Conn(conn, source, CommandReader(256 * 1024 * 1024), now,
                                ready=now + self.faults.handshake)
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
                self.actions.append(Act("command", conn, args=tuple(args), source=state.source))
        except ProtocolError as error:
            self._send(state, encode(Error(f"ERR Protocol error: {error}")))
            self._close(state)
            return self.actions
        if state.ready > now:
            self._at(state.ready, lambda: self._next(state))
        else:
            self._next(state)
        return self.actions

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
        self.primary, self.linked, self.upstream = None, False, None
        self.inbox.clear()
        self.actions.append(Act("close", UPSTREAM))
        self.replid2, self.second = self.replid, self.offset + 1
        self.replid = self._new_id()
        for conn in [conn for conn in self.conns.values() if conn.follower]:
            self._close(conn)  # they ask again and learn of the new history
        return self.actions

    def killed(self, now: float) -> None:
        """The process died: data and log stay on disk, connections and work do not."""
        self._begin(now)
        self.epoch += 1
        self.conns.clear()
        self.waiting.clear()
        self.inbox.clear()
        self.timers.clear()
        self.running, self.applying, self.linked, self.upstream = 0, False, False, None
        self.apply_held = 0

    def restarted(self, now: float, share: float, time: float, keeps: bool) -> list[Act]:
        """Start again, cold: at `share` of its capacity, warm after `time` seconds. `keeps`: it still knows its
        history; else it begins another one with the same data."""
        self._begin(now)
        self.cold_since, self.cold_share, self.cold_time = now, share, time
        if not keeps:
            self.replid, self.replid2, self.second = self._new_id(), "0" * 40, -1
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
            if conn.ready > self.now:
                return
            name = conn.queue[0][0].upper()
            asks = name in (b"ROLE", b"INFO")
            if self.faults.hang and not (asks and not self.faults.hang_probes):
                args = conn.queue.popleft()
                if self.random.random() < self.faults.hang_runs:
                    self._run(conn, args)
                continue
            known = lookup(name)
            if asks or known is None or known.kind not in (Kind.READ, Kind.WRITE):
                self._send(conn, self._special(conn, name, conn.queue.popleft()))
                continue
            if conn.units is not None:
                conn.units.append(conn.queue.popleft())
                refused = known.kind is Kind.WRITE and (self.primary is not None or self.readonly)
                conn.spoilt = conn.spoilt or refused
                self._send(conn, encode(self._readonly() if refused else Simple("QUEUED")))
                continue
            conn.busy = True
            self.waiting.append(conn)
        self._start()

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
            if self.random.random() < self.faults.hang_runs:
                self._run(conn, args)
        elif self.faults.cut and self.random.random() < self.faults.cut:
            if self.random.random() < 0.5:
                self._run(conn, args)
            if not conn.closed:
                self._close(conn)
        else:
            answer = self._run(conn, args)
            self._send(conn, answer)
            if not conn.closed:
                self.actions.append(Act("answer", conn.id, answer, tuple(args), conn.source))
        self._start()
        self._next(conn)

    def _readonly(self) -> Error:
        return Error("READONLY You can't write against a read only replica.")

    def _run(self, conn: Conn, args: list[bytes]) -> bytes:
        """Execute one command, or a unit on EXEC."""
        known = lookup(args[0])
        if known is None or known.kind not in (Kind.READ, Kind.WRITE):
            return b""
        if known.kind is Kind.WRITE:
            if self.primary is not None or self.readonly:
                return encode(self._readonly(), conn.proto)
            answer = self._apply(args)
            if not isinstance(answer, Error):
                self._append(args)
            self.actions.append(Act("ran", conn.id, args=tuple(args), source=conn.source))
            return encode(answer, conn.proto)
        return encode(self._apply(args), conn.proto)

    def _special(self, conn: Conn, name: bytes, args: list[bytes]) -> bytes:
        proto = conn.proto
        match name:
            case b"ROLE":
                return encode(self._role(), proto)
            case b"INFO":
                return encode(self._info(), proto)
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
                units, conn.units = conn.units or [], None
                if conn.spoilt:
                    return encode(Error("EXECABORT Transaction discarded because of previous errors."), proto)
                parts = [self._run(conn, unit) for unit in units]
                return b"*%d\r\n" % len(parts) + b"".join(parts)
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
            return ["master", self.offset, [["127.0.0.1", str(conn.port), str(max(0, conn.acked))]
                                            for conn in self.conns.values() if conn.follower]]
        host, _, port = self.primary.rpartition(":")
        state = "connected" if self.linked else "connect" if self.upstream is None else "sync"
        return ["slave", host, int(port), state, self.offset if self.linked or self.offset else -1]

    def _info(self) -> str:
        held = sum(len(conn.queue) + conn.busy for conn in self.conns.values())
        lines = ["# Replication", f"role:{'master' if self.primary is None else 'slave'}"]
        if self.primary is not None:
            host, _, port = self.primary.rpartition(":")
            lines += [f"master_host:{host}", f"master_port:{port}",
                      f"master_link_status:{'up' if self.linked else 'down'}",
                      f"slave_repl_offset:{self.offset}"]
        lines += [f"connected_slaves:{sum(conn.follower for conn in self.conns.values())}",
                  f"master_replid:{self.replid}", f"master_replid2:{self.replid2}",
                  f"master_repl_offset:{self.offset}", f"second_repl_offset:{self.second}",
                  f"commands_in_flight:{int(held * self.faults.understate)}"]
        return "\r\n".join(lines) + "\r\n"

    # ---- data

    def _apply(self, args: list[bytes]) -> object:
        """What a command does to the data, and its answer."""
        name, key, data = args[0].upper(), args[1], self.data
        match name:
            case b"GET":
                value = data.get(key)
                return value if value is None or isinstance(value, bytes) else Error(
                    "WRONGTYPE Operation against a key holding the wrong kind of value")
            case b"SET":
                data[key] = args[2]
                return OK
            case b"MGET":
                found = [data.get(key) for key in args[1:]]
                return [value if isinstance(value, bytes) else None for value in found]
            case b"MSET":
                for place in range(1, len(args) - 1, 2):
                    data[args[place]] = args[place + 1]
                return OK
            case b"DEL" | b"UNLINK":
                return sum(data.pop(key, None) is not None for key in args[1:])
            case b"EXISTS":
                return sum(key in data for key in args[1:])
            case b"STRLEN":
                value = data.get(key, b"")
                return len(value) if isinstance(value, bytes) else 0
            case b"TYPE":
                kinds: dict[type, str] = {bytes: "string", list: "list", dict: "hash"}
                return Simple(kinds.get(type(data.get(key)), "none"))
            case b"APPEND":
                value = data.get(key, b"")
                data[key] = (value if isinstance(value, bytes) else b"") + args[2]
                return len(data[key])  # type: ignore[arg-type]
            case b"INCR" | b"DECR" | b"INCRBY" | b"DECRBY":
                step = int(args[2]) if len(args) > 2 else 1
                value = data.get(key, b"0")
                try:
                    number = int(value) + (step if name.startswith(b"INCR") else -step)  # type: ignore[call-overload]
                except (TypeError, ValueError):
                    return Error("ERR value is not an integer or out of range")
                data[key] = b"%d" % number
                return number
            case b"RPUSH" | b"LPUSH":
                values = data.setdefault(key, [])
                if not isinstance(values, list):
                    return Error("WRONGTYPE Operation against a key holding the wrong kind of value")
                for value in args[2:]:
                    values.insert(len(values) if name == b"RPUSH" else 0, value)
                return len(values)
            case b"LRANGE":
                values = data.get(key, [])
                if not isinstance(values, list):
                    return Error("WRONGTYPE Operation against a key holding the wrong kind of value")
                first, last = int(args[2]), int(args[3])
                first = max(0, first + len(values)) if first < 0 else first
                last = last + len(values) if last < 0 else last
                return values[first:last + 1]
            case b"LLEN":
                values = data.get(key, [])
                return len(values) if isinstance(values, list) else 0
            case b"HSET":
                fields = data.setdefault(key, {})
                if not isinstance(fields, dict):
                    return Error("WRONGTYPE Operation against a key holding the wrong kind of value")
                new = 0
                for place in range(2, len(args) - 1, 2):
                    new += args[place] not in fields
                    fields[args[place]] = args[place + 1]
                return new
            case b"HGET":
                fields = data.get(key, {})
                return fields.get(args[2]) if isinstance(fields, dict) else None
            case b"HGETALL":
                fields = data.get(key, {})
                return dict(fields) if isinstance(fields, dict) else {}
        return Error(f"ERR the stand-in does not know '{args[0].decode('latin-1')}'")

    # ---- replication

    def _append(self, args: list[bytes]) -> None:
        """A write goes into the log and to whoever follows."""
        self._log(command(*args))

    def _log(self, raw: bytes) -> None:
        self.offset += len(raw)
        self.backlog += raw
        if len(self.backlog) > 2 * BACKLOG:
            del self.backlog[:-BACKLOG]
        for conn in self.conns.values():
            if conn.follower:
                self._send(conn, raw)

    def _psync(self, conn: Conn, args: list[bytes]) -> bytes:
        replid, asked = args[1].decode("latin-1"), int(args[2])  # the first byte it lacks
        lacks = self.offset + 1 - asked
        shared = replid == self.replid or (replid == self.replid2 and asked <= self.second)
        conn.follower = True
        if shared and 0 <= lacks <= len(self.backlog):
            part = bytes(self.backlog[len(self.backlog) - lacks:]) if lacks else b""
            return b"+CONTINUE %b\r\n" % self.replid.encode() + part
        copy = _dump(self.data)
        return b"+FULLRESYNC %b %d\r\n$%d\r\n%b" % (self.replid.encode(), self.offset, len(copy), copy)

    def _reconnect(self) -> None:
        self.linked, self.upstream = False, None
        self.inbox.clear()
        self.actions.append(Act("close", UPSTREAM))
        if self.primary is not None:
            self.actions.append(Act("connect", UPSTREAM, self.primary.encode()))

    def _upstream_lost(self) -> None:
        self.linked, self.upstream = False, None
        self.inbox.clear()  # what was not applied is asked for again
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
            self.inbox += self.upstream.feed(data)
            self._apply_next()
            return
        self.coming += data
        while self.stage not in ("copy", "stream"):
            end = self.coming.find(b"\r\n")
            if end < 0:
                return
            line = bytes(self.coming[:end])
            del self.coming[:end + 2]
            if not self._handshake(line):
                return
        if self.stage == "copy" and not self._copy():
            return
        rest = bytes(self.coming)
        self.coming.clear()
        if rest:
            self._stream(rest)

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
        self.data = _load(bytes(self.coming[end + 2:end + 2 + size]))
        del self.coming[:end + 2 + size]
        self.replid, self.offset = self.resync
        self.replid2, self.second = "0" * 40, -1
        self.backlog.clear()
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
        args = reader.next()
        if args is not None and args[0].upper() != b"PING":
            self._apply(args)
        self._log(raw)

    def thaw(self, now: float) -> list[Act]:
        """A hang ends: what was swallowed stays swallowed, the rest goes on."""
        self._begin(now)
        self.faults.hang = False
        self._apply_next()
        for conn in list(self.conns.values()):
            self._next(conn)
        return self.actions


def _dump(data: dict[bytes, object]) -> bytes:
    def text(value: object) -> object:
        if isinstance(value, bytes):
            return value.decode("latin-1")
        if isinstance(value, list):
            return [text(item) for item in value]
        assert isinstance(value, dict)
        return {str(text(key)): text(item) for key, item in value.items()}

    return json.dumps(text(dict(data))).encode()


def _load(raw: bytes) -> dict[bytes, object]:
    def back(value: object) -> object:
        if isinstance(value, str):
            return value.encode("latin-1")
        if isinstance(value, list):
            return [back(item) for item in value]
        assert isinstance(value, dict)
        return {key.encode("latin-1"): back(item) for key, item in value.items()}

    loaded = back(json.loads(raw))
    assert isinstance(loaded, dict)
    return loaded
