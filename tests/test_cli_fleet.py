"""`banklift fleet` and `banklift policy`: what an operator is told, with members that say what the test wants."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from typer.testing import CliRunner

from banklift.cli import fleet_client
from banklift.cli.fleet_tables import MAX_DIRECT_ROUTER_ROWS
from banklift.cli.fleet_view import FleetView, view
from banklift.cli.main import app
from banklift.config.load import EXAMPLE, evaluate
from banklift.fleet.messages import (
    VERSION,
    Bye,
    Ended,
    Hello,
    Holder,
    Message,
    NotProposed,
    Progress,
    Role,
    Set,
    Show,
    Shown,
    Summary,
    Trouble,
)
from banklift.fleet.state import Change, Outcome, Result, State
from banklift.net.operator import NoAnswer, show_each
from banklift.proxy.fleet_plan import Aggregator, Fleet
from tests.fake_members import FakeMember, fake_members, free_address

LEASE = 9.0
CHANGE = Change("3-abc", b"{}", 2, "v0", 18.0)
STATE = State("game", 3, 1, b"{}")
CHANGING = msgspec.structs.replace(STATE, change=CHANGE)
FLEET = Fleet(
    name="game",
    voters={"v0": "10.0.0.1:7000", "v1": "10.0.0.2:7000"},
    lease=LEASE,
    aggregators={
        "a0": Aggregator(address="10.0.1.1:7100", zone="north", machine="m1"),
        "a1": Aggregator(address="10.0.1.2:7100", zone="north"),
    },
    zone="north",
)


def aggregator(
    name: str, incarnation: int = 1, left: float = 8.0, heard: float = 1.0, **counts: Any
) -> Holder:
    summary = Summary(**{"routers": 300, "waiting": 0, "refused": 0, **counts})
    return Holder(name, incarnation, 1, None, heard, left, summary)


def router(
    name: str, verdict: tuple[str, ...] | None = None, left: float = 8.0, heard: float = 1.0
) -> Holder:
    return Holder(name, 1, 1, verdict, heard, left)


def shown(*holders: Holder, state: State | None = STATE, trouble: tuple[Trouble, ...] = ()) -> Shown:
    return Shown(state, "v0", "voting", {"v0": True, "v1": True}, holders, trouble)


def complaints(seen: FleetView) -> list[str]:
    return [f"{one.who}: {one.what}" for one in seen.trouble]


# ---- what is computed


def test_a_fleet_at_rest_has_no_trouble() -> None:
    seen = view(FLEET, shown(aggregator("a0"), aggregator("a1", routers=200), router("v0"), router("v1")))
    assert [(row.name, row.zone, row.summary.routers) for row in seen.aggregators] == [
        ("a0", "north", 300),
        ("a1", "north", 200),
    ]
    assert [one.name for one in seen.direct] == ["v0", "v1"]
    assert seen.routers == 502
    assert seen.trouble == ()


def test_a_fleet_without_aggregators_has_routers_alone() -> None:
    fleet = Fleet(name="game", voters=FLEET.voters, lease=LEASE)
    seen = view(fleet, shown(router("v0"), router("r1"), router("r2", left=0.0, heard=60.0)))
    assert (seen.aggregators, seen.routers, seen.trouble) == ((), 2, ())
    assert [one.name for one in seen.direct] == ["v0", "r1", "r2"]


def test_aggregators_without_a_lease_or_a_link_are_in_trouble() -> None:
    found = complaints(view(FLEET, shown(aggregator("a0", left=0.0, heard=12.0))))
    assert found == [
        "a0: has no lease; last heard of 12.0 s ago",
        "a1: has no lease: no request of it has come",
    ]
    quiet = view(FLEET, shown(aggregator("a0", left=3.0, heard=6.0), aggregator("a1")))
    assert complaints(quiet) == ["a0: has not been heard of for 6.0 s; its lease ends in 3.0 s"]
    assert quiet.routers == 600


def test_an_aggregator_without_a_lease_counts_no_routers() -> None:
    seen = view(FLEET, shown(aggregator("a0", left=0.0, heard=12.0), aggregator("a1")))
    assert seen.routers == 300
    assert seen.aggregators[0].summary.routers == 0


def test_a_restarted_aggregator_is_one_row_and_its_earlier_lease_is_told() -> None:
    old, new = aggregator("a0", 1, left=5.0, heard=4.0), aggregator("a0", 2, routers=7)
    for holders in ((old, new), (new, old)):
        seen = view(FLEET, shown(*holders, aggregator("a1")))
        assert [(row.name, row.summary.routers) for row in seen.aggregators] == [("a0", 7), ("a1", 300)]
        assert complaints(seen) == ["a0: was restarted; the lease of its earlier process ends in 5.0 s"]


def test_whom_a_change_waits_for() -> None:
    slowest = ("r17 has not answered for 4.0 s; its lease ends in 2.0 s",)
    seen = view(
        FLEET,
        shown(
            aggregator("a0", waiting=1, slowest=slowest),
            aggregator("a1", refused=2),
            router("v0", verdict=("$.limits.clients: 5000 clients",)),
            router("v1", verdict=()),
            state=CHANGING,
        ),
    )
    assert complaints(seen) == [
        "a0: 1 of its routers have not answered change 3-abc",
        "a0: r17 has not answered for 4.0 s; its lease ends in 2.0 s",
        "a1: 2 of its routers refuse change 3-abc",
        "v0: refuses change 3-abc: $.limits.clients: 5000 clients",
    ]


def test_direct_routers_in_trouble() -> None:
    holders = (
        router("v0"),
        router("v1", verdict=(), heard=7.0, left=2.0),
        router("gone", left=0.0, heard=99.0),
    )
    seen = view(FLEET, shown(aggregator("a0"), aggregator("a1"), *holders, state=CHANGING))
    assert complaints(seen) == [
        "v0: has not answered change 3-abc",
        "v1: has not been heard of for 7.0 s; its lease ends in 2.0 s",
    ]


def test_trouble_of_voters_comes_first() -> None:
    told = shown(aggregator("a0"), trouble=(Trouble("v1", "no link"),))
    assert complaints(view(FLEET, told)) == ["v1: no link", "a1: has no lease: no request of it has come"]


def test_an_aggregator_that_the_file_does_not_name() -> None:
    seen = view(FLEET, shown(aggregator("a0"), aggregator("a1"), aggregator("a9")))
    assert [row.name for row in seen.aggregators] == ["a0", "a1", "a9"]
    assert complaints(seen) == ["a9: is not in the fleet table of this file"]


def test_a_voter_and_an_aggregator_of_one_name_are_told_apart() -> None:
    fleet = msgspec.structs.replace(
        FLEET, aggregators={"v0": Aggregator(address="10.0.1.1:7100", zone="north"), **FLEET.aggregators}
    )
    told = shown(router("v0"), aggregator("v0", routers=5), aggregator("a0"), aggregator("a1"))
    seen = view(fleet, told)
    assert [(row.name, row.summary.routers) for row in seen.aggregators] == [
        ("v0", 5),
        ("a0", 300),
        ("a1", 300),
    ]
    assert [one.name for one in seen.direct] == ["v0"] and seen.trouble == ()


def test_aggregators_that_were_asked() -> None:
    told = shown(aggregator("a0"), aggregator("a1"))
    trouble = (Trouble("v1", "no link"), Trouble("a0", "no lease of a majority of voters"))
    own = Shown(STATE, "a0", "aggregator", {}, (router("r1"), router("r2")), trouble)
    seen = view(FLEET, told, {"a0": own, "a1": NoAnswer("no answer in time")})
    assert seen.aggregators[0].routers == own.holders and seen.aggregators[1].routers is None
    assert complaints(seen) == [
        "a0: v1: no link",
        "a0: no lease of a majority of voters",
        "a1: can't be asked for its routers: no answer in time",
    ]


# ---- the command


def write(folder: Path, voters: dict[str, str], aggregators: dict[str, str] | None = None) -> Path:
    """A router's file of this fleet."""
    fleet: dict[str, Any] = {"name": "game", "voters": voters, "lease": LEASE}
    if aggregators:
        fleet["zone"] = "north"
        fleet["aggregators"] = {
            name: {"address": address, "zone": "north"} for name, address in aggregators.items()
        }
    path = folder / "router.json"
    path.write_text(json.dumps({**json.loads(evaluate(EXAMPLE)), "name": "r1", "fleet": fleet}))
    return path


