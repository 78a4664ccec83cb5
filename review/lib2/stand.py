"""Stand-ins for the cases 6 to 10: nodes, discovery and clients on loopback, and the router as a separate process.

Nothing here imports the project. The router is started with the line `run` of deploy/balancer.toml, from the root of
the repository, with the environment that DEPLOY.md describes. Nodes, discovery and clients follow PROTOCOL.md.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
EXTRA_WITHIN_SECONDS = 0.001  # after an answer
READY = b"Z\0\0\0\x05I"
AUTH_OK = b"R\0\0\0\x08\0\0\0\0"


class CouldNotRun(Exception):
    """The case could not be played."""


# ---- PostgreSQL messages


def message(kind: bytes, body: bytes) -> bytes:
    return kind + struct.pack("!I", len(body) + 4) + body


def parameter(name: str, value: str) -> bytes:
    return message(b"S", f"{name}\0{value}\0".encode())


def row(value: bytes, tag: bytes, column: bytes = b"content") -> bytes:
    column_type = b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"
    return (
        message(b"T", b"\0\x01" + column + b"\0" + column_type)
        + message(b"D", b"\0\x01" + struct.pack("!I", len(value)) + value)
        + message(b"C", tag + b"\0")
    )


def error(code: str, text: str) -> bytes:
    return message(b"E", f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode())


def startup() -> bytes:
    body = b"\0\x03\0\0user\0backend\0database\0store\0\0"
    return struct.pack("!I", len(body) + 4) + body


def query(text: str) -> bytes:
    return message(b"Q", text.encode() + b"\0")


def select(key: str, comment: str) -> str:
    return f"SELECT content FROM kv WHERE name = '{key}' /* {comment} */"


def insert(key: str, value: bytes, comment: str) -> str:
    return f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value.hex()}') RETURNING content /* {comment} */"


_STATEMENT = re.compile(r"(SELECT|INSERT).*?'([^']*)'(?:, '\\x([0-9a-f]*)')?.*/\* (.*) \*/", re.S)


class Statement:
    """A statement as a node reads it."""

    def __init__(self, text: str) -> None:
        found = _STATEMENT.fullmatch(text)
        if found is None:
            raise ValueError(text)
        self.writes = found[1] == "INSERT"
        self.key = found[2]
        self.value = bytes.fromhex(found[3] or "")
        self.pairs = dict(part.split("=", 1) for part in found[4].split(","))
        self.id = self.pairs["id"]


# ---- the record


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path, flushes: bool = False) -> None:
        self.flushes = flushes
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.time()

    def note(self, text: str) -> None:
        self.file.write(f"{time.time() - self.began:9.4f} {text}\n")
        if self.flushes:
            self.file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


# ---- nodes


class Node:
    """A node that listens on a free port. `answer` makes the answer to a statement; None sends none."""

    def __init__(
        self,
        name: str,
        record: Record,
        answer: Callable[[Node, Statement], bytes | None],
        usage: Callable[[Node], str],
        delay: float = 0.01,
    ) -> None:
        self.name, self.record, self.answer, self.usage, self.delay = name, record, answer, usage, delay
        self.extra: Callable[[Node, Statement], bytes] = lambda node, statement: b""
        self.piece_seconds = 0.0  # from an answer's first piece to its second
        self.gone: Callable[[Node, Statement], None] = lambda node, statement: None
        self.work: Callable[[Statement], float] = lambda statement: self.delay
        self.hung = False  # takes requests and answers nothing
        self.held = 0  # statements without an answer
        self.server: asyncio.Server | None = None
        self.address = ""
        self.links: set[NodeLink] = set()

    async def start(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(lambda: NodeLink(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"


class NodeLink(asyncio.Protocol):
    """A connection that a node accepted."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.buffer = b""
        self.started = False
        self.waiting = 0
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.node.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.node.links.discard(self)
        self.node.held -= self.waiting
        self.waiting = 0

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while True:
            head = 1 if self.started else 0
            if len(self.buffer) < head + 4:
                return
            (length,) = struct.unpack_from("!I", self.buffer, head)
            if len(self.buffer) < head + length:
                return
            kind, body = self.buffer[:head], self.buffer[head + 4 : head + length]
            self.buffer = self.buffer[head + length :]
            self.handle(kind, body)

    def handle(self, kind: bytes, body: bytes) -> None:
        node = self.node
        if kind == b"":
            self.started = True
            self.transport.write(AUTH_OK + READY)
        elif kind == b"X":
            self.transport.close()
        elif kind == b"Q" and body == b"SHOW usage\0":
            usage = node.usage(node)
            node.record.note(f"{node.name} probed: {usage}")
            if not node.hung:
                self.transport.write(row(usage.encode(), b"SHOW", b"usage") + READY)
        elif kind == b"Q":
            text = body[:-1].decode()
            try:
                statement = Statement(text)
            except ValueError:
                node.record.note(f"{node.name} can't read {text[:80]!r}")
                self.transport.write(error("08P01", "not a statement") + READY)
                return
            node.record.note(
                f"{node.name} got {statement.id} {'write' if statement.writes else 'read'} {statement.key}"
                f" d={statement.pairs['d']}"
            )
            self.waiting += 1
            node.held += 1
            asyncio.get_running_loop().call_later(node.work(statement), self.finish, statement)

    def finish(self, statement: Statement) -> None:
        node = self.node
        if node.hung:
            return
        answer = node.answer(node, statement)
        if self.transport.is_closing():
            node.gone(node, statement)
            return
        if answer is None:
            return
        self.waiting -= 1
        node.held -= 1
        if node.piece_seconds:  # the last 20 bytes come later
            whole = answer + READY
            self.transport.write(whole[:-20])
            asyncio.get_running_loop().call_later(node.piece_seconds, self.transport.write, whole[-20:])
        else:
            self.transport.write(answer + READY)
        if extra := node.extra(node, statement):
            asyncio.get_running_loop().call_soon(self.send_extra, extra, statement, time.time())

    def send_extra(self, extra: bytes, statement: Statement, answered_at: float) -> None:
        """Send more than belongs to an answer, right behind it, if nothing else waits on the connection.

        It is the node's next write on the connection, and left out if that comes later than `EXTRA_WITHIN_SECONDS`.
        """
        late = time.time() - answered_at
        if late <= EXTRA_WITHIN_SECONDS and not self.waiting and not self.transport.is_closing():
            self.transport.write(extra)
            self.node.record.note(
                f"{self.node.name} sent more behind {statement.id}, {1e6 * late:.0f} us later"
            )


