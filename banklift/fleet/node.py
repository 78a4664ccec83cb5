"""One router of a fleet: its links, its leases and, if it is one, its voter, as one machine without I/O.

Theory of operation. A router has a link to every voter, and to nobody else; a pair of voters has one, made by the one
that stands later in the list. Both ends say `Hello` first, and a link whose ends don't belong together is ended with
the reason (`Bye`), which is noted once. A link that broke is made again after a pause that is drawn and grows. A voter
that is this router itself is spoken to in place, by the same messages.

Two of one name. A voter that hears `Hello` from a name that has a link already asks the older link for a word
(`RenewNow`): if it gives one within `PROVE`, the newcomer is turned away for good and its program ends; if not,
the older link was dead and goes. A restart is quicker than the end of its old link often enough.

Who may take requests is told by `EpochAdopted` and `LeaseExtended` (lease.py); nothing else of this reaches
the machine of the router.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.fleet import lease as leases
from banklift.fleet import voter as voting
from banklift.fleet.actions import LogLine
from banklift.fleet.lease import EpochAdopted, LeaseClient, LeaseExtended
from banklift.fleet.messages import (
    VERSION,
    Bye,
    Frames,
    Garbage,
    Hello,
    LeaseGrant,
    LeaseRequest,
    Message,
    RenewNow,
    Set,
    Show,
    Shown,
    encode,
)
from banklift.fleet.plan import Plan
from banklift.fleet.register import Record
from banklift.fleet.voter import Save, Voter

DIAL = (0.05, 1.0)  # seconds before a link is made again: at first, and at the most
GREET = 2.0  # seconds in which the other end has to say who it is
PROVE = 0.5  # seconds in which an older link of a name has to give a word
LINKS = 4096  # that a voter takes


@dataclass(frozen=True, slots=True)
class Dial:
    link: int
    voter: str


@dataclass(frozen=True, slots=True)
class Write:
    link: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Shut:
    """Close it once what was written has gone out."""

    link: int


@dataclass(frozen=True, slots=True)
class Ousted:
    """This program can't be a part of the fleet; it has to end."""

    reason: str


Action = Dial | Write | Shut | Ousted | LogLine | Save | EpochAdopted | LeaseExtended


@dataclass(slots=True, eq=False)
class Link:
    id: int
    dialled: str = ""  # the voter that was called
    up: bool = False
    name: str = ""  # of the other end, once it has said so
    incarnation: int = 0
    operator: bool = False
    greeted: bool = False
    since: float = 0.0
    prove_by: float = math.inf  # it has to give a word, as another one has come by its name
    parked: Hello | None = None  # ... and this is that other one's
    behind: int = 0  # the link that it waits for
    frames: Frames = field(default_factory=Frames)


