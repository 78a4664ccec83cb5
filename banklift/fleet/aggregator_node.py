"""An aggregator as a member of its fleet: the links to voters, routers and operators around aggregator.py.

This module does no I/O. An aggregator dials every voter; routers and operators dial it. It keeps nothing on disk: after
a restart it is a new incarnation, which knows none of the sub-leases of the one before.
"""

from __future__ import annotations

from banklift.fleet.actions import LogLine
from banklift.fleet.aggregator import Action, Aggregator, AnnounceRenewal
from banklift.fleet.holder import LinkStalled, SendToGrantor
from banklift.fleet.links import Link
from banklift.fleet.member import Member
from banklift.fleet.messages import (
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    NotProposed,
    ProtocolError,
    RenewNow,
    Role,
    Set,
    Show,
    Shown,
    Trouble,
)
from banklift.fleet.plan import Plan

STANDING = "aggregator"  # shown to operators in place of a voter's standing


class AggregatorNode(Member):
    """One aggregator with its links.

    `plan.sub_lease`: seconds that a sub-lease lasts at most. `incarnation`: larger than that of any earlier process of
    this name. `seed`: of the random numbers for jitter.
    """

    def __init__(self, plan: Plan, incarnation: int, seed: int) -> None:
        super().__init__(plan, Role.AGGREGATOR, incarnation, seed, plan.voters, Role.ROUTER, accepts=True)
        self.aggregator = Aggregator(plan.voters, plan.lease, plan.sub_lease, plan.drift, self.random)

    # ---- events

    def _parts_due(self) -> float:
        """When the leases next have something to do."""
        return self.aggregator.due(self.now)

    def _wake_parts(self) -> None:
        """Do what is due for the leases."""
        self._perform(self.aggregator.wake(self.now))

    def ends_on_name_conflict(self) -> bool:
        """Whether a clash of names may still end this process: only while it has no lease window."""
        return not self.aggregator.parent.windows

    def link_changed(self, link: Link, up: bool) -> None:
        """A link whose greeting is done is up, or is gone."""
        if self._is_voter(link):
            change = self.aggregator.voter_up if up else self.aggregator.voter_down
            self._perform(change(self.now, link.name))

    def _is_voter(self, link: Link) -> bool:
        """Whether a voter is at the other end: an aggregator dials nobody else."""
        return link.dialled != ""

    def message(self, link: Link, message: Message) -> None:
        """Handle a message. Raises `ProtocolError` if the sender may not send it to an aggregator."""
        match message:
            case LeaseGrant() if self._is_voter(link):
                self.links.mark_useful(link)
                self._perform(self.aggregator.granted(self.now, link.name, message))
            case RenewNow() if self._is_voter(link):
                self._perform(self.aggregator.renew_now(self.now, link.name, message))
            case RenewNow():
                return
            case LeaseRequest() if link.role is Role.ROUTER and not self._is_voter(link):
                grant, actions = self.aggregator.request(self.now, link.name, link.incarnation, message)
                if grant is not None:
                    self.links.write(link, grant)
                self._perform(actions)
            case LeaseRelease() if link.role is Role.ROUTER and not self._is_voter(link):
                self._perform(self.aggregator.release(self.now, link.name, link.incarnation, message))
            case Show() if link.operator:
                self.links.write(link, self._shown())
            case Set(change) if link.operator:
                reason = f"{self.plan.name} is an aggregator: changes are proposed to voters"
                self.links.write(link, NotProposed(change, reason, False))
            case _:
                raise ProtocolError(f"{type(message).__name__} from {link.name or 'an operator'!r}")

    # ---- operators

    def _shown(self) -> Shown:
        """The answer to an operator's `Show`: links to voters, routers and problems."""
        voters = {name: grantor.linked for name, grantor in self.aggregator.parent.grantors.items()}
        holders = self.aggregator.table.holders(self.now)
        return Shown(None, self.plan.name, STANDING, voters, holders, tuple(self._problems()))

    def _problems(self) -> list[Trouble]:
        """Voters that give no lease, and the lack of a lease from a majority."""
        parent = self.aggregator.parent
        found = [
            Trouble(name, grantor.refusal_reason or "no link")
            for name, grantor in parent.grantors.items()
            if grantor.refusal_reason or not grantor.linked
        ]
        if parent.current_window(self.now) is None:
            found.append(Trouble(self.plan.name, "no lease of a majority of voters"))
        return found

    # ---- actions

    def _perform(self, actions: list[Action]) -> None:
        """Perform actions of the leases, in order: write and end links, and pass log lines on."""
        for action in actions:
            match action:
                case SendToGrantor(voter, message):
                    if (link := self.links.to(Role.ROUTER, voter)) is not None:
                        self.links.write(link, message)
                case LinkStalled(voter):
                    if (link := self.links.to(Role.ROUTER, voter)) is not None:
                        self.links.end(link, "no answer: the link has stalled")
                case AnnounceRenewal():
                    self._announce(action)
                case LogLine():
                    self.actions.append(action)

    def _announce(self, announcement: AnnounceRenewal) -> None:
        """Tell routers to renew: all that are linked, or those with a sub-lease that has not ended."""
        if announcement.everyone:
            for link in self.links.by_name.values():
                if not self._is_voter(link):
                    self.links.write(link, RenewNow())
            return
        for entry in self.aggregator.table.live(self.now):
            router_link = self.links.to(Role.ROUTER, entry.name)
            if router_link is not None and router_link.incarnation == entry.incarnation:
                news = self.aggregator.change_news(entry) if announcement.check else RenewNow()
                self.links.write(router_link, news)
