"""Rules for a whole fleet of routers, each tested at its worst moment.

- After failed calls to discovery, waits that grew too long, or a call that is never answered, would delay the notice of
  a change beyond the time in which it must be known.
- Requests of clients that have left, held or unread, must not be sent, nor retried.
- Several routers that don't know of each other's requests could together overload members that have just started.
- Idle clients could use up the descriptors that discovery needs, and a slow discovery could delay a router's start.
"""

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
from banklift.emulator.platform import PgMember
from banklift.emulator.world import World
from banklift.net.env import Handle, Peer
from banklift.net.sockets import MAX_SOCKETS_PER_BATCH, SocketEnv
from banklift.pg import frames
from banklift.proxy import events as ev
from banklift.rig.processes import reserve_port
from tests import test_crowd
from tests.platform_site import SETTINGS, Site, SiteClient, value
from tests.surroundings import TEST_TIMEOUT_SECONDS, open_connections, run_until
from tests.test_balance import SETTINGS as MODULE_SETTINGS
from tests.test_balance import actions_of_type
from tests.test_rare_moments import is_draining, pushed_settings
from tests.test_service import Platform, platform

__all__ = ["platform"]  # the fixture
KNOWN_AFTER_SECONDS = 6.0  # once discovery is reachable for this long, the router has to know its changes


# ---- discovery after a failed call


class SilentPeer(Peer):
    """Accepts a connection and never answers on it."""

    def connected(self, handle: Handle) -> None:
        pass

    def data(self, data: bytes) -> None:
        pass

    def eof(self) -> None:
        pass

    def lost(self, reason: str) -> None:
        pass


def refuse_connections(site: Site) -> Callable[[], object]:
    """Let discovery refuse connections. Like the three functions below, returns a function that ends the outage."""
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    reset_watches(site)
    return site.catalogue.start


def fail_calls(site: Site) -> Callable[[], object]:
    """Let discovery answer calls with status 503."""
    site.catalogue.failing = True
    reset_watches(site)
    return lambda: setattr(site.catalogue, "failing", False)


def never_connect(site: Site) -> Callable[[], object]:
    """Let connections to discovery hang; those of the outage also hang after it."""
    reset_watches(site)
    site.world.connect_delays[site.catalogue.address] = math.inf
    return site.world.connect_delays.clear


def never_answer(site: Site) -> Callable[[], object]:
    """Let discovery accept calls and answer none; those of the outage stay unanswered after it."""
    assert site.catalogue.listener is not None
    site.catalogue.listener.close()
    site.catalogue.long_polls.clear()
    silent_listener = site.world.listen(site.catalogue.address, SilentPeer)

    def end_outage() -> None:
        silent_listener.close()
        site.catalogue.start()

    return end_outage


def reset_watches(site: Site) -> None:
    """Break the connections of all watches that are open."""
    for peer, _ in site.catalogue.long_polls:
        assert peer.handle is not None
        peer.handle.close()


@pytest.mark.parametrize("outage", [0.3, 7.7, 22.0, 26.5, 37.0, 40.0, 42.0])
@pytest.mark.parametrize("ask_within", [10.0, 120.0])
@pytest.mark.parametrize("start_outage", [refuse_connections, fail_calls, never_connect, never_answer])
def test_a_change_is_known_within_six_seconds_after_an_outage_of_discovery(
    start_outage: Callable[[Site], Callable[[], object]], ask_within: float, outage: float
) -> None:
    """This holds however many calls have failed, and even if a call is pending that will never be answered."""
    site = Site(settings={**SETTINGS, "rules": {**SETTINGS["rules"], "ask_within_s": ask_within}})
    end_outage = start_outage(site)
    site.run(outage)
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    assert not is_draining(site)
    end_outage()
    site.run(KNOWN_AFTER_SECONDS - 0.05)
    assert is_draining(site)


@pytest.mark.parametrize("outage", [7.7, 30.5, 45.5, 59.0])
@pytest.mark.parametrize("drain_grace", [1.0, 60.0])
@pytest.mark.parametrize("start_outage", [refuse_connections, fail_calls, never_connect, never_answer])
def test_a_change_is_known_as_soon_where_lists_are_pushed(
    start_outage: Callable[[Site], Callable[[], object]], drain_grace: float, outage: float
) -> None:
    """There the waits between calls are a fraction of the drain grace, which may be a minute."""
    settings = pushed_settings()
    site = Site(settings={**settings, "rules": {**settings["rules"], "drain_grace_s": drain_grace}})
    end_outage = start_outage(site)
    site.run(outage)
    site.catalogue.update("r1", site.members["r1"].address, state="DRAINING")
    assert not is_draining(site)
    end_outage()
    site.run(KNOWN_AFTER_SECONDS - 0.05)
    assert is_draining(site)


