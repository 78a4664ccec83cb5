"""The service as the platform starts it: as a process on real sockets, with psycopg as its client.

Signals must start a graceful shutdown or a reload without losing answers, and an invalid configuration must end the
process with one line that names the fault.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread
import psycopg
import pytest

from banklift.emulator.platform import Catalogue, PgMember
from banklift.net.sockets import SocketEnv
from banklift.pg import frames
from banklift.pg.statement import VALUE_LIMIT
from tests.platform_site import SETTINGS

COMMENT = "/* id={id},c={class_name},t=acme,d=20000,cluster=0 */"
LONG_DEADLINE_SETTINGS = {
    **SETTINGS,
    "services": [{**service, "aim_s": 10.0, "deadline_s": 20.0} for service in SETTINGS["services"]],
}


class Platform:
    """Emulated members and catalogues on sockets, in a thread of their own, and the router's process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ready = threading.Event()
        self.other_called = threading.Event()  # set once the other catalogue was called
        self.last_id = 0
        self.thread = threading.Thread(target=lambda: anyio.run(self._serve), daemon=True)
        self.thread.start()
        assert self.ready.wait(30)
        with socket.socket() as free_socket:
            free_socket.bind(("127.0.0.1", 0))
            self.listen = f"127.0.0.1:{free_socket.getsockname()[1]}"
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.catalogue.address,
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": self.catalogue.snapshot(),
            "settings": LONG_DEADLINE_SETTINGS,
        }
        self.process: subprocess.Popen[str] | None = None

    async def _serve(self) -> None:
        self.stopping = anyio.Event()
        async with anyio.create_task_group() as tasks, anyio.from_thread.BlockingPortal() as self.portal:
            env = self.env = SocketEnv(tasks, time.time)
            store: dict[bytes, bytes] = {}
            self.members = [PgMember(env, primary=index == 0, store=store).start() for index in range(3)]
            self.catalogue, self.other_catalogue = Catalogue(env).start(), Catalogue(env).start()
            for catalogue in (self.catalogue, self.other_catalogue):
                for index, member in enumerate(self.members):
                    catalogue.update(f"s{index}", member.address, writes=member.primary)
            self.other_catalogue.on_call = self.other_called.set
            self.ready.set()
            await self.stopping.wait()
            tasks.cancel_scope.cancel()

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        return path

    def environment(self) -> dict[str, str]:
        return {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": self.listen,
            "ROUTER_DISCOVERY": self.catalogue.address,
            "ROUTER_CONFIG": str(self.write_config()),
        }

    def start(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "banklift.net.service"],
            env=self.environment(),
            stderr=subprocess.PIPE,
            text=True,
        )
        self.wait_for_log("listening")

    def wait_for_log(self, text: str) -> str:
        """Wait for a line of the process's log that contains `text`, and return it."""
        assert self.process is not None and self.process.stderr is not None
        for line in self.process.stderr:
            if text in line:
                return line
        raise AssertionError(f"the process ended without logging {text!r}")

    def connect(self) -> psycopg.Connection[tuple[bytes]]:
        host, _, port = self.listen.partition(":")
        return psycopg.connect(
            host=host,
            port=port,
            user="backend",
            dbname="store",
            autocommit=True,
            connect_timeout=20,
            cursor_factory=psycopg.ClientCursor,
            sslmode="prefer",
        )

    def comment(self, class_name: str) -> str:
        """The comment of a new statement of this class."""
        self.last_id += 1
        return COMMENT.format(id=f"{self.last_id:016x}", class_name=class_name)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(20)
        self.portal.call(self.stopping.set)
        self.thread.join(20)


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    platform = Platform(tmp_path)
    yield platform
    platform.stop()


def save(platform: Platform, connection: psycopg.Connection[tuple[bytes]], key: str, text: str) -> bytes:
    """Write a value, given as hexadecimal text; returns what the member has stored."""
    row = connection.execute(
        f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{text}') RETURNING content "
        f"{platform.comment('save')}"
    ).fetchone()
    assert row is not None
    return row[0]


def test_psycopg_writes_reads_and_gets_errors_for_its_faults(platform: Platform) -> None:
    platform.start()
    with platform.connect() as connection:
        assert save(platform, connection, "k", "9f03") == b"\x9f\x03"
        row = connection.execute(
            f"SELECT content FROM kv WHERE name = 'k' {platform.comment('any')}"
        ).fetchone()
        assert row is not None and row[0] == b"\x9f\x03"
        with pytest.raises(psycopg.errors.SyntaxError):
            connection.execute("SELECT 1")
        with pytest.raises(psycopg.errors.InvalidParameterValue):
            connection.execute(f"SELECT content FROM kv WHERE name = 'k' {platform.comment('nonsense')}")
        assert save(platform, connection, "k", "01") == b"\x01"


