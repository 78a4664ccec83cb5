"""Processor time of a request, and of a client's disconnection, while many other requests are open.

    .venv/bin/python benchmarks/flood.py [--keep]

The state machine serves one group whose primary no longer answers statements. Writes pile up: some are in flight, some
wait for a link, and most are held until there is room. Reads that any member may serve go on at a replica that answers
at once; they are what is measured. Rounds with each number of open writes alternate within one run, and the minimum of
each is compared. A second measurement compares the memory that 10,000 open writes take with what is left after their
clients have disconnected.
"""

from __future__ import annotations

import argparse
import gc
import json
import sys
import time
import tracemalloc
from collections import deque
from pathlib import Path
from random import Random

import msgspec

from banklift.config import build
from banklift.config.load import EXAMPLE, load
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.resp.frames import command
from banklift.resp.wire import INFO, ROLE

FLOOD_SIZES = (0, 1000, 5000, 10_000)  # open writes
READS = 400  # in each round
DISCONNECTIONS = 400  # sampled from each flood
ROUNDS = 5
REPLICATION_ID = "a" * 40
RESULTS_FILE = Path(__file__).with_name("results") / "flood.json"


class Simulation:
    """A state machine in virtual time, a replica that answers at once, and a primary that may stop answering."""

    def __init__(self) -> None:
        example = load(EXAMPLE)
        group = msgspec.structs.replace(
            example.groups[0],
            slots=[(0, 16383)],
            members=[
                msgspec.structs.replace(member, address=f"m:{number}", primary=number == 0)
                for number, member in enumerate(example.groups[0].members[:2])
            ],
        )
        classes = [
            msgspec.structs.replace(
                request_class,
                deadline=600.0,
                aim=300.0 if request_class.need.value == "write" else request_class.aim,
            )
            for request_class in example.classes
        ]
        limits = msgspec.structs.replace(example.limits, clients=100_000, **LIMITS)
        self.config = msgspec.structs.replace(example, groups=[group], classes=classes, limits=limits)
        self.machine: Machine = build.machine(self.config, 1)
        self.now = 100.0
        self.primary_silent = False  # the primary then answers only INFO
        self.links: dict[int, str] = {}  # address by link
        self.clients = 0
        self.machine.handle(self.now, build.roster(self.config, self.config.groups, 0.0))

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the state machine, and its requests to the members until nothing is left to do."""
        actions = deque(self.machine.handle(self.now, event))
        while actions:
            action = actions.popleft()
            if isinstance(action, ev.OpenLink):
                self.links[action.link] = action.address
                actions.extend(self.machine.handle(self.now, ev.LinkUp(action.link)))
            elif isinstance(action, ev.SendToLink):
                primary = self.links[action.link] == "m:0"
                if primary and self.primary_silent and action.data != INFO:
                    continue
                self.now += 0.0001
                reply = self.reply(action.data, primary)
                actions.extend(self.machine.handle(self.now, ev.LinkData(action.link, reply)))

    def reply(self, data: bytes, primary: bool) -> bytes:
        """A member's reply to the commands in `data`: one of each kind, in the order of this loop."""
        replies = b""
        for part in ("GET", "APPEND", "INFO", "ROLE"):
            at = data.find(f"\r\n{part}\r\n".encode())
            if at >= 0 and part == "GET":
                replies += b"$1\r\nv\r\n"
            elif at >= 0 and part == "APPEND":
                replies += b":1\r\n"
            elif at >= 0 and part == "INFO":
                text = (
                    f"role:{'master' if primary else 'slave'}\r\nmaster_host:m\r\nmaster_port:0\r\n"
                    f"master_link_status:up\r\nslave_repl_offset:5\r\nmaster_replid:{REPLICATION_ID}\r\n"
                    f"master_replid2:{'0' * 40}\r\nmaster_repl_offset:5\r\nsecond_repl_offset:-1"
                ).encode()
                replies += b"$%d\r\n%b\r\n" % (len(text), text)
            elif at >= 0 and data.find(ROLE) >= 0:
                replies += (
                    b"*3\r\n$6\r\nmaster\r\n:5\r\n*0\r\n"
                    if primary
                    else b"*5\r\n$5\r\nslave\r\n$1\r\nm\r\n:0\r\n$9\r\nconnected\r\n:5\r\n"
                )
        return replies

    def run_timers(self) -> None:
        """Run the timers that are due."""
        while self.machine.wake <= self.now:
            self.handle(ev.Wake())

    def connect_client(self) -> int:
        """Open a client connection and return its number."""
        self.clients += 1
        self.handle(ev.ClientOpened(self.clients))
        return self.clients

    def measure_reads(self, client: int) -> float:
        """Send `READS` reads from one client. Returns seconds of processor time a read."""
        get = command("GET", "alert:{a}")
        started_at = time.process_time()
        for _ in range(READS):
            self.now += 0.0005
            self.handle(ev.ClientData(client, get))
            self.run_timers()
        return (time.process_time() - started_at) / READS

    def start_flood(self, size: int) -> list[int]:
        """Silence the primary and send one write from each of `size` new clients. Returns the clients."""
        self.primary_silent = True
        clients = [self.connect_client() for _ in range(size)]
        for client in clients:
            self.now += 0.00005
            self.handle(ev.ClientData(client, command("APPEND", "note:{a}", "x")))
            self.run_timers()
        return clients

    def measure_disconnections(self, clients: list[int]) -> float:
        """Disconnect `clients`. Returns seconds of processor time a client."""
        started_at = time.process_time()
        for client in clients:
            self.handle(ev.ClientLost(client))
        return (time.process_time() - started_at) / max(len(clients), 1)


