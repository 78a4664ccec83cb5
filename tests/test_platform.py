"""The router with the PostgreSQL protocol: faults of clients, members and discovery, and its shutdown."""

from __future__ import annotations

import random
import re
from collections.abc import Callable

import pytest

from banklift.emulator.platform import PgMember, single_value_answer
from banklift.interface import State
from banklift.pg import frames
from banklift.pg.statement import BadStatement, parse
from banklift.pg.wire import parse_usage
from banklift.proxy import events as ev
from tests.platform_site import SETTINGS, Site, SiteClient, code, value

# ---- clients


def test_a_write_goes_to_the_primary_and_reads_see_it() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "9f03"))) == b"\x9f\x03"
    assert len(site.members["p"].statements) == 1
    after = int(site.world.now() * 1000)
    assert value(caller.query(site.read("own", "k", after=after), 0.2)) == b"\x9f\x03"
    assert value(caller.query(site.read("any", "k"))) == b"\x9f\x03"
    site.assert_no_leftovers()


def test_a_statement_is_forwarded_unchanged_except_for_its_remaining_time() -> None:
    site = Site()
    text = site.write("k", "9f03", timeout_ms=1500)
    SiteClient(site).query(text)
    (seen,) = site.members["p"].statements
    before, behind = text.encode().split(b"d=1500")
    assert seen.startswith(before + b"d=1") and seen.endswith(behind)
    left = int(seen[len(before) + 2 :].split(b",")[0])
    assert 1400 < left <= 1495


def test_messages_may_arrive_byte_by_byte() -> None:
    site = Site()
    caller = SiteClient(site, start=False)
    for byte in frames.startup("backend", "store") + frames.query(site.write().encode()):
        caller.send(bytes([byte]), 0.0005)
    site.run(0.05)
    assert [kind for kind, _ in caller.received_messages()][-4:] == ["T", "D", "C", "Z"]


def test_encryption_is_refused_and_a_query_may_follow_the_startup_at_once() -> None:
    site = Site()
    caller = SiteClient(site, start=False)
    caller.send(b"\0\0\0\x08\x04\xd2\x16\x2f")  # SSLRequest
    assert caller.received == b"N"
    caller.received = b""
    caller.send(frames.startup("backend", "store") + frames.query(site.write().encode()))
    assert [kind for kind, _ in caller.received_messages()][-4:] == ["T", "D", "C", "Z"]


def test_an_empty_query_a_cancel_request_and_terminate() -> None:
    site = Site()
    caller = SiteClient(site)
    assert [kind for kind, _ in caller.query("")] == ["I", "Z"]
    caller.send(frames.message(b"X", b""))
    assert caller.closed
    other = SiteClient(site, start=False)
    other.send(b"\0\0\0\x10\x04\xd2\x16\x2e" + b"\0" * 8)
    assert other.closed and not site.front.clients


def test_answers_go_out_in_the_order_of_the_commands() -> None:
    site = Site(delay=0.02)
    caller = SiteClient(site)
    # the primary never answers the first write
    site.members["p"].next_answers.append(lambda member, statement: None)
    first, second = site.write("a", "01"), site.read("any", "b")
    caller.send(frames.query(first.encode()) + frames.query(second.encode()) + frames.query(b""), 0.3)
    assert caller.received_messages() == []  # the read is answered, but waits for the write in front of it
    site.run(2.0)
    told = caller.received_messages()
    assert [kind for kind, _ in told] == ["E", "Z", "T", "D", "C", "Z", "I", "Z"]
    assert code(told) == "40003"


def test_at_most_16_pipelined_commands_are_pending_at_once() -> None:
    site = Site(delay=0.02)
    caller = SiteClient(site)
    caller.send(
        b"".join(frames.query(site.read("any", f"k{number}").encode()) for number in range(300)), 0.01
    )
    assert 0 < len(site.machine.pending) <= 16
    site.run(3.0)
    assert len([kind for kind, _ in caller.received_messages() if kind == "Z"]) == 300
    site.assert_no_leftovers()


