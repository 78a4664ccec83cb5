"""From the operator's file to what the machine needs."""

from __future__ import annotations

from banklift import interface as io
from banklift.config.policy import Policy, under
from banklift.interface import RequestClass, State
from banklift.proxy.events import Adopt, Listed, Roster
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group
from banklift.resp.front import RespFront
from banklift.resp.routes import Routes
from banklift.resp.wire import RespWire


def settings(config: Config, classes: tuple[RequestClass, ...]) -> io.Settings:
    """What the module is told: members speak RESP, so they answer what they have and are asked for positions."""
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
    """A router's machine with a RESP front. It knows no members until it is told a `Roster`."""
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


def adopt(config: Config, policy: Policy) -> Adopt:
    """The machine goes on under this policy."""
    plan = under(config, policy)
    classes = tuple(Routes(plan).classes.values())
    return Adopt(settings(plan, classes), plan.limits, plan)


def roster(config: Config, groups: list[Group], epoch: float) -> Roster:
    """`epoch`: the router's clock at the start of the Unix epoch."""
    places = {group.name: place for place, group in enumerate(config.groups)}
    return Roster(
        tuple(
            Listed(
                member.name,
                places[group.name],
                member.address,
                State[member.state.upper()],
                member.primary,
                None if member.started is None else member.started + epoch,
            )
            for group in groups
            for member in group.members
        )
    )
