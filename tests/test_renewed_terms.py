"""Terms of the whole fleet, each forced at its worst moment: what discovery tells after a call that came to nothing,
clients that have gone, cold members before routers that don't see one another, descriptors, starts."""

from __future__ import annotations

import math
import os
import resource
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from dataclasses import replace

import pytest

from banklift import Balancer, Entry, Listing, ListKind, SetTimer, State
from banklift.emulator.platform import PgNode
from banklift.emulator.world import World
from banklift.net.env import Handle, Peer
from banklift.net.sockets import MAX_SOCKETS_PER_BATCH, SocketEnv
from banklift.pg import frames
from banklift.proxy import events as ev
from tests import test_crowd
from tests.platform_site import SETTINGS, Caller, Site, value
from tests.surroundings import PATIENCE, pair, run
from tests.test_balance import SETTINGS as MODULE_SETTINGS
from tests.test_balance import of
from tests.test_rare_moments import draining, pushed
from tests.test_service import Platform, platform

__all__ = ["platform"]  # the fixture
TOLD = 6.0  # seconds with discovery in reach after which what it has counts as told


# ---- discovery after a call that came to nothing


class Mute(Peer):
    """Takes a connection and says nothing on it, ever."""

    def up(self, handle: Handle) -> None:
        pass

    def data(self, data: bytes) -> None:
        pass

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


def refuse(site: Site) -> Callable[[], object]:
    """Connections to discovery are refused; returns how it comes back."""
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    reset_watches(site)
    return site.catalogue.start


def fail(site: Site) -> Callable[[], object]:
    """Calls end with 503."""
    site.catalogue.failing = True
    reset_watches(site)
    return lambda: setattr(site.catalogue, "failing", False)


def never_connect(site: Site) -> Callable[[], object]:
    """Connections to it never come up, not even after its return."""
    reset_watches(site)
    site.world.late[site.catalogue.address] = math.inf
    return site.world.late.clear


def say_nothing(site: Site) -> Callable[[], object]:
    """It takes calls and answers none of them, not even after its return."""
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    site.catalogue.waiting.clear()
    mute = site.world.listen(site.catalogue.address, Mute)

    def back() -> None:
        mute.close()
        site.catalogue.start()

    return back


def reset_watches(site: Site) -> None:
    for peer, _ in site.catalogue.waiting:
        assert peer.handle is not None
        peer.handle.close()


@pytest.mark.parametrize("outage", [0.3, 7.7, 22.0, 26.5, 37.0, 40.0, 42.0])
@pytest.mark.parametrize("ask_within", [10.0, 120.0])
@pytest.mark.parametrize("down", [refuse, fail, never_connect, say_nothing])
def test_a_change_is_heard_of_within_six_seconds_of_discovery_being_back(
    down: Callable[[Site], Callable[[], object]], ask_within: float, outage: float
) -> None:
    """However often calls have failed by then, and though one may be out that will never be answered."""
    site = Site(settings={**SETTINGS, "rules": {**SETTINGS["rules"], "ask_within_s": ask_within}})
    back = down(site)
    site.run(outage)
    site.catalogue.list("r1", site.nodes["r1"].address, state="DRAINING")
    assert not draining(site)
    back()
    site.run(TOLD - 0.05)
    assert draining(site)


@pytest.mark.parametrize("outage", [7.7, 30.5, 45.5, 59.0])
@pytest.mark.parametrize("drain_grace", [1.0, 60.0])
@pytest.mark.parametrize("down", [refuse, fail, never_connect, say_nothing])
def test_where_lists_are_pushed_a_change_is_heard_of_as_soon(
    down: Callable[[Site], Callable[[], object]], drain_grace: float, outage: float
) -> None:
    """Waits are a part of the drain grace there, which may be a minute."""
    settings = pushed()
    site = Site(settings={**settings, "rules": {**settings["rules"], "drain_grace_s": drain_grace}})
    back = down(site)
    site.run(outage)
    site.catalogue.list("r1", site.nodes["r1"].address, state="DRAINING")
    assert not draining(site)
    back()
    site.run(TOLD - 0.05)
    assert draining(site)


@pytest.mark.parametrize("ask_within", [10.0, 120.0])
def test_waits_after_failed_calls_are_bounded_however_many_have_failed(ask_within: float) -> None:
    """Thousands of them are an outage of hours."""
    balancer = Balancer(replace(MODULE_SETTINGS, must_ask=True, ask_within=ask_within), 1)
    for number in range(3000):
        (timer,) = of(SetTimer, balancer.handle(1000.0 + 3 * number, Listing(ListKind.FAILED)))
        assert 0.0 < timer.delay <= 4.0


# ---- clients that have gone


def leave_by_close(caller: Caller) -> None:
    caller.handle.close()


def leave_by_terminate(caller: Caller) -> None:
    caller.handle.send(b"X\0\0\0\x04")


LEAVING = pytest.mark.parametrize("leave", [leave_by_close, leave_by_terminate])


def statements(site: Site) -> int:
    return sum(len(node.seen) for node in site.nodes.values())


