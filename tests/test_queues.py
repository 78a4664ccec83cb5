"""Bounded resources: cancelled timers, queues by group and class, and what remains after a flood of requests."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banklift.config import build
from banklift.decide.queues import MIN_RETRY_AFTER, Queues
from banklift.proxy import events as ev
from banklift.proxy.timers import MAX_CANCELLED_KEPT, Timer, Timers
from banklift.resp.frames import command
from banklift.resp.front import PipelineEntry, RespFront
from tests.test_machine import Rig, info


@given(st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=200))
def test_timers_run_in_order_without_the_cancelled_ones(requested: list[tuple[int, bool]]) -> None:
    timers = Timers()
    ran = list[int]()
    timer_handles = [
        timers.call_at(float(when), lambda number=number: ran.append(number))  # type: ignore[misc]
        for number, (when, _) in enumerate(requested)
    ]
    for timer, (_, cancelled) in zip(timer_handles, requested, strict=True):
        if cancelled:
            timers.cancel(timer)
            timers.cancel(timer)  # a second cancel has no effect
    remaining = [(when, number) for number, (when, cancelled) in enumerate(requested) if not cancelled]
    assert len(timers) == len(remaining) and timers.next == min(
        (when for when, _ in remaining), default=math.inf
    )
    timers.run(10.0)
    assert ran == [number for when, number in sorted(remaining) if when <= 10]
    timers.run(20.0)
    assert ran == [number for _, number in sorted(remaining)] and len(timers) == 0


def test_cancelled_timers_take_no_room() -> None:
    timers = Timers()
    kept = timers.call_at(1e9, lambda: None)
    for number in range(10_000):
        timers.cancel(timers.call_at(float(number), lambda: None))
        assert timers.heap_size <= 2 * MAX_CANCELLED_KEPT + 4
    assert len(timers) == 1 and timers.next == 1e9 and kept.callback is not None


def test_a_timer_may_set_and_cancel_others() -> None:
    timers = Timers()
    ran = list[str]()
    later: list[Timer] = []

    def first() -> None:
        ran.append("first")
        timers.cancel(later[0])
        timers.call_at(1.0, lambda: ran.append("now"))
        timers.call_at(3.0, lambda: ran.append("much later"))

    timers.call_at(1.0, first)
    later.append(timers.call_at(2.0, lambda: ran.append("later")))
    timers.run(2.0)
    assert ran == ["first", "now"]


def test_a_full_queue_does_not_affect_other_classes_and_groups() -> None:
    queues = Queues(3, 1.0)
    assert [queues.enter(0, "note", 1.0) for _ in range(3)] == [None] * 3
    assert queues.enter(0, "note", 1.0) == 1.0  # nothing was answered yet, so the longest delay
    assert queues.enter(0, "pick", 1.0) is None and queues.enter(1, "note", 1.0) is None
    queues.leave(0, "note", 1.0)
    assert queues.enter(0, "note", 1.0) is None
    assert queues.queues[0, "note"].refusals == 1


def test_a_refused_client_retries_when_half_of_the_queue_is_answered() -> None:
    queues = Queues(100, 10.0)
    for _ in range(100):
        queues.enter(0, "note", 0.0)
    now = 0.0
    for _ in range(600):  # fifty answers a second for twelve seconds, and as many new requests
        now += 0.02
        queues.leave(0, "note", now)
        assert queues.enter(0, "note", now) is None
    wait = queues.enter(0, "note", now)
    assert wait is not None and wait == pytest.approx(1.0, rel=0.05)
    assert queues.enter(0, "note", now + 60.0) == 10.0  # the rate has decayed
    fast_queue = Queues(1, 10.0)
    fast_queue.enter(0, "note", 0.0)
    for number in range(100):
        fast_queue.leave(0, "note", number / 1000)
        fast_queue.enter(0, "note", number / 1000)
    assert fast_queue.enter(0, "note", 0.1) == MIN_RETRY_AFTER


def test_a_full_queue_refuses_at_once_and_tells_when_to_retry() -> None:
    rig = Rig(queue=2)
    rig.offsets.clear()  # no member answers, so all requests are held
    for _ in range(3):
        rig.send_command("SET", "note:1", "a")
    assert rig.answer() == b""  # a client gets its answers in the order of its requests
    rig.handle(ev.ClientOpened(2))
    rig.send_command("SET", "note:1", "a", client=2)
    assert rig.answer(2) == b""  # the first client's third request waits for its turn and is not pending
    rig.handle(ev.ClientOpened(3))
    rig.send_command("SET", "note:1", "a", client=3)
    assert rig.answer(3) == b"-TRYAGAIN refused: nothing ran; retry_after_ms=1000\r\n"
    rig.send_command("SET", "pick:1", "a", client=3)  # another class
    assert rig.answer(3) == b""


def test_attempts_waiting_for_links_are_bounded_and_no_request_is_lost() -> None:
    """An attempt beyond the bound never goes to the member. The balancer holds its request, which ends in time."""
    rig = Rig(links=1, waiting=2)
    for client in range(2, 12):
        rig.handle(ev.ClientOpened(client))
        rig.send_command("GET", "alert:1", client=client)
    assert {member.name: member.waiting_count for member in rig.machine.members.values()} == {"p": 2, "r": 2}
    rig.wait(3.0)
    assert all(rig.answer(client) for client in range(2, 12)) and not rig.machine.pending


def test_nothing_remains_after_a_flood_of_requests() -> None:
    """All clients leave, in any order. No queue, timer or heap keeps any of their requests."""
    rig = Rig(links=4, waiting=50)
    rig.send_command("SET", "note:1", "a")
    link = rig.connect("p:1")
    rig.handle(ev.LinkData(link, b"+OK\r\n" + info(True, 9)))
    clients = list(range(2, 402))
    for client in clients:
        rig.handle(ev.ClientOpened(client))
        rig.send_command("SET" if client % 2 else "GET", "note:1", *("a",) * (client % 2), client=client)
    machine = rig.machine
    assert len(machine.pending) > 300
    Random(1).shuffle(clients)
    for client in clients:
        rig.handle(ev.ClientLost(client))
    rig.wait(1.0)
    group = machine.balancer.groups[0]
    assert not machine.pending and not machine.in_flight and not machine.balancer.requests
    assert not any(group.held.values()) and not group.hold_ends
    assert all(
        member.waiting_count == 0 and not any(member.waiting_attempts.values())
        for member in machine.members.values()
    )
    assert all(queue.pending == 0 for queue in machine.queues.queues.values())
    assert len(machine.front.clients) == 1  # type: ignore[attr-defined]
    assert not machine.front.entries_by_request  # type: ignore[attr-defined]
    rig.wait(10.0)
    assert len(machine.timers) < 20 and machine.timers.heap_size < 2 * MAX_CANCELLED_KEPT + 40


def test_an_overdue_request_is_given_up_for_those_behind_it_in_a_pipeline() -> None:
    """A write in flight has two seconds, the read pipelined behind it 1.2: both are answered by the read's deadline."""
    rig = Rig()
    rig.handle(ev.ClientData(1, command("SET", "pick:1", "a") + command("GET", "alert:1") + command("PING")))
    rig.connect("p:1")
    rig.wait(1.15)
    assert rig.answer() == b""
    rig.wait(0.05)
    answers = rig.answer()
    assert answers.startswith(b"-UNCERTAIN") and answers.endswith(b"+PONG\r\n")
    assert not rig.machine.pending and not rig.machine.front.entries_by_request  # type: ignore[attr-defined]


