local base = import 'base.libsonnet';
base.day(
  'members taken away at short notice, and replaced',
  std.flattenArrays([[{ at: n, do: 'drain', member: m }] + base.outage(m, n + 0.4, n + 2) + [{ at: n + 2, do: 'undrain', member: m }] for n in [1, 3.5] for m in (if n == 1 then ['west-1', 'east-0'] else ['west-2', 'east-1'])]),
  { told: 8, cold: 4, 'fail-overs': 1 },
)
