local base = import 'base.libsonnet';
base.day(
  'members that join while the load goes on',
  [{ at: 2, do: 'join', member: 'west-2' }, { at: 3, do: 'join', member: 'east-2' }],
  { cold: 2 },
) + { absent: ['west-2', 'east-2'] }
