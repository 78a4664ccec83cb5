"""The router on the platform, as the deploy file's `run` starts it: environment, configuration, signals, descriptors.

    python -m banklift.net.service

Theory of operation. The whole configuration is read and checked at the start. A fault in it ends the program with one
line on standard error and exit code 2. The clock is Unix time that never goes back: the platform gives positions and
start times in Unix milliseconds, and all its machines read one clock.

Signals are recorded with the time of their arrival from the first line of `main` on, and they end the wait for sockets.
The event loop alone would report a signal two or three iterations late, and the platform counts from its arrival.

SIGTERM starts a graceful shutdown. The platform kills the process no earlier than `MIN_KILL_DELAY_SECONDS` plus the
longest deadline (of which at most `MAX_KILL_EXTENSION_SECONDS` count) after the signal. `ANSWERED_BEFORE_KILL_SECONDS`
before the kill all requests are answered, also those that arrived after the signal. Meanwhile idle connections are
closed one after another (pg/front.py), as clients keep a connection for as long as it is open.
`CLOSE_BEFORE_KILL_SECONDS` before the kill the listener and the remaining connections close, and the program ends once
all answers are sent.

The configuration states the memory that the process may have (`limits.memory_mb`). What is left of it beside the
process at rest bounds what is held for clients and members (proxy/memory.py). Without a limit, or without a way to
measure the process, nothing bounds it in bytes.

SIGHUP reads the configuration again. A valid one moves discovery to its new address; an invalid one changes nothing and
is reported in the log.
"""

from __future__ import annotations

import contextlib
import gc
import logging
import math
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
from banklift.net.loop_load import report_regularly
from banklift.net.process_memory import resident_bytes, return_large_blocks
from banklift.net.router import Log, RouterHost
from banklift.net.sockets import MAX_LINGERING_CONNECTIONS, SocketEnv
from banklift.pg.front import PgFront
from banklift.pg.wire import PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits

ENVIRONMENT_VARIABLES = ("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG")
# The platform sends SIGKILL no earlier than this after SIGTERM: `MIN_KILL_DELAY_SECONDS`, plus the longest deadline of
# all classes, of which at most `MAX_KILL_EXTENSION_SECONDS` count.
MIN_KILL_DELAY_SECONDS, MAX_KILL_EXTENSION_SECONDS = 0.7, 3.0
CLOSE_BEFORE_KILL_SECONDS = 0.5  # from this time before SIGKILL on nothing new is accepted or read
# All requests are answered this long before SIGKILL. A fraction of a core needs the time to write the answers, as it
# has as many of them as a whole core.
ANSWERED_BEFORE_KILL_SECONDS = 0.3
SHUTDOWN_POLL_SECONDS = 0.02  # interval of the checks whether all answers are sent
IDLE_CLIENT_TIMEOUT_SECONDS = 2.0  # an idle client's connection is closed after this time
ANSWER_MARGIN_SECONDS = 0.005  # part of a request's deadline that is reserved for the answer's way back
IDLE_LINK_FRACTION = 0.6  # of the time after which a member closes an idle link: the router closes it earlier
PROBE_TIMEOUT_SECONDS = 0.25  # time for a probe's answer; the platform's settings have no value for it
# Where lists are pushed, a failed watch is opened again after a delay that starts with the minimum and doubles up to
# the maximum. The maximum is this fraction of the drain grace, as a drain must be heeded within the grace from the
# catalogue's return on, and never above 4 seconds: a change counts as known 6 seconds after discovery is back in reach.
MIN_WATCH_RETRY_SECONDS = 0.1
WATCH_RETRY_DRAIN_FRACTION = 0.25
MAX_WATCH_RETRY_SECONDS = 4.0
# descriptors for the listener, discovery, logs, the event loop, and connections that are closing
RESERVED_DESCRIPTORS = 16 + MAX_LINGERING_CONNECTIONS
CLIENT_DESCRIPTOR_FRACTION = 0.5  # of the descriptors that are not reserved; links to members have the rest
MEGABYTE = 1_000_000  # of `limits.memory_mb`; the platform may mean 1,048,576, which is more
# Memory for what one batch of events holds for a moment: copies, and bytes queued until the end of the batch.
TRANSIENT_BYTES = 3 * 1024 * 1024
# Part of the remaining memory that may be held. The allocator needs the rest, as it keeps some of what was freed.
BUDGET_FRACTION = 0.6
MIN_BUDGET_BYTES = 1024 * 1024  # with less, a router couldn't hold a few of the largest commands
SLOW_READER_BYTES = 64 * 1024  # unsent bytes of a connection above which it counts as a slow reader
MEMORY_REPORT_INTERVAL_SECONDS = 1.0


