"""Runs two builds of banklift beside each other and on each other's data, and says where they differ.

    .venv/bin/python tools/two_builds.py --old FOLDER [--new FOLDER] [--part NAME ...]

FOLDER is a checkout of a build; `--new` is this one by default. Both builds run under the interpreter that runs this
script, each from its own folder. The stand-ins come from the build that this script belongs to.

| part | what is compared |
| --- | --- |
| decisions | both adapters get the same 4,000 batches of random events: the replies have to be equal to the byte |
| seeds | the exhaustive exploration of the voters counts the same states and cases, and random schedules of faults end
without a failure; how often they meet a case differs from run to run, in one build too |
| files | configurations, days and the deploy file are read with the same outcome |
| traces | days recorded by the old build get the same verdict from both |
| service | the router on the platform answers the same bytes to the same script of a client |
| fleet | voters, aggregators and routers of both builds form one fleet: policy changes take hold, and each build starts
on state that the other wrote |

Exit code 0 if no part found a difference, 1 otherwise.
"""

from __future__ import annotations

import argparse
import contextlib
import heapq
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.from_thread

from banklift.emulator.platform import Catalogue, PgMember
from banklift.net.sockets import SocketEnv
from banklift.pg import frames

START_SECONDS = 60.0  # for a process to start listening
REPLY_SECONDS = 30.0  # for one answer over a socket
FLEET_SECONDS = 90.0  # for a state of the fleet to be reached
LEASE_SECONDS = 3.0
BATCHES = 4_000  # of events for the adapters
SEEDS = 12  # random schedules
STATES = 60_000  # explored for each budget
DAYS = ("short", "hang", "crash")  # recorded by the old build

