/**
 * Log events of rollouts: numbers 3000 to 3099 for samples and delivery, 3100
 * to 3199 for weight distribution.
 */
import { LogLevel, type EventCatalogue } from '../../utils/logger.js'

export enum RolloutEvent {
  SampleDropped = 3000,
  ContentLost = 3001,
  SampleOnOneHost = 3002,
  AttemptTimedOut = 3003,
  LeaseNotRenewed = 3004,
  SessionOpened = 3005,
  ScoringFailed = 3006,
  WeightsPublished = 3100,
  SwapDone = 3101,
  SwapFailed = 3102,
  OrderFenced = 3103,
  CoordinatorStarted = 3104,
  CoordinatorWaiting = 3105
}

export const rolloutEventCatalogue: EventCatalogue = {
  [RolloutEvent.SampleDropped]: { level: LogLevel.Info, text: 'An attempt was dropped; its slot will be run again.', advice: 'Check the reason. If many attempts are stale, raise the staleness bound or lower startAheadSteps.' },
  [RolloutEvent.ContentLost]: { level: LogLevel.Warn, text: 'No host has the content of a committed sample; it will be generated again for the same position.', advice: 'Both hosts that held the content were lost in quick succession. No action is needed unless this repeats.' },
  [RolloutEvent.SampleOnOneHost]: { level: LogLevel.Warn, text: 'A finished sample could be stored on one host only.', advice: 'Check that entry hosts can reach each other on their peer addresses.' },
  [RolloutEvent.AttemptTimedOut]: { level: LogLevel.Warn, text: 'An attempt did not finish within attemptTimeoutMs.', advice: 'Raise attemptTimeoutMs if samples take this long; otherwise check for slow engines.' },
  [RolloutEvent.LeaseNotRenewed]: { level: LogLevel.Warn, text: 'The lease of slots could not be renewed.', advice: 'Check the connection of this host to control. Other hosts take over its slots when the lease expires.' },
  [RolloutEvent.SessionOpened]: { level: LogLevel.Info, text: 'A trainer opened a session; older sessions of the job are fenced.', advice: 'If sessions of one job are opened repeatedly, check that only one trainer runs for it.' },
  [RolloutEvent.ScoringFailed]: { level: LogLevel.Warn, text: 'A sample could not be scored; scoring will be retried.', advice: 'Check the endpoints of the scoring pool.' },
  [RolloutEvent.WeightsPublished]: { level: LogLevel.Info, text: 'A trainer published a weight version.', advice: 'None.' },
  [RolloutEvent.SwapDone]: { level: LogLevel.Info, text: 'An engine has loaded the ordered weights.', advice: 'None.' },
  [RolloutEvent.SwapFailed]: { level: LogLevel.Warn, text: 'An engine did not load the ordered weights; the order will be repeated.', advice: 'The engine still serves its old version. Check its log and the weight store.' },
  [RolloutEvent.OrderFenced]: { level: LogLevel.Warn, text: 'An engine refused an order, because another host has a newer fencing number.', advice: 'None; this host stops sending orders.' },
  [RolloutEvent.CoordinatorStarted]: { level: LogLevel.Info, text: 'This host now coordinates the weights of a pool.', advice: 'None.' },
  [RolloutEvent.CoordinatorWaiting]: { level: LogLevel.Info, text: 'Waiting until the orders of the previous coordinator have expired, because the engines ignore fencing numbers.', advice: 'None.' }
}
