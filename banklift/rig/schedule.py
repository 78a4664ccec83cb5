"""Random schedules of faults for a fleet in virtual time. A seed determines a schedule.

While faults are injected, operators request changes of policy: some as dry runs, some that a router refuses, some
twice. At the end all faults are taken back; then all routers have to serve, and another change has to come into force.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from banklift.fleet.messages import Message, Set, Show, Shown
from banklift.fleet.state import Result
from banklift.rig.relay import FAULTS, FROM_TARGET, TO_TARGET
from banklift.rig.world import FleetWorld, Router
from banklift.rig.world_judge import REFUSAL_MARKER

LEASE = 4.0  # seconds that voters grant
FAULT_PERIOD = 40.0  # seconds in which faults are injected
START_PERIOD = 4.0  # seconds in which all members start
RECOVERY_PERIOD = 30.0  # seconds after the last fault in which all routers have to serve again
MAX_EVENT_INTERVAL = 1.0  # seconds between two events, at the most
MAX_RESTART_DELAY = 6.0  # seconds until a member that ended is started again, at the most
MAX_PAUSE = 6.0  # seconds that a process is paused, at the most
MAX_LINK_FAULT_DURATION = 8.0  # seconds
THROTTLE = 2000.0  # bytes a second
MAX_DELAY = 0.8  # seconds in one direction: twice the leases that are granted while a change comes into force
SUB_LEASE_FRACTIONS = (1 / 4, 2 / 3, 1.0)  # of a lease: what aggregators grant
REFUSAL_REASON = "not in this build"  # of routers that refuse a policy


@dataclass(slots=True)
class Report:
    """The result of the schedule of one seed."""

    seed: int
    failures: list[str] = field(default_factory=list)  # violations of invariants, and what did not recover
    case_counts: dict[str, int] = field(default_factory=dict)  # how often each case came up


class Schedule:
    """The schedule of one seed, and the fleet that it is played on.

    `aggregated`: the fleet has two to four aggregators; otherwise all routers lease from the voters. `seconds`: in
    which faults are injected.
    """

    def __init__(self, seed: int, aggregated: bool, seconds: float = FAULT_PERIOD) -> None:
        self.seed, self.seconds, self.random = seed, seconds, Random(seed)
        self.fleet = self._aggregated_fleet() if aggregated else self._direct_fleet()
        self.change_count = 0
        self.damaged: set[str] = set()  # voters whose disk was damaged and that have not voted since
        self.events: tuple[tuple[float, Callable[[], None]], ...] = (  # each with its probability
            (0.22, self._request_change),
            (0.18, self._kill),
            (0.06, self._leave),
            (0.10, self._pause),
            (0.06, self._set_disk_fault),
            (0.24, self._fault_link),
            (0.07, self._cut_off),
            (0.07, self._delay_member),
        )

    def _direct_fleet(self) -> FleetWorld:
        voters = self.random.choice((3, 3, 5))
        return FleetWorld(self.seed, self.random.randrange(voters + 1, 9), voters)

    def _aggregated_fleet(self) -> FleetWorld:
        aggregators = self.random.randrange(2, 5)
        return FleetWorld(
            self.seed,
            self.random.randrange(5, 10),
            voters=3,
            lease=LEASE,
            sub_lease=LEASE * self.random.choice(SUB_LEASE_FRACTIONS),
            aggregators=aggregators,
            direct=self.random.choice((0, 0, 1)),
            zones=2 if aggregators == 4 else 1,
        )

    # ---- events

    def _request_change(self) -> None:
        """An operator asks a voter for the version of the state, and then requests a change to another policy."""
        self.change_count += 1
        number = self.change_count

        def request(answer: Message | None) -> None:
            if isinstance(answer, Shown) and answer.state is not None:
                self._send_change(number, answer.state.version)

        self.fleet.send_request(self.random.choice(self.fleet.voters), Show(), request)

    def _send_change(self, number: int, version: int) -> None:
        """Request a change from a random voter; sometimes twice, which may be from two voters."""
        random, fleet = self.random, self.fleet
        text = b"policy %d" % number + (b" " + REFUSAL_MARKER if random.random() < 0.15 else b"")
        message = Set(f"{version}-n{number}", text, random.uniform(2.0, 12.0), random.random() < 0.1)
        for _ in range(random.choice((1, 1, 2))):
            fleet.send_request(random.choice(fleet.voters), message, fleet.record_answer)

    def _kill(self) -> None:
        """Kill a member, perhaps with damage to its disk, and start it again later."""
        key = self._random_running()
        if key is None:
            return
        self.fleet.kill(key)
        self.fleet.count_case("events: kill")
        if key in self.fleet.voters:
            self._damage_disk(key)
        self._restart_later(key)

    def _leave(self) -> None:
        """Let a router leave, and start it again later."""
        key = self._random_running()
        if key is None or key not in self.fleet.routers or self.fleet.routers[key].paused:
            return
        self.fleet.leave(key)
        self.fleet.count_case("events: leave")
        self._restart_later(key)

    def _restart_later(self, key: str) -> None:
        """Start a member at once or later, if it is still down then. Some routers refuse policies from then on."""

        def start() -> None:
            member = self.fleet.members[key]
            if member.host is not None:
                return
            if isinstance(member, Router):
                member.refusal_reasons = (REFUSAL_REASON,) if self.random.random() < 0.15 else ()
            self.fleet.start(key)

        self._later(self.random.choice((0.0, MAX_RESTART_DELAY)), start)

    def _damage_disk(self, key: str) -> None:
        """Damage a killed voter's disk, sometimes, if no more voters have a damaged disk than a fleet tolerates."""
        fleet, random = self.fleet, self.random
        tolerated = (len(fleet.voters) - 1) // 2
        self.damaged = {voter for voter in self.damaged if not fleet.is_voting(voter)}
        if len(self.damaged - {key}) >= tolerated or random.random() < 0.5:
            return
        self.damaged.add(key)
        disk = fleet.routers[key].disk
        damage = random.choice(("wiped", "torn", "rolled back"))
        match damage:
            case "wiped":
                disk.content = None
            case "torn":
                disk.content = b"torn"
            case _:
                disk.content = random.choice([*disk.history, disk.content])
        fleet.count_case(f"events: disk {damage}")

    def _pause(self) -> None:
        """Pause a member's process for a while."""
        key = self._random_running()
        if key is None or self.fleet.members[key].paused:
            return
        self.fleet.pause(key)
        self.fleet.count_case("events: pause")
        timers_first = self.random.random() < 0.5
        self._later(MAX_PAUSE, lambda: self.fleet.resume(key, timers_first))

    def _set_disk_fault(self) -> None:
        """Let a voter's writes fail from now on, or succeed again."""
        voter = self.random.choice(self.fleet.voters)
        self.fleet.routers[voter].disk.fault = self.random.choice(["", "", "EIO", "full"])

    def _fault_link(self) -> None:
        """Inject a fault into one direction of one link for a while."""
        relay = self.random.choice(list(self.fleet.relays.values()))
        fault, way = self.random.choice(FAULTS), self.random.choice((TO_TARGET, FROM_TARGET))
        values = {"delay": self.random.uniform(0.0, MAX_DELAY), "throttle": THROTTLE}
        relay.fault(way, fault, values.get(fault, 1.0))
        self.fleet.count_case(f"events: {fault}")
        self._later(MAX_LINK_FAULT_DURATION, lambda: relay.fault(way, fault, 0))

    def _cut_off(self) -> None:
        """Stall all links of one member, or those with voters or with aggregators, in one direction or both."""
        fleet, random = self.fleet, self.random
        key = random.choice(list(fleet.members))
        others = random.choice(((), fleet.voters, tuple(fleet.aggregators)))
        way = random.choice((None, TO_TARGET, FROM_TARGET))
        fleet.stall_links(key, others, way)
        fleet.count_case("events: cut off")
        self._later(MAX_LINK_FAULT_DURATION, lambda: fleet.heal(key))

    def _delay_member(self) -> None:
        """Delay all links of one member in one direction."""
        key, way = self.random.choice(list(self.fleet.members)), self.random.choice((TO_TARGET, FROM_TARGET))
        seconds = self.random.uniform(0.0, MAX_DELAY)
        for relay in self.fleet.links(key):
            relay.fault(way, "delay", seconds)
        self.fleet.count_case("events: slow")
        self._later(MAX_LINK_FAULT_DURATION, lambda: self.fleet.heal(key))

    def _random_running(self) -> str | None:
        """Draw a member; None if it does not run."""
        key = self.random.choice(list(self.fleet.members))
        return key if self.fleet.members[key].host is not None else None

    def _later(self, max_delay: float, action: Callable[[], None]) -> None:
        """Call the action after a random time of at most `max_delay` seconds."""
        self.fleet.world.at(self.fleet.world.now() + self.random.uniform(0.0, max_delay), action)

    # ---- the whole schedule

    def play(self) -> Report:
        """Start the fleet, inject faults, take them back, and check that the fleet recovers."""
        fleet = self.fleet
        for key in fleet.members:
            fleet.world.at(fleet.world.now() + self.random.uniform(0.0, 1.0), self._starter(key))
        fleet.run(START_PERIOD)
        end = fleet.world.now() + self.seconds
        while fleet.world.now() < end:
            self._random_event()()
            fleet.run(self.random.uniform(0.0, MAX_EVENT_INTERVAL))
        self._take_faults_back()
        fleet.run(RECOVERY_PERIOD)
        not_recovered = self._not_recovered()
        return Report(self.seed, fleet.violations + not_recovered, dict(fleet.case_counts))

    def _starter(self, key: str) -> Callable[[], None]:
        return lambda: self.fleet.start(key)

    def _random_event(self) -> Callable[[], None]:
        weights = [weight for weight, _ in self.events]
        return self.random.choices([event for _, event in self.events], weights)[0]

    def _take_faults_back(self) -> None:
        """End all faults, start all members that are down, and restart routers that refuse policies without their
        reasons."""
        fleet = self.fleet
        fleet.heal()
        for key, member in fleet.members.items():
            fleet.resume(key)
            if isinstance(member, Router):
                member.disk.fault = ""
                if member.refusal_reasons:
                    fleet.kill(key)
                    member.refusal_reasons = ()
            if member.host is None:
                fleet.start(key)

    def _not_recovered(self) -> list[str]:
        """Check that all routers serve, and that another change comes into force on all; what failed, in words."""
        fleet = self.fleet
        found = [f"{key} does not serve" for key in fleet.names if key not in fleet.serving()]
        result = fleet.change(b"at last")
        if result != Result.IN_FORCE:
            found.append(f"the last change: {result}")
        fleet.run(1.0)
        if fleet.serving() != dict.fromkeys(fleet.names, fleet.newest_epoch):
            found.append(f"not all serve epoch {fleet.newest_epoch}: {fleet.serving()}")
        return found
