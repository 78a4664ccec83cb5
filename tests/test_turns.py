"""Connections take turns: one that always has input, or whose commands are answered at once, doesn't starve the others.

Found by review/2: clients that sent each command again as soon as it was turned away were the only ones served.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banklift.adapter import parse_settings
from banklift.net.connections import HIGH_WATER_BYTES, IO_CHUNK_BYTES
from banklift.net.env import Handle, Peer
from banklift.net.router import RouterHost
from banklift.net.service import build_machine
from banklift.net.service_config import StartConfig
from banklift.net.sockets import MAX_DEFERRED_CALLS_PER_BATCH, MAX_SOCKETS_PER_BATCH, SocketEnv
from banklift.pg import frames
from banklift.proxy import events as ev
from banklift.proxy.wire import COMMANDS_PER_TURN
from banklift.resp.frames import command
from tests.platform_site import SETTINGS, Site, SiteClient, value
from tests.surroundings import open_connections, run_until
from tests.test_machine import Rig

MAX_TEST_TURNS = 200  # turns of one connection after which a test gives up
EMPTY_QUERY = frames.query(b"")
PIPELINED_COMMANDS = 600  # commands of one read that are answered at once


class TurnCounter(Peer):
    """Counts the data events of a connection, and calls `on_turn` at each."""

    def __init__(self, on_turn: Callable[[], object] = lambda: None) -> None:
        self.turns = 0
        self.on_turn = on_turn

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.turns += 1
        self.on_turn()

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


def write_all_that_fits(caller: socket.socket, data: bytes) -> int:
    """Write as much of `data` as the socket takes without waiting; returns the number of bytes."""
    caller.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while sent < len(data):
            sent += caller.send(data[sent:])
    return sent


# ---- sockets


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_sockets_that_always_have_input_leave_turns_to_the_others(exclusive_loop: bool) -> None:
    """More sockets than a batch has room for always have input. epoll reports them in the same order at each poll, so
    a socket behind them would never be served if each batch took the first ones of its poll."""
    busy = [TurnCounter() for _ in range(MAX_SOCKETS_PER_BATCH + 8)]
    turns_before: list[int] = []
    callers: list[socket.socket] = []
    quiet = TurnCounter(lambda: turns_before.extend(peer.turns for peer in busy))

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [*busy, quiet], len(busy) + 1))
        for peer, caller in zip(busy, callers, strict=False):
            # each turn reads one chunk and leaves at least one more
            write_all_that_fits(caller, b"x" * (2 * IO_CHUNK_BYTES))
            peer.on_turn = partial(write_all_that_fits, caller, b"x" * IO_CHUNK_BYTES)
        callers[-1].sendall(b"question")
        return lambda: quiet.turns > 0 or max(peer.turns for peer in busy) > MAX_TEST_TURNS

    run_until(act, exclusive_loop)
    for caller in callers:
        caller.close()
    assert quiet.turns == 1
    assert max(turns_before) <= 2  # nobody gets a third turn before each has had one


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_deferred_calls_and_sockets_take_turns(exclusive_loop: bool) -> None:
    """A call that defers itself for ever neither keeps sockets from being served nor waits for one to have input."""
    calls = 0
    peer = TurnCounter()

    def act(env: SocketEnv) -> Callable[[], bool]:
        (caller,) = open_connections(env, [peer], 1)

        def call_again() -> None:
            nonlocal calls
            calls += 1
            if calls == 50:
                caller.sendall(b"question")
            if calls < 100_000:
                env.defer(call_again)

        env.defer(call_again)
        return lambda: peer.turns > 0

    run_until(act, exclusive_loop)
    assert peer.turns == 1 and 50 <= calls < 100_000


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_answers_of_deferred_calls_are_written_before_too_many_are_queued(exclusive_loop: bool) -> None:
    """Otherwise a slow reader would be known only after all deferred calls of a batch have made their answers."""
    queued: list[int] = []
    peer = TurnCounter()
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, [peer], 1))

        def answer() -> None:
            queued.append(env.queued_bytes)
            peer.handle.send(b"x" * (HIGH_WATER_BYTES + 1))

        for _ in range(MAX_DEFERRED_CALLS_PER_BATCH):
            env.defer(answer)
        return lambda: len(queued) == MAX_DEFERRED_CALLS_PER_BATCH

    run_until(act, exclusive_loop)
    callers[0].close()
    assert queued == [0] * MAX_DEFERRED_CALLS_PER_BATCH


def test_a_call_that_a_socket_defers_is_made_after_the_sockets_of_the_next_batch() -> None:
    """A client would else have two turns in a row, the second one before sockets that became ready in the first."""
    order: list[str] = []
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        def defer_and_wake_the_other() -> None:
            order.append("first turn")
            callers[1].sendall(b"question")
            env.defer(lambda: order.append("deferred"))

        bulk, other = TurnCounter(defer_and_wake_the_other), TurnCounter(lambda: order.append("other"))
        callers.extend(open_connections(env, [bulk, other], 2))
        callers[0].sendall(b"question")
        return lambda: len(order) == 3

    run_until(act)
    for caller in callers:
        caller.close()
    assert order == ["first turn", "other", "deferred"]


@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_a_usual_client_is_answered_between_the_turns_of_flooding_ones(
    exclusive_loop: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A whole router on sockets. Eight clients send thousands of commands at once that are answered at once."""
    config = StartConfig(
        "n0", "127.0.0.1:0", "127.0.0.1:9", 1, 256, None, parse_settings(SETTINGS), 30.0, 0.25, 0.25
    )
    machine = build_machine(config)
    handle = machine.handle
    answered_clients: list[int] = []  # the client of each answer to an empty query, in order

    def recording_handle(now: float, event: ev.Event) -> list[ev.Action]:
        actions = handle(now, event)
        for action in actions:
            if isinstance(action, ev.SendToClient):
                answers = action.data.count(frames.EMPTY_QUERY_RESPONSE + frames.READY_FOR_QUERY)
                answered_clients.extend([action.client] * answers)
        return actions

    monkeypatch.setattr(machine, "handle", recording_handle)
    flooding, usual = 8, 9  # number of clients, and the id of the last client
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        host = RouterHost(env, machine, "127.0.0.1:0", lambda event, fields: None)
        address, _, port = host.address.partition(":")
        callers.extend(
            socket.create_connection((address, int(port)), timeout=20) for _ in range(flooding + 1)
        )
        for caller in callers[:flooding]:
            write_all_that_fits(caller, frames.startup("backend", "store") + EMPTY_QUERY * 5_000)
        callers[-1].sendall(frames.startup("backend", "store") + EMPTY_QUERY)
        return lambda: usual in answered_clients

    run_until(act, exclusive_loop)
    for caller in callers:
        caller.close()
    answered_before = answered_clients.index(usual)
    # all may have been read once and have had a deferred turn in each of the few batches until then
    assert answered_before <= flooding * 4 * COMMANDS_PER_TURN


