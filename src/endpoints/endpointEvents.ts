/**
 * Log events of what this host makes of endpoints: 2660 to 2679.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum EndpointEvent {
  LeftOut = 2660,
  Proven = 2661
}

export const endpointEventCatalogue: EventCatalogue = {
  [EndpointEvent.LeftOut]: { level: LogLevel.Warn, text: 'An endpoint failed and gets no work from this host for a while.', advice: 'Read the reason. One endpoint: look at it, or at the way to it. All of a service at one moment: look at this host and its network.' },
  [EndpointEvent.Proven]: { level: LogLevel.Info, text: 'An endpoint that was left out has done its work again.', advice: 'None.' }
}
