"""A node of case 6 as a process of its own: node.py NAME SHARE FOLDER. It prints its address.

SHARE of its answers bring a second copy right behind, if nothing else waits on the connection: the next write on it.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
from stand import READY, Node, Record, Statement, parameter, row


async def main(name: str, share: float, folder: Path) -> None:
    record = Record(folder, flushes=True)
    draw = random.Random(name)

    def answer(node: Node, statement: Statement) -> bytes:
        status = parameter("server_role", "writer" if name == "p" else "reader")
        status += parameter("commit_clock", str(int(time.time() * 1000)))
        return row(f"value of {statement.key}".encode(), b"SELECT 1") + status

    def usage(node: Node) -> str:
        return f"x0={time.time():.3f},x1={int(name == 'p')},outstanding={node.held},backlog=0"

    def second_copy(node: Node, statement: Statement) -> bytes:
        if draw.random() >= share:
            return b""
        return answer(node, statement) + READY

    node = Node(name, record, answer, usage)
    node.extra = second_copy
    await node.start()
    print(node.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], float(sys.argv[2]), Path(sys.argv[3])))
