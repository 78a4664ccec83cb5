"""Fleets of real processes with partitions, flapping links, voters rolled back or a slow voter. Invariants are checked
on what clients and members saw."""

from __future__ import annotations

from pathlib import Path
from random import Random

import anyio

from banklift.rig.operator_tool import NOT_MADE, PolicyAnswer
from banklift.rig.processes import Rig
from tests.rig_play import play

ROUTERS_BESIDE_VOTERS = 40
FLAPS = 30  # links that break, one after another
CHANGES_WHILE_FLAPPING = 4


def test_two_of_five_voters_are_rolled_back(tmp_path: Path) -> None:
    """Two voters are killed and started with their state from before three changes. They must learn the changes from
    the others: with one more voter killed, they are half of the voters that are up."""
    voters = ["r0", "r1", "r2", "r3", "r4"]
    names = [*voters, "r5"]

    async def scenario(rig: Rig) -> None:
        earlier = {name: rig.state_files(name) for name in ("r1", "r3")}
        for variant in (1, 0, 1):
            assert (await rig.set_policy(variant)).result == "in force"
            await rig.wait_until_serving(*names, variant=variant)
        for name in earlier:
            await rig.kill(name)
        for name, files in earlier.items():
            for path in rig.state_folder(name).iterdir():
                path.write_bytes(files[path.name])
        async with anyio.create_task_group() as starts:
            for name in earlier:
                starts.start_soon(rig.start, name)
        await rig.wait_until_serving(*names, variant=1)
        await rig.kill("r0")  # now two of the four voters that are up were rolled back
        assert (await rig.set_policy(0, by="r5")).result == "in force"
        await rig.wait_until_serving(*names[1:], variant=0)
        await rig.start("r0")
        await rig.wait_until_serving(*names, variant=0)

    assert play(tmp_path, names, len(voters), scenario).violations == []


def test_minority_of_a_partition_can_not_make_a_change(tmp_path: Path) -> None:
    """A voter is partitioned from the other two. An operator that reaches only this voter gets no outcome for a change,
    while one that reaches the other voters makes another change. After the partition heals, the first change is
    refused, as it was requested for a version that is over."""
    names = ["r0", "r1", "r2", "r3"]

    async def scenario(rig: Rig) -> None:
        version = (await rig.show_fleet("r3")).state.version
        rig.inject_link_fault("r0")
        answer = await rig.set_policy(1, "--wait", "1", "--id", f"{version}-minority", by="r0")
        assert (answer.result, answer.code) == ("unknown", 3), answer
        # through the voters that this operator reaches
        assert (await rig.set_policy(1, by="r3")).result == "in force"
        await rig.wait_until_serving("r1", "r2", "r3", variant=1)
        rig.heal()
        await rig.wait_until_serving(*names, variant=1)
        late = await rig.set_policy(0, "--id", f"{version}-minority", by="r0")
        assert (late.result, late.code) == ("not made", 4), late  # requested for a version that is over
        await rig.wait_until_serving(*names, variant=1)

    verdict = play(tmp_path, names, 3, scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == 1


def test_flapping_links(tmp_path: Path) -> None:
    """One random link after another loses its data, stalls or is cut, until some client is served after that, while
    changes are made."""
    names = ["r0", "r1", "r2", "r3", "r4"]
    random = Random(7)

    async def scenario(rig: Rig) -> None:
        links = sorted(rig.relays)

        async def flap() -> None:
            for number in range(FLAPS):
                relay = rig.relays[random.choice(links)]
                rig.record("fault", what=f"flap {number}")
                relay.fault(random.choice(("there", "back")), random.choice(("stall", "drop", "cut")), 1.0)
                await rig.wait_until_serving(random.choice(names))
                relay.heal()

        async def change(variant: int) -> PolicyAnswer:
            return await rig.set_policy(variant, "--wait", "30", retry_unknown=True)

        variant = 0
        async with anyio.create_task_group() as both:
            both.start_soon(flap)
            for _ in range(CHANGES_WHILE_FLAPPING):
                variant = 1 - variant
                answer = await change(variant)
                # ask again while the voter that was asked has not learned of the last change yet
                while answer.result == NOT_MADE:
                    answer = await change(variant)
                assert answer.result == "in force", answer
        rig.heal()
        await rig.wait_until_serving(*names, variant=variant)

    verdict = play(tmp_path, names, 3, scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == CHANGES_WHILE_FLAPPING


def test_forty_routers_and_a_slow_voter(tmp_path: Path) -> None:
    """Changes come into force on a fleet of 43 routers while all links of one voter are delayed by 0.3 s. Where no
    voter answers in time, as on a busy machine, the operator asks again, and each change is still made once."""
    names = ["r0", "r1", "r2", *(f"r{number}" for number in range(3, 3 + ROUTERS_BESIDE_VOTERS))]

    async def scenario(rig: Rig) -> None:
        async def change(variant: int) -> None:
            answer = await rig.set_policy(variant, "--wait", "60", retry_unknown=True)
            assert answer.result == "in force", answer
            await rig.wait_until_serving(*names, variant=variant)

        rig.inject_link_fault("r1", fault="delay", value=0.3)
        await change(1)
        await change(0)
        rig.heal()
        await change(1)

    verdict = play(tmp_path, names, 3, scenario, lease=9.0)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == 3
    assert (
        verdict.case_counts["never mixed: requests sent after the first was served under the new policy"]
        > 3 * ROUTERS_BESIDE_VOTERS
    )