def test_after_sigterm_open_connections_are_served_and_the_process_ends(platform: Platform) -> None:
    platform.config["settings"] = {**SETTINGS}  # the shutdown may take as long as their longest deadline
    platform.start()
    assert platform.process is not None
    with platform.connect() as connection:
        assert save(platform, connection, "k", "01") == b"\x01"
        platform.process.send_signal(signal.SIGTERM)
        platform.wait_for_log("leaving")
        assert save(platform, connection, "k", "02") == b"\x02"  # the client has no other connection
        with platform.connect() as late_connection:
            assert save(platform, late_connection, "k", "03") == b"\x03"
        platform.wait_for_log('"left","unanswered":0')
    assert platform.process.wait(20) == 0


def test_sighup_moves_discovery_and_an_invalid_file_changes_nothing(platform: Platform) -> None:
    platform.start()
    assert platform.process is not None
    with platform.connect() as connection:
        assert save(platform, connection, "k", "01") == b"\x01"
        platform.config["discovery"] = 5
        platform.write_config()
        platform.process.send_signal(signal.SIGHUP)
        assert "discovery: host:port is needed" in platform.wait_for_log("refused")
        assert not platform.other_catalogue.calls
        platform.config["discovery"] = platform.other_catalogue.address
        platform.write_config()
        platform.process.send_signal(signal.SIGHUP)
        platform.wait_for_log("read again")
        assert platform.other_called.wait(60)
        assert save(platform, connection, "k", "02") == b"\x02"


def pipelined_writes(platform: Platform, count: int) -> bytes:
    """So many writes of the largest value as Query messages, behind a startup message."""
    value = "9f" * VALUE_LIMIT
    writes = [
        f"INSERT INTO kv (name, content) VALUES ('k', '\\x{value}') RETURNING content {platform.comment('save')}"
        for _ in range(count)
    ]
    return frames.startup("backend", "store") + b"".join(frames.query(text.encode()) for text in writes)


def send_and_count_answers(listen: str, stream: bytes, count: int) -> int:
    """Send `stream` on a new connection, and return how many of `count` answers came before it was closed."""
    host, _, port = listen.partition(":")
    with socket.create_connection((host, int(port)), 60) as connection:
        connection.settimeout(60)
        sender = threading.Thread(target=connection.sendall, args=(stream,), daemon=True)
        sender.start()
        reader, answers = frames.MemberReader(1 << 20), 0
        while answers < count + 1 and (data := connection.recv(1 << 16)):  # one answers the startup message
            answers += len(reader.feed(data))
        sender.join(60)
    return answers - 1


def test_a_flood_of_large_writes_stays_under_the_limit_of_memory(platform: Platform) -> None:
    """The platform kills a process over its limit. Forty clients took this one from 27 to over 64 MB (review/3)."""
    clients, writes, memory_mb = 40, 16, 64
    platform.config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    platform.start()
    assert platform.process is not None
    streams = [pipelined_writes(platform, writes) for _ in range(clients)]
    with ThreadPoolExecutor(clients) as pool:
        answers = list(
            pool.map(lambda stream: send_and_count_answers(platform.listen, stream, writes), streams)
        )
    assert answers == [writes] * clients
    status = Path(f"/proc/{platform.process.pid}/status").read_text()
    peak_kib = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
    assert peak_kib * 1024 <= memory_mb * 1_000_000
    with platform.connect() as connection:
        assert save(platform, connection, "k", "01") == b"\x01"


def test_a_kill_and_a_restart_on_the_same_address(platform: Platform) -> None:
    platform.start()
    assert platform.process is not None
    with platform.connect() as connection:
        assert save(platform, connection, "k", "01") == b"\x01"
        platform.process.kill()
        platform.process.wait(20)
        with pytest.raises(psycopg.OperationalError):
            save(platform, connection, "k", "02")
    platform.start()
    with platform.connect() as connection:
        assert save(platform, connection, "k", "03") == b"\x03"


