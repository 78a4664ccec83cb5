local base = import 'base.libsonnet';
base.day(
  'a router that stands still for a while',
  [{ at: 2, do: 'stall_router', router: 0, value: 0.8 }, { at: 5, do: 'stall_router', router: 1, value: 1.5 }],
  { 'silent router': 0.7 },
)