class ConfigurationError(Exception):
    """The configuration is invalid. The text names the setting and what is wrong with it."""


@dataclass(frozen=True, slots=True)
class StartConfig:
    """A router's configuration on the platform: environment variables and configuration file, checked."""

    name: str
    listen: str  # host:port
    discovery: str  # the catalogue's host:port
    seed: int  # of random numbers
    sockets: int  # descriptors that the process may hold
    initial_catalogue: catalogue.Catalogue | None  # a list of members to start with
    settings: Settings
    link_idle_timeout: float  # seconds after which members close an idle link
    connect_timeout: float  # seconds within which a link has to be connected
    probe_timeout: float  # seconds within which a probe has to be answered
    memory_bytes: float = math.inf  # that the process may have


def _require_object(value: object, name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigurationError(f"{name}: an object is needed")
    return value


def _require_address(value: object, name: str) -> str:
    text = value if isinstance(value, str) else ""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigurationError(f"{name}: host:port is needed, not {value!r}")
    return text


def _optional_seconds(table: dict[str, Any], name: str, default: float) -> float:
    value = table.get(name)
    if value is None or (value == 0 and not isinstance(value, bool)):  # absent, or 0 for no limit
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 86_400:
        raise ConfigurationError(f"settings.allowed.{name}: seconds above 0 are needed, not {value!r}")
    return float(value)


def _memory_limit(limits: dict[str, Any]) -> float:
    """The process's memory in bytes, infinite if it is not limited."""
    megabytes = limits.get("memory_mb")
    if megabytes is None:
        return math.inf
    if isinstance(megabytes, bool) or not isinstance(megabytes, int | float) or not 0 < megabytes < math.inf:
        raise ConfigurationError(f"limits.memory_mb: a number above 0 is needed, not {megabytes!r}")
    return megabytes * MEGABYTE


def read_configuration(environment: dict[str, str]) -> StartConfig:
    """Read the environment variables and the file that `ROUTER_CONFIG` names.

    Errors: `ConfigurationError` if a variable is not set, the file can't be read, or a value is invalid.
    """
    for variable in ENVIRONMENT_VARIABLES:
        if not environment.get(variable):
            raise ConfigurationError(f"the variable {variable} is not set")
    path = environment["ROUTER_CONFIG"]
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    try:
        config = _require_object(msgspec.json.decode(data), path)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"{path}: not JSON: {error}") from None
    try:
        return parse(config, environment)
    except ConfigurationError as error:
        raise ConfigurationError(f"{path}: {error}") from None


def parse(config: dict[str, Any], environment: dict[str, str]) -> StartConfig:
    """Check the decoded configuration file. Its name and addresses take precedence over the environment's.

    Errors: `ConfigurationError` if a value is invalid.
    """

    def setting_or_variable(name: str, variable: str) -> object:
        return environment[variable] if config.get(name) is None else config[name]

    settings = _require_object(config.get("settings"), "settings")
    limits = _require_object(config.get("limits") or {}, "limits")
    sockets = 1024 if limits.get("sockets") is None else limits["sockets"]
    if isinstance(sockets, bool) or not isinstance(sockets, int) or sockets < 64:
        raise ConfigurationError(f"limits.sockets: a number from 64 is needed, not {sockets!r}")
    try:
        parsed = parse_settings(settings)
    except (WireError, KeyError, TypeError, ValueError) as error:
        text = f"lacks {error}" if isinstance(error, KeyError) else str(error)
        raise ConfigurationError(f"settings: {text}") from None
    allowed = _require_object(settings.get("allowed") or {}, "settings.allowed")
    try:
        seed = int(str(config.get("seed") or "0"), 16)
        known = catalogue.from_json(config["known"]) if config.get("known") else None
    except (ValueError, catalogue.CatalogueError) as error:
        raise ConfigurationError(f"seed or known: {error}") from None
    return StartConfig(
        name=str(config.get("name") or environment["ROUTER_NAME"]),
        listen=_require_address(setting_or_variable("listen", "ROUTER_LISTEN"), "listen"),
        discovery=_require_address(setting_or_variable("discovery", "ROUTER_DISCOVERY"), "discovery"),
        seed=seed,
        sockets=sockets,
        initial_catalogue=known,
        settings=parsed,
        link_idle_timeout=_optional_seconds(allowed, "conn_idle_s", 30.0),
        connect_timeout=_optional_seconds(allowed, "connect_timeout_s", 0.25),
        probe_timeout=PROBE_TIMEOUT_SECONDS,
        memory_bytes=_memory_limit(limits),
    )


