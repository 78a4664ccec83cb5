"""What a process of hollow members is told and what it tells: typed structs as JSON, one to a line.

The driver (hollow_fleet.py) writes a `Spec` into a file and commands on the process's standard input; reports come on
its standard output. Points in time are CLOCK_MONOTONIC, the same for all processes of one machine.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class Kind(StrEnum):
    """What a process runs: many routers, or one control process."""

    ROUTERS = "routers"
    VOTER = "voter"
    AGGREGATOR = "aggregator"


class Spec(msgspec.Struct, frozen=True):
    """One process. `names`: its members. `choices`: the aggregators that each router leases from, the preferred one
    first; a router that is not there leases from the voters. `start`: seconds over which its routers start."""

    kind: Kind
    fleet: str
    names: tuple[str, ...]
    voters: dict[str, str]  # addresses by name
    lease: float
    drift: float
    policy: str
    seed: int
    aggregators: dict[str, str] = {}  # addresses by name
    choices: dict[str, tuple[str, ...]] = {}
    sub_lease: float = 0.0
    folder: str = ""  # of a voter's state
    start: float = 0.0


# ---- commands


class Command(msgspec.Struct, frozen=True, tag=True):
    pass


class Report(Command, frozen=True):
    """Tell the figures up to now; the answer has this number."""

    number: int


class Kill(Command, frozen=True):
    """End these members as a SIGKILL would: their links break, nothing is said."""

    names: tuple[str, ...]


class Leave(Command, frozen=True):
    """Let these members go as on SIGTERM: they give their leases back."""

    names: tuple[str, ...]


class Start(Command, frozen=True):
    """Start these members again, each as a new incarnation."""

    names: tuple[str, ...]


AnyCommand = Report | Kill | Leave | Start


# ---- reports


class Answer(msgspec.Struct, frozen=True, tag=True):
    pass


class Ready(Answer, frozen=True):
    """The process runs and, if others dial it, listens."""

    pid: int


class Serving(Answer, frozen=True):
    """So many of the process's `live` members serve this epoch; the last of them adopted it at `last`."""

    epoch: int
    serving: int
    live: int
    last: float


class Figures(Answer, frozen=True):
    """Since the start of the process. `lapses`: times that a member was without a lease after its first one, when a
    request would have been refused; `lapsed`: seconds of that, over all members; `longest`: of one lapse."""

    number: int
    time: float
    cpu: float  # processor seconds
    memory: int  # bytes resident now
    memory_empty: int  # bytes resident before the first member started
    sent: int  # bytes
    received: int
    messages: int  # writes to a link
    lapses: int
    lapsed: float
    longest: float
    lapsed_names: tuple[str, ...]  # some of the members that had one


class Ousted(Answer, frozen=True):
    """A member can't be a part of the fleet; it has ended."""

    name: str
    reason: str


AnyAnswer = Ready | Serving | Figures | Ousted
