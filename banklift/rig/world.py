"""A fleet in virtual time: the same code as on sockets, relays on every link, clocks and disks that go wrong, one seed.

The judge here sees all: each moment at which a router may take requests, on the one true clock. What it checks:

- never mixed: while a router may take requests under one policy, no other may under another, and no older one comes
back;
- one policy to an epoch, and none that was told to be aborted, ever;
- what was told "in force" is what is served, and no change is made twice.

It counts the checks in which each could have failed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from banklift.emulator.world import World
from banklift.fleet.messages import (
    VERSION,
    Bye,
    Ended,
    Frames,
    Garbage,
    Hello,
    Message,
    NotProposed,
    Progress,
    Set,
    Show,
    Shown,
    encode,
)
from banklift.fleet.node import Node
from banklift.fleet.plan import Plan
from banklift.fleet.register import Record
from banklift.fleet.state import Result, digest
from banklift.net.env import Handle, Listener, Peer
from banklift.net.fleet import FleetHost
from banklift.rig.relay import Relay

ROUNDING = 1e-7  # seconds by which a clock that was computed may be short of the time that was waited for
WRITE = 0.004  # seconds that a write to disk takes


class SkewedEnv:
    """The surroundings as a machine sees them whose clock runs at `rate` and may be set (`jump`)."""

    def __init__(self, world: World, rate: float, offset: float) -> None:
        self.world, self.rate, self.offset, self.zero = world, rate, offset, world.now()

    def now(self) -> float:
        return self.offset + (self.world.now() - self.zero) * self.rate

    def true(self, when: float) -> float:
        """What its time is on the true clock."""
        return self.zero + (when - self.offset) / self.rate if when > -math.inf else -math.inf

    def at(self, when: float, callback: Callable[[], None]) -> None:
        self.world.at(max(self.world.now(), self.true(when) + ROUNDING), callback)

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        return self.world.listen(address, accept)

    def connect(self, address: str, peer: Peer, source: str | None = None) -> Handle:
        return self.world.connect(address, peer, source)


@dataclass(slots=True)
class Disk:
    """What a voter's folder holds, and what is wrong with it."""

    content: bytes | None = None
    older: list[bytes | None] = field(default_factory=list)  # what it held before, the newest last
    fault: str = ""  # lies: a sync that loses all at the next kill; EIO, full: writes fail
    kept: bytes | None = None  # what a lying disk really has


@dataclass(slots=True, eq=False)
class Router:
    name: str
    rate: float
    disk: Disk
    env: SkewedEnv | None = None
    host: FleetHost | None = None
    serving: int = 0
    until: float = -math.inf  # on the true clock
    reasons: tuple[str, ...] = ()  # it has against every policy that holds `REFUSED`
    ousted: str = ""


REFUSED = b"refused here"


