"""Two hundred routers before the same members: what each does seldom is done often by all together. Virtual time."""

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
from tests.test_balance import SETTINGS, Bench, of

ROUTERS = 200
RATE = 110.0  # requests a second of all clients together
CAPACITY = 45.0  # requests a second of one warm member
MOST = 80  # requests that a member holds
WORK = 0.09  # seconds that a member works on one
MIX = {"recent": 0.37, "own": 0.19, "loose": 0.21, "write": 0.23}
COLD = 0.2  # of its capacity that a member has when it starts; full after so many seconds:
COLD_TIME = 8.0


class Fleet:
    """One group before many routers. Members answer at once what they can and queue the rest."""

    def __init__(self, seed: int, routers: int = ROUTERS, checks: bool = False) -> None:
        settings = replace(
            SETTINGS, balancers=routers, cold_share=COLD, cold_time=COLD_TIME, members_check=checks
        )
        self.random = Random(seed)
        self.now = 1000.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = 0
        self.routers = [Balancer(settings, seed * 1000 + place) for place in range(routers)]
        self.members = dict.fromkeys(("p", "r1", "r2", "r3"), -1e9)  # when each started
        self.primary = "p"
        self.draining: set[str] = set()
        self.free: dict[str, float] = defaultdict(float)  # when a member has done what it holds
        self.sent: dict[str, deque[float]] = {}
        self.crush = 0.0  # the most that a cold member was sent, in parts of what the rule allows
        self.asked, self.served, self.probes, self.probed_at = (
            Counter[str](),
            Counter[str](),
            0,
            Counter[str](),
        )
        self.sent_writes = Counter[str]()
        self.kinds: dict[tuple[int, int], str] = {}
        for router in range(routers):
            self.tell(
                router,
                Listing(ListKind.CACHED, tuple(Entry(name, 1, primary=name == "p") for name in self.members)),
            )

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.queue, (when, self.numbers, call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def offer(self, seconds: float, more: float = 1.0) -> None:
        """Requests of all clients, to routers at random."""
        when = self.now
        while (when := when + self.random.expovariate(RATE * more)) < self.now + seconds:
            (kind,) = self.random.choices(tuple(MIX), tuple(MIX.values()))
            self.at(when, lambda kind=kind: self.ask(kind))  # type: ignore[misc]

    def ask(self, kind: str) -> None:
        self.asked[kind] += 1
        router = self.random.randrange(len(self.routers))
        since = self.random.uniform(0.15, 0.7) if kind == "own" and self.random.random() < 0.7 else None
        number = self.numbers = self.numbers + 1
        self.kinds[router, number] = kind
        self.tell(router, Request(number, kind, 1, self.now + 2.0, since_write=since))

    def tell(self, router: int, event: object) -> None:
        for action in self.routers[router].handle(self.now, event):  # type: ignore[arg-type]
            match action:
                case SetTimer(delay, token):
                    self.at(self.now + delay, lambda token=token: self.tell(router, Timer(token)))  # type: ignore[misc]
                case Probe(member):
                    self.probes += 1
                    self.probed_at[member] += 1
                    self.at(
                        self.now + 0.002,
                        lambda member=member, asked=self.now: self.tell(  # type: ignore[misc]
                            router, Probed(member, True, self.now - asked, self.report(member))
                        ),
                    )
                case Send(request, member):
                    self.send(router, request, member)
                case Refuse(request) | Fail(request):
                    self.kinds.pop((router, request), None)

    def report(self, member: str) -> Report:
        return Report(
            self.now - (0.0 if member == self.primary else 0.02), member == self.primary, self.held(member)
        )

    def held(self, member: str) -> float:
        """Requests that a member has."""
        return 4.0 + max(0.0, self.free[member] - self.now) * CAPACITY * self.part(member)

    def part(self, member: str) -> float:
        """Of its capacity that a member has now."""
        return min(1.0, COLD + (1 - COLD) * (self.now - self.members[member]) / COLD_TIME)

    def send(self, router: int, request: int, member: str) -> None:
        kind = self.kinds[router, request]
        sent = self.sent.setdefault(member, deque())
        sent.append(self.now)
        self.sent_writes[member] += kind == "write"
        while sent[0] < self.now - SETTINGS.fall_time:
            sent.popleft()
        if self.part(member) < 1:
            allowed = SETTINGS.fall_multiple * self.part(member) * CAPACITY * SETTINGS.fall_time
            self.crush = max(self.crush, len(sent) / allowed)
        number = sum(1 for tried in self.routers[router].requests[request].tried) - 1
        at = self.now
        if kind == "write" and member != self.primary:
            self.at(
                at + 0.002,
                lambda: self.tell(
                    router, Outcome(request, number, member, Status.MISS, False, self.now - at, False)
                ),
            )
            return
        if self.held(member) > MOST:
            self.at(
                at + 0.002,
                lambda: self.tell(
                    router, Outcome(request, number, member, Status.FULL, False, self.now - at)
                ),
            )
            return
        self.free[member] = max(self.free[member], at) + 1 / (CAPACITY * self.part(member))
        done = self.free[member] + WORK
        if done > at + 2.0:
            self.at(
                at + 2.0,
                lambda: self.tell(router, Outcome(request, number, member, Status.TIMEOUT, False, 2.0)),
            )
            return
        self.at(done, lambda: self.answer(router, request, number, member, at, kind))

    def answer(self, router: int, request: int, number: int, member: str, at: float, kind: str) -> None:
        if self.kinds.pop((router, request), None) is not None and self.now < at + 1.0:
            self.served[kind] += 1
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


def test_a_crowd_asks_only_for_proof_and_for_writes() -> None:
    fleet = Fleet(3)
    fleet.offer(12.0)
    fleet.run(14.0)
    total = sum(fleet.asked.values())
    assert total > 1000
    assert fleet.probes < 0.75 * total  # one for each write and each read that needs proof, at the most
    for kind in MIX:
        assert fleet.served[kind] > 0.95 * fleet.asked[kind], kind


@pytest.mark.parametrize("seed", [4, 5])
def test_a_burst_passes_and_what_it_filled_empties(seed: int) -> None:
    fleet = Fleet(seed)
    fleet.offer(4.0, 2.5)  # more than all members together can do
    fleet.run(4.0)
    assert max(fleet.held(member) for member in fleet.members) > 20
    fleet.offer(12.0)
    fleet.run(3.0)
    fleet.asked.clear()
    fleet.served.clear()
    fleet.run(11.0)
    for kind in MIX:
        assert fleet.served[kind] > 0.9 * fleet.asked[kind] > 90, (kind, fleet.served, fleet.asked)


def test_who_is_full_is_not_asked_again_before_it_has_room() -> None:
    bench = Bench(replace(SETTINGS, balancers=ROUTERS))
    bench.ask("write")
    bench.run(0.01)
    (send,) = of(Send, bench.do(Probed("p", True, 0.01, Report(bench.now, True, 2.0))))
    bench.run(1.0)
    actions = bench.do(Outcome(1, 0, send.member, Status.FULL, False, 0.002, True))
    actions += bench.run(0.1)
    assert not of(Send, actions) and [probe.member for probe in of(Probe, actions)] == [send.member]
    actions = bench.do(Probed(send.member, True, 0.002, Report(bench.now, True, 90.0)))
    assert not of(Send, actions + bench.run(0.1))
    actions = bench.do(Probed(send.member, True, 0.002, Report(bench.now, True, 0.0)))
    assert [send.member for send in of(Send, actions + bench.run(0.1))] == ["p"]


def test_a_few_routers_ask_before_they_send() -> None:
    fleet = Fleet(3, SMALL_FLEET_ROUTERS)
    fleet.offer(6.0)
    fleet.run(8.0)
    assert fleet.probes > 0.4 * sum(fleet.asked.values())


def test_a_lost_primary_is_found_without_a_storm_of_probes() -> None:
    fleet = Fleet(5)
    fleet.offer(14.0)
    fleet.run(4.0)
    before = Counter(fleet.probed_at)
    fleet.members["n"] = -1e9
    fleet.primary = "r2"
    for router in range(ROUTERS):  # lists come within a second, and name no roles
        fleet.at(
            fleet.now + fleet.random.random(),
            lambda router=router: fleet.tell(  # type: ignore[misc]
                router, Listing(ListKind.CHANGES, (Entry("p", 1, State.DRAINING), Entry("n", 1)))
            ),
        )
    fleet.run(2.0)
    fleet.asked.clear()
    fleet.served.clear()
    fleet.run(10.0)
    assert fleet.served["write"] > 0.95 * fleet.asked["write"] > 100
    for member in ("r1", "r2", "r3", "n"):  # all replicas together are asked for each second request
        assert fleet.probed_at[member] - before[member] < 12 * 25


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_members_replaced_by_cold_ones(seed: int) -> None:
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
    fleet.asked.clear()
    fleet.served.clear()
    fleet.run(6.0)
    assert fleet.crush < 0.9
    for kind in MIX:
        assert fleet.served[kind] > 0.4 * fleet.asked[kind] > 40, (kind, fleet.served, fleet.asked)


def test_after_discovery_failed_all_at_once_calls_are_spread() -> None:
    settings = replace(SETTINGS, balancers=ROUTERS, must_ask=True, ask_within=10.0)
    routers = [Balancer(settings, seed) for seed in range(ROUTERS)]
    for again in range(1, 5):  # each failure doubles the wait, up to a part of what the rule allows
        delays = sorted(
            timer.delay
            for router in routers
            for timer in of(SetTimer, router.handle(1000.0 + again, Listing(ListKind.FAILED)))
        )
        assert len(delays) == ROUTERS and delays[-1] <= 0.4 * settings.ask_within
        span = delays[-1] - delays[0]
        assert span > 0.4 * delays[-1]
        tenths = Counter(min(9, int(10 * (delay - delays[0]) / span)) for delay in delays)
        assert max(tenths.values()) < ROUTERS / 5


def test_a_report_as_old_as_reports_are_accuses_no_primary_where_aims_are_short() -> None:
    """Reports are refreshed every 50 to 170 ms and come up to 75 ms late, however short the aims of a day are."""
    short = tuple(
        replace(kind, aim=kind.aim * 0.3, deadline=kind.deadline * 0.3) for kind in SETTINGS.classes
    )
    bench = Bench(replace(SETTINGS, classes=short, balancers=ROUTERS))
    bench.ask("write", 0.6)
    bench.run(0.005)
    actions = bench.do(Probed("p", True, 0.005, Report(bench.now - 0.245, True, 2.0)))
    assert [send.member for send in of(Send, actions)] == ["p"]
    bench.run(0.5)
    bench.ask("write", 0.6)
    actions = bench.do(Probed("p", True, 0.005, Report(bench.now - 0.5, True, 2.0)))  # now it stands still
    assert not of(Send, actions + bench.run(0.05))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_writes_that_look_for_a_primary_push_no_cold_replica_over(seed: int) -> None:
    """They are turned away there, but what is sent counts; each write asks every member, in all routers at once."""
    fleet = Fleet(seed)
    fleet.offer(12.0, 2.0)
    fleet.run(3.0)
    fleet.members["r3"], started = fleet.now, fleet.now  # it was started anew, and is no primary
    fleet.primary = "nobody"
    fleet.sent["r3"].clear()
    fleet.sent_writes.clear()
    for router in range(ROUTERS):
        fleet.tell(
            router, Listing(ListKind.CHANGES, (Entry("p", 1, State.GONE), Entry("r3", 1, started=started)))
        )
    fleet.run(5.0)
    assert fleet.crush < 0.5  # 0.9 to 1.0 where it is tried like the others
    assert fleet.sent_writes["r1"] > 100 and not fleet.sent_writes["r3"]
    assert fleet.probed_at["r3"] > 0


@pytest.mark.parametrize("status", [Status.CONNECT_FAILED, Status.FULL])
def test_a_named_primary_that_refuses_is_asked_again_and_nobody_else(status: Status) -> None:
    """Where connections are scarce all members refuse some: a write that goes round them takes the places of others,
    and no replica can serve it. What tells of another primary is a member's own word."""
    bench = Bench(replace(SETTINGS, balancers=ROUTERS))
    bench.ask("write")
    bench.run(0.01)
    (send,) = of(Send, bench.do(Probed("p", True, 0.01, Report(bench.now, True, 2.0))))
    actions = bench.do(Outcome(1, 0, send.member, status, False, 0.002))
    for _ in range(4):
        actions += bench.run(0.05)
    actions += bench.do(Probed("p", True, 0.002, Report(bench.now, True, 0.0))) + bench.run(0.2)
    assert [again.member for again in of(Send, actions)] == ["p"]


def test_an_old_report_still_counts_as_load() -> None:
    """A report says most of what a member has in a crowd; that it is old makes nobody idle."""
    bench = Bench(replace(SETTINGS, balancers=ROUTERS))
    member = bench.balancer.members["r1"]
    bench.do(Probed("r1", True, 0.01, Report(bench.now, False, 40.0)))
    bench.run(30.0)
    assert bench.balancer.current_load(member) == 40.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reads_push_no_cold_replica_over_where_all_is_crowded(seed: int) -> None:
    """Most of the group has gone, and far more is asked than the rest can do: the even part of a cold member is too
    much for it, and only its own word tells."""
    fleet = Fleet(
        seed, checks=True
    )  # no read needs a report for its proof, and these routers have just started
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
    assert len(fleet.sent["r3"]) > 20
    assert fleet.crush < 0.6  # 0.85 to 0.99 where nobody asks


@pytest.mark.parametrize("loads", [False, True])
def test_a_burst_that_is_over_is_forgotten_where_members_tell_no_loads(loads: bool) -> None:
    """Answers are late in a burst, and a router that sends nothing hears nothing. Where members report what they hold,
    that tells that they are idle again."""
    bench = Bench(replace(SETTINGS, balancers=20, reports_load=loads))
    bench.positions()
    for _ in range(200):
        sent = of(Send, bench.ask("loose"))
        if not sent:
            break
        bench.now += 0.45
        bench.do(Outcome(bench.ids, 0, sent[0].member, Status.OK, True, 0.45, position=bench.now))
    assert not sent and not any(member.flying for member in bench.balancer.members.values())
    bench.run(0.5)
    assert not of(Send, bench.ask("loose"))  # it may well be as full as it was
    bench.run(FAILURE_MEMORY_SHORTEST_AIMS * 0.5)
    assert bool(of(Send, bench.ask("loose"))) is not loads


@pytest.mark.parametrize(
    ("feedback", "told"),
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
def test_the_settings_say_whether_members_report_their_load(feedback: object, told: bool) -> None:
    assert parse_settings({**PLATFORM, "feedback": feedback}).reports_load is told
