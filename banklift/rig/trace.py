"""Trace of one run of the rig: JSON lines, written by the clients, members and operators around the routers."""

from __future__ import annotations

from pathlib import Path

import msgspec


class Entry(msgspec.Struct, omit_defaults=True):
    """One event of a run.

    | kind | written by | event |
    | --- | --- | --- |
    | sent, got | a client | it sent a request, or got the answer |
    | ran | a member | it ran the command of a request |
    | set, told | an operator | it asked for a change of policy, or got the outcome |
    | up, down | the rig | a router's process can run from here on, or no longer |
    | fault | the rig | a fault was injected or taken back |

    `time`: seconds on one monotonic clock, the rig's.
    """

    time: float = msgspec.field(name="t")
    kind: str = msgspec.field(name="k")
    key: str = ""  # of the request; each request has its own
    router: str = ""
    member: str = ""
    role: str = ""  # of the member when it ran the command: primary or replica
    answer: str = ""  # to a client: served, refused, failed, lost or error TEXT; to an operator: the result
    variant: int = msgspec.field(default=-1, name="parity")  # of the policy that a change asks for (site.py)
    what: str = ""  # describes a fault, or how a process came up or went down


class Trace:
    """The entries of a run, in the order in which they were added."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []

    def add(self, entry: Entry) -> None:
        self.entries.append(entry)

    def write(self, path: Path) -> None:
        """Write all entries as JSON lines. Errors: `OSError`."""
        path.write_bytes(b"\n".join(map(msgspec.json.encode, self.entries)) + b"\n")


def read(path: Path) -> list[Entry]:
    """Read a trace that `Trace.write` wrote. Errors: `OSError`, `msgspec.DecodeError`."""
    return [msgspec.json.decode(line, type=Entry) for line in path.read_bytes().splitlines()]
