"""How a router on the platform ends: what it took is answered before the platform may kill it."""

from __future__ import annotations

import heapq
import itertools
import os
import signal
from collections.abc import Iterator
from typing import Any, cast

import pytest

from banklift.emulator.world import World
from banklift.net.service import KILL, LONGEST, Signals
from banklift.pg import frames
from tests.platform_site import SETTINGS, Caller, Site, code, value

COST = 0.002  # seconds
DEADLINE = 2.0  # the longest of the site's classes


@pytest.fixture
def noted() -> Iterator[None]:
    """Signals are as before, afterwards."""
    before = {number: signal.getsignal(number) for number in Signals.NUMBERS}
    yield
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)


def test_a_signal_counts_from_when_it_came_also_before_anybody_listens(noted: None) -> None:
    clock = [5.0]
    signals = Signals(lambda: clock[0])
    os.kill(os.getpid(), signal.SIGHUP)
    clock[0] = 7.0
    os.kill(os.getpid(), signal.SIGTERM)
    clock[0] = 9.0
    told: list[tuple[int, float]] = []
    watched: list[int] = []

    class Env:
        def watch(self, fd: int, reader: object) -> None:
            watched.append(fd)

    signals.listen(cast(Any, Env()), lambda number, at: told.append((number, at)))
    assert told == [(signal.SIGHUP, 5.0), (signal.SIGTERM, 7.0)]
    os.kill(os.getpid(), signal.SIGTERM)
    assert signals.wake.recv(10) and watched == [signals.wake.fileno()]  # the byte ends the wait for sockets
    signals.ready(0)
    assert told[2:] == [(signal.SIGTERM, 9.0)]


class Leaving(World):
    """Surroundings of a service, in virtual time."""

    ended = -1.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.lingering: dict[object, float] = {}

    def stop(self) -> None:
        self.ended = self.now()


@pytest.mark.parametrize(("late", "discovery"), [(0.0, True), (0.15, True), (0.3, True), (0.0, False)])
def test_all_is_answered_before_the_kill_however_late_the_signal_is_noticed(
    late: float, discovery: bool
) -> None:
    site = Site(world=Leaving(1))
    world = cast(Leaving, site.world)
    if not discovery:
        assert site.catalogue.listener is not None
        site.catalogue.listener.close()
        site.catalogue.failing = True
    silent, fresh = Caller(site), Caller(site)
    came = world.now()
    site.run(late)
    site.service.signalled(signal.SIGTERM, came)
    site.nodes["p"].answers.extend([lambda node, statement: None] * 2)
    site.run(1.41 - late)
    silent.say(frames.query(site.write().encode()))
    fresh.say(frames.query(site.read("view", "k").encode()))
    half = Caller(site, start=False)
    half.say(frames.startup("backend", "store")[:5])
    site.run(came + KILL + DEADLINE - 0.2 - world.now())  # a part of a core needs time to write it all
    assert code(silent.told()) == "40003"
    assert [kind for kind, _ in fresh.told()] == ["T", "D", "C", "Z"]
    assert not site.machine.open
    site.run(0.2)
    assert half.ended and silent.ended and fresh.ended
    assert 0 < world.ended <= came + KILL + DEADLINE


class Slow(Leaving):
    """Every event takes `COST` of processor time: about ten times what it takes a router on a whole core."""

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            when, _, callback = heapq.heappop(self.queue)
            self.clock = max(self.clock, when)
            callback()
            self.clock += COST
        self.clock = max(self.clock, until)


@pytest.mark.parametrize("discovery", [True, False])
def test_all_is_answered_before_the_kill_on_a_clock_ten_times_too_fast(discovery: bool) -> None:
    site = Site(world=Slow(1), sockets=512)
    world = cast(Leaving, site.world)
    if not discovery:
        assert site.catalogue.listener is not None
        site.catalogue.listener.close()
        site.catalogue.failing = True
    resting = [Caller(site) for _ in range(8)]
    for caller in resting:
        assert value(caller.ask(site.read("any", "k"), 0.1))
    waiting = [Caller(site) for _ in range(16)]
    for node in site.nodes.values():
        node.answers.extend([lambda node, statement: None] * 24)
    for place, caller in enumerate(
        waiting
    ):  # writes, of which some wait for a link, and reads that are moved about
        caller.handle.send(frames.query((site.write() if place % 2 else site.read("view", "k")).encode()))
    site.run(0.1)
    came = world.now()
    site.service.signalled(signal.SIGTERM, came)
    site.run(0.65)
    late = Caller(site, start=False)
    late.say(frames.startup("backend", "store") + frames.query(site.write().encode()), 0.0)
    half = Caller(site, start=False)
    half.say(frames.startup("backend", "store") + frames.query(site.write().encode())[:40], 0.0)
    site.run(came + KILL + DEADLINE - world.now())
    assert not site.machine.open and 0 < world.ended <= came + KILL + DEADLINE
    for caller in waiting:
        assert [kind for kind, _ in caller.told()] == ["E", "Z"] and caller.ended  # silent nodes
    assert [kind for kind, _ in late.told()][-2:] in (["C", "Z"], ["E", "Z"])
    assert half.ended and late.ended and all(caller.ended for caller in resting)


REPORTS: dict[str, Any] = {
    **SETTINGS,
    "services": [
        *SETTINGS["services"],
        {
            "name": "report",
            "semantics": "retryable",
            "aim_s": 4.0,
            "deadline_s": 8.0,
            "points": 6,
            "late_worth": 0,
        },
    ],
    "family_info": {
        **SETTINGS["family_info"],
        "class_read": [*SETTINGS["family_info"]["class_read"], "loose"],
        "staleness_bound_s": [*SETTINGS["family_info"]["staleness_bound_s"], 0],
    },
}


@pytest.mark.parametrize("silent", [True, False])
def test_what_may_wait_longer_than_the_router_lives_is_answered_as_well(silent: bool) -> None:
    site = Site(world=Leaving(1), settings=REPORTS)
    world, caller = cast(Leaving, site.world), Caller(site)
    for node in site.nodes.values():
        if silent:
            node.answers.extend([lambda node, statement: None] * 3)
        else:
            node.stop()  # nobody can be reached, and it waits here
    caller.say(frames.query(site.read("report", "k", patience=8000).encode()), 0.5)
    came = world.now()
    site.service.signalled(signal.SIGTERM, came)
    site.run(KILL + LONGEST - 0.2)
    assert code(caller.told()) == "53300" and not site.machine.open
    site.run(0.2)
    assert caller.ended and 0 < world.ended <= came + KILL + LONGEST


def test_connections_that_rest_are_handed_back_over_time_and_those_that_never_asked_last() -> None:
    site = Site(world=Leaving(1))
    world = cast(Leaving, site.world)
    callers = [Caller(site) for _ in range(10)]
    for caller in callers:
        caller.ask(site.read("any", "k"))
    came = world.now()
    site.service.signalled(signal.SIGTERM, came)
    left = []
    while world.now() < came + KILL + DEADLINE - 0.6:
        site.run(0.1)
        left.append(sum(not caller.ended for caller in callers))
        if len(left) == 10:
            new = Caller(site)
    assert left[2] == 10  # clients still come
    steps = [before - after for before, after in itertools.pairwise(left)]
    assert max(steps) <= 3 and left[-1] == 0
    assert not new.ended and len(new.ask(site.read("any", "k"), 0.05)) == 4
