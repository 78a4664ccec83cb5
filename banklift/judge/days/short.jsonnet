// The demonstration: a lagging replica, a primary that hangs, a primary that is killed, a drain, and a router that is killed.
{
  title: 'a short bad day',
  seconds: 14,
  rate: 250,
  sessions: 60,
  requests: (import 'base.libsonnet').requests,
  troubles: [
    { at: 1, do: 'lag', member: 'replica:west:0', value: 4000 },
    { at: 2, do: 'hang', member: 'primary:east', value: 0.5 },
    { at: 4, do: 'lag', member: 'replica:west:0', value: 1 },
    { at: 5, do: 'thaw', member: 'east-0' },
    { at: 6, do: 'kill', member: 'west-0' },
    { at: 8, do: 'restart', member: 'west-0' },
    { at: 9, do: 'kill_router', router: 1 },
    { at: 10, do: 'start_router', router: 1 },
    { at: 11, do: 'drain', member: 'primary:east' },
  ],
}
