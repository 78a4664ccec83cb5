"""One member of a fleet without its surroundings: links, clashes, and what is due when."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from banklift.fleet.actions import LogLine
from banklift.fleet.holder import EpochAdopted, LeaseExtended, SendToGrantor
from banklift.fleet.lease import LeaseClient
from banklift.fleet.links import Dial, Shut, Write
from banklift.fleet.member import Action, Member
from banklift.fleet.messages import (
    VERSION,
    Bye,
    Frames,
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
TEXT = b"first"


def grant(number: int, **fields: object) -> LeaseGrant:
    """On epoch 1 for a sub-lease; `fields` go over it."""
    usual: dict[str, object] = {
        "number": number,
        "epoch": 1,
        "ttl": SUB_LEASE,
        "next_epoch": 0,
        "begin": 0.0,
        "next_ttl": 0.0,
        "digests": (digest(TEXT), ""),
        "version": 1,
        "change": "",
        "stage": "",
        "dry": False,
        "subject": "",
        "policies": (TEXT,),
    }
    return LeaseGrant(**{**usual, **fields})  # type: ignore[arg-type]


def hello(name: str, role: Role, incarnation: int = 1, lease: float = LEASE) -> Hello:
    return Hello(VERSION, "fleet", name, incarnation, PLAN.voters, lease, SUB_LEASE, role)


class Driven:
    """A member whose links and clock are in the test's hands."""

    def __init__(self, member: Member) -> None:
        self.member, self.now = member, 100.0
        self.links: dict[str, int] = {}
        self.frames: dict[int, Frames] = {}
        self.said: list[tuple[int, Message]] = []
        self.told: list[Action] = []
        self.shut: list[int] = []

    def carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Dial(link, peer):
                    self.links[peer] = link
                case Write(link, data):
                    messages = self.frames.setdefault(link, Frames()).feed(data)
                    self.said += [(link, message) for message in messages]
                case Shut(link):
                    self.shut.append(link)
                case _:
                    self.told.append(action)

    def greet(self, peer: str, role: Role = Role.AGGREGATOR) -> None:
        link = self.links[peer]
        self.carry(self.member.connected(self.now, link))
        self.hear(link, hello(peer, role))

    def accept(self, message: Hello) -> int:
        link = self.member.number()
        self.carry(self.member.accepted(self.now, link))
        self.hear(link, message)
        return link

    def hear(self, link: int, message: Message) -> None:
        self.carry(self.member.data(self.now, link, encode(message)))

    def requests(self, peer: str) -> list[LeaseRequest]:
        return [one for link, one in self.said if link == self.links[peer] and isinstance(one, LeaseRequest)]

    def wake(self) -> None:
        """Go on to when it is due."""
        self.now = max(self.now, self.member.due)
        self.carry(self.member.wake(self.now))


def router(plan: Plan = PLAN) -> Driven:
    driven = Driven(Node(plan, 1, 1, TEXT, lambda text: ()))
    driven.carry(driven.member.start(driven.now))
    return driven


def served(driven: Driven, number: int = 1) -> None:
    """The preferred aggregator has granted."""
    driven.greet("a0")
    driven.hear(driven.links["a0"], grant(number))
    driven.greet("a1")


def test_a_router_asks_its_preferred_aggregator_alone() -> None:
    driven = router()
    assert set(driven.links) == {"a0", "a1"}
    served(driven)
    assert len(driven.requests("a0")) == 1 and driven.requests("a1") == []
    assert [one for one in driven.told if isinstance(one, EpochAdopted)] == [EpochAdopted(1, TEXT)]


@pytest.mark.parametrize("how", ["lost", "silent", "no lease"])
def test_the_standby_is_asked_when_the_preferred_one_gives_nothing(how: str) -> None:
    driven = router()
    served(driven)
    if how == "lost":
        driven.now += 0.5
        driven.carry(driven.member.lost(driven.now, driven.links["a0"], "closed"))
    while not driven.requests("a1"):
        driven.wake()
        if how == "no lease":
            number = driven.requests("a0")[-1].number
            driven.hear(driven.links["a0"], grant(number, epoch=0, ttl=0.0, digests=("", ""), reason="none"))
    assert driven.now < 100.0 + SUB_LEASE * (1 - DRIFT)  # its sub-lease has not ended
    before = [one.time for one in driven.told if isinstance(one, LeaseExtended)][-1]
    driven.hear(driven.links["a1"], grant(driven.requests("a1")[-1].number))
    assert [one.time for one in driven.told if isinstance(one, LeaseExtended)][-1] > before


def test_it_goes_back_to_the_preferred_one_and_gives_back_what_the_standby_granted() -> None:
    driven = router()
    served(driven)
    driven.carry(driven.member.lost(driven.now, driven.links["a0"], "closed"))
    driven.hear(driven.links["a1"], grant(driven.requests("a1")[-1].number))
    while driven.links["a0"] in driven.frames:
        driven.wake()
        if driven.links["a0"] not in driven.frames:
            break
    driven.greet("a0")
    driven.hear(driven.links["a0"], grant(driven.requests("a0")[-1].number))
    released = [
        one for link, one in driven.said if link == driven.links["a1"] and isinstance(one, LeaseRelease)
    ]
    assert len(released) == 1
    asked = len(driven.requests("a1"))
    for _ in range(5):
        driven.wake()
        driven.hear(driven.links["a0"], grant(driven.requests("a0")[-1].number))
    assert len(driven.requests("a1")) == asked


