"""The five rules, judged from a trace alone: what crossed the sockets at the clients' and at the members' end.

1. One final answer: every request has exactly one, before the class's deadline, unless its client left or its router
   was killed or stood still at the deadline; nothing goes out for it afterwards; a write's answer is one that a member
   gave to it.
2. No effect twice: an unsafe effect runs once over all tries; it is not sent again unless what came before was turned
   away; at most one attempt is out. The router's own words are true: of what it says that nothing ran, no member got
   anything that it did not turn away; what it calls safe to repeat is. An acknowledged write is in its group's final
   log, once if it is unsafe, or was lost with the end of a line that a fork cut off, beyond what replication had
   delivered.
3. Drains kept: nothing from a router reaches a member later than the grace after the roster told of it.
4. No cold member pushed over: what all routers send within any window stays under the stated multiple.
5. No stale read: reads.py.

What excuses a breach is counted by its reason, and too many excuses fail a day (`EXCUSES`).
"""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import pairwise

from banklift.judge.lines import EVER, Lines, Place
from banklift.judge.reads import OLD_PRIMARY, Reads
from banklift.judge.trace import Entry, Head
from banklift.judge.verdict import Break, Tally, Try, Verdict

STALL_NOTICED = 0.2  # seconds after a stall within which what piled up is answered
LATE = 0.05  # seconds that an answer's way to the client may take
STOOD_STILL, AT_KILL = "deadline while its router stood still", "open at a router's kill"
LEFT_UNSEEN = "sent while the router had not yet seen, after it stood still, that its client was gone"
# the part of a day's tries that a reason may excuse
EXCUSES = {STOOD_STILL: 0.1, LEFT_UNSEEN: 0.02, AT_KILL: 0.08, OLD_PRIMARY: 0.02}
FEW = 20  # excuses that are few on the shortest day


def judge(head: Head, entries: list[Entry]) -> Verdict:
    verdict = Verdict()
    tries: dict[str, Try] = {}
    for entry in entries:
        if entry.k == "ask":
            tries[entry.rid] = Try(entry)
    cuts: dict[tuple[str, int], float] = {}
    for entry in entries:
        attempt = tries.get(entry.rid)
        if entry.k == "cut":
            cuts[entry.member, entry.conn] = entry.t
        elif entry.k in ("command", "reply") and entry.rid and attempt is None:
            verdict.breaks.append(
                Break(2, "a member got what no client sent", entry.t - head.start, entry.rid)
            )
        elif attempt is None:
            continue
        elif entry.k == "answer":
            attempt.answers.append(entry)
        elif entry.k == "left":
            attempt.left = entry.t
        elif entry.k == "broke":
            attempt.broke = entry.t
        elif entry.k == "command":
            attempt.commands.append(entry)
        elif entry.k == "reply":
            attempt.replies.append(entry)
    judging = _Judging(head, entries, tries, cuts, verdict)
    lines = Lines(head.groups, entries)
    judging.answers()
    judging.twice()
    judging.drains()
    judging.cold()
    judging.kept(lines)
    Reads(head, entries, tries, lines, verdict).judge()
    for reason, share in EXCUSES.items():
        if verdict.excused[reason] > max(FEW, share * len(tries)):
            rule = 5 if reason is OLD_PRIMARY else 1
            verdict.breaks.append(
                Break(rule, f"{verdict.excused[reason]} excuses are too many: {reason}", 0.0, "")
            )
    verdict.breaks.sort(key=lambda found: (found.rule, found.at))
    return verdict


