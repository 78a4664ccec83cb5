"""The bound on what a router holds, made from the memory that its process may have."""

from __future__ import annotations

import math

from banklift.net.router import Log
from banklift.net.sockets import SocketEnv
from banklift.proxy.memory import MemoryBudget

MEGABYTE = 1_000_000  # of `memory_mb`; a platform may mean 1,048,576, which is more
# Memory for what one batch of events holds for a moment: copies, and bytes queued until the end of the batch.
TRANSIENT_BYTES = 3 * 1024 * 1024
# Part of the remaining memory that may be held. The allocator needs the rest, as it keeps some of what was freed.
BUDGET_FRACTION = 0.6
# The same where commands may be far larger than the blocks that the allocator gives back: they leave gaps as they grow.
LARGE_COMMANDS_BUDGET_FRACTION = 0.4
MIN_BUDGET_BYTES = 1024 * 1024  # with less, a router couldn't hold a few of the largest commands
SLOW_READER_BYTES = 64 * 1024  # unsent bytes of a connection above which it counts as a slow reader
MEMORY_REPORT_INTERVAL_SECONDS = 1.0


class MemoryTooSmall(Exception):
    """The process can't work within its limit of memory. The text has the limit that is needed."""


def memory_budget(memory_bytes: float, at_rest_bytes: int, fraction: float = BUDGET_FRACTION) -> float:
    """Bytes that a process may hold for clients and members, of the memory that it may have.

    `at_rest_bytes`: what it needs without any. `fraction`: of the rest.
    """
    return max(MIN_BUDGET_BYTES, fraction * (memory_bytes - at_rest_bytes - TRANSIENT_BYTES))


def require_memory(memory_bytes: float, at_rest_bytes: int | None) -> None:
    """Check that the process can work within its limit. Errors: `MemoryTooSmall`."""
    if at_rest_bytes is not None and memory_bytes < at_rest_bytes + MIN_BUDGET_BYTES:
        needed = math.ceil((at_rest_bytes + MIN_BUDGET_BYTES) / MEGABYTE)
        raise MemoryTooSmall(f"{memory_bytes / MEGABYTE:g} is too little; this process needs {needed}")


def limit_memory(
    env: SocketEnv,
    memory: MemoryBudget,
    memory_bytes: float,
    at_rest_bytes: int | None,
    log: Log,
    fraction: float = BUDGET_FRACTION,
) -> None:
    """Bound what is held for clients and members, and report regularly where that was too little.

    `memory_bytes`: what the process may have; infinite for no bound. `at_rest_bytes`: what it needs without any
    clients; None, for no bound, if that is not known. `fraction`: see `memory_budget`.
    """
    if at_rest_bytes is None or memory_bytes == math.inf:
        return
    budget = memory_budget(memory_bytes, at_rest_bytes, fraction)
    # the members that are known now are a part of the process at rest
    memory.set_limit(budget + memory.total)
    env.slow_reader_bytes = SLOW_READER_BYTES
    log("memory", {"at_rest_kib": round(at_rest_bytes / 1024), "budget_kib": round(budget / 1024)})
    _report(env, memory, log)


def _report(env: SocketEnv, memory: MemoryBudget, log: Log) -> None:
    """Log what was refused for want of memory, now and regularly from now on."""
    if (fields := memory.take_report()) is not None:
        log("memory short", fields)
    env.at(env.now() + MEMORY_REPORT_INTERVAL_SECONDS, lambda: _report(env, memory, log))
