"""KNOWN-RED.txt: what it excuses, and what it never does."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import BadList, Red, check, parse, read

HERE = Path(__file__).parent
LINE = "tests/test_some.py::test_fails | a fault | 12"


def run(folder: Path, lines: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """A run of pytest over two tests, one of which fails."""
    (folder / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(HERE / name, folder / "tests" / name)
    (folder / "tests" / "test_some.py").write_text(
        "def test_fails():\n    assert 1 == 2\n\n\ndef test_passes():\n    assert 1 == 1\n"
    )
    (folder / "KNOWN-RED.txt").write_text(lines)
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            "--rootdir",
            str(folder),
            *(arguments or ("tests",)),
        ],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
def test_a_listed_failure_is_expected_and_printed(tmp_path: Path, workers: tuple[str, ...]) -> None:
    ended = run(tmp_path, "# heading\n" + LINE + "\n", "tests", *workers)
    assert ended.returncode == 0, ended.stdout
    assert "1 passed, 1 xfailed" in ended.stdout
    assert "known red: tests/test_some.py::test_fails | a fault | issue 12" in ended.stdout


def test_nothing_listed_excuses_nothing(tmp_path: Path) -> None:
    ended = run(tmp_path, "# heading\n")
    assert ended.returncode == 1 and "1 failed, 1 passed" in ended.stdout and "known red" not in ended.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    ended = run(tmp_path, LINE.replace("test_fails", "test_passes"))
    assert ended.returncode == 1 and "2 failed" in ended.stdout


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ("tests/test_some.py::test_fails | a fault", "line 1: `test id | cause | issue` is needed"),
        (LINE.replace("test_fails", "test_gone"), "line 1: there is no test tests/test_some.py::test_gone"),
    ],
)
def test_a_wrong_line_fails_the_run(
    tmp_path: Path, lines: str, reason: str, workers: tuple[str, ...]
) -> None:
    ended = run(tmp_path, lines, "tests", *workers)
    assert ended.returncode not in (0, 5) and reason in ended.stdout + ended.stderr


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("# heading\n\nnonsense", "line 3: `test id"),
        ("a | b | c | 5", "line 1: `test id"),
        ("tests/test_some.py::test_a |  | 5", "line 1: `test id"),
        ("test_a | b | 5", "line 1: no test id: 'test_a'"),
        ("tests/test_some.py::test_a | b | soon", "line 1: the issue's number is needed, not 'soon'"),
        (LINE + "\n" + LINE, "line 2: tests/test_some.py::test_fails stands there twice"),
        ("\n".join(LINE.replace("fails", str(place)) for place in range(4)), "line 4: more than 3 tests"),
    ],
)
def test_a_malformed_list_is_refused_with_its_line(text: str, reason: str) -> None:
    with pytest.raises(BadList, match="^KNOWN-RED.txt, " + reason.replace("|", r"\|")):
        parse(text)


def test_a_line_without_parameters_names_all_of_them_and_no_other() -> None:
    red = Red(1, "tests/test_some.py::test_a", "a fault", 12)
    assert red.names("tests/test_some.py::test_a") and red.names("tests/test_some.py::test_a[x]")
    assert not red.names("tests/test_some.py::test_ab")


def test_a_run_of_part_of_the_tests_holds_no_other_line_against_it(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_some.py").touch()
    reds = parse(LINE)
    check(reds, ["tests/test_other.py::test_b"], tmp_path, ["tests/test_other.py"])
    check(reds, ["tests/test_some.py::test_b"], tmp_path, ["tests/test_some.py::test_b"])
    with pytest.raises(BadList):
        check(reds, ["tests/test_some.py::test_b"], tmp_path, ["tests"])
    with pytest.raises(BadList, match="there is no test"):
        check(parse(LINE.replace("some", "none")), ["tests/test_some.py::test_b"], tmp_path, ["tests"])


def test_the_list_of_this_repository_can_be_read() -> None:
    assert len(read(HERE.parent / "KNOWN-RED.txt")) <= 3
