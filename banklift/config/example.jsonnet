// Two groups, split by hash slot, each with a primary and two replicas. Port 0: each emulated member chooses its port.
local group(name, first, last) = {
  name: name,
  slots: [[first, last]],
  members: [{ name: '%s-%d' % [name, n], address: '127.0.0.1:0', primary: n == 0 } for n in std.range(0, 2)],
};
{
  groups: [group('west', 0, 8191), group('east', 8192, 16383)],
  classes: [
    { name: 'pick-save', effect: 'unsafe', need: 'write', aim: 1, deadline: 2, worth: 6, late_worth: 0.3 },
    { name: 'note', effect: 'safe', need: 'write', aim: 1, deadline: 2, worth: 1 },
    { name: 'stamp', effect: 'keyed', need: 'write', aim: 1, deadline: 2, worth: 1, window: 5 },
    { name: 'own-picks', effect: 'safe', need: 'session', aim: 0.5, deadline: 1.2, worth: 3 },
    { name: 'trace-view', effect: 'safe', need: 'bounded', aim: 0.5, deadline: 2, bound: 0.8 },
    { name: 'final', effect: 'safe', need: 'fresh', aim: 0.8, deadline: 2, worth: 2 },
    { name: 'alert-check', effect: 'safe', need: 'any', aim: 0.4, deadline: 1.2, worth: 3 },
  ],
  routes: [
    { to: 'stamp', commands: ['SETNX'], keys: 'stamp:*' },
  ] + [
    { to: 'note', commands: ['SET', 'DEL', 'APPEND', 'EXPIRE', 'PEXPIRE', 'EVAL'], keys: keys }
    for keys in ['note:*', 'trace:*', 'alert:*', 'final:*']
  ] + [
    { to: 'trace-view', keys: 'trace:*', commands: ['GET', 'MGET', 'LRANGE', 'ZRANGE', 'EVAL_RO'] },
    { to: 'alert-check', keys: 'alert:*', commands: ['GET', 'MGET', 'EXISTS', 'EVAL_RO'] },
    { to: 'final', keys: 'final:*', commands: ['GET', 'MGET', 'LRANGE', 'EVAL_RO'] },
  ],
  default_read: 'own-picks',
  default_write: 'pick-save',
  rules: { max_attempts: 6, max_retry_after: 1, drain_grace: 2,
           cold_share: 0.25, cold_time: 10, fall_multiple: 2, fall_time: 1 },
}
