"""A link carries the next request only if nothing of an earlier answer is left on it.

Found by review/1: clients were served with the value of another client's key, after a member had sent a second copy of
an answer that the router, busy meanwhile, had not read when it used the link again.
"""

from __future__ import annotations

import pytest

from banklift.emulator.platform import PgMember
from banklift.pg import frames
from banklift.pg.wire import LINK_REST_SECONDS
from tests.platform_site import Site, SiteClient, value


@pytest.mark.parametrize("busy_seconds", [LINK_REST_SECONDS, 0.02, 0.15])
def test_an_unread_copy_of_an_answer_is_not_the_answer_to_the_next_request(busy_seconds: float) -> None:
    """The router is busy when the copy arrives, and handles the next request before it reads the link again. The client
    of that request would be told that the earlier value was written, before its own write has run. After 0.15 s the
    request makes the router probe first, and the probe takes the link."""
    site = Site()
    caller, primary = SiteClient(site), site.members["p"]
    assert value(caller.query(site.write("first", "aa"))) == b"\xaa"
    link = site.machine.members_by_balancer_name["p"].idle_links[0][-1]
    handle = site.host.links[link.id]
    handle.pause()  # what arrives now lies unread in the socket
    (connection,) = [peer for peer in primary.connections if peer.statement_count]
    connection.send(PgMember.default_answer(primary, primary.statements[-1]))
    site.run(busy_seconds)
    caller.send(frames.query(site.write("second", "bb").encode()))
    handle.resume()
    site.run(0.5)
    assert value(caller.received_messages()) == b"\xbb"
