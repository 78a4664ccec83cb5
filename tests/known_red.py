"""KNOWN-RED.txt: the tests that may fail, each with its cause and its issue.

A line names one test as pytest does (`tests/test_x.py::test_y`, with its parameters or without). A test that is listed
and passes fails the run, so does a line that can't be read, one that names no test, and a fourth line.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MOST = 3


class BadList(Exception):
    """KNOWN-RED.txt can't be used; the text names line and fault."""


@dataclass(frozen=True)
class Red:
    line: int
    test: str
    cause: str
    issue: int

    def names(self, test: str) -> bool:
        """Whether it names that test; without parameters it names all of them."""
        return test == self.test or test.startswith(self.test + "[")


def parse(text: str) -> list[Red]:
    """Errors: `BadList`."""
    reds: list[Red] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        place = f"KNOWN-RED.txt, line {number}: "
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise BadList(place + "`test id | cause | issue` is needed")
        test, cause, issue = fields
        if not re.fullmatch(r"tests/\w+\.py::\w.*", test):
            raise BadList(place + f"no test id: {test!r}")
        if not re.fullmatch(r"#?[0-9]+", issue):
            raise BadList(place + f"the issue's number is needed, not {issue!r}")
        if any(red.test == test for red in reds):
            raise BadList(place + f"{test} stands there twice")
        reds.append(Red(number, test, cause, int(issue.lstrip("#"))))
    if len(reds) > MOST:
        raise BadList(f"KNOWN-RED.txt, line {reds[MOST].line}: more than {MOST} tests")
    return reds


def read(path: Path) -> list[Red]:
    """An absent file lists none. Errors: `BadList`."""
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def check(reds: Iterable[Red], tests: Iterable[str], root: Path, chosen: Iterable[str]) -> None:
    """`tests`: those collected; `chosen`: what the run was asked for, as on the command line. A line whose file was not
    collected is not held against it, unless there is no such file. Errors: `BadList`."""
    names = list(tests)
    files = {name.partition("::")[0] for name in names}
    single = {argument.partition("::")[0] for argument in chosen if "::" in argument}
    for red in reds:
        file = red.test.partition("::")[0]
        known = file not in files or any(Path(one).name == Path(file).name for one in single)
        if not (root / file).exists() or (not known and not any(red.names(name) for name in names)):
            raise BadList(f"KNOWN-RED.txt, line {red.line}: there is no test {red.test}")
