"""Loads the operator's files and checks them. `ConfigError` names the file, the place in it and the reason."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
import rjsonnet

from banklift.config.check import check
from banklift.config.fleet import check_aggregator_name, check_fleet, check_router_name
from banklift.config.groups import check_groups
from banklift.proxy.fleet_plan import Fleet
from banklift.proxy.plan import Config, Group
from banklift.proxy.schema import Name, Strict

EXAMPLE = Path(__file__).with_name("example.jsonnet")
NO_FLEET = "$.fleet: this file has no fleet"
Decoded = TypeVar("Decoded")


class ConfigError(Exception):
    """A file can't be used; the text has a line `file: place: reason` for each problem."""


class AggregatorFile(Strict, kw_only=True, frozen=True):
    """The part of a file that an aggregator needs."""

    name: Name
    fleet: Fleet


def evaluate(path: Path) -> bytes:
    """The JSON to which a Jsonnet file evaluates. It may import files of its own folder only. Errors: `ConfigError`."""
    folder = path.resolve().parent

    def import_file(base: str, name: str) -> tuple[str, str]:
        """Path and text of a file that Jsonnet asks for: first the file itself, then each of its imports."""
        target = (Path(base) / name).resolve()
        if not target.is_relative_to(folder):
            raise RuntimeError(f"import of {name!r}: outside the folder of the file")
        return str(target), target.read_text()

    if not path.is_file():
        raise ConfigError(f"{path}: no such file")
    try:
        return str(rjsonnet.evaluate_file(str(path.resolve()), import_callback=import_file)).encode()
    except RuntimeError as error:
        raise ConfigError(f"{path}: {str(error).strip()}") from None


def load(path: Path) -> Config:
    """Loads and checks a router's file. Errors: `ConfigError` with every problem found."""
    config = _decode(path, evaluate(path), Config)
    _raise_if_any(path, check(config))
    return config


def load_router(path: Path) -> Config:
    """Loads a file to run a router with, whose name must not be an aggregator's. Errors: `ConfigError`, as `load`."""
    config = load(path)
    if config.fleet is not None:
        _raise_if_any(path, check_router_name(config.name, config.fleet))
    return config


def load_aggregator(path: Path) -> AggregatorFile:
    """Loads a file to run an aggregator with.

    It has `name` and `fleet` alone, or it is any router's file of the fleet with the aggregator's `name`. Errors:
    `ConfigError` with every problem found.
    """
    text = evaluate(path)
    if _is_aggregator_file(text):
        file = _decode(path, text, AggregatorFile)
        problems = check_fleet(file.name, file.fleet)
    else:
        config = _decode(path, text, Config)
        problems = check(config)
        if config.fleet is None:
            raise ConfigError("\n".join(f"{path}: {problem}" for problem in [*problems, NO_FLEET]))
        file = AggregatorFile(name=config.name, fleet=config.fleet)
    _raise_if_any(path, [*problems, *check_aggregator_name(file.name, file.fleet)])
    return file


def has_aggregator_only(path: Path) -> bool:
    """Whether a file has no keys but those an aggregator needs. Errors: `ConfigError` if it can't be evaluated."""
    return _is_aggregator_file(evaluate(path))


def _is_aggregator_file(text: bytes) -> bool:
    """Whether the JSON has no keys but `fleet` and perhaps `name`."""
    content = msgspec.json.decode(text)
    return isinstance(content, dict) and {"fleet"} <= content.keys() <= {"name", "fleet"}


def load_roster(path: Path, config: Config) -> list[Group]:
    """Loads a roster file: a list as under `groups`, with every group of `config` and no other.

    Errors: `ConfigError` with every problem found.
    """
    groups = _decode(path, evaluate(path), list[Group])
    known_names = [group.name for group in config.groups]
    problems = check_groups(groups)
    problems += [
        f"$: group {name!r} is missing"
        for name in known_names
        if name not in {group.name for group in groups}
    ]
    problems += [f"$: unknown group {group.name!r}" for group in groups if group.name not in known_names]
    _raise_if_any(path, problems)
    return groups


def _decode(path: Path, text: bytes, target: type[Decoded]) -> Decoded:
    """Decodes JSON into a type. Errors: `ConfigError` for the first field that doesn't fit it."""
    try:
        return msgspec.json.decode(text, type=target)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None


def _raise_if_any(path: Path, problems: list[str]) -> None:
    """Errors: `ConfigError` with these problems if there are any."""
    if problems:
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