BAD_STATEMENTS: list[tuple[str, Callable[[Site], str]]] = [
    ("22023", lambda site: site.read("nonsense")),
    ("22023", lambda site: site.read(t="nobody")),
    ("22023", lambda site: site.read("save")),
    ("22023", lambda site: site.write(class_name="view")),
    ("22023", lambda site: site.read(timeout_ms=10**9)),
    ("22023", lambda site: site.read().replace("d=2000", "d=-5")),
    ("22023", lambda site: site.read().replace("d=2000", "d=soon")),
    ("22023", lambda site: site.read().replace("d=2000", "d=1e3")),
    ("22023", lambda site: site.read(after=10**14)),
    ("22023", lambda site: site.read().replace("id=", "ix=")),
    ("42601", lambda site: site.read(id="a,id=b")),
    ("42601", lambda site: site.read(id="")),
    ("42601", lambda site: "SELECT 1"),
    ("42601", lambda site: "DROP TABLE kv"),
    ("42601", lambda site: site.read() + "; " + site.read()),
    ("42601", lambda site: site.read(key="it''s")),
    ("42601", lambda site: site.write(value="9f0")),
    ("42601", lambda site: site.write(value="zz")),
    ("22001", lambda site: site.write(value="00" * (64 * 1024 + 1))),
]


@pytest.mark.parametrize(("expected", "text"), BAD_STATEMENTS)
def test_a_bad_statement_gets_an_error_and_reaches_no_member(
    expected: str, text: Callable[[Site], str]
) -> None:
    site = Site()
    caller, other = SiteClient(site), SiteClient(site)
    assert code(caller.query(text(site))) == expected
    assert not any(member.statements for member in site.members.values())
    assert value(caller.query(site.write()))  # this connection and the others are still usable
    assert value(other.query(site.write()))
    site.assert_no_leftovers()


def test_a_client_is_closed_at_its_third_bad_statement() -> None:
    site = Site()
    caller = SiteClient(site)
    for _ in range(2):
        assert code(caller.query("SELECT 1")) == "42601" and not caller.closed
    caller.query("SELECT 1")
    assert caller.closed


def test_the_id_of_a_pending_request_is_refused_to_another_client() -> None:
    site = Site(delay=0.1)
    first, second = SiteClient(site), SiteClient(site)
    first.send(frames.query(site.write("a", "01", id="feed").encode()))
    assert code(second.query(site.write("b", "02", id="feed"))) == "42710"
    site.run(0.2)
    assert value(first.received_messages()) == b"\x01"
    # the first request has ended
    assert value(second.query(site.write("b", "02", id="feed"), 0.2)) == b"\x02"
    assert len(site.members["p"].statements) == 2


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\0",
        b"\0\0\0\x07\0\0\0",
        b"\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        frames.startup("backend", "store") + b"Q\0\0\0\x03",
        frames.startup("backend", "store") + b"Q\xff\xff\xff\xff",
        frames.startup("backend", "store") + b"Q\x03\x93\x87\0" + b"x" * 100,  # the length says 60 MB
        frames.startup("backend", "store") + b"\x80\0\0\0\x05x",
        frames.startup("backend", "store") + b"QQQQQQQQQQQQQQQQQQ",
        frames.startup("backend", "store") + frames.message(b"P", b"\0SELECT 1\0\0\0"),
        frames.startup("backend", "store") + frames.message(b"Q", b"SELECT 1"),
        frames.startup("backend", "store") + frames.message(b"Q", b"SELECT\x001\0"),
        b"\0\0\0\x08\0\x02\0\0",
    ],
    ids=range(13),
)
def test_a_framing_fault_gets_a_fatal_error_and_a_close(data: bytes) -> None:
    site = Site()
    caller = SiteClient(site, start=False)
    caller.send(data)
    assert caller.closed and caller.received.count(b"VFATAL\0") == 1
    assert not site.front.clients and not any(member.statements for member in site.members.values())


