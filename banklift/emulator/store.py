"""The data of an emulated Redis-like member: values, expiry times, and what each command does to them. No I/O.

A primary calls `execute`. It deletes expired keys and collects the commands that replicas have to apply. These carry
effects only: a relative expiry becomes `PEXPIREAT` or `PXAT`, a script becomes the commands that it called, and an
expired key becomes a `DEL` before the command that met it. A replica calls `apply` for each command of the log and
never deletes an expired key by itself. A read, at a primary or a replica, does not see an expired key.

Scripts are a small subset of `EVAL`: a sequence of calls like `redis.call('NAME', KEYS[1], ARGV[1], 'text')`. The
answer of the script is that of the last call; all other text of the script is ignored.

With `numbered_keys`, a key may carry the number of its request after `:rid:`. The number is not part of the key's
name: it lets whoever records the commands tell apart requests that are otherwise equal. Only the scripted days of the
judge use it.
"""

from __future__ import annotations

import json
import re

from banklift.resp.commands import CommandKind, find_command
from banklift.resp.frames import Error, Simple

OK = Simple("OK")
WRONG_TYPE = Error("WRONGTYPE Operation against a key holding the wrong kind of value")
REQUEST_NUMBER_MARK = b":rid:"
SCRIPT_CALL = re.compile(rb"redis\.call\(\s*'(\w+)'\s*((?:,\s*(?:KEYS\[\d+\]|ARGV\[\d+\]|'[^']*')\s*)*)\)")
SCRIPT_ARGUMENT = re.compile(rb"(KEYS|ARGV)\[(\d+)\]|'([^']*)'")
SCRIPT_COMMANDS = (b"EVAL", b"EVAL_RO")
RELATIVE_EXPIRY_MS = {b"EXPIRE": 1000, b"PEXPIRE": 1}  # milliseconds in one unit of the command's argument


