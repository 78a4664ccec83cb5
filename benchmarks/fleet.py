"""Time of a policy change and traffic of a fleet at rest, in virtual time: the protocol alone, without network or CPU.

    .venv/bin/python benchmarks/fleet.py [--routers 5 40 230] [--seeds 5] [--lease 10] [--keep]

A message takes 1 to 1.5 ms one way, a write to disk 2 to 8 ms. Routers that are down were killed just before the
change, which therefore waits for the end of their leases. Prints, for each size of fleet and number of routers down,
the seconds from the operator's request to "in force" (median and maximum), and for a fleet at rest the messages a
minute of a router and of a voter, and the bytes a minute of a router.
"""

from __future__ import annotations

import argparse
import json
import statistics
from pathlib import Path

from banklift.fleet.links import Write
from banklift.fleet.member import Action
from banklift.net import fleet as fleet_host
from banklift.rig.world import FleetWorld

RESULTS_FILE = Path(__file__).with_name("results") / "fleet.json"
VERSION_WAIT_SECONDS = (
    0.2  # time that the simulated operator's tool waits for the state's version before it asks for a change
)


class TrafficCounter:
    """Counts the messages and bytes that all hosts write on links, by wrapping `FleetHost.perform_actions`."""

    def __init__(self) -> None:
        self.messages = self.bytes = 0
        original = fleet_host.FleetHost.perform_actions

        def perform_actions(host: fleet_host.FleetHost, actions: list[Action]) -> None:
            for action in actions:
                if isinstance(action, Write):
                    self.messages += 1
                    self.bytes += len(action.data)
            original(host, actions)

        fleet_host.FleetHost.perform_actions = perform_actions  # type: ignore[method-assign]


def started_fleet(seed: int, routers: int, voters: int, lease: float) -> FleetWorld:
    """A fleet in which every router serves. `lease`: seconds."""
    fleet = FleetWorld(seed, routers, voters, lease)
    for name in fleet.names:
        fleet.start(name)
    fleet.run(1.5 * lease)  # only then does a voter that has started know of all leases
    assert len(fleet.serving()) == routers
    return fleet


def main(sizes: list[int], seeds: int, lease: float) -> dict[str, object]:
    """Measure fleets of each size with `seeds` seeds. `lease`: seconds. Returns the results by case."""
    traffic = TrafficCounter()
    results = {}
    for routers in sizes:
        voters = 3 if routers < 100 else 5
        for down in sorted({0, 1, routers // 10}):
            times = []
            for seed in range(seeds):
                fleet = started_fleet(seed, routers, voters, lease)
                for name in fleet.names[routers - down :]:
                    fleet.kill(name)
                started_at = fleet.world.now()
                assert fleet.change(b"second", patience=3 * lease, seconds=6 * lease) == "in force"
                times.append(fleet.world.now() - started_at - VERSION_WAIT_SECONDS)
                fleet.run(1.0)
                assert fleet.violations == [] and set(fleet.serving().values()) == {2}
            results[f"{routers} routers, {voters} voters, {down} down"] = {
                "seconds, median": round(statistics.median(times), 2),
                "seconds, most": round(max(times), 2),
            }
        fleet = started_fleet(1, routers, voters, lease)
        traffic.messages = traffic.bytes = 0
        fleet.run(60.0)
        results[f"{routers} routers at rest, a minute"] = {
            "messages a router": round(traffic.messages / routers),
            "bytes a router": round(traffic.bytes / routers),
            "messages a voter": round(traffic.messages / voters),
        }
    return results


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, nargs="+", default=[5, 40, 230])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--lease", type=float, default=10.0)
    parser.add_argument("--keep", action="store_true", help="write the results to benchmarks/results")
    args = parser.parse_args()
    result = main(args.routers, args.seeds, args.lease)
    print(json.dumps(result, indent=1))
    if args.keep:
        RESULTS_FILE.write_text(json.dumps(result, indent=1) + "\n")
