"""The rig's site: one group of stand-ins, and policies whose parity shows at the members (judge.py)."""

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


def policy(parity: int, times: float = 1.0, **more: Any) -> dict[str, Any]:
    """Of that parity. `times`: of the usual deadlines. `more`: keys in place of the usual ones."""
    classes = [
        {**kind, "aim": times * kind["aim"], "deadline": times * kind["deadline"]}  # type: ignore[operator]
        for kind in CLASSES
    ]
    loose, tight = ("a:*", "b:*") if parity == 0 else ("b:*", "a:*")
    return {
        "classes": classes,
        "default_read": "tight",
        "default_write": "save",
        "routes": [
            {"to": "loose", "keys": loose, "commands": ["GET"]},
            {"to": "tight", "keys": tight, "commands": ["GET"]},
        ],
        **more,
    }


def text(parity: int, times: float = 1.0, **more: Any) -> str:
    return json.dumps(policy(parity, times, **more))


def config(times: float = 1.0, replicas: int = 2) -> dict[str, Any]:
    members = [
        {"name": f"m{place}", "address": "127.0.0.1:0", "primary": place == 0}
        for place in range(replicas + 1)
    ]
    return {"groups": [{"name": "only", "slots": [[0, 16383]], "members": members}], **policy(0, times)}


def site(times: float = 1.0) -> Config:
    return msgspec.convert(config(times), Config)
