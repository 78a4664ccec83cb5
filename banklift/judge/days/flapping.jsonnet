local base = import 'base.libsonnet';
base.day(
  'a member that dies and comes back again and again',
  std.flattenArrays([base.outage('west-1', 1 + 0.8 * n, 1.4 + 0.8 * n) for n in std.range(0, 6)]),
  { cold: 7 },
)
