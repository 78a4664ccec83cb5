"""Rare races on the platform, each one forced in virtual time; also settings with absent values and discovery."""

from __future__ import annotations

import math
import re
import signal
from dataclasses import replace
from typing import Any, cast

import pytest

from banklift.adapter import WireError, parse_settings
from banklift.emulator.world import World
from banklift.interface import State
from banklift.net.service import Service
from banklift.net.service_config import ConfigurationError, StartConfig, parse
from banklift.net.sockets import SocketEnv
from banklift.pg import frames
from banklift.proxy import memory
from banklift.proxy.machine import LATE_CONNECT_GRACE_SECONDS
from tests.platform_site import SETTINGS, Site, SiteClient, code, value

NO_PROBES: dict[str, Any] = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "probing": False}}


def with_service(
    index: int, allowed: dict[str, Any] | None = None, balancers: int = 1, **more: object
) -> dict[str, Any]:
    services = [dict(service) for service in SETTINGS["services"]]
    services[index].update(more)
    return {
        **SETTINGS,
        "services": services,
        "allowed": {**SETTINGS["allowed"], **(allowed or {})},
        "balancers": balancers,
    }


def cut_off(site: Site, name: str) -> None:
    """Make a member close all its connections."""
    member = site.members[name]
    for peer in list(member.connections):
        assert peer.handle is not None
        peer.lost("closed here")
        peer.handle.close()


# ---- attempts that wait for their connection


def test_a_bounded_read_whose_proof_ages_while_it_waits_for_a_connection_does_not_leave() -> None:
    """The data that a replica is known to have is 0.8 s old when its connection comes up 0.2 s late."""
    site = Site(settings=NO_PROBES)
    caller = SiteClient(site)
    assert value(caller.query(site.read("own", "k", after=1)))  # the balancer learns roles from answers alone
    for name in ("r1", "r2"):
        member = site.machine.balancer.members[name]
        member.position = site.world.now() - 0.7  # 0.1 s short of the bound
        cut_off(site, name)
        site.world.connect_delays[site.members[name].address] = 0.2
    site.run(0.005)
    site.machine.balancer.members["p"].load = 1e6  # so the balancer chooses a replica
    seen = {name: len(member.statements) for name, member in site.members.items()}
    caller.send(frames.query(site.read("view", "k").encode()), 0.01)
    assert len(site.machine.in_flight) == 1
    site.machine.balancer.members["p"].load = 0.0  # so the primary may serve it later
    site.run(0.3)
    for name in ("r1", "r2"):
        assert len(site.members[name].statements) == seen[name]
    assert len(site.members["p"].statements) == seen["p"] + 1 and value(caller.received_messages())
    site.assert_no_leftovers()


def test_a_bounded_read_whose_proof_still_holds_leaves_when_its_connection_comes_up() -> None:
    site = Site(settings=NO_PROBES)
    caller = SiteClient(site)
    assert value(caller.query(site.read("own", "k", after=1)))
    for name in ("r1", "r2"):
        site.machine.balancer.members[name].position = site.world.now() - 0.4
        cut_off(site, name)
        site.world.connect_delays[site.members[name].address] = 0.2
    site.run(0.005)
    site.machine.balancer.members["p"].load = 1e6
    seen = len(site.members["p"].statements)
    caller.send(frames.query(site.read("view", "k").encode()), 0.3)
    assert len(site.members["p"].statements) == seen and value(caller.received_messages())
    site.assert_no_leftovers()


