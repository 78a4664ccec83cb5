"""A lease holder's cache of policy texts by digest, with the results of its own check. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from banklift.fleet.state import digest

MAX_POLICIES = 4  # texts kept; more only while more are in use

PolicyCheck = Callable[[bytes], tuple[str, ...]]


class PolicyCache:
    """Policy texts and verdicts by digest.

    `check`: returns the reasons against a policy, empty if it can be served. Each text is checked once.
    """

    def __init__(self, check: PolicyCheck) -> None:
        self.check = check
        self.texts: dict[str, bytes] = {}  # by digest, the newest last
        self.verdicts: dict[str, tuple[str, ...]] = {}

    def add(self, text: bytes, in_use: Iterable[str]) -> None:
        """Add a text; the oldest ones whose digest is not in `in_use` make room."""
        policy_digest = digest(text)
        self.texts.pop(policy_digest, None)
        self.texts[policy_digest] = text
        kept = {policy_digest, *in_use}
        for old in list(self.texts):
            if len(self.texts) <= MAX_POLICIES:
                break
            if old not in kept:
                del self.texts[old]
                self.verdicts.pop(old, None)

    def verdict(self, policy_digest: str) -> tuple[str, ...]:
        """Reasons against a policy, by its digest. Errors: `KeyError` if its text is not kept."""
        if policy_digest not in self.verdicts:
            self.verdicts[policy_digest] = self.check(self.texts[policy_digest])
        return self.verdicts[policy_digest]
