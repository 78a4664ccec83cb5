"""How a member's answer reads as the outcome of an attempt, and what `ROLE` and `INFO replication` say.

| answer | means |
| --- | --- |
| `-READONLY`, `-MISCONF`, `-NOREPLICAS`, `-CLUSTERDOWN`, `-MOVED`, `-ASK`, `-TRYAGAIN` | turned away, nothing ran |
| `-LOADING`, `-MASTERDOWN`, `-BUSY`, `-OOM`, `-ERR max number of clients reached` | full: turned away unseen |
| `-NOAUTH`, `-NOPERM`, `-WRONGPASS` where the link's own login failed | no connection |
| `-UNKILLABLE`, `-EXECABORT` and every other error | an honest answer of the application: passed on |

`-NOREPLICAS` and `-MISCONF` come before a command runs (too few replicas, disk trouble), so nothing ran. `-BUSY` comes
while a script runs and before the command is looked at. Every row holds for real Redis: its dispatcher gives these
answers before it calls the command. An error out of the middle of a script carries the same codes and names the script:
what came before it has run, so it is an answer.
"""

from __future__ import annotations

from banklift.decide.offsets import Standing
from banklift.interface import Status
from banklift.resp.frames import ProtocolError, decode

MISSES = (b"-READONLY", b"-MISCONF", b"-NOREPLICAS", b"-CLUSTERDOWN", b"-MOVED", b"-ASK", b"-TRYAGAIN")
FULLS = (b"-LOADING", b"-MASTERDOWN", b"-BUSY ", b"-OOM", b"-ERR max number of clients")


def status(frame: bytes) -> Status:
    """What an answer means for its attempt."""
    if frame[:1] != b"-" or b" script: " in frame:
        return Status.OK
    if frame.startswith(MISSES):
        return Status.MISS
    if frame.startswith(FULLS):
        return Status.FULL
    return Status.OK


def standing_of_role(frame: bytes) -> Standing | None:
    """Reads an answer to `ROLE`; None if it is none (an error, or not by the specification)."""
    if frame.startswith(b"*3\r\n$6\r\nmaster\r\n:"):  # by far the most frequent, without building values
        end = frame.find(b"\r\n", 17)
        return Standing(True, int(frame[17:end]))
    value = decode(frame)
    if not isinstance(value, list) or len(value) < 2:
        return None
    if value[0] == b"master" and isinstance(value[1], int):
        return Standing(True, value[1])
    if value[0] == b"slave" and len(value) >= 5 and isinstance(value[4], int):
        source = f"{value[1].decode()}:{value[2]}"
        return Standing(False, value[4], source, value[3] == b"connected")
    return None


def standing_of_info(frame: bytes) -> Standing | None:
    """Reads an answer to `INFO replication`; None if it is none."""
    value = decode(frame)
    if not isinstance(value, bytes | str):
        return None
    text = value.decode() if isinstance(value, bytes) else value
    facts = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    try:
        primary = facts["role"] == "master"
        offset = int(facts["master_repl_offset"] if primary else facts["slave_repl_offset"])
        load = facts.get("commands_in_flight")
        return Standing(
            primary,
            offset,
            "" if primary else f"{facts['master_host']}:{facts['master_port']}",
            primary or facts.get("master_link_status") == "up",
            facts.get("master_replid"),
            facts.get("master_replid2"),
            int(facts.get("second_repl_offset", -1)),
            None if load is None else float(load),
        )
    except (KeyError, ValueError):
        return None


def standing(frame: bytes) -> Standing | None:
    """Of an answer to `ROLE` or `INFO replication`; None if it says nothing: an error, or not by the specification."""
    try:
        if frame[:1] == b"-":
            return None
        return standing_of_role(frame) if frame[:1] == b"*" else standing_of_info(frame)
    except (ProtocolError, ValueError):
        return None
