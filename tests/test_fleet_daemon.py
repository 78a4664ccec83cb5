"""Routers and aggregators as processes: their output at start, their exit codes, and the leases that they release."""

from __future__ import annotations

import json
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import pytest
from anyio.abc import Process

from banklift.config.load import EXAMPLE, evaluate
from banklift.fleet.links import Write
from banklift.fleet.messages import PROTOCOL_VERSION, FrameDecoder, Hello, RenewNow, encode
from banklift.fleet.node import Node
from banklift.fleet.placement import choose_aggregators
from banklift.fleet.plan import Plan
from banklift.net.aggregator import aggregator_plan, listening_address
from banklift.net.env import Listener, Peer
from banklift.net.fleet import FleetHost
from banklift.net.fleet_daemon import candidates, leave, peer_addresses, router_plan
from banklift.net.process import clock
from banklift.net.sockets import SocketEnv
from banklift.proxy.fleet_plan import Aggregator, Fleet
from tests.fake_members import free_address

# Leases in seconds, longer than any of these tests, so that a lease that has ended was released.
LEASE = 120.0
SUB_LEASE = 90.0
TIMEOUT_SECONDS = 60.0  # limit of any step on a busy machine; less than two thirds of a lease or sub-lease
BAD_FILE = 2  # exit code of a file, or of a member, that is refused
FAILED = 1  # exit code of a process that could not run

# ---- plans


FLEET = Fleet(
    name="game",
    voters={"v0": "10.0.0.1:7000", "v1": "10.0.0.2:7000"},
    lease=9.0,
    aggregators={
        "a0": Aggregator(address="10.0.1.1:7100", zone="north", machine="m1"),
        "a1": Aggregator(address="10.0.1.2:7100", zone="north", machine="m2"),
        "a2": Aggregator(address="10.0.1.3:7100", zone="north"),
        "a3": Aggregator(address="10.0.2.1:7100", zone="south"),
    },
    zone="north",
    listen="0.0.0.0:7100",
)


def test_router_prefers_aggregators_of_its_zone() -> None:
    plan = router_plan("r7", FLEET)
    assert plan.aggregators == choose_aggregators("r7", candidates(FLEET)) and len(plan.aggregators) == 2
    assert set(plan.aggregators) <= {"a0", "a1", "a2"}
    assert peer_addresses(plan, FLEET) == {name: FLEET.aggregators[name].address for name in plan.aggregators}
    assert (plan.lease, plan.voters) == (9.0, ("v0", "v1"))
    assert plan.sub_lease == pytest.approx(6.0)


def test_routers_of_a_zone_are_spread_over_its_aggregators() -> None:
    preferred = [router_plan(f"r{number}", FLEET).aggregators[0] for number in range(300)]
    counts = {name: preferred.count(name) for name in ("a0", "a1", "a2")}
    assert sum(counts.values()) == 300 and min(counts.values()) > 60, counts


def test_voters_and_aggregators_lease_from_the_voters() -> None:
    voter = router_plan("v0", FLEET)
    assert voter.aggregators == () and peer_addresses(voter, FLEET) == FLEET.voters
    assert aggregator_plan("a0", FLEET) == Plan(
        "game", "a0", ("v0", "v1"), 9.0, 0.01, (), FLEET.granted_sub_lease
    )
    direct = router_plan("r7", Fleet(name="game", voters=FLEET.voters))
    assert (direct.aggregators, direct.sub_lease) == ((), 0.0)


def test_listening_address_of_an_aggregator() -> None:
    """`listen` overrides the address in the table, except in the file of a voter that is also an aggregator.

    There, `listen` is the address of the voter.
    """
    assert listening_address("a0", FLEET) == "0.0.0.0:7100"
    both = Fleet(
        name="game", voters={"a0": "10.0.0.1:7000"}, aggregators=FLEET.aggregators, listen="0.0.0.0:7000"
    )
    assert listening_address("a0", both) == "10.0.1.1:7100"


# ---- leaving


class RecordingHandle:
    """A connection that records the calls made on it in `notes`."""

    source = ""

    def __init__(self, name: str, notes: list[str]) -> None:
        self.name, self.notes = name, notes

    def send(self, data: bytes) -> None:
        for message in FrameDecoder().feed(data):
            self.notes.append(f"{self.name}: {type(message).__name__}")

    def finish(self, discard_input: bool = False) -> None:
        self.notes.append(f"{self.name}: finish")

    def close(self) -> None:
        self.notes.append(f"{self.name}: close")

    def pause(self) -> None:
        raise AssertionError

    def resume(self) -> None:
        raise AssertionError


