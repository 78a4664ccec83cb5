"""Routing decisions of one router: a `Balancer` takes events and returns actions, both of interface.py.

It decides which member serves a request, and when a request is held, retried or refused. It does no I/O and
knows the time only from its caller. Its design is described in docs/design.md. It keeps five rules, which
the code names by number:

1. One final answer: every request gets exactly one, before its deadline.
2. No effect twice: a request that may have run is repeated only where its class makes that harmless.
3. Drains are kept: nothing new is sent to a member that drains.
4. No cold member is overloaded: a member that started recently gets a limited share of the requests.
5. No stale read: a read goes only to a member that is recent enough for its class.

Units. Times and durations are seconds. Many limits scale with the latency that the classes aim for; their
constants name that unit: `..._SHORTEST_AIMS` is in multiples of the shortest aim of all classes,
`..._AIM_SHARE` is a fraction of the aim of the request's class, and `..._LATENCIES` is in multiples of the
usual latency of the request's class.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice
from random import Random

from banklift import interface
from banklift.interface import Effect, Need, State, Status
from banklift.reasons import refusal_reason

# Health of members

# Overdue answers from which a silent member counts as unresponsive; a false alarm about once in e^6.
MAX_OVERDUE_ANSWERS = 6.0
# Times the shortest aim: how long a failed member is avoided, and how long successes and measured pace are
# remembered. Avoiding a member costs little, as failures of healthy members are rare.
FAILURE_MEMORY_SHORTEST_AIMS = 4.0
# Recent successful answers (older ones decay) from which a single failure is ignored.
SUCCESSES_TO_IGNORE_FAILURE = 8.0
# Times the shortest aim: how long a report or a refused connection is taken as current.
REPORT_LIFETIME_SHORTEST_AIMS = 0.3
# Factor on the lifetime of a report in a large fleet, so that all routers together do not probe a member
# constantly.
LARGE_FLEET_REPORT_LIFETIME_FACTOR = 4.0
# Seconds by which the next probe is delayed for each second that a member's position is too old.
CATCH_UP_DELAY_PER_SECOND_BEHIND = 0.5
# Seconds, or the shortest aim where that is longer: a position that is older in a new report has stopped
# advancing.
STALLED_POSITION_AGE = 0.3
# Times the shortest aim: how long to wait for a report (reports take some milliseconds), and the interval
# between two checks of the held requests.
TICK_SHORTEST_AIMS = 0.125
# Usual latencies after which a safe attempt is moved away from an unhealthy member; one in twenty takes
# longer.
OVERDUE_ATTEMPT_LATENCIES = 3.0
# Statuses of an attempt that show that the member may be out of capacity.
OVERLOAD_STATUSES = (Status.FULL, Status.TIMEOUT, Status.CANCELLED, Status.CONNECT_FAILED)

# Measured latencies and rates

# Weight of one sample in the moving averages: an answer in latencies and pace, a request in the primary-only
# share.
SAMPLE_WEIGHT = 0.05
# Fraction of the aim: usual latency of a class before its first answer.
INITIAL_LATENCY_AIM_SHARE = 0.25
# Requests at a member that answers within the usual latency, before the first answers.
INITIAL_PACE_LOAD = 12.0
# Times the shortest aim: time constant over which a member's answer rate is smoothed.
ANSWER_RATE_SPAN_SHORTEST_AIMS = 2.5
# Times the lowest usual latency of all classes: slower reads of class ANY count as long and go to the first
# replicas by name, so that the other replicas stay free of them.
LONG_READ_LATENCY_FACTOR = 3.0

# Capacity of members

# Fraction of the aim: a member with a lower expected latency is not crowded.
UNCROWDED_AIM_SHARE = 0.2
# Fraction of the aim: limit of the expected latency up to which a member gets more requests.
LATENCY_TARGET_AIM_SHARE = 0.5
# Fraction of the aim: that limit for the class with the highest worth for its work, by reported load.
BEST_WORTH_TARGET_AIM_SHARE = 0.75
# Fraction of what rule 4 allows a cold member; the rest is a margin for uneven load and retries.
COLD_ADMISSION_SHARE = 0.4

# Holding and retrying requests

# Usual latencies: a request is not sent later than this before its worth ends, as its answer would be late.
SEND_CUTOFF_LATENCIES = 1.6
# Upper limit of the send cutoff, as a fraction of the time that a request has.
MAX_SEND_CUTOFF_SHARE = 0.6
# Fraction of the time to the deadline for which a request that reached no member is held; after that its
# client does better to retry later.
MAX_HOLD_DEADLINE_SHARE = 0.45
# Held requests of a class, of thousands, that may be retried in vain for one event.
MAX_MISSES_PER_EVENT = 4
# Held requests of a class that may be retried in vain at one periodic check.
MAX_MISSES_PER_TICK = 64

# Sizes

# Sessions whose last write is remembered; a dropped one counts as having written at the newest write of those
# dropped.
MAX_SESSIONS = 10_000
# Routers up to which each may probe a member before it sends; more of them would probe it constantly.
SMALL_FLEET_ROUTERS = 8

# Watch of the member list

# Fraction of the allowed `ask_within`: wait after a first failed call to the list; it doubles three times.
WATCH_RETRY_SHARE = 0.05
# Seconds: upper limit of the `ask_within` that counts. A change of the list counts as known to the router 6 s
# after discovery is reachable again, so retries must not be further apart.
MAX_ASK_WITHIN = 10.0


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight. It outlives its request, whose client may leave before the member answers."""

    sent_at: float
    usual_latency: float  # of its class, in seconds, when it was sent
    load: float  # of the member when it was sent; 0: unknown
    write_session: int | None  # session whose write it is; None for reads and for writes without a session


