"""Checks commit messages: a title under 90 characters, an empty line, and a body with cause, change and result.

    python3 tools/commits.py FILE     # one message, as `git commit` hands it to githooks/commit-msg
    python3 tools/commits.py          # every commit since this check was introduced

Needs only git and the standard library, as it runs before the environment is set up. Exit codes: 0 all messages pass,
1 a message is refused, 2 the file or the history cannot be read.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

TITLE_LIMIT = 90  # characters; a title has to be shorter
BASE_COMMIT = "59677c713f79af9b4a4f0566ef86c15219133362"  # the last commit before this check was introduced
# Git leaves this line, and all below it, out of a message.
SCISSORS = "# ------------------------ >8 ------------------------"


def message_problems(message: str) -> list[str]:
    """List the faults of a commit message. Lines that Git leaves out, comments for example, are ignored."""
    text = message.split(SCISSORS)[0]
    lines = [line.rstrip() for line in text.splitlines() if not line.startswith("#")]
    while lines and not lines[0]:
        lines.pop(0)
    if not lines:
        return ["the message is empty"]
    title = lines[0]
    rest = lines[1:]
    problems = []
    if len(title) >= TITLE_LIMIT:
        problems.append(f"the title has {len(title)} characters; under {TITLE_LIMIT} are wanted")
    if rest and rest[0]:
        problems.append("the line under the title is not empty")
    if not any(line.strip() for line in rest):
        problems.append("there is no body: cause or need, change, measured result")
    return problems


def git(*arguments: str) -> str:
    """Return the standard output of a git command.

    Errors: `subprocess.CalledProcessError` if it fails, `OSError` if git can't be started.
    """
    return subprocess.run(["git", *arguments], capture_output=True, text=True, check=True).stdout


def history(since: str) -> list[tuple[str, str]]:
    """Abbreviated hash and message of each commit after `since`, without merges. Errors: as `git`."""
    output = git("log", "--no-merges", "--format=%h%x00%B%x01", f"{since}..HEAD")
    pairs = (entry.strip("\n").split("\0", 1) for entry in output.split("\x01") if entry.strip())
    return [(name, message) for name, message in pairs]


def main(arguments: list[str]) -> int:
    """Check the file that is named, or the history; print the faults. Returns the exit code."""
    try:
        if arguments:
            messages = [(arguments[0], Path(arguments[0]).read_text(encoding="utf-8", errors="replace"))]
        elif subprocess.run(
            ["git", "cat-file", "-e", f"{BASE_COMMIT}^{{commit}}"], capture_output=True
        ).returncode:
            print(
                f"commits: {BASE_COMMIT[:7]} is not in this history (a shallow clone?); no message was looked at"
            )
            return 0
        else:
            messages = history(BASE_COMMIT)
    except (OSError, subprocess.CalledProcessError) as error:
        print(f"commits: {error}", file=sys.stderr)
        return 2
    fault_count = 0
    for name, message in messages:
        for fault in message_problems(message):
            fault_count += 1
            print(f"commits: {name}: {fault}", file=sys.stderr)
    if not arguments:
        print(f"commits: {len(messages)} messages looked at, {fault_count} faults")
    return 1 if fault_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
