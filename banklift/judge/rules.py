"""The five rules, judged from a trace alone: what crossed the sockets at the clients' and at the members' end.

1. One final answer: every request has exactly one, before the class's deadline, unless its client left, or its router
   was killed or was stalled at the deadline. Nothing is sent to a member for it afterwards. A write's answer is one
   that a member gave to this write.
2. No effect twice: an unsafe effect is executed once over all tries. It is not sent again unless the attempt before was
   turned away, and at most one attempt is in flight. The router's own words are true: where it says that nothing ran,
   no member got anything that it did not turn away, and what it calls safe to repeat is safe to repeat. An acknowledged
   write is in its group's final log, once if it is unsafe, or was lost with the end of a replication history that a
   fork cut off, beyond what replication had delivered.
3. Drains kept: nothing from a router reaches a member later than the drain grace after the roster listed the drain.
4. No cold member pushed over: what all routers send to a cold member within any window stays under the stated multiple
   of its capacity.
5. No stale read: reads.py.

Breaches with a known cause are counted by that cause as excuses. Too many excuses fail a day (`EXCUSED_SHARES`).
"""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import pairwise

from banklift.judge.lines import UNLIMITED, LogPosition, ReplicationHistories
from banklift.judge.reads import OLD_PRIMARY, ReadChecker
from banklift.judge.trace import Entry, Head
from banklift.judge.verdict import ClassTally, ClientTry, Verdict, Violation

STALL_RECOVERY_SECONDS = 0.2  # time after a stall within which a router answers what had piled up
DELIVERY_MARGIN_SECONDS = 0.05  # time that an answer's way to the client may take
# time after a router's kill within which a broken connection is put down to the kill
KILL_WINDOW_SECONDS = 5.0
STALLED_AT_DEADLINE, OPEN_AT_KILL = "deadline while its router stood still", "open at a router's kill"
LEFT_DURING_STALL = "sent while the router had not yet seen, after it stood still, that its client was gone"
# the share of a day's tries that each cause may excuse
EXCUSED_SHARES = {STALLED_AT_DEADLINE: 0.1, LEFT_DURING_STALL: 0.02, OPEN_AT_KILL: 0.08, OLD_PRIMARY: 0.02}
ALLOWED_EXCUSES = 20  # excuses of one cause that pass on any day, however few its tries


def judge(head: Head, entries: list[Entry]) -> Verdict:
    """The verdict on a trace whose entries are in order of time.

    Errors: `KeyError` for a class or member that the head does not name; `ValueError` for a command in a member's log
    that the judge cannot replay.
    """
    verdict = Verdict()
    tries: dict[str, ClientTry] = {}
    for entry in entries:
        if entry.k == "ask":
            tries[entry.rid] = ClientTry(entry)
    closed_at: dict[tuple[str, int], float] = {}  # by member and connection
    for entry in entries:
        client_try = tries.get(entry.rid)
        if entry.k == "cut":
            closed_at[entry.member, entry.conn] = entry.t
        elif entry.k in ("command", "reply") and entry.rid and client_try is None:
            verdict.violations.append(
                Violation(2, "a member got what no client sent", entry.t - head.start, entry.rid)
            )
        elif client_try is None:
            continue
        elif entry.k == "answer":
            client_try.answers.append(entry)
        elif entry.k == "left":
            client_try.left_at = entry.t
        elif entry.k == "broke":
            client_try.broke_at = entry.t
        elif entry.k == "command":
            client_try.commands.append(entry)
        elif entry.k == "reply":
            client_try.replies.append(entry)
    checker = _RuleChecker(head, entries, tries, closed_at, verdict)
    histories = ReplicationHistories(head.groups, entries)
    checker.check_final_answers()
    checker.check_repeated_effects()
    checker.check_drains()
    checker.check_cold_members()
    checker.check_acknowledged_writes(histories)
    ReadChecker(head, entries, tries, histories, verdict).judge()
    for cause, share in EXCUSED_SHARES.items():
        if verdict.excused[cause] > max(ALLOWED_EXCUSES, share * len(tries)):
            rule = 5 if cause is OLD_PRIMARY else 1
            verdict.violations.append(
                Violation(rule, f"{verdict.excused[cause]} excuses are too many: {cause}", 0.0, "")
            )
    verdict.violations.sort(key=lambda violation: (violation.rule, violation.at))
    return verdict


