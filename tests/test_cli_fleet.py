"""Output and exit codes of `banklift fleet` and `banklift policy`, with fake members that send scripted answers."""

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
    PROTOCOL_VERSION,
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
from tests.fake_members import FakeGrantor, fake_grantors, free_address

LEASE = 9.0  # seconds
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


def trouble_lines(fleet_view: FleetView) -> list[str]:
    return [f"{trouble.who}: {trouble.what}" for trouble in fleet_view.trouble]


# ---- the view that is computed


def test_fleet_at_rest_shows_no_trouble() -> None:
    fleet_view = view(
        FLEET, shown(aggregator("a0"), aggregator("a1", routers=200), router("v0"), router("v1"))
    )
    assert [(row.name, row.zone, row.summary.routers) for row in fleet_view.aggregators] == [
        ("a0", "north", 300),
        ("a1", "north", 200),
    ]
    assert [holder.name for holder in fleet_view.direct] == ["v0", "v1"]
    assert fleet_view.routers == 502
    assert fleet_view.trouble == ()


def test_fleet_without_aggregators_shows_only_direct_routers() -> None:
    fleet = Fleet(name="game", voters=FLEET.voters, lease=LEASE)
    fleet_view = view(fleet, shown(router("v0"), router("r1"), router("r2", left=0.0, heard=60.0)))
    assert (fleet_view.aggregators, fleet_view.routers, fleet_view.trouble) == ((), 2, ())
    assert [holder.name for holder in fleet_view.direct] == ["v0", "r1", "r2"]


def test_aggregator_without_lease_or_recent_request_is_reported() -> None:
    lines = trouble_lines(view(FLEET, shown(aggregator("a0", left=0.0, heard=12.0))))
    assert lines == [
        "a0: has no lease; last heard of 12.0 s ago",
        "a1: has no lease: no request of it has come",
    ]
    quiet = view(FLEET, shown(aggregator("a0", left=3.0, heard=6.0), aggregator("a1")))
    assert trouble_lines(quiet) == ["a0: has not been heard of for 6.0 s; its lease ends in 3.0 s"]
    assert quiet.routers == 600


def test_routers_of_aggregator_without_lease_are_not_counted() -> None:
    fleet_view = view(FLEET, shown(aggregator("a0", left=0.0, heard=12.0), aggregator("a1")))
    assert fleet_view.routers == 300
    assert fleet_view.aggregators[0].summary.routers == 0


def test_restarted_aggregator_has_one_row_and_its_earlier_lease_is_reported() -> None:
    old, new = aggregator("a0", 1, left=5.0, heard=4.0), aggregator("a0", 2, routers=7)
    for holders in ((old, new), (new, old)):
        fleet_view = view(FLEET, shown(*holders, aggregator("a1")))
        assert [(row.name, row.summary.routers) for row in fleet_view.aggregators] == [("a0", 7), ("a1", 300)]
        assert trouble_lines(fleet_view) == [
            "a0: was restarted; the lease of its earlier process ends in 5.0 s"
        ]


def test_members_that_delay_or_refuse_a_change_are_reported() -> None:
    slowest = ("r17 has not answered for 4.0 s; its lease ends in 2.0 s",)
    fleet_view = view(
        FLEET,
        shown(
            aggregator("a0", waiting=1, slowest=slowest),
            aggregator("a1", refused=2),
            router("v0", verdict=("$.limits.clients: 5000 clients",)),
            router("v1", verdict=()),
            state=CHANGING,
        ),
    )
    assert trouble_lines(fleet_view) == [
        "a0: 1 of its routers have not answered change 3-abc",
        "a0: r17 has not answered for 4.0 s; its lease ends in 2.0 s",
        "a1: 2 of its routers refuse change 3-abc",
        "v0: refuses change 3-abc: $.limits.clients: 5000 clients",
    ]


