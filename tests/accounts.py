"""The accounts of a router: what the balancer counts as in flight is what the machine has, and all sums are those of
their parts.

Found by review/8: an attempt that was never started stayed counted, so an idle primary was taken as silent for good.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict

from banklift.proxy.machine import Attempt, Machine
from banklift.proxy.memory import Holding

ROUNDING = 1e-6  # of sums that are kept by additions and subtractions


def assert_accounts_balance(machine: Machine) -> None:
    """Check the accounts between two events.

    Outcomes of abandoned requests reach the balancer by a timer that is due at once, so nothing can be compared before
    that has run.
    """
    assert not machine.balancer_events
    if machine.wake <= machine.now:
        return
    _compare_attempts(machine)
    _compare_requests(machine)
    _compare_waiting(machine)


def _compare_attempts(machine: Machine) -> None:
    """The attempts of each member, and the sums over them."""
    started: defaultdict[str, set[tuple[int, int]]] = defaultdict(set)
    for key, attempt in machine.in_flight.items():
        started[attempt.balancer_name].add(key)
    for name, member in machine.balancer.members.items():
        counted = member.in_flight
        assert set(counted) == started.pop(name, set()), f"attempts at {name}"
        work = sum(attempt.usual_latency for attempt in counted.values())
        rate = sum(1 / attempt.usual_latency for attempt in counted.values())
        assert math.isclose(member.in_flight_work, work, abs_tol=ROUNDING), f"work of {name}"
        assert math.isclose(member.expected_rate, rate, abs_tol=ROUNDING), f"expected rate of {name}"
    assert not started, "attempts at members that the balancer has forgotten"


def _compare_requests(machine: Machine) -> None:
    """The requests without a final answer, where each of them counts, and the memory of all that are not over."""
    assert set(machine.balancer.requests) == set(machine.pending), "open requests"
    places = Counter(
        (pending.request.group, pending.request.request_class.name) for pending in machine.pending.values()
    )
    taken = {key: queue.pending for key, queue in machine.queues.queues.items() if queue.pending}
    assert taken == places, "places in queues"
    held = {id(pending): pending.held_bytes for pending in machine.pending.values()}
    held |= {id(attempt.pending): attempt.pending.held_bytes for attempt in machine.in_flight.values()}
    assert machine.memory.held[Holding.REQUESTS] == sum(held.values()), "memory of requests"


def _compare_waiting(machine: Machine) -> None:
    """The attempts that wait for a link, and those that links carry."""
    carried = {link.attempt for link in machine.links.values() if link.attempt is not None}
    waiting: set[Attempt] = set()
    members = {attempt.member for attempt in machine.in_flight.values()} | set(machine.members.values())
    for member in members:
        queued = [attempt for queue in member.waiting_attempts.values() for attempt in queue]
        assert member.waiting_count == len(queued), f"attempts that wait for {member.name}"
        assert (member in machine.awaiting_link) is bool(queued), f"{member.name} awaits a link"
        waiting |= set(queued)
    assert carried | waiting == set(machine.in_flight.values()), "attempts in flight"
    assert not carried & waiting, "attempts that wait although a link carries them"
