local base = import 'base.libsonnet';
base.day(
  'replicas that apply the log far more slowly, and answer as fast as ever',
  std.flattenArrays([base.spell('lag', m, 1, 6, 2000, 1) for m in ['west-1', 'west-2', 'east-1']]),
  { 'primary reads': 42 },
)