SETTINGS: dict[str, Any] = {
    "services": [
        {"name": "view", "semantics": "retryable", "aim_s": 0.5, "deadline_s": 2.0, "points": 1},
        {"name": "own", "semantics": "retryable", "aim_s": 0.5, "deadline_s": 1.2, "points": 3},
        {"name": "once", "semantics": "dedup", "aim_s": 0.5, "deadline_s": 1.5, "points": 2, "window_s": 1.0},
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
        "base_time_s": 5.0,
        "class_read": ["recent", "own_writes", "update", "update"],
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


class Difference(Exception):
    """The builds differ, or do not work together; the text says where."""


@dataclass(frozen=True)
class Build:
    """A checkout of one build. `name` is "old" or "new"."""

    name: str
    folder: Path

    def environment(self, **variables: str) -> dict[str, str]:
        return {**os.environ, "PYTHONPATH": str(self.folder), **variables}

    def command(self, module: str, *arguments: str) -> list[str]:
        return [sys.executable, "-m", module, *arguments]

    def run(self, module: str, *arguments: str) -> tuple[int, str, str]:
        """Exit code, output and errors of one program."""
        done = subprocess.run(
            self.command(module, *arguments),
            cwd=self.folder,
            env=self.environment(),
            capture_output=True,
            text=True,
            check=False,
        )
        return done.returncode, done.stdout, done.stderr


@dataclass(frozen=True)
class Builds:
    old: Build
    new: Build

    def __iter__(self) -> Iterator[Build]:
        return iter((self.old, self.new))

    def compare(self, what: str, one: object, other: object) -> None:
        """Errors: `Difference`."""
        if one != other:
            raise Difference(f"{what}: old gave {one!r}, new gave {other!r}")


# ---- decisions


@dataclass
class SimulatedMembers:
    """Answers an adapter's actions by random events; each event has a time at which it is due."""

    random: random.Random
    events: list[tuple[float, int, list[Any]]] = field(default_factory=list)
    attempts: dict[tuple[int, int], str] = field(default_factory=dict)  # open, with their member
    attempt_counts: dict[int, int] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    names: tuple[str, ...] = ("a:1", "b:1", "c:1", "d:1", "e:1", "f:1")

    def schedule(self, time: float, event: list[Any]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), event))

    def manifest(self) -> list[list[Any]]:
        states = ["in_service"] * 8 + ["terminating", "terminated"]
        return [
            [
                1,
                name,
                self.random.choice((None, self.random.uniform(1.0, 200.0))),
                index // 3,
                self.random.choice(states),
                "std",
                int(index % 3 == 0),
                "z",
            ]
            for index, name in enumerate(self.names)
        ]

    def usage(self, now: float, member: str) -> dict[str, Any]:
        return {
            "x0": round(now - 5.0 - self.random.choice((0.0, 0.01, 0.3, 2.0)), 3),
            "x1": int(member in ("a:1", "d:1")),
            "outstanding": self.random.randrange(8),
            "backlog": self.random.randrange(3),
        }

    def submit(self, now: float, request: int) -> None:
        name = self.random.choice(("view", "own", "once", "save"))
        deadline = {"view": 2.0, "own": 1.2, "once": 1.5, "save": 2.0}[name]
        session, token = self.random.randrange(20), self.random.choice((None, 150.0, 1500.0))
        group = self.random.randrange(2)
        self.schedule(
            now, ["submit", 0, request, name, "acme", session, now + deadline, 0.01, group, token, 1]
        )

    def take(self, now: float, action: list[Any]) -> None:
        """Schedules the events that follow from one action."""
        latency = self.random.choice((0.005, 0.02, 0.02, 0.05, 0.4, 1.5))
        match action:
            case ["assign", _, request, member, _]:
                attempt = self.attempt_counts.get(request, 0)
                self.attempt_counts[request] = attempt + 1
                self.attempts[request, attempt] = member
                status = self.random.choice((0, 0, 0, 0, 0, 0, 1, 251, 252, 253, 254, 255))
                role = 1 if member in ("a:1", "d:1") else 2
                position = 4 * round((now + latency - 5.0) * 1000) + role
                event = ["result", 0, request, status, status == 0, member, latency, attempt, position]
                self.schedule(now + latency, [*event, self.usage(now + latency, member)])
            case ["stop_attempt", _, request, attempt]:
                member = self.attempts.get((request, attempt), "a:1")
                self.schedule(
                    now + 0.001, ["result", 0, request, 250, False, member, 0.001, attempt, 0, None]
                )
            case ["sound_out", _, member]:
                status = self.random.choice((0, 0, 0, 0, 252))
                usage = self.usage(now + latency, member) if status == 0 else None
                self.schedule(now + latency, ["check_result", 0, status, member, latency, usage])
            case ["wake_at", _, delay, token]:
                self.schedule(now + delay, ["reminder", 0, token])
            case ["track", *_]:
                self.schedule(now + 0.05, ["backends_changed", 0, 0, "diff", 1])
            case ["query_all", *_]:
                self.schedule(now + 0.05, ["backends_changed", 0, 0, "snapshot", 1])


def compare_decisions(builds: Builds) -> str:
    """Errors: `Difference`."""
    processes = [
        subprocess.Popen(
            build.command("banklift.adapter"),
            cwd=build.folder,
            env=build.environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for build in builds
    ]
    members, now, request = SimulatedMembers(random.Random(1)), 100.0, 0
    counts: dict[str, int] = {}
    events: list[list[Any]] = [
        ["begin", 0, 17, SETTINGS],
        ["manifest", 0, members.manifest()],
        ["backends_changed", 0, 0, "snapshot", 1],
    ]
    try:
        for batch in range(BATCHES):
            line = json.dumps({"at_time_s": now, "input": events})
            replies = [_exchange(process, line) for process in processes]
            builds.compare(f"batch {batch} at {now:.3f} s: {line}", *replies)
            for action in json.loads(replies[0])["decisions"]:
                counts[action[0]] = counts.get(action[0], 0) + 1
                members.take(now, action)
            for _ in range(members.random.choice((0, 0, 1, 1, 2, 8))):
                request += 1
                members.submit(now + members.random.uniform(0.0, 0.02), request)
            if batch % 500 == 499:
                members.schedule(now + 0.01, ["manifest", 0, members.manifest()])
                members.schedule(now + 0.01, ["backends_changed", 0, 0, "diff", 1])
            now += 0.01
            events = []
            while members.events and members.events[0][0] <= now:
                events.append(heapq.heappop(members.events)[2])
    finally:
        for process in processes:
            process.kill()
            process.wait()
    return ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))


def _exchange(process: subprocess.Popen[str], line: str) -> str:
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(line + "\n")
    process.stdin.flush()
    return process.stdout.readline()


