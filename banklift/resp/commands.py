"""What a command is: whether it reads or writes, where its keys stand, and whether the router can carry it.

The table names the commands that can be shared over pooled connections; whatever is not in it is refused by name. Keys
follow the published key specifications (first, last, step; or counted by an argument).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Kind(Enum):
    READ = "read"
    WRITE = "write"
    LOCAL = "local"  # answered by the router
    DEDICATED = "alone"  # needs a connection of its own: refused


@dataclass(frozen=True, slots=True)
class Command:
    name: str
    kind: Kind
    first_key: int = 1  # place of the first key; 0: none
    last_key: int = 1  # place of the last key; negative: from the end
    key_step: int = 1
    key_count_index: int = 0  # place of the argument that counts the keys that follow it; 0: none
    min_args: int = 2  # arguments with the name, at the least

    def keys(self, args: list[bytes]) -> list[bytes]:
        """The keys among the arguments. Errors: `ValueError` for a count of keys that doesn't fit."""
        if self.key_count_index:
            keys = (
                args[self.first_key : self.key_count_index]
                if self.first_key < self.key_count_index and self.first_key
                else []
            )
            count = int(args[self.key_count_index])
            named = args[self.key_count_index + 1 : self.key_count_index + 1 + count]
            if count < 1 or len(named) < count:
                raise ValueError("number of keys is wrong")
            return [*keys, *named]
        if not self.first_key:
            return []
        last = self.last_key if self.last_key >= 0 else len(args) + self.last_key
        return args[self.first_key : last + 1 : self.key_step]


def _table() -> dict[bytes, Command]:
    table: dict[bytes, Command] = {}

    def add(
        kind: Kind, names: str, first: int = 1, last: int = 1, step: int = 1, counted: int = 0, arity: int = 2
    ) -> None:
        for name in names.split():
            table[name.encode()] = Command(name, kind, first, last, step, counted, arity)

    add(
        Kind.READ,
        "GET STRLEN TYPE TTL PTTL EXPIRETIME PEXPIRETIME DUMP HGETALL HKEYS HVALS HLEN LLEN SMEMBERS SCARD "
        "ZCARD XLEN BITCOUNT SRANDMEMBER HRANDFIELD ZRANDMEMBER",
    )
    add(
        Kind.READ,
        "GETBIT BITPOS HGET HEXISTS HSTRLEN HMGET HSCAN LINDEX LPOS SISMEMBER SMISMEMBER SSCAN ZSCORE "
        "ZMSCORE ZRANK ZREVRANK ZSCAN PFCOUNT GEOHASH GEOPOS XPENDING",
        arity=3,
    )
    add(
        Kind.READ,
        "GETRANGE SUBSTR LRANGE ZRANGE ZREVRANGE ZRANGEBYSCORE ZREVRANGEBYSCORE ZRANGEBYLEX "
        "ZREVRANGEBYLEX ZCOUNT ZLEXCOUNT XRANGE XREVRANGE GEODIST GEOSEARCH",
        arity=4,
    )
    add(Kind.READ, "MGET EXISTS TOUCH SINTER SUNION SDIFF", last=-1)
    add(Kind.READ, "PFCOUNT", last=-1)
    add(Kind.READ, "LCS", last=2, arity=3)
    add(Kind.READ, "ZUNION ZINTER ZDIFF SINTERCARD ZINTERCARD", first=0, counted=1, arity=3)
    add(Kind.READ, "BITFIELD_RO SORT_RO GEORADIUS_RO GEORADIUSBYMEMBER_RO")
    add(Kind.WRITE, "INCR DECR GETDEL GETEX PERSIST LPOP RPOP SPOP ZPOPMIN ZPOPMAX SORT BITFIELD PFADD")
    add(
        Kind.WRITE,
        "SET SETNX GETSET APPEND INCRBY DECRBY INCRBYFLOAT EXPIRE PEXPIRE EXPIREAT PEXPIREAT HDEL LPUSH "
        "RPUSH LPUSHX RPUSHX SADD SREM ZREM XACK XDEL XTRIM GEOADD",
        arity=3,
    )
    add(
        Kind.WRITE,
        "SETEX PSETEX SETRANGE SETBIT HSET HMSET HSETNX HINCRBY HINCRBYFLOAT LSET LTRIM LREM LINSERT ZADD "
        "ZINCRBY ZREMRANGEBYSCORE ZREMRANGEBYRANK ZREMRANGEBYLEX XADD XCLAIM XAUTOCLAIM RESTORE",
        arity=4,
    )
    add(Kind.WRITE, "DEL UNLINK", last=-1)
    add(Kind.WRITE, "MSET MSETNX", last=-1, step=2, arity=3)
    add(Kind.WRITE, "RENAME RENAMENX COPY RPOPLPUSH LMOVE SMOVE ZRANGESTORE GEOSEARCHSTORE", last=2, arity=3)
    add(Kind.WRITE, "SINTERSTORE SUNIONSTORE SDIFFSTORE PFMERGE", last=-1, arity=3)
    add(Kind.WRITE, "BITOP", first=2, last=-1, arity=4)
    add(Kind.WRITE, "ZUNIONSTORE ZINTERSTORE ZDIFFSTORE", first=1, counted=2, arity=4)
    add(Kind.WRITE, "LMPOP ZMPOP", first=0, counted=1, arity=4)
    add(Kind.WRITE, "EVAL EVALSHA", first=0, counted=2, arity=4)
    add(Kind.READ, "EVAL_RO EVALSHA_RO", first=0, counted=2, arity=4)
    add(Kind.LOCAL, "PING QUIT RESET COMMAND INFO ROLE MULTI EXEC DISCARD HELLO", first=0, arity=1)
    add(Kind.LOCAL, "ECHO AUTH SELECT CLIENT BANKLIFT.SEEN", first=0)
    add(Kind.LOCAL, "WAIT", first=0, arity=3)
    add(Kind.LOCAL, "BANKLIFT.TOKEN", first=0, arity=1)
    add(
        Kind.DEDICATED,
        "WATCH UNWATCH BLPOP BRPOP BLMOVE BRPOPLPUSH BLMPOP BZPOPMIN BZPOPMAX BZMPOP XREAD XREADGROUP "
        "SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE PUBLISH SPUBLISH MONITOR "
        "WAITAOF SYNC PSYNC REPLCONF SCRIPT FUNCTION FCALL FCALL_RO",
        first=0,
        arity=1,
    )
    return table


COMMANDS = _table()


def lookup(name: bytes) -> Command | None:
    return COMMANDS.get(name) or COMMANDS.get(name.upper())
