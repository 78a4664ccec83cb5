"""Drives a hollow fleet of many processes on one machine, with changes of policy and faults.

Voters, aggregators and hollow routers (which lease but serve no traffic) run in processes of hollow.py. Changes are
proposed by the protocol that `banklift policy set` speaks. The driver signals only the processes that it has started,
each by its own handle, and ends all of them with the fleet.
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
from banklift.fleet.placement import Candidate, choose_aggregators
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

FLEET_NAME = "hollow"
DRIFT = 0.01  # fraction by which the rates of two clocks may differ
ROUTERS_PER_PROCESS = 1000
START_TIMEOUT_SECONDS = 60.0  # until all members run and hold leases
ROUTER_STARTS_PER_SECOND = 400.0  # by one process
REPORT_TIMEOUT_SECONDS = 20.0  # until all processes have reported their figures
SHOW_TIMEOUT_SECONDS = 10.0  # until a voter has answered an operator


class HollowFleetFailed(Exception):
    """A process ended by itself, or the fleet turned a member away; the text says which one and why."""


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and settings of a hollow fleet."""

    routers: int  # without the voters, which are routers as well
    voters: int = 3
    aggregators: int = 0  # 0: the routers lease from the voters
    lease: float = 10.0  # seconds
    sub_lease: float = 0.0  # seconds; 0 without aggregators
    zones: int = 1  # routers and aggregators are spread evenly over them
    policy_bytes: int = 4096
    per_process: int = ROUTERS_PER_PROCESS
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ChangeTimes:
    """How one change of policy ended, and the seconds that it took from its proposal."""

    result: str  # a `Result`, or the reason for which there is none
    confirmed_seconds: float  # until the operator was told that it is in force; infinite if it was not
    everywhere_seconds: float  # until the last live member served the new policy; infinite if not in time


@dataclass(slots=True, eq=False)
class MemberHost:
    """One process that runs members: its handle, its spec and its last reports."""

    name: str
    spec: Spec
    spec_path: Path
    process: Process | None = None  # None before its start and after its end
    ready: bool = False  # it has reported that it runs
    expected_live: int = 0  # members that run, by the commands sent; 0 for an aggregator: it serves no epoch
    serving: dict[int, Serving] = field(default_factory=dict)  # the last report by epoch
    figures: Figures | None = None  # the last report

    def serves(self, epoch: int) -> bool:
        """Whether all members that have to run do run and serve this epoch."""
        report = self.serving.get(epoch)
        return report is not None and report.serving == report.live == self.expected_live


