"""A policy that takes effect between two events: pending requests, queues and connections go on."""

from __future__ import annotations

import msgspec
import pytest

from banklift.config import build, policy
from banklift.config.policy import Policy
from banklift.proxy import events as ev
from banklift.proxy.plan import Limits, Route, Rules, User
from tests.test_machine import Rig, info


def change(rig: Rig, **changes: object) -> Policy:
    """Apply the machine's own configuration with these changes; return the policy."""
    new = msgspec.structs.replace(policy.decode(policy.policy_of(rig.config)), **changes)
    rig.handle(build.adopt(rig.config, new))
    return new


def without(rig: Rig, name: str) -> dict[str, object]:
    """Changes that remove a class; its keys go to the class of all other reads."""
    kept = [request_class for request_class in rig.config.classes if request_class.name != name]
    return {"classes": kept, "routes": [route for route in rig.config.routes if route.to != name]}


def test_a_request_of_a_removed_class_is_answered() -> None:
    rig = Rig()
    rig.send_command("GET", "alert:1")
    link = rig.connect("r:1")
    change(rig, **without(rig, "alert-check"))
    assert "alert-check" in rig.machine.balancer.classes  # a request of it is pending
    rig.handle(ev.LinkData(link, info(False, 5) + b"$1\r\nx\r\n"))
    assert rig.answer() == b"$1\r\nx\r\n"
    assert link not in rig.closed
    change(rig, **without(rig, "alert-check"))
    assert "alert-check" not in rig.machine.balancer.classes


def test_a_held_write_of_a_removed_class_is_refused_by_its_own_deadline() -> None:
    rig = Rig()
    rig.offsets.clear()  # no member answers probes, and the primary is gone
    rig.handle(ev.Roster((ev.ListedMember("r", 0, "r:1"),)))
    rig.send_command("SET", "note:1", "a")
    changes = without(rig, "note")
    change(rig, **changes)
    rig.wait(3.0)
    assert rig.answer().startswith(b"-TRYAGAIN refused: nothing ran")
    assert not rig.machine.pending


def test_a_shorter_deadline_applies_to_new_requests_only() -> None:
    rig = Rig()
    rig.send_command("SET", "note:1", "a")  # its class has a deadline of 2 s
    link = rig.connect("p:1")
    rig.handle(ev.ClientOpened(2))
    classes = [
        msgspec.structs.replace(request_class, aim=0.2, deadline=0.3)
        if request_class.name == "note"
        else request_class
        for request_class in rig.config.classes
    ]
    change(rig, classes=classes)
    rig.send_command("SET", "note:2", "b", client=2)
    rig.wait(0.5)
    assert rig.answer(2) and not rig.answer(1)
    rig.handle(ev.LinkData(link, b"+OK\r\n" + info(True, 50)))
    assert rig.answer(1) == b"+OK\r\n"


def test_a_changed_route_applies_to_new_requests_only() -> None:
    rig = Rig()
    rig.send_command("GET", "alert:1")
    assert rig.data_links("r:1") and not rig.data_links("p:1")  # any member may serve it
    moved = [Route(to="final", keys="alert:*", commands=["GET"]), *rig.config.routes]
    change(rig, routes=moved)
    rig.handle(ev.ClientOpened(2))
    rig.send_command("GET", "alert:2", client=2)
    assert rig.data_links("p:1")  # only the primary now


def test_a_transaction_is_routed_by_the_policy_at_its_exec() -> None:
    rig = Rig()
    rig.send_command("MULTI")
    rig.send_command("GET", "alert:1")
    rig.answer()
    change(rig, routes=[Route(to="final", keys="alert:*", commands=["GET"]), *rig.config.routes])
    rig.send_command("EXEC")
    assert rig.data_links("p:1") and not rig.data_links("r:1")


