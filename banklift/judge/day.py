"""A scripted bad day: stand-ins, routers, clients, faults by the clock, and a trace of all of it.

The same day plays on sockets, with routers as processes of their own, and in virtual time, where one seed gives one
trace.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import anyio
import msgspec
from msgspec import Meta

from banklift.config import build
from banklift.config.load import EXAMPLE, ConfigError, evaluate, load
from banklift.emulator.node import Act
from banklift.emulator.shell import NodeHost
from banklift.emulator.stand import RouterProcesses, Routers, RoutersHere, Stand, source
from banklift.emulator.world import World
from banklift.interface import Status
from banklift.judge import forms
from banklift.judge.load import Clients, Habits, Mix
from banklift.judge.trace import Entry, Head, Writer
from banklift.net.env import Env
from banklift.net.sockets import SocketEnv
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group, Positive, Seconds, Strict
from banklift.resp.commands import Kind, lookup
from banklift.resp.replies import status

DAYS = Path(__file__).with_name("days")
TOLD_WITHIN = 0.5  # seconds until a router has read a new roster file
ELECT_LOOK = 0.05
TAIL_SHARE = 0.03  # of requests, of a heavy tail
ON_SOCKETS = 0.15  # seconds that the two ends may see the same moment apart, on a busy machine ...
IN_VIRTUAL_TIME = 0.005  # ... and in virtual time: some ways
HAND_OVER = 2.0  # seconds that a hand-over waits for the log


class Request(Strict, kw_only=True, frozen=True):
    kind: str
    share: Positive
    key: str
    writes: bool = False
    keys: int = 1  # shared keys that {k} is drawn from
    forms: dict[str, float] = msgspec.field(default_factory=dict)  # forms (forms.py) and their shares


class Trouble(Strict, kw_only=True, frozen=True):
    """One order to the stand, at `at` seconds. `member` may be `primary:GROUP`, `replica:GROUP:N` or `*`."""

    at: Seconds
    do: str
    member: str = ""
    router: int = -1
    value: float = 0.0
    probes: bool = True  # of a hang: questions for the role are still answered


class Election(Strict, kw_only=True, frozen=True):
    notice: Seconds = 0.4  # until a dead or hung primary is given up
    takes: Seconds = 0.3  # until a replica has taken over


class Day(Strict, kw_only=True, frozen=True):
    title: str
    seconds: Positive
    rate: Positive
    sessions: Annotated[int, Meta(ge=1)] = 50
    roam: Seconds = 0.5
    helped: bool = False
    named: bool = False
    retries: int = 2
    leavers: Seconds = 0.2
    reread: Seconds = 0.6
    batches: Seconds = 0.1  # share of arrivals that are several requests in one piece
    work: Positive = 0.001
    apply: Seconds = 0.0001
    requests: list[Request]
    troubles: list[Trouble] = msgspec.field(default_factory=list)
    absent: tuple[str, ...] = ()  # members that join later
    shows: dict[str, float] = msgspec.field(default_factory=dict)  # least figures of symptoms (symptoms.py)
    election: Election = msgspec.field(default_factory=Election)
    config: dict[str, Any] | None = None  # in place of the example's keys


ORDERS = (
    "hang",
    "thaw",
    "kill",
    "restart",
    "drain",
    "undrain",
    "lag",
    "slow",
    "slow_for",
    "cut",
    "cap",
    "handshake",
    "understate",
    "tail",
    "withhold",
    "delay",
    "split",
    "heal",
    "join",
    "leavers",
    "roster_delay",
    "kill_router",
    "start_router",
    "stall_router",
)


def load_day(name: str) -> tuple[Day, Config]:
    """A day of ours by name, or a file. Errors: `ConfigError`."""
    path = Path(name)
    if not path.suffix:
        path = DAYS / f"{name}.jsonnet"
        if not path.exists():
            known = ", ".join(sorted(day.stem for day in DAYS.glob("*.jsonnet")))
            raise ConfigError(f"no day is named {name!r}; there are: {known}")
    try:
        day = msgspec.json.decode(evaluate(path), type=Day)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None
    for number, trouble in enumerate(day.troubles):
        if trouble.do not in ORDERS:
            raise ConfigError(
                f"{path}: $.troubles[{number}].do: {trouble.do!r} is none of {', '.join(ORDERS)}"
            )
    config = load(EXAMPLE)
    if day.config is not None:
        config = msgspec.convert({**msgspec.to_builtins(config), **day.config}, type=Config)
    names = {kind.name for kind in config.classes}
    for number, request in enumerate(day.requests):
        if request.kind not in names:
            raise ConfigError(f"{path}: $.requests[{number}].kind: no class is named {request.kind!r}")
        for form, share in request.forms.items():
            ours = forms.WRITES if request.writes else forms.READS
            if form not in ours or not share > 0:
                raise ConfigError(
                    f"{path}: $.requests[{number}].forms.{form}: need a share above 0 of one of "
                    f"{', '.join(ours)}"
                )
    return day, config


class Director:
    """Runs the script of one day in its surroundings, and records what both ends of the sockets see."""

    def __init__(
        self,
        env: Env,
        day: Day,
        config: Config,
        routers: int,
        seed: int,
        record: Callable[[Entry], None],
        progress: Callable[[float, str], None],
    ) -> None:
        self.env, self.day, self.config, self.seed = env, day, config, seed
        self.record, self.progress = record, progress
        self.begin = env.now()
        self.sources = {source(number): number for number in range(routers)}
        self.sick: dict[str, float] = {}  # members that can't be primary, since when
        self.electing: set[str] = set()
        self.roster_delay = 0.0
        self.stand = Stand(config, env, seed, self._tap, day.work, day.apply, True)
        self.said: dict[
            tuple[str, str], tuple[str, str]
        ] = {}  # by member and router: role and line last told
        self.routers: Routers | None = None
        self.clients: Clients | None = None
        for name in day.absent:
            self.stand.nodes[name].kill()
            self.stand.states[name] = "gone"
        self.published = dict(self.stand.states)
        for group in config.groups:
            self._role(self.stand.roles[group.name])

    def start(self, routers: Routers) -> None:
        """All routers listen: let clients and troubles begin."""
        self.routers = routers
        day = self.day
        self.begin = self.env.now()
        self.say(f"{len(routers.addresses)} routers and {len(self.stand.nodes)} members are up")
        habits = Habits(
            day.sessions,
            day.retries,
            day.roam,
            day.helped,
            day.named,
            day.leavers,
            day.reread,
            batches=day.batches,
        )
        self.clients = Clients(
            self.env,
            routers.addresses,
            {kind.name: kind.deadline for kind in self.config.classes},
            [
                Mix(one.kind, one.share, one.key, one.writes, one.keys, tuple(one.forms.items()))
                for one in day.requests
            ],
            habits,
            self.seed,
            self.record,
        )
        self.clients.run(day.rate, day.seconds)
        for trouble in day.troubles:
            self.env.at(self.begin + trouble.at, lambda trouble=trouble: self._do(trouble))  # type: ignore[misc]
        self._elect()

    @property
    def over(self) -> bool:
        return self.clients is not None and not self.clients.sending and not self.clients.open

    def finish(self) -> None:
        """Put down what the primaries hold in the end."""
        assert self.clients is not None
        self.say(f"all {self.clients.numbers} requests are over")
        self.clients.close()
        now = self.env.now()
        for name in self.stand.roles.values():
            node = self.stand.nodes[name].node
            self.record(Entry(t=now, k="end", member=name, line=node.replid, offset=node.offset))
            for key in sorted(node.data):
                value = node.store.apply([b"GET", key], now)
                self.record(
                    Entry(
                        t=now,
                        k="end",
                        member=name,
                        line=node.replid,
                        offset=node.offset,
                        keys=[key.decode("latin-1")],
                        values=[value.decode("latin-1") if isinstance(value, bytes) else ""],
                    )
                )
        self.record(Entry(t=now, k="end"))

    def say(self, text: str) -> None:
        self.progress(self.env.now() - self.begin, text)

    def _tap(self, now: float, member: str, act: Act) -> None:
        """At a member's end of the sockets."""
        router = self.sources.get(act.source, -1)
        match act.what:
            case "close":
                self.record(
                    Entry(t=now, k="cut", member=member, conn=act.conn, verdict=act.data.decode() or "member")
                )
            case "line":
                self.record(
                    Entry(
                        t=now,
                        k="line",
                        member=member,
                        line=act.line,
                        offset=act.offset,
                        parent=act.parent,
                        received=act.received,
                    )
                )
                if self.stand.roles.get(self._group(member).name) == member:  # a primary that restarted
                    self._role(member)
            case "says":
                said = act.args[0].decode(), act.line
                if router >= 0 and self.said.get((member, act.source)) != said:
                    self.said[member, act.source] = said
                    self.record(
                        Entry(
                            t=now,
                            k="says",
                            member=member,
                            router=router,
                            value=said[0],
                            line=act.line,
                            offset=act.offset,
                        )
                    )
            case "command":
                if router >= 0:
                    self.record(
                        Entry(
                            t=now,
                            k="command",
                            member=member,
                            conn=act.conn,
                            rid=forms.number(act.args),
                            router=router,
                        )
                    )
            case "ran":
                self.record(
                    Entry(
                        t=now,
                        k="ran",
                        member=member,
                        conn=act.conn,
                        rid=forms.number(act.args),
                        router=router,
                        line=act.line,
                        offset=act.offset,
                        log=[[word.decode("latin-1") for word in effect] for effect in act.log],
                    )
                )
            case "answer":
                turned = act.turned or status(act.data) is not Status.OK
                writes = any(
                    known is not None and known.kind is Kind.WRITE for known in map(lookup, act.args)
                )
                self.record(
                    Entry(
                        t=now,
                        k="reply",
                        member=member,
                        conn=act.conn,
                        rid=forms.number(act.args),
                        verdict="turned away" if turned else "answered",
                        router=router,
                        line=act.line,
                        offset=act.offset,
                        value=act.data.decode("latin-1") if writes or turned else "",
                    )
                )

    # ---- troubles

    def member(self, name: str) -> str:
        """`primary:GROUP` and `replica:GROUP:N` by the roles of this moment."""
        role, _, rest = name.partition(":")
        if role == "primary":
            return self.stand.roles[rest]
        if role == "replica":
            group_name, _, number = rest.partition(":")
            group = next(group for group in self.config.groups if group.name == group_name)
            replicas = [m.name for m in group.members if m.name != self.stand.roles[group_name]]
            return replicas[int(number or 0) % len(replicas)]
        return name

    def _do(self, trouble: Trouble) -> None:
        stand, now = self.stand, self.env.now()
        assert self.routers is not None
        if trouble.do == "kill_router":
            self.say(f"router {trouble.router} is killed")
            self.record(Entry(t=now, k="killed", router=trouble.router))
            self.routers.kill(trouble.router)
            return
        if trouble.do == "start_router":
            self.say(f"router {trouble.router} starts again")
            self.routers.restart(trouble.router)
            return
        if trouble.do == "stall_router":
            self.say(f"router {trouble.router} stalls for {trouble.value:g} s")
            self.routers.stall(trouble.router, trouble.value)
            self.record(Entry(t=now, k="stalled", router=trouble.router, patience=trouble.value))
            return
        if trouble.do == "leavers":
            assert self.clients is not None
            self.say(f"{trouble.value:.0%} of clients leave early")
            self.clients.habits = dataclasses.replace(self.clients.habits, leavers=trouble.value)
            return
        if trouble.do == "roster_delay":
            self.say(f"the roster runs {trouble.value:g} s late")
            self.roster_delay = trouble.value
            return
        if trouble.member == "*":
            for each in self.stand.nodes:
                self._do(msgspec.structs.replace(trouble, member=each))
            return
        name = self.member(trouble.member)
        host = stand.nodes[name]
        faults = host.node.faults
        self.say(f"{trouble.do} {name}" + (f" {trouble.value:g}" if trouble.value else ""))
        match trouble.do:
            case "hang":
                faults.hang, faults.hang_probes, faults.hang_runs = True, not trouble.probes, trouble.value
                self.sick[name] = now
            case "thaw":
                host.do(host.node.thaw(now))
                self.sick.pop(name, None)
                # it believes in its role until the control plane tells it otherwise
                self.env.at(now + self.day.election.takes, lambda: self._follow(name))
            case "kill":
                host.kill()
                self.sick[name] = now
            case "restart":
                rules = self.config.rules
                host.restart(rules.cold_share, rules.cold_time)
                stand.started[name] = now
                self.record(Entry(t=now, k="cold", member=name))
                self._list()
                self.sick.pop(name, None)
                self._follow(name)
            case "join":
                rules = self.config.rules
                stand.states[name] = "ready"
                host.restart(rules.cold_share, rules.cold_time)
                stand.started[name] = now
                self.record(Entry(t=now, k="cold", member=name))
                self._list()
                self._follow(name)
            case "drain":
                self._told(name, "draining")
                if name in stand.roles.values():
                    self._hand_over(name)
            case "undrain":
                self._told(name, "ready")
            case "lag":
                faults.apply = trouble.value
            case "slow":
                faults.slow = trouble.value
            case "slow_for":
                faults.slow_for = {source(trouble.router): trouble.value}
            case "tail":
                faults.tail, faults.tail_share = trouble.value, TAIL_SHARE if trouble.value > 1 else 0.0
            case "cut":
                faults.cut = trouble.value
            case "cap":
                faults.cap = int(trouble.value)
            case "handshake":
                faults.handshake = trouble.value
            case "delay":
                faults.delay = trouble.value
            case "split":  # it is given up, and nobody tells it
                self.sick[name] = now
            case "heal":
                self.sick.pop(name, None)
                self._follow(name)
            case "withhold":
                if trouble.value:
                    faults.withhold = True
                else:
                    host.do(host.node.ship(now))
            case "understate":
                faults.understate = trouble.value

    def _told(self, name: str, state: str) -> None:
        self.stand.states[name] = state
        self._list()

    def _list(self) -> None:
        """The roster changed; it may run late."""
        if self.roster_delay:
            self.env.at(self.env.now() + self.roster_delay, self._publish)
        else:
            self._publish()

    def _publish(self) -> None:
        assert self.routers is not None
        self.routers.roster(self.stand)
        for name, state in self.stand.states.items():
            if self.published[name] != state:
                self.record(Entry(t=self.env.now(), k="told", member=name, value=state))
        self.published = dict(self.stand.states)

    # ---- elections, as the store's own control plane does them

    def _group(self, name: str) -> Group:
        return next(group for group in self.config.groups if any(m.name == name for m in group.members))

    def _role(self, name: str) -> None:
        self.record(Entry(t=self.env.now(), k="role", member=name, line=self.stand.nodes[name].node.replid))

    def _elect(self) -> None:
        now = self.env.now()
        for group in self.config.groups:
            primary = self.stand.roles[group.name]
            since = self.sick.get(primary)
            if (
                since is not None
                and now - since >= self.day.election.notice
                and group.name not in self.electing
            ):
                self.electing.add(group.name)
                self.env.at(
                    now + self.day.election.takes,
                    lambda group=group, primary=primary: self._replace(group, primary),  # type: ignore[misc]
                )
        self.env.at(now + ELECT_LOOK, self._elect)

    def _replace(self, group: Group, old: str) -> None:
        self.electing.discard(group.name)
        if old not in self.sick or self.stand.roles[group.name] != old:
            return
        able = self._able(group, old)
        if able:
            self._crown(group, max(able, key=lambda host: host.node.offset))

    def _able(self, group: Group, old: str) -> list[NodeHost]:
        return [
            self.stand.nodes[m.name]
            for m in group.members
            if m.name != old and m.name not in self.sick and self.stand.states[m.name] == "ready"
        ]

    def _crown(self, group: Group, best: NodeHost) -> None:
        best.do(best.node.promote(self.env.now()))
        self.stand.roles[group.name] = best.node.name
        self._role(best.node.name)
        self.say(f"{best.node.name} is primary of {group.name}")
        for member in group.members:
            if member.name not in self.sick:
                self._follow(member.name)

    def _follow(self, name: str) -> None:
        primary = self.stand.roles[self._group(name).name]
        if primary != name:
            self.stand.follow(name, primary)

    def _hand_over(self, name: str) -> None:
        """A primary that drains takes no more writes, and the replica that has all of them takes over."""
        group, old = self._group(name), self.stand.nodes[name]
        able = self._able(group, name)
        if not able:
            return
        old.node.readonly = True
        best = max(able, key=lambda host: host.node.offset)
        deadline = self.env.now() + HAND_OVER

        def look() -> None:
            if best.node.offset < old.node.offset and self.env.now() < deadline:
                self.env.at(self.env.now() + 0.005, look)
                return
            self._crown(group, best)
            old.node.readonly = False

        look()


