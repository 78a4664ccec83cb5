local base = import 'base.libsonnet';
base.day(
  'members that report less than they have, while they are slow',
  base.spell('understate', '*', 0.5, 7, 0.1, 1) + base.spell('slow', 'west-1', 1, 5, 40, 1) + base.spell('slow', 'east-2', 1, 5, 40, 1),
  { slowest: 5 },
)