class Store:
    """Values by key (bytes, a list or a dictionary) and the times at which keys expire.

    `numbered_keys`: what follows `:rid:` in an argument is cut off before a command is executed.
    """

    def __init__(self, numbered_keys: bool = False) -> None:
        self.numbered_keys = numbered_keys
        self.data: dict[bytes, object] = {}
        self.expires: dict[bytes, int] = {}  # milliseconds on the member's clock

    # ---- at a primary

    def execute(self, args: list[bytes], now: float, log: list[list[bytes]]) -> object:
        """Execute one command as a primary does. Returns its answer, or an `Error` to be sent to the client.

        The commands that replicas have to apply are appended to `log`. `now`: seconds on the member's clock.
        """
        name = args[0].upper()
        if self.numbered_keys:
            args = [arg.partition(REQUEST_NUMBER_MARK)[0] for arg in args]
        if name in SCRIPT_COMMANDS:
            return self._execute_script(args, now, log)
        known = find_command(name)
        if known is None or known.kind is not CommandKind.WRITE:
            return self.apply(args, now)
        for key in known.keys(args):
            if self.is_expired(key, now):
                self.apply([b"DEL", key], now)
                log.append([b"DEL", key])
        if name == b"SETNX":
            if args[1] in self.data:
                return 0  # nothing changes, so nothing is logged
            self.execute([b"SET", *args[1:]], now, log)
            return 1
        args = with_absolute_expiry(args, now)
        answer = self.apply(args, now)
        if not isinstance(answer, Error):
            log.append(args)
        return answer

    def _execute_script(self, args: list[bytes], now: float, log: list[list[bytes]]) -> object:
        """Execute the calls of a script one after the other. Returns the answer of the last one.

        A write in a read-only script ends it with an `Error`.
        """
        key_count = int(args[2])
        script_args = {b"KEYS": args[3 : 3 + key_count], b"ARGV": args[3 + key_count :]}
        answer: object = None
        for match in SCRIPT_CALL.finditer(args[1]):
            call = [match[1]]
            for argument in SCRIPT_ARGUMENT.finditer(match[2]):
                call.append(script_args[argument[1]][int(argument[2]) - 1] if argument[1] else argument[3])
            if (
                args[0].upper() == b"EVAL_RO"
                and (known := find_command(call[0]))
                and known.kind is CommandKind.WRITE
            ):
                return Error("ERR Write commands are not allowed from read-only scripts. script: stand-in")
            answer = self.execute(call, now, log)
        return answer

    # ---- at a primary or a replica

    def is_expired(self, key: bytes, now: float) -> bool:
        """Whether the expiry time of a key has passed. The key may still be in `data`."""
        expires_at = self.expires.get(key)
        return expires_at is not None and expires_at <= now * 1000

    def _get(self, key: bytes, now: float) -> object:
        return None if self.is_expired(key, now) else self.data.get(key)

    def apply(self, args: list[bytes], now: float) -> object:
        """Apply one command of the log, or execute a read. Returns the answer, or an `Error` for the client.

        `now`: seconds on the member's clock; only reads depend on it.
        """
        name, key, data = args[0].upper(), args[1], self.data
        match name:
            case b"GET":
                value = self._get(key, now)
                return value if value is None or isinstance(value, bytes) else WRONG_TYPE
            case b"SET":
                data[key] = args[2]
                self.expires.pop(key, None)
                if len(args) > 4 and args[3].upper() == b"PXAT":
                    self.expires[key] = int(args[4])
                return OK
            case b"MGET":
                found = [self._get(key, now) for key in args[1:]]
                return [value if isinstance(value, bytes) else None for value in found]
            case b"MSET":
                for index in range(1, len(args) - 1, 2):
                    data[args[index]] = args[index + 1]
                    self.expires.pop(args[index], None)
                return OK
            case b"DEL" | b"UNLINK":
                for key in args[1:]:
                    self.expires.pop(key, None)
                return sum(data.pop(key, None) is not None for key in args[1:])
            case b"PEXPIREAT":
                if key in data:
                    self.expires[key] = int(args[2])
                return int(key in data)
            case b"PERSIST":
                return int(self.expires.pop(key, None) is not None)
            case b"EXISTS":
                return sum(self._get(key, now) is not None for key in args[1:])
            case b"STRLEN":
                value = self._get(key, now)
                return len(value) if isinstance(value, bytes) else 0
            case b"TYPE":
                type_names: dict[type, str] = {bytes: "string", list: "list", dict: "hash"}
                return Simple(type_names.get(type(self._get(key, now)), "none"))
            case b"APPEND":
                value = data.get(key, b"")
                data[key] = (value if isinstance(value, bytes) else b"") + args[2]
                return len(data[key])  # type: ignore[arg-type]
            case b"INCR" | b"DECR" | b"INCRBY" | b"DECRBY":
                step = int(args[2]) if len(args) > 2 else 1
                value = data.get(key, b"0")
                try:
                    number = int(value) + (step if name.startswith(b"INCR") else -step)  # type: ignore[call-overload]
                except (TypeError, ValueError):
                    return Error("ERR value is not an integer or out of range")
                data[key] = b"%d" % number
                return number
            case b"RPUSH" | b"LPUSH":
                values = data.setdefault(key, [])
                if not isinstance(values, list):
                    return WRONG_TYPE
                for value in args[2:]:
                    values.insert(len(values) if name == b"RPUSH" else 0, value)
                return len(values)
            case b"LRANGE":
                values = self._get(key, now) or []
                if not isinstance(values, list):
                    return WRONG_TYPE
                first, last = int(args[2]), int(args[3])
                first = max(0, first + len(values)) if first < 0 else first
                last = last + len(values) if last < 0 else last
                return values[first : last + 1]
            case b"LLEN":
                values = self._get(key, now) or []
                return len(values) if isinstance(values, list) else 0
            case b"HSET":
                fields = data.setdefault(key, {})
                if not isinstance(fields, dict):
                    return WRONG_TYPE
                added = 0
                for index in range(2, len(args) - 1, 2):
                    added += args[index] not in fields
                    fields[args[index]] = args[index + 1]
                return added
            case b"HGET":
                fields = self._get(key, now) or {}
                return fields.get(args[2]) if isinstance(fields, dict) else None
            case b"HGETALL":
                fields = self._get(key, now) or {}
                return dict(fields) if isinstance(fields, dict) else {}
        return Error(f"ERR the stand-in does not know '{args[0].decode('latin-1')}'")

    # ---- full copies

    def dump(self) -> bytes:
        """All data and expiry times as JSON, for a full resynchronisation."""
        return json.dumps(
            {"data": _to_json(dict(self.data)), "expires": _to_json(dict(self.expires))}
        ).encode()

    def load(self, raw: bytes) -> None:
        """Replace all data and expiry times by those of a `dump`.

        Errors: `ValueError` or `KeyError` if `raw` is no dump.
        """
        copy = json.loads(raw)
        data = _from_json(copy["data"])
        expires = _from_json(copy["expires"])
        assert isinstance(data, dict) and isinstance(expires, dict)
        self.data, self.expires = data, expires


def with_absolute_expiry(args: list[bytes], now: float) -> list[bytes]:
    """The command with a relative expiry turned into a time; any other command as it is. `now`: seconds."""
    name = args[0].upper()
    now_ms = int(now * 1000)
    if name in RELATIVE_EXPIRY_MS:
        return [b"PEXPIREAT", args[1], b"%d" % (now_ms + int(args[2]) * RELATIVE_EXPIRY_MS[name])]
    if name == b"SET" and len(args) > 4 and args[3].upper() in (b"PX", b"EX"):
        return [
            *args[:3],
            b"PXAT",
            b"%d" % (now_ms + int(args[4]) * (1 if args[3].upper() == b"PX" else 1000)),
        ]
    return args


def _to_json(value: object) -> object:
    """The value with byte strings as text, one character for each byte, at any depth."""
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, list):
        return [_to_json(item) for item in value]
    if isinstance(value, dict):
        return {str(_to_json(key)): _to_json(item) for key, item in value.items()}
    return value


def _from_json(value: object) -> object:
    """The inverse of `_to_json`."""
    if isinstance(value, str):
        return value.encode("latin-1")
    if isinstance(value, list):
        return [_from_json(item) for item in value]
    if isinstance(value, dict):
        return {key.encode("latin-1"): _from_json(item) for key, item in value.items()}
    return value
