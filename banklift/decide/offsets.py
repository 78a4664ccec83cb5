"""Replication offsets turned into the balancer's positions (times), and which member of a group is its primary.

The balancer counts in times: a member with position p has applied every commit up to p. Members report offsets: bytes
of a replication stream that is identified by a replication id, here called a history. *Samples* connect the two: a
sample is the primary's offset with the time at which the router asked for it. Every commit before that time lies at or
below that offset, so a member that has applied the offset has that position or a later one. Every answer of a primary
gives a sample, and so does every probe of it.

Samples are kept as a frontier that rises in time and in offset. A sample that another one dominates (asked later, with
a lower or equal offset) says nothing and is dropped, so answers may arrive out of order.

Histories. A promoted replica begins a new history, and names the old one and the first offset that the two do not share
(`master_replid2`, `second_repl_offset`). `ReplicationHistory` keeps the lineage of histories:

- A member of an older history counts up to the fork and no further; what it has beyond was never part of the lineage.
- A member that still calls itself primary of an older history is superseded. It is no primary, however late it answers.
- A member of an unknown history proves nothing.

`ROLE` does not tell the history. Its offset is read in the history of the member's last `INFO replication`, as long as
role and source are the same and the offset did not fall. Otherwise it proves nothing, and the member has to be asked
again (`ProvenFacts.history_unknown`). A member whose offset fell, or whose history left the lineage, has
other data than before, after a restart or a full copy: `ProvenFacts.data_replaced` is set, and nothing proven of it
is valid any more.

A sample of an older history is valid for the new one only up to the last time at which the new primary is known to have
been a replica. After that both may have taken writes, neither knowing of the other.

A session's mark may name a history that no member has reported yet: the router of its writer has met a new primary, and
this router has not. Times that the old lineage proves are then not valid for that session (`note_history`, `covers`).

A primary whose offset does not advance is idle or hangs. It hangs if a write that this router sent to it earlier is
still unanswered. Its position is then the time of that write, not the present.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

MIN_SAMPLE_SPACING = 0.002  # seconds between samples that are kept apart
MAX_SAMPLES = 8192  # of one group: 16 s at the closest spacing; nobody asks for what older ones prove
PRIMARY_SILENCE_TIMEOUT = (
    3.0  # seconds without an answer of the primary after which an unrelated history may follow
)
MAX_MARK_HISTORIES = 4  # histories that one session's mark may cover
MAX_KNOWN_HISTORIES = 64  # histories outside the lineage that are remembered, of each kind


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """A member's replication role and offset, as it reports them."""

    primary: bool
    offset: int  # bytes of the replication stream that it has written (primary) or applied (replica)
    source: str = ""  # a replica's primary, "host:port"
    linked: bool = True  # a replica's link to its primary is up
    replid: str | None = None  # id of its history; None where the answer does not tell (ROLE)
    replid2: str | None = None  # id of the history from which its own one branched off
    second_offset: int = -1  # first offset that the two histories do not share
    load: float | None = None  # commands there, where the member tells


@dataclass(frozen=True, slots=True)
class ProvenFacts:
    """What one answer of a member proves."""

    primary: bool | None = None  # None: unknown
    position: float | None = None  # None: nothing is proven
    data_replaced: bool = False  # it has other data than before, after a restart or a full copy
    history_unknown: bool = False  # its history is unknown and has to be asked for
    offset: int | None = None  # in the newest history; None: not in it


@dataclass(frozen=True, slots=True)
class SessionMark:
    """Mark of what a session has seen: all commits up to `at`, and a history up to an offset."""

    at: float
    replid: str | None = None  # None: no history is known
    offset: int = -1
    others: tuple[SessionMark, ...] = ()  # marks of the other histories that the session has met

    def parts(self) -> tuple[SessionMark, ...]:
        """Return one mark for each history."""
        return (SessionMark(self.at, self.replid, self.offset), *self.others)


def drop_oldest_histories(histories: dict[str, None] | dict[str, float]) -> None:
    """Limit a record of histories to the `MAX_KNOWN_HISTORIES` that were added last."""
    while len(histories) > MAX_KNOWN_HISTORIES:
        del histories[next(iter(histories))]


