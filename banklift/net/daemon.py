"""The router as a daemon: configuration, listener, roster, signals; and, where its file has one, its fleet."""

from __future__ import annotations

import time
from pathlib import Path

import anyio
import structlog

from banklift.config import build
from banklift.config.check import warnings
from banklift.config.load import ConfigError, load_roster
from banklift.net import fleet_daemon
from banklift.net.process import announce, clock, new_seed, running, stop_signals, tune_collector
from banklift.net.router import RouterHost
from banklift.net.sockets import SocketEnv
from banklift.proxy.plan import Config

ROSTER_POLL = 0.1  # seconds between looks at the roster file


async def serve(config: Config, folder: Path) -> None:
    """Run until SIGTERM or SIGINT. `folder`: where the configuration's relative paths start.

    Once it listens, one line of JSON with its name and address goes to standard output. Errors: `OSError` if the
    address can't be had, `ConfigError` if the roster file is bad at the start (later, a bad one is left aside),
    `MembershipRefused` if its fleet turns it away.
    """
    log = structlog.get_logger().bind(router=config.name)

    def note(event: str, fields: dict[str, object]) -> None:
        log.info(event, **fields)

    for text in warnings(config):
        log.warning("configuration", text=text)
    machine = build.machine(config, new_seed())
    path = folder / config.roster if config.roster is not None else None
    groups = load_roster(path, config) if path is not None and path.exists() else config.groups
    with stop_signals() as signals:
        async with running() as run:
            env = SocketEnv(run.tasks, clock)
            router = RouterHost(env, machine, config.listen, note, config.source)
            router.tell(build.roster(config, groups, clock() - time.time()))
            fleet_host = None
            if config.fleet is not None:
                fleet_host = fleet_daemon.join(config, config.fleet, folder, env, router, run, note)
            if path is not None:
                run.tasks.start_soon(_watch, router, config, path, log)
            tune_collector()
            log.info("listening", address=router.address)
            announce("router", config.name, router.address)
            log.info("stopping", signal=await signals.wait())
            if fleet_host is not None:
                await fleet_daemon.leave(fleet_host, env)


async def _watch(host: RouterHost, config: Config, path: Path, log: structlog.stdlib.BoundLogger) -> None:
    """Tell the machine of each new content of the roster file, whole or not at all."""
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
