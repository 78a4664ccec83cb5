"""What goes into a `Balancer` and what comes out of it: settings, events and actions.

Times are seconds on one clock, that of the `now` given to `Balancer.handle`; durations are seconds. A replication
position is a time on that clock too: a member at position p has applied every commit up to p.

An attempt is identified by its request and its number; the attempts of a request are numbered from 0 in the order of
their `Send` actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Effect(StrEnum):
    """What happens when a request runs twice."""

    SAFE = "safe"  # no harm: it may be repeated at any time
    KEYED = "keyed"  # members recognise the repeat and discard it, for a limited time
    UNSAFE = "unsafe"  # its effect happens twice, so it is never repeated once it may have run


class Need(StrEnum):
    """What a request requires of the member that serves it."""

    WRITE = "write"  # the primary
    FRESH = "fresh"  # all commits before its arrival, so the primary too
    SESSION = "session"  # all writes of its own session
    BOUNDED = "bounded"  # data no older than the class's staleness bound when it is sent
    ANY = "any"  # any member


class Status(IntEnum):
    """How an attempt ended."""

    OK = 0
    MISS = 1  # rejected without running: the member is not the primary, or too far behind
    MOOT = 2  # never sent to the member
    CANCELLED = 3
    RESET = 4  # the connection broke
    CONNECT_FAILED = 5
    TIMEOUT = 6
    FULL = 7  # rejected by an overloaded member without running
    ERROR = 8


# Statuses of attempts that have certainly had no effect.
NEVER_RAN = frozenset({Status.MISS, Status.MOOT, Status.CONNECT_FAILED, Status.FULL})


class State(IntEnum):
    """What the list says of a member."""

    READY = 0
    DRAINING = 1  # finishes what it has, gets nothing new
    GONE = 2


class ListKind(StrEnum):
    """What a message about the list of members contains."""

    FULL = "full"  # all members; those that are missing are gone
    CHANGES = "changes"  # only the members that changed
    CACHED = "cached"  # the list as it was last stored, possibly outdated
    FAILED = "failed"  # nothing: a call to the list failed or the watch broke


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that requests of one class share. Worths are relative to those of other classes."""

    name: str
    effect: Effect
    need: Need
    aim: float  # seconds from arrival within which an answer has its full worth
    deadline: float  # seconds from arrival by which every request has to have its final answer
    worth: float  # of an answer within the aim
    late_worth: float = 0.0  # of an answer between aim and deadline
    bound: float = 0.0  # need BOUNDED: highest age of the data, in seconds
    aim_stretch: float = 0.0  # what is added to the aim, in seconds for each unit of `Request.cost`
    window: float = 0.0  # effect KEYED: seconds for which members discard repeats
    group_only: bool = False  # effect KEYED: only members of the request's own group discard repeats
    streamed: bool = False  # its answers are streams; no decision depends on it so far


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose requests count together."""

    name: str
    quota: float  # requests a second over all routers; 0: none
    share: float  # fraction of the capacity


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer knows of its site from the start. Durations are seconds.

    No decision of the balancer depends so far on tenants, over_share_worth, parallel_tries, lists_roles, check_wait,
    answers_carry_position, drain_grace, fall_time and answer_slack.

    Raises `ValueError` with the name of the field if a value makes no sense.
    """

    classes: tuple[RequestClass, ...]  # at least one
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # routers in front of the same members
    over_share_worth: float = 1.0  # factor on the worth of requests beyond their tenant's share
    max_attempts: int = 1  # attempts of one request at members
    parallel_tries: bool = False  # a request may have several attempts in flight at once
    may_cancel: bool = False  # attempts in flight can be cancelled
    may_probe: bool = False  # members can be probed for reports
    max_retry_after: float = 0.0  # longest delay told to refused clients; 0: they are told none
    must_ask: bool = False  # the list comes only when watched or fetched
    ask_within: float = 0.0  # time within which a router has to ask for the list again after a failure
    lists_roles: bool = False  # the list names primaries, at least when a router starts
    members_check: bool = False  # a member that is too far behind rejects a read
    check_wait: float = 0.0  # how long such a member waits for its replication first
    reports_load: bool = True  # reports say how many requests a member has
    answers_carry_position: bool = False  # answers to writes carry the position of their commit
    client_tokens: bool = False  # session reads say how long ago their session wrote
    drain_grace: float = 1.0  # time after the list tells of a drain until nothing may reach the member
    only_draining_binds: bool = False  # a member that left the list without draining may still be tried
    cold_share: float = 1.0  # fraction of its capacity that a member has when it starts
    cold_time: float = 0.0  # time in which a member warms up to its full capacity
    fall_multiple: float = 1.0  # rule 4: load at which a cold member fails, as a multiple of its capacity
    fall_time: float = 0.0  # rule 4: time over which that load is measured
    answer_slack: float = 0.0  # time after the deadline within which a final answer is still accepted

    def __post_init__(self) -> None:
        """Check the values. `not value >= 0` refuses NaN too."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for name in ("balancers", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be 1 or more")
        for name in (
            "max_retry_after",
            "ask_within",
            "check_wait",
            "drain_grace",
            "cold_time",
            "fall_time",
            "answer_slack",
            "cold_share",
            "fall_multiple",
            "over_share_worth",
        ):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")
        for request_class in self.classes:
            if not (request_class.aim > 0 and request_class.deadline > 0):
                raise ValueError(f"classes: aim and deadline of {request_class.name!r} must be above 0")
            for name in ("worth", "late_worth", "bound", "aim_stretch", "window"):
                if not getattr(request_class, name) >= 0:
                    raise ValueError(f"classes: {name} of {request_class.name!r} must not be negative")
        for setting, names in (
            ("classes", [request_class.name for request_class in self.classes]),
            ("tenants", [tenant.name for tenant in self.tenants]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"{setting}: a name occurs twice")
        for tenant in self.tenants:
            if not (tenant.quota >= 0 and tenant.share >= 0):
                raise ValueError(f"tenants: quota and share of {tenant.name!r} must not be negative")


@dataclass(frozen=True, slots=True)
class Report:
    """What a member says of itself; None where it says nothing."""

    position: float | None = None
    primary: bool | None = None  # its role
    in_flight: float | None = None  # requests that it works on
    queued: float | None = None  # requests that wait there
    at: float | None = None  # time at which the role was true; None: as of the position


@dataclass(frozen=True, slots=True)
class Entry:
    """One member in the list."""

    member: str
    group: int
    state: State = State.READY
    started: float | None = None  # None: long ago
    primary: bool = False  # the list names it as its group's primary, perhaps wrongly by now


@dataclass(frozen=True, slots=True)
class Listing:
    """Event: the list of members, a change of it, or a failed call to it."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client sent a request."""

    id: int
    kind: str  # name of its class
    group: int
    deadline: float  # clock time
    tenant: str | None = None
    session: int | None = None
    since_write: float | None = None  # seconds since its session's last commit; None: none, or not told
    cost: float | None = None  # expected work, in the unit of `RequestClass.aim_stretch`


