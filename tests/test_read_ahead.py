"""No request is begun for a client that has left, however much of its input is unread.

Other operators reported it: a client closed its connection with much still unread, and its requests were sent on
afterwards. Its pipeline was full, so the router did not read it, and the close was behind the unread commands.
"""

from __future__ import annotations

from random import Random

import pytest

from banklift.pg import frames
from banklift.proxy import events as ev
from banklift.proxy import memory
from banklift.proxy.memory import (
    MAX_READ_AHEAD_BYTES,
    READ_AHEAD_SHARE,
    USUAL_READ_BYTES,
    Holding,
    MemoryBudget,
)
from tests.platform_site import Site, SiteClient, value

RECEIVE_BUFFER_BYTES = 64 * 1024  # what the kernel holds of a connection that is not read
ATTEMPT_AFTER_CLOSE_SECONDS = 0.1  # within which an attempt may still begin, by the acceptance page
ANSWER_SECONDS = 0.3  # in which a member answers a statement
STAY_SECONDS = 0.15  # from a client's commands to its close


class WindowSite(Site):
    """A site whose connections have a receive buffer of a usual size. Records when members get statements."""

    def __init__(self, **more: object) -> None:
        super().__init__(delay=ANSWER_SECONDS, **more)  # type: ignore[arg-type]
        self.world.receive_buffer_bytes = RECEIVE_BUFFER_BYTES
        self.peak_input_bytes = 0
        handle = self.machine.handle

        def recording_handle(now: float, event: ev.Event) -> list[ev.Action]:
            actions = handle(now, event)
            held = self.machine.memory.held[Holding.CLIENT_INPUT]
            self.peak_input_bytes = max(self.peak_input_bytes, held)
            return actions

        self.machine.handle = recording_handle  # type: ignore[method-assign]

    def statements(self) -> int:
        """The number of statements that all members have received."""
        return sum(len(member.statements) for member in self.members.values())

    def writes(self, count: int, size: int) -> bytes:
        """The Query messages of so many writes of `size` bytes."""
        return b"".join(frames.query(self.write(f"k{n}", "9f" * size).encode()) for n in range(count))


# ---- the room for reading ahead


def test_each_client_may_read_ahead_as_much_as_is_left_for_all() -> None:
    budget = MemoryBudget(1_000_000)
    assert budget.read_ahead_bytes == READ_AHEAD_SHARE * 1_000_000
    budget.take(Holding.CLIENT_INPUT, 100_000)
    budget.unsent_bytes = 50_000
    assert budget.read_ahead_bytes == READ_AHEAD_SHARE * 1_000_000 - 150_000
    budget.take(Holding.REQUESTS, 300_000)
    assert budget.read_ahead_bytes <= 0
    assert budget.take_report() is None  # it is no refusal


def test_without_a_limit_a_client_may_read_ahead_so_much_and_no_more() -> None:
    assert MemoryBudget().read_ahead_bytes == MAX_READ_AHEAD_BYTES


# ---- clients that leave


@pytest.mark.parametrize(("count", "size"), [(200, 500), (400, 500), (30, 30_000)])
@pytest.mark.parametrize("clients", [1, 8])
def test_no_attempt_begins_for_a_client_that_left_with_much_unread(
    count: int, size: int, clients: int
) -> None:
    """The commands are more than a receive buffer holds. Up to 0.8 s after the close writes were begun for it."""
    site = WindowSite()
    callers = [SiteClient(site) for _ in range(clients)]
    for caller in callers:
        caller.handle.send(site.writes(count, size))
    site.run(STAY_SECONDS)
    for caller in callers:
        caller.handle.close()
    site.run(ATTEMPT_AFTER_CLOSE_SECONDS)
    begun = site.statements()
    assert begun
    site.run(3.0)
    assert site.statements() == begun
    site.assert_no_leftovers()


def test_the_same_after_some_answers_and_with_a_command_that_is_not_complete() -> None:
    site = WindowSite()
    caller = SiteClient(site)
    caller.handle.send(site.writes(300, 500)[:-100])
    site.run(4 * ANSWER_SECONDS)
    assert caller.received_messages()
    caller.handle.close()
    site.run(ATTEMPT_AFTER_CLOSE_SECONDS)
    begun = site.statements()
    site.run(3.0)
    assert site.statements() == begun and not site.front.clients
    site.assert_no_leftovers()


def test_a_client_that_stays_gets_all_its_answers_in_order() -> None:
    """Input that was read ahead is handled as if it had just arrived, and nothing of it is lost."""
    site = WindowSite()
    caller = SiteClient(site)
    keys = [f"{n:04x}" for n in range(150)]
    caller.handle.send(
        b"".join(frames.query(site.write(key, key + "9f" * 500, timeout_ms=9000).encode()) for key in keys)
    )
    for _ in range(40):
        site.run(ANSWER_SECONDS)
    values = [
        frames.single_value(b"\0\x01v\0" + b"\0" * 18, body)
        for kind, body in caller.received_messages()
        if kind == "D"
    ]
    assert values == [bytes.fromhex(key + "9f" * 500) for key in keys]
    assert value(SiteClient(site).query(site.read("any", "0001"), 2 * ANSWER_SECONDS))
    site.assert_no_leftovers()


# ---- the bound


@pytest.mark.parametrize("limit_bytes", [1 << 20, 4 << 20, 16 << 20])
def test_what_is_read_ahead_stays_within_its_share_and_is_given_back(limit_bytes: int) -> None:
    site = WindowSite(sockets=512)
    site.machine.memory.set_limit(limit_bytes)
    callers = [SiteClient(site) for _ in range(30)]
    draw = Random(limit_bytes)
    for caller in callers:
        caller.handle.send(site.writes(draw.randrange(200, 400), 500))
    site.run(1.0)
    assert site.peak_input_bytes <= READ_AHEAD_SHARE * limit_bytes + len(callers) * USUAL_READ_BYTES
    for caller in callers:
        caller.handle.close()
    site.run(100.0)
    assert not site.machine.memory.held[Holding.CLIENT_INPUT] and not site.front.clients
    site.assert_no_leftovers()


def test_where_there_is_no_room_a_client_is_not_read_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    """The close is then noticed as soon as what is unread fits into the receive buffer."""
    monkeypatch.setattr(memory, "MAX_READ_AHEAD_BYTES", 0)
    site = WindowSite()
    caller = SiteClient(site)
    caller.send(site.writes(400, 500))
    (client,) = site.front.clients.values()
    assert client.is_held_back and client.paused and len(client.reader) <= USUAL_READ_BYTES
