/**
 * What the rollout side of an entry host is built from.
 */
import type { ControlClient } from '../../controlClient/controlClient.js'
import type { Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { CompletionRunner } from '../completions/completionRunner.js'
import type { EndpointDirectory } from '../directory/endpointRecord.js'
import type { PeerNetwork } from '../peers/peerNetwork.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import type { ScoreCall } from './sampleScorer.js'
import type { EngineOrders } from './weights/engineOrders.js'

export interface RolloutParts {
  hostId: string
  /** Grows with every start of the process. */
  hostIncarnation: number
  clock: Clock
  random: RandomSource
  control: ControlClient
  completions: CompletionRunner
  scheduler: Scheduler
  directory: EndpointDirectory
  peers: PeerNetwork
  metrics: Metrics
  logger: Logger
  /** Undici towards the engines and services unless a test brings its own. */
  engineOrders?: EngineOrders
  scoreCall?: ScoreCall
}
