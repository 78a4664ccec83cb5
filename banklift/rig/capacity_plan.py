"""The fleet size that capacity is planned for, and the budgets of control at that size.

The figures are those of the plan for two years ahead; none is measured. What follows from them by arithmetic is
computed here as well, so that all pages and benchmarks use the same values. "Control" is all that a fleet does besides
carrying requests: leases, changes of policy, and the list of members.
"""

from __future__ import annotations

DAY = 86_400.0  # seconds

# ---- the planned fleet

ROUTERS = 6_200
MEMBERS = 8_400  # databases behind each router
REGIONS = 3
ZONES = 8  # docs/questions.md: either 8 in each region or 8 in all regions together
ZONES_IN_ALL_REGIONS = REGIONS * ZONES  # if there are 8 in each region
CLIENT_CONNECTIONS = 19_000_000  # to all routers together
STATEMENTS = 13_000_000  # a second, over all routers
PRIMARY_CHANGES = 22  # a day
PRIMARY_CHANGE_TIME = 11.0  # seconds within which each is over
CONFIGURATION_CHANGES = 30_000  # a day
CHANGE_TIME = 5.0  # seconds until a change of configuration is in force everywhere
MACHINE_FAILURES = 47  # a day
ROUTER_RESTARTS = 1_100  # routers restarted or replaced, a day
ISOLATION = 3_600.0  # seconds for which regions may lose each other

# ---- budgets

ROUTER_CORE_SHARE = 0.025  # fraction of a core that a router spends on control
ROUTER_MEMORY = 64_000_000  # bytes of a router for control
ROUTER_BYTES = 7_000.0  # bytes a second of a router's control traffic
CONTROL_MACHINES = 20  # for voters and aggregators

# ---- targets of the control processes

VOTERS = 5
AGGREGATORS = CONTROL_MACHINES - VOTERS
VOTER_CORE_SHARE = 0.25  # fraction of a core
AGGREGATOR_CORE_SHARE = 0.5  # fraction of a core
CHANGE_MEDIAN = 1.0  # seconds until half of the changes are in force
CHANGE_PERCENTILE_99 = 5.0  # seconds until 99 of 100 changes are in force

# ---- computed from the above

CHANGES_PER_SECOND = CONFIGURATION_CHANGES / DAY
EVENTS_A_DAY = MACHINE_FAILURES + ROUTER_RESTARTS  # times that a router goes away and comes back
CLIENTS_PER_ROUTER = CLIENT_CONNECTIONS / ROUTERS
STATEMENTS_PER_ROUTER = STATEMENTS / ROUTERS  # a second
MEMBER_CONNECTIONS = ROUTERS * MEMBERS  # one connection of every router to every member
ROUTERS_PER_AGGREGATOR = ROUTERS / AGGREGATORS

# ---- what is measured

HOLDER_COUNTS = (40, 200, 1_000, 6_200)  # lease holders of one grantor
ROUTER_COUNTS = (200, 1_000, 3_000, 6_200)  # routers of a hollow fleet
MEMBER_COUNTS = (100, 500, 2_000, 8_400)  # members in a list
# bytes of a policy; the last one is the limit, less a margin for its frame
POLICY_SIZES_BYTES = (4 * 1024, 16 * 1024, 64 * 1024, 256 * 1024 - 512)
SAVES_PER_CHANGE = 6  # writes to disk by a voter: a promise and an acceptance in each of 3 steps
USUAL_POLICY_BYTES = 4 * 1024  # bytes of a policy in the measured fleets

# ---- settings of the planned fleet

LEASE_SECONDS, SUB_LEASE_SECONDS = 3.5, 2.3  # seconds; docs/CAPACITY.md gives the reasons
