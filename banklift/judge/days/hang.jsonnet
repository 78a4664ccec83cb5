local base = import 'base.libsonnet';
base.day(
  'primaries that take requests and answer none; one answers probes, one does not',
  [
    { at: 1, do: 'hang', member: 'west-0', value: 0.5 },
    { at: 1, do: 'withhold', member: 'west-0', value: 1 },  // writes that it still executes reach no replica and are lost at the fail-over
    { at: 4, do: 'withhold', member: 'west-0' },
    { at: 4, do: 'thaw', member: 'west-0' },
    { at: 4.5, do: 'hang', member: 'primary:east', value: 1, probes: false },
    { at: 7, do: 'thaw', member: 'east-0' },
  ],
  { swallowed: 5, 'fail-overs': 2 },
)
