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


@pytest.mark.parametrize("stall", [0.0, STALL_SECONDS])
def test_a_client_that_leaves_during_a_stall_takes_its_request_with_it(stall: float) -> None:
    """The end of its connection is known when the router goes on, though the request arrived first."""
    site = Site()
    caller = SiteClient(site)
    if stall:
        site.host.stall(stall)
    caller.send(frames.query(site.write().encode()), 0.01)
    caller.handle.close()
    site.run(stall + 1.0)
    assert len(site.members["p"].statements) == (0 if stall else 1)
    assert not site.front.clients
    site.assert_no_leftovers()
