"""A fleet of real processes, started by `banklift router` and `banklift aggregator`, with a relay on every link.

The rig's own part (members, relays, clients, trace) runs in the caller's event loop. The rig alone starts, kills,
pauses and resumes the processes, by their ids. Tests may change files between a kill and a start.
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

from banklift.emulator.node import MemberAction
from banklift.emulator.stand import Stand
from banklift.fleet.messages import Message, Show, Shown
from banklift.fleet.placement import Candidate, choose_aggregators
from banklift.fleet.state import Stage
from banklift.net.env import RouterEnv
from banklift.rig import operator_tool, site
from banklift.rig.clients import Client
from banklift.rig.judge import KEY_FAMILIES
from banklift.rig.operator import Operator
from banklift.rig.operator_tool import FleetReport, PolicyAnswer
from banklift.rig.process_faults import ProcessFaults, write_faults
from banklift.rig.relay import FROM_TARGET, TO_TARGET, Relay
from banklift.rig.trace import Entry, Trace

FLEET = "rig"
ZONE = "here"
SHOW_TIMEOUT = 60.0  # seconds for a voter or an aggregator to answer a Show
START_TIMEOUT = 60.0  # seconds for a process to listen or to end; long, for busy machines
FINISH_TIMEOUT = 5.0  # seconds for the last requests to be answered, times the rig's time factor


class StartFailed(Exception):
    """A process ended before it listened. `code`: its exit code. `text`: the end of its log."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(f"exit {code}: {text}")
        self.code, self.text = code, text


