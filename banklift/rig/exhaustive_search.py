"""Search of all worlds of exhaustive_world.py, breadth first, and what it reports."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from banklift.fleet.messages import Accept, Nack, Promise, Rejoin, Rejoined
from banklift.rig.exhaustive_history import INVARIANTS, PROMISES_KEPT, Invariant
from banklift.rig.exhaustive_voter import VOTERS, DiskFault, RegisterMessage
from banklift.rig.exhaustive_world import Budget, Step, StepKind, World, Worlds


@dataclass(frozen=True, slots=True)
class Counterexample:
    """`path`: the steps from the first world, as few as can be."""

    invariant: str
    what: str
    path: list[str]


@dataclass(slots=True)
class Report:
    """`deepest`: steps to the worlds that are furthest away. `exposed`: by invariant, how often it could have failed:
    in how many states, or for promises how many different calls had to refuse a ballot lower than promised."""

    budget: Budget
    states: int = 0
    steps: int = 0
    deepest: int = 0
    seconds: float = 0.0
    complete: bool = False
    exposed: dict[str, int] = field(default_factory=dict)
    counterexample: Counterexample | None = None


class Search:
    """One exploration, breadth first, so that the path to a broken invariant has as few steps as can be."""

    def __init__(
        self, budget: Budget, invariants: tuple[Invariant, ...] = INVARIANTS, reduced: bool = True
    ) -> None:
        self.budget, self.invariants = budget, invariants
        self.worlds = Worlds(budget, reduced)
        self.parents: dict[bytes, bytes | None] = {}  # of each world seen, by keys
        self.with_history: dict[int, int] = {}  # how many worlds have this history
        self.steps = 0

    def run(self, limit: int) -> Report:
        """Explore until all is covered, an invariant is broken or `limit` states are seen."""
        began = time.monotonic()
        report = Report(self.budget)
        first = self.worlds.first()
        self.parents[first.key()] = None
        self.with_history[first.history] = 1
        frontier = [first]
        while frontier and len(self.parents) < limit and report.counterexample is None:
            frontier = self._layer(frontier, limit, report)
            report.deepest += bool(frontier)
        report.complete = not frontier and report.counterexample is None
        report.states, report.steps = len(self.parents), self.steps
        report.seconds = time.monotonic() - began
        report.exposed = self._exposed()
        return report

    def _layer(self, frontier: list[World], limit: int, report: Report) -> list[World]:
        """The worlds that are one step further than these and were not seen yet."""
        parents, with_history, found = self.parents, self.with_history, []
        for world in frontier:
            origin = world.key()
            for step in self.worlds.steps(world):
                self.steps += 1
                after = step.after
                key = after.key()
                if key in parents:
                    continue
                parents[key] = origin
                found.append(after)
                if after.history in with_history:
                    with_history[after.history] += 1
                    continue
                with_history[after.history] = 1
                report.counterexample = self._judge(after)
                if report.counterexample is not None:
                    return found
            if len(parents) >= limit:
                break
        return found

    def _judge(self, world: World) -> Counterexample | None:
        history = self.worlds.histories.values[world.history]
        for invariant in self.invariants:
            if what := invariant.broken(history):
                return Counterexample(invariant.name, what, self._path(world))
        return None

    def _exposed(self) -> dict[str, int]:
        counts = dict.fromkeys((one.name for one in self.invariants), 0)
        for number, states in self.with_history.items():
            history = self.worlds.histories.values[number]
            for invariant in self.invariants:
                counts[invariant.name] += states * invariant.exposed(history)
        if PROMISES_KEPT in self.invariants:
            counts[PROMISES_KEPT.name] = self.worlds.refusals
        return counts

    # ---- paths

    def _path(self, last: World) -> list[str]:
        """The steps from the first world to this one, in words."""
        keys = [last.key()]
        while (parent := self.parents[keys[-1]]) is not None:
            keys.append(parent)
        keys.reverse()
        world, path = self.worlds.first(), []
        for key in keys[1:]:
            step = next(step for step in self.worlds.steps(world) if step.after.key() == key)
            path.append(self._words(world, step))
            world = step.after
        return path

    def _words(self, world: World, step: Step) -> str:
        name = VOTERS[step.at]
        match step.kind:
            case StepKind.DELIVER | StepKind.LOSE:
                envelope = self.worlds.envelopes.values[step.subject]
                return f"{step.kind} {envelope.sender} to {envelope.receiver}: {_message(envelope.message)}"
            case StepKind.ASK_AGAIN:
                return f"{name} asks {VOTERS[step.subject]} again"
            case StepKind.CRASH:
                disk = self.worlds.disk_after(world, step)
                return f"{name} crashes and starts; its disk is {disk.fault}" + (
                    f" to promised {disk.record.promised}, accepted {disk.record.accepted}"
                    if disk.fault is DiskFault.ROLLED_BACK and disk.record is not None
                    else ""
                )
            case _:
                highest = self.worlds.voters.values[world.voters[step.at]].highest
                return f"{name} proposes its change under {(highest[0] + 1, name)}"


def _message(message: RegisterMessage) -> str:
    """The parts of a message that tell steps apart."""
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