@pytest.mark.parametrize(("window", "runs"), [(0.3, 1), (1.5, 2)])
def test_a_keyed_repeat_leaves_only_within_its_window_however_late_its_connection(
    window: float, runs: int
) -> None:
    """The first attempt breaks after 0.1 s; the repeat waits 0.2 s for a connection, twice."""
    site = Site(settings=with_service(3, semantics="dedup", window_s=window, balancers=20))
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    member, address = site.members["p"], site.members["p"].address
    before = len(member.statements)

    def breaks(member: Any, statement: bytes) -> None:
        site.world.connect_delays[address] = 0.22
        site.run_later(0.1, lambda: cut_off(site, "p"))

    member.next_answers.append(breaks)
    caller.send(frames.query(site.write("k", "02").encode()), 1.9)
    assert len(member.statements) == before + runs
    told = caller.received_messages()
    if runs == 1:  # a repeat by the client could run a second time, too
        assert code(told) == "40003"
    else:
        assert value(told) == b"\x02"


def test_a_refusal_of_what_may_have_run_leaves_its_client_time_to_come_back_within_the_window() -> None:
    site = Site(settings=with_service(3, semantics="dedup", window_s=0.9))  # retry-after is 1 s
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    for _ in range(8):
        site.members["p"].next_answers.append(
            lambda member, statement: frames.error_response("XX000", "broken") + frames.READY_FOR_QUERY
        )
    assert code(caller.query(site.write("k", "02"), 2.0)) == "40003"


@pytest.mark.parametrize("may_cancel", [True, False])
def test_what_waits_for_a_connection_does_not_leave_once_its_client_has_gone(may_cancel: bool) -> None:
    site = Site(settings=with_service(0, {"may_cancel": may_cancel, "connect_timeout_s": 0.25}))
    caller, other = SiteClient(site), SiteClient(site)
    assert value(other.query(site.write("k", "01")))
    cut_off(site, "p")
    site.run(0.005)
    site.world.connect_delays[site.members["p"].address] = 0.2
    before = len(site.members["p"].statements)
    caller.send(frames.query(site.write("k", "02").encode()), 0.01)
    assert len(site.machine.in_flight) == 1
    caller.handle.close()
    site.run(1.0)
    assert len(site.members["p"].statements) == before
    site.assert_no_leftovers()


def test_a_connection_that_never_comes_up_is_given_up_and_its_place_is_free() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    cut_off(site, "p")
    site.run(0.005)
    site.world.connect_delays[site.members["p"].address] = math.inf
    caller.send(frames.query(site.write("k", "02").encode()), 0.1)
    opening = [link for link in site.machine.links.values() if not link.up]
    assert opening
    site.run(2.0 + site.start.connect_timeout + LATE_CONNECT_GRACE_SECONDS)
    assert not any(link.id in site.machine.links for link in opening)
    assert not site.machine.members["p"].connecting and not site.machine.awaiting_link
    site.world.connect_delays.clear()
    assert code(caller.received_messages()) == "53300"
    assert value(SiteClient(site).query(site.write("k", "03"), 0.5)) == b"\x03"
    site.assert_no_leftovers()


@pytest.mark.parametrize("kind", ["save", "any"])
def test_a_member_that_closes_an_idle_link_as_a_request_is_written_may_have_run_it(kind: str) -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    assert value(caller.query(site.read("any", "k")))
    seen = {name: len(member.statements) for name, member in site.members.items()}
    text = site.write("k", "02") if kind == "save" else site.read("any", "k")
    caller.handle.send(frames.query(text.encode()))
    while not site.machine.in_flight:
        site.run(0.00001)
    (attempt,) = site.machine.in_flight.values()
    assert attempt.link is not None  # written, but not yet at the member
    cut_off(site, attempt.member.name)
    site.run(0.1)
    assert len(site.members[attempt.member.name].statements) == seen[attempt.member.name]
    told = caller.received_messages()
    if kind == "save":
        assert code(told) == "40003"  # the router can't tell that it has not run
    else:
        assert value(told) == b"\x01"  # served by another member
    site.assert_no_leftovers()


def test_a_router_is_ready_and_serves_while_discovery_is_down_from_its_start() -> None:
    site = Site()
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    config = replace(site.start, listen="10.1.0.2:6432")
    service = Service(cast(SocketEnv, site.world), config, {}, site.note)
    site.host = service.host
    caller = SiteClient(site)
    assert [kind for kind, _ in caller.query("")] == ["I", "Z"]
    assert value(caller.query(site.write("k", "01"))) == b"\x01"
    site.run(3.0)
    assert [event for event, _ in site.notes].count("discovery failed") >= 2


