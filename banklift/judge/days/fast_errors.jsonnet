local base = import 'base.libsonnet';
base.day(
  'members that cut off part of their requests at once',
  base.spell('cut', 'west-1', 1, 5, 0.7) + base.spell('cut', 'east-0', 2, 4, 0.4),
  { 'member closed': 10 },
)
