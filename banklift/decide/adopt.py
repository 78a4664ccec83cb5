"""Change of a balancer's settings while it runs, with all that it knows and all requests that are pending.

A pending request keeps the class with which it came in, whether or not the new settings have a class of that name. A
class that stays keeps the usual latency that was measured; a new one begins with the initial latency. A class that was
removed is remembered as long as a request of it is pending, and forgotten by the next change after that.
"""

from __future__ import annotations

from banklift.balance import INITIAL_LATENCY_AIM_SHARE, TICK_SHORTEST_AIMS, Balancer
from banklift.interface import Settings


def adopt(balancer: Balancer, settings: Settings) -> None:
    """Replace the settings of a balancer between two events; members, sessions, timers and requests stay."""
    classes = {pending.request_class.name: pending.request_class for pending in balancer.requests.values()}
    classes.update((request_class.name, request_class) for request_class in settings.classes)
    balancer.settings = settings
    balancer.classes = classes
    balancer.shortest_aim = min(request_class.aim for request_class in settings.classes)
    min_latency = TICK_SHORTEST_AIMS * balancer.shortest_aim
    balancer.usual_latency = {
        name: max(
            min_latency, balancer.usual_latency.get(name, INITIAL_LATENCY_AIM_SHARE * request_class.aim)
        )
        for name, request_class in classes.items()
    }
    for group in balancer.groups.values():
        for name in [name for name, held in group.held.items() if not held and name not in classes]:
            del group.held[name]
