"""What a router holds for its clients and members, in bytes, and how much it may hold.

Theory of operation. Other ends decide how much a router is sent, so a process with a limit of memory needs a bound in
bytes, not only bounds on the number of connections and requests. `MemoryBudget` is one ledger for all of it. Each part
of a request's way takes what it begins to hold and gives it back when it lets go (`Holding`). Bytes that other ends
have not taken yet are known to the sockets only, which report their sum (`unsent_bytes`).

Who wants to hold more asks `has_room` first. A `Claim` says how urgent that is, and with it up to which share of the
budget it is granted. So a client that already has much open can't take the last part of the budget from one that has
nothing, and large commands can't take it from small ones.

What a connection has read counts without a claim, so at most one read of each client comes on top of the limit. Reads
are small while memory is short.

What is refused for want of room is up to the callers; the rules for clients are in pg/front.py. Without a limit all
claims are granted, and the ledger only counts.

Reading ahead is the least urgent use. The close of a client is behind all that it has sent, so a client whose commands
have to wait is read on, as long as there is room for it (`read_ahead_bytes`). Each client may read ahead as much as is
left for all of them (the dynamic thresholds of shared buffers: Choudhury and Hahne, 1998), so one can't take it all.
"""

from __future__ import annotations

import math
from enum import Enum, IntEnum

# What the objects around a connection, a request and a member take, without the bytes that other ends sent.
CONNECTION_BYTES = 4 * 1024
REQUEST_BYTES = 4 * 1024
MEMBER_BYTES = 3 * 1024
# Bytes of one read of a client's connection: usually, and while memory is short. Then a client that has to wait leaves
# at most one read in the router, so that is a small part of the budget.
USUAL_READ_BYTES = 64 * 1024
MIN_READ_BYTES, MAX_SHORTAGE_READ_BYTES = 2 * 1024, 16 * 1024
SHORTAGE_READ_SHARE = 1 / 1024
READ_AHEAD_SHARE = 0.4  # of the budget, up to which input is read ahead; below `Claim.FURTHER`
MAX_READ_AHEAD_BYTES = 2 * 1024 * 1024  # of one client: as much as it may have in 16 of the largest commands


class Holding(IntEnum):
    """What bytes are held for."""

    CONNECTIONS = 0  # of clients and to members
    MEMBERS = 1  # members that were listed after the start
    CLIENT_INPUT = 2  # commands that are not complete, or not handled yet
    REQUESTS = 3  # requests without a final answer, or with an attempt that has not ended
    ANSWERS = 4  # final answers that wait for the answers to earlier commands
    MEMBER_INPUT = 5  # answers of members that are not complete
    REQUEST_IDS = 6  # ids of requests that must not run again


class Claim(Enum):
    """Who wants to hold more. The value is the share of the budget up to which it is granted."""

    FURTHER = 0.5  # a client that has commands open, or doesn't take its answers
    LARGE = 0.875  # a large command of a client that has none open
    ANY = 1.0


class MemoryBudget:
    """The ledger of one router. `limit_bytes`: what may be held; infinite for no limit."""

    __slots__ = (
        "_bounds",
        "_reported",
        "_shortage_read_bytes",
        "held",
        "limit_bytes",
        "refusals",
        "short_from",
        "total",
        "unsent_bytes",
    )

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.held = [0] * len(Holding)
        self.total = 0  # the sum of `held`
        self.unsent_bytes = 0  # bytes of all connections that the other ends have not taken
        self.refusals = dict.fromkeys(Claim, 0)  # claims for which there was no room
        self._reported = 0  # refusals that were reported
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: float) -> None:
        """Change the limit; what is held stays."""
        self.limit_bytes = limit_bytes
        self._bounds = {claim: claim.value * limit_bytes for claim in Claim}
        self.short_from = self._bounds[Claim.FURTHER]
        usual_share = min(MAX_SHORTAGE_READ_BYTES, SHORTAGE_READ_SHARE * limit_bytes)
        self._shortage_read_bytes = int(max(MIN_READ_BYTES, usual_share))

    def take(self, holding: Holding, size: int) -> None:
        """Count `size` more bytes; fewer, if it is negative."""
        self.held[holding] += size
        self.total += size

    def give_back(self, holding: Holding, size: int) -> None:
        """Count `size` bytes fewer."""
        self.held[holding] -= size
        self.total -= size

    @property
    def is_short(self) -> bool:
        """Whether some claims are not granted any more, so that each command has to be looked at before it is read."""
        return self.total + self.unsent_bytes > self.short_from

    @property
    def client_read_bytes(self) -> int:
        """Most bytes of one read of a client's connection."""
        return self._shortage_read_bytes if self.is_short else USUAL_READ_BYTES

    @property
    def read_ahead_bytes(self) -> float:
        """Bytes up to which the input of one client may be read ahead now; 0 or less where there is no room."""
        left = READ_AHEAD_SHARE * self.limit_bytes - self.total - self.unsent_bytes
        return min(MAX_READ_AHEAD_BYTES, left)

    def has_room(self, size: int, claim: Claim = Claim.ANY) -> bool:
        """Whether `size` more bytes may be held. A refusal is counted."""
        if self.total + self.unsent_bytes + size <= self._bounds[claim]:
            return True
        self.refusals[claim] += 1
        return False

    def take_report(self) -> dict[str, object] | None:
        """The fields of a log line if claims were refused since the last report, else None. Sizes are in KiB."""
        refused = sum(self.refusals.values())
        if refused == self._reported:
            return None
        new, self._reported = refused - self._reported, refused
        fields: dict[str, object] = {"refused": new, "limit_kib": round(self.limit_bytes / 1024)}
        for holding in Holding:
            fields[f"{holding.name.lower()}_kib"] = round(self.held[holding] / 1024)
        fields["unsent_kib"] = round(self.unsent_bytes / 1024)
        return fields
