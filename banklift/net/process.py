"""What routers and aggregators share as processes: clock, incarnation, stop signals, their line on standard output."""

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

SEEDS = 2**63
COLLECT_AFTER = (50_000, 20, 50)  # objects, and rounds, after which the garbage collector looks for cycles


class MembershipRefused(Exception):
    """This program can't be a part of its fleet; the text says why."""


def clock() -> float:
    """Seconds; goes on while the machine sleeps, and is never set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation() -> int:
    """Of this process: larger than that of any process by its name that has ended."""
    return time.time_ns() // 1000


def new_seed() -> int:
    """Nobody can tell it beforehand."""
    return random.SystemRandom().randrange(SEEDS)


def announce(role: str, name: str, address: str) -> None:
    """Say on standard output, in one line of JSON, that a process is up and where it listens."""
    print(json.dumps({role: name, "listening": address}), flush=True)


def tune_collector() -> None:
    """What is there by now stays for good; what requests leave behind has no cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


class StopSignals:
    """SIGTERM and SIGINT, as they come."""

    def __init__(self, received: AsyncIterator[signal.Signals]) -> None:
        self._received = received

    async def wait(self) -> str:
        """The name of the next one."""
        async for number in self._received:
            return signal.Signals(number).name
        raise AssertionError("signals never end")


@contextmanager
def stop_signals() -> Iterator[StopSignals]:
    """Within it, SIGTERM and SIGINT do nothing but end a wait for them."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        yield StopSignals(received)


@dataclass(frozen=True, slots=True)
class Running:
    """A daemon while it runs: its tasks, and what ends it before its time."""

    tasks: TaskGroup
    failures: list[BaseException]

    def refused(self, reason: str) -> None:
        """End it: its fleet has turned it away."""
        self.failures.append(MembershipRefused(reason))
        self.tasks.cancel_scope.cancel()


@asynccontextmanager
async def running() -> AsyncIterator[Running]:
    """The tasks of a daemon; all of them end with the block. Errors: the first `MembershipRefused` or `OSError`, by
    itself and not in a group."""
    failures: list[BaseException] = []
    try:
        async with anyio.create_task_group() as tasks:
            yield Running(tasks, failures)
            tasks.cancel_scope.cancel()
    except* (MembershipRefused, OSError) as group:
        failures += group.exceptions
    if failures:
        raise failures[0]