@dataclass(slots=True, eq=False)
class Member:
    """What this router knows of one member. Times are clock times, -inf where the event has not happened."""

    name: str
    group: Group
    state: State = State.READY
    started: float | None = None  # None: long ago
    role_known_at: float = -math.inf  # time at which the newest fact on its role was true
    position: float = -math.inf  # proven replication position; it only rises
    last_answer_at: float = -math.inf
    last_heard_at: float = -math.inf  # last answer or report
    last_report_at: float = -math.inf
    load: float = 0.0  # requests there: as last reported, plus those sent and minus those answered since
    # seconds behind when last heard; 0 where that is no more than the usual age of a report
    replication_lag: float = 0.0
    connect_failed_at: float = -math.inf  # last failed connect, reset by an answer
    failed_at: float = -math.inf  # last failed attempt that counts against the member
    recent_successes: float = 0.0  # successful answers since the last failure, older ones decay
    answer_rate: float = 0.0  # work answered a second, in seconds of usual latency, as of `answer_rate_at`
    answer_rate_at: float = 0.0
    probed_at: float = -math.inf
    # attempts in flight by request and attempt
    in_flight: dict[tuple[int, int], InFlightAttempt] = field(default_factory=dict)
    in_flight_work: float = 0.0  # sum of the usual latencies of the attempts in flight
    expected_rate: float = 0.0  # answers a second expected of them: the sum of the inverse usual latencies
    overloaded_at: float = (
        -math.inf
    )  # when it was last full or late; -inf once it is known to have room again
    # Attempts in flight are late from here on: the last answer, or the first attempt if there was none.
    lateness_base: float = -math.inf
    # What attempts sent after `lateness_base` are less late, in usual latencies: their sum is
    # (now - lateness_base) * expected_rate - lateness_offset, without a loop over the attempts.
    lateness_offset: float = 0.0


@dataclass(slots=True, eq=False)
class Group:
    """One primary and its replicas, with the requests that wait for one of them."""

    members: list[Member] = field(default_factory=list)
    primary: Member | None = None  # None: unknown
    primary_lost_at: float = -math.inf
    primary_known_at: float = -math.inf  # time at which the newest fact on who is primary was true
    # Whom the list names as primary counts, until a member has told that it is the primary, or that it is
    # not although the list names it: a list may name the first primary of the day for ever.
    trusts_listed_primary: bool = True
    # held requests by class name and request id, in the order in which they are retried
    held: dict[str, OrderedDict[int, Pending]] = field(default_factory=lambda: defaultdict(OrderedDict))
    hold_ends: list[tuple[float, int]] = field(default_factory=list)  # heap: end of holding, request id
    check_scheduled: bool = False  # a timer for the next check of the held requests is set


@dataclass(slots=True, eq=False)
class Pending:
    """A request without a final answer."""

    request: interface.Request
    request_class: interface.RequestClass
    group: Group
    min_position: float  # position that a member must have; for a bounded read it advances with the clock
    send_cutoff: float  # clock time from which an answer would come too late to have any worth
    hold_until: float  # clock time up to which it is held while no attempt has reached a member
    admission_draw: float  # drawn once, in [0, 1): a cold member takes the request if its share is above this
    member_order: list[Member]  # the members in the order in which this request considers them
    tried: list[Member] = field(default_factory=list)  # member of each attempt so far
    in_flight: dict[int, Member] = field(default_factory=dict)  # by attempt number
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    reached_member: bool = False  # an attempt got a connection
    in_hold_ends: bool = False  # it has an entry in `Group.hold_ends`


