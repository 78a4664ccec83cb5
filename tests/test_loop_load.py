"""The figures that tell why sockets are served late, and their log line."""

from __future__ import annotations

import pytest

from banklift.emulator.world import World
from banklift.net.loop_load import REPORT_INTERVAL_SECONDS, LoopLoad, report_regularly


def test_nothing_is_reported_while_all_sockets_are_served_soon() -> None:
    load = LoopLoad()
    load.batch_began(10.0)
    load.turn_ended(5, 10.01)
    load.batch_ended(10.02, [])
    load.timers_ended(10.02, 10.03)
    assert load.take_report(11.0) is None


def test_a_long_turn_is_told_from_a_long_batch() -> None:
    load = LoopLoad()
    load.batch_began(10.0)
    load.turn_ended(5, 10.15)
    load.turn_ended(6, 10.25)
    load.batch_ended(10.25, [])
    assert load.take_report(11.0) == {
        "longest_turn_ms": 150,
        "longest_batch_ms": 250,
        "longest_timers_ms": 0,
        "longest_wait_ms": 0,
    }
    assert load.take_report(12.0) is None  # it began anew


def test_long_timers_are_told_from_batches() -> None:
    load = LoopLoad()
    load.timers_ended(10.0, 10.5)
    fields = load.take_report(11.0)
    assert fields is not None
    assert (fields["longest_timers_ms"], fields["longest_batch_ms"]) == (500, 0)


@pytest.mark.parametrize("served", [True, False])
def test_a_socket_that_is_passed_over_in_short_batches_is_reported(served: bool) -> None:
    load = LoopLoad()
    for batch in range(20):
        load.batch_began(10 + 0.01 * batch)
        load.turn_ended(5, 10 + 0.01 * batch + 0.005)
        load.batch_ended(10 + 0.01 * batch + 0.005, [9])
    if served:
        load.batch_began(10.2)
        load.turn_ended(9, 10.2)
        load.batch_ended(10.2, [])
    fields = load.take_report(10.2)
    assert fields is not None
    assert (fields["longest_wait_ms"], fields["longest_turn_ms"]) == (200, 5)


class LoadedWorld(World):
    """A virtual environment with the figures of a `SocketEnv`."""

    def __init__(self) -> None:
        super().__init__(1)
        self.load = LoopLoad()


def test_the_log_has_a_line_for_each_interval_with_a_high_figure() -> None:
    env = LoadedWorld()
    lines: list[tuple[str, object]] = []
    report_regularly(env, lambda event, fields: lines.append((event, fields["longest_timers_ms"])))
    env.run(env.now() + REPORT_INTERVAL_SECONDS / 2)
    env.load.timers_ended(0.0, 0.7)
    env.run(env.now() + 3 * REPORT_INTERVAL_SECONDS)
    env.load.timers_ended(0.0, 0.3)
    env.run(env.now() + 3 * REPORT_INTERVAL_SECONDS)
    assert lines == [("sockets served late", 700), ("sockets served late", 300)]
