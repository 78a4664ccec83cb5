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
import os
import signal
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from random import Random

import anyio
import msgspec

from banklift.discovery import catalogue, client
from banklift.interface import ListKind
from banklift.net.discovery_host import DiscoveryHost
from banklift.net.loop_load import report_regularly
from banklift.net.memory_limit import limit_memory
from banklift.net.process_memory import resident_bytes, return_large_blocks
from banklift.net.router import Log, RouterHost
from banklift.net.service_config import (
    ConfigurationError,
    StartConfig,
    read_configuration,
    require_configured_memory,
)
from banklift.net.sockets import MAX_LINGERING_CONNECTIONS, SocketEnv
from banklift.pg.front import PgFront
from banklift.pg.wire import PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits

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
# Where lists are pushed, a failed watch is opened again after a delay that starts with the minimum and doubles up to
# the maximum. The maximum is this fraction of the drain grace, as a drain must be heeded within the grace from the
# catalogue's return on, and never above 4 seconds: a change counts as known 6 seconds after discovery is back in reach.
MIN_WATCH_RETRY_SECONDS = 0.1
WATCH_RETRY_DRAIN_FRACTION = 0.25
MAX_WATCH_RETRY_SECONDS = 4.0
# descriptors for the listener, discovery, logs, the event loop, and connections that are closing
RESERVED_DESCRIPTORS = 16 + MAX_LINGERING_CONNECTIONS
CLIENT_DESCRIPTOR_FRACTION = 0.5  # of the descriptors that are not reserved; links to members have the rest


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

        `at_rest_bytes`: what the process needs without any clients; None if that is not known. Errors:
        `ConfigurationError` if the limit leaves nothing beside it.
        """
        require_configured_memory(self.config, at_rest_bytes)
        limit_memory(self.env, self.machine.memory, self.config.memory_bytes, at_rest_bytes, self.log)

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
        require_configured_memory(config, resident_bytes())
    except ConfigurationError as error:
        print(f"banklift: {error}", file=sys.stderr)
        return 2
    try:
        anyio.run(serve, config, environment, signals)
    except BaseExceptionGroup as group:
        if (invalid := group.subgroup(ConfigurationError)) is not None:
            print(f"banklift: {invalid.exceptions[0]}", file=sys.stderr)
            return 2
        listen_errors = group.subgroup(OSError)
        if listen_errors is None:
            raise
        print(f"banklift: listen: {config.listen}: {listen_errors.exceptions[0]}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
