"""The commands that the router knows: whether each reads or writes, where its keys are, and whether it can be routed.

The table lists the commands that can share pooled connections. One that can't, as it needs a connection of its own, is
listed as such and refused; any other command is refused as unknown. Key positions follow the published key
specifications: first, last and step, or an argument that counts the keys after it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CommandKind(Enum):
    """How the router treats a command."""

    READ = "read"
    WRITE = "write"
    LOCAL = "local"  # answered by the router itself
    DEDICATED = "alone"  # needs a connection of its own, so it is refused


@dataclass(frozen=True, slots=True)
class Command:
    """One command, with the positions of its keys among its arguments; the name is argument 0."""

    name: str
    kind: CommandKind
    first_key: int = 1  # index of the first key; 0: none
    last_key: int = 1  # index of the last key; negative: counted from the end
    key_step: int = 1  # distance between two keys
    key_count_index: int = 0  # index of the argument that counts the keys after it; 0: none
    min_args: int = 2  # the fewest arguments, with the name

    def keys(self, args: list[bytes]) -> list[bytes]:
        """The keys among the arguments. Errors: `ValueError` if the count of keys is no number or doesn't fit."""
        if self.key_count_index:
            destination = (
                args[self.first_key : self.key_count_index]
                if self.first_key < self.key_count_index and self.first_key
                else []
            )
            count = int(args[self.key_count_index])
            counted = args[self.key_count_index + 1 : self.key_count_index + 1 + count]
            if count < 1 or len(counted) < count:
                raise ValueError("number of keys is wrong")
            return [*destination, *counted]
        if not self.first_key:
            return []
        last = self.last_key if self.last_key >= 0 else len(args) + self.last_key
        return args[self.first_key : last + 1 : self.key_step]


def _table() -> dict[bytes, Command]:
    """All commands by their names in capitals."""
    table: dict[bytes, Command] = {}

    def add(
        kind: CommandKind,
        names: str,
        first_key: int = 1,
        last_key: int = 1,
        key_step: int = 1,
        key_count_index: int = 0,
        min_args: int = 2,
    ) -> None:
        """Adds commands that differ in their name only. `names`: separated by spaces."""
        for name in names.split():
            table[name.encode()] = Command(
                name, kind, first_key, last_key, key_step, key_count_index, min_args
            )

    add(
        CommandKind.READ,
        "GET STRLEN TYPE TTL PTTL EXPIRETIME PEXPIRETIME DUMP HGETALL HKEYS HVALS HLEN LLEN SMEMBERS SCARD "
        "ZCARD XLEN BITCOUNT SRANDMEMBER HRANDFIELD ZRANDMEMBER",
    )
    add(
        CommandKind.READ,
        "GETBIT BITPOS HGET HEXISTS HSTRLEN HMGET HSCAN LINDEX LPOS SISMEMBER SMISMEMBER SSCAN ZSCORE "
        "ZMSCORE ZRANK ZREVRANK ZSCAN PFCOUNT GEOHASH GEOPOS XPENDING",
        min_args=3,
    )
    add(
        CommandKind.READ,
        "GETRANGE SUBSTR LRANGE ZRANGE ZREVRANGE ZRANGEBYSCORE ZREVRANGEBYSCORE ZRANGEBYLEX "
        "ZREVRANGEBYLEX ZCOUNT ZLEXCOUNT XRANGE XREVRANGE GEODIST GEOSEARCH",
        min_args=4,
    )
    add(CommandKind.READ, "MGET EXISTS TOUCH SINTER SUNION SDIFF", last_key=-1)
    add(CommandKind.READ, "PFCOUNT", last_key=-1)
    add(CommandKind.READ, "LCS", last_key=2, min_args=3)
    add(
        CommandKind.READ,
        "ZUNION ZINTER ZDIFF SINTERCARD ZINTERCARD",
        first_key=0,
        key_count_index=1,
        min_args=3,
    )
    add(CommandKind.READ, "BITFIELD_RO SORT_RO GEORADIUS_RO GEORADIUSBYMEMBER_RO")
    add(
        CommandKind.WRITE, "INCR DECR GETDEL GETEX PERSIST LPOP RPOP SPOP ZPOPMIN ZPOPMAX SORT BITFIELD PFADD"
    )
    add(
        CommandKind.WRITE,
        "SET SETNX GETSET APPEND INCRBY DECRBY INCRBYFLOAT EXPIRE PEXPIRE EXPIREAT PEXPIREAT HDEL LPUSH "
        "RPUSH LPUSHX RPUSHX SADD SREM ZREM XACK XDEL XTRIM GEOADD",
        min_args=3,
    )
    add(
        CommandKind.WRITE,
        "SETEX PSETEX SETRANGE SETBIT HSET HMSET HSETNX HINCRBY HINCRBYFLOAT LSET LTRIM LREM LINSERT ZADD "
        "ZINCRBY ZREMRANGEBYSCORE ZREMRANGEBYRANK ZREMRANGEBYLEX XADD XCLAIM XAUTOCLAIM RESTORE",
        min_args=4,
    )
    add(CommandKind.WRITE, "DEL UNLINK", last_key=-1)
    add(CommandKind.WRITE, "MSET MSETNX", last_key=-1, key_step=2, min_args=3)
    add(
        CommandKind.WRITE,
        "RENAME RENAMENX COPY RPOPLPUSH LMOVE SMOVE ZRANGESTORE GEOSEARCHSTORE",
        last_key=2,
        min_args=3,
    )
    add(CommandKind.WRITE, "SINTERSTORE SUNIONSTORE SDIFFSTORE PFMERGE", last_key=-1, min_args=3)
    add(CommandKind.WRITE, "BITOP", first_key=2, last_key=-1, min_args=4)
    add(CommandKind.WRITE, "ZUNIONSTORE ZINTERSTORE ZDIFFSTORE", first_key=1, key_count_index=2, min_args=4)
    add(CommandKind.WRITE, "LMPOP ZMPOP", first_key=0, key_count_index=1, min_args=4)
    add(CommandKind.WRITE, "EVAL EVALSHA", first_key=0, key_count_index=2, min_args=4)
    add(CommandKind.READ, "EVAL_RO EVALSHA_RO", first_key=0, key_count_index=2, min_args=4)
    add(
        CommandKind.LOCAL,
        "PING QUIT RESET COMMAND INFO ROLE MULTI EXEC DISCARD HELLO",
        first_key=0,
        min_args=1,
    )
    add(CommandKind.LOCAL, "ECHO AUTH SELECT CLIENT BANKLIFT.SEEN", first_key=0)
    add(CommandKind.LOCAL, "WAIT", first_key=0, min_args=3)
    add(CommandKind.LOCAL, "BANKLIFT.TOKEN", first_key=0, min_args=1)
    add(
        CommandKind.DEDICATED,
        "WATCH UNWATCH BLPOP BRPOP BLMOVE BRPOPLPUSH BLMPOP BZPOPMIN BZPOPMAX BZMPOP XREAD XREADGROUP "
        "SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE PUBLISH SPUBLISH MONITOR "
        "WAITAOF SYNC PSYNC REPLCONF SCRIPT FUNCTION FCALL FCALL_RO",
        first_key=0,
        min_args=1,
    )
    return table


COMMANDS = _table()


def find_command(name: bytes) -> Command | None:
    """The command of this name in any case; None if it is unknown."""
    return COMMANDS.get(name) or COMMANDS.get(name.upper())
