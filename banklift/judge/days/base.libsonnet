// What the days of one trouble share: the mix of requests, and orders that come and go.
{
  requests: [
    { kind: 'pick-save', share: 23, key: 'pick:{{s{s}}}', writes: true },
    { kind: 'own-picks', share: 19, key: 'pick:{{s{s}}}' },
    { kind: 'trace-view', share: 33, key: 'trace:{{k{k}}}', keys: 20 },
    { kind: 'note', share: 6, key: 'note:{{k{k}}}', keys: 20, writes: true },
    { kind: 'final', share: 5, key: 'final:{{k{k}}}', keys: 5 },
    { kind: 'alert-check', share: 14, key: 'alert:{{k{k}}}', keys: 10 },
  ],
  // an order and what ends it
  spell(order, member, from, to, value, rest=0, router=-1):: [
    { at: from, do: order, member: member, value: value, router: router },
    { at: to, do: order, member: member, value: rest, router: router },
  ],
  outage(member, from, to):: [{ at: from, do: 'kill', member: member }, { at: to, do: 'restart', member: member }],
  day(title, troubles, shows):: {
    title: title,
    seconds: 8,
    rate: 250,
    sessions: 60,
    requests: $.requests,
    troubles: troubles,
    shows: shows,
  },
}