@dataclass(slots=True)
class _LastAnswer:
    """What a member said last of its replication role and offset."""

    primary: bool
    source: str
    replid: str
    offset: int
    answered_at: float
    replica_at: float  # latest time of a question to which it answered that it is a replica


class ReplicationHistory:
    """The replication history of one group, as one router knows it. Times are seconds on the router's clock."""

    def __init__(self) -> None:
        # Samples in the newest history: when the primary was asked, and the offset that it answered.
        self.sample_times: list[float] = []
        self.sample_offsets: list[int] = []
        self.lineage: dict[str, int] = {}  # last offset that counts in each history of the lineage
        self.replid: str | None = None  # the newest history
        self.primary_member: str | None = None  # name of the member that is its primary
        self.primary_heard_at = -math.inf
        self.offset_advanced_at = -math.inf  # when the primary was asked for the newest offset first
        self.last_answers: dict[str, _LastAnswer] = {}  # by member
        self.former_histories: dict[str, None] = {}  # histories that an unrelated one has replaced
        # Histories that marks name and no member has reported, with the time of the first such mark.
        self.unknown_histories: dict[str, float] = {}
        self.last_recorded_at = -math.inf

    def record_answer(
        self,
        member: str,
        status: ReplicationStatus,
        asked_at: float,
        now: float,
        unanswered_since: float | None = None,
    ) -> ProvenFacts:
        """Take in one answer to `INFO replication` or `ROLE`, and return what it proves.

        `asked_at` is when the member was asked, `now` when its answer came, and `unanswered_since` when the oldest
        write was sent that this member has not answered yet.
        """
        self.last_recorded_at = now
        last_answer = self.last_answers.get(member)
        replid = status.replid
        data_replaced = False
        if replid is None:  # an answer to ROLE
            if (
                last_answer is None
                or last_answer.primary != status.primary
                or last_answer.source != status.source
                or (status.offset < last_answer.offset and asked_at >= last_answer.answered_at)
            ):
                return ProvenFacts(history_unknown=True)
            replid = last_answer.replid
        elif last_answer is not None:
            offset_fell = status.offset < last_answer.offset and asked_at >= last_answer.answered_at
            data_replaced = offset_fell or (
                last_answer.replid in self.lineage
                and replid not in self.lineage
                and status.replid2 != last_answer.replid
            )
        if status.replid is not None or last_answer is None or status.offset >= last_answer.offset:
            replica_at = last_answer.replica_at if last_answer is not None else -math.inf
            self.last_answers[member] = _LastAnswer(
                status.primary,
                status.source,
                replid,
                status.offset,
                now,
                replica_at if status.primary else max(replica_at, asked_at),
            )
        if status.primary:
            fact = self._record_primary(member, status, replid, asked_at, now, unanswered_since)
        else:
            if member == self.primary_member:
                self.primary_member = None
            fact = ProvenFacts(
                False, self.position(replid, status.offset), offset=self.lineage_offset(replid, status.offset)
            )
        return ProvenFacts(fact.primary, fact.position, data_replaced, fact.history_unknown, fact.offset)

    def _record_primary(
        self,
        member: str,
        status: ReplicationStatus,
        replid: str,
        asked_at: float,
        now: float,
        unanswered_since: float | None,
    ) -> ProvenFacts:
        """Take in the answer of a member that says it is a primary, and return what it proves."""
        if replid != self.replid:
            if replid in self.lineage and self.replid is not None:
                return ProvenFacts(
                    False,
                    self.position(replid, status.offset),  # its history is superseded
                    offset=self.lineage_offset(replid, status.offset),
                )
            if not self._adopt_history(member, status, replid, now):
                return ProvenFacts(False)  # its lineage is another one, and the known primary is alive
        elif (
            self.primary_member not in (None, member)
            and now - self.primary_heard_at < PRIMARY_SILENCE_TIMEOUT
        ):
            pass  # two members claim the same history: it was handed over, and the later answer counts
        newest_offset = self.sample_offsets[-1] if self.sample_offsets else -1
        if status.offset > newest_offset:
            self.offset_advanced_at = asked_at
        self.primary_member = member
        self.primary_heard_at = now
        self._add_sample(asked_at, status.offset)
        if unanswered_since is not None and unanswered_since < asked_at and status.offset <= newest_offset:
            return ProvenFacts(True, max(unanswered_since, self.offset_advanced_at), offset=status.offset)
        return ProvenFacts(True, asked_at, offset=status.offset)

    def _adopt_history(self, member: str, status: ReplicationStatus, replid: str, now: float) -> bool:
        """Make the history that a primary reports the newest one, if that is right; return whether it was done.

        It is right if the history branched off from the newest. It also is if the history is unrelated to the lineage
        and the known primary has not answered for `PRIMARY_SILENCE_TIMEOUT`; the lineage then begins again.
        """
        if self.replid is not None and status.replid2 == self.replid:
            fork = status.second_offset - 1
            for older in self.lineage:
                self.lineage[older] = min(self.lineage[older], fork)
            self.sample_offsets = [min(offset, fork) for offset in self.sample_offsets]
            # The old primary may have taken writes without knowing of the new one, so its samples are valid only up to
            # the time at which the new one was still a replica.
            last_answer = self.last_answers.get(member)
            valid_count = bisect_right(
                self.sample_times, last_answer.replica_at if last_answer is not None else -math.inf
            )
            del self.sample_times[valid_count:], self.sample_offsets[valid_count:]
            self._drop_repeated_offsets()
        elif self.replid is not None and status.replid2 in self.lineage:
            return False  # it branched off from an older history, beside the newest
        else:
            if (
                self.primary_member not in (None, member)
                and now - self.primary_heard_at < PRIMARY_SILENCE_TIMEOUT
            ):
                return False
            self.former_histories.update(dict.fromkeys(self.lineage))
            drop_oldest_histories(self.former_histories)
            self.lineage = {}
            self.sample_times = []
            self.sample_offsets = []
        self.lineage[replid] = 2**62
        self.replid = replid
        return True

    def _drop_repeated_offsets(self) -> None:
        """Keep only the latest sample of each offset, as the others say nothing after offsets were cut to a fork."""
        latest_times = dict(zip(self.sample_offsets, self.sample_times, strict=True))
        self.sample_offsets = list(latest_times)
        self.sample_times = list(latest_times.values())

    def _add_sample(self, asked_at: float, offset: int) -> None:
        """Add a sample to the frontier, and drop the samples that it dominates."""
        times = self.sample_times
        offsets = self.sample_offsets
        index = bisect_right(times, asked_at)
        if index < len(times) and offsets[index] <= offset:
            return  # the next sample was asked later and is no further on, so it says more
        while index and offsets[index - 1] >= offset:
            index -= 1
            del times[index], offsets[index]
        if index and times[index - 1] == asked_at:
            return  # of two samples of the same time the one with the lower offset says more
        if index == len(times) and index > 1 and asked_at - times[-2] < MIN_SAMPLE_SPACING:
            times[-1] = asked_at
            offsets[-1] = offset
            return
        times.insert(index, asked_at)
        offsets.insert(index, offset)
        if len(times) > MAX_SAMPLES:
            del times[: MAX_SAMPLES // 4], offsets[: MAX_SAMPLES // 4]

    def lineage_offset(self, replid: str, offset: int) -> int | None:
        """Offset in the lineage of a member at `offset` of `replid`; None if that history is not part of it."""
        limit = self.lineage.get(replid)
        return None if limit is None else min(offset, limit)

    def position(self, replid: str, offset: int) -> float | None:
        """Time up to which a member at `offset` of `replid` has every commit; None if nothing is proven."""
        lineage_offset = self.lineage_offset(replid, offset)
        if lineage_offset is None:
            return None
        index = bisect_right(self.sample_offsets, lineage_offset)
        return self.sample_times[index - 1] if index else None

    def proven_position(self, member: str) -> tuple[float | None, int | None]:
        """Position and lineage offset that a member's last answer proves by the samples known now."""
        last_answer = self.last_answers.get(member)
        if last_answer is None:
            return None, None
        return (
            self.position(last_answer.replid, last_answer.offset),
            self.lineage_offset(last_answer.replid, last_answer.offset),
        )

    def make_mark(self, member: str, offset: int | None, at: float) -> SessionMark:
        """Return the mark for a write that a member acknowledged at `at`, or for a read that it served then.

        `offset` is the member's offset after the write or before the read.
        """
        last_answer = self.last_answers.get(member)
        if offset is None or last_answer is None or last_answer.replid != self.replid:
            return SessionMark(at)
        return SessionMark(at, last_answer.replid, offset)

    def merge_marks(self, one: SessionMark, other: SessionMark, now: float) -> SessionMark:
        """Return a mark that covers both.

        A mark in the newest history covers what marks in older histories of the lineage cover, so these are left out.
        A mark of too many histories becomes one of the present, which covers them all.
        """
        parts: dict[str | None, SessionMark] = {}
        for mark in (*one.parts(), *other.parts()):
            known = parts.get(mark.replid)
            if known is None or (mark.offset, mark.at) > (known.offset, known.at):
                parts[mark.replid] = mark
        if self.replid in parts:
            parts = {
                replid: mark
                for replid, mark in parts.items()
                if replid in (self.replid, None)
                or (replid not in self.lineage and replid not in self.former_histories)
            }
        if len(parts) > MAX_MARK_HISTORIES:
            return SessionMark(now)
        first, *rest = parts.values()
        return SessionMark(first.at, first.replid, first.offset, tuple(rest))

    def required_position(self, mark: SessionMark, now: float) -> float:
        """Position at which a member has all that a mark covers, as far as known; `now` if that is unknown."""
        if mark.others:
            return max(self.required_position(part, now) for part in mark.parts())
        lineage_offset = self.lineage_offset(mark.replid, mark.offset) if mark.replid is not None else None
        if lineage_offset is None:
            return min(mark.at, now)
        index = bisect_right(self.sample_offsets, lineage_offset - 1)
        return min(mark.at, self.sample_times[index] if index < len(self.sample_times) else now)

    def note_history(self, replid: str, now: float) -> bool:
        """Record that a session has a mark of this history; return whether the history may be newer than all known.

        That is so if no member has reported it. For `PRIMARY_SILENCE_TIMEOUT` no time then proves that a member has
        what the mark covers. After that the history counts as lost.
        """
        if replid in self.lineage or replid in self.former_histories:
            return False
        self.last_recorded_at = now
        self.unknown_histories.setdefault(replid, now)
        drop_oldest_histories(self.unknown_histories)
        return now - self.unknown_histories[replid] < PRIMARY_SILENCE_TIMEOUT

    def covers(self, fact: ProvenFacts, mark: SessionMark) -> bool:
        """Whether a member has all that a mark covers, by what `fact` proves of the member."""
        if mark.others:
            return all(self.covers(fact, part) for part in mark.parts())
        unknown_since = (
            self.unknown_histories.get(mark.replid or "", -math.inf)
            if mark.replid not in self.lineage
            else -math.inf
        )
        if (
            fact.position is not None
            and fact.position > mark.at  # not equal: a sample of that very time may be older
            and self.last_recorded_at - unknown_since >= PRIMARY_SILENCE_TIMEOUT
        ):
            return True
        if fact.offset is None or mark.replid is None:
            return False
        limit = self.lineage.get(mark.replid)
        return limit is not None and mark.offset <= limit and fact.offset >= mark.offset

    def member_covers(self, member: str, mark: SessionMark) -> bool:
        """Whether a member's last answer proves that it has all that a mark covers."""
        position, offset = self.proven_position(member)
        return self.covers(ProvenFacts(False, position, offset=offset), mark)

    def forget(self, member: str) -> None:
        """Forget what a member said last, and that it is the primary."""
        self.last_answers.pop(member, None)
        if self.primary_member == member:
            self.primary_member = None
