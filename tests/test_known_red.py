"""KNOWN-RED.txt: which failures it allows, and which faults of the list fail the run."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import InvalidListError, KnownFailure, check, parse, read

HERE = Path(__file__).parent
LINE = "tests/test_some.py::test_fails | a fault | 12"


def run(folder: Path, lines: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run pytest over two tests, one of which fails, with `lines` as the list."""
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
def test_a_listed_failure_passes_the_run_and_is_printed(tmp_path: Path, workers: tuple[str, ...]) -> None:
    finished = run(tmp_path, "# heading\n" + LINE + "\n", "tests", *workers)
    assert finished.returncode == 0, finished.stdout
    assert "1 passed, 1 xfailed" in finished.stdout
    assert "known red: tests/test_some.py::test_fails | a fault | issue 12" in finished.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    finished = run(tmp_path, "# heading\n")
    assert (
        finished.returncode == 1
        and "1 failed, 1 passed" in finished.stdout
        and "known red" not in finished.stdout
    )


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    finished = run(tmp_path, LINE.replace("test_fails", "test_passes"))
    assert finished.returncode == 1 and "2 failed" in finished.stdout


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ("tests/test_some.py::test_fails | a fault", "line 1: `test id | cause | issue` is needed"),
        (LINE.replace("test_fails", "test_gone"), "line 1: there is no test tests/test_some.py::test_gone"),
    ],
)
def test_a_line_that_is_malformed_or_names_no_test_fails_the_run(
    tmp_path: Path, lines: str, reason: str, workers: tuple[str, ...]
) -> None:
    finished = run(tmp_path, lines, "tests", *workers)
    assert finished.returncode not in (0, 5) and reason in finished.stdout + finished.stderr


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("# heading\n\nnonsense", "line 3: `test id"),
        ("a | b | c | 5", "line 1: `test id"),
        ("tests/test_some.py::test_a |  | 5", "line 1: `test id"),
        ("test_a | b | 5", "line 1: not a test id: 'test_a'"),
        ("tests/test_some.py::test_a | b | soon", "line 1: the issue must be a number, not 'soon'"),
        (LINE + "\n" + LINE, "line 2: tests/test_some.py::test_fails is listed twice"),
        ("\n".join(LINE.replace("fails", str(number)) for number in range(4)), "line 4: more than 3 tests"),
    ],
)
def test_the_error_for_a_malformed_list_names_the_line(text: str, reason: str) -> None:
    with pytest.raises(InvalidListError, match="^KNOWN-RED.txt, " + reason.replace("|", r"\|")):
        parse(text)


def test_a_line_without_parameters_matches_all_parameters_of_its_test_only() -> None:
    known = KnownFailure(1, "tests/test_some.py::test_a", "a fault", 12)
    assert known.matches("tests/test_some.py::test_a") and known.matches("tests/test_some.py::test_a[x]")
    assert not known.matches("tests/test_some.py::test_ab")


def test_a_run_of_some_tests_accepts_lines_for_the_others(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_some.py").touch()
    known_failures = parse(LINE)
    check(known_failures, ["tests/test_other.py::test_b"], tmp_path, ["tests/test_other.py"])
    check(known_failures, ["tests/test_some.py::test_b"], tmp_path, ["tests/test_some.py::test_b"])
    with pytest.raises(InvalidListError):
        check(known_failures, ["tests/test_some.py::test_b"], tmp_path, ["tests"])
    with pytest.raises(InvalidListError, match="there is no test"):
        check(parse(LINE.replace("some", "none")), ["tests/test_some.py::test_b"], tmp_path, ["tests"])


def test_the_list_of_this_repository_can_be_read() -> None:
    assert len(read(HERE.parent / "KNOWN-RED.txt")) <= 3
