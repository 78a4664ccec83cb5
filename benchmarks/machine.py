"""What a request costs the machine alone, without sockets: processor time, the least of some rounds.

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

CLIENTS, REQUESTS = 64, 3000


def drive(machine: Machine, now: float, requests: int) -> float:
    """Requests one after the other, answered at once; returns the virtual time afterwards."""
    for number in range(requests):
        now += 0.0002
        todo = deque(machine.handle(now, ev.ClientData(number % CLIENTS + 1, relay.GET)))
        while todo:
            action = todo.popleft()
            if isinstance(action, ev.OpenLink):
                todo.extend(machine.handle(now, ev.LinkUp(action.link)))
            elif isinstance(action, ev.SendToLink):
                now += 0.0001
                told = b"$%d\r\n%b\r\n" % (len(relay.INFO), relay.INFO) if INFO in action.data else b""
                value = relay.VALUE if relay.GET in action.data else b""
                todo.extend(machine.handle(now, ev.LinkData(action.link, told + value)))
        while machine.wake <= now:
            machine.handle(now, ev.Wake())
    return now


def main(rounds: int) -> None:
    config = msgspec.convert(relay.configuration(1), Config)
    machine, now = build.machine(config, 1), 100.0
    machine.handle(now, build.roster(config, config.groups, 0.0))
    for client in range(1, CLIENTS + 1):
        machine.handle(now, ev.ClientOpened(client))
    now = drive(machine, now, REQUESTS)
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)
    times = []
    for _ in range(rounds):
        begin = time.process_time()
        now = drive(machine, now, REQUESTS)
        times.append((time.process_time() - begin) / REQUESTS)
    print(f"{1e6 * min(times):.0f} us a request, {1e6 * sorted(times)[rounds // 2]:.0f} in the median")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=12)
    main(parser.parse_args().rounds)
