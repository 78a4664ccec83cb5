"""The size that is planned for, and the budgets of control at that size, as named constants.

All figures are those of the plan for two years ahead; none is measured. What follows from them by arithmetic is
reckoned here too, so that every page and benchmark uses the same values.
"""

from __future__ import annotations

DAY = 86_400.0  # seconds

ROUTERS = 6_200
DATABASES = 8_400  # members that each router stands before
REGIONS = 3
ZONES = 8  # read as 8 in each region or 8 in all: docs/questions.md
ZONES_IN_ALL = REGIONS * ZONES  # by the reading of 8 in each region
CLIENT_CONNECTIONS = 19_000_000
STATEMENTS = 13_000_000  # a second, over all routers
PRIMARY_CHANGES = 22  # a day
PRIMARY_CHANGE_TIME = 11.0  # seconds within which each is over
CONFIGURATION_CHANGES = 30_000  # a day
CHANGE_TIME = 5.0  # seconds until a change of configuration is in force everywhere
MACHINES_FAILING = 47  # a day
RESTARTS = 1_100  # routers restarted or replaced, a day
ISOLATION = 3_600.0  # seconds that regions may lose each other for

ROUTER_CORE_SHARE = 0.025  # of a core, for control
ROUTER_MEMORY = 64_000_000  # bytes, for control
ROUTER_BYTES = 7_000.0  # a second, for control
CONTROL_MACHINES = 20

# aims of the control processes at that size
VOTERS = 5
AGGREGATORS = CONTROL_MACHINES - VOTERS
VOTER_CORE_SHARE = 0.25
AGGREGATOR_CORE_SHARE = 0.5
CHANGE_MEDIAN = 1.0  # seconds
CHANGE_99 = 5.0  # seconds, in 99 of 100

# reckoned
CHANGES_A_SECOND = CONFIGURATION_CHANGES / DAY
EVENTS_A_DAY = MACHINES_FAILING + RESTARTS  # routers that leave and come, a day
CLIENTS_A_ROUTER = CLIENT_CONNECTIONS / ROUTERS
STATEMENTS_A_ROUTER = STATEMENTS / ROUTERS
MEMBER_CONNECTIONS = ROUTERS * DATABASES  # one connection of every router to every member
ROUTERS_AN_AGGREGATOR = ROUTERS / AGGREGATORS

SIZES = (40, 200, 1_000, 6_200)  # at which costs are measured
FLEET_SIZES = (200, 1_000, 3_000, 6_200)  # of hollow fleets
LIST_SIZES = (100, 500, 2_000, 8_400)  # members of a list
POLICY_SIZES = (4 * 1024, 16 * 1024, 64 * 1024, 256 * 1024 - 512)  # bytes; the last: the most, less its frame
SAVES_A_CHANGE = 6  # writes to disk by one voter: a promise and an acceptance for each of its three steps
POLICY_USUAL = 4 * 1024  # bytes of a policy in the fleets that are measured

LEASE, SUB_LEASE = 3.5, 2.3  # seconds, chosen for the planned fleet: docs/CAPACITY.md says why
