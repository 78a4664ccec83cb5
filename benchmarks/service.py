"""What a request costs the router's process on the platform's protocol, on sockets, and what memory it keeps.

    python -m benchmarks.service [--rate R] [--seconds S] [--profile FILE]

Stand-in nodes, catalogue and clients run here; the router is a process of its own, started as `run` starts it. Requests
come at a steady rate over connections that are kept, a part over new ones. Figures come from /proc: microseconds of CPU
a request, resident memory by quarters.
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

from banklift.emulator.platform import Catalogue, PgNode
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


class Caller(Peer):
    """One client connection, one request at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.handle: Handle | None = None
        self.busy = False
        self.sent = 0.0

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def ask(self, text: bytes, first: bool) -> None:
        self.busy, self.sent = True, self.load.env.now()
        assert self.handle is not None
        self.handle.send((frames.startup("backend", "store") if first else b"") + frames.query(text))

    def data(self, data: bytes) -> None:
        if b"C\0\0\0" in data or data[:1] == b"E":
            self.busy = False
            if data[:1] == b"E":
                self.load.refused += 1
            else:
                self.load.served += 1
                self.load.times.append(self.load.env.now() - self.sent)
            self.load.rest(self)

    def eof(self) -> None:
        self.lost("closed")

    def lost(self, reason: str) -> None:
        if self in self.load.idle:
            self.load.idle.remove(self)
        if self.handle is not None:
            self.handle.close()


class Load:
    def __init__(self, env: SocketEnv, address: str, rate: float) -> None:
        self.env, self.address, self.rate = env, address, rate
        self.idle: deque[Caller] = deque()
        self.served = self.refused = self.asked = 0
        self.times: list[float] = []
        self.random = random.Random(1)
        self.stopped = False

    def rest(self, caller: Caller) -> None:
        self.idle.append(caller)

    def next(self) -> None:
        if self.stopped:
            return
        self.env.at(self.env.now() + self.random.expovariate(self.rate), self.next)
        self.asked += 1
        kind = ("view", "own", "save", "view")[self.asked % 4]
        note = f"/* id={self.asked:016x},c={kind},t=acme,d=2000,cluster={self.asked % 3} */"
        text = f"SELECT content FROM kv WHERE name = 'k{self.asked}' {note}"
        if kind == "save":
            text = (
                f"INSERT INTO kv (name, content) VALUES ('k{self.asked}', '\\x9f03') RETURNING content {note}"
            )
        if self.idle and self.asked % 8:
            self.idle.popleft().ask(text.encode(), False)
        else:
            caller = Caller(self)
            caller.handle = self.env.connect(self.address, caller)
            caller.ask(text.encode(), True)


def spent(pid: int) -> tuple[float, int]:
    """CPU seconds and resident kB."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status") as file:
        resident = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident


async def main(rate: float, seconds: float, profile: str) -> None:
    async with anyio.create_task_group() as tasks:
        env = SocketEnv(tasks, time.time)
        catalogue = Catalogue(env).start()
        for group in range(3):
            store: dict[bytes, bytes] = {}
            for place in range(3):
                node = PgNode(env, primary=place == 0, delay=0.03, store=store).start()
                catalogue.list(f"s{group}{place}", node.address, group, writes=place == 0)
        with tempfile.TemporaryDirectory() as folder:
            listen = "127.0.0.1:47411"
            config = {
                "name": "n0",
                "listen": listen,
                "discovery": catalogue.address,
                "seed": "1f",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                "known": catalogue.whole(),
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
            how = ["-m", "cProfile", "-o", profile, "-m"] if profile else ["-m"]
            process = subprocess.Popen(
                [sys.executable, *how, "banklift.net.service"], env=environment, stderr=subprocess.DEVNULL
            )
            await anyio.sleep(1.0)
            load = Load(env, listen, rate)
            load.next()
            for quarter in range(4):
                before, served = spent(process.pid)[0], load.asked
                await anyio.sleep(seconds / 4)
                cpu, resident = spent(process.pid)
                print(
                    f"quarter {quarter + 1}: {(cpu - before) / (load.asked - served) * 1e6:.0f} us a request, "
                    f"{resident / 1024:.1f} MB"
                )
            load.stopped = True
            load.times.sort()
            middle, late = (load.times[len(load.times) * part // 100] * 1000 for part in (50, 99))
            print(
                f"asked {load.asked}, served {load.served}, refused {load.refused}, median {middle:.1f} ms, "
                f"99% {late:.1f} ms"
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
    given = parser.parse_args()
    anyio.run(main, given.rate, given.seconds, given.profile)
