/**
 * Options of the scheduler.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import type { Clock } from '../../utils/clock.js'
import type { Metrics } from '../../utils/metrics.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Scope } from '../../utils/scope.js'
import type { EndpointDirectory } from '../directory/endpointRecord.js'

export interface SchedulerOptions {
  clock: Clock
  random: RandomSource
  directory: EndpointDirectory
  configuration: ConfigurationView
  metrics: Metrics
  /** The scheduler observes the directory and the configuration until this scope closes. */
  scope: Scope
}
