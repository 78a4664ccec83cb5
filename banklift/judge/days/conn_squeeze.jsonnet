local base = import 'base.libsonnet';
base.day(
  'members that accept few connections',
  base.spell('cap', '*', 0.5, 6, 3, 10000),
  { 'member full': 5 },
)