def test_a_write_whose_connection_comes_up_late_goes_on_another_in_time() -> None:
    site = Site(settings=with_service(3, balancers=20))
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    cut_off(site, "p")
    site.run(0.005)
    address = site.members["p"].address
    site.world.connect_delays[address] = 1.5
    site.run_later(0.1, site.world.connect_delays.clear)  # the next connection is not delayed
    caller.send(frames.query(site.write("k", "02").encode()), 0.8)
    assert value(caller.received_messages()) == b"\x02"
    site.run(1.0)  # the late connection is established by now, and usable
    assert value(SiteClient(site).query(site.write("k", "03"))) == b"\x03"
    assert not any(member.connecting for member in site.machine.members.values())
    site.assert_no_leftovers()


@pytest.mark.parametrize("kind", ["save", "any"])
def test_a_reset_long_after_a_request_began_is_answered_at_once(kind: str) -> None:
    site = Site(settings=NO_PROBES)
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    for member in site.members.values():
        member.next_answers.append(lambda member, statement: None)
    caller.send(
        frames.query((site.write("k", "02") if kind == "save" else site.read("any", "k")).encode()), 0.05
    )
    (attempt,) = site.machine.in_flight.values()
    for member in site.members.values():
        member.next_answers.clear()
    site.run(0.25 if kind == "any" else 1.2)
    assert caller.received_messages() == []
    cut_off(site, attempt.member.name)
    site.run(0.1)
    if kind == "save":
        assert code(caller.received_messages()) == "40003"
    else:
        assert value(caller.received_messages()) == b"\x01"
    site.assert_no_leftovers()


@pytest.mark.parametrize("moment", ["accepted", "read", "waiting"])
def test_a_request_that_sigterm_crosses_is_answered(moment: str) -> None:
    """SIGTERM comes between accept and first read, right after the read, or while a connection is awaited."""
    site = Site()
    first = SiteClient(site)
    assert value(first.query(site.write("k", "01")))
    if moment == "waiting":
        cut_off(site, "p")
        site.run(0.005)
        site.world.connect_delays[site.members["p"].address] = 0.1
    caller = SiteClient(site, start=False)
    while len(site.front.clients) < 2:
        site.run(0.00001)
    caller.handle.send(frames.startup("backend", "store") + frames.query(site.write("k", "02").encode()))
    while moment != "accepted" and not site.machine.pending:
        site.run(0.00001)
    assert bool(site.machine.pending) is (moment != "accepted")
    site.service.handle_signal(signal.SIGTERM, site.world.now())
    site.run(0.5)
    assert [kind for kind, _ in caller.received_messages()][-4:] == ["T", "D", "C", "Z"]
    assert site.members["p"].store[b"k"] == b"\x02"
    site.assert_no_leftovers()


# ---- clients that leave while they are not read