# ---- clients with PostgreSQL's protocol


def turned_away_reads(site: Site, count: int) -> bytes:
    """So many reads whose time is over when they arrive."""
    return b"".join(frames.query(site.read("any", timeout_ms=2).encode()) for _ in range(count))


def unknown_group_reads(site: Site, count: int) -> bytes:
    return b"".join(frames.query(site.read("any", cluster=7).encode()) for _ in range(count))


def empty_queries(site: Site, count: int) -> bytes:
    return EMPTY_QUERY * count


def count_answers(actions: list[ev.Action]) -> int:
    """The number of answers to clients."""
    return sum(
        action.data.count(frames.READY_FOR_QUERY) for action in actions if isinstance(action, ev.SendToClient)
    )


@pytest.mark.parametrize("commands", [turned_away_reads, unknown_group_reads, empty_queries])
def test_commands_that_are_answered_at_once_are_handled_in_turns(
    commands: Callable[[Site, int], bytes],
) -> None:
    """A client's commands were handled for as long as its input lasted, as only pending ones were counted."""
    site = Site()
    SiteClient(site)
    client, now = site.host.last_client_id, site.world.now()
    events: list[ev.Event] = [ev.ClientData(client, commands(site, PIPELINED_COMMANDS))]
    answered = []
    while events:
        actions = site.machine.handle(now, events.pop())
        answered.append(count_answers(actions))
        events += [
            ev.ClientTurn(action.client, action.sent_at_earliest)
            for action in actions
            if isinstance(action, ev.DeferClient)
        ]
    assert sum(answered) == PIPELINED_COMMANDS
    assert max(answered) <= COMMANDS_PER_TURN
    assert not site.front.clients[client].paused and client in site.front.idle_clients


def test_commands_that_await_their_turn_are_dated_from_their_arrival() -> None:
    """Otherwise a command whose time ran out while it waited would be sent to a member."""
    site = Site()
    caller = SiteClient(site)
    client, now = site.host.last_client_id, site.world.now()
    late_read = frames.query(site.read("any", timeout_ms=500).encode())
    actions = site.machine.handle(now, ev.ClientData(client, EMPTY_QUERY * COMMANDS_PER_TURN + late_read))
    (deferral,) = [action for action in actions if isinstance(action, ev.DeferClient)]
    actions = site.machine.handle(now + 1.0, ev.ClientTurn(client, deferral.sent_at_earliest))
    (answer,) = [action.data for action in actions if isinstance(action, ev.SendToClient)]
    assert b"C53300\0" in answer
    assert not any(member.statements for member in site.members.values())
    assert not caller.closed


def site_with_a_deferred_client(sockets: int = 256) -> tuple[Site, SiteClient, int]:
    """A site, and a client with buffered commands whose next turn never comes by itself; with the client's id."""
    site = Site(sockets=sockets)
    caller = SiteClient(site)
    client = site.host.last_client_id
    site.machine.handle(
        site.world.now(), ev.ClientData(client, EMPTY_QUERY * (COMMANDS_PER_TURN + 1))
    )  # its actions, with the deferral, are dropped
    return site, caller, client