def test_direct_routers_that_are_silent_or_have_not_answered_are_reported() -> None:
    holders = (
        router("v0"),
        router("v1", verdict=(), heard=7.0, left=2.0),
        router("gone", left=0.0, heard=99.0),
    )
    fleet_view = view(FLEET, shown(aggregator("a0"), aggregator("a1"), *holders, state=CHANGING))
    assert trouble_lines(fleet_view) == [
        "v0: has not answered change 3-abc",
        "v1: has not been heard of for 7.0 s; its lease ends in 2.0 s",
    ]


def test_trouble_reported_by_the_voter_comes_first() -> None:
    voter_answer = shown(aggregator("a0"), trouble=(Trouble("v1", "no link"),))
    assert trouble_lines(view(FLEET, voter_answer)) == [
        "v1: no link",
        "a1: has no lease: no request of it has come",
    ]


def test_aggregator_missing_from_the_file_is_reported() -> None:
    fleet_view = view(FLEET, shown(aggregator("a0"), aggregator("a1"), aggregator("a9")))
    assert [row.name for row in fleet_view.aggregators] == ["a0", "a1", "a9"]
    assert trouble_lines(fleet_view) == ["a9: is not in the fleet table of this file"]


def test_voter_and_aggregator_with_the_same_name_are_distinguished() -> None:
    fleet = msgspec.structs.replace(
        FLEET, aggregators={"v0": Aggregator(address="10.0.1.1:7100", zone="north"), **FLEET.aggregators}
    )
    voter_answer = shown(router("v0"), aggregator("v0", routers=5), aggregator("a0"), aggregator("a1"))
    fleet_view = view(fleet, voter_answer)
    assert [(row.name, row.summary.routers) for row in fleet_view.aggregators] == [
        ("v0", 5),
        ("a0", 300),
        ("a1", 300),
    ]
    assert [holder.name for holder in fleet_view.direct] == ["v0"] and fleet_view.trouble == ()


def test_answers_of_aggregators_add_routers_and_trouble() -> None:
    voter_answer = shown(aggregator("a0"), aggregator("a1"))
    trouble = (Trouble("v1", "no link"), Trouble("a0", "no lease of a majority of voters"))
    aggregator_answer = Shown(STATE, "a0", "aggregator", {}, (router("r1"), router("r2")), trouble)
    fleet_view = view(FLEET, voter_answer, {"a0": aggregator_answer, "a1": NoAnswer("no answer in time")})
    assert (
        fleet_view.aggregators[0].routers == aggregator_answer.holders
        and fleet_view.aggregators[1].routers is None
    )
    assert trouble_lines(fleet_view) == [
        "a0: v1: no link",
        "a0: no lease of a majority of voters",
        "a1: can't be asked for its routers: no answer in time",
    ]


# ---- the command


def write(folder: Path, voters: dict[str, str], aggregators: dict[str, str] | None = None) -> Path:
    """Write a router's file of this fleet. `voters` and `aggregators`: addresses by name."""
    fleet: dict[str, Any] = {"name": "game", "voters": voters, "lease": LEASE}
    if aggregators:
        fleet["zone"] = "north"
        fleet["aggregators"] = {
            name: {"address": address, "zone": "north"} for name, address in aggregators.items()
        }
    path = folder / "router.json"
    path.write_text(json.dumps({**json.loads(evaluate(EXAMPLE)), "name": "r1", "fleet": fleet}))
    return path


def always_reply(*answers: Message) -> Any:
    """A reply function that gives the same answers to every message."""
    return lambda message: list(answers)


def run(*arguments: str) -> Any:
    """Run `banklift` with these arguments, on a terminal wide enough that no table is cut."""
    return CliRunner(env={"COLUMNS": "200"}).invoke(app, list(arguments))


