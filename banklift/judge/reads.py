"""Rule 5, no stale read: every served read shows what its keys held at a log position that its class permits.

The member that served a read reports its replication history and offset at that moment (`reply`). What the keys held at
that position follows from the log (lines.py); a read that shows anything else was given another request's answer, or
one that never existed. Then the class of the read demands a least position:

- fresh: the end of the history that was current when the request was sent;
- bounded: the end that was current when the attempt reached the member, less the staleness bound;
- session: every write that the session had seen acknowledged, and every position at which its session reads and fresh
  reads were served before (monotonic reads);
- any: none.

The part of that position which a fork cut off before the reply is no longer demanded, as the store lost it. Writes
between the position served and the position demanded are missed: either writes of the read's own keys, or, where none
of those was written there, other writes of the group. Both break the rule, as the router answers for positions. A
member that was primary of the history it served from excuses the read, until a reply told this router otherwise: its
own that it is a replica, or that of another member which is primary of a history that forked from this one.
"""

from __future__ import annotations

from collections import defaultdict

from banklift.judge.lines import LogPosition, ReplicationHistories
from banklift.judge.trace import Entry, Head
from banklift.judge.verdict import ClassTally, ClientTry, Verdict, Violation

OLD_PRIMARY = "read at an old primary of whose fall no answer had told"


