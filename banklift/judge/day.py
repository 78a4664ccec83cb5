"""Plays a day: a scripted scenario of traffic and timed faults against routers and emulated members.

All that crosses the sockets of clients and members is recorded as a trace (trace.py). The same day plays on sockets,
with each router in a process of its own, and in virtual time, where one seed always gives the same trace.
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
from banklift.emulator.node import MemberAction
from banklift.emulator.shell import MemberHost
from banklift.emulator.stand import InProcessRouters, RouterProcesses, Routers, Stand, router_source_address
from banklift.emulator.world import World
from banklift.interface import Status
from banklift.judge import forms
from banklift.judge.load import ClientBehaviour, Clients, RequestTemplate
from banklift.judge.trace import Entry, Head, Writer
from banklift.net.env import RouterEnv
from banklift.net.sockets import SocketEnv
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group, Positive, Seconds, Strict
from banklift.resp.commands import CommandKind, find_command
from banklift.resp.replies import status_from_reply

DAYS_FOLDER = Path(__file__).with_name("days")
ROSTER_READ_SECONDS = 0.5  # longest time until a router has read a new roster file
# between checks of the primaries, and between checks whether a day on sockets is over
POLL_INTERVAL_SECONDS = 0.05
HEAVY_TAIL_SHARE = 0.03  # share of requests that the order "tail" makes slow
# largest difference between the times that both ends of a connection record for one event
SOCKET_SKEW_SECONDS = 0.15  # on sockets of a busy machine
VIRTUAL_SKEW_SECONDS = 0.005  # in virtual time: a few times the latency of a connection
HANDOVER_TIMEOUT_SECONDS = 2.0  # time that a hand-over waits until the replica has the whole log
HANDOVER_POLL_SECONDS = 0.005


class RequestSpec(Strict, kw_only=True, frozen=True):
    """One entry of a day's mix of requests."""

    kind: str  # name of a class of the operator's file
    share: Positive  # relative to the other entries
    key: str  # format, with {s} for the session and {k} for one of `keys` shared keys
    writes: bool = False
    keys: int = 1  # number of shared keys that {k} is drawn from
    # forms of requests (forms.py) and their relative shares; none: append or mget
    forms: dict[str, float] = msgspec.field(default_factory=dict)


class FaultOrder(Strict, kw_only=True, frozen=True):
    """One scheduled order: a fault, the end of a fault, or another change to members, routers or clients.

    Orders to a member, with the meaning of `value`:

    - `hang`: takes requests and answers none; share of them that are executed all the same. `thaw` ends it.
    - `kill`; `restart` starts it again, without a warm cache.
    - `join`: a member of `absent` starts.
    - `drain`, `undrain`: the roster lists it as draining, or as ready again.
    - `lag`: multiple of the usual work of applying the log.
    - `slow`: multiple of the usual work of commands; `slow_for`: towards `router` only; `tail`: of a few requests.
    - `cut`: share of requests at which it closes the connection.
    - `cap`: number of connections that it accepts.
    - `handshake`: seconds before it serves a new connection.
    - `understate`: share of its load that it reports.
    - `withhold`: 1 while no replica gets what it writes; 0 sends what was withheld.
    - `delay`: additional seconds until replicas get what it writes.
    - `split`: the control plane takes it for unavailable and does not tell it; `heal` ends this.

    Other orders: `leavers` (share of clients that leave early), `roster_delay` (seconds until a change of the roster is
    published), `kill_router`, `start_router`, `stall_router` (seconds).
    """

    at: Seconds  # since the start of the day
    do: str  # one of `ORDERS`
    member: str = ""  # a name, `primary:GROUP`, `replica:GROUP:N`, or `*` for all
    router: int = -1  # number of the router
    value: float = 0.0
    probes: bool = True  # while hanging, the member still answers probes of its role


class Election(Strict, kw_only=True, frozen=True):
    """Timing of the store's own control plane, which replaces a primary that fails."""

    notice: Seconds = 0.4  # from the failure until the primary is taken for unavailable
    takes: Seconds = 0.3  # from then until a replica is promoted


