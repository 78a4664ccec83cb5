"""Shares of a router's processor time by package, from a profile under load.

    .venv/bin/python benchmarks/shares.py [--clients 64] [--pipeline 1] [--seconds 4]

The profiler slows Python code down but hardly system calls, so the share of I/O is underestimated.
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

CATEGORIES = [  # part of a file's path, category of its functions; the first match counts
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


def category(file: str, name: str) -> str:
    """The category of a function by its file or, for functions without one of these files, by its name."""
    for part, name_of_category in CATEGORIES:
        if part in file:
            return name_of_category
    return (
        "I/O" if any(word in name for word in ("socket", "epoll", "Future", "loop")) else "built-in functions"
    )


async def profile(args: argparse.Namespace, folder: Path) -> dict[str, object]:
    """Profile a router in this process under load; member and load run in processes of their own.

    Returns the requests a second, and the share of each category in the profiled time.
    """
    member, pipe = relay.start(relay.run_member)
    path = folder / "router.json"
    path.write_text(json.dumps(relay.configuration(pipe.recv())))
    config = load(path)
    async with anyio.create_task_group() as tasks:
        machine = build.machine(config, 1)
        host = RouterHost(SocketEnv(tasks), machine, "127.0.0.1:0", lambda event, fields: None)
        host.handle_event(build.roster(config, config.groups, 0.0))
        profiler = cProfile.Profile()
        loader, pipe = relay.start(
            relay.run_load, int(host.address.rpartition(":")[2]), args.clients, args.pipeline, args.seconds
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
    for (file, _, name), (_, _, own_s, _, _) in pstats.Stats(profiler).stats.items():  # type: ignore[attr-defined]
        times[category(file, name)] += own_s
    total = sum(times.values())
    return {
        "clients": args.clients,
        "pipeline": args.pipeline,
        "requests a second, profiled": round(rate),
        "refused": refused,
        "shares": {name: round(seconds / total, 2) for name, seconds in times.most_common()},
    }


def main() -> None:
    """Profile with the arguments of the command line and print the result as JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--clients", type=int, default=64)
    parser.add_argument("--pipeline", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(anyio.run(profile, args, Path(folder), backend_options={"use_uvloop": True})))


if __name__ == "__main__":
    main()
