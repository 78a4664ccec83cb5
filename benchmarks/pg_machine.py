"""What a request costs the machine on the platform's protocol, without sockets, and what stays behind of it.

    .venv/bin/python benchmarks/pg_machine.py [--requests 20000]

Every request has a new client, id and key, and its node answers after 30 ms of virtual time. Prints microseconds a
request, objects and bytes that are left after each quarter.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import time
import tracemalloc

from banklift.interface import State
from banklift.pg import frames
from banklift.pg.front import PgFront
from banklift.pg.wire import USAGE_QUERY, PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits
from banklift.rig.platform_settings import SETTINGS

STEP = 0.004  # seconds between requests


def answer(now: float, primary: bool) -> bytes:
    told = frames.parameter_status("server_role", "writer" if primary else "reader")
    told += frames.parameter_status("commit_clock", str(int(now * 1000)))
    description = frames.message(
        b"T", b"\0\x01content\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"
    )
    row = frames.message(b"D", b"\0\x01\0\0\0\x08" + b"12345678")
    return description + row + frames.message(b"C", b"SELECT 1\0") + told + frames.READY_FOR_QUERY


def usage(now: float, primary: bool) -> bytes:
    text = b"x0=%.3f,x1=%d,inflight=1,queue=0" % (now, primary)
    description = frames.message(
        b"T", b"\0\x01usage\0" + b"\0" * 6 + b"\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"
    )
    row = frames.message(b"D", b"\0\x01" + len(text).to_bytes(4, "big") + text)
    return description + row + frames.message(b"C", b"SHOW\0") + frames.READY_FOR_QUERY


class Site:
    """One machine, three groups of three nodes that answer after a while."""

    def __init__(self) -> None:
        self.machine = Machine(
            SETTINGS,
            Limits(pipeline=16),
            0,
            1,
            PgWire(),
            lambda core: PgFront(core, SETTINGS, core.limits, 2.0),
        )
        self.now = 1000.0
        self.links: dict[int, str] = {}
        self.soon: list[tuple[float, int, ev.Event]] = []
        self.count = 0
        self.served = 0
        self.spent = 0.0
        members = tuple(
            ev.ListedMember(f"s{group}{place}", group, f"s{group}{place}:1", State.READY, place == 0)
            for group in range(3)
            for place in range(3)
        )
        self.tell(ev.Roster(members))

    def later(self, delay: float, event: ev.Event) -> None:
        self.count += 1
        heapq.heappush(self.soon, (self.now + delay, self.count, event))

    def tell(self, event: ev.Event) -> None:
        begun = time.perf_counter()
        actions = self.machine.handle(self.now, event)
        self.spent += time.perf_counter() - begun
        for action in actions:
            match action:
                case ev.OpenLink(link, address):
                    self.links[link] = address
                    self.later(0.005, ev.LinkUp(link))
                case ev.CloseLink(link):
                    del self.links[link]
                case ev.SendToLink(link, data):
                    primary = self.links[link][2] == "0"
                    if data[4:8] == b"\0\x03\0\0":
                        self.later(
                            0.001, ev.LinkData(link, frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY)
                        )
                    elif data == USAGE_QUERY:
                        self.later(0.002, ev.LinkData(link, usage(self.now, primary)))
                    else:
                        self.later(0.03, ev.LinkData(link, answer(self.now, primary)))
                case ev.SendToClient(client, data):
                    if data[:1] == b"T":
                        self.served += 1
                        self.later(0.5, ev.ClientLost(client))

    def until(self, end: float) -> None:
        while True:
            wake = self.machine.wake
            event = self.soon[0][0] if self.soon else end
            if min(wake, event) >= end:
                break
            if wake < event:
                self.now = max(self.now, wake)
                self.tell(ev.Wake())
            else:
                self.now = max(self.now, event)
                self.tell(heapq.heappop(self.soon)[2])
        self.now = end

    def ask(self, number: int) -> None:
        kind = ("view", "own", "save", "view")[number % 4]
        note = f"/* id={number:016x},c={kind},t=acme,d=2000,cluster={number % 3} */"
        text = f"SELECT content FROM kv WHERE name = 'k{number}' {note}"
        if kind == "save":
            text = f"INSERT INTO kv (name, content) VALUES ('k{number}', '\\x9f03') RETURNING content {note}"
        self.tell(ev.ClientOpened(number))
        self.tell(ev.ClientData(number, frames.startup("backend", "store") + frames.query(text.encode())))


def main(requests: int) -> None:
    site = Site()
    trace = tracemalloc.is_tracing()
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    number = 0
    for quarter in range(4):
        before = site.spent
        for _ in range(requests // 4):
            number += 1
            site.ask(number)
            site.until(site.now + STEP)
        cost = (site.spent - before) / (requests // 4) * 1e6
        held = len(gc.get_objects())
        size = f", {tracemalloc.get_traced_memory()[0]:,} bytes" if trace else ""
        print(
            f"quarter {quarter + 1}: {cost:.0f} us a request, {held:,} objects{size}, "
            f"{len(site.machine.timers)} timers, {site.machine.timers.heap_size} places, served {site.served}"
        )
    print(f"after a full collection: {gc.collect():,} found, {len(gc.get_objects()):,} objects left")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=20_000)
    main(parser.parse_args().requests)
