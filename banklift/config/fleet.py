"""Checks of the `fleet` table that its types can't express. Does no I/O; every problem names its place in the file.

`name` is that of the process that the file belongs to. It is a voter or an aggregator if a table of the fleet lists it
as such, and otherwise a router.
"""

from __future__ import annotations

from collections.abc import Iterable

from banklift.config.address import split_address
from banklift.proxy.fleet_plan import Fleet


def check_fleet(name: str, fleet: Fleet) -> list[str]:
    """Every problem of the table as `place: reason`, for a router, voter or aggregator of that name."""
    return [
        *_check_voters(fleet),
        *_check_own_listener(name, fleet),
        *_check_aggregators(fleet),
        *_check_standbys(fleet),
        *_check_zone(name, fleet),
        *_check_sub_lease(fleet),
    ]


def check_aggregator_name(name: str, fleet: Fleet) -> list[str]:
    """Why `banklift aggregator` can't run under this name."""
    if not fleet.aggregators:
        return ["$.fleet.aggregators: this fleet has none"]
    if name not in fleet.aggregators:
        return [
            f"$.name: {name!r} is not an aggregator of this fleet; its aggregators: {_quoted(fleet.aggregators)}"
        ]
    return []


def check_router_name(name: str, fleet: Fleet) -> list[str]:
    """Why `banklift router` can't run under this name."""
    if name in fleet.aggregators and name not in fleet.voters:
        return [f"$.name: {name!r} is an aggregator of this fleet, which `banklift aggregator` runs"]
    return []


def fleet_warnings(name: str, fleet: Fleet) -> list[str]:
    """What is allowed but likely unintended, as `place: reason`."""
    warnings = []
    count = len(fleet.voters)
    if count % 2 == 0:
        warnings.append(f"$.fleet.voters: {count} voters tolerate no more failures than {count - 1} would")
    for aggregator in fleet.aggregators:
        if aggregator in fleet.voters:
            warnings.append(
                f"$.fleet.aggregators.{aggregator}: {aggregator!r} is also a voter: "
                "the loss of its machine costs a voter and an aggregator"
            )
    for zone, names in fleet.zones().items():
        if len(names) == 1:
            warnings.append(
                f"$.fleet.aggregators: zone {zone!r} has no standby: {names[0]!r} is its only aggregator"
            )
    own = fleet.aggregators.get(name)
    if own is not None and name not in fleet.voters and fleet.zone not in (None, own.zone):
        warnings.append(
            f"$.fleet.zone: {fleet.zone!r} is not used: aggregator {name!r} serves zone {own.zone!r}"
        )
    return warnings


def machine_of(fleet: Fleet, aggregator: str) -> str:
    """The machine on which an aggregator runs; without `machine`, its address counts as a machine of its own."""
    entry = fleet.aggregators[aggregator]
    return entry.address if entry.machine is None else entry.machine


def _check_voters(fleet: Fleet) -> list[str]:
    """Checks whether the voters' addresses are valid and differ."""
    problems: list[str] = []
    owners: dict[str, str] = {}
    for name, address in fleet.voters.items():
        where = f"$.fleet.voters.{name}"
        problems += _check_address(where, address)
        if address in owners:
            problems.append(f"{where}: {address} is already the address of voter {owners[address]!r}")
        owners[address] = name
    return problems


def _check_own_listener(name: str, fleet: Fleet) -> list[str]:
    """Checks whether the listening address is valid, and a voter has a folder."""
    problems = [] if fleet.listen is None else _check_address("$.fleet.listen", fleet.listen)
    if name in fleet.voters and fleet.folder is None:
        problems.append(f"$.fleet.folder: {name!r} is a voter, which needs a folder for its state")
    return problems


def _check_aggregators(fleet: Fleet) -> list[str]:
    """Checks whether the aggregators' addresses are valid, have a port, and are used once."""
    problems: list[str] = []
    owners = {address: f"voter {name!r}" for name, address in fleet.voters.items()}
    for name, aggregator in fleet.aggregators.items():
        where = f"$.fleet.aggregators.{name}.address"
        address_problems = _check_address(where, aggregator.address)
        if not address_problems and split_address(aggregator.address)[1] == 0:
            address_problems = [f"{where}: {aggregator.address!r} has no port that routers could connect to"]
        problems += address_problems
        if aggregator.address in owners:
            problems.append(
                f"{where}: {aggregator.address} is already the address of {owners[aggregator.address]}"
            )
        owners[aggregator.address] = f"aggregator {name!r}"
    return problems


def _check_standbys(fleet: Fleet) -> list[str]:
    """Checks whether the aggregators of a zone run on more than one machine."""
    problems: list[str] = []
    for zone, names in fleet.zones().items():
        machines = {machine_of(fleet, name) for name in names}
        if len(names) > 1 and len(machines) == 1:
            problems.append(
                f"$.fleet.aggregators: zone {zone!r}: {_quoted(names)} all run on machine {machines.pop()!r}: "
                "if it fails, no standby is left"
            )
    return problems


def _check_zone(name: str, fleet: Fleet) -> list[str]:
    """Checks whether a router without a vote has a zone, and that zone has aggregators."""
    if not fleet.aggregators:
        return [] if fleet.zone is None else ["$.fleet.zone: there are no aggregators to choose from"]
    zones = fleet.zones()
    if fleet.zone is not None and fleet.zone not in zones:
        return [f"$.fleet.zone: zone {fleet.zone!r} has no aggregator; zones with one: {_quoted(zones)}"]
    if fleet.zone is None and name not in fleet.voters and name not in fleet.aggregators:
        return [
            f"$.fleet.zone: is missing: {name!r} is not a voter, so it leases from the aggregators of its zone"
        ]
    return []


def _check_sub_lease(fleet: Fleet) -> list[str]:
    """Checks whether a sub-lease has someone to grant it, and ends within the lease."""
    if fleet.sub_lease is None:
        return []
    if not fleet.aggregators:
        return ["$.fleet.sub_lease: there are no aggregators to grant one"]
    if fleet.sub_lease > fleet.lease:
        return [
            f"$.fleet.sub_lease: {fleet.sub_lease:g} s is longer than the lease of {fleet.lease:g} s "
            "that an aggregator itself holds"
        ]
    return []


def _check_address(where: str, address: str) -> list[str]:
    """Checks whether an address is host:port."""
    try:
        split_address(address)
    except ValueError as error:
        return [f"{where}: {error}"]
    return []


def _quoted(names: Iterable[str]) -> str:
    """Names in quotes, joined by commas."""
    return ", ".join(repr(name) for name in names)
