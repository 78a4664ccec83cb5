"""The group and the request class of a command, by the operator's file. The first route that matches wins."""

from __future__ import annotations

from fnmatch import fnmatchcase

from banklift.interface import Effect, Need, RequestClass
from banklift.proxy.plan import Config
from banklift.resp.slots import slot

# the higher, the more a class demands
NEED_STRENGTH = {Need.ANY: 0, Need.BOUNDED: 1, Need.SESSION: 2, Need.FRESH: 3, Need.WRITE: 4}
# the higher, the more care a repeat of the request needs
EFFECT_STRENGTH = {Effect.SAFE: 0, Effect.KEYED: 1, Effect.UNSAFE: 2}


class CrossGroupKeys(Exception):
    """Keys of one command belong to several groups."""


class UnownedKey(Exception):
    """No group owns a key."""


class Routes:
    """Classes, routes and owners of keys of one operator's file, prepared for lookups."""

    def __init__(self, config: Config) -> None:
        """`config`: a file that has passed `banklift.config.check.check`."""
        self.classes = {
            definition.name: RequestClass(
                definition.name,
                definition.effect,
                definition.need,
                definition.aim,
                definition.deadline,
                definition.worth,
                definition.late_worth,
                definition.bound,
                window=definition.window,
                group_only=definition.group_only,
            )
            for definition in config.classes
        }
        # commands, key pattern, user and class of each route; no commands or None: any
        self.routes = [
            (
                frozenset(name.upper().encode() for name in route.commands),
                route.keys,
                route.user,
                self.classes[route.to],
            )
            for route in config.routes
        ]
        self.default_read = self.classes[config.default_read]
        self.default_write = self.classes[config.default_write]
        # key prefixes and the groups that own them, the longest first
        self.prefixes = sorted(
            (
                (prefix.encode(), index)
                for index, group in enumerate(config.groups)
                for prefix in group.prefixes
            ),
            key=lambda pair: (-len(pair[0]), pair[0]),
        )
        # the owning group of each hash slot
        self.slots: dict[int, int] = {
            number: index
            for index, group in enumerate(config.groups)
            for first, last in group.slots
            for number in range(first, last + 1)
        }

    def group(self, keys: list[bytes]) -> int:
        """The index of the group that owns all these keys; there must be at least one.

        A matching prefix goes before the key's hash slot, and the longest prefix first. Errors: `CrossGroupKeys`,
        `UnownedKey`.
        """
        owner = None
        for key in keys:
            index = next((index for prefix, index in self.prefixes if key.startswith(prefix)), None)
            if index is None:
                index = self.slots.get(slot(key))
            if index is None:
                raise UnownedKey(key)
            if owner is not None and index != owner:
                raise CrossGroupKeys(key)
            owner = index
        assert owner is not None
        return owner

    def request_class(self, name: bytes, keys: list[bytes], writes: bool, user: str) -> RequestClass:
        """The class of a command, by the first route whose commands, user and keys match, or else the default.

        `name`: in capitals. `writes`: whether the command writes. A read never gets a class of writes, and a write
        never gets a class that replicas may serve: such routes are skipped. Every key must match the route's pattern,
        so that a read of several keys gets no class that is less strict than one of its keys demands.
        """
        key_texts: list[str] | None = None
        for commands, pattern, wanted_user, request_class in self.routes:
            if (commands and name not in commands) or (wanted_user is not None and wanted_user != user):
                continue
            if writes != (request_class.need is Need.WRITE):
                continue
            if pattern is not None:
                key_texts = key_texts or [key.decode("utf-8", "surrogateescape") for key in keys]
                if not all(fnmatchcase(key, pattern) for key in key_texts):
                    continue
            return request_class
        return self.default_write if writes else self.default_read


def strictest_class(classes: list[RequestClass]) -> RequestClass:
    """The class of several commands that run as one: a write if there is one, then by effect, need and deadline.

    The strongest effect wins, then the most demanding need, then the shortest deadline.
    """
    return max(
        classes,
        key=lambda request_class: (
            NEED_STRENGTH[request_class.need] == 4,
            EFFECT_STRENGTH[request_class.effect],
            NEED_STRENGTH[request_class.need],
            -request_class.deadline,
        ),
    )