def test_tables_show_voters_aggregators_and_router_counts(tmp_path: Path) -> None:
    voter_answer = shown(
        aggregator("a0", waiting=2), aggregator("a1", routers=41), router("v0", ()), state=CHANGING
    )
    with fake_grantors(v0=always_reply(voter_answer)) as members:
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
    hello = members["v0"].received[0]
    assert isinstance(hello, Hello) and hello.role is Role.OPERATOR and hello.version == PROTOCOL_VERSION


def test_json_output_has_the_expected_keys(tmp_path: Path) -> None:
    voter_answer = shown(aggregator("a0"), router("v0"), trouble=(Trouble("v1", "no link"),))
    with fake_grantors(v0=always_reply(voter_answer)) as members:
        path = write(tmp_path, {"v0": members["v0"].address}, {"a0": "127.0.0.1:9000"})
        result = run("fleet", "--config", str(path), "--json")
    assert result.exit_code == 0
    output = json.loads(result.stdout)
    assert (output["state"]["version"], output["voter"], output["standing"]) == (3, "v0", "voting")
    assert output["voters"] == {"v0": True, "v1": True}
    assert output["holders"][1] == {
        "name": "v0",
        "incarnation": 1,
        "epoch": 1,
        "verdict": None,
        "heard": 1.0,
        "left": 8.0,
        "summary": None,
    }
    assert output["holders"][0]["summary"]["routers"] == 300
    assert output["trouble"] == [{"who": "v1", "what": "no link"}]
    assert (output["routers"], output["direct"], output["routers_of"]) == (301, ["v0"], {})
    assert output["aggregators"] == [
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


def test_routers_option_lists_the_routers_of_each_aggregator(tmp_path: Path) -> None:
    voter_answer = shown(aggregator("a0", routers=1), aggregator("a1"))
    aggregator_answer = Shown(STATE, "a0", "aggregator", {}, (router("r1"),), ())
    gone = free_address()
    with fake_grantors(v0=always_reply(voter_answer), a0=always_reply(aggregator_answer)) as members:
        path = write(tmp_path, {"v0": members["v0"].address}, {"a0": members["a0"].address, "a1": gone})
        as_json = run("fleet", "--config", str(path), "--routers", "--json")
        table = run("fleet", "--config", str(path), "--routers")
        assert Show() in members["a0"].received
    assert (as_json.exit_code, table.exit_code) == (0, 0)
    output = json.loads(as_json.stdout)
    assert list(output["routers_of"]) == ["a0"]
    assert [holder["name"] for holder in output["routers_of"]["a0"]] == ["r1"]
    assert [trouble["who"] for trouble in output["trouble"]] == ["a1"]
    assert output["trouble"][0]["what"].startswith("can't be asked for its routers: ")
    assert "routers of a0" in table.stdout and "r1" in table.stdout
    assert "in trouble: a1: can't be asked for its routers: " in table.stdout


def test_long_list_of_direct_routers_is_cut_unless_all_are_requested(tmp_path: Path) -> None:
    voter_answer = shown(*(router(f"r{number}") for number in range(2000)))
    with fake_grantors(v0=always_reply(voter_answer)) as members:
        path = write(tmp_path, {"v0": members["v0"].address})
        short = run("fleet", "--config", str(path))
        whole = run("fleet", "--config", str(path), "--routers")
    assert "r39 " in short.stdout and "r40 " not in short.stdout
    assert f"and {2000 - MAX_DIRECT_ROUTER_ROWS} more: --routers" in short.stdout
    assert "2000 routers hold a lease" in short.stdout
    assert "r1999 " in whole.stdout and "more: --routers" not in whole.stdout


def test_request_to_members_that_never_answer_times_out() -> None:
    silent = [FakeGrantor(f"a{number}", always_reply(), silent=True) for number in range(3)]
    try:
        addresses = {f"a{number}": member.address for number, member in enumerate(silent)}
        assert anyio.run(show_each, addresses, "game", 0.2) == {
            name: NoAnswer("no answer in time") for name in addresses
        }
    finally:
        for member in silent:
            member.close()


def test_commands_exit_with_3_if_no_voter_answers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_client, "SHOW_TIMEOUT_SECONDS", 0.5)
    path = write(tmp_path, {"v0": free_address()})
    for command in (["fleet"], ["policy", "show"], ["policy", "history"]):
        result = run(*command, "--config", str(path))
        assert result.exit_code == 3 and result.stderr.startswith("no voter answers: v0: ")


