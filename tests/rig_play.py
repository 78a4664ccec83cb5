"""Runs one test scenario on the rig: starts the processes and clients, runs the scenario, and judges the trace."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio

from banklift.net.sockets import SocketEnv
from banklift.rig.judge import Verdict, judge
from banklift.rig.processes import Rig

TIME_FACTOR = 10.0  # multiplies the site's deadlines, so that slow machines keep them
Scenario = Callable[[Rig], Awaitable[None]]


def play(
    folder: Path,
    names: list[str],
    voter_count: int,
    scenario: Scenario,
    lease: float = 3.0,
    aggregators: Sequence[str] = (),
) -> Verdict:
    """Start all processes and a client of each router, run the scenario, and judge the trace.

    `names`: of all routers; the first `voter_count` of them are the voters. `lease`: in seconds. The trace is also
    written to trace.jsonl in `folder`.
    """

    async def main() -> Verdict:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks, time.monotonic)
            rig = Rig(
                env, folder, names, voter_count, lease, time_factor=TIME_FACTOR, aggregators=aggregators
            )
            try:
                async with anyio.create_task_group() as starts:
                    for name in (*names[:voter_count], *aggregators, *names[voter_count:]):
                        starts.start_soon(rig.start, name)
                rig.start_clients()
                await rig.wait_until_serving(*names)
                await scenario(rig)
                await rig.finish_clients()
                rig.trace.write(folder / "trace.jsonl")
                return judge(rig.trace.entries)
            finally:
                with anyio.CancelScope(shield=True):
                    await rig.close()
                tasks.cancel_scope.cancel()
        raise AssertionError("the scenario has not ended")

    return anyio.run(main, backend_options={"use_uvloop": True})
