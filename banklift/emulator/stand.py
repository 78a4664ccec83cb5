"""A stand: the groups of a configuration as stand-in members, and routers in front of them."""

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
from banklift.emulator.node import Node
from banklift.emulator.shell import NodeHost, Tap
from banklift.net.env import Env
from banklift.net.router import RouterHost
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config, Group

ROSTER_DELAY = 0.1  # seconds until routers in this process are told of a new roster


class Stand:
    """The members of a configuration in these surroundings; replicas follow the primary that it marks.

    `work` and `apply`: seconds that a command, and applying one write, take. `numbered`: keys carry the numbers of
    requests (`Store`).
    """

    def __init__(
        self,
        config: Config,
        env: Env,
        seed: int = 1,
        tap: Tap | None = None,
        work: float = 0.0005,
        apply: float = 0.0001,
        numbered: bool = False,
    ) -> None:
        self.config = config
        self.env = env
        self.nodes: dict[str, NodeHost] = {}
        self.states: dict[str, str] = {}
        self.started: dict[str, float] = {}  # seconds on the clock of the surroundings
        self.roles: dict[str, str] = {}  # the primary of each group
        for place, group in enumerate(config.groups):
            for spot, member in enumerate(group.members):
                node = Node(
                    member.name, seed * 1000 + place * 100 + spot, work=work, apply=apply, numbered=numbered
                )
                self.nodes[member.name] = NodeHost(env, node, member.address, tap)
                self.states[member.name] = "ready"
            self.roles[group.name] = self.first_primary(group)
        for group in config.groups:
            for member in group.members:
                if member.name != self.roles[group.name]:
                    self.follow(member.name, self.roles[group.name])

    @staticmethod
    def first_primary(group: Group) -> str:
        return next((member.name for member in group.members if member.primary), group.members[0].name)

    def follow(self, name: str, primary: str) -> None:
        host = self.nodes[name]
        host.do(host.node.follow(self.env.now(), self.nodes[primary].address))

    def groups(self, epoch: float = 0.0) -> list[Group]:
        """The groups as a roster tells them: roles as of the start. `epoch`: the clock at the Unix epoch."""
        found = []
        for group in self.config.groups:
            members = [
                {
                    "name": member.name,
                    "address": self.nodes[member.name].address,
                    "primary": member.name == self.first_primary(group),
                    "state": self.states[member.name],
                    "started": None if member.name not in self.started else self.started[member.name] - epoch,
                }
                for member in group.members
                if self.states[member.name] != "gone"
            ]
            found.append(msgspec.convert({**msgspec.to_builtins(group), "members": members}, Group))
        return found

    def describe(self) -> list[dict[str, Any]]:
        return [
            {
                "member": member.name,
                "address": self.nodes[member.name].address,
                "group": group.name,
                "role": "primary" if member.name == self.roles[group.name] else "replica",
            }
            for group in self.config.groups
            for member in group.members
        ]


class Routers(Protocol):
    """Routers in front of a stand."""

    addresses: list[str]

    def roster(self, stand: Stand) -> None:
        """The roster changed."""

    def kill(self, number: int) -> None: ...

    def restart(self, number: int) -> None:
        """Start a killed one again at its address; nothing if it runs."""

    def stall(self, number: int, seconds: float) -> None:
        """It does nothing for a while, and then goes on."""


def source(number: int) -> str:
    """The address from which a router connects to members, by which the members' taps know it."""
    return f"127.0.1.{number + 1}"


