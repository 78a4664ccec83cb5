"""Processor time of one request in the router's process on the platform's protocol, over sockets, and memory kept.

    python -m benchmarks.service [--rate R] [--seconds S] [--profile FILE]

Emulated members, the catalogue and the clients run in this process; the router runs in a process of its own, started
as the platform starts it. Requests arrive at a steady mean rate, seven of eight over connections that are kept open and
the others over new ones. Prints for each quarter of the run, from /proc, microseconds of CPU a request and the resident
memory. `--profile` writes a profile of the router (cProfile) to FILE.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import deque

import anyio

from banklift.emulator.platform import Catalogue, PgMember
from banklift.net.env import Handle, Peer
from banklift.net.sockets import SocketEnv
from banklift.pg import frames

SETTINGS = {
    "services": [
        {
            "name": "view",
            "semantics": "retryable",
            "aim_s": 0.5,
            "deadline_s": 2.0,
            "points": 1,
            "late_worth": 0,
        },
        {
            "name": "own",
            "semantics": "retryable",
            "aim_s": 0.5,
            "deadline_s": 1.2,
            "points": 3,
            "late_worth": 0,
        },
        {
            "name": "save",
            "semantics": "fragile",
            "aim_s": 1.0,
            "deadline_s": 2.0,
            "points": 6,
            "late_worth": 0.3,
        },
    ],
    "family_info": {
        "class_read": ["recent", "own_writes", "update"],
        "staleness_bound_s": [0.8, 0, 0],
        "role_in_list": "initial",
        "stamps": True,
        "token_mode": "client",
    },
    "tenants": [{"name": "acme", "share": 1.0}],
    "membership_mode": "subscribe",
    "balancers": 1,
    "allowed": {
        "max_attempts": 6,
        "may_cancel": True,
        "probing": True,
        "retry_after": True,
        "max_retry_after_s": 1.0,
    },
    "rules": {
        "ask_within_s": 10.0,
        "drain_grace_s": 2.0,
        "cold_share": 0.3,
        "cold_s": 10.0,
        "fall_multiple": 3.0,
        "fall_s": 3.0,
        "grace_to_answer_s": 0.0,
    },
}


NEW_CONNECTION_INTERVAL = 8  # one request in this many uses a new connection


class ClientConnection(Peer):
    """One client connection, with at most one request at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.handle: Handle | None = None
        self.busy = False
        self.sent_at = 0.0  # seconds, on the clock of the environment

    def connected(self, handle: Handle) -> None:
        """Keep the handle of the connection, which is established."""
        self.handle = handle

    def send_request(self, text: bytes, first: bool) -> None:
        """Send a statement, after the start-up message if it is the connection's first."""
        self.busy = True
        self.sent_at = self.load.env.now()
        assert self.handle is not None
        self.handle.send((frames.startup("backend", "store") if first else b"") + frames.query(text))

    def data(self, data: bytes) -> None:
        """Count the answer: an error as refused, anything else as served."""
        if b"C\0\0\0" in data or data[:1] == b"E":
            self.busy = False
            if data[:1] == b"E":
                self.load.refused += 1
            else:
                self.load.served += 1
                self.load.times.append(self.load.env.now() - self.sent_at)
            self.load.add_idle(self)

    def eof(self) -> None:
        """Close the connection after the router has closed its side."""
        self.lost("closed")

    def lost(self, reason: str) -> None:
        """Take the connection out of the pool and close it."""
        if self in self.load.idle:
            self.load.idle.remove(self)
        if self.handle is not None:
            self.handle.close()


