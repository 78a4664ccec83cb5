"""The ids that clients give to their requests: which of them are open, and which must not run again.

A client gives each request a new id. One that comes again nevertheless names a request that may have run already, above
all where its client has left: the member may still run what the router has cancelled. So an id is remembered until it
is known that nothing ran, and an id whose request ran, or may have, is spent for `SPENT_SECONDS`. Only while the client
that was told of its success is still there, it may be used for another request.

| state | event | next state |
| --- | --- | --- |
| unknown | `begin` | open |
| open | `end`: nothing ran, or its class is safe to repeat | unknown |
| open | `end`: it may have run | spent |
| open | `end`: it was served | served |
| open | `leave`: its client has gone, and attempts may still be out | left |
| left | `end`, as above | unknown or spent |
| served | its client has gone, and may not have read the answer | spent |
| served | `begin` | open |
| served, spent | `SPENT_SECONDS` have passed, or there is no more room and it is the oldest | unknown |

Served and spent ids count in the budget of memory. There is room for `MAX_ENDED_IDS` of them, and for fewer where that
would be more than `ENDED_IDS_SHARE` of the budget, but for `MIN_ENDED_IDS` in any case. The oldest are forgotten first;
those that are spent are counted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from banklift.interface import Effect
from banklift.proxy.memory import Holding, MemoryBudget

SPENT_SECONDS = 60.0  # clients come again within seconds, and no member begins a request so late
MIN_ENDED_IDS, MAX_ENDED_IDS = 1024, 16 * 1024
ENDED_IDS_SHARE = 1 / 32  # of the budget of memory
ENDED_ID_BYTES = 256  # what the objects around an ended id take


class IdState(Enum):
    """What is known of an id."""

    UNKNOWN = auto()  # it may be used; also one that was served to a client who is still there
    OPEN = auto()  # its client waits for the answer
    LEFT_SAFE = auto()  # its client has gone, and an attempt may be out; a repeat would do no harm
    LEFT = auto()  # the same, and a repeat may do harm
    SPENT = auto()  # its request ran, or may have


class Ending(Enum):
    """How a request has ended."""

    NOTHING_RAN = auto()  # or its client was told that a repeat does no harm
    SERVED = auto()  # its client was sent the answer
    MAY_HAVE_RUN = auto()


@dataclass(slots=True, eq=False)
class EndedRequest:
    """A request that ran, or may have, and must not run again."""

    forget_at: float
    served_client: int | None  # the client that was sent the answer; None: nobody knows of a success


class RequestIds:
    """The ids of one router's requests.

    `memory` is the ledger that ended requests count in; `is_connected` says whether a client is still there.
    """

    def __init__(self, memory: MemoryBudget, is_connected: Callable[[int], bool]) -> None:
        self._memory = memory
        self._is_connected = is_connected
        self._open: dict[bytes, Effect] = {}
        self._left: dict[bytes, Effect] = {}
        self._ended: OrderedDict[bytes, EndedRequest] = OrderedDict()  # the oldest first
        self._forgotten_early = 0  # spent ids that were forgotten for want of room since the last report

    @property
    def unsettled_count(self) -> int:
        """The number of ids whose requests have not ended."""
        return len(self._open) + len(self._left)

    @property
    def next_expiry(self) -> float | None:
        """When the oldest ended id may be forgotten; None if there is none."""
        return next((ended.forget_at for ended in self._ended.values()), None)

    def state(self, request_id: bytes) -> IdState:
        """What is known of an id."""
        if request_id in self._open:
            return IdState.OPEN
        if (effect := self._left.get(request_id)) is not None:
            return IdState.LEFT_SAFE if effect is Effect.SAFE else IdState.LEFT
        ended = self._ended.get(request_id)
        return IdState.SPENT if ended is not None and self._is_spent(ended) else IdState.UNKNOWN

    def begin(self, request_id: bytes, effect: Effect) -> None:
        """A request with an unknown id has begun."""
        if request_id in self._ended:
            self._forget(request_id)
        self._open[request_id] = effect

    def leave(self, request_id: bytes) -> None:
        """The client of an open request has gone."""
        self._left[request_id] = self._open.pop(request_id)

    def end(self, request_id: bytes, ending: Ending, client: int, now: float) -> None:
        """The request of a client has its final answer, or its client has gone and no attempt is out any more."""
        effect = self._open.pop(request_id, None) or self._left.pop(request_id)
        if ending is Ending.NOTHING_RAN or effect is Effect.SAFE:
            return
        served_client = client if ending is Ending.SERVED else None
        self._ended[request_id] = EndedRequest(now + SPENT_SECONDS, served_client)
        self._memory.take(Holding.REQUEST_IDS, ENDED_ID_BYTES + len(request_id))
        self._keep_within_bounds()

    def expire(self, now: float) -> None:
        """Forget the ended ids whose time is over."""
        while self._ended and next(iter(self._ended.values())).forget_at <= now:
            self._forget(next(iter(self._ended)))

    def take_forgotten_early(self) -> int:
        """How many spent ids were forgotten for want of room since the last call."""
        count, self._forgotten_early = self._forgotten_early, 0
        return count

    def _is_spent(self, ended: EndedRequest) -> bool:
        return ended.served_client is None or not self._is_connected(ended.served_client)

    def _keep_within_bounds(self) -> None:
        memory = self._memory
        while len(self._ended) > MAX_ENDED_IDS or (
            len(self._ended) > MIN_ENDED_IDS
            and memory.held[Holding.REQUEST_IDS] > ENDED_IDS_SHARE * memory.limit_bytes
        ):
            request_id, oldest = next(iter(self._ended.items()))
            self._forgotten_early += self._is_spent(oldest)
            self._forget(request_id)

    def _forget(self, request_id: bytes) -> None:
        del self._ended[request_id]
        self._memory.give_back(Holding.REQUEST_IDS, ENDED_ID_BYTES + len(request_id))
