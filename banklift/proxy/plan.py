"""The operator's configuration file, as types; a field's name is its key in the file.

Times are seconds, sizes bytes. Unknown keys are rejected. The fields of `Class` become those of
`banklift.interface.RequestClass`, and the fields of `Rules` those of `banklift.interface.Settings`.
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
    """A server behind the router."""

    name: Name
    address: str  # host:port; port 0 only for emulated members, which then choose a free one
    primary: bool = False  # as known when the file was written
    state: str = "ready"  # ready, draining or gone
    started: float | None = None  # start time, in seconds since the Unix epoch; null: long ago


class Group(Strict, kw_only=True, frozen=True):
    """A primary with its replicas, and the keys that it holds."""

    name: Name
    slots: list[tuple[int, int]] = msgspec.field(
        default_factory=list
    )  # ranges of hash slots, both ends included
    prefixes: list[str] = msgspec.field(default_factory=list)  # key prefixes; they take precedence over slots
    members: list[Member]


class Class(Strict, kw_only=True, frozen=True):
    """A class of requests: what they need of a member, and by when."""

    name: Name
    effect: Effect
    need: Need
    aim: Positive  # seconds after arrival within which an answer is on time
    deadline: Positive  # seconds after arrival within which the final answer is due
    worth: Seconds = 1.0  # value of an answer that is on time
    late_worth: Seconds = 0.0  # value of an answer between aim and deadline
    bound: Seconds = 0.0  # staleness bound of the data of a bounded read
    window: Seconds = 0.0  # idempotency window: how long members discard repeats of a keyed request
    group_only: bool = False  # only the group that a keyed request went to discards its repeats


class Route(Strict, kw_only=True, frozen=True):
    """Assigns commands to a class: every field that is given must match, and the first matching route wins."""

    to: str  # name of the class
    commands: list[str] = msgspec.field(default_factory=list)  # names of commands; empty: any
    keys: str | None = None  # shell pattern that every key must match
    user: str | None = None


class User(Strict, kw_only=True, frozen=True):
    """Credentials that clients may authenticate with."""

    name: Name
    password: str


class Limits(Strict, kw_only=True, frozen=True):
    """Bounds on connections, queues and times of one router."""

    clients: Count = 10_000  # connections of clients
    frame: Count = 64 * 1024 * 1024  # bytes of one command or answer
    pipeline: Count = 256  # unanswered commands of one client; at the limit the router stops reading from it
    links: Count = 64  # connections to one member
    all_links: Count = 65_536  # connections to all members together
    waiting: Count = 1024  # attempts that wait for a link to one member
    queue: Count = 4096  # pending requests of one class in one group; more are refused at once
    connect: Positive = 0.5  # timeout of a connection to a member
    probe: Positive = 1.0  # timeout of a probe
    margin: Seconds = 0.02  # part of a class's deadline that is left for the answer's way to the client
    idle: Positive = 60.0  # time after which an unused link is closed


class Rules(Strict, kw_only=True, frozen=True):
    """Parameters of the five rules, and of the capacity of members."""

    max_attempts: Count = 4  # attempts of one request
    max_retry_after: Seconds = 1.0  # the longest time after which a refused client is asked to try again
    drain_grace: Seconds = 1.0  # time within which a listed drain has to be obeyed
    cold_share: Positive = 1.0  # share of its capacity that a member has at its start (slow start)
    cold_time: Seconds = 0.0  # time after its start until a member has its full capacity
    fall_multiple: Positive = 1.0
    fall_time: Seconds = 0.0


class Config(Strict, kw_only=True, frozen=True):
    """The whole file."""

    groups: Annotated[list[Group], Meta(min_length=1)]
    classes: Annotated[list[Class], Meta(min_length=1)]
    routes: list[Route] = msgspec.field(default_factory=list)
    default_read: str  # class of reading commands that match no route
    default_write: str  # class of writing commands that match no route
    listen: str = "127.0.0.1:6380"  # host:port for clients
    name: Name = "router"
    memory_mb: Positive | None = (
        None  # memory that the process may have; null: it does not bound what it holds
    )
    source: str | None = None  # local address of connections to members
    sessions: str = "roaming"  # roaming: a session may write at another router; connection: it may not
    users: list[User] = msgspec.field(default_factory=list)  # empty: no authentication
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)
    member_user: str | None = None  # credentials of the router at the members
    member_password: str | None = None
    roster: str | None = None  # file with the current groups, which is watched; relative to this file
    fleet: Fleet | None = None
