"""Where a router's time goes: a profile of one under load, its own time by package.

    .venv/bin/python benchmarks/shares.py [--clients 64] [--pipeline 1] [--seconds 4]

The profiler slows Python code down and system calls hardly, so I/O comes out smaller than it is.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import pstats
import tempfile
from collections import Counter
from pathlib import Path

import anyio
import relay

from banklift.config import build
from banklift.config.load import load
from banklift.net.router import RouterHost
from banklift.net.sockets import SocketEnv

PLACES = [
    ("banklift/balance", "decisions"),
    ("banklift/decide", "decisions"),
    ("random.py", "decisions"),
    ("banklift/resp", "codec and front"),
    ("banklift/proxy", "requests, attempts, links"),
    ("banklift/net", "I/O"),
    ("anyio", "I/O"),
    ("uvloop", "I/O"),
    ("asyncio", "I/O"),
]


def place(file: str, name: str) -> str:
    for part, kind in PLACES:
        if part in file:
            return kind
    return (
        "I/O" if any(word in name for word in ("socket", "epoll", "Future", "loop")) else "built-in functions"
    )


async def profile(given: argparse.Namespace, folder: Path) -> dict[str, object]:
    member, pipe = relay.start(relay.peer)
    path = folder / "router.json"
    path.write_text(json.dumps(relay.configuration(pipe.recv())))
    config = load(path)
    async with anyio.create_task_group() as tasks:
        machine = build.machine(config, 1)
        host = RouterHost(SocketEnv(tasks), machine, "127.0.0.1:0", lambda event, fields: None)
        host.handle_event(build.roster(config, config.groups, 0.0))
        profiler = cProfile.Profile()
        loader, pipe = relay.start(
            relay.load, int(host.address.rpartition(":")[2]), given.clients, given.pipeline, given.seconds
        )
        profiler.enable()
        while not pipe.poll():
            await anyio.sleep(0.05)
        profiler.disable()
        rate, _, refused = pipe.recv()
        loader.join()
        tasks.cancel_scope.cancel()
    member.terminate()
    times: Counter[str] = Counter()
    for (file, _, name), (_, _, own, _, _) in pstats.Stats(profiler).stats.items():  # type: ignore[attr-defined]
        times[place(file, name)] += own
    total = sum(times.values())
    return {
        "clients": given.clients,
        "pipeline": given.pipeline,
        "requests a second, profiled": round(rate),
        "refused": refused,
        "shares": {name: round(own / total, 2) for name, own in times.most_common()},
    }


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--pipeline", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(anyio.run(profile, given, Path(folder), backend_options={"use_uvloop": True})))


if __name__ == "__main__":
    main()
