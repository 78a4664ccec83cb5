"""The router on the platform: what `run` starts. Environment and configuration, signals, the budget of descriptors.

    python -m banklift.net.service

Theory of operation. The configuration is read once, whole, and a fault in it ends the program with one line and exit
code 2. Time is Unix time that never goes back: the platform tells positions and starts in Unix milliseconds, and all
its machines read one clock.

Signals are noted with the time at which they come, from the first line of `main` on, and end the wait for sockets: the
event loop would tell of one only after two or three of its turns, and the platform counts from the signal.

SIGTERM: the platform kills no earlier than `KILL` seconds and the longest deadline (`LONGEST` at the most) later.
Whatever comes is answered by `SPARE` before that. Connections that rest are handed back one after another meanwhile
(pg/front.py), as clients keep what they have for as long as it is open; `WIND_DOWN` before the end the listener and the
rest close, and the program ends once all was sent. SIGHUP: the configuration is read again; a good one moves discovery
to its new address, a bad one changes nothing and is told in the log.
"""

from __future__ import annotations

import contextlib
import gc
import logging
import os
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
import msgspec

from banklift.adapter import WireError, parse_settings
from banklift.discovery import catalogue, client
from banklift.interface import ListKind, Settings
from banklift.net.env import Env, Handle, Peer
from banklift.net.router import Log, RouterHost
from banklift.net.sockets import MOST_LINGERING, SocketEnv
from banklift.pg.front import PgFront
from banklift.pg.wire import PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits

VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG")
KILL, LONGEST = 0.7, 3.0  # seconds from SIGTERM to SIGKILL: this, and the longest deadline up to that
WIND_DOWN = 0.5  # seconds before that from which nothing new is read
# seconds before it by which all is answered: a part of a core has as much to write then as a whole one
SPARE = 0.3
LOOK = 0.02  # seconds between looks at whether all was sent
IDLE_TIMEOUT = 2.0  # seconds after which an idle client's connection is closed
MARGIN = 0.005  # seconds of a request's time that are kept for the answer's way back
IDLE_PART = 0.6  # of the time after which a node closes an idle link: it is closed here before that
PROBE_TIMEOUT = 0.25  # seconds in which a probe is answered; the settings don't tell
# seconds until a watch that failed is opened anew, where lists are pushed; doubled each time ...
FIRST_RETRY = 0.1
# ... up to this part of the time in which the settings want a drain heeded: news count from their return
HEEDED = 0.25
LONGEST_RETRY = (
    4.0  # ... and up to so many seconds: 6 s after discovery is back in reach its news count as told
)
# descriptors for the listener, discovery, logs, the event loop, connections that end
OTHERS = 16 + MOST_LINGERING
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
    if value is None or (value == 0 and not isinstance(value, bool)):  # not told, or no such limit
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

    def told(name: str, variable: str) -> object:
        return environment[variable] if config.get(name) is None else config[name]

    settings = _object(config.get("settings"), "settings")
    limits = _object(config.get("limits") or {}, "limits")
    sockets = 1024 if limits.get("sockets") is None else limits["sockets"]
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise BadConfig(f"limits.sockets: a number from 64 is needed, not {sockets!r}")
    try:
        parsed = parse_settings(settings)
    except (WireError, KeyError, TypeError, ValueError) as error:
        text = f"lacks {error}" if isinstance(error, KeyError) else str(error)
        raise BadConfig(f"settings: {text}") from None
    allowed = _object(settings.get("allowed") or {}, "settings.allowed")
    try:
        seed = int(str(config.get("seed") or "0"), 16)
        known = catalogue.convert(config["known"]) if config.get("known") else None
    except (ValueError, catalogue.BadList) as error:
        raise BadConfig(f"seed or known: {error}") from None
    return Start(
        name=str(config.get("name") or environment["ROUTER_NAME"]),
        listen=_address(told("listen", "ROUTER_LISTEN"), "listen"),
        discovery=_address(told("discovery", "ROUTER_DISCOVERY"), "discovery"),
        seed=seed,
        sockets=sockets,
        known=known,
        settings=parsed,
        idle=_seconds(allowed, "conn_idle_s", 30.0),
        connect=_seconds(allowed, "connect_timeout_s", 0.25),
        probe=PROBE_TIMEOUT,
    )


def build(start: Start) -> Machine:
    clients = max(8, int((start.sockets - OTHERS) * CLIENTS_PART))
    links = max(8, start.sockets - OTHERS - clients)
    limits = Limits(
        clients=clients,
        pipeline=16,
        links=links,
        all_links=links,
        waiting=1024,
        queue=4096,
        connect=start.connect,
        probe=start.probe,
        margin=MARGIN,
        idle=IDLE_PART * start.idle,
    )
    return Machine(
        start.settings,
        limits,
        0,
        start.seed,
        PgWire(),
        lambda core: PgFront(core, start.settings, limits, IDLE_TIMEOUT),
    )


