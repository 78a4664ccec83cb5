"""A router that was held up: what arrived meanwhile is dated before the stall, and never kept back and handled at once.

Found by review/2: input that arrived within 10 ms after a busy time was read without a limit and then handled in one
piece, from timers. That took longer than the threshold of a stall, so the router never got out of it.
"""

from __future__ import annotations

import pytest

from banklift.net.router import STALL_THRESHOLD_SECONDS
from banklift.pg import frames
from banklift.proxy import events as ev
from tests.platform_site import Site, SiteClient

STALL_SECONDS = 2 * STALL_THRESHOLD_SECONDS


def record_client_data(site: Site, monkeypatch: pytest.MonkeyPatch) -> list[ev.ClientData]:
    """The list to which the input of clients is added as it reaches the router's machine."""
    recorded: list[ev.ClientData] = []
    handle = site.machine.handle

    def recording_handle(now: float, event: ev.Event) -> list[ev.Action]:
        if isinstance(event, ev.ClientData):
            recorded.append(event)
        return handle(now, event)

    monkeypatch.setattr(site.machine, "handle", recording_handle)
    return recorded


def test_input_after_a_stall_is_handled_as_it_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    """Kept back, it would be read without a limit, and be one long piece of work outside of all turns."""
    site = Site()
    caller = SiteClient(site)
    recorded = record_client_data(site, monkeypatch)
    before = site.world.now()
    site.world.hold_up(STALL_SECONDS)
    queries = [frames.query(site.read("any", f"k{number}").encode()) for number in range(3)]
    for number, query in enumerate(queries, 1):
        caller.send(query, 0.001)
        assert [event.data for event in recorded] == queries[:number]
    # the first checks after the stall date all of it back
    assert all(event.sent_at_earliest is not None and event.sent_at_earliest <= before for event in recorded)
    site.run(0.5)
    assert [kind for kind, _ in caller.received_messages()].count("Z") == len(queries)


@pytest.mark.parametrize("left_before_the_stall", [True, False])
def test_only_input_of_clients_that_left_since_a_stall_began_is_dropped(
    left_before_the_stall: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A Redis client may close its side and wait for its replies: a later stall must not end its connection."""
    site = Site()
    SiteClient(site)
    client = site.host.last_client_id
    peer = site.host.clients[client].peer  # type: ignore[attr-defined]
    events: list[ev.Event] = []

    handle = site.machine.handle

    def record_event(now: float, event: ev.Event) -> list[ev.Action]:
        if not isinstance(event, ev.ClientData | ev.ClientHalfClosed | ev.ClientLost):
            return handle(now, event)
        events.append(event)  # not passed on, as this front would close the connection
        return []

    monkeypatch.setattr(site.machine, "handle", record_event)
    if left_before_the_stall:
        peer.half_closed()
        site.run(0.5)
    site.world.hold_up(STALL_SECONDS)
    if not left_before_the_stall:
        peer.half_closed()
    events.clear()
    peer.data(b"sent before the close")
    (event,) = events
    if left_before_the_stall:
        assert isinstance(event, ev.ClientData) and event.data == b"sent before the close"
    else:
        assert event == ev.ClientLost(client)


@pytest.mark.parametrize("stall", [0.0, STALL_SECONDS])
def test_a_client_that_leaves_during_a_stall_takes_its_request_with_it(stall: float) -> None:
    """A check of the whole path: the request arrived first, but is dated before the stall, and its client has left.

    Either reason alone keeps it from being sent here; the test above guards the second one by itself.
    """
    site = Site()
    caller = SiteClient(site)
    if stall:
        site.host.stall(stall)
    caller.send(frames.query(site.read("any").encode()), 0.01)
    caller.handle.close()
    site.run(stall + 1.0)
    assert sum(len(member.statements) for member in site.members.values()) == (0 if stall else 1)
    assert not site.front.clients
    site.assert_no_leftovers()
