"""The process of a lease aggregator. It serves no requests, keeps nothing on disk, and ends on SIGTERM or SIGINT."""

from __future__ import annotations

import structlog

from banklift.config.fleet import fleet_warnings
from banklift.config.load import AggregatorFile
from banklift.fleet.aggregator_node import AggregatorNode
from banklift.fleet.plan import Plan
from banklift.net.fleet import FleetHost
from banklift.net.fleet_daemon import leave
from banklift.net.process import (
    announce,
    clock,
    new_incarnation,
    new_seed,
    running,
    stop_signals,
    tune_collector,
)
from banklift.net.sockets import SocketEnv
from banklift.proxy.fleet_plan import Fleet


def aggregator_plan(name: str, fleet: Fleet) -> Plan:
    """The plan of aggregator `name`: it leases from the voters."""
    return Plan(fleet.name, name, tuple(fleet.voters), fleet.lease, fleet.drift, (), fleet.granted_sub_lease)


def listening_address(name: str, fleet: Fleet) -> str:
    """Where aggregator `name` listens, as host:port: the file's `listen` if it has one, else its address in the table
    of aggregators. In a voter's file `listen` is the voter's own, so the table's address is taken."""
    if fleet.listen is not None and name not in fleet.voters:
        return fleet.listen
    return fleet.aggregators[name].address


async def serve_aggregator(file: AggregatorFile) -> None:
    """Run until SIGTERM or SIGINT.

    Once the aggregator listens, it prints one line of JSON with its name and address on standard output.

    Errors: `OSError` if the address can't be bound, `MembershipRefused` if the fleet refuses it as a member.
    """
    fleet = file.fleet
    logger = structlog.get_logger().bind(aggregator=file.name)
    for text in fleet_warnings(file.name, fleet):
        logger.warning("configuration", text=text)

    def log(event: str, fields: dict[str, object]) -> None:
        logger.info(event, **fields)

    with stop_signals() as signals:
        async with running() as run:
            env = SocketEnv(run.tasks, clock, exclusive_loop=True)
            host = FleetHost(
                env,
                AggregatorNode(aggregator_plan(file.name, fleet), new_incarnation(), new_seed()),
                dict(fleet.voters),
                listening_address(file.name, fleet),
                _save_unexpectedly,
                _adopt_unexpectedly,
                _extend_unexpectedly,
                run.refused,
                log,
            )
            host.start()
            tune_collector()
            logger.info("listening", address=host.address)
            announce("aggregator", file.name, host.address)
            logger.info("stopping", signal=await signals.wait())
            await leave(host, env)


def _save_unexpectedly(content: bytes, done: object) -> None:
    raise AssertionError("an aggregator keeps nothing on disk")


def _adopt_unexpectedly(epoch: int, policy: bytes) -> None:
    raise AssertionError("an aggregator adopts no policy")


def _extend_unexpectedly(until: float, retry_after: float) -> None:
    raise AssertionError("an aggregator accepts no requests")
