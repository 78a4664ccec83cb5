"""A fleet as processes of its own, started by `banklift router` and `banklift aggregator`, with a relay on every link.

The rig's own part (members, relays, clients, trace) runs in the caller's event loop. Only it touches the processes: it
starts, kills, stops and continues them by their ids, and changes files between a kill and a start.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import Process

from banklift.emulator.node import Act
from banklift.emulator.stand import Stand
from banklift.fleet.messages import Message, Show, Shown
from banklift.fleet.placement import Candidate, choose_aggregators
from banklift.fleet.state import Stage
from banklift.net.env import Env
from banklift.rig import site
from banklift.rig.clients import Client
from banklift.rig.operator import Operator
from banklift.rig.process_faults import ProcessFaults, write_faults
from banklift.rig.relay import BACK, THERE, Relay
from banklift.rig.trace import Entry, Trace

FLEET = "rig"
ZONE = "here"
SHOW_WAIT = 60.0  # seconds that a member may take to say how it stands
UNKNOWN_TRIES = 20  # of an operator who wants to know how a change ended
START = 60.0  # seconds that a process may take until it listens, on a machine however busy


class Refused(Exception):
    """A router ended at its start; `code` and `text` are its exit code and its last words."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(f"exit {code}: {text}")
        self.code, self.text = code, text


