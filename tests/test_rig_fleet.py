"""A fleet of real processes with injected faults; the invariants are checked on what clients and members saw."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import anyio
import pytest

from banklift.net.env import Peer
from banklift.net.sockets import SocketEnv
from banklift.rig.operator_tool import UNKNOWN, PolicyAnswer, ToolFailed, run_tool
from banklift.rig.processes import Rig, StartFailed
from tests.rig_play import play


def test_port_of_a_member_stays_reserved_while_it_is_down(tmp_path: Path) -> None:
    """A voter could not listen once: its port had gone to another test between the rig's choice and its start."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            env = SocketEnv(tasks)
            rig = Rig(env, tmp_path, ["r0"], 1, lease=3.0)
            address = "127.0.0.1", rig.ports["r0"]
            with socket.socket() as stranger, pytest.raises(OSError, match="in use"):
                stranger.bind(address)
            env.listen(f"{address[0]}:{address[1]}", Peer).close()  # as the member does
            await rig.close()
            with socket.socket() as stranger:
                stranger.bind(address)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_change_that_no_voter_answers_is_unknown_and_an_invalid_one_is_refused(tmp_path: Path) -> None:
    """A change without an outcome ended a CI run with a KeyError that hid what the operator's tool had said."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            rig = Rig(SocketEnv(tasks), tmp_path, ["r0"], 1, lease=3.0)
            answer = await rig.set_policy(1)  # r0 is not started
            assert (answer.result, answer.id, answer.code) == (UNKNOWN, "", 3)
            assert "no voter answers" in answer.errors
            with pytest.raises(ToolFailed, match=r"exit 2: .*a policy can't change it"):
                await rig.set_policy(1, listen="x:1")
            await rig.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_change_is_in_force_everywhere_or_nowhere(tmp_path: Path) -> None:
    """A fleet of five routers, three of them voters, makes a change that all accept, one that a router refuses, one
    while a router is down, and one in the middle of which a voter is killed."""
    names = ["r0", "r1", "r2", "r3", "r4"]

    async def scenario(rig: Rig) -> None:
        assert (await rig.set_policy(1)).result == "in force"
        await rig.wait_until_serving(*names, variant=1)

        await rig.kill("r4")
        await rig.start("r4", descriptors=256)
        await rig.wait_until_serving("r4")
        refused = await rig.set_policy(0, limits={"clients": 5000})
        assert (refused.result, refused.code) == ("aborted", 1)
        assert any(reason.startswith("r4: $.limits.clients: 5000 clients") for reason in refused.reasons), (
            refused
        )
        assert all(reason.startswith("r4: ") for reason in refused.reasons)
        await rig.wait_until_serving(*names, variant=1)

        await rig.kill("r4")
        assert (await rig.set_policy(0)).result == "in force"
        await rig.start("r4")
        await rig.wait_until_serving(*names, variant=0)

        checked = rig.log("r1").count("policy checked")

        async def kill_in_the_change() -> None:
            await rig.wait_until(lambda: rig.log("r1").count("policy checked") > checked)
            await rig.kill("r1")

        async with anyio.create_task_group() as both:
            both.start_soon(kill_in_the_change)
            assert (await rig.set_policy(1)).result == "in force"
        await rig.wait_until_serving("r0", "r2", "r3", "r4", variant=1)
        await rig.start("r1")
        await rig.wait_until_serving(*names, variant=1)

    verdict = play(tmp_path, names, 3, scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == 3 and verdict.case_counts["changes not in force"] == 1
    for case in (
        "never mixed: requests sent after the first was served under the new policy",
        "in force everywhere: requests sent after the change was reported as in force",
        "nowhere: requests sent during or after a change that is not in force",
    ):
        assert verdict.case_counts[case] > 20, verdict.case_counts


def test_routers_with_a_conflicting_configuration_are_refused(tmp_path: Path) -> None:
    """A router ends at its start, with a reason, if another one has its name, if it is configured with other voters,
    another fleet or another lease, or if its state folder holds the state of another voter."""
    names = ["r0", "r1", "r2", "r3"]

    async def scenario(rig: Rig) -> None:
        async def refused(name: str, **changes: Any) -> str:
            process = rig.processes.get(name)
            try:
                await rig.start(name, **changes)
            except StartFailed as error:
                assert error.code == 2, error.text
                return error.text
            with anyio.fail_after(60):  # it listened before the fleet refused it
                assert await rig.processes[name].wait() == 2
            text = rig.log(name)
            if process is not None:
                rig.processes[name + " twice"], rig.processes[name] = rig.processes[name], process
            return text

        addresses = dict(rig.addresses)
        assert "name: a router 'r3' is here already" in await refused("r3", listen="127.0.0.1:0")
        rig.addresses.update(addresses)
        voters = {**{name: f"127.0.0.1:{port}" for name, port in rig.ports.items()}}
        for name, fleet, reason in (
            (
                "x1",
                {"voters": {"r0": voters["r0"], "r1": voters["r1"]}},
                "fleet.voters: r0, r1; here they are r0, r1, r2",
            ),
            ("x2", {"name": "other", "voters": voters}, "fleet 'other', here it is 'rig'"),
            ("x3", {"lease": 9.0, "voters": voters}, "fleet.lease: 9 s, here it is 3 s"),
        ):
            rig.names.append(name)
            for voter in rig.voters:
                rig.relays[name, voter] = rig.relays["r3", voter]
            assert reason in await refused(name, fleet=fleet)
        await rig.kill("r2")
        await rig.kill("r1")
        rig.state_folder("r2").rename(rig.folder / "r2.kept")
        rig.state_folder("r1").rename(rig.state_folder("r2"))
        before = {path.name: path.read_bytes() for path in rig.state_folder("r2").iterdir()}
        assert "the state of voter 'r1' of fleet 'rig', and this is 'r2'" in await refused("r2")
        after = {path.name: path.read_bytes() for path in rig.state_folder("r2").iterdir()}
        assert after == before  # the other voter's state was not overwritten
        rig.state_folder("r2").rename(rig.state_folder("r1"))
        (rig.folder / "r2.kept").rename(rig.state_folder("r2"))
        await rig.start("r1")
        await rig.start("r2")
        await rig.wait_until_serving("r0", "r1", "r2", "r3")

    assert play(tmp_path, names, 3, scenario).violations == []


def test_paused_partitioned_and_restarted_routers_serve_no_old_policy(tmp_path: Path) -> None:
    """A router is paused by SIGSTOP across a change and resumed. A router receives nothing, though the others receive
    what it sends. All voters are killed at once, and one of them is started with its state from before the last change.
    A voter is started with an empty state folder."""
    names = ["r0", "r1", "r2", "r3", "r4"]

    async def scenario(rig: Rig) -> None:
        rig.pause("r4")
        assert (await rig.set_policy(1)).result == "in force"
        rig.resume("r4")  # its client has sent requests all the time
        await rig.wait_until_serving(*names, variant=1)

        rig.inject_link_fault("r3", "back")
        assert (await rig.set_policy(0)).result == "in force"
        rig.heal()
        await rig.wait_until_serving(*names, variant=0)

        earlier = rig.state_files("r1")
        assert (await rig.set_policy(1)).result == "in force"
        await rig.wait_until_serving(*names, variant=1)
        for name in ("r0", "r1", "r2"):
            await rig.kill(name)
        for path in rig.state_folder("r1").iterdir():
            path.write_bytes(earlier[path.name])
        async with anyio.create_task_group() as starts:
            for name in ("r0", "r1", "r2"):
                starts.start_soon(rig.start, name)
        await rig.wait_until_serving(*names, variant=1)
        assert (await rig.set_policy(0)).result == "in force"
        await rig.wait_until_serving(*names, variant=0)

        await rig.kill("r0")
        for path in rig.state_folder("r0").iterdir():
            path.unlink()
        await rig.start("r0")
        await rig.wait_until_serving(*names, variant=0)
        assert (await rig.set_policy(1)).result == "in force"
        await rig.wait_until_serving(*names, variant=1)

    verdict = play(tmp_path, names, 3, scenario)
    assert verdict.violations == []
    assert verdict.case_counts["changes in force"] == 5
    assert (
        verdict.case_counts["never mixed: requests sent after the first was served under the new policy"]
        > 100
    ), verdict.case_counts


def test_change_is_made_once_however_often_it_is_requested(tmp_path: Path) -> None:
    """A change that is requested while another one is under way is refused. One that is requested again by the id of a
    change that was made gets its outcome, and is not made again. The tools that show and check policies work, and
    policies with errors are refused."""
    names = ["r0", "r1", "r2", "r3"]

    async def scenario(rig: Rig) -> None:
        version = (await rig.show_fleet("r2")).state.version
        rig.pause("r3")  # so that the change waits for the end of r3's lease
        answers: list[PolicyAnswer] = []

        async def request_change() -> None:
            answers.append(await rig.set_policy(1))

        async with anyio.create_task_group() as both:
            both.start_soon(request_change)
            checked = rig.log("r1").count("policy checked")
            await rig.wait_until(lambda: rig.log("r1").count("policy checked") > checked)
            other = await run_tool(
                "policy",
                "set",
                str(next(rig.folder.glob("policy-*.json"))),
                "--config",
                str(rig.write_config("r2")),
                "--json",
                "--id",
                f"{version}-other",
            )
            # the first change is still under way; or, on a slow machine, it is over, and the other request is for the
            # version before it
            assert other.code == 4 and (
                "under way" in other.errors or f"made for version {version}" in other.errors
            ), other
        first = answers[0]
        assert first.result == "in force"
        rig.resume("r3")
        path = next(rig.folder.glob("policy-*.json"))
        again = await run_tool(
            "policy", "set", str(path), "--config", str(rig.write_config("r2")), "--json", "--id", first.id
        )
        assert again.code == 0 and '"in force"' in again.output, again
        shown = await run_tool("policy", "show", "--config", str(rig.write_config("r2")))
        assert '"epoch": 2' in shown.output, shown  # the change was made once
        dry = await run_tool("policy", "check", str(path), "--config", str(rig.write_config("r2")))
        assert dry.code == 0 and dry.output.startswith("fine"), dry
        fleet = await rig.show_fleet()
        assert {holder.name for holder in fleet.holders} == set(names) and fleet.state.epoch == 2
        bad = rig.folder / "bad.json"
        for text, reason in (
            ("{", "bad.json"),
            ('{"classes": []}', "missing required field"),
            ('{"listen": "x:1"}', "a policy can't change it"),
        ):
            bad.write_text(text)
            refused = await run_tool("policy", "set", str(bad), "--config", str(rig.write_config("r2")))
            assert refused.code == 2 and reason in refused.errors, refused

    assert play(tmp_path, names, 3, scenario).violations == []
