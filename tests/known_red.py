"""Reads KNOWN-RED.txt, the list of tests that are expected to fail, each with its cause and its issue.

A line has the form `test id | cause | issue`. The test id is that of pytest (`tests/test_x.py::test_y`); without
parameters it stands for all parameters of the test. The run fails if a listed test passes, if a line can't be read or
names no test, and if there are more than `MAX_KNOWN_FAILURES` lines.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MAX_KNOWN_FAILURES = 3


class InvalidListError(Exception):
    """KNOWN-RED.txt can't be used; the text names the line and what is wrong with it."""


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list."""

    line: int  # number of the line, from 1
    test: str  # test id
    cause: str
    issue: int  # number of the issue

    def matches(self, test: str) -> bool:
        """Whether the line stands for the test with this id. A line without parameters stands for all of them."""
        return test == self.test or test.startswith(self.test + "[")


def parse(text: str) -> list[KnownFailure]:
    """Parse the content of the list. Errors: `InvalidListError`."""
    known_failures: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        place = f"KNOWN-RED.txt, line {number}: "
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise InvalidListError(place + "`test id | cause | issue` is needed")
        test, cause, issue = fields
        if not re.fullmatch(r"tests/\w+\.py::\w.*", test):
            raise InvalidListError(place + f"not a test id: {test!r}")
        if not re.fullmatch(r"#?[0-9]+", issue):
            raise InvalidListError(place + f"the issue must be a number, not {issue!r}")
        if any(known.test == test for known in known_failures):
            raise InvalidListError(place + f"{test} is listed twice")
        known_failures.append(KnownFailure(number, test, cause, int(issue.lstrip("#"))))
    if len(known_failures) > MAX_KNOWN_FAILURES:
        raise InvalidListError(
            f"KNOWN-RED.txt, line {known_failures[MAX_KNOWN_FAILURES].line}: "
            f"more than {MAX_KNOWN_FAILURES} tests"
        )
    return known_failures


def read(path: Path) -> list[KnownFailure]:
    """Read the list; a file that does not exist lists no test. Errors: `InvalidListError`."""
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def check(
    known_failures: Iterable[KnownFailure], tests: Iterable[str], root: Path, arguments: Iterable[str]
) -> None:
    """Check that each line stands for a test that exists.

    `tests`: ids of the collected tests. `root`: the folder of the project. `arguments`: files and test ids that the
    run was started with. If a run collects only a part of the tests, a line for one of the others is checked for its
    file only.

    Errors: `InvalidListError` for the first line without a test.
    """
    collected = list(tests)
    collected_files = {test.partition("::")[0] for test in collected}
    partial_files = {argument.partition("::")[0] for argument in arguments if "::" in argument}
    for known in known_failures:
        file = known.test.partition("::")[0]
        # A run of other files, or of single tests of this file, need not have collected the test. Arguments may be
        # paths from any folder, so only the file names are compared.
        may_be_uncollected = file not in collected_files or any(
            Path(partial).name == Path(file).name for partial in partial_files
        )
        if not (root / file).exists() or (
            not may_be_uncollected and not any(known.matches(test) for test in collected)
        ):
            raise InvalidListError(f"KNOWN-RED.txt, line {known.line}: there is no test {known.test}")