class RoutersHere:
    """Routers in the surroundings of the stand. `make` builds the machine of one; tests plant faults there."""

    def __init__(
        self,
        stand: Stand,
        count: int,
        seed: int,
        make: Callable[[Config, int], Machine] = build.machine,
        log: Callable[[int, str, dict[str, object]], None] = lambda number, event, fields: None,
    ) -> None:
        self.stand, self.make, self.log, self.seed = stand, make, log, seed
        self.starts = 0
        self.hosts: list[RouterHost] = []
        for number in range(count):
            self.hosts.append(self._host(number, "127.0.0.1:0"))
        self.addresses = [host.address for host in self.hosts]

    def _host(self, number: int, address: str) -> RouterHost:
        self.starts += 1
        machine = self.make(self.stand.config, self.seed * 1000 + self.starts)
        host = RouterHost(
            self.stand.env,
            machine,
            address,
            lambda event, fields: self.log(number, event, fields),
            source(number),
        )
        host.tell(build.roster(self.stand.config, self.stand.groups(), 0.0))
        return host

    def roster(self, stand: Stand) -> None:
        event = build.roster(stand.config, stand.groups(), 0.0)
        for host in self.hosts:
            stand.env.at(stand.env.now() + ROSTER_DELAY, lambda host=host: host.tell(event))  # type: ignore[misc]

    def kill(self, number: int) -> None:
        self.hosts[number].kill()

    def restart(self, number: int) -> None:
        if self.hosts[number].dead:
            self.hosts[number] = self._host(number, self.addresses[number])

    def stall(self, number: int, seconds: float) -> None:
        self.hosts[number].stall(seconds)


class RouterProcesses:
    """Routers as processes of their own. `folder` holds what they read; `epoch`: the clock at the Unix epoch."""

    def __init__(self, stand: Stand, tasks: TaskGroup, epoch: float) -> None:
        self.stand, self.tasks, self.epoch = stand, tasks, epoch
        self.folder = Path(tempfile.mkdtemp(prefix="banklift-"))
        self.processes: dict[int, Process] = {}
        self.addresses: list[str] = []
        self.killed: dict[int, bool] = {}
        self.stalled: dict[int, float] = {}  # until when, on the clock of the surroundings
        self.roster(stand)

    def roster(self, stand: Stand) -> None:
        """Replace the roster file in one step."""
        path = self.folder / "roster.json"
        draft = path.with_suffix(".new")
        draft.write_bytes(msgspec.json.encode(stand.groups(self.epoch)))
        draft.replace(path)

    async def start(self, number: int, address: str) -> str:
        """Start one and wait until it listens; returns its address. Errors: `RuntimeError` with its log."""
        settings = msgspec.to_builtins(self.stand.config) | {
            "name": f"router-{number}",
            "listen": address,
            "source": source(number),
            "roster": "roster.json",
            "groups": msgspec.to_builtins(self.stand.groups(self.epoch)),
        }
        path, log = self.folder / f"router-{number}.json", self.folder / f"router-{number}.log"
        path.write_text(json.dumps(settings))
        with log.open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", "router", "--config", str(path)],
                stderr=errors,
                stdout=subprocess.PIPE,
            )
        self.processes[number] = process
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            try:
                line += await process.stdout.receive()
            except anyio.EndOfStream:
                raise RuntimeError(f"router {number} did not start:\n{log.read_text()[-2000:]}") from None
        return str(json.loads(line)["listening"])

    def kill(self, number: int) -> None:
        if not self.killed.get(number):
            self.killed[number] = True
            os.kill(self.processes[number].pid, signal.SIGKILL)

    def restart(self, number: int) -> None:
        if self.killed.pop(number, False):
            self.tasks.start_soon(self.start, number, self.addresses[number])

    def stall(self, number: int, seconds: float) -> None:
        process, env = self.processes[number], self.stand.env
        if self.killed.get(number):
            return
        os.kill(process.pid, signal.SIGSTOP)
        until = self.stalled[number] = max(self.stalled.get(number, 0.0), env.now() + seconds)

        def go_on() -> None:
            if (
                self.stalled[number] <= env.now()
                and process.returncode is None
                and not self.killed.get(number)
            ):
                os.kill(process.pid, signal.SIGCONT)

        env.at(until, go_on)

    async def stop(self) -> None:
        """Stop them, politely first."""
        for process in self.processes.values():
            if process.returncode is None:
                process.terminate()
        for process in self.processes.values():
            with anyio.move_on_after(5):
                await process.wait()
            if process.returncode is None:
                process.kill()
                await process.wait()
