"""The results of the capacity benchmark: one JSON file, from which the capacity page is made.

Costs are in seconds, bytes and fractions of a core; the page chooses the units that it shows. The names of all fields
and the values of the enums are stored. A fleet "at rest" is one without changes, faults and requests.
"""

from __future__ import annotations

import os
import platform
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path

import msgspec

from banklift.rig import slopes

FORMAT = 1  # version of the file's format


class FigureSource(StrEnum):
    """How a figure was obtained."""

    ISOLATED = "measured alone"  # the measured code alone in one process, without sockets
    HOLLOW = "measured, hollow"  # a hollow fleet: real control code and TCP, many routers in a process, no data plane
    REAL = "measured, real"  # `banklift` processes, as an operator starts them
    CALCULATED = "reckoned"  # from measured figures and the plan


class Victim(StrEnum):
    """What a fault ends at a random time, by SIGKILL unless the value names SIGTERM."""

    NONE = ""
    ROUTER = "a router"
    FIVE_ROUTERS = "five routers"
    FIVE_ROUTERS_BY_SIGTERM = "five routers by SIGTERM"
    AGGREGATOR = "an aggregator"


class Machine(msgspec.Struct, frozen=True):
    """The machine on which a part of the benchmark ran, and its load averages of one minute."""

    cores: int
    memory: int  # bytes
    python: str  # version
    kernel: str  # version
    commit: str  # version of this project, as `git describe` names it
    load_before: float
    load_after: float


class Slope(msgspec.Struct, frozen=True):
    """A cost that was measured at several sizes, how it grows (slopes.py), and its value at the planned size."""

    key: str  # identifies the slope
    role: str  # whose cost it is
    what: str  # which cost it is, in words
    unit: str  # of the cost
    against: str  # what the sizes count, in words
    how: FigureSource
    points: tuple[tuple[float, float], ...]  # size and cost
    form: str  # a `GrowthForm`
    base: float
    factor: float
    residual: float  # root mean square of the relative errors
    size: float  # the planned size
    value: float  # cost at `size`: as measured if that size was, else as fitted


class ResourceUsage(msgspec.Struct, frozen=True):
    """What the members of one kind used in a hollow fleet, on average unless said otherwise."""

    processes: int
    members: int  # that run in these processes
    core: float  # fraction of a core, for each member
    core_most: float  # fraction of a core, of the process that used most
    memory: float  # bytes for each member
    sent: float  # bytes of payload a second, for each member
    received: float  # bytes of payload a second, for each member
    messages: float  # sent a second, for each member


class IdleFleet(msgspec.Struct, frozen=True):
    """A hollow fleet at rest: all members run, and no change is under way."""

    routers: int  # without the voters
    voters: int
    aggregators: int  # 0: the routers lease from the voters
    lease: float  # seconds
    sub_lease: float  # seconds; 0 without aggregators
    seconds: float  # for which it was measured
    router: ResourceUsage
    voter: ResourceUsage
    aggregator: ResourceUsage | None  # None without aggregators
    machine_core: float  # cores that all processes of the fleet use together
    start: float  # seconds from the start of the first process until the last router had its lease
    refusing: int  # lapses: times that a router had no lease after its first one


class ChangeSeries(msgspec.Struct, frozen=True):
    """A series of changes of policy in a hollow fleet, each with the same kind of fault or none."""

    routers: int  # without the voters
    voters: int
    aggregators: int  # 0: the routers lease from the voters
    lease: float  # seconds
    sub_lease: float  # seconds; 0 without aggregators
    kill: str  # the `Victim` of each change; empty for none
    rate: float  # changes a second that should begin; 0: one after the other
    policy: int  # bytes of each policy
    times: tuple[float, ...]  # seconds from the proposal until the last live router served the new policy
    told: tuple[float, ...]  # seconds from the proposal until the operator was told "in force"
    failed: int  # changes that were not in force everywhere in time
    seconds: float  # that the whole series took
    router: ResourceUsage
    voter: ResourceUsage
    aggregator: ResourceUsage | None  # None without aggregators
    machine_core: float  # cores that all processes of the fleet use together
    refusing_most: float  # seconds of the longest lapse, in which a router has no lease
    refusing_mean: float  # seconds that a router had no lease, on average for one change


class AggregatorKills(msgspec.Struct, frozen=True):
    """Aggregators of a hollow fleet at rest that were killed, one after the other."""

    routers: int  # without the voters
    aggregators: int
    trials: int  # aggregators killed
    moved: int  # routers that leased from them, in all trials together
    refusing: int  # lapses: times that a router had no lease
    refusing_most: float  # seconds of the longest lapse


class IdleRouters(msgspec.Struct, frozen=True):
    """Processes of `banklift router` at rest. The averages are over the routers that are no voters."""

    processes: int  # without the voters
    voters: int
    seconds: float  # for which they were measured
    core: float  # fraction of a core, for each process
    memory: float  # bytes resident, for each process
    memory_alone: float  # bytes of these that a process does not share, for each process


class Results(msgspec.Struct, frozen=True):
    """The whole file. What was not measured is empty."""

    format: int = FORMAT
    machines: dict[str, Machine] = {}  # by part of the benchmark
    slopes: tuple[Slope, ...] = ()
    before: tuple[Slope, ...] = ()  # of an older version, whose lease table scanned all holders
    rests: tuple[IdleFleet, ...] = ()
    changes: tuple[ChangeSeries, ...] = ()
    deaths: tuple[AggregatorKills, ...] = ()
    real: tuple[IdleRouters, ...] = ()
    notes: tuple[str, ...] = ()  # what a run could not measure, and why

    def slope(self, key: str) -> Slope | None:
        """The slope with this key, or None if it was not measured."""
        return next((slope for slope in self.slopes if slope.key == key), None)


def fit_slope(
    key: str,
    role: str,
    what: str,
    unit: str,
    against: str,
    how: FigureSource,
    points: Sequence[tuple[float, float]],
    size: float,
) -> Slope:
    """Make a slope by fitting the points, pairs of size and cost. `size`: the planned size. The other arguments are
    fields of `Slope`.

    Errors: `ValueError` with fewer than two points.
    """
    fit = slopes.simplest_fit([slopes.Point(*point) for point in points])
    measured = next((cost for point_size, cost in points if point_size == size), None)
    value = fit.cost(size) if measured is None else measured
    return Slope(
        key,
        role,
        what,
        unit,
        against,
        how,
        tuple(points),
        str(fit.form),
        fit.base,
        fit.factor,
        fit.residual,
        size,
        value,
    )


def load_average() -> float:
    """The machine's load average of one minute."""
    return os.getloadavg()[0]


def describe_machine(commit: str, load_before: float) -> Machine:
    """This machine, once the part that was measured has ended. `load_before`: `load_average` at its start."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(
        os.cpu_count() or 1,
        memory,
        platform.python_version(),
        platform.release().split("-")[0],
        commit,
        load_before,
        load_average(),
    )


def read_results(path: Path) -> Results:
    """Read a file of results. Errors: `OSError`, `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def write_results(path: Path, results: Results) -> None:
    """Write a file of results. Errors: `OSError`."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
