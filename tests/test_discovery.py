"""The discovery client, event by event: calls, failures, retries and invalid lists."""

from __future__ import annotations

from random import Random

import pytest

from banklift.discovery.catalogue import CatalogueError, from_json, parse
from banklift.discovery.client import (
    CALL_TIMEOUT_SECONDS,
    LONG_POLL_SECONDS,
    Backoff,
    CallResult,
    CatalogueClient,
    Close,
    Connect,
    Send,
)
from banklift.interface import ListKind, State
from banklift.proxy.events import Roster

GOOD = (
    b'{"rev":43,"all":true,"targets":[{"uid":"s1","endpoint":"10.1.0.18:6432","az":"a","model":"m2","pod_group":3,'
    b'"state":"DRAINING","capacity_hint":1.0,"boot_ms":1500,"access":"writer"}]}'
)


def answer(body: bytes, status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(body), more, body)


def watching_client(version: int | None = 41) -> CatalogueClient:
    client = CatalogueClient("10.2.0.1:8500", version=version)
    client.request_list(100.0, True)
    assert client.actions == [Connect("10.2.0.1:8500")]
    client.actions.clear()
    client.connected(100.0)
    return client


def sent_bytes(client: CatalogueClient) -> bytes:
    (action,) = [action for action in client.actions if isinstance(action, Send)]
    client.actions.clear()
    return action.data


def reported(client: CatalogueClient) -> CallResult:
    (action,) = [action for action in client.actions if isinstance(action, CallResult)]
    return action


def reported_roster(client: CatalogueClient) -> Roster:
    roster = reported(client).roster
    assert roster is not None
    return roster


def failure_reason(client: CatalogueClient) -> str:
    """The reason of the one failure that is reported to the machine."""
    tell = reported(client)
    assert tell.roster is not None and tell.roster.kind is ListKind.FAILED
    return tell.reason


def test_a_watch_calls_again_at_once_on_the_same_connection() -> None:
    client = watching_client()
    assert sent_bytes(client).startswith(b"GET /catalog/members?after=41&wait_ms=4000 HTTP/1.1\r\n")
    data = answer(GOOD)
    for index in range(len(data)):
        client.data(100.5, data[index : index + 1])
    roster = reported_roster(client)
    assert roster.kind is ListKind.FULL
    (member,) = roster.members
    assert (member.name, member.group, member.address, member.state, member.primary, member.started) == (
        "s1",
        3,
        "10.1.0.18:6432",
        State.DRAINING,
        True,
        1.5,
    )
    assert not any(isinstance(action, Connect | Close) for action in client.actions)
    assert b"after=43" in sent_bytes(client)
    client.data(101.0, answer(GOOD.replace(b'"all":true', b'"all":false')))
    assert reported_roster(client).kind is ListKind.CHANGES


def test_without_a_version_and_for_a_fetch_the_whole_list_is_requested() -> None:
    assert sent_bytes(watching_client(None)).startswith(b"GET /catalog/members HTTP/1.1\r\n")
    client = CatalogueClient("10.2.0.1:8500", version=41)
    client.request_list(100.0, False)
    client.connected(100.0)
    assert sent_bytes(client).startswith(b"GET /catalog/members HTTP/1.1\r\n")
    client.data(100.0, answer(GOOD))
    assert reported_roster(client).members and not any(isinstance(action, Send) for action in client.actions)


@pytest.mark.parametrize(
    "data",
    [
        answer(b"", b"503 Service Unavailable"),
        answer(GOOD[:-1]),
        answer(b"[]"),
        answer(b'{"rev":43}'),
        b"noise\r\n\r\n",
        answer(GOOD.replace(b"DRAINING", b"RESTING")),
        answer(GOOD.replace(b'"pod_group":3', b'"pod_group":"x"')),
        answer(GOOD.replace(b"10.1.0.18:6432", b"somewhere")),
        answer(GOOD.replace(b'"rev":43', b'"rev":-1')),
        answer(b"\xff\xfe" * 20),
        b"",
    ],
)
def test_an_invalid_answer_fails_the_call_once(data: bytes) -> None:
    client = watching_client()
    client.actions.clear()
    client.data(100.1, data)
    client.data(100.1, b"")
    client.lost(100.1, "reset")
    assert failure_reason(client)
    assert [type(action) for action in client.actions] == [Close, CallResult]
    client.actions.clear()
    client.request_list(101.0, True)  # the client makes no retry itself
    assert client.actions == [Connect("10.2.0.1:8500")]


