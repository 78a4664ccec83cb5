local base = import 'base.libsonnet';
base.day(
  'members that are slow to serve a new connection',
  base.spell('handshake', '*', 0, 6, 0.25) + [{ at: 2, do: 'kill_router', router: 0 }, { at: 2.5, do: 'start_router', router: 0 }],
  { slowest: 20 },
)
