/**
 * Log events of endpoint health as this host judges it: 2660 to 2679.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum EndpointEvent {
  Ejected = 2660,
  Reinstated = 2661
}

export const endpointEventCatalogue: EventCatalogue = {
  [EndpointEvent.Ejected]: { level: LogLevel.Warn, text: 'An endpoint failed and is ejected: this host sends it no requests for a limited time.', advice: 'Check the reason. If it is a single endpoint, check the endpoint and the network path to it. If it is all endpoints of a service at once, check this host and its network.' },
  [EndpointEvent.Reinstated]: { level: LogLevel.Info, text: 'An ejected endpoint has recovered and is reinstated.', advice: 'None.' }
}