@pytest.mark.parametrize("ask_within", [10.0, 120.0])
def test_waits_after_failed_calls_are_bounded_however_many_have_failed(ask_within: float) -> None:
    """Thousands of failures correspond to an outage of hours."""
    balancer = Balancer(replace(MODULE_SETTINGS, must_ask=True, ask_within=ask_within), 1)
    for number in range(3000):
        (timer,) = actions_of_type(SetTimer, balancer.handle(1000.0 + 3 * number, Listing(ListKind.FAILED)))
        assert 0.0 < timer.delay <= 4.0


# ---- clients that have left


def leave_by_close(caller: SiteClient) -> None:
    caller.handle.close()


def leave_by_terminate(caller: SiteClient) -> None:
    caller.handle.send(b"X\0\0\0\x04")


LEAVING = pytest.mark.parametrize("leave", [leave_by_close, leave_by_terminate])


def statements(site: Site) -> int:
    """The number of statements that all members have received."""
    return sum(len(member.statements) for member in site.members.values())


@LEAVING
def test_a_held_request_is_not_sent_once_its_client_has_left(leave: Callable[[SiteClient], None]) -> None:
    """Writes are held while no primary is known. The write of a client that stays shows that they are sent later."""
    site = Site()
    leaving, staying = SiteClient(site), SiteClient(site)
    for member in site.members.values():
        member.primary = False
    site.catalogue.update("p", site.members["p"].address, state="DRAINING")
    site.run(0.05)
    for caller, key in ((leaving, "leaving"), (staying, "staying")):
        caller.send(frames.query(site.write(key, "01").encode()), 0.0)
    site.run(0.05)
    assert len(site.machine.pending) == 2 and not site.machine.in_flight
    before = statements(site)
    leave(leaving)
    site.run(0.05)
    assert len(site.machine.pending) == 1
    new_primary = site.members["n"] = PgMember(site.world, "10.0.0.9:6432", primary=True).start()
    site.catalogue.update("n", new_primary.address, writes=True)
    site.run(0.5)
    assert statements(site) == before + 1
    assert [b"'staying'" in text for text in new_primary.statements] == [True] and value(
        staying.received_messages()
    ) == b"\x01"
    site.assert_no_leftovers()


@LEAVING
@pytest.mark.parametrize("may_cancel", [True, False])
def test_no_further_attempt_is_sent_for_a_client_that_has_left(
    leave: Callable[[SiteClient], None], may_cancel: bool
) -> None:
    """The first attempt is in flight when the client leaves, and fails after that."""
    site = Site(
        settings={
            **SETTINGS,
            "allowed": {**SETTINGS["allowed"], "may_cancel": may_cancel, "probing": False},
        },
        delay=0.1,
    )
    caller = SiteClient(site)
    for member in site.members.values():
        member.next_answers.append(
            lambda member, statement: frames.error_response("XX000", "broken") + frames.READY_FOR_QUERY
        )
    caller.send(frames.query(site.read("any", "k").encode()), 0.05)
    assert statements(site) == 1 and len(site.machine.in_flight) == 1
    leave(caller)
    site.run(1.0)
    assert statements(site) == 1
    site.assert_no_leftovers()


def test_when_many_clients_leave_at_once_none_of_their_held_requests_is_sent() -> None:
    """Requests are held until others end. When all clients leave at once, the cancelled requests in flight must not let
    held requests of other clients that leave go out."""
    site = Site(
        sockets=512,
        world=World(1, one_way=0.0),
        settings={**SETTINGS, "allowed": {**SETTINGS["allowed"], "probing": False}},
    )
    callers = [SiteClient(site) for _ in range(60)]

    def all_send() -> None:
        for number, caller in enumerate(callers):
            caller.handle.send(frames.query(site.write(f"k{number}", "01").encode()))

    site.members["p"].answer_delay_seconds = 0.02
    all_send()
    site.run(1.0)  # opens links that held requests could use at once
    site.members["p"].answer_delay_seconds = 5.0
    balancer = site.machine.balancer
    # a few requests in flight count as many
    balancer.members["p"].answer_rate, balancer.pace_latency = 0.0, 0.01 * balancer.pace_load
    before = statements(site)
    all_send()
    site.run(0.02)
    sent = statements(site)
    assert 0 < sent - before < 40 and len(site.machine.pending) == len(callers)
    assert len(site.machine.members["p"].links) > 40
    for caller in callers:
        caller.handle.close()
    site.run(0.3)
    assert statements(site) == sent
    site.assert_no_leftovers()


