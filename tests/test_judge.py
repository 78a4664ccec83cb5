"""The judge catches planted faults, each for the right reason, and accuses no honest day.

Days play in virtual time through the router's real code; the faults are planted in the router, by a machine that does
wrong or by an operator's file that lies to it. The judge has the honest file and the trace, nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from banklift import interface as io
from banklift.config import build
from banklift.decide.offsets import Fact, Standing, Track
from banklift.interface import Effect, Need
from banklift.judge.day import Day, Trouble, load_day, play_virtual
from banklift.judge.rules import judge
from banklift.judge.trace import Entry, TraceError, Writer, read
from banklift.judge.verdict import Verdict
from banklift.proxy import events as ev
from banklift.proxy.machine import Attempt, Machine
from banklift.proxy.plan import Config
from banklift.proxy.wire import Ask, Failed, Final, Refused

Make = Callable[[Config, int], Machine]


def play(troubles: list[Trouble], make: Make = build.machine, routers: int = 2, seconds: float = 4,
         rate: float = 200, sessions: int = 40, seed: int = 5, **changes: object) -> Verdict:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, troubles=troubles, seconds=seconds, rate=rate, sessions=sessions, **changes)
    entries: list[Entry] = []
    head = play_virtual(day, config, routers, seed, entries.append, make=make)
    return judge(head, sorted(entries, key=lambda entry: entry.t))


HANG = [Trouble(at=1, do="hang", member="west-0", value=1.0), Trouble(at=3, do="thaw", member="west-0")]
LAG = [Trouble(at=0.5, do="lag", member=name, value=10_000) for name in ("west-1", "east-1")]
DRAIN = [Trouble(at=1, do="drain", member="west-1")]
COLD = [Trouble(at=0.5, do="kill", member=f"{group}-1") for group in ("west", "east")] + [
    Trouble(at=1.0, do="restart", member=f"{group}-1") for group in ("west", "east")]


BUSY = {"rate": 1000, "work": 0.02, "sessions": 200, "seconds": 2.5}


def reasons(verdict: Verdict, rule: int) -> str:
    return " / ".join(found.reason for found in verdict.breaks if found.rule == rule)


def test_honest_days_are_not_accused() -> None:
    for troubles in ([], HANG, LAG, DRAIN, COLD, [*HANG, *LAG, *DRAIN]):
        verdict = play(troubles)
        assert not verdict.breaks
        assert sum(tally.served for tally in verdict.tallies.values()) > 500


class Mute(Machine):
    """Forgets to answer one request in fifty."""

    def _finish(self, request: int, final: Final) -> None:
        if request % 50:
            super()._finish(request, final)


class Stutter(Machine):
    """Says one answer in fifty twice."""

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        actions = super().handle(now, event)
        for action in list(actions):
            if isinstance(action, ev.ToClient) and self.ids % 50 == 0:
                actions.append(action)
        return actions


class Late(Machine):
    """Gives requests more time than their class has."""

    def patience(self, kind: io.RequestClass) -> float:
        return kind.deadline + 1.0


class Shameless(Machine):
    """Refuses what may have run."""

    def _finish(self, request: int, final: Final) -> None:
        super()._finish(request, Refused(0.1) if isinstance(final, Failed) else final)


class Credulous(Machine):
    """Believes that every replica is current."""

    def _proves(self, attempt: Attempt, fact: Fact) -> bool:
        return True

    def submit(self, ask: Ask) -> int:
        ask.seen, ask.current = None, False
        return super().submit(ask)


class NowTrack(Track):
    def position(self, replid: str, offset: int) -> float | None:
        return 1e9


class Sloppy(Machine):
    """Takes any offset for the present."""

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.tracks = [NowTrack() for _ in self.tracks]


class Deaf(Machine):
    """Hears the first roster only."""

    def _roster(self, members: tuple[ev.Listed, ...]) -> None:
        if not self.nodes:
            super()._roster(members)


class HalfDeaf(Machine):
    """Hears of drains, but goes on sending reads on links that it has."""

    def _roster(self, members: tuple[ev.Listed, ...]) -> None:
        super()._roster(tuple(msgspec.structs.replace(one, state=io.State.READY) for one in members))


class Young(Machine):
    """Takes every member for a warm one."""

    def _roster(self, members: tuple[ev.Listed, ...]) -> None:
        super()._roster(tuple(msgspec.structs.replace(one, started=None) for one in members))


def making(kind: type[Machine]) -> Make:
    def make(config: Config, seed: int) -> Machine:
        honest = build.machine(config, seed)
        return kind(honest.balancer.settings, config.limits, len(config.groups), seed, honest.wire,
                    lambda core: type(honest.front)(config, core))  # type: ignore[call-arg]

    return make


def lying(**effects: Effect) -> Make:
    """A router whose file says that unsafe classes are safe."""

    def make(config: Config, seed: int) -> Machine:
        classes = [msgspec.structs.replace(kind, effect=effects.get(kind.name.replace("-", "_"), kind.effect))
                   for kind in config.classes]
        return build.machine(msgspec.structs.replace(config, classes=classes), seed)

    return make


def sticky(config: Config, seed: int) -> Machine:
    """A router whose file says that sessions do not roam, though they do."""
    return build.machine(msgspec.structs.replace(config, sessions="connection"), seed)


@pytest.mark.parametrize(("rule", "reason", "make", "troubles", "changes"), [
    (1, "no answer", making(Mute), [], {}),
    (1, "more than one final answer", making(Stutter), [], {}),
    (1, "no answer before the deadline", making(Late), HANG, {"leavers": 0.0}),
    (2, "ran 2 times", lying(pick_save=Effect.SAFE), HANG, {}),
    (2, "sent again though it may have run", lying(pick_save=Effect.SAFE), HANG, {}),
    (2, "refused, but it ran", making(Shameless), HANG, {}),
    (3, "got a command", making(Deaf), DRAIN, {}),
    (3, "got a command", making(HalfDeaf), DRAIN, {}),
    (4, "of what it can bear", making(Young), COLD, BUSY),
    (4, "of what it can bear", making(Deaf), COLD, BUSY),
    (5, "misses", making(Credulous), LAG, {}),
    (5, "misses", making(Sloppy), LAG, {}),
    (5, "misses", sticky, LAG, {"roam": 1.0}),
])
def test_planted_faults_are_caught(rule: int, reason: str, make: Make, troubles: list[Trouble],
                                   changes: dict[str, object]) -> None:
    verdict = play(troubles, make, **changes)  # type: ignore[arg-type]
    assert reason in reasons(verdict, rule)


def test_the_days_of_planted_faults_are_honest_without_them() -> None:
    assert not play(COLD, **BUSY).breaks  # type: ignore[arg-type]
    assert not play(LAG, roam=1.0).breaks


def test_a_day_repeats_to_the_byte() -> None:
    day, config = load_day("short")
    day = msgspec.structs.replace(day, seconds=3)
    traces: list[list[Entry]] = [[], []]
    for entries in traces:
        play_virtual(day, config, 3, 7, entries.append)
    assert traces[0] == traces[1] and len(traces[0]) > 1000


def test_a_trace_is_read_as_it_was_written(tmp_path: Path) -> None:
    day, config = load_day("short")
    entries: list[Entry] = []
    head = play_virtual(msgspec.structs.replace(day, seconds=1), config, 1, 1, entries.append)
    writer = Writer(tmp_path / "t", head)
    for entry in entries:
        writer(entry)
    writer.close()
    assert read(tmp_path / "t") == (head, sorted(entries, key=lambda entry: entry.t))
    text = (tmp_path / "t").read_bytes()
    (tmp_path / "t").write_bytes(text[:-5])  # the writer was killed
    assert len(read(tmp_path / "t")[1]) == len(entries) - 1
    (tmp_path / "t").write_bytes(text + b'{"t": 1, "k": "nonsense"}\n')
    with pytest.raises(TraceError, match=rf"t:{len(entries) + 2}: Invalid enum value"):
        read(tmp_path / "t")


def test_needs_of_the_example_are_all_judged() -> None:
    _, config = load_day("short")
    assert {kind.need for kind in config.classes} == set(Need)
    assert isinstance(load_day("short")[0], Day) and Standing(True, 1).primary
