"""Balancer settings of a typical site on the platform, for benchmarks that run the decision code by itself."""

from __future__ import annotations

from banklift import interface as io
from banklift.interface import Effect, Need

SETTINGS = io.Settings(
    classes=(
        io.RequestClass("view", Effect.SAFE, Need.BOUNDED, 0.5, 2.0, 1.0, bound=0.8),
        io.RequestClass("own", Effect.SAFE, Need.SESSION, 0.5, 1.2, 3.0),
        io.RequestClass("save", Effect.UNSAFE, Need.WRITE, 1.0, 2.0, 6.0, 0.3),
    ),
    max_attempts=6,
    may_cancel=True,
    may_probe=True,
    max_retry_after=1.0,
    must_ask=True,
    ask_within=6.0,
    lists_roles=True,
    answers_carry_position=True,
    client_tokens=True,
    drain_grace=2.0,
    cold_share=0.3,
    cold_time=10.0,
    fall_multiple=3.0,
    fall_time=3.0,
)
