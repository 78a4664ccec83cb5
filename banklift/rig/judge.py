"""The fleet's invariants, checked on a trace: on what clients sent and received, and on what members ran.

The policy under which a router took a request can be told from outside for some requests only. Keys are of two
families, and the policy's variant (site.py) says which of them replicas may serve. So a request that a replica ran was
taken under a known variant; one that the primary ran was taken under either, as a router may go to the primary at any
time.

| invariant | violated if |
| --- | --- |
| never mixed | after a client was served under the new policy, a request is sent and taken under the old one |
| in force everywhere | after a change is reported as in force, a request is sent and taken under the old policy |
| nowhere | a request is taken under a policy that was not reported as in force |
| one final answer | a request has no answer by the end |
| not dark | a router that is up serves nothing for longer than a given time |

A change covers the time from its request to the request for the next one. Next to the violations, a verdict counts the
cases in which each invariant could have been violated, so that a test can tell that it was exercised.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from banklift.rig.trace import Entry

KEY_FAMILIES = ("a", "b")  # the index is the policy variant under which replicas serve the family
IN_FORCE = "in force"


@dataclass(slots=True)
class Verdict:
    """What was found in a trace: violations in words, and how often each case came up, by its name."""

    violations: list[str] = field(default_factory=list)
    case_counts: dict[str, int] = field(default_factory=dict)

    def count_case(self, name: str, count: int = 1) -> None:
        """Add to the count of a case."""
        self.case_counts[name] = self.case_counts.get(name, 0) + count


@dataclass(slots=True)
class Request:
    """One request of a client; times in seconds as in the trace."""

    key: str
    router: str
    sent_at: float
    answered_at: float = math.inf
    answer: str = ""
    variant: int = -1  # of the policy under which it was taken; -1 if that is unknown


@dataclass(slots=True)
class ChangeWindow:
    """One change of policy, from when it was requested to when the next one was."""

    requested_at: float
    variant: int
    ends_at: float = math.inf
    reported_at: float = math.inf  # when the operator got its outcome
    outcome: str = ""


def requests(entries: list[Entry]) -> list[Request]:
    """All requests of a trace, in the order in which they were sent."""
    found: dict[str, Request] = {}
    for entry in entries:
        if entry.kind == "sent":
            found[entry.key] = Request(entry.key, entry.router, entry.time)
        elif entry.kind == "got":
            found[entry.key].answered_at, found[entry.key].answer = entry.time, entry.answer
        elif entry.kind == "ran" and entry.role == "replica" and entry.key in found:
            found[entry.key].variant = KEY_FAMILIES.index(entry.key[0])
    return list(found.values())


def change_windows(entries: list[Entry]) -> list[ChangeWindow]:
    """All changes of a trace, in the order in which they were requested."""
    found: list[ChangeWindow] = []
    for entry in entries:
        if entry.kind == "set":
            if found:
                found[-1].ends_at = entry.time
            found.append(ChangeWindow(entry.time, entry.variant))
        elif entry.kind == "told":
            found[-1].reported_at, found[-1].outcome = entry.time, entry.answer
    return found


def judge(entries: list[Entry], variant: int = 0, max_unserved: float = math.inf) -> Verdict:
    """Check all invariants on a trace.

    `variant`: of the policy at the start. `max_unserved`: seconds for which a router that is up may serve nothing.
    """
    verdict = Verdict()
    all_requests = requests(entries)
    known = [request for request in all_requests if request.variant >= 0]
    for window in change_windows(entries):
        inside = [request for request in known if window.requested_at <= request.sent_at < window.ends_at]
        new = [request for request in inside if request.variant == window.variant != variant]
        old = [request for request in inside if request.variant == variant]
        if window.outcome == IN_FORCE:
            first_served = min((request.answered_at for request in new), default=math.inf)
            for request in old:
                if request.sent_at > first_served:
                    verdict.violations.append(
                        f"never mixed: {request.key} at {request.router} was taken under the old policy, though sent "
                        f"{request.sent_at - first_served:.3f} s after a request was served under the new one"
                    )
                if request.sent_at > window.reported_at:
                    verdict.violations.append(
                        f"in force everywhere: {request.key} at {request.router} was taken under the old policy, "
                        f"though sent {request.sent_at - window.reported_at:.3f} s after the change was reported as "
                        "in force"
                    )
            verdict.count_case(
                "never mixed: requests sent after the first was served under the new policy",
                sum(request.sent_at > first_served for request in new),
            )
            verdict.count_case(
                "in force everywhere: requests sent after the change was reported as in force",
                sum(request.sent_at > window.reported_at for request in new),
            )
            verdict.count_case("changes in force")
            variant = window.variant
        else:
            verdict.violations += [
                f"nowhere: {request.key} at {request.router} was taken under a policy that was "
                f"{window.outcome or 'never reported as in force'}"
                for request in new
            ]
            verdict.count_case(
                "nowhere: requests sent during or after a change that is not in force", len(old)
            )
            verdict.count_case("changes not in force")
    for request in all_requests:
        if request.answered_at == math.inf:
            verdict.violations.append(f"one final answer: {request.key} at {request.router} has none")
        verdict.count_case(f"requests {request.answer}")
    verdict.violations += _unserved_periods(entries, all_requests, max_unserved, verdict)
    return verdict


def _unserved_periods(
    entries: list[Entry], all_requests: list[Request], max_unserved: float, verdict: Verdict
) -> list[str]:
    """Violations by routers that are up and serve nothing for longer than `max_unserved` seconds."""
    found: list[str] = []
    if not entries:
        return found
    served: dict[str, list[float]] = {}
    for request in all_requests:
        if request.answer == "served":
            served.setdefault(request.router, []).append(request.answered_at)
    for router, begins, ends in router_lifetimes(entries):
        times = sorted(time for time in served.get(router, []) if begins <= time <= ends)
        gaps = [
            (later - before, before) for before, later in zip([begins, *times], [*times, ends], strict=True)
        ]
        longest, since = max(gaps)
        verdict.count_case("router lifetimes")
        if longest > max_unserved:
            found.append(f"not dark: {router} served nothing for {longest:.2f} s from {since:.2f} on")
    return found


def router_lifetimes(entries: list[Entry]) -> list[tuple[str, float, float]]:
    """Periods in which a router's process could run: router, begin, end. A process that is up at the end of the trace
    counts until the last event of a client."""
    found: list[tuple[str, float, float]] = []
    up_since: dict[str, float] = {}
    for entry in entries:
        if entry.kind == "up":
            up_since[entry.router] = entry.time
        elif entry.kind == "down" and entry.router in up_since:
            found.append((entry.router, up_since.pop(entry.router), entry.time))
    last = max((entry.time for entry in entries if entry.kind in ("got", "sent")), default=0.0)
    return found + [(router, begin, last) for router, begin in up_since.items() if begin < last]
