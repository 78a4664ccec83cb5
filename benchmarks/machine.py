"""Processor time of one request in the router's state machine alone, without sockets.

Prints the minimum and the median over the rounds. The minimum is the figure least disturbed by other processes.

.venv/bin/python benchmarks/machine.py [--rounds 12]
"""

from __future__ import annotations

import argparse
import gc
import time
from collections import deque

import msgspec
import relay

from banklift.config import build
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Config
from banklift.resp.wire import INFO

CLIENTS = 64
REQUESTS = 3000  # in each round
REQUEST_INTERVAL_SECONDS = 0.0002  # virtual time between two requests
REPLY_DELAY_SECONDS = 0.0001  # virtual time that the member takes to answer


def drive(machine: Machine, now: float, requests: int) -> float:
    """Send `requests` requests one after the other, each answered before the next.

    `now` is the virtual time in seconds. Returns the virtual time afterwards.
    """
    for number in range(requests):
        now += REQUEST_INTERVAL_SECONDS
        actions = deque(machine.handle(now, ev.ClientData(number % CLIENTS + 1, relay.GET)))
        while actions:
            action = actions.popleft()
            if isinstance(action, ev.OpenLink):
                actions.extend(machine.handle(now, ev.LinkUp(action.link)))
            elif isinstance(action, ev.SendToLink):
                now += REPLY_DELAY_SECONDS
                status = b"$%d\r\n%b\r\n" % (len(relay.INFO), relay.INFO) if INFO in action.data else b""
                value = relay.VALUE if relay.GET in action.data else b""
                actions.extend(machine.handle(now, ev.LinkData(action.link, status + value)))
        while machine.wake <= now:
            machine.handle(now, ev.Wake())
    return now


def main(rounds: int) -> None:
    """Measure `rounds` rounds after one that warms up, and print microseconds a request."""
    config = msgspec.convert(relay.configuration(1), Config)
    machine = build.machine(config, 1)
    now = 100.0
    machine.handle(now, build.roster(config, config.groups, 0.0))
    for client in range(1, CLIENTS + 1):
        machine.handle(now, ev.ClientOpened(client))
    now = drive(machine, now, REQUESTS)
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    times = []
    for _ in range(rounds):
        started_at = time.process_time()
        now = drive(machine, now, REQUESTS)
        times.append((time.process_time() - started_at) / REQUESTS)
    print(f"{1e6 * min(times):.0f} us a request, {1e6 * sorted(times)[rounds // 2]:.0f} in the median")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=12)
    main(parser.parse_args().rounds)
