"""A fleet in virtual time, for fault injection. It runs the same code as on sockets, with a relay on every link and
faulty clocks, disks and processes. All that is random comes from one seed.

Members of the fleet are voters, routers that lease from voters, lease aggregators in zones, and routers that lease from
these. Each has a clock with a rate of its own, and a process that can be killed, paused or told to leave. The judge
(world_judge.py) checks the invariants on what members do.
"""

from __future__ import annotations

import math
from collections import ChainMap
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from banklift.emulator.world import World
from banklift.fleet.aggregator_node import AggregatorNode
from banklift.fleet.messages import Ended, Message, Set, Show, Shown
from banklift.fleet.node import Node
from banklift.fleet.placement import Candidate, choose_aggregators
from banklift.fleet.plan import Plan
from banklift.fleet.register import Record
from banklift.fleet.state import Outcome
from banklift.net.fleet import FleetHost
from banklift.rig.node_env import NodeEnv
from banklift.rig.operator import Operator
from banklift.rig.relay import FROM_TARGET, TO_TARGET, Relay
from banklift.rig.world_judge import REFUSAL_MARKER, LeaseGap, NoResult, Process, ServingState, WorldJudge

__all__ = ["REFUSAL_MARKER", "FleetWorld"]

FLEET = "rig"
MIN_LATENCY = 0.001  # seconds that a message takes over a link; each takes up to half as much again
WRITE_TIME = 0.004  # seconds that a write to disk takes; each takes between half and twice of it
DISK_HISTORY = 20  # earlier contents of a disk that are kept, to roll it back to
SUB_LEASE_FRACTION = 2 / 3  # of a lease: how long a sub-lease is by default
SHOW_TIMEOUT = 0.2  # seconds that an operator's tool waits for a voter's state
OUTCOME_TIMEOUT = 10.0  # seconds that an operator's tool waits for an outcome before it asks another voter
POLL_INTERVAL = 0.05  # seconds between checks whether the outcome has come


@dataclass(slots=True)
class Disk:
    """A voter's disk: what its state folder holds, and its fault."""

    content: bytes | None = None  # the newest record written; None: the folder is empty
    history: list[bytes | None] = field(default_factory=list)  # what it held before, the newest last
    fault: str = ""  # EIO, full: writes fail; lies: writes succeed, and are lost when the process is killed
    durable: bytes | None = None  # what is left after a kill if the disk lies


@dataclass(slots=True, eq=False)
class Member:
    """A router or an aggregator."""

    key: str  # unique in this world
    name: str  # in its configuration; two members may have the same
    rate: float  # of its clock
    env: NodeEnv | None = None  # None before its first start
    host: FleetHost | None = None  # None while its process does not run
    incarnation: int = 0
    name_conflict_reason: str = ""  # why the fleet has excluded it; empty if it has not

    @property
    def paused(self) -> bool:
        """Whether its process is paused."""
        return self.env is not None and self.env.paused


@dataclass(slots=True, eq=False)
class Router(Member):
    """A router; the first ones of a world are voters as well."""

    disk: Disk = field(default_factory=Disk)
    aggregators: tuple[str, ...] = ()  # names of those that it leases from; empty: it leases from the voters
    refusal_reasons: tuple[str, ...] = ()  # for which it refuses every policy that contains `REFUSAL_MARKER`
    serving_state: ServingState | None = None  # of its last start

    @property
    def serving_epoch(self) -> int:
        """The epoch of the policy that it has adopted; 0 if it has none."""
        return self.serving_state.epoch if self.serving_state is not None else 0

    @property
    def lease_end(self) -> float:
        """The true time until which it may serve."""
        return self.serving_state.lease_end if self.serving_state is not None else -math.inf


@dataclass(slots=True, eq=False)
class Aggregator(Member):
    """A lease aggregator."""

    zone: int = 0


