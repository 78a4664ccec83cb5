"""Whatever clients do, the balancer counts just the attempts that there are, and a sound primary is used."""

from __future__ import annotations

from random import Random

import pytest

from banklift.pg import frames
from tests.platform_site import SETTINGS, Site, SiteClient, value

TERMINATE = b"X\0\0\0\x04"
FULL = frames.error_response("53300", "full") + frames.READY_FOR_QUERY
SHORT_READS, WRITES = 16, 4  # what a leaver sends at once


def send_much_and_leave(site: Site) -> None:
    """Send reads that will be refused, as members need longer than they have left, then writes and a Terminate."""
    leaver = SiteClient(site)
    reads = [site.read("any", timeout_ms=600) for _ in range(SHORT_READS)]
    writes = [site.write(f"l{number}") for number in range(WRITES)]
    leaver.handle.send(b"".join(frames.query(text.encode()) for text in [*reads, *writes]) + TERMINATE)


def write_regularly(site: Site, seconds: float) -> None:
    """Let usual clients write for a while, so that the primary was always heard of lately."""
    callers = [SiteClient(site) for _ in range(4)]
    for number in range(round(seconds / 0.02)):
        callers[number % len(callers)].handle.send(frames.query(site.write(f"u{number}").encode()))
        site.run(0.02)


def test_an_idle_primary_is_not_taken_as_silent_after_clients_that_sent_much_and_left() -> None:
    """The refusal of a read let more of its client's input be read: writes, and its leave. The balancer had counted an
    attempt of such a write by then, and it was never started and never ended. From the next silence on the primary was
    taken for silent, and all writes were refused for good."""
    site = Site(delay=0.02)
    write_regularly(site, 1.0)
    for name in ("r1", "r2"):
        site.members[name].answer_delay_seconds = 1.0
    for _ in range(4):
        send_much_and_leave(site)
        write_regularly(site, 1.0)
    site.run(4.0)
    assert not site.machine.balancer.members["p"].in_flight
    for number in range(10):
        assert value(SiteClient(site).query(site.write(f"v{number}"), 0.5))
    site.assert_no_leftovers()


# ---- at random

TROUBLE_SECONDS = 20.0
SERVED_AGAIN_SECONDS = 5.0  # after the end of all trouble


def play_trouble(site: Site, draw: Random) -> None:
    """Clients pipeline much and leave in any way at any moment, or stop half way; members are slow, silent or turn
    requests away; the primary changes."""
    end = site.world.now() + TROUBLE_SECONDS
    callers: list[SiteClient] = []
    while site.world.now() < end:
        kind = draw.random()
        if kind < 0.5 or not callers:
            caller = SiteClient(site)
            callers.append(caller)
            texts = [
                site.write(f"k{draw.randrange(9)}", timeout_ms=draw.choice([50, 600, 2000]))
                if draw.random() < 0.4
                else site.read(draw.choice(["view", "own", "any"]), timeout_ms=draw.choice([50, 600, 1200]))
                for _ in range(draw.choice([1, 5, 20, 40]))
            ]
            data = b"".join(frames.query(text.encode()) for text in texts)
            caller.handle.send(data + draw.choice([b"", TERMINATE, b"Q\0\0\1"]))
        elif kind < 0.7:
            callers.pop(draw.randrange(len(callers))).handle.close()
        elif kind < 0.9:
            draw.choice(list(site.members.values())).answer_delay_seconds = draw.choice([0.0, 0.02, 0.3, 3.0])
        else:
            member = draw.choice(list(site.members.values()))
            member.next_answers.append(lambda member, statement: draw.choice([FULL, None]))
        site.run(draw.choice([0.001, 0.02, 0.1, 0.4]) * draw.random())
    for caller in callers:
        caller.handle.close()
    for member in site.members.values():
        member.answer_delay_seconds = 0.01
        member.next_answers.clear()


def check_that_all_classes_are_served(site: Site) -> None:
    """Within `SERVED_AGAIN_SECONDS`, as no more than that may pass until sound members are used again."""
    end = site.world.now() + SERVED_AGAIN_SECONDS
    missing = {"save", "view", "own", "any"}
    while missing and site.world.now() < end:
        for name in sorted(missing):
            text = site.write("k") if name == "save" else site.read(name, timeout_ms=1200)
            if "D" in {kind for kind, _ in SiteClient(site).query(text, 0.2)}:
                missing.remove(name)
    assert not missing


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("seed", range(12))
def test_after_any_trouble_accounts_balance_and_all_classes_are_served_again(
    seed: int, may_cancel: bool
) -> None:
    allowed = {**SETTINGS["allowed"], "may_cancel": may_cancel}
    site = Site(delay=0.02, settings={**SETTINGS, "allowed": allowed})
    play_trouble(site, Random(seed))
    site.run(3.0)  # the longest that a member took
    check_that_all_classes_are_served(site)
    site.run(3.0)
    site.assert_no_leftovers()
    assert not any(member.in_flight for member in site.machine.balancer.members.values())