# ---- seeds


def compare_seeds(builds: Builds) -> str:
    """Errors: `Difference`."""
    budgets = ((1, 1), (2, 0))
    for crashes, losses in budgets:
        arguments = ["--crashes", str(crashes), "--losses", str(losses), "--limit", str(STATES)]
        old, new = (_counts(build.run("banklift.rig.exhaustive", *arguments)) for build in builds)
        builds.compare(f"exhaustive exploration, {crashes} crashes, {losses} losses", old, new)
    for more in ([], ["--direct"]):
        for build in builds:
            code, out, errors = build.run("banklift.rig.seeds", "--count", str(SEEDS), *more)
            if code != 0:
                raise Difference(f"seeds {more} of the {build.name} build: exit {code}: {out} {errors}")
    return f"{STATES} states for each of {len(budgets)} budgets; {SEEDS} seeds with and without aggregators"


def _counts(outcome: tuple[int, str, str]) -> tuple[int, list[list[str]]]:
    """The exit code and the numbers of each line, without how long the run took: words may differ."""
    lines = re.sub(r"[\d.]+ s\b", "", outcome[1]).splitlines()
    return outcome[0], [re.findall(r"\d+", line) for line in lines]


# ---- files


def compare_files(builds: Builds) -> str:
    """Errors: `Difference`."""
    checked = 0
    with tempfile.TemporaryDirectory() as folder:
        for path in _configurations(builds.old, Path(folder)):
            old, new = (_verdict_on(build, path) for build in builds)
            builds.compare(f"banklift check {path}", old, new)
            checked += 1
    for day in sorted((builds.old.folder / "banklift/judge/days").glob("*.jsonnet")):
        old, new = (_day(build, build.folder / "banklift/judge/days" / day.name) for build in builds)
        builds.compare(f"day {day.stem}", old, new)
        checked += 1
    old, new = ((build.folder / "deploy/balancer.toml").read_text() for build in builds)
    builds.compare("deploy/balancer.toml", old, new)
    return f"{checked} configurations and days, and the deploy file"


def _configurations(build: Build, folder: Path) -> list[Path]:
    """The example, and files made from it that are fine, odd or wrong."""
    group = {
        "name": "g",
        "slots": [[0, 16383]],
        "members": [
            {"name": f"m{n}", "address": f"127.0.0.1:{7000 + n}", "primary": n == 0} for n in range(3)
        ],
    }
    base: dict[str, Any] = {
        "groups": [group],
        "classes": [
            {"name": "save", "effect": "unsafe", "need": "write", "aim": 1.0, "deadline": 2.0},
            {"name": "read", "effect": "safe", "need": "bounded", "aim": 0.5, "deadline": 2.0, "bound": 0.8},
        ],
        "default_read": "read",
        "default_write": "save",
    }
    fleet = {"name": "f", "voters": {"a": "127.0.0.1:7100"}, "lease": 3.0}
    zone = {"aggregators": {"x": {"address": "127.0.0.1:7101", "zone": "z"}}, "zone": "z"}
    contents: dict[str, Any] = {
        "plain": base,
        "unknown key": {**base, "lissten": "127.0.0.1:1"},
        "unknown class": {**base, "default_read": "reed"},
        "no classes": {**base, "classes": []},
        "bad effect": {**base, "classes": [{**base["classes"][0], "effect": "often"}, base["classes"][1]]},
        "bad aim": {**base, "classes": [{**base["classes"][0], "aim": -1}, base["classes"][1]]},
        "limits": {
            **base,
            "limits": {"clients": 5, "links": 3},
            "rules": {"cold_share": 0.5, "cold_time": 3},
        },
        "users": {**base, "users": [{"name": "default", "password": "x"}]},
        "fleet": {**base, "name": "a", "fleet": fleet},
        "fleet with aggregators": {**base, "name": "a", "fleet": {**fleet, **zone}},
        "fleet without a voter": {**base, "fleet": {**fleet, "voters": {}}},
        "short lease": {**base, "fleet": {**fleet, "lease": 0.1}},
        "aggregator alone": {"name": "x", "fleet": {**fleet, **zone}},
        "same slots twice": {**base, "groups": [group, {**group, "name": "h"}]},
    }
    paths = [build.folder / "banklift/config/example.jsonnet"]
    for name, content in contents.items():
        path = folder / f"{name.replace(' ', '-')}.json"
        path.write_text(json.dumps(content))
        paths.append(path)
    return paths


