"""Breadth-first search of the state space of exhaustive_world.py for violations of invariants, and its report."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from banklift.fleet.messages import Accept, Nack, Promise, Rejoin, Rejoined
from banklift.rig.exhaustive_history import INVARIANTS, PROMISES_KEPT, Invariant
from banklift.rig.exhaustive_voter import VOTERS, DiskFault, RegisterMessage
from banklift.rig.exhaustive_world import Budget, GlobalState, StateSpace, Step, StepKind


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A violation of an invariant, and a shortest path that leads to it."""

    invariant: str
    violation: str
    path: list[str]  # the steps from the initial state, in words


@dataclass(slots=True)
class Report:
    """The result of a search."""

    budget: Budget
    states: int = 0  # different states found
    steps: int = 0  # steps taken, also those to states that were known
    depth: int = 0  # steps from the initial state to the states that are furthest away
    seconds: float = 0.0
    complete: bool = False  # the whole state space was explored, and no invariant violated
    # by invariant, how often it could have been violated: the number of states; for promises, the number of different
    # transitions that had to refuse a ballot lower than promised
    exercised: dict[str, int] = field(default_factory=dict)
    counterexample: Counterexample | None = None


class Search:
    """One exploration, breadth first, so that the path to a violation has as few steps as possible.

    `reduced`: leave out steps that lead to nothing new (exhaustive_world.py).
    """

    def __init__(
        self, budget: Budget, invariants: tuple[Invariant, ...] = INVARIANTS, reduced: bool = True
    ) -> None:
        self.budget, self.invariants = budget, invariants
        self.space = StateSpace(budget, reduced)
        self.parents: dict[
            bytes, bytes | None
        ] = {}  # of each state seen: its key, and the key of its predecessor
        self.states_by_history: dict[int, int] = {}  # number of states that have a history
        self.steps = 0

    def run(self, limit: int) -> Report:
        """Explore until the state space is covered, an invariant is violated or `limit` states are seen."""
        started_at = time.monotonic()
        report = Report(self.budget)
        first = self.space.first()
        self.parents[first.key()] = None
        self.states_by_history[first.history] = 1
        frontier = [first]
        while frontier and len(self.parents) < limit and report.counterexample is None:
            frontier = self._next_frontier(frontier, limit, report)
            report.depth += bool(frontier)
        report.complete = not frontier and report.counterexample is None
        report.states, report.steps = len(self.parents), self.steps
        report.seconds = time.monotonic() - started_at
        report.exercised = self._count_exercised()
        return report

    def _next_frontier(self, frontier: list[GlobalState], limit: int, report: Report) -> list[GlobalState]:
        """The states that are one step further than these and were not seen yet. Ends early at the limit or a
        violation, which is put into the report."""
        parents, states_by_history, found = self.parents, self.states_by_history, []
        for state in frontier:
            origin = state.key()
            for step in self.space.steps(state):
                self.steps += 1
                after = step.after
                key = after.key()
                if key in parents:
                    continue
                parents[key] = origin
                found.append(after)
                if after.history in states_by_history:
                    states_by_history[after.history] += 1
                    continue
                states_by_history[after.history] = 1
                report.counterexample = self._find_violation(after)
                if report.counterexample is not None:
                    return found
            if len(parents) >= limit:
                break
        return found

    def _find_violation(self, state: GlobalState) -> Counterexample | None:
        """Check all invariants on a state's history."""
        history = self.space.histories.values[state.history]
        for invariant in self.invariants:
            if violation := invariant.violation(history):
                return Counterexample(invariant.name, violation, self._path_to(state))
        return None

    def _count_exercised(self) -> dict[str, int]:
        counts = dict.fromkeys((invariant.name for invariant in self.invariants), 0)
        for number, states in self.states_by_history.items():
            history = self.space.histories.values[number]
            for invariant in self.invariants:
                counts[invariant.name] += states * invariant.is_exercised(history)
        if PROMISES_KEPT in self.invariants:
            counts[PROMISES_KEPT.name] = self.space.refusals
        return counts

    # ---- paths

    def _path_to(self, last: GlobalState) -> list[str]:
        """The steps from the initial state to this one, in words."""
        keys = [last.key()]
        while (parent := self.parents[keys[-1]]) is not None:
            keys.append(parent)
        keys.reverse()
        state, path = self.space.first(), []
        for key in keys[1:]:
            step = next(step for step in self.space.steps(state) if step.after.key() == key)
            path.append(self._describe(state, step))
            state = step.after
        return path

    def _describe(self, state: GlobalState, step: Step) -> str:
        """A step from a state, in words."""
        name = VOTERS[step.at]
        match step.kind:
            case StepKind.DELIVER | StepKind.LOSE:
                envelope = self.space.envelopes.values[step.subject]
                return f"{step.kind} {envelope.sender} to {envelope.receiver}: {_describe_message(envelope.message)}"
            case StepKind.SEND_REJOIN_AGAIN:
                return f"{name} sends Rejoin to {VOTERS[step.subject]} again"
            case StepKind.CRASH:
                disk = self.space.disk_after_crash(state, step)
                return f"{name} crashes and restarts; its disk is {disk.fault}" + (
                    f" to promised {disk.record.promised}, accepted {disk.record.accepted}"
                    if disk.fault is DiskFault.ROLLED_BACK and disk.record is not None
                    else ""
                )
            case _:
                highest = self.space.voters.values[state.voters[step.at]].highest_ballot
                return f"{name} proposes its change under {(highest[0] + 1, name)}"


def _describe_message(message: RegisterMessage) -> str:
    """The fields of a message that tell steps apart."""
    name = type(message).__name__
    match message:
        case Promise():
            policy = message.state.policy if message.state is not None else None
            return f"{name} {message.ballot}, accepted {policy!r} under {message.accepted}"
        case Accept():
            return f"{name} {message.ballot}, {message.state.policy!r}"
        case Nack():
            return f"{name} {message.ballot}, promised {message.promised}"
        case Rejoin():
            return f"{name} as incarnation {message.incarnation}"
        case Rejoined():
            return (
                f"{name} of incarnation {message.incarnation}, {message.standing}, "
                f"promised {message.promised}, accepted {message.accepted}"
            )
        case _:
            return f"{name} {message.ballot}"