def says(*answers: Message) -> Any:
    """The same answers to every message."""
    return lambda message: list(answers)


def run(*arguments: str) -> Any:
    return CliRunner(env={"COLUMNS": "200"}).invoke(app, list(arguments))


def test_tiers_are_shown_in_counts(tmp_path: Path) -> None:
    told = shown(aggregator("a0", waiting=2), aggregator("a1", routers=41), router("v0", ()), state=CHANGING)
    with fake_members(v0=says(told)) as members:
        path = write(
            tmp_path,
            {"v0": members["v0"].address},
            {"a0": "127.0.0.1:9000", "a1": "127.0.0.1:9001"},
        )
        result = run("fleet", "--config", str(path))
    assert result.exit_code == 0
    lines = [
        " ".join(line.replace("│", " ").replace("┃", " ").split()) for line in result.stdout.splitlines()
    ]
    assert lines[0].startswith("fleet game: epoch 1, policy ") and lines[0].endswith("change 3-abc checking")
    for line in (
        "voter as v0 sees it (voting)",
        "v0 linked",
        "aggregator zone epoch routers waiting refused heard lease ends in",
        "a0 north 1 300 2 0 1.0 s ago 8.0 s",
        "a1 north 1 41 0 0 1.0 s ago 8.0 s",
        "router incarnation epoch heard lease ends in",
        "v0 1 1 1.0 s ago 8.0 s",
        "342 routers hold a lease",
        "in trouble: a0: 2 of its routers have not answered change 3-abc",
    ):
        assert line in lines, lines
    hello = members["v0"].heard[0]
    assert isinstance(hello, Hello) and hello.role is Role.OPERATOR and hello.version == VERSION


