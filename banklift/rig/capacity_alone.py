"""The slopes that are measured without sockets: each part at several sizes, as fitted slopes."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from banklift.fleet.messages import FrameDecoder, encode
from banklift.fleet.node import Node
from banklift.rig.capacity_grantor import GrantorPair, RequestCosts, Tier, request_costs
from banklift.rig.capacity_members import MemberCosts, member_costs
from banklift.rig.capacity_plan import DATABASES, POLICY_SIZES, ROUTERS
from banklift.rig.capacity_policy import PolicyCosts, policy_costs
from banklift.rig.capacity_results import How, Slope, fitted

SECONDS, BYTES = "s", "bytes"
HOLDERS, MEMBERS, POLICY = "lease holders", "members", "bytes of policy"
SHOW_ROUNDS = 5


@dataclass(frozen=True, slots=True)
class Column:
    """One slope of a part: `cost` takes it from a measurement."""

    key: str
    what: str
    unit: str
    cost: Callable[[object], float]


def _column(key: str, what: str, unit: str, attribute: str) -> Column:
    return Column(key, what, unit, lambda costs: float(getattr(costs, attribute)))


REQUESTS = (
    _column("request.rest", "lease request at rest", SECONDS, "rest"),
    _column("request.checking", "lease request while a change is checked", SECONDS, "checking"),
    _column("request.closing", "lease request while leases run out", SECONDS, "closing"),
)
SURVEYS = (
    _column("survey", "survey", SECONDS, "survey"),
    _column("survey.bytes", "answer to a survey", BYTES, "survey_bytes"),
)
LISTS = (
    _column("first", "list read first", SECONDS, "first"),
    _column("again", "the same list read again", SECONDS, "again"),
    _column("delta", "a change to one member", SECONDS, "delta"),
    _column("rest", "processor time a second at rest", SECONDS, "rest"),
    _column("request", "one request, without sockets", SECONDS, "request"),
    _column("kept", "memory for all members, traced", BYTES, "kept"),
    _column("module", "of this, the decision module", BYTES, "module"),
    _column("list.bytes", "the list, as sent", BYTES, "list_bytes"),
    _column("delta.bytes", "a change to one member, as sent", BYTES, "delta_bytes"),
    _column("ask.bytes", "a question to discovery, as sent", BYTES, "ask_bytes"),
)
POLICIES = (
    _column("check", "check of a policy", SECONDS, "check"),
    _column("adopt", "change to a policy", SECONDS, "adopt"),
)
SAVES = (
    _column("save", "write to disk while a change is under way, elapsed", SECONDS, "save"),
    _column("save.bytes", "written to disk", BYTES, "save_bytes"),
)
SHOWS = (
    _column("show.bytes", "answer to `banklift fleet`", BYTES, "size"),
    _column("show.voter", "a voter's time for it", SECONDS, "voter"),
    _column("show.tool", "the tool's time to read it", SECONDS, "tool"),
)


@dataclass(frozen=True, slots=True)
class ShowCosts:
    """What an operator's question costs a voter with so many holders, and the tool that reads the answer."""

    holders: int
    size: int
    voter: float
    tool: float


def show_costs(holders: int, rounds: int = SHOW_ROUNDS) -> ShowCosts:
    """Measure one size."""
    pair = GrantorPair(Tier.VOTER, holders)
    node = pair.measured
    assert isinstance(node, Node) and node.voter is not None
    answering, reading, data = [], [], b""
    for _ in range(rounds):
        begin = time.process_time()
        data = encode(node.voter.show(pair.now))
        answered = time.process_time()
        FrameDecoder().feed(data)
        answering.append(answered - begin)
        reading.append(time.process_time() - answered)
    return ShowCosts(holders, len(data), min(answering), min(reading))


def _slopes(
    prefix: str,
    role: str,
    against: str,
    size: float,
    columns: Sequence[Column],
    measured: Sequence[tuple[float, object]],
) -> list[Slope]:
    return [
        fitted(
            f"{prefix}.{column.key}",
            role,
            column.what,
            column.unit,
            against,
            How.ALONE,
            [(at, column.cost(costs)) for at, costs in measured],
            size,
        )
        for column in columns
    ]


def request_slopes(tier: Tier, sizes: Sequence[int]) -> list[Slope]:
    """Of a voter's or an aggregator's requests, against its holders."""
    return slopes_of_requests(tier, [request_costs(tier, size) for size in sizes])


def slopes_of_requests(tier: Tier, costs: Sequence[RequestCosts]) -> list[Slope]:
    """Of measurements that were made."""
    measured: list[tuple[float, object]] = [(one.holders, one) for one in costs]
    columns = REQUESTS + (SURVEYS if tier is Tier.VOTER else ())
    return _slopes(str(tier), str(tier), HOLDERS, ROUTERS, columns, measured)


def show_slopes(sizes: Sequence[int]) -> list[Slope]:
    """Of an operator's question, against the holders of the voter that answers."""
    measured: list[tuple[float, object]] = [(size, show_costs(size)) for size in sizes]
    return _slopes("operator", "operator's tool", HOLDERS, ROUTERS, SHOWS, measured)


def member_slopes(sizes: Sequence[int], requests: int) -> list[Slope]:
    """Of the list of members, against its length."""
    costs: list[MemberCosts] = [member_costs(size, requests=requests) for size in sizes]
    measured: list[tuple[float, object]] = [(one.members, one) for one in costs]
    return _slopes("members", "router", MEMBERS, DATABASES, LISTS, measured)


def policy_slopes(sizes: Sequence[int]) -> list[Slope]:
    """Of a policy's size: a router's check and change, a voter's write."""
    costs: list[PolicyCosts] = [policy_costs(size) for size in sizes]
    measured: list[tuple[float, object]] = [(one.size, one) for one in costs]
    largest = POLICY_SIZES[-1]
    return [
        *_slopes("policy", "router", POLICY, largest, POLICIES, measured),
        *_slopes("policy", "voter", POLICY, largest, SAVES, measured),
    ]
