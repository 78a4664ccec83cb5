"""The module goes on under new settings, with all that it knows and all that is open.

What is open keeps the class that it was taken as, by whatever name the new settings know that class or don't. A class
that stays has the usual latency that was seen; a new one begins as at the start. A class that has gone is remembered
for as long as something of it is open, and no longer than the next change.
"""

from __future__ import annotations

from banklift.balance import FIRST_LATENCY, STEP, Balancer
from banklift.interface import Settings


def adopt(balancer: Balancer, settings: Settings) -> None:
    """Between two events. Members, sessions, timers and requests stay as they are."""
    kinds = {pending.kind.name: pending.kind for pending in balancer.requests.values()}
    kinds.update((kind.name, kind) for kind in settings.classes)
    balancer.settings = settings
    balancer.kinds = kinds
    balancer.shortest = min(kind.aim for kind in settings.classes)
    floor = STEP * balancer.shortest
    balancer.usual = {
        name: max(floor, balancer.usual.get(name, FIRST_LATENCY * kind.aim)) for name, kind in kinds.items()
    }
    for group in balancer.groups.values():
        for name in [name for name, held in group.held.items() if not held and name not in kinds]:
            del group.held[name]
