"""Processor time of one request in the state machine on the platform's protocol, without sockets, and memory kept.

    .venv/bin/python benchmarks/pg_machine.py [--requests 20000]

Every request has a new client, id and key, and its member answers after 30 ms of virtual time. After each quarter of
the requests, prints microseconds a request and the number of objects that are alive, to show state that is never freed.
With tracemalloc running (`python -X tracemalloc`), prints the allocated bytes too.
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

REQUEST_INTERVAL_SECONDS = 0.004
CONNECT_DELAY_SECONDS = 0.005
LOGIN_DELAY_SECONDS = 0.001
USAGE_DELAY_SECONDS = 0.002
STATEMENT_DELAY_SECONDS = 0.03
CLIENT_CLOSE_DELAY_SECONDS = 0.5  # from an answer to the client that closes its connection


def statement_reply(now: float, primary: bool) -> bytes:
    """A member's reply to any statement: one row, and the status parameters as of `now` (seconds)."""
    status = frames.parameter_status("server_role", "writer" if primary else "reader")
    status += frames.parameter_status("commit_clock", str(int(now * 1000)))
    description = frames.message(
        b"T", b"\0\x01content\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"
    )
    row = frames.message(b"D", b"\0\x01\0\0\0\x08" + b"12345678")
    return description + row + frames.message(b"C", b"SELECT 1\0") + status + frames.READY_FOR_QUERY


def usage_reply(now: float, primary: bool) -> bytes:
    """A member's reply to `SHOW usage` at `now` (seconds)."""
    text = b"x0=%.3f,x1=%d,inflight=1,queue=0" % (now, primary)
    description = frames.message(
        b"T", b"\0\x01usage\0" + b"\0" * 6 + b"\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"
    )
    row = frames.message(b"D", b"\0\x01" + len(text).to_bytes(4, "big") + text)
    return description + row + frames.message(b"C", b"SHOW\0") + frames.READY_FOR_QUERY


class Simulation:
    """One state machine, and three groups of three members that answer after a delay of virtual time."""

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
        self.due_events: list[tuple[float, int, ev.Event]] = []
        self.scheduled = 0  # breaks ties between events of one time
        self.served = 0
        self.processor_s = 0.0  # real time spent in the state machine
        members = tuple(
            ev.ListedMember(f"s{group}{index}", group, f"s{group}{index}:1", State.READY, index == 0)
            for group in range(3)
            for index in range(3)
        )
        self.handle(ev.Roster(members))

    def schedule(self, delay: float, event: ev.Event) -> None:
        """Have `event` happen in `delay` seconds of virtual time."""
        self.scheduled += 1
        heapq.heappush(self.due_events, (self.now + delay, self.scheduled, event))

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the state machine, measure its time, and schedule the effects of its actions."""
        started_at = time.perf_counter()
        actions = self.machine.handle(self.now, event)
        self.processor_s += time.perf_counter() - started_at
        for action in actions:
            match action:
                case ev.OpenLink(link, address):
                    self.links[link] = address
                    self.schedule(CONNECT_DELAY_SECONDS, ev.LinkUp(link))
                case ev.CloseLink(link):
                    del self.links[link]
                case ev.SendToLink(link, data):
                    primary = self.links[link][2] == "0"
                    if data[4:8] == b"\0\x03\0\0":
                        self.schedule(
                            LOGIN_DELAY_SECONDS,
                            ev.LinkData(link, frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY),
                        )
                    elif data == USAGE_QUERY:
                        self.schedule(USAGE_DELAY_SECONDS, ev.LinkData(link, usage_reply(self.now, primary)))
                    else:
                        self.schedule(
                            STATEMENT_DELAY_SECONDS, ev.LinkData(link, statement_reply(self.now, primary))
                        )
                case ev.SendToClient(client, data):
                    if data[:1] == b"T":
                        self.served += 1
                        self.schedule(CLIENT_CLOSE_DELAY_SECONDS, ev.ClientLost(client))

    def run_until(self, end: float) -> None:
        """Advance the virtual time to `end` (seconds), handling timers and events that are due before it."""
        while True:
            wake_at = self.machine.wake
            event_at = self.due_events[0][0] if self.due_events else end
            if min(wake_at, event_at) >= end:
                break
            if wake_at < event_at:
                self.now = max(self.now, wake_at)
                self.handle(ev.Wake())
            else:
                self.now = max(self.now, event_at)
                self.handle(heapq.heappop(self.due_events)[2])
        self.now = end

    def send_request(self, number: int) -> None:
        """Open client `number` and send one statement: three reads to each write."""
        class_name = ("view", "own", "save", "view")[number % 4]
        comment = f"/* id={number:016x},c={class_name},t=acme,d=2000,cluster={number % 3} */"
        text = f"SELECT content FROM kv WHERE name = 'k{number}' {comment}"
        if class_name == "save":
            text = (
                f"INSERT INTO kv (name, content) VALUES ('k{number}', '\\x9f03') RETURNING content {comment}"
            )
        self.handle(ev.ClientOpened(number))
        self.handle(ev.ClientData(number, frames.startup("backend", "store") + frames.query(text.encode())))


def main(requests: int) -> None:
    """Run `requests` requests and print the figures after each quarter."""
    simulation = Simulation()
    tracing = tracemalloc.is_tracing()
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    number = 0
    for quarter in range(4):
        processor_s_before = simulation.processor_s
        for _ in range(requests // 4):
            number += 1
            simulation.send_request(number)
            simulation.run_until(simulation.now + REQUEST_INTERVAL_SECONDS)
        cost_us = (simulation.processor_s - processor_s_before) / (requests // 4) * 1e6
        objects = len(gc.get_objects())
        size = f", {tracemalloc.get_traced_memory()[0]:,} bytes" if tracing else ""
        print(
            f"quarter {quarter + 1}: {cost_us:.0f} us a request, {objects:,} objects{size}, "
            f"{len(simulation.machine.timers)} timers, {simulation.machine.timers.heap_size} heap entries, "
            f"served {simulation.served}"
        )
    print(f"after a full collection: {gc.collect():,} found, {len(gc.get_objects()):,} objects left")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--requests", type=int, default=20_000)
    main(parser.parse_args().requests)
