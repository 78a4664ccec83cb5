"""From commands to groups and classes, by the operator's file. The first route that matches wins."""

from __future__ import annotations

from fnmatch import fnmatchcase

from banklift.interface import Effect, Need, RequestClass
from banklift.proxy.plan import Config
from banklift.resp.slots import slot

STRENGTH = {Need.ANY: 0, Need.BOUNDED: 1, Need.SESSION: 2, Need.FRESH: 3, Need.WRITE: 4}
EFFECTS = {Effect.SAFE: 0, Effect.KEYED: 1, Effect.UNSAFE: 2}


class CrossGroupKeys(Exception):
    """Keys of one command belong to several groups."""


class UnownedKey(Exception):
    """No group owns a key."""


class Routes:
    def __init__(self, config: Config) -> None:
        self.classes = {
            kind.name: RequestClass(
                kind.name,
                kind.effect,
                kind.need,
                kind.aim,
                kind.deadline,
                kind.worth,
                kind.late_worth,
                kind.bound,
                window=kind.window,
                group_only=kind.group_only,
            )
            for kind in config.classes
        }
        self.routes = [
            (
                frozenset(name.upper().encode() for name in route.commands),
                route.keys,
                route.user,
                self.classes[route.to],
            )
            for route in config.routes
        ]
        self.read = self.classes[config.default_read]
        self.write = self.classes[config.default_write]
        self.prefixes = sorted(
            (
                (prefix.encode(), place)
                for place, group in enumerate(config.groups)
                for prefix in group.prefixes
            ),
            key=lambda pair: (-len(pair[0]), pair[0]),
        )
        self.slots: dict[int, int] = {
            number: place
            for place, group in enumerate(config.groups)
            for first, last in group.slots
            for number in range(first, last + 1)
        }

    def group(self, keys: list[bytes]) -> int:
        """The group that owns the keys. Errors: `CrossGroupKeys`, `UnownedKey`."""
        owner = None
        for key in keys:
            place = next((place for prefix, place in self.prefixes if key.startswith(prefix)), None)
            if place is None:
                place = self.slots.get(slot(key))
            if place is None:
                raise UnownedKey(key)
            if owner is not None and place != owner:
                raise CrossGroupKeys(key)
            owner = place
        assert owner is not None
        return owner

    def request_class(self, name: bytes, keys: list[bytes], writes: bool, user: str) -> RequestClass:
        """The class of a command; one that reads never goes to a class less careful than its keys' route says,
        and one that writes never to a class that replicas may serve."""
        names: list[str] | None = None
        for commands, pattern, wanted, kind in self.routes:
            if (commands and name not in commands) or (wanted is not None and wanted != user):
                continue
            if writes != (kind.need is Need.WRITE):
                continue
            if pattern is not None:
                names = names or [key.decode("utf-8", "surrogateescape") for key in keys]
                if not all(fnmatchcase(key, pattern) for key in names):
                    continue
            return kind
        return self.write if writes else self.read


def strictest_class(kinds: list[RequestClass]) -> RequestClass:
    """The class that a unit of several commands goes by: the strictest_class effect, then the most demanding need."""
    return max(
        kinds,
        key=lambda kind: (
            STRENGTH[kind.need] == 4,
            EFFECTS[kind.effect],
            STRENGTH[kind.need],
            -kind.deadline,
        ),
    )