def head(day: Day, config: Config, routers: int, seed: int, start: float, crossing: float) -> Head:
    rules = config.rules
    return Head(
        classes={
            kind.name: {
                "effect": kind.effect.value,
                "need": kind.need.value,
                "aim": kind.aim,
                "deadline": kind.deadline,
                "bound": kind.bound,
                "worth": kind.worth,
                "window": kind.window,
            }
            for kind in config.classes
        },
        groups={member.name: group.name for group in config.groups for member in group.members},
        sources=[source(number) for number in range(routers)],
        drain_grace=rules.drain_grace,
        told_within=TOLD_WITHIN,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        work=day.work,
        cores=4,
        start=start,
        seed=seed,
        crossing=crossing,
    )


async def play(
    day: Day, config: Config, routers: int, seed: int, trace: Path, progress: Callable[[float, str], None]
) -> None:
    """On sockets, with routers as processes. Errors: `OSError`, `RuntimeError` if a router does not start."""
    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks)
        record = Writer(trace, head(day, config, routers, seed, env.now(), ON_SOCKETS))
        director = Director(env, day, config, routers, seed, record, progress)
        processes = RouterProcesses(director.stand, tasks, time.monotonic() - time.time())
        processes.addresses = ["127.0.0.1:0"] * routers
        try:
            async with anyio.create_task_group() as starting:

                async def start(number: int) -> None:
                    processes.addresses[number] = await processes.start(number, "127.0.0.1:0")

                for number in range(routers):
                    starting.start_soon(start, number)
            director.start(processes)
            while not director.over:
                await anyio.sleep(ELECT_LOOK)
            director.finish()
        finally:
            with anyio.CancelScope(shield=True):
                await processes.stop()
            record.close()
        tasks.cancel_scope.cancel()


def play_virtual(
    day: Day,
    config: Config,
    routers: int,
    seed: int,
    record: Callable[[Entry], None],
    progress: Callable[[float, str], None] = lambda at, text: None,
    make: Callable[[Config, int], Machine] = build.machine,
) -> Head:
    """In virtual time, in this process; the same seed gives the same trace. `make` builds a router's machine."""
    world = World(seed)
    director = Director(world, day, config, routers, seed, record, progress)
    begin = world.now()
    director.start(RoutersHere(director.stand, routers, seed, make))
    until = begin + day.seconds
    while not director.over:
        world.run(until)
        until += 0.5
    director.finish()
    return head(day, config, routers, seed, begin, IN_VIRTUAL_TIME)
