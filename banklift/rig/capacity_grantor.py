"""Measures what one message costs a voter or an aggregator, without sockets: processor time against its lease holders.

Two grantors are joined in memory, in virtual time. The measured one has all the lease holders; it is a voter, which the
driver surveys, or an aggregator, which leases from the driver. The driver is a voter and proposes the changes. Holders
are simulated and send the frames that a router sends.

`due` is read after every event, as `FleetHost` does, so a message costs here what it costs on sockets, without the
sockets. Processor time is the least of some rounds, as the machine may be busy with other work.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from banklift.fleet.aggregator_node import AggregatorNode
from banklift.fleet.durable import Save
from banklift.fleet.links import CloseLink, Dial, Write
from banklift.fleet.member import Action, Member
from banklift.fleet.messages import (
    PROTOCOL_VERSION,
    Ended,
    FrameDecoder,
    Hello,
    LeaseGrant,
    LeaseRequest,
    Message,
    Set,
    Surveyed,
    encode,
)
from banklift.fleet.node import Node
from banklift.fleet.plan import Plan
from banklift.fleet.state import digest

FLEET_NAME = "measured"
MEASURED, DRIVER = "measured", "driver"  # names of the two grantors
LEASE, SUB_LEASE = 10.0, 6.0  # seconds
DRIFT = 0.01  # fraction by which the rates of two clocks may differ
CHANGE_TIMEOUT = 600.0  # seconds, so long that no change is aborted for its time
ROUNDS = 5  # of which the least processor time counts
TIMED_HOLDERS = 300  # holders whose requests are timed in one round, at the most
MAX_SHORT_LEASE_PART = 0.11  # fraction of a lease: the longest that is granted while leases run out
SURVEY_INTERVAL = 0.2  # seconds of virtual time after which the driver surveys again
MESSAGE_INTERVAL = 0.0001  # seconds of virtual time between two messages
AGREEMENT_TIME = 0.3  # seconds of virtual time in which a change that all holders accept is agreed
FIRST_POLICY_PREFIX = b"first policy "
SECOND_POLICY_PREFIX = b"second policy "


class GrantorKind(StrEnum):
    """Which kind of grantor is measured."""

    VOTER = "voter"
    AGGREGATOR = "aggregator"


def policy_text(size: int, prefix: bytes = FIRST_POLICY_PREFIX) -> bytes:
    """A policy's text of so many bytes, or the prefix if that is longer."""
    return prefix + b"x" * max(0, size - len(prefix))


@dataclass(slots=True, eq=False)
class SimulatedHolder:
    """A router as its grantor sees it: a link that carries lease requests and grants."""

    name: str
    link: int
    number: int = 0  # of its last request
    granted: int = 0  # number of the last request that was granted
    ttl: float = 0.0  # seconds of its newest lease
    frames: FrameDecoder = field(default_factory=FrameDecoder)

    def request(
        self, change: str, verdict: tuple[str, ...] | None, have: tuple[str, ...], epoch: int
    ) -> bytes:
        """The frame of its next lease request; the arguments are fields of `LeaseRequest`."""
        self.number += 1
        return encode(LeaseRequest(self.number, self.granted, epoch, change, verdict, have))


