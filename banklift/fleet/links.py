"""The links of one member of a fleet: dialling, greeting, who is at the other end. Pure.

Both ends say `Hello` first, and a link whose ends don't belong together is ended with the reason (`Bye`),
which is logged once. A link that broke is made again after a pause that is drawn and grows.

| state of a link | event | next | what is sent |
| --- | --- | --- | --- |
| dialled | up | greeting | `Hello` |
| accepted | - | greeting | - |
| greeting | `Hello` that fits | greeted | `Hello`, from the end that accepted |
| greeting | `Hello` that does not fit, another message, or silence | gone | `Bye` |
| greeted | a message | greeted | what its owner answers |
| greeted | `Hello` of the same name on another link | claimed | `RenewNow`, to make it give a word |
| claimed | lost | gone; the other link is greeted | `Hello` there |
| claimed | `PROVE` is over, a word came | greeted; the other link is gone | `Bye` there, for good |
| claimed | `PROVE` is over, no word came | gone; the other link is greeted | `Bye` |
| any | lost | gone | - |

Two of one name. A restart is often quicker than the end of its old link; two processes by one name are a
mistake. The older link is asked for a word, and if it gives one the newcomer is turned away for good and its
program ends. A router and an aggregator may have one name: they are told apart by their role.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from banklift.fleet.actions import LogLine
from banklift.fleet.messages import (
    VERSION,
    Bye,
    Frames,
    Garbage,
    Hello,
    Message,
    RenewNow,
    Role,
    encode,
)
from banklift.fleet.plan import Plan

DIAL = (0.05, 1.0)  # seconds before a link is made again: at first, and at the most
GREET = 5.0  # seconds in which the other end has to say who it is; thousands may come at once
PROVE = 0.5  # seconds in which an older link of a name has to give a word
MAX_LINKS = 16_384  # that one member takes
MAX_LOGGED = 10_000  # reasons that are remembered as logged


@dataclass(frozen=True, slots=True)
class Dial:
    """Make a link to a member by its name."""

    link: int
    peer: str


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


Action = Dial | Write | Shut | Ousted | LogLine


@dataclass(slots=True, eq=False)
class Link:
    id: int
    dialled: str = ""  # the member that was called
    up: bool = False
    name: str = ""  # of the other end, once it has said so
    role: Role = Role.ROUTER
    incarnation: int = 0
    greeted: bool = False
    since: float = 0.0
    prove_by: float = math.inf  # it has to give a word, as another one has come by its name
    claim: Hello | None = None  # ... and this is that other one's
    claimed_by: int = 0  # the link that waits for it
    gave_word: bool = False  # since it was claimed
    frames: Frames = field(default_factory=Frames)

    @property
    def operator(self) -> bool:
        return self.greeted and self.role is Role.OPERATOR


class Owner(Protocol):
    """What a member does with its links."""

    def link_changed(self, link: Link, up: bool) -> None:
        """A greeted link is up, or gone."""

    def message(self, link: Link, message: Message) -> None:
        """A message on a greeted link. Errors: `Garbage` if it does not belong there."""

    def may_be_ousted(self) -> bool:
        """Whether a clash of names may still end this program."""


class Links:
    """`peers`: members that are dialled, all of them of `peer_role`. `accepts`: whether others may make links here."""

    def __init__(
        self,
        plan: Plan,
        role: Role,
        incarnation: int,
        random: Random,
        peers: tuple[str, ...],
        peer_role: Role,
        accepts: bool,
    ) -> None:
        self.plan, self.role, self.incarnation, self.random = plan, role, incarnation, random
        self.peer_role, self.accepts = peer_role, accepts
        self.owner: Owner
        self.by_id: dict[int, Link] = {}
        self.by_name: dict[tuple[Role, str], Link] = {}
        self.ungreeted: dict[int, Link] = {}  # in the order of their time to greet
        self.claimed: dict[int, Link] = {}  # in the order of their time to give a word
        self.redial: dict[str, float] = {}  # peers without a link: when they are called
        self.next_pause: dict[str, float] = dict.fromkeys(peers, DIAL[0])
        self.numbers = 0
        self.logged: set[tuple[str, str]] = set()
        self.now = 0.0
        self.actions: list[Action] = []

    # ---- events

    def start(self, now: float) -> None:
        self.now = now
        self.redial = dict.fromkeys(self.next_pause, now)
        self._dial()

    def number(self) -> int:
        """The number of a link that somebody else has made."""
        self.numbers += 1
        return self.numbers

    def accepted(self, now: float, number: int) -> None:
        """Somebody has made a link here. Its number comes from `number`."""
        self.now = now
        link = self.by_id[number] = Link(number, up=True, since=now)
        self.ungreeted[number] = link
        if not self.accepts or len(self.by_id) > MAX_LINKS:
            self.end(link, "too many links" if self.accepts else "no voter and no aggregator")

    def connected(self, now: float, number: int) -> None:
        self.now = now
        link = self.by_id.get(number)
        if link is not None:
            link.up, link.since = True, now
            self.ungreeted.pop(number, None)
            self.ungreeted[number] = link
            self.write(link, self._hello())

    def data(self, now: float, number: int, data: bytes) -> None:
        self.now = now
        link = self.by_id.get(number)
        if link is None:
            return
        try:
            for message in link.frames.feed(data):
                if number in self.by_id:
                    self._message(link, message)
        except Garbage as garbage:
            self.end(link, f"garbage: {garbage}")

    def lost(self, now: float, number: int, reason: str) -> None:
        self.now = now
        link = self.by_id.get(number)
        if link is not None:
            self._gone(link)

    def wake(self, now: float) -> None:
        self.now = now
        while self.ungreeted and next(iter(self.ungreeted.values())).since + GREET <= now:
            self.end(next(iter(self.ungreeted.values())), "no word of who it is")
        while self.claimed and next(iter(self.claimed.values())).prove_by <= now:
            self._claim_is_due(next(iter(self.claimed.values())))
        self._dial()

    @property
    def due(self) -> float:
        """When `wake` has something to do."""
        due = min(self.redial.values(), default=math.inf)
        if self.ungreeted:
            due = min(due, next(iter(self.ungreeted.values())).since + GREET)
        if self.claimed:
            due = min(due, next(iter(self.claimed.values())).prove_by)
        return due

    # ---- for the owner

    def to(self, role: Role, name: str) -> Link | None:
        """The greeted link to a member, if there is one."""
        return self.by_name.get((role, name))

    def write(self, link: Link, message: Message) -> None:
        if link.up:
            self.actions.append(Write(link.id, encode(message)))

    def end(self, link: Link, reason: str, clash: bool = False) -> None:
        """End a link with a reason that the other end is told."""
        self._log("link ended", link, reason)
        self.write(link, Bye(reason, clash))
        self.actions.append(Shut(link.id))
        self._gone(link)

    def useful(self, link: Link) -> None:
        """A dialled link has brought an answer: should it break, it is made again soon. One that was merely
        greeted says nothing of that, and who is overloaded would be called ever again."""
        if link.dialled:
            self.next_pause[link.dialled] = DIAL[0]

    # ---- parts

    def _hello(self) -> Hello:
        plan = self.plan
        return Hello(
            VERSION,
            plan.fleet,
            plan.name,
            self.incarnation,
            plan.voters,
            plan.lease,
            plan.sub_lease,
            self.role,
        )

    def _dial(self) -> None:
        for peer, when in list(self.redial.items()):
            if when <= self.now:
                del self.redial[peer]
                link = Link(self.number(), dialled=peer, since=self.now)
                self.by_id[link.id] = self.ungreeted[link.id] = link
                self.actions.append(Dial(link.id, peer))

    def _log(self, event: str, link: Link, reason: str) -> None:
        who = link.name or link.dialled or "somebody"
        if (who, reason) not in self.logged and len(self.logged) < MAX_LOGGED:
            self.logged.add((who, reason))
            self.actions.append(LogLine(event, {"who": who, "reason": reason}))

    def _gone(self, link: Link) -> None:
        self.by_id.pop(link.id, None)
        self.ungreeted.pop(link.id, None)
        self.claimed.pop(link.id, None)
        if link.claim is not None:  # the newcomer has the name to itself
            newcomer = self.by_id.get(link.claimed_by)
            if newcomer is not None and not newcomer.greeted:
                self._forget(link)
                self._greeted(newcomer, link.claim)
                return
        self._forget(link)
        if link.dialled:
            pause = self.next_pause[link.dialled]
            self.redial[link.dialled] = self.now + pause * self.random.uniform(0.5, 1.0)
            self.next_pause[link.dialled] = min(DIAL[1], 2 * pause)

    def _forget(self, link: Link) -> None:
        key = link.role, link.name
        if link.greeted and (link.operator or self.by_name.get(key) is link):
            if not link.operator:
                del self.by_name[key]
            self.owner.link_changed(link, False)

    def _message(self, link: Link, message: Message) -> None:
        link.gave_word = True
        match message:
            case Bye(reason, clash):
                self._turned_away(link, reason, clash)
            case Hello() if not link.greeted:
                self._hello_came(link, message)
            case _ if not link.greeted:
                raise Garbage(f"{type(message).__name__} before Hello")
            case _:
                self.owner.message(link, message)

    def _turned_away(self, link: Link, reason: str, clash: bool) -> None:
        self._log("turned away", link, reason)
        if clash and self.owner.may_be_ousted():
            self.actions.append(Ousted(f"{link.name or link.dialled}: {reason}"))
        self.actions.append(Shut(link.id))
        self._gone(link)

    def _hello_came(self, link: Link, hello: Hello) -> None:
        faults = self._faults(link, hello)
        if faults:
            self.end(link, "; ".join(faults), clash=True)
            return
        older = None if link.dialled or not hello.name else self.by_name.get((hello.role, hello.name))
        if older is not None and older.incarnation != hello.incarnation:
            self._claim(older, link, hello)
            return
        if older is not None:
            self.end(older, "it has made a new link")
        self._greeted(link, hello)

    def _claim(self, older: Link, newcomer: Link, hello: Hello) -> None:
        """A newcomer has come by the name of an older link, which has to give a word."""
        if older.claim is not None and older.claimed_by in self.by_id:
            self.end(newcomer, f"name: {hello.name!r} is being claimed by another one")  # it may come again
            return
        older.claim, older.claimed_by = hello, newcomer.id
        older.gave_word, older.prove_by = False, self.now + PROVE
        self.claimed.pop(older.id, None)
        self.claimed[older.id] = older
        self.ungreeted.pop(newcomer.id, None)
        self.write(older, RenewNow())

    def _claim_is_due(self, link: Link) -> None:
        """The older link has had its time: it stays if it gave a word, or if the newcomer has gone before."""
        newcomer = self.by_id.get(link.claimed_by)
        if newcomer is not None and not link.gave_word:
            self.end(link, "another member has its name, and it gives no word")
            return
        link.claim, link.prove_by = None, math.inf
        self.claimed.pop(link.id, None)
        if newcomer is not None:
            self.end(newcomer, f"name: a {link.role} {link.name!r} is here already", clash=True)

    def _faults(self, link: Link, hello: Hello) -> list[str]:
        """Why both ends don't belong together; nothing if they do."""
        plan, faults = self.plan, []
        if hello.version != VERSION:
            faults.append(f"version {hello.version} of the fleet's messages, here it is {VERSION}")
        if hello.fleet != plan.fleet:
            faults.append(f"fleet {hello.fleet!r}, here it is {plan.fleet!r}")
        if not hello.name:
            return faults
        if hello.voters != plan.voters:
            faults.append(f"fleet.voters: {', '.join(hello.voters)}; here they are {', '.join(plan.voters)}")
        if hello.lease != plan.lease:
            faults.append(f"fleet.lease: {hello.lease:g} s, here it is {plan.lease:g} s")
        if hello.sub_lease != plan.sub_lease:
            faults.append(f"fleet.sub_lease: {hello.sub_lease:g} s, here it is {plan.sub_lease:g} s")
        if link.dialled and hello.name != link.dialled:
            faults.append(f"{hello.name!r} answers where {link.dialled!r} was called")
        elif link.dialled and hello.role is not self.peer_role:
            faults.append(f"{hello.name!r} answers as {hello.role}, and the one called is {self.peer_role}")
        if (hello.role, hello.name) == (self.role, plan.name):
            faults.append(f"name: {hello.name!r} is this {self.role}'s own")
        return faults

    def _greeted(self, link: Link, hello: Hello) -> None:
        link.name, link.incarnation, link.greeted = hello.name, hello.incarnation, True
        link.role = hello.role if hello.name else Role.OPERATOR
        self.ungreeted.pop(link.id, None)
        if not link.operator:
            self.by_name[link.role, link.name] = link
        if not link.dialled:
            self.write(link, self._hello())
        self.owner.link_changed(link, True)
