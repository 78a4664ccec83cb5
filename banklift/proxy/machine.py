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
  taken for the answer to another request.
- A member that restarted with new data is listed to the balancer as gone, and as a new member under a new name:
  what was proven about the old data does not hold for the new.
- The member list arrives unasked, or is requested with `ev.AskRoster` when the balancer returns `Watch` or `Fetch`.
- The balancer ends every request in time; `Front.done` is called once for each request.
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
from banklift.proxy.plan import Limits
from banklift.proxy.timers import Timer, Timers
from banklift.proxy.wire import (
    Ask,
    BrokenFrame,
    Failed,
    Final,
    Front,
    Proofs,
    Question,
    Reader,
    Refused,
    Served,
    Told,
    Wire,
)

PROBE_FLAVOUR = -1  # flavour of links that carry only probes
# seconds that a link may take beyond the connect timeout: TCP resends a lost SYN after one second
LATE_CONNECT_GRACE = 1.75
MAX_UNSERVED_LINES = 20  # log lines per second about unserved requests: an overload must not flood the log
NO_MEMBER_INFO = Told()


@dataclass(slots=True, eq=False)
class Node:
    """A member and the router's links to it."""

    name: str
    group: int
    address: str
    state: State
    started: float | None
    balancer_name: str  # the name under which the balancer knows it; a new one whenever its data is new
    generation: int = 0  # number at the end of `balancer_name` that keeps it unique
    links: dict[int, Link] = field(default_factory=dict)
    idle: dict[int, list[Link]] = field(default_factory=dict)  # by flavour, the last used at the end
    waiting: dict[int, OrderedDict[Attempt, None]] = field(default_factory=dict)  # for a link, by flavour
    queued: int = 0  # attempts in `waiting`, of all flavours
    connecting: int = 0  # links that are not yet ready for requests
    prober: Link | None = None  # the link that carries its probes now
    probes: deque[float] = field(default_factory=deque)  # when each unanswered probe was asked for
    lore: Any = None  # state that `Proofs` keeps about this member


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a member."""

    id: int
    node: Node
    flavour: int
    reader: Reader
    up: bool = False  # the TCP connection is established
    greeting_frames: int = 0  # answers to the greeting that are still missing
    unused: bool = True  # no request or probe has used it
    attempt: Attempt | None = None  # the attempt that it carries
    since: float = 0.0  # when it last became idle or answered a probe


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at one member."""

    open: PendingRequest
    number: int  # counts the request's attempts from 0
    node: Node
    balancer_name: str  # the member's name at the time of the balancer's decision
    decided_at: float  # when the balancer decided to send it
    expires_at: float  # when it is given up
    asked: float = math.inf  # when its bytes were written
    link: Link | None = None
    question: Question = Question.NONE  # the status query sent with it
    frames: list[bytes] = field(default_factory=list)  # received so far
    answer_started: bool = False  # a part of its answer has been received
    ended: bool = False
    status: Status | None = None  # how it ended
    timers: list[Timer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet."""

    id: int
    ask: Ask
    arrived: float
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    send_count: int = 0  # the balancer's `Send` actions, also those to members that no longer exist
    final: bool = False  # it has its final answer, or needs none any more
    may_have_run: bool = False  # an attempt was written and ended without a statement that nothing ran
    abandoned: bool = False  # its client has disconnected


class Machine:
    """One router. `handle` takes an event at `now` and returns the actions to carry out, in order.

    `settings` and `seed` configure the balancer, `limits` bounds connections and queues, `groups` is the number of
    member groups, `wire` is the protocol towards members, and `front` builds the protocol towards clients.
    """

    def __init__(
        self,
        settings: io.Settings,
        limits: Limits,
        groups: int,
        seed: int,
        wire: Wire,
        front: Callable[[Machine], Front],
    ) -> None:
        self.limits = limits
        self.wire = wire
        self.balancer = Balancer(settings, seed)
        # whether members that vanish from the list without a drain may still get requests
        self.vanished_usable = settings.only_draining_binds
        self.proofs: Proofs = wire.proofs(self, groups)
        self.nodes: dict[str, Node] = {}
        self.aliases: dict[str, Node] = {}  # by `Node.balancer_name`
        self.links: dict[int, Link] = {}
        self.idle: OrderedDict[int, Link] = OrderedDict()  # the longest idle first
        self.awaiting_link: dict[Node, None] = {}  # members that have attempts in `Node.waiting`
        self.open: dict[int, PendingRequest] = {}
        self.flying: dict[tuple[int, int], Attempt] = {}  # unfinished, by request and number; sent or waiting
        self.now = 0.0
        self.arrived: float | None = (
            None  # when the input being read was sent, at the earliest; None while none is read
        )
        self.ids = 0  # the last request's id
        self.last_link_id = 0
        self.timers = Timers()
        self.queues = Queues(limits.queue, settings.max_retry_after)
        self.balancer_events: deque[io.Event] = deque()  # not yet passed to the balancer
        self.in_balancer = False  # `_notify_balancer` is running
        self.actions: list[ev.Action] = []  # to be returned by `handle`
        self.front = front(self)
        self.sweep_scheduled = False  # a timer for `_close_idle` is set
        # log lines written about requests that were not served, and the second that the count is for
        self.unserved_second, self.unserved_lines = 0, 0
        self.end = math.inf  # when the last request must be answered, once the router is draining
        # requests are refused from the first time on, with the second as retry-after in seconds
        self.accept_until, self.refusal_retry_after = math.inf, 0.0

    # ---- events

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Process one event at `now` (seconds on the router's clock); return the actions to carry out, in order."""
        self.now, self.actions = now, []
        match event:
            case ev.ClientData(client, data, since):
                self.arrived = now if since is None else since
                self.front.data(client, data)
                self.arrived = None
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
            case ev.ClientFull(client):
                self.front.full(client, True)
            case ev.ClientFree(client):
                self.front.full(client, False)
            case ev.LinkUp(link):
                if link in self.links:
                    self._link_up(self.links[link])
            case ev.LinkLost(link, reason):
                if link in self.links:
                    self._link_lost(self.links[link], reason)
            case ev.Drain(end):
                self._begin_drain(end)
            case ev.Leave():
                self.front.leave()
            case ev.Until(until, back):
                self.accept_until, self.refusal_retry_after = until, back
            case ev.Adopt(settings, limits, plan):
                adopt(self.balancer, settings)
                self.limits = limits
                self.queues.set_limits(limits.queue, settings.max_retry_after)
                self.front.adopt(plan)
            case ev.Roster(members, kind):
                self._roster(members, kind)
        return self.actions

    def _begin_drain(self, end: float) -> None:
        """Start draining: every pending request gets its final answer by `end`, even if its own deadline is later."""
        self.end = end
        for pending in self.open.values():
            pending.deadline = min(pending.deadline, end)
            for attempt in pending.attempts:
                if not attempt.ended and attempt.expires_at > end:
                    attempt.expires_at = end
                    key = pending.id, attempt.number
                    attempt.timers.append(self.at(end, lambda key=key: self._attempt_expired(*key)))  # type: ignore[misc]
        self._notify_balancer(io.Shutdown(end))
        self.front.drain()

    @property
    def wake(self) -> float:
        """When the machine needs the next `Wake` event; infinite if it needs none."""
        return self.timers.next

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` at `when`."""
        return self.timers.at(when, callback)

    def log(self, event: str, **fields: object) -> None:
        """Write an event to the router's log."""
        self.actions.append(ev.Note(event, fields))

    # ---- requests, for fronts

    def submit(self, ask: Ask) -> int:
        """Accept a request from a front and return its id.

        `front.done` is called once for it, possibly before this returns. The id is also added to `ask.ids` first.
        """
        self.ids += 1
        request_class, now = ask.kind, self.now
        if now >= self.accept_until:  # the policy's lease has expired; nothing was sent
            ask.ids.append(self.ids)
            self.front.done(ask, Refused(self.refusal_retry_after))
            return self.ids
        retry_after = self.queues.enter(ask.group, request_class.name, now)
        if retry_after is not None:  # nothing was sent
            ask.ids.append(self.ids)
            self.front.done(ask, Refused(retry_after))
            return self.ids
        deadline = ask.arrived + self.patience(request_class) if ask.deadline is None else ask.deadline
        request = PendingRequest(self.ids, ask, now, min(deadline, self.end))
        self.open[request.id] = request
        ask.ids.append(request.id)
        self._notify_balancer(
            io.Request(
                request.id,
                request_class.name,
                ask.group,
                request.deadline,
                ask.tenant,
                ask.session,
                self.proofs.since_write(ask, now),
            )
        )
        return request.id

    def patience(self, kind: io.RequestClass) -> float:
        """Seconds after its arrival by which a request of this class must be answered.

        That is its deadline less `Limits.margin`, which leaves time for the answer to reach the client.
        """
        return max(kind.deadline - self.limits.margin, kind.deadline / 2)

    def abandon(self, request: int) -> None:
        """Drop a request whose client has disconnected; `front.done` is not called for it any more."""
        if (pending := self.open.pop(request, None)) is not None:
            pending.final = pending.abandoned = True
            self.queues.leave(pending.ask.group, pending.ask.kind.name, self.now)
            self._notify_balancer(io.Abandoned(request))
            for attempt in list(pending.attempts):  # unsent attempts end even if the balancer cancels none
                if not attempt.ended and attempt.link is None:
                    self._end_attempt(attempt, Status.MOOT)

    def refresh(self, group: int) -> None:
        """Probe each ready member of a group that has no unanswered probe."""
        for node in self.nodes.values():
            if node.group == group and node.state is State.READY and not node.probes:
                self.probe(node)

    def touched(self, request: int) -> bool:
        """Whether the request may have run: a member received it and has not said that nothing ran."""
        pending = self.open.get(request)
        return pending is not None and (
            pending.may_have_run
            or any(attempt.link is not None and not attempt.ended for attempt in pending.attempts)
        )

    def repeats(self, request: int) -> bool:
        """Whether a client may safely repeat the request at once, even if it has run.

        It has no effect, or the members still discard repeats of it (its idempotency window is open).
        """
        pending = self.open.get(request)
        if pending is None:
            return False
        request_class = pending.ask.kind
        first_sent = min(
            (attempt.decided_at for attempt in pending.attempts if attempt.link is not None), default=self.now
        )
        repeats_discarded = (
            request_class.effect is Effect.KEYED
            and not request_class.group_only
            and self.now < first_sent + request_class.window
        )
        return request_class.effect is Effect.SAFE or repeats_discarded

    def under_way(self, request: int) -> bool:
        """Whether an attempt of the request has not ended."""
        pending = self.open.get(request)
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
            case io.Send(request, member, timeout):
                self._send(request, member, timeout)
            case io.SetTimer(delay, token):
                self.at(self.now + delay, lambda: self._notify_balancer(io.Timer(token)))
            case io.Refuse(request, retry_after, reason):
                self._log_unserved(request, "refused", reason)
                self._finish(request, Refused(retry_after, self.touched(request)))
            case io.Fail(request, reason):
                self._log_unserved(request, "failed", reason)
                self._finish(request, Failed())
            case io.Cancel(request, number):
                self._cancel_attempt(request, number)
            case io.Probe(member):
                if (node := self.aliases.get(member)) is not None:
                    self.proofs.probing(node)
                    self.probe(node)
            case io.Log(text):
                self.log("module", text=text)
            case io.Watch():
                self.actions.append(ev.AskRoster(True))
            case io.Fetch():
                self.actions.append(ev.AskRoster(False))

    def _log_unserved(self, request: int, answer: str, reason: str) -> None:
        """Log a refused or failed request with the outcome of each attempt, at most `MAX_UNSERVED_LINES` a second.

        Requests without a label are not logged.
        """
        pending, second = self.open.get(request), int(self.now)
        if pending is None or not pending.ask.label:
            return
        if second != self.unserved_second:
            self.unserved_second, self.unserved_lines = second, 0
        self.unserved_lines += 1
        if self.unserved_lines <= MAX_UNSERVED_LINES:
            attempts = [
                f"{attempt.node.name} {attempt.status.name.lower() if attempt.status is not None else 'out'} "
                f"at {round(1000 * (attempt.decided_at - pending.arrived))} ms"
                + (
                    f", {self.now - attempt.node.started:.1f} s old"
                    if attempt.node.started is not None
                    else ""
                )
                for attempt in pending.attempts
            ]
            self.log(
                answer,
                id=pending.ask.label.decode("latin-1"),
                kind=pending.ask.kind.name,
                group=pending.ask.group,
                reason=reason,
                after_ms=round(1000 * (self.now - pending.arrived)),
                of_ms=round(1000 * (pending.deadline - pending.arrived)),
                again=pending.ask.again,
                attempts=attempts,
            )

    def _finish(self, request: int, final: Final) -> None:
        """Give a request its final answer, unless it has one."""
        pending = self.open.pop(request, None)
        if pending is not None:
            pending.final = True
            self.queues.leave(pending.ask.group, pending.ask.kind.name, self.now)
            self.front.done(pending.ask, final)

    # ---- attempts

    def _send(self, request: int, member: str, timeout: float) -> None:
        """Start an attempt at the member of that `balancer_name`: on an idle link, or in the queue for one."""
        pending, node = self.open.get(request), self.aliases.get(member)
        if pending is None:
            return
        number, pending.send_count = pending.send_count, pending.send_count + 1
        if node is None:  # the balancer has counted this attempt, so it needs an outcome
            self._notify_balancer(io.Outcome(request, number, member, Status.MOOT, False, 0.0))
            return
        expires_at = min(self.now + timeout, pending.deadline)
        attempt = Attempt(pending, number, node, member, self.now, expires_at)
        pending.attempts.append(attempt)
        self.flying[request, number] = attempt
        flavour = pending.ask.exchange.flavour
        idle = node.idle.get(flavour)
        link = self._take_rested(idle) if idle else None
        if not idle and node.queued >= self.limits.waiting:  # the balancer may choose another member
            self._end_attempt(attempt, Status.MOOT)
            return
        attempt.timers.append(self.at(expires_at, lambda: self._attempt_expired(request, number)))
        if link is not None:
            self._write_attempt(link, attempt)
            return
        node.waiting.setdefault(flavour, OrderedDict())[attempt] = None
        self._count_waiting(node, 1)
        connect_expires_at = min(expires_at, self.now + self.limits.connect)
        attempt.timers.append(self.at(connect_expires_at, lambda: self._connect_timeout(request, number)))
        if idle and len(idle) >= len(node.waiting[flavour]):  # each gets a link as soon as these have rested
            self.at(idle[-1].since + self.wire.rest, lambda: self._serve_rested(node, flavour))
        elif len(node.links) < self.limits.links:
            if self._make_room():
                self._open_link(node, flavour)
        elif (other_idle := next((links for links in node.idle.values() if links), None)) is not None:
            self._close_link(other_idle[-1])  # frees a place for a link of this flavour

    def _make_room(self) -> bool:
        """Return whether one more link may be opened; at the limit, close the longest idle link of any member."""
        if len(self.links) < self.limits.all_links:
            return True
        if not self.idle:
            return False
        self._close_link(next(iter(self.idle.values())))
        return len(self.links) < self.limits.all_links

    def _take_waiting(self, node: Node, flavour: int) -> Attempt | None:
        """Take the next attempt that waits for a link of this flavour off the queue.

        Attempts that the balancer would no longer send end unsent, for example because the proof of the member's
        position is too old by now or the request's idempotency window has closed.
        """
        queue = node.waiting.get(flavour)
        while queue:
            attempt = queue.popitem(last=False)[0]
            self._count_waiting(node, -1)
            if self.balancer.may_still_send(self.now, attempt.open.id, attempt.number):
                return attempt
            self._end_attempt(attempt, Status.MOOT)
        return None

    def _count_waiting(self, node: Node, more: int) -> None:
        """Add `more` to the number of attempts that wait for a link to the member."""
        node.queued += more
        if node.queued:
            self.awaiting_link[node] = None
        else:
            self.awaiting_link.pop(node, None)

    def _write_attempt(self, link: Link, attempt: Attempt) -> None:
        """Send an attempt on a link, with the status query that it needs."""
        fresh, link.unused = link.unused, False
        link.attempt, attempt.link, attempt.asked = attempt, link, self.now
        attempt.question = self.proofs.question(attempt, fresh)
        payload = attempt.open.ask.exchange.payload(attempt.question, attempt.expires_at - self.now)
        self.actions.append(ev.ToLink(link.id, payload))

    def _attempt_expired(self, request: int, number: int) -> None:
        """End an attempt whose time is over."""
        if (attempt := self.flying.get((request, number))) is not None:
            self._end_attempt(attempt, Status.TIMEOUT if attempt.link is not None else Status.CONNECT_FAILED)

    def _connect_timeout(self, request: int, number: int) -> None:
        """End an attempt that got no link within the connect timeout."""
        attempt = self.flying.get((request, number))
        if attempt is not None and attempt.link is None:
            self._end_attempt(attempt, Status.CONNECT_FAILED)

    def _cancel_attempt(self, request: int, number: int) -> None:
        """Cancel an attempt, if it has not ended."""
        attempt = self.flying.get((request, number))
        if attempt is not None:
            self._end_attempt(attempt, Status.CANCELLED if attempt.link is not None else Status.MOOT)

    def _end_attempt(
        self,
        attempt: Attempt,
        status: Status,
        told: Told = NO_MEMBER_INFO,
        served: Served | None = None,
        rejected: bool = False,
    ) -> None:
        """End an attempt and tell the balancer its outcome; close its link after a timeout or a cancellation.

        `told` is what was learnt about the member, `served` the request's answer, if the attempt brought one;
        `rejected` says that the member stated that nothing ran.
        """
        attempt.ended, attempt.status = True, status
        if attempt.link is not None and not rejected:
            attempt.open.may_have_run = True
        self.flying.pop((attempt.open.id, attempt.number), None)
        node, link, pending = attempt.node, attempt.link, attempt.open
        for timer in attempt.timers:
            self.timers.cancel(timer)
        if link is None:
            queue = node.waiting.get(pending.ask.exchange.flavour)
            if queue is not None and attempt in queue:
                del queue[attempt]
                self._count_waiting(node, -1)
        else:
            link.attempt = None
            if status in (Status.TIMEOUT, Status.CANCELLED) and link.id in self.links:
                self._close_link(link)
        attempt.timers.clear()
        finished = pending.final or served is not None
        if served is not None:
            self._finish(pending.id, served)
        outcome = io.Outcome(
            pending.id,
            attempt.number,
            attempt.balancer_name,
            status,
            finished,
            self.now - attempt.decided_at,
            told.primary,
            told.position,
            told.report,
        )
        # Delayed for an abandoned request: clients may disconnect together, and the freed capacity must not go to a
        # request whose client is reported gone only later in the same moment.
        if pending.abandoned:
            self.at(self.now, lambda: self._notify_balancer(outcome))
        else:
            self._notify_balancer(outcome)
        if pending.final and all(other.ended for other in pending.attempts):
            pending.attempts.clear()  # breaks reference cycles, so that the garbage collector has no work

    def _answer_received(self, link: Link, attempt: Attempt, last: bool) -> None:
        """Handle the frames received for an attempt: end it, if they are a whole answer or say that nothing ran.

        `last` says that no bytes follow the newest frame, so the link can be used again.
        """
        exchange = attempt.open.ask.exchange
        result = exchange.read(attempt.frames, attempt.question)
        if result is None:
            return
        judged = self.proofs.judge(attempt, result)
        complete = last and not result.closes and len(attempt.frames) >= exchange.frames(attempt.question)
        served = judged.served if not attempt.open.final else None
        self._end_attempt(attempt, judged.status, judged.told, served, result.status in io.NEVER_RAN)
        if link.id in self.links:
            if complete:
                self._link_free(link)
            else:
                self._close_link(link)

    # ---- probes

    def probe(self, node: Node) -> None:
        """Ask a member for its role, position and load, on its probe link or an idle link."""
        link, asked = node.prober, self.now
        if link is None:
            apart, idle = self.wire.probes_apart, node.idle.get(0)
            link = self._take_rested(idle) if idle and not apart else None
            if link is None and not apart and not self._make_room():
                self.probe_failed(node, asked)
                return
            link = node.prober = link or self._open_link(node, PROBE_FLAVOUR if apart else 0)
        node.probes.append(asked)
        if link.up and not link.greeting_frames and (self.wire.probes_in_line or len(node.probes) == 1):
            self.actions.append(ev.ToLink(link.id, self.wire.probe()))
        self.at(asked + self.limits.probe, lambda: self._probe_expired(node, link, asked))

    def _probe_expired(self, node: Node, link: Link, asked: float) -> None:
        """Fail a probe that got no answer within `Limits.probe`, and all others on its link."""
        if node.prober is link and node.probes and node.probes[0] <= asked:
            self._fail_probes(node)
            self._close_link(link)

    def _fail_probes(self, node: Node) -> None:
        """Fail every unanswered probe of a member."""
        asked_at = list(node.probes)
        node.probes.clear()
        node.prober = None
        for asked in asked_at:
            self.probe_failed(node, asked)
        self.proofs.probes_failed(node)

    def _probe_answered(self, link: Link, frame: bytes) -> None:
        """Handle a frame on a probe link: the answer to the oldest probe."""
        node = link.node
        if not node.probes:
            self._close_link(link)  # an answer without a probe
            return
        asked = node.probes.popleft()
        link.since = self.now
        if node.probes and not self.wire.probes_in_line:
            self.actions.append(ev.ToLink(link.id, self.wire.probe()))
        elif not node.probes and link.flavour != PROBE_FLAVOUR:
            node.prober, link.unused = None, False
            self._link_free(link)
        self.proofs.probed(node, asked, frame)

    def probe_failed(self, node: Node, asked: float) -> None:
        """Tell the balancer that a probe, asked for at `asked`, got no usable answer."""
        self._notify_balancer(io.Probed(node.balancer_name, False, self.now - asked))

    def report(self, node: Node, asked: float, report: io.Report | None) -> None:
        """Tell the balancer what a probe, asked for at `asked`, has found; None if the answer had no report."""
        self._notify_balancer(io.Probed(node.balancer_name, True, self.now - asked, report))

    # ---- links

    def _open_link(self, node: Node, flavour: int) -> Link:
        """Open a link to a member."""
        self.last_link_id += 1
        link = Link(self.last_link_id, node, flavour, self.wire.reader())
        self.links[link.id] = link
        if flavour != PROBE_FLAVOUR:
            node.links[link.id] = link
            node.connecting += 1
        self.actions.append(ev.OpenLink(link.id, node.address))
        self.at(self.now + self.limits.connect + LATE_CONNECT_GRACE, lambda: self._connect_expired(link))
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.at(self.now + self.limits.idle / 2, self._close_idle)
        return link

    def _connect_expired(self, link: Link) -> None:
        """Close a link that is not ready after the connect timeout and `LATE_CONNECT_GRACE`.

        A link that comes up late can still be used. One that never does would hold a file descriptor and a place
        under the limits for ever.
        """
        if link.id in self.links and (not link.up or link.greeting_frames):
            self.log("connect failed", member=link.node.name, reason="not connected in time")
            self._close_link(link)

    def _link_up(self, link: Link) -> None:
        """Handle an established connection: send the greeting, if the protocol has one."""
        link.up = True
        greeting, link.greeting_frames = self.wire.greeting(link.flavour)
        if greeting:
            self.actions.append(ev.ToLink(link.id, greeting))
        if not link.greeting_frames:
            self._greeting_done(link)

    def _greeting_done(self, link: Link) -> None:
        """Put a link into service whose greeting is answered; on a probe link, send the probes that wait."""
        if link.flavour != PROBE_FLAVOUR:
            link.node.connecting -= 1
        if link is not link.node.prober:
            self._link_free(link)
        elif asked := len(link.node.probes):
            self.actions.append(
                ev.ToLink(link.id, self.wire.probe() * (asked if self.wire.probes_in_line else 1))
            )

    def _link_free(self, link: Link) -> None:
        """Give a free link to the next attempt that waits for its flavour, or make it idle."""
        node = link.node
        if node.state is State.GONE or (link.flavour != PROBE_FLAVOUR and link.node.address == ""):
            self._close_link(link)
            return
        # surplus bytes behind an answer arrive within `Wire.rest`
        must_rest = self.wire.rest and not link.unused
        attempt = None if must_rest else self._take_waiting(node, link.flavour)
        if attempt is not None:
            self._write_attempt(link, attempt)
            return
        link.since = self.now
        node.idle.setdefault(link.flavour, []).append(link)
        self.idle[link.id] = link
        if must_rest and node.queued:
            self.at(self.now + self.wire.rest, lambda: self._serve_rested(node, link.flavour))

    def _take_rested(self, idle: list[Link]) -> Link | None:
        """Take the most recently used link that may be used now: it is unused, or idle for `Wire.rest` or longer."""
        for index in range(len(idle) - 1, -1, -1):
            if idle[index].unused or idle[index].since + self.wire.rest <= self.now:
                link = idle.pop(index)
                del self.idle[link.id]
                return link
        return None

    def _serve_rested(self, node: Node, flavour: int) -> None:
        """Give rested idle links to attempts that wait for them."""
        while (
            node.waiting.get(flavour) and (link := self._take_rested(node.idle.get(flavour, []))) is not None
        ):
            attempt = self._take_waiting(node, flavour)
            if attempt is None:  # every waiting attempt ended unsent
                node.idle[flavour].append(link)
                self.idle[link.id] = link
                return
            self._write_attempt(link, attempt)

    def _link_data(self, link: Link, data: bytes) -> None:
        """Handle bytes from a member: answers to the greeting, to probes and to the link's attempt."""
        try:
            frames = link.reader.feed(data)
        except BrokenFrame as error:
            self._link_lost(link, f"protocol: {error}")
            return
        clean = link.reader.clean
        for count, frame in enumerate(frames, 1):
            if link.id not in self.links:
                return
            if self.wire.aside(frame):
                continue
            if link.greeting_frames:
                link.greeting_frames -= 1
                if not self.wire.greeted(frame):
                    self.log(
                        "link refused", member=link.node.name, answer=frame[:200].decode("latin-1").strip()
                    )
                    self._link_lost(link, "greeting refused")
                    return
                if not link.greeting_frames:
                    self._greeting_done(link)
            elif link is link.node.prober:
                self._probe_answered(link, frame)
            elif link.attempt is not None:
                link.attempt.frames.append(frame)
                last = clean and (count == len(frames) or all(map(self.wire.aside, frames[count:])))
                self._answer_received(link, link.attempt, last)
            else:  # an answer without a request: nothing on this link can be trusted
                self._close_link(link)
                return
        if link.attempt is None and link.id in self.links and not clean:  # bytes without a request
            if link is link.node.prober and link.node.probes:  # a probe's answer would be lost with the link
                self._link_lost(link, "unexpected bytes after an answer")
            else:
                self._close_link(link)
        attempt = link.attempt
        if attempt is None:
            return
        if not clean and not attempt.answer_started and self.wire.whole_within < math.inf:
            attempt.answer_started = True
            attempt.timers.append(
                self.at(self.now + self.wire.whole_within, lambda: self._answer_stalled(link, attempt))
            )
        if len(attempt.frames) == 1 and attempt.question:
            self.proofs.early(attempt)

    def _answer_stalled(self, link: Link, attempt: Attempt) -> None:
        """Treat a link as lost whose answer has started and is not complete after `Wire.whole_within`."""
        if link.attempt is attempt and link.id in self.links:
            self._link_lost(link, "an answer was not completed in time")

    def _link_lost(self, link: Link, reason: str) -> None:
        """End a link that could not be opened, broke or violated the protocol, and what it carried.

        An attempt whose answer had already arrived in full is served. An attempt that waits for the link ends only if
        the link never came up: one attempt for each failed link.
        """
        was_up = link.up and not link.greeting_frames
        attempt, probed = link.attempt, link is link.node.prober
        if link.up:
            self._close_link(link)
        else:
            self._forget_link(link)
        node = link.node
        if probed:
            self._fail_probes(node)
        if attempt is not None:
            result = attempt.open.ask.exchange.cut(attempt.frames, attempt.question)
            if result is None or attempt.open.final:
                self._end_attempt(attempt, Status.RESET)
            else:
                rejected = result.status in io.NEVER_RAN
                served = self.proofs.cut(attempt, result) if result.status is Status.OK else None
                self._end_attempt(attempt, result.status, served=served, rejected=rejected)
        elif not was_up and link.flavour != PROBE_FLAVOUR:
            self.log("connect failed", member=node.name, reason=reason)
            waiting = self._take_waiting(node, link.flavour)
            if waiting is not None:
                self._end_attempt(waiting, Status.CONNECT_FAILED)
        # other attempts that wait have a link that is connecting, or wait for a busy one
        self._open_for_waiting(node)
        self._open_for_others()

    def _open_for_waiting(self, node: Node) -> None:
        """Open a link to a member if attempts wait for one and no link is connecting."""
        if node.queued and not node.connecting and len(node.links) < self.limits.links and self._make_room():
            first = min(
                (next(iter(queue)) for queue in node.waiting.values() if queue),
                key=lambda attempt: attempt.decided_at,
            )
            self._open_link(node, first.open.ask.exchange.flavour)

    def _close_link(self, link: Link) -> None:
        """Close a link, unless it is closed, and use its place for attempts that wait."""
        if link.id in self.links:
            self._forget_link(link)
            self.actions.append(ev.CloseLink(link.id))
            self._open_for_waiting(link.node)
            self._open_for_others()

    def _open_for_others(self) -> None:
        """Open links to members that waited for a place, if the limit of all links was reached until now."""
        if len(self.links) == self.limits.all_links - 1:
            for node in list(self.awaiting_link):
                self._open_for_waiting(node)

    def _forget_link(self, link: Link) -> None:
        """Remove a closed or lost link from all tables."""
        node = link.node
        del self.links[link.id]
        if node.prober is link:
            node.prober = None
        if link.flavour == PROBE_FLAVOUR:
            return
        node.links.pop(link.id, None)
        if not link.up or link.greeting_frames:
            node.connecting -= 1
        if self.idle.pop(link.id, None) is not None:
            node.idle[link.flavour].remove(link)

    def _close_idle(self) -> None:
        """Close the links that were idle for `Limits.idle`, and schedule the next run."""
        used_before = self.now - self.limits.idle
        for node in self.nodes.values():
            if (
                node.prober is not None
                and node.prober.up
                and not node.probes
                and node.prober.since <= used_before
            ):
                self._close_link(node.prober)
            for idle in node.idle.values():
                for link in [link for link in idle if link.since <= used_before]:
                    self._close_link(link)
        self.sweep_scheduled = bool(self.links)
        if self.sweep_scheduled:
            self.at(self.now + self.limits.idle / 2, self._close_idle)

    # ---- members

    def _roster(self, members: tuple[ev.Listed, ...], kind: ListKind = ListKind.FULL) -> None:
        """Apply a member list or a list of changes, and pass it to the balancer with its names of the members."""
        if kind is ListKind.FAILED:
            self._notify_balancer(io.Listing(kind))
            return
        present_names = {listed.name for listed in members if listed.state is not State.GONE}
        listed_names = {listed.name for listed in members}
        gone = [
            node
            for node in self.nodes.values()
            if node.name not in present_names
            and (kind is not ListKind.CHANGES or node.name in listed_names)
            # the balancer keeps using these
            and not (self.vanished_usable and node.state is State.READY)
        ]
        for node in gone:
            self._remove_member(node)
        # a list of changes has to name the removed members
        entries = [io.Entry(node.balancer_name, node.group, State.GONE) for node in gone]
        for listed in members:
            if listed.state is State.GONE:
                continue
            known = self.nodes.get(listed.name)
            if known is not None and (known.address != listed.address or known.group != listed.group):
                # another process under the same name; the old one is listed as draining, so that its end is final
                self._remove_member(known)
                entries.append(io.Entry(known.balancer_name, known.group, State.DRAINING))
                entries.append(io.Entry(known.balancer_name, known.group, State.GONE))
                known = None
            if known is not None:
                node = known
            else:
                node = Node(
                    listed.name,
                    listed.group,
                    listed.address,
                    listed.state,
                    listed.started,
                    listed.name,
                    lore=self.proofs.lore(),
                )
                generation = 0
                # a predecessor under this name still has attempts
                while node.balancer_name in self.balancer.members:
                    generation += 1
                    node.balancer_name, node.generation = f"{listed.name}~{generation}", generation
                self.nodes[node.name] = self.aliases[node.balancer_name] = node
            if node.state is not listed.state:
                self.log("member", member=node.name, state=listed.state.name.lower())
            node.state, node.started = listed.state, listed.started
            if node.state is not State.READY:
                for idle in node.idle.values():
                    for link in list(idle):
                        self._close_link(link)
            entries.append(io.Entry(node.balancer_name, node.group, node.state, node.started, listed.primary))
        if kind is not ListKind.CHANGES and not self.vanished_usable:
            entries = [entry for entry in entries if entry.state is not State.GONE]
        self._notify_balancer(io.Listing(kind, tuple(entries)))

    def _remove_member(self, node: Node) -> None:
        """Remove a member that is no longer listed, or was replaced: nothing new is sent to it.

        Attempts that wait end unsent; attempts that were sent go on until they end.
        """
        self.log("member", member=node.name, state="gone")
        node.state = State.GONE
        del self.nodes[node.name]
        self.aliases.pop(node.balancer_name, None)
        self.proofs.forget(node)
        for queue in node.waiting.values():
            for attempt in list(queue):
                self._end_attempt(attempt, Status.MOOT)
        for link in list(node.links.values()):
            if link.attempt is None:
                self._close_link(link)
        if node.prober is not None:
            self._close_link(node.prober)

    def reborn(self, node: Node) -> None:
        """Give a member whose data was replaced a new name towards the balancer, so that no old proof applies."""
        old_name = node.balancer_name
        node.generation += 1
        node.balancer_name = f"{node.name}~{node.generation}"
        del self.aliases[old_name]
        self.aliases[node.balancer_name] = node
        self.log("member's data began anew", member=node.name)
        entries = (
            io.Entry(old_name, node.group, State.GONE),
            io.Entry(node.balancer_name, node.group, node.state, node.started),
        )
        self._notify_balancer(io.Listing(io.ListKind.CHANGES, entries))