def _verdict_on(build: Build, path: Path) -> tuple[int, int]:
    """The exit code of `banklift check`, and how many lines it prints."""
    code, out, errors = build.run("banklift", "check", str(path))
    if "Traceback" in errors:
        raise Difference(f"{build.name}: banklift check {path}: {errors}")
    return code, len((out + errors).splitlines())


def _day(build: Build, path: Path) -> str:
    """The day's script and its configuration as this build reads them."""
    code = (
        "import sys, msgspec; from banklift.judge.day import load_day; "
        "sys.stdout.write(msgspec.json.encode([*load_day(sys.argv[1])]).decode())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code, str(path)],
        cwd=build.folder,
        env=build.environment(),
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


# ---- traces


def compare_traces(builds: Builds) -> str:
    """Errors: `Difference`."""
    verdicts = []
    with tempfile.TemporaryDirectory() as folder:
        for day in DAYS:
            code, _, errors = builds.old.run("banklift", "play", day, "--out", folder, "--seed", "3")
            trace = Path(folder) / f"{day}-3.trace"
            if not trace.exists():
                raise Difference(f"the old build did not record {day}: exit {code}: {errors}")
            incomplete = _with_lost_answers(trace)
            for path in (trace, incomplete):
                old, new = (_judged(build, path) for build in builds)
                builds.compare(f"verdict on {path.name}", old, new)
                verdicts.append(f"{path.name}: exit {old[0]}, {len(old[1])} figures")
    return "; ".join(verdicts)


def _judged(build: Build, trace: Path) -> tuple[int, list[str]]:
    """Exit code and all figures that the verdict prints."""
    code, out, errors = build.run("banklift", "judge", str(trace))
    return code, re.findall(r"\d+(?:\.\d+)?", out + errors)


def _with_lost_answers(trace: Path) -> Path:
    """The same trace without every fiftieth answer, so that requests are lost."""
    lines = trace.read_bytes().splitlines(keepends=True)
    answers, kept = 0, []
    for line in lines:
        if b'"k":"answer"' in line:
            answers += 1
            if answers % 50 == 0:
                continue
        kept.append(line)
    incomplete = trace.with_name(f"incomplete-{trace.name}")
    incomplete.write_bytes(b"".join(kept))
    return incomplete


# ---- service


class Platform:
    """Stand-in members and a catalogue on sockets, in a thread of their own."""

    def __init__(self) -> None:
        self.ready = threading.Event()
        self.thread = threading.Thread(target=lambda: anyio.run(self._serve), daemon=True)
        self.thread.start()
        if not self.ready.wait(START_SECONDS):
            raise RuntimeError("the stand-ins did not start")

    async def _serve(self) -> None:
        self.stopping = anyio.Event()
        async with anyio.create_task_group() as tasks, anyio.from_thread.BlockingPortal() as self.portal:
            env = SocketEnv(tasks, time.time)
            store: dict[bytes, bytes] = {}
            members = [PgMember(env, primary=index == 0, store=store).start() for index in range(3)]
            self.catalogue = Catalogue(env).start()
            for index, member in enumerate(members):
                self.catalogue.update(f"s{index}", member.address, writes=member.primary)
            self.ready.set()
            await self.stopping.wait()
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        self.portal.call(self.stopping.set)
        self.thread.join(REPLY_SECONDS)


def _statement(number: int, text: str, name: str, more: str = "") -> bytes:
    comment = f"/* id={number:016x},c={name},t=acme,d=1000,cluster=0{more} */"
    return frames.query(f"{text} {comment}".encode())


def _script() -> list[tuple[str, list[bytes]]]:
    """Conversations of clients: a title, and what is sent; each part is answered before the next one."""
    startup = frames.startup("backend", "store")
    read, insert = (
        "SELECT content FROM kv WHERE name = 'k'",
        "INSERT INTO kv (name, content) VALUES ('k', '\\x{}')",
    )
    write = insert + " RETURNING content"
    return [
        (
            "a write and reads",
            [
                startup,
                _statement(1, write.format("9f03"), "save"),
                _statement(2, read, "view"),
                _statement(3, read, "own", f",after={int(time.time() * 1000) - 60_000}"),
                _statement(4, write.format("01"), "once"),
            ],
        ),
        (
            "three in one piece",
            [
                startup,
                _statement(5, read, "view")
                + _statement(6, write.format("02"), "save")
                + _statement(7, read, "own"),
            ],
        ),
        (
            "faults in statements",
            [
                startup,
                frames.query(b"SELECT 1"),
                frames.query(b""),
                frames.query(b" ; "),
                _statement(8, read, "nonsense"),
                _statement(9, write.format("0"), "save"),
                _statement(10, read, "save"),
                _statement(11, write.format("03"), "view"),
                frames.query(f"{read} /* id=1,c=view,d=1000,cluster=0 */".encode()),
                frames.query(f"{read} /* id=1,c=view,t=other,d=1000,cluster=0 */".encode()),
                frames.query(f"{read} /* id=1,c=view,t=acme,d=99999999,cluster=0 */".encode()),
                frames.query(f"{read} /* id=1,c=view,t=acme,d=1000,cluster=9 */".encode()),
                _statement(12, read, "view", f",after={int(time.time() * 1000) + 900_000}"),
                _statement(13, read, "view"),
            ],
        ),
        ("SSL is declined", [(8).to_bytes(4, "big") + (80877103).to_bytes(4, "big"), startup]),
        ("another protocol", [(8).to_bytes(4, "big") + (2 << 16).to_bytes(4, "big")]),
        ("a message of another kind", [startup, b"P\0\0\0\x08abc\0"]),
        ("garbage", [b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 20]),
        ("terminated", [startup, b"X\0\0\0\x04"]),
    ]


def compare_service(builds: Builds) -> str:
    """Errors: `Difference`."""
    platform = Platform()
    try:
        old, new = (_answers(build, platform) for build in builds)
    finally:
        platform.stop()
    for title, answers in old.items():
        for number, answer in enumerate(answers):
            builds.compare(f"service, {title}, part {number + 1}", answer, new[title][number])
    return f"{sum(map(len, old.values()))} answers in {len(old)} conversations"


def _answers(build: Build, platform: Platform) -> dict[str, list[bytes]]:
    with tempfile.TemporaryDirectory() as folder:
        listen = f"127.0.0.1:{_free_port()}"
        config = {
            "name": "n0",
            "listen": listen,
            "discovery": platform.catalogue.address,
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": platform.catalogue.snapshot(),
            "settings": SETTINGS,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            build.command("banklift.net.service"),
            cwd=build.folder,
            env=build.environment(
                ROUTER_NAME="n0",
                ROUTER_LISTEN=listen,
                ROUTER_DISCOVERY=platform.catalogue.address,
                ROUTER_CONFIG=str(path),
            ),
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            _wait_for_line(process, "listening")
            found = {title: _converse(listen, parts) for title, parts in _script()}
            process.send_signal(signal.SIGTERM)
            _wait_for_line(process, '"left","unanswered":0')
            if process.wait(START_SECONDS) != 0:
                raise Difference(f"{build.name}: the service ended with {process.returncode}")
        finally:
            process.kill()
            process.wait()
    return found


def _wait_for_line(process: subprocess.Popen[str], text: str) -> None:
    assert process.stderr is not None
    for line in process.stderr:
        if text in line:
            return
    raise Difference(f"the process ended without the line {text!r}")


def _free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


def _converse(address: str, parts: list[bytes]) -> list[bytes]:
    """The answers to the parts of a conversation; times in them become zeros."""
    host, _, port = address.partition(":")
    answers = []
    with socket.create_connection((host, int(port)), REPLY_SECONDS) as connection:
        for part in parts:
            with contextlib.suppress(ConnectionError):
                connection.sendall(part)
            answers.append(re.sub(rb"\d{13}", b"0" * 13, _answer(connection, part)))
    return answers


def _answer(connection: socket.socket, part: bytes) -> bytes:
    """Read until as many ReadyForQuery messages came as queries were sent, or the end of the connection."""
    wanted, answer = max(1, part.count(b" */\0")), b""
    while answer.count(frames.READY_FOR_QUERY) < wanted and answer != b"N":
        try:
            data = connection.recv(65_536)
        except ConnectionError:
            return answer + b"<reset>"
        if not data:
            return answer + b"<end>"
        answer += data
    return answer


# ---- fleet


class Fleet:
    """Voters, aggregators and routers, each a process of one of the builds, before stand-in members."""

    voters = ("v0", "v1", "v2")
    aggregators = ("a0", "a1")
    routers = ("r3", "r4")

    def __init__(self, builds: Builds, folder: Path) -> None:
        self.builds, self.folder = builds, folder
        self.processes: dict[str, subprocess.Popen[str]] = {}
        self.logs: dict[str, Path] = {}
        self.addresses = {name: f"127.0.0.1:{_free_port()}" for name in (*self.voters, *self.aggregators)}
        self.listening: dict[str, str] = {}
        self.epoch = 1
        self.members = self._start_members()

    def _start_members(self) -> list[dict[str, Any]]:
        process = subprocess.Popen(
            self.builds.old.command("banklift", "stand", "--routers", "1", "--port", "0"),
            cwd=self.builds.old.folder,
            env=self.builds.old.environment(),
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.processes["members"] = process
        assert process.stdout is not None
        described = json.loads(process.stdout.readline())["nodes"]
        return [
            {"name": each["member"], "address": each["address"], "primary": each["role"] == "primary"}
            for each in described
            if each["group"] == described[0]["group"]
        ]

    def policy(self, password: str | None) -> dict[str, Any]:
        users = [] if password is None else [{"name": "default", "password": password}]
        return {
            "classes": [
                {"name": "save", "effect": "unsafe", "need": "write", "aim": 5.0, "deadline": 20.0},
                {"name": "read", "effect": "safe", "need": "fresh", "aim": 5.0, "deadline": 20.0},
            ],
            "default_read": "read",
            "default_write": "save",
            "users": users,
        }

    def file(self, name: str) -> Path:
        table: dict[str, Any] = {
            "name": "two-builds",
            "voters": {voter: self.addresses[voter] for voter in self.voters},
            "lease": LEASE_SECONDS,
            "folder": f"{name}.state",
            "zone": "here",
            "aggregators": {
                aggregator: {"address": self.addresses[aggregator], "zone": "here"}
                for aggregator in self.aggregators
            },
        }
        content: dict[str, Any] = {"name": name, "fleet": table}
        if name not in self.aggregators:
            group = {"name": "g", "slots": [[0, 16383]], "members": self.members}
            listen = self.listening.get(name, "127.0.0.1:0")
            content |= {"listen": listen, "groups": [group], **self.policy(None)}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content))
        return path

    def start(self, name: str, build: Build) -> None:
        """Errors: `Difference` if it ends before it listens."""
        command = "aggregator" if name in self.aggregators else "router"
        self.logs[name] = self.folder / f"{name}.log"
        with self.logs[name].open("a") as log:
            process = subprocess.Popen(
                build.command("banklift", command, "--config", str(self.file(name))),
                cwd=build.folder,
                env=build.environment(),
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self.processes[name] = process
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise Difference(f"{name} of the {build.name} build did not start: {self.logs[name].read_text()}")
        if command == "router":
            self.listening[name] = json.loads(line)["listening"]

    def stop(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        self.processes[name].send_signal(number)
        self.processes[name].wait(START_SECONDS)

    def close(self) -> None:
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM if name == "members" else signal.SIGKILL)
                process.wait(START_SECONDS)

    def change_policy(self, tool: Build, password: str | None) -> None:
        """Put a policy in force by one build's tool, and wait until every router that runs serves under it."""
        path = self.folder / "policy.json"
        path.write_text(json.dumps(self.policy(password)))
        config = str(self.folder / "v0.json")
        code, out, errors = tool.run("banklift", "policy", "set", str(path), "--config", config, "--json")
        answer = json.loads(out) if out.strip() else {}
        if code != 0 or answer.get("result") != "in force":
            raise Difference(f"policy set by the {tool.name} build: exit {code}, {out} {errors}")
        self.epoch += 1
        expected = b"$-1\r\n" if password is None else b"-NOAUTH"
        running = [name for name in (*self.voters, *self.routers) if self.processes[name].poll() is None]
        for name in running:
            _until(
                f"{name} serves under epoch {self.epoch}",
                lambda name=name: self._get(name).startswith(expected),
            )

    def _get(self, name: str) -> bytes:
        host, _, port = self.listening[name].partition(":")
        with socket.create_connection((host, int(port)), REPLY_SECONDS) as connection:
            connection.sendall(b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n")
            return connection.recv(4096)

    def check_shown(self) -> None:
        """`banklift fleet --json` of both builds shows the same members at the same epoch."""

        def shown() -> bool:
            tables = [self._show(build) for build in self.builds]
            return tables[0] == tables[1] and {row[1] for row in tables[0]} == {self.epoch}

        _until("both builds show the fleet at one epoch", shown)

    def _show(self, build: Build) -> list[tuple[str, int]]:
        code, out, errors = build.run(
            "banklift", "fleet", "--routers", "--json", "--config", str(self.folder / "v0.json")
        )
        if code != 0:
            raise Difference(f"banklift fleet of the {build.name} build: exit {code}: {errors}")
        content = json.loads(out)
        leased = [row for rows in content["routers_of"].values() for row in rows]
        rows = [*content["holders"], *leased]
        return sorted({(row["name"], row["epoch"]) for row in rows if row["left"] > 0})


def _until(what: str, check: Callable[[], bool]) -> None:
    """Errors: `Difference` if the check does not hold in time."""
    end = time.monotonic() + FLEET_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if check():
                return
        time.sleep(0.05)
    raise Difference(f"not reached within {FLEET_SECONDS:g} s: {what}")


def compare_fleet(builds: Builds) -> str:
    """Errors: `Difference`."""
    old, new = builds
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(builds, Path(folder))
        try:
            builds_of = {"v0": old, "v1": new, "v2": old, "a0": old, "a1": new, "r3": old, "r4": new}
            for name, build in builds_of.items():
                fleet.start(name, build)
            fleet.change_policy(new, "one")
            fleet.change_policy(old, None)
            fleet.check_shown()
            # all routers lease from the old aggregator, then from the new one
            for stopped in ("a1", "a0"):
                fleet.stop(stopped)
                fleet.change_policy(new, "two")
                fleet.change_policy(old, None)
                fleet.start(stopped, builds_of[stopped])
            fleet.check_shown()
            # each voter goes over to the other build on the data directory that it has
            others = {"v0": new, "v1": old, "v2": new}
            for voters in (others, {name: builds_of[name] for name in others}):
                for name, build in voters.items():
                    fleet.stop(name)
                    fleet.start(name, build)
                    fleet.change_policy(build, "three")
                    fleet.change_policy(build, None)
            fleet.check_shown()
            # routers of both builds end in order
            for name in fleet.routers:
                fleet.stop(name, signal.SIGTERM)
                if fleet.processes[name].returncode != 0:
                    raise Difference(f"{name} ended with {fleet.processes[name].returncode}")
        finally:
            fleet.close()
    return (
        f"{fleet.epoch - 1} policy changes in force on 3 voters, 2 aggregators and 2 routers of both builds"
    )


PARTS: dict[str, Callable[[Builds], str]] = {
    "decisions": compare_decisions,
    "seeds": compare_seeds,
    "files": compare_files,
    "traces": compare_traces,
    "service": compare_service,
    "fleet": compare_fleet,
}


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", type=Path, required=True, help="checkout of the old build")
    parser.add_argument(
        "--new", type=Path, default=Path(__file__).parent.parent, help="checkout of the new build"
    )
    parser.add_argument(
        "--part", action="append", choices=list(PARTS), help="only this part; may be repeated"
    )
    options = parser.parse_args(arguments)
    builds = Builds(Build("old", options.old.resolve()), Build("new", options.new.resolve()))
    differences = 0
    for name in options.part or PARTS:
        try:
            print(f"{name}: same: {PARTS[name](builds)}", flush=True)
        except Difference as difference:
            differences += 1
            print(f"{name}: DIFFERENT: {difference}", flush=True)
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
