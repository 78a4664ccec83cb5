"""What the members' list costs a router: processor time and memory against the number of members.

One machine of the platform's protocol without sockets. The list comes as discovery sends it, in HTTP and JSON. Members
stand in groups of three; only those that are asked answer.
"""

from __future__ import annotations

import gc
import heapq
import json
import time
import tracemalloc
from dataclasses import dataclass

import h11

from banklift.discovery.client import Client, Send, Tell
from banklift.pg import frames
from banklift.pg.front import PgFront
from banklift.pg.wire import USAGE, PgWire
from banklift.proxy import events as ev
from banklift.proxy.machine import Machine
from banklift.proxy.plan import Limits
from banklift.rig.platform_settings import SETTINGS

MODULE = "*/banklift/balance.py"
GROUP = 3  # members of a group
ROUNDS = 3
REQUESTS = 600  # in one round
STEP = 0.004  # seconds of virtual time between two requests
SERVED_PART = 0.9  # of the requests, at the least
AROUND = 0.03  # seconds in which a member answers
IDLE_TIMEOUT = 2.0


def targets(members: int) -> list[dict[str, object]]:
    """The list's entries, as the catalogue has them."""
    return [
        {
            "uid": f"s-{place:08x}",
            "endpoint": f"10.{place // 62500}.{place // 250 % 250}.{place % 250 + 1}:6432",
            "pod_group": place // GROUP,
            "state": "SERVING",
            "boot_ms": 1_700_000_000_000 + place,
            "access": "writer" if place % GROUP == 0 else "reader",
        }
        for place in range(members)
    ]


