"""The bound on what a router holds for Redis clients, in bytes.

Hundreds of clients that wrote slowly, stopped half way through a large command or sent commands of very many short
arguments took a router from 52 to 227, 669 and 439 MB, as nothing bounded what they left in it.
"""

from __future__ import annotations

import re
from pathlib import Path
from random import Random

import anyio
import msgspec
import pytest

from banklift.config.load import EXAMPLE, ConfigError, load
from banklift.net import daemon
from banklift.proxy import events as ev
from banklift.proxy.memory import Holding
from banklift.resp.frames import command
from banklift.resp.front import UNFINISHED_CHECK_SECONDS, UNFINISHED_COMMAND_SECONDS, RespFront
from tests.test_front import answer_members
from tests.test_machine import Rig

LIMIT_BYTES = 4 * 1024 * 1024
REFUSED = b"-TRYAGAIN refused: nothing ran; retry_after_ms=1000\r\n"
SHORT_ARGUMENT = b"$2\r\nab\r\n"


class LimitedRig(Rig):
    """A router that may hold so many bytes. Checks the ledger at each event."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self.peak_bytes = 0
        super().__init__()
        assert isinstance(self.machine.front, RespFront)
        self.front = self.machine.front
        self.machine.memory.set_limit(limit_bytes)
        self.paused: set[int] = set()

    def handle(self, event: ev.Event) -> None:
        super().handle(event)
        memory = self.machine.memory
        assert min(memory.held) >= 0 and sum(memory.held) == memory.total
        self.peak_bytes = max(self.peak_bytes, memory.total)

    def open_clients(self, first: int, count: int) -> range:
        """Connect clients; returns their ids."""
        clients = range(first, first + count)
        for client in clients:
            self.handle(ev.ClientOpened(client))
        return clients

    def send(self, client: int, data: bytes) -> bytes:
        """Pass what a client sent in pieces of the size in which it is read, until it is paused; returns the rest."""
        while data:
            state = self.front.clients.get(client)
            if state is None or state.paused:
                break
            size = self.machine.memory.client_read_bytes
            self.handle(ev.ClientData(client, data[:size]))
            data = data[size:]
        return data


def test_halves_of_large_commands_stay_within_the_limit_and_others_are_served() -> None:
    rig = LimitedRig()
    head = b"*3\r\n$3\r\nSET\r\n$6\r\nnote:1\r\n$1000000\r\n"
    for client in rig.open_clients(2, 300):
        assert rig.send(client, head + b"x" * 100_000) == b""
    assert rig.peak_bytes <= LIMIT_BYTES
    rig.send_command("PING")
    assert rig.answer() == b"+PONG\r\n"
    rig.send_command("GET", "alert:1")
    answer_members(rig)
    assert b"TRYAGAIN" not in rig.answer()
    rig.send(301, b"x" * 900_000 + b"\r\n" + command("PING"))
    assert rig.answer(301) == REFUSED + b"+PONG\r\n"


def test_commands_of_very_many_short_arguments_stay_within_the_limit() -> None:
    rig = LimitedRig()
    for client in rig.open_clients(2, 50):
        rig.send(client, b"*20000\r\n$4\r\nMGET\r\n" + SHORT_ARGUMENT * 18_000)
    assert rig.peak_bytes <= LIMIT_BYTES
    rig.send(51, SHORT_ARGUMENT * 1_999)
    assert rig.answer(51) == REFUSED


def test_while_memory_is_short_a_command_that_stopped_half_way_is_discarded() -> None:
    """Halves that never end would keep large commands of others out for good."""
    rig = LimitedRig()
    head = b"*3\r\n$3\r\nSET\r\n$6\r\nnote:1\r\n$1000000\r\n"
    for client in rig.open_clients(2, 40):
        rig.send(client, head + b"x" * 100_000)
    assert rig.machine.memory.is_short
    rig.wait(UNFINISHED_COMMAND_SECONDS + 2 * UNFINISHED_CHECK_SECONDS)
    assert not rig.machine.memory.is_short
    rig.send(1, command("SET", "note:2", "x" * 1_000_000))
    answer_members(rig)
    assert REFUSED not in rig.answer()


def test_without_shortage_a_command_may_come_as_slowly_as_its_client_likes() -> None:
    rig = LimitedRig()
    sent = command("ECHO", "x" * 100)
    for byte in sent:
        rig.handle(ev.ClientData(1, bytes([byte])))
        rig.wait(UNFINISHED_COMMAND_SECONDS)
    assert rig.answer() == b"$100\r\n" + b"x" * 100 + b"\r\n"
    assert not rig.machine.memory.held[Holding.CLIENT_INPUT]


def test_a_discarded_command_of_a_transaction_aborts_it() -> None:
    rig = LimitedRig()
    rig.send_command("MULTI")
    for client in rig.open_clients(2, 40):
        rig.send(client, b"*2\r\n$4\r\nECHO\r\n$1000000\r\n" + b"x" * 100_000)
    rig.send(1, command("SET", "note:1", "x" * 1_000_000))
    rig.send_command("EXEC")
    assert (
        rig.answer()
        == b"+OK\r\n" + REFUSED + b"-EXECABORT Transaction discarded because of previous errors.\r\n"
    )


def test_pings_at_once_are_all_answered_while_memory_is_short() -> None:
    """Each is answered before the next one is looked at, without recursion."""
    rig = LimitedRig()
    for client in rig.open_clients(2, 30):
        rig.send(client, b"*2\r\n$4\r\nECHO\r\n$1000000\r\n" + b"x" * 90_000)
    assert rig.machine.memory.is_short
    assert rig.send(1, command("PING") * 3_000) == b""
    assert rig.answer() == b"+PONG\r\n" * 3_000


@pytest.mark.parametrize("seed", range(20))
def test_random_floods_stay_within_the_limit_and_the_ledger_returns_to_zero(seed: int) -> None:
    draw = Random(seed)
    limit_bytes = draw.choice([1 << 20, 2 << 20, 4 << 20])
    rig = LimitedRig(limit_bytes)
    rest = dict.fromkeys(rig.open_clients(2, 25), b"")
    expected = dict.fromkeys(rest, 0)
    halves: set[int] = set()
    for _ in range(300):
        client = draw.choice(list(rest))
        kind = draw.random()
        if kind < 0.03:
            rig.handle(ev.ClientLost(client))
            rest.pop(client)
            expected.pop(client, None)
            if not rest:
                break
        elif client not in halves and kind < 0.1:
            halves.add(client)
            rest[client] += command("SET", "note:1", "x" * draw.randrange(200_000))[: -draw.randrange(1, 30)]
        elif client not in halves:
            sent = [
                command("SET", f"note:{client}", "x" * draw.choice([5, 60_000])),
                command("GET", f"alert:{client}"),
                command("PING"),
            ]
            count = draw.randrange(1, 12)
            rest[client] += b"".join(draw.choice(sent) for _ in range(count))
            expected[client] += count
        for other in rest:
            rest[other] = rig.send(other, rest[other])
        if draw.random() < 0.6:
            answer_members(rig)
        rig.wait(draw.random() * 0.05)
    for _ in range(80):
        answer_members(rig)
        rig.wait(0.5)
        for other in rest:
            rest[other] = rig.send(other, rest[other])
    assert rig.peak_bytes <= limit_bytes
    for client, count in expected.items():
        replies = re.findall(rb"\+PONG|\+OK|-[A-Z]+|\$-1|:\d|\$\d", rig.answer(client))
        assert len(replies) == count, client
    for client in rest:
        rig.handle(ev.ClientLost(client))
    answer_members(rig)
    rig.wait(5.0)
    held = rig.machine.memory.held
    assert not held[Holding.CLIENT_INPUT] and not held[Holding.ANSWERS] and not held[Holding.REQUESTS]
    assert not rig.front.unfinished


def test_a_limit_that_the_process_exceeds_by_itself_is_refused_with_the_figure(tmp_path: Path) -> None:
    config = msgspec.structs.replace(load(EXAMPLE), memory_mb=2.0)
    with pytest.raises(ConfigError, match=r"memory_mb: 2 is too little; this process needs [0-9]+"):
        anyio.run(daemon.serve, config, tmp_path)