START = frames.startup("backend", "store")


@pytest.mark.parametrize("data", [b"", b"\0\0", START[:9], START, START + b"Q\0\0\x01"])
def test_a_silent_client_or_half_a_message_is_closed_within_three_seconds(data: bytes) -> None:
    site = Site()
    caller = SiteClient(site, start=False)
    caller.send(data)
    site.run(1.5)
    assert not caller.closed
    site.run(1.0)
    assert caller.closed and not site.front.clients


def test_half_a_message_behind_a_whole_one_is_closed_too() -> None:
    site = Site()
    caller = SiteClient(site)
    caller.send(frames.query(site.write().encode()) + b"Q\0\0\x01")
    assert value(caller.received_messages())
    site.run(2.5)
    assert caller.closed


def test_hundreds_of_silent_connections_do_not_keep_a_client_out() -> None:
    site = Site(sockets=128)
    silent = [SiteClient(site, start=False) for _ in range(200)]
    site.run(0.01)
    assert len(site.front.clients) == site.machine.limits.clients < 64
    usual = SiteClient(site)
    assert value(usual.query(site.write()))
    assert sum(caller.closed for caller in silent) > 140


def test_a_client_above_the_limit_is_refused_while_no_other_is_idle() -> None:
    site = Site(sockets=64, delay=0.5)
    callers = [SiteClient(site) for _ in range(site.machine.limits.clients)]
    for caller in callers:
        caller.send(frames.query(site.read("any").encode()), 0.001)
    late = SiteClient(site, start=False)
    late.send(frames.startup("backend", "store"))
    assert late.closed and code(late.received_messages()) == "53300"
    assert len(site.front.clients) == len(callers)


def test_a_write_in_flight_runs_once_though_its_client_disconnects() -> None:
    site = Site(delay=0.2)
    caller = SiteClient(site)
    caller.send(frames.query(site.write("k", "01").encode()))
    assert site.members["p"].in_flight == 1
    caller.handle.close()
    site.run(0.05)
    assert not site.machine.pending and not site.front.clients
    site.run(0.5)
    assert len(site.members["p"].statements) == 1  # the write ran once
    site.assert_no_leftovers()


def test_idle_clients_are_closed_after_the_idle_timeout() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write()))
    site.run(1.7)
    assert value(caller.query(site.write()))
    site.run(1.7)
    assert not caller.closed
    site.run(0.8)
    assert caller.closed


