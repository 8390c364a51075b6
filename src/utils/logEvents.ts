/**
 * Log events of the log itself: 900 to 909. They belong to every catalogue.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum LogEvent {
  LinesLeftOut = 900
}

export const logEventCatalogue: EventCatalogue = {
  [LogEvent.LinesLeftOut]: { level: LogLevel.Warn, text: 'Lines of the log were left out.', advice: 'Over budget: the metrics still count every request. Reader stalled: look at whatever collects the log.' }
}
