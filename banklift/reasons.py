"""The reason for which a request was given up, as text for the log. Takes no decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banklift.interface import Need, State

if TYPE_CHECKING:
    from banklift.balance import Balancer, Pending


def refusal_reason(balancer: Balancer, pending: Pending) -> str:
    """Say what keeps a request from being sent, or from being sent again, at the moment.

    The first condition that leaves no member decides: time, attempts, readiness, rule 4 for cold members, rule 5 for
    positions, health and capacity, in this order.
    """
    group = pending.group
    primary = group.primary
    candidates = group.members
    if pending.request_class.need in (Need.WRITE, Need.FRESH):
        candidates = [] if primary is None else [primary]
    if balancer.now >= pending.send_cutoff:
        return "no time left"
    if len(pending.tried) >= balancer.settings.max_attempts:
        return "no attempts left"
    if not any(member.state is State.READY for member in candidates):
        return "nobody who may take it"
    if not (candidates := [member for member in candidates if balancer.admits(pending, member)]):
        return "only cold members"
    min_position = balancer.required_position(pending, balancer.now)
    candidates = [
        member
        for member in candidates
        if member is primary or balancer.is_recent_enough(member, min_position)
    ]
    if not candidates:
        return "nobody known recent enough"
    candidates = [
        member for member in candidates if member not in pending.tried and balancer.is_healthy(member)
    ]
    if not candidates:
        return "no answers"
    return "waiting" if any(balancer.has_capacity(pending, member) for member in candidates) else "crowded"