class Day(Strict, kw_only=True, frozen=True):
    """The script of a day, as a day file has it. Times are seconds."""

    title: str
    seconds: Positive  # for which new requests arrive
    rate: Positive  # arrivals per second
    sessions: Annotated[int, Meta(ge=1)] = 50
    roam: Seconds = 0.5  # share of batches that go to a random router, not to the session's own
    helped: bool = False  # sessions send and ask for consistency tokens
    named: bool = False  # sessions send their name on each connection
    retries: int = 2  # by the client, of one request
    leavers: Seconds = 0.2  # share of batches whose client leaves before the deadline
    reread: Seconds = 0.6  # share of acknowledged writes that their session reads soon after
    batches: Seconds = 0.1  # share of arrivals that are several requests in one piece
    work: Positive = 0.001  # that a member takes for a command
    apply: Seconds = 0.0001  # that a replica takes to apply a write
    requests: list[RequestSpec]
    troubles: list[FaultOrder] = msgspec.field(default_factory=list)
    absent: tuple[str, ...] = ()  # members that are not there at the start
    # least figures of the symptoms (symptoms.py) that the day has to show
    shows: dict[str, float] = msgspec.field(default_factory=dict)
    election: Election = msgspec.field(default_factory=Election)
    config: dict[str, Any] | None = None  # keys that replace those of the example file


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
    """The day of this name in `DAYS_FOLDER`, or of a file with a suffix, and the operator's configuration for it.

    Errors: `ConfigError` with the path of the file and the place in it.
    """
    path = Path(name)
    if not path.suffix:
        path = DAYS_FOLDER / f"{name}.jsonnet"
        if not path.exists():
            names = ", ".join(sorted(day.stem for day in DAYS_FOLDER.glob("*.jsonnet")))
            raise ConfigError(f"no day is named {name!r}; there are: {names}")
    try:
        day = msgspec.json.decode(evaluate(path), type=Day)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ConfigError(f"{path}: {place.strip('`') or '$'}: {reason}") from None
    for index, order in enumerate(day.troubles):
        if order.do not in ORDERS:
            raise ConfigError(f"{path}: $.troubles[{index}].do: {order.do!r} is none of {', '.join(ORDERS)}")
    config = load(EXAMPLE)
    if day.config is not None:
        config = msgspec.convert({**msgspec.to_builtins(config), **day.config}, type=Config)
    class_names = {request_class.name for request_class in config.classes}
    for index, request in enumerate(day.requests):
        if request.kind not in class_names:
            raise ConfigError(f"{path}: $.requests[{index}].kind: no class is named {request.kind!r}")
        for form, share in request.forms.items():
            known_forms = forms.WRITES if request.writes else forms.READS
            if form not in known_forms or not share > 0:
                raise ConfigError(
                    f"{path}: $.requests[{index}].forms.{form}: need a share above 0 of one of "
                    f"{', '.join(known_forms)}"
                )
    return day, config


