"""Measures what the list of members costs a router: processor time and memory against the number of members.

One router's state machine, for the platform's protocol, is driven without sockets in virtual time. The list arrives as
discovery sends it, in HTTP and JSON. Members form groups of three, a primary and two replicas. They are simulated: only
a member that gets a request or a probe sends anything.
"""

from __future__ import annotations

import gc
import heapq
import json
import time
import tracemalloc
from dataclasses import dataclass

import h11

from banklift.discovery.client import CallResult, CatalogueClient, Send
from banklift.pg import frames
from banklift.pg.front import PgFront
from banklift.pg.wire import USAGE_QUERY, PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits
from banklift.rig.platform_settings import SETTINGS

DECISION_MODULE = "*/banklift/balance.py"  # file whose memory is reported separately
GROUP_SIZE = 3  # members
ROUNDS = 3  # of which the least processor time counts
REQUESTS_PER_ROUND = 600
REQUEST_INTERVAL = 0.004  # seconds of virtual time between two requests
MIN_SERVED_FRACTION = 0.9  # of the requests; with fewer, mostly refusals would be measured
CONNECT_SECONDS = 0.005  # in which a link to a member comes up
STARTUP_SECONDS = 0.001  # in which a member accepts the start of a session
PROBE_SECONDS = 0.002  # in which a member answers a probe
REQUEST_SECONDS = 0.03  # in which a member answers a request
CLIENT_CLOSE_SECONDS = 0.1  # after which a client closes once it has its answer
IDLE_TIMEOUT = 2.0  # seconds after which the router closes an idle client


def targets(members: int) -> list[dict[str, object]]:
    """The entries of a list of so many members, as the catalogue has them. A member's address encodes its index in the
    list, with a last number of 1 to 250."""
    return [
        {
            "uid": f"s-{index:08x}",
            "endpoint": f"10.{index // 62500}.{index // 250 % 250}.{index % 250 + 1}:6432",
            "pod_group": index // GROUP_SIZE,
            "state": "SERVING",
            "boot_ms": 1_700_000_000_000 + index,
            "access": "writer" if index % GROUP_SIZE == 0 else "reader",
        }
        for index in range(members)
    ]


