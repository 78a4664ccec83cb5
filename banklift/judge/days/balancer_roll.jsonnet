local base = import 'base.libsonnet';
base.day(
  'routers restarted one after the other',
  std.flattenArrays([[{ at: 1 + 2 * n, do: 'kill_router', router: n }, { at: 2 + 2 * n, do: 'start_router', router: n }] for n in [0, 1]]),
  { killed: 2 },
)