class Balancer:
    """Decides for one router: `handle` takes what happened and returns what to do, in order."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """`seed` makes all random choices reproducible: the same events give the same actions."""
        self.settings = settings
        self.random = Random(seed)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.shortest_aim = min(request_class.aim for request_class in settings.classes)
        self.usual_latency = {
            request_class.name: INITIAL_LATENCY_AIM_SHARE * request_class.aim
            for request_class in settings.classes
        }
        self.members: dict[str, Member] = {}
        self.groups: dict[int, Group] = {}
        self.requests: dict[int, Pending] = {}
        self.sessions: dict[int, float] = {}  # position of each session's last write
        self.dropped_sessions_position = -math.inf  # newest write of the sessions that were dropped
        self.timers: dict[int, Callable[[], None]] = {}
        self.is_large_fleet = settings.balancers > SMALL_FLEET_ROUTERS
        self.primary_only_share = 1.0  # fraction of the requests that only a primary may serve
        self.now = 0.0
        self.pace_measured_at = -math.inf
        self.last_timer_token = 0
        self.watch_failures = 0
        # Pace of all members: a member with `pace_load` requests answers one within `pace_latency` seconds.
        self.pace_load = INITIAL_PACE_LOAD
        self.pace_latency = INITIAL_LATENCY_AIM_SHARE * self.shortest_aim
        self.actions: list[interface.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {interface.Request: self.on_request}
        self.handlers |= {
            interface.Listing: self.on_listing,
            interface.Probed: self.on_probed,
            interface.Outcome: self.on_outcome,
        }
        self.handlers |= dict.fromkeys((interface.Abandoned, interface.StreamStarted), self.on_request_left)
        self.handlers[interface.Shutdown] = self.on_shutdown
        self.handlers[interface.Timer] = lambda event: self.timers.pop(event.token, lambda: None)()

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Process one event at the clock time `now` and return the actions to take, in order."""
        self.now = now
        self.actions = []
        self.handlers[type(event)](event)
        return self.actions

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` seconds, by a timer that the caller of `handle` runs."""
        self.last_timer_token += 1
        self.timers[self.last_timer_token] = callback
        self.actions.append(interface.SetTimer(max(0.0, delay), self.last_timer_token))

    def on_request_left(self, event: interface.Abandoned | interface.StreamStarted) -> None:
        """Drop a request whose client has gone, or whose client owns the stream from here on.

        Attempts of a request without a client are cancelled; a stream that has started goes on.
        """
        if event.request in self.requests:
            self.remove_request(self.requests[event.request], isinstance(event, interface.Abandoned))

    def on_shutdown(self, event: interface.Shutdown) -> None:
        """Give every pending request its final answer by the end of this router, whatever its deadline."""
        for pending in self.requests.values():
            pending.send_cutoff = min(pending.send_cutoff, event.deadline)
            pending.hold_until = min(pending.hold_until, event.deadline)
            if pending.in_hold_ends:
                heappush(pending.group.hold_ends, (event.deadline, pending.request.id))

    # ---- facts about members: each carries the time at which it was true, so an older one never undoes a
    # newer one
    def on_listing(self, listing: interface.Listing) -> None:
        """Take over the member list, or retry a failed call to it.

        Retries wait for a growing time with jitter, so that the calls of all routers are spread after an
        outage of discovery. A member that a complete list leaves out is gone.
        """
        if listing.kind is interface.ListKind.FAILED:
            ask_within = min(MAX_ASK_WITHIN, self.settings.ask_within)
            wait = WATCH_RETRY_SHARE * 2.0 ** min(3, self.watch_failures) * ask_within
            self.watch_failures += 1
            return self.schedule(
                wait * self.random.uniform(0.5, 1.0), lambda: self.actions.append(interface.Watch())
            )
        if listing.kind is interface.ListKind.CACHED and self.settings.must_ask:
            self.actions.append(interface.Watch())
        self.watch_failures = 0
        for entry in listing.entries:
            self.on_entry(entry)
        is_partial = listing.kind is interface.ListKind.CHANGES
        listed = self.members if is_partial else {entry.member for entry in listing.entries}
        for member in [member for name, member in self.members.items() if name not in listed]:
            self.set_state(member, State.GONE)

    def on_entry(self, entry: interface.Entry) -> None:
        """Add or update one member of the list.

        A restart clears the member's failures, and the member's role as primary unless a newer fact confirms
        it, because a restarted primary comes back as a replica. Whom the list names as primary counts only
        while none is known and members have told nothing else: what a member says of its own role is never
        undone by the list (rule 5).
        """
        group = self.groups.setdefault(entry.group, Group())
        member = self.members.get(entry.member)
        if member is None:
            member = self.members[entry.member] = Member(entry.member, group, started=entry.started)
        elif entry.started is not None and entry.started != member.started:
            member.started = entry.started
            member.connect_failed_at = -math.inf
            member.failed_at = -math.inf
            if group.primary is member and entry.started > group.primary_known_at:
                self.clear_primary(group)
        self.set_state(member, entry.state)
        is_role_untold = member.role_known_at == -math.inf
        if entry.primary and group.primary is None and group.trusts_listed_primary and is_role_untold:
            self.record_primary(member, -math.inf)

    def set_state(self, member: Member, state: State) -> None:
        """Set what the list says of a member; one that is gone is forgotten once its last attempt has ended.

        Where only draining binds, a ready member that vanishes from the list stays in use.
        """
        if state is State.GONE and self.settings.only_draining_binds and member.state is State.READY:
            return
        if state is not State.READY and member.state is State.READY and member.group.primary is member:
            self.clear_primary(member.group)
        member.state = state
        if state is State.GONE:
            member.group.members = [other for other in member.group.members if other is not member]
            if not member.in_flight:
                self.members.pop(member.name, None)
        elif member not in member.group.members:
            member.group.members.append(member)

    def on_probed(self, event: interface.Probed) -> None:
        """Record the answer to a probe, and retry requests that were held for what it tells."""
        if (member := self.members.get(event.member)) is not None:
            if event.ok:
                member.last_heard_at = self.now
                member.last_report_at = self.now
                member.connect_failed_at = -math.inf
            self.apply_report(member, event.report or interface.Report(), self.now - event.latency)
            self.retry_held_requests(member.group, MAX_MISSES_PER_EVENT, member)

    def apply_report(self, member: Member, report: interface.Report, asked_at: float) -> None:
        """Record a member's load, position and role; `asked_at` is when the probe or the request was sent."""
        loads = [load for load in (report.in_flight, report.queued) if load is not None]
        member.load = sum(loads if self.is_large_fleet else loads[:1]) if loads else member.load
        if loads and self.expected_latency(member) <= LATENCY_TARGET_AIM_SHARE * self.shortest_aim:
            member.overloaded_at = -math.inf
        if report.position is not None:
            member.position = max(member.position, report.position)
            lag = asked_at - member.position
            member.replication_lag = lag if lag > max(STALLED_POSITION_AGE, self.shortest_aim) else 0.0
        role_at = (
            report.position if report.at is None else report.at
        )  # a position dates its report by default
        if report.primary is not None and role_at is not None:
            (self.record_primary if report.primary else self.record_replica)(member, role_at)

    def record_primary(self, member: Member, at: float) -> None:
        """Make a ready member its group's primary, if nothing newer is known of its role or the primary.

        `at`: when it was primary; -inf where only the list says so.
        """
        group = member.group
        if at < max(group.primary_known_at, member.role_known_at) or member.state is not State.READY:
            return
        member.role_known_at = group.primary_known_at = at
        group.trusts_listed_primary &= at == -math.inf
        if group.primary is not member:
            group.primary = member
            self.actions.append(interface.Log(f"primary learnt: {member.name}"))

    def record_replica(self, member: Member, at: float) -> None:
        """Record that a member was no primary at `at`, if no newer fact on its role is known."""
        if at >= member.role_known_at:
            member.role_known_at = at
            if member.group.primary is member:
                member.group.trusts_listed_primary = False
                self.clear_primary(member.group)

    def clear_primary(self, group: Group) -> None:
        """Forget the primary of a group and look for the new one."""
        group.primary = None
        group.primary_lost_at = self.now
        self.actions.append(interface.Log("primary lost"))
        self.probe_all(group, 2 * TICK_SHORTEST_AIMS * self.shortest_aim)

    def probe_all(self, group: Group, min_interval: float) -> None:
        """Probe all members of a group to find its primary.

        Not in a large fleet, whose routers would all probe all members at the same instant.
        """
        for member in () if self.is_large_fleet else group.members:
            self.probe(member, min_interval)

    def probe(self, member: Member, min_interval: float) -> None:
        """Probe a ready member unless it was probed within the last `min_interval` seconds."""
        if (
            self.settings.may_probe
            and member.state is State.READY
            and self.now - member.probed_at >= min_interval
        ):
            member.probed_at = self.now
            self.actions.append(interface.Probe(member.name))

    def on_outcome(self, event: interface.Outcome) -> None:
        """Record how an attempt ended, route its request again if that is pending, retry held requests."""
        pending = self.requests.get(event.request)
        member = self.members.get(event.member)
        if member is None:
            return
        sent_at = self.record_outcome(member, event, pending)
        if pending is not None and pending.in_flight.pop(event.attempt, None) is not None:
            pending.reached_member |= event.status not in (Status.CONNECT_FAILED, Status.MOOT)
            if event.status not in interface.NEVER_RAN and pending.may_have_run_at is None:
                pending.may_have_run_at = sent_at
            if event.finished:
                self.remove_request(pending)
            elif not pending.in_flight:
                self.route(pending)
        if member.state is State.GONE and not member.in_flight:
            self.members.pop(member.name, None)
        self.retry_held_requests(member.group, MAX_MISSES_PER_EVENT, member)

    def record_outcome(self, member: Member, event: interface.Outcome, pending: Pending | None) -> float:
        """Update what is known of a member and its class by the end of an attempt; return when that was sent.

        Covers the sums over attempts in flight, health, load, role, position, measured latency and pace, and
        the position of the session's last write.
        """
        known = member.in_flight.pop((event.request, event.attempt), None)
        attempt = known or InFlightAttempt(self.now - event.latency, math.inf, 1.0, None)
        sent_at, usual_latency = attempt.sent_at, attempt.usual_latency
        member.in_flight_work -= usual_latency if known else 0.0
        member.expected_rate -= 1 / usual_latency
        member.lateness_offset -= max(0.0, sent_at - member.lateness_base) / usual_latency if known else 0.0
        if not member.in_flight:  # rounding errors do not add up
            member.in_flight_work = member.expected_rate = member.lateness_offset = 0.0
        status = event.status
        if status is Status.CONNECT_FAILED:
            member.connect_failed_at = self.now
        elif status not in (Status.TIMEOUT, Status.CANCELLED, Status.MOOT):  # the member answered
            member.recent_successes *= math.exp(
                (member.last_answer_at - self.now) / (FAILURE_MEMORY_SHORTEST_AIMS * self.shortest_aim)
            )
            member.last_answer_at = self.now
            member.last_heard_at = self.now
            member.connect_failed_at = -math.inf
            member.lateness_base = self.now
            member.lateness_offset = 0.0
        member.load = max(0.0, member.load - 1)
        if pending is not None and (status in OVERLOAD_STATUSES or event.latency > pending.request_class.aim):
            member.overloaded_at = self.now
        elif (
            pending is not None
            and status is Status.OK
            and event.latency < LATENCY_TARGET_AIM_SHARE * pending.request_class.aim
        ):
            member.overloaded_at = -math.inf
        if status is Status.ERROR:  # a single failure among many successes says nothing of the member
            is_counted = member.recent_successes < SUCCESSES_TO_IGNORE_FAILURE
            member.failed_at = self.now if is_counted else member.failed_at
            member.recent_successes = 0.0
        member.recent_successes += status is Status.OK
        if event.primary:
            self.record_primary(member, sent_at)
            member.position = max(member.position, sent_at)  # a primary has all commits
            member.replication_lag = 0.0
        elif event.primary is False:
            self.record_replica(member, self.now)
        self.apply_report(member, event.report or interface.Report(), sent_at)
        if event.position is not None:
            member.position = max(member.position, event.position)
            if status is Status.OK and attempt.write_session is not None:
                self.remember_write(attempt.write_session, event.position)
        if pending is not None and status is Status.OK:
            request_class = pending.request_class
            self.update_answer_rate(member, self.usual_latency[request_class.name])
            if attempt.load > 0:
                self.pace_measured_at = self.now
                self.pace_load += SAMPLE_WEIGHT * (attempt.load - self.pace_load)
                self.pace_latency += SAMPLE_WEIGHT * (event.latency - self.pace_latency)
            previous_latency = self.usual_latency[request_class.name]
            usual_latency = previous_latency + SAMPLE_WEIGHT * (event.latency - previous_latency)
            # the lower limit keeps a short pause of this router from looking like silence of a member
            self.usual_latency[request_class.name] = max(
                usual_latency, TICK_SHORTEST_AIMS * self.shortest_aim
            )
        elif pending is not None and status is Status.MISS and pending.request_class.need is not Need.WRITE:
            member.replication_lag = sent_at - self.required_position(pending, sent_at)
        return sent_at

    def remember_write(self, session: int, position: float) -> None:
        """Remember the position of a session's write, which its later reads must see (rule 5)."""
        self.sessions[session] = max(position, self.sessions.pop(session, position))
        if len(self.sessions) > MAX_SESSIONS:
            self.dropped_sessions_position = max(
                self.dropped_sessions_position, self.sessions.pop(next(iter(self.sessions)))
            )

    # ---- routing
    def on_request(self, request: interface.Request) -> None:
        """Route a new request, after setting how recent its member must be and until when it may be sent.

        A request of an unknown class, or past its deadline, is refused at once.
        """
        request_class = self.classes.get(request.kind)
        group = self.groups.setdefault(request.group, Group())
        if request_class is None or request.deadline <= self.now:
            return self.actions.append(interface.Refuse(request.id))
        pace_lifetime = FAILURE_MEMORY_SHORTEST_AIMS * self.shortest_aim
        if not self.settings.reports_load and self.now - self.pace_measured_at >= pace_lifetime:
            # A router that sends nothing measures nothing: without this a past burst would block it for ever.
            self.pace_load = INITIAL_PACE_LOAD
            self.pace_latency = INITIAL_LATENCY_AIM_SHARE * self.shortest_aim
        is_primary_only = request_class.need in (Need.WRITE, Need.FRESH)
        self.primary_only_share += SAMPLE_WEIGHT * (is_primary_only - self.primary_only_share)
        min_position = -math.inf
        if request_class.need is Need.SESSION and not self.settings.client_tokens:
            min_position = (
                self.sessions.get(request.session, self.dropped_sessions_position)
                if request.session is not None
                else self.now
            )
        elif request_class.need is Need.SESSION and request.since_write is not None:
            min_position = self.now + 0.001 - request.since_write
        aim_end = self.now + request_class.aim + request_class.aim_stretch * (request.cost or 0.0)
        worth_end = request.deadline if request_class.late_worth > 0 else min(aim_end, request.deadline)
        send_cutoff = worth_end - min(
            SEND_CUTOFF_LATENCIES * self.usual_latency[request_class.name],
            MAX_SEND_CUTOFF_SHARE * (worth_end - self.now),
        )
        member_order = self.random.sample(group.members, len(group.members))
        if self.is_long_read(request_class):
            member_order.sort(key=lambda member: member.name)
        hold_until = min(send_cutoff, self.now + MAX_HOLD_DEADLINE_SHARE * (request.deadline - self.now))
        pending = self.requests[request.id] = Pending(
            request,
            request_class,
            group,
            min_position,
            send_cutoff,
            hold_until,
            self.random.random(),
            member_order,
        )
        if group.primary is None:
            self.probe_all(group, math.inf)  # only members that were never probed
        self.route(pending)

    def is_long_read(self, request_class: interface.RequestClass) -> bool:
        """Whether reads of a class take much longer than others and are kept to the first replicas."""
        usual_latency = self.usual_latency
        return request_class.need is Need.ANY and (
            usual_latency[request_class.name] > LONG_READ_LATENCY_FACTOR * min(usual_latency.values())
        )

    def route(self, pending: Pending) -> None:
        """Send a request, hold it, or give it its final answer if it may not be sent again."""
        pending.group.held[pending.request_class.name].pop(pending.request.id, None)
        may_try = len(pending.tried) < self.settings.max_attempts and self.now < pending.send_cutoff
        if not (self.may_repeat(pending) and may_try):
            return self.give_up(pending)
        if (member := self.choose_member(pending)) is None:
            return self.hold(pending)
        self.send(pending, member)

    def may_repeat(self, pending: Pending, wait: float = 0.0) -> bool:
        """Rule 2, no effect twice: whether a request may be sent again `wait` seconds from now.

        That is so if nothing of it can have run, if its class is safe, or while members still discard repeats
        of a keyed request. It holds for attempts of this router as well as for a retry by the client.
        """
        request_class = pending.request_class
        may_have_run_at = pending.may_have_run_at
        within_window = (
            request_class.effect is Effect.KEYED
            and may_have_run_at is not None
            and self.now + wait < may_have_run_at + request_class.window
        )
        return may_have_run_at is None or request_class.effect is Effect.SAFE or within_window

    def choose_member(self, pending: Pending) -> Member | None:
        """Choose the member for the next attempt; None to hold the request until more is known.

        Writes and fresh reads go to the primary alone. While no primary is known, a write is sent to members
        in turn: one that is no primary turns it away untouched, and the primary takes it.

        Other reads go to the less loaded of two healthy replicas that are known to be recent enough. Without
        such a replica they go to the primary if that is uncrowded or if no replica is recent enough, and else
        to a replica that looks unhealthy.
        """
        group = pending.group
        primary = group.primary
        if pending.request_class.need in (Need.WRITE, Need.FRESH):
            # A small fleet does not repeat an attempt at the same member at once.
            target = primary if self.is_large_fleet or primary not in pending.tried[-1:] else None
            if (
                target is not None
                and self.is_usable(pending, target)
                and not self.awaits_report(target)
                and self.has_capacity(pending, target)
            ):
                return target
            if primary is not None or pending.request_class.need is Need.FRESH:
                return None
            # A small fleet tries each member once. A large one does not probe for the primary, so it goes
            # round the members again and again until one attempt is left, which is kept for the primary.
            search_interval = (
                LARGE_FLEET_REPORT_LIFETIME_FACTOR * REPORT_LIFETIME_SHORTEST_AIMS * self.shortest_aim
            )
            role_unknown_since = (
                max(group.primary_lost_at, self.now - search_interval)
                if self.is_large_fleet
                else group.primary_lost_at
            )
            search_ended = self.is_large_fleet and len(pending.tried) >= self.settings.max_attempts - 1
            for member in () if search_ended else pending.member_order:
                recently_tried = pending.tried[-2 if self.is_large_fleet else 0 :]
                if member.role_known_at <= role_unknown_since and member not in recently_tried:
                    if self.is_large_fleet and self.settings.may_probe and self.warm_share(member) < 1:
                        self.probe(member, search_interval)  # costs a cold member less than an attempt
                    elif self.is_usable(pending, member):
                        return member
            return None
        min_position = self.required_position(pending, self.now)
        replicas = [
            member
            for member in pending.member_order
            if member not in (primary, *pending.tried) and self.admits(pending, member)
        ]
        if self.is_large_fleet:
            # Long reads may block replication, so all of them go to one replica, and reads that need a recent
            # position consider that replica last.
            long_read_member = min((member.name for member in replicas), default="")
            needs_position = min_position > -math.inf
            replicas = [
                member
                for member in replicas
                if member.name == long_read_member or not self.is_long_read(pending.request_class)
            ]
            replicas.sort(
                key=lambda member: (
                    member.overloaded_at > 0,
                    not self.is_recent_enough(member, min_position),
                    needs_position and member.name == long_read_member,
                )
            )
        # In a large fleet, once a probed replica is not recent enough, the primary is used instead of one
        # more probe, as long as it has room.
        primary_has_room = (
            self.is_large_fleet
            and primary is not None
            and self.warm_share(primary) >= 1
            and primary.overloaded_at < 0
        )
        candidates: list[Member] = []  # the first two that are healthy and known to be recent enough
        for member in replicas:
            if candidates and (
                len(candidates) == 2
                or self.is_large_fleet
                or self.expected_latency(candidates[0]) < UNCROWDED_AIM_SHARE * pending.request_class.aim
            ):
                break  # an uncrowded first candidate is taken without a probe of another
            is_healthy = self.is_healthy(member)
            awaits_report = is_healthy and self.awaits_report(member, min_position)
            if awaits_report and not (self.is_large_fleet and member.overloaded_at > member.last_report_at):
                return None
            if (
                is_healthy
                and not awaits_report
                and self.is_recent_enough(member, min_position)
                and self.has_capacity(pending, member)
            ):
                candidates.append(member)
            elif primary_has_room and not self.is_recent_enough(member, min_position):
                break
        if candidates:
            return min(candidates, key=self.current_load)
        recent_replicas = [
            member
            for member in replicas
            if self.is_recent_enough(member, min_position)
            and not (self.is_large_fleet and member.overloaded_at > member.last_report_at)
        ]
        untried_primary = primary if primary not in pending.tried else None
        # Requests that only the primary can serve come first, so reads use it only if it is uncrowded or if
        # there is no other member.
        primary_uncrowded = (
            not self.is_large_fleet
            and untried_primary is not None
            and self.expected_latency(untried_primary) < UNCROWDED_AIM_SHARE * pending.request_class.aim
        )
        if (
            untried_primary is not None
            and (primary_uncrowded or not recent_replicas)
            and self.is_usable(pending, untried_primary)
        ):
            must_wait = (
                self.is_large_fleet and self.awaits_report(untried_primary)
            ) or not self.has_capacity(pending, untried_primary)
            return None if must_wait else untried_primary
        # If every member looks unhealthy, health is ignored.
        return next((member for member in recent_replicas if self.has_capacity(pending, member)), None)

    def current_load(self, member: Member) -> float:
        """Requests at a member: as reported, and at least those that this router has in flight there."""
        return max(len(member.in_flight), member.load)

    def awaits_report(self, member: Member, min_position: float = -math.inf) -> bool:
        """Whether to wait for a report of a member before sending to it; probes it if its report is too old.

        A router that sends little knows little of a member's load, role and position, and a wrong attempt
        costs more than a probe. The wait ends after one tick without a report, except for a member that was
        overloaded.
        """
        catch_up_delay = min(
            FAILURE_MEMORY_SHORTEST_AIMS * self.shortest_aim,
            CATCH_UP_DELAY_PER_SECOND_BEHIND * max(0.0, min_position - member.position),
        )
        lifetime_factor = LARGE_FLEET_REPORT_LIFETIME_FACTOR if self.is_large_fleet else 1.0
        lifetime = lifetime_factor * REPORT_LIFETIME_SHORTEST_AIMS * self.shortest_aim + catch_up_delay
        last_heard_at = member.last_report_at if self.is_large_fleet else member.last_heard_at
        overloaded_at = member.overloaded_at if self.is_large_fleet else -math.inf
        reported_since_probe = (
            member.last_report_at >= max(member.probed_at, overloaded_at)
            and self.now - member.probed_at < lifetime
        )
        reported_since_start = self.warm_share(member) >= 1 or member.last_report_at > (member.started or 0.0)
        # A large fleet trusts such a replica without a current report, so that it need not probe it.
        is_trusted = (
            self.is_large_fleet
            and reported_since_start
            and overloaded_at == -math.inf
            and member is not member.group.primary
        )
        is_known = self.is_recent_enough(member, min_position) and (
            is_trusted or (last_heard_at > overloaded_at and self.now - last_heard_at < lifetime)
        )
        if is_known or reported_since_probe or not self.settings.may_probe:
            return False
        self.probe(member, lifetime)
        return (
            member.last_report_at < overloaded_at
            or self.now - member.probed_at < TICK_SHORTEST_AIMS * self.shortest_aim
        )

    def required_position(self, pending: Pending, sent_at: float) -> float:
        """Position that a member must have to serve a request sent at `sent_at` (rule 5, no stale read)."""
        is_bounded = pending.request_class.need is Need.BOUNDED
        return sent_at - pending.request_class.bound if is_bounded else pending.min_position

    def is_recent_enough(self, member: Member, min_position: float) -> bool:
        """Whether a member may serve a read that needs `min_position`: rule 5.

        Its position has to be proven. Where members check reads themselves, it suffices that the member was
        not found to be further behind than that.
        """
        return member.position >= min_position or (
            self.settings.members_check and self.now - min_position > member.replication_lag
        )

    def send(self, pending: Pending, member: Member) -> None:
        """Start the next attempt of a request, and check on it later if it is safe to move elsewhere."""
        usual_latency = self.usual_latency[pending.request_class.name]
        attempt = len(pending.tried)
        is_write = pending.request_class.need is Need.WRITE
        pending.in_flight[attempt] = member
        member.load = max(member.load, len(member.in_flight)) + 1
        member.in_flight[pending.request.id, attempt] = InFlightAttempt(
            self.now, usual_latency, member.load, pending.request.session if is_write else None
        )
        member.in_flight_work += usual_latency
        member.expected_rate += 1 / usual_latency
        member.lateness_base = self.now if member.lateness_base == -math.inf else member.lateness_base
        member.lateness_offset += (self.now - member.lateness_base) / usual_latency
        pending.tried.append(member)
        self.actions.append(
            interface.Send(pending.request.id, member.name, pending.request.deadline - self.now, attempt)
        )
        if pending.request_class.effect is Effect.SAFE:
            self.schedule(
                OVERDUE_ATTEMPT_LATENCIES * usual_latency, lambda: self.cancel_if_unhealthy(pending, attempt)
            )

    def cancel_if_unhealthy(self, pending: Pending, attempt: int) -> None:
        """Cancel an overdue attempt at an unhealthy member; its outcome lets the request go elsewhere."""
        if (
            (member := pending.in_flight.get(attempt))
            and self.settings.may_cancel
            and not self.is_healthy(member)
        ):
            self.actions.append(interface.Cancel(pending.request.id, attempt))

    def may_still_send(self, now: float, request: int, attempt: int) -> bool:
        """Whether an attempt that waited for its connection may still be sent at the clock time `now`.

        Checks rule 2 (no effect twice) and rule 5 (no stale read) again, as time has passed since the
        decision.
        """
        self.now = now
        pending = self.requests.get(request)
        if pending is None or attempt not in pending.in_flight or not self.may_repeat(pending):
            return False
        member = pending.in_flight[attempt]
        is_fresh_read = pending.request_class.need is Need.FRESH
        return member is member.group.primary or (
            not is_fresh_read and self.is_recent_enough(member, self.required_position(pending, now))
        )

    # ---- final answers and held requests
    def give_up(self, pending: Pending) -> None:
        """Give a request its one final answer now: refused if its client may retry it, else failed.

        A keyed request that may have run and whose repeats only its own group discards is not left to the
        client, whose retry may go to another group.
        """
        request_class = pending.request_class
        retry_after = self.settings.max_retry_after
        reason = refusal_reason(self, pending)
        only_group_discards = (
            pending.may_have_run_at is not None
            and request_class.effect is Effect.KEYED
            and request_class.group_only
        )
        client_may_retry = self.may_repeat(pending, retry_after) and not only_group_discards
        self.actions.append(
            interface.Refuse(pending.request.id, retry_after, reason)
            if client_may_retry
            else interface.Fail(pending.request.id, reason)
        )
        self.remove_request(pending)

    def remove_request(self, pending: Pending, cancel: bool = True) -> None:
        """Drop a request that needs no more answer; cancel its attempts if `cancel` is set and allowed."""
        pending.group.held[pending.request_class.name].pop(pending.request.id, None)
        self.requests.pop(pending.request.id, None)
        if cancel and self.settings.may_cancel:
            self.actions.extend(
                interface.Cancel(pending.request.id, attempt) for attempt in pending.in_flight
            )
        pending.in_flight.clear()

    def hold(self, pending: Pending) -> None:
        """Keep a request until it can be sent, or give it up if its time ends before the next check.

        A request that reached no member is held for less time than one that did, and its client retries
        later.
        """
        group = pending.group
        hold_end = pending.send_cutoff if pending.reached_member else pending.hold_until
        if self.now + TICK_SHORTEST_AIMS * self.shortest_aim >= hold_end:
            return self.give_up(pending)
        group.held[pending.request_class.name][pending.request.id] = pending
        if not pending.in_hold_ends:
            pending.in_hold_ends = True
            heappush(group.hold_ends, (hold_end, pending.request.id))
        self.schedule_held_check(group)

    def schedule_held_check(self, group: Group) -> None:
        """Set the timer for the next check of a group's held requests, unless it is set."""
        if not group.check_scheduled:
            group.check_scheduled = True
            self.schedule(TICK_SHORTEST_AIMS * self.shortest_aim, lambda: self.maintain_held_requests(group))

    def maintain_held_requests(self, group: Group) -> None:
        """Check held requests: look for a primary, give up those that run out of time, retry some."""
        group.check_scheduled = False
        if any(group.held.values()) and (group.primary is None or not self.is_healthy(group.primary)):
            self.probe_all(group, 4 * TICK_SHORTEST_AIMS * self.shortest_aim)
        next_check_at = self.now + TICK_SHORTEST_AIMS * self.shortest_aim
        while group.hold_ends and group.hold_ends[0][0] <= next_check_at:
            if (pending := self.requests.get(heappop(group.hold_ends)[1])) is not None:
                pending.in_hold_ends = False  # a request in flight is past its time to be held
                if pending.request.id in group.held[pending.request_class.name]:
                    self.hold(pending)  # gives it up if its time ends before the next check
        self.retry_held_requests(group, MAX_MISSES_PER_TICK)
        if any(group.held.values()):
            return self.schedule_held_check(group)
        for pending in [self.requests[number] for _, number in group.hold_ends if number in self.requests]:
            pending.in_hold_ends = False  # a request in flight may be held again later
        group.hold_ends.clear()

    def retry_held_requests(
        self, group: Group, max_misses: int, reporting_member: Member | None = None
    ) -> None:
        """Route held requests again, the class with the most worth for its work first.

        Of each class at most `max_misses` are tried in vain; these move to the end of their queue, so all
        have their turn. News of a `reporting_member` other than the known primary cannot help requests that
        only the primary may serve, so those are not tried for it.
        """
        is_replica_news = (
            reporting_member is not None
            and group.primary is not None
            and reporting_member is not group.primary
        )
        for class_name in sorted(
            group.held, key=lambda name: -self.classes[name].worth / self.usual_latency[name]
        ):
            held = group.held[class_name]
            is_primary_only = self.classes[class_name].need in (Need.WRITE, Need.FRESH)
            misses = max_misses if is_replica_news and is_primary_only else 0
            for number in tuple(islice(held, 4 * max_misses)):
                if number in held and misses < max_misses:
                    self.route(held[number])
                    misses += number in held

    # ---- capacity and health of members
    def warm_share(self, member: Member) -> float:
        """Fraction of its full capacity that a member is sure to have: it grows linearly from its start."""
        cold_time = self.settings.cold_time
        cold_share = self.settings.cold_share
        age = self.now - (member.started or -math.inf)
        return 1.0 if age >= cold_time else cold_share + (1 - cold_share) * max(0.0, age) / cold_time

    def admits(self, pending: Pending, member: Member) -> bool:
        """Whether a member may get a new request by rule 3 (drains) and rule 4 (cold members).

        A cold member takes a share of the requests that grows with its warmth. Each request keeps its draw,
        so a wait or a retry does not draw again and all routers together keep to the share. In a large fleet
        the share of requests that only a primary may serve is raised if they are fewer than an even part of
        the load.
        """
        warm_share = self.warm_share(member)
        admitted_share = COLD_ADMISSION_SHARE * self.settings.fall_multiple * warm_share
        if self.is_large_fleet and pending.request_class.need in (Need.WRITE, Need.FRESH):
            admitted_share /= min(1.0, max(0.5, self.primary_only_share * len(member.group.members)))
        return (warm_share >= 1 or pending.admission_draw < admitted_share) and member.state is State.READY

    def expected_latency(self, member: Member) -> float:
        """Latency in seconds of one more request at a member, at the measured pace of all members.

        It counts the capacity of a cold member as reduced, because cold members may be all that is left.
        """
        return (self.current_load(member) + 1) * self.pace_latency / self.pace_load / self.warm_share(member)

    def update_answer_rate(self, member: Member, answered_work: float = 0.0) -> float:
        """Decay a member's answer rate, add answered work (seconds of usual latency), and return the rate."""
        span = ANSWER_RATE_SPAN_SHORTEST_AIMS * self.shortest_aim
        elapsed = self.now - member.answer_rate_at
        member.answer_rate = member.answer_rate * math.exp(-elapsed / span) + answered_work / span
        member.answer_rate_at = self.now
        return member.answer_rate

    def has_capacity(self, pending: Pending, member: Member) -> bool:
        """Whether a member is expected to answer one more request in time; otherwise the request waits here.

        For a member with attempts of this router in flight, the rate at which it answers them decides. For
        others and for uncrowded ones the pace of all members at its reported load decides, and classes with
        more worth for their work may use more of the capacity.
        """
        request_class = pending.request_class
        expected_latency = self.expected_latency(member)
        if len(member.in_flight) < 2 or expected_latency < UNCROWDED_AIM_SHARE * request_class.aim:
            best_worth_rate = max(
                other.worth / self.usual_latency[other.name] for other in self.settings.classes
            )
            worth_rate = request_class.worth / self.usual_latency[request_class.name]
            rank = worth_rate / best_worth_rate if best_worth_rate else 1.0
            target = (
                LATENCY_TARGET_AIM_SHARE + (BEST_WORTH_TARGET_AIM_SHARE - LATENCY_TARGET_AIM_SHARE) * rank
            )
            return expected_latency <= target * request_class.aim
        queued_work = self.usual_latency[request_class.name] + member.in_flight_work
        answer_rate = self.update_answer_rate(member)
        return queued_work <= LATENCY_TARGET_AIM_SHARE * request_class.aim * answer_rate

    def is_unresponsive(self, member: Member) -> bool:
        """Whether a member seems to hang, to be down or to be cut off.

        That is so after a refused connection, if the answers to all attempts in flight are overdue, or for a
        primary whose position stands still though it may answer probes.
        """
        connect_failed = (
            self.now - member.connect_failed_at < REPORT_LIFETIME_SHORTEST_AIMS * self.shortest_aim
        )
        overdue_answers = 0.0
        silence = self.now - member.last_answer_at
        # A silence shorter than a tick may be a pause of this router.
        if (
            silence >= TICK_SHORTEST_AIMS * self.shortest_aim
            and silence * member.expected_rate >= MAX_OVERDUE_ANSWERS
        ):
            overdue_answers = (
                self.now - member.lateness_base
            ) * member.expected_rate - member.lateness_offset
        return (
            connect_failed
            or overdue_answers >= MAX_OVERDUE_ANSWERS
            or (member.group.primary is member and member.replication_lag > 0)
        )

    def is_healthy(self, member: Member) -> bool:
        """Whether a member is responsive, answers probes in time and had no failure lately that counts."""
        since_probe = self.now - member.probed_at
        # A probe without an answer: the member is down, cut off or far away.
        ignores_probe = (
            member.probed_at > member.last_report_at
            and TICK_SHORTEST_AIMS * self.shortest_aim
            <= since_probe
            < REPORT_LIFETIME_SHORTEST_AIMS * self.shortest_aim
        )
        return (
            not (ignores_probe or self.is_unresponsive(member))
            and self.now - member.failed_at >= FAILURE_MEMORY_SHORTEST_AIMS * self.shortest_aim
        )

    def is_usable(self, pending: Pending, member: Member) -> bool:
        """Whether a member may get a request that nobody else could take.

        Unlike `is_healthy` it ignores failed attempts, since errors alone do not bar a primary from writes.
        """
        return self.admits(pending, member) and not self.is_unresponsive(member)
