"""The data of a stand-in member: keys, values, expiries, and what a command does to them. No I/O.

Theory of operation. A primary *performs* commands: it makes their times absolute, forgets keys whose time is over and
tells what to log (`perform`), as replication of effects asks: a relative expiry becomes `PEXPIREAT`, a script becomes
the commands it called, an expired key becomes a `DEL` in front of what meets it. A replica *applies* what the log says
(`apply`) and never expires a key by itself; a read at either sees no key whose time is over.

Scripts are a small part of the published `EVAL`: a sequence of `redis.call('NAME', KEYS[1], ARGV[1], 'text')`, whose
last answer is the script's.

With `numbered`, what follows `:rid:` in a key numbers the request that it came with and is no part of the key's name,
so that a tap can tell one `GET` from another. Only days use it.
"""

from __future__ import annotations

import json
import re

from banklift.resp.commands import Kind, lookup
from banklift.resp.frames import Error, Simple

OK = Simple("OK")
WRONG_TYPE = Error("WRONGTYPE Operation against a key holding the wrong kind of value")
NUMBER = b":rid:"
CALL = re.compile(rb"redis\.call\(\s*'(\w+)'\s*((?:,\s*(?:KEYS\[\d+\]|ARGV\[\d+\]|'[^']*')\s*)*)\)")
WORD = re.compile(rb"(KEYS|ARGV)\[(\d+)\]|'([^']*)'")
SCRIPTS = (b"EVAL", b"EVAL_RO")
RELATIVE = {b"EXPIRE": 1000, b"PEXPIRE": 1}  # to milliseconds


class Store:
    def __init__(self, numbered: bool = False) -> None:
        self.numbered = numbered
        self.data: dict[bytes, object] = {}
        self.expires: dict[bytes, int] = {}  # milliseconds on the node's clock

    # ---- at a primary

    def perform(self, args: list[bytes], now: float, log: list[list[bytes]]) -> object:
        """Run one command as a primary does; what replicas have to apply is added to `log`. `now`: seconds."""
        name = args[0].upper()
        if self.numbered:
            args = [arg.partition(NUMBER)[0] for arg in args]
        if name in SCRIPTS:
            return self._script(args, now, log)
        known = lookup(name)
        if known is None or known.kind is not Kind.WRITE:
            return self.apply(args, now)
        for key in known.keys(args):
            if self.gone(key, now):
                self.apply([b"DEL", key], now)
                log.append([b"DEL", key])
        if name == b"SETNX":
            if args[1] in self.data:
                return 0  # what was done before is not done again
            self.perform([b"SET", *args[1:]], now, log)
            return 1
        args = absolute(args, now)
        answer = self.apply(args, now)
        if not isinstance(answer, Error):
            log.append(args)
        return answer

    def _script(self, args: list[bytes], now: float, log: list[list[bytes]]) -> object:
        count = int(args[2])
        words = {b"KEYS": args[3 : 3 + count], b"ARGV": args[3 + count :]}
        answer: object = None
        for match in CALL.finditer(args[1]):
            call = [match[1]]
            for word in WORD.finditer(match[2]):
                call.append(words[word[1]][int(word[2]) - 1] if word[1] else word[3])
            if args[0].upper() == b"EVAL_RO" and (known := lookup(call[0])) and known.kind is Kind.WRITE:
                return Error("ERR Write commands are not allowed from read-only scripts. script: stand-in")
            answer = self.perform(call, now, log)
        return answer

    # ---- at any member

    def gone(self, key: bytes, now: float) -> bool:
        """Whether its time is over, though it may still be there."""
        end = self.expires.get(key)
        return end is not None and end <= now * 1000

    def _get(self, key: bytes, now: float) -> object:
        return None if self.gone(key, now) else self.data.get(key)

    def apply(self, args: list[bytes], now: float) -> object:
        """What a command as logged, or a read, does to the data, and its answer."""
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
                for place in range(1, len(args) - 1, 2):
                    data[args[place]] = args[place + 1]
                    self.expires.pop(args[place], None)
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
                kinds: dict[type, str] = {bytes: "string", list: "list", dict: "hash"}
                return Simple(kinds.get(type(self._get(key, now)), "none"))
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
                new = 0
                for place in range(2, len(args) - 1, 2):
                    new += args[place] not in fields
                    fields[args[place]] = args[place + 1]
                return new
            case b"HGET":
                fields = self._get(key, now) or {}
                return fields.get(args[2]) if isinstance(fields, dict) else None
            case b"HGETALL":
                fields = self._get(key, now) or {}
                return dict(fields) if isinstance(fields, dict) else {}
        return Error(f"ERR the stand-in does not know '{args[0].decode('latin-1')}'")

    # ---- whole copies

    def dump(self) -> bytes:
        return json.dumps({"data": _text(dict(self.data)), "expires": _text(dict(self.expires))}).encode()

    def load(self, raw: bytes) -> None:
        copy = json.loads(raw)
        data, expires = _back(copy["data"]), _back(copy["expires"])
        assert isinstance(data, dict) and isinstance(expires, dict)
        self.data, self.expires = data, expires


def absolute(args: list[bytes], now: float) -> list[bytes]:
    """A command with its relative expiry as a time on the clock."""
    name, start = args[0].upper(), int(now * 1000)
    if name in RELATIVE:
        return [b"PEXPIREAT", args[1], b"%d" % (start + int(args[2]) * RELATIVE[name])]
    if name == b"SET" and len(args) > 4 and args[3].upper() in (b"PX", b"EX"):
        return [
            *args[:3],
            b"PXAT",
            b"%d" % (start + int(args[4]) * (1 if args[3].upper() == b"PX" else 1000)),
        ]
    return args


def _text(value: object) -> object:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, list):
        return [_text(item) for item in value]
    if isinstance(value, dict):
        return {str(_text(key)): _text(item) for key, item in value.items()}
    return value


def _back(value: object) -> object:
    if isinstance(value, str):
        return value.encode("latin-1")
    if isinstance(value, list):
        return [_back(item) for item in value]
    if isinstance(value, dict):
        return {key.encode("latin-1"): _back(item) for key, item in value.items()}
    return value
