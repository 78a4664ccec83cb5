"""One router of a fleet: its links, its leases and, if it is one, its voter, as one machine without I/O.

A router has a link to each of its grantors and to nobody else: to every voter, or to the aggregators that it
leases from. A pair of voters has one, made by the one that stands later in the list. A voter that is this
router itself is spoken to in place, by the same messages. How links are made and who may be at their other end
is told in links.py.

Who may take requests is told by `EpochAdopted` and `LeaseExtended` (lease.py); nothing else of this reaches
the machine of the router.
"""

from __future__ import annotations

from banklift.fleet import voter as voting
from banklift.fleet.actions import LogLine
from banklift.fleet.durable import Save
from banklift.fleet.holder import Action as HolderAction
from banklift.fleet.holder import EpochAdopted, LeaseExtended, SendToGrantor, Stalled
from banklift.fleet.lease import LeaseClient
from banklift.fleet.links import Link
from banklift.fleet.member import Action, Member
from banklift.fleet.messages import (
    Garbage,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    RenewNow,
    Role,
    Set,
    Show,
)
from banklift.fleet.plan import Plan
from banklift.fleet.policies import Check
from banklift.fleet.register import Record
from banklift.fleet.voter import Voter


class Node(Member):
    """`record` and `absent`: what a voter's disk held (`Voter`); `policy`: of this router's file, with which a
    fleet begins; `check`: what is against a policy here."""

    def __init__(
        self,
        plan: Plan,
        incarnation: int,
        seed: int,
        policy: bytes,
        check: Check,
        record: Record | None = None,
        absent: bool = True,
    ) -> None:
        is_voter = plan.name in plan.voters
        self.uses_aggregators = bool(plan.aggregators) and not is_voter
        self.grantor_role = Role.AGGREGATOR if self.uses_aggregators else Role.ROUTER
        peers = plan.voters[: plan.voters.index(plan.name)] if is_voter else plan.aggregators or plan.voters
        super().__init__(plan, Role.ROUTER, incarnation, seed, peers, self.grantor_role, accepts=is_voter)
        grantors = plan.aggregators if self.uses_aggregators else plan.voters
        lease = plan.sub_lease if self.uses_aggregators else plan.lease
        self.leases = LeaseClient(grantors, lease, plan.drift, self.random, check, self.uses_aggregators)
        if is_voter:
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

    # ---- events

    def saved(self, now: float, number: int, error: str) -> list[Action]:
        self.now = now
        assert self.voter is not None
        self._voter(self.voter.saved(now, number, error))
        return self._out()

    def leave(self, now: float) -> list[Action]:
        """Take no request from now on, and give all leases back."""
        self.now = now
        self._leases(self.leases.leave(now))
        return self._out()

    def _own_due(self) -> float:
        due = self.leases.due(self.now)
        return min(due, self.voter.due(self.now)) if self.voter is not None else due

    def _started(self) -> None:
        if self.voter is not None:
            self._voter(self.voter.start(self.now))
            self._leases(self.leases.up(self.now, self.plan.name))

    def _woken(self) -> None:
        self._leases(
            self.leases.wake(self.now)
        )  # also where an epoch begins, which is due only before that moment
        if self.voter is not None and self.voter.due(self.now) <= self.now:
            self._voter(self.voter.wake(self.now))

    # ---- links

    def may_be_ousted(self) -> bool:
        return not self.leases.serving

    def link_changed(self, link: Link, up: bool) -> None:
        if link.operator:
            if self.voter is not None:
                self._voter(self.voter.operator(self.now, link.id, up))
            return
        if self._is_grantor(link):
            change = self.leases.up if up else self.leases.down
            self._leases(change(self.now, link.name))
        if self.voter is not None and link.role is Role.ROUTER and link.name in self.plan.voters:
            self._voter(self.voter.link(self.now, link.name, up))

    def _is_grantor(self, link: Link) -> bool:
        return link.role is self.grantor_role and link.name in self.leases.grantors

    def message(self, link: Link, message: Message) -> None:
        match message:
            case LeaseGrant() if self._is_grantor(link):
                self.links.useful(link)
                self._leases(self.leases.granted(self.now, link.name, message))
            case RenewNow() if self._is_grantor(link):
                self._leases(self.leases.renew_now(self.now, link.name, message))
            case RenewNow():
                return
            case _ if self.voter is None:
                raise Garbage(f"{type(message).__name__} from {link.name!r}")
            case _ if link.operator:
                self._operator_message(self.voter, link, message)
            case LeaseRequest():
                grant, actions = self.voter.request(self.now, link.name, link.incarnation, message)
                self._voter(actions)
                if grant is not None:
                    self.links.write(link, grant)
            case LeaseRelease():
                self._voter(self.voter.release(self.now, link.name, link.incarnation, message))
            case _ if link.role is Role.ROUTER and link.name in self.plan.voters:
                self.links.useful(link)
                self._voter(self.voter.message(self.now, link.name, message))
            case _:
                raise Garbage(f"{type(message).__name__} from {link.name!r}")

    def _operator_message(self, voter: Voter, link: Link, message: Message) -> None:
        match message:
            case Set():
                self._voter(voter.set(self.now, link.id, message))
            case Show():
                self.links.write(link, voter.show(self.now))
            case _:
                raise Garbage(f"{type(message).__name__} from an operator")

    # ---- parts

    def _leases(self, actions: list[HolderAction]) -> None:
        for action in actions:
            match action:
                case SendToGrantor(grantor, message):
                    self._send_to_grantor(grantor, message)
                case Stalled(grantor):
                    link = self.links.to(self.grantor_role, grantor)
                    if link is not None:
                        self.links.end(link, "no answer: the link has stalled")
                case LogLine() | EpochAdopted() | LeaseExtended():
                    self.actions.append(action)

    def _send_to_grantor(self, grantor: str, message: LeaseRequest | LeaseRelease) -> None:
        if grantor == self.plan.name and self.voter is not None:
            self.inbox.append(lambda: self._ask_self(message))
        elif (link := self.links.to(self.grantor_role, grantor)) is not None:
            self.links.write(link, message)

    def _ask_self(self, message: LeaseRequest | LeaseRelease) -> None:
        assert self.voter is not None
        name, incarnation = self.plan.name, self.incarnation
        if isinstance(message, LeaseRelease):
            self._voter(self.voter.release(self.now, name, incarnation, message))
            return
        grant, actions = self.voter.request(self.now, name, incarnation, message)
        self._voter(actions)
        if grant is not None:
            self._leases(self.leases.granted(self.now, name, grant))

    def _voter(self, actions: list[voting.Action]) -> None:
        for action in actions:
            match action:
                case voting.ToVoter(voter, message):
                    if (link := self.links.to(Role.ROUTER, voter)) is not None:
                        self.links.write(link, message)
                case voting.ToOperator(operator, message):
                    if (link := self.links.by_id.get(operator)) is not None:
                        self.links.write(link, message)
                case voting.AnnounceRenewal():
                    for link in self.links.by_name.values():
                        self.links.write(link, RenewNow())
                    self.inbox.append(
                        lambda: self._leases(self.leases.renew_now(self.now, self.plan.name, RenewNow()))
                    )
                case LogLine() | Save():
                    self.actions.append(action)
