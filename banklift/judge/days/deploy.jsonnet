local base = import 'base.libsonnet';
base.day(
  'members drained, stopped and started again, one after the other',
  std.flattenArrays([[{ at: 0.5 + n, do: 'drain', member: m }] + base.outage(m, 1.5 + n, 1.9 + n) + [{ at: 2 + n, do: 'undrain', member: m }] for n in std.range(0, 5) for m in [['west-1', 'east-1', 'west-2', 'east-2', 'west-0', 'east-0'][n]]]),
  { told: 12, cold: 6, 'fail-overs': 2 },
)