@pytest.mark.parametrize(
    "data", [b"\0\0\0\x0c" * 6, b"\0\0\0\x08\0\x03\0\0\0\0\0\x05Hello", b"*1\r\n$4\r\nPING\r\n"]
)
def test_a_stand_in_member_survives_bytes_of_another_protocol(platform: Platform, data: bytes) -> None:
    """A port of the stand-in may have belonged to another test's process, whose clients still connect to it.

    The stand-in's thread ended with a FrameError, and the teardown of whatever test ran then failed.
    """
    host, _, port = platform.members[0].address.partition(":")
    with socket.create_connection((host, int(port)), timeout=20) as stranger:
        stranger.sendall(data)
        while stranger.recv(1024):  # the stand-in closes the connection
            pass
    platform.start()
    with platform.connect() as connection:
        assert save(platform, connection, "k", "01") == b"\x01"


def change(*path: str, to: object) -> Callable[[dict[str, Any]], None]:
    """A change of one value of a configuration; None removes it."""

    def apply(config: dict[str, Any]) -> None:
        for name in path[:-1]:
            config = config[name]
        if to is None:
            del config[path[-1]]
        else:
            config[path[-1]] = to

    return apply


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (change("discovery", to="nowhere"), "discovery: host:port is needed, not 'nowhere'"),
        (change("listen", to="127.0.0.1:99999"), "listen: host:port is needed"),
        (change("settings", to=None), "settings: an object is needed"),
        (
            change("settings", "services", to=None),
            "settings: boot_info: services, class_read and staleness_bound_s differ",
        ),
        (change("limits", "sockets", to="many"), "limits.sockets: a number from 64 is needed, not 'many'"),
        (change("limits", "memory_mb", to=True), "limits.memory_mb: a number above 0 is needed, not True"),
        (change("limits", "memory_mb", to=0), "limits.memory_mb: a number above 0 is needed, not 0"),
        (change("limits", "memory_mb", to=8), "limits.memory_mb: 8 is too little; this process needs "),
        (change("known", "targets", to=[{"uid": 5}]), "the list of members"),
        (change("seed", to="xyz"), "seed"),
        (
            change("settings", "allowed", "conn_idle_s", to=-1),
            "settings.allowed.conn_idle_s: seconds above 0 are needed",
        ),
        (change("listen", to="192.0.2.1:6432"), "listen: 192.0.2.1:6432"),
    ],
)
def test_an_invalid_configuration_ends_the_process_with_one_line(
    platform: Platform, corrupt: Callable[[dict[str, Any]], None], reason: str
) -> None:
    platform.config = json.loads(json.dumps(platform.config))
    corrupt(platform.config)
    finished = subprocess.run(
        [sys.executable, "-m", "banklift.net.service"],
        env=platform.environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert finished.returncode == 2
    assert reason in finished.stderr and "Traceback" not in finished.stderr
    assert finished.stderr.count("\n") == 1


def test_a_limit_between_what_the_process_has_before_and_after_it_listens_is_refused(
    platform: Platform,
) -> None:
    """It was only compared with what the process has at first, so such a process went over its limit at once."""
    needed = 8
    for _ in range(2):  # the first refusal names what is needed before it listens
        platform.config["limits"] = {"memory_mb": needed}
        finished = subprocess.run(
            [sys.executable, "-m", "banklift.net.service"],
            env=platform.environment(),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert finished.returncode == 2 and "Traceback" not in finished.stderr
        last_line = finished.stderr.splitlines()[-1]
        assert last_line.startswith(
            f"banklift: limits.memory_mb: {needed} is too little; this process needs "
        )
        needed = int(last_line.rsplit(" ", 1)[1])


@pytest.mark.parametrize("variable", ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"])
def test_a_missing_variable_is_named(platform: Platform, variable: str) -> None:
    environment = platform.environment()
    del environment[variable]
    finished = subprocess.run(
        [sys.executable, "-m", "banklift.net.service"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (finished.returncode, finished.stderr) == (2, f"banklift: the variable {variable} is not set\n")


@pytest.mark.parametrize(
    ("content", "reason"), [(None, "No such file"), ("{", "not JSON"), ("[]", "an object is needed")]
)
def test_an_unreadable_file_is_named(platform: Platform, content: str | None, reason: str) -> None:
    environment = platform.environment()
    path = Path(environment["ROUTER_CONFIG"])
    if content is None:
        path.unlink()
    else:
        path.write_text(content)
    finished = subprocess.run(
        [sys.executable, "-m", "banklift.net.service"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert finished.returncode == 2
    assert (
        finished.stderr.startswith(f"banklift: {path}: ")
        and reason in finished.stderr
        and finished.stderr.count("\n") == 1
    )