class DayRunner:
    """Plays the script of one day in an environment and records what both ends of the sockets see.

    `routers`: their number. `record` is called with each entry of the trace; `progress` with the seconds since the
    start and a line of text. Errors: `OSError` if a member's address can't be bound.
    """

    def __init__(
        self,
        env: RouterEnv,
        day: Day,
        config: Config,
        routers: int,
        seed: int,
        record: Callable[[Entry], None],
        progress: Callable[[float, str], None],
    ) -> None:
        self.env, self.day, self.config, self.seed = env, day, config, seed
        self.record, self.progress = record, progress
        self.began_at = env.now()
        self.router_of_source = {router_source_address(number): number for number in range(routers)}
        self.unavailable_since: dict[str, float] = {}  # by member that can't be primary: since when
        self.groups_in_election: set[str] = set()
        self.roster_delay = 0.0
        self.stand = Stand(config, env, seed, self._record_member_event, day.work, day.apply, True)
        # by member and source address of a router: role and replication history last reported
        self.reported_roles: dict[tuple[str, str], tuple[str, str]] = {}
        self.routers: Routers | None = None
        self.clients: Clients | None = None
        for name in day.absent:
            self.stand.hosts[name].kill()
            self.stand.states[name] = "gone"
        self.published_states = dict(self.stand.states)
        for group in config.groups:
            self._record_primary(self.stand.primaries[group.name])

    def start(self, routers: Routers) -> None:
        """Start clients and the schedule of orders. All routers have to listen already."""
        self.routers = routers
        day = self.day
        self.began_at = self.env.now()
        self.report_progress(f"{len(routers.addresses)} routers and {len(self.stand.hosts)} members are up")
        behaviour = ClientBehaviour(
            day.sessions,
            day.retries,
            day.roam,
            day.helped,
            day.named,
            day.leavers,
            day.reread,
            batch_share=day.batches,
        )
        self.clients = Clients(
            self.env,
            routers.addresses,
            {request_class.name: request_class.deadline for request_class in self.config.classes},
            [
                RequestTemplate(
                    spec.kind, spec.share, spec.key, spec.writes, spec.keys, tuple(spec.forms.items())
                )
                for spec in day.requests
            ],
            behaviour,
            self.seed,
            self.record,
        )
        self.clients.run(day.rate, day.seconds)
        for order in day.troubles:
            self.env.at(self.began_at + order.at, lambda order=order: self._execute(order))  # type: ignore[misc]
        self._check_primaries()

    @property
    def is_finished(self) -> bool:
        """Whether no more requests arrive and all have ended."""
        return self.clients is not None and not self.clients.is_generating and not self.clients.open_requests

    def finish(self) -> None:
        """Close the clients and record what the primaries hold at the end."""
        assert self.clients is not None
        self.report_progress(f"all {self.clients.requests_started} requests are over")
        self.clients.close()
        now = self.env.now()
        for name in self.stand.primaries.values():
            member = self.stand.hosts[name].member
            self.record(Entry(t=now, k="end", member=name, line=member.replid, offset=member.offset))
            for key in sorted(member.data):
                value = member.store.apply([b"GET", key], now)
                self.record(
                    Entry(
                        t=now,
                        k="end",
                        member=name,
                        line=member.replid,
                        offset=member.offset,
                        keys=[key.decode("latin-1")],
                        values=[value.decode("latin-1") if isinstance(value, bytes) else ""],
                    )
                )
        self.record(Entry(t=now, k="end"))

    def report_progress(self, text: str) -> None:
        """Pass a line of text on with the seconds since the start."""
        self.progress(self.env.now() - self.began_at, text)

    def _record_member_event(self, now: float, member: str, event: MemberAction) -> None:
        """Record what a member did at its end of the sockets."""
        router = self.router_of_source.get(event.source, -1)
        match event.kind:
            case "close":
                self.record(
                    Entry(
                        t=now,
                        k="cut",
                        member=member,
                        conn=event.connection_id,
                        verdict=event.data.decode() or "member",
                    )
                )
            case "line":
                self.record(
                    Entry(
                        t=now,
                        k="line",
                        member=member,
                        line=event.history,
                        offset=event.offset,
                        parent=event.parent_history,
                        received=event.parent_offset_received,
                    )
                )
                if (
                    self.stand.primaries.get(self._group_of(member).name) == member
                ):  # a primary that restarted
                    self._record_primary(member)
            case "says":
                reported = event.args[0].decode(), event.history
                if router >= 0 and self.reported_roles.get((member, event.source)) != reported:
                    self.reported_roles[member, event.source] = reported
                    self.record(
                        Entry(
                            t=now,
                            k="says",
                            member=member,
                            router=router,
                            value=reported[0],
                            line=event.history,
                            offset=event.offset,
                        )
                    )
            case "command":
                if router >= 0:
                    self.record(
                        Entry(
                            t=now,
                            k="command",
                            member=member,
                            conn=event.connection_id,
                            rid=forms.find_request_id(event.args),
                            router=router,
                        )
                    )
            case "ran":
                self.record(
                    Entry(
                        t=now,
                        k="ran",
                        member=member,
                        conn=event.connection_id,
                        rid=forms.find_request_id(event.args),
                        router=router,
                        line=event.history,
                        offset=event.offset,
                        log=[[word.decode("latin-1") for word in effect] for effect in event.log],
                    )
                )
            case "answer":
                turned_away = event.refused or status_from_reply(event.data) is not Status.OK
                writes = any(
                    known is not None and known.kind is CommandKind.WRITE
                    for known in map(find_command, event.args)
                )
                self.record(
                    Entry(
                        t=now,
                        k="reply",
                        member=member,
                        conn=event.connection_id,
                        rid=forms.find_request_id(event.args),
                        verdict="turned away" if turned_away else "answered",
                        router=router,
                        line=event.history,
                        offset=event.offset,
                        value=event.data.decode("latin-1") if writes or turned_away else "",
                    )
                )

    # ---- orders

    def resolve_member(self, name: str) -> str:
        """The member that a name stands for: `primary:GROUP` and `replica:GROUP:N` follow the current roles."""
        role, _, rest = name.partition(":")
        if role == "primary":
            return self.stand.primaries[rest]
        if role == "replica":
            group_name, _, number = rest.partition(":")
            group = next(group for group in self.config.groups if group.name == group_name)
            replicas = [
                member.name for member in group.members if member.name != self.stand.primaries[group_name]
            ]
            return replicas[int(number or 0) % len(replicas)]
        return name

    def _execute(self, order: FaultOrder) -> None:
        """Carry out one order now, and record it where the rules depend on it."""
        stand, now = self.stand, self.env.now()
        assert self.routers is not None
        if order.do == "kill_router":
            self.report_progress(f"router {order.router} is killed")
            self.record(Entry(t=now, k="killed", router=order.router))
            self.routers.kill(order.router)
            return
        if order.do == "start_router":
            self.report_progress(f"router {order.router} starts again")
            self.routers.restart(order.router)
            return
        if order.do == "stall_router":
            self.report_progress(f"router {order.router} stalls for {order.value:g} s")
            self.routers.stall(order.router, order.value)
            self.record(Entry(t=now, k="stalled", router=order.router, patience=order.value))
            return
        if order.do == "leavers":
            assert self.clients is not None
            self.report_progress(f"{order.value:.0%} of clients leave early")
            self.clients.behaviour = dataclasses.replace(self.clients.behaviour, leaving_share=order.value)
            return
        if order.do == "roster_delay":
            self.report_progress(f"the roster runs {order.value:g} s late")
            self.roster_delay = order.value
            return
        if order.member == "*":
            for member in self.stand.hosts:
                self._execute(msgspec.structs.replace(order, member=member))
            return
        name = self.resolve_member(order.member)
        host = stand.hosts[name]
        faults = host.member.faults
        self.report_progress(f"{order.do} {name}" + (f" {order.value:g}" if order.value else ""))
        match order.do:
            case "hang":
                faults.hang, faults.hang_role_queries, faults.hang_execute_share = (
                    True,
                    not order.probes,
                    order.value,
                )
                self.unavailable_since[name] = now
            case "thaw":
                host.carry_out(host.member.end_hang(now))
                self.unavailable_since.pop(name, None)
                # the member keeps its role until the control plane tells it otherwise
                self.env.at(now + self.day.election.takes, lambda: self._follow_primary(name))
            case "kill":
                host.kill()
                self.unavailable_since[name] = now
            case "restart":
                rules = self.config.rules
                host.restart(rules.cold_share, rules.cold_time)
                stand.restarted_at[name] = now
                self.record(Entry(t=now, k="cold", member=name))
                self._schedule_roster()
                self.unavailable_since.pop(name, None)
                self._follow_primary(name)
            case "join":
                rules = self.config.rules
                stand.states[name] = "ready"
                host.restart(rules.cold_share, rules.cold_time)
                stand.restarted_at[name] = now
                self.record(Entry(t=now, k="cold", member=name))
                self._schedule_roster()
                self._follow_primary(name)
            case "drain":
                self._set_roster_state(name, "draining")
                if name in stand.primaries.values():
                    self._hand_over_primary(name)
            case "undrain":
                self._set_roster_state(name, "ready")
            case "lag":
                faults.apply_work_factor = order.value
            case "slow":
                faults.work_factor = order.value
            case "slow_for":
                faults.work_factor_by_source = {router_source_address(order.router): order.value}
            case "tail":
                faults.tail_work_factor, faults.tail_share = (
                    order.value,
                    HEAVY_TAIL_SHARE if order.value > 1 else 0.0,
                )
            case "cut":
                faults.cut_share = order.value
            case "cap":
                faults.max_connections = int(order.value)
            case "handshake":
                faults.setup_delay_seconds = order.value
            case "delay":
                faults.log_delay_seconds = order.value
            case "split":  # the control plane takes it for unavailable, and the member is not told
                self.unavailable_since[name] = now
            case "heal":
                self.unavailable_since.pop(name, None)
                self._follow_primary(name)
            case "withhold":
                if order.value:
                    faults.withhold_log = True
                else:
                    host.carry_out(host.member.release_withheld_log(now))
            case "understate":
                faults.reported_load_factor = order.value

    def _set_roster_state(self, name: str, state: str) -> None:
        """Change the state of a member in the roster: ready, draining or gone."""
        self.stand.states[name] = state
        self._schedule_roster()

    def _schedule_roster(self) -> None:
        """Publish the changed roster, after the delay if there is one."""
        if self.roster_delay:
            self.env.at(self.env.now() + self.roster_delay, self._publish_roster)
        else:
            self._publish_roster()

    def _publish_roster(self) -> None:
        """Pass the roster to the routers and record each state that changed."""
        assert self.routers is not None
        self.routers.publish_roster(self.stand)
        for name, state in self.stand.states.items():
            if self.published_states[name] != state:
                self.record(Entry(t=self.env.now(), k="told", member=name, value=state))
        self.published_states = dict(self.stand.states)

    # ---- the store's own control plane: elections and hand-overs

    def _group_of(self, name: str) -> Group:
        """The group of a member."""
        return next(
            group for group in self.config.groups if any(member.name == name for member in group.members)
        )

    def _record_primary(self, name: str) -> None:
        """Record that a member is primary from now on, with its replication history."""
        self.record(Entry(t=self.env.now(), k="role", member=name, line=self.stand.hosts[name].member.replid))

    def _check_primaries(self) -> None:
        """Start an election in each group whose primary has been unavailable for long enough; runs at intervals."""
        now = self.env.now()
        for group in self.config.groups:
            primary = self.stand.primaries[group.name]
            since = self.unavailable_since.get(primary)
            if (
                since is not None
                and now - since >= self.day.election.notice
                and group.name not in self.groups_in_election
            ):
                self.groups_in_election.add(group.name)
                self.env.at(
                    now + self.day.election.takes,
                    lambda group=group, primary=primary: self._finish_election(group, primary),  # type: ignore[misc]
                )
        self.env.at(now + POLL_INTERVAL_SECONDS, self._check_primaries)

    def _finish_election(self, group: Group, old_primary: str) -> None:
        """Promote the replica with the most of the log, unless the old primary is back or was replaced."""
        self.groups_in_election.discard(group.name)
        if old_primary not in self.unavailable_since or self.stand.primaries[group.name] != old_primary:
            return
        candidates = self._promotion_candidates(group, old_primary)
        if candidates:
            self._promote(group, max(candidates, key=lambda host: host.member.offset))

    def _promotion_candidates(self, group: Group, old_primary: str) -> list[MemberHost]:
        """Members of the group that are available, ready and not the old primary."""
        return [
            self.stand.hosts[member.name]
            for member in group.members
            if member.name != old_primary
            and member.name not in self.unavailable_since
            and self.stand.states[member.name] == "ready"
        ]

    def _promote(self, group: Group, new_primary: MemberHost) -> None:
        """Make a member primary and let the available members follow it."""
        new_primary.carry_out(new_primary.member.promote(self.env.now()))
        self.stand.primaries[group.name] = new_primary.member.name
        self._record_primary(new_primary.member.name)
        self.report_progress(f"{new_primary.member.name} is primary of {group.name}")
        for member in group.members:
            if member.name not in self.unavailable_since:
                self._follow_primary(member.name)

    def _follow_primary(self, name: str) -> None:
        """Let a member replicate from the primary of its group, unless it is that primary."""
        primary = self.stand.primaries[self._group_of(name).name]
        if primary != name:
            self.stand.follow(name, primary)

    def _hand_over_primary(self, name: str) -> None:
        """Replace a primary that drains: it accepts no more writes, and the replica takes over once it has the log.

        After `HANDOVER_TIMEOUT_SECONDS` the replica takes over with what it has.
        """
        group, old_primary = self._group_of(name), self.stand.hosts[name]
        candidates = self._promotion_candidates(group, name)
        if not candidates:
            return
        old_primary.member.refuses_writes = True
        new_primary = max(candidates, key=lambda host: host.member.offset)
        deadline = self.env.now() + HANDOVER_TIMEOUT_SECONDS

        def check_progress() -> None:
            if new_primary.member.offset < old_primary.member.offset and self.env.now() < deadline:
                self.env.at(self.env.now() + HANDOVER_POLL_SECONDS, check_progress)
                return
            self._promote(group, new_primary)
            old_primary.member.refuses_writes = False

        check_progress()