def test_json_keeps_its_keys_and_has_more(tmp_path: Path) -> None:
    told = shown(aggregator("a0"), router("v0"), trouble=(Trouble("v1", "no link"),))
    with fake_members(v0=says(told)) as members:
        path = write(tmp_path, {"v0": members["v0"].address}, {"a0": "127.0.0.1:9000"})
        result = run("fleet", "--config", str(path), "--json")
    assert result.exit_code == 0
    found = json.loads(result.stdout)
    assert (found["state"]["version"], found["voter"], found["standing"]) == (3, "v0", "voting")
    assert found["voters"] == {"v0": True, "v1": True}
    assert found["holders"][1] == {
        "name": "v0",
        "incarnation": 1,
        "epoch": 1,
        "verdict": None,
        "heard": 1.0,
        "left": 8.0,
        "summary": None,
    }
    assert found["holders"][0]["summary"]["routers"] == 300
    assert found["trouble"] == [{"who": "v1", "what": "no link"}]
    assert (found["routers"], found["direct"], found["routers_of"]) == (301, ["v0"], {})
    assert found["aggregators"] == [
        {
            "name": "a0",
            "zone": "north",
            "machine": "",
            "incarnation": 1,
            "epoch": 1,
            "heard": 1.0,
            "left": 8.0,
            "routers": 300,
            "waiting": 0,
            "refused": 0,
            "slowest": [],
        }
    ]


def test_routers_are_listed_by_asking_each_aggregator(tmp_path: Path) -> None:
    told = shown(aggregator("a0", routers=1), aggregator("a1"))
    own = Shown(STATE, "a0", "aggregator", {}, (router("r1"),), ())
    gone = free_address()
    with fake_members(v0=says(told), a0=says(own)) as members:
        path = write(tmp_path, {"v0": members["v0"].address}, {"a0": members["a0"].address, "a1": gone})
        as_json = run("fleet", "--config", str(path), "--routers", "--json")
        table = run("fleet", "--config", str(path), "--routers")
        assert Show() in members["a0"].heard
    assert (as_json.exit_code, table.exit_code) == (0, 0)
    found = json.loads(as_json.stdout)
    assert list(found["routers_of"]) == ["a0"]
    assert [one["name"] for one in found["routers_of"]["a0"]] == ["r1"]
    assert [one["who"] for one in found["trouble"]] == ["a1"]
    assert found["trouble"][0]["what"].startswith("can't be asked for its routers: ")
    assert "routers of a0" in table.stdout and "r1" in table.stdout
    assert "in trouble: a1: can't be asked for its routers: " in table.stdout


def test_thousands_of_direct_routers_are_counted(tmp_path: Path) -> None:
    told = shown(*(router(f"r{number}") for number in range(2000)))
    with fake_members(v0=says(told)) as members:
        path = write(tmp_path, {"v0": members["v0"].address})
        short = run("fleet", "--config", str(path))
        whole = run("fleet", "--config", str(path), "--routers")
    assert "r39 " in short.stdout and "r40 " not in short.stdout
    assert f"and {2000 - MAX_DIRECT_ROUTER_ROWS} more: --routers" in short.stdout
    assert "2000 routers hold a lease" in short.stdout
    assert "r1999 " in whole.stdout and "more: --routers" not in whole.stdout


def test_members_that_never_answer_cost_bounded_time() -> None:
    silent = [FakeMember(f"a{number}", says(), silent=True) for number in range(3)]
    try:
        addresses = {f"a{number}": member.address for number, member in enumerate(silent)}
        assert anyio.run(show_each, addresses, "game", 0.2) == {
            name: NoAnswer("no answer in time") for name in addresses
        }
    finally:
        for member in silent:
            member.close()


