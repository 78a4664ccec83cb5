local base = import 'base.libsonnet';
base.day(
  'a few requests that cost many times the usual work',
  base.spell('tail', '*', 1, 7, 60, 1),
  { tail: 20 },
)
