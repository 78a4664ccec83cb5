"""What the size of a policy costs: a voter's write to disk, and a router's check and change to it."""

from __future__ import annotations

import json
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from banklift.config import build, policy
from banklift.fleet.register import Record
from banklift.fleet.state import Change, State
from banklift.proxy.plan import Config
from banklift.rig import site
from banklift.store.slots import Slots

ROUNDS = 5
FLEET, VOTER = "measured", "voter"
DESCRIPTORS = 20_000  # that the check of a policy counts with


@dataclass(frozen=True, slots=True)
class PolicyCosts:
    """Of a policy of so many bytes: seconds of one write by a voter while a change is under way (elapsed, as a disk
    waits), bytes that it writes, and processor seconds of a router's check and of its change to it."""

    size: int
    save: float
    save_bytes: int
    check: float
    adopt: float


def policy_costs(size: int, folder: Path | None = None, rounds: int = ROUNDS) -> PolicyCosts:
    """Measure one size; the disk is that of the folder, else that of temporary files."""
    save, save_bytes = _save(size, folder, rounds)
    check, adopt = _change(size, rounds)
    return PolicyCosts(size, save, save_bytes, check, adopt)


def _save(size: int, folder: Path | None, rounds: int) -> tuple[float, int]:
    text = b"x" * size
    change = Change("2-measured", text, 2, VOTER, 1.0)
    record = Record(FLEET, VOTER, 1, state=State(FLEET, 2, 1, text, change))
    content = msgspec.msgpack.encode(record)
    times = []
    with tempfile.TemporaryDirectory(dir=folder) as place:
        slots = Slots(Path(place))
        for _ in range(rounds):
            begin = time.monotonic()
            slots.save(content)
            times.append(time.monotonic() - begin)
    return min(times), len(content)


def _change(size: int, rounds: int) -> tuple[float, float]:
    config = site.site()
    text = policy_text(config, size)
    machine = build.machine(config, 1)
    machine.handle(0.0, build.roster(config, config.groups, 0.0))
    checks, adoptions = [], []
    for _ in range(rounds):
        begin = time.process_time()
        reasons = policy.against(config, text, DESCRIPTORS)
        checked = time.process_time()
        assert reasons == (), reasons
        machine.handle(1.0, build.adopt(config, policy.decode(text)))
        checks.append(checked - begin)
        adoptions.append(time.process_time() - checked)
    return min(checks), min(adoptions)


def policy_text(config: Config, size: int) -> bytes:
    """A policy that can be served, of about so many bytes: as many routes as fit."""
    raw = json.loads(policy.of(config))
    plain = len(json.dumps(raw))
    one = {"to": "loose", "keys": "key-00000000:*", "commands": ["GET"]}
    for number in range(max(0, (size - plain) // len(json.dumps(one)))):
        raw["routes"].insert(0, {**one, "keys": f"key-{number:08}:*"})
    return policy.encode(msgspec.convert(raw, policy.Policy))
