"""Throughput and added latency of the router, as ratios to those of a TCP relay measured in the same run.

Router and relay forward to the same member: a process that answers every command with a fixed frame, as fast as it can.
The relay copies bytes between each client connection and one connection of its own to the member, in anyio tasks on
uvloop. The load is the same for both: clients in closed loops, each with one command in flight or a pipeline of 16.
Rounds with router, relay and direct connections alternate, and medians are compared, so that noise on the machine
affects all of them alike.

    .venv/bin/python benchmarks/relay.py [--seconds 2] [--rounds 3] [--out benchmarks/results/relay.json]
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import platform
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import uvloop

ROLE_REPLY = b"*3\r\n$6\r\nmaster\r\n:1000\r\n*0\r\n"
INFO = (
    "# Replication\r\nrole:master\r\nmaster_replid:"
    + "a" * 40
    + "\r\nmaster_replid2:"
    + "0" * 40
    + "\r\nmaster_repl_offset:1000\r\nsecond_repl_offset:-1\r\n"
).encode()
CASES = [(1, 1), (64, 1), (512, 1), (1, 16), (64, 16), (512, 16)]  # clients, pipeline depth
VALUE = b"$32\r\n" + b"v" * 32 + b"\r\n"
GET = b"*2\r\n$3\r\nGET\r\n$7\r\nalert:1\r\n"


def run_member(pipe: Any) -> None:
    """Run a member that answers at once: ROLE and INFO as a primary, and the load's GET with a fixed value.

    Sends its port through `pipe`.
    """
    import asyncio

    class Member(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport = transport
            self.unparsed = b""

        def data_received(self, data: bytes) -> None:
            data = self.unparsed + data
            replies: list[bytes] = []
            pos = 0
            while pos < len(data):
                if data.startswith(GET, pos):
                    replies.append(VALUE)
                    pos += len(GET)
                elif data.startswith(b"*1\r\n$4\r\nROLE\r\n", pos):
                    replies.append(ROLE_REPLY)
                    pos += 14
                elif data.startswith(b"*2\r\n$4\r\nINFO\r\n$11\r\nreplication\r\n", pos):
                    replies.append(b"$%d\r\n%b\r\n" % (len(INFO), INFO))
                    pos += 32
                else:
                    break
            self.unparsed = data[pos:]
            self.transport.write(b"".join(replies))

    async def main() -> None:
        server = await asyncio.get_running_loop().create_server(Member, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    uvloop.run(main())


def run_relay(pipe: Any, port: int) -> None:
    """Run a relay to the member at `port` of this host. Sends its own port through `pipe`."""

    async def copy(source: anyio.abc.ByteStream, sink: anyio.abc.ByteStream) -> None:
        try:
            async for data in source:
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        await sink.aclose()

    async def handle(client: anyio.abc.ByteStream) -> None:
        async with (
            client,
            await anyio.connect_tcp("127.0.0.1", port) as member,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(copy, client, member)
            tasks.start_soon(copy, member, client)

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        pipe.send(listener.extra(anyio.abc.SocketAttribute.local_port))
        await listener.serve(handle)

    anyio.run(main, backend_options={"use_uvloop": True})


def run_load(pipe: Any, port: int, clients: int, depth: int, seconds: float) -> None:
    """Load `port` of this host with `clients` closed loops of pipelines of `depth` commands, for `seconds`.

    Sends (replies a second, median seconds of a pipeline, replies that refused) through `pipe`.
    """
    import asyncio

    times: list[float] = []
    counts = [0]
    refused = [0]
    batch = GET * depth
    reply_size = len(VALUE) * depth
    end = time.perf_counter() + seconds
    finished: list[Any] = []

    class Client(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport = transport
            self.received = 0  # bytes of the replies to the current pipeline
            self.finished = asyncio.get_running_loop().create_future()
            finished.append(self.finished)
            self.send()

        def send(self) -> None:
            self.sent_at = time.perf_counter()
            self.transport.write(batch)

        def data_received(self, data: bytes) -> None:
            if b"-TRYAGAIN" in data:  # counted, as a refusal makes the round's figures meaningless
                refused[0] += data.count(b"-TRYAGAIN")
                self.received += reply_size
            self.received += len(data)
            if self.received >= reply_size:
                now = time.perf_counter()
                times.append(now - self.sent_at)
                counts[0] += depth
                self.received = 0
                if now < end:
                    self.send()
                else:
                    self.transport.close()
                    self.finished.set_result(None)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for _ in range(clients):
            await loop.create_connection(Client, "127.0.0.1", port)
        await asyncio.gather(*finished)

    started_at = time.perf_counter()
    uvloop.run(main())
    pipe.send((counts[0] / (time.perf_counter() - started_at), statistics.median(times), refused[0]))


def start(target: Any, *args: Any) -> tuple[Any, Any]:
    """Run `target(pipe, *args)` in a process. Returns the process and this side of the pipe."""
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.Process(target=target, args=(child_end, *args), daemon=True)
    process.start()
    return process, parent_end


def configuration(port: int) -> dict[str, Any]:
    """A router's configuration: one member at `port`, reads from any member, and aims that refuse nothing."""
    return {
        "listen": "127.0.0.1:0",
        "default_read": "any",
        "default_write": "save",
        "limits": {"links": 600},
        "groups": [
            {
                "name": "g",
                "slots": [[0, 16383]],
                "members": [{"name": "m", "address": f"127.0.0.1:{port}", "primary": True}],
            }
        ],
        "classes": [
            {"name": "any", "effect": "safe", "need": "any", "aim": 5, "deadline": 10},
            {"name": "save", "effect": "unsafe", "need": "write", "aim": 1, "deadline": 5},
        ],
    }


