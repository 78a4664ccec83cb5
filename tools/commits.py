"""Whether commits say what they change: a title under 90 characters, and a body with cause, change and result.

    python3 tools/commits.py FILE     # one message, as `git commit` hands it to githooks/commit-msg
    python3 tools/commits.py          # every commit since this check came, so whatever is not yet on main

Needs nothing but git and the standard library: it runs before anything is set up. Exit codes: 0 fine, 1 a message is
refused, 2 the file or the history can't be read.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

TITLE = 90  # characters that a title has to stay under
SINCE = "59677c713f79af9b4a4f0566ef86c15219133362"  # the last commit before this check came
SCISSORS = "# ------------------------ >8 ------------------------"


def faults(message: str) -> list[str]:
    """What is wrong with a commit's message; lines that git would leave out don't count."""
    text = message.split(SCISSORS)[0]
    lines = [line.rstrip() for line in text.splitlines() if not line.startswith("#")]
    while lines and not lines[0]:
        lines.pop(0)
    if not lines:
        return ["the message is empty"]
    title, rest, found = lines[0], lines[1:], []
    if len(title) >= TITLE:
        found.append(f"the title has {len(title)} characters; under {TITLE} are wanted")
    if rest and rest[0]:
        found.append("the line under the title is not empty")
    if not any(line.strip() for line in rest):
        found.append("there is no body: cause or need, change, measured result")
    return found


def git(*arguments: str) -> str:
    """Errors: `subprocess.CalledProcessError`, `OSError`."""
    return subprocess.run(["git", *arguments], capture_output=True, text=True, check=True).stdout


def history(since: str) -> list[tuple[str, str]]:
    """Commits after `since` that are no merges: short name and message. Errors: as `git`."""
    out = git("log", "--no-merges", "--format=%h%x00%B%x01", f"{since}..HEAD")
    pairs = (entry.strip("\n").split("\0", 1) for entry in out.split("\x01") if entry.strip())
    return [(name, message) for name, message in pairs]


def main(arguments: list[str]) -> int:
    try:
        if arguments:
            messages = [(arguments[0], Path(arguments[0]).read_text(encoding="utf-8", errors="replace"))]
        elif subprocess.run(["git", "cat-file", "-e", f"{SINCE}^{{commit}}"], capture_output=True).returncode:
            print(f"commits: {SINCE[:7]} is not in this history (a shallow clone?); no message was looked at")
            return 0
        else:
            messages = history(SINCE)
    except (OSError, subprocess.CalledProcessError) as error:
        print(f"commits: {error}", file=sys.stderr)
        return 2
    bad = 0
    for name, message in messages:
        for fault in faults(message):
            bad += 1
            print(f"commits: {name}: {fault}", file=sys.stderr)
    if not arguments:
        print(f"commits: {len(messages)} messages looked at, {bad} faults")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
