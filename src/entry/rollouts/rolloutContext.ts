/**
 * The dependencies that the rollout components of an entry host share.
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

export interface RolloutContext {
  hostId: string
  /** Increases with every start of the process. */
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
  /** Tests replace the HTTP clients of engines and scoring services. */
  engineOrders?: EngineOrders
  scoreCall?: ScoreCall
}
