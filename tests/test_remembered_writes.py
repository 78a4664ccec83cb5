"""A router that remembers sessions knows every write whose success a member has told it.

Found by review/9: a client left while its write was out, and the attempt could not be cancelled. The member answered
that the write had succeeded, the router dropped that with the request, and the session read the value before.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from banklift import Abandoned, Outcome, Status, StreamStarted
from banklift.adapter import Host
from banklift.pg import frames
from tests.platform_site import SETTINGS as PLATFORM_SETTINGS
from tests.platform_site import Site, SiteClient, value
from tests.test_adapter import INFO, START, reply
from tests.test_balance import SETTINGS, T0, Driver, targets
from tests.test_renewed_terms import LEAVING

ROUTER_TOKENS = replace(SETTINGS, client_tokens=False, may_cancel=False)


def router_tokens(**allowed: object) -> dict[str, Any]:
    """Settings of the platform in which the router remembers sessions, with changes of what is allowed."""
    return {
        **PLATFORM_SETTINGS,
        "family_info": {**PLATFORM_SETTINGS["family_info"], "token_mode": "router"},
        "allowed": {**PLATFORM_SETTINGS["allowed"], **allowed},
    }


@pytest.mark.parametrize("event", [Abandoned(1), StreamStarted(1, 0, "p")])
@pytest.mark.parametrize("class_name", ["write", "keyed"])
def test_a_success_counts_for_its_session_though_the_request_is_over(
    event: Abandoned | StreamStarted, class_name: str
) -> None:
    """The write's client has left, or its answer is passed on as a stream, before the member tells the success."""
    driver = Driver(ROUTER_TOKENS)
    driver.report_positions(lag=0.0)
    assert targets(driver.request(class_name, session=9)) == ["p"]
    driver.handle(event)
    driver.handle(Outcome(1, 0, "p", Status.OK, True, 0.1, True, T0 + 0.1))
    driver.now += 0.01
    assert targets(driver.request("own", session=8))[0] != "p"
    assert targets(driver.request("own", session=9) + driver.run(0.3)) == ["p"]


@pytest.mark.parametrize("status", [status for status in Status if status is not Status.OK])
def test_only_a_success_counts_for_a_session(status: Status) -> None:
    driver = Driver(ROUTER_TOKENS)
    driver.report_positions(lag=0.0)
    assert targets(driver.request("write", session=9)) == ["p"]
    driver.handle(Abandoned(1))
    driver.handle(Outcome(1, 0, "p", status, False, 0.1, None, T0 + 0.1))
    assert not driver.balancer.sessions


def test_a_read_is_not_remembered_as_a_write_of_its_session() -> None:
    """Its position may be that of a primary, so remembering it would keep the session from all replicas."""
    driver = Driver(ROUTER_TOKENS)
    driver.report_positions(lag=0.0)
    (member,) = targets(driver.request("own", session=9))
    driver.handle(Outcome(1, 0, member, Status.OK, True, 0.01, False, T0))
    assert not driver.balancer.sessions


@LEAVING
def test_a_session_reads_its_write_whose_client_left_before_the_answer(
    leave: Callable[[SiteClient], None],
) -> None:
    """The same on the platform's wire. The replicas are 2 s behind, so only the primary may serve the read."""
    site = Site(delay=0.1, settings=router_tokens(may_cancel=False))
    for name in ("r1", "r2"):
        site.members[name].lag_seconds = 2.0
    leaving = SiteClient(site)
    leaving.send(frames.query(site.write("k", "01").encode()), 0.03)
    leave(leaving)
    site.run(0.3)
    assert not site.machine.in_flight
    before = len(site.members["p"].statements)
    assert value(SiteClient(site).query(site.read("own", "k"), 0.5)) == b"\x01"
    assert len(site.members["p"].statements) == before + 1


def test_the_simulators_wire_remembers_the_write_of_a_client_that_left() -> None:
    """The same batches as the simulator sends them: a write, its client's leave, its success, a read of the session."""
    look = {**INFO["services"][1], "aim_s": 0.5}
    family = {
        **INFO["family_info"],
        "class_read": ["update", "own_writes"],
        "token_mode": "router",
    }
    info = {
        **INFO,
        "allowed": {**INFO["allowed"], "may_cancel": False},
        "family_info": family,
        "services": [INFO["services"][0], look],
    }
    host = Host()
    reply(host, 100.0, ["begin", 3, 17, info], *START[1:])
    reports = [
        ["check_result", 3, 0, "a:1", 0.001, {"x0": 95.05, "x1": 1}],
        ["check_result", 3, 0, "b:1", 0.001, {"x0": 95.04, "x1": 0}],
    ]
    reply(host, 100.05, *reports)
    sent = reply(host, 100.06, ["submit", 3, 7, "save", None, 12, 102.0, None, 0, None, 4])
    assert [action[3] for action in sent if action[0] == "assign"] == ["a:1"]
    reply(host, 100.07, ["lapsed", 3, 7])
    reply(host, 100.1, ["result", 3, 7, 0, True, "a:1", 0.04, 0, 4 * 95_090 + 1, None])
    assert host.balancers[3].sessions == {12: pytest.approx(5.0 + 95.09)}
    sent = reply(host, 100.11, ["submit", 3, 8, "look", None, 12, 102.0, None, 0, None, 4])
    assert "b:1" not in [action[3] for action in sent if action[0] == "assign"]