def test_an_unsafe_write_in_flight_that_is_given_up_fails_as_uncertain() -> None:
    rig = Rig()
    rig.handle(ev.ClientData(1, command("SET", "pick:1", "a") + command("GET", "alert:1")))
    link = rig.connect("p:1")
    rig.wait(1.2)
    assert rig.answer().startswith(b"-UNCERTAIN failed: it may have run")
    assert link in rig.closed  # so its late answer cannot reach another request
    rig.send_command("SET", "pick:1", "b")  # the client may send again
    assert (
        any(b"\r\nb\r\n" in data for other, data in rig.sent.items() if other != link) or rig.machine.pending
    )


def test_giving_up_a_request_may_end_others_of_its_pipeline() -> None:
    """The balancer may answer other requests of the client meanwhile: the pipeline changes during the loop over it."""
    rig = Rig()
    front: RespFront = rig.machine.front  # type: ignore[assignment]
    state = front.clients[1]
    entries = [PipelineEntry(request=number) for number in range(901, 907)]
    state.pipeline.extend(entries)

    def abandon(request: int) -> None:
        for entry in entries:
            if entry.request == request + 1:
                entry.answer = b"+next\r\n"
        front._flush(state)

    rig.machine.abandon = abandon  # type: ignore[method-assign]
    rig.machine.actions = []
    front._expire(state, entries[-1])
    assert not state.pipeline and all(entry.answer is not None for entry in entries)


def test_wait_may_delay_the_requests_behind_it() -> None:
    rig = Rig()
    rig.send_command("SET", "note:1", "a")
    rig.handle(ev.LinkData(rig.connect("p:1"), b"+OK\r\n" + info(True, 50)))
    rig.answer()
    rig.handle(ev.ClientData(1, command("WAIT", 2, 3000) + command("GET", "alert:1")))
    rig.wait(2.9)
    assert rig.answer() == b""
    rig.wait(0.2)
    assert rig.answer().startswith(b":")


def test_limits_of_queues_come_from_the_configuration() -> None:
    rig = Rig(queue=7)
    assert rig.machine.queues.max_pending == 7 and build.machine(rig.config, 1).queues.max_pending == 7
