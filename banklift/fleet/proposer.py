"""A voter's own proposals to the register, one after another, each tried until it is chosen or rejected. Pure.

| state | event | next | what is sent |
| --- | --- | --- | --- |
| idle | a task | preparing | `Prepare` to all |
| preparing | a majority has promised | accepting | `Accept` to all; nothing if the state rejects the task |
| accepting | a majority has accepted | idle, or the next task | - |
| preparing, accepting | a newer ballot is known | pausing, for a time that is drawn | - |
| preparing, accepting | no majority in time | preparing | `Prepare` under a higher ballot |
| pausing | the pause is over | preparing | `Prepare` under a higher ballot |
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banklift.fleet.messages import NO_BALLOT, Accept, Accepted, Ballot, Nack, Prepare, Promise
from banklift.fleet.register import Proposal
from banklift.fleet.state import ProposalRejected, State

ROUND = 0.5  # seconds that a proposal waits for answers before it is tried again; grows with each try ...
ROUND_MOST = 4.0  # ... up to this
MAX_ROUND_DOUBLINGS = 8
PAUSE = 0.1  # seconds at the most before a try after a newer ballot was met; grows with each try
MAX_PAUSE_DOUBLINGS = 5


@dataclass(slots=True, eq=False)
class Task:
    """A change of the register that is wanted, and what is done once it was made or can't be."""

    change: Callable[[State | None], State]
    done: Callable[[State], None]
    rejected: Callable[[ProposalRejected], None]
    tries: int = 0


class Proposer:
    """`send_all` sends to all voters, this one among them; `chosen` is told of each state that was chosen."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        random: Random,
        send_all: Callable[[Prepare | Accept], None],
        chosen: Callable[[State], None],
    ) -> None:
        self.name, self.voters, self.random = name, voters, random
        self.send_all, self.chosen = send_all, chosen
        self.tasks: deque[Task] = deque()
        self.proposal: Proposal | None = None
        self.round_ends = math.inf
        self.highest: Ballot = NO_BALLOT
        self.now = 0.0

    def add(self, now: float, task: Task) -> None:
        """Make this change, after those that wait already."""
        self.now = now
        self.tasks.append(task)
        if self.proposal is None and self.round_ends == math.inf:
            self._begin()

    def wake(self, now: float) -> None:
        """Try again if the round got no majority in time, or its pause is over."""
        self.now = now
        if now < self.round_ends:
            return
        self.proposal, self.round_ends = None, math.inf
        if self.tasks:
            self.tasks[0].tries += 1
            self._begin()

    def message(self, now: float, voter: str, message: Promise | Accepted | Nack) -> None:
        """An answer; one to an older round is left aside by its ballot."""
        self.now = now
        if isinstance(message, Nack):
            self.highest = max(self.highest, message.promised)
        if self.proposal is None:
            return
        match message:
            case Promise():
                self._promised(self.proposal, voter, message)
            case Accepted():
                self._accepted(self.proposal, voter, message)
            case Nack():
                if self.proposal.nack(message):
                    self._pause()

    def _begin(self) -> None:
        task = self.tasks[0]
        self.highest = (self.highest[0] + 1, self.name)
        self.proposal = Proposal(self.highest, self.voters, task.change)
        wait = min(ROUND_MOST, ROUND * 2 ** min(task.tries, MAX_ROUND_DOUBLINGS))
        self.round_ends = self.now + wait * self.random.uniform(0.8, 1.2)
        self.send_all(Prepare(self.highest))

    def _promised(self, proposal: Proposal, voter: str, message: Promise) -> None:
        try:
            accept = proposal.promised(voter, message)
        except ProposalRejected as rejected:
            self._finish().rejected(rejected)
            return
        if accept is not None:
            self.send_all(accept)

    def _accepted(self, proposal: Proposal, voter: str, message: Accepted) -> None:
        state = proposal.accepted(voter, message)
        if state is not None:
            task = self._finish()
            self.chosen(state)
            task.done(state)

    def _pause(self) -> None:
        """Wait for a time that is drawn, or two proposers beat each other for ever."""
        self.proposal = None
        doublings = min(self.tasks[0].tries, MAX_PAUSE_DOUBLINGS)
        self.round_ends = self.now + self.random.uniform(0.0, PAUSE) * 2**doublings

    def _finish(self) -> Task:
        """The first task is over; go on to the next."""
        self.proposal, self.round_ends = None, math.inf
        task = self.tasks.popleft()
        if self.tasks:
            self._begin()
        return task
