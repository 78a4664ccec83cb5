"""Measures what a policy costs by its size: a voter's write to disk, and a router's check of it and change to it."""

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

ROUNDS = 5  # of which the least time counts
FLEET_NAME, VOTER_NAME = "measured", "voter"
DESCRIPTORS = 20_000  # descriptors that the check of a policy assumes the process may open


@dataclass(frozen=True, slots=True)
class PolicyCosts:
    """What a policy of one size costs."""

    size: int  # bytes of the policy
    save_seconds: float  # elapsed, of one write by a voter while a change is under way
    save_bytes: int  # written by it
    check_seconds: float  # processor time of a router's check
    adopt_seconds: float  # processor time of a router's change to the policy


def policy_costs(size: int, folder: Path | None = None, rounds: int = ROUNDS) -> PolicyCosts:
    """Measure a policy of so many bytes. The voter writes below `folder`, by default that of temporary files.

    Errors: `StoreError` if the disk fails.
    """
    save_seconds, save_bytes = _measure_save(size, folder, rounds)
    check_seconds, adopt_seconds = _measure_change(size, rounds)
    return PolicyCosts(size, save_seconds, save_bytes, check_seconds, adopt_seconds)


def _measure_save(size: int, folder: Path | None, rounds: int) -> tuple[float, int]:
    """Elapsed seconds of one write of a voter's record, as it waits for the disk, and the bytes of the record."""
    text = b"x" * size
    change = Change("2-measured", text, 2, VOTER_NAME, 1.0)
    record = Record(FLEET_NAME, VOTER_NAME, 1, state=State(FLEET_NAME, 2, 1, text, change))
    content = msgspec.msgpack.encode(record)
    elapsed = []
    with tempfile.TemporaryDirectory(dir=folder) as slots_folder:
        slots = Slots(Path(slots_folder))
        for _ in range(rounds):
            begin = time.monotonic()
            slots.save(content)
            elapsed.append(time.monotonic() - begin)
    return min(elapsed), len(content)


def _measure_change(size: int, rounds: int) -> tuple[float, float]:
    """Processor seconds of a router's check of a policy, and of its change to the policy."""
    config = site.parsed_config()
    text = policy_text(config, size)
    machine = build.machine(config, 1)
    machine.handle(0.0, build.roster(config, config.groups, 0.0))
    check_seconds, adopt_seconds = [], []
    for _ in range(rounds):
        begin = time.process_time()
        reasons = policy.objections(config, text, DESCRIPTORS)
        checked = time.process_time()
        assert reasons == (), reasons
        machine.handle(1.0, build.adopt(config, policy.decode(text)))
        check_seconds.append(checked - begin)
        adopt_seconds.append(time.process_time() - checked)
    return min(check_seconds), min(adopt_seconds)


def policy_text(config: Config, size: int) -> bytes:
    """A valid policy for this configuration of about so many bytes: its own policy with as many more routes as fit."""
    fields = json.loads(policy.policy_of(config))
    own_size = len(json.dumps(fields))
    route = {"to": "loose", "keys": "key-00000000:*", "commands": ["GET"]}
    for number in range(max(0, (size - own_size) // len(json.dumps(route)))):
        fields["routes"].insert(0, {**route, "keys": f"key-{number:08}:*"})
    return policy.encode(msgspec.convert(fields, policy.Policy))
