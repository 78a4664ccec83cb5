"""The emulated Redis-like member: replication by PSYNC with full and partial resynchronisation, transactions, scripts,
expiry, promotion, and the faults that keep answers or the log back."""

from __future__ import annotations

import pytest

from banklift.emulator.node import UPSTREAM_ID, MemberAction, RespMember
from banklift.resp.frames import command

CLIENT_ID = 99  # number of the test's client connection to the primary
ONE_PIECE = 10_000  # bytes, more than any of these tests sends at once


def sent(actions: list[MemberAction], conn: int) -> bytes:
    """The bytes that the actions send on connection `conn`."""
    return b"".join(
        action.data for action in actions if action.kind == "send" and action.connection_id == conn
    )


class Pair:
    """A primary and a replica. The test passes bytes between them, those to the replica in pieces of `size` bytes."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.primary = RespMember("p", 1, command_seconds=0.0)
        self.replica = RespMember("r", 2, apply_seconds=0.0)
        self.conn = 0  # number of the replica's connection at the primary; 0: none yet
        self.now = 1.0

    def write(self, *args: str) -> list[MemberAction]:
        """Send a command to the primary. Returns the primary's actions; `stream` passes them to the replica."""
        if CLIENT_ID not in self.primary.connections:
            self.primary.connection_opened(self.now, CLIENT_ID, "c")
        actions = list(self.primary.data_received(self.now, CLIENT_ID, command(*args)))
        return actions + list(self.primary.run_timers(self.now))

    def link(self) -> None:
        """Connect the replica to the primary and complete the replication handshake."""
        self.conn += 1
        self.primary.connection_opened(self.now, self.conn, "r")
        self.replica.follow(self.now, "p:1")
        self.exchange(sent(self.replica.upstream_connected(self.now), UPSTREAM_ID))

    def exchange(self, to_primary: bytes) -> None:
        """Pass bytes to the primary, its answers to the replica, and so on, until neither sends anything."""
        while to_primary:
            to_replica = sent(self.primary.data_received(self.now, self.conn, to_primary), self.conn)
            to_primary = b""
            for start in range(0, len(to_replica), self.size):
                to_primary += sent(
                    self.replica.data_received(self.now, UPSTREAM_ID, to_replica[start : start + self.size]),
                    UPSTREAM_ID,
                )

    def stream(self, actions: list[MemberAction]) -> None:
        """Pass to the replica what the primary's actions send to it."""
        to_replica = sent(actions, self.conn)
        for start in range(0, len(to_replica), self.size):
            self.replica.data_received(self.now, UPSTREAM_ID, to_replica[start : start + self.size])


@pytest.mark.parametrize("size", [1, 7, ONE_PIECE])
def test_a_replica_gets_a_full_copy_and_then_the_stream(size: int) -> None:
    pair = Pair(size)
    for number in range(20):
        pair.write("SET", f"k{number}", "v\r\n$5\r\n")
    pair.link()
    assert pair.replica.data == pair.primary.data and pair.replica.offset == pair.primary.offset
    assert pair.replica.replid == pair.primary.replid and pair.replica.link_up
    pair.stream(pair.write("RPUSH", "l", "a"))
    assert pair.replica.data[b"l"] == [b"a"] and pair.replica.offset == pair.primary.offset


def test_a_full_copy_and_the_stream_may_arrive_in_one_piece() -> None:
    """A full copy is a bulk string without the final CRLF, so the bytes behind it belong to the stream."""
    pair = Pair(ONE_PIECE)
    pair.write("SET", "a", "1")
    pair.primary.connection_opened(1.0, 1, "r")
    pair.replica.follow(1.0, "p:1")
    pair.replica.upstream_connected(1.0)
    for _ in range(2):
        pair.replica.data_received(
            1.0, UPSTREAM_ID, b"+PONG\r\n" if pair.replica.handshake_stage == "ping" else b"+OK\r\n"
        )
    to_replica = sent(pair.primary.data_received(1.0, 1, command("PSYNC", "?", "-1")), 1)
    to_replica += sent(pair.write("SET", "b", "2"), 1)
    pair.replica.data_received(1.0, UPSTREAM_ID, to_replica)
    assert pair.replica.data == {b"a": b"1", b"b": b"2"} and pair.replica.offset == pair.primary.offset


