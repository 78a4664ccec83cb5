local base = import 'base.libsonnet';
base.day(
  'a roster that runs late while members die and drain',
  [{ at: 0.5, do: 'roster_delay', value: 3 }, { at: 1, do: 'drain', member: 'west-1' }] + base.outage('west-1', 2, 4) + base.outage('east-0', 2, 4),
  { told: 1, 'fail-overs': 1 },
)
