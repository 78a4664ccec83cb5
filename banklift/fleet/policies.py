"""Texts of policies that a lease holder keeps, by digest, and what its own check says of them. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from banklift.fleet.state import digest

MAX_POLICIES = 4  # texts that are kept beyond those in use

Check = Callable[[bytes], tuple[str, ...]]


class PolicyCache:
    """`check` says what is against a policy, nothing if it can be served. Each text is checked once."""

    def __init__(self, check: Check) -> None:
        self.check = check
        self.texts: dict[str, bytes] = {}  # the newest last
        self.verdicts: dict[str, tuple[str, ...]] = {}

    def keep(self, text: bytes, in_use: Iterable[str]) -> None:
        """Add a text; the oldest of those that are not in use make room."""
        known = digest(text)
        self.texts.pop(known, None)
        self.texts[known] = text
        kept = {known, *in_use}
        for old in list(self.texts):
            if len(self.texts) <= MAX_POLICIES:
                break
            if old not in kept:
                del self.texts[old]
                self.verdicts.pop(old, None)

    def verdict(self, known: str) -> tuple[str, ...]:
        """Reasons against a policy whose text is kept."""
        if known not in self.verdicts:
            self.verdicts[known] = self.check(self.texts[known])
        return self.verdicts[known]