def test_idle_clients_are_closed_sooner_while_many_connections_are_in_use() -> None:
    """With the usual timeout of two seconds, clients that query once and stay connected would keep new clients out."""
    site = Site(sockets=64)
    callers = [SiteClient(site) for _ in range(site.machine.limits.clients * 3 // 4)]
    for caller in callers:
        caller.send(frames.query(site.write().encode()))
        assert value(caller.received_messages())
    site.run(1.0)
    assert sum(caller.closed for caller in callers) >= len(callers) // 3
    assert len(site.front.clients) < 0.5 * site.machine.limits.clients


# ---- refusals


def test_a_refusal_carries_the_time_to_retry() -> None:
    site = Site()
    for member in site.members.values():
        member.stop()
    (told,) = [body for kind, body in SiteClient(site).query(site.write(), 1.5) if kind == "E"]
    fields = frames.error_fields(told)
    assert (fields["C"], fields["D"]) == ("53300", "1000")


def test_a_write_that_no_member_got_is_refused_before_half_of_its_deadline() -> None:
    site = Site()
    for member in site.members.values():
        member.stop()
    caller = SiteClient(site)
    caller.send(frames.query(site.write().encode()), 0.5)
    assert caller.received_messages() == []
    site.run(0.45)
    assert code(caller.received_messages()) == "53300"
    site.assert_no_leftovers()


# ---- members

MALFORMED: list[tuple[str, bytes]] = [
    ("noise", random.Random(3).randbytes(400)),
    ("noise behind a row", single_value_answer(b"01")[:-12] + random.Random(4).randbytes(100)),
    ("no end", b"x" * 200_000),
    ("half an answer", single_value_answer(b"1")[:-20]),
    ("three gigabytes", single_value_answer(b"1")[:40] + b"D\xc0\0\0\0" + b"y" * 90_000),
    ("a negative length", b"T\xff\xff\xff\xff" + b"z" * 50),
    ("a length too small", b"T\0\0\0\x03zz"),
    (
        "a column too many",
        frames.message(b"T", b"\0\x02" + b"a\0" + b"\0" * 18 + b"b\0" + b"\0" * 18)
        + frames.message(b"D", b"\0\x02\0\0\0\x01x\0\0\0\x01y")
        + frames.message(b"C", b"SELECT 1\0")
        + frames.READY_FOR_QUERY,
    ),
    ("a row too many", single_value_answer(b"1")[:-14] + single_value_answer(b"2") + frames.READY_FOR_QUERY),
    ("no row", frames.message(b"C", b"SELECT 0\0") + frames.READY_FOR_QUERY),
    (
        "a value that is shorter than its row",
        single_value_answer(b"12345678").replace(b"\0\0\0\x0812345678", b"\0\0\0\x0412345678")
        + frames.READY_FOR_QUERY,
    ),
    (
        "a value of a negative length",
        single_value_answer(b"").replace(b"D\0\0\0\x0a\0\x01\0\0\0\0", b"D\0\0\0\x0a\0\x01\xff\xff\xff\xff")
        + frames.READY_FOR_QUERY,
    ),
    ("an error without an end", frames.message(b"E", b"C53300") + frames.READY_FOR_QUERY),
    (
        "an error behind a row",
        single_value_answer(b"1")[:-14] + frames.error_response("53300", "full") + frames.READY_FOR_QUERY,
    ),
    ("an authentication", frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY),
]


@pytest.mark.parametrize("answer", [answer for _, answer in MALFORMED], ids=[name for name, _ in MALFORMED])
def test_a_malformed_answer_has_an_unknown_outcome_and_closes_its_link(answer: bytes) -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    site.run(0.01)
    links = {peer for peer in site.members["p"].connections if peer.statement_count}
    site.members["p"].next_answers.append(lambda member, statement: answer)
    told = caller.query(site.write("k", "02"), 0.2)  # half an answer is given up before the deadline
    assert code(told) == "40003"
    assert len(site.members["p"].statements) == 2  # an unsafe write is not retried
    assert links and not links & site.members["p"].connections
    site.assert_no_leftovers()


def test_a_read_with_a_malformed_answer_is_retried_on_another_member() -> None:
    site = Site()
    caller = SiteClient(site)
    malformed = [b"\0noise"]
    for member in site.members.values():
        member.next_answers.append(
            lambda member, statement: malformed.pop() if malformed else member.default_answer(statement)
        )
    assert value(caller.query(site.read("any"), 0.2)) == b"none"
    assert sum(len(member.statements) for member in site.members.values()) == 2


@pytest.mark.parametrize(
    "more", [single_value_answer(b"theirs") + frames.READY_FOR_QUERY, b"noise", frames.READY_FOR_QUERY, b"S"]
)
@pytest.mark.parametrize("later", [False, True])
def test_a_good_answer_with_more_bytes_behind_it_is_served_and_its_link_closed(
    more: bytes, later: bool
) -> None:
    site = Site()
    caller = SiteClient(site)
    primary = site.members["p"]

    def answer(member: PgMember, statement: bytes) -> bytes:
        usual = member.default_answer(statement)
        if not later:
            return usual + more
        (peer,) = [peer for peer in member.connections if peer.in_flight]
        member.env.at(member.env.now() + 0.001, lambda: peer.send(more))
        return usual

    primary.next_answers.append(answer)
    caller.send(
        frames.query(site.write("k", "01").encode()) + frames.query(site.write("k", "02").encode()), 0.0012
    )
    site.run(0.2)
    told = caller.received_messages()
    assert [kind for kind, _ in told] == ["T", "D", "C", "Z"] * 2
    assert frames.single_value(told[4][1], told[5][1]) == b"\x02"  # the second write's own answer
    site.assert_no_leftovers()


def test_an_unparsable_load_report_does_not_affect_its_answer() -> None:
    site = Site()
    site.members["p"].next_answers.append(
        lambda member, statement: (
            member.default_answer(statement)[:-6]
            + frames.parameter_status("usage", "inflight=x")
            + frames.READY_FOR_QUERY
        )
    )
    assert value(SiteClient(site).query(site.write("k", "01"))) == b"\x01"


def test_a_position_ahead_of_the_clock_is_dropped() -> None:
    site = Site()
    ahead = frames.parameter_status("commit_clock", str(int((site.world.now() + 60) * 1000)))
    for member in site.members.values():
        member.next_answers.append(
            lambda member, statement: single_value_answer(b"x") + ahead + frames.READY_FOR_QUERY
        )
    caller = SiteClient(site)
    caller.query(site.read("any"), 0.1)
    assert all(member.position <= site.world.now() for member in site.machine.balancer.members.values())


OUTCOMES = [
    ("25006", "53300"),
    ("72000", "53300"),
    ("53300", "53300"),
    ("XX000", "40003"),
    ("08P01", "40003"),
]


@pytest.mark.parametrize(("error", "expected"), OUTCOMES)
def test_the_outcome_of_a_write_for_each_error_of_a_member(error: str, expected: str) -> None:
    site = Site()
    for member in site.members.values():
        member.next_answers.extend(
            [lambda member, statement: frames.error_response(error, "no") + frames.READY_FOR_QUERY] * 20
        )
    caller = SiteClient(site)
    told = caller.query(site.write("k", "01"), 2.2)
    assert code(told) == expected
    assert (len(site.members["p"].statements) == 1) or expected == "53300"
    site.assert_no_leftovers()


def test_a_write_whose_link_breaks_has_an_unknown_outcome() -> None:
    site = Site(delay=0.05)
    caller = SiteClient(site)
    caller.send(frames.query(site.write().encode()))
    site.members["p"].stop()
    site.run(0.1)
    assert code(caller.received_messages()) == "40003"
    site.assert_no_leftovers()


def test_writes_to_a_silent_primary_fail_by_their_deadline_and_late_answers_are_dropped() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    late_answers: list[Callable[[], None]] = []

    def silent(member: PgMember, statement: bytes) -> bytes | None:
        (peer,) = [peer for peer in member.connections if peer.in_flight]
        late_answers.append(lambda: peer.send(member.default_answer(statement)))
        return None

    site.members["p"].next_answers.append(silent)
    told = caller.query(site.write("k", "02"), 2.0)
    assert code(told) == "40003"
    late_answers[0]()
    assert value(caller.query(site.write("k", "03"), 0.5)) == b"\x03"
    site.assert_no_leftovers()


def test_a_draining_member_gets_no_request_and_its_idle_links_close() -> None:
    site = Site()
    caller = SiteClient(site)
    for _ in range(8):
        assert value(caller.query(site.read("any"))) == b"none"
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(0.05)
    before = len(site.members["r1"].statements)
    for _ in range(8):
        assert value(caller.query(site.read("any"))) == b"none"
    assert len(site.members["r1"].statements) == before
    assert all(peer.in_flight == 0 for peer in site.members["r1"].connections)
    site.catalogue.update("r1", site.members["r1"].address, state="DELETED")
    site.run(0.05)
    assert "r1" not in site.machine.members and "r1" not in site.machine.balancer.members
    assert not site.members["r1"].connections


def test_a_new_id_at_an_old_address_is_a_new_member_and_a_moved_member_is_used_at_its_new_address() -> None:
    site = Site()
    caller = SiteClient(site)
    caller.query(site.read("any"))
    address = site.members["r1"].address
    site.catalogue.update("r1", address, state="DELETED")
    site.catalogue.update("r9", address)
    moved = PgMember(site.world, "10.0.0.77:6432").start()
    site.catalogue.update("r2", moved.address)
    site.run(0.1)
    assert sorted(site.machine.members) == ["p", "r2", "r9"]
    assert site.machine.members["r2"].address == moved.address
    for _ in range(30):
        assert value(caller.query(site.read("any"))) == b"none"
    assert moved.statements and not site.members["r2"].connections
    assert len(site.machine.balancer.members) == 3


def test_links_stay_within_their_limit_under_load() -> None:
    site = Site(sockets=64, delay=0.3)
    most = site.machine.limits.all_links
    callers = [SiteClient(site) for _ in range(site.machine.limits.clients)]
    for turn in range(3):
        for caller in callers:
            caller.send(frames.query(site.read("any", f"k{turn}").encode()), 0.001)
        assert len(site.machine.links) <= most
        site.run(0.7)
        assert len(site.machine.links) <= most
    site.assert_no_leftovers()


def test_ended_requests_clients_and_members_leave_no_state() -> None:
    site = Site()
    for turn in range(40):
        caller = SiteClient(site)
        assert value(caller.query(site.write(f"key{turn}")))
        caller.query(site.read("own", f"key{turn}"), 0.05)
        caller.handle.close()
        site.catalogue.update(f"n{turn}", "10.0.0.3:6432")
        site.run(0.02)
        site.catalogue.update(f"n{turn}", "10.0.0.3:6432", state="DELETED")
        site.run(0.02)
    site.run(30.0)
    site.assert_no_leftovers()
    machine, balancer = site.machine, site.machine.balancer
    assert len(machine.members) == len(machine.members_by_balancer_name) == len(balancer.members) == 3
    assert not machine.pending and not site.front.clients and not balancer.sessions
    assert len(machine.links) <= 3 and len(site.host.links) == len(machine.links)
    assert len(balancer.timers) <= 3 and len(machine.timers) <= 12


# ---- discovery


def test_discovery_is_asked_again_after_a_failure_at_a_bounded_rate() -> None:
    site = Site()
    site.catalogue.failing = True
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(1.0)
    assert any(event == "discovery failed" for event, _ in site.notes)
    calls = len(site.catalogue.calls)
    site.catalogue.failing = False
    site.run(10.0)
    assert site.machine.members["r1"].state is State.DRAINING
    assert len(site.catalogue.calls) - calls < 12  # the rate of calls stays bounded


def test_discovery_is_followed_to_its_new_address() -> None:
    from banklift.emulator.platform import Catalogue

    site = Site()
    other = Catalogue(site.world, "10.9.0.2:8500", revision=50).start()
    for name, member in site.members.items():
        other.update(name, member.address, writes=member.primary)
    other.update("r2", site.members["r2"].address, state="DRAINING")
    site.discovery.change_address(other.address)
    site.run(0.1)
    assert site.machine.members["r2"].state is State.DRAINING
    assert site.machine.members["r1"].state is State.READY


VANISHED = {**SETTINGS, "rules": {**SETTINGS["rules"], "dropped_stay_open": True}}


def test_a_member_deleted_without_a_drain_is_still_used_if_the_rules_allow_it() -> None:
    site = Site(settings=VANISHED)
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    site.catalogue.update("p", site.members["p"].address, state="DELETED")
    site.run(0.1)
    assert value(caller.query(site.write("k", "02"))) == b"\x02"
    site.catalogue.update("p", site.members["p"].address, state="DRAINING")
    site.catalogue.update("p", site.members["p"].address, state="DELETED")
    site.run(0.1)
    assert "p" not in site.machine.members and "p" not in site.machine.balancer.members
    site.assert_no_leftovers()


def test_a_moved_member_is_replaced_also_if_deleted_members_stay_in_use() -> None:
    site = Site(settings=VANISHED)
    caller = SiteClient(site)
    moved = PgMember(site.world, "10.0.0.9:6432", True, store=site.members["p"].store).start()
    site.members["p"].stop()
    site.catalogue.update("p", moved.address, writes=True)
    site.run(0.1)
    assert value(caller.query(site.write(), 0.5)) and len(moved.statements) == 1
    assert len(site.machine.balancer.members) == 3


def test_an_attempt_on_a_member_unknown_to_the_machine_ends_as_refused() -> None:
    site = Site()
    # the module may still know a member that the machine has dropped
    del site.machine.members_by_balancer_name["p"]
    caller = SiteClient(site)
    told = caller.query(site.write(timeout_ms=1500), 1.6)
    assert code(told) == "53300" and not site.machine.pending and not site.machine.balancer.requests


def test_a_group_missing_from_the_roster_is_refused_and_counts_as_no_fault_of_the_client() -> None:
    site = Site()
    caller = SiteClient(site)
    for cluster in range(70, 76):  # more often than bad statements are accepted
        assert code(caller.query(site.read("any", cluster=cluster))) == "53300"
    assert not caller.closed and set(site.machine.balancer.groups) == {0} and not site.machine.pending
    site.catalogue.update("n", site.members["r1"].address, group=70)
    site.run(0.1)
    assert value(caller.query(site.read("any", cluster=70), 0.2))


# ---- probes


def probe(site: Site, name: str) -> None:
    site.machine.call_at(site.world.now(), lambda: site.machine.probe(site.machine.members[name]))
    site.host.timer.reschedule()
    site.run(0.02)


def test_a_load_report_is_parsed_by_the_field_names_of_the_settings() -> None:
    report = parse_usage("x0=17.5,x1=0,outstanding=7,backlog=3")
    assert report is not None
    assert (report.position, report.primary, report.in_flight, report.queued) == (17.5, False, 7.0, 3.0)
    site = Site()
    site.members["r1"].in_flight = 9  # requests of other routers
    probe(site, "r1")
    assert site.machine.balancer.members["r1"].load == 9.0


def test_probes_share_the_links_of_requests() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write()))
    member = site.members["p"]
    for _ in range(5):
        probe(site, "p")
        assert value(caller.query(site.write()))
    assert member.probes >= 5 and len(member.connections) == 1
    assert site.machine.members["p"].probe_link is None and not site.machine.members["p"].pending_probes


