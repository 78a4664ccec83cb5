"""A link carries the next request only if nothing of an earlier answer is left on it.

Found by review/1: clients were served with the value of another client's key, after a member had sent a second copy of
an answer that the router, busy meanwhile, had not read when it used the link again.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from banklift.emulator.platform import PgMember
from banklift.net.sockets import SocketEnv
from banklift.pg import frames
from banklift.pg.wire import LINK_REST_SECONDS
from banklift.proxy import events as ev
from banklift.proxy.machine import ODDITY_MEMORY_SECONDS
from tests.platform_site import SETTINGS, Site, SiteClient, value
from tests.surroundings import run_until
from tests.test_crossings import RecordingPeer
from tests.test_platform import probe


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


def leave_unread(site: Site, data: bytes) -> None:
    """Let bytes of the primary lie unread on the link that it has answered on last."""
    link = site.machine.members_by_balancer_name["p"].idle_links[0][-1]
    site.host.links[link.id].pause()
    (connection,) = [peer for peer in site.members["p"].connections if peer.statement_count]
    connection.send(data)
    site.run(0.01)


@pytest.mark.parametrize(
    "data", [b"Z", b"\0noise", frames.READY_FOR_QUERY, frames.error_response("XX000", "late")]
)
def test_whatever_lies_unread_on_a_link_the_request_goes_out_on_another_one(data: bytes) -> None:
    """The attempt was not sent, so it is neither counted as failed nor repeated."""
    site = Site()
    caller, primary = SiteClient(site), site.members["p"]
    assert value(caller.query(site.write("first", "aa"))) == b"\xaa"
    leave_unread(site, data)
    assert value(caller.query(site.write("second", "bb"))) == b"\xbb"
    assert len(primary.statements) == 2
    assert [fields for event, fields in site.notes if event == "link out of step"] == [{"member": "p"}]
    site.assert_no_leftovers()


def test_a_probe_is_not_answered_by_what_lies_unread() -> None:
    """A copy of an answer would be taken for the load report of the member."""
    site = Site()
    caller, primary = SiteClient(site), site.members["p"]
    assert value(caller.query(site.write("first", "aa"))) == b"\xaa"
    leave_unread(site, PgMember.default_answer(primary, primary.statements[-1]))
    probes = primary.probes
    probe(site, "p")
    site.run(0.1)
    assert primary.probes == probes and not site.machine.members["p"].pending_probes
    assert value(caller.query(site.write("second", "bb"), 0.3)) == b"\xbb"


def test_a_request_whose_client_left_meanwhile_is_not_sent_on_another_link() -> None:
    site = Site(settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "may_cancel": False}})
    caller, primary = SiteClient(site), site.members["p"]
    assert value(caller.query(site.write("first", "aa"))) == b"\xaa"
    leave_unread(site, b"\0noise")
    (client,) = site.front.clients
    site.machine.handle(site.world.now(), ev.ClientData(client, frames.query(site.write("k").encode())))
    (link,) = [link for link in site.machine.links.values() if link.attempt is not None]
    site.machine.handle(site.world.now(), ev.ClientLost(client))
    site.host.handle_event(ev.LinkUnclean(link.id))
    site.run(0.5)
    assert len(primary.statements) == 1 and not site.machine.in_flight


# ---- members that have written unasked

SHORT_PAUSE_SECONDS = (
    2.5 * LINK_REST_SECONDS
)  # a link has rested after it, but not that of a member that was odd


def used_link(site: Site) -> int:
    """The link on which the primary has answered last."""
    return site.machine.members_by_balancer_name["p"].idle_links[0][-1].id


def write_on_noise(site: Site) -> None:
    """The primary answers a write, and later writes noise on the same link."""
    assert value(SiteClient(site).query(site.write("first", "aa"))) == b"\xaa"
    (connection,) = [peer for peer in site.members["p"].connections if peer.statement_count]
    connection.send(b"\0noise")
    site.run(0.01)


def test_a_late_copy_of_a_member_that_was_odd_meets_a_link_that_still_rests() -> None:
    """The copy comes just after the next request: on the same link it would start its answer, and the link would stay
    one answer behind."""
    site = Site()
    caller, primary = SiteClient(site), site.members["p"]
    write_on_noise(site)
    assert value(caller.query(site.write("second", "bb"), SHORT_PAUSE_SECONDS)) == b"\xbb"
    before = used_link(site)
    (connection,) = [peer for peer in primary.connections if peer.statement_count]
    copy = PgMember.default_answer(primary, primary.statements[-1])
    primary.answer_delay_seconds = 0.01
    caller.handle.send(frames.query(site.write("third", "cc").encode()))
    site.run_later(0.0012, lambda: connection.send(copy))
    site.run(0.1)
    assert value(caller.received_messages()) == b"\xcc"
    assert before not in site.machine.links  # the copy has ended it
    site.assert_no_leftovers()


def test_links_of_other_members_and_later_ones_rest_as_usual() -> None:
    site = Site()
    caller = SiteClient(site)
    write_on_noise(site)
    for name in ("r1", "r2"):
        assert site.machine.members[name].odd_until < site.world.now()
    site.run(ODDITY_MEMORY_SECONDS)
    caller = SiteClient(site)
    assert value(caller.query(site.write("second", "bb"), SHORT_PAUSE_SECONDS)) == b"\xbb"
    before = used_link(site)
    assert value(caller.query(site.write("third", "cc"), SHORT_PAUSE_SECONDS)) == b"\xcc"
    assert used_link(site) == before


# ---- on sockets


@pytest.mark.parametrize("unread", [b"", b"x"])
@pytest.mark.parametrize("exclusive_loop", [True, False])
def test_nothing_is_written_on_a_socket_with_unread_input(unread: bytes, exclusive_loop: bool) -> None:
    """The input arrives after the request was handed over, and before it is written at the end of the batch."""
    told: list[str] = []

    class LinkPeer(RecordingPeer):
        def input_unread(self) -> None:
            told.append("unread")

    member, link = RecordingPeer(), LinkPeer()

    def act(env: SocketEnv) -> Callable[[], bool]:
        listener = env.listen("127.0.0.1:0", lambda: member)
        handle = env.connect(listener.address, link)

        def is_done() -> bool:
            if link.notes == ["up"] and member.notes == ["up"]:
                link.notes.append("written")
                handle.pause()
                if unread:
                    member.handle.send(unread)
                    member.handle.flush()  # type: ignore[attr-defined]
                handle.send_if_quiet(b"request")
            return bool(told) or "data 7" in member.notes

        return is_done

    run_until(act, exclusive_loop)
    assert told == (["unread"] if unread else [])
    assert ("data 7" in member.notes) is not bool(unread)