# ---- discovery


class Discovery(asyncio.Protocol):
    """One connection to discovery; `Lists` holds the list."""

    def __init__(self, lists: Lists) -> None:
        self.lists = lists
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.lists.watches = [one for one in self.lists.watches if one[0] is not self]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            target = head.split(b" ")[1].decode()
            found = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
            lists = self.lists
            lists.record.note(f"discovery asked: {target}")
            if found is None:
                self.answer(lists.whole())
            elif lists.rev > int(found[1]):
                self.answer(lists.whole() if lists.always_whole else lists.changes(int(found[1])))
            else:
                watch = (self, int(found[1]))
                lists.watches.append(watch)
                asyncio.get_running_loop().call_later(int(found[2]) / 1000, self.end_wait, watch)

    def end_wait(self, watch: tuple[Discovery, int]) -> None:
        if watch in self.lists.watches:
            self.lists.watches.remove(watch)
            self.answer(self.lists.changes(watch[1]))

    def answer(self, content: dict[str, Any]) -> None:
        body = json.dumps(content).encode()
        self.lists.record.note(f"discovery told: {body.decode()}")
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )


class Lists:
    """The list of nodes, and the server that tells it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rev = 1
        self.always_whole = False  # changes are answered with the whole list, as PROTOCOL.md allows
        self.entries: dict[str, dict[str, Any]] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.watches: list[tuple[Discovery, int]] = []
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.get_running_loop().create_server(lambda: Discovery(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def set(
        self, node: Node, group: int, state: str = "SERVING", access: str = "reader", boot_ms: int = 0
    ) -> None:
        entry = {
            "uid": node.name,
            "endpoint": node.address,
            "az": "hall",
            "model": "m",
            "pod_group": group,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
            "access": access,
        }
        self.rev += 1
        self.log.append((self.rev, entry))
        if state == "DELETED":
            self.entries.pop(node.name, None)
        else:
            self.entries[node.name] = entry
        waiting, self.watches = self.watches, []
        for connection, after in waiting:
            connection.answer(self.whole() if self.always_whole else self.changes(after))

    def whole(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def changes(self, after: int) -> dict[str, Any]:
        newest = {entry["uid"]: entry for rev, entry in self.log if rev > after}
        return {"rev": self.rev, "all": False, "targets": list(newest.values())}


# ---- settings, in the form and with the figures of WIRE's example


def service(
    name: str, semantics: str, aim: float, deadline: float, points: float, **more: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "semantics": semantics,
        "aim_s": aim,
        "deadline_s": deadline,
        "points": points,
        "late_worth": 0.0,
        "group": "all",
        "streamed": False,
        "window_s": 5.0,
        **more,
    }


def settings() -> dict[str, Any]:
    """The settings of WIRE's example: its classes, limits and figures, one router and no tenants."""
    return {
        "allowed": {
            "conn_idle_s": 30.0,
            "connect_timeout_s": 0.25,
            "max_attempts": 6,
            "max_open": 20000,
            "max_retry_after_s": 1.0,
            "may_cancel": True,
            "parallel_tries": False,
            "peers": False,
            "probing": True,
            "retry_after": True,
            "streams_per_conn": 1,
        },
        "balancers": 1,
        "client_habits": {"marks_retry": True},
        "domain_type": "replicas",
        "family_info": {
            "base_time_s": 0.0,
            "behind": "off",
            "class_read": ["recent", "own_writes", "loose", "loose", "update"],
            "role_in_list": "initial",
            "staleness_bound_s": [0.8, 0.0, 0.0, 0.0, 0.0],
            "stamps": True,
            "token_mode": "client",
            "wait_s": 0.0,
            "waits_for_copy": False,
        },
        "feedback": {"fields": ["x0", "x1", "outstanding", "backlog"], "how": "on_probe"},
        "membership_mode": "subscribe",
        "over_share_worth": 0.05,
        "position": 0,
        "rules": {
            "ask_within_s": 10.0,
            "cold_s": 18.0,
            "cold_share": 0.17,
            "drain_grace_s": 2.0,
            "fall_multiple": 3.0,
            "fall_s": 3.0,
            "grace_to_answer_s": 0.02,
        },
        "services": [
            service("trace-view", "retryable", 0.5, 2.0, 1.0),
            service("own-picks", "retryable", 0.5, 1.2, 3.0),
            service("alert-check", "retryable", 0.4, 1.2, 3.0),
            service("period-report", "retryable", 4.0, 8.0, 6.0),
            service("pick-save", "fragile", 1.0, 2.0, 6.0, late_worth=0.3),
        ],
        "tenants": [],
        "tier": 0,
        "zone": "dighomi-hall",
        "zones": ["dighomi-hall"],
    }


