"""One member of a fleet without I/O: its links, name conflicts, leases and timers."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from banklift.fleet.actions import LogLine
from banklift.fleet.holder import EpochAdopted, LeaseEndChanged, SendToGrantor
from banklift.fleet.lease import LeaseClient
from banklift.fleet.links import CloseLink, Dial, Write
from banklift.fleet.member import Action, Member
from banklift.fleet.messages import (
    PROTOCOL_VERSION,
    Bye,
    FrameDecoder,
    Hello,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Message,
    RenewNow,
    Role,
    encode,
)
from banklift.fleet.node import Node
from banklift.fleet.plan import Plan
from banklift.fleet.state import digest

LEASE, DRIFT, SUB_LEASE = 3.0, 0.01, 2.0
PLAN = Plan("fleet", "r9", ("v0", "v1", "v2"), LEASE, DRIFT, ("a0", "a1"), SUB_LEASE)
POLICY = b"first"


def grant(number: int, **fields: object) -> LeaseGrant:
    """A grant of a sub-lease on epoch 1; `fields` replace its own."""
    defaults: dict[str, object] = {
        "number": number,
        "epoch": 1,
        "ttl": SUB_LEASE,
        "next_epoch": 0,
        "next_begins_in": 0.0,
        "next_epoch_ttl": 0.0,
        "digests": (digest(POLICY), ""),
        "version": 1,
        "change": "",
        "stage": "",
        "dry": False,
        "change_digest": "",
        "policies": (POLICY,),
    }
    return LeaseGrant(**{**defaults, **fields})  # type: ignore[arg-type]


def hello(name: str, role: Role, incarnation: int = 1, lease: float = LEASE) -> Hello:
    return Hello(PROTOCOL_VERSION, "fleet", name, incarnation, PLAN.voters, lease, SUB_LEASE, role)


class MemberDriver:
    """Drives a member: the test plays the other ends of its links, and its clock."""

    def __init__(self, member: Member) -> None:
        self.member, self.now = member, 100.0
        self.links: dict[str, int] = {}
        self.frames: dict[int, FrameDecoder] = {}
        self.sent_messages: list[tuple[int, Message]] = []
        self.other_actions: list[Action] = []
        self.closed_links: list[int] = []

    def carry_out(self, actions: list[Action]) -> None:
        """Record actions of the member."""
        for action in actions:
            match action:
                case Dial(link, peer):
                    self.links[peer] = link
                case Write(link, data):
                    messages = self.frames.setdefault(link, FrameDecoder()).feed(data)
                    self.sent_messages += [(link, message) for message in messages]
                case CloseLink(link):
                    self.closed_links.append(link)
                case _:
                    self.other_actions.append(action)

    def greet(self, peer: str, role: Role = Role.AGGREGATOR) -> None:
        """Connect the dialled link of this peer, and answer its `Hello`."""
        link = self.links[peer]
        self.carry_out(self.member.connected(self.now, link))
        self.receive(link, hello(peer, role))

    def accept(self, message: Hello) -> int:
        """Another member dials this one and says `Hello`; returns the number of the link."""
        link = self.member.new_link_number()
        self.carry_out(self.member.accepted(self.now, link))
        self.receive(link, message)
        return link

    def receive(self, link: int, message: Message) -> None:
        """A message comes on a link."""
        self.carry_out(self.member.data(self.now, link, encode(message)))

    def requests(self, peer: str) -> list[LeaseRequest]:
        """Lease requests that the member has sent to this peer."""
        return [
            message
            for link, message in self.sent_messages
            if link == self.links[peer] and isinstance(message, LeaseRequest)
        ]

    def wake(self) -> None:
        """Advance the clock to when the member is due, and wake it."""
        self.now = max(self.now, self.member.due)
        self.carry_out(self.member.wake(self.now))


def router(plan: Plan = PLAN) -> MemberDriver:
    """A router that has started."""
    driver = MemberDriver(Node(plan, 1, 1, POLICY, lambda text: ()))
    driver.carry_out(driver.member.start(driver.now))
    return driver


def grant_from_preferred(driver: MemberDriver, number: int = 1) -> None:
    """Greet both aggregators; the preferred one grants a lease."""
    driver.greet("a0")
    driver.receive(driver.links["a0"], grant(number))
    driver.greet("a1")


def test_a_router_leases_from_its_preferred_aggregator_only() -> None:
    driver = router()
    assert set(driver.links) == {"a0", "a1"}
    grant_from_preferred(driver)
    assert len(driver.requests("a0")) == 1 and driver.requests("a1") == []
    assert [action for action in driver.other_actions if isinstance(action, EpochAdopted)] == [
        EpochAdopted(1, POLICY)
    ]


@pytest.mark.parametrize("how", ["lost", "silent", "no lease"])
def test_the_standby_is_asked_when_the_preferred_aggregator_grants_nothing(how: str) -> None:
    driver = router()
    grant_from_preferred(driver)
    if how == "lost":
        driver.now += 0.5
        driver.carry_out(driver.member.lost(driver.now, driver.links["a0"], "closed"))
    while not driver.requests("a1"):
        driver.wake()
        if how == "no lease":
            number = driver.requests("a0")[-1].number
            driver.receive(
                driver.links["a0"], grant(number, epoch=0, ttl=0.0, digests=("", ""), reason="none")
            )
    assert driver.now < 100.0 + SUB_LEASE * (1 - DRIFT)  # its sub-lease still holds
    before = [action.serve_until for action in driver.other_actions if isinstance(action, LeaseEndChanged)][
        -1
    ]
    driver.receive(driver.links["a1"], grant(driver.requests("a1")[-1].number))
    assert [action.serve_until for action in driver.other_actions if isinstance(action, LeaseEndChanged)][
        -1
    ] > before


def test_a_return_to_the_preferred_aggregator_releases_the_leases_of_the_standby() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.carry_out(driver.member.lost(driver.now, driver.links["a0"], "closed"))
    driver.receive(driver.links["a1"], grant(driver.requests("a1")[-1].number))
    while driver.links["a0"] in driver.frames:
        driver.wake()
        if driver.links["a0"] not in driver.frames:
            break
    driver.greet("a0")
    driver.receive(driver.links["a0"], grant(driver.requests("a0")[-1].number))
    released = [
        message
        for link, message in driver.sent_messages
        if link == driver.links["a1"] and isinstance(message, LeaseRelease)
    ]
    assert len(released) == 1
    request_count = len(driver.requests("a1"))
    for _ in range(5):
        driver.wake()
        driver.receive(driver.links["a0"], grant(driver.requests("a0")[-1].number))
    assert len(driver.requests("a1")) == request_count


def test_the_next_epoch_is_adopted_when_it_begins() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.wake()
    number = driver.requests("a0")[-1].number
    coming = grant(
        number,
        ttl=0.2,
        next_epoch=2,
        next_begins_in=0.3,
        next_epoch_ttl=0.3 + SUB_LEASE,
        digests=(digest(POLICY), digest(b"second")),
        policies=(b"second",),
    )
    driver.receive(driver.links["a0"], coming)
    begins = driver.now + 0.3 * (1 + DRIFT)
    while driver.now < begins:
        assert EpochAdopted(2, b"second") not in driver.other_actions
        driver.wake()
    assert driver.now == begins and EpochAdopted(2, b"second") in driver.other_actions


def test_a_change_to_check_is_answered_while_a_request_is_in_flight() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.wake()
    earlier_requests = driver.requests("a0")
    driver.receive(driver.links["a0"], RenewNow())
    assert driver.requests("a0") == earlier_requests  # the answer to the request in flight brings the news
    driver.receive(driver.links["a0"], RenewNow("1-x", digest(b"second"), (b"second",)))
    assert driver.requests("a0")[-1].change == "1-x" and driver.requests("a0")[-1].verdict == ()


def test_renew_now_from_the_standby_is_ignored_while_the_preferred_aggregator_grants() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.receive(driver.links["a1"], RenewNow())
    assert driver.requests("a1") == []


def test_a_shorter_lease_releases_the_longer_one_at_once() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.wake()
    driver.receive(driver.links["a0"], grant(driver.requests("a0")[-1].number, ttl=0.1))
    assert driver.sent_messages[-1] == (driver.links["a0"], LeaseRelease(1))


def test_a_router_that_shuts_down_stops_serving_and_releases_its_leases() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.other_actions.clear()
    driver.sent_messages.clear()
    driver.carry_out(driver.member.leave(driver.now))
    assert [action.serve_until for action in driver.other_actions if isinstance(action, LeaseEndChanged)] == [
        float("-inf")
    ]
    assert (driver.links["a0"], LeaseRelease(1)) in driver.sent_messages
    driver.receive(driver.links["a0"], grant(1))
    assert len(driver.other_actions) == 1


def test_a_lease_that_has_expired_on_arrival_stops_the_router_before_it_releases() -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.wake()
    number = driver.requests("a0")[-1].number
    sent, driver.now = driver.now, driver.now + 0.3
    driver.other_actions.clear()
    actions = driver.member.data(driver.now, driver.links["a0"], encode(grant(number, ttl=0.2)))
    assert sent + 0.2 < driver.now < 100.0 + SUB_LEASE * (1 - DRIFT)  # the longer lease would still hold
    action_types = [type(action) for action in actions]
    assert LeaseEndChanged(driver.now, SUB_LEASE / 20) in actions
    assert action_types.index(LeaseEndChanged) < action_types.index(Write)


@pytest.mark.parametrize("index", [0, 2, 3, 5, 9, 40])
def test_a_corrupted_frame_ends_the_link(index: int) -> None:
    driver = router()
    grant_from_preferred(driver)
    driver.wake()
    frame = bytearray(encode(grant(driver.requests("a0")[-1].number, ttl=1.0)))
    frame[index] ^= 1 << 3
    driver.carry_out(driver.member.data(driver.now, driver.links["a0"], bytes(frame) + bytes(2**16)))
    assert driver.closed_links == [driver.links["a0"]]
    assert all(
        action.serve_until < 102.0 for action in driver.other_actions if isinstance(action, LeaseEndChanged)
    )


def test_a_peer_of_another_role_is_refused() -> None:
    driver = router()
    driver.greet("a0", Role.ROUTER)
    byes = [message for _, message in driver.sent_messages if isinstance(message, Bye)]
    assert [bye.reason for bye in byes] == [
        "'a0' answers as router, and the role of the dialled member is aggregator"
    ]
    assert driver.closed_links == [driver.links["a0"]]


def test_a_router_and_an_aggregator_may_have_one_name() -> None:
    plan = Plan("fleet", "v2", PLAN.voters, LEASE, DRIFT, (), SUB_LEASE)
    driver = MemberDriver(Node(plan, 1, 1, POLICY, lambda text: (), None, True))
    driver.carry_out(driver.member.start(driver.now))
    router_link = driver.accept(hello("x", Role.ROUTER))
    aggregator_link = driver.accept(hello("x", Role.AGGREGATOR))
    assert driver.closed_links == []
    second_process = driver.accept(hello("x", Role.AGGREGATOR, incarnation=2))
    driver.receive(aggregator_link, LeaseRelease(0))  # a sign of life
    assert driver.closed_links == []  # the message may have been in flight when its process died
    while driver.now < 100.5:
        driver.wake()
    assert driver.closed_links == [second_process] and router_link != aggregator_link


def test_a_restart_is_greeted_when_the_old_link_ends_after_a_late_message() -> None:
    plan = Plan("fleet", "v2", PLAN.voters, LEASE, DRIFT, (), SUB_LEASE)
    driver = MemberDriver(Node(plan, 1, 1, POLICY, lambda text: (), None, True))
    driver.carry_out(driver.member.start(driver.now))
    old = driver.accept(hello("x", Role.ROUTER))
    new = driver.accept(hello("x", Role.ROUTER, incarnation=2))
    third = driver.accept(hello("x", Role.ROUTER, incarnation=3))
    driver.receive(old, LeaseRelease(0))
    driver.carry_out(driver.member.lost(driver.now, old, "closed"))
    assert any(link == new and isinstance(message, Hello) for link, message in driver.sent_messages)
    byes = [message for link, message in driver.sent_messages if link == third and isinstance(message, Bye)]
    assert [bye.clash for bye in byes] == [False]  # its own claim was never decided: it may come again


@pytest.mark.parametrize("size", [1, 3, 7, 50, 1000])
def test_frames_are_decoded_from_pieces_of_any_size(size: int) -> None:
    messages = [RenewNow(f"{number}-x", "y" * (7 * number % 400)) for number in range(60)]
    sent = b"".join(encode(message) for message in messages)
    frames = FrameDecoder()
    decoded = [
        message for start in range(0, len(sent), size) for message in frames.feed(sent[start : start + size])
    ]
    assert decoded == messages


def lone_client(lease: float) -> LeaseClient:
    """Leases from one voter, whose link is up at 0."""
    client = LeaseClient(("v0",), lease, 0.0, Random(1), lambda text: ())
    client.link_up(0.0, "v0")
    return client


@pytest.mark.parametrize(("lease", "seconds"), [(10.0, 2.5), (4.0, 1.0), (3.0, 1.0), (2.0, 0.8), (1.0, 0.4)])
def test_a_link_stalls_by_the_age_of_its_oldest_unanswered_request(lease: float, seconds: float) -> None:
    client = lone_client(lease)
    client.granted(0.0, "v0", grant(1, ttl=lease))
    client.wake(lease / 3)  # a renewal, long after the last answer
    for moment in (0.01, 0.6 * seconds, 0.99 * seconds):
        client.wake(lease / 3 + moment)
        assert client.grantors["v0"].linked
    client.wake(lease / 3 + seconds)
    assert not client.grantors["v0"].linked
    assert lease / 3 + seconds <= 0.75 * lease  # leaves time for another grantor to answer


def test_the_stall_time_doubles_when_a_link_stalls_again() -> None:
    client = lone_client(LEASE)
    patience = client.stall_time
    client.wake(patience)
    assert not client.grantors["v0"].linked
    client.link_up(2.0, "v0")
    client.wake(2.0 + 1.99 * patience)
    assert client.grantors["v0"].linked
    client.wake(2.0 + 2 * patience)
    assert not client.grantors["v0"].linked
    client.link_up(6.0, "v0")
    (number,) = client.grantors["v0"].pending_requests
    client.granted(6.1, "v0", grant(number, ttl=LEASE))
    assert client.grantors["v0"].stalls == 0


def test_an_unanswered_request_is_sent_again_once_before_the_link_counts_as_stalled() -> None:
    client = lone_client(LEASE)
    requests = 1
    for step in range(1, 100):
        actions = client.wake(client.stall_time * step / 100)
        requests += sum(isinstance(action, SendToGrantor) for action in actions)
    assert client.grantors["v0"].linked and requests == 2


@pytest.mark.parametrize(("ttl", "part"), [(LEASE, 1 / 3), (0.6, 1 / 2)])
def test_a_short_lease_is_renewed_after_a_larger_part_of_its_duration(ttl: float, part: float) -> None:
    client = lone_client(LEASE)
    client.granted(0.0, "v0", grant(1, ttl=ttl))
    assert 0.8 * part * ttl <= client.grantors["v0"].next_request_at <= part * ttl


def test_the_gap_between_two_epochs_is_not_logged_as_a_loss_of_leases() -> None:
    def logged(next_begin: float) -> list[str]:
        client = lone_client(LEASE)
        terms = grant(1, ttl=0.5, next_epoch=2, next_begins_in=next_begin, next_epoch_ttl=next_begin + 0.1)
        client.granted(0.0, "v0", msgspec.structs.replace(terms, digests=(digest(POLICY),) * 2))
        assert client.serving_epoch == 1
        actions = client.wake(0.55)
        assert client.serve_until == 0.5  # the router takes no requests now
        return [action.event for action in actions if isinstance(action, LogLine)]

    assert logged(0.6) == []  # the next epoch begins soon
    assert logged(0.6 + LEASE) == ["fenced: not enough leases"]


def test_redial_pauses_grow_until_a_link_has_brought_an_answer() -> None:
    driver = router()
    pauses = []
    for _ in range(4):
        link = driver.links["a0"]
        driver.greet("a0")
        driver.carry_out(driver.member.lost(driver.now, link, "closed"))
        pauses.append(driver.member.links.redial_at["a0"] - driver.now)
        while driver.links["a0"] == link:
            driver.wake()
    assert pauses[3] > 2 * pauses[0]
    grant_from_preferred(driver, driver.member.leases.last_number + 1)  # type: ignore[attr-defined]
    driver.carry_out(driver.member.lost(driver.now, driver.links["a0"], "closed"))
    assert driver.member.links.redial_at["a0"] - driver.now <= 0.05
