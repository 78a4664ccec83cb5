local base = import 'base.libsonnet';
base.day(
  'a member that slows down more and more, and dies',
  [{ at: 1 + n, do: 'slow', member: 'west-1', value: std.pow(3, n + 1) } for n in std.range(0, 3)] + base.outage('west-1', 5.5, 7) + [{ at: 7, do: 'slow', member: 'west-1', value: 1 }],
  { slowest: 5, cold: 1 },
)
