"""What a fleet costs and how long a change takes, in virtual time: no network, no processor, only the protocol.

    .venv/bin/python benchmarks/fleet.py [--routers 5 40 230] [--seeds 5] [--lease 10] [--keep]

Ways take 1 to 1.5 ms, writes to disk 2 to 8 ms. Routers that are down were killed a moment before the change, so it
waits for the end of their leases. Prints, for each size and part that is down, seconds from the operator's word to "in
force" (median and most), and for a fleet at rest messages and bytes a router and a voter a minute.
"""

from __future__ import annotations

import argparse
import json
import statistics
from pathlib import Path

from banklift.fleet.links import Write
from banklift.fleet.member import Action
from banklift.net import fleet as shell
from banklift.rig.world import FleetWorld

OUT = Path(__file__).with_name("results") / "fleet.json"


class Counted:
    """Counts what is written on links."""

    def __init__(self) -> None:
        self.messages = self.bytes = 0
        real = shell.FleetHost.perform_actions

        def perform_actions(host: shell.FleetHost, actions: list[Action]) -> None:
            for action in actions:
                if isinstance(action, Write):
                    self.messages += 1
                    self.bytes += len(action.data)
            real(host, actions)

        shell.FleetHost.perform_actions = perform_actions  # type: ignore[method-assign]


def started(seed: int, routers: int, voters: int, lease: float) -> FleetWorld:
    fleet = FleetWorld(seed, routers, voters, lease)
    for name in fleet.names:
        fleet.start(name)
    fleet.run(1.5 * lease)  # a voter that has started knows of all leases only after that
    assert len(fleet.serving()) == routers
    return fleet


def main(sizes: list[int], seeds: int, lease: float) -> dict[str, object]:
    counted, found = Counted(), {}
    for routers in sizes:
        voters = 3 if routers < 100 else 5
        for down in sorted({0, 1, routers // 10}):
            times = []
            for seed in range(seeds):
                fleet = started(seed, routers, voters, lease)
                for name in fleet.names[routers - down :]:
                    fleet.kill(name)
                begin = fleet.world.now()
                assert fleet.change(b"second", patience=3 * lease, seconds=6 * lease) == "in force"
                times.append(fleet.world.now() - begin - 0.2)  # it looks at the version first
                fleet.run(1.0)
                assert fleet.breaks == [] and set(fleet.serving().values()) == {2}
            found[f"{routers} routers, {voters} voters, {down} down"] = {
                "seconds, median": round(statistics.median(times), 2),
                "seconds, most": round(max(times), 2),
            }
        fleet = started(1, routers, voters, lease)
        counted.messages = counted.bytes = 0
        fleet.run(60.0)
        found[f"{routers} routers at rest, a minute"] = {
            "messages a router": round(counted.messages / routers),
            "bytes a router": round(counted.bytes / routers),
            "messages a voter": round(counted.messages / voters),
        }
    return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, nargs="+", default=[5, 40, 230])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--lease", type=float, default=10.0)
    parser.add_argument("--keep", action="store_true", help="write the results to benchmarks/results")
    given = parser.parse_args()
    result = main(given.routers, given.seeds, given.lease)
    print(json.dumps(result, indent=1))
    if given.keep:
        OUT.write_text(json.dumps(result, indent=1) + "\n")