@pytest.mark.parametrize("cut", [0, 20, len(GOOD) - 1, len(GOOD)])
def test_a_body_without_length_ends_with_its_connection_but_not_by_a_reset(cut: int) -> None:
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
    client = watching_client()
    client.actions.clear()
    client.data(100.1, head + GOOD[:cut])
    assert not any(isinstance(action, CallResult) for action in client.actions)
    client.lost(100.2, "reset")
    assert "reset" in failure_reason(client)
    whole = watching_client()
    whole.data(100.1, head + GOOD[:cut])
    whole.actions.clear()
    whole.data(100.2, b"")  # end of the stream
    if cut == len(GOOD):
        assert reported_roster(whole).kind is ListKind.FULL
    else:
        assert "the list of members" in failure_reason(whole)


def test_a_watch_that_is_reset_before_its_first_byte_fails_once() -> None:
    client = watching_client()
    client.actions.clear()
    client.lost(100.0, "reset")
    client.lost(100.0, "reset")
    assert "reset" in failure_reason(client) and [type(action) for action in client.actions] == [
        Close,
        CallResult,
    ]


def test_a_silent_watch_is_reopened_at_once_each_time() -> None:
    """A pause before the next call would prolong the time in which changes are missed that count as reported."""
    client = watching_client()
    client.actions.clear()
    now = 100.0
    for _ in range(4):
        client.tick(now + LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS - 0.01)
        assert client.actions == []
        now += LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS
        client.tick(now)
        assert client.actions[0] == Close() and client.actions[2:] == [Connect("10.2.0.1:8500")]
        assert reported(client).roster is None and "silent" in reported(client).reason
        client.actions.clear()
        now += 0.1
        client.connected(now)
        assert b"after=41&wait_ms=4000" in sent_bytes(client)


def test_a_silent_watch_whose_new_connection_does_not_come_up_fails_in_time() -> None:
    client = watching_client()
    client.actions.clear()
    silent = 100.0 + LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS
    client.tick(silent)
    client.actions.clear()
    client.tick(silent + CALL_TIMEOUT_SECONDS - 0.01)
    assert client.actions == []
    client.tick(silent + CALL_TIMEOUT_SECONDS)
    assert "no connection" in failure_reason(client)


def test_a_watch_that_answered_after_a_silence_is_reopened_at_the_next_silence() -> None:
    client = watching_client()
    client.tick(100.0 + LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS)
    client.connected(105.6)
    client.actions.clear()
    client.data(105.7, answer(GOOD))
    client.actions.clear()
    client.tick(105.7 + LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS)
    assert reported(client).roster is None and client.actions[-1] == Connect("10.2.0.1:8500")


def test_a_fetch_without_an_answer_times_out() -> None:
    client = CatalogueClient("10.2.0.1:8500", version=41)
    client.request_list(100.0, False)
    client.connected(100.0)
    client.actions.clear()
    client.tick(100.0 + CALL_TIMEOUT_SECONDS)
    assert "in time" in failure_reason(client)


def test_an_answer_that_arrives_too_slowly_times_out() -> None:
    client = watching_client()
    client.actions.clear()
    data = answer(GOOD)
    client.data(101.0, data[:40])
    client.data(105.0, data[40:50])
    client.tick(100.0 + LONG_POLL_SECONDS + CALL_TIMEOUT_SECONDS)
    assert reported(client).roster is None and client.actions[-1] == Connect("10.2.0.1:8500")


def test_a_connection_that_does_not_come_up_fails_before_a_watch_would() -> None:
    client = CatalogueClient("10.2.0.1:8500", version=41)
    client.request_list(100.0, True)
    client.tick(100.0 + CALL_TIMEOUT_SECONDS - 0.01)
    client.actions.clear()
    client.tick(100.0 + CALL_TIMEOUT_SECONDS)
    assert "no connection" in failure_reason(client)


