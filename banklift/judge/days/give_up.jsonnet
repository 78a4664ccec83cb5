local base = import 'base.libsonnet';
base.day(
  'clients that leave early and ask again, while members are slow',
  base.spell('leavers', '', 0.5, 7, 0.9, 0.2) + base.spell('slow', '*', 1, 5, 250, 1),
  { left: 30 },
)