@LEAVING
def test_what_is_held_does_not_leave_once_its_client_has_gone(leave: Callable[[Caller], None]) -> None:
    """Writes are held while no primary is known; the one whose client stays shows that they would be sent."""
    site = Site()
    gone, stays = Caller(site), Caller(site)
    for node in site.nodes.values():
        node.primary = False
    site.catalogue.list("p", site.nodes["p"].address, state="DRAINING")
    site.run(0.05)
    for caller, key in ((gone, "gone"), (stays, "stays")):
        caller.say(frames.query(site.write(key, "01").encode()), 0.0)
    site.run(0.05)
    assert len(site.machine.open) == 2 and not site.machine.flying
    before = statements(site)
    leave(gone)
    site.run(0.05)
    assert len(site.machine.open) == 1
    new = site.nodes["n"] = PgNode(site.world, "10.0.0.9:6432", primary=True).start()
    site.catalogue.list("n", new.address, writes=True)
    site.run(0.5)
    assert statements(site) == before + 1
    assert [b"'stays'" in text for text in new.seen] == [True] and value(stays.told()) == b"\x01"
    site.balanced()


@LEAVING
@pytest.mark.parametrize("may_cancel", [True, False])
def test_no_further_attempt_begins_for_a_client_that_has_gone(
    leave: Callable[[Caller], None], may_cancel: bool
) -> None:
    """The first one is out there when the client goes, and fails only then."""
    site = Site(
        settings={
            **SETTINGS,
            "allowed": {**SETTINGS["allowed"], "may_cancel": may_cancel, "probing": False},
        },
        delay=0.1,
    )
    caller = Caller(site)
    for node in site.nodes.values():
        node.answers.append(lambda node, statement: frames.error("XX000", "broken") + frames.READY)
    caller.say(frames.query(site.read("any", "k").encode()), 0.05)
    assert statements(site) == 1 and len(site.machine.flying) == 1
    leave(caller)
    site.run(1.0)
    assert statements(site) == 1
    site.balanced()


def test_a_burst_of_leavers_frees_no_place_for_one_of_them() -> None:
    """What is held waits for work to end; many leave in one instant, and none of them is sent in place of another."""
    site = Site(
        sockets=512,
        world=World(1, one_way=0.0),
        settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "probing": False}},
    )
    callers = [Caller(site) for _ in range(60)]

    def all_ask() -> None:
        for number, caller in enumerate(callers):
            caller.handle.send(frames.query(site.write(f"k{number}", "01").encode()))

    site.nodes["p"].delay = 0.02
    all_ask()
    site.run(1.0)  # so there are connections that could be used at once
    site.nodes["p"].delay = 5.0
    balancer = site.machine.balancer
    balancer.members["p"].rate, balancer.pace_time = 0.0, 0.01 * balancer.pace_load  # a few are many
    before = statements(site)
    all_ask()
    site.run(0.02)
    sent = statements(site)
    assert 0 < sent - before < 40 and len(site.machine.open) == len(callers)
    assert len(site.machine.nodes["p"].links) > 40
    for caller in callers:
        caller.handle.close()
    site.run(0.3)
    assert statements(site) == sent
    site.balanced()