def test_changes_of_a_restarted_catalogue_are_dropped_and_its_whole_list_is_fetched() -> None:
    client = watching_client(41)
    client.actions.clear()
    changes = GOOD.replace(b'"all":true', b'"all":false').replace(b'"rev":43', b'"rev":7')
    client.data(100.2, answer(changes))
    assert not any(isinstance(action, CallResult) for action in client.actions)
    assert sent_bytes(client).startswith(b"GET /catalog/members HTTP/1.1\r\n")
    client.data(100.3, answer(GOOD.replace(b'"rev":43', b'"rev":7')))
    tell = reported(client)
    assert tell.roster is not None and tell.roster.kind is ListKind.FULL
    assert b"after=7&" in sent_bytes(client)


def test_changes_are_no_answer_where_the_whole_list_was_asked_for() -> None:
    client = watching_client(None)
    client.actions.clear()
    client.data(100.2, answer(GOOD.replace(b'"all":true', b'"all":false')))
    assert "whole list" in failure_reason(client)


def test_with_backoff_a_failed_watch_is_reopened_after_waits_that_double_up_to_a_bound() -> None:
    client = CatalogueClient("10.2.0.1:8500", version=41, backoff=Backoff(0.1, 0.5, Random(1)))
    client.request_list(100.0, True)
    now, waits = 100.0, []
    for _ in range(6):
        client.lost(now, "refused")
        assert reported(client).roster is None
        client.actions.clear()
        waits.append(client.due - now)
        now = client.due
        client.tick(now)
        assert client.actions == [Connect("10.2.0.1:8500")]
    for wait, most in zip(waits, (0.1, 0.2, 0.4, 0.5, 0.5, 0.5), strict=True):
        assert most / 2 <= wait <= most
    client.actions.clear()
    client.connected(now)
    assert b"after=41&wait_ms=4000" in sent_bytes(client)
    client.data(now, answer(GOOD))
    client.lost(now, "reset")
    assert client.due - now <= 0.1  # the back-off starts over after an answer


def test_a_connection_that_closes_after_its_answer_is_reopened() -> None:
    client = watching_client()
    client.actions.clear()
    client.data(100.1, answer(GOOD, more=b"Connection: close\r\n"))
    assert [type(action) for action in client.actions] == [Close, Connect, CallResult]


def test_a_catalogue_that_moves_is_asked_at_its_new_address_at_once() -> None:
    client = watching_client()
    client.actions.clear()
    client.use_address(100.2, "10.2.0.2:8500")
    assert client.actions == [Close(), Connect("10.2.0.2:8500")]
    client.connected(100.3)
    assert b"after=41" in sent_bytes(client)
    client.use_address(100.4, "10.2.0.2:8500")  # the same address again: the call there may hang
    assert client.actions == [Close(), Connect("10.2.0.2:8500")]


def test_a_list_with_a_repeated_member_is_rejected_with_the_name() -> None:
    entry = {"uid": "s1", "endpoint": "10.1.0.18:6432", "pod_group": 0, "state": "SERVING"}
    with pytest.raises(CatalogueError, match="s1 is listed twice"):
        from_json({"rev": 1, "all": True, "targets": [entry, entry]})
    with pytest.raises(CatalogueError, match="rev"):
        parse(b'{"all": true, "targets": []}')


def test_a_catalogue_that_moves_is_asked_after_a_failure_at_the_old_address() -> None:
    """The machine may still be waiting before its retry, which concerns only the old address."""
    client = watching_client()
    client.data(100.1, answer(b"", b"503 Service Unavailable"))
    client.actions.clear()
    client.use_address(100.2, "10.2.0.2:8500")
    assert client.actions == [Connect("10.2.0.2:8500")]


def test_the_whole_list_is_fetched_after_the_pending_call() -> None:
    client = watching_client()
    client.request_list(100.1, False)
    client.actions.clear()
    client.data(100.2, answer(GOOD))
    assert sent_bytes(client).startswith(b"GET /catalog/members HTTP/1.1\r\n")
    client.data(100.3, answer(GOOD))
    assert b"after=43" in sent_bytes(client)
