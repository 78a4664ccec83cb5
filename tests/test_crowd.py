"""Two hundred routers in front of the same members, in virtual time.

What each router does seldom (probes, attempts at a member that has no room) all of them together do often.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from banklift import (
    Balancer,
    Entry,
    Fail,
    Listing,
    ListKind,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Report,
    Request,
    Send,
    SetTimer,
    State,
    Status,
    Timer,
)
from banklift.adapter import parse_settings
from banklift.balance import FAILURE_MEMORY_SHORTEST_AIMS, SMALL_FLEET_ROUTERS
from tests.platform_site import SETTINGS as PLATFORM
from tests.test_balance import SETTINGS, Driver, actions_of_type

ROUTERS = 200
RATE = 110.0  # requests a second by all clients together
CAPACITY = 45.0  # requests a second of one warm member
MAX_HELD = 80  # requests that a member accepts at once
SERVICE_TIME = 0.09  # seconds that a member works on a request
MIX = {"recent": 0.37, "own": 0.19, "loose": 0.21, "write": 0.23}
COLD_SHARE = 0.2  # fraction of its capacity that a member has when it starts
COLD_TIME = 8.0  # seconds until a member has its full capacity


class Fleet:
    """One group behind many routers. Members answer what they can at once and queue the rest."""

    def __init__(self, seed: int, routers: int = ROUTERS, checks: bool = False) -> None:
        settings = replace(
            SETTINGS, balancers=routers, cold_share=COLD_SHARE, cold_time=COLD_TIME, members_check=checks
        )
        self.random = Random(seed)
        self.now = 1000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = 0
        self.routers = [Balancer(settings, seed * 1000 + index) for index in range(routers)]
        self.members = dict.fromkeys(("p", "r1", "r2", "r3"), -1e9)  # when each started
        self.primary = "p"
        self.draining: set[str] = set()
        self.free: dict[str, float] = defaultdict(float)  # when each member has answered all that it has
        # times of what each member was sent within the fall time
        self.sent_times: dict[str, deque[float]] = {}
        # highest load that a cold member was sent, as a fraction of what rule 4 allows
        self.max_cold_load = 0.0
        self.requested = Counter[str]()  # by class
        self.served = Counter[str]()  # within the aim of a second, by class
        self.probes = 0
        self.probes_by_member = Counter[str]()
        self.sent_writes = Counter[str]()
        self.classes: dict[tuple[int, int], str] = {}  # of pending requests, by router and request
        for router in range(routers):
            self.tell(
                router,
                Listing(ListKind.CACHED, tuple(Entry(name, 1, primary=name == "p") for name in self.members)),
            )

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        self.numbers += 1
        heapq.heappush(self.queue, (when, self.numbers, call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def offer(self, seconds: float, factor: float = 1.0) -> None:
        """Send requests of all clients to random routers, at `factor` times the usual rate."""
        when = self.now
        while (when := when + self.random.expovariate(RATE * factor)) < self.now + seconds:
            (class_name,) = self.random.choices(tuple(MIX), tuple(MIX.values()))
            self.at(when, lambda class_name=class_name: self.request(class_name))  # type: ignore[misc]

    def request(self, class_name: str) -> None:
        """Send a request of this class to a random router."""
        self.requested[class_name] += 1
        router = self.random.randrange(len(self.routers))
        since = self.random.uniform(0.15, 0.7) if class_name == "own" and self.random.random() < 0.7 else None
        number = self.numbers = self.numbers + 1
        self.classes[router, number] = class_name
        self.tell(router, Request(number, class_name, 1, self.now + 2.0, since_write=since))

    def tell(self, router: int, event: object) -> None:
        """Give a router an event and carry out its actions."""
        for action in self.routers[router].handle(self.now, event):  # type: ignore[arg-type]
            match action:
                case SetTimer(delay, token):
                    self.at(self.now + delay, lambda token=token: self.tell(router, Timer(token)))  # type: ignore[misc]
                case Probe(member):
                    self.probes += 1
                    self.probes_by_member[member] += 1
                    self.at(
                        self.now + 0.002,
                        lambda member=member, asked_at=self.now: self.tell(  # type: ignore[misc]
                            router, Probed(member, True, self.now - asked_at, self.report(member))
                        ),
                    )
                case Send(request, member):
                    self.send(router, request, member)
                case Refuse(request) | Fail(request):
                    self.classes.pop((router, request), None)

    def report(self, member: str) -> Report:
        """What a member reports: its position, role and load."""
        return Report(
            self.now - (0.0 if member == self.primary else 0.02), member == self.primary, self.held(member)
        )

    def held(self, member: str) -> float:
        """Requests that a member has, working or queued."""
        return 4.0 + max(0.0, self.free[member] - self.now) * CAPACITY * self.capacity_share(member)

    def capacity_share(self, member: str) -> float:
        """Fraction of its capacity that a member has now."""
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (self.now - self.members[member]) / COLD_TIME)

    def send(self, router: int, request: int, member: str) -> None:
        """Let a member take, reject or time out a request."""
        class_name = self.classes[router, request]
        sent = self.sent_times.setdefault(member, deque())
        sent.append(self.now)
        self.sent_writes[member] += class_name == "write"
        while sent[0] < self.now - SETTINGS.fall_time:
            sent.popleft()
        if self.capacity_share(member) < 1:
            allowed = SETTINGS.fall_multiple * self.capacity_share(member) * CAPACITY * SETTINGS.fall_time
            self.max_cold_load = max(self.max_cold_load, len(sent) / allowed)
        number = sum(1 for tried in self.routers[router].requests[request].tried) - 1
        at = self.now
        if class_name == "write" and member != self.primary:
            self.at(
                at + 0.002,
                lambda: self.tell(
                    router, Outcome(request, number, member, Status.MISS, False, self.now - at, False)
                ),
            )
            return
        if self.held(member) > MAX_HELD:
            self.at(
                at + 0.002,
                lambda: self.tell(
                    router, Outcome(request, number, member, Status.FULL, False, self.now - at)
                ),
            )
            return
        self.free[member] = max(self.free[member], at) + 1 / (CAPACITY * self.capacity_share(member))
        done = self.free[member] + SERVICE_TIME
        if done > at + 2.0:
            self.at(
                at + 2.0,
                lambda: self.tell(router, Outcome(request, number, member, Status.TIMEOUT, False, 2.0)),
            )
            return
        self.at(done, lambda: self.answer(router, request, number, member, at, class_name))

    def answer(self, router: int, request: int, number: int, member: str, at: float, class_name: str) -> None:
        """Answer a request, and count it if that is within its aim."""
        if self.classes.pop((router, request), None) is not None and self.now < at + 1.0:
            self.served[class_name] += 1
        self.tell(
            router,
            Outcome(
                request,
                number,
                member,
                Status.OK,
                True,
                self.now - at,
                member == self.primary,
                self.now - 0.02,
            ),
        )


def test_a_large_fleet_probes_only_for_positions_and_for_writes() -> None:
    fleet = Fleet(3)
    fleet.offer(12.0)
    fleet.run(14.0)
    total = sum(fleet.requested.values())
    assert total > 1000
    assert (
        fleet.probes < 0.75 * total
    )  # at most one for each write and each read that needs a proven position
    for class_name in MIX:
        assert fleet.served[class_name] > 0.95 * fleet.requested[class_name], class_name


@pytest.mark.parametrize("seed", [4, 5])
def test_members_that_a_burst_filled_become_free_again(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.offer(4.0, 2.5)  # more than the capacity of all members together
    fleet.run(4.0)
    assert max(fleet.held(member) for member in fleet.members) > 20
    fleet.offer(12.0)
    fleet.run(3.0)
    fleet.requested.clear()
    fleet.served.clear()
    fleet.run(11.0)
    for class_name in MIX:
        assert fleet.served[class_name] > 0.9 * fleet.requested[class_name] > 90, (
            class_name,
            fleet.served,
            fleet.requested,
        )


def test_a_full_member_gets_no_request_before_it_reports_room() -> None:
    driver = Driver(replace(SETTINGS, balancers=ROUTERS))
    driver.request("write")
    driver.run(0.01)
    (send,) = actions_of_type(Send, driver.handle(Probed("p", True, 0.01, Report(driver.now, True, 2.0))))
    driver.run(1.0)
    actions = driver.handle(Outcome(1, 0, send.member, Status.FULL, False, 0.002, True))
    actions += driver.run(0.1)
    assert not actions_of_type(Send, actions) and [
        probe.member for probe in actions_of_type(Probe, actions)
    ] == [send.member]
    actions = driver.handle(Probed(send.member, True, 0.002, Report(driver.now, True, 90.0)))
    assert not actions_of_type(Send, actions + driver.run(0.1))
    actions = driver.handle(Probed(send.member, True, 0.002, Report(driver.now, True, 0.0)))
    assert [send.member for send in actions_of_type(Send, actions + driver.run(0.1))] == ["p"]


def test_a_small_fleet_probes_before_it_sends() -> None:
    fleet = Fleet(3, SMALL_FLEET_ROUTERS)
    fleet.offer(6.0)
    fleet.run(8.0)
    assert fleet.probes > 0.4 * sum(fleet.requested.values())


def test_a_lost_primary_is_found_without_a_storm_of_probes() -> None:
    fleet = Fleet(5)
    fleet.offer(14.0)
    fleet.run(4.0)
    before = Counter(fleet.probes_by_member)
    fleet.members["n"] = -1e9
    fleet.primary = "r2"
    for router in range(ROUTERS):  # each router gets the list within a second; it names no roles
        fleet.at(
            fleet.now + fleet.random.random(),
            lambda router=router: fleet.tell(  # type: ignore[misc]
                router, Listing(ListKind.CHANGES, (Entry("p", 1, State.DRAINING), Entry("n", 1)))
            ),
        )
    fleet.run(2.0)
    fleet.requested.clear()
    fleet.served.clear()
    fleet.run(10.0)
    assert fleet.served["write"] > 0.95 * fleet.requested["write"] > 100
    for member in ("r1", "r2", "r3", "n"):  # probes for no more than every second request, over all replicas
        assert fleet.probes_by_member[member] - before[member] < 12 * 25


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replacing_most_members_by_cold_ones_overloads_none(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.offer(24.0)
    fleet.run(4.0)
    for name in ("c1", "c2", "c3"):
        fleet.members[name] = fleet.now
    fleet.primary = "c1"
    for router in range(ROUTERS):
        fleet.at(
            fleet.now + 0.5 * fleet.random.random(),
            lambda router=router, started=fleet.now: fleet.tell(  # type: ignore[misc]
                router,
                Listing(
                    ListKind.CHANGES,
                    (
                        *(Entry(name, 1, State.DRAINING) for name in ("p", "r1", "r2")),
                        *(Entry(name, 1, started=started) for name in ("c1", "c2", "c3")),
                    ),
                ),
            ),
        )
    fleet.run(2.0)
    fleet.requested.clear()
    fleet.served.clear()
    fleet.run(6.0)
    assert fleet.max_cold_load < 0.9
    for class_name in MIX:
        assert fleet.served[class_name] > 0.4 * fleet.requested[class_name] > 40, (
            class_name,
            fleet.served,
            fleet.requested,
        )


def test_calls_to_discovery_are_spread_after_it_failed_for_all_routers_at_once() -> None:
    settings = replace(SETTINGS, balancers=ROUTERS, must_ask=True, ask_within=10.0)
    routers = [Balancer(settings, seed) for seed in range(ROUTERS)]
    for failure in range(1, 5):  # each failure doubles the wait, up to a fraction of `ask_within`
        delays = sorted(
            timer.delay
            for router in routers
            for timer in actions_of_type(SetTimer, router.handle(1000.0 + failure, Listing(ListKind.FAILED)))
        )
        assert len(delays) == ROUTERS and delays[-1] <= 0.4 * settings.ask_within
        span = delays[-1] - delays[0]
        assert span > 0.4 * delays[-1]
        tenths = Counter(min(9, int(10 * (delay - delays[0]) / span)) for delay in delays)
        assert max(tenths.values()) < ROUTERS / 5


def test_a_report_of_the_usual_age_does_not_make_a_primary_unresponsive_where_aims_are_short() -> None:
    """Reports are refreshed every 50 to 170 ms and arrive up to 75 ms late, however short the aims are."""
    short_classes = tuple(
        replace(request_class, aim=request_class.aim * 0.3, deadline=request_class.deadline * 0.3)
        for request_class in SETTINGS.classes
    )
    driver = Driver(replace(SETTINGS, classes=short_classes, balancers=ROUTERS))
    driver.request("write", 0.6)
    driver.run(0.005)
    actions = driver.handle(Probed("p", True, 0.005, Report(driver.now - 0.245, True, 2.0)))
    assert [send.member for send in actions_of_type(Send, actions)] == ["p"]
    driver.run(0.5)
    driver.request("write", 0.6)
    actions = driver.handle(
        Probed("p", True, 0.005, Report(driver.now - 0.5, True, 2.0))
    )  # now the position has stopped advancing
    assert not actions_of_type(Send, actions + driver.run(0.05))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_writes_that_search_for_a_primary_do_not_overload_a_cold_replica(seed: int) -> None:
    """A replica rejects them, but rule 4 counts what is sent; each write tries every member, in all routers at once."""
    fleet = Fleet(seed)
    fleet.offer(12.0, 2.0)
    fleet.run(3.0)
    fleet.members["r3"], started = fleet.now, fleet.now  # it restarted, and is no primary
    fleet.primary = "nobody"
    fleet.sent_times["r3"].clear()
    fleet.sent_writes.clear()
    for router in range(ROUTERS):
        fleet.tell(
            router, Listing(ListKind.CHANGES, (Entry("p", 1, State.GONE), Entry("r3", 1, started=started)))
        )
    fleet.run(5.0)
    assert fleet.max_cold_load < 0.5  # 0.9 to 1.0 if it is tried like the others
    assert fleet.sent_writes["r1"] > 100 and not fleet.sent_writes["r3"]
    assert fleet.probes_by_member["r3"] > 0


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.FULL])
def test_a_known_primary_that_rejects_a_write_is_tried_again_and_no_other_member(status: Status) -> None:
    """If connections are scarce, all members refuse some. A write that tries each of them takes connections from other
    requests, and no replica can serve it. Another primary makes itself known by its own report."""
    driver = Driver(replace(SETTINGS, balancers=ROUTERS))
    driver.request("write")
    driver.run(0.01)
    (send,) = actions_of_type(Send, driver.handle(Probed("p", True, 0.01, Report(driver.now, True, 2.0))))
    actions = driver.handle(Outcome(1, 0, send.member, status, False, 0.002))
    for _ in range(4):
        actions += driver.run(0.05)
    actions += driver.handle(Probed("p", True, 0.002, Report(driver.now, True, 0.0))) + driver.run(0.2)
    assert [send.member for send in actions_of_type(Send, actions)] == ["p"]


def test_an_old_report_still_counts_as_load() -> None:
    """In a large fleet most of a member's load is known by its report only. An old report does not mean idle."""
    driver = Driver(replace(SETTINGS, balancers=ROUTERS))
    member = driver.balancer.members["r1"]
    driver.handle(Probed("r1", True, 0.01, Report(driver.now, False, 40.0)))
    driver.run(30.0)
    assert driver.balancer.current_load(member) == 40.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reads_do_not_overload_a_cold_replica_where_all_members_are_crowded(seed: int) -> None:
    """Most of the group has gone, and there are far more requests than the rest can serve. An even share is too much
    for a cold member, and only its own report tells so."""
    # members check reads, so no read needs a report for its position; and these routers have just started
    fleet = Fleet(seed, checks=True)
    fleet.members["r3"] = started = fleet.now
    fleet.offer(4.0, 5.0)
    for router in range(ROUTERS):
        fleet.tell(
            router,
            Listing(
                ListKind.CHANGES,
                (
                    Entry("p", 1, State.GONE),
                    Entry("r1", 1, State.GONE),
                    Entry("r2", 1, State.GONE),
                    Entry("r3", 1, started=started),
                ),
            ),
        )
    fleet.run(3.0)
    assert len(fleet.sent_times["r3"]) > 20
    assert fleet.max_cold_load < 0.6  # 0.85 to 0.99 without probes