@pytest.mark.parametrize("reads_ahead", [True, False])
def test_a_client_that_leaves_with_a_full_pipeline_takes_with_it_what_has_not_begun(
    reads_ahead: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of its stream is behind commands that are not begun, and that are not even read where there is no room
    to read ahead. It must still be noticed."""
    if not reads_ahead:
        monkeypatch.setattr(memory, "MAX_READ_AHEAD_BYTES", 0)
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    for name, member in site.members.items():
        cut_off(site, name)
        site.world.connect_delays[member.address] = 0.2
    site.run(0.005)
    before = sum(len(member.statements) for member in site.members.values())
    caller.send(b"".join(frames.query(site.write(f"k{index}").encode()) for index in range(40)), 0.01)
    (state,) = site.front.clients.values()
    assert state.is_held_back and state.paused is not reads_ahead and len(site.machine.pending) == 16
    caller.handle.close()
    site.run(0.01)
    assert not site.machine.pending and not site.front.clients
    site.run(1.0)
    assert sum(len(member.statements) for member in site.members.values()) == before
    site.assert_no_leftovers()


# ---- other settings


def test_where_there_are_no_tenants_requests_name_none() -> None:
    site = Site(settings={**SETTINGS, "tenants": []})
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01").replace("t=acme,", ""))) == b"\x01"
    assert value(caller.query(site.read("any", "k").replace("t=acme,", ""))) == b"\x01"
    assert value(caller.query(site.read("any", "k"))) == b"\x01"  # a tenant that is named is no error
    site.assert_no_leftovers()


@pytest.mark.parametrize("missing", ["id=", "c=", "t=", "d=", "cluster="])
def test_what_the_comment_lacks_is_named_where_the_settings_want_it(missing: str) -> None:
    site = Site()
    parts = re.split(r"(?<=/\* )|(?= \*/)|,", site.read("any", "k"))
    kept = [part for part in parts[1:-1] if not part.startswith(missing)]
    told = SiteClient(site).query(f"{parts[0]}{','.join(kept)}{parts[-1]}")
    assert code(told) == "22023" and f"lacks {missing[:-1]}".encode() in told[0][1]
    assert not any(member.statements for member in site.members.values())


@pytest.mark.parametrize("name", ["v1/look", "look+all", "a=b", "Look:me.now_", "100%", "ein(e)"])
def test_classes_and_tenants_have_the_names_of_the_settings(name: str) -> None:
    settings = {**with_service(2, name=name), "tenants": [{"name": name, "share": 1.0}]}
    site = Site(settings=settings)
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01", t=name))) == b"\x01"
    assert value(caller.query(site.read(name, "k", t=name))) == b"\x01"
    assert code(caller.query(site.read("any", "k", t=name))) == "22023"


def test_settings_that_are_null_or_absent_are_read_as_not_told() -> None:
    """Each setting alone is null or absent; one without a default is rejected with its name."""
    plain = parse_settings(SETTINGS)
    for table in ("allowed", "rules", "family_info"):
        for name in SETTINGS[table]:
            without = {key: figure for key, figure in SETTINGS[table].items() if key != name}
            null = {**SETTINGS[table], name: None}
            if name in ("class_read", "staleness_bound_s"):
                with pytest.raises(WireError, match="differ in length"):
                    parse_settings({**SETTINGS, table: without})
                continue
            assert parse_settings({**SETTINGS, table: null}) == parse_settings(
                {**SETTINGS, table: without}
            ), name
    for name in ("tenants", "balancers", "membership_mode", "over_share_worth"):
        without = {key: figure for key, figure in SETTINGS.items() if key != name}
        assert parse_settings({**SETTINGS, name: None}) == parse_settings(without)
    for name in ("points", "late_worth", "aim_stretch", "window_s", "group", "streamed"):
        for figure in ({name: None}, {}):
            first = {key: value for key, value in SETTINGS["services"][0].items() if key != name}
            services = [{**first, **figure}, *SETTINGS["services"][1:]]
            kind = parse_settings({**SETTINGS, "services": services}).classes[0]
            assert kind.worth == 1.0 and (kind.late_worth, kind.aim_stretch, kind.window) == (0.0, 0.0, 0.0)
            assert not kind.group_only and not kind.streamed
    assert plain.classes[0].worth == 1.0


@pytest.mark.parametrize("name", ["conn_idle_s", "connect_timeout_s"])
def test_times_of_connections_that_are_null_zero_or_absent_have_their_default(name: str) -> None:
    def start(allowed: dict[str, Any]) -> StartConfig:
        return parse(
            {
                "settings": {**SETTINGS, "allowed": allowed},
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "limits": None,
            },
            {"ROUTER_NAME": "n0"},
        )

    without = {key: figure for key, figure in SETTINGS["allowed"].items() if key != name}
    usual = start(without)
    assert (usual.link_idle_timeout, usual.connect_timeout, usual.sockets) == (30.0, 0.25, 1024)
    for figure in (None, 0, 0.0):
        told = start({**without, name: figure})
        assert (told.link_idle_timeout, told.connect_timeout) == (
            usual.link_idle_timeout,
            usual.connect_timeout,
        )
    for bad in (-1, True, "5", math.inf):
        with pytest.raises(ConfigurationError, match=f"settings.allowed.{name}: seconds above 0"):
            start({**without, name: bad})


def test_machines_with_other_settings_in_one_process_do_not_touch_one_another() -> None:
    """Two machines side by side share no learnt latencies, limits or classes."""
    world = World(1)
    others = {**with_service(3, semantics="dedup", window_s=0.5, name="pay"), "tenants": [], "balancers": 20}
    first, second = Site(world=world), Site(world=World(2), settings=others)
    one, two = SiteClient(first), SiteClient(second)
    for _ in range(20):
        assert value(one.query(first.write("k", "01"))) == b"\x01"
    assert second.machine.balancer.usual_latency["pay"] == 0.25 and not second.machine.pending
    assert value(two.query(second.write("k", "02", class_name="pay"))) == b"\x02"
    assert (
        code(two.query(second.write("k", "02"))) == "22023"
        and code(one.query(first.write(class_name="pay"))) == "22023"
    )
    assert first.machine.balancer.settings.classes[3].name == "save"
    first.assert_no_leftovers()
    second.assert_no_leftovers()


# ---- discovery


def pushed_settings() -> dict[str, Any]:
    """Settings under which the catalogue pushes its lists."""
    rules = {name: figure for name, figure in SETTINGS["rules"].items() if name != "ask_within_s"}
    return {**SETTINGS, "membership_mode": "automatic", "rules": rules}


def is_draining(site: Site) -> bool:
    """Whether the router knows that r1 drains."""
    return site.machine.members["r1"].state is State.DRAINING


def test_where_lists_are_pushed_the_watch_is_open_from_the_start_and_its_changes_hold() -> None:
    site = Site(settings=pushed_settings())
    assert site.catalogue.calls == ["/catalog/members?after=4&wait_ms=4000"]
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(0.05)
    assert is_draining(site)


def test_where_lists_are_pushed_an_outage_is_not_missed_by_more_than_part_of_the_grace() -> None:
    """The catalogue is down for 20 s; when it is back, the router learns of a drain within 0.55 s."""
    site = Site(settings=pushed_settings())
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    for peer, _ in site.catalogue.long_polls:
        assert peer.handle is not None
        peer.handle.close()
    site.run(20.0)
    asked = len(site.catalogue.calls)
    site.catalogue.start()
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(0.55)
    assert len(site.catalogue.calls) > asked and is_draining(site)
    failures = [fields for event, fields in site.notes if event == "discovery failed"]
    assert 20 < len(failures) < 120  # neither a flood of retries nor a long pause


def test_a_sighup_with_the_same_address_opens_a_watch_anew_that_has_fallen_silent() -> None:
    site = Site()
    site.catalogue.long_polls.clear()  # the pending call is never answered
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(0.5)
    assert not is_draining(site)
    site.service.discovery.change_address(site.catalogue.address)
    site.run(0.05)
    assert is_draining(site)


def test_a_watch_that_fell_silent_is_opened_anew_within_six_seconds_of_its_call() -> None:
    settings = {
        **SETTINGS,
        "rules": {**SETTINGS["rules"], "ask_within_s": 120.0},
    }  # a long bound, of which the retry's pause is a part
    site = Site(settings=settings)
    site.catalogue.long_polls.clear()
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    site.run(5.9)
    assert is_draining(site)


def test_signals_that_come_together_leave_in_order() -> None:
    site = Site()
    now = site.world.now()
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        site.service.handle_signal(number, now)
    assert [
        event for event, _ in site.notes if event in ("leaving", "configuration refused, the old one stays")
    ] == ["leaving", "configuration refused, the old one stays"]
