/**
 * Log events of rollouts: numbers 3000 to 3099 for samples and delivery, 3100
 * to 3199 for weights.
 */
import { LogLevel, type EventCatalogue } from '../../utils/logger.js'

export enum RolloutEvent {
  SampleDropped = 3000,
  ContentLost = 3001,
  SampleOnOneHost = 3002,
  AttemptGivenUp = 3003,
  LeaseNotRenewed = 3004,
  SessionOpened = 3005,
  ScoringFailed = 3006,
  WeightsPublished = 3100,
  SwapDone = 3101,
  SwapFailed = 3102,
  OrderFenced = 3103,
  CoordinatorStarted = 3104,
  CoordinatorWaits = 3105
}

export const rolloutEventCatalogue: EventCatalogue = {
  [RolloutEvent.SampleDropped]: { level: LogLevel.Info, text: 'An attempt was dropped; its slot runs again.', advice: 'Look at the reason. Many stale ones: raise the staleness bound, or lower startAheadSteps.' },
  [RolloutEvent.ContentLost]: { level: LogLevel.Warn, text: 'No host has the content of a committed sample; it runs again under its position.', advice: 'Two hosts were lost within moments. Nothing to do unless it repeats.' },
  [RolloutEvent.SampleOnOneHost]: { level: LogLevel.Warn, text: 'A finished sample could be kept on one host only.', advice: 'Check that entry hosts reach each other on their peer addresses.' },
  [RolloutEvent.AttemptGivenUp]: { level: LogLevel.Warn, text: 'An attempt did not finish in its time.', advice: 'Raise attemptTimeoutMs if samples are this long; otherwise look for slow engines.' },
  [RolloutEvent.LeaseNotRenewed]: { level: LogLevel.Warn, text: 'The lease on slots could not be renewed.', advice: 'Control is unavailable to this host; other hosts take its slots when the lease ends.' },
  [RolloutEvent.SessionOpened]: { level: LogLevel.Info, text: 'A trainer opened a session; older ones are fenced.', advice: 'Two trainers of one job that open sessions in turn are a mistake of operation.' },
  [RolloutEvent.ScoringFailed]: { level: LogLevel.Warn, text: 'A sample could not be scored; it is tried again.', advice: 'Look at the endpoints of the scoring pool.' },
  [RolloutEvent.WeightsPublished]: { level: LogLevel.Info, text: 'A trainer published a weight version.', advice: 'None.' },
  [RolloutEvent.SwapDone]: { level: LogLevel.Info, text: 'An engine has the ordered weights.', advice: 'None.' },
  [RolloutEvent.SwapFailed]: { level: LogLevel.Warn, text: 'An engine did not take the ordered weights; it is tried again.', advice: 'The engine serves its old version only. Look at its log and at the weight store.' },
  [RolloutEvent.OrderFenced]: { level: LogLevel.Warn, text: 'An engine refused an order: another host has a newer fencing number.', advice: 'None; this host stops giving orders.' },
  [RolloutEvent.CoordinatorStarted]: { level: LogLevel.Info, text: 'This host gives the orders of a pool from now on.', advice: 'None.' },
  [RolloutEvent.CoordinatorWaits]: { level: LogLevel.Info, text: 'Waiting out the orders of the predecessor, because the engines ignore fencing numbers.', advice: 'None.' }
}
