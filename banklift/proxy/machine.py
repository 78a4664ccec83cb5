"""The router as a machine without I/O: events in, actions out (events.py).

Theory of operation. A front (resp/front.py) turns what clients send into requests. The machine tells the module
(`Balancer`) of each and does what it decides; it decides nothing itself but what only sockets know:

- An *attempt* waits for a link to its member, is written, and ends once: by its answer, by time, by a cancel or with
  its link. While nothing of it was written it never ran, whatever ends it; afterwards it may have run, unless the
  answer says otherwise. A link carries one attempt at a time. One that is cut off closes its link, so a late answer
  has no way to another request.
- Each attempt asks the member for its standing on the same link: a read before its command, so what is read is at
  least as new as what is proven; a write after it, so the mark it leaves holds the write. Only a read that any member
  may serve needs no proof. The first exchange of a link asks for the history too: a restart of the member ends its
  links, so nothing outlives the data it spoke of. A read whose own proof fails its floor is not passed on; the module
  hears of a miss.
- What an answer of a write, a session's or a fresh read shows leaves a mark with its session (`Served.seen`), and the
  session's reads hold all its marks: they see its writes and never go back behind its reads. Such a read asks for the
  member's standing behind its command too, as it may show what was written while it waited.
- A probe of a replica also asks the primary, as a sample: positions come from samples (decide/offsets.py). The report
  waits up to `SAMPLE_WAIT` for it.
- A member whose data began anew is listed to the module as gone, and under a new name as come: what was proven about
  the old data does not hold on.
- The module's own rules end every request in time; `done` is called once for each.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from banklift import interface as io
from banklift.balance import Balancer
from banklift.decide.offsets import Fact, Seen, Standing, Track
from banklift.decide.queues import Queues
from banklift.interface import Effect, Need, State, Status
from banklift.proxy import events as ev
from banklift.proxy.plan import Limits
from banklift.proxy.timers import Timer, Timers
from banklift.proxy.wire import Ask, BrokenFrame, Failed, Final, Front, Question, Reader, Refused, Served, Wire

SAMPLE_WAIT = 0.02  # seconds that a replica's report waits for the primary's sample
PROBES = -1  # flavour of links for probes
MARKED = (Need.SESSION, Need.FRESH)  # reads: what a session has seen of these it never unsees


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
    doubt: bool = True  # its history is to be asked
    unanswered: float | None = None  # since when a write of ours has had no answer


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
    asked: float = math.inf  # when its bytes were written
    link: Link | None = None
    question: Question = Question.NONE
    frames: list[bytes] = field(default_factory=list)
    ended: bool = False
    timers: list[Timer] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Open:
    """A request that has no final answer yet."""

    id: int
    ask: Ask
    arrived: float
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    final: bool = False
    ran: bool = False  # an attempt that was written has ended without a word that nothing ran


class Machine:
    """One router. `handle` takes an event at `now` and returns actions, in order; `wake` is when it wants `Wake`.

    `settings` and `seed` go to the module; `wire` speaks to members; `front` makes the clients' side.
    """

    def __init__(self, settings: io.Settings, limits: Limits, groups: int, seed: int, wire: Wire,
                 front: Callable[[Machine], Front]) -> None:
        self.limits = limits
        self.wire = wire
        self.balancer = Balancer(settings, seed)
        self.tracks = [Track() for _ in range(groups)]
        self.nodes: dict[str, Node] = {}
        self.aliases: dict[str, Node] = {}
        self.links: dict[int, Link] = {}
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
        self.delayed: dict[int, list[tuple[Node, float, float]]] = {}  # reports that wait for a sample, by group
        self.front = front(self)
        self.sweeping = False

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
            case ev.Roster(members):
                self._roster(members)
        return self.actions

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
        full = self.queues.enter(ask.group, kind.name, now)
        if full is not None:  # nothing of it has gone anywhere
            ask.ids.append(self.ids)
            self.front.done(ask, Refused(full))
            return self.ids
        request = Open(self.ids, ask, now, ask.arrived + self.patience(kind))
        self.open[request.id] = request
        ask.ids.append(request.id)
        since: float | None = None
        if kind.need is Need.SESSION:
            if ask.current:
                since = 0.001
            elif ask.seen is not None:
                since = now + 0.001 - self.tracks[ask.group].floor(ask.seen, now)
        self._decide(io.Request(request.id, kind.name, ask.group, request.deadline, ask.tenant, since_write=since))
        return request.id

    def patience(self, kind: io.RequestClass) -> float:
        """Seconds from a request's arrival within which it is answered: the rest is for the way back."""
        return max(kind.deadline - self.limits.margin, kind.deadline / 2)

    def abandon(self, request: int) -> None:
        """Its client has gone: no answer is owed."""
        if (open_ := self.open.pop(request, None)) is not None:
            open_.final = True
            self.queues.leave(open_.ask.group, open_.ask.kind.name, self.now)
            self._decide(io.Abandoned(request))

    def refresh(self, group: int) -> None:
        """Ask the members of a group where they stand, but those that are being asked."""
        for node in self.nodes.values():
            if node.group == group and node.state is State.READY and not node.probes:
                self._probe(node, False)

    def touched(self, request: int) -> bool:
        """Whether a member got it and has not turned it away: it may have run."""
        open_ = self.open.get(request)
        return open_ is not None and (open_.ran or any(attempt.link is not None and not attempt.ended
                                                       for attempt in open_.attempts))

    def repeats(self, request: int) -> bool:
        """Whether its client may send it again though it may have run: no effect, or repeats are discarded."""
        open_ = self.open.get(request)
        if open_ is None:
            return False
        kind = open_.ask.kind
        return kind.effect is Effect.SAFE or (kind.effect is Effect.KEYED and not kind.group_only)

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
            case io.Refuse(request, retry_after):
                self._finish(request, Refused(retry_after, self.touched(request)))
            case io.Fail(request):
                self._finish(request, Failed())
            case io.Cancel(request, number):
                self._cancel(request, number)
            case io.Probe(member):
                if (node := self.aliases.get(member)) is not None:
                    self._probe(node, True)
            case io.Log(text):
                self.note("module", text=text)
            case io.Watch() | io.Fetch():
                pass  # rosters come unasked

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
        number = len(open_.attempts)
        if node is None:
            self._decide(io.Outcome(request, number, member, Status.MOOT, False, 0.0))
            return
        attempt = Attempt(open_, number, node, member, self.now)
        open_.attempts.append(attempt)
        self.flying[request, number] = attempt
        end = min(self.now + timeout, open_.deadline)
        flavour = open_.ask.exchange.flavour
        idle = node.idle.get(flavour)
        if not idle and node.queued >= self.limits.waiting:  # it would only wait: the module may know better
            self._end(attempt, Status.MOOT)
            return
        attempt.timers.append(self.at(end, lambda: self._overdue(request, number)))
        if idle:
            self._write(idle.pop(), attempt)
            return
        node.waiting.setdefault(flavour, OrderedDict())[attempt] = None
        node.queued += 1
        soon = min(end, self.now + self.limits.connect)
        attempt.timers.append(self.at(soon, lambda: self._not_connected(request, number)))
        if len(node.links) < self.limits.links:
            self._open_link(node, flavour)
        elif (other := next((links for links in node.idle.values() if links), None)) is not None:
            self._close(other[-1])  # a link of another flavour makes room

    def _next_waiting(self, node: Node, flavour: int) -> Attempt | None:
        """Take the first attempt that waits for a link of this flavour out of the queue."""
        queue = node.waiting.get(flavour)
        if not queue:
            return None
        node.queued -= 1
        return queue.popitem(last=False)[0]

    def _write(self, link: Link, attempt: Attempt) -> None:
        node, exchange = attempt.node, attempt.open.ask.exchange
        need = attempt.open.ask.kind.need
        both = need in MARKED
        if link.fresh or node.doubt:
            attempt.question = Question.HISTORY_BOTH if both else Question.HISTORY
        elif need is not Need.ANY:  # which asks for no proof
            attempt.question = Question.BOTH if both else Question.STANDING
        link.fresh = False
        link.attempt, attempt.link, attempt.asked = attempt, link, self.now
        if attempt.open.ask.kind.need is Need.WRITE and node.unanswered is None:
            node.unanswered = self.now
        self.actions.append(ev.ToLink(link.id, exchange.payload(attempt.question)))

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

    def _end(self, attempt: Attempt, status: Status, fact: Fact | None = None, load: float | None = None,
             served: Served | None = None, turned: bool = False) -> None:
        """An attempt ended; without an answer its link is closed. `turned`: the member said that nothing ran."""
        attempt.ended = True
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
                node.queued -= 1
        else:
            link.attempt = None
            if status in (Status.TIMEOUT, Status.CANCELLED) and link.id in self.links:
                self._close(link)
        finished = open_.final or served is not None
        if served is not None:
            self._finish(open_.id, served)
        fact = fact or Fact()
        report = io.Report(position=fact.position, in_flight=load)
        self._decide(io.Outcome(open_.id, attempt.number, attempt.alias, status, finished,
                                self.now - attempt.sent, fact.primary, None, report))

    def _answered(self, link: Link, attempt: Attempt) -> None:
        """Every frame that was needed has come, or one that says nothing ran."""
        ask, node = attempt.open.ask, attempt.node
        result = ask.exchange.read(attempt.frames, attempt.question)
        if result is None:
            return
        status, fact = result.status, Fact()
        writes = ask.kind.need is Need.WRITE
        if writes:
            node.unanswered = None
        if result.standing is not None:
            fact = self._learn(node, result.standing, attempt.asked, None)
        if status is Status.MISS and writes and fact.primary is None:
            fact = Fact(primary=False)  # READONLY says so itself
        served, turned = None, status in io.NEVER_RAN
        if status is Status.OK:
            if not writes and not self._proves(attempt, fact):
                status = Status.MISS
            elif not attempt.open.final:
                seen = None
                if writes:
                    seen = self.tracks[node.group].seen(node.name, fact.offset, self.now)
                elif ask.kind.need in MARKED:  # it showed nothing newer than what stands behind it
                    after = result.after and self._learn(node, result.after, attempt.asked, None)
                    seen = self.tracks[node.group].seen(node.name, after.offset if after else None, self.now)
                served = Served(result.answer, seen)
        complete = len(attempt.frames) >= ask.exchange.frames(attempt.question)
        load = result.standing.load if result.standing is not None else None
        self._end(attempt, status, fact, load, served, turned)
        if link.id in self.links:
            if complete:
                self._ready(link)
            else:
                self._close(link)

    def _proves(self, attempt: Attempt, fact: Fact) -> bool:
        """Whether what the member proved on the same link allows this read."""
        ask, open_ = attempt.open.ask, attempt.open
        match ask.kind.need:
            case Need.ANY:
                return True
            case Need.BOUNDED:
                floor = attempt.asked - ask.kind.bound
            case Need.SESSION if not ask.current:
                return ask.seen is None or self.tracks[ask.group].covers(fact, ask.seen)
            case _:
                floor = open_.arrived
        return fact.position is not None and fact.position >= floor

    def _learn(self, node: Node, standing: Standing, asked: float, waiting: float | None) -> Fact:
        fact = self.tracks[node.group].learn(node.name, standing, asked, self.now, waiting)
        if fact.unsure:
            node.doubt = True
            if node.state is State.READY and not node.probes:  # it has another role than before: ask for its history
                self._probe(node, True)
        elif standing.replid is not None:
            node.doubt = False
        if fact.reborn:
            self._reborn(node)
        return fact

    # ---- probes

    def _probe(self, node: Node, sampled: bool) -> None:
        """Ask a member where it stands. `sampled`: the primary too, so that a replica's offset says something."""
        track = self.tracks[node.group]
        owner = self.nodes.get(track.owner) if track.owner is not None else None
        if sampled and owner is not None and owner is not node and not owner.probes:
            self._probe(owner, False)
        link = node.prober
        if link is None:
            link = node.prober = self._open_link(node, PROBES)
        asked = self.now
        node.probes.append(asked)
        if link.up and not link.greeting:
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
            self._decide(io.Probed(node.alias, False, self.now - asked))
        self._release(node.group)

    def _probed(self, node: Node, frame: bytes) -> None:
        if not node.probes:
            return
        asked = node.probes.popleft()
        standing = self.wire.standing(frame)
        if standing is None:  # it speaks, but doesn't say what it is: loading, or no permission
            self._decide(io.Probed(node.alias, False, self.now - asked))
            return
        waiting = node.unanswered
        if waiting is None:
            waiting = min((link.attempt.asked for link in node.links.values() if link.attempt is not None
                           and link.attempt.open.ask.kind.need is Need.WRITE), default=None)
        fact = self._learn(node, standing, asked, waiting)
        track = self.tracks[node.group]
        owner = self.nodes.get(track.owner) if track.owner is not None else None
        if fact.primary is not True and owner is not None and owner.probes and owner.probes[0] <= asked:
            self.delayed.setdefault(node.group, []).append((node, asked, standing.load or 0.0))
            self.at(self.now + SAMPLE_WAIT, lambda: self._release(node.group))
            return
        self._report(node, asked, fact.primary, fact.position, standing.load)
        if fact.primary:
            self._release(node.group)

    def _release(self, group: int) -> None:
        """The sample is here, or isn't coming: tell what waited for it."""
        for node, asked, load in self.delayed.pop(group, ()):
            position, _ = self.tracks[group].place(node.name)
            self._report(node, asked, False, position, load)

    def _report(self, node: Node, asked: float, primary: bool | None, position: float | None,
                load: float | None) -> None:
        report = io.Report(position, primary, load, None, asked)
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
        if not self.sweeping:
            self.sweeping = True
            self.at(self.now + self.limits.idle / 2, self._sweep)
        return link

    def _link_up(self, link: Link) -> None:
        link.up = True
        greeting, link.greeting = self.wire.greeting(link.flavour)
        if greeting:
            self.actions.append(ev.ToLink(link.id, greeting))
        if not link.greeting:
            self._greeted(link)

    def _greeted(self, link: Link) -> None:
        if link.flavour == PROBES:
            if link.node.probes:
                self.actions.append(ev.ToLink(link.id, self.wire.probe() * len(link.node.probes)))
            return
        link.node.opening -= 1
        self._ready(link)

    def _ready(self, link: Link) -> None:
        """A link has nothing to do: the first attempt that waits for one of its flavour takes it."""
        node = link.node
        if node.state is State.GONE or (link.flavour != PROBES and link.node.address == ""):
            self._close(link)
            return
        attempt = self._next_waiting(node, link.flavour)
        if attempt is not None:
            self._write(link, attempt)
            return
        link.since = self.now
        node.idle.setdefault(link.flavour, []).append(link)

    def _link_data(self, link: Link, data: bytes) -> None:
        try:
            frames = link.reader.feed(data)
        except BrokenFrame as error:
            self._link_lost(link, f"protocol: {error}")
            return
        for frame in frames:
            if link.id not in self.links:
                return
            if self.wire.aside(frame):
                continue
            if link.greeting:
                link.greeting -= 1
                if not self.wire.greeted(frame):
                    self.note("link refused", member=link.node.name, answer=frame[:200].decode("latin-1").strip())
                    self._link_lost(link, "greeting refused")
                    return
                if not link.greeting:
                    self._greeted(link)
            elif link.flavour == PROBES:
                self._probed(link.node, frame)
            elif link.attempt is not None:
                link.attempt.frames.append(frame)
                self._answered(link, link.attempt)
            else:  # an answer that nobody asked for: nothing on this link can be trusted
                self._close(link)
                return
        attempt = link.attempt
        if attempt is not None and len(attempt.frames) == 1 and attempt.question:
            self._told_early(link.node, attempt)

    def _told_early(self, node: Node, attempt: Attempt) -> None:
        """A member said where it stands, and its answer may take a while: a change of role is told at once."""
        standing = self.wire.standing(attempt.frames[0])
        if standing is None or attempt.open.ask.kind.need is Need.WRITE:
            return
        was = self.tracks[node.group].owner == node.name
        fact = self._learn(node, standing, attempt.asked, None)
        if fact.primary is not None and fact.primary != was:
            self._report(node, attempt.asked, fact.primary, fact.position, standing.load)

    def _link_lost(self, link: Link, reason: str) -> None:
        was_up = link.up and not link.greeting
        attempt = link.attempt
        if link.up:
            self._close(link)
        else:
            self._drop(link)
        node = link.node
        if link.flavour == PROBES:
            self._probes_failed(node)
        elif attempt is not None:
            result = attempt.open.ask.exchange.cut(attempt.frames, attempt.question)
            if result is None or attempt.open.final:
                self._end(attempt, Status.RESET)
            else:
                turned = result.status in io.NEVER_RAN
                served = Served(result.answer, Seen(self.now)) if result.status is Status.OK else None
                self._end(attempt, result.status, served=served, turned=turned)
        elif not was_up:
            self.note("connect failed", member=node.name, reason=reason)
            waiting = self._next_waiting(node, link.flavour)
            if waiting is not None:  # one attempt for each link that failed
                self._end(waiting, Status.CONNECT_FAILED)
        # others that wait have a link of their own on the way, or wait for one that is busy
        self._feed(node)

    def _feed(self, node: Node) -> None:
        """Attempts may wait although no link is on its way: open one."""
        if node.queued and not node.opening and len(node.links) < self.limits.links:
            first = min((next(iter(queue)) for queue in node.waiting.values() if queue), key=lambda one: one.sent)
            self._open_link(node, first.open.ask.exchange.flavour)

    def _close(self, link: Link) -> None:
        if link.id in self.links:
            self._drop(link)
            self.actions.append(ev.CloseLink(link.id))
            self._feed(link.node)

    def _drop(self, link: Link) -> None:
        """It is no more."""
        node = link.node
        del self.links[link.id]
        if link.flavour == PROBES:
            if node.prober is link:
                node.prober = None
            return
        node.links.pop(link.id, None)
        if not link.up or link.greeting:
            node.opening -= 1
        if link in (idle := node.idle.get(link.flavour, [])):
            idle.remove(link)

    def _sweep(self) -> None:
        """Close links that were not used for long."""
        old = self.now - self.limits.idle
        for node in self.nodes.values():
            for idle in node.idle.values():
                for link in [link for link in idle if link.since <= old]:
                    self._close(link)
        self.sweeping = bool(self.links)
        if self.sweeping:
            self.at(self.now + self.limits.idle / 2, self._sweep)

    # ---- members

    def _roster(self, members: tuple[ev.Listed, ...]) -> None:
        named = {listed.name for listed in members}
        for node in [node for node in self.nodes.values() if node.name not in named]:
            self._remove(node)
        for listed in members:
            known = self.nodes.get(listed.name)
            if known is not None and (known.address != listed.address or known.group != listed.group):
                self._remove(known)  # another process under the same name
                known = None
            if known is not None:
                node = known
            else:
                node = Node(listed.name, listed.group, listed.address, listed.state, listed.started, listed.name)
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
        roles = {listed.name: listed.primary for listed in members}
        self._decide(io.Listing(io.ListKind.FULL, tuple(
            io.Entry(node.alias, node.group, node.state, node.started, roles[node.name])
            for node in self.nodes.values())))

    def _remove(self, node: Node) -> None:
        """It is listed no more, or no longer the same: nothing new goes there."""
        self.note("member", member=node.name, state="gone")
        node.state = State.GONE
        del self.nodes[node.name]
        self.aliases.pop(node.alias, None)
        self.tracks[node.group].forget(node.name)
        for queue in node.waiting.values():
            for attempt in list(queue):
                self._end(attempt, Status.MOOT)
        for link in list(node.links.values()):
            if link.attempt is None:
                self._close(link)
        if node.prober is not None:
            self._close(node.prober)

    def _reborn(self, node: Node) -> None:
        """Its data began anew: the module knows it under a new name, so that no old proof holds on."""
        old = node.alias
        node.births += 1
        node.alias = f"{node.name}~{node.births}"
        del self.aliases[old]
        self.aliases[node.alias] = node
        self.note("member's data began anew", member=node.name)
        entries = (io.Entry(old, node.group, State.GONE), io.Entry(node.alias, node.group, node.state, node.started))
        self._decide(io.Listing(io.ListKind.CHANGES, entries))
