"""What goes into a Balancer and what comes out: settings, events and actions.

All times are seconds on one clock, the clock of the `now` given to `Balancer.handle`. A position is a
time on that clock too: a member with position p has applied every commit up to p.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Effect(StrEnum):
    """What happens when a request runs twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Need(StrEnum):
    """What a request asks of the member that serves it."""

    WRITE = "write"  # only the primary takes it
    FRESH = "fresh"  # all commits before its arrival
    SESSION = "session"  # all writes of its own session
    BOUNDED = "bounded"  # data no older than a bound when it is sent
    ANY = "any"


class Status(IntEnum):
    """How an attempt ended."""

    OK = 0
    MISS = 1  # turned away untouched: not the primary, or too far behind
    MOOT = 2  # never sent
    CANCELLED = 3
    RESET = 4
    CONNECT_FAILED = 5
    TIMEOUT = 6
    FULL = 7  # turned away unseen
    ERROR = 8


NEVER_RAN = frozenset({Status.MISS, Status.MOOT, Status.CONNECT_FAILED, Status.FULL})


class State(IntEnum):
    """What the list says of a member."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(StrEnum):
    FULL = "full"
    CHANGES = "changes"
    CACHED = "cached"  # the list as last held, perhaps old
    FAILED = "failed"  # a call to the list failed or the watch broke; no entries


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    effect: Effect
    need: Need
    aim: float
    deadline: float
    worth: float
    late_worth: float = 0.0
    bound: float = 0.0  # of a bounded class
    aim_stretch: float = 0.0
    window: float = 0.0  # of a keyed class: how long repeats are discarded
    group_only: bool = False  # of a keyed class: only the request's group discards repeats
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota: float  # requests a second over all balancers; 0: none
    share: float


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    over_share_worth: float = 1.0
    max_attempts: int = 1
    parallel_tries: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after: float = 0.0  # 0: clients hear no retry-after
    must_ask: bool = False  # the list comes only when watched or fetched
    ask_within: float = 0.0
    lists_roles: bool = False  # the list names primaries, at the start of the day at least
    members_check: bool = False  # a member too far behind turns a read away
    check_wait: float = 0.0  # ... after waiting this long
    reports_load: bool = True  # members say how many requests they hold
    answers_carry_position: bool = False
    client_tokens: bool = False  # session reads say how long ago their session wrote
    drain_grace: float = 1.0
    only_draining_binds: bool = False  # a member that vanished undrained may still be tried
    cold_share: float = 1.0
    cold_time: float = 0.0
    fall_multiple: float = 1.0
    fall_time: float = 0.0
    answer_slack: float = 0.0

    def __post_init__(self) -> None:
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
        for kind in self.classes:
            if not (kind.aim > 0 and kind.deadline > 0):
                raise ValueError(f"classes: aim and deadline of {kind.name!r} must be above 0")
            for name in ("worth", "late_worth", "bound", "aim_stretch", "window"):
                if not getattr(kind, name) >= 0:
                    raise ValueError(f"classes: {name} of {kind.name!r} must not be negative")
        for place, names in (
            ("classes", [kind.name for kind in self.classes]),
            ("tenants", [tenant.name for tenant in self.tenants]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"{place}: a name occurs twice")
        for tenant in self.tenants:
            if not (tenant.quota >= 0 and tenant.share >= 0):
                raise ValueError(f"tenants: quota and share of {tenant.name!r} must not be negative")


@dataclass(frozen=True, slots=True)
class Report:
    """What a member says of itself; None where it says nothing."""

    position: float | None = None
    primary: bool | None = None
    in_flight: float | None = None
    queued: float | None = None
    at: float | None = None  # when the role was true; None: as of the position


@dataclass(frozen=True, slots=True)
class Entry:
    """One member in the list."""

    member: str
    group: int
    state: State = State.READY
    started: float | None = None  # None: long ago
    primary: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    kind: str  # name of its class
    group: int
    deadline: float
    tenant: str | None = None
    session: int | None = None
    since_write: float | None = None  # time since its session's last commit; None: no such commit or not told
    cost: float | None = None  # expected work


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt ended."""

    request: int
    attempt: int
    member: str
    status: Status
    finished: bool  # the request has its final answer
    latency: float
    primary: bool | None = None
    position: float | None = None  # of a write that went through: its commit
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int
    member: str


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The client has gone; no answer is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class Ending:
    """This router ends: whatever is open then has its final answer by that time, whatever its deadline."""

    by: float


@dataclass(frozen=True, slots=True)
class Probed:
    member: str
    ok: bool
    latency: float
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


Event = Listing | Request | Outcome | StreamStarted | Abandoned | Ending | Probed | Timer


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request."""

    request: int
    member: str
    timeout: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: nothing ran, a retry does no harm."""

    request: int
    retry_after: float = 0.0
    reason: str = field(default="", compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: it may have run."""

    request: int
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    member: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask for the changes of the list from now on."""


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch | Fetch | Log
