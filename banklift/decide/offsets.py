"""From replication offsets to the module's positions (times), and who may call itself primary.

Theory of operation. The module thinks in times: a member with position p has applied every commit up to p. Members
speak in offsets: bytes of a replication stream with an id, the history. The bridge is a *sample*: the primary's offset,
answered to a question that we sent at t. Every commit before t lies at or below that offset, so whoever has applied
that offset has position t or later. Samples come with every answer of a primary and with probes of it.

Samples are kept as a frontier, rising in time and in offset; one that another dominates (asked later, lower or equal
offset) says nothing and is dropped, so answers that arrive out of order do no harm.

Histories. A promoted replica begins a new history and names the old one and the first offset not shared with it
(`master_replid2`, `second_repl_offset`). The track keeps this line of descent. A member of an older history counts up
to the fork and no further: what it has beyond was never part of the line. A member that still calls itself primary of
an older history is superseded: it is no primary, however late its answer comes. A member of an unknown history proves
nothing.

`ROLE` tells no history. Its offset is read in the history that the member's last `INFO replication` told, as long as
role and source are the same and the offset did not fall; else it proves nothing and the member must be asked again
(`unsure`). A member whose offset fell, or whose history left the line, holds other data than before (a restart, a full
copy): it is `reborn`, and nothing proven about it holds on.

Samples of an older history say something about the new one only up to the time at which its primary is known to have
still been a replica: after that both may have taken writes, neither knowing of the other.

A session's mark may name a history that no member has told of: its writer's router has met a new primary, and this one
has not. Times proven by the old line then prove nothing for that session (`meet`, `covers`).

A primary whose offset stands still idles or hangs. It hangs if a write of ours that was sent there before has had no
answer since: then its position is the time of that write, not the present.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

SPACING = 0.002  # seconds between samples that are worth keeping apart
SAMPLES = 8192  # of one group: 16 s of the densest; older ones prove what nobody asks any more
# seconds without a word of the primary after which an unrelated history may replace its own
OWNER_SILENT = 3.0
MARKS = 4  # histories that a session's mark speaks of, at most
HISTORIES = 64  # that are remembered though they are not of the line


@dataclass(frozen=True, slots=True)
class Standing:
    """What a member says of its place in the log."""

    primary: bool
    offset: int  # bytes of the replication stream that it has written (primary) or applied (replica)
    source: str = ""  # a replica's primary, "host:port"
    linked: bool = True  # a replica's link to its primary is up
    replid: str | None = None  # history; None where the answer doesn't tell (ROLE)
    replid2: str | None = None  # history that this one goes on from
    second_offset: int = -1  # first offset that is not shared with it
    load: float | None = None  # commands there, where the member tells


@dataclass(frozen=True, slots=True)
class Fact:
    """What one answer tells the module."""

    primary: bool | None = None
    position: float | None = None
    reborn: bool = False
    unsure: bool = False  # ask it for its history
    offset: int | None = None  # in the newest history; None: not in it


@dataclass(frozen=True, slots=True)
class Seen:
    """What a session has seen: commits up to `at`; in its history up to `offset`. `also`: the same of other histories
    that it met."""

    at: float
    replid: str | None = None
    offset: int = -1
    also: tuple[Seen, ...] = ()

    def parts(self) -> tuple[Seen, ...]:
        """One mark for each history."""
        return (Seen(self.at, self.replid, self.offset), *self.also)


def keep_last(histories: dict[str, None] | dict[str, float]) -> None:
    while len(histories) > HISTORIES:
        del histories[next(iter(histories))]


@dataclass(slots=True)
class _Place:
    primary: bool
    source: str
    replid: str
    offset: int
    answered: float
    followed: float  # it was asked as late as this when it said that it is a replica


class Track:
    """The history of one group, as one router has learnt it. Times are seconds on the router's clock."""

    def __init__(self) -> None:
        self.times: list[float] = []  # samples: when asked ...
        self.offsets: list[int] = []  # ... and the offset answered, in the newest history
        self.line: dict[str, int] = {}  # each history of the line: its offsets count up to here
        self.replid: str | None = None  # newest history
        self.owner: str | None = None  # the member that is its primary
        self.owner_heard = -math.inf
        self.moved = -math.inf  # when the primary's newest offset was first seen
        self.places: dict[str, _Place] = {}
        self.past: dict[str, None] = {}  # histories that were once of the line, and are no more
        self.strangers: dict[str, float] = {}  # histories that only marks have told of, since when
        self.heard = -math.inf  # the last time that anything was learnt

    def learn(
        self, member: str, standing: Standing, asked: float, now: float, waiting: float | None = None
    ) -> Fact:
        """Take in one answer to `INFO replication` or `ROLE` that was asked at `asked`.

        `waiting`: when the oldest write was sent that this member has not answered yet.
        """
        self.heard = now
        place, replid, reborn = self.places.get(member), standing.replid, False
        if replid is None:  # ROLE
            if (
                place is None
                or place.primary != standing.primary
                or place.source != standing.source
                or (standing.offset < place.offset and asked >= place.answered)
            ):
                return Fact(unsure=True)
            replid = place.replid
        elif place is not None:
            fell = standing.offset < place.offset and asked >= place.answered
            reborn = fell or (
                place.replid in self.line and replid not in self.line and standing.replid2 != place.replid
            )
        if standing.replid is not None or place is None or standing.offset >= place.offset:
            followed = place.followed if place is not None else -math.inf
            self.places[member] = _Place(
                standing.primary,
                standing.source,
                replid,
                standing.offset,
                now,
                followed if standing.primary else max(followed, asked),
            )
        if standing.primary:
            fact = self._primary(member, standing, replid, asked, now, waiting)
        else:
            if member == self.owner:
                self.owner = None
            fact = Fact(
                False, self.position(replid, standing.offset), offset=self.shared(replid, standing.offset)
            )
        return Fact(fact.primary, fact.position, reborn, fact.unsure, fact.offset)

    def _primary(
        self, member: str, standing: Standing, replid: str, asked: float, now: float, waiting: float | None
    ) -> Fact:
        if replid != self.replid:
            if replid in self.line and self.replid is not None:
                return Fact(
                    False,
                    self.position(replid, standing.offset),  # superseded
                    offset=self.shared(replid, standing.offset),
                )
            if not self._succeed(member, standing, replid, now):
                return Fact(False)  # a second line while the first one lives: nobody's primary
        elif self.owner not in (None, member) and now - self.owner_heard < OWNER_SILENT:
            pass  # same history told by two: a hand-over; the later answer counts
        last = self.offsets[-1] if self.offsets else -1
        if standing.offset > last:
            self.moved = asked
        self.owner, self.owner_heard = member, now
        self._sample(asked, standing.offset)
        if waiting is not None and waiting < asked and standing.offset <= last:
            return Fact(True, max(waiting, self.moved), offset=standing.offset)
        return Fact(True, asked, offset=standing.offset)

    def _succeed(self, member: str, standing: Standing, replid: str, now: float) -> bool:
        """A primary tells a history that is not the newest: go over to it, or not."""
        if self.replid is not None and standing.replid2 == self.replid:
            fork = standing.second_offset - 1
            for old in self.line:
                self.line[old] = min(self.line[old], fork)
            self.offsets = [min(offset, fork) for offset in self.offsets]
            # the old primary may have gone on without knowing: its word counts up to when the new one still followed
            place = self.places.get(member)
            valid = bisect_right(self.times, place.followed if place is not None else -math.inf)
            del self.times[valid:], self.offsets[valid:]
            self._thin()
        elif self.replid is not None and standing.replid2 in self.line:
            return False  # a branch of an older history beside the newest
        else:
            if self.owner not in (None, member) and now - self.owner_heard < OWNER_SILENT:
                return False
            self.past.update(dict.fromkeys(self.line))
            keep_last(self.past)
            self.line, self.times, self.offsets = {}, [], []
        self.line[replid] = 2**62
        self.replid = replid
        return True

    def _thin(self) -> None:
        """After offsets were cut to a fork, only the latest time of each offset says something."""
        pairs = dict(zip(self.offsets, self.times, strict=True))
        self.offsets, self.times = list(pairs), list(pairs.values())

    def _sample(self, asked: float, offset: int) -> None:
        times, offsets = self.times, self.offsets
        place = bisect_right(times, asked)
        if place < len(times) and offsets[place] <= offset:
            return  # asked later, and no further on: it says all of this and more
        while place and offsets[place - 1] >= offset:
            place -= 1
            del times[place], offsets[place]
        if place and times[place - 1] == asked:
            return  # the lower offset of the same moment says more
        if place == len(times) and place > 1 and asked - times[-2] < SPACING:
            times[-1], offsets[-1] = asked, offset
            return
        times.insert(place, asked)
        offsets.insert(place, offset)
        if len(times) > SAMPLES:
            del times[: SAMPLES // 4], offsets[: SAMPLES // 4]

    def shared(self, replid: str, offset: int) -> int | None:
        """How far a member at `offset` of `replid` has got on the line; None if it is not of the line."""
        limit = self.line.get(replid)
        return None if limit is None else min(offset, limit)

    def position(self, replid: str, offset: int) -> float | None:
        """The time up to which it has every commit, None if nothing is proven."""
        shared = self.shared(replid, offset)
        if shared is None:
            return None
        place = bisect_right(self.offsets, shared)
        return self.times[place - 1] if place else None

    def place(self, member: str) -> tuple[float | None, int | None]:
        """Position and offset on the line that the member's last answer proves by the samples known now."""
        place = self.places.get(member)
        if place is None:
            return None, None
        return self.position(place.replid, place.offset), self.shared(place.replid, place.offset)

    def seen(self, member: str, offset: int | None, at: float) -> Seen:
        """The mark of a write that this member acknowledged, or a read that it served, at `at`, being at `offset`
        after the write or before the read."""
        place = self.places.get(member)
        if offset is None or place is None or place.replid != self.replid:
            return Seen(at)
        return Seen(at, place.replid, offset)

    def join(self, one: Seen, other: Seen, now: float) -> Seen:
        """A mark that holds both. What the line has gone on from is held by what is of its newest history."""
        parts: dict[str | None, Seen] = {}
        for seen in (*one.parts(), *other.parts()):
            known = parts.get(seen.replid)
            if known is None or (seen.offset, seen.at) > (known.offset, known.at):
                parts[seen.replid] = seen
        if self.replid in parts:
            parts = {
                replid: seen
                for replid, seen in parts.items()
                if replid in (self.replid, None) or (replid not in self.line and replid not in self.past)
            }
        if len(parts) > MARKS:
            return Seen(now)
        first, *rest = parts.values()
        return Seen(first.at, first.replid, first.offset, tuple(rest))

    def floor(self, seen: Seen, now: float) -> float:
        """A time such that who stands there has, as far as known, what `seen` marks; `now` if it can't be told."""
        if seen.also:
            return max(self.floor(part, now) for part in seen.parts())
        shared = self.shared(seen.replid, seen.offset) if seen.replid is not None else None
        if shared is None:
            return min(seen.at, now)
        place = bisect_right(self.offsets, shared - 1)
        return min(seen.at, self.times[place] if place < len(self.times) else now)

    def meet(self, replid: str, now: float) -> bool:
        """A session shows a mark of this history. True if no member has told of it: then it may be newer than all that
        they told, and for `OWNER_SILENT` no time proves that it is held. After that it counts as lost."""
        if replid in self.line or replid in self.past:
            return False
        self.heard = now
        self.strangers.setdefault(replid, now)
        keep_last(self.strangers)
        return now - self.strangers[replid] < OWNER_SILENT

    def covers(self, fact: Fact, seen: Seen) -> bool:
        """Whether what `fact` proves holds what `seen` marks."""
        if seen.also:
            return all(self.covers(fact, part) for part in seen.parts())
        strange = (
            self.strangers.get(seen.replid or "", -math.inf) if seen.replid not in self.line else -math.inf
        )
        if fact.position is not None and fact.position > seen.at and self.heard - strange >= OWNER_SILENT:
            return True  # later than `at`: a sample of that very moment may be older
        if fact.offset is None or seen.replid is None:
            return False
        limit = self.line.get(seen.replid)
        return limit is not None and seen.offset <= limit and fact.offset >= seen.offset

    def holds(self, member: str, seen: Seen) -> bool:
        """Whether the member's last answer proves that it has the write that `seen` marks."""
        position, offset = self.place(member)
        return self.covers(Fact(False, position, offset=offset), seen)

    def forget(self, member: str) -> None:
        self.places.pop(member, None)
        if self.owner == member:
            self.owner = None
