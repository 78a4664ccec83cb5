"""An aggregator as a member of its fleet: links to voters, routers and operators around aggregator.py. Pure.

It dials every voter; routers and operators make their links to it. It keeps nothing on disk: a restart is a
new incarnation.
"""

from __future__ import annotations

from banklift.fleet.actions import LogLine
from banklift.fleet.aggregator import Action, Aggregator, AnnounceRenewal
from banklift.fleet.holder import SendToGrantor, Stalled
from banklift.fleet.links import Link
from banklift.fleet.member import Member
from banklift.fleet.messages import (
    Garbage,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    NotProposed,
    RenewNow,
    Role,
    Set,
    Show,
    Shown,
    Trouble,
)
from banklift.fleet.plan import Plan

STANDING = "aggregator"  # what it says of itself to operators


class AggregatorNode(Member):
    """`plan.sub_lease`: seconds that it grants at the most."""

    def __init__(self, plan: Plan, incarnation: int, seed: int) -> None:
        super().__init__(plan, Role.AGGREGATOR, incarnation, seed, plan.voters, Role.ROUTER, accepts=True)
        self.aggregator = Aggregator(plan.voters, plan.lease, plan.sub_lease, plan.drift, self.random)

    # ---- events

    def _own_due(self) -> float:
        return self.aggregator.due(self.now)

    def _woken(self) -> None:
        self._carry(self.aggregator.wake(self.now))

    def may_be_ousted(self) -> bool:
        return not self.aggregator.parent.windows

    def link_changed(self, link: Link, up: bool) -> None:
        if self._is_voter(link):
            change = self.aggregator.voter_up if up else self.aggregator.voter_down
            self._carry(change(self.now, link.name))

    def _is_voter(self, link: Link) -> bool:
        return link.dialled != ""

    def message(self, link: Link, message: Message) -> None:
        match message:
            case LeaseGrant() if self._is_voter(link):
                self.links.useful(link)
                self._carry(self.aggregator.granted(self.now, link.name, message))
            case RenewNow() if self._is_voter(link):
                self._carry(self.aggregator.renew_now(self.now, link.name, message))
            case RenewNow():
                return
            case LeaseRequest() if link.role is Role.ROUTER and not self._is_voter(link):
                grant, actions = self.aggregator.request(self.now, link.name, link.incarnation, message)
                if grant is not None:
                    self.links.write(link, grant)
                self._carry(actions)
            case LeaseRelease() if link.role is Role.ROUTER and not self._is_voter(link):
                self._carry(self.aggregator.release(self.now, link.name, link.incarnation, message))
            case Show() if link.operator:
                self.links.write(link, self._shown())
            case Set(change) if link.operator:
                reason = f"{self.plan.name} is an aggregator: changes are proposed to voters"
                self.links.write(link, NotProposed(change, reason, False))
            case _:
                raise Garbage(f"{type(message).__name__} from {link.name or 'an operator'!r}")

    # ---- operators

    def _shown(self) -> Shown:
        voters = {name: grantor.linked for name, grantor in self.aggregator.parent.grantors.items()}
        holders = self.aggregator.table.holders(self.now)
        return Shown(None, self.plan.name, STANDING, voters, holders, tuple(self._trouble()))

    def _trouble(self) -> list[Trouble]:
        parent = self.aggregator.parent
        found = [
            Trouble(name, grantor.refusal_reason or "no link")
            for name, grantor in parent.grantors.items()
            if grantor.refusal_reason or not grantor.linked
        ]
        if parent.current_window(self.now) is None:
            found.append(Trouble(self.plan.name, "no lease of a majority of voters"))
        return found

    # ---- parts

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendToGrantor(voter, message):
                    if (link := self.links.to(Role.ROUTER, voter)) is not None:
                        self.links.write(link, message)
                case Stalled(voter):
                    if (link := self.links.to(Role.ROUTER, voter)) is not None:
                        self.links.end(link, "no answer: the link has stalled")
                case AnnounceRenewal():
                    self._announce(action)
                case LogLine():
                    self.actions.append(action)

    def _announce(self, announcement: AnnounceRenewal) -> None:
        """Tell routers to ask again."""
        if announcement.everyone:
            for link in self.links.by_name.values():
                if not self._is_voter(link):
                    self.links.write(link, RenewNow())
            return
        for entry in self.aggregator.table.live(self.now):
            routers_link = self.links.to(Role.ROUTER, entry.name)
            if routers_link is not None and routers_link.incarnation == entry.incarnation:
                news = self.aggregator.news(entry) if announcement.check else RenewNow()
                self.links.write(routers_link, news)