def response(revision: int, whole: bool, entries: list[dict[str, object]]) -> bytes:
    """An answer of discovery, as its bytes on the socket."""
    body = json.dumps({"rev": revision, "all": whole, "targets": entries}, separators=(",", ":")).encode()
    server = h11.Connection(h11.SERVER)
    server.receive_data(b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n")
    server.next_event()
    server.next_event()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    sent = server.send(h11.Response(status_code=200, headers=headers))
    rest = server.send(h11.Data(data=body)), server.send(h11.EndOfMessage())
    return b"".join(part or b"" for part in (sent, *rest))


class Router:
    """One router's machine with its watch on discovery, and time that is passed by hand."""

    def __init__(self, members: int) -> None:
        self.machine = Machine(
            SETTINGS,
            Limits(pipeline=16, all_links=4096),
            0,
            1,
            PgWire(),
            lambda core: PgFront(core, SETTINGS, core.limits, IDLE_TIMEOUT),
        )
        self.groups = max(1, members // GROUP)
        self.now = 1_700_000_100.0
        self.watch = Client("10.9.0.1:8500")
        self.links: dict[int, str] = {}
        self.later: list[tuple[float, int, ev.Event]] = []
        self.numbers = 0
        self.asked = 0
        self.served = 0
        self.watch.ask(self.now, True)
        self.watch.connected(self.now)
        self.asked_bytes = self._sent_bytes()

    # ---- discovery

    def _sent_bytes(self) -> int:
        sent = sum(len(one.data) for one in self.watch.actions if isinstance(one, Send))
        self.watch.actions = [one for one in self.watch.actions if isinstance(one, Tell)]
        return sent

    def listed(self, data: bytes) -> float:
        """Take one answer of discovery; processor seconds until the machine knows it."""
        begin = time.process_time()
        self.watch.data(self.now, data)
        for action in self.watch.actions:
            if isinstance(action, Tell) and action.roster is not None:
                self._carry(self.machine.handle(self.now, action.roster))
        spent = time.process_time() - begin
        self.watch.actions = [one for one in self.watch.actions if not isinstance(one, Tell)]
        self.asked_bytes = self._sent_bytes()
        return spent

    # ---- members and clients

    def _soon(self, delay: float, event: ev.Event) -> None:
        self.numbers += 1
        heapq.heappush(self.later, (self.now + delay, self.numbers, event))

    def _carry(self, actions: list[ev.Action]) -> None:
        for action in actions:
            match action:
                case ev.OpenLink(link, address):
                    self.links[link] = address
                    self._soon(0.005, ev.LinkUp(link))
                case ev.CloseLink(link):
                    self.links.pop(link, None)
                case ev.ToLink(link, data):
                    self._answer(link, data)
                case ev.ToClient(client, data):
                    if data[:1] == b"T":
                        self.served += 1
                        self._soon(0.1, ev.ClientLost(client))

    def _answer(self, link: int, data: bytes) -> None:
        if data[4:8] == b"\0\x03\0\0":
            self._soon(0.001, ev.LinkData(link, frames.AUTHENTICATED + frames.READY))
        elif data == USAGE:
            self._soon(0.002, ev.LinkData(link, usage(self.now, self._primary(link))))
        else:
            self._soon(AROUND, ev.LinkData(link, answer(self.now, self._primary(link))))

    def _primary(self, link: int) -> bool:
        host, _, _ = self.links[link].partition(":")
        _, high, middle, low = (int(part) for part in host.split("."))
        return (high * 62500 + middle * 250 + low - 1) % GROUP == 0

    def run(self, seconds: float) -> float:
        """Let time pass; processor seconds of the machine."""
        end, spent = self.now + seconds, 0.0
        while True:
            wake = self.machine.wake
            event = self.later[0][0] if self.later else end
            if min(wake, event) >= end:
                break
            what: ev.Event = ev.Wake()
            if wake < event:
                self.now = max(self.now, wake)
            else:
                self.now = max(self.now, event)
                what = heapq.heappop(self.later)[2]
            spent += self._handle(what)
        self.now = end
        return spent

    def _handle(self, event: ev.Event) -> float:
        begin = time.process_time()
        actions = self.machine.handle(self.now, event)
        spent = time.process_time() - begin
        self._carry(actions)
        return spent

    def request(self) -> float:
        """A new client asks once; processor seconds until its request is on its way."""
        self.asked += 1
        number = self.asked
        kind = ("view", "own", "save", "view")[number % 4]
        note = f"/* id={number:016x},c={kind},t=acme,d=2000,cluster={number % self.groups} */"
        text = f"SELECT content FROM kv WHERE name = 'k{number}' {note}"
        if kind == "save":
            text = f"INSERT INTO kv (name, content) VALUES ('k{number}', '\\x9f03') RETURNING content {note}"
        spent = self._handle(ev.ClientOpened(number))
        data = frames.startup("backend", "store") + frames.query(text.encode())
        return spent + self._handle(ev.ClientData(number, data))


def answer(now: float, primary: bool) -> bytes:
    """A member's answer with one value."""
    told = frames.parameter("server_role", "writer" if primary else "reader")
    told += frames.parameter("commit_clock", str(int(now * 1000)))
    description = frames.message(
        b"T", b"\0\x01content\0" + b"\0" * 6 + b"\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"
    )
    row = frames.message(b"D", b"\0\x01\0\0\0\x08" + b"12345678")
    return description + row + frames.message(b"C", b"SELECT 1\0") + told + frames.READY


def usage(now: float, primary: bool) -> bytes:
    """A member's answer to a probe."""
    text = b"x0=%.3f,x1=%d,inflight=1,queue=0" % (now, primary)
    form = b"\0" * 6 + b"\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0"
    description = frames.message(b"T", b"\0\x01usage\0" + form)
    row = frames.message(b"D", b"\0\x01" + len(text).to_bytes(4, "big") + text)
    return description + row + frames.message(b"C", b"SHOW\0") + frames.READY


@dataclass(frozen=True, slots=True)
class MemberCosts:
    """Of one size: processor seconds of the list's first reading, of the same list again and of a change to one member;
    bytes that the router keeps for all, and the decision module of these; bytes of the list, of one change and of one
    question; processor seconds a second
    at rest, and of one request."""

    members: int
    first: float
    again: float
    delta: float
    kept: float
    module: float
    list_bytes: int
    delta_bytes: int
    ask_bytes: int
    rest: float
    request: float


def member_costs(members: int, rounds: int = ROUNDS, requests: int = REQUESTS) -> MemberCosts:
    """Measure one size."""
    entries = targets(members)
    whole = response(1, True, entries)
    first = min(Router(members).listed(whole) for _ in range(rounds))
    router = Router(members)
    router.listed(whole)
    again = min(router.listed(whole) for _ in range(rounds))
    delta, change = [], b""
    for number in range(10 * rounds):
        state = "DRAINING" if number % 2 == 0 else "SERVING"
        change = response(2 + number, False, [{**entries[-1], "state": state}])
        delta.append(router.listed(change))
    ask_bytes = router.asked_bytes
    router.run(1.0)
    rest = min(router.run(10.0) / 10.0 for _ in range(rounds))
    request = min(_requests(router, requests) for _ in range(rounds))
    return MemberCosts(
        members,
        first,
        again,
        min(delta),
        *kept(members),
        len(whole),
        len(change),
        ask_bytes,
        rest,
        request,
    )


def _requests(router: Router, requests: int) -> float:
    spent, served = 0.0, router.served
    for _ in range(requests):
        spent += router.request() + router.run(STEP)
    router.run(1.0)  # the last ones are answered
    assert router.served - served >= SERVED_PART * requests, (
        "requests are refused: not what is to be measured"
    )
    return spent / requests


def kept(members: int) -> tuple[float, float]:
    """Bytes that a router keeps once it has read the list of so many members, and the decision module's part of these;
    by tracing."""
    whole = response(1, True, targets(members))
    router = Router(members)
    gc.collect()
    tracemalloc.start()
    router.listed(whole)
    gc.collect()
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    module = snapshot.filter_traces([tracemalloc.Filter(True, MODULE)])
    return _traced(snapshot), _traced(module)


def _traced(snapshot: tracemalloc.Snapshot) -> float:
    return float(sum(trace.size for trace in snapshot.traces))