class Rig:
    """`voters` of `names` are the first ones. `aggregators`: of the one zone in which all other routers are, if there
    are any. `times`: of the site's deadlines. Must be closed."""

    def __init__(
        self,
        env: Env,
        folder: Path,
        names: list[str],
        voters: int,
        lease: float,
        seed: int = 1,
        times: float = 1.0,
        aggregators: Sequence[str] = (),
    ) -> None:
        self.env, self.folder, self.names, self.voters, self.lease = env, folder, names, names[:voters], lease
        self.times = times
        self.trace = Trace()
        self.stand = Stand(site.site(times), env, seed, self._tap)
        self.roles = {entry["member"]: entry["role"] for entry in self.stand.describe()}
        self.aggregators = list(aggregators)
        listeners = (*self.voters, *aggregators)
        held = [_bound_socket() for _ in listeners]  # until the relays have ports of their own
        self.ports = {name: int(one.getsockname()[1]) for name, one in zip(listeners, held, strict=True)}
        self.addresses: dict[str, str] = {}  # where clients reach routers
        self.processes: dict[str, Process] = {}
        self.clients: dict[str, Client] = {}
        self.relays: dict[tuple[str, str], Relay] = {}  # by who makes the link, and to whom
        self.seed = seed
        for name in (*names, *aggregators):
            for voter in self.voters:
                if name != voter:
                    self._relay(name, voter)
        for name in names[voters:]:
            for aggregator in aggregators:
                self._relay(name, aggregator)
        for one in held:
            one.close()

    def _relay(self, one: str, other: str) -> None:
        target = f"127.0.0.1:{self.ports[other]}"
        self.relays[one, other] = Relay(self.env, lambda: target, self.seed * 1000 + len(self.relays))

    def _tap(self, now: float, member: str, act: Act) -> None:
        if act.what == "command" and len(act.args) == 2 and act.args[0].upper() == b"GET":
            self.trace.add(
                Entry(now, "ran", act.args[1].decode("latin-1"), member=member, role=self.roles[member])
            )

    def note(self, kind: str, **fields: Any) -> None:
        self.trace.add(Entry(self.env.now(), kind, **fields))

    def _note_process(self, kind: str, name: str, what: str) -> None:
        """The trace's `up` and `down` are of routers; what is done to an aggregator is a fault."""
        if name in self.aggregators:
            self.note("fault", router=name, what=what)
        else:
            self.note(kind, router=name, what=what)

    # ---- processes

    def file(self, name: str, **changes: Any) -> Path:
        """The file of a router or an aggregator; `changes` go over the whole of it."""
        content: dict[str, Any] = {"name": name, "fleet": self._fleet_table(name)}
        if name not in self.aggregators:
            content = {
                **site.config(self.times),
                "groups": msgspec.to_builtins(self.stand.groups()),
                "listen": self.addresses.get(name, "127.0.0.1:0"),
                **content,
            }
        for key, value in changes.items():
            content[key] = {**content[key], **value} if isinstance(value, dict) else value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    def _fleet_table(self, name: str) -> dict[str, Any]:
        table: dict[str, Any] = {
            "name": FLEET,
            "voters": {voter: self._address(name, voter) for voter in self.voters},
            "lease": self.lease,
            "folder": f"{name}.state",
        }
        if self.aggregators:
            table["zone"] = ZONE
            table["aggregators"] = {
                other: {"address": self._address(name, other), "zone": ZONE} for other in self.aggregators
            }
        return table

    def _address(self, name: str, other: str) -> str:
        """Where one reaches another."""
        relay = self.relays.get((name, other))
        return f"127.0.0.1:{self.ports[other]}" if relay is None else relay.address

    def preferred(self, router: str) -> str:
        """The aggregator that this router leases from while it can."""
        return choose_aggregators(router, [Candidate(name, name) for name in self.aggregators])[0]

    def state(self, name: str) -> Path:
        """The folder of a voter's state."""
        return self.folder / f"{name}.state"

    async def start(
        self, name: str, descriptors: int | None = None, faults: ProcessFaults | None = None, **changes: Any
    ) -> None:
        """Start one and wait until it listens. `descriptors`: the most it may hold. `faults`: within the process, which
        `fail` can change later. Errors: `Refused`."""
        path, log = self.file(name, **changes), self.folder / f"{name}.log"
        command = "aggregator" if name in self.aggregators else "router"
        program = ["banklift"]
        if faults is not None:
            self.fail(name, faults)
            program = ["banklift.rig.faulty_process", str(self._faults_file(name))]

        with log.open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", *program, command, "--config", str(path)],
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
        if name not in self.aggregators:
            self.addresses[name] = str(json.loads(line)["listening"])
        self._note_process("up", name, "start")

    def _faults_file(self, name: str) -> Path:
        return self.folder / f"{name}.faults"

    def fail(self, name: str, faults: ProcessFaults) -> None:
        """Faults within a process that was started with some; in place of earlier ones."""
        self.note("fault", router=name, what=str(faults))
        write_faults(self._faults_file(name), faults)

    async def died(self, name: str) -> None:
        """Wait until a process was killed at its step."""
        with anyio.fail_after(START):
            code = await self.processes[name].wait()
        assert code == -signal.SIGKILL, f"{name} ended with {code}: {self.log(name)[-500:]}"
        self._note_process("down", name, "kill")

    def jump(self, name: str) -> None:
        """The clock of a process that was started with a jump makes it."""
        self.note("fault", router=name, what="clock jumps")
        os.kill(self.processes[name].pid, signal.SIGUSR1)

    async def kill(self, name: str) -> None:
        """SIGKILL."""
        self.processes[name].kill()
        await self.processes[name].wait()
        self._note_process("down", name, "kill")

    def stop(self, name: str) -> None:
        """SIGSTOP: it does nothing, and knows nothing of it."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)
        self._note_process("down", name, "stop")

    def go_on(self, name: str) -> None:
        self._note_process("up", name, "continue")
        os.kill(self.processes[name].pid, signal.SIGCONT)

    async def leave(self, name: str) -> int:
        """SIGTERM; the exit code."""
        self.processes[name].terminate()
        with anyio.fail_after(START):
            code = await self.processes[name].wait()
        self._note_process("down", name, "terminate")
        return code

    def links(self, name: str, others: Sequence[str] = ()) -> list[Relay]:
        """All links of a member, or those with `others`."""
        return [
            relay
            for (one, other), relay in self.relays.items()
            if (name == one and (not others or other in others))
            or (name == other and (not others or one in others))
        ]

    def cut_off(
        self,
        name: str,
        way: str | None = None,
        fault: str = "stall",
        value: float = 1.0,
        others: Sequence[str] = (),
    ) -> None:
        """One fault on all links of a member, or those with `others`, both ways or one ("there" is from who made the
        link)."""
        self.note("fault", router=name, what=f"{fault} {value:g} {way or 'both'} {' '.join(others)}".rstrip())
        for relay in self.links(name, others):
            for each in (THERE, BACK) if way is None else (way,):
                relay.fault(each, fault, value)

    def heal(self, name: str | None = None) -> None:
        self.note("fault", router=name or "", what="heal")
        for relay in list(self.relays.values()) if name is None else self.links(name):
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

    async def show(self, voter: str) -> Shown | None:
        """What a voter or an aggregator tells of itself, asked past all relays; None if it does not answer."""
        answers: list[Message | None] = []
        self.env.connect(f"127.0.0.1:{self.ports[voter]}", Operator(FLEET, Show(), answers.append))
        await self.until(lambda: bool(answers), SHOW_WAIT)
        return answers[0] if isinstance(answers[0], Shown) else None

    async def until_stage(self, stage: Stage, voter: str) -> str:
        """Wait until a voter knows of a change that has come so far; its id."""
        with anyio.fail_after(START):
            while True:
                shown = await self.show(voter)
                change = shown.state.change if shown is not None and shown.state is not None else None
                if change is not None and change.stage is stage:
                    return change.id
                await anyio.sleep(0.002)

    async def set(
        self, parity: int, *more: str, by: str = "", until_known: bool = False, **policy: Any
    ) -> dict[str, Any]:
        """`banklift policy set`; what it printed as JSON, with its exit `code`. `until_known`: ask again by the same id
        while the outcome is unknown, a bounded number of times."""
        path = self.folder / f"policy-{time.monotonic_ns()}.json"
        path.write_text(site.text(parity, self.times, **policy))
        arguments = ["policy", "set", str(path), "--config", str(self.file(by or self.names[-1])), "--json"]
        self.note("set", parity=parity)
        code, out, errors = await self.banklift(*arguments, *more)
        answer = json.loads(out) if out.strip() else {}
        for _ in range(UNKNOWN_TRIES if until_known else 0):
            if answer.get("result", "unknown") != "unknown":
                break
            same = ("--id", answer["id"]) if "id" in answer else ()  # none: no voter had told its version
            code, out, errors = await self.banklift(*arguments, *more, *same)
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


def _bound_socket() -> socket.socket:
    """On a port of the kernel's choice, which nobody else gets until it is closed."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    return bound
