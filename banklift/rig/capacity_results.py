"""What the benchmark of capacity writes and the page is made from: typed, as one JSON file.

Costs are in seconds, bytes and parts of a core; the page chooses the units that it shows.
"""

from __future__ import annotations

import os
import platform
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path

import msgspec

from banklift.rig import slopes

FORMAT = 1  # of the file


class How(StrEnum):
    """Where a figure comes from."""

    ALONE = "measured alone"  # the code under measurement in one process, without sockets
    HOLLOW = "measured, hollow"  # real control code and TCP, many routers to a process, no data plane
    REAL = "measured, real"  # the program as an operator starts it
    RECKONED = "reckoned"  # by arithmetic from measured figures and the plan


class Victim(StrEnum):
    """What is ended at a drawn moment; by SIGKILL unless said otherwise."""

    NOBODY = ""
    ROUTER = "a router"
    ROUTERS = "five routers"
    LEAVING = "five routers by SIGTERM"
    AGGREGATOR = "an aggregator"


class Machine(msgspec.Struct, frozen=True):
    """Where a part was measured, and how busy it was: load averages of one minute."""

    cores: int
    memory: int  # bytes
    python: str
    kernel: str
    commit: str
    load_before: float
    load_after: float


class Slope(msgspec.Struct, frozen=True):
    """A cost measured at several sizes, with the form that was fitted, and its value at the planned size."""

    key: str
    role: str
    what: str
    unit: str
    against: str
    how: How
    points: tuple[tuple[float, float], ...]  # size and cost
    form: str
    base: float
    factor: float
    residual: float
    size: float
    value: float  # at `size`: as measured where that size was, else by the form


class Share(msgspec.Struct, frozen=True):
    """What one process of a kind used: the mean over its processes, and the most of one."""

    processes: int
    members: int  # routers in them, or processes
    core: float  # of a core, a member
    core_most: float  # of one process
    memory: float  # bytes a member
    sent: float  # bytes a second a member, payload
    received: float
    messages: float  # a second a member, sent


class Rest(msgspec.Struct, frozen=True):
    """A hollow fleet at rest: all up, no change."""

    routers: int
    voters: int
    aggregators: int
    lease: float
    sub_lease: float
    seconds: float
    router: Share
    voter: Share
    aggregator: Share | None
    machine_core: float  # cores used by all of its processes
    start: float  # seconds from the first process to the last router's lease
    refusing: int  # times that a router was without a lease, after its first


class Changes(msgspec.Struct, frozen=True):
    """Changes in a hollow fleet. `kill`: what was killed at a drawn moment; empty: nothing."""

    routers: int
    voters: int
    aggregators: int
    lease: float
    sub_lease: float
    kill: str
    rate: float  # changes a second that were asked for; 0: one after the other
    policy: int  # bytes
    times: tuple[
        float, ...
    ]  # seconds from the operator's word until the last live router serves the new policy
    told: tuple[float, ...]  # ... until the operator was told "in force"
    failed: int  # changes that did not come into force in time
    seconds: float  # that the whole took
    router: Share
    voter: Share
    aggregator: Share | None
    machine_core: float  # cores used by all of its processes
    refusing_most: float  # seconds that one router was without a lease, at the most
    refusing_mean: float  # seconds that a router was without a lease for one change


class Death(msgspec.Struct, frozen=True):
    """An aggregator was killed in a fleet at rest."""

    routers: int
    aggregators: int
    trials: int
    moved: int  # routers that leased from it, in all trials
    refusing: int  # times that any router was without a lease
    refusing_most: float  # seconds


class RealRouter(msgspec.Struct, frozen=True):
    """`banklift router` as processes, at rest, a fleet of voters among them."""

    processes: int
    voters: int
    seconds: float
    core: float  # of a core, a process
    memory: float  # bytes resident, a process
    memory_alone: float  # bytes that it does not share


class Results(msgspec.Struct, frozen=True):
    """Everything; a part that was not measured is empty."""

    format: int = FORMAT
    machines: dict[str, Machine] = {}  # by part
    slopes: tuple[Slope, ...] = ()
    before: tuple[Slope, ...] = ()  # of the lease table with its scans
    rests: tuple[Rest, ...] = ()
    changes: tuple[Changes, ...] = ()
    deaths: tuple[Death, ...] = ()
    real: tuple[RealRouter, ...] = ()
    notes: tuple[str, ...] = ()  # what a run could not do, in words

    def slope(self, key: str) -> Slope | None:
        return next((one for one in self.slopes if one.key == key), None)


def fitted(
    key: str,
    role: str,
    what: str,
    unit: str,
    against: str,
    how: How,
    points: Sequence[tuple[float, float]],
    size: float,
) -> Slope:
    """A slope with its fit. Errors: `ValueError` with fewer than two points."""
    fit = slopes.simplest_fit([slopes.Point(*point) for point in points])
    measured = next((cost for at, cost in points if at == size), None)
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
    return os.getloadavg()[0]


def machine(commit: str, load_before: float) -> Machine:
    """This machine; the part that was measured has ended."""
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


def read(path: Path) -> Results:
    """Errors: `OSError`, `msgspec.DecodeError`."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def write(path: Path, results: Results) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
