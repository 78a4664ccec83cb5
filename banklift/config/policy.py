"""Policies: the part of the operator's file that may change while a fleet runs, and its canonical encoding.

A policy file is Jsonnet or JSON with the keys of `Policy`. A key that it leaves out has its default, as in the whole
file. Keys that a running router can't change (where it listens, the members of its groups, its fleet) are refused with
the reason.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from banklift.config.check import check
from banklift.config.load import ConfigError, evaluate
from banklift.proxy.plan import Class, Config, Limits, Route, Rules, Strict, User

# keys of the whole file that a policy can't have, and why
FIXED_KEYS = {
    "listen": "a router listens where it was started",
    "name": "a router keeps its name",
    "groups": "members come from the roster",
    "roster": "the roster's file is watched from the start",
    "source": "links to members are there already",
    "sessions": "sessions are under way",
    "member_user": "links to members are there already",
    "member_password": "links to members are there already",
    "fleet": "voters are changed one at a time, not by a policy",
}


class Policy(Strict, kw_only=True, frozen=True):
    """The keys of a policy; they have the same meaning in the operator's file (proxy/plan.py)."""

    classes: list[Class]
    routes: list[Route] = msgspec.field(default_factory=list)
    default_read: str
    default_write: str
    users: list[User] = msgspec.field(default_factory=list)
    limits: Limits = msgspec.field(default_factory=Limits)
    rules: Rules = msgspec.field(default_factory=Rules)


_encoder = msgspec.json.Encoder(order="deterministic")


def encode(policy: Policy) -> bytes:
    """The canonical JSON of a policy, by which all routers know it: equal policies have equal bytes.

    Keys are sorted. Left out are empty lists, and limits and rules that have their default.
    """
    raw = msgspec.to_builtins(policy)
    for name, default in (("limits", Limits()), ("rules", Rules())):
        default_fields = msgspec.to_builtins(default)
        raw[name] = {key: value for key, value in raw[name].items() if value != default_fields[key]}
    return _encoder.encode({key: value for key, value in raw.items() if value not in ([], {})})


def policy_of(config: Config) -> bytes:
    """The canonical JSON of the policy in a whole file."""
    return encode(Policy(**{name: getattr(config, name) for name in Policy.__struct_fields__}))


def with_policy(config: Config, policy: Policy) -> Config:
    """The whole file with its policy replaced by this one."""
    return msgspec.structs.replace(
        config, **{name: getattr(policy, name) for name in Policy.__struct_fields__}
    )


def decode(text: bytes) -> Policy:
    """Decodes the JSON of a policy. Errors: `ValueError` with place and reason."""
    try:
        raw: Any = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"$: not JSON: {error}") from None
    if isinstance(raw, dict):
        for name, reason in FIXED_KEYS.items():
            if name in raw:
                raise ValueError(f"$.{name}: a policy can't change it: {reason}")
    try:
        return msgspec.convert(raw, Policy)
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at ")
        raise ValueError(f"{place.strip('`') or '$'}: {reason}") from None


def objections(config: Config, text: bytes, descriptors: int) -> tuple[str, ...]:
    """Every problem that this router has with a policy, as `place: reason`; none if it can serve under it.

    `descriptors`: how many file descriptors this process may hold.
    """
    try:
        policy = decode(text)
    except ValueError as error:
        return (str(error),)
    problems = check(with_policy(config, policy))
    # the default limit is not checked, only one that the policy states
    if policy.limits.clients != Limits().clients and policy.limits.clients >= descriptors:
        problems.append(
            f"$.limits.clients: {policy.limits.clients} clients, and this process may hold {descriptors} "
            "descriptors"
        )
    return tuple(problems)


def load(path: Path) -> bytes:
    """Loads a policy file as canonical JSON. Errors: `ConfigError` with file, place and reason."""
    try:
        return encode(decode(evaluate(path)))
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