def test_a_member_that_refuses_a_probe_counts_as_alive() -> None:
    site = Site()
    member, known = site.members["r1"], site.machine.members["r1"]
    member.usage_answer = lambda: frames.error_response("57P03", "asked too often")  # type: ignore[method-assign]
    probe(site, "r1")
    router_member = site.machine.balancer.members["r1"]
    assert (
        router_member.last_report_at == router_member.last_heard_at > router_member.probed_at
        and site.machine.balancer.is_healthy(router_member)
    )
    assert known.probe_link is None and len(known.idle_links[0]) == 1  # the link stays usable for requests


def test_an_unanswered_probe_closes_its_link_and_an_attempt_opens_another() -> None:
    site = Site()
    member, known = site.members["p"], site.machine.members["p"]
    member.usage_answer = lambda: b""  # type: ignore[method-assign]
    probe(site, "p")
    site.run(0.08)
    assert value(SiteClient(site).query(site.write(), 0.2))
    site.run(0.3)
    assert known.probe_link is None and not known.pending_probes and len(member.connections) == 1


# ---- shutdown


def test_requests_that_arrive_during_the_drain_are_answered_by_its_end() -> None:
    site = Site()
    caller, idle = SiteClient(site), SiteClient(site)
    assert value(idle.query(site.write())) and value(caller.query(site.write()))
    site.host.drain(site.world.now() + 2.6)
    site.run(0.3)
    assert not idle.closed  # new clients still connect to this router
    site.members["p"].next_answers.append(lambda member, statement: None)
    caller.send(frames.query(site.write(timeout_ms=5000).encode()), 2.0)
    late = SiteClient(site)
    assert value(late.query(site.read("any")))
    assert late.closed and not caller.closed  # there is no time left for another query
    site.host.leave()
    site.run(0.01)
    assert idle.closed and not caller.closed
    site.run(0.3)
    assert code(caller.received_messages()) == "40003" and caller.closed
    site.assert_no_leftovers()


