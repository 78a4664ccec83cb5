"""Graceful shutdown on the platform: every accepted request is answered before the platform may kill the router."""

from __future__ import annotations

import heapq
import itertools
import os
import signal
from collections.abc import Iterator
from typing import Any, cast

import pytest

from banklift.emulator.world import World
from banklift.net.service import MAX_KILL_EXTENSION_SECONDS, MIN_KILL_DELAY_SECONDS, Signals
from banklift.pg import frames
from tests.platform_site import SETTINGS, Site, SiteClient, code, value

EVENT_COST = 0.002  # seconds of processor time for each event
DEADLINE = 2.0  # seconds; the longest deadline of the site's classes


@pytest.fixture
def restored_signals() -> Iterator[None]:
    """Restores the signal handlers after the test."""
    before = {number: signal.getsignal(number) for number in Signals.NUMBERS}
    yield
    signal.set_wakeup_fd(-1)
    for number, handler in before.items():
        signal.signal(number, handler)


def test_a_signal_keeps_its_time_of_arrival_even_before_there_is_a_listener(restored_signals: None) -> None:
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
    # the byte wakes the wait for sockets
    assert signals.wakeup_reader.recv(10) and watched == [signals.wakeup_reader.fileno()]
    signals.handle_events(0)
    assert told[2:] == [(signal.SIGTERM, 9.0)]


class ServiceWorld(World):
    """The environment of one service, in virtual time; `ended` is when it stopped."""

    ended = -1.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.lingering: dict[object, float] = {}

    def stop(self) -> None:
        self.ended = self.now()


@pytest.mark.parametrize(("late", "discovery"), [(0.0, True), (0.15, True), (0.3, True), (0.0, False)])
def test_every_request_is_answered_before_the_kill_even_if_the_signal_is_noticed_late(
    late: float, discovery: bool
) -> None:
    site = Site(world=ServiceWorld(1))
    world = cast(ServiceWorld, site.world)
    if not discovery:
        assert site.catalogue.listener is not None
        site.catalogue.listener.close()
        site.catalogue.failing = True
    silent, fresh = SiteClient(site), SiteClient(site)
    signalled_at = world.now()
    site.run(late)
    site.service.handle_signal(signal.SIGTERM, signalled_at)
    site.members["p"].next_answers.extend([lambda member, statement: None] * 2)
    site.run(1.41 - late)
    silent.send(frames.query(site.write().encode()))
    fresh.send(frames.query(site.read("view", "k").encode()))
    half = SiteClient(site, start=False)
    half.send(frames.startup("backend", "store")[:5])
    # 0.2 s are left to write everything, on a share of a core
    site.run(signalled_at + MIN_KILL_DELAY_SECONDS + DEADLINE - 0.2 - world.now())
    assert code(silent.received_messages()) == "40003"
    assert [kind for kind, _ in fresh.received_messages()] == ["T", "D", "C", "Z"]
    assert not site.machine.pending
    site.run(0.2)
    assert half.closed and silent.closed and fresh.closed
    assert 0 < world.ended <= signalled_at + MIN_KILL_DELAY_SECONDS + DEADLINE


class SlowWorld(ServiceWorld):
    """Every event takes `EVENT_COST`, about ten times as long as a router takes for it on a whole core."""

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            when, _, callback = heapq.heappop(self.queue)
            self.clock = max(self.clock, when)
            callback()
            self.clock += EVENT_COST
        self.clock = max(self.clock, until)


@pytest.mark.parametrize("discovery", [True, False])
def test_every_request_is_answered_before_the_kill_with_a_tenth_of_the_processor(discovery: bool) -> None:
    site = Site(world=SlowWorld(1), sockets=512)
    world = cast(ServiceWorld, site.world)
    if not discovery:
        assert site.catalogue.listener is not None
        site.catalogue.listener.close()
        site.catalogue.failing = True
    resting = [SiteClient(site) for _ in range(8)]
    for caller in resting:
        assert value(caller.query(site.read("any", "k"), 0.1))
    waiting = [SiteClient(site) for _ in range(16)]
    for member in site.members.values():
        member.next_answers.extend([lambda member, statement: None] * 24)
    # writes, some of which wait for a link, and reads, which are retried elsewhere
    for index, caller in enumerate(waiting):
        caller.handle.send(frames.query((site.write() if index % 2 else site.read("view", "k")).encode()))
    site.run(0.1)
    signalled_at = world.now()
    site.service.handle_signal(signal.SIGTERM, signalled_at)
    site.run(0.65)
    late = SiteClient(site, start=False)
    late.send(frames.startup("backend", "store") + frames.query(site.write().encode()), 0.0)
    half = SiteClient(site, start=False)
    half.send(frames.startup("backend", "store") + frames.query(site.write().encode())[:40], 0.0)
    site.run(signalled_at + MIN_KILL_DELAY_SECONDS + DEADLINE - world.now())
    assert not site.machine.pending and 0 < world.ended <= signalled_at + MIN_KILL_DELAY_SECONDS + DEADLINE
    for caller in waiting:
        # the members never answer
        assert [kind for kind, _ in caller.received_messages()] == ["E", "Z"] and caller.closed
    assert [kind for kind, _ in late.received_messages()][-2:] in (["C", "Z"], ["E", "Z"])
    assert half.closed and late.closed and all(caller.closed for caller in resting)


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
def test_a_request_with_a_deadline_after_the_kill_is_answered_before_it(silent: bool) -> None:
    site = Site(world=ServiceWorld(1), settings=REPORTS)
    world, caller = cast(ServiceWorld, site.world), SiteClient(site)
    for member in site.members.values():
        if silent:
            member.next_answers.extend([lambda member, statement: None] * 3)
        else:
            member.stop()  # no member can be reached, so the request waits in the router
    caller.send(frames.query(site.read("report", "k", timeout_ms=8000).encode()), 0.5)
    signalled_at = world.now()
    site.service.handle_signal(signal.SIGTERM, signalled_at)
    site.run(MIN_KILL_DELAY_SECONDS + MAX_KILL_EXTENSION_SECONDS - 0.2)
    assert code(caller.received_messages()) == "53300" and not site.machine.pending
    site.run(0.2)
    assert (
        caller.closed
        and 0 < world.ended <= signalled_at + MIN_KILL_DELAY_SECONDS + MAX_KILL_EXTENSION_SECONDS
    )


def test_idle_connections_are_closed_gradually_and_those_without_a_request_last() -> None:
    site = Site(world=ServiceWorld(1))
    world = cast(ServiceWorld, site.world)
    callers = [SiteClient(site) for _ in range(10)]
    for caller in callers:
        caller.query(site.read("any", "k"))
    signalled_at = world.now()
    site.service.handle_signal(signal.SIGTERM, signalled_at)
    left = []
    while world.now() < signalled_at + MIN_KILL_DELAY_SECONDS + DEADLINE - 0.6:
        site.run(0.1)
        left.append(sum(not caller.closed for caller in callers))
        if len(left) == 10:
            new = SiteClient(site)
    assert left[2] == 10  # within the first 0.3 s clients may still send
    steps = [before - after for before, after in itertools.pairwise(left)]
    assert max(steps) <= 3 and left[-1] == 0
    assert not new.closed and len(new.query(site.read("any", "k"), 0.05)) == 4
