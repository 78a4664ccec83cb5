"""`banklift`: the sub-commands."""

from __future__ import annotations

import json
import logging
import sys
from pathlib import Path
from typing import Annotated

import anyio
import structlog
import typer

from banklift.config.load import EXAMPLE, ConfigError, load
from banklift.emulator.stand import Stand
from banklift.net import daemon
from banklift.proxy.plan import Config

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A database proxy: writes to primaries, reads over replicas, by RESP with offsets.")
ConfigFile = Annotated[Path, typer.Option("--config", help="The operator's file (Jsonnet).", show_default=False)]


def set_up_logs() -> None:
    """Structured lines on standard error: JSON unless that is a terminal."""
    terminal = sys.stderr.isatty()
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.dev.ConsoleRenderer() if terminal else structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr))


def read(path: Path) -> Config:
    try:
        return load(path)
    except ConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None


def run(main: object, *args: object) -> None:
    anyio.run(main, *args, backend_options={"use_uvloop": True})  # type: ignore[arg-type]


@app.command()
def router(config: ConfigFile) -> None:
    """Run one router until SIGTERM or SIGINT."""
    set_up_logs()
    try:
        run(daemon.serve, read(config), config.resolve().parent)
    except (OSError, ConfigError) as error:
        typer.echo(f"banklift router: {error}", err=True)
        raise typer.Exit(1) from None


@app.command()
def check(file: Path) -> None:
    """Validate a configuration and explain what is wrong with it."""
    config = read(file)
    members = sum(len(group.members) for group in config.groups)
    typer.echo(f"{file}: fine: {len(config.groups)} groups, {members} members, {len(config.classes)} classes")


@app.command()
def stand(config: ConfigFile = EXAMPLE,
          routers: Annotated[int, typer.Option(min=1, help="How many routers to start.")] = 2,
          port: Annotated[int, typer.Option(help="Port of the first router, the others follow; 0: any.")] = 6380,
          ) -> None:
    """Start stand-in members and routers and stay up; one line of JSON tells where all listen."""
    set_up_logs()
    try:
        run(_stand, read(config), routers, port)
    except (OSError, RuntimeError) as error:
        typer.echo(f"banklift stand: {error}", err=True)
        raise typer.Exit(1) from None


async def _stand(config: Config, routers: int, port: int) -> None:
    place = Stand(config)
    async with anyio.create_task_group() as tasks:
        place.start(tasks)
        try:
            for number in range(routers):
                await place.start_router(number, port + number if port else 0)
            typer.echo(json.dumps(place.describe()))
            await daemon.stop_signal()
        finally:
            with anyio.CancelScope(shield=True):
                await place.stop_routers()
        tasks.cancel_scope.cancel()


def main() -> None:
    app()
