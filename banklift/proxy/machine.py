"""The router as a machine without I/O: events in, actions out (events.py).

Theory of operation. A front (resp/front.py) turns what clients send into requests. The machine tells the module
(`Balancer`) of each and does what it decides; it decides nothing itself but what only sockets know:

- An *attempt* waits for a link to its member, is written, and ends once: by its answer, by time, by a cancel or with
  its link. While nothing of it was written it never ran, whatever ends it; afterwards it may have run, unless the
  answer says otherwise. A link carries one attempt at a time. One that is cut off closes its link, so a late answer
  has no way to another request.
- What members tell of themselves, and what it proves, differs by protocol: `Wire.proofs` (proxy/wire.py). The machine
  asks it which question goes with an attempt and what an answer means, and passes on to the module what it says.
- A link that brought more than was asked for, in the same piece or later, is closed: what follows could be taken for
  the answer to another request.
- A member whose data began anew is listed to the module as gone, and under a new name as come: what was proven about
  the old data does not hold on.
- The list of members comes by itself or is asked for (`ev.AskRoster`) when the module says `Watch` or `Fetch`.
- The module's own rules end every request in time; `done` is called once for each.
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

PROBES = -1  # flavour of links for probes
# seconds beyond its time in which a link may still come up: a lost SYN is repeated after a second
RETRANSMITTED = 1.75
UNSERVED = 20  # lines a second on requests that were not served, at the most: a flood of them is one story
NOTHING_TOLD = Told()


@dataclass(slots=True, eq=False)
class Node:
    """A member as the machine holds it."""

    name: str
    group: int
    address: str
    state: State
    started: float | None
    alias: str  # its name towards the module, new for new data
    births: int = 0
    links: dict[int, Link] = field(default_factory=dict)
    idle: dict[int, list[Link]] = field(default_factory=dict)
    waiting: dict[int, OrderedDict[Attempt, None]] = field(default_factory=dict)  # for a link, by flavour
    queued: int = 0  # of these, all flavours together
    opening: int = 0
    prober: Link | None = None
    probes: deque[float] = field(default_factory=deque)  # asked, not yet answered
    lore: Any = None  # what `Proofs` keeps of it


@dataclass(slots=True, eq=False)
class Link:
    id: int
    node: Node
    flavour: int
    reader: Reader
    up: bool = False
    greeting: int = 0  # frames of the greeting still to come
    fresh: bool = True  # nothing was asked on it
    attempt: Attempt | None = None
    since: float = 0.0  # idle since


@dataclass(slots=True, eq=False)
class Attempt:
    open: Open
    number: int
    node: Node
    alias: str
    sent: float  # when the module decided it
    end: float  # when it is given up
    asked: float = math.inf  # when its bytes were written
    link: Link | None = None
    question: Question = Question.NONE
    frames: list[bytes] = field(default_factory=list)
    begun: bool = False  # a part of its answer is there
    ended: bool = False
    status: Status | None = None  # how it ended
    timers: list[Timer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Open:
    """A request that has no final answer yet."""

    id: int
    ask: Ask
    arrived: float
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    sends: int = 0  # of the module, also of those to members that are no more
    final: bool = False
    ran: bool = False  # an attempt that was written has ended without a word that nothing ran
    abandoned: bool = False  # its client has gone


class Machine:
    """One router. `handle` takes an event at `now` and returns actions, in order; `wake` is when it wants `Wake`.

    `settings` and `seed` go to the module; `wire` speaks to members; `front` makes the clients' side.
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
        # members that leave the list undrained may be sent to
        self.vanished_serve = settings.only_draining_binds
        self.proofs: Proofs = wire.proofs(self, groups)
        self.nodes: dict[str, Node] = {}
        self.aliases: dict[str, Node] = {}
        self.links: dict[int, Link] = {}
        self.idle: OrderedDict[int, Link] = OrderedDict()  # links that rest, the longest idle first
        self.hungry: dict[Node, None] = {}  # members with attempts that wait for a link
        self.open: dict[int, Open] = {}
        self.flying: dict[tuple[int, int], Attempt] = {}
        self.now = 0.0
        self.arrived: float | None = None  # of what is being read now, where that is not now
        self.ids = 0
        self.link_ids = 0
        self.timers = Timers()
        self.queues = Queues(limits.queue, settings.max_retry_after)
        self.inbox: deque[io.Event] = deque()  # what the module is to be told
        self.deciding = False
        self.actions: list[ev.Action] = []
        self.front = front(self)
        self.sweeping = False
        self.told_in, self.told = 0, 0  # lines on requests that were not served, in this second
        self.end = math.inf  # by when all is answered
        # requests are taken so long; then refused, to come back after that
        self.until, self.back = math.inf, 0.0

    # ---- events

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
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
                self._drain(end)
            case ev.Leave():
                self.front.leave()
            case ev.Until(until, back):
                self.until, self.back = until, back
            case ev.Adopt(settings, limits, plan):
                adopt(self.balancer, settings)
                self.limits = limits
                self.queues.adopt(limits.queue, settings.max_retry_after)
                self.front.adopt(plan)
            case ev.Roster(members, kind):
                self._roster(members, kind)
        return self.actions

    def _drain(self, end: float) -> None:
        """Nothing is open any more at `end`, not even what may wait longer by its own deadline."""
        self.end = end
        for open_ in self.open.values():
            open_.deadline = min(open_.deadline, end)
            for attempt in open_.attempts:
                if not attempt.ended and attempt.end > end:
                    attempt.end = end
                    key = open_.id, attempt.number
                    attempt.timers.append(self.at(end, lambda key=key: self._overdue(*key)))  # type: ignore[misc]
        self._decide(io.Ending(end))
        self.front.drain()

    @property
    def wake(self) -> float:
        return self.timers.next

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        return self.timers.at(when, callback)

    def note(self, event: str, **fields: object) -> None:
        self.actions.append(ev.Note(event, fields))

    # ---- requests, for fronts

    def submit(self, ask: Ask) -> int:
        """Take a request; `front.done` will be called once, perhaps before this returns."""
        self.ids += 1
        kind, now = ask.kind, self.now
        if now >= self.until:  # nobody vouches for the policy any more; nothing of it has gone anywhere
            ask.ids.append(self.ids)
            self.front.done(ask, Refused(self.back))
            return self.ids
        full = self.queues.enter(ask.group, kind.name, now)
        if full is not None:  # nothing of it has gone anywhere
            ask.ids.append(self.ids)
            self.front.done(ask, Refused(full))
            return self.ids
        deadline = ask.arrived + self.patience(kind) if ask.deadline is None else ask.deadline
        request = Open(self.ids, ask, now, min(deadline, self.end))
        self.open[request.id] = request
        ask.ids.append(request.id)
        self._decide(
            io.Request(
                request.id,
                kind.name,
                ask.group,
                request.deadline,
                ask.tenant,
                ask.session,
                self.proofs.since_write(ask, now),
            )
        )
        return request.id

    def patience(self, kind: io.RequestClass) -> float:
        """Seconds from a request's arrival within which it is answered: the rest is for the way back."""
        return max(kind.deadline - self.limits.margin, kind.deadline / 2)

    def abandon(self, request: int) -> None:
        """Its client has gone: no answer is owed."""
        if (open_ := self.open.pop(request, None)) is not None:
            open_.final = open_.abandoned = True
            self.queues.leave(open_.ask.group, open_.ask.kind.name, self.now)
            self._decide(io.Abandoned(request))
            for attempt in list(open_.attempts):  # what has not left stays, also where nothing is cancelled
                if not attempt.ended and attempt.link is None:
                    self._end(attempt, Status.MOOT)

    def refresh(self, group: int) -> None:
        """Ask the members of a group where they stand, but those that are being asked."""
        for node in self.nodes.values():
            if node.group == group and node.state is State.READY and not node.probes:
                self.probe(node)

    def touched(self, request: int) -> bool:
        """Whether a member got it and has not turned it away: it may have run."""
        open_ = self.open.get(request)
        return open_ is not None and (
            open_.ran or any(attempt.link is not None and not attempt.ended for attempt in open_.attempts)
        )

    def repeats(self, request: int) -> bool:
        """Whether its client may send it again at once though it may have run: no effect, or its window is not over."""
        open_ = self.open.get(request)
        if open_ is None:
            return False
        kind = open_.ask.kind
        ran = min((attempt.sent for attempt in open_.attempts if attempt.link is not None), default=self.now)
        discarded = kind.effect is Effect.KEYED and not kind.group_only and self.now < ran + kind.window
        return kind.effect is Effect.SAFE or discarded

    def under_way(self, request: int) -> bool:
        """Whether an attempt of it is out there."""
        open_ = self.open.get(request)
        return open_ is not None and any(not attempt.ended for attempt in open_.attempts)

    # ---- the module

    def _decide(self, event: io.Event) -> None:
        """Tell the module and do what it says; what comes of that at once is told afterwards, in order."""
        self.inbox.append(event)
        if self.deciding:
            return
        self.deciding = True
        try:
            while self.inbox:
                for action in self.balancer.handle(self.now, self.inbox.popleft()):
                    self._act(action)
        finally:
            self.deciding = False

    def _act(self, action: io.Action) -> None:
        match action:
            case io.Send(request, member, timeout):
                self._send(request, member, timeout)
            case io.SetTimer(delay, token):
                self.at(self.now + delay, lambda: self._decide(io.Timer(token)))
            case io.Refuse(request, retry_after, reason):
                self._unserved(request, "refused", reason)
                self._finish(request, Refused(retry_after, self.touched(request)))
            case io.Fail(request, reason):
                self._unserved(request, "failed", reason)
                self._finish(request, Failed())
            case io.Cancel(request, number):
                self._cancel(request, number)
            case io.Probe(member):
                if (node := self.aliases.get(member)) is not None:
                    self.proofs.probing(node)
                    self.probe(node)
            case io.Log(text):
                self.note("module", text=text)
            case io.Watch():
                self.actions.append(ev.AskRoster(True))
            case io.Fetch():
                self.actions.append(ev.AskRoster(False))

    def _unserved(self, request: int, answer: str, reason: str) -> None:
        """A line for the log with what became of each attempt; of a second's lines the first `UNSERVED`."""
        open_, second = self.open.get(request), int(self.now)
        if open_ is None or not open_.ask.label:
            return
        if second != self.told_in:
            self.told_in, self.told = second, 0
        self.told += 1
        if self.told <= UNSERVED:
            tries = [
                f"{one.node.name} {one.status.name.lower() if one.status is not None else 'out'} "
                f"at {round(1000 * (one.sent - open_.arrived))} ms"
                + (f", {self.now - one.node.started:.1f} s old" if one.node.started is not None else "")
                for one in open_.attempts
            ]
            self.note(
                answer,
                id=open_.ask.label.decode("latin-1"),
                kind=open_.ask.kind.name,
                group=open_.ask.group,
                reason=reason,
                after_ms=round(1000 * (self.now - open_.arrived)),
                of_ms=round(1000 * (open_.deadline - open_.arrived)),
                again=open_.ask.again,
                attempts=tries,
            )

    def _finish(self, request: int, final: Final) -> None:
        open_ = self.open.pop(request, None)
        if open_ is not None:
            open_.final = True
            self.queues.leave(open_.ask.group, open_.ask.kind.name, self.now)
            self.front.done(open_.ask, final)

    # ---- attempts

    def _send(self, request: int, member: str, timeout: float) -> None:
        open_, node = self.open.get(request), self.aliases.get(member)
        if open_ is None:
            return
        number, open_.sends = open_.sends, open_.sends + 1
        if node is None:  # the module counts this one as well
            self._decide(io.Outcome(request, number, member, Status.MOOT, False, 0.0))
            return
        end = min(self.now + timeout, open_.deadline)
        attempt = Attempt(open_, number, node, member, self.now, end)
        open_.attempts.append(attempt)
        self.flying[request, number] = attempt
        flavour = open_.ask.exchange.flavour
        idle = node.idle.get(flavour)
        link = self._rested(idle) if idle else None
        if not idle and node.queued >= self.limits.waiting:  # it would only wait: the module may know better
            self._end(attempt, Status.MOOT)
            return
        attempt.timers.append(self.at(end, lambda: self._overdue(request, number)))
        if link is not None:
            self._write(link, attempt)
            return
        node.waiting.setdefault(flavour, OrderedDict())[attempt] = None
        self._wait(node, 1)
        soon = min(end, self.now + self.limits.connect)
        attempt.timers.append(self.at(soon, lambda: self._not_connected(request, number)))
        if idle and len(idle) >= len(node.waiting[flavour]):  # in a moment there is one for each that waits
            self.at(idle[-1].since + self.wire.rest, lambda: self._feed_rested(node, flavour))
        elif len(node.links) < self.limits.links:
            if self._room():
                self._open_link(node, flavour)
        elif (other := next((links for links in node.idle.values() if links), None)) is not None:
            self._close(other[-1])  # a link of another flavour makes room

    def _room(self) -> bool:
        """Whether one more link may be opened, of all; one that rests elsewhere makes room."""
        if len(self.links) < self.limits.all_links:
            return True
        if not self.idle:
            return False
        self._close(next(iter(self.idle.values())))
        return len(self.links) < self.limits.all_links

    def _next_waiting(self, node: Node, flavour: int) -> Attempt | None:
        """Take the first attempt that waits for a link of this flavour out of the queue. Those that the module would no
        longer send (what was proven has aged, a window has passed) end unsent."""
        queue = node.waiting.get(flavour)
        while queue:
            attempt = queue.popitem(last=False)[0]
            self._wait(node, -1)
            if self.balancer.holds(self.now, attempt.open.id, attempt.number):
                return attempt
            self._end(attempt, Status.MOOT)
        return None

    def _wait(self, node: Node, more: int) -> None:
        """So many attempts more wait for a link to it."""
        node.queued += more
        if node.queued:
            self.hungry[node] = None
        else:
            self.hungry.pop(node, None)

    def _write(self, link: Link, attempt: Attempt) -> None:
        fresh, link.fresh = link.fresh, False
        link.attempt, attempt.link, attempt.asked = attempt, link, self.now
        attempt.question = self.proofs.question(attempt, fresh)
        payload = attempt.open.ask.exchange.payload(attempt.question, attempt.end - self.now)
        self.actions.append(ev.ToLink(link.id, payload))

    def _overdue(self, request: int, number: int) -> None:
        if (attempt := self.flying.get((request, number))) is not None:
            self._end(attempt, Status.TIMEOUT if attempt.link is not None else Status.CONNECT_FAILED)

    def _not_connected(self, request: int, number: int) -> None:
        attempt = self.flying.get((request, number))
        if attempt is not None and attempt.link is None:
            self._end(attempt, Status.CONNECT_FAILED)

    def _cancel(self, request: int, number: int) -> None:
        attempt = self.flying.get((request, number))  # the request may be over already
        if attempt is not None:
            self._end(attempt, Status.CANCELLED if attempt.link is not None else Status.MOOT)

    def _end(
        self,
        attempt: Attempt,
        status: Status,
        told: Told = NOTHING_TOLD,
        served: Served | None = None,
        turned: bool = False,
    ) -> None:
        """An attempt ended; without an answer its link is closed. `turned`: the member said that nothing ran."""
        attempt.ended, attempt.status = True, status
        if attempt.link is not None and not turned:
            attempt.open.ran = True
        self.flying.pop((attempt.open.id, attempt.number), None)
        node, link, open_ = attempt.node, attempt.link, attempt.open
        for timer in attempt.timers:
            self.timers.cancel(timer)
        if link is None:
            queue = node.waiting.get(open_.ask.exchange.flavour)
            if queue is not None and attempt in queue:
                del queue[attempt]
                self._wait(node, -1)
        else:
            link.attempt = None
            if status in (Status.TIMEOUT, Status.CANCELLED) and link.id in self.links:
                self._close(link)
        attempt.timers.clear()
        finished = open_.final or served is not None
        if served is not None:
            self._finish(open_.id, served)
        outcome = io.Outcome(
            open_.id,
            attempt.number,
            attempt.alias,
            status,
            finished,
            self.now - attempt.sent,
            told.primary,
            told.position,
            told.report,
        )
        if (
            open_.abandoned
        ):  # what it leaves free may go to another whose client has gone too, as is told in a moment
            self.at(self.now, lambda: self._decide(outcome))
        else:
            self._decide(outcome)
        if open_.final and all(other.ended for other in open_.attempts):
            open_.attempts.clear()  # they know it and it knows them: no work for the collector of cycles

    def _answered(self, link: Link, attempt: Attempt, last: bool) -> None:
        """Every frame that was needed has come, or one that says nothing ran. `last`: nothing follows it."""
        exchange = attempt.open.ask.exchange
        result = exchange.read(attempt.frames, attempt.question)
        if result is None:
            return
        judged = self.proofs.judge(attempt, result)
        complete = last and not result.closes and len(attempt.frames) >= exchange.frames(attempt.question)
        served = judged.served if not attempt.open.final else None
        self._end(attempt, judged.status, judged.told, served, result.status in io.NEVER_RAN)
        if link.id in self.links:
            if complete:
                self._ready(link)
            else:
                self._close(link)

    # ---- probes

    def probe(self, node: Node) -> None:
        """Ask a member where it stands."""
        link, asked = node.prober, self.now
        if link is None:
            apart, idle = self.wire.probes_apart, node.idle.get(0)
            link = self._rested(idle) if idle and not apart else None
            if link is None and not apart and not self._room():
                self.probe_failed(node, asked)
                return
            link = node.prober = link or self._open_link(node, PROBES if apart else 0)
        node.probes.append(asked)
        if link.up and not link.greeting and (self.wire.probes_in_line or len(node.probes) == 1):
            self.actions.append(ev.ToLink(link.id, self.wire.probe()))
        self.at(asked + self.limits.probe, lambda: self._probe_overdue(node, link, asked))

    def _probe_overdue(self, node: Node, link: Link, asked: float) -> None:
        if node.prober is link and node.probes and node.probes[0] <= asked:
            self._probes_failed(node)
            self._close(link)

    def _probes_failed(self, node: Node) -> None:
        asked_at = list(node.probes)
        node.probes.clear()
        node.prober = None
        for asked in asked_at:
            self.probe_failed(node, asked)
        self.proofs.probes_failed(node)

    def _probed(self, link: Link, frame: bytes) -> None:
        node = link.node
        if not node.probes:
            self._close(link)  # nobody asked
            return
        asked = node.probes.popleft()
        link.since = self.now
        if node.probes and not self.wire.probes_in_line:
            self.actions.append(ev.ToLink(link.id, self.wire.probe()))
        elif not node.probes and link.flavour != PROBES:
            node.prober, link.fresh = None, False
            self._ready(link)
        self.proofs.probed(node, asked, frame)

    def probe_failed(self, node: Node, asked: float) -> None:
        """Tell the module that a probe got no answer that says anything."""
        self._decide(io.Probed(node.alias, False, self.now - asked))

    def report(self, node: Node, asked: float, report: io.Report | None) -> None:
        """Tell the module what a probe has found."""
        self._decide(io.Probed(node.alias, True, self.now - asked, report))

    # ---- links

    def _open_link(self, node: Node, flavour: int) -> Link:
        self.link_ids += 1
        link = Link(self.link_ids, node, flavour, self.wire.reader())
        self.links[link.id] = link
        if flavour != PROBES:
            node.links[link.id] = link
            node.opening += 1
        self.actions.append(ev.OpenLink(link.id, node.address))
        self.at(self.now + self.limits.connect + RETRANSMITTED, lambda: self._never_up(link))
        if not self.sweeping:
            self.sweeping = True
            self.at(self.now + self.limits.idle / 2, self._sweep)
        return link

    def _never_up(self, link: Link) -> None:
        """A late one may still be of use; one that never comes up would hold a descriptor and a place for good."""
        if link.id in self.links and (not link.up or link.greeting):
            self.note("connect failed", member=link.node.name, reason="it never came up")
            self._close(link)

    def _link_up(self, link: Link) -> None:
        link.up = True
        greeting, link.greeting = self.wire.greeting(link.flavour)
        if greeting:
            self.actions.append(ev.ToLink(link.id, greeting))
        if not link.greeting:
            self._greeted(link)

    def _greeted(self, link: Link) -> None:
        if link.flavour != PROBES:
            link.node.opening -= 1
        if link is not link.node.prober:
            self._ready(link)
        elif asked := len(link.node.probes):
            self.actions.append(
                ev.ToLink(link.id, self.wire.probe() * (asked if self.wire.probes_in_line else 1))
            )

    def _ready(self, link: Link) -> None:
        """A link has nothing to do: the first attempt that waits for one of its flavour takes it."""
        node = link.node
        if node.state is State.GONE or (link.flavour != PROBES and link.node.address == ""):
            self._close(link)
            return
        resting = self.wire.rest and not link.fresh  # what follows an answer unasked shows by its end
        attempt = None if resting else self._next_waiting(node, link.flavour)
        if attempt is not None:
            self._write(link, attempt)
            return
        link.since = self.now
        node.idle.setdefault(link.flavour, []).append(link)
        self.idle[link.id] = link
        if resting and node.queued:
            self.at(self.now + self.wire.rest, lambda: self._feed_rested(node, link.flavour))

    def _rested(self, idle: list[Link]) -> Link | None:
        """Take the idle link that was used last, of those that have rested."""
        for place in range(len(idle) - 1, -1, -1):
            if idle[place].fresh or idle[place].since + self.wire.rest <= self.now:
                link = idle.pop(place)
                del self.idle[link.id]
                return link
        return None

    def _feed_rested(self, node: Node, flavour: int) -> None:
        """A link has rested, for which attempts may wait."""
        while node.waiting.get(flavour) and (link := self._rested(node.idle.get(flavour, []))) is not None:
            attempt = self._next_waiting(node, flavour)
            if attempt is None:  # none of them may leave any more
                node.idle[flavour].append(link)
                self.idle[link.id] = link
                return
            self._write(link, attempt)

    def _link_data(self, link: Link, data: bytes) -> None:
        try:
            frames = link.reader.feed(data)
        except BrokenFrame as error:
            self._link_lost(link, f"protocol: {error}")
            return
        clean = link.reader.clean
        for place, frame in enumerate(frames, 1):
            if link.id not in self.links:
                return
            if self.wire.aside(frame):
                continue
            if link.greeting:
                link.greeting -= 1
                if not self.wire.greeted(frame):
                    self.note(
                        "link refused", member=link.node.name, answer=frame[:200].decode("latin-1").strip()
                    )
                    self._link_lost(link, "greeting refused")
                    return
                if not link.greeting:
                    self._greeted(link)
            elif link is link.node.prober:
                self._probed(link, frame)
            elif link.attempt is not None:
                link.attempt.frames.append(frame)
                last = clean and (place == len(frames) or all(map(self.wire.aside, frames[place:])))
                self._answered(link, link.attempt, last)
            else:  # an answer that nobody asked for: nothing on this link can be trusted
                self._close(link)
                return
        if link.attempt is None and link.id in self.links and not clean:  # noise where nothing was asked
            if link is link.node.prober and link.node.probes:  # it would take a probe's answer with it
                self._link_lost(link, "noise behind an answer")
            else:
                self._close(link)
        attempt = link.attempt
        if attempt is None:
            return
        if not clean and not attempt.begun and self.wire.whole_within < math.inf:
            attempt.begun = True
            attempt.timers.append(
                self.at(self.now + self.wire.whole_within, lambda: self._stuck(link, attempt))
            )
        if len(attempt.frames) == 1 and attempt.question:
            self.proofs.early(attempt)

    def _stuck(self, link: Link, attempt: Attempt) -> None:
        """An answer has begun and does not end."""
        if link.attempt is attempt and link.id in self.links:
            self._link_lost(link, "an answer stood still")

    def _link_lost(self, link: Link, reason: str) -> None:
        was_up = link.up and not link.greeting
        attempt, probed = link.attempt, link is link.node.prober
        if link.up:
            self._close(link)
        else:
            self._drop(link)
        node = link.node
        if probed:
            self._probes_failed(node)
        if attempt is not None:
            result = attempt.open.ask.exchange.cut(attempt.frames, attempt.question)
            if result is None or attempt.open.final:
                self._end(attempt, Status.RESET)
            else:
                turned = result.status in io.NEVER_RAN
                served = self.proofs.cut(attempt, result) if result.status is Status.OK else None
                self._end(attempt, result.status, served=served, turned=turned)
        elif not was_up and link.flavour != PROBES:
            self.note("connect failed", member=node.name, reason=reason)
            waiting = self._next_waiting(node, link.flavour)
            if waiting is not None:  # one attempt for each link that failed
                self._end(waiting, Status.CONNECT_FAILED)
        # others that wait have a link of their own on the way, or wait for one that is busy
        self._feed(node)
        self._feed_others()

    def _feed(self, node: Node) -> None:
        """Attempts may wait although no link is on its way: open one."""
        if node.queued and not node.opening and len(node.links) < self.limits.links and self._room():
            first = min(
                (next(iter(queue)) for queue in node.waiting.values() if queue), key=lambda one: one.sent
            )
            self._open_link(node, first.open.ask.exchange.flavour)

    def _close(self, link: Link) -> None:
        if link.id in self.links:
            self._drop(link)
            self.actions.append(ev.CloseLink(link.id))
            self._feed(link.node)
            self._feed_others()

    def _feed_others(self) -> None:
        """A link has gone, for whose place others may have waited."""
        if len(self.links) == self.limits.all_links - 1:
            for node in list(self.hungry):
                self._feed(node)

    def _drop(self, link: Link) -> None:
        """It is no more."""
        node = link.node
        del self.links[link.id]
        if node.prober is link:
            node.prober = None
        if link.flavour == PROBES:
            return
        node.links.pop(link.id, None)
        if not link.up or link.greeting:
            node.opening -= 1
        if self.idle.pop(link.id, None) is not None:
            node.idle[link.flavour].remove(link)

    def _sweep(self) -> None:
        """Close links that were not used for long."""
        old = self.now - self.limits.idle
        for node in self.nodes.values():
            if node.prober is not None and node.prober.up and not node.probes and node.prober.since <= old:
                self._close(node.prober)
            for idle in node.idle.values():
                for link in [link for link in idle if link.since <= old]:
                    self._close(link)
        self.sweeping = bool(self.links)
        if self.sweeping:
            self.at(self.now + self.limits.idle / 2, self._sweep)

    # ---- members

    def _roster(self, members: tuple[ev.Listed, ...], kind: ListKind = ListKind.FULL) -> None:
        if kind is ListKind.FAILED:
            self._decide(io.Listing(kind))
            return
        named = {listed.name for listed in members if listed.state is not State.GONE}
        told = {listed.name for listed in members}
        gone = [
            node
            for node in self.nodes.values()
            if node.name not in named
            and (kind is not ListKind.CHANGES or node.name in told)
            # the module goes on with these
            and not (self.vanished_serve and node.state is State.READY)
        ]
        for node in gone:
            self._remove(node)
        # which a list of changes must tell
        entries = [io.Entry(node.alias, node.group, State.GONE) for node in gone]
        for listed in members:
            if listed.state is State.GONE:
                continue
            known = self.nodes.get(listed.name)
            if known is not None and (known.address != listed.address or known.group != listed.group):
                self._remove(known)  # another process under the same name; drained, so that its end binds
                entries.append(io.Entry(known.alias, known.group, State.DRAINING))
                entries.append(io.Entry(known.alias, known.group, State.GONE))
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
                births = 0
                while node.alias in self.balancer.members:  # the old one still has attempts out there
                    births += 1
                    node.alias, node.births = f"{listed.name}~{births}", births
                self.nodes[node.name] = self.aliases[node.alias] = node
            if node.state is not listed.state:
                self.note("member", member=node.name, state=listed.state.name.lower())
            node.state, node.started = listed.state, listed.started
            if node.state is not State.READY:
                for idle in node.idle.values():
                    for link in list(idle):
                        self._close(link)
            entries.append(io.Entry(node.alias, node.group, node.state, node.started, listed.primary))
        if kind is not ListKind.CHANGES and not self.vanished_serve:
            entries = [entry for entry in entries if entry.state is not State.GONE]
        self._decide(io.Listing(kind, tuple(entries)))

    def _remove(self, node: Node) -> None:
        """It is listed no more, or no longer the same: nothing new goes there."""
        self.note("member", member=node.name, state="gone")
        node.state = State.GONE
        del self.nodes[node.name]
        self.aliases.pop(node.alias, None)
        self.proofs.forget(node)
        for queue in node.waiting.values():
            for attempt in list(queue):
                self._end(attempt, Status.MOOT)
        for link in list(node.links.values()):
            if link.attempt is None:
                self._close(link)
        if node.prober is not None:
            self._close(node.prober)

    def reborn(self, node: Node) -> None:
        """Its data began anew: the module knows it under a new name, so that no old proof holds on."""
        old = node.alias
        node.births += 1
        node.alias = f"{node.name}~{node.births}"
        del self.aliases[old]
        self.aliases[node.alias] = node
        self.note("member's data began anew", member=node.name)
        entries = (
            io.Entry(old, node.group, State.GONE),
            io.Entry(node.alias, node.group, node.state, node.started),
        )
        self._decide(io.Listing(io.ListKind.CHANGES, entries))
