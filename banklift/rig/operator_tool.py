"""The `banklift` command as an operator runs it: `policy set` and `fleet` in processes of their own, and what they
printed."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TypeVar

import anyio
import msgspec

Printed = TypeVar("Printed")
UNKNOWN = "unknown"  # result of a change whose outcome no voter reported in time
NOT_MADE = "not made"  # result of a change that was not proposed, for example because another one came first
EXIT_UNKNOWN = 3  # exit code of a command that no voter answered in time
UNKNOWN_TRIES = 20  # retries of `policy set` while the outcome is unknown


class ToolRun(msgspec.Struct, frozen=True):
    """The end of a command: its exit code, and the text on standard output and on standard error."""

    code: int
    output: str
    errors: str


class ToolFailed(Exception):
    """A command that was to print JSON ended without it."""

    def __init__(self, run: ToolRun) -> None:
        super().__init__(f"exit {run.code}: {run.errors}")
        self.run = run


class PolicyAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What `banklift policy set` reported of a change.

    `result`: as printed; `UNKNOWN` also where no voter reported its version, so that nothing was proposed. `id`: of the
    change; empty in that case. `code` and `errors`: the exit code and the text on standard error.
    """

    result: str
    id: str = ""
    reasons: tuple[str, ...] = ()
    code: int = 0
    errors: str = ""


class ReportedState(msgspec.Struct, frozen=True):
    """The part of the fleet's state that scenarios compare."""

    version: int
    epoch: int


class ReportedHolder(msgspec.Struct, frozen=True):
    """A holder of a lease."""

    name: str


class FleetReport(msgspec.Struct, frozen=True):
    """What `banklift fleet` printed, as far as scenarios read it."""

    state: ReportedState
    holders: tuple[ReportedHolder, ...]


async def run_tool(*arguments: str) -> ToolRun:
    """Run the `banklift` command with these arguments until it ends."""
    done = await anyio.run_process([sys.executable, "-m", "banklift", *arguments], check=False)
    return ToolRun(done.returncode, done.stdout.decode(), done.stderr.decode())


async def show_fleet(config: Path) -> FleetReport:
    """Run `banklift fleet` with the configuration of a router. Errors: `ToolFailed`."""
    run = await run_tool("fleet", "--config", str(config), "--json")
    return _decode(run, FleetReport)


async def set_policy(policy: Path, config: Path, *more: str, retry_unknown: bool = False) -> PolicyAnswer:
    """Run `banklift policy set` with the configuration of a router.

    `more`: further arguments. `retry_unknown`: ask again by the same id while the outcome is unknown, up to
    `UNKNOWN_TRIES` times. Errors: `ToolFailed` where the file or an argument is refused.
    """
    answer = await _set_policy_once(policy, config, *more)
    for _ in range(UNKNOWN_TRIES if retry_unknown else 0):
        if answer.result != UNKNOWN:
            break
        # no id if no voter had reported its version, so that nothing was proposed yet
        same_change = ("--id", answer.id) if answer.id else ()
        answer = await _set_policy_once(policy, config, *more, *same_change)
    return answer


async def _set_policy_once(policy: Path, config: Path, *more: str) -> PolicyAnswer:
    """As `set_policy`, without a retry."""
    run = await run_tool("policy", "set", str(policy), "--config", str(config), "--json", *more)
    if run.code == EXIT_UNKNOWN and not run.output.strip():
        return PolicyAnswer(result=UNKNOWN, code=run.code, errors=run.errors)
    answer = _decode(run, PolicyAnswer)
    return msgspec.structs.replace(answer, code=run.code, errors=run.errors)


def _decode(run: ToolRun, printed: type[Printed]) -> Printed:
    """The JSON that a command printed. Errors: `ToolFailed` if it printed none that fits."""
    try:
        return msgspec.json.decode(run.output, type=printed)
    except msgspec.DecodeError:
        raise ToolFailed(run) from None
