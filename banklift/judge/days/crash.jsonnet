local base = import 'base.libsonnet';
base.day(
  'members that die, a primary among them, and come back cold',
  base.outage('west-0', 2, 4) + base.outage('east-1', 2, 4) + base.outage('east-2', 3, 5),
  { 'fail-overs': 1, cold: 3 },
)
