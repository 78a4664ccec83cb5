"""Measures parts of the control plane without sockets, each at several sizes, and fits how their costs grow.

Each function returns `Slope`s (capacity_results.py): the measured costs, the fitted form, and the cost at the planned
size. Processor time is that of this process, the least of some rounds, as the machine may be busy with other work.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from banklift.fleet.messages import FrameDecoder, encode
from banklift.fleet.node import Node
from banklift.rig.capacity_grantor import GrantorKind, GrantorPair, RequestCosts, request_costs
from banklift.rig.capacity_members import MemberCosts, member_costs
from banklift.rig.capacity_plan import MEMBERS, POLICY_SIZES_BYTES, ROUTERS
from banklift.rig.capacity_policy import PolicyCosts, policy_costs
from banklift.rig.capacity_results import FigureSource, Slope, fit_slope

# units, as the results name them
SECONDS, BYTES = "s", "bytes"
# sizes that costs are measured against, as the results name them
AGAINST_HOLDERS, AGAINST_MEMBERS, AGAINST_POLICY = "lease holders", "members", "bytes of policy"
SHOW_ROUNDS = 5  # of which the least processor time counts


@dataclass(frozen=True, slots=True)
class CostSeries:
    """One cost that is measured at several sizes and becomes a slope. `key`, `what` and `unit` are those of the slope,
    the key without its prefix; `cost` reads the cost from a measurement at one size."""

    key: str
    what: str
    unit: str
    cost: Callable[[object], float]


def _series(key: str, what: str, unit: str, attribute: str) -> CostSeries:
    """A series whose cost is this attribute of a measurement."""
    return CostSeries(key, what, unit, lambda costs: float(getattr(costs, attribute)))


REQUEST_SERIES = (
    _series("request.rest", "lease request at rest", SECONDS, "rest"),
    _series("request.checking", "lease request while a change is checked", SECONDS, "checking"),
    _series("request.closing", "lease request while leases run out", SECONDS, "closing"),
)
SURVEY_SERIES = (
    _series("survey", "survey", SECONDS, "survey"),
    _series("survey.bytes", "answer to a survey", BYTES, "survey_bytes"),
)
MEMBER_SERIES = (
    _series("first", "list read first", SECONDS, "first_list_seconds"),
    _series("again", "the same list read again", SECONDS, "same_list_seconds"),
    _series("delta", "a change to one member", SECONDS, "delta_seconds"),
    _series("rest", "processor time a second at rest", SECONDS, "idle_core_share"),
    _series("request", "one request, without sockets", SECONDS, "request_seconds"),
    _series("kept", "memory for all members, traced", BYTES, "retained_bytes"),
    _series("module", "of this, the decision module", BYTES, "decision_module_bytes"),
    _series("list.bytes", "the list, as sent", BYTES, "list_bytes"),
    _series("delta.bytes", "a change to one member, as sent", BYTES, "delta_bytes"),
    _series("ask.bytes", "a question to discovery, as sent", BYTES, "discovery_call_bytes"),
)
POLICY_ROUTER_SERIES = (
    _series("check", "check of a policy", SECONDS, "check_seconds"),
    _series("adopt", "change to a policy", SECONDS, "adopt_seconds"),
)
POLICY_VOTER_SERIES = (
    _series("save", "write to disk while a change is under way, elapsed", SECONDS, "save_seconds"),
    _series("save.bytes", "written to disk", BYTES, "save_bytes"),
)
SHOW_SERIES = (
    _series("show.bytes", "answer to `banklift fleet`", BYTES, "answer_bytes"),
    _series("show.voter", "a voter's time for it", SECONDS, "voter_seconds"),
    _series("show.tool", "the tool's time to read it", SECONDS, "tool_seconds"),
)


@dataclass(frozen=True, slots=True)
class ShowCosts:
    """What `banklift fleet` costs where the voter that answers has so many holders: the size of the answer, and the
    processor seconds in which the voter makes it and the tool reads it."""

    holders: int
    answer_bytes: int
    voter_seconds: float
    tool_seconds: float


def show_costs(holders: int, rounds: int = SHOW_ROUNDS) -> ShowCosts:
    """Measure an operator's question to a voter with so many holders."""
    pair = GrantorPair(GrantorKind.VOTER, holders)
    node = pair.measured
    assert isinstance(node, Node) and node.voter is not None
    voter_seconds, tool_seconds, data = [], [], b""
    for _ in range(rounds):
        begin = time.process_time()
        data = encode(node.voter.show(pair.now))
        answered = time.process_time()
        FrameDecoder().feed(data)
        voter_seconds.append(answered - begin)
        tool_seconds.append(time.process_time() - answered)
    return ShowCosts(holders, len(data), min(voter_seconds), min(tool_seconds))


