"""A voter's own proposals to the register, made one after another. Pure.

Each task is retried under higher ballots until its change is chosen, or rejected by the state it would apply to.

| state | event | next | what is sent |
| --- | --- | --- | --- |
| idle | a task is added | preparing | `Prepare` to all voters |
| preparing | a majority has promised | accepting | `Accept` to all voters; nothing if the state rejects the task |
| accepting | a majority has accepted | preparing the next task, or idle | `Prepare` if there is a next task |
| preparing, accepting | `Nack` with a higher ballot | pausing, for a random time | - |
| preparing, accepting | no majority before the round's timeout | preparing | `Prepare` under a higher ballot |
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

ROUND_TIMEOUT_SECONDS = 0.5  # the first timeout of a task's round; doubles with each attempt
MAX_ROUND_TIMEOUT_SECONDS = 4.0
MAX_ROUND_DOUBLINGS = 8
RETRY_PAUSE_SECONDS = 0.1  # longest first pause after a preempted ballot; doubles with each attempt
MAX_PAUSE_DOUBLINGS = 5


@dataclass(slots=True, eq=False)
class Task:
    """A change of the register, and the callbacks for its end.

    `change`: makes the new state from the current one; may raise `ProposalRejected`.
    """

    change: Callable[[State | None], State]
    on_chosen: Callable[[State], None]
    on_rejected: Callable[[ProposalRejected], None]
    attempts: int = 0  # rounds that ended without a result


class Proposer:
    """Makes one voter's tasks, in order.

    `broadcast`: sends to all voters, this one among them. `on_chosen`: called with each state that was chosen by a
    proposal of this voter.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        random: Random,
        broadcast: Callable[[Prepare | Accept], None],
        on_chosen: Callable[[State], None],
    ) -> None:
        self.name, self.voters, self.random = name, voters, random
        self.broadcast, self.on_chosen = broadcast, on_chosen
        self.tasks: deque[Task] = deque()
        self.proposal: Proposal | None = None
        self.deadline = math.inf  # when the round times out or the pause ends
        self.highest_ballot: Ballot = NO_BALLOT  # known; the next proposal goes above it
        self.now = 0.0

    def add(self, now: float, task: Task) -> None:
        """Queue a task. Times are seconds on the voter's own clock."""
        self.now = now
        self.tasks.append(task)
        if self.proposal is None and self.deadline == math.inf:
            self._begin_round()

    def wake(self, now: float) -> None:
        """Start another round if the last one timed out, or if the pause after it is over."""
        self.now = now
        if now < self.deadline:
            return
        self.proposal, self.deadline = None, math.inf
        if self.tasks:
            self.tasks[0].attempts += 1
            self._begin_round()

    def message(self, now: float, voter: str, message: Promise | Accepted | Nack) -> None:
        """Handle a voter's answer. The proposal ignores an answer to an older round, which has another ballot."""
        self.now = now
        if isinstance(message, Nack):
            self.highest_ballot = max(self.highest_ballot, message.promised)
        if self.proposal is None:
            return
        match message:
            case Promise():
                self._handle_promise(self.proposal, voter, message)
            case Accepted():
                self._handle_accepted(self.proposal, voter, message)
            case Nack():
                if self.proposal.handle_nack(message):
                    self._pause_before_retry()

    def _begin_round(self) -> None:
        """Propose the first task under a new ballot."""
        task = self.tasks[0]
        self.highest_ballot = (self.highest_ballot[0] + 1, self.name)
        self.proposal = Proposal(self.highest_ballot, self.voters, task.change)
        timeout = min(
            MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_SECONDS * 2 ** min(task.attempts, MAX_ROUND_DOUBLINGS)
        )
        self.deadline = self.now + timeout * self.random.uniform(0.8, 1.2)
        self.broadcast(Prepare(self.highest_ballot))

    def _handle_promise(self, proposal: Proposal, voter: str, message: Promise) -> None:
        try:
            accept = proposal.handle_promise(voter, message)
        except ProposalRejected as rejected:
            self._finish_task().on_rejected(rejected)
            return
        if accept is not None:
            self.broadcast(accept)

    def _handle_accepted(self, proposal: Proposal, voter: str, message: Accepted) -> None:
        state = proposal.handle_accepted(voter, message)
        if state is not None:
            task = self._finish_task()
            self.on_chosen(state)
            task.on_chosen(state)

    def _pause_before_retry(self) -> None:
        """Wait for a random time; without it two proposers could preempt each other for ever."""
        self.proposal = None
        doublings = min(self.tasks[0].attempts, MAX_PAUSE_DOUBLINGS)
        self.deadline = self.now + self.random.uniform(0.0, RETRY_PAUSE_SECONDS) * 2**doublings

    def _finish_task(self) -> Task:
        """Remove the first task and start on the next one. Returns the removed one."""
        self.proposal, self.deadline = None, math.inf
        task = self.tasks.popleft()
        if self.tasks:
            self._begin_round()
        return task
