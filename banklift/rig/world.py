"""A fleet in virtual time: the same code as on sockets, relays on every link, clocks and disks that go wrong, one seed.

Members are voters, routers that lease from voters, lease aggregators in zones, and routers that lease from these. Each
has a clock of its own rate and a process that may be killed, stopped for a while, or told to leave. What it does is
judged by world_judge.py.
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
from banklift.rig.relay import BACK, THERE, Relay
from banklift.rig.world_judge import REFUSED, Lapse, Process, Serving, Told, WorldJudge

__all__ = ["REFUSED", "FleetWorld"]

FLEET = "rig"
WRITE = 0.004  # seconds that a write to disk takes
SUB_LEASE_PART = 2 / 3  # of a lease: what an aggregator grants
SHOW_WAIT = 0.2  # seconds that a tool waits for a voter's state
OUTCOME_WAIT = 10.0  # seconds that a tool waits for an outcome before it asks another voter


@dataclass(slots=True)
class Disk:
    """What a voter's folder holds, and what is wrong with it."""

    content: bytes | None = None
    older: list[bytes | None] = field(default_factory=list)  # what it held before, the newest last
    fault: str = ""  # lies: a sync that loses all at the next kill; EIO, full: writes fail
    kept: bytes | None = None  # what a lying disk really has


@dataclass(slots=True, eq=False)
class Member:
    """`key`: its own in this world; `name`: what it calls itself, which another may do as well."""

    key: str
    name: str
    rate: float
    env: NodeEnv | None = None
    host: FleetHost | None = None
    incarnation: int = 0
    ousted: str = ""

    @property
    def paused(self) -> bool:
        return self.env is not None and self.env.paused


@dataclass(slots=True, eq=False)
class Router(Member):
    disk: Disk = field(default_factory=Disk)
    aggregators: tuple[str, ...] = ()  # that it leases from, by name; empty: from the voters
    reasons: tuple[str, ...] = ()  # it has against every policy that holds `REFUSED`
    state: Serving | None = None

    @property
    def serving(self) -> int:
        return self.state.epoch if self.state is not None else 0

    @property
    def until(self) -> float:
        return self.state.until if self.state is not None else -math.inf


@dataclass(slots=True, eq=False)
class Aggregator(Member):
    zone: int = 0