class _RuleChecker:
    """Checks rules 1 to 4 and adds what it finds to the verdict."""

    def __init__(
        self,
        head: Head,
        entries: list[Entry],
        tries: dict[str, ClientTry],
        closed_at: dict[tuple[str, int], float],
        verdict: Verdict,
    ) -> None:
        self.head, self.entries, self.tries, self.closed_at = head, entries, tries, closed_at
        self.verdict = verdict
        self.kill_times: dict[int, list[float]] = defaultdict(list)  # by router
        # by router: when each stall began, and when the router had recovered from it
        self.stalls: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for entry in entries:
            if entry.k == "killed":
                self.kill_times[entry.router].append(entry.t)
            elif entry.k == "stalled":
                self.stalls[entry.router].append((entry.t, entry.t + entry.patience + STALL_RECOVERY_SECONDS))

    def add_violation(self, rule: int, reason: str, at: float, rid: str) -> None:
        """Record a violation at time `at` (seconds on the clock of the trace)."""
        self.verdict.violations.append(Violation(rule, reason, at - self.head.start, rid))

    def check_final_answers(self) -> None:
        """Rule 1, one final answer before the deadline; also counts the outcomes of each class."""
        trace_end = max((entry.t for entry in self.entries if entry.k == "end"), default=float("inf"))
        for rid, client_try in self.tries.items():
            request = client_try.request
            request_class = self.head.classes[request.kind]
            tally = self.verdict.tallies.setdefault(request.kind, ClassTally())
            tally.tries += 1
            tally.asked += rid.endswith(".0")
            deadline = request.t + float(request_class["deadline"])
            ended_at = min(
                [client_try.answers[0].t]
                if client_try.answers
                else [client_try.left_at or math.inf, client_try.broke_at or math.inf, trace_end]
            )
            if ended_at > deadline + DELIVERY_MARGIN_SECONDS and any(
                begin <= deadline <= end for begin, end in self.stalls[request.router]
            ):
                self.verdict.excused[STALLED_AT_DEADLINE] += 1
                deadline = math.inf
            gone_at = client_try.left_at if client_try.left_at is not None else client_try.broke_at
            if len(client_try.answers) > 1:
                self.add_violation(1, "more than one final answer", client_try.answers[1].t, rid)
            if client_try.answers:
                answer = client_try.answers[0]
                if answer.t > deadline + DELIVERY_MARGIN_SECONDS:
                    self.add_violation(
                        1, f"answered {answer.t - deadline:.3f} s after the deadline", answer.t, rid
                    )
                latency = answer.t - request.t
                tally.latencies.append(latency)
                tally.served += answer.verdict == "served"
                tally.refused += answer.verdict in ("refused", "repeat")
                tally.failed += answer.verdict == "failed"
                tally.errors += answer.verdict == "error"
                tally.in_time += answer.verdict == "served" and latency <= float(request_class["aim"])
                if (
                    request_class["need"] == "write"
                    and answer.verdict == "served"
                    and not any(
                        reply.value == answer.value and reply.verdict == "answered"
                        for reply in client_try.replies
                    )
                ):
                    self.add_violation(1, "an answer that no member gave to it", answer.t, rid)
                for command in client_try.commands:
                    if command.t > answer.t + self.head.crossing:
                        self.add_violation(1, "sent to a member after the final answer", command.t, rid)
            elif client_try.left_at is not None:
                tally.left += 1
                if client_try.left_at > deadline + DELIVERY_MARGIN_SECONDS:
                    self.add_violation(1, "no answer before the deadline", deadline, rid)
                for command in client_try.commands:
                    if command.t <= client_try.left_at + self.head.crossing:
                        continue
                    if any(
                        begin <= client_try.left_at <= end and command.t <= end
                        for begin, end in self.stalls[request.router]
                    ):
                        self.verdict.excused[LEFT_DURING_STALL] += 1
                    else:
                        self.add_violation(1, "sent to a member after its client had left", command.t, rid)
            elif client_try.broke_at is not None:
                if not any(
                    killed_at - self.head.crossing <= client_try.broke_at <= killed_at + KILL_WINDOW_SECONDS
                    for killed_at in self.kill_times[request.router]
                ):
                    self.add_violation(1, "connection closed without an answer", client_try.broke_at, rid)
                else:
                    self.verdict.excused[OPEN_AT_KILL] += 1
            elif gone_at is None and deadline < trace_end:
                self.add_violation(1, "no answer", deadline, rid)

    def _effect(self, client_try: ClientTry) -> str:
        """The effect of the class: safe, keyed or unsafe."""
        return str(self.head.classes[client_try.request.kind]["effect"])

    def check_repeated_effects(self) -> None:
        """Rule 2, no effect twice: attempts within each try, and executions over all tries of an effect."""
        # executed writes by effect, the part of the request id before the dot
        writes_of_effect: dict[str, list[Entry]] = defaultdict(list)
        for entry in self.entries:
            if entry.k == "ran" and entry.rid and entry.log:
                writes_of_effect[entry.rid.partition(".")[0]].append(entry)
        for rid, client_try in self.tries.items():
            self._check_refusal(
                rid,
                client_try,
                [write for write in writes_of_effect.get(rid.partition(".")[0], ()) if write.rid == rid],
            )
            effect = self._effect(client_try)
            # seconds for which the members recognise a repeat of a keyed request
            window = float(self.head.classes[client_try.request.kind].get("window", 0.0))
            for earlier, later in pairwise(client_try.commands):
                reply = next(
                    (
                        reply
                        for reply in client_try.replies
                        if reply.member == earlier.member
                        and reply.conn == earlier.conn
                        and reply.t >= earlier.t
                    ),
                    None,
                )
                turned_away = reply is not None and reply.verdict == "turned away"
                if effect == "unsafe" and not turned_away:
                    self.add_violation(2, "sent again though it may have run", later.t, rid)
                if (
                    effect == "keyed"
                    and not turned_away
                    and later.t > client_try.commands[0].t + window + self.head.crossing
                ):
                    self.add_violation(2, "sent again when its members had forgotten it", later.t, rid)
                closed = self.closed_at.get((earlier.member, earlier.conn), math.inf)
                attempt_ended = min(closed, reply.t if reply is not None else math.inf)
                if later.t < attempt_ended - self.head.crossing:
                    self.add_violation(2, "two attempts out at once", later.t, rid)
        for writes in writes_of_effect.values():
            if len(writes) > 1 and any(
                self._effect(self.tries[write.rid]) == "unsafe" for write in writes if write.rid in self.tries
            ):
                self.add_violation(2, f"ran {len(writes)} times", writes[1].t, writes[1].rid)

    def _check_refusal(self, rid: str, client_try: ClientTry, writes: list[Entry]) -> None:
        """Check what the router says of a request that it refuses against what members got and executed of it."""
        verdict, at = (
            (client_try.answers[0].verdict, client_try.answers[0].t) if client_try.answers else ("", 0.0)
        )
        if verdict == "refused" and writes:
            self.add_violation(2, f"refused, but it ran ({self._effect(client_try)})", writes[0].t, rid)
        elif verdict == "refused" and len(client_try.commands) > sum(
            reply.verdict == "turned away" for reply in client_try.replies
        ):
            self.add_violation(2, "said that nothing ran of what a member took", at, rid)
        elif verdict == "repeat" and self._effect(client_try) == "unsafe":
            self.add_violation(2, "called safe to repeat, though it is unsafe", at, rid)

    def check_drains(self) -> None:
        """Rule 3, drains kept: no command reaches a draining or deleted member after the grace."""
        told_at: dict[str, float] = {}  # by member: when the roster first told that it is not ready
        for entry in self.entries:
            if entry.k == "told":
                if entry.value == "ready":
                    told_at.pop(entry.member, None)
                else:
                    told_at.setdefault(entry.member, entry.t)
            elif entry.k == "command" and entry.router >= 0 and entry.member in told_at:
                # a stalled router reads the roster only once it goes on
                read_at = max(
                    (
                        end
                        for begin, end in self.stalls[entry.router]
                        if begin <= told_at[entry.member] <= end
                    ),
                    default=told_at[entry.member],
                )
                lateness = entry.t - read_at - self.head.told_within - self.head.drain_grace
                if lateness > 0:
                    self.add_violation(
                        3,
                        f"{entry.member} got a command {lateness:.3f} s after the grace",
                        entry.t,
                        entry.rid,
                    )

    def check_cold_members(self) -> None:
        """Rule 4, no cold member pushed over: work sent within any window against the capacity at its middle."""
        head = self.head
        arrivals: dict[str, list[float]] = defaultdict(list)  # by member
        starts = [entry for entry in self.entries if entry.k == "cold"]
        for entry in self.entries:
            if entry.k == "command" and entry.rid:
                arrivals[entry.member].append(entry.t)
        for start in starts:
            times = [t for t in arrivals[start.member] if start.t <= t <= start.t + head.cold_time]
            first = 0
            for last, window_end in enumerate(times):
                while times[first] < window_end - head.fall_time:
                    first += 1
                work_sent = (last - first + 1) * head.work
                window_begin = max(start.t, window_end - head.fall_time)
                middle = (window_begin + window_end) / 2 - start.t
                capacity = head.cold_share + (1 - head.cold_share) * min(1.0, middle / head.cold_time)
                allowed = head.fall_multiple * capacity * head.cores * head.fall_time
                self.verdict.counts["most of a cold member's budget, per cent"] = max(
                    self.verdict.counts["most of a cold member's budget, per cent"],
                    round(100 * work_sent / allowed),
                )
                if work_sent > allowed:
                    self.add_violation(
                        4, f"{start.member} got {work_sent / allowed:.2f} of what it can bear", window_end, ""
                    )
                    break

    def check_acknowledged_writes(self, histories: ReplicationHistories) -> None:
        """Rule 2, no acknowledged write lost: each one against the final log of its group."""
        for start in histories.truncated_starts:
            self.add_violation(2, f"{start.member} began a line short of what it had received", start.t, "")
        final_positions = {
            self.head.groups[entry.member]: LogPosition(entry.line, entry.offset)
            for entry in self.entries
            if entry.k == "end" and entry.member and not entry.keys
        }
        group_of_request: dict[str, str] = {}
        # by effect: whether its executions are in the final log (True), or on a history that lost a fork (False)
        kept_flags: dict[str, set[bool]] = defaultdict(set)
        for history, writes in histories.writes.items():
            for write in writes:
                group = group_of_request[write.rid] = self.head.groups[write.member]
                if group in final_positions:
                    is_kept = (
                        histories.common_offset(final_positions[group], LogPosition(history, write.offset))
                        >= write.offset
                    )
                    kept_flags[write.rid.partition(".")[0]].add(is_kept)
        counts = self.verdict.counts
        counts["effects that ran on a line that lost"] = sum(
            flags == {False} for flags in kept_flags.values()
        )
        counts["effects that ran on a line that won and on one that lost"] = sum(
            len(flags) > 1 for flags in kept_flags.values()
        )
        counts["effects acknowledged and kept"] = counts[
            "acknowledged effects lost by the store at a fail-over"
        ] = 0
        for rid, client_try in self.tries.items():
            answer = client_try.served_answer
            if answer is None or self.head.classes[client_try.request.kind]["need"] != "write":
                continue
            positions = histories.positions.get(rid, [])
            if not positions:
                self.add_violation(2, "acknowledged, but it never ran", answer.t, rid)
            elif (group := group_of_request[rid]) in final_positions:
                final = final_positions[group]
                if any(histories.common_offset(final, position) >= position.offset for position in positions):
                    counts["effects acknowledged and kept"] += 1
                elif any(
                    histories.common_offset(LogPosition(final.history, UNLIMITED), position)
                    >= position.offset
                    for position in positions
                ):
                    self.add_violation(
                        2, "an acknowledged effect is gone though no line forked", answer.t, rid
                    )
                else:
                    counts["acknowledged effects lost by the store at a fail-over"] += 1
        for entry in self.entries:  # compares the members' data with the judge's own replay of the log
            if entry.k == "end" and entry.keys:
                value, expiry = histories.key_state_at(entry.keys[0], LogPosition(entry.line, entry.offset))
                if entry.values[0] not in (value, "" if expiry < UNLIMITED else value):
                    self.add_violation(
                        2, f"{entry.member} does not hold what its log says", entry.t, entry.keys[0]
                    )