class Discovery:
    """Carries out what `client.Client` says, and tells the machine."""

    def __init__(self, env: Env, core: client.Client, tell: Callable[[ev.Roster], None], log: Log) -> None:
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
                    if roster is not None:
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


class Signals:
    """Notes signals as they come: number and time. `told` is called once somebody listens, also for earlier ones."""

    NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.noted: deque[tuple[int, float]] = deque()
        self.told: Callable[[int, float], None] | None = None
        self.wake, wakes = socket.socketpair()  # a byte for each signal, written by the interpreter
        self.wakes = wakes
        for end in (self.wake, wakes):
            end.setblocking(False)
        signal.set_wakeup_fd(wakes.fileno(), warn_on_full_buffer=False)
        for number in self.NUMBERS:
            signal.signal(number, lambda number, frame: self.noted.append((number, self.clock())))

    def listen(self, env: SocketEnv, told: Callable[[int, float], None]) -> None:
        self.told = told
        env.watch(self.wake.fileno(), self)
        self.ready(0)

    def ready(self, events: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self.wake.recv(4096)
        while self.noted and self.told is not None:
            self.told(*self.noted.popleft())


class Service:
    """One router from its start to its end, in surroundings of its own. Errors: `OSError` if the address can't be
    had."""

    def __init__(self, env: SocketEnv, start: Start, environment: dict[str, str], log: Log) -> None:
        self.env, self.start, self.environment, self.log = env, start, environment, log
        self.leaving = False
        self.machine = build(start)
        # then the module waits for lists, and the watch is what brings them
        pushed = not start.settings.must_ask
        most = max(FIRST_RETRY, min(LONGEST_RETRY, HEEDED * start.settings.drain_grace))
        backoff = client.Backoff(FIRST_RETRY, most, Random(start.seed)) if pushed else None
        self.core = client.Client(
            start.discovery, version=start.known.rev if start.known is not None else None, backoff=backoff
        )
        self.discovery = Discovery(env, self.core, lambda roster: self.host.tell(roster), self.log)
        self.host = RouterHost(env, self.machine, start.listen, self.log, ask=self.discovery.ask)
        self.host.tell(
            catalogue.roster(start.known, ListKind.CACHED)
            if start.known is not None
            else ev.Roster((), ListKind.CACHED)
        )
        if pushed:
            self.discovery.ask(True)
        self.log("listening", {"address": self.host.address})

    def signalled(self, number: int, at: float) -> None:
        """`at`: when it came."""
        if number == signal.SIGHUP:
            self._read_again()
        elif not self.leaving:
            self.leaving = True
            self._leave(signal.Signals(number).name, at)

    def _read_again(self) -> None:
        try:
            again = read(self.environment)
        except BadConfig as error:
            self.log("configuration refused, the old one stays", {"reason": str(error)})
        else:
            self.log("configuration read again", {"discovery": again.discovery})
            self.discovery.move(again.discovery)

    def _leave(self, name: str, at: float) -> None:
        kill = at + KILL + min(LONGEST, max(kind.deadline for kind in self.start.settings.classes))
        self.log(
            "leaving", {"signal": name, "after": round(self.env.now() - at, 3), "until": round(kill - at, 3)}
        )
        self.host.drain(kill - SPARE)
        self.env.at(kill - WIND_DOWN, lambda: self._wind_down(kill))

    def _wind_down(self, kill: float) -> None:
        self.host.leave()
        self._look(kill)

    def _look(self, kill: float) -> None:
        """End once every client has what it is owed, all of it sent and its connection ended in order."""
        now = self.env.now()
        if (self.host.clients or self.env.lingering) and now < kill - LOOK:
            self.env.at(now + LOOK, lambda: self._look(kill))
            return
        self.log("left", {"unanswered": len(self.machine.open), "unsent": len(self.env.lingering)})
        self.env.stop()


async def serve(start: Start, environment: dict[str, str], signals: Signals) -> None:
    """Run until SIGTERM or SIGINT, and until what was taken is answered. Errors: `OSError` if the address can't be
    had."""

    def log(event: str, fields: dict[str, object]) -> None:
        logging.info(msgspec.json.encode({"router": start.name, "event": event, **fields}).decode())

    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks, signals.clock, alone=True)
        service = Service(env, start, environment, log)
        gc.collect()  # what is there by now stays for good; what requests leave behind has no cycles
        gc.freeze()
        gc.set_threshold(2_000, 5, 5)  # what is not frozen is little, so looking at all of it is cheap
        signals.listen(env, service.signalled)


def main() -> int:
    # not structlog, which takes half of all the time until the router listens
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    zero = time.time() - time.monotonic()
    signals = Signals(lambda: time.monotonic() + zero)
    environment = dict(os.environ)
    try:
        start = read(environment)
    except BadConfig as error:
        print(f"banklift: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, start, environment, signals)
    except BaseExceptionGroup as group:
        refused = group.subgroup(OSError)
        if refused is None:
            raise
        print(f"banklift: listen: {start.listen}: {refused.exceptions[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
