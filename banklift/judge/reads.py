"""Rule 5 from the logs: every served read shows what its keys held at a place that its class permits.

Theory of operation. The member that served a read tells where in which line it stood (`reply`). What the keys held
there follows from the log (lines.py); a read that shows anything else was given somebody else's answer, or one of
nowhere. Then its class asks for a least place:

- fresh: the head of the line that was current when the request was sent;
- bounded: the head that was current when the attempt reached the member, less the bound;
- session: every write that its session had seen acknowledged, and every place that its session's and fresh reads were
  served from before: what a session has seen it never unsees (monotonic reads);
- any: none.

What of that place was lost at a fork before the answer is owed no more: the store lost it. What lies between is missed:
by the read's own keys, or, where it hit none of them, by its place; both break the rule, as the router answers for
places. A member that was primary excuses it until an answer told this router otherwise: from itself that it is none, or
from another that leads a line which goes on from its own.
"""

from __future__ import annotations

from collections import defaultdict

from banklift.judge.lines import Lines, Place
from banklift.judge.trace import Entry, Head
from banklift.judge.verdict import Break, Tally, Try, Verdict

OLD_PRIMARY = "read at an old primary of whose fall no answer had told"


class Reads:
    def __init__(
        self, head: Head, entries: list[Entry], tries: dict[str, Try], lines: Lines, verdict: Verdict
    ) -> None:
        self.head, self.tries, self.lines, self.verdict = head, tries, lines, verdict
        self.says: dict[int, list[Entry]] = defaultdict(list)  # of each router: what members told it
        self.wanted: dict[str, dict[str, float]] = {}  # of each session's read: how far on each line
        self.group: dict[str, str] = {}  # of each key
        self._sessions(entries)

    def _sessions(self, entries: list[Entry]) -> None:
        """What each session has seen before each of its reads."""
        seen: dict[tuple[int, str], dict[str, float]] = defaultdict(dict)  # by session and group
        for one in self.tries.values():
            for reply in one.replies:
                for key in one.ask.keys:
                    self.group[key] = self.head.groups[reply.member]
        for entry in entries:
            if entry.k == "says":
                self.says[entry.router].append(entry)
                continue
            known = self.tries.get(entry.rid)
            if known is None or entry.k not in ("ask", "answer"):
                continue
            one = known
            session, need = one.ask.session, self.head.classes[one.ask.kind]["need"]
            group = self.group.get(one.ask.keys[0], "")
            if entry.k == "ask" and need == "session":
                self.wanted[entry.rid] = dict(seen[session, group])
            elif entry.k == "answer" and one.served is entry:
                places = []
                if need == "write":
                    places = self.lines.places[entry.rid]
                elif need in ("session", "fresh") and (source := self.source(one)) is not None:
                    places = [Place(source.line, source.offset)]
                for place in places:
                    marks = seen[session, group]
                    marks[place.line] = max(marks.get(place.line, 0), place.offset)

    def source(self, one: Try) -> Entry | None:
        """The last reply whose place explains what a served read shows."""
        answer = one.served
        assert answer is not None
        for reply in reversed(one.replies):
            if reply.verdict == "answered" and reply.t <= answer.t + self.head.crossing:
                held = [self.may_show(key, reply) for key in one.ask.keys]
                if len(held) == len(answer.values) and all(
                    value in may for value, may in zip(answer.values, held, strict=True)
                ):
                    return reply
        return None

    def may_show(self, key: str, reply: Entry) -> set[str]:
        """What a key may show at a reply's place and time: its value, or nothing once that has ended."""
        value, end = self.lines.held(key, Place(reply.line, reply.offset))
        shown = set[str]()
        if end > (reply.t - self.head.crossing) * 1000:
            shown.add(value)
        if end <= (reply.t + self.head.crossing) * 1000:
            shown.add("")
        return shown

    def judge(self) -> None:
        for rid, one in self.tries.items():
            answer, kind = one.served, self.head.classes[one.ask.kind]
            if answer is None or kind["need"] == "write":
                continue
            tally = self.verdict.tallies[one.ask.kind]
            tally.reads += 1
            replies = [reply for reply in one.replies if reply.verdict == "answered"]
            if not replies:
                self._broken(f"{one.ask.kind} shows an answer that no member gave", answer, rid)
                continue
            reply = self.source(one)
            at = reply or replies[-1]
            held = {value for key in one.ask.keys for value in self.may_show(key, at)}
            tally.shown += held != {""}
            if reply is None:
                self._broken(f"{one.ask.kind} shows what its keys did not hold at {at.member}", answer, rid)
            else:
                self._age(one, reply, answer, tally)

    def _broken(self, reason: str, answer: Entry, rid: str) -> None:
        self.verdict.breaks.append(Break(5, reason, answer.t - self.head.start, rid))

    def _least(self, one: Try, reply: Entry, group: str) -> list[Place]:
        """The places that the read may not be behind, as far as the line current at its end still holds them."""
        lines, kind = self.lines, self.head.classes[one.ask.kind]
        places = []
        if kind["need"] == "session":
            places = [Place(line, offset) for line, offset in sorted(self.wanted[one.ask.rid].items())]
        elif kind["need"] in ("fresh", "bounded"):
            floor = one.ask.t
            if kind["need"] == "bounded":
                sent = max(
                    (
                        command.t
                        for command in one.commands
                        if command.member == reply.member
                        and command.conn == reply.conn
                        and command.t <= reply.t
                    ),
                    default=one.ask.t,
                )
                floor = sent - float(kind["bound"]) - self.head.crossing
            then = lines.current(group, floor)
            if then is not None:
                places = [lines.head(then.line, floor)]
        return [lines.kept(place, group, reply.t) for place in places]

    def _age(self, one: Try, reply: Entry, answer: Entry, tally: Tally) -> None:
        lines, group, here = self.lines, self.head.groups[reply.member], Place(reply.line, reply.offset)
        places = self._least(one, reply, group)
        tally.aged += any(
            lines.touched(key, place.line, 0, place.offset) for place in places for key in one.ask.keys
        )
        missed = other = 0
        for place in places:
            shared = lines.common(here, place)
            if shared < place.offset:
                missed += sum(lines.touched(key, place.line, shared, place.offset) for key in one.ask.keys)
                other += lines.written(place.line, shared, place.offset)
        if not missed and not other:
            return
        if self._believed(reply, one):
            self.verdict.excused[OLD_PRIMARY] += 1
        elif missed:
            self._broken(
                f"{one.ask.kind} at {reply.member} misses {missed} writes of its keys", answer, one.ask.rid
            )
        else:
            self._broken(
                f"{one.ask.kind} at {reply.member} stands {other} writes too far back", answer, one.ask.rid
            )

    def _believed(self, reply: Entry, one: Try) -> bool:
        """Whether the member led the line that it served from, and nobody had told the router that this is over."""
        roles = self.lines.roles[self.head.groups[reply.member]]
        if not any(role.member == reply.member and role.line == reply.line for role in roles):
            return False
        sent = max(
            (
                command.t
                for command in one.commands
                if command.member == reply.member and command.conn == reply.conn and command.t <= reply.t
            ),
            default=reply.t,
        )
        for told in self.says[one.ask.router]:
            if told.t >= sent - self.head.crossing:
                break
            newer = told.line != reply.line and any(
                line == reply.line for line, _ in self.lines.chain(told.line)
            )
            if (told.member == reply.member and told.value == "replica") or (
                told.value == "primary" and newer
            ):
                return False
        return True
