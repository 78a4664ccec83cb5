"""The links of one member of a fleet: dialling, greeting, and who is at the other end. Pure.

The end that dialled says `Hello` first, and the other end answers with its own. Where the two don't belong together
the link is ended with the reason (`Bye`), which is logged once. A link that broke is dialled again after a random pause
that grows.

| state of a link | event | next | what is sent |
| --- | --- | --- | --- |
| dialled | connected | greeting | `Hello` |
| accepted | - | greeting | - |
| greeting | `Hello` that fits | greeted | `Hello`, from the end that accepted |
| greeting | `Hello` that does not fit, another message, or silence | gone | `Bye` |
| greeted | a message | greeted | what the owner answers |
| greeted | `Hello` of its name and role on a new link, another incarnation | claimed | `RenewNow` |
| greeted | `Hello` of its name and role on a new link, same incarnation | gone; the other link is greeted | `Bye` |
| claimed | lost | gone; the other link is greeted | `Hello` there |
| claimed | `CLAIM_TIMEOUT_SECONDS` are over, a message came | greeted; the other link is gone | `Bye` there, for good |
| claimed | `CLAIM_TIMEOUT_SECONDS` are over, no message came | gone; the other link is greeted | `Bye` |
| any | lost | gone | - |

Name conflicts. A restarted process often connects before the end of its old link is noticed, while two processes of one
name are a mistake in the configuration. So the older link is asked for a sign of life. If it gives one, the newcomer is
refused for good and its program ends. A router and an aggregator may have the same name, as their roles tell them
apart.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from banklift.fleet.actions import LogLine
from banklift.fleet.messages import (
    PROTOCOL_VERSION,
    Bye,
    FrameDecoder,
    Hello,
    Message,
    ProtocolError,
    RenewNow,
    Role,
    encode,
)
from banklift.fleet.plan import Plan

REDIAL_PAUSE_SECONDS = (0.05, 1.0)  # before a lost link is dialled again: the first pause, and the longest
GREETING_TIMEOUT_SECONDS = 5.0  # for the other end's `Hello`; thousands of members may connect at once
CLAIM_TIMEOUT_SECONDS = 0.5  # for a sign of life on the older link when another process claims its name
MAX_LINKS = 16_384  # of one member
MAX_LOGGED_REASONS = 10_000  # remembered, so that each is logged once


@dataclass(frozen=True, slots=True)
class Dial:
    """Action: connect a link to the member of this name."""

    link: int
    peer: str


@dataclass(frozen=True, slots=True)
class Write:
    """Action: write bytes to a link."""

    link: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Action: close a link once all that was written to it has been sent."""

    link: int


@dataclass(frozen=True, slots=True)
class NameConflict:
    """Action: end this program, as another member has refused it for good."""

    reason: str


Action = Dial | Write | CloseLink | NameConflict | LogLine


@dataclass(slots=True, eq=False)
class Link:
    """A connection to another member or to an operator, and what is known of the other end."""

    id: int
    dialled: str = ""  # name of the member that was dialled; empty: the link was accepted
    up: bool = False
    name: str = ""  # of the other end, from its `Hello`
    role: Role = Role.ROUTER
    incarnation: int = 0
    greeted: bool = False
    since: float = 0.0  # when it was dialled, or connected
    claim_deadline: float = math.inf  # of the claim on its name by another link
    claim: Hello | None = None  # the `Hello` of the link that claims its name
    claimed_by: int = 0  # number of the link that claims its name
    heard_since_claim: bool = False  # whether any message has come on it since the claim
    frames: FrameDecoder = field(default_factory=FrameDecoder)

    @property
    def operator(self) -> bool:
        """Whether the other end is an operator's tool."""
        return self.greeted and self.role is Role.OPERATOR