def test_the_next_epoch_is_adopted_when_it_begins() -> None:
    driven = router()
    served(driven)
    driven.wake()
    number = driven.requests("a0")[-1].number
    coming = grant(
        number,
        ttl=0.2,
        next_epoch=2,
        begin=0.3,
        next_ttl=0.3 + SUB_LEASE,
        digests=(digest(TEXT), digest(b"second")),
        policies=(b"second",),
    )
    driven.hear(driven.links["a0"], coming)
    begins = driven.now + 0.3 * (1 + DRIFT)
    while driven.now < begins:
        assert EpochAdopted(2, b"second") not in driven.told
        driven.wake()
    assert driven.now == begins and EpochAdopted(2, b"second") in driven.told


def test_a_change_to_check_is_answered_also_while_a_request_is_under_way() -> None:
    driven = router()
    served(driven)
    driven.wake()
    asked = driven.requests("a0")
    driven.hear(driven.links["a0"], RenewNow())
    assert driven.requests("a0") == asked  # the one under way brings the news
    driven.hear(driven.links["a0"], RenewNow("1-x", digest(b"second"), (b"second",)))
    assert driven.requests("a0")[-1].change == "1-x" and driven.requests("a0")[-1].verdict == ()


def test_a_standby_with_news_is_not_asked_while_the_preferred_one_serves() -> None:
    driven = router()
    served(driven)
    driven.hear(driven.links["a1"], RenewNow())
    assert driven.requests("a1") == []


def test_a_shorter_lease_gives_the_longer_one_up_at_once() -> None:
    driven = router()
    served(driven)
    driven.wake()
    driven.hear(driven.links["a0"], grant(driven.requests("a0")[-1].number, ttl=0.1))
    assert driven.said[-1] == (driven.links["a0"], LeaseRelease(1))


def test_a_router_that_leaves_serves_nothing_and_gives_its_leases_back() -> None:
    driven = router()
    served(driven)
    driven.told.clear()
    driven.said.clear()
    driven.carry(driven.member.leave(driven.now))
    assert [one.time for one in driven.told if isinstance(one, LeaseExtended)] == [float("-inf")]
    assert (driven.links["a0"], LeaseRelease(1)) in driven.said
    driven.hear(driven.links["a0"], grant(1))
    assert len(driven.told) == 1


def test_a_shorter_lease_that_has_ended_when_it_comes_stops_the_router_before_it_says_so() -> None:
    driven = router()
    served(driven)
    driven.wake()
    number = driven.requests("a0")[-1].number
    sent, driven.now = driven.now, driven.now + 0.3
    driven.told.clear()
    actions = driven.member.data(driven.now, driven.links["a0"], encode(grant(number, ttl=0.2)))
    assert sent + 0.2 < driven.now < 100.0 + SUB_LEASE * (1 - DRIFT)  # the longer one would hold yet
    kinds = [type(one) for one in actions]
    assert LeaseExtended(driven.now, SUB_LEASE / 20) in actions
    assert kinds.index(LeaseExtended) < kinds.index(Write)


@pytest.mark.parametrize("place", [0, 2, 3, 5, 9, 40])
def test_a_frame_that_was_altered_ends_the_link(place: int) -> None:
    driven = router()
    served(driven)
    driven.wake()
    frame = bytearray(encode(grant(driven.requests("a0")[-1].number, ttl=1.0)))
    frame[place] ^= 1 << 3
    driven.carry(driven.member.data(driven.now, driven.links["a0"], bytes(frame) + bytes(2**16)))
    assert driven.shut == [driven.links["a0"]]
    assert all(one.time < 102.0 for one in driven.told if isinstance(one, LeaseExtended))


def test_who_answers_has_to_be_who_was_called() -> None:
    driven = router()
    driven.greet("a0", Role.ROUTER)
    byes = [one for _, one in driven.said if isinstance(one, Bye)]
    assert [one.reason for one in byes] == ["'a0' answers as router, and the one called is aggregator"]
    assert driven.shut == [driven.links["a0"]]


def test_a_router_and_an_aggregator_may_have_one_name() -> None:
    plan = Plan("fleet", "v2", PLAN.voters, LEASE, DRIFT, (), SUB_LEASE)
    driven = Driven(Node(plan, 1, 1, TEXT, lambda text: (), None, True))
    driven.carry(driven.member.start(driven.now))
    first = driven.accept(hello("x", Role.ROUTER))
    second = driven.accept(hello("x", Role.AGGREGATOR))
    assert driven.shut == []
    twin = driven.accept(hello("x", Role.AGGREGATOR, incarnation=2))
    driven.hear(second, LeaseRelease(0))  # it gives a word
    assert driven.shut == []  # which may have been on its way when its process died
    while driven.now < 100.5:
        driven.wake()
    assert driven.shut == [twin] and first != second


