"""Runs many members of a fleet in one process: the real lease code, codec and TCP, but no data plane.

    python -m banklift.rig.hollow --spec FILE

A hollow router leases as a real one does but has no listener for clients and serves no traffic, so thousands of them
fit on one machine, and the cost of control can be measured against the size of the fleet. A process runs the members of
its spec (hollow_messages.py): hollow routers, one voter with its state on disk, or one aggregator. It takes commands on
standard input and reports on standard output which epoch its members serve and what they use. It ends when its standard
input ends, so no process outlives its driver.

A hollow router accepts every policy without a check and has no data plane to apply it to: what a change costs the data
plane is measured separately (capacity_policy.py).
"""

from __future__ import annotations

import argparse
import gc
import math
import os
import random
import resource
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from banklift.fleet.aggregator_node import AggregatorNode
from banklift.fleet.member import Member
from banklift.fleet.node import Node
from banklift.fleet.plan import Plan
from banklift.net.fleet import FleetHost
from banklift.net.process import new_incarnation
from banklift.net.sockets import SocketEnv
from banklift.net.voter_state import VoterState, open_state
from banklift.rig.counting_env import CountingEnv
from banklift.rig.hollow_messages import (
    Answer,
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

FLUSH_DELAY_SECONDS = 0.02  # for adoptions to share one report, and for a leaving member's messages to go out
MAX_READ_BYTES = 256 * 1024  # of commands, in one read
MAX_LAPSED_NAMES = 8  # members with a lapse that a report names
STDIN_FD = 0
STDOUT_FD = 1
UNLOGGED_EVENTS = ("policy in force", "policy checked", "state read", "votes")  # every member has them


def raise_descriptor_limit() -> None:
    """Raise this process's limit of open descriptors to its hard limit."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def resident_bytes() -> int:
    """Bytes of this process that are resident in memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


@dataclass(slots=True)
class Lapses:
    """Counts the lapses of all members of the process: times in which a member has no lease after its first one."""

    count: int = 0
    total_seconds: float = 0.0
    longest_seconds: float = 0.0  # since the last report
    names: list[str] = field(default_factory=list)  # some of the members with a lapse since the last report

    def add(self, name: str, seconds: float) -> None:
        """Count a lapse of the member `name`."""
        self.count += 1
        self.total_seconds += seconds
        self.longest_seconds = max(self.longest_seconds, seconds)
        if len(self.names) < MAX_LAPSED_NAMES and name not in self.names:
            self.names.append(name)


class HollowMember:
    """One router, voter or aggregator of this process, which starts when it is made.

    Errors: `OSError` if its address can't be listened on; `StateRefused` if a voter's state can't be used.
    """

    def __init__(self, process: HollowProcess, name: str) -> None:
        self.process = process
        self.name = name
        self.epoch = 0  # that it serves; 0 before its first lease
        self.lease_end = math.inf  # on the environment's clock; infinite before the first lease
        spec = process.spec
        listen = {**spec.voters, **spec.aggregators}.get(name) if spec.kind is not Kind.ROUTERS else None
        self.host = FleetHost(
            process.env,
            process.node(name),
            {**spec.voters, **spec.aggregators},
            listen,
            process.save,
            self._adopt,
            self._extend,
            self._ousted,
            process.log,
        )
        self.host.start()

    def _adopt(self, epoch: int, policy: bytes) -> None:
        """The member serves this epoch from now on."""
        self.epoch = epoch
        self.process.adopted(epoch)

    def _extend(self, until: float, retry_after: float) -> None:
        """The lease holds until this time; minus infinity means that the member has given its leases back."""
        self.count_lapse()
        self.lease_end = max(until, self.process.env.now()) if until == -math.inf else until

    def count_lapse(self) -> None:
        """Count the time since the lease ended or since the last call, if the lease has ended."""
        now = self.process.env.now()
        if self.lease_end < now:
            self.process.lapses.add(self.name, now - self.lease_end)
            self.lease_end = now

    def _ousted(self, reason: str) -> None:
        self.process.ousted(self.name, reason)


class HollowProcess:
    """All members of this process, their commands and their reports.

    `on_input_end` is called when standard input has ended, that is when the driver has gone.
    """

    def __init__(
        self, env: SocketEnv, spec: Spec, tasks: TaskGroup, on_input_end: Callable[[], None]
    ) -> None:
        self.sockets = env
        self.spec = spec
        self.tasks = tasks
        self.on_input_end = on_input_end
        self.env = CountingEnv(env)
        self.random = random.Random(spec.seed)
        self.first_policy = spec.policy.encode()
        self.lapses = Lapses()
        self.members: dict[str, HollowMember] = {}
        self.memory_empty = resident_bytes()
        self.last_adoption: dict[int, float] = {}  # time on the environment's clock, by epoch
        self.scheduled_reports: set[int] = set()  # epochs whose `Serving` report is scheduled
        self.unread_input = bytearray()  # the start of a command whose end has not come
        self.state: VoterState | None = None
        self.decoder = msgspec.json.Decoder(AnyCommand)

    # ---- members

    def begin(self) -> None:
        """Read commands from now on, and start all members, spread over the seconds that the spec gives."""
        os.set_blocking(STDIN_FD, False)
        self.sockets.watch(STDIN_FD, self)
        pause = self.spec.start / len(self.spec.names)
        for index, name in enumerate(self.spec.names):
            self._schedule_start(name, index * pause)
        self.send(Ready(os.getpid()))

    def _schedule_start(self, name: str, seconds: float) -> None:
        if seconds <= 0:
            self.start(name)
        else:
            self.env.at(self.env.now() + seconds, lambda: self.start(name))

    def start(self, name: str) -> None:
        """Start one member. Errors: those of `HollowMember`."""
        self.members[name] = HollowMember(self, name)

    def node(self, name: str) -> Member:
        """The state machine of one member, as a new incarnation. Errors: `StateRefused` of a voter's state."""
        spec = self.spec
        incarnation = new_incarnation()
        seed = self.random.getrandbits(63)
        plan = Plan(
            spec.fleet,
            name,
            tuple(spec.voters),
            spec.lease,
            spec.drift,
            spec.choices.get(name, ()),
            spec.sub_lease,
        )
        if spec.kind is Kind.AGGREGATOR:
            return AggregatorNode(plan, incarnation, seed)
        if spec.kind is Kind.ROUTERS:
            return Node(plan, incarnation, seed, self.first_policy, _accept_policy)
        self.state = open_state(Path(spec.folder), spec.fleet, name, self.log)
        return Node(
            plan,
            incarnation,
            seed,
            self.first_policy,
            _accept_policy,
            self.state.record,
            self.state.absent,
        )

    def save(self, content: bytes, done: Callable[[str], None]) -> None:
        """Write a voter's state to disk; `done` gets the error, or an empty text."""
        assert self.state is not None
        self.state.save(self.tasks, content, done)

    def log(self, event: str, fields: dict[str, object]) -> None:
        """Write a log line to standard error, unless each member would write it."""
        if event not in UNLOGGED_EVENTS:
            print(event, fields, file=sys.stderr, flush=True)

    # ---- reports

    def send(self, answer: Answer) -> None:
        """Write one report to standard output. Errors: `OSError`."""
        os.write(STDOUT_FD, msgspec.json.encode(answer) + b"\n")

    def adopted(self, epoch: int) -> None:
        """A member serves this epoch from now on; a report follows within `FLUSH_DELAY_SECONDS`."""
        self.last_adoption[epoch] = self.env.now()
        if epoch not in self.scheduled_reports:
            self.scheduled_reports.add(epoch)
            self.env.at(self.env.now() + FLUSH_DELAY_SECONDS, lambda: self._report_serving(epoch))

    def _report_serving(self, epoch: int) -> None:
        self.scheduled_reports.discard(epoch)
        serving = sum(member.epoch == epoch for member in self.members.values())
        self.send(Serving(epoch, serving, len(self.members), self.last_adoption[epoch]))

    def ousted(self, name: str, reason: str) -> None:
        """The fleet has turned a member away: end it and report that."""
        self.members.pop(name).host.kill()
        self.send(Ousted(name, reason))

    def _figures(self, number: int) -> Figures:
        for member in self.members.values():
            member.count_lapse()
        traffic = self.env.traffic
        lapses = self.lapses
        return Figures(
            number,
            self.env.now(),
            time.process_time(),
            resident_bytes(),
            self.memory_empty,
            traffic.sent,
            traffic.received,
            traffic.messages,
            lapses.count,
            lapses.total_seconds,
            lapses.longest_seconds,
            tuple(lapses.names),
        )

    # ---- commands

    def handle_events(self, events: int) -> None:
        """Standard input can be read: execute the commands that are complete."""
        try:
            data = os.read(STDIN_FD, MAX_READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.sockets.epoll.unregister(
                STDIN_FD
            )  # at its end it stays readable, and the loop would never end
            self.on_input_end()
            return
        self.unread_input += data
        *lines, rest = self.unread_input.split(b"\n")
        self.unread_input = bytearray(rest)
        for line in lines:
            self._execute(self.decoder.decode(line))

    def _execute(self, command: AnyCommand) -> None:
        match command:
            case Report(number):
                self.send(self._figures(number))
                self.lapses.longest_seconds = 0.0
                self.lapses.names.clear()
            case Kill(names):
                for name in names:
                    self._kill(name)
                self._report_all_epochs()
            case Leave(names):
                for name in names:
                    self._leave(self.members.pop(name))
                self._report_all_epochs()
            case Start(names):
                for name in names:
                    self.start(name)

    def _leave(self, member: HollowMember) -> None:
        """Let a member give its leases back, and close its links once its last messages have gone out. A member of the
        same name may start in the meantime."""
        member.host.leave()
        self.env.at(self.env.now() + FLUSH_DELAY_SECONDS, member.host.kill)

    def _kill(self, name: str) -> None:
        self.members.pop(name).host.kill()

    def _report_all_epochs(self) -> None:
        """Report again for each epoch that is served, as the number of members has changed."""
        for epoch in {member.epoch for member in self.members.values()}:
            if epoch in self.last_adoption:
                self._report_serving(epoch)


def _accept_policy(policy: bytes) -> tuple[str, ...]:
    """The check of a policy by a hollow member: no reason to refuse any."""
    return ()


async def run(spec: Spec) -> None:
    """Run the members of the spec until standard input ends. Errors: those of `HollowMember`."""
    async with anyio.create_task_group() as tasks:
        # A voter writes to disk in a thread, and the event loop has to run for the outcome to arrive. The other kinds
        # need no event loop, so their connections are served in epoll alone.
        env = SocketEnv(tasks, time.monotonic, exclusive_loop=spec.kind is not Kind.VOTER)

        def end() -> None:
            env.stop()
            tasks.cancel_scope.cancel()

        HollowProcess(env, spec, tasks, end).begin()
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 50)


def main() -> None:
    """Run the process that the command line asks for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--spec", type=Path, required=True)
    given = parser.parse_args()
    raise_descriptor_limit()
    spec = msgspec.json.decode(given.spec.read_bytes(), type=Spec)
    anyio.run(run, spec, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
