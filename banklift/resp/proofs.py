"""What members that speak RESP tell of themselves: `Proofs` of proxy/wire.py.

Theory of operation. Members tell offsets, and only when asked. So each attempt asks the member for its standing on the
same link: a read before its command, so what is read is at least as new as what is proven; a write after it, so the
mark it leaves holds the write. Only a read that any member may serve needs no proof. The first exchange of a link asks
for the history too: a restart of the member ends its links, so nothing outlives the data it spoke of. A read whose own
proof fails its floor is not passed on; the module hears of a miss.

What an answer of a write, a session's or a fresh read shows leaves a mark with its session (`Served.seen`), and the
session's reads hold all its marks: they see its writes and never go back behind its reads. Such a read asks for the
member's standing behind its command too, as it may show what was written while it waited.

A probe of a replica also asks the primary, as a sample: positions come from samples (decide/offsets.py). The report
waits up to `SAMPLE_WAIT` for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift import interface as io
from banklift.decide.offsets import Fact, Seen, Standing, Track
from banklift.interface import Need, State, Status
from banklift.proxy.machine import Attempt, Machine, Node
from banklift.proxy.wire import Ask, Judged, Question, Result, Served, Told
from banklift.resp.replies import standing

SAMPLE_WAIT = 0.02  # seconds that a replica's report waits for the primary's sample
MARKED = (Need.SESSION, Need.FRESH)  # reads: what a session has seen of these it never unsees


@dataclass(slots=True)
class Lore:
    doubt: bool = True  # its history is to be asked
    unanswered: float | None = None  # since when a write of ours has had no answer


class RespProofs:
    def __init__(self, core: Machine, groups: int) -> None:
        self.core = core
        self.tracks = [Track() for _ in range(groups)]
        self.delayed: dict[
            int, list[tuple[Node, float, float]]
        ] = {}  # reports that wait for a sample, by group

    def lore(self) -> Lore:
        return Lore()

    def since_write(self, ask: Ask, now: float) -> float | None:
        if ask.kind.need is Need.SESSION:
            if ask.current:
                return 0.001
            if ask.seen is not None:
                return now + 0.001 - self.tracks[ask.group].floor(ask.seen, now)
        return None

    def question(self, attempt: Attempt, fresh: bool) -> Question:
        need, lore = attempt.open.ask.kind.need, attempt.node.lore
        if need is Need.WRITE and lore.unanswered is None:
            lore.unanswered = self.core.now
        if fresh or lore.doubt:
            return Question.HISTORY_BOTH if need in MARKED else Question.HISTORY
        if need is Need.ANY:  # which asks for no proof
            return Question.NONE
        return Question.BOTH if need in MARKED else Question.STANDING

    def judge(self, attempt: Attempt, result: Result) -> Judged:
        ask, node, now = attempt.open.ask, attempt.node, self.core.now
        status, fact = result.status, Fact()
        writes = ask.kind.need is Need.WRITE
        if writes:
            node.lore.unanswered = None
        if result.standing is not None:
            fact = self.learn(node, result.standing, attempt.asked, None)
        if status is Status.MISS and writes and fact.primary is None:
            fact = Fact(primary=False)  # READONLY says so itself
        served = None
        if status is Status.OK:
            if not writes and not self.proves(attempt, fact):
                status = Status.MISS
            elif not attempt.open.final:
                seen = None
                if writes:
                    seen = self.tracks[node.group].seen(node.name, fact.offset, now)
                elif ask.kind.need in MARKED:  # it showed nothing newer than what stands behind it
                    after = result.after and self.learn(node, result.after, attempt.asked, None)
                    seen = self.tracks[node.group].seen(node.name, after.offset if after else None, now)
                served = Served(result.answer, seen)
        load = result.standing.load if result.standing is not None else None
        return Judged(
            status, Told(fact.primary, None, io.Report(position=fact.position, in_flight=load)), served
        )

    def cut(self, attempt: Attempt, result: Result) -> Served:
        return Served(result.answer, Seen(self.core.now))

    def proves(self, attempt: Attempt, fact: Fact) -> bool:
        """Whether what the member proved on the same link allows this read."""
        ask, open_ = attempt.open.ask, attempt.open
        match ask.kind.need:
            case Need.ANY:
                return True
            case Need.BOUNDED:
                floor = attempt.asked - ask.kind.bound
            case Need.SESSION if not ask.current:
                return ask.seen is None or self.tracks[ask.group].covers(fact, ask.seen)
            case _:
                floor = open_.arrived
        return fact.position is not None and fact.position >= floor

    def learn(self, node: Node, told: Standing, asked: float, waiting: float | None) -> Fact:
        """Take in what a member says of its place in the log. `waiting`: see `Track.learn`."""
        fact = self.tracks[node.group].learn(node.name, told, asked, self.core.now, waiting)
        if fact.unsure:
            node.lore.doubt = True
            if (
                node.state is State.READY and not node.probes
            ):  # it has another role than before: ask for its history
                self.probing(node)
                self.core.probe(node)
        elif told.replid is not None:
            node.lore.doubt = False
        if fact.reborn:
            self.core.reborn(node)
        return fact

    def early(self, attempt: Attempt) -> None:
        """A member said where it stands, and its answer may take a while: a change of role is told at once."""
        node, told = attempt.node, standing(attempt.frames[0])
        if told is None or attempt.open.ask.kind.need is Need.WRITE:
            return
        was = self.tracks[node.group].owner == node.name
        fact = self.learn(node, told, attempt.asked, None)
        if fact.primary is not None and fact.primary != was:
            self._report(node, attempt.asked, fact.primary, fact.position, told.load)

    # ---- probes

    def probing(self, node: Node) -> None:
        """The primary is asked too, so that a replica's offset says something."""
        owner = self._owner(node)
        if owner is not None and owner is not node and not owner.probes:
            self.core.probe(owner)

    def probed(self, node: Node, asked: float, frame: bytes) -> None:
        core, told = self.core, standing(frame)
        if told is None:  # it speaks, but doesn't say what it is: loading, or no permission
            core.probe_failed(node, asked)
            return
        waiting = node.lore.unanswered
        if waiting is None:
            waiting = min(
                (
                    link.attempt.asked
                    for link in node.links.values()
                    if link.attempt is not None and link.attempt.open.ask.kind.need is Need.WRITE
                ),
                default=None,
            )
        fact = self.learn(node, told, asked, waiting)
        owner = self._owner(node)
        if fact.primary is not True and owner is not None and owner.probes and owner.probes[0] <= asked:
            self.delayed.setdefault(node.group, []).append((node, asked, told.load or 0.0))
            core.at(core.now + SAMPLE_WAIT, lambda: self._release(node.group))
            return
        self._report(node, asked, fact.primary, fact.position, told.load)
        if fact.primary:
            self._release(node.group)

    def probes_failed(self, node: Node) -> None:
        self._release(node.group)

    def forget(self, node: Node) -> None:
        self.tracks[node.group].forget(node.name)

    def _owner(self, node: Node) -> Node | None:
        owner = self.tracks[node.group].owner
        return self.core.nodes.get(owner) if owner is not None else None

    def _release(self, group: int) -> None:
        """The sample is here, or isn't coming: tell what waited for it."""
        for node, asked, load in self.delayed.pop(group, ()):
            position, _ = self.tracks[group].place(node.name)
            self._report(node, asked, False, position, load)

    def _report(
        self, node: Node, asked: float, primary: bool | None, position: float | None, load: float | None
    ) -> None:
        self.core.report(node, asked, io.Report(position, primary, load, None, asked))
