"""The router on the platform: what `run` starts. Environment and configuration, signals, the budget of descriptors.

    python -m banklift.net.service

Theory of operation. The configuration is read once, whole, and a fault in it ends the program with one line and exit
code 2. Time is Unix time that never goes back: the platform tells positions and starts in Unix milliseconds, and all
its machines read one clock.

SIGTERM: the platform kills no earlier than `KILL` seconds and the longest deadline (`LONGEST` at the most) later. Until
shortly before that, connections that clients have are served, as they have no other way in, and whatever comes is
answered by then; then the listener and idle connections close, and the program ends. SIGHUP: the configuration is read
again; a good one moves discovery to its new address, a bad one changes nothing and is told in the log.
"""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from banklift.adapter import WireError, parse_settings
from banklift.discovery import catalogue, client
from banklift.interface import ListKind, Settings
from banklift.net.env import Env, Handle, Peer
from banklift.net.router import Log, RouterHost
from banklift.net.sockets import SocketEnv
from banklift.pg.front import PgFront
from banklift.pg.wire import PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits

VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG")
KILL, LONGEST = 0.7, 3.0  # seconds from SIGTERM to SIGKILL: this, and the longest deadline up to that
WIND_DOWN = 0.5  # seconds before that from which nothing new is read
SPARE = 0.1  # seconds before it by which all is answered
REST = 2.0  # seconds after which an idle client's connection is closed
MARGIN = 0.005  # seconds of a request's time that are kept for the answer's way back
IDLE_PART = 0.6  # of the time after which a node closes an idle link: it is closed here before that
PROBE = 0.25  # seconds in which a probe is answered; the settings don't tell
OTHERS = 16  # descriptors for the listener, discovery, logs, the event loop
CLIENTS_PART = 0.5  # of the other descriptors; nodes have the rest


class BadConfig(Exception):
    """The program can't run with this; the text names place and fault."""


@dataclass(frozen=True, slots=True)
class Start:
    """All that the platform tells a router."""

    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    known: catalogue.Catalogue | None
    settings: Settings
    idle: float  # seconds after which nodes close an idle link
    connect: float  # seconds in which a link comes up
    probe: float  # seconds in which a probe is answered