class Owner(Protocol):
    """The member that a set of links belongs to."""

    def link_changed(self, link: Link, up: bool) -> None:
        """A link has been greeted, or a greeted link is gone."""

    def message(self, link: Link, message: Message) -> None:
        """Handle a message on a greeted link. Errors: `ProtocolError` if the sender may not send it."""

    def ends_on_name_conflict(self) -> bool:
        """Whether a name conflict may still end this program."""


class Links:
    """All links of one member.

    `peers`: members that it dials, all of them of `peer_role`. `accepts`: whether other members may dial this one.
    Times are seconds on the member's own clock.
    """

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
        self.owner: Owner  # set by the owner itself
        self.by_id: dict[int, Link] = {}
        self.by_name: dict[tuple[Role, str], Link] = {}
        self.ungreeted: dict[int, Link] = {}  # in the order of their greeting timeouts
        self.claimed: dict[int, Link] = {}  # in the order of their claim deadlines
        self.redial_at: dict[str, float] = {}  # peers without a link: when they are dialled next
        self.next_redial_pause: dict[str, float] = dict.fromkeys(peers, REDIAL_PAUSE_SECONDS[0])
        self.last_link_number = 0
        self.logged_reasons: set[tuple[str, str]] = set()  # pairs of peer and reason
        self.now = 0.0
        self.actions: list[Action] = []

    # ---- events

    def start(self, now: float) -> None:
        """The process has started: dial all peers."""
        self.now = now
        self.redial_at = dict.fromkeys(self.next_redial_pause, now)
        self._dial()

    def new_link_number(self) -> int:
        """A new number, for a link that another member has dialled."""
        self.last_link_number += 1
        return self.last_link_number

    def accepted(self, now: float, number: int) -> None:
        """Another member has dialled this one. The link's number comes from `new_link_number`."""
        self.now = now
        link = self.by_id[number] = Link(number, up=True, since=now)
        self.ungreeted[number] = link
        if not self.accepts or len(self.by_id) > MAX_LINKS:
            self.end(link, "too many links" if self.accepts else "only voters and aggregators accept links")

    def connected(self, now: float, number: int) -> None:
        """A dialled link is connected."""
        self.now = now
        link = self.by_id.get(number)
        if link is not None:
            link.up, link.since = True, now
            self.ungreeted.pop(number, None)
            self.ungreeted[number] = link
            self.write(link, self._hello())

    def data(self, now: float, number: int, data: bytes) -> None:
        """Bytes came on a link. A protocol error ends the link."""
        self.now = now
        link = self.by_id.get(number)
        if link is None:
            return
        try:
            for message in link.frames.feed(data):
                if number in self.by_id:
                    self._dispatch(link, message)
        except ProtocolError as error:
            self.end(link, f"protocol error: {error}")

    def lost(self, now: float, number: int, reason: str) -> None:
        """A link is gone, or could not be connected."""
        self.now = now
        link = self.by_id.get(number)
        if link is not None:
            self._remove(link)

    def wake(self, now: float) -> None:
        """`due` has come: end links whose timeouts are over, and dial again."""
        self.now = now
        while self.ungreeted and next(iter(self.ungreeted.values())).since + GREETING_TIMEOUT_SECONDS <= now:
            self.end(next(iter(self.ungreeted.values())), "no Hello before the timeout")
        while self.claimed and next(iter(self.claimed.values())).claim_deadline <= now:
            self._resolve_claim(next(iter(self.claimed.values())))
        self._dial()

    @property
    def due(self) -> float:
        """When `wake` has something to do."""
        due = min(self.redial_at.values(), default=math.inf)
        if self.ungreeted:
            due = min(due, next(iter(self.ungreeted.values())).since + GREETING_TIMEOUT_SECONDS)
        if self.claimed:
            due = min(due, next(iter(self.claimed.values())).claim_deadline)
        return due

    # ---- for the owner

    def to(self, role: Role, name: str) -> Link | None:
        """The greeted link to a member, if there is one."""
        return self.by_name.get((role, name))

    def write(self, link: Link, message: Message) -> None:
        """Send a message, if the link is up."""
        if link.up:
            self.actions.append(Write(link.id, encode(message)))

    def end(self, link: Link, reason: str, clash: bool = False) -> None:
        """End a link, and tell the other end why. `clash`: as in `Bye`."""
        self._log("link ended", link, reason)
        self.write(link, Bye(reason, clash))
        self.actions.append(CloseLink(link.id))
        self._remove(link)

    def mark_useful(self, link: Link) -> None:
        """A dialled link has brought an answer: if it breaks, the first redial comes after the shortest pause.

        A greeting alone does not count, or a member that is overloaded would be dialled again at the shortest pause
        for ever.
        """
        if link.dialled:
            self.next_redial_pause[link.dialled] = REDIAL_PAUSE_SECONDS[0]

    # ---- parts

    def _hello(self) -> Hello:
        """This member's `Hello`."""
        plan = self.plan
        return Hello(
            PROTOCOL_VERSION,
            plan.fleet,
            plan.name,
            self.incarnation,
            plan.voters,
            plan.lease,
            plan.sub_lease,
            self.role,
        )

    def _dial(self) -> None:
        """Dial the peers whose pause is over."""
        for peer, when in list(self.redial_at.items()):
            if when <= self.now:
                del self.redial_at[peer]
                link = Link(self.new_link_number(), dialled=peer, since=self.now)
                self.by_id[link.id] = self.ungreeted[link.id] = link
                self.actions.append(Dial(link.id, peer))

    def _log(self, event: str, link: Link, reason: str) -> None:
        """Log an event with its reason, once for each peer and reason."""
        who = link.name or link.dialled or "somebody"
        if (who, reason) not in self.logged_reasons and len(self.logged_reasons) < MAX_LOGGED_REASONS:
            self.logged_reasons.add((who, reason))
            self.actions.append(LogLine(event, {"who": who, "reason": reason}))

    def _remove(self, link: Link) -> None:
        """Remove a link; greet the link that claims its name, or plan the next dial."""
        self.by_id.pop(link.id, None)
        self.ungreeted.pop(link.id, None)
        self.claimed.pop(link.id, None)
        if link.claim is not None:  # the link that claims its name may have it now
            newcomer = self.by_id.get(link.claimed_by)
            if newcomer is not None and not newcomer.greeted:
                self._unregister(link)
                self._finish_greeting(newcomer, link.claim)
                return
        self._unregister(link)
        if link.dialled:
            pause = self.next_redial_pause[link.dialled]
            self.redial_at[link.dialled] = self.now + pause * self.random.uniform(0.5, 1.0)
            self.next_redial_pause[link.dialled] = min(REDIAL_PAUSE_SECONDS[1], 2 * pause)

    def _unregister(self, link: Link) -> None:
        """Take a greeted link out of the index by name, and tell the owner."""
        key = link.role, link.name
        if link.greeted and (link.operator or self.by_name.get(key) is link):
            if not link.operator:
                del self.by_name[key]
            self.owner.link_changed(link, False)

    def _dispatch(self, link: Link, message: Message) -> None:
        """Handle a message on any link. Errors: `ProtocolError` for one that may not come there."""
        link.heard_since_claim = True
        match message:
            case Bye(reason, clash):
                self._handle_bye(link, reason, clash)
            case Hello() if not link.greeted:
                self._handle_hello(link, message)
            case _ if not link.greeted:
                raise ProtocolError(f"{type(message).__name__} before Hello")
            case _:
                self.owner.message(link, message)

    def _handle_bye(self, link: Link, reason: str, clash: bool) -> None:
        """The other end has ended the link with `Bye`."""
        self._log("turned away", link, reason)
        if clash and self.owner.ends_on_name_conflict():
            self.actions.append(NameConflict(f"{link.name or link.dialled}: {reason}"))
        self.actions.append(CloseLink(link.id))
        self._remove(link)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        """Handle the other end's `Hello`: refuse it, greet it, or let it claim the name of an older link."""
        mismatches = self._mismatches(link, hello)
        if mismatches:
            self.end(link, "; ".join(mismatches), clash=True)
            return
        older = None if link.dialled or not hello.name else self.by_name.get((hello.role, hello.name))
        if older is not None and older.incarnation != hello.incarnation:
            self._start_claim(older, link, hello)
            return
        if older is not None:
            self.end(older, "the member has made a new link")
        self._finish_greeting(link, hello)

    def _start_claim(self, older: Link, newcomer: Link, hello: Hello) -> None:
        """A new link claims the name of an older one, which has to give a sign of life before the deadline."""
        if older.claim is not None and older.claimed_by in self.by_id:
            # Without `clash`, so the newcomer may come again.
            self.end(newcomer, f"name: {hello.name!r} is being claimed by another link")
            return
        older.claim, older.claimed_by = hello, newcomer.id
        older.heard_since_claim, older.claim_deadline = False, self.now + CLAIM_TIMEOUT_SECONDS
        self.claimed.pop(older.id, None)
        self.claimed[older.id] = older
        self.ungreeted.pop(newcomer.id, None)
        self.write(older, RenewNow())

    def _resolve_claim(self, link: Link) -> None:
        """The claim on a link is due: the link stays if a message came on it, or if the newcomer has gone."""
        newcomer = self.by_id.get(link.claimed_by)
        if newcomer is not None and not link.heard_since_claim:
            self.end(link, "another process claims its name, and no message came on this link")
            return
        link.claim, link.claim_deadline = None, math.inf
        self.claimed.pop(link.id, None)
        if newcomer is not None:
            self.end(newcomer, f"name: a {link.role} {link.name!r} is here already", clash=True)

    def _mismatches(self, link: Link, hello: Hello) -> list[str]:
        """Why both ends don't belong together, a text for each mismatch; empty if they do."""
        plan, mismatches = self.plan, []
        if hello.version != PROTOCOL_VERSION:
            mismatches.append(
                f"version {hello.version} of the fleet's messages, here it is {PROTOCOL_VERSION}"
            )
        if hello.fleet != plan.fleet:
            mismatches.append(f"fleet {hello.fleet!r}, here it is {plan.fleet!r}")
        if not hello.name:
            return mismatches
        if hello.voters != plan.voters:
            mismatches.append(
                f"fleet.voters: {', '.join(hello.voters)}; here they are {', '.join(plan.voters)}"
            )
        if hello.lease != plan.lease:
            mismatches.append(f"fleet.lease: {hello.lease:g} s, here it is {plan.lease:g} s")
        if hello.sub_lease != plan.sub_lease:
            mismatches.append(f"fleet.sub_lease: {hello.sub_lease:g} s, here it is {plan.sub_lease:g} s")
        if link.dialled and hello.name != link.dialled:
            mismatches.append(f"{hello.name!r} answers where {link.dialled!r} was dialled")
        elif link.dialled and hello.role is not self.peer_role:
            mismatches.append(
                f"{hello.name!r} answers as {hello.role}, and the role of the dialled member is {self.peer_role}"
            )
        if (hello.role, hello.name) == (self.role, plan.name):
            mismatches.append(f"name: {hello.name!r} is this {self.role}'s own")
        return mismatches

    def _finish_greeting(self, link: Link, hello: Hello) -> None:
        """The other end is known and fits: finish the greeting, and tell the owner."""
        link.name, link.incarnation, link.greeted = hello.name, hello.incarnation, True
        link.role = hello.role if hello.name else Role.OPERATOR
        self.ungreeted.pop(link.id, None)
        if not link.operator:
            self.by_name[link.role, link.name] = link
        if not link.dialled:
            self.write(link, self._hello())
        self.owner.link_changed(link, True)