def response(revision: int, whole: bool, entries: list[dict[str, object]]) -> bytes:
    """An answer of discovery, as the bytes of an HTTP response. `whole`: the entries are the whole list, no change."""
    body = json.dumps({"rev": revision, "all": whole, "targets": entries}, separators=(",", ":")).encode()
    server = h11.Connection(h11.SERVER)
    server.receive_data(b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n")
    server.next_event()  # the request
    server.next_event()  # its end; only now may the server answer
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    head = server.send(h11.Response(status_code=200, headers=headers))
    rest = server.send(h11.Data(data=body)), server.send(h11.EndOfMessage())
    return b"".join(part or b"" for part in (head, *rest))


class RouterHarness:
    """One router's state machine and its discovery client, with simulated members and clients in virtual time.

    Time passes only in `run`. The processor seconds that methods return are the router's, without the simulation, but
    for `receive_list`, which includes the simulated ends of the links that the list makes the router open.
    """

    def __init__(self, members: int) -> None:
        self.machine = Machine(
            SETTINGS,
            Limits(pipeline=16, all_links=4096),
            0,
            1,
            PgWire(),
            lambda core: PgFront(core, SETTINGS, core.limits, IDLE_TIMEOUT),
        )
        self.groups = max(1, members // GROUP_SIZE)
        self.now = 1_700_000_100.0  # seconds since the Unix epoch, in virtual time
        self.discovery = CatalogueClient("10.9.0.1:8500")
        self.links: dict[int, str] = {}  # addresses of members by link
        self.events: list[tuple[float, int, ev.Event]] = []  # heap of what is to come: time, number, event
        self.event_number = 0  # keeps events of one time in order
        self.requested = 0
        self.served = 0
        self.discovery.request_list(self.now, True)
        self.discovery.connected(self.now)
        self.call_bytes = self._take_sent_bytes()  # of the last call to discovery

    # ---- discovery

    def _take_sent_bytes(self) -> int:
        """Bytes that the discovery client wants to send; of its actions, only rosters remain."""
        sent = sum(len(action.data) for action in self.discovery.actions if isinstance(action, Send))
        self.discovery.actions = [
            action for action in self.discovery.actions if isinstance(action, CallResult)
        ]
        return sent

    def receive_list(self, data: bytes) -> float:
        """Handle an answer of discovery. Returns the processor seconds until the router has applied it."""
        begin = time.process_time()
        self.discovery.data(self.now, data)
        for action in self.discovery.actions:
            if isinstance(action, CallResult) and action.roster is not None:
                self._perform(self.machine.handle(self.now, action.roster))
        spent = time.process_time() - begin
        self.discovery.actions = [
            action for action in self.discovery.actions if not isinstance(action, CallResult)
        ]
        self.call_bytes = self._take_sent_bytes()
        return spent

    # ---- members and clients

    def _schedule(self, delay: float, event: ev.Event) -> None:
        """Let this event happen after so many seconds of virtual time."""
        self.event_number += 1
        heapq.heappush(self.events, (self.now + delay, self.event_number, event))

    def _perform(self, actions: list[ev.Action]) -> None:
        """Carry out the router's actions, with the simulated members and clients at the other end."""
        for action in actions:
            match action:
                case ev.OpenLink(link, address):
                    self.links[link] = address
                    self._schedule(CONNECT_SECONDS, ev.LinkUp(link))
                case ev.CloseLink(link):
                    self.links.pop(link, None)
                case ev.SendToLink(link, data):
                    self._answer(link, data)
                case ev.SendToClient(client, data):
                    if data[:1] == b"T":  # a row description: the request was served, not refused
                        self.served += 1
                        self._schedule(CLIENT_CLOSE_SECONDS, ev.ClientLost(client))

    def _answer(self, link: int, data: bytes) -> None:
        """What a member does with bytes from the router."""
        if data[4:8] == b"\0\x03\0\0":  # protocol 3.0: a startup message
            self._schedule(
                STARTUP_SECONDS, ev.LinkData(link, frames.AUTHENTICATION_OK + frames.READY_FOR_QUERY)
            )
        elif data == USAGE_QUERY:
            self._schedule(PROBE_SECONDS, ev.LinkData(link, usage_answer(self.now, self._is_primary(link))))
        else:
            self._schedule(REQUEST_SECONDS, ev.LinkData(link, row_answer(self.now, self._is_primary(link))))

    def _is_primary(self, link: int) -> bool:
        """Whether the member at the other end is a primary, by its index in the list (`targets`)."""
        host, _, _ = self.links[link].partition(":")
        _, high, middle, low = (int(part) for part in host.split("."))
        return (high * 62500 + middle * 250 + low - 1) % GROUP_SIZE == 0

    def run(self, seconds: float) -> float:
        """Let so many seconds of virtual time pass. Returns the processor seconds that the router used."""
        end, spent = self.now + seconds, 0.0
        while True:
            wake = self.machine.wake
            event_time = self.events[0][0] if self.events else end
            if min(wake, event_time) >= end:
                break
            event: ev.Event = ev.Wake()
            if wake < event_time:
                self.now = max(self.now, wake)
            else:
                self.now = max(self.now, event_time)
                event = heapq.heappop(self.events)[2]
            spent += self._handle(event)
        self.now = end
        return spent

    def _handle(self, event: ev.Event) -> float:
        begin = time.process_time()
        actions = self.machine.handle(self.now, event)
        spent = time.process_time() - begin
        self._perform(actions)
        return spent

    def request(self) -> float:
        """A new client connects and sends one request. Returns the processor seconds until it is sent on."""
        self.requested += 1
        number = self.requested
        class_name = ("view", "own", "save", "view")[number % 4]
        comment = f"/* id={number:016x},c={class_name},t=acme,d=2000,cluster={number % self.groups} */"
        text = f"SELECT content FROM kv WHERE name = 'k{number}' {comment}"
        if class_name == "save":
            text = (
                f"INSERT INTO kv (name, content) VALUES ('k{number}', '\\x9f03') RETURNING content {comment}"
            )
        spent = self._handle(ev.ClientOpened(number))
        data = frames.startup("backend", "store") + frames.query(text.encode())
        return spent + self._handle(ev.ClientData(number, data))


def row_answer(now: float, primary: bool) -> bytes:
    """A member's answer to a request: one row with one value, its role and its commit clock in milliseconds."""
    parameters = frames.parameter_status("server_role", "writer" if primary else "reader")
    parameters += frames.parameter_status("commit_clock", str(int(now * 1000)))
    description = frames.message(
        b"T", b"\0\x01content\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"
    )
    row = frames.message(b"D", b"\0\x01\0\0\0\x08" + b"12345678")
    return description + row + frames.message(b"C", b"SELECT 1\0") + parameters + frames.READY_FOR_QUERY


def usage_answer(now: float, primary: bool) -> bytes:
    """A member's answer to a probe, with its usage."""
    text = b"x0=%.3f,x1=%d,inflight=1,queue=0" % (now, primary)
    field_format = b"\0" * 6 + b"\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"
    description = frames.message(b"T", b"\0\x01usage\0" + field_format)
    row = frames.message(b"D", b"\0\x01" + len(text).to_bytes(4, "big") + text)
    return description + row + frames.message(b"C", b"SHOW\0") + frames.READY_FOR_QUERY


@dataclass(frozen=True, slots=True)
class MemberCosts:
    """What a list of so many members costs a router. Seconds are processor time."""

    members: int
    first_list_seconds: float  # to read the whole list for the first time
    same_list_seconds: float  # to read the same list again
    delta_seconds: float  # to read a change to one member
    retained_bytes: float  # that the router keeps for all members
    decision_module_bytes: float  # the decision module's part of these
    list_bytes: int  # of the whole list, as sent
    delta_bytes: int  # of a change to one member, as sent
    discovery_call_bytes: int  # of one call to discovery, as sent
    idle_core_share: float  # processor seconds a second without requests
    request_seconds: float  # for one request


def member_costs(members: int, rounds: int = ROUNDS, requests: int = REQUESTS_PER_ROUND) -> MemberCosts:
    """Measure a list of so many members; the least processor time of all rounds counts."""
    entries = targets(members)
    whole = response(1, True, entries)
    first_list_seconds = min(RouterHarness(members).receive_list(whole) for _ in range(rounds))
    router = RouterHarness(members)
    router.receive_list(whole)
    same_list_seconds = min(router.receive_list(whole) for _ in range(rounds))
    delta_seconds, change = [], b""
    for number in range(10 * rounds):
        state = "DRAINING" if number % 2 == 0 else "SERVING"
        change = response(2 + number, False, [{**entries[-1], "state": state}])
        delta_seconds.append(router.receive_list(change))
    call_bytes = router.call_bytes
    router.run(1.0)
    idle_core_share = min(router.run(10.0) / 10.0 for _ in range(rounds))
    request_seconds = min(_request_seconds(router, requests) for _ in range(rounds))
    return MemberCosts(
        members,
        first_list_seconds,
        same_list_seconds,
        min(delta_seconds),
        *retained_bytes(members),
        len(whole),
        len(change),
        call_bytes,
        idle_core_share,
        request_seconds,
    )


def _request_seconds(router: RouterHarness, requests: int) -> float:
    """Processor seconds of one request, as the mean of so many, with what the router does between two of them."""
    spent, served_before = 0.0, router.served
    for _ in range(requests):
        spent += router.request() + router.run(REQUEST_INTERVAL)
    router.run(1.0)  # for the answers to the last requests
    assert router.served - served_before >= MIN_SERVED_FRACTION * requests, (
        "too many requests were refused, so the cost of serving one was not measured"
    )
    return spent / requests


def retained_bytes(members: int) -> tuple[float, float]:
    """Traced bytes that a router keeps once it has read a list of so many members, and the part of these that the
    decision module has allocated."""
    whole = response(1, True, targets(members))
    router = RouterHarness(members)
    gc.collect()
    tracemalloc.start()
    router.receive_list(whole)
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    decision_module = snapshot.filter_traces([tracemalloc.Filter(True, DECISION_MODULE)])
    return _traced_bytes(snapshot), _traced_bytes(decision_module)


def _traced_bytes(snapshot: tracemalloc.Snapshot) -> float:
    return float(sum(trace.size for trace in snapshot.traces))
