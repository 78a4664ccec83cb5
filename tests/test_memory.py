"""The bound on what a router holds for clients and members, in bytes.

Clients may pipeline the largest writes, stop in the middle of one, or not read their answers, many of them at a time.
A router that holds all of it goes over the memory that its platform allows, and is killed with all its requests.
"""

from __future__ import annotations

import math
from random import Random

import pytest

from banklift.pg import frames
from banklift.pg.request_ids import SPENT_SECONDS
from banklift.pg.statement import VALUE_LIMIT
from banklift.proxy import events as ev
from banklift.proxy.memory import (
    MAX_SHORTAGE_READ_BYTES,
    MIN_READ_BYTES,
    USUAL_READ_BYTES,
    Claim,
    Holding,
    MemoryBudget,
)
from tests.platform_site import SETTINGS, Site, SiteClient, code, value

LIMIT_BYTES = 4 * 1024 * 1024
LARGE_VALUE = "9f" * VALUE_LIMIT  # the largest value, in hexadecimal digits


class LimitedSite(Site):
    """A site whose router may hold `LIMIT_BYTES`. Checks the ledger whenever time passes."""

    def __init__(self, delay: float = 0.0, limit_bytes: int = LIMIT_BYTES, **more: object) -> None:
        self.peak_bytes = 0
        super().__init__(sockets=1024, delay=delay, **more)  # type: ignore[arg-type]
        self.machine.memory.set_limit(limit_bytes)
        handle = self.machine.handle

        def checked_handle(now: float, event: ev.Event) -> list[ev.Action]:
            actions = handle(now, event)
            memory = self.machine.memory
            assert min(memory.held) >= 0 and sum(memory.held) == memory.total
            self.peak_bytes = max(self.peak_bytes, memory.total)
            return actions

        self.machine.handle = checked_handle  # type: ignore[method-assign]

    def large_write(self, **more: object) -> bytes:
        """The Query message of a write of the largest value."""
        return frames.query(self.write(value=LARGE_VALUE, **more).encode())  # type: ignore[arg-type]


def connect(site: Site, count: int) -> list[SiteClient]:
    """So many clients that have started up."""
    return [SiteClient(site) for _ in range(count)]


def outcomes(caller: SiteClient) -> list[str]:
    """Of each answer: "served", or its SQLSTATE."""
    found: list[str] = []
    for kind, body in caller.received_messages():
        if kind == "E":
            found.append(frames.error_fields(body)["C"])
        elif kind == "D":
            found.append("served")
    return found


# ---- the ledger


def test_claims_are_granted_up_to_their_share_and_refusals_are_reported_once() -> None:
    memory = MemoryBudget(1000)
    memory.take(Holding.REQUESTS, 400)
    memory.unsent_bytes = 100
    assert not memory.is_short and memory.take_report() is None
    memory.take(Holding.ANSWERS, 100)
    assert memory.is_short
    assert [memory.has_room(1, claim) for claim in Claim] == [False, True, True]
    assert [memory.has_room(275, claim) for claim in Claim] == [False, True, True]
    assert [memory.has_room(276, claim) for claim in Claim] == [False, False, True]
    assert not memory.has_room(401)
    report = memory.take_report()
    assert report is not None and report["refused"] == 5
    assert memory.take_report() is None


def test_a_ledger_without_a_limit_grants_all_claims() -> None:
    memory = MemoryBudget()
    memory.take(Holding.REQUESTS, 1 << 60)
    assert memory.limit_bytes == math.inf and memory.has_room(1 << 60, Claim.FURTHER) and not memory.is_short


