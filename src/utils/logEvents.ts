/**
 * Log events about the log itself: 900 to 909. Every catalogue includes them.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum LogEvent {
  LinesDropped = 900
}

export const logEventCatalogue: EventCatalogue = {
  [LogEvent.LinesDropped]: { level: LogLevel.Warn, text: 'Log lines were dropped.', advice: 'Over budget: the metrics still count every request. Reader stalled: check the process that collects the log.' }
}