class ReadChecker:
    """Judges all served reads of a trace.

    `entries`: all entries, in order of time. `tries`: by request id. Violations, tallies and excuses go to `verdict`.
    """

    def __init__(
        self,
        head: Head,
        entries: list[Entry],
        tries: dict[str, ClientTry],
        histories: ReplicationHistories,
        verdict: Verdict,
    ) -> None:
        self.head, self.tries, self.histories, self.verdict = head, tries, histories, verdict
        # by router: roles that members reported to it
        self.role_reports: dict[int, list[Entry]] = defaultdict(list)
        # by request id of a read with the need "session": least offset, by replication history
        self.session_offsets: dict[str, dict[str, float]] = {}
        self.group_of_key: dict[str, str] = {}
        self._collect_sessions(entries)

    def _collect_sessions(self, entries: list[Entry]) -> None:
        """Collect the least positions of each session read: what the session had written and read before."""
        # by session and group: newest offset seen, by replication history
        seen: dict[tuple[int, str], dict[str, float]] = defaultdict(dict)
        for client_try in self.tries.values():
            for reply in client_try.replies:
                for key in client_try.request.keys:
                    self.group_of_key[key] = self.head.groups[reply.member]
        for entry in entries:
            if entry.k == "says":
                self.role_reports[entry.router].append(entry)
                continue
            found = self.tries.get(entry.rid)
            if found is None or entry.k not in ("ask", "answer"):
                continue
            client_try = found
            session, need = client_try.request.session, self.head.classes[client_try.request.kind]["need"]
            group = self.group_of_key.get(client_try.request.keys[0], "")
            if entry.k == "ask" and need == "session":
                self.session_offsets[entry.rid] = dict(seen[session, group])
            elif entry.k == "answer" and client_try.served_answer is entry:
                positions = []
                if need == "write":
                    positions = self.histories.positions[entry.rid]
                elif need in ("session", "fresh") and (source := self.source_reply(client_try)) is not None:
                    positions = [LogPosition(source.line, source.offset)]
                for position in positions:
                    offsets = seen[session, group]
                    offsets[position.history] = max(offsets.get(position.history, 0), position.offset)

    def source_reply(self, client_try: ClientTry) -> Entry | None:
        """The last reply of a member that explains what a served read shows; None if there is none."""
        answer = client_try.served_answer
        assert answer is not None
        for reply in reversed(client_try.replies):
            if reply.verdict == "answered" and reply.t <= answer.t + self.head.crossing:
                permitted = [self.permitted_values(key, reply) for key in client_try.request.keys]
                if len(permitted) == len(answer.values) and all(
                    value in allowed for value, allowed in zip(answer.values, permitted, strict=True)
                ):
                    return reply
        return None

    def permitted_values(self, key: str, reply: Entry) -> set[str]:
        """What a key may show at a reply's position and time: its value, or "" once that has expired."""
        value, expiry = self.histories.key_state_at(key, LogPosition(reply.line, reply.offset))
        values = set[str]()
        if expiry > (reply.t - self.head.crossing) * 1000:
            values.add(value)
        if expiry <= (reply.t + self.head.crossing) * 1000:
            values.add("")
        return values

    def judge(self) -> None:
        """Judge every served read."""
        for rid, client_try in self.tries.items():
            answer = client_try.served_answer
            class_name = client_try.request.kind
            request_class = self.head.classes[class_name]
            if answer is None or request_class["need"] == "write":
                continue
            tally = self.verdict.tallies[class_name]
            tally.reads += 1
            replies = [reply for reply in client_try.replies if reply.verdict == "answered"]
            if not replies:
                self._add_violation(f"{class_name} shows an answer that no member gave", answer, rid)
                continue
            source = self.source_reply(client_try)
            likely_source = source or replies[-1]
            values = {
                value
                for key in client_try.request.keys
                for value in self.permitted_values(key, likely_source)
            }
            tally.reads_with_value += values != {""}
            if source is None:
                self._add_violation(
                    f"{class_name} shows what its keys did not hold at {likely_source.member}", answer, rid
                )
            else:
                self._check_staleness(client_try, source, answer, tally)

    def _add_violation(self, reason: str, answer: Entry, rid: str) -> None:
        self.verdict.violations.append(Violation(5, reason, answer.t - self.head.start, rid))

    def _least_positions(self, client_try: ClientTry, reply: Entry, group: str) -> list[LogPosition]:
        """The positions that the read may not be behind, as far as the history current at its reply holds them."""
        histories, request = self.histories, client_try.request
        request_class = self.head.classes[request.kind]
        positions = []
        if request_class["need"] == "session":
            positions = [
                LogPosition(history, offset)
                for history, offset in sorted(self.session_offsets[request.rid].items())
            ]
        elif request_class["need"] in ("fresh", "bounded"):
            least_time = request.t
            if request_class["need"] == "bounded":
                attempt_sent = max(
                    (
                        command.t
                        for command in client_try.commands
                        if command.member == reply.member
                        and command.conn == reply.conn
                        and command.t <= reply.t
                    ),
                    default=request.t,
                )
                least_time = attempt_sent - float(request_class["bound"]) - self.head.crossing
            primary = histories.current_primary(group, least_time)
            if primary is not None:
                positions = [histories.end_position(primary.line, least_time)]
        return [histories.surviving_position(position, group, reply.t) for position in positions]

    def _check_staleness(self, client_try: ClientTry, reply: Entry, answer: Entry, tally: ClassTally) -> None:
        """Record a violation or an excuse if the reply's position is behind a least position of the read."""
        histories, group = self.histories, self.head.groups[reply.member]
        served_position = LogPosition(reply.line, reply.offset)
        request = client_try.request
        positions = self._least_positions(client_try, reply, group)
        tally.reads_of_written_keys += any(
            histories.count_key_commands(key, position.history, 0, position.offset)
            for position in positions
            for key in request.keys
        )
        missed_of_keys = missed_writes = 0
        for position in positions:
            shared = histories.common_offset(served_position, position)
            if shared < position.offset:
                missed_of_keys += sum(
                    histories.count_key_commands(key, position.history, shared, position.offset)
                    for key in request.keys
                )
                missed_writes += histories.count_writes(position.history, shared, position.offset)
        if not missed_of_keys and not missed_writes:
            return
        if self._seemed_primary(reply, client_try):
            self.verdict.excused[OLD_PRIMARY] += 1
        elif missed_of_keys:
            self._add_violation(
                f"{request.kind} at {reply.member} misses {missed_of_keys} writes of its keys",
                answer,
                request.rid,
            )
        else:
            self._add_violation(
                f"{request.kind} at {reply.member} stands {missed_writes} writes too far back",
                answer,
                request.rid,
            )

    def _seemed_primary(self, reply: Entry, client_try: ClientTry) -> bool:
        """Whether the member was primary of the history it served from, and no reply had told the router of its end."""
        roles = self.histories.roles[self.head.groups[reply.member]]
        if not any(role.member == reply.member and role.line == reply.line for role in roles):
            return False
        attempt_sent = max(
            (
                command.t
                for command in client_try.commands
                if command.member == reply.member and command.conn == reply.conn and command.t <= reply.t
            ),
            default=reply.t,
        )
        for report in self.role_reports[client_try.request.router]:
            if report.t >= attempt_sent - self.head.crossing:
                break
            is_later_history = report.line != reply.line and any(
                history == reply.line for history, _ in self.histories.ancestry(report.line)
            )
            if (report.member == reply.member and report.value == "replica") or (
                report.value == "primary" and is_later_history
            ):
                return False
        return True
