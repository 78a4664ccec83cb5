"""Fleets of real processes that are split, flap or have a slow voter; judged from outside."""

from __future__ import annotations

from pathlib import Path
from random import Random

import anyio

from banklift.rig.processes import Rig
from tests.rig_play import play

MANY = 40  # routers beside the voters
FLAPS = 30
CHANGES = 4
NOT_MADE = "not made"


def test_two_of_five_voters_are_set_back_to_an_earlier_disk(tmp_path: Path) -> None:
    voters = ["r0", "r1", "r2", "r3", "r4"]
    names = [*voters, "r5"]

    async def act(rig: Rig) -> None:
        earlier = {
            name: {path.name: path.read_bytes() for path in rig.state(name).iterdir()}
            for name in ("r1", "r3")
        }
        for parity in (1, 0, 1):
            assert (await rig.set(parity))["result"] == "in force"
            await rig.serves(*names, parity=parity)
        for name in earlier:
            await rig.kill(name)
        for name, files in earlier.items():
            for path in rig.state(name).iterdir():
                path.write_bytes(files[path.name])
        async with anyio.create_task_group() as starts:
            for name in earlier:
                starts.start_soon(rig.start, name)
        await rig.serves(*names, parity=1)
        await rig.kill("r0")  # those that were set back are half of the voters that are left
        assert (await rig.set(0, by="r5"))["result"] == "in force"
        await rig.serves(*names[1:], parity=0)
        await rig.start("r0")
        await rig.serves(*names, parity=0)

    assert play(tmp_path, names, len(voters), act).breaks == []


def test_the_minority_of_a_split_can_not_make_a_change(tmp_path: Path) -> None:
    """A voter is cut off from the two others, and an operator beside it asks for a change; meanwhile one that reaches
    the others makes another."""
    names = ["r0", "r1", "r2", "r3"]

    async def act(rig: Rig) -> None:
        version = (await rig.fleet("r3"))["state"]["version"]
        rig.cut_off("r0")
        answer = await rig.set(1, "--wait", "1", "--id", f"{version}-minority", by="r0")
        assert (answer["result"], answer["code"]) == ("unknown", 3), answer
        assert (await rig.set(1, by="r3"))["result"] == "in force"  # by what this operator reaches
        await rig.serves("r1", "r2", "r3", parity=1)
        rig.heal()
        await rig.serves(*names, parity=1)
        late = await rig.set(0, "--id", f"{version}-minority", by="r0")
        assert (late["result"], late["code"]) == ("not made", 4), late  # made for a state that is over
        await rig.serves(*names, parity=1)

    verdict = play(tmp_path, names, 3, act)
    assert verdict.breaks == []
    assert verdict.cases["changes in force"] == 1


def test_flapping_links(tmp_path: Path) -> None:
    """One link after another breaks or stalls, each until a client was served after that, while changes are made."""
    names = ["r0", "r1", "r2", "r3", "r4"]
    random = Random(7)

    async def act(rig: Rig) -> None:
        links = sorted(rig.relays)

        async def flap() -> None:
            for number in range(FLAPS):
                relay = rig.relays[random.choice(links)]
                rig.note("fault", what=f"flap {number}")
                relay.fault(random.choice(("there", "back")), random.choice(("stall", "drop", "cut")), 1.0)
                await rig.serves(random.choice(names))
                relay.heal()

        parity = 0
        async with anyio.create_task_group() as both:
            both.start_soon(flap)
            for _ in range(CHANGES):
                parity = 1 - parity
                answer = {"result": NOT_MADE}
                while (
                    answer["result"] == NOT_MADE
                ):  # the voter that was asked had not heard of the last change
                    answer = await rig.set(parity, "--wait", "30", until_known=True)
                assert answer["result"] == "in force", answer
        rig.heal()
        await rig.serves(*names, parity=parity)

    verdict = play(tmp_path, names, 3, act)
    assert verdict.breaks == []
    assert verdict.cases["changes in force"] == CHANGES


def test_forty_routers_and_a_slow_voter(tmp_path: Path) -> None:
    names = ["r0", "r1", "r2", *(f"r{number}" for number in range(3, 3 + MANY))]

    async def act(rig: Rig) -> None:
        rig.cut_off("r1", fault="delay", value=0.3)
        for parity in (1, 0):
            assert (await rig.set(parity, "--wait", "60"))["result"] == "in force"
            await rig.serves(*names, parity=parity)
        rig.heal()
        assert (await rig.set(1, "--wait", "60"))["result"] == "in force"
        await rig.serves(*names, parity=1)

    verdict = play(tmp_path, names, 3, act, lease=9.0)
    assert verdict.breaks == []
    assert verdict.cases["never mixed: sent once the first was served under the new policy"] > 3 * MANY
