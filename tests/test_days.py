"""Each kind of fault of the bench has a day that causes it: the day's symptoms show, and no rule is broken."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from banklift.config.load import ConfigError
from banklift.judge.day import DAYS_FOLDER, load_day, play_virtual
from banklift.judge.rules import judge
from banklift.judge.symptoms import symptoms
from banklift.judge.trace import Entry

FAULT_DAYS = (
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
LEAST_SERVED = {"give_up": 0.75, "deploy": 0.85}  # least share of the requests asked; 0.95 on other days


def test_each_kind_of_fault_has_a_day() -> None:
    assert len(FAULT_DAYS) == 19
    assert {path.stem for path in DAYS_FOLDER.glob("*.jsonnet")} == {*FAULT_DAYS, "short"}


@pytest.mark.parametrize("name", FAULT_DAYS)
def test_day_shows_its_symptoms_and_breaks_no_rule(name: str) -> None:
    day, config = load_day(name)
    entries: list[Entry] = []
    head = play_virtual(day, config, 2, 1, entries.append)
    entries.sort(key=lambda entry: entry.t)
    verdict = judge(head, entries)
    assert not verdict.violations
    figures = symptoms(head, entries)
    assert {
        name: figures.get(name, 0) for name, least in day.shows.items() if figures.get(name, 0) < least
    } == {}
    assert day.shows
    asked = sum(tally.asked for tally in verdict.tallies.values())
    assert sum(tally.served for tally in verdict.tallies.values()) >= LEAST_SERVED.get(name, 0.95) * asked


@pytest.mark.parametrize("name", FAULT_DAYS)
def test_symptoms_do_not_show_on_a_day_without_faults(name: str) -> None:
    """Guards against a symptom that shows without the fault too, and so proves nothing."""
    day, _ = load_day(name)
    assert any(figures_without_faults().get(symptom, 0) < least for symptom, least in day.shows.items())


_FIGURES_WITHOUT_FAULTS: dict[str, float] = {}


def figures_without_faults() -> dict[str, float]:
    """The symptoms of a day without any orders, computed once."""
    if not _FIGURES_WITHOUT_FAULTS:
        day, config = load_day("slow")
        entries: list[Entry] = []
        head = play_virtual(msgspec.structs.replace(day, troubles=[]), config, 2, 1, entries.append)
        _FIGURES_WITHOUT_FAULTS.update(symptoms(head, sorted(entries, key=lambda entry: entry.t)))
    return _FIGURES_WITHOUT_FAULTS


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
def test_invalid_day_file_is_refused_with_path_and_place(tmp_path: Path, text: str, reason: str) -> None:
    path = tmp_path / "bad.jsonnet"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load_day(str(path))
    assert str(caught.value).startswith(str(path)) and reason in str(caught.value)


def test_unknown_day_is_refused_with_the_known_names() -> None:
    with pytest.raises(ConfigError, match=r"there are: .*hang"):
        load_day("nonsense")
