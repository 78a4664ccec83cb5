"""The operator's file, as types. Times are seconds, sizes bytes. Unknown keys are refused.

Source of the classes' fields: `banklift.interface.RequestClass`; of the rules' figures: `banklift.interface.Settings`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from banklift.interface import Effect, Need
from banklift.proxy.fleet_plan import Fleet
from banklift.proxy.schema import Count, Name, Positive, Seconds, Strict

__all__ = [
    "Class",
    "Config",
    "Count",
    "Fleet",
    "Group",
    "Limits",
    "Member",
    "Name",
    "Positive",
    "Route",
    "Rules",
    "Seconds",
    "Strict",
    "User",
]


class Member(Strict, kw_only=True, frozen=True):
    name: Name
    address: str  # host:port; port 0 only for stand-ins, which then choose one
    primary: bool = False  # as far as known when the file was written
    state: str = "ready"  # ready, draining or gone
    started: float | None = None  # seconds since the epoch; null: long ago


class Group(Strict, kw_only=True, frozen=True):
    name: Name
    slots: list[tuple[int, int]] = msgspec.field(default_factory=list)  # ranges of hash slots, both ends in
    prefixes: list[str] = msgspec.field(default_factory=list)  # key prefixes; they go before slots
    members: list[Member]


class Class(Strict, kw_only=True, frozen=True):
    name: Name
    effect: Effect
    need: Need
    aim: Positive
    deadline: Positive
    worth: Seconds = 1.0
    late_worth: Seconds = 0.0
    bound: Seconds = 0.0  # how old the data of a bounded read may be
    window: Seconds = 0.0  # how long members discard repeats of a keyed request
    group_only: bool = False


class Route(Strict, kw_only=True, frozen=True):
    """Commands of one kind go to a class; every field that is given must match, and the first match wins."""

    to: str
    commands: list[str] = msgspec.field(default_factory=list)
    keys: str | None = None  # shell pattern that every key must match
    user: str | None = None


class User(Strict, kw_only=True, frozen=True):
    name: Name
    password: str


class Limits(Strict, kw_only=True, frozen=True):
    clients: Count = 10_000
    frame: Count = 64 * 1024 * 1024
    pipeline: Count = 256  # commands of one client without an answer before it is no longer read
    links: Count = 64  # to one member
    all_links: Count = 65_536  # to all members together
    waiting: Count = 1024  # attempts that wait for a link to one member
    queue: Count = 4096  # requests of one class open in one group; one on top is refused at once
    connect: Positive = 0.5
    probe: Positive = 1.0
    margin: Seconds = 0.02  # of a class's deadline, kept for the answer's way back
    idle: Positive = 60.0  # after which an unused link is closed


class Rules(Strict, kw_only=True, frozen=True):
    """The figures of the five rules and what members can do."""

    max_attempts: Count = 4
    max_retry_after: Seconds = 1.0
    drain_grace: Seconds = 1.0
    cold_share: Positive = 1.0
    cold_time: Seconds = 0.0
    fall_multiple: Positive = 1.0
    fall_time: Seconds = 0.0


class Config(Strict, kw_only=True, frozen=True):
    groups: Annotated[list[Group], Meta(min_length=1)]
    classes: Annotated[list[Class], Meta(min_length=1)]
    routes: list[Route] = msgspec.field(default_factory=list)
    default_read: str
    default_write: str
    listen: str = "127.0.0.1:6380"
    name: Name = "router"
    source: str | None = None  # local address of connections to members
    sessions: str = "roaming"  # roaming: a session may write at another router; connection: it may not
    users: list[User] = msgspec.field(default_factory=list)
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)
    member_user: str | None = None
    member_password: str | None = None
    roster: str | None = None  # file with the groups as they are now, watched; beside this one
    fleet: Fleet | None = None