class _Judging:
    def __init__(
        self,
        head: Head,
        entries: list[Entry],
        tries: dict[str, Try],
        cuts: dict[tuple[str, int], float],
        verdict: Verdict,
    ) -> None:
        self.head, self.entries, self.tries, self.cuts, self.verdict = head, entries, tries, cuts, verdict
        self.killed: dict[int, list[float]] = defaultdict(list)
        self.stalls: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for entry in entries:
            if entry.k == "killed":
                self.killed[entry.router].append(entry.t)
            elif entry.k == "stalled":
                self.stalls[entry.router].append((entry.t, entry.t + entry.patience + STALL_NOTICED))

    def broken(self, rule: int, reason: str, at: float, rid: str) -> None:
        self.verdict.breaks.append(Break(rule, reason, at - self.head.start, rid))

    def answers(self) -> None:
        end = max((entry.t for entry in self.entries if entry.k == "end"), default=float("inf"))
        for rid, one in self.tries.items():
            kind = self.head.classes[one.ask.kind]
            tally = self.verdict.tallies.setdefault(one.ask.kind, Tally())
            tally.tries += 1
            tally.asked += rid.endswith(".0")
            deadline = one.ask.t + float(kind["deadline"])
            over = min(
                [one.answers[0].t] if one.answers else [one.left or math.inf, one.broke or math.inf, end]
            )
            if over > deadline + LATE and any(
                begin <= deadline <= end for begin, end in self.stalls[one.ask.router]
            ):
                self.verdict.excused[STOOD_STILL] += 1
                deadline = math.inf
            gone = one.left if one.left is not None else one.broke
            if len(one.answers) > 1:
                self.broken(1, "more than one final answer", one.answers[1].t, rid)
            if one.answers:
                first = one.answers[0]
                if first.t > deadline + LATE:
                    self.broken(1, f"answered {first.t - deadline:.3f} s after the deadline", first.t, rid)
                latency = first.t - one.ask.t
                tally.latencies.append(latency)
                tally.served += first.verdict == "served"
                tally.refused += first.verdict in ("refused", "repeat")
                tally.failed += first.verdict == "failed"
                tally.errors += first.verdict == "error"
                tally.in_time += first.verdict == "served" and latency <= float(kind["aim"])
                if (
                    kind["need"] == "write"
                    and first.verdict == "served"
                    and not any(
                        reply.value == first.value and reply.verdict == "answered" for reply in one.replies
                    )
                ):
                    self.broken(1, "an answer that no member gave to it", first.t, rid)
                for command in one.commands:
                    if command.t > first.t + self.head.crossing:
                        self.broken(1, "sent to a member after the final answer", command.t, rid)
            elif one.left is not None:
                tally.left += 1
                if one.left > deadline + LATE:
                    self.broken(1, "no answer before the deadline", deadline, rid)
                for command in one.commands:
                    if command.t <= one.left + self.head.crossing:
                        continue
                    if any(
                        begin <= one.left <= end and command.t <= end
                        for begin, end in self.stalls[one.ask.router]
                    ):
                        self.verdict.excused[LEFT_UNSEEN] += 1
                    else:
                        self.broken(1, "sent to a member after its client had left", command.t, rid)
            elif one.broke is not None:
                if not any(
                    at - self.head.crossing <= one.broke <= at + 5.0 for at in self.killed[one.ask.router]
                ):
                    self.broken(1, "connection closed without an answer", one.broke, rid)
                else:
                    self.verdict.excused[AT_KILL] += 1
            elif gone is None and deadline < end:
                self.broken(1, "no answer", deadline, rid)

    def _effect(self, one: Try) -> str:
        return str(self.head.classes[one.ask.kind]["effect"])

    def twice(self) -> None:
        ran: dict[str, list[Entry]] = defaultdict(list)
        for entry in self.entries:
            if entry.k == "ran" and entry.rid and entry.log:
                ran[entry.rid.partition(".")[0]].append(entry)
        for rid, one in self.tries.items():
            self._words(rid, one, [run for run in ran.get(rid.partition(".")[0], ()) if run.rid == rid])
            effect, window = self._effect(one), float(self.head.classes[one.ask.kind].get("window", 0.0))
            for earlier, later in pairwise(one.commands):
                reply = next(
                    (
                        reply
                        for reply in one.replies
                        if reply.member == earlier.member
                        and reply.conn == earlier.conn
                        and reply.t >= earlier.t
                    ),
                    None,
                )
                away = reply is not None and reply.verdict == "turned away"
                if effect == "unsafe" and not away:
                    self.broken(2, "sent again though it may have run", later.t, rid)
                if (
                    effect == "keyed"
                    and not away
                    and later.t > one.commands[0].t + window + self.head.crossing
                ):
                    self.broken(2, "sent again when its members had forgotten it", later.t, rid)
                closed = self.cuts.get((earlier.member, earlier.conn), math.inf)
                ended = min(closed, reply.t if reply is not None else math.inf)
                if later.t < ended - self.head.crossing:
                    self.broken(2, "two attempts out at once", later.t, rid)
        for runs in ran.values():
            if len(runs) > 1 and any(
                self._effect(self.tries[run.rid]) == "unsafe" for run in runs if run.rid in self.tries
            ):
                self.broken(2, f"ran {len(runs)} times", runs[1].t, runs[1].rid)

    def _words(self, rid: str, one: Try, runs: list[Entry]) -> None:
        """What the router says of a request that it refuses, against what members got of it."""
        word, at = (one.answers[0].verdict, one.answers[0].t) if one.answers else ("", 0.0)
        if word == "refused" and runs:
            self.broken(2, f"refused, but it ran ({self._effect(one)})", runs[0].t, rid)
        elif word == "refused" and len(one.commands) > sum(
            reply.verdict == "turned away" for reply in one.replies
        ):
            self.broken(2, "said that nothing ran of what a member took", at, rid)
        elif word == "repeat" and self._effect(one) == "unsafe":
            self.broken(2, "called safe to repeat, though it is unsafe", at, rid)

    def drains(self) -> None:
        told: dict[str, float] = {}
        for entry in self.entries:
            if entry.k == "told":
                if entry.value == "ready":
                    told.pop(entry.member, None)
                else:
                    told.setdefault(entry.member, entry.t)
            elif entry.k == "command" and entry.router >= 0 and entry.member in told:
                heard = max(
                    (end for begin, end in self.stalls[entry.router] if begin <= told[entry.member] <= end),
                    default=told[entry.member],
                )  # a router that stands still hears of it afterwards
                late = entry.t - heard - self.head.told_within - self.head.drain_grace
                if late > 0:
                    self.broken(
                        3, f"{entry.member} got a command {late:.3f} s after the grace", entry.t, entry.rid
                    )

    def cold(self) -> None:
        head = self.head
        arrivals: dict[str, list[float]] = defaultdict(list)
        starts = [entry for entry in self.entries if entry.k == "cold"]
        for entry in self.entries:
            if entry.k == "command" and entry.rid:
                arrivals[entry.member].append(entry.t)
        for start in starts:
            times = [t for t in arrivals[start.member] if start.t <= t <= start.t + head.cold_time]
            first = 0
            for last, end in enumerate(times):
                while times[first] < end - head.fall_time:
                    first += 1
                sent = (last - first + 1) * head.work
                begin = max(start.t, end - head.fall_time)
                middle = (begin + end) / 2 - start.t
                capacity = head.cold_share + (1 - head.cold_share) * min(1.0, middle / head.cold_time)
                allowed = head.fall_multiple * capacity * head.cores * head.fall_time
                self.verdict.counts["most of a cold member's budget, per cent"] = max(
                    self.verdict.counts["most of a cold member's budget, per cent"],
                    round(100 * sent / allowed),
                )
                if sent > allowed:
                    self.broken(4, f"{start.member} got {sent / allowed:.2f} of what it can bear", end, "")
                    break

    def kept(self, lines: Lines) -> None:
        """Each acknowledged write against the final log of its group."""
        for short in lines.short:
            self.broken(2, f"{short.member} began a line short of what it had received", short.t, "")
        finals = {
            self.head.groups[entry.member]: Place(entry.line, entry.offset)
            for entry in self.entries
            if entry.k == "end" and entry.member and not entry.keys
        }
        where: dict[str, str] = {}
        ends: dict[str, set[bool]] = defaultdict(set)  # of each effect: on a line that won, on one that lost
        for line, runs in lines.runs.items():
            for run in runs:
                group = where[run.rid] = self.head.groups[run.member]
                if group in finals:
                    won = lines.common(finals[group], Place(line, run.offset)) >= run.offset
                    ends[run.rid.partition(".")[0]].add(won)
        counts = self.verdict.counts
        counts["effects that ran on a line that lost"] = sum(won == {False} for won in ends.values())
        counts["effects that ran on a line that won and on one that lost"] = sum(
            len(won) > 1 for won in ends.values()
        )
        counts["effects acknowledged and kept"] = counts[
            "acknowledged effects lost by the store at a fail-over"
        ] = 0
        for rid, one in self.tries.items():
            answer = one.served
            if answer is None or self.head.classes[one.ask.kind]["need"] != "write":
                continue
            places = lines.places.get(rid, [])
            if not places:
                self.broken(2, "acknowledged, but it never ran", answer.t, rid)
            elif (group := where[rid]) in finals:
                final = finals[group]
                if any(lines.common(final, place) >= place.offset for place in places):
                    counts["effects acknowledged and kept"] += 1
                elif any(lines.common(Place(final.line, EVER), place) >= place.offset for place in places):
                    self.broken(2, "an acknowledged effect is gone though no line forked", answer.t, rid)
                else:
                    counts["acknowledged effects lost by the store at a fail-over"] += 1
        for entry in self.entries:  # the members' data against the judge's own reading of the log
            if entry.k == "end" and entry.keys:
                value, end = lines.held(entry.keys[0], Place(entry.line, entry.offset))
                if entry.values[0] not in (value, "" if end < EVER else value):
                    self.broken(2, f"{entry.member} does not hold what its log says", entry.t, entry.keys[0])