@pytest.mark.parametrize("reports_load", [False, True])
def test_a_past_burst_is_forgotten_if_members_report_no_load(reports_load: bool) -> None:
    """Answers are late in a burst, and a router that sends nothing learns nothing. Members that report their load show
    by that that they are idle again."""
    driver = Driver(replace(SETTINGS, balancers=20, reports_load=reports_load))
    driver.report_positions()
    for _ in range(200):
        sent = actions_of_type(Send, driver.request("loose"))
        if not sent:
            break
        driver.now += 0.45
        driver.handle(Outcome(driver.last_id, 0, sent[0].member, Status.OK, True, 0.45, position=driver.now))
    assert not sent and not any(member.in_flight for member in driver.balancer.members.values())
    driver.run(0.5)
    assert not actions_of_type(Send, driver.request("loose"))  # the members may still be as full as they were
    driver.run(FAILURE_MEMORY_SHORTEST_AIMS * 0.5)
    assert bool(actions_of_type(Send, driver.request("loose"))) is not reports_load


@pytest.mark.parametrize(
    ("feedback", "reports_load"),
    [
        (None, True),
        ({}, True),
        ({"how": "on_probe", "fields": ["x0", "x1"]}, False),
        ({"how": "on_probe", "fields": ["x0", "backlog"]}, True),
        ({"how": "inline", "fields": ["outstanding"]}, True),
        ({"how": "off", "fields": ["outstanding"]}, False),
        ({"how": "off", "fields": None}, False),
    ],
)
def test_the_settings_say_whether_members_report_their_load(feedback: object, reports_load: bool) -> None:
    assert parse_settings({**PLATFORM, "feedback": feedback}).reports_load is reports_load
