"""Checks of a router's file: what its types can't say. Pure; every reason comes with its place in the file."""

from __future__ import annotations

from banklift.config.address import split_address
from banklift.config.fleet import check_fleet, fleet_warnings
from banklift.config.groups import check_groups
from banklift.interface import Effect, Need
from banklift.proxy.plan import Class, Config

SESSIONS = ("roaming", "connection")


def check(config: Config) -> list[str]:
    """Every reason against the file."""
    return [
        *check_groups(config.groups),
        *_check_classes(config.classes),
        *_check_routes(config),
        *_check_router(config),
        *([] if config.fleet is None else check_fleet(config.name, config.fleet)),
        *_check_users(config),
    ]


def warnings(config: Config) -> list[str]:
    """What works and is not what one would want, with its place."""
    return [] if config.fleet is None else fleet_warnings(config.name, config.fleet)


def _check_classes(classes: list[Class]) -> list[str]:
    problems: list[str] = []
    names: set[str] = set()
    for place, kind in enumerate(classes):
        where = f"$.classes[{place}]"
        if kind.name in names:
            problems.append(f"{where}.name: {kind.name!r} occurs twice")
        names.add(kind.name)
        if kind.aim > kind.deadline:
            problems.append(f"{where}.aim: {kind.aim:g} s is beyond the deadline of {kind.deadline:g} s")
        if kind.need is Need.BOUNDED and kind.bound <= 0:
            problems.append(f"{where}.bound: a bounded read needs a bound above 0")
        if kind.effect is Effect.KEYED and kind.window <= 0:
            problems.append(f"{where}.window: a keyed class needs a window above 0")
    return problems


def _check_routes(config: Config) -> list[str]:
    """Whether all that names a class names one that there is."""
    needs = {kind.name: kind.need for kind in config.classes}
    named = [("$.default_read", config.default_read), ("$.default_write", config.default_write)]
    named += [(f"$.routes[{place}].to", route.to) for place, route in enumerate(config.routes)]
    problems = [f"{where}: no class is named {name!r}" for where, name in named if name not in needs]
    if needs.get(config.default_write, Need.WRITE) is not Need.WRITE:
        problems.append(f"$.default_write: {config.default_write!r} does not go to the primary")
    return problems


def _check_router(config: Config) -> list[str]:
    problems: list[str] = []
    if config.sessions not in SESSIONS:
        problems.append("$.sessions: must be 'roaming' or 'connection'")
    try:
        split_address(config.listen)
    except ValueError as error:
        problems.append(f"$.listen: {error}")
    return problems


def _check_users(config: Config) -> list[str]:
    users = [user.name for user in config.users]
    return ["$.users: a name occurs twice"] if len(set(users)) < len(users) else []
