"""Random schedules of faults for a fleet in virtual time: one seed, one schedule, played to its end and judged.

Meanwhile operators ask for changes, some of them dry, some that a router refuses, some asked for twice. At the end all
faults are taken back, and everything has to serve and change again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.fleet.messages import Message, Set, Show, Shown
from banklift.fleet.state import Result
from banklift.rig.relay import BACK, FAULTS, THERE
from banklift.rig.world import FleetWorld, Router
from banklift.rig.world_judge import REFUSED

LEASE = 4.0  # seconds that voters grant
SECONDS = 40.0  # of faults
STARTING = 4.0  # seconds in which all come up
RECOVERY = 30.0  # seconds after the last fault in which all is to be well again
PAUSE_BETWEEN = 1.0  # seconds between two events, at the most
THROTTLE = 2000.0  # bytes a second
LONGEST_DELAY = 0.8  # seconds of one way: twice the leases that are granted while a change takes hold
SUB_LEASE_PARTS = (1 / 4, 2 / 3, 1.0)  # of a lease: what aggregators grant
REASON = "not in this build"  # of a router that refuses


@dataclass(slots=True)
class Report:
    """What became of one seed."""

    seed: int
    faults: list[str] = field(default_factory=list)  # breaches of invariants, and what did not recover
    cases: dict[str, int] = field(default_factory=dict)


class Schedule:
    """`aggregated`: with two to four aggregators; else all routers lease from the voters."""

    def __init__(self, seed: int, aggregated: bool, seconds: float = SECONDS) -> None:
        self.seed, self.seconds, self.random = seed, seconds, Random(seed)
        self.fleet = self._aggregated() if aggregated else self._direct()
        self.numbers = 0  # of changes
        self.suspects: set[str] = set()  # voters whose disk was touched and that have not voted since
        self.events: tuple[tuple[float, Callable[[], None]], ...] = (
            (0.22, self._change),
            (0.18, self._kill),
            (0.06, self._leave),
            (0.10, self._pause),
            (0.06, self._disk),
            (0.24, self._link),
            (0.07, self._cut_off),
            (0.07, self._slow),
        )

    def _direct(self) -> FleetWorld:
        voters = self.random.choice((3, 3, 5))
        return FleetWorld(self.seed, self.random.randrange(voters + 1, 9), voters)

    def _aggregated(self) -> FleetWorld:
        aggregators = self.random.randrange(2, 5)
        return FleetWorld(
            self.seed,
            self.random.randrange(5, 10),
            voters=3,
            lease=LEASE,
            sub_lease=LEASE * self.random.choice(SUB_LEASE_PARTS),
            aggregators=aggregators,
            direct=self.random.choice((0, 0, 1)),
            zones=2 if aggregators == 4 else 1,
        )

    # ---- events

    def _change(self) -> None:
        """An operator looks at the state and asks for another policy; perhaps once more, or by another voter."""
        self.numbers += 1
        number = self.numbers

        def shown(answer: Message | None) -> None:
            if isinstance(answer, Shown) and answer.state is not None:
                self._set(number, answer.state.version)

        self.fleet.ask(self.random.choice(self.fleet.voters), Show(), shown)

    def _set(self, number: int, version: int) -> None:
        random, fleet = self.random, self.fleet
        text = b"policy %d" % number + (b" " + REFUSED if random.random() < 0.15 else b"")
        wanted = Set(f"{version}-n{number}", text, random.uniform(2.0, 12.0), random.random() < 0.1)
        for _ in range(random.choice((1, 1, 2))):
            fleet.ask(random.choice(fleet.voters), wanted, fleet.told)

    def _kill(self) -> None:
        key = self._running()
        if key is None:
            return
        self.fleet.kill(key)
        self.fleet.case("events: kill")
        if key in self.fleet.voters:
            self._damage(key)
        self._restart(key)

    def _leave(self) -> None:
        key = self._running()
        if key is None or key not in self.fleet.routers or self.fleet.routers[key].paused:
            return
        self.fleet.leave(key)
        self.fleet.case("events: leave")
        self._restart(key)

    def _restart(self, key: str) -> None:
        def start() -> None:
            member = self.fleet.members[key]
            if member.host is not None:
                return
            if isinstance(member, Router):
                member.reasons = (REASON,) if self.random.random() < 0.15 else ()
            self.fleet.start(key)

        self._later(self.random.choice((0.0, 6.0)), start)

    def _damage(self, key: str) -> None:
        """What a killed voter's disk holds; as many of them as a fleet has to bear."""
        fleet, random = self.fleet, self.random
        bearable = (len(fleet.voters) - 1) // 2
        self.suspects = {one for one in self.suspects if not fleet.votes(one)}
        if len(self.suspects - {key}) >= bearable or random.random() < 0.5:
            return
        self.suspects.add(key)
        disk = fleet.routers[key].disk
        kind = random.choice(("wiped", "torn", "rolled back"))
        match kind:
            case "wiped":
                disk.content = None
            case "torn":
                disk.content = b"torn"
            case _:
                disk.content = random.choice([*disk.older, disk.content])
        fleet.case(f"events: disk {kind}")

    def _pause(self) -> None:
        key = self._running()
        if key is None or self.fleet.members[key].paused:
            return
        self.fleet.pause(key)
        self.fleet.case("events: pause")
        timers_first = self.random.random() < 0.5
        self._later(6.0, lambda: self.fleet.resume(key, timers_first))

    def _disk(self) -> None:
        voter = self.random.choice(self.fleet.voters)
        self.fleet.routers[voter].disk.fault = self.random.choice(["", "", "EIO", "full"])

    def _link(self) -> None:
        relay = self.random.choice(list(self.fleet.relays.values()))
        fault, way = self.random.choice(FAULTS), self.random.choice((THERE, BACK))
        values = {"delay": self.random.uniform(0.0, LONGEST_DELAY), "throttle": THROTTLE}
        relay.fault(way, fault, values.get(fault, 1.0))
        self.fleet.case(f"events: {fault}")
        self._later(8.0, lambda: relay.fault(way, fault, 0))

    def _cut_off(self) -> None:
        """All links of one member, or those with voters or with aggregators, one way or both."""
        fleet, random = self.fleet, self.random
        key = random.choice(list(fleet.members))
        others = random.choice(((), fleet.voters, tuple(fleet.aggregators)))
        way = random.choice((None, THERE, BACK))
        fleet.cut_off(key, others, way)
        fleet.case("events: cut off")
        self._later(8.0, lambda: fleet.heal(key))

    def _slow(self) -> None:
        """All links of one member take long, one way."""
        key, way = self.random.choice(list(self.fleet.members)), self.random.choice((THERE, BACK))
        seconds = self.random.uniform(0.0, LONGEST_DELAY)
        for relay in self.fleet.links(key):
            relay.fault(way, "delay", seconds)
        self.fleet.case("events: slow")
        self._later(8.0, lambda: self.fleet.heal(key))

    def _running(self) -> str | None:
        """A member that is drawn, if it runs."""
        key = self.random.choice(list(self.fleet.members))
        return key if self.fleet.members[key].host is not None else None

    def _later(self, most: float, call: Callable[[], None]) -> None:
        self.fleet.world.at(self.fleet.world.now() + self.random.uniform(0.0, most), call)

    # ---- the whole

    def play(self) -> Report:
        fleet = self.fleet
        for key in fleet.members:
            fleet.world.at(fleet.world.now() + self.random.uniform(0.0, 1.0), self._starter(key))
        fleet.run(STARTING)
        end = fleet.world.now() + self.seconds
        while fleet.world.now() < end:
            self._event()()
            fleet.run(self.random.uniform(0.0, PAUSE_BETWEEN))
        self._recover()
        fleet.run(RECOVERY)
        not_recovered = self._not_recovered()
        return Report(self.seed, fleet.breaks + not_recovered, dict(fleet.cases))

    def _starter(self, key: str) -> Callable[[], None]:
        return lambda: self.fleet.start(key)

    def _event(self) -> Callable[[], None]:
        weights = [weight for weight, _ in self.events]
        return self.random.choices([event for _, event in self.events], weights)[0]

    def _recover(self) -> None:
        """Take all faults back and start all that is down, and anew what refuses policies."""
        fleet = self.fleet
        fleet.heal()
        for key, member in fleet.members.items():
            fleet.resume(key)
            if isinstance(member, Router):
                member.disk.fault = ""
                if member.reasons:
                    fleet.kill(key)
                    member.reasons = ()
            if member.host is None:
                fleet.start(key)

    def _not_recovered(self) -> list[str]:
        """Whether all serve one policy, and another one takes hold everywhere."""
        fleet = self.fleet
        found = [f"{key} does not serve" for key in fleet.names if key not in fleet.serving()]
        result = fleet.change(b"at last")
        if result != Result.IN_FORCE:
            found.append(f"the last change: {result}")
        fleet.run(1.0)
        if fleet.serving() != dict.fromkeys(fleet.names, fleet.newest):
            found.append(f"not all serve epoch {fleet.newest}: {fleet.serving()}")
        return found
