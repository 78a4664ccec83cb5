"""One router with the PostgreSQL protocol, emulated members and catalogue, and test clients, in virtual time."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any, cast

from banklift.adapter import parse_settings
from banklift.discovery import catalogue
from banklift.emulator.platform import Catalogue, PgMember
from banklift.emulator.world import World
from banklift.net.env import Handle, Peer
from banklift.net.service import Service
from banklift.net.service_config import StartConfig
from banklift.net.sockets import SocketEnv
from banklift.pg import frames
from banklift.pg.front import PgFront
from banklift.proxy import events as ev
from banklift.proxy.memory import CONNECTION_BYTES, MEMBER_BYTES, Holding
from tests.accounts import assert_accounts_balance

SETTINGS: dict[str, Any] = {
    "services": [
        {
            "name": "view",
            "semantics": "retryable",
            "aim_s": 0.5,
            "deadline_s": 2.0,
            "points": 1,
            "late_worth": 0,
        },
        {
            "name": "own",
            "semantics": "retryable",
            "aim_s": 0.5,
            "deadline_s": 1.2,
            "points": 3,
            "late_worth": 0,
        },
        {
            "name": "any",
            "semantics": "retryable",
            "aim_s": 0.5,
            "deadline_s": 1.2,
            "points": 3,
            "late_worth": 0,
        },
        {
            "name": "save",
            "semantics": "fragile",
            "aim_s": 1.0,
            "deadline_s": 2.0,
            "points": 6,
            "late_worth": 0.3,
        },
    ],
    "family_info": {
        "class_read": ["recent", "own_writes", "loose", "update"],
        "staleness_bound_s": [0.8, 0, 0, 0],
        "role_in_list": "initial",
        "stamps": True,
        "token_mode": "client",
    },
    "tenants": [{"name": "acme", "share": 1.0}],
    "membership_mode": "subscribe",
    "balancers": 1,
    "allowed": {
        "max_attempts": 6,
        "may_cancel": True,
        "probing": True,
        "retry_after": True,
        "max_retry_after_s": 1.0,
        "conn_idle_s": 30.0,
        "connect_timeout_s": 0.25,
    },
    "rules": {
        "ask_within_s": 10.0,
        "drain_grace_s": 2.0,
        "cold_share": 0.3,
        "cold_s": 10.0,
        "fall_multiple": 3.0,
        "fall_s": 3.0,
        "grace_to_answer_s": 0.0,
    },
}


class SiteClient(Peer):
    """One client's connection. It sends its startup message at once, unless `start` is false."""

    def __init__(self, site: Site, start: bool = True) -> None:
        self.site = site
        self.received = b""
        self.closed = False
        self.handle: Handle = site.world.connect(site.host.address, self)
        if start:
            self.send(frames.startup("backend", "store"))
            assert [kind for kind, _ in self.received_messages()][-1] == "Z"

    def connected(self, handle: Handle) -> None:
        pass

    def data(self, data: bytes) -> None:
        self.received += data

    def eof(self) -> None:
        self.closed = True

    def lost(self, reason: str) -> None:
        self.closed = True

    def send(self, data: bytes, wait: float = 0.01) -> None:
        """Send bytes, then let `wait` seconds pass."""
        self.site.run(0.001)
        self.handle.send(data)
        self.site.run(wait)

    def received_messages(self) -> list[tuple[str, bytes]]:
        """Type and body of each message received since the last call."""
        data, self.received = self.received, b""
        messages, pos = [], 0
        while pos < len(data):
            (length,) = struct.unpack_from("!I", data, pos + 1)
            messages.append((chr(data[pos]), data[pos + 5 : pos + 1 + length]))
            pos += 1 + length
        return messages

    def query(self, text: str, wait: float = 0.01) -> list[tuple[str, bytes]]:
        """Send a query, and return the messages received within `wait` seconds."""
        self.send(frames.query(text.encode()), wait)
        return self.received_messages()