class Noting(Peer):
    """Notes what it is told, by its name, among what others are told."""

    def __init__(self, name: str, notes: list[str]) -> None:
        self.name, self.notes = name, notes

    def up(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.notes.append(f"{self.name} data")

    def eof(self) -> None:
        self.notes.append(f"{self.name} eof")

    def half_closed(self) -> None:
        self.notes.append(f"{self.name} gone")

    def lost(self, reason: str) -> None:
        self.notes.append(f"{self.name} lost")


@pytest.mark.parametrize("alone", [True, False])
@pytest.mark.parametrize("asked", [True, False])
def test_after_a_busy_time_all_that_have_gone_are_told_before_anything_else(alone: bool, asked: bool) -> None:
    """Many connections are ready when this process looks again; the last ones have closed, with a request unread."""
    notes: list[str] = []
    stay, go = 3 * MAX_SOCKETS_PER_BATCH, 2 * MAX_SOCKETS_PER_BATCH
    peers: list[Peer] = [Noting("stays", notes) for _ in range(stay)]
    peers += [Noting("goes", notes) for _ in range(go)]
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(pair(env, peers, stay + go))
        for caller in callers[:stay]:
            caller.sendall(b"question")
        for caller in callers[stay:]:
            if asked:
                caller.sendall(b"question")
            caller.close()
        return lambda: notes.count("stays data") == stay

    run(act, alone)
    assert notes.index("stays data") >= go
    before = notes[: notes.index("stays data")]
    assert before.count("goes gone") == go and before.index("goes gone") == 0
    for caller in callers[:stay]:
        caller.close()


def test_what_a_client_that_has_gone_left_unread_is_not_begun() -> None:
    site = Site()
    caller = Caller(site)
    assert value(caller.ask(site.write("k", "01")))
    before = statements(site)
    (client,) = site.front.clients
    site.host.tell(ev.ClientHalfClosed(client))
    site.host.tell(ev.ClientData(client, frames.query(site.write("k", "02").encode())))
    site.run(1.0)
    assert statements(site) == before
    site.balanced()


# ---- cold members before routers that don't see one another


class Watched(test_crowd.Fleet):
    """Notes the most that a cold member was sent beyond N + 2 x root of N + 2 within the time of the rule, N being what
    the settings allow it then."""

    excess = -math.inf
    sent_cold = 0

    def send(self, router: int, request: int, member: str) -> None:
        super().send(router, request, member)
        part = self.part(member)
        if part < 1:
            self.sent_cold += 1
            allowed = MODULE_SETTINGS.fall_multiple * part * test_crowd.CAPACITY * MODULE_SETTINGS.fall_time
            bound = allowed + 2 * math.sqrt(allowed) + 2
            self.excess = max(self.excess, len(self.sent[member]) - bound)


@pytest.mark.parametrize("routers", [20, 30])
@pytest.mark.parametrize("capacity", [45.0, 6.0, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_members_bear_what_all_routers_send_together(
    monkeypatch: pytest.MonkeyPatch, routers: int, capacity: float, seed: int
) -> None:
    """All members but one are replaced by cold ones, the primary too, under a burst of four times the usual. Where
    routers keep back nothing (neither `open` nor `room`) all 18 go beyond the bound."""
    monkeypatch.setattr(test_crowd, "CAPACITY", capacity)
    monkeypatch.setattr(test_crowd, "RATE", 2.4 * capacity)
    fleet = Watched(seed, routers)
    fleet.offer(4.0)
    fleet.run(4.0)
    started, fleet.primary = fleet.now, "c1"
    fleet.members |= dict.fromkeys(("c1", "c2", "c3"), started)
    drained = tuple(Entry(name, 1, State.DRAINING) for name in ("p", "r1", "r2"))
    cold = tuple(Entry(name, 1, started=started) for name in ("c1", "c2", "c3"))
    for router in range(routers):  # each hears of it for itself
        fleet.at(
            fleet.now + 0.5 * fleet.random.random(),
            lambda router=router: fleet.tell(router, Listing(ListKind.CHANGES, drained + cold)),  # type: ignore[misc]
        )
    fleet.offer(test_crowd.COLD_TIME, 4.0)
    fleet.run(test_crowd.COLD_TIME)
    assert fleet.sent_cold > 10 * capacity
    assert fleet.excess <= 0.0


# ---- descriptors and starts


def test_idle_clients_that_fill_the_descriptors_do_not_keep_a_router_from_discovery(
    platform: Platform,
) -> None:
    """They take every place while discovery is down, and each that is closed comes again."""
    sockets = 96
    platform.config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    platform.portal.call(platform.catalogue.listener.close)  # type: ignore[union-attr]
    platform.process = subprocess.Popen(
        [sys.executable, "-m", "banklift.net.service"],
        env=platform.environment(),
        stderr=subprocess.PIPE,
        text=True,
    )
    resource.prlimit(platform.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
    platform.said("discovery failed")
    called, shut, over = threading.Event(), threading.Event(), threading.Event()
    host, _, port = platform.listen.partition(":")

    def rest() -> None:
        """One client after another that says nothing, for as long as it takes."""
        while not over.is_set():
            with socket.create_connection((host, int(port)), timeout=PATIENCE) as sock:
                sock.settimeout(0.2)
                while not over.is_set():
                    try:
                        sock.recv(1000)
                    except TimeoutError:
                        continue
                    except OSError:
                        pass
                    shut.set()
                    break

    clients = [threading.Thread(target=rest) for _ in range(2 * sockets)]
    for client in clients:
        client.start()
    try:
        assert shut.wait(60)  # every place was taken
        platform.catalogue.on_call = called.set
        platform.portal.call(platform.catalogue.start)
        assert called.wait(60)
        assert platform.process.poll() is None
    finally:
        over.set()
        for client in clients:
            client.join()


READY_WITHIN = 1.0  # seconds of processor time: ten seconds for a router that has a tenth of a core


@pytest.mark.parametrize("discovery", ["refuses", "says nothing"])
def test_a_router_that_starts_is_ready_whatever_discovery_does(platform: Platform, discovery: str) -> None:
    """It knows no list either. Processor time is measured, as the machine may be busy with other things."""
    mute = socket.socket()
    mute.bind(("127.0.0.1", 0))
    if discovery == "says nothing":
        mute.listen()
    platform.config["discovery"] = f"127.0.0.1:{mute.getsockname()[1]}"
    del platform.config["known"]
    platform.start()
    assert platform.process is not None
    host, _, port = platform.listen.partition(":")
    with socket.create_connection((host, int(port)), timeout=60) as front:
        front.sendall(frames.startup("backend", "store") + frames.query(b""))
        answer = b""
        while frames.EMPTY + frames.READY not in answer:
            part = front.recv(1000)
            assert part, answer
            answer += part
    with open(f"/proc/{platform.process.pid}/stat") as file:
        user, system = file.read().rpartition(")")[2].split()[11:13]
    mute.close()
    assert (int(user) + int(system)) / os.sysconf("SC_CLK_TCK") < READY_WITHIN
