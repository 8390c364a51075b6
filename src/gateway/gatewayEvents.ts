/**
 * Log events of requests that pass through this host: 2600 to 2649.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum GatewayEvent {
  RequestAnswered = 2600,
  RequestRefused = 2601,
  TryFailed = 2602,
  CallerLeft = 2603,
  RequestRejected = 2604
}

export const gatewayEventCatalogue: EventCatalogue = {
  [GatewayEvent.RequestAnswered]: { level: LogLevel.Info, text: 'A request was answered with what an endpoint said.', advice: 'None.' },
  [GatewayEvent.RequestRefused]: { level: LogLevel.Warn, text: 'A request was given up.', advice: 'Read the reason and what was tried.' },
  [GatewayEvent.TryFailed]: { level: LogLevel.Warn, text: 'One try of a request failed.', advice: 'Look at the endpoint if it repeats.' },
  [GatewayEvent.CallerLeft]: { level: LogLevel.Info, text: 'The caller hung up before the answer.', advice: 'None.' },
  [GatewayEvent.RequestRejected]: { level: LogLevel.Warn, text: 'A request was rejected before it went anywhere.', advice: 'Read the reason; the caller has to change the request.' }
}
