// What the days of one trouble share: the mix of requests, and orders that come and go.
{
  // what is read is written as well, by many sessions through all routers, in every form
  local reads = { get: 3, mget: 3, unit: 1, script: 1 },
  local writes = { append: 8, set: 1, del: 1, px: 1, expire: 1, unit: 2, script: 2 },
  requests: [
    { kind: 'pick-save', share: 20, key: 'pick:{{s{s}}}', writes: true, forms: writes },
    { kind: 'own-picks', share: 16, key: 'pick:{{s{s}}}', forms: reads },
    { kind: 'trace-view', share: 28, key: 'trace:{{k{k}}}', keys: 12, forms: reads },
    { kind: 'final', share: 6, key: 'final:{{k{k}}}', keys: 5, forms: reads },
    { kind: 'alert-check', share: 12, key: 'alert:{{k{k}}}', keys: 6, forms: reads },
    { kind: 'stamp', share: 4, key: 'stamp:{{k{k}}}', keys: 5, writes: true, forms: { once: 1 } },
    { kind: 'note', share: 10, key: 'trace:{{k{k}}}', keys: 12, writes: true, forms: writes },
    { kind: 'note', share: 4, key: 'final:{{k{k}}}', keys: 5, writes: true, forms: writes },
    { kind: 'note', share: 4, key: 'alert:{{k{k}}}', keys: 6, writes: true, forms: writes },
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
