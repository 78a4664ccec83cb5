"""A hollow fleet of many processes on one machine, and the changes and faults that are tried on it.

Voters, aggregators and routers are processes of hollow.py. Operators' changes go by the protocol that `banklift policy
set` speaks. Only processes that were started here are touched, each by its own handle; all end with the fleet.
"""

from __future__ import annotations

import math
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec
from anyio.abc import Process, TaskGroup

from banklift.fleet.messages import Ended, NotProposed, Set, Show, Shown
from banklift.fleet.placement import Candidate, choose
from banklift.fleet.state import Result
from banklift.net.operator import Unreachable, ask_voters
from banklift.rig.hollow_messages import (
    AnyAnswer,
    AnyCommand,
    Figures,
    Kill,
    Kind,
    Leave,
    Ousted,
    Ready,
    Report,
    Serving,
    Spec,
    Start,
)

FLEET = "hollow"
DRIFT = 0.01
PER_PROCESS = 1000  # routers
START_TIME = 60.0  # seconds in which everything must be up and have leases
START_RATE = 400.0  # routers a second that one process starts
REPORT_TIME = 20.0  # seconds in which all processes report
SHOW_TIME = 10.0  # seconds in which a voter answers an operator


class Broken(Exception):
    """A process ended by itself, or a member was turned away; the text says which and why."""


@dataclass(frozen=True, slots=True)
class Shape:
    """`routers` are beside the voters, who are routers too. Zones share the aggregators evenly."""

    routers: int
    voters: int = 3
    aggregators: int = 0
    lease: float = 10.0
    sub_lease: float = 0.0
    zones: int = 1
    policy_bytes: int = 4096
    per_process: int = PER_PROCESS
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """Seconds from the operator's word: until it was told, and until the last live member serves the new policy."""

    result: str
    told: float
    everywhere: float


@dataclass(slots=True, eq=False)
class Host:
    """One process: its handle, spec and what it has told."""

    name: str
    spec: Spec
    path: Path
    process: Process | None = None
    ready: bool = False
    live: int = 0  # members that run, as was asked
    serving: dict[int, Serving] = field(default_factory=dict)  # by epoch
    figures: Figures | None = None

    def serves(self, epoch: int) -> bool:
        told = self.serving.get(epoch)
        return told is not None and told.serving == told.live == self.live


