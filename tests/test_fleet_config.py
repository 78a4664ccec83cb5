"""The `fleet` table of the operator's file: every command that reads it refuses a fault with file, place and reason."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from banklift.cli.main import app
from banklift.config.check import warnings
from banklift.config.fleet import machine_of
from banklift.config.load import (
    EXAMPLE,
    ConfigError,
    evaluate,
    load,
    load_aggregator,
    load_router,
)

Document = dict[str, Any]
REFUSED_EXIT_CODE = 2  # of a command whose file is refused


def fleet_table() -> Document:
    """Three voters; two zones with two aggregators each, on two machines each."""
    return {
        "name": "game",
        "voters": {"v0": "10.0.0.1:7000", "v1": "10.0.0.2:7000", "v2": "10.0.0.3:7000"},
        "lease": 9.0,
        "aggregators": {
            "a0": {"address": "10.0.1.1:7100", "zone": "north", "machine": "m1"},
            "a1": {"address": "10.0.1.2:7100", "zone": "north", "machine": "m2"},
            "a2": {"address": "10.0.2.1:7100", "zone": "south"},
            "a3": {"address": "10.0.2.2:7100", "zone": "south"},
        },
        "zone": "north",
    }


def router_file(**changes: Any) -> Document:
    """The file of router r7, which is neither voter nor aggregator."""
    document: Document = json.loads(evaluate(EXAMPLE))
    return {**document, "name": "r7", "fleet": fleet_table(), **changes}


def write(folder: Path, document: Document) -> Path:
    """Writes a file of the operator and returns its path."""
    path = folder / "file.jsonnet"
    path.write_text(json.dumps(document))
    return path


def reasons(path: Path, read: Callable[[Path], object]) -> list[str]:
    """The reasons with which a file is refused, without the file's name in front of each line."""
    with pytest.raises(ConfigError) as caught:
        read(path)
    lines = str(caught.value).splitlines()
    assert all(line.startswith(f"{path}: ") for line in lines)
    return [line.removeprefix(f"{path}: ") for line in lines]