class HollowFleet:
    """The processes of a hollow fleet, with methods that start them, change the policy and cause faults.

    Made by `hollow_fleet`. Specs, logs and the voters' states are files in `folder`; `tasks` runs the readers of the
    processes' reports. Errors of every method that waits: `TimeoutError`, `HollowFleetFailed`.
    """

    def __init__(self, shape: FleetShape, folder: Path, tasks: TaskGroup) -> None:
        self.shape = shape
        self.folder = folder
        self.tasks = tasks
        self.failure = ""  # text of `HollowFleetFailed`, once something has failed
        self.report_number = 0  # of the last request for figures
        self.epoch = 1  # in force
        self.changes_proposed = 0
        self.report_arrived = anyio.Event()  # replaced by a new one after each batch of reports
        addresses = iter(free_addresses(shape.voters + shape.aggregators))
        self.voters = {f"voter{number}": next(addresses) for number in range(shape.voters)}
        self.aggregators = {f"aggregator{number}": next(addresses) for number in range(shape.aggregators)}
        self.routers = tuple(f"router{number}" for number in range(shape.routers))
        self.hosts: dict[str, MemberHost] = {}  # by the name of the process
        self.host_by_member: dict[str, MemberHost] = {}
        # aggregators that each router leases from, the preferred one first; empty: it leases from the voters
        self.choices = {
            name: self._choose_aggregators(number, name) for number, name in enumerate(self.routers)
        }
        self._add_hosts()

    # ---- layout

    def zone(self, number: int) -> int:
        """The zone of the router or aggregator with this number."""
        return number % self.shape.zones

    def _choose_aggregators(self, number: int, name: str) -> tuple[str, ...]:
        zone = self.zone(number)
        candidates = [
            Candidate(aggregator, f"machine of {aggregator}")
            for index, aggregator in enumerate(self.aggregators)
            if self.zone(index) == zone
        ]
        return choose_aggregators(name, candidates)

    def _add_hosts(self) -> None:
        """One process for each voter and aggregator; the routers are spread evenly over as many as they need."""
        for name in self.voters:
            self._add_host(name, Kind.VOTER, (name,))
        for name in self.aggregators:
            self._add_host(name, Kind.AGGREGATOR, (name,))
        processes = max(1, math.ceil(len(self.routers) / self.shape.per_process))
        for number in range(processes if self.routers else 0):
            self._add_host(f"routers{number}", Kind.ROUTERS, self.routers[number::processes])

    def _add_host(self, name: str, kind: Kind, members: tuple[str, ...]) -> None:
        """Write the spec of a process, which is started later."""
        shape = self.shape
        choices = {member: self.choices[member] for member in members if self.choices.get(member)}
        spec = Spec(
            kind,
            FLEET_NAME,
            members,
            self.voters,
            shape.lease,
            DRIFT,
            self.policy_text(0),
            shape.seed * 1000 + len(self.hosts),
            self.aggregators,
            choices,
            shape.sub_lease,
            str(self.folder / f"{name}.state") if kind is Kind.VOTER else "",
            len(members) / ROUTER_STARTS_PER_SECOND if kind is Kind.ROUTERS else 0.0,
        )
        host = self.hosts[name] = MemberHost(name, spec, self.folder / f"{name}.json")
        host.spec_path.write_bytes(msgspec.json.encode(spec))
        for member in members:
            self.host_by_member[member] = host

    def policy_text(self, number: int) -> str:
        """A text as long as the shape's policies, different for each number. Hollow members accept any text."""
        return f"policy {number} ".ljust(self.shape.policy_bytes, "x")

    def hosts_of(self, kind: Kind) -> list[MemberHost]:
        """The processes of one kind."""
        return [host for host in self.hosts.values() if host.spec.kind is kind]

    # ---- processes

    async def start(self) -> float:
        """Start all processes and wait until all members serve. Returns the seconds that this took."""
        begin = time.monotonic()
        for kind in (Kind.VOTER, Kind.AGGREGATOR, Kind.ROUTERS):
            for host in self.hosts_of(kind):
                await self.start_host(host)
            await self.wait_until(
                lambda kind=kind: all(host.ready for host in self.hosts_of(kind)),  # type: ignore[misc]
                START_TIMEOUT_SECONDS,
            )
        await self.wait_until(lambda: self.all_serve(1), START_TIMEOUT_SECONDS)
        return time.monotonic() - begin

    async def start_host(self, host: MemberHost) -> None:
        """Start a process, also one that has ended. Errors: `OSError`."""
        host.ready = False
        host.serving.clear()
        with (self.folder / f"{host.name}.log").open("ab") as errors:
            host.process = await anyio.open_process(
                [sys.executable, "-m", "banklift.rig.hollow", "--spec", str(host.spec_path)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        host.expected_live = len(host.spec.names) if host.spec.kind is not Kind.AGGREGATOR else 0
        self.tasks.start_soon(self._read_reports, host, host.process)

    async def _read_reports(self, host: MemberHost, process: Process) -> None:
        """Handle what a process reports until its output ends; that is a failure unless it was ended here."""
        assert process.stdout is not None
        rest = b""
        decoder = msgspec.json.Decoder(AnyAnswer)
        async for data in process.stdout:
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self._handle_report(host, decoder.decode(line))
            self._notify_waiters()
        if host.process is process:
            self.failure = f"{host.name} has ended: {self.log_text(host)[-500:]}"
            self._notify_waiters()

    def _handle_report(self, host: MemberHost, answer: AnyAnswer) -> None:
        match answer:
            case Ready():
                host.ready = True
            case Serving(epoch=epoch):
                host.serving[epoch] = answer
            case Figures():
                host.figures = answer
            case Ousted(name, reason):
                self.failure = f"{name}: {reason}"

    def _notify_waiters(self) -> None:
        self.report_arrived.set()
        self.report_arrived = anyio.Event()

    def log_text(self, host: MemberHost) -> str:
        """What the process has written to standard error."""
        return (self.folder / f"{host.name}.log").read_text()

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until the condition holds; it is evaluated again after each batch of reports.

        Errors: `TimeoutError` after so many seconds; `HollowFleetFailed` if a process or member has failed.
        """
        with anyio.fail_after(seconds):
            while not condition():
                if self.failure:
                    raise HollowFleetFailed(self.failure)
                await self.report_arrived.wait()

    async def send(self, host: MemberHost, command: AnyCommand) -> None:
        """Write a command to the process's standard input. Errors: `anyio.BrokenResourceError`."""
        assert host.process is not None and host.process.stdin is not None
        await host.process.stdin.send(msgspec.json.encode(command) + b"\n")

    async def close(self) -> None:
        """Kill all processes that still run, and wait for their end."""
        for host in self.hosts.values():
            process, host.process = host.process, None
            if process is not None:
                if process.returncode is None:
                    process.kill()
                await process.wait()
                await process.aclose()

    # ---- what members do

    def serving_hosts(self) -> list[MemberHost]:
        """The processes whose members serve epochs: those of voters and routers."""
        return [host for host in self.hosts.values() if host.spec.kind is not Kind.AGGREGATOR]

    def all_serve(self, epoch: int) -> bool:
        """Whether all voters and routers that have to run serve this epoch."""
        return all(host.serves(epoch) for host in self.serving_hosts())

    def last_adoption(self, epoch: int) -> float:
        """When the last member adopted this epoch, in seconds of CLOCK_MONOTONIC. Every process must serve it."""
        return max(host.serving[epoch].last for host in self.serving_hosts())

    async def figures(self) -> dict[str, Figures]:
        """Ask all processes for their figures. Returns them by the name of the process."""
        self.report_number += 1
        number = self.report_number
        for host in self.hosts.values():
            await self.send(host, Report(number))

        def all_reported() -> bool:
            return all(
                host.figures is not None and host.figures.number == number for host in self.hosts.values()
            )

        await self.wait_until(all_reported, REPORT_TIMEOUT_SECONDS)
        return {host.name: host.figures for host in self.hosts.values() if host.figures is not None}

    # ---- changes

    async def state_version(self) -> int:
        """The version of the fleet's state, as a voter shows it. Errors: `Unreachable`."""
        shown = await ask_voters(self.voters, FLEET_NAME, Show(), SHOW_TIMEOUT_SECONDS)
        assert isinstance(shown, Shown) and shown.state is not None
        return shown.state.version

    async def change(self, seconds: float) -> ChangeTimes:
        """Propose a new policy as an operator does, and wait until all members serve it.

        Where not all members serve it within so many seconds, `everywhere_seconds` of the result is infinite.
        Errors: `Unreachable` if no voter shows the state.
        """
        version = await self.state_version()
        self.changes_proposed += 1
        proposal = Set(
            f"{version}-{self.changes_proposed}", self.policy_text(self.changes_proposed).encode(), seconds
        )
        begin = time.monotonic()
        try:
            answer = await ask_voters(self.voters, FLEET_NAME, proposal, seconds)
        except Unreachable:
            return ChangeTimes("unknown", math.inf, math.inf)
        confirmed = time.monotonic() - begin
        if not isinstance(answer, Ended) or answer.outcome.result is not Result.IN_FORCE:
            return ChangeTimes(
                answer.reason if isinstance(answer, NotProposed) else str(answer), math.inf, math.inf
            )
        self.epoch = answer.outcome.epoch
        epoch = self.epoch
        try:
            await self.wait_until(lambda: self.all_serve(epoch), max(1.0, seconds - confirmed))
        except TimeoutError:
            return ChangeTimes("not everywhere in time", confirmed, math.inf)
        return ChangeTimes(
            answer.outcome.result, confirmed, max(confirmed, self.last_adoption(epoch) - begin)
        )

    # ---- faults

    async def kill_routers(self, names: Iterable[str]) -> None:
        """End these routers without giving their leases back, as SIGKILL to a real router would."""
        await self._command_members(names, Kill, -1)

    async def leave_routers(self, names: Iterable[str]) -> None:
        """Let these routers give their leases back and end, as SIGTERM to a real router would."""
        await self._command_members(names, Leave, -1)

    async def start_routers(self, names: Iterable[str]) -> None:
        """Start these routers again. Returns once all members serve."""
        await self._command_members(names, Start, 1)
        await self.wait_until(lambda: self.all_serve(self.epoch), START_TIMEOUT_SECONDS)

    async def _command_members(
        self, names: Iterable[str], command: type[Kill | Leave | Start], live_change: int
    ) -> None:
        """Send the command to the hosts of these members; each member adds `live_change` to its host's live ones."""
        by_host: dict[str, list[str]] = {}
        for name in names:
            by_host.setdefault(self.host_by_member[name].name, []).append(name)
        for host_name, members in by_host.items():
            host = self.hosts[host_name]
            host.expected_live += live_change * len(members)
            await self.send(host, command(tuple(members)))

    async def kill_process(self, name: str) -> None:
        """Send SIGKILL to the process of a voter or an aggregator, and wait for its end."""
        host = self.hosts[name]
        process, host.process = host.process, None
        assert process is not None
        process.kill()
        await process.wait()
        await process.aclose()

    async def start_process(self, name: str) -> None:
        """Start the process of a voter or an aggregator again, after `kill_process`. Returns once it listens."""
        host = self.hosts[name]
        await self.start_host(host)
        await self.wait_until(lambda: host.ready, START_TIMEOUT_SECONDS)

    def routers_preferring(self, aggregator: str) -> list[str]:
        """The routers that lease from this aggregator unless it fails."""
        return [name for name, choice in self.choices.items() if choice and choice[0] == aggregator]


@asynccontextmanager
async def hollow_fleet(shape: FleetShape, folder: Path) -> AsyncIterator[HollowFleet]:
    """A fleet that is not started yet; its processes end with the block."""
    async with anyio.create_task_group() as tasks:
        fleet = HollowFleet(shape, folder, tasks)
        try:
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
            tasks.cancel_scope.cancel()


def free_addresses(count: int) -> list[str]:
    """So many different addresses on loopback, as host:port, whose ports are free at this moment. Errors: `OSError`."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{opened.getsockname()[1]}" for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()