def test_a_client_that_awaits_its_turn_is_not_closed_as_idle() -> None:
    """It would be closed with commands that were read and never answered."""
    site, _, client = site_with_a_deferred_client(sockets=64)
    site.run(2.5)
    for _ in range(2 * site.machine.limits.clients):  # some are closed to make room for the next ones
        SiteClient(site, start=False)
    assert client in site.front.clients


def test_a_client_that_awaits_its_turn_is_answered_when_the_router_leaves() -> None:
    site, _, client = site_with_a_deferred_client()
    now = site.world.now()
    site.machine.handle(now, ev.Stop())
    actions = site.machine.handle(now, ev.ClientTurn(client, now))
    assert count_answers(actions) == 1
    assert ev.CloseClient(client) in actions


def test_a_client_that_leaves_before_its_turn_is_forgotten() -> None:
    site, _, client = site_with_a_deferred_client()
    now = site.world.now()
    site.machine.handle(now, ev.ClientHalfClosed(client))
    assert site.machine.handle(now, ev.ClientTurn(client, now)) == []
    assert not site.front.clients


def test_a_slow_reader_begins_nothing_in_its_turn() -> None:
    site, _, client = site_with_a_deferred_client()
    now = site.world.now()
    site.machine.handle(now, ev.ClientBacklogged(client))
    assert count_answers(site.machine.handle(now, ev.ClientTurn(client, now))) == 0
    actions = site.machine.handle(now, ev.ClientDrained(client))
    assert count_answers(actions) == 1 and ev.ResumeClient(client) in actions


def test_a_long_pipeline_of_usual_requests_is_served_whole() -> None:
    site = Site(delay=0.002)
    caller = SiteClient(site)
    keys = [f"k{number}" for number in range(5 * COMMANDS_PER_TURN)]
    caller.send(b"".join(frames.query(site.read("any", key).encode()) for key in keys), 0.5)
    kinds = [kind for kind, _ in caller.received_messages()]
    assert kinds == ["T", "D", "C", "Z"] * len(keys)
    assert value(caller.query(site.write()))
    site.assert_no_leftovers()


# what a client may pipeline, and the types of the messages that answer it
KINDS_OF_COMMANDS: dict[str, tuple[Callable[[Site], bytes], list[str]]] = {
    "empty": (lambda site: EMPTY_QUERY, ["I", "Z"]),
    "no time left": (lambda site: turned_away_reads(site, 1), ["E", "Z"]),
    "unknown group": (lambda site: unknown_group_reads(site, 1), ["E", "Z"]),
    "read": (lambda site: frames.query(site.read("any").encode()), ["T", "D", "C", "Z"]),
    "write": (lambda site: frames.query(site.write().encode()), ["T", "D", "C", "Z"]),
}


@given(
    pipelines=st.lists(
        st.lists(st.sampled_from(sorted(KINDS_OF_COMMANDS)), min_size=1, max_size=70), min_size=1, max_size=4
    ),
    chunk=st.integers(50, 5_000),
)
@settings(max_examples=60)
def test_each_pipelined_command_gets_its_answer_in_order(pipelines: list[list[str]], chunk: int) -> None:
    """Several clients pipeline commands that are answered at once and others that members answer, cut anywhere."""
    site = Site(delay=0.001)
    callers = [SiteClient(site) for _ in pipelines]
    streams = [b"".join(KINDS_OF_COMMANDS[kind][0](site) for kind in pipeline) for pipeline in pipelines]
    for start in range(0, max(map(len, streams)), chunk):
        for caller, stream in zip(callers, streams, strict=True):
            caller.handle.send(stream[start : start + chunk])
        site.run(0.0005)
    site.run(1.0)
    for caller, pipeline in zip(callers, pipelines, strict=True):
        expected = [message for kind in pipeline for message in KINDS_OF_COMMANDS[kind][1]]
        assert [message for message, _ in caller.received_messages()] == expected
    site.assert_no_leftovers()


# ---- clients with Redis's protocol


def test_redis_commands_that_are_answered_at_once_are_handled_in_turns() -> None:
    """As on the platform, a client's commands were handled for as long as its input lasted."""
    rig = Rig()
    answered = []
    actions = rig.machine.handle(rig.now, ev.ClientData(1, command("PING") * PIPELINED_COMMANDS))
    while True:
        sent = b"".join(action.data for action in actions if isinstance(action, ev.SendToClient))
        answered.append(sent.count(b"+PONG\r\n"))
        deferrals = [action for action in actions if isinstance(action, ev.DeferClient)]
        if not deferrals:
            break
        (deferral,) = deferrals
        actions = rig.machine.handle(rig.now, ev.ClientTurn(1, deferral.sent_at_earliest))
    assert sum(answered) == PIPELINED_COMMANDS
    assert max(answered) <= COMMANDS_PER_TURN


def test_redis_commands_that_await_their_turn_are_answered_when_the_router_leaves() -> None:
    rig = Rig()
    rig.machine.handle(rig.now, ev.ClientData(1, command("PING") * (COMMANDS_PER_TURN + 3)))
    rig.handle(ev.Stop())
    assert rig.closed_clients == []
    rig.handle(ev.ClientTurn(1, rig.now))
    assert rig.answer() == b"+PONG\r\n" * 3 and rig.closed_clients == [1]
