"""The forms of requests that clients of a day send, and how their answers read.

Writes leave their request's number in the value (`17.0;`) and reads in a key (`{k5}:rid:17.0`), so that both ends of
the sockets speak of the same request. A second key stands beside the first one and shares its hash tag.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift.resp.frames import command, decode

READS = ("get", "mget", "unit", "script")
WRITES = ("append", "set", "del", "expire", "px", "unit", "script", "once")
BRIEF = 400  # milliseconds that a key lives which a write gives an end
READ_SCRIPT = "return redis.call('MGET', KEYS[1], KEYS[2])"
WRITE_SCRIPT = "redis.call('APPEND', KEYS[1], ARGV[1]) return redis.call('APPEND', KEYS[2], ARGV[1])"


@dataclass(frozen=True, slots=True)
class Sent:
    """Bytes of a request, how many frames answer it (the last one counts), and the keys it touches."""

    data: bytes
    frames: int
    keys: tuple[str, ...]


def read(form: str, key: str, rid: str) -> Sent:
    numbered, other = f"{key}:rid:{rid}", f"{key}:b"
    match form:
        case "get":
            return Sent(command("GET", numbered), 1, (key,))
        case "mget":
            return Sent(command("MGET", numbered, other), 1, (key, other))
        case "unit":
            data = command("MULTI") + command("GET", numbered) + command("GET", other) + command("EXEC")
            return Sent(data, 4, (key, other))
        case "script":
            return Sent(command("EVAL_RO", READ_SCRIPT, 2, numbered, other), 1, (key, other))
    raise ValueError(f"no read has the form {form!r}; there are {', '.join(READS)}")


def write(form: str, key: str, rid: str) -> Sent:
    mark, other = f"{rid};", f"{key}:b"
    match form:
        case "append":
            return Sent(command("APPEND", key, mark), 1, (key,))
        case "once":  # its repeats do nothing: the key is the request's own
            own = f"{key}:{rid.partition('.')[0]}"
            return Sent(command("SETNX", own, mark), 1, (own,))
        case "set":
            return Sent(command("SET", key, mark), 1, (key,))
        case "px":
            return Sent(command("SET", key, mark, "PX", BRIEF), 1, (key,))
        case "del":
            return Sent(command("DEL", f"{other}:rid:{rid}", key), 1, (other, key))
        case "expire":
            data = (
                command("MULTI")
                + command("APPEND", key, mark)
                + command("PEXPIRE", key, BRIEF)
                + command("EXEC")
            )
            return Sent(data, 4, (key,))
        case "unit":
            data = (
                command("MULTI")
                + command("APPEND", key, mark)
                + command("APPEND", other, mark)
                + command("EXEC")
            )
            return Sent(data, 4, (key, other))
        case "script":
            return Sent(command("EVAL", WRITE_SCRIPT, 2, key, other, mark), 1, (key, other))
    raise ValueError(f"no write has the form {form!r}; there are {', '.join(WRITES)}")


def values(frame: bytes) -> list[str]:
    """What a read's answer says its keys hold; "" for nothing."""
    value = decode(frame)
    found = value if isinstance(value, list) else [value]
    return [
        one.decode("latin-1") if isinstance(one, bytes) else "" if one is None else repr(one) for one in found
    ]


def number(args: tuple[bytes, ...]) -> str:
    """The request's number among a command's arguments; "" if there is none."""
    for arg in args:
        if b":rid:" in arg:
            return arg.rpartition(b":rid:")[2].decode("latin-1")
        if arg[-1:] == b";" and arg[:-1].replace(b".", b"", 1).isdigit():
            return arg[:-1].decode()
    return ""


def plain(key: str) -> str:
    """A key without the number of the request that it came with."""
    return key.partition(":rid:")[0]
