"""Each kind of trouble that the bench names has a day of ours that causes it: its symptom shows, the rules are kept."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from banklift.config.load import ConfigError
from banklift.judge.day import DAYS, load_day, play_virtual
from banklift.judge.rules import judge
from banklift.judge.symptoms import symptoms
from banklift.judge.trace import Entry

KINDS = (
    "ageing",
    "balancer_roll",
    "balancer_stall",
    "conn_squeeze",
    "crash",
    "deploy",
    "discovery_stale",
    "false_reports",
    "fast_errors",
    "flapping",
    "give_up",
    "grow",
    "handshake_slow",
    "hang",
    "heavy_tail",
    "one_sided",
    "preempt",
    "replica_lag",
    "slow",
)
SERVED = {"give_up": 0.75, "deploy": 0.85}  # least share of what was asked; elsewhere 0.95


def test_every_kind_has_a_day() -> None:
    assert len(KINDS) == 19
    assert {path.stem for path in DAYS.glob("*.jsonnet")} == {*KINDS, "short"}


@pytest.mark.parametrize("name", KINDS)
def test_a_day_shows_its_trouble_and_keeps_the_rules(name: str) -> None:
    day, config = load_day(name)
    entries: list[Entry] = []
    head = play_virtual(day, config, 2, 1, entries.append)
    entries.sort(key=lambda entry: entry.t)
    verdict = judge(head, entries)
    assert not verdict.breaks
    seen = symptoms(head, entries)
    assert {name: seen.get(name, 0) for name, least in day.shows.items() if seen.get(name, 0) < least} == {}
    assert day.shows
    asked = sum(tally.asked for tally in verdict.tallies.values())
    assert sum(tally.served for tally in verdict.tallies.values()) >= SERVED.get(name, 0.95) * asked


@pytest.mark.parametrize("name", KINDS)
def test_a_quiet_day_shows_no_trouble(name: str) -> None:
    """A symptom that a quiet day shows too would prove nothing."""
    day, _ = load_day(name)
    assert any(quiet().get(symptom, 0) < least for symptom, least in day.shows.items())


_QUIET: dict[str, float] = {}


def quiet() -> dict[str, float]:
    if not _QUIET:
        day, config = load_day("slow")
        entries: list[Entry] = []
        head = play_virtual(msgspec.structs.replace(day, troubles=[]), config, 2, 1, entries.append)
        _QUIET.update(symptoms(head, sorted(entries, key=lambda entry: entry.t)))
    return _QUIET


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "bad.jsonnet"),
        ("{ title: 'x' }", "$: Object missing required field `seconds`"),
        ("import '../secret'", "outside the folder of the file"),
        (
            "{ title: 'x', seconds: 1, rate: 1, requests: [], troubles: [{ at: 1, do: 'dance' }] }",
            "$.troubles[0].do: 'dance' is none of hang",
        ),
        (
            "{ title: 'x', seconds: 1, rate: 1, requests: [{ kind: 'q', share: 1, key: 'a' }] }",
            "$.requests[0].kind: no class is named 'q'",
        ),
        (
            "{ title: 'x', seconds: 1, rate: 1, requests: [{ kind: 'q', share: 0, key: 'a' }] }",
            "$.requests[0].share: Expected `float` > 0.0",
        ),
    ],
)
def test_a_bad_day_is_refused_with_its_place(tmp_path: Path, text: str, reason: str) -> None:
    path = tmp_path / "bad.jsonnet"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_day(str(path))
    assert str(caught.value).startswith(str(path)) and reason in str(caught.value)


def test_an_unknown_day_names_those_there_are() -> None:
    with pytest.raises(ConfigError, match=r"there are: .*hang"):
        load_day("nonsense")
