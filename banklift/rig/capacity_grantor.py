"""What one message costs a voter or an aggregator, without sockets: processor time against its lease holders.

The measured grantor has all the lease holders; a voter beside it, joined in memory, drives the changes. The measured
one is another voter, which the driver surveys, or an aggregator that leases from the driver. Holders are stand-ins that
send the frames a router sends. Every event is followed by a look at
`due`, as fleet host does, so that what is measured is what a message costs on sockets less the sockets.
Time is what the caller says it is; processor time is the least of some rounds, as the machine may be busy.
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

FLEET = "measured"
MEASURED, DRIVER = "measured", "driver"
LEASE, SUB_LEASE = 10.0, 6.0
DRIFT = 0.01
PATIENCE = 600.0  # seconds: no change ends for its time here
ROUNDS = 5
SAMPLE = 300  # holders whose requests are timed in one round
SHORT_PART = 0.11  # of a lease: the longest that one is while leases run out
SURVEY_PAUSE = 0.2  # seconds after which the driver surveys again
STEP = 0.0001  # seconds of virtual time between two messages
FIRST = b"first policy "
SECOND = b"second policy "


class Tier(StrEnum):
    """What is measured."""

    VOTER = "voter"
    AGGREGATOR = "aggregator"


def policy(size: int, prefix: bytes = FIRST) -> bytes:
    """A policy's text of that many bytes."""
    return prefix + b"x" * max(0, size - len(prefix))


@dataclass(slots=True, eq=False)
class StandInHolder:
    """A router as a voter sees it: a link, numbers, and what it was granted last."""

    name: str
    link: int
    number: int = 0
    granted: int = 0
    ttl: float = 0.0  # of its newest lease
    frames: FrameDecoder = field(default_factory=FrameDecoder)

    def request(
        self, change: str, verdict: tuple[str, ...] | None, have: tuple[str, ...], epoch: int
    ) -> bytes:
        self.number += 1
        return encode(LeaseRequest(self.number, self.granted, epoch, change, verdict, have))