class HollowFleet:
    """Made by `hollow_fleet`. Errors of all waits: `TimeoutError`, `Broken`."""

    def __init__(self, shape: Shape, folder: Path, tasks: TaskGroup) -> None:
        self.shape, self.folder, self.tasks = shape, folder, tasks
        self.broken = ""
        self.numbers = 0
        self.epoch = 1
        self.changes = 0
        self.news = anyio.Event()
        ports = iter(free_ports(shape.voters + shape.aggregators))
        self.voters = {f"voter{number}": next(ports) for number in range(shape.voters)}
        self.aggregators = {f"aggregator{number}": next(ports) for number in range(shape.aggregators)}
        self.routers = tuple(f"router{number}" for number in range(shape.routers))
        self.hosts: dict[str, Host] = {}
        self.host_of: dict[str, Host] = {}  # by the name of a member
        self.choices = {name: self._choose(number, name) for number, name in enumerate(self.routers)}
        self._lay_out()

    # ---- layout

    def zone(self, number: int) -> int:
        return number % self.shape.zones

    def _choose(self, number: int, name: str) -> tuple[str, ...]:
        zone = self.zone(number)
        candidates = [
            Candidate(aggregator, f"machine of {aggregator}")
            for place, aggregator in enumerate(self.aggregators)
            if self.zone(place) == zone
        ]
        return choose(name, candidates)

    def _lay_out(self) -> None:
        for name in self.voters:
            self._add(name, Kind.VOTER, (name,))
        for name in self.aggregators:
            self._add(name, Kind.AGGREGATOR, (name,))
        processes = max(1, math.ceil(len(self.routers) / self.shape.per_process))
        for number in range(processes if self.routers else 0):
            self._add(f"routers{number}", Kind.ROUTERS, self.routers[number::processes])

    def _add(self, name: str, kind: Kind, members: tuple[str, ...]) -> None:
        shape = self.shape
        choices = {one: self.choices[one] for one in members if self.choices.get(one)}
        spec = Spec(
            kind,
            FLEET,
            members,
            self.voters,
            shape.lease,
            DRIFT,
            self.policy(0),
            shape.seed * 1000 + len(self.hosts),
            self.aggregators,
            choices,
            shape.sub_lease,
            str(self.folder / f"{name}.state") if kind is Kind.VOTER else "",
            len(members) / START_RATE if kind is Kind.ROUTERS else 0.0,
        )
        host = self.hosts[name] = Host(name, spec, self.folder / f"{name}.json")
        host.path.write_bytes(msgspec.json.encode(spec))
        for member in members:
            self.host_of[member] = host

    def policy(self, number: int) -> str:
        """The text of a policy of the shape's size; hollow members check nothing of it."""
        return f"policy {number} ".ljust(self.shape.policy_bytes, "x")

    def of(self, kind: Kind) -> list[Host]:
        return [host for host in self.hosts.values() if host.spec.kind is kind]

    # ---- processes

    async def start(self) -> float:
        """Start everything; seconds until the last member has its lease."""
        begin = time.monotonic()
        for kind in (Kind.VOTER, Kind.AGGREGATOR, Kind.ROUTERS):
            for host in self.of(kind):
                await self.run(host)
            await self.until(lambda kind=kind: all(host.ready for host in self.of(kind)), START_TIME)  # type: ignore[misc]
        await self.until(lambda: self.all_serve(1), START_TIME)
        return time.monotonic() - begin

    async def run(self, host: Host) -> None:
        """Start one process, or start it again."""
        host.ready = False
        host.serving.clear()
        with (self.folder / f"{host.name}.log").open("ab") as errors:
            host.process = await anyio.open_process(
                [sys.executable, "-m", "banklift.rig.hollow", "--spec", str(host.path)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        host.live = len(host.spec.names) if host.spec.kind is not Kind.AGGREGATOR else 0
        self.tasks.start_soon(self._read, host, host.process)

    async def _read(self, host: Host, process: Process) -> None:
        assert process.stdout is not None
        rest = b""
        decoder = msgspec.json.Decoder(AnyAnswer)
        async for data in process.stdout:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._answered(host, decoder.decode(line))
            self._changed()
        if host.process is process:
            self.broken = f"{host.name} has ended: {self.log(host)[-500:]}"
            self._changed()

    def _answered(self, host: Host, answer: AnyAnswer) -> None:
        match answer:
            case Ready():
                host.ready = True
            case Serving(epoch=epoch):
                host.serving[epoch] = answer
            case Figures():
                host.figures = answer
            case Ousted(name, reason):
                self.broken = f"{name}: {reason}"

    def _changed(self) -> None:
        self.news.set()
        self.news = anyio.Event()

    def log(self, host: Host) -> str:
        return (self.folder / f"{host.name}.log").read_text()

    async def until(self, true: Callable[[], bool], seconds: float) -> None:
        """Wait for what the processes are to tell."""
        with anyio.fail_after(seconds):
            while not true():
                if self.broken:
                    raise Broken(self.broken)
                await self.news.wait()

    async def tell(self, host: Host, command: AnyCommand) -> None:
        assert host.process is not None and host.process.stdin is not None
        await host.process.stdin.send(msgspec.json.encode(command) + b"\n")

    async def close(self) -> None:
        """End all processes."""
        for host in self.hosts.values():
            process, host.process = host.process, None
            if process is not None:
                if process.returncode is None:
                    process.kill()
                await process.wait()
                await process.aclose()

    # ---- what members do

    def serving_hosts(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.spec.kind is not Kind.AGGREGATOR]

    def all_serve(self, epoch: int) -> bool:
        return all(host.serves(epoch) for host in self.serving_hosts())

    def last_adoption(self, epoch: int) -> float:
        return max(host.serving[epoch].last for host in self.serving_hosts())

    async def figures(self) -> dict[str, Figures]:
        """Of all processes, by name."""
        self.numbers += 1
        number = self.numbers
        for host in self.hosts.values():
            await self.tell(host, Report(number))

        def told() -> bool:
            return all(
                host.figures is not None and host.figures.number == number for host in self.hosts.values()
            )

        await self.until(told, REPORT_TIME)
        return {host.name: host.figures for host in self.hosts.values() if host.figures is not None}

    # ---- changes

    async def version(self) -> int:
        """Of the fleet's state, as a voter shows it."""
        shown = await ask_voters(self.voters, FLEET, Show(), SHOW_TIME)
        assert isinstance(shown, Shown) and shown.state is not None
        return shown.state.version

    async def change(self, seconds: float) -> ChangeTimes:
        """One change of policy by an operator. A change that is not everywhere in time has infinite times."""
        version = await self.version()
        self.changes += 1
        wanted = Set(f"{version}-{self.changes}", self.policy(self.changes).encode(), seconds)
        begin = time.monotonic()
        try:
            answer = await ask_voters(self.voters, FLEET, wanted, seconds)
        except Unreachable:
            return ChangeTimes("unknown", math.inf, math.inf)
        told = time.monotonic() - begin
        if not isinstance(answer, Ended) or answer.outcome.result is not Result.IN_FORCE:
            return ChangeTimes(
                answer.reason if isinstance(answer, NotProposed) else str(answer), math.inf, math.inf
            )
        self.epoch = answer.outcome.epoch
        epoch = self.epoch
        try:
            await self.until(lambda: self.all_serve(epoch), max(1.0, seconds - told))
        except TimeoutError:
            return ChangeTimes("not everywhere in time", told, math.inf)
        return ChangeTimes(answer.outcome.result, told, max(told, self.last_adoption(epoch) - begin))

    # ---- faults

    async def kill_routers(self, names: Iterable[str]) -> None:
        """As by SIGKILL."""
        await self._command(names, Kill, -1)

    async def leave_routers(self, names: Iterable[str]) -> None:
        """As by SIGTERM."""
        await self._command(names, Leave, -1)

    async def start_routers(self, names: Iterable[str]) -> None:
        """Start them again; returns once they serve."""
        await self._command(names, Start, 1)
        await self.until(lambda: self.all_serve(self.epoch), START_TIME)

    async def _command(self, names: Iterable[str], command: type[Kill | Leave | Start], live: int) -> None:
        by_host: dict[str, list[str]] = {}
        for name in names:
            by_host.setdefault(self.host_of[name].name, []).append(name)
        for host_name, members in by_host.items():
            host = self.hosts[host_name]
            host.live += live * len(members)
            await self.tell(host, command(tuple(members)))

    async def kill_process(self, name: str) -> None:
        """SIGKILL to one voter or aggregator."""
        host = self.hosts[name]
        process, host.process = host.process, None
        assert process is not None
        process.kill()
        await process.wait()
        await process.aclose()

    async def start_process(self, name: str) -> None:
        """Start a process that was killed again; returns once it listens."""
        host = self.hosts[name]
        await self.run(host)
        await self.until(lambda: host.ready, START_TIME)

    def leasing_from(self, aggregator: str) -> list[str]:
        """The routers that prefer it."""
        return [name for name, choice in self.choices.items() if choice and choice[0] == aggregator]


@asynccontextmanager
async def hollow_fleet(shape: Shape, folder: Path) -> AsyncIterator[HollowFleet]:
    """A fleet whose processes end with the block; it is not started."""
    async with anyio.create_task_group() as tasks:
        fleet = HollowFleet(shape, folder, tasks)
        try:
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
            tasks.cancel_scope.cancel()


def free_ports(count: int) -> list[str]:
    """Addresses on loopback that are free at this moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{one.getsockname()[1]}" for one in sockets]
    finally:
        for one in sockets:
            one.close()
