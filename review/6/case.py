"""Case 6: the primary drains and hands over; no session may read its key without its own acknowledged write."""

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
    Statement,
    error,
    insert,
    parameter,
    play,
    query,
    row,
    select,
)

GROUPS = 4  # of three nodes each: 12 db hosts, as the brief has them
LAG_SECONDS = 0.35  # how far the replicas are behind
HAND_OVER_SECONDS = 0.6  # from the begin of the drain until r2 is the primary
READ_AFTER_SECONDS = (
    0.11  # from the answer to a write until the session reads, and until it reads again, and again
)
SESSIONS = 4  # in each group
QUIET_SECONDS = 4.0  # before the first drain
REST_SECONDS = 4.0  # after each drain


class Data:
    """The log of one group: who is the primary, and all commits."""

    def __init__(self, group: int) -> None:
        self.group = group
        self.names = [f"{name}{group}" for name in ("b", "a", "c")]
        self.primary = f"b{group}"
        self.log: list[tuple[float, str, bytes]] = []  # time of the commit, key, value

    def position(self, node: Node) -> float:
        """The time up to which a node has applied all commits."""
        return time.time() if node.name == self.primary else time.time() - LAG_SECONDS

    def value(self, node: Node, key: str) -> bytes:
        position = self.position(node)
        found = [value for commit, name, value in self.log if name == key and commit <= position]
        return found[-1] if found else b"none"


async def case(folder: Path, record: Record) -> int:
    draw = random.Random(7)
    groups = [Data(group) for group in range(GROUPS)]
    draining: set[str] = set()

    def of(node: Node) -> Data:
        return groups[int(node.name[1:])]

    def status(node: Node, commit: float | None = None) -> bytes:
        data = of(node)
        position = data.position(node) if commit is None else commit
        return parameter("server_role", "writer" if node.name == data.primary else "reader") + parameter(
            "commit_clock", str(int(position * 1000) + (commit is not None))
        )

    def answer(node: Node, statement: Statement) -> bytes:
        data = of(node)
        if statement.writes:
            if node.name in draining and node.name == data.primary:
                return error("53300", "draining") + status(node)
            if node.name != data.primary:
                record.note(f"{node.name} turns {statement.id} away: no primary")
                return error("25006", "no primary") + status(node)
            commit = time.time()
            data.log.append((commit, statement.key, statement.value))
            record.note(f"{node.name} committed {statement.id}: {statement.key} = {statement.value!r}")
            return row(statement.value, b"INSERT 0 1") + status(node, commit)
        value = data.value(node, statement.key)
        record.note(f"{node.name} ran {statement.id}: {statement.key} is {value!r} there")
        return row(value, b"SELECT 1") + status(node)

    def usage(node: Node) -> str:
        data = of(node)
        primary = int(node.name == data.primary)
        return f"x0={data.position(node):.3f},x1={primary},outstanding={node.held},backlog=0"

    nodes = {name: Node(name, record, answer, usage) for data in groups for name in data.names}
    lists = Lists(record)
    lists.always_whole = True
    await lists.start()
    for name, node in nodes.items():
        await node.start()
        # the roles of the day's begin: a was the primary, before b took over
        lists.set(node, int(name[1:]), access="writer" if name[0] == "a" else "reader")
    router = Router(folder, lists, record)
    counts = {"written": 0, "read": 0, "stale": 0, "not served": 0}
    try:
        await router.start()
        ended = asyncio.Event()
        number = 0

        def comment(kind: str, group: int, more: str = "") -> str:
            nonlocal number
            number += 1
            return (
                f"id={number:016x},c={kind},d={1200 if kind == 'own-picks' else 2000},cluster={group}{more}"
            )

        async def session(data: Data, index: int) -> None:
            client = await Client.connect(router.port, record, f"c{data.group}.{index}")
            await asyncio.sleep(draw.random())
            turn = 0
            while not ended.is_set():
                turn += 1
                key, value = f"pick{data.group}.{index}", f"{data.group}.{index}.{turn}".encode()
                text = comment("pick-save", data.group)
                record.note(f"{client.name} sends {text}: {key} = {value!r}")
                saved = await client.ask(query(insert(key, value, text)))
                record.note(f"{client.name} got {saved}")
                if saved is None:
                    raise CouldNotRun("the router closed a client's connection")
                if not saved.served:
                    counts["not served"] += 1
                    await asyncio.sleep(0.1)
                    continue
                counts["written"] += 1
                commit = max(time for time, name, stored in data.log if name == key and stored == value)
                for _ in range(3):
                    await asyncio.sleep(READ_AFTER_SECONDS)
                    text = comment("own-picks", data.group, f",after={int(commit * 1000) + 1}")
                    record.note(f"{client.name} sends {text}: reads {key}")
                    read = await client.ask(query(select(key, text)))
                    record.note(f"{client.name} got {read}")
                    if read is None:
                        raise CouldNotRun("the router closed a client's connection")
                    if not read.served:
                        counts["not served"] += 1
                    elif read.value == value:
                        counts["read"] += 1
                    else:
                        counts["stale"] += 1
                        record.say(
                            f"{client.name} wrote {value!r}, got its commit, and read {read.value!r} after it"
                        )
                await asyncio.sleep(draw.uniform(0.2, 1.2))
            client.close()

        sessions = [asyncio.create_task(session(data, index)) for data in groups for index in range(SESSIONS)]
        await asyncio.sleep(QUIET_SECONDS)
        if counts["read"] < SESSIONS:
            raise CouldNotRun("too few reads were served before the drain")
        for data in groups:
            if TROUBLE:
                record.note(f"{data.primary} begins to drain")
                draining.add(data.primary)
                lists.set(nodes[data.primary], data.group, "DRAINING")
                await asyncio.sleep(HAND_OVER_SECONDS)
                data.primary = data.names[2]
                record.note(f"{data.primary} is the primary")
            await asyncio.sleep(REST_SECONDS)
        ended.set()
        await asyncio.gather(*sessions)
    finally:
        await router.stop()
    record.say(str(counts))
    return BROKEN if counts["stale"] else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
