local base = import 'base.libsonnet';
base.day(
  'members that are slow to serve a new connection',
  base.spell('handshake', '*', 0, 6, 0.25)
  + std.flattenArrays([[{ at: 2 + n, do: 'kill_router', router: n }, { at: 2.3 + n, do: 'start_router', router: n }] for n in [0, 1]]),
  { tail: 20 },
)
