// Shared by the days that show one kind of fault each: the mix of requests, and helpers that make orders.
{
  // The keys that are read are also written: by many sessions, through all routers, in every form of request.
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
  // An order at the time `from`, and the same order at `to` with the value that ends it; times in seconds.
  spell(order, member, from, to, value, rest=0, router=-1):: [
    { at: from, do: order, member: member, value: value, router: router },
    { at: to, do: order, member: member, value: rest, router: router },
  ],
  // A member is killed at `from` and started again at `to`.
  outage(member, from, to):: [{ at: from, do: 'kill', member: member }, { at: to, do: 'restart', member: member }],
  // `shows`: the least figures of the symptoms that prove the fault.
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
