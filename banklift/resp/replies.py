"""What an answer of a member means for its attempt, and how the answers to `ROLE` and `INFO replication` are read.

- Miss (the member rejects the command, nothing ran): `-READONLY`, `-MISCONF`, `-NOREPLICAS`, `-CLUSTERDOWN`, `-MOVED`,
  `-ASK`, `-TRYAGAIN`.
- Full (the member rejects commands before it looks at them): `-LOADING`, `-MASTERDOWN`, `-BUSY`, `-OOM`,
  `-ERR max number of clients reached`.
- No connection: `-NOAUTH`, `-NOPERM`, `-WRONGPASS`, where the link's own login failed.
- An answer of the application, passed on to the client: `-UNKILLABLE`, `-EXECABORT` and every other error.

`-NOREPLICAS` (too few replicas) and `-MISCONF` (disk trouble) come before a command runs, so nothing ran. `-BUSY` comes
while a script runs, before the command is looked at. All of this holds for real Redis, whose dispatcher gives these
answers before it calls the command. An error raised in the middle of a script carries the same codes and names the
script. What the script did before has run, so such an error counts as an answer.
"""

from __future__ import annotations

from banklift.decide.offsets import ReplicationStatus
from banklift.interface import Status
from banklift.resp.frames import ProtocolError, decode

# prefixes of errors that mean a miss
MISS_ERRORS = (b"-READONLY", b"-MISCONF", b"-NOREPLICAS", b"-CLUSTERDOWN", b"-MOVED", b"-ASK", b"-TRYAGAIN")
# prefixes of errors that mean a full member
FULL_ERRORS = (b"-LOADING", b"-MASTERDOWN", b"-BUSY ", b"-OOM", b"-ERR max number of clients")


def status_from_reply(frame: bytes) -> Status:
    """The outcome of an attempt that got this answer."""
    if frame[:1] != b"-" or b" script: " in frame:
        return Status.OK
    if frame.startswith(MISS_ERRORS):
        return Status.MISS
    if frame.startswith(FULL_ERRORS):
        return Status.FULL
    return Status.OK


def replication_status_from_role(frame: bytes) -> ReplicationStatus | None:
    """Reads the answer to `ROLE`; None if it doesn't have that form.

    Errors: `ProtocolError`; `ValueError` if the offset of a primary is no number.
    """
    if frame.startswith(b"*3\r\n$6\r\nmaster\r\n:"):  # the most frequent answer, read without building values
        end = frame.find(b"\r\n", 17)
        return ReplicationStatus(True, int(frame[17:end]))
    value = decode(frame)
    if not isinstance(value, list) or len(value) < 2:
        return None
    if value[0] == b"master" and isinstance(value[1], int):
        return ReplicationStatus(True, value[1])
    if value[0] == b"slave" and len(value) >= 5 and isinstance(value[4], int):
        source = f"{value[1].decode()}:{value[2]}"
        return ReplicationStatus(False, value[4], source, value[3] == b"connected")
    return None


def replication_status_from_info(frame: bytes) -> ReplicationStatus | None:
    """Reads the answer to `INFO replication`; None if it doesn't have that form.

    Errors: `ProtocolError`; `ValueError` if its text is not UTF-8.
    """
    value = decode(frame)
    if not isinstance(value, bytes | str):
        return None
    text = value.decode() if isinstance(value, bytes) else value
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    try:
        primary = fields["role"] == "master"
        offset = int(fields["master_repl_offset"] if primary else fields["slave_repl_offset"])
        load = fields.get("commands_in_flight")
        return ReplicationStatus(
            primary,
            offset,
            "" if primary else f"{fields['master_host']}:{fields['master_port']}",
            primary or fields.get("master_link_status") == "up",
            fields.get("master_replid"),
            fields.get("master_replid2"),
            int(fields.get("second_repl_offset", -1)),
            None if load is None else float(load),
        )
    except (KeyError, ValueError):
        return None


def parse_replication_status(frame: bytes) -> ReplicationStatus | None:
    """Reads the answer to `ROLE` or `INFO replication`; None if it is an error or not as specified."""
    try:
        if frame[:1] == b"-":
            return None
        return (
            replication_status_from_role(frame) if frame[:1] == b"*" else replication_status_from_info(frame)
        )
    except (ProtocolError, ValueError):
        return None
