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

A primary whose offset stands still idles or hangs. It hangs if a write of ours that was sent there before has had no
answer since: then its position is the time of that write, not the present.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

SPACING = 0.002  # seconds between samples that are worth keeping apart
SAMPLES = 8192  # of one group: 16 s of the densest; older ones prove what nobody asks any more
OWNER_SILENT = 3.0  # seconds without a word of the primary after which an unrelated history may replace its own


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
    """A write that a session has seen acknowledged: commits up to `at`; in its history up to `offset`."""

    at: float
    replid: str | None = None
    offset: int = -1


@dataclass(slots=True)
class _Place:
    primary: bool
    source: str
    replid: str
    offset: int
    answered: float


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

    def learn(self, member: str, standing: Standing, asked: float, now: float,
              waiting: float | None = None) -> Fact:
        """Take in one answer to `INFO replication` or `ROLE` that was asked at `asked`.

        `waiting`: when the oldest write was sent that this member has not answered yet.
        """
        place, replid, reborn = self.places.get(member), standing.replid, False
        if replid is None:  # ROLE
            if (place is None or place.primary != standing.primary or place.source != standing.source
                    or (standing.offset < place.offset and asked >= place.answered)):
                return Fact(unsure=True)
            replid = place.replid
        elif place is not None:
            fell = standing.offset < place.offset and asked >= place.answered
            reborn = fell or (place.replid in self.line and replid not in self.line
                              and standing.replid2 != place.replid)
        if standing.replid is not None or place is None or standing.offset >= place.offset:
            self.places[member] = _Place(standing.primary, standing.source, replid, standing.offset, now)
        if standing.primary:
            fact = self._primary(member, standing, replid, asked, now, waiting)
        else:
            if member == self.owner:
                self.owner = None
            fact = Fact(False, self.position(replid, standing.offset), offset=self.shared(replid, standing.offset))
        return Fact(fact.primary, fact.position, reborn, fact.unsure, fact.offset)

    def _primary(self, member: str, standing: Standing, replid: str, asked: float, now: float,
                 waiting: float | None) -> Fact:
        if replid != self.replid:
            if replid in self.line and self.replid is not None:
                return Fact(False, self.position(replid, standing.offset),  # superseded
                            offset=self.shared(replid, standing.offset))
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
            self._thin()
        elif self.replid is not None and standing.replid2 in self.line:
            return False  # a branch of an older history beside the newest
        else:
            if self.owner not in (None, member) and now - self.owner_heard < OWNER_SILENT:
                return False
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
            del times[:SAMPLES // 4], offsets[:SAMPLES // 4]

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

    def floor(self, seen: Seen, now: float) -> float:
        """A time such that who stands there has, as far as known, what `seen` marks; `now` if it can't be told."""
        shared = self.shared(seen.replid, seen.offset) if seen.replid is not None else None
        if shared is None:
            return min(seen.at, now)
        place = bisect_right(self.offsets, shared - 1)
        return min(seen.at, self.times[place] if place < len(self.times) else now)

    def covers(self, fact: Fact, seen: Seen) -> bool:
        """Whether what `fact` proves holds the write that `seen` marks."""
        if fact.position is not None and fact.position > seen.at:  # a sample of that very moment may be older
            return True
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
