"""Case 9: a client leaves while its write is out; its session must still see the write that the router saw succeed."""

from __future__ import annotations

import asyncio
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
    settings,
)

WORK_SECONDS = 0.1
LAG_SECONDS = 2.0  # how far the replicas are behind
LEAVE_SECONDS = 0.03  # from a write to its client's leave
READ_SECONDS = 0.5  # from a write to the session's read
SESSIONS = 20


async def case(folder: Path, record: Record) -> int:
    log: list[tuple[float, str, bytes]] = []  # time of the commit, key, value
    answered: dict[str, float] = {}  # id of a write: when its answer went out on an open connection

    def position(node: Node) -> float:
        return time.time() if node.name == "p" else time.time() - LAG_SECONDS

    def status(node: Node, commit: float | None = None) -> bytes:
        at = position(node) if commit is None else commit
        return parameter("server_role", "writer" if node.name == "p" else "reader") + parameter(
            "commit_clock", str(int(at * 1000) + (commit is not None))
        )

    def answer(node: Node, statement: Statement) -> bytes:
        if statement.writes:
            if node.name != "p":
                return error("25006", "no primary") + status(node)
            commit = time.time()
            log.append((commit, statement.key, statement.value))
            answered[statement.id] = commit
            record.note(f"{node.name} committed {statement.id}: {statement.key} = {statement.value!r}")
            return row(statement.value, b"INSERT 0 1") + status(node, commit)
        here = position(node)
        found = [value for commit, key, value in log if key == statement.key and commit <= here]
        value = found[-1] if found else b"none"
        record.note(f"{node.name} ran {statement.id}: {statement.key} is {value!r} there")
        return row(value, b"SELECT 1") + status(node)

    def gone(node: Node, statement: Statement) -> None:
        """The router had closed the connection: it received no answer to this write."""
        answered.pop(statement.id, None)
        record.note(f"{node.name} could not answer {statement.id}: the connection is closed")

    def usage(node: Node) -> str:
        return f"x0={position(node):.3f},x1={int(node.name == 'p')},outstanding={node.held},backlog=0"

    nodes = [Node(name, record, answer, usage, WORK_SECONDS) for name in ("p", "r1", "r2")]
    lists = Lists(record)
    await lists.start()
    for node in nodes:
        node.gone = gone
        await node.start()
        lists.set(node, 0, access="writer" if node.name == "p" else "reader")
    site = settings()
    site["allowed"]["may_cancel"] = False
    site["family_info"]["token_mode"] = "router"
    router = Router(folder, lists, record, settings=site)
    number = 0
    counts = {"fresh": 0, "stale": 0, "not served": 0, "no answer to the router": 0}

    def comment(kind: str, timeout_ms: int) -> str:
        nonlocal number
        number += 1
        return f"id={number:016x},c={kind},d={timeout_ms},cluster=0"

    async def session(index: int) -> None:
        await asyncio.sleep(0.2 * index)
        key = f"pick{index}"
        client = await Client.connect(router.port, record, f"s{index}")
        got = await client.ask(query(insert(key, b"first", comment("pick-save", 2000))))
        if got is None or not got.served:
            raise CouldNotRun(f"a first write was not served: {got}")
        await asyncio.sleep(LAG_SECONDS + 1.0)
        text = comment("pick-save", 2000)
        request = text[3:19]
        record.note(f"{client.name} sends {text}: {key} = second")
        if client.writer.is_closing() or client.reader.at_eof():  # it rested for too long
            client = await Client.connect(router.port, record, f"s{index}")
        client.writer.write(query(insert(key, b"second", text)))
        if TROUBLE:
            await asyncio.sleep(LEAVE_SECONDS)
            client.close()
            record.note(f"{client.name} leaves")
            await asyncio.sleep(READ_SECONDS - LEAVE_SECONDS)
        else:
            got = await client.read_answer()
            if got is None or not got.served:
                raise CouldNotRun(f"a second write was not served: {got}")
            await asyncio.sleep(READ_SECONDS)
        client = await Client.connect(router.port, record, f"s{index} again")
        text = comment("own-picks", 1200)
        record.note(f"{client.name} sends {text}: reads {key}")
        sent = time.time()
        got = await client.ask(query(select(key, text)))
        record.note(f"{client.name} got {got}")
        if got is None or not got.served:
            counts["not served"] += 1
        elif answered.get(request, sent) > sent - 0.2:
            counts["no answer to the router"] += 1
        elif got.value == b"second":
            counts["fresh"] += 1
        else:
            counts["stale"] += 1
            late = sent - answered[request]
            record.say(f"{key}: read {got.value!r} {late:.2f} s after the router got the answer to 'second'")
        client.close()

    try:
        await router.start()
        await asyncio.gather(*(session(index) for index in range(SESSIONS)))
    finally:
        await router.stop()
    record.say(str(counts))
    if not counts["fresh"] + counts["stale"]:
        raise CouldNotRun("no read could be judged")
    return BROKEN if counts["stale"] else HELD


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