class Site:
    """One router and one group: the primary p and the replicas r1 and r2. Checks its accounts at each event.

    `sockets`: descriptors that the router may use. `delay`: seconds in which a member answers. `world`: network and
    clock, if they are shared or special. `settings`: as the platform sends them.
    """

    def __init__(
        self,
        sockets: int = 256,
        delay: float = 0.0,
        world: World | None = None,
        settings: dict[str, Any] = SETTINGS,
    ) -> None:
        self.world = world or World(1)
        self.ids = 0
        store: dict[bytes, bytes] = {}
        self.members = {
            name: PgMember(self.world, f"10.0.0.{number}:6432", name == "p", delay, store).start()
            for number, name in enumerate(("p", "r1", "r2"), 1)
        }
        self.catalogue = Catalogue(self.world, "10.9.0.1:8500").start()
        for name, member in self.members.items():
            self.catalogue.update(name, member.address, writes=member.primary)
        known = catalogue.from_json(self.catalogue.snapshot())
        self.start = StartConfig(
            "n0",
            "10.1.0.1:6432",
            self.catalogue.address,
            5,
            sockets,
            known,
            parse_settings(settings),
            30.0,
            0.25,
            0.25,
        )
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.service = Service(cast(SocketEnv, self.world), self.start, {}, self.note)
        self.machine, self.host = self.service.machine, self.service.host
        self.catalogue_client, self.discovery = self.service.catalogue_client, self.service.discovery
        assert isinstance(self.machine.front, PgFront)
        self.front = self.machine.front
        handle = self.machine.handle

        def checked_handle(now: float, event: ev.Event) -> list[ev.Action]:
            actions = handle(now, event)
            assert_accounts_balance(self.machine)
            return actions

        self.machine.handle = checked_handle  # type: ignore[method-assign]
        self.run(0.05)

    def note(self, event: str, fields: dict[str, object]) -> None:
        self.notes.append((event, fields))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.world.run(self.world.now() + seconds)

    def comment(self, class_name: str, timeout_ms: int = 2000, **more: object) -> str:
        """A statement's comment. `class_name`: the class's name; `timeout_ms`: milliseconds; `more`: further pairs."""
        self.ids += 1
        other_pairs = "".join(
            f",{name}={value}" for name, value in more.items() if name not in ("id", "cluster", "t")
        )
        return (
            f"/* id={more.get('id', f'{self.ids:016x}')},c={class_name},t={more.get('t', 'acme')},d={timeout_ms},"
            f"cluster={more.get('cluster', 0)}{other_pairs} */"
        )

    def read(self, class_name: str = "view", key: str = "k", timeout_ms: int = 2000, **more: object) -> str:
        """The text of a read; see `comment`."""
        return f"SELECT content FROM kv WHERE name = '{key}' {self.comment(class_name, timeout_ms, **more)}"

    def write(
        self,
        key: str = "k",
        value: str = "9f03",
        class_name: str = "save",
        timeout_ms: int = 2000,
        **more: object,
    ) -> str:
        """The text of a write of `value` (hexadecimal digits); see `comment`."""
        return (
            f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value}') RETURNING content "
            f"{self.comment(class_name, timeout_ms, **more)}"
        )

    def run_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call `call` after so many seconds of virtual time."""
        self.world.at(self.world.now() + seconds, call)

    def assert_no_leftovers(self) -> None:
        """Check that the router's attempts in flight are those that members hold, and that no ended request is kept."""
        for name, member in self.members.items():
            known = self.machine.balancer.members.get(name)
            assert (len(known.in_flight) if known is not None else 0) == member.in_flight, name
        assert len(self.machine.in_flight) == sum(member.in_flight for member in self.members.values())
        memory = self.machine.memory
        if not self.machine.in_flight:
            connections = len(self.front.clients) + len(self.machine.links)
            fixed_bytes = connections * CONNECTION_BYTES + len(self.machine.members) * MEMBER_BYTES
            assert memory.total == fixed_bytes + memory.held[Holding.REQUEST_IDS]
            assert not self.machine.pending and not self.front.pending
            assert not self.front.request_ids.unsettled_count
            assert not self.machine.balancer.requests


def code(told: list[tuple[str, bytes]]) -> str:
    """The SQLSTATE of the only error among the messages."""
    (body,) = [body for kind, body in told if kind == "E"]
    return frames.error_fields(body)["C"]


def value(told: list[tuple[str, bytes]]) -> bytes:
    """The value in the messages of one successful answer."""
    assert [kind for kind, _ in told] == ["T", "D", "C", "Z"], told
    return frames.single_value(told[0][1], told[1][1])