@pytest.mark.parametrize(
    ("limit_bytes", "shortage_read_bytes"),
    [(1 << 20, MIN_READ_BYTES), (8 << 20, 8 * 1024), (1 << 30, MAX_SHORTAGE_READ_BYTES)],
)
def test_clients_are_read_in_small_pieces_while_memory_is_short(
    limit_bytes: int, shortage_read_bytes: int
) -> None:
    memory = MemoryBudget(limit_bytes)
    assert memory.client_read_bytes == USUAL_READ_BYTES
    memory.take(Holding.CLIENT_INPUT, limit_bytes // 2 + 1)
    assert memory.client_read_bytes == shortage_read_bytes


# ---- floods of commands


def test_pipelined_writes_of_the_largest_value_stay_within_the_limit() -> None:
    """The router held all of them, 125 MB for 60 clients, and was killed for memory (review/3)."""
    site = LimitedSite(delay=0.1)
    callers = connect(site, 60)
    for caller in callers:
        caller.handle.send(b"".join(site.large_write() for _ in range(20)))
    site.run(20.0)
    counts = [outcomes(caller) for caller in callers]
    assert all(len(found) == 20 for found in counts)
    assert {outcome for found in counts for outcome in found} <= {"served", "53300", "40003"}
    assert sum(found.count("served") for found in counts) > 20
    # one command may be read without a look at its length before half of the budget is in use
    assert LIMIT_BYTES / 4 < site.peak_bytes <= LIMIT_BYTES
    site.assert_no_leftovers()


def test_a_flood_of_small_commands_stays_within_the_limit() -> None:
    site = LimitedSite(delay=100.0, limit_bytes=1 << 20)
    callers = connect(site, 100)
    for caller in callers:
        caller.handle.send(b"".join(frames.query(site.read("any").encode()) for _ in range(16)))
    site.run(0.5)
    # what was read of a client that has to wait comes on top
    assert (1 << 20) / 2 < site.peak_bytes <= (1 << 20) + len(callers) * MIN_READ_BYTES
    site.run(10.0)
    assert all(len(outcomes(caller)) == 16 for caller in callers)


def test_a_usual_client_is_served_beside_a_flood() -> None:
    """Clients with much open must not take the last part of the memory from one that has nothing."""
    site = LimitedSite(delay=0.02)
    flood = connect(site, 60)
    usual = SiteClient(site)
    for caller in flood:
        caller.handle.send(b"".join(site.large_write() for _ in range(20)))
    site.run(0.01)
    assert site.machine.memory.is_short
    assert value(usual.query(site.read("any", "own key"), 1.0)) == b"none"


def test_a_large_command_without_room_is_discarded_and_refused_and_the_next_one_is_served() -> None:
    site = LimitedSite()
    caller = SiteClient(site)
    held = LIMIT_BYTES - site.machine.memory.total - 32 * 1024
    site.machine.memory.take(Holding.ANSWERS, held)
    message = site.large_write()
    for start in range(0, len(message), 16 * 1024):
        assert not caller.received
        caller.send(message[start : start + 16 * 1024], 0.001)
        assert site.machine.memory.held[Holding.CLIENT_INPUT] <= 16 * 1024
    site.run(0.01)
    assert code(caller.received_messages()) == "53300"
    assert not site.members["p"].statements
    assert value(caller.query(site.read("any"))) == b"none"
    site.machine.memory.give_back(Holding.ANSWERS, held)
    caller.send(site.large_write(), 0.1)
    assert outcomes(caller) == ["served"]
    site.assert_no_leftovers()


def test_a_client_with_open_commands_waits_for_room_instead_of_being_refused() -> None:
    site = LimitedSite(delay=0.5)
    caller = SiteClient(site)
    caller.send(site.large_write(), 0.1)
    held = int(site.machine.memory.limit_bytes / 2)
    site.machine.memory.take(Holding.ANSWERS, held)
    caller.send(frames.query(site.read("any").encode()), 0.1)
    assert len(site.machine.pending) == 1 and not caller.received
    site.run(1.5)
    assert outcomes(caller) == ["served", "served"]
    site.machine.memory.give_back(Holding.ANSWERS, held)
    site.assert_no_leftovers()


def test_halves_of_commands_stay_within_the_limit_and_end_with_their_clients() -> None:
    """Incomplete commands of many clients fill the memory as well as whole ones."""
    site = LimitedSite()
    usual = SiteClient(site)
    halves = connect(site, 100)
    for caller in halves:
        caller.handle.send(site.large_write()[: 100 * 1024])
    site.run(0.1)
    assert LIMIT_BYTES / 4 < site.peak_bytes <= LIMIT_BYTES
    assert value(usual.query(site.read("any"), 0.1)) == b"none"
    site.run(3.0)
    assert all(caller.closed for caller in halves)
    site.assert_no_leftovers()


def test_a_framing_fault_gives_back_what_its_client_had_sent() -> None:
    site = LimitedSite()
    caller = SiteClient(site)
    caller.send(b"F" + frames.query(b"x" * 60_000), 0.1)
    assert caller.closed
    site.assert_no_leftovers()


# ---- answers


@pytest.mark.parametrize("is_write", [False, True])
def test_an_answer_that_its_client_does_not_take_is_replaced_while_memory_is_short(is_write: bool) -> None:
    """A read is refused, as a repeat does no harm; a write may have run."""
    site = LimitedSite(delay=0.1)
    site.members["p"].store[b"k"] = bytes(VALUE_LIMIT)
    slow, usual = connect(site, 2)
    slow.send(site.large_write() if is_write else frames.query(site.read("any").encode()), 0.01)
    usual.send(frames.query(site.read("any").encode()), 0.01)
    slow_id = min(site.front.clients)
    site.host.handle_event(ev.ClientBacklogged(slow_id))
    held = int(LIMIT_BYTES * 0.6)
    site.machine.memory.take(Holding.ANSWERS, held)
    site.run(0.5)
    assert outcomes(slow) == (["40003"] if is_write else ["53300"])
    assert outcomes(usual) == ["served"]
    site.machine.memory.give_back(Holding.ANSWERS, held)
    site.host.handle_event(ev.ClientDrained(slow_id))
    assert value(slow.query(site.read("any"), 0.5)) == (b"\x9f" if is_write else b"\0") * VALUE_LIMIT
    site.assert_no_leftovers()


def test_answers_that_wait_for_earlier_ones_are_held_within_the_limit() -> None:
    """Each of sixteen commands may bring 64 KiB while the first one is still open."""
    site = LimitedSite(limit_bytes=1 << 20)
    site.members["p"].store[b"k"] = bytes(VALUE_LIMIT)
    callers = connect(site, 10)
    site.members["p"].answer_delay_seconds = 1.0
    for caller in callers:
        caller.handle.send(
            frames.query(site.write("other").encode())
            + b"".join(frames.query(site.read("any").encode()) for _ in range(15))
        )
    site.run(0.8)
    assert site.machine.memory.held[Holding.ANSWERS] > VALUE_LIMIT
    site.run(5.0)
    assert site.peak_bytes <= 1 << 20
    assert all(len(outcomes(caller)) == 16 for caller in callers)
    site.assert_no_leftovers()


def test_a_request_counts_until_its_last_attempt_ends_though_its_client_has_left() -> None:
    """Clients that send, leave and come back would otherwise pile up statements that nobody counts."""
    site = LimitedSite(
        delay=0.5, settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "may_cancel": False}}
    )
    caller = SiteClient(site)
    caller.send(site.large_write(), 0.05)
    caller.handle.close()
    site.run(0.1)
    assert not site.machine.pending and site.machine.in_flight
    assert site.machine.memory.held[Holding.REQUESTS] > 2 * VALUE_LIMIT
    site.run(3.0)
    assert not site.machine.memory.held[Holding.REQUESTS]


