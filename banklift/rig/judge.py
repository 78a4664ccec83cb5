"""The fleet's invariants, judged from a trace: from what clients sent and got, and from what members ran.

How the policy of a request is known from outside. Keys are of two families, `a:` and `b:`. Under a policy of parity 0
any member may serve `a:` and only the primary `b:`; under parity 1 it is the other way round. So what a replica ran
tells for certain under which parity its request was taken. What the primary ran tells nothing: a router may go there
at any time.

A change runs from when it was asked for up to the next one. Every verdict counts the cases in which it could have
failed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from banklift.rig.trace import Entry

FAMILIES = ("a", "b")
IN_FORCE = "in force"


@dataclass(slots=True)
class Verdict:
    breaks: list[str] = field(default_factory=list)
    cases: dict[str, int] = field(default_factory=dict)

    def case(self, name: str, count: int = 1) -> None:
        self.cases[name] = self.cases.get(name, 0) + count


@dataclass(slots=True)
class Request:
    key: str
    router: str
    sent: float
    got: float = math.inf
    answer: str = ""
    parity: int = -1  # of its policy, as far as it is known


@dataclass(slots=True)
class Window:
    """One change: asked for at `begin`, up to the next one."""

    begin: float
    parity: int
    end: float = math.inf
    told: float = math.inf  # when its outcome was told
    outcome: str = ""


def requests(entries: list[Entry]) -> list[Request]:
    found: dict[str, Request] = {}
    for entry in entries:
        if entry.k == "sent":
            found[entry.key] = Request(entry.key, entry.router, entry.t)
        elif entry.k == "got":
            found[entry.key].got, found[entry.key].answer = entry.t, entry.answer
        elif entry.k == "ran" and entry.role == "replica" and entry.key in found:
            found[entry.key].parity = FAMILIES.index(entry.key[0])
    return list(found.values())


def windows(entries: list[Entry]) -> list[Window]:
    found: list[Window] = []
    for entry in entries:
        if entry.k == "set":
            if found:
                found[-1].end = entry.t
            found.append(Window(entry.t, entry.parity))
        elif entry.k == "told":
            found[-1].told, found[-1].outcome = entry.t, entry.answer
    return found


def judge(entries: list[Entry], parity: int = 0, dark: float = math.inf) -> Verdict:
    """`parity`: of the policy at the start. `dark`: seconds that a router that is up may serve nothing."""
    verdict = Verdict()
    every = requests(entries)
    known = [one for one in every if one.parity >= 0]
    for window in windows(entries):
        inside = [one for one in known if window.begin <= one.sent < window.end]
        new = [one for one in inside if one.parity == window.parity != parity]
        old = [one for one in inside if one.parity == parity]
        if window.outcome == IN_FORCE:
            first = min((one.got for one in new), default=math.inf)
            for one in old:
                if one.sent > first:
                    verdict.breaks.append(
                        f"never mixed: {one.key} at {one.router} was sent {one.sent - first:.3f} s "
                        "after one was served under the new policy, and taken under the old one"
                    )
                if one.sent > window.told:
                    verdict.breaks.append(
                        f"in force everywhere: {one.key} at {one.router} was sent "
                        f"{one.sent - window.told:.3f} s after the change was told to be in force"
                    )
            verdict.case(
                "never mixed: sent once the first was served under the new policy",
                sum(one.sent > first for one in new),
            )
            verdict.case("in force: sent once it was told", sum(one.sent > window.told for one in new))
            verdict.case("changes in force")
            parity = window.parity
        else:
            verdict.breaks += [
                f"nowhere: {one.key} at {one.router} was taken under a policy that was "
                f"{window.outcome or 'never told to be in force'}"
                for one in new
            ]
            verdict.case("nowhere: sent during or after a change that did not take hold", len(old))
            verdict.case("changes not in force")
    for one in every:
        if one.got == math.inf:
            verdict.breaks.append(f"one final answer: {one.key} at {one.router} has none")
        verdict.case(f"requests {one.answer}")
    verdict.breaks += _dark(entries, every, dark, verdict)
    return verdict


def _dark(entries: list[Entry], every: list[Request], dark: float, verdict: Verdict) -> list[str]:
    """Routers that are up and serve nothing for longer than `dark`."""
    found: list[str] = []
    if not entries:
        return found
    served: dict[str, list[float]] = {}
    for one in every:
        if one.answer == "served":
            served.setdefault(one.router, []).append(one.got)
    for router, begins, ends in lives(entries):
        times = sorted(time for time in served.get(router, []) if begins <= time <= ends)
        gaps = [
            (later - before, before) for before, later in zip([begins, *times], [*times, ends], strict=True)
        ]
        longest, at = max(gaps)
        verdict.case("lives of routers")
        if longest > dark:
            found.append(f"not dark: {router} served nothing for {longest:.2f} s from {at:.2f} on")
    return found


def lives(entries: list[Entry]) -> list[tuple[str, float, float]]:
    """Router, from when, until when its process could run."""
    found: list[tuple[str, float, float]] = []
    since: dict[str, float] = {}
    for entry in entries:
        if entry.k == "up":
            since[entry.router] = entry.t
        elif entry.k == "down" and entry.router in since:
            found.append((entry.router, since.pop(entry.router), entry.t))
    last = max((entry.t for entry in entries if entry.k in ("got", "sent")), default=0.0)
    return found + [(router, begin, last) for router, begin in since.items() if begin < last]