# ---- the router


class Router:
    """The router's process, started with the line `run` of the deploy file."""

    def __init__(self, folder: Path, lists: Lists, record: Record, **config: Any) -> None:
        self.folder, self.record, self.lists = folder, record, lists
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": lists.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": lists.whole(),
            "settings": settings(),
            **config,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        self.log = open(self.folder / "router.log", "wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        until = time.time() + 30
        while time.time() < until and self.process.returncode is None:
            try:
                client = await Client.connect(self.port, self.record, "ready")
                if await client.ask(query("")) is not None:
                    client.close()
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun("the router is not ready: " + (self.folder / "router.log").read_text()[-600:])

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.note(f"signal {number} to the router")
        self.process.send_signal(number)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        log = self.folder / "router.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                self.record.note(f"router's log: {line}")


# ---- clients


class Answer:
    """The answer to one command: its messages' types, the value of a served request or the SQLSTATE of an error."""

    def __init__(self, data: bytes) -> None:
        self.kinds, self.value, self.code, pos = "", b"", "", 0
        while pos < len(data):
            kind = chr(data[pos])
            (length,) = struct.unpack_from("!I", data, pos + 1)
            body = data[pos + 5 : pos + 1 + length]
            pos += 1 + length
            self.kinds += kind
            if kind == "D":
                self.value = body[6:]
            elif kind == "E":
                fields = {part[:1]: part[1:] for part in body.split(b"\0") if part}
                self.code = fields.get(b"C", b"").decode()

    @property
    def served(self) -> bool:
        return not self.code and "D" in self.kinds

    def __str__(self) -> str:
        return f"served {self.value[:24].decode('latin-1')!r}" if self.served else f"{self.kinds} {self.code}"


class Client:
    """A client's connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record, name: str
    ) -> None:
        self.reader, self.writer, self.record, self.name = reader, writer, record, name
        self.buffer = b""

    @classmethod
    async def connect(cls, port: int, record: Record, name: str, speak: bool = True) -> Client:
        client = cls(*await asyncio.open_connection("127.0.0.1", port), record, name)
        client.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if speak:
            client.writer.write(startup())
            if await client.read_answer() is None:
                raise OSError("the router closed a new connection")
        return client

    async def read_answer(self) -> Answer | None:
        """The messages up to the next ReadyForQuery, or None if the connection ended without them."""
        pos = 0
        while True:
            while len(self.buffer) - pos >= 5:
                (length,) = struct.unpack_from("!I", self.buffer, pos + 1)
                if len(self.buffer) - pos < 1 + length:
                    break
                kind = self.buffer[pos : pos + 1]
                pos += 1 + length
                if kind == b"Z":
                    data, self.buffer = self.buffer[:pos], self.buffer[pos:]
                    return Answer(data)
            try:
                data = await self.reader.read(65536)
            except OSError:
                return None
            if not data:
                fatal, self.buffer = self.buffer, b""
                return Answer(fatal[:pos]) if pos else None
            self.buffer += data

    async def ask(self, data: bytes) -> Answer | None:
        self.writer.write(data)
        return await self.read_answer()

    def close(self) -> None:
        self.writer.close()


def play(
    case: Callable[[Path, Record], Coroutine[Any, Any, int]], folder: Path, limit: float = 110.0
) -> None:
    """Run a case with its record and a temporary folder; exit with its verdict."""
    record = Record(folder)
    record.say(f"case {folder.name}, TROUBLE={int(TROUBLE)}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as place:
            try:
                async with asyncio.timeout(limit):
                    return await case(Path(place), record)
            except CouldNotRun as reason:
                record.say(f"could not run: {reason}")
            except Exception as fault:  # the case itself failed
                record.say(f"could not run: {type(fault).__name__}: {fault}")
            return COULD_NOT_RUN

    code = asyncio.run(run())
    record.say({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no verdict"}[code])
    record.file.close()
    sys.exit(code)
