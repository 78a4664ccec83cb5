local base = import 'base.libsonnet';
base.day(
  'a member that is slow towards one router only',
  base.spell('slow_for', 'west-1', 1, 7, 100, 1, 0) + base.spell('slow_for', 'east-0', 2, 5, 60, 1, 1),
  { 'one-sided': 20 },
)
