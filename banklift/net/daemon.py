"""The router as a daemon: configuration, listener, roster, signals; and, where its file has one, its fleet."""

from __future__ import annotations

import fcntl
import gc
import json
import os
import random
import resource
import signal
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.to_thread
import msgspec
import structlog
from anyio.abc import TaskGroup

from banklift.config import build, policy
from banklift.config.address import split_address
from banklift.config.load import ConfigError, load_roster, warnings
from banklift.fleet.node import Node
from banklift.fleet.plan import Plan
from banklift.fleet.register import FORMAT, Record
from banklift.net.fleet import FleetHost
from banklift.net.router import RouterHost
from banklift.net.sockets import SocketEnv
from banklift.proxy import events as ev
from banklift.proxy.plan import Config, Fleet
from banklift.store.slots import Slots, StoreError

ROSTER_POLL = 0.1  # seconds between looks at the roster file


class Ousted(Exception):
    """This router can't be a part of its fleet; the text says why."""


def clock() -> float:
    """Seconds; goes on while the machine sleeps, and is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def serve(config: Config, folder: Path) -> None:
    """Run until SIGTERM or SIGINT. `folder`: where the configuration's relative paths start.

    Once it listens, one line of JSON with its name and address goes to standard output. Errors: `OSError` if the
    address can't be had, `ConfigError` if the roster file is bad at the start (later, a bad one is left aside),
    `Ousted` if its fleet won't have it.
    """
    log = structlog.get_logger().bind(router=config.name)

    def note(event: str, fields: dict[str, object]) -> None:
        log.info(event, **fields)

    for text in warnings(config):
        log.warning("configuration", text=text)
    machine = build.machine(config, random.SystemRandom().randrange(2**63))
    path = folder / config.roster if config.roster is not None else None
    groups = load_roster(path, config) if path is not None and path.exists() else config.groups
    ousted: list[str] = []
    try:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks, clock)
            host = RouterHost(env, machine, config.listen, note, config.source)
            host.tell(build.roster(config, groups, clock() - time.time()))
            if config.fleet is not None:

                def oust(reason: str) -> None:
                    ousted.append(reason)
                    tasks.cancel_scope.cancel()

                join(config, config.fleet, folder, env, host, tasks, oust, note)
            if path is not None:
                tasks.start_soon(_watch, host, config, path, log)
            gc.collect()  # what is there by now stays for good; what requests leave behind has no cycles
            gc.freeze()
            gc.set_threshold(50_000, 20, 50)
            log.info("listening", address=host.address)
            print(json.dumps({"router": config.name, "listening": host.address}), flush=True)
            log.info("stopping", signal=await stop_signal())
            tasks.cancel_scope.cancel()
    except* Ousted as group:
        ousted.append(str(group.exceptions[0]))
    if ousted:
        raise Ousted(ousted[0])


def join(
    config: Config,
    fleet: Fleet,
    folder: Path,
    env: SocketEnv,
    host: RouterHost,
    tasks: TaskGroup,
    oust: Callable[[str], None],
    log: Callable[[str, dict[str, object]], None],
) -> FleetHost:
    """Make this router a part of its fleet; it takes no request before it has a lease. Errors: `Ousted`, `OSError`."""
    plan = Plan(fleet.name, config.name, tuple(fleet.voters), fleet.lease, fleet.drift)
    slots, record, absent = None, None, True
    if config.name in fleet.voters:
        assert fleet.folder is not None
        place = folder / fleet.folder
        try:
            place.mkdir(parents=True, exist_ok=True)
            _lock(place)
            slots = Slots(place)
            loaded = slots.load()
        except (StoreError, OSError) as error:
            raise Ousted(f"fleet.folder: {error}") from None
        absent = loaded.absent
        record = _record(loaded.content, place, plan) if loaded.content is not None else None
        log(
            "state read",
            {
                "whole": record is not None,
                "absent": absent,
                "generation": loaded.generation,
                "damaged": list(loaded.damaged),
            },
        )
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    known: dict[bytes, policy.Policy] = {}

    def check(text: bytes) -> tuple[str, ...]:
        return policy.against(config, text, descriptors)

    def adopt(epoch: int, text: bytes) -> None:
        if text not in known:
            known.clear()
            known[text] = policy.decode(text)
        host.tell(build.adopt(config, known[text]))

    def save(content: bytes, done: Callable[[str], None]) -> None:
        async def write() -> None:
            assert slots is not None
            try:
                await anyio.to_thread.run_sync(slots.save, content)
            except StoreError as error:
                done(str(error))
            else:
                done("")

        tasks.start_soon(write)

    node = Node(
        plan,
        time.time_ns() // 1000,
        random.SystemRandom().randrange(2**63),
        policy.of(config),
        check,
        record,
        absent,
    )
    listen = None
    if config.name in fleet.voters:
        listen = fleet.listen or fleet.voters[config.name]
        split_address(listen)
    host.tell(ev.Until(float("-inf"), fleet.lease / 20))
    fleet_host = FleetHost(
        env,
        node,
        dict(fleet.voters),
        listen,
        save,
        adopt,
        lambda until, back: host.tell(ev.Until(until, back)),
        oust,
        log,
    )
    fleet_host.start()
    return fleet_host


def _lock(place: Path) -> None:
    """Two processes on one folder would each undo what the other has written. Errors: `OSError`."""
    file = os.open(place / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)  # kept until this process ends
    except OSError:
        os.close(file)
        raise OSError(f"{place}: another process uses it") from None


def _record(content: bytes, place: Path, plan: Plan) -> Record:
    """Errors: `Ousted` if it is another fleet's, another voter's, or of a newer build; nothing is overwritten."""
    try:
        head = msgspec.msgpack.decode(content)
        if isinstance(head, dict) and isinstance(head.get("format"), int) and head["format"] > FORMAT:
            raise Ousted(
                f"fleet.folder: {place}: a state of a newer build (format {head['format']}, here {FORMAT})"
            )
        record = msgspec.msgpack.decode(content, type=Record)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Ousted(f"fleet.folder: {place}: not a state that this build knows: {error}") from None
    if (record.fleet, record.voter) != (plan.fleet, plan.name):
        raise Ousted(
            f"fleet.folder: {place}: the state of voter {record.voter!r} of fleet {record.fleet!r}, and this "
            f"is {plan.name!r} of {plan.fleet!r}"
        )
    return record


async def stop_signal() -> str:
    """Wait for SIGTERM or SIGINT; its name."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            return signal.Signals(number).name
    raise AssertionError("signals never end")


async def _watch(host: RouterHost, config: Config, path: Path, log: structlog.stdlib.BoundLogger) -> None:
    """SendRequest the machine of each new content of the roster file, whole or not at all."""
    last: tuple[int, int, int] | None = None
    while True:
        try:
            stat = path.stat()
            mark = (stat.st_mtime_ns, stat.st_ino, stat.st_size)
        except OSError:
            mark = None
        if mark is not None and mark != last:
            last = mark
            try:
                groups = load_roster(path, config)
            except ConfigError as error:
                log.warning("roster refused, the old one stays", reason=str(error))
            else:
                host.tell(build.roster(config, groups, clock() - time.time()))
        await anyio.sleep(ROSTER_POLL)
