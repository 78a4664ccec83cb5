"""What one message costs a voter, and an aggregator, without sockets: processor time against its lease holders.

Two voters stand in one process, joined in memory; the measured one has all the lease holders, the other drives the
changes and surveys it. Holders are stand-ins that send the frames a router sends. Every event is followed by a look at
`due`, as fleet host does, so that what is measured is what a message costs on sockets less the sockets.
Time is what the caller says it is; processor time is the least of some rounds, as the machine may be busy.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from banklift.fleet.durable import Save
from banklift.fleet.links import Dial, Shut, Write
from banklift.fleet.member import Action
from banklift.fleet.messages import (
    VERSION,
    Ended,
    Frames,
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
VOTERS = ("measured", "driver")
LEASE = 10.0
DRIFT = 0.01
PATIENCE = 600.0  # seconds: no change ends for its time here
ROUNDS = 5
SAMPLE = 300  # holders whose requests are timed in one round
STEP = 0.001  # seconds of virtual time between two messages
FIRST = b"first policy "
SECOND = b"second policy "


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
    frames: Frames = field(default_factory=Frames)

    def request(
        self, change: str, verdict: tuple[str, ...] | None, have: tuple[str, ...], epoch: int
    ) -> bytes:
        self.number += 1
        return encode(LeaseRequest(self.number, self.granted, epoch, change, verdict, have))


class VoterPair:
    """Both voters with their link. `holders` of them lease from the measured one."""

    def __init__(self, holders: int, policy_size: int = len(FIRST)) -> None:
        self.now = 1000.0
        self.text = policy(policy_size)
        self.next_text = policy(policy_size, SECOND)
        self.nodes = {name: self._node(name) for name in VOTERS}
        self.measured = self.nodes[VOTERS[0]]
        self.driver = self.nodes[VOTERS[1]]
        self.pairs: dict[tuple[str, int], tuple[str, int]] = {}  # both ends of each link between voters
        self.queue: deque[tuple[str, int, bytes]] = deque()
        self.holders: dict[int, StandInHolder] = {}
        self.operator_link = 0
        self.told: list[Message] = []  # to the operator
        self.grants: list[LeaseGrant] = []
        self.surveyed_bytes = 0  # of the last answer to a survey
        for name in VOTERS:
            self._carry(name, self.nodes[name].start(self.now))
        self._settle()
        self.pass_time(1.2 * LEASE)
        for number in range(holders):
            self._join(f"router{number}")
        self.round(list(self.holders.values()))

    def _node(self, name: str) -> Node:
        plan = Plan(FLEET, name, VOTERS, LEASE, DRIFT)
        return Node(plan, 1, 1, self.text, lambda text: ())

    # ---- links in memory

    def _carry(self, name: str, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Dial(link, voter):
                    other = self.nodes[voter].number()
                    self.pairs[name, link], self.pairs[voter, other] = (voter, other), (name, link)
                    self._carry(voter, list(self.nodes[voter].accepted(self.now, other)))
                    self._carry(name, list(self.nodes[name].connected(self.now, link)))
                case Write(link, data):
                    self._write(name, link, data)
                case Shut(link):
                    raise AssertionError(f"{name} ended a link")
                case Save(number, _):
                    self._carry(name, list(self.nodes[name].saved(self.now, number, "")))

    def _write(self, name: str, link: int, data: bytes) -> None:
        if (name, link) in self.pairs:
            self.queue.append((*self.pairs[name, link], data))
        elif name == VOTERS[0]:
            holder = self.holders[link]
            for message in holder.frames.feed(data):
                if isinstance(message, LeaseGrant):
                    holder.granted = message.number
        else:
            self.told += Frames().feed(data)

    def _settle(self) -> None:
        while self.queue:
            name, link, data = self.queue.popleft()
            if name == VOTERS[1] and any(isinstance(one, Surveyed) for one in Frames().feed(data)):
                self.surveyed_bytes = len(data)
            self._carry(name, list(self.nodes[name].data(self.now, link, data)))

    def pass_time(self, seconds: float) -> None:
        """Let time pass with both voters' timers."""
        end = self.now + seconds
        while True:
            name = min(VOTERS, key=lambda one: self.nodes[one].due)
            when = self.nodes[name].due
            if when > end:
                break
            self.now = max(self.now, when)
            self._carry(name, list(self.nodes[name].wake(self.now)))
            self._settle()
        self.now = end

    # ---- holders

    def _join(self, name: str) -> None:
        link = self.measured.number()
        self.holders[link] = StandInHolder(name, link)
        self._carry(VOTERS[0], list(self.measured.accepted(self.now, link)))
        hello = Hello(VERSION, FLEET, name, 1, VOTERS, LEASE)
        self._carry(VOTERS[0], list(self.measured.data(self.now, link, encode(hello))))

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
            self._carry(VOTERS[0], actions)
        self._settle()
        return spent / max(1, len(wanted))

    # ---- a change

    def propose(self, change: str, text: bytes) -> None:
        """An operator at the driver wants it."""
        if not self.operator_link:
            self.operator_link = self.driver.number()
            self._carry(VOTERS[1], list(self.driver.accepted(self.now, self.operator_link)))
            hello = Hello(VERSION, FLEET, "", 0, (), 0.0)
            self._carry(VOTERS[1], list(self.driver.data(self.now, self.operator_link, encode(hello))))
        wanted = encode(Set(change, text, PATIENCE))
        self._carry(VOTERS[1], list(self.driver.data(self.now, self.operator_link, wanted)))
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
    """Of a voter with so many holders: processor seconds of a lease request and of a survey; bytes of its answer."""

    holders: int
    rest: float
    checking: float
    closing: float
    survey: float
    survey_bytes: int


def request_costs(holders: int, rounds: int = ROUNDS, sample: int = SAMPLE) -> RequestCosts:
    """Measure one size."""
    pair = VoterPair(holders)
    everyone = list(pair.holders.values())
    # one stays out of the measured rounds: its verdict and its lease decide how long each stage lasts
    last, measured = everyone[-1], everyone[: min(sample, holders - 1)]
    rest = min(pair.round(measured) for _ in range(rounds))
    change = f"{pair.version}-measured"
    pair.propose(change, pair.next_text)
    checking = min(pair.round(measured, change, ()) for _ in range(rounds))
    pair.round(everyone[:-1], change, ())
    survey = min(_survey(pair) for _ in range(rounds))
    survey_bytes = pair.surveyed_bytes
    pair.round([last], change, ())
    pair.pass_time(0.3)  # agreed; the others' long leases run out now
    assert pair.measured.voter is not None and pair.measured.voter.lease_table.closing
    closing = min(pair.round(measured, change, ()) for _ in range(rounds))
    return RequestCosts(holders, rest, checking, closing, survey, survey_bytes)


def _survey(pair: VoterPair) -> float:
    """Processor seconds that the measured voter spends on one survey by the driver."""
    actions = pair.driver.wake(pair.now + 0.2)
    pair.now += 0.2
    pair._carry(VOTERS[1], list(actions))
    spent = 0.0
    while pair.queue:
        name, link, data = pair.queue.popleft()
        if name == VOTERS[1]:
            pair.surveyed_bytes = len(data)
        begin = time.process_time()
        done = pair.nodes[name].data(pair.now, link, data)
        if name == VOTERS[0]:
            spent += time.process_time() - begin
        pair._carry(name, list(done))
    return spent