class FleetWorld:
    """`routers` counts the voters too, which come first. The next `direct` ones lease from the voters, and with
    `aggregators`, all others from those of their zone. Clocks run up to half of `drift` from the true one."""

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
        self.world, self.random, self.node = World(seed, 0.001), Random(seed), node
        self.lease, self.drift = lease, drift
        self.sub_lease = SUB_LEASE_PART * lease if sub_lease is None else sub_lease
        self.names = [f"r{number}" for number in range(routers)]
        self.voters = tuple(self.names[:voters])
        self.ports = {name: f"10.0.0.1:{7000 + place}" for place, name in enumerate(self.voters)}
        self.judge = WorldJudge(self.voters)
        self.routers = {name: Router(name, name, self._rate()) for name in self.names}
        self.aggregators: dict[str, Aggregator] = {}
        self.relays: dict[tuple[str, str], Relay] = {}  # by who makes the link, and to whom
        self.outcomes: dict[str, Outcome] = {}  # that operators heard, by change
        self.starts = 0
        self.log: list[tuple[float, str, str, dict[str, object]]] = []
        for name in self.names:
            for voter in self.voters:
                if name != voter:
                    self._relay(name, voter)
        for number in range(aggregators):
            self.add_aggregator(f"a{number}", zone=number % zones)
        for place, name in enumerate(self.names[voters + direct :] if aggregators else []):
            self.join_zone(name, place % zones)

    def _rate(self) -> float:
        return self.random.uniform(1 - self.drift / 2, 1 + self.drift / 2)

    def _relay(self, one: str, other: str) -> None:
        self.relays[one, other] = Relay(
            self.world, lambda: self.ports[other], self.random.randrange(2**32), "10.0.0.2:0", source=one
        )

    def add_aggregator(self, key: str, zone: int = 0, name: str = "") -> Aggregator:
        """One that is not started yet. `name`: if another has it already."""
        one = self.aggregators[key] = Aggregator(key, name or key, self._rate(), zone=zone)
        self.ports[key] = f"10.0.0.3:{7000 + len(self.aggregators)}"
        for voter in self.voters:
            self._relay(key, voter)
        return one

    def join_zone(self, name: str, zone: int) -> None:
        """From its next start on this router leases from the aggregators that the zone has now."""
        zone_aggregators = [one for one in self.aggregators.values() if one.zone == zone]
        for one in zone_aggregators:
            self._relay(name, one.key)
        candidates = [Candidate(one.name, f"machine-{one.key}") for one in zone_aggregators]
        self.routers[name].aggregators = choose_aggregators(name, candidates)

    def add_router(self, key: str, name: str) -> Router:
        """One that leases from the voters, and is not started yet; another may have its name."""
        one = self.routers[key] = Router(key, name, self._rate())
        for voter in self.voters:
            self._relay(key, voter)
        return one

    # ---- who leases from whom

    @property
    def breaks(self) -> list[str]:
        return self.judge.breaks

    @property
    def cases(self) -> dict[str, int]:
        return self.judge.cases

    @property
    def newest(self) -> int:
        return self.judge.newest

    @property
    def members(self) -> Mapping[str, Member]:
        return ChainMap[str, Member](self.routers, self.aggregators)  # type: ignore[arg-type]

    def case(self, name: str, count: int = 1) -> None:
        self.judge.case(name, count)

    def lapses(self, since: float = 0.0) -> list[Lapse]:
        """When routers that ran had no lease, as far as it ended after `since`."""
        return self.judge.lapses_since(since, self.world.now())

    # ---- processes

    def start(self, key: str) -> None:
        member = self.members[key]
        assert member.host is None
        self.starts += 1
        incarnation = 1_000 + self.starts
        env = member.env = NodeEnv(
            self.world,
            member.rate,
            self.random.uniform(0.0, 1e5),
            self._tap(Process(key, incarnation)),
        )
        member.incarnation, member.ousted = incarnation, ""
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
            lambda until, back: self._until(member, until),
            lambda reason: self._ousted(member, reason),
            lambda event, fields: self.log.append((self.world.now(), key, event, fields)),
        )
        member.host = host
        host.start()

    def _tap(self, grantor: Process) -> Callable[[str, bytes], None]:
        """Tells the judge what this process sends to those that made a link to it."""

        def sent(source: str, data: bytes) -> None:
            member = self.members.get(source)  # none: an operator
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
        router.state = Serving(process, router.key in self.voters, router.reasons)
        self.judge.started(router.state)
        return self.node(
            self._plan(router),
            incarnation,
            self.random.randrange(2**32),
            b"first",
            lambda text: router.reasons if REFUSED in text else (),
            record,
            router.disk.content is None,
        )

    def _addresses(self, member: Member) -> dict[str, str]:
        """Of all that it may dial, by name: the aggregators that it leases from, or the voters."""
        aggregated = isinstance(member, Router) and member.aggregators
        peers = list(self.aggregators) if aggregated else list(self.voters)
        return {
            self.members[other].name: self.relays[member.key, other].address
            for other in peers
            if (member.key, other) in self.relays
        }

    def kill(self, key: str) -> None:
        """As by SIGKILL."""
        member = self.members[key]
        if member.host is None:
            return
        member.host.kill()
        member.host = None
        if isinstance(member, Router):
            self.judge.ended(key, self.world.now())
            if member.disk.fault == "lies":
                member.disk.content = member.disk.kept

    def pause(self, key: str) -> None:
        """As by SIGSTOP."""
        env = self.members[key].env
        assert env is not None
        env.pause()

    def resume(self, key: str, timers_first: bool = False) -> None:
        """As by SIGCONT. It may have been killed meanwhile."""
        env = self.members[key].env
        if env is not None and env.paused:
            env.resume(timers_first)

    def leave(self, key: str) -> None:
        """As by SIGTERM: it gives its leases back and ends."""
        member = self.members[key]
        if member.host is None or member.env is None:
            return
        member.host.leave()
        self.kill(key)

    def _ousted(self, member: Member, reason: str) -> None:
        self.kill(member.key)
        member.ousted = reason

    def _save(self, member: Member, host: FleetHost, record: bytes, done: Callable[[str], None]) -> None:
        assert isinstance(member, Router) and member.env is not None
        disk, env = member.disk, member.env

        def written() -> None:
            if member.host is not host:
                return  # killed before the write was done: as likely as not it is there
            if disk.fault in ("EIO", "full"):
                env.deliver(lambda: done(disk.fault))
                return
            disk.older.append(disk.content)
            del disk.older[:-20]
            disk.content = record
            if disk.fault != "lies":
                disk.kept = record
            env.deliver(lambda: done(""))

        self.world.at(self.world.now() + WRITE * self.random.uniform(0.5, 2.0), written)

    def _adopt(self, member: Member, epoch: int, text: bytes) -> None:
        assert isinstance(member, Router) and member.state is not None
        self.judge.adopted(self.world.now(), member.state, epoch, text)

    def _until(self, member: Member, until: float) -> None:
        assert isinstance(member, Router) and member.state is not None and member.env is not None
        self.judge.extended(self.world.now(), member.state, member.env.true(until))

    # ---- links

    def links(self, key: str, others: tuple[str, ...] = ()) -> list[Relay]:
        """All links of a member, or those with `others`."""
        return [
            relay
            for (one, other), relay in self.relays.items()
            if (key == one and (not others or other in others))
            or (key == other and (not others or one in others))
        ]

    def cut_off(self, key: str, others: tuple[str, ...] = (), way: str | None = None) -> None:
        """Stall its links, one way ("there" is from who made the link) or both."""
        for relay in self.links(key, others):
            for each in (THERE, BACK) if way is None else (way,):
                relay.fault(each, "stall")

    def heal(self, key: str | None = None) -> None:
        for relay in list(self.relays.values()) if key is None else self.links(key):
            relay.heal()

    def clients_of(self, aggregator: str) -> tuple[str, ...]:
        """The routers that prefer this aggregator."""
        return tuple(
            key for key, one in self.routers.items() if one.aggregators and one.aggregators[0] == aggregator
        )

    # ---- what is seen

    def votes(self, key: str) -> bool:
        host = self.routers[key].host
        if host is None:
            return False
        node = host.node
        return isinstance(node, Node) and node.voter is not None and node.voter.has_read_register

    def serving(self) -> dict[str, int]:
        """Who may take requests now, under which epoch."""
        now = self.world.now()
        return {
            key: one.serving for key, one in self.routers.items() if one.host is not None and one.until > now
        }

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now() + seconds)

    def run_until(self, true: Callable[[], bool], seconds: float, step: float = 0.005) -> bool:
        """Run until something is so. Whether it came to be within `seconds`."""
        end = self.world.now() + seconds
        while not true() and self.world.now() < end:
            self.run(step)
        return true()

    def when(self, true: Callable[[], bool], act: Callable[[], None], step: float = 0.001) -> None:
        """Act once, as soon as something is so."""

        def look() -> None:
            if true():
                act()
            else:
                self.world.at(self.world.now() + step, look)

        look()

    def stage(self) -> str:
        """Of the change under way, as voters tell it; empty: none is."""
        return self.judge.stage

    # ---- operators

    def ask(self, key: str, message: Set | Show, told: Callable[[Message | None], object]) -> None:
        """Ask a voter or an aggregator; `told` gets the answer, or None if the connection broke."""
        if isinstance(message, Set):
            self.judge.proposed(message.change, message.policy, message.dry)
        self.world.connect(self.ports[key], Operator(FLEET, message, told))

    def told(self, answer: Message | None) -> str:
        """Note what an operator heard."""
        if isinstance(answer, Ended):
            self.outcomes[answer.outcome.id] = answer.outcome
        return self.judge.told(self.world.now(), answer)

    def show(self, key: str, seconds: float = 1.0) -> Shown | None:
        answers: list[Message | None] = []
        self.ask(key, Show(), answers.append)
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
        """Propose a policy and wait for the outcome, as a tool would: by another voter if one does not answer."""
        end = self.world.now() + seconds
        version = self._version(voter, end)
        if version is None:
            return Told.UNKNOWN
        return self._set_and_wait(
            Set(f"{version}-{self.random.randrange(10**9)}", text, patience, dry), voter, end
        )

    def _version(self, voter: str | None, end: float) -> int | None:
        version: list[int] = []

        def shown(answer: Message | None) -> None:
            if isinstance(answer, Shown) and answer.state is not None:
                version.append(answer.state.version)

        while not version and self.world.now() < end:
            self.ask(voter or self.random.choice(self.voters), Show(), shown)
            self.run(SHOW_WAIT)
        return version[0] if version else None

    def _set_and_wait(self, wanted: Set, voter: str | None, end: float) -> str:
        result: list[str] = []
        while not result and self.world.now() < end:
            self.ask(
                voter or self.random.choice(self.voters),
                wanted,
                lambda answer: result.append(self.told(answer)),
            )
            asked = self.world.now()
            while not result and self.world.now() < min(end, asked + OUTCOME_WAIT):
                self.run(0.05)
            if result and result[-1] == Told.UNKNOWN:
                result.clear()
        return result[0] if result else Told.UNKNOWN
