"""A fleet as processes of its own, started by `banklift router`, with a relay on every link between two routers.

The rig's own part (members, relays, clients, trace) runs in the caller's event loop. Only it touches the processes: it
starts, kills, stops and continues them by their ids, and changes files between a kill and a start.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import Process

from banklift.emulator.node import Act
from banklift.emulator.stand import Stand
from banklift.net.env import Env
from banklift.rig import site
from banklift.rig.clients import Client
from banklift.rig.relay import Relay
from banklift.rig.trace import Entry, Trace

START = 60.0  # seconds that a process may take until it listens, on a machine however busy


class Refused(Exception):
    """A router ended at its start; `code` and `text` are its exit code and its last words."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(f"exit {code}: {text}")
        self.code, self.text = code, text


class Rig:
    """`voters` of `names` are the first ones. `times`: of the site's deadlines. Must be closed."""

    def __init__(
        self,
        env: Env,
        folder: Path,
        names: list[str],
        voters: int,
        lease: float,
        seed: int = 1,
        times: float = 1.0,
    ) -> None:
        self.env, self.folder, self.names, self.voters, self.lease = env, folder, names, names[:voters], lease
        self.times = times
        self.trace = Trace()
        self.stand = Stand(site.site(times), env, seed, self._tap)
        self.roles = {entry["member"]: entry["role"] for entry in self.stand.describe()}
        self.ports = {name: _free_port() for name in self.voters}
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.clients: dict[str, Client] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        for number, name in enumerate(names):
            for voter in self.voters:
                if name != voter:
                    target = f"127.0.0.1:{self.ports[voter]}"
                    self.relays[name, voter] = Relay(
                        env,
                        lambda target=target: target,  # type: ignore[misc]
                        seed * 1000 + number,
                    )

    def _tap(self, now: float, member: str, act: Act) -> None:
        if act.what == "command" and len(act.args) == 2 and act.args[0].upper() == b"GET":
            self.trace.add(
                Entry(now, "ran", act.args[1].decode("latin-1"), member=member, role=self.roles[member])
            )

    def note(self, kind: str, **fields: Any) -> None:
        self.trace.add(Entry(self.env.now(), kind, **fields))

    # ---- processes

    def file(self, name: str, **changes: Any) -> Path:
        """The router's file; `changes` go over the whole of it."""
        voters = {
            voter: f"127.0.0.1:{self.ports[voter]}" if name == voter else self.relays[name, voter].address
            for voter in self.voters
        }
        content = {
            **site.config(self.times),
            "groups": msgspec.to_builtins(self.stand.groups()),
            "name": name,
            "listen": self.addresses.get(name, "127.0.0.1:0"),
            "fleet": {"name": "rig", "voters": voters, "lease": self.lease, "folder": f"{name}.state"},
        }
        for key, value in changes.items():
            content[key] = {**content[key], **value} if isinstance(value, dict) else value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    def state(self, name: str) -> Path:
        """The folder of a voter's state."""
        return self.folder / f"{name}.state"

    async def start(self, name: str, descriptors: int | None = None, **changes: Any) -> None:
        """Start one and wait until it listens. `descriptors`: the most it may hold. Errors: `Refused`."""
        path, log = self.file(name, **changes), self.folder / f"{name}.log"

        with log.open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", "router", "--config", str(path)],
                stderr=errors,
                stdout=subprocess.PIPE,
            )
        if descriptors is not None:  # before it looks: it imports for longer than this takes
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self.processes[name] = process
        assert process.stdout is not None
        line = b""
        with anyio.fail_after(START):
            while not line.endswith(b"\n"):
                try:
                    line += await process.stdout.receive()
                except anyio.EndOfStream:
                    raise Refused(await process.wait(), log.read_text()[-2000:]) from None
        self.addresses[name] = str(json.loads(line)["listening"])
        self.note("up", router=name)

    async def kill(self, name: str) -> None:
        """SIGKILL."""
        self.processes[name].kill()
        await self.processes[name].wait()
        self.note("down", router=name, what="kill")

    def stop(self, name: str) -> None:
        """SIGSTOP: it does nothing, and knows nothing of it."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)
        self.note("down", router=name, what="stop")

    def go_on(self, name: str) -> None:
        self.note("up", router=name, what="continue")
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def cut_off(self, name: str, way: str | None = None, fault: str = "stall", value: float = 1.0) -> None:
        """One fault on all links of a router, both ways or one ("there" is from who made the link)."""
        self.note("fault", router=name, what=f"{fault} {value:g} {way or 'both'}")
        for (one, other), relay in self.relays.items():
            if name in (one, other):
                for each in ("there", "back") if way is None else (way,):
                    relay.fault(each, fault, value)

    def heal(self, name: str | None = None) -> None:
        self.note("fault", router=name or "", what="heal")
        for (one, other), relay in self.relays.items():
            if name is None or name in (one, other):
                relay.heal()

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    # ---- clients

    def ask(self, names: list[str] | None = None, every: float = 0.02) -> None:
        """Let clients ask these routers, or all that are up."""
        for name in names or list(self.addresses):
            self.clients[name] = Client(self.env, name, self.addresses[name], every, self.trace)

    async def quiet(self) -> None:
        """Let clients ask no more, and wait until all is answered."""
        for client in self.clients.values():
            client.finish()
        with anyio.move_on_after(5 * self.times):
            while any(client.line for client in self.clients.values()):
                await anyio.sleep(0.01)

    async def until(self, true: Callable[[], bool], seconds: float = START) -> None:
        """Wait for what the trace or the processes are to show. Errors: `TimeoutError`."""
        with anyio.fail_after(seconds):
            while not true():
                await anyio.sleep(0.01)

    async def serves(self, *names: str, parity: int | None = None) -> None:
        """Wait until each has answered a request that was sent from now on; under that parity, if one is given."""
        begin = self.env.now()

        def shown() -> bool:
            sent = {
                entry.key: entry.router
                for entry in self.trace.entries
                if entry.k == "sent" and entry.t >= begin
            }
            done = {
                sent[entry.key]
                for entry in self.trace.entries
                if entry.key in sent
                and (
                    (entry.k == "got" and entry.answer == "served")
                    if parity is None
                    else (entry.k == "ran" and entry.role == "replica" and entry.key[0] == "ab"[parity])
                )
            }
            return set(names) <= done

        await self.until(shown)

    # ---- operators

    async def banklift(self, *arguments: str) -> tuple[int, str, str]:
        """Run a tool; its exit code, output and errors."""
        done = await anyio.run_process([sys.executable, "-m", "banklift", *arguments], check=False)
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    async def set(self, parity: int, *more: str, by: str = "", **policy: Any) -> dict[str, Any]:
        """`banklift policy set`; what it printed as JSON, with its exit `code`."""
        path = self.folder / f"policy-{time.monotonic_ns()}.json"
        path.write_text(site.text(parity, self.times, **policy))
        config = self.file(by or self.names[-1])
        self.note("set", parity=parity)
        code, out, errors = await self.banklift(
            "policy", "set", str(path), "--config", str(config), "--json", *more
        )
        answer = json.loads(out) if out.strip() else {}
        self.note("told", answer=answer.get("result", "unknown"), parity=parity)
        return {**answer, "code": code, "errors": errors}

    async def fleet(self, by: str = "") -> dict[str, Any]:
        """`banklift fleet`."""
        code, out, errors = await self.banklift(
            "fleet", "--config", str(self.file(by or self.names[-1])), "--json"
        )
        return json.loads(out) if code == 0 else {"code": code, "errors": errors}

    async def close(self) -> None:
        for client in self.clients.values():
            client.finish()
            client.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
            await process.aclose()
        for relay in self.relays.values():
            relay.close()


def _free_port() -> int:
    """Of the kernel's choice; free at this moment."""
    import socket

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])