def make_head(day: Day, config: Config, routers: int, seed: int, start: float, crossing: float) -> Head:
    """The head of a day's trace.

    `start`: when the trace begins, in seconds on its clock. `crossing`: largest difference, in seconds, between the
    times that both ends of a connection record for one event.
    """
    rules = config.rules
    return Head(
        classes={
            request_class.name: {
                "effect": request_class.effect.value,
                "need": request_class.need.value,
                "aim": request_class.aim,
                "deadline": request_class.deadline,
                "bound": request_class.bound,
                "worth": request_class.worth,
                "window": request_class.window,
            }
            for request_class in config.classes
        },
        groups={member.name: group.name for group in config.groups for member in group.members},
        sources=[router_source_address(number) for number in range(routers)],
        drain_grace=rules.drain_grace,
        told_within=ROSTER_READ_SECONDS,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
        work=day.work,
        cores=4,  # the default of an emulated member
        start=start,
        seed=seed,
        crossing=crossing,
    )


async def play_on_sockets(
    day: Day, config: Config, routers: int, seed: int, trace: Path, progress: Callable[[float, str], None]
) -> None:
    """Play a day on sockets, with routers as processes, and write its trace to a file.

    `progress` is called with the seconds since the start and a line of text. Errors, in an exception group: `OSError`
    if the trace can't be written or an address can't be bound; `RuntimeError` if a router does not start.
    """
    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks)
        record = Writer(trace, make_head(day, config, routers, seed, env.now(), SOCKET_SKEW_SECONDS))
        runner = DayRunner(env, day, config, routers, seed, record, progress)
        processes = RouterProcesses(runner.stand, tasks, time.monotonic() - time.time())
        processes.addresses = ["127.0.0.1:0"] * routers
        try:
            async with anyio.create_task_group() as starting:

                async def start(number: int) -> None:
                    processes.addresses[number] = await processes.start(number, "127.0.0.1:0")

                for number in range(routers):
                    starting.start_soon(start, number)
            runner.start(processes)
            while not runner.is_finished:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            runner.finish()
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
    make_machine: Callable[[Config, int], Machine] = build.machine,
) -> Head:
    """Play a day in virtual time, in this process; the same seed gives the same trace.

    `record` is called with each entry, `progress` with the seconds since the start and a line of text. `make_machine`
    builds a router's machine from the configuration and a seed.
    """
    world = World(seed)
    runner = DayRunner(world, day, config, routers, seed, record, progress)
    begin = world.now()
    runner.start(InProcessRouters(runner.stand, routers, seed, make_machine))
    until = begin + day.seconds
    while not runner.is_finished:
        world.run(until)
        until += 0.5
    runner.finish()
    return make_head(day, config, routers, seed, begin, VIRTUAL_SKEW_SECONDS)