def _slopes(
    prefix: str,
    role: str,
    against: str,
    planned_size: float,
    all_series: Sequence[CostSeries],
    measurements: Sequence[tuple[float, object]],
) -> list[Slope]:
    """One slope for each series. `measurements`: sizes, each with what was measured there."""
    return [
        fit_slope(
            f"{prefix}.{series.key}",
            role,
            series.what,
            series.unit,
            against,
            FigureSource.ISOLATED,
            [(size, series.cost(costs)) for size, costs in measurements],
            planned_size,
        )
        for series in all_series
    ]


def request_slopes(tier: GrantorKind, sizes: Sequence[int]) -> list[Slope]:
    """Measure the lease requests to a voter or an aggregator against the number of its holders.

    Errors: `ValueError` with fewer than two sizes.
    """
    return slopes_from_request_costs(tier, [request_costs(tier, size) for size in sizes])


def slopes_from_request_costs(tier: GrantorKind, costs: Sequence[RequestCosts]) -> list[Slope]:
    """The slopes of measurements that were made before. Errors: `ValueError` with fewer than two."""
    measurements: list[tuple[float, object]] = [(cost.holders, cost) for cost in costs]
    all_series = REQUEST_SERIES + (SURVEY_SERIES if tier is GrantorKind.VOTER else ())
    return _slopes(str(tier), str(tier), AGAINST_HOLDERS, ROUTERS, all_series, measurements)


def show_slopes(sizes: Sequence[int]) -> list[Slope]:
    """Measure an operator's question against the number of holders of the voter that answers.

    Errors: `ValueError` with fewer than two sizes.
    """
    measurements: list[tuple[float, object]] = [(size, show_costs(size)) for size in sizes]
    return _slopes("operator", "operator's tool", AGAINST_HOLDERS, ROUTERS, SHOW_SERIES, measurements)


def member_slopes(sizes: Sequence[int], requests: int) -> list[Slope]:
    """Measure the list of members against its length, with so many requests in each round.

    Errors: `ValueError` with fewer than two sizes.
    """
    costs: list[MemberCosts] = [member_costs(size, requests=requests) for size in sizes]
    measurements: list[tuple[float, object]] = [(cost.members, cost) for cost in costs]
    return _slopes("members", "router", AGAINST_MEMBERS, MEMBERS, MEMBER_SERIES, measurements)


def policy_slopes(sizes: Sequence[int]) -> list[Slope]:
    """Measure a router's check of a policy and change to it, and a voter's write, against the policy's bytes.

    Errors: `ValueError` with fewer than two sizes.
    """
    costs: list[PolicyCosts] = [policy_costs(size) for size in sizes]
    measurements: list[tuple[float, object]] = [(cost.size, cost) for cost in costs]
    largest = POLICY_SIZES_BYTES[-1]
    return [
        *_slopes("policy", "router", AGAINST_POLICY, largest, POLICY_ROUTER_SERIES, measurements),
        *_slopes("policy", "voter", AGAINST_POLICY, largest, POLICY_VOTER_SERIES, measurements),
    ]
