"""Loads and checks the operator's file. One error type tells the file, the place and the reason."""

from __future__ import annotations

from pathlib import Path

import msgspec
import rjsonnet

from banklift.interface import Effect, Need
from banklift.proxy.plan import Config, Group
from banklift.resp.slots import SLOTS

EXAMPLE = Path(__file__).with_name("example.jsonnet")
STATES = ("ready", "draining", "gone")


class ConfigError(Exception):
    """A file that can't be used: `file: place: reason`, one line for each reason."""


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
    """Errors: `ConfigError` with every reason found."""
    try:
        config = msgspec.json.decode(evaluate(path), type=Config)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None
    if problems := check(config):
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
    return config


def load_roster(path: Path, config: Config) -> list[Group]:
    """The groups of a roster file, a list as in `groups`. Errors: `ConfigError`."""
    try:
        groups = msgspec.json.decode(evaluate(path), type=list[Group])
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None
    known = [group.name for group in config.groups]
    problems = check_groups(groups)
    problems += [f"$: group {name!r} is missing" for name in known if name not in {g.name for g in groups}]
    problems += [f"$: unknown group {group.name!r}" for group in groups if group.name not in known]
    if problems:
        raise ConfigError("\n".join(f"{path}: {problem}" for problem in problems))
    return groups


def split_address(address: str) -> tuple[str, int]:
    """Errors: `ValueError` unless it is host:port."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{address!r} is not host:port")
    return host, int(port)


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
    problems += check_fleet(config)
    users = [user.name for user in config.users]
    if len(set(users)) < len(users):
        problems.append("$.users: a name occurs twice")
    return problems


def check_fleet(config: Config) -> list[str]:
    fleet, problems = config.fleet, []
    if fleet is None:
        return []
    seen: dict[str, str] = {}
    for name, address in fleet.voters.items():
        where = f"$.fleet.voters.{name}"
        try:
            split_address(address)
        except ValueError as error:
            problems.append(f"{where}: {error}")
        if address in seen:
            problems.append(f"{where}: {address} is {seen[address]!r} too")
        seen[address] = name
    if fleet.listen is not None:
        try:
            split_address(fleet.listen)
        except ValueError as error:
            problems.append(f"$.fleet.listen: {error}")
    if config.name in fleet.voters and fleet.folder is None:
        problems.append(f"$.fleet.folder: {config.name!r} is a voter, and has no folder for its state")
    return problems


def warnings(config: Config) -> list[str]:
    """What works and is not what one would want, with its place."""
    if config.fleet is not None and len(config.fleet.voters) % 2 == 0:
        count = len(config.fleet.voters)
        return [f"$.fleet.voters: {count} voters bear the loss of no more than {count - 1} do"]
    return []


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