def test_no_voter_answers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "SHOW_TIMEOUT_S", 0.5)
    path = write(tmp_path, {"v0": free_address()})
    for command in (["fleet"], ["policy", "show"], ["policy", "history"]):
        result = run(*command, "--config", str(path))
        assert result.exit_code == 3 and result.stderr.startswith("no voter answers: v0: ")


def test_a_voter_without_the_state_is_passed_over(tmp_path: Path) -> None:
    with fake_members(v0=says(shown(state=None)), v1=says(shown())) as members:
        path = write(tmp_path, {name: member.address for name, member in members.items()})
        result = run("policy", "show", "--config", str(path))
    assert result.exit_code == 0 and json.loads(result.stdout)["epoch"] == STATE.epoch


def test_no_voter_has_the_state_yet(tmp_path: Path) -> None:
    with fake_members(v0=says(shown(state=None)), v1=says(shown(state=None))) as members:
        path = write(tmp_path, {name: member.address for name, member in members.items()})
        result = run("policy", "show", "--config", str(path))
    assert (result.exit_code, result.stderr) == (3, "this fleet has no policy yet\n")


def test_a_voter_that_turns_the_tool_away_says_why(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "SHOW_TIMEOUT_S", 0.5)
    member = FakeMember("v0", says(), greeting=Bye("version 2 of the fleet's messages, here it is 1", True))
    try:
        result = run("fleet", "--config", str(write(tmp_path, {"v0": member.address})))
    finally:
        member.close()
    assert result.exit_code == 3
    assert "v0: version 2 of the fleet's messages, here it is 1" in result.stderr


def test_a_file_without_a_fleet(tmp_path: Path) -> None:
    result = run("fleet", "--config", str(EXAMPLE))
    assert (result.exit_code, result.stderr) == (2, f"{EXAMPLE}: $.fleet: this file has no fleet\n")


# ---- changes


def policy_file(folder: Path) -> Path:
    content = json.loads(evaluate(EXAMPLE))
    kept = ("classes", "routes", "default_read", "default_write")
    path = folder / "policy.json"
    path.write_text(json.dumps({key: content[key] for key in kept if key in content}))
    return path


def ended(result: Result, *reasons: str) -> Ended:
    return Ended(Outcome("3-abc", 2, result, reasons))


@pytest.mark.parametrize(
    ("answer", "code", "out", "errors"),
    [
        (ended(Result.IN_FORCE), 0, "in force (epoch 2)\n", ""),
        (ended(Result.ABORTED, "r7: $.x: no"), 1, "aborted (epoch 2)\n", "  r7: $.x: no\n"),
        (
            NotProposed("3-abc", "change 3-ab is under way", True),
            4,
            "",
            "not made: change 3-ab is under way\n",
        ),
    ],
    ids=["in-force", "aborted", "not-made"],
)
def test_how_a_change_ends(tmp_path: Path, answer: Message, code: int, out: str, errors: str) -> None:
    waiting = ("r17 has not answered for 1.0 s", "r18 has not answered for 1.0 s")
    progress = [
        Progress("3-abc", "checking", waiting),
        Progress("3-abc", "checking", waiting),
        Progress("3-abc", "agreed", ()),
    ]

    def reply(message: Message) -> list[Message]:
        return [*progress, answer] if isinstance(message, Set) else [shown()]

    with fake_members(v0=reply) as members:
        path = write(tmp_path, {"v0": members["v0"].address})
        result = run("policy", "set", str(policy_file(tmp_path)), "--config", str(path))
        asked = [one for one in members["v0"].heard if isinstance(one, Set)]
    assert (result.exit_code, result.stdout) == (code, out)
    assert result.stderr.endswith("checking: r17 has not answered for 1.0 s (and 1 more)\nagreed\n" + errors)
    assert [(one.change.partition("-")[0], one.patience, one.dry) for one in asked] == [
        ("3", 2 * LEASE, False)
    ]


def test_a_voter_that_does_not_vote_is_passed_over(tmp_path: Path) -> None:
    resting = NotProposed("3-abc", "voter v0 does not vote: it waits for v1", True)
    with fake_members(v0=says(resting), v1=says(ended(Result.FINE))) as members:
        path = write(tmp_path, {name: member.address for name, member in members.items()})
        arguments = (
            "policy",
            "set",
            str(policy_file(tmp_path)),
            "--config",
            str(path),
            "--id",
            "3-abc",
            "--json",
        )
        result = run(*arguments)
    assert result.exit_code == 0 and json.loads(result.stdout)["result"] == "fine"
