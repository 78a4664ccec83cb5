"""The router as a daemon: configuration, listener, roster file, signals, and its fleet if the file has one."""

from __future__ import annotations

import math
import time
from pathlib import Path

import anyio
import structlog

from banklift.config import build
from banklift.config.check import warnings
from banklift.config.load import ConfigError, load_roster
from banklift.net import fleet_daemon
from banklift.net.memory_limit import (
    LARGE_COMMANDS_BUDGET_FRACTION,
    MEGABYTE,
    MemoryTooSmall,
    limit_memory,
    require_memory,
)
from banklift.net.process import announce, clock, new_seed, running, stop_signals, tune_collector
from banklift.net.process_memory import resident_bytes, return_large_blocks
from banklift.net.router import RouterHost
from banklift.net.sockets import SocketEnv
from banklift.proxy.plan import Config

ROSTER_POLL_SECONDS = 0.1  # interval of the checks whether the roster file has changed


async def serve(config: Config, folder: Path) -> None:
    """Run until SIGTERM or SIGINT. `folder` is the base of the configuration's relative paths.

    Once the router listens, it prints one line of JSON with its name and address on standard output.

    Errors: `OSError` if the address can't be bound, `ConfigError` if `memory_mb` is too little or the roster file is
    invalid at the start (later, an invalid one is logged and ignored), `MembershipRefused` if the fleet refuses this
    router as a member.
    """
    log = structlog.get_logger().bind(router=config.name)

    def log_event(event: str, fields: dict[str, object]) -> None:
        log.info(event, **fields)

    for text in warnings(config):
        log.warning("configuration", text=text)
    _require_memory(config)
    return_large_blocks()
    machine = build.machine(config, new_seed())
    path = folder / config.roster if config.roster is not None else None
    groups = load_roster(path, config) if path is not None and path.exists() else config.groups
    with stop_signals() as signals:
        async with running() as run:
            env = SocketEnv(run.tasks, clock)
            router = RouterHost(env, machine, config.listen, log_event, config.source)
            router.handle_event(build.roster(config, groups, clock() - time.time()))
            fleet_host = None
            if config.fleet is not None:
                fleet_host = fleet_daemon.join(config, config.fleet, folder, env, router, run, log_event)
            if path is not None:
                run.tasks.start_soon(_watch_roster, router, config, path, log)
            tune_collector()
            memory_bytes = math.inf if config.memory_mb is None else config.memory_mb * MEGABYTE
            limit_memory(
                env,
                machine.memory,
                memory_bytes,
                resident_bytes(),
                log_event,
                LARGE_COMMANDS_BUDGET_FRACTION,
            )
            log.info("listening", address=router.address)
            announce("router", config.name, router.address)
            log.info("stopping", signal=await signals.wait())
            if fleet_host is not None:
                await fleet_daemon.leave(fleet_host, env)


def _require_memory(config: Config) -> None:
    """Check that the process can work within its limit. Errors: `ConfigError`."""
    if config.memory_mb is not None:
        try:
            require_memory(config.memory_mb * MEGABYTE, resident_bytes())
        except MemoryTooSmall as error:
            raise ConfigError(f"memory_mb: {error}") from None


async def _watch_roster(
    host: RouterHost, config: Config, path: Path, log: structlog.stdlib.BoundLogger
) -> None:
    """Pass each valid new content of the roster file to the machine. Invalid contents are logged and ignored whole."""
    last_version: tuple[int, int, int] | None = None
    while True:
        try:
            stat = path.stat()
            version = (stat.st_mtime_ns, stat.st_ino, stat.st_size)
        except OSError:
            version = None
        if version is not None and version != last_version:
            last_version = version
            try:
                groups = load_roster(path, config)
            except ConfigError as error:
                log.warning("roster refused, the old one stays", reason=str(error))
            else:
                host.handle_event(build.roster(config, groups, clock() - time.time()))
        await anyio.sleep(ROSTER_POLL_SECONDS)
