"""A stand: the groups of a configuration as stand-in members, and routers in front of them, each its own process."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import Process, TaskGroup

from banklift.config.load import split_address
from banklift.emulator.node import Node
from banklift.emulator.shell import NodeShell, Tap
from banklift.proxy.plan import Config, Group


class Stand:
    """Members in this process, routers in theirs. `folder` holds what routers read; None: a temporary one."""

    def __init__(self, config: Config, seed: int = 1, tap: Tap | None = None,
                 clock: Callable[[], float] = time.monotonic, work: float = 0.0005) -> None:
        self.config = config
        self.clock = clock
        self.folder = Path(tempfile.mkdtemp(prefix="banklift-"))
        self.nodes: dict[str, NodeShell] = {}
        self.states: dict[str, str] = {}
        self.started: dict[str, float] = {}
        self.roles: dict[str, str] = {}  # the primary of each group, as the stand means it
        self.routers: list[Process] = []
        self.addresses: list[str] = []
        self.tasks: TaskGroup | None = None
        for place, group in enumerate(config.groups):
            for spot, member in enumerate(group.members):
                host, port = split_address(member.address)
                node = Node(member.name, seed * 1000 + place * 100 + spot, work=work)
                self.nodes[member.name] = NodeShell(node, host, port, clock, tap)
                self.states[member.name] = "ready"

    def primary_of(self, group: Group) -> str:
        marked = [member.name for member in group.members if member.primary]
        return marked[0] if marked else group.members[0].name

    def start(self, tasks: TaskGroup) -> None:
        """Start the members; replicas follow their primary."""
        self.tasks = tasks
        for shell in self.nodes.values():
            shell.start(tasks)
        for group in self.config.groups:
            primary = self.primary_of(group)
            self.roles[group.name] = primary
            for member in group.members:
                if member.name != primary:
                    shell = self.nodes[member.name]
                    shell.do(shell.node.follow(self.clock(), self.nodes[primary].address))
        self.write_roster()

    def groups(self) -> list[dict[str, Any]]:
        """The groups as a roster tells them now: the roles are those of the start."""
        return [{**msgspec.to_builtins(group), "members": [
            {"name": member.name, "address": self.nodes[member.name].address,
             "primary": member.name == self.primary_of(group), "state": self.states[member.name],
             "started": self.started.get(member.name)}
            for member in group.members if self.states[member.name] != "gone"]} for group in self.config.groups]

    def write_roster(self) -> None:
        """Replace the roster file in one step."""
        path = self.folder / "roster.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(self.groups()))
        draft.replace(path)

    async def start_router(self, number: int, port: int = 0) -> str:
        """Start one router as a process and wait until it listens; returns its address."""
        host = split_address(self.config.listen)[0]
        settings = msgspec.to_builtins(self.config) | {
            "name": f"router-{number}", "listen": f"{host}:{port}", "source": f"127.0.1.{number + 1}",
            "groups": self.groups(), "roster": "roster.json"}
        path = self.folder / f"router-{number}.json"
        path.write_text(json.dumps(settings))
        process = await anyio.open_process([sys.executable, "-m", "banklift", "router", "--config", str(path)],
                                           stderr=(self.folder / f"router-{number}.log").open("ab"),
                                           stdout=subprocess.PIPE)
        assert process.stdout is not None
        line = b""
        while not line.endswith(b"\n"):
            try:
                line += await process.stdout.receive()
            except anyio.EndOfStream:
                log = (self.folder / f"router-{number}.log").read_text()[-2000:]
                raise RuntimeError(f"router {number} did not start:\n{log}") from None
        address = str(json.loads(line)["listening"])
        while len(self.routers) <= number:
            self.routers.append(process)
            self.addresses.append(address)
        self.routers[number], self.addresses[number] = process, address
        return address

    async def stop_routers(self) -> None:
        for process in self.routers:
            if process.returncode is None:
                process.terminate()
        for process in self.routers:
            with anyio.move_on_after(5):
                await process.wait()
            if process.returncode is None:
                process.kill()

    def kill_router(self, number: int) -> None:
        os.kill(self.routers[number].pid, signal.SIGKILL)

    def describe(self) -> dict[str, Any]:
        """What the stand prints once all listen."""
        return {"routers": self.addresses, "nodes": [
            {"member": member.name, "address": self.nodes[member.name].address, "group": group.name,
             "role": "primary" if member.name == self.primary_of(group) else "replica"}
            for group in self.config.groups for member in group.members]}
