/**
 * Log events of decisions that rest on how full a service is for all hosts: 2680 to 2699.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum BalancingEvent {
  AdmissionLevelChanged = 2680,
  AdmissionFiguresLost = 2681
}

export const balancingEventCatalogue: EventCatalogue = {
  [BalancingEvent.AdmissionLevelChanged]: { level: LogLevel.Info, text: 'The shares of requests that a full service lets in have changed; the fields give the sum over all hosts that they rest on and its age.', advice: 'With kind cut, compare demand and capacity per second: the service needs more endpoints if this lasts.' },
  [BalancingEvent.AdmissionFiguresLost]: { level: LogLevel.Warn, text: 'The figures of a full service are out of date; this host decides by its own calls until newer ones arrive.', advice: 'Check whether the control hosts are reachable from this host (1101).' }
}