class GrantorPair:
    """The measured grantor and the driver, with their link. So many holders lease from the measured one."""

    def __init__(self, tier: Tier, holders: int, policy_size: int = len(FIRST)) -> None:
        self.tier, self.now = tier, 1000.0
        self.voters = (MEASURED, DRIVER) if tier is Tier.VOTER else (DRIVER,)
        self.sub_lease = SUB_LEASE if tier is Tier.AGGREGATOR else 0.0
        self.text = policy(policy_size)
        self.next_text = policy(policy_size, SECOND)
        self.driver = self._voter(DRIVER)
        self.measured: Member = self._voter(MEASURED)
        if tier is Tier.AGGREGATOR:
            self.measured = AggregatorNode(self._plan(MEASURED), 1, 1)
        self.nodes: dict[str, Member] = {MEASURED: self.measured, DRIVER: self.driver}
        self.pairs: dict[tuple[str, int], tuple[str, int]] = {}  # both ends of each link between voters
        self.queue: deque[tuple[str, int, bytes]] = deque()
        self.saves: deque[tuple[str, int]] = deque()  # writes to disk that are under way
        self.holders: dict[int, StandInHolder] = {}
        self.operator_link = 0
        self.told: list[Message] = []  # to the operator
        self.surveyed_bytes = 0  # of the last answer to a survey
        for name in self.nodes:
            self._carry(name, self.nodes[name].start(self.now))
        self._settle()
        self.pass_time(1.2 * LEASE)
        for number in range(holders):
            self._join(f"router{number}")
        self.round(list(self.holders.values()))

    def _plan(self, name: str) -> Plan:
        return Plan(FLEET, name, self.voters, LEASE, DRIFT, (), self.sub_lease)

    def _voter(self, name: str) -> Node:
        return Node(self._plan(name), 1, 1, self.text, lambda text: ())

    # ---- links in memory

    def _carry(self, name: str, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Dial(link, peer):
                    other = self.nodes[peer].new_link_number()
                    self.pairs[name, link], self.pairs[peer, other] = (peer, other), (name, link)
                    self._carry(peer, list(self.nodes[peer].accepted(self.now, other)))
                    self._carry(name, list(self.nodes[name].connected(self.now, link)))
                case Write(link, data):
                    self._write(name, link, data)
                case CloseLink(link):
                    raise AssertionError(f"{name} ended a link")
                case Save(number, _):
                    self.saves.append((name, number))

    def _write(self, name: str, link: int, data: bytes) -> None:
        if (name, link) in self.pairs:
            self.queue.append((*self.pairs[name, link], data))
        elif name == MEASURED:
            holder = self.holders[link]
            for message in holder.frames.feed(data):
                if isinstance(message, LeaseGrant):
                    holder.granted, holder.ttl = message.number, message.ttl
        else:
            self.told += FrameDecoder().feed(data)

    def _settle(self) -> None:
        """Deliver what was written on links, in order, and end writes to disk once nothing is on its way."""
        while self.queue or self.saves:
            if not self.queue:
                name, number = self.saves.popleft()
                self._carry(name, self.nodes[name].saved(self.now, number, ""))
                continue
            name, link, data = self.queue.popleft()
            if name == DRIVER and any(isinstance(one, Surveyed) for one in FrameDecoder().feed(data)):
                self.surveyed_bytes = len(data)
            self._carry(name, list(self.nodes[name].data(self.now, link, data)))

    def pass_time(self, seconds: float) -> None:
        """Let time pass with both voters' timers."""
        end = self.now + seconds
        while True:
            name = min(self.nodes, key=lambda one: self.nodes[one].due)
            when = self.nodes[name].due
            if when > end:
                break
            self.now = max(self.now, when)
            self._carry(name, list(self.nodes[name].wake(self.now)))
            self._settle()
        self.now = end

    # ---- holders

    def _join(self, name: str) -> None:
        link = self.measured.new_link_number()
        self.holders[link] = StandInHolder(name, link)
        self._carry(MEASURED, list(self.measured.accepted(self.now, link)))
        hello = Hello(PROTOCOL_VERSION, FLEET, name, 1, self.voters, LEASE, self.sub_lease)
        self._carry(MEASURED, list(self.measured.data(self.now, link, encode(hello))))

    def round(
        self,
        holders: list[StandInHolder],
        change: str = "",
        verdict: tuple[str, ...] | None = None,
        epoch: int = 1,
    ) -> float:
        """Each of them sends one request; processor seconds of one."""
        known = (digest(self.text), digest(self.next_text))
        wanted = [(one.link, one.request(change, verdict, known, epoch)) for one in holders]
        answers: list[Sequence[Action]] = []
        node = self.measured
        begin = time.process_time()
        for link, data in wanted:
            self.now += STEP
            answers.append(node.data(self.now, link, data))
            _ = node.due
        spent = time.process_time() - begin
        for actions in answers:
            self._carry(MEASURED, actions)
        self._settle()
        self.pass_time(0.0)
        return spent / max(1, len(wanted))

    # ---- a change

    def propose(self, change: str, text: bytes) -> None:
        """An operator at the driver wants it."""
        if not self.operator_link:
            self.operator_link = self.driver.new_link_number()
            self._carry(DRIVER, list(self.driver.accepted(self.now, self.operator_link)))
            hello = Hello(PROTOCOL_VERSION, FLEET, "", 0, (), 0.0)
            self._carry(DRIVER, list(self.driver.data(self.now, self.operator_link, encode(hello))))
        wanted = encode(Set(change, text, PATIENCE))
        self._carry(DRIVER, list(self.driver.data(self.now, self.operator_link, wanted)))
        self._settle()

    @property
    def version(self) -> int:
        """Of the state that the driver knows."""
        assert self.driver.voter is not None and self.driver.voter.lease_table.state is not None
        return self.driver.voter.lease_table.state.version

    @property
    def ended(self) -> bool:
        return any(isinstance(one, Ended) for one in self.told)


@dataclass(frozen=True, slots=True)
class RequestCosts:
    """Of a grantor with so many holders: processor seconds of a lease request in each stage of a change. Of a voter, of
    a survey as well, and bytes of its answer; zero of an aggregator, which is not surveyed."""

    holders: int
    rest: float
    checking: float
    closing: float
    survey: float = 0.0
    survey_bytes: int = 0


def request_costs(tier: Tier, holders: int, rounds: int = ROUNDS, sample: int = SAMPLE) -> RequestCosts:
    """Measure one size."""
    pair = GrantorPair(tier, holders)
    everyone = list(pair.holders.values())
    # one stays out of the measured rounds: its verdict and its lease decide how long each stage lasts
    last, measured = everyone[-1], everyone[: min(sample, holders - 1)]
    rest = min(pair.round(measured) for _ in range(rounds))
    change = f"{pair.version}-measured"
    pair.propose(change, pair.next_text)
    pair.pass_time(0.0)
    checking = min(pair.round(measured, change, ()) for _ in range(rounds))
    pair.round(everyone[:-1], change, ())
    survey = min(_survey(pair) for _ in range(rounds)) if tier is Tier.VOTER else 0.0
    pair.round([last], change, ())
    pair.pass_time(0.3)  # agreed; the others' long leases run out now
    closing = min(pair.round(measured, change, ()) for _ in range(rounds))
    assert 0 < measured[0].ttl <= SHORT_PART * LEASE, "leases are not short: another stage was measured"
    return RequestCosts(holders, rest, checking, closing, survey, pair.surveyed_bytes)


def _survey(pair: GrantorPair) -> float:
    """Processor seconds that the measured voter spends on one survey by the driver."""
    pair.now += SURVEY_PAUSE
    pair._carry(DRIVER, pair.driver.wake(pair.now))
    spent = 0.0
    while pair.queue:
        name, link, data = pair.queue.popleft()
        if name == DRIVER:
            pair.surveyed_bytes = len(data)
        begin = time.process_time()
        done = pair.nodes[name].data(pair.now, link, data)
        if name == MEASURED:
            spent += time.process_time() - begin
        pair._carry(name, done)
    return spent
