"""Plays of the rig for tests: processes that come up, clients that ask all routers, and a verdict at the end."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio

from banklift.net.sockets import SocketEnv
from banklift.rig.judge import Verdict, judge
from banklift.rig.processes import Rig

TIMES = 10.0  # of the usual deadlines: no machine is too slow for them
Act = Callable[[Rig], Awaitable[None]]


def play(
    folder: Path,
    names: list[str],
    voters: int,
    act: Act,
    lease: float = 3.0,
    aggregators: Sequence[str] = (),
) -> Verdict:
    """Start everything, let clients ask all routers, act, and judge what was seen. The first `voters` of the names are
    voters; `lease` is in seconds."""

    async def main() -> Verdict:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks, time.monotonic)
            rig = Rig(env, folder, names, voters, lease, times=TIMES, aggregators=aggregators)
            try:
                async with anyio.create_task_group() as starts:
                    for name in (*names[:voters], *aggregators, *names[voters:]):
                        starts.start_soon(rig.start, name)
                rig.ask()
                await rig.serves(*names)
                await act(rig)
                await rig.quiet()
                rig.trace.write(folder / "trace.jsonl")
                return judge(rig.trace.entries)
            finally:
                with anyio.CancelScope(shield=True):
                    await rig.close()
                tasks.cancel_scope.cancel()
        raise AssertionError("the day has not ended")

    return anyio.run(main, backend_options={"use_uvloop": True})
