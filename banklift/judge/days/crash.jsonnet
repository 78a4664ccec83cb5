local base = import 'base.libsonnet';
base.day(
  'members that die, a primary among them with writes that no replica has, and come back cold',
  [{ at: 1.95, do: 'withhold', member: 'west-0', value: 1 }] +
  base.outage('west-0', 2, 4) + [{ at: 4, do: 'withhold', member: 'west-0' }] +
  base.outage('east-1', 2, 4) + base.outage('east-2', 3, 5),
  { 'fail-overs': 1, cold: 3 },
)
