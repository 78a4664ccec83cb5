"""The rig's site: one group of emulated members, and two variants of its policy that an observer can tell apart.

Keys are of two families, `a:` and `b:`. Under variant 0 any member may serve reads of `a:`, and only the primary those
of `b:`; under variant 1 it is the other way round. So a read that a replica ran shows which variant the router applied
(judge.py).
"""

from __future__ import annotations

import json
from typing import Any

import msgspec

from banklift.proxy.plan import Config

CLASSES = [
    {"name": "save", "effect": "unsafe", "need": "write", "aim": 1.0, "deadline": 2.0},
    {"name": "loose", "effect": "safe", "need": "any", "aim": 0.5, "deadline": 2.0},
    {"name": "tight", "effect": "safe", "need": "fresh", "aim": 0.5, "deadline": 2.0},
]


def policy(variant: int, time_factor: float = 1.0, **replaced: Any) -> dict[str, Any]:
    """The policy of a variant, as its file has it.

    `time_factor`: multiplies all aims and deadlines. `replaced`: top-level keys in place of the usual ones.
    """
    classes = [
        {**entry, "aim": time_factor * entry["aim"], "deadline": time_factor * entry["deadline"]}  # type: ignore[operator]
        for entry in CLASSES
    ]
    loose, tight = ("a:*", "b:*") if variant == 0 else ("b:*", "a:*")
    return {
        "classes": classes,
        "default_read": "tight",
        "default_write": "save",
        "routes": [
            {"to": "loose", "keys": loose, "commands": ["GET"]},
            {"to": "tight", "keys": tight, "commands": ["GET"]},
        ],
        **replaced,
    }


def policy_text(variant: int, time_factor: float = 1.0, **replaced: Any) -> str:
    """The policy of a variant as the JSON text of its file; parameters as for `policy`."""
    return json.dumps(policy(variant, time_factor, **replaced))


def config(time_factor: float = 1.0, replicas: int = 2) -> dict[str, Any]:
    """A router's configuration with policy variant 0, as its file has it; the members' addresses have no ports yet."""
    members = [
        {"name": f"m{index}", "address": "127.0.0.1:0", "primary": index == 0}
        for index in range(replicas + 1)
    ]
    return {
        "groups": [{"name": "only", "slots": [[0, 16383]], "members": members}],
        **policy(0, time_factor),
    }


def parsed_config(time_factor: float = 1.0) -> Config:
    """`config` as the program's own type."""
    return msgspec.convert(config(time_factor), Config)
