"""What processes of routers and aggregators share: clock, incarnation, stop signals, the line on standard output."""

from __future__ import annotations

import gc
import json
import random
import signal
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

SEED_LIMIT = 2**63  # seeds are below this
# thresholds of the garbage collector's generations: allocated objects, and collections of the generation below
COLLECTOR_THRESHOLDS = (50_000, 20, 50)


class MembershipRefused(Exception):
    """The fleet has refused this process as a member; the text says why."""


def clock() -> float:
    """Seconds since boot. Counts also while the machine is suspended, and is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation() -> int:
    """This process's incarnation, larger than that of any earlier process by its name: the time in microseconds."""
    return time.time_ns() // 1000


def new_seed() -> int:
    """An unpredictable seed for random numbers."""
    return random.SystemRandom().randrange(SEED_LIMIT)


def announce(role: str, name: str, address: str) -> None:
    """Print one line of JSON on standard output that says that a process is up and where it listens."""
    print(json.dumps({role: name, "listening": address}), flush=True)


def tune_collector() -> None:
    """Exempt all objects of the start from garbage collection, as they live as long as the process, and collect rarely,
    as requests leave no cycles behind."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


class StopSignals:
    """SIGTERM and SIGINT, in the order of their arrival."""

    def __init__(self, received: AsyncIterator[signal.Signals]) -> None:
        self._received = received

    async def wait(self) -> str:
        """Wait for the next signal, and return its name."""
        async for number in self._received:
            return signal.Signals(number).name
        raise AssertionError("the stream of signals has ended")


@contextmanager
def stop_signals() -> Iterator[StopSignals]:
    """Within the block, SIGTERM and SIGINT do nothing but end a `StopSignals.wait`."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        yield StopSignals(received)


@dataclass(frozen=True, slots=True)
class Running:
    """A daemon's tasks, and the errors that have ended it."""

    tasks: TaskGroup
    failures: list[BaseException]

    def refused(self, reason: str) -> None:
        """End the daemon, as its fleet has refused it as a member for `reason`."""
        self.failures.append(MembershipRefused(reason))
        self.tasks.cancel_scope.cancel()


@asynccontextmanager
async def running() -> AsyncIterator[Running]:
    """The tasks of a daemon; all of them end with the block.

    Errors: the first `MembershipRefused` or `OSError`, by itself and not in an exception group.
    """
    failures: list[BaseException] = []
    try:
        async with anyio.create_task_group() as tasks:
            yield Running(tasks, failures)
            tasks.cancel_scope.cancel()
    except* (MembershipRefused, OSError) as group:
        failures += group.exceptions
    if failures:
        raise failures[0]