class FleetWorld:
    """`rates`: how far clocks run from the true one, at the most, as a part; the plan states twice that."""

    def __init__(
        self,
        seed: int,
        routers: int,
        voters: int,
        lease: float = 4.0,
        drift: float = 0.01,
        node: type[Node] = Node,
    ) -> None:
        self.world, self.random, self.node = World(seed, 0.001), Random(seed), node
        self.lease, self.drift = lease, drift
        self.names = [f"r{number}" for number in range(routers)]
        self.voters = tuple(self.names[:voters])
        self.ports = {name: f"10.0.0.1:{7000 + place}" for place, name in enumerate(self.voters)}
        self.routers = {
            name: Router(name, self.random.uniform(1 - drift / 2, 1 + drift / 2), Disk())
            for name in self.names
        }
        self.relays: dict[tuple[str, str], Relay] = {}
        for name in self.names:
            for voter in self.voters:
                if name != voter:
                    target = self.ports[voter]
                    self.relays[name, voter] = Relay(
                        self.world,
                        lambda target=target: target,  # type: ignore[misc]
                        self.random.randrange(2**32),
                        "10.0.0.2:0",
                    )
        self.starts = 0
        self.newest = 0  # epoch adopted by anybody
        self.policies: dict[int, str] = {}  # digest by epoch
        self.aborted: set[str] = set()
        self.forced: dict[str, str] = {}  # digest of the policy of each change told to be in force
        self.breaks: list[str] = []
        self.cases: dict[str, int] = {}
        self.log: list[tuple[float, str, str, dict[str, object]]] = []

    def case(self, name: str, count: int = 1) -> None:
        self.cases[name] = self.cases.get(name, 0) + count

    # ---- routers

    def start(self, name: str) -> None:
        router = self.routers[name]
        assert router.host is None
        self.starts += 1
        env = router.env = SkewedEnv(self.world, router.rate, self.random.uniform(0.0, 1e5))
        record = None
        if router.disk.content is not None:
            try:
                record = msgspec.msgpack.decode(router.disk.content, type=Record)
            except msgspec.DecodeError:
                record = None
        absent = router.disk.content is None
        plan = Plan("rig", name, self.voters, self.lease, self.drift)
        node = self.node(
            plan,
            1_000 + self.starts,
            self.random.randrange(2**32),
            b"first",
            lambda text: router.reasons if REFUSED in text else (),
            record,
            absent,
        )
        addresses = {
            voter: self.relays[name, voter].address if name != voter else "" for voter in self.voters
        }
        host: FleetHost = FleetHost(
            env,
            node,
            addresses,
            self.ports.get(name),
            lambda record, done: self._save(router, host, record, done),
            lambda epoch, text: self._adopt(router, epoch, text),
            lambda until, back: self._until(router, until),
            lambda reason: self._ousted(router, reason),
            lambda event, fields: self.log.append((self.world.now(), name, event, fields)),
        )
        router.host, router.serving, router.until, router.ousted = host, 0, -math.inf, ""
        host.start()

    def kill(self, name: str) -> None:
        router = self.routers[name]
        if router.host is not None:
            router.host.kill()
            router.host, router.serving, router.until = None, 0, -math.inf
            if router.disk.fault == "lies":
                router.disk.content = router.disk.kept

    def _ousted(self, router: Router, reason: str) -> None:
        router.ousted = reason
        self.kill(router.name)

    def _save(self, router: Router, host: FleetHost, record: bytes, done: Callable[[str], None]) -> None:
        def written() -> None:
            if router.host is not host:
                return  # killed before the write was done: as likely as not it is there
            disk = router.disk
            if disk.fault in ("EIO", "full"):
                done(disk.fault)
                return
            disk.older.append(disk.content)
            del disk.older[:-20]
            disk.content = record
            if disk.fault != "lies":
                disk.kept = record
            done("")

        self.world.at(self.world.now() + WRITE * self.random.uniform(0.5, 2.0), written)

    # ---- what is judged

    def _adopt(self, router: Router, epoch: int, text: bytes) -> None:
        now, known = self.world.now(), digest(text)
        if self.policies.setdefault(epoch, known) != known:
            self.breaks.append(
                f"{now:.3f} one policy to an epoch: {router.name} adopts another one as {epoch}"
            )
        if known in self.aborted:
            self.breaks.append(
                f"{now:.3f} nowhere: {router.name} adopts a policy that was told to be aborted"
            )
        if epoch < self.newest:
            self.breaks.append(
                f"{now:.3f} never mixed: {router.name} adopts {epoch}, and {self.newest} was in force"
            )
        if epoch > 1 and list(self.policies.values()).count(known) > 1:
            self.breaks.append(f"{now:.3f} made twice: {router.name} adopts {known} as {epoch}")
        for other in self.routers.values():
            if other is not router and other.host is not None and other.serving and other.until > now:
                self.case("never mixed: adopted while another served")
                if other.serving < epoch:
                    self.breaks.append(
                        f"{now:.3f} never mixed: {router.name} adopts {epoch}, and {other.name} may "
                        f"serve {other.serving} for {other.until - now:.3f} s"
                    )
        self.newest = max(self.newest, epoch)
        router.serving = epoch

    def _until(self, router: Router, until: float) -> None:
        assert router.env is not None
        now, end = self.world.now(), router.env.true(until)
        if end > now and self.newest > 1:
            self.case("never mixed: renewed")
            if router.serving < self.newest:
                self.breaks.append(
                    f"{now:.3f} never mixed: {router.name} may serve {router.serving} for "
                    f"{end - now:.3f} s, and {self.newest} was in force"
                )
        router.until = end

    def votes(self, name: str) -> bool:
        host = self.routers[name].host
        return host is not None and host.node.voter is not None and host.node.voter.in_step

    def serving(self) -> dict[str, int]:
        """Who may take requests now, under which epoch."""
        now = self.world.now()
        return {
            name: one.serving
            for name, one in self.routers.items()
            if one.host is not None and one.until > now
        }

    # ---- operators

    def ask(self, voter: str, message: Set | Show, told: Callable[[Message | None], object]) -> None:
        """Ask a voter; `told` gets the answer, or None if the connection broke."""
        self.world.connect(self.ports[voter], _Operator(message, told))

    def told(self, answer: Message | None) -> str:
        """Note what an operator heard."""
        if isinstance(answer, Ended):
            outcome = answer.outcome
            if outcome.result is Result.IN_FORCE:
                self.forced[outcome.id] = outcome.digest
                self.case("told in force")
                if self.policies.get(outcome.epoch, outcome.digest) != outcome.digest:
                    self.breaks.append(
                        f"in force: {outcome.id} as epoch {outcome.epoch}, which is another policy"
                    )
            elif outcome.result is Result.ABORTED:
                self.case("told aborted")
                self.aborted.add(outcome.digest)
                if outcome.digest in self.policies.values():
                    self.breaks.append(
                        f"nowhere: {outcome.id} was told to be aborted, and its policy was served"
                    )
            return str(outcome.result)
        return "unmade" if isinstance(answer, NotProposed) else "unknown"

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now() + seconds)

    def change(
        self, text: bytes, voter: str | None = None, patience: float = 20.0, seconds: float = 60.0
    ) -> str:
        """Propose a policy and wait for the outcome, as a tool would: by another voter if one does not answer."""
        result: list[str] = []
        version: list[int] = []
        end = self.world.now() + seconds

        def shown(answer: Message | None) -> None:
            if isinstance(answer, Shown) and answer.state is not None:
                version.append(answer.state.version)

        while not version and self.world.now() < end:
            self.ask(voter or self.random.choice(self.voters), Show(), shown)
            self.run(0.2)
        if not version:
            return "unknown"
        wanted = Set(f"{version[0]}-{self.random.randrange(10**9)}", text, patience)
        while not result and self.world.now() < end:
            self.ask(
                voter or self.random.choice(self.voters),
                wanted,
                lambda answer: result.append(self.told(answer)),
            )
            asked = self.world.now()
            while not result and self.world.now() < min(end, asked + 10.0):
                self.run(0.05)
            if result and result[-1] == "unknown":
                result.clear()
        return result[0] if result else "unknown"


class _Operator(Peer):
    def __init__(self, message: Message, told: Callable[[Message | None], object]) -> None:
        self.message, self.told, self.frames, self.over = message, told, Frames(), False

    def up(self, handle: Handle) -> None:
        self.handle = handle
        handle.send(encode(Hello(VERSION, "rig", "", 0, (), 0.0)) + encode(self.message))

    def data(self, data: bytes) -> None:
        try:
            messages = self.frames.feed(data)
        except Garbage:
            messages = [Bye("garbage")]
        for message in messages:
            if not self.over and not isinstance(message, Hello | Progress):
                self.over = True
                self.handle.close()
                self.told(None if isinstance(message, Bye) else message)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if not self.over:
            self.over = True
            self.told(None)