def test_a_user_whose_password_changed_is_disconnected_after_its_answer() -> None:
    rig = Rig()
    before = change(rig, users=[User(name="ann", password="one"), User(name="bob", password="b")])
    for client, name, password in ((1, "ann", "one"), (2, "bob", "b")):
        if client > 1:
            rig.handle(ev.ClientOpened(client))
        rig.send_command("AUTH", name, password, client=client)
        assert rig.answer(client) == b"+OK\r\n"
    rig.send_command("GET", "alert:1")
    link = rig.connect("r:1")
    rig.handle(
        build.adopt(
            rig.config,
            msgspec.structs.replace(
                before, users=[User(name="ann", password="two"), User(name="bob", password="b")]
            ),
        )
    )
    assert rig.closed_clients == []
    rig.handle(ev.LinkData(link, info(False, 5) + b"$1\r\nx\r\n"))
    assert rig.answer() == b"$1\r\nx\r\n" and rig.closed_clients == [1]
    rig.send_command("PING", client=2)
    assert rig.answer(2) == b"+PONG\r\n"


def test_limits_and_rules_change_and_connections_stay() -> None:
    rig = Rig()
    rig.send_command("GET", "alert:1")
    link = rig.connect("r:1")
    change(rig, limits=Limits(queue=1), rules=Rules(max_retry_after=0.25))
    rig.handle(ev.ClientOpened(2))
    rig.send_command("GET", "alert:2", client=2)
    assert rig.answer(2).endswith(b"retry_after_ms=250\r\n")
    rig.handle(ev.LinkData(link, info(False, 5) + b"$1\r\nx\r\n"))
    assert rig.answer() == b"$1\r\nx\r\n" and link not in rig.closed


def test_without_a_lease_new_requests_are_refused_at_once_and_open_ones_answered() -> None:
    rig = Rig()
    rig.send_command("GET", "alert:1")
    link = rig.connect("r:1")
    rig.handle(ev.ClientOpened(2))
    rig.handle(ev.AcceptUntil(rig.now + 1.0, 0.125))
    rig.send_command("GET", "alert:2", client=2)
    assert not rig.answer(2)
    rig.now += 1.0
    rig.handle(ev.ClientOpened(3))
    rig.send_command("GET", "alert:3", client=3)
    assert rig.answer(3) == b"-TRYAGAIN refused: nothing ran; retry_after_ms=125\r\n"
    rig.handle(ev.LinkData(link, info(False, 5) + b"$1\r\nx\r\n"))
    assert rig.answer() == b"$1\r\nx\r\n"
    rig.handle(ev.AcceptUntil(rig.now + 1.0, 0.125))
    rig.handle(ev.ClientOpened(4))
    rig.send_command("GET", "alert:4", client=4)
    assert b"nothing ran" not in rig.answer(4)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (b"{", "$: not JSON"),
        (b'{"listen": "x:1"}', "$.listen: a policy can't change it: a router listens where it was started"),
        (b'{"groups": []}', "$.groups: a policy can't change it: members come from the roster"),
        (b'{"fleet": {}}', "$.fleet: a policy can't change it"),
        (b'{"classs": []}', "$: Object contains unknown field `classs`"),
        (b'{"default_read": "a", "default_write": "b"}', "$: Object missing required field `classes`"),
        (
            b'{"classes": [{"name": "a", "effect": "safe", "need": "any", "aim": 2, "deadline": 1}], '
            b'"default_read": "a", "default_write": "a"}',
            "$.classes[0].aim: 2 s is beyond the deadline of 1 s",
        ),
    ],
)
def test_an_invalid_policy_is_refused_with_the_place_of_the_fault(text: bytes, reason: str) -> None:
    reasons = policy.objections(Rig().config, text, 1024)
    assert any(found.startswith(reason) for found in reasons), reasons


def test_a_policy_cut_anywhere_is_refused() -> None:
    rig = Rig()
    whole = policy.policy_of(rig.config)
    assert policy.objections(rig.config, whole, 1024) == ()
    for cut in range(len(whole)):
        assert policy.objections(rig.config, whole[:cut], 1024) != (), cut


def test_a_limit_of_clients_has_to_fit_the_descriptors_of_the_process() -> None:
    rig = Rig()
    stated = policy.encode(
        msgspec.structs.replace(policy.decode(policy.policy_of(rig.config)), limits=Limits(clients=5000))
    )
    assert policy.objections(rig.config, stated, 1024)[0].startswith(
        "$.limits.clients: 5000 clients, and this process"
    )
    assert policy.objections(rig.config, stated, 65536) == ()