class RecordingEnv:
    """An environment with a stopped clock and without timers, which keeps the peer and handle of each connection."""

    def __init__(self) -> None:
        self.notes: list[str] = []
        self.peers: dict[str, Peer] = {}
        self.handles: dict[str, RecordingHandle] = {}

    def now(self) -> float:
        return 100.0

    def at(self, when: float, callback: Callable[[], None]) -> None:
        return

    def defer(self, callback: Callable[[], None]) -> None:
        return

    def listen(self, address: str, accept: Callable[[], Peer]) -> Listener:
        raise AssertionError

    def connect(self, address: str, peer: Peer, source: str | None = None) -> RecordingHandle:
        self.peers[address] = peer
        self.handles[address] = RecordingHandle(address, self.notes)
        return self.handles[address]


def test_leaving_stops_admission_before_releasing_leases() -> None:
    """A router that leaves waits only for links on which it released a lease, and sends nothing afterwards.

    If it released its leases first, it would serve requests for a moment without a lease.
    """
    env = RecordingEnv()
    plan = Plan("game", "r7", ("v0", "v1", "v2"), 9.0, 0.01)
    node = Node(plan, 1, 1, b"{}", lambda text: ())
    host = FleetHost(
        env,
        node,
        {name: name for name in plan.voters},
        None,
        lambda content, done: None,
        lambda epoch, text: None,
        lambda until, retry_after: env.notes.append(f"until {until:g}"),
        lambda reason: env.notes.append(reason),
        lambda event, fields: None,
    )
    host.start()
    for name in ("v0", "v1"):  # the link to v2 never comes up
        env.peers[name].connected(env.handles[name])
        env.peers[name].data(encode(Hello(PROTOCOL_VERSION, "game", name, 1, plan.voters, 9.0, 0.0)))
    env.notes.clear()
    waited_for = host.leave()
    assert env.notes == [
        "until -inf",
        "v0: LeaseRelease",
        "v1: LeaseRelease",
        "v0: finish",
        "v1: finish",
    ]
    assert waited_for == [env.handles["v0"], env.handles["v1"]]
    env.notes.clear()
    env.peers["v0"].data(encode(RenewNow()))
    env.peers["v2"].lost("refused")
    assert host.leave() == []
    # The lost connection is closed; nothing is sent, and no connection is made again.
    assert env.notes == ["v2: close"]


def do_nothing(*arguments: Any) -> None:
    return


def test_leaving_ends_although_the_other_end_never_closes() -> None:
    """The other end accepts the connection and never reads or closes it. Without a limit, leaving would hang."""

    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            async with anyio.create_task_group() as tasks:
                env = SocketEnv(tasks, clock)
                node = Node(Plan("game", "r7", ("v0",), LEASE, 0.01), 1, 1, b"{}", lambda text: ())
                node.leave = lambda now: [Write(1, b"given back")]  # type: ignore[method-assign]
                host = FleetHost(
                    env,
                    node,
                    {"v0": address},
                    None,
                    do_nothing,
                    do_nothing,
                    do_nothing,
                    do_nothing,
                    do_nothing,
                )
                host.start()
                with anyio.fail_after(TIMEOUT_SECONDS):
                    other, _ = await anyio.to_thread.run_sync(listener.accept)
                    await leave(host, env)
                other.close()
                tasks.cancel_scope.cancel()

    anyio.run(main)


# ---- processes


