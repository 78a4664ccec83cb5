"""A scripted bad day: stand-ins, routers as processes, clients, faults by the clock, and a trace of all of it."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Annotated, Any

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Meta

from banklift.config.load import EXAMPLE, ConfigError, evaluate, load
from banklift.emulator.node import Act
from banklift.emulator.shell import NodeShell
from banklift.emulator.stand import Stand
from banklift.judge.load import Clients, Mix
from banklift.judge.trace import Entry, Head, Writer
from banklift.proxy.plan import Config, Group, Positive, Seconds, Strict
from banklift.resp.commands import Kind, lookup
from banklift.resp.replies import status

DAYS = Path(__file__).with_name("days")
TOLD_WITHIN = 0.5  # seconds until a router has read a new roster file
ELECT_LOOK = 0.05


class Request(Strict, kw_only=True, frozen=True):
    kind: str
    share: Positive
    key: str
    writes: bool = False
    keys: int = 1  # shared keys that {k} is drawn from


class Trouble(Strict, kw_only=True, frozen=True):
    """One order to the stand, at `at` seconds. `member` may be `primary:GROUP` or `replica:GROUP:N`."""

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
    retries: int = 2
    leavers: Seconds = 0.2
    reread: Seconds = 0.6
    work: Positive = 0.001
    apply: Seconds = 0.0001
    requests: list[Request]
    troubles: list[Trouble] = msgspec.field(default_factory=list)
    election: Election = msgspec.field(default_factory=Election)
    config: dict[str, Any] | None = None  # in place of the example's keys


ORDERS = ("hang", "thaw", "kill", "restart", "drain", "undrain", "lag", "slow", "slow_for", "cut", "cap", "handshake",
          "understate", "kill_router", "start_router")


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
    for place, trouble in enumerate(day.troubles):
        if trouble.do not in ORDERS:
            raise ConfigError(f"{path}: $.troubles[{place}].do: {trouble.do!r} is none of {', '.join(ORDERS)}")
    config = load(EXAMPLE)
    if day.config is not None:
        config = msgspec.convert({**msgspec.to_builtins(config), **day.config}, type=Config)
    names = {kind.name for kind in config.classes}
    for place, request in enumerate(day.requests):
        if request.kind not in names:
            raise ConfigError(f"{path}: $.requests[{place}].kind: no class is named {request.kind!r}")
    return day, config


class Player:
    """Plays one day. `progress` is told what happens, as it happens."""

    def __init__(self, day: Day, config: Config, routers: int, seed: int, trace: Path,
                 progress: Callable[[float, str], None], clock: Callable[[], float] = time.monotonic) -> None:
        self.day, self.config, self.router_count, self.seed = day, config, routers, seed
        self.clock = clock
        self.progress = progress
        self.start = clock()
        groups = {member.name: group.name for group in config.groups for member in group.members}
        rules = config.rules
        self.sources = {f"127.0.1.{number + 1}": number for number in range(routers)}
        self.record = Writer(trace, Head(
            classes={kind.name: {"effect": kind.effect.value, "need": kind.need.value, "aim": kind.aim,
                                 "deadline": kind.deadline, "bound": kind.bound, "worth": kind.worth}
                     for kind in config.classes},
            groups=groups, sources=list(self.sources), drain_grace=rules.drain_grace, told_within=TOLD_WITHIN,
            cold_share=rules.cold_share, cold_time=rules.cold_time, fall_multiple=rules.fall_multiple,
            fall_time=rules.fall_time, work=day.work, cores=4, start=self.start, seed=seed))
        self.stand = Stand(config, seed, self._tap, clock, day.work)
        for shell in self.stand.nodes.values():
            shell.node.apply_work = day.apply
        self.sick: dict[str, float] = {}  # members that can't be primary, since when

    def _tap(self, now: float, member: str, act: Act) -> None:
        """At a member's end of the sockets."""
        if act.what == "cut":
            self.record(Entry(t=now, k="cut", member=member, conn=act.conn))
            return
        known = lookup(act.args[0])
        if known is None or known.kind not in (Kind.READ, Kind.WRITE):
            if act.what == "command" and act.source in self.sources:
                self.record(Entry(t=now, k="command", member=member, conn=act.conn,
                                  router=self.sources[act.source]))
            return
        last = act.args[-1].decode("latin-1")
        rid = last.rstrip(";") if known.kind is Kind.WRITE else last.rpartition(":rid:")[2]
        kind: Any = {"command": "command", "ran": "ran", "answer": "reply"}[act.what]
        verdict = ""
        if act.what == "answer":
            verdict = "answered" if status(act.data).name == "OK" else "turned away"
        self.record(Entry(t=now, k=kind, member=member, conn=act.conn, rid=rid, verdict=verdict,
                          key=act.args[1].decode("latin-1"), router=self.sources.get(act.source, -1)))

    async def play(self) -> None:
        day, stand = self.day, self.stand
        async with anyio.create_task_group() as tasks:
            stand.start(tasks)
            for group in self.config.groups:
                self._role(stand.roles[group.name])
            try:
                async with anyio.create_task_group() as starting:
                    for number in range(self.router_count):
                        starting.start_soon(stand.start_router, number)
                self.start = self.clock()
                self.say(f"{self.router_count} routers and {len(stand.nodes)} members are up")
                clients = Clients(stand.addresses, {kind.name: kind.deadline for kind in self.config.classes},
                                  [Mix(r.kind, r.share, r.key, r.writes, r.keys) for r in day.requests], day.sessions,
                                  self.seed, self.record, day.retries, day.roam, day.helped, day.leavers, day.reread,
                                  self.clock)
                tasks.start_soon(self._elect)
                async with anyio.create_task_group() as load:
                    load.start_soon(self._troubles, tasks)
                    await clients.run(day.rate, day.seconds, load)
                    self.say(f"all {clients.numbers} requests are sent, {clients.open} are open")
                clients.close()
                await self._settle()
            finally:
                with anyio.CancelScope(shield=True):
                    await stand.stop_routers()
                self.record.close()
            tasks.cancel_scope.cancel()

    async def _settle(self) -> None:
        """At the end: let replicas catch up, and put down what the primaries hold."""
        for group in self.config.groups:
            primary = self.stand.nodes[self.stand.roles[group.name]]
            now = self.clock()
            for key, value in primary.node.data.items():
                if isinstance(value, bytes):
                    parts = [part.partition(".")[0] for part in value.decode("latin-1").split(";") if part]
                    self.record(Entry(t=now, k="end", member=primary.node.name, key=key.decode("latin-1"),
                                      value=";".join(parts)))
        self.record(Entry(t=self.clock(), k="end"))

    def say(self, text: str) -> None:
        self.progress(self.clock() - self.start, text)

    # ---- troubles

    async def _troubles(self, tasks: TaskGroup) -> None:
        for trouble in sorted(self.day.troubles, key=lambda one: one.at):
            wait = self.start + trouble.at - self.clock()
            if wait > 0:
                await anyio.sleep(wait)
            await self._do(trouble, tasks)

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

    async def _do(self, trouble: Trouble, tasks: TaskGroup) -> None:
        stand = self.stand
        if trouble.do == "kill_router":
            self.say(f"router {trouble.router} is killed")
            self.record(Entry(t=self.clock(), k="killed", router=trouble.router))
            stand.kill_router(trouble.router)
            return
        if trouble.do == "start_router":
            port = int(stand.addresses[trouble.router].rpartition(":")[2])
            await stand.start_router(trouble.router, port)
            self.say(f"router {trouble.router} is back")
            return
        name = self.member(trouble.member)
        shell = stand.nodes[name]
        faults = shell.node.faults
        self.say(f"{trouble.do} {name}" + (f" {trouble.value:g}" if trouble.value else ""))
        match trouble.do:
            case "hang":
                faults.hang, faults.hang_probes = True, not trouble.probes
                faults.hang_runs = trouble.value
                self.sick[name] = self.clock()
            case "thaw":
                shell.do(shell.node.thaw(self.clock()))
                self.sick.pop(name, None)
                tasks.start_soon(self._follow_later, name)
            case "kill":
                shell.kill()
                self.sick[name] = self.clock()
            case "restart":
                rules = self.config.rules
                shell.restart(rules.cold_share, rules.cold_time)
                stand.started[name] = time.time()
                self.record(Entry(t=self.clock(), k="cold", member=name))
                stand.write_roster()
                self.sick.pop(name, None)
                self._follow(name)
            case "drain":
                self._told(name, "draining")
                if name in stand.roles.values():
                    tasks.start_soon(self._hand_over, name)
            case "undrain":
                self._told(name, "ready")
            case "lag":
                faults.apply = trouble.value
            case "slow":
                faults.slow = trouble.value
            case "slow_for":
                faults.slow_for = {f"127.0.1.{trouble.router + 1}": trouble.value}
            case "cut":
                faults.cut = trouble.value
            case "cap":
                faults.cap = int(trouble.value)
            case "handshake":
                faults.handshake = trouble.value
            case "understate":
                faults.understate = trouble.value

    def _told(self, name: str, state: str) -> None:
        self.stand.states[name] = state
        self.stand.write_roster()
        self.record(Entry(t=self.clock(), k="told", member=name, value=state))

    # ---- elections, as the store's own control plane does them

    def _group(self, name: str) -> Group:
        return next(group for group in self.config.groups if any(m.name == name for m in group.members))

    def _role(self, name: str) -> None:
        self.record(Entry(t=self.clock(), k="role", member=name))

    async def _elect(self) -> None:
        while True:
            await anyio.sleep(ELECT_LOOK)
            for group in self.config.groups:
                primary = self.stand.roles[group.name]
                since = self.sick.get(primary)
                if since is not None and self.clock() - since >= self.day.election.notice:
                    await anyio.sleep(self.day.election.takes)
                    if primary in self.sick:
                        self._promote(group, primary)

    def _promote(self, group: Group, old: str) -> None:
        alive = [self.stand.nodes[m.name] for m in group.members if m.name != old and m.name not in self.sick]
        if not alive:
            return
        best = max(alive, key=lambda shell: shell.node.offset)
        self._crown(group, best)

    def _crown(self, group: Group, best: NodeShell) -> None:
        now = self.clock()
        best.do(best.node.promote(now))
        self.stand.roles[group.name] = best.node.name
        self._role(best.node.name)
        self.say(f"{best.node.name} is primary of {group.name}")
        for member in group.members:
            if member.name != best.node.name and member.name not in self.sick:
                self._follow(member.name)

    def _follow(self, name: str) -> None:
        primary = self.stand.roles[self._group(name).name]
        if primary != name:
            shell = self.stand.nodes[name]
            shell.do(shell.node.follow(self.clock(), self.stand.nodes[primary].address))

    async def _follow_later(self, name: str) -> None:
        """A primary that comes back believes in its role until the control plane tells it otherwise."""
        await anyio.sleep(self.day.election.takes)
        self._follow(name)

    async def _hand_over(self, name: str) -> None:
        """A primary that drains stops taking writes, and the replica that has all of them takes over."""
        group = self._group(name)
        old = self.stand.nodes[name]
        others = [self.stand.nodes[m.name] for m in group.members if m.name != name and m.name not in self.sick
                  and self.stand.states[m.name] == "ready"]
        if not others:
            return
        best = max(others, key=lambda shell: shell.node.offset)
        old.node.readonly = True
        with suppress(TimeoutError), anyio.fail_after(2.0):
            while best.node.offset < old.node.offset:
                await anyio.sleep(0.005)
        self._crown(group, best)
        old.node.readonly = False
