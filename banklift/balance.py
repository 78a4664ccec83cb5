"""Every decision of banklift: one Balancer for each router. Settings, events and actions: interface.py.

The design is told in docs/design.md. Below: tuned values, the record, facts, the rule, the guards.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift import interface as io
from banklift.interface import Effect, Need, State, Status

SILENCE = 6.0  # answers overdue at a member that has given none: a false alarm about once in e^6
FAILING = 0.4  # share of failures above which a member is set aside; honest ones stay under 0.01
NEWS_WEIGHT = 0.25  # weight of one answer in a member's failures and lateness: four answers show a change
LATENCY_WEIGHT = 0.05  # weight of one answer in a class's usual latency: some twenty answers
FIRST_LATENCY = 0.25  # of the aim: usual latency of a class until it has answers
TRIAL_LAPSE = 0.5  # of the shortest aim: between trials of a member set aside
ROLE_LAPSE = 0.25  # of the shortest aim: between looks for a primary while work is held
PATIENCE = 3.0  # usual latencies before a safe attempt gets help elsewhere; one in twenty takes longer
CROWDED = 0.15  # of the aim: smoothed latency from which room is limited; less starves small routers
LONG = 3.0  # times the least usual latency: reads above it are packed onto one replica
LAST_CALL = 1.6  # usual latencies before the end of worth, at most 0.6 of the time left: later is late
TARGET = 0.5  # of the aim: work given to a member, by its own answer rate; two attempts are always let in
RATE_SPAN = 2.5  # shortest aims over which answer rates are smoothed
STALE_EARLY = 0.4  # of the bound: remaining validity of a position at which the next probe goes out
COLD_PART = 0.5  # of what the falling rule allows a cold member; the rest is for uneven load and retries
SESSIONS = 10_000  # sessions remembered; those dropped count as having written at the last one dropped
WATCH_RETRY = 0.05  # of ask_within: first wait after a failed call to the list, doubled each time


@dataclass(slots=True, eq=False)
class Member:
    name: str
    group: Group
    state: State = State.READY
    started: float | None = None
    weight: float = 1.0
    listed_primary: bool = False
    role_at: float = -math.inf  # when the newest fact on its role was true
    position: float = -math.inf  # proven; it only rises
    alive: float = -math.inf  # last answer
    behind: float = 0.0  # where members check reads: it was further behind than this at its last miss
    down: bool = False  # the last attempt found no connection
    failing: float = 0.0
    late: float = 0.0  # smoothed latency, in aims
    rate: float = 0.0  # work answered a second, as usual latency, as of ...
    rated: float = 0.0
    trial: float = -math.inf
    probed: float = -math.inf
    flying: dict[tuple[int, int], tuple[float, float]] = field(default_factory=dict)  # sent, usual latency


@dataclass(slots=True, eq=False)
class Group:
    members: list[Member] = field(default_factory=list)
    primary: Member | None = None
    lost: float = -math.inf  # when the last one was lost
    crowned: float = -math.inf  # when the newest fact on who is primary was true
    held: dict[int, Pending] = field(default_factory=dict)
    tending: bool = False


@dataclass(slots=True, eq=False)
class Pending:
    ask: io.Request
    kind: io.RequestClass
    group: Group
    floor: float  # position that a member must have; for a bounded read it moves with the clock
    last_call: float  # clock time at which worth is out of reach
    luck: float  # drawn once for each request: a cold member takes it if it is warm to that share
    tried: list[Member] = field(default_factory=list)
    flying: dict[int, Member] = field(default_factory=dict)
    maybe_ran: float | None = None  # when the first attempt that may have run was sent


class Balancer:
    """Decides for one router: `handle` takes what happened and returns what to do, in order."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.shortest = min(kind.aim for kind in settings.classes)
        self.usual = {kind.name: FIRST_LATENCY * kind.aim for kind in settings.classes}
        self.members: dict[str, Member] = {}
        self.groups: dict[int, Group] = {}
        self.requests: dict[int, Pending] = {}
        self.sessions: dict[int, float] = {}
        self.forgotten = -math.inf  # newest commit of the sessions dropped
        self.timers: dict[int, Callable[[], None]] = {}
        self.tokens = 0
        self.watch_failures = 0
        self.now = 0.0
        self.actions: list[io.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            io.Request: self.on_request, io.Outcome: self.on_outcome, io.Listing: self.on_listing,
            io.Probed: self.on_probed, io.Abandoned: self.on_left, io.StreamStarted: self.on_left,
            io.Timer: lambda event: self.timers.pop(event.token, lambda: None)()}

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        self.now, self.actions = now, []
        self.handlers[type(event)](event)
        return self.actions

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        self.tokens += 1
        self.timers[self.tokens] = callback
        self.actions.append(io.SetTimer(max(0.0, delay), self.tokens))

    def on_left(self, event: io.Abandoned | io.StreamStarted) -> None:
        if event.request in self.requests:  # the client has gone, or owns the stream from here on
            self.forget(self.requests[event.request], isinstance(event, io.Abandoned))

    # ---- facts: the record is updated as they arrive, and an older one never undoes a newer one

    def on_listing(self, listing: io.Listing) -> None:
        if listing.kind is io.ListKind.FAILED:
            self.watch_failures += 1
            wait = self.settings.ask_within * min(0.4, WATCH_RETRY * 2.0 ** (self.watch_failures - 1))
            return self.after(wait * self.random.uniform(0.5, 1.0), lambda: self.actions.append(io.Watch()))
        if listing.kind is io.ListKind.CACHED and self.settings.must_ask:
            self.actions.append(io.Watch())
        self.watch_failures = 0
        for entry in listing.entries:
            self.on_entry(entry)
        listed = {entry.member for entry in listing.entries}
        for member in self.members.values():
            if listing.kind is not io.ListKind.CHANGES and member.name not in listed:
                self.set_state(member, State.GONE)

    def on_entry(self, entry: io.Entry) -> None:
        group = self.groups.setdefault(entry.group, Group())
        member = self.members.get(entry.member)
        if member is None:
            member = self.members[entry.member] = Member(entry.member, group, started=entry.started)
            group.members.append(member)
        elif entry.started is not None and entry.started != member.started:
            member.started, member.down, member.failing = entry.started, False, 0.0
            if group.primary is member and entry.started > group.crowned:
                self.lose_primary(group)  # what restarts comes back as a replica
        self.set_state(member, entry.state)
        member.weight = entry.weight if self.settings.weighted and entry.weight > 0 else 1.0
        news, member.listed_primary = entry.primary and not member.listed_primary, entry.primary
        if news and group.primary is None:
            self.crown(member, group.crowned)
        elif news and self.settings.follows_roles:  # seconds late, so no more than a hint
            self.probe(member, ROLE_LAPSE * self.shortest)

    def set_state(self, member: Member, state: State) -> None:
        if state is State.GONE and self.settings.only_draining_binds and member.state is State.READY:
            return
        if state is not State.READY and member.state is State.READY and member.group.primary is member:
            self.lose_primary(member.group)
        member.state = state

    def on_probed(self, event: io.Probed) -> None:
        member = self.members.get(event.member)
        if member is not None:
            member.down = member.down and not event.ok
            self.on_report(member, event.report or io.Report())

    def on_report(self, member: Member, report: io.Report) -> None:
        if report.position is not None:
            member.position = max(member.position, report.position)
            member.behind = min(member.behind, self.now - member.position)
        if report.primary and report.position is not None:  # a primary's position dates its report
            self.crown(member, report.position)
        elif report.primary is False and report.position is not None:
            self.demote(member, report.position)
        self.release(member.group)

    def crown(self, member: Member, at: float) -> None:
        group = member.group
        if at < max(group.crowned, member.role_at) or member.state is not State.READY:
            return
        member.role_at = group.crowned = at
        if group.primary is not member:
            group.primary = member
            self.actions.append(io.Log(f"primary learnt: {member.name}"))

    def demote(self, member: Member, at: float) -> None:
        if at >= member.role_at:
            member.role_at = at
            if member.group.primary is member:
                self.lose_primary(member.group)

    def lose_primary(self, group: Group) -> None:
        group.primary, group.lost = None, self.now
        self.actions.append(io.Log("primary lost"))
        self.probe_all(group, ROLE_LAPSE * self.shortest)

    def probe_all(self, group: Group, lapse: float) -> None:
        for member in group.members:
            self.probe(member, lapse)

    def probe(self, member: Member, lapse: float) -> None:
        if self.settings.may_probe and member.state is State.READY and self.now - member.probed >= lapse:
            member.probed = self.now
            self.actions.append(io.Probe(member.name))

    def on_outcome(self, event: io.Outcome) -> None:
        pending, member = self.requests.get(event.request), self.members.get(event.member)
        if member is None:
            return
        sent, _ = member.flying.pop((event.request, event.attempt), (self.now - event.latency, 0.0))
        self.learn(member, event, pending, sent)
        if pending is not None and pending.flying.pop(event.attempt, None) is not None:
            if event.status not in io.NEVER_RAN and pending.maybe_ran is None:
                pending.maybe_ran = sent
            if event.finished:
                self.forget(pending)
            elif not pending.flying:
                self.route(pending)
        self.release(member.group)

    def learn(self, member: Member, event: io.Outcome, pending: Pending | None, sent: float) -> None:
        status = event.status
        if status is Status.CONNECT_FAILED:
            member.down = True
        elif status not in (Status.TIMEOUT, Status.CANCELLED, Status.MOOT):
            member.alive, member.down = self.now, False
        if status in (Status.OK, Status.ERROR, Status.RESET, Status.CONNECT_FAILED):
            member.failing += NEWS_WEIGHT * ((status is not Status.OK) - member.failing)
        if event.primary:
            self.crown(member, sent)
        elif event.primary is False:
            self.demote(member, self.now)
        self.on_report(member, event.report or io.Report())
        if event.position is not None:
            member.position = max(member.position, event.position)
        if pending is not None and status is Status.OK:
            kind = pending.kind
            self.answered(member, self.usual[kind.name])
            self.usual[kind.name] += LATENCY_WEIGHT * (event.latency - self.usual[kind.name])
            if self.settings.members_check:  # serving the read proves that it had what the read asked for
                floor = self.floor(pending, sent)
                member.position, member.behind = max(member.position, floor), min(member.behind, sent - floor)
            session = pending.ask.session
            if kind.need is Need.WRITE and session is not None and event.position is not None:
                self.sessions[session] = max(event.position, self.sessions.pop(session, event.position))
                if len(self.sessions) > SESSIONS:
                    self.forgotten = max(self.forgotten, self.sessions.pop(next(iter(self.sessions))))
        if pending is not None and status is Status.MISS and pending.kind.need is not Need.WRITE:
            member.behind = sent - self.floor(pending, sent)
        if pending is not None and status in (Status.OK, Status.TIMEOUT, Status.FULL):
            late = 1.0 if status is Status.FULL else min(2.0, event.latency / pending.kind.aim)
            member.late += NEWS_WEIGHT * (late - member.late)

    # ---- the rule

    def on_request(self, ask: io.Request) -> None:
        kind, group = self.kinds.get(ask.kind), self.groups.setdefault(ask.group, Group())
        if kind is None or ask.deadline <= self.now:
            return self.actions.append(io.Refuse(ask.id))
        floor = -math.inf
        if kind.need is Need.SESSION and not self.settings.client_tokens:
            floor = self.sessions.get(ask.session, self.forgotten) if ask.session is not None else self.now
        elif kind.need is Need.SESSION and ask.since_write is not None:
            floor = self.now + 0.001 - ask.since_write
        aim = self.now + kind.aim + kind.aim_stretch * (ask.cost or 0.0)
        end = ask.deadline if kind.late_worth > 0 else min(aim, ask.deadline)
        last_call = end - min(LAST_CALL * self.usual[kind.name], 0.6 * (end - self.now))
        pending = Pending(ask, kind, group, floor, last_call, self.random.random())
        self.requests[ask.id] = pending
        if group.primary is None or not self.settings.members_check:
            self.probe_all(group, math.inf)  # those never probed
        self.route(pending)

    def route(self, pending: Pending) -> None:
        """Send it, hold it, or give it its final answer."""
        pending.group.held.pop(pending.ask.id, None)
        effect, ran = pending.kind.effect, pending.maybe_ran
        keyed = effect is Effect.KEYED and ran is not None and self.now < ran + pending.kind.window
        repeatable = ran is None or effect is Effect.SAFE or keyed  # rule 2
        more = len(pending.tried) < self.settings.max_attempts and self.now < pending.last_call
        if not (repeatable and more):
            return self.give_up(pending)
        member = self.choose(pending)
        if member is None:
            return self.hold(pending)
        self.send(pending, member)

    def choose(self, pending: Pending) -> Member | None:
        group, primary = pending.group, pending.group.primary
        if pending.kind.need in (Need.WRITE, Need.FRESH):
            if primary is not None and primary not in pending.tried[-1:] and self.usable(pending, primary):
                return primary if self.room(pending, primary) else None
            if primary is None and pending.kind.need is Need.WRITE:
                for member in group.members:  # one round of tries, on those of whom nothing newer is known
                    unasked = member.role_at <= group.lost and member not in pending.tried
                    if unasked and self.usable(pending, member):
                        return member
            return None
        floor, usual = self.floor(pending, self.now), self.usual[pending.kind.name]
        fresh = [member for member in group.members if member is not primary and self.open(pending, member)
                 and member not in pending.tried]
        known = [member for member in fresh if self.recent(member, floor)]
        for member in known if primary is None or not self.open(pending, primary) else [*known, primary]:
            due = not pending.tried and self.now - member.trial >= TRIAL_LAPSE * self.shortest
            if due and not self.healthy(member):
                member.trial = self.now
                return member
        self.refresh(pending, fresh)
        sound = [member for member in known if self.healthy(member)]
        roomy = [member for member in sound or known if self.room(pending, member)]
        if roomy and sound:
            # A replica may apply nothing while it holds a long read: they go to one, the same at each router.
            long = pending.kind.need is Need.ANY and usual > LONG * min(self.usual.values())
            return min(roomy, key=lambda member: member.name) if long else self.draw(roomy)
        spare = primary is not None and (primary.late < CROWDED or not known)
        if spare and primary is not None and primary not in pending.tried and self.usable(pending, primary):
            return primary if self.room(pending, primary) else None  # what only it can serve comes first
        return self.draw(roomy) if roomy else None  # if all look bad, as if none did

    def draw(self, members: list[Member]) -> Member:
        pair = self.random.sample(members, 2) if len(members) > 2 else members
        return min(pair, key=lambda member: len(member.flying) / member.weight)

    def floor(self, pending: Pending, sent: float) -> float:
        return sent - pending.kind.bound if pending.kind.need is Need.BOUNDED else pending.floor

    def recent(self, member: Member, floor: float) -> bool:
        """Proven recent enough or, where members check reads, not found to be further behind than that."""
        return member.position >= floor or (self.settings.members_check and self.now - floor > member.behind)

    def refresh(self, pending: Pending, fresh: list[Member]) -> None:
        """Probe replicas whose position fails the bound or soon will; where members check, after a miss."""
        checked, bound = self.settings.members_check, pending.kind.bound
        for member in fresh if bound else ():
            if (member.behind if checked else self.now - member.position) > (1 - STALE_EARLY) * bound:
                self.probe(member, 0.5 * bound)

    def send(self, pending: Pending, member: Member) -> None:
        usual = self.usual[pending.kind.name]
        pending.flying[len(pending.tried)] = member
        member.flying[pending.ask.id, len(pending.tried)] = self.now, usual
        pending.tried.append(member)
        self.actions.append(io.Send(pending.ask.id, member.name, pending.ask.deadline - self.now))
        if pending.kind.effect is Effect.SAFE and self.now < pending.last_call:
            wait = min((PATIENCE if self.healthy(member) else 1.0) * usual, pending.last_call - self.now)
            attempt = len(pending.tried) - 1
            self.after(wait, lambda: self.help(pending, attempt))

    def help(self, pending: Pending, attempt: int) -> None:
        """A safe attempt is overdue: a second copy where allowed, else move it away from a silent member."""
        if list(pending.flying) != [attempt] or self.now > pending.last_call:
            return
        member = pending.flying[attempt]
        if self.settings.parallel_tries and len(pending.tried) < self.settings.max_attempts:
            other = self.choose(pending)
            if other is not None and other.late < CROWDED:
                self.send(pending, other)
        elif self.settings.may_cancel and not self.healthy(member):
            self.actions.append(io.Cancel(pending.ask.id, attempt))

    # ---- guards

    def give_up(self, pending: Pending) -> None:
        """The one final answer, at once."""
        if pending.flying:
            return  # its outcome, at the deadline at the latest, brings it back here
        effect = pending.kind.effect
        alone = effect is Effect.UNSAFE or (effect is Effect.KEYED and pending.kind.group_only)
        if alone and pending.maybe_ran is not None:
            self.actions.append(io.Fail(pending.ask.id))
        else:
            self.actions.append(io.Refuse(pending.ask.id, self.settings.max_retry_after))
        self.forget(pending)

    def forget(self, pending: Pending, cancel: bool = True) -> None:
        pending.group.held.pop(pending.ask.id, None)
        self.requests.pop(pending.ask.id, None)
        if cancel and self.settings.may_cancel:
            self.actions.extend(io.Cancel(pending.ask.id, attempt) for attempt in pending.flying)
        pending.flying.clear()

    def hold(self, pending: Pending) -> None:
        group, step = pending.group, ROLE_LAPSE * self.shortest / 2
        if self.now + step >= pending.last_call:
            return self.give_up(pending)
        group.held[pending.ask.id] = pending
        if not group.tending:
            group.tending = True
            self.after(step, lambda: self.tend(group))

    def tend(self, group: Group) -> None:
        """While work is held: look for a primary, send what can go, answer what has run out of time."""
        group.tending = False
        if group.held and (group.primary is None or not self.healthy(group.primary)):
            self.probe_all(group, ROLE_LAPSE * self.shortest)
        self.release(group, every=True)

    def release(self, group: Group, every: bool = False) -> None:
        """Try what is held again, the most valuable first; where one finds no place, its like won't."""
        placeless: set[str] = set()
        for pending in sorted(group.held.values(), key=self.value, reverse=True) if group.held else ():
            if pending.ask.id in group.held and (every or pending.kind.name not in placeless):
                self.route(pending)
                if pending.ask.id in group.held:
                    placeless.add(pending.kind.name)

    def open(self, pending: Pending, member: Member) -> bool:
        """Rules 3 and 4: nothing for a member that drains; a cold one takes the share of requests that it is
        warmed up to. The draw is the request's own and stays with it, so all routers together keep to the
        share, whatever their number, and what waits or is tried again does not draw anew."""
        if member.state is not State.READY:
            return False
        if member.started is None or self.now - member.started >= self.settings.cold_time:
            return True
        grown = max(0.0, self.now - member.started) / self.settings.cold_time
        share = self.settings.cold_share + (1 - self.settings.cold_share) * grown
        return pending.luck < COLD_PART * self.settings.fall_multiple * share

    def answered(self, member: Member, more: float = 0.0) -> float:
        span = RATE_SPAN * self.shortest
        member.rate = member.rate * math.exp((member.rated - self.now) / span) + more / span
        member.rated = self.now
        return member.rate

    def room(self, pending: Pending, member: Member) -> bool:
        """A crowded member gets what it will answer in time, by its rate; the rest waits here, best first."""
        if member.late < CROWDED or len(member.flying) < 2:
            return True
        work = self.usual[pending.kind.name] + sum(usual for _, usual in member.flying.values())
        return work <= TARGET * pending.kind.aim * self.answered(member)

    def silent(self, member: Member) -> bool:
        """Answers overdue, counted over all that is out there: a hang, a dead host, a cut link."""
        overdue = sum((self.now - max(sent, member.alive)) / usual for sent, usual in member.flying.values())
        return overdue >= SILENCE

    def healthy(self, member: Member) -> bool:
        return not member.down and member.failing < FAILING and not self.silent(member)

    def usable(self, pending: Pending, member: Member) -> bool:
        """For writes: errors alone don't bar a primary, as nobody else could take them."""
        if member.down and self.now - member.trial >= TRIAL_LAPSE * self.shortest:
            member.trial = self.now
            return self.open(pending, member)
        return self.open(pending, member) and not member.down and not self.silent(member)

    def value(self, pending: Pending) -> float:
        """Worth for the work; what is worth least waits longest."""
        return pending.kind.worth / self.usual[pending.kind.name]