Change = Callable[[Document], object]  # changes a `fleet` table
# changes to a table and the reasons they are refused for
FAULTS: dict[str, tuple[Change, list[str]]] = {
    "a zone without an aggregator": (
        lambda fleet: fleet.update(zone="west"),
        ["$.fleet.zone: zone 'west' has no aggregator; zones with one: 'north', 'south'"],
    ),
    "no zone": (
        lambda fleet: fleet.pop("zone"),
        ["$.fleet.zone: is missing: 'r7' is not a voter, so it leases from the aggregators of its zone"],
    ),
    "a sub-lease longer than its parent's": (
        lambda fleet: fleet.update(sub_lease=9.5),
        ["$.fleet.sub_lease: 9.5 s is longer than the lease of 9 s that an aggregator itself holds"],
    ),
    "a standby on the same machine": (
        lambda fleet: fleet["aggregators"]["a1"].update(machine="m1"),
        [
            "$.fleet.aggregators: zone 'north': 'a0', 'a1' all run on machine 'm1': "
            "if it fails, no standby is left"
        ],
    ),
    "one address twice": (
        lambda fleet: fleet["aggregators"]["a3"].update(address="10.0.1.1:7100"),
        ["$.fleet.aggregators.a3.address: 10.0.1.1:7100 is already the address of aggregator 'a0'"],
    ),
    "one address twice in a zone": (  # so both run on one machine
        lambda fleet: fleet["aggregators"]["a3"].update(address="10.0.2.1:7100"),
        [
            "$.fleet.aggregators.a3.address: 10.0.2.1:7100 is already the address of aggregator 'a2'",
            "$.fleet.aggregators: zone 'south': 'a2', 'a3' all run on machine '10.0.2.1:7100': "
            "if it fails, no standby is left",
        ],
    ),
    "an address shared with a voter": (
        lambda fleet: fleet["aggregators"]["a0"].update(address="10.0.0.2:7000"),
        ["$.fleet.aggregators.a0.address: 10.0.0.2:7000 is already the address of voter 'v1'"],
    ),
    "one address of two voters": (
        lambda fleet: fleet["voters"].update(v2="10.0.0.1:7000"),
        ["$.fleet.voters.v2: 10.0.0.1:7000 is already the address of voter 'v0'"],
    ),
    "a bad address": (
        lambda fleet: fleet["aggregators"]["a2"].update(address="10.0.2.1"),
        ["$.fleet.aggregators.a2.address: '10.0.2.1' is not host:port"],
    ),
    "a port above the highest": (
        lambda fleet: fleet["aggregators"]["a2"].update(address="10.0.2.1:70000"),
        ["$.fleet.aggregators.a2.address: '10.0.2.1:70000' is not host:port"],
    ),
    "no port": (
        lambda fleet: fleet["aggregators"]["a2"].update(address="10.0.2.1:0"),
        ["$.fleet.aggregators.a2.address: '10.0.2.1:0' has no port that routers could connect to"],
    ),
    "a bad address of a voter": (
        lambda fleet: fleet["voters"].update(v2="v2"),
        ["$.fleet.voters.v2: 'v2' is not host:port"],
    ),
    "a bad address to listen at": (
        lambda fleet: fleet.update(listen="here"),
        ["$.fleet.listen: 'here' is not host:port"],
    ),
    "a zone without aggregators in the table": (
        lambda fleet: fleet.pop("aggregators"),
        ["$.fleet.zone: there are no aggregators to choose from"],
    ),
    "a sub-lease without aggregators": (
        lambda fleet: (fleet.pop("aggregators"), fleet.pop("zone"), fleet.update(sub_lease=3.0)),
        ["$.fleet.sub_lease: there are no aggregators to grant one"],
    ),
    "all at once": (
        lambda fleet: (
            fleet["voters"].update(v2="v2"),
            fleet.update(listen="here", zone="west", sub_lease=60.0),
            fleet["aggregators"]["a0"].update(address="a0"),
            fleet["aggregators"]["a1"].update(machine="m1", address="10.0.0.1:7000"),
        ),
        [
            "$.fleet.voters.v2: 'v2' is not host:port",
            "$.fleet.listen: 'here' is not host:port",
            "$.fleet.aggregators.a0.address: 'a0' is not host:port",
            "$.fleet.aggregators.a1.address: 10.0.0.1:7000 is already the address of voter 'v0'",
            "$.fleet.aggregators: zone 'north': 'a0', 'a1' all run on machine 'm1': "
            "if it fails, no standby is left",
            "$.fleet.zone: zone 'west' has no aggregator; zones with one: 'north', 'south'",
            "$.fleet.sub_lease: 60 s is longer than the lease of 9 s that an aggregator itself holds",
        ],
    ),
    # faults of a field's type: only the first is reported
    "no address": (
        lambda fleet: fleet["aggregators"]["a0"].pop("address"),
        ["$.fleet.aggregators[...]: Object missing required field `address`"],
    ),
    "an aggregator without a zone": (
        lambda fleet: fleet["aggregators"]["a0"].pop("zone"),
        ["$.fleet.aggregators[...]: Object missing required field `zone`"],
    ),
    "an unknown key": (
        lambda fleet: fleet["aggregators"]["a0"].update(weight=2),
        ["$.fleet.aggregators[...]: Object contains unknown field `weight`"],
    ),
    "a sub-lease too short": (
        lambda fleet: fleet.update(sub_lease=0.1),
        ["$.fleet.sub_lease: Expected `float` >= 0.3"],
    ),
    "a zone that is no name": (
        lambda fleet: fleet.update(zone="north 1"),
        ["$.fleet.zone: Expected `str` matching regex '^[A-Za-z0-9][A-Za-z0-9._-]*$'"],
    ),
}
FAULT_IDS = [name.replace(" ", "-") for name in FAULTS]


@pytest.mark.parametrize(("change", "expected"), FAULTS.values(), ids=FAULT_IDS)
def test_a_fault_is_refused_with_place_and_reason(
    tmp_path: Path, change: Change, expected: list[str]
) -> None:
    fleet = fleet_table()
    change(fleet)
    path = write(tmp_path, router_file(fleet=fleet))
    assert reasons(path, load) == expected
    assert reasons(path, load_router) == expected
    for command in (["check", str(path)], ["router", "--config", str(path)]):
        result = CliRunner().invoke(app, command)
        assert result.exit_code == REFUSED_EXIT_CODE
        assert result.stderr.splitlines() == [f"{path}: {reason}" for reason in expected]


def test_a_duplicate_key_is_refused_by_name(tmp_path: Path) -> None:
    """Jsonnet itself refuses a table with a key that occurs twice, and names the key."""
    text = json.dumps(router_file()).replace('"a1":', '"a0":')
    path = tmp_path / "file.jsonnet"
    path.write_text(text)
    reported = "\n".join(error_lines(path))
    assert "duplicate field name: a0" in reported
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == REFUSED_EXIT_CODE and "duplicate field name: a0" in result.stderr


