"""The forms of requests that the clients of a day send, and how their answers are decoded.

A write leaves its request id in the value (`17.0;`), a read in its first key (`{k5}:rid:17.0`), so that the entries of
both ends of the sockets can be matched. The second key of a request is named after the first one and has the same hash
tag, so both are in one hash slot.
"""

from __future__ import annotations

from dataclasses import dataclass

from banklift.resp.frames import command, decode

READS = ("get", "mget", "unit", "script")
WRITES = ("append", "set", "del", "expire", "px", "unit", "script", "once")
SHORT_EXPIRY_MS = 400  # of keys that a write gives an expiry
READ_SCRIPT = "return redis.call('MGET', KEYS[1], KEYS[2])"
WRITE_SCRIPT = "redis.call('APPEND', KEYS[1], ARGV[1]) return redis.call('APPEND', KEYS[2], ARGV[1])"


@dataclass(frozen=True, slots=True)
class EncodedRequest:
    """A request as RESP commands."""

    data: bytes
    frames: int  # frames of the answer; the last one is the request's result
    keys: tuple[str, ...]  # keys that the request touches, without its id


def encode_read(form: str, key: str, rid: str) -> EncodedRequest:
    """A read of `key` with the request id `rid`. Errors: `ValueError` for a form that is none of `READS`."""
    numbered_key, second_key = f"{key}:rid:{rid}", f"{key}:b"
    match form:
        case "get":
            return EncodedRequest(command("GET", numbered_key), 1, (key,))
        case "mget":
            return EncodedRequest(command("MGET", numbered_key, second_key), 1, (key, second_key))
        case "unit":
            data = (
                command("MULTI") + command("GET", numbered_key) + command("GET", second_key) + command("EXEC")
            )
            return EncodedRequest(data, 4, (key, second_key))
        case "script":
            return EncodedRequest(
                command("EVAL_RO", READ_SCRIPT, 2, numbered_key, second_key), 1, (key, second_key)
            )
    raise ValueError(f"no read has the form {form!r}; there are {', '.join(READS)}")


def encode_write(form: str, key: str, rid: str) -> EncodedRequest:
    """A write to `key` with the request id `rid`. Errors: `ValueError` for a form that is none of `WRITES`."""
    marker, second_key = f"{rid};", f"{key}:b"
    match form:
        case "append":
            return EncodedRequest(command("APPEND", key, marker), 1, (key,))
        case "once":  # idempotent: each effect has a key of its own, so a repeat changes nothing
            effect_key = f"{key}:{rid.partition('.')[0]}"
            return EncodedRequest(command("SETNX", effect_key, marker), 1, (effect_key,))
        case "set":
            return EncodedRequest(command("SET", key, marker), 1, (key,))
        case "px":
            return EncodedRequest(command("SET", key, marker, "PX", SHORT_EXPIRY_MS), 1, (key,))
        case "del":
            return EncodedRequest(command("DEL", f"{second_key}:rid:{rid}", key), 1, (second_key, key))
        case "expire":
            data = (
                command("MULTI")
                + command("APPEND", key, marker)
                + command("PEXPIRE", key, SHORT_EXPIRY_MS)
                + command("EXEC")
            )
            return EncodedRequest(data, 4, (key,))
        case "unit":
            data = (
                command("MULTI")
                + command("APPEND", key, marker)
                + command("APPEND", second_key, marker)
                + command("EXEC")
            )
            return EncodedRequest(data, 4, (key, second_key))
        case "script":
            return EncodedRequest(
                command("EVAL", WRITE_SCRIPT, 2, key, second_key, marker), 1, (key, second_key)
            )
    raise ValueError(f"no write has the form {form!r}; there are {', '.join(WRITES)}")


def decode_values(frame: bytes) -> list[str]:
    """What a read's answer says its keys hold; "" for a key that does not exist."""
    decoded = decode(frame)
    values = decoded if isinstance(decoded, list) else [decoded]
    return [
        value.decode("latin-1") if isinstance(value, bytes) else "" if value is None else repr(value)
        for value in values
    ]


def find_request_id(args: tuple[bytes, ...]) -> str:
    """The request id among a command's arguments; "" if there is none."""
    for arg in args:
        if b":rid:" in arg:
            return arg.rpartition(b":rid:")[2].decode("latin-1")
        if arg[-1:] == b";" and arg[:-1].replace(b".", b"", 1).isdigit():
            return arg[:-1].decode()
    return ""


def without_request_id(key: str) -> str:
    """A key without the request id that it was sent with."""
    return key.partition(":rid:")[0]