# ---- random input for the codec and the parser; links and probes


def test_mutated_statements_are_refused_or_forwarded_unchanged() -> None:
    site, rng = Site(), random.Random(5)
    for turn in range(3000):
        text = bytearray((site.write() if turn % 2 else site.read()).encode())
        for _ in range(rng.randrange(4)):
            index = rng.randrange(len(text))
            text[index : index + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
        try:
            statement = parse(bytes(text))
        except BadStatement:
            continue
        passed = re.sub(rb"(?<=[ ,])d=0*(?=[0-9])", b"d=", bytes(text))
        assert statement.text(statement.client_timeout_ms) == passed


def test_clients_that_send_random_bytes_do_not_disturb_others() -> None:
    site, rng = Site(), random.Random(6)
    usual = SiteClient(site)
    for turn in range(200):
        caller = SiteClient(site, start=False)
        data = frames.startup("backend", "store") if turn % 2 else b""
        caller.send(data + rng.randbytes(rng.randrange(1, 200)))
        if turn % 40 == 0:
            assert value(usual.query(site.write()))
    site.run(3.0)
    assert not site.front.clients and not any(
        b"SELECT" in seen for member in site.members.values() for seen in member.statements
    )


def test_thousands_of_empty_queries_in_one_read_are_answered_without_recursion() -> None:
    """An empty query is answered at once, so reading continues from within the answer: this must not nest calls."""
    site = Site()
    caller = SiteClient(site)
    caller.send(frames.query(b"") * 20_000, 0.1)
    assert [kind for kind, _ in caller.received_messages()] == ["I", "Z"] * 20_000
    assert value(caller.query(site.write()))


def test_requests_open_new_links_rather_than_wait_for_a_resting_one() -> None:
    site = Site(delay=0.1)
    callers = [SiteClient(site) for _ in range(4)]
    assert value(callers[0].query(site.write("a"), 0.2))
    # When this returns, the link has been answered less than its rest time ago.
    callers[0].send(frames.query(site.write("b").encode()), 0.1009)
    for caller in callers:
        caller.handle.send(frames.query(site.write("c").encode()))
    site.run(0.13)
    assert len(site.members["p"].statements) == 6
    site.run(0.2)
    site.assert_no_leftovers()


def test_a_probe_queued_behind_a_malformed_answer_ends_too() -> None:
    site = Site()
    member = site.machine.members["r1"]
    site.machine.probe(member)
    assert member.probe_link is not None
    for event in (
        ev.LinkUp(member.probe_link.id),
        ev.LinkData(member.probe_link.id, frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY),
    ):
        site.machine.handle(site.world.now(), event)
    site.machine.probe(member)
    usage = site.members["r1"].usage_answer() + frames.READY_FOR_QUERY
    site.machine.handle(site.world.now(), ev.LinkData(member.probe_link.id, usage + b"\0noise"))
    assert not member.pending_probes and member.probe_link is None