def error_lines(path: Path) -> list[str]:
    """The lines of the error that loading the file raises."""
    with pytest.raises(ConfigError) as caught:
        load(path)
    return str(caught.value).splitlines()


def test_a_complete_table_is_accepted(tmp_path: Path) -> None:
    config = load_router(write(tmp_path, router_file()))
    assert config.fleet is not None
    assert config.fleet.zones() == {"north": ["a0", "a1"], "south": ["a2", "a3"]}
    assert config.fleet.granted_sub_lease == pytest.approx(6.0)  # two thirds of the lease
    assert [machine_of(config.fleet, name) for name in ("a0", "a2")] == ["m1", "10.0.2.1:7100"]
    assert warnings(config) == []
    longest = load(write(tmp_path, router_file(fleet={**fleet_table(), "sub_lease": 9.0}))).fleet
    assert longest is not None and longest.granted_sub_lease == 9.0


def test_a_fleet_without_aggregators_needs_no_zone_or_sub_lease(tmp_path: Path) -> None:
    fleet = {"name": "game", "voters": {"v0": "10.0.0.1:7000"}}
    config = load_router(write(tmp_path, router_file(fleet=fleet)))
    assert config.fleet is not None
    assert (config.fleet.aggregators, config.fleet.zone, config.fleet.granted_sub_lease) == ({}, None, 0.0)
    assert warnings(config) == []


def test_a_voter_needs_a_folder_and_no_zone(tmp_path: Path) -> None:
    fleet = fleet_table()
    del fleet["zone"]
    path = write(tmp_path, router_file(name="v1", fleet=fleet))
    assert reasons(path, load) == ["$.fleet.folder: 'v1' is a voter, which needs a folder for its state"]
    load_router(write(tmp_path, router_file(name="v1", fleet={**fleet, "folder": "v1.state"})))


def test_a_router_may_not_have_the_name_of_an_aggregator(tmp_path: Path) -> None:
    """`check` accepts such a file, as an aggregator runs from it; `router` refuses it."""
    path = write(tmp_path, router_file(name="a2"))
    load(path)
    expected = "$.name: 'a2' is an aggregator of this fleet, which `banklift aggregator` runs"
    assert reasons(path, load_router) == [expected]
    result = CliRunner().invoke(app, ["router", "--config", str(path)])
    assert result.exit_code == REFUSED_EXIT_CODE and result.stderr == f"{path}: {expected}\n"


# ---- warnings


# changes to a table that is accepted, and the warnings printed
WARNINGS: dict[str, tuple[Change, list[str]]] = {
    "an aggregator that is also a voter": (
        lambda fleet: fleet["voters"].update(a0="10.0.0.4:7000", v4="10.0.0.5:7000"),
        [
            "$.fleet.aggregators.a0: 'a0' is also a voter: "
            "the loss of its machine costs a voter and an aggregator"
        ],
    ),
    "a zone without a standby": (
        lambda fleet: fleet["aggregators"].pop("a3"),
        ["$.fleet.aggregators: zone 'south' has no standby: 'a2' is its only aggregator"],
    ),
    "an even number of voters": (
        lambda fleet: fleet["voters"].pop("v2"),
        ["$.fleet.voters: 2 voters tolerate no more failures than 1 would"],
    ),
}
WARNING_IDS = [name.replace(" ", "-") for name in WARNINGS]


@pytest.mark.parametrize(("change", "expected"), WARNINGS.values(), ids=WARNING_IDS)
def test_a_warning_is_printed_and_the_file_accepted(
    tmp_path: Path, change: Change, expected: list[str]
) -> None:
    fleet = fleet_table()
    change(fleet)
    path = write(tmp_path, router_file(fleet=fleet))
    assert warnings(load_router(path)) == expected
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == 0
    assert result.stderr.splitlines() == [f"{path}: {text}" for text in expected]


# ---- the file of an aggregator


def test_an_aggregator_runs_from_any_routers_file(tmp_path: Path) -> None:
    file = load_aggregator(write(tmp_path, router_file(name="a2")))
    assert (file.name, file.fleet.aggregators["a2"].zone) == ("a2", "south")


