"""Measures processor time and memory of real `banklift router` processes that get no requests.

Three routers are voters, and two `banklift aggregator` processes run beside them. The three members are emulated in the
process of the benchmark. What a router uses is thus its control and the links to members that it keeps while idle.
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
from banklift.rig.capacity_results import IdleRouters
from banklift.rig.hollow_fleet import free_addresses

FLEET_NAME, ZONE = "real", "zone"
VOTERS, AGGREGATORS = 3, 2  # processes
START_TIMEOUT = 90.0  # seconds until all processes listen
PARALLEL_STARTS = 16  # processes that start at the same time, at the most
SETTLE_TIME = 1.5 * plan.LEASE_SECONDS  # seconds until every router holds a lease and renewals are spread out
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")  # unit of processor time in /proc
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")  # unit of memory in /proc


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What one process has used since its start."""

    cpu: float  # processor seconds
    resident: int  # bytes in memory now
    own: int  # bytes of these that are not shared with files


def process_usage(pid: int) -> ProcessUsage:
    """What the process has used, from /proc. Errors: `OSError` if there is no such process."""
    # fields after the command's name in parentheses: 11 and 12 are the ticks in user and in kernel mode
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    resident, shared = (int(field) for field in Path(f"/proc/{pid}/statm").read_text().split()[1:3])
    return ProcessUsage(
        (int(stat[11]) + int(stat[12])) / TICKS_A_SECOND,
        resident * PAGE_BYTES,
        (resident - shared) * PAGE_BYTES,
    )


class RealFleet:
    """The processes of voters, aggregators and routers. Made by `real_fleet`.

    Their configurations, logs and state are files in `folder`; `stand` emulates the members.
    """

    def __init__(self, folder: Path, stand: Stand) -> None:
        self.folder = folder
        self.stand = stand
        addresses = free_addresses(VOTERS + AGGREGATORS)
        self.voters = {f"voter{number}": addresses[number] for number in range(VOTERS)}
        self.aggregators = {
            f"aggregator{number}": addresses[VOTERS + number] for number in range(AGGREGATORS)
        }
        self.processes: dict[str, Process] = {}

    def _write_config(self, name: str) -> Path:
        """Write the configuration file of one process and return its path."""
        table: dict[str, Any] = {
            "name": FLEET_NAME,
            "voters": self.voters,
            "lease": plan.LEASE_SECONDS,
            "sub_lease": plan.SUB_LEASE_SECONDS,
            "folder": f"{name}.state",
            "zone": ZONE,
            "aggregators": {
                aggregator: {"address": address, "zone": ZONE}
                for aggregator, address in self.aggregators.items()
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
        """Start the processes of these names, `PARALLEL_STARTS` at a time, and wait until each listens.

        Errors: `TimeoutError`; `anyio.EndOfStream`, in a group, if a process ends by itself.
        """
        limit = anyio.Semaphore(PARALLEL_STARTS)

        async def start_limited(name: str) -> None:
            async with limit:
                await self._start_process(name)

        with anyio.fail_after(START_TIMEOUT):
            async with anyio.create_task_group() as tasks:
                for name in names:
                    tasks.start_soon(start_limited, name)

    async def _start_process(self, name: str) -> None:
        command = "aggregator" if name in self.aggregators else "router"
        with (self.folder / f"{name}.log").open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", command, "--config", str(self._write_config(name))],
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self.processes[name] = process
        assert process.stdout is not None
        await process.stdout.receive()  # its only line, which it writes once it listens

    def routers(self) -> list[str]:
        """Names of the routers that were started, without the voters."""
        return [name for name in self.processes if name not in self.aggregators and name not in self.voters]

    def usage(self) -> dict[str, ProcessUsage]:
        """What each process has used, by name. Errors: `OSError` if one has ended."""
        return {name: process_usage(process.pid) for name, process in self.processes.items()}

    async def close(self) -> None:
        """Kill all processes and wait for their end."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
            await process.aclose()


@asynccontextmanager
async def real_fleet(folder: Path) -> AsyncIterator[RealFleet]:
    """A fleet whose voters and aggregators listen. All processes end with the block. Errors: as `RealFleet.start`."""
    async with anyio.create_task_group() as tasks:
        stand = Stand(site.parsed_config(), SocketEnv(tasks))
        fleet = RealFleet(folder, stand)
        try:
            await fleet.start([*fleet.voters, *fleet.aggregators])
            yield fleet
        finally:
            with anyio.CancelScope(shield=True):
                await fleet.close()
            tasks.cancel_scope.cancel()


async def measure_idle_routers(fleet: RealFleet, routers: int, seconds: float) -> IdleRouters:
    """Start routers until there are so many, then measure them for so many seconds without requests.

    Errors: as `RealFleet.start` and `RealFleet.usage`.
    """
    running = len(fleet.routers())
    await fleet.start([f"router{number}" for number in range(running, routers)])
    await anyio.sleep(SETTLE_TIME)
    names = fleet.routers()
    first, begin = fleet.usage(), time.monotonic()
    await anyio.sleep(seconds)
    last, elapsed = fleet.usage(), time.monotonic() - begin
    return IdleRouters(
        len(names),
        VOTERS,
        elapsed,
        sum(last[name].cpu - first[name].cpu for name in names) / elapsed / len(names),
        sum(last[name].resident for name in names) / len(names),
        sum(last[name].own for name in names) / len(names),
    )
