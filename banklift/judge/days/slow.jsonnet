local base = import 'base.libsonnet';
base.day(
  'members that run many times slower',
  base.spell('slow', 'west-1', 1, 6, 30, 1) + base.spell('slow', 'east-0', 2, 5, 10, 1),
  { slowest: 8 },
)