def test_a_replica_that_reconnects_gets_only_the_missing_part_of_the_log() -> None:
    pair = Pair(ONE_PIECE)
    pair.write("SET", "a", "1")
    pair.link()
    pair.replica.connection_lost(1.0, UPSTREAM_ID)
    pair.primary.connection_lost(1.0, pair.conn)
    pair.write("SET", "b", "2")
    pair.replica.data[b"mine"] = b"kept"  # a full copy would drop it
    pair.link()
    assert pair.replica.data == {b"a": b"1", b"b": b"2", b"mine": b"kept"}
    assert pair.replica.offset == pair.primary.offset


def test_a_promoted_replica_keeps_the_id_of_the_history_that_it_continues() -> None:
    pair = Pair(ONE_PIECE)
    pair.write("SET", "a", "1")
    pair.link()
    old_replid = pair.replica.replid
    offset = pair.replica.offset
    pair.replica.promote(1.0)
    assert (
        pair.replica.replid != old_replid
        and pair.replica.replid2 == old_replid
        and pair.replica.second_replid_offset == offset + 1
    )
    assert pair.replica._role_answer()[:2] == ["master", offset]


def test_an_old_primary_that_wrote_after_the_promotion_gets_a_full_copy() -> None:
    pair = Pair(ONE_PIECE)
    pair.write("SET", "a", "1")
    pair.link()
    pair.replica.promote(1.0)
    pair.write("SET", "lost", "x")  # the old primary does not know of the promotion
    swapped = Pair(ONE_PIECE)
    swapped.primary = pair.replica
    swapped.replica = pair.primary
    swapped.replica.apply_seconds = 0.0
    swapped.link()
    assert swapped.replica.data == {b"a": b"1"} and swapped.replica.replid == swapped.primary.replid


def test_a_replica_refuses_writes_and_a_hung_member_sends_no_answer() -> None:
    pair = Pair(ONE_PIECE)
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
    pair.replica.faults.hang_role_queries = True
    assert sent(pair.replica.data_received(9.0, 6, command("ROLE")), 6) == b""


def test_a_connection_with_an_unanswered_command_stays_silent_after_a_hang() -> None:
    pair = Pair(ONE_PIECE)
    pair.primary.connection_opened(1.0, 7, "c")
    pair.primary.faults.hang = True
    pair.primary.faults.hang_execute_share = 1.0
    pair.primary.data_received(1.0, 7, command("SET", "a", "1"))
    pair.primary.end_hang(2.0)
    assert pair.primary.data == {b"a": b"1"}
    assert sent(pair.primary.data_received(2.0, 7, command("PING")), 7) == b""


def transaction(*commands: tuple[str, ...]) -> bytes:
    """The commands between MULTI and EXEC, as a client sends them."""
    return command("MULTI") + b"".join(command(*args) for args in commands) + command("EXEC")


@pytest.mark.parametrize("size", [1, 7, ONE_PIECE])
def test_a_transaction_is_replicated_as_one_step(size: int) -> None:
    pair = Pair(size)
    pair.link()
    offsets = {pair.replica.offset}
    pair.primary.connection_opened(1.0, 8, "c")
    pair.primary.data_received(1.0, 8, transaction(("APPEND", "a", "x"), ("APPEND", "b", "x")))
    actions = pair.primary.run_timers(1.0)
    ran = [action for action in actions if action.kind == "ran"]
    assert [len(action.log) for action in ran] == [2] and ran[0].offset == pair.primary.offset
    to_replica = sent(actions, pair.conn)
    for start in range(0, len(to_replica), size):
        pair.replica.data_received(1.0, UPSTREAM_ID, to_replica[start : start + size])
        offsets.add(pair.replica.offset)
    assert offsets == {0, pair.primary.offset} and pair.replica.data == {b"a": b"x", b"b": b"x"}


