/**
 * Log events of clients that meet a limit of the host: 2630 to 2639.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum ClientEvent {
  Limited = 2630
}

export const clientEventCatalogue: EventCatalogue = {
  [ClientEvent.Limited]: { level: LogLevel.Warn, text: 'A client met a limit of this host and was refused, or its connection was closed; at most one line each ten seconds for each limit.', advice: 'The limit and the address of the client are in the fields, their counts in clients_limited_total. Many of one limit from few addresses are a crowd; while requests are answered (request_answered_total), nothing has to be done here: stop the crowd at its source.' }
}
