"""Case 6: nodes send a second copy right behind some answers; no client may get the value of another request."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from stand import (
    BROKEN,
    HELD,
    TROUBLE,
    Client,
    CouldNotRun,
    Lists,
    Node,
    Record,
    Router,
    play,
    query,
    select,
)

CLIENTS = 24  # each sends a burst of commands, reads all answers, and rests
COMMANDS = 8
BURST_EVERY_SECONDS = 0.3  # 24 x 8 requests: 640 a second
SPOILT_SHARE = 0.1  # of the answers bring a second copy
SECONDS = 75.0
KEYS = 400


def main_value(key: str) -> bytes:
    return f"value of {key}".encode()


async def case(folder: Path, record: Record) -> int:
    draw = random.Random(6)
    here = Path(__file__).resolve().parent

    lists = Lists(record)
    await lists.start()
    nodes: list[asyncio.subprocess.Process] = []
    counts = {"served": 0, "foreign": 0, "not served": 0, "no answer": 0}
    router = None
    try:
        for name in ("p", "r1", "r2"):
            place = folder / name
            place.mkdir()
            share = SPOILT_SHARE if TROUBLE else 0.0
            process = await asyncio.create_subprocess_exec(
                sys.executable, here / "node.py", name, str(share), place, stdout=asyncio.subprocess.PIPE
            )
            nodes.append(process)
            assert process.stdout is not None
            node = Node(name, record, lambda node, statement: None, lambda node: "")
            node.address = (await process.stdout.readline()).decode().strip()
            lists.set(node, 0, access="writer" if name == "p" else "reader")
        router = Router(folder, lists, record)
        await router.start()
        number = 0

        async def bursts(index: int) -> None:
            nonlocal number
            client = await Client.connect(router.port, record, f"c{index}")
            for burst in range(int(SECONDS / BURST_EVERY_SECONDS)):
                await asyncio.sleep(began + burst * BURST_EVERY_SECONDS - time.time())
                if counts["foreign"]:
                    break
                asked = []
                for _ in range(COMMANDS):
                    number += 1
                    key, request = f"k{draw.randrange(KEYS)}", f"{number:016x}"
                    asked.append((key, request))
                    client.writer.write(query(select(key, f"id={request},c=alert-check,d=1200,cluster=0")))
                record.note(f"{client.name} sent {asked[0][1]} to {asked[-1][1]}")
                for key, request in asked:
                    got = await client.read_answer()
                    if got is None:
                        counts["no answer"] += 1
                        raise CouldNotRun("the router closed a client's connection")
                    if not got.served:
                        counts["not served"] += 1
                    elif got.value == main_value(key):
                        counts["served"] += 1
                    else:
                        counts["foreign"] += 1
                        record.say(f"{request} asked for {key} and was served {got.value!r}")
            client.close()

        began = time.time() + 0.2
        await asyncio.gather(*(bursts(index) for index in range(CLIENTS)))
    finally:
        if router is not None:
            await router.stop()
        for process in nodes:
            process.kill()
            await process.wait()
        for path in sorted(folder.glob("*/record.txt")):
            record.note(f"record of node {path.parent.name}, in seconds since its own start:")
            record.file.write(path.read_text())
    record.say(f"{number} requests: {counts}")
    if counts["served"] < 100:
        raise CouldNotRun("too few requests were served")
    return BROKEN if counts["foreign"] else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
