"""The adapter: every event in, every action out, and malformed input."""

import ast
import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from banklift import Cancel, Fail, Fetch, Log, Probe, Refuse, Send, SetTimer, Watch
from banklift.adapter import ENCODERS, Host, WireError, main

INFO: dict[str, Any] = {
    "allowed": {"max_attempts": 6, "may_cancel": True, "probing": True, "new_key": 1},
    "balancers": 1,
    "family_info": {
        "base_time_s": 5.0,
        "behind": "off",
        "class_read": ["update", "loose"],
        "role_in_list": "initial",
        "staleness_bound_s": [0.0, 0.0],
        "stamps": True,
        "token_mode": "client",
    },
    "membership_mode": "subscribe",
    "rules": {
        "ask_within_s": 10.0,
        "cold_share": 0.2,
        "cold_s": 18.0,
        "drain_grace_s": 1.0,
        "fall_multiple": 3.0,
        "fall_s": 3.0,
    },
    "services": [
        {"aim_s": 1.0, "deadline_s": 2.0, "name": "save", "points": 6.0, "semantics": "fragile"},
        {"aim_s": 0.5, "deadline_s": 2.0, "name": "look", "points": 1.0, "semantics": "retryable"},
    ],
}
ENTRIES = [[1, "a:1", None, 0, "in_service", "std", 1, "z"], [1, "b:1", 6.1, 0, "in_service", "std", 0, "z"]]
START: list[list[Any]] = [
    ["begin", 3, 17, INFO],
    ["manifest", 0, ENTRIES],
    ["backends_changed", 3, 0, "disk", 1],
]


def reply(host: Host, now: float, *events: list[Any]) -> list[list[Any]]:
    """Send a batch of events; return the actions."""
    decisions = json.loads(host.answer(json.dumps({"at_time_s": now, "input": events})))["decisions"]
    assert isinstance(decisions, list)
    return decisions


def test_every_event_is_processed() -> None:
    host = Host()
    assert ["track", 3, True] in reply(host, 100.0, *START)
    reply(host, 100.1, ["check_result", 3, 0, "a:1", 0.001, {"x0": 95.05, "x1": 1}])
    sent = reply(host, 100.1, ["submit", 3, 7, "save", None, 12, 102.0, None, 0, None, 4])
    assert [action[:4] for action in sent if action[0] == "assign"] == [["assign", 3, 7, "a:1"]]
    reply(
        host,
        100.2,
        ["result", 3, 7, 0, True, "a:1", 0.1, 0, 4 * 95_150 + 1, None],
        ["check_result", 3, 0, "b:1", 0.001, {"x0": 95.1, "x1": 0, "backlog": 3, "unheard_of": 9}],
        ["reminder", 3, 999],
        ["lapsed", 3, 7],
        ["opened", 3, 7, "a:1", 0, 0.1],
        ["peer_data", 3, 2, "00"],
        ["backends_changed", 3, 0, "error", 1],
    )
    assert host.balancers[3].members["a:1"].position == pytest.approx(5.0 + 95.15)
    assert host.balancers[3].members["b:1"].position == pytest.approx(5.0 + 95.1)
    reply(host, 100.3, ["shutdown", 3])
    assert not host.balancers


def test_a_restart_gets_a_fresh_balancer() -> None:
    host = Host()
    reply(host, 100.0, *START)
    first = host.balancers[3]
    reply(host, 101.0, ["shutdown", 3], *START)
    assert host.balancers[3] is not first


def test_every_action_has_its_form_on_the_wire() -> None:
    actions = [
        Send(1, "a:1", 0.5),
        Refuse(1, 0.2),
        Fail(1),
        Cancel(1, 0),
        Probe("a:1"),
        SetTimer(0.1, 4),
        Watch(),
        Fetch(),
        Log("hello"),
    ]
    assert [ENCODERS[type(action)](3, action) for action in actions] == [
        ["assign", 3, 1, "a:1", 0.5],
        ["busy", 3, 1, 0.2],
        ["abort", 3, 1],
        ["stop_attempt", 3, 1, 0],
        ["sound_out", 3, "a:1"],
        ["wake_at", 3, 0.1, 4],
        ["track", 3, True],
        ["query_all", 3],
        ["remark", 3, "hello"],
    ]


def test_a_failing_balancer_is_reported_as_an_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host()
    reply(host, 100.0, *START)
    monkeypatch.setattr(host.balancers[3], "handle", lambda now, event: 1 / 0)
    assert reply(host, 100.1, ["reminder", 3, 1]) == [["exception", 3, "ZeroDivisionError: division by zero"]]


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        ("{", "not JSON"),
        ("[]", "a batch is"),
        ('{"at_time_s":"x","input":[]}', "at_time_s"),
        ('{"at_time_s":1,"input":[["what",3]]}', "unknown event"),
        ('{"at_time_s":1,"input":[["lapsed",3]]}', "values are needed"),
        ('{"at_time_s":1,"input":[["lapsed",3,1]]}', "has not begun"),
        ('{"at_time_s":1,"input":[["begin",3,1,{}]]}', "classes"),
        ('{"at_time_s":1,"input":[["manifest",0,[[1,"a:1",null,0,"odd","k",1,"z"]]]]}', "manifest state"),
    ],
)
def test_malformed_lines_end_with_a_plain_message(
    line: str, fault: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(WireError, match=fault):
        Host().answer(line)
    assert main(io.StringIO(line + "\n"), io.StringIO()) == 2
    assert fault in capsys.readouterr().err


def test_the_adapter_needs_nothing_else() -> None:
    """It starts with nothing installed but the standard library."""
    code = (
        "import sys, banklift.adapter; "
        "print([name for name in sys.modules if name.startswith('banklift.') or name in ('anyio', 'msgspec')])"
    )
    found = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parent.parent,
    ).stdout
    assert sorted(ast.literal_eval(found)) == [
        "banklift.adapter",
        "banklift.balance",
        "banklift.interface",
        "banklift.reasons",
    ]
