"""The messages between a process of hollow members and its driver: typed structs as JSON, one to a line.

The driver (hollow_fleet.py) writes a `Spec` into a file and sends commands on the process's standard input; the process
(hollow.py) sends its reports on its standard output. Points in time are seconds of CLOCK_MONOTONIC, which all processes
of one machine share. The class name of a command or report is its tag on the wire.
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
    """What one process runs, and the settings of its fleet."""

    kind: Kind
    fleet: str  # name of the fleet
    names: tuple[str, ...]  # members that the process runs
    voters: dict[str, str]  # addresses by name
    lease: float  # seconds that a voter grants
    drift: float  # fraction by which the rates of two clocks may differ
    policy: str  # text of the first policy
    seed: int  # of the process's random numbers
    aggregators: dict[str, str] = {}  # addresses by name
    choices: dict[
        str, tuple[str, ...]
    ] = {}  # aggregators by router, the preferred one first; absent: the voters
    sub_lease: float = 0.0  # seconds that an aggregator grants; 0 without aggregators
    folder: str = ""  # path of a voter's state; empty for other kinds
    start: float = 0.0  # seconds over which the start of the members is spread


# ---- commands


class Command(msgspec.Struct, frozen=True, tag=True):
    """Base of the messages from the driver to a process."""


class Report(Command, frozen=True):
    """Send the figures up to now, in a `Figures` that repeats this number."""

    number: int


class Kill(Command, frozen=True):
    """End these members as SIGKILL would: their links break, and they give no lease back."""

    names: tuple[str, ...]


class Leave(Command, frozen=True):
    """Shut these members down as SIGTERM would: they give their leases back first."""

    names: tuple[str, ...]


class Start(Command, frozen=True):
    """Start these members again, each as a new incarnation."""

    names: tuple[str, ...]


AnyCommand = Report | Kill | Leave | Start


# ---- reports


class Answer(msgspec.Struct, frozen=True, tag=True):
    """Base of the messages from a process to the driver."""


class Ready(Answer, frozen=True):
    """The process runs and, if other processes connect to it, listens."""

    pid: int


class Serving(Answer, frozen=True):
    """How many members of the process serve an epoch."""

    epoch: int
    serving: int  # members that serve it
    live: int  # members that run
    last: float  # when the last of them adopted it


class Figures(Answer, frozen=True):
    """Counters of a process since its start, but for `longest` and `lapsed_names`, which begin anew with each report.

    A lapse is a time in which a member has no lease after its first one; a router that served traffic would refuse
    requests in it.
    """

    number: int  # of the `Report` command that this answers
    time: float  # at which the figures were taken
    cpu: float  # processor seconds
    memory: int  # bytes resident now
    memory_empty: int  # bytes resident before the first member started
    sent: int  # bytes of payload
    received: int  # bytes of payload
    messages: int  # writes to a link
    lapses: int
    lapsed: float  # seconds of all lapses, summed over all members
    longest: float  # seconds of the longest lapse
    lapsed_names: tuple[str, ...]  # some of the members with a lapse


class Ousted(Answer, frozen=True):
    """The fleet turned a member away for this reason; the member has ended."""

    name: str
    reason: str


AnyAnswer = Ready | Serving | Figures | Ousted