def test_no_member_reads_an_expired_key_and_only_the_primary_deletes_it() -> None:
    pair = Pair(ONE_PIECE)
    pair.link()
    pair.stream(pair.write("SET", "a", "1", "PX", "500"))
    assert pair.replica.store.apply([b"GET", b"a"], 1.4) == b"1"
    assert pair.replica.store.apply([b"GET", b"a"], 1.5) is None and b"a" in pair.replica.data
    pair.now = 2.0
    actions = pair.write("APPEND", "a", "2")
    assert [action.log for action in actions if action.kind == "ran"] == [
        ((b"DEL", b"a"), (b"APPEND", b"a", b"2"))
    ]
    pair.stream(actions)
    assert pair.replica.data == pair.primary.data == {b"a": b"2"}
    assert pair.replica.offset == pair.primary.offset


def test_a_script_is_logged_as_the_commands_that_it_called() -> None:
    pair = Pair(ONE_PIECE)
    pair.link()
    script = "redis.call('APPEND', KEYS[1], ARGV[1]) return redis.call('APPEND', KEYS[2], 'z')"
    actions = pair.write("EVAL", script, "2", "a", "b", "x")
    assert sent(actions, CLIENT_ID) == b":1\r\n"
    pair.stream(actions)
    assert pair.replica.data == {b"a": b"x", b"b": b"z"}
    pair.replica.connection_opened(1.0, 5, "c")
    pair.replica.data_received(1.0, 5, command("EVAL", script, "2", "a", "b", "x"))
    answer = sent(pair.replica.run_timers(9.0), 5)
    assert answer.startswith(b"-READONLY") and b" script: " in answer  # the error names the script


def test_a_new_history_starts_after_all_of_the_log_that_was_received() -> None:
    pair = Pair(ONE_PIECE)
    pair.link()
    pair.replica.apply_seconds = 10.0  # nothing is applied before the promotion
    pair.stream(pair.write("SET", "a", "1"))
    pair.stream(pair.write("SET", "b", "2"))
    assert pair.replica.data == {}
    histories = [action for action in pair.replica.promote(1.5) if action.kind == "line"]
    assert [(action.offset, action.parent_offset_received) for action in histories] == [
        (pair.primary.offset, pair.primary.offset)
    ]
    assert pair.replica.data == {b"a": b"1", b"b": b"2"}


def test_a_withheld_log_reaches_no_replica_until_it_is_shipped() -> None:
    pair = Pair(ONE_PIECE)
    pair.link()
    pair.primary.faults.withhold_log = True
    pair.stream(pair.write("SET", "a", "1"))
    assert pair.replica.data == {}
    pair.stream(pair.primary.release_withheld_log(1.0))
    assert pair.replica.data == {b"a": b"1"} and pair.replica.offset == pair.primary.offset


def test_a_log_that_was_delayed_and_then_withheld_is_sent_in_order() -> None:
    pair = Pair(ONE_PIECE)
    pair.link()
    pair.primary.faults.log_delay_seconds = 0.5
    pair.stream(pair.write("SET", "a", "1"))  # due at 1.5
    pair.primary.faults.withhold_log = True
    pair.stream(pair.write("SET", "a", "2"))
    pair.primary.faults.log_delay_seconds = 0.0
    pair.stream(pair.primary.release_withheld_log(1.1))
    assert pair.replica.data == {}
    pair.stream(pair.primary.run_timers(1.5))
    assert pair.replica.data == {b"a": b"2"} and pair.replica.offset == pair.primary.offset
