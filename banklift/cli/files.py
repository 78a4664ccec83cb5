"""Reading the operator's files for a command: one that is refused ends the program with its reasons."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import typer

from banklift.config.load import ConfigError

FAILED, BAD_FILE = 1, 2  # exit codes: it could not run; the file or this program is refused
File = TypeVar("File")


def read(path: Path, load: Callable[[Path], File]) -> File:
    """What `load` makes of the file. Errors: `typer.Exit` with `BAD_FILE`, after the reasons were told."""
    try:
        return load(path)
    except ConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_FILE) from None
