"""What the machine's next request costs while many others are open, and a client that leaves: processor time.

    .venv/bin/python benchmarks/flood.py [--keep]

One group. Its primary has begun to answer late: writes pile up, some out there, some waiting for a link, most held for
room. Reads that any member may serve go on at a replica that answers at once; they are the next request. Rounds with
and without the flood alternate in one run, and the least of each is compared. At the end every client leaves, and the
memory that the flood took is compared with what is left of it.
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

SIZES = (0, 1000, 5000, 10_000)
READS, LEAVERS, ROUNDS = 400, 400, 5
HISTORY = "a" * 40
OUT = Path(__file__).with_name("results") / "flood.json"


class Site:
    """A machine, a primary that may answer late and a replica that doesn't."""

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
                kind, deadline=600.0, aim=300.0 if kind.need.value == "write" else kind.aim
            )
            for kind in example.classes
        ]
        limits = msgspec.structs.replace(example.limits, clients=100_000, **LIMITS)
        self.config = msgspec.structs.replace(example, groups=[group], classes=classes, limits=limits)
        self.machine: Machine = build.machine(self.config, 1)
        self.now = 100.0
        self.late = False
        self.links: dict[int, str] = {}
        self.clients = 0
        self.machine.handle(self.now, build.roster(self.config, self.config.groups, 0.0))

    def tell(self, event: ev.Event) -> None:
        todo = deque(self.machine.handle(self.now, event))
        while todo:
            action = todo.popleft()
            if isinstance(action, ev.OpenLink):
                self.links[action.link] = action.address
                todo.extend(self.machine.handle(self.now, ev.LinkUp(action.link)))
            elif isinstance(action, ev.SendToLink):
                primary = self.links[action.link] == "m:0"
                if primary and self.late and action.data != INFO:
                    continue
                self.now += 0.0001
                answer = self.answer(action.data, primary)
                todo.extend(self.machine.handle(self.now, ev.LinkData(action.link, answer)))

    def answer(self, data: bytes, primary: bool) -> bytes:
        found = b""
        for part in ("GET", "APPEND", "INFO", "ROLE"):
            at = data.find(f"\r\n{part}\r\n".encode())
            if at >= 0 and part == "GET":
                found += b"$1\r\nv\r\n"
            elif at >= 0 and part == "APPEND":
                found += b":1\r\n"
            elif at >= 0 and part == "INFO":
                text = (
                    f"role:{'master' if primary else 'slave'}\r\nmaster_host:m\r\nmaster_port:0\r\n"
                    f"master_link_status:up\r\nslave_repl_offset:5\r\nmaster_replid:{HISTORY}\r\n"
                    f"master_replid2:{'0' * 40}\r\nmaster_repl_offset:5\r\nsecond_repl_offset:-1"
                ).encode()
                found += b"$%d\r\n%b\r\n" % (len(text), text)
            elif at >= 0 and data.find(ROLE) >= 0:
                found += (
                    b"*3\r\n$6\r\nmaster\r\n:5\r\n*0\r\n"
                    if primary
                    else b"*5\r\n$5\r\nslave\r\n$1\r\nm\r\n:0\r\n$9\r\nconnected\r\n:5\r\n"
                )
        return found

    def wakes(self) -> None:
        while self.machine.wake <= self.now:
            self.tell(ev.Wake())

    def client(self) -> int:
        self.clients += 1
        self.tell(ev.ClientOpened(self.clients))
        return self.clients

    def reads(self, client: int) -> float:
        """Seconds of processor that a read takes."""
        get = command("GET", "alert:{a}")
        begin = time.process_time()
        for _ in range(READS):
            self.now += 0.0005
            self.tell(ev.ClientData(client, get))
            self.wakes()
        return (time.process_time() - begin) / READS

    def flood(self, size: int) -> list[int]:
        self.late = True
        clients = [self.client() for _ in range(size)]
        for client in clients:
            self.now += 0.00005
            self.tell(ev.ClientData(client, command("APPEND", "note:{a}", "x")))
            self.wakes()
        return clients

    def leave(self, clients: list[int]) -> float:
        """Seconds of processor that a leaver takes."""
        begin = time.process_time()
        for client in clients:
            self.tell(ev.ClientLost(client))
        return (time.process_time() - begin) / max(len(clients), 1)


LIMITS: dict[str, object] = {"queue": 100_000, "waiting": 100_000}  # so that all of the flood is open


def measure() -> dict[str, object]:
    sites: dict[int, tuple[Site, int, list[int]]] = {}
    for size in SIZES:
        site = Site()
        reader = site.client()
        site.tell(ev.ClientData(reader, command("APPEND", "note:{a}", "x")))
        site.reads(reader)
        sites[size] = site, reader, site.flood(size)
        print(f"{size} asked: {len(site.machine.pending)} open", file=sys.stderr)
    gc.collect()
    gc.freeze()
    reads: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, (site, reader, _) in sites.items():
            reads[size].append(site.reads(reader))
    leavers = {
        size: site.leave(Random(1).sample(flood, LEAVERS)) for size, (site, _, flood) in sites.items() if size
    }
    least = {size: min(times) for size, times in reads.items()}
    return {
        "read, us": {size: round(1e6 * took, 1) for size, took in least.items()},
        "read, ratio to none open": {size: round(took / least[0], 2) for size, took in least.items()},
        "leaver, us": {size: round(1e6 * took, 1) for size, took in leavers.items()},
    }


def memory() -> dict[str, int]:
    """Bytes that a flood of 10,000 takes, and that are left when it is over."""
    site = Site()
    reader = site.client()
    for _ in range(2):
        site.leave(site.flood(500))
        site.late = False
        site.now += 700.0
        site.wakes()
        site.reads(reader)
    gc.collect()
    tracemalloc.start()
    flood = site.flood(SIZES[-1])
    during = tracemalloc.get_traced_memory()[0]
    site.leave(flood)
    flood.clear()
    site.late = False
    site.now += 5.0
    site.wakes()
    site.reads(reader)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"bytes with 10,000 open": during, "bytes left 5 s after they left": after}


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--keep", action="store_true", help="write the results to benchmarks/results")
    given = parser.parse_args()
    found = measure() | memory()
    print(json.dumps(found, indent=1))
    if given.keep:
        OUT.write_text(json.dumps(found, indent=1) + "\n")
