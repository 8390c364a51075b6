/**
 * Log events of what this host makes of endpoints: 2660 to 2679.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum EndpointEvent {
  Ejected = 2660,
  Reinstated = 2661
}

export const endpointEventCatalogue: EventCatalogue = {
  [EndpointEvent.Ejected]: { level: LogLevel.Warn, text: 'An endpoint failed and gets no work from this host for a while.', advice: 'Read the reason. One endpoint: look at it, or at the way to it. All of a service at one moment: look at this host and its network.' },
  [EndpointEvent.Reinstated]: { level: LogLevel.Info, text: 'An endpoint that was left out has done its work again.', advice: 'None.' }
}
