"""A router joins its fleet and leaves it: plan, policies, a voter's state on disk, release of leases."""

from __future__ import annotations

import math
import resource
from collections.abc import Callable
from pathlib import Path

import anyio

from banklift.config import build, policy
from banklift.config.fleet import machine_of
from banklift.fleet.holder import RETRY_FRACTION
from banklift.fleet.node import Node
from banklift.fleet.placement import Candidate, choose_aggregators
from banklift.fleet.plan import Plan
from banklift.net.fleet import FleetHost
from banklift.net.process import MembershipRefused, Running, new_incarnation, new_seed
from banklift.net.router import Log, RouterHost
from banklift.net.sockets import SocketEnv
from banklift.net.voter_state import StateRefused, VoterState, open_state
from banklift.proxy import events as ev
from banklift.proxy.fleet_plan import Fleet
from banklift.proxy.plan import Config

RELEASE_TIMEOUT_SECONDS = 0.5  # longest wait for the grantors to receive the released leases
RELEASE_POLL_SECONDS = 0.005  # interval of the checks whether they have


def router_plan(name: str, fleet: Fleet) -> Plan:
    """The plan of router `name`: it leases from its preferred aggregators in its zone. A router that is a voter, or
    whose fleet has no aggregators, leases from the voters."""
    return Plan(
        fleet.name,
        name,
        tuple(fleet.voters),
        fleet.lease,
        fleet.drift,
        () if name in fleet.voters else choose_aggregators(name, candidates(fleet)),
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
    """The addresses (host:port), by name, of all members that a member with this plan may connect to."""
    if plan.aggregators:
        return {name: fleet.aggregators[name].address for name in plan.aggregators}
    return dict(fleet.voters)


class RouterPolicies:
    """Checks the fleet's policies for this router, and puts them in force in its machine."""

    def __init__(self, config: Config, router: RouterHost) -> None:
        self.config, self.router = config, router
        self.descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.last_decoded: tuple[bytes, policy.Policy] | None = None  # text and content

    def check(self, text: bytes) -> tuple[str, ...]:
        """The reasons for which this router can't run with the policy `text`; empty if it can."""
        return policy.objections(self.config, text, self.descriptors)

    def adopt(self, epoch: int, text: bytes) -> None:
        """Serve requests under the policy `text` from now on."""
        if self.last_decoded is None or self.last_decoded[0] != text:
            self.last_decoded = text, policy.decode(text)
        self.router.handle_event(build.adopt(self.config, self.last_decoded[1]))

    def extend(self, until: float, retry_after: float) -> None:
        """Accept requests up to the time `until`, on the clock of `Env`. Later ones are refused, with `retry_after` in
        seconds."""
        self.router.handle_event(ev.AcceptUntil(until, retry_after))


def join(
    config: Config,
    fleet: Fleet,
    folder: Path,
    env: SocketEnv,
    router: RouterHost,
    run: Running,
    log: Log,
) -> FleetHost:
    """Make this router a member of its fleet. It accepts no request before it has a lease.

    `folder` is the base of relative paths. `run` ends if the fleet refuses this router later. Errors:
    `MembershipRefused` if a voter's state can't be used, `OSError` if the address can't be bound.
    """
    plan = router_plan(config.name, fleet)
    state = _voter_state(plan, fleet, folder, log)
    policies = RouterPolicies(config, router)
    node = Node(
        plan,
        new_incarnation(),
        new_seed(),
        policy.policy_of(config),
        policies.check,
        None if state is None else state.record,
        True if state is None else state.absent,
    )

    def save(content: bytes, done: Callable[[str], None]) -> None:
        assert state is not None
        state.save(run.tasks, content, done)

    policies.extend(-math.inf, RETRY_FRACTION * fleet.lease)
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
    """Release all leases, and wait until their grantors have received that, `RELEASE_TIMEOUT_SECONDS` at the most."""
    notified = host.leave()
    with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS):
        # a link lingers until the other end has read everything and closed its side
        while any(handle in env.lingering for handle in notified):
            await anyio.sleep(RELEASE_POLL_SECONDS)


def _voter_state(plan: Plan, fleet: Fleet, folder: Path, log: Log) -> VoterState | None:
    """The state in a voter's folder; None for a router that is not a voter. Errors: `MembershipRefused` if it can't be
    used."""
    if plan.name not in plan.voters:
        return None
    assert fleet.folder is not None
    try:
        return open_state(folder / fleet.folder, plan.fleet, plan.name, log)
    except StateRefused as error:
        raise MembershipRefused(f"fleet.folder: {error}") from None
