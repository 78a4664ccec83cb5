"""The router beside a bare relay that decides nothing: throughput and added latency as ratios within one run.

Both stand in front of the same replying peer: a process that answers every command with a fixed frame, as fast as it
can. The relay copies bytes between each client connection and one connection of its own to the peer, in anyio tasks on
uvloop. The load is the same: closed loops of clients, each with one command out, or with pipelines of 16. Rounds of
router and relay alternate, and the medians are compared, so a noisy machine troubles both alike.

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

ROLE = b"*3\r\n$6\r\nmaster\r\n:1000\r\n*0\r\n"
INFO = (
    "# Replication\r\nrole:master\r\nmaster_replid:"
    + "a" * 40
    + "\r\nmaster_replid2:"
    + "0" * 40
    + "\r\nmaster_repl_offset:1000\r\nsecond_repl_offset:-1\r\n"
).encode()
CASES = [(1, 1), (64, 1), (512, 1), (1, 16), (64, 16), (512, 16)]  # clients, pipeline
VALUE = b"$32\r\n" + b"v" * 32 + b"\r\n"
GET = b"*2\r\n$3\r\nGET\r\n$7\r\nalert:1\r\n"


def peer(pipe: Any) -> None:
    """A member that answers at once: role questions truly, anything else with one value."""
    import asyncio

    class Member(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.rest = transport, b""

        def data_received(self, data: bytes) -> None:
            data = self.rest + data
            out, pos = [], 0
            while pos < len(data):
                if data.startswith(GET, pos):
                    out.append(VALUE)
                    pos += len(GET)
                elif data.startswith(b"*1\r\n$4\r\nROLE\r\n", pos):
                    out.append(ROLE)
                    pos += 14
                elif data.startswith(b"*2\r\n$4\r\nINFO\r\n$11\r\nreplication\r\n", pos):
                    out.append(b"$%d\r\n%b\r\n" % (len(INFO), INFO))
                    pos += 32
                else:
                    break
            self.rest = data[pos:]
            self.transport.write(b"".join(out))

    async def main() -> None:
        server = await asyncio.get_running_loop().create_server(Member, "127.0.0.1", 0)
        pipe.send(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    uvloop.run(main())


def relay(pipe: Any, port: int) -> None:
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


def load(pipe: Any, port: int, clients: int, depth: int, seconds: float) -> None:
    """Closed loops; sends back how many answers came and the latencies of a sample."""
    import asyncio

    times: list[float] = []
    counts, refused = [0], [0]
    batch, size = GET * depth, len(VALUE) * depth
    end = time.perf_counter() + seconds
    done: list[Any] = []

    class Client(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            self.transport, self.got = transport, 0
            self.finished = asyncio.get_running_loop().create_future()
            done.append(self.finished)
            self.send()

        def send(self) -> None:
            self.sent = time.perf_counter()
            self.transport.write(batch)

        def data_received(self, data: bytes) -> None:
            if b"-TRYAGAIN" in data:  # refused: the round's figures would mean nothing
                refused[0] += data.count(b"-TRYAGAIN")
                self.got += size
            self.got += len(data)
            if self.got >= size:
                now = time.perf_counter()
                times.append(now - self.sent)
                counts[0] += depth
                self.got = 0
                if now < end:
                    self.send()
                else:
                    self.transport.close()
                    self.finished.set_result(None)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for _ in range(clients):
            await loop.create_connection(Client, "127.0.0.1", port)
        await asyncio.gather(*done)

    begin = time.perf_counter()
    uvloop.run(main())
    pipe.send((counts[0] / (time.perf_counter() - begin), statistics.median(times), refused[0]))


def start(target: Any, *args: Any) -> tuple[Any, Any]:
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=target, args=(theirs, *args), daemon=True)
    process.start()
    return process, ours


def configuration(port: int) -> dict[str, Any]:
    """One member, one class that any member may serve, aims that refuse nothing."""
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


def router(port: int, folder: Path) -> tuple[subprocess.Popen[bytes], int]:
    path = folder / "router.json"
    path.write_text(json.dumps(configuration(port)))
    process = subprocess.Popen(
        [sys.executable, "-m", "banklift", "router", "--config", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    assert process.stdout is not None
    return process, int(json.loads(process.stdout.readline())["listening"].rpartition(":")[2])


def resident(pid: int) -> int:
    """Bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def memory(clients: int = 1000) -> tuple[float, float]:
    """Bytes that an idle client costs a fresh router, and how many more one with an open request does, which a member
    that never answers has."""
    silent = socket.create_server(("127.0.0.1", 0), backlog=1024)
    with tempfile.TemporaryDirectory() as folder:
        process, port = router(silent.getsockname()[1], Path(folder))

        def connect() -> socket.socket:
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(b"PING\r\n")
            sock.recv(100)
            return sock

        socks = [connect()]
        begin = resident(process.pid)
        socks += [connect() for _ in range(clients)]
        idle = resident(process.pid)
        for sock in socks:
            sock.sendall(GET)
        socks.append(connect())  # all were read by now
        opened = resident(process.pid)
        for sock in [*socks, silent]:
            sock.close()
        process.terminate()
        process.wait()
    return (idle - begin) / clients, (opened - idle) / clients


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--out", type=Path, default=Path(__file__).with_name("results") / "relay.json")
    given = parser.parse_args()
    member, pipe = start(peer)
    member_port = pipe.recv()
    bare, pipe = start(relay, member_port)
    relay_port = pipe.recv()
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        process, router_port = router(member_port, Path(folder))
        try:
            for clients, depth in CASES:
                figures: dict[str, list[tuple[float, float, int]]] = {"router": [], "relay": [], "direct": []}
                for _ in range(given.rounds):
                    for name, port in (
                        ("router", router_port),
                        ("relay", relay_port),
                        ("direct", member_port),
                    ):
                        loader, pipe = start(load, port, clients, depth, given.seconds)
                        figures[name].append(pipe.recv())
                        loader.join()
                rate = {
                    name: statistics.median(rate for rate, _, _ in found) for name, found in figures.items()
                }
                wait = {
                    name: statistics.median(wait for _, wait, _ in found) for name, found in figures.items()
                }
                added = (wait["router"] - wait["direct"]) / max(wait["relay"] - wait["direct"], 1e-9)
                rows.append(
                    {
                        "clients": clients,
                        "pipeline": depth,
                        "router/s": round(rate["router"]),
                        "relay/s": round(rate["relay"]),
                        "throughput ratio": round(rate["router"] / rate["relay"], 2),
                        "added latency ratio": round(added, 2),
                        "router ms": round(1000 * wait["router"], 3),
                        "relay ms": round(1000 * wait["relay"], 3),
                        "direct ms": round(1000 * wait["direct"], 3),
                        "refused": sum(refused for _, _, refused in figures["router"]),
                    }
                )
                print(rows[-1], flush=True)
        finally:
            process.terminate()
            process.wait()
    bare.terminate()
    member.terminate()
    idle, opened = memory()
    result = {
        "machine": f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}",
        "seconds": given.seconds,
        "rounds": given.rounds,
        "cases": rows,
        "bytes for an idle client": round(idle),
        "bytes more for an open request": round(opened),
    }
    given.out.parent.mkdir(exist_ok=True)
    given.out.write_text(json.dumps(result, indent=1) + "\n")
    print(result)


if __name__ == "__main__":
    main()
