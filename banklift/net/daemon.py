"""The router as a daemon: configuration, listener, roster, signals."""

from __future__ import annotations

import gc
import json
import random
import signal
import time
from pathlib import Path

import anyio
import structlog

from banklift.config import build
from banklift.config.load import ConfigError, load_roster
from banklift.net.router import RouterHost
from banklift.net.sockets import SocketEnv
from banklift.proxy.plan import Config

ROSTER_POLL = 0.1  # seconds between looks at the roster file


async def serve(config: Config, folder: Path) -> None:
    """Run until SIGTERM or SIGINT. `folder`: where the configuration's relative paths start.

    Once it listens, one line of JSON with its name and address goes to standard output. Errors: `OSError` if the
    address can't be had, `ConfigError` if the roster file is bad at the start; later, a bad one is left aside.
    """
    log = structlog.get_logger().bind(router=config.name)
    machine = build.machine(config, random.SystemRandom().randrange(2**63))
    path = folder / config.roster if config.roster is not None else None
    groups = load_roster(path, config) if path is not None and path.exists() else config.groups
    gc.collect()  # what is there by now stays for good; what requests leave behind has no cycles
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    async with anyio.create_task_group() as tasks:
        host = RouterHost(SocketEnv(tasks), machine, config.listen,
                          lambda event, fields: log.info(event, **fields), config.source)
        host.tell(build.roster(config, groups, time.monotonic() - time.time()))
        if path is not None:
            tasks.start_soon(_watch, host, config, path, log)
        log.info("listening", address=host.address)
        print(json.dumps({"router": config.name, "listening": host.address}), flush=True)
        log.info("stopping", signal=await stop_signal())
        tasks.cancel_scope.cancel()


async def stop_signal() -> str:
    """Wait for SIGTERM or SIGINT; its name."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            return signal.Signals(number).name
    raise AssertionError("signals never end")


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
                host.tell(build.roster(config, groups, time.monotonic() - time.time()))
        await anyio.sleep(ROSTER_POLL)