class Processes:
    """A voter `v0`, aggregators `a0` and `a1` and any routers, each from a file of its own in `folder`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, Process] = {}
        self.voter = free_address()
        self.aggregators = {name: free_address() for name in ("a0", "a1")}

    def file(self, name: str, **fleet: Any) -> Path:
        """Write a router's file by that name. `fleet`: entries of its fleet table that differ from the usual ones."""
        table = {
            "name": "game",
            "voters": {"v0": self.voter},
            "lease": LEASE,
            "sub_lease": SUB_LEASE,
            "aggregators": {
                aggregator: {"address": address, "zone": "north"}
                for aggregator, address in self.aggregators.items()
            },
            "zone": "north",
            "folder": f"{name}.state",
            **fleet,
        }
        content = {**json.loads(evaluate(EXAMPLE)), "name": name, "listen": "127.0.0.1:0", "fleet": table}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    async def start(self, command: str, name: str, path: Path | None = None) -> dict[str, Any]:
        """Start a router or an aggregator and return the line of JSON that it prints once it listens."""
        with self.log(name).open("ab") as errors:
            process = await anyio.open_process(
                [sys.executable, "-m", "banklift", command, "--config", str(path or self.file(name))],
                stderr=errors,
            )
        self.running[name] = process
        assert process.stdout is not None
        line = b""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while not line.endswith(b"\n"):
                line += await process.stdout.receive()
        announced: dict[str, Any] = json.loads(line)
        return announced

    def log(self, name: str) -> Path:
        """The file with the standard error of a process."""
        return self.folder / f"{name}.log"

    async def stop(self, name: str, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal to a process and wait for its end. Returns its exit code."""
        self.running[name].send_signal(number)
        with anyio.fail_after(TIMEOUT_SECONDS):
            return await self.running[name].wait()

    async def run_to_end(self, command: str, path: Path) -> tuple[int, str]:
        """Run a process that ends by itself. Returns its exit code and standard error."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            completed = await anyio.run_process(
                [sys.executable, "-m", "banklift", command, "--config", str(path)], check=False
            )
        return completed.returncode, completed.stderr.decode()

    async def fleet(self) -> dict[str, Any]:
        """The output of `banklift fleet --routers --json`."""
        command = [sys.executable, "-m", "banklift", "fleet", "--json", "--routers", "--config"]
        with anyio.fail_after(TIMEOUT_SECONDS):
            completed = await anyio.run_process([*command, str(self.file("r0"))], check=False)
        assert completed.returncode == 0, completed.stderr.decode()
        shown: dict[str, Any] = json.loads(completed.stdout)
        return shown

    async def wait_until(self, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Run `banklift fleet` until `condition` holds for its output, and return that.

        Errors: `AssertionError` with the last output and the logs, after `TIMEOUT_SECONDS`.
        """
        shown: dict[str, Any] = {}
        with anyio.move_on_after(TIMEOUT_SECONDS):
            while not condition(shown := await self.fleet()):
                await anyio.sleep(0.05)
            return shown
        logs = "\n".join(f"{name}:\n{self.log(name).read_text()[-2000:]}" for name in self.running)
        raise AssertionError(f"{json.dumps(shown)}\n{logs}")

    async def close(self) -> None:
        """Kill the processes that still run."""
        for process in self.running.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
            await process.aclose()


@asynccontextmanager
async def processes(folder: Path) -> AsyncIterator[Processes]:
    """Processes that are killed at the end of the context."""
    fleet = Processes(folder)
    try:
        yield fleet
    finally:
        with anyio.CancelScope(shield=True):
            await fleet.close()


def run_scenario(folder: Path, scenario: Callable[[Processes], Awaitable[None]]) -> None:
    """Run a scenario on processes with their files in `folder`."""

    async def main() -> None:
        async with processes(folder) as fleet:
            await scenario(fleet)

    anyio.run(main)


def sub_leases(shown: dict[str, Any]) -> set[tuple[str, str]]:
    """Pairs of a router and an aggregator from which it holds a live sub-lease."""
    return {
        (router["name"], aggregator)
        for aggregator, routers in shown["routers_of"].items()
        for router in routers
        if router["left"] > 0
    }


def aggregators_with_lease(shown: dict[str, Any]) -> set[str]:
    """Aggregators that hold a live lease from the voter."""
    return {aggregator["name"] for aggregator in shown["aggregators"] if aggregator["left"] > 0}


def test_router_that_leases_from_aggregators_releases_its_sub_lease(tmp_path: Path) -> None:
    """A small fleet, each process started by its own command. A lease that ends within the test was released."""

    async def scenario(fleet: Processes) -> None:
        await fleet.start("router", "v0")
        announced = {name: await fleet.start("aggregator", name) for name in fleet.aggregators}
        assert announced == {
            name: {"aggregator": name, "listening": address} for name, address in fleet.aggregators.items()
        }
        await fleet.wait_until(lambda shown: aggregators_with_lease(shown) == {"a0", "a1"})
        await fleet.start("router", "r0")
        preferred = choose_aggregators("r0", candidates_of(fleet))[0]
        shown = await fleet.wait_until(lambda shown: sub_leases(shown) == {("r0", preferred)})
        assert aggregators_with_lease(shown) == {"a0", "a1"}
        assert shown["direct"] == ["v0"]  # a voter leases from the voters, not from aggregators

        assert await fleet.stop("r0") == 0
        await fleet.wait_until(lambda shown: not sub_leases(shown) and len(shown["routers_of"]) == 2)
        assert '"event": "stopping"' in fleet.log("r0").read_text()

        for name, number in (("a0", signal.SIGTERM), ("a1", signal.SIGINT)):
            assert await fleet.stop(name, number) == 0
            assert '"event": "stopping"' in fleet.log(name).read_text()

    run_scenario(tmp_path, scenario)


def candidates_of(fleet: Processes) -> Any:
    return candidates(
        Fleet(
            name="game",
            voters={"v0": fleet.voter},
            aggregators={
                name: Aggregator(address=address, zone="north") for name, address in fleet.aggregators.items()
            },
            zone="north",
        )
    )


def test_router_that_leases_from_voters_releases_its_lease_unless_it_is_killed(tmp_path: Path) -> None:
    async def scenario(fleet: Processes) -> None:
        direct: dict[str, Any] = {"aggregators": {}, "zone": None, "sub_lease": None}
        await fleet.start("router", "v0", fleet.file("v0", **direct))
        for name in ("r1", "r2"):
            await fleet.start("router", name, fleet.file(name, **direct))

        def left(shown: dict[str, Any], name: str) -> float:
            return max(
                (float(holder["left"]) for holder in shown["holders"] if holder["name"] == name), default=0.0
            )

        original = fleet.file

        def file(name: str, **changes: Any) -> Path:
            return original(name, **{**direct, **changes})

        fleet.file = file  # type: ignore[method-assign]
        await fleet.wait_until(lambda shown: left(shown, "r1") > 0 and left(shown, "r2") > 0)
        assert await fleet.stop("r1") == 0
        assert await fleet.stop("r2", signal.SIGKILL) == -signal.SIGKILL
        shown = await fleet.wait_until(lambda shown: left(shown, "r1") == 0)
        assert left(shown, "r2") > 0  # the voter cannot know that the process is dead

    run_scenario(tmp_path, scenario)


def test_aggregator_with_a_different_sub_lease_is_refused(tmp_path: Path) -> None:
    async def scenario(fleet: Processes) -> None:
        await fleet.start("router", "v0")
        code, text = await fleet.run_to_end("aggregator", fleet.file("a0", sub_lease=60.0))
        assert code == BAD_FILE
        assert "banklift aggregator: v0: fleet.sub_lease: " in text, text

    run_scenario(tmp_path, scenario)


def test_second_aggregator_with_the_same_name_is_refused(tmp_path: Path) -> None:
    async def scenario(fleet: Processes) -> None:
        await fleet.start("router", "v0")
        await fleet.start("aggregator", "a0")
        await fleet.wait_until(
            lambda shown: any(aggregator["left"] > 0 for aggregator in shown["aggregators"])
        )
        code, text = await fleet.run_to_end("aggregator", fleet.file("a0", listen="127.0.0.1:0"))
        assert code == BAD_FILE and "is here already" in text, text
        assert fleet.running["a0"].returncode is None

    run_scenario(tmp_path, scenario)


def test_aggregator_file_needs_only_name_and_fleet(tmp_path: Path) -> None:
    async def scenario(fleet: Processes) -> None:
        table = json.loads(fleet.file("a0").read_text())["fleet"]
        path = tmp_path / "small.json"
        path.write_text(json.dumps({"name": "a0", "fleet": table}))
        assert (await fleet.start("aggregator", "a0", path))["aggregator"] == "a0"
        assert await fleet.stop("a0") == 0  # it stops although no voter runs

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("command", ["aggregator", "router"])
def test_listening_address_in_use_is_reported(tmp_path: Path, command: str) -> None:
    async def scenario(fleet: Processes) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            name = "a0" if command == "aggregator" else "v0"
            code, text = await fleet.run_to_end(command, fleet.file(name, listen=address))
        assert code == FAILED
        assert f"banklift {command}: " in text and "Address already in use" in text
        assert "Traceback" not in text

    run_scenario(tmp_path, scenario)