class RecordingPeer(Peer):
    """Records its events under its name in a list that it shares with other peers."""

    def __init__(self, name: str, events: list[str]) -> None:
        self.name, self.events = name, events

    def connected(self, handle: Handle) -> None:
        self.handle = handle

    def data(self, data: bytes) -> None:
        self.events.append(f"{self.name} data")

    def eof(self) -> None:
        self.events.append(f"{self.name} eof")

    def half_closed(self) -> None:
        self.events.append(f"{self.name} half-closed")

    def lost(self, reason: str) -> None:
        self.events.append(f"{self.name} lost")


@pytest.mark.parametrize("exclusive_loop", [True, False])
@pytest.mark.parametrize("with_request", [True, False])
def test_closes_by_clients_are_reported_before_all_other_events(
    exclusive_loop: bool, with_request: bool
) -> None:
    """Many connections are ready at the next poll. The last ones have closed, some with an unread request."""
    events: list[str] = []
    staying, leaving = 3 * MAX_SOCKETS_PER_BATCH, 2 * MAX_SOCKETS_PER_BATCH
    peers: list[Peer] = [RecordingPeer("staying", events) for _ in range(staying)]
    peers += [RecordingPeer("leaving", events) for _ in range(leaving)]
    callers: list[socket.socket] = []

    def act(env: SocketEnv) -> Callable[[], bool]:
        callers.extend(open_connections(env, peers, staying + leaving))
        for caller in callers[:staying]:
            caller.sendall(b"question")
        for caller in callers[staying:]:
            if with_request:
                caller.sendall(b"question")
            caller.close()
        return lambda: events.count("staying data") == staying

    run_until(act, exclusive_loop)
    assert events.index("staying data") >= leaving
    before = events[: events.index("staying data")]
    assert before.count("leaving half-closed") == leaving and before.index("leaving half-closed") == 0
    for caller in callers[:staying]:
        caller.close()


def test_an_unread_request_of_a_client_that_has_left_is_not_sent() -> None:
    site = Site()
    caller = SiteClient(site)
    assert value(caller.query(site.write("k", "01")))
    before = statements(site)
    (client,) = site.front.clients
    site.host.handle_event(ev.ClientHalfClosed(client))
    site.host.handle_event(ev.ClientData(client, frames.query(site.write("k", "02").encode())))
    site.run(1.0)
    assert statements(site) == before
    site.assert_no_leftovers()


# ---- cold members and routers that don't know of each other's requests


class MeasuredFleet(test_crowd.Fleet):
    """Records by how much the requests to a cold member exceeded N + 2 * sqrt(N) + 2 at worst, where N is the number
    that the settings allow the member within the time of the rule."""

    excess = -math.inf
    sent_to_cold = 0

    def send(self, router: int, request: int, member: str) -> None:
        super().send(router, request, member)
        share = self.capacity_share(member)
        if share < 1:
            self.sent_to_cold += 1
            allowed = MODULE_SETTINGS.fall_multiple * share * test_crowd.CAPACITY * MODULE_SETTINGS.fall_time
            bound = allowed + 2 * math.sqrt(allowed) + 2
            self.excess = max(self.excess, len(self.sent_times[member]) - bound)


