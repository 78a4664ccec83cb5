"""Bad clients send hundreds of commands at once, and each again as soon as it is turned away. Usual clients are still
owed a final answer to each request."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import os
import selectors
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

BEFORE_SECONDS, BAD_SECONDS, AFTER_SECONDS = 5.0, 20.0, 5.0
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "24"))
COMMANDS_AT_ONCE = int(os.environ.get("COMMANDS_AT_ONCE", "800"))
BAD_D_MS = 2  # milliseconds that the bad clients' commands have left
CLIENTS = 20
THINK_SECONDS = 0.1  # about 190 requests a second
D_MS = 1200  # the whole time of the class
LOST_AFTER_SECONDS = D_MS / 1000 + 0.5 + 0.05  # half a second after its time, and 50 ms of slack
TURNED_AWAY = b"C53300\0"


def commands(count: int) -> bytes:
    """So many well-formed reads that have hardly any time left, each with a new id."""
    texts = (standins.read("7f3a9c21e0b4d655", "alert-check", BAD_D_MS) for _ in range(count))
    return b"".join(standins.message(b"Q", text.encode() + b"\0") for text in texts)


def bad_clients(port: int, seconds: float, pipe: object) -> None:
    """Play the bad clients: they write all that the connection takes, and read all that they are sent."""
    selector = selectors.DefaultSelector()
    end, turned_away, closed = time.time() + seconds, 0, 0
    for _ in range(BAD_CLIENTS):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        unsent = bytearray(standins.STARTUP + commands(COMMANDS_AT_ONCE))
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, unsent)
    while time.time() < end and selector.get_map():
        for key, events in selector.select(0.1):
            sock, unsent = key.fileobj, key.data
            try:
                if events & selectors.EVENT_READ:
                    data = sock.recv(1 << 18)
                    if not data:
                        raise ConnectionResetError
                    again = data.count(TURNED_AWAY)
                    turned_away += again
                    unsent += commands(again)
                if events & selectors.EVENT_WRITE and unsent:
                    del unsent[: sock.send(unsent)]
            except BlockingIOError:
                continue
            except OSError:
                closed += 1
                selector.unregister(sock)
                sock.close()
                continue
            wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if unsent else 0)
            if wanted != key.events:
                selector.modify(sock, wanted, unsent)
    pipe.send((turned_away, closed))  # type: ignore[attr-defined]


async def case(record: standins.Record, trouble: bool) -> int:
    """Count the usual clients' requests that got no final answer in time."""
    nodes = [standins.Node(f"s{number}", number == 0, record) for number in range(3)]
    for node in nodes:
        await node.start()
    catalogue = standins.Catalogue(nodes, record)
    await catalogue.start()
    router = standins.Router(record, standins.settings(), catalogue)
    counts: dict[str, int] = {}

    def count(what: str) -> None:
        counts[what] = counts.get(what, 0) + 1

    async def client(number: int) -> None:
        connection = await standins.Client.connect(router.port)
        end = time.time() + BEFORE_SECONDS + BAD_SECONDS + AFTER_SECONDS
        while time.time() < end:
            text = standins.read(f"c{number}", "alert-check", D_MS)
            for is_new_connection in (False, True):
                if is_new_connection:  # the old one was closed with the request unread
                    connection = await standins.Client.open(router.port)
                connection.send(text)
                begun = time.time()
                record("sent", client=number, id=standins.request_id(text), again=is_new_connection)
                try:
                    async with asyncio.timeout(LOST_AFTER_SECONDS):
                        got = await connection.until_ready()
                        if not got or got[0][0] == "R":  # the answer to the startup message
                            got = await connection.until_ready()
                    what = standins.outcome(got)[0]
                except TimeoutError:
                    what = "lost"
                except ConnectionError:
                    what = "closed"
                record(
                    "answered" if what not in ("lost", "closed") else what,
                    client=number,
                    id=standins.request_id(text),
                    what=what,
                    after_ms=round(1000 * (time.time() - begun)),
                )
                if what != "closed":
                    break
            count(what)
            if what in ("lost", "closed"):
                connection.close()
                with contextlib.suppress(OSError, TimeoutError):
                    connection = await standins.Client.open(router.port)
                    async with asyncio.timeout(LOST_AFTER_SECONDS):
                        await connection.until_ready()
            await asyncio.sleep(THINK_SECONDS)

    try:
        await router.start()
        tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(BEFORE_SECONDS)
        record("before", counts=counts)
        served_before = counts.get("served", 0)
        if trouble:
            pipe, other = multiprocessing.Pipe()
            bad = multiprocessing.Process(
                target=bad_clients, args=(router.port, BAD_SECONDS, other), daemon=True
            )
            bad.start()
        await asyncio.sleep(BAD_SECONDS)
        record("bad-clients-end", counts=counts)
        during = dict(counts)
        if trouble:
            await asyncio.sleep(2.0)
            turned_away, closed = pipe.recv() if pipe.poll(5) else (0, 0)
            record("bad-clients", turned_away=turned_away, closed=closed)
            print(f"bad clients: {turned_away} commands turned away, {closed} connections closed")
            bad.kill()
        await asyncio.gather(*tasks)
    finally:
        await router.end()
    print(
        f"usual clients: served {served_before} before, {during} by the end of the bad clients, {counts} in all"
    )
    if served_before < 100:
        raise standins.CouldNotRun(f"too few answers: {counts}")
    return counts.get("lost", 0)


if __name__ == "__main__":
    standins.main(case)