def test_voter_without_the_state_is_skipped(tmp_path: Path) -> None:
    with fake_grantors(v0=always_reply(shown(state=None)), v1=always_reply(shown())) as members:
        path = write(tmp_path, {name: member.address for name, member in members.items()})
        result = run("policy", "show", "--config", str(path))
    assert result.exit_code == 0 and json.loads(result.stdout)["epoch"] == STATE.epoch


def test_policy_show_exits_with_3_if_no_voter_has_the_state(tmp_path: Path) -> None:
    with fake_grantors(v0=always_reply(shown(state=None)), v1=always_reply(shown(state=None))) as members:
        path = write(tmp_path, {name: member.address for name, member in members.items()})
        result = run("policy", "show", "--config", str(path))
    assert (result.exit_code, result.stderr) == (3, "this fleet has no policy yet\n")


def test_reason_of_a_voter_that_refuses_the_connection_is_printed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fleet_client, "SHOW_TIMEOUT_SECONDS", 0.5)
    member = FakeGrantor(
        "v0", always_reply(), greeting=Bye("version 2 of the fleet's messages, here it is 1", True)
    )
    try:
        result = run("fleet", "--config", str(write(tmp_path, {"v0": member.address})))
    finally:
        member.close()
    assert result.exit_code == 3
    assert "v0: version 2 of the fleet's messages, here it is 1" in result.stderr


def test_file_without_a_fleet_table_is_refused(tmp_path: Path) -> None:
    result = run("fleet", "--config", str(EXAMPLE))
    assert (result.exit_code, result.stderr) == (2, f"{EXAMPLE}: $.fleet: this file has no fleet\n")


# ---- changes


def policy_file(folder: Path) -> Path:
    """Write the policy of the example configuration."""
    content = json.loads(evaluate(EXAMPLE))
    policy_keys = ("classes", "routes", "default_read", "default_write")
    path = folder / "policy.json"
    path.write_text(json.dumps({key: content[key] for key in policy_keys if key in content}))
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
def test_policy_set_prints_progress_and_outcome(
    tmp_path: Path, answer: Message, code: int, out: str, errors: str
) -> None:
    waiting = ("r17 has not answered for 1.0 s", "r18 has not answered for 1.0 s")
    progress = [
        Progress("3-abc", "checking", waiting),
        Progress("3-abc", "checking", waiting),
        Progress("3-abc", "agreed", ()),
    ]

    def reply(message: Message) -> list[Message]:
        return [*progress, answer] if isinstance(message, Set) else [shown()]

    with fake_grantors(v0=reply) as members:
        path = write(tmp_path, {"v0": members["v0"].address})
        result = run("policy", "set", str(policy_file(tmp_path)), "--config", str(path))
        requests = [message for message in members["v0"].received if isinstance(message, Set)]
    assert (result.exit_code, result.stdout) == (code, out)
    assert result.stderr.endswith("checking: r17 has not answered for 1.0 s (and 1 more)\nagreed\n" + errors)
    assert [(request.change.partition("-")[0], request.patience, request.dry) for request in requests] == [
        ("3", 2 * LEASE, False)
    ]


def test_voter_that_does_not_vote_is_skipped(tmp_path: Path) -> None:
    not_voting = NotProposed("3-abc", "voter v0 does not vote: it waits for v1", True)
    with fake_grantors(v0=always_reply(not_voting), v1=always_reply(ended(Result.FINE))) as members:
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