class FleetWorld:
    """A fleet and the virtual world that it runs in. No member is started yet.

    `routers`: number of routers, the first `voters` of which are the voters. `aggregators`: number of aggregators,
    which are spread over `zones` zones. Without any, all routers lease from the voters; otherwise the first `direct`
    ones after the voters do, and all others lease from the aggregators of their zone. `lease` and `sub_lease`: seconds
    that voters and aggregators grant. `drift`: the rates of two clocks differ by at most this fraction; each
    differs from true time by at most half of it. `node`: the class that runs routers.
    """

    def __init__(
        self,
        seed: int,
        routers: int,
        voters: int,
        lease: float = 4.0,
        drift: float = 0.01,
        node: type[Node] = Node,
        aggregators: int = 0,
        direct: int = 0,
        zones: int = 1,
        sub_lease: float | None = None,
    ) -> None:
        self.world, self.random, self.node = World(seed, MIN_LATENCY), Random(seed), node
        self.lease, self.drift = lease, drift
        self.sub_lease = SUB_LEASE_FRACTION * lease if sub_lease is None else sub_lease
        self.names = [f"r{number}" for number in range(routers)]
        self.voters = tuple(self.names[:voters])
        self.ports = {name: f"10.0.0.1:{7000 + index}" for index, name in enumerate(self.voters)}
        self.judge = WorldJudge(self.voters)
        self.routers = {name: Router(name, name, self._random_rate()) for name in self.names}
        self.aggregators: dict[str, Aggregator] = {}
        self.relays: dict[
            tuple[str, str], Relay
        ] = {}  # by the member that makes the link, and the one that accepts
        self.outcomes: dict[str, Outcome] = {}  # by change: what operators were told
        self.start_count = 0
        self.log: list[tuple[float, str, str, dict[str, object]]] = []
        for name in self.names:
            for voter in self.voters:
                if name != voter:
                    self._add_relay(name, voter)
        for number in range(aggregators):
            self.add_aggregator(f"a{number}", zone=number % zones)
        for index, name in enumerate(self.names[voters + direct :] if aggregators else []):
            self.join_zone(name, index % zones)

    def _random_rate(self) -> float:
        return self.random.uniform(1 - self.drift / 2, 1 + self.drift / 2)

    def _add_relay(self, source: str, target: str) -> None:
        self.relays[source, target] = Relay(
            self.world, lambda: self.ports[target], self.random.randrange(2**32), "10.0.0.2:0", source=source
        )

    def add_aggregator(self, key: str, zone: int = 0, name: str = "") -> Aggregator:
        """Add an aggregator that is not started yet. `name`: by default its key; another member may have it."""
        aggregator = self.aggregators[key] = Aggregator(key, name or key, self._random_rate(), zone=zone)
        self.ports[key] = f"10.0.0.3:{7000 + len(self.aggregators)}"
        for voter in self.voters:
            self._add_relay(key, voter)
        return aggregator

    def join_zone(self, name: str, zone: int) -> None:
        """Let a router lease from the aggregators that the zone has now, from its next start on."""
        zone_aggregators = [aggregator for aggregator in self.aggregators.values() if aggregator.zone == zone]
        for aggregator in zone_aggregators:
            self._add_relay(name, aggregator.key)
        candidates = [
            Candidate(aggregator.name, f"machine-{aggregator.key}") for aggregator in zone_aggregators
        ]
        self.routers[name].aggregators = choose_aggregators(name, candidates)

    def add_router(self, key: str, name: str) -> Router:
        """Add a router that leases from the voters and is not started yet. Another member may have its name."""
        router = self.routers[key] = Router(key, name, self._random_rate())
        for voter in self.voters:
            self._add_relay(key, voter)
        return router

    # ---- members, and what the judge found

    @property
    def violations(self) -> list[str]:
        """All violations of invariants so far."""
        return self.judge.violations

    @property
    def case_counts(self) -> dict[str, int]:
        """How often each case came up in which an invariant could have been violated."""
        return self.judge.case_counts

    @property
    def newest_epoch(self) -> int:
        """The newest epoch that any router has adopted."""
        return self.judge.newest_epoch

    @property
    def members(self) -> Mapping[str, Member]:
        """All routers and aggregators, by key."""
        return ChainMap[str, Member](self.routers, self.aggregators)  # type: ignore[arg-type]

    def count_case(self, name: str, count: int = 1) -> None:
        """Add to the count of a case."""
        self.judge.count_case(name, count)

    def lease_gaps(self, since: float = 0.0) -> list[LeaseGap]:
        """The times in which routers that ran had no lease, if they ended after `since` or go on."""
        return self.judge.gaps_since(since, self.world.now())

    # ---- processes

    def start(self, key: str) -> None:
        """Start a member that does not run, as a new incarnation."""
        member = self.members[key]
        assert member.host is None
        self.start_count += 1
        incarnation = 1_000 + self.start_count
        env = member.env = NodeEnv(
            self.world,
            member.rate,
            self.random.uniform(0.0, 1e5),
            self._tap(Process(key, incarnation)),
        )
        member.incarnation, member.name_conflict_reason = incarnation, ""
        node = (
            self._router_node(member, incarnation)
            if isinstance(member, Router)
            else AggregatorNode(self._plan(member), incarnation, self.random.randrange(2**32))
        )
        host: FleetHost = FleetHost(
            env,
            node,
            self._addresses(member),
            self.ports.get(key),
            lambda record, done: self._save(member, host, record, done),
            lambda epoch, text: self._adopt(member, epoch, text),
            lambda until, back: self._extend(member, until),
            lambda reason: self._oust(member, reason),
            lambda event, fields: self.log.append((self.world.now(), key, event, fields)),
        )
        member.host = host
        host.start()

    def _tap(self, grantor: Process) -> Callable[[str, bytes], None]:
        """A tap that tells the judge what this process sends over the links that other members made to it."""

        def sent(source: str, data: bytes) -> None:
            member = self.members.get(source)  # None if the source is an operator
            if member is not None and member.host is not None:
                holder = Process(source, member.incarnation)
                self.judge.sent(self.world.now(), grantor, holder, data)

        return sent

    def _plan(self, member: Member) -> Plan:
        aggregators = member.aggregators if isinstance(member, Router) else ()
        sub_lease = self.sub_lease if self.aggregators else 0.0
        return Plan(FLEET, member.name, self.voters, self.lease, self.drift, aggregators, sub_lease)

    def _router_node(self, router: Router, incarnation: int) -> Node:
        record = None
        if router.disk.content is not None:
            try:
                record = msgspec.msgpack.decode(router.disk.content, type=Record)
            except msgspec.DecodeError:
                record = None
        process = Process(router.key, incarnation)
        router.serving_state = ServingState(process, router.key in self.voters, router.refusal_reasons)
        self.judge.router_started(router.serving_state)
        return self.node(
            self._plan(router),
            incarnation,
            self.random.randrange(2**32),
            b"first",
            lambda text: router.refusal_reasons if REFUSAL_MARKER in text else (),
            record,
            router.disk.content is None,
        )

    def _addresses(self, member: Member) -> dict[str, str]:
        """The addresses of all that a member may connect to, by name: the aggregators that it leases from, or the
        voters."""
        aggregated = isinstance(member, Router) and member.aggregators
        peers = list(self.aggregators) if aggregated else list(self.voters)
        return {
            self.members[peer].name: self.relays[member.key, peer].address
            for peer in peers
            if (member.key, peer) in self.relays
        }

    def kill(self, key: str) -> None:
        """Kill a member's process, as by SIGKILL; nothing happens if it does not run."""
        member = self.members[key]
        if member.host is None:
            return
        member.host.kill()
        member.host = None
        if isinstance(member, Router):
            self.judge.router_ended(key, self.world.now())
            if member.disk.fault == "lies":
                member.disk.content = member.disk.durable

    def pause(self, key: str) -> None:
        """Pause a member's process, as by SIGSTOP. It has to have been started."""
        env = self.members[key].env
        assert env is not None
        env.pause()

    def resume(self, key: str, timers_first: bool = False) -> None:
        """Resume a member's process, as by SIGCONT; nothing happens if it is not paused. `timers_first`: timers that
        ran out meanwhile are handled before the data that came."""
        env = self.members[key].env
        if env is not None and env.paused:
            env.resume(timers_first)

    def leave(self, key: str) -> None:
        """End a member's process as by SIGTERM: it gives its leases back, and ends."""
        member = self.members[key]
        if member.host is None or member.env is None:
            return
        member.host.leave()
        self.kill(key)

    def _oust(self, member: Member, reason: str) -> None:
        self.kill(member.key)
        member.name_conflict_reason = reason

    def _save(self, member: Member, host: FleetHost, record: bytes, done: Callable[[str], None]) -> None:
        assert isinstance(member, Router) and member.env is not None
        disk, env = member.disk, member.env

        def written() -> None:
            if member.host is not host:
                return  # killed before the write was done: a real disk may have the record or not, this one has not
            if disk.fault in ("EIO", "full"):
                env.deliver(lambda: done(disk.fault))
                return
            disk.history.append(disk.content)
            del disk.history[:-DISK_HISTORY]
            disk.content = record
            if disk.fault != "lies":
                disk.durable = record
            env.deliver(lambda: done(""))

        self.world.at(self.world.now() + WRITE_TIME * self.random.uniform(0.5, 2.0), written)

    def _adopt(self, member: Member, epoch: int, text: bytes) -> None:
        assert isinstance(member, Router) and member.serving_state is not None
        self.judge.policy_adopted(self.world.now(), member.serving_state, epoch, text)

    def _extend(self, member: Member, until: float) -> None:
        assert isinstance(member, Router) and member.serving_state is not None and member.env is not None
        self.judge.lease_extended(self.world.now(), member.serving_state, member.env.true_time(until))

    # ---- links

    def links(self, key: str, others: tuple[str, ...] = ()) -> list[Relay]:
        """All links of a member, or those with `others`."""
        return [
            relay
            for (source, target), relay in self.relays.items()
            if (key == source and (not others or target in others))
            or (key == target and (not others or source in others))
        ]

    def stall_links(self, key: str, others: tuple[str, ...] = (), direction: str | None = None) -> None:
        """Stall all links of a member, or those with `others`. `direction`: "there" (from the member that made the
        link) or "back"; by default both."""
        for relay in self.links(key, others):
            for each in (TO_TARGET, FROM_TARGET) if direction is None else (direction,):
                relay.fault(each, "stall")

    def heal(self, key: str | None = None) -> None:
        """End all faults on the links of a member, or on all links."""
        for relay in list(self.relays.values()) if key is None else self.links(key):
            relay.heal()

    def routers_of(self, aggregator: str) -> tuple[str, ...]:
        """The routers that prefer this aggregator."""
        return tuple(
            key
            for key, router in self.routers.items()
            if router.aggregators and router.aggregators[0] == aggregator
        )

    # ---- observation

    def is_voting(self, key: str) -> bool:
        """Whether a voter runs and votes."""
        host = self.routers[key].host
        if host is None:
            return False
        node = host.node
        return isinstance(node, Node) and node.voter is not None and node.voter.has_read_register

    def serving(self) -> dict[str, int]:
        """The routers that may serve now, with the epoch of their policy."""
        now = self.world.now()
        return {
            key: router.serving_epoch
            for key, router in self.routers.items()
            if router.host is not None and router.lease_end > now
        }

    def run(self, seconds: float) -> None:
        """Run the world for so many seconds of virtual time."""
        self.world.run(self.world.now() + seconds)

    def run_until(self, condition: Callable[[], bool], seconds: float, step: float = 0.005) -> bool:
        """Run until a condition holds, for at most `seconds`. Returns whether it holds."""
        end = self.world.now() + seconds
        while not condition() and self.world.now() < end:
            self.run(step)
        return condition()

    def when(self, condition: Callable[[], bool], action: Callable[[], None], step: float = 0.001) -> None:
        """Call the action once, as soon as a condition holds; it is checked every `step` seconds."""

        def check() -> None:
            if condition():
                action()
            else:
                self.world.at(self.world.now() + step, check)

        check()

    def stage(self) -> str:
        """The stage of the change under way, as voters report it; empty if there is none."""
        return self.judge.stage

    # ---- operators

    def send_request(
        self, key: str, message: Set | Show, on_answer: Callable[[Message | None], object]
    ) -> None:
        """Send an operator's message to a voter or an aggregator. `on_answer` gets the answer, or None if the
        connection broke."""
        if isinstance(message, Set):
            self.judge.change_requested(message.change, message.policy, message.dry)
        self.world.connect(self.ports[key], Operator(FLEET, message, on_answer))

    def record_answer(self, answer: Message | None) -> str:
        """Note the answer that an operator received. Returns the result in one word."""
        if isinstance(answer, Ended):
            self.outcomes[answer.outcome.id] = answer.outcome
        return self.judge.operator_answered(self.world.now(), answer)

    def show(self, key: str, seconds: float = 1.0) -> Shown | None:
        """The state that a voter or an aggregator reports; None if no answer comes within `seconds`."""
        answers: list[Message | None] = []
        self.send_request(key, Show(), answers.append)
        self.run_until(lambda: bool(answers), seconds)
        return answers[0] if answers and isinstance(answers[0], Shown) else None

    def change(
        self,
        text: bytes,
        voter: str | None = None,
        patience: float = 20.0,
        seconds: float = 60.0,
        dry: bool = False,
    ) -> str:
        """Request a change to the policy with this text and wait for the outcome, as an operator's tool does: if one
        voter does not answer, it asks another one.

        `voter`: the only voter to ask. `patience`: seconds that routers have to check the policy.
        `seconds`: for which the tool waits. `dry`: the change is checked only. Returns the result: a value of `Result`
        or of `NoResult`.
        """
        end = self.world.now() + seconds
        version = self._version(voter, end)
        if version is None:
            return NoResult.UNKNOWN
        return self._set_and_wait(
            Set(f"{version}-{self.random.randrange(10**9)}", text, patience, dry), voter, end
        )

    def _version(self, voter: str | None, end: float) -> int | None:
        """The version of the fleet's state; None if no voter has reported it by `end`."""
        version: list[int] = []

        def shown(answer: Message | None) -> None:
            if isinstance(answer, Shown) and answer.state is not None:
                version.append(answer.state.version)

        while not version and self.world.now() < end:
            self.send_request(voter or self.random.choice(self.voters), Show(), shown)
            self.run(SHOW_TIMEOUT)
        return version[0] if version else None

    def _set_and_wait(self, message: Set, voter: str | None, end: float) -> str:
        """Send the request until an outcome comes or `end` has come; the result in one word."""
        result: list[str] = []
        while not result and self.world.now() < end:
            self.send_request(
                voter or self.random.choice(self.voters),
                message,
                lambda answer: result.append(self.record_answer(answer)),
            )
            asked_at = self.world.now()
            while not result and self.world.now() < min(end, asked_at + OUTCOME_TIMEOUT):
                self.run(POLL_INTERVAL)
            if result and result[-1] == NoResult.UNKNOWN:
                result.clear()
        return result[0] if result else NoResult.UNKNOWN
