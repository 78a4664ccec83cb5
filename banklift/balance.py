"""Every decision of banklift, one Balancer for each router: interface.py. Its design: docs/design.md."""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice
from random import Random

from banklift import interface as io
from banklift.interface import Effect, Need, State, Status
from banklift.reasons import why

SILENCE = 6.0  # answers overdue at a member that has given none: a false alarm about once in e^6
LATENCY_WEIGHT = 0.05  # of one answer in its class's usual latency, of one request in the part of writes
FIRST_LATENCY = 0.25  # of the aim: usual latency of a class until it has answers
FORGIVEN = 4.0  # shortest aims for which a member is set aside after a failure; honest ones are rare
HONEST = 8.0  # good answers lately, over about that time, for which one failure counts for nothing
LONG = 3.0  # times the least usual latency: reads above it are packed onto the first replicas
LOOK = 0.3  # of the shortest aim: age from which a member is asked again before it is sent to
CATCH_UP = 0.5  # seconds before one that is a second too far behind is asked again
REPORT_AGE = 0.3  # seconds, or the shortest aim where longer: older positions in new reports stand still
STEP = 0.125  # of the shortest aim: wait for a report, some milliseconds off, and between looks at held work
PATIENCE = 3.0  # usual latencies before a safe attempt gets help elsewhere; one in twenty takes longer
CROWDED = 0.2  # of the aim: expected latency up to which a member is not crowded
LAST_CALL = 1.6  # usual latencies before the end of worth, at most 0.6 of the time left: later is late
HOLD = 0.45  # of a request's time: held that long and sent nowhere, its client is better told to come back
TARGET = 0.5  # of the aim: work given to a crowded member, by the rate at which it answers this router
PACE_TARGET = 0.75  # of the aim: the same by reported load, for the class with the best worth for its work
TURN = 4  # held requests of a class that may be tried in vain for one fact: thousands may be held
SWEEP = 64  # ... and for each regular look
RATE_SPAN = 2.5  # shortest aims over which answer rates are smoothed
FIRST_PACE = 12.0  # requests at a member that answers within the usual latency, until there are answers
COLD_PART = 0.4  # of what the falling rule allows a cold member; the rest is for uneven load and retries
SESSIONS = 10_000  # sessions remembered; those dropped count as having written at the last one dropped
FEW = 8  # routers up to which each may ask a member before it sends: more of them would ask it all the time
STRAINS = (Status.FULL, Status.TIMEOUT, Status.CANCELLED, Status.CONNECT_FAILED)  # which tell of no room
SELDOM = 4.0  # ... lapses between looks of one of them
WATCH_RETRY = 0.05  # of ask_within: first wait after a failed call to the list, doubled three times ...
ASK_CAP = 10.0  # ... seconds of it that count: news counts as told 6 s after discovery is back in reach


@dataclass(slots=True, eq=False)
class Member:
    name: str
    group: Group
    state: State = State.READY
    started: float | None = None
    role_at: float = -math.inf  # when the newest fact on its role was true
    position: float = -math.inf  # proven; it only rises
    alive: float = -math.inf  # last answer
    seen: float = -math.inf  # last answer or report
    reported: float = -math.inf  # last report
    load: float = 0.0  # requests there, by its last report and by what was sent and answered since
    behind: float = 0.0  # how far when last seen, as long as that is more than the age of a report
    refused: float = -math.inf  # last attempt that found no connection, with no answer since
    failed: float = -math.inf  # last failed attempt that counts
    good: float = 0.0  # good answers since the last failure, older ones fading
    rate: float = 0.0  # work answered a second, as usual latency, as of ...
    rated: float = 0.0
    probed: float = -math.inf
    # attempts out there: time sent, usual latency, load of the member then (0: not known)
    flying: dict[tuple[int, int], tuple[float, float, float]] = field(default_factory=dict)
    work: float = 0.0  # of these, the usual latencies together ...
    haste: float = 0.0  # ... and their inverses
    strained: float = -math.inf  # when it was full or late, as long as nothing tells that it has room again
    base: float = -math.inf  # from when on those out there are late: the last answer, or the first attempt
    lag: float = 0.0  # of those sent after that, how much later, in usual latencies together


