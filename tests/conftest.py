"""Settings of all tests.

Generated test cases come from a fixed seed, so that one commit gets the same result in each run. The tests listed in
KNOWN-RED.txt are marked as expected failures, and each run prints them.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings

from tests import known_red

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def _known_failures() -> list[known_red.KnownFailure]:
    """The list. Errors: `pytest.UsageError` if it can't be read."""
    try:
        return known_red.read(KNOWN_RED)
    except known_red.InvalidListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_configure(config: pytest.Config) -> None:
    """Refuse to start if the list can't be read."""
    _known_failures()


class InvalidListItem(pytest.Item):
    """A test that always fails, added to the collected ones if a line of the list names no test.

    As it runs like any other test, it also fails a run whose tests are shared between several workers.
    """

    message = ""

    def runtest(self) -> None:
        raise known_red.InvalidListError(self.message)

    def reportinfo(self) -> tuple[Path, int, str]:
        return KNOWN_RED, 0, KNOWN_RED.name


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the known failures as strictly expected, and add a failing test if a line names no test."""
    known_failures = _known_failures()
    if not items:
        return
    try:
        known_red.check(known_failures, [item.nodeid for item in items], ROOT, config.args)
    except known_red.InvalidListError as error:
        invalid = InvalidListItem.from_parent(items[0].session, name=KNOWN_RED.name)
        invalid.message = str(error)
        items.append(invalid)
    for item in items:
        for known in known_failures:
            if known.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{known.cause} (issue {known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failures at the end of each run."""
    for known in _known_failures():
        terminalreporter.write_line(f"known red: {known.test} | {known.cause} | issue {known.issue}")
