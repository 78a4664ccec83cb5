"""Loads and checks the operator's file. One error type tells the file, the place and the reason."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
import rjsonnet

from banklift.config.address import split_address
from banklift.config.fleet import check_aggregator_name, check_fleet, check_router_name, fleet_warnings
from banklift.interface import Effect, Need
from banklift.proxy.fleet_plan import Fleet
from banklift.proxy.plan import Config, Group
from banklift.proxy.schema import Name, Strict
from banklift.resp.slots import SLOTS

EXAMPLE = Path(__file__).with_name("example.jsonnet")
STATES = ("ready", "draining", "gone")
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


def check(config: Config) -> list[str]:
    """Every reason against the file, with its place; the checks of time limits belong here too."""
    problems = check_groups(config.groups)
    names = [kind.name for kind in config.classes]
    for place, kind in enumerate(config.classes):
        where = f"$.classes[{place}]"
        if kind.name in names[:place]:
            problems.append(f"{where}.name: {kind.name!r} occurs twice")
        if kind.aim > kind.deadline:
            problems.append(f"{where}.aim: {kind.aim:g} s is beyond the deadline of {kind.deadline:g} s")
        if kind.need is Need.BOUNDED and kind.bound <= 0:
            problems.append(f"{where}.bound: a bounded read needs a bound above 0")
        if kind.effect is Effect.KEYED and kind.window <= 0:
            problems.append(f"{where}.window: a keyed class needs a window above 0")
    needs = {kind.name: kind.need for kind in config.classes}
    for where, name in [
        ("$.default_read", config.default_read),
        ("$.default_write", config.default_write),
        *((f"$.routes[{place}].to", route.to) for place, route in enumerate(config.routes)),
    ]:
        if name not in needs:
            problems.append(f"{where}: no class is named {name!r}")
    if needs.get(config.default_write, Need.WRITE) is not Need.WRITE:
        problems.append(f"$.default_write: {config.default_write!r} does not go to the primary")
    if config.sessions not in ("roaming", "connection"):
        problems.append("$.sessions: must be 'roaming' or 'connection'")
    try:
        split_address(config.listen)
    except ValueError as error:
        problems.append(f"$.listen: {error}")
    if config.fleet is not None:
        problems += check_fleet(config.name, config.fleet)
    users = [user.name for user in config.users]
    if len(set(users)) < len(users):
        problems.append("$.users: a name occurs twice")
    return problems


def warnings(config: Config) -> list[str]:
    """What works and is not what one would want, with its place."""
    return fleet_warnings(config.name, config.fleet) if config.fleet is not None else []


def check_groups(groups: list[Group]) -> list[str]:
    problems: list[str] = []
    owner: dict[int, str] = {}
    members: dict[str, str] = {}
    addresses: dict[str, str] = {}
    prefixes: dict[str, str] = {}
    for place, group in enumerate(groups):
        where = f"$.groups[{place}]"
        if not group.members:
            problems.append(f"{where}.members: a group needs a member")
        if group.name in [other.name for other in groups[:place]]:
            problems.append(f"{where}.name: {group.name!r} occurs twice")
        for first, last in group.slots:
            if not 0 <= first <= last < SLOTS:
                problems.append(f"{where}.slots: {first}-{last} is no range within 0-{SLOTS - 1}")
                continue
            for slot in range(first, last + 1):
                if slot in owner:
                    problems.append(f"{where}.slots: {slot} belongs to {owner[slot]!r} too")
                    break
                owner[slot] = group.name
        for prefix in group.prefixes:
            if prefix in prefixes:
                problems.append(f"{where}.prefixes: {prefix!r} belongs to {prefixes[prefix]!r} too")
            prefixes[prefix] = group.name
        if sum(member.primary for member in group.members) > 1:
            problems.append(f"{where}.members: more than one is marked primary")
        for spot, member in enumerate(group.members):
            here = f"{where}.members[{spot}]"
            if member.state not in STATES:
                problems.append(f"{here}.state: {member.state!r} is none of {', '.join(STATES)}")
            if member.name in members:
                problems.append(f"{here}.name: {member.name!r} occurs twice")
            members[member.name] = group.name
            try:
                _, port = split_address(member.address)
            except ValueError as error:
                problems.append(f"{here}.address: {error}")
                continue
            if port and member.address in addresses:
                problems.append(f"{here}.address: {member.address} is {addresses[member.address]!r} too")
            addresses[member.address] = member.name
    return problems