class GrantorPair:
    """The measured grantor and the driver, with their link, once so many holders lease from the measured one.

    `policy_size`: bytes of the policies. Time is virtual and passes in `advance` and between two requests.
    """

    def __init__(self, tier: GrantorKind, holders: int, policy_size: int = len(FIRST_POLICY_PREFIX)) -> None:
        self.tier = tier
        self.now = 1000.0  # seconds on the clock of all
        self.voters = (MEASURED, DRIVER) if tier is GrantorKind.VOTER else (DRIVER,)
        self.sub_lease = SUB_LEASE if tier is GrantorKind.AGGREGATOR else 0.0
        self.policy = policy_text(policy_size)  # in force
        self.next_policy = policy_text(policy_size, SECOND_POLICY_PREFIX)  # to be proposed
        self.driver = self._voter(DRIVER)
        self.measured: Member = self._voter(MEASURED)
        if tier is GrantorKind.AGGREGATOR:
            self.measured = AggregatorNode(self._plan(MEASURED), 1, 1)
        self.nodes: dict[str, Member] = {MEASURED: self.measured, DRIVER: self.driver}
        # the other end of each end of a link between the grantors; an end is a grantor's name and its link number
        self.other_ends: dict[tuple[str, int], tuple[str, int]] = {}
        self.undelivered: deque[tuple[str, int, bytes]] = deque()  # receiver, its link number, data
        self.pending_saves: deque[tuple[str, int]] = deque()  # writes to disk: grantor, number of the write
        self.holders: dict[int, SimulatedHolder] = {}  # by the measured grantor's link number
        self.operator_link = 0  # the driver's link number; 0 before the first proposal
        self.operator_messages: list[Message] = []  # that the operator received
        self.survey_answer_bytes = 0  # of the last answer to a survey
        for name in self.nodes:
            self._perform(name, self.nodes[name].start(self.now))
        self._deliver_all()
        self.advance(1.2 * LEASE)  # a new voter lets the leases of an earlier process run out
        for number in range(holders):
            self._join(f"router{number}")
        self.request_round(list(self.holders.values()))

    def _plan(self, name: str) -> Plan:
        return Plan(FLEET_NAME, name, self.voters, LEASE, DRIFT, (), self.sub_lease)

    def _voter(self, name: str) -> Node:
        return Node(self._plan(name), 1, 1, self.policy, lambda text: ())

    # ---- links in memory

    def _perform(self, name: str, actions: Sequence[Action]) -> None:
        """Carry out the actions of the grantor `name`."""
        for action in actions:
            match action:
                case Dial(link, peer):
                    peer_link = self.nodes[peer].new_link_number()
                    self.other_ends[name, link] = (peer, peer_link)
                    self.other_ends[peer, peer_link] = (name, link)
                    self._perform(peer, list(self.nodes[peer].accepted(self.now, peer_link)))
                    self._perform(name, list(self.nodes[name].connected(self.now, link)))
                case Write(link, data):
                    self._write(name, link, data)
                case CloseLink(link):
                    raise AssertionError(f"{name} closed a link, which should not happen in this measurement")
                case Save(number, _):
                    self.pending_saves.append((name, number))

    def _write(self, name: str, link: int, data: bytes) -> None:
        """Pass on what the grantor `name` has written: to the other grantor, a holder or the operator."""
        if (name, link) in self.other_ends:
            self.undelivered.append((*self.other_ends[name, link], data))
        elif name == MEASURED:
            holder = self.holders[link]
            for message in holder.frames.feed(data):
                if isinstance(message, LeaseGrant):
                    holder.granted, holder.ttl = message.number, message.ttl
        else:
            self.operator_messages += FrameDecoder().feed(data)

    def _deliver_all(self) -> None:
        """Deliver what was written on links, in order. Writes to disk end once nothing is left to deliver."""
        while self.undelivered or self.pending_saves:
            if not self.undelivered:
                name, number = self.pending_saves.popleft()
                self._perform(name, self.nodes[name].saved(self.now, number, ""))
                continue
            name, link, data = self.undelivered.popleft()
            if name == DRIVER and any(isinstance(message, Surveyed) for message in FrameDecoder().feed(data)):
                self.survey_answer_bytes = len(data)
            self._perform(name, list(self.nodes[name].data(self.now, link, data)))

    def advance(self, seconds: float) -> None:
        """Let so many seconds of virtual time pass, with the timers of both grantors. Zero fires those that are due."""
        end = self.now + seconds
        while True:
            name = min(self.nodes, key=lambda grantor: self.nodes[grantor].due)
            when = self.nodes[name].due
            if when > end:
                break
            self.now = max(self.now, when)
            self._perform(name, list(self.nodes[name].wake(self.now)))
            self._deliver_all()
        self.now = end

    # ---- holders

    def _join(self, name: str) -> None:
        """A holder of this name opens a link to the measured grantor."""
        link = self.measured.new_link_number()
        self.holders[link] = SimulatedHolder(name, link)
        self._perform(MEASURED, list(self.measured.accepted(self.now, link)))
        hello = Hello(PROTOCOL_VERSION, FLEET_NAME, name, 1, self.voters, LEASE, self.sub_lease)
        self._perform(MEASURED, list(self.measured.data(self.now, link, encode(hello))))

    def request_round(
        self,
        holders: list[SimulatedHolder],
        change: str = "",
        verdict: tuple[str, ...] | None = None,
        epoch: int = 1,
    ) -> float:
        """Each of these holders sends one lease request. Returns the grantor's processor seconds for one of them.

        `change` and `verdict`: the change that the holders have checked, and their reasons to refuse it, or None
        before the check. `epoch`: that they serve.
        """
        known_policies = (digest(self.policy), digest(self.next_policy))
        requests = [
            (holder.link, holder.request(change, verdict, known_policies, epoch)) for holder in holders
        ]
        answers: list[Sequence[Action]] = []
        node = self.measured
        begin = time.process_time()
        for link, data in requests:
            self.now += MESSAGE_INTERVAL
            answers.append(node.data(self.now, link, data))
            _ = node.due
        spent = time.process_time() - begin
        for actions in answers:
            self._perform(MEASURED, actions)
        self._deliver_all()
        self.advance(0.0)
        return spent / max(1, len(requests))

    # ---- a change

    def propose(self, change: str, text: bytes) -> None:
        """An operator proposes this text to the driver. `change`: id of the change."""
        if not self.operator_link:
            self.operator_link = self.driver.new_link_number()
            self._perform(DRIVER, list(self.driver.accepted(self.now, self.operator_link)))
            hello = Hello(PROTOCOL_VERSION, FLEET_NAME, "", 0, (), 0.0)
            self._perform(DRIVER, list(self.driver.data(self.now, self.operator_link, encode(hello))))
        proposal = encode(Set(change, text, CHANGE_TIMEOUT))
        self._perform(DRIVER, list(self.driver.data(self.now, self.operator_link, proposal)))
        self._deliver_all()

    @property
    def state_version(self) -> int:
        """Version of the state that the driver knows."""
        assert self.driver.voter is not None and self.driver.voter.lease_table.state is not None
        return self.driver.voter.lease_table.state.version

    @property
    def ended(self) -> bool:
        """Whether the operator was told that a change has ended."""
        return any(isinstance(message, Ended) for message in self.operator_messages)