def build_machine(config: StartConfig) -> Machine:
    """The router's machine for PostgreSQL, with the descriptors divided between clients and links to members."""
    clients = max(8, int((config.sockets - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_FRACTION))
    links = max(8, config.sockets - RESERVED_DESCRIPTORS - clients)
    limits = Limits(
        clients=clients,
        pipeline=16,
        links=links,
        all_links=links,
        waiting=1024,
        queue=4096,
        connect=config.connect_timeout,
        probe=config.probe_timeout,
        margin=ANSWER_MARGIN_SECONDS,
        idle=IDLE_LINK_FRACTION * config.link_idle_timeout,
    )
    return Machine(
        config.settings,
        limits,
        0,
        config.seed,
        PgWire(),
        lambda core: PgFront(core, config.settings, limits, IDLE_CLIENT_TIMEOUT_SECONDS),
    )


def memory_budget(memory_bytes: float, at_rest_bytes: int) -> float:
    """Bytes that a process may hold for clients and members, of the memory that it may have. `at_rest_bytes`: what it
    needs without any."""
    return max(MIN_BUDGET_BYTES, BUDGET_FRACTION * (memory_bytes - at_rest_bytes - TRANSIENT_BYTES))


def require_memory(config: StartConfig, at_rest_bytes: int | None) -> None:
    """Check that the process can work within its limit. Errors: `ConfigurationError` with the limit that is needed."""
    if at_rest_bytes is not None and config.memory_bytes < at_rest_bytes + MIN_BUDGET_BYTES:
        needed = math.ceil((at_rest_bytes + MIN_BUDGET_BYTES) / MEGABYTE)
        raise ConfigurationError(
            f"limits.memory_mb: {config.memory_bytes / MEGABYTE:g} is too little; this process needs {needed}"
        )


class DiscoveryHost:
    """Runs a catalogue client (`client.CatalogueClient`) on connections of `env`. `on_roster` gets each new list of
    members, `log` the failures."""

    def __init__(
        self,
        env: Env,
        catalogue_client: client.CatalogueClient,
        on_roster: Callable[[ev.Roster], None],
        log: Log,
    ) -> None:
        self.env, self.client, self.on_roster, self.log = env, catalogue_client, on_roster, log
        self.connection: _CatalogueConnection | None = None
        self.performing = False  # guards against recursion, as connections may call back at once

    def request_roster(self, watch: bool) -> None:
        """Watch the list of members from now on, or fetch the whole list once if `watch` is false."""
        self.client.request_list(self.env.now(), watch)
        self.perform_actions()

    def change_address(self, address: str) -> None:
        """Use the catalogue at `address` (host:port) from now on."""
        self.client.use_address(self.env.now(), address)
        self.perform_actions()

    def perform_actions(self) -> None:
        """Perform the client's actions in order, and set a timer for its next deadline."""
        if self.performing:
            return
        self.performing = True
        while self.client.actions:
            match self.client.actions.pop(0):
                case client.Connect(address):
                    self.connection = _CatalogueConnection(self)
                    self.connection.handle = self.env.connect(address, self.connection)
                case client.Send(data):
                    if self.connection is not None and self.connection.handle is not None:
                        self.connection.handle.send(data)
                case client.Close():
                    if self.connection is not None and self.connection.handle is not None:
                        self.connection.handle.close()
                    self.connection = None
                case client.CallResult(roster, reason):
                    if reason:
                        self.log("discovery failed", {"reason": reason})
                    if roster is not None:
                        self.on_roster(roster)
        self.performing = False
        if self.client.due < float("inf"):
            due = self.client.due
            self.env.at(due, lambda: self._on_timer(due))

    def _on_timer(self, due: float) -> None:
        if self.client.due == due:
            self.client.tick(self.env.now())
            self.perform_actions()


class _CatalogueConnection(Peer):
    """One connection to the catalogue. Its events are ignored once `owner` uses another connection."""

    def __init__(self, owner: DiscoveryHost) -> None:
        self.owner = owner
        self.handle: Handle | None = None

    def connected(self, handle: Handle) -> None:
        if self.owner.connection is self:
            self.owner.client.connected(self.owner.env.now())
            self.owner.perform_actions()

    def data(self, data: bytes) -> None:
        if self.owner.connection is self:
            self.owner.client.data(self.owner.env.now(), data)
            self.owner.perform_actions()

    def eof(self) -> None:
        self.data(b"")

    def lost(self, reason: str) -> None:
        if self.owner.connection is self:
            self.owner.client.lost(self.owner.env.now(), reason)
            self.owner.perform_actions()


class Signals:
    """Records number and arrival time of each signal (seconds on `clock`), from its creation on. Signals that arrive
    before `listen` is called are delivered then."""

    NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.received: deque[tuple[int, float]] = deque()
        self.on_signal: Callable[[int, float], None] | None = None
        # the interpreter writes a byte for each signal
        self.wakeup_reader, wakeup_writer = socket.socketpair()
        self.wakeup_writer = wakeup_writer
        for end in (self.wakeup_reader, wakeup_writer):
            end.setblocking(False)
        signal.set_wakeup_fd(wakeup_writer.fileno(), warn_on_full_buffer=False)
        for number in self.NUMBERS:
            signal.signal(number, lambda number, frame: self.received.append((number, self.clock())))

    def listen(self, env: SocketEnv, on_signal: Callable[[int, float], None]) -> None:
        """Call `on_signal` with the number and arrival time of each signal; `env` waits for them."""
        self.on_signal = on_signal
        env.watch(self.wakeup_reader.fileno(), self)
        self.handle_events(0)

    def handle_events(self, events: int) -> None:
        """Deliver the recorded signals."""
        with contextlib.suppress(BlockingIOError):
            self.wakeup_reader.recv(4096)
        while self.received and self.on_signal is not None:
            self.on_signal(*self.received.popleft())


class Service:
    """One router from its start to its graceful shutdown, with an `Env` of its own, which it stops at the end.

    `environment`: variables to read the configuration with again. Errors: `OSError` if the address can't be bound.
    """

    def __init__(self, env: SocketEnv, config: StartConfig, environment: dict[str, str], log: Log) -> None:
        self.env, self.config, self.environment, self.log = env, config, environment, log
        self.shutting_down = False
        self.machine = build_machine(config)
        # where lists are pushed, the balancer asks for none, so the service keeps a watch open
        pushed = not config.settings.must_ask
        max_retry = max(
            MIN_WATCH_RETRY_SECONDS,
            min(MAX_WATCH_RETRY_SECONDS, WATCH_RETRY_DRAIN_FRACTION * config.settings.drain_grace),
        )
        backoff = client.Backoff(MIN_WATCH_RETRY_SECONDS, max_retry, Random(config.seed)) if pushed else None
        self.catalogue_client = client.CatalogueClient(
            config.discovery,
            version=config.initial_catalogue.rev if config.initial_catalogue is not None else None,
            backoff=backoff,
        )
        self.discovery = DiscoveryHost(
            env, self.catalogue_client, lambda roster: self.host.handle_event(roster), self.log
        )
        self.host = RouterHost(
            env, self.machine, config.listen, self.log, request_roster=self.discovery.request_roster
        )
        self.host.handle_event(
            catalogue.to_roster(config.initial_catalogue, ListKind.CACHED)
            if config.initial_catalogue is not None
            else ev.Roster((), ListKind.CACHED)
        )
        if pushed:
            self.discovery.request_roster(True)
        self.log("listening", {"address": self.host.address})

    def limit_memory(self, at_rest_bytes: int | None) -> None:
        """Bound what is held for clients and members, and report regularly where that was too little.

        `at_rest_bytes`: what the process needs without any clients; None if that is not known.
        """
        if at_rest_bytes is None or self.config.memory_bytes == math.inf:
            return
        memory = self.machine.memory
        budget = memory_budget(self.config.memory_bytes, at_rest_bytes)
        # the members that are known now are a part of the process at rest
        memory.set_limit(budget + memory.total)
        self.env.slow_reader_bytes = SLOW_READER_BYTES
        self.log("memory", {"at_rest_kib": round(at_rest_bytes / 1024), "budget_kib": round(budget / 1024)})
        self._report_memory()

    def _report_memory(self) -> None:
        if (fields := self.machine.memory.take_report()) is not None:
            self.log("memory short", fields)
        self.env.at(self.env.now() + MEMORY_REPORT_INTERVAL_SECONDS, self._report_memory)

    def handle_signal(self, number: int, at: float) -> None:
        """Handle a signal: SIGHUP reads the configuration again, others start a graceful shutdown. `at`: its arrival in
        seconds on the clock of `env`."""
        if number == signal.SIGHUP:
            self._reload_configuration()
        elif not self.shutting_down:
            self.shutting_down = True
            self._begin_shutdown(signal.Signals(number).name, at)

    def _reload_configuration(self) -> None:
        try:
            reloaded = read_configuration(self.environment)
        except ConfigurationError as error:
            self.log("configuration refused, the old one stays", {"reason": str(error)})
        else:
            self.log("configuration read again", {"discovery": reloaded.discovery})
            self.discovery.change_address(reloaded.discovery)

    def _begin_shutdown(self, name: str, at: float) -> None:
        kill = (
            at
            + MIN_KILL_DELAY_SECONDS
            + min(
                MAX_KILL_EXTENSION_SECONDS,
                max(request_class.deadline for request_class in self.config.settings.classes),
            )
        )
        self.log(
            "leaving", {"signal": name, "after": round(self.env.now() - at, 3), "until": round(kill - at, 3)}
        )
        self.host.drain(kill - ANSWERED_BEFORE_KILL_SECONDS)
        self.env.at(kill - CLOSE_BEFORE_KILL_SECONDS, lambda: self._close_listener(kill))

    def _close_listener(self, kill: float) -> None:
        self.host.leave()
        self._stop_when_drained(kill)

    def _stop_when_drained(self, kill: float) -> None:
        """Stop `env` once every client has its answers and its connection is closed, and before SIGKILL in any case."""
        now = self.env.now()
        if (self.host.clients or self.env.lingering) and now < kill - SHUTDOWN_POLL_SECONDS:
            self.env.at(now + SHUTDOWN_POLL_SECONDS, lambda: self._stop_when_drained(kill))
            return
        self.log("left", {"unanswered": len(self.machine.pending), "unsent": len(self.env.lingering)})
        self.env.stop()


async def serve(config: StartConfig, environment: dict[str, str], signals: Signals) -> None:
    """Run until SIGTERM or SIGINT, and then until all accepted requests are answered.

    Errors: `OSError` if the address can't be bound.
    """

    def log(event: str, fields: dict[str, object]) -> None:
        logging.info(msgspec.json.encode({"router": config.name, "event": event, **fields}).decode())

    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks, signals.clock, exclusive_loop=True)
        service = Service(env, config, environment, log)
        report_regularly(env, log)
        gc.collect()  # objects of the start live as long as the process, and requests leave no cycles behind
        gc.freeze()
        gc.set_threshold(2_000, 5, 5)  # few objects are not frozen, so even a full collection is cheap
        service.limit_memory(resident_bytes())
        signals.listen(env, service.handle_signal)


def main() -> int:
    """Run the service; returns the exit code, 2 for an invalid configuration or an address that can't be bound."""
    # importing structlog would take half of all the time until the router listens
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    return_large_blocks()
    clock_offset = time.time() - time.monotonic()
    signals = Signals(lambda: time.monotonic() + clock_offset)
    environment = dict(os.environ)
    try:
        config = read_configuration(environment)
        require_memory(config, resident_bytes())
    except ConfigurationError as error:
        print(f"banklift: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, config, environment, signals)
    except BaseExceptionGroup as group:
        listen_errors = group.subgroup(OSError)
        if listen_errors is None:
            raise
        print(f"banklift: listen: {config.listen}: {listen_errors.exceptions[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