def test_a_restart_is_greeted_when_late_words_of_the_old_process_are_followed_by_its_end() -> None:
    plan = Plan("fleet", "v2", PLAN.voters, LEASE, DRIFT, (), SUB_LEASE)
    driven = Driven(Node(plan, 1, 1, TEXT, lambda text: (), None, True))
    driven.carry(driven.member.start(driven.now))
    old = driven.accept(hello("x", Role.ROUTER))
    new = driven.accept(hello("x", Role.ROUTER, incarnation=2))
    third = driven.accept(hello("x", Role.ROUTER, incarnation=3))
    driven.hear(old, LeaseRelease(0))
    driven.carry(driven.member.lost(driven.now, old, "closed"))
    assert any(link == new and isinstance(one, Hello) for link, one in driven.said)
    byes = [one for link, one in driven.said if link == third and isinstance(one, Bye)]
    assert [one.clash for one in byes] == [False]  # nothing is known of it yet: it may come again


@pytest.mark.parametrize("size", [1, 3, 7, 50, 1000])
def test_frames_are_found_whatever_pieces_they_come_in(size: int) -> None:
    messages = [RenewNow(f"{number}-x", "y" * (7 * number % 400)) for number in range(60)]
    sent = b"".join(encode(one) for one in messages)
    frames = Frames()
    found = [one for at in range(0, len(sent), size) for one in frames.feed(sent[at : at + size])]
    assert found == messages


def lone_client(lease: float) -> LeaseClient:
    """Leases from one voter, whose link is up at 0."""
    client = LeaseClient(("v0",), lease, 0.0, Random(1), lambda text: ())
    client.up(0.0, "v0")
    return client


@pytest.mark.parametrize(("lease", "seconds"), [(10.0, 2.5), (4.0, 1.0), (3.0, 1.0), (2.0, 0.8), (1.0, 0.4)])
def test_a_link_is_stalled_by_its_oldest_request_without_an_answer(lease: float, seconds: float) -> None:
    client = lone_client(lease)
    client.granted(0.0, "v0", grant(1, ttl=lease))
    client.wake(lease / 3)  # a renewal, long after the last answer
    for moment in (0.01, 0.6 * seconds, 0.99 * seconds):
        client.wake(lease / 3 + moment)
        assert client.grantors["v0"].linked
    client.wake(lease / 3 + seconds)
    assert not client.grantors["v0"].linked
    assert lease / 3 + seconds <= 0.75 * lease  # time is left for another grantor to answer


def test_a_link_that_stalls_again_is_given_twice_as_long() -> None:
    client = lone_client(LEASE)
    patience = client.stall_time
    client.wake(patience)
    assert not client.grantors["v0"].linked
    client.up(2.0, "v0")
    client.wake(2.0 + 1.99 * patience)
    assert client.grantors["v0"].linked
    client.wake(2.0 + 2 * patience)
    assert not client.grantors["v0"].linked
    client.up(6.0, "v0")
    (number,) = client.grantors["v0"].pending
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
def test_a_short_lease_is_renewed_later_in_its_life(ttl: float, part: float) -> None:
    client = lone_client(LEASE)
    client.granted(0.0, "v0", grant(1, ttl=ttl))
    assert 0.8 * part * ttl <= client.grantors["v0"].due <= part * ttl


def test_the_moment_between_two_epochs_is_not_logged_as_a_loss_of_leases() -> None:
    def logged(next_begin: float) -> list[str]:
        client = lone_client(LEASE)
        terms = grant(1, ttl=0.5, next_epoch=2, begin=next_begin, next_ttl=next_begin + 0.1)
        client.granted(0.0, "v0", msgspec.structs.replace(terms, digests=(digest(TEXT),) * 2))
        assert client.serving == 1
        actions = client.wake(0.55)
        assert client.until == 0.5  # it takes no requests now
        return [action.event for action in actions if isinstance(action, LogLine)]

    assert logged(0.6) == []  # the next epoch begins right away
    assert logged(0.6 + LEASE) == ["fenced: not enough leases"]


def test_pauses_before_a_dial_grow_until_a_link_has_brought_an_answer() -> None:
    driven = router()
    pauses = []
    for _ in range(4):
        link = driven.links["a0"]
        driven.greet("a0")
        driven.carry(driven.member.lost(driven.now, link, "closed"))
        pauses.append(driven.member.links.redial_at["a0"] - driven.now)
        while driven.links["a0"] == link:
            driven.wake()
    assert pauses[3] > 2 * pauses[0]
    served(driven, driven.member.leases.numbers + 1)  # type: ignore[attr-defined]
    driven.carry(driven.member.lost(driven.now, driven.links["a0"], "closed"))
    assert driven.member.links.redial_at["a0"] - driven.now <= 0.05
