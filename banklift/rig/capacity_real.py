"""Real `banklift router` processes at rest, as many as the machine takes: processor time and memory of one.

Three of them are voters, two aggregators run beside them, and three stand-ins are the members. Nothing is asked of
them, so what they use is control and the links to members that an idle router keeps.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import Process

from banklift.emulator.stand import Stand
from banklift.net.sockets import SocketEnv
from banklift.rig import capacity_plan as plan
from banklift.rig import site
from banklift.rig.capacity_results import RealRouter
from banklift.rig.hollow_fleet import free_addresses

FLEET, ZONE = "real", "zone"
VOTERS, AGGREGATORS = 3, 2
UP_TIME = 90.0  # seconds in which the processes listen
AT_ONCE = 16  # processes that start side by side
SETTLE = 1.5 * plan.LEASE  # seconds until leases are held and renewals spread
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class Used:
    """By one process up to now: processor seconds; bytes resident, and of these not shared with files."""

    cpu: float
    resident: int
    own: int


def used(pid: int) -> Used:
    """Errors: `OSError` if there is no such process."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    resident, shared = (int(field) for field in Path(f"/proc/{pid}/statm").read_text().split()[1:3])
    return Used((int(stat[11]) + int(stat[12])) / TICKS, resident * PAGE, (resident - shared) * PAGE)


class RealFleet:
    """Made by `real_fleet`."""

    def __init__(self, folder: Path, stand: Stand) -> None:
        self.folder, self.stand = folder, stand
        addresses = free_addresses(VOTERS + AGGREGATORS)
        self.voters = {f"voter{number}": addresses[number] for number in range(VOTERS)}
        self.aggregators = {
            f"aggregator{number}": addresses[VOTERS + number] for number in range(AGGREGATORS)
        }
        self.processes: dict[str, Process] = {}

    def _file(self, name: str) -> Path:
        table: dict[str, Any] = {
            "name": FLEET,
            "voters": self.voters,
            "lease": plan.LEASE,
            "sub_lease": plan.SUB_LEASE,
            "folder": f"{name}.state",
            "zone": ZONE,
            "aggregators": {
                one: {"address": address, "zone": ZONE} for one, address in self.aggregators.items()
            },
        }
        content: dict[str, Any] = {"name": name, "fleet": table}
        if name not in self.aggregators:
            content = {
                **site.config(),
                **content,
                "listen": "127.0.0.1:0",
                "groups": msgspec.to_builtins(self.stand.groups()),
            }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    async def start(self, names: Sequence[str]) -> None:
        """Start these, some at a time, and wait until each listens. Errors: `TimeoutError`, `anyio.EndOfStream`."""
        limit = anyio.Semaphore(AT_ONCE)

        async def one(name: str) -> None:
            async with limit:
                await self._start(name)

        with anyio.fail_after(UP_TIME):
            async with anyio.create_task_group() as tasks:
                for name in names:
                    tasks.start_soon(one, name)

    async def _start(self, name: str) -> None:
        command = "aggregator" if name in self.aggregators else "router"
        with (self.folder / f"{name}.log").open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", command, "--config", str(self._file(name))],
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.processes[name] = process
        assert process.stdout is not None
        await process.stdout.receive()  # its one line: it listens

    def routers(self) -> list[str]:
        return [name for name in self.processes if name not in self.aggregators and name not in self.voters]

    def used(self) -> dict[str, Used]:
        return {name: used(process.pid) for name, process in self.processes.items()}

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
            await process.aclose()


@asynccontextmanager
async def real_fleet(folder: Path) -> AsyncIterator[RealFleet]:
    """Voters and aggregators that are up; all processes end with the block."""
    async with anyio.create_task_group() as tasks:
        stand = Stand(site.site(), SocketEnv(tasks))
        fleet = RealFleet(folder, stand)
        try:
            await fleet.start([*fleet.voters, *fleet.aggregators])
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
            tasks.cancel_scope.cancel()


async def real_rest(fleet: RealFleet, routers: int, seconds: float) -> RealRouter:
    """Let the fleet grow to so many routers, then watch it at rest."""
    before = len(fleet.routers())
    await fleet.start([f"router{number}" for number in range(before, routers)])
    await anyio.sleep(SETTLE)
    names = fleet.routers()
    first, begin = fleet.used(), time.monotonic()
    await anyio.sleep(seconds)
    last, spent = fleet.used(), time.monotonic() - begin
    return RealRouter(
        len(names),
        VOTERS,
        spent,
        sum(last[name].cpu - first[name].cpu for name in names) / spent / len(names),
        sum(last[name].resident for name in names) / len(names),
        sum(last[name].own for name in names) / len(names),
    )