def test_an_aggregator_runs_from_name_and_fleet_alone(tmp_path: Path) -> None:
    fleet = fleet_table()
    del fleet["zone"]
    path = write(tmp_path, {"name": "a2", "fleet": fleet})
    assert load_aggregator(path).name == "a2"
    result = CliRunner().invoke(app, ["check", str(path)])
    assert (result.exit_code, result.stdout) == (0, f"{path}: fine: aggregator 'a2' of zone 'south'\n")
    fleet["zone"] = "north"
    result = CliRunner().invoke(app, ["check", str(write(tmp_path, {"name": "a2", "fleet": fleet}))])
    assert result.exit_code == 0
    assert result.stderr == (
        f"{path}: $.fleet.zone: 'north' is not used: aggregator 'a2' serves zone 'south'\n"
    )


NO_AGGREGATOR = "$.name: 'r7' is not an aggregator of this fleet; its aggregators: 'a0', 'a1', 'a2', 'a3'"
FLEET_WITHOUT_AGGREGATORS = {"name": "game", "voters": {"v0": "10.0.0.1:7000"}}
# files and the reasons that `banklift aggregator` refuses them for
AGGREGATOR_FAULTS: dict[str, tuple[Document, list[str]]] = {
    "an unknown aggregator": (router_file(), [NO_AGGREGATOR]),
    "an unknown aggregator, small file": ({"name": "r7", "fleet": fleet_table()}, [NO_AGGREGATOR]),
    "an unknown aggregator and more": (
        {"name": "r7", "fleet": {**fleet_table(), "sub_lease": 20.0}},
        [
            "$.fleet.sub_lease: 20 s is longer than the lease of 9 s that an aggregator itself holds",
            NO_AGGREGATOR,
        ],
    ),
    "no aggregators": (
        router_file(fleet=FLEET_WITHOUT_AGGREGATORS),
        ["$.fleet.aggregators: this fleet has none"],
    ),
    "no aggregators, small file": (
        {"name": "a0", "fleet": FLEET_WITHOUT_AGGREGATORS},
        ["$.fleet.aggregators: this fleet has none"],
    ),
    "no fleet": (router_file(fleet=None), ["$.fleet: this file has no fleet"]),
    "no fleet and more": (
        router_file(fleet=None, listen="6380"),
        ["$.listen: '6380' is not host:port", "$.fleet: this file has no fleet"],
    ),
    "no name": ({"fleet": fleet_table()}, ["$: Object missing required field `name`"]),
    "other keys": (
        {"name": "a0", "fleet": fleet_table(), "colour": "red"},
        ["$: Object contains unknown field `colour`"],
    ),
    "a fault of its router's file": (
        router_file(name="a0", sessions="maybe"),
        ["$.sessions: must be 'roaming' or 'connection'"],
    ),
}
AGGREGATOR_FAULT_IDS = [name.replace(" ", "-") for name in AGGREGATOR_FAULTS]


@pytest.mark.parametrize(("document", "expected"), AGGREGATOR_FAULTS.values(), ids=AGGREGATOR_FAULT_IDS)
def test_a_file_that_no_aggregator_can_run_from_is_refused(
    tmp_path: Path, document: Document, expected: list[str]
) -> None:
    path = write(tmp_path, document)
    assert reasons(path, load_aggregator) == expected
    assert_aggregator_refuses(path, expected)


def assert_aggregator_refuses(path: Path, expected: list[str]) -> None:
    """Checks that `banklift aggregator` refuses the file for these reasons."""
    result = CliRunner().invoke(app, ["aggregator", "--config", str(path)])
    assert result.exit_code == REFUSED_EXIT_CODE
    assert result.stderr.splitlines() == [f"{path}: {reason}" for reason in expected]


@pytest.mark.parametrize(("change", "expected"), FAULTS.values(), ids=FAULT_IDS)
def test_an_aggregator_refuses_the_same_faults_as_a_router(
    tmp_path: Path, change: Change, expected: list[str]
) -> None:
    """The reasons are those of a router, except that an aggregator needs no zone for itself."""
    fleet = fleet_table()
    change(fleet)
    expected_here = [text for text in expected if "is missing: 'r7'" not in text]
    if "aggregators" not in fleet:
        expected_here.append("$.fleet.aggregators: this fleet has none")
    for document in ({"name": "a0", "fleet": fleet}, router_file(name="a0", fleet=fleet)):
        path = write(tmp_path, document)
        if expected_here:
            assert reasons(path, load_aggregator) == expected_here
            assert_aggregator_refuses(path, expected_here)
        else:
            assert load_aggregator(path).name == "a0"
