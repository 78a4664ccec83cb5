"""Loading operators' files for a command: a file that is refused ends the program with the reasons."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import typer

from banklift.config.load import ConfigError

FAILED = 1  # exit code: the command could not run
BAD_FILE = 2  # exit code: the file, or this member of the fleet, was refused
File = TypeVar("File")


def read(path: Path, load: Callable[[Path], File]) -> File:
    """Return `load(path)`.

    Errors: `typer.Exit` with `BAD_FILE` if `load` raises `ConfigError`, whose text goes to standard error first.
    """
    try:
        return load(path)
    except ConfigError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_FILE) from None
