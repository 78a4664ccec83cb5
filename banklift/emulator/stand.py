"""A test stand: the members of a configuration as emulated servers, and routers in front of them.

`Stand` runs the members. `InProcessRouters` runs routers in this process, on the same `Env` as the members;
`RouterProcesses` runs each router as a process of its own.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import anyio
import msgspec
from anyio.abc import Process, TaskGroup

from banklift.config import build
from banklift.emulator.node import RespMember
from banklift.emulator.shell import MemberHost, Tap
from banklift.net.env import RouterEnv
from banklift.net.router import RouterHost
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group

ROSTER_DELAY_SECONDS = 0.1  # from a change of the roster until routers in this process get it
STOP_TIMEOUT_SECONDS = 5  # from SIGTERM to SIGKILL, for each router process
START_LOG_LENGTH = 2000  # characters of a router's log that the error of a failed start shows


class Stand:
    """Runs the members of a configuration on `env`, each as an emulated server at its address in the configuration.

    The replicas of a group follow the member that the configuration marks as primary. Random draws come from `seed`.
    `tap` records what the members do (see `MemberHost`). `command_seconds`: work of one command; `apply_seconds`: work
    of applying one replicated write. `numbered_keys`: keys carry numbers of requests (see `Store`).

    Errors: `OSError` if a member can't listen at its address.
    """

    def __init__(
        self,
        config: Config,
        env: RouterEnv,
        seed: int = 1,
        tap: Tap | None = None,
        command_seconds: float = 0.0005,
        apply_seconds: float = 0.0001,
        numbered_keys: bool = False,
    ) -> None:
        self.config = config
        self.env = env
        self.hosts: dict[str, MemberHost] = {}  # by name of the member
        # By name of the member: ready, draining or gone, as in a roster file.
        self.states: dict[str, str] = {}
        # By name of the member: its last restart, in seconds on the clock of `env`; absent if it never restarted.
        self.restarted_at: dict[str, float] = {}
        self.primaries: dict[str, str] = {}  # by name of the group: the name of its primary
        for group_index, group in enumerate(config.groups):
            for member_index, member in enumerate(group.members):
                resp_member = RespMember(
                    member.name,
                    seed * 1000 + group_index * 100 + member_index,  # a different seed for each member
                    command_seconds=command_seconds,
                    apply_seconds=apply_seconds,
                    numbered_keys=numbered_keys,
                )
                self.hosts[member.name] = MemberHost(env, resp_member, member.address, tap)
                self.states[member.name] = "ready"
            self.primaries[group.name] = self.first_primary(group)
        for group in config.groups:
            for member in group.members:
                if member.name != self.primaries[group.name]:
                    self.follow(member.name, self.primaries[group.name])

    @staticmethod
    def first_primary(group: Group) -> str:
        """The name of the member that is primary at the start: the marked one, or else the first."""
        return next((member.name for member in group.members if member.primary), group.members[0].name)

    def follow(self, name: str, primary: str) -> None:
        """Make member `name` a replica of member `primary`."""
        host = self.hosts[name]
        host.carry_out(host.member.follow(self.env.now(), self.hosts[primary].address))

    def groups(self, unix_epoch_at: float = 0.0) -> list[Group]:
        """The groups as a roster lists them, without members that are gone and with the roles of the start.

        `unix_epoch_at`: reading of the clock of `env` at the Unix epoch, in seconds.
        """
        groups = []
        for group in self.config.groups:
            members = [
                {
                    "name": member.name,
                    "address": self.hosts[member.name].address,
                    "primary": member.name == self.first_primary(group),
                    "state": self.states[member.name],
                    "started": None
                    if member.name not in self.restarted_at
                    else self.restarted_at[member.name] - unix_epoch_at,
                }
                for member in group.members
                if self.states[member.name] != "gone"
            ]
            groups.append(msgspec.convert({**msgspec.to_builtins(group), "members": members}, Group))
        return groups

    def describe(self) -> list[dict[str, Any]]:
        """Name, address, group and role of each member, as the command `stand` prints them."""
        return [
            {
                "member": member.name,
                "address": self.hosts[member.name].address,
                "group": group.name,
                "role": "primary" if member.name == self.primaries[group.name] else "replica",
            }
            for group in self.config.groups
            for member in group.members
        ]


class Routers(Protocol):
    """Routers in front of a stand, numbered from 0."""

    addresses: list[str]  # host:port at which each router listens for clients

    def publish_roster(self, stand: Stand) -> None:
        """Pass the roster of the stand to all routers, after a change of it."""

    def kill(self, number: int) -> None:
        """End a router as SIGKILL does."""

    def restart(self, number: int) -> None:
        """Start a killed router again at its address; nothing if it runs."""

    def stall(self, number: int, seconds: float) -> None:
        """Stop a router for some seconds, as SIGSTOP and SIGCONT do."""


def router_source_address(number: int) -> str:
    """The IP address from which router `number` connects to members; their taps tell routers apart by it."""
    return f"127.0.1.{number + 1}"


class InProcessRouters:
    """Routers (see `Routers`) in this process, on the `Env` of the stand.

    `make` builds the state machine of a router from the configuration and a seed; a test may pass one with a fault.
    `log` gets the number of the router, the event and its fields for each log entry.

    Errors: `OSError` if a router can't listen.
    """

    def __init__(
        self,
        stand: Stand,
        count: int,
        seed: int,
        make: Callable[[Config, int], Machine] = build.machine,
        log: Callable[[int, str, dict[str, object]], None] = lambda number, event, fields: None,
    ) -> None:
        self.stand = stand
        self.make = make
        self.log = log
        self.seed = seed
        self.starts = 0  # of all routers; gives each start a seed of its own
        self.hosts: list[RouterHost] = []
        for number in range(count):
            self.hosts.append(self._start(number, "127.0.0.1:0"))
        self.addresses = [host.address for host in self.hosts]

    def _start(self, number: int, address: str) -> RouterHost:
        """Start router `number` at `address` and pass it the roster."""
        self.starts += 1
        machine = self.make(self.stand.config, self.seed * 1000 + self.starts)
        host = RouterHost(
            self.stand.env,
            machine,
            address,
            lambda event, fields: self.log(number, event, fields),
            router_source_address(number),
        )
        host.handle_event(build.roster(self.stand.config, self.stand.groups(), 0.0))
        return host

    def publish_roster(self, stand: Stand) -> None:
        """Pass the roster of the stand to all routers after a delay, which stands for the time to read a file."""
        event = build.roster(stand.config, stand.groups(), 0.0)
        for host in self.hosts:
            stand.env.at(stand.env.now() + ROSTER_DELAY_SECONDS, lambda host=host: host.handle_event(event))  # type: ignore[misc]

    def kill(self, number: int) -> None:
        """End a router as SIGKILL does: it closes its connections and does nothing more."""
        self.hosts[number].kill()

    def restart(self, number: int) -> None:
        """Start a killed router again at its address; nothing if it runs."""
        if self.hosts[number].dead:
            self.hosts[number] = self._start(number, self.addresses[number])

    def stall(self, number: int, seconds: float) -> None:
        """Stop a router for some seconds."""
        self.hosts[number].stall(seconds)


class RouterProcesses:
    """Routers (see `Routers`) as processes of their own, for a stand on real sockets.

    Their configuration, roster and log files lie in a new temporary folder. Restarts run in `tasks`. `unix_epoch_at`:
    reading of the clock of the stand's `Env` at the Unix epoch, in seconds.

    The caller starts each router with `start`, puts the address that it returns into `addresses`, and calls `stop` in
    the end.
    """

    def __init__(self, stand: Stand, tasks: TaskGroup, unix_epoch_at: float) -> None:
        self.stand = stand
        self.tasks = tasks
        self.unix_epoch_at = unix_epoch_at
        self.folder = Path(tempfile.mkdtemp(prefix="banklift-"))
        self.processes: dict[int, Process] = {}
        self.addresses: list[str] = []
        self.killed: dict[int, bool] = {}
        self.stalled_until: dict[int, float] = {}  # seconds on the clock of the stand's `Env`
        self.publish_roster(stand)

    def publish_roster(self, stand: Stand) -> None:
        """Replace the roster file, by a rename, so that no router reads half of it."""
        path = self.folder / "roster.json"
        temporary = path.with_suffix(".new")
        temporary.write_bytes(msgspec.json.encode(stand.groups(self.unix_epoch_at)))
        temporary.replace(path)

    async def start(self, number: int, address: str) -> str:
        """Start router `number` at `address` and wait until it listens. Returns its address.

        Errors: `RuntimeError` with the end of its log if it ends before it listens.
        """
        settings = msgspec.to_builtins(self.stand.config) | {
            "name": f"router-{number}",
            "listen": address,
            "source": router_source_address(number),
            "roster": "roster.json",
            "groups": msgspec.to_builtins(self.stand.groups(self.unix_epoch_at)),
        }
        path = self.folder / f"router-{number}.json"
        log = self.folder / f"router-{number}.log"
        path.write_text(json.dumps(settings))
        with log.open("ab") as log_file:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", "router", "--config", str(path)],
                stderr=log_file,
                stdout=subprocess.PIPE,
            )
        self.processes[number] = process
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            try:
                line += await process.stdout.receive()
            except anyio.EndOfStream:
                raise RuntimeError(
                    f"router {number} did not start:\n{log.read_text()[-START_LOG_LENGTH:]}"
                ) from None
        return str(json.loads(line)["listening"])

    def kill(self, number: int) -> None:
        """Send SIGKILL to a router; nothing if it was killed before."""
        if not self.killed.get(number):
            self.killed[number] = True
            os.kill(self.processes[number].pid, signal.SIGKILL)

    def restart(self, number: int) -> None:
        """Start a killed router again at its address, without waiting for it; nothing if it runs."""
        if self.killed.pop(number, False):
            self.tasks.start_soon(self.start, number, self.addresses[number])

    def stall(self, number: int, seconds: float) -> None:
        """Send SIGSTOP to a router, and SIGCONT after some seconds; of several calls the last end counts."""
        process = self.processes[number]
        env = self.stand.env
        if self.killed.get(number):
            return
        os.kill(process.pid, signal.SIGSTOP)
        until = self.stalled_until[number] = max(self.stalled_until.get(number, 0.0), env.now() + seconds)

        def resume() -> None:
            if (
                self.stalled_until[number] <= env.now()
                and process.returncode is None
                and not self.killed.get(number)
            ):
                os.kill(process.pid, signal.SIGCONT)

        env.at(until, resume)

    async def stop(self) -> None:
        """Stop all routers: SIGTERM to each, then SIGKILL to those that have not ended in time."""
        for process in self.processes.values():
            if process.returncode is None:
                process.terminate()
        for process in self.processes.values():
            with anyio.move_on_after(STOP_TIMEOUT_SECONDS):
                await process.wait()
            if process.returncode is None:
                process.kill()
                await process.wait()
