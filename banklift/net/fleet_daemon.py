"""How a router joins its fleet and leaves it: plan, policies, a voter's state, leases that are given back."""

from __future__ import annotations

import math
import resource
from collections.abc import Callable
from pathlib import Path

import anyio

from banklift.config import build, policy
from banklift.config.fleet import machine_of
from banklift.fleet.holder import RETRY_PART
from banklift.fleet.node import Node
from banklift.fleet.placement import Candidate, choose
from banklift.fleet.plan import Plan
from banklift.net.fleet import FleetHost
from banklift.net.process import MembershipRefused, Running, new_incarnation, new_seed
from banklift.net.router import Log, RouterHost
from banklift.net.sockets import SocketEnv
from banklift.net.voter_state import StateRefused, VoterState, open_state
from banklift.proxy import events as ev
from banklift.proxy.fleet_plan import Fleet
from banklift.proxy.plan import Config

LEAVE_TIME = 0.5  # seconds in which leases that are given back reach their grantors, at the most
LEAVE_POLL = 0.005  # seconds between looks at whether they have


def router_plan(name: str, fleet: Fleet) -> Plan:
    """A router leases from the aggregators that it prefers in its zone. One that is a voter, and any router of a fleet
    without aggregators, leases from the voters."""
    return Plan(
        fleet.name,
        name,
        tuple(fleet.voters),
        fleet.lease,
        fleet.drift,
        () if name in fleet.voters else choose(name, candidates(fleet)),
        fleet.granted_sub_lease,
    )


def candidates(fleet: Fleet) -> list[Candidate]:
    """The aggregators of this router's zone."""
    return [
        Candidate(name, machine_of(fleet, name))
        for name, aggregator in fleet.aggregators.items()
        if aggregator.zone == fleet.zone
    ]


def peer_addresses(plan: Plan, fleet: Fleet) -> dict[str, str]:
    """Where all listen that a member with this plan may connect to."""
    if plan.aggregators:
        return {name: fleet.aggregators[name].address for name in plan.aggregators}
    return dict(fleet.voters)


class RouterPolicies:
    """The policies of the fleet as this router checks them and puts them in force."""

    def __init__(self, config: Config, router: RouterHost) -> None:
        self.config, self.router = config, router
        self.descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.newest: tuple[bytes, policy.Policy] | None = None  # the last one that was decoded

    def check(self, text: bytes) -> tuple[str, ...]:
        """What this router has against a policy."""
        return policy.against(self.config, text, self.descriptors)

    def adopt(self, epoch: int, text: bytes) -> None:
        """Take requests under it from now on."""
        if self.newest is None or self.newest[0] != text:
            self.newest = text, policy.decode(text)
        self.router.tell(build.adopt(self.config, self.newest[1]))

    def extend(self, until: float, retry_after: float) -> None:
        """Take requests up to that time; later ones are refused, to come back after so many seconds."""
        self.router.tell(ev.Until(until, retry_after))


def join(
    config: Config,
    fleet: Fleet,
    folder: Path,
    env: SocketEnv,
    router: RouterHost,
    run: Running,
    log: Log,
) -> FleetHost:
    """Make this router a part of its fleet; it takes no request before it has a lease. `run` ends when the fleet
    turns it away. Errors: `MembershipRefused`, `OSError`."""
    plan = router_plan(config.name, fleet)
    state = _voter_state(plan, fleet, folder, log)
    policies = RouterPolicies(config, router)
    node = Node(
        plan,
        new_incarnation(),
        new_seed(),
        policy.of(config),
        policies.check,
        None if state is None else state.record,
        True if state is None else state.absent,
    )

    def save(content: bytes, done: Callable[[str], None]) -> None:
        assert state is not None
        state.save(run.tasks, content, done)

    policies.extend(-math.inf, RETRY_PART * fleet.lease)
    host = FleetHost(
        env,
        node,
        peer_addresses(plan, fleet),
        None if state is None else fleet.listen or fleet.voters[config.name],
        save,
        policies.adopt,
        policies.extend,
        run.refused,
        log,
    )
    host.start()
    return host


async def leave(host: FleetHost, env: SocketEnv) -> None:
    """Give all leases back, and wait until those who granted them know, `LEAVE_TIME` at the most."""
    told = host.leave()
    with anyio.move_on_after(LEAVE_TIME):
        while any(
            handle in env.lingering for handle in told
        ):  # until the other end has read all and closed its side
            await anyio.sleep(LEAVE_POLL)


def _voter_state(plan: Plan, fleet: Fleet, folder: Path, log: Log) -> VoterState | None:
    """What a voter's folder holds; None for a router that is no voter. Errors: `MembershipRefused`."""
    if plan.name not in plan.voters:
        return None
    assert fleet.folder is not None
    try:
        return open_state(folder / fleet.folder, plan.fleet, plan.name, log)
    except StateRefused as error:
        raise MembershipRefused(f"fleet.folder: {error}") from None
