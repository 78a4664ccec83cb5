"""The operator's file: a fault is refused with file, place and reason; a roster is taken as a whole or refused."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from typer.testing import CliRunner

from banklift.cli.main import app
from banklift.config import build
from banklift.config.load import EXAMPLE, ConfigError, evaluate, load, load_roster
from banklift.interface import Need
from banklift.resp.routes import CrossGroupKeys, Routes, UnownedKey, strictest_class

Document = dict[str, Any]


def example() -> Document:
    document: Document = json.loads(evaluate(EXAMPLE))
    return document


def changed_example(change: Callable[[Document], object]) -> Document:
    document = example()
    change(document)
    return document


# a change to the example, and the beginning of the reason that it is refused with
FAULTS: list[tuple[Callable[[Document], object], str]] = [
    (lambda d: d.update(colour="red"), "$: Object contains unknown field `colour`"),
    (lambda d: d.pop("groups"), "$: Object missing required field `groups`"),
    (lambda d: d.update(groups=[]), "$.groups: Expected `array` of length >= 1"),
    (lambda d: d["groups"][0].update(members=[]), "$.groups[0].members: a group needs at least one member"),
    (lambda d: d["groups"][1].update(name="west"), "$.groups[1].name: 'west' occurs twice"),
    (
        lambda d: d["groups"][1].update(slots=[[8191, 16383]]),
        "$.groups[1].slots: slot 8191 already belongs to group 'west'",
    ),
    (lambda d: d["groups"][1].update(slots=[[8192, 16384]]), "$.groups[1].slots: 8192-16384 is not a range"),
    (
        lambda d: d["groups"][1]["members"][0].update(name="west-0"),
        "$.groups[1].members[0].name: 'west-0' occurs",
    ),
    (
        lambda d: d["groups"][1]["members"][0].update(address="nowhere"),
        "$.groups[1].members[0].address: 'nowhere' is",
    ),
    (
        lambda d: [m.update(address="h:1") for m in d["groups"][0]["members"]],
        "$.groups[0].members[1].address: h:1 is already the address of member 'west-0'",
    ),
    (
        lambda d: d["groups"][0]["members"][1].update(primary=True),
        "$.groups[0].members: more than one member is marked",
    ),
    (
        lambda d: d["groups"][0]["members"][1].update(state="ill"),
        "$.groups[0].members[1].state: 'ill' is not one of",
    ),
    (
        lambda d: d["groups"][0].update(prefixes=["a"]) or d["groups"][1].update(prefixes=["a"]),
        "$.groups[1].prefixes: prefix 'a' already belongs to group 'west'",
    ),
    (
        lambda d: d["classes"][0].update(effect="harmless"),
        "$.classes[0].effect: Invalid enum value 'harmless'",
    ),
    (lambda d: d["classes"][0].update(aim=0), "$.classes[0].aim: Expected `float` > 0.0"),
    (lambda d: d["classes"][0].update(aim=3), "$.classes[0].aim: 3 s is beyond the deadline of 2 s"),
    (lambda d: d["classes"][1].update(name="pick-save"), "$.classes[1].name: 'pick-save' occurs twice"),
    (lambda d: d["classes"][4].pop("bound"), "$.classes[4].bound: a bounded read needs a bound above 0"),
    (
        lambda d: d["classes"][1].update(effect="keyed"),
        "$.classes[1].window: a keyed class needs a window above 0",
    ),
    (lambda d: d["routes"][0].update(to="nothing"), "$.routes[0].to: no class is named 'nothing'"),
    (
        lambda d: d.update(default_write="own-picks"),
        "$.default_write: 'own-picks' is not a class of writes",
    ),
    (lambda d: d.update(default_read="x"), "$.default_read: no class is named 'x'"),
    (lambda d: d.update(sessions="maybe"), "$.sessions: must be 'roaming' or 'connection'"),
    (lambda d: d.update(listen="6380"), "$.listen: '6380' is not host:port"),
    (lambda d: d.update(limits={"links": 0}), "$.limits.links: Expected `int` >= 1"),
    (
        lambda d: d.update(users=[{"name": "a", "password": "x"}, {"name": "a", "password": "y"}]),
        "$.users: a name occurs twice",
    ),
]


@pytest.mark.parametrize(("change", "reason"), FAULTS)
def test_a_fault_is_refused_with_place_and_reason(
    tmp_path: Path, change: Callable[[Document], object], reason: str
) -> None:
    path = tmp_path / "bad.jsonnet"
    path.write_text(json.dumps(changed_example(change)))
    with pytest.raises(ConfigError) as caught:
        load(path)
    assert str(caught.value).splitlines()[0].startswith(f"{path}: {reason}")
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == 2 and reason in result.output


def test_all_faults_are_reported_together(tmp_path: Path) -> None:
    path = tmp_path / "bad.jsonnet"
    path.write_text(
        json.dumps(changed_example(lambda d: d.update(listen="x", sessions="y", default_read="z")))
    )
    with pytest.raises(ConfigError) as caught:
        load(path)
    assert len(str(caught.value).splitlines()) == 3


def test_missing_truncated_and_importing_files_are_refused(tmp_path: Path) -> None:
    for path, reason in [(tmp_path / "absent", ": no such file$"), (tmp_path, ": no such file$")]:
        with pytest.raises(ConfigError, match=reason):
            load(path)
    (tmp_path / "truncated").write_text(EXAMPLE.read_text()[:200])
    with pytest.raises(ConfigError, match="truncated"):
        load(tmp_path / "truncated")
    (tmp_path / "importing").write_text("importstr '/etc/hostname'")
    with pytest.raises(ConfigError, match="outside the folder"):
        load(tmp_path / "importing")


def test_the_example_passes_the_check() -> None:
    result = CliRunner().invoke(app, ["check", str(EXAMPLE)])
    assert result.exit_code == 0 and "2 groups, 6 members, 7 classes" in result.output


def test_commands_are_routed_by_class_and_group() -> None:
    config = load(EXAMPLE)
    routes = Routes(config)
    assert routes.request_class(b"GET", [b"trace:1"], False, "default").name == "trace-view"
    assert routes.request_class(b"GET", [b"trace:1", b"pick:1"], False, "default").name == "own-picks"
    # the route of reads does not apply to a write
    assert routes.request_class(b"LPOP", [b"trace:1"], True, "default").name == "pick-save"
    assert routes.request_class(b"SET", [b"note:1"], True, "default").name == "note"
    assert routes.group([b"{a}1", b"{a}2"]) in (0, 1)
    with pytest.raises(CrossGroupKeys):
        routes.group([b"a", b"b", b"c", b"d", b"e"])
    partly_owned = msgspec.structs.replace(
        config, groups=[msgspec.structs.replace(config.groups[0], prefixes=["pick:"])]
    )
    routes = Routes(partly_owned)
    assert routes.group([b"pick:anything"]) == 0
    with pytest.raises(UnownedKey):
        for number in range(100):
            routes.group([b"%d" % number])
    classes = [routes.classes[name] for name in ("note", "pick-save", "final")]
    assert strictest_class(classes).name == "pick-save" and strictest_class(classes[2:]).need is Need.FRESH


def test_a_truncated_or_incomplete_roster_is_refused(tmp_path: Path) -> None:
    config = load(EXAMPLE)
    path = tmp_path / "roster.json"
    groups = msgspec.to_builtins(config.groups)
    text = json.dumps(groups)
    path.write_text(text)
    assert build.roster(config, load_roster(path, config), 0.0).members[0].name == "west-0"
    for size in range(0, len(text) - 1, 17):
        path.write_text(text[:size])
        with pytest.raises(ConfigError):
            load_roster(path, config)
    path.write_text(json.dumps(groups[:1]))
    with pytest.raises(ConfigError, match="group 'east' is missing"):
        load_roster(path, config)
    path.write_text(json.dumps([*groups, {"name": "new", "members": groups[0]["members"]}]))
    with pytest.raises(ConfigError, match="unknown group 'new'"):
        load_roster(path, config)


def test_a_router_process_reports_its_address_serves_and_stops(tmp_path: Path) -> None:
    """One router process: its line on standard output, PING before and after a bad roster, SIGTERM."""
    config = msgspec.structs.replace(load(EXAMPLE), listen="127.0.0.1:0", roster="roster.json")
    (tmp_path / "router.json").write_bytes(msgspec.json.encode(config))

    async def main() -> None:
        async with await anyio.open_process(
            [sys.executable, "-m", "banklift", "router", "--config", str(tmp_path / "router.json")]
        ) as process:
            assert process.stdout is not None and process.stderr is not None
            line = json.loads(await process.stdout.receive())
            assert line["router"] == "router"
            host, _, port = line["listening"].rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(b"PING\r\n")
                assert await stream.receive() == b"+PONG\r\n"
                (tmp_path / "roster.json").write_text("[")
                log = b""
                with anyio.fail_after(20):
                    while b"roster refused" not in log:
                        log += await process.stderr.receive()
                await stream.send(b"PING\r\n")
                assert await stream.receive() == b"+PONG\r\n"
            process.terminate()
            assert await process.wait() == 0

    anyio.run(main)
