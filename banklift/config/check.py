"""Checks of a router's file that its types can't express. Does no I/O; every problem names its place in the file."""

from __future__ import annotations

from banklift.config.address import split_address
from banklift.config.fleet import check_fleet, fleet_warnings
from banklift.config.groups import check_groups
from banklift.interface import Effect, Need
from banklift.proxy.plan import Class, Config

SESSION_MODES = ("roaming", "connection")


def check(config: Config) -> list[str]:
    """Every problem of the file as `place: reason`; none if it can be used."""
    return [
        *check_groups(config.groups),
        *_check_classes(config.classes),
        *_check_routes(config),
        *_check_router(config),
        *([] if config.fleet is None else check_fleet(config.name, config.fleet)),
        *_check_users(config),
    ]


def warnings(config: Config) -> list[str]:
    """What is allowed but likely unintended, as `place: reason`."""
    return [] if config.fleet is None else fleet_warnings(config.name, config.fleet)


def _check_classes(classes: list[Class]) -> list[str]:
    """Checks whether names are unique, and times and bounds fit each class's effect and need."""
    problems: list[str] = []
    names: set[str] = set()
    for index, definition in enumerate(classes):
        where = f"$.classes[{index}]"
        if definition.name in names:
            problems.append(f"{where}.name: {definition.name!r} occurs twice")
        names.add(definition.name)
        if definition.aim > definition.deadline:
            problems.append(
                f"{where}.aim: {definition.aim:g} s is beyond the deadline of {definition.deadline:g} s"
            )
        if definition.need is Need.BOUNDED and definition.bound <= 0:
            problems.append(f"{where}.bound: a bounded read needs a bound above 0")
        if definition.effect is Effect.KEYED and definition.window <= 0:
            problems.append(f"{where}.window: a keyed class needs a window above 0")
    return problems


def _check_routes(config: Config) -> list[str]:
    """Checks whether every class that is named exists, and the default class of writes is one."""
    needs = {definition.name: definition.need for definition in config.classes}
    references = [("$.default_read", config.default_read), ("$.default_write", config.default_write)]
    references += [(f"$.routes[{index}].to", route.to) for index, route in enumerate(config.routes)]
    problems = [f"{where}: no class is named {name!r}" for where, name in references if name not in needs]
    if needs.get(config.default_write, Need.WRITE) is not Need.WRITE:
        problems.append(f"$.default_write: {config.default_write!r} is not a class of writes")
    return problems


def _check_router(config: Config) -> list[str]:
    """Checks whether the mode of sessions and the listening address are valid."""
    problems: list[str] = []
    if config.sessions not in SESSION_MODES:
        problems.append("$.sessions: must be 'roaming' or 'connection'")
    try:
        split_address(config.listen)
    except ValueError as error:
        problems.append(f"$.listen: {error}")
    return problems


def _check_users(config: Config) -> list[str]:
    """Checks whether names of users are unique."""
    users = [user.name for user in config.users]
    return ["$.users: a name occurs twice"] if len(set(users)) < len(users) else []
