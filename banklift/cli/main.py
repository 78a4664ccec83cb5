"""The `banklift` program: its sub-commands, and the set-up of logs and of the event loop."""

from __future__ import annotations

import json
import logging
import sys
import time
from pathlib import Path
from typing import Annotated

import anyio
import structlog
import typer
from rich.console import Console

from banklift.cli import fleet, policy
from banklift.cli.files import BAD_FILE, FAILED, read
from banklift.config.address import split_address
from banklift.config.check import warnings
from banklift.config.fleet import fleet_warnings
from banklift.config.load import (
    EXAMPLE,
    ConfigError,
    has_aggregator_only,
    load,
    load_aggregator,
    load_router,
)
from banklift.emulator.stand import RouterProcesses, Stand
from banklift.judge.day import load_day, play_on_sockets
from banklift.judge.rules import judge as judge_trace
from banklift.judge.show import print_verdict
from banklift.judge.trace import TraceError, read_trace
from banklift.net import aggregator as aggregator_process
from banklift.net import daemon
from banklift.net.process import MembershipRefused, stop_signals
from banklift.net.sockets import SocketEnv
from banklift.proxy.plan import Config

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A database proxy: writes to primaries, reads over replicas, by RESP with offsets.",
)
app.add_typer(policy.app, name="policy")
app.command("fleet")(fleet.fleet)
ConfigFile = Annotated[
    Path, typer.Option("--config", help="The operator's file (Jsonnet).", show_default=False)
]


def set_up_logs() -> None:
    """Send structured logs to standard error: as JSON, or for reading if that is a terminal."""
    is_terminal = sys.stderr.isatty()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.dev.ConsoleRenderer() if is_terminal else structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def run(main: object, *args: object) -> None:
    """Run the coroutine function `main` with `args` to its end, in an anyio event loop on uvloop."""
    anyio.run(main, *args, backend_options={"use_uvloop": True})  # type: ignore[arg-type]


def run_member(command: str, main: object, *args: object) -> None:
    """Run a router or an aggregator until it stops. `command` is the name that error messages begin with.

    Errors: `typer.Exit`, after the reason went to standard error: with `BAD_FILE` if another member of the fleet
    refused this one, with `FAILED` on `OSError` or `ConfigError`.
    """
    set_up_logs()
    try:
        run(main, *args)
    except MembershipRefused as error:
        typer.echo(f"banklift {command}: {error}", err=True)
        raise typer.Exit(BAD_FILE) from None
    except (OSError, ConfigError) as error:
        typer.echo(f"banklift {command}: {error}", err=True)
        raise typer.Exit(FAILED) from None


@app.command()
def router(config: ConfigFile) -> None:
    """Run one router until SIGTERM or SIGINT."""
    run_member("router", daemon.serve, read(config, load_router), config.resolve().parent)


@app.command()
def aggregator(
    config: Annotated[
        Path,
        typer.Option(
            "--config",
            help="A file with `name` and `fleet`, or a router's file with this `name`.",
            show_default=False,
        ),
    ],
) -> None:
    """Run one lease aggregator of a fleet until SIGTERM or SIGINT."""
    run_member("aggregator", aggregator_process.serve_aggregator, read(config, load_aggregator))


@app.command()
def check(file: Path) -> None:
    """Validate a configuration file and explain what is wrong with it."""
    if read(file, has_aggregator_only):
        _check_aggregator(file)
        return
    config = read(file, load)
    members = sum(len(group.members) for group in config.groups)
    for text in warnings(config):
        typer.echo(f"{file}: {text}", err=True)
    typer.echo(f"{file}: fine: {len(config.groups)} groups, {members} members, {len(config.classes)} classes")


def _check_aggregator(path: Path) -> None:
    file = read(path, load_aggregator)
    for text in fleet_warnings(file.name, file.fleet):
        typer.echo(f"{path}: {text}", err=True)
    zone = file.fleet.aggregators[file.name].zone
    typer.echo(f"{path}: fine: aggregator {file.name!r} of zone {zone!r}")


@app.command()
def stand(
    config: ConfigFile = EXAMPLE,
    routers: Annotated[int, typer.Option(min=1, help="How many routers to start.")] = 2,
    port: Annotated[
        int, typer.Option(help="Port of the first router; the others use the next ones. 0: any.")
    ] = 6380,
) -> None:
    """Start emulated members and routers until SIGTERM or SIGINT. One line of JSON lists their addresses."""
    set_up_logs()
    try:
        run(_stand, read(config, load), routers, port)
    except (OSError, RuntimeError) as error:
        typer.echo(f"banklift stand: {error}", err=True)
        raise typer.Exit(FAILED) from None


@app.command()
def play(
    day: Annotated[
        str, typer.Argument(help="A scripted workload: the name of a bundled one, or a Jsonnet file.")
    ],
    routers: Annotated[int, typer.Option(min=1, max=200, help="How many routers.")] = 2,
    seed: Annotated[int, typer.Option(help="Random seed of the clients and the emulated members.")] = 1,
    out: Annotated[Path, typer.Option(help="Folder for the trace and the verdict.")] = Path("found"),
) -> None:
    """Run a scripted workload against router processes and judge it. Exit code 1 if a rule is broken."""
    set_up_logs()
    try:
        script, config = load_day(day)
    except ConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_FILE) from None
    out.mkdir(parents=True, exist_ok=True)
    trace = out / f"{Path(day).stem}-{seed}.trace"
    console = Console(stderr=True)
    console.print(
        f"[bold]{script.title}[/]: {script.seconds:g} s, {script.rate:g} requests a second, seed {seed}"
    )

    def progress(elapsed_s: float, text: str) -> None:
        console.print(f"{elapsed_s:6.2f} s  {text}", highlight=False)

    try:
        run(play_on_sockets, script, config, routers, seed, trace, progress)
    except* (OSError, RuntimeError) as group:
        typer.echo(f"banklift play: {group.exceptions[0]}", err=True)
        raise typer.Exit(FAILED) from None
    raise typer.Exit(_judge(trace))


@app.command()
def judge(trace: Path) -> None:
    """Judge a recorded trace again. Exit code 1 if a rule is broken."""
    raise typer.Exit(_judge(trace))


def _judge(trace: Path) -> int:
    """Judge a trace and print the verdict. Returns the exit code: 1 for a broken rule, 2 for a bad trace."""
    try:
        head, entries = read_trace(trace)
    except TraceError as error:
        typer.echo(str(error), err=True)
        return BAD_FILE
    verdict = judge_trace(head, entries)
    print_verdict(verdict, trace)
    return 1 if verdict.violations else 0


async def _stand(config: Config, routers: int, port: int) -> None:
    """Run emulated members and `routers` router processes until a stop signal. `port` 0 lets the system choose."""
    host = split_address(config.listen)[0]
    async with anyio.create_task_group() as tasks:
        members = Stand(config, SocketEnv(tasks))
        processes = RouterProcesses(members, tasks, time.monotonic() - time.time())
        try:
            for number in range(routers):
                address = f"{host}:{port + number if port else 0}"
                processes.addresses.append(await processes.start(number, address))
            with stop_signals() as signals:
                typer.echo(json.dumps({"routers": processes.addresses, "nodes": members.describe()}))
                await signals.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await processes.stop()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Run the command that the arguments of the process name."""
    app()