class Rig:
    """Emulated members, relays, clients and the processes of one fleet. Must be closed.

    `names`: of all routers; the first `voter_count` of them are the voters. `lease`: seconds that voters grant.
    `time_factor`: multiplies all deadlines of the site, for slow machines. `aggregators`: names of the aggregators of
    the fleet's only zone, which all routers that are no voters lease from; without any, all routers lease from voters.
    """

    def __init__(
        self,
        env: RouterEnv,
        folder: Path,
        names: list[str],
        voter_count: int,
        lease: float,
        seed: int = 1,
        time_factor: float = 1.0,
        aggregators: Sequence[str] = (),
    ) -> None:
        self.env, self.folder, self.names, self.lease = env, folder, names, lease
        self.voters = names[:voter_count]
        self.time_factor = time_factor
        self.trace = Trace()
        self.stand = Stand(site.parsed_config(time_factor), env, seed, self._tap)
        self.roles = {entry["member"]: entry["role"] for entry in self.stand.describe()}
        self.aggregators = list(aggregators)
        listeners = (*self.voters, *aggregators)
        # one socket for each port of `ports`, open until `close`, so that nobody else gets it while its member is down
        self.reserved = [reserve_port() for _ in listeners]
        self.ports = {
            name: int(one.getsockname()[1]) for name, one in zip(listeners, self.reserved, strict=True)
        }
        self.addresses: dict[str, str] = {}  # of routers, for clients
        self.processes: dict[str, Process] = {}
        self.clients: dict[str, Client] = {}
        self.relays: dict[
            tuple[str, str], Relay
        ] = {}  # by the member that makes the link, and the one that accepts
        self.seed = seed
        for name in (*names, *aggregators):
            for voter in self.voters:
                if name != voter:
                    self._add_relay(name, voter)
        for name in names[voter_count:]:
            for aggregator in aggregators:
                self._add_relay(name, aggregator)

    def _add_relay(self, source: str, target: str) -> None:
        address = f"127.0.0.1:{self.ports[target]}"
        self.relays[source, target] = Relay(self.env, lambda: address, self.seed * 1000 + len(self.relays))

    def _tap(self, now: float, member: str, action: MemberAction) -> None:
        """Trace the GETs that members run."""
        if action.kind == "command" and len(action.args) == 2 and action.args[0].upper() == b"GET":
            self.trace.add(
                Entry(now, "ran", action.args[1].decode("latin-1"), member=member, role=self.roles[member])
            )

    def record(self, kind: str, **fields: Any) -> None:
        """Add an entry to the trace, with the present time."""
        self.trace.add(Entry(self.env.now(), kind, **fields))

    def _record_process(self, kind: str, name: str, what: str) -> None:
        """Trace that a process came up or went down. Only routers have `up` and `down` entries; for an aggregator it is
        a fault."""
        if name in self.aggregators:
            self.record("fault", router=name, what=what)
        else:
            self.record(kind, router=name, what=what)

    # ---- processes

    def write_config(self, name: str, **changes: Any) -> Path:
        """Write the configuration file of a router or an aggregator. `changes` replace its top-level keys; a table is
        merged into the one that is there."""
        content: dict[str, Any] = {"name": name, "fleet": self._fleet_table(name)}
        if name not in self.aggregators:
            content = {
                **site.config(self.time_factor),
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
                aggregator: {"address": self._address(name, aggregator), "zone": ZONE}
                for aggregator in self.aggregators
            }
        return table

    def _address(self, source: str, target: str) -> str:
        """The address at which one member reaches another: of the relay between them, if there is one."""
        relay = self.relays.get((source, target))
        return f"127.0.0.1:{self.ports[target]}" if relay is None else relay.address

    def preferred_aggregator(self, router: str) -> str:
        """The aggregator that this router leases from while it can."""
        return choose_aggregators(router, [Candidate(name, name) for name in self.aggregators])[0]

    def state_folder(self, name: str) -> Path:
        """The folder of a voter's state."""
        return self.folder / f"{name}.state"

    def state_files(self, name: str) -> dict[str, bytes]:
        """The content of each file of a voter's state, by its name."""
        return {path.name: path.read_bytes() for path in self.state_folder(name).iterdir()}

    async def start(
        self, name: str, descriptors: int | None = None, faults: ProcessFaults | None = None, **changes: Any
    ) -> None:
        """Start a router or an aggregator, and wait until it listens.

        `descriptors`: limit of its open files. `faults`: injected into the process; `set_faults` changes them later.
        `changes`: to its configuration, as for `write_config`. Errors: `StartFailed`, `TimeoutError`.
        """
        path, log = self.write_config(name, **changes), self.folder / f"{name}.log"
        command = "aggregator" if name in self.aggregators else "router"
        program = ["banklift"]
        if faults is not None:
            self.set_faults(name, faults)
            program = ["banklift.rig.faulty_process", str(self._faults_file(name))]

        with log.open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", *program, command, "--config", str(path)],
                stderr=errors,
                stdout=subprocess.PIPE,
            )
        if descriptors is not None:  # in time: the program reads its limit only after its imports
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self.processes[name] = process
        assert process.stdout is not None
        line = b""
        with anyio.fail_after(START_TIMEOUT):
            while not line.endswith(b"\n"):
                try:
                    line += await process.stdout.receive()
                except anyio.EndOfStream:
                    raise StartFailed(await process.wait(), log.read_text()[-2000:]) from None
        if name not in self.aggregators:
            self.addresses[name] = str(json.loads(line)["listening"])
        self._record_process("up", name, "start")

    def _faults_file(self, name: str) -> Path:
        return self.folder / f"{name}.faults"

    def set_faults(self, name: str, faults: ProcessFaults) -> None:
        """Replace the faults within a process that was started with `faults`."""
        self.record("fault", router=name, what=str(faults))
        write_faults(self._faults_file(name), faults)

    async def wait_until_killed(self, name: str) -> None:
        """Wait until a process has killed itself at the kill point of its faults. Errors: `TimeoutError`."""
        with anyio.fail_after(START_TIMEOUT):
            code = await self.processes[name].wait()
        assert code == -signal.SIGKILL, f"{name} ended with {code}: {self.log(name)[-500:]}"
        self._record_process("down", name, "kill")

    def jump_clock(self, name: str) -> None:
        """Let the clock of a process jump ahead by the `clock_jump` of its faults."""
        self.record("fault", router=name, what="clock jumps")
        os.kill(self.processes[name].pid, signal.SIGUSR1)

    async def kill(self, name: str) -> None:
        """Send SIGKILL, and wait for the end of the process."""
        self.processes[name].kill()
        await self.processes[name].wait()
        self._record_process("down", name, "kill")

    def pause(self, name: str) -> None:
        """Send SIGSTOP."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)
        self._record_process("down", name, "stop")

    def resume(self, name: str) -> None:
        """Send SIGCONT."""
        self._record_process("up", name, "continue")
        os.kill(self.processes[name].pid, signal.SIGCONT)

    async def terminate(self, name: str) -> int:
        """Send SIGTERM, and wait for the end of the process; its exit code. Errors: `TimeoutError`."""
        self.processes[name].terminate()
        with anyio.fail_after(START_TIMEOUT):
            code = await self.processes[name].wait()
        self._record_process("down", name, "terminate")
        return code

    # ---- links

    def links(self, name: str, others: Sequence[str] = ()) -> list[Relay]:
        """All links of a router or an aggregator, or those with `others`."""
        return [
            relay
            for (source, target), relay in self.relays.items()
            if (name == source and (not others or target in others))
            or (name == target and (not others or source in others))
        ]

    def inject_link_fault(
        self,
        name: str,
        direction: str | None = None,
        fault: str = "stall",
        value: float = 1.0,
        others: Sequence[str] = (),
    ) -> None:
        """Set one fault (relay.py) on all links of a router or an aggregator, or on those with `others`.

        `direction`: "there" (from the member that makes a link) or "back"; by default both.
        """
        described = f"{fault} {value:g} {direction or 'both'} {' '.join(others)}".rstrip()
        self.record("fault", router=name, what=described)
        for relay in self.links(name, others):
            for each in (TO_TARGET, FROM_TARGET) if direction is None else (direction,):
                relay.fault(each, fault, value)

    def heal(self, name: str | None = None) -> None:
        """End all faults on the links of a router or an aggregator, or on all links."""
        self.record("fault", router=name or "", what="heal")
        for relay in list(self.relays.values()) if name is None else self.links(name):
            relay.heal()

    def log(self, name: str) -> str:
        """What a process and its earlier incarnations have logged."""
        return (self.folder / f"{name}.log").read_text()

    # ---- clients

    def start_clients(self, names: list[str] | None = None, interval: float = 0.02) -> None:
        """Start a client of each of these routers, or of all that are up; each sends a request every `interval`
        seconds."""
        for name in names or list(self.addresses):
            self.clients[name] = Client(self.env, name, self.addresses[name], interval, self.trace)

    async def finish_clients(self) -> None:
        """Stop sending requests, and wait a bounded time for the answers to those that were sent."""
        for client in self.clients.values():
            client.finish()
        with anyio.move_on_after(FINISH_TIMEOUT * self.time_factor):
            while any(client.unanswered for client in self.clients.values()):
                await anyio.sleep(0.01)

    async def wait_until(self, condition: Callable[[], bool], seconds: float = START_TIMEOUT) -> None:
        """Wait until a condition on the trace or the processes holds. Errors: `TimeoutError`."""
        with anyio.fail_after(seconds):
            while not condition():
                await anyio.sleep(0.01)

    async def wait_until_serving(self, *names: str, variant: int | None = None) -> None:
        """Wait until each router has served a request that was sent after this call: any one, or one that it took under
        this variant of the policy. Errors: `TimeoutError`."""
        begin = self.env.now()

        def all_served() -> bool:
            routers = {
                entry.key: entry.router
                for entry in self.trace.entries
                if entry.kind == "sent" and entry.time >= begin
            }
            served = {
                routers[entry.key]
                for entry in self.trace.entries
                if entry.key in routers
                and (
                    (entry.kind == "got" and entry.answer == "served")
                    if variant is None
                    else (
                        entry.kind == "ran"
                        and entry.role == "replica"
                        and entry.key[0] == KEY_FAMILIES[variant]
                    )
                )
            }
            return set(names) <= served

        await self.wait_until(all_served)

    # ---- operators

    async def show(self, name: str) -> Shown | None:
        """The state that a voter or an aggregator reports, asked directly and not through relays; None if the
        connection broke. Errors: `TimeoutError`."""
        answers: list[Message | None] = []
        self.env.connect(f"127.0.0.1:{self.ports[name]}", Operator(FLEET, Show(), answers.append))
        await self.wait_until(lambda: bool(answers), SHOW_TIMEOUT)
        return answers[0] if isinstance(answers[0], Shown) else None

    async def wait_for_stage(self, stage: Stage, voter: str) -> str:
        """Wait until a voter reports a change at this stage; the change's id. Errors: `TimeoutError`."""
        with anyio.fail_after(START_TIMEOUT):
            while True:
                shown = await self.show(voter)
                change = shown.state.change if shown is not None and shown.state is not None else None
                if change is not None and change.stage is stage:
                    return change.id
                await anyio.sleep(0.002)

    async def set_policy(
        self, variant: int, *more: str, by: str = "", retry_unknown: bool = False, **policy: Any
    ) -> PolicyAnswer:
        """Request a change of policy with `banklift policy set`, as `operator_tool.set_policy` does.

        `by`: the router whose configuration the tool uses; by default the last one. `policy`: top-level keys of the
        policy in place of the usual ones.
        """
        path = self.folder / f"policy-{time.monotonic_ns()}.json"
        path.write_text(site.policy_text(variant, self.time_factor, **policy))
        self.record("set", variant=variant)
        answer = await operator_tool.set_policy(
            path, self.write_config(by or self.names[-1]), *more, retry_unknown=retry_unknown
        )
        self.record("told", answer=answer.result, variant=variant)
        return answer

    async def show_fleet(self, by: str = "") -> FleetReport:
        """What `banklift fleet` prints, run with the configuration of the router `by`, by default the last one.
        Errors: `ToolFailed`."""
        return await operator_tool.show_fleet(self.write_config(by or self.names[-1]))

    async def close(self) -> None:
        """Close clients and relays, and kill the processes that still run."""
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
        for port_socket in self.reserved:
            port_socket.close()


def reserve_port(address: str = "127.0.0.1:0") -> socket.socket:
    """A socket bound to `address` (host:port; port 0: a free one); until it is closed, the kernel gives that port to
    nobody else.

    With SO_REUSEADDR a process that sets it as well, as `banklift` does, can listen at the port meanwhile. Errors:
    `OSError` if the address is in use.
    """
    host, _, port = address.rpartition(":")
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    return bound