class Node:
    """`record` and `absent`: what a voter's disk held (`Voter`); `policy`: of this router's file, with which a fleet
    begins; `check`: what is against a policy here."""

    def __init__(
        self,
        plan: Plan,
        incarnation: int,
        seed: int,
        policy: bytes,
        check: Callable[[bytes], tuple[str, ...]],
        record: Record | None = None,
        absent: bool = True,
    ) -> None:
        self.plan, self.incarnation = plan, incarnation
        self.random = Random(seed)
        self.leases = LeaseClient(plan.voters, plan.lease, plan.drift, self.random, check)
        self.voter: Voter | None = None
        if plan.name in plan.voters:
            self.voter = Voter(
                plan.fleet,
                plan.name,
                plan.voters,
                plan.lease,
                plan.drift,
                policy,
                record,
                absent,
                incarnation,
                self.random,
            )
        self.links: dict[int, Link] = {}
        self.by_name: dict[str, Link] = {}
        self.pauses: dict[
            str, tuple[float, float]
        ] = {}  # voters to be called: when, and the pause before that
        self.next_pause: dict[str, float] = {}  # of each voter that is called, should this call fail
        self.numbers = 0
        self.noted: set[tuple[str, str]] = set()
        self.inbox: deque[Callable[[], None]] = deque()  # what it says to itself
        self.now = 0.0
        self.actions: list[Action] = []

    # ---- events

    def start(self, now: float) -> list[Action]:
        self.now = now
        own = self.plan.voters.index(self.plan.name) if self.voter is not None else len(self.plan.voters)
        for voter in self.plan.voters[:own]:
            self.pauses[voter] = now, DIAL[0]
        if self.voter is not None:
            self._voter(self.voter.start(now))
            self._leases(self.leases.up(now, self.plan.name))
        self._calls()
        return self._out()

    def accepted(self, now: float, link: int) -> list[Action]:
        """Somebody has made a link here. Its number comes from `number`."""
        self.now = now
        one = self.links[link] = Link(link, up=True, since=now)
        if self.voter is None or len(self.links) > LINKS:
            self._end(one, "no voter" if self.voter is None else "too many links")
        return self._out()

    def number(self) -> int:
        self.numbers += 1
        return self.numbers

    def connected(self, now: float, link: int) -> list[Action]:
        self.now = now
        if (one := self.links.get(link)) is not None:
            one.up, one.since = True, now
            self._write(one, self._hello())
        return self._out()

    def data(self, now: float, link: int, data: bytes) -> list[Action]:
        self.now = now
        one = self.links.get(link)
        if one is not None:
            try:
                messages = one.frames.feed(data)
                for message in messages:
                    if link in self.links:
                        self._message(one, message)
            except Garbage as garbage:
                self._end(one, f"garbage: {garbage}")
        return self._out()

    def lost(self, now: float, link: int, reason: str) -> list[Action]:
        self.now = now
        if (one := self.links.get(link)) is not None:
            self._gone(one, reason)
        return self._out()

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        self.now = now
        assert self.voter is not None
        self._voter(self.voter.saved(now, number, error))
        return self._out()

    def wake(self, now: float) -> list[Action]:
        self.now = now
        for one in list(self.links.values()):
            if not one.greeted and one.parked is None and now >= one.since + GREET:
                self._end(one, "no word of who it is")
            elif one.prove_by <= now:
                self._end(one, "another router has its name, and it gives no word")
        self._calls()
        if self.leases.due(now) <= now:
            self._leases(self.leases.wake(now))
        if self.voter is not None and self.voter.due(now) <= now:
            self._voter(self.voter.wake(now))
        return self._out()

    @property
    def due(self) -> float:
        """When `wake` has something to do."""
        times = [when for when, _ in self.pauses.values()]
        for one in self.links.values():
            times.append(one.prove_by if one.greeted else one.since + GREET)
        times.append(self.leases.due(self.now))
        if self.voter is not None:
            times.append(self.voter.due(self.now))
        return min(times)

    # ---- links

    def _hello(self) -> Hello:
        plan = self.plan
        return Hello(VERSION, plan.fleet, plan.name, self.incarnation, plan.voters, plan.lease)

    def _calls(self) -> None:
        for voter, (when, pause) in list(self.pauses.items()):
            if when <= self.now:
                del self.pauses[voter]
                link = Link(self.number(), dialled=voter, since=self.now)
                self.links[link.id] = link
                self.next_pause[voter] = min(DIAL[1], 2 * pause)
                self.actions.append(Dial(link.id, voter))

    def _write(self, one: Link, message: Message) -> None:
        if one.up:
            self.actions.append(Write(one.id, encode(message)))

    def _end(self, one: Link, reason: str, clash: bool = False) -> None:
        self._note("link ended", one.name or one.dialled, reason)
        self._write(one, Bye(reason, clash))
        self.actions.append(Shut(one.id))
        self._gone(one, reason)

    def _note(self, event: str, who: str, reason: str) -> None:
        if (who, reason) not in self.noted and len(self.noted) < 10_000:
            self.noted.add((who, reason))
            self.actions.append(LogLine(event, {"who": who or "somebody", "reason": reason}))

    def _gone(self, one: Link, reason: str) -> None:
        self.links.pop(one.id, None)
        if one.parked is not None:  # the newcomer has the name to itself
            newcomer = self.links.get(one.behind)
            if newcomer is not None and not newcomer.greeted:
                self._greeted(newcomer, one.parked)
        if one.greeted and self.by_name.get(one.name) is one:
            del self.by_name[one.name]
            self._links_changed(one.name, False)
        if one.operator and self.voter is not None:
            self._voter(self.voter.operator(self.now, one.id, False))
        if one.dialled:
            pause = self.next_pause[one.dialled]
            self.pauses[one.dialled] = self.now + pause * self.random.uniform(0.5, 1.0), pause

    def _links_changed(self, name: str, up: bool) -> None:
        if name not in self.plan.voters:
            return
        self._leases(self.leases.up(self.now, name) if up else self.leases.down(self.now, name))
        if self.voter is not None:
            self._voter(self.voter.link(self.now, name, up))

    def _hello_came(self, one: Link, hello: Hello) -> None:
        plan, faults = self.plan, []
        if hello.version != VERSION:
            faults.append(f"version {hello.version} of the fleet's messages, here it is {VERSION}")
        if hello.fleet != plan.fleet:
            faults.append(f"fleet {hello.fleet!r}, here it is {plan.fleet!r}")
        if hello.name:
            if hello.voters != plan.voters:
                faults.append(
                    f"fleet.voters: {', '.join(hello.voters)}; here they are {', '.join(plan.voters)}"
                )
            if hello.lease != plan.lease:
                faults.append(f"fleet.lease: {hello.lease:g} s, here it is {plan.lease:g} s")
            if one.dialled and hello.name != one.dialled:
                faults.append(f"{hello.name!r} answers where {one.dialled!r} was called")
            if hello.name == plan.name:
                faults.append(f"name: {hello.name!r} is this router's own")
        if faults:
            self._end(one, "; ".join(faults), clash=True)
            return
        if not one.dialled:
            if not hello.name:
                one.greeted = one.operator = True
                self._write(one, self._hello())
                assert self.voter is not None
                self._voter(self.voter.operator(self.now, one.id, True))
                return
            older = self.by_name.get(hello.name)
            if older is not None and older.incarnation != hello.incarnation:
                if older.parked is not None:  # a third one
                    self._end(one, f"name: {hello.name!r} is being claimed by two others", clash=True)
                    return
                older.parked, older.behind, older.prove_by = hello, one.id, self.now + PROVE
                self._write(older, RenewNow())
                return
            if older is not None:
                self._end(older, "it has made a new link")
        self._greeted(one, hello)

    def _greeted(self, one: Link, hello: Hello) -> None:
        one.name, one.incarnation, one.greeted = hello.name, hello.incarnation, True
        self.by_name[one.name] = one
        if one.dialled:
            self.next_pause[one.dialled] = DIAL[0]
        else:
            self._write(one, self._hello())
        self._links_changed(one.name, True)

    def _message(self, one: Link, message: Message) -> None:
        if one.parked is not None:  # it lives: the newcomer by its name has to go
            newcomer = self.links.get(one.behind)
            one.parked, one.prove_by = None, math.inf
            if newcomer is not None:
                self._end(newcomer, f"name: a router {one.name!r} is here already", clash=True)
        match message:
            case Bye(reason, clash):
                self._note("turned away", one.name or one.dialled, reason)
                if clash and not self.leases.serving:
                    self.actions.append(Ousted(f"{one.name or one.dialled}: {reason}"))
                self.actions.append(Shut(one.id))
                self._gone(one, reason)
            case Hello() if not one.greeted:
                self._hello_came(one, message)
            case _ if not one.greeted:
                raise Garbage(f"{type(message).__name__} before Hello")
            case Set() if one.operator and self.voter is not None:
                self._voter(self.voter.set(self.now, one.id, message))
            case Show() if one.operator and self.voter is not None:
                self._write(one, self._shown())
            case _ if one.operator:
                raise Garbage(f"{type(message).__name__} from an operator")
            case LeaseRequest() if self.voter is not None:
                grant, actions = self.voter.ask(self.now, one.name, one.incarnation, message)
                self._voter(actions)
                if grant is not None:
                    self._write(one, grant)
            case LeaseGrant() if one.name in self.plan.voters:
                self._leases(self.leases.granted(self.now, one.name, message))
            case RenewNow() if one.name in self.plan.voters:
                self._leases(self.leases.nudged(self.now, one.name))
            case RenewNow():
                return
            case _ if self.voter is not None and one.name in self.plan.voters:
                self._voter(self.voter.message(self.now, one.name, message))
            case _:
                raise Garbage(f"{type(message).__name__} from {one.name!r}")

    def _shown(self) -> Shown:
        assert self.voter is not None
        return self.voter.show(self.now)

    # ---- parts

    def _leases(self, actions: list[leases.Action]) -> None:
        for action in actions:
            match action:
                case leases.SendRequest(voter, message):
                    if voter == self.plan.name:
                        self.inbox.append(lambda message=message: self._ask_self(message))  # type: ignore[misc]
                    elif (one := self.by_name.get(voter)) is not None:
                        self._write(one, message)
                case leases.Stalled(voter):
                    if (one := self.by_name.get(voter)) is not None:
                        self._end(one, "no answer: the link has stalled")
                case LogLine() | EpochAdopted() | LeaseExtended():
                    self.actions.append(action)

    def _ask_self(self, ask: LeaseRequest) -> None:
        assert self.voter is not None
        grant, actions = self.voter.ask(self.now, self.plan.name, self.incarnation, ask)
        self._voter(actions)
        if grant is not None:
            self._leases(self.leases.granted(self.now, self.plan.name, grant))

    def _voter(self, actions: list[voting.Action]) -> None:
        for action in actions:
            match action:
                case voting.ToVoter(voter, message):
                    if (one := self.by_name.get(voter)) is not None:
                        self._write(one, message)
                case voting.ToOperator(operator, message):
                    if (one := self.links.get(operator)) is not None:
                        self._write(one, message)
                case voting.AnnounceRenewal():
                    for one in self.by_name.values():
                        self._write(one, RenewNow())
                    self.inbox.append(lambda: self._leases(self.leases.nudged(self.now, self.plan.name)))
                case LogLine() | Save():
                    self.actions.append(action)

    def _out(self) -> list[Action]:
        while self.inbox:
            self.inbox.popleft()()
        done, self.actions = self.actions, []
        return done
