"""Loads the operator's files and has them checked. One error type tells the file, the place and the reason."""

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
    """A file that can't be used: `file: place: reason`, one line for each reason."""


class AggregatorFile(Strict, kw_only=True, frozen=True):
    """What an aggregator needs of a file."""

    name: Name
    fleet: Fleet


def evaluate(path: Path) -> bytes:
    """The JSON that a template evaluates to; imports come from its own folder. Errors: `ConfigError`."""
    folder = path.resolve().parent

    def find(base: str, name: str) -> tuple[str, str]:
        """What jsonnet asks for: the file itself first, then what it imports."""
        target = (Path(base) / name).resolve()
        if not target.is_relative_to(folder):
            raise RuntimeError(f"import of {name!r}: outside the folder of the file")
        return str(target), target.read_text()

    if not path.is_file():
        raise ConfigError(f"{path}: there is no such file")
    try:
        return str(rjsonnet.evaluate_file(str(path.resolve()), import_callback=find)).encode()
    except RuntimeError as error:
        raise ConfigError(f"{path}: {str(error).strip()}") from None


def load(path: Path) -> Config:
    """A router's file. Errors: `ConfigError` with every reason found."""
    config = _decode(path, evaluate(path), Config)
    _refuse(path, check(config))
    return config


def load_router(path: Path) -> Config:
    """A file to run a router with. Errors: `ConfigError` with every reason found."""
    config = load(path)
    if config.fleet is not None:
        _refuse(path, check_router_name(config.name, config.fleet))
    return config


def load_aggregator(path: Path) -> AggregatorFile:
    """A file to run an aggregator with: one with `name` and `fleet` alone, or any router's file of the fleet with the
    aggregator's `name`. Errors: `ConfigError` with every reason found."""
    text = evaluate(path)
    if _is_aggregator_file(text):
        file = _decode(path, text, AggregatorFile)
        problems = check_fleet(file.name, file.fleet)
    else:
        config = _decode(path, text, Config)
        problems = check(config)
        if config.fleet is None:
            raise ConfigError("\n".join(f"{path}: {one}" for one in [*problems, NO_FLEET]))
        file = AggregatorFile(name=config.name, fleet=config.fleet)
    _refuse(path, [*problems, *check_aggregator_name(file.name, file.fleet)])
    return file


def has_aggregator_only(path: Path) -> bool:
    """Whether a file has nothing but what an aggregator needs. Errors: `ConfigError` if it can't be evaluated."""
    return _is_aggregator_file(evaluate(path))


def _is_aggregator_file(text: bytes) -> bool:
    content = msgspec.json.decode(text)
    return isinstance(content, dict) and {"fleet"} <= content.keys() <= {"name", "fleet"}


def load_roster(path: Path, config: Config) -> list[Group]:
    """The groups of a roster file, a list as in `groups`. Errors: `ConfigError`."""
    groups = _decode(path, evaluate(path), list[Group])
    known = [group.name for group in config.groups]
    problems = check_groups(groups)
    problems += [f"$: group {name!r} is missing" for name in known if name not in {g.name for g in groups}]
    problems += [f"$: unknown group {group.name!r}" for group in groups if group.name not in known]
    _refuse(path, problems)
    return groups


def _decode(path: Path, text: bytes, kind: type[Decoded]) -> Decoded:
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None


def _refuse(path: Path, problems: list[str]) -> None:
    """Errors: `ConfigError` if there are problems."""
    if problems:
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
