"""What happened on a day of the rig: lines of JSON, written by who was outside of every router."""

from __future__ import annotations

from pathlib import Path

import msgspec


class Entry(msgspec.Struct, omit_defaults=True):
    """`k`: sent and got (a client's), ran (a member's), set and told (an operator's), fault, up and down (of a router's
    process). `t`: seconds on one clock."""

    t: float
    k: str
    key: str = ""  # of the request: each has its own
    router: str = ""
    member: str = ""
    role: str = ""  # of the member, then
    answer: str = ""  # served, refused, lost; of an operator: the result
    parity: int = -1  # of the policy that a change would put in force
    what: str = ""


class Trace:
    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def add(self, entry: Entry) -> None:
        self.entries.append(entry)

    def write(self, path: Path) -> None:
        path.write_bytes(b"\n".join(map(msgspec.json.encode, self.entries)) + b"\n")


def read(path: Path) -> list[Entry]:
    return [msgspec.json.decode(line, type=Entry) for line in path.read_bytes().splitlines()]