def _object(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise BadConfig(f"{name}: an object is needed")
    return value


def _address(value: object, name: str) -> str:
    text = value if isinstance(value, str) else ""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise BadConfig(f"{name}: host:port is needed, not {value!r}")
    return text


def _seconds(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 86_400:
        raise BadConfig(f"settings.allowed.{name}: seconds above 0 are needed, not {value!r}")
    return float(value)


def read(environment: dict[str, str]) -> Start:
    """Errors: `BadConfig`."""
    for variable in VARIABLES:
        if not environment.get(variable):
            raise BadConfig(f"the variable {variable} is not set")
    path = environment["ROUTER_CONFIG"]
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise BadConfig(f"{path}: {error.strerror}") from None
    try:
        config = _object(msgspec.json.decode(data), path)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadConfig(f"{path}: not JSON: {error}") from None
    try:
        return parse(config, environment)
    except BadConfig as error:
        raise BadConfig(f"{path}: {error}") from None


def parse(config: dict[str, Any], environment: dict[str, str]) -> Start:
    """Errors: `BadConfig`."""
    settings = _object(config.get("settings"), "settings")
    limits = _object(config.get("limits", {}), "limits")
    sockets = limits.get("sockets", 1024)
    if not isinstance(sockets, int) or sockets < 64:
        raise BadConfig(f"limits.sockets: a number from 64 is needed, not {sockets!r}")
    try:
        parsed = parse_settings(settings)
    except (WireError, KeyError, TypeError, ValueError) as error:
        text = f"lacks {error}" if isinstance(error, KeyError) else str(error)
        raise BadConfig(f"settings: {text}") from None
    allowed = _object(settings.get("allowed") or {}, "settings.allowed")
    try:
        seed = int(str(config.get("seed", "0")), 16)
        known = catalogue.convert(config["known"]) if config.get("known") else None
    except (ValueError, catalogue.BadList) as error:
        raise BadConfig(f"seed or known: {error}") from None
    return Start(
        name=str(config.get("name") or environment["ROUTER_NAME"]),
        listen=_address(config.get("listen", environment["ROUTER_LISTEN"]), "listen"),
        discovery=_address(config.get("discovery", environment["ROUTER_DISCOVERY"]), "discovery"),
        seed=seed, sockets=sockets, known=known, settings=parsed, idle=_seconds(allowed, "conn_idle_s", 30.0),
        connect=_seconds(allowed, "connect_timeout_s", 0.25), probe=PROBE)


def build(start: Start) -> Machine:
    clients = max(8, int((start.sockets - OTHERS) * CLIENTS_PART))
    links = max(8, start.sockets - OTHERS - clients)
    limits = Limits(clients=clients, pipeline=16, links=links, all_links=links, waiting=256, queue=4096,
                    connect=start.connect, probe=start.probe, margin=MARGIN, idle=IDLE_PART * start.idle)
    return Machine(start.settings, limits, 0, start.seed, PgWire(),
                   lambda core: PgFront(core, start.settings, limits, REST))


class Discovery:
    """Carries out what `client.Client` says, and tells the machine."""

    def __init__(self, env: Env, core: client.Client, tell: Callable[[ev.Roster], None],
                 log: Log) -> None:
        self.env, self.core, self.tell, self.log = env, core, tell, log
        self.wire: _Line | None = None
        self.carrying = False

    def ask(self, watch: bool) -> None:
        self.core.ask(self.env.now(), watch)
        self.carry()

    def move(self, address: str) -> None:
        self.core.move(self.env.now(), address)
        self.carry()

    def carry(self) -> None:
        if self.carrying:
            return
        self.carrying = True
        while self.core.actions:
            match self.core.actions.pop(0):
                case client.Connect(address):
                    self.wire = _Line(self)
                    self.wire.handle = self.env.connect(address, self.wire)
                case client.Send(data):
                    if self.wire is not None and self.wire.handle is not None:
                        self.wire.handle.send(data)
                case client.Close():
                    if self.wire is not None and self.wire.handle is not None:
                        self.wire.handle.close()
                    self.wire = None
                case client.Tell(roster, reason):
                    if reason:
                        self.log("discovery failed", {"reason": reason})
                    self.tell(roster)
        self.carrying = False
        if self.core.due < float("inf"):
            due = self.core.due
            self.env.at(due, lambda: self._due(due))

    def _due(self, due: float) -> None:
        if self.core.due == due:
            self.core.tick(self.env.now())
            self.carry()


class _Line(Peer):
    """One connection to the catalogue; once it is another's turn, what happens here is not told."""

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.handle: Handle | None = None

    def up(self, handle: Handle) -> None:
        if self.owner.wire is self:
            self.owner.core.connected(self.owner.env.now())
            self.owner.carry()

    def data(self, data: bytes) -> None:
        if self.owner.wire is self:
            self.owner.core.data(self.owner.env.now(), data)
            self.owner.carry()

    def eof(self) -> None:
        self.data(b"")

    def lost(self, reason: str) -> None:
        if self.owner.wire is self:
            self.owner.core.lost(self.owner.env.now(), reason)
            self.owner.carry()


async def serve(start: Start, environment: dict[str, str]) -> None:
    """Run until SIGTERM or SIGINT, and until what was taken is answered. Errors: `OSError` if the address can't be
    had."""
    def log(event: str, fields: dict[str, object]) -> None:
        logging.info(msgspec.json.encode({"router": start.name, "event": event, **fields}).decode())

    zero = time.time() - time.monotonic()
    machine = build(start)
    gc.collect()  # what is there by now stays for good; what requests leave behind has no cycles
    gc.freeze()
    gc.set_threshold(2_000, 5, 5)  # what is not frozen is little, so looking at all of it is cheap
    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks, lambda: time.monotonic() + zero, alone=True)
        core = client.Client(start.discovery, version=start.known.rev if start.known is not None else None)
        discovery = Discovery(env, core, lambda roster: host.tell(roster), log)
        host = RouterHost(env, machine, start.listen, log, ask=discovery.ask)
        host.tell(catalogue.roster(start.known, ListKind.CACHED) if start.known is not None
                  else ev.Roster((), ListKind.CACHED))
        log("listening", {"address": host.address})
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                try:
                    again = read(environment)
                except BadConfig as error:
                    log("configuration refused, the old one stays", {"reason": str(error)})
                else:
                    log("configuration read again", {"discovery": again.discovery})
                    discovery.move(again.discovery)
            log("leaving", {"signal": signal.Signals(number).name})
            left = KILL + min(LONGEST, max(kind.deadline for kind in start.settings.classes))
            host.drain(env.now() + left - SPARE)
            await anyio.sleep(left - WIND_DOWN)
            host.leave()
            with anyio.move_on_after(WIND_DOWN):
                while host.clients:
                    await anyio.sleep(0.02)
            log("left", {"unanswered": len(machine.open)})
        tasks.cancel_scope.cancel()


def main() -> int:
    # not structlog, which takes half of all the time until the router listens
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    environment = dict(os.environ)
    try:
        start = read(environment)
    except BadConfig as error:
        print(f"banklift: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, start, environment)
    except BaseExceptionGroup as group:
        refused = group.subgroup(OSError)
        if refused is None:
            raise
        print(f"banklift: listen: {start.listen}: {refused.exceptions[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
