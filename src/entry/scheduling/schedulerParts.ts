/**
 * What the scheduler is built from.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import type { Clock } from '../../utils/clock.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import type { EndpointDirectory } from '../directory/endpointRecord.js'

export interface SchedulerParts {
  clock: Clock
  random: RandomSource
  directory: EndpointDirectory
  configuration: ConfigurationView
  metrics: Metrics
  /** The scheduler follows changes of directory and configuration until it closes. */
  scope: Scope
}