@dataclass(frozen=True, slots=True)
class RequestCosts:
    """What messages cost a grantor with so many holders. Seconds are processor time.

    The benchmark reads costs of an older version from a JSON file, so the names of the fields stay.
    """

    holders: int
    rest: float  # seconds of a lease request while no change is under way
    checking: float  # seconds of a lease request while holders check a change
    closing: float  # seconds of a lease request while only short leases are granted, before the switch
    survey: float = 0.0  # seconds of one survey by another voter; 0 for an aggregator, which is not surveyed
    survey_bytes: int = 0  # of the answer to a survey; 0 for an aggregator


def request_costs(
    tier: GrantorKind, holders: int, rounds: int = ROUNDS, timed_holders: int = TIMED_HOLDERS
) -> RequestCosts:
    """Measure a grantor with so many holders, at least 2. `timed_holders`: whose requests are timed, at the most.

    Errors: `AssertionError` if the grantor gives no short leases in the last stage of the change, so that another stage
    would be measured.
    """
    pair = GrantorPair(tier, holders)
    all_holders = list(pair.holders.values())
    # the last holder stays out of the timed rounds: each stage of a change lasts until it has accepted or renewed
    last, timed = all_holders[-1], all_holders[: min(timed_holders, holders - 1)]
    rest = min(pair.request_round(timed) for _ in range(rounds))
    change = f"{pair.state_version}-measured"
    pair.propose(change, pair.next_policy)
    pair.advance(0.0)
    checking = min(pair.request_round(timed, change, ()) for _ in range(rounds))
    pair.request_round(all_holders[:-1], change, ())
    survey = min(_survey(pair) for _ in range(rounds)) if tier is GrantorKind.VOTER else 0.0
    pair.request_round([last], change, ())
    pair.advance(AGREEMENT_TIME)  # from now on the long leases of the others run out
    closing = min(pair.request_round(timed, change, ()) for _ in range(rounds))
    assert 0 < timed[0].ttl <= MAX_SHORT_LEASE_PART * LEASE, (
        "leases are not short: another stage was measured"
    )
    return RequestCosts(holders, rest, checking, closing, survey, pair.survey_answer_bytes)


def _survey(pair: GrantorPair) -> float:
    """Processor seconds that the measured voter spends on one survey by the driver."""
    pair.now += SURVEY_INTERVAL
    pair._perform(DRIVER, pair.driver.wake(pair.now))
    spent = 0.0
    while pair.undelivered:
        name, link, data = pair.undelivered.popleft()
        if name == DRIVER:
            pair.survey_answer_bytes = len(data)
        begin = time.process_time()
        actions = pair.nodes[name].data(pair.now, link, data)
        if name == MEASURED:
            spent += time.process_time() - begin
        pair._perform(name, actions)
    return spent
