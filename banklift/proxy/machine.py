"""The router's core state machine, without I/O: it takes events and returns actions (events.py).

Theory of operation. A front (for example resp/front.py) turns client input into requests. The machine passes each
request to the `Balancer`, which decides where and when to send it, and carries out those decisions. The machine
itself decides only what depends on connections:

- An *attempt* waits for a link to its member, is written, and ends exactly once: by its answer, by a timeout, by a
  cancellation or by the loss of its link. An attempt that ends before any of its bytes were written never ran. Once
  written it may have run, unless the answer says otherwise. A link carries one attempt at a time. Ending an attempt
  early closes its link, so a late answer can't be taken for the answer to another request.
- What members report about their role and position, and what that proves, depends on the protocol: see `Wire.proofs`
  (proxy/wire.py). The machine asks it which status query goes with an attempt and what an answer means, and passes
  the result to the balancer.
- A link on which more bytes arrive than were asked for, with an answer or after it, is closed: the surplus could be
  taken for the answer to another request. For the same reason a request is only written if no bytes of the member are
  unread at that moment. A copy of an answer that comes after that can't be told from the request's own answer.
- A member that restarted with new data is listed to the balancer as gone, and as a new member under a new name:
  what was proven about the old data does not hold for the new.
- The member list arrives unasked, or is requested with `ev.RequestRoster` when the balancer returns `Watch` or `Fetch`.
- The balancer ends every request in time; `Front.done` is called once for each request.
- A request counts in the budget of memory (memory.py) until it has its final answer and all its attempts have ended, as
  those may outlive the answer and the client. A request for which there is no room is refused.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from banklift import interface as io
from banklift.balance import Balancer
from banklift.decide.adopt import adopt
from banklift.decide.queues import Queues
from banklift.interface import Effect, ListKind, State, Status
from banklift.proxy import events as ev
from banklift.proxy.log_limit import LineLimit
from banklift.proxy.memory import (
    CONNECTION_BYTES,
    MEMBER_BYTES,
    REQUEST_BYTES,
    Holding,
    MemoryBudget,
)
from banklift.proxy.plan import Limits
from banklift.proxy.timers import Timer, Timers
from banklift.proxy.wire import (
    BrokenFrame,
    ClientRequest,
    Failed,
    Final,
    Front,
    MemberInfo,
    Proofs,
    Reader,
    Refused,
    Served,
    StatusQuery,
    Wire,
)

PROBE_LINK_VARIANT = -1  # variant of links that carry only probes
# seconds that a link may take beyond the connect timeout: TCP resends a lost SYN after one second
LATE_CONNECT_GRACE_SECONDS = 1.75
# A member that has written unasked does so again, and later than usual: its links rest for longer then. An answer that
# is one request behind arrives within that rest, and ends its link.
ODDITY_MEMORY_SECONDS = 60.0
ODDITY_REST_FACTOR = 10.0  # times `Wire.settle_time`
MAX_UNCLEAN_LINES = 5  # log lines per second about links that members have written on unasked
MAX_UNSERVED_LINES = 20  # log lines per second about unserved requests: an overload must not flood the log
NO_MEMBER_INFO = MemberInfo()


@dataclass(slots=True, eq=False)
class MemberRecord:
    """A member and the router's links to it."""

    name: str
    group: int
    address: str
    state: State
    started: float | None
    balancer_name: str  # the name under which the balancer knows it; a new one whenever its data is new
    generation: int = 0  # number at the end of `balancer_name` that keeps it unique
    links: dict[int, Link] = field(default_factory=dict)
    # by link variant, the last used at the end
    idle_links: dict[int, list[Link]] = field(default_factory=dict)
    # for a link, by link variant
    waiting_attempts: dict[int, OrderedDict[Attempt, None]] = field(default_factory=dict)
    waiting_count: int = 0  # attempts in `waiting_attempts`, of all link variants
    connecting: int = 0  # links that are not yet ready for requests
    probe_link: Link | None = None  # the link that carries its probes now
    odd_until: float = -math.inf  # until when its links rest for longer, as it has written unasked
    pending_probes: deque[float] = field(default_factory=deque)  # when each unanswered probe was asked for
    protocol_state: Any = None  # state that `Proofs` keeps about this member


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a member."""

    id: int
    member: MemberRecord
    link_variant: int
    reader: Reader
    up: bool = False  # the TCP connection is established
    greeting_frames: int = 0  # answers to the greeting that are still missing
    unused: bool = True  # no request or probe has used it
    attempt: Attempt | None = None  # the attempt that it carries
    idle_since: float = 0.0  # when it last became idle or answered a probe
    input_bytes: int = 0  # of an incomplete answer, as counted in the budget of memory


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one member."""

    pending: PendingRequest
    number: int  # counts the request's attempts from 0
    member: MemberRecord
    balancer_name: str  # the member's name at the time of the balancer's decision
    decided_at: float  # when the balancer decided to send it
    expires_at: float  # when it is given up
    written_at: float = math.inf  # when its bytes were written
    link: Link | None = None
    status_query: StatusQuery = StatusQuery.NONE  # the status query sent with it
    frames: list[bytes] = field(default_factory=list)  # received so far
    answer_started: bool = False  # a part of its answer has been received
    ended: bool = False
    status: Status | None = None  # how it ended
    timers: list[Timer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet."""

    id: int
    request: ClientRequest
    arrived: float
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    has_final_answer: bool = False  # it has its final answer, or needs none any more
    may_have_run: bool = False  # an attempt was written and ended without a statement that nothing ran
    abandoned: bool = False  # its client has disconnected
    settled: bool = False  # it was abandoned, and the front knows that its last attempt has ended
    held_bytes: int = 0  # as counted in the budget of memory


class Machine:
    """One router. `handle` takes an event at `now` and returns the actions to carry out, in order.

    `settings` and `seed` configure the balancer, `limits` bounds connections and queues, `groups` is the number of
    member groups, `wire` is the protocol towards members, and `front` builds the protocol towards clients. `memory` is
    the budget of what they may hold; None for one without a limit.
    """

    def __init__(
        self,
        settings: io.Settings,
        limits: Limits,
        groups: int,
        seed: int,
        wire: Wire,
        front: Callable[[Machine], Front],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.limits = limits
        self.memory = MemoryBudget() if memory is None else memory
        self.wire = wire
        self.balancer = Balancer(settings, seed)
        # whether members that vanish from the list without a drain may still get requests
        self.vanished_usable = settings.only_draining_binds
        self.proofs: Proofs = wire.proofs(self, groups)
        self.members: dict[str, MemberRecord] = {}
        self.members_by_balancer_name: dict[str, MemberRecord] = {}  # by `MemberRecord.balancer_name`
        self.links: dict[int, Link] = {}
        self.idle_links: OrderedDict[int, Link] = OrderedDict()  # the longest idle first
        # members that have attempts in `MemberRecord.waiting_attempts`
        self.awaiting_link: dict[MemberRecord, None] = {}
        self.pending: dict[int, PendingRequest] = {}
        # unfinished, by request and number; sent or waiting
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.now = 0.0
        self.input_sent_at: float | None = (
            None  # when the input being read was sent, at the earliest; None while none is read
        )
        self.last_request_id = 0  # the last request's id
        self.last_link_id = 0
        self.timers = Timers()
        self.queues = Queues(limits.queue, settings.max_retry_after)
        self.balancer_events: deque[io.Event] = deque()  # not yet passed to the balancer
        self.in_balancer = False  # `_notify_balancer` is running
        self.actions: list[ev.Action] = []  # to be returned by `handle`
        self.front = front(self)
        self.sweep_scheduled = False  # a timer for `_close_idle` is set
        self.unserved_lines = LineLimit(MAX_UNSERVED_LINES)
        self.unclean_lines = LineLimit(MAX_UNCLEAN_LINES)
        self.drain_deadline = math.inf  # when the last request must be answered, once the router is draining
        # requests are refused from the first time on, with the second as retry-after in seconds
        self.accept_until, self.refusal_retry_after = math.inf, 0.0

    # ---- events

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Process one event at `now` (seconds on the router's clock); return the actions to carry out, in order."""
        self.now, self.actions = now, []
        match event:
            case ev.ClientData(client, data, sent_at_earliest):
                self.input_sent_at = now if sent_at_earliest is None else sent_at_earliest
                self.front.data(client, data)
                self.input_sent_at = None
            case ev.ClientTurn(client, sent_at_earliest):
                self.input_sent_at = sent_at_earliest
                self.front.take_turn(client)
                self.input_sent_at = None
            case ev.LinkData(link, data):
                if link in self.links:
                    self._link_data(self.links[link], data)
            case ev.Wake():
                self.timers.run(now)
            case ev.ClientOpened(client):
                self.front.opened(client)
            case ev.ClientEof(client):
                self.front.eof(client)
            case ev.ClientHalfClosed(client):
                self.front.half_closed(client)
            case ev.ClientLost(client):
                self.front.lost(client)
            case ev.ClientBacklogged(client):
                self.front.set_output_full(client, True)
            case ev.ClientDrained(client):
                self.front.set_output_full(client, False)
            case ev.LinkUp(link):
                if link in self.links:
                    self._link_up(self.links[link])
            case ev.LinkLost(link, reason):
                if link in self.links:
                    self._link_lost(self.links[link], reason)
            case ev.LinkUnclean(link):
                if link in self.links:
                    self._link_unclean(self.links[link])
            case ev.Drain(end):
                self._begin_drain(end)
            case ev.Stop():
                self.front.leave()
            case ev.AcceptUntil(until, retry_after):
                self.accept_until, self.refusal_retry_after = until, retry_after
            case ev.ApplyConfig(settings, limits, plan):
                adopt(self.balancer, settings)
                self.limits = limits
                self.queues.set_limits(limits.queue, settings.max_retry_after)
                self.front.adopt(plan)
            case ev.Roster(members, kind):
                self._apply_roster(members, kind)
        return self.actions

    def _begin_drain(self, end: float) -> None:
        """Start draining: every pending request gets its final answer by `end`, even if its own deadline is later."""
        self.drain_deadline = end
        for pending in self.pending.values():
            pending.deadline = min(pending.deadline, end)
            for attempt in pending.attempts:
                if not attempt.ended and attempt.expires_at > end:
                    attempt.expires_at = end
                    key = pending.id, attempt.number
                    attempt.timers.append(self.call_at(end, lambda key=key: self._attempt_expired(*key)))  # type: ignore[misc]
        self._notify_balancer(io.Shutdown(end))
        self.front.drain()

    @property
    def wake(self) -> float:
        """When the machine needs the next `Wake` event; infinite if it needs none."""
        return self.timers.next

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` at `when`."""
        return self.timers.call_at(when, callback)

    def log(self, event: str, **fields: object) -> None:
        """Write an event to the router's log."""
        self.actions.append(ev.LogEvent(event, fields))

    # ---- requests, for fronts

    def submit(self, request: ClientRequest) -> int:
        """Accept a request from a front and return its id.

        `front.done` is called once for it, possibly before this returns. The id is also added to `request.ids` first.
        """
        self.last_request_id += 1
        request_class, now = request.request_class, self.now
        if now >= self.accept_until:  # the policy's lease has expired; nothing was sent
            request.ids.append(self.last_request_id)
            self.front.done(request, Refused(self.refusal_retry_after))
            return self.last_request_id
        held_bytes = request.size + REQUEST_BYTES
        retry_after = (
            self.queues.enter(request.group, request_class.name, now)
            if self.memory.has_room(held_bytes)
            else self.balancer.settings.max_retry_after
        )
        if retry_after is not None:  # nothing was sent
            request.ids.append(self.last_request_id)
            self.front.done(request, Refused(retry_after))
            return self.last_request_id
        deadline = (
            request.arrived + self.answer_time_limit(request_class)
            if request.deadline is None
            else request.deadline
        )
        pending = PendingRequest(self.last_request_id, request, now, min(deadline, self.drain_deadline))
        pending.held_bytes = held_bytes
        self.memory.take(Holding.REQUESTS, held_bytes)
        self.pending[pending.id] = pending
        request.ids.append(pending.id)
        self._notify_balancer(
            io.Request(
                pending.id,
                request_class.name,
                request.group,
                pending.deadline,
                request.tenant,
                request.session,
                self.proofs.since_write(request, now),
            )
        )
        return pending.id

    def answer_time_limit(self, request_class: io.RequestClass) -> float:
        """Seconds after its arrival by which a request of this class must be answered.

        That is its deadline less `Limits.margin`, which leaves time for the answer to reach the client.
        """
        return max(request_class.deadline - self.limits.margin, request_class.deadline / 2)

    def abandon(self, request: int) -> None:
        """Drop a request whose client has disconnected.

        `front.done` is not called for it any more, but `front.settled` is, once all its attempts have ended.
        """
        if (pending := self.pending.pop(request, None)) is not None:
            pending.has_final_answer = pending.abandoned = True
            self.queues.leave(pending.request.group, pending.request.request_class.name, self.now)
            self._notify_balancer(io.Abandoned(request))
            for attempt in list(pending.attempts):  # unsent attempts end even if the balancer cancels none
                if not attempt.ended and attempt.link is None:
                    self._end_attempt(attempt, Status.MOOT)
            self._release_if_over(pending)

    def _release_if_over(self, pending: PendingRequest) -> None:
        """Give back a request's memory once it has its final answer, or needs none, and all its attempts have ended."""
        if pending.has_final_answer and all(attempt.ended for attempt in pending.attempts):
            self.memory.give_back(Holding.REQUESTS, pending.held_bytes)
            pending.held_bytes = 0
            pending.attempts.clear()  # breaks reference cycles, so that the garbage collector has no work
            if pending.abandoned and not pending.settled:
                pending.settled = True
                self.front.settled(pending.request, pending.may_have_run)

    def defer(self, client: int) -> None:
        """Call `front.take_turn` soon for a client with buffered commands, in turns with other connections."""
        sent_at = self.now if self.input_sent_at is None else self.input_sent_at
        self.actions.append(ev.DeferClient(client, sent_at))

    def probe_group(self, group: int) -> None:
        """Probe each ready member of a group that has no unanswered probe."""
        for member in self.members.values():
            if member.group == group and member.state is State.READY and not member.pending_probes:
                self.probe(member)

    def may_have_run(self, request: int) -> bool:
        """Whether the request may have run: a member received it and has not said that nothing ran."""
        pending = self.pending.get(request)
        return pending is not None and (
            pending.may_have_run
            or any(attempt.link is not None and not attempt.ended for attempt in pending.attempts)
        )

    def safe_to_repeat(self, request: int) -> bool:
        """Whether a client may safely repeat the request at once, even if it has run.

        It has no effect, or the members still discard repeats of it (its idempotency window is open).
        """
        pending = self.pending.get(request)
        if pending is None:
            return False
        request_class = pending.request.request_class
        first_sent = min(
            (attempt.decided_at for attempt in pending.attempts if attempt.link is not None), default=self.now
        )
        repeats_discarded = (
            request_class.effect is Effect.KEYED
            and not request_class.group_only
            and self.now < first_sent + request_class.window
        )
        return request_class.effect is Effect.SAFE or repeats_discarded

    def has_running_attempt(self, request: int) -> bool:
        """Whether an attempt of the request has not ended."""
        pending = self.pending.get(request)
        return pending is not None and any(not attempt.ended for attempt in pending.attempts)

    # ---- the balancer

    def _notify_balancer(self, event: io.Event) -> None:
        """Pass an event to the balancer and carry out its actions.

        Events that those actions cause are queued and passed on afterwards, in order, so the balancer is never
        called recursively.
        """
        self.balancer_events.append(event)
        if self.in_balancer:
            return
        self.in_balancer = True
        try:
            while self.balancer_events:
                for action in self.balancer.handle(self.now, self.balancer_events.popleft()):
                    self._carry_out(action)
        finally:
            self.in_balancer = False

    def _carry_out(self, action: io.Action) -> None:
        """Carry out one action that the balancer returned."""
        match action:
            case io.Send(request, member, timeout, number):
                self._start_attempt(request, number, member, timeout)
            case io.SetTimer(delay, token):
                self.call_at(self.now + delay, lambda: self._notify_balancer(io.Timer(token)))
            case io.Refuse(request, retry_after, reason):
                self._log_unserved(request, "refused", reason)
                self._finish_request(request, Refused(retry_after, self.may_have_run(request)))
            case io.Fail(request, reason):
                self._log_unserved(request, "failed", reason)
                self._finish_request(request, Failed())
            case io.Cancel(request, number):
                self._cancel_attempt(request, number)
            case io.Probe(member):
                if (record := self.members_by_balancer_name.get(member)) is not None:
                    self.proofs.before_probe(record)
                    self.probe(record)
            case io.Log(text):
                self.log("module", text=text)
            case io.Watch():
                self.actions.append(ev.RequestRoster(True))
            case io.Fetch():
                self.actions.append(ev.RequestRoster(False))

    def _log_unserved(self, request: int, answer: str, reason: str) -> None:
        """Log a refused or failed request with the outcome of each attempt, at most `MAX_UNSERVED_LINES` a second.

        Requests without a label are not logged.
        """
        pending = self.pending.get(request)
        if pending is None or not pending.request.label:
            return
        if self.unserved_lines.allows(self.now):
            attempts = [
                f"{attempt.member.name} {attempt.status.name.lower() if attempt.status is not None else 'out'} "
                f"at {round(1000 * (attempt.decided_at - pending.arrived))} ms"
                + (
                    f", {self.now - attempt.member.started:.1f} s old"
                    if attempt.member.started is not None
                    else ""
                )
                for attempt in pending.attempts
            ]
            self.log(
                answer,
                id=pending.request.label.decode("latin-1"),
                kind=pending.request.request_class.name,
                group=pending.request.group,
                reason=reason,
                after_ms=round(1000 * (self.now - pending.arrived)),
                of_ms=round(1000 * (pending.deadline - pending.arrived)),
                again=pending.request.is_retry,
                attempts=attempts,
            )

    def _finish_request(self, request: int, final: Final) -> None:
        """Give a request its final answer, unless it has one."""
        pending = self.pending.pop(request, None)
        if pending is not None:
            pending.has_final_answer = True
            self.queues.leave(pending.request.group, pending.request.request_class.name, self.now)
            self._release_if_over(pending)
            self.front.done(pending.request, final)

    # ---- attempts

    def _start_attempt(self, request: int, number: int, member: str, timeout: float) -> None:
        """Start an attempt at the member of that `balancer_name`: on an idle link, or in the queue for one.

        The balancer has counted the attempt, so one that can't be started needs an outcome as well. Its request may be
        gone: an earlier action of the same event may have answered another request of the same client, which let more
        of that client's input be read, and with it its leave.
        """
        pending, record = self.pending.get(request), self.members_by_balancer_name.get(member)
        if pending is None or record is None:
            self._notify_balancer(io.Outcome(request, number, member, Status.MOOT, pending is None, 0.0))
            return
        expires_at = min(self.now + timeout, pending.deadline)
        attempt = Attempt(pending, number, record, member, self.now, expires_at)
        pending.attempts.append(attempt)
        self.in_flight[request, number] = attempt
        attempt.timers.append(self.call_at(expires_at, lambda: self._attempt_expired(request, number)))
        self._find_link(attempt)

    def _find_link(self, attempt: Attempt) -> None:
        """Write an attempt on an idle link, or put it into the queue for one."""
        request, number, record = attempt.pending.id, attempt.number, attempt.member
        link_variant = attempt.pending.request.exchange.link_variant
        idle = record.idle_links.get(link_variant)
        link = self._take_rested(idle) if idle else None
        if not idle and record.waiting_count >= self.limits.waiting:  # the balancer may choose another member
            self._end_attempt(attempt, Status.MOOT)
            return
        if link is not None:
            self._write_attempt(link, attempt)
            return
        record.waiting_attempts.setdefault(link_variant, OrderedDict())[attempt] = None
        self._count_waiting(record, 1)
        connect_expires_at = min(attempt.expires_at, self.now + self.limits.connect)
        attempt.timers.append(
            self.call_at(connect_expires_at, lambda: self._connect_timeout(request, number))
        )
        # each gets a link as soon as these have rested
        if idle and len(idle) >= len(record.waiting_attempts[link_variant]):
            self.call_at(
                idle[-1].idle_since + self._rest_seconds(record),
                lambda: self._serve_rested(record, link_variant),
            )
        elif len(record.links) < self.limits.links:
            if self._make_room():
                self._open_link(record, link_variant)
        elif (other_idle := next((links for links in record.idle_links.values() if links), None)) is not None:
            self._close_link(other_idle[-1])  # frees a place for a link of this variant

    def _make_room(self) -> bool:
        """Return whether one more link may be opened; at the limit, close the longest idle link of any member."""
        if len(self.links) < self.limits.all_links:
            return True
        if not self.idle_links:
            return False
        self._close_link(next(iter(self.idle_links.values())))
        return len(self.links) < self.limits.all_links

    def _take_waiting(self, member: MemberRecord, link_variant: int) -> Attempt | None:
        """Take the next attempt that waits for a link of this variant off the queue.

        Attempts that the balancer would no longer send end unsent, for example because the proof of the member's
        position is too old by now or the request's idempotency window has closed.
        """
        queue = member.waiting_attempts.get(link_variant)
        while queue:
            attempt = queue.popitem(last=False)[0]
            self._count_waiting(member, -1)
            if self.balancer.may_still_send(self.now, attempt.pending.id, attempt.number):
                return attempt
            self._end_attempt(attempt, Status.MOOT)
        return None

    def _count_waiting(self, member: MemberRecord, more: int) -> None:
        """Add `more` to the number of attempts that wait for a link to the member."""
        member.waiting_count += more
        if member.waiting_count:
            self.awaiting_link[member] = None
        else:
            self.awaiting_link.pop(member, None)

    def _write_attempt(self, link: Link, attempt: Attempt) -> None:
        """Send an attempt on a link, with the status query that it needs."""
        fresh, link.unused = link.unused, False
        link.attempt, attempt.link, attempt.written_at = attempt, link, self.now
        attempt.status_query = self.proofs.choose_query(attempt, fresh)
        payload = attempt.pending.request.exchange.payload(
            attempt.status_query, attempt.expires_at - self.now
        )
        self.actions.append(ev.SendToLink(link.id, payload, only_if_quiet=True))

    def _attempt_expired(self, request: int, number: int) -> None:
        """End an attempt whose time is over."""
        if (attempt := self.in_flight.get((request, number))) is not None:
            self._end_attempt(attempt, Status.TIMEOUT if attempt.link is not None else Status.CONNECT_FAILED)

    def _connect_timeout(self, request: int, number: int) -> None:
        """End an attempt that got no link within the connect timeout."""
        attempt = self.in_flight.get((request, number))
        if attempt is not None and attempt.link is None:
            self._end_attempt(attempt, Status.CONNECT_FAILED)

    def _cancel_attempt(self, request: int, number: int) -> None:
        """Cancel an attempt, if it has not ended."""
        attempt = self.in_flight.get((request, number))
        if attempt is not None:
            self._end_attempt(attempt, Status.CANCELLED if attempt.link is not None else Status.MOOT)

    def _end_attempt(
        self,
        attempt: Attempt,
        status: Status,
        member_info: MemberInfo = NO_MEMBER_INFO,
        served: Served | None = None,
        rejected: bool = False,
    ) -> None:
        """End an attempt and tell the balancer its outcome; close its link after a timeout or a cancellation.

        `member_info` is what was learnt about the member, `served` the request's answer, if the attempt brought one;
        `rejected` says that the member stated that nothing ran.
        """
        attempt.ended, attempt.status = True, status
        if attempt.link is not None and not rejected:
            attempt.pending.may_have_run = True
        self.in_flight.pop((attempt.pending.id, attempt.number), None)
        member, link, pending = attempt.member, attempt.link, attempt.pending
        for timer in attempt.timers:
            self.timers.cancel(timer)
        if link is None:
            queue = member.waiting_attempts.get(pending.request.exchange.link_variant)
            if queue is not None and attempt in queue:
                del queue[attempt]
                self._count_waiting(member, -1)
        else:
            link.attempt = None
            if status in (Status.TIMEOUT, Status.CANCELLED) and link.id in self.links:
                self._close_link(link)
        attempt.timers.clear()
        attempt.frames = []  # a part of them is the answer; the request may go on for longer than that is needed
        finished = pending.has_final_answer or served is not None
        if served is not None:
            self._finish_request(pending.id, served)
        outcome = io.Outcome(
            pending.id,
            attempt.number,
            attempt.balancer_name,
            status,
            finished,
            self.now - attempt.decided_at,
            member_info.primary,
            member_info.position,
            member_info.report,
        )
        # Delayed for an abandoned request: clients may disconnect together, and the freed capacity must not go to a
        # request whose client is reported gone only later in the same moment.
        if pending.abandoned:
            self.call_at(self.now, lambda: self._notify_balancer(outcome))
        else:
            self._notify_balancer(outcome)
        self._release_if_over(pending)

    def _answer_received(self, link: Link, attempt: Attempt, last: bool) -> None:
        """Handle the frames received for an attempt: end it, if they are a whole answer or say that nothing ran.

        `last` says that no bytes follow the newest frame, so the link can be used again.
        """
        exchange = attempt.pending.request.exchange
        result = exchange.interpret(attempt.frames, attempt.status_query)
        if result is None:
            return
        attempt_result = self.proofs.interpret(attempt, result)
        complete = (
            last and not result.link_unusable and len(attempt.frames) >= exchange.frames(attempt.status_query)
        )
        served = attempt_result.served if not attempt.pending.has_final_answer else None
        self._end_attempt(
            attempt, attempt_result.status, attempt_result.member_info, served, result.status in io.NEVER_RAN
        )
        if link.id in self.links:
            if complete:
                self._link_free(link)
            else:
                if not last:  # more than the answer has come
                    self._note_oddity(link.member)
                self._close_link(link)

    # ---- probes

    def probe(self, member: MemberRecord) -> None:
        """Ask a member for its role, position and load, on its probe link or an idle link."""
        link, asked_at = member.probe_link, self.now
        if link is None:
            apart, idle = self.wire.has_probe_links, member.idle_links.get(0)
            link = self._take_rested(idle) if idle and not apart else None
            if link is None and not apart and not self._make_room():
                self.probe_failed(member, asked_at)
                return
            link = member.probe_link = link or self._open_link(member, PROBE_LINK_VARIANT if apart else 0)
        member.pending_probes.append(asked_at)
        is_first = len(member.pending_probes) == 1  # no answer to an earlier one may be unread
        if link.up and not link.greeting_frames and (self.wire.pipelines_probes or is_first):
            self.actions.append(ev.SendToLink(link.id, self.wire.probe(), only_if_quiet=is_first))
        self.call_at(asked_at + self.limits.probe, lambda: self._probe_expired(member, link, asked_at))

    def _probe_expired(self, member: MemberRecord, link: Link, asked_at: float) -> None:
        """Fail a probe that got no answer within `Limits.probe`, and all others on its link."""
        if member.probe_link is link and member.pending_probes and member.pending_probes[0] <= asked_at:
            self._fail_probes(member)
            self._close_link(link)

    def _fail_probes(self, member: MemberRecord) -> None:
        """Fail every unanswered probe of a member."""
        probe_times = list(member.pending_probes)
        member.pending_probes.clear()
        member.probe_link = None
        for asked_at in probe_times:
            self.probe_failed(member, asked_at)
        self.proofs.probes_failed(member)

    def _probe_answered(self, link: Link, frame: bytes) -> None:
        """Handle a frame on a probe link: the answer to the oldest probe."""
        member = link.member
        if not member.pending_probes:
            self._close_link(link)  # an answer without a probe
            return
        asked_at = member.pending_probes.popleft()
        link.idle_since = self.now
        if member.pending_probes and not self.wire.pipelines_probes:
            self.actions.append(ev.SendToLink(link.id, self.wire.probe()))
        elif not member.pending_probes and link.link_variant != PROBE_LINK_VARIANT:
            member.probe_link, link.unused = None, False
            self._link_free(link)
        self.proofs.probe_answered(member, asked_at, frame)

    def probe_failed(self, member: MemberRecord, asked_at: float) -> None:
        """Tell the balancer that a probe, asked for at `asked_at`, got no usable answer."""
        self._notify_balancer(io.Probed(member.balancer_name, False, self.now - asked_at))

    def report_probe(self, member: MemberRecord, asked_at: float, report: io.Report | None) -> None:
        """Tell the balancer what a probe, asked for at `asked_at`, has found; None if the answer had no report."""
        self._notify_balancer(io.Probed(member.balancer_name, True, self.now - asked_at, report))

    # ---- links

    def _open_link(self, member: MemberRecord, link_variant: int) -> Link:
        """Open a link to a member."""
        self.last_link_id += 1
        link = Link(self.last_link_id, member, link_variant, self.wire.reader())
        self.links[link.id] = link
        self.memory.take(Holding.CONNECTIONS, CONNECTION_BYTES)
        if link_variant != PROBE_LINK_VARIANT:
            member.links[link.id] = link
            member.connecting += 1
        self.actions.append(ev.OpenLink(link.id, member.address))
        self.call_at(
            self.now + self.limits.connect + LATE_CONNECT_GRACE_SECONDS, lambda: self._connect_expired(link)
        )
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.call_at(self.now + self.limits.idle / 2, self._close_idle)
        return link

    def _connect_expired(self, link: Link) -> None:
        """Close a link that is not ready after the connect timeout and `LATE_CONNECT_GRACE_SECONDS`.

        A link that comes up late can still be used. One that never does would hold a file descriptor and a place
        under the limits for ever.
        """
        if link.id in self.links and (not link.up or link.greeting_frames):
            self.log("connect failed", member=link.member.name, reason="not connected in time")
            self._close_link(link)

    def _link_up(self, link: Link) -> None:
        """Handle an established connection: send the greeting, if the protocol has one."""
        link.up = True
        greeting, link.greeting_frames = self.wire.greeting(link.link_variant)
        if greeting:
            self.actions.append(ev.SendToLink(link.id, greeting))
        if not link.greeting_frames:
            self._greeting_done(link)

    def _greeting_done(self, link: Link) -> None:
        """Put a link into service whose greeting is answered; on a probe link, send the probes that wait."""
        if link.link_variant != PROBE_LINK_VARIANT:
            link.member.connecting -= 1
        if link is not link.member.probe_link:
            self._link_free(link)
        elif asked := len(link.member.pending_probes):
            self.actions.append(
                ev.SendToLink(link.id, self.wire.probe() * (asked if self.wire.pipelines_probes else 1))
            )

    def _link_free(self, link: Link) -> None:
        """Give a free link to the next attempt that waits for its variant, or make it idle."""
        member = link.member
        if member.state is State.GONE or (
            link.link_variant != PROBE_LINK_VARIANT and link.member.address == ""
        ):
            self._close_link(link)
            return
        # surplus bytes behind an answer arrive within `Wire.settle_time`
        must_rest = self.wire.settle_time and not link.unused
        attempt = None if must_rest else self._take_waiting(member, link.link_variant)
        if attempt is not None:
            self._write_attempt(link, attempt)
            return
        link.idle_since = self.now
        member.idle_links.setdefault(link.link_variant, []).append(link)
        self.idle_links[link.id] = link
        if must_rest and member.waiting_count:
            self.call_at(
                self.now + self._rest_seconds(member), lambda: self._serve_rested(member, link.link_variant)
            )

    def _rest_seconds(self, member: MemberRecord) -> float:
        """Seconds for which a link of this member rests after an answer."""
        is_odd = self.now < member.odd_until
        return self.wire.settle_time * (ODDITY_REST_FACTOR if is_odd else 1.0)

    def _note_oddity(self, member: MemberRecord) -> None:
        """A member has written on a link what no request asked for; the link is closed by the caller."""
        member.odd_until = self.now + ODDITY_MEMORY_SECONDS
        if self.unclean_lines.allows(self.now):
            self.log("link out of step", member=member.name)

    def _take_rested(self, idle: list[Link]) -> Link | None:
        """Take the most recently used link that may be used now: it is unused, or has rested."""
        rest_seconds = self._rest_seconds(idle[0].member) if idle else 0.0
        for index in range(len(idle) - 1, -1, -1):
            if idle[index].unused or idle[index].idle_since + rest_seconds <= self.now:
                link = idle.pop(index)
                del self.idle_links[link.id]
                return link
        return None

    def _serve_rested(self, member: MemberRecord, link_variant: int) -> None:
        """Give rested idle links to attempts that wait for them."""
        while (
            member.waiting_attempts.get(link_variant)
            and (link := self._take_rested(member.idle_links.get(link_variant, []))) is not None
        ):
            attempt = self._take_waiting(member, link_variant)
            if attempt is None:  # every waiting attempt ended unsent
                member.idle_links[link_variant].append(link)
                self.idle_links[link.id] = link
                return
            self._write_attempt(link, attempt)

    def _link_data(self, link: Link, data: bytes) -> None:
        """Handle bytes from a member: answers to the greeting, to probes and to the link's attempt."""
        try:
            frames = link.reader.feed(data)
        except BrokenFrame as error:
            if link.attempt is None:
                self._note_oddity(link.member)
            self._link_lost(link, f"protocol: {error}")
            return
        if (buffered := link.reader.buffered_bytes) != link.input_bytes:
            self.memory.take(Holding.MEMBER_INPUT, buffered - link.input_bytes)
            link.input_bytes = buffered
        at_boundary = link.reader.is_at_frame_boundary
        for count, frame in enumerate(frames, 1):
            if link.id not in self.links:
                return
            if self.wire.is_unsolicited(frame):
                continue
            if link.greeting_frames:
                link.greeting_frames -= 1
                if not self.wire.accepts_greeting(frame):
                    self.log(
                        "link refused", member=link.member.name, answer=frame[:200].decode("latin-1").strip()
                    )
                    self._link_lost(link, "greeting refused")
                    return
                if not link.greeting_frames:
                    self._greeting_done(link)
            elif link is link.member.probe_link:
                self._probe_answered(link, frame)
            elif link.attempt is not None:
                link.attempt.frames.append(frame)
                last = at_boundary and (
                    count == len(frames) or all(map(self.wire.is_unsolicited, frames[count:]))
                )
                self._answer_received(link, link.attempt, last)
            else:  # an answer without a request: nothing on this link can be trusted
                self._note_oddity(link.member)
                self._close_link(link)
                return
        if link.attempt is None and link.id in self.links and not at_boundary:  # bytes without a request
            self._note_oddity(link.member)
            # a probe's answer would be lost with the link
            if link is link.member.probe_link and link.member.pending_probes:
                self._link_lost(link, "unexpected bytes after an answer")
            else:
                self._close_link(link)
        attempt = link.attempt
        if attempt is None:
            return
        if not at_boundary and not attempt.answer_started and self.wire.answer_completion_limit < math.inf:
            attempt.answer_started = True
            attempt.timers.append(
                self.call_at(
                    self.now + self.wire.answer_completion_limit, lambda: self._answer_stalled(link, attempt)
                )
            )
        if len(attempt.frames) == 1 and attempt.status_query:
            self.proofs.first_frame(attempt)

    def _answer_stalled(self, link: Link, attempt: Attempt) -> None:
        """Treat a link as lost whose answer has started and is not complete after `Wire.answer_completion_limit`."""
        if link.attempt is attempt and link.id in self.links:
            self._link_lost(link, "an answer was not completed in time")

    def _link_lost(self, link: Link, reason: str) -> None:
        """End a link that could not be opened, broke or violated the protocol, and what it carried.

        An attempt whose answer had already arrived in full is served. An attempt that waits for the link ends only if
        the link never came up: one attempt for each failed link.
        """
        was_up = link.up and not link.greeting_frames
        attempt, is_probe_link = link.attempt, link is link.member.probe_link
        if link.up:
            self._close_link(link)
        else:
            self._forget_link(link)
        member = link.member
        if is_probe_link:
            self._fail_probes(member)
        if attempt is not None:
            result = attempt.pending.request.exchange.result_of_broken_link(
                attempt.frames, attempt.status_query
            )
            if result is None or attempt.pending.has_final_answer:
                self._end_attempt(attempt, Status.RESET)
            else:
                rejected = result.status in io.NEVER_RAN
                served = (
                    self.proofs.interpret_broken_link(attempt, result) if result.status is Status.OK else None
                )
                self._end_attempt(attempt, result.status, served=served, rejected=rejected)
        elif not was_up and link.link_variant != PROBE_LINK_VARIANT:
            self.log("connect failed", member=member.name, reason=reason)
            waiting = self._take_waiting(member, link.link_variant)
            if waiting is not None:
                self._end_attempt(waiting, Status.CONNECT_FAILED)
        # other attempts that wait have a link that is connecting, or wait for a busy one
        self._open_for_waiting(member)
        self._open_for_others()

    def _link_unclean(self, link: Link) -> None:
        """Close a link on which nothing was written, as bytes are unread that belong to no request.

        The attempt that should have been written was not sent, so it looks for another link.
        """
        self._note_oddity(link.member)
        attempt = link.attempt
        if attempt is None:
            self._link_lost(link, "unexpected bytes before a probe")
            return
        link.attempt = attempt.link = None
        attempt.written_at = math.inf
        self._close_link(link)
        may_be_sent = self.balancer.may_still_send(self.now, attempt.pending.id, attempt.number)
        if may_be_sent and attempt.member.state is State.READY:
            self._find_link(attempt)
        else:
            self._end_attempt(attempt, Status.MOOT)

    def _open_for_waiting(self, member: MemberRecord) -> None:
        """Open a link to a member if attempts wait for one and no link is connecting."""
        if (
            member.waiting_count
            and not member.connecting
            and len(member.links) < self.limits.links
            and self._make_room()
        ):
            first = min(
                (next(iter(queue)) for queue in member.waiting_attempts.values() if queue),
                key=lambda attempt: attempt.decided_at,
            )
            self._open_link(member, first.pending.request.exchange.link_variant)

    def _close_link(self, link: Link) -> None:
        """Close a link, unless it is closed, and use its place for attempts that wait."""
        if link.id in self.links:
            self._forget_link(link)
            self.actions.append(ev.CloseLink(link.id))
            self._open_for_waiting(link.member)
            self._open_for_others()

    def _open_for_others(self) -> None:
        """Open links to members that waited for a place, if the limit of all links was reached until now."""
        if len(self.links) == self.limits.all_links - 1:
            for member in list(self.awaiting_link):
                self._open_for_waiting(member)

    def _forget_link(self, link: Link) -> None:
        """Remove a closed or lost link from all tables."""
        member = link.member
        del self.links[link.id]
        self.memory.give_back(Holding.CONNECTIONS, CONNECTION_BYTES)
        self.memory.give_back(Holding.MEMBER_INPUT, link.input_bytes)
        link.input_bytes = 0
        if member.probe_link is link:
            member.probe_link = None
        if link.link_variant == PROBE_LINK_VARIANT:
            return
        member.links.pop(link.id, None)
        if not link.up or link.greeting_frames:
            member.connecting -= 1
        if self.idle_links.pop(link.id, None) is not None:
            member.idle_links[link.link_variant].remove(link)

    def _close_idle(self) -> None:
        """Close the links that were idle for `Limits.idle`, and schedule the next run."""
        used_before = self.now - self.limits.idle
        for member in self.members.values():
            if (
                member.probe_link is not None
                and member.probe_link.up
                and not member.pending_probes
                and member.probe_link.idle_since <= used_before
            ):
                self._close_link(member.probe_link)
            for idle in member.idle_links.values():
                for link in [link for link in idle if link.idle_since <= used_before]:
                    self._close_link(link)
        self.sweep_scheduled = bool(self.links)
        if self.sweep_scheduled:
            self.call_at(self.now + self.limits.idle / 2, self._close_idle)

    # ---- members

    def _apply_roster(self, members: tuple[ev.ListedMember, ...], kind: ListKind = ListKind.FULL) -> None:
        """Apply a member list or a list of changes, and pass it to the balancer with its names of the members."""
        if kind is ListKind.FAILED:
            self._notify_balancer(io.Listing(kind))
            return
        present_names = {listed.name for listed in members if listed.state is not State.GONE}
        listed_names = {listed.name for listed in members}
        gone = [
            member
            for member in self.members.values()
            if member.name not in present_names
            and (kind is not ListKind.CHANGES or member.name in listed_names)
            # the balancer keeps using these
            and not (self.vanished_usable and member.state is State.READY)
        ]
        for member in gone:
            self._remove_member(member)
        # a list of changes has to name the removed members
        entries = [io.Entry(member.balancer_name, member.group, State.GONE) for member in gone]
        for listed in members:
            if listed.state is State.GONE:
                continue
            known = self.members.get(listed.name)
            if known is not None and (known.address != listed.address or known.group != listed.group):
                # another process under the same name; the old one is listed as draining, so that its end is final
                self._remove_member(known)
                entries.append(io.Entry(known.balancer_name, known.group, State.DRAINING))
                entries.append(io.Entry(known.balancer_name, known.group, State.GONE))
                known = None
            if known is not None:
                member = known
            else:
                member = MemberRecord(
                    listed.name,
                    listed.group,
                    listed.address,
                    listed.state,
                    listed.started,
                    listed.name,
                    protocol_state=self.proofs.new_member_state(),
                )
                generation = 0
                # a predecessor under this name still has attempts
                while member.balancer_name in self.balancer.members:
                    generation += 1
                    member.balancer_name, member.generation = f"{listed.name}~{generation}", generation
                self.members[member.name] = self.members_by_balancer_name[member.balancer_name] = member
                self.memory.take(Holding.MEMBERS, MEMBER_BYTES)
            if member.state is not listed.state:
                self.log("member", member=member.name, state=listed.state.name.lower())
            member.state, member.started = listed.state, listed.started
            if member.state is not State.READY:
                for idle in member.idle_links.values():
                    for link in list(idle):
                        self._close_link(link)
            entries.append(
                io.Entry(member.balancer_name, member.group, member.state, member.started, listed.primary)
            )
        if kind is not ListKind.CHANGES and not self.vanished_usable:
            entries = [entry for entry in entries if entry.state is not State.GONE]
        self._notify_balancer(io.Listing(kind, tuple(entries)))

    def _remove_member(self, member: MemberRecord) -> None:
        """Remove a member that is no longer listed, or was replaced: nothing new is sent to it.

        Attempts that wait end unsent; attempts that were sent go on until they end.
        """
        self.log("member", member=member.name, state="gone")
        member.state = State.GONE
        del self.members[member.name]
        self.memory.give_back(Holding.MEMBERS, MEMBER_BYTES)
        self.members_by_balancer_name.pop(member.balancer_name, None)
        self.proofs.forget(member)
        for queue in member.waiting_attempts.values():
            for attempt in list(queue):
                self._end_attempt(attempt, Status.MOOT)
        for link in list(member.links.values()):
            if link.attempt is None:
                self._close_link(link)
        if member.probe_link is not None:
            self._close_link(member.probe_link)

    def data_replaced(self, member: MemberRecord) -> None:
        """Give a member whose data was replaced a new name towards the balancer, so that no old proof applies."""
        old_name = member.balancer_name
        member.generation += 1
        member.balancer_name = f"{member.name}~{member.generation}"
        del self.members_by_balancer_name[old_name]
        self.members_by_balancer_name[member.balancer_name] = member
        self.log("member's data began anew", member=member.name)
        entries = (
            io.Entry(old_name, member.group, State.GONE),
            io.Entry(member.balancer_name, member.group, member.state, member.started),
        )
        self._notify_balancer(io.Listing(io.ListKind.CHANGES, entries))
