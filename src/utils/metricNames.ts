/** The names of all metrics. docs/METRICS.md is made from this table. */
export enum MetricName {
  RequestReceived = 'request.received',
  RequestAnswered = 'request.answered',
  RequestRefused = 'request.refused',
  RequestRetried = 'request.retried',
  RequestDurationMs = 'request.duration_ms',
  QueueLength = 'queue.length',
  QueueBytes = 'queue.bytes',
  AnswersDropped = 'answers.dropped',
  TokensStreamed = 'tokens.streamed',
  TokensDiscarded = 'tokens.discarded',
  EndpointsKnown = 'endpoints.known',
  EndpointsEjected = 'endpoints.ejected',
  SampleDelivered = 'sample.delivered',
  SampleDropped = 'sample.dropped',
  SampleRerun = 'sample.rerun',
  SampleMoved = 'sample.moved',
  WeightsSwapped = 'weights.swapped',
  LogCommitted = 'log.committed',
  LogSyncMs = 'log.sync_ms',
  LeaderChanged = 'leader.changed',
  LeaseRenewed = 'lease.renewed',
  LeaseLost = 'lease.lost',
  ConfigurationRevision = 'configuration.revision'
}

export interface MetricDescription {
  type: 'counter' | 'gauge' | 'timing'
  /** Names of its tags. */
  tags: string[]
  text: string
}

export const metricCatalogue: Record<MetricName, MetricDescription> = {
  [MetricName.RequestReceived]: { type: 'counter', tags: ['route'], text: 'Requests whose head was read.' },
  [MetricName.RequestAnswered]: { type: 'counter', tags: ['route'], text: 'Requests answered in full.' },
  [MetricName.RequestRefused]: { type: 'counter', tags: ['reason'], text: 'Refusals by reason code.' },
  [MetricName.RequestRetried]: { type: 'counter', tags: ['reason', 'pool'], text: 'Tries after the first one, by the reason for the new try.' },
  [MetricName.RequestDurationMs]: { type: 'timing', tags: ['route'], text: 'From the head of a request to the end of its answer.' },
  [MetricName.AnswersDropped]: { type: 'counter', tags: ['reason'], text: 'Answers of endpoints that were thrown away, because they were not whole or belonged to another request.' },
  [MetricName.QueueLength]: { type: 'gauge', tags: ['pool', 'priorityClass'], text: 'Requests that wait for an endpoint.' },
  [MetricName.QueueBytes]: { type: 'gauge', tags: ['pool'], text: 'Bytes of request bodies that wait for an endpoint.' },
  [MetricName.TokensStreamed]: { type: 'counter', tags: [], text: 'Tokens passed on to callers or kept in samples.' },
  [MetricName.TokensDiscarded]: { type: 'counter', tags: ['reason'], text: 'Tokens generated and thrown away.' },
  [MetricName.EndpointsKnown]: { type: 'gauge', tags: [], text: 'Endpoints with a lease in the directory.' },
  [MetricName.EndpointsEjected]: { type: 'gauge', tags: ['pool'], text: 'Endpoints left out as outliers.' },
  [MetricName.SampleDelivered]: { type: 'counter', tags: ['job'], text: 'Samples that a trainer has confirmed.' },
  [MetricName.SampleDropped]: { type: 'counter', tags: ['reason'], text: 'Samples or attempts dropped, by reason.' },
  [MetricName.SampleRerun]: { type: 'counter', tags: ['reason'], text: 'Slots started again, by reason.' },
  [MetricName.SampleMoved]: { type: 'counter', tags: [], text: 'Running samples that went on with another engine because theirs was slow.' },
  [MetricName.WeightsSwapped]: { type: 'counter', tags: ['outcome'], text: 'Weight swaps of single engines, by outcome.' },
  [MetricName.LogCommitted]: { type: 'counter', tags: [], text: 'Entries of the replicated log that were committed.' },
  [MetricName.LogSyncMs]: { type: 'timing', tags: [], text: 'Duration of one sync of the log.' },
  [MetricName.LeaderChanged]: { type: 'counter', tags: [], text: 'Changes of leader that this host has seen.' },
  [MetricName.LeaseRenewed]: { type: 'counter', tags: [], text: 'Renewals of the configuration lease.' },
  [MetricName.LeaseLost]: { type: 'counter', tags: [], text: 'Times the configuration lease ran out.' },
  [MetricName.ConfigurationRevision]: { type: 'gauge', tags: [], text: 'Revision of the configuration in force on this host.' }
}