LIMITS: dict[str, object] = {"queue": 100_000, "waiting": 100_000}  # high enough that no write is refused


def measure_times() -> dict[str, object]:
    """Microseconds a read and a disconnection, by the number of open writes."""
    simulations: dict[int, tuple[Simulation, int, list[int]]] = {}
    for size in FLOOD_SIZES:
        simulation = Simulation()
        reader = simulation.connect_client()
        simulation.handle(ev.ClientData(reader, command("APPEND", "note:{a}", "x")))
        simulation.measure_reads(reader)
        simulations[size] = simulation, reader, simulation.start_flood(size)
        print(f"{size} sent: {len(simulation.machine.pending)} open", file=sys.stderr)
    gc.collect()
    gc.freeze()
    reads: dict[int, list[float]] = {size: [] for size in FLOOD_SIZES}
    for _ in range(ROUNDS):
        for size, (simulation, reader, _) in simulations.items():
            reads[size].append(simulation.measure_reads(reader))
    disconnections = {
        size: simulation.measure_disconnections(Random(1).sample(flood, DISCONNECTIONS))
        for size, (simulation, _, flood) in simulations.items()
        if size
    }
    fastest = {size: min(times) for size, times in reads.items()}
    return {
        "read, us": {size: round(1e6 * seconds, 1) for size, seconds in fastest.items()},
        "read, ratio to none open": {
            size: round(seconds / fastest[0], 2) for size, seconds in fastest.items()
        },
        "leaver, us": {size: round(1e6 * seconds, 1) for size, seconds in disconnections.items()},
    }


def measure_memory() -> dict[str, int]:
    """Bytes that the largest flood takes, and bytes left 5 s (virtual time) after its clients disconnected."""
    simulation = Simulation()
    reader = simulation.connect_client()
    # Two small floods warm up, so that what is allocated only once is not counted.
    for _ in range(2):
        simulation.measure_disconnections(simulation.start_flood(500))
        simulation.primary_silent = False
        simulation.now += 700.0
        simulation.run_timers()
        simulation.measure_reads(reader)
    gc.collect()
    tracemalloc.start()
    flood = simulation.start_flood(FLOOD_SIZES[-1])
    during = tracemalloc.get_traced_memory()[0]
    simulation.measure_disconnections(flood)
    flood.clear()
    simulation.primary_silent = False
    simulation.now += 5.0
    simulation.run_timers()
    simulation.measure_reads(reader)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"bytes with 10,000 open": during, "bytes left 5 s after they left": after}


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--keep", action="store_true", help="write the results to benchmarks/results")
    args = parser.parse_args()
    results = measure_times() | measure_memory()
    print(json.dumps(results, indent=1))
    if args.keep:
        RESULTS_FILE.write_text(json.dumps(results, indent=1) + "\n")
