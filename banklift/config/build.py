"""Builds the router's machine and its events from the operator's file."""

from __future__ import annotations

from banklift import interface as io
from banklift.config.policy import Policy, with_policy
from banklift.interface import RequestClass, State
from banklift.proxy.events import ApplyConfig, ListedMember, Roster
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group
from banklift.resp.front import RespFront
from banklift.resp.routes import Routes
from banklift.resp.wire import RespWire


def settings(config: Config, classes: tuple[RequestClass, ...]) -> io.Settings:
    """The balancer's settings for members that speak RESP: their answers carry positions, and they can be probed."""
    rules = config.rules
    return io.Settings(
        classes=classes,
        max_attempts=rules.max_attempts,
        may_cancel=True,
        may_probe=True,
        max_retry_after=rules.max_retry_after,
        lists_roles=True,
        answers_carry_position=True,
        client_tokens=True,
        drain_grace=rules.drain_grace,
        cold_share=rules.cold_share,
        cold_time=rules.cold_time,
        fall_multiple=rules.fall_multiple,
        fall_time=rules.fall_time,
    )


def machine(config: Config, seed: int) -> Machine:
    """A router's machine with a RESP front. It knows no members until it gets a `Roster` event.

    `seed`: of the balancer's random numbers.
    """
    classes = tuple(Routes(config).classes.values())
    wire = RespWire(config.limits.frame, config.name, config.member_user, config.member_password)
    return Machine(
        settings(config, classes),
        config.limits,
        len(config.groups),
        seed,
        wire,
        lambda core: RespFront(config, core),
    )


def adopt(config: Config, policy: Policy) -> ApplyConfig:
    """The event that makes the machine go on under this policy."""
    plan = with_policy(config, policy)
    classes = tuple(Routes(plan).classes.values())
    return ApplyConfig(settings(plan, classes), plan.limits, plan)


def roster(config: Config, groups: list[Group], epoch: float) -> Roster:
    """The event that tells the machine its members.

    `epoch`: the start of the Unix epoch on the router's clock, in seconds.
    """
    indexes = {group.name: index for index, group in enumerate(config.groups)}
    return Roster(
        tuple(
            ListedMember(
                member.name,
                indexes[group.name],
                member.address,
                State[member.state.upper()],
                member.primary,
                None if member.started is None else member.started + epoch,
            )
            for group in groups
            for member in group.members
        )
    )
