"""One router of a fleet: its links, its leases and, if it is a voter, its voter, as one state machine without I/O.

A router has a link to each of its grantors and to nobody else. Its grantors are all voters, or the aggregators that it
leases from. Two voters share one link, which the one that comes later in the list of voters dials. A router that is a
voter exchanges the same messages with itself directly, without a link. How links are made and who may be at their other
end is documented in links.py.

`EpochAdopted` and `LeaseEndChanged` (lease.py) tell the router's proxy until when it may take requests, and under which
policy; no other event of the fleet reaches the proxy.
"""

from __future__ import annotations

from banklift.fleet import voter as voting
from banklift.fleet.actions import LogLine
from banklift.fleet.durable import Save
from banklift.fleet.holder import Action as HolderAction
from banklift.fleet.holder import EpochAdopted, LeaseEndChanged, LinkStalled, SendToGrantor
from banklift.fleet.lease import LeaseClient
from banklift.fleet.links import Link
from banklift.fleet.member import Action, Member
from banklift.fleet.messages import (
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    ProtocolError,
    RenewNow,
    Role,
    Set,
    Show,
)
from banklift.fleet.plan import Plan
from banklift.fleet.policies import PolicyCheck
from banklift.fleet.register import Record
from banklift.fleet.voter import Voter


class Node(Member):
    """One router of a fleet.

    `seed`: of its random numbers. `policy`: from this router's file; a new fleet begins with it. `check`: returns the
    reasons against a policy on this router. `record` and `absent`: what a voter's disk held (see `Voter`).
    """

    def __init__(
        self,
        plan: Plan,
        incarnation: int,
        seed: int,
        policy: bytes,
        check: PolicyCheck,
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
        """A write of the voter's record is done; `error` is empty on success."""
        self.now = now
        assert self.voter is not None
        self._run_voter_actions(self.voter.saved(now, number, error))
        return self._take_actions()

    def leave(self, now: float) -> list[Action]:
        """Graceful shutdown: take no requests from now on, and give all leases back."""
        self.now = now
        self._run_lease_actions(self.leases.leave(now))
        return self._take_actions()

    def _parts_due(self) -> float:
        """When the leases or the voter have something to do."""
        due = self.leases.due(self.now)
        return min(due, self.voter.due(self.now)) if self.voter is not None else due

    def _start_parts(self) -> None:
        """Start the voter, and lease from it."""
        if self.voter is not None:
            self._run_voter_actions(self.voter.start(self.now))
            self._run_lease_actions(self.leases.link_up(self.now, self.plan.name))

    def _wake_parts(self) -> None:
        """Run the timers of the leases and of the voter."""
        # Always: an epoch may begin at this moment, which `due` no longer names once it has come.
        self._run_lease_actions(self.leases.wake(self.now))
        if self.voter is not None and self.voter.due(self.now) <= self.now:
            self._run_voter_actions(self.voter.wake(self.now))

    # ---- links

    def ends_on_name_conflict(self) -> bool:
        """A router that serves an epoch keeps running through a name conflict."""
        return not self.leases.serving_epoch

    def link_changed(self, link: Link, up: bool) -> None:
        """Tell the leases and the voter of a link that is up, or gone."""
        if link.operator:
            if self.voter is not None:
                self._run_voter_actions(self.voter.operator(self.now, link.id, up))
            return
        if self._is_grantor(link):
            notify = self.leases.link_up if up else self.leases.link_down
            self._run_lease_actions(notify(self.now, link.name))
        if self.voter is not None and link.role is Role.ROUTER and link.name in self.plan.voters:
            self._run_voter_actions(self.voter.link(self.now, link.name, up))

    def _is_grantor(self, link: Link) -> bool:
        """Whether the other end grants leases to this router."""
        return link.role is self.grantor_role and link.name in self.leases.grantors

    def message(self, link: Link, message: Message) -> None:
        """Hand a message to the part it is for. Errors: `ProtocolError` if the sender may not send it."""
        match message:
            case LeaseGrant() if self._is_grantor(link):
                self.links.mark_useful(link)
                self._run_lease_actions(self.leases.granted(self.now, link.name, message))
            case RenewNow() if self._is_grantor(link):
                self._run_lease_actions(self.leases.renew_now(self.now, link.name, message))
            case RenewNow():
                return
            case _ if self.voter is None:
                raise ProtocolError(f"{type(message).__name__} from {link.name!r}")
            case _ if link.operator:
                self._operator_message(self.voter, link, message)
            case LeaseRequest():
                grant, actions = self.voter.request(self.now, link.name, link.incarnation, message)
                self._run_voter_actions(actions)
                if grant is not None:
                    self.links.write(link, grant)
            case LeaseRelease():
                self._run_voter_actions(self.voter.release(self.now, link.name, link.incarnation, message))
            case _ if link.role is Role.ROUTER and link.name in self.plan.voters:
                self.links.mark_useful(link)
                self._run_voter_actions(self.voter.message(self.now, link.name, message))
            case _:
                raise ProtocolError(f"{type(message).__name__} from {link.name!r}")

    def _operator_message(self, voter: Voter, link: Link, message: Message) -> None:
        """Handle an operator's message. Errors: `ProtocolError` if operators may not send it."""
        match message:
            case Set():
                self._run_voter_actions(voter.set(self.now, link.id, message))
            case Show():
                self.links.write(link, voter.show(self.now))
            case _:
                raise ProtocolError(f"{type(message).__name__} from an operator")

    # ---- parts

    def _run_lease_actions(self, actions: list[HolderAction]) -> None:
        """Carry out the actions of the leases."""
        for action in actions:
            match action:
                case SendToGrantor(grantor, message):
                    self._send_to_grantor(grantor, message)
                case LinkStalled(grantor):
                    link = self.links.to(self.grantor_role, grantor)
                    if link is not None:
                        self.links.end(link, "no answer: the link has stalled")
                case LogLine() | EpochAdopted() | LeaseEndChanged():
                    self.actions.append(action)

    def _send_to_grantor(self, grantor: str, message: LeaseRequest | LeaseRelease) -> None:
        """Send to a grantor; a message to this router's own voter goes through the inbox."""
        if grantor == self.plan.name and self.voter is not None:
            self.inbox.append(lambda: self._send_to_own_voter(message))
        elif (link := self.links.to(self.grantor_role, grantor)) is not None:
            self.links.write(link, message)

    def _send_to_own_voter(self, message: LeaseRequest | LeaseRelease) -> None:
        """Hand a message of the leases to this router's own voter."""
        assert self.voter is not None
        name, incarnation = self.plan.name, self.incarnation
        if isinstance(message, LeaseRelease):
            self._run_voter_actions(self.voter.release(self.now, name, incarnation, message))
            return
        grant, actions = self.voter.request(self.now, name, incarnation, message)
        self._run_voter_actions(actions)
        if grant is not None:
            self._run_lease_actions(self.leases.granted(self.now, name, grant))

    def _run_voter_actions(self, actions: list[voting.Action]) -> None:
        """Carry out the actions of the voter."""
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
                        lambda: self._run_lease_actions(
                            self.leases.renew_now(self.now, self.plan.name, RenewNow())
                        )
                    )
                case LogLine() | Save():
                    self.actions.append(action)