# ---- all of it at random


@pytest.mark.parametrize("seed", range(20))
def test_random_floods_stay_within_the_limit_and_the_ledger_returns_to_zero(seed: int) -> None:
    draw = Random(seed)
    limit_bytes = draw.choice([1 << 20, 2 << 20, 4 << 20])
    site = LimitedSite(delay=draw.choice([0.0, 0.05, 0.6]), limit_bytes=limit_bytes)
    site.members["p"].store[b"k"] = bytes(VALUE_LIMIT)
    callers = connect(site, 30)
    expected = dict.fromkeys(callers, 0)
    for _ in range(120):
        caller = draw.choice(callers)
        kind = draw.random()
        if caller.closed:
            continue
        if kind < 0.05:
            caller.handle.close()
            caller.closed = True
            expected.pop(caller, None)
        elif kind < 0.1:
            caller.handle.send(site.large_write()[: draw.randrange(1, 120_000)])
            expected.pop(caller, None)
        else:
            count = draw.randrange(1, 20)
            for _ in range(count):
                is_large = draw.random() < 0.5
                caller.handle.send(
                    site.large_write() if is_large else frames.query(site.read("any").encode())
                )
            if caller in expected:
                expected[caller] += count
        site.run(draw.random() * 0.02)
    site.run(60.0)
    assert site.peak_bytes <= limit_bytes
    assert expected
    for caller, count in expected.items():
        found = outcomes(caller)
        if count:
            assert len(found) == count and "57P05" not in found
        else:  # it never sent a query, and was closed
            assert found == ["57P05"]
    for caller in callers:
        caller.handle.close()
    site.run(5.0)
    site.assert_no_leftovers()
    site.run(SPENT_SECONDS)
    memory = site.machine.memory
    assert not any(memory.held[holding] for holding in Holding if holding > Holding.MEMBERS)
