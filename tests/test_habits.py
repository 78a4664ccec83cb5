"""Rules of the repository: commit messages have a title and a body, and each benchmark program starts."""

from __future__ import annotations

import importlib.util
import shutil
import subprocess
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
BENCHMARKS = sorted(ROOT.joinpath("benchmarks").glob("*.py"))


def load_commits_tool() -> ModuleType:
    """Import tools/commits.py, which is not part of a package."""
    spec = importlib.util.spec_from_file_location("commits", ROOT / "tools/commits.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


commits = load_commits_tool()


@pytest.mark.parametrize(
    ("message", "fault"),
    [
        ("T" * 89 + "\n\nBody.\n", None),
        ("T" * 90 + "\n\nBody.\n", "90 characters"),
        ("Title\n", "no body"),
        ("Title\n\n# a comment of git's\n", "no body"),
        ("Title\n\n" + commits.SCISSORS + "\ndiff --git a b\n", "no body"),
        ("Title\nBody at once\n", "not empty"),
        ("\n\n# nothing\n", "empty"),
        ("Title\n\nBody: three words here.\n", None),
    ],
)
def test_a_message_with_a_faulty_title_or_body_is_reported(message: str, fault: str | None) -> None:
    found = commits.message_problems(message)
    assert bool(found) == (fault is not None)
    assert fault is None or fault in found[0]


def test_the_hook_refuses_a_faulty_commit_and_the_tool_checks_the_history(tmp_path: Path) -> None:
    def git(*arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            ["git", "-c", "user.name=a", "-c", "user.email=a@b", *arguments],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            check=False,
        )

    git("init", "-q")
    for name in ("tools", "githooks"):
        shutil.copytree(ROOT / name, tmp_path / name)
    git("config", "core.hooksPath", "githooks")
    refused = git("commit", "-q", "--allow-empty", "-m", "T" * 95)
    assert refused.returncode == 1
    assert "95 characters" in refused.stderr and "no body" in refused.stderr
    assert git("rev-parse", "HEAD").returncode != 0  # nothing was committed
    assert git("commit", "-q", "--allow-empty", "-m", "First", "-m", "Its body.").returncode == 0
    first = git("rev-parse", "HEAD").stdout.strip()
    assert git("commit", "-q", "--allow-empty", "--no-verify", "-m", "Second").returncode == 0
    tool = tmp_path / "tools/commits.py"
    for since, code in ((first, 1), (git("rev-parse", "HEAD").stdout.strip(), 0)):
        tool.write_text(tool.read_text().replace(commits.BASE_COMMIT, since).replace(first, since))
        checked = subprocess.run(
            [sys.executable, tool], cwd=tmp_path, capture_output=True, text=True, check=False
        )
        assert checked.returncode == code
        assert checked.stdout.startswith(f"commits: {code} messages looked at, {code} faults")


def test_the_benchmark_programs_are_found() -> None:
    assert len(BENCHMARKS) >= 8


@pytest.mark.parametrize("path", BENCHMARKS, ids=lambda path: path.stem)
def test_a_benchmark_prints_its_usage_and_hides_no_standard_module(path: Path) -> None:
    """Python searches the folder of a script first, so a script named like a standard module would hide it."""
    assert path.stem not in sys.stdlib_module_names
    shown = subprocess.run(
        [sys.executable, path, "--help"], capture_output=True, text=True, timeout=120, check=False
    )
    assert shown.returncode == 0, shown.stderr
    assert shown.stdout.startswith("usage: ")