@dataclass(frozen=True, slots=True)
class Outcome:
    """Event: an attempt ended."""

    request: int
    attempt: int
    member: str
    status: Status
    finished: bool  # the request has its final answer by this attempt
    latency: float  # seconds since the attempt was sent
    primary: bool | None = None  # the member's role, if the answer tells it
    position: float | None = None  # of a write that went through: its commit
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """Event: an answer began to stream; the balancer has no more to do with its request."""

    request: int
    attempt: int
    member: str


@dataclass(frozen=True, slots=True)
class Abandoned:
    """Event: the client has gone; its request needs no answer."""

    request: int


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Event: the router shuts down; every pending request gets its final answer by then, whatever its deadline."""

    deadline: float  # clock time


@dataclass(frozen=True, slots=True)
class Probed:
    """Event: a probe of a member ended."""

    member: str
    ok: bool  # the member answered
    latency: float  # seconds since the probe was sent
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Timer:
    """Event: the timer that was set with this token is due."""

    token: int


Event = Listing | Request | Outcome | StreamStarted | Abandoned | Shutdown | Probed | Timer


@dataclass(frozen=True, slots=True)
class Send:
    """Action: start the next attempt of a request. It ends by an `Outcome`, also if it can't be started."""

    request: int
    member: str
    timeout: float  # seconds
    attempt: int = 0  # its number


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: final answer to a request whose retry does no harm, as nothing ran or as its class allows repeats."""

    request: int
    retry_after: float = 0.0  # seconds after which the client should retry; 0: not told
    reason: str = field(default="", compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: final answer to a request that may have run and must not be repeated."""

    request: int
    reason: str = field(default="", compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an attempt in flight."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask a member for a report."""

    member: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: return a `Timer` event with this token after the delay."""

    delay: float  # seconds
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Action: ask for the changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Action: ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | Fetch | Log
