"""The stand-in: replication by PSYNC, whole and partial, whatever the pieces it comes in; promotion; order."""

from __future__ import annotations

import pytest

from banklift.emulator.node import UPSTREAM_ID, Act, Node
from banklift.resp.frames import command


def sent(actions: list[Act], conn: int) -> bytes:
    return b"".join(act.data for act in actions if act.what == "send" and act.conn == conn)


class Pair:
    """A primary and a replica whose bytes the test carries, in pieces of `size`."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.primary, self.replica = Node("p", 1, command_seconds=0.0), Node("r", 2, apply_seconds=0.0)
        self.conn = 0
        self.now = 1.0

    def write(self, *args: str) -> list[Act]:
        if 99 not in self.primary.connections:
            self.primary.connection_opened(self.now, 99, "c")
        actions = list(self.primary.data_received(self.now, 99, command(*args)))
        return actions + list(self.primary.run_timers(self.now))

    def link(self) -> None:
        self.conn += 1
        self.primary.connection_opened(self.now, self.conn, "r")
        self.replica.follow(self.now, "p:1")
        self.carry(sent(self.replica.upstream_connected(self.now), UPSTREAM_ID))

    def carry(self, up: bytes) -> None:
        """To the primary, its answers to the replica, and so on, until nothing is left."""
        while up:
            down = sent(self.primary.data_received(self.now, self.conn, up), self.conn)
            up = b""
            for place in range(0, len(down), self.size):
                up += sent(
                    self.replica.data_received(self.now, UPSTREAM_ID, down[place : place + self.size]),
                    UPSTREAM_ID,
                )

    def stream(self, actions: list[Act]) -> None:
        down = sent(actions, self.conn)
        for place in range(0, len(down), self.size):
            self.replica.data_received(self.now, UPSTREAM_ID, down[place : place + self.size])


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_a_replica_copies_and_follows(size: int) -> None:
    pair = Pair(size)
    for number in range(20):
        pair.write("SET", f"k{number}", "v\r\n$5\r\n")
    pair.link()
    assert pair.replica.data == pair.primary.data and pair.replica.offset == pair.primary.offset
    assert pair.replica.replid == pair.primary.replid and pair.replica.link_up
    pair.stream(pair.write("RPUSH", "l", "a"))
    assert pair.replica.data[b"l"] == [b"a"] and pair.replica.offset == pair.primary.offset


def test_a_copy_and_the_stream_behind_it_come_in_one_piece() -> None:
    """The copy is a bulk without its end: what follows is the stream, not that end."""
    pair = Pair(10_000)
    pair.write("SET", "a", "1")
    pair.primary.connection_opened(1.0, 1, "r")
    pair.replica.follow(1.0, "p:1")
    pair.replica.upstream_connected(1.0)
    for _ in range(2):
        pair.replica.data_received(
            1.0, UPSTREAM_ID, b"+PONG\r\n" if pair.replica.handshake_stage == "ping" else b"+OK\r\n"
        )
    down = sent(pair.primary.data_received(1.0, 1, command("PSYNC", "?", "-1")), 1)
    down += sent(pair.write("SET", "b", "2"), 1)
    pair.replica.data_received(1.0, UPSTREAM_ID, down)
    assert pair.replica.data == {b"a": b"1", b"b": b"2"} and pair.replica.offset == pair.primary.offset


def test_a_replica_that_comes_back_gets_the_part_it_lacks() -> None:
    pair = Pair(10_000)
    pair.write("SET", "a", "1")
    pair.link()
    pair.replica.connection_lost(1.0, UPSTREAM_ID)
    pair.primary.connection_lost(1.0, pair.conn)
    pair.write("SET", "b", "2")
    pair.replica.data[b"mine"] = b"kept"  # a whole copy would drop it
    pair.link()
    assert pair.replica.data == {b"a": b"1", b"b": b"2", b"mine": b"kept"}
    assert pair.replica.offset == pair.primary.offset


def test_a_promoted_replica_names_the_history_it_goes_on_from() -> None:
    pair = Pair(10_000)
    pair.write("SET", "a", "1")
    pair.link()
    old, offset = pair.replica.replid, pair.replica.offset
    pair.replica.promote(1.0)
    assert (
        pair.replica.replid != old
        and pair.replica.replid2 == old
        and pair.replica.second_replid_offset == offset + 1
    )
    assert pair.replica._role_answer()[:2] == ["master", offset]


def test_one_that_wrote_beyond_the_fork_needs_a_whole_copy() -> None:
    pair = Pair(10_000)
    pair.write("SET", "a", "1")
    pair.link()
    pair.replica.promote(1.0)
    pair.write("SET", "lost", "x")  # the old primary goes on alone
    back = Pair(10_000)
    back.primary, back.replica = pair.replica, pair.primary
    back.replica.apply_seconds = 0.0
    back.link()
    assert back.replica.data == {b"a": b"1"} and back.replica.replid == back.primary.replid


def test_a_replica_takes_no_writes_and_a_hung_node_says_nothing() -> None:
    pair = Pair(10_000)
    pair.link()
    pair.replica.connection_opened(1.0, 5, "c")
    pair.replica.data_received(1.0, 5, command("SET", "a", "1"))
    assert sent(pair.replica.run_timers(9.0), 5).startswith(b"-READONLY")
    pair.replica.faults.hang = True
    assert sent(pair.replica.data_received(9.0, 5, command("ROLE")), 5).startswith(b"*5\r\n$5\r\nslave")
    assert sent(pair.replica.data_received(9.0, 5, command("GET", "a")), 5) == b""
    assert sent(pair.replica.data_received(9.0, 5, command("ROLE")), 5) == b""  # answers keep their order
    pair.replica.connection_opened(9.0, 6, "c")
    assert sent(pair.replica.data_received(9.0, 6, command("ROLE")), 6).startswith(b"*5\r\n$5\r\nslave")
    pair.replica.faults.hang_probes = True
    assert sent(pair.replica.data_received(9.0, 6, command("ROLE")), 6) == b""


def test_what_was_swallowed_stays_swallowed_and_its_connection_silent() -> None:
    pair = Pair(10_000)
    pair.primary.connection_opened(1.0, 7, "c")
    pair.primary.faults.hang, pair.primary.faults.hang_runs = True, 1.0
    pair.primary.data_received(1.0, 7, command("SET", "a", "1"))
    pair.primary.thaw(2.0)
    assert pair.primary.data == {b"a": b"1"}
    assert sent(pair.primary.data_received(2.0, 7, command("PING")), 7) == b""


def unit(*commands: tuple[str, ...]) -> bytes:
    return command("MULTI") + b"".join(command(*args) for args in commands) + command("EXEC")


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_a_unit_is_one_step_of_the_log(size: int) -> None:
    pair = Pair(size)
    pair.link()
    offsets = {pair.replica.offset}
    pair.primary.connection_opened(1.0, 8, "c")
    pair.primary.data_received(1.0, 8, unit(("APPEND", "a", "x"), ("APPEND", "b", "x")))
    actions = pair.primary.run_timers(1.0)
    ran = [act for act in actions if act.what == "ran"]
    assert [len(act.log) for act in ran] == [2] and ran[0].offset == pair.primary.offset
    down = sent(actions, pair.conn)
    for place in range(0, len(down), size):
        pair.replica.data_received(1.0, UPSTREAM_ID, down[place : place + size])
        offsets.add(pair.replica.offset)
    assert offsets == {0, pair.primary.offset} and pair.replica.data == {b"a": b"x", b"b": b"x"}


def test_an_expired_key_is_gone_everywhere_and_deleted_by_the_primary_alone() -> None:
    pair = Pair(10_000)
    pair.link()
    pair.stream(pair.write("SET", "a", "1", "PX", "500"))
    assert pair.replica.store.apply([b"GET", b"a"], 1.4) == b"1"
    assert pair.replica.store.apply([b"GET", b"a"], 1.5) is None and b"a" in pair.replica.data
    pair.now = 2.0
    actions = pair.write("APPEND", "a", "2")
    assert [act.log for act in actions if act.what == "ran"] == [((b"DEL", b"a"), (b"APPEND", b"a", b"2"))]
    pair.stream(actions)
    assert pair.replica.data == pair.primary.data == {b"a": b"2"}
    assert pair.replica.offset == pair.primary.offset


def test_a_script_is_logged_as_what_it_called() -> None:
    pair = Pair(10_000)
    pair.link()
    script = "redis.call('APPEND', KEYS[1], ARGV[1]) return redis.call('APPEND', KEYS[2], 'z')"
    actions = pair.write("EVAL", script, "2", "a", "b", "x")
    assert sent(actions, 99) == b":1\r\n"
    pair.stream(actions)
    assert pair.replica.data == {b"a": b"x", b"b": b"z"}
    pair.replica.connection_opened(1.0, 5, "c")
    pair.replica.data_received(1.0, 5, command("EVAL", script, "2", "a", "b", "x"))
    answer = sent(pair.replica.run_timers(9.0), 5)
    assert answer.startswith(b"-READONLY") and b" script: " in answer  # as out of its middle


def test_a_line_begins_after_all_that_its_member_had_received() -> None:
    pair = Pair(10_000)
    pair.link()
    pair.replica.apply_seconds = 10.0  # far behind
    pair.stream(pair.write("SET", "a", "1"))
    pair.stream(pair.write("SET", "b", "2"))
    assert pair.replica.data == {}
    line = [act for act in pair.replica.promote(1.5) if act.what == "line"]
    assert [(act.offset, act.received) for act in line] == [(pair.primary.offset, pair.primary.offset)]
    assert pair.replica.data == {b"a": b"1", b"b": b"2"}


def test_what_is_withheld_reaches_no_replica_until_it_is_shipped() -> None:
    pair = Pair(10_000)
    pair.link()
    pair.primary.faults.withhold = True
    pair.stream(pair.write("SET", "a", "1"))
    assert pair.replica.data == {}
    pair.stream(pair.primary.ship(1.0))
    assert pair.replica.data == {b"a": b"1"} and pair.replica.offset == pair.primary.offset


def test_a_log_that_is_withheld_and_delayed_goes_out_in_order() -> None:
    pair = Pair(10_000)
    pair.link()
    pair.primary.faults.delay = 0.5
    pair.stream(pair.write("SET", "a", "1"))  # due at 1.5
    pair.primary.faults.withhold = True
    pair.stream(pair.write("SET", "a", "2"))
    pair.primary.faults.delay = 0.0
    pair.stream(pair.primary.ship(1.1))
    assert pair.replica.data == {}
    pair.stream(pair.primary.run_timers(1.5))
    assert pair.replica.data == {b"a": b"2"} and pair.replica.offset == pair.primary.offset