@dataclass(slots=True, eq=False)
class Group:
    members: list[Member] = field(default_factory=list)
    primary: Member | None = None
    lost: float = -math.inf  # when the last one was lost
    crowned: float = -math.inf  # when the newest fact on who is primary was true
    held: dict[str, OrderedDict[int, Pending]] = field(default_factory=lambda: defaultdict(OrderedDict))
    ends: list[tuple[float, int]] = field(default_factory=list)  # heap: last calls of what is or was held
    tending: bool = False


@dataclass(slots=True, eq=False)
class Pending:
    ask: io.Request
    kind: io.RequestClass
    group: Group
    floor: float  # position that a member must have; for a bounded read it moves with the clock
    last_call: float  # clock time at which worth is out of reach
    hold_end: float  # ... up to which it is held, as long as it was sent nowhere
    luck: float  # drawn once for each request: a cold member takes it if it is warm to that share
    order: list[Member]  # the draw: replicas in the order in which this request considers them
    tried: list[Member] = field(default_factory=list)
    flying: dict[int, Member] = field(default_factory=dict)
    maybe_ran: float | None = None  # when the first attempt that may have run was sent
    reached: bool = False  # an attempt found a connection
    ending: bool = False  # its last call is among those of its group


class Balancer:
    """Decides for one router: `handle` takes what happened and returns what to do, in order."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.shortest = min(kind.aim for kind in settings.classes)
        self.usual = {kind.name: FIRST_LATENCY * kind.aim for kind in settings.classes}
        self.members: dict[str, Member] = {}
        self.groups: dict[int, Group] = {}
        self.requests: dict[int, Pending] = {}
        self.sessions: dict[int, float] = {}
        self.forgotten = -math.inf  # newest commit of the sessions dropped
        self.timers: dict[int, Callable[[], None]] = {}
        self.crowd, self.primaries = settings.balancers > FEW, 1.0  # part of requests for a primary alone
        self.now, self.paced, self.tokens, self.watch_failures = 0.0, -math.inf, 0, 0
        self.pace_load, self.pace_time = FIRST_PACE, FIRST_LATENCY * self.shortest
        self.actions: list[io.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {io.Request: self.on_request}
        self.handlers |= {io.Listing: self.on_listing, io.Probed: self.on_probed, io.Outcome: self.on_outcome}
        self.handlers |= dict.fromkeys((io.Abandoned, io.StreamStarted), self.on_left)
        self.handlers[io.Ending] = self.on_ending
        self.handlers[io.Timer] = lambda event: self.timers.pop(event.token, lambda: None)()

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

    def on_ending(self, event: io.Ending) -> None:
        for one in self.requests.values():
            one.last_call, one.hold_end = min(one.last_call, event.by), min(one.hold_end, event.by)
            if one.ending:
                heappush(one.group.ends, (event.by, one.ask.id))

    # ---- facts: the record is updated as they arrive, and an older one never undoes a newer one
    def on_listing(self, listing: io.Listing) -> None:
        if listing.kind is io.ListKind.FAILED:
            wait = WATCH_RETRY * 2.0 ** min(3, self.watch_failures) * min(ASK_CAP, self.settings.ask_within)
            self.watch_failures += 1
            return self.after(wait * self.random.uniform(0.5, 1.0), lambda: self.actions.append(io.Watch()))
        if listing.kind is io.ListKind.CACHED and self.settings.must_ask:
            self.actions.append(io.Watch())
        self.watch_failures = 0
        for entry in listing.entries:
            self.on_entry(entry)
        told = self.members if listing.kind is io.ListKind.CHANGES else {e.member for e in listing.entries}
        for member in [member for name, member in self.members.items() if name not in told]:
            self.set_state(member, State.GONE)

    def on_entry(self, entry: io.Entry) -> None:
        group, member = self.groups.setdefault(entry.group, Group()), self.members.get(entry.member)
        if member is None:
            member = self.members[entry.member] = Member(entry.member, group, started=entry.started)
        elif entry.started is not None and entry.started != member.started:
            member.started, member.refused, member.failed = entry.started, -math.inf, -math.inf
            if group.primary is member and entry.started > group.crowned:
                self.lose_primary(group)  # what restarts comes back as a replica
        self.set_state(member, entry.state)
        if entry.primary and group.primary is None:
            self.crown(member, group.crowned)

    def set_state(self, member: Member, state: State) -> None:
        if state is State.GONE and self.settings.only_draining_binds and member.state is State.READY:
            return
        if state is not State.READY and member.state is State.READY and member.group.primary is member:
            self.lose_primary(member.group)
        member.state = state
        if state is State.GONE:  # kept only while attempts are out there
            member.group.members = [other for other in member.group.members if other is not member]
            if not member.flying:
                self.members.pop(member.name, None)
        elif member not in member.group.members:
            member.group.members.append(member)

    def on_probed(self, event: io.Probed) -> None:
        if (member := self.members.get(event.member)) is not None:
            if event.ok:
                member.seen, member.reported, member.refused = self.now, self.now, -math.inf
            self.on_report(member, event.report or io.Report(), self.now - event.latency)
            self.release(member.group, TURN, member)

    def on_report(self, member: Member, report: io.Report, asked: float) -> None:
        loads = [load for load in (report.in_flight, report.queued) if load is not None]
        member.load = sum(loads if self.crowd else loads[:1]) if loads else member.load
        if loads and self.expected(member) <= TARGET * self.shortest:
            member.strained = -math.inf
        if report.position is not None:
            member.position = max(member.position, report.position)
            lag = asked - member.position
            member.behind = lag if lag > max(REPORT_AGE, self.shortest) else 0.0
        at = report.position if report.at is None else report.at  # a position dates its report, unless told
        if report.primary is not None and at is not None:
            (self.crown if report.primary else self.demote)(member, at)

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
        self.probe_all(group, 2 * STEP * self.shortest)

    def probe_all(self, group: Group, lapse: float) -> None:
        for member in () if self.crowd else group.members:  # a crowd would ask all of them at one instant
            self.probe(member, lapse)

    def probe(self, member: Member, lapse: float) -> None:
        if self.settings.may_probe and member.state is State.READY and self.now - member.probed >= lapse:
            member.probed = self.now
            self.actions.append(io.Probe(member.name))

    def on_outcome(self, event: io.Outcome) -> None:
        pending, member = self.requests.get(event.request), self.members.get(event.member)
        if member is None:
            return
        sent = self.learn(member, event, pending)
        if pending is not None and pending.flying.pop(event.attempt, None) is not None:
            pending.reached |= event.status not in (Status.CONNECT_FAILED, Status.MOOT)
            if event.status not in io.NEVER_RAN and pending.maybe_ran is None:
                pending.maybe_ran = sent
            if event.finished:
                self.forget(pending)
            elif not pending.flying:
                self.route(pending)
        if member.state is State.GONE and not member.flying:
            self.members.pop(member.name, None)
        self.release(member.group, TURN, member)

    def learn(self, member: Member, event: io.Outcome, pending: Pending | None) -> float:
        known = member.flying.pop((event.request, event.attempt), None)
        sent, usual, load = known or (self.now - event.latency, math.inf, 1.0)
        member.work, member.haste = member.work - (usual if known else 0.0), member.haste - 1 / usual
        member.lag -= max(0.0, sent - member.base) / usual if known else 0.0
        if not member.flying:
            member.work = member.haste = member.lag = 0.0
        status = event.status
        if status is Status.CONNECT_FAILED:
            member.refused = self.now
        elif status not in (Status.TIMEOUT, Status.CANCELLED, Status.MOOT):
            member.good *= math.exp((member.alive - self.now) / (FORGIVEN * self.shortest))
            member.alive, member.seen, member.refused = self.now, self.now, -math.inf
            member.base, member.lag = self.now, 0.0
        member.load = max(0.0, member.load - 1)
        if pending is not None and (status in STRAINS or event.latency > pending.kind.aim):
            member.strained = self.now
        elif pending is not None and status is Status.OK and event.latency < TARGET * pending.kind.aim:
            member.strained = -math.inf
        if status is Status.ERROR:  # one now and then, among many good ones, tells nothing
            member.failed, member.good = self.now if member.good < HONEST else member.failed, 0.0
        member.good += status is Status.OK
        if event.primary:
            self.crown(member, sent)
            member.position, member.behind = max(member.position, sent), 0.0  # it stands at the present
        elif event.primary is False:
            self.demote(member, self.now)
        self.on_report(member, event.report or io.Report(), sent)
        if event.position is not None:
            member.position = max(member.position, event.position)
        if pending is not None and status is Status.OK:
            kind, session = pending.kind, pending.ask.session
            self.answered(member, self.usual[kind.name])
            if load > 0:
                self.paced = self.now
                self.pace_load += LATENCY_WEIGHT * (load - self.pace_load)
                self.pace_time += LATENCY_WEIGHT * (event.latency - self.pace_time)
            usual = self.usual[kind.name] + LATENCY_WEIGHT * (event.latency - self.usual[kind.name])
            self.usual[kind.name] = max(usual, STEP * self.shortest)  # a hiccup of ours is no silence of its
            if kind.need is Need.WRITE and session is not None and event.position is not None:
                self.sessions[session] = max(event.position, self.sessions.pop(session, event.position))
                if len(self.sessions) > SESSIONS:
                    self.forgotten = max(self.forgotten, self.sessions.pop(next(iter(self.sessions))))
        elif pending is not None and status is Status.MISS and pending.kind.need is not Need.WRITE:
            member.behind = sent - self.floor(pending, sent)
        return sent

    # ---- the rule
    def on_request(self, ask: io.Request) -> None:
        kind, group = self.kinds.get(ask.kind), self.groups.setdefault(ask.group, Group())
        if kind is None or ask.deadline <= self.now:
            return self.actions.append(io.Refuse(ask.id))
        if not self.settings.reports_load and self.now - self.paced >= FORGIVEN * self.shortest:
            self.pace_load, self.pace_time = FIRST_PACE, FIRST_LATENCY * self.shortest  # the burst is over
        self.primaries += LATENCY_WEIGHT * ((kind.need in (Need.WRITE, Need.FRESH)) - self.primaries)
        floor = -math.inf
        if kind.need is Need.SESSION and not self.settings.client_tokens:
            floor = self.sessions.get(ask.session, self.forgotten) if ask.session is not None else self.now
        elif kind.need is Need.SESSION and ask.since_write is not None:
            floor = self.now + 0.001 - ask.since_write
        aim = self.now + kind.aim + kind.aim_stretch * (ask.cost or 0.0)
        end = ask.deadline if kind.late_worth > 0 else min(aim, ask.deadline)
        last = end - min(LAST_CALL * self.usual[kind.name], 0.6 * (end - self.now))
        draw = self.random.sample(group.members, len(group.members))
        if self.long(kind):
            draw.sort(key=lambda member: member.name)
        held = min(last, self.now + HOLD * (ask.deadline - self.now))
        new = self.requests[ask.id] = Pending(ask, kind, group, floor, last, held, self.random.random(), draw)
        if group.primary is None:
            self.probe_all(group, math.inf)  # those never probed
        self.route(new)

    def long(self, kind: io.RequestClass) -> bool:
        return kind.need is Need.ANY and self.usual[kind.name] > LONG * min(self.usual.values())

    def route(self, pending: Pending) -> None:
        """Send it, hold it, or give it its final answer."""
        pending.group.held[pending.kind.name].pop(pending.ask.id, None)
        more = len(pending.tried) < self.settings.max_attempts and self.now < pending.last_call
        if not (self.repeatable(pending) and more):
            return self.give_up(pending)
        if (member := self.choose(pending)) is None:
            return self.hold(pending)
        self.send(pending, member)

    def repeatable(self, pending: Pending, wait: float = 0.0) -> bool:
        """Rule 2: whether it may be sent, or by its client sent again, so many seconds from now."""
        kind, ran = pending.kind, pending.maybe_ran
        keyed = kind.effect is Effect.KEYED and ran is not None and self.now + wait < ran + kind.window
        return ran is None or kind.effect is Effect.SAFE or keyed

    def choose(self, pending: Pending) -> Member | None:
        group, primary = pending.group, pending.group.primary
        if pending.kind.need in (Need.WRITE, Need.FRESH):
            to = primary if self.crowd or primary not in pending.tried[-1:] else None
            if to is not None and self.usable(pending, to) and not self.look(to) and self.room(pending, to):
                return to
            if primary is not None or pending.kind.need is Need.FRESH:
                return None
            # one round of tries; in a crowd, where nobody probes, again and again but for the last
            since = max(group.lost, self.now - SELDOM * LOOK * self.shortest) if self.crowd else group.lost
            spent = self.crowd and len(pending.tried) >= self.settings.max_attempts - 1
            for member in () if spent else pending.order:
                if member.role_at <= since and member not in pending.tried[-2 if self.crowd else 0 :]:
                    if self.crowd and self.settings.may_probe and self.warm(member) < 1:
                        self.probe(member, SELDOM * LOOK * self.shortest)  # its word costs it less than a try
                    elif self.usable(pending, member):
                        return member
            return None
        floor = self.floor(pending, self.now)
        fresh = [m for m in pending.order if m not in (primary, *pending.tried) and self.open(pending, m)]
        if self.crowd:  # long reads may block a log, so they stay with one, and what needs proof goes past it
            packed, proof = min((m.name for m in fresh), default=""), floor > -math.inf
            fresh = [m for m in fresh if m.name == packed or not self.long(pending.kind)]
            fresh.sort(key=lambda m: (m.strained > 0, not self.recent(m, floor), proof and m.name == packed))
        # proof asked for once in vain: the primary rather than one probe more, if it has room
        free = self.crowd and primary is not None and self.warm(primary) >= 1 and primary.strained < 0
        pair: list[Member] = []
        for member in fresh:  # the first two that are healthy and known recent enough
            if pair and (len(pair) == 2 or self.crowd or self.expected(pair[0]) < CROWDED * pending.kind.aim):
                break  # where the first is idle no other is asked
            well = self.healthy(member)
            asked = well and self.look(member, floor)
            if asked and not (self.crowd and member.strained > member.reported):
                return None
            if well and not asked and self.recent(member, floor) and self.room(pending, member):
                pair.append(member)
            elif free and not self.recent(member, floor):
                break
        if pair:
            return min(pair, key=self.load)
        able = [m for m in fresh if self.recent(m, floor) and not (self.crowd and m.strained > m.reported)]
        spare = primary if primary not in pending.tried else None  # what only it can serve comes first
        free = not self.crowd and spare is not None and self.expected(spare) < CROWDED * pending.kind.aim
        if spare is not None and (free or not able) and self.usable(pending, spare):
            return None if (self.crowd and self.look(spare)) or not self.room(pending, spare) else spare
        return next((m for m in able if self.room(pending, m)), None)  # if all look bad, as if none did

    def load(self, member: Member) -> float:
        return max(len(member.flying), member.load)

    def look(self, member: Member, floor: float = -math.inf) -> bool:
        """Whether to wait for a report: who sees little asks before, not after."""
        catch_up = min(FORGIVEN * self.shortest, CATCH_UP * max(0.0, floor - member.position))
        lapse = (SELDOM if self.crowd else 1.0) * LOOK * self.shortest + catch_up
        seen, strained = (member.reported, member.strained) if self.crowd else (member.seen, -math.inf)
        told = member.reported >= max(member.probed, strained) and self.now - member.probed < lapse
        met = self.warm(member) >= 1 or member.reported > (member.started or 0.0)  # its own word
        calm = self.crowd and met and strained == -math.inf and member is not member.group.primary
        known = self.recent(member, floor) and (calm or (seen > strained and self.now - seen < lapse))
        if known or told or not self.settings.may_probe:
            return False
        self.probe(member, lapse)
        return member.reported < strained or self.now - member.probed < STEP * self.shortest

    def floor(self, pending: Pending, sent: float) -> float:
        return sent - pending.kind.bound if pending.kind.need is Need.BOUNDED else pending.floor

    def recent(self, member: Member, floor: float) -> bool:
        """Proven recent enough or, where members check reads, not found to be further behind than that."""
        return member.position >= floor or (self.settings.members_check and self.now - floor > member.behind)

    def send(self, pending: Pending, member: Member) -> None:
        usual, number = self.usual[pending.kind.name], len(pending.tried)
        pending.flying[number] = member
        member.load = max(member.load, len(member.flying)) + 1
        member.flying[pending.ask.id, number] = self.now, usual, member.load
        member.work, member.haste = member.work + usual, member.haste + 1 / usual
        member.base = self.now if member.base == -math.inf else member.base
        member.lag += (self.now - member.base) / usual
        pending.tried.append(member)
        self.actions.append(io.Send(pending.ask.id, member.name, pending.ask.deadline - self.now))
        if pending.kind.effect is Effect.SAFE:
            self.after(PATIENCE * usual, lambda: self.help(pending, number))

    def help(self, pending: Pending, attempt: int) -> None:
        """A safe attempt is overdue: it is moved away from a member that looks sick."""
        if (member := pending.flying.get(attempt)) and self.settings.may_cancel and not self.healthy(member):
            self.actions.append(io.Cancel(pending.ask.id, attempt))

    def holds(self, now: float, request: int, attempt: int) -> bool:
        """Whether an attempt that waited for its connection may still leave: rules 2 and 5 as of `now`."""
        self.now, pending = now, self.requests.get(request)
        if pending is None or attempt not in pending.flying or not self.repeatable(pending):
            return False
        member, fresh = pending.flying[attempt], pending.kind.need is Need.FRESH
        return member is member.group.primary or (not fresh and self.recent(member, self.floor(pending, now)))

    # ---- guards
    def give_up(self, pending: Pending) -> None:
        """The one final answer, at once."""
        kind, wait, word = pending.kind, self.settings.max_retry_after, why(self, pending)
        alone = pending.maybe_ran is not None and kind.effect is Effect.KEYED and kind.group_only
        again = self.repeatable(pending, wait) and not alone  # by its client, who may come when it is told to
        self.actions.append(io.Refuse(pending.ask.id, wait, word) if again else io.Fail(pending.ask.id, word))
        self.forget(pending)

    def forget(self, pending: Pending, cancel: bool = True) -> None:
        pending.group.held[pending.kind.name].pop(pending.ask.id, None)
        self.requests.pop(pending.ask.id, None)
        if cancel and self.settings.may_cancel:
            self.actions.extend(io.Cancel(pending.ask.id, attempt) for attempt in pending.flying)
        pending.flying.clear()

    def hold(self, pending: Pending) -> None:
        group, end = pending.group, pending.last_call if pending.reached else pending.hold_end
        if self.now + STEP * self.shortest >= end:
            return self.give_up(pending)
        group.held[pending.kind.name][pending.ask.id] = pending
        if not pending.ending:
            pending.ending = True
            heappush(group.ends, (end, pending.ask.id))
        self.watch(group)

    def watch(self, group: Group) -> None:
        if not group.tending:
            group.tending = True
            self.after(STEP * self.shortest, lambda: self.tend(group))

    def tend(self, group: Group) -> None:
        """While work is held: look for a primary, answer what runs out of time, send what can go."""
        group.tending = False
        if any(group.held.values()) and (group.primary is None or not self.healthy(group.primary)):
            self.probe_all(group, 4 * STEP * self.shortest)
        while group.ends and group.ends[0][0] <= self.now + STEP * self.shortest:
            if (pending := self.requests.get(heappop(group.ends)[1])) is not None:
                pending.ending = False  # one that is out there is held no more when it comes back
                if pending.ask.id in group.held[pending.kind.name]:
                    self.hold(pending)  # which gives it up if this is its end
        self.release(group, SWEEP)
        if any(group.held.values()):
            return self.watch(group)
        for pending in [self.requests[number] for _, number in group.ends if number in self.requests]:
            pending.ending = False  # what is out there may come to be held again
        group.ends.clear()

    def release(self, group: Group, most: int, told: Member | None = None) -> None:
        """Try some of what is held, in turn, best worth for its work first; what is held on goes to the end.
        What waits for the primary alone is not tried for word of somebody else (`told`)."""
        others = told is not None and group.primary is not None and told is not group.primary
        for name in sorted(group.held, key=lambda name: -self.kinds[name].worth / self.usual[name]):
            waiting = group.held[name]
            missed = most if others and self.kinds[name].need in (Need.WRITE, Need.FRESH) else 0
            for number in tuple(islice(waiting, 4 * most)):
                if number in waiting and missed < most:
                    self.route(waiting[number])
                    missed += number in waiting

    def warm(self, member: Member) -> float:
        """The part of its capacity that a member has at the least, by the time since its start."""
        full, cold = self.settings.cold_time, self.settings.cold_share
        age = self.now - (member.started or -math.inf)
        return 1.0 if age >= full else cold + (1 - cold) * max(0.0, age) / full

    def open(self, pending: Pending, member: Member) -> bool:
        """Rules 3 and 4: nothing for a member that drains; a cold one takes the share of requests that it is
        warmed up to. The draw stays with the request: all routers together keep to it, no wait draws anew."""
        warm = self.warm(member)
        part = COLD_PART * self.settings.fall_multiple * warm
        if self.crowd and pending.kind.need in (Need.WRITE, Need.FRESH):
            part /= min(1.0, max(0.5, self.primaries * len(member.group.members)))
        return (warm >= 1 or pending.luck < part) and member.state is State.READY

    def expected(self, member: Member) -> float:
        """Latency of one more request there, at the pace of all; one that is cold may be all that is left."""
        return (self.load(member) + 1) * self.pace_time / self.pace_load / self.warm(member)

    def answered(self, member: Member, more: float = 0.0) -> float:
        span, past = RATE_SPAN * self.shortest, member.rated - self.now
        member.rate, member.rated = member.rate * math.exp(past / span) + more / span, self.now
        return member.rate

    def room(self, pending: Pending, member: Member) -> bool:
        """A crowded member gets what it will answer in time; the rest waits here, best first. Where we have
        attempts out there our answer rate tells, else the pace of all members at the load that it reports."""
        kind, expected = pending.kind, self.expected(member)
        if len(member.flying) < 2 or expected < CROWDED * kind.aim:
            best = max(other.worth / self.usual[other.name] for other in self.settings.classes)
            rank = kind.worth / self.usual[kind.name] / best if best else 1.0
            return expected <= (TARGET + (PACE_TARGET - TARGET) * rank) * kind.aim
        return self.usual[kind.name] + member.work <= TARGET * kind.aim * self.answered(member)

    def sick(self, member: Member) -> bool:
        """No connection, answers overdue over all that is out there, or a primary whose position stands
        still, though it may answer probes: a hang, a dead host, a cut link."""
        down = self.now - member.refused < LOOK * self.shortest
        late, silent = 0.0, self.now - member.alive
        if silent >= STEP * self.shortest and silent * member.haste >= SILENCE:  # less is but a hiccup
            late = (self.now - member.base) * member.haste - member.lag
        return down or late >= SILENCE or (member.group.primary is member and member.behind > 0)

    def healthy(self, member: Member) -> bool:
        waited = self.now - member.probed  # asked for a report in vain: dead, cut off or far away
        mute = member.probed > member.reported and STEP * self.shortest <= waited < LOOK * self.shortest
        return not (mute or self.sick(member)) and self.now - member.failed >= FORGIVEN * self.shortest

    def usable(self, pending: Pending, member: Member) -> bool:
        """For writes: errors alone don't bar a primary, as nobody else could take them."""
        return self.open(pending, member) and not self.sick(member)