def start_router(port: int, folder: Path) -> tuple[subprocess.Popen[bytes], int]:
    """Start a router for the member at `port`, with its file in `folder`. Returns the process and its port."""
    path = folder / "router.json"
    path.write_text(json.dumps(configuration(port)))
    process = subprocess.Popen(
        [sys.executable, "-m", "banklift", "router", "--config", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert process.stdout is not None
    return process, int(json.loads(process.stdout.readline())["listening"].rpartition(":")[2])


def resident_bytes(pid: int) -> int:
    """Resident memory of a process. Errors: `OSError` if there is no such process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_memory(clients: int = 1000) -> tuple[float, float]:
    """Bytes that an idle client costs a fresh router, and bytes more that an open request costs.

    The only member never answers, so that each request stays open.
    """
    silent = socket.create_server(("127.0.0.1", 0), backlog=1024)
    with tempfile.TemporaryDirectory() as folder:
        process, port = start_router(silent.getsockname()[1], Path(folder))

        def connect() -> socket.socket:
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(b"PING\r\n")
            sock.recv(100)
            return sock

        socks = [connect()]
        initial = resident_bytes(process.pid)
        socks += [connect() for _ in range(clients)]
        idle = resident_bytes(process.pid)
        for sock in socks:
            sock.sendall(GET)
        socks.append(connect())  # its reply shows that the router has read all requests before it
        opened = resident_bytes(process.pid)
        for sock in [*socks, silent]:
            sock.close()
        process.terminate()
        process.wait()
    return (idle - initial) / clients, (opened - idle) / clients


def main() -> None:
    """Measure all cases and the memory of clients, print them, and write them to `--out`."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--out", type=Path, default=Path(__file__).with_name("results") / "relay.json")
    args = parser.parse_args()
    member, pipe = start(run_member)
    member_port = pipe.recv()
    relay_process, pipe = start(run_relay, member_port)
    relay_port = pipe.recv()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        process, router_port = start_router(member_port, Path(folder))
        try:
            for clients, depth in CASES:
                figures: dict[str, list[tuple[float, float, int]]] = {"router": [], "relay": [], "direct": []}
                for _ in range(args.rounds):
                    for name, port in (
                        ("router", router_port),
                        ("relay", relay_port),
                        ("direct", member_port),
                    ):
                        loader, pipe = start(run_load, port, clients, depth, args.seconds)
                        figures[name].append(pipe.recv())
                        loader.join()
                rates = {
                    name: statistics.median(rate for rate, _, _ in rounds) for name, rounds in figures.items()
                }
                latencies = {
                    name: statistics.median(latency for _, latency, _ in rounds)
                    for name, rounds in figures.items()
                }
                added_by_relay = max(latencies["relay"] - latencies["direct"], 1e-9)
                added_ratio = (latencies["router"] - latencies["direct"]) / added_by_relay
                rows.append(
                    {
                        "clients": clients,
                        "pipeline": depth,
                        "router/s": round(rates["router"]),
                        "relay/s": round(rates["relay"]),
                        "throughput ratio": round(rates["router"] / rates["relay"], 2),
                        "added latency ratio": round(added_ratio, 2),
                        "router ms": round(1000 * latencies["router"], 3),
                        "relay ms": round(1000 * latencies["relay"], 3),
                        "direct ms": round(1000 * latencies["direct"], 3),
                        "refused": sum(refused for _, _, refused in figures["router"]),
                    }
                )
                print(rows[-1], flush=True)
        finally:
            process.terminate()
            process.wait()
    relay_process.terminate()
    member.terminate()
    idle, opened = measure_memory()
    result = {
        "machine": f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}",
        "seconds": args.seconds,
        "rounds": args.rounds,
        "cases": rows,
        "bytes for an idle client": round(idle),
        "bytes more for an open request": round(opened),
    }
    args.out.parent.mkdir(exist_ok=True)
    args.out.write_text(json.dumps(result, indent=1) + "\n")
    print(result)


if __name__ == "__main__":
    main()