class Load:
    """Sends requests at `rate` a second on average, with exponentially distributed intervals."""

    def __init__(self, env: SocketEnv, address: str, rate: float) -> None:
        self.env, self.address, self.rate = env, address, rate
        self.idle: deque[ClientConnection] = deque()
        self.served = self.refused = self.sent = 0
        self.times: list[float] = []  # seconds from a request to its answer
        self.random = random.Random(1)
        self.stopped = False

    def add_idle(self, connection: ClientConnection) -> None:
        """Put a connection into the pool for later requests."""
        self.idle.append(connection)

    def send_next(self) -> None:
        """Send one request and schedule the next one, until the load is stopped."""
        if self.stopped:
            return
        self.env.at(self.env.now() + self.random.expovariate(self.rate), self.send_next)
        self.sent += 1
        class_name = ("view", "own", "save", "view")[self.sent % 4]
        comment = f"/* id={self.sent:016x},c={class_name},t=acme,d=2000,cluster={self.sent % 3} */"
        text = f"SELECT content FROM kv WHERE name = 'k{self.sent}' {comment}"
        if class_name == "save":
            text = f"INSERT INTO kv (name, content) VALUES ('k{self.sent}', '\\x9f03') RETURNING content {comment}"
        if self.idle and self.sent % NEW_CONNECTION_INTERVAL:
            self.idle.popleft().send_request(text.encode(), False)
        else:
            connection = ClientConnection(self)
            connection.handle = self.env.connect(self.address, connection)
            connection.send_request(text.encode(), True)


def process_usage(pid: int) -> tuple[float, int]:
    """CPU time of a process in seconds, user and system, and its resident memory in kB.

    Errors: `OSError` if there is no such process.
    """
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident


async def main(rate: float, seconds: float, profile: str) -> None:
    """Run the load at `rate` requests a second for `seconds`. `profile`: file for a profile, empty for none."""
    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks, time.time)
        catalogue = Catalogue(env).start()
        for group in range(3):
            store: dict[bytes, bytes] = {}
            for index in range(3):
                member = PgMember(env, primary=index == 0, answer_delay_seconds=0.03, store=store).start()
                catalogue.update(f"s{group}{index}", member.address, group, writes=index == 0)
        with tempfile.TemporaryDirectory() as folder:
            listen = "127.0.0.1:47411"
            config = {
                "name": "n0",
                "listen": listen,
                "discovery": catalogue.address,
                "seed": "1f",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                "known": catalogue.snapshot(),
                "settings": SETTINGS,
            }
            path = os.path.join(folder, "config.json")
            with open(path, "w") as file:
                json.dump(config, file)
            environment = {
                **os.environ,
                "ROUTER_NAME": "n0",
                "ROUTER_LISTEN": listen,
                "ROUTER_DISCOVERY": catalogue.address,
                "ROUTER_CONFIG": path,
            }
            arguments = ["-m", "cProfile", "-o", profile, "-m"] if profile else ["-m"]
            process = subprocess.Popen(
                [sys.executable, *arguments, "banklift.net.service"],
                env=environment,
                stderr=subprocess.DEVNULL,
            )
            await anyio.sleep(1.0)
            load = Load(env, listen, rate)
            load.send_next()
            for quarter in range(4):
                cpu_before = process_usage(process.pid)[0]
                sent_before = load.sent
                await anyio.sleep(seconds / 4)
                cpu, resident_kb = process_usage(process.pid)
                print(
                    f"quarter {quarter + 1}: {(cpu - cpu_before) / (load.sent - sent_before) * 1e6:.0f} us a request, "
                    f"{resident_kb / 1024:.1f} MB"
                )
            load.stopped = True
            load.times.sort()
            median_ms, p99_ms = (load.times[len(load.times) * part // 100] * 1000 for part in (50, 99))
            print(
                f"sent {load.sent}, served {load.served}, refused {load.refused}, median {median_ms:.1f} ms, "
                f"99% {p99_ms:.1f} ms"
            )
            process.terminate()
            with anyio.move_on_after(10):
                while process.poll() is None:
                    await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=16.0)
    parser.add_argument("--profile", default="")
    args = parser.parse_args()
    anyio.run(main, args.rate, args.seconds, args.profile)
