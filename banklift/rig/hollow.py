"""Hollow members of a fleet: the real lease code, codec and TCP, without a data plane, many to a process.

    python -m banklift.rig.hollow --spec FILE

The process runs the members of its spec (hollow_messages.py): routers without a listener for clients, one voter with
its state on disk, or one aggregator. It takes commands on standard input and tells on standard output which epoch its
members serve and what they use; its end of input is its end, so nothing outlives the driver.

A hollow router checks no policy and has no machine to adopt it: what a change costs the data plane is measured apart.
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

GATHER = 0.02  # seconds in which adoptions are gathered into one report
COMMAND_BYTES = 256 * 1024  # read at once
NAMES_TOLD = 8  # members with a lapse that are named
STDIN, STDOUT = 0, 1
USUAL_EVENTS = ("policy in force", "policy checked", "state read", "votes")  # are not logged


def grant_descriptors() -> None:
    """Raise this process's limit of descriptors as far as it may be raised."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def resident() -> int:
    """Bytes of this process in memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


@dataclass(slots=True)
class Lapses:
    """Times that members were without a lease, after their first one."""

    count: int = 0
    total: float = 0.0
    longest: float = 0.0
    names: list[str] = field(default_factory=list)

    def add(self, name: str, seconds: float) -> None:
        self.count += 1
        self.total += seconds
        self.longest = max(self.longest, seconds)
        if len(self.names) < NAMES_TOLD and name not in self.names:
            self.names.append(name)


class HollowMember:
    """One router, voter or aggregator of this process. It starts at once."""

    def __init__(self, process: Process, name: str) -> None:
        self.process, self.name = process, name
        self.epoch = 0  # that it serves
        self.until = math.inf  # end of its lease; infinite before the first one
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
        self.epoch = epoch
        self.process.adopted(epoch)

    def _extend(self, until: float, retry_after: float) -> None:
        self.look()
        self.until = max(until, self.process.env.now()) if until == -math.inf else until

    def look(self) -> None:
        """Count the time since its lease ended, if it has."""
        now = self.process.env.now()
        if self.until < now:
            self.process.lapses.add(self.name, now - self.until)
            self.until = now

    def _ousted(self, reason: str) -> None:
        self.process.ousted(self.name, reason)


class Process:
    """All members of this process; `ended` is called when the driver has gone."""

    def __init__(self, env: SocketEnv, spec: Spec, tasks: TaskGroup, ended: Callable[[], None]) -> None:
        self.sockets, self.spec, self.tasks, self.ended = env, spec, tasks, ended
        self.env = CountingEnv(env)
        self.random = random.Random(spec.seed)
        self.text = spec.policy.encode()
        self.lapses = Lapses()
        self.members: dict[str, HollowMember] = {}
        self.memory_empty = resident()
        self.last_adoption: dict[int, float] = {}  # by epoch
        self.told: set[int] = set()  # epochs of which a report is under way
        self.input = bytearray()
        self.state: VoterState | None = None
        self.decoder = msgspec.json.Decoder(AnyCommand)

    # ---- members

    def begin(self) -> None:
        """Start all members, over the spec's time."""
        os.set_blocking(STDIN, False)
        self.sockets.watch(STDIN, self)
        pause = self.spec.start / len(self.spec.names)
        for place, name in enumerate(self.spec.names):
            self._start_later(name, place * pause)
        self.tell(Ready(os.getpid()))

    def _start_later(self, name: str, seconds: float) -> None:
        if seconds <= 0:
            self.start(name)
        else:
            self.env.at(self.env.now() + seconds, lambda: self.start(name))

    def start(self, name: str) -> None:
        self.members[name] = HollowMember(self, name)

    def node(self, name: str) -> Member:
        """The state machine of one member, as a new incarnation."""
        spec = self.spec
        incarnation, seed = new_incarnation(), self.random.getrandbits(63)
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
            return Node(plan, incarnation, seed, self.text, _no_objection)
        self.state = open_state(Path(spec.folder), spec.fleet, name, self.log)
        return Node(plan, incarnation, seed, self.text, _no_objection, self.state.record, self.state.absent)

    def save(self, content: bytes, done: Callable[[str], None]) -> None:
        """Write a voter's state."""
        assert self.state is not None
        self.state.save(self.tasks, content, done)

    def log(self, event: str, fields: dict[str, object]) -> None:
        if event not in USUAL_EVENTS:
            print(event, fields, file=sys.stderr, flush=True)

    # ---- reports

    def tell(self, answer: Answer) -> None:
        os.write(STDOUT, msgspec.json.encode(answer) + b"\n")

    def adopted(self, epoch: int) -> None:
        self.last_adoption[epoch] = self.env.now()
        if epoch not in self.told:
            self.told.add(epoch)
            self.env.at(self.env.now() + GATHER, lambda: self._tell_serving(epoch))

    def _tell_serving(self, epoch: int) -> None:
        self.told.discard(epoch)
        serving = sum(member.epoch == epoch for member in self.members.values())
        self.tell(Serving(epoch, serving, len(self.members), self.last_adoption[epoch]))

    def ousted(self, name: str, reason: str) -> None:
        self.members.pop(name).host.kill()
        self.tell(Ousted(name, reason))

    def _figures(self, number: int) -> Figures:
        for member in self.members.values():
            member.look()
        traffic, lapses = self.env.traffic, self.lapses
        return Figures(
            number,
            self.env.now(),
            time.process_time(),
            resident(),
            self.memory_empty,
            traffic.sent,
            traffic.received,
            traffic.messages,
            lapses.count,
            lapses.total,
            lapses.longest,
            tuple(lapses.names),
        )

    # ---- commands

    def ready(self, events: int) -> None:
        """Standard input has something."""
        try:
            data = os.read(STDIN, COMMAND_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.sockets.epoll.unregister(STDIN)  # its end stays ready, and would keep the loop from ending
            self.ended()
            return
        self.input += data
        *lines, rest = self.input.split(b"\n")
        self.input = bytearray(rest)
        for line in lines:
            self._command(self.decoder.decode(line))

    def _command(self, command: AnyCommand) -> None:
        match command:
            case Report(number):
                self.tell(self._figures(number))
                self.lapses.longest = 0.0  # of the time since the last report
                self.lapses.names.clear()
            case Kill(names):
                for name in names:
                    self._end(name)
                self._tell_all()
            case Leave(names):
                for name in names:
                    self._leave(self.members.pop(name))
                self._tell_all()
            case Start(names):
                for name in names:
                    self.start(name)

    def _leave(self, member: HollowMember) -> None:
        """What it has said goes out before its links close; a next one by its name may start at once."""
        member.host.leave()
        self.env.at(self.env.now() + GATHER, member.host.kill)

    def _end(self, name: str) -> None:
        self.members.pop(name).host.kill()

    def _tell_all(self) -> None:
        for epoch in {member.epoch for member in self.members.values()}:
            if epoch in self.last_adoption:
                self._tell_serving(epoch)


def _no_objection(policy: bytes) -> tuple[str, ...]:
    return ()


async def run(spec: Spec) -> None:
    """Until standard input ends."""
    async with anyio.create_task_group() as tasks:
        # a voter writes its disk beside the event loop, so that loop needs its turn at once
        env = SocketEnv(tasks, time.monotonic, alone=spec.kind is not Kind.VOTER)

        def ended() -> None:
            env.stop()
            tasks.cancel_scope.cancel()

        Process(env, spec, tasks, ended).begin()
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 50)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--spec", type=Path, required=True)
    given = parser.parse_args()
    grant_descriptors()
    spec = msgspec.json.decode(given.spec.read_bytes(), type=Spec)
    anyio.run(run, spec, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