@pytest.mark.parametrize("routers", [20, 30])
@pytest.mark.parametrize("capacity", [45.0, 6.0, 2.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_members_bear_what_all_routers_send_together(
    monkeypatch: pytest.MonkeyPatch, routers: int, capacity: float, seed: int
) -> None:
    """All members but one, the primary too, are replaced by cold ones during a burst of four times the usual load.

    If the routers held nothing back (neither `admits` nor `has_capacity`), all 18 cases would exceed the bound.
    """
    monkeypatch.setattr(test_crowd, "CAPACITY", capacity)
    monkeypatch.setattr(test_crowd, "RATE", 2.4 * capacity)
    fleet = MeasuredFleet(seed, routers)
    fleet.offer(4.0)
    fleet.run(4.0)
    started, fleet.primary = fleet.now, "c1"
    fleet.members |= dict.fromkeys(("c1", "c2", "c3"), started)
    drained = tuple(Entry(name, 1, State.DRAINING) for name in ("p", "r1", "r2"))
    cold = tuple(Entry(name, 1, started=started) for name in ("c1", "c2", "c3"))
    for router in range(routers):  # each at its own time
        fleet.at(
            fleet.now + 0.5 * fleet.random.random(),
            lambda router=router: fleet.tell(router, Listing(ListKind.CHANGES, drained + cold)),  # type: ignore[misc]
        )
    fleet.offer(test_crowd.COLD_TIME, 4.0)
    fleet.run(test_crowd.COLD_TIME)
    assert fleet.sent_to_cold > 10 * capacity
    assert fleet.excess <= 0.0


# ---- descriptors and start-up


def test_idle_clients_that_use_up_the_descriptors_do_not_keep_a_router_from_discovery(
    platform: Platform,
) -> None:
    """They use all connections for clients while discovery is down, and connect again when they are closed."""
    sockets = 96
    platform.config["limits"] = {"cores": 1.0, "memory_mb": 192, "sockets": sockets}
    platform.portal.call(platform.catalogue.listener.close)  # type: ignore[union-attr]
    catalogue_port = reserve_port(platform.catalogue.address)  # one of the many clients could get it
    platform.process = subprocess.Popen(
        [sys.executable, "-m", "banklift.net.service"],
        env=platform.environment(),
        stderr=subprocess.PIPE,
        text=True,
    )
    resource.prlimit(platform.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
    platform.wait_for_log("discovery failed")
    called, closed, stopping = threading.Event(), threading.Event(), threading.Event()
    host, _, port = platform.listen.partition(":")

    def stay_idle() -> None:
        """Connect without sending anything, again after each close, until the test stops."""
        while not stopping.is_set():
            with socket.create_connection((host, int(port)), timeout=TEST_TIMEOUT_SECONDS) as sock:
                sock.settimeout(0.2)
                while not stopping.is_set():
                    try:
                        sock.recv(1000)
                    except TimeoutError:
                        continue
                    except OSError:
                        pass
                    closed.set()
                    break

    clients = [threading.Thread(target=stay_idle) for _ in range(2 * sockets)]
    for client in clients:
        client.start()
    try:
        assert closed.wait(60)  # all connections for clients were in use
        platform.catalogue.on_call = called.set
        platform.portal.call(platform.catalogue.start)
        assert called.wait(60)
        assert platform.process.poll() is None
    finally:
        catalogue_port.close()
        stopping.set()
        for client in clients:
            client.join()


# processor time of a start; ten seconds for a router that has a tenth of a core
START_PROCESSOR_SECONDS = 1.0


@pytest.mark.parametrize("discovery", ["refuses", "never answers"])
def test_a_router_starts_in_time_whatever_discovery_does(platform: Platform, discovery: str) -> None:
    """It has no list of members either. Processor time is measured, as the machine may be busy with other work."""
    silent_socket = socket.socket()
    silent_socket.bind(("127.0.0.1", 0))
    if discovery == "never answers":
        silent_socket.listen()
    platform.config["discovery"] = f"127.0.0.1:{silent_socket.getsockname()[1]}"
    del platform.config["known"]
    platform.start()
    assert platform.process is not None
    host, _, port = platform.listen.partition(":")
    with socket.create_connection((host, int(port)), timeout=60) as client:
        client.sendall(frames.startup("backend", "store") + frames.query(b""))
        answer = b""
        while frames.EMPTY_QUERY_RESPONSE + frames.READY_FOR_QUERY not in answer:
            chunk = client.recv(1000)
            assert chunk, answer
            answer += chunk
    with open(f"/proc/{platform.process.pid}/stat") as file:
        user, system = file.read().rpartition(")")[2].split()[11:13]
    silent_socket.close()
    assert (int(user) + int(system)) / os.sysconf("SC_CLK_TCK") < START_PROCESSOR_SECONDS
