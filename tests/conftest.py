"""The same verdict every time: generated cases are drawn from a fixed seed. KNOWN-RED.txt is held here."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

from tests import known_red

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def _reds() -> list[known_red.Red]:
    try:
        return known_red.read(KNOWN_RED)
    except known_red.BadList as error:
        raise pytest.UsageError(str(error)) from None


def pytest_configure(config: pytest.Config) -> None:
    _reds()


class WrongLine(pytest.Item):
    """Stands among the tests and fails, where a line names no test; also where several workers share the tests."""

    fault = ""

    def runtest(self) -> None:
        raise known_red.BadList(self.fault)

    def reportinfo(self) -> tuple[Path, int, str]:
        return KNOWN_RED, 0, KNOWN_RED.name


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = _reds()
    if not items:
        return
    try:
        known_red.check(reds, [item.nodeid for item in items], ROOT, config.args)
    except known_red.BadList as error:
        wrong = WrongLine.from_parent(items[0].session, name=KNOWN_RED.name)
        wrong.fault = str(error)
        items.append(wrong)
    for item in items:
        for red in reds:
            if red.names(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} (issue {red.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for red in _reds():
        terminalreporter.write_line(f"known red: {red.test} | {red.cause} | issue {red.issue}")
